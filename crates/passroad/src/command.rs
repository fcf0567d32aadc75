//! The life of one command, top to bottom; the module decides at each turn.

use crate::body::{RelayBody, StreamedUpload};
use crate::desk::{Desk, Order};
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

const LATER: Duration = Duration::from_secs(86_400);

/// The one final answer to a command.
pub enum FinalResponse {
    FromEndpoint(Response<RelayBody>),
    Refused { retry_after: Option<Duration> },
    Failed,
    DeadlineExceeded,
}

/// What the decisions need of a command.
pub struct CommandParams {
    pub class: usize,
    pub tenant: Option<usize>,
    pub budget: Duration,
    pub time_limit: Duration, // when the answer must be there, whatever the module says
    pub is_retry: bool,
    pub key: Option<u64>,
    pub client: Arc<ClientConnection>,
}

pub async fn run(
    desk: Arc<Desk>,
    need: CommandParams,
    cargo: CommandRequest,
    front: oneshot::Sender<FinalResponse>,
) {
    let (cargo, mut front) = (Arc::new(cargo), Some(front));
    // Of a long body the time runs from when all of it has come.
    let mut upload = cargo.upload().cloned();
    let mut limit = std::pin::pin!(sleep(if upload.is_some() {
        LATER
    } else {
        need.time_limit
    }));
    let mut seat = desk.admit(|cmd| CommandArrival {
        command: cmd,
        class: need.class,
        tenant: need.tenant,
        key: need.key,
        budget: need.budget,
        work: None,
        is_retry: need.is_retry,
        is_write: false,
        weight_set: 0,
        body_pending: upload.is_some(),
    });
    let (mut relays, mut recalls) = (FuturesUnordered::new(), Vec::new());
    loop {
        tokio::select! {
            biased;
            order = seat.order() => match order {
                // Its module has forgotten the command: nothing of it is out any more.
                None => return,
                Some(Order::Relay { link, within, begin }) => {
                    let (recall, recalled) = oneshot::channel();
                    recalls.push(Some(recall));
                    let (n, began, cargo) = (seat.newest(), Instant::now(), Arc::clone(&cargo));
                    let left = limit.deadline().saturating_duration_since(began);
                    let within = if upload.is_some() { need.budget } else { within.min(left) };
                    let until = upload.is_none().then(|| (began + within.min(begin)).into());
                    let look = SendGuard::new(seat.over.clone(), link.invalidated.clone(), until, Arc::clone(&need.client));
                    let look = Arc::new(look);
                    relays.push(async move {
                        let ended = relay::run(*link, Arc::clone(&cargo), Arc::clone(&look), within, recalled).await;
                        let since = cargo.upload().and_then(|upload| upload.completed_at());
                        (n, ended, since.map_or(began, |since| began.max(since)).elapsed(), look.client_left())
                    });
                }
                Some(Order::Recall { relay }) => {
                    // The relay's future sees it and closes its connection.
                    recalls.get_mut(relay).and_then(Option::take);
                }
                Some(Order::Decline { not_before }) => answer(&mut front, FinalResponse::Refused { retry_after: not_before }),
                Some(Order::Terminate) => answer(&mut front, FinalResponse::Failed),
                Some(Order::OutOfTime) => {
                    answer(&mut front, FinalResponse::DeadlineExceeded);
                    seat.lapsed();
                }
            },
            Some((n, ended, spent, left)) = relays.next() => {
                if left && front.take().is_some() {
                    seat.lapsed();
                }
                if cargo.upload().is_some_and(|upload| upload.is_partly_sent()) {
                    seat.spent();
                }
                let won = front.is_some() && ended.outcome == Outcome::Answered;
                seat.finished(n, &ended, spent, won || front.is_none());
                if let (true, ExchangeResult { response: Some(body), .. }) = (won, ended) {
                    answer(&mut front, FinalResponse::FromEndpoint(body));
                }
            }
            () = whole(&upload), if upload.is_some() => {
                upload = None;
                limit.as_mut().reset(Instant::now() + need.time_limit);
                seat.whole();
            }
            () = gone(&mut front), if front.is_some() => {
                front = None;
                seat.lapsed();
            }
            // Guards against a command without an answer in time, whatever else went wrong.
            () = &mut limit, if front.is_some() => {
                answer(&mut front, FinalResponse::DeadlineExceeded);
                seat.lapsed();
            }
        }
    }
}

fn answer(front: &mut Option<oneshot::Sender<FinalResponse>>, answer: FinalResponse) {
    if let Some(front) = front.take() {
        let _ = front.send(answer);
    }
}

/// Ends when all of a long body has come.
async fn whole(upload: &Option<Arc<StreamedUpload>>) {
    match upload {
        Some(upload) => upload.completed().await,
        None => std::future::pending().await,
    }
}

/// Ends when the client has closed its connection.
async fn gone(front: &mut Option<oneshot::Sender<FinalResponse>>) {
    match front {
        Some(front) => front.closed().await,
        None => std::future::pending().await,
    }
}
