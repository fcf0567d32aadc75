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
mod operation_log;

#[cfg(test)]
mod tests;

pub use capacity::{Limits, ListedMachine, can_take_out};
pub use operation_log::{Entry, Epoch, MachineId, MaintenanceState, OperationLog};

use serde::{Deserialize, Serialize};
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

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Asks for log entries from an offset on. Sent by a new coordinator, or with epoch 0 by a participant that has
    /// just started.
    Query {
        coordinator_epoch: Epoch,
        offset: u32,
    },
    /// Entries from an offset on, and how many there are. Uninformed if the sender has received no log since it
    /// started.
    QueryReply {
        coordinator_epoch: Epoch,
        offset: u32,
        total: u32,
        uninformed: bool,
        entries: Vec<Entry>,
    },
    /// The coordinator's current steps of some entries, and how many entries are unfinished.
    Update {
        coordinator_epoch: Epoch,
        open_entries: u32,
        entries: Vec<Entry>,
    },
    /// Acknowledges versions of entries, each with whether the sender has nothing on the machine.
    Ack {
        coordinator_epoch: Epoch,
        acks: Vec<(MachineId, Epoch, u32, bool)>,
    },
    /// An operator's request to take machines out.
    Schedule {
        request: u64,
        duration_s: u32,
        auto_return: bool,
        machines: Vec<MachineId>,
    },
    /// An operator's action on one machine.
    Operate {
        request: u64,
        machine: MachineId,
        action: OperatorAction,
    },
    /// The coordinator and a majority have the request, or why it is rejected.
    Response {
        request: u64,
        rejected: Option<Rejection>,
    },
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OperatorAction {
    /// Cancels it, if maintenance has not begun.
    Withdraw,
    /// Ends the maintenance and returns the machine to use.
    Complete,
    /// Treats the machine as idle although some sidecars have not reported it.
    Force,
    /// Starts the coordinator with the entries it knows, although a majority of the voters has lost its state.
    Bootstrap,
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rejection {
    UnknownMachine,
    /// Maintenance has begun; it can only be completed.
    AlreadyStarted,
    NotUnderMaintenance,
    NotDraining,
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None for bytes that are no message or have trailing bytes.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        postcard::take_from_bytes(bytes)
            .ok()
            .filter(|(_, rest)| rest.is_empty())
            .map(|(message, _)| message)
    }
}

/// Actions for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Send {
        to: Member,
        message: Message,
    },
    /// Stop sending to a machine, or use it again.
    SetExcluded {
        machine: MachineId,
        excluded: bool,
    },
    /// The answer to an operator's request.
    Respond {
        request: u64,
        rejected: Option<Rejection>,
    },
    Report {
        machine: MachineId,
        event: MachineEvent,
    },
}

/// Events of a machine for the log, each reported once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineEvent {
    StateChanged(MaintenanceState),
    /// Some sidecars have not replied: the machine waits for them, or for an operator.
    WaitingForReplies {
        missing_replies: usize,
    },
    Forced {
        not_idle: usize,
    },
    /// Its duration is over, and it is still out.
    Overdue,
    /// Other machines are down: it goes back to the queue before its maintenance has begun.
    Requeued,
}

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

/// A new coordinator's progress in reading the log from the others.
#[derive(Debug, Default)]
struct Recovery {
    /// Voters that have sent their whole log and were informed.
    informed_replies: BTreeSet<Member>,
    /// Members that have sent their whole log, informed or not.
    replied: BTreeSet<Member>,
    /// Whether any of them was informed.
    any_informed: bool,
    offsets: BTreeMap<Member, u32>,
    queried_at: Duration,
    rounds: u32,
    next_member: Member,
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
    /// Requests whose entries a majority doesn't have yet, and which member sent them.
    open_requests: BTreeMap<u64, Member>,
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

    /// Starts or ends coordinating, or starts again by a new epoch.
    fn update_role(&mut self, context: &Context) {
        let epoch = match &self.role {
            Role::Participant => None,
            Role::Recovering(epoch, _) | Role::Coordinator(epoch) => Some(*epoch),
        };
        // An owner with an outdated epoch doesn't coordinate.
        let owned = context
            .owned_epoch
            .filter(|epoch| *epoch >= self.highest_epoch);
        if epoch == owned {
            return;
        }
        self.member_acks.clear();
        self.last_sent.clear();
        self.open_requests.clear();
        self.forced.clear();
        self.role = match owned {
            None => Role::Participant,
            Some(epoch) => {
                self.highest_epoch = epoch;
                let queried_at = context.now.saturating_sub(RESEND_INTERVAL);
                Role::Recovering(
                    epoch,
                    Recovery {
                        queried_at,
                        ..Recovery::default()
                    },
                )
            }
        };
    }

    /// Queries the voters until a majority has sent its whole log. If a majority of them has lost its state, all
    /// sidecars are queried: an entry that none of them knows is in effect nowhere.
    fn recover(&mut self, context: &Context, actions: &mut Vec<Action>) {
        let (majority, me, members) = (
            self.majority(),
            self.config.me,
            self.config.members as Member,
        );
        let Role::Recovering(epoch, recovery) = &mut self.role else {
            return;
        };
        if self.authoritative && self.config.voters.contains(&me) {
            recovery.informed_replies.insert(me);
        }
        recovery.replied.insert(me);
        recovery.any_informed |= self.authoritative;
        if recovery.informed_replies.len() >= majority
            || recovery.any_informed && recovery.replied.len() == self.config.members
        {
            let epoch = *epoch;
            (self.uninformed, self.authoritative) = (false, true);
            self.role = Role::Coordinator(epoch);
            return;
        }
        if context.now < recovery.queried_at + RESEND_INTERVAL {
            return;
        }
        recovery.queried_at = context.now;
        let voters = self
            .config
            .voters
            .iter()
            .copied()
            .filter(|k| *k != me && !recovery.informed_replies.contains(k));
        let mut ask: Vec<Member> = voters.collect();
        if recovery.rounds > VOTERS_ONLY_ROUNDS {
            let others = (0..members).map(|n| (n + recovery.next_member) % members);
            let left = others.filter(|n| !recovery.replied.contains(n) && !ask.contains(n));
            let left: Vec<Member> = left.take(2 * UPDATES_PER_TICK).collect();
            recovery.next_member = left.last().map_or(0, |last| last + 1);
            ask.extend(left);
        }
        recovery.rounds += 1;
        for to in ask {
            let offset = recovery.offsets.get(&to).copied().unwrap_or(0);
            actions.push(Action::Send {
                to,
                message: Message::Query {
                    coordinator_epoch: *epoch,
                    offset,
                },
            });
        }
    }

    fn receive_query_reply(
        &mut self,
        context: &Context,
        from: Member,
        (coordinator_epoch, offset, total, uninformed): (Epoch, u32, u32, bool),
        entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) {
        let next = offset.saturating_add(entries.len() as u32);
        let more = !entries.is_empty() && next < total;
        if coordinator_epoch == 0 {
            // For a participant that starts: a majority of the voters knows every machine that is out.
            if !uninformed && self.uninformed {
                self.operation_log.apply_all(&entries);
                if more {
                    actions.push(Action::Send {
                        to: from,
                        message: Message::Query {
                            coordinator_epoch: 0,
                            offset: next,
                        },
                    });
                } else {
                    self.complete_replies.insert(from);
                    self.uninformed = self.complete_replies.len() < self.majority();
                }
                self.apply_exclusions(actions);
            }
            return;
        }
        let Role::Recovering(epoch, recovery) = &mut self.role else {
            return;
        };
        if *epoch != coordinator_epoch || recovery.informed_replies.contains(&from) {
            return;
        }
        self.operation_log.apply_all(&entries);
        if more {
            recovery.offsets.insert(from, next);
            actions.push(Action::Send {
                to: from,
                message: Message::Query {
                    coordinator_epoch,
                    offset: next,
                },
            });
        } else {
            recovery.replied.insert(from);
            recovery.any_informed |= !uninformed;
            if self.config.voters.contains(&from) && (!uninformed || self.is_fresh_fleet(context)) {
                self.mark_informed(from);
            }
        }
    }

    fn mark_informed(&mut self, from: Member) {
        if let Role::Recovering(_, recovery) = &mut self.role {
            recovery.informed_replies.insert(from);
        }
    }

    /// Whether no voter can have lost a log: a majority is known, and all known ones started within the window.
    fn is_fresh_fleet(&self, context: &Context) -> bool {
        // A new fleet starts together. A single voter that started late may have lost its state.
        let incarnation_of = |member: &Member| {
            context
                .incarnations
                .get(usize::from(*member))
                .copied()
                .unwrap_or(0)
        };
        let known: Vec<Incarnation> = self
            .config
            .voters
            .iter()
            .map(incarnation_of)
            .filter(|n| *n > 0)
            .collect();
        let (least, most) = (
            known.iter().min().copied().unwrap_or(0),
            known.iter().max().copied().unwrap_or(0),
        );
        known.len() >= self.majority()
            && most - least < self.config.limits.fleet_start_window.as_millis() as u64
    }

    /// Excludes machines that are out, and lifts exclusions of those that no longer are.
    fn apply_exclusions(&mut self, actions: &mut Vec<Action>) {
        let now: BTreeSet<MachineId> = self
            .operation_log
            .out()
            .map(|entry| entry.machine)
            .collect();
        for machine in now.difference(&self.excluded) {
            actions.push(Action::SetExcluded {
                machine: *machine,
                excluded: true,
            });
        }
        for machine in self.excluded.difference(&now) {
            actions.push(Action::SetExcluded {
                machine: *machine,
                excluded: false,
            });
        }
        self.excluded = now;
        // Also lifts an exclusion that was inherited in a handover, if it ended before this process received the entry.
        let returning: Vec<Entry> = self
            .operation_log
            .ordered()
            .into_iter()
            .filter(|e| e.state == MaintenanceState::WarmingUp)
            .collect();
        for entry in returning {
            if self.readmitted.insert(entry.machine, entry.position) != Some(entry.position) {
                actions.push(Action::SetExcluded {
                    machine: entry.machine,
                    excluded: false,
                });
            }
        }
    }

    /// Acknowledges an entry. Idle is only what was checked after the exclusion took effect, or a command could be sent
    /// between the check and the exclusion.
    fn acknowledge(&mut self, context: &Context, entry: &Entry) -> (MachineId, Epoch, u32, bool) {
        let idle =
            self.effective_exclusions.contains(&entry.machine) && (context.idle)(entry.machine);
        let ack = (entry.epoch, entry.step, idle);
        self.own_acks.insert(entry.machine, ack);
        (entry.machine, ack.0, ack.1, ack.2)
    }

    /// Reports draining machines that have become idle, without being asked.
    fn report_idle(&mut self, context: &Context, actions: &mut Vec<Action>) {
        let draining: Vec<Entry> = self
            .operation_log
            .out()
            .filter(|e| e.state == MaintenanceState::Draining)
            .copied()
            .collect();
        let mut acks = Vec::new();
        for entry in draining {
            let before = self.own_acks.get(&entry.machine).copied();
            let reported =
                matches!(before, Some((epoch, step, true)) if (epoch, step) == entry.version());
            let idle =
                self.effective_exclusions.contains(&entry.machine) && (context.idle)(entry.machine);
            if !reported && idle && acks.len() < ENTRIES_PER_DATAGRAM {
                acks.push(self.acknowledge(context, &entry));
            }
        }
        if let Some(to) = context.coordinator.filter(|_| !acks.is_empty()) {
            let message = Message::Ack {
                coordinator_epoch: self.highest_epoch,
                acks,
            };
            if to == self.config.me {
                if let Message::Ack { acks, .. } = message {
                    self.record_acks(context, to, acks);
                }
            } else {
                actions.push(Action::Send { to, message });
            }
        }
    }

    /// Sends operators' requests to the coordinator until it answers.
    fn forward_requests(&mut self, context: &Context, actions: &mut Vec<Action>) {
        let Some(to) = context.coordinator else {
            return;
        };
        let mut own = Vec::new();
        for pending in self.pending_requests.values_mut() {
            if pending
                .sent_at
                .is_none_or(|at| context.now >= at + RESEND_INTERVAL)
            {
                pending.sent_at = Some(context.now);
                if to == self.config.me {
                    own.push(pending.message.clone());
                } else {
                    actions.push(Action::Send {
                        to,
                        message: pending.message.clone(),
                    });
                }
            }
        }
        for message in own {
            let replies = self.receive(context, to, message);
            self.receive_own(context, replies, actions);
        }
    }

    fn receive_own(&mut self, context: &Context, replies: Vec<Action>, actions: &mut Vec<Action>) {
        for action in replies {
            match action {
                Action::Send { to, message } if to == self.config.me => {
                    let replies = self.receive(context, to, message);
                    self.receive_own(context, replies, actions);
                }
                action => actions.push(action),
            }
        }
    }

    fn record_acks(
        &mut self,
        context: &Context,
        from: Member,
        acks: Vec<(MachineId, Epoch, u32, bool)>,
    ) {
        let incarnation = context
            .incarnations
            .get(usize::from(from))
            .copied()
            .unwrap_or(0);
        let (of, stored) = self.member_acks.entry(from).or_default();
        // Acknowledgements from before the member restarted no longer count.
        if *of != incarnation {
            (*of, *stored) = (incarnation, BTreeMap::new());
        }
        for (machine, epoch, step, idle) in acks {
            let known = stored.entry(machine).or_insert((0, 0, false));
            if (epoch, step) >= (known.0, known.1) {
                // Once idle, a machine stays idle: nothing new is sent to it.
                let idle = idle || (epoch, step) == (known.0, known.1) && known.2;
                *known = (epoch, step, idle);
            }
        }
    }

    fn schedule(
        &mut self,
        context: &Context,
        from: Member,
        (request, duration_s, auto_return): (u64, u32, bool),
        machines: &[MachineId],
        actions: &mut Vec<Action>,
    ) {
        let Role::Coordinator(epoch) = self.role else {
            return;
        };
        let reply = |message| Action::Send { to: from, message };
        let known = |machine: &MachineId| {
            context
                .machines
                .iter()
                .any(|listed| listed.machine == *machine)
        };
        if machines.is_empty()
            || machines.len() > MAX_MACHINES_PER_REQUEST
            || !machines.iter().all(known)
        {
            return actions.push(reply(Message::Response {
                request,
                rejected: Some(Rejection::UnknownMachine),
            }));
        }
        for machine in machines {
            // A machine that is already in the log keeps its position.
            if self
                .operation_log
                .get(*machine)
                .is_some_and(|entry| !entry.state.is_finished())
            {
                continue;
            }
            // This very request has been completed.
            if self
                .operation_log
                .get(*machine)
                .is_some_and(|entry| entry.request == request)
            {
                continue;
            }
            let step = self
                .operation_log
                .get(*machine)
                .filter(|e| e.epoch == epoch)
                .map_or(0, |e| e.step.saturating_add(1));
            let position = self.operation_log.last_position().saturating_add(1);
            let (machine, state) = (*machine, MaintenanceState::Queued);
            self.operation_log.apply(Entry {
                machine,
                request,
                position,
                state,
                epoch,
                step,
                duration_s,
                ends_at_s: 0,
                auto_return,
            });
        }
        self.open_requests.insert(request, from);
    }

    /// Starts coordinating with the known entries, as an operator declared that no other machine is out.
    fn bootstrap(&mut self) {
        if let Role::Recovering(epoch, _) = self.role {
            (self.uninformed, self.authoritative) = (false, true);
            self.role = Role::Coordinator(epoch);
        }
    }

    fn operate(
        &mut self,
        context: &Context,
        from: Member,
        request: u64,
        machine: MachineId,
        action: OperatorAction,
        actions: &mut Vec<Action>,
    ) {
        if action == OperatorAction::Bootstrap {
            self.bootstrap();
        }
        let Role::Coordinator(epoch) = self.role else {
            return;
        };
        let state = self.operation_log.get(machine).map(|entry| entry.state);
        let rejected = match (action, state) {
            (
                OperatorAction::Withdraw,
                Some(MaintenanceState::Queued | MaintenanceState::Draining),
            ) => {
                self.advance(
                    context,
                    epoch,
                    machine,
                    MaintenanceState::Withdrawn,
                    actions,
                );
                None
            }
            (OperatorAction::Withdraw, Some(MaintenanceState::Withdrawn))
            | (
                OperatorAction::Complete,
                Some(
                    MaintenanceState::Completed
                    | MaintenanceState::WarmingUp
                    | MaintenanceState::Warm,
                ),
            ) => None,
            (OperatorAction::Withdraw, Some(_)) => Some(Rejection::AlreadyStarted),
            (OperatorAction::Complete, Some(MaintenanceState::UnderMaintenance)) => {
                self.advance(
                    context,
                    epoch,
                    machine,
                    MaintenanceState::Completed,
                    actions,
                );
                None
            }
            (OperatorAction::Complete, Some(_)) => Some(Rejection::NotUnderMaintenance),
            (OperatorAction::Force, Some(MaintenanceState::Draining)) => {
                self.forced.insert(machine);
                None
            }
            (OperatorAction::Force, Some(MaintenanceState::UnderMaintenance)) => None,
            (OperatorAction::Force, Some(_)) => Some(Rejection::NotDraining),
            (OperatorAction::Bootstrap, _) => None,
            (_, None) => Some(Rejection::UnknownMachine),
        };
        actions.push(Action::Send {
            to: from,
            message: Message::Response { request, rejected },
        });
    }

    fn advance(
        &mut self,
        context: &Context,
        epoch: Epoch,
        machine: MachineId,
        state: MaintenanceState,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.operation_log.get(machine).copied() else {
            return;
        };
        let step = if entry.epoch == epoch {
            entry.step.saturating_add(1)
        } else {
            0
        };
        let ends_at_s = match state {
            MaintenanceState::UnderMaintenance => {
                (context.wall.as_secs() as u32).saturating_add(entry.duration_s)
            }
            // The end of the warm-up.
            MaintenanceState::WarmingUp => {
                (context.wall + self.config.limits.warm_up_time).as_secs() as u32 + 1
            }
            _ => 0,
        };
        self.operation_log.apply(Entry {
            state,
            epoch,
            step,
            ends_at_s,
            ..entry
        });
        actions.push(Action::Report {
            machine,
            event: MachineEvent::StateChanged(state),
        });
        self.apply_exclusions(actions);
        let entry = Entry {
            state,
            epoch,
            step,
            ends_at_s,
            ..entry
        };
        let own = self.acknowledge(context, &entry);
        self.record_acks(context, self.config.me, vec![own]);
    }

    /// For the current version of an entry: how many voters have it, and how many sidecars have not reported to be
    /// idle.
    fn count_acks(&self, context: &Context, entry: &Entry) -> (usize, usize) {
        let (mut holders, mut not_idle) = (0, 0);
        for member in 0..self.config.members as Member {
            let incarnation = context
                .incarnations
                .get(usize::from(member))
                .copied()
                .unwrap_or(0);
            let ack = self
                .member_acks
                .get(&member)
                .filter(|(of, _)| *of == incarnation);
            let ack = ack.and_then(|(_, acks)| acks.get(&entry.machine));
            let has = member == self.config.me
                || ack.is_some_and(|(epoch, step, _)| (*epoch, *step) >= entry.version());
            let idle =
                ack.is_some_and(|(epoch, step, idle)| (*epoch, *step) == entry.version() && *idle);
            holders += usize::from(has && self.config.voters.contains(&member));
            not_idle += usize::from(!idle);
        }
        (holders, not_idle)
    }

    /// Advances each machine by a step once a majority has the current one.
    fn coordinate(&mut self, context: &Context, epoch: Epoch, actions: &mut Vec<Action>) {
        let majority = self.majority();
        let ordered = self.operation_log.ordered();
        // Takes over entries of an earlier coordinator under the own epoch, so that all sidecars receive them again.
        for entry in ordered
            .iter()
            .filter(|e| e.epoch != epoch && !e.state.is_finished())
        {
            self.operation_log.apply(Entry {
                epoch,
                step: 0,
                ..*entry
            });
        }
        let ordered = self.operation_log.ordered();
        let mut replicated = Vec::new();
        for entry in ordered.iter().filter(|e| !e.state.is_finished()) {
            let (holders, not_idle) = self.count_acks(context, entry);
            if holders < majority {
                continue;
            }
            replicated.push(entry.machine);
            match entry.state {
                MaintenanceState::Draining
                    if not_idle == 0 || self.forced.contains(&entry.machine) =>
                {
                    if not_idle > 0 {
                        let event = MachineEvent::Forced { not_idle };
                        actions.push(Action::Report {
                            machine: entry.machine,
                            event,
                        });
                    }
                    self.forced.remove(&entry.machine);
                    self.advance(
                        context,
                        epoch,
                        entry.machine,
                        MaintenanceState::UnderMaintenance,
                        actions,
                    );
                }
                MaintenanceState::Draining => {
                    let missing_replies = self.missing_replies(context, entry);
                    if missing_replies > 0
                        && self
                            .reported
                            .insert((entry.machine, entry.epoch, entry.step))
                    {
                        actions.push(Action::Report {
                            machine: entry.machine,
                            event: MachineEvent::WaitingForReplies { missing_replies },
                        });
                    }
                }
                MaintenanceState::UnderMaintenance
                    if context.wall.as_secs() as u32 >= entry.ends_at_s =>
                {
                    if entry.auto_return {
                        self.advance(
                            context,
                            epoch,
                            entry.machine,
                            MaintenanceState::Completed,
                            actions,
                        );
                    } else if self
                        .reported
                        .insert((entry.machine, entry.epoch, entry.step))
                    {
                        actions.push(Action::Report {
                            machine: entry.machine,
                            event: MachineEvent::Overdue,
                        });
                    }
                }
                MaintenanceState::Completed => self.advance(
                    context,
                    epoch,
                    entry.machine,
                    MaintenanceState::WarmingUp,
                    actions,
                ),
                MaintenanceState::WarmingUp if context.wall.as_secs() as u32 >= entry.ends_at_s => {
                    self.advance(
                        context,
                        epoch,
                        entry.machine,
                        MaintenanceState::Warm,
                        actions,
                    );
                }
                _ => {}
            }
        }
        // A request is answered once a majority has all its entries.
        let done = |request: &u64| {
            let mut entries = ordered.iter().filter(|e| e.request == *request);
            entries.all(|entry| entry.state.is_finished() || replicated.contains(&entry.machine))
        };
        let answered: Vec<(u64, Member)> = self
            .open_requests
            .iter()
            .filter(|(r, _)| done(r))
            .map(|(r, to)| (*r, *to))
            .collect();
        for (request, to) in answered {
            self.open_requests.remove(&request);
            let message = Message::Response {
                request,
                rejected: None,
            };
            if to == self.config.me {
                let replies = self.receive(context, to, message);
                actions.extend(replies);
            } else {
                actions.push(Action::Send { to, message });
            }
        }
        self.start_next(context, epoch, &replicated, actions);
    }

    /// How many sidecars have not acknowledged the current version.
    fn missing_replies(&self, context: &Context, entry: &Entry) -> usize {
        let has = |member: &Member| {
            let incarnation = context
                .incarnations
                .get(usize::from(*member))
                .copied()
                .unwrap_or(0);
            let ack = self
                .member_acks
                .get(member)
                .filter(|(of, _)| *of == incarnation);
            ack.and_then(|(_, acks)| acks.get(&entry.machine))
                .is_some_and(|(e, s, _)| (*e, *s) >= entry.version())
        };
        (0..self.config.members as Member)
            .filter(|member| *member != self.config.me && !has(member))
            .count()
    }

    /// Starts to drain the first machine of the queue, if the limits allow it. Strictly in order, so that no machine is
    /// overtaken.
    fn start_next(
        &mut self,
        context: &Context,
        epoch: Epoch,
        replicated: &[MachineId],
        actions: &mut Vec<Action>,
    ) {
        let ordered = self.operation_log.ordered();
        let unavailable: BTreeSet<MachineId> = ordered
            .iter()
            .filter(|e| e.state.is_out() || e.state == MaintenanceState::WarmingUp)
            .map(|e| e.machine)
            .collect();
        let draining = ordered
            .iter()
            .rev()
            .find(|e| e.state == MaintenanceState::Draining);
        // Other machines have failed in the meantime: one whose maintenance has not begun returns to the queue.
        if let Some(entry) = draining.filter(|_| {
            capacity::exceeds_limit(&self.config.limits, context.machines, &unavailable)
        }) {
            let machine = entry.machine;
            actions.push(Action::Report {
                machine,
                event: MachineEvent::Requeued,
            });
            return self.advance(context, epoch, machine, MaintenanceState::Queued, actions);
        }
        let first = ordered.iter().find(|e| e.state == MaintenanceState::Queued);
        if let Some(entry) = first.filter(|e| replicated.contains(&e.machine))
            && can_take_out(
                &self.config.limits,
                context.machines,
                &unavailable,
                entry.machine,
            )
        {
            self.advance(
                context,
                epoch,
                entry.machine,
                MaintenanceState::Draining,
                actions,
            );
        }
    }

    /// Sends each sidecar the entries that it has not acknowledged, to some sidecars per tick.
    fn send_updates(&mut self, context: &Context, epoch: Epoch, actions: &mut Vec<Action>) {
        if self
            .last_update
            .is_some_and(|at| context.now < at + TICK_INTERVAL)
        {
            return;
        }
        self.last_update = Some(context.now);
        let ordered = self.operation_log.ordered();
        // Finished entries are sent too, to sidecars that may still exclude the machine.
        let open_entries = ordered
            .iter()
            .filter(|entry| !entry.state.is_finished())
            .count() as u32;
        let own_entries: Vec<Entry> = ordered.into_iter().filter(|e| e.epoch == epoch).collect();
        let members = self.config.members as Member;
        let mut updates = 0;
        for n in 0..members {
            let to = ((self.next_member + usize::from(n)) % usize::from(members)) as Member;
            if to == self.config.me || updates >= UPDATES_PER_TICK {
                continue;
            }
            let incarnation = context
                .incarnations
                .get(usize::from(to))
                .copied()
                .unwrap_or(0);
            // After a restart of the member everything is sent again at once.
            if self.sent_incarnations.insert(to, incarnation) != Some(incarnation) {
                self.last_sent.retain(|(member, _), _| *member != to);
            }
            let acks = self
                .member_acks
                .get(&to)
                .filter(|(of, _)| *of == incarnation)
                .map(|(_, acks)| acks);
            let unacknowledged = |entry: &&Entry| {
                let has = acks.and_then(|acks| acks.get(&entry.machine));
                let sent_recently =
                    self.last_sent
                        .get(&(to, entry.machine))
                        .is_some_and(|(at, epoch, step)| {
                            context.now < *at + RESEND_INTERVAL
                                && (*epoch, *step) == entry.version()
                        });
                // The report that the machine is idle may have been lost.
                let draining = entry.state == MaintenanceState::Draining;
                !sent_recently
                    && has.is_none_or(|(epoch, step, idle)| {
                        (*epoch, *step) < entry.version() || draining && !*idle
                    })
            };
            let entries: Vec<Entry> = own_entries
                .iter()
                .filter(unacknowledged)
                .take(ENTRIES_PER_DATAGRAM)
                .copied()
                .collect();
            // An empty update is sent too: it informs the sidecar that the log holds nothing else.
            let first_contact = acks.is_none()
                && self
                    .last_sent
                    .get(&(to, 0))
                    .is_none_or(|(at, ..)| context.now >= *at + RESEND_INTERVAL);
            if entries.is_empty() && !first_contact {
                continue;
            }
            self.last_sent.insert((to, 0), (context.now, epoch, 0));
            for entry in &entries {
                self.last_sent
                    .insert((to, entry.machine), (context.now, entry.epoch, entry.step));
            }
            actions.push(Action::Send {
                to,
                message: Message::Update {
                    coordinator_epoch: epoch,
                    open_entries,
                    entries,
                },
            });
            (updates, self.next_member) = (updates + 1, usize::from(to) + 1);
        }
    }
}
