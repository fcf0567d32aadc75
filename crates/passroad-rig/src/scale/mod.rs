//! Scale runs: as many sidecars on loopback as an operators' target has, simulated ones beside real processes. A
//! simulated sidecar (`hollow` in files and points) runs the program's own discovery, membership, leases, maintenance
//! and configuration without traffic; about a hundred share a host process.

pub mod command;
mod discovery;
mod evaluation;
pub mod host;
mod load;
pub mod measure;
mod network;
pub mod plan;
mod processes;
mod requirements;
mod run;

pub use measure::Point;
pub use plan::ScalePlan;
pub use requirements::{MachineResources, Requirements};

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even when it is poisoned, so that a panic in one task does not end the others.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A loopback address of its own for each stand-in (row) and sidecar. The process id keeps the addresses of rigs that
/// run side by side apart.
fn loopback_address(row: usize, column: usize) -> IpAddr {
    let block = 64 + (std::process::id() % 128) as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        block,
        (8 * row + column / 250 + 1) as u8,
        (column % 250 + 1) as u8,
    ))
}

/// The parts of a sidecar's status that a run evaluates.
fn status_summary(status: &Value) -> Value {
    let members = status["members"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let count = |standing: &str| {
        members
            .iter()
            .filter(|member| member["standing"] == standing)
            .count()
    };
    json!({
        "here": count("here"), "doubt": count("doubt"), "gone": count("gone"),
        "doubts": status["doubts"], "refuted": status["doubts_refuted"], "held_back": status["datagrams"]["held_back"],
    })
}

/// The temporary folder of a run; deleted when dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new() -> std::io::Result<TemporaryFolder> {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!(
            "passroad-scale-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The results of a run of one size and seed.
pub struct SizeResult {
    pub points: Vec<Point>,
    /// The values of the metrics that conditions refer to.
    pub figures: BTreeMap<&'static str, f64>,
    /// Lines to print.
    pub lines: Vec<String>,
}

/// Runs a plan with one size and seed; `program` is the rig's own executable.
pub fn run_size(
    plan: &ScalePlan,
    sidecars: usize,
    seed: u64,
    program: &Path,
) -> Result<SizeResult, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let result = runtime.block_on(run::run(plan, sidecars, seed, program));
    runtime.shutdown_background();
    result.map_err(|e| e.to_string())
}
