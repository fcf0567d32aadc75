//! Discrete-event simulation of one run: any number of sidecar instances against modelled endpoints, driven by one event
//! queue in virtual time. The same plan, seed and policy give the same history to the byte on any machine; nothing sleeps
//! and no machine is measured.

use crate::baseline::{self, FleetView, IDLE_SHARE, Policy};
use crate::experiment::{Plan, ReportMode, ScheduledChange};
use crate::ledger::{Answer, CommandId, Entry, Ledger, RelayId};
use crate::load::{ClientRequest, RequestGenerator};
use crate::model::{Admission, Endpoint, EndpointEvent, EndpointLoad, Job, JobResult};
use crate::rng::SeededRng;
use passroad_choice::interner::Interner;
use passroad_choice::{
    Action, CommandArrival, CommandIndex, EndpointState, Event, ListUpdateKind, ListedEndpoint,
    LoadReport, Outcome,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// Time of a run's start as the balancer sees it. It takes a start time of zero for one long ago, so runs begin later.
const START_OF_RUN: Duration = Duration::from_secs(1000);
const DEADLINE_MARGIN: Duration = Duration::from_millis(10); // kept free before a time limit, at most a twentieth of it, as in the sidecar
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100); // between two samples of the fleet's state
const MAX_LOG_LINES: usize = 20_000; // kept over all instances

/// What is recorded in a run, simulated or on sockets.
#[derive(Default)]
pub struct Recording {
    pub ledger: Ledger,
    pub samples: Vec<FleetSample>,
    pub log_lines: Vec<(Duration, usize, String)>, // of the balancer's log: time, instance, text
    pub connections: usize,                        // opened during the run
}

/// State of the endpoints at a time, by endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSample {
    pub time: Duration,
    pub outstanding: Vec<usize>,
    pub connections: Vec<usize>,
}

enum SimulationEvent {
    RequestDue(ClientRequest),
    /// By index in the plan.
    ApplyChange(usize),
    /// A relay reaches its endpoint, over a new or a kept connection.
    RelayArrives {
        relay: RelayId,
        new_connection: bool,
    },
    /// A response, or the end of its connection, reaches the sidecar.
    ResponseArrives {
        relay: RelayId,
        outcome: Outcome,
        load: Option<EndpointLoad>,
        keeps_connection: bool,
    },
    /// The sidecar's own timeout ends a relay.
    RelayGivenUp {
        relay: RelayId,
        outcome: Outcome,
    },
    /// The end of a relay's connection reaches its endpoint.
    CancelArrives {
        relay: RelayId,
    },
    ProbeArrives {
        probe: usize,
        new_connection: bool,
    },
    ProbeEnds {
        probe: usize,
        outcome: Outcome,
        load: Option<EndpointLoad>,
        keeps_connection: bool,
    },
    Timer {
        instance: usize,
        token: u64,
        generation: u32,
    },
    /// An endpoint's state changes by itself; stale if its version has changed since.
    EndpointWake {
        endpoint: usize,
        version: u64,
    },
    EndpointRestart {
        endpoint: usize,
    },
    /// The sidecar answers a command that is still open shortly before its time limit.
    SidecarDeadline {
        command: CommandId,
    },
    /// The time limit of a command: the client stops waiting.
    ClientDeadline {
        command: CommandId,
    },
    InstanceStart {
        instance: usize,
    },
    /// A list update reaches an instance, unless its subscription has been replaced.
    ListUpdate {
        instance: usize,
        kind: ListUpdateKind,
        endpoints: Vec<usize>,
        subscription: u64,
    },
    /// Discovery learns of an endpoint's state.
    ListedStateChange {
        endpoint: usize,
        state: EndpointState,
    },
    Sample,
}

struct Scheduled {
    time: Duration,
    sequence: u64,
    event: SimulationEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.time, self.sequence) == (other.time, other.sequence)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.time, self.sequence).cmp(&(other.time, other.sequence))
    }
}

struct Instance {
    policy: Box<dyn Policy>,
    commands: Interner<CommandId>,
    idle_connections: Vec<Vec<Duration>>, // by endpoint: since when each has been idle
    subscription: Option<u64>,            // the open subscription to discovery's list
    generation: u32, // how often the process was killed; timers of earlier processes are dropped
}

struct Command {
    request: ClientRequest,
    arrived_at: Duration,
    answered: bool,
    client_gone: bool,
    index: Option<CommandIndex>,
    relays: Vec<RelayId>,
}

struct Relay {
    command: CommandId,
    instance: usize,
    endpoint: usize,
    ordinal: usize,
    sent_at: Duration,
    ended: bool,
    work_in_transit: f64, // work on its way to the endpoint
    has_connection: bool, // whether it holds a connection
}

struct Probe {
    instance: usize,
    endpoint: usize,
    sent_at: Duration,
    reported: bool,
}

/// The true state of the endpoints, for policies that may see it.
struct Fleet {
    endpoints: Vec<Endpoint>,
    work_in_transit: Vec<f64>, // work on its way to each endpoint
    cuts: Vec<Vec<u32>>,       // by endpoint and instance: number of network cuts in force
    command_costs: Vec<Vec<(f64, usize)>>, // by instance and command index: work and class
    one_way_delay: Duration,
}

impl FleetView for Fleet {
    fn estimate_times(
        &self,
        instance: usize,
        endpoint: usize,
        command: CommandIndex,
    ) -> Option<(f64, f64)> {
        let (work, class) = self.command_costs[instance]
            .get(command)
            .copied()
            .unwrap_or_default();
        if self.cuts[endpoint].get(instance).is_some_and(|n| *n > 0) {
            return None;
        }
        let model = &self.endpoints[endpoint];
        let transit_time =
            self.work_in_transit[endpoint] / (model.spec.cores as f64 * model.spec.speed);
        let wait = model.estimate_seconds(0.0, class)? + transit_time;
        Some((
            wait,
            model.estimate_seconds(work, class)?
                + transit_time
                + 2.0 * self.one_way_delay.as_secs_f64(),
        ))
    }
}

struct Simulation<'a> {
    plan: &'a Plan,
    seed: u64,
    policy: &'a str,
    now: Duration,
    sequence: u64,
    schedule: BinaryHeap<Reverse<Scheduled>>,
    fleet: Fleet,
    wake_versions: Vec<u64>,
    started_at: Vec<Option<Duration>>,
    listed_states: Vec<EndpointState>, // as discovery lists them
    instances: Vec<Instance>,
    commands: Vec<Command>,
    relays: Vec<Relay>,
    probes: Vec<Probe>,
    pending_events: VecDeque<(usize, Event)>,
    requests: RequestGenerator,
    network_rng: SeededRng, // for the delays of list updates
    discovery_delay: Duration,
    discovery_stagger: Duration,
    discovery_down: bool,
    list_malformed: bool,
    subscriptions: u64,
    recording: Recording,
    end: Duration,
}

/// The policy of an instance. A restarted process gets a seed of its own.
fn instance_policy(
    plan: &Plan,
    seed: u64,
    policy: &str,
    instance: usize,
    generation: u32,
) -> Result<Box<dyn Policy>, String> {
    let own_seed = SeededRng::stream(
        seed,
        "instance",
        instance as u64 | u64::from(generation) << 32,
    )
    .next_u64();
    baseline::create_policy(policy, plan, instance, own_seed)
}

/// Simulates a run to its end.
pub fn simulate(plan: &Plan, seed: u64, policy: &str) -> Result<Recording, String> {
    let endpoints: Vec<Endpoint> = plan
        .endpoints
        .iter()
        .enumerate()
        .map(|(n, endpoint)| {
            Endpoint::new(
                endpoint.spec.clone(),
                SeededRng::stream(seed, "endpoint", n as u64),
            )
        })
        .collect();
    let count = endpoints.len();
    let mut instances = Vec::with_capacity(plan.instances);
    for n in 0..plan.instances {
        let policy = instance_policy(plan, seed, policy, n, 0)?;
        instances.push(Instance {
            policy,
            commands: Interner::new(),
            idle_connections: vec![Vec::new(); count],
            subscription: None,
            generation: 0,
        });
    }
    let longest_limit = plan
        .classes
        .iter()
        .map(|class| class.time_limit)
        .max()
        .unwrap_or_default();
    let mut simulation = Simulation {
        plan,
        seed,
        policy,
        now: Duration::ZERO,
        sequence: 0,
        schedule: BinaryHeap::new(),
        fleet: Fleet {
            work_in_transit: vec![0.0; count],
            cuts: vec![vec![0; plan.instances]; count],
            command_costs: vec![Vec::new(); plan.instances],
            one_way_delay: plan.round_trip / 2,
            endpoints,
        },
        wake_versions: vec![0; count],
        started_at: vec![None; count],
        listed_states: vec![EndpointState::Running; count],
        instances,
        commands: Vec::new(),
        relays: Vec::new(),
        probes: Vec::new(),
        pending_events: VecDeque::new(),
        requests: RequestGenerator::new(plan, seed),
        network_rng: SeededRng::stream(seed, "network", 0),
        discovery_delay: Duration::ZERO,
        discovery_stagger: Duration::ZERO,
        discovery_down: false,
        list_malformed: false,
        subscriptions: 0,
        recording: Recording::default(),
        end: plan.length + longest_limit + Duration::from_secs(1),
    };
    for instance in 0..plan.instances {
        simulation.schedule(Duration::ZERO, SimulationEvent::InstanceStart { instance });
    }
    for n in 0..plan.changes.len() {
        simulation.schedule(plan.changes[n].0, SimulationEvent::ApplyChange(n));
    }
    simulation.schedule(Duration::ZERO, SimulationEvent::Sample);
    if let Some((at, request)) = simulation.requests.next_request() {
        simulation.schedule(at, SimulationEvent::RequestDue(request));
    }
    while let Some(Reverse(next)) = simulation.schedule.pop() {
        if next.time > simulation.end {
            break;
        }
        simulation.now = next.time;
        simulation.handle(next.event);
        simulation.run_policies();
    }
    Ok(simulation.recording)
}

impl Simulation<'_> {
    /// Adds an event to the queue. Events of the same time are handled in the order in which they were added.
    fn schedule(&mut self, time: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.schedule.push(Reverse(Scheduled {
            time: time.max(self.now),
            sequence: self.sequence,
            event,
        }));
    }

    fn record(&mut self, entry: Entry) {
        self.recording.ledger.record(self.now, entry);
    }

    fn notify(&mut self, instance: usize, event: Event) {
        self.pending_events.push_back((instance, event));
    }

    fn is_cut(&self, instance: usize, endpoint: usize) -> bool {
        self.fleet.cuts[endpoint][instance] > 0
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::RequestDue(request) => {
                if request.is_first_try()
                    && let Some((at, next)) = self.requests.next_request()
                {
                    self.schedule(at, SimulationEvent::RequestDue(next));
                }
                self.admit_request(request);
            }
            SimulationEvent::ApplyChange(n) => self.apply_change(self.plan.changes[n].1.clone()),
            SimulationEvent::RelayArrives {
                relay,
                new_connection,
            } => self.relay_arrives(relay, new_connection),
            SimulationEvent::ResponseArrives {
                relay,
                outcome,
                load,
                keeps_connection,
            } => {
                let (instance, endpoint) =
                    (self.relays[relay].instance, self.relays[relay].endpoint);
                if !self.is_cut(instance, endpoint) {
                    self.end_relay(relay, outcome, load, keeps_connection);
                }
            }
            SimulationEvent::RelayGivenUp { relay, outcome } => {
                self.end_relay(relay, outcome, None, false)
            }
            SimulationEvent::CancelArrives { relay } => {
                let endpoint = self.relays[relay].endpoint;
                self.advance(endpoint);
                self.fleet.endpoints[endpoint].cancel(relay as u64);
                self.collect_events(endpoint);
            }
            SimulationEvent::ProbeArrives {
                probe,
                new_connection,
            } => self.probe_arrives(probe, new_connection),
            SimulationEvent::ProbeEnds {
                probe,
                outcome,
                load,
                keeps_connection,
            } => self.end_probe(probe, outcome, load, keeps_connection),
            SimulationEvent::Timer {
                instance,
                token,
                generation,
            } if self.instances[instance].generation == generation => {
                self.notify(instance, Event::TimerFired { token });
            }
            SimulationEvent::Timer { .. } => {}
            SimulationEvent::EndpointWake { endpoint, version } => {
                if self.wake_versions[endpoint] == version {
                    self.advance(endpoint);
                    self.collect_events(endpoint);
                }
            }
            SimulationEvent::EndpointRestart { endpoint } => self.start_endpoint(endpoint),
            SimulationEvent::SidecarDeadline { command } => {
                if !self.commands[command].answered && !self.commands[command].client_gone {
                    self.answer(command, Answer::Failed, None);
                    if let Some(index) = self.commands[command].index {
                        self.notify(
                            self.commands[command].request.instance,
                            Event::CommandAbandoned { command: index },
                        );
                    }
                }
            }
            SimulationEvent::ClientDeadline { command } => {
                // The time limit has passed: a client without an answer gives up.
                let open = !self.commands[command].answered
                    && !std::mem::replace(&mut self.commands[command].client_gone, true);
                if open && let Some(index) = self.commands[command].index {
                    self.notify(
                        self.commands[command].request.instance,
                        Event::CommandAbandoned { command: index },
                    );
                }
            }
            SimulationEvent::InstanceStart { instance } => {
                // A stored list doesn't say when the endpoints started.
                let cached = |endpoint| ListedEndpoint {
                    started_at: Duration::ZERO,
                    ..self.list_entry(endpoint)
                };
                let entries: Vec<ListedEndpoint> =
                    (0..self.listed_states.len()).map(cached).collect();
                // A restarted process doesn't know which drains its predecessor was notified of.
                let restarted = self.instances[instance].generation > 0;
                for entry in entries
                    .iter()
                    .filter(|entry| restarted && entry.state == EndpointState::Running)
                {
                    self.record(Entry::ListedUp {
                        instance,
                        endpoint: entry.endpoint,
                    });
                }
                self.notify(
                    instance,
                    Event::ListUpdated {
                        kind: ListUpdateKind::Cached,
                        entries,
                    },
                );
            }
            SimulationEvent::ListUpdate {
                instance,
                kind,
                endpoints,
                subscription,
            } => self.deliver_list(instance, kind, &endpoints, subscription),
            SimulationEvent::ListedStateChange { endpoint, state } => {
                self.change_listed_state(endpoint, state)
            }
            SimulationEvent::Sample => {
                let outstanding = self
                    .fleet
                    .endpoints
                    .iter()
                    .map(Endpoint::outstanding)
                    .collect();
                let connections = self
                    .fleet
                    .endpoints
                    .iter()
                    .map(Endpoint::connections)
                    .collect();
                self.recording.samples.push(FleetSample {
                    time: self.now,
                    outstanding,
                    connections,
                });
                if self.now + SAMPLE_INTERVAL <= self.plan.length {
                    self.schedule(self.now + SAMPLE_INTERVAL, SimulationEvent::Sample);
                }
            }
        }
    }

    /// Passes pending events to the instances' policies and executes their actions until no event is left.
    fn run_policies(&mut self) {
        while let Some((instance, event)) = self.pending_events.pop_front() {
            let now = START_OF_RUN + self.now;
            let actions = self.instances[instance]
                .policy
                .decide(now, event, &self.fleet);
            for action in actions {
                self.execute(instance, action);
            }
        }
    }

    fn execute(&mut self, instance: usize, action: Action) {
        let command_id = |simulation: &Self, index: CommandIndex| {
            simulation.instances[instance].commands.name(index).copied()
        };
        match action {
            Action::Relay {
                command,
                endpoint,
                timeout,
                ..
            } => {
                if let Some(command) = command_id(self, command) {
                    self.send_relay(instance, command, endpoint, timeout);
                }
            }
            Action::CancelRelay { command, relay } => {
                let relay = command_id(self, command)
                    .and_then(|command| self.commands[command].relays.get(relay).copied());
                if let Some(relay) = relay {
                    self.end_relay(relay, Outcome::Cancelled, None, false);
                }
            }
            Action::Refuse {
                command,
                retry_after,
            } => {
                if let Some(command) = command_id(self, command) {
                    self.answer(command, Answer::Refused, retry_after);
                }
            }
            Action::Fail { command } => {
                if let Some(command) = command_id(self, command) {
                    self.answer(command, Answer::Failed, None);
                }
            }
            Action::ReleaseCommand { command: index } => {
                if let Some(command) = command_id(self, index) {
                    self.commands[command].index = None;
                }
                self.instances[instance].commands.release(index);
            }
            Action::Probe { endpoint } => self.send_probe(instance, endpoint),
            Action::Disconnect { endpoint } => {
                let idle = std::mem::take(&mut self.instances[instance].idle_connections[endpoint]);
                idle.iter()
                    .for_each(|_| self.fleet.endpoints[endpoint].disconnect());
            }
            Action::Subscribe { active } => self.subscribe(instance, active),
            Action::PollList => self.subscribe(instance, true),
            Action::SetTimer { after, token } => {
                let generation = self.instances[instance].generation;
                self.schedule(
                    self.now + after,
                    SimulationEvent::Timer {
                        instance,
                        token,
                        generation,
                    },
                );
            }
            Action::Log(line) if self.recording.log_lines.len() < MAX_LOG_LINES => {
                self.recording.log_lines.push((self.now, instance, line));
            }
            Action::Log(_)
            | Action::ReleaseEndpoint { .. }
            | Action::SendToPeer { .. }
            | Action::ClassIndicesAssigned { .. } => {}
        }
    }

    // ---- commands ----

    fn admit_request(&mut self, request: ClientRequest) {
        let command = self.commands.len();
        let class = &self.plan.classes[request.class];
        let (limit, margin) = (class.time_limit, DEADLINE_MARGIN.min(class.time_limit / 20));
        let instance = request.instance;
        let chain = request.chain.unwrap_or(command);
        self.record(Entry::CommandArrived {
            command,
            chain,
            class: request.class,
            instance,
            time_limit: limit,
        });
        let index = self.instances[instance].commands.intern(&command);
        let costs = &mut self.fleet.command_costs[instance];
        costs.resize(costs.len().max(index + 1), (0.0, 0));
        costs[index] = (request.work, request.class);
        let arrival = CommandArrival {
            command: index,
            class: request.class,
            tenant: request.tenant,
            key: None,
            budget: limit - margin,
            work: None,
            is_retry: request.is_retry && self.plan.retries_marked,
            is_write: false,
            weight_set: 0,
            body_pending: false,
        };
        self.schedule(
            self.now + limit - margin / 2,
            SimulationEvent::SidecarDeadline { command },
        );
        self.schedule(
            self.now + limit,
            SimulationEvent::ClientDeadline { command },
        );
        let request = ClientRequest {
            chain: Some(chain),
            ..request
        };
        let state = Command {
            request,
            arrived_at: self.now,
            answered: false,
            client_gone: false,
            index: Some(index),
            relays: Vec::new(),
        };
        self.commands.push(state);
        self.notify(instance, Event::CommandArrived(arrival));
    }

    fn answer(&mut self, command: CommandId, answer: Answer, retry_after: Option<Duration>) {
        if self.commands[command].client_gone {
            return;
        }
        self.record(Entry::Answered { command, answer });
        let may_retry = !std::mem::replace(&mut self.commands[command].answered, true)
            && answer == Answer::Refused;
        if may_retry && self.now < self.plan.length {
            let request = self.commands[command].request.clone();
            if let Some((after, request)) = self.requests.retry(&request, retry_after) {
                self.schedule(self.now + after, SimulationEvent::RequestDue(request));
            }
        }
    }

    // ---- relays ----

    /// Takes the idle connection to an endpoint that was used last, if there is one. Connections that were idle for too
    /// long are closed.
    fn take_idle_connection(&mut self, instance: usize, endpoint: usize) -> bool {
        let max_idle = self.plan.idle_close.mul_f64(IDLE_SHARE);
        let idle = &mut self.instances[instance].idle_connections[endpoint];
        let before = idle.len();
        idle.retain(|since| *since + max_idle > self.now);
        let closed = before - idle.len();
        let found = idle.pop().is_some();
        (0..closed).for_each(|_| self.fleet.endpoints[endpoint].disconnect());
        found
    }

    fn send_relay(
        &mut self,
        instance: usize,
        command: CommandId,
        endpoint: usize,
        timeout: Duration,
    ) {
        let relay = self.relays.len();
        let state = &mut self.commands[command];
        let class = &self.plan.classes[state.request.class];
        let deadline =
            state.arrived_at + class.time_limit - DEADLINE_MARGIN.min(class.time_limit / 20) / 2;
        let timeout = timeout.min(deadline.saturating_sub(self.now));
        let ordinal = state.relays.len();
        state.relays.push(relay);
        let work = state.request.work;
        self.relays.push(Relay {
            command,
            instance,
            endpoint,
            ordinal,
            sent_at: self.now,
            ended: false,
            work_in_transit: work,
            has_connection: false,
        });
        self.record(Entry::RelaySent {
            relay,
            command,
            endpoint,
        });
        self.fleet.work_in_transit[endpoint] += work;
        self.schedule(
            self.now + timeout,
            SimulationEvent::RelayGivenUp {
                relay,
                outcome: Outcome::TimedOut,
            },
        );
        let one_way = self.plan.one_way_delay(instance, endpoint);
        if self.take_idle_connection(instance, endpoint) {
            self.relays[relay].has_connection = true;
            self.schedule(
                self.now + one_way,
                SimulationEvent::RelayArrives {
                    relay,
                    new_connection: false,
                },
            );
        } else if self.is_cut(instance, endpoint) {
            // No packet passes the cut: the connection attempt times out.
            self.schedule(
                self.now + self.plan.connect_timeout / 4,
                SimulationEvent::RelayGivenUp {
                    relay,
                    outcome: Outcome::ConnectFailed,
                },
            );
        } else {
            self.schedule(
                self.now + 3 * one_way,
                SimulationEvent::RelayArrives {
                    relay,
                    new_connection: true,
                },
            );
        }
    }

    /// The relay is no longer on its way to the endpoint.
    fn leave_transit(&mut self, relay: RelayId) {
        let state = &mut self.relays[relay];
        let work = std::mem::take(&mut state.work_in_transit);
        let work_in_transit = &mut self.fleet.work_in_transit[state.endpoint];
        *work_in_transit = (*work_in_transit - work).max(0.0);
    }

    fn relay_arrives(&mut self, relay: RelayId, new_connection: bool) {
        self.leave_transit(relay);
        let (instance, endpoint) = (self.relays[relay].instance, self.relays[relay].endpoint);
        if self.relays[relay].ended {
            return;
        }
        let response = |outcome, keeps_connection| SimulationEvent::ResponseArrives {
            relay,
            outcome,
            load: None,
            keeps_connection,
        };
        let response_at = self.now + self.plan.one_way_delay(instance, endpoint);
        if self.is_cut(instance, endpoint) {
            if new_connection {
                let outcome = Outcome::ConnectFailed;
                self.schedule(
                    self.now + self.plan.connect_timeout / 4,
                    SimulationEvent::RelayGivenUp { relay, outcome },
                );
            }
            return;
        }
        if !self.fleet.endpoints[endpoint].is_up() {
            // On a connection that breaks after the write, the sidecar can't know whether the relay ran.
            let outcome = if new_connection {
                Outcome::ConnectFailed
            } else {
                Outcome::ConnectionLost
            };
            return self.schedule(response_at, response(outcome, false));
        }
        if new_connection {
            if !self.fleet.endpoints[endpoint].connect() {
                return self.schedule(response_at, response(Outcome::Overloaded, false));
            }
            self.recording.connections += 1;
            self.relays[relay].has_connection = true;
        }
        self.advance(endpoint);
        let request = &self.commands[self.relays[relay].command].request;
        let model = &mut self.fleet.endpoints[endpoint];
        let work = request.work
            + if new_connection {
                model.spec.connection_work
            } else {
                0.0
            };
        match model.offer(Job {
            id: relay as u64,
            class: request.class,
            work,
        }) {
            Admission::Accepted => {}
            Admission::Rejected => {
                let load = Some(model.load_report());
                self.schedule(
                    response_at,
                    SimulationEvent::ResponseArrives {
                        relay,
                        outcome: Outcome::Overloaded,
                        load,
                        keeps_connection: true,
                    },
                );
            }
            Admission::Down => self.schedule(response_at, response(Outcome::ConnectionLost, false)),
        }
        self.collect_events(endpoint);
    }

    /// Ends a relay at its sidecar, once.
    fn end_relay(
        &mut self,
        relay: RelayId,
        outcome: Outcome,
        load: Option<EndpointLoad>,
        keeps_connection: bool,
    ) {
        if std::mem::replace(&mut self.relays[relay].ended, true) {
            return;
        }
        self.leave_transit(relay);
        let state = &self.relays[relay];
        let (command, instance, endpoint, ordinal) =
            (state.command, state.instance, state.endpoint, state.ordinal);
        let (elapsed, has_connection) = (self.now - state.sent_at, state.has_connection);
        self.record(Entry::RelayEnded {
            relay,
            never_ran: outcome.never_ran(),
        });
        if has_connection && keeps_connection {
            self.instances[instance].idle_connections[endpoint].push(self.now);
        } else if has_connection {
            self.fleet.endpoints[endpoint].disconnect();
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled)
            && !self.is_cut(instance, endpoint)
        {
            let one_way = self.plan.one_way_delay(instance, endpoint);
            self.schedule(self.now + one_way, SimulationEvent::CancelArrives { relay });
        }
        let open = !self.commands[command].answered && !self.commands[command].client_gone;
        if open && outcome == Outcome::Answered {
            self.answer(command, Answer::Answered, None);
        }
        let Some(index) = self.commands[command].index else {
            return;
        };
        let concluded = self.commands[command].answered || self.commands[command].client_gone;
        let report = load
            .filter(|_| self.plan.report_mode() == ReportMode::Piggyback)
            .map(to_report);
        self.notify(
            instance,
            Event::RelayFinished {
                command: index,
                relay: ordinal,
                outcome,
                elapsed,
                concluded,
                report,
            },
        );
    }

    // ---- endpoints ----

    fn advance(&mut self, endpoint: usize) {
        self.fleet.endpoints[endpoint].advance(self.now);
    }

    /// Handles what has happened at an endpoint, and schedules its next change.
    fn collect_events(&mut self, endpoint: usize) {
        let mut crashed = false;
        for event in self.fleet.endpoints[endpoint].take_events() {
            match event {
                EndpointEvent::Started(job) => self.record(Entry::JobStarted {
                    relay: job as RelayId,
                }),
                EndpointEvent::Finished(job, result) => {
                    let relay = job as RelayId;
                    let instance = self.relays[relay].instance;
                    let (outcome, keeps_connection) = match result {
                        JobResult::Completed => (Outcome::Answered, true),
                        JobResult::Error => (Outcome::Error, true),
                        JobResult::Malformed => (Outcome::Error, false),
                        JobResult::Reset => (Outcome::ConnectionLost, false),
                    };
                    if !self.is_cut(instance, endpoint) {
                        let load = Some(self.fleet.endpoints[endpoint].load_report());
                        let response_at = self.now + self.plan.one_way_delay(instance, endpoint);
                        self.schedule(
                            response_at,
                            SimulationEvent::ResponseArrives {
                                relay,
                                outcome,
                                load,
                                keeps_connection,
                            },
                        );
                    }
                }
                EndpointEvent::Crashed => crashed = true,
            }
        }
        if crashed {
            self.crash(endpoint);
            self.schedule(
                self.now + self.plan.restart_after,
                SimulationEvent::EndpointRestart { endpoint },
            );
        }
        self.wake_versions[endpoint] += 1;
        if let Some(at) = self.fleet.endpoints[endpoint].next_event_at() {
            self.schedule(
                at,
                SimulationEvent::EndpointWake {
                    endpoint,
                    version: self.wake_versions[endpoint],
                },
            );
        }
    }

    fn crash(&mut self, endpoint: usize) {
        self.advance(endpoint);
        let lost_jobs = self.fleet.endpoints[endpoint].crash();
        self.instances
            .iter_mut()
            .for_each(|instance| instance.idle_connections[endpoint].clear());
        for job in lost_jobs {
            let relay = job as RelayId;
            self.relays[relay].has_connection = false;
            let response_at = self.now
                + self
                    .plan
                    .one_way_delay(self.relays[relay].instance, endpoint);
            self.schedule(
                response_at,
                SimulationEvent::ResponseArrives {
                    relay,
                    outcome: Outcome::ConnectionLost,
                    load: None,
                    keeps_connection: false,
                },
            );
        }
        self.wake_versions[endpoint] += 1;
        self.schedule(
            self.now + self.plan.crash_listed_after,
            SimulationEvent::ListedStateChange {
                endpoint,
                state: EndpointState::Removed,
            },
        );
    }

    fn start_endpoint(&mut self, endpoint: usize) {
        if self.fleet.endpoints[endpoint].is_up() {
            return;
        }
        self.fleet.endpoints[endpoint].start(self.now);
        self.started_at[endpoint] = Some(self.now);
        if !self.plan.endpoints[endpoint].spec.warm_up_time.is_zero() {
            self.record(Entry::EndpointStarted { endpoint });
        }
        self.schedule(
            self.now + SAMPLE_INTERVAL / 2,
            SimulationEvent::ListedStateChange {
                endpoint,
                state: EndpointState::Running,
            },
        );
    }

    fn apply_change(&mut self, change: ScheduledChange) {
        match change {
            ScheduledChange::EndpointFault(endpoint, change) => {
                self.advance(endpoint);
                self.fleet.endpoints[endpoint].apply_fault(&change);
                self.collect_events(endpoint);
            }
            ScheduledChange::NetworkCut {
                endpoint,
                instances,
                on,
            } => {
                for (n, _) in instances
                    .iter()
                    .enumerate()
                    .filter(|(_, affected)| **affected)
                {
                    let cuts = &mut self.fleet.cuts[endpoint][n];
                    *cuts = if on {
                        *cuts + 1
                    } else {
                        cuts.saturating_sub(1)
                    };
                }
            }
            ScheduledChange::Crash(endpoint) => self.crash(endpoint),
            ScheduledChange::Start(endpoint) => self.start_endpoint(endpoint),
            ScheduledChange::Drain(endpoint) => {
                self.fleet.endpoints[endpoint].drain();
                self.change_listed_state(endpoint, EndpointState::Draining);
            }
            ScheduledChange::Cordon(endpoint, cordoned) => {
                for instance in 0..self.instances.len() {
                    self.notify(instance, Event::CordonChanged { endpoint, cordoned });
                    self.record(Entry::Cordoned {
                        instance,
                        endpoint,
                        cordoned,
                    });
                }
            }
            ScheduledChange::Leave(endpoint) => {
                self.crash(endpoint);
                self.change_listed_state(endpoint, EndpointState::Removed);
            }
            ScheduledChange::DiscoveryDelay(delay) => self.discovery_delay = delay,
            ScheduledChange::DiscoveryStagger(spread) => self.discovery_stagger = spread,
            ScheduledChange::DiscoveryMalformed(on) => self.list_malformed = on,
            ScheduledChange::DiscoveryDown(on) => {
                self.discovery_down = on;
                for instance in 0..self.instances.len() {
                    if on && let Some(subscription) = self.instances[instance].subscription {
                        let at =
                            self.now + SAMPLE_INTERVAL.mul_f64(self.network_rng.uniform() / 2.0);
                        self.schedule(
                            at,
                            SimulationEvent::ListUpdate {
                                instance,
                                kind: ListUpdateKind::Failed,
                                endpoints: Vec::new(),
                                subscription,
                            },
                        );
                    }
                }
            }
            ScheduledChange::SidecarKill(instance) => self.kill_sidecar(instance),
            // Faults of processes: a file with one requires sockets, so no simulated run has them.
            ScheduledChange::SidecarStop(_)
            | ScheduledChange::SidecarReload(_)
            | ScheduledChange::SidecarUpgrade(_)
            | ScheduledChange::SidecarReconfigure(..) => {}
        }
    }

    /// Kills an instance's process and starts another at once: its commands and its learned state are lost.
    fn kill_sidecar(&mut self, instance: usize) {
        self.record(Entry::SidecarKilled { instance });
        for command in self
            .commands
            .iter_mut()
            .filter(|command| command.request.instance == instance)
        {
            (command.client_gone, command.index) = (command.client_gone || !command.answered, None);
        }
        for relay in (0..self.relays.len())
            .filter(|relay| self.relays[*relay].instance == instance)
            .collect::<Vec<_>>()
        {
            // The operating system closes its connections, which the endpoints notice.
            self.end_relay(relay, Outcome::TimedOut, None, false);
        }
        self.probes
            .iter_mut()
            .filter(|probe| probe.instance == instance)
            .for_each(|probe| probe.reported = true);
        for endpoint in 0..self.listed_states.len() {
            let idle = std::mem::take(&mut self.instances[instance].idle_connections[endpoint]);
            idle.iter()
                .for_each(|_| self.fleet.endpoints[endpoint].disconnect());
        }
        let generation = self.instances[instance].generation + 1;
        let Ok(policy) = instance_policy(self.plan, self.seed, self.policy, instance, generation)
        else {
            return;
        };
        self.instances[instance].policy = policy;
        (
            self.instances[instance].commands,
            self.instances[instance].subscription,
        ) = (Interner::new(), None);
        self.instances[instance].generation = generation;
        self.schedule(self.now, SimulationEvent::InstanceStart { instance });
    }

    // ---- discovery ----

    fn list_entry(&self, endpoint: usize) -> ListedEndpoint {
        let plan = &self.plan.endpoints[endpoint];
        ListedEndpoint {
            endpoint,
            id_hash: endpoint as u64,
            zone: plan.zone,
            cell: plan.cell,
            kind: plan.kind,
            weight: plan.weight,
            started_at: self.started_at[endpoint].map_or(Duration::ZERO, |at| START_OF_RUN + at),
            state: self.listed_states[endpoint],
        }
    }

    fn change_listed_state(&mut self, endpoint: usize, state: EndpointState) {
        // An endpoint that is up again by now, or has left already, isn't listed as removed.
        let up = self.fleet.endpoints[endpoint].is_up();
        if (state == EndpointState::Removed) == up || self.listed_states[endpoint] == state {
            return;
        }
        self.listed_states[endpoint] = state;
        for instance in 0..self.instances.len() {
            if let Some(subscription) = self.instances[instance].subscription {
                let at = self.now + self.discovery_latency(instance);
                self.schedule(
                    at,
                    SimulationEvent::ListUpdate {
                        instance,
                        kind: ListUpdateKind::Delta,
                        endpoints: vec![endpoint],
                        subscription,
                    },
                );
            }
        }
    }

    /// How long a list update takes from discovery to an instance.
    fn discovery_latency(&mut self, instance: usize) -> Duration {
        let stagger = self
            .discovery_stagger
            .mul_f64(instance as f64 / self.instances.len() as f64);
        self.discovery_delay
            + stagger
            + self.plan.round_trip
            + SAMPLE_INTERVAL.mul_f64(self.network_rng.uniform() / 5.0)
    }

    fn subscribe(&mut self, instance: usize, active: bool) {
        self.subscriptions += 1;
        let subscription = self.subscriptions;
        self.instances[instance].subscription = active.then_some(subscription);
        if active {
            let kind = if self.discovery_down {
                ListUpdateKind::Failed
            } else {
                ListUpdateKind::Full
            };
            let at = self.now + self.discovery_latency(instance);
            self.schedule(
                at,
                SimulationEvent::ListUpdate {
                    instance,
                    kind,
                    endpoints: Vec::new(),
                    subscription,
                },
            );
        }
    }

    /// Delivers a list update to an instance. Its content is the state at delivery, so that no older state follows a newer
    /// one.
    fn deliver_list(
        &mut self,
        instance: usize,
        kind: ListUpdateKind,
        endpoints: &[usize],
        subscription: u64,
    ) {
        if self.instances[instance].subscription != Some(subscription) {
            return;
        }
        if kind == ListUpdateKind::Failed || self.list_malformed {
            self.instances[instance].subscription = None;
            return self.notify(
                instance,
                Event::ListUpdated {
                    kind: ListUpdateKind::Failed,
                    entries: Vec::new(),
                },
            );
        }
        let is_full = kind == ListUpdateKind::Full;
        let endpoints: Vec<usize> = if is_full {
            (0..self.listed_states.len()).collect()
        } else {
            endpoints.to_vec()
        };
        let mut entries = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let state = self.listed_states[endpoint];
            self.record(match state {
                EndpointState::Running => Entry::ListedUp { instance, endpoint },
                EndpointState::Draining | EndpointState::Removed => {
                    Entry::ListedAway { instance, endpoint }
                }
            });
            if !is_full || state != EndpointState::Removed {
                entries.push(self.list_entry(endpoint));
            }
        }
        self.notify(instance, Event::ListUpdated { kind, entries });
    }

    // ---- probes ----

    fn send_probe(&mut self, instance: usize, endpoint: usize) {
        let probe = self.probes.len();
        self.probes.push(Probe {
            instance,
            endpoint,
            sent_at: self.now,
            reported: false,
        });
        self.record(Entry::ProbeSent { endpoint });
        let one_way = self.plan.one_way_delay(instance, endpoint);
        if self.take_idle_connection(instance, endpoint) {
            self.schedule(
                self.now + one_way,
                SimulationEvent::ProbeArrives {
                    probe,
                    new_connection: false,
                },
            );
        } else if !self.is_cut(instance, endpoint) {
            self.schedule(
                self.now + 3 * one_way,
                SimulationEvent::ProbeArrives {
                    probe,
                    new_connection: true,
                },
            );
        }
        let outcome = Outcome::TimedOut;
        self.schedule(
            self.now + self.plan.connect_timeout / 5,
            SimulationEvent::ProbeEnds {
                probe,
                outcome,
                load: None,
                keeps_connection: false,
            },
        );
    }

    fn probe_arrives(&mut self, probe: usize, new_connection: bool) {
        let (instance, endpoint) = (self.probes[probe].instance, self.probes[probe].endpoint);
        let response_at = self.now + self.plan.one_way_delay(instance, endpoint);
        let response = |outcome, load, keeps_connection| SimulationEvent::ProbeEnds {
            probe,
            outcome,
            load,
            keeps_connection,
        };
        self.advance(endpoint);
        let model = &mut self.fleet.endpoints[endpoint];
        if self.fleet.cuts[endpoint][instance] > 0 || model.faults.stalled {
            // No response comes; the connection is closed.
            if !new_connection {
                model.disconnect();
            }
            return;
        }
        if !model.is_up() {
            return self.schedule(response_at, response(Outcome::ConnectFailed, None, false));
        }
        if new_connection && !model.connect() {
            return self.schedule(response_at, response(Outcome::Overloaded, None, false));
        }
        self.recording.connections += usize::from(new_connection);
        let load = Some(model.load_report());
        self.schedule(response_at, response(Outcome::Answered, load, true));
    }

    fn end_probe(
        &mut self,
        probe: usize,
        outcome: Outcome,
        load: Option<EndpointLoad>,
        keeps_connection: bool,
    ) {
        let Probe {
            instance,
            endpoint,
            sent_at,
            ..
        } = self.probes[probe];
        if keeps_connection {
            // A response after the probe's timeout still returns its connection.
            if self.is_cut(instance, endpoint) || !self.fleet.endpoints[endpoint].is_up() {
                return;
            }
            self.instances[instance].idle_connections[endpoint].push(self.now);
        }
        if std::mem::replace(&mut self.probes[probe].reported, true) {
            return;
        }
        let report = load
            .filter(|_| self.plan.report_mode() != ReportMode::Silent)
            .map(to_report);
        self.notify(
            instance,
            Event::ProbeFinished {
                endpoint,
                outcome,
                elapsed: self.now - sent_at,
                report,
            },
        );
    }
}

/// An endpoint's load as the balancer receives it.
fn to_report(load: EndpointLoad) -> LoadReport {
    LoadReport {
        outstanding: Some(load.outstanding as f64),
        backlog: Some(load.queued as f64),
        utilization: Some(load.utilization),
        ..LoadReport::default()
    }
}

#[cfg(test)]
mod tests;
