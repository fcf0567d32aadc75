//! What the decisions remember, by how long it lives: for one relay, one command, one endpoint, one verb.
//! Only shapes and sums stand here; what follows from them is decided in `choice.rs`.

use super::Balancer;
use super::endpoint::Endpoint;
use crate::Action;
use std::time::Duration;

/// What every decision uses and none decides: chance, the log, what is held and in view, what
/// the list adds up to.
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
