use super::*;
use proptest::prelude::*;
use rstest::rstest;

const PERIOD: Duration = Duration::from_secs(1);

fn peers(me: Member, members: usize) -> Peers {
    Peers::new(
        Terms {
            me,
            members,
            incarnation: 1_000_000 + u64::from(me),
            period: PERIOD,
            seed: 77 + u64::from(me),
        },
        Duration::ZERO,
    )
}

/// Some instances and the datagrams between them, a hundredth of a second at a time.
struct World {
    all: Vec<Peers>,
    now: Duration,
    up: Vec<bool>,
    loss: u32, // of a hundred
    dice: u32,
    sent: Vec<u64>,
    starved: usize,
}

impl World {
    fn new(members: usize) -> World {
        let all = (0..members).map(|n| peers(n as Member, members)).collect();
        World {
            all,
            now: Duration::ZERO,
            up: vec![true; members],
            loss: 0,
            dice: 1,
            sent: vec![0; members],
            starved: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += Duration::from_millis(10);
            let mut mail = Vec::new();
            for n in 0..self.all.len() {
                if self.up[n] {
                    let outs = self.all[n].tick(self.now);
                    self.post(n, outs, &mut mail);
                }
            }
            while let Some((from, to, bytes)) = mail.pop() {
                self.dice = self
                    .dice
                    .wrapping_mul(1_664_525)
                    .wrapping_add(1_013_904_223);
                if !self.up[to] || (self.dice >> 16) % 100 < self.loss {
                    continue;
                }
                let (_, incarnation, body) = open(&bytes).unwrap();
                let (heard, mut outs) = self.all[to].admit(self.now, from as Member, incarnation);
                if heard {
                    outs.extend(self.all[to].hear(self.now, from as Member, body));
                }
                self.post(to, outs, &mut mail);
            }
        }
    }

    fn post(&mut self, from: usize, outs: Vec<Out>, mail: &mut Vec<(usize, usize, Vec<u8>)>) {
        for out in outs {
            match out {
                Out::Say { to, body } => {
                    self.sent[from] += 1;
                    mail.push((
                        from,
                        usize::from(to),
                        seal(0, self.all[from].incarnation(), &body).unwrap(),
                    ));
                }
                Out::Starved(_) => self.starved += 1,
                _ => {}
            }
        }
    }

    fn thought(&self, of: usize) -> Vec<Standing> {
        let others = (0..self.all.len()).filter(|n| *n != of && self.up[*n]);
        others.map(|n| self.all[n].standing(of as Member)).collect()
    }
}

#[rstest]
fn one_that_ends_is_gone_for_all_and_back_when_it_starts_from_nothing() {
    let mut world = World::new(8);
    world.run(PERIOD * 8);
    world.up[3] = false;
    world.run(PERIOD * 40);
    assert_eq!(world.thought(3), [Standing::Gone; 7]);
    let terms = Terms {
        incarnation: 2_000_000,
        ..peers(3, 8).terms
    };
    (world.all[3], world.up[3]) = (Peers::new(terms, world.now), true);
    world.run(PERIOD * 12);
    assert_eq!(world.thought(3), [Standing::Here; 7]);
}

#[rstest]
fn of_what_is_lost_by_the_way_nobody_is_accused() {
    let mut world = World::new(12);
    world.loss = 5;
    world.run(PERIOD * 600);
    assert_eq!(world.all.iter().map(|p| p.counts().doubts).sum::<u64>(), 0);
}

// It slept: what was asked before lies unanswered, and all others would be in doubt.
#[rstest]
fn whoever_slept_accuses_nobody() {
    let mut world = World::new(6);
    world.run(PERIOD * 5);
    world.up[2] = false;
    world.run(PERIOD * 2);
    world.up[2] = true;
    world.run(PERIOD * 30);
    assert!(world.starved > 0);
    assert_eq!(world.all[2].counts().doubts, 0);
    assert_eq!(world.thought(2), [Standing::Here; 5]);
}

#[rstest]
fn whoever_is_cut_off_from_all_accuses_few_and_the_fleet_forgives_it() {
    let mut world = World::new(9);
    world.run(PERIOD * 5);
    let (all, alone) = (std::mem::replace(&mut world.up, vec![false; 9]), 4);
    world.up[alone] = true;
    world.run(PERIOD * 60);
    assert!(
        world.all[alone].counts().doubts <= 4,
        "{:?}",
        world.all[alone].counts()
    );
    world.up = all;
    world.run(PERIOD * 30);
    assert_eq!(
        (0..9)
            .flat_map(|n| world.thought(n))
            .filter(|s| *s != Standing::Here)
            .count(),
        0
    );
}

#[rstest]
#[case::few(5)]
#[case::many(120)]
fn datagrams_are_bounded_whatever_the_size(#[case] members: usize) {
    let mut world = World::new(members);
    world.up[1] = false;
    world.run(PERIOD * 20);
    let most = world.sent.iter().max().unwrap();
    assert!(*most as f64 <= MOST_A_SECOND * 21.0, "{most}");
    let mean = world.sent.iter().sum::<u64>() as f64 / members as f64 / 20.0;
    assert!(mean < 4.0, "{mean}");
}

#[rstest]
fn a_fact_comes_to_all_and_an_older_one_does_not_undo_it() {
    let mut world = World::new(30);
    let note = |number, holder| Note {
        topic: 9,
        number,
        holder,
    };
    world.all[3].note(note(5, Some(3)));
    world.run(PERIOD * 12);
    world.all[7].note(note(6, Some(7)));
    assert!(!world.all[7].note(note(5, Some(3))));
    world.run(PERIOD * 12);
    assert!(
        world
            .all
            .iter()
            .all(|p| p.note_of(9) == Some(note(6, Some(7))))
    );
}

#[rstest]
fn a_datagram_of_an_incarnation_that_is_over_is_not_heard() {
    let mut peers = peers(0, 3);
    assert!(peers.admit(PERIOD, 1, 500).0);
    assert!(peers.admit(PERIOD, 1, 700).0);
    assert!(!peers.admit(PERIOD, 1, 500).0);
    assert!(!peers.admit(PERIOD, 9, 500).0);
    assert_eq!(peers.counts().old, 1);
}

#[rstest]
#[case::empty(vec![], Ill::Foreign)]
#[case::foreign(b"GET / HTTP/1.1".to_vec(), Ill::Foreign)]
#[case::another_version(vec![0xb5, 2, 9], Ill::Version)]
#[case::cut(seal(1, 7, b"body").unwrap()[..15].to_vec(), Ill::Length)]
#[case::more([seal(1, 7, b"body").unwrap(), vec![0]].concat(), Ill::Length)]
fn what_is_no_frame_is_told_apart(#[case] bytes: Vec<u8>, #[case] ill: Ill) {
    assert_eq!(open(&bytes), Err(ill));
}

// work-late: each doubt that one refuted voided what it had acknowledged, and no machine was ever empty.
#[rstest]
fn one_that_refutes_a_doubt_lives_on() {
    let mut peers = Peers::new(
        Terms {
            incarnation: begun(PERIOD),
            ..peers(0, 3).terms
        },
        Duration::ZERO,
    );
    let before = peers.incarnation();
    let mut out = Vec::new();
    peers.believe(
        PERIOD,
        Told {
            member: 0,
            standing: Standing::Doubt,
            incarnation: before,
        },
        &mut out,
    );
    assert!(peers.incarnation() > before && life(peers.incarnation()) == life(before));
    // Another process of this name has had a later one.
    peers.believe(
        PERIOD,
        Told {
            member: 0,
            standing: Standing::Here,
            incarnation: 9 << 20,
        },
        &mut out,
    );
    assert!(life(peers.incarnation()) > life(9 << 20));
    // What it said before the doubt is still heard of it elsewhere.
    let mut other = self::peers(1, 3);
    assert!(other.admit(PERIOD, 0, before + 1).0 && other.admit(PERIOD, 0, before).0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(
        std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(4_000)
    ))]

    #[test]
    fn no_bytes_bring_it_down(bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..256), 1..8)) {
        let mut peers = peers(0, 5);
        for body in bodies {
            let _ = open(&body);
            for out in peers.hear(PERIOD, 1, &body) {
                if let Out::Say { body, .. } = out {
                    prop_assert!(seal(0, 1, &body).is_some_and(|bytes| bytes.len() <= LONGEST));
                }
            }
        }
        prop_assert_eq!(peers.known().len(), 5);
    }

    #[test]
    fn a_frame_comes_back_as_it_was(channel: u8, incarnation: u64, body in prop::collection::vec(any::<u8>(), 0..300)) {
        match seal(channel, incarnation, &body) {
            Some(bytes) => prop_assert_eq!(open(&bytes), Ok((channel, incarnation, &body[..]))),
            None => prop_assert!(body.len() + frame::HEAD > LONGEST),
        }
    }
}
