//! Machines out for work, one after the other, in one order for all sidecars. Each sidecar is a *hand*: it keeps the
//! order as far as it has heard of it, keeps off what is out, and says when nothing of its own is on it any more. Whoever
//! owns the duty of the order, by an epoch, is the *conductor*: it takes requests into the order and moves each machine on.
//! Nothing here does input or output or reads a clock.
//!
//! - A new conductor first hears what a majority of the keepers knows, and only then goes on; a keeper that has started
//!   from nothing says so and does not count. No step is taken further before a majority has it.
//! - A hand obeys no conductor of an epoch lower than the highest that it has heard of.
//! - A machine is at work only when every sidecar has said, of this very step and since it started, that nothing of its
//!   is on it; of one that says nothing nobody can know, so the order waits for it, or for an operator's word.

mod book;
mod room;

#[cfg(test)]
mod tests;

pub use book::{Book, Entry, Epoch, Machine, State};
pub use room::{Limits, Seen, fits};

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub type Member = u16;
pub type Incarnation = u64;

/// Entries in one datagram.
const IN_ONE: usize = 4;
/// Machines of one request.
pub const MOST_ASKED: usize = 20;
/// Entries that are kept; what is over goes first.
const MOST_KEPT: usize = 500;
/// Words that the conductor says at a turn, and how far apart turns are: its part of the datagrams.
const SAID_AT_ONCE: usize = 5;
pub const TURN: Duration = Duration::from_millis(50);
/// Rounds of questions before others than the keepers are asked.
const KEEPERS_FIRST: u32 = 4;
/// What is not answered is said again.
const AGAIN: Duration = Duration::from_millis(400);

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Word {
    /// The conductor of this epoch: what do you know? Or a hand that has just begun, with no epoch.
    Recall { by: Epoch, from: u32 },
    /// So much from that place on, of so many; blank where the sidecar has heard of no order since it started.
    Known {
        by: Epoch,
        from: u32,
        all: u32,
        blank: bool,
        entries: Vec<Entry>,
    },
    /// The conductor of this epoch tells of steps; of so many entries that are not over.
    Tell {
        by: Epoch,
        all: u32,
        entries: Vec<Entry>,
    },
    /// Heard, of these versions; and of each whether nothing of this sidecar's is on the machine.
    Ack {
        by: Epoch,
        heard: Vec<(Machine, Epoch, u32, bool)>,
    },
    /// An operator asks for machines.
    Want {
        request: u64,
        lasts: u32,
        back: bool,
        machines: Vec<Machine>,
    },
    /// An operator's word on one.
    Order {
        request: u64,
        machine: Machine,
        what: Order,
    },
    /// The conductor has it, and so has a majority; or why not.
    Taken {
        request: u64,
        refused: Option<Refusal>,
    },
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Order {
    /// Not any more, if it has not begun.
    Withdraw,
    /// The work is done: back into use.
    Done,
    /// Take it for empty, whoever has said nothing.
    Force,
    /// Begin with what is known, though a majority of the keepers has forgotten.
    Begin,
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    NoMachine,
    /// Its work has begun; it can only be done.
    Begun,
    NotAtWork,
    NotLeaving,
}

impl Word {
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

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Out {
    Say {
        to: Member,
        word: Word,
    },
    /// Keep off a machine, or use it again.
    Ban {
        machine: Machine,
        out: bool,
    },
    /// An operator's request has its answer.
    Answer {
        request: u64,
        refused: Option<Refusal>,
    },
    Told {
        machine: Machine,
        what: Line,
    },
}

/// What is told of a machine, once each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Line {
    Moved(State),
    /// Some sidecars say nothing: the order waits for them, or for an operator.
    Waits {
        unheard: usize,
    },
    Forced {
        unheard: usize,
    },
    /// Its time is over, and it is still out.
    Overdue,
    /// Others are down: it goes back before its work has begun.
    PutBack,
}

/// Where a sidecar stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    pub me: Member,
    pub members: usize,
    pub keepers: Vec<Member>,
    pub limits: Limits,
}

/// What the caller knows at a turn.
pub struct Sight<'a> {
    pub now: Duration, // steady
    pub wall: Duration,
    /// The epoch by which this sidecar owns the order's duty, if it does.
    pub owned: Option<Epoch>,
    /// Of each member the incarnation that was last heard of.
    pub incarnations: &'a [Incarnation],
    /// Whose the duty is, as far as is known.
    pub conductor: Option<Member>,
    /// Machines as this sidecar's list has them.
    pub seen: &'a [Seen],
    /// Whether nothing of this sidecar's is on a machine.
    pub free: &'a dyn Fn(Machine) -> bool,
}

#[derive(Debug, Default)]
struct Learning {
    /// Who has told all that it knows, and was not blank.
    whole: BTreeSet<Member>,
    /// Who has told all that it knows, much or nothing.
    answered: BTreeSet<Member>,
    /// Whether any of them had not forgotten.
    knew: bool,
    parts: BTreeMap<Member, u32>,
    asked: Duration,
    rounds: u32,
    next: Member,
}

#[derive(Debug)]
enum Chair {
    Hand,
    Learning(Epoch, Learning),
    Sits(Epoch),
}

/// What a member has said: by its incarnation, of each machine the version and whether it is free of it.
type Heard = (Incarnation, BTreeMap<Machine, (Epoch, u32, bool)>);

/// Something an operator asked here that the conductor has not answered.
#[derive(Debug, Clone)]
struct Asked {
    word: Word,
    said: Option<Duration>,
}

pub struct Upkeep {
    terms: Terms,
    pub book: Book,
    blank: bool,
    /// Whether what it knows counts: it has heard all from a conductor since it started, or was one. What it has only
    /// asked others for may be old, and they are asked themselves.
    keeps: bool,
    /// Keepers from whom it has heard all since it started.
    heard_all: BTreeSet<Member>,
    fence: Epoch,
    chair: Chair,
    heard: BTreeMap<Member, Heard>,
    said: BTreeMap<(Member, Machine), (Duration, Epoch, u32)>,
    said_to: BTreeMap<Member, Incarnation>,
    banned: BTreeSet<Machine>,
    /// Bans that the caller has put into effect: those that it was handed before it turned again.
    effective: BTreeSet<Machine>,
    /// Machines that were called back, and at which place in the order.
    lifted: BTreeMap<Machine, u32>,
    acked: BTreeMap<Machine, (Epoch, u32, bool)>,
    asked: BTreeMap<u64, Asked>,
    /// Requests whose first step is not yet with a majority, and who asked.
    open: BTreeMap<u64, Member>,
    forced: BTreeSet<Machine>,
    told: BTreeSet<(Machine, Epoch, u32)>,
    next: usize,
    turned: Option<Duration>,
    began: Option<Duration>,
}

impl Upkeep {
    pub fn new(terms: Terms) -> Upkeep {
        Upkeep {
            terms,
            book: Book::default(),
            blank: true,
            keeps: false,
            heard_all: BTreeSet::new(),
            fence: 0,
            chair: Chair::Hand,
            heard: BTreeMap::new(),
            said: BTreeMap::new(),
            said_to: BTreeMap::new(),
            banned: BTreeSet::new(),
            effective: BTreeSet::new(),
            lifted: BTreeMap::new(),
            acked: BTreeMap::new(),
            asked: BTreeMap::new(),
            open: BTreeMap::new(),
            forced: BTreeSet::new(),
            told: BTreeSet::new(),
            next: 0,
            turned: None,
            began: None,
        }
    }

    /// Whether this sidecar knows of an order, or that there is none.
    pub fn informed(&self) -> bool {
        !self.blank
    }

    /// Whether there is something to do soon.
    pub fn awake(&self) -> bool {
        self.blank
            || !self.asked.is_empty()
            || !matches!(self.chair, Chair::Hand)
            || self.book.in_order().iter().any(|entry| !entry.state.over())
    }

    pub fn conducts(&self) -> bool {
        matches!(self.chair, Chair::Sits(_))
    }

    fn majority(&self) -> usize {
        self.terms.keepers.len() / 2 + 1
    }

    /// An operator asks here; the answer comes by [`Out::Answer`].
    pub fn ask(&mut self, word: Word) {
        if let Word::Want { request, .. } | Word::Order { request, .. } = word {
            self.asked
                .entry(request)
                .or_insert(Asked { word, said: None });
        }
    }

    pub fn hear(&mut self, sight: &Sight, from: Member, word: Word) -> Vec<Out> {
        let mut out = Vec::new();
        match word {
            Word::Recall { by, from: at } => {
                // A hand that begins asks with no epoch; a conductor of an old one is not answered.
                if by > 0 && by < self.fence {
                    return out;
                }
                self.fence = self.fence.max(by);
                let all = self.book.in_order();
                let entries: Vec<Entry> =
                    all.iter().skip(at as usize).take(IN_ONE).copied().collect();
                let word = Word::Known {
                    by,
                    from: at,
                    all: all.len() as u32,
                    blank: !self.keeps,
                    entries,
                };
                out.push(Out::Say { to: from, word });
            }
            Word::Known {
                by,
                from: at,
                all,
                blank,
                entries,
            } => self.known(sight, from, (by, at, all, blank), entries, &mut out),
            Word::Tell { by, all, entries } => {
                if by < self.fence {
                    return out;
                }
                self.fence = by;
                self.book.take_all(&entries);
                // Guards against taking a part of the order for the whole.
                let open = self
                    .book
                    .in_order()
                    .iter()
                    .filter(|entry| !entry.state.over())
                    .count();
                if open >= all as usize {
                    (self.blank, self.keeps) = (false, true);
                }
                self.book.forget(MOST_KEPT);
                self.obey(&mut out);
                let heard = entries
                    .iter()
                    .map(|entry| self.ack_of(sight, entry))
                    .collect();
                out.push(Out::Say {
                    to: from,
                    word: Word::Ack { by, heard },
                });
            }
            Word::Ack { by, heard } => {
                if matches!(self.chair, Chair::Sits(own) if own == by) {
                    self.note(sight, from, heard);
                }
            }
            Word::Want {
                request,
                lasts,
                back,
                machines,
            } => self.want(sight, from, (request, lasts, back), &machines, &mut out),
            Word::Order {
                request,
                machine,
                what,
            } => self.order(sight, from, request, machine, what, &mut out),
            Word::Taken { request, refused } => {
                if self.asked.remove(&request).is_some() {
                    out.push(Out::Answer { request, refused });
                }
            }
        }
        out
    }

    /// What time brings; the caller turns every [`TURN`].
    pub fn turn(&mut self, sight: &Sight) -> Vec<Out> {
        let mut out = Vec::new();
        self.effective.clone_from(&self.banned);
        self.take_chair(sight);
        if self.blank && self.began.is_none_or(|at| sight.now >= at + AGAIN) {
            self.began = Some(sight.now);
            // One that has just begun learns what is out, from some of the keepers.
            let others = self.terms.keepers.iter().filter(|k| **k != self.terms.me);
            out.extend(others.map(|to| Out::Say {
                to: *to,
                word: Word::Recall { by: 0, from: 0 },
            }));
            if self.terms.members <= 1 {
                (self.blank, self.keeps) = (false, true);
            }
        }
        self.obey(&mut out);
        self.report(sight, &mut out);
        self.pass_on(sight, &mut out);
        match &self.chair {
            Chair::Hand => {}
            Chair::Learning(..) => self.learn(sight, &mut out),
            Chair::Sits(epoch) => {
                let epoch = *epoch;
                self.conduct(sight, epoch, &mut out);
                self.tell(sight, epoch, &mut out);
            }
        }
        out
    }

    /// Sits down, stands up, or begins anew by another epoch.
    fn take_chair(&mut self, sight: &Sight) {
        let epoch = match &self.chair {
            Chair::Hand => None,
            Chair::Learning(epoch, _) | Chair::Sits(epoch) => Some(*epoch),
        };
        // One that was outrun has nothing more to say.
        let owned = sight.owned.filter(|epoch| *epoch >= self.fence);
        if epoch == owned {
            return;
        }
        self.heard.clear();
        self.said.clear();
        self.open.clear();
        self.forced.clear();
        self.chair = match owned {
            None => Chair::Hand,
            Some(epoch) => {
                self.fence = epoch;
                let asked = sight.now.saturating_sub(AGAIN);
                Chair::Learning(
                    epoch,
                    Learning {
                        asked,
                        ..Learning::default()
                    },
                )
            }
        };
    }

    /// Asks the keepers what they know, again and again until a majority has told all. Where a majority of them has
    /// forgotten all sidecars are asked: what none of them knows is in effect nowhere.
    fn learn(&mut self, sight: &Sight, out: &mut Vec<Out>) {
        let (majority, me, members) =
            (self.majority(), self.terms.me, self.terms.members as Member);
        let Chair::Learning(epoch, learning) = &mut self.chair else {
            return;
        };
        if self.keeps && self.terms.keepers.contains(&me) {
            learning.whole.insert(me);
        }
        learning.answered.insert(me);
        learning.knew |= self.keeps;
        if learning.whole.len() >= majority
            || learning.knew && learning.answered.len() == self.terms.members
        {
            let epoch = *epoch;
            (self.blank, self.keeps) = (false, true);
            self.chair = Chair::Sits(epoch);
            return;
        }
        if sight.now < learning.asked + AGAIN {
            return;
        }
        learning.asked = sight.now;
        let keepers = self
            .terms
            .keepers
            .iter()
            .copied()
            .filter(|k| *k != me && !learning.whole.contains(k));
        let mut ask: Vec<Member> = keepers.collect();
        if learning.rounds > KEEPERS_FIRST {
            let others = (0..members).map(|n| (n + learning.next) % members);
            let left = others.filter(|n| !learning.answered.contains(n) && !ask.contains(n));
            let left: Vec<Member> = left.take(2 * SAID_AT_ONCE).collect();
            learning.next = left.last().map_or(0, |last| last + 1);
            ask.extend(left);
        }
        learning.rounds += 1;
        for to in ask {
            let from = learning.parts.get(&to).copied().unwrap_or(0);
            out.push(Out::Say {
                to,
                word: Word::Recall { by: *epoch, from },
            });
        }
    }

    fn known(
        &mut self,
        sight: &Sight,
        from: Member,
        (by, at, all, blank): (Epoch, u32, u32, bool),
        entries: Vec<Entry>,
        out: &mut Vec<Out>,
    ) {
        let next = at.saturating_add(entries.len() as u32);
        let more = !entries.is_empty() && next < all;
        if by == 0 {
            // For a hand that begins: what a majority of the keepers knows holds all that is at work.
            if !blank && self.blank {
                self.book.take_all(&entries);
                if more {
                    out.push(Out::Say {
                        to: from,
                        word: Word::Recall { by: 0, from: next },
                    });
                } else {
                    self.heard_all.insert(from);
                    self.blank = self.heard_all.len() < self.majority();
                }
                self.obey(out);
            }
            return;
        }
        let Chair::Learning(epoch, learning) = &mut self.chair else {
            return;
        };
        if *epoch != by || learning.whole.contains(&from) {
            return;
        }
        self.book.take_all(&entries);
        if more {
            learning.parts.insert(from, next);
            out.push(Out::Say {
                to: from,
                word: Word::Recall { by, from: next },
            });
        } else {
            learning.answered.insert(from);
            learning.knew |= !blank;
            if self.terms.keepers.contains(&from) && (!blank || self.fresh(sight)) {
                self.learned(from);
            }
        }
    }

    fn learned(&mut self, from: Member) {
        if let Chair::Learning(_, learning) = &mut self.chair {
            learning.whole.insert(from);
        }
    }

    /// Whether nobody can have forgotten an order: none of the keepers has begun anew since the first of them did.
    fn fresh(&self, sight: &Sight) -> bool {
        // A whole fleet that starts for the first time starts together; who is alone in being young may have forgotten.
        let of = |member: &Member| {
            sight
                .incarnations
                .get(usize::from(*member))
                .copied()
                .unwrap_or(0)
        };
        let known: Vec<Incarnation> = self
            .terms
            .keepers
            .iter()
            .map(of)
            .filter(|n| *n > 0)
            .collect();
        let (least, most) = (
            known.iter().min().copied().unwrap_or(0),
            known.iter().max().copied().unwrap_or(0),
        );
        known.len() >= self.majority()
            && most - least < self.terms.limits.together.as_millis() as u64
    }

    /// Puts bans into effect.
    fn obey(&mut self, out: &mut Vec<Out>) {
        let now: BTreeSet<Machine> = self.book.out().map(|entry| entry.machine).collect();
        for machine in now.difference(&self.banned) {
            out.push(Out::Ban {
                machine: *machine,
                out: true,
            });
        }
        for machine in self.banned.difference(&now) {
            out.push(Out::Ban {
                machine: *machine,
                out: false,
            });
        }
        self.banned = now;
        // Guards against a ban that was taken over from the process before, and ended before this one had heard of it.
        let back: Vec<Entry> = self
            .book
            .in_order()
            .into_iter()
            .filter(|e| e.state == State::Returning)
            .collect();
        for entry in back {
            if self.lifted.insert(entry.machine, entry.place) != Some(entry.place) {
                out.push(Out::Ban {
                    machine: entry.machine,
                    out: false,
                });
            }
        }
    }

    /// Guards against a command that goes out between the look and the ban: free is only what is looked at behind it.
    fn ack_of(&mut self, sight: &Sight, entry: &Entry) -> (Machine, Epoch, u32, bool) {
        let free = self.effective.contains(&entry.machine) && (sight.free)(entry.machine);
        let ack = (entry.epoch, entry.step, free);
        self.acked.insert(entry.machine, ack);
        (entry.machine, ack.0, ack.1, ack.2)
    }

    /// Says by itself when a machine that leaves has come free.
    fn report(&mut self, sight: &Sight, out: &mut Vec<Out>) {
        let leaving: Vec<Entry> = self
            .book
            .out()
            .filter(|e| e.state == State::Leaving)
            .copied()
            .collect();
        let mut heard = Vec::new();
        for entry in leaving {
            let before = self.acked.get(&entry.machine).copied();
            let said =
                matches!(before, Some((epoch, step, true)) if (epoch, step) == entry.version());
            let free = self.effective.contains(&entry.machine) && (sight.free)(entry.machine);
            if !said && free && heard.len() < IN_ONE {
                heard.push(self.ack_of(sight, &entry));
            }
        }
        if let Some(to) = sight.conductor.filter(|_| !heard.is_empty()) {
            let word = Word::Ack {
                by: self.fence,
                heard,
            };
            if to == self.terms.me {
                if let Word::Ack { heard, .. } = word {
                    self.note(sight, to, heard);
                }
            } else {
                out.push(Out::Say { to, word });
            }
        }
    }

    /// Operators' requests go to the conductor until it answers.
    fn pass_on(&mut self, sight: &Sight, out: &mut Vec<Out>) {
        let Some(to) = sight.conductor else { return };
        let mut own = Vec::new();
        for asked in self.asked.values_mut() {
            if asked.said.is_none_or(|at| sight.now >= at + AGAIN) {
                asked.said = Some(sight.now);
                if to == self.terms.me {
                    own.push(asked.word.clone());
                } else {
                    out.push(Out::Say {
                        to,
                        word: asked.word.clone(),
                    });
                }
            }
        }
        for word in own {
            let outs = self.hear(sight, to, word);
            self.hear_own(sight, outs, out);
        }
    }

    fn hear_own(&mut self, sight: &Sight, outs: Vec<Out>, out: &mut Vec<Out>) {
        for what in outs {
            match what {
                Out::Say { to, word } if to == self.terms.me => {
                    let outs = self.hear(sight, to, word);
                    self.hear_own(sight, outs, out);
                }
                what => out.push(what),
            }
        }
    }

    fn note(&mut self, sight: &Sight, from: Member, heard: Vec<(Machine, Epoch, u32, bool)>) {
        let incarnation = sight
            .incarnations
            .get(usize::from(from))
            .copied()
            .unwrap_or(0);
        let (of, acks) = self.heard.entry(from).or_default();
        // What one said before it began anew says nothing of it now.
        if *of != incarnation {
            (*of, *acks) = (incarnation, BTreeMap::new());
        }
        for (machine, epoch, step, free) in heard {
            let known = acks.entry(machine).or_insert((0, 0, false));
            if (epoch, step) >= (known.0, known.1) {
                // Free once is free: nothing new goes there.
                let free = free || (epoch, step) == (known.0, known.1) && known.2;
                *known = (epoch, step, free);
            }
        }
    }

    fn want(
        &mut self,
        sight: &Sight,
        from: Member,
        (request, lasts, back): (u64, u32, bool),
        machines: &[Machine],
        out: &mut Vec<Out>,
    ) {
        let Chair::Sits(epoch) = self.chair else {
            return;
        };
        let taken = |word| Out::Say { to: from, word };
        let known = |machine: &Machine| sight.seen.iter().any(|seen| seen.machine == *machine);
        if machines.is_empty() || machines.len() > MOST_ASKED || !machines.iter().all(known) {
            return out.push(taken(Word::Taken {
                request,
                refused: Some(Refusal::NoMachine),
            }));
        }
        for machine in machines {
            // Each machine once: asked twice, or at two sidecars, it stays where it is.
            if self
                .book
                .get(*machine)
                .is_some_and(|entry| !entry.state.over())
            {
                continue;
            }
            // What is over and was this very request has been done.
            if self
                .book
                .get(*machine)
                .is_some_and(|entry| entry.request == request)
            {
                continue;
            }
            let step = self
                .book
                .get(*machine)
                .filter(|e| e.epoch == epoch)
                .map_or(0, |e| e.step.saturating_add(1));
            let place = self.book.last_place().saturating_add(1);
            let (machine, state) = (*machine, State::Queued);
            self.book.take(Entry {
                machine,
                request,
                place,
                state,
                epoch,
                step,
                lasts,
                ends: 0,
                back,
            });
        }
        self.open.insert(request, from);
    }

    /// An operator's word that nothing is out but what is known.
    fn begin(&mut self) {
        if let Chair::Learning(epoch, _) = self.chair {
            (self.blank, self.keeps) = (false, true);
            self.chair = Chair::Sits(epoch);
        }
    }

    fn order(
        &mut self,
        sight: &Sight,
        from: Member,
        request: u64,
        machine: Machine,
        what: Order,
        out: &mut Vec<Out>,
    ) {
        if what == Order::Begin {
            self.begin();
        }
        let Chair::Sits(epoch) = self.chair else {
            return;
        };
        let state = self.book.get(machine).map(|entry| entry.state);
        let refused = match (what, state) {
            (Order::Withdraw, Some(State::Queued | State::Leaving)) => {
                self.step(sight, epoch, machine, State::Withdrawn, out);
                None
            }
            (Order::Withdraw, Some(State::Withdrawn))
            | (Order::Done, Some(State::Done | State::Returning | State::Warm)) => None,
            (Order::Withdraw, Some(_)) => Some(Refusal::Begun),
            (Order::Done, Some(State::AtWork)) => {
                self.step(sight, epoch, machine, State::Done, out);
                None
            }
            (Order::Done, Some(_)) => Some(Refusal::NotAtWork),
            (Order::Force, Some(State::Leaving)) => {
                self.forced.insert(machine);
                None
            }
            (Order::Force, Some(State::AtWork)) => None,
            (Order::Force, Some(_)) => Some(Refusal::NotLeaving),
            (Order::Begin, _) => None,
            (_, None) => Some(Refusal::NoMachine),
        };
        out.push(Out::Say {
            to: from,
            word: Word::Taken { request, refused },
        });
    }

    fn step(
        &mut self,
        sight: &Sight,
        epoch: Epoch,
        machine: Machine,
        state: State,
        out: &mut Vec<Out>,
    ) {
        let Some(entry) = self.book.get(machine).copied() else {
            return;
        };
        let step = if entry.epoch == epoch {
            entry.step.saturating_add(1)
        } else {
            0
        };
        let ends = match state {
            State::AtWork => (sight.wall.as_secs() as u32).saturating_add(entry.lasts),
            // Until it is warm.
            State::Returning => (sight.wall + self.terms.limits.warm).as_secs() as u32 + 1,
            _ => 0,
        };
        self.book.take(Entry {
            state,
            epoch,
            step,
            ends,
            ..entry
        });
        out.push(Out::Told {
            machine,
            what: Line::Moved(state),
        });
        self.obey(out);
        let entry = Entry {
            state,
            epoch,
            step,
            ends,
            ..entry
        };
        let own = self.ack_of(sight, &entry);
        self.note(sight, self.terms.me, vec![own]);
    }

    /// Of a version of a machine's entry: how many keepers have it, and how many sidecars have not said that they are free.
    fn count(&self, sight: &Sight, entry: &Entry) -> (usize, usize) {
        let (mut keep, mut unfree) = (0, 0);
        for member in 0..self.terms.members as Member {
            let incarnation = sight
                .incarnations
                .get(usize::from(member))
                .copied()
                .unwrap_or(0);
            let said = self.heard.get(&member).filter(|(of, _)| *of == incarnation);
            let said = said.and_then(|(_, acks)| acks.get(&entry.machine));
            let has = member == self.terms.me
                || said.is_some_and(|(epoch, step, _)| (*epoch, *step) >= entry.version());
            let free =
                said.is_some_and(|(epoch, step, free)| (*epoch, *step) == entry.version() && *free);
            keep += usize::from(has && self.terms.keepers.contains(&member));
            unfree += usize::from(!free);
        }
        (keep, unfree)
    }

    /// Moves each machine on by a step, where a majority has the one before.
    fn conduct(&mut self, sight: &Sight, epoch: Epoch, out: &mut Vec<Out>) {
        let majority = self.majority();
        let order = self.book.in_order();
        // Entries of an earlier conductor become this one's, so that all hear them again by its epoch.
        for entry in order.iter().filter(|e| e.epoch != epoch && !e.state.over()) {
            self.book.take(Entry {
                epoch,
                step: 0,
                ..*entry
            });
        }
        let order = self.book.in_order();
        let mut settled = Vec::new();
        for entry in order.iter().filter(|e| !e.state.over()) {
            let (keep, unfree) = self.count(sight, entry);
            if keep < majority {
                continue;
            }
            settled.push(entry.machine);
            match entry.state {
                State::Leaving if unfree == 0 || self.forced.contains(&entry.machine) => {
                    if unfree > 0 {
                        let what = Line::Forced { unheard: unfree };
                        out.push(Out::Told {
                            machine: entry.machine,
                            what,
                        });
                    }
                    self.forced.remove(&entry.machine);
                    self.step(sight, epoch, entry.machine, State::AtWork, out);
                }
                State::Leaving => {
                    let silent = self.silent(sight, entry);
                    if silent > 0 && self.told.insert((entry.machine, entry.epoch, entry.step)) {
                        out.push(Out::Told {
                            machine: entry.machine,
                            what: Line::Waits { unheard: silent },
                        });
                    }
                }
                State::AtWork if sight.wall.as_secs() as u32 >= entry.ends => {
                    if entry.back {
                        self.step(sight, epoch, entry.machine, State::Done, out);
                    } else if self.told.insert((entry.machine, entry.epoch, entry.step)) {
                        out.push(Out::Told {
                            machine: entry.machine,
                            what: Line::Overdue,
                        });
                    }
                }
                State::Done => self.step(sight, epoch, entry.machine, State::Returning, out),
                State::Returning if sight.wall.as_secs() as u32 >= entry.ends => {
                    self.step(sight, epoch, entry.machine, State::Warm, out);
                }
                _ => {}
            }
        }
        // A request has its answer once a majority has all of it.
        let done = |request: &u64| {
            let mut of = order.iter().filter(|e| e.request == *request);
            of.all(|entry| entry.state.over() || settled.contains(&entry.machine))
        };
        let answered: Vec<(u64, Member)> = self
            .open
            .iter()
            .filter(|(r, _)| done(r))
            .map(|(r, to)| (*r, *to))
            .collect();
        for (request, to) in answered {
            self.open.remove(&request);
            let word = Word::Taken {
                request,
                refused: None,
            };
            if to == self.terms.me {
                let outs = self.hear(sight, to, word);
                out.extend(outs);
            } else {
                out.push(Out::Say { to, word });
            }
        }
        self.next_one(sight, epoch, &settled, out);
    }

    /// How many have not said anything of a step.
    fn silent(&self, sight: &Sight, entry: &Entry) -> usize {
        let has = |member: &Member| {
            let incarnation = sight
                .incarnations
                .get(usize::from(*member))
                .copied()
                .unwrap_or(0);
            let said = self.heard.get(member).filter(|(of, _)| *of == incarnation);
            said.and_then(|(_, acks)| acks.get(&entry.machine))
                .is_some_and(|(e, s, _)| (*e, *s) >= entry.version())
        };
        (0..self.terms.members as Member)
            .filter(|member| *member != self.terms.me && !has(member))
            .count()
    }

    /// The first of the queue leaves, if there is room; strictly in order, so that nobody waits behind a later one.
    fn next_one(&mut self, sight: &Sight, epoch: Epoch, settled: &[Machine], out: &mut Vec<Out>) {
        let order = self.book.in_order();
        let away: BTreeSet<Machine> = order
            .iter()
            .filter(|e| e.state.out() || e.state == State::Returning)
            .map(|e| e.machine)
            .collect();
        let leaving = order.iter().rev().find(|e| e.state == State::Leaving);
        // Others have failed meanwhile: what has not begun goes back, and its turn comes again.
        if let Some(entry) =
            leaving.filter(|_| room::too_many(&self.terms.limits, sight.seen, &away))
        {
            let machine = entry.machine;
            out.push(Out::Told {
                machine,
                what: Line::PutBack,
            });
            return self.step(sight, epoch, machine, State::Queued, out);
        }
        let first = order.iter().find(|e| e.state == State::Queued);
        if let Some(entry) = first.filter(|e| settled.contains(&e.machine))
            && fits(&self.terms.limits, sight.seen, &away, entry.machine)
        {
            self.step(sight, epoch, entry.machine, State::Leaving, out);
        }
    }

    /// Tells each sidecar what it has not acknowledged, some at a turn.
    fn tell(&mut self, sight: &Sight, epoch: Epoch, out: &mut Vec<Out>) {
        if self.turned.is_some_and(|at| sight.now < at + TURN) {
            return;
        }
        self.turned = Some(sight.now);
        let order = self.book.in_order();
        // What is over is told to those who may still keep off it.
        let all = order.iter().filter(|entry| !entry.state.over()).count() as u32;
        let news: Vec<Entry> = order.into_iter().filter(|e| e.epoch == epoch).collect();
        let members = self.terms.members as Member;
        let mut said = 0;
        for n in 0..members {
            let to = ((self.next + usize::from(n)) % usize::from(members)) as Member;
            if to == self.terms.me || said >= SAID_AT_ONCE {
                continue;
            }
            let incarnation = sight
                .incarnations
                .get(usize::from(to))
                .copied()
                .unwrap_or(0);
            // What was said to one before it began anew is to be said again at once.
            if self.said_to.insert(to, incarnation) != Some(incarnation) {
                self.said.retain(|(member, _), _| *member != to);
            }
            let acks = self
                .heard
                .get(&to)
                .filter(|(of, _)| *of == incarnation)
                .map(|(_, acks)| acks);
            let unheard = |entry: &&Entry| {
                let has = acks.and_then(|acks| acks.get(&entry.machine));
                let lately =
                    self.said
                        .get(&(to, entry.machine))
                        .is_some_and(|(at, epoch, step)| {
                            sight.now < *at + AGAIN && (*epoch, *step) == entry.version()
                        });
                // That one has come free may have been lost on its way.
                let leaving = entry.state == State::Leaving;
                !lately
                    && has.is_none_or(|(epoch, step, free)| {
                        (*epoch, *step) < entry.version() || leaving && !*free
                    })
            };
            let entries: Vec<Entry> = news.iter().filter(unheard).take(IN_ONE).copied().collect();
            // Also that there is nothing: who has heard of a conductor has not forgotten an order.
            let first = acks.is_none()
                && self
                    .said
                    .get(&(to, 0))
                    .is_none_or(|(at, ..)| sight.now >= *at + AGAIN);
            if entries.is_empty() && !first {
                continue;
            }
            self.said.insert((to, 0), (sight.now, epoch, 0));
            for entry in &entries {
                self.said
                    .insert((to, entry.machine), (sight.now, entry.epoch, entry.step));
            }
            out.push(Out::Say {
                to,
                word: Word::Tell {
                    by: epoch,
                    all,
                    entries,
                },
            });
            (said, self.next) = (said + 1, usize::from(to) + 1);
        }
    }
}
