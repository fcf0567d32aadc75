//! The learned state is handed from an old process to its successor as JSON, and either may be of
//! another version. The field names are therefore part of a format: these tests fail when one of
//! them is lost or changed.

use passroad_choice::choice::Balancer;
use passroad_choice::*;
use rstest::rstest;
use serde_json::Value;
use std::time::Duration;

const LEARNED_STATE: &[&str] = &[
    "arrivals",
    "endpoints",
    "marked",
    "mix",
    "numbers",
    "rtt",
    "sends",
    "usual",
    "verbs",
    "warm_served",
];
const ENDPOINT: &[&str] = &[
    "banned", "by_verb", "cell", "credit", "doubted", "errs", "gone", "harm", "harmed", "heard",
    "holds", "kind", "known", "last", "last_cut", "limit", "listed", "mark", "misses", "nominal",
    "owed", "pace", "rating", "sends", "size", "tried", "try_at", "up", "up_since", "zone",
];
const CLASS: &[&str] = &["asked", "budget", "budget_votes", "served", "usual"];
const MEAN_AND_SPREAD: &[&str] = &["at", "count", "mean", "spread"];
const DECAYING_COUNT: &[&str] = &["at", "from", "sum"];
const OUTCOMES: &[&str] = &["ailing", "bad", "failed", "seen"];

/// The state of a balancer with two endpoints that has sent one command and seen its answer.
fn learned_state() -> LearnedState {
    let now = Duration::from_secs(100);
    let mut balancer = Balancer::new(config());
    let entries = (0..2).map(|endpoint| ListedEndpoint {
        endpoint,
        id_hash: interner::stable_hash(&format!("e{endpoint}")),
        zone: 0,
        cell: 0,
        kind: 0,
        weight: 1.0,
        started_at: Duration::ZERO,
        state: EndpointState::Running,
    });
    let listed = Event::ListUpdated {
        kind: ListUpdateKind::Full,
        entries: entries.collect(),
    };
    balancer.decide(now, listed);
    let arrived = Event::CommandArrived(CommandArrival {
        command: 0,
        class: 0,
        tenant: Some(0),
        key: None,
        budget: Duration::from_secs(1),
        work: None,
        is_retry: false,
        is_write: false,
        weight_set: 0,
        body_pending: false,
    });
    balancer.decide(now, arrived);
    let finished = Event::RelayFinished {
        command: 0,
        relay: 0,
        outcome: Outcome::Answered,
        elapsed: Duration::from_millis(20),
        concluded: true,
        report: None,
    };
    balancer.decide(now + Duration::from_millis(20), finished);
    balancer.learned_state(|endpoint| Some(format!("e{endpoint}")))
}

fn config() -> BalancerConfig {
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
            deadline_target: Duration::from_millis(400),
            time_limit: Duration::from_secs(1),
            target_per_work: 0.0,
            utility: 1.0,
            late_utility: 0.0,
            stream: false,
            allowed_zones: None,
            allowed_kinds: None,
        }],
        tenants: vec![TenantConfig {
            name: "t".into(),
            share: 1.0,
        }],
        surplus_utility: 1.0,
        objective_total: 1.0,
        objective_worst_class: 0.0,
        tick: Duration::from_millis(1),
        max_relays: 3,
        max_retry_after: None,
        probes_allowed: false,
        cancellation_allowed: true,
        hedging_allowed: false,
        list_on_request: false,
        report_mode: ReportMode::Piggyback,
        live_weights: false,
        warm_keys: false,
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

#[track_caller]
fn assert_fields(value: &Value, expected: &[&str]) {
    let object = value.as_object().expect("a JSON object");
    let mut fields: Vec<&str> = object.keys().map(String::as_str).collect();
    fields.sort_unstable();
    assert_eq!(fields, expected);
}

#[rstest]
fn the_field_names_of_the_format_stay() {
    let state = serde_json::to_value(learned_state()).unwrap();
    assert_fields(&state, LEARNED_STATE);
    assert_fields(&state["usual"], MEAN_AND_SPREAD);
    assert_fields(&state["warm_served"], DECAYING_COUNT);
    assert_fields(&state["arrivals"], DECAYING_COUNT);
    assert_fields(&state["mix"][0], DECAYING_COUNT);
    assert_eq!(state["sends"].as_array().unwrap().len(), 2);
    assert_fields(&state["sends"][0], DECAYING_COUNT);
    assert_eq!(state["numbers"].as_array().unwrap().len(), 6);

    let class = &state["verbs"][0];
    assert_eq!((&class[0], &class[1]), (&"look".into(), &0.into()));
    assert_fields(&class[2], CLASS);
    assert_fields(&class[2]["asked"], DECAYING_COUNT);
    assert_fields(&class[2]["served"], DECAYING_COUNT);
    assert_fields(&class[2]["usual"], MEAN_AND_SPREAD);

    let endpoints = state["endpoints"].as_array().unwrap();
    assert_eq!(endpoints.len(), 2);
    for endpoint in endpoints {
        assert!(endpoint[0].is_string());
        assert_fields(&endpoint[1], ENDPOINT);
        assert_fields(&endpoint[1]["sends"], DECAYING_COUNT);
        assert_fields(&endpoint[1]["pace"], MEAN_AND_SPREAD);
        assert_fields(&endpoint[1]["last"], OUTCOMES);
    }
    let by_class = endpoints
        .iter()
        .filter_map(|endpoint| endpoint[1]["by_verb"].as_array());
    let outcomes: Vec<_> = by_class.flatten().collect();
    assert_eq!(outcomes.len(), 1);
    assert_fields(outcomes[0], OUTCOMES);
}

#[rstest]
fn what_is_written_reads_back_the_same() {
    let written = serde_json::to_value(learned_state()).unwrap();
    let read: LearnedState = serde_json::from_value(written.clone()).unwrap();
    assert_eq!(serde_json::to_value(read).unwrap(), written);
}
