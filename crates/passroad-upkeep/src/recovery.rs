//! How the owner of the lease becomes the coordinator: it reads the log from a majority first.

use crate::{
    Action, Context, Entry, Epoch, Incarnation, MaintenanceManager, Member, Message,
    RESEND_INTERVAL, Role, UPDATES_PER_TICK, VOTERS_ONLY_ROUNDS,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A new coordinator's progress in reading the log from the others.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    /// Voters that have sent their whole log and were informed.
    informed_replies: BTreeSet<Member>,
    /// Members that have sent their whole log, informed or not.
    replied: BTreeSet<Member>,
    /// Whether any of them was informed.
    any_informed: bool,
    offsets: BTreeMap<Member, u32>,
    queried_at: Duration,
    rounds: u32,
    next_member: Member,
}

impl MaintenanceManager {
    /// Starts or ends coordinating, or starts again by a new epoch.
    pub(crate) fn update_role(&mut self, context: &Context) {
        let epoch = match &self.role {
            Role::Participant => None,
            Role::Recovering(epoch, _) | Role::Coordinator(epoch) => Some(*epoch),
        };
        // An owner with an outdated epoch doesn't coordinate.
        let owned = context
            .owned_epoch
            .filter(|epoch| *epoch >= self.highest_epoch);
        if epoch == owned {
            return;
        }
        self.member_acks.clear();
        self.last_sent.clear();
        self.open_requests.clear();
        self.forced.clear();
        self.role = match owned {
            None => Role::Participant,
            Some(epoch) => {
                self.highest_epoch = epoch;
                let queried_at = context.now.saturating_sub(RESEND_INTERVAL);
                Role::Recovering(
                    epoch,
                    Recovery {
                        queried_at,
                        ..Recovery::default()
                    },
                )
            }
        };
    }

    /// Queries the voters until a majority has sent its whole log. If a majority of them has lost its state, all
    /// sidecars are queried: an entry that none of them knows is in effect nowhere.
    pub(crate) fn recover(&mut self, context: &Context, actions: &mut Vec<Action>) {
        let (majority, me, members) = (
            self.majority(),
            self.config.me,
            self.config.members as Member,
        );
        let Role::Recovering(epoch, recovery) = &mut self.role else {
            return;
        };
        if self.authoritative && self.config.voters.contains(&me) {
            recovery.informed_replies.insert(me);
        }
        recovery.replied.insert(me);
        recovery.any_informed |= self.authoritative;
        if recovery.informed_replies.len() >= majority
            || recovery.any_informed && recovery.replied.len() == self.config.members
        {
            let epoch = *epoch;
            (self.uninformed, self.authoritative) = (false, true);
            self.role = Role::Coordinator(epoch);
            return;
        }
        if context.now < recovery.queried_at + RESEND_INTERVAL {
            return;
        }
        recovery.queried_at = context.now;
        let voters = self
            .config
            .voters
            .iter()
            .copied()
            .filter(|k| *k != me && !recovery.informed_replies.contains(k));
        let mut ask: Vec<Member> = voters.collect();
        if recovery.rounds > VOTERS_ONLY_ROUNDS {
            let others = (0..members).map(|n| (n + recovery.next_member) % members);
            let left = others.filter(|n| !recovery.replied.contains(n) && !ask.contains(n));
            let left: Vec<Member> = left.take(2 * UPDATES_PER_TICK).collect();
            recovery.next_member = left.last().map_or(0, |last| last + 1);
            ask.extend(left);
        }
        recovery.rounds += 1;
        for to in ask {
            let offset = recovery.offsets.get(&to).copied().unwrap_or(0);
            actions.push(Action::Send {
                to,
                message: Message::Query {
                    coordinator_epoch: *epoch,
                    offset,
                },
            });
        }
    }

    pub(crate) fn receive_query_reply(
        &mut self,
        context: &Context,
        from: Member,
        (coordinator_epoch, offset, total, uninformed): (Epoch, u32, u32, bool),
        entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) {
        let next = offset.saturating_add(entries.len() as u32);
        let more = !entries.is_empty() && next < total;
        if coordinator_epoch == 0 {
            // For a participant that starts: a majority of the voters knows every machine that is out.
            if !uninformed && self.uninformed {
                self.operation_log.apply_all(&entries);
                if more {
                    actions.push(Action::Send {
                        to: from,
                        message: Message::Query {
                            coordinator_epoch: 0,
                            offset: next,
                        },
                    });
                } else {
                    self.complete_replies.insert(from);
                    self.uninformed = self.complete_replies.len() < self.majority();
                }
                self.apply_exclusions(actions);
            }
            return;
        }
        let Role::Recovering(epoch, recovery) = &mut self.role else {
            return;
        };
        if *epoch != coordinator_epoch || recovery.informed_replies.contains(&from) {
            return;
        }
        self.operation_log.apply_all(&entries);
        if more {
            recovery.offsets.insert(from, next);
            actions.push(Action::Send {
                to: from,
                message: Message::Query {
                    coordinator_epoch,
                    offset: next,
                },
            });
        } else {
            recovery.replied.insert(from);
            recovery.any_informed |= !uninformed;
            if self.config.voters.contains(&from) && (!uninformed || self.is_fresh_fleet(context)) {
                self.mark_informed(from);
            }
        }
    }

    pub(crate) fn mark_informed(&mut self, from: Member) {
        if let Role::Recovering(_, recovery) = &mut self.role {
            recovery.informed_replies.insert(from);
        }
    }

    /// Whether no voter can have lost a log: a majority is known, and all known ones started within the window.
    pub(crate) fn is_fresh_fleet(&self, context: &Context) -> bool {
        // A new fleet starts together. A single voter that started late may have lost its state.
        let incarnation_of = |member: &Member| {
            context
                .incarnations
                .get(usize::from(*member))
                .copied()
                .unwrap_or(0)
        };
        let known: Vec<Incarnation> = self
            .config
            .voters
            .iter()
            .map(incarnation_of)
            .filter(|n| *n > 0)
            .collect();
        let (least, most) = (
            known.iter().min().copied().unwrap_or(0),
            known.iter().max().copied().unwrap_or(0),
        );
        known.len() >= self.majority()
            && most - least < self.config.limits.fleet_start_window.as_millis() as u64
    }

    /// Starts coordinating with the known entries, as an operator declared that no other machine is out.
    pub(crate) fn bootstrap(&mut self) {
        if let Role::Recovering(epoch, _) = self.role {
            (self.uninformed, self.authoritative) = (false, true);
            self.role = Role::Coordinator(epoch);
        }
    }
}
