//! Model of an endpoint server: cores, speed, a queue, cold starts and faults. It holds no socket and no clock; the
//! caller passes the time, in simulated runs and behind real sockets alike.

use crate::rng::SeededRng;
use std::collections::VecDeque;
use std::time::Duration;

/// How much a share of failing jobs adds to the estimated time of a job, against the time itself.
const FAILURE_WEIGHT: f64 = 30.0;
/// Share of a job's work that is done before an error is answered.
const ERROR_WORK_SHARE: f64 = 0.05;

/// Identifies a relay at its endpoint.
pub type JobId = u64;

/// Properties of endpoints of one kind. Work is measured in seconds of one core at speed 1.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSpec {
    pub cores: usize,
    pub speed: f64,
    pub queue_limit: usize,           // jobs that may wait for a core
    pub slowdown_queue_length: usize, // a queue of this length slows it down until it is idle; 0: never
    pub slowdown_speed: f64,          // share of its speed that is left while slowed down
    pub cold_capacity: f64,           // share of its speed right after a start
    pub warm_up_time: Duration, // from cold_capacity to full speed, linearly; zero: never cold
    pub overload_multiple: f64, // a cold endpoint crashes when offered more than this multiple of its capacity over `overload_window`
    pub overload_window: Duration,
    pub crashes_on_overload: bool, // false: it survives, so that all that is offered to a cold endpoint can be measured
    pub stops_cancelled: bool, // whether a cancelled job is dropped; otherwise it runs to its end
    pub max_connections: usize,
    pub connection_work: f64, // seconds, for each new connection
    pub report_age: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub id: JobId,
    pub class: usize,
    pub work: f64, // seconds
}

/// How a job ends for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobResult {
    Completed,
    /// An error response; the effect may have taken place.
    Error,
    /// A response that can't be parsed; the effect took place.
    Malformed,
    /// The connection is reset; the effect took place.
    Reset,
}

/// What happens at an endpoint as time passes, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointEvent {
    /// From now on the job counts as run.
    Started(JobId),
    Finished(JobId, JobResult),
    /// It crashed from overload while cold; all jobs that it held are lost.
    Crashed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    Accepted,
    /// Queue full or draining; the job never runs.
    Rejected,
    /// No process is running.
    Down,
}

/// Load as an endpoint reports it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EndpointLoad {
    pub outstanding: usize,
    pub queued: usize,
    pub utilization: f64,
}

/// Faults that an endpoint has at present. Shares run from 0 to 1.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultState {
    pub stalled: bool,
    pub speed_left: f64, // share of its speed that is left
    pub error_share: f64,
    pub malformed_share: f64,
    pub reset_share: f64,
    pub hanging_classes: Vec<usize>, // request classes whose jobs never end
    pub reports_idle: bool,          // reports zero load, whatever it has
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

/// A change of an endpoint's faults.
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
    rng: SeededRng,
    now: Duration,
    up: bool,
    draining: bool,
    started_at: Option<Duration>, // none: was warm from the start of the run
    running: Vec<RunningJob>,
    queue: VecDeque<Job>,
    connections: usize,
    slowed_down: bool,
    recent_offers: VecDeque<(Duration, f64)>, // time and work; while cold, over the last `overload_window`
    last_report: EndpointLoad,
    last_report_at: Duration,
    events: Vec<EndpointEvent>,
}

impl Endpoint {
    /// An endpoint that is up and warm.
    pub fn new(spec: EndpointSpec, rng: SeededRng) -> Self {
        Endpoint {
            spec,
            faults: FaultState::default(),
            rng,
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

    /// Jobs that it holds, queued or running.
    pub fn outstanding(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Share of its full speed that it has at a time, by how long ago it started.
    pub fn warm_up_factor(&self, time: Duration) -> f64 {
        warm_up_factor(&self.spec, self.started_at, time)
    }

    /// Work that one core does in a second.
    fn core_rate(&self) -> f64 {
        if self.faults.stalled || !self.up {
            return 0.0;
        }
        let slowdown = if self.slowed_down {
            self.spec.slowdown_speed
        } else {
            1.0
        };
        self.spec.speed * self.warm_up_factor(self.now) * slowdown * self.faults.speed_left
    }

    /// Seconds until a job of this work would be done if it were sent now; none if it would not be done.
    /// With faults the time is scaled up by their shares.
    pub fn estimate_seconds(&self, work: f64, class: usize) -> Option<f64> {
        let rate = self.core_rate();
        let accepts =
            self.queue.len() < self.spec.queue_limit || self.busy_cores() < self.spec.cores;
        if rate <= 0.0 || self.draining || !accepts || self.faults.hanging_classes.contains(&class)
        {
            return None;
        }
        let work_left: f64 = self
            .running
            .iter()
            .filter(|running_job| !running_job.hung)
            .map(|running_job| running_job.work_left)
            .sum();
        let work_ahead = work_left
            + self
                .queue
                .iter()
                .map(|queued_job| queued_job.work)
                .sum::<f64>();
        let wait = if self.busy_cores() < self.spec.cores {
            0.0
        } else {
            work_ahead / self.spec.cores as f64
        };
        let failure_share =
            self.faults.error_share + self.faults.malformed_share + self.faults.reset_share;
        // A failure costs more than a wait: most of the jobs that fail may not be sent again.
        Some((wait + work) / rate * (1.0 + FAILURE_WEIGHT * failure_share))
    }

    fn busy_cores(&self) -> usize {
        self.running
            .iter()
            .filter(|running_job| !running_job.hung)
            .count()
    }

    /// Opens a connection; returns whether it was accepted.
    pub fn connect(&mut self) -> bool {
        let accepted = self.up && self.connections < self.spec.max_connections;
        self.connections += usize::from(accepted);
        accepted
    }

    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Takes a job in at the time of the last `advance`.
    pub fn offer(&mut self, job: Job) -> Admission {
        if !self.up {
            return Admission::Down;
        }
        if self.records_overload(job.work) {
            self.events.push(EndpointEvent::Crashed);
            return Admission::Down;
        }
        if self.draining
            || (self.busy_cores() >= self.spec.cores && self.queue.len() >= self.spec.queue_limit)
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

    /// Records a job's work while the endpoint is cold; returns whether the work offered lately crashes it.
    fn records_overload(&mut self, work: f64) -> bool {
        if self.warm_up_factor(self.now) >= 1.0 {
            self.recent_offers.clear();
            return false;
        }
        self.recent_offers.push_back((self.now, work));
        while self
            .recent_offers
            .front()
            .is_some_and(|(time, _)| *time + self.spec.overload_window < self.now)
        {
            self.recent_offers.pop_front();
        }
        let offered_work: f64 = self.recent_offers.iter().map(|(_, work)| work).sum();
        // The bound is over a whole window; before that it doesn't apply.
        let younger_than_window = self.now.saturating_sub(self.started_at.unwrap_or_default())
            < self.spec.overload_window;
        let capacity = self.spec.cores as f64 * self.spec.speed * self.warm_up_factor(self.now);
        !younger_than_window
            && self.spec.crashes_on_overload
            && offered_work
                > self.spec.overload_multiple * capacity * self.spec.overload_window.as_secs_f64()
    }

    /// Cancels a job; returns whether the endpoint still held it.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let was_held = self
            .running
            .iter()
            .any(|running_job| running_job.job.id == id)
            || self.queue.iter().any(|queued_job| queued_job.id == id);
        if was_held && self.spec.stops_cancelled {
            self.queue.retain(|queued_job| queued_job.id != id);
            self.running.retain(|running_job| running_job.job.id != id);
            self.start_queued();
        }
        was_held
    }

    /// Starts queued jobs while cores are free.
    fn start_queued(&mut self) {
        while self.busy_cores() < self.spec.cores {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            let hung = self.faults.hanging_classes.contains(&job.class);
            let draw = self.rng.uniform();
            let (errors, malformed) = (self.faults.error_share, self.faults.malformed_share);
            let result = match draw {
                d if d < errors => JobResult::Error,
                d if d < errors + malformed => JobResult::Malformed,
                d if d < errors + malformed + self.faults.reset_share => JobResult::Reset,
                _ => JobResult::Completed,
            };
            // An error is answered early, half of them before the job counts as run.
            let fails_early = result == JobResult::Error;
            if !fails_early || self.rng.uniform() < 0.5 {
                self.events.push(EndpointEvent::Started(job.id));
            }
            let work_left = if fails_early {
                job.work * ERROR_WORK_SHARE
            } else {
                job.work
            };
            self.running.push(RunningJob {
                job,
                work_left,
                result,
                hung,
            });
        }
        if self.running.is_empty() && self.queue.is_empty() {
            self.slowed_down = false;
        }
    }

    /// Advances to a time; what happened until then is returned by `take_events`.
    pub fn advance(&mut self, to: Duration) {
        while self.now < to {
            let rate = self.core_rate();
            let end = self
                .next_event_at()
                .map_or(to, |at| at.clamp(self.now + Duration::from_nanos(1), to));
            let done = rate * (end - self.now).as_secs_f64();
            self.now = end;
            for work in self
                .running
                .iter_mut()
                .filter(|running_job| !running_job.hung)
            {
                work.work_left -= done;
            }
            let ended =
                |running_job: &RunningJob| !running_job.hung && running_job.work_left <= 1e-9;
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

    /// When the endpoint's state next changes by itself.
    pub fn next_event_at(&self) -> Option<Duration> {
        let rate = self.core_rate();
        let least = self
            .running
            .iter()
            .filter(|running_job| !running_job.hung)
            .map(|running_job| running_job.work_left)
            .fold(f64::INFINITY, f64::min);
        if rate <= 0.0 || !least.is_finite() {
            return None;
        }
        let done =
            self.now + Duration::from_secs_f64((least / rate).min(1e6)) + Duration::from_nanos(1);
        // The warm-up changes the rate all the time: it is followed in 64 steps.
        let warm_up_step = self.spec.warm_up_time / 64;
        let next_warm_up_step = if self.warm_up_factor(self.now) < 1.0 {
            self.now + warm_up_step
        } else {
            Duration::MAX
        };
        Some(done.min(next_warm_up_step))
    }

    pub fn take_events(&mut self) -> Vec<EndpointEvent> {
        std::mem::take(&mut self.events)
    }

    /// Its load as reported; a report may be up to `report_age` old.
    pub fn load_report(&mut self) -> EndpointLoad {
        if self.faults.reports_idle {
            return EndpointLoad::default();
        }
        if self.now >= self.last_report_at + self.spec.report_age || self.last_report_at.is_zero() {
            self.last_report_at = self.now;
            self.last_report = EndpointLoad {
                outstanding: self.outstanding(),
                queued: self.queue.len(),
                utilization: self.busy_cores().min(self.spec.cores) as f64 / self.spec.cores as f64,
            };
        }
        self.last_report
    }

    /// Ends the process at once; returns the jobs that it held.
    pub fn crash(&mut self) -> Vec<JobId> {
        self.up = false;
        self.connections = 0;
        self.slowed_down = false;
        let work = std::mem::take(&mut self.running)
            .into_iter()
            .map(|running_job| running_job.job.id);
        work.chain(
            std::mem::take(&mut self.queue)
                .into_iter()
                .map(|queued_job| queued_job.id),
        )
        .collect()
    }

    /// Starts a new process, cold where its kind has a warm-up time.
    pub fn start(&mut self, now: Duration) {
        (self.now, self.up, self.draining) = (now, true, false);
        self.started_at = (!self.spec.warm_up_time.is_zero()).then_some(now);
        self.recent_offers.clear();
    }

    /// Finishes the jobs that it has and accepts no new ones.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Sets or clears a fault; jobs of a class that no longer hangs go on.
    pub fn apply_fault(&mut self, change: &FaultChange) {
        let faults = &mut self.faults;
        match *change {
            FaultChange::Stalled(on) => faults.stalled = on,
            FaultChange::SpeedLeft(share) => faults.speed_left = share,
            FaultChange::ErrorShare(share) => faults.error_share = share,
            FaultChange::MalformedShare(share) => faults.malformed_share = share,
            FaultChange::ResetShare(share) => faults.reset_share = share,
            FaultChange::ReportsIdle(on) => faults.reports_idle = on,
            FaultChange::ClassHangs(class, true) => faults.hanging_classes.push(class),
            FaultChange::ClassHangs(class, false) => {
                faults.hanging_classes.retain(|hanging| *hanging != class);
                self.update_hung_jobs();
            }
        }
    }

    fn update_hung_jobs(&mut self) {
        let hangs = &self.faults.hanging_classes;
        self.running
            .iter_mut()
            .for_each(|running_job| running_job.hung = hangs.contains(&running_job.job.class));
    }
}

/// Share of its full speed that an endpoint has at a time, by when it started: `cold_capacity` at first, then a straight
/// line to 1 over `warm_up_time`.
pub fn warm_up_factor(spec: &EndpointSpec, started_at: Option<Duration>, time: Duration) -> f64 {
    let Some(started_at) = started_at.filter(|_| !spec.warm_up_time.is_zero()) else {
        return 1.0;
    };
    let warmed_share =
        time.saturating_sub(started_at).as_secs_f64() / spec.warm_up_time.as_secs_f64();
    spec.cold_capacity + (1.0 - spec.cold_capacity) * warmed_share.min(1.0)
}

#[cfg(test)]
pub mod tests;
