//! Several sidecars that talk, in front of machines whose maintenance they coordinate.

#![allow(dead_code)] // each test file uses only some of this

use super::harness::*;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// UDP addresses that nobody else uses.
pub fn unused_udp_addresses(count: usize) -> Vec<SocketAddr> {
    let bound: Vec<_> = (0..count)
        .map(|_| UdpSocket::bind(SocketAddr::new(unused_address().ip(), 0)).unwrap())
        .collect();
    bound
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect()
}

/// The configuration of the sidecar with this index.
pub fn peer_config(
    index: usize,
    peers: &[SocketAddr],
    address: SocketAddr,
    management: SocketAddr,
    may_tell: bool,
) -> String {
    let discovery = unused_address();
    peer_config_with_endpoints(index, peers, address, management, may_tell, discovery, "")
}

/// The same, with discovery and known endpoints.
pub fn peer_config_with_endpoints(
    index: usize,
    peers: &[SocketAddr],
    address: SocketAddr,
    management: SocketAddr,
    may_tell: bool,
    discovery: SocketAddr,
    known: &str,
) -> String {
    let settings = SETTINGS.replacen('{', &format!(r#"{{"my_number":{index},"#), 1);
    let settings = settings.replace(
        r#""allowed":{"#,
        &format!(r#""allowed":{{"may_tell":{may_tell},"#),
    );
    let list: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let peer_settings = format!(
        r#"{{"peer_listen":"{}","peers":[{}],"#,
        peers[index],
        list.join(",")
    );
    with_management(
        &config_json(address, discovery, known, &settings).replacen('{', &peer_settings, 1),
        management,
    )
}

/// Three sidecars in front of four machines, whose maintenance the sidecars coordinate.
pub struct Maintenance {
    pub sidecars: Vec<Sidecar>,
    pub management_addresses: Vec<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub machines: Vec<FakeServer>,
    discovery: FakeDiscovery,
    revision: u64, // of the list
    shared: SharedDirectory,
    /// The fleet file of processes that start from now on.
    pub file: String,
}

pub const MAINTENANCE_FILE: &str = "lease = \"2s\"\nperiod = \"200ms\"\nvoters = 3\n[upkeep]\n";

/// The members of a list that has all machines but one.
fn list_without(machines: &[FakeServer], left_out: Option<usize>) -> String {
    let listed = machines
        .iter()
        .enumerate()
        .filter(|(n, _)| Some(*n) != left_out);
    let members: Vec<String> = listed
        .map(|(n, machine)| member(&format!("s-{n}"), machine.address, "up"))
        .collect();
    members.join(",")
}

impl Maintenance {
    pub fn new(
        handler: impl Fn(usize, &Message, &mut TcpStream) -> bool + Clone + Send + Sync + 'static,
    ) -> Maintenance {
        Maintenance::with_file(MAINTENANCE_FILE, handler)
    }

    /// The same, with this fleet file.
    pub fn with_file(
        file: &str,
        handler: impl Fn(usize, &Message, &mut TcpStream) -> bool + Clone + Send + Sync + 'static,
    ) -> Maintenance {
        let machine = |n: usize| {
            let handler = handler.clone();
            fake_server(move |message, to| handler(n, message, to))
        };
        let (peers, management_addresses) = (
            unused_udp_addresses(3),
            (0..3).map(|_| unused_address()).collect(),
        );
        let machines: Vec<FakeServer> = (0..4).map(machine).collect();
        let mut maintenance = Maintenance {
            sidecars: Vec::new(),
            management_addresses,
            peers,
            discovery: fake_discovery(&list_without(&machines, None)),
            revision: 1,
            machines,
            shared: shared_directory(),
            file: file.into(),
        };
        maintenance.sidecars = (0..3).map(|n| maintenance.start(n)).collect();
        maintenance
    }

    /// The configuration of a sidecar at this address.
    pub fn config(&self, n: usize, address: SocketAddr) -> String {
        let config = peer_config_with_endpoints(
            n,
            &self.peers,
            address,
            self.management_addresses[n],
            true,
            self.discovery.server.address,
            &list_without(&self.machines, None),
        );
        // Held commands must not time out, even on a busy machine. Both processes of an upgrade need descriptors.
        config
            .replace(
                "\"response_goal\":400000000,\"time_limit\":1000000000",
                "\"response_goal\":50000000000,\"time_limit\":60000000000",
            )
            .replace("\"sockets\":64", "\"sockets\":256")
    }

    pub fn start(&self, n: usize) -> Sidecar {
        self.start_at(n, unused_address())
    }

    fn start_at(&self, n: usize, address: SocketAddr) -> Sidecar {
        Sidecar::start_with_fleet_and_shared_directory(
            address,
            self.management_addresses[n],
            &self.config(n, address),
            &self.file,
            &self.shared.0,
        )
    }

    /// Starts a process beside that of a sidecar, which takes over from it. Returns the old one.
    pub fn start_successor(&mut self, n: usize) -> Predecessor {
        let management = std::mem::replace(&mut self.management_addresses[n], unused_address());
        let new = self.start_at(n, self.sidecars[n].address);
        let sidecar = std::mem::replace(&mut self.sidecars[n], new);
        Predecessor {
            sidecar,
            management,
        }
    }

    /// Replaces the process of a sidecar by a new one.
    pub fn upgrade(&mut self, n: usize) {
        self.start_successor(n).stop();
    }

    /// Has discovery list all machines, or all but one.
    pub fn publish_without(&mut self, left_out: Option<usize>) {
        self.revision += 1;
        self.discovery
            .publish(self.revision, list_without(&self.machines, left_out));
    }

    /// Requests maintenance of a machine, and waits until all sidecars have it under maintenance.
    pub fn take_out(&self, machine: &str) {
        wait_until(|| {
            self.work(0, &["request", machine])
                .1
                .contains("taken into the order")
        });
        (0..3).for_each(|n| self.wait_for_state(n, machine, "at work"));
    }

    /// Ends the maintenance of a machine, and waits until all sidecars know.
    pub fn complete(&self, machine: &str) {
        wait_until(|| self.work(0, &["done", machine]).0 == Some(0));
        let is_back = |n| matches!(self.state(n, machine).as_str(), "returning" | "warm");
        wait_until(|| (0..3).all(is_back));
    }

    /// Sends commands through one sidecar; how many of them a machine received.
    pub fn commands_received(&self, n: usize, machine: usize, count: usize) -> usize {
        static SENT: AtomicUsize = AtomicUsize::new(0);
        let before = self.machines[machine].request_count();
        for _ in 0..count {
            let id = format!("c-{}", SENT.fetch_add(1, SeqCst));
            let command = with_60_s_deadline(&get_look(&id));
            assert_eq!(self.sidecars[n].request(&command).status(), "200");
        }
        self.machines[machine].request_count() - before
    }

    /// Runs `passroad work` against one sidecar; exit code and output.
    pub fn work(&self, sidecar: usize, arguments: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_passroad"));
        let management = self.management_addresses[sidecar].to_string();
        let output = command
            .arg("work")
            .args(arguments)
            .args(["--door", &management])
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        )
    }

    /// The state of a machine as one sidecar reports it.
    pub fn state(&self, sidecar: usize, machine: &str) -> String {
        let (_, output) = self.work(sidecar, &["status"]);
        let line = output
            .lines()
            .find(|line| line.contains(machine))
            .unwrap_or_default();
        line.split_whitespace()
            .skip(2)
            .collect::<Vec<_>>()
            .join(" ")
    }

    pub fn wait_for_state(&self, sidecar: usize, machine: &str, state: &str) {
        wait_until(|| self.state(sidecar, machine) == state);
    }

    /// Sends commands through all sidecars; the machines that received some.
    pub fn machines_receiving(&self) -> Vec<usize> {
        let counts = || {
            self.machines
                .iter()
                .map(FakeServer::request_count)
                .collect::<Vec<_>>()
        };
        let before = counts();
        for (n, sidecar) in self.sidecars.iter().enumerate() {
            for k in 0..20 {
                let command = with_60_s_deadline(&get_look(&format!("{n}-{k}-{}", before[0])));
                assert_eq!(sidecar.request(&command).status(), "200");
            }
        }
        counts()
            .iter()
            .zip(before)
            .enumerate()
            .filter(|(_, (after, before))| *after > before)
            .map(|(n, _)| n)
            .collect()
    }
}

/// Raises the deadline of a command to just under the time limit of these settings.
pub fn with_60_s_deadline(command: &str) -> String {
    command.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 59900")
}

pub fn respond_ok(_: usize, _: &Message, to: &mut TcpStream) -> bool {
    respond(to, "200 OK", "", b"ok");
    true
}

/// The old process of an upgrade.
pub struct Predecessor {
    pub sidecar: Sidecar,
    pub management: SocketAddr,
}

impl Predecessor {
    /// Ends the process as an upgrade does.
    pub fn stop(mut self) {
        self.sidecar.signal("TERM");
        wait_until(|| self.sidecar.child.try_wait().unwrap().is_some());
    }
}
