use super::*;
use rstest::rstest;

// In no history is there more than one owner, nor is an act of an old one accepted. Ownership must change and faults must take
// effect often enough for this to mean something, and the totals must not depend on the number of threads.
#[rstest]
fn no_history_has_two_owners_or_accepts_acts_of_an_old_owner() {
    let sums = run(1, 150, 2, true);
    assert_eq!(sums.broken, []);
    assert!(
        sums.owners > 2 * sums.histories && sums.hits > 100 * sums.histories,
        "{sums:?}"
    );
    assert!(sums.stale_tries > 0, "{sums:?}");
    assert_eq!(sums, run(1, 150, 3, true));
}

#[rstest]
fn acts_of_old_owners_are_accepted_without_the_fence() {
    let sums = run(1, 150, 3, false);
    assert!(
        sums.broken
            .iter()
            .any(|(_, violation)| violation.contains("old owner")),
        "{sums:?}"
    );
    assert!(
        sums.broken
            .iter()
            .all(|(_, violation)| !violation.contains("at once")),
        "{sums:?}"
    );
}
