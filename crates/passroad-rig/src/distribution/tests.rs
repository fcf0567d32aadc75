use super::*;
use crate::experiment::{parse, tests::SMALL};
use crate::ledger::{Answer, Entry, Ledger};
use crate::virtual_time::Recording;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

/// A run of the small experiment (five endpoints, three instances) with relays by time in ms, instance and endpoint.
fn run(relays: &[(u32, usize, usize)]) -> (Run, Plan) {
    let plan = parse(SMALL).unwrap();
    let mut ledger = Ledger::default();
    for (n, (at, instance, endpoint)) in relays.iter().enumerate() {
        let (at, limit) = (*at * MS, 1000 * MS);
        ledger.record(
            at,
            Entry::CommandArrived {
                command: n,
                chain: n,
                class: 0,
                instance: *instance,
                time_limit: limit,
            },
        );
        ledger.record(
            at,
            Entry::RelaySent {
                relay: n,
                command: n,
                endpoint: *endpoint,
            },
        );
        ledger.record(
            at + MS,
            Entry::Answered {
                command: n,
                answer: Answer::Answered,
            },
        );
    }
    let recording = Recording {
        ledger,
        samples: Vec::new(),
        log_lines: Vec::new(),
        connections: 0,
    };
    (
        Run::from_recording(&plan, "passroad", 1, recording, Duration::ZERO),
        plan,
    )
}

#[rstest]
fn relative_loads_are_over_fair_shares_and_sidecars_counted_by_endpoint() {
    let (run, plan) = run(&[(10, 0, 0), (20, 1, 0), (30, 1, 0), (40, 2, 1)]);
    let window = Duration::ZERO..Duration::from_secs(1);
    let sum: f64 = relay_counts(&run, &plan, &window).iter().sum();
    assert!((sum - 4.0).abs() < 1e-9);
    let shares = relative_loads(&run, &plan, &window);
    assert!(
        (shares[0] / shares[1] - 3.0 * size(&plan, 1) / size(&plan, 0)).abs() < 1e-9,
        "{shares:?}"
    );
    assert_eq!(sidecars_per_endpoint(&run, &plan, &window)[..3], [2, 1, 0]);
}

fn size(plan: &Plan, n: usize) -> f64 {
    plan.endpoints[n].spec.cores as f64 * plan.endpoints[n].spec.speed
}

#[rstest]
#[case::herd(&[(10, 0, 0), (11, 1, 0), (12, 2, 0), (13, 0, 0), (14, 1, 0)], 4.0, 1.0)]
#[case::spread(&[(10, 0, 0), (11, 1, 1), (12, 2, 2), (13, 0, 3), (14, 1, 4)], 0.0, 0.0)]
fn herding_raises_dispersion_and_synchronized_choices(
    #[case] relays: &[(u32, usize, usize)],
    #[case] expected_dispersion: f64,
    #[case] crowds: f64,
) {
    let (run, plan) = run(relays);
    assert_eq!((plan.endpoints.len(), plan.instances), (5, 3));
    let window = Duration::ZERO..Duration::from_secs(1);
    assert!(
        (dispersion(&run, &plan, &window, Duration::from_secs(1)) - expected_dispersion).abs()
            < 1e-9
    );
    assert!((synchronized_choices(&run, &plan, &window) - crowds).abs() < 1e-9);
}
