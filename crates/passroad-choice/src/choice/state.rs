//! What the decisions remember, by how long it lives: for one relay, one command, one endpoint, one verb.
//! Only shapes and sums stand here; what follows from them is decided in `choice.rs`.

use super::Balancer;
use super::command::Command;
use super::endpoint::Endpoint;
use crate::{Action, CommandIndex, EndpointIndex};
use std::time::Duration;

/// What every decision uses and none decides: chance, the log, what is held and in view, what
/// the list adds up to.
impl Balancer {
    pub(crate) fn mark_streaming(&mut self, cmd: CommandIndex) {
        self.commands
            .get_mut(cmd)
            .into_iter()
            .flatten()
            .for_each(|c| c.streaming = true);
    }

    pub(crate) fn mark_body_not_replayable(&mut self, cmd: CommandIndex) {
        self.commands
            .get_mut(cmd)
            .into_iter()
            .flatten()
            .for_each(|c| c.body_not_replayable = true);
    }

    /// One more relay is at work there, unless its body still comes.
    pub(crate) fn count_relay_in(&mut self, at: EndpointIndex, sent: Duration, coming: bool) {
        if coming {
            return;
        }
        let e = &mut self.endpoints[at];
        e.in_flight.push(sent);
        e.load = e.load.max(0.0) + 1.0;
        self.in_flight += 1.0;
    }

    pub(crate) fn count_relay_out(&mut self, at: EndpointIndex, sent: Duration, coming: bool) {
        if coming {
            return;
        }
        let e = &mut self.endpoints[at];
        e.load -= 1.0;
        e.in_flight
            .iter()
            .position(|held| *held == sent)
            .map(|gone| e.in_flight.swap_remove(gone));
        self.in_flight -= 1.0;
    }

    pub(crate) fn open_command(&self, cmd: CommandIndex) -> Option<&Command> {
        self.commands.get(cmd).and_then(Option::as_ref)
    }

    pub(crate) fn release_if_done(&mut self, cmd: CommandIndex) {
        let done = |c: &Command| c.concluded && c.relays.iter().all(|r| r.outcome.is_some());
        if self.open_command(cmd).is_some_and(done) {
            self.commands[cmd] = None;
            self.actions.push(Action::ReleaseCommand { command: cmd });
        }
    }

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
