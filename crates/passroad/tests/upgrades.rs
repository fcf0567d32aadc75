//! A second process beside the first, on loopback sockets.

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

/// Two endpoints, a discovery, and all that two processes share.
struct Scene {
    endpoints: [FakeServer; 2],
    _discovery: FakeDiscovery,
    address: SocketAddr,
    text: String,
    shared: SharedDirectory,
}

impl Scene {
    fn new() -> Scene {
        let endpoints = [ok_endpoint("a"), ok_endpoint("b")];
        let list = format!(
            "{},{}",
            member("s-1", endpoints[0].address, "up"),
            member("s-2", endpoints[1].address, "up")
        );
        let (address, discovery) = (unused_address(), fake_discovery(&list));
        let text = config_json(
            address,
            discovery.server.address,
            &list,
            &long_deadline_settings(),
        )
        .replace("\"sockets\":64", "\"sockets\":256");
        Scene {
            endpoints,
            _discovery: discovery,
            address,
            text,
            shared: shared_directory(),
        }
    }

    fn start(&self) -> (Sidecar, SocketAddr) {
        let management = unused_address();
        (
            Sidecar::start_with_shared_directory(
                self.address,
                management,
                &self.text,
                &self.shared.0,
            ),
            management,
        )
    }

    fn place(&self) -> PathBuf {
        self.shared.0.join(format!(
            "passroad-{}.sock",
            self.address.to_string().replace(':', "-")
        ))
    }

    /// How many of some commands the first endpoint gets.
    fn of_first(&self, sidecar: &Sidecar, mark: &str) -> usize {
        let before = self.endpoints[0].request_count();
        for n in 0..20 {
            assert_eq!(
                sidecar
                    .request(&with_long_deadline(&get_look(&format!("{mark}{n}"))))
                    .status(),
                "200"
            );
        }
        self.endpoints[0].request_count() - before
    }
}

// Clients come all the time, each over a connection of its own, while one process gives way to the next, twice.
#[rstest]
fn no_client_is_turned_away_while_a_process_gives_way_to_the_next() {
    let scene = Scene::new();
    let (mut old, _) = scene.start();
    let (stop, address) = (Arc::new(AtomicBool::new(false)), scene.address);
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let stop = Arc::clone(&stop);
            spawn(move || {
                let mut n = 0;
                while !stop.load(SeqCst) {
                    n += 1;
                    let mut to = BufReader::new(std::net::TcpStream::connect(address).unwrap());
                    let answer = round_trip(
                        &mut to,
                        &with_long_deadline(&post_book(&format!("{client}-{n}"))),
                    );
                    assert_eq!(answer.expect("an answer").status(), "200");
                }
                n
            })
        })
        .collect();
    for _ in 0..2 {
        let (new, _) = scene.start();
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
    let asked: usize = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    assert!(asked > 20, "{asked}");
}

#[rstest]
fn a_ban_outlives_the_process_that_was_told() {
    let scene = Scene::new();
    let (mut old, management) = scene.start();
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    let (new, management) = scene.start();
    old.signal("TERM");
    wait_until(|| old.child.try_wait().unwrap().is_some());
    assert_eq!(scene.of_first(&new, "n"), 0);
    assert_eq!(post_cordon(management, "uncordon", "s-1"), "200");
    wait_until(|| scene.of_first(&new, "m") > 0);
}

// While both serve, a ban told to either holds in both when the yes is said.
#[rstest]
fn beside_each_other_two_processes_keep_the_same_bans() {
    let scene = Scene::new();
    let (old, old_door) = scene.start();
    let mut kept = old.connect();
    let mut ask_old = |id: &str| round_trip(&mut kept, &with_long_deadline(&get_look(id)));
    assert!(ask_old("k1").is_some());
    let (new, new_door) = scene.start();
    assert_eq!(post_cordon(new_door, "cordon", "s-1"), "200");
    let before = scene.endpoints[0].request_count();
    // Its connections end with their next answer.
    assert!(
        ask_old("k2").is_some_and(|answer| answer.header("connection").as_deref() == Some("close"))
    );
    assert_eq!(scene.endpoints[0].request_count(), before);
    assert_eq!(post_cordon(old_door, "cordon", "s-2"), "200");
    assert_eq!(
        new.request(&with_long_deadline(&get_look("n1"))).status(),
        "503"
    );
    assert_eq!(
        (
            post_cordon(old_door, "uncordon", "s-1"),
            post_cordon(new_door, "uncordon", "s-2")
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
fn where_the_next_process_is_killed_the_one_before_goes_on() {
    let scene = Scene::new();
    let (old, _) = scene.start();
    let (new, _) = scene.start();
    drop(new);
    // What had come to the killed one is lost with it; whoever comes once it is gone is served.
    wait_until(|| {
        let mut client = old.connect();
        let _ = client.get_mut().set_read_timeout(Some(500 * MS));
        round_trip(&mut client, &with_long_deadline(&get_look("o")))
            .is_some_and(|answer| answer.status() == "200")
    });
    // And it has its place again: the next one takes over from it.
    let (next, _) = scene.start();
    old.signal("TERM");
    assert_eq!(
        next.request(&with_long_deadline(&get_look("p"))).status(),
        "200"
    );
}

// It asks, and then says nothing, or what can't be read.
#[rstest]
#[case::asks_and_hangs(&b"{\"ask\":1}\n"[..])]
#[case::says_nothing(&b""[..])]
#[case::nonsense(&b"GET / HTTP/1.1\r\n\r\n"[..])]
#[case::asks_and_talks_nonsense(&b"{\"ask\":1}\nready?\n"[..])]
fn a_next_process_that_is_no_good_changes_nothing(#[case] says: &[u8]) {
    let scene = Scene::new();
    let (old, management) = scene.start();
    let mut held = Vec::new();
    for _ in 0..3 {
        let mut asker = std::os::unix::net::UnixStream::connect(scene.place()).unwrap();
        asker.write_all(says).unwrap();
        held.push(asker);
    }
    let began = Instant::now();
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    assert!(began.elapsed() < 1000 * MS, "{:?}", began.elapsed());
    assert_eq!(scene.of_first(&old, "o"), 0);
    let (new, _) = scene.start();
    old.signal("TERM");
    assert_eq!(scene.of_first(&new, "n"), 0);
}

#[rstest]
#[case::stale(None)]
#[case::nonsense(Some(&b"HTTP/1.1 200 OK\r\n\r\n"[..]))]
#[case::silent(Some(&b""[..]))]
fn where_nobody_answers_in_the_shared_folder_it_starts_from_nothing(
    #[case] says: Option<&'static [u8]>,
) {
    let scene = Scene::new();
    let listener = UnixListener::bind(scene.place()).unwrap();
    match says {
        None => drop(listener),
        Some(says) => drop(spawn(move || {
            let mut held = Vec::new();
            for stream in listener.incoming().flatten() {
                let mut stream = BufReader::new(stream);
                let _ = stream.read_line(&mut String::new());
                let _ = stream.get_mut().write_all(says);
                held.push(stream);
            }
        })),
    }
    let (sidecar, management) = scene.start();
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

// An endpoint would take the two for one.
#[rstest]
fn an_id_that_is_open_in_one_process_is_turned_away_in_the_other() {
    let gate = Gate::default();
    let handler_gate = gate.clone();
    let slow = fake_server(move |_, to| {
        handler_gate.wait_until_open();
        respond(to, "200 OK", "", b"ok");
        true
    });
    let (address, shared) = (unused_address(), shared_directory());
    let text = config_json(
        address,
        unused_address(),
        &member("s-1", slow.address, "up"),
        &long_deadline_settings(),
    );
    let text = text.replace("\"sockets\":64", "\"sockets\":256");
    let old = Sidecar::start_with_shared_directory(address, unused_address(), &text, &shared.0);
    let mut first = old.connect();
    first
        .get_mut()
        .write_all(with_long_deadline(&post_book("a")).as_bytes())
        .unwrap();
    wait_until(|| slow.request_count() == 1);
    let new = Sidecar::start_with_shared_directory(address, unused_address(), &text, &shared.0);
    wait_until(|| new.request(&with_long_deadline(&post_book("a"))).status() == "409");
    assert_eq!(slow.request_count(), 1);
    gate.open();
    assert_eq!(Message::read(&mut first).unwrap().status(), "200");
    wait_until(|| new.request(&with_long_deadline(&post_book("a"))).status() == "200");
}

// Together two processes hold no more than one may.
#[rstest]
fn descriptors_of_both_stay_within_the_limit() {
    let scene = Scene::new();
    let (old, _) = scene.start();
    let crowd = || {
        (0..200)
            .filter_map(|_| std::net::TcpStream::connect(scene.address).ok())
            .collect::<Vec<_>>()
    };
    let first = crowd();
    wait_until(|| old.open_descriptors() > 70);
    let (new, _) = scene.start();
    let second = crowd();
    wait_until(|| new.open_descriptors() > 30);
    assert!(
        old.open_descriptors() + new.open_descriptors() <= 256,
        "{} and {}",
        old.open_descriptors(),
        new.open_descriptors()
    );
    drop((first, second));
}

/// Hands on between the two what the old process gives, its socket too, and holds back all lines that it says later.
fn hold_back_lines(
    place: &std::path::Path,
) -> std::thread::JoinHandle<std::os::unix::net::UnixStream> {
    use rustix::net::*;
    use std::io::{IoSlice, IoSliceMut, Read};
    use std::os::fd::AsFd;
    let old = place.with_extension("old");
    std::fs::rename(place, &old).unwrap();
    let listener = UnixListener::bind(place).unwrap();
    spawn(move || {
        let (mut next, _) = listener.accept().unwrap();
        let mut before = std::os::unix::net::UnixStream::connect(old).unwrap();
        let mut line = Vec::new();
        while line.last() != Some(&b'\n') {
            let mut byte = [0];
            next.read_exact(&mut byte).unwrap();
            line.extend(byte);
        }
        before.write_all(&line).unwrap();
        let (mut size, mut space) = (
            [0; 4],
            [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))],
        );
        let mut beside = RecvAncillaryBuffer::new(&mut space);
        recvmsg(
            &before,
            &mut [IoSliceMut::new(&mut size)],
            &mut beside,
            RecvFlags::empty(),
        )
        .unwrap();
        let sockets: Vec<_> = beside
            .drain()
            .filter_map(|m| {
                if let RecvAncillaryMessage::ScmRights(sockets) = m {
                    Some(sockets)
                } else {
                    None
                }
            })
            .flatten()
            .collect();
        let mut state = vec![0; u32::from_be_bytes(size) as usize];
        before.read_exact(&mut state).unwrap();
        let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut beside = SendAncillaryBuffer::new(&mut space);
        let sockets = [sockets[0].as_fd()];
        assert!(beside.push(SendAncillaryMessage::ScmRights(&sockets)));
        sendmsg(
            &next,
            &[IoSlice::new(&size)],
            &mut beside,
            SendFlags::empty(),
        )
        .unwrap();
        next.write_all(&state).unwrap();
        // Both stay open, and nothing more passes.
        std::mem::forget(before);
        next
    })
}

// The command is open in the old process, and the new one takes clients before it has read a line of the old one's.
#[rstest]
fn an_id_that_is_open_is_known_before_the_first_line_of_the_other_process() {
    let gate = Gate::default();
    let handler_gate = gate.clone();
    let slow = fake_server(move |_, to| {
        handler_gate.wait_until_open();
        respond(to, "200 OK", "", b"ok");
        true
    });
    let (address, shared) = (unused_address(), shared_directory());
    let text = config_json(
        address,
        unused_address(),
        &member("s-1", slow.address, "up"),
        &long_deadline_settings(),
    );
    let text = text.replace("\"sockets\":64", "\"sockets\":256");
    let old = Sidecar::start_with_shared_directory(address, unused_address(), &text, &shared.0);
    let mut first = old.connect();
    first
        .get_mut()
        .write_all(with_long_deadline(&post_book("a")).as_bytes())
        .unwrap();
    wait_until(|| slow.request_count() == 1);
    let place = shared.0.join(format!(
        "passroad-{}.sock",
        address.to_string().replace(':', "-")
    ));
    let proxy = hold_back_lines(&place);
    let new = Sidecar::start_with_shared_directory(address, unused_address(), &text, &shared.0);
    let _link = proxy.join().unwrap();
    // The old one has not been told to give way, so either may take a client; both know the id.
    for _ in 0..30 {
        assert_eq!(
            new.request(&with_long_deadline(&post_book("a"))).status(),
            "409"
        );
    }
    assert_eq!(slow.request_count(), 1);
    gate.open();
    assert_eq!(Message::read(&mut first).unwrap().status(), "200");
}
