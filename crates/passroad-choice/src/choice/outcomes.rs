use super::Balancer;
use super::command::Relay;
use super::concurrency_limit::{INITIAL_LIMIT, LIMIT_GROWTH};
use super::health::RECENT_OUTCOMES;
use super::statistics::{DecayingMean, SMOOTHING};
use crate::{CommandIndex, EndpointIndex, Outcome};
use std::time::Duration;

impl Balancer {
    /// Books the outcome of a relay; tells its endpoint.
    pub(super) fn on_relay_finished(
        &mut self,
        cmd: CommandIndex,
        n: usize,
        outcome: Outcome,
        spent: Duration,
    ) -> Option<EndpointIndex> {
        let now = self.now;
        let c = self.commands.get_mut(cmd)?.as_mut()?;
        let (verb, in_time, coming) = (c.class, now <= c.target_deadline, c.body_pending);
        let value = (c.value / c.best_value).clamp(0.05, 1.0);
        let r = c.relays.get_mut(n).filter(|r| r.outcome.is_none())?;
        r.outcome = Some(outcome);
        let (r, at) = (*r, r.endpoint);
        self.count_relay_out(at, r.sent_at, coming);
        self.adjust_in_flight_limit(at, verb, outcome, in_time, value);
        if outcome == Outcome::Answered && !self.is_cold(&self.endpoints[at]) {
            self.record_warm_answer(at);
        }
        let e = &mut self.endpoints[at];
        match outcome {
            Outcome::Answered => {
                e.last_used = Some(now);
                let v = &mut self.parameters.classes[verb];
                if in_time {
                    v.served_in_time.increment(now, 8 * SMOOTHING);
                }
                let pace = v.relative_latency(&r, spent);
                v.answer_time
                    .record(now, spent.as_secs_f64(), 10 * SMOOTHING);
                self.latency.record(now, pace, 10 * SMOOTHING);
                self.latency_by_kind.resize(
                    self.latency_by_kind.len().max(e.kind + 1),
                    DecayingMean::default(),
                );
                self.latency_by_kind[e.kind].record(now, pace, 10 * SMOOTHING);
                e.latency.record(now, pace, 2 * SMOOTHING);
                let (goal, limit) = (v.deadline_target, self.current_limit(&self.endpoints[at]));
                if spent > goal.mul_f64(0.85) {
                    self.cut_limit(at);
                } else if spent < goal / 2 && r.load_ahead + 1.0 >= limit {
                    self.set_limit(at, (limit + LIMIT_GROWTH / limit).min(64.0));
                }
                self.adjust_report_credit(
                    at,
                    if pace > 3.0 * self.latency.mean {
                        -0.1 * r.report_weight
                    } else {
                        0.0
                    },
                );
                self.record_reached(at);
                self.record_health(at, verb, outcome, RECENT_OUTCOMES);
            }
            Outcome::NotSent | Outcome::Cancelled | Outcome::Rejected => {}
            Outcome::Overloaded => {
                self.cut_limit(at);
                self.adjust_report_credit(
                    at,
                    if r.load_ahead < INITIAL_LIMIT {
                        -0.25
                    } else {
                        0.0
                    },
                );
                if self.parameters.probes_per_command == 0 {
                    self.record_health(at, verb, outcome, RECENT_OUTCOMES);
                }
            }
            Outcome::TimedOut => self.record_slow_answer(&r, verb, spent),
            Outcome::Error | Outcome::ConnectionLost => {
                self.record_health(at, verb, outcome, RECENT_OUTCOMES)
            } // it was reached
            Outcome::ConnectFailed => {
                self.endpoints[at].last_used = None;
                self.record_health(at, verb, outcome, RECENT_OUTCOMES);
                self.record_unreachable(at);
            }
        }
        Some(at)
    }

    /// Failures never count as fast answers: a time-out is an answer at least as slow as it lasted.
    pub(super) fn record_slow_answer(&mut self, r: &Relay, verb: usize, spent: Duration) {
        let pace = self.parameters.classes[verb]
            .relative_latency(r, spent)
            .max(1.0);
        self.endpoints[r.endpoint]
            .latency
            .record(self.now, pace, 2 * SMOOTHING);
        self.adjust_report_credit(
            r.endpoint,
            if pace > 2.0 * self.latency.mean {
                -0.1 * r.report_weight
            } else {
                0.0
            },
        );
        // Guards against an endpoint that lets work hang while its probes are fine.
        self.record_health(r.endpoint, verb, Outcome::TimedOut, RECENT_OUTCOMES);
        self.cut_limit(r.endpoint);
    }
}
