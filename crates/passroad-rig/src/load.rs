//! The load of a run: which client sends which command when. The load is open: first tries come at their times, however
//! earlier ones were answered, and are the same under any policy. Only retries depend on the answers.

use crate::experiment::Plan;
use crate::rng::SeededRng;
use std::time::Duration;

/// One try of a client to get a command done.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientRequest {
    pub instance: usize,
    pub class: usize,
    pub tenant: Option<usize>,
    pub work: f64, // seconds of a core at speed 1
    pub is_retry: bool,
    pub try_number: u32,
    pub chain: Option<usize>, // first command of its chain of tries; none for a first try until it is recorded
    pub serial: u64,          // of the chain of tries; the same under any policy
}

impl ClientRequest {
    pub fn is_first_try(&self) -> bool {
        self.try_number == 1
    }
}

/// Generates first tries in order of time, and retries.
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
        let mut skew_rng = SeededRng::stream(seed, "shares", 0);
        RequestGenerator {
            seed,
            rng: SeededRng::stream(seed, "load", 0),
            time: 0.0,
            serial: 0,
            instance_shares: (0..plan.instances)
                .map(|_| skew_rng.lognormal(plan.instance_skew))
                .collect(),
            class_shares: plan.classes.iter().map(|class| class.share).collect(),
            tenant_shares: plan.tenants.iter().map(|(_, _, share)| *share).collect(),
            plan: plan.clone(),
        }
    }

    /// The next first try and its time; none after the end of the run.
    pub fn next_request(&mut self) -> Option<(Duration, ClientRequest)> {
        let rate = self.plan.per_second
            * self
                .plan
                .load_factor(Duration::from_secs_f64(self.time))
                .max(1e-6);
        self.time += self.rng.exponential() / rate;
        let time = Duration::from_secs_f64(self.time);
        if time >= self.plan.length {
            return None;
        }
        let instance = self.rng.weighted_index(&self.instance_shares);
        let class = self.rng.weighted_index(&self.class_shares);
        let tenant =
            (!self.tenant_shares.is_empty()).then(|| self.rng.weighted_index(&self.tenant_shares));
        let class_plan = &self.plan.classes[class];
        let work = class_plan.mean_work * self.rng.lognormal(class_plan.work_sigma);
        self.serial += 1;
        let request = ClientRequest {
            instance,
            class,
            tenant,
            work,
            is_retry: false,
            try_number: 1,
            chain: None,
            serial: self.serial,
        };
        Some((time, request))
    }

    /// The retry of a refused command and the delay until it; none if the client doesn't try again.
    pub fn retry(
        &self,
        request: &ClientRequest,
        retry_after: Option<Duration>,
    ) -> Option<(Duration, ClientRequest)> {
        let stream_number = request.serial * 64 + u64::from(request.try_number);
        let mut rng = SeededRng::stream(self.seed, "again", stream_number);
        if request.try_number >= self.plan.max_tries || rng.uniform() >= self.plan.retry_share {
            return None;
        }
        let delay = retry_after
            .unwrap_or_default()
            .max(self.plan.retry_pause)
            .mul_f64(0.75 + 0.5 * rng.uniform());
        Some((
            delay,
            ClientRequest {
                is_retry: true,
                try_number: request.try_number + 1,
                ..request.clone()
            },
        ))
    }
}
