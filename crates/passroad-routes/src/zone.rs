//! How a zone is, as one sidecar sees it: by the share of its usual weight that can be used.

use std::time::Duration;

/// From first to last in order of what it can carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneHealth {
    Whole,
    /// Too little is left for all of its traffic.
    Thinned,
    /// It was dark, and its traffic comes back little by little.
    Returning,
    Dark,
}

/// Why nothing of a zone can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// The list has none of its endpoints up.
    Gone,
    /// The list has them up, but none can be reached from here: a cut that others may not see.
    Unreached,
}

const DARK: f64 = 0.05; // of the usual weight; so little is none
const WELL: f64 = 1.1; // of what it needs, to be whole again: hysteresis against a zone that wavers
const STEADY: Duration = Duration::from_secs(2); // that a zone is better, before it counts as better
const FORGET: Duration = Duration::from_secs(600); // after which a smaller zone is the usual one
const CALM: Duration = Duration::from_secs(300); // without a loss, after which earlier ones are forgotten
const MOST_DOUBLED: u32 = 3;

/// What the list and the relays say of a zone at present. Weights are those of the list.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sum {
    pub listed: f64, // up in the list
    pub usable: f64, // of those, the ones that can be reached
    pub able: f64,   // of those, what they can do now: cold ones by their ramp
    pub count: usize,
    pub reached: usize,
}

#[derive(Debug, Clone)]
pub struct Zone {
    pub health: ZoneHealth,
    sum: Sum,
    usual: f64,               // weight that it has when it is whole
    smaller: Duration,        // since when it has had less
    better: Option<Duration>, // since when it would be whole
    back_since: Duration,
    back_over: Duration, // of the present return
    peak: f64,           // most that was usable during it
    floor: f64,          // what was usable when it went dark: no sign of a return
    losses: u32,
    lost: Duration, // the last time that it went dark
}

impl Default for Zone {
    fn default() -> Self {
        Zone {
            health: ZoneHealth::Whole,
            sum: Sum::default(),
            usual: 0.0,
            smaller: Duration::ZERO,
            better: None,
            back_since: Duration::ZERO,
            back_over: Duration::ZERO,
            peak: 0.0,
            floor: 0.0,
            losses: 0,
            lost: Duration::ZERO,
        }
    }
}

/// A change of a zone's health, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turned {
    pub from: ZoneHealth,
    pub to: ZoneHealth,
    pub why: Option<Why>,
    pub sum: Sum,
    pub usual: f64,
    pub back_over: Duration,
}

impl Zone {
    /// Whether this zone ever had anything.
    pub fn known(&self) -> bool {
        self.usual > 0.0
    }

    pub fn usable(&self) -> bool {
        self.sum.usable > 0.0
    }

    /// Of its usual weight, what can be used and how far it is warm.
    pub fn able(&self) -> f64 {
        self.sum.able / self.usual.max(1e-9)
    }

    /// Weight that it has when it is whole.
    pub fn usual(&self) -> f64 {
        self.usual
    }

    /// What it could carry, in multiples of its own traffic, so much headroom being in it.
    pub fn could_carry(&self, now: Duration, headroom: f64) -> f64 {
        let able = self.able() * headroom;
        match self.health {
            ZoneHealth::Whole | ZoneHealth::Thinned => able,
            ZoneHealth::Returning => able.min(self.back(now)),
            ZoneHealth::Dark => 0.0,
        }
    }

    /// How far a return has come, from nothing to one.
    pub fn back(&self, now: Duration) -> f64 {
        let over = self.back_over.as_secs_f64().max(1e-3);
        (now.saturating_sub(self.back_since).as_secs_f64() / over).min(1.0)
    }

    /// Takes in what is seen now. `back_over` is how long a return is to take, as this instance drew it.
    pub fn see(
        &mut self,
        now: Duration,
        sum: Sum,
        headroom: f64,
        back_over: Duration,
    ) -> Option<Turned> {
        self.sum = sum;
        // What the list has up is its weight; less of it is a loss, until it has been less for long.
        let forgets = now.saturating_sub(self.smaller) > FORGET && sum.listed > 0.0;
        if sum.listed >= self.usual || forgets {
            (self.usual, self.smaller) = (sum.listed, now);
        }
        if self.usual <= 0.0 {
            return None;
        }
        let from = self.health;
        let share = sum.usable / self.usual;
        let enough = |times: f64| sum.able / self.usual * headroom >= times;
        let to = match from {
            ZoneHealth::Whole | ZoneHealth::Thinned if share < DARK => ZoneHealth::Dark,
            ZoneHealth::Whole if !enough(1.0) => ZoneHealth::Thinned,
            ZoneHealth::Thinned if enough(WELL.min(headroom)) => {
                let since = *self.better.get_or_insert(now);
                if now.saturating_sub(since) >= STEADY {
                    ZoneHealth::Whole
                } else {
                    ZoneHealth::Thinned
                }
            }
            // What was left when it went is no return; but what stays for a while is something.
            ZoneHealth::Dark if sum.usable > self.floor => ZoneHealth::Returning,
            ZoneHealth::Dark if share > 0.0 && now.saturating_sub(self.lost) > STEADY => {
                ZoneHealth::Returning
            }
            // It goes again: at once, and what is left of a return counts for nothing.
            ZoneHealth::Returning if share <= 0.0 || sum.usable < self.peak / 2.0 => {
                ZoneHealth::Dark
            }
            // Cold ones open by passes only: alone they can't carry what comes, however long the ramp has been.
            ZoneHealth::Returning if self.back(now) >= 1.0 && sum.able > 0.99 * sum.usable => {
                match enough(1.0) {
                    true => ZoneHealth::Whole,
                    false => ZoneHealth::Thinned,
                }
            }
            same => same,
        };
        if from != ZoneHealth::Thinned || !enough(WELL.min(headroom)) {
            self.better = None;
        }
        if to == ZoneHealth::Dark {
            self.floor = if from == ZoneHealth::Dark {
                self.floor.min(sum.usable)
            } else {
                sum.usable
            };
        }
        if to == ZoneHealth::Returning {
            self.peak = self.peak.max(sum.usable);
        }
        if to == from {
            return None;
        }
        self.health = to;
        match to {
            ZoneHealth::Dark => {
                // Guards against a zone that flaps and drags the others to and fro: each loss soon after the last
                // doubles the way back.
                let soon = self.losses > 0 && now.saturating_sub(self.lost) < CALM;
                self.losses = if soon {
                    (self.losses + 1).min(MOST_DOUBLED + 1)
                } else {
                    1
                };
                self.lost = now;
            }
            ZoneHealth::Returning => {
                self.back_since = now;
                self.peak = sum.usable;
                self.back_over =
                    back_over * (1 << (self.losses.saturating_sub(1)).min(MOST_DOUBLED));
            }
            ZoneHealth::Whole | ZoneHealth::Thinned => {}
        }
        let why = (to == ZoneHealth::Dark).then_some(if sum.count > 0 {
            Why::Unreached
        } else {
            Why::Gone
        });
        Some(Turned {
            from,
            to,
            why,
            sum,
            usual: self.usual,
            back_over: self.back_over,
        })
    }
}

impl std::fmt::Display for Turned {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let share = 100.0 * self.sum.able / self.usual.max(1e-9);
        let Sum { count, reached, .. } = self.sum;
        match (self.to, self.why) {
            (ZoneHealth::Dark, Some(Why::Unreached)) => {
                write!(
                    f,
                    "is dark from here: the list has {count} up, none can be reached"
                )
            }
            (ZoneHealth::Dark, _) => write!(f, "is dark: the list has none up"),
            (ZoneHealth::Returning, _) => {
                write!(
                    f,
                    "returns: {reached} of {count} up can be reached; full share in {:.1?}",
                    self.back_over
                )
            }
            (ZoneHealth::Thinned, _) => {
                write!(
                    f,
                    "is thinned: {reached} of {count} up can be reached, {share:.0}% of its usual weight"
                )
            }
            (ZoneHealth::Whole, _) => {
                write!(
                    f,
                    "is whole: {reached} of {count} up can be reached, {share:.0}% of its usual weight"
                )
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const SECOND: Duration = Duration::from_secs(1);

    fn sum(listed: usize, usable: usize, ramp: f64) -> Sum {
        let usable_weight = usable as f64;
        Sum {
            listed: listed as f64,
            usable: usable_weight,
            able: usable_weight * ramp,
            count: listed,
            reached: usable,
        }
    }

    /// ZoneHealth after each of the sums, one a second, from ten that are up; ways back take 8 s.
    fn seen(sums: &[Sum]) -> Vec<ZoneHealth> {
        let mut zone = Zone::default();
        zone.see(Duration::ZERO, sum(10, 10, 1.0), 1.4, 8 * SECOND);
        let see = |(n, sum): (usize, &Sum)| {
            zone.see((n as u32 + 1) * SECOND, *sum, 1.4, 8 * SECOND);
            zone.health
        };
        sums.iter().enumerate().map(see).collect()
    }

    use ZoneHealth::{Dark, Returning, Thinned, Whole};

    #[rstest]
    #[case::one_less(&[sum(9, 9, 1.0)], &[Whole])]
    #[case::three_less(&[sum(7, 7, 1.0)], &[Thinned])]
    #[case::cold_ones_count_by_what_they_can(&[sum(10, 10, 0.5)], &[Thinned])]
    #[case::none_listed(&[sum(0, 0, 1.0)], &[Dark])]
    #[case::none_reached(&[sum(10, 0, 1.0)], &[Dark])]
    #[case::better_only_when_it_lasts(
        &[sum(6, 6, 1.0), sum(10, 10, 1.0), sum(6, 6, 1.0), sum(10, 10, 1.0), sum(10, 10, 1.0), sum(10, 10, 1.0)],
        &[Thinned, Thinned, Thinned, Thinned, Thinned, Whole]
    )]
    #[case::first_one_back(&[sum(0, 0, 1.0), sum(1, 1, 0.13), sum(10, 10, 0.2)], &[Dark, Returning, Returning])]
    #[case::goes_again(&[sum(0, 0, 1.0), sum(8, 8, 0.13), sum(3, 3, 0.2)], &[Dark, Returning, Dark])]
    fn a_zone_turns_by_what_can_be_used_of_it(#[case] sums: &[Sum], #[case] health: &[ZoneHealth]) {
        assert_eq!(seen(sums), health);
    }

    #[rstest]
    fn a_return_takes_its_time_and_longer_after_each_loss() {
        let mut zone = Zone::default();
        let mut at = Duration::ZERO;
        let mut see = |zone: &mut Zone, after: Duration, sum| {
            at += after;
            let turned = zone.see(at, sum, 1.4, 8 * SECOND);
            (at, turned)
        };
        see(&mut zone, SECOND, sum(10, 10, 1.0));
        let mut spans = Vec::new();
        for _ in 0..6 {
            see(&mut zone, SECOND, sum(0, 0, 1.0));
            let (back, turned) = see(&mut zone, SECOND, sum(10, 10, 1.0));
            spans.push(turned.map(|t| t.back_over / 8));
            // Half way it carries half.
            let half = back + zone.back_over / 2;
            assert!((zone.could_carry(half, 1.4) - 0.5).abs() < 1e-9);
        }
        assert_eq!(spans, [1, 2, 4, 8, 8, 8].map(|n| Some(n * SECOND)));
        // After a long calm the first loss counts as the first.
        let (_, turned) = see(&mut zone, 100 * SECOND, sum(10, 10, 1.0));
        assert_eq!(turned.map(|t| t.to), Some(Whole));
        see(&mut zone, 400 * SECOND, sum(0, 0, 1.0));
        let (_, turned) = see(&mut zone, SECOND, sum(10, 10, 1.0));
        assert_eq!(turned.map(|t| t.back_over), Some(8 * SECOND));
    }

    #[rstest]
    fn a_zone_that_was_made_smaller_for_good_is_whole_again_in_time() {
        let mut zone = Zone::default();
        zone.see(Duration::ZERO, sum(10, 10, 1.0), 1.4, SECOND);
        zone.see(SECOND, sum(5, 5, 1.0), 1.4, SECOND);
        assert_eq!(zone.health, Thinned);
        zone.see(700 * SECOND, sum(5, 5, 1.0), 1.4, SECOND);
        zone.see(703 * SECOND, sum(5, 5, 1.0), 1.4, SECOND);
        assert_eq!(zone.health, Whole);
    }

    #[rstest]
    #[case(sum(0, 0, 1.0), "is dark: the list has none up")]
    #[case(
        sum(10, 0, 1.0),
        "is dark from here: the list has 10 up, none can be reached"
    )]
    #[case(
        sum(10, 4, 1.0),
        "is thinned: 4 of 10 up can be reached, 40% of its usual weight"
    )]
    fn a_cut_that_only_this_sidecar_sees_reads_otherwise(#[case] now: Sum, #[case] line: &str) {
        let mut zone = Zone::default();
        zone.see(Duration::ZERO, sum(10, 10, 1.0), 1.4, SECOND);
        let turned = zone.see(SECOND, now, 1.4, SECOND).expect("it turns");
        assert_eq!(turned.to_string(), line);
    }
}
