//! Random draws that are the same on every machine: a portable generator, and logarithms from libm, as those of the
//! system's math library differ in the last bit.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A generator whose draws depend only on its seed.
#[derive(Debug, Clone)]
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }

    /// An independent stream for each name and number under the same seed: draws on one don't change the others.
    pub fn stream(seed: u64, name: &str, number: u64) -> Self {
        let mix =
            |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3); // FNV-1a
        let hash = name
            .bytes()
            .chain(number.to_le_bytes())
            .fold(0xcbf2_9ce4_8422_2325 ^ seed, mix);
        SeededRng::new(hash)
    }

    /// Uniform from 0 up to 1, exclusive.
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Uniform from 0 up to `bound`, exclusive; 0 for 0.
    pub fn below(&mut self, bound: usize) -> usize {
        ((self.uniform() * bound as f64) as usize).min(bound.saturating_sub(1))
    }

    /// Exponential with mean 1.
    pub fn exponential(&mut self) -> f64 {
        -libm::log(1.0 - self.uniform())
    }

    /// Lognormal with mean 1; `sigma` is the standard deviation of its logarithm.
    pub fn lognormal(&mut self, sigma: f64) -> f64 {
        // Box-Muller transform.
        let (first, second) = (1.0 - self.uniform(), self.uniform());
        let normal =
            libm::sqrt(-2.0 * libm::log(first)) * libm::cos(std::f64::consts::TAU * second);
        libm::exp(sigma * normal - sigma * sigma / 2.0)
    }

    /// An index drawn by weights; the last one if all weights are 0.
    pub fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let mut remaining = self.uniform() * weights.iter().sum::<f64>();
        let hit = |weight: &f64| {
            remaining -= weight;
            remaining < 0.0
        };
        weights
            .iter()
            .position(hit)
            .unwrap_or(weights.len().saturating_sub(1))
    }
}
