use super::command::{Command, Relay};
use super::statistics::{SMOOTHING, decay};
use super::{Balancer, TIMER_HEDGE, TIMER_TARGET};
use crate::{Action, CommandIndex, Effect, EndpointIndex};
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
