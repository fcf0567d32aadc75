//! Samples of all counters once a second, and the figures computed from them.

use super::discovery::{Discovery, DiscoveryCounts};
use super::network::{CHANNEL_COUNT, LEASES, MAINTENANCE, SidecarNetwork, Traffic};
use super::processes::Processes;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The values of all counters at one time.
#[derive(Debug, Clone)]
pub struct Sample {
    pub time: Instant,
    pub traffic: Vec<Traffic>,
    pub cpu: Vec<[Duration; 2]>,
    pub memory: (Vec<f64>, Vec<f64>), // bytes per sidecar: by host, and of each real sidecar
    pub discovery: DiscoveryCounts,
}

/// Takes a sample each second until the end. It needs a thread of its own, as it reads some thousand files each time.
pub fn take_samples(
    network: &SidecarNetwork,
    discovery: &Discovery,
    processes: &Processes,
    from: Instant,
    to: Instant,
) -> Vec<Sample> {
    let mut samples = Vec::new();
    let mut time = from;
    while time <= to + Duration::from_millis(10) {
        std::thread::sleep(time.saturating_duration_since(Instant::now()));
        samples.push(Sample {
            time: Instant::now(),
            traffic: network
                .counters
                .iter()
                .map(super::network::TrafficCounter::read)
                .collect(),
            cpu: processes.cpu(),
            memory: processes.memory(),
            discovery: discovery.counts(),
        });
        time += Duration::from_secs(1);
    }
    samples
}

/// One figure, as used by the tables of the capacity page.
#[derive(Debug, Clone, Serialize)]
pub struct Point {
    pub role: &'static str,
    pub quantity: &'static str,
    pub unit: &'static str,
    pub condition: String,
    pub statistic: &'static str,
    pub kind: &'static str,
    pub at: BTreeMap<&'static str, usize>,
    pub value: f64,
}

/// A rate over a window: the mean of all sidecars, that of the busiest one, and the highest in any second of any
/// sidecar.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spread {
    pub mean: f64,
    pub busiest: f64,
    pub worst_second: f64,
}

impl Spread {
    pub fn statistics(&self) -> [(&'static str, f64); 3] {
        [
            ("mean", self.mean),
            ("busiest", self.busiest),
            ("worst-second", self.worst_second),
        ]
    }
}

/// Rates of a counter that `read` returns for one sidecar. A counter that falls has restarted from zero.
pub fn spread(
    samples: &[Sample],
    sidecars: &[usize],
    read: impl Fn(&Sample, usize) -> f64,
) -> Spread {
    let (Some(first), Some(last)) = (samples.first(), samples.last()) else {
        return Spread::default();
    };
    let duration = (last.time - first.time).as_secs_f64();
    if sidecars.is_empty() || duration <= 0.0 {
        return Spread::default();
    }
    let mut spread = Spread::default();
    for sidecar in sidecars {
        let mut sum = 0.0;
        for pair in samples.windows(2) {
            let (before, now) = (read(&pair[0], *sidecar), read(&pair[1], *sidecar));
            let increase = if now < before { now } else { now - before };
            let seconds = (pair[1].time - pair[0].time).as_secs_f64().max(1e-9);
            spread.worst_second = spread.worst_second.max(increase / seconds);
            sum += increase;
        }
        spread.mean += sum / duration / sidecars.len() as f64;
        spread.busiest = spread.busiest.max(sum / duration);
    }
    spread
}

pub fn sum(counts: &[u64; CHANNEL_COUNT]) -> f64 {
    counts.iter().sum::<u64>() as f64
}

type ReadTraffic = fn(&Traffic, Option<usize>) -> f64;

/// The count of one channel, or the sum of all.
fn count_of(counts: &[u64; CHANNEL_COUNT], channel: Option<usize>) -> f64 {
    channel.map_or_else(|| sum(counts), |channel| counts[channel] as f64)
}

const TRAFFIC_QUANTITIES: [(&str, &str, ReadTraffic); 4] = [
    ("bytes-in", "B/s", |traffic, channel| {
        count_of(&traffic.bytes_in, channel)
    }),
    ("bytes-out", "B/s", |traffic, channel| {
        count_of(&traffic.bytes_out, channel)
    }),
    ("messages-in", "1/s", |traffic, channel| {
        count_of(&traffic.messages_in, channel)
    }),
    ("messages-out", "1/s", |traffic, channel| {
        count_of(&traffic.messages_out, channel)
    }),
];

/// The roles of the sidecars in a window.
pub struct Roles {
    pub simulated: Vec<usize>,
    pub real: Vec<usize>,
    /// Whether real sidecars serve calls: the CPU time of their other threads is then not that of control alone.
    pub loaded: bool,
    pub voters: Vec<usize>,
    pub owners: Vec<usize>,
    pub dimensions: BTreeMap<&'static str, usize>,
}

/// The points of one window of a run.
pub fn points(samples: &[Sample], roles: &Roles, condition: &str) -> Vec<Point> {
    let mut points = Vec::new();
    let mut add = |role, quantity, unit, kind, statistics: &[(&'static str, f64)]| {
        for (statistic, value) in statistics {
            points.push(Point {
                role,
                quantity,
                unit,
                condition: condition.into(),
                statistic,
                kind,
                at: roles.dimensions.clone(),
                value: round(*value),
            });
        }
    };
    for (kind, sidecars) in [("hollow", &roles.simulated), ("real", &roles.real)] {
        if sidecars.is_empty() {
            continue;
        }
        for (quantity, unit, read) in TRAFFIC_QUANTITIES {
            let spread = spread(samples, sidecars, |sample, sidecar| {
                read(&sample.traffic[sidecar], None)
            });
            add("control", quantity, unit, kind, &spread.statistics());
        }
        let all_threads = kind == "hollow" || !roles.loaded;
        let cpu = spread(samples, sidecars, |sample, sidecar| {
            let [discovery, fleet] = sample.cpu.get(sidecar).copied().unwrap_or_default();
            (fleet
                + if all_threads {
                    discovery
                } else {
                    Duration::ZERO
                })
            .as_secs_f64()
        });
        add("control", "cpu", "core", kind, &cpu.statistics());
        let memory = |sample: &Sample| {
            if kind == "hollow" {
                sample.memory.0.clone()
            } else {
                sample.memory.1.clone()
            }
        };
        let megabytes: Vec<f64> = samples
            .iter()
            .flat_map(memory)
            .map(|bytes| bytes / 1e6)
            .collect();
        if !megabytes.is_empty() {
            let mean = megabytes.iter().sum::<f64>() / megabytes.len() as f64;
            let maximum = megabytes.iter().copied().fold(0.0, f64::max);
            add(
                "control",
                "memory",
                "MB",
                kind,
                &[("mean", mean), ("busiest", maximum)],
            );
        }
    }
    for (role, sidecars, channel) in [
        ("voter", &roles.voters, LEASES),
        ("duty-owner", &roles.owners, LEASES),
    ] {
        if !sidecars.is_empty() {
            for (quantity, unit, read) in TRAFFIC_QUANTITIES {
                let spread = spread(samples, sidecars, |sample, sidecar| {
                    read(&sample.traffic[sidecar], Some(channel))
                });
                add(role, quantity, unit, "hollow", &spread.statistics());
            }
        }
    }
    if let Some(coordinator) = coordinator(samples) {
        for (quantity, unit, read) in TRAFFIC_QUANTITIES {
            let spread = spread(samples, &[coordinator], |sample, sidecar| {
                read(&sample.traffic[sidecar], Some(MAINTENANCE))
            });
            add("conductor", quantity, unit, "hollow", &spread.statistics());
        }
    }
    type ReadCounts = fn(&DiscoveryCounts) -> u64;
    let quantities: [(&str, &str, ReadCounts); 3] = [
        ("calls", "1/s", |counts| counts.calls),
        ("bytes-in", "B/s", |counts| counts.bytes_in),
        ("bytes-out", "B/s", |counts| counts.bytes_out),
    ];
    for (quantity, unit, read) in quantities {
        let spread = spread(samples, &[0], |sample, _| read(&sample.discovery) as f64);
        add(
            "discovery",
            quantity,
            unit,
            "hollow",
            &[("mean", spread.mean), ("worst-second", spread.worst_second)],
        );
    }
    let open: Vec<f64> = samples
        .iter()
        .map(|sample| sample.discovery.open_watches as f64)
        .collect();
    let mean = open.iter().sum::<f64>() / open.len().max(1) as f64;
    let maximum = open.iter().copied().fold(0.0, f64::max);
    add(
        "discovery",
        "open-watches",
        "count",
        "hollow",
        &[("mean", mean), ("worst-second", maximum)],
    );
    points
}

/// The sidecar that sent the most datagrams about maintenance, if any did.
fn coordinator(samples: &[Sample]) -> Option<usize> {
    let (first, last) = (samples.first()?, samples.last()?);
    let sent = |sidecar: &usize| {
        last.traffic[*sidecar].messages_out[MAINTENANCE]
            - first.traffic[*sidecar].messages_out[MAINTENANCE]
    };
    (0..last.traffic.len())
        .max_by_key(sent)
        .filter(|sidecar| sent(sidecar) > 0)
}

/// Rounds to six significant digits, so that files stay readable.
pub fn round(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() {
        return 0.0;
    }
    let scale = 10f64.powi(5 - value.abs().log10().floor() as i32);
    (value * scale).round() / scale
}
