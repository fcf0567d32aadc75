use super::Balancer;
use super::command::{Command, Relay};
use crate::{Action, CommandIndex, DeduplicationScope, Effect, Outcome};

impl Balancer {
    /// What becomes of a command of which a relay ended without an answer.
    pub(super) fn retry_or_give_up(&mut self, cmd: CommandIndex, outcome: Outcome) {
        let all_ended = |c: &&Command| c.concluded || c.relays.iter().all(|r| r.outcome.is_some());
        let Some(c) = self.open_command(cmd).filter(all_ended) else {
            return;
        };
        if c.concluded {
            return self.release_if_done(cmd);
        }
        let ran = c.relays.iter().any(Relay::may_have_run);
        // Guards against what no endpoint can use and takes the budget of the rest: two words settle it.
        let unfit = c
            .relays
            .iter()
            .filter(|r| r.outcome == Some(Outcome::Rejected))
            .count();
        let again = unfit < 2
            && !c.body_not_replayable
            && (!ran || self.parameters.classes[c.class].effect != Effect::NonIdempotent);
        // A first relay proven not to have run, or not to fit, costs little to send again, but not nothing.
        let price = if c.relays.len() < 2 && (outcome.never_ran() || unfit > 0) {
            0.2
        } else {
            1.0
        };
        let time = self.now < self.queue_deadline(c)
            && c.relays.len() < self.parameters.classes[c.class].max_relays;
        if time && again && self.retry_budget >= price {
            self.retry_budget -= price;
            self.enqueue(cmd);
        } else {
            self.give_up(cmd);
        }
    }

    /// The final answer at once: declined where a repeat is harmless, else terminated.
    pub(super) fn give_up(&mut self, cmd: CommandIndex) {
        let Some(c) = self.open_command(cmd) else {
            return;
        };
        let (v, late) = (
            &self.parameters.classes[c.class],
            self.now >= c.target_deadline,
        );
        let ran = c.relays.iter().any(Relay::may_have_run);
        let drops_any =
            v.effect == Effect::Keyed && v.deduplication_scope == DeduplicationScope::All;
        let harmless = !ran || v.effect == Effect::Safe || drops_any;
        let rest = if late {
            v.time_limit
        } else {
            v.deadline_target / 5
        };
        let not_before = self.parameters.max_retry_after.map(|most| most.min(rest));
        let action = if harmless {
            Action::Refuse {
                command: cmd,
                retry_after: not_before,
            }
        } else {
            Action::Fail { command: cmd }
        };
        self.conclude(cmd, Some(action));
    }

    pub(super) fn conclude(&mut self, cmd: CommandIndex, answer: Option<Action>) {
        let Some(c) = self.commands.get_mut(cmd).and_then(Option::as_mut) else {
            return;
        };
        (c.concluded, c.queued) = (true, false);
        self.actions.extend(answer);
        if self.parameters.cancellation_allowed && !c.streaming {
            for (relay, _) in c
                .relays
                .iter()
                .enumerate()
                .filter(|(_, r)| r.outcome.is_none())
            {
                self.actions.push(Action::CancelRelay {
                    command: cmd,
                    relay,
                });
            }
        }
        self.queue.retain(|q| *q != cmd);
        self.release_if_done(cmd);
    }

    pub(crate) fn release_if_done(&mut self, cmd: CommandIndex) {
        let done = |c: &Command| c.concluded && c.relays.iter().all(|r| r.outcome.is_some());
        if self.open_command(cmd).is_some_and(done) {
            self.commands[cmd] = None;
            self.actions.push(Action::ReleaseCommand { command: cmd });
        }
    }
}
