//! What is kept for each endpoint.

use super::statistics::{DecayingCount, DecayingMean, RecentOutcomes};
use crate::Outcome;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An endpoint: what the list says of it, what it reports, and what this process has seen of it.
/// Skipped fields concern this process alone and are not handed over in an upgrade.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Endpoint {
    #[serde(rename = "mark")]
    pub id_hash: u64,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    /// Weight by the list; with live weights, the highest that was listed.
    #[serde(rename = "rating")]
    pub weight: f64,
    #[serde(rename = "nominal")]
    pub max_live_weight: f64,
    /// Weight relative to the mean of the available endpoints.
    #[serde(rename = "size")]
    pub capacity: f64,
    /// The slot is given out.
    #[serde(rename = "known")]
    pub in_use: bool,
    /// Running, by the list.
    #[serde(rename = "up")]
    pub running: bool,
    /// Running and not cordoned.
    #[serde(rename = "listed")]
    pub available: bool,
    /// Removed from the list for good; a draining endpoint is not.
    #[serde(rename = "gone")]
    pub removed: bool,
    #[serde(rename = "banned")]
    pub cordoned_since: Option<Duration>,
    /// Set when a cordon is lifted: from then on the endpoint is to be tried soon.
    #[serde(rename = "owed")]
    pub trial_due: Option<Duration>,
    #[serde(skip)]
    pub in_view: bool,
    /// Its weight in each weight set, where routes give weights.
    #[serde(skip)]
    pub route_weights: Vec<f64>,
    /// Start of its process, if that is recent: it is cold for the warm-up time from then.
    #[serde(rename = "up_since")]
    pub started_at: Option<Duration>,
    /// A cold endpoint may be sent one relay until then.
    #[serde(skip)]
    pub permit_until: Duration,
    /// When its load was last reported.
    #[serde(rename = "heard")]
    pub reported_at: Option<Duration>,
    /// Commands that it holds: as last reported, with own relays sent and finished since.
    #[serde(rename = "holds")]
    pub load: f64,
    /// Share of errors that it reports.
    #[serde(rename = "errs")]
    pub error_share: f64,
    /// How far its reports agree with what it does, from 0 to 1.
    #[serde(rename = "credit")]
    pub report_credit: f64,
    /// Send times of own relays in flight.
    #[serde(skip)]
    pub in_flight: Vec<Duration>,
    pub sends: DecayingCount,
    /// Last relay, if a connection may be open since.
    #[serde(skip)]
    pub last_used: Option<Duration>,
    /// Latency relative to the usual one of each class.
    #[serde(rename = "pace")]
    pub latency: DecayingMean,
    #[serde(rename = "last")]
    pub outcomes: RecentOutcomes,
    /// The same for each class, up to the highest one seen.
    #[serde(rename = "by_verb")]
    pub outcomes_by_class: Vec<RecentOutcomes>,
    /// One bit for each of the last outcomes: a failure of a relay that may have run.
    #[serde(rename = "harm")]
    pub harmful_failures: u32,
    #[serde(rename = "harmed")]
    pub last_harmful_failure: Duration,
    /// Logged that its reports do not agree with what it does.
    #[serde(rename = "doubted")]
    pub reports_distrusted: bool,
    /// Concurrency limit when it was last changed; it decays to the usual limit.
    #[serde(rename = "limit")]
    pub concurrency_limit: f64,
    #[serde(rename = "tried")]
    pub limit_changed_at: Duration,
    #[serde(rename = "last_cut")]
    pub limit_cut_at: Duration,
    /// Set while a probe is in flight.
    #[serde(skip)]
    pub probe_sent_at: Option<Duration>,
    /// How often in a row it could not be reached.
    #[serde(rename = "misses")]
    pub times_unreachable: u32,
    /// Nothing is sent to it before then.
    #[serde(rename = "try_at")]
    pub retry_at: Duration,
}

impl Endpoint {
    /// A slot that no endpoint has.
    pub fn unused() -> Self {
        Endpoint {
            id_hash: 0,
            zone: 0,
            kind: 0,
            cell: 0,
            weight: 1.0,
            max_live_weight: 0.0,
            capacity: 1.0,
            in_use: false,
            running: false,
            available: false,
            removed: false,
            cordoned_since: None,
            trial_due: None,
            in_view: false,
            route_weights: Vec::new(),
            started_at: None,
            permit_until: Duration::ZERO,
            reported_at: None,
            load: 0.0,
            error_share: 0.0,
            report_credit: 1.0,
            in_flight: Vec::new(),
            sends: DecayingCount::default(),
            last_used: None,
            latency: DecayingMean::default(),
            outcomes: RecentOutcomes::default(),
            outcomes_by_class: Vec::new(),
            harmful_failures: 0,
            last_harmful_failure: Duration::ZERO,
            reports_distrusted: false,
            concurrency_limit: 1.0,
            limit_changed_at: Duration::ZERO,
            limit_cut_at: Duration::ZERO,
            probe_sent_at: None,
            times_unreachable: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Records one more outcome among the last `kept`, of all classes and of this one.
    pub fn record_outcome(&mut self, now: Duration, class: usize, outcome: Outcome, kept: u32) {
        let harmful = matches!(outcome, Outcome::Error | Outcome::ConnectionLost);
        self.outcomes_by_class.resize(
            self.outcomes_by_class.len().max(class + 1),
            RecentOutcomes::default(),
        );
        for outcomes in [&mut self.outcomes, &mut self.outcomes_by_class[class]] {
            outcomes.record(now, outcome, kept);
        }
        self.harmful_failures = self.harmful_failures << 1 | u32::from(harmful);
        self.last_harmful_failure = if harmful {
            now
        } else {
            self.last_harmful_failure
        };
    }

    /// Forgets outcomes, latency and pauses, and takes the endpoint out of view.
    pub fn forget_statistics(&mut self) {
        self.outcomes = RecentOutcomes::default();
        self.outcomes_by_class = Vec::new();
        self.harmful_failures = 0;
        self.latency = DecayingMean::default();
        self.times_unreachable = 0;
        self.retry_at = Duration::ZERO;
        self.limit_changed_at = Duration::ZERO;
        self.in_view = false;
    }

    /// Its process is a new one, or taken for one: what was learnt of the old one no longer holds.
    pub fn restart_cold(&mut self, started_at: Duration) {
        let in_view = self.in_view;
        self.forget_statistics();
        self.started_at = Some(started_at);
        self.permit_until = Duration::ZERO;
        self.in_view = in_view;
    }
}
