//! The decisions of passroad and the types they speak in.
//!
//! [`choice::Balancer`] is handed events and returns actions. Ids are small indices given out by a
//! [`interner::Interner`]; times are spans since the start of the clock that drives it.

pub mod choice;
pub mod interner;
pub mod shadow;
mod state;

pub use state::LearnedState;

use std::time::Duration;

/// Slot of an endpoint; may be given out anew after [`Action::Release`].
pub type EndpointIndex = usize;
/// Slot of a command; may be given out anew after [`Action::Forget`].
pub type CommandIndex = usize;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed,
    NonIdempotent,
}

/// The endpoints that drop a repeat of a receipted command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Clone)]
pub struct RequestClassConfig {
    pub name: String,
    pub effect: Effect,
    pub deduplication_scope: DeduplicationScope,
    pub deduplication_window: Duration,
    pub deadline_target: Duration,
    pub time_limit: Duration,
    pub target_per_work: f64,
    pub utility: f64,
    pub late_utility: f64,
    pub stream: bool,
    /// The zones and the kinds where it may run, if not all.
    pub allowed_zones: Option<Vec<usize>>,
    pub allowed_kinds: Option<Vec<usize>>,
}

#[derive(Debug, Clone)]
pub struct TenantConfig {
    pub name: String,
    pub share: f64,
}

/// What an instance is handed at its start.
#[derive(Debug, Clone)]
pub struct BalancerConfig {
    pub seed: u64,
    pub own_zone: usize,
    pub zones: Vec<String>,
    pub kinds: Vec<String>, // those that verbs are bound to
    pub classes: Vec<RequestClassConfig>,
    pub tenants: Vec<TenantConfig>,
    pub surplus_utility: f64,
    pub objective_total: f64,
    pub objective_worst_class: f64,
    pub tick: Duration,
    pub max_relays: usize,
    pub max_retry_after: Option<Duration>,
    pub probes_allowed: bool,
    pub cancellation_allowed: bool,
    pub hedging_allowed: bool,
    pub list_on_request: bool,
    pub report_mode: ReportMode,
    pub live_weights: bool,
    pub warm_keys: bool, // an endpoint does less work for a key that it met lately
    pub probe_price: f64,
    pub cross_zone_price: f64,
    pub handshake_price: f64,
    pub idle_close: Duration,
    pub streams_per_connection: usize, // that one connection carries
    pub list_poll_interval: Duration,
    pub drain_grace: Duration,
    pub cold_capacity: f64,
    pub warm_up_time: Duration,
    pub overload_multiple: f64,
    pub overload_window: Duration,
}

impl BalancerConfig {
    /// Has zones and kinds named by the indices that the doors give them, in place of their order here.
    pub fn intern_names(
        &mut self,
        zones: &mut interner::Interner<String>,
        kinds: &mut interner::Interner<String>,
    ) {
        let zone_at: Vec<usize> = self.zones.iter().map(|zone| zones.intern(zone)).collect();
        let kind_at: Vec<usize> = self.kinds.iter().map(|kind| kinds.intern(kind)).collect();
        self.own_zone = zone_at.get(self.own_zone).copied().unwrap_or(usize::MAX);
        for verb in &mut self.classes {
            for (only, at) in [
                (&mut verb.allowed_zones, &zone_at),
                (&mut verb.allowed_kinds, &kind_at),
            ] {
                only.iter_mut()
                    .flatten()
                    .for_each(|ix| *ix = at.get(*ix).copied().unwrap_or(usize::MAX));
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportMode {
    Piggyback,
    Pull,
    Silent,
}

/// What an endpoint says of its load; absent values were not named.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    pub outstanding: Option<f64>,
    pub backlog: Option<f64>,
    pub utilization: Option<f64>,
    pub recent_ms: Option<f64>,
    pub throughput: Option<f64>,
    pub errors_per_s: Option<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Error,
    Overloaded,
    TimedOut,
    ConnectFailed,
    ConnectionLost,
    Cancelled,
    NotSent,
    /// The endpoint turns the command itself away; that says nothing of how it is.
    Rejected,
}

impl Outcome {
    /// Whether this outcome proves that the relay had no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    Running,
    Draining,
    Removed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdateKind {
    Delta,
    Full,
    Cached,
    Failed,
}

#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    pub endpoint: EndpointIndex,
    /// Made of its id by [`interner::stable_hash`], so the same at every sidecar.
    pub id_hash: u64,
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
    pub weight: f64,
    pub started_at: Duration,
    pub state: EndpointState,
}

#[derive(Debug, Clone)]
pub struct CommandArrival {
    pub command: CommandIndex,
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Option<u64>,
    pub budget: Duration,
    pub work: Option<Duration>,
    pub is_retry: bool,
    pub is_write: bool,
    /// Which of the weights told by [`Event::Steered`] hold for it; without routes there is one play, nought.
    pub weight_set: usize,
    /// Its body still comes: its time begins with [`Event::Whole`].
    pub body_pending: bool,
}

#[derive(Debug, Clone)]
pub enum Event {
    ListUpdated {
        kind: ListUpdateKind,
        entries: Vec<ListedEndpoint>,
    },
    /// Routes say which endpoints are in play, and with which base weight: from here on an endpoint's weight in a play
    /// takes the place of the zone's part of its base weight, and is nothing where none was told.
    RouteWeightsChanged {
        weights: Vec<(usize, EndpointIndex, f64)>,
    },
    /// Other orders from here on. Commands that are open keep those that they came with.
    Reconfigured(Box<BalancerConfig>),
    /// Operators take an endpoint out, or call it back; whatever the list says meanwhile.
    CordonChanged {
        endpoint: EndpointIndex,
        cordoned: bool,
    },
    /// What another instance learnt that was here before; its endpoints by the slots that they have now, if any.
    StateInherited {
        state: Box<LearnedState>,
        slots: Vec<Option<EndpointIndex>>,
    },
    CommandArrived(CommandArrival),
    /// Part of a body that is not kept has gone out: no other relay can be given it.
    BodyNotReplayable {
        command: CommandIndex,
    },
    /// All of a body that still came is there.
    BodyComplete {
        command: CommandIndex,
    },
    StreamStarted {
        command: CommandIndex,
        relay: usize,
    },
    RelayFinished {
        command: CommandIndex,
        relay: usize,
        outcome: Outcome,
        elapsed: Duration,
        concluded: bool,
        report: Option<LoadReport>,
    },
    CommandAbandoned {
        command: CommandIndex,
    },
    ProbeFinished {
        endpoint: EndpointIndex,
        outcome: Outcome,
        elapsed: Duration,
        report: Option<LoadReport>,
    },
    PeerMessageReceived {
        from: usize,
        bytes: Vec<u8>,
    },
    TimerFired {
        token: u64,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Relay {
        command: CommandIndex,
        endpoint: EndpointIndex,
        timeout: Duration,
        /// Later than this its first byte must not go out any more.
        send_by: Duration,
    },
    CancelRelay {
        command: CommandIndex,
        relay: usize,
    },
    Refuse {
        command: CommandIndex,
        retry_after: Option<Duration>,
    },
    Fail {
        command: CommandIndex,
    },
    /// The module holds nothing more on this command; its slot may be given out anew.
    ReleaseCommand {
        command: CommandIndex,
    },
    /// The endpoint has left, and the module holds nothing more on it; its slot may be given out anew.
    ReleaseEndpoint {
        endpoint: EndpointIndex,
    },
    Probe {
        endpoint: EndpointIndex,
    },
    Disconnect {
        endpoint: EndpointIndex,
    },
    Subscribe {
        active: bool,
    },
    PollList,
    SendToPeer {
        to: Option<usize>,
        bytes: Vec<u8>,
    },
    SetTimer {
        after: Duration,
        token: u64,
    },
    /// The answer to other orders: the verb of each, as commands are to name it from here on.
    ClassIndicesAssigned {
        classes: Vec<usize>,
    },
    Log(String),
}
