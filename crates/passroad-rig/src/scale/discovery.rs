//! The discovery stand-in of a scale run, and the resource that lease owners call. It serves one list to all sidecars
//! by long polls, and records when each sidecar has received which revision.

use super::network::{DISCOVERY, SidecarNetwork};
use super::plan::ScalePlan;
use super::{lock, loopback_address};
use crate::sockets::http::{HttpConnection, Message, response};
use passroad_choice::EndpointState;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest time that a long poll is held open.
const MAX_HOLD: Duration = Duration::from_secs(60);
/// How often a call across a cut checks whether the cut has ended.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Calls, bytes and open long polls at discovery, of all sidecars.
#[derive(Debug, Clone, Copy, Default)]
pub struct DiscoveryCounts {
    pub calls: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub open_watches: u64,
}

/// Serves the list at a separate address for each sidecar, and counts its calls.
pub struct Discovery {
    plan: ScalePlan,
    network: Arc<SidecarNetwork>,
    pub addresses: Vec<SocketAddr>,
    pub resource: SocketAddr,
    endpoints: Vec<SocketAddr>,
    list: Mutex<List>,
    newest_revision: watch::Sender<u64>,
    calls: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    open_polls: AtomicUsize,
    /// The leased roles for which calls arrived, each with the number of its owner.
    pub owners: Mutex<BTreeSet<(String, usize)>>,
}

struct List {
    entries: Vec<(EndpointState, u64)>, // with the revision of the last change of state
    revision: u64,
    created: BTreeMap<u64, Instant>, // the time of each revision
    acknowledged: Vec<u64>,          // by sidecar, the newest revision that it has polled from
    acknowledgements: Vec<(usize, u64, Instant)>, // sidecar, revision, time
    down: bool,
    /// Encoded lists of this revision, by the revision that was polled from.
    cached_texts: BTreeMap<Option<u64>, Arc<String>>,
}

/// The size of a request on the wire.
fn message_bytes(message: &Message) -> usize {
    let headers: usize = message
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + 4)
        .sum();
    message.method.len() + message.target.len() + 12 + headers + 2 + message.body.len()
}

impl Discovery {
    pub async fn start(
        plan: &ScalePlan,
        network: &Arc<SidecarNetwork>,
        endpoints: Vec<SocketAddr>,
    ) -> io::Result<Arc<Discovery>> {
        let sidecars = network.real.len();
        let mut listeners = Vec::new();
        for sidecar in 0..sidecars {
            listeners
                .push(TcpListener::bind(SocketAddr::new(loopback_address(2, sidecar), 0)).await?);
        }
        let resource = TcpListener::bind(SocketAddr::new(loopback_address(6, 0), 0)).await?;
        let discovery = Arc::new(Discovery {
            plan: plan.clone(),
            network: Arc::clone(network),
            addresses: listeners
                .iter()
                .map(TcpListener::local_addr)
                .collect::<io::Result<_>>()?,
            resource: resource.local_addr()?,
            list: Mutex::new(List {
                entries: vec![(EndpointState::Running, 1); endpoints.len()],
                revision: 1,
                created: BTreeMap::from([(1, Instant::now())]),
                acknowledged: vec![0; sidecars],
                acknowledgements: Vec::new(),
                down: false,
                cached_texts: BTreeMap::new(),
            }),
            endpoints,
            newest_revision: watch::channel(1).0,
            calls: AtomicU64::new(0),
            bytes_in: AtomicU64::new(0),
            bytes_out: AtomicU64::new(0),
            open_polls: AtomicUsize::new(0),
            owners: Mutex::default(),
        });
        for (sidecar, listener) in listeners.into_iter().enumerate() {
            let accepting = Arc::clone(&discovery);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let discovery = Arc::clone(&accepting);
                    tokio::spawn(async move {
                        discovery.serve(sidecar, HttpConnection::new(stream)).await
                    });
                }
            });
        }
        let accepting = Arc::clone(&discovery);
        tokio::spawn(async move {
            while let Ok((stream, _)) = resource.accept().await {
                let discovery = Arc::clone(&accepting);
                tokio::spawn(
                    async move { discovery.serve_resource(HttpConnection::new(stream)).await },
                );
            }
        });
        Ok(discovery)
    }

    /// Accepts every act at the resource, and records its owner.
    async fn serve_resource(&self, mut connection: HttpConnection) {
        while let Ok(Some(call)) = connection.read_request().await {
            let owner = call
                .header("owner")
                .and_then(|number| number.parse().ok())
                .unwrap_or_default();
            let role = call.header("duty").unwrap_or_default().to_string();
            lock(&self.owners).insert((role, owner));
            if connection.write(&response("200 OK", "", "")).await.is_err() {
                return;
            }
        }
    }

    pub fn counts(&self) -> DiscoveryCounts {
        DiscoveryCounts {
            calls: self.calls.load(Relaxed),
            bytes_in: self.bytes_in.load(Relaxed),
            bytes_out: self.bytes_out.load(Relaxed),
            open_watches: self.open_polls.load(Relaxed) as u64,
        }
    }

    /// Sets the state of some endpoints; returns the newest revision, which is a new one only if a state changed.
    pub fn set_state(&self, endpoints: &[usize], state: EndpointState) -> u64 {
        let mut list = lock(&self.list);
        let changed: Vec<usize> = endpoints
            .iter()
            .copied()
            .filter(|endpoint| list.entries[*endpoint].0 != state)
            .collect();
        if !changed.is_empty() {
            list.revision += 1;
            let revision = list.revision;
            changed
                .into_iter()
                .for_each(|endpoint| list.entries[endpoint] = (state, revision));
            list.created.insert(revision, Instant::now());
            list.cached_texts.clear();
            self.newest_revision.send_replace(revision);
        }
        list.revision
    }

    pub fn set_down(&self, on: bool) {
        lock(&self.list).down = on;
        // Wakes the long polls, so that they fail.
        self.newest_revision.send_modify(|_| {});
    }

    pub fn is_down(&self) -> bool {
        lock(&self.list).down
    }

    /// Forgets what a sidecar has acknowledged, as it starts again without a list.
    pub fn reset_acknowledged(&self, sidecar: usize) {
        lock(&self.list).acknowledged[sidecar] = 0;
    }

    /// The share of these sidecars that have the newest revision.
    pub fn share_up_to_date(&self, sidecars: &[usize]) -> f64 {
        let list = lock(&self.list);
        sidecars
            .iter()
            .filter(|sidecar| list.acknowledged[**sidecar] >= list.revision)
            .count() as f64
            / sidecars.len().max(1) as f64
    }

    /// For each revision created in a window, the time until all of these sidecars had it; None where one never had.
    pub fn propagation_times(
        &self,
        from: Instant,
        to: Instant,
        sidecars: &[usize],
    ) -> Vec<Option<Duration>> {
        let list = lock(&self.list);
        if sidecars.is_empty() {
            return Vec::new();
        }
        let created = list
            .created
            .iter()
            .filter(|(_, time)| (from..to).contains(*time));
        created
            .map(|(revision, created)| {
                let mut first: BTreeMap<usize, Instant> = BTreeMap::new();
                for (sidecar, _, time) in list
                    .acknowledgements
                    .iter()
                    .filter(|(_, acknowledged, time)| acknowledged >= revision && time >= created)
                {
                    first.entry(*sidecar).or_insert(*time);
                }
                let all = sidecars
                    .iter()
                    .map(|sidecar| first.get(sidecar).map(|time| *time - *created));
                all.collect::<Option<Vec<_>>>()
                    .and_then(|all| all.into_iter().max())
            })
            .collect()
    }

    /// The encoded list, complete or with the entries that changed after a revision.
    fn list_text(&self, list: &mut List, from: Option<u64>) -> Arc<String> {
        if let Some(text) = list.cached_texts.get(&from) {
            return Arc::clone(text);
        }
        let included = |endpoint: &usize| match from {
            Some(from) => list.entries[*endpoint].1 > from,
            None => list.entries[*endpoint].0 != EndpointState::Removed,
        };
        let members: Vec<_> = (0..list.entries.len())
            .filter(included)
            .map(|endpoint| {
                let phase = match list.entries[endpoint].0 {
                    EndpointState::Running => "up",
                    EndpointState::Draining => "draining",
                    EndpointState::Removed => "removed",
                };
                json!({
                    "id": format!("s{}-e{endpoint}", self.plan.service(endpoint)), "host_port": self.endpoints[endpoint].to_string(),
                    "locality": format!("z{}", self.plan.zone(endpoint)), "flavor": "plain",
                    "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": 0,
                })
            })
            .collect();
        let whole =
            json!({ "revision": list.revision, "complete": from.is_none(), "members": members });
        let text = Arc::new(whole.to_string());
        list.cached_texts.insert(from, Arc::clone(&text));
        text
    }

    async fn wait_while_cut_off(&self, sidecar: usize) {
        while self.network.is_cut_from_discovery(sidecar) {
            sleep(CUT_POLL_INTERVAL).await;
        }
    }

    async fn serve(&self, sidecar: usize, mut connection: HttpConnection) {
        let delay = self.plan.one_way_delay(0, sidecar);
        while let Ok(Some(message)) = connection.read_request().await {
            // A call sent during a cut arrives when the cut ends, or never if the sidecar closes the connection first.
            tokio::select! {
                () = self.wait_while_cut_off(sidecar) => {}
                () = connection.wait_closed() => return,
            }
            sleep(delay).await;
            let bytes = message_bytes(&message);
            self.calls.fetch_add(1, Relaxed);
            self.bytes_in.fetch_add(bytes as u64, Relaxed);
            self.network.counters[sidecar].count_out(DISCOVERY, bytes);
            let from = message.target.split_once("?from=").and_then(|(_, query)| {
                let (from, hold) = query.split_once("&hold_ms=")?;
                Some((
                    from.parse::<u64>().ok()?,
                    Duration::from_millis(hold.parse().ok()?),
                ))
            });
            let mut newest_revision = self.newest_revision.subscribe();
            if let Some((from, hold)) = from {
                {
                    let mut list = lock(&self.list);
                    if from > list.acknowledged[sidecar] {
                        list.acknowledged[sidecar] = from;
                        list.acknowledgements.push((sidecar, from, Instant::now()));
                    }
                }
                self.open_polls.fetch_add(1, Relaxed);
                let wait = newest_revision.wait_for(|newest| *newest > from || self.is_down());
                // With or without a newer revision, the answer is the list as it is then. The sidecar may close the
                // connection before that.
                tokio::select! {
                    _ = timeout(hold.min(MAX_HOLD), wait) => {}
                    () = connection.wait_closed() => {}
                }
                self.open_polls.fetch_sub(1, Relaxed);
            }
            tokio::select! {
                () = self.wait_while_cut_off(sidecar) => {}
                () = connection.wait_closed() => return,
            }
            let answer = {
                let mut list = lock(&self.list);
                match list.down {
                    true => response("503 Down", "", ""),
                    false => {
                        let text = self.list_text(&mut list, from.map(|(from, _)| from));
                        response("200 OK", "", &text)
                    }
                }
            };
            sleep(delay).await;
            self.bytes_out.fetch_add(answer.len() as u64, Relaxed);
            self.network.counters[sidecar].count_in(DISCOVERY, answer.len());
            if connection.write(&answer).await.is_err() {
                return;
            }
        }
    }
}
