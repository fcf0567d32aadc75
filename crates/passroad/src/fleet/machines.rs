//! Machines under maintenance, as this sidecar sees them: their list entries, whether they have open commands, and what
//! operators are told about them.

use super::config::MaintenanceSettings;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::ListEntry;
use crate::exclusions::{ExclusionChange, ExclusionReason};
use passroad_choice::EndpointState;
use passroad_choice::interner::stable_hash;
use passroad_upkeep::{
    ListedMachine, MachineEvent, MachineId, MaintenanceManager, MaintenanceState, OperatorAction,
    Rejection,
};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Selects machines by their list entry.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(expecting = "struct Those")]
pub struct MachineFilter {
    pub zone: Option<String>,
    pub kind: Option<String>,
    pub cell: Option<usize>,
}

/// The dispatcher's endpoints as machines. The names of those that have left the list are remembered.
pub struct Machines {
    dispatcher: Arc<Dispatcher>,
    warm_up_time: Duration,
    names: BTreeMap<MachineId, String>,
    pub listed: Vec<ListedMachine>,
}

impl Machines {
    pub fn new(dispatcher: Arc<Dispatcher>, settings: &MaintenanceSettings) -> Self {
        Machines {
            dispatcher,
            warm_up_time: settings.warm_up_time,
            names: BTreeMap::new(),
            listed: Vec::new(),
        }
    }

    /// Reads the list again.
    pub fn refresh(&mut self, wall: Duration) {
        self.listed.clear();
        let (mut zones, mut kinds) = (Vec::new(), Vec::new());
        let index_of = |names: &mut Vec<String>, name: &str| {
            names
                .iter()
                .position(|known| known == name)
                .unwrap_or_else(|| {
                    names.push(name.to_string());
                    names.len() - 1
                })
        };
        for (entry, utilization, failing) in self.dispatcher.machines() {
            let machine = stable_hash(&entry.id);
            let warm_at = Duration::from_millis(entry.up_since_ms) + self.warm_up_time;
            self.listed.push(ListedMachine {
                machine,
                zone: index_of(&mut zones, &entry.zone),
                kind: index_of(&mut kinds, &entry.kind),
                size: entry.size,
                healthy: entry.state() == EndpointState::Running
                    && !failing
                    && (entry.up_since_ms == 0 || wall >= warm_at),
                cell: entry.cell,
                utilization,
            });
            self.names.entry(machine).or_insert(entry.id);
        }
        // Those inherited in a handover may not be listed.
        for id in self.dispatcher.excluded_ids(ExclusionReason::Maintenance) {
            self.names.entry(stable_hash(&id)).or_insert(id);
        }
    }

    /// The ids of the machines that match, in the order of the list.
    pub fn matching(&self, filter: &MachineFilter) -> Vec<String> {
        let is = |wanted: &Option<String>, value: &str| {
            wanted.as_ref().is_none_or(|wanted| wanted == value)
        };
        let all = self
            .dispatcher
            .machines()
            .into_iter()
            .map(|(entry, ..)| entry);
        let matches = |entry: &ListEntry| {
            is(&filter.zone, &entry.zone)
                && is(&filter.kind, &entry.kind)
                && filter.cell.is_none_or(|cell| cell == entry.cell)
        };
        all.filter(|entry| matches(entry) && entry.state() != EndpointState::Removed)
            .map(|entry| entry.id)
            .collect()
    }

    /// Whether this sidecar has nothing on a machine now. A machine that was never listed here got nothing from here. During
    /// an upgrade it is not known what the other process has on it.
    pub fn is_idle(&self, machine: MachineId) -> bool {
        let uses = |id: &String| self.dispatcher.uses(id);
        !self.dispatcher.has_other_process() && !self.names.get(&machine).is_some_and(uses)
    }

    /// Excludes a machine for maintenance or ends that; an operator's cordon stays as it is. False if the machine was
    /// never listed here, so that there is nothing to exclude yet.
    pub fn set_excluded(&self, machine: MachineId, excluded: bool) -> bool {
        let Some(id) = self.names.get(&machine) else {
            return false;
        };
        // Nobody waits until the other process of a handover has applied it: that process keeps its own view of the log.
        drop(self.dispatcher.exclude(&ExclusionChange {
            id: id.clone(),
            reason: ExclusionReason::Maintenance,
            excluded,
        }));
        true
    }

    pub fn name(&self, machine: MachineId) -> String {
        self.names
            .get(&machine)
            .cloned()
            .unwrap_or_else(|| format!("#{machine:016x}"))
    }

    pub fn status(&self, maintenance: &MaintenanceManager) -> Value {
        let entry = |entry: &passroad_upkeep::Entry| {
            json!({
                "machine": self.name(entry.machine), "state": state_name(entry.state), "place": entry.position,
                "epoch": entry.epoch, "step": entry.step, "ends": entry.ends_at_s, "back": entry.auto_return,
                "request": format!("{:016x}", entry.request), "free_here": self.is_idle(entry.machine),
            })
        };
        let entries: Vec<Value> = maintenance
            .operation_log
            .ordered()
            .iter()
            .map(entry)
            .collect();
        json!({ "conducts": maintenance.is_coordinator(), "informed": maintenance.is_informed(), "order": entries })
    }
}

/// A state's name on status pages and in log lines.
pub fn state_name(state: MaintenanceState) -> &'static str {
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

/// The log line of an event and its level.
pub fn event_line(id: &str, event: MachineEvent) -> (log::Level, String) {
    match event {
        MachineEvent::StateChanged(state) => (
            log::Level::Info,
            format!("work: {id} is {}", state_name(state)),
        ),
        MachineEvent::WaitingForReplies { missing_replies } => (
            log::Level::Warn,
            format!(
                "work: {id} waits for {missing_replies} sidecars that do not reply; `passroad work force {id}` skips them"
            ),
        ),
        MachineEvent::Forced { not_idle } => (
            log::Level::Warn,
            format!(
                "work: {id} is treated as idle by an operator's decision; {not_idle} sidecars have not reported that they are off it"
            ),
        ),
        MachineEvent::Overdue => (
            log::Level::Warn,
            format!(
                "work: {id} is out for longer than requested; end it with `passroad work done {id}`"
            ),
        ),
        MachineEvent::Requeued => (
            log::Level::Warn,
            format!("work: {id} goes back into the queue, as others have failed"),
        ),
    }
}

pub fn rejection_text(rejected: Rejection) -> &'static str {
    match rejected {
        Rejection::UnknownMachine => "no such machine is listed, or none was named",
        Rejection::AlreadyStarted => "its work has begun; it can only be done",
        Rejection::NotUnderMaintenance => "it is not at work",
        Rejection::NotDraining => "it is not leaving",
    }
}

/// The operator's action of this name.
pub fn parse_action(name: &str) -> Option<OperatorAction> {
    match name {
        "withdraw" => Some(OperatorAction::Withdraw),
        "done" => Some(OperatorAction::Complete),
        "force" => Some(OperatorAction::Force),
        "begin" => Some(OperatorAction::Bootstrap),
        _ => None,
    }
}

/// The maintenance status as text.
pub fn format_log(status: &Value) -> String {
    let mut text = String::new();
    for entry in status["order"].as_array().into_iter().flatten() {
        let field = |key: &str| entry[key].as_str().unwrap_or_default().to_string();
        let position = entry["place"].as_u64().unwrap_or_default();
        text += &format!(
            "{position:>4} {:<24} {}\n",
            field("machine"),
            field("state")
        );
    }
    if text.is_empty() {
        "no machine is out for maintenance or queued\n".into()
    } else {
        text
    }
}
