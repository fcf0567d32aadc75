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

#[derive(Debug, Clone, Copy, PartialEq)]
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
    /// The machine leaves the list, or is listed again.
    Unlist,
    List,
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
        Unlist => maintenance.publish_without(Some(MACHINE_INDEX)),
        List => maintenance.publish_without(None),
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
    maintenance.publish_without(Some(MACHINE_INDEX));
    let has_left = "(s-1) has left the list";
    wait_until(|| maintenance.sidecars[SIDECAR].log().contains(has_left));
    maintenance.upgrade(SIDECAR);
    wait_until_informed(&maintenance);
    assert!(is_excluded(&maintenance, "maintenance"));
    wait_until(|| maintenance.work(0, &["done", MACHINE]).0 == Some(0));
    wait_until(|| !is_excluded(&maintenance, "maintenance"));
    maintenance.publish_without(None);
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

// The new process has no order of work: nothing could have ended what was out for maintenance.
#[rstest]
fn without_an_order_of_work_what_was_out_for_it_is_called_back_by_hand() {
    let mut maintenance = fleet(LONG_WARM_UP);
    maintenance.take_out(MACHINE);
    maintenance.file = MAINTENANCE_FILE.replace("[upkeep]\n", "");
    maintenance.upgrade(SIDECAR);
    let received = |count| maintenance.commands_received(SIDECAR, MACHINE_INDEX, count);
    assert_eq!(received(COMMANDS), 0);
    post(&maintenance, "uncordon");
    wait_until(|| received(10) > 0);
}

const DRAWN_SEEDS_IN_CI: u64 = 2;
const DRAWN_STEPS: usize = 9;
/// Long enough for some steps while a machine returns, short enough for a next turn.
const SHORT_WARM_UP: &str = "at_once = 1\nwarm = \"3s\"\n";

/// What the calls so far say of the machine.
#[derive(Debug, Default)]
struct Expected {
    cordoned: bool,
    under_maintenance: bool,
    unlisted: bool,
}

impl Expected {
    fn allows(&self, step: Step) -> bool {
        match step {
            // A machine that isn't listed can't be requested.
            TakeOut | TakeOutBesideOldProcess => !self.under_maintenance && !self.unlisted,
            Complete => self.under_maintenance,
            Unlist => !self.unlisted,
            List => self.unlisted,
            _ => true,
        }
    }

    fn record(&mut self, step: Step) {
        match step {
            TakeOut | TakeOutBesideOldProcess => self.under_maintenance = true,
            Complete => self.under_maintenance = false,
            Cordon | CordonAtOldProcess => self.cordoned = true,
            Uncordon | UncordonAtOldProcess => self.cordoned = false,
            Unlist => self.unlisted = true,
            List => self.unlisted = false,
            Upgrade | Reload => {}
        }
    }
}

fn play_drawn_steps(seed: u64) {
    const STEPS: [Step; 11] = [
        TakeOut,
        TakeOutBesideOldProcess,
        Complete,
        Complete,
        Cordon,
        Uncordon,
        Upgrade,
        CordonAtOldProcess,
        UncordonAtOldProcess,
        Unlist,
        List,
    ];
    let mut draw = Draw(seed);
    let mut maintenance = fleet(SHORT_WARM_UP);
    let (mut expected, mut steps) = (Expected::default(), Vec::new());
    while steps.len() < DRAWN_STEPS {
        let step = STEPS[draw.below(STEPS.len())];
        if !expected.allows(step) {
            continue;
        }
        // A machine that returns can't be requested again before it is warm.
        if matches!(step, TakeOut | TakeOutBesideOldProcess) {
            wait_until(|| maintenance.state(SIDECAR, MACHINE) != "returning");
        }
        steps.push(step);
        println!("seed {seed}: {steps:?}");
        take(&mut maintenance, &step);
        expected.record(step);
        let received = |count| maintenance.commands_received(SIDECAR, MACHINE_INDEX, count);
        if expected.cordoned || expected.under_maintenance {
            assert_eq!(received(COMMANDS), 0, "seed {seed}: {steps:?}");
        } else if !expected.unlisted {
            wait_until(|| received(10) > 0);
        }
    }
}

// Guards against one reason that ends the other in an order of calls that nobody thought of. PASSROAD_SEEDS=FIRST-LAST plays other
// seeds than those of CI.
#[test]
fn drawn_calls_keep_cordons_and_maintenance_apart() {
    drawn_seeds(DRAWN_SEEDS_IN_CI).for_each(play_drawn_steps);
}

// A machine that had left the list was owed a yes, and got `no endpoint of this id was listed` after two upgrades.
#[rstest]
#[case::cordoned_before_it_left(&[Cordon, Unlist, Upgrade, Uncordon, Upgrade])]
#[case::cordoned_since_it_left(&[Unlist, Cordon, Uncordon, Upgrade])]
#[case::never_cordoned(&[Unlist, Upgrade, Upgrade])]
fn a_machine_that_left_the_list_can_be_cordoned_after_upgrades(#[case] steps: &[Step]) {
    let mut maintenance = fleet(LONG_WARM_UP);
    for step in steps {
        take(&mut maintenance, step);
        if *step == Unlist {
            let has_left = "(s-1) has left the list";
            wait_until(|| maintenance.sidecars[SIDECAR].log().contains(has_left));
        }
    }
    take(&mut maintenance, &Cordon);
    take(&mut maintenance, &List);
    let received = |count| maintenance.commands_received(SIDECAR, MACHINE_INDEX, count);
    assert_eq!(received(COMMANDS), 0);
    post(&maintenance, "uncordon");
    wait_until(|| received(10) > 0);
}
