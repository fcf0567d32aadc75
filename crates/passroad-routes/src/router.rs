//! Which endpoints are in play for a command. A pool's home tier keeps its traffic while it can; what it can't carry
//! spills to the first further tier with something up, as far as the allowance goes, and comes back little by little.
//! No input or output, no clock: what is seen comes in, plays go out.

use crate::spill::Spill;
use crate::text::{PoolConfig, RoutesConfig, ZoneSelector};
use crate::zone::{Sum, Zone, ZoneHealth};
use passroad_choice::{
    BalancerConfig, EndpointIndex, EndpointState, ListedEndpoint, LoadReport, Outcome,
};
use std::time::Duration;

/// Plays of a pool: three each, in this order.
const HOME: usize = 0;
/// Home as far as it is open, and a few beyond it, for what comes back and for trials.
const BOTH: usize = 1;
const AWAY: usize = 2;
const PLAYS: usize = 3;

const LOOK: Duration = Duration::from_millis(100); // between two looks at the zones
const MISSES: u32 = 2; // in a row, and an endpoint can't be reached
const BEYOND: f64 = 0.1; // weight of a further zone where home comes first
const TRIAL: u32 = 10; // of so many that spill one looks whether home is back
const RATE_OVER: Duration = Duration::from_secs(4);
const LATE: f64 = 0.85; // of a goal; an answer as late is strain, as for the module's limits
const NOTEWORTHY: f64 = 0.02; // change of a weight that the module is told of

#[derive(Debug, Clone)]
struct Member {
    zone: usize,
    weight: f64, // the list's
    up: bool,
    started: Duration,
    misses: u32,
    away: u32, // times in a row that the module could not reach it: from three on it takes it for cold
    factors: Vec<f64>, // by pool, nothing where it does not belong
    plays: Vec<f64>, // as the module was last told
}

/// Counts a second, over the last few.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    sum: f64,
    at: Duration,
    from: Option<Duration>,
}

impl Rate {
    fn left(&self, now: Duration) -> f64 {
        let spans = now.saturating_sub(self.at).as_secs_f64() / RATE_OVER.as_secs_f64();
        (1.0 - spans / 16.0).max(0.0).powi(16)
    }

    fn add(&mut self, now: Duration) {
        self.sum = self.sum * self.left(now) + 1.0;
        self.at = now;
        self.from.get_or_insert(now);
    }

    fn read(&self, now: Duration) -> f64 {
        let age = now
            .saturating_sub(self.from.unwrap_or(now))
            .clamp(RATE_OVER / 16, RATE_OVER);
        self.sum * self.left(now) / age.as_secs_f64()
    }
}

struct Pool {
    order: PoolConfig,
    tiers: Vec<Vec<usize>>, // zones, as far as they are known
    zones: Vec<Zone>,
    rate: Rate,
    spill: Spill,
    spilt: u32,
    needs: bool,              // home does not carry all
    receivers: Option<usize>, // the tier that spill goes to
    told: Option<usize>,
}

/// What a command may do.
#[derive(Debug, Clone, PartialEq)]
pub enum RoutingDecision {
    Admit {
        weight_set: usize,
    },
    /// More than may spill: the answer is now, and when to come back.
    Refuse {
        retry_after: Duration,
    },
}

pub struct Router {
    orders: RoutesConfig,
    pools: Vec<Pool>,
    members: Vec<Option<Member>>,
    out: Vec<bool>,                       // by hand, by slot
    names: Vec<Option<(String, String)>>, // id and kind, by slot
    own_zone: usize,
    zone_names: Vec<String>,
    worth: Vec<f64>, // by verb, against the one worth most
    cold_from: f64,
    warm_within: Duration,
    dice: u64,
    looked: Option<Duration>,
    dirty: bool,
    lines: Vec<String>,
}

impl Router {
    pub fn new(routes: RoutesConfig, orders: &BalancerConfig) -> Self {
        let best = orders
            .classes
            .iter()
            .map(|v| v.utility)
            .fold(1e-9, f64::max);
        let pool = |order: &PoolConfig| Pool {
            tiers: Vec::new(),
            zones: Vec::new(),
            rate: Rate::default(),
            spill: Spill::new(order.most, order.per_second, order.ceiling, order.trickle),
            spilt: 0,
            needs: false,
            receivers: None,
            told: None,
            order: order.clone(),
        };
        Router {
            pools: routes.pools.iter().map(pool).collect(),
            orders: routes,
            members: Vec::new(),
            out: Vec::new(),
            names: Vec::new(),
            own_zone: orders.own_zone,
            zone_names: orders.zones.clone(),
            worth: orders.classes.iter().map(|v| v.utility / best).collect(),
            cold_from: orders.cold_capacity.clamp(0.01, 1.0),
            warm_within: orders.warm_up_time,
            dice: orders.seed.rotate_left(17) | 1,
            looked: None,
            dirty: true,
            lines: Vec::new(),
        }
    }

    /// Whether the pools and zones are those in force; only which commands go where may change.
    pub fn can_reconfigure(&self, orders: &BalancerConfig, routes: &RoutesConfig) -> bool {
        routes.pools == self.orders.pools && orders.zones == self.zone_names
    }

    pub fn reconfigure(&mut self, orders: &BalancerConfig, routes: RoutesConfig) {
        let best = orders
            .classes
            .iter()
            .map(|v| v.utility)
            .fold(1e-9, f64::max);
        self.worth = orders.classes.iter().map(|v| v.utility / best).collect();
        self.orders = routes;
    }

    /// Multiply-with-carry, as in the decision module; a number from 0 up to 1.
    fn chance(&mut self) -> f64 {
        self.dice = (self.dice & 0xffff_ffff) * 4_294_957_665 + (self.dice >> 32);
        (self.dice & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    /// What the slot of an endpoint is called outside, before a list speaks of it.
    pub fn register_endpoint(&mut self, endpoint: EndpointIndex, id: &str, kind: &str) {
        self.names.resize(self.names.len().max(endpoint + 1), None);
        self.names[endpoint] = Some((id.into(), kind.into()));
    }

    /// The slot is another's from here on.
    pub fn release_endpoint(&mut self, endpoint: EndpointIndex) {
        if let Some(member) = self.members.get_mut(endpoint) {
            *member = None;
            self.dirty = true;
        }
    }

    /// Operators take an endpoint out or call it back.
    pub fn set_cordoned(&mut self, endpoint: EndpointIndex, out: bool) {
        self.out.resize(self.out.len().max(endpoint + 1), false);
        self.out[endpoint] = out;
        self.dirty = true;
    }

    /// Takes in a list; a whole one leaves out what is gone.
    pub fn apply_list(&mut self, whole: bool, entries: &[ListedEndpoint]) {
        if whole {
            self.members.iter_mut().flatten().for_each(|m| m.up = false);
        }
        for entry in entries {
            self.members
                .resize(self.members.len().max(entry.endpoint + 1), None);
            let name = self.names.get(entry.endpoint).and_then(Option::as_ref);
            let (id, kind) = name.map_or(("", ""), |(id, kind)| (id.as_str(), kind.as_str()));
            let factor = |pool: &PoolConfig| {
                let by_label = pool.labels.is_empty()
                    || pool.labels.iter().any(|l| id.starts_with(l.as_str()));
                let by_kind = pool.kinds.is_empty() || pool.kinds.iter().any(|k| k == kind);
                let weight = pool.weights.get(kind).copied().unwrap_or(1.0);
                if by_label && by_kind { weight } else { 0.0 }
            };
            let factors = self.orders.pools.iter().map(factor).collect();
            let before = self.members[entry.endpoint].take();
            let anew = before.as_ref().is_none_or(|m| entry.started_at > m.started);
            self.members[entry.endpoint] = Some(Member {
                zone: entry.zone,
                weight: entry.weight.clamp(0.01, 1e6),
                up: entry.state == EndpointState::Running,
                started: entry.started_at.max(
                    before
                        .as_ref()
                        .filter(|_| !anew)
                        .map_or(Duration::ZERO, |m| m.started),
                ),
                misses: before.as_ref().filter(|_| !anew).map_or(0, |m| m.misses),
                away: before.as_ref().filter(|_| !anew).map_or(0, |m| m.away),
                factors,
                plays: before.map_or_else(Vec::new, |m| m.plays),
            });
        }
        self.dirty = true;
    }

    /// How a relay of a command ended, or a probe, which has no verb and no goal.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        outcome: Outcome,
        lateness: Option<f64>,
        report: Option<&LoadReport>,
    ) {
        let Some(member) = self.members.get_mut(endpoint).and_then(Option::as_mut) else {
            return;
        };
        let before = member.misses >= MISSES;
        match outcome {
            Outcome::ConnectFailed => member.away += 1,
            Outcome::TimedOut if lateness.is_none() => member.away += 1,
            // As the module does: it may be another process than before, and gets its share by passes only.
            Outcome::Answered
                if std::mem::take(&mut member.away) >= 3
                    && now.saturating_sub(member.started) > self.warm_within =>
            {
                member.started = now;
                self.dirty = true;
            }
            _ => {}
        }
        match outcome {
            Outcome::Answered | Outcome::Error | Outcome::Overloaded | Outcome::Rejected => {
                member.misses = 0
            }
            Outcome::ConnectFailed | Outcome::TimedOut => {
                member.misses = member.misses.saturating_add(1)
            }
            Outcome::ConnectionLost | Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.dirty |= before != (member.misses >= MISSES);
        for (pool, factor) in self.pools.iter_mut().zip(&member.factors) {
            let receives = pool
                .receivers
                .is_some_and(|tier| pool.tiers[tier].contains(&member.zone));
            // Guards against a pool that is held back by how another's endpoints in the same zone are.
            if !receives || *factor <= 0.0 {
                continue;
            }
            if let Some(busy) = report.and_then(|r| r.utilization) {
                pool.spill.heard(now, busy);
            }
            if let Some(late) = lateness {
                let bad = match outcome {
                    Outcome::Answered => late > LATE,
                    Outcome::TimedOut => true,
                    // Short of connections is not short of time: what is heard of the load says which it was.
                    Outcome::Overloaded => pool
                        .spill
                        .load(now)
                        .is_none_or(|load| load > pool.order.ceiling),
                    Outcome::ConnectFailed | Outcome::Cancelled | Outcome::NotSent => continue,
                    Outcome::Error | Outcome::ConnectionLost | Outcome::Rejected => false,
                };
                pool.spill.ended(now, bad);
            }
        }
    }

    fn ramp(&self, now: Duration, member: &Member) -> f64 {
        let age = now.saturating_sub(member.started);
        if member.started.is_zero() || age >= self.warm_within {
            return 1.0;
        }
        let share = age.as_secs_f64() / self.warm_within.as_secs_f64().max(1e-3);
        self.cold_from + (1.0 - self.cold_from) * share
    }

    /// Zones of each tier, as far as the list has named any.
    fn tiers(&self, pool: &PoolConfig, zones: usize) -> Vec<Vec<usize>> {
        let named: Vec<usize> = pool
            .tiers
            .iter()
            .flatten()
            .filter_map(|place| match place {
                ZoneSelector::Own => Some(self.own_zone),
                ZoneSelector::Zone(zone) => Some(*zone),
                ZoneSelector::Rest => None,
            })
            .collect();
        let of = |place: &ZoneSelector| match place {
            ZoneSelector::Own => vec![self.own_zone],
            ZoneSelector::Zone(zone) => vec![*zone],
            ZoneSelector::Rest => (0..zones).filter(|z| !named.contains(z)).collect(),
        };
        pool.tiers
            .iter()
            .map(|tier| tier.iter().flat_map(of).filter(|z| *z < zones).collect())
            .collect()
    }

    /// Looks at the zones and gives the weights that have changed: for each play, endpoints and theirs.
    pub fn update_weights(&mut self, now: Duration) -> Vec<(usize, EndpointIndex, f64)> {
        let due = self.looked.is_none_or(|at| now.saturating_sub(at) >= LOOK);
        if !self.dirty && !due {
            return Vec::new();
        }
        (self.looked, self.dirty) = (Some(now), false);
        let zones = self
            .members
            .iter()
            .flatten()
            .map(|m| m.zone + 1)
            .max()
            .unwrap_or_default();
        for n in 0..self.pools.len() {
            let mut sums = vec![Sum::default(); zones];
            let by_hand = |at: usize| self.out.get(at).copied().unwrap_or_default();
            let members = self
                .members
                .iter()
                .enumerate()
                .filter(|(at, _)| !by_hand(*at));
            for member in members
                .filter_map(|(_, m)| m.as_ref())
                .filter(|m| m.up && m.factors[n] > 0.0)
            {
                let (sum, weight) = (&mut sums[member.zone], member.weight * member.factors[n]);
                sum.count += 1;
                sum.listed += weight;
                if member.misses < MISSES {
                    sum.reached += 1;
                    sum.usable += weight;
                    sum.able += weight * self.ramp(now, member);
                }
            }
            let tiers = self.tiers(&self.pools[n].order, zones);
            let jitter = 1.0 + self.pools[n].order.back_spread * (2.0 * self.chance() - 1.0);
            let pool = &mut self.pools[n];
            pool.tiers = tiers;
            pool.zones.resize_with(zones, Zone::default);
            let over = pool.order.back_over.mul_f64(jitter.max(0.0));
            for (zone, sum) in sums.into_iter().enumerate() {
                if let Some(turned) = pool.zones[zone].see(now, sum, pool.order.headroom, over) {
                    let known = self.zone_names.get(zone);
                    let name =
                        known.map_or_else(|| format!("zone {zone}"), |name| format!("zone {name}"));
                    self.lines
                        .push(format!("pool {}: {name} {turned}", pool.order.name));
                }
            }
            let rate = pool.rate.read(now);
            pool.needs = pool.carries(now) < 1.0;
            let up = |tier: &&Vec<usize>| tier.iter().any(|z| pool.zones[*z].usable());
            pool.receivers = pool
                .tiers
                .iter()
                .skip(1)
                .position(|tier| up(&tier))
                .map(|n| n + 1);
            pool.spill.turn(now, rate, pool.needs);
            self.lines.extend(pool.line(now));
        }
        self.weights(now)
    }

    fn weights(&mut self, now: Duration) -> Vec<(usize, EndpointIndex, f64)> {
        let mut changed = Vec::new();
        for endpoint in 0..self.members.len() {
            let Some(member) = &self.members[endpoint] else {
                continue;
            };
            let mut plays = Vec::with_capacity(PLAYS * self.pools.len());
            for (pool, factor) in self.pools.iter().zip(&member.factors) {
                plays.extend(pool.factors(now, member.zone).map(|f| f * factor));
            }
            let Some(member) = &mut self.members[endpoint] else {
                continue;
            };
            for (play, factor) in plays.iter().enumerate() {
                let before = member.plays.get(play).copied().unwrap_or(-1.0);
                let same = before == *factor
                    || (before > 0.0 && *factor > 0.0 && (factor - before).abs() < NOTEWORTHY);
                if !same {
                    changed.push((play, endpoint, *factor));
                }
            }
            member.plays.resize(plays.len(), -1.0);
            for (play, _, factor) in changed.iter().rev().take_while(|(_, e, _)| *e == endpoint) {
                member.plays[*play] = *factor;
            }
        }
        changed
    }

    /// Where a command may go. The zones are those of the last look.
    pub fn route(&mut self, now: Duration, verb: usize, company: Option<usize>) -> RoutingDecision {
        let n = self.orders.pool_of(verb, company);
        let (draw, worth) = (self.chance(), self.worth.get(verb).copied().unwrap_or(1.0));
        let pool = &mut self.pools[n];
        pool.rate.add(now);
        let carries = pool.carries(now);
        let go = |play| RoutingDecision::Admit {
            weight_set: PLAYS * n + play,
        };
        let back = pool.home().any(|z| z.health == ZoneHealth::Returning);
        if carries >= 1.0 && !back || pool.tiers.len() < 2 {
            return go(HOME);
        }
        if draw < carries {
            return go(if back { BOTH } else { HOME });
        }
        if pool.receivers.is_none() {
            // Nothing is up anywhere else; whether there is anything at home is the module's to find out.
            return go(HOME);
        }
        let rate = pool.rate.read(now);
        pool.spill.turn(now, rate, true);
        match pool.spill.take(now, worth) {
            Ok(()) => {
                pool.spilt += 1;
                // A trial now and then: home may be back without a word of the list.
                let tries = carries <= 0.0 && pool.spilt.is_multiple_of(TRIAL);
                go(if tries { BOTH } else { AWAY })
            }
            // What is left at home is better than nothing; the module's limits say how much of it.
            Err(_) if carries > 0.0 && !back => go(HOME),
            Err(after) => RoutingDecision::Refuse { retry_after: after },
        }
    }

    /// Lines for the log, one for each change.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }
}

impl Pool {
    fn home(&self) -> impl Iterator<Item = &Zone> {
        self.tiers
            .first()
            .into_iter()
            .flatten()
            .map(|z| &self.zones[*z])
    }

    /// Share of the traffic that the home tier gets.
    fn carries(&self, now: Duration) -> f64 {
        let known: Vec<&Zone> = self.home().filter(|z| z.known()).collect();
        if known.is_empty() {
            return 0.0;
        }
        if known.iter().all(|z| z.health == ZoneHealth::Whole) {
            return 1.0;
        }
        // Of several zones those that are well make up for the others while there is headroom.
        let could: f64 = known
            .iter()
            .map(|z| z.usual() * z.could_carry(now, self.order.headroom))
            .sum();
        (could / known.iter().map(|z| z.usual()).sum::<f64>()).min(1.0)
    }

    /// Weights of an endpoint in a zone, for each play of this pool.
    fn factors(&self, now: Duration, zone: usize) -> [f64; PLAYS] {
        let Some(tier) = self.tiers.iter().position(|tier| tier.contains(&zone)) else {
            return [0.0; PLAYS];
        };
        if tier > 0 {
            let receives = self.receivers == Some(tier);
            return if receives {
                [0.0, BEYOND, 1.0]
            } else {
                [0.0; PLAYS]
            };
        }
        let z = &self.zones[zone];
        match z.health {
            ZoneHealth::Whole | ZoneHealth::Thinned => [1.0, 1.0, 0.0],
            ZoneHealth::Returning => {
                let back = z.back(now).max(BEYOND);
                [back, back, 0.0]
            }
            // Still in play where commands look whether it is back.
            ZoneHealth::Dark => [1.0, 1.0, 0.0],
        }
    }

    /// One line where spill begins, moves to another tier or ends.
    fn line(&mut self, now: Duration) -> Option<String> {
        let to = self
            .receivers
            .filter(|_| self.needs && self.tiers.len() > 1);
        if self.told == to {
            return None;
        }
        self.told = to;
        let load = self
            .spill
            .load(now)
            .map_or("unknown".into(), |l| format!("{:.0}% busy", l * 100.0));
        let name = &self.order.name;
        Some(match to {
            Some(tier) => format!(
                "pool {name}: spills to tier {}, {:.1} of {:.1} commands a second at first; it is {load}",
                tier + 1,
                self.spill.rate,
                self.rate.read(now)
            ),
            None if self.needs => format!("pool {name}: no further tier has anything up"),
            None => format!("pool {name}: spills no more"),
        })
    }
}
