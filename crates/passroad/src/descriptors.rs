//! The budget of descriptors by use, and how it and the memory budget are shared with the other process of a
//! handover.

use crate::config::SidecarConfig;
use crate::handover::{Inherited, SharedResources};
use crate::listener::ClientConnections;
use crate::management;
use crate::memory_budget::{MemoryBudget, MemoryPlan};
use crate::relay::Dialer;
use std::sync::{Arc, Mutex, PoisonError};

/// Descriptors that are neither a client's nor an endpoint's: standard streams, the runtime, discovery.
const OTHER_DESCRIPTORS: usize = 32;
/// Descriptors that the old process may still open after it has yielded its clients.
const OLD_PROCESS_RESERVE: usize = 16;
const MIN_SOCKETS: usize = 16;

/// Descriptors that the process may hold by the system's limit, less those that it inherited at its start. Prevents
/// clients from taking the last ones where this is lower than the configured limit: discovery, probes and attempts
/// would have none.
fn system_limit() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let open = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
    soft_limit(&limits).map_or(usize::MAX, |limit| {
        limit.saturating_sub(open.saturating_sub(OTHER_DESCRIPTORS / 2))
    })
}

/// The soft limit on descriptors; none if it is unlimited.
fn soft_limit(limits: &str) -> Option<usize> {
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// The most connections from clients and to endpoints.
#[derive(Clone, Copy)]
pub struct Shares {
    pub clients: usize,
    pub endpoints: usize,
}

impl Shares {
    /// At most a third of the sockets belongs to commands, each of which needs a connection to an endpoint. The rest is
    /// for clients, many of which may connect at once.
    fn of(sockets: usize) -> Self {
        let sockets = sockets.max(MIN_SOCKETS);
        let endpoints = sockets * 2 / 5;
        Shares {
            clients: sockets - endpoints,
            endpoints,
        }
    }

    /// Fewer connections of clients, if there is too little memory for so many.
    fn with_memory(self, memory: MemoryPlan) -> Self {
        Shares {
            clients: self.clients.min(memory.clients),
            ..self
        }
    }
}

/// The shares and the memory while the old process may still run, and those that this process has alone.
pub struct Limits {
    pub now: Shares,
    alone: Shares,
    pub memory: MemoryPlan,
}

impl Limits {
    pub fn of(config: &SidecarConfig, predecessor: Option<&Inherited>) -> Self {
        let other = OTHER_DESCRIPTORS + config.management.map_or(0, |_| management::SOCKETS);
        let sockets = config.max_sockets.min(system_limit()).saturating_sub(other);
        // What the old process holds isn't free yet. If its state is unknown, half is assumed.
        let theirs = predecessor.map_or(0, |predecessor| match &predecessor.state {
            Some(state) => state.descriptors + OLD_PROCESS_RESERVE,
            None => sockets / 2,
        });
        let alone = Shares::of(sockets);
        let memory = MemoryPlan::new(config.memory_bytes, alone.clients, alone.endpoints);
        Limits {
            now: Shares::of(sockets.saturating_sub(theirs)).with_memory(memory),
            alone: alone.with_memory(memory),
            memory,
        }
    }
}

pub struct DescriptorBudget {
    pub limits: Limits,
    pub connections: Arc<ClientConnections>,
    pub dialer: Dialer,
    pub memory: Arc<MemoryBudget>,
    pub withheld: Mutex<usize>, // connections to endpoints that are left to the new process
}

impl SharedResources for DescriptorBudget {
    fn yield_clients(&self, yielded: bool) {
        self.connections.set_accepting(!yielded);
        self.memory.share(yielded);
        let mut withheld = self.withheld.lock().unwrap_or_else(PoisonError::into_inner);
        if yielded {
            *withheld += self.dialer.release_unused();
        } else {
            self.dialer.add_permits(std::mem::take(&mut *withheld));
        }
    }

    fn predecessor_ended(&self) {
        let Limits { now, alone, .. } = &self.limits;
        self.connections.raise_limit(alone.clients);
        self.memory.share(false);
        self.dialer.add_permits(alone.endpoints - now.endpoints);
    }
}
