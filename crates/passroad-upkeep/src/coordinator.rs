//! The coordinator: it takes requests into the log, advances machines, and sends entries to all sidecars.

use crate::open_requests::OpenRequest;
use crate::{
    Action, Context, ENTRIES_PER_DATAGRAM, Entry, Epoch, MAX_MACHINES_PER_REQUEST, MachineEvent,
    MachineId, MaintenanceManager, MaintenanceState, Member, Message, OperatorAction,
    RESEND_INTERVAL, Rejection, Role, TICK_INTERVAL, UPDATES_PER_TICK, can_take_out, capacity,
};
use std::collections::{BTreeMap, BTreeSet};

impl MaintenanceManager {
    pub(crate) fn record_acks(
        &mut self,
        context: &Context,
        from: Member,
        acks: Vec<(MachineId, Epoch, u32, bool)>,
    ) {
        let incarnation = context
            .incarnations
            .get(usize::from(from))
            .copied()
            .unwrap_or(0);
        let (of, stored) = self.member_acks.entry(from).or_default();
        // Acknowledgements from before the member restarted no longer count.
        if *of != incarnation {
            (*of, *stored) = (incarnation, BTreeMap::new());
        }
        for (machine, epoch, step, idle) in acks {
            let known = stored.entry(machine).or_insert((0, 0, false));
            if (epoch, step) >= (known.0, known.1) {
                // Once idle, a machine stays idle: nothing new is sent to it.
                let idle = idle || (epoch, step) == (known.0, known.1) && known.2;
                *known = (epoch, step, idle);
            }
        }
    }

    pub(crate) fn schedule(
        &mut self,
        context: &Context,
        from: Member,
        (request, duration_s, auto_return): (u64, u32, bool),
        machines: &[MachineId],
        actions: &mut Vec<Action>,
    ) {
        let Role::Coordinator(epoch) = self.role else {
            return;
        };
        let reply = |message| Action::Send { to: from, message };
        let known = |machine: &MachineId| {
            context
                .machines
                .iter()
                .any(|listed| listed.machine == *machine)
        };
        if machines.is_empty()
            || machines.len() > MAX_MACHINES_PER_REQUEST
            || !machines.iter().all(known)
        {
            return actions.push(reply(Message::Response {
                request,
                rejected: Some(Rejection::UnknownMachine),
            }));
        }
        for machine in machines {
            // A machine that is already in the log keeps its position.
            if self
                .operation_log
                .get(*machine)
                .is_some_and(|entry| !entry.state.is_finished())
            {
                continue;
            }
            // This very request has been completed.
            if self
                .operation_log
                .get(*machine)
                .is_some_and(|entry| entry.request == request)
            {
                continue;
            }
            let step = self
                .operation_log
                .get(*machine)
                .filter(|e| e.epoch == epoch)
                .map_or(0, |e| e.step.saturating_add(1));
            let position = self.operation_log.last_position().saturating_add(1);
            let (machine, state) = (*machine, MaintenanceState::Queued);
            self.operation_log.apply(Entry {
                machine,
                request,
                position,
                state,
                epoch,
                step,
                duration_s,
                ends_at_s: 0,
                auto_return,
            });
        }
        self.open_requests
            .insert(request, OpenRequest::schedule(from, machines));
    }

    pub(crate) fn operate(
        &mut self,
        context: &Context,
        from: Member,
        request: u64,
        machine: MachineId,
        action: OperatorAction,
        actions: &mut Vec<Action>,
    ) {
        if action == OperatorAction::Bootstrap {
            self.bootstrap();
        }
        let Role::Coordinator(epoch) = self.role else {
            return;
        };
        // Sent again because it isn't answered yet.
        if self.open_requests.contains_key(&request) {
            return;
        }
        let state = self.operation_log.get(machine).map(|entry| entry.state);
        let rejected = match (action, state) {
            (
                OperatorAction::Withdraw,
                Some(MaintenanceState::Queued | MaintenanceState::Draining),
            ) => {
                self.advance(
                    context,
                    epoch,
                    machine,
                    MaintenanceState::Withdrawn,
                    actions,
                );
                None
            }
            (OperatorAction::Withdraw, Some(MaintenanceState::Withdrawn)) => {
                self.take_over(epoch, machine);
                None
            }
            (
                OperatorAction::Complete,
                Some(
                    MaintenanceState::Completed
                    | MaintenanceState::WarmingUp
                    | MaintenanceState::Warm,
                ),
            ) => None,
            (OperatorAction::Withdraw, Some(_)) => Some(Rejection::AlreadyStarted),
            (OperatorAction::Complete, Some(MaintenanceState::UnderMaintenance)) => {
                self.advance(
                    context,
                    epoch,
                    machine,
                    MaintenanceState::Completed,
                    actions,
                );
                None
            }
            (OperatorAction::Complete, Some(_)) => Some(Rejection::NotUnderMaintenance),
            (OperatorAction::Force, Some(MaintenanceState::Draining)) => {
                self.forced.insert(machine);
                None
            }
            (OperatorAction::Force, Some(MaintenanceState::UnderMaintenance)) => None,
            (OperatorAction::Force, Some(_)) => Some(Rejection::NotDraining),
            (OperatorAction::Bootstrap, _) => None,
            (_, None) => Some(Rejection::UnknownMachine),
        };
        // Bootstrapping changes no entry.
        if rejected.is_none() && action != OperatorAction::Bootstrap {
            let open = OpenRequest::operate(from, machine, action);
            self.open_requests.insert(request, open);
            return;
        }
        actions.push(Action::Send {
            to: from,
            message: Message::Response { request, rejected },
        });
    }

    /// Puts an entry of an earlier coordinator under the own epoch, so that all sidecars receive it again.
    fn take_over(&mut self, epoch: Epoch, machine: MachineId) {
        let earlier = self.operation_log.get(machine).copied();
        if let Some(entry) = earlier.filter(|entry| entry.epoch != epoch) {
            self.operation_log.apply(Entry {
                epoch,
                step: 0,
                ..entry
            });
        }
    }

    pub(crate) fn advance(
        &mut self,
        context: &Context,
        epoch: Epoch,
        machine: MachineId,
        state: MaintenanceState,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.operation_log.get(machine).copied() else {
            return;
        };
        let step = if entry.epoch == epoch {
            entry.step.saturating_add(1)
        } else {
            0
        };
        let ends_at_s = match state {
            MaintenanceState::UnderMaintenance => {
                (context.wall.as_secs() as u32).saturating_add(entry.duration_s)
            }
            // The end of the warm-up.
            MaintenanceState::WarmingUp => {
                (context.wall + self.config.limits.warm_up_time).as_secs() as u32 + 1
            }
            _ => 0,
        };
        self.operation_log.apply(Entry {
            state,
            epoch,
            step,
            ends_at_s,
            ..entry
        });
        actions.push(Action::Report {
            machine,
            event: MachineEvent::StateChanged(state),
        });
        self.apply_exclusions(actions);
        let entry = Entry {
            state,
            epoch,
            step,
            ends_at_s,
            ..entry
        };
        let own = self.acknowledge(context, &entry);
        self.record_acks(context, self.config.me, vec![own]);
    }

    /// For the current version of an entry: how many voters have it, and how many sidecars have not reported to be
    /// idle.
    pub(crate) fn count_acks(&self, context: &Context, entry: &Entry) -> (usize, usize) {
        let (mut holders, mut not_idle) = (0, 0);
        for member in 0..self.config.members as Member {
            let incarnation = context
                .incarnations
                .get(usize::from(member))
                .copied()
                .unwrap_or(0);
            let ack = self
                .member_acks
                .get(&member)
                .filter(|(of, _)| *of == incarnation);
            let ack = ack.and_then(|(_, acks)| acks.get(&entry.machine));
            let has = member == self.config.me
                || ack.is_some_and(|(epoch, step, _)| (*epoch, *step) >= entry.version());
            let idle =
                ack.is_some_and(|(epoch, step, idle)| (*epoch, *step) == entry.version() && *idle);
            holders += usize::from(has && self.config.voters.contains(&member));
            not_idle += usize::from(!idle);
        }
        (holders, not_idle)
    }

    /// Advances each machine by a step once a majority has the current one.
    pub(crate) fn coordinate(
        &mut self,
        context: &Context,
        epoch: Epoch,
        actions: &mut Vec<Action>,
    ) {
        let majority = self.majority();
        let ordered = self.operation_log.ordered();
        for entry in ordered.iter().filter(|e| !e.state.is_finished()) {
            self.take_over(epoch, entry.machine);
        }
        let ordered = self.operation_log.ordered();
        let mut replicated = Vec::new();
        for entry in ordered.iter().filter(|e| !e.state.is_finished()) {
            let (holders, not_idle) = self.count_acks(context, entry);
            if holders < majority {
                continue;
            }
            replicated.push(entry.machine);
            match entry.state {
                MaintenanceState::Draining
                    if not_idle == 0 || self.forced.contains(&entry.machine) =>
                {
                    if not_idle > 0 {
                        let event = MachineEvent::Forced { not_idle };
                        actions.push(Action::Report {
                            machine: entry.machine,
                            event,
                        });
                    }
                    self.forced.remove(&entry.machine);
                    self.advance(
                        context,
                        epoch,
                        entry.machine,
                        MaintenanceState::UnderMaintenance,
                        actions,
                    );
                }
                MaintenanceState::Draining => {
                    let missing_replies = self.missing_replies(context, entry);
                    if missing_replies > 0
                        && self
                            .reported
                            .insert((entry.machine, entry.epoch, entry.step))
                    {
                        actions.push(Action::Report {
                            machine: entry.machine,
                            event: MachineEvent::WaitingForReplies { missing_replies },
                        });
                    }
                }
                MaintenanceState::UnderMaintenance
                    if context.wall.as_secs() as u32 >= entry.ends_at_s =>
                {
                    if entry.auto_return {
                        self.advance(
                            context,
                            epoch,
                            entry.machine,
                            MaintenanceState::Completed,
                            actions,
                        );
                    } else if self
                        .reported
                        .insert((entry.machine, entry.epoch, entry.step))
                    {
                        actions.push(Action::Report {
                            machine: entry.machine,
                            event: MachineEvent::Overdue,
                        });
                    }
                }
                MaintenanceState::Completed => self.advance(
                    context,
                    epoch,
                    entry.machine,
                    MaintenanceState::WarmingUp,
                    actions,
                ),
                MaintenanceState::WarmingUp if context.wall.as_secs() as u32 >= entry.ends_at_s => {
                    self.advance(
                        context,
                        epoch,
                        entry.machine,
                        MaintenanceState::Warm,
                        actions,
                    );
                }
                _ => {}
            }
        }
        self.answer_open_requests(context, actions);
        self.start_next(context, epoch, &replicated, actions);
    }

    /// How many sidecars have not acknowledged the current version.
    pub(crate) fn missing_replies(&self, context: &Context, entry: &Entry) -> usize {
        let has = |member: &Member| {
            let incarnation = context
                .incarnations
                .get(usize::from(*member))
                .copied()
                .unwrap_or(0);
            let ack = self
                .member_acks
                .get(member)
                .filter(|(of, _)| *of == incarnation);
            ack.and_then(|(_, acks)| acks.get(&entry.machine))
                .is_some_and(|(e, s, _)| (*e, *s) >= entry.version())
        };
        (0..self.config.members as Member)
            .filter(|member| *member != self.config.me && !has(member))
            .count()
    }

    /// Starts to drain the first machine of the queue, if the limits allow it. Strictly in order, so that no machine is
    /// overtaken.
    pub(crate) fn start_next(
        &mut self,
        context: &Context,
        epoch: Epoch,
        replicated: &[MachineId],
        actions: &mut Vec<Action>,
    ) {
        let ordered = self.operation_log.ordered();
        let unavailable: BTreeSet<MachineId> = ordered
            .iter()
            .filter(|e| e.state.is_out() || e.state == MaintenanceState::WarmingUp)
            .map(|e| e.machine)
            .collect();
        let draining = ordered
            .iter()
            .rev()
            .find(|e| e.state == MaintenanceState::Draining);
        // Other machines have failed in the meantime: one whose maintenance has not begun returns to the queue.
        if let Some(entry) = draining.filter(|_| {
            capacity::exceeds_limit(&self.config.limits, context.machines, &unavailable)
        }) {
            let machine = entry.machine;
            actions.push(Action::Report {
                machine,
                event: MachineEvent::Requeued,
            });
            return self.advance(context, epoch, machine, MaintenanceState::Queued, actions);
        }
        let first = ordered.iter().find(|e| e.state == MaintenanceState::Queued);
        if let Some(entry) = first.filter(|e| replicated.contains(&e.machine))
            && can_take_out(
                &self.config.limits,
                context.machines,
                &unavailable,
                entry.machine,
            )
        {
            self.advance(
                context,
                epoch,
                entry.machine,
                MaintenanceState::Draining,
                actions,
            );
        }
    }

    /// Sends each sidecar the entries that it has not acknowledged, to some sidecars per tick.
    pub(crate) fn send_updates(
        &mut self,
        context: &Context,
        epoch: Epoch,
        actions: &mut Vec<Action>,
    ) {
        if self
            .last_update
            .is_some_and(|at| context.now < at + TICK_INTERVAL)
        {
            return;
        }
        self.last_update = Some(context.now);
        let ordered = self.operation_log.ordered();
        // Finished entries are sent too, to sidecars that may still exclude the machine.
        let open_entries = ordered
            .iter()
            .filter(|entry| !entry.state.is_finished())
            .count() as u32;
        let own_entries: Vec<Entry> = ordered.into_iter().filter(|e| e.epoch == epoch).collect();
        let members = self.config.members as Member;
        let mut updates = 0;
        for n in 0..members {
            let to = ((self.next_member + usize::from(n)) % usize::from(members)) as Member;
            if to == self.config.me || updates >= UPDATES_PER_TICK {
                continue;
            }
            let incarnation = context
                .incarnations
                .get(usize::from(to))
                .copied()
                .unwrap_or(0);
            // After a restart of the member everything is sent again at once.
            if self.sent_incarnations.insert(to, incarnation) != Some(incarnation) {
                self.last_sent.retain(|(member, _), _| *member != to);
            }
            let acks = self
                .member_acks
                .get(&to)
                .filter(|(of, _)| *of == incarnation)
                .map(|(_, acks)| acks);
            let unacknowledged = |entry: &&Entry| {
                let has = acks.and_then(|acks| acks.get(&entry.machine));
                let sent_recently =
                    self.last_sent
                        .get(&(to, entry.machine))
                        .is_some_and(|(at, epoch, step)| {
                            context.now < *at + RESEND_INTERVAL
                                && (*epoch, *step) == entry.version()
                        });
                // The report that the machine is idle may have been lost.
                let draining = entry.state == MaintenanceState::Draining;
                !sent_recently
                    && has.is_none_or(|(epoch, step, idle)| {
                        (*epoch, *step) < entry.version() || draining && !*idle
                    })
            };
            let entries: Vec<Entry> = own_entries
                .iter()
                .filter(unacknowledged)
                .take(ENTRIES_PER_DATAGRAM)
                .copied()
                .collect();
            // An empty update is sent too: it informs the sidecar that the log holds nothing else.
            let first_contact = acks.is_none()
                && self
                    .last_sent
                    .get(&(to, 0))
                    .is_none_or(|(at, ..)| context.now >= *at + RESEND_INTERVAL);
            if entries.is_empty() && !first_contact {
                continue;
            }
            self.last_sent.insert((to, 0), (context.now, epoch, 0));
            for entry in &entries {
                self.last_sent
                    .insert((to, entry.machine), (context.now, entry.epoch, entry.step));
            }
            actions.push(Action::Send {
                to,
                message: Message::Update {
                    coordinator_epoch: epoch,
                    open_entries,
                    entries,
                },
            });
            (updates, self.next_member) = (updates + 1, usize::from(to) + 1);
        }
    }
}
