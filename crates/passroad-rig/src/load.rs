//! Who asks for what and when. The load is open: it comes as it comes, however it is answered, and is the same for
//! whoever decides; only a client's later tries depend on the answers.

use crate::chance::Chance;
use crate::experiment::Plan;
use std::time::Duration;

/// One try of a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    pub instance: usize,
    pub verb: usize,
    pub company: Option<usize>,
    pub work: f64, // seconds of a core at speed one
    pub again: bool,
    pub tries: u32,
    pub chain: Option<usize>, // the command that this one follows; none for a first try
    pub serial: u64,          // of the chain, the same for whoever decides
}

impl Ask {
    pub fn first(&self) -> bool {
        self.tries == 1
    }
}

/// First tries in order of time.
pub struct Asks {
    seed: u64,
    chance: Chance,
    at: f64, // seconds
    serial: u64,
    shares: Vec<f64>, // of the load, by instance
    verbs: Vec<f64>,
    companies: Vec<f64>,
    plan: Plan,
}

impl Asks {
    pub fn new(plan: &Plan, seed: u64) -> Self {
        let mut uneven = Chance::stream(seed, "shares", 0);
        Asks {
            seed,
            chance: Chance::stream(seed, "load", 0),
            at: 0.0,
            serial: 0,
            shares: (0..plan.instances)
                .map(|_| uneven.skewed(plan.uneven))
                .collect(),
            verbs: plan.verbs.iter().map(|v| v.share).collect(),
            companies: plan.companies.iter().map(|(_, _, share)| *share).collect(),
            plan: plan.clone(),
        }
    }

    /// The next first try and its time; none once the day is over.
    pub fn next_ask(&mut self) -> Option<(Duration, Ask)> {
        let rate =
            self.plan.per_second * self.plan.factor(Duration::from_secs_f64(self.at)).max(1e-6);
        self.at += self.chance.gap() / rate;
        let at = Duration::from_secs_f64(self.at);
        if at >= self.plan.length {
            return None;
        }
        let instance = self.chance.pick(&self.shares);
        let verb = self.chance.pick(&self.verbs);
        let company = (!self.companies.is_empty()).then(|| self.chance.pick(&self.companies));
        let v = &self.plan.verbs[verb];
        let work = v.work * self.chance.skewed(v.spread);
        self.serial += 1;
        let ask = Ask {
            instance,
            verb,
            company,
            work,
            again: false,
            tries: 1,
            chain: None,
            serial: self.serial,
        };
        Some((at, ask))
    }

    /// Whether a client that was declined tries again, after what time and with what.
    pub fn again(&self, ask: &Ask, not_before: Option<Duration>) -> Option<(Duration, Ask)> {
        let key = ask.serial * 64 + u64::from(ask.tries);
        let mut chance = Chance::stream(self.seed, "again", key);
        if ask.tries >= self.plan.tries || chance.share() >= self.plan.retries {
            return None;
        }
        let after = not_before
            .unwrap_or_default()
            .max(self.plan.pause)
            .mul_f64(0.75 + 0.5 * chance.share());
        Some((
            after,
            Ask {
                again: true,
                tries: ask.tries + 1,
                ..ask.clone()
            },
        ))
    }
}
