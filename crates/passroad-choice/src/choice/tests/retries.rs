//! Retries and final answers.

use super::*;

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

// A third of the keyed commands whose answers were malformed were given up with most of their time
// left, as a quarter of it had passed.
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

// Each command that no endpoint could use was sent to five endpoints and used up the retry budget
// of the others.
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
