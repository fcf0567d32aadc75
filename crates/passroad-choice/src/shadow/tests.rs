//! Tests of the shadow evaluation.

use super::*;
use crate::*;
use rstest::rstest;

fn config(probes_allowed: bool, hedging_allowed: bool, warm_keys: bool) -> BalancerConfig {
    let ms = Duration::from_millis;
    BalancerConfig {
        seed: 7,
        own_zone: 0,
        zones: vec!["z".into()],
        kinds: vec![],
        classes: vec![RequestClassConfig {
            name: "look".into(),
            effect: Effect::Safe,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: Duration::ZERO,
            deadline_target: ms(400),
            time_limit: ms(1000),
            target_per_work: 0.0,
            utility: 1.0,
            late_utility: 0.0,
            stream: false,
            allowed_zones: None,
            allowed_kinds: None,
        }],
        tenants: vec![],
        surplus_utility: 1.0,
        objective_total: 1.0,
        objective_worst_class: 0.0,
        tick: ms(1),
        max_relays: 3,
        max_retry_after: None,
        probes_allowed,
        cancellation_allowed: true,
        hedging_allowed,
        list_on_request: false,
        report_mode: ReportMode::Piggyback,
        live_weights: false,
        warm_keys,
        probe_price: 0.0,
        cross_zone_price: 0.0,
        handshake_price: 0.0,
        idle_close: Duration::from_secs(60),
        streams_per_connection: 100,
        list_poll_interval: Duration::from_secs(10),
        drain_grace: Duration::from_millis(500),
        cold_capacity: 0.2,
        warm_up_time: Duration::from_secs(20),
        overload_multiple: 3.0,
        overload_window: Duration::from_secs(2),
    }
}

/// Gives a balancer a list of ten endpoints, then commands with a few keys that are answered 20 ms
/// later; returns its actions and the counts of its shadow.
fn run(mut balancer: ShadowedBalancer) -> (Vec<Action>, Option<ShadowCounts>) {
    let time = |n: u64| Duration::from_millis(100_000 + 10 * n);
    let listed_endpoint = |endpoint| {
        let (id_hash, started_at) = (
            interner::stable_hash(&format!("e{endpoint}")),
            Duration::ZERO,
        );
        ListedEndpoint {
            endpoint,
            id_hash,
            zone: 0,
            cell: 0,
            kind: 0,
            weight: 1.0,
            started_at,
            state: EndpointState::Running,
        }
    };
    let entries = (0..10).map(listed_endpoint).collect();
    let mut all = balancer.decide(
        time(0),
        Event::ListUpdated {
            kind: ListUpdateKind::Full,
            entries,
        },
    );
    for n in 0..200u64 {
        let command = n as usize;
        let arrival = CommandArrival {
            command,
            class: 0,
            tenant: None,
            key: Some(n % 7),
            budget: Duration::from_secs(1),
            work: None,
            is_retry: false,
            is_write: false,
            weight_set: 0,
            body_pending: false,
        };
        let mut actions = balancer.decide(time(2 * n + 1), Event::CommandArrived(arrival));
        let probed: Vec<_> = actions
            .iter()
            .filter_map(|a| match a {
                Action::Probe { endpoint } => Some(*endpoint),
                _ => None,
            })
            .collect();
        let (elapsed, outcome) = (Duration::from_millis(20), Outcome::Answered);
        let report = Some(LoadReport {
            outstanding: Some(0.0),
            ..LoadReport::default()
        });
        for endpoint in probed {
            actions.extend(balancer.decide(
                time(2 * n + 1),
                Event::ProbeFinished {
                    endpoint,
                    outcome,
                    elapsed,
                    report,
                },
            ));
        }
        if fate(&actions, command).is_some() {
            let finished = Event::RelayFinished {
                command,
                relay: 0,
                outcome,
                elapsed,
                concluded: true,
                report,
            };
            actions.extend(balancer.decide(time(2 * n + 3), finished));
        }
        all.extend(actions);
    }
    (all, balancer.counts())
}

#[rstest]
#[case::the_same_configuration(config(true, true, false))]
#[case::another_configuration(config(false, false, true))]
fn a_shadow_changes_nothing_that_is_done(#[case] shadow_config: BalancerConfig) {
    let (alone, none) = run(ShadowedBalancer::new(config(true, true, false), None));
    let (shadowed, counts) = run(ShadowedBalancer::new(
        config(true, true, false),
        Some(shadow_config),
    ));
    assert_eq!((alone, none, counts.is_some()), (shadowed, None, true));
}

#[rstest]
fn a_shadow_with_the_same_configuration_decides_the_same_configuration() {
    let (_, counts) = run(ShadowedBalancer::new(
        config(true, true, false),
        Some(config(true, true, false)),
    ));
    let counts = counts.unwrap();
    assert_eq!(
        counts,
        ShadowCounts {
            same: 200,
            ..ShadowCounts::default()
        }
    );
}

#[rstest]
fn differences_are_counted_by_kind() {
    let (actions, counts) = run(ShadowedBalancer::new(
        config(true, true, false),
        Some(config(false, false, true)),
    ));
    let counts = counts.unwrap();
    let probes = actions
        .iter()
        .filter(|a| matches!(a, Action::Probe { .. }))
        .count() as u64;
    assert_eq!(counts.probes, probes);
    assert!(probes > 0 && counts.elsewhere > 50, "{counts}");
}
