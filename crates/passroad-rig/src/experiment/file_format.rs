//! The format of experiment files: their sections, keys and values with the defaults. Names differ from the file's where an
//! attribute says so.

use passroad_units::{HumanDuration, Ratio};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use toml::Spanned;

/// A whole file.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct ExperimentFile {
    pub(super) about: String,
    #[serde(default = "default_seeds")]
    pub(super) seeds: Vec<u64>,
    pub(super) length: HumanDuration,
    #[serde(default)]
    pub(super) settle: HumanDuration,
    #[serde(default = "default_instances")]
    pub(super) instances: usize,
    #[serde(default, rename = "sockets")]
    pub(super) socket_mode: Option<SocketMode>,
    #[serde(default)]
    pub(super) routes: Option<Spanned<String>>,
    pub(super) fleet: FleetSection,
    #[serde(rename = "verb")]
    pub(super) classes: Vec<Spanned<ClassSection>>,
    #[serde(default, rename = "company")]
    pub(super) tenants: Vec<TenantSection>,
    pub(super) load: LoadSection,
    #[serde(default)]
    pub(super) network: NetworkSection,
    #[serde(default)]
    pub(super) allowed: AllowedSection,
    #[serde(default, rename = "goal")]
    pub(super) objective: ObjectiveSection,
    #[serde(default)]
    pub(super) peers: Option<Spanned<PeersSection>>,
    #[serde(default, rename = "fault")]
    pub(super) faults: Vec<Spanned<FaultSection>>,
    #[serde(default, rename = "hold")]
    pub(super) expectations: Vec<Spanned<ExpectationSection>>,
    #[serde(default)]
    pub(super) policies: Vec<Spanned<String>>,
}

fn default_seeds() -> Vec<u64> {
    vec![1]
}

fn default_instances() -> usize {
    5
}

fn default_voters() -> usize {
    5
}

/// Whether an experiment runs on sockets or in virtual time.
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

/// `[fleet]`: the kinds and groups of endpoints.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetSection {
    #[serde(default, rename = "noticed")]
    pub(super) crash_listed_after: Option<HumanDuration>,
    #[serde(default, rename = "restart")]
    pub(super) restart_after: Option<HumanDuration>,
    #[serde(rename = "kind")]
    pub(super) kinds: BTreeMap<String, KindSection>,
    #[serde(rename = "group")]
    pub(super) groups: Vec<Spanned<GroupSection>>,
}

/// `[fleet.kind.NAME]`: the properties of endpoints of a kind, as in [`crate::model::EndpointSpec`].
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct KindSection {
    pub(super) cores: usize,
    #[serde(default = "default_one")]
    pub(super) speed: f64,
    #[serde(default = "default_queue_limit", rename = "queue")]
    pub(super) queue_limit: usize,
    #[serde(default, rename = "drag_from")]
    pub(super) slowdown_queue_length: usize,
    #[serde(default = "default_slowdown_speed", rename = "drag")]
    pub(super) slowdown_speed: Ratio,
    #[serde(default = "default_cold_capacity", rename = "cold_from")]
    pub(super) cold_capacity: Ratio,
    #[serde(default, rename = "warm_within")]
    pub(super) warm_up_time: HumanDuration,
    #[serde(default = "default_overload_multiple", rename = "tip_multiple")]
    pub(super) overload_multiple: f64,
    #[serde(default = "default_overload_window", rename = "tip_after")]
    pub(super) overload_window: HumanDuration,
    #[serde(default = "default_true", rename = "tips")]
    pub(super) crashes_on_overload: bool,
    #[serde(default = "default_true", rename = "drops_recalled")]
    pub(super) stops_cancelled: bool,
    #[serde(default = "default_max_connections", rename = "most_links")]
    pub(super) max_connections: usize,
    #[serde(default, rename = "link_work")]
    pub(super) connection_work: HumanDuration,
    #[serde(default)]
    pub(super) report_age: HumanDuration,
}

fn default_one() -> f64 {
    1.0
}
fn default_queue_limit() -> usize {
    16
}
fn default_slowdown_speed() -> Ratio {
    Ratio(0.7)
}
fn default_cold_capacity() -> Ratio {
    Ratio(0.13)
}
fn default_overload_multiple() -> f64 {
    2.5
}
fn default_overload_window() -> HumanDuration {
    HumanDuration(Duration::from_secs(2))
}
fn default_true() -> bool {
    true
}
fn default_max_connections() -> usize {
    120
}

/// `[[fleet.group]]`: a number of endpoints of one kind in one zone.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct GroupSection {
    pub(super) kind: String,
    #[serde(default = "default_zone")]
    pub(super) zone: String,
    pub(super) count: usize,
    #[serde(default = "default_count")]
    pub(super) cells: usize,
    #[serde(default = "default_one")]
    pub(super) weight: f64,
}

fn default_zone() -> String {
    "a".into()
}
fn default_count() -> usize {
    1
}

/// `[[verb]]`: a request class.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassSection {
    pub(super) name: String,
    pub(super) effect: Effect,
    #[serde(default, rename = "group")]
    pub(super) deduplication_scope: DeduplicationScope,
    #[serde(default, rename = "window")]
    pub(super) deduplication_window: HumanDuration,
    #[serde(rename = "work")]
    pub(super) mean_work: HumanDuration,
    #[serde(default, rename = "spread")]
    pub(super) work_sigma: f64,
    #[serde(rename = "goal")]
    pub(super) deadline_target: HumanDuration,
    #[serde(rename = "limit")]
    pub(super) time_limit: HumanDuration,
    #[serde(default = "default_one")]
    pub(super) utility: f64,
    #[serde(default)]
    pub(super) late_utility: f64,
    #[serde(default = "default_one")]
    pub(super) share: f64,
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

/// `[[company]]`: a tenant. Its share of the load is that of the service where the file has none.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct TenantSection {
    pub(super) name: String,
    #[serde(rename = "portion")]
    pub(super) tenant_share: f64,
    #[serde(default, rename = "share")]
    pub(super) load_share: Option<f64>,
}

/// `[load]`: the rate of first tries, as a share of capacity or per second, and how clients retry.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct LoadSection {
    #[serde(default)]
    pub(super) of_capacity: Option<f64>,
    #[serde(default)]
    pub(super) per_second: Option<f64>,
    #[serde(default, rename = "uneven")]
    pub(super) instance_skew: f64,
    #[serde(default)]
    pub(super) steps: Vec<LoadStep>,
    #[serde(default, rename = "retries")]
    pub(super) retry_share: Ratio,
    #[serde(default, rename = "marked")]
    pub(super) retries_marked: bool,
    #[serde(default = "default_max_tries", rename = "tries")]
    pub(super) max_tries: u32,
    #[serde(default = "default_retry_pause", rename = "pause")]
    pub(super) retry_pause: HumanDuration,
}

fn default_max_tries() -> u32 {
    3
}
fn default_retry_pause() -> HumanDuration {
    HumanDuration(Duration::from_millis(200))
}

/// From a time on, the load has a factor over its rate.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct LoadStep {
    pub(super) at: HumanDuration,
    pub(super) factor: f64,
}

/// `[network]`: round-trip times.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields, default)]
pub(super) struct NetworkSection {
    pub(super) round_trip: HumanDuration,
    #[serde(rename = "cross_zone")]
    pub(super) cross_zone_extra: HumanDuration,
}

impl Default for NetworkSection {
    fn default() -> Self {
        NetworkSection {
            round_trip: HumanDuration(Duration::from_millis(1)),
            cross_zone_extra: HumanDuration(Duration::ZERO),
        }
    }
}

/// `[allowed]`: what the balancer may do, its timeouts and its prices.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields, default)]
pub(super) struct AllowedSection {
    #[serde(rename = "relays")]
    pub(super) max_relays: usize,
    pub(super) probes: bool,
    #[serde(rename = "reports")]
    pub(super) report_mode: ReportMode,
    #[serde(rename = "second_copies")]
    pub(super) hedging: bool,
    #[serde(rename = "recall")]
    pub(super) cancellation: bool,
    pub(super) retry_after: HumanDuration,
    #[serde(rename = "connect")]
    pub(super) connect_timeout: HumanDuration,
    pub(super) idle_close: HumanDuration,
    #[serde(rename = "ask_every")]
    pub(super) list_poll_interval: HumanDuration,
    #[serde(rename = "grace")]
    pub(super) drain_grace: HumanDuration,
    pub(super) probe_price: f64,
    pub(super) cross_zone_price: f64,
    pub(super) handshake_price: f64,
}

impl Default for AllowedSection {
    fn default() -> Self {
        AllowedSection {
            max_relays: 4,
            probes: true,
            report_mode: ReportMode::Piggyback,
            hedging: true,
            cancellation: true,
            retry_after: HumanDuration(Duration::from_millis(1500)),
            connect_timeout: HumanDuration(Duration::from_millis(250)),
            idle_close: HumanDuration(Duration::from_secs(30)),
            list_poll_interval: HumanDuration(Duration::from_secs(10)),
            drain_grace: HumanDuration(Duration::from_millis(500)),
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

/// `[goal]`: the weights of the whole service's utility and of the worst class.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields, default)]
pub(super) struct ObjectiveSection {
    #[serde(rename = "whole")]
    pub(super) total: f64,
    #[serde(rename = "worst_verb")]
    pub(super) worst_class: f64,
}

impl Default for ObjectiveSection {
    fn default() -> Self {
        ObjectiveSection {
            total: 1.0,
            worst_class: 0.0,
        }
    }
}

/// Sidecars that exchange messages, and the leased roles that one of them is to have at a time.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct PeersSection {
    pub(super) lease: HumanDuration,
    #[serde(default = "default_period")]
    pub(super) period: HumanDuration,
    #[serde(default = "default_voters")]
    pub(super) voters: usize,
    #[serde(default)]
    pub(super) state: bool,
    #[serde(default = "default_true")]
    pub(super) fence: bool,
    #[serde(default, rename = "duty")]
    pub(super) leased_roles: Vec<LeasedRole>,
    #[serde(default, rename = "work")]
    pub(super) maintenance: Option<MaintenanceSection>,
}

/// Requests for maintenance of endpoints, and how long the work on one takes.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct MaintenanceSection {
    #[serde(rename = "lasts")]
    pub(super) duration: HumanDuration,
    #[serde(default = "default_count")]
    pub(super) at_once: usize,
    #[serde(rename = "request")]
    pub(super) requests: Vec<MaintenanceRequest>,
}

/// `[[peers.work.request]]`: a request for maintenance at one instance.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct MaintenanceRequest {
    pub(super) at: HumanDuration,
    pub(super) instance: usize,
    pub(super) endpoints: Vec<usize>,
}

fn default_period() -> HumanDuration {
    HumanDuration(Duration::from_secs(1))
}

/// `[[peers.duty]]`: a leased role and the calls that its owner makes.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct LeasedRole {
    pub(super) name: String,
    pub(super) every: HumanDuration,
    pub(super) within: HumanDuration,
    #[serde(default)]
    pub(super) work: HumanDuration,
}

/// Sidecars that a fault hits, where they are known only when it begins.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(super) enum FaultTarget {
    Owner,
    Minority,
    Voters,
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(super) enum OneWay {
    Out,
    Back,
}

/// `[[fault]]`: a fault, when it happens and what it hits.
#[derive(Deserialize, Debug, Clone)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultSection {
    pub(super) kind: FaultKind,
    pub(super) at: HumanDuration,
    #[serde(default, rename = "for")]
    pub(super) duration: Option<HumanDuration>,
    #[serde(default)]
    pub(super) endpoints: Option<Vec<usize>>,
    #[serde(default)]
    pub(super) zone: Option<String>,
    #[serde(default)]
    pub(super) instances: Option<Vec<usize>>,
    #[serde(default)]
    pub(super) share: Option<Ratio>,
    #[serde(default, rename = "left")]
    pub(super) speed_left: Option<Ratio>,
    #[serde(default, rename = "verb")]
    pub(super) class: Option<String>,
    #[serde(default, rename = "by")]
    pub(super) delay: Option<HumanDuration>,
    #[serde(default)]
    pub(super) every: Option<HumanDuration>,
    #[serde(default, rename = "repeat")]
    pub(super) repetitions: Option<usize>,
    #[serde(default, rename = "relays")]
    pub(super) max_relays: Option<usize>,
    #[serde(default, rename = "whom")]
    pub(super) target: Option<FaultTarget>,
    #[serde(default, rename = "from")]
    pub(super) from_instances: Option<Vec<usize>>,
    #[serde(default, rename = "to")]
    pub(super) to_instances: Option<Vec<usize>>,
    #[serde(default)]
    pub(super) one_way: Option<OneWay>,
    #[serde(default, rename = "spread")]
    pub(super) delay_spread: Option<HumanDuration>,
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Endpoints make no progress.
    Stall,
    /// Endpoints have a share of their speed left.
    Slow,
    /// Endpoints answer a share of jobs with an error.
    Errors,
    /// Endpoints answer a share of jobs with a malformed response.
    #[serde(rename = "spoil")]
    MalformedResponses,
    /// Endpoints reset the connection of a share of jobs.
    #[serde(rename = "reset")]
    Resets,
    /// Jobs of a class never end.
    Hang,
    /// Endpoints report that they are idle.
    #[serde(rename = "lies")]
    FalseLoadReports,
    /// No packet passes between instances and endpoints.
    #[serde(rename = "silence")]
    NetworkCut,
    /// Endpoints crash, and start again at the end of the fault.
    #[serde(rename = "die")]
    Crash,
    /// Endpoints drain, and leave at the end of the fault.
    Drain,
    /// Operators cordon endpoints at all sidecars.
    Cordon,
    /// Endpoints are drained, stopped and started again, one after the other.
    Deploy,
    DiscoveryLate,
    DiscoveryDown,
    DiscoveryMalformed,
    SidecarKill,
    SidecarStop,
    SidecarReload,
    SidecarUpgrade,
    #[serde(rename = "sidecar-retune")]
    SidecarReconfigure,
    SidecarPause,
    PeersCut,
    PeersLose,
    PeersLate,
    #[serde(rename = "peers-twice")]
    PeersDuplicate,
    #[serde(rename = "peers-keep")]
    PeersBuffer,
    #[serde(rename = "acts-keep")]
    ActsBuffer,
}

impl FaultKind {
    /// The value that files have for it.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Stall => "stall",
            FaultKind::Slow => "slow",
            FaultKind::Errors => "errors",
            FaultKind::MalformedResponses => "spoil",
            FaultKind::Resets => "reset",
            FaultKind::Hang => "hang",
            FaultKind::FalseLoadReports => "lies",
            FaultKind::NetworkCut => "silence",
            FaultKind::Crash => "die",
            FaultKind::Drain => "drain",
            FaultKind::Cordon => "cordon",
            FaultKind::Deploy => "deploy",
            FaultKind::DiscoveryLate => "discovery-late",
            FaultKind::DiscoveryDown => "discovery-down",
            FaultKind::DiscoveryMalformed => "discovery-malformed",
            FaultKind::SidecarKill => "sidecar-kill",
            FaultKind::SidecarStop => "sidecar-stop",
            FaultKind::SidecarReload => "sidecar-reload",
            FaultKind::SidecarUpgrade => "sidecar-upgrade",
            FaultKind::SidecarReconfigure => "sidecar-retune",
            FaultKind::SidecarPause => "sidecar-pause",
            FaultKind::PeersCut => "peers-cut",
            FaultKind::PeersLose => "peers-lose",
            FaultKind::PeersLate => "peers-late",
            FaultKind::PeersDuplicate => "peers-twice",
            FaultKind::PeersBuffer => "peers-keep",
            FaultKind::ActsBuffer => "acts-keep",
        }
    }

    /// Whether it disturbs what sidecars send to each other.
    pub(super) fn is_between_peers(self) -> bool {
        matches!(
            self,
            FaultKind::PeersCut
                | FaultKind::PeersLose
                | FaultKind::PeersLate
                | FaultKind::PeersDuplicate
                | FaultKind::PeersBuffer
        )
    }
}

/// `[[hold]]`: bounds for a metric.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(super) struct ExpectationSection {
    pub(super) metric: Metric,
    #[serde(default)]
    pub(super) policy: Option<String>,
    #[serde(default, rename = "above")]
    pub(super) compared_policy: Option<String>,
    #[serde(default)]
    pub(super) from: Option<HumanDuration>,
    #[serde(default)]
    pub(super) to: Option<HumanDuration>,
    #[serde(default, rename = "verb")]
    pub(super) class: Option<String>,
    #[serde(default)]
    pub(super) zone: Option<String>,
    #[serde(default, rename = "asked_in")]
    pub(super) client_zone: Option<String>,
    #[serde(default)]
    pub(super) at_least: Option<f64>,
    #[serde(default)]
    pub(super) at_most: Option<f64>,
    /// Checked in virtual time only, as the figure depends on the machine.
    #[serde(default, rename = "simulated")]
    pub(super) simulated_only: bool,
}

/// A figure that an experiment can set bounds for. Labels in reports have the variant's name in lower case, so the variants
/// are named like the values in files.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Share of commands answered within their deadline target.
    Served,
    /// Share of the utility of commands, counting a command with its retries as one.
    Worth,
    Declined,
    Terminated,
    /// Share of commands answered after their deadline target.
    Late,
    /// Milliseconds to an answer.
    P50,
    P99,
    /// Relays per command.
    Relays,
    Probes,
    /// Violations of the service's rules.
    Broken,
    /// The most work that any cold endpoint was offered over its `tip_after`, in multiples of its capacity.
    Push,
    /// The most commands that any cold endpoint got over its `tip_after`, as a share of the bound: the number N that its
    /// settings allow then, plus 2 x sqrt(N) + 2 for chance.
    Ramp,
    /// Share of the relays that went to a zone.
    Share,
    /// Seconds from `from` until the share served is at 95 % of that before the first fault, and stays so until `to`.
    Recovers,
    /// Seconds from `from` until a zone has 90 % of the share of the relays that it had before the first fault.
    Returns,
    /// Mean change of a zone's share of the relays from one second to the next.
    Swing,
    /// Outstanding commands at the endpoints of a zone, per core.
    Load,
    /// The most and the fewest relays of an endpoint, over its fair share by size.
    Busiest,
    Idlest,
    /// Variance over mean of the relays of an endpoint in 1 s, and in 100 ms; 1 where choice is random.
    Herding,
    HerdingFast,
    /// Share of endpoint time without an outstanding command while another endpoint has a queue.
    Idle,
    /// Sidecars that sent to an endpoint, most and fewest.
    HoldersMost,
    HoldersLeast,
    /// Most open connections at one endpoint.
    LinksMost,
    /// Connections opened.
    Connections,
    /// How often per second a tenth of all sidecars chose the same endpoint within 50 ms.
    Together,
    /// Most epochs of a leased role whose accepted calls overlap in time.
    OwnersAtOnce,
    /// Most sidecars that took themselves for the owner at once; known in virtual time only.
    Believers,
    /// Calls that were accepted although a higher epoch, or another owner of the same epoch, had been accepted before.
    StaleActs,
    /// Calls refused.
    StaleTries,
    /// Longest time without an accepted call of a leased role, in seconds.
    Unowned,
    /// Calls accepted.
    Acts,
    /// Epochs with accepted calls.
    Owners,
    /// Datagrams per second of the sidecar that sent the most.
    PeerDatagrams,
    /// Suspicions that sidecars raised of others.
    Doubts,
    /// Datagrams, sidecars and calls that the faults between sidecars hit.
    Hits,
    /// Endpoints with completed maintenance.
    Worked,
    /// Most endpoints under maintenance at once.
    AtWork,
    /// Relays sent to an endpoint during maintenance on it, or on it when that began.
    WorkBroken,
    /// Longest time from a maintenance request to the end of the work on its last endpoint, in seconds.
    WorkTime,
}
