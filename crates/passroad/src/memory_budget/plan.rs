//! How the memory of a process is divided, and what each thing that it holds for others takes of it.

use super::MemoryUse;

/// What the process takes for itself, its code included.
const PROCESS_BYTES: usize = 8_000_000;
/// What a second process of a handover takes beyond the first, with which it shares its code.
const SECOND_PROCESS_BYTES: usize = 3_000_000;
/// One part in this many of the limit is left free, for what the allocator can't use again.
const RESERVE_DIVISOR: usize = 32;
/// The guard takes on no more with one part in this many of the limit left.
const GUARD_MARGIN_DIVISOR: usize = 14;
/// A client's connection: hyper's two buffers for it and its task.
pub const CONNECTION_BYTES: usize = 20 << 10;
/// A command beyond its client's connection: its relay, its endpoint's connection, and the first part of its response.
pub const COMMAND_BYTES: usize = 42 << 10;
/// What a command whose body is streamed takes on top, when its endpoint reads more slowly than its client writes.
pub const UPLOAD_BYTES: usize = 24 << 10;
/// A head that is still coming, beyond its connection and its own bytes.
const PARTIAL_HEAD_BYTES: usize = 8 << 10;
/// Bytes held for each byte of such a head: one in hyper's buffer, one for the framing.
const COPIES_OF_HEAD: usize = 2;
/// For connections beside as many commands as fit, since a refusal needs a connection, too.
pub const SPARE_CONNECTION_BYTES: usize = 24 * CONNECTION_BYTES;
/// Shares of a budget, of this many parts.
const SHARE_PARTS: usize = 16;
/// The most that connections may take.
const CONNECTIONS_SHARE: usize = 9;
/// The most that heads may take of what all connections leave, so that commands are served beside any number of them.
const HEADS_SHARE: usize = 12;
/// The most that kept bodies may take of it. What isn't kept is streamed.
const BODIES_SHARE: usize = 4;
/// What kept bodies may take even where commands may come to need all memory.
const MIN_BODIES_SHARE: usize = 1;

/// How the memory of a process is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The most that the process may hold.
    pub limit: usize,
    /// The most connections of clients.
    pub clients: usize,
    commands: usize, // the most of them at a time
}

impl MemoryPlan {
    /// For a process with this limit in bytes, and at most this many connections of clients and open commands. With little memory
    /// there are fewer connections.
    pub fn new(limit: usize, clients: usize, commands: usize) -> Self {
        let for_connections = share(available(limit, 1), CONNECTIONS_SHARE);
        MemoryPlan {
            limit,
            clients: clients.min(for_connections / CONNECTION_BYTES),
            commands,
        }
    }

    /// The budget of a process that is alone.
    pub(super) fn alone(self) -> usize {
        available(self.limit, 1)
    }

    /// The budget of each of the two processes of a handover.
    pub(super) fn shared(self) -> usize {
        available(self.limit, 2) / 2
    }

    /// The resident memory at which each of this many processes takes on no more, if each of them held `baseline` at its start.
    pub(super) fn guard_level(self, processes: usize, baseline: usize) -> usize {
        let level = (self.limit - self.limit / GUARD_MARGIN_DIVISOR) / processes;
        level.max(baseline + self.limit / 2 / processes)
    }

    /// What is left for a use, of a budget with `total` bytes of which these are used.
    pub(super) fn left_for(self, purpose: MemoryUse, total: usize, used: &Used) -> usize {
        let left = total.saturating_sub(used.sum());
        let all_connections = self.clients * CONNECTION_BYTES;
        let connections_to_come = all_connections.saturating_sub(used.of(MemoryUse::Connections));
        let for_requests = total.saturating_sub(all_connections);
        let of_share = |bytes: usize| left.min(bytes.saturating_sub(used.of(purpose)));
        match purpose {
            MemoryUse::Connections => left,
            MemoryUse::Commands => {
                let spare = connections_to_come.min(SPARE_CONNECTION_BYTES);
                left.saturating_sub(spare)
            }
            MemoryUse::Uploads => left.saturating_sub(connections_to_come),
            MemoryUse::Heads => of_share(share(for_requests, HEADS_SHARE)),
            MemoryUse::Bodies => {
                let beside_commands = for_requests.saturating_sub(self.commands * COMMAND_BYTES);
                let least = share(for_requests, MIN_BODIES_SHARE);
                of_share(beside_commands.clamp(least, share(for_requests, BODIES_SHARE)))
            }
        }
    }
}

fn share(total: usize, parts: usize) -> usize {
    total / SHARE_PARTS * parts
}

/// What this many processes leave of a limit for their clients: half of it at least, where the limit is too low for them.
fn available(limit: usize, processes: usize) -> usize {
    let own = PROCESS_BYTES + (processes - 1) * SECOND_PROCESS_BYTES;
    let reserve = limit / RESERVE_DIVISOR;
    limit.saturating_sub(own + reserve).max(limit / 2)
}

/// Bytes to reserve for the part of a head that has come.
pub fn partial_head_bytes(length: usize) -> usize {
    PARTIAL_HEAD_BYTES + COPIES_OF_HEAD * length
}

/// Bytes in use, by what they are held for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Used([usize; MemoryUse::COUNT]);

impl Used {
    pub(super) fn of(&self, purpose: MemoryUse) -> usize {
        self.0[purpose as usize]
    }

    pub(super) fn sum(&self) -> usize {
        self.0.iter().sum()
    }

    pub(super) fn add(&mut self, purpose: MemoryUse, bytes: usize) {
        self.0[purpose as usize] += bytes;
    }

    pub(super) fn subtract(&mut self, purpose: MemoryUse, bytes: usize) {
        self.0[purpose as usize] -= bytes;
    }
}
