use super::*;
use rstest::rstest;

#[rstest]
#[case::none(vec![], None)]
#[case::one(vec![7], Some("1 ready, p50 7 ms, p90 7 ms, max 7 ms"))]
#[case::ten(vec![10, 9, 8, 7, 6, 5, 4, 3, 2, 1], Some("10 ready, p50 5 ms, p90 9 ms, max 10 ms"))]
#[case::eleven((1..=11).collect(), Some("11 ready, p50 6 ms, p90 10 ms, max 11 ms"))]
fn times_to_ready_are_told_by_share(#[case] ms: Vec<u64>, #[case] told: Option<&str>) {
    assert_eq!(
        by_share(ms.into_iter().map(Duration::from_millis).collect()).as_deref(),
        told
    );
}
