//! Relays in flight: sending them, counting them at their endpoints, and the bodies that they
//! carry.

use super::command::{Command, Relay};
use super::statistics::{SMOOTHING, decay};
use super::{Balancer, TIMER_HEDGE, TIMER_TARGET};
use crate::{Action, CommandIndex, Effect, EndpointIndex};
use std::time::Duration;

impl Balancer {
    /// Sends a relay of a command to an endpoint, and sets the timers of a first relay.
    pub(super) fn send_relay(&mut self, command_index: CommandIndex, index: EndpointIndex) {
        let now = self.now;
        let mean_load = self.mean_load();
        let endpoint = &self.endpoints[index];
        let load_ahead = self.estimated_load(endpoint, mean_load) / endpoint.capacity;
        let report_weight = endpoint
            .reported_at
            .filter(|_| !self.is_cold(endpoint))
            .map_or(0.0, |at| decay(now, at, self.parameters.report_decay));
        self.bring_into_view(index);
        let Some(command) = self.commands[command_index].as_mut() else {
            return;
        };
        let is_first = command.relays.is_empty();
        let body_pending = command.body_pending;
        let target_deadline = command.target_deadline;
        let class_index = command.class;
        let class = &self.parameters.classes[class_index];
        let may_have_run = command
            .relays
            .iter()
            .find(|relay| relay.may_have_run() && class.effect == Effect::Keyed);
        let deduplication_left =
            may_have_run.map(|first| class.deduplication_time_left(first, now));
        command.queued = false;
        command.relays.push(Relay {
            endpoint: index,
            sent_at: now,
            load_ahead,
            report_weight,
            outcome: None,
        });
        let timeout = command
            .client_deadline
            .saturating_sub(now)
            .max(self.parameters.tick);
        // Prevents sending a repeat over a connection that is established only when its endpoint no
        // longer drops it.
        let send_by = deduplication_left.unwrap_or(timeout).min(timeout);
        self.actions.push(Action::Relay {
            command: command_index,
            endpoint: index,
            timeout,
            send_by,
        });
        let endpoint = &mut self.endpoints[index];
        endpoint.last_used = Some(now);
        endpoint.permit_until = Duration::ZERO;
        endpoint.trial_due = None;
        self.count_relay_in(index, now, body_pending);
        self.sends_short.increment(now, SMOOTHING);
        self.sends_long.increment(now, 4 * SMOOTHING);
        self.endpoints[index].sends.increment(now, 4 * SMOOTHING);
        let class = &self.parameters.classes[class_index];
        let until_target = target_deadline.saturating_sub(now);
        let hedge_delay = class.hedge_delay();
        let may_hedge = self.parameters.hedging_allowed
            && class.effect != Effect::NonIdempotent
            && hedge_delay < class.deadline_target.mul_f64(0.8);
        if is_first && class.late_utility <= 0.0 && !body_pending {
            self.set_timer(until_target, TIMER_TARGET | (command_index as u64) << 2);
        }
        if is_first && may_hedge {
            self.set_timer(hedge_delay, TIMER_HEDGE | (command_index as u64) << 2);
        }
    }

    /// The whole body of a command has arrived; from here on it is like any other command.
    pub(super) fn on_body_complete(&mut self, command_index: CommandIndex) {
        let Some(command) = self
            .commands
            .get_mut(command_index)
            .and_then(Option::as_mut)
            .filter(|command| command.body_pending)
        else {
            return;
        };
        let endpoints = command.body_complete(self.now);
        let until_target = command.target_deadline.saturating_sub(self.now);
        let late_utility = self.parameters.classes[command.class].late_utility;
        endpoints
            .into_iter()
            .for_each(|index| self.count_relay_in(index, self.now, false));
        if late_utility <= 0.0 {
            self.set_timer(until_target, TIMER_TARGET | (command_index as u64) << 2);
        }
    }

    /// Counts one more relay at an endpoint. While its body is pending it is no work there, and is
    /// not counted.
    pub(crate) fn count_relay_in(
        &mut self,
        index: EndpointIndex,
        sent_at: Duration,
        body_pending: bool,
    ) {
        if body_pending {
            return;
        }
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight.push(sent_at);
        endpoint.load = endpoint.load.max(0.0) + 1.0;
        self.in_flight += 1.0;
    }

    /// Counts one relay less at an endpoint.
    pub(crate) fn count_relay_out(
        &mut self,
        index: EndpointIndex,
        sent_at: Duration,
        body_pending: bool,
    ) {
        if body_pending {
            return;
        }
        let endpoint = &mut self.endpoints[index];
        endpoint.load -= 1.0;
        endpoint
            .in_flight
            .iter()
            .position(|other| *other == sent_at)
            .map(|position| endpoint.in_flight.swap_remove(position));
        self.in_flight -= 1.0;
    }

    /// A long answer has begun: its endpoint has done the work.
    pub(crate) fn mark_answering(&mut self, command_index: CommandIndex) {
        self.commands
            .get_mut(command_index)
            .into_iter()
            .flatten()
            .for_each(|command| command.answering = true);
    }

    /// The answer is being streamed: it is neither hedged nor cancelled any more.
    pub(crate) fn mark_streaming(&mut self, command_index: CommandIndex) {
        self.commands
            .get_mut(command_index)
            .into_iter()
            .flatten()
            .for_each(|command| command.streaming = true);
    }

    /// Part of the body is gone: the command can neither be retried nor hedged.
    pub(crate) fn mark_body_not_replayable(&mut self, command_index: CommandIndex) {
        self.commands
            .get_mut(command_index)
            .into_iter()
            .flatten()
            .for_each(|command| command.body_not_replayable = true);
    }

    /// A command that is not released yet.
    pub(crate) fn open_command(&self, command_index: CommandIndex) -> Option<&Command> {
        self.commands.get(command_index).and_then(Option::as_ref)
    }
}
