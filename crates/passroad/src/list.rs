//! Discovery: one watch, renewed at once; when it breaks the module says when to call again.

use crate::desk::Desk;
use crate::relay::{Client, Dialer};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use passroad_choice::{Event, ListKind, Mode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const LONGEST_LIST: usize = 8 << 20; // bytes
const GRACE: Duration = Duration::from_secs(2); // on top of the wait that a watch asks for
/// Guards against a known list of a revision that discovery has not come to: the first wait soon tells.
const FIRST_HOLD: Duration = Duration::from_secs(1);
const LONGEST_HOLD: Duration = Duration::from_secs(60); // that a watch may ask for
const BREATH: Duration = Duration::from_millis(50); // between calls that bring nothing and don't wait

#[derive(Deserialize, Debug, Default)]
pub struct List {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
}

#[derive(Deserialize, Debug)]
pub struct Member {
    pub id: String,
    pub host_port: Option<SocketAddr>,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: usize,
    pub phase: Phase,
    #[serde(default = "usual_size")]
    pub size: f64,
    #[serde(default)]
    pub up_since_ms: u64,
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Up,
    Draining,
    Removed,
}

fn usual_size() -> f64 {
    1.0
}

impl Member {
    pub fn mode(&self) -> Mode {
        match self.phase {
            Phase::Up => Mode::Running,
            Phase::Draining => Mode::Stopping,
            Phase::Removed => Mode::Deleted,
        }
    }
}

/// What the module asks of discovery.
#[derive(Debug, PartialEq)]
pub enum Call {
    Watch(bool),
    Whole,
}

pub fn read(bytes: &[u8]) -> Result<List, String> {
    let list: List = serde_json::from_slice(bytes).map_err(|e| format!("malformed list: {e}"))?;
    match list.members.iter().find(|m| m.phase == Phase::Up && m.host_port.is_none()) {
        Some(lost) => Err(format!("malformed list: {} is up without an address", lost.id)),
        None => Ok(list),
    }
}

/// Serves the module's calls for as long as the sidecar runs.
pub async fn follow(
    desk: Arc<Desk>,
    mut at: watch::Receiver<SocketAddr>,
    hold: Duration,
    mut revision: Option<u64>,
    mut calls: UnboundedReceiver<Call>,
) {
    let dialer = Dialer::new(GRACE, LONGEST_HOLD, 4).unbounded();
    let mut client = dialer.client();
    let hold = hold.clamp(Duration::from_secs(1), LONGEST_HOLD);
    let (mut watching, mut whole, mut sure) = (false, false, false);
    loop {
        // Without a list there is nothing to watch from.
        let wait = if sure { hold } else { FIRST_HOLD };
        let from = revision.filter(|_| !whole).map(|from| (from, wait));
        let (began, discovery) = (tokio::time::Instant::now(), *at.borrow_and_update());
        let answer = tokio::select! {
            biased;
            call = calls.recv() => {
                match call {
                    Some(Call::Watch(on)) => watching = on,
                    Some(Call::Whole) => whole = true,
                    None => return,
                }
                continue;
            }
            // Guards against a list that stays behind where discovery has moved: its revisions there may be any, and
            // neither the call that is out nor the connection it is on has anything more to tell.
            Ok(()) = at.changed() => {
                client = dialer.client();
                (watching, whole, sure, revision) = (true, true, false, None);
                continue;
            }
            answer = ask(&client, discovery, from), if watching || whole => answer,
        };
        whole = false;
        sure = answer.is_ok();
        // Guards against old news taken for new: from where it belongs is not known, so all is asked for next.
        let older = |list: &List| !list.complete && revision.is_some_and(|held| list.revision < held);
        let old = answer.as_ref().is_ok_and(older);
        match answer {
            Ok(_) if old => {
                revision = None;
                watching = false;
                refused(&desk, "changes older than the list");
            }
            Ok(list) => {
                let kind = if list.complete { ListKind::All } else { ListKind::Changes };
                revision = Some(list.revision);
                let told = !list.members.is_empty();
                log::debug!("list {}: {} entries, {kind:?}", list.revision, list.members.len());
                desk.listed(kind, &list);
                // Guards against a discovery that answers watches at once with nothing: no busy loop.
                if !told && began.elapsed() < BREATH {
                    sleep(BREATH).await;
                }
            }
            Err(fault) => {
                watching = false;
                refused(&desk, &fault);
            }
        }
    }
}

/// The module says when to call again.
fn refused(desk: &Arc<Desk>, fault: &str) {
    log::warn!("discovery: {fault}; the list before stays in force");
    desk.tell(Event::Listed { kind: ListKind::Refused, entries: Vec::new() });
}

async fn ask(client: &Client, at: SocketAddr, from: Option<(u64, Duration)>) -> Result<List, String> {
    let (query, wait) = match from {
        Some((from, hold)) => (format!("?from={from}&hold_ms={}", hold.as_millis()), hold),
        None => (String::new(), Duration::ZERO),
    };
    let request = Request::get(format!("http://{at}/v1/servers{query}")).body(Full::default());
    let call = async {
        let answer = client.request(request.map_err(|e| e.to_string())?).await.map_err(|e| e.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("answered {}", answer.status()));
        }
        let body = Limited::new(answer.into_body(), LONGEST_LIST).collect().await;
        read(&body.map_err(|e| e.to_string())?.to_bytes())
    };
    timeout(wait + GRACE, call).await.map_err(|_| "no answer".to_string())?
}
