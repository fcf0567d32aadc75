//! Retries and final answers: a command whose relay failed is queued again under a retry budget, or
//! refused or failed.

use super::Balancer;
use super::command::{Command, Relay};
use crate::{Action, CommandIndex, DeduplicationScope, Effect, Outcome};

impl Balancer {
    /// Decides what becomes of a command whose relay has ended without a final answer.
    pub(super) fn retry_or_give_up(&mut self, command_index: CommandIndex, outcome: Outcome) {
        let all_ended = |command: &&Command| {
            command.concluded || command.relays.iter().all(|relay| relay.outcome.is_some())
        };
        let Some(command) = self.open_command(command_index).filter(all_ended) else {
            return;
        };
        if command.concluded {
            return self.release_if_done(command_index);
        }
        let may_have_run = command.relays.iter().any(Relay::may_have_run);
        // Prevents a command that no endpoint can use from taking the retry budget of the others:
        // two rejections are final.
        let rejections = command
            .relays
            .iter()
            .filter(|relay| relay.outcome == Some(Outcome::Rejected))
            .count();
        let may_retry = rejections < 2
            && !command.body_not_replayable
            && (!may_have_run
                || self.parameters.classes[command.class].effect != Effect::NonIdempotent);
        // Sending again after a first relay that surely did not run, or was rejected, costs little,
        // but not nothing.
        let price = if command.relays.len() < 2 && (outcome.never_ran() || rejections > 0) {
            0.2
        } else {
            1.0
        };
        let has_time = self.now < self.queue_deadline(command)
            && command.relays.len() < self.parameters.classes[command.class].max_relays;
        if has_time && may_retry && self.retry_budget >= price {
            self.retry_budget -= price;
            self.enqueue(command_index);
        } else {
            self.give_up(command_index);
        }
    }

    /// Gives the final answer at once: refused where a retry by the client is harmless, else
    /// failed.
    pub(super) fn give_up(&mut self, command_index: CommandIndex) {
        let Some(command) = self.open_command(command_index) else {
            return;
        };
        let class = &self.parameters.classes[command.class];
        let is_late = self.now >= command.target_deadline;
        let may_have_run = command.relays.iter().any(Relay::may_have_run);
        let dropped_everywhere =
            class.effect == Effect::Keyed && class.deduplication_scope == DeduplicationScope::All;
        let is_harmless = !may_have_run || class.effect == Effect::Safe || dropped_everywhere;
        let pause = if is_late {
            class.time_limit
        } else {
            class.deadline_target / 5
        };
        let retry_after = self.parameters.max_retry_after.map(|max| max.min(pause));
        let action = if is_harmless {
            Action::Refuse {
                command: command_index,
                retry_after,
            }
        } else {
            Action::Fail {
                command: command_index,
            }
        };
        self.conclude(command_index, Some(action));
    }

    /// Ends a command, with `answer` if its client still waits, and cancels its relays in flight.
    pub(super) fn conclude(&mut self, command_index: CommandIndex, answer: Option<Action>) {
        let Some(command) = self
            .commands
            .get_mut(command_index)
            .and_then(Option::as_mut)
        else {
            return;
        };
        command.concluded = true;
        command.queued = false;
        self.actions.extend(answer);
        if self.parameters.cancellation_allowed && !command.streaming {
            for (relay, _) in command
                .relays
                .iter()
                .enumerate()
                .filter(|(_, relay)| relay.outcome.is_none())
            {
                self.actions.push(Action::CancelRelay {
                    command: command_index,
                    relay,
                });
            }
        }
        self.queue.retain(|queued| *queued != command_index);
        self.release_if_done(command_index);
    }

    /// Releases the slot of a concluded command once none of its relays is in flight.
    pub(crate) fn release_if_done(&mut self, command_index: CommandIndex) {
        let is_done = |command: &Command| {
            command.concluded && command.relays.iter().all(|relay| relay.outcome.is_some())
        };
        if self.open_command(command_index).is_some_and(is_done) {
            self.commands[command_index] = None;
            self.actions.push(Action::ReleaseCommand {
                command: command_index,
            });
        }
    }
}
