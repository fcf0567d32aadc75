use super::*;
use rstest::rstest;

// In no history is there more than one owner, nor is an act of an old one accepted. Ownership must change and faults
// must take effect often enough for this to mean something, and the totals must not depend on the number of threads.
#[rstest]
fn no_history_has_two_owners_or_accepts_acts_of_an_old_owner() {
    let totals = run(1, 150, 2, true);
    assert_eq!(totals.broken, []);
    assert!(
        totals.ownerships > 2 * totals.histories && totals.fault_hits > 100 * totals.histories,
        "{totals:?}"
    );
    assert!(totals.refused_acts > 0, "{totals:?}");
    assert_eq!(totals, run(1, 150, 3, true));
}

#[rstest]
fn acts_of_old_owners_are_accepted_without_the_fence() {
    let totals = run(1, 150, 3, false);
    assert!(
        totals
            .broken
            .iter()
            .any(|(_, violation)| violation.contains("old owner")),
        "{totals:?}"
    );
    assert!(
        totals
            .broken
            .iter()
            .all(|(_, violation)| !violation.contains("at once")),
        "{totals:?}"
    );
}
