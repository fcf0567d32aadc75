//! Records what clients, sidecars and endpoints exchanged, and checks the service's rules on it. It knows nothing of the
//! policies' decisions: the same history gives the same violations under any policy.

use crate::experiment::{DeduplicationScope, Effect, Plan};
use crate::model::{EndpointSpec, warm_up_factor};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Unique over the whole run, not only at one sidecar.
pub type CommandId = usize;
pub type RelayId = usize;

/// The final answer to a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The endpoint's answer.
    Answered,
    /// Refused by the sidecar: the command has had no effect, and the client may retry it.
    Refused,
    /// Given up by the sidecar: the command may have had an effect.
    Failed,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Entry {
    /// A client sends a command. Retries have the id of the first command of their chain.
    CommandArrived {
        command: CommandId,
        chain: CommandId,
        class: usize,
        instance: usize,
        time_limit: Duration,
    },
    /// The client receives a final answer.
    Answered {
        command: CommandId,
        answer: Answer,
    },
    /// The client gives up without an answer.
    ClientLeft {
        command: CommandId,
    },
    RelaySent {
        relay: RelayId,
        command: CommandId,
        endpoint: usize,
    },
    /// The relay has ended at its sidecar; `never_ran` if it is certain that it has not run.
    RelayEnded {
        relay: RelayId,
        never_ran: bool,
    },
    /// The endpoint has started the relay's job.
    JobStarted {
        relay: RelayId,
    },
    /// An instance receives a list update by which this endpoint drains or has left.
    ListedAway {
        instance: usize,
        endpoint: usize,
    },
    /// An instance receives a list update by which this endpoint is up.
    ListedUp {
        instance: usize,
        endpoint: usize,
    },
    /// An instance has confirmed to operators that this endpoint is cordoned, or no longer so.
    Cordoned {
        instance: usize,
        endpoint: usize,
        cordoned: bool,
    },
    /// An endpoint's process starts cold.
    EndpointStarted {
        endpoint: usize,
    },
    ProbeSent {
        endpoint: usize,
    },
    /// The sidecar's process is killed by a fault: the commands that it held are lost, which breaks no rule.
    SidecarKilled {
        instance: usize,
    },
    /// A client receives an answer that no endpoint made for its command.
    AnswerMixedUp {
        command: CommandId,
    },
    /// A sidecar's process ended by itself, or with a failure when it was stopped.
    SidecarCrashed {
        instance: usize,
    },
}

/// A rule of the service that is checked on the history of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Each command gets one answer in time, and nothing is sent for it after its end.
    OneAnswer,
    /// The effect of a command takes place once at most.
    NoDuplicateEffect,
    /// Nothing is sent to endpoints that are cordoned, draining or gone.
    NothingToDrained,
    /// A cold endpoint is not offered more work than a multiple of its capacity.
    ColdNotOverloaded,
    /// A command that is given up is answered without delay.
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

/// A violation of a rule. JSON reports contain the text of `message`: it stays the same, so that reports of two versions
/// can be compared.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub time: Duration,
    pub message: String,
}

/// A command with its answers and relays.
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
    pub lost_with_sidecar: bool, // its sidecar was killed before an answer
}

#[derive(Debug, Clone, PartialEq)]
pub struct RelayRecord {
    pub command: CommandId,
    pub endpoint: usize,
    pub sent_at: Duration,
    pub ended: Option<(Duration, bool)>, // when, and whether it certainly never ran
    pub started_at: Option<Duration>,    // of its job at the endpoint
}

/// Entries of a run. They may be recorded out of order of time, as several tasks write them.
#[derive(Debug, Default, Clone)]
pub struct Ledger {
    entries: Vec<(Duration, Entry)>,
}

/// The entries of a ledger by command, relay and endpoint.
#[derive(Debug, Default)]
pub struct History {
    pub commands: Vec<CommandRecord>,
    pub relays: Vec<RelayRecord>,
    pub probes: Vec<(Duration, usize)>,
    direct_violations: Vec<(Duration, String)>, // of Rule::OneAnswer, by entries that break it by themselves
    listed_away: HashMap<(usize, usize), Vec<(Duration, bool)>>, // by instance and endpoint: listed as draining or gone (true), or as up
    cordoned: HashMap<(usize, usize), Vec<(Duration, bool)>>, // by instance and endpoint: cordoned (true) or uncordoned
    cold_starts: HashMap<usize, Vec<Duration>>,
}

/// What the rules depend on beside the history.
#[derive(Debug, Clone)]
pub struct RuleContext {
    pub classes: Vec<ClassRules>,
    /// Mean work of a command over the load, in seconds of a core.
    pub mean_work: f64,
    pub endpoints: Vec<(EndpointSpec, usize, usize)>, // with zone and cell
    pub drain_grace: Duration,
    /// How much later than its time limit an answer may reach its client: delays of the machine on sockets, zero in
    /// virtual time.
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
        let class = |v: &crate::experiment::ClassPlan| ClassRules {
            effect: v.effect,
            deduplication_scope: v.deduplication_scope,
            deduplication_window: v.deduplication_window,
            mean_work: v.mean_work,
        };
        let shares: f64 = plan.classes.iter().map(|class| class.share).sum();
        RuleContext {
            classes: plan.classes.iter().map(class).collect(),
            mean_work: plan
                .classes
                .iter()
                .map(|class| class.mean_work * class.share)
                .sum::<f64>()
                / shares.max(1e-9),
            endpoints: plan
                .endpoints
                .iter()
                .map(|entry| (entry.spec.clone(), entry.zone, entry.cell))
                .collect(),
            drain_grace: plan.drain_grace,
            slack,
        }
    }
}

impl Ledger {
    pub fn record(&mut self, time: Duration, entry: Entry) {
        self.entries.push((time, entry));
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Numbers of commands that arrived, were answered, refused and failed so far.
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        let count = |which: fn(&Entry) -> bool| {
            self.entries
                .iter()
                .filter(|(_, entry)| which(entry))
                .count()
        };
        (
            count(|entry| matches!(entry, Entry::CommandArrived { .. })),
            count(|entry| {
                matches!(
                    entry,
                    Entry::Answered {
                        answer: Answer::Answered,
                        ..
                    }
                )
            }),
            count(|entry| {
                matches!(
                    entry,
                    Entry::Answered {
                        answer: Answer::Refused,
                        ..
                    }
                )
            }),
            count(|entry| {
                matches!(
                    entry,
                    Entry::Answered {
                        answer: Answer::Failed,
                        ..
                    }
                )
            }),
        )
    }

    /// When the first instance received an update by which an endpoint drains or has left.
    pub fn first_listed_away(&self, endpoint: usize) -> Option<Duration> {
        let listed_away = |(time, entry): &(Duration, Entry)| match entry {
            Entry::ListedAway {
                endpoint: listed, ..
            } if *listed == endpoint => Some(*time),
            _ => None,
        };
        self.entries.iter().filter_map(listed_away).min()
    }

    pub fn history(&self) -> History {
        let mut history = History::default();
        let mut sorted: Vec<&(Duration, Entry)> = self.entries.iter().collect();
        sorted.sort_by_key(|(time, _)| *time);
        // Commands and relays first: other entries about them may have the same time.
        for (time, entry) in &sorted {
            match entry {
                Entry::CommandArrived {
                    command,
                    chain,
                    class,
                    instance,
                    time_limit,
                } => {
                    let record = CommandRecord {
                        chain: *chain,
                        class: *class,
                        instance: *instance,
                        arrived_at: *time,
                        time_limit: *time_limit,
                        answers: Vec::new(),
                        client_left_at: None,
                        relays: Vec::new(),
                        lost_with_sidecar: false,
                    };
                    put(&mut history.commands, *command, record);
                }
                Entry::RelaySent {
                    relay,
                    command,
                    endpoint,
                } => {
                    let record = RelayRecord {
                        command: *command,
                        endpoint: *endpoint,
                        sent_at: *time,
                        ended: None,
                        started_at: None,
                    };
                    put(&mut history.relays, *relay, record);
                }
                _ => {}
            }
        }
        for (n, relay) in history.relays.iter().enumerate() {
            history.commands[relay.command].relays.push(n);
        }
        for (time, entry) in sorted {
            let time = *time;
            match entry {
                Entry::Answered { command, answer } => {
                    history.commands[*command].answers.push((time, *answer))
                }
                Entry::ClientLeft { command } => {
                    history.commands[*command].client_left_at = Some(time)
                }
                Entry::RelayEnded { relay, never_ran } => {
                    history.relays[*relay].ended = Some((time, *never_ran))
                }
                Entry::JobStarted { relay } => history.relays[*relay].started_at = Some(time),
                Entry::ListedAway { instance, endpoint } => {
                    history.record_listing(*instance, *endpoint, time, true)
                }
                Entry::ListedUp { instance, endpoint } => {
                    history.record_listing(*instance, *endpoint, time, false)
                }
                Entry::Cordoned {
                    instance,
                    endpoint,
                    cordoned,
                } => {
                    history
                        .cordoned
                        .entry((*instance, *endpoint))
                        .or_default()
                        .push((time, *cordoned));
                }
                Entry::EndpointStarted { endpoint } => {
                    history.cold_starts.entry(*endpoint).or_default().push(time)
                }
                Entry::ProbeSent { endpoint } => history.probes.push((time, *endpoint)),
                Entry::SidecarKilled { instance } => {
                    let mut commands = history.commands.iter_mut();
                    let arrived = commands
                        .by_ref()
                        .filter(|c| c.instance == *instance && c.arrived_at <= time);
                    arrived
                        .filter(|c| c.answers.is_empty())
                        .for_each(|c| c.lost_with_sidecar = true);
                }
                Entry::AnswerMixedUp { command } => {
                    history.direct_violations.push((
                        time,
                        format!("command {command} was given the answer to another"),
                    ));
                }
                Entry::SidecarCrashed { instance } => {
                    history.direct_violations.push((
                        time,
                        format!("the process of instance {instance} did not end in order"),
                    ));
                }
                Entry::CommandArrived { .. } | Entry::RelaySent { .. } => {}
            }
        }
        history
    }
}

/// Sets an element of a list that is filled in any order.
fn put<T: Clone>(list: &mut Vec<T>, index: usize, value: T) {
    if index >= list.len() {
        list.resize(index + 1, value.clone());
    }
    list[index] = value;
}

impl History {
    /// Records a listed state. The drain grace runs from the first update with that state: repeats are ignored.
    fn record_listing(&mut self, instance: usize, endpoint: usize, time: Duration, away: bool) {
        let updates = self.listed_away.entry((instance, endpoint)).or_default();
        if updates.last().is_none_or(|(_, before)| *before != away) {
            updates.push((time, away));
        }
    }

    /// All violations of the rules.
    pub fn check_rules(&self, context: &RuleContext) -> Vec<Violation> {
        let direct = self.direct_violations.iter().cloned();
        let mut violations: Vec<Violation> = direct
            .map(|(time, message)| Violation {
                rule: Rule::OneAnswer,
                time,
                message,
            })
            .collect();
        for (id, command) in self.commands.iter().enumerate() {
            self.check_one_answer(id, command, context, &mut violations);
            self.check_effects(id, command, context, &mut violations);
            self.check_prompt_refusal(id, command, &mut violations);
        }
        self.check_drained(context, &mut violations);
        for endpoint in 0..context.endpoints.len() {
            let (highest, time) = self.cold_overload(endpoint, context);
            if highest > context.endpoints[endpoint].0.overload_multiple {
                let message =
                    format!("endpoint {endpoint} was offered {highest:.2} times what it could do");
                violations.push(Violation {
                    rule: Rule::ColdNotOverloaded,
                    time,
                    message,
                });
            }
        }
        violations
    }

    /// Each command gets one answer within its time limit, and no relay is sent after its end.
    fn check_one_answer(
        &self,
        id: CommandId,
        command: &CommandRecord,
        context: &RuleContext,
        violations: &mut Vec<Violation>,
    ) {
        let mut report = |time, message: String| {
            violations.push(Violation {
                rule: Rule::OneAnswer,
                time,
                message,
            })
        };
        let end = command.arrived_at + command.time_limit + context.slack;
        match command.answers[..] {
            [] if command.client_left_at.is_some() || command.lost_with_sidecar => {}
            [] => report(end, format!("command {id} was never answered")),
            [(time, _)] if time > end => report(
                time,
                format!("command {id} was answered {:?} late", time - end),
            ),
            [_] => {}
            [_, (time, _), ..] => report(
                time,
                format!("command {id} has {} answers", command.answers.len()),
            ),
        }
        // The command ends for its sidecar with the answer, the client giving up, or the time limit.
        let end_for_sidecar = command
            .answers
            .first()
            .map(|(time, _)| *time)
            .into_iter()
            .chain(command.client_left_at)
            .min();
        let end_for_sidecar = end_for_sidecar.map_or(end, |time| (time + context.slack).min(end));
        if let Some(relay) = command
            .relays
            .iter()
            .map(|relay| &self.relays[*relay])
            .find(|relay| relay.sent_at > end_for_sidecar)
        {
            report(
                relay.sent_at,
                format!(
                    "command {id} was sent {:?} after its end",
                    relay.sent_at - end_for_sidecar
                ),
            );
        }
    }

    /// The effect of a command takes place at most once, and not at all if it was refused.
    fn check_effects(
        &self,
        id: CommandId,
        command: &CommandRecord,
        context: &RuleContext,
        violations: &mut Vec<Violation>,
    ) {
        let class = &context.classes[command.class];
        if class.effect == Effect::Safe {
            return;
        }
        let mut report = |time, message: String| {
            violations.push(Violation {
                rule: Rule::NoDuplicateEffect,
                time,
                message,
            })
        };
        let relays: Vec<&RelayRecord> = command
            .relays
            .iter()
            .map(|relay| &self.relays[*relay])
            .collect();
        let same_scope = |a: &RelayRecord, b: &RelayRecord| {
            let ((_, zone, cell), (_, zone_b, cell_b)) = (
                &context.endpoints[a.endpoint],
                &context.endpoints[b.endpoint],
            );
            match class.deduplication_scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => zone == zone_b,
                DeduplicationScope::Cell => zone == zone_b && cell == cell_b,
            }
        };
        // A relay that was sent although an earlier one may have run, where no key deduplicates them.
        for (position, later) in relays.iter().enumerate() {
            let may_have_run = |relay: &&&RelayRecord| {
                !relay
                    .ended
                    .is_some_and(|(time, never_ran)| never_ran && time <= later.sent_at)
            };
            for earlier in relays[..position].iter().filter(may_have_run) {
                let deduplicated = class.effect == Effect::Keyed
                    && same_scope(earlier, later)
                    && later.sent_at - earlier.sent_at <= class.deduplication_window;
                if !deduplicated {
                    let (a, b) = (earlier.endpoint, later.endpoint);
                    report(
                        later.sent_at,
                        format!("command {id} went to {b} while it may have run at {a}"),
                    );
                }
            }
        }
        // Effects that took place. A repeat that is deduplicated by its key has none.
        let mut effects: Vec<&RelayRecord> = Vec::new();
        for relay in relays.iter().filter(|relay| relay.started_at.is_some()) {
            let deduplicated = |earlier: &&RelayRecord| {
                class.effect == Effect::Keyed
                    && same_scope(earlier, relay)
                    && relay
                        .started_at
                        .unwrap_or_default()
                        .abs_diff(earlier.started_at.unwrap_or_default())
                        <= class.deduplication_window
            };
            if !effects.iter().any(deduplicated) {
                effects.push(relay);
            }
        }
        if effects.len() > 1 {
            report(
                effects[1].started_at.unwrap_or_default(),
                format!("command {id} had {} effects", effects.len()),
            );
        }
        let refusal = command.answers.iter().find(|(_, a)| *a == Answer::Refused);
        let deduplicated_everywhere =
            class.effect == Effect::Keyed && class.deduplication_scope == DeduplicationScope::All;
        if let (Some((time, _)), false, false) =
            (refusal, effects.is_empty(), deduplicated_everywhere)
        {
            report(*time, format!("command {id} was declined and ran"));
        }
    }

    /// A command must not be given up after more than half of its time limit if it had no relay out for the
    /// last quarter of that limit.
    fn check_prompt_refusal(
        &self,
        id: CommandId,
        command: &CommandRecord,
        violations: &mut Vec<Violation>,
    ) {
        let Some((time, answer)) = command.answers.first().copied() else {
            return;
        };
        if answer == Answer::Answered || time - command.arrived_at <= command.time_limit / 2 {
            return;
        }
        let relay_ends = command.relays.iter().map(|relay| {
            self.relays[*relay]
                .ended
                .map_or(time, |(end, _)| end.min(time))
        });
        let last_relay_end = relay_ends.max().unwrap_or(command.arrived_at);
        if time - last_relay_end > command.time_limit / 4 {
            let message = format!(
                "command {id} was kept for {:?} with nothing out, then given up",
                time - last_relay_end
            );
            violations.push(Violation {
                rule: Rule::AnsweredAtOnce,
                time,
                message,
            });
        }
    }

    /// No relay is sent to an endpoint that its instance has cordoned, or that was listed as draining or gone longer than
    /// the grace ago.
    fn check_drained(&self, context: &RuleContext, violations: &mut Vec<Violation>) {
        for relay in &self.relays {
            let instance = self.commands[relay.command].instance;
            // Sidecars confirm a cordon once it is in force, so no grace applies but the slack.
            let cordons = self
                .cordoned
                .get(&(instance, relay.endpoint))
                .into_iter()
                .flatten();
            if let Some((cordoned_at, true)) = cordons.rev().find(|(time, _)| *time < relay.sent_at)
                && relay.sent_at > *cordoned_at + context.slack
            {
                let delay = relay.sent_at - *cordoned_at;
                let message = format!(
                    "endpoint {} was sent to {delay:?} after instance {instance} took it out",
                    relay.endpoint
                );
                violations.push(Violation {
                    rule: Rule::NothingToDrained,
                    time: relay.sent_at,
                    message,
                });
            }
            let Some(updates) = self.listed_away.get(&(instance, relay.endpoint)) else {
                continue;
            };
            if let Some((listed_at, true)) = updates
                .iter()
                .rev()
                .find(|(time, _)| *time <= relay.sent_at)
                && relay.sent_at > *listed_at + context.drain_grace
            {
                let message = format!(
                    "endpoint {} was sent to {:?} after instance {instance} was told",
                    relay.endpoint,
                    relay.sent_at - *listed_at
                );
                violations.push(Violation {
                    rule: Rule::NothingToDrained,
                    time: relay.sent_at,
                    message,
                });
            }
        }
    }

    /// The most work that a cold endpoint was offered over its `overload_window`, in multiples of its capacity, and when.
    pub fn cold_overload(&self, endpoint: usize, context: &RuleContext) -> (f64, Duration) {
        let spec = &context.endpoints[endpoint].0;
        let Some(starts) = self.cold_starts.get(&endpoint) else {
            return (0.0, Duration::ZERO);
        };
        let mut sends: Vec<(Duration, f64)> = self
            .relays
            .iter()
            .filter(|relay| relay.endpoint == endpoint)
            .map(|relay| {
                (
                    relay.sent_at,
                    context.classes[self.commands[relay.command].class].mean_work,
                )
            })
            .collect();
        sends.sort_by_key(|(time, _)| *time);
        let mut highest = (0.0, Duration::ZERO);
        for start in starts {
            let mut window: VecDeque<(Duration, f64)> = VecDeque::new();
            let mut sum = 0.0;
            let cold = |time: Duration| time >= *start && time < *start + spec.warm_up_time;
            for (time, work) in sends.iter().copied().filter(|(time, _)| cold(*time)) {
                window.push_back((time, work));
                sum += work;
                while window
                    .front()
                    .is_some_and(|(old, _)| *old + spec.overload_window < time)
                {
                    sum -= window.pop_front().map_or(0.0, |(_, work)| work);
                }
                if time < *start + spec.overload_window {
                    continue;
                }
                // Its mean capacity over the window: the warm-up is linear, so that is the one in the middle.
                let middle = time - spec.overload_window / 2;
                let capacity =
                    spec.cores as f64 * spec.speed * warm_up_factor(spec, Some(*start), middle);
                let load = sum / (capacity * spec.overload_window.as_secs_f64()).max(1e-9);
                if load > highest.0 {
                    highest = (load, time);
                }
            }
        }
        highest
    }

    /// When an endpoint started cold.
    pub fn cold_starts_of(&self, endpoint: usize) -> &[Duration] {
        self.cold_starts.get(&endpoint).map_or(&[], Vec::as_slice)
    }

    /// The most commands that a cold endpoint got in any window of `overload_window`, as a share of the bound: the number N
    /// that its settings allow there, plus 2 x sqrt(N) + 2 for chance. Commands are weighted by the mean work of their
    /// class over that of the load.
    pub fn cold_start_load(&self, endpoint: usize, context: &RuleContext) -> (f64, Duration) {
        let spec = &context.endpoints[endpoint].0;
        let mut highest = (0.0, Duration::ZERO);
        let starts = self.cold_starts_of(endpoint);
        for (index, start) in starts.iter().copied().enumerate() {
            let end = starts
                .get(index + 1)
                .map_or(Duration::MAX, |next| *next)
                .min(start + spec.warm_up_time);
            let sent = |relay: &&RelayRecord| {
                relay.endpoint == endpoint && relay.sent_at >= start && relay.sent_at < end
            };
            let mut sends: Vec<(Duration, f64)> = self
                .relays
                .iter()
                .filter(sent)
                .map(|relay| {
                    (
                        relay.sent_at,
                        context.classes[self.commands[relay.command].class].mean_work
                            / context.mean_work.max(1e-9),
                    )
                })
                .collect();
            sends.sort_by_key(|(time, _)| *time);
            let (mut first, mut count) = (0, 0.0);
            for (time, work) in sends.iter().copied() {
                count += work;
                while sends[first].0 + spec.overload_window <= time {
                    count -= sends[first].1;
                    first += 1;
                }
                // The warm-up is linear: the mean over the window is the value in its middle.
                let middle = time.saturating_sub(spec.overload_window / 2).max(start);
                let capacity =
                    spec.cores as f64 * spec.speed * warm_up_factor(spec, Some(start), middle);
                let allowed =
                    spec.overload_multiple * capacity * spec.overload_window.as_secs_f64()
                        / context.mean_work.max(1e-9);
                let share = count / (allowed + 2.0 * allowed.sqrt() + 2.0);
                if share > highest.0 {
                    highest = (share, time);
                }
            }
        }
        highest
    }
}

#[cfg(test)]
mod tests;
