//! Sidecars that start again: what they wait for before they take clients, and what they do not. Clients send from the first
//! moment, whatever discovery does, and while the process before still holds the address. See `docs/crossings.md`.

mod harness;

use harness::*;
use rstest::rstest;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::{Child, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// Nine in ten are to be ready so soon after their start.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// A started process, which goes with the test.
struct Started(Child, std::path::PathBuf, Instant);

impl Started {
    fn new(text: &str, fleet: Option<&str>) -> Started {
        let (mut command, folder) = sidecar_command(text);
        if let Some(fleet) = fleet {
            let file = folder.join("fleet.toml");
            std::fs::write(&file, fleet).unwrap();
            command.env("LB_FLEET", file);
        }
        Started(
            command.stderr(Stdio::null()).spawn().unwrap(),
            folder,
            Instant::now(),
        )
    }

    /// How long after its start it took clients; none if it has ended, or a minute has passed.
    fn wait_until_ready(&mut self, address: SocketAddr) -> Option<Duration> {
        while self.2.elapsed() < Duration::from_secs(60) {
            if self.0.try_wait().unwrap().is_some() {
                return None;
            }
            if is_ready(address) {
                return Some(self.2.elapsed());
            }
            sleep(10 * MS);
        }
        None
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_dir_all(&self.1);
    }
}

// ---- the process before ----

// The process before was told to end and hangs: it holds the address until it is killed, 3.7 s after that. Who waited for less
// ended with code 2, as if its configuration were at fault; and so did whoever found the operators' management taken.
#[rstest]
#[case::without_a_door(false)]
#[case::with_a_door(true)]
fn an_address_is_waited_for_until_the_process_before_is_killed(#[case] with_operators: bool) {
    let endpoint = ok_endpoint("ok");
    let (address, management) = (unused_address(), unused_address());
    let text = config_json(
        address,
        unused_address(),
        &member("s-1", endpoint.address, "up"),
        &long_deadline_settings(),
    );
    let text = if with_operators {
        with_management(&text, management)
    } else {
        text
    };
    let mut before = Sidecar::start(address, &text);
    before.signal("STOP");
    let mut next = Started::new(&text, None);
    sleep(3700 * MS);
    assert!(
        next.0.try_wait().unwrap().is_none(),
        "it ended with {:?}",
        next.0.try_wait()
    );
    before.child.kill().unwrap();
    before.child.wait().unwrap();
    assert!(next.wait_until_ready(address).expect("it is to come up") < READY_WITHIN);
    let mut client = BufReader::new(TcpStream::connect(address).unwrap());
    assert_eq!(
        round_trip(&mut client, &with_long_deadline(&get_look("a")))
            .unwrap()
            .status(),
        "200"
    );
    if with_operators {
        wait_until(|| ready_for_operators(management));
    }
}

fn ready_for_operators(management: SocketAddr) -> bool {
    TcpStream::connect(management).is_ok_and(|mut to| {
        let _ = to.set_read_timeout(Some(1000 * MS));
        let _ = to.write_all(b"GET /admin/health HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n");
        Message::read(&mut BufReader::new(to)).is_some_and(|request| request.status() == "200")
    })
}

// Clients are not kept waiting for the operators' management, and it opens once it is free.
#[rstest]
fn clients_do_not_wait_for_the_operators_door() {
    let endpoint = ok_endpoint("ok");
    let address = unused_address();
    let holder = std::net::TcpListener::bind(unused_address()).unwrap();
    let management = holder.local_addr().unwrap();
    let text = with_management(
        &config_json(
            address,
            unused_address(),
            &member("s-1", endpoint.address, "up"),
            SETTINGS,
        ),
        management,
    );
    let mut sidecar = Started::new(&text, None);
    assert!(sidecar.wait_until_ready(address).is_some(), "it ended");
    drop(holder);
    wait_until(|| ready_for_operators(management));
}

// The process before shares a folder and stands still: it hands nothing over, and is not waited for.
#[rstest]
fn a_process_before_that_hands_nothing_over_is_not_waited_for() {
    let endpoint = ok_endpoint("ok");
    let (address, folder) = (unused_address(), shared_directory());
    let text = config_json(
        address,
        unused_address(),
        &member("s-1", endpoint.address, "up"),
        &long_deadline_settings(),
    );
    let before = Sidecar::start_with_shared_directory(address, unused_address(), &text, &folder.0);
    before.signal("STOP");
    let management = unused_address();
    let (mut command, own) = sidecar_command(&with_management(&text, management));
    let child = command
        .env("TMPDIR", &folder.0)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let next = Started(child, own, Instant::now());
    // At its management: the one that stands still has the clients' address, too.
    wait_until(|| ready_for_operators(management));
    assert!(next.2.elapsed() < READY_WITHIN, "{:?}", next.2.elapsed());
}

// ---- a crowd ----

/// What discovery does while all start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Down,
    /// It takes the call and is in no hurry.
    Slow,
    Refuses,
}

fn busy(how: Asked) -> SocketAddr {
    match how {
        Asked::Down => unused_address(),
        Asked::Slow => {
            fake_server(|_, _| {
                sleep(20_000 * MS);
                false
            })
            .address
        }
        Asked::Refuses => {
            fake_server(|_, to| {
                respond(to, "503 Busy", "", b"");
                true
            })
            .address
        }
    }
}

/// A client that sends one request after the other from before its sidecar is there, each on a connection of its own: how
/// many were answered, and how many were taken and had no answer.
fn sends_from_the_first_moment(
    address: SocketAddr,
    over: &Arc<AtomicBool>,
) -> JoinHandle<(usize, usize)> {
    let over = Arc::clone(over);
    spawn(move || {
        let (mut answered, mut lost) = (0, 0);
        while !over.load(SeqCst) {
            let Ok(stream) = TcpStream::connect(address) else {
                sleep(5 * MS);
                continue;
            };
            stream
                .set_read_timeout(Some(Duration::from_secs(30)))
                .unwrap();
            let mut client = BufReader::new(stream);
            match round_trip(
                &mut client,
                &with_long_deadline(&get_look(&format!("first{answered}"))),
            ) {
                Some(message) => {
                    answered += usize::from(["200", "503"].contains(&message.status()))
                }
                None => lost += 1,
            }
            sleep(20 * MS);
        }
        (answered, lost)
    })
}

/// So many start at once, 210 where that is measured: `PASSROAD_CROWD=210`.
fn crowd() -> usize {
    std::env::var("PASSROAD_CROWD")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(12)
}

fn share(sorted: &[Duration], share: f64) -> Duration {
    sorted[((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1]
}

/// Starts them all at once; how long each took to be ready, sorted, of those that came up.
fn start_at_once(what: &str, texts: Vec<(SocketAddr, String, Option<String>)>) -> Vec<Duration> {
    let over = Arc::<AtomicBool>::default();
    let clients: Vec<_> = texts
        .iter()
        .map(|(address, ..)| sends_from_the_first_moment(*address, &over))
        .collect();
    let all: Vec<_> = texts
        .into_iter()
        .map(|(address, text, fleet)| {
            spawn(move || {
                let mut started = Started::new(&text, fleet.as_deref());
                let ready = started.wait_until_ready(address);
                (ready, started)
            })
        })
        .collect();
    let all: Vec<_> = all.into_iter().map(|one| one.join().unwrap()).collect();
    over.store(true, SeqCst);
    let (answered, lost): (Vec<_>, Vec<_>) =
        clients.into_iter().map(|one| one.join().unwrap()).unzip();
    let mut times: Vec<_> = all.iter().filter_map(|(ready, _)| *ready).collect();
    times.sort();
    if !times.is_empty() {
        let [half, most, last] = [0.5, 0.9, 1.0].map(|s| share(&times, s));
        println!(
            "{what}: {} of {} ready, p50 {half:?}, p90 {most:?}, max {last:?}",
            times.len(),
            all.len()
        );
    }
    assert_eq!(lost.iter().sum::<usize>(), 0, "taken and not answered");
    // Who is ready answers; a client may not have come between.
    assert!(
        answered.iter().filter(|n| **n > 0).count() * 10 >= answered.len() * 9,
        "{answered:?}"
    );
    times
}

fn nine_in_ten(times: &[Duration], count: usize) {
    let soon = times.iter().filter(|time| **time < READY_WITHIN).count();
    assert!(soon * 10 >= count * 9, "{soon} of {count}: {times:?}");
}

// A known list that is right, or one so old that none of its endpoints is there any more.
#[rstest]
fn a_crowd_that_starts_at_once_is_ready_whatever_discovery_does(
    #[values(Asked::Down, Asked::Slow, Asked::Refuses)] how: Asked,
    #[values(false, true)] old: bool,
) {
    let endpoint = ok_endpoint("ok");
    let known = member(
        "s-1",
        if old {
            unused_address()
        } else {
            endpoint.address
        },
        "up",
    );
    let discovery = busy(how);
    let text = |_| {
        let address = unused_address();
        (
            address,
            config_json(address, discovery, &known, &long_deadline_settings()),
            None,
        )
    };
    let times = start_at_once(
        &format!("{how:?}, old list: {old}"),
        (0..crowd()).map(text).collect(),
    );
    nine_in_ten(&times, crowd());
}

// With no list at all, and with one of a revision that discovery has left behind.
#[rstest]
#[case::none("")]
#[case::ahead("\"revision\":900,")]
fn who_starts_with_a_list_of_no_use_is_ready_before_it_has_another(#[case] revision: &str) {
    let endpoint = ok_endpoint("ok");
    let gate = Gate::default();
    let (handler_gate, list) = (gate.clone(), member("s-2", endpoint.address, "up"));
    let discovery = fake_server(move |_, to| {
        handler_gate.wait_until_open();
        let list = format!(r#"{{"revision":3,"complete":true,"members":[{list}]}}"#);
        respond(to, "200 OK", "", list.as_bytes());
        true
    });
    let address = unused_address();
    let known = if revision.is_empty() {
        String::new()
    } else {
        member("s-1", unused_address(), "up")
    };
    let text = config_json(
        address,
        discovery.address,
        &known,
        &long_deadline_settings(),
    );
    let text = if revision.is_empty() {
        text
    } else {
        text.replace("\"revision\":1,", revision)
    };
    let mut sidecar = Started::new(&text, None);
    assert!(sidecar.wait_until_ready(address).is_some());
    wait_until(|| discovery.request_count() > 0);
    gate.open();
    wait_until(|| {
        let mut client = BufReader::new(TcpStream::connect(address).unwrap());
        round_trip(&mut client, &with_long_deadline(&get_look("a")))
            .is_some_and(|message| message.status() == "200")
    });
}

// With a fleet's file and all the others just as new, or none of them there.
#[rstest]
#[case::all_start(true)]
#[case::alone(false)]
fn who_has_a_fleets_file_is_ready_without_the_others(#[case] all: bool) {
    const WORK: &str = "lease = \"2s\"\nperiod = \"200ms\"\nvoters = 3\n[upkeep]\n";
    let endpoint = ok_endpoint("ok");
    let known = member("s-1", endpoint.address, "up");
    let count = crowd();
    let bound: Vec<_> = (0..count)
        .map(|_| UdpSocket::bind(SocketAddr::new(unused_address().ip(), 0)).unwrap())
        .collect();
    let peers: Vec<_> = bound
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect();
    drop(bound);
    let list: Vec<String> = peers.iter().map(|at| format!("\"{at}\"")).collect();
    let text = |n: usize| {
        let settings = long_deadline_settings().replacen('{', &format!(r#"{{"my_number":{n},"#), 1);
        let settings = settings.replace(r#""allowed":{"#, r#""allowed":{"may_tell":true,"#);
        let own = format!(
            r#"{{"peer_listen":"{}","peers":[{}],"#,
            peers[n],
            list.join(",")
        );
        let address = unused_address();
        let text = config_json(address, unused_address(), &known, &settings).replacen('{', &own, 1);
        (
            address,
            with_management(&text, unused_address()),
            Some(WORK.to_string()),
        )
    };
    let texts: Vec<_> = (0..if all { count } else { 1 }).map(text).collect();
    let started = texts.len();
    let times = start_at_once(&format!("fleet's file, all start: {all}"), texts);
    nine_in_ten(&times, started);
}
