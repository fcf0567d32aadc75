//! `ramp`: what a cold endpoint gets from all sidecars together, in each window of its settings.

use passroad_rig::experiment::{Plan, read};
use passroad_rig::ledger::{Entry, Facts, Ledger};
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
    read(text).unwrap_or_else(|wrong| panic!("{wrong:?}"))
}

/// The bound of `plan`: 40 + 2 x root of 40 + 2.
const BOUND: f64 = 40.0 + 2.0 * 6.324_555 + 2.0;

/// Sends at these times (ms) of these classes, each by another sidecar, to an endpoint that started at 1 s.
fn ramp(sends: impl IntoIterator<Item = (u32, usize)>, starts: &[u32]) -> f64 {
    let mut ledger = Ledger::default();
    starts.iter().for_each(|ms| ledger.note(*ms * MS, Entry::Started { endpoint: 0 }));
    for (n, (ms, verb)) in sends.into_iter().enumerate() {
        let limit = 1000 * MS;
        ledger.note(ms * MS, Entry::Asked { cmd: n, chain: n, verb, instance: n, limit });
        ledger.note(ms * MS, Entry::Sent { relay: n, cmd: n, endpoint: 0 });
    }
    let books = ledger.books();
    assert_eq!(books.ramp(1, &Facts::of(&plan(), Duration::ZERO)).0, 0.0);
    books.ramp(0, &Facts::of(&plan(), Duration::ZERO)).0
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
    assert!((ramp * BOUND - count).abs() < 0.01, "{ramp} x {BOUND} is not {count}");
}
