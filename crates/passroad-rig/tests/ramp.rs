//! `ramp`: what a cold endpoint gets from all sidecars together, in each window of its settings.

use passroad_rig::experiment::{Plan, parse};
use passroad_rig::ledger::{Answer, CommandRecord, Entry, Ledger, RelayRecord, RuleContext};
use passroad_rig::run::{Run, simulate_all};
use passroad_rig::virtual_time::simulate;
use rstest::rstest;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// Half of a core at the start, 2 s for it, twice of that allowed: 50 ms of work are N = 40 in the first window.
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
    parse(text).unwrap_or_else(|wrong| panic!("{wrong:?}"))
}

/// The bound of `plan`: 40 + 2 x root of 40 + 2.
const BOUND: f64 = 40.0 + 2.0 * 6.324_555 + 2.0;

/// Sends at these times (ms) of these classes, each by another sidecar, to an endpoint that started at 1 s.
fn ramp(sends: impl IntoIterator<Item = (u32, usize)>, starts: &[u32]) -> f64 {
    let mut ledger = Ledger::default();
    starts
        .iter()
        .for_each(|ms| ledger.record(*ms * MS, Entry::EndpointStarted { endpoint: 0 }));
    for (n, (ms, verb)) in sends.into_iter().enumerate() {
        let limit = 1000 * MS;
        ledger.record(
            ms * MS,
            Entry::CommandArrived {
                command: n,
                chain: n,
                class: verb,
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
    let books = ledger.history();
    assert_eq!(
        books
            .cold_start_load(1, &RuleContext::from_plan(&plan(), Duration::ZERO))
            .0,
        0.0
    );
    books
        .cold_start_load(0, &RuleContext::from_plan(&plan(), Duration::ZERO))
        .0
}

fn each(n: u32, from: u32, gap: u32, verb: usize) -> impl Iterator<Item = (u32, usize)> {
    (0..n).map(move |k| (from + k * gap, verb))
}

#[rstest]
#[case::a_burst_at_the_start(ramp(each(20, 1000, 1, 0).chain(each(20, 1100, 1, 1)), &[1000]), 40.0)]
#[case::a_burst_later(ramp(each(40, 9000, 1, 1), &[1000]), 60.0)]
#[case::over_the_window(ramp(each(40, 1000, 50, 1), &[1000]), 60.0)]
#[case::over_two_windows(ramp(each(40, 1000, 100, 1), &[1000]), 30.0)]
#[case::only_the_worst_window(ramp(each(9, 1000, 1, 1).chain(each(12, 8000, 1, 1)), &[1000]), 18.0)]
#[case::of_the_second_start(ramp(each(40, 1000, 1, 0).chain(each(40, 2500, 1, 1)), &[1000, 2400]), 60.0)]
#[case::what_came_before_the_start(ramp(each(99, 0, 10, 1).chain(each(2, 2000, 1, 1)), &[1000]), 3.0)]
#[case::never_cold(ramp(each(99, 0, 10, 1), &[]), 0.0)]
fn requests_of_mean_work_in_a_window_against_n_and_chance(#[case] ramp: f64, #[case] count: f64) {
    assert!(
        (ramp * BOUND - count).abs() < 0.01,
        "{ramp} x {BOUND} is not {count}"
    );
}

/// Six sidecars, four endpoints of which one dies and is back cold, and what else goes wrong.
fn day(more: &str) -> Plan {
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
    parse(&format!("{text}{more}")).unwrap_or_else(|wrong| panic!("{wrong:?}"))
}

// What drains is sent to until it is told, which six sidecars are over six seconds.
#[rstest]
fn news_by_turns_come_to_one_sidecar_after_the_other() {
    let drain = "[[fault]]\nkind = \"drain\"\nat = \"8s\"\nfor = \"8s\"\nendpoints = [2]\n";
    let late = "[[fault]]\nkind = \"discovery-late\"\nat = \"0s\"\nfor = \"16s\"\nby = \"0s\"\nspread = \"6s\"\n";
    let last = |more: &str| {
        let books = simulate(&day(more), 3, "random")
            .expect("a day")
            .ledger
            .history();
        let of =
            |r: &&RelayRecord, n: usize| r.endpoint == 2 && books.commands[r.command].instance == n;
        let last = |n: usize| {
            books
                .relays
                .iter()
                .filter(|r| of(r, n))
                .map(|r| r.sent_at)
                .max()
        };
        (0..6)
            .map(|n| last(n).unwrap_or_default())
            .collect::<Vec<_>>()
    };
    let (all, turns) = (last(drain), last(&format!("{drain}{late}")));
    assert!(all.iter().all(|at| *at < 8050 * MS), "{all:?}");
    for (n, at) in turns.iter().enumerate() {
        let told = 8000 * MS + n as u32 * 1000 * MS;
        assert!((told - 900 * MS..told + 50 * MS).contains(at), "{turns:?}");
    }
}

#[rstest]
fn a_sidecar_killed_in_virtual_time_loses_what_it_held_and_goes_on() {
    let kill = "[[fault]]\nkind = \"sidecar-kill\"\nat = \"7s\"\ninstances = [0, 1, 2]\n";
    let plan = day(kill);
    let run = &simulate_all(&plan, 1).expect("a day")[0];
    let lost = |c: &&CommandRecord| c.lost_with_sidecar;
    let lost: Vec<&CommandRecord> = run.history.commands.iter().filter(lost).collect();
    assert!(
        !lost.is_empty()
            && lost
                .iter()
                .all(|c| c.instance < 3 && c.arrived_at <= 7000 * MS),
        "{lost:?}"
    );
    assert!(
        lost.iter().all(|c| c
            .relays
            .iter()
            .all(|r| run.history.relays[*r].ended.is_some())),
        "{lost:?}"
    );
    let after = |n: usize| {
        let own = run
            .history
            .commands
            .iter()
            .filter(|c| c.instance == n && c.arrived_at > 7000 * MS);
        own.filter(|c| matches!(c.answers[..], [(_, Answer::Answered)]))
            .count()
    };
    assert!(
        (0..6).all(|n| after(n) > 20),
        "{:?}",
        (0..6).map(after).collect::<Vec<_>>()
    );
    assert!(run.violations.is_empty(), "{:?}", run.violations);
    // The same day twice.
    assert_eq!(
        simulate_all(&plan, 1).expect("a day")[0].history.commands,
        run.history.commands
    );
}

// What would have pushed it over is seen whole, at its first start.
#[rstest]
fn an_endpoint_that_does_not_tip_shows_the_whole_of_what_comes() {
    let ramp = |tips: bool| {
        let mut plan = day("");
        plan.per_second *= 2.2;
        plan.endpoints
            .iter_mut()
            .for_each(|e| e.spec.crashes_on_overload = tips);
        let played = simulate(&plan, 3, "random").expect("a day");
        let starts = played.ledger.history().cold_starts_of(0).len();
        let run = Run::from_recording(&plan, "random", 3, played, Duration::ZERO);
        (starts, run.worst_cold_start_load())
    };
    let ((often, _), (once, whole)) = (ramp(true), ramp(false));
    assert!(
        often > 1 && once == 1 && whole > 1.0,
        "{often} {once} {whole}"
    );
}
