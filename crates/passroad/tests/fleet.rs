//! Several sidecar processes that exchange messages on loopback: leased duties, their owners, and
//! maintenance of machines.

mod harness;
mod maintenance;

use harness::*;
use maintenance::*;
use rstest::rstest;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::Command;
use std::sync::{Arc, Mutex};

/// A request of the owner of a duty to the resource.
#[derive(Clone, Copy, Debug)]
struct Act {
    epoch: u64,
    owner: usize,
    accepted: bool,
}

type Acts = Arc<Mutex<Vec<Act>>>;

/// A resource that rejects requests with an epoch lower than the highest accepted one (a fencing
/// token).
fn resource() -> (FakeServer, Acts) {
    let acts = Acts::default();
    let recorded = Arc::clone(&acts);
    let server = fake_server(move |message, to| {
        let number = |name| message.header(name).unwrap().parse::<u64>().unwrap();
        let (epoch, owner) = (number("epoch"), number("owner") as usize);
        let mut acts = recorded.lock().unwrap();
        let highest = acts
            .iter()
            .filter(|act| act.accepted)
            .map(|act| act.epoch)
            .max()
            .unwrap_or(0);
        acts.push(Act {
            epoch,
            owner,
            accepted: epoch >= highest,
        });
        match epoch >= highest {
            true => respond(to, "200 OK", "", b""),
            false => respond(to, "409 Conflict", &format!("Epoch: {highest}\r\n"), b""),
        }
        true
    });
    (server, acts)
}

/// A fleet file with the duty `sweep`, whose owner calls the resource at this address.
fn fleet_file(resource: SocketAddr) -> String {
    format!(
        "lease = \"600ms\"\nperiod = \"200ms\"\nvoters = 3\n[[duty]]\nname = \"sweep\"\nevery = \"20ms\"\n\
         within = \"200ms\"\ncall = \"http://{resource}/sweep\"\n"
    )
}

struct Fleet {
    sidecars: Vec<Sidecar>,
    management_addresses: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    acts: Acts,
}

fn start_fleet(count: usize) -> Fleet {
    let (resource, acts) = resource();
    let peers = unused_udp_addresses(count);
    let management_addresses: Vec<_> = (0..count).map(|_| unused_address()).collect();
    let start = |n: usize| {
        let address = unused_address();
        Sidecar::start_with_fleet(
            address,
            &peer_config(n, &peers, address, management_addresses[n], true),
            &fleet_file(resource.address),
        )
        .0
    };
    let sidecars = (0..count).map(start).collect();
    Fleet {
        sidecars,
        management_addresses,
        peers: peers.clone(),
        acts,
    }
}

impl Fleet {
    fn owner(&self) -> usize {
        wait_until(|| !self.acts.lock().unwrap().is_empty());
        self.acts.lock().unwrap().last().unwrap().owner
    }

    /// Epochs of accepted requests never decrease, and each belongs to one owner.
    fn assert_epochs_ordered(&self) {
        let acts = self.acts.lock().unwrap();
        let accepted: Vec<_> = acts.iter().filter(|act| act.accepted).collect();
        assert!(
            accepted
                .windows(2)
                .all(|pair| pair[0].epoch <= pair[1].epoch),
            "{acts:?}"
        );
        assert!(
            accepted
                .windows(2)
                .all(|pair| pair[0].epoch < pair[1].epoch || pair[0].owner == pair[1].owner),
            "{acts:?}"
        );
    }
}

/// Status and body of `GET /admin/fleet`.
fn fleet_status(management: SocketAddr) -> (String, String) {
    let request = "GET /admin/fleet HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n";
    let mut client = BufReader::new(TcpStream::connect(management).unwrap());
    let response = round_trip(&mut client, request).expect("a response");
    (
        response.status().to_string(),
        String::from_utf8_lossy(&response.body).into_owned(),
    )
}

#[rstest]
#[case::stopped("TERM")]
#[case::killed("KILL")]
fn another_sidecar_takes_over_and_the_old_owner_stays_silent(#[case] signal: &str) {
    let fleet = start_fleet(3);
    let owner = fleet.owner();
    fleet.sidecars[owner].signal(signal);
    wait_until(|| {
        fleet
            .acts
            .lock()
            .unwrap()
            .last()
            .is_some_and(|act| act.owner != owner)
    });
    let count = fleet.acts.lock().unwrap().len();
    wait_until(|| fleet.acts.lock().unwrap().len() > count + 20);
    fleet.assert_epochs_ordered();
    let acts = fleet.acts.lock().unwrap();
    let last = acts
        .iter()
        .rposition(|act| act.owner == owner && act.accepted)
        .unwrap();
    assert!(last < count, "{acts:?}");
}

// The owner is paused for longer than its lease with a request in flight. When it continues it is
// no longer the owner and must acquire the lease again before it acts.
#[rstest]
fn paused_owner_acts_no_more_with_its_old_epoch() {
    let fleet = start_fleet(3);
    let owner = fleet.owner();
    fleet.sidecars[owner].signal("STOP");
    wait_until(|| {
        fleet
            .acts
            .lock()
            .unwrap()
            .last()
            .is_some_and(|act| act.owner != owner)
    });
    let count = fleet.acts.lock().unwrap().len();
    wait_until(|| fleet.acts.lock().unwrap().len() > count + 10);
    fleet.sidecars[owner].signal("CONT");
    let count = fleet.acts.lock().unwrap().len();
    wait_until(|| fleet.acts.lock().unwrap().len() > count + 20);
    fleet.assert_epochs_ordered();
    // A request with its old epoch that arrives after one of the new owner was in flight, and is
    // rejected.
    let acts = fleet.acts.lock().unwrap();
    let other = acts.iter().position(|act| act.owner != owner).unwrap();
    let old = acts[other..]
        .iter()
        .filter(|act| act.owner == owner && act.epoch < acts[other].epoch);
    assert!(
        old.clone().all(|act| !act.accepted) && old.count() <= 1,
        "{acts:?}"
    );
}

#[rstest]
fn fleet_status_shows_the_owners() {
    let fleet = start_fleet(3);
    let owner = fleet.owner();
    let owner_entry = format!("\"owner\":{owner}");
    wait_until(|| {
        fleet
            .management_addresses
            .iter()
            .all(|management| fleet_status(*management).1.contains(&owner_entry))
    });
    let run_status = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_passroad"));
        let output = command
            .args([
                "fleet",
                "status",
                "--door",
                &fleet.management_addresses[0].to_string(),
            ])
            .args(arguments)
            .output();
        let output = output.unwrap();
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    let table = run_status(&[]);
    assert!(
        table.contains("sidecar 0 of 3: 3 alive, 0 suspect, 0 dead") && table.contains("sweep"),
        "{table}"
    );
    assert!(run_status(&["--json"]).contains(&owner_entry));
    let unreachable = Command::new(env!("CARGO_BIN_EXE_passroad"))
        .args(["fleet", "status", "--door", &unused_address().to_string()])
        .output()
        .unwrap();
    assert_eq!(unreachable.status.code(), Some(2));
}

// Datagrams from an address that is not a peer are dropped, counted, and have no effect.
#[rstest]
fn datagrams_of_strangers_are_dropped_and_counted() {
    let fleet = start_fleet(3);
    // A sidecar that reports fleet status has bound its UDP address; datagrams sent earlier would
    // be lost.
    wait_until(|| {
        fleet
            .management_addresses
            .iter()
            .all(|management| fleet_status(*management).0 == "200")
    });
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for bytes in [&b"GET / HTTP/1.1"[..], &[0xb5, 1, 9], &[0; 256], &[]] {
        fleet
            .peers
            .iter()
            .for_each(|to| drop(stranger.send_to(bytes, to)));
    }
    let drop_count = "of an address that is not in peers\":4";
    wait_until(|| {
        fleet
            .management_addresses
            .iter()
            .all(|management| fleet_status(*management).1.contains(drop_count))
    });
    let count = fleet.acts.lock().unwrap().len();
    wait_until(|| fleet.acts.lock().unwrap().len() > count + 5);
}

#[rstest]
fn without_a_fleet_file_or_permission_there_is_no_fleet_thread() {
    let (peers, address, management) =
        (unused_udp_addresses(2), unused_address(), unused_address());
    let plain = Sidecar::start(address, &peer_config(0, &peers, address, management, true));
    assert!(!plain.thread_names().contains(&"fleet".to_string()));
    assert_eq!(fleet_status(management).0, "404");
    // The UDP address is not bound.
    drop(UdpSocket::bind(peers[0]).unwrap());
    let (address, management) = (unused_address(), unused_address());
    let config = peer_config(1, &peers, address, management, false);
    let (forbidden, log) =
        Sidecar::start_with_fleet(address, &config, &fleet_file(unused_address()));
    assert!(!forbidden.thread_names().contains(&"fleet".to_string()));
    assert_eq!(fleet_status(management).0, "404");
    drop(UdpSocket::bind(peers[1]).unwrap());
    let log = std::fs::read_to_string(log).unwrap();
    assert_eq!(
        log.matches("the settings forbid messages between sidecars")
            .count(),
        1,
        "{log}"
    );
}

#[rstest]
#[case::valid(|text: String| text, 0, "1 duties among 2 sidecars")]
#[case::invalid(|text: String| text.replace("voters = 3", "voters = 2"), 2, "line 3: voters: 2 is not 1, 3, 5 or 7")]
fn fleet_file_is_checked(
    #[case] change: fn(String) -> String,
    #[case] code: i32,
    #[case] message: &str,
) {
    let (mut command, directory) = sidecar_command(&peer_config(
        0,
        &unused_udp_addresses(2),
        unused_address(),
        unused_address(),
        true,
    ));
    let path = directory.join("fleet.toml");
    std::fs::write(&path, change(fleet_file(unused_address()))).unwrap();
    let output = command
        .arg("check")
        .arg("--fleet")
        .arg(path)
        .output()
        .unwrap();
    std::fs::remove_dir_all(directory).unwrap();
    let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    assert!(
        output.status.code() == Some(code) && text.contains(message),
        "{text}"
    );
}

// A voter that restarts with its state file has kept its state; the file of another sidecar is
// refused.
#[rstest]
fn state_file_is_kept_and_refused_to_another_sidecar() {
    let (resource, acts) = resource();
    let (peers, directory) = (unused_udp_addresses(1), shared_directory());
    let state = directory.0.join("state");
    let fleet_file = format!(
        "state = {:?}\n{}",
        state.display().to_string(),
        fleet_file(resource.address)
    );
    let start = || {
        let address = unused_address();
        Sidecar::start_with_fleet(
            address,
            &peer_config(0, &peers, address, unused_address(), true),
            &fleet_file,
        )
        .0
    };
    let first = start();
    wait_until(|| !acts.lock().unwrap().is_empty());
    drop(first);
    let count = acts.lock().unwrap().len();
    let second = start();
    wait_until(|| acts.lock().unwrap().len() > count);
    let acts = acts.lock().unwrap();
    assert!(
        acts[count].epoch > acts[0].epoch && acts[count].accepted,
        "{acts:?}"
    );
    drop(second);
    let (mut command, other) = sidecar_command(
        &peer_config(0, &peers, unused_address(), unused_address(), true)
            .replace("\"n0\"", "\"n1\""),
    );
    std::fs::write(other.join("fleet.toml"), &fleet_file).unwrap();
    let output = command
        .env("LB_FLEET", other.join("fleet.toml"))
        .output()
        .unwrap();
    std::fs::remove_dir_all(other).unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(2) && text.contains("it is of n0, not of n1"),
        "{text}"
    );
}

// The main function: a request at any sidecar takes one machine after the other out of use at all
// sidecars, and back into use.
#[rstest]
fn machines_are_maintained_one_after_the_other_at_all_sidecars() {
    let maintenance = Maintenance::new(respond_ok);
    assert_eq!(maintenance.machines_receiving(), [0, 1, 2, 3]);
    wait_until(|| {
        maintenance
            .work(2, &["request", "s-1", "s-3", "--name", "patch"])
            .1
            .contains("taken into the order")
    });
    // The same request, repeated by its name at another sidecar, is not queued twice.
    wait_until(|| {
        maintenance
            .work(0, &["request", "s-1", "s-3", "--name", "patch"])
            .1
            .contains("taken into the order")
    });
    maintenance.wait_for_state(1, "s-1", "at work");
    assert_eq!(maintenance.state(1, "s-3"), "queued");
    assert_eq!(maintenance.machines_receiving(), [0, 2, 3]);
    assert_eq!(maintenance.work(0, &["withdraw", "s-1"]).0, Some(2));
    assert_eq!(maintenance.work(0, &["done", "s-1"]).0, Some(0));
    maintenance.wait_for_state(1, "s-3", "at work");
    assert_eq!(maintenance.state(1, "s-1"), "warm");
    assert_eq!(maintenance.machines_receiving(), [0, 1, 2]);
    assert_eq!(maintenance.work(2, &["done", "s-3"]).0, Some(0));
    maintenance.wait_for_state(0, "s-3", "warm");
    assert_eq!(maintenance.machines_receiving(), [0, 1, 2, 3]);
    assert_eq!(maintenance.work(1, &["request", "s-9"]).0, Some(2));
}

// Machines may be selected by their labels in the list. A selection of none, or an invalid one, is
// rejected with a reason.
#[rstest]
#[case::by_zone(&["request", "--zone", "a"], 0, "taken into the order")]
#[case::by_kind_and_cell(&["request", "--kind", "m", "--cell", "0"], 0, "taken into the order")]
#[case::no_match(&["request", "--zone", "x"], 2, "these are 0")]
#[case::name_and_label(&["request", "s-1", "--zone", "a"], 2, "cannot be used with")]
#[case::no_selection(&["request"], 2, "required")]
#[case::time_without_unit(&["request", "s-1", "--for", "5"], 2, "has no unit")]
#[case::too_long(&["request", "s-1", "--for", "60000m"], 2, "to thirty days")]
#[case::unknown(&["done", "s-9"], 2, "no such machine is listed")]
fn maintenance_may_be_requested_by_label(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] message: &str,
) {
    let maintenance = Maintenance::new(respond_ok);
    // Until there is a coordinator, a request is only held.
    wait_until(|| {
        (0..3).any(|index| {
            maintenance
                .work(index, &["status", "--json"])
                .1
                .contains("\"conducts\":true")
        })
    });
    let mut last = (None, String::new());
    wait_until(|| {
        last = maintenance.work(1, arguments);
        !last.1.contains("no conductor has answered yet")
    });
    assert!(last.0 == Some(code) && last.1.contains(message), "{last:?}");
    if arguments.len() > 2 && code == 0 {
        wait_until(|| maintenance.work(1, &["status"]).1.lines().count() == 4);
    }
}

// A command that one sidecar still has open on a machine delays its maintenance at all of them.
#[rstest]
fn maintenance_starts_only_when_no_command_is_open_on_the_machine() {
    let gate = Gate::default();
    let handler_gate = gate.clone();
    let maintenance = Maintenance::new(move |n, message, to| {
        if n == 1
            && message
                .header("req-id")
                .is_some_and(|id| id.starts_with("held"))
        {
            handler_gate.wait_until_open();
        }
        respond_ok(n, message, to)
    });
    let mut client = maintenance.sidecars[2].connect();
    let mut n = 0;
    // Send commands until one is open on the machine that is to be maintained.
    while maintenance.machines[1]
        .requests
        .lock()
        .unwrap()
        .iter()
        .all(|request| !request.head.contains("held"))
    {
        n += 1;
        let command = with_60_s_deadline(&get_look(&format!("held-{n}")));
        client.get_mut().write_all(command.as_bytes()).unwrap();
        wait_until(|| {
            maintenance.machines.iter().any(|machine| {
                machine
                    .requests
                    .lock()
                    .unwrap()
                    .iter()
                    .any(|request| request.head.contains(&format!("held-{n}\r")))
            })
        });
        if maintenance.machines[1]
            .requests
            .lock()
            .unwrap()
            .iter()
            .all(|request| !request.head.contains("held"))
        {
            Message::read(&mut client).unwrap();
        }
    }
    wait_until(|| {
        maintenance
            .work(0, &["request", "s-1"])
            .1
            .contains("taken into the order")
    });
    maintenance.wait_for_state(0, "s-1", "leaving");
    (0..3).for_each(|index| maintenance.wait_for_state(index, "s-1", "leaving"));
    let (_, output) = maintenance.work(2, &["status", "--json"]);
    assert!(output.contains("\"free_here\":false"), "{output}");
    gate.open();
    maintenance.wait_for_state(0, "s-1", "at work");
}

// The coordinator is killed and starts again without state: it knows which machine is under
// maintenance before its first command.
#[rstest]
fn maintenance_order_survives_its_coordinator_and_reaches_a_new_sidecar() {
    let mut maintenance = Maintenance::new(respond_ok);
    wait_until(|| {
        maintenance
            .work(2, &["request", "s-1", "s-3"])
            .1
            .contains("taken into the order")
    });
    // If only the coordinator knew, the machine could be `leaving` again after its end.
    (0..3).for_each(|index| maintenance.wait_for_state(index, "s-1", "at work"));
    let coordinates = |index: usize| {
        maintenance
            .work(index, &["status", "--json"])
            .1
            .contains("\"conducts\":true")
    };
    let coordinator = (0..3).find(|index| coordinates(*index)).unwrap();
    maintenance.sidecars[coordinator].signal("KILL");
    let other = (coordinator + 1) % 3;
    wait_until(|| (0..3).any(|index| index != coordinator && coordinates(index)));
    assert_eq!(
        (
            maintenance.state(other, "s-1").as_str(),
            maintenance.state(other, "s-3").as_str()
        ),
        ("at work", "queued")
    );
    let again = maintenance.start(coordinator);
    drop(std::mem::replace(
        &mut maintenance.sidecars[coordinator],
        again,
    ));
    assert_eq!(maintenance.machines_receiving(), [0, 2, 3]);
    wait_until(|| maintenance.work(coordinator, &["done", "s-1"]).0 == Some(0));
    maintenance.wait_for_state(coordinator, "s-3", "at work");
    assert_eq!(maintenance.machines_receiving(), [0, 1, 2]);
}

// A paused sidecar does not answer: the maintenance waits for it, or for an operator who overrides
// it.
#[rstest]
fn silent_sidecar_is_waited_for_or_overridden() {
    let maintenance = Maintenance::new(respond_ok);
    wait_until(|| {
        maintenance
            .work(2, &["request", "s-1"])
            .1
            .contains("taken into the order")
    });
    maintenance.wait_for_state(0, "s-1", "at work");
    assert_eq!(maintenance.work(0, &["done", "s-1"]).0, Some(0));
    maintenance.wait_for_state(0, "s-1", "warm");
    let coordinates = |index: usize| {
        maintenance
            .work(index, &["status", "--json"])
            .1
            .contains("\"conducts\":true")
    };
    let coordinator = (0..3).find(|index| coordinates(*index)).unwrap();
    let silent = (coordinator + 1) % 3;
    maintenance.sidecars[silent].signal("STOP");
    wait_until(|| {
        maintenance
            .work(coordinator, &["request", "s-2"])
            .1
            .contains("taken into the order")
    });
    maintenance.wait_for_state(coordinator, "s-2", "leaving");
    assert_eq!(maintenance.work(coordinator, &["done", "s-2"]).0, Some(2));
    assert_eq!(maintenance.work(coordinator, &["force", "s-2"]).0, Some(0));
    maintenance.wait_for_state(coordinator, "s-2", "at work");
    maintenance.sidecars[silent].signal("CONT");
    maintenance.wait_for_state(silent, "s-2", "at work");
    assert_eq!(maintenance.machines_receiving(), [0, 1, 3]);
}
