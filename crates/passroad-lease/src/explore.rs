//! Explores every order of words, losses, doublings, time, pauses and restarts, with memory and without, for three voters
//! and two candidates to a bounded depth. Nothing is sampled; what is beyond the bounds is not looked at, and counted.

use super::*;
use rstest::rstest;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

const DUTY: Duty = 7;
const LEASE: Duration = Duration::from_millis(800);
/// Two of them are longer than an owner's share of a lease, three than a voter is mute.
const STEP: Duration = Duration::from_millis(400);

/// What may happen, and how often.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Bounds {
    depth: usize,
    steps: u32,
    lost: u8,
    twice: u8,
    pauses: u8,
    restarts: u8,
    forgets: bool,
    under_way: usize,
    /// The system's clock stands: epochs rise by memory alone.
    clock_stands: bool,
    candidates: Member,
    /// Whether epochs have to rise.
    epochs: bool,
    /// Whether candidates look before they ask.
    looks: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Lease>,
    paused: [bool; 3],
    began: [u32; 3],
    time: u32,
    under_way: Vec<(Member, Member, Word)>, // sorted
    won: Epoch,                             // the highest so far
    left: Bounds,
}

/// Clocks of three machines, 2% apart.
const RATES: [f64; 3] = [0.99, 1.01, 1.0];

impl World {
    fn new(bounds: Bounds, planted: Planted) -> World {
        let planted = Planted {
            no_chance: true,
            no_look: !bounds.looks,
            ..planted
        };
        let mut world = World {
            nodes: Vec::new(),
            paused: [false; 3],
            began: [0; 3],
            time: 4,
            under_way: Vec::new(),
            won: 0,
            left: bounds,
        };
        for me in 0..3 {
            // The explorer begins where nobody is mute.
            let mut node = Lease::new(terms(me), Times::default(), Some(BTreeMap::new()));
            node.planted = planted;
            node.stand(world.times(me), DUTY, (me < bounds.candidates).then_some(0));
            world.nodes.push(node);
        }
        world
    }

    fn times(&self, me: Member) -> Times {
        let at = usize::from(me);
        let wall = if self.left.clock_stands { 1 } else { self.time };
        let steady = STEP.mul_f64(f64::from(self.time - self.began[at]) * RATES[at]);
        Times {
            steady,
            wall: STEP * wall,
        }
    }

    /// Carries out what a node asks for; it hears itself at once. What breaks is told.
    fn take(&mut self, me: Member, outs: Vec<Out>) -> Result<(), String> {
        for out in outs {
            match out {
                Out::Say { to, word } if to == me => {
                    let times = self.times(me);
                    let outs = self.nodes[usize::from(me)].hear(times, me, word);
                    self.take(me, outs)?;
                }
                Out::Say { to, word } => self.under_way.push((me, to, word)),
                Out::Won { epoch, .. } if epoch <= self.won && self.left.epochs => {
                    return Err(format!("{me} won epoch {epoch} after {}", self.won));
                }
                Out::Won { epoch, .. } => self.won = self.won.max(epoch),
                Out::Keep { .. } | Out::Lost { .. } => {}
            }
        }
        self.under_way.sort_unstable();
        Ok(())
    }

    fn check(&mut self) -> Result<(), String> {
        let mut owners = Vec::new();
        for me in 0..2 {
            let times = self.times(me);
            // Whoever is stopped does nothing; when it wakes it looks at its clock.
            if !self.paused[usize::from(me)]
                && self.nodes[usize::from(me)]
                    .clone()
                    .owned(times, DUTY)
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
            let done = change(&mut world).and_then(|()| world.check());
            all.push((what, done.map(|()| world)));
        };
        let deliver = |world: &mut World, n: usize, keep: bool| {
            let (from, to, word) = world.under_way[n].clone();
            if !keep {
                world.under_way.remove(n);
            }
            let times = world.times(to);
            let outs = world.nodes[usize::from(to)].hear(times, from, word);
            world.take(to, outs)
        };
        for n in 0..self.under_way.len() {
            if n > 0 && self.under_way[n] == self.under_way[n - 1] {
                continue;
            }
            let (from, to, word) = &self.under_way[n];
            let name = format!("{from} to {to}: {word:?}");
            if !self.paused[usize::from(*to)] {
                add(name.clone(), &|world| deliver(world, n, false));
                if self.left.twice > 0 {
                    add(format!("{name}, to come again"), &|world| {
                        world.left.twice -= 1;
                        deliver(world, n, true)
                    });
                }
            }
            if self.left.lost > 0 {
                add(format!("{name}, lost"), &|world| {
                    world.left.lost -= 1;
                    world.under_way.remove(n);
                    Ok(())
                });
            }
        }
        if self.left.steps > 0 {
            add("time".into(), &|world| {
                world.left.steps -= 1;
                world.time += 1;
                for me in 0..3 {
                    if !world.paused[usize::from(me)] {
                        let times = world.times(me);
                        let outs = world.nodes[usize::from(me)].tick(times);
                        world.take(me, outs)?;
                    }
                }
                Ok(())
            });
        }
        for me in 0..3u16 {
            let at = usize::from(me);
            if self.paused[at] {
                add(format!("{me} wakes"), &|world| {
                    world.paused[at] = false;
                    Ok(())
                });
            } else if self.left.pauses > 0 && me < 2 {
                add(format!("{me} is stopped"), &|world| {
                    world.left.pauses -= 1;
                    world.paused[at] = true;
                    Ok(())
                });
            }
            if self.left.restarts > 0 {
                add(format!("{me} starts anew"), &|world| {
                    world.left.restarts -= 1;
                    world.began[at] = world.time;
                    let kept = (!world.left.forgets).then(|| world.nodes[at].votes.clone());
                    let planted = world.nodes[at].planted;
                    let mut node = Lease::new(terms(me), world.times(me), kept);
                    node.planted = planted;
                    node.stand(
                        world.times(me),
                        DUTY,
                        (me < world.left.candidates).then_some(0),
                    );
                    world.nodes[at] = node;
                    Ok(())
                });
            }
        }
        all
    }
}

fn terms(me: Member) -> Terms {
    Terms {
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
fn explore(bounds: Bounds, planted: Planted) -> Seen {
    let first = World::new(bounds, planted);
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
                    Ok(next) if next.under_way.len() > bounds.under_way => seen.cut += 1,
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
    twice: 0,
    pauses: 0,
    restarts: 0,
    forgets: false,
    under_way: 5,
    clock_stands: false,
    candidates: 2,
    epochs: true,
    looks: false,
};
/// What each case may bring; deeper ones are for a machine that has time (`PASSROAD_EXPLORE=2`).
const LOSSY: Bounds = Bounds {
    lost: 1,
    twice: 1,
    depth: 12,
    ..NOTHING
};
const STOPPED: Bounds = Bounds {
    pauses: 1,
    steps: 3,
    under_way: 7,
    ..NOTHING
};
const AGAIN: Bounds = Bounds {
    candidates: 1,
    steps: 6,
    depth: 13,
    under_way: 7,
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
const TWICE: Bounds = Bounds {
    twice: 1,
    clock_stands: true,
    ..NOTHING
};

#[rstest]
#[case::lossy(LOSSY)]
#[case::stopped(STOPPED)]
#[case::forgetting(FORGETTING)]
#[case::remembering(REMEMBERING)]
#[case::twice(TWICE)]
#[case::again(AGAIN)]
#[case::looking(Bounds { looks: true, restarts: 1, forgets: true, ..NOTHING })]
fn in_no_order_do_two_own_it_or_epochs_fall(#[case] bounds: Bounds) {
    let deeper = std::env::var("PASSROAD_EXPLORE")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let bounds = Bounds {
        depth: bounds.depth + deeper,
        ..bounds
    };
    let seen = explore(bounds, Planted::default());
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
#[case::never_mute(Bounds { epochs: false, ..FORGETTING }, Planted { never_mute: true, ..Planted::default() }, "own it at once")]
#[case::never_mute_and_epochs(FORGETTING, Planted { never_mute: true, ..Planted::default() }, "won epoch")]
#[case::no_own_end(STOPPED, Planted { no_own_end: true, ..Planted::default() }, "own it at once")]
#[case::any_owner(TWICE, Planted { any_owner: true, ..Planted::default() }, "won epoch")]
#[case::equal_epochs(AGAIN, Planted { equal_epochs: true, ..Planted::default() }, "won epoch")]
fn each_planted_fault_is_found(
    #[case] bounds: Bounds,
    #[case] planted: Planted,
    #[case] what: &str,
) {
    let seen = explore(bounds, planted);
    let path = seen.broken.unwrap_or_default();
    println!("{} states: {path:#?}", seen.states);
    assert!(
        path.last().is_some_and(|last| last.contains(what)),
        "not found in {} states",
        seen.states
    );
}
