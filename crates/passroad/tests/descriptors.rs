//! Idle clients that fill the descriptors while discovery is down. See `docs/crossings.md`.

mod harness;
mod idle_clients;

use harness::*;
use idle_clients::{IdleClients, LimitedSidecar};
use rstest::rstest;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Does nothing, unless a test has started this process as one of its crowd.
#[test]
fn idle_client_process() {
    idle_clients::run_child();
}

/// A discovery that is back: tells a list and lets watches from there wait. When it was called first.
fn back(at: SocketAddr, list: String) -> Arc<Mutex<Option<Instant>>> {
    let (came, listener) = (
        Arc::<Mutex<Option<Instant>>>::default(),
        TcpListener::bind(at).unwrap(),
    );
    let own = Arc::clone(&came);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (own, list) = (Arc::clone(&own), list.clone());
            spawn(move || {
                let (mut reader, mut stream) =
                    (BufReader::new(stream.try_clone().unwrap()), stream);
                while let Some(call) = Message::read(&mut reader) {
                    if !call.target().contains("from=9&") {
                        own.lock().unwrap().get_or_insert(Instant::now());
                        respond(&mut stream, "200 OK", "", list.as_bytes());
                    }
                }
            });
        }
    });
    came
}

/// One request over a connection of its own that sends at once, as clients do; the answer's status and body.
fn request(to: SocketAddr, id: &str) -> Option<(String, Vec<u8>)> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .ok()?;
    stream
        .write_all(with_long_deadline(&get_look(id)).as_bytes())
        .ok()?;
    let answer = Message::read(&mut BufReader::new(stream))?;
    Some((answer.status().to_string(), answer.body))
}

/// Requests one after the other, of which each has to be answered.
struct Requests {
    to: SocketAddr,
    count: usize,
    refused: usize,
    worst: Duration,
}

impl Requests {
    /// The body of the next one's answer; one that is refused (503) is sent once more, as clients do.
    fn next(&mut self) -> Vec<u8> {
        let asked = Instant::now();
        let body = loop {
            self.count += 1;
            let (status, body) = request(self.to, &self.count.to_string()).expect("an answer");
            match status.as_str() {
                "200" => break body,
                "503" => self.refused += 1,
                other => panic!("request {}: {other}", self.count),
            }
        };
        self.worst = self.worst.max(asked.elapsed());
        sleep(50 * MS);
        body
    }
}

// The crowd comes while discovery is down, and fills all that clients may hold. Requests come meanwhile; then discovery is
// back and has a drain to tell. The process may hold as many descriptors as it was told, or fewer; or fewer than it had seen
// at its start, so that it learns of them only by failing to accept.
#[rstest]
#[case::of_512(512, 512, None)]
#[case::of_1024(1024, 1024, None)]
#[case::of_512_told_1024(512, 1024, None)]
#[case::of_1024_told_4096(1024, 4096, None)]
#[case::of_512_from_1024(1024, 1024, Some(512))]
#[case::of_1024_from_4096(4096, 4096, Some(1024))]
fn idle_clients_that_fill_the_descriptors_keep_no_watch_from_going_out(
    #[case] at_start: usize,
    #[case] told_limit: usize,
    #[case] later: Option<usize>,
) {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let both = |phase| {
        [
            member("s-1", first.address, phase),
            member("s-2", second.address, "up"),
        ]
        .join(",")
    };
    let (address, discovery) = (unused_address(), unused_address());
    let settings =
        long_deadline_settings().replace("\"ask_every\":400000000", "\"ask_every\":10000000000");
    // A busy machine is not taken for endpoints that can't be reached: connections have 2 s to come up, probes 1.6 s.
    let settings = settings.replace(
        "\"connect_timeout\":250000000",
        "\"connect_timeout\":8000000000",
    );
    let text = config_json(address, discovery, &both("up"), &settings)
        .replace("\"sockets\":64", &format!("\"sockets\":{told_limit}"));
    let sidecar = LimitedSidecar::start(address, &text, at_start);
    later
        .into_iter()
        .for_each(|limit| sidecar.set_descriptor_limit(limit));
    let limit = later.unwrap_or(at_start);
    let crowd = IdleClients::connect(address, limit * 3 / 2);
    wait_until(|| sidecar.open_descriptors() > limit / 2);
    let (began, used) = (Instant::now(), sidecar.cpu_centiseconds());
    let mut requests = Requests {
        to: address,
        count: 0,
        refused: 0,
        worst: Duration::ZERO,
    };
    // For longer than a request's limit: the crowd has then been there for as long as any request may wait.
    while began.elapsed() < Duration::from_secs(9) {
        requests.next();
        assert!(
            sidecar.open_descriptors() <= limit,
            "{}",
            sidecar.open_descriptors()
        );
    }
    let list = format!(
        r#"{{"revision":9,"complete":true,"members":[{}]}}"#,
        both("draining")
    );
    let (returned, came) = (Instant::now(), back(discovery, list));
    wait_until(|| came.lock().unwrap().is_some());
    let waited = came.lock().unwrap().unwrap() - returned;
    wait_until(|| (0..10).all(|_| requests.next() == b"second"));
    let (spent, used) = (
        began.elapsed().as_secs_f64(),
        sidecar.cpu_centiseconds() - used,
    );
    let again = crowd.disconnect();
    let a_second = again as f64 / spent;
    println!(
        "watched {waited:?} after the return; {} requests, {} refused, the slowest {:?}; {a_second:.0} came again a second, {:.2} of a core, {} spells of failed accepts",
        requests.count,
        requests.refused,
        requests.worst,
        used as f64 / 100.0 / spent,
        sidecar.log_lines_with("accept: ")
    );
    assert!(waited < Duration::from_secs(6), "{waited:?}");
    // Each is let in and closed again: 2,500 a second, and all places once more at first.
    assert!(a_second < 3500.0, "{a_second}");
    // One line a spell of ten seconds, where accepting fails at all.
    assert!(sidecar.log_lines_with("accept: ") <= 6);
    assert_eq!(sidecar.log_lines_with("accept: ") > 0, later.is_some());
}
