//! The discovery stand-in: complete lists, long polls that wait for a newer revision, and the faults of discovery.

use super::endpoint::EndpointServer;
use super::http::{HttpConnection, response};
use super::run_state::{RunState, lock, loopback_address};
use crate::experiment::ScheduledChange;
use crate::ledger::Entry;
use passroad_choice::EndpointState;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest time that a long poll is held open.
const MAX_HOLD: Duration = Duration::from_secs(60);

/// Serves the list of endpoints at a separate address for each sidecar.
pub struct Discovery {
    run_state: Arc<RunState>,
    servers: Vec<Arc<EndpointServer>>,
    list: Mutex<List>,
    newest_revision: watch::Sender<u64>,
    addresses: Vec<SocketAddr>,
}

struct List {
    entries: Vec<(EndpointState, u64)>, // with the revision of the last change of state
    revision: u64,
    delay: Duration,
    stagger: Duration, // spread of the delay over all instances
    down: bool,
    malformed: bool,
}

impl Discovery {
    pub async fn start(
        run_state: &Arc<RunState>,
        servers: &[Arc<EndpointServer>],
    ) -> io::Result<Arc<Discovery>> {
        let mut listeners = Vec::new();
        for instance in 0..run_state.plan.instances {
            listeners.push(
                TcpListener::bind(SocketAddr::new(loopback_address(249, instance), 0)).await?,
            );
        }
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        let discovery = Arc::new(Discovery {
            run_state: Arc::clone(run_state),
            servers: servers.to_vec(),
            list: Mutex::new(List {
                entries: vec![(EndpointState::Running, 1); servers.len()],
                revision: 1,
                delay: Duration::ZERO,
                stagger: Duration::ZERO,
                down: false,
                malformed: false,
            }),
            newest_revision: watch::channel(1).0,
            addresses,
        });
        for (instance, listener) in listeners.into_iter().enumerate() {
            let discovery = Arc::clone(&discovery);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let discovery = Arc::clone(&discovery);
                    tokio::spawn(async move {
                        discovery.serve(instance, HttpConnection::new(stream)).await
                    });
                }
            });
        }
        Ok(discovery)
    }

    pub fn address(&self, instance: usize) -> SocketAddr {
        self.addresses[instance]
    }

    /// The complete current list, which a sidecar starts with as its cached list.
    pub fn cached_list(&self, instance: usize) -> Value {
        let list = lock(&self.list);
        self.list_json(instance, &list, None)
    }

    /// Applies the part of a change that concerns discovery.
    pub fn apply(self: &Arc<Self>, change: &ScheduledChange) {
        match change {
            ScheduledChange::DiscoveryDelay(delay) => lock(&self.list).delay = *delay,
            ScheduledChange::DiscoveryStagger(spread) => lock(&self.list).stagger = *spread,
            ScheduledChange::DiscoveryMalformed(on) => lock(&self.list).malformed = *on,
            ScheduledChange::DiscoveryDown(on) => {
                lock(&self.list).down = *on;
                // Wakes the long polls, so that they fail.
                self.newest_revision.send_modify(|_| {});
            }
            ScheduledChange::Drain(endpoint) => self.set_state(*endpoint, EndpointState::Draining),
            ScheduledChange::Leave(endpoint) => self.set_state(*endpoint, EndpointState::Removed),
            ScheduledChange::Crash(endpoint) => self.set_state_later(
                *endpoint,
                self.run_state.plan.crash_listed_after,
                EndpointState::Removed,
            ),
            ScheduledChange::Start(endpoint) => {
                self.set_state_later(*endpoint, Duration::from_millis(50), EndpointState::Running)
            }
            _ => {}
        }
    }

    /// Sets the state after a delay if it still matches the endpoint then: one that crashed may be up again, and one
    /// that started may have crashed.
    pub fn set_state_later(self: &Arc<Self>, index: usize, after: Duration, state: EndpointState) {
        let discovery = Arc::clone(self);
        tokio::spawn(async move {
            sleep(after).await;
            if (state == EndpointState::Running) == discovery.servers[index].is_up() {
                discovery.set_state(index, state);
            }
        });
    }

    fn set_state(&self, index: usize, state: EndpointState) {
        let mut list = lock(&self.list);
        if list.entries[index].0 != state {
            list.revision += 1;
            list.entries[index] = (state, list.revision);
            self.newest_revision.send_replace(list.revision);
        }
    }

    /// An entry of the list, with the address of the endpoint for this sidecar.
    fn member(&self, instance: usize, index: usize, state: EndpointState) -> Value {
        let (plan, server) = (&self.run_state.plan, &self.servers[index]);
        let endpoint = &plan.endpoints[index];
        let phase = match state {
            EndpointState::Running => "up",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "removed",
        };
        json!({
            "id": format!("e{index}"), "host_port": server.address(instance).to_string(),
            "locality": plan.zones[endpoint.zone], "flavor": plan.kinds[endpoint.kind],
            "cell": endpoint.cell, "phase": phase, "size": endpoint.weight,
            "up_since_ms": server.started_at().map_or(0, |time| self.run_state.unix_ms(time)),
        })
    }

    /// The complete list, or the entries that changed after a revision.
    fn list_json(&self, instance: usize, list: &List, from: Option<u64>) -> Value {
        let included = |index: &usize| match from {
            Some(from) => list.entries[*index].1 > from,
            None => list.entries[*index].0 != EndpointState::Removed,
        };
        let members: Vec<Value> = (0..list.entries.len())
            .filter(included)
            .map(|index| self.member(instance, index, list.entries[index].0))
            .collect();
        json!({ "revision": list.revision, "complete": from.is_none(), "members": members })
    }

    async fn serve(&self, instance: usize, mut connection: HttpConnection) {
        while let Ok(Some(message)) = connection.read_request().await {
            let from = message.target.split_once("?from=").and_then(|(_, query)| {
                let (from, hold) = query.split_once("&hold_ms=")?;
                Some((
                    from.parse::<u64>().ok()?,
                    Duration::from_millis(hold.parse().ok()?),
                ))
            });
            let mut newest_revision = self.newest_revision.subscribe();
            if let Some((from, hold)) = from {
                let wait =
                    newest_revision.wait_for(|newest| *newest > from || lock(&self.list).down);
                // With or without a newer revision, the answer is the list as it is then.
                let _ = timeout(hold.min(MAX_HOLD), wait).await;
            }
            let (delay, down) = {
                let list = lock(&self.list);
                let offset = list
                    .stagger
                    .mul_f64(instance as f64 / self.addresses.len() as f64);
                (list.delay + offset, list.down)
            };
            if down {
                let _ = connection.write(&response("503 Down", "", "")).await;
                continue;
            }
            let (text, sent) = {
                let list = lock(&self.list);
                if list.malformed {
                    ("{".to_string(), Vec::new())
                } else {
                    let newer =
                        |index: &usize| from.is_none_or(|(from, _)| list.entries[*index].1 > from);
                    let sent: Vec<_> = (0..list.entries.len())
                        .filter(newer)
                        .map(|index| (index, list.entries[index].0))
                        .collect();
                    (
                        self.list_json(instance, &list, from.map(|(from, _)| from))
                            .to_string(),
                        sent,
                    )
                }
            };
            sleep(delay).await;
            if connection
                .write(&response("200 OK", "", &text))
                .await
                .is_err()
            {
                return;
            }
            for (endpoint, state) in sent {
                self.run_state.record(match state {
                    EndpointState::Running => Entry::ListedUp { instance, endpoint },
                    EndpointState::Draining | EndpointState::Removed => {
                        Entry::ListedAway { instance, endpoint }
                    }
                });
            }
        }
    }
}
