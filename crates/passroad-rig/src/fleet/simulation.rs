//! Communicating sidecars in virtual time: the sidecar's own fleet code, clocks that drift apart, the network between
//! them and the resource that lease owners act on. The result depends on the seed only, not on the machine or the
//! number of threads.

use super::datagram_faults::DatagramFaults;
use super::{Act, FleetFaultKind, FleetPlan, FleetResults, RESTART_DELAY};
use crate::rng::SeededRng;
use passroad::fleet::node::{CallOutcome, FleetNode, MachineView, NodeAction, NodeIdentity};
use passroad_lease::{Clocks, Epoch, Fence, LeaseKey, Vote};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Largest difference between the rates of two clocks, as a share.
const CLOCK_DRIFT: f64 = 0.02;
/// The wall clock at the start of a run, since the Unix epoch.
const WALL_CLOCK_START: Duration = Duration::from_secs(1_790_000_000);
/// Datagrams that wait unread at a paused process; the operating system drops further ones.
const MAX_UNREAD_DATAGRAMS: usize = 200;
/// Time that a stopping sidecar waits for an open call before it releases its leases.
const OPEN_CALL_WAIT: Duration = Duration::from_millis(40);
/// Time between the release of its leases and the end of a stopping sidecar, for the datagrams to be sent.
const RELEASE_WAIT: Duration = Duration::from_millis(120);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    /// The timer of a node fires, unless a later one has replaced it.
    Timer { node: usize, id: u64 },
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    /// A call arrives at the resource.
    CallArrives { call: usize },
    /// The resource accepts or refuses the act of a call.
    ActCommits { call: usize },
    /// The answer of the resource arrives at the caller.
    AnswerArrives { call: usize },
    /// The caller's timeout expires.
    CallTimesOut { call: usize },
    /// A fault begins, by its index.
    FaultBegins(usize),
    /// A fault ends, by its index.
    FaultEnds(usize),
    /// A process starts.
    ProcessStarts(usize),
    /// A stopping sidecar releases its leases.
    LeasesReleased(usize),
    /// A process ends.
    ProcessEnds(usize),
}

/// A sidecar process and its machine.
struct Node {
    fleet_node: Option<FleetNode>, // none while the process is down
    started_at: Duration,
    clock_rate: f64,
    timer_id: u64, // of the timer that is in force
    paused: u32,
    deferred: Vec<SimulationEvent>, // events for it while it is paused
    disk: BTreeMap<LeaseKey, Vote>,
    rng: SeededRng,
    calls: Vec<Option<usize>>, // open calls, by leased role
}

/// A call of a lease owner to the resource.
struct Call {
    node: usize,
    role: usize,
    epoch: Epoch,
    aborted: bool,
    outcome: Option<Result<(), Epoch>>, // once committed; the highest epoch where it is refused
}

struct Simulation<'a> {
    plan: &'a FleetPlan,
    instances: usize,
    one_way_delay: Duration,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, SimulationEvent)>>,
    event_count: u64, // orders events of the same time
    nodes: Vec<Node>,
    datagram_faults: DatagramFaults,
    calls: Vec<Call>,
    held_calls: Vec<(usize, Vec<usize>, Vec<usize>)>, // fault, callers, calls
    affected: Vec<Vec<usize>>,                        // by fault, the nodes that it affected
    fence: Fence,
    results: FleetResults,
    believed_epochs: Vec<Option<Epoch>>, // of the first leased role, by node
}

/// Simulates a run.
pub fn simulate(
    plan: &FleetPlan,
    instances: usize,
    length: Duration,
    one_way_delay: Duration,
    seed: u64,
) -> FleetResults {
    let mut simulation = Simulation {
        plan,
        instances,
        one_way_delay,
        now: Duration::ZERO,
        queue: BinaryHeap::new(),
        event_count: 0,
        nodes: Vec::new(),
        datagram_faults: DatagramFaults::new(seed),
        calls: Vec::new(),
        held_calls: Vec::new(),
        affected: vec![Vec::new(); plan.faults.len()],
        fence: Fence::default(),
        results: FleetResults {
            datagrams_sent: vec![0; instances],
            seconds: length.as_secs_f64(),
            ..FleetResults::default()
        },
        believed_epochs: vec![None; instances],
    };
    for node in 0..instances {
        let mut rng = SeededRng::stream(seed, "sidecar", node as u64);
        let clock_rate = 1.0 + CLOCK_DRIFT * (rng.uniform() - 0.5);
        simulation.nodes.push(Node {
            fleet_node: None,
            started_at: Duration::ZERO,
            clock_rate,
            timer_id: 0,
            paused: 0,
            deferred: Vec::new(),
            disk: BTreeMap::new(),
            calls: vec![None; plan.leased_roles.len()],
            rng,
        });
        // All start within half a second.
        let start = Duration::from_millis(simulation.nodes[node].rng.below(500) as u64);
        simulation.schedule(start, SimulationEvent::ProcessStarts(node));
    }
    for (index, fault) in plan.faults.iter().enumerate() {
        simulation.schedule(fault.from, SimulationEvent::FaultBegins(index));
        let end = if fault.kind == FleetFaultKind::Kill {
            None
        } else {
            fault.to
        };
        end.into_iter()
            .for_each(|to| simulation.schedule(to, SimulationEvent::FaultEnds(index)));
    }
    while let Some(Reverse((time, _, event))) = simulation.queue.pop() {
        if time > length {
            break;
        }
        simulation.now = time;
        simulation.handle(event);
    }
    for node in &simulation.nodes {
        let counts = node
            .fleet_node
            .as_ref()
            .map(FleetNode::counts)
            .unwrap_or_default();
        simulation.results.suspicions += counts.suspicions;
        simulation.results.refuted += counts.refuted;
    }
    simulation.results.fault_hits += simulation.datagram_faults.hits;
    simulation.results
}

impl Simulation<'_> {
    fn schedule(&mut self, time: Duration, event: SimulationEvent) {
        self.event_count += 1;
        self.queue.push(Reverse((time, self.event_count, event)));
    }

    /// The clocks of a node: a monotonic one with its own rate, and the wall clock.
    fn clocks(&self, node: usize) -> Clocks {
        let state = &self.nodes[node];
        Clocks {
            monotonic: self
                .now
                .saturating_sub(state.started_at)
                .mul_f64(state.clock_rate),
            wall: WALL_CLOCK_START + self.now,
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        // Events for a paused process are deferred until it resumes.
        let receiver = match &event {
            SimulationEvent::Timer { node, .. }
            | SimulationEvent::LeasesReleased(node)
            | SimulationEvent::ProcessEnds(node) => Some(*node),
            SimulationEvent::Datagram { to, .. } => Some(*to),
            SimulationEvent::AnswerArrives { call } | SimulationEvent::CallTimesOut { call } => {
                Some(self.calls[*call].node)
            }
            _ => None,
        };
        if let Some(node) = receiver.filter(|node| self.nodes[*node].paused > 0) {
            let unread = self.nodes[node]
                .deferred
                .iter()
                .filter(|event| matches!(event, SimulationEvent::Datagram { .. }))
                .count();
            if !matches!(event, SimulationEvent::Datagram { .. }) || unread < MAX_UNREAD_DATAGRAMS {
                self.nodes[node].deferred.push(event);
            }
            return;
        }
        match event {
            SimulationEvent::Timer { node, id } => {
                if self.nodes[node].timer_id == id {
                    self.advance(node);
                }
            }
            SimulationEvent::Datagram { from, to, bytes } => {
                let clocks = self.clocks(to);
                if let Some(fleet_node) = &mut self.nodes[to].fleet_node {
                    let actions = fleet_node.receive(
                        clocks,
                        from as u16,
                        &bytes,
                        &MachineView {
                            machines: &[],
                            is_idle: &|_| false,
                        },
                    );
                    self.carry_out(to, actions);
                    self.advance(to);
                }
            }
            SimulationEvent::CallArrives { call } => {
                let node = self.calls[call].node;
                match self
                    .held_calls
                    .iter_mut()
                    .find(|(_, callers, _)| callers.contains(&node))
                {
                    Some((_, _, held)) => {
                        held.push(call);
                        self.results.fault_hits += 1;
                    }
                    None => {
                        let act_duration =
                            self.plan.leased_roles[self.calls[call].role].act_duration;
                        self.schedule(
                            self.now + act_duration,
                            SimulationEvent::ActCommits { call },
                        );
                    }
                }
            }
            SimulationEvent::ActCommits { call } => self.commit(call),
            SimulationEvent::AnswerArrives { call } => {
                let outcome = match self.calls[call].outcome {
                    Some(Ok(())) => CallOutcome::Succeeded,
                    Some(Err(highest)) => CallOutcome::StaleEpoch(highest),
                    None => return,
                };
                self.call_ended(call, outcome);
            }
            SimulationEvent::CallTimesOut { call } => {
                self.call_ended(call, CallOutcome::Unknown("no answer in time".into()))
            }
            SimulationEvent::ProcessStarts(node) => self.start_process(node),
            SimulationEvent::FaultBegins(index) => self.begin_fault(index),
            SimulationEvent::FaultEnds(index) => self.end_fault(index),
            SimulationEvent::LeasesReleased(node) => {
                let clocks = self.clocks(node);
                if let Some(fleet_node) = &mut self.nodes[node].fleet_node {
                    let actions = fleet_node.release_all(clocks);
                    self.carry_out(node, actions);
                    self.advance(node);
                    self.schedule(self.now + RELEASE_WAIT, SimulationEvent::ProcessEnds(node));
                }
            }
            SimulationEvent::ProcessEnds(node) => self.end_process(node),
        }
    }

    fn start_process(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if state.fleet_node.is_some() {
            return;
        }
        state.started_at = self.now;
        let incarnation = passroad_peers::incarnation_at(WALL_CLOCK_START + self.now);
        let seed = state.rng.next_u64();
        let identity = NodeIdentity {
            me: node as u16,
            members: self.instances,
            incarnation,
            seed,
        };
        let votes = (self.plan.persist_votes && !state.disk.is_empty()).then(|| state.disk.clone());
        let leased_roles = self
            .plan
            .leased_roles
            .iter()
            .map(|role| role.leased_task())
            .collect();
        let (voters, lease, period) = (self.plan.voters, self.plan.lease, self.plan.period);
        let clocks = self.clocks(node);
        self.nodes[node].fleet_node = Some(FleetNode::new(
            &identity,
            voters,
            lease,
            period,
            leased_roles,
            clocks,
            votes,
        ));
        self.advance(node);
    }

    /// Ends a process. Its datagrams and calls that are under way still arrive.
    fn end_process(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if let Some(fleet_node) = state.fleet_node.take() {
            self.results.suspicions += fleet_node.counts().suspicions;
            self.results.refuted += fleet_node.counts().refuted;
        }
        state.timer_id += 1;
        state.deferred.clear();
        state.calls.iter_mut().for_each(|call| *call = None);
        self.believed_epochs[node] = None;
    }

    /// Lets a node act on expired timers, sets its next timer and updates what it believes to own.
    fn advance(&mut self, node: usize) {
        let clocks = self.clocks(node);
        let Some(fleet_node) = &mut self.nodes[node].fleet_node else {
            return;
        };
        let actions = fleet_node.tick(clocks);
        self.carry_out(node, actions);
        let state = &mut self.nodes[node];
        let Some(fleet_node) = &mut state.fleet_node else {
            return;
        };
        let (wait, owned) = (
            fleet_node.wait(clocks),
            (!self.plan.leased_roles.is_empty()).then(|| fleet_node.owned_epoch(clocks, 0)),
        );
        state.timer_id += 1;
        let event = SimulationEvent::Timer {
            node,
            id: state.timer_id,
        };
        let time = self.now + wait.div_f64(state.clock_rate) + Duration::from_micros(1);
        self.schedule(time, event);
        self.believed_epochs[node] = owned.flatten();
        if self.believed_epochs[node].is_some() {
            self.count_believers();
        }
    }

    /// Counts the running nodes that believe to own the first leased role now.
    fn count_believers(&mut self) {
        let mut believers = 0;
        for node in 0..self.instances {
            if self.believed_epochs[node].is_some() && self.nodes[node].paused == 0 {
                let clocks = self.clocks(node);
                let believes = self.nodes[node]
                    .fleet_node
                    .as_mut()
                    .and_then(|fleet_node| fleet_node.owned_epoch(clocks, 0))
                    .is_some();
                believers += usize::from(believes);
            }
        }
        self.results.max_believed_owners = self.results.max_believed_owners.max(Some(believers));
    }

    /// Carries out the actions that the code of a node has returned.
    fn carry_out(&mut self, node: usize, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Send { to, bytes } => {
                    self.results.datagrams_sent[node] += 1;
                    self.results.longest_datagram_bytes =
                        self.results.longest_datagram_bytes.max(bytes.len());
                    let to = usize::from(to);
                    for delay in self.datagram_faults.delivery_delays(node, to, &bytes) {
                        let jitter = Duration::from_micros(self.nodes[node].rng.below(200) as u64);
                        let event = SimulationEvent::Datagram {
                            from: node,
                            to,
                            bytes: bytes.clone(),
                        };
                        self.schedule(self.now + self.one_way_delay + jitter + delay, event);
                    }
                }
                NodeAction::Persist { key, vote } => drop(self.nodes[node].disk.insert(key, vote)),
                NodeAction::BeginCall {
                    task: role,
                    epoch,
                    timeout,
                } => {
                    let call = self.calls.len();
                    self.calls.push(Call {
                        node,
                        role,
                        epoch,
                        aborted: false,
                        outcome: None,
                    });
                    self.nodes[node].calls[role] = Some(call);
                    self.schedule(
                        self.now + self.one_way_delay,
                        SimulationEvent::CallArrives { call },
                    );
                    let clock_rate = self.nodes[node].clock_rate;
                    self.schedule(
                        self.now + timeout.div_f64(clock_rate),
                        SimulationEvent::CallTimesOut { call },
                    );
                }
                NodeAction::AbortCall { task: role } => {
                    if let Some(call) = self.nodes[node].calls[role].take() {
                        self.calls[call].aborted = true;
                    }
                }
                NodeAction::Log { .. }
                | NodeAction::StateChanged { .. }
                | NodeAction::Dropped(_)
                | NodeAction::SetExcluded { .. }
                | NodeAction::Respond { .. }
                | NodeAction::Report { .. } => {}
            }
        }
    }

    /// The resource accepts or refuses the act of a call, and sends its answer.
    fn commit(&mut self, call: usize) {
        let Call {
            node, role, epoch, ..
        } = self.calls[call];
        let admitted = self.fence.admit(role as LeaseKey, epoch, node as u16);
        let accepted = admitted.is_ok() || !self.plan.fence;
        self.results.acts.push(Act {
            time: self.now,
            role,
            epoch,
            owner: node,
            accepted,
        });
        let highest = self
            .fence
            .highest(role as LeaseKey)
            .map_or(epoch, |(highest, _)| highest);
        self.calls[call].outcome = Some(if accepted { Ok(()) } else { Err(highest) });
        self.schedule(
            self.now + self.one_way_delay,
            SimulationEvent::AnswerArrives { call },
        );
    }

    fn call_ended(&mut self, call: usize, outcome: CallOutcome) {
        let (node, role, epoch) = (
            self.calls[call].node,
            self.calls[call].role,
            self.calls[call].epoch,
        );
        if self.calls[call].aborted || self.nodes[node].calls[role] != Some(call) {
            return;
        }
        self.nodes[node].calls[role] = None;
        let clocks = self.clocks(node);
        if let Some(fleet_node) = &mut self.nodes[node].fleet_node {
            let actions = fleet_node.call_ended(clocks, role, epoch, outcome);
            self.carry_out(node, actions);
            self.advance(node);
        }
    }

    fn begin_fault(&mut self, index: usize) {
        let fault = &self.plan.faults[index];
        let owner = self
            .results
            .acts
            .iter()
            .rev()
            .find(|act| act.accepted)
            .map(|act| act.owner);
        let nodes = fault.target.resolve(self.plan, self.instances, owner);
        self.affected[index].clone_from(&nodes);
        match fault.kind {
            FleetFaultKind::Pause => {
                self.results.fault_hits += nodes.len();
                nodes.iter().for_each(|node| self.nodes[*node].paused += 1);
            }
            FleetFaultKind::Kill => {
                self.results.fault_hits += nodes.len();
                let restart = fault.to.unwrap_or(self.now + RESTART_DELAY);
                for node in nodes {
                    self.end_process(node);
                    self.schedule(restart, SimulationEvent::ProcessStarts(node));
                }
            }
            FleetFaultKind::Stop => {
                self.results.fault_hits += nodes.len();
                let restart = fault.to.unwrap_or(self.now + 2 * RESTART_DELAY);
                for node in nodes {
                    if let Some(fleet_node) = &mut self.nodes[node].fleet_node {
                        fleet_node.stop();
                        let wait = if fleet_node.any_call_open() {
                            OPEN_CALL_WAIT
                        } else {
                            Duration::ZERO
                        };
                        self.schedule(self.now + wait, SimulationEvent::LeasesReleased(node));
                        self.schedule(
                            restart.max(self.now + OPEN_CALL_WAIT + 2 * RELEASE_WAIT),
                            SimulationEvent::ProcessStarts(node),
                        );
                    }
                }
            }
            FleetFaultKind::HoldBackCalls => self.held_calls.push((index, nodes, Vec::new())),
            kind => {
                let membership = |list: &[usize]| {
                    (0..self.instances)
                        .map(|node| list.contains(&node))
                        .collect::<Vec<_>>()
                };
                let from = membership(&nodes);
                let to = match &fault.others {
                    Some(others) => membership(others),
                    None if nodes.len() == self.instances => vec![true; self.instances],
                    None => from.iter().map(|member| !member).collect(),
                };
                self.datagram_faults.begin_fault(index, from, to, kind);
            }
        }
    }

    fn end_fault(&mut self, index: usize) {
        match self.plan.faults[index].kind {
            FleetFaultKind::Pause => {
                for node in std::mem::take(&mut self.affected[index]) {
                    self.nodes[node].paused = self.nodes[node].paused.saturating_sub(1);
                    if self.nodes[node].paused > 0 {
                        continue;
                    }
                    // A resumed process handles its timers first, before it reads what has arrived.
                    self.advance(node);
                    for event in std::mem::take(&mut self.nodes[node].deferred) {
                        self.handle(event);
                    }
                }
            }
            FleetFaultKind::HoldBackCalls => {
                let held = self
                    .held_calls
                    .iter()
                    .position(|(fault, ..)| *fault == index);
                for call in held
                    .map(|position| self.held_calls.remove(position).2)
                    .unwrap_or_default()
                {
                    self.schedule(self.now, SimulationEvent::ActCommits { call });
                }
            }
            FleetFaultKind::Kill | FleetFaultKind::Stop => {}
            _ => {
                for (from, to, bytes) in self.datagram_faults.end_fault(index) {
                    self.schedule(
                        self.now + self.one_way_delay,
                        SimulationEvent::Datagram { from, to, bytes },
                    );
                }
            }
        }
    }
}
