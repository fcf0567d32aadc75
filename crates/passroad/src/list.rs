//! Discovery: one watch, renewed at once; when it breaks the module says when to call again.

use crate::body::Load;
use crate::desk::Desk;
use crate::members::{Call, List, read};
use crate::relay::{Client, Dialer};
use crate::start::Pace;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy;
use passroad_choice::{Event, ListKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const LONGEST_LIST: usize = 8 << 20; // bytes
const GRACE: Duration = Duration::from_secs(2); // for the answer, on top of the wait that a watch asks for
const RENEWED_GRACE: Duration = Duration::from_secs(1); // the same where a watch goes on: no queue lies ahead of it
/// Guards against a known list of a revision that discovery has not come to: the first wait soon tells.
const FIRST_HOLD: Duration = Duration::from_secs(1);
const SILENT: &str = "a watch fell silent";
const LONGEST_HOLD: Duration = Duration::from_secs(60); // that a watch may ask for
const BREATH: Duration = Duration::from_millis(50); // between calls that bring nothing and don't wait
/// Calls that broke off, asked again a breath apart: half of the shortest grace for drains is not used up by them.
const MOST_AGAIN: u32 = 6;

/// Why a call brought no list.
enum Fault {
    /// Nobody there, or turned away.
    Refused(String),
    /// Something came or may have; what it had to tell counts as told.
    Lost(String),
}

/// Serves the module's calls for as long as the sidecar runs.
pub async fn follow(
    desk: Arc<Desk>,
    mut at: watch::Receiver<SocketAddr>,
    paces: watch::Receiver<Pace>,
    mut revision: Option<u64>,
    mut calls: UnboundedReceiver<Call>,
) {
    let dialer = Dialer::new(GRACE, LONGEST_HOLD, 4).unbounded();
    let mut client = dialer.client();
    let (mut watching, mut whole, mut sure) = (false, false, false);
    let (mut discovery, mut again) = (*at.borrow_and_update(), 0);
    loop {
        let hold = paces.borrow().hold.clamp(FIRST_HOLD, LONGEST_HOLD);
        // Without a list there is nothing to watch from.
        let (wait, grace) = if sure && !whole { (hold, RENEWED_GRACE) } else { (FIRST_HOLD, GRACE) };
        let from = revision.filter(|_| !whole).map(|from| (from, wait));
        let began = tokio::time::Instant::now();
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
                (client, discovery, again) = (dialer.client(), *at.borrow_and_update(), 0);
                (watching, whole, sure, revision) = (true, true, false, None);
                continue;
            }
            answer = ask(&client, discovery, from, grace), if watching || whole => answer,
        };
        // Guards against drains that count as told and were not heard: of an answer that broke off, and of a watch that
        // fell silent, as an open connection may. Neither is discovery's word, so it is asked at once, over another.
        let answer = match answer {
            Err(Fault::Lost(fault)) if again < MOST_AGAIN => {
                log::warn!("discovery: {fault}; asked again at once");
                (whole, sure, again) = (whole || fault == SILENT, false, again + 1);
                sleep(BREATH).await;
                continue;
            }
            Err(Fault::Lost(fault) | Fault::Refused(fault)) => Err(fault),
            Ok(list) => Ok(list),
        };
        (whole, sure, again) = (false, answer.is_ok(), 0);
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

async fn ask(
    client: &Client,
    at: SocketAddr,
    from: Option<(u64, Duration)>,
    grace: Duration,
) -> Result<List, Fault> {
    let (query, wait) = match from {
        Some((from, hold)) => (format!("?from={from}&hold_ms={}", hold.as_millis()), hold),
        None => (String::new(), Duration::ZERO),
    };
    let request = Request::get(format!("http://{at}/v1/servers{query}")).body(Load::default());
    let call = async {
        let request = request.map_err(|e| Fault::Refused(e.to_string()))?;
        let refused = |e: &legacy::Error| e.is_connect();
        let fault = |e: legacy::Error| if refused(&e) { Fault::Refused } else { Fault::Lost }(e.to_string());
        let answer = client.request(request).await.map_err(fault)?;
        if answer.status() != StatusCode::OK {
            return Err(Fault::Refused(format!("answered {}", answer.status())));
        }
        let body = Limited::new(answer.into_body(), LONGEST_LIST).collect().await;
        read(&body.map_err(|e| Fault::Lost(e.to_string()))?.to_bytes()).map_err(Fault::Lost)
    };
    let late =
        || if from.is_some() { Fault::Lost(SILENT.into()) } else { Fault::Refused("no answer".into()) };
    timeout(wait + grace, call).await.unwrap_or_else(|_| Err(late()))
}
