//! Races between two events, always in the unfavourable order: the process is paused (SIGSTOP) and
//! continued so that it finds both at once, or a fake server delays its response until it has seen
//! the other event. See `docs/crossings.md`.

mod harness;

use harness::*;
use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::sleep;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    /// Shuts down its sending side only.
    HalfClose,
    /// Closes after it has written the request line of a next request.
    CloseAfterNextRequestLine,
}

/// Disconnects a client, and returns once the sidecar's system has the end. A half-closed
/// connection is returned, as it stays open until it is dropped.
fn disconnect(client: BufReader<TcpStream>, kind: Disconnect) -> Option<BufReader<TcpStream>> {
    let sender = client.get_ref().local_addr().unwrap();
    let receiver = client.get_ref().peer_addr().unwrap();
    let half_closed = end_connection(client, kind);
    wait_until_end_received(sender, receiver);
    half_closed
}

fn end_connection(
    mut client: BufReader<TcpStream>,
    kind: Disconnect,
) -> Option<BufReader<TcpStream>> {
    match kind {
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

fn request_ids(endpoint: &FakeServer) -> Vec<String> {
    endpoint
        .requests
        .lock()
        .unwrap()
        .iter()
        .filter_map(|request| request.header("req-id"))
        .collect()
}

// The process finds a command and the disconnect of its client at once, and reads the command
// first.
#[rstest]
#[case::close(Disconnect::Close)]
#[case::reset(Disconnect::Reset)]
#[case::half_close(Disconnect::HalfClose)]
#[case::close_after_next_request_line(Disconnect::CloseAfterNextRequestLine)]
fn command_of_a_client_that_disconnected_during_a_process_pause_is_not_sent(
    #[case] kind: Disconnect,
) {
    let endpoint = ok_endpoint("ok");
    let sidecar = start_sidecar_with(
        &member("s-1", endpoint.address, "up"),
        unused_address(),
        &long_deadline_settings(),
    );
    // One client connection is accepted before the pause, and one connection to the endpoint is
    // idle.
    for n in 0..5 {
        let mut accepted = sidecar.connect();
        assert_eq!(
            round_trip(
                &mut accepted,
                &with_long_deadline(&get_look(&format!("first{n}")))
            )
            .unwrap()
            .status(),
            "200"
        );
        sidecar.signal("STOP");
        let disconnected: Vec<_> = [accepted, sidecar.connect(), sidecar.connect()]
            .into_iter()
            .enumerate()
            .map(|(index, mut client)| {
                let id = format!("left{n}-{index}");
                let command = if index == 1 {
                    post_book(&id)
                } else {
                    get_look(&id)
                };
                client
                    .get_mut()
                    .write_all(with_long_deadline(&command).as_bytes())
                    .unwrap();
                disconnect(client, kind)
            })
            .collect();
        sidecar.signal("CONT");
        assert_eq!(
            sidecar
                .request(&with_long_deadline(&get_look(&format!("next{n}"))))
                .status(),
            "200"
        );
        drop(disconnected);
    }
    assert!(
        request_ids(&endpoint)
            .iter()
            .all(|id| !id.starts_with("left")),
        "{:?}",
        request_ids(&endpoint)
    );
}

// The same during shutdown, for clients in the backlog and for one of whose body half was read
// before.
#[rstest]
fn command_of_a_client_that_disconnected_during_shutdown_is_not_sent() {
    let endpoint = ok_endpoint("ok");
    let mut sidecar = start_sidecar_with(
        &member("s-1", endpoint.address, "up"),
        unused_address(),
        &long_deadline_settings(),
    );
    let command = with_long_deadline(&post_book("left-half"));
    let (first, rest) = command.split_at(command.len() - 2);
    let mut half_read = sidecar.connect();
    half_read.get_mut().write_all(first.as_bytes()).unwrap();
    sleep(50 * MS);
    sidecar.signal("STOP");
    sidecar.signal("TERM");
    half_read.get_mut().write_all(rest.as_bytes()).unwrap();
    drop(half_read);
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
    assert_eq!(request_ids(&endpoint), ["stays"]);
}

// Commands wait in the balancer for capacity at the endpoint, others in the backlog for a client
// place. Both become free at the moment at which the clients disconnect.
#[rstest]
#[case::in_the_balancer(4)]
#[case::in_the_balancer_and_the_backlog(40)]
fn queued_command_is_not_sent_after_its_client_disconnected(#[case] count: usize) {
    let gate = Gate::default();
    let endpoint = gated_endpoint(&gate, "ok");
    // A command may queue for a quarter of the deadline target.
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
    let sent = request_ids(&endpoint);
    assert!(sent.len() < count, "{sent:?}");
    let mut stay = Vec::new();
    for (n, client) in clients.into_iter().enumerate() {
        stay.extend(Some(client).filter(|_| sent.contains(&n.to_string())));
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
    let received: Vec<_> = request_ids(&endpoint)
        .into_iter()
        .filter(|id| id != "next")
        .collect();
    assert_eq!(received, sent);
}

/// A listener whose backlog is full, so that connects hang until `accept_and_read` accepts them.
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

    /// Accepts all connections for several seconds; returns the bytes received over those of the
    /// sidecar.
    fn accept_and_read(self) -> Vec<u8> {
        self.listener.set_nonblocking(false).unwrap();
        // The connections that filled the backlog come first; nothing is sent over them.
        for filler in &self.filling {
            let expected = filler.local_addr().unwrap();
            let (_, peer) = self.listener.accept().unwrap();
            assert_eq!(peer, expected);
        }
        self.listener.set_nonblocking(true).unwrap();
        let (mut received, mut open) = (Vec::new(), Vec::new());
        // The kernel retries a SYN after one, two and four seconds.
        for _ in 0..700 {
            while let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).unwrap();
                open.push(stream);
            }
            for stream in &mut open {
                let mut bytes = [0; 4000];
                while let Ok(n) = stream.read(&mut bytes) {
                    received.extend_from_slice(&bytes[..n]);
                    if n == 0 {
                        break;
                    }
                }
            }
            sleep(5 * MS);
        }
        received
    }
}

/// `long_deadline_settings` without probes, under which a connect may take two seconds.
fn slow_connect_settings() -> String {
    let settings = long_deadline_settings().replace("\"probes\":true", "\"probes\":false");
    settings.replace(
        "\"connect_timeout\":250000000",
        "\"connect_timeout\":32000000000",
    )
}

/// Whether the bytes contain a request with this id.
fn contains_request(received: &[u8], id: &str) -> bool {
    String::from_utf8_lossy(received).contains(&format!("req-id: {id}\r\n"))
}

/// Whether a socket of this machine is connecting to the address (state SYN_SENT in
/// `/proc/net/tcp`).
fn is_connecting(to: SocketAddr) -> bool {
    let SocketAddr::V4(to) = to else {
        unreachable!()
    };
    let [a, b, c, d] = to.ip().octets();
    let syn_sent = format!("{:02X}{:02X}{:02X}{:02X}:{:04X} 02", d, c, b, a, to.port());
    std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .contains(&syn_sent)
}

// The connect completes after the client has disconnected, or the process finds both at once.
#[rstest]
#[case::later(true, false)]
#[case::at_once(true, true)]
#[case::no_cancellation_later(false, false)]
#[case::no_cancellation_at_once(false, true)]
fn late_connection_carries_no_command_of_a_disconnected_client(
    #[case] may_cancel: bool,
    #[case] at_once: bool,
) {
    let delayed = DelayedListener::new();
    let settings = slow_connect_settings().replace(
        "\"may_cancel\":true",
        &format!("\"may_cancel\":{may_cancel}"),
    );
    let sidecar = start_sidecar_with(
        &member("s-1", delayed.address, "up"),
        unused_address(),
        &settings,
    );
    let mut client = sidecar.connect();
    client
        .get_mut()
        .write_all(with_long_deadline(&post_book("left")).as_bytes())
        .unwrap();
    wait_until(|| is_connecting(delayed.address));
    if at_once {
        sidecar.signal("STOP");
        drop(client);
        let accepting = std::thread::spawn(move || delayed.accept_and_read());
        sleep(2500 * MS);
        sidecar.signal("CONT");
        let received = accepting.join().unwrap();
        assert!(
            !contains_request(&received, "left"),
            "{}",
            String::from_utf8_lossy(&received)
        );
    } else {
        drop(client);
        // The disconnect releases its resources at once: the connect is abandoned.
        wait_until(|| !is_connecting(delayed.address));
        let received = delayed.accept_and_read();
        assert!(
            !contains_request(&received, "left"),
            "{}",
            String::from_utf8_lossy(&received)
        );
    }
}

// The relay began before discovery withdrew its endpoint, and its connect still hangs: nothing was
// sent, so it may go elsewhere.
#[rstest]
#[case::draining(|address| member("s-1", address, "draining"))]
#[case::removed(|address| member("s-1", address, "removed"))]
#[case::missing_from_the_list(|_| String::new())]
#[case::moved(|_| member("s-1", unused_address(), "draining"))]
#[case::restarted(|address| member("s-1", address, "up").replace("\"up_since_ms\":0", "\"up_since_ms\":4000000000000"))]
fn unsent_relay_goes_elsewhere_when_discovery_withdraws_its_endpoint(
    #[case] new_member: fn(SocketAddr) -> String,
    #[values(false, true)] at_once: bool,
) {
    let (delayed, healthy) = (DelayedListener::new(), ok_endpoint("ok"));
    let known = member("s-1", delayed.address, "up");
    let discovery = fake_discovery(&known);
    let sidecar = start_sidecar_with(&known, discovery.server.address, &slow_connect_settings());
    wait_until(|| discovery.server.request_count() > 0);
    let mut client = sidecar.connect();
    client
        .get_mut()
        .write_all(with_long_deadline(&post_book("a")).as_bytes())
        .unwrap();
    wait_until(|| is_connecting(delayed.address));
    let members = [
        new_member(delayed.address),
        member("s-2", healthy.address, "up"),
    ]
    .join(",");
    if at_once {
        sidecar.signal("STOP");
        discovery.publish(2, members.trim_start_matches(',').to_string());
        let accepting = std::thread::spawn(move || delayed.accept_and_read());
        sleep(2500 * MS);
        sidecar.signal("CONT");
        assert_eq!(Message::read(&mut client).unwrap().body, b"ok");
        assert!(!contains_request(&accepting.join().unwrap(), "a"));
    } else {
        discovery.publish(2, members.trim_start_matches(',').to_string());
        assert_eq!(Message::read(&mut client).unwrap().body, b"ok");
        assert!(!contains_request(&delayed.accept_and_read(), "a"));
    }
    assert_eq!(healthy.request_count(), 1);
}

// The same when an operator cordons the endpoint.
#[rstest]
fn unsent_relay_goes_elsewhere_when_its_endpoint_is_cordoned() {
    let (delayed, healthy, management, address) = (
        DelayedListener::new(),
        ok_endpoint("ok"),
        unused_address(),
        unused_address(),
    );
    let known = member("s-1", delayed.address, "up");
    let discovery = fake_discovery(&known);
    let config = config_json(
        address,
        discovery.server.address,
        &known,
        &slow_connect_settings(),
    );
    let sidecar = Sidecar::start(
        address,
        &with_management(
            &config.replace("\"sockets\":64", "\"sockets\":256"),
            management,
        ),
    );
    wait_until(|| discovery.server.request_count() > 0);
    let mut client = sidecar.connect();
    client
        .get_mut()
        .write_all(with_long_deadline(&post_book("a")).as_bytes())
        .unwrap();
    wait_until(|| is_connecting(delayed.address));
    discovery.publish(2, [known, member("s-2", healthy.address, "up")].join(","));
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
    assert!(!contains_request(&delayed.accept_and_read(), "a"));
}

// ---- endpoint lists ----

/// A fake discovery server whose handler gets the target of each request and how many came before
/// it.
fn scripted_discovery(
    handler: impl Fn(&str, usize, &mut TcpStream) + Send + Sync + 'static,
) -> FakeServer {
    let calls = AtomicUsize::new(0);
    fake_server(move |request, to| {
        handler(request.target(), calls.fetch_add(1, SeqCst), to);
        true
    })
}

fn delta_list(revision: u64, members: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":false,"members":[{members}]}}"#)
}

fn full_list(revision: u64, members: &str) -> String {
    delta_list(revision, members).replace("false", "true")
}

fn respond_list(to: &mut TcpStream, list: &str) {
    respond(to, "200 OK", "", list.as_bytes());
}

fn settings_polling_every(ask_every_ms: u64) -> String {
    long_deadline_settings().replace(
        "\"ask_every\":400000000",
        &format!("\"ask_every\":{ask_every_ms}000000"),
    )
}

/// Waits until no command goes to the draining endpoint; as long as it is in use, it gets about
/// every other command.
fn wait_until_all_go_to(sidecar: &Sidecar, healthy: &'static [u8]) {
    wait_until(|| {
        (0..30).all(|_| sidecar.request(&with_long_deadline(&get_look("a"))).body == healthy)
    });
}

// The balancer asks to poll again because the old discovery server had refused; meanwhile a long
// poll is open at the new one.
#[rstest]
fn open_long_poll_is_kept_when_the_balancer_asks_to_poll_again() {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let members = [("s-1", &first), ("s-2", &second)]
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .join(",");
    let refusing = scripted_discovery(|_, _, to| respond(to, "503 Busy", "", b""));
    let (known, draining) = (members.clone(), member("s-1", first.address, "draining"));
    let answering = scripted_discovery(move |target, _, to| match target {
        "/v1/servers" => respond_list(to, &full_list(5, &known)),
        // The balancer polls again 0.5 to 1.5 s after a refusal.
        _ if target.contains("from=5&") => {
            sleep(1800 * MS);
            respond_list(to, &delta_list(6, &draining));
        }
        _ => {}
    });
    let address = unused_address();
    let config =
        |discovery| config_json(address, discovery, &members, &settings_polling_every(8000));
    let sidecar = Sidecar::start(address, &config(refusing.address));
    wait_until(|| refusing.request_count() == 1);
    sidecar.reload(&config(answering.address));
    wait_until(|| answering.request_count() == 3);
    let targets: Vec<_> = answering
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
    wait_until_all_go_to(&sidecar, b"second");
}

// SIGHUP changes the discovery address while the old server is about to answer a long poll. The
// server counts that answer as delivered, so its change has to be applied.
#[rstest]
fn response_of_the_old_discovery_counts_until_the_new_one_has_answered() {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let members = [("s-1", &first), ("s-2", &second)]
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .join(",");
    let gate = Gate::default();
    let (handler_gate, draining) = (gate.clone(), member("s-1", first.address, "draining"));
    let old_discovery = scripted_discovery(move |_, _, to| {
        handler_gate.wait_until_open();
        respond_list(to, &delta_list(2, &draining));
    });
    let new_discovery = scripted_discovery(|_, _, _| {});
    let address = unused_address();
    let config = |discovery| {
        config_json(
            address,
            discovery,
            &members,
            &settings_polling_every(40_000),
        )
    };
    let sidecar = Sidecar::start(address, &config(old_discovery.address));
    wait_until(|| old_discovery.request_count() == 1);
    sidecar.reload(&config(new_discovery.address));
    wait_until(|| new_discovery.request_count() == 1);
    gate.open();
    wait_until_all_go_to(&sidecar, b"second");
    assert_eq!(new_discovery.request_count(), 1);
}

// The answer to a long poll comes after its timeout. The full list has been requested by then, and
// that request is never answered.
#[rstest]
#[case::later(false)]
#[case::at_once(true)]
fn late_response_to_a_timed_out_long_poll_is_applied(#[case] at_once: bool) {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let members = [("s-1", &first), ("s-2", &second)]
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .join(",");
    let gate = Gate::default();
    let (handler_gate, draining) = (gate.clone(), member("s-1", first.address, "draining"));
    let discovery = scripted_discovery(move |target, _, to| {
        if target.contains("from=1&") {
            handler_gate.wait_until_open();
            respond_list(to, &delta_list(2, &draining));
        }
    });
    let sidecar = start_sidecar_with(
        &members,
        discovery.address,
        &settings_polling_every(40_000).replace("on_request", "pushed"),
    );
    wait_until(|| discovery.request_count() == 1);
    if at_once {
        sidecar.signal("STOP");
        // Longer than the timeout of the long poll.
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
    wait_until_all_go_to(&sidecar, b"second");
}

// Prevents a missed change: an agent that was silent answers an open long poll once it is back, but
// not a request for the full list. The sidecar used to wait for the full list and then for the next
// poll of the balancer, while the agent counted its change as delivered.
#[rstest]
fn with_pushed_lists_a_silent_agent_is_polled_again_at_once() {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let members = [("s-1", &first), ("s-2", &second)]
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .join(",");
    let draining = member("s-1", first.address, "draining");
    let polls = AtomicUsize::new(0);
    let agent = scripted_discovery(move |target, _, to| {
        // The agent is back between the first long poll and the second.
        if target.contains("from=1&") && polls.fetch_add(1, SeqCst) == 1 {
            respond_list(to, &delta_list(2, &draining));
        }
    });
    // The next poll of the balancer is more than a minute away.
    let settings = settings_polling_every(4_000_000).replace("on_request", "pushed");
    let sidecar = start_sidecar_with(&members, agent.address, &settings);
    wait_until_all_go_to(&sidecar, b"second");
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

// The endpoint closes all idle connections while the process is paused: the process finds the
// closes and a new command at once.
#[rstest]
fn idle_connection_that_closes_while_it_is_chosen_fails_no_command() {
    let closing = std::sync::Arc::new(std::sync::Mutex::new(Vec::<TcpStream>::new()));
    let recorded = std::sync::Arc::clone(&closing);
    let endpoint = fake_server(move |_, to| {
        recorded.lock().unwrap().push(to.try_clone().unwrap());
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
        // Concurrent commands, so that several connections to the endpoint are left idle.
        for (index, client) in clients.iter_mut().enumerate() {
            client
                .get_mut()
                .write_all(with_long_deadline(&get_look(&format!("{n}-{index}"))).as_bytes())
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

// ---- shutdown ----

/// Settings with a time limit of 12 s.
fn settings_with_12_s_limit() -> String {
    long_deadline_settings().replace("\"time_limit\":8000000000", "\"time_limit\":12000000000")
}

// The process may be killed 3.7 s after SIGTERM, however long the limits are.
#[rstest]
#[case::safe(get_look("a"))]
#[case::non_idempotent(post_book("a"))]
fn commands_open_at_the_end_of_shutdown_are_answered_before_the_kill(#[case] command: String) {
    let silent = fake_server(|_, _| true);
    let mut sidecar = start_sidecar_with(
        &member("s-1", silent.address, "up"),
        unused_address(),
        &settings_with_12_s_limit(),
    );
    let mut client = sidecar.connect();
    let command = command.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 11900");
    client.get_mut().write_all(command.as_bytes()).unwrap();
    wait_until(|| silent.request_count() == 1);
    sidecar.signal("TERM");
    // The supervisor kills this long after SIGTERM. The wait starts after the signal is sent, so a
    // busy machine only makes it longer.
    sleep(3700 * MS);
    sidecar.signal("KILL");
    let response = Message::read(&mut client).expect("a response");
    assert!(
        ["502", "503", "504"].contains(&response.status()),
        "{}",
        response.head
    );
    let _ = sidecar.child.wait();
}

// Prevents lost commands: what was written within 0.7 s of SIGTERM may still be unread when its
// connection is due to be closed.
#[rstest]
#[case::at_once(false, 0)]
#[case::never_answered(false, 900)]
#[case::answered_before(true, 900)]
fn commands_received_during_shutdown_are_read_despite_a_process_pause(
    #[case] answered: bool,
    #[case] pause_ms: u32,
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
    // Send part of the head first, so that the connections are accepted and known to be in use.
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
    sleep(pause_ms * MS);
    sidecar.signal("CONT");
    let statuses: Vec<_> = clients
        .iter_mut()
        .map(|client| {
            Message::read(client).map_or("none".into(), |request| request.status().to_string())
        })
        .collect();
    assert!(
        statuses.iter().all(|status| status == "200"),
        "{statuses:?}"
    );
    assert_eq!(sidecar.child.wait().unwrap().code(), Some(0));
}

// ---- the deduplication window of a keyed command ----

// The first relay may have run; the connect of the second completes when the endpoints no longer
// recognise a repeat.
#[rstest]
fn keyed_command_is_not_sent_again_after_its_deduplication_window() {
    let gate = Gate::default();
    let handler_gate = gate.clone();
    let failing = fake_server(move |_, to| {
        handler_gate.wait_until_open();
        to.shutdown(Shutdown::Both).unwrap();
        false
    });
    let delayed = DelayedListener::new();
    let discovery = fake_discovery(&member("s-1", failing.address, "up"));
    let settings = slow_connect_settings().replace(
        "\"non_idempotent\"",
        "\"idempotency_key\",\"window\":1500000000",
    );
    let known = member("s-1", failing.address, "up");
    let sidecar = start_sidecar_with(&known, discovery.server.address, &settings);
    let mut client = sidecar.connect();
    let command = with_long_deadline(&post_book("once"))
        .replace("Req-Owner", "Idempotency-Key: 7\r\nReq-Owner");
    client.get_mut().write_all(command.as_bytes()).unwrap();
    wait_until(|| failing.request_count() == 1);
    let members = format!(
        "{},{}",
        member("s-1", failing.address, "draining"),
        member("s-2", delayed.address, "up")
    );
    discovery.publish(2, members);
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
    sleep(1500 * MS);
    let received = delayed.accept_and_read();
    assert!(
        !contains_request(&received, "once"),
        "{}",
        String::from_utf8_lossy(&received)
    );
    assert!(["502", "503"].contains(&Message::read(&mut client).unwrap().status()));
}
