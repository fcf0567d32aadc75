//! Who of the sidecars is here, in doubt or gone. Each asks one other a period, through others before it doubts, and tells
//! what it has heard on the way (after SWIM, Das and others 2002, and Lifeguard, Dadgar and others 2018). Nothing here
//! does input or output or reads a clock: [`Peers::hear`] and [`Peers::tick`] are handed the time and return datagrams.
//!
//! Bounded whatever the fleet's size: one question a period, three helpers for one that is not answered, and no more
//! than [`MOST_A_SECOND`] datagrams a second in all, each of [`LONGEST`] bytes at most.

pub mod frame;

pub use frame::{Ill, LONGEST, open, seal};

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Place of a sidecar in the list of all.
pub type Member = u16;
/// When a process began, in 256ths of a millisecond since 1970; raised by one where others think worse of it than it is.
pub type Incarnation = u64;

/// The incarnation of a process that begins now.
pub fn begun(wall: Duration) -> Incarnation {
    (wall.as_millis() as u64) << 8
}

/// What is the same for as long as a process lives: in milliseconds, when it began.
pub fn life(incarnation: Incarnation) -> u64 {
    incarnation >> 8
}

/// Datagrams that this part sends a second, at most, and in a burst.
pub const MOST_A_SECOND: f64 = 8.0;
const HELPERS: usize = 3;
/// Whom others asked for help with, at most.
const MOST_HELPED: usize = 16;
/// Room that a frame leaves for what is told.
const ROOM: usize = LONGEST - frame::HEAD - 12;
/// Facts that are told on, at most.
const MOST_NOTES: usize = 16;
/// A fact or a change is told on so many times the logarithm of the fleet's size.
const TELLINGS: u32 = 3;
/// So late, as a part of the period, an own timer says that this instance itself was starved.
const LATE_PART: u32 = 4;

#[derive(Debug, Clone)]
pub struct Terms {
    pub me: Member,
    pub members: usize,
    pub incarnation: Incarnation,
    pub period: Duration,
    pub seed: u64,
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    Here,
    Doubt,
    Gone,
}

/// What is known of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    pub standing: Standing,
    pub incarnation: Incarnation,
    since: Duration,
}

/// A fact about something else than members, of which the higher number is the newer: who owns a duty, by which epoch.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct Note {
    pub topic: u64,
    pub number: u64,
    pub holder: Option<Member>,
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
struct Told {
    member: Member,
    standing: Standing,
    incarnation: Incarnation,
}

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
enum Word {
    Ask {
        round: u32,
    },
    Answer {
        round: u32,
        of: Member,
    },
    /// Ask that one for me.
    Help {
        round: u32,
        of: Member,
    },
}

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
struct Letter {
    word: Word,
    notes: Vec<Note>,
    told: Vec<Told>,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Out {
    /// A body for the channel of this part.
    Say { to: Member, body: Vec<u8> },
    /// A member is now thought of otherwise.
    Turned { member: Member, standing: Standing },
    /// A newer fact was heard.
    Heard(Note),
    /// This instance was itself starved, for so long past its timer; what it would have doubted is let be.
    Starved(Duration),
}

/// The question that is out.
#[derive(Debug, Clone)]
struct Open {
    of: Member,
    round: u32,
    tries: u32,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub held_back: u64, // for want of the allowance
    pub unreadable: u64,
    pub old: u64, // of an incarnation that is over
    pub doubts: u64,
    pub refuted: u64, // own doubts that turned out to be wrong
}

pub struct Peers {
    terms: Terms,
    dice: u64,
    incarnation: Incarnation,
    known: Vec<Known>,
    order: Vec<Member>, // whom to ask next, shuffled anew each time through
    next: usize,
    round: u32,
    open: Option<Open>,
    helped: VecDeque<(u32, Member, u32)>, // own round, for whom, their round
    fresh: VecDeque<(Member, u32)>,       // to be told on, so often still
    notes: BTreeMap<u64, (Note, u32)>,
    rest: usize, // where the rest of the table is told on from
    due: Duration,
    ask_at: Duration, // the next question
    allowance: f64,
    allowed_at: Duration,
    unanswered: u32, // questions in a row that nobody answered
    counts: Counts,
}

impl Peers {
    pub fn new(terms: Terms, now: Duration) -> Peers {
        let count = terms.members;
        let start = Known {
            standing: Standing::Here,
            incarnation: 0,
            since: now,
        };
        let mut peers = Peers {
            dice: terms.seed | 1,
            incarnation: terms.incarnation,
            known: vec![start; count],
            order: (0..count as Member).filter(|n| *n != terms.me).collect(),
            next: count,
            round: 0,
            open: None,
            helped: VecDeque::new(),
            fresh: VecDeque::new(),
            notes: BTreeMap::new(),
            rest: 0,
            due: now,
            ask_at: now,
            allowance: MOST_A_SECOND,
            allowed_at: now,
            unanswered: 0,
            counts: Counts::default(),
            terms,
        };
        // Guards against a fleet that starts together and asks in step.
        peers.due = now + peers.terms.period.mul_f64(peers.chance());
        peers.ask_at = peers.due;
        peers.known[usize::from(peers.terms.me)].incarnation = peers.incarnation;
        peers.spread(peers.terms.me);
        peers
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn known(&self) -> &[Known] {
        &self.known
    }

    pub fn standing(&self, member: Member) -> Standing {
        self.known
            .get(usize::from(member))
            .map_or(Standing::Gone, |known| known.standing)
    }

    pub fn note_of(&self, topic: u64) -> Option<Note> {
        self.notes.get(&topic).map(|(note, _)| *note)
    }

    /// How long until there is something to do by time alone.
    pub fn wait(&self, now: Duration) -> Duration {
        self.due.saturating_sub(now)
    }

    fn chance(&mut self) -> f64 {
        self.dice = (self.dice & 0xffff_ffff) * 4_294_957_665 + (self.dice >> 32);
        (self.dice & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    fn below(&mut self, n: usize) -> usize {
        ((self.chance() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// How often what is new is told on.
    fn tellings(&self) -> u32 {
        TELLINGS * (self.known.len() + 1).ilog2().max(1)
    }

    fn spread(&mut self, member: Member) {
        self.fresh.retain(|(other, _)| *other != member);
        self.fresh.push_front((member, self.tellings()));
    }

    /// A fact is told on from here, if none of a higher number is known.
    pub fn note(&mut self, note: Note) -> bool {
        let newer = match self.notes.get(&note.topic) {
            Some((known, _)) => {
                note.number > known.number
                    || note.number == known.number
                        && note.holder.is_none()
                        && known.holder.is_some()
            }
            None => self.notes.len() < MOST_NOTES,
        };
        if newer {
            self.notes.insert(note.topic, (note, self.tellings()));
        }
        newer
    }

    /// Whether a datagram of this incarnation of a member is heard: not of one that is over. Hearing of a later one is
    /// hearing that it is here.
    pub fn admit(
        &mut self,
        now: Duration,
        from: Member,
        incarnation: Incarnation,
    ) -> (bool, Vec<Out>) {
        let mut out = Vec::new();
        let Some(known) = self.known.get(usize::from(from)).copied() else {
            return (false, out);
        };
        // What a process said before it was doubted it has still said.
        if from == self.terms.me || life(incarnation) < life(known.incarnation) {
            self.counts.old += 1;
            return (false, out);
        }
        if incarnation > known.incarnation {
            self.believe(
                now,
                Told {
                    member: from,
                    standing: Standing::Here,
                    incarnation,
                },
                &mut out,
            );
        }
        (true, out)
    }

    /// A body that came on this part's channel, of a sender that [`Peers::admit`] let in.
    pub fn hear(&mut self, now: Duration, from: Member, body: &[u8]) -> Vec<Out> {
        let read = postcard::take_from_bytes::<Letter>(body)
            .ok()
            .filter(|(_, rest)| rest.is_empty());
        let Some((letter, _)) = read else {
            self.counts.unreadable += 1;
            return Vec::new();
        };
        let mut out = Vec::new();
        for told in letter.told {
            self.believe(now, told, &mut out);
        }
        for note in letter.notes {
            if note
                .holder
                .is_none_or(|holder| usize::from(holder) < self.known.len())
                && self.note(note)
            {
                out.push(Out::Heard(note));
            }
        }
        match letter.word {
            Word::Ask { round } => {
                let word = Word::Answer {
                    round,
                    of: self.terms.me,
                };
                self.say(now, from, word, &mut out);
            }
            Word::Help { round, of }
                if usize::from(of) < self.known.len() && of != self.terms.me =>
            {
                self.round = self.round.wrapping_add(1);
                self.helped.push_back((self.round, from, round));
                if self.helped.len() > MOST_HELPED {
                    self.helped.pop_front();
                }
                let word = Word::Ask { round: self.round };
                self.say(now, of, word, &mut out);
            }
            Word::Help { .. } => {}
            Word::Answer { round, of } => {
                if self
                    .open
                    .as_ref()
                    .is_some_and(|open| open.round == round && open.of == of)
                {
                    self.open = None;
                    self.unanswered = 0;
                    self.clear(now, of, &mut out);
                } else if of == from
                    && let Some(at) = self.helped.iter().position(|(own, ..)| *own == round)
                    && let Some((_, whom, theirs)) = self.helped.remove(at)
                {
                    self.say(now, whom, Word::Answer { round: theirs, of }, &mut out);
                }
            }
        }
        out
    }

    /// One that answered is here, whatever was thought of it.
    fn clear(&mut self, now: Duration, member: Member, out: &mut Vec<Out>) {
        let known = &mut self.known[usize::from(member)];
        // Of one that is told of as in doubt only a higher incarnation, its own word, clears it for all.
        if known.standing == Standing::Doubt && known.incarnation == 0 {
            (known.standing, known.since) = (Standing::Here, now);
            out.push(Out::Turned {
                member,
                standing: Standing::Here,
            });
        }
    }

    /// Takes what is told of a member where it is newer: a higher incarnation, or worse of the same.
    fn believe(&mut self, now: Duration, told: Told, out: &mut Vec<Out>) {
        let Some(known) = self.known.get(usize::from(told.member)).copied() else {
            return;
        };
        let newer = told.incarnation > known.incarnation
            || told.incarnation == known.incarnation && told.standing > known.standing;
        if !newer {
            return;
        }
        if told.member == self.terms.me {
            // Guards against being thought gone for good: only a higher incarnation of one's own undoes it.
            if told.standing > Standing::Here || told.incarnation > self.incarnation {
                // Of a later life than this one, where the clock was set back: it begins another, above it.
                self.incarnation = match life(told.incarnation) > life(self.incarnation) {
                    true => (life(told.incarnation) + 1) << 8,
                    false => told.incarnation.max(self.incarnation) + 1,
                };
                self.known[usize::from(self.terms.me)].incarnation = self.incarnation;
                self.spread(self.terms.me);
            }
            return;
        }
        if known.standing == Standing::Doubt && told.standing == Standing::Here {
            self.counts.refuted += 1;
        }
        self.known[usize::from(told.member)] = Known {
            standing: told.standing,
            incarnation: told.incarnation,
            since: now,
        };
        if told.standing != known.standing {
            out.push(Out::Turned {
                member: told.member,
                standing: told.standing,
            });
        }
        self.spread(told.member);
    }

    /// What time alone brings.
    pub fn tick(&mut self, now: Duration) -> Vec<Out> {
        let mut out = Vec::new();
        if now < self.due {
            return out;
        }
        let (period, late) = (self.terms.period, now - self.due);
        // Guards against accusing others of one's own sleep: the answers lie unread, or came and went.
        if late > period / LATE_PART {
            self.open = None;
            self.unanswered = 0;
            self.known.iter_mut().for_each(|known| known.since += late);
            self.due = now + period / 4;
            out.push(Out::Starved(late));
            return out;
        }
        self.due = now + period / 4;
        if let Some(mut open) = self.open.take() {
            open.tries += 1;
            if open.tries >= 4 {
                self.unanswered += 1;
                self.doubt(now, open.of, &mut out);
            } else {
                let (of, round) = (open.of, open.round);
                self.open = Some(open);
                self.say(now, of, Word::Ask { round }, &mut out);
                // Of one that is thought gone a plain question tells as much.
                let helpers = if self.standing(of) == Standing::Here {
                    self.helpers(of)
                } else {
                    Vec::new()
                };
                for helper in helpers {
                    self.say(now, helper, Word::Help { round, of }, &mut out);
                }
                return out;
            }
        }
        self.settle(now, &mut out);
        if now >= self.ask_at {
            self.ask_at = (self.ask_at + period).max(now + period / 2);
            self.ask(now, &mut out);
        } else {
            self.due = self.ask_at;
        }
        out
    }

    /// The next question; with nothing open the period has passed.
    fn ask(&mut self, now: Duration, out: &mut Vec<Out>) {
        if self.next >= self.order.len() {
            self.next = 0;
            for n in (1..self.order.len()).rev() {
                let other = self.below(n + 1);
                self.order.swap(n, other);
            }
        }
        let Some(of) = self.order.get(self.next).copied() else {
            return;
        };
        self.next += 1;
        self.round = self.round.wrapping_add(1);
        self.open = Some(Open {
            of,
            round: self.round,
            tries: 0,
        });
        self.say(now, of, Word::Ask { round: self.round }, out);
    }

    fn helpers(&mut self, of: Member) -> Vec<Member> {
        let mut helpers = Vec::new();
        for _ in 0..4 * HELPERS {
            let n = self.below(self.order.len());
            let Some(helper) = self.order.get(n).copied() else {
                break;
            };
            let fit = helper != of && self.known[usize::from(helper)].standing == Standing::Here;
            if fit && !helpers.contains(&helper) {
                helpers.push(helper);
            }
            if helpers.len() == HELPERS {
                break;
            }
        }
        helpers
    }

    fn doubt(&mut self, now: Duration, of: Member, out: &mut Vec<Out>) {
        // Guards against one that is cut off and takes all others for gone: nobody answers it, so it says nothing.
        let alone = self.unanswered > 3 && self.order.len() > 3;
        let known = self.known[usize::from(of)];
        if known.standing == Standing::Here && !alone {
            self.counts.doubts += 1;
            self.believe(
                now,
                Told {
                    member: of,
                    standing: Standing::Doubt,
                    incarnation: known.incarnation,
                },
                out,
            );
        }
    }

    /// Doubts that nothing has cleared for long enough.
    fn settle(&mut self, now: Duration, out: &mut Vec<Out>) {
        let rounds = 2 * (self.known.len() + 1).ilog2().max(2);
        let gone = |known: &Known| {
            known.standing == Standing::Doubt
                && now.saturating_sub(known.since) > self.terms.period * rounds
        };
        let all: Vec<Member> = (0..self.known.len())
            .filter(|n| gone(&self.known[*n]))
            .map(|n| n as Member)
            .collect();
        for member in all {
            let incarnation = self.known[usize::from(member)].incarnation;
            self.believe(
                now,
                Told {
                    member,
                    standing: Standing::Gone,
                    incarnation,
                },
                out,
            );
        }
    }

    fn allowed(&mut self, now: Duration) -> bool {
        let since = now.saturating_sub(std::mem::replace(&mut self.allowed_at, now));
        self.allowance = (self.allowance + since.as_secs_f64() * MOST_A_SECOND).min(MOST_A_SECOND);
        let allowed = self.allowance >= 1.0;
        self.allowance -= f64::from(u8::from(allowed));
        allowed
    }

    /// A letter with what there is room for: facts, what is new, then the rest of the table by turns.
    fn say(&mut self, now: Duration, to: Member, word: Word, out: &mut Vec<Out>) {
        if to == self.terms.me {
            return;
        }
        if !self.allowed(now) {
            self.counts.held_back += 1;
            return;
        }
        let mut letter = Letter {
            word,
            notes: Vec::new(),
            told: Vec::new(),
        };
        let mut room = ROOM - 16;
        let size = |told: &Told| 2 + told.incarnation.checked_ilog2().unwrap_or(0) as usize / 7 + 3;
        for (note, times) in self.notes.values_mut().filter(|(_, times)| *times > 0) {
            if room >= 26 {
                *times -= 1;
                letter.notes.push(*note);
                room -= 26;
            }
        }
        let mut fresh = std::mem::take(&mut self.fresh);
        for (member, times) in &mut fresh {
            let known = self.known[usize::from(*member)];
            let told = Told {
                member: *member,
                standing: known.standing,
                incarnation: known.incarnation,
            };
            if size(&told) <= room {
                room -= size(&told);
                *times -= 1;
                letter.told.push(told);
            }
        }
        fresh.retain(|(_, times)| *times > 0);
        // What was told most often goes last.
        let count = letter.told.len().min(fresh.len());
        fresh.rotate_left(count);
        self.fresh = fresh;
        // Guards against what was lost, and tells one that has just begun what is old news to the others.
        for _ in 0..self.known.len().min(16) {
            self.rest = (self.rest + 1) % self.known.len();
            let known = self.known[self.rest];
            let told = Told {
                member: self.rest as Member,
                standing: known.standing,
                incarnation: known.incarnation,
            };
            if known.incarnation > 0 && size(&told) <= room && !letter.told.contains(&told) {
                room -= size(&told);
                letter.told.push(told);
            }
        }
        let topics: Vec<u64> = self.notes.keys().copied().collect();
        if room >= 26 && letter.notes.is_empty() && !topics.is_empty() {
            letter
                .notes
                .push(self.notes[&topics[self.round as usize % topics.len()]].0);
        }
        match postcard::to_stdvec(&letter) {
            Ok(body) if body.len() <= ROOM => {
                self.counts.sent += 1;
                out.push(Out::Say { to, body });
            }
            _ => self.counts.held_back += 1,
        }
    }
}

#[cfg(test)]
mod tests;
