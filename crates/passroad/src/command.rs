//! The lifecycle of one command, from admission to its final response. The decision module chooses each step.

mod reply;
mod sent_relays;
mod trace;

use self::reply::Reply;
use self::sent_relays::SentRelays;
use self::trace::CommandTrace;
use crate::body::{RelayBody, StreamedUpload};
use crate::dispatcher::{CommandAction, Dispatcher};
use crate::in_flight::InFlightId;
use crate::listener::ClientConnection;
use crate::relay::{self, CommandRequest, ExchangeResult};
use crate::send_guard::SendGuard;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::Response;
use passroad_choice::{CommandArrival, Outcome};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

/// Stands for no time limit while a streamed body is still being received.
const NO_TIME_LIMIT: Duration = Duration::from_secs(86_400);

/// The one final response to a command.
pub enum FinalResponse {
    FromEndpoint(Response<RelayBody>),
    Refused {
        retry_after: Option<Duration>,
    },
    Failed,
    /// No response from an endpoint in time, or the process shuts down.
    DeadlineExceeded,
}

/// What the decision module needs to know of a command.
pub struct CommandParams {
    /// Index of the request class.
    pub class: usize,
    /// Index of the tenant, if it is a configured one.
    pub tenant: Option<usize>,
    /// Time for the command as the decision module plans with it.
    pub budget: Duration,
    /// Time until the final response is sent, whatever the module decides.
    pub time_limit: Duration,
    pub is_retry: bool,
    /// Its class is safe to repeat.
    pub may_run_twice: bool,
    /// Hash of the subject that endpoints keep state for, if the command names one.
    pub key: Option<u64>,
    pub client: Arc<ClientConnection>,
}

/// Runs a command: admits it, carries out what the module decides and sends one final response to `responder`. A dropped
/// receiver means that the client has closed its connection. Returns when the module has released the command. `claim` is held for
/// longer if the command may still run: its id must not be sent once more.
pub async fn run(
    dispatcher: Arc<Dispatcher>,
    params: CommandParams,
    request: CommandRequest,
    claim: InFlightId,
    responder: oneshot::Sender<FinalResponse>,
) {
    let (request, mut reply) = (Arc::new(request), Reply::new(responder));
    let mut trace = CommandTrace::new(&request.id);
    // With a streamed body the time limit starts once the body is complete.
    let mut upload = request.upload().cloned();
    let mut limit = std::pin::pin!(sleep(if upload.is_some() {
        NO_TIME_LIMIT
    } else {
        params.time_limit
    }));
    let mut handle = dispatcher.admit(|command| CommandArrival {
        command,
        class: params.class,
        tenant: params.tenant,
        key: params.key,
        budget: params.budget,
        work: None,
        is_retry: params.is_retry,
        is_write: false,
        weight_set: 0,
        body_pending: upload.is_some(),
    });
    let (mut relays, mut cancels) = (FuturesUnordered::new(), Vec::new());
    let mut sent_relays = SentRelays::default();
    loop {
        tokio::select! {
            biased;
            action = handle.next_action() => match action {
                // The module has released the command, so no relay of it is open any more.
                None => break,
                Some(CommandAction::Relay { pool, timeout, send_by }) => {
                    let (cancel, cancelled) = oneshot::channel();
                    cancels.push(Some(cancel));
                    let (relay, started, request) = (handle.latest_relay(), Instant::now(), Arc::clone(&request));
                    let left = limit.deadline().saturating_duration_since(started);
                    let timeout = if upload.is_some() { params.budget } else { timeout.min(left) };
                    let send_by = upload.is_none().then(|| (started + timeout.min(send_by)).into());
                    let guard = SendGuard::new(handle.ended.clone(), pool.invalidated.clone(), send_by, Arc::clone(&params.client));
                    let guard = Arc::new(guard);
                    let progress = handle.latest_relay_progress();
                    sent_relays.add(&guard);
                    trace.relay_ordered(relay, pool.address, timeout);
                    // Boxed: the set holds a spare slot of the size of its futures.
                    relays.push(Box::pin(async move {
                        let result = relay::run(*pool, Arc::clone(&request), Arc::clone(&guard), timeout, progress, cancelled).await;
                        let completed = request.upload().and_then(|upload| upload.completed_at());
                        (
                            relay,
                            result,
                            completed.map_or(started, |completed| started.max(completed)).elapsed(),
                            guard.client_left(),
                        )
                    }));
                }
                Some(CommandAction::CancelRelay { relay }) => {
                    // Dropping the sender ends the relay's future, which closes its connection.
                    cancels.get_mut(relay).and_then(Option::take);
                }
                Some(CommandAction::Refuse { retry_after }) => {
                    reply.send(FinalResponse::Refused { retry_after }, &trace);
                }
                Some(CommandAction::Fail) => reply.send(FinalResponse::Failed, &trace),
                Some(CommandAction::Expire) => {
                    reply.send(FinalResponse::DeadlineExceeded, &trace);
                    handle.abandon();
                }
            },
            Some((relay, result, elapsed, found_closed)) = relays.next() => {
                trace.relay_ended(relay, result.outcome, elapsed);
                if found_closed && reply.is_pending() {
                    reply.give_up(&trace);
                    handle.abandon();
                }
                sent_relays.record(relay, result.outcome);
                if is_partly_sent(&request) {
                    handle.body_not_replayable();
                }
                let won = reply.is_pending() && result.outcome == Outcome::Answered;
                handle.relay_finished(relay, &result, elapsed, won || !reply.is_pending());
                if let (true, ExchangeResult { response: Some(response), .. }) = (won, result) {
                    reply.send(FinalResponse::FromEndpoint(response), &trace);
                }
            }
            () = upload_completed(&upload), if upload.is_some() => {
                let waiting_since = upload.take().and_then(|upload| upload.completed_at());
                let waiting_since = waiting_since.unwrap_or_else(Instant::now);
                limit.as_mut().reset(waiting_since + params.time_limit);
                if is_partly_sent(&request) {
                    handle.body_not_replayable();
                }
                handle.body_complete();
            }
            // Prevents a response that comes late because the endpoint was slow to read the body. It never had all of it.
            () = upload_overdue(&upload, params.time_limit), if upload.is_some() => {
                if upload.take().is_some_and(|upload| upload.stop_sending()) {
                    reply.send(FinalResponse::Refused { retry_after: None }, &trace);
                    handle.abandon();
                }
            }
            () = reply.client_closed(), if reply.is_pending() => {
                reply.give_up(&trace);
                handle.abandon();
            }
            // Prevents a command from going without a response in time, whatever else went wrong.
            () = &mut limit, if reply.is_pending() => {
                reply.send(FinalResponse::DeadlineExceeded, &trace);
                handle.abandon();
            }
        }
    }
    // Prevents an effect twice: the client has left without a response, and may send the command once more by the same id.
    if reply.client_left() && !params.may_run_twice && sent_relays.may_run() {
        claim.release_after(params.time_limit);
    }
}

/// Whether a part of a streamed body has been sent, so that no other relay can be given the whole.
fn is_partly_sent(request: &CommandRequest) -> bool {
    request
        .upload()
        .is_some_and(|upload| upload.is_partly_sent())
}

/// Completes when a streamed body has been received completely.
async fn upload_completed(upload: &Option<Arc<StreamedUpload>>) {
    match upload {
        Some(upload) => upload.completed().await,
        None => std::future::pending().await,
    }
}

/// Completes when a streamed body hasn't been passed on in time.
async fn upload_overdue(upload: &Option<Arc<StreamedUpload>>, limit: Duration) {
    match upload {
        Some(upload) => upload.overdue(limit).await,
        None => std::future::pending().await,
    }
}
