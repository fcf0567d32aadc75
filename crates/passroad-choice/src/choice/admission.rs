use super::command::Command;
use super::key_affinity::KEY_SLOTS;
use super::statistics::{DecayingCount, SMOOTHING};
use super::{Balancer, TIMER_QUEUE};
use crate::{CommandArrival, CommandIndex};
use std::time::Duration;

const EXTRA_PROBE_ROUNDS: u32 = 1; // of heartbeats after the first, for one command

impl Balancer {
    pub(super) fn on_command_arrived(&mut self, a: CommandArrival) {
        let v = &self.parameters.classes[a.class];
        let goal = (v.deadline_target + a.work.unwrap_or_default().mul_f64(v.target_per_work))
            .min(v.time_limit);
        // Guards against answering repeats that are past their goal: first tries of a verb get the same time,
        // a last try what is left of the limit, which tells how much is spent; where marked, only repeats.
        let odd = a.budget.abs_diff(v.usual_budget) > v.usual_budget / 50;
        let known = odd && v.budget_confidence >= 4 && a.is_retry == self.retries_marked;
        let gone = if known {
            v.time_limit.saturating_sub(a.budget)
        } else {
            Duration::ZERO
        };
        // A marked repeat has spent some of its goal, no one knows how much.
        let values = self.class_values();
        let mut value = values[a.class] * if a.is_retry && !known { 0.3 } else { 1.0 };
        if let Some(company) = a.tenant.filter(|c| *c < self.tenant_arrivals.len()) {
            self.tenant_arrivals[company].increment(self.now, 8 * SMOOTHING);
            let rate = |m: &DecayingCount| m.rate(self.now, 8 * SMOOTHING);
            let share = rate(&self.tenant_arrivals[company])
                / self.tenant_arrivals.iter().map(rate).sum::<f64>();
            // Past its share a company's commands are worth little: they go last when there is too much.
            if self.shedding && share > 1.3 * self.parameters.tenant_shares[company] {
                value *= self.parameters.surplus_utility.max(0.3);
            }
        }
        let v = &mut self.parameters.classes[a.class];
        if !a.is_retry && !known {
            v.arrivals.increment(self.now, 8 * SMOOTHING);
        }
        match (odd, v.budget_confidence) {
            (true, 0) => (v.usual_budget, v.budget_confidence) = (a.budget, 1),
            (true, _) => v.budget_confidence -= 1,
            (false, n) => v.budget_confidence = (n + 1).min(20),
        }
        let len = self.commands.len().max(a.command + 1);
        self.commands.resize_with(len, || None);
        (self.retry_budget, self.retries_marked) = (
            (self.retry_budget + 0.2).min(5.0),
            self.retries_marked || a.is_retry,
        );
        self.arrivals.increment(self.now, 4 * SMOOTHING);
        let key = a.key.filter(|_| self.parameters.warm_keys);
        key.into_iter().for_each(|key| {
            self.key_arrivals[key as usize % KEY_SLOTS].increment(self.now, 4 * SMOOTHING)
        });
        self.draw_slow_start_permit();
        let (due, best) = (
            (self.now + goal).saturating_sub(gone),
            values.into_iter().fold(1e-9, f64::max),
        );
        self.commands[a.command] = Some(Command {
            value,
            best_value: best,
            key,
            ..Command::new(&a, self.now, due)
        });
        self.enqueue(a.command);
        self.wait_for_probes(a.command);
    }

    /// Until when a command may wait from now: what is left of its goal must fit a usual answer.
    pub(super) fn queue_deadline(&self, c: &Command) -> Duration {
        let v = &self.parameters.classes[c.class];
        let need = Duration::from_secs_f64(
            v.answer_time
                .mean
                .clamp(0.0, 0.6 * v.deadline_target.as_secs_f64()),
        );
        let end = if v.late_utility > 0.0 {
            c.client_deadline
        } else {
            c.target_deadline.min(c.client_deadline)
        };
        end.saturating_sub(need)
            .min(self.now + v.deadline_target / 4)
    }

    pub(super) fn enqueue(&mut self, cmd: CommandIndex) {
        let Some(last_call) = self.open_command(cmd).map(|c| self.queue_deadline(c)) else {
            return;
        };
        self.commands[cmd]
            .iter_mut()
            .for_each(|c| (c.queued, c.queue_deadline) = (true, last_call));
        self.queue.push(cmd);
    }

    /// Sends what can go, best first; declines what can't make it any more.
    pub(super) fn run_queue(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.queue);
        let rank = |cmd: &CommandIndex| {
            self.open_command(*cmd)
                .map_or((0.0, Duration::ZERO), |c| (-c.value, c.arrived_at))
        };
        waiting.sort_by(|a, b| {
            rank(a)
                .partial_cmp(&rank(b))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        let (now, hold) = (self.now, self.parameters.max_probe_wait);
        let pending = self
            .endpoints_in_view()
            .any(|e| e.probe_sent_at.is_some_and(|at| now < at + hold));
        let room = (self.sends_short.rate_over_age(self.now, SMOOTHING)
            * self.parameters.max_queue_wait.as_secs_f64())
        .max(1.0);
        let mut idle = self.knows_idle_endpoint();
        let mut line = 0; // those that nothing took; the rest only await heartbeats
        let mut shut = Vec::new(); // places in which nothing took a command that is worth more
        for cmd in waiting {
            let Some(c) = self.open_command(cmd).filter(|c| c.queued && !c.concluded) else {
                continue;
            };
            let bound = self.parameters.classes[c.class]
                .is_restricted()
                .then_some(c.class);
            let (free, lost, play) = (
                c.relays.is_empty(),
                now >= c.queue_deadline,
                (c.weight_set, bound),
            );
            // More rounds of heartbeats where none of those asked is idle.
            let held = c.probe_wait_until > now && pending && !idle;
            let again = !held && !idle && c.probe_rounds < EXTRA_PROBE_ROUNDS && !self.shedding;
            if !lost && (held || again && self.wait_for_probes(cmd)) {
                self.commands[cmd]
                    .iter_mut()
                    .for_each(|c| c.probe_rounds += u32::from(again));
                self.queue.push(cmd);
                continue;
            }
            if let Some(at) = if lost || free && shut.contains(&play) {
                None
            } else {
                self.pick_endpoint(cmd, false)
            } {
                self.send_relay(cmd, at);
                idle = self.knows_idle_endpoint();
                continue;
            }
            shut.extend((free && !lost && !shut.contains(&play)).then_some(play));
            // Guards against sitting on what will be declined anyway: past the room, the answer is now.
            if lost || self.all_cordoned || f64::from(line) >= room {
                self.give_up(cmd);
            } else {
                line += 1;
                self.queue.push(cmd);
            }
        }
        // Guards against a lock-up: where all seem full, old reports are asked for anew while commands wait.
        if !shut.is_empty() && line > 0 && !pending && now >= self.next_queue_probe {
            self.next_queue_probe = now + self.parameters.recovery_interval / 2;
            self.send_probes(None);
        }
        // One alarm for the whole queue, at the next time when something in it may change by itself.
        let turn = |c: &Command| {
            if c.probe_wait_until > now {
                c.queue_deadline.min(c.probe_wait_until)
            } else {
                c.queue_deadline
            }
        };
        let ask = if !shut.is_empty() && line > 0 {
            self.next_queue_probe
        } else {
            Duration::MAX
        };
        let turns = self
            .queue
            .iter()
            .filter_map(|cmd| self.open_command(*cmd))
            .map(turn)
            .min();
        if let Some(next) = turns.map(|at| at.min(ask).max(now + self.parameters.tick))
            && (self.queue_timer_at <= now || next < self.queue_timer_at)
        {
            self.queue_timer_at = next;
            self.set_timer(next - now, TIMER_QUEUE);
        }
        if f64::from(line) + 1.0 > room {
            if !std::mem::replace(&mut self.shedding, true) {
                self.log(format!(
                    "too much to carry: {line} commands wait, room for {room:.0}"
                ));
            }
            self.overloaded_at = now;
        } else if self.shedding && now.saturating_sub(self.overloaded_at) > 2 * SMOOTHING {
            self.shedding = false;
            self.log(format!("the queue is short again: {line} commands wait"));
        }
    }
}
