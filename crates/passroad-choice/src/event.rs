//! The events that a balancer is given and the actions that it returns.

use crate::{BalancerConfig, LearnedState};
use std::time::Duration;

/// Slot of an endpoint; may be given out again after [`Action::ReleaseEndpoint`].
pub type EndpointIndex = usize;
/// Slot of a command; may be given out again after [`Action::ReleaseCommand`].
pub type CommandIndex = usize;

/// What an endpoint reports of its load; a value that it does not name is absent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Commands that it holds.
    pub outstanding: Option<f64>,
    /// Commands that wait there.
    pub backlog: Option<f64>,
    /// Share of time that it is busy, from 0 to 1.
    pub utilization: Option<f64>,
    /// Recent time of an answer, in milliseconds.
    pub recent_ms: Option<f64>,
    /// Answers a second.
    pub throughput: Option<f64>,
    /// Answers a second that are errors.
    pub errors_per_s: Option<f64>,
}

/// How a relay or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer that is not an error.
    Answered,
    /// The endpoint answered with an error of its own.
    Error,
    /// The endpoint refused it because it is full.
    Overloaded,
    /// No answer came in time.
    TimedOut,
    /// No connection was established, so nothing was sent.
    ConnectFailed,
    /// The connection broke after the command was sent, or part of it.
    ConnectionLost,
    /// By [`Action::CancelRelay`].
    Cancelled,
    /// It was not sent, for a reason that lies in this process.
    NotSent,
    /// The endpoint rejected the command itself; that says nothing of the endpoint's health.
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

/// State of an endpoint by the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes commands.
    Running,
    /// It ends what it holds and is sent nothing new.
    Draining,
    /// It has left for good.
    Removed,
}

/// What an update of the endpoint list holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// The endpoints that changed.
    Delta,
    /// All endpoints.
    Full,
    /// All endpoints by a stored copy, as the list service has not answered yet.
    Cached,
    /// Nothing: the request failed.
    Failed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    pub endpoint: EndpointIndex,
    /// [`crate::interner::stable_hash`] of its id, so the same at every sidecar.
    pub id_hash: u64,
    pub zone: usize,
    /// Part of its zone; see [`crate::DeduplicationScope::Cell`].
    pub cell: usize,
    /// Kind of machine or build.
    pub kind: usize,
    /// Weight against other endpoints.
    pub weight: f64,
    /// When its process started; zero where that is unknown.
    pub started_at: Duration,
    pub state: EndpointState,
}

/// A command that a client sent.
#[derive(Debug, Clone)]
pub struct CommandArrival {
    pub command: CommandIndex,
    /// Request class, by the indices of [`Action::ClassIndicesAssigned`] or else of the
    /// configuration.
    pub class: usize,
    /// Index of its tenant in the configuration.
    pub tenant: Option<usize>,
    /// Hash of what the command is about, for key affinity.
    pub key: Option<u64>,
    /// Time that the client gives it.
    pub budget: Duration,
    /// Work that it is expected to take.
    pub work: Option<Duration>,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// The client names it a write; not used by the decisions.
    pub is_write: bool,
    /// Which of the weights of [`Event::RouteWeightsChanged`] hold for it; zero without routes.
    pub weight_set: usize,
    /// Its body is still arriving: its time begins with [`Event::BodyComplete`].
    pub body_pending: bool,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// An update of the endpoint list.
    ListUpdated {
        kind: ListUpdateKind,
        entries: Vec<ListedEndpoint>,
    },
    /// Routes give weights of endpoints in weight sets. From here on an endpoint's weight in a set
    /// takes the place of the zone's part of its base weight, and is zero where none was given.
    RouteWeightsChanged {
        weights: Vec<(usize, EndpointIndex, f64)>,
    },
    /// Another configuration from here on. Open commands keep the class that they came with.
    Reconfigured(Box<BalancerConfig>),
    /// Operators cordon an endpoint or lift its cordon, whatever the list says meanwhile.
    CordonChanged {
        endpoint: EndpointIndex,
        cordoned: bool,
    },
    /// What the old process learnt, with the slots that its endpoints have in this process, if any.
    StateInherited {
        state: Box<LearnedState>,
        slots: Vec<Option<EndpointIndex>>,
    },
    /// A client sent a command.
    CommandArrived(CommandArrival),
    /// Part of a body that is not kept was sent: no other relay can be given it.
    BodyNotReplayable { command: CommandIndex },
    /// The body of a command with `body_pending` has arrived as a whole.
    BodyComplete { command: CommandIndex },
    /// The beginning of a relay's long answer is here. Nothing is passed on yet, but its endpoint is answering.
    AnswerBegun { command: CommandIndex, relay: usize },
    /// A relay's answer has begun, and nothing more of it has come for long. That proves nothing: it may go on.
    AnswerPaused { command: CommandIndex, relay: usize },
    /// The answer of a relay is being streamed to the client.
    StreamStarted { command: CommandIndex, relay: usize },
    /// A relay ended.
    RelayFinished {
        command: CommandIndex,
        relay: usize,
        outcome: Outcome,
        elapsed: Duration,
        /// The client has its final answer.
        concluded: bool,
        report: Option<LoadReport>,
    },
    /// The client no longer waits.
    CommandAbandoned { command: CommandIndex },
    /// A probe ended.
    ProbeFinished {
        endpoint: EndpointIndex,
        outcome: Outcome,
        elapsed: Duration,
        report: Option<LoadReport>,
    },
    /// Messages between sidecars are not used by these decisions.
    PeerMessageReceived { from: usize, bytes: Vec<u8> },
    /// A timer fired that [`Action::SetTimer`] set.
    TimerFired { token: u64 },
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a command to an endpoint. The relays of a command are numbered from zero in the order
    /// of these actions.
    Relay {
        command: CommandIndex,
        endpoint: EndpointIndex,
        /// Counted from now, as is `send_by`.
        timeout: Duration,
        /// Its first byte must not be sent any more after this.
        send_by: Duration,
    },
    /// Cancels a relay in flight.
    CancelRelay { command: CommandIndex, relay: usize },
    /// Answers that the command was not run, or that a retry does no harm, and when to retry.
    Refuse {
        command: CommandIndex,
        retry_after: Option<Duration>,
    },
    /// Answers that the command failed; it may have run.
    Fail { command: CommandIndex },
    /// Nothing more is held on this command; its slot may be given out again.
    ReleaseCommand { command: CommandIndex },
    /// The endpoint has left and nothing more is held on it; its slot may be given out again.
    ReleaseEndpoint { endpoint: EndpointIndex },
    /// Asks an endpoint for its load.
    Probe { endpoint: EndpointIndex },
    /// Closes the connections to an endpoint.
    Disconnect { endpoint: EndpointIndex },
    /// Starts or ends the subscription to the endpoint list.
    Subscribe { active: bool },
    /// Requests the endpoint list once; not used by these decisions.
    PollList,
    /// Sends a message to another sidecar; not used by these decisions.
    SendToPeer { to: Option<usize>, bytes: Vec<u8> },
    /// Asks for [`Event::TimerFired`] with this token.
    SetTimer { after: Duration, token: u64 },
    /// The answer to [`Event::Reconfigured`]: the index of each configured class, which commands
    /// are to use from here on.
    ClassIndicesAssigned { classes: Vec<usize> },
    /// Writes a line to the log.
    Log(String),
}
