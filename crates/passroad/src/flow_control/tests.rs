//! Write windows.

use super::*;
use rstest::rstest;

fn is_open(window: &mut WriteWindow) -> bool {
    let mut cx = Context::from_waker(Waker::noop());
    window.poll_open(&mut cx).is_ready()
}

#[rstest]
#[case::one_long_chunk(&[MAX_UNWRITTEN_BYTES])]
#[case::short_chunks(&[MAX_UNWRITTEN_BYTES - 1, 1])]
fn a_body_waits_for_a_flush_behind_what_it_handed_over(#[case] chunks: &[usize]) {
    let flushes = Arc::new(FlushCounter::default());
    let mut window = WriteWindow::new(Arc::clone(&flushes));
    flushes.record();
    for chunk in chunks {
        assert!(is_open(&mut window));
        window.record(*chunk);
    }
    assert!(!is_open(&mut window));
    flushes.record();
    assert!(is_open(&mut window));
}

#[rstest]
fn chunks_that_were_written_no_longer_count() {
    let flushes = Arc::new(FlushCounter::default());
    let mut window = WriteWindow::new(Arc::clone(&flushes));
    for _ in 0..3 {
        window.record(MAX_UNWRITTEN_BYTES - 1);
        flushes.record();
    }
    assert!(is_open(&mut window));
}
