//! Endpoints that operators cordon at a sidecar while the fleet takes them out for maintenance, over upgrades and reloads.

mod harness;
mod maintenance;

use harness::*;
use maintenance::*;
use rstest::rstest;
use std::io::Write;

/// The sidecar at which operators cordon, and which is upgraded.
const SIDECAR: usize = 2;
const MACHINE: &str = "s-1";
const MACHINE_INDEX: usize = 1;
/// Enough that a machine in use gets some, also while it is cold.
const COMMANDS: usize = 150;
/// Long enough that a machine stays in the state `returning` for the whole test.
const LONG_WARM_UP: &str = "at_once = 1\nwarm = \"60s\"\n";

enum Step {
    /// The machine is requested and goes under maintenance.
    TakeOut,
    /// Its maintenance ends.
    Complete,
    Cordon,
    Uncordon,
    /// The sidecar is upgraded.
    Upgrade,
    /// The sidecar is upgraded, and the machine cordoned or uncordoned at the old process while the new one runs.
    CordonAtOldProcess,
    UncordonAtOldProcess,
    /// The machine goes under maintenance while both processes of an upgrade run.
    TakeOutBesideOldProcess,
    /// The sidecar reads its configuration again.
    Reload,
}
use Step::*;

fn fleet(upkeep: &str) -> Maintenance {
    Maintenance::with_file(&format!("{MAINTENANCE_FILE}{upkeep}"), respond_ok)
}

fn post(maintenance: &Maintenance, action: &str) {
    let management = maintenance.management_addresses[SIDECAR];
    assert_eq!(post_cordon(management, action, MACHINE), "200");
}

fn post_to_old_process(maintenance: &mut Maintenance, action: &str) {
    let old = maintenance.start_successor(SIDECAR);
    assert_eq!(post_cordon(old.management, action, MACHINE), "200");
    old.stop();
}

fn take(maintenance: &mut Maintenance, step: &Step) {
    match step {
        TakeOut => maintenance.take_out(MACHINE),
        Complete => maintenance.complete(MACHINE),
        Cordon => post(maintenance, "cordon"),
        Uncordon => post(maintenance, "uncordon"),
        Upgrade => maintenance.upgrade(SIDECAR),
        CordonAtOldProcess => post_to_old_process(maintenance, "cordon"),
        UncordonAtOldProcess => post_to_old_process(maintenance, "uncordon"),
        TakeOutBesideOldProcess => {
            let old = maintenance.start_successor(SIDECAR);
            wait_until(|| {
                maintenance
                    .work(0, &["request", MACHINE])
                    .1
                    .contains("taken into the order")
            });
            old.stop();
            (0..3).for_each(|n| maintenance.wait_for_state(n, MACHINE, "at work"));
        }
        Reload => {
            let sidecar = &maintenance.sidecars[SIDECAR];
            sidecar.reload(&maintenance.config(SIDECAR, sidecar.address));
        }
    }
}

/// Whether the machine is out of use at the sidecar for this reason.
fn is_excluded(maintenance: &Maintenance, reason: &str) -> bool {
    let page = management_page(maintenance.management_addresses[SIDECAR], "/admin/metrics");
    let excluded = page["excluded"][reason].as_array().unwrap();
    excluded.iter().any(|id| id == MACHINE)
}

/// Waits until the sidecar knows the operation log again, as far as there is one.
fn wait_until_informed(maintenance: &Maintenance) {
    wait_until(|| {
        maintenance
            .work(SIDECAR, &["status", "--json"])
            .1
            .contains("\"informed\":true")
    });
}

// An operator's cordon ended by the maintenance of its endpoint, or by an upgrade: commands ran on an endpoint that
// nobody had called back.
#[rstest]
#[case::cordoned_while_it_returns(&[TakeOut, Complete, Cordon, Upgrade])]
#[case::cordoned_at_the_old_process_while_it_returns(&[TakeOut, Complete, CordonAtOldProcess])]
#[case::cordoned_under_maintenance(&[TakeOut, Cordon, Complete])]
#[case::cordoned_before_maintenance(&[Cordon, TakeOut, Complete])]
#[case::cordoned_under_maintenance_then_upgraded(&[TakeOut, Cordon, Upgrade, Complete])]
#[case::cordoned_at_the_old_process_under_maintenance(&[TakeOut, CordonAtOldProcess, Complete])]
#[case::cordoned_before_maintenance_then_upgraded(&[Cordon, TakeOut, Upgrade, Complete])]
#[case::maintained_twice(&[Cordon, TakeOut, Complete, Upgrade, Upgrade])]
#[case::cordoned_then_reloaded(&[TakeOut, Cordon, Reload, Complete, Reload])]
fn a_cordon_holds_until_it_is_called_back(#[case] steps: &[Step]) {
    let mut maintenance = fleet(LONG_WARM_UP);
    for step in steps {
        take(&mut maintenance, step);
    }
    wait_until_informed(&maintenance);
    let received = |count| maintenance.commands_received(SIDECAR, MACHINE_INDEX, count);
    assert_eq!(received(COMMANDS), 0);
    post(&maintenance, "uncordon");
    wait_until(|| received(10) > 0);
}

// An operator's call back ended the maintenance of its endpoint at that sidecar: commands ran on a machine at work.
#[rstest]
#[case::called_back(&[TakeOut, Cordon, Uncordon])]
#[case::called_back_without_a_cordon(&[TakeOut, Uncordon])]
#[case::called_back_then_upgraded(&[TakeOut, Cordon, Uncordon, Upgrade])]
#[case::called_back_at_the_old_process(&[TakeOut, Cordon, UncordonAtOldProcess])]
#[case::upgraded(&[TakeOut, Upgrade, Upgrade])]
#[case::taken_out_during_an_upgrade(&[TakeOutBesideOldProcess, Upgrade])]
fn maintenance_holds_until_it_is_done(#[case] steps: &[Step]) {
    let mut maintenance = fleet(LONG_WARM_UP);
    for step in steps {
        take(&mut maintenance, step);
    }
    let received = |count| maintenance.commands_received(SIDECAR, MACHINE_INDEX, count);
    assert_eq!(received(COMMANDS), 0);
    wait_until_informed(&maintenance);
    assert_eq!(received(COMMANDS), 0);
    maintenance.complete(MACHINE);
    wait_until(|| received(10) > 0);
}

// The machine was not listed while the sidecar was upgraded and its maintenance ended: it stayed out of use there for good.
#[rstest]
fn maintenance_of_a_machine_that_left_the_list_ends_after_an_upgrade() {
    let mut maintenance = fleet(LONG_WARM_UP);
    maintenance.take_out(MACHINE);
    maintenance.publish_without(2, Some(MACHINE_INDEX));
    let has_left = "(s-1) has left the list";
    wait_until(|| maintenance.sidecars[SIDECAR].log().contains(has_left));
    maintenance.upgrade(SIDECAR);
    wait_until_informed(&maintenance);
    assert!(is_excluded(&maintenance, "maintenance"));
    wait_until(|| maintenance.work(0, &["done", MACHINE]).0 == Some(0));
    wait_until(|| !is_excluded(&maintenance, "maintenance"));
    maintenance.publish_without(3, None);
    wait_until(|| maintenance.commands_received(SIDECAR, MACHINE_INDEX, 10) > 0);
}

// The old process of an upgrade still had a command on the machine, and the new one said that the sidecar had none.
#[rstest]
fn maintenance_waits_for_the_commands_of_the_old_process() {
    let gate = Gate::default();
    let handler_gate = gate.clone();
    let mut maintenance = Maintenance::with_file(MAINTENANCE_FILE, move |n, message, to| {
        let is_held = message
            .header("req-id")
            .is_some_and(|id| id.starts_with("held"));
        if n == MACHINE_INDEX && is_held {
            handler_gate.wait_until_open();
        }
        respond_ok(n, message, to)
    });
    let mut client = maintenance.sidecars[SIDECAR].connect();
    let holds = |maintenance: &Maintenance| {
        let requests = maintenance.machines[MACHINE_INDEX].requests.lock().unwrap();
        requests.iter().any(|request| request.head.contains("held"))
    };
    // Commands are sent until the machine holds one of them.
    let mut sent = 0;
    while !holds(&maintenance) {
        sent += 1;
        let command = with_60_s_deadline(&get_look(&format!("held-{sent}")));
        client.get_mut().write_all(command.as_bytes()).unwrap();
        let is_open = || holds(&maintenance);
        wait_until(|| is_open() || has_unread_input(&client));
        if !is_open() {
            Message::read(&mut client).unwrap();
        }
    }
    let mut old = maintenance.start_successor(SIDECAR);
    old.sidecar.signal("TERM");
    wait_until(|| {
        maintenance
            .work(0, &["request", MACHINE])
            .1
            .contains("taken into the order")
    });
    maintenance.wait_for_state(0, MACHINE, "at work");
    let has_ended = old.sidecar.child.try_wait().unwrap().is_some();
    assert!(has_ended, "at work beside a command of the old process");
    gate.open();
}
