//! Machines out for work, as this sidecar has them: what its list says, what is out on them, and what operators are told.

use super::orders::UpkeepOrder;
use crate::desk::Desk;
use crate::members::Member;
use passroad_choice::EndpointState;
use passroad_upkeep::{
    ListedMachine, MachineEvent, MachineId, MaintenanceState, OperatorAction, Rejection,
};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Machines by what the list says of them.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Those {
    pub zone: Option<String>,
    pub kind: Option<String>,
    pub cell: Option<usize>,
}

/// Machines as the desk has them, with their ids; what has left the list is still known by name.
pub struct Machines {
    desk: Arc<Desk>,
    warm: Duration,
    names: BTreeMap<MachineId, String>,
    pub seen: Vec<ListedMachine>,
}

impl Machines {
    pub fn new(desk: Arc<Desk>, orders: &UpkeepOrder) -> Self {
        Machines {
            desk,
            warm: orders.warm,
            names: BTreeMap::new(),
            seen: Vec::new(),
        }
    }

    pub fn look(&mut self, wall: Duration) {
        self.seen.clear();
        let (mut zones, mut kinds) = (Vec::new(), Vec::new());
        let number = |names: &mut Vec<String>, name: &str| {
            names
                .iter()
                .position(|known| known == name)
                .unwrap_or_else(|| {
                    names.push(name.to_string());
                    names.len() - 1
                })
        };
        for (member, busy, fails) in self.desk.machines() {
            let machine = passroad_choice::interner::stable_hash(&member.id);
            let warm_at = Duration::from_millis(member.up_since_ms) + self.warm;
            self.seen.push(ListedMachine {
                machine,
                zone: number(&mut zones, &member.locality),
                kind: number(&mut kinds, &member.flavor),
                size: member.size,
                healthy: member.mode() == EndpointState::Running
                    && !fails
                    && (member.up_since_ms == 0 || wall >= warm_at),
                cell: member.cell,
                utilization: busy,
            });
            self.names.entry(machine).or_insert(member.id);
        }
    }

    /// The ids in a zone, of a kind, in a cell, in the list's order.
    pub fn those(&self, of: &Those) -> Vec<String> {
        let is =
            |asked: &Option<String>, told: &str| asked.as_ref().is_none_or(|asked| asked == told);
        let all = self.desk.machines().into_iter().map(|(member, ..)| member);
        let fits = |m: &Member| {
            is(&of.zone, &m.locality)
                && is(&of.kind, &m.flavor)
                && of.cell.is_none_or(|cell| cell == m.cell)
        };
        all.filter(|m| fits(m) && m.mode() != EndpointState::Removed)
            .map(|m| m.id)
            .collect()
    }

    /// Whether nothing of this sidecar's is on it now. What was never listed here got nothing from here.
    pub fn free(&self, machine: MachineId) -> bool {
        self.names
            .get(&machine)
            .is_none_or(|id| !self.desk.uses(id))
    }

    /// Puts a ban into effect; false where the machine was never listed here: there is nothing to keep off yet.
    pub fn turn(&self, machine: MachineId, out: bool) -> bool {
        let id = self.names.get(&machine);
        id.into_iter().for_each(|id| self.desk.turn(id, out));
        id.is_some()
    }

    pub fn name(&self, machine: MachineId) -> String {
        self.names
            .get(&machine)
            .cloned()
            .unwrap_or_else(|| format!("#{machine:016x}"))
    }

    pub fn status(&self, upkeep: &passroad_upkeep::MaintenanceManager) -> Value {
        let entry = |entry: &passroad_upkeep::Entry| {
            json!({
                "machine": self.name(entry.machine), "state": word(entry.state), "place": entry.position,
                "epoch": entry.epoch, "step": entry.step, "ends": entry.ends_at_s, "back": entry.auto_return,
                "request": format!("{:016x}", entry.request), "free_here": self.free(entry.machine),
            })
        };
        let order: Vec<Value> = upkeep.operation_log.ordered().iter().map(entry).collect();
        json!({ "conducts": upkeep.is_coordinator(), "informed": upkeep.is_informed(), "order": order })
    }
}

pub fn word(state: MaintenanceState) -> &'static str {
    match state {
        MaintenanceState::Queued => "queued",
        MaintenanceState::Draining => "leaving",
        MaintenanceState::UnderMaintenance => "at work",
        MaintenanceState::Completed => "done",
        MaintenanceState::WarmingUp => "returning",
        MaintenanceState::Warm => "warm",
        MaintenanceState::Withdrawn => "withdrawn",
    }
}

/// One line of the log, and whether somebody should look.
pub fn line(id: &str, what: MachineEvent) -> (log::Level, String) {
    match what {
        MachineEvent::StateChanged(state) => {
            (log::Level::Info, format!("work: {id} is {}", word(state)))
        }
        MachineEvent::WaitingForReplies { missing_replies } => (
            log::Level::Warn,
            format!(
                "work: {id} waits for {missing_replies} sidecars that say nothing; `passroad work force {id}` goes past them"
            ),
        ),
        MachineEvent::Forced { not_idle } => (
            log::Level::Warn,
            format!(
                "work: {id} is taken for empty by an operator's word; {not_idle} sidecars have not said that they are off it"
            ),
        ),
        MachineEvent::Overdue => (
            log::Level::Warn,
            format!("work: {id} is out for longer than was asked; `passroad work done {id}`"),
        ),
        MachineEvent::Requeued => (
            log::Level::Warn,
            format!("work: {id} goes back into the queue, as others have failed"),
        ),
    }
}

pub fn refusal(refused: Rejection) -> &'static str {
    match refused {
        Rejection::UnknownMachine => "no such machine is listed, or none was named",
        Rejection::AlreadyStarted => "its work has begun; it can only be done",
        Rejection::NotUnderMaintenance => "it is not at work",
        Rejection::NotDraining => "it is not leaving",
    }
}

/// What an operator may say of a machine.
pub fn order(word: &str) -> Option<OperatorAction> {
    match word {
        "withdraw" => Some(OperatorAction::Withdraw),
        "done" => Some(OperatorAction::Complete),
        "force" => Some(OperatorAction::Force),
        "begin" => Some(OperatorAction::Bootstrap),
        _ => None,
    }
}

/// For people.
pub fn table(said: &Value) -> String {
    let mut text = String::new();
    for entry in said["order"].as_array().into_iter().flatten() {
        let word = |key: &str| entry[key].as_str().unwrap_or_default().to_string();
        let place = entry["place"].as_u64().unwrap_or_default();
        text += &format!("{place:>4} {:<24} {}\n", word("machine"), word("state"));
    }
    if text.is_empty() {
        "nothing is out for work, and nothing waits\n".into()
    } else {
        text
    }
}
