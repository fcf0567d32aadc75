//! Takes machines out for maintenance one after the other, by an operation log that all sidecars share. Each sidecar is
//! a participant: it stores the entries that it has received, sends nothing to machines that are out, and reports when
//! it has nothing left on them. The owner of the log's lease is the coordinator of that epoch: it takes requests into
//! the log and advances each machine. Nothing here does I/O or reads a clock.
//!
//! - A new coordinator first reads the log from a majority of the voters. A voter that restarted without state says so
//!   and doesn't count. No entry advances before a majority has its current step.
//! - A participant ignores coordinators of an epoch lower than the highest that it has seen.
//! - A machine is under maintenance only once every sidecar has reported, for this very step and since its own start,
//!   that it has nothing on the machine. What a silent sidecar still sends can't be known, so the log waits for it or
//!   for an operator.

mod capacity;
mod coordinator;
mod messages;
mod open_requests;
mod operation_log;
mod participant;
mod recovery;

#[cfg(test)]
mod tests;

pub use capacity::{Limits, ListedMachine, can_take_out};
pub use messages::{Action, MachineEvent, Message, OperatorAction, Rejection};
use open_requests::OpenRequest;
pub use operation_log::{Entry, Epoch, MachineId, MaintenanceState, OperationLog};
use recovery::Recovery;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub type Member = u16;
pub type Incarnation = u64;

/// Entries per datagram, at most.
const ENTRIES_PER_DATAGRAM: usize = 4;
/// Machines per request, at most.
pub const MAX_MACHINES_PER_REQUEST: usize = 20;
/// Entries that are stored; finished ones are removed first.
const MAX_ENTRIES: usize = 500;
/// Updates that the coordinator sends per tick, at most: its share of the datagrams.
const UPDATES_PER_TICK: usize = 5;
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Rounds of queries before members other than the voters are queried.
const VOTERS_ONLY_ROUNDS: u32 = 4;
/// A message without an answer is sent again after this.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// The settings of this sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceConfig {
    pub me: Member,
    pub members: usize,
    pub voters: Vec<Member>,
    pub limits: Limits,
}

/// What the caller knows at the time of a call.
pub struct Context<'a> {
    pub now: Duration, // monotonic
    pub wall: Duration,
    /// The epoch by which this sidecar owns the log's lease, if it does.
    pub owned_epoch: Option<Epoch>,
    /// The last known incarnation of each member.
    pub incarnations: &'a [Incarnation],
    /// The owner of the lease, as far as known.
    pub coordinator: Option<Member>,
    /// Machines in this sidecar's endpoint list.
    pub machines: &'a [ListedMachine],
    /// Whether this sidecar has nothing on a machine.
    pub idle: &'a dyn Fn(MachineId) -> bool,
}

#[derive(Debug)]
enum Role {
    Participant,
    Recovering(Epoch, Recovery),
    Coordinator(Epoch),
}

/// What a member has acknowledged: its incarnation, and for each machine the version and whether it has nothing on it.
type MemberAcks = (Incarnation, BTreeMap<MachineId, (Epoch, u32, bool)>);

/// An operator's request that the coordinator has not answered.
#[derive(Debug, Clone)]
struct PendingRequest {
    message: Message,
    sent_at: Option<Duration>,
}

pub struct MaintenanceManager {
    config: MaintenanceConfig,
    pub operation_log: OperationLog,
    uninformed: bool,
    /// Whether this sidecar's log counts towards a majority: it has received the whole log from a coordinator since it
    /// started, or was the coordinator. A log that it only queried from others may be outdated; the coordinator queries
    /// those others itself.
    authoritative: bool,
    /// Voters that have sent their whole log since this sidecar started.
    complete_replies: BTreeSet<Member>,
    highest_epoch: Epoch,
    role: Role,
    member_acks: BTreeMap<Member, MemberAcks>,
    last_sent: BTreeMap<(Member, MachineId), (Duration, Epoch, u32)>,
    sent_incarnations: BTreeMap<Member, Incarnation>,
    excluded: BTreeSet<MachineId>,
    /// Exclusions that the caller has put into effect: those that it was given before the latest tick.
    effective_exclusions: BTreeSet<MachineId>,
    /// Machines whose exclusion was lifted, and their position in the log.
    readmitted: BTreeMap<MachineId, u32>,
    own_acks: BTreeMap<MachineId, (Epoch, u32, bool)>,
    pending_requests: BTreeMap<u64, PendingRequest>,
    /// Requests whose effect a majority of the voters doesn't have yet.
    open_requests: BTreeMap<u64, OpenRequest>,
    forced: BTreeSet<MachineId>,
    reported: BTreeSet<(MachineId, Epoch, u32)>,
    next_member: usize,
    last_update: Option<Duration>,
    last_query: Option<Duration>,
}

impl MaintenanceManager {
    pub fn new(config: MaintenanceConfig) -> MaintenanceManager {
        MaintenanceManager {
            config,
            operation_log: OperationLog::default(),
            uninformed: true,
            authoritative: false,
            complete_replies: BTreeSet::new(),
            highest_epoch: 0,
            role: Role::Participant,
            member_acks: BTreeMap::new(),
            last_sent: BTreeMap::new(),
            sent_incarnations: BTreeMap::new(),
            excluded: BTreeSet::new(),
            effective_exclusions: BTreeSet::new(),
            readmitted: BTreeMap::new(),
            own_acks: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            forced: BTreeSet::new(),
            reported: BTreeSet::new(),
            next_member: 0,
            last_update: None,
            last_query: None,
        }
    }

    /// Whether this sidecar knows the log, even if it is empty.
    pub fn is_informed(&self) -> bool {
        !self.uninformed
    }

    /// Whether ticks are due at [`TICK_INTERVAL`].
    pub fn is_active(&self) -> bool {
        self.uninformed
            || !self.pending_requests.is_empty()
            || !matches!(self.role, Role::Participant)
            || self
                .operation_log
                .ordered()
                .iter()
                .any(|entry| !entry.state.is_finished())
    }

    pub fn is_coordinator(&self) -> bool {
        matches!(self.role, Role::Coordinator(_))
    }

    fn majority(&self) -> usize {
        self.config.voters.len() / 2 + 1
    }

    /// Takes an operator's request; the answer comes as [`Action::Respond`].
    pub fn submit(&mut self, message: Message) {
        if let Message::Schedule { request, .. } | Message::Operate { request, .. } = message {
            self.pending_requests
                .entry(request)
                .or_insert(PendingRequest {
                    message,
                    sent_at: None,
                });
        }
    }

    pub fn receive(&mut self, context: &Context, from: Member, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        match message {
            Message::Query {
                coordinator_epoch,
                offset,
            } => {
                // A participant that starts sends epoch 0; an outdated coordinator gets no answer.
                if coordinator_epoch > 0 && coordinator_epoch < self.highest_epoch {
                    return actions;
                }
                self.highest_epoch = self.highest_epoch.max(coordinator_epoch);
                let all = self.operation_log.ordered();
                let entries: Vec<Entry> = all
                    .iter()
                    .skip(offset as usize)
                    .take(ENTRIES_PER_DATAGRAM)
                    .copied()
                    .collect();
                let message = Message::QueryReply {
                    coordinator_epoch,
                    offset,
                    total: all.len() as u32,
                    uninformed: !self.authoritative,
                    entries,
                };
                actions.push(Action::Send { to: from, message });
            }
            Message::QueryReply {
                coordinator_epoch,
                offset,
                total,
                uninformed,
                entries,
            } => self.receive_query_reply(
                context,
                from,
                (coordinator_epoch, offset, total, uninformed),
                entries,
                &mut actions,
            ),
            Message::Update {
                coordinator_epoch,
                open_entries,
                entries,
            } => {
                if coordinator_epoch < self.highest_epoch {
                    return actions;
                }
                self.highest_epoch = coordinator_epoch;
                self.operation_log.apply_all(&entries);
                // Prevents mistaking a part of the log for the whole.
                let open = self
                    .operation_log
                    .ordered()
                    .iter()
                    .filter(|entry| !entry.state.is_finished())
                    .count();
                if open >= open_entries as usize {
                    (self.uninformed, self.authoritative) = (false, true);
                }
                self.operation_log.prune_finished(MAX_ENTRIES);
                self.apply_exclusions(&mut actions);
                let acks = entries
                    .iter()
                    .map(|entry| self.acknowledge(context, entry))
                    .collect();
                actions.push(Action::Send {
                    to: from,
                    message: Message::Ack {
                        coordinator_epoch,
                        acks,
                    },
                });
            }
            Message::Ack {
                coordinator_epoch,
                acks,
            } => {
                if matches!(self.role, Role::Coordinator(own) if own == coordinator_epoch) {
                    self.record_acks(context, from, acks);
                }
            }
            Message::Schedule {
                request,
                duration_s,
                auto_return,
                machines,
            } => self.schedule(
                context,
                from,
                (request, duration_s, auto_return),
                &machines,
                &mut actions,
            ),
            Message::Operate {
                request,
                machine,
                action,
            } => self.operate(context, from, request, machine, action, &mut actions),
            Message::Response { request, rejected } => {
                if self.pending_requests.remove(&request).is_some() {
                    actions.push(Action::Respond { request, rejected });
                }
            }
        }
        actions
    }

    /// Handles timers; the caller calls it every [`TICK_INTERVAL`].
    pub fn tick(&mut self, context: &Context) -> Vec<Action> {
        let mut actions = Vec::new();
        self.effective_exclusions.clone_from(&self.excluded);
        self.update_role(context);
        if self.uninformed
            && self
                .last_query
                .is_none_or(|at| context.now >= at + RESEND_INTERVAL)
        {
            self.last_query = Some(context.now);
            // A sidecar that has just started queries the voters for machines that are out.
            let others = self.config.voters.iter().filter(|k| **k != self.config.me);
            actions.extend(others.map(|to| Action::Send {
                to: *to,
                message: Message::Query {
                    coordinator_epoch: 0,
                    offset: 0,
                },
            }));
            if self.config.members <= 1 {
                (self.uninformed, self.authoritative) = (false, true);
            }
        }
        self.apply_exclusions(&mut actions);
        self.report_idle(context, &mut actions);
        self.forward_requests(context, &mut actions);
        match &self.role {
            Role::Participant => {}
            Role::Recovering(..) => self.recover(context, &mut actions),
            Role::Coordinator(epoch) => {
                let epoch = *epoch;
                self.coordinate(context, epoch, &mut actions);
                self.send_updates(context, epoch, &mut actions);
            }
        }
        actions
    }
}
