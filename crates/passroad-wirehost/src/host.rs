//! Hosts instances of the decision module: events in, actions out, nothing shared between instances.

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

/// An entry of a list as the wire gave it.
#[derive(Clone)]
struct Entry {
    endpoint: String,
    zone: String,
    kind: String,
    cell: usize,
    rating: f64,
    started: Duration,
    mode: EndpointState,
}

pub struct Instance {
    balancer: Balancer,
    pub endpoints: Interner<String>,
    commands: Interner<String>,
    zones: Interner<String>,
    kinds: Interner<String>,
    verbs: Vec<String>,
    companies: Vec<String>,
}

impl Instance {
    pub fn new(mut orders: BalancerConfig) -> Self {
        let (mut zones, mut kinds) = (Interner::new(), Interner::new());
        orders.intern_names(&mut zones, &mut kinds);
        Instance {
            verbs: orders.classes.iter().map(|v| v.name.clone()).collect(),
            companies: orders.tenants.iter().map(|c| c.name.clone()).collect(),
            balancer: Balancer::new(orders),
            endpoints: Interner::new(),
            commands: Interner::new(),
            kinds,
            zones,
        }
    }

    fn listings(&mut self, entries: &[Entry]) -> Vec<ListedEndpoint> {
        let listing = |e: &Entry| ListedEndpoint {
            endpoint: self.endpoints.intern(&e.endpoint),
            id_hash: stable_hash(&e.endpoint),
            zone: self.zones.intern(&e.zone),
            cell: e.cell,
            kind: self.kinds.intern(&e.kind),
            weight: e.rating,
            started_at: e.started,
            state: e.mode,
        };
        entries.iter().map(listing).collect()
    }

    fn arrival(&mut self, line: &Line) -> Result<Event, String> {
        let verb = line.need("profile")?;
        let position = self.verbs.iter().position(|v| v == verb);
        Ok(Event::CommandArrived(CommandArrival {
            class: position.ok_or_else(|| format!("INGRESS: unknown verb {verb}"))?,
            tenant: line
                .get("tenant")
                .and_then(|t| self.companies.iter().position(|c| c == t)),
            key: line.get("name_key").filter(|k| *k != "-").map(stable_hash),
            budget: line.span("budget")?,
            work: line.get("hint").map(|_| line.span("hint")).transpose()?,
            is_retry: line.flag("again_by_client")?,
            is_write: line.flag("write")?,
            weight_set: 0,
            body_pending: false,
            command: self.commands.intern(&line.need("op_id")?.to_string()),
        }))
    }

    /// The event in a line; none where it speaks of a command or endpoint no longer held.
    fn event(&mut self, line: &Line) -> Result<Option<Event>, String> {
        Ok(Some(match line.name {
            "INGRESS" => self.arrival(line)?,
            "STARTED" => {
                let relay = line.whole("trial")? as usize;
                let Some(cmd) = self.commands.get(line.need("op_id")?) else {
                    return Ok(None);
                };
                Event::StreamStarted {
                    command: cmd,
                    relay,
                }
            }
            "FINISHED" => {
                let (outcome, spent, report) =
                    (line.outcome()?, line.span("spent")?, line.report()?);
                let (relay, concluded) = (line.whole("trial")? as usize, line.flag("no_more")?);
                let Some(cmd) = self.commands.get(line.need("op_id")?) else {
                    return Ok(None);
                };
                Event::RelayFinished {
                    command: cmd,
                    relay,
                    outcome,
                    elapsed: spent,
                    concluded,
                    report,
                }
            }
            "LAPSED" => {
                let Some(cmd) = self.commands.get(line.need("op_id")?) else {
                    return Ok(None);
                };
                Event::CommandAbandoned { command: cmd }
            }
            "CHECKED" => {
                let (outcome, spent, report) =
                    (line.outcome()?, line.span("spent")?, line.report()?);
                let Some(endpoint) = self.endpoints.get(line.need("endpoint")?) else {
                    return Ok(None);
                };
                Event::ProbeFinished {
                    endpoint,
                    outcome,
                    elapsed: spent,
                    report,
                }
            }
            "PEER" => {
                let text = line.need("bytes")?;
                let bytes = match text {
                    "-" => Vec::new(),
                    _ => BASE64_STANDARD
                        .decode(text)
                        .map_err(|e| format!("PEER: bytes: {e}"))?,
                };
                Event::PeerMessageReceived {
                    from: line.whole("neighbour")? as usize,
                    bytes,
                }
            }
            "DUE" => Event::TimerFired {
                token: line.whole("cookie")?,
            },
            other => return Err(format!("unknown message {other}")),
        }))
    }

    fn decide(&mut self, i: u64, now: Duration, event: Event, reply: &mut String) {
        let decided = catch_unwind(AssertUnwindSafe(|| self.balancer.decide(now, event)));
        let actions = match decided {
            Ok(actions) => actions,
            Err(fault) => {
                let text = fault.downcast_ref::<String>().map(String::as_str);
                let text = text
                    .or(fault.downcast_ref::<&str>().copied())
                    .unwrap_or("panic");
                let _ = writeln!(
                    reply,
                    "BUG i={i} message={}",
                    text.replace(['\n', '\r'], " ")
                );
                return;
            }
        };
        for action in actions {
            if self.write(i, &action, reply).is_none() {
                let _ = writeln!(
                    reply,
                    "BUG i={i} message=action on an unknown id: {action:?}"
                );
            }
        }
    }

    pub fn write(&mut self, i: u64, action: &Action, reply: &mut String) -> Option<()> {
        let cmds = &mut self.commands;
        let points = &self.endpoints;
        let _ = match action {
            Action::Relay {
                command: cmd,
                endpoint,
                timeout: within,
                ..
            } => writeln!(
                reply,
                "PLACE i={i} op_id={} endpoint={} try_for={}",
                cmds.name(*cmd)?,
                points.name(*endpoint)?,
                within.as_nanos()
            ),
            Action::CancelRelay {
                command: cmd,
                relay,
            } => {
                writeln!(
                    reply,
                    "RECALL i={i} op_id={} trial={relay}",
                    cmds.name(*cmd)?
                )
            }
            Action::Refuse {
                command: cmd,
                retry_after: not_before,
            } => {
                let name = cmds.name(*cmd)?;
                match not_before {
                    Some(wait) => {
                        writeln!(
                            reply,
                            "PUSH_BACK i={i} op_id={name} not_before_for={}",
                            wait.as_nanos()
                        )
                    }
                    None => writeln!(reply, "PUSH_BACK i={i} op_id={name}"),
                }
            }
            Action::Fail { command: cmd } => {
                writeln!(reply, "FAIL i={i} op_id={}", cmds.name(*cmd)?)
            }
            Action::ReleaseCommand { command: cmd } => {
                cmds.release(*cmd);
                Ok(())
            }
            Action::ReleaseEndpoint { endpoint } => {
                self.endpoints.release(*endpoint);
                Ok(())
            }
            Action::Probe { endpoint } => {
                writeln!(
                    reply,
                    "HEALTH_CHECK i={i} endpoint={}",
                    points.name(*endpoint)?
                )
            }
            Action::Disconnect { endpoint } => {
                writeln!(
                    reply,
                    "DISCONNECT i={i} endpoint={}",
                    points.name(*endpoint)?
                )
            }
            Action::Subscribe { active } => {
                writeln!(reply, "LISTEN i={i} active={}", u8::from(*active))
            }
            Action::PollList => writeln!(reply, "LIST_ALL i={i}"),
            Action::SendToPeer { to, bytes } => {
                let to = to.map_or("-1".to_string(), |n| n.to_string());
                let bytes = if bytes.is_empty() {
                    "-".to_string()
                } else {
                    BASE64_STANDARD.encode(bytes)
                };
                writeln!(reply, "TELL i={i} dst={to} bytes={bytes}")
            }
            Action::SetTimer { after, token } => {
                writeln!(
                    reply,
                    "SET_ALARM i={i} sleep_for={} cookie={token}",
                    after.as_nanos()
                )
            }
            // Settings hold for an instance's life here.
            Action::ClassIndicesAssigned { .. } => Ok(()),
            Action::Log(text) => writeln!(reply, "LOG i={i} message={text}"),
        };
        Some(())
    }
}

/// All that one process holds: its instances, and the numbered lists of the wire.
#[derive(Default)]
pub struct Host {
    instances: FxHashMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<Entry>>,
    open: Option<(Duration, u64)>,
    filling: Option<(u64, u64)>, // the list being read, and the entries still to come
    reply: String,
}

impl Host {
    /// Takes one line; gives the reply where it ends a batch.
    pub fn take(&mut self, text: &str) -> Result<Option<String>, String> {
        let line = Line::parse(text)?;
        if let Some((list, left)) = self.filling {
            if line.name != "M" {
                return Err(format!(
                    "{} where {left} more entries of list {list} were due",
                    line.name
                ));
            }
            let entry = entry(&line)?;
            self.lists.entry(list).or_default().push(entry);
            self.filling = if left > 1 {
                Some((list, left - 1))
            } else {
                None
            };
            return Ok(None);
        }
        let Some((now, seq)) = self.open else {
            if line.name != "TICK" {
                return Err(format!("{} outside a batch", line.name));
            }
            self.open = Some((line.span("time")?, line.whole("seq")?));
            return Ok(None);
        };
        match line.name {
            "TICK" => return Err("TICK inside a batch".into()),
            "EOF_BATCH" => {
                self.open = None;
                let _ = writeln!(self.reply, "ACK seq={seq}");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            "CENSUS" => {
                let (list, lines) = (line.whole("list")?, line.whole("lines")?);
                self.lists.insert(list, Vec::new());
                self.filling = (lines > 0).then_some((list, lines));
            }
            "HELLO" => {
                let orders =
                    passroad_orders::config_from_text(line.whole("prng")?, line.need("config")?)?;
                self.instances
                    .insert(line.whole("i")?, Instance::new(orders));
            }
            "DETACH" => {
                self.instances.remove(&line.whole("i")?);
            }
            "PEERS_KNOWN" => self.peers_known(now, &line)?,
            "INGRESS" | "STARTED" | "FINISHED" | "LAPSED" | "CHECKED" | "PEER" | "DUE" => {
                let i = line.whole("i")?;
                let Some(instance) = self.instances.get_mut(&i) else {
                    return Err(format!(
                        "{} for instance {i}, which has not started",
                        line.name
                    ));
                };
                if let Some(event) = instance.event(&line)? {
                    instance.decide(i, now, event, &mut self.reply);
                }
            }
            other => return Err(format!("unknown message {other}")),
        }
        Ok(None)
    }

    fn peers_known(&mut self, now: Duration, line: &Line) -> Result<(), String> {
        let i = line.whole("i")?;
        let kind = match line.need("kind")? {
            "changes" => ListUpdateKind::Delta,
            "all" => ListUpdateKind::Full,
            "remembered" => ListUpdateKind::Cached,
            "refused" => ListUpdateKind::Failed,
            other => return Err(format!("PEERS_KNOWN: unknown kind {other}")),
        };
        let Some(instance) = self.instances.get_mut(&i) else {
            return Err(format!(
                "PEERS_KNOWN for instance {i}, which has not started"
            ));
        };
        let entries = match kind {
            ListUpdateKind::Failed => Vec::new(),
            _ => {
                let list = line.whole("list")?;
                let known = self
                    .lists
                    .get(&list)
                    .ok_or_else(|| format!("PEERS_KNOWN: no list {list}"))?;
                instance.listings(known)
            }
        };
        instance.decide(
            i,
            now,
            Event::ListUpdated { kind, entries },
            &mut self.reply,
        );
        Ok(())
    }

    /// Whether the input may end here.
    pub fn between_batches(&self) -> bool {
        self.open.is_none()
    }
}

fn entry(line: &Line) -> Result<Entry, String> {
    Ok(Entry {
        endpoint: line.need("endpoint")?.to_string(),
        zone: line.get("hall").unwrap_or_default().to_string(),
        kind: line.get("machine").unwrap_or_default().to_string(),
        cell: line.whole_or("bay", 0)? as usize,
        rating: line.number_or("rating", 1.0)?,
        started: line.span_or("start_time", Duration::ZERO)?,
        mode: match line.need("mode")? {
            "Running" => EndpointState::Running,
            "Stopping" => EndpointState::Draining,
            "Deleted" => EndpointState::Removed,
            other => return Err(format!("M: unknown mode {other}")),
        },
    })
}
