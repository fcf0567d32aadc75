use super::command::{Command, Relay};
use super::statistics::{SMOOTHING, decay};
use super::{Balancer, TIMER_HEDGE, TIMER_TARGET};
use crate::{Action, CommandIndex, DeduplicationScope, Effect, EndpointIndex, Outcome};
use std::time::Duration;

impl Balancer {
    pub(super) fn send_relay(&mut self, cmd: CommandIndex, at: EndpointIndex) {
        let (now, usual) = (self.now, self.mean_load());
        let e = &self.endpoints[at];
        let ahead = self.estimated_load(e, usual) / e.capacity;
        let told = e
            .reported_at
            .filter(|_| !self.is_cold(e))
            .map_or(0.0, |at| decay(now, at, self.parameters.report_decay));
        self.bring_into_view(at);
        let Some(c) = self.commands[cmd].as_mut() else {
            return;
        };
        let (first, coming, due, verb) = (
            c.relays.is_empty(),
            c.body_pending,
            c.target_deadline,
            c.class,
        );
        let v = &self.parameters.classes[verb];
        let ran = c
            .relays
            .iter()
            .find(|r| r.may_have_run() && v.effect == Effect::Keyed);
        let window = ran.map(|first| v.deduplication_time_left(first, now));
        c.queued = false;
        c.relays.push(Relay {
            endpoint: at,
            sent_at: now,
            load_ahead: ahead,
            report_weight: told,
            outcome: None,
        });
        let within = c
            .client_deadline
            .saturating_sub(now)
            .max(self.parameters.tick);
        // Guards against a repeat whose connection comes up when its endpoint would no longer drop it.
        let begin = window.unwrap_or(within).min(within);
        self.actions.push(Action::Relay {
            command: cmd,
            endpoint: at,
            timeout: within,
            send_by: begin,
        });
        let e = &mut self.endpoints[at];
        (e.last_used, e.permit_until, e.trial_due) = (Some(now), Duration::ZERO, None);
        self.count_relay_in(at, now, coming);
        self.sends_short.increment(now, SMOOTHING);
        self.sends_long.increment(now, 4 * SMOOTHING);
        self.endpoints[at].sends.increment(now, 4 * SMOOTHING);
        let v = &self.parameters.classes[verb];
        let (until_due, slow) = (due.saturating_sub(now), v.hedge_delay());
        let copies = self.parameters.hedging_allowed
            && v.effect != Effect::NonIdempotent
            && slow < v.deadline_target.mul_f64(0.8);
        if first && v.late_utility <= 0.0 && !coming {
            self.set_timer(until_due, TIMER_TARGET | (cmd as u64) << 2);
        }
        if first && copies {
            self.set_timer(slow, TIMER_HEDGE | (cmd as u64) << 2);
        }
    }

    /// All of a long body has come; from here on it is as any other command.
    pub(super) fn on_body_complete(&mut self, cmd: CommandIndex) {
        let Some(c) = self
            .commands
            .get_mut(cmd)
            .and_then(Option::as_mut)
            .filter(|c| c.body_pending)
        else {
            return;
        };
        let out = c.body_complete(self.now);
        let (until_due, late) = (
            c.target_deadline.saturating_sub(self.now),
            self.parameters.classes[c.class].late_utility,
        );
        out.into_iter()
            .for_each(|at| self.count_relay_in(at, self.now, false));
        if late <= 0.0 {
            self.set_timer(until_due, TIMER_TARGET | (cmd as u64) << 2);
        }
    }

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

    pub(crate) fn release_if_done(&mut self, cmd: CommandIndex) {
        let done = |c: &Command| c.concluded && c.relays.iter().all(|r| r.outcome.is_some());
        if self.open_command(cmd).is_some_and(done) {
            self.commands[cmd] = None;
            self.actions.push(Action::ReleaseCommand { command: cmd });
        }
    }

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

    pub(crate) fn open_command(&self, cmd: CommandIndex) -> Option<&Command> {
        self.commands.get(cmd).and_then(Option::as_ref)
    }
}
