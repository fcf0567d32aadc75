//! The learned state of a handover.

use super::*;

// Slots of endpoints and classes may differ between the two processes; what was learnt is matched
// by name.
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
