use super::*;
use proptest::prelude::*;
use rstest::rstest;
use std::cell::RefCell;

const MS: Duration = Duration::from_millis(1);

fn limits() -> Limits {
    Limits {
        max_out: 1,
        max_out_per_zone: 1,
        max_out_per_cell: 1,
        capacity_reserve: 0.1,
        warm_up_time: Duration::from_secs(2),
        fleet_start_window: Duration::from_secs(60),
    }
}

fn machines(machine: MachineId) -> ListedMachine {
    ListedMachine {
        machine,
        zone: 0,
        cell: 0,
        kind: 0,
        size: 1.0,
        healthy: true,
        utilization: Some(0.3),
    }
}

/// Some sidecars, machines 1 to 6, and the words between them, which may be lost.
struct World {
    nodes: Vec<Option<MaintenanceManager>>,
    incarnations: Vec<Incarnation>,
    now: Duration,
    owner: Option<(Member, Epoch)>,
    busy: RefCell<BTreeSet<(Member, MachineId)>>, // what is on a machine of whose
    excluded: Vec<BTreeSet<MachineId>>,
    cut: BTreeSet<Member>,
    lost: u32, // of a hundred
    dice: u32,
    machines: Vec<ListedMachine>,
    answers: Vec<(u64, Option<Rejection>)>,
    events: Vec<(MachineId, MachineEvent)>,
    broken: Vec<String>,
}

impl World {
    fn new(members: usize) -> World {
        let mut world = World {
            nodes: Vec::new(),
            incarnations: vec![1000; members],
            now: Duration::from_secs(100),
            owner: Some((0, 1)),
            busy: RefCell::default(),
            excluded: vec![BTreeSet::new(); members],
            cut: BTreeSet::new(),
            lost: 0,
            dice: 7,
            machines: (1..7).map(machines).collect(),
            answers: Vec::new(),
            events: Vec::new(),
            broken: Vec::new(),
        };
        world.nodes = (0..members).map(|n| Some(world.node(n))).collect();
        world
    }

    fn node(&self, me: usize) -> MaintenanceManager {
        let members = self.incarnations.len();
        let voters = (0..members.min(3) as Member).collect();
        MaintenanceManager::new(MaintenanceConfig {
            me: me as Member,
            members,
            voters,
            limits: limits(),
        })
    }

    fn with<T>(
        &mut self,
        me: usize,
        act: impl FnOnce(&mut MaintenanceManager, &Context) -> T,
    ) -> Option<T> {
        let (owner, busy) = (self.owner, self.busy.borrow().clone());
        let idle = |machine: MachineId| !busy.contains(&(me as Member, machine));
        let cut = self.cut.contains(&(me as Member));
        let context = Context {
            now: self.now,
            wall: self.now,
            owned_epoch: owner
                .filter(|(who, _)| usize::from(*who) == me)
                .map(|(_, epoch)| epoch),
            incarnations: &self.incarnations,
            coordinator: owner.map(|(who, _)| who).filter(|_| !cut),
            machines: &self.machines,
            idle: &idle,
        };
        self.nodes[me].as_mut().map(|node| act(node, &context))
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += 10 * MS;
            let mut mail = Vec::new();
            for me in 0..self.nodes.len() {
                let actions = self
                    .with(me, |node, context| node.tick(context))
                    .unwrap_or_default();
                self.post(me, actions, &mut mail);
            }
            while let Some((from, to, message)) = mail.pop() {
                let (from, at) = (from as Member, usize::from(to));
                self.dice = self
                    .dice
                    .wrapping_mul(1_664_525)
                    .wrapping_add(1_013_904_223);
                if (self.dice >> 16) % 100 < self.lost
                    || self.cut.contains(&from)
                    || self.cut.contains(&to)
                {
                    continue;
                }
                let message = Message::decode(&message).unwrap();
                let actions = self
                    .with(at, |node, context| node.receive(context, from, message))
                    .unwrap_or_default();
                self.post(at, actions, &mut mail);
            }
            self.check();
        }
    }

    fn post(&mut self, me: usize, actions: Vec<Action>, mail: &mut Vec<(usize, Member, Vec<u8>)>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let bytes = message.encode();
                    if bytes.len() > 244 {
                        self.broken.push(format!("a word of {} bytes", bytes.len()));
                    }
                    mail.push((me, to, bytes));
                }
                Action::SetExcluded {
                    machine,
                    excluded: true,
                } => {
                    self.excluded[me].insert(machine);
                }
                Action::SetExcluded {
                    machine,
                    excluded: false,
                } => {
                    self.excluded[me].remove(&machine);
                }
                Action::Respond { request, rejected } => self.answers.push((request, rejected)),
                Action::Report { machine, event } => self.events.push((machine, event)),
            }
        }
    }

    /// What must never be: a machine at work to which a sidecar that has not been forced past may send, or two at once.
    fn check(&mut self) {
        let Some((owner, _)) = self.owner else { return };
        let Some(node) = self.nodes[usize::from(owner)]
            .as_ref()
            .filter(|node| node.is_coordinator())
        else {
            return;
        };
        let at_work: Vec<MachineId> = node
            .operation_log
            .ordered()
            .iter()
            .filter(|e| e.state == MaintenanceState::UnderMaintenance)
            .map(|e| e.machine)
            .collect();
        if at_work.len() > limits().max_out {
            self.broken.push(format!("{at_work:?} at work at once"));
        }
        let forced: Vec<MachineId> = self
            .events
            .iter()
            .filter(|(_, l)| matches!(l, MachineEvent::Forced { .. }))
            .map(|(m, _)| *m)
            .collect();
        for machine in at_work.iter().filter(|m| !forced.contains(m)) {
            for me in 0..self.nodes.len() {
                let informed = self.nodes[me]
                    .as_ref()
                    .is_some_and(MaintenanceManager::is_informed);
                if informed && !self.excluded[me].contains(machine) {
                    self.broken.push(format!(
                        "sidecar {me} may send to {machine}, which is at work"
                    ));
                }
            }
        }
    }

    /// Work of a second, after which the machine comes back by itself.
    fn request(&mut self, at: usize, request: u64, machines: &[MachineId]) {
        let message = Message::Schedule {
            request,
            duration_s: 1,
            auto_return: true,
            machines: machines.to_vec(),
        };
        self.nodes[at].as_mut().unwrap().submit(message);
    }

    /// Work of an hour.
    fn request_long(&mut self, at: usize, request: u64, machines: &[MachineId]) {
        let message = Message::Schedule {
            request,
            duration_s: 3600,
            auto_return: false,
            machines: machines.to_vec(),
        };
        self.nodes[at].as_mut().unwrap().submit(message);
    }

    fn order(&mut self, at: usize, request: u64, machine: MachineId, action: OperatorAction) {
        self.nodes[at].as_mut().unwrap().submit(Message::Operate {
            request,
            machine,
            action,
        });
    }

    fn state(&self, machine: MachineId) -> Option<MaintenanceState> {
        let (owner, _) = self.owner?;
        self.nodes[usize::from(owner)]
            .as_ref()?
            .operation_log
            .get(machine)
            .map(|entry| entry.state)
    }

    fn moved(&self, state: MaintenanceState) -> Vec<MachineId> {
        self.events
            .iter()
            .filter(|(_, event)| *event == MachineEvent::StateChanged(state))
            .map(|(machine, _)| *machine)
            .collect()
    }

    /// Starts from nothing.
    fn restart(&mut self, me: usize) {
        self.incarnations[me] += 100_000;
        self.excluded[me].clear();
        self.nodes[me] = Some(self.node(me));
        // What it owned by its epoch it owns no more.
        if let Some((owner, epoch)) = self.owner.filter(|(owner, _)| usize::from(*owner) == me) {
            self.owner = Some(((owner + 1) % self.nodes.len() as Member, epoch + 1));
        }
    }
}

#[rstest]
#[case::healthy(0)]
#[case::lossy(30)]
fn three_go_out_one_after_the_other_and_come_back_warm(#[case] lost: u32) {
    let mut world = World::new(5);
    world.lost = lost;
    world.request(4, 77, &[3, 5, 2]);
    world.run(Duration::from_secs(40));
    assert_eq!(
        (
            world.moved(MaintenanceState::UnderMaintenance),
            world.moved(MaintenanceState::Warm)
        ),
        (vec![3, 5, 2], vec![3, 5, 2])
    );
    assert_eq!(
        (world.answers, world.broken),
        (vec![(77, None)], Vec::<String>::new())
    );
}

#[rstest]
fn one_is_at_work_only_when_all_have_nothing_on_it() {
    let mut world = World::new(4);
    world.busy.borrow_mut().insert((2, 3));
    world.request_long(1, 5, &[3]);
    world.run(Duration::from_secs(5));
    assert_eq!(world.state(3), Some(MaintenanceState::Draining));
    assert!(world.excluded.iter().all(|excluded| excluded.contains(&3)));
    world.busy.borrow_mut().clear();
    world.run(Duration::from_secs(1));
    assert_eq!(
        (world.state(3), world.broken),
        (Some(MaintenanceState::UnderMaintenance), vec![])
    );
}

// In real processes a machine was told empty with a command on its way to it: the look was older than the ban.
#[rstest]
fn free_is_said_only_behind_the_ban() {
    let mut world = World::new(3);
    world.run(MS * 200);
    let entry = Entry {
        machine: 3,
        request: 1,
        position: 1,
        state: MaintenanceState::Draining,
        epoch: 1,
        step: 5,
        duration_s: 1,
        ends_at_s: 0,
        auto_return: false,
    };
    let tell = Message::Update {
        coordinator_epoch: 1,
        open_entries: 1,
        entries: vec![entry],
    };
    let actions = world
        .with(2, |node, context| node.receive(context, 0, tell))
        .unwrap();
    assert_eq!(
        actions[0],
        Action::SetExcluded {
            machine: 3,
            excluded: true
        }
    );
    assert_eq!(
        actions[1],
        Action::Send {
            to: 0,
            message: Message::Ack {
                coordinator_epoch: 1,
                acks: vec![(3, 1, 5, false)]
            }
        }
    );
    let actions = world.with(2, |node, context| node.tick(context)).unwrap();
    assert_eq!(
        actions,
        [Action::Send {
            to: 0,
            message: Message::Ack {
                coordinator_epoch: 1,
                acks: vec![(3, 1, 5, true)]
            }
        }]
    );
}

// Nobody can know what one that says nothing still sends: the order waits for it, or for an operator, and says so.
#[rstest]
fn who_is_cut_off_is_waited_for_or_forced_past() {
    let mut world = World::new(4);
    world.cut.insert(3);
    world.request_long(1, 5, &[3]);
    world.run(Duration::from_secs(20));
    assert_eq!(world.state(3), Some(MaintenanceState::Draining));
    assert!(
        world
            .events
            .contains(&(3, MachineEvent::WaitingForReplies { missing_replies: 1 })),
        "{:?}",
        world.events
    );
    world.order(2, 6, 3, OperatorAction::Force);
    world.run(Duration::from_secs(1));
    assert_eq!(world.state(3), Some(MaintenanceState::UnderMaintenance));
    assert!(
        world
            .events
            .contains(&(3, MachineEvent::Forced { not_idle: 1 }))
    );
    assert_eq!(world.answers, [(5, None), (6, None)]);
}

// The next conductor takes up from what a majority knows, at each step of the one before.
#[rstest]
fn a_conductor_killed_at_any_time_is_followed(
    #[values(150, 300, 800, 1500, 2500, 4000, 6000)] after: u32,
) {
    let mut world = World::new(5);
    world.request(4, 77, &[3, 5]);
    world.run(MS * after);
    world.restart(0);
    world.owner = None;
    world.run(Duration::from_secs(1));
    world.owner = Some((1, 2));
    world.run(Duration::from_secs(30));
    assert_eq!(
        (world.state(3), world.state(5)),
        (Some(MaintenanceState::Warm), Some(MaintenanceState::Warm))
    );
    assert_eq!(world.broken, Vec::<String>::new());
}

// It wakes when another conducts, and goes on as if nothing had been.
#[rstest]
fn a_conductor_that_wakes_late_is_not_obeyed() {
    let mut world = World::new(5);
    world.request(4, 77, &[3, 5]);
    world.run(Duration::from_secs(1));
    let late = Message::Update {
        coordinator_epoch: 1,
        open_entries: 2,
        entries: vec![Entry {
            state: MaintenanceState::WarmingUp,
            step: 90,
            ..*world.nodes[0]
                .as_ref()
                .unwrap()
                .operation_log
                .get(3)
                .unwrap()
        }],
    };
    world.cut.insert(0);
    world.owner = Some((1, 2));
    world.run(Duration::from_secs(2));
    for me in 1..5 {
        let actions = world
            .with(me, |node, context| node.receive(context, 0, late.clone()))
            .unwrap();
        assert_eq!(actions, []);
    }
    world.cut.clear();
    world.run(Duration::from_secs(30));
    assert_eq!(
        (world.state(5), world.broken),
        (Some(MaintenanceState::Warm), vec![])
    );
}

// An upgrade: the next process has the ban from the one before, and hears of the machine only when it is back.
#[rstest]
fn a_ban_that_was_taken_over_ends_with_the_work() {
    let mut world = World::new(3);
    let entry = Entry {
        machine: 3,
        request: 1,
        position: 1,
        state: MaintenanceState::WarmingUp,
        epoch: 1,
        step: 5,
        duration_s: 1,
        ends_at_s: 0,
        auto_return: false,
    };
    let tell = |step| Message::Update {
        coordinator_epoch: 1,
        open_entries: 1,
        entries: vec![Entry { step, ..entry }],
    };
    let lifts = |actions: Vec<Action>| {
        actions
            .iter()
            .filter(|action| {
                matches!(
                    action,
                    Action::SetExcluded {
                        excluded: false,
                        ..
                    }
                )
            })
            .count()
    };
    let counts: Vec<usize> = [5, 6]
        .iter()
        .map(|step| {
            lifts(
                world
                    .with(2, |node, context| node.receive(context, 0, tell(*step)))
                    .unwrap(),
            )
        })
        .collect();
    assert_eq!(counts, [1, 0]);
}

// It learns the bans before anything else, from those that know.
#[rstest]
fn one_that_starts_from_nothing_learns_what_is_out() {
    let mut world = World::new(5);
    world.request_long(4, 77, &[3]);
    world.run(Duration::from_secs(1));
    assert_eq!(world.state(3), Some(MaintenanceState::UnderMaintenance));
    world.restart(4);
    assert!(!world.nodes[4].as_ref().unwrap().is_informed());
    world.run(MS * 20);
    assert!(world.nodes[4].as_ref().unwrap().is_informed() && world.excluded[4].contains(&3));
}

// A majority of the keepers forgets at once: nothing is done on what they say, until those that know have told it again.
#[rstest]
fn a_majority_that_forgot_does_not_count() {
    let mut world = World::new(5);
    world.request(4, 77, &[3, 5]);
    world.run(Duration::from_secs(1));
    world.restart(0);
    world.restart(1);
    world.cut.insert(2);
    world.owner = Some((1, 2));
    world.run(Duration::from_secs(5));
    assert!(!world.nodes[1].as_ref().unwrap().is_coordinator());
    world.cut.clear();
    world.run(Duration::from_secs(30));
    assert_eq!(
        (world.state(3), world.state(5)),
        (Some(MaintenanceState::Warm), Some(MaintenanceState::Warm))
    );
    assert_eq!(world.broken, Vec::<String>::new());
}

// All that knew have gone: nobody can tell whether a machine is out, so an operator is asked.
#[rstest]
fn where_all_forgot_an_operator_is_asked() {
    let mut world = World::new(3);
    world.request_long(2, 7, &[3]);
    world.run(Duration::from_secs(1));
    (0..3).for_each(|me| world.restart(me));
    world.incarnations[0] += 100_000;
    world.owner = Some((1, 2));
    world.run(Duration::from_secs(10));
    assert!(!world.nodes[1].as_ref().unwrap().is_coordinator());
    world.order(0, 8, 0, OperatorAction::Bootstrap);
    world.run(Duration::from_secs(1));
    assert!(world.nodes[1].as_ref().unwrap().is_coordinator());
    assert_eq!(world.answers.last(), Some(&(8, None)));
}

// A random history: what was said to it before it began anew was not said again at once, and the rest was taken for all.
#[rstest]
fn a_part_of_the_order_is_not_taken_for_the_whole() {
    let mut world = World::new(3);
    world.restart(2);
    let entry = Entry {
        machine: 3,
        request: 1,
        position: 1,
        state: MaintenanceState::Queued,
        epoch: 1,
        step: 0,
        duration_s: 1,
        ends_at_s: 0,
        auto_return: false,
    };
    for (machine, informed) in [(3, false), (5, true)] {
        let message = Message::Update {
            coordinator_epoch: 1,
            open_entries: 2,
            entries: vec![Entry { machine, ..entry }],
        };
        world.with(2, |node, context| node.receive(context, 0, message));
        assert_eq!(world.nodes[2].as_ref().unwrap().is_informed(), informed);
    }
}

// A random history: a keeper that began anew had asked another one, and counted as if it had known itself.
#[rstest]
fn a_keeper_that_has_only_asked_does_not_count() {
    let mut world = World::new(3);
    world.request_long(2, 7, &[3]);
    world.run(Duration::from_secs(1));
    world.restart(1);
    world.owner = None;
    world.run(Duration::from_secs(1));
    assert!(world.nodes[1].as_ref().unwrap().is_informed());
    let recall = Message::Query {
        coordinator_epoch: 9,
        offset: 0,
    };
    let actions = world
        .with(1, |node, context| node.receive(context, 2, recall))
        .unwrap();
    assert!(
        matches!(
            actions[..],
            [Action::Send {
                message: Message::QueryReply {
                    uninformed: true,
                    ..
                },
                ..
            }]
        ),
        "{actions:?}"
    );
}

#[rstest]
fn what_is_asked_twice_or_in_two_places_is_one_order() {
    let mut world = World::new(5);
    world.request(4, 77, &[3, 5]);
    world.request(2, 78, &[5, 3, 6]);
    world.request(3, 77, &[3, 5]);
    world.run(Duration::from_secs(40));
    let mut at_work = world.moved(MaintenanceState::UnderMaintenance);
    at_work.sort_unstable();
    assert_eq!((at_work, world.broken), (vec![3, 5, 6], vec![]));
    assert_eq!(world.answers.len(), 3);
}

#[rstest]
#[case::unknown(Message::Schedule { request: 9, duration_s: 1, auto_return: true, machines: vec![99] }, Some(Rejection::UnknownMachine))]
#[case::done_too_soon(Message::Operate { request: 9, machine: 5, action: OperatorAction::Complete }, Some(Rejection::NotUnderMaintenance))]
#[case::not_queued(Message::Operate { request: 9, machine: 6, action: OperatorAction::Withdraw }, Some(Rejection::UnknownMachine))]
#[case::begun(Message::Operate { request: 9, machine: 3, action: OperatorAction::Withdraw }, Some(Rejection::AlreadyStarted))]
#[case::withdrawn(Message::Operate { request: 9, machine: 5, action: OperatorAction::Withdraw }, None)]
#[case::done(Message::Operate { request: 9, machine: 3, action: OperatorAction::Complete }, None)]
fn operators_are_told_what_can_not_be(
    #[case] message: Message,
    #[case] rejected: Option<Rejection>,
) {
    let mut world = World::new(3);
    let want = Message::Schedule {
        request: 7,
        duration_s: 3600,
        auto_return: false,
        machines: vec![3, 5],
    };
    world.nodes[2].as_mut().unwrap().submit(want);
    world.run(Duration::from_secs(2));
    world.nodes[1].as_mut().unwrap().submit(message);
    world.run(Duration::from_secs(1));
    assert_eq!(world.answers.last(), Some(&(9, rejected)));
}

// Nothing stays out in silence: its time is told, and it comes back only where the request said so.
#[rstest]
fn work_that_takes_too_long_is_told_and_stays_out() {
    let mut world = World::new(3);
    let want = Message::Schedule {
        request: 7,
        duration_s: 2,
        auto_return: false,
        machines: vec![3],
    };
    world.nodes[2].as_mut().unwrap().submit(want);
    world.run(Duration::from_secs(10));
    assert_eq!(world.state(3), Some(MaintenanceState::UnderMaintenance));
    assert_eq!(
        world
            .events
            .iter()
            .filter(|event| **event == (3, MachineEvent::Overdue))
            .count(),
        1
    );
}

#[rstest]
fn what_has_not_begun_goes_back_when_another_fails() {
    let mut world = World::new(3);
    world.busy.borrow_mut().insert((1, 3));
    world.request_long(2, 7, &[3]);
    world.run(Duration::from_secs(1));
    world.machines[5].healthy = false;
    world.run(Duration::from_secs(1));
    assert_eq!(world.state(3), Some(MaintenanceState::Queued));
    assert!(world.excluded.iter().all(|excluded| excluded.is_empty()));
    world.machines[5].healthy = true;
    world.busy.borrow_mut().clear();
    world.run(Duration::from_secs(1));
    assert_eq!(
        (world.state(3), world.broken),
        (Some(MaintenanceState::UnderMaintenance), vec![])
    );
}

// Two may be out, but not in the same zone, or the same cell of one.
#[rstest]
#[case::elsewhere(2, 1, 1, 1, true)]
#[case::same_zone(1, 2, 0, 1, false)]
#[case::same_cell(2, 1, 0, 0, false)]
#[case::another_cell(2, 1, 0, 1, true)]
fn zones_and_cells_have_bounds_of_their_own(
    #[case] zone_most: usize,
    #[case] cell_most: usize,
    #[case] zone: usize,
    #[case] cell: usize,
    #[case] may: bool,
) {
    let mut all: Vec<ListedMachine> = (1..7).map(machines).collect();
    (all[1].zone, all[1].cell) = (zone, cell);
    let limits = Limits {
        max_out: 2,
        max_out_per_zone: zone_most,
        max_out_per_cell: cell_most,
        ..limits()
    };
    assert_eq!(can_take_out(&limits, &all, &BTreeSet::from([1]), 2), may);
}

#[rstest]
#[case::room(|_: &mut Vec<ListedMachine>, _: &mut BTreeSet<MachineId>| {}, true)]
#[case::one_is_out(|_: &mut Vec<ListedMachine>, away: &mut BTreeSet<MachineId>| { away.insert(2); }, false)]
#[case::one_is_down(|machines: &mut Vec<ListedMachine>, _: &mut BTreeSet<MachineId>| machines[4].healthy = false, false)]
#[case::itself_is_down(|machines: &mut Vec<ListedMachine>, _: &mut BTreeSet<MachineId>| machines[0].healthy = false, true)]
#[case::last_of_its_kind(|machines: &mut Vec<ListedMachine>, _: &mut BTreeSet<MachineId>| machines[0].kind = 1, false)]
#[case::no_room(|machines: &mut Vec<ListedMachine>, _: &mut BTreeSet<MachineId>| machines.iter_mut().for_each(|s| s.utilization = Some(0.8)), false)]
#[case::not_there(|machines: &mut Vec<ListedMachine>, _: &mut BTreeSet<MachineId>| { machines.remove(0); }, false)]
fn one_more_may_be_out_only_where_the_rest_bears_it(
    #[case] turn: fn(&mut Vec<ListedMachine>, &mut BTreeSet<MachineId>),
    #[case] may: bool,
) {
    let (mut all, mut away) = ((1..7).map(machines).collect(), BTreeSet::new());
    turn(&mut all, &mut away);
    assert_eq!(can_take_out(&limits(), &all, &away, 1), may);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(
        std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(60)
    ))]

    // Cuts, losses, restarts from nothing and changes of the conductor at any time.
    #[test]
    fn in_no_history_is_one_at_work_to_which_somebody_sends(
        lost in 0u32..40,
        turns in prop::collection::vec((0u32..2500, 0usize..5, 0usize..5), 1..10),
    ) {
        let mut world = World::new(5);
        world.lost = lost;
        world.request(4, 77, &[3, 5, 2]);
        let mut epoch = 1;
        for (after, what, whom) in turns {
            world.run(MS * after);
            match what {
                0 => {
                    world.cut.insert(whom as Member);
                }
                1 => world.cut.clear(),
                2 => world.restart(whom),
                _ => {
                    epoch += 100;
                    world.owner = Some((whom as Member, epoch));
                }
            }
        }
        prop_assert_eq!(&world.broken, &Vec::<String>::new());
        world.cut.clear();
        world.lost = 0;
        world.run(Duration::from_secs(40));
        prop_assert_eq!(&world.broken, &Vec::<String>::new());
    }

    #[test]
    fn no_words_bring_it_down(words in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 1..9)) {
        let mut world = World::new(3);
        world.request(0, 77, &[3]);
        world.run(MS * 100);
        for bytes in words {
            if let Some(message) = Message::decode(&bytes) {
                world.with(0, |node, context| drop(node.receive(context, 1, message)));
            }
        }
    }
}
