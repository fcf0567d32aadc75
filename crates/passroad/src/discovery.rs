//! Discovery: one watch (a long poll) that is renewed at once. When it breaks, the decision module sets the time of the
//! next call.

use crate::body::RelayBody;
use crate::config::Timings;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::{DiscoveryRequest, EndpointList, parse_list};
use crate::relay::{Dialer, PooledClient};
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

const MAX_LIST_BYTES: usize = 8 << 20;
/// For the answer, in addition to the wait that a watch requests.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The same for a watch that is renewed: no other calls are queued before it.
const RENEWED_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The first watch is short, so that an initial list of a revision that discovery has not reached yet is noticed soon.
const FIRST_HOLD: Duration = Duration::from_secs(1);
const SILENT_WATCH: &str = "a watch fell silent";
const NO_ANSWER: &str = "no answer";
/// The longest wait that a watch requests, however rarely the settings have the list polled. STANDING: a change counts
/// as received 6 s after discovery had it and could be reached. A silent watch is noticed `RENEWED_ANSWER_TIMEOUT`
/// after its end, and the full list is requested then: 2.5 + 1 + 0.1 s, and the answer.
const MAX_HOLD: Duration = Duration::from_millis(2500);
/// How long discovery keeps an idle connection.
const IDLE_CLOSE: Duration = Duration::from_secs(60);
/// Mean pause between calls that return nothing and don't wait.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_SUPERSEDED: usize = 2;
/// Retries of broken calls, each after a retry pause: they use up less than half of the shortest grace for drains.
const MAX_QUICK_RETRIES: u32 = 6;

/// Why a call returned no list.
enum CallError {
    /// Not reachable, or refused.
    Refused(String),
    /// Part of an answer arrived, or may have; its news counts as received.
    Lost(String),
}

/// An open call.
struct PendingCall {
    address: SocketAddr,
    response: BoxFuture<'static, Result<EndpointList, CallError>>,
    /// A watch may fall silent.
    is_watch: bool,
    deadline: Instant,
    started: Instant,
}

impl PendingCall {
    fn start(
        client: &PooledClient,
        address: SocketAddr,
        from: Option<(u64, Duration)>,
        timeout: Duration,
    ) -> Self {
        let (started, wait) = (
            Instant::now(),
            from.map_or(Duration::ZERO, |(_, wait)| wait),
        );
        let response = Box::pin(fetch_list(client.clone(), address, from));
        PendingCall {
            address,
            response,
            is_watch: from.is_some(),
            deadline: started + wait + timeout,
            started,
        }
    }
}

/// The response of an open call, at any time; never if there is none.
async fn response_of(pending: &mut Option<PendingCall>) -> Result<EndpointList, CallError> {
    match pending {
        Some(pending) => pending.response.as_mut().await,
        None => std::future::pending().await,
    }
}

/// The first response of the superseded calls, and of which.
async fn any_superseded_response(
    superseded: &mut [PendingCall],
) -> (Result<EndpointList, CallError>, usize) {
    if superseded.is_empty() {
        return std::future::pending().await;
    }
    let (answer, which, _) = select_all(
        superseded
            .iter_mut()
            .map(|pending| pending.response.as_mut()),
    )
    .await;
    (answer, which)
}

/// Adds a superseded call. The first and the last are kept. Prevents a discovery that handles calls one by one, and
/// receives more than it can, from never recovering: what it answers has to be of use.
fn supersede(superseded: &mut Vec<PendingCall>, call: Option<PendingCall>) {
    if call.is_some() {
        superseded.truncate(MAX_SUPERSEDED - 1);
    }
    superseded.extend(call);
}

/// The response of an open call until its deadline. A response that has arrived is read, however late this process
/// runs.
async fn response_in_time(pending: &mut Option<PendingCall>) -> Result<EndpointList, CallError> {
    let (deadline, is_watch) = match pending {
        Some(pending) => (pending.deadline, pending.is_watch),
        None => return std::future::pending().await,
    };
    tokio::select! {
        biased;
        answer = response_of(pending) => answer,
        () = sleep_until(deadline) => {
            Err(if is_watch {
                CallError::Lost(SILENT_WATCH.into())
            } else {
                CallError::Refused(NO_ANSWER.into())
            })
        }
    }
}

/// Serves the decision module's requests for as long as the sidecar runs.
pub async fn follow(
    dispatcher: Arc<Dispatcher>,
    mut address: watch::Receiver<SocketAddr>,
    timings: watch::Receiver<Timings>,
    mut revision: Option<u64>,
    mut requests: UnboundedReceiver<DiscoveryRequest>,
) {
    let dialer = Dialer::new(ANSWER_TIMEOUT, IDLE_CLOSE, MAX_SUPERSEDED + 2).without_size_limit();
    let mut client = dialer.new_client();
    let (mut watching, mut want_full_list, mut renewing) = (false, false, false);
    let (mut server, mut quick_retries) = (*address.borrow_and_update(), 0);
    let (mut pending, mut superseded): (Option<PendingCall>, Vec<PendingCall>) = (None, Vec::new());
    let mut not_before = Instant::now(); // no call starts before this
    let mut after_silent_watch = false; // the open full-list call follows a silent watch
    loop {
        let may_call = pending.is_none() && (watching || want_full_list);
        if may_call && not_before <= Instant::now() {
            let hold = timings.borrow().poll_hold.clamp(FIRST_HOLD, MAX_HOLD);
            // Without a list there is no revision to watch from.
            let from = revision.filter(|_| !want_full_list);
            let agent = timings
                .borrow()
                .agent_timeout
                .filter(|_| revision.is_some());
            let (wait, timeout) = match from {
                Some(_) if renewing => (hold, RENEWED_ANSWER_TIMEOUT),
                Some(_) => (FIRST_HOLD, ANSWER_TIMEOUT),
                None => (
                    Duration::ZERO,
                    agent.map_or(ANSWER_TIMEOUT, |grace| grace.min(ANSWER_TIMEOUT)),
                ),
            };
            let from = from.map(|from| (from, wait));
            pending = Some(PendingCall::start(&client, server, from, timeout));
        }
        let answer = tokio::select! {
            biased;
            // An open call continues: the news in its answer counts as received from when it is written.
            request = requests.recv() => {
                match request {
                    Some(DiscoveryRequest::Watch(on)) => watching = on,
                    Some(DiscoveryRequest::FullList) => {
                        want_full_list = true;
                        supersede(&mut superseded, pending.take());
                    }
                    None => return,
                }
                continue;
            }
            // A superseded call may have been answered with drains, so it is read until another call is answered.
            (late, which) = any_superseded_response(&mut superseded) => {
                let same_server = superseded.remove(which).address == server;
                match late {
                    // The revision that these changes apply to is no longer known; the full list is requested.
                    Ok(list)
                        if !list.complete
                            && revision.is_none_or(|held| list.revision < held)
                            && same_server => {}
                    Ok(list) => {
                        apply(&dispatcher, &list);
                        // As good as the awaited answer: the watch continues from there.
                        if same_server {
                            (pending, revision) = (None, Some(list.revision));
                            superseded.clear();
                            (watching, want_full_list, renewing, quick_retries) =
                                (true, false, true, 0);
                        }
                    }
                    Err(_) => {}
                }
                continue;
            }
            answer = response_in_time(&mut pending) => answer,
            () = sleep_until(not_before), if may_call && pending.is_none() => continue,
            // Discovery has moved. Its revisions there may differ, so the full list is requested.
            Ok(()) = address.changed() => {
                supersede(&mut superseded, pending.take());
                (client, server, quick_retries) =
                    (dialer.new_client(), *address.borrow_and_update(), 0);
                (watching, want_full_list, renewing, revision) = (true, true, false, None);
                continue;
            }
        };
        let call = pending.take();
        let started = call.as_ref().map_or_else(Instant::now, |call| call.started);
        // Prevents missing drains that count as received: in an answer that broke off, or on a watch that fell silent,
        // as an open connection may. Neither is an answer from discovery, so it is called again at once, over another
        // connection.
        let answer = match answer {
            Err(CallError::Lost(error)) if error == SILENT_WATCH => {
                log::warn!("discovery: {error}; retried at once");
                supersede(&mut superseded, call);
                (want_full_list, renewing, after_silent_watch) = (true, false, true);
                not_before = Instant::now() + retry_pause();
                continue;
            }
            Err(CallError::Lost(error)) if quick_retries < MAX_QUICK_RETRIES => {
                log::warn!("discovery: {error}; retried at once");
                (renewing, quick_retries) = (false, quick_retries + 1);
                not_before = Instant::now() + retry_pause();
                continue;
            }
            // Prevents missing drains that an agent sends when it is back, which count as received then: a silent agent
            // answers no full-list call, but it answers an open watch. So one is always open, or was a moment ago.
            Err(CallError::Refused(error))
                if error == NO_ANSWER
                    && timings.borrow().agent_timeout.is_some()
                    && revision.is_some() =>
            {
                log::warn!("discovery: {error}; watch started again");
                (watching, want_full_list, renewing, after_silent_watch) =
                    (true, false, false, false);
                continue;
            }
            // Prevents missing a change that discovery had when the watch fell silent: after the module's wait behind a
            // second silent call it would arrive 7 s later. Only once, as discovery may be in trouble.
            Err(CallError::Refused(error)) if error == NO_ANSWER && after_silent_watch => {
                log::warn!("discovery: {error} after a watch fell silent; retried at once");
                supersede(&mut superseded, call);
                (want_full_list, renewing, after_silent_watch) = (true, false, false);
                not_before = Instant::now() + retry_pause();
                continue;
            }
            // The quick retries stay used up until discovery answers. Prevents six retries by every sidecar each time
            // the module calls a discovery that only breaks off.
            Err(CallError::Lost(error)) => Err(error),
            Err(CallError::Refused(error)) => {
                quick_retries = 0;
                Err(error)
            }
            Ok(list) => {
                quick_retries = 0;
                Ok(list)
            }
        };
        (want_full_list, renewing, after_silent_watch) = (false, answer.is_ok(), false);
        // Changes older than the list must not be applied: the revision they apply to isn't known, so the full list is
        // next.
        let is_older = |list: &EndpointList| {
            !list.complete && revision.is_some_and(|held| list.revision < held)
        };
        let outdated = answer.as_ref().is_ok_and(is_older);
        match answer {
            Ok(_) if outdated => {
                revision = None;
                watching = false;
                report_failure(&dispatcher, "changes older than the list");
            }
            Ok(list) => {
                superseded.clear();
                revision = Some(list.revision);
                apply(&dispatcher, &list);
                // Prevents a busy loop with a discovery that answers watches at once with nothing.
                if list.entries.is_empty() && started.elapsed() < RETRY_PAUSE {
                    not_before = Instant::now() + retry_pause();
                }
            }
            Err(error) => {
                // A late answer may still come.
                supersede(
                    &mut superseded,
                    call.filter(|call| call.deadline <= Instant::now()),
                );
                watching = false;
                report_failure(&dispatcher, &error);
            }
        }
    }
}

/// `RETRY_PAUSE` with jitter, so that sidecars whose watches broke off at the same moment don't retry in step.
fn retry_pause() -> Duration {
    RETRY_PAUSE / 2 + RETRY_PAUSE.mul_f64(RandomState::new().hash_one(()) as f64 / u64::MAX as f64)
}

fn apply(dispatcher: &Arc<Dispatcher>, list: &EndpointList) {
    let kind = if list.complete {
        ListUpdateKind::Full
    } else {
        ListUpdateKind::Delta
    };
    log::debug!(
        "list {}: {} entries, {kind:?}",
        list.revision,
        list.entries.len()
    );
    dispatcher.apply_list(kind, list);
}

/// Reports a failed call; the module sets the time of the next one.
fn report_failure(dispatcher: &Arc<Dispatcher>, error: &str) {
    log::warn!("discovery: {error}; the previous list stays in force");
    dispatcher.handle_event(Event::ListUpdated {
        kind: ListUpdateKind::Failed,
        entries: Vec::new(),
    });
}

async fn fetch_list(
    client: PooledClient,
    address: SocketAddr,
    from: Option<(u64, Duration)>,
) -> Result<EndpointList, CallError> {
    let query = match from {
        Some((from, hold)) => format!("?from={from}&hold_ms={}", hold.as_millis()),
        None => String::new(),
    };
    let request =
        Request::get(format!("http://{address}/v1/servers{query}")).body(RelayBody::default());
    let request = request.map_err(|e| CallError::Refused(e.to_string()))?;
    let is_refused = |e: &legacy::Error| e.is_connect();
    let classify = |e: legacy::Error| if is_refused(&e) { CallError::Refused } else { CallError::Lost }(e.to_string());
    let response = client.request(request).await.map_err(classify)?;
    if response.status() != StatusCode::OK {
        return Err(CallError::Refused(format!(
            "answered {}",
            response.status()
        )));
    }
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
        .collect()
        .await;
    parse_list(&body.map_err(|e| CallError::Lost(e.to_string()))?.to_bytes())
        .map_err(CallError::Lost)
}
