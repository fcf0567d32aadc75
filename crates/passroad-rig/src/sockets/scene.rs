//! What all tasks of a day on sockets share: the plan, the clock, the ledger, and who asked for what.

use crate::experiment::Plan;
use crate::ledger::{CommandId, Entry, Ledger, RelayId};
use crate::load::ClientRequest;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

pub struct Scene {
    pub plan: Plan,
    began: Instant,
    unix: Duration, // when the day began
    ledger: Mutex<Ledger>,
    asks: Mutex<Vec<ClientRequest>>,
    relays: AtomicUsize,
    pub connections: AtomicUsize,
}

/// A panic in one task must not end the others: what is held stays in use.
pub fn held<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Scene {
    /// The day begins a little later, so that all is in place by then.
    pub fn new(plan: Plan, begins_in: Duration) -> Self {
        Scene {
            plan,
            began: Instant::now() + begins_in,
            unix: SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default()
                + begins_in,
            ledger: Mutex::default(),
            asks: Mutex::default(),
            relays: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
        }
    }

    /// Since the day began; nothing before.
    pub fn now(&self) -> Duration {
        Instant::now().saturating_duration_since(self.began)
    }

    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        (self.began + at).into()
    }

    pub fn unix_ms(&self, at: Duration) -> u64 {
        (self.unix + at).as_millis() as u64
    }

    pub fn note(&self, entry: Entry) {
        held(&self.ledger).record(self.now(), entry);
    }

    /// The number of a command that is asked from here on. Its time counts from when the plan has it asked: what the
    /// load itself was late by must not look like a quicker answer.
    pub fn asked(&self, mut ask: ClientRequest, planned: Duration) -> (CommandId, ClientRequest) {
        let cmd = {
            let mut asks = held(&self.asks);
            ask.chain = Some(ask.chain.unwrap_or(asks.len()));
            asks.push(ask.clone());
            asks.len() - 1
        };
        let limit = self.plan.classes[ask.class].time_limit;
        let (chain, verb, instance) = (ask.chain.unwrap_or(cmd), ask.class, ask.instance);
        held(&self.ledger).record(
            planned,
            Entry::CommandArrived {
                command: cmd,
                chain,
                class: verb,
                instance,
                time_limit: limit,
            },
        );
        (cmd, ask)
    }

    /// What was asked under an id that an endpoint was sent.
    pub fn find(&self, id: &str) -> Option<(CommandId, ClientRequest)> {
        let cmd = usize::from_str_radix(id, 16).ok()?;
        held(&self.asks).get(cmd).cloned().map(|ask| (cmd, ask))
    }

    /// Asked, answered, declined and terminated so far.
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        held(&self.ledger).counts()
    }

    /// How many commands each instance was asked.
    pub fn commands(&self) -> Vec<usize> {
        let mut counts = vec![0; self.plan.instances];
        held(&self.asks)
            .iter()
            .for_each(|ask| counts[ask.instance] += 1);
        counts
    }

    pub fn relay(&self) -> RelayId {
        self.relays.fetch_add(1, Relaxed)
    }

    pub fn take_ledger(&self) -> Ledger {
        std::mem::take(&mut held(&self.ledger))
    }
}

pub fn id(cmd: CommandId) -> String {
    format!("{cmd:016x}")
}

/// An address of its own on the loopback network for each pair, so that whoever is called knows who calls. The process
/// number keeps rigs that run side by side apart.
pub fn address(row: usize, column: usize) -> IpAddr {
    let block = 64 + (std::process::id() % 128) as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        block,
        (row % 250) as u8 + 1,
        (column % 250) as u8 + 1,
    ))
}
