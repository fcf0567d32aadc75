//! How much may go to further zones. No instance knows of the others, so each learns its part from how the receiving
//! zone is: it asks for more while there is room, and gives way as soon as there is not.

use std::time::Duration;

const STEP: Duration = Duration::from_millis(100); // between two looks
const FIRST: f64 = 0.05; // of the own rate, right after a loss
const PLENTY: f64 = 0.7; // of the ceiling; below it there is plenty of room
const RISE: f64 = 1.5; // a step, while there is
const GENTLE: f64 = 0.2; // how much a step follows the room that is left: what is heard is a second old
const STEEP: f64 = 2.5; // and how much what is lacking, as others pay for that
const CUT: f64 = 0.8; // the least that a step may leave
const CREEP: f64 = 0.01; // of the own rate a step, where nothing is heard of the load
const SLACK: f64 = 2.0; // times the own rate, where all may spill: the bucket is not to bind
const STRAINED: f64 = 0.15; // of the outcomes; so many bad ones are no chance
const MEMORY: Duration = Duration::from_secs(1); // of load and strain
const BURST: Duration = Duration::from_millis(500); // of the allowance, that may come at once
const NOISE: f64 = 0.35; // of one report, as a busy share of one core or two jumps between nothing and one
const LEAST: f64 = 0.2; // commands a second; less would never add up to one

/// A mean that fades.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    sum: f64,
    weight: f64,
    at: Duration,
}

impl Mean {
    fn faded(&self, now: Duration) -> f64 {
        let spans = now.saturating_sub(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        (1.0 - spans / 16.0).max(0.0).powi(16)
    }

    fn add(&mut self, now: Duration, value: f64) {
        let left = self.faded(now);
        *self = Mean {
            sum: self.sum * left + value,
            weight: self.weight * left + 1.0,
            at: now,
        };
    }

    /// None where too little was seen of late.
    fn read(&self, now: Duration) -> Option<f64> {
        (self.count(now) >= 1.0).then(|| self.sum / self.weight)
    }

    /// How much was seen of late.
    fn count(&self, now: Duration) -> f64 {
        self.weight * self.faded(now)
    }
}

/// What one sidecar may send on to further zones.
#[derive(Debug, Clone)]
pub struct Spill {
    most: f64, // of the own rate
    per_second: f64,
    ceiling: f64,
    trickle: f64, // of the own rate
    pub rate: f64,
    tokens: f64,
    filled: Duration,
    looked: Duration,
    load: Mean,   // utilization that receivers report
    strain: Mean, // share of what went there and was turned away, late or lost
    active: bool,
}

impl Spill {
    pub fn new(most: f64, per_second: f64, ceiling: f64, trickle: f64) -> Self {
        Spill {
            most,
            per_second,
            ceiling,
            trickle,
            rate: 0.0,
            tokens: 0.0,
            filled: Duration::ZERO,
            looked: Duration::ZERO,
            load: Mean::default(),
            strain: Mean::default(),
            active: false,
        }
    }

    /// A receiving endpoint said how busy it is.
    pub fn heard(&mut self, now: Duration, utilization: f64) {
        self.load.add(now, utilization.clamp(0.0, 1.0));
    }

    /// How something that went there ended.
    pub fn ended(&mut self, now: Duration, bad: bool) {
        self.strain.add(now, f64::from(u8::from(bad)));
    }

    pub fn load(&self, now: Duration) -> Option<f64> {
        self.load.read(now)
    }

    /// Looks how the receivers are, from time to time; `own` is this sidecar's rate of commands.
    pub fn turn(&mut self, now: Duration, own: f64, needed: bool) {
        let slack = if self.most >= 1.0 { SLACK } else { 1.0 };
        let top = (self.most * slack * own).min(self.per_second);
        let low = (self.trickle * own).max(LEAST).min(top);
        if !needed {
            (self.active, self.rate, self.tokens) = (false, 0.0, 0.0);
            (self.filled, self.looked) = (now, now);
            return;
        }
        if !std::mem::replace(&mut self.active, true) {
            self.rate = (FIRST * own).clamp(low, top.max(low));
            // The first of them need not wait for the bucket to fill.
            (self.tokens, self.filled, self.looked) = (self.burst(), now, now);
        }
        if now.saturating_sub(self.looked) < STEP {
            return;
        }
        self.looked = now;
        let bad = self.strain.read(now).is_some_and(|share| share > STRAINED);
        let rate = match self.load.read(now) {
            _ if bad => self.rate * CUT,
            Some(load) if load < PLENTY * self.ceiling => self.rate * RISE,
            // In proportion to the room, so that what is shared by many settles and chance moves it little.
            Some(load) => {
                // Guards against chance: of few reports some hundredths more than the ceiling say nothing.
                let doubt = NOISE / self.load.count(now).max(1.0).sqrt();
                let room = match 1.0 - load / self.ceiling {
                    room if room > 0.0 => room * GENTLE,
                    _ => (1.0 - (load - doubt) / self.ceiling).min(0.0) * STEEP,
                };
                self.rate * (1.0 + room).max(CUT)
            }
            // Nothing is heard of how they are: outcomes alone decide, and carefully.
            None if self.strain.read(now).is_some() => self.rate + CREEP * own,
            None => self.rate,
        };
        self.rate = rate.clamp(low, top.max(low));
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST.as_secs_f64()).max(1.5)
    }

    /// Whether a command may go on; what is worth least needs the fuller bucket. Else when to come back.
    pub fn take(&mut self, now: Duration, worth: f64) -> Result<(), Duration> {
        let burst = self.burst();
        let since = now.saturating_sub(self.filled).as_secs_f64();
        (self.tokens, self.filled) = ((self.tokens + since * self.rate).min(burst), now);
        let need = 1.0 + (1.0 - worth.clamp(0.0, 1.0)) * 0.6 * (burst - 1.0);
        if self.tokens >= need {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(
            ((need - self.tokens) / self.rate.max(LEAST)).clamp(0.05, 60.0),
        ))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// The allowance after some seconds of 100 commands a second and a receiver that says what `load` tells of it.
    fn settled(load: impl Fn(f64) -> Option<f64>, bad: bool, seconds: u64) -> f64 {
        let mut spill = Spill::new(1.0, f64::INFINITY, 0.9, 0.02);
        for n in 0..seconds * 100 {
            let now = ms(1000 + n * 10);
            spill.turn(now, 100.0, true);
            load(spill.rate)
                .into_iter()
                .for_each(|load| spill.heard(now, load));
            if bad {
                spill.ended(now, true);
            }
        }
        spill.rate
    }

    #[rstest]
    #[case::idle(0.3, false, 200.0..200.1)]
    #[case::at_its_ceiling(0.95, false, 2.0..2.1)]
    #[case::strained(0.3, true, 2.0..2.1)]
    fn an_allowance_follows_its_receiver(
        #[case] load: f64,
        #[case] bad: bool,
        #[case] rate: std::ops::Range<f64>,
    ) {
        let settled = settled(|_| Some(load), bad, 6);
        assert!(rate.contains(&settled), "{settled}");
    }

    // A receiver at half of what it can do, for which each command of ours counts.
    #[rstest]
    fn it_settles_under_the_ceiling() {
        let rate = settled(|rate| Some((0.5 + rate / 200.0).min(1.0)), false, 30);
        assert!((70.0..90.0).contains(&rate), "{rate}");
    }

    #[rstest]
    fn all_is_moved_within_a_second_or_two_where_there_is_plenty_of_room() {
        assert!(settled(|_| Some(0.3), false, 1) > 60.0);
        // Where nothing is heard nothing is risked.
        assert!(settled(|_| None, false, 10) <= 10.0);
    }

    #[rstest]
    fn limits_bind() {
        let mut spill = Spill::new(0.25, 20.0, 0.9, 0.02);
        for n in 0..1000 {
            spill.heard(ms(n * 10), 0.1);
            spill.turn(ms(n * 10), 100.0, true);
            assert!(spill.rate <= 20.0);
        }
        spill.turn(ms(20_000), 40.0, true);
        assert!(spill.rate <= 10.0);
        spill.turn(ms(20_001), 40.0, false);
        assert_eq!(spill.rate, 0.0);
    }

    #[rstest]
    fn the_bucket_lets_through_its_rate_and_the_worth_most_first() {
        let mut spill = Spill::new(1.0, 50.0, 0.9, 0.02);
        for n in 0..400 {
            spill.heard(ms(n * 10), 0.1);
            spill.turn(ms(n * 10), 100.0, true);
        }
        let (mut dear, mut cheap) = (0, 0);
        for n in 0..1000 {
            let now = ms(4000 + n * 10);
            spill.heard(now, 0.1);
            spill.turn(now, 100.0, true);
            let worth = if n % 2 == 0 { 1.0 } else { 0.2 };
            match spill.take(now, worth) {
                Ok(()) if worth > 0.5 => dear += 1,
                Ok(()) => cheap += 1,
                Err(after) => assert!(after >= ms(50)),
            }
        }
        // Fifty a second for ten seconds, and the burst.
        assert!((490..=530).contains(&(dear + cheap)), "{dear} {cheap}");
        assert!(dear > 450, "{dear} {cheap}");
    }
}
