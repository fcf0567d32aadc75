//! Uploads whose client or endpoint is the slower one.

use super::*;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

// Guards against time that a client which writes slowly has not yet used.
#[rstest]
fn an_upload_that_waits_for_its_client_is_not_behind() {
    let start = Instant::now();
    let mut lag = UploadLag::new(start);
    for n in 1..10 {
        let now = start + 100 * n * MS;
        lag.record_nothing(now - 50 * MS, false);
        assert_eq!(lag.behind_since(now), now);
        lag.record_received(now, 6_400 * n as usize);
        assert_eq!(lag.behind_since(now + 20 * MS), now);
    }
}

// Guards against final responses that come late: the client had written everything long before it was read.
#[rstest]
#[case::never_idle(None)]
#[case::for_a_moment(Some(false))]
#[case::with_unread_input(Some(true))]
fn an_upload_that_waits_for_its_endpoint_is_behind_since_its_start(#[case] unread: Option<bool>) {
    let start = Instant::now();
    let mut lag = UploadLag::new(start);
    let mut now = start;
    for n in 1..10 {
        now = start + 100 * n * MS;
        if let Some(unread) = unread {
            let pause = if unread { 50 * MS } else { MS };
            lag.record_nothing(now - pause, unread);
        }
        lag.record_received(now, 16_000 * n as usize);
    }
    assert_eq!(lag.behind_since(now), start);
}

// Guards against long uploads that are given up although their client can't have written all of them.
#[rstest]
fn an_upload_is_behind_by_no_more_than_the_systems_hold() {
    const STEP_BYTES: usize = MAX_SYSTEM_BUFFER_BYTES / 4;
    let start = Instant::now();
    let mut lag = UploadLag::new(start);
    for n in 1..100 {
        let now = start + 100 * n * MS;
        lag.record_received(now, STEP_BYTES * n as usize);
        let behind = now - lag.behind_since(now);
        assert!(behind <= 400 * MS, "{behind:?} after step {n}");
        assert!(n < 4 || behind >= 200 * MS, "{behind:?} after step {n}");
    }
}
