//! After a client has closed, reset or half-closed its connection, no attempt of its request starts
//! any more: not the first, no retry and no hedge, wherever it waited. The process is paused for
//! 150 ms between the disconnect and the moment at which it would have sent the attempt, so that it
//! finds both at once when it continues. See `docs/crossings.md`.

mod disconnects;
mod harness;

use disconnects::*;
use harness::*;
use rstest::rstest;
use std::io::{BufReader, Write};
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::sleep;

/// Where attempts may not be cancelled, only the check right before the send keeps them from
/// starting.
fn settings_with_cancellation(may_cancel: bool) -> String {
    slow_connect_settings().replace(
        "\"may_cancel\":true",
        &format!("\"may_cancel\":{may_cancel}"),
    )
}

/// Several rounds, so that each of the two endpoints is chosen first in some.
const ROUNDS: usize = 3;

/// A request that is retried after this first attempt if its client stays connected.
fn retryable_request(first: FirstAttempt, id: &str) -> String {
    with_long_deadline(&if first == FirstAttempt::Declined {
        post_book(id)
    } else {
        get_look(id)
    })
}

fn warm_up(sidecar: &Sidecar, endpoints: [&FakeServer; 2]) {
    let mut n = 0;
    wait_until(|| {
        n += 1;
        let mut clients: Vec<_> = (0..3)
            .map(|index| {
                send(
                    sidecar,
                    &with_long_deadline(&get_look(&format!("warm{n}-{index}"))),
                )
            })
            .collect();
        clients
            .iter_mut()
            .for_each(|client| assert_eq!(Message::read(client).unwrap().status(), "200"));
        endpoints
            .iter()
            .all(|endpoint| endpoint.request_count() > 3)
    });
}

// ---- retries ----

// The process finds the result of the first attempt and the disconnect at once. The retry would
// need a new connection, or an idle one that still rests before reuse.
#[rstest]
fn no_retry_starts_after_the_client_disconnected(
    #[values(FirstAttempt::Declined, FirstAttempt::Failed, FirstAttempt::Reset)]
    first: FirstAttempt,
    #[values(
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::HalfClose,
        Disconnect::AfterNextRequest
    )]
    disconnect_kind: Disconnect,
    #[values(false, true)] idle_connections: bool,
    #[values(false, true)] may_cancel: bool,
) {
    for _ in 0..ROUNDS {
        let (gate, attempts) = (Gate::default(), Arc::<AtomicUsize>::default());
        let (one, other) = (
            endpoint_failing_first_attempt(&gate, &attempts, first),
            endpoint_failing_first_attempt(&gate, &attempts, first),
        );
        let sidecar = start_sidecar_with(
            &two_members(&one, &other),
            unused_address(),
            &settings_with_cancellation(may_cancel),
        );
        if idle_connections {
            warm_up(&sidecar, [&one, &other]);
        }
        let client = send(&sidecar, &retryable_request(first, "left"));
        wait_until(|| attempts.load(SeqCst) == 1);
        let half_closed = event_then_disconnect(&sidecar, client, disconnect_kind, || gate.open());
        assert_eq!(
            sidecar
                .request(&with_long_deadline(&get_look("next-one")))
                .status(),
            "200"
        );
        sleep(50 * MS);
        assert_eq!(attempts.load(SeqCst), 1);
        drop(half_closed);
    }
}

// Control for the test above: if the client stays connected, there is a retry.
#[rstest]
fn retry_starts_while_the_client_is_connected(
    #[values(FirstAttempt::Declined, FirstAttempt::Failed, FirstAttempt::Reset)]
    first: FirstAttempt,
) {
    let (gate, attempts) = (Gate::default(), Arc::<AtomicUsize>::default());
    let (one, other) = (
        endpoint_failing_first_attempt(&gate, &attempts, first),
        endpoint_failing_first_attempt(&gate, &attempts, first),
    );
    let sidecar = start_sidecar_with(
        &two_members(&one, &other),
        unused_address(),
        &slow_connect_settings(),
    );
    let mut client = send(&sidecar, &retryable_request(first, "left"));
    wait_until(|| attempts.load(SeqCst) == 1);
    gate.open();
    assert_eq!(Message::read(&mut client).unwrap().status(), "200");
    assert_eq!(attempts.load(SeqCst), 2);
}

/// A sidecar whose first attempt of `left` was declined and whose retry waits for its connect.
fn start_with_retry_connecting(
    request: &str,
    may_cancel: bool,
) -> (Sidecar, BufReader<std::net::TcpStream>, DelayedListener) {
    let (gate, attempts, delayed) = (
        Gate::default(),
        Arc::<AtomicUsize>::default(),
        DelayedListener::new(),
    );
    let first = endpoint_failing_first_attempt(&gate, &attempts, FirstAttempt::Declined);
    let known = member("s-1", first.address, "up");
    let discovery = fake_discovery(&known);
    let sidecar = start_sidecar_with(
        &known,
        discovery.server.address,
        &settings_with_cancellation(may_cancel),
    );
    let client = send(&sidecar, request);
    wait_until(|| attempts.load(SeqCst) == 1);
    let list = format!(
        "{},{}",
        member("s-1", first.address, "draining"),
        member("s-2", delayed.address, "up")
    );
    discovery.publish(2, list);
    wait_until(|| {
        discovery
            .server
            .requests
            .lock()
            .unwrap()
            .iter()
            .any(|request| request.target().contains("from=2&"))
    });
    gate.open();
    wait_until(|| is_connecting(delayed.address));
    (sidecar, client, delayed)
}

// The connect of the retry completes after the client has disconnected, or the process finds both
// at once.
#[rstest]
fn late_connection_of_a_retry_carries_no_command_of_a_disconnected_client(
    #[values(
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::HalfClose,
        Disconnect::AfterNextRequest
    )]
    disconnect_kind: Disconnect,
    #[values(false, true)] at_once: bool,
    #[values(false, true)] may_cancel: bool,
) {
    let (sidecar, client, delayed) =
        start_with_retry_connecting(&with_long_deadline(&post_book("left")), may_cancel);
    let address = delayed.address;
    let (received, _half_closed) = if at_once {
        sidecar.signal("STOP");
        let half_closed = disconnect(client, disconnect_kind);
        let accepting = delayed.accept_and_read();
        sleep(2500 * MS);
        sidecar.signal("CONT");
        (accepting.join().unwrap(), half_closed)
    } else {
        let half_closed = disconnect(client, disconnect_kind);
        // The disconnect releases its resources at once: the connect is abandoned.
        wait_until(|| !is_connecting(address));
        (delayed.accept_and_read().join().unwrap(), half_closed)
    };
    assert!(
        !contains_request(&received, "left"),
        "{}",
        String::from_utf8_lossy(&received)
    );
}

// All endpoints refuse connections, and the request waits for the end of the backoff. Then an
// endpoint accepts connections again, and the process finds the end of the backoff and the
// disconnect at once.
#[rstest]
#[case::close(Some(Disconnect::Close))]
#[case::reset(Some(Disconnect::Reset))]
#[case::half_close(Some(Disconnect::HalfClose))]
#[case::after_next_request(Some(Disconnect::AfterNextRequest))]
#[case::stays(None)]
fn no_attempt_starts_after_a_backoff_once_the_client_disconnected(
    #[case] disconnect_kind: Option<Disconnect>,
) {
    let address = unused_address();
    // The backoff follows the shortest deadline target of all classes; a request may wait for a
    // quarter of its own.
    let settings = settings_with_cancellation(false).replacen(
        "\"response_goal\":5000000000",
        "\"response_goal\":400000000",
        1,
    );
    let settings = settings.replace(
        "\"response_goal\":5000000000",
        "\"response_goal\":40000000000",
    );
    let settings = settings.replace("\"time_limit\":8000000000", "\"time_limit\":60000000000");
    let sidecar = start_sidecar_with(&member("s-1", address, "up"), unused_address(), &settings);
    let mut client = send(&sidecar, &post_book("left").replace("Ms: 900", "Ms: 59000"));
    sleep(50 * MS);
    sidecar.signal("STOP");
    let received_ids = ok_endpoint_at(address);
    sleep(1000 * MS);
    let half_closed = match disconnect_kind {
        Some(disconnect_kind) => disconnect(client, disconnect_kind),
        None => {
            sidecar.signal("CONT");
            assert_eq!(Message::read(&mut client).unwrap().status(), "200");
            return;
        }
    };
    sleep(PAUSE);
    sidecar.signal("CONT");
    wait_until(|| {
        sidecar
            .request(&with_long_deadline(&get_look("next-one")))
            .status()
            == "200"
    });
    assert!(
        !received_ids.lock().unwrap().contains(&"left".to_string()),
        "{:?}",
        received_ids.lock().unwrap()
    );
    drop(half_closed);
}

// ---- hedges ----

fn settings_with_hedging() -> String {
    slow_connect_settings().replace("\"second_copies\":false", "\"second_copies\":true")
}

/// An endpoint that answers after 150 ms, so that a hedge is due some time after the first attempt.
/// `left` is never answered.
fn slow_endpoint(attempts: &Arc<AtomicUsize>) -> FakeServer {
    let attempts = Arc::clone(attempts);
    fake_server(move |message, to| {
        if message
            .header("req-id")
            .is_some_and(|id| id.starts_with("left"))
        {
            attempts.fetch_add(1, SeqCst);
            return true;
        }
        sleep(150 * MS);
        respond(to, "200 OK", "", b"ok");
        true
    })
}

/// A sidecar that has learned the latency of its endpoints.
fn start_with_known_latency(
    settings: &str,
    attempts: &Arc<AtomicUsize>,
) -> (Sidecar, FakeServer, FakeServer) {
    let (one, other) = (slow_endpoint(attempts), slow_endpoint(attempts));
    let sidecar = start_sidecar_with(&two_members(&one, &other), unused_address(), settings);
    for n in 0..12 {
        assert_eq!(
            sidecar
                .request(&with_long_deadline(&get_look(&format!("warm{n}"))))
                .status(),
            "200"
        );
    }
    (sidecar, one, other)
}

// The first attempt hangs, and the process finds the due hedge and the disconnect at once.
#[rstest]
#[case::close(Disconnect::Close)]
#[case::reset(Disconnect::Reset)]
#[case::half_close(Disconnect::HalfClose)]
#[case::after_next_request(Disconnect::AfterNextRequest)]
fn no_hedge_starts_after_the_client_disconnected(#[case] disconnect_kind: Disconnect) {
    let attempts = Arc::<AtomicUsize>::default();
    let (sidecar, ..) = start_with_known_latency(&settings_with_hedging(), &attempts);
    let mut rounds = 0;
    // On a busy machine the hedge may have been sent before the process was paused; such rounds do
    // not count.
    for n in 0..40 {
        attempts.store(0, SeqCst);
        let client = send(
            &sidecar,
            &with_long_deadline(&get_look(&format!("left{n}"))),
        );
        wait_until(|| attempts.load(SeqCst) > 0);
        sidecar.signal("STOP");
        sleep(5 * MS);
        let before = attempts.load(SeqCst);
        let half_closed = disconnect(client, disconnect_kind);
        sleep(1500 * MS);
        sidecar.signal("CONT");
        assert_eq!(
            sidecar
                .request(&with_long_deadline(&get_look(&format!("next{n}"))))
                .status(),
            "200"
        );
        assert_eq!(attempts.load(SeqCst), before);
        drop(half_closed);
        rounds += usize::from(before == 1);
        if rounds == 2 {
            return;
        }
    }
    panic!("the hedge was always sent before the pause");
}

#[rstest]
fn hedge_starts_while_the_client_is_connected() {
    let attempts = Arc::<AtomicUsize>::default();
    let (sidecar, ..) = start_with_known_latency(&settings_with_hedging(), &attempts);
    let _client = send(&sidecar, &with_long_deadline(&get_look("left")));
    wait_until(|| attempts.load(SeqCst) == 2);
}

// ---- waiting for a connect permit ----

// All connections to endpoints are in use. The process finds the end of one and the disconnect of
// the client whose command waits for it at once.
#[rstest]
fn command_waiting_for_a_connect_permit_is_not_sent_after_its_client_disconnected(
    #[values(false, true)] retry: bool,
    #[values(
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::HalfClose,
        Disconnect::AfterNextRequest
    )]
    disconnect_kind: Disconnect,
    #[values(false, true)] may_cancel: bool,
) {
    // As many connections to endpoints as the descriptor limit of 48 allows.
    const ENDPOINT_CONNECTIONS: usize = 6;
    let (gate, turns_away, attempts) = (
        Gate::default(),
        Gate::default(),
        Arc::<AtomicUsize>::default(),
    );
    let endpoint = |_| {
        let (handler_gate, turns_away, attempts) =
            (gate.clone(), turns_away.clone(), Arc::clone(&attempts));
        fake_server(move |message, to| {
            if message
                .header("req-id")
                .is_some_and(|id| id.starts_with("left"))
            {
                if attempts.fetch_add(1, SeqCst) == 0 && retry {
                    turns_away.wait_until_open();
                    respond_declined(to);
                    let _ = to.shutdown(Shutdown::Both);
                    return false;
                }
                respond(to, "200 OK", "", b"ok");
                return true;
            }
            handler_gate.wait_until_open();
            respond(to, "200 OK", "Connection: close\r\n", b"ok");
            let _ = to.shutdown(Shutdown::Both);
            false
        })
    };
    let endpoints: Vec<_> = (0..12).map(endpoint).collect();
    let known: Vec<_> = endpoints
        .iter()
        .enumerate()
        .map(|(n, e)| member(&format!("s-{n}"), e.address, "up"))
        .collect();
    let address = unused_address();
    let config = config_json(
        address,
        unused_address(),
        &known.join(","),
        &settings_with_cancellation(may_cancel),
    );
    let sidecar = Sidecar::start(address, &config.replace("\"sockets\":64", "\"sockets\":48"));
    let requests_received = || {
        endpoints
            .iter()
            .map(FakeServer::request_count)
            .sum::<usize>()
    };
    let holds = |n: usize| {
        send(
            &sidecar,
            &with_long_deadline(&post_book(&format!("holds{n}"))),
        )
    };
    let (client, others): (_, Vec<_>) = if retry {
        let client = send(&sidecar, &with_long_deadline(&post_book("left")));
        wait_until(|| attempts.load(SeqCst) == 1);
        // The last of them gets the connection that `left` releases.
        let others = (0..ENDPOINT_CONNECTIONS).map(holds).collect();
        wait_until(|| requests_received() == ENDPOINT_CONNECTIONS);
        turns_away.open();
        wait_until(|| requests_received() == ENDPOINT_CONNECTIONS + 1);
        (client, others)
    } else {
        let others = (0..ENDPOINT_CONNECTIONS).map(holds).collect();
        wait_until(|| requests_received() == ENDPOINT_CONNECTIONS);
        (
            send(&sidecar, &with_long_deadline(&post_book("left"))),
            others,
        )
    };
    sleep(100 * MS);
    let before = attempts.load(SeqCst);
    let half_closed = event_then_disconnect(&sidecar, client, disconnect_kind, || gate.open());
    for mut other in others {
        assert_eq!(Message::read(&mut other).unwrap().status(), "200");
    }
    sleep(50 * MS);
    assert_eq!(attempts.load(SeqCst), before);
    drop(half_closed);
}

// ---- waiting in the balancer ----

/// Settings under which a command may queue for ten seconds.
fn settings_with_long_queueing(may_cancel: bool) -> String {
    let settings = settings_with_cancellation(may_cancel).replace(
        "\"response_goal\":5000000000",
        "\"response_goal\":40000000000",
    );
    let settings = settings.replace("\"time_limit\":8000000000", "\"time_limit\":60000000000");
    settings.replace("\"probes\":false", "\"probes\":true")
}

// An endpoint gets capacity, and then the client of the command that waits for it disconnects.
#[rstest]
fn queued_command_is_not_sent_after_its_client_disconnected(
    #[values(
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::HalfClose,
        Disconnect::AfterNextRequest
    )]
    disconnect_kind: Disconnect,
    #[values(false, true)] may_cancel: bool,
) {
    let gate = Gate::default();
    let endpoint = gated_endpoint(&gate, "ok");
    let known = member("s-1", endpoint.address, "up");
    let sidecar = start_sidecar_with(
        &known,
        unused_address(),
        &settings_with_long_queueing(may_cancel),
    );
    let send = |id: &str| send(&sidecar, &post_book(id).replace("Ms: 900", "Ms: 59000"));
    let mut sent_clients = Vec::new();
    // The first command that is not sent at once is queued.
    let queued = loop {
        let client = send(&sent_clients.len().to_string());
        sleep(300 * MS);
        if endpoint.request_count() == sent_clients.len() {
            break client;
        }
        sent_clients.push(client);
        assert!(sent_clients.len() < 8, "no command was queued");
    };
    let half_closed = event_then_disconnect(&sidecar, queued, disconnect_kind, || gate.open());
    let id = sent_clients.len().to_string();
    for client in &mut sent_clients {
        assert_eq!(Message::read(client).unwrap().status(), "200");
    }
    assert_eq!(
        sidecar
            .request(&get_look("next-one").replace("Ms: 900", "Ms: 59000"))
            .status(),
        "200"
    );
    assert_eq!(times_sent(&endpoint, &id), 0);
    drop(half_closed);
}

// ---- during shutdown ----

// Half of the body was read before, or the connection waits in the backlog. A connection to the
// endpoint is idle, so only the check right before the send can keep the attempt from starting.
#[rstest]
fn command_of_a_client_that_disconnected_during_shutdown_does_not_start(
    #[values(false, true)] half_read: bool,
    #[values(
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::HalfClose,
        Disconnect::AfterNextRequest
    )]
    disconnect_kind: Disconnect,
    #[values(false, true)] may_cancel: bool,
) {
    let endpoint = ok_endpoint("ok");
    let known = member("s-1", endpoint.address, "up");
    let mut sidecar = start_sidecar_with(
        &known,
        unused_address(),
        &settings_with_cancellation(may_cancel),
    );
    let mut warm: Vec<_> = (0..4)
        .map(|n| {
            send(
                &sidecar,
                &with_long_deadline(&get_look(&format!("warm{n}"))),
            )
        })
        .collect();
    warm.iter_mut()
        .for_each(|client| assert_eq!(Message::read(client).unwrap().status(), "200"));
    let request = with_long_deadline(&post_book("left"));
    let (first, rest) = request.split_at(request.len() - 2);
    let early = half_read.then(|| send(&sidecar, first));
    sleep(50 * MS);
    sidecar.signal("STOP");
    sidecar.signal("TERM");
    let mut client = early.unwrap_or_else(|| send(&sidecar, first));
    client.get_mut().write_all(rest.as_bytes()).unwrap();
    let half_closed = disconnect(client, disconnect_kind);
    let mut stays = send(&sidecar, &with_long_deadline(&post_book("stays")));
    sleep(PAUSE);
    sidecar.signal("CONT");
    assert_eq!(Message::read(&mut stays).unwrap().status(), "200");
    drop(half_closed);
    assert_eq!(sidecar.child.wait().unwrap().code(), Some(0));
    assert_eq!(
        (
            times_sent(&endpoint, "left"),
            times_sent(&endpoint, "stays")
        ),
        (0, 1)
    );
}

// ---- a disconnect behind unread bytes ----

/// The incomplete head of a next request, written together with the first request.
const NEXT_REQUEST: &str = "GET /look HTTP/1.1\r\nHost: b\r\nX-More: ";

fn chunked_book(id: &str) -> String {
    with_long_deadline(&post_book(id)).replace(
        "Content-Length: 4\r\n\r\nseat",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nseat\r\n0\r\n\r\n",
    )
}

// Prevents an undetected disconnect: only hyper knows the end of a chunked body, and while a next
// request is in its buffer it reads nothing more from the socket, not even the end of the
// connection.
#[rstest]
fn disconnect_behind_a_pipelined_request_is_detected(
    #[values(false, true)] retry: bool,
    #[values(Disconnect::Close, Disconnect::Reset)] disconnect_kind: Disconnect,
) {
    let request = format!("{}{NEXT_REQUEST}", chunked_book("left"));
    let (sidecar, mut client, delayed) = if retry {
        start_with_retry_connecting(&request, true)
    } else {
        let delayed = DelayedListener::new();
        let sidecar = start_sidecar_with(
            &member("s-1", delayed.address, "up"),
            unused_address(),
            &slow_connect_settings(),
        );
        let client = send(&sidecar, &request);
        wait_until(|| is_connecting(delayed.address));
        (sidecar, client, delayed)
    };
    client.get_mut().write_all(b"more\r\n").unwrap();
    sleep(20 * MS);
    let half_closed = disconnect(client, disconnect_kind);
    sleep(PAUSE);
    let received = delayed.accept_and_read().join().unwrap();
    assert!(
        !contains_request(&received, "left"),
        "{}",
        String::from_utf8_lossy(&received)
    );
    // Its request is over: the same id is taken again.
    assert_ne!(
        sidecar
            .request(&with_long_deadline(&get_look("left")))
            .status(),
        "409"
    );
    drop(half_closed);
}

// A long body is read as it is forwarded. Its client disconnects halfway, behind bytes that wait
// for the connect to complete.
#[rstest]
#[case::close(Disconnect::Close)]
#[case::reset(Disconnect::Reset)]
#[case::half_close(Disconnect::HalfClose)]
fn disconnect_behind_part_of_a_long_body_is_detected(#[case] disconnect_kind: Disconnect) {
    let delayed = DelayedListener::new();
    let sidecar = start_sidecar_with(
        &member("s-1", delayed.address, "up"),
        unused_address(),
        &slow_connect_settings(),
    );
    let head = with_long_deadline(&post_book("left")).replace(
        "Content-Length: 4\r\n\r\nseat",
        "Content-Length: 2000000\r\n\r\n",
    );
    let mut client = send(&sidecar, &head);
    wait_until(|| is_connecting(delayed.address));
    client.get_mut().write_all(&[b'x'; 40_000]).unwrap();
    sleep(20 * MS);
    let half_closed = disconnect(client, disconnect_kind);
    sleep(PAUSE);
    let received = delayed.accept_and_read().join().unwrap();
    assert!(
        !contains_request(&received, "left"),
        "{}",
        String::from_utf8_lossy(&received)
    );
    // Its request is over: the same id is taken again.
    assert_ne!(
        sidecar
            .request(&with_long_deadline(&get_look("left")))
            .status(),
        "409"
    );
    drop(half_closed);
}

// ---- a connection that another request still uses ----

// Prevents a wrong failure: the end of a long response is read from the endpoint before the slow
// client has read the rest. The connection used to be given the next request at that point; that
// request was sent without the check before the send, and failed although the endpoint was working
// on it.
#[rstest]
fn request_is_not_sent_over_a_connection_still_used_by_a_slow_reader() {
    const CHUNK_BYTES: usize = 0x6000;
    let long_response_port = Arc::<AtomicUsize>::default();
    let recorded_port = Arc::clone(&long_response_port);
    // A short response states the port of the connection that it came over.
    let endpoint = fake_server(move |message, to| {
        let port = usize::from(to.peer_addr().unwrap().port());
        let id = message.header("req-id").unwrap();
        let Some(chunks) = id
            .strip_prefix("long")
            .and_then(|n| n.parse::<usize>().ok())
        else {
            // Longer than a response may stall halfway.
            sleep(250 * MS);
            respond(to, "200 OK", "", port.to_string().as_bytes());
            return true;
        };
        recorded_port.store(port, SeqCst);
        let chunk = [
            format!("{CHUNK_BYTES:x}\r\n").as_bytes(),
            &[b'x'; CHUNK_BYTES],
            b"\r\n",
        ]
        .concat();
        let _ = to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let _ = to.write_all(&chunk.repeat(chunks - 1));
        // The last chunk and the end of the body arrive separately.
        sleep(20 * MS);
        let _ = to.write_all(&chunk);
        sleep(30 * MS);
        let _ = to.write_all(b"0\r\n\r\n");
        true
    });
    let sidecar = start_sidecar_with(
        &member("s-1", endpoint.address, "up"),
        unused_address(),
        &slow_connect_settings(),
    );
    // The status of a request that follows a long response which nobody reads, and whether it used
    // the same connection.
    let request_after_long_response = |chunks: usize| {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&sidecar.address.into()).unwrap();
        let mut slow = std::net::TcpStream::from(socket);
        slow.write_all(with_long_deadline(&get_look(&format!("long{chunks}"))).as_bytes())
            .unwrap();
        sleep(150 * MS);
        let response = sidecar.request(&with_long_deadline(&post_book(&format!("next{chunks}"))));
        let same = response.body == long_response_port.load(SeqCst).to_string().as_bytes();
        (response.status().to_string(), same)
    };
    // Bisect how many chunks fit into the buffers on the way before the slow client blocks the
    // response.
    let (mut buffered, mut blocked) = (2, 1000);
    while blocked - buffered > 2 {
        let half = (buffered + blocked) / 2;
        *(if request_after_long_response(half).1 {
            &mut buffered
        } else {
            &mut blocked
        }) = half;
    }
    let statuses: Vec<_> = (buffered.max(6) - 4..blocked + 4)
        .map(|chunks| request_after_long_response(chunks).0)
        .collect();
    assert!(
        statuses.iter().all(|status| status == "200"),
        "{statuses:?}"
    );
}
