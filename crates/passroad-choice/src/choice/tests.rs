//! Tests of the decisions. Each builds the state that it needs and calls the balancer; helpers stand at the end.

use super::command::{Command, Relay};
use super::concurrency_limit::INITIAL_LIMIT;
use super::endpoint::Endpoint;
use super::health::RECENT_OUTCOMES;
use super::key_affinity::{HOMES_FACTOR, KEY_SLOTS};
use super::request_class::RequestClass;
use super::statistics::{DecayingCount, DecayingMean, RecentOutcomes, SMOOTHING};
use super::{Balancer, TIMER_HEDGE, TIMER_LIST, TIMER_QUEUE};
use crate::interner::stable_hash;
use crate::{
    Action, BalancerConfig, CommandArrival, CommandIndex, DeduplicationScope, Effect,
    EndpointIndex, EndpointState, Event, ListUpdateKind, ListedEndpoint, LoadReport, Outcome,
    ReportMode, RequestClassConfig,
};
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

#[rstest]
fn an_idle_endpoint_is_preferred_to_a_busy_one() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints[0].load = 1.0;
    let actions = balancer.decide(NOW, command_arrived(0));
    assert_eq!(relayed_to(&actions), [1]);
}

#[rstest]
fn the_same_seed_gives_the_same_actions() {
    let run = || balancer_with_endpoints(Effect::Safe, 5).decide(NOW, command_arrived(0));
    assert_eq!(run(), run());
}

#[rstest]
fn weight_is_base_weight_times_score() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints[1].capacity = 2.0;
    let weights = balancer.weights(&balancer.in_view, None, None, &|_| true);
    assert!((weights[1] / weights[0] - 2.0).abs() < 1e-9, "{weights:?}");
}

#[rstest]
fn the_load_of_an_old_report_drifts_to_the_mean() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints[0].load = 9.0;
    balancer.endpoints[0].reported_at = Some(NOW - Duration::from_secs(60));
    assert!((balancer.estimated_load(&balancer.endpoints[0], 1.0) - 1.0).abs() < 1e-3);
}

// A third of the relays went to endpoints without a report, beside one that was known to be idle.
#[rstest]
fn many_unreported_endpoints_do_not_outweigh_an_idle_one() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 60);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| e.reported_at = None);
    balancer.endpoints[7].reported_at = Some(NOW);
    let weights = balancer.weights(&balancer.in_view, None, None, &|_| true);
    assert!(weights[7] > 0.8 * weights.iter().sum::<f64>());
}

// With wrong reports all endpoints seemed to hold one command, and own relays in flight made no difference (incidents i69898d
// and ie1a8dc).
#[rstest]
fn without_report_credit_own_relays_decide() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    (balancer.report_credit, balancer.endpoints[0].in_flight) = (0.0, vec![NOW]);
    let weights = balancer.weights(&balancer.in_view, None, None, &|_| true);
    assert!(weights[0] < 0.1 * weights[1], "{weights:?}");
}

// Every command walked 477 endpoints several times, which cost a seventh of the service in CPU (incident iaf261e).
#[rstest]
fn few_endpoints_of_a_large_fleet_are_in_view() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 500);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| e.reported_at = None);
    balancer.decide(NOW, command_arrived(0));
    assert!(
        !balancer.in_view.is_empty() && balancer.in_view.len() < 20,
        "{}",
        balancer.in_view.len()
    );
}

// The endpoint of a slow-start permit left the view before it was probed, and cold endpoints were sent a third less.
#[rstest]
fn an_endpoint_with_a_permit_stays_in_view() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 500);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| e.reported_at = None);
    balancer.endpoints[9].restart_cold(NOW);
    balancer.endpoints[9].permit_until = NOW + SMOOTHING;
    balancer.refresh_view();
    assert!(balancer.in_view.contains(&9));
}

#[rstest]
fn own_relays_count_whatever_the_report_says() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].in_flight = vec![NOW; 3];
    assert_eq!(balancer.estimated_load(&balancer.endpoints[0], 0.0), 3.0);
}

// Endpoints that were full reported that they held nothing (incidents i69898d and ie1a8dc).
#[rstest]
fn a_report_that_omits_own_relays_loses_credit() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].in_flight = vec![NOW - Duration::from_secs(1); 2];
    balancer.record_report(
        0,
        Some(LoadReport {
            outstanding: Some(0.0),
            ..LoadReport::default()
        }),
    );
    assert!(balancer.endpoints[0].report_credit < 1.0 && balancer.report_credit < 1.0);
}

#[rstest]
fn a_report_that_includes_own_relays_keeps_credit() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].in_flight = vec![NOW - Duration::from_secs(1); 2];
    balancer.record_report(
        0,
        Some(LoadReport {
            outstanding: Some(2.0),
            ..LoadReport::default()
        }),
    );
    assert_eq!(
        (balancer.endpoints[0].report_credit, balancer.report_credit),
        (1.0, 1.0)
    );
}

// A hundred sidecars with 15 commands a second each sent by reports that were a quarter of a second old. Slow answers of that
// time, and of cold endpoints, cost all reports their credit; loads seemed near zero (0.02 for 8 held) and the fleet was
// overloaded.
#[rstest]
#[case::reported_now(Duration::ZERO, false, true)]
#[case::reported_long_ago(Duration::from_secs(1), false, false)]
#[case::cold(Duration::ZERO, true, false)]
fn a_slow_answer_costs_credit_only_where_a_report_was_used(
    #[case] age: Duration,
    #[case] cold: bool,
    #[case] lost: bool,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].reported_at = Some(NOW - age);
    if cold {
        balancer.endpoints[0].restart_cold(NOW - Duration::from_secs(1));
    }
    balancer.commands = vec![Some(command())];
    balancer.send_relay(0, 0);
    balancer.on_relay_finished(0, 0, Outcome::TimedOut, Duration::from_millis(400));
    assert_eq!(
        balancer.report_credit < 0.99,
        lost,
        "{}",
        balancer.report_credit
    );
}

// Endpoints without credit were counted as fuller than the mean, and the whole fleet was closed.
#[rstest]
fn a_fleet_without_report_credit_still_serves() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 3);
    balancer.report_credit = 0.0;
    balancer.endpoints.iter_mut().for_each(|e| e.load = 9.0);
    let actions = balancer.decide(NOW, command_arrived(0));
    assert_eq!(relayed_to(&actions).len(), 1);
}

#[rstest]
fn a_slow_endpoint_gets_less_weight_by_its_latency() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints[0].latency = DecayingMean {
        mean: 4.0,
        spread: 1.0,
        count: 8.0,
        updated_at: NOW,
    };
    let weights = balancer.weights(&balancer.in_view, None, None, &|_| true);
    assert!(weights[0] < 0.1 * weights[1], "{weights:?}");
}

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

// Nearly half of all relays got no connection in a large fleet, and handshakes took the rest of the capacity.
#[rstest]
#[case(Duration::from_secs(1), true)]
#[case(Duration::from_secs(61), false)]
fn an_open_connection_is_preferred_where_new_ones_cost(
    #[case] age: Duration,
    #[case] preferred: bool,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    (
        balancer.parameters.new_connection_load,
        balancer.endpoints[0].last_used,
    ) = (0.2, Some(NOW - age));
    let weights = balancer.weights(&balancer.in_view, None, None, &|_| true);
    assert_eq!(weights[0] > 1.3 * weights[1], preferred, "{weights:?}");
}

// With few reports in a large fleet the mean load seemed near zero.
#[rstest]
fn one_fresh_report_of_many_gives_the_mean_load() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 80);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| e.reported_at = None);
    (
        balancer.endpoints[3].reported_at,
        balancer.endpoints[3].load,
    ) = (Some(NOW), 2.0);
    assert!((balancer.mean_load() - 2.0).abs() < 1e-9);
}

#[rstest]
fn failures_reduce_the_weight_but_not_to_zero() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints[0].outcomes = RecentOutcomes {
        failure_bits: !0,
        count: RECENT_OUTCOMES,
        ..RecentOutcomes::default()
    };
    let weights = balancer.weights(&balancer.in_view, None, None, &|_| true);
    assert!(
        weights[0] > 0.0 && weights[0] < 0.01 * weights[1],
        "{weights:?}"
    );
}

#[rstest]
#[case(Outcome::Overloaded, true)]
#[case(Outcome::ConnectFailed, true)]
#[case(Outcome::Error, false)]
#[case(Outcome::ConnectionLost, false)]
#[case(Outcome::Cancelled, false)]
fn a_non_idempotent_command_is_sent_again_only_if_it_never_ran(
    #[case] outcome: Outcome,
    #[case] is_sent_again: bool,
) {
    let mut balancer = balancer_with_relay(Effect::NonIdempotent, 3);
    let actions = balancer.decide(NOW, relay_finished(0, outcome));
    assert_eq!(relayed_to(&actions).len(), usize::from(is_sent_again));
    assert_eq!(
        actions.contains(&Action::Fail { command: 0 }),
        !is_sent_again
    );
}

#[rstest]
#[case(DeduplicationScope::Zone, Duration::ZERO, Some(1))]
#[case(DeduplicationScope::Cell, Duration::ZERO, None)]
#[case(DeduplicationScope::Zone, Duration::from_secs(5), None)]
fn a_keyed_command_stays_within_its_deduplication_scope_and_window(
    #[case] scope: DeduplicationScope,
    #[case] age: Duration,
    #[case] expected: Option<EndpointIndex>,
) {
    let mut balancer = balancer_with_relay(Effect::Keyed, 3);
    balancer.parameters.classes[0].deduplication_scope = scope;
    balancer.endpoints[1].cell = 7;
    (balancer.endpoints[2].zone, balancer.endpoints[2].cell) = (9, 7);
    let command = balancer.commands[0].as_mut().unwrap();
    (command.relays[0].sent_at, command.relays[0].outcome) =
        (NOW - age, Some(Outcome::ConnectionLost));
    balancer.endpoints[0].available = false;
    assert_eq!(balancer.pick_endpoint(0, false), expected);
}

#[rstest]
fn a_command_that_may_have_run_fails_where_repeats_are_not_dropped_everywhere() {
    let mut balancer = balancer_with_relay(Effect::Keyed, 1);
    balancer.parameters.classes[0].deduplication_scope = DeduplicationScope::Zone;
    balancer.give_up(0);
    assert!(balancer.actions.contains(&Action::Fail { command: 0 }));
}

#[rstest]
fn a_command_without_an_endpoint_is_refused_in_time() {
    let mut balancer = balancer_with_endpoints(Effect::NonIdempotent, 1);
    balancer.endpoints[0].available = false;
    balancer.commands[0] = Some(command());
    balancer.queue = vec![0];
    let actions = balancer.decide(
        NOW + Duration::from_millis(300),
        Event::TimerFired { token: TIMER_QUEUE },
    );
    assert!(
        matches!(actions[0], Action::Refuse { command: 0, .. }),
        "{actions:?}"
    );
}

// The queue's timer fired 239 ns early, no other was set, and a command got no answer (incidents i76fc45 and icb7ea6).
#[rstest]
fn a_queue_timer_that_fires_early_is_set_again() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].available = false;
    balancer.commands[0] = Some(command());
    (balancer.queue, balancer.queue_timer_at) = (vec![0], NOW + Duration::from_nanos(239));
    let actions = balancer.decide(NOW, Event::TimerFired { token: TIMER_QUEUE });
    assert!(
        actions.iter().any(|a| matches!(
            a,
            Action::SetTimer {
                token: TIMER_QUEUE,
                ..
            }
        )),
        "{actions:?}"
    );
}

// Each timer of the queue set another one, 290 thousand in a day.
#[rstest]
fn a_queue_timer_for_the_next_tick_is_not_set_again() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].available = false;
    balancer.commands[0] = Some(command());
    (balancer.queue, balancer.queue_timer_at) = (vec![0], NOW + balancer.parameters.tick);
    let actions = balancer.decide(NOW, Event::TimerFired { token: TIMER_QUEUE });
    assert!(
        !actions.iter().any(|a| matches!(
            a,
            Action::SetTimer {
                token: TIMER_QUEUE,
                ..
            }
        )),
        "{actions:?}"
    );
}

#[rstest]
fn no_retry_after_where_none_may_be_given() {
    let mut balancer = balancer_with_relay(Effect::Safe, 1);
    balancer.parameters.max_retry_after = None;
    balancer.give_up(0);
    assert!(balancer.actions.contains(&Action::Refuse {
        command: 0,
        retry_after: None
    }));
}

#[rstest]
#[case(EndpointState::Draining)]
#[case(EndpointState::Removed)]
fn a_draining_endpoint_gets_nothing_new(#[case] state: EndpointState) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    let entry = ListedEndpoint {
        state,
        ..listed_endpoint(0, Duration::ZERO)
    };
    balancer.update_list(ListUpdateKind::Delta, vec![entry]);
    assert_eq!(balancer.weights(&[0], None, None, &|_| true), [0.0]);
}

// Unused permits of 150 overloaded sidecars went to one cold endpoint at once and overloaded it.
#[rstest]
#[case(Duration::from_millis(100), 1)]
#[case(Duration::from_millis(600), 0)]
fn a_permit_is_for_one_relay_and_soon_expires(#[case] age: Duration, #[case] sent: usize) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].restart_cold(NOW);
    balancer.refresh_fleet();
    balancer.endpoints[0].permit_until = NOW - age + balancer.parameters.overload_window / 4;
    balancer.commands.extend([Some(command()), Some(command())]);
    balancer.queue = vec![1, 2];
    let actions = balancer.decide(NOW, Event::TimerFired { token: TIMER_QUEUE });
    assert_eq!(relayed_to(&actions).len(), sent);
}

// Cold endpoints were idle three quarters of the time.
#[rstest]
fn permits_follow_the_ramp_and_the_rate_of_warm_endpoints() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 60);
    balancer.endpoints[30..]
        .iter_mut()
        .for_each(|e| e.restart_cold(NOW));
    balancer.refresh_fleet();
    let time = |n: u32| NOW - n * Duration::from_millis(266);
    (0..300).rev().for_each(|n| {
        balancer.warm_kinds[0]
            .answers
            .increment(time(n), 4 * SMOOTHING)
    });
    let (mut drawn, rate) = (
        0.0,
        balancer.parameters.cold_send_share
            * balancer.warm_kinds[0].answers.rate(NOW, 4 * SMOOTHING)
            / 30.0
            * 0.2,
    );
    for _ in 0..2000 {
        balancer.permit_drawn_at = NOW - Duration::from_millis(100);
        balancer.draw_slow_start_permit();
        drawn += balancer
            .endpoints
            .iter()
            .filter(|e| e.permit_until > NOW)
            .count() as f64;
        balancer
            .endpoints
            .iter_mut()
            .for_each(|e| e.permit_until = Duration::ZERO);
    }
    let due = 2000.0 * 0.1 * 30.0 * rate;
    assert!((drawn / due - 1.0).abs() < 0.2, "{drawn} {due}");
}

/// Permits a second that are drawn for an endpoint.
fn permit_rate(balancer: &mut Balancer, index: EndpointIndex) -> f64 {
    let (mut drawn, gap, now) = (0, Duration::from_millis(10), balancer.now);
    for _ in 0..20_000 {
        balancer.permit_drawn_at = now - gap;
        balancer.draw_slow_start_permit();
        drawn += u32::from(balancer.endpoints[index].permit_until > now);
        balancer
            .endpoints
            .iter_mut()
            .for_each(|e| e.permit_until = Duration::ZERO);
    }
    f64::from(drawn) / 20_000.0 / gap.as_secs_f64()
}

/// Records warm answers of these endpoints over the last seconds, at a rate for rate.
fn record_answers(balancer: &mut Balancer, indices: std::ops::Range<EndpointIndex>, rate: u32) {
    for n in 0..8 * rate {
        balancer.now = NOW - 4 * SMOOTHING + n * Duration::from_secs(1) / rate;
        indices
            .clone()
            .for_each(|index| balancer.record_warm_answer(index));
    }
    balancer.now = NOW;
}

// When all endpoints restarted, the answers of twelve were attributed to the few that were still warm.
#[rstest]
#[case::all_stay(12, 20.0)]
#[case::half_have_left(6, 20.0)]
#[case::one_is_left(1, 20.0)]
#[case::none_is_left(0, 20.0)]
fn answers_of_endpoints_that_left_are_not_counted_for_those_that_stay(
    #[case] stay: usize,
    #[case] rate: f64,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 13);
    balancer.endpoints[12].restart_cold(NOW);
    balancer.refresh_fleet();
    record_answers(&mut balancer, 0..12, 20);
    balancer.endpoints[stay..12]
        .iter_mut()
        .for_each(|e| e.available = false);
    balancer.refresh_fleet();
    let permits = permit_rate(&mut balancer, 12) / balancer.parameters.cold_send_share / 0.2;
    assert!((permits / rate - 1.0).abs() < 0.25, "{permits}");
    // Back as cold endpoints they are not counted either.
    balancer.endpoints[stay..12]
        .iter_mut()
        .for_each(|e| (e.available, e.started_at) = (true, Some(NOW)));
    balancer.refresh_fleet();
    let permits = permit_rate(&mut balancer, 12) / balancer.parameters.cold_send_share / 0.2;
    assert!((permits / rate - 1.0).abs() < 0.25, "{permits}");
}

// Without warm endpoints the last rate decayed to nothing, and cold ones with free capacity were sent next to nothing.
#[rstest]
fn without_warm_endpoints_permits_follow_the_last_rate() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 12);
    record_answers(&mut balancer, 0..12, 20);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| e.available = false);
    balancer.refresh_fleet();
    balancer.now = NOW + 10 * SMOOTHING;
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| (e.available, e.started_at) = (true, Some(NOW + 10 * SMOOTHING)));
    balancer.refresh_fleet();
    let permits = permit_rate(&mut balancer, 3) / balancer.parameters.cold_send_share / 0.2;
    assert!((permits / 20.0 - 1.0).abs() < 0.25, "{permits}");
}

// A list gave endpoints of one core and of four the same weight: small ones were sent what large ones answer and were
// overloaded.
#[rstest]
#[case::small(0, 20.0)]
#[case::large(1, 80.0)]
#[case::kind_with_none_warm(2, 20.0)]
#[case::kind_never_seen(7, 20.0)]
fn a_cold_endpoint_is_sent_what_warm_endpoints_of_its_kind_answer(
    #[case] kind: usize,
    #[case] rate: f64,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 9);
    balancer.endpoints[4..8].iter_mut().for_each(|e| e.kind = 1);
    balancer.endpoints[8].kind = kind;
    balancer.endpoints[8].restart_cold(NOW);
    balancer.refresh_fleet();
    record_answers(&mut balancer, 0..4, 20);
    record_answers(&mut balancer, 4..8, 80);
    let permits = permit_rate(&mut balancer, 8) / balancer.parameters.cold_send_share / 0.2;
    assert!((permits / rate - 1.0).abs() < 0.25, "{permits}");
}

// Warm endpoints were overloaded beside cold ones that were half idle: the ramp is a lower bound of their capacity (incident
// i4a6661).
#[rstest]
fn a_cold_endpoint_is_sent_more_than_its_ramp_but_not_what_overloads_it() {
    let balancer = balancer_with_endpoints(Effect::Safe, 1);
    assert!(balancer.parameters.cold_send_share > 1.0 && balancer.parameters.cold_send_share < 3.0);
}

#[rstest]
fn an_endpoint_that_is_reached_again_counts_as_cold() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].times_unreachable = 3;
    balancer.record_reached(0);
    assert_eq!(balancer.endpoints[0].started_at, Some(NOW));
}

// All endpoints seemed full, none was probed again, and the service stayed down (incidents i6e3b06, ia79e8d and id7bedd).
#[rstest]
fn while_commands_wait_full_endpoints_are_probed_again() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints.iter_mut().for_each(|e| {
        (e.load, e.reported_at) = (9.0, Some(NOW - balancer.parameters.report_fresh_for * 2))
    });
    balancer.commands[0] = Some(command());
    balancer.queue = vec![0];
    let actions = balancer.decide(NOW, Event::TimerFired { token: TIMER_QUEUE });
    assert!(
        actions.iter().any(|a| matches!(a, Action::Probe { .. })),
        "{actions:?}"
    );
}

// Hundreds of quiet sidecars with two waiting commands each met at the next idle endpoint (incident i1a0a9a).
#[rstest]
fn beyond_the_queue_limit_the_least_valuable_command_is_refused_at_once() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].load = 9.0;
    balancer.commands = (0..4)
        .map(|n| {
            Some(Command {
                value: f64::from(n),
                ..command()
            })
        })
        .collect();
    balancer.queue = vec![0, 1, 2, 3];
    let actions = balancer.decide(NOW, Event::TimerFired { token: TIMER_QUEUE });
    let refused = |command_index| {
        actions
            .iter()
            .any(|a| matches!(a, Action::Refuse { command: c, .. } if *c == command_index))
    };
    assert_eq!([0, 1, 2, 3].map(refused), [true, true, true, false]);
}

// Each start refused some of its first commands, as a rate over two seconds was still near zero.
#[rstest]
fn right_after_the_start_the_queue_limit_follows_the_rate_so_far() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].load = 9.0;
    (0..30).for_each(|n| {
        balancer
            .sends_short
            .increment(NOW - Duration::from_millis(90 - 3 * n), SMOOTHING)
    });
    balancer.commands = (0..4).map(|_| Some(command())).collect();
    balancer.queue = vec![0, 1, 2, 3];
    let actions = balancer.decide(NOW, Event::TimerFired { token: TIMER_QUEUE });
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Refuse { .. })),
        "{actions:?}"
    );
}

// First tries with less time than usual were refused at once beside idle endpoints, as they were taken for retries (incident
// ree4900).
#[rstest]
#[case::never_marked(false, false, 0)]
#[case::others_are_marked(true, false, 1)]
#[case::marked(true, true, 0)]
fn where_clients_mark_retries_a_short_budget_implies_a_retry_only_if_marked(
    #[case] marked: bool,
    #[case] is_retry: bool,
    #[case] sent: usize,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    (
        balancer.retries_marked,
        balancer.parameters.classes[0].time_limit,
    ) = (marked, Duration::from_secs(1));
    (
        balancer.parameters.classes[0].usual_budget,
        balancer.parameters.classes[0].budget_confidence,
    ) = (Duration::from_millis(800), 20);
    let Event::CommandArrived(a) = command_arrived(0) else {
        unreachable!()
    };
    let actions = balancer.decide(NOW, Event::CommandArrived(CommandArrival { is_retry, ..a }));
    assert_eq!(relayed_to(&actions).len(), sent, "{actions:?}");
}

#[rstest]
fn a_limit_is_cut_once_in_a_recovery_interval() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    (
        balancer.endpoints[0].concurrency_limit,
        balancer.endpoints[0].limit_changed_at,
    ) = (10.0, NOW);
    balancer.cut_limit(0);
    balancer.cut_limit(0);
    assert_eq!(balancer.endpoints[0].concurrency_limit, 7.0);
}

// In a large fleet limits stayed at two, as each endpoint gave too few answers.
#[rstest]
fn a_limit_learnt_at_one_endpoint_applies_to_the_others() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.set_limit(0, 6.0);
    assert!(balancer.current_limit(&balancer.endpoints[1]) > INITIAL_LIMIT);
}

#[rstest]
#[case(1.0, 1)]
#[case(0.0, 0)]
fn a_hedge_needs_retry_budget(#[case] budget: f64, #[case] sent: usize) {
    let mut balancer = balancer_with_relay(Effect::Safe, 2);
    balancer.retry_budget = budget;
    balancer.commands[0].as_mut().unwrap().relays[0].sent_at = NOW - Duration::from_millis(250);
    let actions = balancer.decide(NOW, Event::TimerFired { token: TIMER_HEDGE });
    assert_eq!(relayed_to(&actions).len(), sent);
}

#[rstest]
#[case(0.0, false)]
#[case(3.0, true)]
fn past_its_target_a_relay_is_cancelled_where_others_wait(
    #[case] load: f64,
    #[case] cancelled: bool,
) {
    let mut balancer = balancer_with_relay(Effect::Safe, 1);
    balancer.endpoints[0].load = load;
    balancer.commands[0].as_mut().unwrap().target_deadline = NOW;
    balancer.on_target_passed(0);
    assert_eq!(
        balancer.actions.contains(&Action::CancelRelay {
            command: 0,
            relay: 0
        }),
        cancelled
    );
}

#[rstest]
fn past_its_target_a_relay_is_cancelled_where_reports_have_no_credit() {
    let mut balancer = balancer_with_relay(Effect::Safe, 1);
    balancer.endpoints[0].report_credit = 0.0;
    balancer.commands[0].as_mut().unwrap().target_deadline = NOW;
    balancer.on_target_passed(0);
    assert!(balancer.actions.contains(&Action::CancelRelay {
        command: 0,
        relay: 0
    }));
}

// Without homes each key was met at every endpoint and remembered at none, and a quarter of the commands was answered.
#[rstest]
fn commands_with_one_key_have_the_same_home_at_every_sidecar() {
    let home = |seed: u64, key: u64| {
        let mut balancer = balancer_with_endpoints(Effect::Safe, 20);
        (
            balancer.parameters.warm_keys,
            balancer.key_arrivals,
            balancer.random_state,
        ) = (true, vec![DecayingCount::default(); KEY_SLOTS], seed);
        (0..20).for_each(|index| {
            balancer.endpoints[index].id_hash = stable_hash(&format!("endpoint {index}"))
        });
        balancer.arrivals = DecayingCount::default();
        (0..40).for_each(|_| balancer.arrivals.increment(NOW, SMOOTHING));
        let command = Command {
            key: Some(key),
            ..command()
        };
        let homes = balancer.key_homes(&command);
        homes
            .into_iter()
            .max_by(|a, balancer| a.1.total_cmp(&balancer.1))
            .map(|(index, _)| index)
    };
    let all = |seed| {
        (0..50)
            .map(|key| home(seed, stable_hash(&format!("key {key}"))))
            .collect::<Vec<_>>()
    };
    assert_eq!(all(3), all(5));
    let spread: std::collections::BTreeSet<_> = all(3).into_iter().collect();
    assert!(spread.len() > 12, "{spread:?}");
}

// Live weights were read as plain weights: they are the full weight divided by one more than the load, and the only news of
// most endpoints.
#[rstest]
fn a_live_weight_gives_the_load() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    (
        balancer.parameters.probes_per_command,
        balancer.parameters.live_weights,
    ) = (0, true);
    for weight in [1.5, 0.5] {
        let entries = vec![ListedEndpoint {
            weight,
            ..listed_endpoint(0, Duration::ZERO)
        }];
        balancer.decide(
            NOW,
            Event::ListUpdated {
                kind: ListUpdateKind::Delta,
                entries,
            },
        );
    }
    let endpoint = &balancer.endpoints[0];
    assert!(
        (endpoint.load - 2.0).abs() < 1e-9 && endpoint.weight == 1.5,
        "{} {}",
        endpoint.load,
        endpoint.weight
    );
}

// A list gave all endpoints the same weight, and their kinds differ by 2.5 in speed.
#[rstest]
#[case(0, 1.5)]
#[case(1, 1.0)]
fn without_probes_a_faster_kind_gets_a_larger_capacity(
    #[case] probes: usize,
    #[case] at_least: f64,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    (
        balancer.parameters.probes_per_command,
        balancer.endpoints[1].kind,
        balancer.latency_by_kind,
    ) = (probes, 1, vec![DecayingMean::default(); 2]);
    (0..50).for_each(|n| {
        balancer.latency_by_kind[n % 2].record(NOW, if n % 2 == 0 { 0.5 } else { 1.5 }, SMOOTHING)
    });
    balancer.refresh_fleet();
    let ratio = balancer.endpoints[0].capacity / balancer.endpoints[1].capacity;
    assert!(
        ratio >= at_least && (probes == 0 || ratio == 1.0),
        "{ratio}"
    );
}

// Each probe cost more than it was worth and only probes reported, so that little was known. Limits by report_mode held nothing
// back, a lost zone filled all queues, and it stayed so: 0.368 served, 0.746 with the limit on all relays in flight.
#[rstest]
#[case::with_each_answer(ReportMode::Piggyback, 0.009, 1)]
#[case::with_expensive_probes_only(ReportMode::Pull, 0.009, 0)]
#[case::with_cheap_probes_only(ReportMode::Pull, 0.002, 3)]
#[case::nothing_reported(ReportMode::Silent, 0.002, 0)]
fn without_affordable_reports_no_probes_are_sent(
    #[case] report_mode: ReportMode,
    #[case] probe_price: f64,
    #[case] probes: usize,
) {
    let parameters = Balancer::derive_parameters(BalancerConfig {
        report_mode,
        probe_price,
        ..config(Effect::Safe)
    });
    assert_eq!(parameters.probes_per_command, probes);
}

// Seven in ten of the late relays were cancelled at their target, and the limit did not count them.
#[rstest]
#[case::past_its_target(500, true)]
#[case::answered_elsewhere(100, false)]
fn a_relay_cancelled_past_its_target_cuts_the_in_flight_limit(
    #[case] after_ms: u64,
    #[case] expected: bool,
) {
    let mut balancer = balancer_with_relay(Effect::Safe, 2);
    (balancer.in_flight_limit, balancer.in_flight) = (20.0, 19.0);
    balancer.decide(
        NOW + Duration::from_millis(after_ms),
        relay_finished(0, Outcome::Cancelled),
    );
    assert_eq!(
        balancer.in_flight_limit < 20.0,
        expected,
        "{}",
        balancer.in_flight_limit
    );
}

// Ten of fifty machines failed, and the in-flight limit refused what the others could have done.
#[rstest]
fn late_answers_cut_the_in_flight_limit_and_less_so_at_a_failing_endpoint() {
    let cut = |failing: bool| {
        let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
        (balancer.in_flight_limit, balancer.in_flight) = (20.0, 19.0);
        (0..RECENT_OUTCOMES).for_each(|_| {
            balancer.record_health(
                0,
                0,
                if failing {
                    Outcome::TimedOut
                } else {
                    Outcome::Answered
                },
                RECENT_OUTCOMES,
            )
        });
        balancer.adjust_in_flight_limit(0, 0, Outcome::TimedOut, false, 1.0);
        20.0 - balancer.in_flight_limit
    };
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    (balancer.in_flight_limit, balancer.in_flight) = (20.0, 19.0);
    balancer.adjust_in_flight_limit(0, 0, Outcome::Answered, true, 1.0);
    assert!(
        balancer.in_flight_limit > 20.0 && cut(false) > 0.5 && cut(true) < 0.2 * cut(false),
        "{} {}",
        cut(false),
        cut(true)
    );
}

// With part of the fleet cut off, a command whose homes all lay there was refused.
#[rstest]
fn an_unreachable_endpoint_is_no_home() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 20);
    (balancer.parameters.warm_keys, balancer.key_arrivals) =
        (true, vec![DecayingCount::default(); KEY_SLOTS]);
    (0..20).for_each(|index| {
        balancer.endpoints[index].id_hash = stable_hash(&format!("endpoint {index}"))
    });
    let command = Command {
        key: Some(7),
        ..command()
    };
    let before: Vec<_> = balancer
        .key_homes(&command)
        .into_iter()
        .map(|(index, _)| index)
        .collect();
    before
        .iter()
        .for_each(|index| balancer.endpoints[*index].retry_at = NOW + SMOOTHING);
    let after = balancer.key_homes(&command);
    assert!(
        after.len() == before.len() && after.iter().all(|(index, _)| !before.contains(index)),
        "{after:?}"
    );
}

// A key of half of all commands would fill one endpoint; it gets as many homes as it needs.
#[rstest]
fn a_popular_key_has_more_homes() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 20);
    (balancer.parameters.warm_keys, balancer.key_arrivals) =
        (true, vec![DecayingCount::default(); KEY_SLOTS]);
    (0..20).for_each(|index| {
        balancer.endpoints[index].id_hash = stable_hash(&format!("endpoint {index}"))
    });
    (0..40).for_each(|_| balancer.arrivals.increment(NOW, 4 * SMOOTHING));
    (0..20).for_each(|_| balancer.key_arrivals[7].increment(NOW, 4 * SMOOTHING));
    let full = |balancer: &Balancer, key| {
        let homes = balancer.key_homes(&Command {
            key: Some(key),
            ..command()
        });
        homes.iter().filter(|(_, share)| *share == 1.0).count()
    };
    assert_eq!(
        (full(&balancer, 8), full(&balancer, 7)),
        (1, (HOMES_FACTOR * 10.0) as usize)
    );
}

// A cold endpoint with a permit was probed where probes are not allowed.
#[rstest]
fn where_probes_are_not_allowed_an_endpoint_with_a_permit_is_not_probed() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.parameters.probes_per_command = 0;
    balancer.endpoints[1].restart_cold(NOW);
    balancer.endpoints[1].permit_until = NOW + SMOOTHING;
    balancer.endpoints[1].reported_at = None;
    let actions = balancer.decide(NOW, command_arrived(0));
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Probe { .. })),
        "{actions:?}"
    );
}

// Without probes nothing was reported any more, and the last mean load stayed above every limit (incident id7bedd).
#[rstest]
fn without_reports_the_fleet_is_not_taken_for_full() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.parameters.probes_per_command = 0;
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| (e.load, e.reported_at) = (9.0, Some(NOW - Duration::from_secs(9))));
    assert_eq!(
        relayed_to(&balancer.decide(NOW, command_arrived(0))).len(),
        1
    );
}

#[rstest]
fn a_failed_list_request_is_repeated_later() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.subscribed = true;
    let actions = balancer.decide(
        NOW,
        Event::ListUpdated {
            kind: ListUpdateKind::Failed,
            entries: vec![],
        },
    );
    assert!(actions.iter().any(|a| matches!(
        a,
        Action::SetTimer {
            token: TIMER_LIST,
            ..
        }
    )));
    assert!(balancer.endpoints[0].available);
}

// Once the agent is back its list counts as known, and a request seconds later still sent to draining endpoints.
#[rstest]
#[case::requested(true)]
#[case::pushed(false)]
fn where_lists_are_pushed_a_failed_request_is_repeated_within_the_drain_grace(
    #[case] on_request: bool,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    (
        balancer.parameters.list_on_request,
        balancer.parameters.drain_grace,
    ) = (on_request, Duration::from_millis(400));
    let mut after = Vec::new();
    for _ in 0..8 {
        balancer.subscribed = true;
        let actions = balancer.decide(
            NOW,
            Event::ListUpdated {
                kind: ListUpdateKind::Failed,
                entries: vec![],
            },
        );
        let timer = actions.iter().find_map(|a| match a {
            Action::SetTimer {
                after,
                token: TIMER_LIST,
            } => Some(*after),
            _ => None,
        });
        after.push(timer.unwrap());
    }
    assert_eq!(
        after.iter().all(|wait| *wait <= Duration::from_millis(200)),
        !on_request,
        "{after:?}"
    );
}

#[rstest]
fn a_concluded_command_is_released_when_no_relay_is_in_flight() {
    let mut balancer = balancer_with_relay(Effect::Safe, 1);
    let event = Event::RelayFinished {
        command: 0,
        relay: 0,
        outcome: Outcome::Answered,
        elapsed: Duration::from_millis(9),
        concluded: true,
        report: None,
    };
    assert!(
        balancer
            .decide(NOW, event)
            .contains(&Action::ReleaseCommand { command: 0 })
    );
}

// A third of the keyed commands whose answers were malformed were given up with most of their time left, as a quarter of it
// had passed.
#[rstest]
#[case::time_left(150, false)]
#[case::none_left(390, true)]
fn a_failed_relay_is_retried_while_a_usual_answer_fits(
    #[case] elapsed_ms: u64,
    #[case] is_refused: bool,
) {
    let mut balancer = balancer_with_relay(Effect::Safe, 2);
    balancer.commands[0]
        .iter_mut()
        .for_each(|c| c.queue_deadline = NOW + Duration::from_millis(100));
    let actions = balancer.decide(
        NOW + Duration::from_millis(elapsed_ms),
        relay_finished(0, Outcome::Error),
    );
    assert_eq!(
        actions.iter().any(|a| matches!(a, Action::Refuse { .. })),
        is_refused,
        "{actions:?}"
    );
}

// Each command that no endpoint could use was sent to five endpoints and used up the retry budget of the others.
#[rstest]
fn two_rejections_are_final_and_cost_little_retry_budget() {
    let mut balancer = balancer_with_relay(Effect::Safe, 5);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| e.reported_at = Some(NOW));
    let before = balancer.retry_budget;
    assert_eq!(
        relayed_to(&balancer.decide(NOW, relay_finished(0, Outcome::Rejected))).len(),
        1
    );
    let actions = balancer.decide(NOW, relay_finished(1, Outcome::Rejected));
    assert!(
        actions.iter().any(|a| matches!(a, Action::Refuse { .. })),
        "{actions:?}"
    );
    assert!(
        before - balancer.retry_budget < 0.3,
        "{} of {before}",
        balancer.retry_budget
    );
}

// A command whose client had a millisecond left was held back for probes and got no answer (incident i69898d).
#[rstest]
fn a_command_with_no_time_left_is_refused_at_once() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| e.reported_at = None);
    let Event::CommandArrived(a) = command_arrived(0) else {
        unreachable!()
    };
    let actions = balancer.decide(
        NOW,
        Event::CommandArrived(CommandArrival {
            budget: Duration::from_millis(1),
            ..a
        }),
    );
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Refuse { command: 0, .. })),
        "{actions:?}"
    );
}

// Endpoints let commands hang while they answered probes (incident i3e941c).
#[rstest]
fn a_relay_past_its_target_counts_as_a_failure() {
    let mut balancer = balancer_with_relay(Effect::Safe, 1);
    let relay = balancer.open_command(0).unwrap().relays[0];
    balancer.record_slow_answer(&relay, 0, Duration::from_millis(400));
    assert!(balancer.endpoints[0].health(NOW, None) < 1.0);
}

// Five of nine endpoints let every command of one class hang and answered the other classes, whose answers kept them in the
// draw for it.
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

// The class with the least utility was served a third of what the best was (incidents ic477d7 and ibbfe5c).
#[rstest]
#[case(1.0, true)]
#[case(0.2, false)]
fn the_worst_served_class_goes_first(#[case] served: f64, #[case] richer_first: bool) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    let mut other = RequestClass {
        utility: 3.0,
        ..RequestClass::from_config(&class_config(Effect::Safe), SMOOTHING, 3)
    };
    for n in 0..100 {
        balancer.parameters.classes[0]
            .arrivals
            .increment(NOW, SMOOTHING);
        other.arrivals.increment(NOW, SMOOTHING);
        other.served_in_time.increment(NOW, SMOOTHING);
        if f64::from(n) < served * 100.0 {
            balancer.parameters.classes[0]
                .served_in_time
                .increment(NOW, SMOOTHING);
        }
    }
    balancer.parameters.classes.push(other);
    let values = balancer.class_values();
    assert_eq!(values[1] > values[0], richer_first, "{values:?}");
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

// Answers to retries whose target had passed took the place of others (incident ic477d7).
#[rstest]
#[case(500, 400)]
#[case(900, 300)]
fn the_budget_of_a_last_retry_gives_the_time_spent(#[case] budget: u64, #[case] left: u64) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    (
        balancer.parameters.classes[0].usual_budget,
        balancer.parameters.classes[0].budget_confidence,
    ) = (Duration::from_millis(500), 9);
    let Event::CommandArrived(a) = command_arrived(0) else {
        unreachable!()
    };
    balancer.on_command_arrived(CommandArrival {
        budget: Duration::from_millis(budget),
        ..a
    });
    assert_eq!(
        balancer.open_command(0).unwrap().target_deadline,
        NOW + Duration::from_millis(left)
    );
}

// An endpoint that failed half of its commands at once looked idle beside busy ones and drew a twelfth of all commands,
// non-idempotent ones as well.
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

// A relay that never ran costs a non-idempotent command nothing, and a slow answer is no harmful failure either.
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

// Where the network broke connections, healthy endpoints were not sent anything for seconds and then treated as cold.
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

// Where the list changed all day, slots grew with every id there ever was, and with them memory and walks.
#[rstest]
#[case::nothing_in_flight(false, false, 1)]
#[case::relay_in_flight(true, false, 0)]
#[case::probe_in_flight(false, true, 0)]
fn the_slot_of_a_removed_endpoint_is_released(
    #[case] relay: bool,
    #[case] probe: bool,
    #[case] expected: usize,
) {
    let mut balancer = balancer_with_relay(Effect::NonIdempotent, 3);
    balancer.commands[0].as_mut().unwrap().relays[0].endpoint = if relay { 1 } else { 0 };
    balancer.endpoints[1].probe_sent_at = probe.then_some(NOW);
    (
        balancer.endpoints[1].latency.mean,
        balancer.endpoints[1].times_unreachable,
    ) = (9.0, 3);
    let entries = vec![ListedEndpoint {
        state: EndpointState::Removed,
        ..listed_endpoint(1, Duration::ZERO)
    }];
    let actions = balancer.decide(
        NOW,
        Event::ListUpdated {
            kind: ListUpdateKind::Delta,
            entries,
        },
    );
    let released = actions
        .iter()
        .filter(|a| matches!(a, Action::ReleaseEndpoint { endpoint: 1 }))
        .count();
    let endpoint = &balancer.endpoints[1];
    assert_eq!(
        (
            released,
            endpoint.in_use,
            endpoint.times_unreachable,
            balancer.in_view.len()
        ),
        (
            expected,
            expected == 0,
            3 * (1 - expected as u32),
            3 - expected
        )
    );
    // Only once: an unused slot is not released again.
    let actions = balancer.decide(
        NOW,
        Event::ListUpdated {
            kind: ListUpdateKind::Delta,
            entries: vec![],
        },
    );
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::ReleaseEndpoint { .. }))
    );
}

#[rstest]
#[case::draining(ListUpdateKind::Delta, vec![ListedEndpoint { state: EndpointState::Draining, ..listed_endpoint(0, Duration::ZERO) }], vec![])]
#[case::left_out(ListUpdateKind::Full, vec![listed_endpoint(1, Duration::ZERO)], vec![0])]
fn only_the_slot_of_a_removed_endpoint_is_released(
    #[case] kind: ListUpdateKind,
    #[case] entries: Vec<ListedEndpoint>,
    #[case] expected: Vec<usize>,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints.iter_mut().for_each(|e| e.in_use = true);
    let actions = balancer.decide(NOW, Event::ListUpdated { kind, entries });
    let slot = |a: &Action| {
        if let Action::ReleaseEndpoint { endpoint } = a {
            Some(*endpoint)
        } else {
            None
        }
    };
    assert_eq!(
        actions.iter().filter_map(slot).collect::<Vec<_>>(),
        expected
    );
}

/// A change to a configuration with classes of these names, the first with this effect.
fn reconfigured(names: &[&str], first: Effect, max_relays: usize) -> Event {
    let mut config = config(first);
    let effect = |n: usize| if n == 0 { first } else { Effect::Safe };
    config.classes = names
        .iter()
        .enumerate()
        .map(|(n, name)| RequestClassConfig {
            name: (*name).into(),
            ..class_config(effect(n))
        })
        .collect();
    config.max_relays = max_relays;
    Event::Reconfigured(Box::new(config))
}

fn assigned_classes(actions: &[Action]) -> Vec<usize> {
    let indices = |a: &Action| {
        if let Action::ClassIndicesAssigned { classes } = a {
            Some(classes.clone())
        } else {
            None
        }
    };
    actions.iter().find_map(indices).expect("class indices")
}

#[rstest]
fn an_unchanged_class_keeps_its_slot_and_a_changed_one_gets_another() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.parameters.classes[0].answer_time.mean = 0.7;
    assert_eq!(
        assigned_classes(&balancer.decide(NOW, reconfigured(&["v", "w"], Effect::Safe, 3))),
        [0, 1]
    );
    assert_eq!(
        assigned_classes(
            &balancer.decide(NOW, reconfigured(&["v", "w"], Effect::NonIdempotent, 3))
        ),
        [2, 1]
    );
    // What was learnt of the class holds; another class starts from nothing.
    assert_eq!(
        (
            balancer.parameters.classes[2].answer_time.mean,
            balancer.parameters.classes[1].answer_time.mean
        ),
        (0.7, 0.1)
    );
    // Each slot is reused once it has been retired for long, and no sooner.
    assert_eq!(
        assigned_classes(&balancer.decide(NOW + SMOOTHING, reconfigured(&["x"], Effect::Safe, 3))),
        [3]
    );
    assert_eq!(
        assigned_classes(&balancer.decide(
            NOW + 60 * SMOOTHING,
            reconfigured(&["x", "y", "z"], Effect::Safe, 3)
        )),
        [3, 0, 1]
    );
}

// A non-idempotent command was open when its class became safe: it is not sent is_sent_again. The other way round it may be.
#[rstest]
#[case::non_idempotent_before(Effect::NonIdempotent, Effect::Safe, false)]
#[case::safe_before(Effect::Safe, Effect::NonIdempotent, true)]
fn an_open_command_keeps_the_effect_it_came_with(
    #[case] before: Effect,
    #[case] now: Effect,
    #[case] is_sent_again: bool,
) {
    let mut balancer = balancer_with_relay(before, 2);
    balancer.decide(NOW, reconfigured(&["v"], now, 3));
    let actions = balancer.decide(NOW, relay_finished(0, Outcome::ConnectionLost));
    assert_eq!(
        !relayed_to(&actions).is_empty(),
        is_sent_again,
        "{actions:?}"
    );
    let failed = actions
        .iter()
        .any(|a| matches!(a, Action::Fail { command: 0 }));
    assert_eq!(failed, !is_sent_again, "{actions:?}");
}

#[rstest]
#[case::fewer(3, 1, true)]
#[case::more(1, 3, false)]
fn an_open_command_keeps_the_number_of_relays_it_came_with(
    #[case] before: usize,
    #[case] now: usize,
    #[case] is_sent_again: bool,
) {
    let mut balancer = balancer_with_relay(Effect::Safe, 2);
    balancer.parameters.classes[0].max_relays = before;
    balancer.decide(NOW, reconfigured(&["v"], Effect::Safe, now));
    let actions = balancer.decide(NOW, relay_finished(0, Outcome::ConnectionLost));
    assert_eq!(
        !relayed_to(&actions).is_empty(),
        is_sent_again,
        "{actions:?}"
    );
}

#[rstest]
fn a_class_slot_that_a_command_holds_is_not_reused() {
    let mut balancer = balancer_with_relay(Effect::NonIdempotent, 2);
    assert_eq!(
        assigned_classes(&balancer.decide(NOW, reconfigured(&["w"], Effect::Safe, 3))),
        [1]
    );
    assert_eq!(
        assigned_classes(&balancer.decide(
            NOW + 60 * SMOOTHING,
            reconfigured(&["w", "x"], Effect::Safe, 3)
        )),
        [1, 2]
    );
}

// Restarted sidecars computed their rates over eight seconds and sent cold endpoints next to nothing. Events that all arrive
// at the start are no rate either.
#[rstest]
#[case::steady(50, 40.0, 60.0)]
#[case::at_once(0, 0.0, 110.0)]
fn an_unbiased_rate_counts_over_the_time_observed(
    #[case] apart: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let mut count = DecayingCount::default();
    (0..=100).for_each(|n| {
        count.increment(
            NOW + Duration::from_millis(n * apart * 2 / 5),
            4 * SMOOTHING,
        )
    });
    let rate = count.unbiased_rate(
        NOW + Duration::from_millis(100 * apart * 2 / 5),
        4 * SMOOTHING,
    );
    assert!((least..=most).contains(&rate), "{rate}");
}

// A probe cost a tenth of a command, and each command sent one or more: an eighth of the service. When probes were then sent
// at random, most preceded commands that needed none, while commands that nothing took were refused without a probe though
// a third of the warm endpoints were idle.
#[rstest]
#[case::cheap(0.002, false, 0.0, 900..=9000)]
#[case::expensive(0.07, false, 1.0, 0..=0)]
#[case::expensive_for_a_waiting_command(0.07, true, 1.0, 900..=1000)]
#[case::expensive_and_all_are_full(0.07, true, 0.0, 20..=100)]
fn expensive_probes_are_sent_only_for_waiting_commands(
    #[case] price: f64,
    #[case] waits: bool,
    #[case] probe_yield: f64,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 8);
    balancer.parameters = Balancer::derive_parameters(BalancerConfig {
        probe_price: price,
        ..config(Effect::Safe)
    });
    balancer.probe_yield = probe_yield;
    let mut probes = 0;
    for n in 0..1000 {
        balancer.now = NOW + SMOOTHING * n;
        balancer.send_probes(Some((0, 0)).filter(|_| !waits));
        probes += balancer
            .actions
            .drain(..)
            .filter(|a| matches!(a, Action::Probe { .. }))
            .count();
        balancer
            .endpoints
            .iter_mut()
            .for_each(|e| e.probe_sent_at = None);
    }
    assert!(expected.contains(&probes), "{probes}");
}

#[rstest]
#[case::below_the_limit(0.07, 0.0, true, 0.55)]
#[case::at_the_limit(0.07, 9.0, true, 0.45)]
#[case::nothing_waits(0.07, 0.0, false, 0.5)]
#[case::cheap(0.002, 0.0, true, 0.5)]
fn expensive_probes_for_waiting_commands_adjust_the_probe_yield(
    #[case] probe_price: f64,
    #[case] load: f64,
    #[case] waits: bool,
    #[case] found: f64,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.parameters = Balancer::derive_parameters(BalancerConfig {
        probe_price,
        ..config(Effect::Safe)
    });
    (balancer.now, balancer.probe_yield) = (NOW, 0.5);
    balancer.queue.extend(waits.then_some(0));
    let report = Some(LoadReport {
        outstanding: Some(load),
        ..LoadReport::default()
    });
    balancer.on_probe_finished(0, Outcome::Answered, Duration::from_millis(1), report);
    assert!(
        (balancer.probe_yield - found).abs() < 1e-9,
        "{}",
        balancer.probe_yield
    );
}

// Three in five of the commands sent to endpoints in their first seconds were late, though the endpoints held little.
#[rstest]
fn a_cold_endpoint_counts_as_slow_by_its_ramp() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    (balancer.now, balancer.endpoints[1].permit_until) = (NOW, NOW + SMOOTHING);
    balancer.endpoints[1].restart_cold(NOW);
    let weights = balancer.weights(&balancer.in_view, None, None, &|_| true);
    assert!(weights[1] < 0.2 * weights[0], "{weights:?}");
}

/// A balancer with a command whose body is pending, and its relay in flight.
fn balancer_with_pending_body() -> Balancer {
    let mut balancer = balancer_with_endpoints(Effect::NonIdempotent, 1);
    let Event::CommandArrived(a) = command_arrived(0) else {
        unreachable!()
    };
    balancer.decide(
        NOW,
        Event::CommandArrived(CommandArrival {
            body_pending: true,
            ..a
        }),
    );
    balancer
}

// Bodies that took seconds to arrive were counted as load, and half of all commands were refused.
#[rstest]
fn a_pending_body_is_no_load_and_its_time_begins_when_it_is_complete() {
    let mut balancer = balancer_with_pending_body();
    assert_eq!(
        (balancer.endpoints[0].in_flight.len(), balancer.in_flight),
        (0, 0.0)
    );
    let later = NOW + 5 * SMOOTHING;
    balancer.decide(later, Event::BodyComplete { command: 0 });
    let command = balancer.open_command(0).unwrap();
    assert_eq!(
        (command.target_deadline, command.client_deadline),
        (
            later + Duration::from_millis(400),
            later + Duration::from_millis(500)
        )
    );
    assert_eq!(
        (balancer.endpoints[0].in_flight.len(), balancer.in_flight),
        (1, 1.0)
    );
    balancer.decide(later, relay_finished(0, Outcome::Answered));
    assert_eq!(
        (balancer.endpoints[0].in_flight.len(), balancer.in_flight),
        (0, 0.0)
    );
}

#[rstest]
#[case::kept(false)]
#[case::sent(true)]
fn a_command_whose_body_was_sent_and_not_kept_is_refused(#[case] body_sent: bool) {
    let mut balancer = balancer_with_pending_body();
    if body_sent {
        balancer.decide(NOW, Event::BodyNotReplayable { command: 0 });
    }
    let actions = balancer.decide(NOW, relay_finished(0, Outcome::ConnectFailed));
    assert_eq!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Refuse { command: 0, .. })),
        body_sent,
        "{actions:?}"
    );
}

// Slots of endpoints and classes may differ between the two processes; what was learnt is matched by name.
#[rstest]
fn learned_state_is_inherited_and_relays_in_flight_are_not() {
    let mut old = balancer_with_endpoints(Effect::Safe, 2);
    old.decide(NOW, reconfigured(&["w", "v"], Effect::Safe, 3));
    old.endpoints.iter_mut().for_each(|e| e.in_use = true);
    let endpoint = &mut old.endpoints[1];
    (
        endpoint.latency.mean,
        endpoint.concurrency_limit,
        endpoint.started_at,
        endpoint.in_flight,
    ) = (3.0, 7.0, Some(NOW - SMOOTHING), vec![NOW]);
    endpoint.outcomes_by_class = vec![
        RecentOutcomes::default(),
        RecentOutcomes {
            failure_bits: 1,
            count: 4,
            ..RecentOutcomes::default()
        },
    ];
    (
        old.in_flight_limit,
        old.parameters.classes[0].answer_time.mean,
        old.in_flight,
    ) = (5.0, 0.7, 1.0);
    let state = old.learned_state(|index| Some(format!("s-{index}")));
    assert_eq!(state.endpoint_ids().collect::<Vec<_>>(), ["s-0", "s-1"]);
    let mut new = balancer_with_endpoints(Effect::Safe, 1);
    new.endpoints[0].cordoned_since = Some(NOW);
    new.decide(
        NOW,
        Event::StateInherited {
            state: Box::new(state),
            slots: vec![None, Some(0)],
        },
    );
    let endpoint = &new.endpoints[0];
    assert_eq!(
        (
            endpoint.latency.mean,
            endpoint.concurrency_limit,
            endpoint.started_at
        ),
        (3.0, 7.0, Some(NOW - SMOOTHING))
    );
    assert_eq!(
        (
            endpoint.in_flight.len(),
            endpoint.cordoned_since,
            new.in_flight
        ),
        (0, Some(NOW), 0.0)
    );
    assert_eq!(
        (
            new.in_flight_limit,
            new.parameters.classes[0].answer_time.mean
        ),
        (5.0, 0.7)
    );
    assert_eq!(
        endpoint
            .outcomes_by_class
            .iter()
            .map(|outcomes| outcomes.count)
            .collect::<Vec<_>>(),
        [0]
    );
}

// A new process had seen no rate yet, and sent cold endpoints next to nothing for eight seconds.
#[rstest]
fn right_after_an_upgrade_cold_endpoints_get_as_many_permits_as_before() {
    let permits = |balancer: &mut Balancer| {
        (0..400)
            .filter(|n| {
                balancer.now = NOW + *n * Duration::from_millis(5);
                balancer.arrivals.increment(balancer.now, 4 * SMOOTHING);
                balancer.endpoints[0].permit_until = Duration::ZERO;
                balancer.draw_slow_start_permit();
                balancer.endpoints[0].permit_until > balancer.now
            })
            .count()
    };
    let mut old = balancer_with_endpoints(Effect::Safe, 4);
    old.endpoints.iter_mut().for_each(|e| e.in_use = true);
    old.endpoints[0].restart_cold(NOW);
    old.refresh_fleet();
    (0..1600).for_each(|n| {
        let time = NOW - Duration::from_millis(5) * (1600 - n);
        old.arrivals.increment(time, 4 * SMOOTHING);
        old.warm_kinds[0].answers.increment(time, 4 * SMOOTHING);
    });
    let state = Box::new(old.learned_state(|index| Some(index.to_string())));
    let mut new = balancer_with_endpoints(Effect::Safe, 4);
    new.endpoints[0].restart_cold(NOW);
    new.decide(
        NOW,
        Event::StateInherited {
            state,
            slots: (0..4).map(Some).collect(),
        },
    );
    let (before, after) = (permits(&mut old), permits(&mut new));
    assert!(
        after > 0 && after.abs_diff(before) < before / 3 + 3,
        "{before} and {after}"
    );
}

fn cordon_changed(endpoint: EndpointIndex, cordoned: bool) -> Event {
    Event::CordonChanged { endpoint, cordoned }
}

// The list names all as running, as just started, or as removed and back: a cordon stays until it is lifted.
#[rstest]
#[case::full_list(ListUpdateKind::Full, vec![listed_endpoint(0, Duration::ZERO), listed_endpoint(1, Duration::ZERO)])]
#[case::just_started(ListUpdateKind::Delta, vec![listed_endpoint(0, NOW)])]
#[case::removed_and_back(ListUpdateKind::Delta, vec![ListedEndpoint { state: EndpointState::Removed, ..listed_endpoint(0, Duration::ZERO) }, listed_endpoint(0, NOW)])]
fn a_cordoned_endpoint_gets_nothing_whatever_the_list_says(
    #[case] kind: ListUpdateKind,
    #[case] entries: Vec<ListedEndpoint>,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.decide(NOW, cordon_changed(0, true));
    for entry in entries {
        balancer.decide(
            NOW,
            Event::ListUpdated {
                kind,
                entries: vec![entry, listed_endpoint(1, Duration::ZERO)],
            },
        );
    }
    balancer.endpoints[1].load = 9.0;
    let mut actions = balancer.decide(NOW, command_arrived(0));
    (1..50).for_each(|command_index| {
        actions.extend(balancer.decide(NOW + SMOOTHING, command_arrived(command_index)))
    });
    let met = |a: &Action| {
        matches!(
            a,
            Action::Probe { endpoint: 0 } | Action::ReleaseEndpoint { endpoint: 0 }
        )
    };
    assert!(
        !relayed_to(&actions).is_empty()
            && !relayed_to(&actions).contains(&0)
            && !actions.iter().any(met),
        "{actions:?}"
    );
}

#[rstest]
fn a_cordon_is_lifted_at_once_however_often_it_was_set() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.endpoints[0].running = true;
    (0..3).for_each(|_| drop(balancer.decide(NOW, cordon_changed(0, true))));
    assert!(!balancer.endpoints[0].available);
    balancer.decide(NOW, cordon_changed(0, false));
    assert!(balancer.endpoints[0].available);
    // Lifting a cordon that is not set forgets nothing.
    balancer.endpoints[0].latency.count = 7.0;
    balancer.decide(NOW, cordon_changed(0, false));
    assert_eq!(balancer.endpoints[0].latency.count, 7.0);
}

// The endpoint may have restarted while it was cordoned, and the list may be late: what was learnt is of another process.
#[rstest]
#[case::list_is_late(None, NOW + SMOOTHING)]
#[case::list_reported_it(Some(NOW + SMOOTHING / 2), NOW + SMOOTHING / 2)]
fn after_its_cordon_an_endpoint_is_cold_and_nothing_learnt_before_holds(
    #[case] listed_start: Option<Duration>,
    #[case] cold_since: Duration,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints[0].running = true;
    balancer.endpoints[0].outcomes = RecentOutcomes {
        failure_bits: 0xff,
        count: 8,
        ..RecentOutcomes::default()
    };
    balancer.decide(NOW, cordon_changed(0, true));
    if let Some(time) = listed_start {
        balancer.decide(
            time,
            Event::ListUpdated {
                kind: ListUpdateKind::Delta,
                entries: vec![listed_endpoint(0, time)],
            },
        );
    }
    balancer.decide(NOW + SMOOTHING, cordon_changed(0, false));
    let endpoint = &balancer.endpoints[0];
    assert_eq!(
        (
            endpoint.started_at,
            endpoint.health(NOW + SMOOTHING, None),
            endpoint.reported_at
        ),
        (Some(cold_since), 1.0, None)
    );
}

#[rstest]
fn after_its_cordon_an_endpoint_is_tried_soon_even_with_little_traffic() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 8);
    balancer.endpoints.iter_mut().for_each(|e| e.running = true);
    balancer.decide(NOW, cordon_changed(0, true));
    balancer.decide(NOW, cordon_changed(0, false));
    let (mut tried, elapsed) = (None, Duration::from_millis(1));
    for n in 0..10 {
        let now = NOW + n as u32 * Duration::from_millis(500);
        let mut actions = balancer.decide(now, command_arrived(n));
        for position in 0.. {
            // Probes and relays are answered at once, as by an idle endpoint.
            let (outcome, report) = (
                Outcome::Answered,
                Some(LoadReport {
                    outstanding: Some(0.0),
                    ..LoadReport::default()
                }),
            );
            let event = match actions.get(position) {
                None => break,
                Some(Action::Probe { endpoint }) => Event::ProbeFinished {
                    endpoint: *endpoint,
                    outcome,
                    elapsed,
                    report,
                },
                Some(Action::Relay {
                    command, endpoint, ..
                }) => {
                    tried = tried.or((*endpoint == 0).then_some(now - NOW));
                    Event::RelayFinished {
                        command: *command,
                        relay: 0,
                        outcome,
                        elapsed,
                        concluded: true,
                        report,
                    }
                }
                Some(_) => continue,
            };
            actions.extend(balancer.decide(now, event));
        }
    }
    assert!(
        tried.is_some_and(|after| after < Duration::from_secs(4)),
        "{tried:?}"
    );
}

#[rstest]
fn where_all_endpoints_are_cordoned_a_command_is_refused_at_once() {
    let mut balancer = balancer_with_endpoints(Effect::NonIdempotent, 2);
    balancer.endpoints.iter_mut().for_each(|e| e.running = true);
    (0..2).for_each(|index| drop(balancer.decide(NOW, cordon_changed(index, true))));
    let actions = balancer.decide(NOW, command_arrived(0));
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Refuse { command: 0, .. })),
        "{actions:?}"
    );
}

// The command was held back for probes when the cordon was set.
#[rstest]
fn a_waiting_command_is_not_sent_to_a_cordoned_endpoint() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| (e.running, e.reported_at) = (true, None));
    assert_eq!(relayed_to(&balancer.decide(NOW, command_arrived(0))), []);
    let mut actions = balancer.decide(NOW, cordon_changed(0, true));
    (1..5).for_each(|n| {
        actions.extend(balancer.decide(
            NOW + n * SMOOTHING / 200,
            Event::TimerFired { token: TIMER_QUEUE },
        ))
    });
    assert_eq!(relayed_to(&actions), [1]);
}

// A class that is restricted to a kind was sent to whatever was idle.
#[rstest]
#[case::kind(None, Some(vec![1]))]
#[case::zone(Some(vec![1]), None)]
#[case::both(Some(vec![0, 1]), Some(vec![1]))]
fn a_restricted_class_goes_nowhere_else(
    #[case] zones: Option<Vec<usize>>,
    #[case] kinds: Option<Vec<usize>>,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 5);
    balancer.parameters.classes[0].allowed = [zones, kinds];
    (
        balancer.endpoints[3].kind,
        balancer.endpoints[3].zone,
        balancer.endpoints[3].load,
    ) = (1, 1, 1.0);
    // The first relay goes there, though all others are idle; the hedge and the retry find no endpoint.
    let first = balancer.decide(NOW, command_arrived(0));
    assert_eq!(relayed_to(&first), [3]);
    let hedge = balancer.decide(
        NOW + SMOOTHING / 10,
        Event::TimerFired { token: TIMER_HEDGE },
    );
    assert_eq!(relayed_to(&hedge), []);
    let overloaded = Event::RelayFinished {
        command: 0,
        relay: 0,
        outcome: Outcome::Overloaded,
        elapsed: SMOOTHING / 10,
        concluded: false,
        report: None,
    };
    let mut then = balancer.decide(NOW + SMOOTHING / 10, overloaded);
    // It waits, and is refused; it is never sent to another endpoint meanwhile.
    balancer.endpoints[3].available = false;
    (1..20).for_each(|n| {
        then.extend(balancer.decide(
            NOW + SMOOTHING / 10 + n * SMOOTHING / 40,
            Event::TimerFired { token: TIMER_QUEUE },
        ))
    });
    assert!(relayed_to(&then).iter().all(|to| *to == 3), "{then:?}");
    assert!(
        then.iter()
            .any(|a| matches!(a, Action::Refuse { command: 0, .. })),
        "{then:?}"
    );
}

// A more valuable command that nothing takes says nothing of where the others may go.
#[rstest]
fn a_waiting_command_of_a_restricted_class_does_not_block_others() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.parameters.classes.push(RequestClass::from_config(
        &RequestClassConfig {
            utility: 9.0,
            ..class_config(Effect::Safe)
        },
        SMOOTHING / 20,
        3,
    ));
    balancer.parameters.classes[1].allowed = [None, Some(vec![1])];
    balancer.commands = vec![
        Some(Command {
            class: 1,
            value: 9.0,
            best_value: 9.0,
            ..command()
        }),
        None,
    ];
    balancer.queue = vec![0];
    assert_eq!(
        relayed_to(&balancer.decide(NOW, command_arrived(1))).len(),
        1
    );
}

// ---- helpers ----

fn class_config(effect: Effect) -> RequestClassConfig {
    let ms = Duration::from_millis;
    RequestClassConfig {
        name: "v".into(),
        effect,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: Duration::from_secs(5),
        deadline_target: ms(400),
        time_limit: ms(1000),
        target_per_work: 0.0,
        utility: 1.0,
        late_utility: 0.0,
        stream: false,
        allowed_zones: None,
        allowed_kinds: None,
    }
}

fn config(effect: Effect) -> BalancerConfig {
    let ms = Duration::from_millis;
    BalancerConfig {
        seed: 7,
        own_zone: 0,
        zones: vec!["z".into()],
        kinds: vec![],
        classes: vec![class_config(effect)],
        tenants: vec![],
        surplus_utility: 1.0,
        objective_total: 0.6,
        objective_worst_class: 0.4,
        tick: ms(1),
        max_relays: 3,
        max_retry_after: Some(ms(500)),
        probes_allowed: true,
        cancellation_allowed: true,
        hedging_allowed: true,
        list_on_request: true,
        report_mode: ReportMode::Piggyback,
        live_weights: false,
        warm_keys: false,
        probe_price: 0.002,
        cross_zone_price: 0.0,
        handshake_price: 0.0,
        idle_close: Duration::from_secs(60),
        streams_per_connection: 100,
        list_poll_interval: Duration::from_secs(10),
        drain_grace: Duration::from_millis(500),
        cold_capacity: 0.2,
        warm_up_time: Duration::from_secs(20),
        overload_multiple: 3.0,
        overload_window: Duration::from_secs(2),
    }
}

fn balancer_with_endpoints(effect: Effect, endpoints: usize) -> Balancer {
    let mut balancer = Balancer::new(config(effect));
    balancer.now = NOW;
    balancer.endpoints = (0..endpoints).map(|_| Endpoint::unused()).collect();
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| (e.available, e.reported_at) = (true, Some(NOW)));
    balancer.commands = vec![None];
    balancer.refresh_fleet();
    (0..endpoints).for_each(|index| balancer.bring_into_view(index));
    balancer
}

fn command() -> Command {
    Command {
        class: 0,
        weight_set: 0,
        key: None,
        arrived_at: NOW,
        target_deadline: NOW + Duration::from_millis(400),
        client_deadline: NOW + Duration::from_millis(500),
        value: 1.0,
        best_value: 1.0,
        probe_wait_until: NOW,
        queue_deadline: NOW + Duration::from_millis(200),
        queued: true,
        concluded: false,
        streaming: false,
        body_pending: false,
        body_not_replayable: false,
        probe_rounds: 0,
        relays: vec![],
    }
}

/// A balancer with one command and one relay in flight, at endpoint 0.
fn balancer_with_relay(effect: Effect, endpoints: usize) -> Balancer {
    let mut balancer = balancer_with_endpoints(effect, endpoints);
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
    balancer
}

fn command_arrived(command: CommandIndex) -> Event {
    let budget = Duration::from_millis(500);
    Event::CommandArrived(CommandArrival {
        command,
        class: 0,
        tenant: None,
        key: None,
        budget,
        work: None,
        is_retry: false,
        is_write: false,
        weight_set: 0,
        body_pending: false,
    })
}

fn relay_finished(relay: usize, outcome: Outcome) -> Event {
    let elapsed = Duration::from_millis(5);
    Event::RelayFinished {
        command: 0,
        relay,
        outcome,
        elapsed,
        concluded: false,
        report: None,
    }
}

fn listed_endpoint(endpoint: EndpointIndex, started_at: Duration) -> ListedEndpoint {
    ListedEndpoint {
        endpoint,
        id_hash: endpoint as u64,
        zone: 0,
        cell: 0,
        kind: 0,
        weight: 1.0,
        started_at,
        state: EndpointState::Running,
    }
}

fn relayed_to(actions: &[Action]) -> Vec<EndpointIndex> {
    let to = |a: &Action| {
        if let Action::Relay { endpoint, .. } = a {
            Some(*endpoint)
        } else {
            None
        }
    };
    actions.iter().filter_map(to).collect()
}

// Routes decide which endpoints a command may use; the draw among them is as usual.
#[rstest]
#[case::first_set(0, vec![1])]
#[case::second_set(1, vec![0, 2])]
#[case::unknown_set(7, vec![])]
fn a_command_goes_where_its_weight_set_has_weight(
    #[case] weight_set: usize,
    #[case] endpoints: Vec<EndpointIndex>,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 3);
    balancer.decide(
        NOW,
        Event::RouteWeightsChanged {
            weights: vec![(0, 1, 1.0), (1, 0, 1.0), (1, 2, 0.5), (1, 1, 0.0)],
        },
    );
    balancer.commands[0] = Some(Command {
        weight_set,
        ..command()
    });
    let mut drawn: Vec<_> = (0..200)
        .filter_map(|_| balancer.pick_endpoint(0, false))
        .collect();
    drawn.sort_unstable();
    drawn.dedup();
    assert_eq!(drawn, endpoints);
}

// A weight set in which no endpoint is available must not hold up commands of another.
#[rstest]
fn a_weight_set_without_open_endpoints_does_not_block_others() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.decide(
        NOW,
        Event::RouteWeightsChanged {
            weights: vec![(0, 0, 1.0), (1, 1, 1.0)],
        },
    );
    balancer.endpoints[0].available = false;
    for command_index in 0..2 {
        balancer.commands.resize_with(2, || None);
        balancer.commands[command_index] = Some(Command {
            weight_set: command_index,
            value: 2.0 - command_index as f64,
            ..command()
        });
        balancer.queue.push(command_index);
    }
    balancer.run_queue();
    assert_eq!(
        relayed_to(&balancer.actions).len(),
        1,
        "{:?}",
        balancer.actions
    );
    assert_eq!(balancer.queue, [0]);
}
