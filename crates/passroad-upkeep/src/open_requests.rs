//! Operators' requests that the coordinator has taken and not answered: it answers once a majority of the voters has the
//! effect, so that what was answered survives the coordinator.

use crate::{
    Action, Context, MachineId, MaintenanceManager, MaintenanceState, Member, Message,
    OperatorAction, Rejection,
};

/// A request and the machines whose entries it changes.
#[derive(Debug, Clone)]
pub(crate) struct OpenRequest {
    from: Member,
    machines: Vec<MachineId>,
    kind: RequestKind,
}

#[derive(Debug, Clone, Copy)]
enum RequestKind {
    Schedule,
    Operate(OperatorAction),
}

/// What the coordinator can answer to an open request.
enum Outcome {
    /// Nothing yet.
    Pending,
    Accepted,
    Rejected(Rejection),
}

impl OpenRequest {
    pub(crate) fn schedule(from: Member, machines: &[MachineId]) -> OpenRequest {
        OpenRequest {
            from,
            machines: machines.to_vec(),
            kind: RequestKind::Schedule,
        }
    }

    pub(crate) fn operate(from: Member, machine: MachineId, action: OperatorAction) -> OpenRequest {
        OpenRequest {
            from,
            machines: vec![machine],
            kind: RequestKind::Operate(action),
        }
    }
}

impl MaintenanceManager {
    /// Answers the open requests whose effect a majority has.
    pub(crate) fn answer_open_requests(&mut self, context: &Context, actions: &mut Vec<Action>) {
        let mut answers = Vec::new();
        for (request, open) in &self.open_requests {
            let rejected = match self.outcome(context, open) {
                Outcome::Pending => continue,
                Outcome::Accepted => None,
                Outcome::Rejected(rejection) => Some(rejection),
            };
            answers.push((*request, open.from, rejected));
        }
        for (request, to, rejected) in answers {
            self.open_requests.remove(&request);
            let message = Message::Response { request, rejected };
            if to == self.config.me {
                let replies = self.receive(context, to, message);
                actions.extend(replies);
            } else {
                actions.push(Action::Send { to, message });
            }
        }
    }

    fn outcome(&self, context: &Context, open: &OpenRequest) -> Outcome {
        let majority_has = |machine: &MachineId| {
            let entry = self.operation_log.get(*machine);
            entry.is_some_and(|entry| self.count_acks(context, entry).0 >= self.majority())
        };
        let state = |machine: &MachineId| self.operation_log.get(*machine).map(|e| e.state);
        let settled = match open.kind {
            RequestKind::Schedule => open.machines.iter().all(|machine| {
                state(machine).is_some_and(MaintenanceState::is_finished) || majority_has(machine)
            }),
            RequestKind::Operate(OperatorAction::Force) => {
                match open.machines.first().and_then(state) {
                    Some(MaintenanceState::Queued | MaintenanceState::Draining) => false,
                    Some(MaintenanceState::Withdrawn) | None => {
                        return Outcome::Rejected(Rejection::NotDraining);
                    }
                    Some(_) => open.machines.iter().all(majority_has),
                }
            }
            // A machine becomes warm only after a majority had its earlier states.
            RequestKind::Operate(_) => open.machines.iter().all(|machine| {
                state(machine) == Some(MaintenanceState::Warm) || majority_has(machine)
            }),
        };
        if settled {
            Outcome::Accepted
        } else {
            Outcome::Pending
        }
    }
}
