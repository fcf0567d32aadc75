//! The one task that owns the socket: hears, keeps time, begins calls, answers operators.

use super::calls::{Calls, Came};
use super::drops::Drops;
use super::kept::Kept;
use super::orders::{DutyOrder, FleetOrders, Place};
use super::status::Asked;
use crate::stop::{Stage, Stages, reached};
use passroad_lease::{self as lease, Epoch, Lease, Times, Why, Word};
use passroad_peers::{self as peers, Note, Peers, Standing};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, sleep_until};

/// Channels of datagrams.
const PEERS: u8 = 0;
const LEASES: u8 = 1;
/// How many of the first in a duty's order stand for it.
const STAND: usize = 3;
/// Datagrams that are read in a row before timers have their turn.
const IN_A_ROW: usize = 64;
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// For a call that is out when this process is to stop, and for its leaves.
const LAST_CALL: Duration = Duration::from_millis(40);
const LAST_WORDS: Duration = Duration::from_millis(120);
/// Faults of a duty's calls are told so often at most.
const TOLD_EVERY: Duration = Duration::from_secs(60);

pub struct Talk {
    place: Place,
    duties: Vec<DutyOrder>,
    numbers: HashMap<SocketAddr, u16>,
    socket: UdpSocket,
    began: Instant,
    peers: Peers,
    lease: Lease,
    kept: Option<Kept>,
    calls: Calls,
    came: Option<UnboundedReceiver<(usize, Epoch, Came)>>,
    drops: Drops,
    sent: u64,
    heard: u64,
    stops: bool,
    told: Vec<Option<Instant>>, // of each duty's calls, the last fault
    counted: (usize, usize, usize),
    counted_at: Instant,
}

fn wall() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

impl Talk {
    pub fn new(orders: FleetOrders, place: Place, kept: Option<Kept>, socket: UdpSocket) -> Talk {
        let (me, members, began) = (place.me, place.peers.len(), Instant::now());
        // The time of the start: later processes of this name have a higher one.
        let incarnation = wall().as_millis() as u64;
        let seed = incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (u64::from(me) << 32);
        let peer_terms = peers::Terms { me, members, incarnation, period: orders.period, seed };
        let terms = lease::Terms { me, members, voters: orders.voters, lease: orders.lease, seed };
        let times = Times { steady: Duration::ZERO, wall: wall() };
        let votes = kept.as_ref().filter(|kept| kept.found).map(|kept| kept.votes.clone());
        let (calls, came) = Calls::new(orders.duties.len());
        Talk {
            numbers: place.peers.iter().enumerate().map(|(n, at)| (*at, n as u16)).collect(),
            told: vec![None; orders.duties.len()],
            duties: orders.duties,
            place,
            socket,
            began,
            peers: Peers::new(peer_terms, Duration::ZERO),
            lease: Lease::new(terms, times, votes),
            kept,
            calls,
            came: Some(came),
            drops: Drops::default(),
            sent: 0,
            heard: 0,
            stops: false,
            counted: (members, 0, 0),
            counted_at: began,
        }
    }

    fn times(&self) -> Times {
        Times { steady: self.began.elapsed(), wall: wall() }
    }

    pub async fn run(mut self, mut asked: Asked, mut stages: Stages) {
        let Some(mut came) = self.came.take() else { return };
        let mut bytes = [0; 2 * peers::LONGEST];
        self.choose();
        let mut leaves: Option<Instant> = None;
        loop {
            self.turn();
            let due = self.due();
            let last = leaves.unwrap_or(due);
            tokio::select! {
                got = self.socket.recv_from(&mut bytes) => {
                    let mut got = got;
                    for _ in 0..IN_A_ROW {
                        match got {
                            Ok((count, from)) => self.hear(from, &bytes[..count]),
                            // Of a datagram that nobody took at the other end, or none left.
                            Err(_) => break,
                        }
                        got = self.socket.try_recv_from(&mut bytes);
                    }
                }
                () = sleep_until(due.min(last)) => {}
                Some((n, epoch, what)) = came.recv() => self.ended(n, epoch, what),
                Some(tell) = asked.recv() => drop(tell.send(self.status())),
                () = reached(&mut stages, Stage::Leaving), if leaves.is_none() => {
                    self.stops = true;
                    leaves = Some(Instant::now() + LAST_CALL);
                }
            }
            if leaves.is_some_and(|at| Instant::now() >= at || !self.calls.any_out()) {
                return self.leave().await;
            }
        }
    }

    /// The planned end: what is owned here is given up, so that the next owner need not wait for the lease to run out.
    async fn leave(mut self) {
        let end = Instant::now() + LAST_WORDS;
        for n in 0..self.duties.len() {
            let outs = self.lease.stand(self.times(), self.duties[n].mark, false);
            self.carry_out(outs);
        }
        while Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
            let outs = self.lease.tick(self.times());
            self.carry_out(outs);
        }
    }

    /// What time has brought, and calls that are due.
    fn turn(&mut self) {
        let outs = self.peers.tick(self.began.elapsed());
        self.listen(outs);
        let outs = self.lease.tick(self.times());
        self.carry_out(outs);
        for n in 0..self.duties.len() {
            if self.stops || self.calls.due(n).is_none_or(|at| Instant::now() < at) {
                continue;
            }
            let duty = &self.duties[n];
            // Asked again right before each act: what slept past its lease acts on nothing.
            if let Some((epoch, left)) = self.lease.owned(self.times(), duty.mark)
                && left > duty.within
            {
                self.calls.begin(n, duty, epoch, self.place.me, duty.within);
            }
        }
        self.count();
    }

    fn due(&mut self) -> Instant {
        let now = Instant::now();
        let peers = self.peers.wait(self.began.elapsed());
        let lease = self.lease.wait().unwrap_or(LONGEST_WAIT);
        let mut due = now + peers.min(lease).min(LONGEST_WAIT);
        let times = self.times();
        for n in 0..self.duties.len() {
            if let Some(at) = self.calls.due(n).filter(|_| !self.stops)
                && let Some((_, left)) = self.lease.owned(times, self.duties[n].mark)
            {
                // With too little left of the lease the next renewal is waited for.
                let at =
                    if left > self.duties[n].within { at } else { at.max(now + Duration::from_millis(20)) };
                due = due.min(at);
            }
        }
        due
    }

    fn hear(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now = self.began.elapsed();
        let Some(member) = self.numbers.get(&from).copied() else {
            return self.drops.note(now, "of an address that is not in peers");
        };
        let (channel, incarnation, body) = match peers::open(bytes) {
            Ok(opened) => opened,
            Err(peers::Ill::Foreign) => return self.drops.note(now, "of no passroad"),
            Err(peers::Ill::Version) => return self.drops.note(now, "of another version"),
            Err(peers::Ill::Length) => return self.drops.note(now, "cut short or too long"),
        };
        let (heard, outs) = self.peers.admit(now, member, incarnation);
        self.listen(outs);
        if !heard {
            return self.drops.note(now, "of an incarnation that is over");
        }
        self.heard += 1;
        match channel {
            PEERS => {
                let before = self.peers.counts().unreadable;
                let outs = self.peers.hear(now, member, body);
                self.listen(outs);
                if self.peers.counts().unreadable > before {
                    self.drops.note(now, "unreadable");
                }
            }
            LEASES => match Word::read(body) {
                Some(word) => {
                    let outs = self.lease.hear(self.times(), member, word);
                    self.carry_out(outs);
                }
                None => self.drops.note(now, "unreadable"),
            },
            _ => self.drops.note(now, "on an unknown channel"),
        }
    }

    fn say(&mut self, to: u16, channel: u8, body: &[u8]) {
        let sealed = peers::seal(channel, self.peers.incarnation(), body);
        let Some((bytes, to)) = sealed.zip(self.place.peers.get(usize::from(to))) else { return };
        // A datagram that the system does not take is one that was lost.
        if self.socket.try_send_to(&bytes, *to).is_ok() {
            self.sent += 1;
        }
    }

    fn listen(&mut self, outs: Vec<peers::Out>) {
        let mut turned = false;
        for out in outs {
            match out {
                peers::Out::Say { to, body } => self.say(to, PEERS, &body),
                peers::Out::Turned { member, standing } => {
                    log::debug!("fleet: member {member}: {standing:?}");
                    turned = true;
                }
                peers::Out::Heard(note) => {
                    let outs = self.lease.learn(self.times(), note.topic, note.number);
                    self.carry_out(outs);
                }
                peers::Out::Starved(late) => {
                    log::warn!(
                        "fleet: this sidecar stood still for {late:.1?}; it doubts nobody for that time"
                    );
                }
            }
        }
        if turned {
            self.choose();
        }
    }

    /// Who stands for a duty: the first of its order that are here. Whoever owns it stays.
    fn choose(&mut self) {
        for n in 0..self.duties.len() {
            let duty = self.duties[n].mark;
            let order = lease::order(duty, self.place.peers.len());
            let here =
                |member: &u16| *member == self.place.me || self.peers.standing(*member) == Standing::Here;
            let stands = order.into_iter().filter(here).take(STAND).any(|member| member == self.place.me);
            if !self.stops && (stands || self.lease.owned(self.times(), duty).is_none()) {
                let outs = self.lease.stand(self.times(), duty, stands);
                self.carry_out(outs);
            }
        }
    }

    fn carry_out(&mut self, outs: Vec<lease::Out>) {
        for out in outs {
            match out {
                lease::Out::Say { to, word } if to == self.place.me => {
                    let outs = self.lease.hear(self.times(), to, word);
                    self.carry_out(outs);
                }
                lease::Out::Say { to, word } => self.say(to, LEASES, &word.bytes()),
                lease::Out::Keep { duty, vote } => {
                    // Guards against saying what would be forgotten: without its file the voter says nothing more.
                    if let Some(Err(fault)) = self.kept.as_mut().map(|kept| kept.keep(duty, vote)) {
                        return log::error!("fleet: the state can't be kept, a vote is not given: {fault}");
                    }
                }
                lease::Out::Won { duty, epoch } => {
                    self.peers.note(Note { topic: duty, number: epoch, holder: Some(self.place.me) });
                    let name = self.name(duty);
                    log::info!(duty = name, epoch = epoch; "fleet: duty {name} is owned here from now, by epoch {epoch}");
                }
                lease::Out::Lost { duty, epoch, why } => {
                    let n = self.duties.iter().position(|d| d.mark == duty);
                    n.into_iter().for_each(|n| self.calls.drop(n));
                    if why == Why::Left {
                        self.peers.note(Note { topic: duty, number: epoch, holder: None });
                    }
                    let why = match why {
                        Why::RanOut => "no majority renewed it in time",
                        Why::Left => "given up",
                        Why::Outrun => "a higher epoch is known elsewhere",
                    };
                    let name = self.name(duty);
                    log::info!(duty = name, epoch = epoch; "fleet: duty {name} is no longer owned here (epoch {epoch}): {why}");
                }
            }
        }
    }

    fn name(&self, duty: u64) -> &str {
        self.duties.iter().find(|d| d.mark == duty).map_or("?", |d| d.name.as_str())
    }

    fn ended(&mut self, n: usize, epoch: Epoch, came: Came) {
        self.calls.ended(n);
        let duty = &self.duties[n];
        match came {
            Came::Done => {}
            Came::Stale(highest) => {
                log::warn!("fleet: duty {}: epoch {epoch} was refused, {highest} is known there", duty.name);
                let outs = self.lease.learn(self.times(), duty.mark, highest);
                self.carry_out(outs);
            }
            Came::Open(why) if self.told[n].is_none_or(|at| at.elapsed() >= TOLD_EVERY) => {
                self.told[n] = Some(Instant::now());
                log::warn!("fleet: duty {}: a call that may have been done or not: {why}", duty.name);
            }
            Came::Open(_) => {}
        }
    }

    /// One line where it has changed, a second apart: the fleet may turn by the dozen.
    fn count(&mut self) {
        if self.counted_at.elapsed() < LONGEST_WAIT {
            return;
        }
        self.counted_at = Instant::now();
        let count = |standing| self.peers.known().iter().filter(|k| k.standing == standing).count();
        let counted = (count(Standing::Here), count(Standing::Doubt), count(Standing::Gone));
        if counted != self.counted {
            self.counted = counted;
            let (here, doubt, gone) = counted;
            log::info!(here = here, doubt = doubt, gone = gone; "fleet: {here} here, {doubt} in doubt, {gone} gone");
        }
    }

    fn status(&mut self) -> Value {
        let times = self.times();
        let members: Vec<Value> = self
            .peers
            .known()
            .iter()
            .enumerate()
            .map(|(n, known)| {
                let standing = match known.standing {
                    Standing::Here => "here",
                    Standing::Doubt => "doubt",
                    Standing::Gone => "gone",
                };
                json!({ "n": n, "standing": standing, "incarnation": known.incarnation })
            })
            .collect();
        let mut duties = Vec::new();
        for duty in &self.duties {
            let owned = self.lease.owned(times, duty.mark);
            let note = self.peers.note_of(duty.mark);
            let owner = owned.map(|_| self.place.me).or(note.and_then(|note| note.holder));
            duties.push(json!({
                "name": duty.name, "owner": owner, "here": owned.is_some(),
                "epoch": owned.map(|(epoch, _)| epoch).or(note.map(|note| note.number)),
                "left_ms": owned.map(|(_, left)| left.as_millis() as u64),
                "voters": lease::council(duty.mark, members.len(), self.lease.voters()),
            }));
        }
        let counts = self.peers.counts();
        json!({
            "me": self.place.me, "incarnation": self.peers.incarnation(), "mute": self.lease.mute(times),
            "members": members, "duties": duties,
            "datagrams": {
                "sent": self.sent, "heard": self.heard, "held_back": counts.held_back, "not_heard": self.drops.counts(),
            },
            "doubts": counts.doubts, "doubts_refuted": counts.refuted, "seconds": self.began.elapsed().as_secs_f64(),
        })
    }
}
