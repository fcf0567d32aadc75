//! An experiment as its file tells it, checked, and turned into the plan of a day. Nothing is guessed: an unknown key,
//! an unknown name or a value without its unit is an error that names line and key.

use crate::fleet::{DutyPlan, FleetFault, FleetPlan, What, Whom, WorkPlan};
use crate::model::{EndpointSpec, FaultChange};
use passroad_units::{ConfigError, HumanDuration, Ratio, line_number};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Text {
    about: String,
    #[serde(default = "one_seed")]
    seeds: Vec<u64>,
    length: HumanDuration,
    #[serde(default)]
    settle: HumanDuration,
    #[serde(default = "five")]
    instances: usize,
    #[serde(default)]
    sockets: Option<SocketMode>,
    #[serde(default)]
    routes: Option<Spanned<String>>,
    fleet: Fleet,
    verb: Vec<Spanned<Verb>>,
    #[serde(default)]
    company: Vec<Company>,
    load: Load,
    #[serde(default)]
    network: Network,
    #[serde(default)]
    allowed: Allowed,
    #[serde(default)]
    goal: Goal,
    #[serde(default)]
    peers: Option<Spanned<Peers>>,
    #[serde(default)]
    fault: Vec<Spanned<Fault>>,
    #[serde(default)]
    hold: Vec<Spanned<Hold>>,
    #[serde(default)]
    policies: Vec<Spanned<String>>,
}

fn one_seed() -> Vec<u64> {
    vec![1]
}

fn five() -> usize {
    5
}

/// Where a day can be played.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum SocketMode {
    #[serde(rename = "needed")]
    Required,
    /// On sockets unless `--on virtual` asks otherwise.
    #[serde(rename = "first")]
    Preferred,
    Never,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Fleet {
    #[serde(default)]
    noticed: Option<HumanDuration>,
    #[serde(default)]
    restart: Option<HumanDuration>,
    kind: BTreeMap<String, Kind>,
    group: Vec<Spanned<Group>>,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Kind {
    cores: usize,
    #[serde(default = "unit")]
    speed: f64,
    #[serde(default = "sixteen")]
    queue: usize,
    #[serde(default)]
    drag_from: usize,
    #[serde(default = "drag")]
    drag: Ratio,
    #[serde(default = "cold_from")]
    cold_from: Ratio,
    #[serde(default)]
    warm_within: HumanDuration,
    #[serde(default = "tip_multiple")]
    tip_multiple: f64,
    #[serde(default = "tip_after")]
    tip_after: HumanDuration,
    #[serde(default = "yes")]
    tips: bool,
    #[serde(default = "yes")]
    drops_recalled: bool,
    #[serde(default = "most_links")]
    most_links: usize,
    #[serde(default)]
    link_work: HumanDuration,
    #[serde(default)]
    report_age: HumanDuration,
}

fn unit() -> f64 {
    1.0
}
fn sixteen() -> usize {
    16
}
fn drag() -> Ratio {
    Ratio(0.7)
}
fn cold_from() -> Ratio {
    Ratio(0.13)
}
fn tip_multiple() -> f64 {
    2.5
}
fn tip_after() -> HumanDuration {
    HumanDuration(Duration::from_secs(2))
}
fn yes() -> bool {
    true
}
fn most_links() -> usize {
    120
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Group {
    kind: String,
    #[serde(default = "zone_a")]
    zone: String,
    count: usize,
    #[serde(default = "one")]
    cells: usize,
    #[serde(default = "unit")]
    weight: f64,
}

fn zone_a() -> String {
    "a".into()
}
fn one() -> usize {
    1
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Verb {
    name: String,
    effect: Effect,
    #[serde(default)]
    group: DeduplicationScope,
    #[serde(default)]
    window: HumanDuration,
    work: HumanDuration,
    #[serde(default)]
    spread: f64,
    goal: HumanDuration,
    limit: HumanDuration,
    #[serde(default = "unit")]
    utility: f64,
    #[serde(default)]
    late_utility: f64,
    #[serde(default = "unit")]
    share: f64,
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    #[serde(rename = "pure")]
    Safe,
    #[serde(rename = "receipted")]
    Keyed,
    #[serde(rename = "effectful")]
    NonIdempotent,
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq, Default)]
#[serde(rename_all = "lowercase")]
pub enum DeduplicationScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Company {
    name: String,
    portion: f64,
    #[serde(default)]
    share: Option<f64>,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Load {
    #[serde(default)]
    of_capacity: Option<f64>,
    #[serde(default)]
    per_second: Option<f64>,
    #[serde(default)]
    uneven: f64,
    #[serde(default)]
    steps: Vec<LoadStep>,
    #[serde(default)]
    retries: Ratio,
    #[serde(default)]
    marked: bool,
    #[serde(default = "three")]
    tries: u32,
    #[serde(default = "pause")]
    pause: HumanDuration,
}

fn three() -> u32 {
    3
}
fn pause() -> HumanDuration {
    HumanDuration(Duration::from_millis(200))
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct LoadStep {
    at: HumanDuration,
    factor: f64,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields, default)]
struct Network {
    round_trip: HumanDuration,
    cross_zone: HumanDuration,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            round_trip: HumanDuration(Duration::from_millis(1)),
            cross_zone: HumanDuration(Duration::ZERO),
        }
    }
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields, default)]
struct Allowed {
    relays: usize,
    probes: bool,
    reports: ReportMode,
    second_copies: bool,
    recall: bool,
    retry_after: HumanDuration,
    connect: HumanDuration,
    idle_close: HumanDuration,
    ask_every: HumanDuration,
    grace: HumanDuration,
    probe_price: f64,
    cross_zone_price: f64,
    handshake_price: f64,
}

impl Default for Allowed {
    fn default() -> Self {
        Allowed {
            relays: 4,
            probes: true,
            reports: ReportMode::Piggyback,
            second_copies: true,
            recall: true,
            retry_after: HumanDuration(Duration::from_millis(1500)),
            connect: HumanDuration(Duration::from_millis(250)),
            idle_close: HumanDuration(Duration::from_secs(30)),
            ask_every: HumanDuration(Duration::from_secs(10)),
            grace: HumanDuration(Duration::from_millis(500)),
            probe_price: 0.002,
            cross_zone_price: 0.005,
            handshake_price: 0.0,
        }
    }
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ReportMode {
    Piggyback,
    Pull,
    Silent,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields, default)]
struct Goal {
    whole: f64,
    worst_verb: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Goal {
            whole: 1.0,
            worst_verb: 0.0,
        }
    }
}

/// Sidecars that talk, and what one of them is to do at a time.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Peers {
    lease: HumanDuration,
    #[serde(default = "period")]
    period: HumanDuration,
    #[serde(default = "five")]
    voters: usize,
    #[serde(default)]
    state: bool,
    #[serde(default = "yes")]
    fence: bool,
    #[serde(default)]
    duty: Vec<PeerDuty>,
    #[serde(default)]
    work: Option<Work>,
}

/// Machines that are to go out for work, and how long a person works on one.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Work {
    lasts: HumanDuration,
    #[serde(default = "one")]
    at_once: usize,
    request: Vec<WorkRequest>,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct WorkRequest {
    at: HumanDuration,
    instance: usize,
    endpoints: Vec<usize>,
}

fn period() -> HumanDuration {
    HumanDuration(Duration::from_secs(1))
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct PeerDuty {
    name: String,
    every: HumanDuration,
    within: HumanDuration,
    #[serde(default)]
    work: HumanDuration,
}

/// Whom a fault is to hit, where that is known only when it comes.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum FaultTarget {
    Owner,
    Minority,
    Voters,
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum OneWay {
    Out,
    Back,
}

#[derive(Deserialize, Debug, Clone)]
#[serde(deny_unknown_fields)]
struct Fault {
    kind: FaultKind,
    at: HumanDuration,
    #[serde(default, rename = "for")]
    lasts: Option<HumanDuration>,
    #[serde(default)]
    endpoints: Option<Vec<usize>>,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    instances: Option<Vec<usize>>,
    #[serde(default)]
    share: Option<Ratio>,
    #[serde(default)]
    left: Option<Ratio>,
    #[serde(default)]
    verb: Option<String>,
    #[serde(default)]
    by: Option<HumanDuration>,
    #[serde(default)]
    every: Option<HumanDuration>,
    #[serde(default)]
    repeat: Option<usize>,
    #[serde(default)]
    relays: Option<usize>,
    #[serde(default)]
    whom: Option<FaultTarget>,
    #[serde(default)]
    from: Option<Vec<usize>>,
    #[serde(default)]
    to: Option<Vec<usize>>,
    #[serde(default)]
    one_way: Option<OneWay>,
    #[serde(default)]
    spread: Option<HumanDuration>,
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    Stall,
    Slow,
    Errors,
    Spoil,
    Reset,
    Hang,
    Lies,
    Silence,
    Die,
    Drain,
    Cordon,
    Deploy,
    DiscoveryLate,
    DiscoveryDown,
    DiscoveryMalformed,
    SidecarKill,
    SidecarStop,
    SidecarReload,
    SidecarUpgrade,
    SidecarRetune,
    SidecarPause,
    PeersCut,
    PeersLose,
    PeersLate,
    PeersTwice,
    PeersKeep,
    ActsKeep,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Hold {
    metric: Metric,
    #[serde(default)]
    policy: Option<String>,
    #[serde(default)]
    above: Option<String>,
    #[serde(default)]
    from: Option<HumanDuration>,
    #[serde(default)]
    to: Option<HumanDuration>,
    #[serde(default)]
    verb: Option<String>,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    asked_in: Option<String>,
    #[serde(default)]
    at_least: Option<f64>,
    #[serde(default)]
    at_most: Option<f64>,
    /// Judged in simulated time only: a figure that hangs on the machine.
    #[serde(default)]
    simulated: bool,
}

/// A figure that the report can give and an experiment can hold.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Share of commands answered within their goal.
    Served,
    /// The same by what their verbs are worth, first try to last answer.
    Worth,
    Declined,
    Terminated,
    /// Share answered past their goal.
    Late,
    /// Milliseconds to an answer.
    P50,
    P99,
    /// Relays a command.
    Relays,
    Probes,
    /// Broken rules.
    Broken,
    /// The most that any cold endpoint was offered, in multiples of what it could do, over `tip_after`.
    Push,
    /// The most requests that any cold endpoint got over `tip_after`, against the N that it can take then and
    /// 2 x root of N + 2 for chance; 1 is the bound.
    Ramp,
    /// Share of the relays that went to a zone.
    Share,
    /// Seconds from `from` until all but a twentieth of what was served before is served again, and stays so to `to`.
    Recovers,
    /// Seconds from `from` until a zone has nine tenths of the share of the relays that it had before the first fault.
    Returns,
    /// Mean change of a zone's share of the relays from one second to the next.
    Swing,
    /// Commands that the endpoints of a zone hold, for each core.
    Load,
    /// The most and the least relays of an endpoint, over its fair share by size.
    Busiest,
    Idlest,
    /// Variance over mean of the relays of an endpoint in a second, and in 100 ms; 1 where choice is random.
    Herding,
    HerdingFast,
    /// Share of endpoint-time with nothing held while another endpoint has a queue.
    Idle,
    /// Sidecars that used an endpoint, most and least.
    HoldersMost,
    HoldersLeast,
    /// Most open connections at one endpoint.
    LinksMost,
    /// Connections that were opened.
    Connections,
    /// How often a tenth of all sidecars chose the same endpoint within 50 ms, a second.
    Together,
    /// Most epochs of a duty whose accepted acts lie between each other's.
    OwnersAtOnce,
    /// Most that took themselves for the owner at once; seen in virtual time only.
    Believers,
    /// Acts accepted by a lower epoch than one before, or by another's.
    StaleActs,
    /// Acts refused.
    StaleTries,
    /// Longest time with no accepted act of some duty, in seconds.
    Unowned,
    /// Accepted acts.
    Acts,
    /// Epochs by which acts were accepted.
    Owners,
    /// Datagrams a second of the sidecar that sent most.
    PeerDatagrams,
    /// Doubts that the sidecars raised.
    Doubts,
    /// What the faults between sidecars hit.
    Hits,
    /// Machines on which work was done.
    Worked,
    /// Most machines at work at once.
    AtWork,
    /// Relays that came to a machine while somebody worked on it, or were on it when that began.
    WorkBroken,
    /// Longest time from a request to the end of its last machine's work, in seconds.
    WorkTime,
}

// ---- the plan ----

#[derive(Debug, Clone)]
pub struct ClassPlan {
    pub name: String,
    pub effect: Effect,
    pub deduplication_scope: DeduplicationScope,
    pub deduplication_window: Duration,
    pub mean_work: f64, // seconds of a core at speed one, on the mean
    pub work_sigma: f64,
    pub deadline_target: Duration,
    pub time_limit: Duration,
    pub utility: f64,
    pub late_utility: f64,
    pub share: f64,
}

#[derive(Debug, Clone)]
pub struct EndpointPlan {
    pub spec: EndpointSpec,
    pub kind: usize,
    pub zone: usize,
    pub cell: usize,
    pub weight: f64,
}

/// What changes at a time.
#[derive(Debug, Clone, PartialEq)]
pub enum ScheduledChange {
    EndpointFault(usize, FaultChange),
    NetworkCut {
        endpoint: usize,
        instances: Vec<bool>,
        on: bool,
    },
    Crash(usize),
    Start(usize),
    Drain(usize),
    Leave(usize),
    /// By operators, at all sidecars: out, or called back.
    Cordon(usize, bool),
    DiscoveryDelay(Duration),
    /// News come to one instance after the other, spread over so long.
    DiscoveryStagger(Duration),
    DiscoveryDown(bool),
    DiscoveryMalformed(bool),
    SidecarKill(usize),
    SidecarStop(usize),
    SidecarReload(usize),
    /// The next process takes over beside it.
    SidecarUpgrade(usize),
    /// Other settings on SIGHUP: so many relays a command.
    SidecarReconfigure(usize, usize),
}

#[derive(Debug, Clone)]
pub struct Expectation {
    pub metric: Metric,
    pub policy: String,
    pub compared_policy: Option<String>,
    pub window: Range<Duration>,
    pub class: Option<usize>,
    pub zone: Option<usize>,
    /// Only commands asked in this zone.
    pub client_zone: Option<usize>,
    pub at_least: Option<f64>,
    pub at_most: Option<f64>,
    pub simulated_only: bool,
    pub line: usize,
    pub label: String,
}

/// All that a day needs to be played, whoever decides in it.
#[derive(Debug, Clone)]
pub struct Plan {
    pub about: String,
    pub seeds: Vec<u64>,
    pub length: Duration,
    pub settle: Duration,
    pub instances: usize,
    pub socket_mode: Option<SocketMode>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub endpoints: Vec<EndpointPlan>,
    pub crash_listed_after: Duration, // until the list says that an endpoint has died
    pub restart_after: Duration,      // of one that fell over
    pub classes: Vec<ClassPlan>,
    pub tenants: Vec<(String, f64, f64)>, // name, portion, share of the load
    pub per_second: f64,
    pub instance_skew: f64, // spread of the instances' shares of the load
    pub load_steps: Vec<(Duration, f64)>,
    pub retry_share: f64,
    pub retries_marked: bool,
    pub max_tries: u32,
    pub retry_pause: Duration,
    pub round_trip: Duration,
    pub cross_zone_extra: Duration,
    pub max_relays: usize,
    pub retry_after: Duration,
    pub connect_timeout: Duration,
    pub idle_close: Duration,
    pub drain_grace: Duration,
    pub changes: Vec<(Duration, ScheduledChange)>,
    pub expectations: Vec<Expectation>,
    pub policies: Vec<String>,
    /// Sidecars that talk, where the experiment has some.
    pub fleet: Option<FleetPlan>,
    /// A file of routes, for the policy that has them.
    pub routes: Option<String>,
    report_mode: ReportMode,
    allowed: serde_json::Value,
    prices: serde_json::Value,
    rules: serde_json::Value,
    goal: serde_json::Value,
}

/// Names that decide in a day: our module, and what it is held against.
pub const POLICIES: [&str; 6] = [
    "passroad",
    "passroad-routes",
    "random",
    "round-robin",
    "least-of-two",
    "full-sight",
];

/// Reads an experiment.
pub fn parse(text: &str) -> Result<Plan, ConfigError> {
    parse_with_instances(text, None)
}

/// The same, for another number of instances than the file's.
pub fn parse_with_instances(text: &str, instances: Option<usize>) -> Result<Plan, ConfigError> {
    let mut told: Text = toml::from_str(text)
        .map_err(|e| ConfigError::from_parser(text, e.span().map(|s| s.start), e.message()))?;
    told.instances = instances.unwrap_or(told.instances);
    Checker { text }.plan(told)
}

struct Checker<'a> {
    text: &'a str,
}

type Place = Range<usize>;

impl Checker<'_> {
    fn wrong<T>(&self, place: &Place, what: impl Into<String>) -> Result<T, ConfigError> {
        Err(ConfigError {
            line: line_number(self.text, place.start),
            message: what.into(),
        })
    }

    /// The line of a key, searched for from a place on, for what has no place of its own.
    fn at_key(&self, from: usize, key: &str) -> Place {
        let start = self.text[from..].lines().scan(from, |at, line| {
            let start = *at;
            *at += line.len() + 1;
            Some((start, line))
        });
        let is = |line: &str| {
            line.trim_start()
                .strip_prefix(key)
                .is_some_and(|l| key.starts_with('[') || l.trim_start().starts_with('='))
        };
        let found = start.filter(|(_, line)| is(line)).map(|(at, _)| at).next();
        let at = found.unwrap_or(from);
        at..at
    }

    fn plan(&self, told: Text) -> Result<Plan, ConfigError> {
        let top = |key: &str| self.at_key(0, key);
        if told.seeds.is_empty() {
            return self.wrong(&top("seeds"), "seeds: none");
        }
        if told.length.0.is_zero() || told.length.0 > Duration::from_secs(3600) {
            return self.wrong(
                &top("length"),
                "length: a day takes more than nothing and an hour at most",
            );
        }
        if told.settle >= told.length {
            return self.wrong(
                &top("settle"),
                "settle: nothing of the day is left to count",
            );
        }
        if !(1..=20_000).contains(&told.instances) {
            return self.wrong(&top("instances"), "instances: from 1 to 20000");
        }
        let kinds: Vec<String> = told.fleet.kind.keys().cloned().collect();
        let (zones, endpoints) = self.endpoints(&told.fleet, &kinds)?;
        let verbs = self.verbs(&told.verb)?;
        let mean: f64 = {
            let of: f64 = verbs.iter().map(|v| v.share).sum();
            verbs.iter().map(|v| v.share * v.mean_work).sum::<f64>() / of
        };
        let capacity: f64 = endpoints
            .iter()
            .map(|e| e.spec.cores as f64 * e.spec.speed)
            .sum::<f64>()
            / mean;
        let per_second = match (told.load.of_capacity, told.load.per_second) {
            (Some(share), None) if share > 0.0 => share * capacity,
            (None, Some(rate)) if rate > 0.0 => rate,
            _ => {
                return self.wrong(
                    &top("[load]"),
                    "load: one of of_capacity and per_second, more than nothing",
                );
            }
        };
        if per_second > 200_000.0 {
            return self.wrong(
                &top("per_second"),
                format!("load: {per_second:.0} commands a second are too many"),
            );
        }
        let (mut changes, length) = (Vec::new(), told.length.0);
        let fleet = self.fleet(&told)?;
        let talks = |fault: &Fault| fleet.is_some() && of_fleet(fault.kind);
        for fault in told.fault.iter().filter(|fault| !talks(fault.get_ref())) {
            let n = changes.len();
            self.changes(fault, &told, &endpoints, &zones, &verbs, &mut changes)?;
            if changes[n..].iter().any(|(at, _)| *at > length * 2) {
                return self.wrong(&fault.span(), "fault: goes on long after the day");
            }
        }
        changes.sort_by_key(|(at, _)| *at);
        let needs = changes.iter().any(|(_, c)| {
            matches!(
                c,
                ScheduledChange::SidecarStop(_)
                    | ScheduledChange::SidecarReload(_)
                    | ScheduledChange::SidecarUpgrade(_)
                    | ScheduledChange::SidecarReconfigure(..)
            )
        });
        if needs && told.sockets != Some(SocketMode::Required) {
            return self.wrong(
                &(0..0),
                "sockets = \"needed\" is missing: a fault here is one of processes",
            );
        }
        let mut policies: Vec<String> = Vec::new();
        for name in &told.policies {
            if !POLICIES.contains(&name.get_ref().as_str()) {
                let known = POLICIES.join(", ");
                return self.wrong(
                    &name.span(),
                    format!("policies: unknown '{}'; there are {known}", name.get_ref()),
                );
            }
            policies.push(name.get_ref().clone());
        }
        if policies.is_empty() {
            let all = POLICIES
                .iter()
                .filter(|p| **p != "passroad-routes" || told.routes.is_some());
            policies = all.map(|p| p.to_string()).collect();
        }
        let holds = told
            .hold
            .iter()
            .map(|hold| self.hold(hold, &told, &verbs, &zones, &policies));
        let holds = holds.collect::<Result<Vec<_>, ConfigError>>()?;
        let of: f64 = told
            .company
            .iter()
            .map(|c| c.share.unwrap_or(c.portion))
            .sum();
        let companies = told
            .company
            .iter()
            .map(|c| (c.name.clone(), c.portion, c.share.unwrap_or(c.portion) / of));
        let a = &told.allowed;
        let ns = |time: HumanDuration| time.0.as_nanos() as u64;
        let make = &endpoints[0].spec;
        let plan = Plan {
            seeds: told.seeds.clone(),
            length,
            settle: told.settle.0,
            instances: told.instances,
            socket_mode: told.sockets,
            kinds,
            crash_listed_after: told.fleet.noticed.map_or(Duration::from_secs(2), |t| t.0),
            restart_after: told.fleet.restart.map_or(Duration::from_secs(5), |t| t.0),
            tenants: companies.collect(),
            per_second,
            instance_skew: told.load.uneven,
            load_steps: told.load.steps.iter().map(|s| (s.at.0, s.factor)).collect(),
            retry_share: told.load.retries.0,
            retries_marked: told.load.marked,
            max_tries: told.load.tries.max(1),
            retry_pause: told.load.pause.0,
            round_trip: told.network.round_trip.0,
            cross_zone_extra: told.network.cross_zone.0,
            max_relays: a.relays,
            retry_after: a.retry_after.0,
            connect_timeout: a.connect.0,
            idle_close: a.idle_close.0,
            drain_grace: a.grace.0,
            changes,
            expectations: holds,
            policies,
            report_mode: a.reports,
            allowed: json!({
                "max_relays": a.relays, "may_cancel": a.recall, "probes": a.probes,
                "second_copies": a.second_copies, "retry_after": !a.retry_after.0.is_zero(),
                "max_retry_after": ns(a.retry_after), "connect_timeout": ns(a.connect),
                "idle_close": ns(a.idle_close), "streams_per_conn": 1, "may_tell": told.peers.is_some(),
            }),
            prices: json!({
                "probe": a.probe_price, "cross_zone": a.cross_zone_price, "handshake": a.handshake_price,
            }),
            rules: json!({
                "ask_every": ns(a.ask_every), "cold_from": make.cold_capacity,
                "warm_within": make.warm_up_time.as_nanos() as u64, "tip_multiple": make.overload_multiple,
                "tip_after": make.overload_window.as_nanos() as u64,
            }),
            goal: json!({ "whole": told.goal.whole, "worst_class": told.goal.worst_verb }),
            about: told.about,
            routes: told.routes.as_ref().map(|r| r.get_ref().clone()),
            fleet,
            zones,
            endpoints,
            classes: verbs,
        };
        // What is wrong in the routes is named by its own line there, and by where they stand here.
        if let Some(routes) = &told.routes {
            let orders = passroad_orders::config_from_value(1, &plan.settings(0));
            let read =
                orders.map(|orders| passroad_routes::parse_routes(routes.get_ref(), &orders));
            if let Ok(Err(wrong)) = read {
                return self.wrong(&routes.span(), format!("routes: {wrong}"));
            }
        }
        Ok(plan)
    }

    /// Sidecars that talk, and the faults between them.
    fn fleet(&self, told: &Text) -> Result<Option<FleetPlan>, ConfigError> {
        let Some(spanned) = &told.peers else {
            let alone = |fault: &&Spanned<Fault>| {
                of_fleet(fault.get_ref().kind) && !of_processes(fault.get_ref().kind)
                    || fault.get_ref().whom.is_some()
            };
            return match told.fault.iter().find(alone) {
                Some(fault) => {
                    self.wrong(&fault.span(), "fault: needs sidecars that talk, [peers]")
                }
                None => Ok(None),
            };
        };
        let (peers, place) = (spanned.get_ref(), spanned.span());
        if peers.duty.is_empty() && peers.work.is_none()
            || peers.lease.0 < Duration::from_millis(200)
        {
            return self.wrong(&place, "peers: a duty, and a lease of 200ms at least");
        }
        if peers.voters.is_multiple_of(2) || peers.voters > 7 {
            return self.wrong(&place, "peers: voters is 1, 3, 5 or 7");
        }
        let most = peers.lease.0.mul_f64(0.95 * 2.0 / 3.0) - peers.lease.0 / 20;
        if let Some(duty) = peers
            .duty
            .iter()
            .find(|d| d.within.0.is_zero() || d.within.0 > most || d.work > d.within)
        {
            return self.wrong(
                &place,
                format!("peers: within of {}: from its work to {most:?}", duty.name),
            );
        }
        let work = match &peers.work {
            None => None,
            Some(work) => {
                let count: usize = told
                    .fleet
                    .group
                    .iter()
                    .map(|group| group.get_ref().count)
                    .sum();
                let odd = |r: &WorkRequest| {
                    r.instance >= told.instances
                        || r.endpoints.is_empty()
                        || r.endpoints.iter().any(|e| *e >= count)
                };
                if work.request.is_empty() || work.at_once == 0 || work.request.iter().any(odd) {
                    return self.wrong(
                        &place,
                        "peers.work: a request, of endpoints and an instance that there are",
                    );
                }
                if told.sockets != Some(SocketMode::Required) {
                    return self.wrong(&place, "peers.work: sockets = \"needed\" is missing");
                }
                let requests = work
                    .request
                    .iter()
                    .map(|r| (r.at.0, r.instance, r.endpoints.clone()));
                Some(WorkPlan {
                    lasts: work.lasts.0,
                    at_once: work.at_once,
                    requests: requests.collect(),
                })
            }
        };
        let duties = peers.duty.iter().map(|d| DutyPlan {
            name: d.name.clone(),
            every: d.every.0,
            within: d.within.0,
            work: d.work.0,
        });
        let mut faults = Vec::new();
        for fault in told
            .fault
            .iter()
            .filter(|fault| of_fleet(fault.get_ref().kind))
        {
            let (f, place) = (fault.get_ref(), fault.span());
            for (key, list) in [
                ("instances", &f.instances),
                ("from", &f.from),
                ("to", &f.to),
            ] {
                if let Some(n) = list.iter().flatten().find(|n| **n >= told.instances) {
                    return self.wrong(
                        &place,
                        format!("{key}: there is no {n}, the last is {}", told.instances - 1),
                    );
                }
            }
            let name = format!("{:?}", f.kind);
            let between = name.starts_with("Peers");
            if f.instances.is_some() && between || !between && (f.from.is_some() || f.to.is_some())
            {
                return self.wrong(
                    &place,
                    "fault: between sidecars by from and to, of sidecars by instances",
                );
            }
            if f.whom.is_some() && (f.instances.is_some() || f.from.is_some()) {
                return self.wrong(&place, "fault: whom beside a list of the same");
            }
            let need = |share: Option<Ratio>| match share {
                Some(share) => Ok(share.0),
                None => self.wrong(&place, "fault: share is missing"),
            };
            let what = match f.kind {
                FaultKind::PeersCut => What::Cut {
                    out: f.one_way != Some(OneWay::Back),
                    back: f.one_way != Some(OneWay::Out),
                },
                FaultKind::PeersLose => What::Lose(need(f.share)?),
                FaultKind::PeersTwice => What::Twice(need(f.share)?),
                FaultKind::PeersLate => match f.by {
                    Some(by) => What::Late {
                        by: by.0,
                        spread: f.spread.unwrap_or_default().0,
                    },
                    None => return self.wrong(&place, "fault peers-late: by is missing"),
                },
                FaultKind::PeersKeep => What::Keep,
                FaultKind::SidecarPause => What::Pause,
                FaultKind::SidecarKill => What::Kill,
                FaultKind::SidecarStop => What::Stop,
                _ => What::ActsKeep,
            };
            if f.one_way.is_some() && f.kind != FaultKind::PeersCut {
                return self.wrong(&place, "one_way: of peers-cut only");
            }
            let ends = matches!(what, What::Pause | What::Keep | What::ActsKeep);
            if ends && f.lasts.is_none() {
                return self.wrong(
                    &place,
                    "fault: for is missing; what is stopped or kept has to end",
                );
            }
            let whom = match (f.whom, f.instances.clone().or(f.from.clone())) {
                (Some(FaultTarget::Owner), _) => Whom::Owner,
                (Some(FaultTarget::Minority), _) => Whom::Minority,
                (Some(FaultTarget::Voters), _) => Whom::Voters,
                (None, list) => Whom::These(list.unwrap_or_else(|| (0..told.instances).collect())),
            };
            let every = f.every.map_or(Duration::ZERO, |t| t.0);
            for round in 0..f.repeat.unwrap_or(1).clamp(1, 1000) {
                // One after the other, where all are to be replaced in turn.
                let all: Vec<Whom> = match (&whom, f.repeat) {
                    (Whom::These(list), None) if !every.is_zero() => {
                        list.iter().map(|n| Whom::These(vec![*n])).collect()
                    }
                    _ => vec![whom.clone()],
                };
                for (n, whom) in all.into_iter().enumerate() {
                    let from = f.at.0 + every * (round + n) as u32;
                    let to = f.lasts.map(|span| from + span.0);
                    faults.push(FleetFault {
                        from,
                        to,
                        whom,
                        others: f.to.clone(),
                        what,
                    });
                }
            }
        }
        faults.sort_by_key(|fault| fault.from);
        Ok(Some(FleetPlan {
            lease: peers.lease.0,
            period: peers.period.0,
            voters: peers.voters,
            state: peers.state,
            duties: duties.collect(),
            faults,
            fence: peers.fence,
            work,
        }))
    }

    fn endpoints(
        &self,
        fleet: &Fleet,
        kinds: &[String],
    ) -> Result<(Vec<String>, Vec<EndpointPlan>), ConfigError> {
        let (mut zones, mut endpoints) = (Vec::<String>::new(), Vec::new());
        for spanned in &fleet.group {
            let (group, place) = (spanned.get_ref(), spanned.span());
            let Some(kind) = kinds.iter().position(|k| *k == group.kind) else {
                let known = kinds.join(", ");
                return self.wrong(
                    &place,
                    format!("kind: unknown '{}'; there are {known}", group.kind),
                );
            };
            let told = &fleet.kind[&group.kind];
            if told.cores == 0 || told.speed <= 0.0 || group.weight <= 0.0 {
                let what = format!(
                    "kind {}: cores, speed and weight are more than nothing",
                    group.kind
                );
                return self.wrong(&place, what);
            }
            let zone = zones
                .iter()
                .position(|z| *z == group.zone)
                .unwrap_or_else(|| {
                    zones.push(group.zone.clone());
                    zones.len() - 1
                });
            for n in 0..group.count {
                let make = EndpointSpec {
                    cores: told.cores,
                    speed: told.speed,
                    queue_limit: told.queue,
                    slowdown_queue_length: told.drag_from,
                    slowdown_speed: told.drag.0,
                    cold_capacity: told.cold_from.0.max(0.01),
                    warm_up_time: told.warm_within.0,
                    overload_multiple: told.tip_multiple,
                    overload_window: told.tip_after.0,
                    crashes_on_overload: told.tips,
                    stops_cancelled: told.drops_recalled,
                    max_connections: told.most_links,
                    connection_work: told.link_work.0.as_secs_f64(),
                    report_age: told.report_age.0,
                };
                let cell = n % group.cells.max(1);
                endpoints.push(EndpointPlan {
                    spec: make,
                    kind,
                    zone,
                    cell,
                    weight: group.weight,
                });
            }
        }
        match endpoints.len() {
            1..=5000 => Ok((zones, endpoints)),
            n => self.wrong(
                &self.at_key(0, "count"),
                format!("fleet: {n} endpoints; from 1 to 5000"),
            ),
        }
    }

    fn verbs(&self, told: &[Spanned<Verb>]) -> Result<Vec<ClassPlan>, ConfigError> {
        let mut verbs: Vec<ClassPlan> = Vec::new();
        for spanned in told {
            let (v, place) = (spanned.get_ref(), spanned.span());
            let odd = v.name.is_empty()
                || !v
                    .name
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b == b'-');
            if odd || verbs.iter().any(|known| known.name == v.name) {
                return self.wrong(
                    &place,
                    format!(
                        "name: '{}' is taken, or not of letters, digits and -",
                        v.name
                    ),
                );
            }
            if v.goal > v.limit {
                return self.wrong(&place, format!("goal of {}: longer than its limit", v.name));
            }
            if v.work.0.is_zero() || v.share < 0.0 || !(0.0..=3.0).contains(&v.spread) {
                return self.wrong(
                    &place,
                    format!("{}: work, share or spread out of bounds", v.name),
                );
            }
            if v.effect == Effect::Keyed && v.window.0.is_zero() {
                return self.wrong(
                    &place,
                    format!("window of {}: a receipted verb needs one", v.name),
                );
            }
            verbs.push(ClassPlan {
                name: v.name.clone(),
                effect: v.effect,
                deduplication_scope: v.group,
                deduplication_window: v.window.0,
                mean_work: v.work.0.as_secs_f64(),
                work_sigma: v.spread,
                deadline_target: v.goal.0,
                time_limit: v.limit.0,
                utility: v.utility,
                late_utility: v.late_utility,
                share: v.share,
            });
        }
        if verbs.iter().all(|v| v.share <= 0.0) {
            return self.wrong(&(0..0), "verb: none with a share of the load");
        }
        Ok(verbs)
    }

    /// What a fault comes to, one change after the other.
    fn changes(
        &self,
        fault: &Spanned<Fault>,
        told: &Text,
        endpoints: &[EndpointPlan],
        zones: &[String],
        verbs: &[ClassPlan],
        out: &mut Vec<(Duration, ScheduledChange)>,
    ) -> Result<(), ConfigError> {
        let (f, place) = (fault.get_ref(), fault.span());
        let kind = format!("{:?}", f.kind).to_lowercase();
        let need = |what: Option<Ratio>, key: &str| match what {
            Some(share) => Ok(share.0),
            None => self.wrong(&place, format!("fault {kind}: {key} is missing")),
        };
        if let Some(n) = f
            .endpoints
            .iter()
            .flatten()
            .find(|n| **n >= endpoints.len())
        {
            return self.wrong(
                &place,
                format!(
                    "endpoints: there is no {n}, the last is {}",
                    endpoints.len() - 1
                ),
            );
        }
        if let Some(n) = f.instances.iter().flatten().find(|n| **n >= told.instances) {
            return self.wrong(
                &place,
                format!(
                    "instances: there is no {n}, the last is {}",
                    told.instances - 1
                ),
            );
        }
        let zone = match &f.zone {
            None => None,
            Some(name) => match zones.iter().position(|z| z == name) {
                Some(zone) => Some(zone),
                None => return self.wrong(&place, format!("zone: unknown '{name}'")),
            },
        };
        let named = |n: &usize| f.endpoints.as_ref().is_none_or(|list| list.contains(n));
        let at: Vec<usize> = (0..endpoints.len())
            .filter(|n| named(n) && zone.is_none_or(|zone| endpoints[*n].zone == zone))
            .collect();
        let of: Vec<usize> = f
            .instances
            .clone()
            .unwrap_or_else(|| (0..told.instances).collect());
        let lasts = f.lasts.map(|t| t.0);
        if f.repeat.is_some() && f.every.is_none() {
            return self.wrong(&place, format!("fault {kind}: repeat needs every"));
        }
        let every = f.every.map_or(Duration::ZERO, |t| t.0);
        for round in 0..f.repeat.unwrap_or(1).clamp(1, 1000) {
            let from = f.at.0
                + if f.kind == FaultKind::Deploy {
                    Duration::ZERO
                } else {
                    every * round as u32
                };
            let to = lasts.map(|span| from + span);
            let mut both = |on: ScheduledChange, off: ScheduledChange| {
                out.push((from, on));
                out.extend(to.map(|to| (to, off)));
            };
            for e in at.iter().copied() {
                let mut trouble = |on: FaultChange, off: FaultChange| {
                    both(
                        ScheduledChange::EndpointFault(e, on),
                        ScheduledChange::EndpointFault(e, off),
                    )
                };
                match f.kind {
                    FaultKind::Stall => {
                        trouble(FaultChange::Stalled(true), FaultChange::Stalled(false))
                    }
                    FaultKind::Slow => trouble(
                        FaultChange::SpeedLeft(need(f.left, "left")?),
                        FaultChange::SpeedLeft(1.0),
                    ),
                    FaultKind::Errors => trouble(
                        FaultChange::ErrorShare(need(f.share, "share")?),
                        FaultChange::ErrorShare(0.0),
                    ),
                    FaultKind::Spoil => trouble(
                        FaultChange::MalformedShare(need(f.share, "share")?),
                        FaultChange::MalformedShare(0.0),
                    ),
                    FaultKind::Reset => trouble(
                        FaultChange::ResetShare(need(f.share, "share")?),
                        FaultChange::ResetShare(0.0),
                    ),
                    FaultKind::Lies => trouble(
                        FaultChange::ReportsIdle(true),
                        FaultChange::ReportsIdle(false),
                    ),
                    FaultKind::Hang => {
                        let name = f.verb.clone().unwrap_or_default();
                        let Some(verb) = verbs.iter().position(|v| v.name == name) else {
                            return self.wrong(&place, format!("verb: unknown '{name}'"));
                        };
                        trouble(
                            FaultChange::ClassHangs(verb, true),
                            FaultChange::ClassHangs(verb, false),
                        );
                    }
                    FaultKind::Silence => {
                        let instances: Vec<bool> =
                            (0..told.instances).map(|n| of.contains(&n)).collect();
                        let cut = |on| ScheduledChange::NetworkCut {
                            endpoint: e,
                            instances: instances.clone(),
                            on,
                        };
                        both(cut(true), cut(false));
                    }
                    FaultKind::Die => both(ScheduledChange::Crash(e), ScheduledChange::Start(e)),
                    FaultKind::Cordon => both(
                        ScheduledChange::Cordon(e, true),
                        ScheduledChange::Cordon(e, false),
                    ),
                    FaultKind::Drain => both(ScheduledChange::Drain(e), ScheduledChange::Leave(e)),
                    _ => {}
                }
            }
            match f.kind {
                // One after the other: drain, end, start anew and cold.
                FaultKind::Deploy => {
                    let step = f.every.map_or(Duration::from_secs(2), |t| t.0);
                    let drains = lasts.unwrap_or(Duration::from_secs(1));
                    for (n, e) in at.iter().copied().enumerate() {
                        let from = from + step * n as u32;
                        out.push((from, ScheduledChange::Drain(e)));
                        out.push((from + drains, ScheduledChange::Crash(e)));
                        out.push((
                            from + drains + Duration::from_millis(500),
                            ScheduledChange::Start(e),
                        ));
                    }
                }
                FaultKind::DiscoveryLate => {
                    let Some(by) = f.by else {
                        return self.wrong(&place, "fault discovery-late: by is missing");
                    };
                    both(
                        ScheduledChange::DiscoveryDelay(by.0),
                        ScheduledChange::DiscoveryDelay(Duration::ZERO),
                    );
                    if let Some(spread) = f.spread {
                        both(
                            ScheduledChange::DiscoveryStagger(spread.0),
                            ScheduledChange::DiscoveryStagger(Duration::ZERO),
                        );
                    }
                }
                FaultKind::DiscoveryDown => both(
                    ScheduledChange::DiscoveryDown(true),
                    ScheduledChange::DiscoveryDown(false),
                ),
                FaultKind::DiscoveryMalformed => {
                    both(
                        ScheduledChange::DiscoveryMalformed(true),
                        ScheduledChange::DiscoveryMalformed(false),
                    );
                }
                FaultKind::SidecarKill => {
                    out.extend(of.iter().map(|n| (from, ScheduledChange::SidecarKill(*n))))
                }
                FaultKind::SidecarStop => {
                    out.extend(of.iter().map(|n| (from, ScheduledChange::SidecarStop(*n))))
                }
                FaultKind::SidecarReload => out.extend(
                    of.iter()
                        .map(|n| (from, ScheduledChange::SidecarReload(*n))),
                ),
                FaultKind::SidecarUpgrade => out.extend(
                    of.iter()
                        .map(|n| (from, ScheduledChange::SidecarUpgrade(*n))),
                ),
                FaultKind::SidecarRetune => {
                    let Some(relays) = f.relays.filter(|relays| *relays > 0) else {
                        return self
                            .wrong(&place, "fault sidecar-retune: relays is missing, or nought");
                    };
                    out.extend(
                        of.iter()
                            .map(|n| (from, ScheduledChange::SidecarReconfigure(*n, relays))),
                    );
                }
                _ if at.is_empty() => {
                    return self.wrong(&place, format!("fault {kind}: concerns no endpoint"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn hold(
        &self,
        hold: &Spanned<Hold>,
        told: &Text,
        verbs: &[ClassPlan],
        zones: &[String],
        policies: &[String],
    ) -> Result<Expectation, ConfigError> {
        let (h, place) = (hold.get_ref(), hold.span());
        for name in h.policy.iter().chain(&h.above) {
            if !policies.contains(name) {
                return self.wrong(&place, format!("policy: '{name}' is not played here"));
            }
        }
        let find = |name: &Option<String>, all: Vec<&String>, key: &str| match name {
            None => Ok(None),
            Some(name) => match all.iter().position(|known| *known == name) {
                Some(n) => Ok(Some(n)),
                None => self.wrong(&place, format!("{key}: unknown '{name}'")),
            },
        };
        let verb = find(&h.verb, verbs.iter().map(|v| &v.name).collect(), "verb")?;
        let zone = find(&h.zone, zones.iter().collect(), "zone")?;
        let asked_in = find(&h.asked_in, zones.iter().collect(), "asked_in")?;
        if h.at_least.is_none() && h.at_most.is_none() {
            return self.wrong(
                &place,
                "hold: at_least or at_most is missing; without either it can't fail",
            );
        }
        let talks = matches!(
            h.metric,
            Metric::OwnersAtOnce
                | Metric::Believers
                | Metric::StaleActs
                | Metric::StaleTries
                | Metric::Unowned
                | Metric::Acts
                | Metric::Owners
                | Metric::PeerDatagrams
                | Metric::Doubts
                | Metric::Hits
                | Metric::Worked
                | Metric::AtWork
                | Metric::WorkBroken
                | Metric::WorkTime
        );
        if talks && told.peers.is_none() {
            return self.wrong(
                &place,
                "hold: a metric of sidecars that talk, and there are no [peers]",
            );
        }
        let of_zone = matches!(
            h.metric,
            Metric::Share | Metric::Returns | Metric::Swing | Metric::Load
        );
        if of_zone != zone.is_some() {
            return self.wrong(
                &place,
                "hold: share, returns, swing and load are of a zone, and no other metric is",
            );
        }
        let window = h.from.map_or(told.settle.0, |t| t.0)..h.to.map_or(told.length.0, |t| t.0);
        if window.start >= window.end || window.end > told.length.0 {
            return self.wrong(&place, "hold: from and to leave nothing of the day");
        }
        let line = line_number(self.text, place.start);
        let name = format!("{:?}", h.metric).to_lowercase();
        let mut text = h
            .policy
            .clone()
            .filter(|p| p != "passroad")
            .map_or(name.clone(), |p| format!("{name} of {p}"));
        text.extend(h.verb.iter().map(|v| format!(" of {v}")));
        text.extend(h.zone.iter().map(|z| format!(" of zone {z}")));
        text.extend(h.asked_in.iter().map(|z| format!(" asked in zone {z}")));
        if h.from.is_some() || h.to.is_some() {
            let (a, b) = (window.start.as_secs_f64(), window.end.as_secs_f64());
            text += &format!(" from {a:.1} to {b:.1} s");
        }
        text.extend(h.above.iter().map(|p| format!(" less that of {p}")));
        Ok(Expectation {
            metric: h.metric,
            policy: h.policy.clone().unwrap_or_else(|| "passroad".into()),
            compared_policy: h.above.clone(),
            window,
            class: verb,
            zone,
            client_zone: asked_in,
            at_least: h.at_least,
            at_most: h.at_most,
            simulated_only: h.simulated || h.metric == Metric::Believers,
            line,
            label: text,
        })
    }
}

/// Faults between sidecars that talk, or of the processes of those.
fn of_fleet(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::SidecarPause
            | FaultKind::PeersCut
            | FaultKind::PeersLose
            | FaultKind::PeersLate
            | FaultKind::PeersTwice
            | FaultKind::PeersKeep
            | FaultKind::ActsKeep
    ) || of_processes(kind)
}

fn of_processes(kind: FaultKind) -> bool {
    matches!(kind, FaultKind::SidecarKill | FaultKind::SidecarStop)
}

impl Plan {
    /// How long after the plan's end the last answers may come.
    pub fn answer_tail(&self) -> Duration {
        self.classes
            .iter()
            .map(|v| v.time_limit)
            .max()
            .unwrap_or_default()
    }

    /// The settings object that a sidecar in a zone is given.
    pub fn settings(&self, zone: usize) -> serde_json::Value {
        let ns = |time: Duration| time.as_nanos() as u64;
        let verbs: Vec<_> = self
            .classes
            .iter()
            .map(|v| {
                let effect = match v.effect {
                    Effect::Safe => "read_like",
                    Effect::Keyed => "idempotency_key",
                    Effect::NonIdempotent => "non_idempotent",
                };
                let scope = match v.deduplication_scope {
                    DeduplicationScope::All => "all",
                    DeduplicationScope::Zone => "zone",
                    DeduplicationScope::Cell => "cell",
                };
                json!({
                    "name": v.name, "effect": effect, "key_scope": scope, "window": ns(v.deduplication_window),
                    "response_goal": ns(v.deadline_target), "time_limit": ns(v.time_limit), "utility": v.utility, "late_utility": v.late_utility,
                })
            })
            .collect();
        let tenants: Vec<_> = self
            .tenants
            .iter()
            .map(|(name, portion, _)| json!({ "name": name, "portion": portion }))
            .collect();
        let how = match self.report_mode {
            ReportMode::Piggyback => "piggyback",
            ReportMode::Pull => "pull",
            ReportMode::Silent => "silent",
        };
        json!({
            "verbs": verbs, "tenants": tenants, "dcs": self.zones, "az": self.zones[zone],
            "discovery": "on_request", "weights": "nominal", "report": { "how": how },
            "allowed": self.allowed, "prices": self.prices, "rules": self.rules, "goal": self.goal,
            "tick": 1_000_000, "surplus_utility": 0.5,
        })
    }

    /// How much of the load the day has at a time, against the plan's rate.
    pub fn load_factor(&self, at: Duration) -> f64 {
        self.load_steps
            .iter()
            .rev()
            .find(|(from, _)| *from <= at)
            .map_or(1.0, |(_, factor)| *factor)
    }

    /// The zone that an instance stands in.
    pub fn zone_of(&self, instance: usize) -> usize {
        instance % self.zones.len()
    }

    /// One way between an instance and an endpoint.
    pub fn one_way_delay(&self, instance: usize, endpoint: usize) -> Duration {
        let far = self.zone_of(instance) != self.endpoints[endpoint].zone;
        (self.round_trip
            + if far {
                self.cross_zone_extra
            } else {
                Duration::ZERO
            })
            / 2
    }

    pub fn report_mode(&self) -> ReportMode {
        self.report_mode
    }
}

#[cfg(test)]
pub mod tests;
