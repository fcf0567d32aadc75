use super::*;
use proptest::prelude::*;
use rstest::rstest;
use std::cell::RefCell;

const MS: Duration = Duration::from_millis(1);

fn limits() -> Limits {
    Limits {
        at_once: 1,
        at_once_in_a_zone: 1,
        at_once_in_a_cell: 1,
        reserve: 0.1,
        warm: Duration::from_secs(2),
        together: Duration::from_secs(60),
    }
}

fn seen(machine: Machine) -> Seen {
    Seen {
        machine,
        zone: 0,
        cell: 0,
        kind: 0,
        size: 1.0,
        sound: true,
        busy: Some(0.3),
    }
}

/// Some sidecars, machines 1 to 6, and the words between them, which may be lost.
struct World {
    hands: Vec<Option<Upkeep>>,
    incarnations: Vec<Incarnation>,
    now: Duration,
    owner: Option<(Member, Epoch)>,
    busy: RefCell<BTreeSet<(Member, Machine)>>, // what is on a machine of whose
    banned: Vec<BTreeSet<Machine>>,
    cut: BTreeSet<Member>,
    lost: u32, // of a hundred
    dice: u32,
    seen: Vec<Seen>,
    answers: Vec<(u64, Option<Refusal>)>,
    lines: Vec<(Machine, Line)>,
    broken: Vec<String>,
}

impl World {
    fn new(members: usize) -> World {
        let mut world = World {
            hands: Vec::new(),
            incarnations: vec![1000; members],
            now: Duration::from_secs(100),
            owner: Some((0, 1)),
            busy: RefCell::default(),
            banned: vec![BTreeSet::new(); members],
            cut: BTreeSet::new(),
            lost: 0,
            dice: 7,
            seen: (1..7).map(seen).collect(),
            answers: Vec::new(),
            lines: Vec::new(),
            broken: Vec::new(),
        };
        world.hands = (0..members).map(|n| Some(world.hand(n))).collect();
        world
    }

    fn hand(&self, me: usize) -> Upkeep {
        let members = self.incarnations.len();
        let keepers = (0..members.min(3) as Member).collect();
        Upkeep::new(Terms {
            me: me as Member,
            members,
            keepers,
            limits: limits(),
        })
    }

    fn with<T>(&mut self, me: usize, act: impl FnOnce(&mut Upkeep, &Sight) -> T) -> Option<T> {
        let (owner, busy) = (self.owner, self.busy.borrow().clone());
        let free = |machine: Machine| !busy.contains(&(me as Member, machine));
        let cut = self.cut.contains(&(me as Member));
        let sight = Sight {
            now: self.now,
            wall: self.now,
            owned: owner
                .filter(|(who, _)| usize::from(*who) == me)
                .map(|(_, epoch)| epoch),
            incarnations: &self.incarnations,
            conductor: owner.map(|(who, _)| who).filter(|_| !cut),
            seen: &self.seen,
            free: &free,
        };
        self.hands[me].as_mut().map(|hand| act(hand, &sight))
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += 10 * MS;
            let mut mail = Vec::new();
            for me in 0..self.hands.len() {
                let outs = self
                    .with(me, |hand, sight| hand.turn(sight))
                    .unwrap_or_default();
                self.post(me, outs, &mut mail);
            }
            while let Some((from, to, word)) = mail.pop() {
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
                let word = Word::read(&word).unwrap();
                let outs = self
                    .with(at, |hand, sight| hand.hear(sight, from, word))
                    .unwrap_or_default();
                self.post(at, outs, &mut mail);
            }
            self.check();
        }
    }

    fn post(&mut self, me: usize, outs: Vec<Out>, mail: &mut Vec<(usize, Member, Vec<u8>)>) {
        for out in outs {
            match out {
                Out::Say { to, word } => {
                    let bytes = word.bytes();
                    if bytes.len() > 244 {
                        self.broken.push(format!("a word of {} bytes", bytes.len()));
                    }
                    mail.push((me, to, bytes));
                }
                Out::Ban { machine, out: true } => {
                    self.banned[me].insert(machine);
                }
                Out::Ban {
                    machine,
                    out: false,
                } => {
                    self.banned[me].remove(&machine);
                }
                Out::Answer { request, refused } => self.answers.push((request, refused)),
                Out::Told { machine, what } => self.lines.push((machine, what)),
            }
        }
    }

    /// What must never be: a machine at work to which a sidecar that has not been forced past may send, or two at once.
    fn check(&mut self) {
        let Some((owner, _)) = self.owner else { return };
        let Some(hand) = self.hands[usize::from(owner)]
            .as_ref()
            .filter(|hand| hand.conducts())
        else {
            return;
        };
        let at_work: Vec<Machine> = hand
            .book
            .in_order()
            .iter()
            .filter(|e| e.state == State::AtWork)
            .map(|e| e.machine)
            .collect();
        if at_work.len() > limits().at_once {
            self.broken.push(format!("{at_work:?} at work at once"));
        }
        let forced: Vec<Machine> = self
            .lines
            .iter()
            .filter(|(_, l)| matches!(l, Line::Forced { .. }))
            .map(|(m, _)| *m)
            .collect();
        for machine in at_work.iter().filter(|m| !forced.contains(m)) {
            for me in 0..self.hands.len() {
                let informed = self.hands[me].as_ref().is_some_and(Upkeep::informed);
                if informed && !self.banned[me].contains(machine) {
                    self.broken.push(format!(
                        "sidecar {me} may send to {machine}, which is at work"
                    ));
                }
            }
        }
    }

    /// Work of a second, after which the machine comes back by itself.
    fn ask(&mut self, at: usize, request: u64, machines: &[Machine]) {
        let word = Word::Want {
            request,
            lasts: 1,
            back: true,
            machines: machines.to_vec(),
        };
        self.hands[at].as_mut().unwrap().ask(word);
    }

    /// Work of an hour.
    fn ask_long(&mut self, at: usize, request: u64, machines: &[Machine]) {
        let word = Word::Want {
            request,
            lasts: 3600,
            back: false,
            machines: machines.to_vec(),
        };
        self.hands[at].as_mut().unwrap().ask(word);
    }

    fn order(&mut self, at: usize, request: u64, machine: Machine, what: Order) {
        self.hands[at].as_mut().unwrap().ask(Word::Order {
            request,
            machine,
            what,
        });
    }

    fn state(&self, machine: Machine) -> Option<State> {
        let (owner, _) = self.owner?;
        self.hands[usize::from(owner)]
            .as_ref()?
            .book
            .get(machine)
            .map(|entry| entry.state)
    }

    fn moved(&self, state: State) -> Vec<Machine> {
        self.lines
            .iter()
            .filter(|(_, line)| *line == Line::Moved(state))
            .map(|(machine, _)| *machine)
            .collect()
    }

    /// Starts from nothing.
    fn restart(&mut self, me: usize) {
        self.incarnations[me] += 100_000;
        self.banned[me].clear();
        self.hands[me] = Some(self.hand(me));
        // What it owned by its epoch it owns no more.
        if let Some((owner, epoch)) = self.owner.filter(|(owner, _)| usize::from(*owner) == me) {
            self.owner = Some(((owner + 1) % self.hands.len() as Member, epoch + 1));
        }
    }
}

#[rstest]
#[case::sound(0)]
#[case::lossy(30)]
fn three_go_out_one_after_the_other_and_come_back_warm(#[case] lost: u32) {
    let mut world = World::new(5);
    world.lost = lost;
    world.ask(4, 77, &[3, 5, 2]);
    world.run(Duration::from_secs(40));
    assert_eq!(
        (world.moved(State::AtWork), world.moved(State::Warm)),
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
    world.ask_long(1, 5, &[3]);
    world.run(Duration::from_secs(5));
    assert_eq!(world.state(3), Some(State::Leaving));
    assert!(world.banned.iter().all(|banned| banned.contains(&3)));
    world.busy.borrow_mut().clear();
    world.run(Duration::from_secs(1));
    assert_eq!(
        (world.state(3), world.broken),
        (Some(State::AtWork), vec![])
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
        place: 1,
        state: State::Leaving,
        epoch: 1,
        step: 5,
        lasts: 1,
        ends: 0,
        back: false,
    };
    let tell = Word::Tell {
        by: 1,
        all: 1,
        entries: vec![entry],
    };
    let outs = world
        .with(2, |hand, sight| hand.hear(sight, 0, tell))
        .unwrap();
    assert_eq!(
        outs[0],
        Out::Ban {
            machine: 3,
            out: true
        }
    );
    assert_eq!(
        outs[1],
        Out::Say {
            to: 0,
            word: Word::Ack {
                by: 1,
                heard: vec![(3, 1, 5, false)]
            }
        }
    );
    let outs = world.with(2, |hand, sight| hand.turn(sight)).unwrap();
    assert_eq!(
        outs,
        [Out::Say {
            to: 0,
            word: Word::Ack {
                by: 1,
                heard: vec![(3, 1, 5, true)]
            }
        }]
    );
}

// Nobody can know what one that says nothing still sends: the order waits for it, or for an operator, and says so.
#[rstest]
fn who_is_cut_off_is_waited_for_or_forced_past() {
    let mut world = World::new(4);
    world.cut.insert(3);
    world.ask_long(1, 5, &[3]);
    world.run(Duration::from_secs(20));
    assert_eq!(world.state(3), Some(State::Leaving));
    assert!(
        world.lines.contains(&(3, Line::Waits { unheard: 1 })),
        "{:?}",
        world.lines
    );
    world.order(2, 6, 3, Order::Force);
    world.run(Duration::from_secs(1));
    assert_eq!(world.state(3), Some(State::AtWork));
    assert!(world.lines.contains(&(3, Line::Forced { unheard: 1 })));
    assert_eq!(world.answers, [(5, None), (6, None)]);
}

// The next conductor takes up from what a majority knows, at each step of the one before.
#[rstest]
fn a_conductor_killed_at_any_time_is_followed(
    #[values(150, 300, 800, 1500, 2500, 4000, 6000)] after: u32,
) {
    let mut world = World::new(5);
    world.ask(4, 77, &[3, 5]);
    world.run(MS * after);
    world.restart(0);
    world.owner = None;
    world.run(Duration::from_secs(1));
    world.owner = Some((1, 2));
    world.run(Duration::from_secs(30));
    assert_eq!(
        (world.state(3), world.state(5)),
        (Some(State::Warm), Some(State::Warm))
    );
    assert_eq!(world.broken, Vec::<String>::new());
}

// It wakes when another conducts, and goes on as if nothing had been.
#[rstest]
fn a_conductor_that_wakes_late_is_not_obeyed() {
    let mut world = World::new(5);
    world.ask(4, 77, &[3, 5]);
    world.run(Duration::from_secs(1));
    let late = Word::Tell {
        by: 1,
        all: 2,
        entries: vec![Entry {
            state: State::Returning,
            step: 90,
            ..*world.hands[0].as_ref().unwrap().book.get(3).unwrap()
        }],
    };
    world.cut.insert(0);
    world.owner = Some((1, 2));
    world.run(Duration::from_secs(2));
    for me in 1..5 {
        let outs = world
            .with(me, |hand, sight| hand.hear(sight, 0, late.clone()))
            .unwrap();
        assert_eq!(outs, []);
    }
    world.cut.clear();
    world.run(Duration::from_secs(30));
    assert_eq!((world.state(5), world.broken), (Some(State::Warm), vec![]));
}

// An upgrade: the next process has the ban from the one before, and hears of the machine only when it is back.
#[rstest]
fn a_ban_that_was_taken_over_ends_with_the_work() {
    let mut world = World::new(3);
    let entry = Entry {
        machine: 3,
        request: 1,
        place: 1,
        state: State::Returning,
        epoch: 1,
        step: 5,
        lasts: 1,
        ends: 0,
        back: false,
    };
    let tell = |step| Word::Tell {
        by: 1,
        all: 1,
        entries: vec![Entry { step, ..entry }],
    };
    let lifts = |outs: Vec<Out>| {
        outs.iter()
            .filter(|out| matches!(out, Out::Ban { out: false, .. }))
            .count()
    };
    let counts: Vec<usize> = [5, 6]
        .iter()
        .map(|step| {
            lifts(
                world
                    .with(2, |hand, sight| hand.hear(sight, 0, tell(*step)))
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
    world.ask_long(4, 77, &[3]);
    world.run(Duration::from_secs(1));
    assert_eq!(world.state(3), Some(State::AtWork));
    world.restart(4);
    assert!(!world.hands[4].as_ref().unwrap().informed());
    world.run(MS * 20);
    assert!(world.hands[4].as_ref().unwrap().informed() && world.banned[4].contains(&3));
}

// A majority of the keepers forgets at once: nothing is done on what they say, until those that know have told it again.
#[rstest]
fn a_majority_that_forgot_does_not_count() {
    let mut world = World::new(5);
    world.ask(4, 77, &[3, 5]);
    world.run(Duration::from_secs(1));
    world.restart(0);
    world.restart(1);
    world.cut.insert(2);
    world.owner = Some((1, 2));
    world.run(Duration::from_secs(5));
    assert!(!world.hands[1].as_ref().unwrap().conducts());
    world.cut.clear();
    world.run(Duration::from_secs(30));
    assert_eq!(
        (world.state(3), world.state(5)),
        (Some(State::Warm), Some(State::Warm))
    );
    assert_eq!(world.broken, Vec::<String>::new());
}

// All that knew have gone: nobody can tell whether a machine is out, so an operator is asked.
#[rstest]
fn where_all_forgot_an_operator_is_asked() {
    let mut world = World::new(3);
    world.ask_long(2, 7, &[3]);
    world.run(Duration::from_secs(1));
    (0..3).for_each(|me| world.restart(me));
    world.incarnations[0] += 100_000;
    world.owner = Some((1, 2));
    world.run(Duration::from_secs(10));
    assert!(!world.hands[1].as_ref().unwrap().conducts());
    world.order(0, 8, 0, Order::Begin);
    world.run(Duration::from_secs(1));
    assert!(world.hands[1].as_ref().unwrap().conducts());
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
        place: 1,
        state: State::Queued,
        epoch: 1,
        step: 0,
        lasts: 1,
        ends: 0,
        back: false,
    };
    for (machine, informed) in [(3, false), (5, true)] {
        let word = Word::Tell {
            by: 1,
            all: 2,
            entries: vec![Entry { machine, ..entry }],
        };
        world.with(2, |hand, sight| hand.hear(sight, 0, word));
        assert_eq!(world.hands[2].as_ref().unwrap().informed(), informed);
    }
}

// A random history: a keeper that began anew had asked another one, and counted as if it had known itself.
#[rstest]
fn a_keeper_that_has_only_asked_does_not_count() {
    let mut world = World::new(3);
    world.ask_long(2, 7, &[3]);
    world.run(Duration::from_secs(1));
    world.restart(1);
    world.owner = None;
    world.run(Duration::from_secs(1));
    assert!(world.hands[1].as_ref().unwrap().informed());
    let recall = Word::Recall { by: 9, from: 0 };
    let outs = world
        .with(1, |hand, sight| hand.hear(sight, 2, recall))
        .unwrap();
    assert!(
        matches!(
            outs[..],
            [Out::Say {
                word: Word::Known { blank: true, .. },
                ..
            }]
        ),
        "{outs:?}"
    );
}

#[rstest]
fn what_is_asked_twice_or_in_two_places_is_one_order() {
    let mut world = World::new(5);
    world.ask(4, 77, &[3, 5]);
    world.ask(2, 78, &[5, 3, 6]);
    world.ask(3, 77, &[3, 5]);
    world.run(Duration::from_secs(40));
    let mut at_work = world.moved(State::AtWork);
    at_work.sort_unstable();
    assert_eq!((at_work, world.broken), (vec![3, 5, 6], vec![]));
    assert_eq!(world.answers.len(), 3);
}

#[rstest]
#[case::unknown(Word::Want { request: 9, lasts: 1, back: true, machines: vec![99] }, Some(Refusal::NoMachine))]
#[case::done_too_soon(Word::Order { request: 9, machine: 5, what: Order::Done }, Some(Refusal::NotAtWork))]
#[case::not_queued(Word::Order { request: 9, machine: 6, what: Order::Withdraw }, Some(Refusal::NoMachine))]
#[case::begun(Word::Order { request: 9, machine: 3, what: Order::Withdraw }, Some(Refusal::Begun))]
#[case::withdrawn(Word::Order { request: 9, machine: 5, what: Order::Withdraw }, None)]
#[case::done(Word::Order { request: 9, machine: 3, what: Order::Done }, None)]
fn operators_are_told_what_can_not_be(#[case] word: Word, #[case] refused: Option<Refusal>) {
    let mut world = World::new(3);
    let want = Word::Want {
        request: 7,
        lasts: 3600,
        back: false,
        machines: vec![3, 5],
    };
    world.hands[2].as_mut().unwrap().ask(want);
    world.run(Duration::from_secs(2));
    world.hands[1].as_mut().unwrap().ask(word);
    world.run(Duration::from_secs(1));
    assert_eq!(world.answers.last(), Some(&(9, refused)));
}

// Nothing stays out in silence: its time is told, and it comes back only where the request said so.
#[rstest]
fn work_that_takes_too_long_is_told_and_stays_out() {
    let mut world = World::new(3);
    let want = Word::Want {
        request: 7,
        lasts: 2,
        back: false,
        machines: vec![3],
    };
    world.hands[2].as_mut().unwrap().ask(want);
    world.run(Duration::from_secs(10));
    assert_eq!(world.state(3), Some(State::AtWork));
    assert_eq!(
        world
            .lines
            .iter()
            .filter(|line| **line == (3, Line::Overdue))
            .count(),
        1
    );
}

#[rstest]
fn what_has_not_begun_goes_back_when_another_fails() {
    let mut world = World::new(3);
    world.busy.borrow_mut().insert((1, 3));
    world.ask_long(2, 7, &[3]);
    world.run(Duration::from_secs(1));
    world.seen[5].sound = false;
    world.run(Duration::from_secs(1));
    assert_eq!(world.state(3), Some(State::Queued));
    assert!(world.banned.iter().all(|banned| banned.is_empty()));
    world.seen[5].sound = true;
    world.busy.borrow_mut().clear();
    world.run(Duration::from_secs(1));
    assert_eq!(
        (world.state(3), world.broken),
        (Some(State::AtWork), vec![])
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
    let mut all: Vec<Seen> = (1..7).map(seen).collect();
    (all[1].zone, all[1].cell) = (zone, cell);
    let limits = Limits {
        at_once: 2,
        at_once_in_a_zone: zone_most,
        at_once_in_a_cell: cell_most,
        ..limits()
    };
    assert_eq!(fits(&limits, &all, &BTreeSet::from([1]), 2), may);
}

#[rstest]
#[case::room(|_: &mut Vec<Seen>, _: &mut BTreeSet<Machine>| {}, true)]
#[case::one_is_out(|_: &mut Vec<Seen>, away: &mut BTreeSet<Machine>| { away.insert(2); }, false)]
#[case::one_is_down(|seen: &mut Vec<Seen>, _: &mut BTreeSet<Machine>| seen[4].sound = false, false)]
#[case::itself_is_down(|seen: &mut Vec<Seen>, _: &mut BTreeSet<Machine>| seen[0].sound = false, true)]
#[case::last_of_its_kind(|seen: &mut Vec<Seen>, _: &mut BTreeSet<Machine>| seen[0].kind = 1, false)]
#[case::no_room(|seen: &mut Vec<Seen>, _: &mut BTreeSet<Machine>| seen.iter_mut().for_each(|s| s.busy = Some(0.8)), false)]
#[case::not_there(|seen: &mut Vec<Seen>, _: &mut BTreeSet<Machine>| { seen.remove(0); }, false)]
fn one_more_may_be_out_only_where_the_rest_bears_it(
    #[case] turn: fn(&mut Vec<Seen>, &mut BTreeSet<Machine>),
    #[case] may: bool,
) {
    let (mut all, mut away) = ((1..7).map(seen).collect(), BTreeSet::new());
    turn(&mut all, &mut away);
    assert_eq!(fits(&limits(), &all, &away, 1), may);
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
        world.ask(4, 77, &[3, 5, 2]);
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
        world.ask(0, 77, &[3]);
        world.run(MS * 100);
        for bytes in words {
            if let Some(word) = Word::read(&bytes) {
                world.with(0, |hand, sight| drop(hand.hear(sight, 1, word)));
            }
        }
    }
}
