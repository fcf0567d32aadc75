//! An endpoint as it behaves: cores, speed, a queue, cold starts, faults. It holds no socket and no clock; whoever
//! drives it tells the time, in virtual days and behind real sockets alike.

use crate::rng::SeededRng;
use std::collections::VecDeque;
use std::time::Duration;

/// One relay as its endpoint holds it.
pub type JobId = u64;

/// What endpoints of one kind are like. Work is told in seconds of one core at speed one.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSpec {
    pub cores: usize,
    pub speed: f64,
    pub queue_limit: usize,           // jobs that may wait for a core
    pub slowdown_queue_length: usize, // so many waiting slow it down until it is idle again; 0: never
    pub slowdown_speed: f64,          // what is left of its speed then
    pub cold_capacity: f64,           // share of its speed right after a start
    pub warm_up_time: Duration,       // zero: never cold
    pub overload_multiple: f64, // of what it can do now; offered more for `tip_after` a cold one falls over
    pub overload_window: Duration,
    pub crashes_on_overload: bool, // false: it bears all, so that what comes to a cold one is seen whole
    pub stops_cancelled: bool,     // it stops what nobody waits for
    pub max_connections: usize,
    pub connection_work: f64, // seconds, of a new connection
    pub report_age: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub id: JobId,
    pub class: usize,
    pub work: f64, // seconds
}

/// How an answer comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobResult {
    Completed,
    /// An error was answered; the effect may have taken place.
    Error,
    /// Nonsense in place of an answer; the effect took place.
    Malformed,
    /// The connection breaks; the effect took place.
    Reset,
}

/// What shows of an endpoint as time goes on, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointEvent {
    /// From here on the job counts as run.
    Started(JobId),
    Finished(JobId, JobResult),
    /// It fell over; all that it held is lost.
    Crashed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    Accepted,
    /// Turned away, never run: queue full, draining.
    Rejected,
    /// No process there.
    Down,
}

/// What an endpoint says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EndpointLoad {
    pub outstanding: usize,
    pub queued: usize,
    pub utilization: f64,
}

/// What is wrong with an endpoint at present. Shares run from 0 to 1.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultState {
    pub stalled: bool,
    pub speed_left: f64, // what is left of its speed
    pub error_share: f64,
    pub malformed_share: f64,
    pub reset_share: f64,
    pub hanging_classes: Vec<usize>, // verbs whose jobs never end
    pub reports_idle: bool,          // says that it is idle
}

impl Default for FaultState {
    fn default() -> Self {
        FaultState {
            stalled: false,
            speed_left: 1.0,
            error_share: 0.0,
            malformed_share: 0.0,
            reset_share: 0.0,
            hanging_classes: Vec::new(),
            reports_idle: false,
        }
    }
}

/// A change of what is wrong with an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultChange {
    Stalled(bool),
    SpeedLeft(f64),
    ErrorShare(f64),
    MalformedShare(f64),
    ResetShare(f64),
    ClassHangs(usize, bool),
    ReportsIdle(bool),
}

struct RunningJob {
    job: Job,
    work_left: f64,
    result: JobResult,
    hung: bool,
}

pub struct Endpoint {
    pub spec: EndpointSpec,
    pub faults: FaultState,
    chance: SeededRng,
    now: Duration,
    up: bool,
    draining: bool,
    started_at: Option<Duration>, // none: warm for long
    running: Vec<RunningJob>,
    queue: VecDeque<Job>,
    connections: usize,
    slowed_down: bool,
    recent_offers: VecDeque<(Duration, f64)>, // while cold, over the last `tip_after`
    last_report: EndpointLoad,
    last_report_at: Duration,
    events: Vec<EndpointEvent>,
}

impl Endpoint {
    /// A warm one that is up.
    pub fn new(make: EndpointSpec, chance: SeededRng) -> Self {
        Endpoint {
            spec: make,
            faults: FaultState::default(),
            chance,
            now: Duration::ZERO,
            up: true,
            draining: false,
            started_at: None,
            running: Vec::new(),
            queue: VecDeque::new(),
            connections: 0,
            slowed_down: false,
            recent_offers: VecDeque::new(),
            last_report: EndpointLoad::default(),
            last_report_at: Duration::ZERO,
            events: Vec::new(),
        }
    }

    pub fn is_up(&self) -> bool {
        self.up
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    pub fn started_at(&self) -> Option<Duration> {
        self.started_at
    }

    /// Jobs it holds, waiting or in work.
    pub fn outstanding(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Share of its full speed that a start has left it with at a time.
    pub fn warm_up_factor(&self, at: Duration) -> f64 {
        warm_up_factor(&self.spec, self.started_at, at)
    }

    /// What one core does in a second.
    fn rate(&self) -> f64 {
        if self.faults.stalled || !self.up {
            return 0.0;
        }
        let drag = if self.slowed_down {
            self.spec.slowdown_speed
        } else {
            1.0
        };
        self.spec.speed * self.warm_up_factor(self.now) * drag * self.faults.speed_left
    }

    /// Seconds until a job of so much work would be done here, were it sent now; none if it would not be.
    pub fn estimate_seconds(&self, work: f64, verb: usize) -> Option<f64> {
        let rate = self.rate();
        let room = self.queue.len() < self.spec.queue_limit || self.busy() < self.spec.cores;
        if rate <= 0.0 || self.draining || !room || self.faults.hanging_classes.contains(&verb) {
            return None;
        }
        let left: f64 = self
            .running
            .iter()
            .filter(|w| !w.hung)
            .map(|w| w.work_left)
            .sum();
        let ahead = left + self.queue.iter().map(|j| j.work).sum::<f64>();
        let wait = if self.busy() < self.spec.cores {
            0.0
        } else {
            ahead / self.spec.cores as f64
        };
        let fails = self.faults.error_share + self.faults.malformed_share + self.faults.reset_share;
        // A failure costs more than a wait does: most of what fails may not be sent again.
        Some((wait + work) / rate * (1.0 + 30.0 * fails))
    }

    fn busy(&self) -> usize {
        self.running.iter().filter(|w| !w.hung).count()
    }

    /// A new connection; whether it comes up.
    pub fn connect(&mut self) -> bool {
        let room = self.up && self.connections < self.spec.max_connections;
        self.connections += usize::from(room);
        room
    }

    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    pub fn connections(&self) -> usize {
        self.connections
    }

    /// A job comes in. Its time is that of the last `advance`.
    pub fn offer(&mut self, job: Job) -> Admission {
        if !self.up {
            return Admission::Down;
        }
        if self.records_overload(job.work) {
            self.events.push(EndpointEvent::Crashed);
            return Admission::Down;
        }
        if self.draining
            || (self.busy() >= self.spec.cores && self.queue.len() >= self.spec.queue_limit)
        {
            return Admission::Rejected;
        }
        self.queue.push_back(job);
        self.start_queued();
        if self.spec.slowdown_queue_length > 0
            && self.queue.len() >= self.spec.slowdown_queue_length
        {
            self.slowed_down = true;
        }
        Admission::Accepted
    }

    /// Whether what was offered of late pushes a cold one over.
    fn records_overload(&mut self, work: f64) -> bool {
        if self.warm_up_factor(self.now) >= 1.0 {
            self.recent_offers.clear();
            return false;
        }
        self.recent_offers.push_back((self.now, work));
        while self
            .recent_offers
            .front()
            .is_some_and(|(at, _)| *at + self.spec.overload_window < self.now)
        {
            self.recent_offers.pop_front();
        }
        let sum: f64 = self.recent_offers.iter().map(|(_, work)| work).sum();
        let young = self.now.saturating_sub(self.started_at.unwrap_or_default())
            < self.spec.overload_window;
        let can = self.spec.cores as f64 * self.spec.speed * self.warm_up_factor(self.now);
        !young
            && self.spec.crashes_on_overload
            && sum > self.spec.overload_multiple * can * self.spec.overload_window.as_secs_f64()
    }

    /// Nobody waits for a job any more. Tells whether it was still here.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let held =
            self.running.iter().any(|w| w.job.id == id) || self.queue.iter().any(|j| j.id == id);
        if held && self.spec.stops_cancelled {
            self.queue.retain(|j| j.id != id);
            self.running.retain(|w| w.job.id != id);
            self.start_queued();
        }
        held
    }

    /// Starts what waits while cores are free.
    fn start_queued(&mut self) {
        while self.busy() < self.spec.cores {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            let hung = self.faults.hanging_classes.contains(&job.class);
            let draw = self.chance.uniform();
            let (errors, spoils) = (self.faults.error_share, self.faults.malformed_share);
            let verdict = match draw {
                d if d < errors => JobResult::Error,
                d if d < errors + spoils => JobResult::Malformed,
                d if d < errors + spoils + self.faults.reset_share => JobResult::Reset,
                _ => JobResult::Completed,
            };
            // An error is quick, and half of them come before anything has taken place.
            let quick = verdict == JobResult::Error;
            if !quick || self.chance.uniform() < 0.5 {
                self.events.push(EndpointEvent::Started(job.id));
            }
            let left = if quick { job.work * 0.05 } else { job.work };
            self.running.push(RunningJob {
                job,
                work_left: left,
                result: verdict,
                hung,
            });
        }
        if self.running.is_empty() && self.queue.is_empty() {
            self.slowed_down = false;
        }
    }

    /// Lets time pass; what shows comes from `take_shown`.
    pub fn advance(&mut self, to: Duration) {
        while self.now < to {
            let rate = self.rate();
            let end = self
                .next_event_at()
                .map_or(to, |at| at.clamp(self.now + Duration::from_nanos(1), to));
            let done = rate * (end - self.now).as_secs_f64();
            self.now = end;
            for work in self.running.iter_mut().filter(|w| !w.hung) {
                work.work_left -= done;
            }
            let ended = |w: &RunningJob| !w.hung && w.work_left <= 1e-9;
            let mut n = 0;
            while n < self.running.len() {
                if ended(&self.running[n]) {
                    let work = self.running.remove(n);
                    self.events
                        .push(EndpointEvent::Finished(work.job.id, work.result));
                } else {
                    n += 1;
                }
            }
            self.start_queued();
        }
    }

    /// When something next changes by itself.
    pub fn next_event_at(&self) -> Option<Duration> {
        let rate = self.rate();
        let least = self
            .running
            .iter()
            .filter(|w| !w.hung)
            .map(|w| w.work_left)
            .fold(f64::INFINITY, f64::min);
        if rate <= 0.0 || !least.is_finite() {
            return None;
        }
        let done =
            self.now + Duration::from_secs_f64((least / rate).min(1e6)) + Duration::from_nanos(1);
        // A cold one is faster a little later.
        let step = self.spec.warm_up_time / 64;
        let warmer = if self.warm_up_factor(self.now) < 1.0 {
            self.now + step
        } else {
            Duration::MAX
        };
        Some(done.min(warmer))
    }

    pub fn take_events(&mut self) -> Vec<EndpointEvent> {
        std::mem::take(&mut self.events)
    }

    /// How it says it is; a report may be old.
    pub fn load_report(&mut self) -> EndpointLoad {
        if self.faults.reports_idle {
            return EndpointLoad::default();
        }
        if self.now >= self.last_report_at + self.spec.report_age || self.last_report_at.is_zero() {
            self.last_report_at = self.now;
            self.last_report = EndpointLoad {
                outstanding: self.outstanding(),
                queued: self.queue.len(),
                utilization: self.busy().min(self.spec.cores) as f64 / self.spec.cores as f64,
            };
        }
        self.last_report
    }

    /// The process ends at once; gives what it held.
    pub fn crash(&mut self) -> Vec<JobId> {
        self.up = false;
        self.connections = 0;
        self.slowed_down = false;
        let work = std::mem::take(&mut self.running)
            .into_iter()
            .map(|w| w.job.id);
        work.chain(std::mem::take(&mut self.queue).into_iter().map(|j| j.id))
            .collect()
    }

    /// A new process, cold where its kind has a cold start.
    pub fn start(&mut self, now: Duration) {
        (self.now, self.up, self.draining) = (now, true, false);
        self.started_at = (!self.spec.warm_up_time.is_zero()).then_some(now);
        self.recent_offers.clear();
    }

    /// It finishes what it has and takes nothing new.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Takes on a trouble, or is rid of it; what hung goes on then.
    pub fn apply_fault(&mut self, turn: &FaultChange) {
        let trouble = &mut self.faults;
        match *turn {
            FaultChange::Stalled(on) => trouble.stalled = on,
            FaultChange::SpeedLeft(left) => trouble.speed_left = left,
            FaultChange::ErrorShare(share) => trouble.error_share = share,
            FaultChange::MalformedShare(share) => trouble.malformed_share = share,
            FaultChange::ResetShare(share) => trouble.reset_share = share,
            FaultChange::ReportsIdle(on) => trouble.reports_idle = on,
            FaultChange::ClassHangs(verb, true) => trouble.hanging_classes.push(verb),
            FaultChange::ClassHangs(verb, false) => {
                trouble.hanging_classes.retain(|v| *v != verb);
                self.update_hung_jobs();
            }
        }
    }

    fn update_hung_jobs(&mut self) {
        let hangs = &self.faults.hanging_classes;
        self.running
            .iter_mut()
            .for_each(|w| w.hung = hangs.contains(&w.job.class));
    }
}

/// Share of its full speed that a start has left an endpoint with at a time.
pub fn warm_up_factor(make: &EndpointSpec, started: Option<Duration>, at: Duration) -> f64 {
    let Some(started) = started.filter(|_| !make.warm_up_time.is_zero()) else {
        return 1.0;
    };
    let age = at.saturating_sub(started).as_secs_f64() / make.warm_up_time.as_secs_f64();
    make.cold_capacity + (1.0 - make.cold_capacity) * age.min(1.0)
}

#[cfg(test)]
pub mod tests;
