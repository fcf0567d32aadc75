use super::Balancer;
use super::endpoint::Endpoint;
use super::statistics::{RecentOutcomes, SMOOTHING, decay};
use crate::{Action, EndpointIndex, Outcome};
use std::time::Duration;

pub(super) const RECENT_OUTCOMES: u32 = 8; // the last few outcomes that judge an endpoint

impl Endpoint {
    /// Share of successes among the last few outcomes, of all verbs and of this one. Guards against a verb
    /// that hangs where others are answered; its failures fade, as nothing else would show their end.
    pub(super) fn health(&self, now: Duration, verb: Option<usize>) -> f64 {
        let own = |few: &RecentOutcomes| {
            1.0 - (1.0 - few.success_share(RECENT_OUTCOMES))
                * decay(now, few.last_failure, 4 * SMOOTHING)
        };
        verb.and_then(|v| self.outcomes_by_class.get(v))
            .map_or(1.0, own)
            .min(self.outcomes.success_share(RECENT_OUTCOMES))
    }

    /// Share of harm among the last few outcomes; it fades, as what is avoided has no more of them.
    pub fn harmful_share(&self, now: Duration, few: u32, over: Duration) -> f64 {
        let count = (self.harmful_failures & ((1 << few) - 1)).count_ones();
        f64::from(count) / f64::from(few) * decay(now, self.last_harmful_failure, over)
    }
}

impl Balancer {
    /// Notes an outcome among the last few. One line when most of them are bad, and one when most are good again, of
    /// all verbs and of this one.
    pub(crate) fn record_health(
        &mut self,
        at: EndpointIndex,
        verb: usize,
        outcome: Outcome,
        few: u32,
    ) {
        let (name, e) = (&self.parameters.classes[verb].name, &mut self.endpoints[at]);
        e.record_outcome(self.now, verb, outcome, few);
        for (last, what) in [
            (&mut e.outcomes, "all verbs"),
            (&mut e.outcomes_by_class[verb], name),
        ] {
            let good = last.success_share(few);
            if last.failing != (good < if last.failing { 0.75 } else { 0.5 }) {
                last.failing = !last.failing;
                let word = if last.failing {
                    "failing"
                } else {
                    "well again"
                };
                let line = format!(
                    "endpoint {at} {word}, {what}: {:.0}% of its last outcomes good",
                    good * 100.0
                );
                self.actions.push(Action::Log(line));
            }
        }
    }

    /// Could not be reached: the next trial comes later each time.
    pub(super) fn record_unreachable(&mut self, at: EndpointIndex) {
        let e = &mut self.endpoints[at];
        e.times_unreachable += 1;
        e.retry_at =
            self.now + self.parameters.recovery_interval * (1 << e.times_unreachable.min(5));
        if e.times_unreachable == 3 {
            self.log(format!(
                "endpoint {at} could not be reached 3 times in a row"
            ));
        }
    }

    /// Guards against pushing over a process that restarted before the list says so: if it could not be
    /// reached and now can, it counts as cold from here.
    pub(super) fn record_reached(&mut self, at: EndpointIndex) {
        let (now, within) = (self.now, self.parameters.warm_up_time);
        let e = &mut self.endpoints[at];
        let misses = std::mem::take(&mut e.times_unreachable);
        e.retry_at = Duration::ZERO;
        if misses >= 3
            && e.started_at
                .is_none_or(|up| now.saturating_sub(up) > within)
        {
            e.restart_cold(now);
            self.next_refresh = now;
            self.log(format!(
                "endpoint {at} back after {misses} misses, taken as cold"
            ));
        }
    }
}
