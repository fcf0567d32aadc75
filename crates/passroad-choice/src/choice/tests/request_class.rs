//! Request classes and their reconfiguration.

use super::*;

// The class with the least utility was served a third of what the best was (incidents ic477d7 and
// ibbfe5c).
#[rstest]
#[case(1.0, true)]
#[case(0.2, false)]
fn the_worst_served_class_goes_first(#[case] served: f64, #[case] richer_first: bool) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    let mut other = RequestClass {
        utility: 3.0,
        ..RequestClass::from_config(&class_config(Effect::Safe), SMOOTHING, 3)
    };
    for n in 0..100 {
        balancer.parameters.classes[0]
            .arrivals
            .increment(NOW, SMOOTHING);
        other.arrivals.increment(NOW, SMOOTHING);
        other.served_in_time.increment(NOW, SMOOTHING);
        if f64::from(n) < served * 100.0 {
            balancer.parameters.classes[0]
                .served_in_time
                .increment(NOW, SMOOTHING);
        }
    }
    balancer.parameters.classes.push(other);
    let values = balancer.class_values();
    assert_eq!(values[1] > values[0], richer_first, "{values:?}");
}

fn assigned_classes(actions: &[Action]) -> Vec<usize> {
    let indices = |a: &Action| {
        if let Action::ClassIndicesAssigned { classes } = a {
            Some(classes.clone())
        } else {
            None
        }
    };
    actions.iter().find_map(indices).expect("class indices")
}

#[rstest]
fn an_unchanged_class_keeps_its_slot_and_a_changed_one_gets_another() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.parameters.classes[0].answer_time.mean = 0.7;
    assert_eq!(
        assigned_classes(&balancer.decide(NOW, reconfigured(&["v", "w"], Effect::Safe, 3))),
        [0, 1]
    );
    assert_eq!(
        assigned_classes(
            &balancer.decide(NOW, reconfigured(&["v", "w"], Effect::NonIdempotent, 3))
        ),
        [2, 1]
    );
    // What was learnt of the class holds; another class starts from nothing.
    assert_eq!(
        (
            balancer.parameters.classes[2].answer_time.mean,
            balancer.parameters.classes[1].answer_time.mean
        ),
        (0.7, 0.1)
    );
    // Each slot is reused once it has been retired for long, and no sooner.
    assert_eq!(
        assigned_classes(&balancer.decide(NOW + SMOOTHING, reconfigured(&["x"], Effect::Safe, 3))),
        [3]
    );
    assert_eq!(
        assigned_classes(&balancer.decide(
            NOW + 60 * SMOOTHING,
            reconfigured(&["x", "y", "z"], Effect::Safe, 3)
        )),
        [3, 0, 1]
    );
}

// A non-idempotent command was open when its class became safe: it is not sent is_sent_again. The
// other way round it may be.
#[rstest]
#[case::non_idempotent_before(Effect::NonIdempotent, Effect::Safe, false)]
#[case::safe_before(Effect::Safe, Effect::NonIdempotent, true)]
fn an_open_command_keeps_the_effect_it_came_with(
    #[case] before: Effect,
    #[case] now: Effect,
    #[case] is_sent_again: bool,
) {
    let mut balancer = balancer_with_relay(before, 2);
    balancer.decide(NOW, reconfigured(&["v"], now, 3));
    let actions = balancer.decide(NOW, relay_finished(0, Outcome::ConnectionLost));
    assert_eq!(
        !relayed_to(&actions).is_empty(),
        is_sent_again,
        "{actions:?}"
    );
    let failed = actions
        .iter()
        .any(|a| matches!(a, Action::Fail { command: 0 }));
    assert_eq!(failed, !is_sent_again, "{actions:?}");
}

#[rstest]
#[case::fewer(3, 1, true)]
#[case::more(1, 3, false)]
fn an_open_command_keeps_the_number_of_relays_it_came_with(
    #[case] before: usize,
    #[case] now: usize,
    #[case] is_sent_again: bool,
) {
    let mut balancer = balancer_with_relay(Effect::Safe, 2);
    balancer.parameters.classes[0].max_relays = before;
    balancer.decide(NOW, reconfigured(&["v"], Effect::Safe, now));
    let actions = balancer.decide(NOW, relay_finished(0, Outcome::ConnectionLost));
    assert_eq!(
        !relayed_to(&actions).is_empty(),
        is_sent_again,
        "{actions:?}"
    );
}

#[rstest]
fn a_class_slot_that_a_command_holds_is_not_reused() {
    let mut balancer = balancer_with_relay(Effect::NonIdempotent, 2);
    assert_eq!(
        assigned_classes(&balancer.decide(NOW, reconfigured(&["w"], Effect::Safe, 3))),
        [1]
    );
    assert_eq!(
        assigned_classes(&balancer.decide(
            NOW + 60 * SMOOTHING,
            reconfigured(&["w", "x"], Effect::Safe, 3)
        )),
        [1, 2]
    );
}
