//! What a run needs of the machine, told before it begins and refused where it doesn't fit.

use super::plan::ScalePlan;

/// Hollow sidecars in a process, at most.
pub const A_HOST: usize = 122;
const MOST_PROCESSES: usize = 200;
/// Of one hollow sidecar: two runtimes, its socket and its connection to discovery.
const DESCRIPTORS: usize = 14;
/// Set aside in each process.
const SPARE: usize = 64;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    pub processes: usize,
    pub threads: usize,
    pub memory_mb: f64,
    /// Descriptors of the rig itself, and of the fullest host.
    pub descriptors: (usize, usize),
}

/// What the machine has.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    pub memory_mb: f64,
    pub free_mb: f64,
    pub descriptors: usize,
}

impl Machine {
    pub fn look() -> Machine {
        let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let of = |key: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(key));
            line.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok())
                .unwrap_or_default()
                / 1024.0
        };
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let descriptors = limit.map_or(usize::MAX, |most| most as usize);
        Machine {
            memory_mb: of("MemTotal:"),
            free_mb: of("MemAvailable:"),
            descriptors,
        }
    }
}

impl Need {
    /// Of the largest size of a plan; memory and descriptors as measured on 2026-12-02, with room.
    pub fn of(plan: &ScalePlan, sidecars: usize) -> Need {
        let hollow = sidecars - plan.real;
        let hosts = hollow.div_ceil(A_HOST);
        let a_host = hollow.div_ceil(hosts.max(1));
        // Each knows each: its state grows by both.
        let hollow_mb = 1.2 + 0.0035 * sidecars as f64;
        let called = if plan.load > 0.0 {
            sidecars + 64 * plan.real
        } else {
            0
        };
        Need {
            processes: hosts + plan.real,
            threads: 2 * hollow + 5 * plan.real + 6 * hosts,
            memory_mb: hollow as f64 * hollow_mb
                + plan.real as f64 * (8.0 + hollow_mb)
                + 80.0
                + 0.2 * sidecars as f64,
            descriptors: (
                4 * sidecars + called + 8 * (hosts + plan.real) + SPARE,
                DESCRIPTORS * a_host + SPARE,
            ),
        }
    }

    pub fn text(&self, machine: &Machine) -> String {
        format!(
            "needs {} processes of {MOST_PROCESSES}, {} threads, {:.0} MB of {:.0}, {} descriptors here and {} in a host of {}",
            self.processes,
            self.threads,
            self.memory_mb,
            machine.memory_mb / 2.0,
            self.descriptors.0,
            self.descriptors.1,
            machine.descriptors
        )
    }

    /// What does not fit.
    pub fn refused(&self, machine: &Machine) -> Option<String> {
        let most = (machine.memory_mb / 2.0).min(machine.free_mb);
        if self.processes > MOST_PROCESSES {
            return Some(format!(
                "{} processes, over {MOST_PROCESSES}",
                self.processes
            ));
        }
        if self.memory_mb > most {
            return Some(format!(
                "{:.0} MB, over the {most:.0} MB that may be used",
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
