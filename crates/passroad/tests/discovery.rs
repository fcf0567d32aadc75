//! How soon a change of the list is applied after discovery failed in any way, and the load that
//! the requests of all sidecars put on a discovery server that recovers. See `docs/crossings.md`.

mod harness;

use harness::*;
use passroad_choice::choice::Balancer;
use passroad_choice::{Action, Event, ListUpdateKind};
use rstest::rstest;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Whatever failed before, a sidecar has to get a change this soon after discovery has it and is
/// reachable.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);

/// When an event happened, if it has.
type EventTime = Arc<Mutex<Option<Instant>>>;

/// How a request to discovery fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Busy,
    NotFound,
    Malformed,
    ResetBeforeResponse,
    ResetInResponse,
    HalfThenClosed,
    HalfThenSilent,
    Silent,
}

const TRUNCATED_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"revision\":9,\"complete\":true";

impl Failure {
    /// Fails a request in this way; whether the connection stays open.
    fn respond(self, to: &mut TcpStream) -> bool {
        match self {
            Failure::Busy => respond(to, "503 Busy", "", b""),
            Failure::NotFound => respond(to, "404 Not Found", "", b""),
            Failure::Malformed => respond(to, "200 OK", "", b"list"),
            Failure::ResetInResponse | Failure::HalfThenClosed | Failure::HalfThenSilent => {
                let _ = to.write_all(TRUNCATED_RESPONSE);
            }
            Failure::ResetBeforeResponse | Failure::Silent => {}
        }
        if matches!(
            self,
            Failure::ResetInResponse | Failure::ResetBeforeResponse
        ) {
            // Let the written bytes leave before the reset.
            sleep(10 * MS);
            let _ = socket2::SockRef::from(&*to).set_linger(Some(Duration::ZERO));
        }
        matches!(
            self,
            Failure::Busy | Failure::NotFound | Failure::HalfThenSilent | Failure::Silent
        )
    }
}

fn list(revision: u64, complete: bool, members: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

/// Settings with this longest interval between polls and a drain grace of a minute.
fn settings_polling_every(interval: Duration, discovery_mode: &str) -> String {
    let ask_every = format!("\"ask_every\":{}", interval.as_nanos());
    let ask_every = format!("{ask_every},\"drain_grace\":60000000000");
    long_deadline_settings()
        .replace("\"ask_every\":400000000", &ask_every)
        .replace("on_request", discovery_mode)
}

/// Waits until no command goes to the draining endpoint; as long as it is in use, it gets about
/// every other command.
fn wait_until_all_go_to(sidecar: &Sidecar, healthy: &'static [u8]) {
    wait_until(|| {
        (0..30).all(|_| sidecar.request(&with_long_deadline(&get_look("a"))).body == healthy)
    });
}

/// Two endpoints, the known list of the sidecar, and the next list, in which the first endpoint
/// drains.
fn endpoints_and_drain_list() -> (FakeServer, FakeServer, String, String) {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let members = |phase| {
        [
            member("s-1", first.address, phase),
            member("s-2", second.address, "up"),
        ]
        .join(",")
    };
    let (known, next_list) = (members("up"), list(9, true, &members("draining")));
    (first, second, known, next_list)
}

// After `unchanged` requests that bring nothing new, `failed` requests fail. From the moment at
// which the last of them arrives, discovery has a change and sends it with every response. The
// settings allow an hour between polls, so they shorten no wait.
#[rstest]
#[case::busy(Failure::Busy, 0, 5)]
#[case::busy_after_a_long_poll(Failure::Busy, 2, 5)]
#[case::not_found(Failure::NotFound, 0, 5)]
#[case::malformed(Failure::Malformed, 0, 9)]
#[case::reset_once(Failure::ResetBeforeResponse, 1, 1)]
#[case::reset_in_the_response_once(Failure::ResetInResponse, 1, 1)]
#[case::seven_resets(Failure::ResetBeforeResponse, 1, 7)]
#[case::seven_resets_in_the_response(Failure::ResetInResponse, 1, 7)]
#[case::nine_resets_in_the_response(Failure::ResetInResponse, 0, 9)]
#[case::seven_truncated_responses(Failure::HalfThenClosed, 0, 7)]
#[case::truncated_response_to_the_first_long_poll(Failure::HalfThenSilent, 0, 1)]
#[case::truncated_response_to_a_renewed_long_poll(Failure::HalfThenSilent, 2, 1)]
#[case::truncated_full_list(Failure::HalfThenSilent, 2, 2)]
#[case::first_long_poll_silent(Failure::Silent, 0, 1)]
#[case::renewed_long_poll_silent(Failure::Silent, 2, 1)]
#[case::full_list_silent(Failure::Silent, 2, 2)]
#[case::long_poll_silent_again(Failure::Silent, 0, 3)]
fn change_is_applied_within_six_seconds_after_any_failure(
    #[case] failure: Failure,
    #[case] unchanged: usize,
    #[case] failed: usize,
    #[values("on_request", "pushed")] mode: &str,
) {
    let (_first, _second, known, next_list) = endpoints_and_drain_list();
    let (request_count, failed_at, sent_at) = (
        AtomicUsize::new(0),
        EventTime::default(),
        EventTime::default(),
    );
    let (last_failure, sent) = (Arc::clone(&failed_at), Arc::clone(&sent_at));
    let discovery = fake_server(move |_, to| {
        let index = request_count.fetch_add(1, SeqCst);
        if index < unchanged {
            respond(to, "200 OK", "", list(1, false, "").as_bytes());
        } else if index < unchanged + failed {
            *last_failure.lock().unwrap() = Some(Instant::now());
            return failure.respond(to);
        } else if index == unchanged + failed {
            respond(to, "200 OK", "", next_list.as_bytes());
            *sent.lock().unwrap() = Some(Instant::now());
        }
        true
    });
    let sidecar = start_sidecar_with(
        &known,
        discovery.address,
        &settings_polling_every(Duration::from_secs(3600), mode),
    );
    wait_until(|| sent_at.lock().unwrap().is_some());
    let waited = sent_at.lock().unwrap().unwrap() - failed_at.lock().unwrap().unwrap();
    println!("change sent {waited:?} after the last request that failed");
    assert!(waited < CHANGE_DEADLINE, "{waited:?}");
    wait_until_all_go_to(&sidecar, b"second");
}

// Prevents a late change: a long poll falls silent, and so does the request for the full list that
// follows, while discovery is reachable and has a change. If the balancer's wait of at least 0.5 s
// followed the second silent request, the change would be applied after 7 s. A busy machine makes
// some rounds longer, but hardly all.
#[rstest]
fn silent_full_list_request_after_a_silent_long_poll_is_repeated_at_once() {
    let round = || {
        let (_first, _second, known, next_list) = endpoints_and_drain_list();
        let (request_count, times) = (AtomicUsize::new(0), Arc::<Mutex<Vec<Instant>>>::default());
        let recorded = Arc::clone(&times);
        let discovery = fake_server(move |_, to| {
            match request_count.fetch_add(1, SeqCst) {
                0 => respond(to, "200 OK", "", list(1, false, "").as_bytes()),
                // The renewed long poll, and the request for the full list.
                1 | 2 => recorded.lock().unwrap().push(Instant::now()),
                3 => {
                    recorded.lock().unwrap().push(Instant::now());
                    respond(to, "200 OK", "", next_list.as_bytes());
                }
                _ => {}
            }
            true
        });
        let settings = settings_polling_every(Duration::from_secs(3600), "on_request");
        let sidecar = start_sidecar_with(&known, discovery.address, &settings);
        wait_until(|| times.lock().unwrap().len() == 3);
        wait_until_all_go_to(&sidecar, b"second");
        let times = times.lock().unwrap();
        (times[2] - times[1], times[2] - times[0])
    };
    let rounds: Vec<_> = std::iter::repeat_with(round).take(3).collect();
    println!("after the full list request, after the long poll: {rounds:?}");
    // The timeout of two seconds, and only a short pause.
    assert!(
        rounds
            .iter()
            .any(|(after_full_list, _)| *after_full_list < Duration::from_millis(2400)),
        "{rounds:?}"
    );
    assert!(
        rounds
            .iter()
            .any(|(_, after_long_poll)| *after_long_poll < CHANGE_DEADLINE),
        "{rounds:?}"
    );
}

/// A discovery server on a given listener that sends the same list in every response. Returns when
/// the first request arrived.
fn serve_list(listener: TcpListener, list: String) -> EventTime {
    let first_request_at = EventTime::default();
    let recorded = Arc::clone(&first_request_at);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (recorded, list) = (Arc::clone(&recorded), list.clone());
            spawn(move || {
                let (mut reader, mut stream) =
                    (std::io::BufReader::new(stream.try_clone().unwrap()), stream);
                while let Some(request) = Message::read(&mut reader) {
                    // A long poll from the revision of this list is left waiting.
                    if !request.target().contains("from=9&") {
                        recorded.lock().unwrap().get_or_insert(Instant::now());
                        respond(&mut stream, "200 OK", "", list.as_bytes());
                    }
                }
            });
        }
    });
    first_request_at
}

// Connects to discovery are refused or hang; then discovery is reachable and has a change.
#[rstest]
#[case::refused(false)]
#[case::connects_that_hang(true)]
fn change_is_applied_within_six_seconds_once_discovery_is_reachable(
    #[case] hangs: bool,
    #[values("on_request", "pushed")] mode: &str,
) {
    let (_first, _second, known, next_list) = endpoints_and_drain_list();
    let settings = settings_polling_every(Duration::from_secs(3600), mode);
    let full_backlog = hangs.then(full_backlog_listener);
    let address = full_backlog
        .as_ref()
        .map_or_else(unused_address, |(address, ..)| *address);
    let sidecar = start_sidecar_with(&known, address, &settings);
    // Long enough for several requests to fail and for the waits to grow.
    sleep(Duration::from_secs(8));
    let (listener, _filling) = match full_backlog {
        Some((_, listener, filling)) => {
            listener.set_nonblocking(false).unwrap();
            (listener, filling)
        }
        None => (TcpListener::bind(address).unwrap(), Vec::new()),
    };
    let reachable_at = Instant::now();
    let first_request_at = serve_list(listener, next_list);
    wait_until(|| first_request_at.lock().unwrap().is_some());
    let waited = first_request_at.lock().unwrap().unwrap() - reachable_at;
    println!("asked {waited:?} after discovery was reachable");
    assert!(waited < CHANGE_DEADLINE, "{waited:?}");
    wait_until_all_go_to(&sidecar, b"second");
}

// Prevents a missed change: an agent that was silent answers an open long poll once it is back, but
// not a request for the full list. So a long poll follows a timed-out request for the full list at
// once, and not after the balancer's wait, which is at least 0.5 s here.
#[rstest]
fn with_pushed_lists_a_long_poll_follows_a_timed_out_full_list_request_at_once() {
    let (_first, _second, known, _) = endpoints_and_drain_list();
    let agent = fake_server(|_, _| true);
    let settings = settings_polling_every(Duration::from_secs(3600), "pushed")
        .replace("\"drain_grace\":60000000000", "\"drain_grace\":4000000000");
    let _sidecar = start_sidecar_with(&known, agent.address, &settings);
    wait_until(|| agent.request_count() >= 7);
    let requests = agent.requests.lock().unwrap();
    let is_full_list = |request: &Message| request.target() == "/v1/servers";
    assert!(
        requests.iter().skip(1).step_by(2).all(is_full_list),
        "{requests:?}"
    );
    // A request for the full list times out after half of the drain grace. A busy machine makes
    // some of them longer, but hardly all.
    let gaps = requests
        .windows(2)
        .filter(|pair| is_full_list(&pair[0]))
        .map(|pair| pair[1].received_at - pair[0].received_at);
    let shortest = gaps.min().unwrap();
    assert!(shortest < 2400 * MS, "{shortest:?}");
}

// An overloaded discovery server works through its requests in order. By the time it reaches the
// first one of a sidecar, that one and several later ones have timed out.
#[rstest]
fn late_response_to_the_first_timed_out_request_is_applied() {
    let (_first, _second, known, next_list) = endpoints_and_drain_list();
    let gate = Gate::default();
    let (handler_gate, request_count) = (gate.clone(), AtomicUsize::new(0));
    let discovery = fake_server(move |_, to| {
        if request_count.fetch_add(1, SeqCst) == 0 {
            handler_gate.wait_until_open();
            respond(to, "200 OK", "", next_list.as_bytes());
        }
        true
    });
    let sidecar = start_sidecar_with(
        &known,
        discovery.address,
        &settings_polling_every(Duration::from_secs(3600), "on_request"),
    );
    wait_until(|| discovery.request_count() == 4);
    gate.open();
    wait_until_all_go_to(&sidecar, b"second");
}

// Every request is reset: the quick retries are used up once in all, not once for each poll of the
// balancer.
#[rstest]
fn quick_retries_are_limited_until_discovery_answers() {
    let (_first, _second, known, _) = endpoints_and_drain_list();
    let resets = fake_server(|_, to| Failure::ResetBeforeResponse.respond(to));
    let settings = settings_polling_every(Duration::from_secs(3600), "on_request");
    let _sidecar = start_sidecar_with(&known, resets.address, &settings);
    wait_until(|| resets.request_count() >= 12);
    let requests = resets.requests.lock().unwrap();
    // Six with short pauses, then the waits of the balancer of at least 0.5 s.
    let gaps: Vec<_> = requests
        .windows(2)
        .map(|pair| pair[1].received_at - pair[0].received_at)
        .collect();
    assert!(gaps[6..].iter().all(|wait| *wait >= 450 * MS), "{gaps:?}");
}

fn balancer(seed: u64, settings: &str) -> Balancer {
    let settings = serde_json::from_str(settings).unwrap();
    Balancer::new(passroad_orders::config_from_value(seed, &settings).unwrap())
}

/// Reports a failed poll to the balancer; the wait until the next poll.
fn wait_after_failed_poll(balancer: &mut Balancer, now: Duration) -> Duration {
    let failed = Event::ListUpdated {
        kind: ListUpdateKind::Failed,
        entries: Vec::new(),
    };
    let actions = balancer.decide(now, failed);
    let wait = actions.iter().find_map(|action| match action {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    });
    let (wait, token) = wait.expect("a timer");
    let actions = balancer.decide(now + wait, Event::TimerFired { token });
    assert!(
        actions.contains(&Action::Subscribe { active: true }),
        "{actions:?}"
    );
    wait
}

// The bound holds for all settings, including some that are longer than in any deployment.
#[rstest]
fn wait_after_a_failed_poll_is_at_most_one_and_a_half_seconds(
    #[values("on_request", "pushed")] mode: &str,
    #[values(400, 10_000, 60_000, 3_600_000)] interval_ms: u64,
    #[values(100, 4_000, 600_000)] grace_ms: u64,
) {
    let settings = settings_polling_every(Duration::from_millis(interval_ms), mode).replace(
        "\"drain_grace\":60000000000",
        &format!("\"drain_grace\":{grace_ms}000000"),
    );
    for seed in 0..30 {
        let (mut balancer, mut now) = (balancer(seed, &settings), Duration::from_secs(100));
        let waits: Vec<_> = (0..20)
            .map(|_| {
                let wait = wait_after_failed_poll(&mut balancer, now);
                now += wait;
                wait
            })
            .collect();
        assert!(waits.iter().all(|wait| *wait <= 1500 * MS), "{waits:?}");
    }
}

// ---- load of the fleet on discovery ----

/// One sidecar of the simulated fleet, which polls as the sidecar does; the waits after a failed
/// poll are those of the balancer.
struct SimulatedSidecar {
    balancer: Balancer,
    state: State,
    requests: usize,
    /// Requests whose late responses are still applied: the first and the last that timed out.
    timed_out: Vec<usize>,
}

#[derive(Clone, Copy)]
enum State {
    Waiting {
        until_ms: u64,
        full_list: bool,
    },
    Requesting {
        request: usize,
        until_ms: u64,
        full_list: bool,
    },
    UpToDate {
        since_ms: u64,
    },
}

const SIDECARS: usize = 300;
const DOWN_MS: u64 = 8000;
const FIRST_LONG_POLL_TIMEOUT_MS: u64 = 3000;
const FULL_LIST_TIMEOUT_MS: u64 = 2000;

/// The load of the fleet on discovery, and when the sidecars got the change.
#[derive(Debug, Default)]
struct FleetLoad {
    down_each_second: Vec<usize>,
    up_each_second: Vec<usize>,
    most_in_10_ms: usize, // requests, from a second after discovery went down
    updated_after_ms: Vec<u64>, // after discovery was back, sorted
    wasted: usize,        // requests served although their response was no longer applied
}

/// Simulates, without sockets or clock, a discovery server that refuses all requests for 8 s after
/// all long polls have ended. Then it works through requests in order at a fixed rate, and rejects
/// (503) those that have waited for longer than `patience_ms`.
fn simulate_recovery_after_8_s(requests_per_second: u64, patience_ms: u64) -> FleetLoad {
    let settings = settings_polling_every(Duration::from_secs(10), "on_request");
    let mut next_pause_ms = short_pauses_ms();
    let mut fleet: Vec<_> = (0..SIDECARS)
        .map(|n| SimulatedSidecar {
            balancer: balancer(0x51ab_37c5 + 7919 * n as u64, &settings),
            state: State::Waiting {
                until_ms: next_pause_ms(),
                full_list: false,
            },
            requests: 0,
            timed_out: Vec::new(),
        })
        .collect();
    let (mut load, mut queue, mut busy_until_us) =
        (FleetLoad::default(), VecDeque::new(), DOWN_MS * 1000);
    let mut each_ms = Vec::new();
    for now_ms in 0..60_000u64 {
        let (up, mut sent) = (now_ms >= DOWN_MS, 0);
        for (index, sidecar) in fleet.iter_mut().enumerate() {
            let after_failed_poll = |sidecar: &mut SimulatedSidecar| {
                let wait = wait_after_failed_poll(
                    &mut sidecar.balancer,
                    Duration::from_millis(100_000 + now_ms),
                );
                State::Waiting {
                    until_ms: now_ms + wait.as_millis() as u64,
                    full_list: false,
                }
            };
            match sidecar.state {
                State::Waiting {
                    until_ms,
                    full_list,
                } if until_ms <= now_ms => {
                    sent += 1;
                    sidecar.requests += 1;
                    if up {
                        queue.push_back((index, sidecar.requests, now_ms));
                        let until_ms = now_ms
                            + if full_list {
                                FULL_LIST_TIMEOUT_MS
                            } else {
                                FIRST_LONG_POLL_TIMEOUT_MS
                            };
                        sidecar.state = State::Requesting {
                            request: sidecar.requests,
                            until_ms,
                            full_list,
                        };
                    } else {
                        sidecar.state = after_failed_poll(sidecar);
                    }
                }
                State::Requesting {
                    request,
                    until_ms,
                    full_list,
                } if until_ms <= now_ms => {
                    sidecar.timed_out.truncate(1);
                    sidecar.timed_out.push(request);
                    sidecar.state = match full_list {
                        true => after_failed_poll(sidecar),
                        false => State::Waiting {
                            until_ms: now_ms + next_pause_ms(),
                            full_list: true,
                        },
                    };
                }
                _ => {}
            }
        }
        each_ms.push(sent);
        while up && busy_until_us <= now_ms * 1000 {
            let Some((index, request, received_ms)) = queue.pop_front() else {
                busy_until_us = now_ms * 1000;
                break;
            };
            let sidecar = &mut fleet[index];
            let is_current = matches!(sidecar.state, State::Requesting { request: current, .. } if current == request);
            if now_ms - received_ms > patience_ms {
                if is_current {
                    let wait = wait_after_failed_poll(
                        &mut sidecar.balancer,
                        Duration::from_millis(100_000 + now_ms),
                    );
                    sidecar.state = State::Waiting {
                        until_ms: now_ms + wait.as_millis() as u64,
                        full_list: false,
                    };
                }
                continue;
            }
            busy_until_us += 1_000_000 / requests_per_second;
            if is_current
                || sidecar.timed_out.contains(&request)
                    && !matches!(sidecar.state, State::UpToDate { .. })
            {
                sidecar.state = State::UpToDate { since_ms: now_ms };
            } else {
                load.wasted += 1;
            }
        }
    }
    let (down, up) = each_ms.split_at(DOWN_MS as usize);
    load.down_each_second = down
        .chunks(1000)
        .map(|second| second.iter().sum())
        .collect();
    load.up_each_second = up
        .chunks(1000)
        .map(|second| second.iter().sum())
        .take(12)
        .collect();
    load.most_in_10_ms = each_ms[1000..]
        .windows(10)
        .map(|span| span.iter().sum())
        .max()
        .unwrap_or_default();
    load.updated_after_ms = fleet
        .iter()
        .filter_map(|sidecar| match sidecar.state {
            State::UpToDate { since_ms } => Some(since_ms - DOWN_MS),
            _ => None,
        })
        .collect();
    load.updated_after_ms.sort_unstable();
    load
}

/// Pauses before quick retries: 25 to 75 ms, from a fixed seed.
fn short_pauses_ms() -> impl FnMut() -> u64 {
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        25 + (state >> 33) % 51
    }
}

// 300 sidecars poll a discovery server that was down for 8 s. `within_ms` is when all have the
// change; with its request rate the server can't be done much earlier.
#[rstest]
#[case::quick(1000, 30_000, 2500)]
#[case::medium(200, 30_000, 4000)]
#[case::slow(100, 30_000, 6000)]
#[case::very_slow(40, 30_000, 9000)]
#[case::extremely_slow(20, 30_000, 18_000)]
#[case::slow_and_rejects(100, 1000, 6000)]
#[case::very_slow_and_rejects(40, 1000, 9000)]
fn recovering_discovery_is_not_overloaded_by_the_fleet(
    #[case] requests_per_second: u64,
    #[case] patience_ms: u64,
    #[case] within_ms: u64,
) {
    let load = simulate_recovery_after_8_s(requests_per_second, patience_ms);
    let all = load.updated_after_ms.last().copied().unwrap_or_default();
    println!(
        "{requests_per_second} a second: updated {} by {} / {all} ms (half / all), down {:?}, up {:?} requests a second, {} in 10 ms, {} wasted",
        load.updated_after_ms.len(),
        load.updated_after_ms
            .get(SIDECARS / 2)
            .copied()
            .unwrap_or_default(),
        load.down_each_second,
        load.up_each_second,
        load.most_in_10_ms,
        load.wasted
    );
    assert_eq!(load.updated_after_ms.len(), SIDECARS);
    assert!(all <= within_ms, "{all} ms");
    // About one request a second of each sidecar, and never many at once: synchronised they would
    // be 300.
    assert!(
        load.down_each_second[1..]
            .iter()
            .all(|requests| *requests <= 400),
        "{:?}",
        load.down_each_second
    );
    assert!(load.most_in_10_ms <= 20, "{}", load.most_in_10_ms);
    // Requests that timed out and were repeated, where the queue is longer than the timeouts.
    assert!(load.wasted <= 2 * SIDECARS, "{}", load.wasted);
}
