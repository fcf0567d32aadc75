//! The endpoint list and the slots of endpoints.

use super::*;

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

// Once the agent is back its list counts as known, and a request seconds later still sent to
// draining endpoints.
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

// Where the list changed all day, slots grew with every id there ever was, and with them memory and
// walks.
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
