//! All decisions of passroad. `Balancer::decide(now, event)` is the one entry: it takes what happened and
//! returns what is to be done, in order. Its types stand in `lib.rs`; ids are indices given out in `door.rs`.
//! It shares nothing, keeps no clock and does no input or output.
//!
//! Ordinary path (He Xiaofeng's lesson 11): each ready endpoint is scored out of ten by a weighted sum of
//! sub-scores (reported load, own mean and tail latency); its weight is base weight x score / 10; a weighted
//! random draw picks the endpoint, in a large fleet among those in view. Six mechanisms stand beside it:
//!   health   successes among the last outcomes scale the weight; sparing trials bring an endpoint back
//!   limit    a cap on what an endpoint holds, plus one on success, cut by a share
//!   relays   time-outs, further relays and second copies, under a budget
//!   waiting  a short queue, best utility first; what can't make it is declined at once
//!   warm-up  a cold endpoint gets a send on a pass only: its ramp x the own rate to warm ones, by chance
//!   list     subscribe or ask with jitter and back-off; what drains, is gone or out by hand gets nothing new

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

pub const TIMER_LIST: u64 = 0; // in an alarm's low bits; the command stands above them
pub const TIMER_QUEUE: u64 = 1;
pub const TIMER_HEDGE: u64 = 2;
pub const TIMER_TARGET: u64 = 3;

/// For the life of the instance: one sidecar's decisions, which stand in `choice.rs`.
#[derive(Default)]
pub struct Balancer {
    pub(crate) parameters: Parameters,
    pub(crate) random_state: u64,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) available_count: f64, // how many of them are, one at least
    pub(crate) warm_capacity: f64,   // size of those that are warm
    pub(crate) in_view: Vec<EndpointIndex>, // those in view
    pub(crate) cold_endpoints: Vec<EndpointIndex>,
    pub(crate) cumulative_weights: Vec<f64>, // running sum of the base weights of warm ones
    pub(crate) next_refresh: Duration,
    pub(crate) commands: Vec<Option<Command>>,
    pub(crate) queue: Vec<CommandIndex>,
    pub(crate) tenant_arrivals: Vec<DecayingCount>, // arrivals by company
    pub(crate) latency_by_kind: Vec<DecayingMean>,  // the same by kind
    pub(crate) latency: DecayingMean, // pace of all endpoints, against each verb's usual
    pub(crate) probe_round_trip: Duration,
    pub(crate) sends_short: DecayingCount,
    pub(crate) sends_long: DecayingCount,
    pub(crate) warm_kinds: Vec<WarmKind>,
    pub(crate) permit_drawn_at: Duration, // when a pass was last drawn
    pub(crate) arrivals: DecayingCount,
    pub(crate) key_arrivals: Vec<DecayingCount>, // arrivals by key, a few keys to a slot
    pub(crate) has_route_weights: bool,          // routes were told
    pub(crate) retries_marked: bool,             // clients mark repeats: one was seen
    pub(crate) usual_limit: f64,                 // the usual one, at the usual size
    pub(crate) in_flight_limit: f64,             // the same of what is out from here in all
    pub(crate) in_flight: f64,
    pub(crate) mean_value: f64,    // of a usual command, against the best
    pub(crate) success_rate: f64,  // share of relays that are answered
    pub(crate) report_credit: f64, // credit of reports as a whole
    pub(crate) probe_yield: f64,   // share of those asked for what waits that were open
    pub(crate) retry_budget: f64,  // further relays allowed now
    pub(crate) all_cordoned: bool, // all that is listed is out by hand
    pub(crate) subscribed: bool,
    pub(crate) list_failures: u32,
    pub(crate) shedding: bool,
    pub(crate) overloaded_at: Duration,
    pub(crate) next_queue_probe: Duration,
    pub(crate) queue_timer_at: Duration, // when the queue is looked at next
    pub(crate) now: Duration,
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    pub fn new(orders: BalancerConfig) -> Self {
        let (seed, duty) = (orders.seed | 1, Balancer::derive_parameters(orders));
        Balancer {
            usual_limit: INITIAL_LIMIT,
            retry_budget: 2.0,
            ..Balancer::with_parameters(duty, seed)
        }
    }

    /// Nothing seen yet.
    pub(crate) fn with_parameters(duty: Parameters, dice: u64) -> Self {
        Balancer {
            tenant_arrivals: vec![DecayingCount::default(); duty.tenant_shares.len()],
            key_arrivals: vec![
                DecayingCount::default();
                if duty.warm_keys { KEY_SLOTS } else { 0 }
            ],
            probe_round_trip: duty.tick,
            parameters: duty,
            random_state: dice,
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

    /// How an endpoint seems from here, for whoever is to take machines out: the share of what it may hold that it holds,
    /// where it has said so lately, and whether it fails or can't be reached.
    pub fn endpoint_load(&self, at: EndpointIndex) -> (Option<f64>, bool) {
        let Some(e) = self.endpoints.get(at) else {
            return (None, true);
        };
        let told = e
            .reported_at
            .is_some_and(|at| self.now.saturating_sub(at) < Duration::from_secs(5));
        let busy = (e.load.max(e.in_flight.len() as f64)
            / (e.capacity * e.concurrency_limit).max(1e-6))
        .clamp(0.0, 1.0);
        (
            told.then_some(busy),
            e.outcomes.failing || e.retry_at > self.now,
        )
    }

    /// Takes one event and returns what is to be done about it.
    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        if now >= self.next_refresh {
            self.refresh_fleet();
        }
        let stirs = !matches!(event, Event::TimerFired { token } if token & 3 != TIMER_QUEUE);
        match event {
            Event::ListUpdated { kind, entries } => self.update_list(kind, entries),
            Event::RouteWeightsChanged { weights } => self.set_route_weights(weights),
            Event::Reconfigured(orders) => self.reconfigure(Balancer::derive_parameters(*orders)),
            Event::CordonChanged {
                endpoint,
                cordoned: out,
            } => self.set_cordon(endpoint, out),
            Event::StateInherited {
                state: memory,
                slots,
            } => self.inherit_state(*memory, &slots),
            Event::CommandArrived(arrival) => self.on_command_arrived(arrival),
            Event::BodyComplete { command: cmd } => self.on_body_complete(cmd),
            Event::BodyNotReplayable { command: cmd } => self.mark_body_not_replayable(cmd),
            Event::StreamStarted { command: cmd, .. } => self.mark_streaming(cmd),
            Event::RelayFinished {
                command: cmd,
                relay,
                outcome,
                elapsed: spent,
                concluded,
                report,
            } => {
                if let Some(at) = self.on_relay_finished(cmd, relay, outcome, spent) {
                    self.record_report(at, report);
                    if concluded {
                        self.conclude(cmd, None)
                    } else {
                        self.retry_or_give_up(cmd, outcome)
                    }
                }
            }
            Event::CommandAbandoned { command: cmd } => self.conclude(cmd, None),
            Event::ProbeFinished {
                endpoint: at,
                outcome,
                elapsed: spent,
                report,
            } => self.on_probe_finished(at, outcome, spent, report),
            Event::PeerMessageReceived { .. } => {}
            Event::TimerFired { token } => self.on_timer(token),
        }
        if stirs || !self.actions.is_empty() {
            self.run_queue();
        }
        std::mem::take(&mut self.actions)
    }

    fn on_timer(&mut self, token: u64) {
        let cmd = (token >> 2) as usize;
        match token & 3 {
            TIMER_LIST if !self.subscribed => {
                self.subscribed = true;
                self.actions.push(Action::Subscribe { active: true });
            }
            // Guards against a lost command: an alarm that comes a hair early must not stop the queue.
            TIMER_QUEUE if self.queue_timer_at <= self.now + self.parameters.tick / 100 => {
                self.queue_timer_at = Duration::ZERO
            }
            TIMER_HEDGE => self.hedge(cmd),
            TIMER_TARGET => self.on_target_passed(cmd),
            _ => {}
        }
    }

    fn set_timer(&mut self, after: Duration, token: u64) {
        self.actions.push(Action::SetTimer {
            after: after.max(self.parameters.tick),
            token,
        });
    }

    /// Multiply-with-carry; a number from 0 up to 1.
    pub(crate) fn random(&mut self) -> f64 {
        self.random_state =
            (self.random_state & 0xffff_ffff) * 4_294_957_665 + (self.random_state >> 32);
        (self.random_state & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    pub(crate) fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }
}
