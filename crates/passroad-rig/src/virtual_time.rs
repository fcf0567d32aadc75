//! A day in simulated time: any number of instances against the model, driven by one queue of events. Same plan, same
//! seed, same policy: the same history to the byte, on any machine. Nothing waits here and nothing is measured.

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

/// The module takes a start at zero for long ago; days begin later than that.
const EPOCH: Duration = Duration::from_secs(1000);
const MARGIN: Duration = Duration::from_millis(10); // of a time limit, at most a twentieth, as the sidecar has it
const LOOK: Duration = Duration::from_millis(100); // how often the fleet's state is noted
const MOST_LINES: usize = 20_000; // of an instance's log, that are kept

/// What a day came to.
#[derive(Default)]
pub struct Recording {
    pub ledger: Ledger,
    pub samples: Vec<FleetSample>,
    pub log_lines: Vec<(Duration, usize, String)>, // of the module's log: when, which instance, what
    pub connections: usize,                        // opened
}

/// The fleet at a time, endpoint by endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSample {
    pub time: Duration,
    pub outstanding: Vec<usize>,
    pub connections: Vec<usize>,
}

enum Ev {
    RequestDue(ClientRequest),
    ScheduledChange(usize),
    Reach {
        relay: RelayId,
        new: bool,
    },
    Back {
        relay: RelayId,
        outcome: Outcome,
        load: Option<EndpointLoad>,
        keeps: bool,
    },
    GiveUp {
        relay: RelayId,
        outcome: Outcome,
    },
    Recalled {
        relay: RelayId,
    },
    ProbeReach {
        probe: usize,
        new: bool,
    },
    ProbeBack {
        probe: usize,
        outcome: Outcome,
        load: Option<EndpointLoad>,
        keeps: bool,
    },
    Due {
        instance: usize,
        token: u64,
        life: u32,
    },
    Wake {
        endpoint: usize,
        version: u64,
    },
    Restart {
        endpoint: usize,
    },
    Guard {
        cmd: CommandId,
    },
    Away {
        cmd: CommandId,
    },
    Start {
        instance: usize,
    },
    Listed {
        instance: usize,
        kind: ListUpdateKind,
        of: Vec<usize>,
        watch: u64,
    },
    ListChange {
        endpoint: usize,
        mode: EndpointState,
    },
    FleetSample,
}

struct Later {
    at: Duration,
    turn: u64,
    ev: Ev,
}

impl PartialEq for Later {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.turn) == (other.at, other.turn)
    }
}
impl Eq for Later {}
impl PartialOrd for Later {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Later {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.turn).cmp(&(other.at, other.turn))
    }
}

struct Instance {
    policy: Box<dyn Policy>,
    commands: Interner<CommandId>,
    idle: Vec<Vec<Duration>>, // connections, by endpoint, since when
    watch: Option<u64>,       // which one is open
    life: u32,                // how often the process was killed
}

struct Command {
    ask: ClientRequest,
    sent: Duration,
    answered: bool,
    gone: bool,
    slot: Option<CommandIndex>,
    relays: Vec<RelayId>,
}

struct Relay {
    cmd: CommandId,
    instance: usize,
    endpoint: usize,
    n: usize,
    sent: Duration,
    ended: bool,
    heading: f64, // work that has not arrived yet
    linked: bool, // a connection is held for it
}

struct Probe {
    instance: usize,
    endpoint: usize,
    sent: Duration,
    told: bool,
}

/// The true state, for whoever may see it.
struct Fleet {
    endpoints: Vec<Endpoint>,
    heading: Vec<f64>,            // work on its way to each
    cuts: Vec<Vec<u32>>,          // by endpoint and instance, how many cuts are on
    work: Vec<Vec<(f64, usize)>>, // by instance and slot, what the command costs and its verb
    half_way: Duration,
}

impl FleetView for Fleet {
    fn would_take(
        &self,
        instance: usize,
        endpoint: usize,
        cmd: CommandIndex,
    ) -> Option<(f64, f64)> {
        let (work, verb) = self.work[instance].get(cmd).copied().unwrap_or_default();
        if self.cuts[endpoint].get(instance).is_some_and(|n| *n > 0) {
            return None;
        }
        let e = &self.endpoints[endpoint];
        let ahead = self.heading[endpoint] / (e.spec.cores as f64 * e.spec.speed);
        let wait = e.estimate_seconds(0.0, verb)? + ahead;
        Some((
            wait,
            e.estimate_seconds(work, verb)? + ahead + 2.0 * self.half_way.as_secs_f64(),
        ))
    }
}

struct Day<'a> {
    plan: &'a Plan,
    seed: u64,
    policy: &'a str,
    now: Duration,
    turn: u64,
    queue: BinaryHeap<Reverse<Later>>,
    fleet: Fleet,
    versions: Vec<u64>,
    started: Vec<Option<Duration>>,
    modes: Vec<EndpointState>, // as the list has them
    instances: Vec<Instance>,
    commands: Vec<Command>,
    relays: Vec<Relay>,
    probes: Vec<Probe>,
    pending: VecDeque<(usize, Event)>,
    asks: RequestGenerator,
    chance: SeededRng, // of the network and the list
    discovery_by: Duration,
    discovery_turns: Duration,
    discovery_down: bool,
    malformed: bool,
    watches: u64,
    played: Recording,
    end: Duration,
}

/// Who decides at an instance; another process of it draws anew.
fn decider(
    plan: &Plan,
    seed: u64,
    policy: &str,
    instance: usize,
    life: u32,
) -> Result<Box<dyn Policy>, String> {
    let own =
        SeededRng::stream(seed, "instance", instance as u64 | u64::from(life) << 32).next_u64();
    baseline::policy(policy, plan, instance, own)
}

/// Plays a day to its end.
pub fn simulate(plan: &Plan, seed: u64, policy: &str) -> Result<Recording, String> {
    let endpoints: Vec<Endpoint> = plan
        .endpoints
        .iter()
        .enumerate()
        .map(|(n, e)| {
            Endpoint::new(
                e.spec.clone(),
                SeededRng::stream(seed, "endpoint", n as u64),
            )
        })
        .collect();
    let count = endpoints.len();
    let mut instances = Vec::with_capacity(plan.instances);
    for n in 0..plan.instances {
        let policy = decider(plan, seed, policy, n, 0)?;
        instances.push(Instance {
            policy,
            commands: Interner::new(),
            idle: vec![Vec::new(); count],
            watch: None,
            life: 0,
        });
    }
    let longest = plan
        .classes
        .iter()
        .map(|v| v.time_limit)
        .max()
        .unwrap_or_default();
    let mut day = Day {
        plan,
        seed,
        policy,
        now: Duration::ZERO,
        turn: 0,
        queue: BinaryHeap::new(),
        fleet: Fleet {
            heading: vec![0.0; count],
            cuts: vec![vec![0; plan.instances]; count],
            work: vec![Vec::new(); plan.instances],
            half_way: plan.round_trip / 2,
            endpoints,
        },
        versions: vec![0; count],
        started: vec![None; count],
        modes: vec![EndpointState::Running; count],
        instances,
        commands: Vec::new(),
        relays: Vec::new(),
        probes: Vec::new(),
        pending: VecDeque::new(),
        asks: RequestGenerator::new(plan, seed),
        chance: SeededRng::stream(seed, "network", 0),
        discovery_by: Duration::ZERO,
        discovery_turns: Duration::ZERO,
        discovery_down: false,
        malformed: false,
        watches: 0,
        played: Recording::default(),
        end: plan.length + longest + Duration::from_secs(1),
    };
    for instance in 0..plan.instances {
        day.at(Duration::ZERO, Ev::Start { instance });
    }
    for n in 0..plan.changes.len() {
        day.at(plan.changes[n].0, Ev::ScheduledChange(n));
    }
    day.at(Duration::ZERO, Ev::FleetSample);
    if let Some((at, ask)) = day.asks.next_request() {
        day.at(at, Ev::RequestDue(ask));
    }
    while let Some(Reverse(later)) = day.queue.pop() {
        if later.at > day.end {
            break;
        }
        day.now = later.at;
        day.happen(later.ev);
        day.settle();
    }
    Ok(day.played)
}

impl Day<'_> {
    fn at(&mut self, at: Duration, ev: Ev) {
        self.turn += 1;
        self.queue.push(Reverse(Later {
            at: at.max(self.now),
            turn: self.turn,
            ev,
        }));
    }

    fn note(&mut self, entry: Entry) {
        self.played.ledger.record(self.now, entry);
    }

    fn tell(&mut self, instance: usize, event: Event) {
        self.pending.push_back((instance, event));
    }

    fn cut(&self, instance: usize, endpoint: usize) -> bool {
        self.fleet.cuts[endpoint][instance] > 0
    }

    fn happen(&mut self, ev: Ev) {
        match ev {
            Ev::RequestDue(ask) => {
                if ask.is_first_try()
                    && let Some((at, next)) = self.asks.next_request()
                {
                    self.at(at, Ev::RequestDue(next));
                }
                self.ask(ask);
            }
            Ev::ScheduledChange(n) => self.change(self.plan.changes[n].1.clone()),
            Ev::Reach { relay, new } => self.reach(relay, new),
            Ev::Back {
                relay,
                outcome,
                load,
                keeps,
            } => {
                let (instance, endpoint) =
                    (self.relays[relay].instance, self.relays[relay].endpoint);
                if !self.cut(instance, endpoint) {
                    self.ended(relay, outcome, load, keeps);
                }
            }
            Ev::GiveUp { relay, outcome } => self.ended(relay, outcome, None, false),
            Ev::Recalled { relay } => {
                let endpoint = self.relays[relay].endpoint;
                self.advance(endpoint);
                self.fleet.endpoints[endpoint].cancel(relay as u64);
                self.collect(endpoint);
            }
            Ev::ProbeReach { probe, new } => self.probe_reach(probe, new),
            Ev::ProbeBack {
                probe,
                outcome,
                load,
                keeps,
            } => self.probed(probe, outcome, load, keeps),
            Ev::Due {
                instance,
                token,
                life,
            } if self.instances[instance].life == life => {
                self.tell(instance, Event::TimerFired { token });
            }
            Ev::Due { .. } => {}
            Ev::Wake { endpoint, version } => {
                if self.versions[endpoint] == version {
                    self.advance(endpoint);
                    self.collect(endpoint);
                }
            }
            Ev::Restart { endpoint } => self.start(endpoint),
            Ev::Guard { cmd } => {
                if !self.commands[cmd].answered && !self.commands[cmd].gone {
                    self.answer(cmd, Answer::Failed, None);
                    if let Some(slot) = self.commands[cmd].slot {
                        self.tell(
                            self.commands[cmd].ask.instance,
                            Event::CommandAbandoned { command: slot },
                        );
                    }
                }
            }
            Ev::Away { cmd } => {
                // Its limit is over: a client that has no answer by now goes away.
                let open = !self.commands[cmd].answered
                    && !std::mem::replace(&mut self.commands[cmd].gone, true);
                if open && let Some(slot) = self.commands[cmd].slot {
                    self.tell(
                        self.commands[cmd].ask.instance,
                        Event::CommandAbandoned { command: slot },
                    );
                }
            }
            Ev::Start { instance } => {
                // What a process remembers at its own start says nothing of theirs.
                let remembered = |e| ListedEndpoint {
                    started_at: Duration::ZERO,
                    ..self.listing(e)
                };
                let entries: Vec<ListedEndpoint> = (0..self.modes.len()).map(remembered).collect();
                // Another process has not heard what the one before it was told.
                let again = self.instances[instance].life > 0;
                for up in entries
                    .iter()
                    .filter(|e| again && e.state == EndpointState::Running)
                {
                    self.note(Entry::ListedUp {
                        instance,
                        endpoint: up.endpoint,
                    });
                }
                self.tell(
                    instance,
                    Event::ListUpdated {
                        kind: ListUpdateKind::Cached,
                        entries,
                    },
                );
            }
            Ev::Listed {
                instance,
                kind,
                of,
                watch,
            } => self.listed(instance, kind, &of, watch),
            Ev::ListChange { endpoint, mode } => self.list_change(endpoint, mode),
            Ev::FleetSample => {
                let held = self
                    .fleet
                    .endpoints
                    .iter()
                    .map(Endpoint::outstanding)
                    .collect();
                let links = self
                    .fleet
                    .endpoints
                    .iter()
                    .map(Endpoint::connections)
                    .collect();
                self.played.samples.push(FleetSample {
                    time: self.now,
                    outstanding: held,
                    connections: links,
                });
                if self.now + LOOK <= self.plan.length {
                    self.at(self.now + LOOK, Ev::FleetSample);
                }
            }
        }
    }

    /// Hands on what was told until nothing more comes of it.
    fn settle(&mut self) {
        while let Some((instance, event)) = self.pending.pop_front() {
            let now = EPOCH + self.now;
            let actions = self.instances[instance]
                .policy
                .decide(now, event, &self.fleet);
            for action in actions {
                self.act(instance, action);
            }
        }
    }

    fn act(&mut self, instance: usize, action: Action) {
        let name =
            |day: &Self, slot: CommandIndex| day.instances[instance].commands.name(slot).copied();
        match action {
            Action::Relay {
                command: cmd,
                endpoint,
                timeout: within,
                ..
            } => {
                if let Some(cmd) = name(self, cmd) {
                    self.send(instance, cmd, endpoint, within);
                }
            }
            Action::CancelRelay {
                command: cmd,
                relay,
            } => {
                let relay =
                    name(self, cmd).and_then(|cmd| self.commands[cmd].relays.get(relay).copied());
                if let Some(relay) = relay {
                    self.ended(relay, Outcome::Cancelled, None, false);
                }
            }
            Action::Refuse {
                command: cmd,
                retry_after: not_before,
            } => {
                if let Some(cmd) = name(self, cmd) {
                    self.answer(cmd, Answer::Refused, not_before);
                }
            }
            Action::Fail { command: cmd } => {
                if let Some(cmd) = name(self, cmd) {
                    self.answer(cmd, Answer::Failed, None);
                }
            }
            Action::ReleaseCommand { command: slot } => {
                if let Some(cmd) = name(self, slot) {
                    self.commands[cmd].slot = None;
                }
                self.instances[instance].commands.release(slot);
            }
            Action::Probe { endpoint } => self.probe(instance, endpoint),
            Action::Disconnect { endpoint } => {
                let idle = std::mem::take(&mut self.instances[instance].idle[endpoint]);
                idle.iter()
                    .for_each(|_| self.fleet.endpoints[endpoint].disconnect());
            }
            Action::Subscribe { active } => self.listen(instance, active),
            Action::PollList => self.listen(instance, true),
            Action::SetTimer { after, token } => {
                let life = self.instances[instance].life;
                self.at(
                    self.now + after,
                    Ev::Due {
                        instance,
                        token,
                        life,
                    },
                );
            }
            Action::Log(line) if self.played.log_lines.len() < MOST_LINES => {
                self.played.log_lines.push((self.now, instance, line));
            }
            Action::Log(_)
            | Action::ReleaseEndpoint { .. }
            | Action::SendToPeer { .. }
            | Action::ClassIndicesAssigned { .. } => {}
        }
    }

    // ---- commands ----

    fn ask(&mut self, ask: ClientRequest) {
        let cmd = self.commands.len();
        let verb = &self.plan.classes[ask.class];
        let (limit, margin) = (verb.time_limit, MARGIN.min(verb.time_limit / 20));
        let instance = ask.instance;
        let chain = ask.chain.unwrap_or(cmd);
        self.note(Entry::CommandArrived {
            command: cmd,
            chain,
            class: ask.class,
            instance,
            time_limit: limit,
        });
        let slot = self.instances[instance].commands.intern(&cmd);
        let costs = &mut self.fleet.work[instance];
        costs.resize(costs.len().max(slot + 1), (0.0, 0));
        costs[slot] = (ask.work, ask.class);
        let arrival = CommandArrival {
            command: slot,
            class: ask.class,
            tenant: ask.tenant,
            key: None,
            budget: limit - margin,
            work: None,
            is_retry: ask.is_retry && self.plan.retries_marked,
            is_write: false,
            weight_set: 0,
            body_pending: false,
        };
        self.at(self.now + limit - margin / 2, Ev::Guard { cmd });
        self.at(self.now + limit, Ev::Away { cmd });
        let ask = ClientRequest {
            chain: Some(chain),
            ..ask
        };
        let command = Command {
            ask,
            sent: self.now,
            answered: false,
            gone: false,
            slot: Some(slot),
            relays: Vec::new(),
        };
        self.commands.push(command);
        self.tell(instance, Event::CommandArrived(arrival));
    }

    fn answer(&mut self, cmd: CommandId, answer: Answer, not_before: Option<Duration>) {
        if self.commands[cmd].gone {
            return;
        }
        self.note(Entry::Answered {
            command: cmd,
            answer,
        });
        let again =
            !std::mem::replace(&mut self.commands[cmd].answered, true) && answer == Answer::Refused;
        if again && self.now < self.plan.length {
            let ask = self.commands[cmd].ask.clone();
            if let Some((after, ask)) = self.asks.retry(&ask, not_before) {
                self.at(self.now + after, Ev::RequestDue(ask));
            }
        }
    }

    // ---- relays ----

    /// A connection kept to an endpoint, the youngest first; what idles too long is closed on the way.
    fn kept(&mut self, instance: usize, endpoint: usize) -> bool {
        let most = self.plan.idle_close.mul_f64(IDLE_SHARE);
        let idle = &mut self.instances[instance].idle[endpoint];
        let before = idle.len();
        idle.retain(|since| *since + most > self.now);
        let closed = before - idle.len();
        let found = idle.pop().is_some();
        (0..closed).for_each(|_| self.fleet.endpoints[endpoint].disconnect());
        found
    }

    fn send(&mut self, instance: usize, cmd: CommandId, endpoint: usize, within: Duration) {
        let relay = self.relays.len();
        let command = &mut self.commands[cmd];
        let verb = &self.plan.classes[command.ask.class];
        let last = command.sent + verb.time_limit - MARGIN.min(verb.time_limit / 20) / 2;
        let within = within.min(last.saturating_sub(self.now));
        let n = command.relays.len();
        command.relays.push(relay);
        let work = command.ask.work;
        self.relays.push(Relay {
            cmd,
            instance,
            endpoint,
            n,
            sent: self.now,
            ended: false,
            heading: work,
            linked: false,
        });
        self.note(Entry::RelaySent {
            relay,
            command: cmd,
            endpoint,
        });
        self.fleet.heading[endpoint] += work;
        self.at(
            self.now + within,
            Ev::GiveUp {
                relay,
                outcome: Outcome::TimedOut,
            },
        );
        let half = self.plan.one_way_delay(instance, endpoint);
        if self.kept(instance, endpoint) {
            self.relays[relay].linked = true;
            self.at(self.now + half, Ev::Reach { relay, new: false });
        } else if self.cut(instance, endpoint) {
            // Nothing comes over the cut: the sidecar gives up by itself.
            self.at(
                self.now + self.plan.connect_timeout / 4,
                Ev::GiveUp {
                    relay,
                    outcome: Outcome::ConnectFailed,
                },
            );
        } else {
            self.at(self.now + 3 * half, Ev::Reach { relay, new: true });
        }
    }

    /// The relay is no longer on its way.
    fn arrived(&mut self, relay: RelayId) {
        let r = &mut self.relays[relay];
        let work = std::mem::take(&mut r.heading);
        let heading = &mut self.fleet.heading[r.endpoint];
        *heading = (*heading - work).max(0.0);
    }

    fn reach(&mut self, relay: RelayId, new: bool) {
        self.arrived(relay);
        let (instance, endpoint) = (self.relays[relay].instance, self.relays[relay].endpoint);
        if self.relays[relay].ended {
            return;
        }
        let back = |outcome, keeps| Ev::Back {
            relay,
            outcome,
            load: None,
            keeps,
        };
        let home = self.now + self.plan.one_way_delay(instance, endpoint);
        if self.cut(instance, endpoint) {
            if new {
                let outcome = Outcome::ConnectFailed;
                self.at(
                    self.now + self.plan.connect_timeout / 4,
                    Ev::GiveUp { relay, outcome },
                );
            }
            return;
        }
        if !self.fleet.endpoints[endpoint].is_up() {
            // Written to a connection that is no more, it may have run for all that the sidecar knows.
            let outcome = if new {
                Outcome::ConnectFailed
            } else {
                Outcome::ConnectionLost
            };
            return self.at(home, back(outcome, false));
        }
        if new {
            if !self.fleet.endpoints[endpoint].connect() {
                return self.at(home, back(Outcome::Overloaded, false));
            }
            self.played.connections += 1;
            self.relays[relay].linked = true;
        }
        self.advance(endpoint);
        let ask = &self.commands[self.relays[relay].cmd].ask;
        let e = &mut self.fleet.endpoints[endpoint];
        let work = ask.work + if new { e.spec.connection_work } else { 0.0 };
        match e.offer(Job {
            id: relay as u64,
            class: ask.class,
            work,
        }) {
            Admission::Accepted => {}
            Admission::Rejected => {
                let load = Some(e.load_report());
                self.at(
                    home,
                    Ev::Back {
                        relay,
                        outcome: Outcome::Overloaded,
                        load,
                        keeps: true,
                    },
                );
            }
            Admission::Down => self.at(home, back(Outcome::ConnectionLost, false)),
        }
        self.collect(endpoint);
    }

    /// A relay ends for its sidecar.
    fn ended(&mut self, relay: RelayId, outcome: Outcome, load: Option<EndpointLoad>, keeps: bool) {
        if std::mem::replace(&mut self.relays[relay].ended, true) {
            return;
        }
        self.arrived(relay);
        let r = &self.relays[relay];
        let (cmd, instance, endpoint, n) = (r.cmd, r.instance, r.endpoint, r.n);
        let (spent, linked) = (self.now - r.sent, r.linked);
        self.note(Entry::RelayEnded {
            relay,
            never_ran: outcome.never_ran(),
        });
        if linked && keeps {
            self.instances[instance].idle[endpoint].push(self.now);
        } else if linked {
            self.fleet.endpoints[endpoint].disconnect();
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled)
            && !self.cut(instance, endpoint)
        {
            let half = self.plan.one_way_delay(instance, endpoint);
            self.at(self.now + half, Ev::Recalled { relay });
        }
        let open = !self.commands[cmd].answered && !self.commands[cmd].gone;
        if open && outcome == Outcome::Answered {
            self.answer(cmd, Answer::Answered, None);
        }
        let Some(slot) = self.commands[cmd].slot else {
            return;
        };
        let concluded = self.commands[cmd].answered || self.commands[cmd].gone;
        let report = load
            .filter(|_| self.plan.report_mode() == ReportMode::Piggyback)
            .map(report);
        self.tell(
            instance,
            Event::RelayFinished {
                command: slot,
                relay: n,
                outcome,
                elapsed: spent,
                concluded,
                report,
            },
        );
    }

    // ---- endpoints ----

    fn advance(&mut self, endpoint: usize) {
        self.fleet.endpoints[endpoint].advance(self.now);
    }

    /// What an endpoint shows goes its way, and it is looked at again when it next changes.
    fn collect(&mut self, endpoint: usize) {
        let mut tipped = false;
        for shown in self.fleet.endpoints[endpoint].take_events() {
            match shown {
                EndpointEvent::Started(job) => self.note(Entry::JobStarted {
                    relay: job as RelayId,
                }),
                EndpointEvent::Finished(job, verdict) => {
                    let relay = job as RelayId;
                    let instance = self.relays[relay].instance;
                    let (outcome, keeps) = match verdict {
                        JobResult::Completed => (Outcome::Answered, true),
                        JobResult::Error => (Outcome::Error, true),
                        JobResult::Malformed => (Outcome::Error, false),
                        JobResult::Reset => (Outcome::ConnectionLost, false),
                    };
                    if !self.cut(instance, endpoint) {
                        let load = Some(self.fleet.endpoints[endpoint].load_report());
                        let home = self.now + self.plan.one_way_delay(instance, endpoint);
                        self.at(
                            home,
                            Ev::Back {
                                relay,
                                outcome,
                                load,
                                keeps,
                            },
                        );
                    }
                }
                EndpointEvent::Crashed => tipped = true,
            }
        }
        if tipped {
            self.die(endpoint);
            self.at(self.now + self.plan.restart_after, Ev::Restart { endpoint });
        }
        self.versions[endpoint] += 1;
        if let Some(at) = self.fleet.endpoints[endpoint].next_event_at() {
            self.at(
                at,
                Ev::Wake {
                    endpoint,
                    version: self.versions[endpoint],
                },
            );
        }
    }

    fn die(&mut self, endpoint: usize) {
        self.advance(endpoint);
        let held = self.fleet.endpoints[endpoint].crash();
        self.instances
            .iter_mut()
            .for_each(|i| i.idle[endpoint].clear());
        for job in held {
            let relay = job as RelayId;
            self.relays[relay].linked = false;
            let home = self.now
                + self
                    .plan
                    .one_way_delay(self.relays[relay].instance, endpoint);
            self.at(
                home,
                Ev::Back {
                    relay,
                    outcome: Outcome::ConnectionLost,
                    load: None,
                    keeps: false,
                },
            );
        }
        self.versions[endpoint] += 1;
        self.at(
            self.now + self.plan.crash_listed_after,
            Ev::ListChange {
                endpoint,
                mode: EndpointState::Removed,
            },
        );
    }

    fn start(&mut self, endpoint: usize) {
        if self.fleet.endpoints[endpoint].is_up() {
            return;
        }
        self.fleet.endpoints[endpoint].start(self.now);
        self.started[endpoint] = Some(self.now);
        if !self.plan.endpoints[endpoint].spec.warm_up_time.is_zero() {
            self.note(Entry::EndpointStarted { endpoint });
        }
        self.at(
            self.now + LOOK / 2,
            Ev::ListChange {
                endpoint,
                mode: EndpointState::Running,
            },
        );
    }

    fn change(&mut self, change: ScheduledChange) {
        match change {
            ScheduledChange::EndpointFault(endpoint, turn) => {
                self.advance(endpoint);
                self.fleet.endpoints[endpoint].apply_fault(&turn);
                self.collect(endpoint);
            }
            ScheduledChange::NetworkCut {
                endpoint,
                instances,
                on,
            } => {
                for (n, _) in instances
                    .iter()
                    .enumerate()
                    .filter(|(_, concerned)| **concerned)
                {
                    let cuts = &mut self.fleet.cuts[endpoint][n];
                    *cuts = if on {
                        *cuts + 1
                    } else {
                        cuts.saturating_sub(1)
                    };
                }
            }
            ScheduledChange::Crash(endpoint) => self.die(endpoint),
            ScheduledChange::Start(endpoint) => self.start(endpoint),
            ScheduledChange::Drain(endpoint) => {
                self.fleet.endpoints[endpoint].drain();
                self.list_change(endpoint, EndpointState::Draining);
            }
            ScheduledChange::Cordon(endpoint, out) => {
                for instance in 0..self.instances.len() {
                    self.tell(
                        instance,
                        Event::CordonChanged {
                            endpoint,
                            cordoned: out,
                        },
                    );
                    self.note(Entry::Cordoned {
                        instance,
                        endpoint,
                        cordoned: out,
                    });
                }
            }
            ScheduledChange::Leave(endpoint) => {
                self.die(endpoint);
                self.list_change(endpoint, EndpointState::Removed);
            }
            ScheduledChange::DiscoveryDelay(by) => self.discovery_by = by,
            ScheduledChange::DiscoveryStagger(spread) => self.discovery_turns = spread,
            ScheduledChange::DiscoveryMalformed(on) => self.malformed = on,
            ScheduledChange::DiscoveryDown(on) => {
                self.discovery_down = on;
                for instance in 0..self.instances.len() {
                    if on && let Some(watch) = self.instances[instance].watch {
                        let at = self.now + LOOK.mul_f64(self.chance.uniform() / 2.0);
                        self.at(
                            at,
                            Ev::Listed {
                                instance,
                                kind: ListUpdateKind::Failed,
                                of: Vec::new(),
                                watch,
                            },
                        );
                    }
                }
            }
            ScheduledChange::SidecarKill(instance) => self.kill(instance),
            // Of processes, which there are none of here: the checker leaves them to days on sockets.
            ScheduledChange::SidecarStop(_)
            | ScheduledChange::SidecarReload(_)
            | ScheduledChange::SidecarUpgrade(_)
            | ScheduledChange::SidecarReconfigure(..) => {}
        }
    }

    /// Killed, and another process in its place at once: what it held is lost, and what it had learnt.
    fn kill(&mut self, instance: usize) {
        self.note(Entry::SidecarKilled { instance });
        for c in self
            .commands
            .iter_mut()
            .filter(|c| c.ask.instance == instance)
        {
            (c.gone, c.slot) = (c.gone || !c.answered, None);
        }
        for relay in (0..self.relays.len())
            .filter(|r| self.relays[*r].instance == instance)
            .collect::<Vec<_>>()
        {
            // The system closes its connections, which its endpoints see.
            self.ended(relay, Outcome::TimedOut, None, false);
        }
        self.probes
            .iter_mut()
            .filter(|p| p.instance == instance)
            .for_each(|p| p.told = true);
        for endpoint in 0..self.modes.len() {
            let idle = std::mem::take(&mut self.instances[instance].idle[endpoint]);
            idle.iter()
                .for_each(|_| self.fleet.endpoints[endpoint].disconnect());
        }
        let life = self.instances[instance].life + 1;
        let Ok(policy) = decider(self.plan, self.seed, self.policy, instance, life) else {
            return;
        };
        self.instances[instance].policy = policy;
        (
            self.instances[instance].commands,
            self.instances[instance].watch,
        ) = (Interner::new(), None);
        self.instances[instance].life = life;
        self.at(self.now, Ev::Start { instance });
    }

    // ---- the list ----

    fn listing(&self, endpoint: usize) -> ListedEndpoint {
        let plan = &self.plan.endpoints[endpoint];
        ListedEndpoint {
            endpoint,
            id_hash: endpoint as u64,
            zone: plan.zone,
            cell: plan.cell,
            kind: plan.kind,
            weight: plan.weight,
            started_at: self.started[endpoint].map_or(Duration::ZERO, |at| EPOCH + at),
            state: self.modes[endpoint],
        }
    }

    fn list_change(&mut self, endpoint: usize, mode: EndpointState) {
        // What has come back meanwhile, or has left already, has not died.
        let up = self.fleet.endpoints[endpoint].is_up();
        if (mode == EndpointState::Removed) == up || self.modes[endpoint] == mode {
            return;
        }
        self.modes[endpoint] = mode;
        for instance in 0..self.instances.len() {
            if let Some(watch) = self.instances[instance].watch {
                let at = self.now + self.news(instance);
                self.at(
                    at,
                    Ev::Listed {
                        instance,
                        kind: ListUpdateKind::Delta,
                        of: vec![endpoint],
                        watch,
                    },
                );
            }
        }
    }

    /// How long news take from discovery to an instance.
    fn news(&mut self, instance: usize) -> Duration {
        let turn = self
            .discovery_turns
            .mul_f64(instance as f64 / self.instances.len() as f64);
        self.discovery_by + turn + self.plan.round_trip + LOOK.mul_f64(self.chance.uniform() / 5.0)
    }

    fn listen(&mut self, instance: usize, active: bool) {
        self.watches += 1;
        let watch = self.watches;
        self.instances[instance].watch = active.then_some(watch);
        if active {
            let kind = if self.discovery_down {
                ListUpdateKind::Failed
            } else {
                ListUpdateKind::Full
            };
            let at = self.now + self.news(instance);
            self.at(
                at,
                Ev::Listed {
                    instance,
                    kind,
                    of: Vec::new(),
                    watch,
                },
            );
        }
    }

    /// A list reaches an instance; what it says is as of now, so that no old word overtakes a new one.
    fn listed(&mut self, instance: usize, kind: ListUpdateKind, of: &[usize], watch: u64) {
        if self.instances[instance].watch != Some(watch) {
            return;
        }
        if kind == ListUpdateKind::Failed || self.malformed {
            self.instances[instance].watch = None;
            return self.tell(
                instance,
                Event::ListUpdated {
                    kind: ListUpdateKind::Failed,
                    entries: Vec::new(),
                },
            );
        }
        let whole = kind == ListUpdateKind::Full;
        let named: Vec<usize> = if whole {
            (0..self.modes.len()).collect()
        } else {
            of.to_vec()
        };
        let mut entries = Vec::with_capacity(named.len());
        for endpoint in named {
            let mode = self.modes[endpoint];
            self.note(match mode {
                EndpointState::Running => Entry::ListedUp { instance, endpoint },
                EndpointState::Draining | EndpointState::Removed => {
                    Entry::ListedAway { instance, endpoint }
                }
            });
            if !whole || mode != EndpointState::Removed {
                entries.push(self.listing(endpoint));
            }
        }
        self.tell(instance, Event::ListUpdated { kind, entries });
    }

    // ---- probes ----

    fn probe(&mut self, instance: usize, endpoint: usize) {
        let probe = self.probes.len();
        self.probes.push(Probe {
            instance,
            endpoint,
            sent: self.now,
            told: false,
        });
        self.note(Entry::ProbeSent { endpoint });
        let half = self.plan.one_way_delay(instance, endpoint);
        if self.kept(instance, endpoint) {
            self.at(self.now + half, Ev::ProbeReach { probe, new: false });
        } else if !self.cut(instance, endpoint) {
            self.at(self.now + 3 * half, Ev::ProbeReach { probe, new: true });
        }
        let outcome = Outcome::TimedOut;
        self.at(
            self.now + self.plan.connect_timeout / 5,
            Ev::ProbeBack {
                probe,
                outcome,
                load: None,
                keeps: false,
            },
        );
    }

    fn probe_reach(&mut self, probe: usize, new: bool) {
        let (instance, endpoint) = (self.probes[probe].instance, self.probes[probe].endpoint);
        let home = self.now + self.plan.one_way_delay(instance, endpoint);
        let back = |outcome, load, keeps| Ev::ProbeBack {
            probe,
            outcome,
            load,
            keeps,
        };
        self.advance(endpoint);
        let e = &mut self.fleet.endpoints[endpoint];
        if self.fleet.cuts[endpoint][instance] > 0 || e.faults.stalled {
            // No answer; its connection is given up.
            if !new {
                e.disconnect();
            }
            return;
        }
        if !e.is_up() {
            return self.at(home, back(Outcome::ConnectFailed, None, false));
        }
        if new && !e.connect() {
            return self.at(home, back(Outcome::Overloaded, None, false));
        }
        self.played.connections += usize::from(new);
        let load = Some(e.load_report());
        self.at(home, back(Outcome::Answered, load, true));
    }

    fn probed(&mut self, probe: usize, outcome: Outcome, load: Option<EndpointLoad>, keeps: bool) {
        let Probe {
            instance,
            endpoint,
            sent,
            ..
        } = self.probes[probe];
        if keeps {
            // Too late to tell anything, an answer still gives its connection back.
            if self.cut(instance, endpoint) || !self.fleet.endpoints[endpoint].is_up() {
                return;
            }
            self.instances[instance].idle[endpoint].push(self.now);
        }
        if std::mem::replace(&mut self.probes[probe].told, true) {
            return;
        }
        let report = load
            .filter(|_| self.plan.report_mode() != ReportMode::Silent)
            .map(report);
        self.tell(
            instance,
            Event::ProbeFinished {
                endpoint,
                outcome,
                elapsed: self.now - sent,
                report,
            },
        );
    }
}

fn report(load: EndpointLoad) -> LoadReport {
    LoadReport {
        outstanding: Some(load.outstanding as f64),
        backlog: Some(load.queued as f64),
        utilization: Some(load.utilization),
        ..LoadReport::default()
    }
}

#[cfg(test)]
mod tests;
