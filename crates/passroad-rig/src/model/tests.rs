use super::*;
use rstest::rstest;

pub fn make() -> EndpointSpec {
    EndpointSpec {
        cores: 1,
        speed: 1.0,
        queue_limit: 4,
        slowdown_queue_length: 0,
        slowdown_speed: 0.5,
        cold_capacity: 0.25,
        warm_up_time: Duration::ZERO,
        overload_multiple: 2.0,
        overload_window: Duration::from_secs(2),
        crashes_on_overload: true,
        stops_cancelled: true,
        max_connections: 2,
        connection_work: 0.0,
        report_age: Duration::ZERO,
    }
}

fn endpoint(make: EndpointSpec) -> Endpoint {
    Endpoint::new(make, SeededRng::new(7))
}

fn job(id: JobId, ms: u64) -> Job {
    Job {
        id,
        class: 0,
        work: ms as f64 / 1e3,
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Ids of what ended within a time.
fn ended(e: &mut Endpoint, to: Duration) -> Vec<(JobId, JobResult)> {
    e.advance(to);
    let shown = e.take_events().into_iter();
    shown
        .filter_map(|s| {
            if let EndpointEvent::Finished(id, v) = s {
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
    let mut e = endpoint(EndpointSpec {
        cores,
        speed,
        ..make()
    });
    assert!((1..=3).all(|id| e.offer(job(id, 20)) == Admission::Accepted));
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
    assert_eq!(
        offers.iter().filter(|o| **o == Admission::Rejected).count(),
        2
    );
    assert_eq!(ended(&mut e, ms(1000)).len(), 5);
}

#[rstest]
#[case(true, 1)]
#[case(false, 2)]
fn a_recalled_job_is_dropped_where_the_kind_drops_it(#[case] drops: bool, #[case] count: usize) {
    let mut e = endpoint(EndpointSpec {
        stops_cancelled: drops,
        ..make()
    });
    assert!((1..=2).all(|id| e.offer(job(id, 20)) == Admission::Accepted));
    assert!(e.cancel(2) && !e.cancel(9));
    assert_eq!(ended(&mut e, ms(100)).len(), count);
}

#[rstest]
fn a_backlog_drags_until_it_is_idle_again() {
    let mut e = endpoint(EndpointSpec {
        slowdown_queue_length: 3,
        ..make()
    });
    assert!((1..=4).all(|id| e.offer(job(id, 10)) == Admission::Accepted));
    assert_eq!(ended(&mut e, ms(79)).len(), 3);
    assert_eq!(ended(&mut e, ms(81)).len(), 1);
    e.offer(job(5, 10));
    assert_eq!(ended(&mut e, ms(92)).len(), 1);
}

#[rstest]
fn a_cold_one_is_slow_and_falls_over_where_it_is_offered_too_much() {
    let cold = EndpointSpec {
        warm_up_time: ms(8000),
        queue_limit: 1000,
        ..make()
    };
    let mut e = endpoint(cold);
    e.crash();
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
        tipped |= e.take_events().contains(&EndpointEvent::Crashed);
    }
    assert!(tipped);
    // Warm it takes as much.
    let mut e = endpoint(EndpointSpec {
        queue_limit: 1000,
        ..make()
    });
    assert!((0..200).all(|n| e.offer(job(n, 12)) == Admission::Accepted));
    assert!(!e.take_events().contains(&EndpointEvent::Crashed));
}

#[rstest]
#[case::stall(FaultState { stalled: true, ..FaultState::default() }, vec![])]
#[case::slow(FaultState { speed_left: 0.1, ..FaultState::default() }, vec![])]
#[case::errors(FaultState { error_share: 1.0, ..FaultState::default() }, vec![(1, JobResult::Error)])]
#[case::spoils(FaultState { malformed_share: 1.0, ..FaultState::default() }, vec![(1, JobResult::Malformed)])]
#[case::resets(FaultState { reset_share: 1.0, ..FaultState::default() }, vec![(1, JobResult::Reset)])]
#[case::hang(FaultState { hanging_classes: vec![0], ..FaultState::default() }, vec![])]
#[case::hang_of_another(FaultState { hanging_classes: vec![1], ..FaultState::default() }, vec![(1, JobResult::Completed)])]
fn trouble_shows(#[case] trouble: FaultState, #[case] shown: Vec<(JobId, JobResult)>) {
    let mut e = endpoint(make());
    e.faults = trouble;
    e.offer(job(1, 10));
    assert_eq!(ended(&mut e, ms(50)), shown);
    // It is over: what was held goes on.
    e.faults = FaultState::default();
    e.update_hung_jobs();
    assert_eq!(ended(&mut e, ms(100)).len() + shown.len(), 1);
}

#[rstest]
fn reports_are_as_old_as_the_kind_has_them() {
    let mut e = endpoint(EndpointSpec {
        report_age: ms(100),
        ..make()
    });
    e.advance(ms(10));
    assert_eq!(e.load_report().outstanding, 0);
    e.offer(job(1, 500));
    e.offer(job(2, 500));
    e.advance(ms(50));
    assert_eq!(e.load_report().outstanding, 0);
    e.advance(ms(111));
    assert_eq!(
        e.load_report(),
        EndpointLoad {
            outstanding: 2,
            queued: 1,
            utilization: 1.0
        }
    );
    e.faults.reports_idle = true;
    assert_eq!(e.load_report(), EndpointLoad::default());
}

#[rstest]
fn connections_are_capped_and_end_with_the_process() {
    let mut e = endpoint(make());
    assert_eq!([e.connect(), e.connect(), e.connect()], [true, true, false]);
    e.disconnect();
    assert!(e.connect());
    e.offer(job(3, 10));
    assert_eq!(
        (e.crash(), e.connections(), e.connect()),
        (vec![3], 0, false)
    );
    assert_eq!(e.offer(job(4, 10)), Admission::Down);
}
