use super::*;
use rstest::rstest;

#[rstest]
#[case::nothing_taken(&[], false, true)]
#[case::too_little_taken(&[10, 89], false, true)]
#[case::all_may_be_taken(&[10, 90], false, false)]
#[case::something_came_back(&[10], true, false)]
fn a_request_of_which_too_little_was_taken_never_ran(
    #[case] taken: &[usize],
    #[case] heard: bool,
    #[case] never: bool,
) {
    // One request went over this connection before and was answered.
    let meter = Meter {
        written: AtomicUsize::new(500),
        heard: AtomicUsize::new(80),
        ..Meter::default()
    };
    meter.begins();
    taken.iter().for_each(|n| {
        meter.written.fetch_add(*n, Relaxed);
    });
    meter.heard.store(usize::from(heard), Relaxed);
    assert_eq!(meter.fewer_than(Some(100)), never);
}

#[rstest]
#[case("TEXT inflight=7, queue=2, util=0.61", Some((7.0, 2.0, 0.61)))]
#[case("TEXT util=0.61,queue=2, novel=3,inflight=7", Some((7.0, 2.0, 0.61)))]
#[case("TEXT inflight=7, queue=two, util=0.61", None)]
#[case("TEXT inflight=7, queue=NaN, util=0.61", None)]
#[case("inflight=7, queue=2, util=0.61", None)]
#[case("TEXT", None)]
fn a_load_report_is_read_whole_or_not_at_all(
    #[case] text: &str,
    #[case] read: Option<(f64, f64, f64)>,
) {
    let read = read.map(|(outstanding, backlog, utilization)| LoadReport {
        outstanding: Some(outstanding),
        backlog: Some(backlog),
        utilization: Some(utilization),
        ..LoadReport::default()
    });
    assert_eq!(parse_load_report(text), read);
}
