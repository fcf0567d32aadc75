use super::statistics::{DecayingCount, DecayingMean, RecentOutcomes};
use crate::Outcome;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// For one endpoint. What is out and open from here is no other instance's.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Endpoint {
    #[serde(rename = "mark")]
    pub id_hash: u64,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    #[serde(rename = "rating")]
    pub weight: f64,
    #[serde(rename = "nominal")]
    pub max_live_weight: f64, // the most that a live weight came to
    #[serde(rename = "size")]
    pub capacity: f64, // rating against the mean of the listed
    #[serde(rename = "known")]
    pub in_use: bool, // its slot is given out
    #[serde(rename = "up")]
    pub running: bool, // by the list
    #[serde(rename = "listed")]
    pub available: bool, // and not out by hand
    #[serde(rename = "gone")]
    pub removed: bool, // for good; a draining one is not listed either
    #[serde(rename = "banned")]
    pub cordoned_since: Option<Duration>, // out by hand, since then
    #[serde(rename = "owed")]
    pub trial_due: Option<Duration>, // called back: from then on a send is due to it
    #[serde(skip)]
    pub in_view: bool, // it is in view
    #[serde(skip)]
    pub route_weights: Vec<f64>, // its weight in each play, where routes are told
    #[serde(rename = "up_since")]
    pub started_at: Option<Duration>, // cold from here, if it started lately
    #[serde(skip)]
    pub permit_until: Duration, // a cold one may get one send until then
    #[serde(rename = "heard")]
    pub reported_at: Option<Duration>,
    #[serde(rename = "holds")]
    pub load: f64, // last reported, and own sends and answers since
    #[serde(rename = "errs")]
    pub error_share: f64, // share of errors that it reports
    #[serde(rename = "credit")]
    pub report_credit: f64, // how far its reports fit what it does
    #[serde(skip)]
    pub in_flight: Vec<Duration>, // when own relays that are still out were sent
    pub sends: DecayingCount,
    #[serde(skip)]
    pub last_used: Option<Duration>, // last relay; a connection is open from here
    #[serde(rename = "pace")]
    pub latency: DecayingMean,
    #[serde(rename = "last")]
    pub outcomes: RecentOutcomes, // of its outcomes
    #[serde(rename = "by_verb")]
    pub outcomes_by_class: Vec<RecentOutcomes>, // the same for each verb, as far as seen
    #[serde(rename = "harm")]
    pub harmful_failures: u32, // of the last outcomes, those that failed though they may have run
    #[serde(rename = "harmed")]
    pub last_harmful_failure: Duration,
    #[serde(rename = "doubted")]
    pub reports_distrusted: bool, // told of, as its reports do not fit
    #[serde(rename = "limit")]
    pub concurrency_limit: f64, // as it was when last changed
    #[serde(rename = "tried")]
    pub limit_changed_at: Duration,
    #[serde(rename = "last_cut")]
    pub limit_cut_at: Duration,
    #[serde(skip)]
    pub probe_sent_at: Option<Duration>,
    #[serde(rename = "misses")]
    pub times_unreachable: u32, // times in a row that it could not be reached
    #[serde(rename = "try_at")]
    pub retry_at: Duration, // no trial before
}

impl Endpoint {
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

    /// One more outcome among the last few.
    pub fn record_outcome(&mut self, now: Duration, verb: usize, outcome: Outcome, few: u32) {
        let harm = matches!(outcome, Outcome::Error | Outcome::ConnectionLost);
        self.outcomes_by_class.resize(
            self.outcomes_by_class.len().max(verb + 1),
            RecentOutcomes::default(),
        );
        for last in [&mut self.outcomes, &mut self.outcomes_by_class[verb]] {
            last.record(now, outcome, few);
        }
        self.harmful_failures = self.harmful_failures << 1 | u32::from(harm);
        self.last_harmful_failure = if harm { now } else { self.last_harmful_failure };
    }

    /// Nothing of what was learnt of it.
    pub fn forget_statistics(&mut self) {
        (
            self.outcomes,
            self.outcomes_by_class,
            self.harmful_failures,
            self.latency,
        ) = (
            RecentOutcomes::default(),
            Vec::new(),
            0,
            DecayingMean::default(),
        );
        (
            self.times_unreachable,
            self.retry_at,
            self.limit_changed_at,
            self.in_view,
        ) = (0, Duration::ZERO, Duration::ZERO, false);
    }

    /// Another process now, or taken for one: nothing that is known of the old one holds.
    pub fn restart_cold(&mut self, since: Duration) {
        let met = self.in_view;
        self.forget_statistics();
        (self.started_at, self.permit_until, self.in_view) = (Some(since), Duration::ZERO, met);
    }
}
