//! One owner at a time for each duty. A candidate asks a fixed council of voters for an epoch, then takes the duty for
//! a lease; a majority that grants it makes it the owner until the lease ends by its own clock. Nothing here does input
//! or output or reads a clock: [`Lease::hear`] and [`Lease::tick`] are handed the time and return what is to be done.
//!
//! What is promised, and by what (`docs/fleet-design.md`):
//! - no two own a duty at once: by time. A voter grants nothing beside a live grant, and one that has forgotten is mute
//!   until all that it may have granted has run out. Holds for clocks that run up to 2% apart.
//! - epochs rise: a voter grants only what it has promised, and promises only what is higher. Where a majority forgets
//!   at once the system's clock, from which epochs are made, carries them on.
//! - no two are obeyed: by [`Fence`] alone, at whoever is acted on, whatever clocks and voters do.

mod council;
mod fence;
mod voter;

#[cfg(test)]
mod explore;
#[cfg(test)]
mod tests;

pub use council::{council, order};
pub use fence::{Fence, Refused};
pub use voter::{Grant, Vote};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Place of a sidecar in the list of all.
pub type Member = u16;
/// A duty, by a number made of its name that is the same everywhere.
pub type Duty = u64;
/// Rises with each ownership: milliseconds since 1970, or one more than the highest seen where that is more.
pub type Epoch = u64;

/// Of its lease an owner uses so much by its own clock: clocks may run 2% apart, either way, and a little more.
const OWN_SHARE: f64 = 0.95;
/// A voter that has forgotten is mute for so many of the longest leases.
const MUTE: f64 = 1.05;
/// Longest that a word is waited for, as a part of the lease.
const ANSWER_PART: u32 = 8;
const RENEW_PART: u32 = 3;
/// A leave is said so often, as words may be lost.
const LEAVES: u8 = 3;
/// Duties that a voter keeps something of.
const MOST_DUTIES: usize = 64;
/// Who stands behind another in a duty's order gives it so long a start.
const PLACES_APART: Duration = Duration::from_millis(20);
const LEAVES_APART: Duration = Duration::from_millis(20);

/// The two clocks of a machine. The steady one may stand still while the machine sleeps; the other may be set.
#[derive(Debug, Clone, Copy, Default)]
pub struct Times {
    pub steady: Duration, // since the process began
    pub wall: Duration,   // since 1970
}

/// What this sidecar goes by.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Terms {
    pub me: Member,
    pub members: usize,
    pub voters: usize,
    pub lease: Duration,
    pub seed: u64,
}

/// What sidecars say to each other about a duty.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Word {
    /// Has anybody got it? Guards against asking beside an owner: a voter that it had not would promise away its vote.
    Look {
        duty: Duty,
        round: u32,
    },
    /// Not that I know.
    Clear {
        duty: Duty,
        round: u32,
    },
    /// May I have it, by this epoch? An owner asks so in place of the one that it has.
    Ask {
        duty: Duty,
        epoch: Epoch,
        instead: Option<Epoch>,
    },
    Yes {
        duty: Duty,
        epoch: Epoch,
    },
    /// Somebody else has it for so long.
    Held {
        duty: Duty,
        asked: Epoch,
        epoch: Epoch,
        owner: Member,
        left_ms: u32,
    },
    /// Not by that epoch: this one was promised.
    Low {
        duty: Duty,
        asked: Epoch,
        highest: Epoch,
    },
    /// I take it, or go on having it, for so long from when you hear it.
    Take {
        duty: Duty,
        epoch: Epoch,
        round: u32,
        lease_ms: u32,
    },
    Granted {
        duty: Duty,
        epoch: Epoch,
        round: u32,
    },
    /// I no longer have it.
    Leave {
        duty: Duty,
        epoch: Epoch,
    },
    /// Said by a voter to whom it turned away: it is free.
    Free {
        duty: Duty,
        epoch: Epoch,
    },
}

impl Word {
    pub fn duty(&self) -> Duty {
        match self {
            Word::Look { duty, .. }
            | Word::Clear { duty, .. }
            | Word::Ask { duty, .. }
            | Word::Yes { duty, .. }
            | Word::Held { duty, .. }
            | Word::Low { duty, .. }
            | Word::Take { duty, .. }
            | Word::Granted { duty, .. }
            | Word::Leave { duty, .. }
            | Word::Free { duty, .. } => *duty,
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None for what is no word, or has something behind it.
    pub fn read(bytes: &[u8]) -> Option<Word> {
        postcard::take_from_bytes(bytes)
            .ok()
            .filter(|(_, rest)| rest.is_empty())
            .map(|(word, _)| word)
    }
}

/// What is to be done, in order: what is to be kept is kept before what comes behind it is said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Out {
    Say { to: Member, word: Word },
    Keep { duty: Duty, vote: Vote },
    Won { duty: Duty, epoch: Epoch },
    Lost { duty: Duty, epoch: Epoch, why: Why },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// No majority renewed it in time.
    RanOut,
    /// Given up on purpose.
    Left,
    /// Whoever was acted on knows a higher epoch.
    Outrun,
}

/// How a candidate stands with a duty.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Part {
    /// It does not stand.
    Off,
    Rest {
        until: Duration,
    },
    Looking {
        since: Duration,
        clear: Vec<Member>,
        held: Vec<(Member, Duration)>,
    },
    Asking {
        epoch: Epoch,
        since: Duration,
        yes: Vec<Member>,
        no: Vec<Member>,
    },
    Taking {
        epoch: Epoch,
        since: Duration,
        granted: Vec<Member>,
    },
    Owner {
        epoch: Epoch,
        until: Duration,
        since: Duration,
        round: u32,
        granted: Vec<Member>,
        done: bool,
        rising: Option<Rising>,
    },
    Leaving {
        epoch: Epoch,
        again: Duration,
        left: u8,
    },
}

/// An owner on its way to a higher epoch, as a voter has promised what it can't renew.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Rising {
    epoch: Epoch,
    since: Duration,
    yes: Vec<Member>,
    granted: Vec<Member>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Candidate {
    council: Vec<Member>,
    stands: bool,
    place: u32,     // among those that stand
    highest: Epoch, // heard of anywhere
    looks: u32,
    part: Part,
}

/// One sidecar's part in all duties, as voter and as candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    terms: Terms,
    dice: u64,
    mute_until: Duration, // steady
    votes: BTreeMap<Duty, Vote>,
    candidates: BTreeMap<Duty, Candidate>,
    /// The owner's clock: the faster of the two, so that a machine that slept does not think that it still owns.
    own: Duration,
    last: (Duration, Duration),
    #[cfg(test)]
    pub(crate) planted: Planted,
}

/// Faults that the explorer has to find.
#[cfg(test)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(crate) struct Planted {
    pub never_mute: bool,
    pub equal_epochs: bool,
    pub no_own_end: bool,
    pub any_owner: bool,
    pub no_chance: bool, // no fault: fewer states
    pub no_look: bool,   // the same; it is not safety that looking is for
}

/// Faults are planted in tests only.
macro_rules! planted {
    ($lease:expr, $fault:ident) => {{
        #[cfg(test)]
        let fault = $lease.planted.$fault;
        #[cfg(not(test))]
        let fault = false;
        fault
    }};
}

impl Lease {
    /// `kept` is what the voter had kept on disk; without it, it has forgotten, and is mute for a while.
    pub fn new(terms: Terms, times: Times, kept: Option<BTreeMap<Duty, Vote>>) -> Lease {
        let mute_until = match kept {
            Some(_) => Duration::ZERO,
            None => times.steady + terms.lease.mul_f64(MUTE),
        };
        let mut votes = kept.unwrap_or_default();
        // How long ago it was granted is not known: for all of its time from here.
        votes
            .values_mut()
            .for_each(|vote| vote.read_again(times.steady));
        Lease {
            dice: terms.seed | 1,
            terms,
            mute_until,
            votes,
            candidates: BTreeMap::new(),
            own: Duration::ZERO,
            last: (times.steady, times.wall),
            #[cfg(test)]
            planted: Planted::default(),
        }
    }

    /// Has a duty looked after; `place` is this sidecar's among those that stand for it, if it does. Standing down gives up what it owns.
    pub fn stand(&mut self, times: Times, duty: Duty, place: Option<usize>) -> Vec<Out> {
        let now = self.pass(times);
        let (voters, members) = (self.terms.voters, self.terms.members);
        let new = || Candidate {
            council: council(duty, members, voters),
            stands: false,
            place: 0,
            highest: 0,
            looks: 0,
            part: Part::Off,
        };
        let c = self.candidates.entry(duty).or_insert_with(new);
        let stands = place.is_some();
        (c.stands, c.place) = (stands, place.unwrap_or_default() as u32);
        if stands && c.part == Part::Off {
            c.part = Part::Rest { until: now };
        }
        if stands {
            Vec::new()
        } else {
            self.leave(times, duty, Why::Left)
        }
    }

    /// Gives up a duty at once, so that the next owner need not wait for the lease to run out.
    pub fn leave(&mut self, times: Times, duty: Duty, why: Why) -> Vec<Out> {
        let now = self.pass(times);
        let Some(c) = self.candidates.get_mut(&duty) else {
            return Vec::new();
        };
        let rest = if c.stands {
            Part::Rest {
                until: now + self.terms.lease,
            }
        } else {
            Part::Off
        };
        match c.part {
            Part::Owner { epoch, .. } => {
                c.part = Part::Leaving {
                    epoch,
                    again: now + LEAVES_APART,
                    left: LEAVES - 1,
                };
                let mut out = vec![Out::Lost { duty, epoch, why }];
                out.extend(c.say(Word::Leave { duty, epoch }));
                out
            }
            Part::Leaving { .. } => Vec::new(),
            Part::Taking { epoch, .. } => {
                c.part = rest;
                c.say(Word::Leave { duty, epoch })
            }
            _ => {
                c.part = rest;
                Vec::new()
            }
        }
    }

    /// An epoch of this duty was heard of: what is asked for next is higher. An owner of a lower one has been outrun.
    pub fn learn(&mut self, times: Times, duty: Duty, epoch: Epoch) -> Vec<Out> {
        let Some(c) = self.candidates.get_mut(&duty) else {
            return Vec::new();
        };
        c.highest = c.highest.max(epoch);
        match c.part {
            Part::Owner { epoch: own, .. } if own < epoch => self.leave(times, duty, Why::Outrun),
            _ => Vec::new(),
        }
    }

    /// Until when this sidecar owns a duty, by which epoch; asked again right before each act. None while it does not.
    pub fn owned(&mut self, times: Times, duty: Duty) -> Option<(Epoch, Duration)> {
        let now = self.pass(times);
        match self.candidates.get(&duty)?.part {
            Part::Owner { epoch, until, .. } if now < until || planted!(self, no_own_end) => {
                Some((epoch, until.saturating_sub(now)))
            }
            _ => None,
        }
    }

    /// Whether this voter still waits for what it may have granted and forgotten.
    pub fn mute(&self, times: Times) -> bool {
        times.steady < self.mute_until && !planted!(self, never_mute)
    }

    /// Votes on nothing more: a vote that ends with its process is one that the next owner can't count on.
    pub fn retire(&mut self) {
        self.mute_until = Duration::MAX;
    }

    pub fn voters(&self) -> usize {
        self.terms.voters
    }

    /// How long until there is something to do by time alone.
    pub fn wait(&self) -> Option<Duration> {
        let part = self.terms.lease / ANSWER_PART;
        let due = |c: &Candidate| match &c.part {
            Part::Off => None,
            Part::Rest { until } => Some(*until),
            Part::Looking { since, .. }
            | Part::Asking { since, .. }
            | Part::Taking { since, .. } => Some(*since + part),
            Part::Owner {
                since, until, done, ..
            } => {
                let next = if *done {
                    self.terms.lease / RENEW_PART
                } else {
                    part
                };
                Some((*since + next).min(*until))
            }
            Part::Leaving { again, .. } => Some(*again),
        };
        self.candidates
            .values()
            .filter_map(due)
            .min()
            .map(|at| at.saturating_sub(self.own))
    }

    /// Moves the owner's clock on by what passed on the faster of the two.
    fn pass(&mut self, times: Times) -> Duration {
        let steady = times.steady.saturating_sub(self.last.0);
        let wall = times.wall.saturating_sub(self.last.1);
        self.own += steady.max(wall);
        self.last = (self.last.0.max(times.steady), times.wall);
        self.own
    }

    fn chance(&mut self) -> f64 {
        if planted!(self, no_chance) {
            return 0.5;
        }
        self.dice = (self.dice & 0xffff_ffff) * 4_294_957_665 + (self.dice >> 32);
        (self.dice & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    /// What time alone brings.
    pub fn tick(&mut self, times: Times) -> Vec<Out> {
        let now = self.pass(times);
        let mut out = Vec::new();
        for duty in self.candidates.keys().copied().collect::<Vec<_>>() {
            self.turn(now, times, duty, &mut out);
        }
        out
    }

    fn turn(&mut self, now: Duration, times: Times, duty: Duty, out: &mut Vec<Out>) {
        let (part, lease) = (self.terms.lease / ANSWER_PART, self.terms.lease);
        let luck = self.chance();
        let (no_own_end, no_look) = (planted!(self, no_own_end), planted!(self, no_look));
        let equal = planted!(self, equal_epochs);
        let Some(c) = self.candidates.get_mut(&duty) else {
            return;
        };
        match &mut c.part {
            Part::Off => {}
            Part::Rest { until } if now >= *until => {
                if no_look {
                    return c.ask(now, times, equal, duty, out);
                }
                c.looks = c.looks.wrapping_add(1);
                c.part = Part::Looking {
                    since: now,
                    clear: vec![],
                    held: vec![],
                };
                out.extend(c.say(Word::Look {
                    duty,
                    round: c.looks,
                }));
            }
            Part::Looking { since, .. } if now >= *since + part => {
                c.part = Part::Rest {
                    until: now + part.mul_f64(0.3 + 2.0 * luck),
                };
            }
            Part::Asking { since, .. } if now >= *since + part => {
                // Guards against candidates that ask in step, each in the other's way.
                c.part = Part::Rest {
                    until: now + part.mul_f64(0.3 + 2.0 * luck),
                };
            }
            Part::Taking { epoch, since, .. } if now >= *since + part => {
                // What some have granted is in nobody's way for longer.
                let epoch = *epoch;
                c.part = Part::Rest {
                    until: now + part.mul_f64(0.3 + 2.0 * luck),
                };
                out.extend(c.say(Word::Leave { duty, epoch }));
            }
            Part::Owner { epoch, until, .. } if now >= *until && !no_own_end => {
                let epoch = *epoch;
                c.part = if c.stands {
                    Part::Rest { until: now }
                } else {
                    Part::Off
                };
                out.push(Out::Lost {
                    duty,
                    epoch,
                    why: Why::RanOut,
                });
            }
            Part::Owner {
                rising: rising @ Some(_),
                ..
            } if rising
                .as_ref()
                .is_some_and(|rising| now >= rising.since + part) =>
            {
                *rising = None;
            }
            Part::Owner {
                epoch,
                since,
                round,
                granted,
                done,
                ..
            } if now >= *since + if *done { lease / RENEW_PART } else { part } => {
                (*since, *round, *done) = (now, *round + 1, false);
                granted.clear();
                let word = Word::Take {
                    duty,
                    epoch: *epoch,
                    round: *round,
                    lease_ms: lease.as_millis() as u32,
                };
                out.extend(c.say(word));
            }
            Part::Leaving { epoch, again, left } if now >= *again => {
                let epoch = *epoch;
                if *left == 0 {
                    c.part = if c.stands {
                        Part::Rest { until: now + lease }
                    } else {
                        Part::Off
                    };
                } else {
                    (*again, *left) = (now + LEAVES_APART, *left - 1);
                    out.extend(c.say(Word::Leave { duty, epoch }));
                }
            }
            _ => {}
        }
    }

    /// What a member says; `from` is who it is by its address.
    pub fn hear(&mut self, times: Times, from: Member, word: Word) -> Vec<Out> {
        let now = self.pass(times);
        match word {
            Word::Look { .. } | Word::Ask { .. } | Word::Take { .. } | Word::Leave { .. } => {
                self.vote(times, from, word)
            }
            _ => self.answer(now, times, from, word),
        }
    }

    fn vote(&mut self, times: Times, from: Member, word: Word) -> Vec<Out> {
        if self.mute(times) {
            return Vec::new();
        }
        let (duty, now) = (word.duty(), times.steady);
        let any_owner = planted!(self, any_owner);
        let longest = self.terms.lease;
        // Guards against names that nobody here has heard of, without end.
        if self.votes.len() >= MOST_DUTIES && !self.votes.contains_key(&duty) {
            return Vec::new();
        }
        let vote = self.votes.entry(duty).or_default();
        let mut out = Vec::new();
        let mut say = |to: Member, word: Word| out.push(Out::Say { to, word });
        // In the way is a live grant, but not one's own that is renewed or risen from.
        let held = |vote: &Vote, asked: Epoch, own: Option<Epoch>| {
            let grant = vote
                .live(now)
                .filter(|g| g.owner != from || g.epoch != asked && Some(g.epoch) != own);
            grant
                .filter(|g| !any_owner || g.epoch != asked)
                .map(|g| Word::Held {
                    duty,
                    asked,
                    epoch: g.epoch,
                    owner: g.owner,
                    left_ms: g.until.saturating_sub(now).as_millis() as u32 + 1,
                })
        };
        let before = vote.clone();
        match word {
            Word::Look { round, .. } => match held(vote, Epoch::from(round), None) {
                Some(word) => {
                    vote.turned_away(from);
                    say(from, word);
                }
                None => say(from, Word::Clear { duty, round }),
            },
            Word::Ask { epoch, instead, .. } => match held(vote, epoch, instead) {
                Some(word) => {
                    vote.turned_away(from);
                    say(from, word);
                }
                None if vote.promise(epoch, from, any_owner) => {
                    say(from, Word::Yes { duty, epoch })
                }
                None => say(
                    from,
                    Word::Low {
                        duty,
                        asked: epoch,
                        highest: vote.promised,
                    },
                ),
            },
            // What was promised beside a grant was promised to its owner, in place of it.
            Word::Take {
                epoch,
                round,
                lease_ms,
                ..
            } => match held(vote, epoch, vote.risen(epoch, from)) {
                Some(word) => say(from, word),
                // Guards against leases that outlast the time for which a voter that forgot is mute.
                None if Duration::from_millis(lease_ms.into()) > longest => {}
                None if vote.is_for(epoch, from, any_owner) => {
                    let lease = Duration::from_millis(lease_ms.into());
                    vote.grant = Some(Grant {
                        epoch,
                        owner: from,
                        until: now + lease,
                        lease,
                    });
                    say(from, Word::Granted { duty, epoch, round });
                }
                None => say(
                    from,
                    Word::Low {
                        duty,
                        asked: epoch,
                        highest: vote.promised,
                    },
                ),
            },
            Word::Leave { epoch, .. } if vote.is_for(epoch, from, false) => {
                for to in vote.free() {
                    say(to, Word::Free { duty, epoch });
                }
            }
            _ => {}
        }
        if vote.on_disk() != before.on_disk() {
            out.insert(
                0,
                Out::Keep {
                    duty,
                    vote: vote.clone(),
                },
            );
        }
        out
    }

    fn answer(&mut self, now: Duration, times: Times, from: Member, word: Word) -> Vec<Out> {
        let (part, lease) = (self.terms.lease / ANSWER_PART, self.terms.lease);
        let (luck, equal) = (self.chance(), planted!(self, equal_epochs));
        let duty = word.duty();
        let Some(c) = self.candidates.get_mut(&duty) else {
            return Vec::new();
        };
        // Only voters have a say.
        if !c.council.contains(&from) {
            return Vec::new();
        }
        let (majority, voters) = (c.council.len() / 2 + 1, c.council.len());
        let mut out = Vec::new();
        let add = |to: &mut Vec<Member>| {
            if !to.contains(&from) {
                to.push(from);
            }
            to.len() >= majority
        };
        match (&mut c.part, word) {
            (Part::Asking { epoch, yes, .. }, Word::Yes { duty, epoch: said })
                if said == *epoch =>
            {
                let enough = add(yes);
                if enough {
                    let epoch = *epoch;
                    c.part = Part::Taking {
                        epoch,
                        since: now,
                        granted: vec![],
                    };
                    out.extend(c.say(Word::Take {
                        duty,
                        epoch,
                        round: 0,
                        lease_ms: lease.as_millis() as u32,
                    }));
                }
            }
            (Part::Looking { clear, .. }, Word::Clear { duty, round }) if round == c.looks => {
                let enough = add(clear);
                if enough {
                    c.ask(now, times, equal, duty, &mut out);
                }
            }
            (
                Part::Looking { held, .. },
                Word::Held {
                    asked,
                    left_ms,
                    epoch,
                    ..
                },
            ) if asked == Epoch::from(c.looks) => {
                c.highest = c.highest.max(epoch);
                if !held.iter().any(|(who, _)| *who == from) {
                    held.push((from, Duration::from_millis(left_ms.into())));
                }
                if held.len() > voters - majority {
                    held.sort_by_key(|(_, left)| *left);
                    // When enough of them are free, as far as they have said.
                    let left = held[held.len() + majority - voters - 1].1;
                    // Guards against two that stand and split the voters.
                    c.part = Part::Rest {
                        until: now + left + c.place * PLACES_APART,
                    };
                }
            }
            (
                Part::Asking { epoch, no, .. },
                Word::Held {
                    asked,
                    epoch: highest,
                    ..
                }
                | Word::Low { asked, highest, .. },
            ) if asked == *epoch => {
                c.highest = c.highest.max(highest);
                add(no);
                if no.len() > voters - majority {
                    c.part = Part::Rest {
                        until: now + part.mul_f64(luck),
                    };
                }
            }
            (
                Part::Taking {
                    epoch,
                    since,
                    granted,
                },
                Word::Granted {
                    duty,
                    epoch: said,
                    round: 0,
                },
            ) if said == *epoch => {
                let enough = add(granted);
                if enough {
                    // From when it was asked for: what is under way has run out of it.
                    let (epoch, since) = (*epoch, *since);
                    let until = since + lease.mul_f64(OWN_SHARE);
                    let granted = std::mem::take(granted);
                    let rising = None;
                    c.part = Part::Owner {
                        epoch,
                        until,
                        since,
                        round: 0,
                        granted,
                        done: true,
                        rising,
                    };
                    out.push(Out::Won { duty, epoch });
                }
            }
            (
                Part::Owner {
                    epoch,
                    until,
                    since,
                    round,
                    granted,
                    done,
                    ..
                },
                Word::Granted {
                    epoch: said,
                    round: of,
                    ..
                },
            ) if (said, of) == (*epoch, *round) => {
                // What ran out before this was heard stays lost.
                let enough = add(granted);
                if enough && !*done && now < *until {
                    (*until, *done) = (*since + lease.mul_f64(OWN_SHARE), true);
                }
            }
            // A voter that has forgotten is asked for its promise again, or it would be lost to this owner.
            (
                Part::Owner { epoch, .. },
                Word::Low {
                    duty,
                    asked,
                    highest,
                },
            ) if asked == *epoch && highest < *epoch => {
                let word = Word::Ask {
                    duty,
                    epoch: *epoch,
                    instead: None,
                };
                out.push(Out::Say { to: from, word });
            }
            // Guards against votes that are promised to others and lost one by one: it goes above them.
            (
                Part::Owner {
                    epoch,
                    rising: rising @ None,
                    ..
                },
                Word::Low {
                    duty,
                    asked,
                    highest,
                },
            ) if asked == *epoch => {
                let instead = Some(*epoch);
                let epoch =
                    (times.wall.as_millis() as Epoch).max(c.highest.max(highest).saturating_add(1));
                c.highest = epoch;
                *rising = Some(Rising {
                    epoch,
                    since: now,
                    yes: vec![],
                    granted: vec![],
                });
                out.extend(c.say(Word::Ask {
                    duty,
                    epoch,
                    instead,
                }));
            }
            (
                Part::Owner {
                    rising: Some(rising),
                    ..
                },
                Word::Yes { duty, epoch },
            ) if epoch == rising.epoch => {
                let before = rising.yes.len();
                let enough = add(&mut rising.yes);
                if enough && before < majority {
                    rising.since = now;
                    out.extend(c.say(Word::Take {
                        duty,
                        epoch,
                        round: 0,
                        lease_ms: lease.as_millis() as u32,
                    }));
                }
            }
            (
                Part::Owner {
                    rising: Some(rising),
                    until,
                    ..
                },
                Word::Granted { duty, epoch, .. },
            ) if epoch == rising.epoch && rising.yes.len() >= majority => {
                let enough = add(&mut rising.granted);
                if enough && now < *until {
                    let (since, granted) = (rising.since, std::mem::take(&mut rising.granted));
                    let until = since + lease.mul_f64(OWN_SHARE);
                    c.part = Part::Owner {
                        epoch,
                        until,
                        since,
                        round: 0,
                        granted,
                        done: true,
                        rising: None,
                    };
                    out.push(Out::Won { duty, epoch });
                }
            }
            (Part::Rest { until }, Word::Free { epoch, .. }) => {
                c.highest = c.highest.max(epoch);
                *until = now + c.place * PLACES_APART;
            }
            (Part::Taking { epoch, .. }, Word::Low { asked, highest, .. }) if asked == *epoch => {
                c.highest = c.highest.max(highest);
            }
            _ => {}
        }
        if matches!(c.part, Part::Rest { until } if until <= now) {
            self.turn(now, times, duty, &mut out);
        }
        out
    }
}

impl Candidate {
    /// Asks all voters for an epoch above all that were heard of.
    fn ask(&mut self, now: Duration, times: Times, equal: bool, duty: Duty, out: &mut Vec<Out>) {
        let least = if equal {
            self.highest
        } else {
            self.highest.saturating_add(1)
        };
        let epoch = (times.wall.as_millis() as Epoch).max(least);
        self.highest = epoch;
        self.part = Part::Asking {
            epoch,
            since: now,
            yes: vec![],
            no: vec![],
        };
        out.extend(self.say(Word::Ask {
            duty,
            epoch,
            instead: None,
        }));
    }

    fn say(&self, word: Word) -> Vec<Out> {
        self.council
            .iter()
            .map(|to| Out::Say {
                to: *to,
                word: word.clone(),
            })
            .collect()
    }
}
