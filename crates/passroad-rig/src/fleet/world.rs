//! Sidecars that talk, in virtual time: the sidecar's own code for its part in the fleet, clocks that run apart, and the
//! resource. The same from the same seed, on any machine and any number of threads.

use super::wires::Wires;
use super::{Act, FleetDay, FleetPlan, RESTART, What};
use crate::rng::SeededRng;
use passroad::fleet::node::{CallOutcome, FleetNode, MachineView, NodeAction, NodeIdentity};
use passroad_lease::{Clocks, Epoch, Fence, LeaseKey, Vote};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Clocks run so much apart, fast against slow.
const APART: f64 = 0.02;
/// When a day begins, since 1970.
const WALL: Duration = Duration::from_secs(1_790_000_000);
/// Datagrams that wait unread at a process that is stopped; the system drops more.
const MOST_UNREAD: usize = 200;
const LAST_CALL: Duration = Duration::from_millis(40);
const LAST_WORDS: Duration = Duration::from_millis(120);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ev {
    Wake {
        node: usize,
        turn: u64,
    },
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Arrives {
        call: usize,
    },
    Commits {
        call: usize,
    },
    Answers {
        call: usize,
    },
    GivenUp {
        call: usize,
    },
    Begins(usize),
    Ends(usize),
    Starts(usize),
    Leaves(usize),
    Down(usize),
}

struct Node {
    part: Option<FleetNode>,
    began: Duration,
    rate: f64,
    turn: u64,
    paused: u32,
    missed: Vec<Ev>, // what comes to it while it is stopped
    disk: BTreeMap<LeaseKey, Vote>,
    chance: SeededRng,
    calls: Vec<Option<usize>>,
}

struct Call {
    node: usize,
    duty: usize,
    epoch: Epoch,
    dropped: bool,
    accepted: Option<Result<(), Epoch>>,
}

struct World<'a> {
    plan: &'a FleetPlan,
    instances: usize,
    trip: Duration, // one way
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Ev)>>,
    count: u64,
    nodes: Vec<Node>,
    wires: Wires,
    calls: Vec<Call>,
    acts_kept: Vec<(usize, Vec<usize>, Vec<usize>)>, // fault, whose, calls
    hit: Vec<Vec<usize>>,                            // whom each fault has hit
    fence: Fence,
    day: FleetDay,
    believes: Vec<Option<Epoch>>, // of the first duty
}

/// Plays a day.
pub fn play(
    plan: &FleetPlan,
    instances: usize,
    length: Duration,
    trip: Duration,
    seed: u64,
) -> FleetDay {
    let mut world = World {
        plan,
        instances,
        trip,
        now: Duration::ZERO,
        queue: BinaryHeap::new(),
        count: 0,
        nodes: Vec::new(),
        wires: Wires::new(seed),
        calls: Vec::new(),
        acts_kept: Vec::new(),
        hit: vec![Vec::new(); plan.faults.len()],
        fence: Fence::default(),
        day: FleetDay {
            datagrams: vec![0; instances],
            seconds: length.as_secs_f64(),
            ..FleetDay::default()
        },
        believes: vec![None; instances],
    };
    for n in 0..instances {
        let mut chance = SeededRng::stream(seed, "sidecar", n as u64);
        let rate = 1.0 + APART * (chance.uniform() - 0.5);
        world.nodes.push(Node {
            part: None,
            began: Duration::ZERO,
            rate,
            turn: 0,
            paused: 0,
            missed: Vec::new(),
            disk: BTreeMap::new(),
            calls: vec![None; plan.duties.len()],
            chance,
        });
        // They start within half a second of each other.
        let at = Duration::from_millis(world.nodes[n].chance.below(500) as u64);
        world.at(at, Ev::Starts(n));
    }
    for (n, fault) in plan.faults.iter().enumerate() {
        world.at(fault.from, Ev::Begins(n));
        let ends = if fault.what == What::Kill {
            None
        } else {
            fault.to
        };
        ends.into_iter().for_each(|to| world.at(to, Ev::Ends(n)));
    }
    while let Some(Reverse((at, _, ev))) = world.queue.pop() {
        if at > length {
            break;
        }
        world.now = at;
        world.happens(ev);
    }
    for node in &world.nodes {
        let counts = node
            .part
            .as_ref()
            .map(FleetNode::counts)
            .unwrap_or_default();
        world.day.doubts += counts.suspicions;
        world.day.refuted += counts.refuted;
    }
    world.day.hits += world.wires.hits;
    world.day
}

impl World<'_> {
    fn at(&mut self, at: Duration, ev: Ev) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, ev)));
    }

    fn times(&self, node: usize) -> Clocks {
        let n = &self.nodes[node];
        Clocks {
            monotonic: self.now.saturating_sub(n.began).mul_f64(n.rate),
            wall: WALL + self.now,
        }
    }

    fn happens(&mut self, ev: Ev) {
        // Whoever is stopped finds it when it wakes.
        let to = match &ev {
            Ev::Wake { node, .. } | Ev::Leaves(node) | Ev::Down(node) => Some(*node),
            Ev::Datagram { to, .. } => Some(*to),
            Ev::Answers { call } | Ev::GivenUp { call } => Some(self.calls[*call].node),
            _ => None,
        };
        if let Some(node) = to.filter(|node| self.nodes[*node].paused > 0) {
            let unread = self.nodes[node]
                .missed
                .iter()
                .filter(|e| matches!(e, Ev::Datagram { .. }))
                .count();
            if !matches!(ev, Ev::Datagram { .. }) || unread < MOST_UNREAD {
                self.nodes[node].missed.push(ev);
            }
            return;
        }
        match ev {
            Ev::Wake { node, turn } => {
                if self.nodes[node].turn == turn {
                    self.turn(node);
                }
            }
            Ev::Datagram { from, to, bytes } => {
                let times = self.times(to);
                if let Some(part) = &mut self.nodes[to].part {
                    let todo = part.receive(
                        times,
                        from as u16,
                        &bytes,
                        &MachineView {
                            machines: &[],
                            is_idle: &|_| false,
                        },
                    );
                    self.carry_out(to, todo);
                    self.turn(to);
                }
            }
            Ev::Arrives { call } => {
                let node = self.calls[call].node;
                match self
                    .acts_kept
                    .iter_mut()
                    .find(|(_, whose, _)| whose.contains(&node))
                {
                    Some((_, _, kept)) => {
                        kept.push(call);
                        self.day.hits += 1;
                    }
                    None => {
                        let work = self.plan.duties[self.calls[call].duty].work;
                        self.at(self.now + work, Ev::Commits { call });
                    }
                }
            }
            Ev::Commits { call } => self.commit(call),
            Ev::Answers { call } => {
                let came = match self.calls[call].accepted {
                    Some(Ok(())) => CallOutcome::Succeeded,
                    Some(Err(highest)) => CallOutcome::StaleEpoch(highest),
                    None => return,
                };
                self.ended(call, came);
            }
            Ev::GivenUp { call } => {
                self.ended(call, CallOutcome::Unknown("no answer in time".into()))
            }
            Ev::Starts(node) => self.start(node),
            Ev::Begins(n) => self.begin(n),
            Ev::Ends(n) => self.end(n),
            Ev::Leaves(node) => {
                let times = self.times(node);
                if let Some(part) = &mut self.nodes[node].part {
                    let todo = part.release_all(times);
                    self.carry_out(node, todo);
                    self.turn(node);
                    self.at(self.now + LAST_WORDS, Ev::Down(node));
                }
            }
            Ev::Down(node) => self.down(node),
        }
    }

    fn start(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if n.part.is_some() {
            return;
        }
        n.began = self.now;
        let incarnation = passroad_peers::incarnation_at(WALL + self.now);
        let seed = n.chance.next_u64();
        let who = NodeIdentity {
            me: node as u16,
            members: self.instances,
            incarnation,
            seed,
        };
        let votes = (self.plan.state && !n.disk.is_empty()).then(|| n.disk.clone());
        let duties = self.plan.duties.iter().map(|duty| duty.orders()).collect();
        let (voters, lease, period) = (self.plan.voters, self.plan.lease, self.plan.period);
        let times = self.times(node);
        self.nodes[node].part = Some(FleetNode::new(
            &who, voters, lease, period, duties, times, votes,
        ));
        self.turn(node);
    }

    /// The process ends; what it had out stays out.
    fn down(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if let Some(part) = n.part.take() {
            self.day.doubts += part.counts().suspicions;
            self.day.refuted += part.counts().refuted;
        }
        n.turn += 1;
        n.missed.clear();
        n.calls.iter_mut().for_each(|call| *call = None);
        self.believes[node] = None;
    }

    fn turn(&mut self, node: usize) {
        let times = self.times(node);
        let Some(part) = &mut self.nodes[node].part else {
            return;
        };
        let todo = part.tick(times);
        self.carry_out(node, todo);
        let n = &mut self.nodes[node];
        let Some(part) = &mut n.part else { return };
        let (wait, owned) = (
            part.wait(times),
            (!self.plan.duties.is_empty()).then(|| part.owned_epoch(times, 0)),
        );
        n.turn += 1;
        let ev = Ev::Wake { node, turn: n.turn };
        let at = self.now + wait.div_f64(n.rate) + Duration::from_micros(1);
        self.at(at, ev);
        self.believes[node] = owned.flatten();
        if self.believes[node].is_some() {
            self.look();
        }
    }

    /// How many that could act now take themselves for the owner.
    fn look(&mut self) {
        let mut believers = 0;
        for node in 0..self.instances {
            if self.believes[node].is_some() && self.nodes[node].paused == 0 {
                let times = self.times(node);
                let still = self.nodes[node]
                    .part
                    .as_mut()
                    .and_then(|part| part.owned_epoch(times, 0))
                    .is_some();
                believers += usize::from(still);
            }
        }
        self.day.believers = self.day.believers.max(Some(believers));
    }

    fn carry_out(&mut self, node: usize, todo: Vec<NodeAction>) {
        for what in todo {
            match what {
                NodeAction::Send { to, bytes } => {
                    self.day.datagrams[node] += 1;
                    self.day.longest = self.day.longest.max(bytes.len());
                    let to = usize::from(to);
                    for after in self.wires.pass(node, to, &bytes) {
                        let odd = Duration::from_micros(self.nodes[node].chance.below(200) as u64);
                        let ev = Ev::Datagram {
                            from: node,
                            to,
                            bytes: bytes.clone(),
                        };
                        self.at(self.now + self.trip + odd + after, ev);
                    }
                }
                NodeAction::Persist { key, vote } => drop(self.nodes[node].disk.insert(key, vote)),
                NodeAction::BeginCall {
                    task: n,
                    epoch,
                    timeout: within,
                } => {
                    let call = self.calls.len();
                    self.calls.push(Call {
                        node,
                        duty: n,
                        epoch,
                        dropped: false,
                        accepted: None,
                    });
                    self.nodes[node].calls[n] = Some(call);
                    self.at(self.now + self.trip, Ev::Arrives { call });
                    let rate = self.nodes[node].rate;
                    self.at(self.now + within.div_f64(rate), Ev::GivenUp { call });
                }
                NodeAction::AbortCall { task: n } => {
                    if let Some(call) = self.nodes[node].calls[n].take() {
                        self.calls[call].dropped = true;
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

    fn commit(&mut self, call: usize) {
        let Call {
            node, duty, epoch, ..
        } = self.calls[call];
        let told = self.fence.admit(duty as LeaseKey, epoch, node as u16);
        let accepted = told.is_ok() || !self.plan.fence;
        self.day.acts.push(Act {
            at: self.now,
            duty,
            epoch,
            owner: node,
            accepted,
        });
        let highest = self
            .fence
            .highest(duty as LeaseKey)
            .map_or(epoch, |(highest, _)| highest);
        self.calls[call].accepted = Some(if accepted { Ok(()) } else { Err(highest) });
        self.at(self.now + self.trip, Ev::Answers { call });
    }

    fn ended(&mut self, call: usize, came: CallOutcome) {
        let (node, duty, epoch) = (
            self.calls[call].node,
            self.calls[call].duty,
            self.calls[call].epoch,
        );
        if self.calls[call].dropped || self.nodes[node].calls[duty] != Some(call) {
            return;
        }
        self.nodes[node].calls[duty] = None;
        let times = self.times(node);
        if let Some(part) = &mut self.nodes[node].part {
            let todo = part.call_ended(times, duty, epoch, came);
            self.carry_out(node, todo);
            self.turn(node);
        }
    }

    fn begin(&mut self, n: usize) {
        let fault = &self.plan.faults[n];
        let owner = self
            .day
            .acts
            .iter()
            .rev()
            .find(|a| a.accepted)
            .map(|a| a.owner);
        let whom = fault.whom.find(self.plan, self.instances, owner);
        self.hit[n].clone_from(&whom);
        match fault.what {
            What::Pause => {
                self.day.hits += whom.len();
                whom.iter().for_each(|node| self.nodes[*node].paused += 1);
            }
            What::Kill => {
                self.day.hits += whom.len();
                let back = fault.to.unwrap_or(self.now + RESTART);
                for node in whom {
                    self.down(node);
                    self.at(back, Ev::Starts(node));
                }
            }
            What::Stop => {
                self.day.hits += whom.len();
                let back = fault.to.unwrap_or(self.now + 2 * RESTART);
                for node in whom {
                    if let Some(part) = &mut self.nodes[node].part {
                        part.stop();
                        let wait = if part.any_call_open() {
                            LAST_CALL
                        } else {
                            Duration::ZERO
                        };
                        self.at(self.now + wait, Ev::Leaves(node));
                        self.at(
                            back.max(self.now + LAST_CALL + 2 * LAST_WORDS),
                            Ev::Starts(node),
                        );
                    }
                }
            }
            What::ActsKeep => self.acts_kept.push((n, whom, Vec::new())),
            what => {
                let side = |list: &[usize]| {
                    (0..self.instances)
                        .map(|n| list.contains(&n))
                        .collect::<Vec<_>>()
                };
                let from = side(&whom);
                let to = match &fault.others {
                    Some(others) => side(others),
                    None if whom.len() == self.instances => vec![true; self.instances],
                    None => from.iter().map(|of| !of).collect(),
                };
                self.wires.begin(n, from, to, what);
            }
        }
    }

    fn end(&mut self, n: usize) {
        match self.plan.faults[n].what {
            What::Pause => {
                for node in std::mem::take(&mut self.hit[n]) {
                    self.nodes[node].paused = self.nodes[node].paused.saturating_sub(1);
                    if self.nodes[node].paused > 0 {
                        continue;
                    }
                    // It looks at its timers first, as it does not know yet that anything came.
                    self.turn(node);
                    for ev in std::mem::take(&mut self.nodes[node].missed) {
                        self.happens(ev);
                    }
                }
            }
            What::ActsKeep => {
                let kept = self.acts_kept.iter().position(|(of, ..)| *of == n);
                for call in kept
                    .map(|at| self.acts_kept.remove(at).2)
                    .unwrap_or_default()
                {
                    self.at(self.now, Ev::Commits { call });
                }
            }
            What::Kill | What::Stop => {}
            _ => {
                for (from, to, bytes) in self.wires.end(n) {
                    self.at(self.now + self.trip, Ev::Datagram { from, to, bytes });
                }
            }
        }
    }
}
