//! The door: outside ids become small indices here, and indices ids again on the way out.

use rustc_hash::FxHashMap;
use std::hash::Hash;

/// A number made of a text (FNV-1a): the same at every sidecar, in every build.
pub fn stable_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// Gives each id the lowest free index. Iteration order never shows.
#[derive(Debug, Default)]
pub struct Interner<K> {
    inside: FxHashMap<K, usize>,
    outside: Vec<Option<K>>,
    free: Vec<usize>,
}

impl<K: Eq + Hash + Clone> Interner<K> {
    pub fn new() -> Self {
        Interner {
            inside: FxHashMap::default(),
            outside: Vec::new(),
            free: Vec::new(),
        }
    }

    /// The index of an id, new if it is a stranger.
    pub fn intern(&mut self, id: &K) -> usize {
        if let Some(&ix) = self.inside.get(id) {
            return ix;
        }
        let ix = self.free.pop().unwrap_or(self.outside.len());
        if ix == self.outside.len() {
            self.outside.push(Some(id.clone()));
        } else {
            self.outside[ix] = Some(id.clone());
        }
        self.inside.insert(id.clone(), ix);
        ix
    }

    pub fn get<Q>(&self, id: &Q) -> Option<usize>
    where
        K: std::borrow::Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.inside.get(id).copied()
    }

    pub fn name(&self, ix: usize) -> Option<&K> {
        self.outside.get(ix).and_then(Option::as_ref)
    }

    /// Frees an index for the next stranger.
    pub fn release(&mut self, ix: usize) {
        if let Some(id) = self.outside.get_mut(ix).and_then(Option::take) {
            self.inside.remove(&id);
            self.free.push(ix);
        }
    }
}
