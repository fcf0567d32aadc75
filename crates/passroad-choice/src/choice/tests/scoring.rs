//! Scores and the weighted draw.

use super::*;

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

// Nearly half of all relays got no connection in a large fleet, and handshakes took the rest of the
// capacity.
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
