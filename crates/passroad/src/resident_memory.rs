//! The memory that the process holds, as the system counts it.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

const STATM: &str = "/proc/self/statm";
/// More than the longest line of that file.
const STATM_BYTES: usize = 256;

/// Reads the resident memory of the process.
pub struct ResidentMemory {
    statm: Option<File>,
    page_bytes: usize,
    highest: AtomicUsize,
}

impl ResidentMemory {
    /// Without the system's file, nothing can be read.
    pub fn new() -> Self {
        let statm = File::open(STATM)
            .inspect_err(|error| log::warn!("{STATM}: {error}; resident memory is not watched"))
            .ok();
        ResidentMemory {
            statm,
            page_bytes: rustix::param::page_size(),
            highest: AtomicUsize::new(0),
        }
    }

    /// The resident memory in bytes; none if it can't be read.
    pub fn read(&self) -> Option<usize> {
        let mut line = [0; STATM_BYTES];
        let length = self.statm.as_ref()?.read_at(&mut line, 0).ok()?;
        let bytes = resident_pages(std::str::from_utf8(&line[..length]).ok()?)? * self.page_bytes;
        self.highest.fetch_max(bytes, Relaxed);
        Some(bytes)
    }

    /// The highest value that was read.
    pub fn highest(&self) -> usize {
        self.highest.load(Relaxed)
    }
}

/// The second field of the line.
fn resident_pages(line: &str) -> Option<usize> {
    line.split_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests;
