//! Cordons.

use super::*;

fn cordon_changed(endpoint: EndpointIndex, cordoned: bool) -> Event {
    Event::CordonChanged { endpoint, cordoned }
}

// The list names all as running, as just started, or as removed and back: a cordon stays until it
// is lifted.
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

// The endpoint may have restarted while it was cordoned, and the list may be late: what was learnt
// is of another process.
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
