use super::*;
use rstest::rstest;

#[rstest]
#[case::none(vec![], None)]
#[case::one(vec![7], Some("1 ready, p50 7 ms, p90 7 ms, max 7 ms"))]
#[case::ten(vec![10, 9, 8, 7, 6, 5, 4, 3, 2, 1], Some("10 ready, p50 5 ms, p90 9 ms, max 10 ms"))]
#[case::eleven((1..=11).collect(), Some("11 ready, p50 6 ms, p90 10 ms, max 11 ms"))]
fn ready_times_are_summarized_by_percentile(#[case] ms: Vec<u64>, #[case] expected: Option<&str>) {
    assert_eq!(
        summarize_ready_times(ms.into_iter().map(Duration::from_millis).collect()).as_deref(),
        expected
    );
}
