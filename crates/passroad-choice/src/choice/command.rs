//! What is kept for each open command and each of its relays.

use crate::{CommandArrival, EndpointIndex, Outcome};
use std::time::Duration;

/// Added to the deadlines of a command whose body is still arriving: its time has not begun.
const BODY_PENDING_EXTENSION: Duration = Duration::from_secs(86_400);

/// One attempt of a command at one endpoint.
#[derive(Clone, Copy)]
pub struct Relay {
    pub endpoint: EndpointIndex,
    pub sent_at: Duration,
    /// Estimated load of the endpoint when the relay was sent, in commands at the mean capacity.
    pub load_ahead: f64,
    /// Weight that the endpoint's own report had in that estimate, from 0 to 1.
    pub report_weight: f64,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Relay {
    /// Whether its outcome does not prove that it had no effect.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// An open command, and its relays.
#[derive(Clone)]
pub struct Command {
    pub class: usize,
    pub weight_set: usize,
    pub key: Option<u64>,
    pub arrived_at: Duration,
    /// An answer after this misses the deadline target of its class.
    pub target_deadline: Duration,
    /// The client gives up.
    pub client_deadline: Duration,
    /// What an answer in time adds to the objective.
    pub value: f64,
    /// Value of the most valuable class when the command arrived.
    pub best_value: f64,
    /// It is held back until then for the answers of probes.
    pub probe_wait_until: Duration,
    /// It is given up if it is still queued then.
    pub queue_deadline: Duration,
    pub queued: bool,
    /// Its final answer is given; relays may still be in flight.
    pub concluded: bool,
    /// An endpoint has begun a long answer, which is not cut off at the deadline target.
    pub answering: bool,
    /// The answer is being streamed to the client.
    pub streaming: bool,
    /// Its body is still arriving.
    pub body_pending: bool,
    /// Part of its body was sent and is not kept, so no other relay can be given it.
    pub body_not_replayable: bool,
    /// Rounds of probes after the first.
    pub probe_rounds: u32,
    pub relays: Vec<Relay>,
}

impl Command {
    /// A command that has just arrived. Its value and key are set by the caller.
    pub fn new(arrival: &CommandArrival, now: Duration, target_deadline: Duration) -> Self {
        Command {
            class: arrival.class,
            weight_set: arrival.weight_set,
            key: None,
            arrived_at: now,
            target_deadline: target_deadline
                + if arrival.body_pending {
                    BODY_PENDING_EXTENSION
                } else {
                    Duration::ZERO
                },
            client_deadline: now
                + arrival.budget
                + if arrival.body_pending {
                    BODY_PENDING_EXTENSION
                } else {
                    Duration::ZERO
                },
            value: 0.0,
            best_value: 1.0,
            probe_wait_until: now,
            queue_deadline: now,
            queued: true,
            concluded: false,
            answering: false,
            streaming: false,
            body_pending: arrival.body_pending,
            body_not_replayable: false,
            probe_rounds: 0,
            relays: Vec::new(),
        }
    }

    /// The whole body has arrived: the deadlines and the relays in flight count from now. Returns
    /// the endpoints of these relays.
    pub fn body_complete(&mut self, now: Duration) -> Vec<EndpointIndex> {
        let upload_time = now.saturating_sub(self.arrived_at);
        self.target_deadline = self.target_deadline + upload_time - BODY_PENDING_EXTENSION;
        self.client_deadline = self.client_deadline + upload_time - BODY_PENDING_EXTENSION;
        self.body_pending = false;
        let in_flight = self.relays.iter_mut().filter(|r| r.outcome.is_none());
        let endpoints = in_flight.map(|relay| {
            relay.sent_at = now;
            relay.endpoint
        });
        endpoints.collect()
    }
}
