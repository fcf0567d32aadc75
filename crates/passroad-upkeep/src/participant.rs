//! The participant: it excludes machines that are out, reports when it has nothing left on them, and forwards operators'
//! requests.

use crate::{
    Action, Context, ENTRIES_PER_DATAGRAM, Entry, Epoch, MachineId, MaintenanceManager,
    MaintenanceState, Message, RESEND_INTERVAL,
};
use std::collections::BTreeSet;

impl MaintenanceManager {
    /// Excludes machines that are out, and ends the exclusion of those that no longer are, once the whole log is known:
    /// a part of it may show an earlier turn of a machine.
    pub(crate) fn apply_exclusions(&mut self, actions: &mut Vec<Action>) {
        let mut now: BTreeSet<MachineId> = self
            .operation_log
            .out()
            .map(|entry| entry.machine)
            .collect();
        if self.uninformed {
            now.extend(&self.excluded);
        }
        for machine in now.difference(&self.excluded) {
            actions.push(Action::SetExcluded {
                machine: *machine,
                excluded: true,
            });
        }
        for machine in self.excluded.difference(&now) {
            actions.push(Action::SetExcluded {
                machine: *machine,
                excluded: false,
            });
        }
        self.excluded = now;
        if !self.uninformed {
            self.end_inherited_exclusions(actions);
        }
    }

    /// Ends exclusions that were inherited in a handover, if the turn of the machine was over before this process received
    /// its entry. A queued machine stays excluded until its turn: where the log was lost it may be under maintenance.
    fn end_inherited_exclusions(&mut self, actions: &mut Vec<Action>) {
        let returned: Vec<Entry> = self
            .operation_log
            .ordered()
            .into_iter()
            .filter(|entry| entry.state.is_over())
            .collect();
        for entry in returned {
            if self.readmitted.insert(entry.machine, entry.position) != Some(entry.position) {
                actions.push(Action::SetExcluded {
                    machine: entry.machine,
                    excluded: false,
                });
            }
        }
    }

    /// Acknowledges an entry. Idle is only what was checked after the exclusion took effect, or a command could be sent
    /// between the check and the exclusion.
    pub(crate) fn acknowledge(
        &mut self,
        context: &Context,
        entry: &Entry,
    ) -> (MachineId, Epoch, u32, bool) {
        let idle =
            self.effective_exclusions.contains(&entry.machine) && (context.idle)(entry.machine);
        let ack = (entry.epoch, entry.step, idle);
        self.own_acks.insert(entry.machine, ack);
        (entry.machine, ack.0, ack.1, ack.2)
    }

    /// Reports draining machines that have become idle, without being asked.
    pub(crate) fn report_idle(&mut self, context: &Context, actions: &mut Vec<Action>) {
        let draining: Vec<Entry> = self
            .operation_log
            .out()
            .filter(|e| e.state == MaintenanceState::Draining)
            .copied()
            .collect();
        let mut acks = Vec::new();
        for entry in draining {
            let before = self.own_acks.get(&entry.machine).copied();
            let reported =
                matches!(before, Some((epoch, step, true)) if (epoch, step) == entry.version());
            let idle =
                self.effective_exclusions.contains(&entry.machine) && (context.idle)(entry.machine);
            if !reported && idle && acks.len() < ENTRIES_PER_DATAGRAM {
                acks.push(self.acknowledge(context, &entry));
            }
        }
        if let Some(to) = context.coordinator.filter(|_| !acks.is_empty()) {
            let message = Message::Ack {
                coordinator_epoch: self.highest_epoch,
                acks,
            };
            if to == self.config.me {
                if let Message::Ack { acks, .. } = message {
                    self.record_acks(context, to, acks);
                }
            } else {
                actions.push(Action::Send { to, message });
            }
        }
    }

    /// Sends operators' requests to the coordinator until it answers.
    pub(crate) fn forward_requests(&mut self, context: &Context, actions: &mut Vec<Action>) {
        let Some(to) = context.coordinator else {
            return;
        };
        let mut own = Vec::new();
        for pending in self.pending_requests.values_mut() {
            if pending
                .sent_at
                .is_none_or(|at| context.now >= at + RESEND_INTERVAL)
            {
                pending.sent_at = Some(context.now);
                if to == self.config.me {
                    own.push(pending.message.clone());
                } else {
                    actions.push(Action::Send {
                        to,
                        message: pending.message.clone(),
                    });
                }
            }
        }
        for message in own {
            let replies = self.receive(context, to, message);
            self.receive_own(context, replies, actions);
        }
    }

    pub(crate) fn receive_own(
        &mut self,
        context: &Context,
        replies: Vec<Action>,
        actions: &mut Vec<Action>,
    ) {
        for action in replies {
            match action {
                Action::Send { to, message } if to == self.config.me => {
                    let replies = self.receive(context, to, message);
                    self.receive_own(context, replies, actions);
                }
                action => actions.push(action),
            }
        }
    }
}
