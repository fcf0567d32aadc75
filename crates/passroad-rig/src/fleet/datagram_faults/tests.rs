use super::*;
use rstest::rstest;

fn membership(instances: &[usize]) -> Vec<bool> {
    (0..3)
        .map(|instance| instances.contains(&instance))
        .collect()
}

#[rstest]
#[case::both_directions(FleetFaultKind::Cut { out: true, back: true }, (0, 0, 1))]
#[case::out(FleetFaultKind::Cut { out: true, back: false }, (0, 1, 1))]
#[case::back(FleetFaultKind::Cut { out: false, back: true }, (1, 0, 1))]
#[case::all_lost(FleetFaultKind::Loss(1.0), (0, 0, 1))]
#[case::twice(FleetFaultKind::Duplication(1.0), (2, 2, 1))]
#[case::held_back(FleetFaultKind::HoldBack, (0, 0, 1))]
fn a_fault_affects_only_its_direction(
    #[case] kind: FleetFaultKind,
    #[case] counts: (usize, usize, usize),
) {
    let mut faults = DatagramFaults::new(1);
    faults.begin_fault(0, membership(&[0]), membership(&[1]), kind);
    let mut count = |from, to| faults.delivery_delays(from, to, b"x").len();
    assert_eq!((count(0, 1), count(1, 0), count(2, 1)), counts);
    faults.end_fault(0);
    assert_eq!(faults.delivery_delays(0, 1, b"x").len(), 1);
}

#[rstest]
fn held_back_datagrams_are_released_in_order() {
    let mut faults = DatagramFaults::new(1);
    faults.begin_fault(
        7,
        membership(&[0]),
        membership(&[1, 2]),
        FleetFaultKind::HoldBack,
    );
    faults.delivery_delays(0, 1, b"a");
    faults.delivery_delays(2, 0, b"b");
    assert_eq!(
        faults.end_fault(7),
        [(0, 1, b"a".to_vec()), (2, 0, b"b".to_vec())]
    );
    assert_eq!(faults.end_fault(7), []);
}
