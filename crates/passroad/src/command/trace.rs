//! What becomes of one command, in the log at level debug and in the counters.

use super::FinalResponse;
use crate::metrics::{self, Counter};
use hyper::header::HeaderValue;
use passroad_choice::Outcome;
use std::net::SocketAddr;
use std::time::Duration;

/// Follows a command from its first relay to its end.
pub struct CommandTrace {
    id: HeaderValue,
    relays: usize,
    open_relays: usize,
}

impl CommandTrace {
    /// For the command with this id.
    pub fn new(id: &HeaderValue) -> Self {
        CommandTrace {
            id: id.clone(),
            relays: 0,
            open_relays: 0,
        }
    }

    /// A relay was ordered.
    pub fn relay_ordered(&mut self, relay: usize, address: SocketAddr, timeout: Duration) {
        log::debug!(
            "command {:?}: relay {relay} to {address}, timeout {timeout:.1?}, {} others open",
            self.id,
            self.open_relays
        );
        if self.open_relays > 0 {
            metrics::count(Counter::RelaysHedged);
        } else if self.relays > 0 {
            metrics::count(Counter::RelaysRetried);
        }
        self.relays += 1;
        self.open_relays += 1;
    }

    /// A relay has ended.
    pub fn relay_ended(&mut self, relay: usize, outcome: Outcome, elapsed: Duration) {
        log::debug!(
            "command {:?}: relay {relay} ended after {elapsed:.1?}: {outcome:?}",
            self.id
        );
        self.open_relays = self.open_relays.saturating_sub(1);
    }

    /// The client is sent its final response.
    pub fn concluded(&self, response: &FinalResponse) {
        let (counter, what) = match response {
            FinalResponse::FromEndpoint(_) => (Counter::CommandsAnswered, "answered"),
            FinalResponse::Refused { .. } => (Counter::CommandsRefused, "refused"),
            FinalResponse::Failed => (Counter::CommandsFailed, "failed"),
            FinalResponse::DeadlineExceeded => (Counter::CommandsOutOfTime, "out of time"),
        };
        metrics::count(counter);
        log::debug!("command {:?}: {what} after {} relays", self.id, self.relays);
    }

    /// The client has left without a final response.
    pub fn abandoned(&self) {
        metrics::count(Counter::CommandsAbandoned);
        log::debug!("command {:?}: its client has left", self.id);
    }
}
