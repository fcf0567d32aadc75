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

pub use crate::state::Balancer;
use crate::state::{
    ALARM_COPY, ALARM_GOAL, ALARM_LIST, ALARM_QUEUE, Command, DutySheet, Endpoint, Faded, Few, May,
    Need, Pace, Relay, VerbDuty, fade, luck,
};
use crate::*;
use std::time::Duration;

#[cfg(test)]
mod tests;

const LOAD_SHARE: f64 = 0.5; // of the score; own mean and tail latency share the rest
const SCORE_FLOOR: f64 = 0.02; // near-zero scores must recover, so none is zero
const OUTCOMES: u32 = 8; // the last few outcomes that judge an endpoint
const FIRST_LIMIT: f64 = 2.0; // one in work and one waiting, at the usual size
const GROWTH: f64 = 0.3; // of one, for a round of answers well in time
const LIMIT_SPREAD: f64 = 0.5; // of a change at one endpoint, what goes to the usual limit
const CUT: f64 = 0.7; // what a limit keeps when it is cut
const RISK: f64 = 2.0; // a sure failure, as commands ahead; five times that where it is the last word
const ROUNDS: u32 = 1; // of heartbeats after the first, for one command
const SMALL: usize = 32; // endpoints; so few are all in view
pub(crate) const LEAST_GAIN: f64 = 0.02; // of a sample, however many came before
const FEW: f64 = 0.1; // a second; so little asked says little of how a verb is served
pub(crate) const KEY_SLOTS: usize = 4096;
const HOMES: f64 = 1.5; // for a key, against those that its part of all commands would fill
const RESERVE: f64 = 0.05;
const CALM: Duration = Duration::from_secs(2); // own figures are smoothed over this

impl Endpoint {
    /// Share of successes among the last few outcomes, of all verbs and of this one. Guards against a verb
    /// that hangs where others are answered; its failures fade, as nothing else would show their end.
    fn health(&self, now: Duration, verb: Option<usize>) -> f64 {
        let own = |few: &Few| 1.0 - (1.0 - few.good(OUTCOMES)) * fade(now, few.failed, 4 * CALM);
        verb.and_then(|v| self.by_verb.get(v))
            .map_or(1.0, own)
            .min(self.last.good(OUTCOMES))
    }
}

impl Pace {
    /// Mean, and a tail of two spreads above it. Few samples say little of a mean and less of a tail: both
    /// are drawn toward the usual.
    fn read(&self, now: Duration, calm: Duration, usual: &Pace) -> (f64, f64) {
        let n = self.count * fade(now, self.at, calm);
        let mean = (self.mean * n + usual.mean * 2.0) / (n + 2.0);
        (
            mean,
            mean + 2.0 * (self.spread * n + usual.spread * 8.0) / (n + 8.0),
        )
    }
}

impl Balancer {
    pub fn new(orders: BalancerConfig) -> Self {
        let (seed, duty) = (orders.seed | 1, Balancer::duty(orders));
        Balancer {
            limit: FIRST_LIMIT,
            spare: 2.0,
            ..Balancer::fresh(duty, seed)
        }
    }

    fn duty(orders: BalancerConfig) -> DutySheet {
        let goals = orders
            .classes
            .iter()
            .map(|v| v.deadline_target)
            .min()
            .unwrap_or_default();
        let goal = goals.clamp(Duration::from_millis(1), Duration::from_secs(60));
        // Heartbeats may cost most of a hundredth of the service: none where one costs more and alone tells.
        let dear = orders.probe_price > 0.007;
        let told = orders.report_mode == ReportMode::Piggyback
            || orders.report_mode == ReportMode::Pull && !dear;
        let asks = orders.probes_allowed && told;
        let heartbeats = (0.007 / orders.probe_price.max(1e-4)).clamp(1.0, 4.0) as usize;
        let verb = |v: &RequestClassConfig| {
            VerbDuty::of(v, v.deadline_target / 4, orders.max_relays.max(1))
        };
        DutySheet {
            verbs: orders.classes.iter().map(verb).collect(),
            goal_whole: orders.objective_total,
            goal_verb: orders.objective_worst_class,
            portions: orders.tenants.iter().map(|c| c.share).collect(),
            surplus_utility: orders.surplus_utility,
            own_zone: orders.own_zone,
            return_after: orders.max_retry_after,
            may_recall: orders.cancellation_allowed,
            second_copies: orders.hedging_allowed && orders.max_relays > 1,
            listen: orders.list_on_request,
            list_every: orders.list_poll_interval.min(Duration::from_secs(10)),
            drain_grace: orders.drain_grace,
            heartbeats: if asks { heartbeats } else { 0 },
            asks: !dear,
            finds: 0.25 / orders.probe_price.max(1e-4),
            fresh: goal / 30,
            trust: goal / 4,
            // Without heartbeats there is nothing newer to be had.
            believe: if asks { goal / 4 } else { CALM },
            hold: (goal / 40).max(2 * orders.tick),
            patience: goal / 4,
            tick: orders.tick,
            live_weights: orders.live_weights,
            warm_keys: orders.warm_keys,
            near: 0.01 / (0.01 + orders.cross_zone_price.max(0.0)),
            idle_close: orders.idle_close,
            one_stream: orders.streams_per_connection <= 1,
            // A new connection at a fortieth of the service is as bad as one command ahead.
            new_link: 40.0 * orders.handshake_price.max(0.0),
            cold_from: orders.cold_capacity.clamp(0.01, 1.0),
            warm_within: orders.warm_up_time.max(Duration::from_millis(1)),
            tip_after: orders.overload_window,
            // Some passes lapse; but past its fair share a cold endpoint is late long before it falls over.
            cold_share: orders.overload_multiple.max(1.0).powf(0.25),
        }
    }

    /// Takes one event and returns what is to be done about it.
    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        if now >= self.next_survey {
            self.survey();
        }
        let stirs = !matches!(event, Event::TimerFired { token } if token & 3 != ALARM_QUEUE);
        match event {
            Event::ListUpdated { kind, entries } => self.read_list(kind, entries),
            Event::RouteWeightsChanged { weights } => self.steer(weights),
            Event::Reconfigured(orders) => self.retune(Balancer::duty(*orders)),
            Event::CordonChanged {
                endpoint,
                cordoned: out,
            } => self.cordon(endpoint, out),
            Event::StateInherited {
                state: memory,
                slots,
            } => self.inherit(*memory, &slots),
            Event::CommandArrived(arrival) => self.take(arrival),
            Event::BodyComplete { command: cmd } => self.whole(cmd),
            Event::BodyNotReplayable { command: cmd } => self.spent(cmd),
            Event::StreamStarted { command: cmd, .. } => self.streams(cmd),
            Event::RelayFinished {
                command: cmd,
                relay,
                outcome,
                elapsed: spent,
                concluded,
                report,
            } => {
                if let Some(at) = self.finish(cmd, relay, outcome, spent) {
                    self.hear(at, report);
                    if concluded {
                        self.conclude(cmd, None)
                    } else {
                        self.go_on(cmd, outcome)
                    }
                }
            }
            Event::CommandAbandoned { command: cmd } => self.conclude(cmd, None),
            Event::ProbeFinished {
                endpoint: at,
                outcome,
                elapsed: spent,
                report,
            } => self.checked(at, outcome, spent, report),
            Event::PeerMessageReceived { .. } => {}
            Event::TimerFired { token } => self.due(token),
        }
        if stirs || !self.out.is_empty() {
            self.pump();
        }
        std::mem::take(&mut self.out)
    }

    fn due(&mut self, token: u64) {
        let cmd = (token >> 2) as usize;
        match token & 3 {
            ALARM_LIST if !self.listening => {
                self.listening = true;
                self.out.push(Action::Subscribe { active: true });
            }
            // Guards against a lost command: an alarm that comes a hair early must not stop the queue.
            ALARM_QUEUE if self.wake <= self.now + self.duty.tick / 100 => {
                self.wake = Duration::ZERO
            }
            ALARM_COPY => self.copy(cmd),
            ALARM_GOAL => self.past_goal(cmd),
            _ => {}
        }
    }

    fn alarm(&mut self, after: Duration, token: u64) {
        self.out.push(Action::SetTimer {
            after: after.max(self.duty.tick),
            token,
        });
    }

    fn read_list(&mut self, kind: ListUpdateKind, entries: Vec<ListedEndpoint>) {
        let jitter = self.chance();
        match kind {
            // Guards against a crowd at a list service that is down: later each time, never in step; 1.5 s at
            // most, as news soon counts as told. Where lists are pushed the agent's news counts at once.
            ListUpdateKind::Failed => {
                self.listening = false;
                self.list_fails += 1;
                let step = match self.duty.listen {
                    true => self.duty.list_every / 16 * (1 << self.list_fails.min(4)),
                    false => self.duty.drain_grace / 4,
                };
                let after = step.min(Duration::from_secs(1)).mul_f64(0.5 + jitter);
                self.log(format!(
                    "list refused {} times, again in {after:.2?}",
                    self.list_fails
                ));
                return self.alarm(after, ALARM_LIST);
            }
            ListUpdateKind::Cached if self.duty.listen => {
                self.alarm(self.duty.list_every.mul_f64(jitter / 4.0), ALARM_LIST);
            }
            ListUpdateKind::Full | ListUpdateKind::Delta if self.list_fails > 0 => {
                self.log(format!(
                    "list answers again after {} refusals",
                    self.list_fails
                ));
                self.list_fails = 0;
            }
            _ => {}
        }
        if kind != ListUpdateKind::Delta {
            self.endpoints
                .iter_mut()
                .for_each(|e| (e.up, e.listed, e.gone) = (false, false, e.known));
        }
        for entry in &entries {
            let (now, len) = (self.now, self.endpoints.len().max(entry.endpoint + 1));
            self.endpoints.resize_with(len, Endpoint::unknown);
            let e = &mut self.endpoints[entry.endpoint];
            (e.mark, e.kind, e.zone, e.cell, e.known) =
                (entry.id_hash, entry.kind, entry.zone, entry.cell, true);
            e.rating = entry.weight.clamp(0.01, 1e6);
            // A live weight is the size by one more than what is held: the most seen is the size.
            if self.duty.live_weights {
                e.nominal = e.nominal.max(e.rating);
                (e.holds, e.rating) = (e.nominal / e.rating - 1.0, e.nominal);
            }
            (e.up, e.gone) = (
                entry.state == EndpointState::Running,
                entry.state == EndpointState::Removed,
            );
            e.listed = e.up && e.banned.is_none();
            let young = !entry.started_at.is_zero()
                && now.saturating_sub(entry.started_at) < self.duty.warm_within;
            if young && e.up_since.is_none_or(|at| entry.started_at > at) {
                e.start_cold(entry.started_at);
            }
        }
        if self.duty.live_weights {
            // What is not named has not changed.
            self.endpoints
                .iter_mut()
                .filter(|e| e.listed)
                .for_each(|e| e.heard = Some(self.now));
        }
        self.survey();
    }

    /// Out by hand, whatever the list says. Guards against trust in what may be another process when it
    /// is called back: nothing old holds, it is cold unless told of a start meanwhile, and a send is due.
    fn cordon(&mut self, at: EndpointIndex, out: bool) {
        let (now, len) = (self.now, self.endpoints.len().max(at + 1));
        self.endpoints.resize_with(len, Endpoint::unknown);
        let owed = now + self.duty.tip_after.mul_f64(self.chance());
        let e = &mut self.endpoints[at];
        match e.banned.filter(|_| !out) {
            Some(since) => {
                e.start_cold(e.up_since.filter(|up| *up > since).unwrap_or(now));
                (e.banned, e.owed, e.heard, e.credit) = (None, Some(owed), None, 1.0);
            }
            None if out => (e.banned, e.gone) = (e.banned.or(Some(now)), e.gone || !e.known),
            None => return,
        }
        e.listed = e.up && !out;
        self.out.push(Action::Disconnect { endpoint: at });
        self.survey();
    }

    /// A small fleet is in view whole; of a large one those met lately and a few more, drawn by base weight.
    /// Guards against walks over hundreds of endpoints for every command.
    fn look_around(&mut self) {
        if self.endpoints.len() <= SMALL {
            return (0..self.endpoints.len()).for_each(|at| self.meet(at));
        }
        let old = |at: Duration, span: Duration| self.now.saturating_sub(at) > span;
        let gone = |e: &Endpoint| {
            let silent =
                e.heard.is_none_or(|at| old(at, 8 * self.duty.believe)) && old(e.pace.at, 4 * CALM);
            let idle = e.out.is_empty() && e.probing.is_none() && !self.linked(e);
            silent && idle && self.now >= e.try_at.max(e.pass_until)
        };
        let (gone, met): (Vec<_>, _) = self.met.iter().partition(|at| gone(&self.endpoints[**at]));
        self.met = met;
        gone.into_iter()
            .for_each(|at: EndpointIndex| self.endpoints[at].forget());
        for _ in 0..2 * self.duty.heartbeats.max(2) {
            let mass = self.chance() * self.table.last().copied().unwrap_or_default();
            let at = self.table.partition_point(|m| *m <= mass);
            if at < self.endpoints.len() {
                self.meet(at);
            }
        }
    }

    // ---- what endpoints show ----

    fn checked(
        &mut self,
        at: EndpointIndex,
        outcome: Outcome,
        spent: Duration,
        report: Option<LoadReport>,
    ) {
        let Some(e) = self.endpoints.get_mut(at) else {
            return;
        };
        e.probing = None;
        if outcome == Outcome::Answered {
            self.rtt = (9 * self.rtt + spent) / 10;
            self.reached(at);
            self.hear(at, report);
            let (e, counts) = (
                &self.endpoints[at],
                !self.duty.asks && !self.queue.is_empty(),
            );
            let open = counts && self.load(e, self.usual_load()) < self.limit_of(e) * e.size;
            self.found += if counts {
                0.1 * (f64::from(u8::from(open)) - self.found)
            } else {
                0.0
            };
        } else if matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut) {
            self.missed(at);
        }
    }

    /// Could not be reached: the next trial comes later each time.
    fn missed(&mut self, at: EndpointIndex) {
        let e = &mut self.endpoints[at];
        e.misses += 1;
        e.try_at = self.now + self.duty.trust * (1 << e.misses.min(5));
        if e.misses == 3 {
            self.log(format!(
                "endpoint {at} could not be reached 3 times in a row"
            ));
        }
    }

    /// Guards against pushing over a process that restarted before the list says so: if it could not be
    /// reached and now can, it counts as cold from here.
    fn reached(&mut self, at: EndpointIndex) {
        let (now, within) = (self.now, self.duty.warm_within);
        let e = &mut self.endpoints[at];
        let misses = std::mem::take(&mut e.misses);
        e.try_at = Duration::ZERO;
        if misses >= 3 && e.up_since.is_none_or(|up| now.saturating_sub(up) > within) {
            e.start_cold(now);
            self.next_survey = now;
            self.log(format!(
                "endpoint {at} back after {misses} misses, taken as cold"
            ));
        }
    }

    fn hear(&mut self, at: EndpointIndex, report: Option<LoadReport>) {
        let (Some(e), Some(report)) = (self.endpoints.get_mut(at), report) else {
            return;
        };
        let margin = 2 * (self.duty.fresh + self.rtt + self.duty.tick);
        let sure = e
            .out
            .iter()
            .filter(|sent| self.now.saturating_sub(**sent) > margin)
            .count() as f64;
        let step = match report.outstanding.filter(|_| sure > 0.0) {
            Some(holds) if holds < 0.5 * sure => -0.25,
            known => known.map_or(0.0, |_| 0.02),
        };
        // A share of time stands for as many as a single server holds that is busy for it.
        let busy = report
            .utilization
            .map(|u| u.clamp(0.0, 1.0))
            .map(|u| u / (1.1 - u));
        let told = report
            .backlog
            .filter(|_| !self.duty.live_weights)
            .map(|b| b + busy.unwrap_or(0.0));
        if let Some(holds) = report.outstanding.or(told).or(busy) {
            e.holds = holds.max(0.0);
            e.heard = Some(self.now);
        }
        if let (Some(errors), Some(rate)) = (report.errors_per_s, report.throughput) {
            e.errs = if errors > 0.0 {
                (errors / (errors + rate).max(1e-9)).clamp(0.0, 1.0)
            } else {
                0.0
            };
        }
        self.credit(at, step);
    }

    /// Guards against stuck or lying reports, which draw all to what seems empty: what an endpoint says is
    /// held against own relays known to be there, against refusals as full, and against the times it takes
    /// where a relay went by it. Thin traffic goes by old ones, and the cold are slow: neither is a lie.
    fn credit(&mut self, at: EndpointIndex, step: f64) {
        let e = &mut self.endpoints[at];
        e.credit = (e.credit + step).clamp(0.0, 1.0);
        self.faith = (self.faith + 0.2 * step).clamp(0.0, 1.0);
        let (credit, holds) = (e.credit, e.holds);
        if e.doubted != (credit < if e.doubted { 0.75 } else { 0.5 }) {
            e.doubted = !e.doubted;
            let word = if e.doubted { "do not fit" } else { "fit again" };
            self.log(format!(
                "endpoint {at}: reports {word} (says {holds:.1}, credit {credit:.2})"
            ));
        }
    }

    // ---- ordinary path: score, weight, draw ----

    /// By the list and the zone, or by what routes say of a play; with none named, its most.
    pub(crate) fn base(&self, e: &Endpoint, play: Option<usize>) -> f64 {
        let most = || e.plays.iter().copied().fold(0.0, f64::max);
        e.size
            * match (self.steered, play) {
                (true, Some(play)) => e.plays.get(play).copied().unwrap_or_default(),
                (true, None) => most(),
                (false, _) if e.zone == self.duty.own_zone => 1.0,
                (false, _) => self.duty.near,
            }
    }

    fn trust(&self, e: &Endpoint) -> f64 {
        e.heard.map_or(0.0, |at| {
            e.credit * self.faith * fade(self.now, at, self.duty.believe)
        })
    }

    /// Load in commands held; old and discredited reports lose trust and drift to the mean of the trusted.
    /// What is out from here counts in any case.
    fn load(&self, e: &Endpoint, usual: f64) -> f64 {
        let trust = self.trust(e);
        (trust * e.holds.max(0.0) + (1.0 - trust) * usual * e.size * self.ramp(e))
            .max(e.out.len() as f64)
    }

    /// Mean of the trusted loads, in commands a usual size. Guards against a lock-up where nothing is heard
    /// any more: as reports age or lose credit it falls to nothing, and own relays in flight decide.
    fn usual_load(&self) -> f64 {
        let (mut sum, mut of) = (0.0, 0.0);
        for e in self.view().filter(|e| e.listed) {
            let fresh = e
                .heard
                .map_or(0.0, |at| fade(self.now, at, 4 * self.duty.believe));
            sum += fresh * e.credit * self.faith * e.holds.max(e.out.len() as f64);
            of += fresh * e.size;
        }
        // Against one report, not a share of the fleet: of a large one few are heard of at any time.
        sum / of.max(1.0)
    }

    /// Guards against hundreds of sidecars that each connect to all: a new connection is work, and endpoints
    /// take few. Where none is open from here an endpoint counts as fuller, by the stated price.
    fn linked(&self, e: &Endpoint) -> bool {
        let open = e
            .used
            .is_some_and(|at| self.now.saturating_sub(at) < self.duty.idle_close);
        open && (!self.duty.one_stream || e.out.is_empty())
    }

    fn ramp(&self, e: &Endpoint) -> f64 {
        let Some(up) = e.up_since else { return 1.0 };
        let age = self.now.saturating_sub(up).as_secs_f64() / self.duty.warm_within.as_secs_f64();
        self.duty.cold_from + (1.0 - self.duty.cold_from) * age.min(1.0)
    }

    /// Weights for a command, zero where it may not go. Without `need` (value, risk) limits do not count.
    fn weigh(&self, ats: &[usize], of: Option<(usize, usize)>, need: Need, may: May) -> Vec<f64> {
        let (verb, play) = (of.map(|(verb, _)| verb), of.map(|(_, play)| play));
        let (usual, risk) = (self.usual_load(), need.map_or(RISK, |(_, risk)| risk));
        let ready =
            |e: &Endpoint| e.listed && self.now >= e.try_at && may(e) && self.base(e, play) > 0.0;
        // Guards against a crowd of unheard ones, each a little likely, that outweighs one known to be idle,
        // and against one that fails fast: it looks idle, and draws what it then fails.
        let doubt = if self.duty.heartbeats > 0 {
            (1.0 - usual).max(0.0)
        } else {
            0.0
        };
        let link = |e: &Endpoint| {
            if self.linked(e) || self.cold(e) {
                0.0
            } else {
                self.duty.new_link
            }
        };
        let new = |e: &Endpoint| {
            link(e)
                + doubt * (1.0 - self.trust(e))
                + risk * e.harm(self.now, 2 * OUTCOMES, 4 * CALM)
        };
        let load = |e: &Endpoint| {
            if ready(e) {
                self.load(e, usual) / e.size
            } else {
                f64::INFINITY
            }
        };
        let loads: Vec<f64> = ats.iter().map(|at| load(&self.endpoints[*at])).collect();
        let all = || ats.iter().map(|at| &self.endpoints[*at]).zip(&loads);
        let least = all()
            .map(|(e, load)| load / self.ramp(e) + new(e))
            .fold(f64::INFINITY, f64::min);
        let tail_of_all = self.usual.mean + 2.0 * self.usual.spread;
        let weight = |(e, &load): (&Endpoint, &f64)| {
            let full = |v: f64| match self.duty.heartbeats {
                // Old news is no ground to turn away: there the limit is on what is out from here in all.
                0 => self.out_now >= self.window * (0.6 + 0.4 * v),
                _ => load >= self.limit_of(e) * (0.6 + 0.4 * v),
            };
            if load.is_infinite() || need.is_some_and(|(v, _)| full(v)) {
                return 0.0;
            }
            let (mean, tail) = e.pace.read(self.now, 2 * CALM, &self.usual);
            let load = load / self.ramp(e) + new(e);
            // Guards against a crowd: where news is old, what seems least loaded seems so to all.
            let load = match self.duty.heartbeats {
                0 => 10.0 - 9.0 * ((load / usual.max(1.0)).max(self.drawn(e)) - 1.0).max(0.0),
                _ => 10.0 - 40.0 * (load - least),
            };
            let mean =
                10.0 - 9.0 * (mean / self.ramp(e) / self.usual.mean.max(1e-6) - 1.0).max(0.0);
            let tail = 10.0 - 9.0 * (tail / tail_of_all.max(1e-6) - 1.0).max(0.0);
            let score = LOAD_SHARE * load + (1.0 - LOAD_SHARE) * (mean + tail) / 2.0;
            let health = (e.health(self.now, verb) * (1.0 - e.errs)).max(0.1).powi(3);
            // Called back by hand: tried soon, also where little is sent and nothing is heard of it.
            let score = if e.owed.is_some_and(|at| self.now >= at) {
                200.0
            } else {
                score.clamp(SCORE_FLOOR, 10.0)
            };
            self.base(e, play) * score / 10.0 * health
        };
        all().map(weight).collect()
    }

    /// Own sends of late against a fair part: where keys have the same homes everywhere, a sample of all's.
    fn drawn(&self, e: &Endpoint) -> f64 {
        let count = |m: &Faded| m.rate(self.now, 4 * CALM) * (4 * CALM).as_secs_f64();
        (count(&e.sends) + 2.0) / (count(&self.all_sends) * e.size / self.warm.max(1.0) + 2.0)
    }

    /// A place among the weights.
    fn draw(&mut self, weights: &[f64]) -> Option<usize> {
        let mut left = weights.iter().sum::<f64>() * self.chance();
        let hit = |w: &f64| {
            left -= w;
            *w > 0.0 && left < 0.0
        };
        weights
            .iter()
            .position(hit)
            .or_else(|| weights.iter().rposition(|w| *w > 0.0))
    }

    /// Asks a few likely endpoints how they are before a command goes out. Guards against choosing by reports
    /// that are older than a service time: each sidecar sees too little traffic to hear of all by answers.
    fn heartbeat(&mut self, of: Option<(usize, usize)>) -> Duration {
        self.look_around();
        // None where they are not allowed, also not of an endpoint with a pass; where they are dear only for
        // what nothing takes, as often as that finds something open.
        let odds = if of.is_none() {
            (self.found * self.duty.finds).max(0.05)
        } else {
            0.0
        };
        let asks = self.duty.heartbeats > 0 && (self.duty.asks || self.chance() < odds);
        let may = |e: &Endpoint| {
            self.open(e) && of.is_none_or(|(verb, _)| self.duty.verbs[verb].placed(e))
        };
        let mut weights = if asks {
            self.weigh(&self.met, of, None, &may)
        } else {
            Vec::new()
        };
        for (e, w) in self.view().zip(&mut weights) {
            let known = e
                .heard
                .is_some_and(|at| self.now.saturating_sub(at) <= self.duty.fresh);
            *w = if e.probing.is_some() || known || *w <= 0.0 {
                0.0
            } else {
                w.max(0.002)
            };
        }
        // Where most are idle, one asked is enough; the second round asks again if it is not.
        let most = self
            .duty
            .heartbeats
            .min(1 + (4.0 * self.usual_load()) as usize);
        // A pass is for now: its endpoint is asked in any case.
        let passed = |n: &usize| weights[*n] > 0.0 && self.cold(&self.endpoints[self.met[*n]]);
        let mut asked: Vec<_> = (0..weights.len()).filter(passed).collect();
        while asked.len() < most {
            let Some(n) = self.draw(&weights) else { break };
            weights[n] = 0.0;
            asked.push(n);
        }
        let hold = if asked.is_empty() {
            Duration::ZERO
        } else {
            3 * self.rtt + 2 * self.duty.tick
        };
        for endpoint in asked.into_iter().map(|n| self.met[n]) {
            self.endpoints[endpoint].probing = Some(self.now);
            self.out.push(Action::Probe { endpoint });
        }
        hold.min(self.duty.hold)
    }

    fn knows_idle(&self) -> bool {
        let (usual, since) = (
            self.usual_load(),
            self.now.saturating_sub(2 * self.duty.fresh),
        );
        let known = |e: &&Endpoint| e.listed && e.heard.is_some_and(|at| at > since);
        self.view()
            .filter(known)
            .any(|e| self.load(e, usual) < 0.5 * e.size)
    }

    // ---- warm-up ----

    pub(crate) fn cold(&self, e: &Endpoint) -> bool {
        e.up_since
            .is_some_and(|up| self.now.saturating_sub(up) < self.duty.warm_within)
    }

    /// Warm, or with a pass that still holds.
    fn open(&self, e: &Endpoint) -> bool {
        !self.cold(e) || self.now < e.pass_until
    }

    /// Answers a second of a warm one of this kind at size 1, or as last seen; of a new one the least of all.
    fn warm_rate(&self, kind: usize) -> f64 {
        let all = self
            .warm_kinds
            .iter()
            .filter(|k| k.some)
            .map(|k| k.rate(self.now));
        let own = self.warm_kinds.get(kind).filter(|k| k.some || k.last > 0.0);
        own.map(|k| if k.some { k.rate(self.now) } else { k.last })
            .or(all.reduce(f64::min))
            .unwrap_or_default()
    }

    /// Guards against pushing over a cold endpoint. Sidecars can't agree, so what each sends follows its ramp
    /// and the own rate to warm ones of its kind: each arrival draws whether there is a pass for one send,
    /// and for which. Unused it is soon lost, so that hundreds of sidecars never hold a burst in hand.
    fn draw_pass(&mut self) {
        let since = self
            .now
            .saturating_sub(std::mem::replace(&mut self.pass_at, self.now));
        let since = since.min(self.duty.tip_after).as_secs_f64();
        let (count, nth, luck) = (self.colds.len() as f64, self.chance(), self.chance());
        let due = |at: &EndpointIndex| {
            self.endpoints[*at]
                .owed
                .is_some_and(|from| self.now >= from)
        };
        let drawn = self.colds.get((nth * count) as usize);
        let Some(at) = self.colds.iter().copied().find(due).or(drawn.copied()) else {
            return;
        };
        let e = &self.endpoints[at];
        // Where nearly all are cold there is no warm rate to go by, but a share of what arrives.
        let arrivals = 0.3 * self.arrivals.fair_rate(self.now, 4 * CALM) / self.listed;
        let rate = (self.warm_rate(e.kind) * e.rating).max(arrivals * e.size);
        if due(&at) || luck < self.duty.cold_share * rate * since * count * self.ramp(e) {
            self.endpoints[at].pass_until = self.now + self.duty.tip_after / 4;
            self.meet(at);
        }
    }

    // ---- commands ----

    fn take(&mut self, a: CommandArrival) {
        let v = &self.duty.verbs[a.class];
        let goal = (v.goal + a.work.unwrap_or_default().mul_f64(v.stretch)).min(v.limit);
        // Guards against answering repeats that are past their goal: first tries of a verb get the same time,
        // a last try what is left of the limit, which tells how much is spent; where marked, only repeats.
        let odd = a.budget.abs_diff(v.budget) > v.budget / 50;
        let known = odd && v.budget_votes >= 4 && a.is_retry == self.marked;
        let gone = if known {
            v.limit.saturating_sub(a.budget)
        } else {
            Duration::ZERO
        };
        // A marked repeat has spent some of its goal, no one knows how much.
        let values = self.values();
        let mut value = values[a.class] * if a.is_retry && !known { 0.3 } else { 1.0 };
        if let Some(company) = a.tenant.filter(|c| *c < self.mix.len()) {
            self.mix[company].add(self.now, 8 * CALM);
            let rate = |m: &Faded| m.rate(self.now, 8 * CALM);
            let share = rate(&self.mix[company]) / self.mix.iter().map(rate).sum::<f64>();
            // Past its share a company's commands are worth little: they go last when there is too much.
            if self.shedding && share > 1.3 * self.duty.portions[company] {
                value *= self.duty.surplus_utility.max(0.3);
            }
        }
        let v = &mut self.duty.verbs[a.class];
        if !a.is_retry && !known {
            v.asked.add(self.now, 8 * CALM);
        }
        match (odd, v.budget_votes) {
            (true, 0) => (v.budget, v.budget_votes) = (a.budget, 1),
            (true, _) => v.budget_votes -= 1,
            (false, n) => v.budget_votes = (n + 1).min(20),
        }
        let len = self.commands.len().max(a.command + 1);
        self.commands.resize_with(len, || None);
        (self.spare, self.marked) = ((self.spare + 0.2).min(5.0), self.marked || a.is_retry);
        self.arrivals.add(self.now, 4 * CALM);
        let key = a.key.filter(|_| self.duty.warm_keys);
        key.into_iter()
            .for_each(|key| self.keys[key as usize % KEY_SLOTS].add(self.now, 4 * CALM));
        self.draw_pass();
        let (due, best) = (
            (self.now + goal).saturating_sub(gone),
            values.into_iter().fold(1e-9, f64::max),
        );
        self.commands[a.command] = Some(Command {
            value,
            best,
            key,
            ..Command::come(&a, self.now, due)
        });
        self.enqueue(a.command);
        self.hold(a.command);
    }

    /// Holds a command while a few endpoints are asked how they are; tells whether it waits for them.
    fn hold(&mut self, cmd: CommandIndex) -> bool {
        // Guards against holding a command longer than its client stays.
        let Some(c) = self.held(cmd).filter(|c| self.now < c.last_call) else {
            return false;
        };
        let until = self.now + self.heartbeat(Some((c.verb, c.play)));
        self.commands[cmd]
            .iter_mut()
            .for_each(|c| c.hold_until = until);
        until > self.now
    }

    /// What an answer in time adds to the result, for each verb. Guards against starving the verb that is
    /// worth least for as long as the result counts the worst served.
    fn values(&self) -> Vec<f64> {
        let verbs = &self.duty.verbs;
        let rates: Vec<f64> = verbs
            .iter()
            .map(|v| v.asked.rate(self.now, 8 * CALM) + FEW)
            .collect();
        let served = verbs
            .iter()
            .map(|v| v.served.rate(self.now, 8 * CALM) + FEW);
        let services: Vec<f64> = served
            .zip(&rates)
            .map(|(served, rate)| served / rate)
            .collect();
        let (all, least) = (
            rates.iter().sum::<f64>(),
            services.iter().copied().fold(1.0, f64::min),
        );
        let worth: f64 = verbs
            .iter()
            .zip(&rates)
            .map(|(v, rate)| rate * v.utility)
            .sum();
        let behind = |n: usize| (1.0 - 10.0 * (services[n] - least)).max(0.0);
        let (whole, worst) = (
            self.duty.goal_whole * all / worth,
            self.duty.goal_verb * all,
        );
        (0..verbs.len())
            .map(|n| whole * verbs[n].utility + worst * behind(n) / rates[n])
            .collect()
    }

    /// Until when a command may wait from now: what is left of its goal must fit a usual answer.
    fn last_call(&self, c: &Command) -> Duration {
        let v = &self.duty.verbs[c.verb];
        let need = Duration::from_secs_f64(v.usual.mean.clamp(0.0, 0.6 * v.goal.as_secs_f64()));
        let end = if v.late_utility > 0.0 {
            c.leave
        } else {
            c.due.min(c.leave)
        };
        end.saturating_sub(need).min(self.now + v.goal / 4)
    }

    fn enqueue(&mut self, cmd: CommandIndex) {
        let Some(last_call) = self.held(cmd).map(|c| self.last_call(c)) else {
            return;
        };
        self.commands[cmd]
            .iter_mut()
            .for_each(|c| (c.waits, c.last_call) = (true, last_call));
        self.queue.push(cmd);
    }

    /// Sends what can go, best first; declines what can't make it any more.
    fn pump(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.queue);
        let rank = |cmd: &CommandIndex| {
            self.held(*cmd)
                .map_or((0.0, Duration::ZERO), |c| (-c.value, c.came))
        };
        waiting.sort_by(|a, b| {
            rank(a)
                .partial_cmp(&rank(b))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        let (now, hold) = (self.now, self.duty.hold);
        let pending = self
            .view()
            .any(|e| e.probing.is_some_and(|at| now < at + hold));
        let room =
            (self.sends.young_rate(self.now, CALM) * self.duty.patience.as_secs_f64()).max(1.0);
        let mut idle = self.knows_idle();
        let mut line = 0; // those that nothing took; the rest only await heartbeats
        let mut shut = Vec::new(); // places in which nothing took a command that is worth more
        for cmd in waiting {
            let Some(c) = self.held(cmd).filter(|c| c.waits && !c.over) else {
                continue;
            };
            let bound = self.duty.verbs[c.verb].bound().then_some(c.verb);
            let (free, lost, play) = (c.relays.is_empty(), now >= c.last_call, (c.play, bound));
            // More rounds of heartbeats where none of those asked is idle.
            let held = c.hold_until > now && pending && !idle;
            let again = !held && !idle && c.rounds < ROUNDS && !self.shedding;
            if !lost && (held || again && self.hold(cmd)) {
                self.commands[cmd]
                    .iter_mut()
                    .for_each(|c| c.rounds += u32::from(again));
                self.queue.push(cmd);
                continue;
            }
            if let Some(at) = if lost || free && shut.contains(&play) {
                None
            } else {
                self.pick(cmd, false)
            } {
                self.send(cmd, at);
                idle = self.knows_idle();
                continue;
            }
            shut.extend((free && !lost && !shut.contains(&play)).then_some(play));
            // Guards against sitting on what will be declined anyway: past the room, the answer is now.
            if lost || self.closed || f64::from(line) >= room {
                self.give_up(cmd);
            } else {
                line += 1;
                self.queue.push(cmd);
            }
        }
        // Guards against a lock-up: where all seem full, old reports are asked for anew while commands wait.
        if !shut.is_empty() && line > 0 && !pending && now >= self.ask_at {
            self.ask_at = now + self.duty.trust / 2;
            self.heartbeat(None);
        }
        // One alarm for the whole queue, at the next time when something in it may change by itself.
        let turn = |c: &Command| {
            if c.hold_until > now {
                c.last_call.min(c.hold_until)
            } else {
                c.last_call
            }
        };
        let ask = if !shut.is_empty() && line > 0 {
            self.ask_at
        } else {
            Duration::MAX
        };
        let turns = self
            .queue
            .iter()
            .filter_map(|cmd| self.held(*cmd))
            .map(turn)
            .min();
        if let Some(next) = turns.map(|at| at.min(ask).max(now + self.duty.tick))
            && (self.wake <= now || next < self.wake)
        {
            self.wake = next;
            self.alarm(next - now, ALARM_QUEUE);
        }
        if f64::from(line) + 1.0 > room {
            if !std::mem::replace(&mut self.shedding, true) {
                self.log(format!(
                    "too much to carry: {line} commands wait, room for {room:.0}"
                ));
            }
            self.shed_at = now;
        } else if self.shedding && now.saturating_sub(self.shed_at) > 2 * CALM {
            self.shedding = false;
            self.log(format!("the queue is short again: {line} commands wait"));
        }
    }

    /// The design's draw among the endpoints where this command may go.
    fn pick(&mut self, cmd: CommandIndex, copy: bool) -> Option<EndpointIndex> {
        let c = self.held(cmd)?;
        let v = &self.duty.verbs[c.verb];
        // Guards against an effect twice: what may have run goes on only inside the group that drops repeats.
        let home = match (v.effect, c.relays.iter().find(|r| r.may_have_run())) {
            (Effect::Safe, _) | (_, None) => None,
            (Effect::NonIdempotent, Some(_)) => return None,
            (Effect::Keyed, Some(first)) => {
                if v.window_left(first, self.now) <= self.duty.tick {
                    return None;
                }
                Some(&self.endpoints[first.endpoint])
            }
        };
        let group = v.group;
        let drops_repeats = |e: &Endpoint| {
            home.is_none_or(|home| match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => e.zone == home.zone,
                DeduplicationScope::Cell => e.zone == home.zone && e.cell == home.cell,
            })
        };
        let may = |e: &Endpoint| self.open(e) && drops_repeats(e) && v.placed(e);
        // A second copy is a luxury: it goes only where there is room for the least worth.
        let value = if copy {
            0.0
        } else {
            (c.value / c.best).clamp(0.0, 1.0)
        };
        let homes = if home.is_none() {
            self.homes(c)
        } else {
            Vec::new()
        };
        let ats = match home {
            None if !homes.is_empty() => homes.iter().map(|(at, _)| *at).collect(),
            None if !v.bound() => self.met.clone(),
            _ => (0..self.endpoints.len()).collect(),
        };
        let risk = if v.effect == Effect::NonIdempotent {
            5.0 * RISK
        } else {
            RISK
        };
        let mut weights = self.weigh(&ats, Some((c.verb, c.play)), Some((value, risk)), &may);
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

    /// The few that are to remember a key, the same at every sidecar, with shares of their weight: as many as
    /// its part of all commands asks for, and two more. Guards against a key met everywhere, remembered
    /// nowhere. Zones share homes, so the root of the base weight ranks. A pass is for whatever is next.
    fn homes(&self, c: &Command) -> Vec<(EndpointIndex, f64)> {
        let Some(key) = c.key else { return Vec::new() };
        let rate = |m: &Faded| m.rate(self.now, 4 * CALM);
        let part = rate(&self.keys[key as usize % KEY_SLOTS]) / rate(&self.arrivals).max(1e-9);
        let wide = (HOMES * part * self.listed).max(1.0);
        let ready = |(at, e): &(usize, &Endpoint)| {
            let here = e.listed
                && self.now >= e.try_at
                && self.open(e)
                && self.duty.verbs[c.verb].placed(e);
            here && !c.relays.iter().any(|r| r.endpoint == *at)
        };
        let place = |(at, e): (usize, &Endpoint)| match self.cold(e) {
            true => (0.0, at),
            false => (
                luck(e.mark, key) / self.base(e, Some(c.play)).sqrt().max(1e-9),
                at,
            ),
        };
        let mut places: Vec<_> = self
            .endpoints
            .iter()
            .enumerate()
            .filter(ready)
            .map(place)
            .collect();
        places.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let wide = wide + places.iter().filter(|(place, _)| *place == 0.0).count() as f64;
        let share = |(n, (_, at))| (at, (wide - n as f64).clamp(RESERVE, 1.0));
        places
            .into_iter()
            .take(wide.ceil() as usize + 2)
            .enumerate()
            .map(share)
            .collect()
    }

    fn send(&mut self, cmd: CommandIndex, at: EndpointIndex) {
        let (now, usual) = (self.now, self.usual_load());
        let e = &self.endpoints[at];
        let ahead = self.load(e, usual) / e.size;
        let told = e
            .heard
            .filter(|_| !self.cold(e))
            .map_or(0.0, |at| fade(now, at, self.duty.believe));
        self.meet(at);
        let Some(c) = self.commands[cmd].as_mut() else {
            return;
        };
        let (first, coming, due, verb) = (c.relays.is_empty(), c.coming, c.due, c.verb);
        let v = &self.duty.verbs[verb];
        let ran = c
            .relays
            .iter()
            .find(|r| r.may_have_run() && v.effect == Effect::Keyed);
        let window = ran.map(|first| v.window_left(first, now));
        c.waits = false;
        c.relays.push(Relay {
            endpoint: at,
            sent: now,
            ahead,
            told,
            outcome: None,
        });
        let within = c.leave.saturating_sub(now).max(self.duty.tick);
        // Guards against a repeat whose connection comes up when its endpoint would no longer drop it.
        let begin = window.unwrap_or(within).min(within);
        self.out.push(Action::Relay {
            command: cmd,
            endpoint: at,
            timeout: within,
            send_by: begin,
        });
        let e = &mut self.endpoints[at];
        (e.used, e.pass_until, e.owed) = (Some(now), Duration::ZERO, None);
        self.book(at, now, coming);
        self.sends.add(now, CALM);
        self.all_sends.add(now, 4 * CALM);
        self.endpoints[at].sends.add(now, 4 * CALM);
        let v = &self.duty.verbs[verb];
        let (until_due, slow) = (due.saturating_sub(now), v.slow());
        let copies = self.duty.second_copies
            && v.effect != Effect::NonIdempotent
            && slow < v.goal.mul_f64(0.8);
        if first && v.late_utility <= 0.0 && !coming {
            self.alarm(until_due, ALARM_GOAL | (cmd as u64) << 2);
        }
        if first && copies {
            self.alarm(slow, ALARM_COPY | (cmd as u64) << 2);
        }
    }

    /// A second copy, where one relay takes unusually long. Guards against an endpoint that stands still; the
    /// budget of further relays keeps it from feeding an overload.
    fn copy(&mut self, cmd: CommandIndex) {
        let Some(c) = self
            .held(cmd)
            .filter(|c| !c.over && !c.streams && !c.waits && !c.once)
        else {
            return;
        };
        let v = &self.duty.verbs[c.verb];
        let [only] = c.relays[..] else { return };
        let slow =
            only.outcome.is_none() && self.now.saturating_sub(only.sent) >= v.slow().mul_f64(0.8);
        let time = c.due.saturating_sub(self.now).as_secs_f64() > v.usual.mean;
        let may = slow && time && self.spare >= 1.0 && !self.shedding;
        if let Some(at) = may.then(|| self.pick(cmd, true)).flatten() {
            self.spare -= 1.0;
            self.send(cmd, at);
        }
    }

    /// All of a long body has come; from here on it is as any other command.
    fn whole(&mut self, cmd: CommandIndex) {
        let Some(c) = self
            .commands
            .get_mut(cmd)
            .and_then(Option::as_mut)
            .filter(|c| c.coming)
        else {
            return;
        };
        let out = c.begin(self.now);
        let (until_due, late) = (
            c.due.saturating_sub(self.now),
            self.duty.verbs[c.verb].late_utility,
        );
        out.into_iter()
            .for_each(|at| self.book(at, self.now, false));
        if late <= 0.0 {
            self.alarm(until_due, ALARM_GOAL | (cmd as u64) << 2);
        }
    }

    /// Past its goal an answer is worth nothing. Guards against work that keeps others waiting: it is called
    /// off where something waits, here or at its endpoint; else it may end by itself and is not wasted.
    fn past_goal(&mut self, cmd: CommandIndex) {
        let past = |c: &&Command| !c.over && !c.streams && !c.waits && self.now >= c.due;
        let Some(c) = self.held(cmd).filter(past) else {
            return;
        };
        let (usual, verb) = (self.usual_load(), c.verb);
        let out: Vec<Relay> = c
            .relays
            .iter()
            .filter(|r| r.outcome.is_none())
            .copied()
            .collect();
        // What can't be known of an endpoint without credit is taken for the worse.
        let crowded =
            |e: &Endpoint| self.load(e, usual) / e.size > 1.2 || e.credit * self.faith < 0.5;
        let wanted = out.iter().any(|r| crowded(&self.endpoints[r.endpoint]));
        if wanted || self.shedding || !self.queue.is_empty() {
            out.iter()
                .for_each(|r| self.slow_answer(r, verb, self.now.saturating_sub(r.sent)));
            self.give_up(cmd);
        }
    }

    /// Books the outcome of a relay; tells its endpoint.
    fn finish(
        &mut self,
        cmd: CommandIndex,
        n: usize,
        outcome: Outcome,
        spent: Duration,
    ) -> Option<EndpointIndex> {
        let now = self.now;
        let c = self.commands.get_mut(cmd)?.as_mut()?;
        let (verb, in_time, coming) = (c.verb, now <= c.due, c.coming);
        let value = (c.value / c.best).clamp(0.05, 1.0);
        let r = c.relays.get_mut(n).filter(|r| r.outcome.is_none())?;
        r.outcome = Some(outcome);
        let (r, at) = (*r, r.endpoint);
        self.unbook(at, r.sent, coming);
        self.widen(at, verb, outcome, in_time, value);
        if outcome == Outcome::Answered && !self.cold(&self.endpoints[at]) {
            self.note_warm(at);
        }
        let e = &mut self.endpoints[at];
        match outcome {
            Outcome::Answered => {
                e.used = Some(now);
                let v = &mut self.duty.verbs[verb];
                if in_time {
                    v.served.add(now, 8 * CALM);
                }
                let pace = v.pace(&r, spent);
                v.usual.note(now, spent.as_secs_f64(), 10 * CALM);
                self.usual.note(now, pace, 10 * CALM);
                self.kinds
                    .resize(self.kinds.len().max(e.kind + 1), Pace::default());
                self.kinds[e.kind].note(now, pace, 10 * CALM);
                e.pace.note(now, pace, 2 * CALM);
                let (goal, limit) = (v.goal, self.limit_of(&self.endpoints[at]));
                if spent > goal.mul_f64(0.85) {
                    self.cut(at);
                } else if spent < goal / 2 && r.ahead + 1.0 >= limit {
                    self.set_limit(at, (limit + GROWTH / limit).min(64.0));
                }
                self.credit(
                    at,
                    if pace > 3.0 * self.usual.mean {
                        -0.1 * r.told
                    } else {
                        0.0
                    },
                );
                self.reached(at);
                self.judge(at, verb, outcome, OUTCOMES);
            }
            Outcome::NotSent | Outcome::Cancelled | Outcome::Rejected => {}
            Outcome::Overloaded => {
                self.cut(at);
                self.credit(at, if r.ahead < FIRST_LIMIT { -0.25 } else { 0.0 });
                if self.duty.heartbeats == 0 {
                    self.judge(at, verb, outcome, OUTCOMES);
                }
            }
            Outcome::TimedOut => self.slow_answer(&r, verb, spent),
            Outcome::Error | Outcome::ConnectionLost => self.judge(at, verb, outcome, OUTCOMES), // it was reached
            Outcome::ConnectFailed => {
                self.endpoints[at].used = None;
                self.judge(at, verb, outcome, OUTCOMES);
                self.missed(at);
            }
        }
        Some(at)
    }

    /// The limit on what is out from here in all: steps by worth, up while it binds, down for what is late or
    /// turned away. What fails at an endpoint that fails more than the others says little of the fleet.
    fn widen(
        &mut self,
        at: EndpointIndex,
        verb: usize,
        outcome: Outcome,
        in_time: bool,
        value: f64,
    ) {
        self.worth += LEAST_GAIN * (value - self.worth);
        let (value, answered) = (value / self.worth, outcome == Outcome::Answered);
        let share = value * (self.endpoints[at].health(self.now, Some(verb)) / self.well).min(1.0);
        self.well = (self.well + LEAST_GAIN * (f64::from(u8::from(answered)) - self.well)).max(0.1);
        let late = answered || outcome == Outcome::Cancelled && !in_time;
        if answered && in_time {
            self.window += if self.out_now + 2.0 >= 0.6 * self.window {
                0.1 * value
            } else {
                0.0
            };
        } else if late || matches!(outcome, Outcome::TimedOut | Outcome::Overloaded) {
            self.window = (self.window.min(2.0 * self.out_now + 4.0) - 0.5 * share).max(1.0);
        }
    }

    /// Failures never count as fast answers: a time-out is an answer at least as slow as it lasted.
    fn slow_answer(&mut self, r: &Relay, verb: usize, spent: Duration) {
        let pace = self.duty.verbs[verb].pace(r, spent).max(1.0);
        self.endpoints[r.endpoint]
            .pace
            .note(self.now, pace, 2 * CALM);
        self.credit(
            r.endpoint,
            if pace > 2.0 * self.usual.mean {
                -0.1 * r.told
            } else {
                0.0
            },
        );
        // Guards against an endpoint that lets work hang while its probes are fine.
        self.judge(r.endpoint, verb, Outcome::TimedOut, OUTCOMES);
        self.cut(r.endpoint);
    }

    fn cut(&mut self, at: EndpointIndex) {
        if self.now.saturating_sub(self.endpoints[at].last_cut) > self.duty.trust {
            self.endpoints[at].last_cut = self.now;
            self.set_limit(at, (self.limit_of(&self.endpoints[at]) * CUT).max(1.0));
        }
    }

    /// An endpoint not tried lately has the usual limit. Guards against limits that never grow: in a large
    /// fleet a sidecar meets each endpoint too seldom to learn one for each.
    fn limit_of(&self, e: &Endpoint) -> f64 {
        self.limit + (e.limit - self.limit) * fade(self.now, e.tried, 4 * CALM)
    }

    fn set_limit(&mut self, at: EndpointIndex, limit: f64) {
        self.limit =
            (self.limit + LIMIT_SPREAD * (limit - self.limit_of(&self.endpoints[at]))).max(1.0);
        (self.endpoints[at].limit, self.endpoints[at].tried) = (limit, self.now);
    }

    /// What becomes of a command of which a relay ended without an answer.
    fn go_on(&mut self, cmd: CommandIndex, outcome: Outcome) {
        let all_ended = |c: &&Command| c.over || c.relays.iter().all(|r| r.outcome.is_some());
        let Some(c) = self.held(cmd).filter(all_ended) else {
            return;
        };
        if c.over {
            return self.tidy(cmd);
        }
        let ran = c.relays.iter().any(Relay::may_have_run);
        // Guards against what no endpoint can use and takes the budget of the rest: two words settle it.
        let unfit = c
            .relays
            .iter()
            .filter(|r| r.outcome == Some(Outcome::Rejected))
            .count();
        let again = unfit < 2
            && !c.once
            && (!ran || self.duty.verbs[c.verb].effect != Effect::NonIdempotent);
        // A first relay proven not to have run, or not to fit, costs little to send again, but not nothing.
        let price = if c.relays.len() < 2 && (outcome.never_ran() || unfit > 0) {
            0.2
        } else {
            1.0
        };
        let time =
            self.now < self.last_call(c) && c.relays.len() < self.duty.verbs[c.verb].most_relays;
        if time && again && self.spare >= price {
            self.spare -= price;
            self.enqueue(cmd);
        } else {
            self.give_up(cmd);
        }
    }

    /// The final answer at once: declined where a repeat is harmless, else terminated.
    fn give_up(&mut self, cmd: CommandIndex) {
        let Some(c) = self.held(cmd) else { return };
        let (v, late) = (&self.duty.verbs[c.verb], self.now >= c.due);
        let ran = c.relays.iter().any(Relay::may_have_run);
        let drops_any = v.effect == Effect::Keyed && v.group == DeduplicationScope::All;
        let harmless = !ran || v.effect == Effect::Safe || drops_any;
        let rest = if late { v.limit } else { v.goal / 5 };
        let not_before = self.duty.return_after.map(|most| most.min(rest));
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
        (c.over, c.waits) = (true, false);
        self.out.extend(answer);
        if self.duty.may_recall && !c.streams {
            for (relay, _) in c
                .relays
                .iter()
                .enumerate()
                .filter(|(_, r)| r.outcome.is_none())
            {
                self.out.push(Action::CancelRelay {
                    command: cmd,
                    relay,
                });
            }
        }
        self.queue.retain(|q| *q != cmd);
        self.tidy(cmd);
    }
}

impl VerbDuty {
    /// How long a repeat may still be sent; a tenth is left for the way.
    fn window_left(&self, first: &Relay, now: Duration) -> Duration {
        self.window
            .mul_f64(0.9)
            .saturating_sub(now.saturating_sub(first.sent))
    }

    /// Like with like: a time against its verb's usual one, and for the place in line that it had.
    fn pace(&self, r: &Relay, spent: Duration) -> f64 {
        spent.as_secs_f64() / self.usual.mean.max(1e-6) / (1.0 + 0.5 * r.ahead)
    }

    /// When a relay takes unusually long.
    fn slow(&self) -> Duration {
        Duration::from_secs_f64((self.usual.mean + 3.0 * self.usual.spread).clamp(0.0, 4000.0))
    }
}
