//! Slow start.

use super::*;

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

// When all endpoints restarted, the answers of twelve were attributed to the few that were still
// warm.
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

// Without warm endpoints the last rate decayed to nothing, and cold ones with free capacity were
// sent next to nothing.
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

// A list gave endpoints of one core and of four the same weight: small ones were sent what large
// ones answer and were overloaded.
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

// Warm endpoints were overloaded beside cold ones that were half idle: the ramp is a lower bound of
// their capacity (incident i4a6661).
#[rstest]
fn a_cold_endpoint_is_sent_more_than_its_ramp_but_not_what_overloads_it() {
    let balancer = balancer_with_endpoints(Effect::Safe, 1);
    assert!(balancer.parameters.cold_send_share > 1.0 && balancer.parameters.cold_send_share < 3.0);
}

// Three in five of the commands sent to endpoints in their first seconds were late, though the
// endpoints held little.
#[rstest]
fn a_cold_endpoint_counts_as_slow_by_its_ramp() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    (balancer.now, balancer.endpoints[1].permit_until) = (NOW, NOW + SMOOTHING);
    balancer.endpoints[1].restart_cold(NOW);
    let weights = balancer.weights(&balancer.in_view, None, None, &|_| true);
    assert!(weights[1] < 0.2 * weights[0], "{weights:?}");
}
