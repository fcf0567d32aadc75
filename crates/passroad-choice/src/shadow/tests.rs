use super::*;
use crate::*;
use rstest::rstest;

fn orders(probes: bool, second_copies: bool, warm_keys: bool) -> BalancerConfig {
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
        probes_allowed: probes,
        cancellation_allowed: true,
        hedging_allowed: second_copies,
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

/// A list of ten, then commands of a few keys that are answered 20 ms later; what the lead did.
fn run(mut watched: ShadowedBalancer) -> (Vec<Action>, Option<ShadowCounts>) {
    let at = |n: u64| Duration::from_millis(100_000 + 10 * n);
    let listing = |endpoint| {
        let (mark, started) = (
            interner::stable_hash(&format!("e{endpoint}")),
            Duration::ZERO,
        );
        ListedEndpoint {
            endpoint,
            id_hash: mark,
            zone: 0,
            cell: 0,
            kind: 0,
            weight: 1.0,
            started_at: started,
            state: EndpointState::Running,
        }
    };
    let entries = (0..10).map(listing).collect();
    let mut all = watched.decide(
        at(0),
        Event::ListUpdated {
            kind: ListUpdateKind::Full,
            entries,
        },
    );
    for n in 0..200u64 {
        let cmd = n as usize;
        let arrival = CommandArrival {
            command: cmd,
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
        let mut actions = watched.decide(at(2 * n + 1), Event::CommandArrived(arrival));
        let asked: Vec<_> = actions
            .iter()
            .filter_map(|a| match a {
                Action::Probe { endpoint } => Some(*endpoint),
                _ => None,
            })
            .collect();
        let (spent, outcome) = (Duration::from_millis(20), Outcome::Answered);
        let report = Some(LoadReport {
            outstanding: Some(0.0),
            ..LoadReport::default()
        });
        for endpoint in asked {
            actions.extend(watched.decide(
                at(2 * n + 1),
                Event::ProbeFinished {
                    endpoint,
                    outcome,
                    elapsed: spent,
                    report,
                },
            ));
        }
        if fate(&actions, cmd).is_some() {
            let ended = Event::RelayFinished {
                command: cmd,
                relay: 0,
                outcome,
                elapsed: spent,
                concluded: true,
                report,
            };
            actions.extend(watched.decide(at(2 * n + 3), ended));
        }
        all.extend(actions);
    }
    (all, watched.counts())
}

#[rstest]
#[case::the_same(orders(true, true, false))]
#[case::another_shape(orders(false, false, true))]
fn what_is_watched_changes_nothing_that_is_done(#[case] watch: BalancerConfig) {
    let (alone, none) = run(ShadowedBalancer::new(orders(true, true, false), None));
    let (beside, counts) = run(ShadowedBalancer::new(
        orders(true, true, false),
        Some(watch),
    ));
    assert_eq!((alone, none, counts.is_some()), (beside, None, true));
}

#[rstest]
fn the_same_orders_never_decide_otherwise() {
    let (_, counts) = run(ShadowedBalancer::new(
        orders(true, true, false),
        Some(orders(true, true, false)),
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
fn another_shape_is_counted_by_kind() {
    let (actions, counts) = run(ShadowedBalancer::new(
        orders(true, true, false),
        Some(orders(false, false, true)),
    ));
    let counts = counts.unwrap();
    let probes = actions
        .iter()
        .filter(|a| matches!(a, Action::Probe { .. }))
        .count() as u64;
    assert_eq!(counts.probes, probes);
    assert!(probes > 0 && counts.elsewhere > 50, "{counts}");
}
