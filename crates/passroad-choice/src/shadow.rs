//! Watch: beside the module that decides, a second one with other orders hears the same events. What it would have
//! done is counted by kind and dropped; after each event it is brought back to what was done.

use crate::choice::Balancer;
use crate::choice::endpoint::Endpoint;
use crate::{Action, BalancerConfig, CommandIndex, EndpointIndex, Event, LearnedState};
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Decisions of the module that leads, by what the watched orders would have made of them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ShadowCounts {
    pub same: u64,
    /// Sent to another endpoint, by weight or by a draw that fell otherwise.
    pub elsewhere: u64,
    /// Sent, where the other would have declined or terminated.
    pub refused: u64,
    /// Sent, where the other would have waited.
    pub queued: u64,
    /// Second copies that the other would not have sent.
    pub hedges: u64,
    /// Declined or terminated, where the other would have sent or waited.
    pub admitted: u64,
    /// Still waiting, where the other would have sent or turned away.
    pub earlier: u64,
    /// Probes that the other would not have sent.
    pub probes: u64,
}

impl fmt::Display for ShadowCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ShadowCounts {
            same,
            elsewhere,
            refused: turned_away,
            queued: waited,
            hedges: copies,
            admitted: taken,
            earlier: sooner,
            probes,
        } = self;
        write!(
            f,
            "same {same}, elsewhere {elsewhere}, turned away {turned_away}, waited {waited}, no copy {copies}, \
             taken {taken}, sooner {sooner}, no probe {probes}"
        )
    }
}

/// The decision module, with a watched one beside it where there are orders for one.
pub struct ShadowedBalancer {
    lead: Balancer,
    beside: Option<Box<(Balancer, ShadowCounts)>>,
}

impl ShadowedBalancer {
    pub fn new(orders: BalancerConfig, watch: Option<BalancerConfig>) -> Self {
        let beside = watch.map(|orders| Box::new((Balancer::new(orders), ShadowCounts::default())));
        ShadowedBalancer {
            lead: Balancer::new(orders),
            beside,
        }
    }

    pub fn endpoint_load(&self, at: EndpointIndex) -> (Option<f64>, bool) {
        self.lead.endpoint_load(at)
    }

    /// What the module that decides has learnt.
    pub fn learned_state(&self, name: impl Fn(EndpointIndex) -> Option<String>) -> LearnedState {
        self.lead.learned_state(name)
    }

    pub fn counts(&self) -> Option<ShadowCounts> {
        self.beside.as_deref().map(|(_, counts)| *counts)
    }

    /// As the module's own entry: what comes back is the lead's word alone.
    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let Some((other, counts)) = self.beside.as_deref_mut() else {
            return self.lead.decide(now, event);
        };
        other.random_state = self.lead.random_state; // the same draws as far as they are as many
        // Under other orders the two would no longer speak of the same verbs.
        if matches!(event, Event::Reconfigured(_)) {
            self.beside = None;
            return self.lead.decide(now, event);
        }
        let (lead, heard) = (&mut self.lead, event.clone());
        let done = lead.decide(now, event);
        let beside = catch_unwind(AssertUnwindSafe(|| {
            let would = other.decide(now, heard);
            counts.add(lead, &done, &would);
            other.align_with(now, lead, &done, &would);
        }));
        // Guards against a fault in what is only watched that takes a command with it: the watch ends.
        if beside.is_err() {
            self.beside = None;
        }
        done
    }
}

/// What becomes of a command in some actions: an endpoint, or turned away.
fn fate(actions: &[Action], of: CommandIndex) -> Option<Option<EndpointIndex>> {
    actions.iter().find_map(|action| match action {
        Action::Relay {
            command: cmd,
            endpoint,
            ..
        } if *cmd == of => Some(Some(*endpoint)),
        Action::Refuse { command: cmd, .. } | Action::Fail { command: cmd } if *cmd == of => {
            Some(None)
        }
        _ => None,
    })
}

impl ShadowCounts {
    fn add(&mut self, lead: &Balancer, done: &[Action], would: &[Action]) {
        let ended = |cmd: &CommandIndex| {
            let cmd = *cmd;
            matches!(fate(done, cmd), Some(None))
                || lead.open_command(cmd).is_none_or(|c| c.concluded)
        };
        let mut seen = Vec::new();
        for action in done.iter().chain(would) {
            let (Action::Relay { command: cmd, .. }
            | Action::Refuse { command: cmd, .. }
            | Action::Fail { command: cmd }) = action
            else {
                continue;
            };
            if seen.contains(cmd) {
                continue;
            }
            seen.push(*cmd);
            let copy = lead
                .open_command(*cmd)
                .is_some_and(|c| c.relays.iter().filter(|r| r.outcome.is_none()).count() > 1);
            let kind = match (fate(done, *cmd), fate(would, *cmd)) {
                (Some(a), Some(b)) if a == b => &mut self.same,
                (Some(Some(_)), Some(Some(_))) => &mut self.elsewhere,
                (Some(Some(_)), None) if copy => &mut self.hedges,
                (Some(Some(_)), Some(None)) => &mut self.refused,
                (Some(Some(_)), None) => &mut self.queued,
                (Some(None), _) => &mut self.admitted,
                // Of what has ended the other may still speak.
                (None, _) if ended(cmd) => continue,
                (None, _) => &mut self.earlier,
            };
            *kind += 1;
        }
        let asked = |actions: &[Action]| {
            actions
                .iter()
                .filter(|a| matches!(a, Action::Probe { .. }))
                .count()
        };
        self.probes += asked(done).saturating_sub(asked(would)) as u64;
    }
}

impl Balancer {
    /// Takes over what another instance did in place of what this one would have done, for the watch.
    pub(crate) fn align_with(
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
                    e.sends.undo_increment();
                    self.sends_short.undo_increment();
                    self.sends_long.undo_increment();
                    e.load -= 1.0;
                } else {
                    e.sends.increment(now, over);
                    self.sends_short.increment(now, over / 4);
                    self.sends_long.increment(now, over);
                    e.load = e.load.max(0.0) + 1.0;
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
            .resize_with(lead.endpoints.len(), Endpoint::unused);
        for (e, led) in self.endpoints.iter_mut().zip(&lead.endpoints) {
            e.in_flight.clone_from(&led.in_flight);
            (e.last_used, e.probe_sent_at, e.permit_until, e.trial_due) = (
                led.last_used,
                led.probe_sent_at,
                led.permit_until,
                led.trial_due,
            );
        }
        self.queue.clone_from(&lead.queue);
        (
            self.retry_budget,
            self.queue_timer_at,
            self.next_queue_probe,
        ) = (
            lead.retry_budget,
            lead.queue_timer_at,
            lead.next_queue_probe,
        );
        (self.shedding, self.overloaded_at, self.subscribed) =
            (lead.shedding, lead.overloaded_at, lead.subscribed);
        self.in_flight = self
            .endpoints
            .iter()
            .map(|e| e.in_flight.len() as f64)
            .sum();
    }
}
