//! What the process may hold: its descriptors by use, and how it shares them, and room for bodies, with another process
//! beside it.

use crate::handover::{self, Inherited};
use crate::listener::ClientConnections;
use crate::management;
use crate::relay::Dialer;
use crate::request_handler::RequestHandler;
use crate::start::Start;
use std::sync::{Arc, Mutex, PoisonError};

/// Descriptors that are neither a client's nor an endpoint's: standard streams, the runtime, discovery.
const OTHER: usize = 32;
/// Descriptors that a process which gives way may still come to hold.
const BESIDE: usize = 16;
const LEAST: usize = 16;

/// Descriptors that the process may hold by the system's limit, less those that it was started with beyond its own. Guards
/// against clients that take the last of them where that is lower than what the configuration says: discovery, probes and
/// attempts would have none.
fn allowed() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let open = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
    limit(&limits).map_or(usize::MAX, |limit| {
        limit.saturating_sub(open.saturating_sub(OTHER / 2))
    })
}

/// The soft limit on descriptors; none where there is none.
fn limit(limits: &str) -> Option<usize> {
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Connections of clients and to endpoints, at most.
#[derive(Clone, Copy)]
pub struct Shares {
    pub clients: usize,
    pub endpoints: usize,
}

impl Shares {
    /// Commands hold a third of all at most, and each needs a connection to an endpoint; the rest is for clients, who
    /// may come in crowds.
    fn of(sockets: usize) -> Self {
        let sockets = sockets.max(LEAST);
        let endpoints = sockets * 2 / 5;
        Shares {
            clients: sockets - endpoints,
            endpoints,
        }
    }
}

/// The shares while another process may be beside this one, and those that it has alone.
pub struct Limits {
    pub now: Shares,
    alone: Shares,
}

impl Limits {
    pub fn of(start: &Start, before: Option<&Inherited>) -> Self {
        let other = OTHER + start.management.map_or(0, |_| management::SOCKETS);
        let sockets = start.sockets.min(allowed()).saturating_sub(other);
        // What the process before holds is not free yet; where it does not say, half is.
        let theirs = before.map_or(0, |before| match &before.known {
            Some(known) => known.descriptors + BESIDE,
            None => sockets / 2,
        });
        Limits {
            now: Shares::of(sockets.saturating_sub(theirs)),
            alone: Shares::of(sockets),
        }
    }
}

pub struct Room {
    pub limits: Limits,
    pub front: Arc<ClientConnections>,
    pub dialer: Dialer,
    pub intake: Arc<RequestHandler>,
    pub held_back: Mutex<usize>, // connections to endpoints, for the next process
}

impl handover::Room for Room {
    fn give_way(&self, away: bool) {
        self.front.set_accepting(!away);
        self.intake.share_body_budget(away);
        let mut held_back = self
            .held_back
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if away {
            *held_back += self.dialer.release_unused();
        } else {
            self.dialer.add_permits(std::mem::take(&mut *held_back));
        }
    }

    fn whole(&self) {
        let Limits { now, alone } = &self.limits;
        self.front.raise_limit(alone.clients);
        self.intake.share_body_budget(false);
        self.dialer.add_permits(alone.endpoints - now.endpoints);
    }
}
