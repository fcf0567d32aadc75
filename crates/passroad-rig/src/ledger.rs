//! What went over the wire, and whether the rules were kept. It knows nothing of decisions: whoever decided, the same
//! history has the same verdict.

use crate::experiment::{DeduplicationScope, Effect, Plan};
use crate::model::{EndpointSpec, warm_up_factor};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Numbers of the whole day, not of one sidecar.
pub type CommandId = usize;
pub type RelayId = usize;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Answered,
    Refused,
    Failed,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Entry {
    /// A client sends a command; later tries of the same belong to one chain and say which one they follow.
    CommandArrived {
        command: CommandId,
        chain: CommandId,
        class: usize,
        instance: usize,
        time_limit: Duration,
    },
    /// The client has its one final answer.
    Answered {
        command: CommandId,
        answer: Answer,
    },
    /// The client went away without one, of its own will.
    ClientLeft {
        command: CommandId,
    },
    RelaySent {
        relay: RelayId,
        command: CommandId,
        endpoint: usize,
    },
    /// Nothing of this relay is out any more at its sidecar; `proven` that it has not run.
    RelayEnded {
        relay: RelayId,
        never_ran: bool,
    },
    /// The endpoint began on it.
    JobStarted {
        relay: RelayId,
    },
    /// A list reached an instance: this endpoint drains, or has left.
    ListedAway {
        instance: usize,
        endpoint: usize,
    },
    /// The same: it is up.
    ListedUp {
        instance: usize,
        endpoint: usize,
    },
    /// An instance has said yes to operators: this endpoint is out by hand, or back.
    Cordoned {
        instance: usize,
        endpoint: usize,
        cordoned: bool,
    },
    /// A process that starts cold.
    EndpointStarted {
        endpoint: usize,
    },
    ProbeSent {
        endpoint: usize,
    },
    /// The sidecar's process was killed: what it held is lost through no fault of its own.
    SidecarKilled {
        instance: usize,
    },
    /// A client was given an answer that no endpoint made for its command.
    AnswerMixedUp {
        command: CommandId,
    },
    /// A sidecar's process ended by itself, or not in order when it was told to.
    SidecarCrashed {
        instance: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    OneAnswer,
    NoDuplicateEffect,
    NothingToDrained,
    ColdNotOverloaded,
    AnsweredAtOnce,
}

impl Rule {
    pub const ALL: [Rule; 5] = [
        Rule::OneAnswer,
        Rule::NoDuplicateEffect,
        Rule::NothingToDrained,
        Rule::ColdNotOverloaded,
        Rule::AnsweredAtOnce,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one final answer in time",
            Rule::NoDuplicateEffect => "no effect twice",
            Rule::NothingToDrained => "nothing to a drained endpoint",
            Rule::ColdNotOverloaded => "a cold endpoint is not pushed over",
            Rule::AnsweredAtOnce => "what is given up is answered at once",
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub time: Duration,
    pub message: String,
}

/// One command, as the client and the wire saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandRecord {
    pub chain: CommandId,
    pub class: usize,
    pub instance: usize,
    pub arrived_at: Duration,
    pub time_limit: Duration,
    pub answers: Vec<(Duration, Answer)>,
    pub client_left_at: Option<Duration>,
    pub relays: Vec<RelayId>,
    pub lost_with_sidecar: bool, // with the process that held it
}

#[derive(Debug, Clone, PartialEq)]
pub struct RelayRecord {
    pub command: CommandId,
    pub endpoint: usize,
    pub sent_at: Duration,
    pub ended: Option<(Duration, bool)>,
    pub started_at: Option<Duration>,
}

/// The history of a day. Entries may come in any order of time where they come from several tasks.
#[derive(Debug, Default, Clone)]
pub struct Ledger {
    entries: Vec<(Duration, Entry)>,
}

/// The history sorted out: by command, by relay, by endpoint.
#[derive(Debug, Default)]
pub struct History {
    pub commands: Vec<CommandRecord>,
    pub relays: Vec<RelayRecord>,
    pub probes: Vec<(Duration, usize)>,
    direct_violations: Vec<(Duration, String)>, // what breaks the first rule by itself
    listed_away: HashMap<(usize, usize), Vec<(Duration, bool)>>, // by instance and endpoint: told away, or up again
    cordoned: HashMap<(usize, usize), Vec<(Duration, bool)>>,    // the same by operators
    cold_starts: HashMap<usize, Vec<Duration>>,
}

/// What the verdict needs to know beside the history.
#[derive(Debug, Clone)]
pub struct RuleContext {
    pub classes: Vec<ClassRules>,
    /// Seconds of a core that a request is in the mean of the load.
    pub mean_work: f64,
    pub endpoints: Vec<(EndpointSpec, usize, usize)>, // zone and cell
    pub drain_grace: Duration,
    /// How much later than its limit an answer may reach its client: what the machine adds, nothing in virtual time.
    pub slack: Duration,
}

#[derive(Debug, Clone)]
pub struct ClassRules {
    pub effect: Effect,
    pub deduplication_scope: DeduplicationScope,
    pub deduplication_window: Duration,
    pub mean_work: f64,
}

impl RuleContext {
    pub fn from_plan(plan: &Plan, slack: Duration) -> Self {
        let verb = |v: &crate::experiment::ClassPlan| ClassRules {
            effect: v.effect,
            deduplication_scope: v.deduplication_scope,
            deduplication_window: v.deduplication_window,
            mean_work: v.mean_work,
        };
        let shares: f64 = plan.classes.iter().map(|v| v.share).sum();
        RuleContext {
            classes: plan.classes.iter().map(verb).collect(),
            mean_work: plan
                .classes
                .iter()
                .map(|v| v.mean_work * v.share)
                .sum::<f64>()
                / shares.max(1e-9),
            endpoints: plan
                .endpoints
                .iter()
                .map(|e| (e.spec.clone(), e.zone, e.cell))
                .collect(),
            drain_grace: plan.drain_grace,
            slack,
        }
    }
}

impl Ledger {
    pub fn record(&mut self, at: Duration, entry: Entry) {
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
            count(|e| matches!(e, Entry::CommandArrived { .. })),
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
                        answer: Answer::Refused,
                        ..
                    }
                )
            }),
            count(|e| {
                matches!(
                    e,
                    Entry::Answered {
                        answer: Answer::Failed,
                        ..
                    }
                )
            }),
        )
    }

    /// When an instance was first told that an endpoint drains or has left.
    pub fn first_listed_away(&self, endpoint: usize) -> Option<Duration> {
        let told = |(at, entry): &(Duration, Entry)| match entry {
            Entry::ListedAway { endpoint: e, .. } if *e == endpoint => Some(*at),
            _ => None,
        };
        self.entries.iter().filter_map(told).min()
    }

    pub fn history(&self) -> History {
        let mut books = History::default();
        let mut sorted: Vec<&(Duration, Entry)> = self.entries.iter().collect();
        sorted.sort_by_key(|(at, _)| *at);
        // Commands and relays first: what is said of them may carry the same time.
        for (at, entry) in &sorted {
            match entry {
                Entry::CommandArrived {
                    command: cmd,
                    chain,
                    class: verb,
                    instance,
                    time_limit: limit,
                } => {
                    let told = CommandRecord {
                        chain: *chain,
                        class: *verb,
                        instance: *instance,
                        arrived_at: *at,
                        time_limit: *limit,
                        answers: Vec::new(),
                        client_left_at: None,
                        relays: Vec::new(),
                        lost_with_sidecar: false,
                    };
                    put(&mut books.commands, *cmd, told);
                }
                Entry::RelaySent {
                    relay,
                    command: cmd,
                    endpoint,
                } => {
                    let sent = RelayRecord {
                        command: *cmd,
                        endpoint: *endpoint,
                        sent_at: *at,
                        ended: None,
                        started_at: None,
                    };
                    put(&mut books.relays, *relay, sent);
                }
                _ => {}
            }
        }
        for (n, relay) in books.relays.iter().enumerate() {
            books.commands[relay.command].relays.push(n);
        }
        for (at, entry) in sorted {
            let at = *at;
            match entry {
                Entry::Answered {
                    command: cmd,
                    answer,
                } => books.commands[*cmd].answers.push((at, *answer)),
                Entry::ClientLeft { command: cmd } => {
                    books.commands[*cmd].client_left_at = Some(at)
                }
                Entry::RelayEnded {
                    relay,
                    never_ran: proven,
                } => books.relays[*relay].ended = Some((at, *proven)),
                Entry::JobStarted { relay } => books.relays[*relay].started_at = Some(at),
                Entry::ListedAway { instance, endpoint } => {
                    books.record_listing(*instance, *endpoint, at, true)
                }
                Entry::ListedUp { instance, endpoint } => {
                    books.record_listing(*instance, *endpoint, at, false)
                }
                Entry::Cordoned {
                    instance,
                    endpoint,
                    cordoned: out,
                } => {
                    books
                        .cordoned
                        .entry((*instance, *endpoint))
                        .or_default()
                        .push((at, *out));
                }
                Entry::EndpointStarted { endpoint } => {
                    books.cold_starts.entry(*endpoint).or_default().push(at)
                }
                Entry::ProbeSent { endpoint } => books.probes.push((at, *endpoint)),
                Entry::SidecarKilled { instance } => {
                    let mut open = books.commands.iter_mut();
                    let open = open
                        .by_ref()
                        .filter(|c| c.instance == *instance && c.arrived_at <= at);
                    open.filter(|c| c.answers.is_empty())
                        .for_each(|c| c.lost_with_sidecar = true);
                }
                Entry::AnswerMixedUp { command: cmd } => {
                    books
                        .direct_violations
                        .push((at, format!("command {cmd} was given the answer to another")));
                }
                Entry::SidecarCrashed { instance } => {
                    books.direct_violations.push((
                        at,
                        format!("the process of instance {instance} did not end in order"),
                    ));
                }
                Entry::CommandArrived { .. } | Entry::RelaySent { .. } => {}
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

impl History {
    /// Told once more is not told anew: the grace runs from the first word.
    fn record_listing(&mut self, instance: usize, endpoint: usize, at: Duration, away: bool) {
        let turns = self.listed_away.entry((instance, endpoint)).or_default();
        if turns.last().is_none_or(|(_, before)| *before != away) {
            turns.push((at, away));
        }
    }

    /// All breaches, by rule and time.
    pub fn check_rules(&self, facts: &RuleContext) -> Vec<Violation> {
        let wrong = self.direct_violations.iter().cloned();
        let mut breaches: Vec<Violation> = wrong
            .map(|(at, what)| Violation {
                rule: Rule::OneAnswer,
                time: at,
                message: what,
            })
            .collect();
        for (n, c) in self.commands.iter().enumerate() {
            self.check_one_answer(n, c, facts, &mut breaches);
            self.check_effects(n, c, facts, &mut breaches);
            self.check_prompt_refusal(n, c, &mut breaches);
        }
        self.check_drained(facts, &mut breaches);
        for endpoint in 0..facts.endpoints.len() {
            let (most, at) = self.cold_overload(endpoint, facts);
            if most > facts.endpoints[endpoint].0.overload_multiple {
                let what =
                    format!("endpoint {endpoint} was offered {most:.2} times what it could do");
                breaches.push(Violation {
                    rule: Rule::ColdNotOverloaded,
                    time: at,
                    message: what,
                });
            }
        }
        breaches
    }

    fn check_one_answer(
        &self,
        n: CommandId,
        c: &CommandRecord,
        facts: &RuleContext,
        out: &mut Vec<Violation>,
    ) {
        let mut breach = |at, what: String| {
            out.push(Violation {
                rule: Rule::OneAnswer,
                time: at,
                message: what,
            })
        };
        let end = c.arrived_at + c.time_limit + facts.slack;
        match c.answers[..] {
            [] if c.client_left_at.is_some() || c.lost_with_sidecar => {}
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
            .chain(c.client_left_at)
            .min();
        let over = over.map_or(end, |at| (at + facts.slack).min(end));
        if let Some(r) = c
            .relays
            .iter()
            .map(|r| &self.relays[*r])
            .find(|r| r.sent_at > over)
        {
            breach(
                r.sent_at,
                format!("command {n} was sent {:?} after its end", r.sent_at - over),
            );
        }
    }

    fn check_effects(
        &self,
        n: CommandId,
        c: &CommandRecord,
        facts: &RuleContext,
        out: &mut Vec<Violation>,
    ) {
        let verb = &facts.classes[c.class];
        if verb.effect == Effect::Safe {
            return;
        }
        let mut breach = |at, what: String| {
            out.push(Violation {
                rule: Rule::NoDuplicateEffect,
                time: at,
                message: what,
            })
        };
        let relays: Vec<&RelayRecord> = c.relays.iter().map(|r| &self.relays[*r]).collect();
        let same = |a: &RelayRecord, b: &RelayRecord| {
            let ((_, zone, cell), (_, zone_b, cell_b)) =
                (&facts.endpoints[a.endpoint], &facts.endpoints[b.endpoint]);
            match verb.deduplication_scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => zone == zone_b,
                DeduplicationScope::Cell => zone == zone_b && cell == cell_b,
            }
        };
        // Sent anew although an earlier relay may have run, and nobody drops the repeat.
        for (k, later) in relays.iter().enumerate() {
            let doubtful = |r: &&&RelayRecord| {
                !r.ended
                    .is_some_and(|(at, proven)| proven && at <= later.sent_at)
            };
            for earlier in relays[..k].iter().filter(doubtful) {
                let dropped = verb.effect == Effect::Keyed
                    && same(earlier, later)
                    && later.sent_at - earlier.sent_at <= verb.deduplication_window;
                if !dropped {
                    let (a, b) = (earlier.endpoint, later.endpoint);
                    breach(
                        later.sent_at,
                        format!("command {n} went to {b} while it may have run at {a}"),
                    );
                }
            }
        }
        // Effects that took place: a repeat that its group drops is none.
        let mut effects: Vec<&RelayRecord> = Vec::new();
        for r in relays.iter().filter(|r| r.started_at.is_some()) {
            let dropped = |e: &&RelayRecord| {
                verb.effect == Effect::Keyed
                    && same(e, r)
                    && r.started_at
                        .unwrap_or_default()
                        .abs_diff(e.started_at.unwrap_or_default())
                        <= verb.deduplication_window
            };
            if !effects.iter().any(dropped) {
                effects.push(r);
            }
        }
        if effects.len() > 1 {
            breach(
                effects[1].started_at.unwrap_or_default(),
                format!("command {n} had {} effects", effects.len()),
            );
        }
        let declined = c.answers.iter().find(|(_, a)| *a == Answer::Refused);
        let any =
            verb.effect == Effect::Keyed && verb.deduplication_scope == DeduplicationScope::All;
        if let (Some((at, _)), false, false) = (declined, effects.is_empty(), any) {
            breach(*at, format!("command {n} was declined and ran"));
        }
    }

    /// Given up more than half of its time after it came, with nothing out for the last quarter of it.
    fn check_prompt_refusal(&self, n: CommandId, c: &CommandRecord, out: &mut Vec<Violation>) {
        let Some((at, answer)) = c.answers.first().copied() else {
            return;
        };
        if answer == Answer::Answered || at - c.arrived_at <= c.time_limit / 2 {
            return;
        }
        let ends = c
            .relays
            .iter()
            .map(|r| self.relays[*r].ended.map_or(at, |(end, _)| end.min(at)));
        let busy = ends.max().unwrap_or(c.arrived_at);
        if at - busy > c.time_limit / 4 {
            let what = format!(
                "command {n} was kept for {:?} with nothing out, then given up",
                at - busy
            );
            out.push(Violation {
                rule: Rule::AnsweredAtOnce,
                time: at,
                message: what,
            });
        }
    }

    fn check_drained(&self, facts: &RuleContext, out: &mut Vec<Violation>) {
        for r in &self.relays {
            let instance = self.commands[r.command].instance;
            // The yes is said once it is in effect: there is no grace but for what is on its way.
            let bans = self
                .cordoned
                .get(&(instance, r.endpoint))
                .into_iter()
                .flatten();
            if let Some((told, true)) = bans.rev().find(|(told, _)| *told < r.sent_at)
                && r.sent_at > *told + facts.slack
            {
                let ago = r.sent_at - *told;
                let what = format!(
                    "endpoint {} was sent to {ago:?} after instance {instance} took it out",
                    r.endpoint
                );
                out.push(Violation {
                    rule: Rule::NothingToDrained,
                    time: r.sent_at,
                    message: what,
                });
            }
            let Some(turns) = self.listed_away.get(&(instance, r.endpoint)) else {
                continue;
            };
            if let Some((told, true)) = turns.iter().rev().find(|(told, _)| *told <= r.sent_at)
                && r.sent_at > *told + facts.drain_grace
            {
                let what = format!(
                    "endpoint {} was sent to {:?} after instance {instance} was told",
                    r.endpoint,
                    r.sent_at - *told
                );
                out.push(Violation {
                    rule: Rule::NothingToDrained,
                    time: r.sent_at,
                    message: what,
                });
            }
        }
    }

    /// The most that a cold endpoint was offered over its `tip_after`, in multiples of what it could do, and when.
    pub fn cold_overload(&self, endpoint: usize, facts: &RuleContext) -> (f64, Duration) {
        let make = &facts.endpoints[endpoint].0;
        let Some(starts) = self.cold_starts.get(&endpoint) else {
            return (0.0, Duration::ZERO);
        };
        let mut sends: Vec<(Duration, f64)> = self
            .relays
            .iter()
            .filter(|r| r.endpoint == endpoint)
            .map(|r| {
                (
                    r.sent_at,
                    facts.classes[self.commands[r.command].class].mean_work,
                )
            })
            .collect();
        sends.sort_by_key(|(at, _)| *at);
        let mut most = (0.0, Duration::ZERO);
        for start in starts {
            let mut window: VecDeque<(Duration, f64)> = VecDeque::new();
            let mut sum = 0.0;
            let cold = |at: Duration| at >= *start && at < *start + make.warm_up_time;
            for (at, work) in sends.iter().copied().filter(|(at, _)| cold(*at)) {
                window.push_back((at, work));
                sum += work;
                while window
                    .front()
                    .is_some_and(|(old, _)| *old + make.overload_window < at)
                {
                    sum -= window.pop_front().map_or(0.0, |(_, work)| work);
                }
                if at < *start + make.overload_window {
                    continue;
                }
                // What it could do over the window: the ramp is straight.
                let middle = at - make.overload_window / 2;
                let can =
                    make.cores as f64 * make.speed * warm_up_factor(make, Some(*start), middle);
                let push = sum / (can * make.overload_window.as_secs_f64()).max(1e-9);
                if push > most.0 {
                    most = (push, at);
                }
            }
        }
        most
    }

    /// When an endpoint started cold.
    pub fn cold_starts_of(&self, endpoint: usize) -> &[Duration] {
        self.cold_starts.get(&endpoint).map_or(&[], Vec::as_slice)
    }

    /// The most requests that a cold endpoint got in any window of `tip_after`, against what doesn't push it over: the
    /// N that its settings allow there, and 2 x root of N + 2 for chance; 1 is the bound. Requests count by their
    /// class's work against the mean of the load.
    pub fn cold_start_load(&self, endpoint: usize, facts: &RuleContext) -> (f64, Duration) {
        let make = &facts.endpoints[endpoint].0;
        let mut most = (0.0, Duration::ZERO);
        let starts = self.cold_starts_of(endpoint);
        for (n, start) in starts.iter().copied().enumerate() {
            let end = starts
                .get(n + 1)
                .map_or(Duration::MAX, |next| *next)
                .min(start + make.warm_up_time);
            let sent =
                |r: &&RelayRecord| r.endpoint == endpoint && r.sent_at >= start && r.sent_at < end;
            let mut sends: Vec<(Duration, f64)> = self
                .relays
                .iter()
                .filter(sent)
                .map(|r| {
                    (
                        r.sent_at,
                        facts.classes[self.commands[r.command].class].mean_work
                            / facts.mean_work.max(1e-9),
                    )
                })
                .collect();
            sends.sort_by_key(|(at, _)| *at);
            let (mut first, mut count) = (0, 0.0);
            for (at, work) in sends.iter().copied() {
                count += work;
                while sends[first].0 + make.overload_window <= at {
                    count -= sends[first].1;
                    first += 1;
                }
                // The ramp is straight: over the window it is in the mean as in the middle.
                let middle = at.saturating_sub(make.overload_window / 2).max(start);
                let can =
                    make.cores as f64 * make.speed * warm_up_factor(make, Some(start), middle);
                let n = make.overload_multiple * can * make.overload_window.as_secs_f64()
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
