//! The budget of memory for what the process holds for others: heads that are still coming, commands with the buffers of their two
//! connections, bodies that are kept. Whoever needs more than is left is refused before anything is sent on.

mod guard;
mod plan;
mod reserved_buffer;

use self::guard::{GuardChange, ResidentGuard};
use self::plan::Used;
pub use self::plan::{
    COMMAND_BYTES, CONNECTION_BYTES, MemoryPlan, SPARE_CONNECTION_BYTES, UPLOAD_BYTES,
    partial_head_bytes,
};
pub use self::reserved_buffer::ReservedBuffer;
use crate::metrics::{self, Counter};
use crate::resident_memory::ResidentMemory;
use bytes::Bytes;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often refusals are logged at most.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// Open connections of clients.
    Connections,
    /// The heads of requests that are still coming.
    Heads,
    /// Open commands.
    Commands,
    /// Bodies of commands that are streamed.
    Uploads,
    /// Bodies that are kept, of requests and responses.
    Bodies,
}

impl MemoryUse {
    const COUNT: usize = 5;

    /// What counts the refusals for this use.
    fn refusals(self) -> Counter {
        match self {
            MemoryUse::Connections => Counter::AcceptsWithoutMemory,
            MemoryUse::Heads => Counter::HeadsWithoutMemory,
            MemoryUse::Commands => Counter::CommandsWithoutMemory,
            MemoryUse::Uploads => Counter::UploadsWithoutMemory,
            MemoryUse::Bodies => Counter::BodiesWithoutMemory,
        }
    }
}

/// The memory that may be held for others.
pub struct MemoryBudget {
    plan: MemoryPlan,
    resident: ResidentMemory,
    baseline: usize, // resident at the start
    state: Mutex<State>,
}

struct State {
    total: usize,
    used: Used,
    guard: ResidentGuard,
    refused: [usize; MemoryUse::COUNT], // since they were last logged
    logged_at: Option<Instant>,
}

impl State {
    /// The most that may be reserved in all as of now.
    fn capacity(&self) -> usize {
        self.guard.cap().unwrap_or(usize::MAX).min(self.total)
    }

    fn record_refusal(&mut self, purpose: MemoryUse) {
        self.refused[purpose as usize] += 1;
        metrics::count(purpose.refusals());
    }

    /// Logs the refusals since the last time, if there were any and that is a while ago.
    fn log_refusals(&mut self, resident: &ResidentMemory) {
        if self.refused.iter().all(|refused| *refused == 0) {
            return;
        }
        if self.logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        let [_, heads, commands, uploads, bodies] = std::mem::take(&mut self.refused);
        let commands = commands + uploads;
        self.logged_at = Some(Instant::now());
        log::info!(
            heads = heads, commands = commands, bodies = bodies;
            "memory budget spent: {heads} heads and {commands} commands refused, {bodies} bodies not kept; {} of {} bytes reserved, {} resident",
            self.used.sum(), self.capacity(), resident.read().unwrap_or_default()
        );
    }
}

impl MemoryBudget {
    /// The whole budget of a plan.
    pub fn new(plan: MemoryPlan) -> Arc<Self> {
        let resident = ResidentMemory::new();
        let baseline = resident.read().unwrap_or_default();
        Arc::new(MemoryBudget {
            plan,
            resident,
            baseline,
            state: Mutex::new(State {
                total: plan.alone(),
                used: Used::default(),
                guard: ResidentGuard::new(plan.guard_level(1, baseline)),
                refused: [0; MemoryUse::COUNT],
                logged_at: None,
            }),
        })
    }

    /// A budget that is not spent in a test.
    #[cfg(test)]
    pub fn for_tests() -> Arc<Self> {
        MemoryBudget::new(MemoryPlan::new(192_000_000, 100, 100))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leaves a part to the other process of a handover, or takes it back. Memory in use stays in use.
    pub fn share(&self, shared: bool) {
        let (total, processes) = match shared {
            true => (self.plan.shared(), 2),
            false => (self.plan.alone(), 1),
        };
        let mut state = self.state();
        state.total = total;
        let level = self.plan.guard_level(processes, self.baseline);
        state.guard.set_level(level);
    }

    /// Reserves memory; none if too little is left.
    pub fn reserve(self: &Arc<Self>, purpose: MemoryUse, bytes: usize) -> Option<Reservation> {
        self.take(purpose, bytes).then(|| Reservation {
            budget: Arc::clone(self),
            purpose,
            bytes,
        })
    }

    fn take(&self, purpose: MemoryUse, bytes: usize) -> bool {
        let mut state = self.state();
        self.watch_resident(&mut state, bytes);
        let left = self.plan.left_for(purpose, state.capacity(), &state.used);
        let fits = bytes <= left;
        match fits {
            true => state.used.add(purpose, bytes),
            false => state.record_refusal(purpose),
        }
        state.log_refusals(&self.resident);
        fits
    }

    /// Reads the resident memory if that is due before these bytes are reserved.
    fn watch_resident(&self, state: &mut State, bytes: usize) {
        let now = Instant::now();
        if !state.guard.is_due(bytes, now) {
            return;
        }
        let Some(resident) = self.resident.read() else {
            return;
        };
        let (used, total) = (state.used.sum(), state.total);
        match state.guard.observe(resident, used, total, now) {
            Some(GuardChange::Closed(cap)) => {
                metrics::count(Counter::MemoryGuardClosed);
                log::warn!(
                    resident = resident, limit = self.plan.limit, reserved = used;
                    "{resident} of {} bytes resident: no more than {cap} bytes are reserved from here on, {used} are", self.plan.limit
                );
            }
            Some(GuardChange::Opened) => log::info!(
                resident = resident;
                "{resident} bytes resident: the whole memory budget is available again"
            ),
            None => {}
        }
    }

    /// Reserves memory for a connection that has been accepted, whatever is left. See `may_accept`.
    pub fn hold_connection(self: &Arc<Self>) -> Reservation {
        let mut state = self.state();
        state.used.add(MemoryUse::Connections, CONNECTION_BYTES);
        drop(state);
        Reservation {
            budget: Arc::clone(self),
            purpose: MemoryUse::Connections,
            bytes: CONNECTION_BYTES,
        }
    }

    /// Whether one more connection may be accepted. The estimate alone is no reason not to: who finds no memory for a command is
    /// refused over its connection.
    pub fn may_accept(&self) -> bool {
        let mut state = self.state();
        self.watch_resident(&mut state, 0);
        let cap = state.guard.cap();
        cap.is_none_or(|cap| state.used.sum() < cap + SPARE_CONNECTION_BYTES)
    }

    /// Whether a command may find no memory, so that connections without one should be closed.
    pub fn is_short(&self) -> bool {
        let state = self.state();
        let left = self
            .plan
            .left_for(MemoryUse::Commands, state.capacity(), &state.used);
        left < COMMAND_BYTES
    }

    /// The budget and what is held, for operators.
    pub fn status(&self) -> Value {
        let state = self.state();
        json!({
            "limit_bytes": self.plan.limit,
            "resident_bytes": self.resident.read(),
            "highest_resident_bytes": self.resident.highest(),
            "budget_bytes": state.capacity(),
            "reserved_bytes": {
                "connections": state.used.of(MemoryUse::Connections),
                "heads": state.used.of(MemoryUse::Heads),
                "commands": state.used.of(MemoryUse::Commands),
                "uploads": state.used.of(MemoryUse::Uploads),
                "bodies": state.used.of(MemoryUse::Bodies),
            },
        })
    }

    /// Raises a reservation to this size, or makes it. False, and unchanged, if too little is left.
    pub fn reserve_up_to(
        self: &Arc<Self>,
        purpose: MemoryUse,
        bytes: usize,
        reservation: &mut Option<Reservation>,
    ) -> bool {
        match reservation {
            Some(reservation) => reservation.grow_to(bytes),
            None => {
                *reservation = self.reserve(purpose, bytes);
                reservation.is_some()
            }
        }
    }

    /// Bytes that are reserved.
    #[cfg(test)]
    pub fn used(&self) -> usize {
        self.state().used.sum()
    }
}

/// Memory that is held until this is dropped.
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    purpose: MemoryUse,
    bytes: usize,
}

/// Bytes, and the memory that is reserved for them.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Reservation {
    /// Holds the reservation for as long as any part of these bytes is held, by whomever.
    pub fn hold_for(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }

    /// Raises the reservation to this size. False, and unchanged, if too little is left.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let grown = self.budget.take(self.purpose, more);
        self.bytes += if grown { more } else { 0 };
        grown
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.state().used.subtract(self.purpose, self.bytes);
    }
}

#[cfg(test)]
mod tests;
