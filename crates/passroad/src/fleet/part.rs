//! One sidecar's part in the fleet without socket, clock or calls: membership, leases, and when a duty's call may begin.
//! The sidecar's thread and the rig's virtual time both drive it.

use super::orders::{DutyOrder, UPKEEP, UpkeepOrder};
use log::Level;
use passroad_lease::{self as lease, Duty, Epoch, Lease, Times, Vote, Why, Word};
use passroad_peers::{self as peers, Note, Peers, Standing};
use passroad_upkeep::{self as upkeep, Line, Machine, Refusal, Seen, Sight, Upkeep};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// Channels of datagrams.
const PEERS: u8 = 0;
const LEASES: u8 = 1;
const WORK: u8 = 2;
/// A whole fleet that starts for the first time does so within this.
const TOGETHER: Duration = Duration::from_secs(60);
/// How many of the first in a duty's order stand for it.
const STAND: usize = 3;
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// A call waits so long for the next renewal, where too little is left of the lease.
const NEXT_LOOK: Duration = Duration::from_millis(20);
/// Faults of a duty's calls are told so often at most.
const TOLD_EVERY: Duration = Duration::from_secs(60);

/// What is to be done, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Do {
    Send {
        to: u16,
        bytes: Vec<u8>,
    },
    /// What comes behind it is done only once it is kept.
    Keep {
        duty: Duty,
        vote: Vote,
    },
    /// The call of the nth duty, by this epoch, ended within.
    Begin {
        n: usize,
        epoch: Epoch,
        within: Duration,
    },
    /// What is out of the nth duty is dropped.
    Drop {
        n: usize,
    },
    Say {
        level: Level,
        line: String,
    },
    /// A member is thought of otherwise from now on.
    Turned {
        member: u16,
        standing: Standing,
    },
    /// A datagram was not heard.
    Unheard(&'static str),
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
    /// What is told of a machine.
    Machine {
        machine: Machine,
        what: Line,
    },
}

/// What the caller sees of machines.
pub struct View<'a> {
    pub seen: &'a [Seen],
    pub free: &'a dyn Fn(Machine) -> bool,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Came {
    Done,
    /// A higher epoch is known there.
    Stale(Epoch),
    /// It may have been done, or may yet.
    Open(String),
}

pub struct Part {
    me: u16,
    duties: Vec<DutyOrder>,
    peers: Peers,
    lease: Lease,
    work: Option<Upkeep>,
    out: Vec<bool>,
    next: Vec<Duration>,
    told: Vec<Option<Duration>>, // of each duty's calls, the last fault
    stops: bool,
    counted: (usize, usize, usize),
    counted_at: Duration,
    sent: u64,
    heard: u64,
}

/// Who this part is.
#[derive(Debug, Clone)]
pub struct Who {
    pub me: u16,
    pub members: usize,
    pub incarnation: u64,
    pub seed: u64,
}

impl Part {
    pub fn new(
        who: &Who,
        voters: usize,
        lease: Duration,
        period: Duration,
        duties: Vec<DutyOrder>,
        times: Times,
        votes: Option<BTreeMap<Duty, Vote>>,
    ) -> Part {
        let &Who {
            me,
            members,
            incarnation,
            seed,
        } = who;
        let terms = peers::Terms {
            me,
            members,
            incarnation,
            period,
            seed,
        };
        let own = lease::Terms {
            me,
            members,
            voters,
            lease,
            seed,
        };
        let count = duties.len();
        let mut part = Part {
            me,
            duties,
            peers: Peers::new(terms, times.steady),
            lease: Lease::new(own, times, votes),
            work: None,
            out: vec![false; count],
            next: vec![times.steady; count],
            told: vec![None; count],
            stops: false,
            counted: (members, 0, 0),
            counted_at: times.steady,
            sent: 0,
            heard: 0,
        };
        part.choose(times, &mut Vec::new());
        part
    }

    /// Has this part take its share in the order of work on machines.
    pub fn with_upkeep(mut self, order: &UpkeepOrder) -> Part {
        let members = self.peers.known().len();
        let mark = passroad_choice::interner::stable_hash(UPKEEP);
        let limits = upkeep::Limits {
            at_once: order.at_once,
            at_once_in_a_zone: order.at_once_in_a_zone,
            at_once_in_a_cell: order.at_once_in_a_cell,
            reserve: order.reserve,
            warm: order.warm,
            together: TOGETHER,
        };
        let keepers = lease::council(mark, members, self.lease.voters());
        self.work = Some(Upkeep::new(upkeep::Terms {
            me: self.me,
            members,
            keepers,
            limits,
        }));
        self
    }

    pub fn upkeep(&self) -> Option<&Upkeep> {
        self.work.as_ref()
    }

    /// An operator's word, for the conductor.
    pub fn operator(&mut self, word: upkeep::Word) {
        self.work.iter_mut().for_each(|work| work.ask(word.clone()));
    }

    /// The order of work: with a word that was heard, or for time alone.
    pub fn work(
        &mut self,
        times: Times,
        view: &View,
        heard: Option<(u16, upkeep::Word)>,
    ) -> Vec<Do> {
        let mut todo = Vec::new();
        let Some(mut work) = self.work.take() else {
            return todo;
        };
        let mark = passroad_choice::interner::stable_hash(UPKEEP);
        let owned = self.lease.owned(times, mark).map(|(epoch, _)| epoch);
        let note = self.peers.note_of(mark).and_then(|note| note.holder);
        let incarnations: Vec<u64> = self
            .peers
            .known()
            .iter()
            .map(|known| peers::life(known.incarnation))
            .collect();
        let sight = Sight {
            now: times.steady,
            wall: times.wall,
            owned: owned.filter(|_| !self.stops),
            incarnations: &incarnations,
            conductor: owned
                .map(|_| self.me)
                .or(note.filter(|holder| *holder != self.me)),
            seen: view.seen,
            free: view.free,
        };
        let outs = match heard {
            Some((from, word)) => work.hear(&sight, from, word),
            None => work.turn(&sight),
        };
        self.work = Some(work);
        for out in outs {
            match out {
                upkeep::Out::Say { to, word } => self.send(to, WORK, &word.bytes(), &mut todo),
                upkeep::Out::Ban { machine, out } => todo.push(Do::Ban { machine, out }),
                upkeep::Out::Answer { request, refused } => {
                    todo.push(Do::Answer { request, refused })
                }
                upkeep::Out::Told { machine, what } => todo.push(Do::Machine { machine, what }),
            }
        }
        todo
    }

    /// What time has brought, and calls that are due.
    pub fn turn(&mut self, times: Times) -> Vec<Do> {
        let mut todo = Vec::new();
        let outs = self.peers.tick(times.steady);
        self.listen(times, outs, &mut todo);
        let outs = self.lease.tick(times);
        self.carry_out(times, outs, &mut todo);
        for n in 0..self.duties.len() {
            if self.stops
                || self.out[n]
                || times.steady < self.next[n]
                || self.duties[n].call.is_none()
            {
                continue;
            }
            let duty = &self.duties[n];
            // Asked again right before each act: what slept past its lease acts on nothing.
            if let Some((epoch, left)) = self.lease.owned(times, duty.mark)
                && left > duty.within
            {
                (self.out[n], self.next[n]) = (true, times.steady + duty.every);
                todo.push(Do::Begin {
                    n,
                    epoch,
                    within: duty.within,
                });
            }
        }
        self.count(times.steady, &mut todo);
        todo
    }

    /// How long until the next turn, if nothing comes.
    pub fn wait(&mut self, times: Times) -> Duration {
        let mut wait = self
            .peers
            .wait(times.steady)
            .min(self.lease.wait().unwrap_or(LONGEST_WAIT));
        for n in 0..self.duties.len() {
            if self.stops || self.out[n] || self.duties[n].call.is_none() {
                continue;
            }
            if let Some((_, left)) = self.lease.owned(times, self.duties[n].mark) {
                let due = self.next[n].saturating_sub(times.steady);
                wait = wait.min(if left > self.duties[n].within {
                    due
                } else {
                    due.max(NEXT_LOOK)
                });
            }
        }
        let wait = if self.work.as_ref().is_some_and(Upkeep::awake) {
            wait.min(upkeep::TURN)
        } else {
            wait
        };
        wait.min(LONGEST_WAIT)
    }

    /// A datagram from a member, by its address.
    pub fn hear(&mut self, times: Times, from: u16, bytes: &[u8], view: &View) -> Vec<Do> {
        let mut todo = Vec::new();
        let (channel, incarnation, body) = match peers::open(bytes) {
            Ok(opened) => opened,
            Err(peers::Ill::Foreign) => return vec![Do::Unheard("of no passroad")],
            Err(peers::Ill::Version) => return vec![Do::Unheard("of another version")],
            Err(peers::Ill::Length) => return vec![Do::Unheard("cut short or too long")],
        };
        let (heard, outs) = self.peers.admit(times.steady, from, incarnation);
        self.listen(times, outs, &mut todo);
        if !heard {
            todo.push(Do::Unheard("of an incarnation that is over"));
            return todo;
        }
        self.heard += 1;
        match channel {
            PEERS => {
                let before = self.peers.counts().unreadable;
                let outs = self.peers.hear(times.steady, from, body);
                self.listen(times, outs, &mut todo);
                if self.peers.counts().unreadable > before {
                    todo.push(Do::Unheard("unreadable"));
                }
            }
            LEASES => match Word::read(body) {
                Some(word) => {
                    let outs = self.lease.hear(times, from, word);
                    self.carry_out(times, outs, &mut todo);
                }
                None => todo.push(Do::Unheard("unreadable")),
            },
            WORK => match upkeep::Word::read(body) {
                Some(word) if self.work.is_some() => {
                    todo.extend(self.work(times, view, Some((from, word))))
                }
                Some(_) => todo.push(Do::Unheard(
                    "of work on machines, which the file does not ask for",
                )),
                None => todo.push(Do::Unheard("unreadable")),
            },
            _ => todo.push(Do::Unheard("on an unknown channel")),
        }
        todo
    }

    /// A call that had begun has ended.
    pub fn ended(&mut self, times: Times, n: usize, epoch: Epoch, came: Came) -> Vec<Do> {
        let mut todo = Vec::new();
        self.out[n] = false;
        let duty = &self.duties[n];
        let mut say = |level, line| todo.push(Do::Say { level, line });
        match came {
            Came::Done => {}
            Came::Stale(highest) => {
                say(
                    Level::Warn,
                    format!(
                        "duty {}: epoch {epoch} was refused, {highest} is known there",
                        duty.name
                    ),
                );
                let outs = self.lease.learn(times, duty.mark, highest);
                self.carry_out(times, outs, &mut todo);
            }
            Came::Open(why) => {
                if self.told[n].is_none_or(|at| times.steady.saturating_sub(at) >= TOLD_EVERY) {
                    self.told[n] = Some(times.steady);
                    say(
                        Level::Warn,
                        format!(
                            "duty {}: a call that may have been done or not: {why}",
                            duty.name
                        ),
                    );
                }
            }
        }
        todo
    }

    /// No further call begins.
    pub fn stop(&mut self) {
        self.stops = true;
    }

    /// Its voter is mute until the process starts anew.
    pub fn vote_no_more(&mut self) {
        self.lease.retire();
    }

    pub fn any_out(&self) -> bool {
        self.out.contains(&true)
    }

    /// The planned end: what is owned here is given up, so that the next owner need not wait for the lease to run out.
    pub fn leave(&mut self, times: Times) -> Vec<Do> {
        let mut todo = Vec::new();
        self.stops = true;
        for n in 0..self.duties.len() {
            let outs = self.lease.stand(times, self.duties[n].mark, None);
            self.carry_out(times, outs, &mut todo);
        }
        self.lease.retire();
        todo
    }

    /// Whether this sidecar takes itself for the owner, and by which epoch.
    pub fn owned(&mut self, times: Times, n: usize) -> Option<Epoch> {
        self.lease
            .owned(times, self.duties[n].mark)
            .map(|(epoch, _)| epoch)
    }

    pub fn counts(&self) -> peers::Counts {
        self.peers.counts()
    }

    fn send(&mut self, to: u16, channel: u8, body: &[u8], todo: &mut Vec<Do>) {
        if let Some(bytes) = peers::seal(channel, self.peers.incarnation(), body) {
            self.sent += 1;
            todo.push(Do::Send { to, bytes });
        }
    }

    fn listen(&mut self, times: Times, outs: Vec<peers::Out>, todo: &mut Vec<Do>) {
        let mut turned = false;
        for out in outs {
            match out {
                peers::Out::Say { to, body } => self.send(to, PEERS, &body, todo),
                peers::Out::Turned { member, standing } => {
                    todo.push(Do::Turned { member, standing });
                    turned = true;
                }
                peers::Out::Heard(note) => {
                    let outs = self.lease.learn(times, note.topic, note.number);
                    self.carry_out(times, outs, todo);
                }
                peers::Out::Starved(late) => {
                    let line = format!(
                        "this sidecar stood still for {late:.1?}; it doubts nobody for that time"
                    );
                    todo.push(Do::Say {
                        level: Level::Warn,
                        line,
                    });
                }
            }
        }
        if turned {
            self.choose(times, todo);
        }
    }

    /// Who stands for a duty: the first of its order that are here. Whoever owns it stays.
    fn choose(&mut self, times: Times, todo: &mut Vec<Do>) {
        for n in 0..self.duties.len() {
            let duty = self.duties[n].mark;
            let order = lease::order(duty, self.peers.known().len());
            let here =
                |member: &u16| *member == self.me || self.peers.standing(*member) == Standing::Here;
            let place = order
                .into_iter()
                .filter(here)
                .take(STAND)
                .position(|member| member == self.me);
            if !self.stops && (place.is_some() || self.lease.owned(times, duty).is_none()) {
                let outs = self.lease.stand(times, duty, place);
                self.carry_out(times, outs, todo);
            }
        }
    }

    fn carry_out(&mut self, times: Times, outs: Vec<lease::Out>, todo: &mut Vec<Do>) {
        for out in outs {
            match out {
                lease::Out::Say { to, word } if to == self.me => {
                    let outs = self.lease.hear(times, to, word);
                    self.carry_out(times, outs, todo);
                }
                lease::Out::Say { to, word } => self.send(to, LEASES, &word.bytes(), todo),
                lease::Out::Keep { duty, vote } => todo.push(Do::Keep { duty, vote }),
                lease::Out::Won { duty, epoch } => {
                    self.peers.note(Note {
                        topic: duty,
                        number: epoch,
                        holder: Some(self.me),
                    });
                    let line = format!(
                        "duty {} is owned here from now, by epoch {epoch}",
                        self.name(duty)
                    );
                    todo.push(Do::Say {
                        level: Level::Info,
                        line,
                    });
                }
                lease::Out::Lost { duty, epoch, why } => {
                    if let Some(n) = self.duties.iter().position(|d| d.mark == duty)
                        && std::mem::take(&mut self.out[n])
                    {
                        todo.push(Do::Drop { n });
                    }
                    if why == Why::Left {
                        self.peers.note(Note {
                            topic: duty,
                            number: epoch,
                            holder: None,
                        });
                    }
                    let why = match why {
                        Why::RanOut => "no majority renewed it in time",
                        Why::Left => "given up",
                        Why::Outrun => "a higher epoch is known elsewhere",
                    };
                    let line = format!(
                        "duty {} is no longer owned here (epoch {epoch}): {why}",
                        self.name(duty)
                    );
                    todo.push(Do::Say {
                        level: Level::Info,
                        line,
                    });
                }
            }
        }
    }

    fn name(&self, duty: Duty) -> &str {
        self.duties
            .iter()
            .find(|d| d.mark == duty)
            .map_or("?", |d| d.name.as_str())
    }

    /// One line where it has changed, a second apart: the fleet may turn by the dozen.
    fn count(&mut self, now: Duration, todo: &mut Vec<Do>) {
        if now.saturating_sub(self.counted_at) < LONGEST_WAIT {
            return;
        }
        self.counted_at = now;
        let count = |standing| {
            self.peers
                .known()
                .iter()
                .filter(|k| k.standing == standing)
                .count()
        };
        let counted = (
            count(Standing::Here),
            count(Standing::Doubt),
            count(Standing::Gone),
        );
        if counted != self.counted {
            self.counted = counted;
            let line = format!(
                "{} here, {} in doubt, {} gone",
                counted.0, counted.1, counted.2
            );
            todo.push(Do::Say {
                level: Level::Info,
                line,
            });
        }
    }

    pub fn status(&mut self, times: Times) -> Value {
        let standing = |standing| match standing {
            Standing::Here => "here",
            Standing::Doubt => "doubt",
            Standing::Gone => "gone",
        };
        let known = self.peers.known().iter().enumerate();
        let members: Vec<Value> = known
            .map(|(n, known)| json!({ "n": n, "standing": standing(known.standing), "incarnation": known.incarnation }))
            .collect();
        let mut duties = Vec::new();
        for duty in &self.duties {
            let owned = self.lease.owned(times, duty.mark);
            let note = self.peers.note_of(duty.mark);
            let owner = owned.map(|_| self.me).or(note.and_then(|note| note.holder));
            duties.push(json!({
                "name": duty.name, "owner": owner, "here": owned.is_some(),
                "epoch": owned.map(|(epoch, _)| epoch).or(note.map(|note| note.number)),
                "left_ms": owned.map(|(_, left)| left.as_millis() as u64),
                "voters": lease::council(duty.mark, members.len(), self.lease.voters()),
            }));
        }
        let counts = self.peers.counts();
        json!({
            "me": self.me, "incarnation": self.peers.incarnation(), "mute": self.lease.mute(times),
            "members": members, "duties": duties,
            "datagrams": { "sent": self.sent, "heard": self.heard, "held_back": counts.held_back },
            "doubts": counts.doubts, "doubts_refuted": counts.refuted, "seconds": times.steady.as_secs_f64(),
        })
    }
}

#[cfg(test)]
mod tests;
