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
mod endpoint;
mod endpoint_list;
mod health;
mod hedging;
mod key_affinity;
mod learned_state;
mod load_reports;
mod parameters;
mod probing;
mod request_class;
mod scoring;
mod slow_start;
mod state;
mod statistics;
#[cfg(test)]
mod tests;
mod view;

use crate::{
    Action, BalancerConfig, CommandIndex, DeduplicationScope, Effect, EndpointIndex, Event, Outcome,
};
use command::{Command, Relay};
use concurrency_limit::{INITIAL_LIMIT, LIMIT_GROWTH};
use endpoint::Endpoint;
use health::RECENT_OUTCOMES;
use key_affinity::KEY_SLOTS;
pub use learned_state::LearnedState;
use parameters::Parameters;
use scoring::FAILURE_RISK;
use slow_start::WarmKind;
use statistics::{DecayingCount, DecayingMean, SMOOTHING, decay};
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

    /// The design's draw among the endpoints where this command may go.
    fn pick_endpoint(&mut self, cmd: CommandIndex, copy: bool) -> Option<EndpointIndex> {
        let c = self.open_command(cmd)?;
        let v = &self.parameters.classes[c.class];
        // Guards against an effect twice: what may have run goes on only inside the group that drops repeats.
        let home = match (v.effect, c.relays.iter().find(|r| r.may_have_run())) {
            (Effect::Safe, _) | (_, None) => None,
            (Effect::NonIdempotent, Some(_)) => return None,
            (Effect::Keyed, Some(first)) => {
                if v.deduplication_time_left(first, self.now) <= self.parameters.tick {
                    return None;
                }
                Some(&self.endpoints[first.endpoint])
            }
        };
        let group = v.deduplication_scope;
        let drops_repeats = |e: &Endpoint| {
            home.is_none_or(|home| match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => e.zone == home.zone,
                DeduplicationScope::Cell => e.zone == home.zone && e.cell == home.cell,
            })
        };
        let may = |e: &Endpoint| self.admits_relays(e) && drops_repeats(e) && v.allowed_on(e);
        // A second copy is a luxury: it goes only where there is room for the least worth.
        let value = if copy {
            0.0
        } else {
            (c.value / c.best_value).clamp(0.0, 1.0)
        };
        let homes = if home.is_none() {
            self.key_homes(c)
        } else {
            Vec::new()
        };
        let ats = match home {
            None if !homes.is_empty() => homes.iter().map(|(at, _)| *at).collect(),
            None if !v.is_restricted() => self.in_view.clone(),
            _ => (0..self.endpoints.len()).collect(),
        };
        let risk = if v.effect == Effect::NonIdempotent {
            5.0 * FAILURE_RISK
        } else {
            FAILURE_RISK
        };
        let mut weights = self.weights(
            &ats,
            Some((c.class, c.weight_set)),
            Some((value, risk)),
            &may,
        );
        homes
            .iter()
            .zip(&mut weights)
            .for_each(|((_, share), w)| *w *= share);
        let tried = |at: &EndpointIndex| c.relays.iter().any(|r| r.endpoint == *at);
        for (_, w) in ats.iter().zip(&mut weights).filter(|(at, _)| tried(at)) {
            *w *= if copy { 0.0 } else { 0.01 };
        }
        self.draw(&weights).map(|n| ats[n])
    }

    fn send_relay(&mut self, cmd: CommandIndex, at: EndpointIndex) {
        let (now, usual) = (self.now, self.mean_load());
        let e = &self.endpoints[at];
        let ahead = self.estimated_load(e, usual) / e.capacity;
        let told = e
            .reported_at
            .filter(|_| !self.is_cold(e))
            .map_or(0.0, |at| decay(now, at, self.parameters.report_decay));
        self.bring_into_view(at);
        let Some(c) = self.commands[cmd].as_mut() else {
            return;
        };
        let (first, coming, due, verb) = (
            c.relays.is_empty(),
            c.body_pending,
            c.target_deadline,
            c.class,
        );
        let v = &self.parameters.classes[verb];
        let ran = c
            .relays
            .iter()
            .find(|r| r.may_have_run() && v.effect == Effect::Keyed);
        let window = ran.map(|first| v.deduplication_time_left(first, now));
        c.queued = false;
        c.relays.push(Relay {
            endpoint: at,
            sent_at: now,
            load_ahead: ahead,
            report_weight: told,
            outcome: None,
        });
        let within = c
            .client_deadline
            .saturating_sub(now)
            .max(self.parameters.tick);
        // Guards against a repeat whose connection comes up when its endpoint would no longer drop it.
        let begin = window.unwrap_or(within).min(within);
        self.actions.push(Action::Relay {
            command: cmd,
            endpoint: at,
            timeout: within,
            send_by: begin,
        });
        let e = &mut self.endpoints[at];
        (e.last_used, e.permit_until, e.trial_due) = (Some(now), Duration::ZERO, None);
        self.count_relay_in(at, now, coming);
        self.sends_short.increment(now, SMOOTHING);
        self.sends_long.increment(now, 4 * SMOOTHING);
        self.endpoints[at].sends.increment(now, 4 * SMOOTHING);
        let v = &self.parameters.classes[verb];
        let (until_due, slow) = (due.saturating_sub(now), v.hedge_delay());
        let copies = self.parameters.hedging_allowed
            && v.effect != Effect::NonIdempotent
            && slow < v.deadline_target.mul_f64(0.8);
        if first && v.late_utility <= 0.0 && !coming {
            self.set_timer(until_due, TIMER_TARGET | (cmd as u64) << 2);
        }
        if first && copies {
            self.set_timer(slow, TIMER_HEDGE | (cmd as u64) << 2);
        }
    }

    /// All of a long body has come; from here on it is as any other command.
    fn on_body_complete(&mut self, cmd: CommandIndex) {
        let Some(c) = self
            .commands
            .get_mut(cmd)
            .and_then(Option::as_mut)
            .filter(|c| c.body_pending)
        else {
            return;
        };
        let out = c.body_complete(self.now);
        let (until_due, late) = (
            c.target_deadline.saturating_sub(self.now),
            self.parameters.classes[c.class].late_utility,
        );
        out.into_iter()
            .for_each(|at| self.count_relay_in(at, self.now, false));
        if late <= 0.0 {
            self.set_timer(until_due, TIMER_TARGET | (cmd as u64) << 2);
        }
    }

    /// Books the outcome of a relay; tells its endpoint.
    fn on_relay_finished(
        &mut self,
        cmd: CommandIndex,
        n: usize,
        outcome: Outcome,
        spent: Duration,
    ) -> Option<EndpointIndex> {
        let now = self.now;
        let c = self.commands.get_mut(cmd)?.as_mut()?;
        let (verb, in_time, coming) = (c.class, now <= c.target_deadline, c.body_pending);
        let value = (c.value / c.best_value).clamp(0.05, 1.0);
        let r = c.relays.get_mut(n).filter(|r| r.outcome.is_none())?;
        r.outcome = Some(outcome);
        let (r, at) = (*r, r.endpoint);
        self.count_relay_out(at, r.sent_at, coming);
        self.adjust_in_flight_limit(at, verb, outcome, in_time, value);
        if outcome == Outcome::Answered && !self.is_cold(&self.endpoints[at]) {
            self.record_warm_answer(at);
        }
        let e = &mut self.endpoints[at];
        match outcome {
            Outcome::Answered => {
                e.last_used = Some(now);
                let v = &mut self.parameters.classes[verb];
                if in_time {
                    v.served_in_time.increment(now, 8 * SMOOTHING);
                }
                let pace = v.relative_latency(&r, spent);
                v.answer_time
                    .record(now, spent.as_secs_f64(), 10 * SMOOTHING);
                self.latency.record(now, pace, 10 * SMOOTHING);
                self.latency_by_kind.resize(
                    self.latency_by_kind.len().max(e.kind + 1),
                    DecayingMean::default(),
                );
                self.latency_by_kind[e.kind].record(now, pace, 10 * SMOOTHING);
                e.latency.record(now, pace, 2 * SMOOTHING);
                let (goal, limit) = (v.deadline_target, self.current_limit(&self.endpoints[at]));
                if spent > goal.mul_f64(0.85) {
                    self.cut_limit(at);
                } else if spent < goal / 2 && r.load_ahead + 1.0 >= limit {
                    self.set_limit(at, (limit + LIMIT_GROWTH / limit).min(64.0));
                }
                self.adjust_report_credit(
                    at,
                    if pace > 3.0 * self.latency.mean {
                        -0.1 * r.report_weight
                    } else {
                        0.0
                    },
                );
                self.record_reached(at);
                self.record_health(at, verb, outcome, RECENT_OUTCOMES);
            }
            Outcome::NotSent | Outcome::Cancelled | Outcome::Rejected => {}
            Outcome::Overloaded => {
                self.cut_limit(at);
                self.adjust_report_credit(
                    at,
                    if r.load_ahead < INITIAL_LIMIT {
                        -0.25
                    } else {
                        0.0
                    },
                );
                if self.parameters.probes_per_command == 0 {
                    self.record_health(at, verb, outcome, RECENT_OUTCOMES);
                }
            }
            Outcome::TimedOut => self.record_slow_answer(&r, verb, spent),
            Outcome::Error | Outcome::ConnectionLost => {
                self.record_health(at, verb, outcome, RECENT_OUTCOMES)
            } // it was reached
            Outcome::ConnectFailed => {
                self.endpoints[at].last_used = None;
                self.record_health(at, verb, outcome, RECENT_OUTCOMES);
                self.record_unreachable(at);
            }
        }
        Some(at)
    }

    /// Failures never count as fast answers: a time-out is an answer at least as slow as it lasted.
    fn record_slow_answer(&mut self, r: &Relay, verb: usize, spent: Duration) {
        let pace = self.parameters.classes[verb]
            .relative_latency(r, spent)
            .max(1.0);
        self.endpoints[r.endpoint]
            .latency
            .record(self.now, pace, 2 * SMOOTHING);
        self.adjust_report_credit(
            r.endpoint,
            if pace > 2.0 * self.latency.mean {
                -0.1 * r.report_weight
            } else {
                0.0
            },
        );
        // Guards against an endpoint that lets work hang while its probes are fine.
        self.record_health(r.endpoint, verb, Outcome::TimedOut, RECENT_OUTCOMES);
        self.cut_limit(r.endpoint);
    }

    /// What becomes of a command of which a relay ended without an answer.
    fn retry_or_give_up(&mut self, cmd: CommandIndex, outcome: Outcome) {
        let all_ended = |c: &&Command| c.concluded || c.relays.iter().all(|r| r.outcome.is_some());
        let Some(c) = self.open_command(cmd).filter(all_ended) else {
            return;
        };
        if c.concluded {
            return self.release_if_done(cmd);
        }
        let ran = c.relays.iter().any(Relay::may_have_run);
        // Guards against what no endpoint can use and takes the budget of the rest: two words settle it.
        let unfit = c
            .relays
            .iter()
            .filter(|r| r.outcome == Some(Outcome::Rejected))
            .count();
        let again = unfit < 2
            && !c.body_not_replayable
            && (!ran || self.parameters.classes[c.class].effect != Effect::NonIdempotent);
        // A first relay proven not to have run, or not to fit, costs little to send again, but not nothing.
        let price = if c.relays.len() < 2 && (outcome.never_ran() || unfit > 0) {
            0.2
        } else {
            1.0
        };
        let time = self.now < self.queue_deadline(c)
            && c.relays.len() < self.parameters.classes[c.class].max_relays;
        if time && again && self.retry_budget >= price {
            self.retry_budget -= price;
            self.enqueue(cmd);
        } else {
            self.give_up(cmd);
        }
    }

    /// The final answer at once: declined where a repeat is harmless, else terminated.
    fn give_up(&mut self, cmd: CommandIndex) {
        let Some(c) = self.open_command(cmd) else {
            return;
        };
        let (v, late) = (
            &self.parameters.classes[c.class],
            self.now >= c.target_deadline,
        );
        let ran = c.relays.iter().any(Relay::may_have_run);
        let drops_any =
            v.effect == Effect::Keyed && v.deduplication_scope == DeduplicationScope::All;
        let harmless = !ran || v.effect == Effect::Safe || drops_any;
        let rest = if late {
            v.time_limit
        } else {
            v.deadline_target / 5
        };
        let not_before = self.parameters.max_retry_after.map(|most| most.min(rest));
        let action = if harmless {
            Action::Refuse {
                command: cmd,
                retry_after: not_before,
            }
        } else {
            Action::Fail { command: cmd }
        };
        self.conclude(cmd, Some(action));
    }

    fn conclude(&mut self, cmd: CommandIndex, answer: Option<Action>) {
        let Some(c) = self.commands.get_mut(cmd).and_then(Option::as_mut) else {
            return;
        };
        (c.concluded, c.queued) = (true, false);
        self.actions.extend(answer);
        if self.parameters.cancellation_allowed && !c.streaming {
            for (relay, _) in c
                .relays
                .iter()
                .enumerate()
                .filter(|(_, r)| r.outcome.is_none())
            {
                self.actions.push(Action::CancelRelay {
                    command: cmd,
                    relay,
                });
            }
        }
        self.queue.retain(|q| *q != cmd);
        self.release_if_done(cmd);
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
