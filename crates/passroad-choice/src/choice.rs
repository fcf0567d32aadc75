//! All decisions of passroad. `Balancer::decide(now, event)` is the one entry: it takes what happened and
//! returns what is to be done, in order. Its types stand in `lib.rs`; ids are indices given out in `door.rs`.
//! It shares nothing, keeps no clock and does no input or output.
//!
//! Ordinary path (after He Xiaofeng's lesson 11): each ready endpoint is scored out of ten by a weighted sum of
//! sub-scores (reported load, own mean latency, own tail latency); its weight is base weight x score / 10; a
//! weighted random draw picks the endpoint. Six mechanisms stand beside it:
//!   health   successes among the last outcomes scale the weight; sparing trials bring an endpoint back
//!   limit    a cap on what an endpoint holds, plus one on success, cut by a share
//!   relays   time-outs, further relays and second copies, under a budget
//!   waiting  a short queue, best utility first; what can't make it is declined at once
//!   warm-up  a cold endpoint gets no more than its ramp's share of what warm ones get
//!   list     subscribe or ask with jitter and back-off; what drains or is gone gets nothing new

use crate::*;
use std::time::Duration;

#[cfg(test)]
mod tests;

const LOAD_SHARE: f64 = 0.5; // of the score; own mean and tail latency share the rest
const SCORE_FLOOR: f64 = 0.02; // near-zero scores must recover, so none is zero
const OUTCOMES: u32 = 16; // the last few outcomes that judge an endpoint
const FIRST_LIMIT: f64 = 2.0; // one in work and one waiting, at the usual size
const CUT: f64 = 0.7; // what a limit keeps when it is cut
const CALM: f64 = 2.0; // seconds over which own figures are smoothed
const ALARM_LIST: u64 = 0;
const ALARM_QUEUE: u64 = 1;
const ALARM_COPY: u64 = 2; // in the low bits; the command stands above them
const ALARM_GOAL: u64 = 3;

/// What the standing orders come to: the figures that decisions use.
struct DutySheet {
    verbs: Vec<VerbDuty>,
    portions: Vec<f64>,
    surplus_utility: f64,
    own_zone: usize,
    most_relays: usize,
    return_after: Option<Duration>,
    may_recall: bool,
    second_copies: bool,
    listen: bool,
    list_every: f64,
    heartbeats: usize, // probes that one command is worth
    fresh: f64,        // seconds for which a report needs no heartbeat
    trust: f64,        // seconds in which trust in a report falls to a third
    hold: f64,         // the longest wait for heartbeats, in seconds
    patience: f64,     // the wait that a queue may come to, in seconds
    tick: f64,
    live_weights: bool,
    zone_malus: f64,
    cold_from: f64,
    warm_within: f64,
}

struct VerbDuty {
    effect: Effect,
    group: Group,
    window: f64,
    goal: f64,
    limit: f64,
    stretch: f64,
    utility: f64,
    late_utility: f64,
    own: Pace,       // what an answer of this verb usually takes
    early_ends: f64, // own prompt declines lately, and own endings past the goal: what a repeat may still be worth
    late_ends: f64,
}

/// A mean and a tail over the last few seconds; few samples count little.
#[derive(Clone, Copy, Default)]
struct Pace {
    mean: f64,
    spread: f64,
    count: f64,
    at: f64,
}

impl Pace {
    fn note(&mut self, now: f64, value: f64, calm: f64) {
        self.count *= (-(now - self.at).max(0.0) / calm).exp();
        self.at = now;
        self.count += 1.0;
        let gain = (1.0 / self.count).max(0.02);
        let off = value - self.mean;
        self.mean += gain * off;
        self.spread += gain * (off.abs() - self.spread);
    }

    /// Mean, and a tail of two spreads above it, both drawn toward `usual` while samples are few.
    fn read(&self, now: f64, calm: f64, usual: (f64, f64)) -> (f64, f64) {
        let n = self.count * (-(now - self.at).max(0.0) / calm).exp();
        let pull = |own: f64, all: f64, k: f64| (own * n + all * k) / (n + k);
        let mean = pull(self.mean, usual.0, 2.0);
        (mean, mean + 2.0 * pull(self.spread, usual.1, 8.0))
    }
}

/// For one relay.
struct Relay {
    endpoint: EndpointIx,
    sent: f64,
    ahead: f64, // what the endpoint was thought to hold
    outcome: Option<Outcome>,
}

/// For one command.
struct Command {
    verb: usize,
    came: f64,
    due: f64,   // when its response goal passes
    leave: f64, // when the client gives up
    value: f64,
    hold_until: f64,
    waits: bool,
    over: bool,
    streams: bool,
    again: bool,
    relays: Vec<Relay>,
}

/// For one endpoint.
struct Endpoint {
    zone: usize,
    cell: usize,
    rating: f64,
    size: f64, // rating against the mean of the listed ones
    listed: bool,
    up_since: Option<f64>, // cold from here, if it ended lately
    heard: f64,
    holds: f64,    // last reported, and own sends and answers since
    errs: f64,     // share of errors that it reports
    out: Vec<f64>, // when own relays that are still out were sent
    credit: f64,   // how far its reports fit what it does
    pace: Pace,
    good: u32, // the last outcomes, one bit each
    seen: u32,
    limit: f64,
    last_cut: f64,
    probing: Option<f64>,
    misses: u32, // times in a row that it could not be reached
    try_at: f64, // no trial before
    cold_bag: f64,
    cold_at: f64,
}

/// One sidecar's decisions; state for the life of the instance.
pub struct Balancer {
    duty: DutySheet,
    dice: u64,
    endpoints: Vec<Option<Endpoint>>,
    commands: Vec<Option<Command>>,
    queue: Vec<CmdIx>,
    mix: Vec<f64>, // arrivals by company lately
    mix_at: f64,
    usual: Pace, // pace over all endpoints
    rtt: f64,
    sends: f64, // sends to warm endpoints lately
    sends_at: f64,
    faith: f64, // credit of reports as a whole
    spare: f64, // further relays allowed now
    listening: bool,
    list_fails: u32,
    shedding: bool,
    shed_at: f64,
    ask_at: f64,
    now: f64,
    out: Vec<Action>,
}

fn span(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 4000.0))
}

impl Balancer {
    pub fn new(orders: StandingOrders) -> Self {
        let goals = orders.verbs.iter().map(|v| v.goal.as_secs_f64());
        let goal = goals.fold(f64::INFINITY, f64::min).clamp(1e-3, 60.0);
        let tick = orders.tick.as_secs_f64();
        let verbs = orders.verbs.iter().map(|v| VerbDuty {
            effect: v.effect,
            group: v.group,
            window: v.window.as_secs_f64(),
            goal: v.goal.as_secs_f64(),
            limit: v.limit.as_secs_f64(),
            stretch: v.goal_stretch,
            utility: v.utility,
            late_utility: v.late_utility,
            own: Pace { mean: v.goal.as_secs_f64() / 4.0, ..Pace::default() },
            early_ends: 1.0,
            late_ends: 0.0,
        });
        // Heartbeats are worth about a hundredth of the service; no probes, no heartbeats.
        let beats =
            if orders.probes { (0.007 / orders.probe_price.max(1e-4)).clamp(1.0, 4.0) as usize } else { 0 };
        let duty = DutySheet {
            verbs: verbs.collect(),
            portions: orders.companies.iter().map(|c| c.portion).collect(),
            surplus_utility: orders.surplus_utility,
            own_zone: orders.zone,
            most_relays: orders.max_relays.max(1),
            return_after: orders.max_retry_after,
            may_recall: orders.may_cancel,
            second_copies: orders.second_copies,
            listen: orders.list_on_request,
            list_every: orders.ask_every.as_secs_f64(),
            heartbeats: if orders.reports == ReportsHow::Silent { 0 } else { beats },
            fresh: goal / 30.0,
            trust: goal / 4.0,
            hold: (goal / 40.0).max(2.0 * tick),
            patience: goal / 4.0,
            tick,
            live_weights: orders.weights_live,
            zone_malus: orders.cross_zone_price,
            cold_from: orders.cold_from.clamp(0.01, 1.0),
            warm_within: orders.warm_within.as_secs_f64().max(1e-3),
        };
        Balancer {
            mix: vec![0.0; duty.portions.len()],
            duty,
            dice: orders.seed | 1,
            endpoints: Vec::new(),
            commands: Vec::new(),
            queue: Vec::new(),
            mix_at: 0.0,
            usual: Pace { mean: 1.0, ..Pace::default() },
            rtt: tick,
            sends: 0.0,
            sends_at: 0.0,
            faith: 1.0,
            spare: 2.0,
            listening: false,
            list_fails: 0,
            shedding: false,
            shed_at: 0.0,
            ask_at: 0.0,
            now: 0.0,
            out: Vec::new(),
        }
    }

    /// Takes one event and returns what is to be done about it.
    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now.as_secs_f64();
        match event {
            Event::Listed { kind, entries } => self.read_list(kind, entries),
            Event::Arrived(arrival) => self.take(arrival),
            Event::StreamStarted { cmd, .. } => {
                if let Some(c) = self.commands.get_mut(cmd).and_then(Option::as_mut) {
                    c.streams = true;
                }
            }
            Event::Finished { cmd, relay, outcome, spent, concluded, report } => {
                self.finish(cmd, relay, outcome, spent.as_secs_f64(), concluded, report)
            }
            Event::Lapsed { cmd } => self.conclude(cmd, None),
            Event::Checked { endpoint, outcome, spent, report } => {
                self.checked(endpoint, outcome, spent.as_secs_f64(), report)
            }
            Event::PeerSaid { .. } => {}
            Event::Due { token } => self.due(token),
        }
        self.pump();
        std::mem::take(&mut self.out)
    }

    /// Multiply-with-carry; a number from 0 up to 1.
    fn chance(&mut self) -> f64 {
        self.dice = (self.dice & 0xffff_ffff) * 4_294_957_665 + (self.dice >> 32);
        (self.dice & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    fn alarm(&mut self, after: f64, token: u64) {
        self.out.push(Action::Alarm { after: span(after.max(self.duty.tick)), token });
    }

    fn log(&mut self, line: String) {
        self.out.push(Action::Log(line));
    }

    // ---- list ----

    fn read_list(&mut self, kind: ListKind, entries: Vec<Listing>) {
        if kind == ListKind::Refused {
            // Guards against a crowd at a list service that is down: later each time, never in step.
            self.listening = false;
            self.list_fails += 1;
            let step = (self.duty.list_every / 16.0) * f64::from(1 << self.list_fails.min(4));
            let after = step * (0.5 + self.chance());
            self.log(format!("list refused {} times, again in {after:.2}s", self.list_fails));
            return self.alarm(after, ALARM_LIST);
        }
        if kind == ListKind::Remembered && self.duty.listen {
            let after = self.chance() * self.duty.list_every / 20.0;
            self.alarm(after, ALARM_LIST);
        }
        if kind != ListKind::Remembered && self.list_fails > 0 {
            self.list_fails = 0;
            self.log("list answers again".into());
        }
        let whole = kind != ListKind::Changes;
        if whole {
            self.endpoints.iter_mut().flatten().for_each(|e| e.listed = false);
        }
        for entry in &entries {
            if entry.endpoint >= self.endpoints.len() {
                self.endpoints.resize_with(entry.endpoint + 1, || None);
            }
            let size = if self.duty.live_weights { 1.0 } else { entry.rating.clamp(0.01, 1e6) };
            let started = entry.started.as_secs_f64();
            let young = started > 0.0 && self.now - started < self.duty.warm_within;
            let bag = self.chance();
            let e = self.endpoints[entry.endpoint].get_or_insert_with(|| Endpoint {
                zone: entry.zone,
                cell: entry.cell,
                rating: size,
                size: 1.0,
                listed: false,
                up_since: None,
                heard: f64::NEG_INFINITY,
                holds: 0.0,
                errs: 0.0,
                out: Vec::new(),
                credit: 1.0,
                pace: Pace::default(),
                good: !0,
                seen: 0,
                limit: FIRST_LIMIT,
                last_cut: 0.0,
                probing: None,
                misses: 0,
                try_at: 0.0,
                cold_bag: bag,
                cold_at: self.now,
            });
            e.rating = size;
            e.listed = entry.mode == Mode::Running;
            if young && e.up_since.is_none_or(|at| started > at + 1e-6) {
                // Another process now: nothing that is known of the old one holds.
                e.up_since = Some(started);
                e.cold_bag = bag;
                e.cold_at = self.now;
                e.pace = Pace::default();
                (e.good, e.seen, e.misses, e.try_at, e.limit) = (!0, 0, 0, 0.0, FIRST_LIMIT);
            }
        }
        let ratings = self.endpoints.iter().flatten().filter(|e| e.listed).map(|e| e.rating);
        let (sum, count) = ratings.fold((0.0, 0.0_f64), |(s, n), r| (s + r, n + 1.0));
        self.endpoints
            .iter_mut()
            .flatten()
            .for_each(|e| e.size = e.rating * count.max(1.0) / f64::max(sum, 1e-9));
    }

    // ---- what endpoints show ----

    fn hear(&mut self, at: EndpointIx, report: Option<Report>) {
        let Some(e) = self.endpoints.get_mut(at).and_then(Option::as_mut) else { return };
        let Some(report) = report else { return };
        let margin = 2.0 * (self.duty.fresh + self.rtt + self.duty.tick);
        let mut step = 0.0;
        if let Some(holds) = report.outstanding {
            let sure = e.out.iter().filter(|sent| self.now - **sent > margin).count() as f64;
            if sure > 0.0 {
                step = if holds < 0.5 * sure { -0.25 } else { 0.02 };
            }
        }
        if let Some(holds) = report.outstanding.or(report.backlog) {
            e.holds = holds.max(0.0);
            e.heard = self.now;
        } else if let Some(util) = report.utilization {
            e.holds = util.max(0.0) * 2.0;
            e.heard = self.now;
        }
        if let (Some(errors), Some(rate)) = (report.errors_per_s, report.throughput) {
            e.errs = if errors > 0.0 { (errors / (errors + rate).max(1e-9)).clamp(0.0, 1.0) } else { 0.0 };
        }
        self.credit(at, step);
    }

    /// Guards against stuck or lying reports, which draw all to the endpoint that seems empty: what it says is
    /// held against own relays known to be there, against refusals as full, and against the times it takes.
    fn credit(&mut self, at: EndpointIx, step: f64) {
        let Some(e) = self.endpoints.get_mut(at).and_then(Option::as_mut) else { return };
        let before = e.credit;
        e.credit = (e.credit + step).clamp(0.0, 1.0);
        self.faith = (self.faith + 0.2 * step).clamp(0.0, 1.0);
        let (after, holds) = (e.credit, e.holds);
        if (before < 0.5) != (after < 0.5) {
            let word = if after < 0.5 { "do not fit" } else { "fit again" };
            self.log(format!(
                "endpoint {at}: its reports {word} what it does (says {holds:.1}, credit {after:.2})"
            ));
        }
    }

    fn checked(&mut self, at: EndpointIx, outcome: Outcome, spent: f64, report: Option<Report>) {
        let now = self.now;
        let Some(e) = self.endpoints.get_mut(at).and_then(Option::as_mut) else { return };
        e.probing = None;
        if outcome == Outcome::Answered {
            self.rtt += 0.1 * (spent - self.rtt);
            self.reached(at);
            self.hear(at, report);
        } else if outcome != Outcome::Full {
            e.misses += 1;
            let wait = self.duty.trust * f64::from(1 << e.misses.min(5));
            e.try_at = now + wait;
        }
    }

    /// Guards against pushing over a process that restarted before the list says so: if it could not be
    /// reached and now can, it counts as cold from here.
    fn reached(&mut self, at: EndpointIx) {
        let now = self.now;
        let bag = self.chance();
        let Some(e) = self.endpoints.get_mut(at).and_then(Option::as_mut) else { return };
        if e.misses >= 3 && e.up_since.is_none_or(|up| now - up > self.duty.warm_within) {
            e.up_since = Some(now);
            (e.cold_bag, e.cold_at) = (bag, now);
            (e.good, e.seen) = (!0, 0);
            let misses = e.misses;
            self.log(format!("endpoint {at} back after {misses} misses, taken as cold"));
        }
        if let Some(e) = self.endpoints.get_mut(at).and_then(Option::as_mut) {
            e.misses = 0;
            e.try_at = 0.0;
        }
    }

    fn judge(&mut self, at: EndpointIx, good: bool) {
        let Some(e) = self.endpoints.get_mut(at).and_then(Option::as_mut) else { return };
        let before = e.health();
        e.good = e.good << 1 | u32::from(good);
        e.seen = (e.seen + 1).min(OUTCOMES);
        let after = e.health();
        if (before < 0.5) != (after < 0.5) {
            let word = if after < 0.5 { "failing" } else { "well again" };
            self.log(format!("endpoint {at} {word}: {:.0}% of its last outcomes good", after * 100.0));
        }
    }

    // ---- ordinary path: score, weight, draw ----

    /// Load in commands held; old and discredited reports lose trust and drift to the mean of the trusted, and
    /// what is out from here counts in any case.
    fn load(&self, e: &Endpoint, usual: f64) -> f64 {
        let age = if e.heard.is_finite() { self.now - e.heard } else { f64::INFINITY };
        let trust = e.credit * self.faith * (-age / self.duty.trust).exp();
        (trust * e.holds.max(0.0) + (1.0 - trust) * usual * e.size).max(e.out.len() as f64)
    }

    fn ramp(&self, e: &Endpoint) -> f64 {
        let Some(up) = e.up_since else { return 1.0 };
        let age = ((self.now - up) / self.duty.warm_within).clamp(0.0, 1.0);
        self.duty.cold_from + (1.0 - self.duty.cold_from) * age
    }

    /// Mean of the trusted loads, in commands a usual size; nothing where no report can be trusted.
    fn usual_load(&self) -> f64 {
        let (mut sum, mut of) = (0.0, 0.0);
        for e in self.endpoints.iter().flatten().filter(|e| e.listed && e.heard.is_finite()) {
            let fresh = (-(self.now - e.heard) / (4.0 * self.duty.trust)).exp();
            sum += fresh * e.credit * self.faith * e.holds.max(e.out.len() as f64);
            of += fresh * e.size;
        }
        if of > 0.0 { sum / of } else { 1.0 }
    }

    /// Weights of all endpoints for one command; zero where none may go.
    fn weigh(&self, value: f64, capped: bool, may: &dyn Fn(&Endpoint) -> bool) -> Vec<f64> {
        let usual = self.usual_load();
        let open = self.endpoints.iter().map(|slot| match slot {
            Some(e) if e.listed && may(e) && self.now >= e.try_at => {
                self.load(e, usual) / e.size / self.ramp(e)
            }
            _ => f64::INFINITY,
        });
        let open: Vec<f64> = open.collect();
        let least = open.iter().copied().fold(f64::INFINITY, f64::min);
        let all = (self.usual.mean, self.usual.spread);
        let tail = all.0 + 2.0 * all.1;
        let mut weights = vec![0.0; open.len()];
        for (at, slot) in self.endpoints.iter().enumerate() {
            let Some(e) = slot else { continue };
            if !open[at].is_finite() || capped && open[at] * self.ramp(e) >= e.limit * (0.6 + 0.4 * value) {
                continue;
            }
            let (own_mean, own_tail) = e.pace.read(self.now, 2.0 * CALM, all);
            let load = 10.0 - 20.0 * (open[at] - least);
            let mean = 10.0 - 9.0 * (own_mean / all.0.max(1e-6) - 1.0).max(0.0);
            let tail = 10.0 - 9.0 * (own_tail / tail.max(1e-6) - 1.0).max(0.0);
            let score = LOAD_SHARE * load + (1.0 - LOAD_SHARE) * (0.5 * mean + 0.5 * tail);
            let score = score.clamp(SCORE_FLOOR, 10.0);
            let quiet = e.probing.is_some_and(|at| self.now - at > 4.0 * self.rtt + 2.0 * self.duty.tick);
            let near = if e.zone == self.duty.own_zone { 1.0 } else { 1.0 - self.duty.zone_malus };
            let health = e.health() * (1.0 - e.errs);
            let doubt = if quiet { 0.02 } else { 1.0 };
            weights[at] = e.size * score / 10.0 * health.max(0.1).powi(3) * near * doubt * self.ramp(e);
        }
        weights
    }

    fn draw(&mut self, weights: &[f64]) -> Option<EndpointIx> {
        let mut left = weights.iter().sum::<f64>() * self.chance();
        let mut last = None;
        for (at, &w) in weights.iter().enumerate().filter(|(_, w)| **w > 0.0) {
            last = Some(at);
            left -= w;
            if left < 0.0 {
                break;
            }
        }
        last
    }

    // ---- warm-up ----

    /// Own sends a second to warm endpoints, a unit of size: what a cold one's allowance is measured by.
    fn warm_rate(&self) -> f64 {
        let size: f64 =
            self.endpoints.iter().flatten().filter(|e| e.listed).map(|e| e.size * self.ramp(e)).sum();
        self.send_rate() / size.max(1e-9)
    }

    fn send_rate(&self) -> f64 {
        self.sends * (-(self.now - self.sends_at) / CALM).exp() / CALM
    }

    fn fill_cold_bags(&mut self) {
        let rate = self.warm_rate();
        for at in 0..self.endpoints.len() {
            let Some(e) = &self.endpoints[at] else { continue };
            let Some(up) = e.up_since else { continue };
            let gain = rate * e.size * self.ramp(e) * (self.now - e.cold_at);
            let warm = self.now - up >= self.duty.warm_within;
            let now = self.now;
            if let Some(e) = self.endpoints[at].as_mut() {
                e.cold_bag = (e.cold_bag + gain).min(1.0);
                e.cold_at = now;
                if warm {
                    e.up_since = None;
                }
            }
        }
    }

    // ---- commands ----

    fn take(&mut self, a: Arrival) {
        let Some(v) = self.duty.verbs.get(a.verb) else {
            self.out.push(Action::Terminate { cmd: a.cmd });
            return self.out.push(Action::Forget { cmd: a.cmd });
        };
        let budget = a.budget.as_secs_f64();
        let goal = (v.goal + v.stretch * a.work.unwrap_or_default().as_secs_f64()).min(v.limit);
        // A repeat whose time is cut short has spent the rest of its limit already.
        let gone = if a.again && budget < v.limit / 3.0 { v.limit - budget } else { 0.0 };
        let mut value = v.utility * if a.again { v.early_ends / (v.early_ends + v.late_ends) } else { 1.0 };
        if let Some(company) = a.company.filter(|c| *c < self.mix.len()) {
            let fade = (-(self.now - self.mix_at) / (8.0 * CALM)).exp();
            self.mix.iter_mut().for_each(|m| *m *= fade);
            self.mix_at = self.now;
            self.mix[company] += 1.0;
            let share = self.mix[company] / self.mix.iter().sum::<f64>();
            // Past its share a company's commands are worth little: they go last when there is too much.
            if self.shedding && share > 1.3 * self.duty.portions[company] {
                value *= self.duty.surplus_utility.max(0.3);
            }
        }
        if a.cmd >= self.commands.len() {
            self.commands.resize_with(a.cmd + 1, || None);
        }
        self.spare = (self.spare + 0.1).min(5.0);
        let hold = self.heartbeat();
        self.commands[a.cmd] = Some(Command {
            verb: a.verb,
            came: self.now,
            due: self.now + goal - gone,
            leave: self.now + budget,
            value,
            hold_until: self.now + hold,
            waits: true,
            over: false,
            streams: false,
            again: a.again,
            relays: Vec::new(),
        });
        self.enqueue(a.cmd);
        if hold > 0.0 {
            self.alarm(hold, ALARM_QUEUE);
        }
    }

    fn enqueue(&mut self, cmd: CmdIx) {
        if let Some(c) = self.commands[cmd].as_mut() {
            c.waits = true;
            self.queue.push(cmd);
            let last = self.last_call(cmd) - self.now;
            self.alarm(last, ALARM_QUEUE);
        }
    }

    /// When a waiting command is given up: what is left of its goal no longer fits a usual answer.
    fn last_call(&self, cmd: CmdIx) -> f64 {
        let Some(c) = &self.commands[cmd] else { return self.now };
        let v = &self.duty.verbs[c.verb];
        let need = v.own.mean.min(0.6 * v.goal);
        let end = if v.late_utility > 0.0 { c.leave } else { c.due.min(c.leave) };
        (end - need).min(c.came + 0.5 * v.goal)
    }

    /// Asks a few likely endpoints how they are before a command goes out. Guards against choosing by reports
    /// that are older than a service time: each sidecar sees too little traffic to hear of all by answers.
    fn heartbeat(&mut self) -> f64 {
        let fresh = self.now - self.duty.fresh;
        let mut weights = self.weigh(1.0, false, &|_| true);
        for (at, w) in weights.iter_mut().enumerate() {
            if self.endpoints[at].as_ref().is_some_and(|e| e.probing.is_some() || e.heard >= fresh) {
                *w = 0.0;
            } else if *w > 0.0 {
                *w = w.max(0.05);
            }
        }
        let mut asked = 0;
        while asked < self.duty.heartbeats {
            let Some(at) = self.draw(&weights) else { break };
            weights[at] = 0.0;
            self.probe(at);
            asked += 1;
        }
        // Sparing trials: what can't be reached is asked now and then, later each time.
        if self.duty.heartbeats > 0 {
            for at in 0..self.endpoints.len() {
                let lost =
                    |e: &Endpoint| e.listed && e.misses > 0 && e.probing.is_none() && self.now >= e.try_at;
                if self.endpoints[at].as_ref().is_some_and(lost) {
                    self.probe(at);
                }
            }
        }
        if asked > 0 { self.duty.hold.min(3.0 * self.rtt + 2.0 * self.duty.tick) } else { 0.0 }
    }

    fn probe(&mut self, at: EndpointIx) {
        let now = self.now;
        if let Some(e) = self.endpoints[at].as_mut() {
            e.probing = Some(now);
            self.out.push(Action::Probe { endpoint: at });
        }
    }

    /// Sends what can go, best first; declines what can't make it any more.
    fn pump(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        self.fill_cold_bags();
        let waiting = std::mem::take(&mut self.queue);
        let mut order: Vec<(f64, f64, CmdIx)> = Vec::with_capacity(waiting.len());
        for cmd in waiting {
            if let Some(c) = self.commands[cmd].as_ref().filter(|c| c.waits && !c.over) {
                order.push((-c.value, c.came, cmd));
            }
        }
        order.sort_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        let hold = self.duty.hold;
        let asked = |e: &Endpoint| e.probing.is_some_and(|at| self.now - at < hold);
        let pending = self.endpoints.iter().flatten().any(asked);
        let best = self.duty.verbs.iter().map(|v| v.utility).fold(1e-9, f64::max);
        let room = (1.0 + self.send_rate() * self.duty.patience).max(2.0);
        let mut line = 0; // those that nothing took, the rest only await heartbeats
        let mut shut = false; // nothing took a command that is worth more
        for (_, _, cmd) in order {
            let Some(c) = &self.commands[cmd] else { continue };
            if c.hold_until > self.now + 1e-9 && pending {
                self.queue.push(cmd);
                continue;
            }
            let (value, free) = ((c.value / best).clamp(0.0, 1.0), c.relays.is_empty());
            let choice = if shut && free { None } else { self.pick(cmd, value, false) };
            if let Some(at) = choice {
                self.send(cmd, at);
                continue;
            }
            shut |= free;
            // Guards against sitting on what will be declined anyway: past the room there is, the answer is now.
            if self.now + 1e-6 >= self.last_call(cmd) || f64::from(line) >= room {
                self.give_up(cmd);
            } else {
                line += 1;
                self.queue.push(cmd);
            }
        }
        // Guards against a lock-up: where all seem full, old reports are asked for anew while commands wait.
        if shut && line > 0 && !pending && self.now >= self.ask_at {
            self.ask_at = self.now + self.duty.trust / 2.0;
            self.heartbeat();
            self.alarm(self.duty.trust / 2.0, ALARM_QUEUE);
        }
        if f64::from(line) + 1.0 > room {
            if !self.shedding {
                self.log(format!("too much to carry: {line} commands wait, room for {room:.0}"));
            }
            self.shedding = true;
            self.shed_at = self.now;
        } else if self.shedding && self.now - self.shed_at > 2.0 * CALM {
            self.shedding = false;
            self.log(format!("the queue is short again: {line} commands wait"));
        }
    }

    /// The design's draw among the endpoints where this command may go.
    fn pick(&mut self, cmd: CmdIx, value: f64, copy: bool) -> Option<EndpointIx> {
        let c = self.commands[cmd].as_ref()?;
        let v = &self.duty.verbs[c.verb];
        let used: Vec<EndpointIx> = c.relays.iter().map(|r| r.endpoint).collect();
        // Guards against an effect twice: what may have run goes on only inside the group that drops repeats.
        let maybe = c.relays.iter().find(|r| !r.outcome.is_some_and(Outcome::never_ran));
        let bound = match (v.effect, maybe) {
            (Effect::Pure, _) | (_, None) => None,
            (Effect::Effectful, Some(_)) => return None,
            (Effect::Receipted, Some(first)) => {
                if self.now - first.sent > 0.9 * v.window - self.duty.tick {
                    return None;
                }
                let home = self.endpoints[first.endpoint].as_ref()?;
                match v.group {
                    Group::All => None,
                    Group::Zone => Some((home.zone, None)),
                    Group::Cell => Some((home.zone, Some(home.cell))),
                }
            }
        };
        let may = |e: &Endpoint| {
            (e.up_since.is_none() || e.cold_bag >= 1.0)
                && bound.is_none_or(|(zone, cell)| e.zone == zone && cell.is_none_or(|cell| e.cell == cell))
        };
        let mut weights = self.weigh(value, true, &may);
        for at in used {
            // Another endpoint than before, where there is one.
            weights[at] *= if copy { 0.0 } else { 0.01 };
        }
        self.draw(&weights)
    }

    fn send(&mut self, cmd: CmdIx, at: EndpointIx) {
        let now = self.now;
        let usual = self.usual_load();
        let Some(e) = &self.endpoints[at] else { return };
        let ahead = self.load(e, usual) / e.size;
        let cold = e.up_since.is_some();
        let Some(c) = self.commands[cmd].as_mut() else { return };
        let within = (c.leave - now).max(self.duty.tick);
        let until_due = c.due - now;
        let first = c.relays.is_empty();
        c.waits = false;
        c.relays.push(Relay { endpoint: at, sent: now, ahead, outcome: None });
        self.out.push(Action::Relay { cmd, endpoint: at, within: span(within) });
        if let Some(e) = self.endpoints[at].as_mut() {
            e.out.push(now);
            e.holds = e.holds.max(0.0) + 1.0;
            if cold {
                e.cold_bag -= 1.0;
            }
        }
        if !cold {
            self.sends = self.sends * (-(now - self.sends_at) / CALM).exp() + 1.0;
            self.sends_at = now;
        }
        let v = &self.duty.verbs[self.commands[cmd].as_ref().map_or(0, |c| c.verb)];
        if v.late_utility <= 0.0 && first {
            self.out.push(Action::Alarm { after: span(until_due), token: ALARM_GOAL | (cmd as u64) << 2 });
        }
        if first && self.duty.second_copies && v.effect != Effect::Effectful {
            let after = v.own.mean + 3.0 * v.own.spread;
            if after < 0.8 * v.goal {
                self.alarm(after, ALARM_COPY | (cmd as u64) << 2);
            }
        }
    }

    /// A second copy, where one relay takes unusually long. Guards against an endpoint that stands still; the
    /// budget of further relays keeps it from feeding an overload.
    fn copy(&mut self, cmd: CmdIx) {
        let Some(c) = self.commands.get(cmd).and_then(Option::as_ref) else { return };
        let v = &self.duty.verbs[c.verb];
        let slow = c.relays.len() == 1
            && c.relays[0].outcome.is_none()
            && self.now - c.relays[0].sent >= v.own.mean + 2.0 * v.own.spread - 1e-6;
        let time = c.due - self.now > v.own.mean;
        if c.over || c.streams || c.waits || !slow || !time || self.spare < 1.0 || self.shedding {
            return;
        }
        if self.duty.most_relays < 2 {
            return;
        }
        if let Some(at) = self.pick(cmd, 0.0, true) {
            self.spare -= 1.0;
            self.send(cmd, at);
        }
    }

    /// Past its goal an answer is worth nothing. Guards against work that keeps others waiting: it is called off
    /// where something waits, here or at its endpoint; else it may end by itself and is not wasted.
    fn past_goal(&mut self, cmd: CmdIx) {
        let Some(c) = self.commands.get(cmd).and_then(Option::as_ref) else { return };
        if c.over || c.streams || c.waits || self.now < c.due - 1e-6 {
            return;
        }
        let (usual, verb) = (self.usual_load(), c.verb);
        let out = c.relays.iter().filter(|r| r.outcome.is_none()).map(|r| (r.endpoint, r.sent, r.ahead));
        let out: Vec<_> = out.collect();
        let held = |at: EndpointIx| self.endpoints[at].as_ref().map_or(0.0, |e| self.load(e, usual) / e.size);
        if self.queue.is_empty() && !self.shedding && out.iter().all(|o| held(o.0) <= 1.2) {
            return;
        }
        for (at, sent, ahead) in out {
            self.slow_answer(at, verb, self.now - sent, ahead);
            self.cut(at);
        }
        self.give_up(cmd);
    }

    fn finish(
        &mut self,
        cmd: CmdIx,
        n: usize,
        outcome: Outcome,
        spent: f64,
        concluded: bool,
        report: Option<Report>,
    ) {
        let now = self.now;
        let Some(c) = self.commands.get_mut(cmd).and_then(Option::as_mut) else { return };
        let verb = c.verb;
        let Some(r) = c.relays.get_mut(n).filter(|r| r.outcome.is_none()) else { return };
        r.outcome = Some(outcome);
        let (at, ahead, sent) = (r.endpoint, r.ahead, r.sent);
        if let Some(e) = self.endpoints[at].as_mut() {
            if let Some(gone) = e.out.iter().position(|t| *t == sent) {
                e.out.swap_remove(gone);
            }
            e.holds -= 1.0;
        }
        self.hear(at, report);
        match outcome {
            Outcome::Answered => {
                let v = &mut self.duty.verbs[verb];
                let usual = v.own.mean;
                v.own.note(now, spent, 10.0 * CALM);
                // Like with like: by its verb's usual time, and for the place in line that it had.
                let pace = spent / usual.max(1e-6) / (1.0 + 0.5 * ahead);
                self.usual.note(now, pace, 10.0 * CALM);
                let (early, late) = (spent < 0.5 * v.goal, spent > 0.85 * v.goal);
                self.credit(at, if pace > 3.0 * self.usual.mean { -0.1 } else { 0.0 });
                self.reached(at);
                self.judge(at, true);
                if let Some(e) = self.endpoints[at].as_mut() {
                    e.pace.note(now, pace, 2.0 * CALM);
                    if early && ahead + 1.0 >= e.limit {
                        e.limit = (e.limit + 1.0 / e.limit).min(64.0);
                    }
                }
                if late {
                    self.cut(at);
                }
            }
            Outcome::Moot | Outcome::Recalled => {}
            Outcome::Full => {
                self.cut(at);
                self.credit(at, if ahead < FIRST_LIMIT { -0.25 } else { 0.0 });
            }
            Outcome::TimedOut => {
                self.slow_answer(at, verb, spent, ahead);
                self.cut(at);
            }
            Outcome::Error => self.judge(at, false),
            Outcome::NoConnection | Outcome::Broken => {
                self.judge(at, false);
                let wait = self.duty.trust;
                if let Some(e) = self.endpoints[at].as_mut() {
                    e.misses += 1;
                    e.try_at = now + wait * f64::from(1 << e.misses.min(5));
                }
            }
        }
        if concluded {
            return self.conclude(cmd, None);
        }
        self.go_on(cmd, outcome);
    }

    /// Failures never count as fast answers: a time-out is an answer at least as slow as it lasted.
    fn slow_answer(&mut self, at: EndpointIx, verb: usize, spent: f64, ahead: f64) {
        let usual = self.duty.verbs[verb].own.mean.max(1e-6);
        let pace = (spent / usual / (1.0 + 0.5 * ahead)).max(1.0);
        let now = self.now;
        if let Some(e) = self.endpoints[at].as_mut() {
            e.pace.note(now, pace, 2.0 * CALM);
        }
        self.credit(at, if pace > 2.0 * self.usual.mean { -0.1 } else { 0.0 });
    }

    fn cut(&mut self, at: EndpointIx) {
        let now = self.now;
        let calm = self.duty.trust;
        if let Some(e) = self.endpoints[at].as_mut()
            && now - e.last_cut > calm
        {
            e.limit = (e.limit * CUT).max(1.0);
            e.last_cut = now;
        }
    }

    /// What becomes of a command of which a relay ended without an answer.
    fn go_on(&mut self, cmd: CmdIx, outcome: Outcome) {
        let Some(c) = &self.commands[cmd] else { return };
        if c.over {
            return self.tidy(cmd);
        }
        if c.relays.iter().any(|r| r.outcome.is_none()) {
            return;
        }
        let v = &self.duty.verbs[c.verb];
        let ran = c.relays.iter().any(|r| !r.outcome.is_some_and(Outcome::never_ran));
        let time = self.now < self.last_call(cmd);
        let relays = c.relays.len() < self.duty.most_relays;
        // Proven not to have run, and refused by one endpoint only: free, but not without end.
        let price = if outcome.never_ran() && c.relays.len() < 2 { 0.2 } else { 1.0 };
        let again = !ran || v.effect != Effect::Effectful;
        if time && relays && again && self.spare >= price {
            self.spare -= price;
            self.enqueue(cmd);
        } else {
            self.give_up(cmd);
        }
    }

    /// The final answer at once: declined where a repeat is harmless, else terminated.
    fn give_up(&mut self, cmd: CmdIx) {
        let now = self.now;
        let Some(c) = &self.commands[cmd] else { return };
        let (verb, late, again) = (c.verb, now >= c.due - 1e-6, c.again);
        let ran = c.relays.iter().any(|r| !r.outcome.is_some_and(Outcome::never_ran));
        let v = &mut self.duty.verbs[verb];
        if !again {
            v.early_ends = v.early_ends * 0.98 + if late { 0.0 } else { 1.0 };
            v.late_ends = v.late_ends * 0.98 + if late { 1.0 } else { 0.0 };
        }
        let harmless =
            !ran || v.effect == Effect::Pure || (v.effect == Effect::Receipted && v.group == Group::All);
        let action = if harmless {
            let rest = if late { v.limit } else { 0.2 * v.goal };
            let not_before = self.duty.return_after.map(|most| most.min(span(rest)));
            Action::Decline { cmd, not_before }
        } else {
            Action::Terminate { cmd }
        };
        self.conclude(cmd, Some(action));
    }

    fn conclude(&mut self, cmd: CmdIx, action: Option<Action>) {
        let Some(c) = self.commands.get_mut(cmd).and_then(Option::as_mut) else { return };
        c.over = true;
        c.waits = false;
        self.out.extend(action);
        if self.duty.may_recall && !c.streams {
            for (relay, _) in c.relays.iter().enumerate().filter(|(_, r)| r.outcome.is_none()) {
                self.out.push(Action::Recall { cmd, relay });
            }
        }
        self.queue.retain(|q| *q != cmd);
        self.tidy(cmd);
    }

    fn tidy(&mut self, cmd: CmdIx) {
        let done = |c: &Command| c.over && c.relays.iter().all(|r| r.outcome.is_some());
        if self.commands[cmd].as_ref().is_some_and(done) {
            self.commands[cmd] = None;
            self.out.push(Action::Forget { cmd });
        }
    }

    fn due(&mut self, token: u64) {
        match token & 3 {
            ALARM_LIST if !self.listening => {
                self.listening = true;
                self.out.push(Action::Listen { active: true });
            }
            ALARM_COPY => self.copy((token >> 2) as usize),
            ALARM_GOAL => self.past_goal((token >> 2) as usize),
            _ => {}
        }
    }
}

impl Endpoint {
    /// Share of successes among the last few outcomes; few outcomes count as mostly good.
    fn health(&self) -> f64 {
        let bad = (!self.good & ((1 << OUTCOMES) - 1)).count_ones().min(self.seen);
        1.0 - f64::from(bad) / f64::from(self.seen.max(4))
    }
}
