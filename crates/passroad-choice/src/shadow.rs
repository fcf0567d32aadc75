//! Shadow evaluation: beside the balancer that decides, a second one with another configuration is
//! given the same events. What it would have done is counted by kind and dropped; after each event
//! its state is aligned with what was done.

use crate::choice::Balancer;
use crate::choice::endpoint::Endpoint;
use crate::{Action, BalancerConfig, CommandIndex, EndpointIndex, Event, LearnedState};
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Decisions of the leading balancer, by what the shadow would have done.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ShadowCounts {
    /// The same decision.
    pub same: u64,
    /// Sent to another endpoint, by weight or by another random draw.
    pub elsewhere: u64,
    /// Sent, where the shadow would have refused or failed.
    pub refused: u64,
    /// Sent, where the shadow would have queued.
    pub queued: u64,
    /// Hedges that the shadow would not have sent.
    pub hedges: u64,
    /// Refused or failed, where the shadow would have sent or queued.
    pub admitted: u64,
    /// Still queued, where the shadow would have sent, refused or failed.
    pub earlier: u64,
    /// Probes that the shadow would not have sent.
    pub probes: u64,
}

impl fmt::Display for ShadowCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ShadowCounts {
            same,
            elsewhere,
            refused,
            queued,
            hedges,
            admitted,
            earlier,
            probes,
        } = self;
        write!(
            f,
            "same {same}, elsewhere {elsewhere}, turned away {refused}, waited {queued}, no copy {hedges}, \
             taken {admitted}, sooner {earlier}, no probe {probes}"
        )
    }
}

/// The balancer that decides, with a shadow beside it where a second configuration is given.
pub struct ShadowedBalancer {
    leader: Balancer,
    shadow: Option<Box<(Balancer, ShadowCounts)>>,
}

impl ShadowedBalancer {
    /// A balancer that decides by `config`, with a shadow if `shadow_config` is given.
    pub fn new(config: BalancerConfig, shadow_config: Option<BalancerConfig>) -> Self {
        let shadow =
            shadow_config.map(|config| Box::new((Balancer::new(config), ShadowCounts::default())));
        ShadowedBalancer {
            leader: Balancer::new(config),
            shadow,
        }
    }

    /// How an endpoint seems to the leading balancer; see [`Balancer::endpoint_load`].
    pub fn endpoint_load(&self, index: EndpointIndex) -> (Option<f64>, bool) {
        self.leader.endpoint_load(index)
    }

    /// What the leading balancer has learnt; see [`Balancer::learned_state`].
    pub fn learned_state(&self, id: impl Fn(EndpointIndex) -> Option<String>) -> LearnedState {
        self.leader.learned_state(id)
    }

    /// None where there is no shadow, or none any more.
    pub fn counts(&self) -> Option<ShadowCounts> {
        self.shadow.as_deref().map(|(_, counts)| *counts)
    }

    /// As [`Balancer::decide`]: returns the actions of the leading balancer alone.
    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let Some((shadow, counts)) = self.shadow.as_deref_mut() else {
            return self.leader.decide(now, event);
        };
        // The shadow makes the same random draws, as long as it makes as many.
        shadow.random_state = self.leader.random_state;
        // After a change of configuration the two may number classes differently.
        if matches!(event, Event::Reconfigured(_)) {
            self.shadow = None;
            return self.leader.decide(now, event);
        }
        let leader = &mut self.leader;
        let shadow_event = event.clone();
        let done = leader.decide(now, event);
        let evaluated = catch_unwind(AssertUnwindSafe(|| {
            let would_do = shadow.decide(now, shadow_event);
            counts.add(leader, &done, &would_do);
            shadow.align_with(now, leader, &done, &would_do);
        }));
        // Prevents a fault in the shadow from taking a command with it: the evaluation ends.
        if evaluated.is_err() {
            self.shadow = None;
        }
        done
    }
}

/// What some actions do with a command: send it to an endpoint, or refuse or fail it.
fn fate(actions: &[Action], command_index: CommandIndex) -> Option<Option<EndpointIndex>> {
    actions.iter().find_map(|action| match action {
        Action::Relay {
            command, endpoint, ..
        } if *command == command_index => Some(Some(*endpoint)),
        Action::Refuse { command, .. } | Action::Fail { command } if *command == command_index => {
            Some(None)
        }
        _ => None,
    })
}

impl ShadowCounts {
    fn add(&mut self, leader: &Balancer, done: &[Action], would_do: &[Action]) {
        let has_ended = |command: &CommandIndex| {
            let command = *command;
            matches!(fate(done, command), Some(None))
                || leader.open_command(command).is_none_or(|c| c.concluded)
        };
        let mut seen = Vec::new();
        for action in done.iter().chain(would_do) {
            let (Action::Relay { command, .. }
            | Action::Refuse { command, .. }
            | Action::Fail { command }) = action
            else {
                continue;
            };
            if seen.contains(command) {
                continue;
            }
            seen.push(*command);
            let is_hedge = leader
                .open_command(*command)
                .is_some_and(|c| c.relays.iter().filter(|r| r.outcome.is_none()).count() > 1);
            let count = match (fate(done, *command), fate(would_do, *command)) {
                (Some(a), Some(b)) if a == b => &mut self.same,
                (Some(Some(_)), Some(Some(_))) => &mut self.elsewhere,
                (Some(Some(_)), None) if is_hedge => &mut self.hedges,
                (Some(Some(_)), Some(None)) => &mut self.refused,
                (Some(Some(_)), None) => &mut self.queued,
                (Some(None), _) => &mut self.admitted,
                // The shadow may still act on a command that has ended.
                (None, _) if has_ended(command) => continue,
                (None, _) => &mut self.earlier,
            };
            *count += 1;
        }
        let probes = |actions: &[Action]| {
            actions
                .iter()
                .filter(|a| matches!(a, Action::Probe { .. }))
                .count()
        };
        self.probes += probes(done).saturating_sub(probes(would_do)) as u64;
    }
}

impl Balancer {
    /// Takes over what the leading balancer did in place of what this one would have done.
    pub(crate) fn align_with(
        &mut self,
        now: Duration,
        leader: &Balancer,
        done: &[Action],
        would_do: &[Action],
    ) {
        let over = 4 * Duration::from_secs(2);
        for (actions, take_back) in [(would_do, true), (done, false)] {
            for action in actions {
                let Action::Relay { endpoint, .. } = action else {
                    continue;
                };
                let Some(endpoint) = self.endpoints.get_mut(*endpoint) else {
                    continue;
                };
                if take_back {
                    endpoint.sends.undo_increment();
                    self.sends_short.undo_increment();
                    self.sends_long.undo_increment();
                    endpoint.load -= 1.0;
                } else {
                    endpoint.sends.increment(now, over);
                    self.sends_short.increment(now, over / 4);
                    self.sends_long.increment(now, over);
                    endpoint.load = endpoint.load.max(0.0) + 1.0;
                }
            }
        }
        // Each keeps its own keys: the leader's configuration may not use them.
        let keys: Vec<_> = self
            .commands
            .iter()
            .map(|command| command.as_ref().and_then(|command| command.key))
            .collect();
        self.commands = leader.commands.clone();
        for (command, key) in self.commands.iter_mut().zip(keys) {
            command.iter_mut().for_each(|command| command.key = key);
        }
        self.endpoints
            .resize_with(leader.endpoints.len(), Endpoint::unused);
        for (endpoint, of_leader) in self.endpoints.iter_mut().zip(&leader.endpoints) {
            endpoint.in_flight.clone_from(&of_leader.in_flight);
            endpoint.last_used = of_leader.last_used;
            endpoint.probe_sent_at = of_leader.probe_sent_at;
            endpoint.permit_until = of_leader.permit_until;
            endpoint.trial_due = of_leader.trial_due;
        }
        self.queue.clone_from(&leader.queue);
        self.retry_budget = leader.retry_budget;
        self.queue_timer_at = leader.queue_timer_at;
        self.next_queue_probe = leader.next_queue_probe;
        self.shedding = leader.shedding;
        self.overloaded_at = leader.overloaded_at;
        self.subscribed = leader.subscribed;
        self.in_flight = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.in_flight.len() as f64)
            .sum();
    }
}
