//! Idle clients that use up the descriptors while discovery is down. See `docs/crossings.md`.

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

/// Not a test: it does nothing unless `IdleClients` started this process to hold client
/// connections.
#[test]
fn idle_client_process() {
    idle_clients::run_child();
}

/// Starts a discovery server that sends a list and leaves long polls from its revision waiting.
/// Returns when the first request arrived.
fn start_discovery(address: SocketAddr, list: String) -> Arc<Mutex<Option<Instant>>> {
    let (first_request_at, listener) = (
        Arc::<Mutex<Option<Instant>>>::default(),
        TcpListener::bind(address).unwrap(),
    );
    let recorded = Arc::clone(&first_request_at);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (recorded, list) = (Arc::clone(&recorded), list.clone());
            spawn(move || {
                let (mut reader, mut stream) =
                    (BufReader::new(stream.try_clone().unwrap()), stream);
                while let Some(request) = Message::read(&mut reader) {
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

/// Sends one request over a new connection, right after the connect as clients do; the status and
/// body of the response.
fn request(address: SocketAddr, id: &str) -> Option<(String, Vec<u8>)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .ok()?;
    stream
        .write_all(with_long_deadline(&get_look(id)).as_bytes())
        .ok()?;
    let response = Message::read(&mut BufReader::new(stream))?;
    Some((response.status().to_string(), response.body))
}

/// Sends requests one after the other; each has to be answered.
struct Requests {
    address: SocketAddr,
    count: usize,
    refused: usize,
    slowest: Duration,
}

impl Requests {
    /// Sends the next request; the body of its response. A refused request (503) is sent again, as
    /// clients do.
    fn next(&mut self) -> Vec<u8> {
        let start = Instant::now();
        let body = loop {
            self.count += 1;
            let (status, body) =
                request(self.address, &self.count.to_string()).expect("a response");
            match status.as_str() {
                "200" => break body,
                "503" => self.refused += 1,
                other => panic!("request {}: {other}", self.count),
            }
        };
        self.slowest = self.slowest.max(start.elapsed());
        sleep(50 * MS);
        body
    }
}

// Idle clients use up the client places while discovery is down and other clients send requests.
// Then discovery is back and has a drain to report: the sidecar must still have a descriptor for
// its long poll. The descriptor limit of the process equals the configured one or is lower, or it
// is lowered after the start, so that the sidecar notices only when accept fails.
#[rstest]
#[case::limit_512(512, 512, None)]
#[case::limit_1024(1024, 1024, None)]
#[case::limit_512_configured_1024(512, 1024, None)]
#[case::limit_1024_configured_4096(1024, 4096, None)]
#[case::limit_lowered_to_512(1024, 1024, Some(512))]
#[case::limit_lowered_to_1024(4096, 4096, Some(1024))]
fn idle_clients_that_use_up_the_descriptors_do_not_block_discovery(
    #[case] limit_at_start: usize,
    #[case] configured_limit: usize,
    #[case] lowered_limit: Option<usize>,
) {
    let (first, second) = (ok_endpoint("first"), ok_endpoint("second"));
    let members = |phase| {
        [
            member("s-1", first.address, phase),
            member("s-2", second.address, "up"),
        ]
        .join(",")
    };
    let (address, discovery) = (unused_address(), unused_address());
    let settings =
        long_deadline_settings().replace("\"ask_every\":400000000", "\"ask_every\":10000000000");
    // A delay of a busy machine is not mistaken for an unreachable endpoint: connects have 2 s,
    // probes 1.6 s.
    let settings = settings.replace(
        "\"connect_timeout\":250000000",
        "\"connect_timeout\":8000000000",
    );
    let config = config_json(address, discovery, &members("up"), &settings)
        .replace("\"sockets\":64", &format!("\"sockets\":{configured_limit}"));
    let sidecar = LimitedSidecar::start(address, &config, limit_at_start);
    lowered_limit
        .into_iter()
        .for_each(|limit| sidecar.set_descriptor_limit(limit));
    let limit = lowered_limit.unwrap_or(limit_at_start);
    let idle_clients = IdleClients::connect(address, limit * 3 / 2);
    wait_until(|| sidecar.open_descriptors() > limit / 2);
    let (start, cpu_before) = (Instant::now(), sidecar.cpu_centiseconds());
    let mut requests = Requests {
        address,
        count: 0,
        refused: 0,
        slowest: Duration::ZERO,
    };
    // Longer than the time limit of a request, so that the idle clients are there for as long as
    // any request may wait.
    while start.elapsed() < Duration::from_secs(9) {
        requests.next();
        assert!(
            sidecar.open_descriptors() <= limit,
            "{}",
            sidecar.open_descriptors()
        );
    }
    let list = format!(
        r#"{{"revision":9,"complete":true,"members":[{}]}}"#,
        members("draining")
    );
    let (returned_at, first_request_at) = (Instant::now(), start_discovery(discovery, list));
    wait_until(|| first_request_at.lock().unwrap().is_some());
    let waited = first_request_at.lock().unwrap().unwrap() - returned_at;
    wait_until(|| (0..10).all(|_| requests.next() == b"second"));
    let (elapsed_s, cpu) = (
        start.elapsed().as_secs_f64(),
        sidecar.cpu_centiseconds() - cpu_before,
    );
    let reconnects = idle_clients.disconnect();
    let reconnects_per_second = reconnects as f64 / elapsed_s;
    println!(
        "long poll {waited:?} after discovery was back; {} requests, {} refused, the slowest {:?}; {reconnects_per_second:.0} reconnects a second, {:.2} of a core, {} periods of failed accepts",
        requests.count,
        requests.refused,
        requests.slowest,
        cpu as f64 / 100.0 / elapsed_s,
        sidecar.log_lines_with("accept: ")
    );
    assert!(waited < Duration::from_secs(6), "{waited:?}");
    // Each is accepted and closed again: 2,500 a second, and all places once more at first.
    assert!(reconnects_per_second < 3500.0, "{reconnects_per_second}");
    // One log line per ten seconds in which accept fails, if it fails at all.
    assert!(sidecar.log_lines_with("accept: ") <= 6);
    assert_eq!(
        sidecar.log_lines_with("accept: ") > 0,
        lowered_limit.is_some()
    );
}
