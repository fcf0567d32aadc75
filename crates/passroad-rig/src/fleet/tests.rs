use super::*;
use rstest::rstest;

fn results(acts: &[(u64, usize, bool)]) -> FleetResults {
    let act = |(position, &(epoch, owner, accepted)): (usize, &(u64, usize, bool))| Act {
        time: Duration::from_millis(100 * position as u64),
        role: 0,
        epoch,
        owner,
        accepted,
    };
    FleetResults {
        acts: acts.iter().enumerate().map(act).collect(),
        ..FleetResults::default()
    }
}

#[rstest]
#[case::in_order(&[(5, 1, true), (5, 1, true), (7, 2, true)], (1, 0, 0))]
#[case::refused(&[(5, 1, true), (7, 2, true), (5, 1, false), (7, 2, true)], (1, 0, 1))]
#[case::accepted(&[(5, 1, true), (7, 2, true), (5, 1, true), (7, 2, true)], (2, 1, 0))]
#[case::same_epoch(&[(5, 1, true), (5, 2, true)], (1, 1, 0))]
fn stale_acts_and_overlapping_owners_are_counted(
    #[case] acts: &[(u64, usize, bool)],
    #[case] figures: (usize, usize, usize),
) {
    let results = results(acts);
    assert_eq!(
        (
            results.owners_at_once(),
            results.stale_acts(),
            results.refused_acts()
        ),
        figures
    );
}

#[rstest]
fn the_longest_gap_includes_both_ends_of_the_window() {
    let results = results(&[(5, 1, true), (5, 1, true), (5, 1, false)]);
    let window = Duration::ZERO..Duration::from_secs(1);
    assert!((results.longest_unowned_seconds(&window, 1) - 0.9).abs() < 1e-9);
    assert!((results.longest_unowned_seconds(&window, 2) - 1.0).abs() < 1e-9);
}
