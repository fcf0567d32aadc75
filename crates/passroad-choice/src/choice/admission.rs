//! Admission: arrivals, and the short queue of commands that wait for an endpoint. The most
//! valuable command goes first, and one that can't be answered in time any more is given up at
//! once.

use super::command::Command;
use super::key_affinity::KEY_SLOTS;
use super::statistics::{DecayingCount, SMOOTHING};
use super::{Balancer, TIMER_QUEUE};
use crate::{CommandArrival, CommandIndex};
use std::time::Duration;

/// Rounds of probes for one command, after the first.
const EXTRA_PROBE_ROUNDS: u32 = 1;

impl Balancer {
    /// Values a command, queues it and sends probes for it.
    pub(super) fn on_command_arrived(&mut self, arrival: CommandArrival) {
        let class = &self.parameters.classes[arrival.class];
        let target = (class.deadline_target
            + arrival
                .work
                .unwrap_or_default()
                .mul_f64(class.target_per_work))
        .min(class.time_limit);
        // Prevents working on retries whose target has already passed. First tries of a class come
        // with the same budget, and the last retry with what is left of the time limit, which tells
        // how much time was spent. Where clients mark retries, this applies to marked ones only.
        let spent_is_known = class.is_unusual_budget(arrival.budget)
            && class.budget_confidence >= 4
            && arrival.is_retry == self.retries_marked;
        let spent = if spent_is_known {
            class.time_limit.saturating_sub(arrival.budget)
        } else {
            Duration::ZERO
        };
        // Any other marked retry has also spent some of its time, but it is unknown how much.
        let class_values = self.class_values();
        let mut value = class_values[arrival.class]
            * if arrival.is_retry && !spent_is_known {
                0.3
            } else {
                1.0
            };
        if let Some(tenant) = arrival
            .tenant
            .filter(|tenant| *tenant < self.tenant_arrivals.len())
        {
            self.tenant_arrivals[tenant].increment(self.now, 8 * SMOOTHING);
            let rate = |arrivals: &DecayingCount| arrivals.rate(self.now, 8 * SMOOTHING);
            let share = rate(&self.tenant_arrivals[tenant])
                / self.tenant_arrivals.iter().map(rate).sum::<f64>();
            // In an overload the commands of a tenant beyond its share are worth little, and go
            // last.
            if self.shedding && share > 1.3 * self.parameters.tenant_shares[tenant] {
                value *= self.parameters.surplus_utility.max(0.3);
            }
        }
        let class = &mut self.parameters.classes[arrival.class];
        if !arrival.is_retry && !spent_is_known {
            class.arrivals.increment(self.now, 8 * SMOOTHING);
        }
        class.vote_for_budget(arrival.budget);
        let len = self.commands.len().max(arrival.command + 1);
        self.commands.resize_with(len, || None);
        self.retry_budget = (self.retry_budget + 0.2).min(5.0);
        self.retries_marked = self.retries_marked || arrival.is_retry;
        self.arrivals.increment(self.now, 4 * SMOOTHING);
        let key = arrival.key.filter(|_| self.parameters.warm_keys);
        key.into_iter().for_each(|key| {
            self.key_arrivals[key as usize % KEY_SLOTS].increment(self.now, 4 * SMOOTHING)
        });
        self.draw_slow_start_permit();
        let target_deadline = (self.now + target).saturating_sub(spent);
        let best_value = class_values.into_iter().fold(1e-9, f64::max);
        self.commands[arrival.command] = Some(Command {
            value,
            best_value,
            key,
            ..Command::new(&arrival, self.now, target_deadline)
        });
        self.enqueue(arrival.command);
        self.wait_for_probes(arrival.command);
    }

    /// Until when a command that is queued now may wait: a usual answer must fit into the time that
    /// is left then.
    pub(super) fn queue_deadline(&self, command: &Command) -> Duration {
        let class = &self.parameters.classes[command.class];
        let answer_time = class.usual_answer_time();
        let deadline = if class.late_utility > 0.0 {
            command.client_deadline
        } else {
            command.target_deadline.min(command.client_deadline)
        };
        deadline
            .saturating_sub(answer_time)
            .min(self.now + class.deadline_target / 4)
    }

    /// Queues a command, for its first relay or a retry.
    pub(super) fn enqueue(&mut self, command_index: CommandIndex) {
        let Some(queue_deadline) = self
            .open_command(command_index)
            .map(|command| self.queue_deadline(command))
        else {
            return;
        };
        self.commands[command_index].iter_mut().for_each(|command| {
            command.queued = true;
            command.queue_deadline = queue_deadline;
        });
        self.queue.push(command_index);
    }

    /// Sends the queued commands that an endpoint takes, the most valuable first, and gives up
    /// those that can't be answered in time any more.
    pub(super) fn run_queue(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.queue);
        let rank = |command_index: &CommandIndex| {
            self.open_command(*command_index)
                .map_or((0.0, Duration::ZERO), |command| {
                    (-command.value, command.arrived_at)
                })
        };
        waiting.sort_by(|a, b| {
            rank(a)
                .partial_cmp(&rank(b))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        let now = self.now;
        let max_probe_wait = self.parameters.max_probe_wait;
        let probes_in_flight = self.endpoints_in_view().any(|endpoint| {
            endpoint
                .probe_sent_at
                .is_some_and(|sent_at| now < sent_at + max_probe_wait)
        });
        let queue_limit = (self.sends_short.rate_over_age(self.now, SMOOTHING)
            * self.parameters.max_queue_wait.as_secs_f64())
        .max(1.0);
        let mut knows_idle = self.knows_idle_endpoint();
        // Commands that no endpoint took; the others in the queue only wait for probes.
        let mut not_taken = 0;
        // Pairs of weight set and restricted class for which no endpoint took a more valuable
        // command.
        let mut full = Vec::new();
        for command_index in waiting {
            let Some(command) = self
                .open_command(command_index)
                .filter(|command| command.queued && !command.concluded)
            else {
                continue;
            };
            let restricted_class = self.parameters.classes[command.class]
                .is_restricted()
                .then_some(command.class);
            let is_first_relay = command.relays.is_empty();
            let is_too_late = now >= command.queue_deadline;
            let place = (command.weight_set, restricted_class);
            // Another round of probes where none of the endpoints probed is idle.
            let waits_for_probes =
                command.probe_wait_until > now && probes_in_flight && !knows_idle;
            let probe_again = !waits_for_probes
                && !knows_idle
                && command.probe_rounds < EXTRA_PROBE_ROUNDS
                && !self.shedding;
            if !is_too_late
                && (waits_for_probes || probe_again && self.wait_for_probes(command_index))
            {
                self.commands[command_index]
                    .iter_mut()
                    .for_each(|command| command.probe_rounds += u32::from(probe_again));
                self.queue.push(command_index);
                continue;
            }
            if let Some(endpoint_index) = if is_too_late || is_first_relay && full.contains(&place)
            {
                None
            } else {
                self.pick_endpoint(command_index, false)
            } {
                self.send_relay(command_index, endpoint_index);
                knows_idle = self.knows_idle_endpoint();
                continue;
            }
            full.extend(
                (is_first_relay && !is_too_late && !full.contains(&place)).then_some(place),
            );
            // Prevents keeping a command that will be refused anyway: beyond the queue limit it is
            // refused at once.
            if is_too_late || self.all_cordoned || f64::from(not_taken) >= queue_limit {
                self.give_up(command_index);
            } else {
                not_taken += 1;
                self.queue.push(command_index);
            }
        }
        // Prevents a deadlock where all endpoints seem full by old reports: they are probed again
        // while commands wait.
        if !full.is_empty() && not_taken > 0 && !probes_in_flight && now >= self.next_queue_probe {
            self.next_queue_probe = now + self.parameters.recovery_interval / 2;
            self.send_probes(None);
        }
        // One timer for the whole queue, at the next time when something in it may change by
        // itself.
        let next_change = |command: &Command| {
            if command.probe_wait_until > now {
                command.queue_deadline.min(command.probe_wait_until)
            } else {
                command.queue_deadline
            }
        };
        let next_probe = if !full.is_empty() && not_taken > 0 {
            self.next_queue_probe
        } else {
            Duration::MAX
        };
        let first_change = self
            .queue
            .iter()
            .filter_map(|command_index| self.open_command(*command_index))
            .map(next_change)
            .min();
        if let Some(next) =
            first_change.map(|at| at.min(next_probe).max(now + self.parameters.tick))
            && (self.queue_timer_at <= now || next < self.queue_timer_at)
        {
            self.queue_timer_at = next;
            self.set_timer(next - now, TIMER_QUEUE);
        }
        if f64::from(not_taken) + 1.0 > queue_limit {
            if !std::mem::replace(&mut self.shedding, true) {
                self.log(format!(
                    "overloaded: {not_taken} commands wait, queue limit {queue_limit:.0}"
                ));
            }
            self.overloaded_at = now;
        } else if self.shedding && now.saturating_sub(self.overloaded_at) > 2 * SMOOTHING {
            self.shedding = false;
            self.log(format!("no longer overloaded: {not_taken} commands wait"));
        }
    }
}
