//! Hosts instances of the decision module: events in, actions out. Instances share no state.

use crate::line::Line;
use base64::{Engine, prelude::BASE64_STANDARD};
use passroad_choice::choice::Balancer;
use passroad_choice::interner::{Interner, stable_hash};
use passroad_choice::{
    Action, BalancerConfig, CommandArrival, EndpointState, Event, ListUpdateKind, ListedEndpoint,
};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// An entry of an endpoint list, with the names as received.
#[derive(Clone)]
struct ListEntry {
    endpoint: String,
    zone: String,
    kind: String,
    cell: usize,
    weight: f64,
    started_at: Duration,
    state: EndpointState,
}

pub struct Instance {
    balancer: Balancer,
    pub endpoints: Interner<String>,
    commands: Interner<String>,
    zones: Interner<String>,
    kinds: Interner<String>,
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl Instance {
    pub fn new(mut config: BalancerConfig) -> Self {
        let (mut zones, mut kinds) = (Interner::new(), Interner::new());
        config.intern_names(&mut zones, &mut kinds);
        Instance {
            classes: config
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
            tenants: config
                .tenants
                .iter()
                .map(|tenant| tenant.name.clone())
                .collect(),
            balancer: Balancer::new(config),
            endpoints: Interner::new(),
            commands: Interner::new(),
            kinds,
            zones,
        }
    }

    fn listed_endpoints(&mut self, entries: &[ListEntry]) -> Vec<ListedEndpoint> {
        let listed = |entry: &ListEntry| ListedEndpoint {
            endpoint: self.endpoints.intern(&entry.endpoint),
            id_hash: stable_hash(&entry.endpoint),
            zone: self.zones.intern(&entry.zone),
            cell: entry.cell,
            kind: self.kinds.intern(&entry.kind),
            weight: entry.weight,
            started_at: entry.started_at,
            state: entry.state,
        };
        entries.iter().map(listed).collect()
    }

    fn parse_arrival(&mut self, line: &Line) -> Result<Event, String> {
        let class = line.required("profile")?;
        let position = self.classes.iter().position(|name| name == class);
        Ok(Event::CommandArrived(CommandArrival {
            class: position.ok_or_else(|| format!("INGRESS: unknown profile {class}"))?,
            tenant: line
                .get("tenant")
                .and_then(|tenant| self.tenants.iter().position(|name| name == tenant)),
            key: line
                .get("name_key")
                .filter(|key| *key != "-")
                .map(stable_hash),
            budget: line.duration("budget")?,
            work: line
                .get("hint")
                .map(|_| line.duration("hint"))
                .transpose()?,
            is_retry: line.boolean("again_by_client")?,
            is_write: line.boolean("write")?,
            weight_set: 0,
            body_pending: false,
            command: self.commands.intern(&line.required("op_id")?.to_string()),
        }))
    }

    /// Parses the event in a line. None if it refers to a command or endpoint that has been released.
    fn parse_event(&mut self, line: &Line) -> Result<Option<Event>, String> {
        Ok(Some(match line.name {
            "INGRESS" => self.parse_arrival(line)?,
            "STARTED" => {
                let relay = line.integer("trial")? as usize;
                let Some(command) = self.commands.get(line.required("op_id")?) else {
                    return Ok(None);
                };
                Event::StreamStarted { command, relay }
            }
            "FINISHED" => {
                let (outcome, elapsed, report) = (
                    line.outcome()?,
                    line.duration("spent")?,
                    line.load_report()?,
                );
                let (relay, concluded) =
                    (line.integer("trial")? as usize, line.boolean("no_more")?);
                let Some(command) = self.commands.get(line.required("op_id")?) else {
                    return Ok(None);
                };
                Event::RelayFinished {
                    command,
                    relay,
                    outcome,
                    elapsed,
                    concluded,
                    report,
                }
            }
            "LAPSED" => {
                let Some(command) = self.commands.get(line.required("op_id")?) else {
                    return Ok(None);
                };
                Event::CommandAbandoned { command }
            }
            "CHECKED" => {
                let (outcome, elapsed, report) = (
                    line.outcome()?,
                    line.duration("spent")?,
                    line.load_report()?,
                );
                let Some(endpoint) = self.endpoints.get(line.required("endpoint")?) else {
                    return Ok(None);
                };
                Event::ProbeFinished {
                    endpoint,
                    outcome,
                    elapsed,
                    report,
                }
            }
            "PEER" => {
                let text = line.required("bytes")?;
                let bytes = match text {
                    "-" => Vec::new(),
                    _ => BASE64_STANDARD
                        .decode(text)
                        .map_err(|e| format!("PEER: bytes: {e}"))?,
                };
                Event::PeerMessageReceived {
                    from: line.integer("neighbour")? as usize,
                    bytes,
                }
            }
            "DUE" => Event::TimerFired {
                token: line.integer("cookie")?,
            },
            other => return Err(format!("unknown message {other}")),
        }))
    }

    fn decide(&mut self, instance_id: u64, now: Duration, event: Event, reply: &mut String) {
        let decided = catch_unwind(AssertUnwindSafe(|| self.balancer.decide(now, event)));
        let actions = match decided {
            Ok(actions) => actions,
            Err(payload) => {
                let text = payload.downcast_ref::<String>().map(String::as_str);
                let text = text
                    .or(payload.downcast_ref::<&str>().copied())
                    .unwrap_or("panic");
                let _ = writeln!(
                    reply,
                    "BUG i={instance_id} message={}",
                    text.replace(['\n', '\r'], " ")
                );
                return;
            }
        };
        for action in actions {
            if self.write_action(instance_id, &action, reply).is_none() {
                let _ = writeln!(
                    reply,
                    "BUG i={instance_id} message=action on an unknown id: {action:?}"
                );
            }
        }
    }

    /// Appends the line of an action to the reply. None if the action refers to an unknown index.
    pub fn write_action(
        &mut self,
        instance_id: u64,
        action: &Action,
        reply: &mut String,
    ) -> Option<()> {
        let commands = &mut self.commands;
        let endpoints = &self.endpoints;
        let _ = match action {
            Action::Relay {
                command,
                endpoint,
                timeout,
                ..
            } => writeln!(
                reply,
                "PLACE i={instance_id} op_id={} endpoint={} try_for={}",
                commands.name(*command)?,
                endpoints.name(*endpoint)?,
                timeout.as_nanos()
            ),
            Action::CancelRelay { command, relay } => {
                writeln!(
                    reply,
                    "RECALL i={instance_id} op_id={} trial={relay}",
                    commands.name(*command)?
                )
            }
            Action::Refuse {
                command,
                retry_after,
            } => {
                let name = commands.name(*command)?;
                match retry_after {
                    Some(delay) => {
                        writeln!(
                            reply,
                            "PUSH_BACK i={instance_id} op_id={name} not_before_for={}",
                            delay.as_nanos()
                        )
                    }
                    None => writeln!(reply, "PUSH_BACK i={instance_id} op_id={name}"),
                }
            }
            Action::Fail { command } => {
                writeln!(
                    reply,
                    "FAIL i={instance_id} op_id={}",
                    commands.name(*command)?
                )
            }
            Action::ReleaseCommand { command } => {
                commands.release(*command);
                Ok(())
            }
            Action::ReleaseEndpoint { endpoint } => {
                self.endpoints.release(*endpoint);
                Ok(())
            }
            Action::Probe { endpoint } => {
                writeln!(
                    reply,
                    "HEALTH_CHECK i={instance_id} endpoint={}",
                    endpoints.name(*endpoint)?
                )
            }
            Action::Disconnect { endpoint } => {
                writeln!(
                    reply,
                    "DISCONNECT i={instance_id} endpoint={}",
                    endpoints.name(*endpoint)?
                )
            }
            Action::Subscribe { active } => {
                writeln!(reply, "LISTEN i={instance_id} active={}", u8::from(*active))
            }
            Action::PollList => writeln!(reply, "LIST_ALL i={instance_id}"),
            Action::SendToPeer { to, bytes } => {
                let to = to.map_or("-1".to_string(), |n| n.to_string());
                let bytes = if bytes.is_empty() {
                    "-".to_string()
                } else {
                    BASE64_STANDARD.encode(bytes)
                };
                writeln!(reply, "TELL i={instance_id} dst={to} bytes={bytes}")
            }
            Action::SetTimer { after, token } => {
                writeln!(
                    reply,
                    "SET_ALARM i={instance_id} sleep_for={} cookie={token}",
                    after.as_nanos()
                )
            }
            // The settings of an instance never change here.
            Action::ClassIndicesAssigned { .. } => Ok(()),
            Action::Log(text) => writeln!(reply, "LOG i={instance_id} message={text}"),
        };
        Some(())
    }
}

/// The instances of one process, and the numbered endpoint lists received.
#[derive(Default)]
pub struct Host {
    instances: FxHashMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<ListEntry>>,
    open_batch: Option<(Duration, u64)>, // time and sequence number
    open_list: Option<(u64, u64)>, // number of the list being received, and its missing entries
    reply: String,
}

impl Host {
    /// Handles one line. Returns the reply if the line ends a batch.
    pub fn handle_line(&mut self, text: &str) -> Result<Option<String>, String> {
        let line = Line::parse(text)?;
        if let Some((list, missing)) = self.open_list {
            if line.name != "M" {
                return Err(format!(
                    "{}: expected {missing} more entries of list {list}",
                    line.name
                ));
            }
            let entry = parse_entry(&line)?;
            self.lists.entry(list).or_default().push(entry);
            self.open_list = if missing > 1 {
                Some((list, missing - 1))
            } else {
                None
            };
            return Ok(None);
        }
        let Some((now, seq)) = self.open_batch else {
            if line.name != "TICK" {
                return Err(format!("{} outside a batch", line.name));
            }
            self.open_batch = Some((line.duration("time")?, line.integer("seq")?));
            return Ok(None);
        };
        match line.name {
            "TICK" => return Err("TICK inside a batch".into()),
            "EOF_BATCH" => {
                self.open_batch = None;
                let _ = writeln!(self.reply, "ACK seq={seq}");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            "CENSUS" => {
                let (list, lines) = (line.integer("list")?, line.integer("lines")?);
                self.lists.insert(list, Vec::new());
                self.open_list = (lines > 0).then_some((list, lines));
            }
            "HELLO" => {
                let config = passroad_orders::config_from_text(
                    line.integer("prng")?,
                    line.required("config")?,
                )?;
                self.instances
                    .insert(line.integer("i")?, Instance::new(config));
            }
            "DETACH" => {
                self.instances.remove(&line.integer("i")?);
            }
            "PEERS_KNOWN" => self.update_list(now, &line)?,
            "INGRESS" | "STARTED" | "FINISHED" | "LAPSED" | "CHECKED" | "PEER" | "DUE" => {
                let instance_id = line.integer("i")?;
                let Some(instance) = self.instances.get_mut(&instance_id) else {
                    return Err(format!("{}: unknown instance {instance_id}", line.name));
                };
                if let Some(event) = instance.parse_event(&line)? {
                    instance.decide(instance_id, now, event, &mut self.reply);
                }
            }
            other => return Err(format!("unknown message {other}")),
        }
        Ok(None)
    }

    fn update_list(&mut self, now: Duration, line: &Line) -> Result<(), String> {
        let instance_id = line.integer("i")?;
        let kind = match line.required("kind")? {
            "changes" => ListUpdateKind::Delta,
            "all" => ListUpdateKind::Full,
            "remembered" => ListUpdateKind::Cached,
            "refused" => ListUpdateKind::Failed,
            other => return Err(format!("PEERS_KNOWN: unknown kind {other}")),
        };
        let Some(instance) = self.instances.get_mut(&instance_id) else {
            return Err(format!("PEERS_KNOWN: unknown instance {instance_id}"));
        };
        let entries = match kind {
            ListUpdateKind::Failed => Vec::new(),
            _ => {
                let list = line.integer("list")?;
                let known = self
                    .lists
                    .get(&list)
                    .ok_or_else(|| format!("PEERS_KNOWN: unknown list {list}"))?;
                instance.listed_endpoints(known)
            }
        };
        instance.decide(
            instance_id,
            now,
            Event::ListUpdated { kind, entries },
            &mut self.reply,
        );
        Ok(())
    }

    /// Whether no batch is open, so that the input may end.
    pub fn is_between_batches(&self) -> bool {
        self.open_batch.is_none()
    }
}

fn parse_entry(line: &Line) -> Result<ListEntry, String> {
    Ok(ListEntry {
        endpoint: line.required("endpoint")?.to_string(),
        zone: line.get("hall").unwrap_or_default().to_string(),
        kind: line.get("machine").unwrap_or_default().to_string(),
        cell: line.integer_or("bay", 0)? as usize,
        weight: line.number_or("rating", 1.0)?,
        started_at: line.duration_or("start_time", Duration::ZERO)?,
        state: match line.required("mode")? {
            "Running" => EndpointState::Running,
            "Stopping" => EndpointState::Draining,
            "Deleted" => EndpointState::Removed,
            other => return Err(format!("M: unknown mode {other}")),
        },
    })
}
