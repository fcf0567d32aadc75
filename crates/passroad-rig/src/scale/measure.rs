//! What is counted each second, and the figures that come of it.

use super::discovery::{Asked, Discovery};
use super::processes::Processes;
use super::wires::{CHANNELS, Counted, LEASES, WORK, Wires};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// All counters at one time.
#[derive(Debug, Clone)]
pub struct Look {
    pub at: Instant,
    pub counted: Vec<Counted>,
    pub cpu: Vec<[Duration; 2]>,
    pub memory: (Vec<f64>, Vec<f64>), // bytes a sidecar: by host, and of real ones
    pub asked: Asked,
}

/// Looks once a second until the end; on a thread of its own, as it reads some thousand files each time.
pub fn look(
    wires: &Wires,
    discovery: &Discovery,
    processes: &Processes,
    from: Instant,
    to: Instant,
) -> Vec<Look> {
    let mut looks = Vec::new();
    let mut at = from;
    while at <= to + Duration::from_millis(10) {
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        looks.push(Look {
            at: Instant::now(),
            counted: wires
                .counters
                .iter()
                .map(super::wires::Counter::read)
                .collect(),
            cpu: processes.cpu(),
            memory: processes.memory(),
            asked: discovery.asked(),
        });
        at += Duration::from_secs(1);
    }
    looks
}

/// One figure, as the page's tables are made of.
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

/// Of one quantity: mean over all and the time, of the busiest, and the worst second of any.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spread {
    pub mean: f64,
    pub busiest: f64,
    pub worst_second: f64,
}

impl Spread {
    pub fn each(&self) -> [(&'static str, f64); 3] {
        [
            ("mean", self.mean),
            ("busiest", self.busiest),
            ("worst-second", self.worst_second),
        ]
    }
}

/// `of` reads a counter of one sidecar that only rises; one that began anew counts from nothing.
pub fn spread(looks: &[Look], these: &[usize], of: impl Fn(&Look, usize) -> f64) -> Spread {
    let (Some(first), Some(last)) = (looks.first(), looks.last()) else {
        return Spread::default();
    };
    let whole = (last.at - first.at).as_secs_f64();
    if these.is_empty() || whole <= 0.0 {
        return Spread::default();
    }
    let mut spread = Spread::default();
    for n in these {
        let mut sum = 0.0;
        for pair in looks.windows(2) {
            let (before, now) = (of(&pair[0], *n), of(&pair[1], *n));
            let rise = if now < before { now } else { now - before };
            let second = (pair[1].at - pair[0].at).as_secs_f64().max(1e-9);
            spread.worst_second = spread.worst_second.max(rise / second);
            sum += rise;
        }
        spread.mean += sum / whole / these.len() as f64;
        spread.busiest = spread.busiest.max(sum / whole);
    }
    spread
}

pub fn sum(of: &[u64; CHANNELS]) -> f64 {
    of.iter().sum::<u64>() as f64
}

type Read = fn(&Counted, Option<usize>) -> f64;

fn one(of: &[u64; CHANNELS], channel: Option<usize>) -> f64 {
    channel.map_or_else(|| sum(of), |channel| of[channel] as f64)
}

const WIRE: [(&str, &str, Read); 4] = [
    ("bytes-in", "B/s", |c, channel| one(&c.bytes_in, channel)),
    ("bytes-out", "B/s", |c, channel| one(&c.bytes_out, channel)),
    ("messages-in", "1/s", |c, channel| {
        one(&c.messages_in, channel)
    }),
    ("messages-out", "1/s", |c, channel| {
        one(&c.messages_out, channel)
    }),
];

/// Who is which, for the points of a window.
pub struct Roles {
    pub hollow: Vec<usize>,
    pub real: Vec<usize>,
    /// Whether calls run through the real ones: their first thread's time is then not control's alone.
    pub loaded: bool,
    pub voters: Vec<usize>,
    pub owners: Vec<usize>,
    pub at: BTreeMap<&'static str, usize>,
}

/// The points of one window of a run.
pub fn points(looks: &[Look], roles: &Roles, condition: &str) -> Vec<Point> {
    let mut all = Vec::new();
    let mut put = |role, quantity, unit, kind, each: &[(&'static str, f64)]| {
        for (statistic, value) in each {
            all.push(Point {
                role,
                quantity,
                unit,
                condition: condition.into(),
                statistic,
                kind,
                at: roles.at.clone(),
                value: rounded(*value),
            });
        }
    };
    for (kind, these) in [("hollow", &roles.hollow), ("real", &roles.real)] {
        if these.is_empty() {
            continue;
        }
        for (quantity, unit, read) in WIRE {
            let spread = spread(looks, these, |look, n| read(&look.counted[n], None));
            put("control", quantity, unit, kind, &spread.each());
        }
        let whole = kind == "hollow" || !roles.loaded;
        let cpu = spread(looks, these, |look, n| {
            let [list, fleet] = look.cpu.get(n).copied().unwrap_or_default();
            (fleet + if whole { list } else { Duration::ZERO }).as_secs_f64()
        });
        put("control", "cpu", "core", kind, &cpu.each());
        let of = |look: &Look| {
            if kind == "hollow" {
                look.memory.0.clone()
            } else {
                look.memory.1.clone()
            }
        };
        let every: Vec<f64> = looks.iter().flat_map(of).map(|bytes| bytes / 1e6).collect();
        if !every.is_empty() {
            let mean = every.iter().sum::<f64>() / every.len() as f64;
            let most = every.iter().copied().fold(0.0, f64::max);
            put(
                "control",
                "memory",
                "MB",
                kind,
                &[("mean", mean), ("busiest", most)],
            );
        }
    }
    for (role, these, channel) in [
        ("voter", &roles.voters, LEASES),
        ("duty-owner", &roles.owners, LEASES),
    ] {
        if !these.is_empty() {
            for (quantity, unit, read) in WIRE {
                let spread = spread(looks, these, |look, n| {
                    read(&look.counted[n], Some(channel))
                });
                put(role, quantity, unit, "hollow", &spread.each());
            }
        }
    }
    if let Some(conductor) = conductor(looks) {
        for (quantity, unit, read) in WIRE {
            let spread = spread(looks, &[conductor], |look, n| {
                read(&look.counted[n], Some(WORK))
            });
            put("conductor", quantity, unit, "hollow", &spread.each());
        }
    }
    type Of = fn(&Asked) -> u64;
    let asked: [(&str, &str, Of); 3] = [
        ("calls", "1/s", |a| a.calls),
        ("bytes-in", "B/s", |a| a.bytes_in),
        ("bytes-out", "B/s", |a| a.bytes_out),
    ];
    for (quantity, unit, of) in asked {
        let spread = spread(looks, &[0], |look, _| of(&look.asked) as f64);
        put(
            "discovery",
            quantity,
            unit,
            "hollow",
            &[("mean", spread.mean), ("worst-second", spread.worst_second)],
        );
    }
    let open: Vec<f64> = looks
        .iter()
        .map(|look| look.asked.open_watches as f64)
        .collect();
    let mean = open.iter().sum::<f64>() / open.len().max(1) as f64;
    let most = open.iter().copied().fold(0.0, f64::max);
    put(
        "discovery",
        "open-watches",
        "count",
        "hollow",
        &[("mean", mean), ("worst-second", most)],
    );
    all
}

/// Whoever says most of the order of work, where anything is said of it.
fn conductor(looks: &[Look]) -> Option<usize> {
    let (first, last) = (looks.first()?, looks.last()?);
    let said =
        |n: &usize| last.counted[*n].messages_out[WORK] - first.counted[*n].messages_out[WORK];
    (0..last.counted.len())
        .max_by_key(said)
        .filter(|n| said(n) > 0)
}

/// To six digits, so that files stay readable.
pub fn rounded(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() {
        return 0.0;
    }
    let scale = 10f64.powi(5 - value.abs().log10().floor() as i32);
    (value * scale).round() / scale
}
