//! Interning of outer ids: each gets a small index inside the process, and an index gives the id
//! again on the way out.

use rustc_hash::FxHashMap;
use std::hash::Hash;

/// Hash of a text (FNV-1a) that is the same at every sidecar and in every build.
pub fn stable_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// Gives each id a small index, and reuses the index that was released last. Never iterates over
/// its map, whose order would show.
#[derive(Debug, Default)]
pub struct Interner<K> {
    indices: FxHashMap<K, usize>,
    ids: Vec<Option<K>>,
    free: Vec<usize>,
}

impl<K: Eq + Hash + Clone> Interner<K> {
    /// An interner without ids.
    pub fn new() -> Self {
        Interner {
            indices: FxHashMap::default(),
            ids: Vec::new(),
            free: Vec::new(),
        }
    }

    /// The index of an id; a new one if the id has none.
    pub fn intern(&mut self, id: &K) -> usize {
        if let Some(&index) = self.indices.get(id) {
            return index;
        }
        let index = self.free.pop().unwrap_or(self.ids.len());
        if index == self.ids.len() {
            self.ids.push(Some(id.clone()));
        } else {
            self.ids[index] = Some(id.clone());
        }
        self.indices.insert(id.clone(), index);
        index
    }

    /// The index of an id, if it has one.
    pub fn get<Q>(&self, id: &Q) -> Option<usize>
    where
        K: std::borrow::Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.indices.get(id).copied()
    }

    /// The id of an index, if it is given out.
    pub fn name(&self, index: usize) -> Option<&K> {
        self.ids.get(index).and_then(Option::as_ref)
    }

    /// All indices that are given out and their ids, by index.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &K)> {
        let all = self.ids.iter().enumerate();
        all.filter_map(|(index, id)| Some((index, id.as_ref()?)))
    }

    /// Frees an index for another id.
    pub fn release(&mut self, index: usize) {
        if let Some(id) = self.ids.get_mut(index).and_then(Option::take) {
            self.indices.remove(&id);
            self.free.push(index);
        }
    }
}
