use crate::{CommandArrival, EndpointIndex, Outcome};
use std::time::Duration;

const BODY_PENDING_EXTENSION: Duration = Duration::from_secs(86_400); // the time of a command whose body still comes

/// For one relay.
#[derive(Clone, Copy)]
pub struct Relay {
    pub endpoint: EndpointIndex,
    pub sent_at: Duration,
    pub load_ahead: f64,    // what the endpoint was thought to hold
    pub report_weight: f64, // of that, the weight of what it had reported itself
    pub outcome: Option<Outcome>,
}

impl Relay {
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// For one command.
#[derive(Clone)]
pub struct Command {
    pub class: usize,
    pub weight_set: usize,
    pub key: Option<u64>,
    pub arrived_at: Duration,
    pub target_deadline: Duration, // its response goal passes
    pub client_deadline: Duration, // the client gives up
    pub value: f64,
    pub best_value: f64,            // value of the verb worth most at that time
    pub probe_wait_until: Duration, // it waits for heartbeats
    pub queue_deadline: Duration,   // it is given up if it still waits
    pub queued: bool,
    pub concluded: bool,
    pub streaming: bool,
    pub body_pending: bool,        // its body is
    pub body_not_replayable: bool, // no other relay can be given its body
    pub probe_rounds: u32,         // of heartbeats after the first
    pub relays: Vec<Relay>,
}

impl Command {
    pub fn new(a: &CommandArrival, now: Duration, due: Duration) -> Self {
        Command {
            class: a.class,
            weight_set: a.weight_set,
            key: None,
            arrived_at: now,
            target_deadline: due
                + if a.body_pending {
                    BODY_PENDING_EXTENSION
                } else {
                    Duration::ZERO
                },
            client_deadline: now
                + a.budget
                + if a.body_pending {
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
            streaming: false,
            body_pending: a.body_pending,
            body_not_replayable: false,
            probe_rounds: 0,
            relays: Vec::new(),
        }
    }

    /// Its body is there: its time runs from here, and that of its relays; where these are.
    pub fn body_complete(&mut self, now: Duration) -> Vec<EndpointIndex> {
        let late = now.saturating_sub(self.arrived_at);
        (self.target_deadline, self.client_deadline) = (
            self.target_deadline + late - BODY_PENDING_EXTENSION,
            self.client_deadline + late - BODY_PENDING_EXTENSION,
        );
        self.body_pending = false;
        let out = self.relays.iter_mut().filter(|r| r.outcome.is_none());
        let begun = out.map(|r| {
            r.sent_at = now;
            r.endpoint
        });
        begun.collect()
    }
}
