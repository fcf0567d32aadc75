//! Arrivals, the wait queue and its limit.

use super::*;

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

// The queue's timer fired 239 ns early, no other was set, and a command got no answer (incidents
// i76fc45 and icb7ea6).
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

// Hundreds of quiet sidecars with two waiting commands each met at the next idle endpoint (incident
// i1a0a9a).
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

// First tries with less time than usual were refused at once beside idle endpoints, as they were
// taken for retries (incident ree4900).
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

// Guards against commands of all clients that are refused at once because one client sends many that can't be answered in time:
// theirs were taken for late retries.
#[rstest]
fn budgets_without_time_for_an_answer_do_not_make_others_look_like_retries() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    let class = &mut balancer.parameters.classes[0];
    class.time_limit = Duration::from_secs(1);
    (class.usual_budget, class.budget_confidence) = (Duration::from_millis(500), 20);
    let Event::CommandArrived(usual) = command_arrived(0) else {
        unreachable!()
    };
    for command in 1..100 {
        let budget = Duration::from_millis(1);
        let hopeless = CommandArrival {
            command,
            budget,
            ..usual.clone()
        };
        balancer.decide(NOW, Event::CommandArrived(hopeless));
    }
    let actions = balancer.decide(NOW, Event::CommandArrived(usual));
    assert_eq!(relayed_to(&actions).len(), 1, "{actions:?}");
}

// Where clients don't mark retries and two of their budgets are about as frequent, the commands with one of them are taken for late
// retries by turns, and refused (KNOWN-RED.txt).
#[rstest]
fn commands_with_a_second_usual_budget_are_not_taken_for_retries() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.parameters.classes[0].time_limit = Duration::from_secs(1);
    let Event::CommandArrived(usual) = command_arrived(0) else {
        unreachable!()
    };
    let mut refused = 0;
    for number in 0..100 {
        let now = NOW + number * Duration::from_millis(10);
        let budget = Duration::from_millis(if number % 9 < 5 { 400 } else { 500 });
        let arrival = CommandArrival {
            budget,
            ..usual.clone()
        };
        let actions = balancer.decide(now, Event::CommandArrived(arrival));
        refused += usize::from(relayed_to(&actions).is_empty());
        let answered = Event::RelayFinished {
            command: 0,
            relay: 0,
            outcome: Outcome::Answered,
            elapsed: Duration::from_millis(5),
            concluded: true,
            report: None,
        };
        balancer.decide(now + Duration::from_millis(5), answered);
    }
    assert_eq!(refused, 0);
}

// A command whose client had a millisecond left was held back for probes and got no answer
// (incident i69898d).
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
