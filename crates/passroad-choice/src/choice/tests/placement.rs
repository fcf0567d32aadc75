//! Restricted classes and weight sets.

use super::*;

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
    // The first relay goes there, though all others are idle; the hedge and the retry find no
    // endpoint.
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
