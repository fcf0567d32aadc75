//! Test harness: runs the sidecar binary and provides the fake servers and client connections that
//! it talks to.

#![allow(dead_code)] // each test file uses only some of this

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub const MS: Duration = Duration::from_millis(1);

/// A received HTTP/1.1 message, request or response.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// When the head was complete.
    pub received_at: Instant,
}

impl Message {
    /// Reads one message; `None` if the connection ends or fails first.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if from.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let mut message = Message {
            head,
            body: Vec::new(),
            received_at: Instant::now(),
        };
        let mut chunked = message.header("transfer-encoding").is_some();
        message.body.resize(
            message
                .header("content-length")
                .map_or(0, |n| n.parse().unwrap()),
            0,
        );
        from.read_exact(&mut message.body).ok()?;
        while chunked {
            let mut size = String::new();
            from.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let start = message.body.len();
            message.body.resize(start + size + 2, 0);
            from.read_exact(&mut message.body[start..]).ok()?;
            message.body.truncate(start + size);
            chunked = size > 0;
        }
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<String> {
        let mut pairs = self
            .head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(": "));
        pairs
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.to_string())
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.second_field_of_start_line()
    }

    /// The status code of a response.
    pub fn status(&self) -> &str {
        self.second_field_of_start_line()
    }

    fn second_field_of_start_line(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// A fake HTTP/1.1 server: an endpoint, a discovery server or another server that the sidecar
/// calls. It answers load probes as an idle endpoint and leaves all other requests to its handler.
#[derive(Clone)]
pub struct FakeServer {
    pub address: SocketAddr,
    /// The requests received, load probes excepted.
    pub requests: Arc<Mutex<Vec<Message>>>,
    pub open_connections: Arc<AtomicUsize>,
    /// When each of its connections ended.
    pub closed_at: Arc<Mutex<Vec<Instant>>>,
}

/// Starts a fake server. The handler returns whether to keep the connection open for a next
/// request.
pub fn fake_server(
    handler: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> FakeServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = FakeServer {
        address,
        requests: Arc::default(),
        open_connections: Arc::default(),
        closed_at: Arc::default(),
    };
    let (state, handler) = (server.clone(), Arc::new(handler));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (state, handler) = (state.clone(), Arc::clone(&handler));
            state.open_connections.fetch_add(1, SeqCst);
            spawn(move || {
                let (mut reader, mut stream) =
                    (BufReader::new(stream.try_clone().unwrap()), stream);
                while let Some(message) = Message::read(&mut reader) {
                    if message.target() == "/load" {
                        respond_idle(&mut stream);
                        continue;
                    }
                    state.requests.lock().unwrap().push(message.clone());
                    if !handler(&message, &mut stream) {
                        break;
                    }
                }
                // Recorded only once the connection has really been closed: tests send the next command then.
                drop((reader, stream));
                state.open_connections.fetch_sub(1, SeqCst);
                state.closed_at.lock().unwrap().push(Instant::now());
            });
        }
    });
    server
}

impl FakeServer {
    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

/// Writes a response; `headers` are complete lines.
pub fn respond(to: &mut TcpStream, status: &str, headers: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let _ = to.write_all(&[head.as_bytes(), body].concat());
}

/// Answers a load probe as an idle endpoint.
pub fn respond_idle(to: &mut TcpStream) {
    respond(to, "200 OK", "", b"TEXT inflight=0, queue=0, util=0.1");
}

/// An endpoint that answers every command with 200 and this body once the gate is open.
pub fn gated_endpoint(gate: &Gate, body: &'static str) -> FakeServer {
    let gate = gate.clone();
    fake_server(move |_, to| {
        gate.wait_until_open();
        respond(to, "200 OK", "", body.as_bytes());
        true
    })
}

/// An endpoint that answers every command with 200 and this body.
pub fn ok_endpoint(body: &'static str) -> FakeServer {
    fake_server(move |_, to| {
        respond(to, "200 OK", "", body.as_bytes());
        true
    })
}

/// A fake discovery server. A long poll (`?from=REVISION&hold_ms=MS`) waits until the list is newer
/// than that revision.
pub struct FakeDiscovery {
    pub server: FakeServer,
    /// Revision and members (JSON, comma separated).
    list: Arc<Mutex<(u64, String)>>,
}

pub fn fake_discovery(members: &str) -> FakeDiscovery {
    let list = Arc::new(Mutex::new((1, members.to_string())));
    let served = Arc::clone(&list);
    let server = fake_server(move |message, to| {
        let query = message
            .target()
            .split_once("?from=")
            .map(|(_, query)| query.split_once("&hold_ms=").unwrap());
        if let Some((from, hold)) = query {
            let (from, hold_ms) = (from.parse::<u64>().unwrap(), hold.parse::<u64>().unwrap());
            let deadline = Instant::now() + Duration::from_millis(hold_ms);
            while served.lock().unwrap().0 <= from && Instant::now() < deadline {
                sleep(2 * MS);
            }
        }
        let (revision, members) = served.lock().unwrap().clone();
        respond(to, "200 OK", "", list_json(revision, &members).as_bytes());
        true
    });
    FakeDiscovery { server, list }
}

impl FakeDiscovery {
    /// Replaces the list.
    pub fn publish(&self, revision: u64, members: String) {
        *self.list.lock().unwrap() = (revision, members);
    }

    /// Changes the revision and keeps the members.
    pub fn set_revision(&self, revision: u64) {
        self.list.lock().unwrap().0 = revision;
    }
}

fn list_json(revision: u64, members: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#)
}

/// One member of a discovery list, as JSON.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// An address at which nobody listens. Each call takes its own loopback host, so that no other test
/// gets the same address.
pub fn unused_address() -> SocketAddr {
    static COUNT: AtomicUsize = AtomicUsize::new(1);
    let (count, process) = (COUNT.fetch_add(1, SeqCst), std::process::id());
    let host = std::net::Ipv4Addr::new(
        127,
        (process % 200 + 20) as u8,
        (count / 250) as u8,
        (count % 250 + 1) as u8,
    );
    // Bound only: a listening socket would accept connects for as long as a process that starts meanwhile holds a copy.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::from((host, 0)).into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}

/// An address at which connects hang: the backlog of the listener is full and nobody accepts. The
/// connections returned fill it.
pub fn full_backlog_listener() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let _context = runtime.enter();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap().into_std().unwrap();
    let address = listener.local_addr().unwrap();
    let filling =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, 100 * MS).ok()).collect();
    (address, listener, filling)
}

/// A running sidecar process; dropping it kills the process.
pub struct Sidecar {
    pub address: SocketAddr,
    pub child: Child,
    directory: std::path::PathBuf,
}

/// Balancer settings with a safe class `look` and a non-idempotent class `book`.
pub const SETTINGS: &str = r#"{"verbs":[
 {"name":"look","effect":"read_like","response_goal":400000000,"time_limit":1000000000,"utility":1},
 {"name":"book","effect":"non_idempotent","response_goal":400000000,"time_limit":1000000000,"utility":3}],
 "tenants":[{"name":"acme","portion":1}],"dcs":["a"],"az":"a","discovery":"on_request",
 "report":{"how":"piggyback"},"rules":{"ask_every":400000000},
 "allowed":{"max_relays":4,"may_cancel":true,"probes":true,"second_copies":false,"retry_after":true,
  "max_retry_after":1500000000,"connect_timeout":250000000,"idle_close":60000000000}}"#;

/// `SETTINGS` with deadline targets and time limits of several seconds, so that a delay of a busy
/// machine is not mistaken for something that the sidecar does at a target or limit.
pub fn long_deadline_settings() -> String {
    SETTINGS.replace(
        "\"response_goal\":400000000,\"time_limit\":1000000000",
        "\"response_goal\":5000000000,\"time_limit\":8000000000",
    )
}

/// Raises the deadline of a command to just under the time limit of `long_deadline_settings`.
pub fn with_long_deadline(command: &str) -> String {
    command.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 7900")
}

/// Blocks a fake server until the test has seen an earlier event and opens the gate.
#[derive(Clone, Default)]
pub struct Gate(Arc<std::sync::atomic::AtomicBool>);

impl Gate {
    pub fn open(&self) {
        self.0.store(true, SeqCst);
    }

    pub fn is_open(&self) -> bool {
        self.0.load(SeqCst)
    }

    pub fn wait_until_open(&self) {
        wait_until(|| self.is_open());
    }
}

/// A sidecar configuration whose `known` list has revision 1 and these members.
pub fn config_json(
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"sockets":64}},"known":{},"settings":{settings}}}"#,
        list_json(1, known)
    )
}

/// Adds a management address to a configuration.
pub fn with_management(config: &str, management: SocketAddr) -> String {
    config.replacen('{', &format!(r#"{{"management":"{management}","#), 1)
}

/// Calls the management address; the status.
pub fn management_request(management: SocketAddr, method: &str, path: &str, body: &str) -> String {
    try_management_request(management, method, path, body).expect("a response")
}

/// The same; `None` if there is no response. An address of `unused_address` may accept connections
/// for a moment longer if another test spawns a process just then: until its exec the child holds
/// copies of all sockets, and then resets whoever has connected.
fn try_management_request(
    management: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<String> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: b\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut client = BufReader::new(TcpStream::connect(management).ok()?);
    client
        .get_mut()
        .set_read_timeout(Some(Duration::from_secs(9)))
        .unwrap();
    Some(round_trip(&mut client, &request)?.status().to_string())
}

/// A page of the management address, as JSON.
pub fn management_page(management: SocketAddr, path: &str) -> serde_json::Value {
    let request = format!("GET {path} HTTP/1.1\r\nHost: b\r\n\r\n");
    let mut client = BufReader::new(TcpStream::connect(management).unwrap());
    let page = round_trip(&mut client, &request).expect("a page");
    serde_json::from_slice(&page.body).unwrap()
}

/// Posts `cordon` or `uncordon` for an endpoint id; the status.
pub fn post_cordon(management: SocketAddr, action: &str, id: &str) -> String {
    management_request(
        management,
        "POST",
        &format!("/admin/{action}"),
        &format!(r#"{{"id":"{id}"}}"#),
    )
}

/// A temporary directory, removed on drop, that several sidecars share.
pub struct SharedDirectory(pub std::path::PathBuf);

pub fn shared_directory() -> SharedDirectory {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "passroad-shared-{}-{}",
        std::process::id(),
        COUNT.fetch_add(1, SeqCst)
    );
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).unwrap();
    SharedDirectory(directory)
}

impl Drop for SharedDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A command that runs the sidecar with this configuration, and the directory made for it.
pub fn sidecar_command(config: &str) -> (Command, std::path::PathBuf) {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "passroad-{}-{}",
        std::process::id(),
        COUNT.fetch_add(1, SeqCst)
    );
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("config.json");
    std::fs::write(&file, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_passroad"));
    command
        .env_clear()
        .env("LB_CONFIG", file)
        .stdin(Stdio::null())
        .stderr(Stdio::piped());
    (command, directory)
}

pub fn start_sidecar_with(known: &str, discovery: SocketAddr, settings: &str) -> Sidecar {
    let address = unused_address();
    Sidecar::start(address, &config_json(address, discovery, known, settings))
}

pub fn start_sidecar(known: &str) -> Sidecar {
    start_sidecar_with(known, unused_address(), SETTINGS)
}

/// Whether a sidecar at this address reports ready.
pub fn is_ready(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_ok_and(|mut to| {
        let _ = to.set_read_timeout(Some(100 * MS));
        let _ = to.write_all(b"GET /healthz HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n");
        Message::read(&mut BufReader::new(to)).is_some_and(|response| response.status() == "200")
    })
}

impl Sidecar {
    /// Starts the sidecar with a configuration and waits until it is ready.
    pub fn start(address: SocketAddr, config: &str) -> Sidecar {
        let (mut command, directory) = sidecar_command(config);
        let child = command.stderr(Stdio::null()).spawn().unwrap();
        let sidecar = Sidecar {
            address,
            child,
            directory,
        };
        wait_until(|| is_ready(address));
        sidecar
    }

    /// Starts a sidecar that hands over with others through a shared directory; waits until its
    /// management address answers.
    pub fn start_with_shared_directory(
        address: SocketAddr,
        management: SocketAddr,
        config: &str,
        shared: &std::path::Path,
    ) -> Sidecar {
        let (mut command, directory) = sidecar_command(&with_management(config, management));
        let child = command
            .env("TMPDIR", shared)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let sidecar = Sidecar {
            address,
            child,
            directory,
        };
        wait_until(|| {
            try_management_request(management, "GET", "/admin/health", "").as_deref() == Some("200")
        });
        sidecar
    }

    /// Starts the sidecar with a route file.
    pub fn start_with_routes(address: SocketAddr, config: &str, routes: &str) -> Sidecar {
        let (mut command, directory) = sidecar_command(config);
        let file = directory.join("routes.toml");
        std::fs::write(&file, routes).unwrap();
        let child = command
            .env("LB_ROUTES", file)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let sidecar = Sidecar {
            address,
            child,
            directory,
        };
        wait_until(|| is_ready(address));
        sidecar
    }

    /// Starts the sidecar with a fleet file; also returns the file that its log goes to.
    pub fn start_with_fleet(
        address: SocketAddr,
        config: &str,
        fleet: &str,
    ) -> (Sidecar, std::path::PathBuf) {
        let (mut command, directory) = sidecar_command(config);
        let (file, log_path) = (directory.join("fleet.toml"), directory.join("log"));
        std::fs::write(&file, fleet).unwrap();
        let log = std::fs::File::create(&log_path).unwrap();
        let child = command.env("LB_FLEET", file).stderr(log).spawn().unwrap();
        let sidecar = Sidecar {
            address,
            child,
            directory,
        };
        wait_until(|| is_ready(address));
        (sidecar, log_path)
    }

    /// Starts a sidecar with a fleet file that hands over with others through a shared directory; waits until its
    /// management address answers.
    pub fn start_with_fleet_and_shared_directory(
        address: SocketAddr,
        management: SocketAddr,
        config: &str,
        fleet: &str,
        shared: &std::path::Path,
    ) -> Sidecar {
        let (mut command, directory) = sidecar_command(config);
        let file = directory.join("fleet.toml");
        std::fs::write(&file, fleet).unwrap();
        let log = std::fs::File::create(directory.join("log")).unwrap();
        let child = command
            .env("LB_FLEET", file)
            .env("TMPDIR", shared)
            .stderr(log)
            .spawn()
            .unwrap();
        let sidecar = Sidecar {
            address,
            child,
            directory,
        };
        wait_until(|| {
            try_management_request(management, "GET", "/admin/health", "").as_deref() == Some("200")
        });
        sidecar
    }

    /// The log so far, of a sidecar whose log goes to a file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join("log")).unwrap()
    }

    pub fn thread_names(&self) -> Vec<String> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let name = |task: std::fs::DirEntry| std::fs::read_to_string(task.path().join("comm"));
        tasks
            .flatten()
            .flat_map(|task| name(task).ok())
            .map(|name| name.trim().to_string())
            .collect()
    }

    /// A client connection with a read timeout.
    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(9)))
            .unwrap();
        BufReader::new(stream)
    }

    /// Sends one request over a new connection; the whole response.
    pub fn request(&self, request: &str) -> Message {
        round_trip(&mut self.connect(), request).expect("a response")
    }

    /// Sends a signal. After `STOP` it returns once every thread has stopped: the signal takes
    /// effect thread by thread, and on a busy machine one goes on running for some milliseconds.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &kill])
                .status()
                .unwrap()
                .success()
        );
        if name == "STOP" {
            wait_until(|| self.is_stopped());
        }
    }

    fn is_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        tasks
            .map(|task| task.unwrap().path().join("stat"))
            .all(|stat| {
                // A thread that has ended meanwhile has no file any more. The state follows the name
                // of the thread, which stands in parentheses.
                std::fs::read_to_string(stat).map_or(true, |stat| {
                    stat.rsplit_once(") ").unwrap().1.starts_with('T')
                })
            })
    }

    /// Replaces the configuration file atomically, then sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let (new, file) = (
            self.directory.join("new.json"),
            self.directory.join("config.json"),
        );
        std::fs::write(&new, config).unwrap();
        std::fs::rename(new, file).unwrap();
        self.signal("HUP");
    }

    /// Peak resident memory, in MB.
    pub fn peak_memory_mb(&self) -> usize {
        self.status_bytes("VmHWM") >> 20
    }

    /// Memory of its own, without the program's pages.
    pub fn private_memory_bytes(&self) -> usize {
        self.status_bytes("RssAnon")
    }

    /// A value of the process's status that the system counts in kB.
    pub fn status_bytes(&self, name: &str) -> usize {
        self.try_status_bytes(name).unwrap()
    }

    /// The same; none if the process has ended.
    pub fn try_status_bytes(&self, name: &str) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let value = status.lines().find_map(|line| {
            line.strip_prefix(name)?
                .strip_prefix(':')?
                .trim()
                .strip_suffix(" kB")
        });
        Some(value?.parse::<usize>().unwrap() << 10)
    }

    /// Whether the process has not ended yet.
    pub fn is_running(&self) -> bool {
        self.try_status_bytes("VmRSS").is_some()
    }

    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Sends a request over an open connection and reads one message; `None` if the connection ends.
pub fn round_trip(client: &mut BufReader<TcpStream>, request: &str) -> Option<Message> {
    client.get_mut().write_all(request.as_bytes()).ok()?;
    Message::read(client)
}

/// Whether a client has received anything that it hasn't read, or the end of its connection.
pub fn has_unread_input(client: &BufReader<TcpStream>) -> bool {
    let stream = client.get_ref();
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    !peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Whether the connection closes or is reset with nothing more to read. A read timeout does not
/// count as a close.
pub fn closes_without_data(client: &mut BufReader<TcpStream>) -> bool {
    let mut rest = Vec::new();
    let result = client.read_to_end(&mut rest);
    rest.is_empty()
        && result.map_or_else(|error| error.kind() == ErrorKind::ConnectionReset, |_| true)
}

/// A command of the safe class.
pub fn get_look(id: &str) -> String {
    format!(
        "GET /look/7?x=%20y HTTP/1.1\r\nHost: b\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 900\r\n\r\n"
    )
}

/// A command of the non-idempotent class.
pub fn post_book(id: &str) -> String {
    format!(
        "POST /book HTTP/1.1\r\nHost: b\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 900\r\nContent-Length: 4\r\n\r\nseat"
    )
}

/// Waits until the receiver of a connection has the end of it that the sender made. The loopback
/// interface may deliver it some milliseconds later on a busy machine.
pub fn wait_until_end_received(sender: SocketAddr, receiver: SocketAddr) {
    const ESTABLISHED: &str = "01";
    let socket = format!(
        "{} {} ",
        proc_net_address(receiver),
        proc_net_address(sender)
    );
    wait_until(|| {
        let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let state = sockets
            .lines()
            .find_map(|line| Some(line.split_once(&socket)?.1));
        !state.is_some_and(|state| state.starts_with(ESTABLISHED))
    });
}

/// An address as /proc/net/tcp writes it.
fn proc_net_address(address: SocketAddr) -> String {
    match address {
        SocketAddr::V4(v4) => {
            let ip = u32::from_le_bytes(v4.ip().octets());
            format!("{ip:08X}:{:04X}", v4.port())
        }
        SocketAddr::V6(_) => panic!("the tests use IPv4 only"),
    }
}

/// Draws numbers from a seed.
pub struct Draw(pub u64);

impl Draw {
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) as usize % limit
    }
}

/// The seeds that a test plays: `1` to `in_ci`, or those that PASSROAD_SEEDS=FIRST-LAST names.
pub fn drawn_seeds(in_ci: u64) -> std::ops::RangeInclusive<u64> {
    let seeds = std::env::var("PASSROAD_SEEDS").unwrap_or(format!("1-{in_ci}"));
    let (first, last) = seeds.split_once('-').expect("FIRST-LAST");
    first.parse().unwrap()..=last.parse().unwrap()
}

/// Polls a condition that usually holds within a few seconds; fails after 30 s, which allows for a
/// busy machine.
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(Instant::now() < deadline, "condition not met within 30 s");
        sleep(5 * MS);
    }
}
