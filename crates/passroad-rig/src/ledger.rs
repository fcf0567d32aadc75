//! What went over the wire, and whether the rules were kept. It knows nothing of decisions: whoever decided, the same
//! history has the same verdict.

use crate::experiment::{Effect, KeyGroup, Plan};
use crate::model::{Make, ramp};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Numbers of the whole day, not of one sidecar.
pub type CmdNo = usize;
pub type RelayNo = usize;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Answered,
    Declined,
    Terminated,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Entry {
    /// A client sends a command; later tries of the same belong to one chain and say which one they follow.
    Asked {
        cmd: CmdNo,
        chain: CmdNo,
        verb: usize,
        instance: usize,
        limit: Duration,
    },
    /// The client has its one final answer.
    Answered {
        cmd: CmdNo,
        answer: Answer,
    },
    /// The client went away without one, of its own will.
    Left {
        cmd: CmdNo,
    },
    Sent {
        relay: RelayNo,
        cmd: CmdNo,
        endpoint: usize,
    },
    /// Nothing of this relay is out any more at its sidecar; `proven` that it has not run.
    Ended {
        relay: RelayNo,
        proven: bool,
    },
    /// The endpoint began on it.
    Ran {
        relay: RelayNo,
    },
    /// A list reached an instance: this endpoint drains, or has left.
    ToldAway {
        instance: usize,
        endpoint: usize,
    },
    /// The same: it is up.
    ToldUp {
        instance: usize,
        endpoint: usize,
    },
    /// An instance has said yes to operators: this endpoint is out by hand, or back.
    Cordoned {
        instance: usize,
        endpoint: usize,
        out: bool,
    },
    /// A process that starts cold.
    Started {
        endpoint: usize,
    },
    Probed {
        endpoint: usize,
    },
    /// The sidecar's process was killed: what it held is lost through no fault of its own.
    Killed {
        instance: usize,
    },
    /// A client was given an answer that no endpoint made for its command.
    Mixed {
        cmd: CmdNo,
    },
    /// A sidecar's process ended by itself, or not in order when it was told to.
    Crashed {
        instance: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    OneAnswer,
    NoEffectTwice,
    NothingToDrained,
    ColdNotPushedOver,
    AnsweredAtOnce,
}

impl Rule {
    pub const ALL: [Rule; 5] = [
        Rule::OneAnswer,
        Rule::NoEffectTwice,
        Rule::NothingToDrained,
        Rule::ColdNotPushedOver,
        Rule::AnsweredAtOnce,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one final answer in time",
            Rule::NoEffectTwice => "no effect twice",
            Rule::NothingToDrained => "nothing to a drained endpoint",
            Rule::ColdNotPushedOver => "a cold endpoint is not pushed over",
            Rule::AnsweredAtOnce => "what is given up is answered at once",
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    pub rule: Rule,
    pub at: Duration,
    pub what: String,
}

/// One command, as the client and the wire saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    pub chain: CmdNo,
    pub verb: usize,
    pub instance: usize,
    pub asked: Duration,
    pub limit: Duration,
    pub answers: Vec<(Duration, Answer)>,
    pub left: Option<Duration>,
    pub relays: Vec<RelayNo>,
    pub lost: bool, // with the process that held it
}

#[derive(Debug, Clone, PartialEq)]
pub struct Sent {
    pub cmd: CmdNo,
    pub endpoint: usize,
    pub at: Duration,
    pub ended: Option<(Duration, bool)>,
    pub ran: Option<Duration>,
}

/// The history of a day. Entries may come in any order of time where they come from several tasks.
#[derive(Debug, Default, Clone)]
pub struct Ledger {
    entries: Vec<(Duration, Entry)>,
}

/// The history sorted out: by command, by relay, by endpoint.
#[derive(Debug, Default)]
pub struct Books {
    pub commands: Vec<Told>,
    pub relays: Vec<Sent>,
    pub probes: Vec<(Duration, usize)>,
    wrong: Vec<(Duration, String)>, // what breaks the first rule by itself
    away: HashMap<(usize, usize), Vec<(Duration, bool)>>, // by instance and endpoint: told away, or up again
    banned: HashMap<(usize, usize), Vec<(Duration, bool)>>, // the same by operators
    starts: HashMap<usize, Vec<Duration>>,
}

/// What the verdict needs to know beside the history.
#[derive(Debug, Clone)]
pub struct Facts {
    pub verbs: Vec<VerbFacts>,
    /// Seconds of a core that a request is in the mean of the load.
    pub mean_work: f64,
    pub endpoints: Vec<(Make, usize, usize)>, // zone and cell
    pub grace: Duration,
    /// How much later than its limit an answer may reach its client: what the machine adds, nothing in virtual time.
    pub slack: Duration,
}

#[derive(Debug, Clone)]
pub struct VerbFacts {
    pub effect: Effect,
    pub group: KeyGroup,
    pub window: Duration,
    pub work: f64,
}

impl Facts {
    pub fn of(plan: &Plan, slack: Duration) -> Self {
        let verb = |v: &crate::experiment::VerbPlan| VerbFacts {
            effect: v.effect,
            group: v.group,
            window: v.window,
            work: v.work,
        };
        let shares: f64 = plan.verbs.iter().map(|v| v.share).sum();
        Facts {
            verbs: plan.verbs.iter().map(verb).collect(),
            mean_work: plan.verbs.iter().map(|v| v.work * v.share).sum::<f64>() / shares.max(1e-9),
            endpoints: plan
                .endpoints
                .iter()
                .map(|e| (e.make.clone(), e.zone, e.cell))
                .collect(),
            grace: plan.grace,
            slack,
        }
    }
}

impl Ledger {
    pub fn note(&mut self, at: Duration, entry: Entry) {
        self.entries.push((at, entry));
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Asked, answered, declined and terminated so far.
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        let count =
            |which: fn(&Entry) -> bool| self.entries.iter().filter(|(_, e)| which(e)).count();
        (
            count(|e| matches!(e, Entry::Asked { .. })),
            count(|e| {
                matches!(
                    e,
                    Entry::Answered {
                        answer: Answer::Answered,
                        ..
                    }
                )
            }),
            count(|e| {
                matches!(
                    e,
                    Entry::Answered {
                        answer: Answer::Declined,
                        ..
                    }
                )
            }),
            count(|e| {
                matches!(
                    e,
                    Entry::Answered {
                        answer: Answer::Terminated,
                        ..
                    }
                )
            }),
        )
    }

    /// When an instance was first told that an endpoint drains or has left.
    pub fn first_told_away(&self, endpoint: usize) -> Option<Duration> {
        let told = |(at, entry): &(Duration, Entry)| match entry {
            Entry::ToldAway { endpoint: e, .. } if *e == endpoint => Some(*at),
            _ => None,
        };
        self.entries.iter().filter_map(told).min()
    }

    pub fn books(&self) -> Books {
        let mut books = Books::default();
        let mut sorted: Vec<&(Duration, Entry)> = self.entries.iter().collect();
        sorted.sort_by_key(|(at, _)| *at);
        // Commands and relays first: what is said of them may carry the same time.
        for (at, entry) in &sorted {
            match entry {
                Entry::Asked {
                    cmd,
                    chain,
                    verb,
                    instance,
                    limit,
                } => {
                    let told = Told {
                        chain: *chain,
                        verb: *verb,
                        instance: *instance,
                        asked: *at,
                        limit: *limit,
                        answers: Vec::new(),
                        left: None,
                        relays: Vec::new(),
                        lost: false,
                    };
                    put(&mut books.commands, *cmd, told);
                }
                Entry::Sent {
                    relay,
                    cmd,
                    endpoint,
                } => {
                    let sent = Sent {
                        cmd: *cmd,
                        endpoint: *endpoint,
                        at: *at,
                        ended: None,
                        ran: None,
                    };
                    put(&mut books.relays, *relay, sent);
                }
                _ => {}
            }
        }
        for (n, relay) in books.relays.iter().enumerate() {
            books.commands[relay.cmd].relays.push(n);
        }
        for (at, entry) in sorted {
            let at = *at;
            match entry {
                Entry::Answered { cmd, answer } => books.commands[*cmd].answers.push((at, *answer)),
                Entry::Left { cmd } => books.commands[*cmd].left = Some(at),
                Entry::Ended { relay, proven } => books.relays[*relay].ended = Some((at, *proven)),
                Entry::Ran { relay } => books.relays[*relay].ran = Some(at),
                Entry::ToldAway { instance, endpoint } => {
                    books.turn(*instance, *endpoint, at, true)
                }
                Entry::ToldUp { instance, endpoint } => books.turn(*instance, *endpoint, at, false),
                Entry::Cordoned {
                    instance,
                    endpoint,
                    out,
                } => {
                    books
                        .banned
                        .entry((*instance, *endpoint))
                        .or_default()
                        .push((at, *out));
                }
                Entry::Started { endpoint } => books.starts.entry(*endpoint).or_default().push(at),
                Entry::Probed { endpoint } => books.probes.push((at, *endpoint)),
                Entry::Killed { instance } => {
                    let mut open = books.commands.iter_mut();
                    let open = open
                        .by_ref()
                        .filter(|c| c.instance == *instance && c.asked <= at);
                    open.filter(|c| c.answers.is_empty())
                        .for_each(|c| c.lost = true);
                }
                Entry::Mixed { cmd } => {
                    books
                        .wrong
                        .push((at, format!("command {cmd} was given the answer to another")));
                }
                Entry::Crashed { instance } => {
                    books.wrong.push((
                        at,
                        format!("the process of instance {instance} did not end in order"),
                    ));
                }
                Entry::Asked { .. } | Entry::Sent { .. } => {}
            }
        }
        books
    }
}

fn put<T: Clone>(all: &mut Vec<T>, at: usize, one: T) {
    if at >= all.len() {
        all.resize(at + 1, one.clone());
    }
    all[at] = one;
}

impl Books {
    /// Told once more is not told anew: the grace runs from the first word.
    fn turn(&mut self, instance: usize, endpoint: usize, at: Duration, away: bool) {
        let turns = self.away.entry((instance, endpoint)).or_default();
        if turns.last().is_none_or(|(_, before)| *before != away) {
            turns.push((at, away));
        }
    }

    /// All breaches, by rule and time.
    pub fn judge(&self, facts: &Facts) -> Vec<Breach> {
        let wrong = self.wrong.iter().cloned();
        let mut breaches: Vec<Breach> = wrong
            .map(|(at, what)| Breach {
                rule: Rule::OneAnswer,
                at,
                what,
            })
            .collect();
        for (n, c) in self.commands.iter().enumerate() {
            self.one_answer(n, c, facts, &mut breaches);
            self.effects(n, c, facts, &mut breaches);
            self.at_once(n, c, &mut breaches);
        }
        self.drains(facts, &mut breaches);
        for endpoint in 0..facts.endpoints.len() {
            let (most, at) = self.push(endpoint, facts);
            if most > facts.endpoints[endpoint].0.tip_multiple {
                let what =
                    format!("endpoint {endpoint} was offered {most:.2} times what it could do");
                breaches.push(Breach {
                    rule: Rule::ColdNotPushedOver,
                    at,
                    what,
                });
            }
        }
        breaches
    }

    fn one_answer(&self, n: CmdNo, c: &Told, facts: &Facts, out: &mut Vec<Breach>) {
        let mut breach = |at, what: String| {
            out.push(Breach {
                rule: Rule::OneAnswer,
                at,
                what,
            })
        };
        let end = c.asked + c.limit + facts.slack;
        match c.answers[..] {
            [] if c.left.is_some() || c.lost => {}
            [] => breach(end, format!("command {n} was never answered")),
            [(at, _)] if at > end => {
                breach(at, format!("command {n} was answered {:?} late", at - end))
            }
            [_] => {}
            [_, (at, _), ..] => breach(at, format!("command {n} has {} answers", c.answers.len())),
        }
        // The end for the sidecar: its answer, its client's leaving, or its client's limit.
        let over = c
            .answers
            .first()
            .map(|(at, _)| *at)
            .into_iter()
            .chain(c.left)
            .min();
        let over = over.map_or(end, |at| (at + facts.slack).min(end));
        if let Some(r) = c
            .relays
            .iter()
            .map(|r| &self.relays[*r])
            .find(|r| r.at > over)
        {
            breach(
                r.at,
                format!("command {n} was sent {:?} after its end", r.at - over),
            );
        }
    }

    fn effects(&self, n: CmdNo, c: &Told, facts: &Facts, out: &mut Vec<Breach>) {
        let verb = &facts.verbs[c.verb];
        if verb.effect == Effect::Pure {
            return;
        }
        let mut breach = |at, what: String| {
            out.push(Breach {
                rule: Rule::NoEffectTwice,
                at,
                what,
            })
        };
        let relays: Vec<&Sent> = c.relays.iter().map(|r| &self.relays[*r]).collect();
        let same = |a: &Sent, b: &Sent| {
            let ((_, zone, cell), (_, zone_b, cell_b)) =
                (&facts.endpoints[a.endpoint], &facts.endpoints[b.endpoint]);
            match verb.group {
                KeyGroup::All => true,
                KeyGroup::Zone => zone == zone_b,
                KeyGroup::Cell => zone == zone_b && cell == cell_b,
            }
        };
        // Sent anew although an earlier relay may have run, and nobody drops the repeat.
        for (k, later) in relays.iter().enumerate() {
            let doubtful =
                |r: &&&Sent| !r.ended.is_some_and(|(at, proven)| proven && at <= later.at);
            for earlier in relays[..k].iter().filter(doubtful) {
                let dropped = verb.effect == Effect::Receipted
                    && same(earlier, later)
                    && later.at - earlier.at <= verb.window;
                if !dropped {
                    let (a, b) = (earlier.endpoint, later.endpoint);
                    breach(
                        later.at,
                        format!("command {n} went to {b} while it may have run at {a}"),
                    );
                }
            }
        }
        // Effects that took place: a repeat that its group drops is none.
        let mut effects: Vec<&Sent> = Vec::new();
        for r in relays.iter().filter(|r| r.ran.is_some()) {
            let dropped = |e: &&Sent| {
                verb.effect == Effect::Receipted
                    && same(e, r)
                    && r.ran
                        .unwrap_or_default()
                        .abs_diff(e.ran.unwrap_or_default())
                        <= verb.window
            };
            if !effects.iter().any(dropped) {
                effects.push(r);
            }
        }
        if effects.len() > 1 {
            breach(
                effects[1].ran.unwrap_or_default(),
                format!("command {n} had {} effects", effects.len()),
            );
        }
        let declined = c.answers.iter().find(|(_, a)| *a == Answer::Declined);
        let any = verb.effect == Effect::Receipted && verb.group == KeyGroup::All;
        if let (Some((at, _)), false, false) = (declined, effects.is_empty(), any) {
            breach(*at, format!("command {n} was declined and ran"));
        }
    }

    /// Given up more than half of its time after it came, with nothing out for the last quarter of it.
    fn at_once(&self, n: CmdNo, c: &Told, out: &mut Vec<Breach>) {
        let Some((at, answer)) = c.answers.first().copied() else {
            return;
        };
        if answer == Answer::Answered || at - c.asked <= c.limit / 2 {
            return;
        }
        let ends = c
            .relays
            .iter()
            .map(|r| self.relays[*r].ended.map_or(at, |(end, _)| end.min(at)));
        let busy = ends.max().unwrap_or(c.asked);
        if at - busy > c.limit / 4 {
            let what = format!(
                "command {n} was kept for {:?} with nothing out, then given up",
                at - busy
            );
            out.push(Breach {
                rule: Rule::AnsweredAtOnce,
                at,
                what,
            });
        }
    }

    fn drains(&self, facts: &Facts, out: &mut Vec<Breach>) {
        for r in &self.relays {
            let instance = self.commands[r.cmd].instance;
            // The yes is said once it is in effect: there is no grace but for what is on its way.
            let bans = self
                .banned
                .get(&(instance, r.endpoint))
                .into_iter()
                .flatten();
            if let Some((told, true)) = bans.rev().find(|(told, _)| *told < r.at)
                && r.at > *told + facts.slack
            {
                let ago = r.at - *told;
                let what = format!(
                    "endpoint {} was sent to {ago:?} after instance {instance} took it out",
                    r.endpoint
                );
                out.push(Breach {
                    rule: Rule::NothingToDrained,
                    at: r.at,
                    what,
                });
            }
            let Some(turns) = self.away.get(&(instance, r.endpoint)) else {
                continue;
            };
            if let Some((told, true)) = turns.iter().rev().find(|(told, _)| *told <= r.at)
                && r.at > *told + facts.grace
            {
                let what = format!(
                    "endpoint {} was sent to {:?} after instance {instance} was told",
                    r.endpoint,
                    r.at - *told
                );
                out.push(Breach {
                    rule: Rule::NothingToDrained,
                    at: r.at,
                    what,
                });
            }
        }
    }

    /// The most that a cold endpoint was offered over its `tip_after`, in multiples of what it could do, and when.
    pub fn push(&self, endpoint: usize, facts: &Facts) -> (f64, Duration) {
        let make = &facts.endpoints[endpoint].0;
        let Some(starts) = self.starts.get(&endpoint) else {
            return (0.0, Duration::ZERO);
        };
        let mut sends: Vec<(Duration, f64)> = self
            .relays
            .iter()
            .filter(|r| r.endpoint == endpoint)
            .map(|r| (r.at, facts.verbs[self.commands[r.cmd].verb].work))
            .collect();
        sends.sort_by_key(|(at, _)| *at);
        let mut most = (0.0, Duration::ZERO);
        for start in starts {
            let mut window: VecDeque<(Duration, f64)> = VecDeque::new();
            let mut sum = 0.0;
            let cold = |at: Duration| at >= *start && at < *start + make.warm_within;
            for (at, work) in sends.iter().copied().filter(|(at, _)| cold(*at)) {
                window.push_back((at, work));
                sum += work;
                while window
                    .front()
                    .is_some_and(|(old, _)| *old + make.tip_after < at)
                {
                    sum -= window.pop_front().map_or(0.0, |(_, work)| work);
                }
                if at < *start + make.tip_after {
                    continue;
                }
                // What it could do over the window: the ramp is straight.
                let middle = at - make.tip_after / 2;
                let can = make.cores as f64 * make.speed * ramp(make, Some(*start), middle);
                let push = sum / (can * make.tip_after.as_secs_f64()).max(1e-9);
                if push > most.0 {
                    most = (push, at);
                }
            }
        }
        most
    }

    /// When an endpoint started cold.
    pub fn starts_of(&self, endpoint: usize) -> &[Duration] {
        self.starts.get(&endpoint).map_or(&[], Vec::as_slice)
    }

    /// The most requests that a cold endpoint got in any window of `tip_after`, against what doesn't push it over: the
    /// N that its settings allow there, and 2 x root of N + 2 for chance; 1 is the bound. Requests count by their
    /// class's work against the mean of the load.
    pub fn ramp(&self, endpoint: usize, facts: &Facts) -> (f64, Duration) {
        let make = &facts.endpoints[endpoint].0;
        let mut most = (0.0, Duration::ZERO);
        let starts = self.starts_of(endpoint);
        for (n, start) in starts.iter().copied().enumerate() {
            let end = starts
                .get(n + 1)
                .map_or(Duration::MAX, |next| *next)
                .min(start + make.warm_within);
            let sent = |r: &&Sent| r.endpoint == endpoint && r.at >= start && r.at < end;
            let mut sends: Vec<(Duration, f64)> = self
                .relays
                .iter()
                .filter(sent)
                .map(|r| {
                    (
                        r.at,
                        facts.verbs[self.commands[r.cmd].verb].work / facts.mean_work.max(1e-9),
                    )
                })
                .collect();
            sends.sort_by_key(|(at, _)| *at);
            let (mut first, mut count) = (0, 0.0);
            for (at, work) in sends.iter().copied() {
                count += work;
                while sends[first].0 + make.tip_after <= at {
                    count -= sends[first].1;
                    first += 1;
                }
                // The ramp is straight: over the window it is in the mean as in the middle.
                let middle = at.saturating_sub(make.tip_after / 2).max(start);
                let can = make.cores as f64 * make.speed * ramp(make, Some(start), middle);
                let n = make.tip_multiple * can * make.tip_after.as_secs_f64()
                    / facts.mean_work.max(1e-9);
                let share = count / (n + 2.0 * n.sqrt() + 2.0);
                if share > most.0 {
                    most = (share, at);
                }
            }
        }
        most
    }
}

#[cfg(test)]
mod tests;
