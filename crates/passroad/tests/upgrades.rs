//! Handover from an old sidecar process to a new one, on loopback sockets.

mod harness;

use harness::*;
use rstest::rstest;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::spawn;
use std::time::Instant;

/// Two endpoints, a fake discovery server, and what the processes of a handover share.
struct Deployment {
    endpoints: [FakeServer; 2],
    _discovery: FakeDiscovery,
    address: SocketAddr,
    config: String,
    shared: SharedDirectory,
}

impl Deployment {
    fn new() -> Deployment {
        let endpoints = [ok_endpoint("a"), ok_endpoint("b")];
        let list = format!(
            "{},{}",
            member("s-1", endpoints[0].address, "up"),
            member("s-2", endpoints[1].address, "up")
        );
        let (address, discovery) = (unused_address(), fake_discovery(&list));
        let config = config_json(
            address,
            discovery.server.address,
            &list,
            &long_deadline_settings(),
        )
        .replace("\"sockets\":64", "\"sockets\":256");
        Deployment {
            endpoints,
            _discovery: discovery,
            address,
            config,
            shared: shared_directory(),
        }
    }

    fn start(&self) -> (Sidecar, SocketAddr) {
        let management = unused_address();
        (
            Sidecar::start_with_shared_directory(
                self.address,
                management,
                &self.config,
                &self.shared.0,
            ),
            management,
        )
    }

    fn handover_socket(&self) -> PathBuf {
        self.shared.0.join(format!(
            "passroad-{}.sock",
            self.address.to_string().replace(':', "-")
        ))
    }

    /// Sends 20 commands; how many of them the first endpoint gets.
    fn commands_at_first(&self, sidecar: &Sidecar, id_prefix: &str) -> usize {
        let before = self.endpoints[0].request_count();
        for n in 0..20 {
            assert_eq!(
                sidecar
                    .request(&with_long_deadline(&get_look(&format!("{id_prefix}{n}"))))
                    .status(),
                "200"
            );
        }
        self.endpoints[0].request_count() - before
    }
}

// Clients keep sending commands, each over a new connection, during two handovers.
#[rstest]
fn no_client_is_refused_during_a_handover() {
    let deployment = Deployment::new();
    let (mut old, _) = deployment.start();
    let (stop, address) = (Arc::new(AtomicBool::new(false)), deployment.address);
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let stop = Arc::clone(&stop);
            spawn(move || {
                let mut n = 0;
                while !stop.load(SeqCst) {
                    n += 1;
                    let mut to = BufReader::new(std::net::TcpStream::connect(address).unwrap());
                    let response = round_trip(
                        &mut to,
                        &with_long_deadline(&post_book(&format!("{client}-{n}"))),
                    );
                    assert_eq!(response.expect("a response").status(), "200");
                }
                n
            })
        })
        .collect();
    for _ in 0..2 {
        let (new, _) = deployment.start();
        old.signal("TERM");
        wait_until(|| {
            old.child
                .try_wait()
                .unwrap()
                .is_some_and(|how| how.success())
        });
        old = new;
    }
    stop.store(true, SeqCst);
    let answered: usize = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    assert!(answered > 20, "{answered}");
}

#[rstest]
fn cordon_survives_a_handover() {
    let deployment = Deployment::new();
    let (mut old, management) = deployment.start();
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    let (new, management) = deployment.start();
    old.signal("TERM");
    wait_until(|| old.child.try_wait().unwrap().is_some());
    assert_eq!(deployment.commands_at_first(&new, "n"), 0);
    assert_eq!(post_cordon(management, "uncordon", "s-1"), "200");
    wait_until(|| deployment.commands_at_first(&new, "m") > 0);
}

// While both processes serve, a cordon set at either applies to both by the time it is confirmed.
#[rstest]
fn cordons_apply_to_both_processes_of_a_handover() {
    let deployment = Deployment::new();
    let (old, old_management) = deployment.start();
    let mut old_client = old.connect();
    let mut request_old =
        |id: &str| round_trip(&mut old_client, &with_long_deadline(&get_look(id)));
    assert!(request_old("k1").is_some());
    let (new, new_management) = deployment.start();
    assert_eq!(post_cordon(new_management, "cordon", "s-1"), "200");
    let before = deployment.endpoints[0].request_count();
    // The connections of the old process close with their next response.
    assert!(
        request_old("k2")
            .is_some_and(|response| response.header("connection").as_deref() == Some("close"))
    );
    assert_eq!(deployment.endpoints[0].request_count(), before);
    assert_eq!(post_cordon(old_management, "cordon", "s-2"), "200");
    assert_eq!(
        new.request(&with_long_deadline(&get_look("n1"))).status(),
        "503"
    );
    assert_eq!(
        (
            post_cordon(old_management, "uncordon", "s-1"),
            post_cordon(new_management, "uncordon", "s-2")
        ),
        ("200".into(), "200".into())
    );
    assert_eq!(
        new.request(&with_long_deadline(&get_look("n2"))).status(),
        "200"
    );
    drop(old);
}

#[rstest]
fn old_process_continues_if_the_new_one_is_killed() {
    let deployment = Deployment::new();
    let (old, _) = deployment.start();
    let (new, _) = deployment.start();
    drop(new);
    // Commands at the killed process are lost. Once it is gone, clients are served again.
    wait_until(|| {
        let mut client = old.connect();
        let _ = client.get_mut().set_read_timeout(Some(500 * MS));
        round_trip(&mut client, &with_long_deadline(&get_look("o")))
            .is_some_and(|response| response.status() == "200")
    });
    // It listens on the handover socket again: the next process takes over from it.
    let (next, _) = deployment.start();
    old.signal("TERM");
    assert_eq!(
        next.request(&with_long_deadline(&get_look("p"))).status(),
        "200"
    );
}

// The successor asks for the handover and goes silent, or sends nothing or something malformed.
#[rstest]
#[case::asks_and_hangs(&b"{\"ask\":1}\n"[..])]
#[case::sends_nothing(&b""[..])]
#[case::malformed(&b"GET / HTTP/1.1\r\n\r\n"[..])]
#[case::asks_and_sends_malformed_line(&b"{\"ask\":1}\nready?\n"[..])]
fn broken_successor_changes_nothing(#[case] request: &[u8]) {
    let deployment = Deployment::new();
    let (old, management) = deployment.start();
    let mut held = Vec::new();
    for _ in 0..3 {
        let mut successor =
            std::os::unix::net::UnixStream::connect(deployment.handover_socket()).unwrap();
        successor.write_all(request).unwrap();
        held.push(successor);
    }
    let start = Instant::now();
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    assert!(start.elapsed() < 1000 * MS, "{:?}", start.elapsed());
    assert_eq!(deployment.commands_at_first(&old, "o"), 0);
    let (new, _) = deployment.start();
    old.signal("TERM");
    assert_eq!(deployment.commands_at_first(&new, "n"), 0);
}

#[rstest]
#[case::stale(None)]
#[case::malformed(Some(&b"HTTP/1.1 200 OK\r\n\r\n"[..]))]
#[case::silent(Some(&b""[..]))]
fn without_a_predecessor_that_answers_it_starts_from_nothing(
    #[case] response: Option<&'static [u8]>,
) {
    let deployment = Deployment::new();
    let listener = UnixListener::bind(deployment.handover_socket()).unwrap();
    match response {
        None => drop(listener),
        Some(response) => drop(spawn(move || {
            let mut held = Vec::new();
            for stream in listener.incoming().flatten() {
                let mut stream = BufReader::new(stream);
                let _ = stream.read_line(&mut String::new());
                let _ = stream.get_mut().write_all(response);
                held.push(stream);
            }
        })),
    }
    let (sidecar, management) = deployment.start();
    assert_eq!(
        sidecar
            .request(&with_long_deadline(&get_look("a")))
            .status(),
        "200"
    );
    assert_eq!(
        management_request(management, "GET", "/admin/health", ""),
        "200"
    );
}

// Prevents two commands with one id at an endpoint, which would take the second for a repeat of the
// first.
#[rstest]
fn id_open_in_one_process_is_rejected_by_the_other() {
    let gate = Gate::default();
    let endpoint = gated_endpoint(&gate, "ok");
    let (address, shared) = (unused_address(), shared_directory());
    let config = config_json(
        address,
        unused_address(),
        &member("s-1", endpoint.address, "up"),
        &long_deadline_settings(),
    );
    let config = config.replace("\"sockets\":64", "\"sockets\":256");
    let old = Sidecar::start_with_shared_directory(address, unused_address(), &config, &shared.0);
    let mut first = old.connect();
    first
        .get_mut()
        .write_all(with_long_deadline(&post_book("a")).as_bytes())
        .unwrap();
    wait_until(|| endpoint.request_count() == 1);
    let new = Sidecar::start_with_shared_directory(address, unused_address(), &config, &shared.0);
    wait_until(|| new.request(&with_long_deadline(&post_book("a"))).status() == "409");
    assert_eq!(endpoint.request_count(), 1);
    gate.open();
    assert_eq!(Message::read(&mut first).unwrap().status(), "200");
    wait_until(|| new.request(&with_long_deadline(&post_book("a"))).status() == "200");
}

// Two processes together hold no more descriptors than one may.
#[rstest]
fn descriptors_of_both_processes_stay_within_the_limit() {
    let deployment = Deployment::new();
    let (old, _) = deployment.start();
    let connect_200 = || {
        (0..200)
            .filter_map(|_| std::net::TcpStream::connect(deployment.address).ok())
            .collect::<Vec<_>>()
    };
    let first = connect_200();
    wait_until(|| old.open_descriptors() > 70);
    let (new, _) = deployment.start();
    let second = connect_200();
    wait_until(|| new.open_descriptors() > 30);
    assert!(
        old.open_descriptors() + new.open_descriptors() <= 256,
        "{} and {}",
        old.open_descriptors(),
        new.open_descriptors()
    );
    drop((first, second));
}

/// A proxy on the handover socket: forwards the request of the new process and the state and
/// listener of the old one, and then withholds all further lines of the old one.
fn withhold_lines(
    socket_path: &std::path::Path,
) -> std::thread::JoinHandle<std::os::unix::net::UnixStream> {
    use rustix::net::*;
    use std::io::{IoSlice, IoSliceMut, Read};
    use std::os::fd::AsFd;
    let old_socket = socket_path.with_extension("old");
    std::fs::rename(socket_path, &old_socket).unwrap();
    let listener = UnixListener::bind(socket_path).unwrap();
    spawn(move || {
        let (mut new, _) = listener.accept().unwrap();
        let mut old = std::os::unix::net::UnixStream::connect(old_socket).unwrap();
        let mut line = Vec::new();
        while line.last() != Some(&b'\n') {
            let mut byte = [0];
            new.read_exact(&mut byte).unwrap();
            line.extend(byte);
        }
        old.write_all(&line).unwrap();
        let (mut size, mut space) = (
            [0; 4],
            [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))],
        );
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        recvmsg(
            &old,
            &mut [IoSliceMut::new(&mut size)],
            &mut ancillary,
            RecvFlags::empty(),
        )
        .unwrap();
        let sockets: Vec<_> = ancillary
            .drain()
            .filter_map(|message| {
                if let RecvAncillaryMessage::ScmRights(sockets) = message {
                    Some(sockets)
                } else {
                    None
                }
            })
            .flatten()
            .collect();
        let mut state = vec![0; u32::from_be_bytes(size) as usize];
        old.read_exact(&mut state).unwrap();
        let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let sockets = [sockets[0].as_fd()];
        assert!(ancillary.push(SendAncillaryMessage::ScmRights(&sockets)));
        sendmsg(
            &new,
            &[IoSlice::new(&size)],
            &mut ancillary,
            SendFlags::empty(),
        )
        .unwrap();
        new.write_all(&state).unwrap();
        // Both connections stay open, and nothing more is forwarded.
        std::mem::forget(old);
        new
    })
}

// Guards against a command that runs twice: its client left the old process, which ended, and sent it once more to the new one.
#[rstest]
fn id_left_by_the_old_process_is_rejected_by_the_new_one_while_it_may_run() {
    let gate = Gate::default();
    let endpoint = gated_endpoint(&gate, "ok");
    let (address, management, shared) = (unused_address(), unused_address(), shared_directory());
    let known = member("s-1", endpoint.address, "up");
    let config = config_json(address, unused_address(), &known, &long_deadline_settings());
    let config = config.replace("\"sockets\":64", "\"sockets\":256");
    let mut old =
        Sidecar::start_with_shared_directory(address, unused_address(), &config, &shared.0);
    let command = with_long_deadline(&post_book("a"));
    let mut client = old.connect();
    client.get_mut().write_all(command.as_bytes()).unwrap();
    wait_until(|| endpoint.request_count() == 1);
    let sent = Instant::now();
    let new = Sidecar::start_with_shared_directory(address, management, &config, &shared.0);
    wait_until(|| management_request(management, "GET", "/admin/health", "") == "200");
    drop(client);
    old.signal("TERM");
    old.child.wait().unwrap();
    assert_eq!(new.request(&command).status(), "409");
    assert_eq!(endpoint.request_count(), 1);
    gate.open();
    wait_until(|| new.request(&command).status() == "200");
    // The command had 7.9 s from its client.
    assert!(sent.elapsed() >= 7900 * MS, "{:?}", sent.elapsed());
}

// The command is open in the old process, and the new one accepts clients before it has read a line
// from the old one.
#[rstest]
fn open_ids_are_known_before_the_first_line_of_the_old_process() {
    let gate = Gate::default();
    let endpoint = gated_endpoint(&gate, "ok");
    let (address, shared) = (unused_address(), shared_directory());
    let config = config_json(
        address,
        unused_address(),
        &member("s-1", endpoint.address, "up"),
        &long_deadline_settings(),
    );
    let config = config.replace("\"sockets\":64", "\"sockets\":256");
    let old = Sidecar::start_with_shared_directory(address, unused_address(), &config, &shared.0);
    let mut first = old.connect();
    first
        .get_mut()
        .write_all(with_long_deadline(&post_book("a")).as_bytes())
        .unwrap();
    wait_until(|| endpoint.request_count() == 1);
    let socket = shared.0.join(format!(
        "passroad-{}.sock",
        address.to_string().replace(':', "-")
    ));
    let proxy = withhold_lines(&socket);
    let new = Sidecar::start_with_shared_directory(address, unused_address(), &config, &shared.0);
    let _link = proxy.join().unwrap();
    // The old process has not been told to stop, so either may accept a client; both know the id.
    for _ in 0..30 {
        assert_eq!(
            new.request(&with_long_deadline(&post_book("a"))).status(),
            "409"
        );
    }
    assert_eq!(endpoint.request_count(), 1);
    gate.open();
    assert_eq!(Message::read(&mut first).unwrap().status(), "200");
}
