//! The votes that a voter stores on disk, if a state file is configured: after a restart it still has its state and
//! needs no recovery period.

use passroad_lease::{LeaseKey, Vote};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct StoredVotes {
    version: u32,
    name: String,
    votes: BTreeMap<LeaseKey, Vote>,
}

pub struct VoteStore {
    path: PathBuf,
    name: String,
    pub votes: BTreeMap<LeaseKey, Vote>,
    /// Whether there was a file: without one the voter has lost its state.
    pub found: bool,
}

impl VoteStore {
    /// Reads the file, if there is one. Fails for a file that is truncated or another sidecar's: a voter that relied on
    /// it could grant again what it has already granted to another member.
    pub fn open(path: &Path, name: &str) -> Result<VoteStore, String> {
        let describe = |what: String| format!("fleet: state {}: {what}", path.display());
        let (votes, found) = match std::fs::read(path) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => (BTreeMap::new(), false),
            Err(e) => return Err(describe(e.to_string())),
            Ok(bytes) => (read(&bytes, name).map_err(describe)?, true),
        };
        let store = VoteStore {
            path: path.into(),
            name: name.into(),
            votes,
            found,
        };
        // A file that can't be written is reported at the start, not at the first vote.
        store.write().map_err(|e| describe(e.to_string()))?;
        Ok(store)
    }

    pub fn store(&mut self, key: LeaseKey, vote: Vote) -> std::io::Result<()> {
        self.votes.insert(key, vote);
        self.write()
    }

    /// Replaces the file atomically, and returns once it is on disk.
    fn write(&self) -> std::io::Result<()> {
        let stored = StoredVotes {
            version: VERSION,
            name: self.name.clone(),
            votes: self.votes.clone(),
        };
        let body = postcard::to_stdvec(&stored).map_err(std::io::Error::other)?;
        let checksum = crc32fast::hash(&body).to_be_bytes();
        let new = self.path.with_extension("new");
        let mut file = File::create(&new)?;
        file.write_all(&checksum)?;
        file.write_all(&body)?;
        file.sync_all()?;
        std::fs::rename(&new, &self.path)?;
        let folder = self
            .path
            .parent()
            .filter(|f| !f.as_os_str().is_empty())
            .unwrap_or(Path::new("."));
        File::open(folder)?.sync_all()
    }
}

fn read(bytes: &[u8], name: &str) -> Result<BTreeMap<LeaseKey, Vote>, String> {
    let (checksum, body) = bytes.split_first_chunk::<4>().ok_or("truncated")?;
    if crc32fast::hash(body).to_be_bytes() != *checksum {
        return Err("truncated or changed: its checksum is wrong".into());
    }
    let stored: StoredVotes = postcard::from_bytes(body).map_err(|e| e.to_string())?;
    if stored.version != VERSION {
        return Err(format!("version {}, not {VERSION}", stored.version));
    }
    if stored.name != name {
        return Err(format!("it is of {}, not of {name}", stored.name));
    }
    Ok(stored.votes)
}

#[cfg(test)]
mod tests;
