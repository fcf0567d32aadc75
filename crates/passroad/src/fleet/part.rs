//! One sidecar's part in the fleet without socket, clock or calls: membership, leases, and when a duty's call may begin.
//! The sidecar's thread and the rig's virtual time both drive it.

use super::orders::{DutyOrder, UPKEEP, UpkeepOrder};
use log::Level;
use passroad_lease::{
    self as lease, Clocks, Epoch, LeaseKey, LeaseManager, LossReason, Message, Vote,
};
use passroad_peers::{self as peers, GossipFact, MemberState, Membership};
use passroad_upkeep::{
    self as upkeep, Context, ListedMachine, MachineEvent, MachineId, MaintenanceManager, Rejection,
};
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
        duty: LeaseKey,
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
        standing: MemberState,
    },
    /// A datagram was not heard.
    Unheard(&'static str),
    /// Keep off a machine, or use it again.
    Ban {
        machine: MachineId,
        out: bool,
    },
    /// An operator's request has its answer.
    Answer {
        request: u64,
        refused: Option<Rejection>,
    },
    /// What is told of a machine.
    Machine {
        machine: MachineId,
        what: MachineEvent,
    },
}

/// What the caller sees of machines.
pub struct View<'a> {
    pub seen: &'a [ListedMachine],
    pub free: &'a dyn Fn(MachineId) -> bool,
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
    peers: Membership,
    lease: LeaseManager,
    work: Option<MaintenanceManager>,
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
        clocks: Clocks,
        votes: Option<BTreeMap<LeaseKey, Vote>>,
    ) -> Part {
        let &Who {
            me,
            members,
            incarnation,
            seed,
        } = who;
        let terms = peers::MembershipConfig {
            me,
            members,
            incarnation,
            period,
            seed,
        };
        let own = lease::LeaseConfig {
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
            peers: Membership::new(terms, clocks.monotonic),
            lease: LeaseManager::new(own, clocks, votes),
            work: None,
            out: vec![false; count],
            next: vec![clocks.monotonic; count],
            told: vec![None; count],
            stops: false,
            counted: (members, 0, 0),
            counted_at: clocks.monotonic,
            sent: 0,
            heard: 0,
        };
        part.choose(clocks, &mut Vec::new());
        part
    }

    /// Has this part take its share in the order of work on machines.
    pub fn with_upkeep(mut self, order: &UpkeepOrder) -> Part {
        let members = self.peers.members().len();
        let mark = passroad_choice::interner::stable_hash(UPKEEP);
        let limits = upkeep::Limits {
            max_out: order.at_once,
            max_out_per_zone: order.at_once_in_a_zone,
            max_out_per_cell: order.at_once_in_a_cell,
            capacity_reserve: order.reserve,
            warm_up_time: order.warm,
            fleet_start_window: TOGETHER,
        };
        let voters = lease::voters_for(mark, members, self.lease.voters());
        self.work = Some(MaintenanceManager::new(upkeep::MaintenanceConfig {
            me: self.me,
            members,
            voters,
            limits,
        }));
        self
    }

    pub fn upkeep(&self) -> Option<&MaintenanceManager> {
        self.work.as_ref()
    }

    /// An operator's word, for the conductor.
    pub fn operator(&mut self, word: upkeep::Message) {
        self.work
            .iter_mut()
            .for_each(|work| work.submit(word.clone()));
    }

    /// The order of work: with a word that was heard, or for time alone.
    pub fn work(
        &mut self,
        clocks: Clocks,
        view: &View,
        heard: Option<(u16, upkeep::Message)>,
    ) -> Vec<Do> {
        let mut todo = Vec::new();
        let Some(mut work) = self.work.take() else {
            return todo;
        };
        let mark = passroad_choice::interner::stable_hash(UPKEEP);
        let owned = self.lease.ownership(clocks, mark).map(|(epoch, _)| epoch);
        let note = self.peers.fact(mark).and_then(|note| note.holder);
        let incarnations: Vec<u64> = self
            .peers
            .members()
            .iter()
            .map(|known| peers::process_start_ms(known.incarnation))
            .collect();
        let sight = Context {
            now: clocks.monotonic,
            wall: clocks.wall,
            owned_epoch: owned.filter(|_| !self.stops),
            incarnations: &incarnations,
            coordinator: owned
                .map(|_| self.me)
                .or(note.filter(|holder| *holder != self.me)),
            machines: view.seen,
            idle: view.free,
        };
        let outs = match heard {
            Some((from, word)) => work.receive(&sight, from, word),
            None => work.tick(&sight),
        };
        self.work = Some(work);
        for out in outs {
            match out {
                upkeep::Action::Send { to, message } => {
                    self.send(to, WORK, &message.encode(), &mut todo)
                }
                upkeep::Action::SetExcluded { machine, excluded } => todo.push(Do::Ban {
                    machine,
                    out: excluded,
                }),
                upkeep::Action::Respond { request, rejected } => todo.push(Do::Answer {
                    request,
                    refused: rejected,
                }),
                upkeep::Action::Report { machine, event } => todo.push(Do::Machine {
                    machine,
                    what: event,
                }),
            }
        }
        todo
    }

    /// What time has brought, and calls that are due.
    pub fn turn(&mut self, clocks: Clocks) -> Vec<Do> {
        let mut todo = Vec::new();
        let outs = self.peers.tick(clocks.monotonic);
        self.listen(clocks, outs, &mut todo);
        let outs = self.lease.tick(clocks);
        self.carry_out(clocks, outs, &mut todo);
        for n in 0..self.duties.len() {
            if self.stops
                || self.out[n]
                || clocks.monotonic < self.next[n]
                || self.duties[n].call.is_none()
            {
                continue;
            }
            let duty = &self.duties[n];
            // Asked again right before each act: what slept past its lease acts on nothing.
            if let Some((epoch, left)) = self.lease.ownership(clocks, duty.mark)
                && left > duty.within
            {
                (self.out[n], self.next[n]) = (true, clocks.monotonic + duty.every);
                todo.push(Do::Begin {
                    n,
                    epoch,
                    within: duty.within,
                });
            }
        }
        self.count(clocks.monotonic, &mut todo);
        todo
    }

    /// How long until the next turn, if nothing comes.
    pub fn wait(&mut self, clocks: Clocks) -> Duration {
        let mut wait = self
            .peers
            .time_to_next_tick(clocks.monotonic)
            .min(self.lease.time_to_next_timer().unwrap_or(LONGEST_WAIT));
        for n in 0..self.duties.len() {
            if self.stops || self.out[n] || self.duties[n].call.is_none() {
                continue;
            }
            if let Some((_, left)) = self.lease.ownership(clocks, self.duties[n].mark) {
                let due = self.next[n].saturating_sub(clocks.monotonic);
                wait = wait.min(if left > self.duties[n].within {
                    due
                } else {
                    due.max(NEXT_LOOK)
                });
            }
        }
        let wait = if self
            .work
            .as_ref()
            .is_some_and(MaintenanceManager::is_active)
        {
            wait.min(upkeep::TICK_INTERVAL)
        } else {
            wait
        };
        wait.min(LONGEST_WAIT)
    }

    /// A datagram from a member, by its address.
    pub fn hear(&mut self, clocks: Clocks, from: u16, bytes: &[u8], view: &View) -> Vec<Do> {
        let mut todo = Vec::new();
        let (channel, incarnation, body) = match peers::decode_frame(bytes) {
            Ok(opened) => opened,
            Err(peers::FrameError::UnknownMagic) => return vec![Do::Unheard("of no passroad")],
            Err(peers::FrameError::UnsupportedVersion) => {
                return vec![Do::Unheard("of another version")];
            }
            Err(peers::FrameError::LengthMismatch) => {
                return vec![Do::Unheard("cut short or too long")];
            }
        };
        let (heard, outs) = self
            .peers
            .accept_sender(clocks.monotonic, from, incarnation);
        self.listen(clocks, outs, &mut todo);
        if !heard {
            todo.push(Do::Unheard("of an incarnation that is over"));
            return todo;
        }
        self.heard += 1;
        match channel {
            PEERS => {
                let before = self.peers.counts().undecodable;
                let outs = self.peers.receive(clocks.monotonic, from, body);
                self.listen(clocks, outs, &mut todo);
                if self.peers.counts().undecodable > before {
                    todo.push(Do::Unheard("unreadable"));
                }
            }
            LEASES => match Message::decode(body) {
                Some(word) => {
                    let outs = self.lease.receive(clocks, from, word);
                    self.carry_out(clocks, outs, &mut todo);
                }
                None => todo.push(Do::Unheard("unreadable")),
            },
            WORK => match upkeep::Message::decode(body) {
                Some(word) if self.work.is_some() => {
                    todo.extend(self.work(clocks, view, Some((from, word))))
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
    pub fn ended(&mut self, clocks: Clocks, n: usize, epoch: Epoch, came: Came) -> Vec<Do> {
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
                let outs = self.lease.observe_epoch(clocks, duty.mark, highest);
                self.carry_out(clocks, outs, &mut todo);
            }
            Came::Open(why) => {
                if self.told[n].is_none_or(|at| clocks.monotonic.saturating_sub(at) >= TOLD_EVERY) {
                    self.told[n] = Some(clocks.monotonic);
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
        self.lease.stop_voting();
    }

    pub fn any_out(&self) -> bool {
        self.out.contains(&true)
    }

    /// The planned end: what is owned here is given up, so that the next owner need not wait for the lease to run out.
    pub fn leave(&mut self, clocks: Clocks) -> Vec<Do> {
        let mut todo = Vec::new();
        self.stops = true;
        for n in 0..self.duties.len() {
            let outs = self.lease.set_candidacy(clocks, self.duties[n].mark, None);
            self.carry_out(clocks, outs, &mut todo);
        }
        self.lease.stop_voting();
        todo
    }

    /// Whether this sidecar takes itself for the owner, and by which epoch.
    pub fn owned(&mut self, clocks: Clocks, n: usize) -> Option<Epoch> {
        self.lease
            .ownership(clocks, self.duties[n].mark)
            .map(|(epoch, _)| epoch)
    }

    pub fn counts(&self) -> peers::Counts {
        self.peers.counts()
    }

    fn send(&mut self, to: u16, channel: u8, body: &[u8], todo: &mut Vec<Do>) {
        if let Some(bytes) = peers::encode_frame(channel, self.peers.incarnation(), body) {
            self.sent += 1;
            todo.push(Do::Send { to, bytes });
        }
    }

    fn listen(&mut self, clocks: Clocks, outs: Vec<peers::Action>, todo: &mut Vec<Do>) {
        let mut turned = false;
        for out in outs {
            match out {
                peers::Action::Send { to, body } => self.send(to, PEERS, &body, todo),
                peers::Action::StateChanged { member, state } => {
                    todo.push(Do::Turned {
                        member,
                        standing: state,
                    });
                    turned = true;
                }
                peers::Action::FactReceived(fact) => {
                    let outs = self.lease.observe_epoch(clocks, fact.topic, fact.version);
                    self.carry_out(clocks, outs, todo);
                }
                peers::Action::LocalPause(late) => {
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
            self.choose(clocks, todo);
        }
    }

    /// Who stands for a duty: the first of its order that are here. Whoever owns it stays.
    fn choose(&mut self, clocks: Clocks, todo: &mut Vec<Do>) {
        for n in 0..self.duties.len() {
            let duty = self.duties[n].mark;
            let order = lease::candidate_order(duty, self.peers.members().len());
            let here = |member: &u16| {
                *member == self.me || self.peers.state_of(*member) == MemberState::Alive
            };
            let place = order
                .into_iter()
                .filter(here)
                .take(STAND)
                .position(|member| member == self.me);
            if !self.stops && (place.is_some() || self.lease.ownership(clocks, duty).is_none()) {
                let outs = self.lease.set_candidacy(clocks, duty, place);
                self.carry_out(clocks, outs, todo);
            }
        }
    }

    fn carry_out(&mut self, clocks: Clocks, outs: Vec<lease::Action>, todo: &mut Vec<Do>) {
        for out in outs {
            match out {
                lease::Action::Send { to, message } if to == self.me => {
                    let outs = self.lease.receive(clocks, to, message);
                    self.carry_out(clocks, outs, todo);
                }
                lease::Action::Send { to, message } => {
                    self.send(to, LEASES, &message.encode(), todo)
                }
                lease::Action::Persist { key, vote } => todo.push(Do::Keep { duty: key, vote }),
                lease::Action::Acquired { key, epoch } => {
                    self.peers.publish_fact(GossipFact {
                        topic: key,
                        version: epoch,
                        holder: Some(self.me),
                    });
                    let line = format!(
                        "duty {} is owned here from now, by epoch {epoch}",
                        self.name(key)
                    );
                    todo.push(Do::Say {
                        level: Level::Info,
                        line,
                    });
                }
                lease::Action::Lost { key, epoch, reason } => {
                    if let Some(n) = self.duties.iter().position(|d| d.mark == key)
                        && std::mem::take(&mut self.out[n])
                    {
                        todo.push(Do::Drop { n });
                    }
                    if reason == LossReason::Released {
                        self.peers.publish_fact(GossipFact {
                            topic: key,
                            version: epoch,
                            holder: None,
                        });
                    }
                    let why = match reason {
                        LossReason::Expired => "no majority renewed it in time",
                        LossReason::Released => "given up",
                        LossReason::Superseded => "a higher epoch is known elsewhere",
                    };
                    let line = format!(
                        "duty {} is no longer owned here (epoch {epoch}): {why}",
                        self.name(key)
                    );
                    todo.push(Do::Say {
                        level: Level::Info,
                        line,
                    });
                }
            }
        }
    }

    fn name(&self, duty: LeaseKey) -> &str {
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
                .members()
                .iter()
                .filter(|k| k.state == standing)
                .count()
        };
        let counted = (
            count(MemberState::Alive),
            count(MemberState::Suspect),
            count(MemberState::Dead),
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

    pub fn status(&mut self, clocks: Clocks) -> Value {
        let standing = |standing| match standing {
            MemberState::Alive => "here",
            MemberState::Suspect => "doubt",
            MemberState::Dead => "gone",
        };
        let known = self.peers.members().iter().enumerate();
        let members: Vec<Value> = known
            .map(|(n, known)| json!({ "n": n, "standing": standing(known.state), "incarnation": known.incarnation }))
            .collect();
        let mut duties = Vec::new();
        for duty in &self.duties {
            let owned = self.lease.ownership(clocks, duty.mark);
            let note = self.peers.fact(duty.mark);
            let owner = owned.map(|_| self.me).or(note.and_then(|note| note.holder));
            duties.push(json!({
                "name": duty.name, "owner": owner, "here": owned.is_some(),
                "epoch": owned.map(|(epoch, _)| epoch).or(note.map(|note| note.version)),
                "left_ms": owned.map(|(_, left)| left.as_millis() as u64),
                "voters": lease::voters_for(duty.mark, members.len(), self.lease.voters()),
            }));
        }
        let counts = self.peers.counts();
        json!({
            "me": self.me, "incarnation": self.peers.incarnation(), "mute": self.lease.is_recovering(clocks),
            "members": members, "duties": duties,
            "datagrams": { "sent": self.sent, "heard": self.heard, "held_back": counts.rate_limited },
            "doubts": counts.suspicions, "doubts_refuted": counts.refuted, "seconds": clocks.monotonic.as_secs_f64(),
        })
    }
}

#[cfg(test)]
mod tests;
