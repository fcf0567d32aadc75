//! The file of a scale run: what is played, in which places, and what must hold.

use passroad_units::{ConfigError, HumanDuration, line_number};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

pub const MOST_SIDECARS: usize = 1300;
const MOST_REAL: usize = 130;
const MOST_ZONES: usize = 60;

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Text {
    about: String,
    sizes: Spanned<Vec<usize>>,
    #[serde(default = "first")]
    seeds: Spanned<Vec<u64>>,
    #[serde(default = "none")]
    real: Spanned<usize>,
    services: Spanned<usize>,
    zones: Spanned<usize>,
    regions: Spanned<usize>,
    #[serde(default = "three")]
    calls: Spanned<usize>,
    #[serde(default = "nothing")]
    load: Spanned<f64>,
    #[serde(default = "nothing")]
    changes_a_day: Spanned<f64>,
    #[serde(default = "apart")]
    apart: HumanDuration,
    #[serde(default = "settle")]
    settle: HumanDuration,
    length: Spanned<HumanDuration>,
    #[serde(default)]
    delay: Delay,
    #[serde(default)]
    fleet: Fleet,
    #[serde(default)]
    event: Vec<Spanned<EventText>>,
    #[serde(default)]
    hold: Vec<Spanned<HoldText>>,
}

fn first() -> Spanned<Vec<u64>> {
    Spanned::new(0..0, vec![1])
}
fn none() -> Spanned<usize> {
    Spanned::new(0..0, 0)
}
fn nothing() -> Spanned<f64> {
    Spanned::new(0..0, 0.0)
}
fn three() -> Spanned<usize> {
    Spanned::new(0..0, 3)
}
fn apart() -> HumanDuration {
    HumanDuration(Duration::from_millis(15))
}
fn settle() -> HumanDuration {
    HumanDuration(Duration::from_secs(15))
}
fn two_seconds() -> HumanDuration {
    HumanDuration(Duration::from_secs(2))
}

/// One way, put in by the rig's relay between sidecars, and between a sidecar and discovery.
#[derive(Deserialize, Debug, Clone, Copy)]
#[serde(deny_unknown_fields, default)]
pub struct Delay {
    pub zone: HumanDuration,
    pub between_zones: HumanDuration,
    pub between_regions: HumanDuration,
}

impl Default for Delay {
    fn default() -> Self {
        let time = |us| HumanDuration(Duration::from_micros(us));
        Delay {
            zone: time(0),
            between_zones: time(1000),
            between_regions: time(30_000),
        }
    }
}

#[derive(Deserialize, Debug, Clone, Copy)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub lease: HumanDuration,
    pub period: HumanDuration,
    pub voters: usize,
    pub every: HumanDuration,
}

impl Default for Fleet {
    fn default() -> Self {
        let time = |s| HumanDuration(Duration::from_secs(s));
        Fleet {
            lease: time(3),
            period: time(1),
            voters: 5,
            every: time(1),
        }
    }
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct EventText {
    name: Spanned<String>,
    kind: Spanned<String>,
    at: Spanned<HumanDuration>,
    #[serde(rename = "for")]
    lasts: Spanned<HumanDuration>,
    #[serde(default)]
    count: Option<Spanned<usize>>,
    #[serde(default)]
    zone: Option<Spanned<usize>>,
    #[serde(default)]
    region: Option<Spanned<usize>>,
    #[serde(default)]
    service: Option<Spanned<usize>>,
    #[serde(default)]
    one_way: Option<Spanned<String>>,
    #[serde(default = "two_seconds")]
    noticed: HumanDuration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Both,
    /// What the region says is lost, what it is told comes.
    Out,
    /// The other way round.
    Back,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Whom {
    Count(usize),
    Zone(usize),
    Service(usize),
    All,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A region and the others lose each other, and the region loses discovery, which stands in the first.
    Cut(usize, Way),
    /// Killed at once, nobody says goodbye; started again at the end.
    Kill(Whom),
    /// Stopped as planned and started again, one after the other, spread over the time.
    Restart(Whom),
    /// Discovery answers 503.
    DiscoveryDown,
}

#[derive(Debug, Clone)]
pub struct Event {
    pub name: String,
    pub kind: Kind,
    pub at: Duration,
    pub lasts: Duration,
    /// Until the list says that what was killed is gone.
    pub noticed: Duration,
}

impl Event {
    pub fn span(&self) -> Range<Duration> {
        self.at..self.at + self.lasts
    }
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct HoldText {
    metric: Spanned<String>,
    #[serde(default)]
    at_least: Option<f64>,
    #[serde(default)]
    at_most: Option<f64>,
}

/// What a hold may ask for; none of them is a time, so that a slow machine judges as a quick one.
pub const METRICS: [&str; 8] = [
    "here",
    "listed",
    "false-doubts",
    "longest",
    "busiest-over-mean",
    "a-period",
    "owners",
    "known",
];

#[derive(Debug, Clone)]
pub struct Hold {
    pub metric: String,
    pub at_least: Option<f64>,
    pub at_most: Option<f64>,
}

#[derive(Debug, Clone)]
pub struct ScalePlan {
    pub about: String,
    pub sizes: Vec<usize>,
    pub seeds: Vec<u64>,
    pub real: usize,
    pub services: usize,
    pub zones: usize,
    pub regions: usize,
    pub calls: usize,
    /// Calls a second of each real sidecar.
    pub load: f64,
    pub changes_a_day: f64,
    /// From one's start to the next one's.
    pub apart: Duration,
    pub settle: Duration,
    pub length: Duration,
    pub delay: Delay,
    pub fleet: Fleet,
    pub events: Vec<Event>,
    pub holds: Vec<Hold>,
}

/// Reads a file; what is wrong is named by its line and key. `sidecars` takes the place of its sizes.
pub fn read(text: &str, sidecars: Option<usize>) -> Result<ScalePlan, ConfigError> {
    let told: Text = toml::from_str(text)
        .map_err(|e| ConfigError::from_parser(text, e.span().map(|s| s.start), e.message()))?;
    let wrong = |at: Range<usize>, what: String| {
        Err(ConfigError {
            line: line_number(text, at.start),
            message: what,
        })
    };
    let within =
        |key: &str, told: &Spanned<usize>, span: std::ops::RangeInclusive<usize>| match span
            .contains(told.get_ref())
        {
            true => Ok(*told.get_ref()),
            false => {
                let what = format!(
                    "{key}: {} is not from {} to {}",
                    told.get_ref(),
                    span.start(),
                    span.end()
                );
                Err(ConfigError {
                    line: line_number(text, told.span().start),
                    message: what,
                })
            }
        };
    let sizes = sidecars.map_or_else(|| told.sizes.get_ref().clone(), |n| vec![n]);
    if sizes.is_empty() || sizes.iter().any(|n| !(2..=MOST_SIDECARS).contains(n)) {
        return wrong(
            told.sizes.span(),
            format!("sizes: each from 2 to {MOST_SIDECARS}"),
        );
    }
    if told.seeds.get_ref().is_empty() {
        return wrong(told.seeds.span(), "seeds: none".into());
    }
    let zones = within("zones", &told.zones, 1..=MOST_ZONES)?;
    let regions = within("regions", &told.regions, 1..=zones)?;
    let services = within("services", &told.services, 1..=MOST_SIDECARS)?;
    let calls = within("calls", &told.calls, 1..=services.min(16))?;
    let least = sizes.iter().copied().min().unwrap_or_default();
    let real = within("real", &told.real, 0..=least.min(MOST_REAL))?;
    for (key, told) in [("load", &told.load), ("changes_a_day", &told.changes_a_day)] {
        if !(0.0..=1e7).contains(told.get_ref()) {
            return wrong(
                told.span(),
                format!("{key}: {} is not from 0 to 10000000", told.get_ref()),
            );
        }
    }
    let length = told.length.get_ref().0;
    if length < Duration::from_secs(1) {
        return wrong(told.length.span(), "length: a second at least".into());
    }
    let mut events: Vec<Event> = Vec::new();
    for spanned in &told.event {
        let event = spanned.get_ref();
        let way = match event
            .one_way
            .as_ref()
            .map(|way| (way.get_ref().as_str(), way.span()))
        {
            None => Way::Both,
            Some(("out", _)) => Way::Out,
            Some(("back", _)) => Way::Back,
            Some((other, span)) => {
                return wrong(span, format!("one_way: '{other}' is not out or back"));
            }
        };
        let number = |key: &str, told: &Option<Spanned<usize>>, span| match told {
            Some(told) => within(key, told, span).map(Some),
            None => Ok(None),
        };
        let count = number("count", &event.count, 1..=least)?;
        let zone = number("zone", &event.zone, 0..=zones - 1)?;
        let service = number("service", &event.service, 0..=services - 1)?;
        let region = number("region", &event.region, 0..=regions - 1)?;
        let whom = match (count, zone, service) {
            (Some(count), None, None) => Whom::Count(count),
            (None, Some(zone), None) => Whom::Zone(zone),
            (None, None, Some(service)) => Whom::Service(service),
            (None, None, None) => Whom::All,
            _ => {
                return wrong(
                    spanned.span(),
                    "event: one of count, zone and service".into(),
                );
            }
        };
        let kind = match (event.kind.get_ref().as_str(), region) {
            ("cut", Some(region)) => Kind::Cut(region, way),
            ("cut", None) => {
                return wrong(event.kind.span(), "kind: a cut needs its region".into());
            }
            ("kill", _) => Kind::Kill(whom),
            ("restart", _) => Kind::Restart(whom),
            ("discovery-down", _) => Kind::DiscoveryDown,
            (other, _) => {
                let what = format!(
                    "kind: unknown '{other}'; there are cut, kill, restart, discovery-down"
                );
                return wrong(event.kind.span(), what);
            }
        };
        let (at, lasts) = (event.at.get_ref().0, event.lasts.get_ref().0);
        if lasts < Duration::from_secs(1) {
            return wrong(event.lasts.span(), "for: a second at least".into());
        }
        if events.last().is_some_and(|before| at < before.span().end) {
            return wrong(
                event.at.span(),
                "at: before the end of the event before".into(),
            );
        }
        if at + lasts >= length {
            return wrong(
                event.at.span(),
                "at: the event ends behind the run's length".into(),
            );
        }
        let name = event.name.get_ref().clone();
        if name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
            return wrong(
                event.name.span(),
                format!("name: '{name}' is not of letters, digits and -"),
            );
        }
        events.push(Event {
            name,
            kind,
            at,
            lasts,
            noticed: event.noticed.0,
        });
    }
    let mut holds = Vec::new();
    for spanned in told.hold {
        let hold = spanned.get_ref();
        let metric = hold.metric.get_ref().clone();
        if !METRICS.contains(&metric.as_str()) {
            let what = format!(
                "metric: unknown '{metric}'; there are {}",
                METRICS.join(", ")
            );
            return wrong(hold.metric.span(), what);
        }
        if hold.at_least.is_none() && hold.at_most.is_none() {
            return wrong(
                spanned.span(),
                "hold: at_least or at_most is missing".into(),
            );
        }
        holds.push(Hold {
            metric,
            at_least: hold.at_least,
            at_most: hold.at_most,
        });
    }
    Ok(ScalePlan {
        about: told.about,
        sizes,
        seeds: told.seeds.into_inner(),
        real,
        services,
        zones,
        regions,
        calls,
        load: told.load.into_inner(),
        changes_a_day: told.changes_a_day.into_inner(),
        apart: told.apart.0,
        settle: told.settle.0,
        length,
        delay: told.delay,
        fleet: told.fleet,
        events,
        holds,
    })
}

impl ScalePlan {
    /// Zones are spread over the regions, sidecars over the zones, both in turn.
    pub fn zone(&self, n: usize) -> usize {
        n % self.zones
    }

    pub fn region(&self, n: usize) -> usize {
        self.zone(n) % self.regions
    }

    pub fn service(&self, n: usize) -> usize {
        // Not in step with the zones: each service stands in several.
        (n + n / self.services) % self.services
    }

    /// The services that one calls.
    pub fn called(&self, n: usize) -> Vec<usize> {
        (1..=self.calls)
            .map(|k| (self.service(n) + k) % self.services)
            .collect()
    }

    /// One way between two places of the list.
    pub fn way(&self, a: usize, b: usize) -> Duration {
        if self.region(a) != self.region(b) {
            self.delay.between_regions.0
        } else if self.zone(a) != self.zone(b) {
            self.delay.between_zones.0
        } else {
            self.delay.zone.0
        }
    }

    /// Which are meant, drawn by the seed.
    pub fn find(&self, whom: Whom, sidecars: usize, seed: u64) -> Vec<usize> {
        let all = 0..sidecars;
        match whom {
            Whom::All => all.collect(),
            Whom::Zone(zone) => all.filter(|n| self.zone(*n) == zone).collect(),
            Whom::Service(service) => all.filter(|n| self.service(*n) == service).collect(),
            Whom::Count(count) => {
                let mut dice = crate::rng::SeededRng::stream(seed, "whom", count as u64);
                let mut rest: Vec<usize> = all.collect();
                (0..count.min(sidecars))
                    .map(|_| rest.swap_remove(dice.below(rest.len())))
                    .collect()
            }
        }
    }

    /// What each second of a run counts as, from its second on.
    pub fn conditions(&self) -> Vec<(Duration, String)> {
        let plain = if self.changes_a_day > 0.0 || self.load > 0.0 {
            "ordinary"
        } else {
            "rest"
        };
        let mut all = vec![(Duration::ZERO, plain.to_string())];
        for event in &self.events {
            all.push((event.at, format!("event:{}", event.name)));
            all.push((event.span().end, format!("return:{}", event.name)));
        }
        all
    }

    /// The settings of the nth sidecar, all services by one class of calls each.
    pub fn settings(&self, n: usize) -> serde_json::Value {
        let zones: Vec<String> = (0..self.zones).map(|z| format!("z{z}")).collect();
        let verbs: Vec<_> = (0..self.calls)
            .map(|k| {
                serde_json::json!({
                    "name": format!("call-{k}"), "effect": "read_like", "key_scope": "all", "window": 0,
                    "response_goal": 200_000_000, "time_limit": 1_000_000_000, "utility": 1.0, "late_utility": 0.0,
                })
            })
            .collect();
        serde_json::json!({
            "verbs": verbs, "tenants": [], "dcs": zones, "az": zones[self.zone(n)], "my_number": n,
            "discovery": "on_request", "weights": "nominal", "report": { "how": "silent" },
            "allowed": {
                "connect_timeout": 250_000_000, "idle_close": 30_000_000_000_u64, "max_relays": 4,
                "max_retry_after": 1_500_000_000, "may_cancel": true, "may_tell": true, "probes": true,
                "retry_after": true, "second_copies": false, "streams_per_conn": 1,
            },
            "prices": { "cross_zone": 0.005, "handshake": 0.0, "probe": 0.002 },
            "rules": { "ask_every": 10_000_000_000_u64, "cold_from": 0.13, "tip_after": 2_000_000_000, "tip_multiple": 2.5, "warm_within": 0 },
            "goal": { "whole": 1.0, "worst_class": 0.0 }, "tick": 1_000_000, "surplus_utility": 0.5,
        })
    }

    /// The routes of the nth sidecar: a pool for each service that it calls.
    pub fn routes(&self, n: usize) -> String {
        let mut text = String::new();
        for (k, service) in self.called(n).into_iter().enumerate() {
            text += &format!(
                "[[pool]]\nname = \"s{service}\"\nlabels = [\"s{service}-\"]\ntiers = [[\"*\"]]\n\n"
            );
            text += &format!("[[route]]\nverbs = [\"call-{k}\"]\npool = \"s{service}\"\n\n");
        }
        text
    }

    pub fn fleet_file(&self, resource: std::net::SocketAddr) -> String {
        let ms = |time: HumanDuration| format!("\"{}ms\"", time.0.as_millis());
        let fleet = &self.fleet;
        format!(
            "lease = {}\nperiod = {}\nvoters = {}\n\n[upkeep]\nat_once = 1\n\n\
             [[duty]]\nname = \"sweep\"\nevery = {}\ncall = \"http://{resource}/sweep\"\nwithin = \"300ms\"\n",
            ms(fleet.lease),
            ms(fleet.period),
            fleet.voters,
            ms(fleet.every)
        )
    }

    /// What is asked of the figures; each with whether it holds.
    pub fn judge(&self, figures: &BTreeMap<&'static str, f64>) -> Vec<(String, bool)> {
        let judged = self.holds.iter().map(|hold| {
            let value = figures.get(hold.metric.as_str()).copied();
            let least = hold
                .at_least
                .is_none_or(|least| value.is_some_and(|v| v >= least));
            let most = hold
                .at_most
                .is_none_or(|most| value.is_some_and(|v| v <= most));
            let bound = |word: &str, bound: Option<f64>| {
                bound.map_or(String::new(), |b| format!(" {word} {b}"))
            };
            let (least_text, most_text) = (
                bound("at least", hold.at_least),
                bound("at most", hold.at_most),
            );
            let shown = value.map_or("not measured".into(), |v| format!("{v:.4}"));
            (
                format!("{}: {shown},{least_text}{most_text}", hold.metric),
                least && most,
            )
        });
        judged.collect()
    }
}
