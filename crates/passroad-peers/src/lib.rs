//! Membership of the fleet: which sidecars are alive, suspect or dead. Each sidecar pings one other per period,
//! indirectly before it suspects, and piggybacks gossip on every datagram (after SWIM, Das et al. 2002, and Lifeguard,
//! Dadgar et al. 2018). Nothing here does I/O or reads a clock: [`Membership::receive`] and [`Membership::tick`] are
//! given the time and return datagrams.
//!
//! The load is bounded whatever the size of the fleet: one ping per period, three indirect pings if it isn't answered,
//! and at most [`MAX_DATAGRAMS_PER_SECOND`] datagrams per second in all, each of at most [`MAX_DATAGRAM_BYTES`] bytes.

pub mod frame;

pub use frame::{FrameError, MAX_DATAGRAM_BYTES, decode_frame, encode_frame};

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Index of a sidecar in the list of all sidecars.
pub type Member = u16;
/// When a process started, in 1/256 ms since 1970. A process that others suspect raises its own by one.
pub type Incarnation = u64;

/// The incarnation of a process that starts now.
pub fn incarnation_at(wall: Duration) -> Incarnation {
    (wall.as_millis() as u64) << 8
}

/// The part that stays the same for the lifetime of a process: its start time in milliseconds.
pub fn process_start_ms(incarnation: Incarnation) -> u64 {
    incarnation >> 8
}

/// Datagrams that membership sends per second and in a burst, at most.
pub const MAX_DATAGRAMS_PER_SECOND: f64 = 8.0;
const INDIRECT_PINGS: usize = 3;
/// Indirect pings on behalf of others that may be open at once.
const MAX_FORWARDED_PINGS: usize = 16;
/// Space that a frame leaves for the message and its gossip.
const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - frame::HEADER_BYTES - 12;
/// Facts that are stored and gossiped, at most.
const MAX_FACTS: usize = 16;
/// A fact or state change is gossiped this many times the logarithm of the fleet's size.
const GOSSIP_FACTOR: u32 = 3;
/// A tick late by the period divided by this means that this process itself was paused.
const LATE_DIVISOR: u32 = 4;

#[derive(Debug, Clone)]
pub struct MembershipConfig {
    pub me: Member,
    pub members: usize,
    pub incarnation: Incarnation,
    pub period: Duration,
    pub seed: u64,
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    Alive,
    Suspect,
    Dead,
}

/// What is known about one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    pub state: MemberState,
    pub incarnation: Incarnation,
    since: Duration,
}

/// A gossiped fact about something other than members, such as which member owns a lease and by which epoch. The higher
/// version replaces the lower.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipFact {
    pub topic: u64,
    pub version: u64,
    pub holder: Option<Member>,
}

#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
struct MemberUpdate {
    member: Member,
    state: MemberState,
    incarnation: Incarnation,
}

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
enum Message {
    Ping {
        sequence: u32,
    },
    Ack {
        sequence: u32,
        target: Member,
    },
    /// Asks the receiver to ping another member on behalf of the sender.
    PingRequest {
        sequence: u32,
        target: Member,
    },
}

#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
struct Packet {
    message: Message,
    facts: Vec<GossipFact>,
    updates: Vec<MemberUpdate>,
}

/// Actions for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a body on the membership channel.
    Send { to: Member, body: Vec<u8> },
    /// The state of a member has changed.
    StateChanged { member: Member, state: MemberState },
    /// A newer fact was received.
    FactReceived(GossipFact),
    /// This process was itself paused, for this long past its timer; members that it would have suspected stay as they
    /// are.
    LocalPause(Duration),
}

/// The ping that awaits its ack.
#[derive(Debug, Clone)]
struct PendingPing {
    target: Member,
    sequence: u32,
    attempts: u32,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub rate_limited: u64, // not sent, for lack of tokens
    pub undecodable: u64,
    pub stale: u64, // from an earlier incarnation
    pub suspicions: u64,
    pub refuted: u64, // own suspicions that were wrong
}

pub struct Membership {
    config: MembershipConfig,
    random_state: u64,
    incarnation: Incarnation,
    members: Vec<MemberStatus>,
    ping_order: Vec<Member>, // shuffled again for each pass
    next_ping: usize,
    sequence: u32,
    pending_ping: Option<PendingPing>,
    forwarded_pings: VecDeque<(u32, Member, u32)>, // own sequence, requester, its sequence
    recent_updates: VecDeque<(Member, u32)>,       // to be gossiped, how many more times
    facts: BTreeMap<u64, (GossipFact, u32)>,
    table_cursor: usize, // last member of the table that was gossiped in turn
    tick_at: Duration,
    ping_at: Duration, // the next ping
    tokens: f64,
    tokens_at: Duration,
    missed_pings: u32, // pings in a row without an ack
    counts: Counts,
}

impl Membership {
    pub fn new(config: MembershipConfig, now: Duration) -> Membership {
        let count = config.members;
        let start = MemberStatus {
            state: MemberState::Alive,
            incarnation: 0,
            since: now,
        };
        let mut membership = Membership {
            random_state: config.seed | 1,
            incarnation: config.incarnation,
            members: vec![start; count],
            ping_order: (0..count as Member).filter(|n| *n != config.me).collect(),
            next_ping: count,
            sequence: 0,
            pending_ping: None,
            forwarded_pings: VecDeque::new(),
            recent_updates: VecDeque::new(),
            facts: BTreeMap::new(),
            table_cursor: 0,
            tick_at: now,
            ping_at: now,
            tokens: MAX_DATAGRAMS_PER_SECOND,
            tokens_at: now,
            missed_pings: 0,
            counts: Counts::default(),
            config,
        };
        // A random first tick prevents a fleet that starts together from pinging in step.
        membership.tick_at = now + membership.config.period.mul_f64(membership.random_share());
        membership.ping_at = membership.tick_at;
        membership.members[usize::from(membership.config.me)].incarnation = membership.incarnation;
        membership.gossip(membership.config.me);
        membership
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn members(&self) -> &[MemberStatus] {
        &self.members
    }

    pub fn state_of(&self, member: Member) -> MemberState {
        self.members
            .get(usize::from(member))
            .map_or(MemberState::Dead, |status| status.state)
    }

    pub fn fact(&self, topic: u64) -> Option<GossipFact> {
        self.facts.get(&topic).map(|(fact, _)| *fact)
    }

    /// How long until [`Membership::tick`] has something to do.
    pub fn time_to_next_tick(&self, now: Duration) -> Duration {
        self.tick_at.saturating_sub(now)
    }

    fn random_share(&mut self) -> f64 {
        self.random_state =
            (self.random_state & 0xffff_ffff) * 4_294_957_665 + (self.random_state >> 32);
        (self.random_state & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    fn random_below(&mut self, n: usize) -> usize {
        ((self.random_share() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// How often a new fact or state change is gossiped.
    fn gossip_count(&self) -> u32 {
        GOSSIP_FACTOR * (self.members.len() + 1).ilog2().max(1)
    }

    fn gossip(&mut self, member: Member) {
        self.recent_updates.retain(|(other, _)| *other != member);
        self.recent_updates
            .push_front((member, self.gossip_count()));
    }

    /// Stores and gossips a fact unless a newer one is known; returns whether it did.
    pub fn publish_fact(&mut self, fact: GossipFact) -> bool {
        let newer = match self.facts.get(&fact.topic) {
            Some((current, _)) => {
                fact.version > current.version
                    || fact.version == current.version
                        && fact.holder.is_none()
                        && current.holder.is_some()
            }
            None => self.facts.len() < MAX_FACTS,
        };
        if newer {
            self.facts.insert(fact.topic, (fact, self.gossip_count()));
        }
        newer
    }

    /// Whether to accept a datagram from this incarnation of a member: not if the process has been replaced. A later
    /// incarnation than the known one shows that the member is alive.
    pub fn accept_sender(
        &mut self,
        now: Duration,
        from: Member,
        incarnation: Incarnation,
    ) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        let Some(status) = self.members.get(usize::from(from)).copied() else {
            return (false, actions);
        };
        // Compares process starts only: what a process sent before it was suspected still counts.
        if from == self.config.me
            || process_start_ms(incarnation) < process_start_ms(status.incarnation)
        {
            self.counts.stale += 1;
            return (false, actions);
        }
        if incarnation > status.incarnation {
            self.apply_update(
                now,
                MemberUpdate {
                    member: from,
                    state: MemberState::Alive,
                    incarnation,
                },
                &mut actions,
            );
        }
        (true, actions)
    }

    /// Handles a body from the membership channel, of a sender that [`Membership::accept_sender`] accepted.
    pub fn receive(&mut self, now: Duration, from: Member, body: &[u8]) -> Vec<Action> {
        let read = postcard::take_from_bytes::<Packet>(body)
            .ok()
            .filter(|(_, rest)| rest.is_empty());
        let Some((packet, _)) = read else {
            self.counts.undecodable += 1;
            return Vec::new();
        };
        let mut actions = Vec::new();
        for update in packet.updates {
            self.apply_update(now, update, &mut actions);
        }
        for fact in packet.facts {
            if fact
                .holder
                .is_none_or(|holder| usize::from(holder) < self.members.len())
                && self.publish_fact(fact)
            {
                actions.push(Action::FactReceived(fact));
            }
        }
        match packet.message {
            Message::Ping { sequence } => {
                let message = Message::Ack {
                    sequence,
                    target: self.config.me,
                };
                self.send(now, from, message, &mut actions);
            }
            Message::PingRequest { sequence, target }
                if usize::from(target) < self.members.len() && target != self.config.me =>
            {
                self.sequence = self.sequence.wrapping_add(1);
                self.forwarded_pings
                    .push_back((self.sequence, from, sequence));
                if self.forwarded_pings.len() > MAX_FORWARDED_PINGS {
                    self.forwarded_pings.pop_front();
                }
                let message = Message::Ping {
                    sequence: self.sequence,
                };
                self.send(now, target, message, &mut actions);
            }
            Message::PingRequest { .. } => {}
            Message::Ack { sequence, target } => {
                if self
                    .pending_ping
                    .as_ref()
                    .is_some_and(|pending| pending.sequence == sequence && pending.target == target)
                {
                    self.pending_ping = None;
                    self.missed_pings = 0;
                    self.mark_answered(now, target, &mut actions);
                } else if target == from
                    && let Some(at) = self
                        .forwarded_pings
                        .iter()
                        .position(|(own, ..)| *own == sequence)
                    && let Some((_, whom, theirs)) = self.forwarded_pings.remove(at)
                {
                    self.send(
                        now,
                        whom,
                        Message::Ack {
                            sequence: theirs,
                            target,
                        },
                        &mut actions,
                    );
                }
            }
        }
        actions
    }

    /// Marks a member that answered as alive, if only this process suspects it.
    fn mark_answered(&mut self, now: Duration, member: Member, actions: &mut Vec<Action>) {
        let status = &mut self.members[usize::from(member)];
        // A suspicion that is gossiped is cleared for all only by a higher incarnation from the member itself.
        if status.state == MemberState::Suspect && status.incarnation == 0 {
            (status.state, status.since) = (MemberState::Alive, now);
            actions.push(Action::StateChanged {
                member,
                state: MemberState::Alive,
            });
        }
    }

    /// Applies an update that is newer: of a higher incarnation, or a worse state of the same.
    fn apply_update(&mut self, now: Duration, update: MemberUpdate, actions: &mut Vec<Action>) {
        let Some(status) = self.members.get(usize::from(update.member)).copied() else {
            return;
        };
        let newer = update.incarnation > status.incarnation
            || update.incarnation == status.incarnation && update.state > status.state;
        if !newer {
            return;
        }
        if update.member == self.config.me {
            // Refutes the update with a higher own incarnation; nothing else would clear this member.
            if update.state > MemberState::Alive || update.incarnation > self.incarnation {
                // The update is about a later process start, because the clock was set back: go above that one.
                self.incarnation = match process_start_ms(update.incarnation)
                    > process_start_ms(self.incarnation)
                {
                    true => (process_start_ms(update.incarnation) + 1) << 8,
                    false => update.incarnation.max(self.incarnation) + 1,
                };
                self.members[usize::from(self.config.me)].incarnation = self.incarnation;
                self.gossip(self.config.me);
            }
            return;
        }
        if status.state == MemberState::Suspect && update.state == MemberState::Alive {
            self.counts.refuted += 1;
        }
        self.members[usize::from(update.member)] = MemberStatus {
            state: update.state,
            incarnation: update.incarnation,
            since: now,
        };
        if update.state != status.state {
            actions.push(Action::StateChanged {
                member: update.member,
                state: update.state,
            });
        }
        self.gossip(update.member);
    }

    /// Handles timers.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if now < self.tick_at {
            return actions;
        }
        let (period, late) = (self.config.period, now - self.tick_at);
        // Prevents suspecting others because of an own pause: their acks are unread or were missed.
        if late > period / LATE_DIVISOR {
            self.pending_ping = None;
            self.missed_pings = 0;
            self.members
                .iter_mut()
                .for_each(|status| status.since += late);
            self.tick_at = now + period / 4;
            actions.push(Action::LocalPause(late));
            return actions;
        }
        self.tick_at = now + period / 4;
        if let Some(mut pending) = self.pending_ping.take() {
            pending.attempts += 1;
            if pending.attempts >= 4 {
                self.missed_pings += 1;
                self.suspect(now, pending.target, &mut actions);
            } else {
                let (target, sequence) = (pending.target, pending.sequence);
                self.pending_ping = Some(pending);
                self.send(now, target, Message::Ping { sequence }, &mut actions);
                // For a member that isn't alive a direct ping is enough.
                let helpers = if self.state_of(target) == MemberState::Alive {
                    self.choose_helpers(target)
                } else {
                    Vec::new()
                };
                for helper in helpers {
                    self.send(
                        now,
                        helper,
                        Message::PingRequest { sequence, target },
                        &mut actions,
                    );
                }
                return actions;
            }
        }
        self.confirm_dead(now, &mut actions);
        if now >= self.ping_at {
            self.ping_at = (self.ping_at + period).max(now + period / 2);
            self.ping_next(now, &mut actions);
        } else {
            self.tick_at = self.ping_at;
        }
        actions
    }

    /// Sends the next ping of the period.
    fn ping_next(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.next_ping >= self.ping_order.len() {
            self.next_ping = 0;
            for n in (1..self.ping_order.len()).rev() {
                let other = self.random_below(n + 1);
                self.ping_order.swap(n, other);
            }
        }
        let Some(target) = self.ping_order.get(self.next_ping).copied() else {
            return;
        };
        self.next_ping += 1;
        self.sequence = self.sequence.wrapping_add(1);
        self.pending_ping = Some(PendingPing {
            target,
            sequence: self.sequence,
            attempts: 0,
        });
        self.send(
            now,
            target,
            Message::Ping {
                sequence: self.sequence,
            },
            actions,
        );
    }

    fn choose_helpers(&mut self, target: Member) -> Vec<Member> {
        let mut helpers = Vec::new();
        for _ in 0..4 * INDIRECT_PINGS {
            let n = self.random_below(self.ping_order.len());
            let Some(helper) = self.ping_order.get(n).copied() else {
                break;
            };
            let fit =
                helper != target && self.members[usize::from(helper)].state == MemberState::Alive;
            if fit && !helpers.contains(&helper) {
                helpers.push(helper);
            }
            if helpers.len() == INDIRECT_PINGS {
                break;
            }
        }
        helpers
    }

    fn suspect(&mut self, now: Duration, target: Member, actions: &mut Vec<Action>) {
        // A partitioned member would take all others for dead: while nobody acks, it suspects nobody.
        let alone = self.missed_pings > 3 && self.ping_order.len() > 3;
        let status = self.members[usize::from(target)];
        if status.state == MemberState::Alive && !alone {
            self.counts.suspicions += 1;
            self.apply_update(
                now,
                MemberUpdate {
                    member: target,
                    state: MemberState::Suspect,
                    incarnation: status.incarnation,
                },
                actions,
            );
        }
    }

    /// Declares members dead that have been suspect for long enough.
    fn confirm_dead(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let rounds = 2 * (self.members.len() + 1).ilog2().max(2);
        let expired = |status: &MemberStatus| {
            status.state == MemberState::Suspect
                && now.saturating_sub(status.since) > self.config.period * rounds
        };
        let all: Vec<Member> = (0..self.members.len())
            .filter(|n| expired(&self.members[*n]))
            .map(|n| n as Member)
            .collect();
        for member in all {
            let incarnation = self.members[usize::from(member)].incarnation;
            self.apply_update(
                now,
                MemberUpdate {
                    member,
                    state: MemberState::Dead,
                    incarnation,
                },
                actions,
            );
        }
    }

    fn take_token(&mut self, now: Duration) -> bool {
        let since = now.saturating_sub(std::mem::replace(&mut self.tokens_at, now));
        self.tokens = (self.tokens + since.as_secs_f64() * MAX_DATAGRAMS_PER_SECOND)
            .min(MAX_DATAGRAMS_PER_SECOND);
        let allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(allowed));
        allowed
    }

    /// Sends a message with as much gossip as fits: facts, recent updates, then the rest of the table in turn.
    fn send(&mut self, now: Duration, to: Member, message: Message, actions: &mut Vec<Action>) {
        if to == self.config.me {
            return;
        }
        if !self.take_token(now) {
            self.counts.rate_limited += 1;
            return;
        }
        let mut packet = Packet {
            message,
            facts: Vec::new(),
            updates: Vec::new(),
        };
        let mut space = MAX_BODY_BYTES - 16;
        let size = |update: &MemberUpdate| {
            2 + update.incarnation.checked_ilog2().unwrap_or(0) as usize / 7 + 3
        };
        for (fact, times) in self.facts.values_mut().filter(|(_, times)| *times > 0) {
            if space >= 26 {
                *times -= 1;
                packet.facts.push(*fact);
                space -= 26;
            }
        }
        let mut recent_updates = std::mem::take(&mut self.recent_updates);
        for (member, times) in &mut recent_updates {
            let status = self.members[usize::from(*member)];
            let update = MemberUpdate {
                member: *member,
                state: status.state,
                incarnation: status.incarnation,
            };
            if size(&update) <= space {
                space -= size(&update);
                *times -= 1;
                packet.updates.push(update);
            }
        }
        recent_updates.retain(|(_, times)| *times > 0);
        // Moves the updates that were just sent to the end.
        let count = packet.updates.len().min(recent_updates.len());
        recent_updates.rotate_left(count);
        self.recent_updates = recent_updates;
        // Repeats the table in turn, for datagrams that were lost and for members that have just started.
        for _ in 0..self.members.len().min(16) {
            self.table_cursor = (self.table_cursor + 1) % self.members.len();
            let status = self.members[self.table_cursor];
            let update = MemberUpdate {
                member: self.table_cursor as Member,
                state: status.state,
                incarnation: status.incarnation,
            };
            if status.incarnation > 0 && size(&update) <= space && !packet.updates.contains(&update)
            {
                space -= size(&update);
                packet.updates.push(update);
            }
        }
        let topics: Vec<u64> = self.facts.keys().copied().collect();
        if space >= 26 && packet.facts.is_empty() && !topics.is_empty() {
            packet
                .facts
                .push(self.facts[&topics[self.sequence as usize % topics.len()]].0);
        }
        match postcard::to_stdvec(&packet) {
            Ok(body) if body.len() <= MAX_BODY_BYTES => {
                self.counts.sent += 1;
                actions.push(Action::Send { to, body });
            }
            _ => self.counts.rate_limited += 1,
        }
    }
}

#[cfg(test)]
mod tests;
