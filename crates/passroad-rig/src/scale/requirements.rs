//! The resources that a run needs of the machine: printed before it starts, which is refused if they exceed the
//! machine's.

use super::plan::ScalePlan;

/// Maximum number of simulated sidecars in a host process.
pub const MAX_SIDECARS_PER_HOST: usize = 122;
const MAX_PROCESSES: usize = 200;
/// Descriptors of one simulated sidecar: two runtimes, its socket and its connection to discovery.
const DESCRIPTORS_PER_SIDECAR: usize = 14;
/// Descriptors reserved in each process.
const DESCRIPTOR_RESERVE: usize = 64;

/// The resources that a run needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Requirements {
    pub processes: usize,
    pub threads: usize,
    pub memory_mb: f64,
    /// Descriptors of the rig itself, and of the host with the most sidecars.
    pub descriptors: (usize, usize),
}

/// Memory and descriptor limit of the machine.
#[derive(Debug, Clone, Copy)]
pub struct MachineResources {
    pub memory_mb: f64,
    pub free_mb: f64,
    pub descriptors: usize,
}

impl MachineResources {
    pub fn read() -> MachineResources {
        let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let megabytes = |key: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(key));
            line.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok())
                .unwrap_or_default()
                / 1024.0
        };
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let descriptors = limit.map_or(usize::MAX, |maximum| maximum as usize);
        MachineResources {
            memory_mb: megabytes("MemTotal:"),
            free_mb: megabytes("MemAvailable:"),
            descriptors,
        }
    }
}

impl Requirements {
    /// The requirements of the largest size of a plan. Memory and descriptors include a margin.
    pub fn new(plan: &ScalePlan, sidecars: usize) -> Requirements {
        let simulated = sidecars - plan.real;
        let hosts = simulated.div_ceil(MAX_SIDECARS_PER_HOST);
        let sidecars_per_host = simulated.div_ceil(hosts.max(1));
        // Every sidecar knows every other one, so the state of each grows with their number.
        let sidecar_mb = 1.2 + 0.0035 * sidecars as f64;
        let load_descriptors = if plan.load > 0.0 {
            sidecars + 64 * plan.real
        } else {
            0
        };
        Requirements {
            processes: hosts + plan.real,
            threads: 2 * simulated + 5 * plan.real + 6 * hosts,
            memory_mb: simulated as f64 * sidecar_mb
                + plan.real as f64 * (8.0 + sidecar_mb)
                + 80.0
                + 0.2 * sidecars as f64,
            descriptors: (
                4 * sidecars + load_descriptors + 8 * (hosts + plan.real) + DESCRIPTOR_RESERVE,
                DESCRIPTORS_PER_SIDECAR * sidecars_per_host + DESCRIPTOR_RESERVE,
            ),
        }
    }

    pub fn summary(&self, machine: &MachineResources) -> String {
        format!(
            "needs {} processes of {MAX_PROCESSES}, {} threads, {:.0} MB of {:.0}, {} descriptors in the rig and {} in a host, of {}",
            self.processes,
            self.threads,
            self.memory_mb,
            machine.memory_mb / 2.0,
            self.descriptors.0,
            self.descriptors.1,
            machine.descriptors
        )
    }

    /// The first requirement that exceeds what the machine has.
    pub fn first_exceeded(&self, machine: &MachineResources) -> Option<String> {
        let available_mb = (machine.memory_mb / 2.0).min(machine.free_mb);
        if self.processes > MAX_PROCESSES {
            return Some(format!(
                "{} processes, over {MAX_PROCESSES}",
                self.processes
            ));
        }
        if self.memory_mb > available_mb {
            return Some(format!(
                "{:.0} MB, over the {available_mb:.0} MB that may be used",
                self.memory_mb
            ));
        }
        let descriptors = self.descriptors.0.max(self.descriptors.1);
        (descriptors > machine.descriptors).then(|| {
            format!(
                "{descriptors} descriptors in a process, over {}",
                machine.descriptors
            )
        })
    }
}
