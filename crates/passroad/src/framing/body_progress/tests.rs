use super::*;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

// Clients may send 64 kB a second, in pieces.
#[rstest]
#[case::two_pieces(Some(150_000), &[(0, 100_000), (1600, 50_000)])]
#[case::a_piece_a_second(Some(256_000), &[(0, 64_000), (1000, 64_000), (2000, 64_000), (3000, 64_000)])]
#[case::at_the_end_of_each_second(Some(192_000), &[(1000, 64_000), (2000, 64_000), (3000, 64_000)])]
#[case::small_at_its_end(Some(32_000), &[(500, 32_000)])]
#[case::without_a_length(None, &[(900, 64_000), (1900, 64_000)])]
fn body_at_the_allowed_rate_is_never_overdue(
    #[case] length: Option<u64>,
    #[case] pieces: &[(u32, usize)],
) {
    let began = Instant::now();
    let mut progress = BodyProgress::new(began, length);
    for (at, bytes) in pieces {
        let now = began + MS * *at;
        assert!(progress.due() >= now, "{at} ms");
        progress.record(now, *bytes);
    }
}

// Clients that stop are owed an error or a close within 3 s.
#[rstest]
#[case::tiny(Some(4), 2, 1)]
#[case::nothing_of_it(None, 0, 1000)]
#[case::half_of_a_long_one(Some(1_000_000), 500_000, 2200)]
fn body_that_stops_is_overdue_soon(
    #[case] length: Option<u64>,
    #[case] received: usize,
    #[case] latest_ms: u32,
) {
    let began = Instant::now();
    let mut progress = BodyProgress::new(began, length);
    progress.record(began, received);
    assert!(progress.due() <= began + MS * latest_ms);
}
