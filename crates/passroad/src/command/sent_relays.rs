//! Whether a command may run by one of its relays.

use crate::send_guard::SendGuard;
use passroad_choice::Outcome;
use std::sync::Arc;

/// The relays of a command, in the order in which they were ordered.
#[derive(Default)]
pub struct SentRelays(Vec<SentRelay>);

struct SentRelay {
    guard: Arc<SendGuard>,
    never_runs: bool, // proven by its outcome
}

impl SentRelays {
    /// Adds the next relay.
    pub fn add(&mut self, guard: &Arc<SendGuard>) {
        self.0.push(SentRelay {
            guard: Arc::clone(guard),
            never_runs: false,
        });
    }

    /// Records how a relay ended.
    pub fn record(&mut self, relay: usize, outcome: Outcome) {
        if let Some(relay) = self.0.get_mut(relay) {
            relay.never_runs = matches!(
                outcome,
                Outcome::NotSent | Outcome::ConnectFailed | Outcome::Overloaded
            );
        }
    }

    /// Whether the command may have run, or may run yet.
    pub fn may_run(&self) -> bool {
        self.0
            .iter()
            .any(|relay| relay.guard.has_started() && !relay.never_runs)
    }
}

#[cfg(test)]
mod tests;
