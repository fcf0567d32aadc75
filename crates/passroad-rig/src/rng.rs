//! Draws that are the same on every machine: a portable generator, and logarithms of a library of its own, as the
//! system's differ in the last bit.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[derive(Debug, Clone)]
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Another stream for each name and number under the same seed; draws on one don't move the others.
    pub fn stream(seed: u64, name: &str, n: u64) -> Self {
        let mix =
            |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3); // FNV-1a
        let hash = name
            .bytes()
            .chain(n.to_le_bytes())
            .fold(0xcbf2_9ce4_8422_2325 ^ seed, mix);
        SeededRng::new(hash)
    }

    /// From 0 up to 1.
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// From 0 up to `n`; 0 for 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((self.uniform() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// Exponential, of mean 1.
    pub fn exponential(&mut self) -> f64 {
        -libm::log(1.0 - self.uniform())
    }

    /// Lognormal, of mean 1; `spread` is the deviation of its logarithm.
    pub fn lognormal(&mut self, spread: f64) -> f64 {
        let (a, b) = (1.0 - self.uniform(), self.uniform());
        let normal = libm::sqrt(-2.0 * libm::log(a)) * libm::cos(std::f64::consts::TAU * b);
        libm::exp(spread * normal - spread * spread / 2.0)
    }

    /// A place among weights; the last for weights that are all nothing.
    pub fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let mut left = self.uniform() * weights.iter().sum::<f64>();
        let hit = |w: &f64| {
            left -= w;
            left < 0.0
        };
        weights
            .iter()
            .position(hit)
            .unwrap_or(weights.len().saturating_sub(1))
    }
}
