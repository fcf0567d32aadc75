//! What becomes of a datagram on its way, by the faults in force: the same on sockets and in virtual time.

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

/// A datagram that is held back.
type Held = (usize, usize, usize, Vec<u8>); // fault, from, to, bytes

#[derive(Debug)]
pub struct Wires {
    faults: Vec<Fault>,
    kept: Vec<Held>,
    chance: SeededRng,
    pub hits: usize,
}

impl Wires {
    pub fn new(seed: u64) -> Self {
        Wires {
            faults: Vec::new(),
            kept: Vec::new(),
            chance: SeededRng::stream(seed, "wires", 0),
            hits: 0,
        }
    }

    pub fn begin(&mut self, id: usize, from: Vec<bool>, to: Vec<bool>, what: What) {
        self.faults.push(Fault { id, from, to, what });
    }

    /// What it had held back is delivered now, in the order in which it was sent.
    pub fn end(&mut self, id: usize) -> Vec<(usize, usize, Vec<u8>)> {
        self.faults.retain(|fault| fault.id != id);
        let (out, kept) = std::mem::take(&mut self.kept)
            .into_iter()
            .partition(|(of, ..)| *of == id);
        self.kept = kept;
        let out: Vec<Held> = out;
        out.into_iter()
            .map(|(_, from, to, bytes)| (from, to, bytes))
            .collect()
    }

    /// After which times it arrives: never, once, or more often.
    pub fn pass(&mut self, from: usize, to: usize, bytes: &[u8]) -> Vec<Duration> {
        let mut arrives = vec![Duration::ZERO];
        for fault in &self.faults {
            let ahead = fault.from[from] && fault.to[to];
            let behind = fault.from[to] && fault.to[from];
            let hit = match fault.what {
                What::Cut { out, back } => {
                    let cut = out && ahead || back && behind;
                    if cut {
                        arrives.clear();
                    }
                    cut
                }
                _ if !(ahead || behind) => false,
                What::Lose(share) => {
                    let lost = self.chance.uniform() < share;
                    if lost {
                        arrives.clear();
                    }
                    lost
                }
                What::Late { by, spread } => {
                    arrives
                        .iter_mut()
                        .for_each(|at| *at += by + spread.mul_f64(self.chance.uniform()));
                    true
                }
                What::Twice(share) => {
                    let twice = self.chance.uniform() < share && !arrives.is_empty();
                    if twice {
                        let again = Duration::from_millis(self.chance.below(50) as u64);
                        arrives.push(arrives[0] + again);
                    }
                    twice
                }
                What::Keep => {
                    if !arrives.is_empty() {
                        arrives.clear();
                        self.kept.push((fault.id, from, to, bytes.to_vec()));
                    }
                    true
                }
                _ => false,
            };
            self.hits += usize::from(hit);
        }
        arrives
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn side(of: &[usize]) -> Vec<bool> {
        (0..3).map(|n| of.contains(&n)).collect()
    }

    #[rstest]
    #[case::both_ways(What::Cut { out: true, back: true }, (0, 0, 1))]
    #[case::out(What::Cut { out: true, back: false }, (0, 1, 1))]
    #[case::back(What::Cut { out: false, back: true }, (1, 0, 1))]
    #[case::all_lost(What::Lose(1.0), (0, 0, 1))]
    #[case::twice(What::Twice(1.0), (2, 2, 1))]
    #[case::kept(What::Keep, (0, 0, 1))]
    fn a_fault_hits_its_way_only(#[case] what: What, #[case] counts: (usize, usize, usize)) {
        let mut wires = Wires::new(1);
        wires.begin(0, side(&[0]), side(&[1]), what);
        let mut count = |from, to| wires.pass(from, to, b"x").len();
        assert_eq!((count(0, 1), count(1, 0), count(2, 1)), counts);
        wires.end(0);
        assert_eq!(wires.pass(0, 1, b"x").len(), 1);
    }

    #[rstest]
    fn what_was_kept_comes_at_the_end_in_order() {
        let mut wires = Wires::new(1);
        wires.begin(7, side(&[0]), side(&[1, 2]), What::Keep);
        wires.pass(0, 1, b"a");
        wires.pass(2, 0, b"b");
        assert_eq!(wires.end(7), [(0, 1, b"a".to_vec()), (2, 0, b"b".to_vec())]);
        assert_eq!(wires.end(7), []);
    }
}
