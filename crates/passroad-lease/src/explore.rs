//! Explores every order of words, losses, doublings, time, pauses and restarts, with memory and without, for three voters
//! and two candidates to a bounded depth. Nothing is sampled; what is beyond the bounds is not looked at, and counted.

use super::*;
use rstest::rstest;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

const DUTY: LeaseKey = 7;
const LEASE: Duration = Duration::from_millis(800);
/// Two of them are longer than an owner's share of a lease, three than a voter is mute.
const STEP: Duration = Duration::from_millis(400);

/// What may happen, and how often.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Bounds {
    depth: usize,
    steps: u32,
    lost: u8,
    duplicated: u8,
    pauses: u8,
    restarts: u8,
    forgets: bool,
    in_flight: usize,
    /// The system's clock stands: epochs rise by memory alone.
    clock_stands: bool,
    candidates: Member,
    /// Whether epochs have to rise.
    epochs: bool,
    /// Whether candidates look before they ask.
    query_round: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<LeaseManager>,
    paused: [bool; 3],
    began: [u32; 3],
    time: u32,
    in_flight: Vec<(Member, Member, Message)>, // sorted
    won: Epoch,                                // the highest so far
    budget: Bounds,
}

/// Clocks of three machines, 2% apart.
const RATES: [f64; 3] = [0.99, 1.01, 1.0];

impl World {
    fn new(bounds: Bounds, faults: InjectedFaults) -> World {
        let faults = InjectedFaults {
            no_randomness: true,
            no_query: !bounds.query_round,
            ..faults
        };
        let mut world = World {
            nodes: Vec::new(),
            paused: [false; 3],
            began: [0; 3],
            time: 4,
            in_flight: Vec::new(),
            won: 0,
            budget: bounds,
        };
        for me in 0..3 {
            // The explorer begins where nobody is mute.
            let mut node = LeaseManager::new(config(me), Clocks::default(), Some(BTreeMap::new()));
            node.faults = faults;
            node.set_candidacy(
                world.clocks(me),
                DUTY,
                (me < bounds.candidates).then_some(0),
            );
            world.nodes.push(node);
        }
        world
    }

    fn clocks(&self, me: Member) -> Clocks {
        let index = usize::from(me);
        let wall = if self.budget.clock_stands {
            1
        } else {
            self.time
        };
        let monotonic = STEP.mul_f64(f64::from(self.time - self.began[index]) * RATES[index]);
        Clocks {
            monotonic,
            wall: STEP * wall,
        }
    }

    /// Carries out what a node asks for; it hears itself at once. What breaks is told.
    fn take(&mut self, me: Member, actions: Vec<Action>) -> Result<(), String> {
        for action in actions {
            match action {
                Action::Send { to, message } if to == me => {
                    let clocks = self.clocks(me);
                    let actions = self.nodes[usize::from(me)].receive(clocks, me, message);
                    self.take(me, actions)?;
                }
                Action::Send { to, message } => self.in_flight.push((me, to, message)),
                Action::Acquired { epoch, .. } if epoch <= self.won && self.budget.epochs => {
                    return Err(format!("{me} won epoch {epoch} after {}", self.won));
                }
                Action::Acquired { epoch, .. } => self.won = self.won.max(epoch),
                Action::Persist { .. } | Action::Lost { .. } => {}
            }
        }
        self.in_flight.sort_unstable();
        Ok(())
    }

    fn check(&mut self) -> Result<(), String> {
        let mut owners = Vec::new();
        for me in 0..2 {
            let clocks = self.clocks(me);
            // Whoever is stopped does nothing; when it wakes it looks at its clock.
            if !self.paused[usize::from(me)]
                && self.nodes[usize::from(me)]
                    .clone()
                    .ownership(clocks, DUTY)
                    .is_some()
            {
                owners.push(me);
            }
        }
        if owners.len() > 1 {
            Err(format!("{owners:?} own it at once"))
        } else {
            Ok(())
        }
    }

    fn next(&self) -> Vec<(String, Result<World, String>)> {
        let mut all = Vec::new();
        let mut add = |what: String, change: &dyn Fn(&mut World) -> Result<(), String>| {
            let mut world = self.clone();
            let renewed = change(&mut world).and_then(|()| world.check());
            all.push((what, renewed.map(|()| world)));
        };
        let deliver = |world: &mut World, n: usize, keep: bool| {
            let (from, to, message) = world.in_flight[n].clone();
            if !keep {
                world.in_flight.remove(n);
            }
            let clocks = world.clocks(to);
            let actions = world.nodes[usize::from(to)].receive(clocks, from, message);
            world.take(to, actions)
        };
        for n in 0..self.in_flight.len() {
            if n > 0 && self.in_flight[n] == self.in_flight[n - 1] {
                continue;
            }
            let (from, to, message) = &self.in_flight[n];
            let name = format!("{from} to {to}: {message:?}");
            if !self.paused[usize::from(*to)] {
                add(name.clone(), &|world| deliver(world, n, false));
                if self.budget.duplicated > 0 {
                    add(format!("{name}, to come again"), &|world| {
                        world.budget.duplicated -= 1;
                        deliver(world, n, true)
                    });
                }
            }
            if self.budget.lost > 0 {
                add(format!("{name}, lost"), &|world| {
                    world.budget.lost -= 1;
                    world.in_flight.remove(n);
                    Ok(())
                });
            }
        }
        if self.budget.steps > 0 {
            add("time".into(), &|world| {
                world.budget.steps -= 1;
                world.time += 1;
                for me in 0..3 {
                    if !world.paused[usize::from(me)] {
                        let clocks = world.clocks(me);
                        let actions = world.nodes[usize::from(me)].tick(clocks);
                        world.take(me, actions)?;
                    }
                }
                Ok(())
            });
        }
        for me in 0..3u16 {
            let index = usize::from(me);
            if self.paused[index] {
                add(format!("{me} wakes"), &|world| {
                    world.paused[index] = false;
                    Ok(())
                });
            } else if self.budget.pauses > 0 && me < 2 {
                add(format!("{me} is stopped"), &|world| {
                    world.budget.pauses -= 1;
                    world.paused[index] = true;
                    Ok(())
                });
            }
            if self.budget.restarts > 0 {
                add(format!("{me} starts anew"), &|world| {
                    world.budget.restarts -= 1;
                    world.began[index] = world.time;
                    let stored_votes =
                        (!world.budget.forgets).then(|| world.nodes[index].votes.clone());
                    let faults = world.nodes[index].faults;
                    let mut node = LeaseManager::new(config(me), world.clocks(me), stored_votes);
                    node.faults = faults;
                    node.set_candidacy(
                        world.clocks(me),
                        DUTY,
                        (me < world.budget.candidates).then_some(0),
                    );
                    world.nodes[index] = node;
                    Ok(())
                });
            }
        }
        all
    }
}

fn config(me: Member) -> LeaseConfig {
    LeaseConfig {
        me,
        members: 3,
        voters: 3,
        lease: LEASE,
        seed: 1,
    }
}

#[derive(Debug, Default)]
struct Seen {
    states: usize,
    won: usize,
    cut: usize, // too many words under way
    broken: Option<Vec<String>>,
}

/// Breadth first, so that what is found is shortest.
fn explore(bounds: Bounds, faults: InjectedFaults) -> Seen {
    let first = World::new(bounds, faults);
    let mark = |world: &World| {
        let mut hasher = DefaultHasher::new();
        world.hash(&mut hasher);
        hasher.finish()
    };
    let mut known = HashSet::from([mark(&first)]);
    let mut seen = Seen {
        states: 1,
        ..Seen::default()
    };
    let mut steps: Vec<(usize, String)> = vec![(usize::MAX, String::new())];
    let mut level = vec![(0, first)];
    for _ in 0..bounds.depth {
        let mut deeper = Vec::new();
        for (at, world) in level {
            for (what, next) in world.next() {
                let told = |last: String| {
                    let (mut path, mut at) = (vec![last], at);
                    while at != usize::MAX {
                        path.push(steps[at].1.clone());
                        at = steps[at].0;
                    }
                    path.reverse();
                    path
                };
                match next {
                    Err(broken) => {
                        seen.broken = Some(told(format!("{what}: {broken}")));
                        return seen;
                    }
                    Ok(next) if next.in_flight.len() > bounds.in_flight => seen.cut += 1,
                    Ok(next) => {
                        if known.insert(mark(&next)) {
                            seen.states += 1;
                            seen.won += usize::from(next.won > world.won);
                            steps.push((at, what));
                            deeper.push((steps.len() - 1, next));
                        }
                    }
                }
            }
        }
        level = deeper;
    }
    seen
}

const NOTHING: Bounds = Bounds {
    depth: 13,
    steps: 4,
    lost: 0,
    duplicated: 0,
    pauses: 0,
    restarts: 0,
    forgets: false,
    in_flight: 5,
    clock_stands: false,
    candidates: 2,
    epochs: true,
    query_round: false,
};
/// What each case may bring; deeper ones are for a machine that has time (`PASSROAD_EXPLORE=2`).
const LOSSY: Bounds = Bounds {
    lost: 1,
    duplicated: 1,
    depth: 12,
    ..NOTHING
};
const STOPPED: Bounds = Bounds {
    pauses: 1,
    steps: 3,
    in_flight: 7,
    ..NOTHING
};
const AGAIN: Bounds = Bounds {
    candidates: 1,
    steps: 6,
    depth: 13,
    in_flight: 7,
    clock_stands: true,
    ..NOTHING
};
const FORGETTING: Bounds = Bounds {
    restarts: 1,
    forgets: true,
    ..NOTHING
};
const REMEMBERING: Bounds = Bounds {
    restarts: 1,
    clock_stands: true,
    ..NOTHING
};
const DUPLICATED: Bounds = Bounds {
    duplicated: 1,
    clock_stands: true,
    ..NOTHING
};

#[rstest]
#[case::lossy(LOSSY)]
#[case::stopped(STOPPED)]
#[case::forgetting(FORGETTING)]
#[case::remembering(REMEMBERING)]
#[case::duplicated(DUPLICATED)]
#[case::next_at(AGAIN)]
#[case::looking(Bounds { query_round: true, restarts: 1, forgets: true, ..NOTHING })]
fn in_no_order_do_two_own_it_or_epochs_fall(#[case] bounds: Bounds) {
    let deeper = std::env::var("PASSROAD_EXPLORE")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let bounds = Bounds {
        depth: bounds.depth + deeper,
        ..bounds
    };
    let seen = explore(bounds, InjectedFaults::default());
    println!(
        "{} states, {} with a new owner, {} cut",
        seen.states, seen.won, seen.cut
    );
    assert!(seen.broken.is_none(), "{:#?}", seen.broken);
    assert!(
        seen.won > 0 && seen.states > 1000,
        "{} states, {} owners",
        seen.states,
        seen.won
    );
}

#[rstest]
#[case::no_recovery_period(Bounds { epochs: false, ..FORGETTING }, InjectedFaults { no_recovery_period: true, ..InjectedFaults::default() }, "own it at once")]
#[case::never_mute_and_epochs(FORGETTING, InjectedFaults { no_recovery_period: true, ..InjectedFaults::default() }, "won epoch")]
#[case::no_owner_expiry(STOPPED, InjectedFaults { no_owner_expiry: true, ..InjectedFaults::default() }, "own it at once")]
#[case::any_owner(DUPLICATED, InjectedFaults { any_owner: true, ..InjectedFaults::default() }, "won epoch")]
#[case::equal_epochs(AGAIN, InjectedFaults { equal_epochs: true, ..InjectedFaults::default() }, "won epoch")]
fn each_planted_fault_is_found(
    #[case] bounds: Bounds,
    #[case] faults: InjectedFaults,
    #[case] what: &str,
) {
    let seen = explore(bounds, faults);
    let path = seen.broken.unwrap_or_default();
    println!("{} states: {path:#?}", seen.states);
    assert!(
        path.last().is_some_and(|last| last.contains(what)),
        "not found in {} states",
        seen.states
    );
}
