//! Slow relays: hedging, and cancellation once the deadline target has passed.

use super::Balancer;
use super::command::{Command, Relay};
use super::endpoint::Endpoint;
use crate::{CommandIndex, Effect};

impl Balancer {
    /// Sends a hedge where the only relay takes unusually long. Prevents a command from waiting for
    /// an endpoint that hangs.
    pub(super) fn hedge(&mut self, command_index: CommandIndex) {
        let Some((command, only_relay)) = self.hedgeable(command_index) else {
            return;
        };
        let class = &self.parameters.classes[command.class];
        let is_slow =
            self.now.saturating_sub(only_relay.sent_at) >= class.hedge_delay().mul_f64(0.8);
        let has_time = command
            .target_deadline
            .saturating_sub(self.now)
            .as_secs_f64()
            > class.answer_time.mean;
        if is_slow && has_time {
            self.send_hedge(command_index);
        }
    }

    /// Sends a hedge where the answer of the only relay pauses. It may go on, so the relay stays;
    /// it may also never end.
    pub(super) fn hedge_paused_answer(&mut self, command_index: CommandIndex) {
        let Some((command, _)) = self.hedgeable(command_index) else {
            return;
        };
        let class = &self.parameters.classes[command.class];
        let may_hedge = self.parameters.hedging_allowed && class.effect != Effect::NonIdempotent;
        let has_time = command
            .client_deadline
            .saturating_sub(self.now)
            .as_secs_f64()
            > class.answer_time.mean;
        if may_hedge && has_time {
            self.send_hedge(command_index);
        }
    }

    /// A command with a single relay, in flight, beside which a hedge can be sent. A body that is
    /// still arriving has one reader, so there is none for a hedge.
    fn hedgeable(&self, command_index: CommandIndex) -> Option<(&Command, Relay)> {
        let command = self.open_command(command_index).filter(|command| {
            !command.concluded
                && !command.streaming
                && !command.queued
                && !command.body_pending
                && !command.body_not_replayable
        })?;
        match command.relays[..] {
            [only_relay] if only_relay.outcome.is_none() => Some((command, only_relay)),
            _ => None,
        }
    }

    /// Sends a hedge if the retry budget has one, which keeps hedges from adding to an overload.
    fn send_hedge(&mut self, command_index: CommandIndex) {
        if self.retry_budget < 1.0 || self.shedding {
            return;
        }
        if let Some(index) = self.pick_endpoint(command_index, true) {
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
                && !command.answering
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
