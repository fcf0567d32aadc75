//! What the decisions remember, by how long it lives: for one relay, one command, one endpoint, one verb.
//! Only shapes and sums stand here; what follows from them is decided in `choice.rs`.

use crate::choice::{KEY_SLOTS, LEAST_GAIN};
use crate::{
    Action, CommandArrival, CommandIndex, DeduplicationScope, Effect, EndpointIndex, Outcome,
    RequestClassConfig,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const LATER: Duration = Duration::from_secs(86_400); // the time of a command whose body still comes
const LONGEST_PAUSE: Duration = Duration::from_secs(60); // of an endpoint that can't be reached
const OVER_WARM: Duration = Duration::from_secs(8); // answers of warm endpoints fade over this
const SLOT_RESTS: Duration = Duration::from_secs(60); // a verb's, before another has it
pub const ALARM_LIST: u64 = 0; // in an alarm's low bits; the command stands above them
pub const ALARM_QUEUE: u64 = 1;
pub const ALARM_COPY: u64 = 2;
pub const ALARM_GOAL: u64 = 3;

/// A mean and a spread over the last few seconds.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Pace {
    pub mean: f64,
    pub spread: f64,
    pub count: f64,
    pub at: Duration,
}

impl Pace {
    pub fn note(&mut self, now: Duration, value: f64, calm: Duration) {
        self.count = self.count * fade(now, self.at, calm) + 1.0;
        self.at = now;
        let gain = (1.0 / self.count).max(LEAST_GAIN);
        let off = value - self.mean;
        self.mean += gain * off;
        self.spread += gain * (off.abs() - self.spread);
    }
}

/// To a third in `over`, to nothing in 32 of it: an exponential but for its far end, at less CPU.
pub fn fade(now: Duration, since: Duration, over: Duration) -> f64 {
    let spans = now.saturating_sub(since).as_secs_f64() / over.as_secs_f64();
    (1.0 - spans / 32.0).max(0.0).powi(32)
}

/// What is left to chance of an endpoint's place for a key, the same wherever it is asked: exponential.
pub fn luck(mark: u64, key: u64) -> f64 {
    let mixed = (mark ^ key).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93);
    -(((mixed ^ mixed >> 32) & 0xffff_ffff) as f64 / 4_294_967_296.0)
        .max(1e-12)
        .ln()
}

/// A count that fades.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Faded {
    sum: f64,
    at: Duration,
    from: Duration,
}

impl Faded {
    pub fn add(&mut self, now: Duration, over: Duration) {
        let from = if self.sum > 0.0 { self.from } else { now };
        *self = Faded {
            sum: self.sum * fade(now, self.at, over) + 1.0,
            at: now,
            from,
        };
    }

    /// Both counts in one.
    fn with(&self, other: &Faded) -> Faded {
        if self.sum <= 0.0 || other.sum <= 0.0 {
            return if self.sum > 0.0 { *self } else { *other };
        }
        let at = self.at.max(other.at);
        let faded = |f: &Faded| f.sum * fade(at, f.at, OVER_WARM);
        Faded {
            sum: faded(self) + faded(other),
            at,
            from: self.from.min(other.from),
        }
    }

    fn part(&self, share: f64) -> Faded {
        Faded {
            sum: self.sum * share,
            ..*self
        }
    }

    /// One less, of those just added.
    pub fn take_back(&mut self) {
        self.sum = (self.sum - 1.0).max(0.0);
    }

    /// Counts a second, also while there are counts of a shorter time only.
    pub fn young_rate(&self, now: Duration, over: Duration) -> f64 {
        let young = now
            .saturating_sub(self.from)
            .clamp(over / 32, over)
            .as_secs_f64();
        self.rate(now, over) * over.as_secs_f64() / young
    }

    /// Counts a second of the time that there was to count in; the first only starts the clock.
    pub fn fair_rate(&self, now: Duration, over: Duration) -> f64 {
        let before = fade(now, self.from, over);
        (self.sum * fade(now, self.at, over) - before).max(0.0)
            / over.as_secs_f64()
            / (1.0 - before).max(0.12)
    }

    /// Counts a second.
    pub fn rate(&self, now: Duration, over: Duration) -> f64 {
        self.sum * fade(now, self.at, over) / over.as_secs_f64()
    }
}

/// What the warm endpoints of one kind answer, in place of what each of them could do.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmKind {
    pub served: Faded,
    size: f64, // by the list, of those that are warm, or were last
    pub some: bool,
    pub last: f64, // a second, for one of size 1, when the last of them left
}

impl WarmKind {
    /// Other endpoints of it are warm now; what one of them answers stays as it was.
    fn turn(&mut self, now: Duration, size: f64) {
        self.last = if self.some && size <= 0.0 {
            self.rate(now)
        } else {
            self.last
        };
        self.some = size > 0.0;
        if self.some {
            self.served.sum *= if self.size > 0.0 {
                size / self.size
            } else {
                1.0
            };
            self.size = size;
        }
    }

    /// Answers a second, for one of size 1.
    pub fn rate(&self, now: Duration) -> f64 {
        if self.size > 0.0 {
            self.served.fair_rate(now, OVER_WARM) / self.size
        } else {
            0.0
        }
    }
}

/// For one verb: what was ordered, and what was seen of it.
pub struct VerbDuty {
    pub name: String,
    pub effect: Effect,
    pub group: DeduplicationScope,
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
    pub most_relays: usize,
    pub only: [Option<Vec<usize>>; 2], // zones and kinds where it may run, if not all
    pub retired: Option<Duration>,     // no command comes with it since then
}

impl VerbDuty {
    pub fn of(v: &RequestClassConfig, usual: Duration, most_relays: usize) -> Self {
        VerbDuty {
            name: v.name.clone(),
            effect: v.effect,
            group: v.deduplication_scope,
            window: v.deduplication_window,
            goal: v.deadline_target,
            limit: v.time_limit,
            stretch: v.target_per_work,
            utility: v.utility,
            late_utility: v.late_utility,
            budget: Duration::ZERO,
            budget_votes: 0,
            asked: Faded::default(),
            served: Faded::default(),
            usual: Pace {
                mean: usual.as_secs_f64(),
                ..Pace::default()
            },
            most_relays,
            only: [v.allowed_zones.clone(), v.allowed_kinds.clone()],
            retired: None,
        }
    }

    /// Whether the orders are the same.
    fn same(&self, other: &VerbDuty) -> bool {
        let times = |v: &VerbDuty| [v.window, v.goal, v.limit];
        let numbers = |v: &VerbDuty| [v.stretch, v.utility, v.late_utility];
        self.name == other.name
            && (self.effect, self.group, self.most_relays)
                == (other.effect, other.group, other.most_relays)
            && (times(self), numbers(self), &self.only)
                == (times(other), numbers(other), &other.only)
    }

    pub fn bound(&self) -> bool {
        self.only.iter().any(Option::is_some)
    }

    /// Whether it may run there.
    pub fn placed(&self, e: &Endpoint) -> bool {
        let [zones, kinds] = &self.only;
        zones.as_ref().is_none_or(|zones| zones.contains(&e.zone))
            && kinds.as_ref().is_none_or(|kinds| kinds.contains(&e.kind))
    }

    /// Other orders for the same verb: what was seen of it holds, but for what clients give.
    fn learn(&mut self, before: &VerbDuty) {
        (self.asked, self.served, self.usual) = (before.asked, before.served, before.usual);
    }
}

/// The last few outcomes, one bit each.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Few {
    pub bad: u32,
    pub seen: u32,
    pub failed: Duration, // the last bad one
    pub ailing: bool,     // told of as failing
}

impl Few {
    pub fn note(&mut self, now: Duration, outcome: Outcome, few: u32) {
        let bad = outcome != Outcome::Answered;
        self.bad = self.bad << 1 | u32::from(bad);
        self.seen = (self.seen + 1).min(few);
        if bad {
            self.failed = now;
        }
    }

    /// Share of the good; where there are not even four they count as mostly good.
    pub fn good(&self, few: u32) -> f64 {
        let bad = (self.bad & ((1 << few) - 1)).count_ones().min(self.seen);
        1.0 - f64::from(bad) / f64::from(self.seen.max(4))
    }
}

/// For one relay.
#[derive(Clone, Copy)]
pub struct Relay {
    pub endpoint: EndpointIndex,
    pub sent: Duration,
    pub ahead: f64, // what the endpoint was thought to hold
    pub told: f64,  // of that, the weight of what it had reported itself
    pub outcome: Option<Outcome>,
}

impl Relay {
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// For one command.
#[derive(Clone)]
pub struct Command {
    pub verb: usize,
    pub play: usize,
    pub key: Option<u64>,
    pub came: Duration,
    pub due: Duration,   // its response goal passes
    pub leave: Duration, // the client gives up
    pub value: f64,
    pub best: f64,            // value of the verb worth most at that time
    pub hold_until: Duration, // it waits for heartbeats
    pub last_call: Duration,  // it is given up if it still waits
    pub waits: bool,
    pub over: bool,
    pub streams: bool,
    pub coming: bool, // its body is
    pub once: bool,   // no other relay can be given its body
    pub rounds: u32,  // of heartbeats after the first
    pub relays: Vec<Relay>,
}

impl Command {
    pub fn come(a: &CommandArrival, now: Duration, due: Duration) -> Self {
        Command {
            verb: a.class,
            play: a.weight_set,
            key: None,
            came: now,
            due: due
                + if a.body_pending {
                    LATER
                } else {
                    Duration::ZERO
                },
            leave: now
                + a.budget
                + if a.body_pending {
                    LATER
                } else {
                    Duration::ZERO
                },
            value: 0.0,
            best: 1.0,
            hold_until: now,
            last_call: now,
            waits: true,
            over: false,
            streams: false,
            coming: a.body_pending,
            once: false,
            rounds: 0,
            relays: Vec::new(),
        }
    }

    /// Its body is there: its time runs from here, and that of its relays; where these are.
    pub fn begin(&mut self, now: Duration) -> Vec<EndpointIndex> {
        let late = now.saturating_sub(self.came);
        (self.due, self.leave) = (self.due + late - LATER, self.leave + late - LATER);
        self.coming = false;
        let out = self.relays.iter_mut().filter(|r| r.outcome.is_none());
        let begun = out.map(|r| {
            r.sent = now;
            r.endpoint
        });
        begun.collect()
    }
}

/// For one endpoint. What is out and open from here is no other instance's.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Endpoint {
    pub mark: u64,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    pub rating: f64,
    pub nominal: f64,             // the most that a live weight came to
    pub size: f64,                // rating against the mean of the listed
    pub known: bool,              // its slot is given out
    pub up: bool,                 // by the list
    pub listed: bool,             // and not out by hand
    pub gone: bool,               // for good; a draining one is not listed either
    pub banned: Option<Duration>, // out by hand, since then
    pub owed: Option<Duration>,   // called back: from then on a send is due to it
    #[serde(skip)]
    pub met: bool, // it is in view
    #[serde(skip)]
    pub plays: Vec<f64>, // its weight in each play, where routes are told
    pub up_since: Option<Duration>, // cold from here, if it started lately
    #[serde(skip)]
    pub pass_until: Duration, // a cold one may get one send until then
    pub heard: Option<Duration>,
    pub holds: f64,  // last reported, and own sends and answers since
    pub errs: f64,   // share of errors that it reports
    pub credit: f64, // how far its reports fit what it does
    #[serde(skip)]
    pub out: Vec<Duration>, // when own relays that are still out were sent
    pub sends: Faded,
    #[serde(skip)]
    pub used: Option<Duration>, // last relay; a connection is open from here
    pub pace: Pace,
    pub last: Few,         // of its outcomes
    pub by_verb: Vec<Few>, // the same for each verb, as far as seen
    pub harm: u32,         // of the last outcomes, those that failed though they may have run
    pub harmed: Duration,
    pub doubted: bool, // told of, as its reports do not fit
    pub limit: f64,    // as it was when last changed
    pub tried: Duration,
    pub last_cut: Duration,
    #[serde(skip)]
    pub probing: Option<Duration>,
    pub misses: u32,      // times in a row that it could not be reached
    pub try_at: Duration, // no trial before
}

impl Endpoint {
    pub fn unknown() -> Self {
        Endpoint {
            mark: 0,
            zone: 0,
            kind: 0,
            cell: 0,
            rating: 1.0,
            nominal: 0.0,
            size: 1.0,
            known: false,
            up: false,
            listed: false,
            gone: false,
            banned: None,
            owed: None,
            met: false,
            plays: Vec::new(),
            up_since: None,
            pass_until: Duration::ZERO,
            heard: None,
            holds: 0.0,
            errs: 0.0,
            credit: 1.0,
            out: Vec::new(),
            sends: Faded::default(),
            used: None,
            pace: Pace::default(),
            last: Few::default(),
            by_verb: Vec::new(),
            harm: 0,
            harmed: Duration::ZERO,
            doubted: false,
            limit: 1.0,
            tried: Duration::ZERO,
            last_cut: Duration::ZERO,
            probing: None,
            misses: 0,
            try_at: Duration::ZERO,
        }
    }
}

impl Endpoint {
    /// One more outcome among the last few.
    pub fn note(&mut self, now: Duration, verb: usize, outcome: Outcome, few: u32) {
        let harm = matches!(outcome, Outcome::Error | Outcome::ConnectionLost);
        self.by_verb
            .resize(self.by_verb.len().max(verb + 1), Few::default());
        for last in [&mut self.last, &mut self.by_verb[verb]] {
            last.note(now, outcome, few);
        }
        self.harm = self.harm << 1 | u32::from(harm);
        self.harmed = if harm { now } else { self.harmed };
    }

    /// Nothing of what was learnt of it.
    pub fn forget(&mut self) {
        (self.last, self.by_verb, self.harm, self.pace) =
            (Few::default(), Vec::new(), 0, Pace::default());
        (self.misses, self.try_at, self.tried, self.met) =
            (0, Duration::ZERO, Duration::ZERO, false);
    }

    /// Another process now, or taken for one: nothing that is known of the old one holds.
    pub fn start_cold(&mut self, since: Duration) {
        let met = self.met;
        self.forget();
        (self.up_since, self.pass_until, self.met) = (Some(since), Duration::ZERO, met);
    }

    /// Share of harm among the last few outcomes; it fades, as what is avoided has no more of them.
    pub fn harm(&self, now: Duration, few: u32, over: Duration) -> f64 {
        let count = (self.harm & ((1 << few) - 1)).count_ones();
        f64::from(count) / f64::from(few) * fade(now, self.harmed, over)
    }
}

/// What one instance has learnt, for the one that takes its place. Times are by a clock that both share.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LearnedState {
    endpoints: Vec<(String, Endpoint)>,
    verbs: Vec<(String, usize, Habit)>, // each with its slot
    mix: Vec<Faded>,
    usual: Pace,
    rtt: Duration,
    sends: [Faded; 2],
    warm_served: Faded,
    arrivals: Faded,
    numbers: [f64; 6],
    marked: bool,
}

/// What was seen of a verb.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Habit {
    budget: Duration,
    budget_votes: u32,
    asked: Faded,
    served: Faded,
    usual: Pace,
}

impl LearnedState {
    /// The endpoints that it speaks of.
    pub fn endpoint_ids(&self) -> impl Iterator<Item = &str> {
        self.endpoints.iter().map(|(id, _)| id.as_str())
    }
}

/// Where a command may go.
pub type May<'a> = &'a dyn Fn(&Endpoint) -> bool;
/// What a command is worth against the best, and what a failure of it costs.
pub type Need = Option<(f64, f64)>;

/// For the life of the instance: one sidecar's decisions, which stand in `choice.rs`.
#[derive(Default)]
pub struct Balancer {
    pub(crate) duty: DutySheet,
    pub(crate) dice: u64,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) listed: f64,             // how many of them are, one at least
    pub(crate) warm: f64,               // size of those that are warm
    pub(crate) met: Vec<EndpointIndex>, // those in view
    pub(crate) colds: Vec<EndpointIndex>,
    pub(crate) table: Vec<f64>, // running sum of the base weights of warm ones
    pub(crate) next_survey: Duration,
    pub(crate) commands: Vec<Option<Command>>,
    pub(crate) queue: Vec<CommandIndex>,
    pub(crate) mix: Vec<Faded>,  // arrivals by company
    pub(crate) kinds: Vec<Pace>, // the same by kind
    pub(crate) usual: Pace,      // pace of all endpoints, against each verb's usual
    pub(crate) rtt: Duration,
    pub(crate) sends: Faded,
    pub(crate) all_sends: Faded,
    pub(crate) warm_kinds: Vec<WarmKind>,
    pub(crate) pass_at: Duration, // when a pass was last drawn
    pub(crate) arrivals: Faded,
    pub(crate) keys: Vec<Faded>, // arrivals by key, a few keys to a slot
    pub(crate) steered: bool,    // routes were told
    pub(crate) marked: bool,     // clients mark repeats: one was seen
    pub(crate) limit: f64,       // the usual one, at the usual size
    pub(crate) window: f64,      // the same of what is out from here in all
    pub(crate) out_now: f64,
    pub(crate) worth: f64,   // of a usual command, against the best
    pub(crate) well: f64,    // share of relays that are answered
    pub(crate) faith: f64,   // credit of reports as a whole
    pub(crate) found: f64,   // share of those asked for what waits that were open
    pub(crate) spare: f64,   // further relays allowed now
    pub(crate) closed: bool, // all that is listed is out by hand
    pub(crate) listening: bool,
    pub(crate) list_fails: u32,
    pub(crate) shedding: bool,
    pub(crate) shed_at: Duration,
    pub(crate) ask_at: Duration,
    pub(crate) wake: Duration, // when the queue is looked at next
    pub(crate) now: Duration,
    pub(crate) out: Vec<Action>,
}

/// What the standing orders come to: the figures that decisions use.
#[derive(Default)]
pub struct DutySheet {
    pub verbs: Vec<VerbDuty>,
    pub goal_whole: f64, // what the result is made of
    pub goal_verb: f64,
    pub portions: Vec<f64>,
    pub surplus_utility: f64,
    pub own_zone: usize,
    pub return_after: Option<Duration>,
    pub may_recall: bool,
    pub second_copies: bool,
    pub listen: bool,
    pub list_every: Duration,
    pub drain_grace: Duration,
    pub heartbeats: usize,  // probes that one command is worth
    pub asks: bool,         // for every command, whether or not it waits
    pub finds: f64,         // probes that one open endpoint is worth to what waits
    pub fresh: Duration,    // a report needs no heartbeat for so long
    pub trust: Duration,    // so long a cut stands, and a first pause
    pub believe: Duration,  // trust in a report falls to a third in this
    pub hold: Duration,     // the longest wait for heartbeats
    pub patience: Duration, // the wait that a queue may come to
    pub tick: Duration,
    pub live_weights: bool,
    pub warm_keys: bool,
    pub near: f64, // weight in another zone against the own
    pub idle_close: Duration,
    pub one_stream: bool, // a connection carries one relay at a time
    pub new_link: f64,    // load that a new connection counts as
    pub cold_from: f64,
    pub warm_within: Duration,
    pub tip_after: Duration,
    pub cold_share: f64, // of a warm one's sends, times the ramp
}

/// What every decision uses and none decides: chance, the log, what is held and in view, what
/// the list adds up to.
impl Balancer {
    /// Nothing seen yet.
    pub(crate) fn fresh(duty: DutySheet, dice: u64) -> Self {
        Balancer {
            mix: vec![Faded::default(); duty.portions.len()],
            keys: vec![Faded::default(); if duty.warm_keys { KEY_SLOTS } else { 0 }],
            rtt: duty.tick,
            duty,
            dice,
            usual: Pace {
                mean: 1.0,
                ..Pace::default()
            },
            window: 1e6,
            worth: 0.5,
            well: 1.0,
            listed: 1.0,
            faith: 1.0,
            found: 1.0,
            ..Balancer::default()
        }
    }

    /// Which endpoints are in play, and with which base weight, is decided before; the draw is here.
    pub(crate) fn steer(&mut self, weights: Vec<(usize, EndpointIndex, f64)>) {
        self.steered = true;
        for (play, endpoint, weight) in weights {
            let Some(e) = self.endpoints.get_mut(endpoint) else {
                continue;
            };
            e.plays.resize(e.plays.len().max(play + 1), 0.0);
            e.plays[play] = weight.clamp(0.0, 1e6);
        }
        self.survey();
    }

    /// Other orders: verbs that did not change keep their slots, all others get some that no command holds.
    pub(crate) fn retune(&mut self, mut duty: DutySheet) {
        let (new, now) = (std::mem::take(&mut duty.verbs), self.now);
        duty.verbs = std::mem::take(&mut self.duty.verbs);
        if duty.portions != self.duty.portions {
            self.mix = vec![Faded::default(); duty.portions.len()];
        }
        self.keys.resize(
            if duty.warm_keys {
                self.keys.len().max(KEY_SLOTS)
            } else {
                0
            },
            Faded::default(),
        );
        self.duty = duty;
        let live = |v: &VerbDuty| v.retired.is_none();
        let stay = |old: &VerbDuty| new.iter().any(|v| v.same(old));
        for old in self
            .duty
            .verbs
            .iter_mut()
            .filter(|v| v.retired.is_none() && !stay(v))
        {
            old.retired = Some(now);
        }
        let mut verbs = Vec::with_capacity(new.len());
        for mut v in new {
            let slots = &self.duty.verbs;
            if let Some(at) = slots.iter().position(|old| live(old) && old.same(&v)) {
                verbs.push(at);
                continue;
            }
            let before = slots
                .iter()
                .rposition(|old| old.name == v.name && old.retired == Some(now));
            before.iter().for_each(|at| v.learn(&slots[*at]));
            let held = |at: usize| self.commands.iter().flatten().any(|c| c.verb == at);
            let free = |at: &usize| {
                let since = slots[*at].retired.map(|since| now.saturating_sub(since));
                since.is_some_and(|since| since > SLOT_RESTS) && !held(*at)
            };
            let at = (0..slots.len()).find(free).unwrap_or(slots.len());
            for e in &mut self.endpoints {
                let few = before
                    .and_then(|at| e.by_verb.get(at))
                    .copied()
                    .unwrap_or_default();
                e.by_verb
                    .resize(e.by_verb.len().max(at + 1), Few::default());
                e.by_verb[at] = few;
            }
            if at == slots.len() {
                self.duty.verbs.push(v);
            } else {
                self.duty.verbs[at] = v;
            }
            verbs.push(at);
        }
        for gone in self
            .duty
            .verbs
            .iter_mut()
            .filter(|v| v.retired == Some(now))
        {
            (gone.asked, gone.served) = (Faded::default(), Faded::default());
        }
        let names: Vec<_> = verbs
            .iter()
            .map(|at| self.duty.verbs[*at].name.as_str())
            .collect();
        let line = format!("other orders: verbs {}", names.join(", "));
        self.log(line);
        self.out
            .push(Action::ClassIndicesAssigned { classes: verbs });
        self.survey();
    }

    /// How an endpoint seems from here, for whoever is to take machines out: the share of what it may hold that it holds,
    /// where it has said so lately, and whether it fails or can't be reached.
    pub fn endpoint_load(&self, at: EndpointIndex) -> (Option<f64>, bool) {
        let Some(e) = self.endpoints.get(at) else {
            return (None, true);
        };
        let told = e
            .heard
            .is_some_and(|at| self.now.saturating_sub(at) < Duration::from_secs(5));
        let busy = (e.holds.max(e.out.len() as f64) / (e.size * e.limit).max(1e-6)).clamp(0.0, 1.0);
        (told.then_some(busy), e.last.ailing || e.try_at > self.now)
    }

    /// What was learnt here; `name` tells what an endpoint is called outside.
    pub fn learned_state(&self, name: impl Fn(EndpointIndex) -> Option<String>) -> LearnedState {
        let known = self.endpoints.iter().enumerate().filter(|(_, e)| e.known);
        let habit = |v: &VerbDuty| Habit {
            budget: v.budget,
            budget_votes: v.budget_votes,
            asked: v.asked,
            served: v.served,
            usual: v.usual,
        };
        let verbs = self
            .duty
            .verbs
            .iter()
            .enumerate()
            .filter(|(_, v)| v.retired.is_none());
        LearnedState {
            endpoints: known
                .filter_map(|(at, e)| Some((name(at)?, e.clone())))
                .collect(),
            verbs: verbs
                .map(|(at, v)| (v.name.clone(), at, habit(v)))
                .collect(),
            mix: self.mix.clone(),
            usual: self.usual,
            rtt: self.rtt,
            sends: [self.sends, self.all_sends],
            warm_served: self
                .warm_kinds
                .iter()
                .fold(Faded::default(), |all, k| all.with(&k.served)),
            arrivals: self.arrivals,
            numbers: [
                self.limit,
                self.window,
                self.worth,
                self.well,
                self.faith,
                self.spare,
            ],
            marked: self.marked,
        }
    }

    /// Takes over what another instance learnt. What it had out is its own, and what the list says is newer here.
    pub(crate) fn inherit(&mut self, memory: LearnedState, slots: &[Option<EndpointIndex>]) {
        let (now, count) = (self.now, memory.endpoints.len());
        let mut from = vec![None; self.duty.verbs.len()];
        for (name, slot, habit) in memory.verbs {
            let Some(at) = self
                .duty
                .verbs
                .iter()
                .position(|v| v.retired.is_none() && v.name == name)
            else {
                continue;
            };
            let v = &mut self.duty.verbs[at];
            (v.budget, v.budget_votes) = (habit.budget, habit.budget_votes);
            (v.asked, v.served, v.usual) = (habit.asked, habit.served, habit.usual);
            from[at] = Some(slot);
        }
        for ((_, old), at) in memory.endpoints.into_iter().zip(slots) {
            let Some(e) = at.and_then(|at| self.endpoints.get_mut(at)) else {
                continue;
            };
            let by_verb = from
                .iter()
                .map(|slot| slot.and_then(|slot| old.by_verb.get(slot)).copied());
            let by_verb = by_verb.map(Option::unwrap_or_default).collect();
            // Guards against times of a clock that ran ahead: an endpoint would stay cold, or untried, for as long.
            let up_since = e.up_since.max(old.up_since.map(|up| up.min(now)));
            let try_at = old.try_at.min(now + LONGEST_PAUSE);
            let new = std::mem::replace(
                e,
                Endpoint {
                    by_verb,
                    up_since,
                    try_at,
                    ..old
                },
            );
            (e.mark, e.zone, e.kind, e.cell) = (new.mark, new.zone, new.kind, new.cell);
            (e.rating, e.nominal, e.size, e.known) =
                (new.rating, new.nominal.max(e.nominal), new.size, new.known);
            (e.up, e.listed, e.gone, e.banned) = (new.up, new.listed, new.gone, new.banned);
            (e.out, e.used, e.probing, e.met, e.plays) =
                (new.out, new.used, new.probing, new.met, new.plays);
        }
        if memory.mix.len() == self.mix.len() {
            self.mix = memory.mix;
        }
        (self.usual, self.rtt, self.marked) = (memory.usual, memory.rtt, memory.marked);
        [self.sends, self.all_sends] = memory.sends;
        self.arrivals = memory.arrivals;
        [
            self.limit,
            self.window,
            self.worth,
            self.well,
            self.faith,
            self.spare,
        ] = memory.numbers;
        self.log(format!(
            "what was learnt of {count} endpoints is taken over"
        ));
        self.survey();
        let all: f64 = self.warm_kinds.iter().map(|k| k.size).sum();
        for kind in &mut self.warm_kinds {
            kind.served = memory.warm_served.part(kind.size / all.max(1e-9));
        }
    }

    /// An answer of a warm endpoint.
    pub(crate) fn note_warm(&mut self, at: EndpointIndex) {
        let kind = self.endpoints[at].kind;
        self.warm_kinds
            .resize(self.warm_kinds.len().max(kind + 1), WarmKind::default());
        self.warm_kinds[kind].served.add(self.now, OVER_WARM);
    }

    /// Multiply-with-carry; a number from 0 up to 1.
    pub(crate) fn chance(&mut self) -> f64 {
        self.dice = (self.dice & 0xffff_ffff) * 4_294_957_665 + (self.dice >> 32);
        (self.dice & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    pub(crate) fn log(&mut self, line: String) {
        self.out.push(Action::Log(line));
    }

    pub(crate) fn streams(&mut self, cmd: CommandIndex) {
        self.commands
            .get_mut(cmd)
            .into_iter()
            .flatten()
            .for_each(|c| c.streams = true);
    }

    pub(crate) fn spent(&mut self, cmd: CommandIndex) {
        self.commands
            .get_mut(cmd)
            .into_iter()
            .flatten()
            .for_each(|c| c.once = true);
    }

    /// One more relay is at work there, unless its body still comes.
    pub(crate) fn book(&mut self, at: EndpointIndex, sent: Duration, coming: bool) {
        if coming {
            return;
        }
        let e = &mut self.endpoints[at];
        e.out.push(sent);
        e.holds = e.holds.max(0.0) + 1.0;
        self.out_now += 1.0;
    }

    pub(crate) fn unbook(&mut self, at: EndpointIndex, sent: Duration, coming: bool) {
        if coming {
            return;
        }
        let e = &mut self.endpoints[at];
        e.holds -= 1.0;
        e.out
            .iter()
            .position(|held| *held == sent)
            .map(|gone| e.out.swap_remove(gone));
        self.out_now -= 1.0;
    }

    /// Notes an outcome among the last few. One line when most of them are bad, and one when most are good again, of
    /// all verbs and of this one.
    pub(crate) fn judge(&mut self, at: EndpointIndex, verb: usize, outcome: Outcome, few: u32) {
        let (name, e) = (&self.duty.verbs[verb].name, &mut self.endpoints[at]);
        e.note(self.now, verb, outcome, few);
        for (last, what) in [(&mut e.last, "all verbs"), (&mut e.by_verb[verb], name)] {
            let good = last.good(few);
            if last.ailing != (good < if last.ailing { 0.75 } else { 0.5 }) {
                last.ailing = !last.ailing;
                let word = if last.ailing { "failing" } else { "well again" };
                let line = format!(
                    "endpoint {at} {word}, {what}: {:.0}% of its last outcomes good",
                    good * 100.0
                );
                self.out.push(Action::Log(line));
            }
        }
    }

    pub(crate) fn held(&self, cmd: CommandIndex) -> Option<&Command> {
        self.commands.get(cmd).and_then(Option::as_ref)
    }

    pub(crate) fn meet(&mut self, at: EndpointIndex) {
        if !std::mem::replace(&mut self.endpoints[at].met, true) {
            self.met.push(at);
        }
    }

    pub(crate) fn view(&self) -> impl Iterator<Item = &Endpoint> {
        self.met.iter().map(|at| &self.endpoints[*at])
    }

    pub(crate) fn tidy(&mut self, cmd: CommandIndex) {
        let done = |c: &Command| c.over && c.relays.iter().all(|r| r.outcome.is_some());
        if self.held(cmd).is_some_and(done) {
            self.commands[cmd] = None;
            self.out.push(Action::ReleaseCommand { command: cmd });
        }
    }

    /// Takes over what another instance did in place of what this one would have done, for the watch.
    pub(crate) fn follow(
        &mut self,
        now: Duration,
        lead: &Balancer,
        done: &[Action],
        would: &[Action],
    ) {
        let over = 4 * Duration::from_secs(2);
        for (actions, back) in [(would, true), (done, false)] {
            for action in actions {
                let Action::Relay { endpoint, .. } = action else {
                    continue;
                };
                let Some(e) = self.endpoints.get_mut(*endpoint) else {
                    continue;
                };
                if back {
                    e.sends.take_back();
                    self.sends.take_back();
                    self.all_sends.take_back();
                    e.holds -= 1.0;
                } else {
                    e.sends.add(now, over);
                    self.sends.add(now, over / 4);
                    self.all_sends.add(now, over);
                    e.holds = e.holds.max(0.0) + 1.0;
                }
            }
        }
        let keys: Vec<_> = self
            .commands
            .iter()
            .map(|c| c.as_ref().and_then(|c| c.key))
            .collect();
        self.commands = lead.commands.clone();
        for (command, key) in self.commands.iter_mut().zip(keys) {
            command.iter_mut().for_each(|c| c.key = key);
        }
        self.endpoints
            .resize_with(lead.endpoints.len(), Endpoint::unknown);
        for (e, led) in self.endpoints.iter_mut().zip(&lead.endpoints) {
            e.out.clone_from(&led.out);
            (e.used, e.probing, e.pass_until, e.owed) =
                (led.used, led.probing, led.pass_until, led.owed);
        }
        self.queue.clone_from(&lead.queue);
        (self.spare, self.wake, self.ask_at) = (lead.spare, lead.wake, lead.ask_at);
        (self.shedding, self.shed_at, self.listening) =
            (lead.shedding, lead.shed_at, lead.listening);
        self.out_now = self.endpoints.iter().map(|e| e.out.len() as f64).sum();
    }

    /// Gives back the slots of endpoints that have left, once nothing is out on them and no command speaks of them.
    /// Guards against a list that changes all day: what is held would grow with every id that ever was.
    fn part(&mut self) -> bool {
        let mut wait = false;
        for at in 0..self.endpoints.len() {
            let e = &self.endpoints[at];
            if !e.gone || e.up || e.banned.is_some() {
                continue;
            }
            let tried = |c: &Command| c.relays.iter().any(|r| r.endpoint == at);
            if e.out.is_empty() && e.probing.is_none() && !self.commands.iter().flatten().any(tried)
            {
                self.endpoints[at] = Endpoint::unknown();
                self.met.retain(|met| *met != at);
                self.out.push(Action::ReleaseEndpoint { endpoint: at });
            } else {
                wait = true;
            }
        }
        wait
    }

    /// Size by the list, and by how fast the answers of its kind are, which the list may not tell.
    fn size(&self, e: &Endpoint) -> f64 {
        let kind = self.kinds.get(e.kind).filter(|_| self.duty.heartbeats == 0);
        let faster = kind.filter(|k| k.count > 0.0).map_or(1.0, |k| {
            let n = k.count * fade(self.now, k.at, Duration::from_secs(20));
            self.usual.mean * (n + 2.0) / (k.mean * n + self.usual.mean * 2.0).max(1e-6)
        });
        e.rating * faster.clamp(0.2, 5.0)
    }

    /// What the list comes to: sizes, the cold ones, the warm ones as a table to draw from by base weight.
    pub(crate) fn survey(&mut self) {
        let wait = self.part();
        let sizes: Vec<f64> = self.endpoints.iter().map(|e| self.size(e)).collect();
        let ratings = self
            .endpoints
            .iter()
            .zip(&sizes)
            .filter(|(e, _)| e.listed)
            .map(|(_, size)| *size);
        let (sum, count) = ratings.fold((0.0, 0.0), |(s, n): (f64, f64), r| (s + r, n + 1.0));
        (self.listed, self.warm, self.next_survey) = (f64::max(count, 1.0), 0.0, Duration::MAX);
        if wait {
            self.next_survey = self.now;
        }
        (self.table, self.colds) = (Vec::new(), Vec::new());
        self.closed = count == 0.0 && self.endpoints.iter().any(|e| e.up);
        let mut mass = 0.0;
        let mut kinds = vec![0.0; self.warm_kinds.len()];
        for (at, size) in sizes.into_iter().enumerate() {
            self.endpoints[at].size = size * if sum > 0.0 { count / sum } else { 1.0 };
            let e = &self.endpoints[at];
            if e.listed && self.cold(e) {
                self.colds.push(at);
                let warm_at = e.up_since.unwrap_or_default() + self.duty.warm_within;
                self.next_survey = self.next_survey.min(warm_at);
            } else if e.listed {
                self.warm += e.size;
                kinds.resize(kinds.len().max(e.kind + 1), 0.0);
                kinds[e.kind] += e.rating;
                mass += self.base(e, None);
            }
            self.table.push(mass);
        }
        self.warm_kinds.resize(kinds.len(), WarmKind::default());
        self.warm_kinds
            .iter_mut()
            .zip(kinds)
            .for_each(|(kind, size)| kind.turn(self.now, size));
        if self.duty.heartbeats == 0 {
            self.next_survey = self.next_survey.min(self.now + Duration::from_secs(1));
        }
        // Many become warm one by one: a while later is early enough.
        self.next_survey = self.next_survey.max(self.now + self.duty.warm_within / 16);
    }
}
