//! Health of endpoints.

use super::*;

#[rstest]
fn a_fast_failure_is_not_recorded_as_latency() {
    let mut balancer = balancer_with_relay(Effect::Safe, 2);
    balancer.on_relay_finished(0, 0, Outcome::Error, Duration::from_millis(1));
    assert_eq!(
        (
            balancer.endpoints[0].latency.count,
            balancer.endpoints[0].outcomes.count
        ),
        (0.0, 1)
    );
}

#[rstest]
fn an_endpoint_that_is_reached_again_counts_as_cold() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].times_unreachable = 3;
    balancer.record_reached(0);
    assert_eq!(balancer.endpoints[0].started_at, Some(NOW));
}

// Endpoints let commands hang while they answered probes (incident i3e941c).
#[rstest]
fn a_relay_past_its_target_counts_as_a_failure() {
    let mut balancer = balancer_with_relay(Effect::Safe, 1);
    let relay = balancer.open_command(0).unwrap().relays[0];
    balancer.record_slow_answer(&relay, 0, Duration::from_millis(400));
    assert!(balancer.endpoints[0].health(NOW, None) < 1.0);
}

// Five of nine endpoints let every command of one class hang and answered the other classes, whose
// answers kept them in the draw for it.
#[rstest]
#[case::at_once(0, false)]
#[case::long_after(60, true)]
fn a_class_that_hangs_at_an_endpoint_avoids_it_and_the_others_do_not(
    #[case] seconds: u64,
    #[case] back: bool,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.parameters.classes.push(RequestClass::from_config(
        &class_config(Effect::Safe),
        SMOOTHING,
        3,
    ));
    for _ in 0..RECENT_OUTCOMES {
        balancer.record_health(0, 0, Outcome::TimedOut, RECENT_OUTCOMES);
        (0..3).for_each(|_| balancer.record_health(0, 1, Outcome::Answered, RECENT_OUTCOMES));
    }
    balancer.now += Duration::from_secs(seconds);
    let share = |class| {
        let weights = balancer.weights(&balancer.in_view, Some((class, 0)), None, &|_| true);
        weights[0] / weights[1]
    };
    assert_eq!(
        (share(0) > 0.1, share(1) > 0.1),
        (back, true),
        "{} {}",
        share(0),
        share(1)
    );
}

// 130 log lines of endpoints that failed and recovered within seconds (incident i0fad20).
#[rstest]
#[case(RECENT_OUTCOMES / 2, true)]
#[case(RECENT_OUTCOMES - 1, false)]
fn a_failing_endpoint_has_recovered_at_three_quarters(
    #[case] successes: u32,
    #[case] failing: bool,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    let endpoint = &mut balancer.endpoints[0];
    endpoint.outcomes = RecentOutcomes {
        failure_bits: !0 << (successes - 1),
        count: RECENT_OUTCOMES,
        failing: true,
        ..RecentOutcomes::default()
    };
    balancer.record_health(0, 0, Outcome::Answered, RECENT_OUTCOMES);
    assert_eq!(balancer.endpoints[0].outcomes.failing, failing);
}

// Sixteen outcomes reached back past the start of the trouble (incidents i3e941c and i4a6661).
#[rstest]
fn three_failures_in_a_row_take_most_of_the_weight() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints[0].outcomes = RecentOutcomes {
        failure_bits: 0b111,
        count: RECENT_OUTCOMES,
        ..RecentOutcomes::default()
    };
    let weights = balancer.weights(&balancer.in_view, None, None, &|_| true);
    assert!(weights[0] < 0.3 * weights[1], "{weights:?}");
}

// An endpoint that failed half of its commands at once looked idle beside busy ones and drew a
// twelfth of all commands, non-idempotent ones as well.
#[rstest]
#[case::non_idempotent(Effect::NonIdempotent, 0.01)]
#[case::safe(Effect::Safe, 0.5)]
fn an_endpoint_that_fails_fast_is_sent_little(#[case] effect: Effect, #[case] most: f64) {
    let mut balancer = balancer_with_endpoints(effect, 4);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| (e.load, e.outcomes.count) = (1.0, RECENT_OUTCOMES));
    (
        balancer.endpoints[0].load,
        balancer.endpoints[0].harmful_failures,
        balancer.endpoints[0].last_harmful_failure,
    ) = (0.0, 0b0101_0101_0101_0101, NOW);
    balancer.commands = (0..400).map(|_| Some(command())).collect();
    let drawn = (0..400)
        .filter(|command_index| balancer.pick_endpoint(*command_index, false) == Some(0))
        .count();
    assert!(drawn as f64 <= 400.0 * most, "{drawn}");
}

// A relay that never ran costs a non-idempotent command nothing, and a slow answer is no harmful
// failure either.
#[rstest]
#[case(Outcome::Error, 1)]
#[case(Outcome::ConnectionLost, 1)]
#[case(Outcome::ConnectFailed, 0)]
#[case(Outcome::TimedOut, 0)]
#[case(Outcome::Answered, 0)]
fn only_failures_that_may_have_run_are_harmful(#[case] outcome: Outcome, #[case] harm: u32) {
    let mut balancer = balancer_with_relay(Effect::NonIdempotent, 1);
    balancer.decide(NOW, relay_finished(0, outcome));
    assert_eq!(balancer.endpoints[0].harmful_failures, harm);
}

#[rstest]
fn a_rejection_says_nothing_of_the_endpoint() {
    let mut balancer = balancer_with_relay(Effect::NonIdempotent, 1);
    let actions = balancer.decide(NOW, relay_finished(0, Outcome::Rejected));
    assert_eq!(
        (
            balancer.endpoints[0].outcomes.count,
            balancer.endpoints[0].times_unreachable
        ),
        (0, 0)
    );
    assert!(actions.contains(&Action::Fail { command: 0 }));
}

// Where the network broke connections, healthy endpoints were not sent anything for seconds and
// then treated as cold.
#[rstest]
#[case::connection_lost(Outcome::ConnectionLost, 0)]
#[case::connect_failed(Outcome::ConnectFailed, 3)]
fn an_endpoint_whose_connections_break_counts_as_reached(
    #[case] outcome: Outcome,
    #[case] failures: u32,
) {
    let mut balancer = balancer_with_relay(Effect::Safe, 1);
    for _ in 0..3 {
        let relay = Relay {
            endpoint: 0,
            sent_at: NOW,
            load_ahead: 0.0,
            report_weight: 0.0,
            outcome: None,
        };
        balancer.commands[0] = Some(Command {
            queued: false,
            relays: vec![relay],
            ..command()
        });
        balancer.on_relay_finished(0, 0, outcome, Duration::from_millis(5));
        balancer.on_probe_finished(0, outcome, Duration::from_millis(5), None);
    }
    assert_eq!(balancer.endpoints[0].times_unreachable, 2 * failures);
}
