//! Discovery of a scale run, and what duties call: a list for all, watches, and who has come to know of what, when.

use super::plan::ScalePlan;
use super::wires::{LIST, Wires};
use super::{held, place};
use crate::sockets::http::{Message, Talk, answer};
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

const LONGEST_HOLD: Duration = Duration::from_secs(60);
/// How often a call across a cut looks whether it is over.
const LOOK: Duration = Duration::from_millis(20);

/// What came to discovery so far, of all.
#[derive(Debug, Clone, Copy, Default)]
pub struct Asked {
    pub calls: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub open_watches: u64,
}

pub struct Discovery {
    plan: ScalePlan,
    wires: Arc<Wires>,
    pub addresses: Vec<SocketAddr>,
    pub resource: SocketAddr,
    endpoints: Vec<SocketAddr>,
    list: Mutex<List>,
    news: watch::Sender<u64>,
    calls: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    open: AtomicUsize,
    /// Whose calls of duties came.
    pub owners: Mutex<BTreeSet<(String, usize)>>,
}

struct List {
    entries: Vec<(EndpointState, u64)>, // and the revision that it has been so since
    revision: u64,
    set: BTreeMap<u64, Instant>, // when a revision came to be
    knows: Vec<u64>,             // by sidecar, the newest revision that it has asked from
    heard: Vec<(usize, u64, Instant)>,
    down: bool,
    texts: BTreeMap<Option<u64>, Arc<String>>, // of this revision
}

fn size(message: &Message) -> usize {
    let heads: usize = message
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + 4)
        .sum();
    message.method.len() + message.target.len() + 12 + heads + 2 + message.body.len()
}

impl Discovery {
    pub async fn start(
        plan: &ScalePlan,
        wires: &Arc<Wires>,
        endpoints: Vec<SocketAddr>,
    ) -> io::Result<Arc<Discovery>> {
        let sidecars = wires.real.len();
        let mut listeners = Vec::new();
        for n in 0..sidecars {
            listeners.push(TcpListener::bind(SocketAddr::new(place(2, n), 0)).await?);
        }
        let resource = TcpListener::bind(SocketAddr::new(place(6, 0), 0)).await?;
        let discovery = Arc::new(Discovery {
            plan: plan.clone(),
            wires: Arc::clone(wires),
            addresses: listeners
                .iter()
                .map(TcpListener::local_addr)
                .collect::<io::Result<_>>()?,
            resource: resource.local_addr()?,
            list: Mutex::new(List {
                entries: vec![(EndpointState::Running, 1); endpoints.len()],
                revision: 1,
                set: BTreeMap::from([(1, Instant::now())]),
                knows: vec![0; sidecars],
                heard: Vec::new(),
                down: false,
                texts: BTreeMap::new(),
            }),
            endpoints,
            news: watch::channel(1).0,
            calls: AtomicU64::new(0),
            bytes_in: AtomicU64::new(0),
            bytes_out: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            owners: Mutex::default(),
        });
        for (n, listener) in listeners.into_iter().enumerate() {
            let own = Arc::clone(&discovery);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let own = Arc::clone(&own);
                    tokio::spawn(async move { own.serve(n, Talk::new(stream)).await });
                }
            });
        }
        let own = Arc::clone(&discovery);
        tokio::spawn(async move {
            while let Ok((stream, _)) = resource.accept().await {
                let own = Arc::clone(&own);
                tokio::spawn(async move { own.act(Talk::new(stream)).await });
            }
        });
        Ok(discovery)
    }

    async fn act(&self, mut talk: Talk) {
        while let Ok(Some(call)) = talk.request().await {
            let owner = call
                .header("owner")
                .and_then(|n| n.parse().ok())
                .unwrap_or_default();
            let duty = call.header("duty").unwrap_or_default().to_string();
            held(&self.owners).insert((duty, owner));
            if talk.write(&answer("200 OK", "", "")).await.is_err() {
                return;
            }
        }
    }

    pub fn asked(&self) -> Asked {
        Asked {
            calls: self.calls.load(Relaxed),
            bytes_in: self.bytes_in.load(Relaxed),
            bytes_out: self.bytes_out.load(Relaxed),
            open_watches: self.open.load(Relaxed) as u64,
        }
    }

    /// The revision from which the list says so of them; the newest if nothing changes by it.
    pub fn tell(&self, these: &[usize], mode: EndpointState) -> u64 {
        let mut list = held(&self.list);
        let changed: Vec<usize> = these
            .iter()
            .copied()
            .filter(|n| list.entries[*n].0 != mode)
            .collect();
        if !changed.is_empty() {
            list.revision += 1;
            let revision = list.revision;
            changed
                .into_iter()
                .for_each(|n| list.entries[n] = (mode, revision));
            list.set.insert(revision, Instant::now());
            list.texts.clear();
            self.news.send_replace(revision);
        }
        list.revision
    }

    pub fn down(&self, on: bool) {
        held(&self.list).down = on;
        // Watches wake and see it.
        self.news.send_modify(|_| {});
    }

    pub fn is_down(&self) -> bool {
        held(&self.list).down
    }

    /// What a sidecar that begins anew knows of nothing.
    pub fn forget(&self, n: usize) {
        held(&self.list).knows[n] = 0;
    }

    /// The share of these that have asked from the newest revision.
    pub fn listed(&self, these: &[usize]) -> f64 {
        let list = held(&self.list);
        these
            .iter()
            .filter(|n| list.knows[**n] >= list.revision)
            .count() as f64
            / these.len().max(1) as f64
    }

    /// How long each revision from this instant on took until all of these knew of it; none where one does not.
    pub fn spread(&self, from: Instant, to: Instant, these: &[usize]) -> Vec<Option<Duration>> {
        let list = held(&self.list);
        if these.is_empty() {
            return Vec::new();
        }
        let told = list.set.iter().filter(|(_, at)| (from..to).contains(*at));
        told.map(|(revision, set)| {
            let mut first: BTreeMap<usize, Instant> = BTreeMap::new();
            for (n, _, at) in list
                .heard
                .iter()
                .filter(|(_, heard, at)| heard >= revision && at >= set)
            {
                first.entry(*n).or_insert(*at);
            }
            let all = these.iter().map(|n| first.get(n).map(|at| *at - *set));
            all.collect::<Option<Vec<_>>>()
                .and_then(|all| all.into_iter().max())
        })
        .collect()
    }

    fn text(&self, list: &mut List, from: Option<u64>) -> Arc<String> {
        if let Some(text) = list.texts.get(&from) {
            return Arc::clone(text);
        }
        let newer = |n: &usize| match from {
            Some(from) => list.entries[*n].1 > from,
            None => list.entries[*n].0 != EndpointState::Removed,
        };
        let members: Vec<_> = (0..list.entries.len())
            .filter(newer)
            .map(|n| {
                let phase = match list.entries[n].0 {
                    EndpointState::Running => "up",
                    EndpointState::Draining => "draining",
                    EndpointState::Removed => "removed",
                };
                json!({
                    "id": format!("s{}-e{n}", self.plan.service(n)), "host_port": self.endpoints[n].to_string(),
                    "locality": format!("z{}", self.plan.zone(n)), "flavor": "plain",
                    "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": 0,
                })
            })
            .collect();
        let whole =
            json!({ "revision": list.revision, "complete": from.is_none(), "members": members });
        let text = Arc::new(whole.to_string());
        list.texts.insert(from, Arc::clone(&text));
        text
    }

    async fn crosses(&self, n: usize) {
        while self.wires.parted_from_discovery(n) {
            sleep(LOOK).await;
        }
    }

    async fn serve(&self, n: usize, mut talk: Talk) {
        let way = self.plan.way(0, n);
        while let Ok(Some(message)) = talk.request().await {
            // What is sent into a cut is not here before it is over, and not at all if it was given up by then.
            tokio::select! {
                () = self.crosses(n) => {}
                () = talk.closed() => return,
            }
            sleep(way).await;
            let bytes = size(&message);
            self.calls.fetch_add(1, Relaxed);
            self.bytes_in.fetch_add(bytes as u64, Relaxed);
            self.wires.counters[n].went(LIST, bytes);
            let from = message.target.split_once("?from=").and_then(|(_, query)| {
                let (from, hold) = query.split_once("&hold_ms=")?;
                Some((
                    from.parse::<u64>().ok()?,
                    Duration::from_millis(hold.parse().ok()?),
                ))
            });
            let mut news = self.news.subscribe();
            if let Some((from, hold)) = from {
                {
                    let mut list = held(&self.list);
                    if from > list.knows[n] {
                        list.knows[n] = from;
                        list.heard.push((n, from, Instant::now()));
                    }
                }
                self.open.fetch_add(1, Relaxed);
                let wait = news.wait_for(|newest| *newest > from || self.is_down());
                // Whether it came or not, the answer is what there is by then. Whoever asks may be gone by then.
                tokio::select! {
                    _ = timeout(hold.min(LONGEST_HOLD), wait) => {}
                    () = talk.closed() => {}
                }
                self.open.fetch_sub(1, Relaxed);
            }
            tokio::select! {
                () = self.crosses(n) => {}
                () = talk.closed() => return,
            }
            let said = {
                let mut list = held(&self.list);
                match list.down {
                    true => answer("503 Down", "", ""),
                    false => {
                        let text = self.text(&mut list, from.map(|(from, _)| from));
                        answer("200 OK", "", &text)
                    }
                }
            };
            sleep(way).await;
            self.bytes_out.fetch_add(said.len() as u64, Relaxed);
            self.wires.counters[n].came(LIST, said.len());
            if talk.write(&said).await.is_err() {
                return;
            }
        }
    }
}
