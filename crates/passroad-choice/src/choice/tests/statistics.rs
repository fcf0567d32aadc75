//! Decaying statistics.

use super::*;

// Restarted sidecars computed their rates over eight seconds and sent cold endpoints next to
// nothing. Events that all arrive at the start are no rate either.
#[rstest]
#[case::steady(50, 40.0, 60.0)]
#[case::at_once(0, 0.0, 110.0)]
fn an_unbiased_rate_counts_over_the_time_observed(
    #[case] apart: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let mut count = DecayingCount::default();
    (0..=100).for_each(|n| {
        count.increment(
            NOW + Duration::from_millis(n * apart * 2 / 5),
            4 * SMOOTHING,
        )
    });
    let rate = count.unbiased_rate(
        NOW + Duration::from_millis(100 * apart * 2 / 5),
        4 * SMOOTHING,
    );
    assert!((least..=most).contains(&rate), "{rate}");
}
