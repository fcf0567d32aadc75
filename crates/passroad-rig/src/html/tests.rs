use super::*;
use crate::experiment::{parse, tests::SMALL};
use crate::run::simulate_all;
use rstest::rstest;

#[rstest]
#[case(0.0, 1.0)]
#[case(0.7, 1.0)]
#[case(1.0, 1.0)]
#[case(37.0, 50.0)]
#[case(501.0, 1000.0)]
fn axes_end_at_round_numbers(#[case] top: f64, #[case] end: f64) {
    assert!(
        (round_axis_end(top) - end).abs() < 1e-9,
        "{}",
        round_axis_end(top)
    );
}

#[rstest]
fn a_page_has_no_external_resource_and_escapes_its_texts() {
    let text = SMALL.replace("about = \"small\"", "about = \"a <b> & \\\"c\\\"\"");
    let mut plan = parse(&text).expect("a plan");
    plan.policies = vec!["passroad".into(), "random".into()];
    let runs = simulate_all(&plan, 2).expect("runs");
    let page = page(&plan, &runs, true);
    assert!(page.contains("a &lt;b&gt; &amp; &quot;c&quot;") && page.contains("Simulated"));
    for external in ["http://", "https://", "<script", "<link", "NaN", "inf\""] {
        assert!(!page.contains(external), "{external}");
    }
    // Seven plots, one of them by zone, as there are two zones.
    assert_eq!(
        (page.matches("<svg").count(), page.matches("</svg>").count()),
        (7, 7)
    );
}
