//! Key affinity: commands with the same key are sent to the same few endpoints, which do less work
//! for a key that they met lately. Every sidecar computes the same endpoints for a key, by weighted
//! rendezvous hashing.

use super::Balancer;
use super::command::Command;
use super::endpoint::Endpoint;
use super::statistics::{DecayingCount, SMOOTHING};
use crate::EndpointIndex;

/// Slots in which the arrivals of keys are counted; a few keys share one.
pub(crate) const KEY_SLOTS: usize = 4096;
/// Homes of a key, against the endpoints that its share of all commands would fill.
pub(super) const HOMES_FACTOR: f64 = 1.5;
/// Share of its weight that a home in reserve gets.
const RESERVE_HOME_SHARE: f64 = 0.05;

/// Rank of an endpoint for a key before its weight is applied, the lowest first: exponentially
/// distributed over the endpoints, and the same at every sidecar.
pub fn key_rank(id_hash: u64, key: u64) -> f64 {
    let mixed = (id_hash ^ key).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93);
    -(((mixed ^ mixed >> 32) & 0xffff_ffff) as f64 / 4_294_967_296.0)
        .max(1e-12)
        .ln()
}

impl Balancer {
    /// Homes of a command's key, each with a share of its weight: as many endpoints as the key's
    /// share of all commands asks for, and two in reserve. Prevents a key from being met at every
    /// endpoint and remembered at none. Zones share homes, so the rank is divided by the square
    /// root of the base weight. A cold endpoint with a permit comes first, whatever the key.
    pub(super) fn key_homes(&self, command: &Command) -> Vec<(EndpointIndex, f64)> {
        let Some(key) = command.key else {
            return Vec::new();
        };
        let rate = |count: &DecayingCount| count.rate(self.now, 4 * SMOOTHING);
        let key_share =
            rate(&self.key_arrivals[key as usize % KEY_SLOTS]) / rate(&self.arrivals).max(1e-9);
        let homes = (HOMES_FACTOR * key_share * self.available_count).max(1.0);
        let is_candidate = |(index, endpoint): &(usize, &Endpoint)| {
            let is_ready = endpoint.available
                && self.now >= endpoint.retry_at
                && self.admits_relays(endpoint)
                && self.parameters.classes[command.class].allowed_on(endpoint);
            is_ready && !command.relays.iter().any(|r| r.endpoint == *index)
        };
        let ranked = |(index, endpoint): (usize, &Endpoint)| match self.is_cold(endpoint) {
            true => (0.0, index),
            false => (
                key_rank(endpoint.id_hash, key)
                    / self
                        .base_weight(endpoint, Some(command.weight_set))
                        .sqrt()
                        .max(1e-9),
                index,
            ),
        };
        let mut ranking: Vec<_> = self
            .endpoints
            .iter()
            .enumerate()
            .filter(is_candidate)
            .map(ranked)
            .collect();
        ranking.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let homes = homes + ranking.iter().filter(|(rank, _)| *rank == 0.0).count() as f64;
        let with_share =
            |(n, (_, index))| (index, (homes - n as f64).clamp(RESERVE_HOME_SHARE, 1.0));
        ranking
            .into_iter()
            .take(homes.ceil() as usize + 2)
            .enumerate()
            .map(with_share)
            .collect()
    }
}
