use super::*;
use rstest::rstest;

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
