//! Outcomes of relays, and what is learnt from each.

use super::Balancer;
use super::command::Relay;
use super::concurrency_limit::{INITIAL_LIMIT, LIMIT_GROWTH};
use super::health::RECENT_OUTCOMES;
use super::statistics::{DecayingMean, SMOOTHING};
use crate::{CommandIndex, EndpointIndex, Outcome};
use std::time::Duration;

impl Balancer {
    /// Records the outcome of a relay; returns its endpoint, or none if the relay is not in flight.
    pub(super) fn on_relay_finished(
        &mut self,
        command_index: CommandIndex,
        relay_index: usize,
        outcome: Outcome,
        elapsed: Duration,
    ) -> Option<EndpointIndex> {
        let now = self.now;
        let command = self.commands.get_mut(command_index)?.as_mut()?;
        let class_index = command.class;
        let in_time = now <= command.target_deadline;
        let body_pending = command.body_pending;
        let value = (command.value / command.best_value).clamp(0.05, 1.0);
        let relay = command
            .relays
            .get_mut(relay_index)
            .filter(|relay| relay.outcome.is_none())?;
        relay.outcome = Some(outcome);
        let relay = *relay;
        let index = relay.endpoint;
        self.count_relay_out(index, relay.sent_at, body_pending);
        self.adjust_in_flight_limit(index, class_index, outcome, in_time, value);
        if outcome == Outcome::Answered && !self.is_cold(&self.endpoints[index]) {
            self.record_warm_answer(index);
        }
        let endpoint = &mut self.endpoints[index];
        match outcome {
            Outcome::Answered => {
                endpoint.last_used = Some(now);
                let class = &mut self.parameters.classes[class_index];
                if in_time {
                    class.served_in_time.increment(now, 8 * SMOOTHING);
                }
                let latency = class.relative_latency(&relay, elapsed);
                class
                    .answer_time
                    .record(now, elapsed.as_secs_f64(), 10 * SMOOTHING);
                self.latency.record(now, latency, 10 * SMOOTHING);
                self.latency_by_kind.resize(
                    self.latency_by_kind.len().max(endpoint.kind + 1),
                    DecayingMean::default(),
                );
                self.latency_by_kind[endpoint.kind].record(now, latency, 10 * SMOOTHING);
                endpoint.latency.record(now, latency, 2 * SMOOTHING);
                let target = class.deadline_target;
                let limit = self.current_limit(&self.endpoints[index]);
                if elapsed > target.mul_f64(0.85) {
                    self.cut_limit(index);
                } else if elapsed < target / 2 && relay.load_ahead + 1.0 >= limit {
                    self.set_limit(index, (limit + LIMIT_GROWTH / limit).min(64.0));
                }
                self.adjust_report_credit(
                    index,
                    if latency > 3.0 * self.latency.mean {
                        -0.1 * relay.report_weight
                    } else {
                        0.0
                    },
                );
                self.record_reached(index);
                self.record_health(index, class_index, outcome, RECENT_OUTCOMES);
            }
            Outcome::NotSent | Outcome::Cancelled | Outcome::Rejected => {}
            Outcome::Overloaded => {
                self.cut_limit(index);
                self.adjust_report_credit(
                    index,
                    if relay.load_ahead < INITIAL_LIMIT {
                        -0.25
                    } else {
                        0.0
                    },
                );
                if self.parameters.probes_per_command == 0 {
                    self.record_health(index, class_index, outcome, RECENT_OUTCOMES);
                }
            }
            Outcome::TimedOut => self.record_slow_answer(&relay, class_index, elapsed),
            // The endpoint was reached, so these are no reason for a pause.
            Outcome::Error | Outcome::ConnectionLost => {
                self.record_health(index, class_index, outcome, RECENT_OUTCOMES)
            }
            Outcome::ConnectFailed => {
                self.endpoints[index].last_used = None;
                self.record_health(index, class_index, outcome, RECENT_OUTCOMES);
                self.record_unreachable(index);
            }
        }
        Some(index)
    }

    /// Records a time-out as an answer at least as slow as it lasted, so that a failure never
    /// counts as a fast answer.
    pub(super) fn record_slow_answer(
        &mut self,
        relay: &Relay,
        class_index: usize,
        elapsed: Duration,
    ) {
        let latency = self.parameters.classes[class_index]
            .relative_latency(relay, elapsed)
            .max(1.0);
        self.endpoints[relay.endpoint]
            .latency
            .record(self.now, latency, 2 * SMOOTHING);
        self.adjust_report_credit(
            relay.endpoint,
            if latency > 2.0 * self.latency.mean {
                -0.1 * relay.report_weight
            } else {
                0.0
            },
        );
        // Prevents sending to an endpoint that lets commands hang while it answers probes.
        self.record_health(
            relay.endpoint,
            class_index,
            Outcome::TimedOut,
            RECENT_OUTCOMES,
        );
        self.cut_limit(relay.endpoint);
    }
}
