//! Applies the active faults to datagrams: loss, delay, duplication and holding back. Used on sockets and in virtual time.

use super::What;
use crate::rng::SeededRng;
use std::time::Duration;

#[derive(Debug)]
struct Fault {
    id: usize,
    from: Vec<bool>,
    to: Vec<bool>,
    what: What,
}

/// A datagram that is held back until a fault ends.
type HeldDatagram = (usize, usize, usize, Vec<u8>); // fault, from, to, bytes

#[derive(Debug)]
pub struct Wires {
    faults: Vec<Fault>,
    held_back: Vec<HeldDatagram>,
    rng: SeededRng,
    /// How often a fault took effect.
    pub hits: usize,
}

impl Wires {
    pub fn new(seed: u64) -> Self {
        Wires {
            faults: Vec::new(),
            held_back: Vec::new(),
            rng: SeededRng::stream(seed, "wires", 0),
            hits: 0,
        }
    }

    pub fn begin(&mut self, id: usize, from: Vec<bool>, to: Vec<bool>, what: What) {
        self.faults.push(Fault { id, from, to, what });
    }

    /// Ends a fault; returns the datagrams that it held back, in the order in which they were sent.
    pub fn end(&mut self, id: usize) -> Vec<(usize, usize, Vec<u8>)> {
        self.faults.retain(|fault| fault.id != id);
        let (released, held_back) = std::mem::take(&mut self.held_back)
            .into_iter()
            .partition(|(fault, ..)| *fault == id);
        self.held_back = held_back;
        let released: Vec<HeldDatagram> = released;
        released
            .into_iter()
            .map(|(_, from, to, bytes)| (from, to, bytes))
            .collect()
    }

    /// The delays after which a datagram arrives: none if it is lost or held back, several if it is duplicated.
    pub fn pass(&mut self, from: usize, to: usize, bytes: &[u8]) -> Vec<Duration> {
        let mut delays = vec![Duration::ZERO];
        for fault in &self.faults {
            let forward = fault.from[from] && fault.to[to];
            let backward = fault.from[to] && fault.to[from];
            let hit = match fault.what {
                What::Cut { out, back } => {
                    let cut = out && forward || back && backward;
                    if cut {
                        delays.clear();
                    }
                    cut
                }
                _ if !(forward || backward) => false,
                What::Lose(share) => {
                    let lost = self.rng.uniform() < share;
                    if lost {
                        delays.clear();
                    }
                    lost
                }
                What::Late { by, spread } => {
                    delays
                        .iter_mut()
                        .for_each(|delay| *delay += by + spread.mul_f64(self.rng.uniform()));
                    true
                }
                What::Twice(share) => {
                    let duplicated = self.rng.uniform() < share && !delays.is_empty();
                    if duplicated {
                        let extra = Duration::from_millis(self.rng.below(50) as u64);
                        delays.push(delays[0] + extra);
                    }
                    duplicated
                }
                What::Keep => {
                    if !delays.is_empty() {
                        delays.clear();
                        self.held_back.push((fault.id, from, to, bytes.to_vec()));
                    }
                    true
                }
                _ => false,
            };
            self.hits += usize::from(hit);
        }
        delays
    }
}

#[cfg(test)]
mod tests;
