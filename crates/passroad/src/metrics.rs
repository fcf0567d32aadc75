//! Counts of what the process did and why, since its start. The operators' call `GET /admin/metrics` shows them.

use serde_json::{Map, Value};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Something that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    /// Commands whose final response is an endpoint's.
    CommandsAnswered,
    /// Commands refused as harmless to retry, whatever the reason.
    CommandsRefused,
    /// Commands that failed and may have run.
    CommandsFailed,
    /// Commands without a response in time.
    CommandsOutOfTime,
    /// Commands whose client left before their final response.
    CommandsAbandoned,
    /// Commands refused for lack of memory.
    CommandsWithoutMemory,
    /// Heads refused for lack of memory.
    HeadsWithoutMemory,
    /// Commands refused for lack of memory to stream their bodies.
    UploadsWithoutMemory,
    /// Bodies streamed for lack of memory.
    BodiesWithoutMemory,
    /// Times that connections were left in the backlog for lack of memory.
    AcceptsWithoutMemory,
    /// Times that the resident memory came so close to the limit that no more was taken on.
    MemoryGuardClosed,
    /// Relays beyond the first of their command, after the ones before had ended.
    RelaysRetried,
    /// Relays sent while another one of their command was open.
    RelaysHedged,
    /// Responses that paused for long within their time.
    ResponsesPaused,
    /// Client connections closed because no command came for too long.
    ConnectionsIdle,
    /// Client connections closed because slots ran short.
    ConnectionsEvicted,
    /// Client connections closed because a head took too long.
    ConnectionsHeadOverdue,
    /// Client connections closed for lack of memory for a head.
    ConnectionsWithoutMemory,
    /// Client connections closed because the process stops.
    ConnectionsStopped,
}

impl Counter {
    const ALL: [Counter; 19] = [
        Counter::CommandsAnswered,
        Counter::CommandsRefused,
        Counter::CommandsFailed,
        Counter::CommandsOutOfTime,
        Counter::CommandsAbandoned,
        Counter::CommandsWithoutMemory,
        Counter::HeadsWithoutMemory,
        Counter::UploadsWithoutMemory,
        Counter::BodiesWithoutMemory,
        Counter::AcceptsWithoutMemory,
        Counter::MemoryGuardClosed,
        Counter::RelaysRetried,
        Counter::RelaysHedged,
        Counter::ResponsesPaused,
        Counter::ConnectionsIdle,
        Counter::ConnectionsEvicted,
        Counter::ConnectionsHeadOverdue,
        Counter::ConnectionsWithoutMemory,
        Counter::ConnectionsStopped,
    ];

    fn name(self) -> &'static str {
        match self {
            Counter::CommandsAnswered => "commands_answered",
            Counter::CommandsRefused => "commands_refused",
            Counter::CommandsFailed => "commands_failed",
            Counter::CommandsOutOfTime => "commands_out_of_time",
            Counter::CommandsAbandoned => "commands_abandoned",
            Counter::CommandsWithoutMemory => "commands_without_memory",
            Counter::HeadsWithoutMemory => "heads_without_memory",
            Counter::UploadsWithoutMemory => "uploads_without_memory",
            Counter::AcceptsWithoutMemory => "accepts_without_memory",
            Counter::MemoryGuardClosed => "memory_guard_closed",
            Counter::BodiesWithoutMemory => "bodies_without_memory",
            Counter::RelaysRetried => "relays_retried",
            Counter::RelaysHedged => "relays_hedged",
            Counter::ResponsesPaused => "responses_paused",
            Counter::ConnectionsIdle => "connections_closed_idle",
            Counter::ConnectionsEvicted => "connections_closed_evicted",
            Counter::ConnectionsHeadOverdue => "connections_closed_head_overdue",
            Counter::ConnectionsWithoutMemory => "connections_closed_without_memory",
            Counter::ConnectionsStopped => "connections_closed_stopping",
        }
    }
}

static COUNTS: [AtomicU64; Counter::ALL.len()] = [const { AtomicU64::new(0) }; Counter::ALL.len()];

/// Counts one more.
pub fn count(counter: Counter) {
    COUNTS[counter as usize].fetch_add(1, Relaxed);
}

/// The count so far.
pub fn total(counter: Counter) -> u64 {
    COUNTS[counter as usize].load(Relaxed)
}

/// All counts by name.
pub fn counts() -> Map<String, Value> {
    Counter::ALL
        .iter()
        .map(|counter| (counter.name().to_string(), total(*counter).into()))
        .collect()
}

#[cfg(test)]
mod tests;
