use super::*;
use proptest::prelude::*;
use rstest::rstest;

const PERIOD: Duration = Duration::from_secs(1);

fn membership(me: Member, members: usize) -> Membership {
    Membership::new(
        MembershipConfig {
            me,
            members,
            incarnation: 1_000_000 + u64::from(me),
            period: PERIOD,
            seed: 77 + u64::from(me),
        },
        Duration::ZERO,
    )
}

/// Some members and the datagrams between them, in steps of 10 ms.
struct World {
    all: Vec<Membership>,
    now: Duration,
    up: Vec<bool>,
    loss: u32, // of a hundred
    random_state: u32,
    sent: Vec<u64>,
    pauses: usize,
}

impl World {
    fn new(members: usize) -> World {
        let all = (0..members)
            .map(|n| membership(n as Member, members))
            .collect();
        World {
            all,
            now: Duration::ZERO,
            up: vec![true; members],
            loss: 0,
            random_state: 1,
            sent: vec![0; members],
            pauses: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += Duration::from_millis(10);
            let mut in_flight = Vec::new();
            for n in 0..self.all.len() {
                if self.up[n] {
                    let actions = self.all[n].tick(self.now);
                    self.post(n, actions, &mut in_flight);
                }
            }
            while let Some((from, to, bytes)) = in_flight.pop() {
                self.random_state = self
                    .random_state
                    .wrapping_mul(1_664_525)
                    .wrapping_add(1_013_904_223);
                if !self.up[to] || (self.random_state >> 16) % 100 < self.loss {
                    continue;
                }
                let (_, incarnation, body) = decode_frame(&bytes).unwrap();
                let (accepted, mut actions) =
                    self.all[to].accept_sender(self.now, from as Member, incarnation);
                if accepted {
                    actions.extend(self.all[to].receive(self.now, from as Member, body));
                }
                self.post(to, actions, &mut in_flight);
            }
        }
    }

    fn post(
        &mut self,
        from: usize,
        actions: Vec<Action>,
        in_flight: &mut Vec<(usize, usize, Vec<u8>)>,
    ) {
        for action in actions {
            match action {
                Action::Send { to, body } => {
                    self.sent[from] += 1;
                    in_flight.push((
                        from,
                        usize::from(to),
                        encode_frame(0, self.all[from].incarnation(), &body).unwrap(),
                    ));
                }
                Action::LocalPause(_) => self.pauses += 1,
                _ => {}
            }
        }
    }

    fn states_of(&self, target: usize) -> Vec<MemberState> {
        let others = (0..self.all.len()).filter(|n| *n != target && self.up[*n]);
        others
            .map(|n| self.all[n].state_of(target as Member))
            .collect()
    }
}

#[rstest]
fn a_member_that_ends_is_dead_for_all_and_alive_after_a_restart() {
    let mut world = World::new(8);
    world.run(PERIOD * 8);
    world.up[3] = false;
    world.run(PERIOD * 40);
    assert_eq!(world.states_of(3), [MemberState::Dead; 7]);
    let config = MembershipConfig {
        incarnation: 2_000_000,
        ..membership(3, 8).config
    };
    (world.all[3], world.up[3]) = (Membership::new(config, world.now), true);
    world.run(PERIOD * 12);
    assert_eq!(world.states_of(3), [MemberState::Alive; 7]);
}

#[rstest]
fn lost_datagrams_cause_no_suspicion() {
    let mut world = World::new(12);
    world.loss = 5;
    world.run(PERIOD * 600);
    assert_eq!(
        world.all.iter().map(|p| p.counts().suspicions).sum::<u64>(),
        0
    );
}

// A pause leaves pings unacked, and the member would suspect all others.
#[rstest]
fn a_paused_member_suspects_nobody() {
    let mut world = World::new(6);
    world.run(PERIOD * 5);
    world.up[2] = false;
    world.run(PERIOD * 2);
    world.up[2] = true;
    world.run(PERIOD * 30);
    assert!(world.pauses > 0);
    assert_eq!(world.all[2].counts().suspicions, 0);
    assert_eq!(world.states_of(2), [MemberState::Alive; 5]);
}

#[rstest]
fn a_partitioned_member_suspects_few_and_the_fleet_recovers() {
    let mut world = World::new(9);
    world.run(PERIOD * 5);
    let (all, alone) = (std::mem::replace(&mut world.up, vec![false; 9]), 4);
    world.up[alone] = true;
    world.run(PERIOD * 60);
    assert!(
        world.all[alone].counts().suspicions <= 4,
        "{:?}",
        world.all[alone].counts()
    );
    world.up = all;
    world.run(PERIOD * 30);
    assert_eq!(
        (0..9)
            .flat_map(|n| world.states_of(n))
            .filter(|s| *s != MemberState::Alive)
            .count(),
        0
    );
}

#[rstest]
#[case::few(5)]
#[case::many(120)]
fn datagrams_are_bounded_for_any_fleet_size(#[case] members: usize) {
    let mut world = World::new(members);
    world.up[1] = false;
    world.run(PERIOD * 20);
    let most = world.sent.iter().max().unwrap();
    assert!(*most as f64 <= MAX_DATAGRAMS_PER_SECOND * 21.0, "{most}");
    let mean = world.sent.iter().sum::<u64>() as f64 / members as f64 / 20.0;
    assert!(mean < 4.0, "{mean}");
}

#[rstest]
fn a_fact_reaches_all_and_an_older_one_does_not_replace_it() {
    let mut world = World::new(30);
    let fact = |version, holder| GossipFact {
        topic: 9,
        version,
        holder,
    };
    world.all[3].publish_fact(fact(5, Some(3)));
    world.run(PERIOD * 12);
    world.all[7].publish_fact(fact(6, Some(7)));
    assert!(!world.all[7].publish_fact(fact(5, Some(3))));
    world.run(PERIOD * 12);
    assert!(
        world
            .all
            .iter()
            .all(|p| p.fact(9) == Some(fact(6, Some(7))))
    );
}

#[rstest]
fn a_datagram_of_an_earlier_process_is_not_accepted() {
    let mut membership = membership(0, 3);
    assert!(membership.accept_sender(PERIOD, 1, 500).0);
    assert!(membership.accept_sender(PERIOD, 1, 700).0);
    assert!(!membership.accept_sender(PERIOD, 1, 500).0);
    assert!(!membership.accept_sender(PERIOD, 9, 500).0);
    assert_eq!(membership.counts().stale, 1);
}

#[rstest]
#[case::empty(vec![], FrameError::UnknownMagic)]
#[case::unknown_magic(b"GET / HTTP/1.1".to_vec(), FrameError::UnknownMagic)]
#[case::another_version(vec![0xb5, 2, 9], FrameError::UnsupportedVersion)]
#[case::cut(encode_frame(1, 7, b"body").unwrap()[..15].to_vec(), FrameError::LengthMismatch)]
#[case::trailing_byte([encode_frame(1, 7, b"body").unwrap(), vec![0]].concat(), FrameError::LengthMismatch)]
fn malformed_frames_are_told_apart(#[case] bytes: Vec<u8>, #[case] error: FrameError) {
    assert_eq!(decode_frame(&bytes), Err(error));
}

// In the work-late experiment each refuted suspicion voided what the member had acknowledged, so that no machine ever
// counted as idle.
#[rstest]
fn refuting_a_suspicion_keeps_the_process_identity() {
    let mut membership = Membership::new(
        MembershipConfig {
            incarnation: incarnation_at(PERIOD),
            ..membership(0, 3).config
        },
        Duration::ZERO,
    );
    let before = membership.incarnation();
    let mut actions = Vec::new();
    membership.apply_update(
        PERIOD,
        MemberUpdate {
            member: 0,
            state: MemberState::Suspect,
            incarnation: before,
        },
        &mut actions,
    );
    assert!(
        membership.incarnation() > before
            && process_start_ms(membership.incarnation()) == process_start_ms(before)
    );
    // Another process of this name had a later start.
    membership.apply_update(
        PERIOD,
        MemberUpdate {
            member: 0,
            state: MemberState::Alive,
            incarnation: 9 << 20,
        },
        &mut actions,
    );
    assert!(process_start_ms(membership.incarnation()) > process_start_ms(9 << 20));
    // What it sent before the suspicion is still accepted elsewhere.
    let mut other = self::membership(1, 3);
    assert!(
        other.accept_sender(PERIOD, 0, before + 1).0 && other.accept_sender(PERIOD, 0, before).0
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(
        std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(4_000)
    ))]

    #[test]
    fn no_bytes_cause_a_panic(bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..256), 1..8)) {
        let mut membership = membership(0, 5);
        for body in bodies {
            let _ = decode_frame(&body);
            for action in membership.receive(PERIOD, 1, &body) {
                if let Action::Send { body, .. } = action {
                    prop_assert!(encode_frame(0, 1, &body).is_some_and(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES));
                }
            }
        }
        prop_assert_eq!(membership.members().len(), 5);
    }

    #[test]
    fn a_frame_round_trips(channel: u8, incarnation: u64, body in prop::collection::vec(any::<u8>(), 0..300)) {
        match encode_frame(channel, incarnation, &body) {
            Some(bytes) => prop_assert_eq!(decode_frame(&bytes), Ok((channel, incarnation, &body[..]))),
            None => prop_assert!(body.len() + frame::HEADER_BYTES > MAX_DATAGRAM_BYTES),
        }
    }
}
