//! Concurrency limits.

use super::*;

#[rstest]
fn a_limit_is_cut_once_in_a_recovery_interval() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    (
        balancer.endpoints[0].concurrency_limit,
        balancer.endpoints[0].limit_changed_at,
    ) = (10.0, NOW);
    balancer.cut_limit(0);
    balancer.cut_limit(0);
    assert_eq!(balancer.endpoints[0].concurrency_limit, 7.0);
}

// In a large fleet limits stayed at two, as each endpoint gave too few answers.
#[rstest]
fn a_limit_learnt_at_one_endpoint_applies_to_the_others() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.set_limit(0, 6.0);
    assert!(balancer.current_limit(&balancer.endpoints[1]) > INITIAL_LIMIT);
}

// Seven in ten of the late relays were cancelled at their target, and the limit did not count them.
#[rstest]
#[case::past_its_target(500, true)]
#[case::answered_elsewhere(100, false)]
fn a_relay_cancelled_past_its_target_cuts_the_in_flight_limit(
    #[case] after_ms: u64,
    #[case] expected: bool,
) {
    let mut balancer = balancer_with_relay(Effect::Safe, 2);
    (balancer.in_flight_limit, balancer.in_flight) = (20.0, 19.0);
    balancer.decide(
        NOW + Duration::from_millis(after_ms),
        relay_finished(0, Outcome::Cancelled),
    );
    assert_eq!(
        balancer.in_flight_limit < 20.0,
        expected,
        "{}",
        balancer.in_flight_limit
    );
}

// Ten of fifty machines failed, and the in-flight limit refused what the others could have done.
#[rstest]
fn late_answers_cut_the_in_flight_limit_and_less_so_at_a_failing_endpoint() {
    let cut = |failing: bool| {
        let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
        (balancer.in_flight_limit, balancer.in_flight) = (20.0, 19.0);
        (0..RECENT_OUTCOMES).for_each(|_| {
            balancer.record_health(
                0,
                0,
                if failing {
                    Outcome::TimedOut
                } else {
                    Outcome::Answered
                },
                RECENT_OUTCOMES,
            )
        });
        balancer.adjust_in_flight_limit(0, 0, Outcome::TimedOut, false, 1.0);
        20.0 - balancer.in_flight_limit
    };
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    (balancer.in_flight_limit, balancer.in_flight) = (20.0, 19.0);
    balancer.adjust_in_flight_limit(0, 0, Outcome::Answered, true, 1.0);
    assert!(
        balancer.in_flight_limit > 20.0 && cut(false) > 0.5 && cut(true) < 0.2 * cut(false),
        "{} {}",
        cut(false),
        cut(true)
    );
}
