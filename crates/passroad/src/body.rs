//! Bodies on their way: held whole where they are short, else passed on as they come, each with its own clock.

use crate::relay::{EndpointPool, ExchangeGuard};
use axum::body::Body;
use bytes::Bytes;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// Of an answer that is held whole.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
/// Of a command's body, as long as there is room: so its endpoint is chosen when it is there, and it can be sent again.
pub const MAX_BUFFERED_REQUEST_BYTES: usize = 1 << 20;
pub const MAX_BODY_BYTES: usize = 32 << 20;
/// Clients send at least 64 kB a second; a fifth less is not held against one.
const SLOWEST: f64 = 0.8 * 64_000.0; // bytes a second
const BODY_GRACE: Duration = Duration::from_secs(1);
/// An endpoint that gives, or takes, nothing of a long body for so long is not heard of again.
const LONG_STALL: Duration = Duration::from_secs(6);

type Fault = Box<dyn Error + Send + Sync>;

/// Counts the time that is spent waiting for a client against the bytes that came.
pub struct MinRateTimer {
    waited: Duration,
    since: Option<Instant>,
    least: Duration, // of the wait, whatever comes
    came: usize,
    timer: Option<Pin<Box<Sleep>>>,
}

impl MinRateTimer {
    pub fn new(least: Duration) -> Self {
        let least = least.max(BODY_GRACE);
        MinRateTimer {
            waited: Duration::ZERO,
            since: None,
            least,
            came: 0,
            timer: None,
        }
    }

    fn all(&self) -> Duration {
        let paced = BODY_GRACE + Duration::from_secs_f64(self.came as f64 / SLOWEST);
        paced.max(self.least)
    }

    fn came(&mut self, bytes: usize) {
        self.came += bytes;
        self.waited += self
            .since
            .take()
            .map_or(Duration::ZERO, |since| since.elapsed());
    }

    /// Nothing is there: ready once that has lasted too long.
    fn poll_over(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.since.get_or_insert_with(Instant::now);
        let until = since + self.all().saturating_sub(self.waited);
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(until)));
        if timer.deadline() != until {
            timer.as_mut().reset(until);
        }
        timer.as_mut().poll(cx)
    }

    /// The next piece of a client's body.
    pub fn poll_next(
        &mut self,
        body: &mut Body,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            return match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.poll_over(cx));
                    Poll::Ready(Some(Err(BodyError::Slow)))
                }
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(BodyError::Broken))),
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        self.came(data.len());
                        Poll::Ready(Some(Ok(data)))
                    }
                    // Trailers end here.
                    Err(_) => continue,
                },
            };
        }
    }
}

/// What is wrong with a client's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    Slow,
    TooLong,
    Broken,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Receiving,
    Complete(Instant),
    Failed(BodyError),
}

/// A client's long body, of which one relay is given all; what no relay takes is read and dropped.
pub struct StreamedUpload {
    rest: Mutex<Rest>,
    hint: SizeHint,
    came: AtomicUsize,
    spent: AtomicBool, // bytes have gone out
    drains: AtomicBool,
    state: watch::Sender<State>,
}

struct Rest {
    first: Option<Bytes>,
    body: Body,
    patience: MinRateTimer,
}

impl StreamedUpload {
    /// `first` is what has been read of it.
    pub fn new(first: Bytes, body: Body, patience: MinRateTimer) -> Arc<Self> {
        let mut hint = SizeHint::new();
        if let Some(left) = body.size_hint().exact() {
            hint.set_exact(left + first.len() as u64);
        }
        let first = Some(first).filter(|first| !first.is_empty());
        Arc::new(StreamedUpload {
            rest: Mutex::new(Rest {
                first,
                body,
                patience,
            }),
            hint,
            came: AtomicUsize::new(0),
            spent: AtomicBool::new(false),
            drains: AtomicBool::new(false),
            state: watch::channel(State::Receiving).0,
        })
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut rest = self.rest.lock().unwrap_or_else(PoisonError::into_inner);
        let Rest {
            first,
            body,
            patience,
        } = &mut *rest;
        let next = match first.take() {
            Some(first) => Some(Ok(first)),
            None => ready!(patience.poll_next(body, cx)),
        };
        let next = match next {
            Some(Ok(data))
                if self.came.fetch_add(data.len(), Relaxed) + data.len() > MAX_BODY_BYTES =>
            {
                Some(Err(BodyError::TooLong))
            }
            next => next,
        };
        match &next {
            // Of a stated length the end is not asked for.
            Some(Ok(_)) if self.hint.exact() == Some(self.came.load(Relaxed) as u64) => {
                self.state.send_replace(State::Complete(Instant::now()));
            }
            Some(Ok(_)) => {}
            Some(Err(ill)) => drop(self.state.send_replace(State::Failed(*ill))),
            None => {
                self.state.send_if_modified(|state| {
                    let new = *state == State::Receiving;
                    *state = if new {
                        State::Complete(Instant::now())
                    } else {
                        *state
                    };
                    new
                });
            }
        }
        Poll::Ready(next)
    }

    /// Whether part of it has gone out and is gone.
    pub fn is_partly_sent(&self) -> bool {
        self.spent.load(Relaxed)
    }

    /// So many bytes at least are on the wire once it is written; none as long as it is not whole.
    pub fn complete_len(&self) -> Option<usize> {
        self.completed_at().map(|_| self.came.load(Relaxed))
    }

    /// Since when it is whole.
    pub fn completed_at(&self) -> Option<Instant> {
        match *self.state.borrow() {
            State::Complete(since) => Some(since),
            _ => None,
        }
    }

    async fn turned(&self, wanted: impl Fn(State) -> bool) -> State {
        // The sender lives as long as this does.
        let mut state = self.state.subscribe();
        state
            .wait_for(|state| wanted(*state))
            .await
            .map_or(State::Receiving, |state| *state)
    }

    /// Ends when all of it has come.
    pub async fn completed(&self) {
        self.turned(|state| matches!(state, State::Complete(_)))
            .await;
    }

    /// Ends when it turns out that it can't be used.
    pub async fn failed(&self) -> BodyError {
        match self.turned(|state| matches!(state, State::Failed(_))).await {
            State::Failed(ill) => ill,
            _ => BodyError::Broken,
        }
    }

    /// Ends when nothing has been taken of it for long, though it is not whole. Guards against an endpoint that stops
    /// reading: nothing else would end its relay.
    pub async fn stalled(&self) {
        loop {
            let before = self.came.load(Relaxed);
            sleep(LONG_STALL).await;
            if self.came.load(Relaxed) == before && *self.state.borrow() == State::Receiving {
                return;
            }
        }
    }

    /// Reads what is left for its client's sake, who may not read an answer before all is written. Nothing goes out
    /// from here on.
    pub async fn drain(&self) {
        self.drains.store(true, Relaxed);
        while let Some(Ok(_)) = std::future::poll_fn(|cx| self.poll_next(cx)).await {}
    }

    pub fn is_finished(&self) -> bool {
        *self.state.borrow() != State::Receiving
    }

    pub fn failure(&self) -> Option<BodyError> {
        match *self.state.borrow() {
            State::Failed(ill) => Some(ill),
            _ => None,
        }
    }
}

/// A body as it goes out to an endpoint, or back to a client.
pub enum RelayBody {
    Buffered(Option<Bytes>),
    Upload(Arc<StreamedUpload>),
    Streamed(Box<StreamedResponse>),
}

impl From<Bytes> for RelayBody {
    fn from(bytes: Bytes) -> Self {
        RelayBody::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Default for RelayBody {
    fn default() -> Self {
        RelayBody::Buffered(None)
    }
}

impl RelayBody {
    /// What is held of it.
    pub fn into_buffered(self) -> Bytes {
        match self {
            RelayBody::Buffered(Some(bytes)) => bytes,
            _ => Bytes::new(),
        }
    }
}

/// The rest of a long answer. Its client can tell when it is cut off: the length or the last chunk is missing.
pub struct StreamedResponse {
    pub first: Option<Bytes>,
    pub rest: Incoming,
    pub guard: ExchangeGuard,
    pub left: usize, // that may still come
    pub stall: Option<Pin<Box<Sleep>>>,
    /// Its endpoint counts as in use until it has ended.
    pub link: Option<EndpointPool>,
}

impl StreamedResponse {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
                let stall = self
                    .stall
                    .get_or_insert_with(|| Box::pin(sleep(LONG_STALL)));
                ready!(stall.as_mut().poll(cx));
                return Poll::Ready(Some(Err("the endpoint stopped halfway".into())));
            };
            self.stall = None;
            let Some(frame) = frame else {
                self.guard.response_complete();
                return Poll::Ready(None);
            };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let Some(left) = self.left.checked_sub(data.len()) else {
                return Poll::Ready(Some(Err("an answer without end".into())));
            };
            self.left = left;
            // Of a stated length the end is not asked for.
            if self.rest.is_end_stream() {
                self.guard.response_complete();
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }
}

impl hyper::body::Body for RelayBody {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let next = match self.get_mut() {
            RelayBody::Buffered(held) => held.take().map(Ok),
            RelayBody::Upload(coming) if coming.drains.load(Relaxed) => {
                Some(Err("given up".into()))
            }
            RelayBody::Upload(coming) => {
                let next = ready!(coming.poll_next(cx));
                coming.spent.fetch_or(next.is_some(), Relaxed);
                next.map(|data| data.map_err(|ill| format!("the client's body: {ill:?}").into()))
            }
            RelayBody::Streamed(long) => ready!(long.poll_next(cx)),
        };
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Buffered(held) => held.is_none(),
            _ => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Buffered(held) => {
                SizeHint::with_exact(held.as_ref().map_or(0, Bytes::len) as u64)
            }
            RelayBody::Upload(coming) => coming.hint,
            RelayBody::Streamed(long) => {
                let (first, mut hint) = (
                    long.first.as_ref().map_or(0, Bytes::len) as u64,
                    SizeHint::new(),
                );
                if let Some(left) = long.rest.size_hint().exact() {
                    hint.set_exact(left + first);
                }
                hint
            }
        }
    }
}

/// An answer's body on its way to a client; `then` is called once it has been handed over, or dropped.
pub struct NotifyOnDrop<F: FnOnce()> {
    pub body: Body,
    pub then: Option<F>,
}

impl<F: FnOnce() + Unpin> hyper::body::Body for NotifyOnDrop<F> {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<F: FnOnce()> Drop for NotifyOnDrop<F> {
    fn drop(&mut self) {
        if let Some(then) = self.then.take() {
            then();
        }
    }
}
