//! The task that owns the fleet's socket: it receives datagrams, keeps timers, begins calls and answers operators. What
//! to send and do is decided in `node`.

use super::calls::Calls;
use super::config::{FleetConfig, LeasedTask, PeerConfig};
use super::drops::DroppedDatagrams;
use super::machines::{self, Machines};
use super::node::{CallOutcome, FleetNode, MachineView, NodeAction, NodeIdentity};
use super::status::{FleetRequest, FleetRequests};
use super::vote_store::VoteStore;
use super::{MemberStateChange, outer_name};
use crate::shutdown::{ShutdownStage, ShutdownWatch, stage_reached};
use passroad_lease::{Clocks, Epoch};
use passroad_upkeep::{MachineId, MaintenanceManager, Message, Rejection};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

/// Datagrams that are read in a row before timers are handled.
const MAX_CONSECUTIVE_READS: usize = 64;
/// How often the list is read while no maintenance is going on.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// How long shutdown waits for an open call, and then for its releases to be sent again.
const LAST_CALL_TIME: Duration = Duration::from_millis(40);
const RELEASE_TIME: Duration = Duration::from_millis(120);

pub struct EventLoop {
    peers: PeerConfig,
    tasks: Vec<LeasedTask>,
    indices: HashMap<SocketAddr, u16>,
    socket: UdpSocket,
    started: Instant,
    node: FleetNode,
    vote_store: Option<VoteStore>,
    calls: Calls,
    call_outcomes: Option<UnboundedReceiver<(usize, Epoch, CallOutcome)>>,
    dropped: DroppedDatagrams,
    machines: Option<Machines>,
    refreshed: Instant,
    /// Operators that wait for the coordinator's answer.
    operators: HashMap<u64, oneshot::Sender<Option<Rejection>>>,
    waiting_informed: Vec<oneshot::Sender<()>>,
    /// Excluded machines that were never listed here.
    unlisted: BTreeSet<MachineId>,
    /// Also receives each change of a member's state.
    state_changes: Option<UnboundedSender<MemberStateChange>>,
}

fn wall() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

impl EventLoop {
    pub fn new(
        config: FleetConfig,
        peers: PeerConfig,
        vote_store: Option<VoteStore>,
        socket: UdpSocket,
        machines: Option<Machines>,
    ) -> EventLoop {
        // The time of the start: later processes of this name have a higher one.
        let incarnation = passroad_peers::incarnation_at(wall());
        let seed = incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (u64::from(peers.me) << 32);
        let identity = NodeIdentity {
            me: peers.me,
            members: peers.addresses.len(),
            incarnation,
            seed,
        };
        let clocks = Clocks {
            monotonic: Duration::ZERO,
            wall: wall(),
        };
        let votes = vote_store
            .as_ref()
            .filter(|store| store.found)
            .map(|store| store.votes.clone());
        let (calls, call_outcomes) = Calls::new(config.tasks.len());
        let tasks = config.tasks.clone();
        let node = FleetNode::new(
            &identity,
            config.voters,
            config.lease,
            config.period,
            tasks,
            clocks,
            votes,
        );
        let node = match &config.maintenance {
            Some(settings) => node.with_maintenance(settings),
            None => node,
        };
        EventLoop {
            indices: peers
                .addresses
                .iter()
                .enumerate()
                .map(|(index, address)| (*address, index as u16))
                .collect(),
            node,
            machines,
            refreshed: Instant::now(),
            operators: HashMap::new(),
            waiting_informed: Vec::new(),
            unlisted: BTreeSet::new(),
            tasks: config.tasks,
            peers,
            socket,
            started: Instant::now(),
            vote_store,
            calls,
            call_outcomes: Some(call_outcomes),
            dropped: DroppedDatagrams::default(),
            state_changes: None,
        }
    }

    pub fn reporting_to(
        self,
        state_changes: Option<UnboundedSender<MemberStateChange>>,
    ) -> EventLoop {
        EventLoop {
            state_changes,
            ..self
        }
    }

    fn clocks(&self) -> Clocks {
        Clocks {
            monotonic: self.started.elapsed(),
            wall: wall(),
        }
    }

    pub async fn run(mut self, mut requests: FleetRequests, mut stages: ShutdownWatch) {
        let Some(mut call_outcomes) = self.call_outcomes.take() else {
            return;
        };
        // One more byte than a datagram may have, so that a longer one is noticed.
        let mut bytes = [0; passroad_peers::MAX_DATAGRAM_BYTES + 1];
        let mut release_at: Option<Instant> = None;
        loop {
            let actions = self.node.tick(self.clocks());
            self.carry_out(actions);
            self.drive_maintenance();
            let due = Instant::now() + self.node.wait(self.clocks());
            tokio::select! {
                received = self.socket.recv_from(&mut bytes) => {
                    let mut received = received;
                    for _ in 0..MAX_CONSECUTIVE_READS {
                        match received {
                            Ok((count, from)) => self.receive(from, &bytes[..count]),
                            // A datagram that nobody received at the other end, or none left.
                            Err(_) => break,
                        }
                        received = self.socket.try_recv_from(&mut bytes);
                    }
                }
                () = sleep_until(release_at.unwrap_or(due).min(due)) => {}
                Some((task, epoch, outcome)) = call_outcomes.recv() => {
                    self.calls.ended(task);
                    let actions = self.node.call_ended(self.clocks(), task, epoch, outcome);
                    self.carry_out(actions);
                }
                Some(request) = requests.recv() => self.answer(request),
                () = stage_reached(&mut stages, ShutdownStage::Draining), if release_at.is_none() => {
                    self.node.stop();
                    release_at = Some(Instant::now() + LAST_CALL_TIME);
                }
            }
            if release_at.is_some_and(|at| Instant::now() >= at || !self.node.any_call_open()) {
                return self.release_all().await;
            }
        }
    }

    fn answer(&mut self, request: FleetRequest) {
        match request {
            FleetRequest::Status(answer) => {
                let mut status = self.node.status(self.clocks());
                status["datagrams"]["not_heard"] = self.dropped.counts();
                drop(answer.send(status));
            }
            FleetRequest::Log(answer) => {
                if let Some((machines, maintenance)) =
                    self.machines.as_ref().zip(self.node.maintenance())
                {
                    drop(answer.send(machines.status(maintenance)));
                }
            }
            FleetRequest::FindMachines(filter, answer) => {
                let ids = self
                    .machines
                    .as_ref()
                    .map(|machines| machines.matching(&filter));
                drop(answer.send(ids.unwrap_or_default()));
            }
            FleetRequest::Submit { message, answer } => {
                if let Message::Schedule { request, .. } | Message::Operate { request, .. } =
                    message
                {
                    self.operators.retain(|_, waiting| !waiting.is_closed());
                    self.operators.insert(request, answer);
                    self.node.submit(message);
                }
            }
            FleetRequest::WaitInformed(answer) => self.waiting_informed.push(answer),
        }
    }

    /// Handles the timers of maintenance: some twenty times a second while there is any.
    fn drive_maintenance(&mut self) {
        let clocks = self.clocks();
        let Some(machines) = &mut self.machines else {
            return;
        };
        // A sidecar that isn't informed yet has nothing to do with machines. Prevents a fleet that starts together from
        // reading the whole list twenty times a second on each sidecar.
        let busy = |manager: &MaintenanceManager| {
            manager.is_active() && (manager.is_informed() || manager.is_coordinator())
        };
        let interval = if self.node.maintenance().is_some_and(busy) {
            passroad_upkeep::TICK_INTERVAL
        } else {
            IDLE_REFRESH_INTERVAL
        };
        if self.refreshed.elapsed() >= interval {
            self.refreshed = Instant::now();
            machines.refresh(clocks.wall);
            // Machines that were excluded before they were listed here.
            let machines = &*machines;
            self.unlisted
                .retain(|machine| !machines.set_excluded(*machine, true));
        }
        let Some(machines) = &self.machines else {
            return;
        };
        let view = MachineView {
            machines: &machines.listed,
            is_idle: &|machine| machines.is_idle(machine),
        };
        let actions = self.node.drive_maintenance(clocks, &view, None);
        self.carry_out(actions);
        if self
            .node
            .maintenance()
            .is_some_and(MaintenanceManager::is_informed)
        {
            for answer in self.waiting_informed.drain(..) {
                let _ = answer.send(());
            }
        }
    }

    async fn release_all(mut self) {
        let end = Instant::now() + RELEASE_TIME;
        let actions = self.node.release_all(self.clocks());
        self.carry_out(actions);
        while Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
            let actions = self.node.tick(self.clocks());
            self.carry_out(actions);
        }
    }

    fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        match self.indices.get(&from).copied() {
            Some(member) => {
                let clocks = self.clocks();
                let actions = match &self.machines {
                    Some(machines) => {
                        let view = MachineView {
                            machines: &machines.listed,
                            is_idle: &|machine| machines.is_idle(machine),
                        };
                        self.node.receive(clocks, member, bytes, &view)
                    }
                    None => self.node.receive(
                        clocks,
                        member,
                        bytes,
                        &MachineView {
                            machines: &[],
                            is_idle: &|_| false,
                        },
                    ),
                };
                self.carry_out(actions);
            }
            None => self
                .dropped
                .count(self.started.elapsed(), "of an address that is not in peers"),
        }
    }

    fn carry_out(&mut self, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Send { to, bytes } => {
                    // A datagram that the system doesn't take counts as lost.
                    if let Some(address) = self.peers.addresses.get(usize::from(to)) {
                        let _ = self.socket.try_send_to(&bytes, *address);
                    }
                }
                NodeAction::Persist { key, vote } => {
                    // The actions behind it are dropped too: what isn't on disk must not be sent.
                    if let Some(Err(error)) =
                        self.vote_store.as_mut().map(|store| store.store(key, vote))
                    {
                        // Otherwise it would be sent when it is asked for again.
                        self.node.stop_voting();
                        return log::error!(
                            "fleet: the state can't be stored, this voter votes no more: {error}"
                        );
                    }
                }
                NodeAction::BeginCall {
                    task,
                    epoch,
                    timeout,
                } => {
                    self.calls
                        .begin(task, &self.tasks[task], epoch, self.peers.me, timeout);
                }
                NodeAction::AbortCall { task } => self.calls.abort(task),
                NodeAction::Log { level, line } => log::log!(level, "fleet: {line}"),
                NodeAction::StateChanged { member, state } => {
                    log::debug!("fleet: member {member}: {}", outer_name(state));
                    if let Some(state_changes) = &self.state_changes {
                        let _ = state_changes.send(MemberStateChange { member, state });
                    }
                }
                NodeAction::SetExcluded { machine, excluded } => {
                    // A machine that was listed since the last refresh would be excluded only after the next one.
                    let listed = self.machines.as_mut().is_some_and(|machines| {
                        machines.set_excluded(machine, excluded) || {
                            machines.refresh(wall());
                            machines.set_excluded(machine, excluded)
                        }
                    });
                    if !listed && excluded {
                        self.unlisted.insert(machine);
                    } else {
                        self.unlisted.remove(&machine);
                    }
                }
                NodeAction::Respond { request, rejected } => {
                    if let Some(waiting) = self.operators.remove(&request) {
                        let _ = waiting.send(rejected);
                    }
                }
                NodeAction::Report { machine, event } => {
                    let id = self
                        .machines
                        .as_ref()
                        .map(|machines| machines.name(machine))
                        .unwrap_or_default();
                    let (level, line) = machines::event_line(&id, event);
                    log::log!(level, "fleet: {line}");
                }
                NodeAction::Dropped(cause) => self.dropped.count(self.started.elapsed(), cause),
            }
        }
    }
}
