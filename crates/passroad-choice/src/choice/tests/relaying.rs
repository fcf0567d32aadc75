//! Bodies of relays.

use super::*;

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
