//! Two events that cross, in the bad order each time: the process is stopped and continued so that both lie ready, or
//! a stand-in holds its byte until it has seen the other event. See `docs/crossings.md`.

mod harness;

use harness::*;
use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::sleep;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    /// Shuts down its sending side only.
    HalfClose,
    /// Closes after it has written the request line of a next request.
    CloseAfterNextRequestLine,
}

fn disconnect(mut client: BufReader<TcpStream>, how: Disconnect) -> Option<BufReader<TcpStream>> {
    match how {
        Disconnect::Close => drop(client),
        Disconnect::Reset => {
            let socket = socket2::SockRef::from(client.get_ref());
            socket.set_linger(Some(std::time::Duration::ZERO)).unwrap();
        }
        Disconnect::HalfClose => {
            client.get_ref().shutdown(Shutdown::Write).unwrap();
            return Some(client);
        }
        Disconnect::CloseAfterNextRequestLine => client
            .get_mut()
            .write_all(b"GET /look HTTP/1.1\r\n")
            .unwrap(),
    }
    None
}

fn ids(endpoint: &FakeServer) -> Vec<String> {
    endpoint
        .requests
        .lock()
        .unwrap()
        .iter()
        .filter_map(|request| request.header("req-id"))
        .collect()
}

// The command and the end of its client lie ready in one turn: the command is read first.
#[rstest]
#[case::close(Disconnect::Close)]
#[case::reset(Disconnect::Reset)]
#[case::half_close(Disconnect::HalfClose)]
#[case::close_after_next_request_line(Disconnect::CloseAfterNextRequestLine)]
fn what_a_client_left_behind_while_the_process_stood_still_is_not_sent(#[case] how: Disconnect) {
    let endpoint = ok_endpoint("ok");
    let sidecar = start_sidecar_with(
        &member("s-1", endpoint.address, "up"),
        unused_address(),
        &long_deadline_settings(),
    );
    // One that is let in already, and a connection to the endpoint that is kept.
    for n in 0..5 {
        let mut known = sidecar.connect();
        assert_eq!(
            round_trip(
                &mut known,
                &with_long_deadline(&get_look(&format!("first{n}")))
            )
            .unwrap()
            .status(),
            "200"
        );
        sidecar.signal("STOP");
        let gone: Vec<_> = [known, sidecar.connect(), sidecar.connect()]
            .into_iter()
            .enumerate()
            .map(|(k, mut client)| {
                let id = format!("left{n}-{k}");
                let command = if k == 1 {
                    post_book(&id)
                } else {
                    get_look(&id)
                };
                client
                    .get_mut()
                    .write_all(with_long_deadline(&command).as_bytes())
                    .unwrap();
                disconnect(client, how)
            })
            .collect();
        sidecar.signal("CONT");
        assert_eq!(
            sidecar
                .request(&with_long_deadline(&get_look(&format!("next{n}"))))
                .status(),
            "200"
        );
        drop(gone);
    }
    assert!(
        ids(&endpoint).iter().all(|id| !id.starts_with("left")),
        "{:?}",
        ids(&endpoint)
    );
}

// The same while the process stops, with half of the body read before.
#[rstest]
fn what_a_client_left_behind_during_a_stop_is_not_sent() {
    let endpoint = ok_endpoint("ok");
    let mut sidecar = start_sidecar_with(
        &member("s-1", endpoint.address, "up"),
        unused_address(),
        &long_deadline_settings(),
    );
    let command = with_long_deadline(&post_book("left-half"));
    let (first, rest) = command.split_at(command.len() - 2);
    let mut half = sidecar.connect();
    half.get_mut().write_all(first.as_bytes()).unwrap();
    sleep(50 * MS);
    sidecar.signal("STOP");
    sidecar.signal("TERM");
    half.get_mut().write_all(rest.as_bytes()).unwrap();
    drop(half);
    for n in 0..5 {
        let mut client = sidecar.connect();
        client
            .get_mut()
            .write_all(with_long_deadline(&post_book(&format!("left{n}"))).as_bytes())
            .unwrap();
    }
    let mut stays = sidecar.connect();
    stays
        .get_mut()
        .write_all(with_long_deadline(&post_book("stays")).as_bytes())
        .unwrap();
    sidecar.signal("CONT");
    assert_eq!(Message::read(&mut stays).unwrap().status(), "200");
    assert_eq!(sidecar.child.wait().unwrap().code(), Some(0));
    assert_eq!(ids(&endpoint), ["stays"]);
}

// Commands wait in the module for room at the endpoint, others outside for a place; room and places come in the turn in
// which their clients leave.
#[rstest]
#[case::in_the_module(4)]
#[case::in_the_module_and_outside(40)]
fn what_waited_for_room_is_not_sent_once_its_client_left(#[case] count: usize) {
    let gate = Gate::default();
    let handler_gate = gate.clone();
    let endpoint = fake_server(move |_, to| {
        handler_gate.wait_until_open();
        respond(to, "200 OK", "", b"ok");
        true
    });
    // Room is waited for, for a quarter of the goal.
    let settings = SETTINGS.replace(
        "\"response_goal\":400000000",
        "\"response_goal\":40000000000",
    );
    let settings = settings.replace("\"time_limit\":1000000000", "\"time_limit\":60000000000");
    let sidecar = start_sidecar_with(
        &member("s-1", endpoint.address, "up"),
        unused_address(),
        &settings,
    );
    let send = |n: usize| {
        let mut client = sidecar.connect();
        let command =
            post_book(&n.to_string()).replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 59000");
        client.get_mut().write_all(command.as_bytes()).unwrap();
        client
    };
    let clients: Vec<_> = (0..count).map(send).collect();
    wait_until(|| endpoint.request_count() >= 2);
    sleep(100 * MS);
    sidecar.signal("STOP");
    let out = ids(&endpoint);
    assert!(out.len() < count, "{out:?}");
    let mut stay = Vec::new();
    for (n, client) in clients.into_iter().enumerate() {
        stay.extend(Some(client).filter(|_| out.contains(&n.to_string())));
    }
    gate.open();
    sleep(50 * MS);
    sidecar.signal("CONT");
    assert!(
        stay.iter_mut()
            .all(|client| Message::read(client).unwrap().status() == "200")
    );
    assert_eq!(
        sidecar
            .request(&get_look("next").replace("Ms: 900", "Ms: 59000"))
            .status(),
        "200"
    );
    let seen: Vec<_> = ids(&endpoint)
        .into_iter()
        .filter(|id| id != "next")
        .collect();
    assert_eq!(seen, out);
}

/// An endpoint to which connections come up only once it is told to let them.
struct DelayedListener {
    address: SocketAddr,
    listener: TcpListener,
    filling: Vec<TcpStream>,
}

impl DelayedListener {
    fn new() -> Self {
        let (address, listener, filling) = full_backlog_listener();
        DelayedListener {
            address,
            listener,
            filling,
        }
    }

    /// Lets in what waits; every byte that comes over a connection of the sidecar's within a while.
    fn accept_and_read(self) -> Vec<u8> {
        self.listener.set_nonblocking(false).unwrap();
        // Those that filled it come first, and say nothing.
        for filler in &self.filling {
            let ours = filler.local_addr().unwrap();
            let (_, from) = self.listener.accept().unwrap();
            assert_eq!(from, ours);
        }
        self.listener.set_nonblocking(true).unwrap();
        let (mut came, mut open) = (Vec::new(), Vec::new());
        // The system tries a connection again after one second, two, and four.
        for _ in 0..700 {
            while let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).unwrap();
                open.push(stream);
            }
            for stream in &mut open {
                let mut bytes = [0; 4000];
                while let Ok(n) = stream.read(&mut bytes) {
                    came.extend_from_slice(&bytes[..n]);
                    if n == 0 {
                        break;
                    }
                }
            }
            sleep(5 * MS);
        }
        came
    }
}

/// Settings under which a connection may take two seconds to come up, with no probes.
fn slow_connect_settings() -> String {
    let settings = long_deadline_settings().replace("\"probes\":true", "\"probes\":false");
    settings.replace(
        "\"connect_timeout\":250000000",
        "\"connect_timeout\":32000000000",
    )
}

fn contains_request(came: &[u8], id: &str) -> bool {
    String::from_utf8_lossy(came).contains(&format!("req-id: {id}\r\n"))
}

/// Whether the process has a connection under way to an address.
fn is_connecting(to: SocketAddr) -> bool {
    let SocketAddr::V4(to) = to else {
        unreachable!()
    };
    let [a, b, c, d] = to.ip().octets();
    let at = format!("{:02X}{:02X}{:02X}{:02X}:{:04X} 02", d, c, b, a, to.port());
    std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .contains(&at)
}

// The connection comes up after the client has left, or in the same turn.
#[rstest]
#[case::later(true, false)]
#[case::in_the_same_turn(true, true)]
#[case::no_recalls_later(false, false)]
#[case::no_recalls_in_the_same_turn(false, true)]
fn a_connection_that_comes_up_late_carries_nothing_for_a_client_that_left(
    #[case] may_recall: bool,
    #[case] same_turn: bool,
) {
    let late = DelayedListener::new();
    let settings = slow_connect_settings().replace(
        "\"may_cancel\":true",
        &format!("\"may_cancel\":{may_recall}"),
    );
    let sidecar = start_sidecar_with(
        &member("s-1", late.address, "up"),
        unused_address(),
        &settings,
    );
    let mut client = sidecar.connect();
    client
        .get_mut()
        .write_all(with_long_deadline(&post_book("left")).as_bytes())
        .unwrap();
    wait_until(|| is_connecting(late.address));
    if same_turn {
        sidecar.signal("STOP");
        drop(client);
        let waits = std::thread::spawn(move || late.accept_and_read());
        sleep(2500 * MS);
        sidecar.signal("CONT");
        let came = waits.join().unwrap();
        assert!(
            !contains_request(&came, "left"),
            "{}",
            String::from_utf8_lossy(&came)
        );
    } else {
        drop(client);
        // What it held is free at once: its connection is given up.
        wait_until(|| !is_connecting(late.address));
        let came = late.accept_and_read();
        assert!(
            !contains_request(&came, "left"),
            "{}",
            String::from_utf8_lossy(&came)
        );
    }
}

// What was ordered before the endpoint was told to be out has sent nothing yet: it goes elsewhere.
#[rstest]
#[case::draining(|at| member("s-1", at, "draining"))]
#[case::removed(|at| member("s-1", at, "removed"))]
#[case::left_out(|_| String::new())]
#[case::moved(|_| member("s-1", unused_address(), "draining"))]
#[case::started_anew(|at| member("s-1", at, "up").replace("\"up_since_ms\":0", "\"up_since_ms\":4000000000000"))]
fn a_relay_that_has_sent_nothing_goes_elsewhere_once_its_endpoint_is_out(
    #[case] now: fn(SocketAddr) -> String,
    #[values(false, true)] same_turn: bool,
) {
    let (late, well) = (DelayedListener::new(), ok_endpoint("ok"));
    let known = member("s-1", late.address, "up");
    let discovery = fake_discovery(&known);
    let sidecar = start_sidecar_with(&known, discovery.server.address, &slow_connect_settings());
    wait_until(|| discovery.server.request_count() > 0);
    let mut client = sidecar.connect();
    client
        .get_mut()
        .write_all(with_long_deadline(&post_book("a")).as_bytes())
        .unwrap();
    wait_until(|| is_connecting(late.address));
    let list = [now(late.address), member("s-2", well.address, "up")].join(",");
    if same_turn {
        sidecar.signal("STOP");
        discovery.publish(2, list.trim_start_matches(',').to_string());
        let waits = std::thread::spawn(move || late.accept_and_read());
        sleep(2500 * MS);
        sidecar.signal("CONT");
        assert_eq!(Message::read(&mut client).unwrap().body, b"ok");
        assert!(!contains_request(&waits.join().unwrap(), "a"));
    } else {
        discovery.publish(2, list.trim_start_matches(',').to_string());
        assert_eq!(Message::read(&mut client).unwrap().body, b"ok");
        assert!(!contains_request(&late.accept_and_read(), "a"));
    }
    assert_eq!(well.request_count(), 1);
}

// The same by an operator's word.
#[rstest]
fn a_relay_that_has_sent_nothing_goes_elsewhere_once_its_endpoint_is_out_by_hand() {
    let (late, well, management, address) = (
        DelayedListener::new(),
        ok_endpoint("ok"),
        unused_address(),
        unused_address(),
    );
    let known = member("s-1", late.address, "up");
    let discovery = fake_discovery(&known);
    let text = config_json(
        address,
        discovery.server.address,
        &known,
        &slow_connect_settings(),
    );
    let sidecar = Sidecar::start(
        address,
        &with_management(
            &text.replace("\"sockets\":64", "\"sockets\":256"),
            management,
        ),
    );
    wait_until(|| discovery.server.request_count() > 0);
    let mut client = sidecar.connect();
    client
        .get_mut()
        .write_all(with_long_deadline(&post_book("a")).as_bytes())
        .unwrap();
    wait_until(|| is_connecting(late.address));
    discovery.publish(2, [known, member("s-2", well.address, "up")].join(","));
    wait_until(|| {
        discovery
            .server
            .requests
            .lock()
            .unwrap()
            .iter()
            .any(|request| request.target().contains("from=2&"))
    });
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    assert_eq!(Message::read(&mut client).unwrap().body, b"ok");
    assert!(!contains_request(&late.accept_and_read(), "a"));
}

// ---- the list ----

/// A discovery whose answers a test gives out one by one: `act` has the call's target and its number.
fn asked(act: impl Fn(&str, usize, &mut TcpStream) + Send + Sync + 'static) -> FakeServer {
    let calls = AtomicUsize::new(0);
    fake_server(move |call, to| {
        act(call.target(), calls.fetch_add(1, SeqCst), to);
        true
    })
}

fn changes(revision: u64, members: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":false,"members":[{members}]}}"#)
}

fn whole(revision: u64, members: &str) -> String {
    changes(revision, members).replace("false", "true")
}

fn tells(to: &mut TcpStream, list: &str) {
    respond(to, "200 OK", "", list.as_bytes());
}

fn paced(ask_every_ms: u64) -> String {
    long_deadline_settings().replace(
        "\"ask_every\":400000000",
        &format!("\"ask_every\":{ask_every_ms}000000"),
    )
}

/// Waits until the endpoint that drains is out of use: by chance alone it would have one in two.
fn all_go_to(sidecar: &Sidecar, well: &'static [u8]) {
    wait_until(|| {
        (0..30).all(|_| sidecar.request(&with_long_deadline(&get_look("a"))).body == well)
    });
}

// The module calls again, as it had been refused; meanwhile discovery has moved, and a watch is out there.
#[rstest]
fn a_watch_that_is_out_is_not_dropped_for_a_later_word_of_the_module() {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let both = [("s-1", &first), ("s-2", &second)]
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .join(",");
    let refuses = asked(|_, _, to| respond(to, "503 Busy", "", b""));
    let (known, gone) = (both.clone(), member("s-1", first.address, "draining"));
    let answers = asked(move |target, _, to| match target {
        "/v1/servers" => tells(to, &whole(5, &known)),
        // The module calls again half a second to one and a half after it was refused.
        _ if target.contains("from=5&") => {
            sleep(1800 * MS);
            tells(to, &changes(6, &gone));
        }
        _ => {}
    });
    let address = unused_address();
    let text = |at| config_json(address, at, &both, &paced(8000));
    let sidecar = Sidecar::start(address, &text(refuses.address));
    wait_until(|| refuses.request_count() == 1);
    sidecar.reload(&text(answers.address));
    wait_until(|| answers.request_count() == 3);
    let targets: Vec<_> = answers
        .requests
        .lock()
        .unwrap()
        .iter()
        .map(|request| request.target().to_string())
        .collect();
    assert!(
        targets[1].contains("from=5&") && targets[2].contains("from=6&"),
        "{targets:?}"
    );
    all_go_to(&sidecar, b"second");
}

// SIGHUP while a watch is out whose answer is about to be written: what it says counts as told.
#[rstest]
fn what_the_old_discovery_still_says_is_heard_until_the_new_one_has_answered() {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let both = [("s-1", &first), ("s-2", &second)]
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .join(",");
    let gate = Gate::default();
    let (handler_gate, gone) = (gate.clone(), member("s-1", first.address, "draining"));
    let before = asked(move |_, _, to| {
        handler_gate.wait_until_open();
        tells(to, &changes(2, &gone));
    });
    let after = asked(|_, _, _| {});
    let address = unused_address();
    let text = |at| config_json(address, at, &both, &paced(40_000));
    let sidecar = Sidecar::start(address, &text(before.address));
    wait_until(|| before.request_count() == 1);
    sidecar.reload(&text(after.address));
    wait_until(|| after.request_count() == 1);
    gate.open();
    all_go_to(&sidecar, b"second");
    assert_eq!(after.request_count(), 1);
}

// A watch is over its time when its answer comes; the whole list has been asked for, and nobody answers that.
#[rstest]
#[case::later(false)]
#[case::in_the_same_turn(true)]
fn the_answer_to_a_watch_that_seemed_silent_is_heard(#[case] same_turn: bool) {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let both = [("s-1", &first), ("s-2", &second)]
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .join(",");
    let gate = Gate::default();
    let (handler_gate, gone) = (gate.clone(), member("s-1", first.address, "draining"));
    let discovery = asked(move |target, _, to| {
        if target.contains("from=1&") {
            handler_gate.wait_until_open();
            tells(to, &changes(2, &gone));
        }
    });
    let sidecar = start_sidecar_with(
        &both,
        discovery.address,
        &paced(40_000).replace("on_request", "pushed"),
    );
    wait_until(|| discovery.request_count() == 1);
    if same_turn {
        sidecar.signal("STOP");
        // Longer than the watch may last.
        sleep(3500 * MS);
        gate.open();
        sleep(100 * MS);
        sidecar.signal("CONT");
    } else {
        wait_until(|| discovery.request_count() == 2);
        assert_eq!(
            discovery.requests.lock().unwrap()[1].target(),
            "/v1/servers"
        );
        gate.open();
    }
    all_go_to(&sidecar, b"second");
}

// galway-tills herd+mass: an agent that was silent answers no whole call once it is back, but a watch that is out; the
// sidecar waited for the whole list and then for the module's next call, while what the agent had counted as told.
#[rstest]
fn where_lists_are_pushed_a_silent_agent_is_watched_again_at_once() {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let both = [("s-1", &first), ("s-2", &second)]
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .join(",");
    let gone = member("s-1", first.address, "draining");
    let watches = AtomicUsize::new(0);
    let agent = asked(move |target, _, to| {
        // Back between the first watch and the second.
        if target.contains("from=1&") && watches.fetch_add(1, SeqCst) == 1 {
            tells(to, &changes(2, &gone));
        }
    });
    // The module's next call is a minute away.
    let settings = paced(4_000_000).replace("on_request", "pushed");
    let sidecar = start_sidecar_with(&both, agent.address, &settings);
    all_go_to(&sidecar, b"second");
    wait_until(|| agent.request_count() > 2);
    let targets: Vec<_> = agent
        .requests
        .lock()
        .unwrap()
        .iter()
        .map(|request| request.target().to_string())
        .collect();
    assert_eq!(targets[1], "/v1/servers");
    assert!(
        targets[0].contains("from=1&") && targets[2].contains("from=1&"),
        "{targets:?}"
    );
}

// ---- connections that close ----

// The endpoint closes all that is kept to it while the process stands still; the end of each and the command lie ready.
#[rstest]
fn a_kept_connection_that_closed_in_the_turn_in_which_it_is_chosen_costs_no_command() {
    let closing = std::sync::Arc::new(std::sync::Mutex::new(Vec::<TcpStream>::new()));
    let own = std::sync::Arc::clone(&closing);
    let endpoint = fake_server(move |_, to| {
        own.lock().unwrap().push(to.try_clone().unwrap());
        respond(to, "200 OK", "", b"ok");
        true
    });
    let settings = long_deadline_settings().replace("\"probes\":true", "\"probes\":false");
    let sidecar = start_sidecar_with(
        &member("s-1", endpoint.address, "up"),
        unused_address(),
        &settings,
    );
    for n in 0..10 {
        let mut clients: Vec<_> = (0..3).map(|_| sidecar.connect()).collect();
        // Several are kept, as they are used at the same time.
        for (k, client) in clients.iter_mut().enumerate() {
            client
                .get_mut()
                .write_all(with_long_deadline(&get_look(&format!("{n}-{k}"))).as_bytes())
                .unwrap();
        }
        assert!(
            clients
                .iter_mut()
                .all(|client| Message::read(client).unwrap().status() == "200")
        );
        sidecar.signal("STOP");
        for stream in closing.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        clients[0]
            .get_mut()
            .write_all(with_long_deadline(&post_book(&format!("{n}"))).as_bytes())
            .unwrap();
        sleep(20 * MS);
        sidecar.signal("CONT");
        assert_eq!(
            Message::read(&mut clients[0]).unwrap().status(),
            "200",
            "round {n}"
        );
    }
}

// ---- the stop ----

/// Settings with a limit of twelve seconds.
fn long() -> String {
    long_deadline_settings().replace("\"time_limit\":8000000000", "\"time_limit\":12000000000")
}

// The process may be killed 3.7 s after SIGTERM, however long the limits are.
#[rstest]
#[case::pure(get_look("a"))]
#[case::effectful(post_book("a"))]
fn what_is_open_at_the_end_of_a_stop_is_answered_before_the_kill(#[case] command: String) {
    let hangs = fake_server(|_, _| true);
    let mut sidecar = start_sidecar_with(
        &member("s-1", hangs.address, "up"),
        unused_address(),
        &long(),
    );
    let mut client = sidecar.connect();
    let command = command.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 11900");
    client.get_mut().write_all(command.as_bytes()).unwrap();
    wait_until(|| hangs.request_count() == 1);
    sidecar.signal("TERM");
    // A supervisor's, as the protocol has it; it starts after the signal, so a slow machine has no less.
    sleep(3700 * MS);
    sidecar.signal("KILL");
    let answer = Message::read(&mut client).expect("an answer");
    assert!(
        ["502", "503", "504"].contains(&answer.status()),
        "{}",
        answer.head
    );
    let _ = sidecar.child.wait();
}

// What was written within 0.7 s of SIGTERM lies unread when the connection is due to be closed.
#[rstest]
#[case::at_once(false, 0)]
#[case::never_answered(false, 900)]
#[case::answered_before(true, 900)]
fn what_came_before_the_end_of_a_stop_is_read_though_the_process_stood_still(
    #[case] answered: bool,
    #[case] stands_ms: u32,
) {
    let endpoint = ok_endpoint("ok");
    let mut sidecar = start_sidecar_with(
        &member("s-1", endpoint.address, "up"),
        unused_address(),
        &long_deadline_settings(),
    );
    let mut clients: Vec<_> = (0..10).map(|_| sidecar.connect()).collect();
    for client in clients.iter_mut().filter(|_| answered) {
        assert_eq!(
            round_trip(client, &with_long_deadline(&get_look("first")))
                .unwrap()
                .status(),
            "200"
        );
    }
    // Half a head first: the connections are let in and known to be in use.
    let command = with_long_deadline(&post_book("last"));
    let (first, rest) = command.split_at(20);
    for client in &mut clients {
        client.get_mut().write_all(first.as_bytes()).unwrap();
    }
    sleep(50 * MS);
    sidecar.signal("TERM");
    sleep(50 * MS);
    sidecar.signal("STOP");
    for (n, client) in clients.iter_mut().enumerate() {
        let rest = rest.replace("Req-Id: last", &format!("Req-Id: last{n}"));
        client.get_mut().write_all(rest.as_bytes()).unwrap();
    }
    sleep(stands_ms * MS);
    sidecar.signal("CONT");
    let words: Vec<_> = clients
        .iter_mut()
        .map(|client| {
            Message::read(client).map_or("none".into(), |request| request.status().to_string())
        })
        .collect();
    assert!(words.iter().all(|word| word == "200"), "{words:?}");
    assert_eq!(sidecar.child.wait().unwrap().code(), Some(0));
}

// ---- the window of a receipted command ----

// The first relay may have run; the next one's connection comes up when the endpoints no longer drop a repeat.
#[rstest]
fn past_its_window_a_receipted_command_is_not_sent_again_however_late_its_connection() {
    let gate = Gate::default();
    let handler_gate = gate.clone();
    let breaks = fake_server(move |_, to| {
        handler_gate.wait_until_open();
        to.shutdown(Shutdown::Both).unwrap();
        false
    });
    let late = DelayedListener::new();
    let discovery = fake_discovery(&member("s-1", breaks.address, "up"));
    let settings = slow_connect_settings().replace(
        "\"non_idempotent\"",
        "\"idempotency_key\",\"window\":1500000000",
    );
    let known = member("s-1", breaks.address, "up");
    let sidecar = start_sidecar_with(&known, discovery.server.address, &settings);
    let mut client = sidecar.connect();
    let command = with_long_deadline(&post_book("once"))
        .replace("Req-Owner", "Idempotency-Key: 7\r\nReq-Owner");
    client.get_mut().write_all(command.as_bytes()).unwrap();
    wait_until(|| breaks.request_count() == 1);
    let list = format!(
        "{},{}",
        member("s-1", breaks.address, "draining"),
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
    sleep(1500 * MS);
    let came = late.accept_and_read();
    assert!(
        !contains_request(&came, "once"),
        "{}",
        String::from_utf8_lossy(&came)
    );
    assert!(["502", "503"].contains(&Message::read(&mut client).unwrap().status()));
}
