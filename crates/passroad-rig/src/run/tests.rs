use super::*;
use crate::experiment::parse;
use rstest::rstest;

// Without the fence, an old owner that wakes up late or whose calls arrive late is obeyed.
#[rstest]
#[case::pause(include_str!("../../../../experiments/owner-pause.toml"))]
#[case::late(include_str!("../../../../experiments/owner-late.toml"))]
fn only_the_fence_refuses_an_old_owner(#[case] text: &str) {
    for fence in [true, false] {
        let mut plan = parse(text).unwrap();
        plan.fleet.iter_mut().for_each(|fleet| fleet.fence = fence);
        let runs = simulate_all(&plan, 1).unwrap();
        let not_met: Vec<_> = check_expectations(&plan, &runs)
            .into_iter()
            .filter(|result| !result.met)
            .map(|result| result.label)
            .collect();
        assert_eq!(
            not_met.contains(&"staleacts".to_string()),
            !fence,
            "{not_met:?}"
        );
        assert_eq!(not_met.is_empty(), fence, "{not_met:?}");
    }
}

#[rstest]
fn runs_with_peers_are_the_same_twice_and_on_any_number_of_threads() {
    let mut plan = parse(include_str!("../../../../experiments/owner-cut.toml")).unwrap();
    plan.seeds = vec![1, 2, 3];
    let fleet_runs = |threads| {
        simulate_all(&plan, threads)
            .unwrap()
            .into_iter()
            .map(|run| run.fleet)
            .collect::<Vec<_>>()
    };
    assert_eq!(fleet_runs(1), fleet_runs(3));
}
