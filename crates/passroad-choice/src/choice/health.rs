//! Health of endpoints: successes among the last few outcomes scale an endpoint's weight, and one
//! that can't be reached is tried again after pauses that double.

use super::Balancer;
use super::endpoint::Endpoint;
use super::statistics::{RecentOutcomes, SMOOTHING, decay};
use crate::{Action, EndpointIndex, Outcome};
use std::time::Duration;

/// How many of the last outcomes an endpoint is judged by.
pub(super) const RECENT_OUTCOMES: u32 = 8;

impl Endpoint {
    /// Share of successes among the last few outcomes: the lower one of all classes together and of
    /// this class. Prevents a class that hangs at an endpoint from being sent there because others
    /// are answered. The failures of the class decay, as nothing else would show that they have
    /// ended.
    pub(super) fn health(&self, now: Duration, class: Option<usize>) -> f64 {
        let of_class = |outcomes: &RecentOutcomes| {
            1.0 - (1.0 - outcomes.success_share(RECENT_OUTCOMES))
                * decay(now, outcomes.last_failure, 4 * SMOOTHING)
        };
        class
            .and_then(|class| self.outcomes_by_class.get(class))
            .map_or(1.0, of_class)
            .min(self.outcomes.success_share(RECENT_OUTCOMES))
    }

    /// Share of harmful failures among the last `kept` outcomes. It decays, as an endpoint that is
    /// avoided has no new outcomes.
    pub fn harmful_share(&self, now: Duration, kept: u32, over: Duration) -> f64 {
        let count = (self.harmful_failures & ((1 << kept) - 1)).count_ones();
        f64::from(count) / f64::from(kept) * decay(now, self.last_harmful_failure, over)
    }
}

impl Balancer {
    /// Records an outcome among the last few. Logs one line when most of them are failures and one
    /// when most are successes again, for all classes together and for this one.
    pub(crate) fn record_health(
        &mut self,
        index: EndpointIndex,
        class: usize,
        outcome: Outcome,
        kept: u32,
    ) {
        let class_name = &self.parameters.classes[class].name;
        let endpoint = &mut self.endpoints[index];
        endpoint.record_outcome(self.now, class, outcome, kept);
        for (outcomes, scope) in [
            (&mut endpoint.outcomes, "all classes"),
            (&mut endpoint.outcomes_by_class[class], class_name),
        ] {
            let share = outcomes.success_share(kept);
            if outcomes.failing != (share < if outcomes.failing { 0.75 } else { 0.5 }) {
                outcomes.failing = !outcomes.failing;
                let change = if outcomes.failing {
                    "is failing"
                } else {
                    "has recovered"
                };
                let line = format!(
                    "endpoint {index} {change}, {scope}: {:.0}% of its last relays succeeded",
                    share * 100.0
                );
                self.actions.push(Action::Log(line));
            }
        }
    }

    /// The endpoint could not be reached: the next trial comes later each time.
    pub(super) fn record_unreachable(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        endpoint.times_unreachable += 1;
        endpoint.retry_at =
            self.now + self.parameters.recovery_interval * (1 << endpoint.times_unreachable.min(5));
        if endpoint.times_unreachable == 3 {
            self.log(format!(
                "endpoint {index} could not be reached 3 times in a row"
            ));
        }
    }

    /// The endpoint was reached. If it could not be reached before, it counts as cold from now:
    /// prevents overloading a process that has restarted before the list says so.
    pub(super) fn record_reached(&mut self, index: EndpointIndex) {
        let now = self.now;
        let warm_up_time = self.parameters.warm_up_time;
        let endpoint = &mut self.endpoints[index];
        let failures = std::mem::take(&mut endpoint.times_unreachable);
        endpoint.retry_at = Duration::ZERO;
        if failures >= 3
            && endpoint
                .started_at
                .is_none_or(|started_at| now.saturating_sub(started_at) > warm_up_time)
        {
            endpoint.restart_cold(now);
            self.next_refresh = now;
            self.log(format!(
                "endpoint {index} reached again after {failures} failures; treated as cold"
            ));
        }
    }
}
