//! What a voter keeps on disk, where a file is named: so a restart has forgotten nothing and need not be mute.

use passroad_lease::{LeaseKey, Vote};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct Whole {
    version: u32,
    name: String,
    votes: BTreeMap<LeaseKey, Vote>,
}

pub struct Kept {
    path: PathBuf,
    name: String,
    pub votes: BTreeMap<LeaseKey, Vote>,
    /// Whether there was a file: without one the voter has forgotten.
    pub found: bool,
}

impl Kept {
    /// Reads the file, if there is one. Guards against a file that was cut short, or is another sidecar's: a voter that
    /// went by it could grant what it has already granted to somebody else.
    pub fn open(path: &Path, name: &str) -> Result<Kept, String> {
        let fault = |what: String| format!("fleet: state {}: {what}", path.display());
        let (votes, found) = match std::fs::read(path) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => (BTreeMap::new(), false),
            Err(e) => return Err(fault(e.to_string())),
            Ok(bytes) => (read(&bytes, name).map_err(fault)?, true),
        };
        let kept = Kept {
            path: path.into(),
            name: name.into(),
            votes,
            found,
        };
        // A file that can't be written is told at the start, not at the first vote.
        kept.write().map_err(|e| fault(e.to_string()))?;
        Ok(kept)
    }

    pub fn keep(&mut self, duty: LeaseKey, vote: Vote) -> std::io::Result<()> {
        self.votes.insert(duty, vote);
        self.write()
    }

    /// Whole or not at all, and on the disk before this returns.
    fn write(&self) -> std::io::Result<()> {
        let whole = Whole {
            version: VERSION,
            name: self.name.clone(),
            votes: self.votes.clone(),
        };
        let body = postcard::to_stdvec(&whole).map_err(std::io::Error::other)?;
        let sum = crc32fast::hash(&body).to_be_bytes();
        let new = self.path.with_extension("new");
        let mut file = File::create(&new)?;
        file.write_all(&sum)?;
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
    let (sum, body) = bytes.split_first_chunk::<4>().ok_or("cut short")?;
    if crc32fast::hash(body).to_be_bytes() != *sum {
        return Err("cut short or changed: its sum is wrong".into());
    }
    let whole: Whole = postcard::from_bytes(body).map_err(|e| e.to_string())?;
    if whole.version != VERSION {
        return Err(format!("version {}, not {VERSION}", whole.version));
    }
    if whole.name != name {
        return Err(format!("it is of {}, not of {name}", whole.name));
    }
    Ok(whole.votes)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case::as_it_was("n1", |_: &mut Vec<u8>| {}, "")]
    #[case::of_another("n2", |_: &mut Vec<u8>| {}, "it is of n1, not of n2")]
    #[case::cut("n1", |bytes: &mut Vec<u8>| bytes.truncate(9), "its sum is wrong")]
    #[case::empty("n1", |bytes: &mut Vec<u8>| bytes.clear(), "cut short")]
    #[case::changed("n1", |bytes: &mut Vec<u8>| bytes[7] ^= 1, "its sum is wrong")]
    fn a_file_is_taken_whole_or_refused(
        #[case] name: &str,
        #[case] turn: fn(&mut Vec<u8>),
        #[case] what: &str,
    ) {
        static COUNT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("passroad-kept-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("state");
        let mut kept = Kept::open(&path, "n1").unwrap();
        assert!(!kept.found);
        kept.keep(7, Vote::promised(5, 2)).unwrap();
        let mut bytes = std::fs::read(&path).unwrap();
        turn(&mut bytes);
        std::fs::write(&path, bytes).unwrap();
        let again = Kept::open(&path, name);
        std::fs::remove_dir_all(&folder).unwrap();
        match again {
            Ok(again) => assert!(what.is_empty() && again.found && again.votes[&7].promised == 5),
            Err(fault) => assert!(!what.is_empty() && fault.contains(what), "{fault}"),
        }
    }
}
