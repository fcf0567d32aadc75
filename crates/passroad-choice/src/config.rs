//! The configuration of a balancer.

use crate::interner::Interner;
use std::time::Duration;

/// What running a command of a class twice would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: a command may be sent again at any time.
    Safe,
    /// Nothing, where the endpoints drop a repeat by its idempotency key; see
    /// [`DeduplicationScope`].
    Keyed,
    /// Its effect would be doubled: a command that may have run is not sent again.
    NonIdempotent,
}

/// The endpoints that drop a repeat of a keyed command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// Those in the zone of the first endpoint.
    Zone,
    /// Those in the zone and cell of the first endpoint.
    Cell,
}

/// The configuration of a request class.
#[derive(Debug, Clone)]
pub struct RequestClassConfig {
    pub name: String,
    pub effect: Effect,
    pub deduplication_scope: DeduplicationScope,
    /// For how long endpoints drop repeats of a keyed command.
    pub deduplication_window: Duration,
    /// An answer is in time within this.
    pub deadline_target: Duration,
    /// Time that clients give a command, over all their tries.
    pub time_limit: Duration,
    /// Times the work that a command is expected to take, this is added to the deadline target.
    pub target_per_work: f64,
    /// Utility of an answer in time.
    pub utility: f64,
    /// Utility of an answer after the deadline target.
    pub late_utility: f64,
    /// Its answers are streamed; not used by the decisions.
    pub stream: bool,
    /// Zones where it may run, if not all.
    pub allowed_zones: Option<Vec<usize>>,
    /// Kinds of endpoints where it may run, if not all.
    pub allowed_kinds: Option<Vec<usize>>,
}

/// The configuration of a tenant.
#[derive(Debug, Clone)]
pub struct TenantConfig {
    pub name: String,
    /// Its share of all commands, from 0 to 1.
    pub share: f64,
}

/// The configuration of a balancer. Prices are shares of what an average command costs the service.
#[derive(Debug, Clone)]
pub struct BalancerConfig {
    /// Seed of the random draws.
    pub seed: u64,
    /// Zone of this process, as an index of `zones`.
    pub own_zone: usize,
    /// Names of all zones.
    pub zones: Vec<String>,
    /// Kinds of endpoints that classes are restricted to.
    pub kinds: Vec<String>,
    /// Request classes, which commands name by their index.
    pub classes: Vec<RequestClassConfig>,
    pub tenants: Vec<TenantConfig>,
    /// Factor on the value of a tenant's commands beyond its share, in an overload.
    pub surplus_utility: f64,
    /// Weight of all answers in time in the objective.
    pub objective_total: f64,
    /// Weight of the class that is served worst in the objective.
    pub objective_worst_class: f64,
    /// Resolution of timers.
    pub tick: Duration,
    /// Relays of one command at most, the first included.
    pub max_relays: usize,
    /// Longest pause that a refused client is told; none where no pause is told.
    pub max_retry_after: Option<Duration>,
    /// Endpoints may be probed.
    pub probes_allowed: bool,
    /// Relays in flight may be cancelled.
    pub cancellation_allowed: bool,
    /// Slow relays may be hedged.
    pub hedging_allowed: bool,
    /// The endpoint list is requested, not pushed.
    pub list_on_request: bool,
    /// How endpoints report their load.
    pub report_mode: ReportMode,
    /// Listed weights fall with the load of an endpoint.
    pub live_weights: bool,
    /// An endpoint does less work for a key that it met lately.
    pub warm_keys: bool,
    /// Price of a probe.
    pub probe_price: f64,
    /// Price of a relay to another zone.
    pub cross_zone_price: f64,
    /// Price of a new connection.
    pub handshake_price: f64,
    /// Idle connections are closed after this.
    pub idle_close: Duration,
    /// Relays that one connection carries at a time.
    pub streams_per_connection: usize,
    /// Usual time between requests for the endpoint list.
    pub list_poll_interval: Duration,
    /// How long a draining endpoint still serves what reaches it.
    pub drain_grace: Duration,
    /// Capacity of an endpoint that has just started, against a warm one.
    pub cold_capacity: f64,
    /// Time from the start of an endpoint until it is warm.
    pub warm_up_time: Duration,
    /// An endpoint fails under this multiple of the load that it can carry...
    pub overload_multiple: f64,
    /// ...when the load lasts for this time.
    pub overload_window: Duration,
}

impl BalancerConfig {
    /// Replaces indices of zones and kinds by those that the interners give their names. An index
    /// without a name becomes one that no endpoint has.
    pub fn intern_names(&mut self, zones: &mut Interner<String>, kinds: &mut Interner<String>) {
        let zone_indices: Vec<usize> = self.zones.iter().map(|zone| zones.intern(zone)).collect();
        let kind_indices: Vec<usize> = self.kinds.iter().map(|kind| kinds.intern(kind)).collect();
        self.own_zone = zone_indices
            .get(self.own_zone)
            .copied()
            .unwrap_or(usize::MAX);
        for class in &mut self.classes {
            for (allowed, indices) in [
                (&mut class.allowed_zones, &zone_indices),
                (&mut class.allowed_kinds, &kind_indices),
            ] {
                allowed
                    .iter_mut()
                    .flatten()
                    .for_each(|index| *index = indices.get(*index).copied().unwrap_or(usize::MAX));
            }
        }
    }
}

/// How endpoints report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportMode {
    /// With each answer, those to probes included.
    Piggyback,
    /// With answers to probes only.
    Pull,
    /// Not at all.
    Silent,
}
