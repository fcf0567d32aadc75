//! Slow relays: hedging, and cancellation once the deadline target has passed.

use super::Balancer;
use super::command::{Command, Relay};
use super::endpoint::Endpoint;
use crate::CommandIndex;

impl Balancer {
    /// Sends a hedge where the only relay takes unusually long. Prevents a command from waiting for
    /// an endpoint that hangs; the retry budget keeps hedges from adding to an overload. A body that
    /// is still arriving has one reader, so there is none for a hedge.
    pub(super) fn hedge(&mut self, command_index: CommandIndex) {
        let Some(command) = self.open_command(command_index).filter(|command| {
            !command.concluded
                && !command.streaming
                && !command.queued
                && !command.body_pending
                && !command.body_not_replayable
        }) else {
            return;
        };
        let class = &self.parameters.classes[command.class];
        let [only_relay] = command.relays[..] else {
            return;
        };
        let is_slow = only_relay.outcome.is_none()
            && self.now.saturating_sub(only_relay.sent_at) >= class.hedge_delay().mul_f64(0.8);
        let has_time = command
            .target_deadline
            .saturating_sub(self.now)
            .as_secs_f64()
            > class.answer_time.mean;
        let may_hedge = is_slow && has_time && self.retry_budget >= 1.0 && !self.shedding;
        if let Some(index) = may_hedge
            .then(|| self.pick_endpoint(command_index, true))
            .flatten()
        {
            self.retry_budget -= 1.0;
            self.send_relay(command_index, index);
        }
    }

    /// The deadline target has passed, and an answer is worth nothing any more. Prevents useless
    /// work from keeping others waiting: it is cancelled where a command waits, here or at its
    /// endpoint. Otherwise it may end by itself, as nothing is gained by cancelling it.
    pub(super) fn on_target_passed(&mut self, command_index: CommandIndex) {
        let is_past = |command: &&Command| {
            !command.concluded
                && !command.streaming
                && !command.queued
                && self.now >= command.target_deadline
        };
        let Some(command) = self.open_command(command_index).filter(is_past) else {
            return;
        };
        let mean_load = self.mean_load();
        let class_index = command.class;
        let in_flight: Vec<Relay> = command
            .relays
            .iter()
            .filter(|relay| relay.outcome.is_none())
            .copied()
            .collect();
        // The load of an endpoint whose reports have no credit is unknown; the worse is assumed.
        let is_crowded = |endpoint: &Endpoint| {
            self.estimated_load(endpoint, mean_load) / endpoint.capacity > 1.2
                || endpoint.report_credit * self.report_credit < 0.5
        };
        let others_wait = in_flight
            .iter()
            .any(|relay| is_crowded(&self.endpoints[relay.endpoint]));
        if others_wait || self.shedding || !self.queue.is_empty() {
            in_flight.iter().for_each(|relay| {
                self.record_slow_answer(relay, class_index, self.now.saturating_sub(relay.sent_at))
            });
            self.give_up(command_index);
        }
    }
}
