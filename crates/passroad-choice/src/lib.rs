//! The decisions of passroad and the types they speak in.
//!
//! [`choice::Balancer`] is handed events and returns actions. Ids are small indices given out by a
//! [`door::Door`]; times are spans since the start of the clock that drives it.

pub mod choice;
pub mod door;
mod state;
pub mod watch;

pub use state::Memory;

use std::time::Duration;

/// Slot of an endpoint; may be given out anew after [`Action::Release`].
pub type EndpointIx = usize;
/// Slot of a command; may be given out anew after [`Action::Forget`].
pub type CmdIx = usize;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    Pure,
    Receipted,
    Effectful,
}

/// The endpoints that drop a repeat of a receipted command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Clone)]
pub struct VerbOrder {
    pub name: String,
    pub effect: Effect,
    pub group: Group,
    pub window: Duration,
    pub goal: Duration,
    pub limit: Duration,
    pub goal_stretch: f64,
    pub utility: f64,
    pub late_utility: f64,
    pub stream: bool,
    /// The zones and the kinds where it may run, if not all.
    pub only_zones: Option<Vec<usize>>,
    pub only_kinds: Option<Vec<usize>>,
}

#[derive(Debug, Clone)]
pub struct CompanyOrder {
    pub name: String,
    pub portion: f64,
}

/// What an instance is handed at its start.
#[derive(Debug, Clone)]
pub struct StandingOrders {
    pub seed: u64,
    pub zone: usize,
    pub zones: Vec<String>,
    pub kinds: Vec<String>, // those that verbs are bound to
    pub verbs: Vec<VerbOrder>,
    pub companies: Vec<CompanyOrder>,
    pub surplus_utility: f64,
    pub goal_whole: f64,
    pub goal_worst_verb: f64,
    pub tick: Duration,
    pub max_relays: usize,
    pub max_retry_after: Option<Duration>,
    pub probes: bool,
    pub may_cancel: bool,
    pub second_copies: bool,
    pub list_on_request: bool,
    pub reports: ReportsHow,
    pub weights_live: bool,
    pub warm_keys: bool, // an endpoint does less work for a key that it met lately
    pub probe_price: f64,
    pub cross_zone_price: f64,
    pub handshake_price: f64,
    pub idle_close: Duration,
    pub streams: usize, // that one connection carries
    pub ask_every: Duration,
    pub drain_grace: Duration,
    pub cold_from: f64,
    pub warm_within: Duration,
    pub tip_multiple: f64,
    pub tip_after: Duration,
}

impl StandingOrders {
    /// Has zones and kinds named by the indices that the doors give them, in place of their order here.
    pub fn through(&mut self, zones: &mut door::Door<String>, kinds: &mut door::Door<String>) {
        let zone_at: Vec<usize> = self.zones.iter().map(|zone| zones.admit(zone)).collect();
        let kind_at: Vec<usize> = self.kinds.iter().map(|kind| kinds.admit(kind)).collect();
        self.zone = zone_at.get(self.zone).copied().unwrap_or(usize::MAX);
        for verb in &mut self.verbs {
            for (only, at) in [
                (&mut verb.only_zones, &zone_at),
                (&mut verb.only_kinds, &kind_at),
            ] {
                only.iter_mut()
                    .flatten()
                    .for_each(|ix| *ix = at.get(*ix).copied().unwrap_or(usize::MAX));
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportsHow {
    Piggyback,
    Pull,
    Silent,
}

/// What an endpoint says of its load; absent values were not named.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
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
    Full,
    TimedOut,
    NoConnection,
    Broken,
    Recalled,
    Moot,
    /// The endpoint turns the command itself away; that says nothing of how it is.
    Unfit,
}

impl Outcome {
    /// Whether this outcome proves that the relay had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::Moot)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Running,
    Stopping,
    Deleted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    All,
    Remembered,
    Refused,
}

#[derive(Debug, Clone)]
pub struct Listing {
    pub endpoint: EndpointIx,
    /// Made of its id by [`door::mark`], so the same at every sidecar.
    pub mark: u64,
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
    pub rating: f64,
    pub started: Duration,
    pub mode: Mode,
}

#[derive(Debug, Clone)]
pub struct Arrival {
    pub cmd: CmdIx,
    pub verb: usize,
    pub company: Option<usize>,
    pub key: Option<u64>,
    pub budget: Duration,
    pub work: Option<Duration>,
    pub again: bool,
    pub write: bool,
    /// Which of the weights told by [`Event::Steered`] hold for it; without routes there is one play, nought.
    pub play: usize,
    /// Its body still comes: its time begins with [`Event::Whole`].
    pub uploads: bool,
}

#[derive(Debug, Clone)]
pub enum Event {
    Listed {
        kind: ListKind,
        entries: Vec<Listing>,
    },
    /// Routes say which endpoints are in play, and with which base weight: from here on an endpoint's weight in a play
    /// takes the place of the zone's part of its base weight, and is nothing where none was told.
    Steered {
        weights: Vec<(usize, EndpointIx, f64)>,
    },
    /// Other orders from here on. Commands that are open keep those that they came with.
    Retuned(Box<StandingOrders>),
    /// Operators take an endpoint out, or call it back; whatever the list says meanwhile.
    Cordoned {
        endpoint: EndpointIx,
        out: bool,
    },
    /// What another instance learnt that was here before; its endpoints by the slots that they have now, if any.
    Inherited {
        memory: Box<Memory>,
        slots: Vec<Option<EndpointIx>>,
    },
    Arrived(Arrival),
    /// Part of a body that is not kept has gone out: no other relay can be given it.
    Spent {
        cmd: CmdIx,
    },
    /// All of a body that still came is there.
    Whole {
        cmd: CmdIx,
    },
    StreamStarted {
        cmd: CmdIx,
        relay: usize,
    },
    Finished {
        cmd: CmdIx,
        relay: usize,
        outcome: Outcome,
        spent: Duration,
        concluded: bool,
        report: Option<Report>,
    },
    Lapsed {
        cmd: CmdIx,
    },
    Checked {
        endpoint: EndpointIx,
        outcome: Outcome,
        spent: Duration,
        report: Option<Report>,
    },
    PeerSaid {
        from: usize,
        bytes: Vec<u8>,
    },
    Due {
        token: u64,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Relay {
        cmd: CmdIx,
        endpoint: EndpointIx,
        within: Duration,
        /// Later than this its first byte must not go out any more.
        begin: Duration,
    },
    Recall {
        cmd: CmdIx,
        relay: usize,
    },
    Decline {
        cmd: CmdIx,
        not_before: Option<Duration>,
    },
    Terminate {
        cmd: CmdIx,
    },
    /// The module holds nothing more on this command; its slot may be given out anew.
    Forget {
        cmd: CmdIx,
    },
    /// The endpoint has left, and the module holds nothing more on it; its slot may be given out anew.
    Release {
        endpoint: EndpointIx,
    },
    Probe {
        endpoint: EndpointIx,
    },
    Disconnect {
        endpoint: EndpointIx,
    },
    Listen {
        active: bool,
    },
    AskList,
    Tell {
        to: Option<usize>,
        bytes: Vec<u8>,
    },
    Alarm {
        after: Duration,
        token: u64,
    },
    /// The answer to other orders: the verb of each, as commands are to name it from here on.
    Numbered {
        verbs: Vec<usize>,
    },
    Log(String),
}
