//! An endpoint as it behaves: cores, speed, a queue, cold starts, faults. It holds no socket and no clock; whoever
//! drives it tells the time, in virtual days and behind real sockets alike.

use crate::chance::Chance;
use std::collections::VecDeque;
use std::time::Duration;

/// One relay as its endpoint holds it.
pub type JobId = u64;

/// What endpoints of one kind are like. Work is told in seconds of one core at speed one.
#[derive(Debug, Clone, PartialEq)]
pub struct Make {
    pub cores: usize,
    pub speed: f64,
    pub queue: usize,          // jobs that may wait for a core
    pub drag_from: usize,      // so many waiting slow it down until it is idle again; 0: never
    pub drag: f64,             // what is left of its speed then
    pub cold_from: f64,        // share of its speed right after a start
    pub warm_within: Duration, // zero: never cold
    pub tip_multiple: f64, // of what it can do now; offered more for `tip_after` a cold one falls over
    pub tip_after: Duration,
    pub tips: bool, // false: it bears all, so that what comes to a cold one is seen whole
    pub drops_recalled: bool, // it stops what nobody waits for
    pub most_links: usize,
    pub link_work: f64, // seconds, of a new connection
    pub report_age: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub id: JobId,
    pub verb: usize,
    pub work: f64, // seconds
}

/// How an answer comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Done,
    /// An error was answered; the effect may have taken place.
    Error,
    /// Nonsense in place of an answer; the effect took place.
    Spoilt,
    /// The connection breaks; the effect took place.
    Reset,
}

/// What shows of an endpoint as time goes on, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Shown {
    /// From here on the job counts as run.
    Began(JobId),
    Ended(JobId, Verdict),
    /// It fell over; all that it held is lost.
    Tipped,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    Taken,
    /// Turned away, never run: queue full, draining.
    Full,
    /// No process there.
    Down,
}

/// What an endpoint says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    pub outstanding: usize,
    pub waiting: usize,
    pub utilization: f64,
}

/// What is wrong with an endpoint at present. Shares run from 0 to 1.
#[derive(Debug, Clone, PartialEq)]
pub struct Trouble {
    pub stalled: bool,
    pub slow: f64, // what is left of its speed
    pub errors: f64,
    pub spoils: f64,
    pub resets: f64,
    pub hangs: Vec<usize>, // verbs whose jobs never end
    pub lies: bool,        // says that it is idle
}

impl Default for Trouble {
    fn default() -> Self {
        Trouble {
            stalled: false,
            slow: 1.0,
            errors: 0.0,
            spoils: 0.0,
            resets: 0.0,
            hangs: Vec::new(),
            lies: false,
        }
    }
}

/// A change of what is wrong with an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum Turn {
    Stalled(bool),
    Slow(f64),
    Errors(f64),
    Spoils(f64),
    Resets(f64),
    Hangs(usize, bool),
    Lies(bool),
}

struct InWork {
    job: Job,
    left: f64,
    verdict: Verdict,
    hung: bool,
}

pub struct Endpoint {
    pub make: Make,
    pub trouble: Trouble,
    chance: Chance,
    now: Duration,
    up: bool,
    draining: bool,
    started: Option<Duration>, // none: warm for long
    work: Vec<InWork>,
    queue: VecDeque<Job>,
    links: usize,
    dragging: bool,
    offered: VecDeque<(Duration, f64)>, // while cold, over the last `tip_after`
    said: Load,
    said_at: Duration,
    shown: Vec<Shown>,
}

impl Endpoint {
    /// A warm one that is up.
    pub fn new(make: Make, chance: Chance) -> Self {
        Endpoint {
            make,
            trouble: Trouble::default(),
            chance,
            now: Duration::ZERO,
            up: true,
            draining: false,
            started: None,
            work: Vec::new(),
            queue: VecDeque::new(),
            links: 0,
            dragging: false,
            offered: VecDeque::new(),
            said: Load::default(),
            said_at: Duration::ZERO,
            shown: Vec::new(),
        }
    }

    pub fn is_up(&self) -> bool {
        self.up
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    pub fn started(&self) -> Option<Duration> {
        self.started
    }

    /// Jobs it holds, waiting or in work.
    pub fn outstanding(&self) -> usize {
        self.work.len() + self.queue.len()
    }

    /// Share of its full speed that a start has left it with at a time.
    pub fn ramp(&self, at: Duration) -> f64 {
        ramp(&self.make, self.started, at)
    }

    /// What one core does in a second.
    fn rate(&self) -> f64 {
        if self.trouble.stalled || !self.up {
            return 0.0;
        }
        let drag = if self.dragging { self.make.drag } else { 1.0 };
        self.make.speed * self.ramp(self.now) * drag * self.trouble.slow
    }

    /// Seconds until a job of so much work would be done here, were it sent now; none if it would not be.
    pub fn would_take(&self, work: f64, verb: usize) -> Option<f64> {
        let rate = self.rate();
        let room = self.queue.len() < self.make.queue || self.busy() < self.make.cores;
        if rate <= 0.0 || self.draining || !room || self.trouble.hangs.contains(&verb) {
            return None;
        }
        let left: f64 = self.work.iter().filter(|w| !w.hung).map(|w| w.left).sum();
        let ahead = left + self.queue.iter().map(|j| j.work).sum::<f64>();
        let wait = if self.busy() < self.make.cores {
            0.0
        } else {
            ahead / self.make.cores as f64
        };
        let fails = self.trouble.errors + self.trouble.spoils + self.trouble.resets;
        // A failure costs more than a wait does: most of what fails may not be sent again.
        Some((wait + work) / rate * (1.0 + 30.0 * fails))
    }

    fn busy(&self) -> usize {
        self.work.iter().filter(|w| !w.hung).count()
    }

    /// A new connection; whether it comes up.
    pub fn connect(&mut self) -> bool {
        let room = self.up && self.links < self.make.most_links;
        self.links += usize::from(room);
        room
    }

    pub fn disconnect(&mut self) {
        self.links = self.links.saturating_sub(1);
    }

    pub fn links(&self) -> usize {
        self.links
    }

    /// A job comes in. Its time is that of the last `advance`.
    pub fn offer(&mut self, job: Job) -> Offer {
        if !self.up {
            return Offer::Down;
        }
        if self.note_offer(job.work) {
            self.shown.push(Shown::Tipped);
            return Offer::Down;
        }
        if self.draining || (self.busy() >= self.make.cores && self.queue.len() >= self.make.queue)
        {
            return Offer::Full;
        }
        self.queue.push_back(job);
        self.begin();
        if self.make.drag_from > 0 && self.queue.len() >= self.make.drag_from {
            self.dragging = true;
        }
        Offer::Taken
    }

    /// Whether what was offered of late pushes a cold one over.
    fn note_offer(&mut self, work: f64) -> bool {
        if self.ramp(self.now) >= 1.0 {
            self.offered.clear();
            return false;
        }
        self.offered.push_back((self.now, work));
        while self
            .offered
            .front()
            .is_some_and(|(at, _)| *at + self.make.tip_after < self.now)
        {
            self.offered.pop_front();
        }
        let sum: f64 = self.offered.iter().map(|(_, work)| work).sum();
        let young = self.now.saturating_sub(self.started.unwrap_or_default()) < self.make.tip_after;
        let can = self.make.cores as f64 * self.make.speed * self.ramp(self.now);
        !young
            && self.make.tips
            && sum > self.make.tip_multiple * can * self.make.tip_after.as_secs_f64()
    }

    /// Nobody waits for a job any more. Tells whether it was still here.
    pub fn recall(&mut self, id: JobId) -> bool {
        let held =
            self.work.iter().any(|w| w.job.id == id) || self.queue.iter().any(|j| j.id == id);
        if held && self.make.drops_recalled {
            self.queue.retain(|j| j.id != id);
            self.work.retain(|w| w.job.id != id);
            self.begin();
        }
        held
    }

    /// Starts what waits while cores are free.
    fn begin(&mut self) {
        while self.busy() < self.make.cores {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            let hung = self.trouble.hangs.contains(&job.verb);
            let draw = self.chance.share();
            let (errors, spoils) = (self.trouble.errors, self.trouble.spoils);
            let verdict = match draw {
                d if d < errors => Verdict::Error,
                d if d < errors + spoils => Verdict::Spoilt,
                d if d < errors + spoils + self.trouble.resets => Verdict::Reset,
                _ => Verdict::Done,
            };
            // An error is quick, and half of them come before anything has taken place.
            let quick = verdict == Verdict::Error;
            if !quick || self.chance.share() < 0.5 {
                self.shown.push(Shown::Began(job.id));
            }
            let left = if quick { job.work * 0.05 } else { job.work };
            self.work.push(InWork {
                job,
                left,
                verdict,
                hung,
            });
        }
        if self.work.is_empty() && self.queue.is_empty() {
            self.dragging = false;
        }
    }

    /// Lets time pass; what shows comes from `take_shown`.
    pub fn advance(&mut self, to: Duration) {
        while self.now < to {
            let rate = self.rate();
            let end = self
                .wake_at()
                .map_or(to, |at| at.clamp(self.now + Duration::from_nanos(1), to));
            let done = rate * (end - self.now).as_secs_f64();
            self.now = end;
            for work in self.work.iter_mut().filter(|w| !w.hung) {
                work.left -= done;
            }
            let ended = |w: &InWork| !w.hung && w.left <= 1e-9;
            let mut n = 0;
            while n < self.work.len() {
                if ended(&self.work[n]) {
                    let work = self.work.remove(n);
                    self.shown.push(Shown::Ended(work.job.id, work.verdict));
                } else {
                    n += 1;
                }
            }
            self.begin();
        }
    }

    /// When something next changes by itself.
    pub fn wake_at(&self) -> Option<Duration> {
        let rate = self.rate();
        let least = self
            .work
            .iter()
            .filter(|w| !w.hung)
            .map(|w| w.left)
            .fold(f64::INFINITY, f64::min);
        if rate <= 0.0 || !least.is_finite() {
            return None;
        }
        let done =
            self.now + Duration::from_secs_f64((least / rate).min(1e6)) + Duration::from_nanos(1);
        // A cold one is faster a little later.
        let step = self.make.warm_within / 64;
        let warmer = if self.ramp(self.now) < 1.0 {
            self.now + step
        } else {
            Duration::MAX
        };
        Some(done.min(warmer))
    }

    pub fn take_shown(&mut self) -> Vec<Shown> {
        std::mem::take(&mut self.shown)
    }

    /// How it says it is; a report may be old.
    pub fn report(&mut self) -> Load {
        if self.trouble.lies {
            return Load::default();
        }
        if self.now >= self.said_at + self.make.report_age || self.said_at.is_zero() {
            self.said_at = self.now;
            self.said = Load {
                outstanding: self.outstanding(),
                waiting: self.queue.len(),
                utilization: self.busy().min(self.make.cores) as f64 / self.make.cores as f64,
            };
        }
        self.said
    }

    /// The process ends at once; gives what it held.
    pub fn die(&mut self) -> Vec<JobId> {
        self.up = false;
        self.links = 0;
        self.dragging = false;
        let work = std::mem::take(&mut self.work).into_iter().map(|w| w.job.id);
        work.chain(std::mem::take(&mut self.queue).into_iter().map(|j| j.id))
            .collect()
    }

    /// A new process, cold where its kind has a cold start.
    pub fn start(&mut self, now: Duration) {
        (self.now, self.up, self.draining) = (now, true, false);
        self.started = (!self.make.warm_within.is_zero()).then_some(now);
        self.offered.clear();
    }

    /// It finishes what it has and takes nothing new.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Takes on a trouble, or is rid of it; what hung goes on then.
    pub fn turn(&mut self, turn: &Turn) {
        let trouble = &mut self.trouble;
        match *turn {
            Turn::Stalled(on) => trouble.stalled = on,
            Turn::Slow(left) => trouble.slow = left,
            Turn::Errors(share) => trouble.errors = share,
            Turn::Spoils(share) => trouble.spoils = share,
            Turn::Resets(share) => trouble.resets = share,
            Turn::Lies(on) => trouble.lies = on,
            Turn::Hangs(verb, true) => trouble.hangs.push(verb),
            Turn::Hangs(verb, false) => {
                trouble.hangs.retain(|v| *v != verb);
                self.loosen();
            }
        }
    }

    fn loosen(&mut self) {
        let hangs = &self.trouble.hangs;
        self.work
            .iter_mut()
            .for_each(|w| w.hung = hangs.contains(&w.job.verb));
    }
}

/// Share of its full speed that a start has left an endpoint with at a time.
pub fn ramp(make: &Make, started: Option<Duration>, at: Duration) -> f64 {
    let Some(started) = started.filter(|_| !make.warm_within.is_zero()) else {
        return 1.0;
    };
    let age = at.saturating_sub(started).as_secs_f64() / make.warm_within.as_secs_f64();
    make.cold_from + (1.0 - make.cold_from) * age.min(1.0)
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use rstest::rstest;

    pub fn make() -> Make {
        Make {
            cores: 1,
            speed: 1.0,
            queue: 4,
            drag_from: 0,
            drag: 0.5,
            cold_from: 0.25,
            warm_within: Duration::ZERO,
            tip_multiple: 2.0,
            tip_after: Duration::from_secs(2),
            tips: true,
            drops_recalled: true,
            most_links: 2,
            link_work: 0.0,
            report_age: Duration::ZERO,
        }
    }

    fn endpoint(make: Make) -> Endpoint {
        Endpoint::new(make, Chance::new(7))
    }

    fn job(id: JobId, ms: u64) -> Job {
        Job {
            id,
            verb: 0,
            work: ms as f64 / 1e3,
        }
    }

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// Ids of what ended within a time.
    fn ended(e: &mut Endpoint, to: Duration) -> Vec<(JobId, Verdict)> {
        e.advance(to);
        let shown = e.take_shown().into_iter();
        shown
            .filter_map(|s| {
                if let Shown::Ended(id, v) = s {
                    Some((id, v))
                } else {
                    None
                }
            })
            .collect()
    }

    #[rstest]
    #[case::one_core(1, 1.0, &[(25, 1), (35, 1), (45, 2), (65, 3)])]
    #[case::two_cores(2, 1.0, &[(25, 2), (45, 3)])]
    #[case::twice_as_fast(1, 2.0, &[(15, 1), (25, 2), (35, 3)])]
    fn jobs_take_their_work_and_wait_for_a_core(
        #[case] cores: usize,
        #[case] speed: f64,
        #[case] done: &[(u64, usize)],
    ) {
        let mut e = endpoint(Make {
            cores,
            speed,
            ..make()
        });
        assert!((1..=3).all(|id| e.offer(job(id, 20)) == Offer::Taken));
        let mut count = 0;
        for (at, expected) in done {
            count += ended(&mut e, ms(*at)).len();
            assert_eq!(count, *expected, "after {at} ms");
        }
    }

    #[rstest]
    fn what_finds_no_room_is_turned_away_and_never_begins() {
        let mut e = endpoint(make());
        let offers: Vec<_> = (0..7).map(|id| e.offer(job(id, 10))).collect();
        assert_eq!(offers.iter().filter(|o| **o == Offer::Full).count(), 2);
        assert_eq!(ended(&mut e, ms(1000)).len(), 5);
    }

    #[rstest]
    #[case(true, 1)]
    #[case(false, 2)]
    fn a_recalled_job_is_dropped_where_the_kind_drops_it(
        #[case] drops: bool,
        #[case] count: usize,
    ) {
        let mut e = endpoint(Make {
            drops_recalled: drops,
            ..make()
        });
        assert!((1..=2).all(|id| e.offer(job(id, 20)) == Offer::Taken));
        assert!(e.recall(2) && !e.recall(9));
        assert_eq!(ended(&mut e, ms(100)).len(), count);
    }

    #[rstest]
    fn a_backlog_drags_until_it_is_idle_again() {
        let mut e = endpoint(Make {
            drag_from: 3,
            ..make()
        });
        assert!((1..=4).all(|id| e.offer(job(id, 10)) == Offer::Taken));
        assert_eq!(ended(&mut e, ms(79)).len(), 3);
        assert_eq!(ended(&mut e, ms(81)).len(), 1);
        e.offer(job(5, 10));
        assert_eq!(ended(&mut e, ms(92)).len(), 1);
    }

    #[rstest]
    fn a_cold_one_is_slow_and_falls_over_where_it_is_offered_too_much() {
        let cold = Make {
            warm_within: ms(8000),
            queue: 1000,
            ..make()
        };
        let mut e = endpoint(cold);
        e.die();
        e.start(ms(1000));
        e.offer(job(1, 100));
        // At a quarter of its speed, and a little more as it warms.
        assert_eq!(ended(&mut e, ms(1350)).len(), 0);
        assert_eq!(ended(&mut e, ms(1400)).len(), 1);
        // Some 0.4 of a core by then: 2 s of a core in 2 s is more than twice as much.
        let mut tipped = false;
        for n in 0..200 {
            e.advance(ms(1400 + n * 10));
            e.offer(job(10 + n, 12));
            tipped |= e.take_shown().contains(&Shown::Tipped);
        }
        assert!(tipped);
        // Warm it takes as much.
        let mut e = endpoint(Make {
            queue: 1000,
            ..make()
        });
        assert!((0..200).all(|n| e.offer(job(n, 12)) == Offer::Taken));
        assert!(!e.take_shown().contains(&Shown::Tipped));
    }

    #[rstest]
    #[case::stall(Trouble { stalled: true, ..Trouble::default() }, vec![])]
    #[case::slow(Trouble { slow: 0.1, ..Trouble::default() }, vec![])]
    #[case::errors(Trouble { errors: 1.0, ..Trouble::default() }, vec![(1, Verdict::Error)])]
    #[case::spoils(Trouble { spoils: 1.0, ..Trouble::default() }, vec![(1, Verdict::Spoilt)])]
    #[case::resets(Trouble { resets: 1.0, ..Trouble::default() }, vec![(1, Verdict::Reset)])]
    #[case::hang(Trouble { hangs: vec![0], ..Trouble::default() }, vec![])]
    #[case::hang_of_another(Trouble { hangs: vec![1], ..Trouble::default() }, vec![(1, Verdict::Done)])]
    fn trouble_shows(#[case] trouble: Trouble, #[case] shown: Vec<(JobId, Verdict)>) {
        let mut e = endpoint(make());
        e.trouble = trouble;
        e.offer(job(1, 10));
        assert_eq!(ended(&mut e, ms(50)), shown);
        // It is over: what was held goes on.
        e.trouble = Trouble::default();
        e.loosen();
        assert_eq!(ended(&mut e, ms(100)).len() + shown.len(), 1);
    }

    #[rstest]
    fn reports_are_as_old_as_the_kind_has_them() {
        let mut e = endpoint(Make {
            report_age: ms(100),
            ..make()
        });
        e.advance(ms(10));
        assert_eq!(e.report().outstanding, 0);
        e.offer(job(1, 500));
        e.offer(job(2, 500));
        e.advance(ms(50));
        assert_eq!(e.report().outstanding, 0);
        e.advance(ms(111));
        assert_eq!(
            e.report(),
            Load {
                outstanding: 2,
                waiting: 1,
                utilization: 1.0
            }
        );
        e.trouble.lies = true;
        assert_eq!(e.report(), Load::default());
    }

    #[rstest]
    fn connections_are_capped_and_end_with_the_process() {
        let mut e = endpoint(make());
        assert_eq!([e.connect(), e.connect(), e.connect()], [true, true, false]);
        e.disconnect();
        assert!(e.connect());
        e.offer(job(3, 10));
        assert_eq!((e.die(), e.links(), e.connect()), (vec![3], 0, false));
        assert_eq!(e.offer(job(4, 10)), Offer::Down);
    }
}
