//! A client that has closed, reset or shut its connection has gone: no attempt of its request begins any more, neither the
//! first nor a further one nor a second copy, wherever it waited. The process stands still for 150 ms between the leaving and
//! what would have been the send; both lie ready when it goes on. See `docs/crossings.md`.

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

/// Where attempts may not be cancelled, nothing but the last look keeps them from beginning.
fn that(may_cancel: bool) -> String {
    slow_connect_settings().replace(
        "\"may_cancel\":true",
        &format!("\"may_cancel\":{may_cancel}"),
    )
}

/// Rounds, so that each of two endpoints alike comes first in some.
const ROUNDS: usize = 3;

/// A request that goes on after `first` where its client stays.
fn request(first: FirstAttempt, id: &str) -> String {
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
            .map(|k| {
                send(
                    sidecar,
                    &with_long_deadline(&get_look(&format!("warm{n}-{k}"))),
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

// ---- further attempts ----

// What came of the first attempt and the leaving lie ready in one turn. The next attempt would need a new connection, or one
// that is kept and rests.
#[rstest]
fn no_further_attempt_begins_once_the_client_left(
    #[values(FirstAttempt::Declined, FirstAttempt::Failed, FirstAttempt::Reset)]
    first: FirstAttempt,
    #[values(
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::HalfClose,
        Disconnect::AfterNextRequest
    )]
    how: Disconnect,
    #[values(false, true)] kept: bool,
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
            &that(may_cancel),
        );
        if kept {
            warm_up(&sidecar, [&one, &other]);
        }
        let client = send(&sidecar, &request(first, "left"));
        wait_until(|| attempts.load(SeqCst) == 1);
        let rest = event_then_disconnect(&sidecar, client, how, || gate.open());
        assert_eq!(
            sidecar
                .request(&with_long_deadline(&get_look("next-one")))
                .status(),
            "200"
        );
        sleep(50 * MS);
        assert_eq!(attempts.load(SeqCst), 1);
        drop(rest);
    }
}

// The same where the client stays: there is a further attempt, so the test above tells something.
#[rstest]
fn a_further_attempt_begins_where_the_client_stays(
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
    let mut client = send(&sidecar, &request(first, "left"));
    wait_until(|| attempts.load(SeqCst) == 1);
    gate.open();
    assert_eq!(Message::read(&mut client).unwrap().status(), "200");
    assert_eq!(attempts.load(SeqCst), 2);
}

/// A sidecar whose first attempt of `left` was turned away, and whose next one waits for a connection.
fn second_waits(
    request: &str,
    may_cancel: bool,
) -> (Sidecar, BufReader<std::net::TcpStream>, DelayedListener) {
    let (gate, attempts, late) = (
        Gate::default(),
        Arc::<AtomicUsize>::default(),
        DelayedListener::new(),
    );
    let first = endpoint_failing_first_attempt(&gate, &attempts, FirstAttempt::Declined);
    let known = member("s-1", first.address, "up");
    let discovery = fake_discovery(&known);
    let sidecar = start_sidecar_with(&known, discovery.server.address, &that(may_cancel));
    let client = send(&sidecar, request);
    wait_until(|| attempts.load(SeqCst) == 1);
    let list = format!(
        "{},{}",
        member("s-1", first.address, "draining"),
        member("s-2", late.address, "up")
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
    wait_until(|| is_connecting(late.address));
    (sidecar, client, late)
}

// The connection of a further attempt comes up after the client has left, or in the same turn.
#[rstest]
fn the_connection_of_a_further_attempt_comes_up_for_nobody(
    #[values(
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::HalfClose,
        Disconnect::AfterNextRequest
    )]
    how: Disconnect,
    #[values(false, true)] same_turn: bool,
    #[values(false, true)] may_cancel: bool,
) {
    let (sidecar, client, late) = second_waits(&with_long_deadline(&post_book("left")), may_cancel);
    let address = late.address;
    let (came, _rest) = if same_turn {
        sidecar.signal("STOP");
        let rest = disconnect(client, how);
        let waits = late.accept_and_read();
        sleep(2500 * MS);
        sidecar.signal("CONT");
        (waits.join().unwrap(), rest)
    } else {
        let rest = disconnect(client, how);
        // What it held is free at once: its connection is given up.
        wait_until(|| !is_connecting(address));
        (late.accept_and_read().join().unwrap(), rest)
    };
    assert!(
        !contains_request(&came, "left"),
        "{}",
        String::from_utf8_lossy(&came)
    );
}

// All endpoints refuse connections, and the request waits out their backoff; one takes connections again, and the backoff
// ends in the turn in which the client leaves.
#[rstest]
#[case::close(Some(Disconnect::Close))]
#[case::reset(Some(Disconnect::Reset))]
#[case::half_close(Some(Disconnect::HalfClose))]
#[case::after_next_request(Some(Disconnect::AfterNextRequest))]
#[case::stays(None)]
fn no_attempt_begins_behind_a_backoff_once_the_client_left(#[case] how: Option<Disconnect>) {
    let address = unused_address();
    // An endpoint is tried again by the shortest goal, and a request waits for a quarter of its own.
    let settings = that(false).replacen(
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
    let seen = ok_endpoint_at(address);
    sleep(1000 * MS);
    let rest = match how {
        Some(how) => disconnect(client, how),
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
        !seen.lock().unwrap().contains(&"left".to_string()),
        "{:?}",
        seen.lock().unwrap()
    );
    drop(rest);
}

// ---- second copies ----

fn with_copies() -> String {
    slow_connect_settings().replace("\"second_copies\":false", "\"second_copies\":true")
}

/// An endpoint that takes its time, so that a copy is due some time after the first attempt; `left` is never answered.
fn unhurried_endpoint(attempts: &Arc<AtomicUsize>) -> FakeServer {
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

/// A sidecar that knows how long its endpoints take.
fn knows_pace(settings: &str, attempts: &Arc<AtomicUsize>) -> (Sidecar, FakeServer, FakeServer) {
    let (one, other) = (unhurried_endpoint(attempts), unhurried_endpoint(attempts));
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

// The first attempt hangs; its copy is due in the turn in which the client leaves.
#[rstest]
#[case::close(Disconnect::Close)]
#[case::reset(Disconnect::Reset)]
#[case::half_close(Disconnect::HalfClose)]
#[case::after_next_request(Disconnect::AfterNextRequest)]
fn no_second_copy_begins_once_the_client_left(#[case] how: Disconnect) {
    let attempts = Arc::<AtomicUsize>::default();
    let (sidecar, ..) = knows_pace(&with_copies(), &attempts);
    let mut rounds = 0;
    // On a slow machine the copy may have gone out before the process stands still.
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
        let rest = disconnect(client, how);
        sleep(1500 * MS);
        sidecar.signal("CONT");
        assert_eq!(
            sidecar
                .request(&with_long_deadline(&get_look(&format!("next{n}"))))
                .status(),
            "200"
        );
        assert_eq!(attempts.load(SeqCst), before);
        drop(rest);
        rounds += usize::from(before == 1);
        if rounds == 2 {
            return;
        }
    }
    panic!("the copy always went out before");
}

#[rstest]
fn a_second_copy_begins_where_the_client_stays() {
    let attempts = Arc::<AtomicUsize>::default();
    let (sidecar, ..) = knows_pace(&with_copies(), &attempts);
    let _client = send(&sidecar, &with_long_deadline(&get_look("left")));
    wait_until(|| attempts.load(SeqCst) == 2);
}

// ---- waiting for a permit ----

// All connections to endpoints are taken; one ends in the turn in which the client of what waits for it leaves.
#[rstest]
fn what_waited_for_a_permit_to_connect_is_not_sent_once_its_client_left(
    #[values(false, true)] further: bool,
    #[values(
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::HalfClose,
        Disconnect::AfterNextRequest
    )]
    how: Disconnect,
    #[values(false, true)] may_cancel: bool,
) {
    // Six connections to endpoints.
    const OUT: usize = 6;
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
                if attempts.fetch_add(1, SeqCst) == 0 && further {
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
    let text = config_json(
        address,
        unused_address(),
        &known.join(","),
        &that(may_cancel),
    );
    let sidecar = Sidecar::start(address, &text.replace("\"sockets\":64", "\"sockets\":48"));
    let out = || {
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
    let (client, others): (_, Vec<_>) = if further {
        let client = send(&sidecar, &with_long_deadline(&post_book("left")));
        wait_until(|| attempts.load(SeqCst) == 1);
        // The last of them gets the connection that `left` gives back.
        let others = (0..OUT).map(holds).collect();
        wait_until(|| out() == OUT);
        turns_away.open();
        wait_until(|| out() == OUT + 1);
        (client, others)
    } else {
        let others = (0..OUT).map(holds).collect();
        wait_until(|| out() == OUT);
        (
            send(&sidecar, &with_long_deadline(&post_book("left"))),
            others,
        )
    };
    sleep(100 * MS);
    let before = attempts.load(SeqCst);
    let rest = event_then_disconnect(&sidecar, client, how, || gate.open());
    for mut other in others {
        assert_eq!(Message::read(&mut other).unwrap().status(), "200");
    }
    sleep(50 * MS);
    assert_eq!(attempts.load(SeqCst), before);
    drop(rest);
}

// ---- waiting in the module ----

/// Settings under which what finds no room waits for ten seconds.
fn waits_long(may_cancel: bool) -> String {
    let settings = that(may_cancel).replace(
        "\"response_goal\":5000000000",
        "\"response_goal\":40000000000",
    );
    let settings = settings.replace("\"time_limit\":8000000000", "\"time_limit\":60000000000");
    settings.replace("\"probes\":false", "\"probes\":true")
}

// There is room at the endpoint, and then the client of what waits for it leaves.
#[rstest]
fn what_waited_in_the_module_is_not_sent_once_its_client_left(
    #[values(
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::HalfClose,
        Disconnect::AfterNextRequest
    )]
    how: Disconnect,
    #[values(false, true)] may_cancel: bool,
) {
    let gate = Gate::default();
    let handler_gate = gate.clone();
    let endpoint = fake_server(move |_, to| {
        handler_gate.wait_until_open();
        respond(to, "200 OK", "", b"ok");
        true
    });
    let known = member("s-1", endpoint.address, "up");
    let sidecar = start_sidecar_with(&known, unused_address(), &waits_long(may_cancel));
    let send = |id: &str| send(&sidecar, &post_book(id).replace("Ms: 900", "Ms: 59000"));
    let mut out = Vec::new();
    // The first that is not sent at once waits for room.
    let waits = loop {
        let client = send(&out.len().to_string());
        sleep(300 * MS);
        if endpoint.request_count() == out.len() {
            break client;
        }
        out.push(client);
        assert!(out.len() < 8, "nothing waits");
    };
    let rest = event_then_disconnect(&sidecar, waits, how, || gate.open());
    let id = out.len().to_string();
    for client in &mut out {
        assert_eq!(Message::read(client).unwrap().status(), "200");
    }
    assert_eq!(
        sidecar
            .request(&get_look("next-one").replace("Ms: 900", "Ms: 59000"))
            .status(),
        "200"
    );
    assert_eq!(times_sent(&endpoint, &id), 0);
    drop(rest);
}

// ---- during a stop ----

// Half of the body was read before, or the connection waits in the backlog; an endpoint's connection is kept, so that nothing
// but the last look is in the way.
#[rstest]
fn what_a_client_left_behind_during_a_stop_does_not_begin(
    #[values(false, true)] half_read: bool,
    #[values(
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::HalfClose,
        Disconnect::AfterNextRequest
    )]
    how: Disconnect,
    #[values(false, true)] may_cancel: bool,
) {
    let endpoint = ok_endpoint("ok");
    let known = member("s-1", endpoint.address, "up");
    let mut sidecar = start_sidecar_with(&known, unused_address(), &that(may_cancel));
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
    let kept = disconnect(client, how);
    let mut stays = send(&sidecar, &with_long_deadline(&post_book("stays")));
    sleep(PAUSE);
    sidecar.signal("CONT");
    assert_eq!(Message::read(&mut stays).unwrap().status(), "200");
    drop(kept);
    assert_eq!(sidecar.child.wait().unwrap().code(), Some(0));
    assert_eq!(
        (
            times_sent(&endpoint, "left"),
            times_sent(&endpoint, "stays")
        ),
        (0, 1)
    );
}

// ---- behind bytes that nobody reads ----

/// What is written in one go with a first request.
const NEXT: &str = "GET /look HTTP/1.1\r\nHost: b\r\nX-More: ";

fn in_chunks(id: &str) -> String {
    with_long_deadline(&post_book(id)).replace(
        "Content-Length: 4\r\n\r\nseat",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nseat\r\n0\r\n\r\n",
    )
}

// Where a body comes in chunks only the HTTP library knows its end, and while a next request lies in its buffer it reads
// nothing more: neither does it see the client leave.
#[rstest]
fn the_leaving_behind_a_pipelined_next_request_is_seen(
    #[values(false, true)] further: bool,
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    let request = format!("{}{NEXT}", in_chunks("left"));
    let (sidecar, mut client, late) = if further {
        second_waits(&request, true)
    } else {
        let late = DelayedListener::new();
        let sidecar = start_sidecar_with(
            &member("s-1", late.address, "up"),
            unused_address(),
            &slow_connect_settings(),
        );
        let client = send(&sidecar, &request);
        wait_until(|| is_connecting(late.address));
        (sidecar, client, late)
    };
    client.get_mut().write_all(b"more\r\n").unwrap();
    sleep(20 * MS);
    let rest = disconnect(client, how);
    sleep(PAUSE);
    let came = late.accept_and_read().join().unwrap();
    assert!(
        !contains_request(&came, "left"),
        "{}",
        String::from_utf8_lossy(&came)
    );
    // Its request is over: the same id is taken again.
    assert_ne!(
        sidecar
            .request(&with_long_deadline(&get_look("left")))
            .status(),
        "409"
    );
    drop(rest);
}

// A long body is read as it is passed on. Its client leaves halfway, behind bytes that wait for the connection to come up.
#[rstest]
#[case::close(Disconnect::Close)]
#[case::reset(Disconnect::Reset)]
#[case::half_close(Disconnect::HalfClose)]
fn the_leaving_behind_a_part_of_a_long_body_is_seen(#[case] how: Disconnect) {
    let late = DelayedListener::new();
    let sidecar = start_sidecar_with(
        &member("s-1", late.address, "up"),
        unused_address(),
        &slow_connect_settings(),
    );
    let head = with_long_deadline(&post_book("left")).replace(
        "Content-Length: 4\r\n\r\nseat",
        "Content-Length: 2000000\r\n\r\n",
    );
    let mut client = send(&sidecar, &head);
    wait_until(|| is_connecting(late.address));
    client.get_mut().write_all(&[b'x'; 40_000]).unwrap();
    sleep(20 * MS);
    let rest = disconnect(client, how);
    sleep(PAUSE);
    let came = late.accept_and_read().join().unwrap();
    assert!(
        !contains_request(&came, "left"),
        "{}",
        String::from_utf8_lossy(&came)
    );
    // Its request is over: the same id is taken again.
    assert_ne!(
        sidecar
            .request(&with_long_deadline(&get_look("left")))
            .status(),
        "409"
    );
    drop(rest);
}

// ---- a connection that still belongs to another request ----

// The end of a long answer is read from its endpoint before its slow client has taken the rest: the connection was given the
// next request, which then was not looked at before it was sent, and was answered as failed while its endpoint worked.
#[rstest]
fn a_request_behind_a_long_answer_whose_client_is_slow_is_not_taken_for_that() {
    const PIECE: usize = 0x6000;
    let long_over = Arc::<AtomicUsize>::default();
    let over = Arc::clone(&long_over);
    // An answer tells which connection it came over.
    let endpoint = fake_server(move |message, to| {
        let port = usize::from(to.peer_addr().unwrap().port());
        let id = message.header("req-id").unwrap();
        let Some(pieces) = id
            .strip_prefix("long")
            .and_then(|n| n.parse::<usize>().ok())
        else {
            // Longer than an answer may stop halfway.
            sleep(250 * MS);
            respond(to, "200 OK", "", port.to_string().as_bytes());
            return true;
        };
        over.store(port, SeqCst);
        let piece = [format!("{PIECE:x}\r\n").as_bytes(), &[b'x'; PIECE], b"\r\n"].concat();
        let _ = to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let _ = to.write_all(&piece.repeat(pieces - 1));
        // The last piece and the end are read apart.
        sleep(20 * MS);
        let _ = to.write_all(&piece);
        sleep(30 * MS);
        let _ = to.write_all(b"0\r\n\r\n");
        true
    });
    let sidecar = start_sidecar_with(
        &member("s-1", endpoint.address, "up"),
        unused_address(),
        &slow_connect_settings(),
    );
    // The answer behind a long one that nobody reads, and whether it came over the same connection.
    let behind = |pieces: usize| {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&sidecar.address.into()).unwrap();
        let mut slow = std::net::TcpStream::from(socket);
        slow.write_all(with_long_deadline(&get_look(&format!("long{pieces}"))).as_bytes())
            .unwrap();
        sleep(150 * MS);
        let answer = sidecar.request(&with_long_deadline(&post_book(&format!("next{pieces}"))));
        let same = answer.body == long_over.load(SeqCst).to_string().as_bytes();
        (answer.status().to_string(), same)
    };
    // How many pieces are taken on the way before the client holds all up.
    let (mut taken, mut held_up) = (2, 1000);
    while held_up - taken > 2 {
        let half = (taken + held_up) / 2;
        *(if behind(half).1 {
            &mut taken
        } else {
            &mut held_up
        }) = half;
    }
    let words: Vec<_> = (taken.max(6) - 4..held_up + 4)
        .map(|pieces| behind(pieces).0)
        .collect();
    assert!(words.iter().all(|word| word == "200"), "{words:?}");
}
