use super::*;
use crate::experiment::parse;
use rstest::rstest;

// What the fence is for: without it an old owner that wakes up late, or is heard late, is obeyed.
#[rstest]
#[case::pause(include_str!("../../../../experiments/owner-pause.toml"))]
#[case::late(include_str!("../../../../experiments/owner-late.toml"))]
fn an_old_owner_is_refused_by_the_fence_alone(#[case] text: &str) {
    for fence in [true, false] {
        let mut plan = parse(text).unwrap();
        plan.fleet.iter_mut().for_each(|fleet| fleet.fence = fence);
        let runs = simulate_all(&plan, 1).unwrap();
        let broken: Vec<_> = check_expectations(&plan, &runs)
            .into_iter()
            .filter(|h| !h.met)
            .map(|h| h.label)
            .collect();
        assert_eq!(
            broken.contains(&"staleacts".to_string()),
            !fence,
            "{broken:?}"
        );
        assert_eq!(broken.is_empty(), fence, "{broken:?}");
    }
}

#[rstest]
fn sidecars_that_talk_are_the_same_twice_and_over_threads() {
    let mut plan = parse(include_str!("../../../../experiments/owner-cut.toml")).unwrap();
    plan.seeds = vec![1, 2, 3];
    let days = |threads| {
        simulate_all(&plan, threads)
            .unwrap()
            .into_iter()
            .map(|r| r.fleet)
            .collect::<Vec<_>>()
    };
    assert_eq!(days(1), days(3));
}
