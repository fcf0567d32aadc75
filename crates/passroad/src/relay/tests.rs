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

#[rstest]
#[case("TEXT inflight=7, queue=2, util=0.61", Some((7.0, 2.0, 0.61)))]
#[case("TEXT util=0.61,queue=2, novel=3,inflight=7", Some((7.0, 2.0, 0.61)))]
#[case("TEXT inflight=7, queue=two, util=0.61", None)]
#[case("TEXT inflight=7, queue=NaN, util=0.61", None)]
#[case("inflight=7, queue=2, util=0.61", None)]
#[case("TEXT", None)]
fn load_report_is_parsed_whole_or_rejected(
    #[case] text: &str,
    #[case] parsed: Option<(f64, f64, f64)>,
) {
    let parsed = parsed.map(|(outstanding, backlog, utilization)| LoadReport {
        outstanding: Some(outstanding),
        backlog: Some(backlog),
        utilization: Some(utilization),
        ..LoadReport::default()
    });
    assert_eq!(parse_load_report(text), parsed);
}
