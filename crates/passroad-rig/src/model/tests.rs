use super::*;
use rstest::rstest;

pub fn spec() -> EndpointSpec {
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

fn new_endpoint(spec: EndpointSpec) -> Endpoint {
    Endpoint::new(spec, SeededRng::new(7))
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

/// Ids and results of the jobs that finished until a time.
fn finished(endpoint: &mut Endpoint, to: Duration) -> Vec<(JobId, JobResult)> {
    endpoint.advance(to);
    let events = endpoint.take_events().into_iter();
    events
        .filter_map(|event| {
            if let EndpointEvent::Finished(id, result) = event {
                Some((id, result))
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
    let mut endpoint = new_endpoint(EndpointSpec {
        cores,
        speed,
        ..spec()
    });
    assert!((1..=3).all(|id| endpoint.offer(job(id, 20)) == Admission::Accepted));
    let mut count = 0;
    for (at, expected) in done {
        count += finished(&mut endpoint, ms(*at)).len();
        assert_eq!(count, *expected, "after {at} ms");
    }
}

#[rstest]
fn jobs_beyond_the_queue_limit_are_rejected_and_never_run() {
    let mut endpoint = new_endpoint(spec());
    let offers: Vec<_> = (0..7).map(|id| endpoint.offer(job(id, 10))).collect();
    assert_eq!(
        offers
            .iter()
            .filter(|admission| **admission == Admission::Rejected)
            .count(),
        2
    );
    assert_eq!(finished(&mut endpoint, ms(1000)).len(), 5);
}

#[rstest]
#[case(true, 1)]
#[case(false, 2)]
fn a_cancelled_job_is_dropped_only_where_the_spec_says_so(
    #[case] drops: bool,
    #[case] count: usize,
) {
    let mut endpoint = new_endpoint(EndpointSpec {
        stops_cancelled: drops,
        ..spec()
    });
    assert!((1..=2).all(|id| endpoint.offer(job(id, 20)) == Admission::Accepted));
    assert!(endpoint.cancel(2) && !endpoint.cancel(9));
    assert_eq!(finished(&mut endpoint, ms(100)).len(), count);
}

#[rstest]
fn a_backlog_slows_the_endpoint_down_until_it_is_idle() {
    let mut endpoint = new_endpoint(EndpointSpec {
        slowdown_queue_length: 3,
        ..spec()
    });
    assert!((1..=4).all(|id| endpoint.offer(job(id, 10)) == Admission::Accepted));
    assert_eq!(finished(&mut endpoint, ms(79)).len(), 3);
    assert_eq!(finished(&mut endpoint, ms(81)).len(), 1);
    endpoint.offer(job(5, 10));
    assert_eq!(finished(&mut endpoint, ms(92)).len(), 1);
}

#[rstest]
fn a_cold_endpoint_is_slow_and_crashes_when_offered_too_much() {
    let cold = EndpointSpec {
        warm_up_time: ms(8000),
        queue_limit: 1000,
        ..spec()
    };
    let mut endpoint = new_endpoint(cold);
    endpoint.crash();
    endpoint.start(ms(1000));
    endpoint.offer(job(1, 100));
    // At a quarter of its speed and a little more as it warms up, 100 ms of work take a little less than 400 ms.
    assert_eq!(finished(&mut endpoint, ms(1350)).len(), 0);
    assert_eq!(finished(&mut endpoint, ms(1400)).len(), 1);
    // Its capacity is some 0.4 of a core by then; 12 ms of work every 10 ms is more than twice as much.
    let mut crashed = false;
    for n in 0..200 {
        endpoint.advance(ms(1400 + n * 10));
        endpoint.offer(job(10 + n, 12));
        crashed |= endpoint.take_events().contains(&EndpointEvent::Crashed);
    }
    assert!(crashed);
    // A warm endpoint survives the same load.
    let mut endpoint = new_endpoint(EndpointSpec {
        queue_limit: 1000,
        ..spec()
    });
    assert!((0..200).all(|n| endpoint.offer(job(n, 12)) == Admission::Accepted));
    assert!(!endpoint.take_events().contains(&EndpointEvent::Crashed));
}

#[rstest]
#[case::stall(FaultState { stalled: true, ..FaultState::default() }, vec![])]
#[case::slow(FaultState { speed_left: 0.1, ..FaultState::default() }, vec![])]
#[case::errors(FaultState { error_share: 1.0, ..FaultState::default() }, vec![(1, JobResult::Error)])]
#[case::malformed(FaultState { malformed_share: 1.0, ..FaultState::default() }, vec![(1, JobResult::Malformed)])]
#[case::reset(FaultState { reset_share: 1.0, ..FaultState::default() }, vec![(1, JobResult::Reset)])]
#[case::hang(FaultState { hanging_classes: vec![0], ..FaultState::default() }, vec![])]
#[case::hang_of_another(FaultState { hanging_classes: vec![1], ..FaultState::default() }, vec![(1, JobResult::Completed)])]
fn faults_show_in_results(#[case] faults: FaultState, #[case] expected: Vec<(JobId, JobResult)>) {
    let mut endpoint = new_endpoint(spec());
    endpoint.faults = faults;
    endpoint.offer(job(1, 10));
    assert_eq!(finished(&mut endpoint, ms(50)), expected);
    // When the fault ends, jobs that were stuck go on.
    endpoint.faults = FaultState::default();
    endpoint.update_hung_jobs();
    assert_eq!(finished(&mut endpoint, ms(100)).len() + expected.len(), 1);
}

#[rstest]
fn reports_are_renewed_at_the_report_age() {
    let mut endpoint = new_endpoint(EndpointSpec {
        report_age: ms(100),
        ..spec()
    });
    endpoint.advance(ms(10));
    assert_eq!(endpoint.load_report().outstanding, 0);
    endpoint.offer(job(1, 500));
    endpoint.offer(job(2, 500));
    endpoint.advance(ms(50));
    assert_eq!(endpoint.load_report().outstanding, 0);
    endpoint.advance(ms(111));
    assert_eq!(
        endpoint.load_report(),
        EndpointLoad {
            outstanding: 2,
            queued: 1,
            utilization: 1.0
        }
    );
    endpoint.faults.reports_idle = true;
    assert_eq!(endpoint.load_report(), EndpointLoad::default());
}

#[rstest]
fn connections_are_limited_and_end_with_the_process() {
    let mut endpoint = new_endpoint(spec());
    assert_eq!(
        [endpoint.connect(), endpoint.connect(), endpoint.connect()],
        [true, true, false]
    );
    endpoint.disconnect();
    assert!(endpoint.connect());
    endpoint.offer(job(3, 10));
    assert_eq!(
        (endpoint.crash(), endpoint.connections(), endpoint.connect()),
        (vec![3], 0, false)
    );
    assert_eq!(endpoint.offer(job(4, 10)), Admission::Down);
}
