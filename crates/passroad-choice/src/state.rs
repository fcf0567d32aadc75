//! What the decisions remember, by how long it lives: for one relay, one command, one endpoint, one verb.
//! Only shapes and sums stand here; what follows from them is decided in `choice.rs`.

use crate::{Effect, EndpointIx, Group, Outcome, VerbOrder};
use std::time::Duration;

/// A mean and a spread over the last few seconds.
#[derive(Clone, Copy, Default)]
pub struct Pace {
    pub mean: f64,
    pub spread: f64,
    pub count: f64,
    pub at: Duration,
}

pub fn fade(now: Duration, since: Duration, over: Duration) -> f64 {
    (-now.saturating_sub(since).as_secs_f64() / over.as_secs_f64()).exp()
}

impl Pace {
    pub fn note(&mut self, now: Duration, value: f64, calm: Duration) {
        self.count = self.count * fade(now, self.at, calm) + 1.0;
        self.at = now;
        let gain = (1.0 / self.count).max(0.02);
        let off = value - self.mean;
        self.mean += gain * off;
        self.spread += gain * (off.abs() - self.spread);
    }

    /// Mean, and a tail of two spreads above it. Few samples say little of a mean and less of a tail: both
    /// are drawn toward the usual.
    pub fn read(&self, now: Duration, calm: Duration, usual: &Pace) -> (f64, f64) {
        let n = self.count * fade(now, self.at, calm);
        let mean = (self.mean * n + usual.mean * 2.0) / (n + 2.0);
        (mean, mean + 2.0 * (self.spread * n + usual.spread * 8.0) / (n + 8.0))
    }
}

/// A count that fades.
#[derive(Clone, Copy, Default)]
pub struct Faded {
    sum: f64,
    at: Duration,
}

impl Faded {
    pub fn add(&mut self, now: Duration, over: Duration) {
        *self = Faded { sum: self.sum * fade(now, self.at, over) + 1.0, at: now };
    }

    /// Counts a second.
    pub fn rate(&self, now: Duration, over: Duration) -> f64 {
        self.sum * fade(now, self.at, over) / over.as_secs_f64()
    }
}

/// For one verb: what was ordered, and what was seen of it.
pub struct VerbDuty {
    pub effect: Effect,
    pub group: Group,
    pub window: Duration,
    pub goal: Duration,
    pub limit: Duration,
    pub stretch: f64,
    pub utility: f64,
    pub late_utility: f64,
    pub budget: Duration, // what most clients give, and how sure that is
    pub budget_votes: u32,
    pub asked: Faded,
    pub served: Faded, // in time
    pub usual: Pace,   // seconds that an answer takes
}

impl VerbDuty {
    pub fn of(v: &VerbOrder, usual: Duration) -> Self {
        VerbDuty {
            effect: v.effect,
            group: v.group,
            window: v.window,
            goal: v.goal,
            limit: v.limit,
            stretch: v.goal_stretch,
            utility: v.utility,
            late_utility: v.late_utility,
            budget: Duration::ZERO,
            budget_votes: 0,
            asked: Faded::default(),
            served: Faded::default(),
            usual: Pace { mean: usual.as_secs_f64(), ..Pace::default() },
        }
    }
}

/// For one relay.
#[derive(Clone, Copy)]
pub struct Relay {
    pub endpoint: EndpointIx,
    pub sent: Duration,
    pub ahead: f64, // what the endpoint was thought to hold
    pub outcome: Option<Outcome>,
}

impl Relay {
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// For one command.
pub struct Command {
    pub verb: usize,
    pub came: Duration,
    pub due: Duration,   // its response goal passes
    pub leave: Duration, // the client gives up
    pub value: f64,
    pub hold_until: Duration, // it waits for heartbeats
    pub last_call: Duration,  // it is given up if it still waits
    pub waits: bool,
    pub over: bool,
    pub streams: bool,
    pub rounds: u32, // of heartbeats after the first
    pub relays: Vec<Relay>,
}

/// For one endpoint.
pub struct Endpoint {
    pub zone: usize,
    pub cell: usize,
    pub rating: f64,
    pub size: f64, // rating against the mean of the listed
    pub listed: bool,
    pub up_since: Option<Duration>, // cold from here, if it started lately
    pub pass_until: Duration,       // a cold one may get one send until then
    pub heard: Option<Duration>,
    pub holds: f64,             // last reported, and own sends and answers since
    pub errs: f64,              // share of errors that it reports
    pub credit: f64,            // how far its reports fit what it does
    pub out: Vec<Duration>,     // when own relays that are still out were sent
    pub used: Option<Duration>, // last relay; a connection is open from here
    pub pace: Pace,
    pub good: u32, // the last outcomes, one bit each
    pub seen: u32,
    pub ailing: bool, // told of as failing, and its reports as not fitting
    pub doubted: bool,
    pub limit: f64, // as it was when last changed
    pub tried: Duration,
    pub last_cut: Duration,
    pub probing: Option<Duration>,
    pub misses: u32,      // times in a row that it could not be reached
    pub try_at: Duration, // no trial before
}

impl Endpoint {
    pub fn unknown() -> Self {
        Endpoint {
            zone: 0,
            cell: 0,
            rating: 1.0,
            size: 1.0,
            listed: false,
            up_since: None,
            pass_until: Duration::ZERO,
            heard: None,
            holds: 0.0,
            errs: 0.0,
            credit: 1.0,
            out: Vec::new(),
            used: None,
            pace: Pace::default(),
            good: !0,
            seen: 0,
            ailing: false,
            doubted: false,
            limit: 1.0,
            tried: Duration::ZERO,
            last_cut: Duration::ZERO,
            probing: None,
            misses: 0,
            try_at: Duration::ZERO,
        }
    }

    /// Another process now, or taken for one: nothing that is known of the old one holds.
    pub fn start_cold(&mut self, since: Duration) {
        (self.up_since, self.pass_until) = (Some(since), Duration::ZERO);
        (self.good, self.seen, self.ailing, self.pace) = (!0, 0, false, Pace::default());
        self.tried = Duration::ZERO;
        (self.misses, self.try_at) = (0, Duration::ZERO);
    }
}
