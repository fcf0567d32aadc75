//! All decisions of passroad: which endpoint a command is sent to, when, how often, and when it is
//! refused.
//!
//! [`Balancer::decide`] is the only entry: it takes what happened and returns what is to be done,
//! in order. The events and actions are defined at the root of the crate. A balancer shares
//! nothing, has no clock and does no input or output.
//!
//! Each endpoint that may be used is scored by its reported load and by its own mean and tail
//! latency; its weight is `base weight x score / 10 x health`, and a weighted random draw picks the
//! endpoint (`scoring`, `placement`). In a large fleet only the endpoints in view are scored
//! (`view`). Beside this:
//!
//! - `health`: successes among the last outcomes scale the weight; an unreachable endpoint is tried
//!   again after pauses.
//! - `load_reports` and `probing`: what endpoints report of their load, how far it is trusted, and
//!   how it is asked for.
//! - `concurrency_limit`: a limit on the load of an endpoint that grows on success and is cut by a
//!   factor.
//! - `outcomes`, `retries` and `hedging`: time-outs, retries and hedges, under a retry budget.
//! - `admission`: a short queue, most valuable command first; a command that can't be answered in
//!   time is refused.
//! - `slow_start`: a cold endpoint is sent a relay only with a permit, drawn by its ramp and the
//!   rate of warm endpoints.
//! - `key_affinity`: commands with one key go to the same few endpoints.
//! - `endpoint_list`: list updates, with jitter and backoff; draining, removed and cordoned
//!   endpoints get nothing new.
//! - `learned_state`: what an old process hands to its successor in an upgrade.

mod admission;
mod command;
mod concurrency_limit;
pub(crate) mod endpoint;
mod endpoint_list;
mod health;
mod hedging;
mod key_affinity;
mod learned_state;
mod load_reports;
mod outcomes;
mod parameters;
mod placement;
mod probing;
mod relaying;
mod request_class;
mod retries;
mod scoring;
mod slow_start;
mod statistics;
#[cfg(test)]
mod tests;
mod view;

use crate::{Action, BalancerConfig, CommandIndex, EndpointIndex, Event};
use command::Command;
use concurrency_limit::INITIAL_LIMIT;
use endpoint::Endpoint;
use key_affinity::KEY_SLOTS;
pub use learned_state::LearnedState;
use parameters::Parameters;
use slow_start::WarmKind;
use statistics::{DecayingCount, DecayingMean};
use std::time::Duration;

// Kinds of timers, in the two low bits of a token; the index of the command stands above them.
const TIMER_LIST: u64 = 0;
const TIMER_QUEUE: u64 = 1;
const TIMER_HEDGE: u64 = 2;
const TIMER_TARGET: u64 = 3;

/// The decisions of one sidecar, and all that they remember.
#[derive(Default)]
pub struct Balancer {
    pub(crate) parameters: Parameters,
    pub(crate) random_state: u64,
    pub(crate) endpoints: Vec<Endpoint>,
    /// Number of available endpoints, at least one.
    pub(crate) available_count: f64,
    /// Sum of the capacities of the warm endpoints.
    pub(crate) warm_capacity: f64,
    pub(crate) in_view: Vec<EndpointIndex>,
    pub(crate) cold_endpoints: Vec<EndpointIndex>,
    /// Running sum of the base weights of the warm endpoints, one entry for each endpoint.
    pub(crate) cumulative_weights: Vec<f64>,
    pub(crate) next_refresh: Duration,
    pub(crate) commands: Vec<Option<Command>>,
    pub(crate) queue: Vec<CommandIndex>,
    pub(crate) tenant_arrivals: Vec<DecayingCount>,
    /// Relative latency by kind of endpoint.
    pub(crate) latency_by_kind: Vec<DecayingMean>,
    /// Latency of all endpoints, relative to the usual one of each class.
    pub(crate) latency: DecayingMean,
    pub(crate) probe_round_trip: Duration,
    /// All relays sent, over one and over four smoothing times.
    pub(crate) sends_short: DecayingCount,
    pub(crate) sends_long: DecayingCount,
    pub(crate) warm_kinds: Vec<WarmKind>,
    /// When a slow-start permit was last drawn for.
    pub(crate) permit_drawn_at: Duration,
    pub(crate) arrivals: DecayingCount,
    /// Arrivals by key; a few keys share a slot.
    pub(crate) key_arrivals: Vec<DecayingCount>,
    /// Routes gave weights, which stand in for those by zone.
    pub(crate) has_route_weights: bool,
    /// Clients mark retries: a marked one was seen.
    pub(crate) retries_marked: bool,
    /// Usual concurrency limit of an endpoint, at the mean capacity.
    pub(crate) usual_limit: f64,
    /// Limit on all relays in flight from here, and their number.
    pub(crate) in_flight_limit: f64,
    pub(crate) in_flight: f64,
    /// Mean value of commands, against the most valuable class.
    pub(crate) mean_value: f64,
    /// Share of relays that are answered.
    pub(crate) success_rate: f64,
    /// Credit of the reports of all endpoints together.
    pub(crate) report_credit: f64,
    /// Share of the endpoints probed for waiting commands that were below their limit.
    pub(crate) probe_yield: f64,
    /// Retries and hedges allowed now.
    pub(crate) retry_budget: f64,
    /// All running endpoints are cordoned.
    pub(crate) all_cordoned: bool,
    pub(crate) subscribed: bool,
    pub(crate) list_failures: u32,
    /// The queue has reached its limit lately.
    pub(crate) shedding: bool,
    pub(crate) overloaded_at: Duration,
    pub(crate) next_queue_probe: Duration,
    pub(crate) queue_timer_at: Duration,
    /// Time of the event being decided.
    pub(crate) now: Duration,
    /// Actions decided so far for this event.
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// A balancer that has seen nothing yet.
    pub fn new(config: BalancerConfig) -> Self {
        let seed = config.seed | 1;
        let parameters = Parameters::from_config(config);
        Balancer {
            usual_limit: INITIAL_LIMIT,
            retry_budget: 2.0,
            ..Balancer::with_parameters(parameters, seed)
        }
    }

    /// As [`Balancer::new`], but for the initial limits.
    pub(crate) fn with_parameters(parameters: Parameters, random_state: u64) -> Self {
        Balancer {
            tenant_arrivals: vec![DecayingCount::default(); parameters.tenant_shares.len()],
            key_arrivals: vec![
                DecayingCount::default();
                if parameters.warm_keys { KEY_SLOTS } else { 0 }
            ],
            probe_round_trip: parameters.tick,
            parameters,
            random_state,
            latency: DecayingMean {
                mean: 1.0,
                ..DecayingMean::default()
            },
            in_flight_limit: 1e6,
            mean_value: 0.5,
            success_rate: 1.0,
            available_count: 1.0,
            report_credit: 1.0,
            probe_yield: 1.0,
            ..Balancer::default()
        }
    }

    /// How an endpoint seems from here, for those who plan maintenance: its load as a share of its
    /// limit, where its load was reported lately, and whether it fails or can't be reached.
    pub fn endpoint_load(&self, index: EndpointIndex) -> (Option<f64>, bool) {
        let Some(endpoint) = self.endpoints.get(index) else {
            return (None, true);
        };
        let reported_lately = endpoint
            .reported_at
            .is_some_and(|at| self.now.saturating_sub(at) < Duration::from_secs(5));
        let load_share = (endpoint.load.max(endpoint.in_flight.len() as f64)
            / (endpoint.capacity * endpoint.concurrency_limit).max(1e-6))
        .clamp(0.0, 1.0);
        (
            reported_lately.then_some(load_share),
            endpoint.outcomes.failing || endpoint.retry_at > self.now,
        )
    }

    /// Takes one event and returns what is to be done about it, in order.
    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        if now >= self.next_refresh {
            self.refresh_fleet();
        }
        let may_change_queue =
            !matches!(event, Event::TimerFired { token } if token & 3 != TIMER_QUEUE);
        match event {
            Event::ListUpdated { kind, entries } => self.update_list(kind, entries),
            Event::RouteWeightsChanged { weights } => self.set_route_weights(weights),
            Event::Reconfigured(config) => self.reconfigure(Parameters::from_config(*config)),
            Event::CordonChanged { endpoint, cordoned } => self.set_cordon(endpoint, cordoned),
            Event::StateInherited { state, slots } => self.inherit_state(*state, &slots),
            Event::CommandArrived(arrival) => self.on_command_arrived(arrival),
            Event::BodyComplete { command } => self.on_body_complete(command),
            Event::BodyNotReplayable { command } => self.mark_body_not_replayable(command),
            Event::AnswerBegun { command, .. } => self.mark_answering(command),
            Event::AnswerPaused { command, .. } => self.hedge_paused_answer(command),
            Event::StreamStarted { command, .. } => self.mark_streaming(command),
            Event::RelayFinished {
                command,
                relay,
                outcome,
                elapsed,
                concluded,
                report,
            } => {
                if let Some(endpoint) = self.on_relay_finished(command, relay, outcome, elapsed) {
                    self.record_report(endpoint, report);
                    if concluded {
                        self.conclude(command, None)
                    } else {
                        self.retry_or_give_up(command, outcome)
                    }
                }
            }
            Event::CommandAbandoned { command } => self.conclude(command, None),
            Event::ProbeFinished {
                endpoint,
                outcome,
                elapsed,
                report,
            } => self.on_probe_finished(endpoint, outcome, elapsed, report),
            Event::PeerMessageReceived { .. } => {}
            Event::TimerFired { token } => self.on_timer(token),
        }
        if may_change_queue || !self.actions.is_empty() {
            self.run_queue();
        }
        std::mem::take(&mut self.actions)
    }

    /// A timer fired that was set with this token.
    fn on_timer(&mut self, token: u64) {
        let command = (token >> 2) as usize;
        match token & 3 {
            TIMER_LIST if !self.subscribed => {
                self.subscribed = true;
                self.actions.push(Action::Subscribe { active: true });
            }
            // Prevents a timer that fires slightly early from leaving commands in the queue for
            // good.
            TIMER_QUEUE if self.queue_timer_at <= self.now + self.parameters.tick / 100 => {
                self.queue_timer_at = Duration::ZERO
            }
            TIMER_HEDGE => self.hedge(command),
            TIMER_TARGET => self.on_target_passed(command),
            _ => {}
        }
    }

    /// Sets a timer, no earlier than the next tick.
    fn set_timer(&mut self, after: Duration, token: u64) {
        self.actions.push(Action::SetTimer {
            after: after.max(self.parameters.tick),
            token,
        });
    }

    /// Random number from 0 up to 1, by multiply-with-carry.
    pub(crate) fn random(&mut self) -> f64 {
        self.random_state =
            (self.random_state & 0xffff_ffff) * 4_294_957_665 + (self.random_state >> 32);
        (self.random_state & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    /// Has a line written to the log of the sidecar.
    pub(crate) fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }
}
