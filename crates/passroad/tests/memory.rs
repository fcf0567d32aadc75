//! Memory that the sidecar holds for many slow clients at once, and what becomes of those that it has none for.

mod harness;

use harness::*;
use rstest::rstest;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;

/// The least memory that deployments name.
const MEMORY_MB: usize = 32;
/// What the pages of the program itself take of it.
const PROGRAM_BYTES: usize = 5_000_000;
const PRIVATE_BYTES: usize = MEMORY_MB * 1_000_000 - PROGRAM_BYTES;
const DESCRIPTORS: usize = 1024;
/// Clients hold a third of the descriptors at most for requests.
const CLIENTS: usize = DESCRIPTORS / 3;
/// Connections of clients that the descriptors leave beside those to endpoints.
const CONNECTIONS: usize = 550;
const ENDPOINTS: usize = 8;
const LONG_RESPONSE_BYTES: usize = 4_000_000;

/// Held by each test that has hundreds of slow readers: together they would take more memory for TCP than systems give.
static ALONE: Mutex<()> = Mutex::new(());

fn run_alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An endpoint with long responses that reads the requests as they come.
fn long_response_endpoint() -> FakeServer {
    fake_server(|message, to| {
        let length = match message.target().starts_with("/look") {
            true => LONG_RESPONSE_BYTES,
            false => 0,
        };
        respond(to, "200 OK", "", &vec![b'x'; length]);
        true
    })
}

fn config(address: SocketAddr, endpoints: &[FakeServer], memory_mb: usize) -> String {
    let list: Vec<_> = endpoints
        .iter()
        .enumerate()
        .map(|(n, endpoint)| member(&format!("s-{n}"), endpoint.address, "up"))
        .collect();
    let settings = long_deadline_settings();
    config_json(address, unused_address(), &list.join(","), &settings).replace(
        "\"sockets\":64",
        &format!("\"sockets\":{DESCRIPTORS},\"memory_mb\":{memory_mb}"),
    )
}

fn start(endpoints: &[FakeServer], memory_mb: usize) -> Sidecar {
    let address = unused_address();
    Sidecar::start(address, &config(address, endpoints, memory_mb))
}

fn long_response_endpoints() -> Vec<FakeServer> {
    (0..ENDPOINTS).map(|_| long_response_endpoint()).collect()
}

/// Checks the most private memory of some processes together while the buffers on the way fill up.
fn assert_within_the_memory(sidecars: &[&Sidecar], description: &str) {
    let samples = (0..10).map(|_| {
        sleep(100 * MS);
        sidecars
            .iter()
            .map(|sidecar| sidecar.private_memory_bytes())
            .sum::<usize>()
    });
    let memory = samples.max().unwrap_or_default();
    println!("{description}: {memory} bytes");
    assert!(memory <= PRIVATE_BYTES, "{description}: {memory} bytes");
}

/// A connection whose receive buffer is small, so that a slow client's response stays with the sidecar.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16_384).unwrap();
    socket.connect(&address.into()).unwrap();
    TcpStream::from(socket)
}

/// Many fields, each of which takes far more memory in a parsed head than on the wire.
fn short_fields() -> String {
    (0..90).map(|n| format!("x{n}: {n}\r\n")).collect()
}

fn head_with_many_fields(id: &str, body_length: usize) -> String {
    let fields = short_fields();
    format!(
        "POST /book HTTP/1.1\r\nHost: b\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 7900\r\n{fields}Content-Length: {body_length}\r\n\r\n"
    )
}

/// What a slow client sends before it makes the sidecar wait.
#[derive(Debug, Clone, Copy)]
enum SlowClient {
    Reader,
    HalfBody,
    LongHead,
}

impl SlowClient {
    /// Begins on a connection of its own. An error means that it was refused before all was written.
    fn begin(self, client: &mut TcpStream, number: usize) -> io::Result<()> {
        let id = format!("{self:?}{number}");
        match self {
            SlowClient::Reader => {
                let command = with_long_deadline(&get_look(&id));
                client.write_all(command.as_bytes())
            }
            SlowClient::HalfBody => {
                let head = head_with_many_fields(&id, 1_000_000);
                client.write_all(head.as_bytes())?;
                client.write_all(&vec![b'y'; 500_000])
            }
            SlowClient::LongHead => {
                let field = "z".repeat(7_000);
                write!(client, "GET /look HTTP/1.1\r\nA: {field}\r\nB: {field}\r\n")
            }
        }
    }

    /// The status of the response, for clients to whom one is due.
    fn wait_for_status(self, client: &mut TcpStream) -> Option<String> {
        match self {
            SlowClient::Reader => Some(read_status(client)),
            SlowClient::HalfBody | SlowClient::LongHead => None,
        }
    }

    /// Begins as one of those who are served.
    fn begin_served(self, address: SocketAddr, number: usize) -> TcpStream {
        let mut client = connect(address);
        self.begin(&mut client, number).unwrap();
        if let Some(status) = self.wait_for_status(&mut client) {
            assert_eq!(status, "200", "{self:?} {number}");
        }
        client
    }

    /// Begins as one who may be refused.
    fn try_to_begin(self, address: SocketAddr, number: usize) -> TcpStream {
        let mut client = connect(address);
        if self.begin(&mut client, number).is_ok() {
            self.wait_for_status(&mut client);
        }
        client
    }
}

/// The status of a response whose head comes next.
fn read_status(client: &mut TcpStream) -> String {
    let mut line = [0; 12];
    client.read_exact(&mut line).unwrap();
    String::from_utf8_lossy(&line[9..]).into_owned()
}

// Guards against a process that is killed for its memory: hundreds of slow clients, no more than the descriptors allow, took more
// than its limit.
#[rstest]
#[case::readers(&[SlowClient::Reader])]
#[case::half_bodies(&[SlowClient::HalfBody])]
#[case::long_heads(&[SlowClient::LongHead])]
#[case::a_third_each(&[SlowClient::Reader, SlowClient::HalfBody, SlowClient::LongHead])]
fn slow_clients_on_a_third_of_the_descriptors_fit_into_the_memory(#[case] kinds: &[SlowClient]) {
    let _alone = run_alone();
    let endpoints = long_response_endpoints();
    let sidecar = start(&endpoints, MEMORY_MB);
    // One is left for the command below.
    let clients: Vec<_> = (0..CLIENTS - 1)
        .map(|number| kinds[number % kinds.len()].begin_served(sidecar.address, number))
        .collect();
    assert_within_the_memory(&[&sidecar], &format!("{kinds:?}"));
    // Others are served beside them, once the bodies so far have been passed on.
    let serves = |id: &str| {
        sidecar
            .request(&with_long_deadline(&post_book(id)))
            .status()
            == "200"
    };
    let mut tries = 0..;
    wait_until(|| tries.next().is_some_and(|n| serves(&format!("another{n}"))));
    drop(clients);
}

// The same where clients take every connection that there is: who finds no memory is refused.
#[rstest]
#[case::readers(&[SlowClient::Reader])]
#[case::half_bodies(&[SlowClient::HalfBody])]
#[case::long_heads(&[SlowClient::LongHead])]
#[case::a_third_each(&[SlowClient::Reader, SlowClient::HalfBody, SlowClient::LongHead])]
fn slow_clients_on_all_connections_stay_within_the_memory(#[case] kinds: &[SlowClient]) {
    let _alone = run_alone();
    let endpoints = long_response_endpoints();
    let sidecar = start(&endpoints, MEMORY_MB);
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|number| kinds[number % kinds.len()].try_to_begin(sidecar.address, number))
        .collect();
    assert_within_the_memory(&[&sidecar], &format!("{kinds:?}"));
    drop(clients);
}

// Guards against two processes of an upgrade that each take the memory of one.
#[rstest]
fn both_processes_of_a_handover_stay_within_the_memory() {
    let _alone = run_alone();
    let endpoints = long_response_endpoints();
    let (address, management, shared) = (unused_address(), unused_address(), shared_directory());
    let config = config(address, &endpoints, MEMORY_MB);
    let old = Sidecar::start_with_shared_directory(address, unused_address(), &config, &shared.0);
    let readers: Vec<_> = (0..CLIENTS * 2 / 3)
        .map(|number| SlowClient::Reader.begin_served(address, number))
        .collect();
    let new = Sidecar::start_with_shared_directory(address, management, &config, &shared.0);
    let more_readers: Vec<_> = (CLIENTS..CLIENTS * 2)
        .map(|number| SlowClient::Reader.try_to_begin(address, number))
        .collect();
    assert_within_the_memory(&[&old, &new], "two processes");
    drop((readers, more_readers));
}

// Guards against commands that are sent on without memory for their responses.
#[rstest]
fn command_without_memory_is_refused_unsent_and_served_again_later() {
    let endpoints = [long_response_endpoint()];
    let sidecar = start(&endpoints, 8);
    let mut readers = Vec::new();
    let refused = (0..CLIENTS)
        .find(|number| {
            let mut client = connect(sidecar.address);
            let command = with_long_deadline(&get_look(&format!("r{number}")));
            client.write_all(command.as_bytes()).unwrap();
            let status = read_status(&mut client);
            readers.push(client);
            status == "503"
        })
        .expect("a reader without memory");
    let mut with_body = BufReader::new(connect(sidecar.address));
    let head = head_with_many_fields("body", 200_000);
    let request = [head.as_bytes(), &vec![b'y'; 200_000]].concat();
    with_body.get_mut().write_all(&request).unwrap();
    assert_eq!(Message::read(&mut with_body).unwrap().status(), "503");
    let ids: Vec<_> = endpoints[0]
        .requests
        .lock()
        .unwrap()
        .iter()
        .map(id)
        .collect();
    assert_eq!(ids.len(), refused, "{ids:?}");
    assert!(!ids.contains(&format!("r{refused}")) && !ids.contains(&"body".to_string()));
    drop(readers);
    wait_until(|| {
        sidecar
            .request(&with_long_deadline(&post_book("later")))
            .status()
            == "200"
    });
}

fn id(request: &Message) -> String {
    request.header("req-id").unwrap_or_default()
}

// Guards against connections that end in silence where there is no memory for their heads.
#[rstest]
fn head_without_memory_is_refused() {
    let endpoints = [long_response_endpoint()];
    let sidecar = start(&endpoints, 8);
    let mut clients: Vec<_> = (0..100)
        .map(|number| {
            let mut client = connect(sidecar.address);
            SlowClient::LongHead.begin(&mut client, number).unwrap();
            client
        })
        .collect();
    let last = clients.last_mut().unwrap();
    assert_eq!(read_status(last), "503");
    assert_eq!(endpoints[0].request_count(), 0);
}
