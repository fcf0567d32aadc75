//! Machines out for work, one after the other, in one order for all sidecars. Each sidecar is a *hand*: it keeps the
//! order as far as it has heard of it, keeps off what is out, and says when nothing of its own is on it any more. Whoever
//! owns the duty of the order, by an epoch, is the *conductor*: it takes requests into the order and moves each machine on.
//! Nothing here does input or output or reads a clock.
//!
//! - A new conductor first hears what a majority of the keepers knows, and only then goes on; a keeper that has started
//!   from nothing says so and does not count. No step is taken further before a majority has it.
//! - A hand obeys no conductor of an epoch lower than the highest that it has heard of.
//! - A machine is at work only when every sidecar has said, of this very step and since it started, that nothing of its
//!   is on it; of one that says nothing nobody can know, so the order waits for it, or for an operator's word.

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

/// Entries in one datagram.
const ENTRIES_PER_DATAGRAM: usize = 4;
/// Machines of one request.
pub const MAX_MACHINES_PER_REQUEST: usize = 20;
/// Entries that are kept; what is over goes first.
const MAX_ENTRIES: usize = 500;
/// Words that the conductor says at a turn, and how far apart turns are: its part of the datagrams.
const UPDATES_PER_TICK: usize = 5;
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Rounds of questions before others than the keepers are asked.
const VOTERS_ONLY_ROUNDS: u32 = 4;
/// What is not answered is said again.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// The conductor of this epoch: what do you know? Or a hand that has just begun, with no epoch.
    Query {
        coordinator_epoch: Epoch,
        offset: u32,
    },
    /// So much from that place on, of so many; blank where the sidecar has heard of no order since it started.
    QueryReply {
        coordinator_epoch: Epoch,
        offset: u32,
        total: u32,
        uninformed: bool,
        entries: Vec<Entry>,
    },
    /// The conductor of this epoch tells of steps; of so many entries that are not over.
    Update {
        coordinator_epoch: Epoch,
        open_entries: u32,
        entries: Vec<Entry>,
    },
    /// Heard, of these versions; and of each whether nothing of this sidecar's is on the machine.
    Ack {
        coordinator_epoch: Epoch,
        acks: Vec<(MachineId, Epoch, u32, bool)>,
    },
    /// An operator asks for machines.
    Schedule {
        request: u64,
        duration_s: u32,
        auto_return: bool,
        machines: Vec<MachineId>,
    },
    /// An operator's word on one.
    Operate {
        request: u64,
        machine: MachineId,
        action: OperatorAction,
    },
    /// The conductor has it, and so has a majority; or why not.
    Response {
        request: u64,
        rejected: Option<Rejection>,
    },
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OperatorAction {
    /// Not any more, if it has not begun.
    Withdraw,
    /// The work is done: back into use.
    Complete,
    /// Take it for empty, whoever has said nothing.
    Force,
    /// Begin with what is known, though a majority of the keepers has forgotten.
    Bootstrap,
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rejection {
    UnknownMachine,
    /// Its work has begun; it can only be done.
    AlreadyStarted,
    NotUnderMaintenance,
    NotDraining,
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None for what is no word, or has something behind it.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        postcard::take_from_bytes(bytes)
            .ok()
            .filter(|(_, rest)| rest.is_empty())
            .map(|(message, _)| message)
    }
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Send {
        to: Member,
        message: Message,
    },
    /// Keep off a machine, or use it again.
    SetExcluded {
        machine: MachineId,
        excluded: bool,
    },
    /// An operator's request has its answer.
    Respond {
        request: u64,
        rejected: Option<Rejection>,
    },
    Report {
        machine: MachineId,
        event: MachineEvent,
    },
}

/// What is told of a machine, once each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineEvent {
    StateChanged(MaintenanceState),
    /// Some sidecars say nothing: the order waits for them, or for an operator.
    WaitingForReplies {
        missing_replies: usize,
    },
    Forced {
        not_idle: usize,
    },
    /// Its time is over, and it is still out.
    Overdue,
    /// Others are down: it goes back before its work has begun.
    Requeued,
}

/// Where a sidecar stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceConfig {
    pub me: Member,
    pub members: usize,
    pub voters: Vec<Member>,
    pub limits: Limits,
}

/// What the caller knows at a turn.
pub struct Context<'a> {
    pub now: Duration, // steady
    pub wall: Duration,
    /// The epoch by which this sidecar owns the order's duty, if it does.
    pub owned_epoch: Option<Epoch>,
    /// Of each member the incarnation that was last heard of.
    pub incarnations: &'a [Incarnation],
    /// Whose the duty is, as far as is known.
    pub coordinator: Option<Member>,
    /// Machines as this sidecar's list has them.
    pub machines: &'a [ListedMachine],
    /// Whether nothing of this sidecar's is on a machine.
    pub idle: &'a dyn Fn(MachineId) -> bool,
}

#[derive(Debug, Default)]
struct Recovery {
    /// Who has told all that it knows, and was not blank.
    informed_replies: BTreeSet<Member>,
    /// Who has told all that it knows, much or nothing.
    replied: BTreeSet<Member>,
    /// Whether any of them had not forgotten.
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

/// What a member has said: by its incarnation, of each machine the version and whether it is free of it.
type MemberAcks = (Incarnation, BTreeMap<MachineId, (Epoch, u32, bool)>);

/// Something an operator asked here that the conductor has not answered.
#[derive(Debug, Clone)]
struct PendingRequest {
    message: Message,
    sent_at: Option<Duration>,
}

pub struct MaintenanceManager {
    config: MaintenanceConfig,
    pub operation_log: OperationLog,
    uninformed: bool,
    /// Whether what it knows counts: it has heard all from a conductor since it started, or was one. What it has only
    /// asked others for may be old, and they are asked themselves.
    authoritative: bool,
    /// Keepers from whom it has heard all since it started.
    complete_replies: BTreeSet<Member>,
    highest_epoch: Epoch,
    role: Role,
    member_acks: BTreeMap<Member, MemberAcks>,
    last_sent: BTreeMap<(Member, MachineId), (Duration, Epoch, u32)>,
    sent_incarnations: BTreeMap<Member, Incarnation>,
    excluded: BTreeSet<MachineId>,
    /// Bans that the caller has put into effect: those that it was handed before it turned again.
    effective_exclusions: BTreeSet<MachineId>,
    /// Machines that were called back, and at which place in the order.
    readmitted: BTreeMap<MachineId, u32>,
    own_acks: BTreeMap<MachineId, (Epoch, u32, bool)>,
    pending_requests: BTreeMap<u64, PendingRequest>,
    /// Requests whose first step is not yet with a majority, and who asked.
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

    /// Whether this sidecar knows of an order, or that there is none.
    pub fn is_informed(&self) -> bool {
        !self.uninformed
    }

    /// Whether there is something to do soon.
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

    /// An operator asks here; the answer comes by [`Out::Answer`].
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
                // A hand that begins asks with no epoch; a conductor of an old one is not answered.
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
                // Guards against taking a part of the order for the whole.
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

    /// What time brings; the caller turns every [`TURN`].
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
            // One that has just begun learns what is out, from some of the keepers.
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

    /// Sits down, stands up, or begins anew by another epoch.
    fn update_role(&mut self, context: &Context) {
        let epoch = match &self.role {
            Role::Participant => None,
            Role::Recovering(epoch, _) | Role::Coordinator(epoch) => Some(*epoch),
        };
        // One that was outrun has nothing more to say.
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

    /// Asks the keepers what they know, again and again until a majority has told all. Where a majority of them has
    /// forgotten all sidecars are asked: what none of them knows is in effect nowhere.
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
            // For a hand that begins: what a majority of the keepers knows holds all that is at work.
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

    /// Whether nobody can have forgotten an order: none of the keepers has begun anew since the first of them did.
    fn is_fresh_fleet(&self, context: &Context) -> bool {
        // A whole fleet that starts for the first time starts together; who is alone in being young may have forgotten.
        let of = |member: &Member| {
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
            .map(of)
            .filter(|n| *n > 0)
            .collect();
        let (least, most) = (
            known.iter().min().copied().unwrap_or(0),
            known.iter().max().copied().unwrap_or(0),
        );
        known.len() >= self.majority()
            && most - least < self.config.limits.fleet_start_window.as_millis() as u64
    }

    /// Puts bans into effect.
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
        // Guards against a ban that was taken over from the process before, and ended before this one had heard of it.
        let auto_return: Vec<Entry> = self
            .operation_log
            .ordered()
            .into_iter()
            .filter(|e| e.state == MaintenanceState::WarmingUp)
            .collect();
        for entry in auto_return {
            if self.readmitted.insert(entry.machine, entry.position) != Some(entry.position) {
                actions.push(Action::SetExcluded {
                    machine: entry.machine,
                    excluded: false,
                });
            }
        }
    }

    /// Guards against a command that goes out between the look and the ban: free is only what is looked at behind it.
    fn acknowledge(&mut self, context: &Context, entry: &Entry) -> (MachineId, Epoch, u32, bool) {
        let idle =
            self.effective_exclusions.contains(&entry.machine) && (context.idle)(entry.machine);
        let ack = (entry.epoch, entry.step, idle);
        self.own_acks.insert(entry.machine, ack);
        (entry.machine, ack.0, ack.1, ack.2)
    }

    /// Says by itself when a machine that leaves has come free.
    fn report_idle(&mut self, context: &Context, actions: &mut Vec<Action>) {
        let leaving: Vec<Entry> = self
            .operation_log
            .out()
            .filter(|e| e.state == MaintenanceState::Draining)
            .copied()
            .collect();
        let mut acks = Vec::new();
        for entry in leaving {
            let before = self.own_acks.get(&entry.machine).copied();
            let said =
                matches!(before, Some((epoch, step, true)) if (epoch, step) == entry.version());
            let idle =
                self.effective_exclusions.contains(&entry.machine) && (context.idle)(entry.machine);
            if !said && idle && acks.len() < ENTRIES_PER_DATAGRAM {
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

    /// Operators' requests go to the conductor until it answers.
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
        for what in replies {
            match what {
                Action::Send { to, message } if to == self.config.me => {
                    let replies = self.receive(context, to, message);
                    self.receive_own(context, replies, actions);
                }
                what => actions.push(what),
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
        // What one said before it began anew says nothing of it now.
        if *of != incarnation {
            (*of, *stored) = (incarnation, BTreeMap::new());
        }
        for (machine, epoch, step, idle) in acks {
            let known = stored.entry(machine).or_insert((0, 0, false));
            if (epoch, step) >= (known.0, known.1) {
                // Free once is free: nothing new goes there.
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
        let taken = |message| Action::Send { to: from, message };
        let known = |machine: &MachineId| {
            context
                .machines
                .iter()
                .any(|machines| machines.machine == *machine)
        };
        if machines.is_empty()
            || machines.len() > MAX_MACHINES_PER_REQUEST
            || !machines.iter().all(known)
        {
            return actions.push(taken(Message::Response {
                request,
                rejected: Some(Rejection::UnknownMachine),
            }));
        }
        for machine in machines {
            // Each machine once: asked twice, or at two sidecars, it stays where it is.
            if self
                .operation_log
                .get(*machine)
                .is_some_and(|entry| !entry.state.is_finished())
            {
                continue;
            }
            // What is over and was this very request has been done.
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

    /// An operator's word that nothing is out but what is known.
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
            // Until it is warm.
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

    /// Of a version of a machine's entry: how many keepers have it, and how many sidecars have not said that they are free.
    fn count_acks(&self, context: &Context, entry: &Entry) -> (usize, usize) {
        let (mut keep, mut unfree) = (0, 0);
        for member in 0..self.config.members as Member {
            let incarnation = context
                .incarnations
                .get(usize::from(member))
                .copied()
                .unwrap_or(0);
            let said = self
                .member_acks
                .get(&member)
                .filter(|(of, _)| *of == incarnation);
            let said = said.and_then(|(_, acks)| acks.get(&entry.machine));
            let has = member == self.config.me
                || said.is_some_and(|(epoch, step, _)| (*epoch, *step) >= entry.version());
            let idle =
                said.is_some_and(|(epoch, step, idle)| (*epoch, *step) == entry.version() && *idle);
            keep += usize::from(has && self.config.voters.contains(&member));
            unfree += usize::from(!idle);
        }
        (keep, unfree)
    }

    /// Moves each machine on by a step, where a majority has the one before.
    fn coordinate(&mut self, context: &Context, epoch: Epoch, actions: &mut Vec<Action>) {
        let majority = self.majority();
        let order = self.operation_log.ordered();
        // Entries of an earlier conductor become this one's, so that all hear them again by its epoch.
        for entry in order
            .iter()
            .filter(|e| e.epoch != epoch && !e.state.is_finished())
        {
            self.operation_log.apply(Entry {
                epoch,
                step: 0,
                ..*entry
            });
        }
        let order = self.operation_log.ordered();
        let mut replicated = Vec::new();
        for entry in order.iter().filter(|e| !e.state.is_finished()) {
            let (keep, unfree) = self.count_acks(context, entry);
            if keep < majority {
                continue;
            }
            replicated.push(entry.machine);
            match entry.state {
                MaintenanceState::Draining
                    if unfree == 0 || self.forced.contains(&entry.machine) =>
                {
                    if unfree > 0 {
                        let event = MachineEvent::Forced { not_idle: unfree };
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
        // A request has its answer once a majority has all of it.
        let done = |request: &u64| {
            let mut of = order.iter().filter(|e| e.request == *request);
            of.all(|entry| entry.state.is_finished() || replicated.contains(&entry.machine))
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

    /// How many have not said anything of a step.
    fn missing_replies(&self, context: &Context, entry: &Entry) -> usize {
        let has = |member: &Member| {
            let incarnation = context
                .incarnations
                .get(usize::from(*member))
                .copied()
                .unwrap_or(0);
            let said = self
                .member_acks
                .get(member)
                .filter(|(of, _)| *of == incarnation);
            said.and_then(|(_, acks)| acks.get(&entry.machine))
                .is_some_and(|(e, s, _)| (*e, *s) >= entry.version())
        };
        (0..self.config.members as Member)
            .filter(|member| *member != self.config.me && !has(member))
            .count()
    }

    /// The first of the queue leaves, if there is room; strictly in order, so that nobody waits behind a later one.
    fn start_next(
        &mut self,
        context: &Context,
        epoch: Epoch,
        replicated: &[MachineId],
        actions: &mut Vec<Action>,
    ) {
        let order = self.operation_log.ordered();
        let away: BTreeSet<MachineId> = order
            .iter()
            .filter(|e| e.state.is_out() || e.state == MaintenanceState::WarmingUp)
            .map(|e| e.machine)
            .collect();
        let leaving = order
            .iter()
            .rev()
            .find(|e| e.state == MaintenanceState::Draining);
        // Others have failed meanwhile: what has not begun goes back, and its turn comes again.
        if let Some(entry) = leaving
            .filter(|_| capacity::exceeds_limit(&self.config.limits, context.machines, &away))
        {
            let machine = entry.machine;
            actions.push(Action::Report {
                machine,
                event: MachineEvent::Requeued,
            });
            return self.advance(context, epoch, machine, MaintenanceState::Queued, actions);
        }
        let first = order.iter().find(|e| e.state == MaintenanceState::Queued);
        if let Some(entry) = first.filter(|e| replicated.contains(&e.machine))
            && can_take_out(&self.config.limits, context.machines, &away, entry.machine)
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

    /// Tells each sidecar what it has not acknowledged, some at a turn.
    fn send_updates(&mut self, context: &Context, epoch: Epoch, actions: &mut Vec<Action>) {
        if self
            .last_update
            .is_some_and(|at| context.now < at + TICK_INTERVAL)
        {
            return;
        }
        self.last_update = Some(context.now);
        let order = self.operation_log.ordered();
        // What is over is told to those who may still keep off it.
        let open_entries = order
            .iter()
            .filter(|entry| !entry.state.is_finished())
            .count() as u32;
        let news: Vec<Entry> = order.into_iter().filter(|e| e.epoch == epoch).collect();
        let members = self.config.members as Member;
        let mut said = 0;
        for n in 0..members {
            let to = ((self.next_member + usize::from(n)) % usize::from(members)) as Member;
            if to == self.config.me || said >= UPDATES_PER_TICK {
                continue;
            }
            let incarnation = context
                .incarnations
                .get(usize::from(to))
                .copied()
                .unwrap_or(0);
            // What was said to one before it began anew is to be said again at once.
            if self.sent_incarnations.insert(to, incarnation) != Some(incarnation) {
                self.last_sent.retain(|(member, _), _| *member != to);
            }
            let acks = self
                .member_acks
                .get(&to)
                .filter(|(of, _)| *of == incarnation)
                .map(|(_, acks)| acks);
            let unheard = |entry: &&Entry| {
                let has = acks.and_then(|acks| acks.get(&entry.machine));
                let lately =
                    self.last_sent
                        .get(&(to, entry.machine))
                        .is_some_and(|(at, epoch, step)| {
                            context.now < *at + RESEND_INTERVAL
                                && (*epoch, *step) == entry.version()
                        });
                // That one has come free may have been lost on its way.
                let leaving = entry.state == MaintenanceState::Draining;
                !lately
                    && has.is_none_or(|(epoch, step, idle)| {
                        (*epoch, *step) < entry.version() || leaving && !*idle
                    })
            };
            let entries: Vec<Entry> = news
                .iter()
                .filter(unheard)
                .take(ENTRIES_PER_DATAGRAM)
                .copied()
                .collect();
            // Also that there is nothing: who has heard of a conductor has not forgotten an order.
            let first = acks.is_none()
                && self
                    .last_sent
                    .get(&(to, 0))
                    .is_none_or(|(at, ..)| context.now >= *at + RESEND_INTERVAL);
            if entries.is_empty() && !first {
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
            (said, self.next_member) = (said + 1, usize::from(to) + 1);
        }
    }
}
