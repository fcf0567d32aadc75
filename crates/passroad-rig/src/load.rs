//! Who asks for what and when. The load is open: it comes as it comes, however it is answered, and is the same for
//! whoever decides; only a client's later tries depend on the answers.

use crate::experiment::Plan;
use crate::rng::SeededRng;
use std::time::Duration;

/// One try of a client.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientRequest {
    pub instance: usize,
    pub class: usize,
    pub tenant: Option<usize>,
    pub work: f64, // seconds of a core at speed one
    pub is_retry: bool,
    pub try_number: u32,
    pub chain: Option<usize>, // the command that this one follows; none for a first try
    pub serial: u64,          // of the chain, the same for whoever decides
}

impl ClientRequest {
    pub fn is_first_try(&self) -> bool {
        self.try_number == 1
    }
}

/// First tries in order of time.
pub struct RequestGenerator {
    seed: u64,
    rng: SeededRng,
    time: f64, // seconds
    serial: u64,
    instance_shares: Vec<f64>, // of the load, by instance
    class_shares: Vec<f64>,
    tenant_shares: Vec<f64>,
    plan: Plan,
}

impl RequestGenerator {
    pub fn new(plan: &Plan, seed: u64) -> Self {
        let mut uneven = SeededRng::stream(seed, "shares", 0);
        RequestGenerator {
            seed,
            rng: SeededRng::stream(seed, "load", 0),
            time: 0.0,
            serial: 0,
            instance_shares: (0..plan.instances)
                .map(|_| uneven.lognormal(plan.instance_skew))
                .collect(),
            class_shares: plan.classes.iter().map(|v| v.share).collect(),
            tenant_shares: plan.tenants.iter().map(|(_, _, share)| *share).collect(),
            plan: plan.clone(),
        }
    }

    /// The next first try and its time; none once the day is over.
    pub fn next_request(&mut self) -> Option<(Duration, ClientRequest)> {
        let rate = self.plan.per_second
            * self
                .plan
                .load_factor(Duration::from_secs_f64(self.time))
                .max(1e-6);
        self.time += self.rng.exponential() / rate;
        let at = Duration::from_secs_f64(self.time);
        if at >= self.plan.length {
            return None;
        }
        let instance = self.rng.weighted_index(&self.instance_shares);
        let verb = self.rng.weighted_index(&self.class_shares);
        let company =
            (!self.tenant_shares.is_empty()).then(|| self.rng.weighted_index(&self.tenant_shares));
        let v = &self.plan.classes[verb];
        let work = v.mean_work * self.rng.lognormal(v.work_sigma);
        self.serial += 1;
        let ask = ClientRequest {
            instance,
            class: verb,
            tenant: company,
            work,
            is_retry: false,
            try_number: 1,
            chain: None,
            serial: self.serial,
        };
        Some((at, ask))
    }

    /// Whether a client that was declined tries again, after what time and with what.
    pub fn retry(
        &self,
        ask: &ClientRequest,
        not_before: Option<Duration>,
    ) -> Option<(Duration, ClientRequest)> {
        let key = ask.serial * 64 + u64::from(ask.try_number);
        let mut chance = SeededRng::stream(self.seed, "again", key);
        if ask.try_number >= self.plan.max_tries || chance.uniform() >= self.plan.retry_share {
            return None;
        }
        let after = not_before
            .unwrap_or_default()
            .max(self.plan.retry_pause)
            .mul_f64(0.75 + 0.5 * chance.uniform());
        Some((
            after,
            ClientRequest {
                is_retry: true,
                try_number: ask.try_number + 1,
                ..ask.clone()
            },
        ))
    }
}
