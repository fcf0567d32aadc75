//! Discovery as the protocol has it: whole lists, watches that wait for news, and its own troubles.

use super::endpoint::Stand;
use super::http::{Talk, answer};
use super::scene::{Scene, address, held};
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

const LONGEST_HOLD: Duration = Duration::from_secs(60);

pub struct Discovery {
    scene: Arc<Scene>,
    stands: Vec<Arc<Stand>>,
    list: Mutex<List>,
    news: watch::Sender<u64>, // the newest revision
    addresses: Vec<SocketAddr>,
}

struct List {
    entries: Vec<(EndpointState, u64)>, // and the revision that it has been so since
    revision: u64,
    by: Duration,
    turns: Duration,
    down: bool,
    malformed: bool,
}

impl Discovery {
    pub async fn start(scene: &Arc<Scene>, stands: &[Arc<Stand>]) -> io::Result<Arc<Discovery>> {
        let mut listeners = Vec::new();
        for instance in 0..scene.plan.instances {
            listeners.push(TcpListener::bind(SocketAddr::new(address(249, instance), 0)).await?);
        }
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        let discovery = Arc::new(Discovery {
            scene: Arc::clone(scene),
            stands: stands.to_vec(),
            list: Mutex::new(List {
                entries: vec![(EndpointState::Running, 1); stands.len()],
                revision: 1,
                by: Duration::ZERO,
                turns: Duration::ZERO,
                down: false,
                malformed: false,
            }),
            news: watch::channel(1).0,
            addresses,
        });
        for (instance, listener) in listeners.into_iter().enumerate() {
            let discovery = Arc::clone(&discovery);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let discovery = Arc::clone(&discovery);
                    tokio::spawn(async move { discovery.serve(instance, Talk::new(stream)).await });
                }
            });
        }
        Ok(discovery)
    }

    pub fn address(&self, instance: usize) -> SocketAddr {
        self.addresses[instance]
    }

    /// What a sidecar may remember from before: the whole list as it is.
    pub fn known(&self, instance: usize) -> Value {
        let list = held(&self.list);
        self.text(instance, &list, None)
    }

    pub fn change(self: &Arc<Self>, change: &ScheduledChange) {
        match change {
            ScheduledChange::DiscoveryDelay(by) => held(&self.list).by = *by,
            ScheduledChange::DiscoveryStagger(spread) => held(&self.list).turns = *spread,
            ScheduledChange::DiscoveryMalformed(on) => held(&self.list).malformed = *on,
            ScheduledChange::DiscoveryDown(on) => {
                held(&self.list).down = *on;
                // Watches wake and see it.
                self.news.send_modify(|_| {});
            }
            ScheduledChange::Drain(n) => self.tell(*n, EndpointState::Draining),
            ScheduledChange::Leave(n) => self.tell(*n, EndpointState::Removed),
            ScheduledChange::Crash(n) => self.later(
                *n,
                self.scene.plan.crash_listed_after,
                EndpointState::Removed,
            ),
            ScheduledChange::Start(n) => {
                self.later(*n, Duration::from_millis(50), EndpointState::Running)
            }
            _ => {}
        }
    }

    /// Looked at once more when the time has come: what died may be back, and the other way round.
    pub fn later(self: &Arc<Self>, n: usize, after: Duration, mode: EndpointState) {
        let discovery = Arc::clone(self);
        tokio::spawn(async move {
            sleep(after).await;
            if (mode == EndpointState::Running) == discovery.stands[n].is_up() {
                discovery.tell(n, mode);
            }
        });
    }

    fn tell(&self, n: usize, mode: EndpointState) {
        let mut list = held(&self.list);
        if list.entries[n].0 != mode {
            list.revision += 1;
            list.entries[n] = (mode, list.revision);
            self.news.send_replace(list.revision);
        }
    }

    fn member(&self, instance: usize, n: usize, mode: EndpointState) -> Value {
        let (plan, stand) = (&self.scene.plan, &self.stands[n]);
        let endpoint = &plan.endpoints[n];
        let phase = match mode {
            EndpointState::Running => "up",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "removed",
        };
        json!({
            "id": format!("e{n}"), "host_port": stand.address(instance).to_string(),
            "locality": plan.zones[endpoint.zone], "flavor": plan.kinds[endpoint.kind],
            "cell": endpoint.cell, "phase": phase, "size": endpoint.weight,
            "up_since_ms": stand.started().map_or(0, |at| self.scene.unix_ms(at)),
        })
    }

    /// The whole list, or what is newer than a revision.
    fn text(&self, instance: usize, list: &List, from: Option<u64>) -> Value {
        let newer = |n: &usize| match from {
            Some(from) => list.entries[*n].1 > from,
            None => list.entries[*n].0 != EndpointState::Removed,
        };
        let members: Vec<Value> = (0..list.entries.len())
            .filter(newer)
            .map(|n| self.member(instance, n, list.entries[n].0))
            .collect();
        json!({ "revision": list.revision, "complete": from.is_none(), "members": members })
    }

    async fn serve(&self, instance: usize, mut talk: Talk) {
        while let Ok(Some(message)) = talk.request().await {
            let from = message.target.split_once("?from=").and_then(|(_, query)| {
                let (from, hold) = query.split_once("&hold_ms=")?;
                Some((
                    from.parse::<u64>().ok()?,
                    Duration::from_millis(hold.parse().ok()?),
                ))
            });
            let mut news = self.news.subscribe();
            if let Some((from, hold)) = from {
                let wait = news.wait_for(|newest| *newest > from || held(&self.list).down);
                // Whether it came or not, the answer is what there is by then.
                let _ = timeout(hold.min(LONGEST_HOLD), wait).await;
            }
            let (by, down) = {
                let list = held(&self.list);
                let turn = list
                    .turns
                    .mul_f64(instance as f64 / self.addresses.len() as f64);
                (list.by + turn, list.down)
            };
            if down {
                let _ = talk.write(&answer("503 Down", "", "")).await;
                continue;
            }
            let (text, told) = {
                let list = held(&self.list);
                if list.malformed {
                    ("{".to_string(), Vec::new())
                } else {
                    let of = |n: &usize| from.is_none_or(|(from, _)| list.entries[*n].1 > from);
                    let told: Vec<_> = (0..list.entries.len())
                        .filter(of)
                        .map(|n| (n, list.entries[n].0))
                        .collect();
                    (
                        self.text(instance, &list, from.map(|(from, _)| from))
                            .to_string(),
                        told,
                    )
                }
            };
            sleep(by).await;
            if talk.write(&answer("200 OK", "", &text)).await.is_err() {
                return;
            }
            for (endpoint, mode) in told {
                self.scene.note(match mode {
                    EndpointState::Running => Entry::ListedUp { instance, endpoint },
                    EndpointState::Draining | EndpointState::Removed => {
                        Entry::ListedAway { instance, endpoint }
                    }
                });
            }
        }
    }
}
