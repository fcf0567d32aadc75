//! Load reports and the load estimated from them.

use super::*;

#[rstest]
fn the_load_of_an_old_report_drifts_to_the_mean() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints[0].load = 9.0;
    balancer.endpoints[0].reported_at = Some(NOW - Duration::from_secs(60));
    assert!((balancer.estimated_load(&balancer.endpoints[0], 1.0) - 1.0).abs() < 1e-3);
}

// With wrong reports all endpoints seemed to hold one command, and own relays in flight made no
// difference (incidents i69898d and ie1a8dc).
#[rstest]
fn without_report_credit_own_relays_decide() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    (balancer.report_credit, balancer.endpoints[0].in_flight) = (0.0, vec![NOW]);
    let weights = balancer.weights(&balancer.in_view, None, None, &|_| true);
    assert!(weights[0] < 0.1 * weights[1], "{weights:?}");
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

// A hundred sidecars with 15 commands a second each sent by reports that were a quarter of a second
// old. Slow answers of that time, and of cold endpoints, cost all reports their credit; loads
// seemed near zero (0.02 for 8 held) and the fleet was overloaded.
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

// Live weights were read as plain weights: they are the full weight divided by one more than the
// load, and the only news of most endpoints.
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

// Without probes nothing was reported any more, and the last mean load stayed above every limit
// (incident id7bedd).
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
