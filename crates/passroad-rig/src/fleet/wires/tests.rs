use super::*;
use rstest::rstest;

fn membership(instances: &[usize]) -> Vec<bool> {
    (0..3)
        .map(|instance| instances.contains(&instance))
        .collect()
}

#[rstest]
#[case::both_ways(What::Cut { out: true, back: true }, (0, 0, 1))]
#[case::out(What::Cut { out: true, back: false }, (0, 1, 1))]
#[case::back(What::Cut { out: false, back: true }, (1, 0, 1))]
#[case::all_lost(What::Lose(1.0), (0, 0, 1))]
#[case::twice(What::Twice(1.0), (2, 2, 1))]
#[case::kept(What::Keep, (0, 0, 1))]
fn a_fault_affects_only_its_direction(#[case] what: What, #[case] counts: (usize, usize, usize)) {
    let mut wires = Wires::new(1);
    wires.begin(0, membership(&[0]), membership(&[1]), what);
    let mut count = |from, to| wires.pass(from, to, b"x").len();
    assert_eq!((count(0, 1), count(1, 0), count(2, 1)), counts);
    wires.end(0);
    assert_eq!(wires.pass(0, 1, b"x").len(), 1);
}

#[rstest]
fn held_back_datagrams_are_released_in_order() {
    let mut wires = Wires::new(1);
    wires.begin(7, membership(&[0]), membership(&[1, 2]), What::Keep);
    wires.pass(0, 1, b"a");
    wires.pass(2, 0, b"b");
    assert_eq!(wires.end(7), [(0, 1, b"a".to_vec()), (2, 0, b"b".to_vec())]);
    assert_eq!(wires.end(7), []);
}
