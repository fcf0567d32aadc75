use super::Balancer;
use super::command::Command;
use super::endpoint::Endpoint;
use super::statistics::{DecayingCount, SMOOTHING};
use crate::EndpointIndex;

pub(crate) const KEY_SLOTS: usize = 4096;
pub(super) const HOMES_FACTOR: f64 = 1.5; // for a key, against those that its part of all commands would fill
const RESERVE_HOME_SHARE: f64 = 0.05;

/// What is left to chance of an endpoint's place for a key, the same wherever it is asked: exponential.
pub fn key_rank(mark: u64, key: u64) -> f64 {
    let mixed = (mark ^ key).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93);
    -(((mixed ^ mixed >> 32) & 0xffff_ffff) as f64 / 4_294_967_296.0)
        .max(1e-12)
        .ln()
}

impl Balancer {
    /// The few that are to remember a key, the same at every sidecar, with shares of their weight: as many as
    /// its part of all commands asks for, and two more. Guards against a key met everywhere, remembered
    /// nowhere. Zones share homes, so the root of the base weight ranks. A pass is for whatever is next.
    pub(super) fn key_homes(&self, c: &Command) -> Vec<(EndpointIndex, f64)> {
        let Some(key) = c.key else { return Vec::new() };
        let rate = |m: &DecayingCount| m.rate(self.now, 4 * SMOOTHING);
        let part =
            rate(&self.key_arrivals[key as usize % KEY_SLOTS]) / rate(&self.arrivals).max(1e-9);
        let wide = (HOMES_FACTOR * part * self.available_count).max(1.0);
        let ready = |(at, e): &(usize, &Endpoint)| {
            let here = e.available
                && self.now >= e.retry_at
                && self.admits_relays(e)
                && self.parameters.classes[c.class].allowed_on(e);
            here && !c.relays.iter().any(|r| r.endpoint == *at)
        };
        let place = |(at, e): (usize, &Endpoint)| match self.is_cold(e) {
            true => (0.0, at),
            false => (
                key_rank(e.id_hash, key) / self.base_weight(e, Some(c.weight_set)).sqrt().max(1e-9),
                at,
            ),
        };
        let mut places: Vec<_> = self
            .endpoints
            .iter()
            .enumerate()
            .filter(ready)
            .map(place)
            .collect();
        places.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let wide = wide + places.iter().filter(|(place, _)| *place == 0.0).count() as f64;
        let share = |(n, (_, at))| (at, (wide - n as f64).clamp(RESERVE_HOME_SHARE, 1.0));
        places
            .into_iter()
            .take(wide.ceil() as usize + 2)
            .enumerate()
            .map(share)
            .collect()
    }
}
