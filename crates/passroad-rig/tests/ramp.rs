//! The `ramp` metric: the commands that a cold endpoint gets from all sidecars together, in each window of its settings.

use passroad_rig::experiment::{Plan, parse};
use passroad_rig::ledger::{Answer, CommandRecord, Entry, Ledger, RelayRecord, RuleContext};
use passroad_rig::run::{Run, simulate_all};
use passroad_rig::virtual_time::simulate;
use rstest::rstest;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// Capacity of half a core at the start, a window of 2 s, twice the capacity allowed: at 50 ms of work N = 40 in the first
/// window.
fn plan() -> Plan {
    let text = r#"
        about = "one that starts cold"
        length = "40s"
        [fleet.kind.plain]
        cores = 1
        cold_from = "50%"
        warm_within = "1000000s"
        tip_multiple = 2
        tip_after = "2s"
        [[fleet.group]]
        kind = "plain"
        count = 2
        [[verb]]
        name = "short"
        effect = "pure"
        work = "25ms"
        goal = "400ms"
        limit = "1s"
        share = 0.5
        [[verb]]
        name = "long"
        effect = "pure"
        work = "75ms"
        goal = "400ms"
        limit = "1s"
        share = 0.5
        [load]
        per_second = 10
    "#;
    parse(text).unwrap_or_else(|error| panic!("{error:?}"))
}

/// The bound of `plan`: 40 + 2 x sqrt(40) + 2.
const BOUND: f64 = 40.0 + 2.0 * 6.324_555 + 2.0;

/// Load by relays at these times (ms) of these classes, each from another sidecar, on an endpoint with these starts (ms).
fn cold_start_load(relays: impl IntoIterator<Item = (u32, usize)>, starts: &[u32]) -> f64 {
    let mut ledger = Ledger::default();
    starts
        .iter()
        .for_each(|ms| ledger.record(*ms * MS, Entry::EndpointStarted { endpoint: 0 }));
    for (n, (ms, class)) in relays.into_iter().enumerate() {
        let limit = 1000 * MS;
        ledger.record(
            ms * MS,
            Entry::CommandArrived {
                command: n,
                chain: n,
                class,
                instance: n,
                time_limit: limit,
            },
        );
        ledger.record(
            ms * MS,
            Entry::RelaySent {
                relay: n,
                command: n,
                endpoint: 0,
            },
        );
    }
    let history = ledger.history();
    assert_eq!(
        history
            .cold_start_load(1, &RuleContext::from_plan(&plan(), Duration::ZERO))
            .0,
        0.0
    );
    history
        .cold_start_load(0, &RuleContext::from_plan(&plan(), Duration::ZERO))
        .0
}

fn sends(n: u32, from: u32, gap: u32, class: usize) -> impl Iterator<Item = (u32, usize)> {
    (0..n).map(move |index| (from + index * gap, class))
}

#[rstest]
#[case::a_burst_at_the_start(cold_start_load(sends(20, 1000, 1, 0).chain(sends(20, 1100, 1, 1)), &[1000]), 40.0)]
#[case::a_burst_later(cold_start_load(sends(40, 9000, 1, 1), &[1000]), 60.0)]
#[case::over_the_window(cold_start_load(sends(40, 1000, 50, 1), &[1000]), 60.0)]
#[case::over_two_windows(cold_start_load(sends(40, 1000, 100, 1), &[1000]), 30.0)]
#[case::only_the_worst_window(cold_start_load(sends(9, 1000, 1, 1).chain(sends(12, 8000, 1, 1)), &[1000]), 18.0)]
#[case::of_the_second_start(cold_start_load(sends(40, 1000, 1, 0).chain(sends(40, 2500, 1, 1)), &[1000, 2400]), 60.0)]
#[case::what_came_before_the_start(cold_start_load(sends(99, 0, 10, 1).chain(sends(2, 2000, 1, 1)), &[1000]), 3.0)]
#[case::never_cold(cold_start_load(sends(99, 0, 10, 1), &[]), 0.0)]
fn cold_start_load_is_the_commands_in_a_window_over_the_bound(
    #[case] figure: f64,
    #[case] count: f64,
) {
    assert!(
        (figure * BOUND - count).abs() < 0.01,
        "{figure} x {BOUND} is not {count}"
    );
}

/// Six sidecars and four endpoints, of which one crashes and returns cold, with further faults in TOML.
fn plan_with(extra_toml: &str) -> Plan {
    let text = r#"
        about = "one returns cold"
        length = "16s"
        instances = 6
        policies = ["passroad"]
        [fleet.kind.plain]
        cores = 2
        warm_within = "8s"
        tip_after = "1s"
        [[fleet.group]]
        kind = "plain"
        count = 4
        [[verb]]
        name = "look"
        effect = "pure"
        work = "20ms"
        goal = "400ms"
        limit = "1s"
        share = 1
        [load]
        of_capacity = 0.4
        [[fault]]
        kind = "die"
        at = "2s"
        for = "3s"
        endpoints = [0]
    "#;
    parse(&format!("{text}{extra_toml}")).unwrap_or_else(|error| panic!("{error:?}"))
}

// Sidecars send to a draining endpoint until their list says so: with a stagger of 6 s, one of six each second.
#[rstest]
fn staggered_discovery_reaches_one_sidecar_after_the_other() {
    let drain = "[[fault]]\nkind = \"drain\"\nat = \"8s\"\nfor = \"8s\"\nendpoints = [2]\n";
    let late = "[[fault]]\nkind = \"discovery-late\"\nat = \"0s\"\nfor = \"16s\"\nby = \"0s\"\nspread = \"6s\"\n";
    let last = |extra_toml: &str| {
        let history = simulate(&plan_with(extra_toml), 3, "random")
            .expect("a run")
            .ledger
            .history();
        let belongs = |relay: &&RelayRecord, n: usize| {
            relay.endpoint == 2 && history.commands[relay.command].instance == n
        };
        let last = |n: usize| {
            history
                .relays
                .iter()
                .filter(|relay| belongs(relay, n))
                .map(|relay| relay.sent_at)
                .max()
        };
        (0..6)
            .map(|n| last(n).unwrap_or_default())
            .collect::<Vec<_>>()
    };
    let (all, staggered) = (last(drain), last(&format!("{drain}{late}")));
    assert!(all.iter().all(|at| *at < 8050 * MS), "{all:?}");
    for (n, at) in staggered.iter().enumerate() {
        let listed_at = 8000 * MS + n as u32 * 1000 * MS;
        assert!(
            (listed_at - 900 * MS..listed_at + 50 * MS).contains(at),
            "{staggered:?}"
        );
    }
}

#[rstest]
fn a_sidecar_killed_in_virtual_time_loses_its_commands_and_goes_on() {
    let kill = "[[fault]]\nkind = \"sidecar-kill\"\nat = \"7s\"\ninstances = [0, 1, 2]\n";
    let plan = plan_with(kill);
    let run = &simulate_all(&plan, 1).expect("a run")[0];
    let lost = |command: &&CommandRecord| command.lost_with_sidecar;
    let lost: Vec<&CommandRecord> = run.history.commands.iter().filter(lost).collect();
    assert!(
        !lost.is_empty()
            && lost
                .iter()
                .all(|command| command.instance < 3 && command.arrived_at <= 7000 * MS),
        "{lost:?}"
    );
    assert!(
        lost.iter().all(|command| command
            .relays
            .iter()
            .all(|relay| run.history.relays[*relay].ended.is_some())),
        "{lost:?}"
    );
    let after = |n: usize| {
        let own = run
            .history
            .commands
            .iter()
            .filter(|command| command.instance == n && command.arrived_at > 7000 * MS);
        own.filter(|command| matches!(command.answers[..], [(_, Answer::Answered)]))
            .count()
    };
    assert!(
        (0..6).all(|n| after(n) > 20),
        "{:?}",
        (0..6).map(after).collect::<Vec<_>>()
    );
    assert!(run.violations.is_empty(), "{:?}", run.violations);
    // A second run gives the same history.
    assert_eq!(
        simulate_all(&plan, 1).expect("a run")[0].history.commands,
        run.history.commands
    );
}

// Where an overloaded endpoint doesn't crash, the whole load is measured at its first start.
#[rstest]
fn an_endpoint_that_does_not_crash_shows_all_the_load_it_is_offered() {
    let cold_start_load = |crashes: bool| {
        let mut plan = plan_with("");
        plan.per_second *= 2.2;
        plan.endpoints
            .iter_mut()
            .for_each(|e| e.spec.crashes_on_overload = crashes);
        let recording = simulate(&plan, 3, "random").expect("a run");
        let starts = recording.ledger.history().cold_starts_of(0).len();
        let run = Run::from_recording(&plan, "random", 3, recording, Duration::ZERO);
        (starts, run.worst_cold_start_load())
    };
    let ((starts_with_crashes, _), (starts_without, load_without)) =
        (cold_start_load(true), cold_start_load(false));
    assert!(
        starts_with_crashes > 1 && starts_without == 1 && load_without > 1.0,
        "{starts_with_crashes} {starts_without} {load_without}"
    );
}
