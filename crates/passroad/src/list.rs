//! Discovery: one watch, renewed at once; when it breaks the module says when to call again.

use crate::body::RelayBody;
use crate::desk::Desk;
use crate::members::{Call, List, read};
use crate::relay::{Dialer, PooledClient};
use crate::start::Pace;
use futures_util::future::{BoxFuture, select_all};
use http_body_util::{BodyExt, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy;
use passroad_choice::{Event, ListUpdateKind};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

const LONGEST_LIST: usize = 8 << 20; // bytes
const GRACE: Duration = Duration::from_secs(2); // for the answer, on top of the wait that a watch asks for
const RENEWED_GRACE: Duration = Duration::from_secs(1); // the same where a watch goes on: no queue lies ahead of it
/// Guards against a known list of a revision that discovery has not come to: the first wait soon tells.
const FIRST_HOLD: Duration = Duration::from_secs(1);
const SILENT: &str = "a watch fell silent";
const NO_ANSWER: &str = "no answer";
/// That a watch may ask for, however long the settings let a list go unasked for. STANDING: a change counts as told 6 s after
/// discovery had it and could be reached. A silent watch is found out `RENEWED_GRACE` after its end, and the whole list is
/// asked for: 2.5 + 1 + 0.1 s, and the answer.
const LONGEST_HOLD: Duration = Duration::from_millis(2500);
const KEPT: Duration = Duration::from_secs(60); // how long discovery keeps an idle connection
const BREATH: Duration = Duration::from_millis(50); // between calls that bring nothing and don't wait, in the mean
const MOST_OVERTAKEN: usize = 2;
/// Calls that broke off, asked again a breath apart: half of the shortest grace for drains is not used up by them.
const MOST_AGAIN: u32 = 6;

/// Why a call brought no list.
enum Fault {
    /// Nobody there, or turned away.
    Refused(String),
    /// Something came or may have; what it had to tell counts as told.
    Lost(String),
}

/// A call that is out.
struct Out {
    at: SocketAddr,
    answer: BoxFuture<'static, Result<List, Fault>>,
    /// It is a watch, which may fall silent.
    waits: bool,
    until: Instant,
    began: Instant,
}

impl Out {
    fn ask(
        client: &PooledClient,
        at: SocketAddr,
        from: Option<(u64, Duration)>,
        grace: Duration,
    ) -> Self {
        let (began, wait) = (
            Instant::now(),
            from.map_or(Duration::ZERO, |(_, wait)| wait),
        );
        let answer = Box::pin(ask(client.clone(), at, from));
        Out {
            at,
            answer,
            waits: from.is_some(),
            until: began + wait + grace,
            began,
        }
    }
}

/// What a call brings, whenever that is; never if none is out.
async fn brings(out: &mut Option<Out>) -> Result<List, Fault> {
    match out {
        Some(out) => out.answer.as_mut().await,
        None => std::future::pending().await,
    }
}

/// The same of the calls that were given up, and which.
async fn any_brings(overtaken: &mut [Out]) -> (Result<List, Fault>, usize) {
    if overtaken.is_empty() {
        return std::future::pending().await;
    }
    let (answer, which, _) = select_all(overtaken.iter_mut().map(|out| out.answer.as_mut())).await;
    (answer, which)
}

/// One more that was given up. The first is kept, and the last. Guards against a discovery that works through calls in turn
/// and has more of them than it can do in the time of one: what it answers has to be of use, or it never comes up.
fn overtake(overtaken: &mut Vec<Out>, call: Option<Out>) {
    if call.is_some() {
        overtaken.truncate(MOST_OVERTAKEN - 1);
    }
    overtaken.extend(call);
}

/// The same in time. An answer that is there is read, however late the process comes to look.
async fn answers(out: &mut Option<Out>) -> Result<List, Fault> {
    let (until, waits) = match out {
        Some(out) => (out.until, out.waits),
        None => return std::future::pending().await,
    };
    tokio::select! {
        biased;
        answer = brings(out) => answer,
        () = sleep_until(until) => {
            Err(if waits { Fault::Lost(SILENT.into()) } else { Fault::Refused(NO_ANSWER.into()) })
        }
    }
}

/// Serves the module's calls for as long as the sidecar runs.
pub async fn follow(
    desk: Arc<Desk>,
    mut at: watch::Receiver<SocketAddr>,
    paces: watch::Receiver<Pace>,
    mut revision: Option<u64>,
    mut calls: UnboundedReceiver<Call>,
) {
    let dialer = Dialer::new(GRACE, KEPT, MOST_OVERTAKEN + 2).without_size_limit();
    let mut client = dialer.new_client();
    let (mut watching, mut whole, mut sure) = (false, false, false);
    let (mut discovery, mut again) = (*at.borrow_and_update(), 0);
    let (mut out, mut overtaken): (Option<Out>, Vec<Out>) = (None, Vec::new());
    let mut rests = Instant::now(); // no call goes out before
    let mut silent = false; // the whole call that is out follows a watch that fell silent
    loop {
        let calls_next = out.is_none() && (watching || whole);
        if calls_next && rests <= Instant::now() {
            let hold = paces.borrow().hold.clamp(FIRST_HOLD, LONGEST_HOLD);
            // Without a list there is nothing to watch from.
            let from = revision.filter(|_| !whole);
            let agent = paces.borrow().agent.filter(|_| revision.is_some());
            let (wait, grace) = match from {
                Some(_) if sure => (hold, RENEWED_GRACE),
                Some(_) => (FIRST_HOLD, GRACE),
                None => (
                    Duration::ZERO,
                    agent.map_or(GRACE, |grace| grace.min(GRACE)),
                ),
            };
            let from = from.map(|from| (from, wait));
            out = Some(Out::ask(&client, discovery, from, grace));
        }
        let answer = tokio::select! {
            biased;
            // A call that is out goes on: what its answer has to tell counts as told from when it is written.
            call = calls.recv() => {
                match call {
                    Some(Call::Watch(on)) => watching = on,
                    Some(Call::Whole) => {
                        whole = true;
                        overtake(&mut overtaken, out.take());
                    }
                    None => return,
                }
                continue;
            }
            // Guards against drains that an overtaken call was told of: until another has answered, it is heard.
            (late, which) = any_brings(&mut overtaken) => {
                let here = overtaken.remove(which).at == discovery;
                match late {
                    // From where these changes belong is known no more, and all is asked for.
                    Ok(list) if !list.complete && revision.is_none_or(|held| list.revision < held) && here => {}
                    Ok(list) => {
                        take(&desk, &list);
                        // It is as good as the answer that is awaited: the watch goes on from there.
                        if here {
                            (out, revision) = (None, Some(list.revision));
                            overtaken.clear();
                            (watching, whole, sure, again) = (true, false, true, 0);
                        }
                    }
                    Err(_) => {}
                }
                continue;
            }
            answer = answers(&mut out) => answer,
            () = sleep_until(rests), if calls_next && out.is_none() => continue,
            // Guards against a list that stays behind where discovery has moved: its revisions there may be any.
            Ok(()) = at.changed() => {
                overtake(&mut overtaken, out.take());
                (client, discovery, again) = (dialer.new_client(), *at.borrow_and_update(), 0);
                (watching, whole, sure, revision) = (true, true, false, None);
                continue;
            }
        };
        let call = out.take();
        let began = call.as_ref().map_or_else(Instant::now, |call| call.began);
        // Guards against drains that count as told and were not heard: of an answer that broke off, and of a watch that
        // fell silent, as an open connection may. Neither is discovery's word, so it is asked at once, over another.
        let answer = match answer {
            Err(Fault::Lost(fault)) if fault == SILENT => {
                log::warn!("discovery: {fault}; asked again at once");
                overtake(&mut overtaken, call);
                (whole, sure, silent) = (true, false, true);
                rests = Instant::now() + breath();
                continue;
            }
            Err(Fault::Lost(fault)) if again < MOST_AGAIN => {
                log::warn!("discovery: {fault}; asked again at once");
                (sure, again) = (false, again + 1);
                rests = Instant::now() + breath();
                continue;
            }
            // Guards against drains that an agent tells when it is back, and that count as told then: an agent that was
            // silent answers no whole call, but a watch that is out. So one always is, or was a moment before.
            Err(Fault::Refused(fault))
                if fault == NO_ANSWER && paces.borrow().agent.is_some() && revision.is_some() =>
            {
                log::warn!("discovery: {fault}; watched again");
                (watching, whole, sure, silent) = (true, false, false, false);
                continue;
            }
            // Guards against a change that discovery had when the watch fell silent: with the module's wait behind a second
            // silent call it would be heard 7 s later. Once only, as discovery may be in trouble.
            Err(Fault::Refused(fault)) if fault == NO_ANSWER && silent => {
                log::warn!(
                    "discovery: {fault} behind a watch that fell silent; asked again at once"
                );
                overtake(&mut overtaken, call);
                (whole, sure, silent) = (true, false, false);
                rests = Instant::now() + breath();
                continue;
            }
            // Guards against six quick repeats by every sidecar each time that the module calls a discovery that only
            // breaks off: they are used up until it has said something.
            Err(Fault::Lost(fault)) => Err(fault),
            Err(Fault::Refused(fault)) => {
                again = 0;
                Err(fault)
            }
            Ok(list) => {
                again = 0;
                Ok(list)
            }
        };
        (whole, sure, silent) = (false, answer.is_ok(), false);
        // Guards against old news taken for new: from where it belongs is not known, so all is asked for next.
        let older =
            |list: &List| !list.complete && revision.is_some_and(|held| list.revision < held);
        let old = answer.as_ref().is_ok_and(older);
        match answer {
            Ok(_) if old => {
                revision = None;
                watching = false;
                refused(&desk, "changes older than the list");
            }
            Ok(list) => {
                overtaken.clear();
                revision = Some(list.revision);
                take(&desk, &list);
                // Guards against a discovery that answers watches at once with nothing: no busy loop.
                if list.members.is_empty() && began.elapsed() < BREATH {
                    rests = Instant::now() + breath();
                }
            }
            Err(fault) => {
                // One that was only late may come yet.
                overtake(
                    &mut overtaken,
                    call.filter(|call| call.until <= Instant::now()),
                );
                watching = false;
                refused(&desk, &fault);
            }
        }
    }
}

/// `BREATH` with jitter. Guards against sidecars whose watches broke off at one moment and that call again in step.
fn breath() -> Duration {
    BREATH / 2 + BREATH.mul_f64(RandomState::new().hash_one(()) as f64 / u64::MAX as f64)
}

fn take(desk: &Arc<Desk>, list: &List) {
    let kind = if list.complete {
        ListUpdateKind::Full
    } else {
        ListUpdateKind::Delta
    };
    log::debug!(
        "list {}: {} entries, {kind:?}",
        list.revision,
        list.members.len()
    );
    desk.listed(kind, list);
}

/// The module says when to call again.
fn refused(desk: &Arc<Desk>, fault: &str) {
    log::warn!("discovery: {fault}; the list before stays in force");
    desk.tell(Event::ListUpdated {
        kind: ListUpdateKind::Failed,
        entries: Vec::new(),
    });
}

async fn ask(
    client: PooledClient,
    at: SocketAddr,
    from: Option<(u64, Duration)>,
) -> Result<List, Fault> {
    let query = match from {
        Some((from, hold)) => format!("?from={from}&hold_ms={}", hold.as_millis()),
        None => String::new(),
    };
    let request = Request::get(format!("http://{at}/v1/servers{query}")).body(RelayBody::default());
    let request = request.map_err(|e| Fault::Refused(e.to_string()))?;
    let refused = |e: &legacy::Error| e.is_connect();
    let fault = |e: legacy::Error| if refused(&e) { Fault::Refused } else { Fault::Lost }(e.to_string());
    let answer = client.request(request).await.map_err(fault)?;
    if answer.status() != StatusCode::OK {
        return Err(Fault::Refused(format!("answered {}", answer.status())));
    }
    let body = Limited::new(answer.into_body(), LONGEST_LIST)
        .collect()
        .await;
    read(&body.map_err(|e| Fault::Lost(e.to_string()))?.to_bytes()).map_err(Fault::Lost)
}
