//! Tests of the decisions, one module for each subject. Each test builds the state that it needs
//! and calls the balancer; the helpers stand here.

mod admission;
mod concurrency_limit;
mod cordons;
mod endpoint_list;
mod health;
mod hedging;
mod key_affinity;
mod learned_state;
mod load_reports;
mod placement;
mod probing;
mod relaying;
mod request_class;
mod retries;
mod scoring;
mod slow_start;
mod statistics;
mod view;

use super::command::{Command, Relay};
use super::concurrency_limit::INITIAL_LIMIT;
use super::endpoint::Endpoint;
use super::health::RECENT_OUTCOMES;
use super::key_affinity::{HOMES_FACTOR, KEY_SLOTS};
use super::parameters::Parameters;
use super::request_class::RequestClass;
use super::statistics::{DecayingCount, DecayingMean, RecentOutcomes, SMOOTHING};
use super::{Balancer, TIMER_HEDGE, TIMER_LIST, TIMER_QUEUE};
use crate::interner::stable_hash;
use crate::{
    Action, BalancerConfig, CommandArrival, CommandIndex, DeduplicationScope, Effect,
    EndpointIndex, EndpointState, Event, ListUpdateKind, ListedEndpoint, LoadReport, Outcome,
    ReportMode, RequestClassConfig,
};
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

/// A change to a configuration with classes of these names, the first with this effect.
fn reconfigured(names: &[&str], first: Effect, max_relays: usize) -> Event {
    let mut config = config(first);
    let effect = |n: usize| if n == 0 { first } else { Effect::Safe };
    config.classes = names
        .iter()
        .enumerate()
        .map(|(n, name)| RequestClassConfig {
            name: (*name).into(),
            ..class_config(effect(n))
        })
        .collect();
    config.max_relays = max_relays;
    Event::Reconfigured(Box::new(config))
}

fn class_config(effect: Effect) -> RequestClassConfig {
    let ms = Duration::from_millis;
    RequestClassConfig {
        name: "v".into(),
        effect,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: Duration::from_secs(5),
        deadline_target: ms(400),
        time_limit: ms(1000),
        target_per_work: 0.0,
        utility: 1.0,
        late_utility: 0.0,
        stream: false,
        allowed_zones: None,
        allowed_kinds: None,
    }
}

fn config(effect: Effect) -> BalancerConfig {
    let ms = Duration::from_millis;
    BalancerConfig {
        seed: 7,
        own_zone: 0,
        zones: vec!["z".into()],
        kinds: vec![],
        classes: vec![class_config(effect)],
        tenants: vec![],
        surplus_utility: 1.0,
        objective_total: 0.6,
        objective_worst_class: 0.4,
        tick: ms(1),
        max_relays: 3,
        max_retry_after: Some(ms(500)),
        probes_allowed: true,
        cancellation_allowed: true,
        hedging_allowed: true,
        list_on_request: true,
        report_mode: ReportMode::Piggyback,
        live_weights: false,
        warm_keys: false,
        probe_price: 0.002,
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

fn balancer_with_endpoints(effect: Effect, endpoints: usize) -> Balancer {
    let mut balancer = Balancer::new(config(effect));
    balancer.now = NOW;
    balancer.endpoints = (0..endpoints).map(|_| Endpoint::unused()).collect();
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| (e.available, e.reported_at) = (true, Some(NOW)));
    balancer.commands = vec![None];
    balancer.refresh_fleet();
    (0..endpoints).for_each(|index| balancer.bring_into_view(index));
    balancer
}

fn command() -> Command {
    Command {
        class: 0,
        weight_set: 0,
        key: None,
        arrived_at: NOW,
        target_deadline: NOW + Duration::from_millis(400),
        client_deadline: NOW + Duration::from_millis(500),
        value: 1.0,
        best_value: 1.0,
        probe_wait_until: NOW,
        queue_deadline: NOW + Duration::from_millis(200),
        queued: true,
        concluded: false,
        answering: false,
        streaming: false,
        body_pending: false,
        body_not_replayable: false,
        probe_rounds: 0,
        relays: vec![],
    }
}

/// A balancer with one command and one relay in flight, at endpoint 0.
fn balancer_with_relay(effect: Effect, endpoints: usize) -> Balancer {
    let mut balancer = balancer_with_endpoints(effect, endpoints);
    let relay = Relay {
        endpoint: 0,
        sent_at: NOW,
        load_ahead: 0.0,
        report_weight: 0.0,
        outcome: None,
    };
    balancer.commands[0] = Some(Command {
        queued: false,
        relays: vec![relay],
        ..command()
    });
    balancer
}

fn command_arrived(command: CommandIndex) -> Event {
    let budget = Duration::from_millis(500);
    Event::CommandArrived(CommandArrival {
        command,
        class: 0,
        tenant: None,
        key: None,
        budget,
        work: None,
        is_retry: false,
        is_write: false,
        weight_set: 0,
        body_pending: false,
    })
}

fn relay_finished(relay: usize, outcome: Outcome) -> Event {
    let elapsed = Duration::from_millis(5);
    Event::RelayFinished {
        command: 0,
        relay,
        outcome,
        elapsed,
        concluded: false,
        report: None,
    }
}

fn listed_endpoint(endpoint: EndpointIndex, started_at: Duration) -> ListedEndpoint {
    ListedEndpoint {
        endpoint,
        id_hash: endpoint as u64,
        zone: 0,
        cell: 0,
        kind: 0,
        weight: 1.0,
        started_at,
        state: EndpointState::Running,
    }
}

fn relayed_to(actions: &[Action]) -> Vec<EndpointIndex> {
    let to = |a: &Action| {
        if let Action::Relay { endpoint, .. } = a {
            Some(*endpoint)
        } else {
            None
        }
    };
    actions.iter().filter_map(to).collect()
}
