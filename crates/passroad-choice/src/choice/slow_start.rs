use super::Balancer;
use super::endpoint::Endpoint;
use super::statistics::{DecayingCount, SMOOTHING, decay};
use crate::EndpointIndex;
use std::time::Duration;

const WARM_RATE_DECAY: Duration = Duration::from_secs(8); // answers of warm endpoints fade over this

/// What the warm endpoints of one kind answer, in place of what each of them could do.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmKind {
    pub answers: DecayingCount,
    pub(super) weight: f64, // by the list, of those that are warm, or were last
    pub any_warm: bool,
    pub last_rate: f64, // a second, for one of size 1, when the last of them left
}

impl WarmKind {
    /// Other endpoints of it are warm now; what one of them answers stays as it was.
    pub(super) fn set_weight(&mut self, now: Duration, size: f64) {
        self.last_rate = if self.any_warm && size <= 0.0 {
            self.rate(now)
        } else {
            self.last_rate
        };
        self.any_warm = size > 0.0;
        if self.any_warm {
            self.answers.sum *= if self.weight > 0.0 {
                size / self.weight
            } else {
                1.0
            };
            self.weight = size;
        }
    }

    /// Answers a second, for one of size 1.
    pub fn rate(&self, now: Duration) -> f64 {
        if self.weight > 0.0 {
            self.answers.unbiased_rate(now, WARM_RATE_DECAY) / self.weight
        } else {
            0.0
        }
    }
}

impl DecayingCount {
    /// Both counts in one.
    pub(super) fn merged(&self, other: &DecayingCount) -> DecayingCount {
        if self.sum <= 0.0 || other.sum <= 0.0 {
            return if self.sum > 0.0 { *self } else { *other };
        }
        let at = self.updated_at.max(other.updated_at);
        let faded = |f: &DecayingCount| f.sum * decay(at, f.updated_at, WARM_RATE_DECAY);
        DecayingCount {
            sum: faded(self) + faded(other),
            updated_at: at,
            started_at: self.started_at.min(other.started_at),
        }
    }

    pub(super) fn scaled(&self, share: f64) -> DecayingCount {
        DecayingCount {
            sum: self.sum * share,
            ..*self
        }
    }
}

impl Balancer {
    pub(crate) fn is_cold(&self, e: &Endpoint) -> bool {
        e.started_at
            .is_some_and(|up| self.now.saturating_sub(up) < self.parameters.warm_up_time)
    }

    /// Warm, or with a pass that still holds.
    pub(super) fn admits_relays(&self, e: &Endpoint) -> bool {
        !self.is_cold(e) || self.now < e.permit_until
    }

    pub(super) fn warm_up_ramp(&self, e: &Endpoint) -> f64 {
        let Some(up) = e.started_at else { return 1.0 };
        let age =
            self.now.saturating_sub(up).as_secs_f64() / self.parameters.warm_up_time.as_secs_f64();
        self.parameters.cold_capacity + (1.0 - self.parameters.cold_capacity) * age.min(1.0)
    }

    /// Answers a second of a warm one of this kind at size 1, or as last seen; of a new one the least of all.
    fn warm_rate(&self, kind: usize) -> f64 {
        let all = self
            .warm_kinds
            .iter()
            .filter(|k| k.any_warm)
            .map(|k| k.rate(self.now));
        let own = self
            .warm_kinds
            .get(kind)
            .filter(|k| k.any_warm || k.last_rate > 0.0);
        own.map(|k| {
            if k.any_warm {
                k.rate(self.now)
            } else {
                k.last_rate
            }
        })
        .or(all.reduce(f64::min))
        .unwrap_or_default()
    }

    /// An answer of a warm endpoint.
    pub(crate) fn record_warm_answer(&mut self, at: EndpointIndex) {
        let kind = self.endpoints[at].kind;
        self.warm_kinds
            .resize(self.warm_kinds.len().max(kind + 1), WarmKind::default());
        self.warm_kinds[kind]
            .answers
            .increment(self.now, WARM_RATE_DECAY);
    }

    /// Guards against pushing over a cold endpoint. Sidecars can't agree, so what each sends follows its ramp
    /// and the own rate to warm ones of its kind: each arrival draws whether there is a pass for one send,
    /// and for which. Unused it is soon lost, so that hundreds of sidecars never hold a burst in hand.
    pub(super) fn draw_slow_start_permit(&mut self) {
        let since = self
            .now
            .saturating_sub(std::mem::replace(&mut self.permit_drawn_at, self.now));
        let since = since.min(self.parameters.overload_window).as_secs_f64();
        let (count, nth, luck) = (
            self.cold_endpoints.len() as f64,
            self.random(),
            self.random(),
        );
        let due = |at: &EndpointIndex| {
            self.endpoints[*at]
                .trial_due
                .is_some_and(|from| self.now >= from)
        };
        let drawn = self.cold_endpoints.get((nth * count) as usize);
        let Some(at) = self
            .cold_endpoints
            .iter()
            .copied()
            .find(due)
            .or(drawn.copied())
        else {
            return;
        };
        let e = &self.endpoints[at];
        // Where nearly all are cold there is no warm rate to go by, but a share of what arrives.
        let arrivals =
            0.3 * self.arrivals.unbiased_rate(self.now, 4 * SMOOTHING) / self.available_count;
        let rate = (self.warm_rate(e.kind) * e.weight).max(arrivals * e.capacity);
        if due(&at)
            || luck < self.parameters.cold_send_share * rate * since * count * self.warm_up_ramp(e)
        {
            self.endpoints[at].permit_until = self.now + self.parameters.overload_window / 4;
            self.bring_into_view(at);
        }
    }
}
