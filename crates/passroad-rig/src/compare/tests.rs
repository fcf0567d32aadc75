use super::*;
use rstest::rstest;
use serde_json::json;

fn report(served: &[f64]) -> Value {
    let run = |(n, s): (usize, &f64)| json!({ "policy": "passroad", "seed": n + 1, "figures": { "served": s } });
    json!({ "about": "x", "simulated": true, "days": served.iter().enumerate().map(run).collect::<Vec<_>>() })
}

#[rstest]
#[case::clear(&[0.90, 0.95, 0.80], &[0.93, 0.98, 0.83], 0.03, true)]
#[case::chance(&[0.90, 0.95, 0.80], &[0.95, 0.90, 0.83], 0.01, false)]
#[case::one_seed(&[0.90], &[0.95], 0.05, false)]
#[case::the_same(&[0.90, 0.95], &[0.90, 0.95], 0.0, false)]
fn figures_are_paired_by_seed(
    #[case] before: &[f64],
    #[case] after: &[f64],
    #[case] mean: f64,
    #[case] significant: bool,
) {
    let differences = compare(&report(before), &report(after)).expect("reports");
    assert!((differences[0].mean - mean).abs() < 1e-9, "{differences:?}");
    assert_eq!(
        differences[0].is_significant(),
        significant,
        "{differences:?}"
    );
}

#[rstest]
#[case::no_report(json!({ "about": "x", "simulated": true }), "no days")]
#[case::another(json!({ "about": "y", "simulated": true, "days": [] }), "not of the same experiment")]
#[case::on_sockets(json!({ "about": "x", "simulated": false, "days": [] }), "'x' on sockets")]
#[case::nothing_shared(json!({ "about": "x", "simulated": true, "days": [] }), "no day of the same policy")]
fn reports_that_can_not_be_compared_are_refused_with_a_reason(
    #[case] other: Value,
    #[case] reason: &str,
) {
    let error = compare(&report(&[0.9]), &other).expect_err("it can't");
    assert!(error.contains(reason), "{error}");
}
