//! One fleet member without I/O or clock: membership, leases, maintenance, and when a task's call may begin. Driven by
//! the sidecar's fleet thread, and by the rig in virtual time.

use super::config::{LeasedTask, MAINTENANCE_LEASE, MaintenanceSettings};
use log::Level;
use passroad_lease::{
    self as lease, Clocks, Epoch, LeaseKey, LeaseManager, LossReason, Message, Vote,
};
use passroad_peers::{self as peers, GossipFact, MemberState, Membership};
use passroad_upkeep::{
    self as upkeep, Context, ListedMachine, MachineEvent, MachineId, MaintenanceManager, Rejection,
};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// Channels of datagrams.
const PEERS: u8 = 0;
const LEASES: u8 = 1;
const MAINTENANCE: u8 = 2;
/// A new fleet starts all its sidecars within this.
const FLEET_START_WINDOW: Duration = Duration::from_secs(60);
/// How many alive members, by the candidate order of a key, are candidates.
const CANDIDATES_PER_KEY: usize = 3;
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How long a call waits for the next renewal if too little is left of the lease.
const RENEWAL_WAIT: Duration = Duration::from_millis(20);
/// Failed calls of a task are logged at most this often.
const FAULT_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Actions for the caller, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    Send {
        to: u16,
        bytes: Vec<u8>,
    },
    /// The actions behind it are carried out only once the vote is on disk.
    Persist {
        key: LeaseKey,
        vote: Vote,
    },
    /// Begin the call of a task, with this epoch and timeout.
    BeginCall {
        task: usize,
        epoch: Epoch,
        timeout: Duration,
    },
    /// Abort the open call of a task.
    AbortCall {
        task: usize,
    },
    Log {
        level: Level,
        line: String,
    },
    /// The state of a member has changed.
    StateChanged {
        member: u16,
        state: MemberState,
    },
    /// A datagram was dropped, for this cause.
    Dropped(&'static str),
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
    /// An event of a machine, for the log.
    Report {
        machine: MachineId,
        event: MachineEvent,
    },
}

/// What the caller knows about machines.
pub struct MachineView<'a> {
    pub machines: &'a [ListedMachine],
    pub is_idle: &'a dyn Fn(MachineId) -> bool,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    Succeeded,
    /// The resource knows a higher epoch.
    StaleEpoch(Epoch),
    /// The call may or may not have had an effect.
    Unknown(String),
}

pub struct FleetNode {
    me: u16,
    tasks: Vec<LeasedTask>,
    membership: Membership,
    leases: LeaseManager,
    maintenance: Option<MaintenanceManager>,
    call_open: Vec<bool>,
    next_call: Vec<Duration>,
    last_fault_logged: Vec<Option<Duration>>, // of each task's calls
    stopping: bool,
    logged_counts: (usize, usize, usize),
    counted_at: Duration,
    sent: u64,
    received: u64,
}

/// Identity of this member.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    pub me: u16,
    pub members: usize,
    pub incarnation: u64,
    pub seed: u64,
}

impl FleetNode {
    pub fn new(
        identity: &NodeIdentity,
        voters: usize,
        lease: Duration,
        period: Duration,
        tasks: Vec<LeasedTask>,
        clocks: Clocks,
        votes: Option<BTreeMap<LeaseKey, Vote>>,
    ) -> FleetNode {
        let &NodeIdentity {
            me,
            members,
            incarnation,
            seed,
        } = identity;
        let membership_config = peers::MembershipConfig {
            me,
            members,
            incarnation,
            period,
            seed,
        };
        let lease_config = lease::LeaseConfig {
            me,
            members,
            voters,
            lease,
            seed,
        };
        let count = tasks.len();
        let mut node = FleetNode {
            me,
            tasks,
            membership: Membership::new(membership_config, clocks.monotonic),
            leases: LeaseManager::new(lease_config, clocks, votes),
            maintenance: None,
            call_open: vec![false; count],
            next_call: vec![clocks.monotonic; count],
            last_fault_logged: vec![None; count],
            stopping: false,
            logged_counts: (members, 0, 0),
            counted_at: clocks.monotonic,
            sent: 0,
            received: 0,
        };
        node.update_candidacies(clocks, &mut Vec::new());
        node
    }

    /// Takes part in the maintenance of machines.
    pub fn with_maintenance(mut self, settings: &MaintenanceSettings) -> FleetNode {
        let members = self.membership.members().len();
        let key = passroad_choice::interner::stable_hash(MAINTENANCE_LEASE);
        let limits = upkeep::Limits {
            max_out: settings.max_out,
            max_out_per_zone: settings.max_out_per_zone,
            max_out_per_cell: settings.max_out_per_cell,
            capacity_reserve: settings.capacity_reserve,
            warm_up_time: settings.warm_up_time,
            fleet_start_window: FLEET_START_WINDOW,
        };
        let voters = lease::voters_for(key, members, self.leases.voters());
        self.maintenance = Some(MaintenanceManager::new(upkeep::MaintenanceConfig {
            me: self.me,
            members,
            voters,
            limits,
        }));
        self
    }

    pub fn maintenance(&self) -> Option<&MaintenanceManager> {
        self.maintenance.as_ref()
    }

    /// Takes an operator's message for the coordinator.
    pub fn submit(&mut self, message: upkeep::Message) {
        self.maintenance
            .iter_mut()
            .for_each(|manager| manager.submit(message.clone()));
    }

    /// Handles a maintenance message, or the timers of maintenance.
    pub fn drive_maintenance(
        &mut self,
        clocks: Clocks,
        view: &MachineView,
        received: Option<(u16, upkeep::Message)>,
    ) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        let Some(mut manager) = self.maintenance.take() else {
            return actions;
        };
        let key = passroad_choice::interner::stable_hash(MAINTENANCE_LEASE);
        let owned = self.leases.ownership(clocks, key).map(|(epoch, _)| epoch);
        let holder = self.membership.fact(key).and_then(|fact| fact.holder);
        let incarnations: Vec<u64> = self
            .membership
            .members()
            .iter()
            .map(|status| peers::process_start_ms(status.incarnation))
            .collect();
        let context = Context {
            now: clocks.monotonic,
            wall: clocks.wall,
            owned_epoch: owned.filter(|_| !self.stopping),
            incarnations: &incarnations,
            coordinator: owned
                .map(|_| self.me)
                .or(holder.filter(|holder| *holder != self.me)),
            machines: view.machines,
            idle: view.is_idle,
        };
        let inner = match received {
            Some((from, message)) => manager.receive(&context, from, message),
            None => manager.tick(&context),
        };
        self.maintenance = Some(manager);
        for action in inner {
            match action {
                upkeep::Action::Send { to, message } => {
                    self.send(to, MAINTENANCE, &message.encode(), &mut actions)
                }
                upkeep::Action::SetExcluded { machine, excluded } => {
                    actions.push(NodeAction::SetExcluded { machine, excluded })
                }
                upkeep::Action::Respond { request, rejected } => {
                    actions.push(NodeAction::Respond { request, rejected })
                }
                upkeep::Action::Report { machine, event } => {
                    actions.push(NodeAction::Report { machine, event })
                }
            }
        }
        actions
    }

    /// Handles timers, and begins calls that are due.
    pub fn tick(&mut self, clocks: Clocks) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        let inner = self.membership.tick(clocks.monotonic);
        self.apply_membership(clocks, inner, &mut actions);
        let inner = self.leases.tick(clocks);
        self.apply_leases(clocks, inner, &mut actions);
        for index in 0..self.tasks.len() {
            if self.stopping
                || self.call_open[index]
                || clocks.monotonic < self.next_call[index]
                || self.tasks[index].call.is_none()
            {
                continue;
            }
            let task = &self.tasks[index];
            // Checked directly before each call: a process that was paused past its lease calls nothing.
            if let Some((epoch, left)) = self.leases.ownership(clocks, task.key)
                && left > task.timeout
            {
                (self.call_open[index], self.next_call[index]) =
                    (true, clocks.monotonic + task.interval);
                actions.push(NodeAction::BeginCall {
                    task: index,
                    epoch,
                    timeout: task.timeout,
                });
            }
        }
        self.log_counts(clocks.monotonic, &mut actions);
        actions
    }

    /// How long until the next tick, if nothing arrives.
    pub fn wait(&mut self, clocks: Clocks) -> Duration {
        let mut wait = self
            .membership
            .time_to_next_tick(clocks.monotonic)
            .min(self.leases.time_to_next_timer().unwrap_or(MAX_WAIT));
        for index in 0..self.tasks.len() {
            if self.stopping || self.call_open[index] || self.tasks[index].call.is_none() {
                continue;
            }
            if let Some((_, left)) = self.leases.ownership(clocks, self.tasks[index].key) {
                let due = self.next_call[index].saturating_sub(clocks.monotonic);
                wait = wait.min(if left > self.tasks[index].timeout {
                    due
                } else {
                    due.max(RENEWAL_WAIT)
                });
            }
        }
        let wait = if self
            .maintenance
            .as_ref()
            .is_some_and(MaintenanceManager::is_active)
        {
            wait.min(upkeep::TICK_INTERVAL)
        } else {
            wait
        };
        wait.min(MAX_WAIT)
    }

    /// Handles a datagram from a member, who is known by its address.
    pub fn receive(
        &mut self,
        clocks: Clocks,
        from: u16,
        bytes: &[u8],
        view: &MachineView,
    ) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        let (channel, incarnation, body) = match peers::decode_frame(bytes) {
            Ok(opened) => opened,
            Err(peers::FrameError::UnknownMagic) => {
                return vec![NodeAction::Dropped("of no passroad")];
            }
            Err(peers::FrameError::UnsupportedVersion) => {
                return vec![NodeAction::Dropped("of another version")];
            }
            Err(peers::FrameError::LengthMismatch) => {
                return vec![NodeAction::Dropped("cut short or too long")];
            }
        };
        let (accepted, inner) = self
            .membership
            .accept_sender(clocks.monotonic, from, incarnation);
        self.apply_membership(clocks, inner, &mut actions);
        if !accepted {
            actions.push(NodeAction::Dropped("of an incarnation that is over"));
            return actions;
        }
        self.received += 1;
        match channel {
            PEERS => {
                let before = self.membership.counts().undecodable;
                let inner = self.membership.receive(clocks.monotonic, from, body);
                self.apply_membership(clocks, inner, &mut actions);
                if self.membership.counts().undecodable > before {
                    actions.push(NodeAction::Dropped("unreadable"));
                }
            }
            LEASES => match Message::decode(body) {
                Some(message) => {
                    let inner = self.leases.receive(clocks, from, message);
                    self.apply_leases(clocks, inner, &mut actions);
                }
                None => actions.push(NodeAction::Dropped("unreadable")),
            },
            MAINTENANCE => match upkeep::Message::decode(body) {
                Some(message) if self.maintenance.is_some() => {
                    actions.extend(self.drive_maintenance(clocks, view, Some((from, message))))
                }
                Some(_) => actions.push(NodeAction::Dropped(
                    "of work on machines, which the file does not ask for",
                )),
                None => actions.push(NodeAction::Dropped("unreadable")),
            },
            _ => actions.push(NodeAction::Dropped("on an unknown channel")),
        }
        actions
    }

    /// Handles the end of a call.
    pub fn call_ended(
        &mut self,
        clocks: Clocks,
        index: usize,
        epoch: Epoch,
        outcome: CallOutcome,
    ) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        self.call_open[index] = false;
        let task = &self.tasks[index];
        let mut log = |level, line| actions.push(NodeAction::Log { level, line });
        match outcome {
            CallOutcome::Succeeded => {}
            CallOutcome::StaleEpoch(highest) => {
                log(
                    Level::Warn,
                    format!(
                        "duty {}: epoch {epoch} was refused, the resource knows {highest}",
                        task.name
                    ),
                );
                let inner = self.leases.observe_epoch(clocks, task.key, highest);
                self.apply_leases(clocks, inner, &mut actions);
            }
            CallOutcome::Unknown(reason) => {
                if self.last_fault_logged[index]
                    .is_none_or(|at| clocks.monotonic.saturating_sub(at) >= FAULT_LOG_INTERVAL)
                {
                    self.last_fault_logged[index] = Some(clocks.monotonic);
                    log(
                        Level::Warn,
                        format!(
                            "duty {}: it is not known whether a call had an effect: {reason}",
                            task.name
                        ),
                    );
                }
            }
        }
        actions
    }

    /// Begins no further calls.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Ends voting until the process restarts.
    pub fn stop_voting(&mut self) {
        self.leases.stop_voting();
    }

    pub fn any_call_open(&self) -> bool {
        self.call_open.contains(&true)
    }

    /// Releases all leases for a planned shutdown, so that the next owners need not wait for them to expire.
    pub fn release_all(&mut self, clocks: Clocks) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        self.stopping = true;
        for index in 0..self.tasks.len() {
            let inner = self
                .leases
                .set_candidacy(clocks, self.tasks[index].key, None);
            self.apply_leases(clocks, inner, &mut actions);
        }
        self.leases.stop_voting();
        actions
    }

    /// The epoch by which this sidecar believes to own a task, if it does.
    pub fn owned_epoch(&mut self, clocks: Clocks, index: usize) -> Option<Epoch> {
        self.leases
            .ownership(clocks, self.tasks[index].key)
            .map(|(epoch, _)| epoch)
    }

    pub fn counts(&self) -> peers::Counts {
        self.membership.counts()
    }

    fn send(&mut self, to: u16, channel: u8, body: &[u8], actions: &mut Vec<NodeAction>) {
        if let Some(bytes) = peers::encode_frame(channel, self.membership.incarnation(), body) {
            self.sent += 1;
            actions.push(NodeAction::Send { to, bytes });
        }
    }

    fn apply_membership(
        &mut self,
        clocks: Clocks,
        inner: Vec<peers::Action>,
        actions: &mut Vec<NodeAction>,
    ) {
        let mut changed = false;
        for action in inner {
            match action {
                peers::Action::Send { to, body } => self.send(to, PEERS, &body, actions),
                peers::Action::StateChanged { member, state } => {
                    actions.push(NodeAction::StateChanged { member, state });
                    changed = true;
                }
                peers::Action::FactReceived(fact) => {
                    let inner = self.leases.observe_epoch(clocks, fact.topic, fact.version);
                    self.apply_leases(clocks, inner, actions);
                }
                peers::Action::LocalPause(late) => {
                    let line = format!(
                        "this process was paused for {late:.1?}; it suspects nobody for that time"
                    );
                    actions.push(NodeAction::Log {
                        level: Level::Warn,
                        line,
                    });
                }
            }
        }
        if changed {
            self.update_candidacies(clocks, actions);
        }
    }

    /// Makes this sidecar a candidate for keys where it is among the first alive members. An owner stays.
    fn update_candidacies(&mut self, clocks: Clocks, actions: &mut Vec<NodeAction>) {
        for index in 0..self.tasks.len() {
            let key = self.tasks[index].key;
            let order = lease::candidate_order(key, self.membership.members().len());
            let alive = |member: &u16| {
                *member == self.me || self.membership.state_of(*member) == MemberState::Alive
            };
            let rank = order
                .into_iter()
                .filter(alive)
                .take(CANDIDATES_PER_KEY)
                .position(|member| member == self.me);
            if !self.stopping && (rank.is_some() || self.leases.ownership(clocks, key).is_none()) {
                let inner = self.leases.set_candidacy(clocks, key, rank);
                self.apply_leases(clocks, inner, actions);
            }
        }
    }

    fn apply_leases(
        &mut self,
        clocks: Clocks,
        inner: Vec<lease::Action>,
        actions: &mut Vec<NodeAction>,
    ) {
        for action in inner {
            match action {
                lease::Action::Send { to, message } if to == self.me => {
                    let inner = self.leases.receive(clocks, to, message);
                    self.apply_leases(clocks, inner, actions);
                }
                lease::Action::Send { to, message } => {
                    self.send(to, LEASES, &message.encode(), actions)
                }
                lease::Action::Persist { key, vote } => {
                    actions.push(NodeAction::Persist { key, vote })
                }
                lease::Action::Acquired { key, epoch } => {
                    self.membership.publish_fact(GossipFact {
                        topic: key,
                        version: epoch,
                        holder: Some(self.me),
                    });
                    let line = format!(
                        "duty {} is owned here from now, by epoch {epoch}",
                        self.name(key)
                    );
                    actions.push(NodeAction::Log {
                        level: Level::Info,
                        line,
                    });
                }
                lease::Action::Lost { key, epoch, reason } => {
                    if let Some(index) = self.tasks.iter().position(|d| d.key == key)
                        && std::mem::take(&mut self.call_open[index])
                    {
                        actions.push(NodeAction::AbortCall { task: index });
                    }
                    if reason == LossReason::Released {
                        self.membership.publish_fact(GossipFact {
                            topic: key,
                            version: epoch,
                            holder: None,
                        });
                    }
                    let reason = match reason {
                        LossReason::Expired => "no majority renewed it in time",
                        LossReason::Released => "given up",
                        LossReason::Superseded => "a higher epoch is known elsewhere",
                    };
                    let line = format!(
                        "duty {} is no longer owned here (epoch {epoch}): {reason}",
                        self.name(key)
                    );
                    actions.push(NodeAction::Log {
                        level: Level::Info,
                        line,
                    });
                }
            }
        }
    }

    fn name(&self, key: LeaseKey) -> &str {
        self.tasks
            .iter()
            .find(|d| d.key == key)
            .map_or("?", |d| d.name.as_str())
    }

    /// Logs the counts of member states if they have changed, at most once a second: many members may change at once.
    fn log_counts(&mut self, now: Duration, actions: &mut Vec<NodeAction>) {
        if now.saturating_sub(self.counted_at) < MAX_WAIT {
            return;
        }
        self.counted_at = now;
        let count = |state| {
            self.membership
                .members()
                .iter()
                .filter(|member| member.state == state)
                .count()
        };
        let counts = (
            count(MemberState::Alive),
            count(MemberState::Suspect),
            count(MemberState::Dead),
        );
        if counts != self.logged_counts {
            self.logged_counts = counts;
            let line = format!(
                "{} alive, {} suspect, {} dead",
                counts.0, counts.1, counts.2
            );
            actions.push(NodeAction::Log {
                level: Level::Info,
                line,
            });
        }
    }

    pub fn status(&mut self, clocks: Clocks) -> Value {
        let state_name = |state| match state {
            MemberState::Alive => "here",
            MemberState::Suspect => "doubt",
            MemberState::Dead => "gone",
        };
        let statuses = self.membership.members().iter().enumerate();
        let members: Vec<Value> = statuses
            .map(|(index, status)| json!({ "n": index, "standing": state_name(status.state), "incarnation": status.incarnation }))
            .collect();
        let mut leases = Vec::new();
        for task in &self.tasks {
            let owned = self.leases.ownership(clocks, task.key);
            let fact = self.membership.fact(task.key);
            let owner = owned.map(|_| self.me).or(fact.and_then(|fact| fact.holder));
            leases.push(json!({
                "name": task.name, "owner": owner, "here": owned.is_some(),
                "epoch": owned.map(|(epoch, _)| epoch).or(fact.map(|fact| fact.version)),
                "left_ms": owned.map(|(_, left)| left.as_millis() as u64),
                "voters": lease::voters_for(task.key, members.len(), self.leases.voters()),
            }));
        }
        let counts = self.membership.counts();
        json!({
            "me": self.me, "incarnation": self.membership.incarnation(), "mute": self.leases.is_recovering(clocks),
            "members": members, "duties": leases,
            "datagrams": { "sent": self.sent, "heard": self.received, "held_back": counts.rate_limited },
            "doubts": counts.suspicions, "doubts_refuted": counts.refuted, "seconds": clocks.monotonic.as_secs_f64(),
        })
    }
}

#[cfg(test)]
mod tests;
