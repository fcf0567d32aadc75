//! Probing.

use super::*;

// All endpoints seemed full, none was probed again, and the service stayed down (incidents i6e3b06,
// ia79e8d and id7bedd).
#[rstest]
fn while_commands_wait_full_endpoints_are_probed_again() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.endpoints.iter_mut().for_each(|e| {
        (e.load, e.reported_at) = (9.0, Some(NOW - balancer.parameters.report_fresh_for * 2))
    });
    balancer.commands[0] = Some(command());
    balancer.queue = vec![0];
    let actions = balancer.decide(NOW, Event::TimerFired { token: TIMER_QUEUE });
    assert!(
        actions.iter().any(|a| matches!(a, Action::Probe { .. })),
        "{actions:?}"
    );
}

// Each probe cost more than it was worth and only probes reported, so that little was known. Limits
// by report_mode held nothing back, a lost zone filled all queues, and it stayed so: 0.368 served,
// 0.746 with the limit on all relays in flight.
#[rstest]
#[case::with_each_answer(ReportMode::Piggyback, 0.009, 1)]
#[case::with_expensive_probes_only(ReportMode::Pull, 0.009, 0)]
#[case::with_cheap_probes_only(ReportMode::Pull, 0.002, 3)]
#[case::nothing_reported(ReportMode::Silent, 0.002, 0)]
fn without_affordable_reports_no_probes_are_sent(
    #[case] report_mode: ReportMode,
    #[case] probe_price: f64,
    #[case] probes: usize,
) {
    let parameters = Parameters::from_config(BalancerConfig {
        report_mode,
        probe_price,
        ..config(Effect::Safe)
    });
    assert_eq!(parameters.probes_per_command, probes);
}

// A cold endpoint with a permit was probed where probes are not allowed.
#[rstest]
fn where_probes_are_not_allowed_an_endpoint_with_a_permit_is_not_probed() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 2);
    balancer.parameters.probes_per_command = 0;
    balancer.endpoints[1].restart_cold(NOW);
    balancer.endpoints[1].permit_until = NOW + SMOOTHING;
    balancer.endpoints[1].reported_at = None;
    let actions = balancer.decide(NOW, command_arrived(0));
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Probe { .. })),
        "{actions:?}"
    );
}

// A probe cost a tenth of a command, and each command sent one or more: an eighth of the service.
// When probes were then sent at random, most preceded commands that needed none, while commands
// that nothing took were refused without a probe though a third of the warm endpoints were idle.
#[rstest]
#[case::cheap(0.002, false, 0.0, 900..=9000)]
#[case::expensive(0.07, false, 1.0, 0..=0)]
#[case::expensive_for_a_waiting_command(0.07, true, 1.0, 900..=1000)]
#[case::expensive_and_all_are_full(0.07, true, 0.0, 20..=100)]
fn expensive_probes_are_sent_only_for_waiting_commands(
    #[case] price: f64,
    #[case] waits: bool,
    #[case] probe_yield: f64,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 8);
    balancer.parameters = Parameters::from_config(BalancerConfig {
        probe_price: price,
        ..config(Effect::Safe)
    });
    balancer.probe_yield = probe_yield;
    let mut probes = 0;
    for n in 0..1000 {
        balancer.now = NOW + SMOOTHING * n;
        balancer.send_probes(Some((0, 0)).filter(|_| !waits));
        probes += balancer
            .actions
            .drain(..)
            .filter(|a| matches!(a, Action::Probe { .. }))
            .count();
        balancer
            .endpoints
            .iter_mut()
            .for_each(|e| e.probe_sent_at = None);
    }
    assert!(expected.contains(&probes), "{probes}");
}

#[rstest]
#[case::below_the_limit(0.07, 0.0, true, 0.55)]
#[case::at_the_limit(0.07, 9.0, true, 0.45)]
#[case::nothing_waits(0.07, 0.0, false, 0.5)]
#[case::cheap(0.002, 0.0, true, 0.5)]
fn expensive_probes_for_waiting_commands_adjust_the_probe_yield(
    #[case] probe_price: f64,
    #[case] load: f64,
    #[case] waits: bool,
    #[case] found: f64,
) {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 1);
    balancer.parameters = Parameters::from_config(BalancerConfig {
        probe_price,
        ..config(Effect::Safe)
    });
    (balancer.now, balancer.probe_yield) = (NOW, 0.5);
    balancer.queue.extend(waits.then_some(0));
    let report = Some(LoadReport {
        outstanding: Some(load),
        ..LoadReport::default()
    });
    balancer.on_probe_finished(0, Outcome::Answered, Duration::from_millis(1), report);
    assert!(
        (balancer.probe_yield - found).abs() < 1e-9,
        "{}",
        balancer.probe_yield
    );
}
