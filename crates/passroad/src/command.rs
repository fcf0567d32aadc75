//! The life of one command, top to bottom; the module decides at each turn.

use crate::body::{Coming, Load};
use crate::desk::{Desk, Order};
use crate::front::Talk;
use crate::look::Look;
use crate::relay::{self, Cargo, Ended};
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::Response;
use passroad_choice::{CommandArrival, Outcome};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

const LATER: Duration = Duration::from_secs(86_400);

/// The one final answer to a command.
pub enum Answer {
    Answered(Response<Load>),
    Declined { not_before: Option<Duration> },
    Terminated,
    OutOfTime,
}

/// What the decisions need of a command.
pub struct Need {
    pub verb: usize,
    pub company: Option<usize>,
    pub budget: Duration,
    pub last: Duration, // when the answer must be there, whatever the module says
    pub again: bool,
    pub key: Option<u64>,
    pub client: Arc<Talk>,
}

pub async fn run(desk: Arc<Desk>, need: Need, cargo: Cargo, front: oneshot::Sender<Answer>) {
    let (cargo, mut front) = (Arc::new(cargo), Some(front));
    // Of a long body the time runs from when all of it has come.
    let mut coming = cargo.coming().cloned();
    let mut limit = std::pin::pin!(sleep(if coming.is_some() { LATER } else { need.last }));
    let mut seat = desk.admit(|cmd| CommandArrival {
        command: cmd,
        class: need.verb,
        tenant: need.company,
        key: need.key,
        budget: need.budget,
        work: None,
        is_retry: need.again,
        is_write: false,
        weight_set: 0,
        body_pending: coming.is_some(),
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
                    let within = if coming.is_some() { need.budget } else { within.min(left) };
                    let until = coming.is_none().then(|| (began + within.min(begin)).into());
                    let look = Look::new(seat.over.clone(), link.out.clone(), until, Arc::clone(&need.client));
                    let look = Arc::new(look);
                    relays.push(async move {
                        let ended = relay::run(*link, Arc::clone(&cargo), Arc::clone(&look), within, recalled).await;
                        let since = cargo.coming().and_then(|coming| coming.since());
                        (n, ended, since.map_or(began, |since| began.max(since)).elapsed(), look.left())
                    });
                }
                Some(Order::Recall { relay }) => {
                    // The relay's future sees it and closes its connection.
                    recalls.get_mut(relay).and_then(Option::take);
                }
                Some(Order::Decline { not_before }) => answer(&mut front, Answer::Declined { not_before }),
                Some(Order::Terminate) => answer(&mut front, Answer::Terminated),
                Some(Order::OutOfTime) => {
                    answer(&mut front, Answer::OutOfTime);
                    seat.lapsed();
                }
            },
            Some((n, ended, spent, left)) = relays.next() => {
                if left && front.take().is_some() {
                    seat.lapsed();
                }
                if cargo.coming().is_some_and(|coming| coming.spent()) {
                    seat.spent();
                }
                let won = front.is_some() && ended.outcome == Outcome::Answered;
                seat.finished(n, &ended, spent, won || front.is_none());
                if let (true, Ended { answer: Some(body), .. }) = (won, ended) {
                    answer(&mut front, Answer::Answered(body));
                }
            }
            () = whole(&coming), if coming.is_some() => {
                coming = None;
                limit.as_mut().reset(Instant::now() + need.last);
                seat.whole();
            }
            () = gone(&mut front), if front.is_some() => {
                front = None;
                seat.lapsed();
            }
            // Guards against a command without an answer in time, whatever else went wrong.
            () = &mut limit, if front.is_some() => {
                answer(&mut front, Answer::OutOfTime);
                seat.lapsed();
            }
        }
    }
}

fn answer(front: &mut Option<oneshot::Sender<Answer>>, answer: Answer) {
    if let Some(front) = front.take() {
        let _ = front.send(answer);
    }
}

/// Ends when all of a long body has come.
async fn whole(coming: &Option<Arc<Coming>>) {
    match coming {
        Some(coming) => coming.whole().await,
        None => std::future::pending().await,
    }
}

/// Ends when the client has closed its connection.
async fn gone(front: &mut Option<oneshot::Sender<Answer>>) {
    match front {
        Some(front) => front.closed().await,
        None => std::future::pending().await,
    }
}
