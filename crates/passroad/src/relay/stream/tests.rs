use super::*;
use rstest::rstest;

#[rstest]
#[case::nothing_written(&[], false, true)]
#[case::too_few_written(&[10, 89], false, true)]
#[case::all_may_be_written(&[10, 90], false, false)]
#[case::something_received(&[10], true, false)]
fn request_with_too_few_bytes_written_never_ran(
    #[case] written: &[usize],
    #[case] received: bool,
    #[case] never_ran: bool,
) {
    // A previous request and its response used this connection.
    let meter = ExchangeMeter {
        bytes_written: AtomicUsize::new(500),
        bytes_read: AtomicUsize::new(80),
        ..ExchangeMeter::default()
    };
    meter.start_request();
    written.iter().for_each(|n| {
        meter.bytes_written.fetch_add(*n, Relaxed);
    });
    meter.bytes_read.store(usize::from(received), Relaxed);
    assert_eq!(meter.wrote_less_than(Some(100)), never_ran);
}
