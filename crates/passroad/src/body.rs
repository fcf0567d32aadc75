//! Request and response bodies: short ones are buffered, long ones streamed, each with its own timeouts.

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

/// Longest response body that is buffered.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
/// Longest request body that is buffered, while the memory limit allows it. With a buffered body the endpoint is chosen once the
/// body is complete, and the command can be retried.
pub const MAX_BUFFERED_REQUEST_BYTES: usize = 1 << 20;
/// Longest body of a request or response, streamed or not.
pub const MAX_BODY_BYTES: usize = 32 << 20;
/// Clients send at least 64 kB per second; a rate up to a fifth lower is tolerated.
const MIN_BYTES_PER_SECOND: f64 = 0.8 * 64_000.0;
/// Time for a body on top of what the minimum rate gives.
const BODY_GRACE: Duration = Duration::from_secs(1);
/// An endpoint that sends, or reads, nothing of a streamed body for this long is given up. So is a client that reads nothing of a
/// response that has failed.
pub const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(6);

type BoxError = Box<dyn Error + Send + Sync>;

/// Enforces a minimum rate on a client's body: compares the time spent waiting for the client with the bytes received.
pub struct MinRateTimer {
    waiting_time: Duration,
    waiting_since: Option<Instant>,
    min_time: Duration, // minimum time allowed, whatever the rate
    received: usize,
    timer: Option<Pin<Box<Sleep>>>,
}

impl MinRateTimer {
    /// `min_time` is allowed in any case.
    pub fn new(min_time: Duration) -> Self {
        let min_time = min_time.max(BODY_GRACE);
        MinRateTimer {
            waiting_time: Duration::ZERO,
            waiting_since: None,
            min_time,
            received: 0,
            timer: None,
        }
    }

    /// The waiting time allowed so far.
    fn allowed_time(&self) -> Duration {
        let at_min_rate =
            BODY_GRACE + Duration::from_secs_f64(self.received as f64 / MIN_BYTES_PER_SECOND);
        at_min_rate.max(self.min_time)
    }

    fn record_received(&mut self, bytes: usize) {
        self.received += bytes;
        self.waiting_time += self
            .waiting_since
            .take()
            .map_or(Duration::ZERO, |since| since.elapsed());
    }

    /// Called when no data is available; ready once the client has used up its time.
    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let until = since + self.allowed_time().saturating_sub(self.waiting_time);
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(until)));
        if timer.deadline() != until {
            timer.as_mut().reset(until);
        }
        timer.as_mut().poll(cx)
    }

    /// Reads the next chunk of a client's body.
    pub fn poll_next(
        &mut self,
        body: &mut Body,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            return match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.poll_expired(cx));
                    Poll::Ready(Some(Err(BodyError::Slow)))
                }
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(BodyError::Broken))),
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        self.record_received(data.len());
                        Poll::Ready(Some(Ok(data)))
                    }
                    // Trailers are not forwarded.
                    Err(_) => continue,
                },
            };
        }
    }
}

/// Why a client's body can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The client sends more slowly than the minimum rate.
    Slow,
    /// It is longer than `MAX_BODY_BYTES`.
    TooLong,
    /// It is malformed, or the connection ended before its end.
    Broken,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Receiving,
    Complete(Instant),
    Failed(BodyError),
}

/// A client's long request body, streamed to a single relay. What no relay reads is read and discarded.
pub struct StreamedUpload {
    reader: Mutex<UploadReader>,
    size: SizeHint,
    received: AtomicUsize,
    partly_sent: AtomicBool, // a relay has read some of it
    discarding: AtomicBool,
    state: watch::Sender<State>,
}

/// What is left to read of an upload.
struct UploadReader {
    first: Option<Bytes>,
    body: Body,
    rate: MinRateTimer,
}

impl StreamedUpload {
    /// `first` is the part that has been read already.
    pub fn new(first: Bytes, body: Body, rate: MinRateTimer) -> Arc<Self> {
        let mut size = SizeHint::new();
        if let Some(left) = body.size_hint().exact() {
            size.set_exact(left + first.len() as u64);
        }
        let first = Some(first).filter(|first| !first.is_empty());
        Arc::new(StreamedUpload {
            reader: Mutex::new(UploadReader { first, body, rate }),
            size,
            received: AtomicUsize::new(0),
            partly_sent: AtomicBool::new(false),
            discarding: AtomicBool::new(false),
            state: watch::channel(State::Receiving).0,
        })
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut reader = self.reader.lock().unwrap_or_else(PoisonError::into_inner);
        let UploadReader { first, body, rate } = &mut *reader;
        let next = match first.take() {
            Some(first) => Some(Ok(first)),
            None => ready!(rate.poll_next(body, cx)),
        };
        let next = match next {
            Some(Ok(data))
                if self.received.fetch_add(data.len(), Relaxed) + data.len() > MAX_BODY_BYTES =>
            {
                Some(Err(BodyError::TooLong))
            }
            next => next,
        };
        match &next {
            // With a stated length, hyper doesn't poll for the end.
            Some(Ok(_)) if self.size.exact() == Some(self.received.load(Relaxed) as u64) => {
                self.state.send_replace(State::Complete(Instant::now()));
            }
            Some(Ok(_)) => {}
            Some(Err(error)) => drop(self.state.send_replace(State::Failed(*error))),
            None => {
                self.state.send_if_modified(|state| {
                    let completes = *state == State::Receiving;
                    *state = if completes {
                        State::Complete(Instant::now())
                    } else {
                        *state
                    };
                    completes
                });
            }
        }
        Poll::Ready(next)
    }

    /// Whether a part has been sent, so that the command can't be retried.
    pub fn is_partly_sent(&self) -> bool {
        self.partly_sent.load(Relaxed)
    }

    /// The body's length once it is complete.
    pub fn complete_len(&self) -> Option<usize> {
        self.completed_at().map(|_| self.received.load(Relaxed))
    }

    /// When the body was completed.
    pub fn completed_at(&self) -> Option<Instant> {
        match *self.state.borrow() {
            State::Complete(since) => Some(since),
            _ => None,
        }
    }

    async fn wait_for_state(&self, matches: impl Fn(State) -> bool) -> State {
        // The sender lives as long as this does.
        let mut state = self.state.subscribe();
        state
            .wait_for(|state| matches(*state))
            .await
            .map_or(State::Receiving, |state| *state)
    }

    /// Completes when the whole body has been received.
    pub async fn completed(&self) {
        self.wait_for_state(|state| matches!(state, State::Complete(_)))
            .await;
    }

    /// Completes when the body turns out to be unusable.
    pub async fn failed(&self) -> BodyError {
        match self
            .wait_for_state(|state| matches!(state, State::Failed(_)))
            .await
        {
            State::Failed(error) => error,
            _ => BodyError::Broken,
        }
    }

    /// Completes when nothing has been read from an incomplete body for `STREAM_STALL_TIMEOUT`. Prevents a relay from hanging
    /// when its endpoint stops reading: nothing else would end it.
    pub async fn stalled(&self) {
        loop {
            let before = self.received.load(Relaxed);
            sleep(STREAM_STALL_TIMEOUT).await;
            if self.received.load(Relaxed) == before && *self.state.borrow() == State::Receiving {
                return;
            }
        }
    }

    /// Reads and discards the rest, since a client may not read the response before it has written the whole body. No relay
    /// reads the body from here on.
    pub async fn drain(&self) {
        self.discarding.store(true, Relaxed);
        while let Some(Ok(_)) = std::future::poll_fn(|cx| self.poll_next(cx)).await {}
    }

    /// Whether the body is complete or has failed.
    pub fn is_finished(&self) -> bool {
        *self.state.borrow() != State::Receiving
    }

    /// Why the body can't be used, if so.
    pub fn failure(&self) -> Option<BodyError> {
        match *self.state.borrow() {
            State::Failed(error) => Some(error),
            _ => None,
        }
    }
}

/// The body of a request to an endpoint or of a response to a client.
pub enum RelayBody {
    /// None if empty or sent already.
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
    /// The buffered bytes; empty for a streamed body.
    pub fn into_buffered(self) -> Bytes {
        match self {
            RelayBody::Buffered(Some(bytes)) => bytes,
            _ => Bytes::new(),
        }
    }
}

/// A streamed response body. The client can tell when it is cut off: bytes or the last chunk are missing.
pub struct StreamedResponse {
    pub first: Option<Bytes>,
    pub rest: Incoming,
    pub guard: ExchangeGuard,
    pub left: usize, // bytes that may still be read, by the size limit
    pub stall: Option<Pin<Box<Sleep>>>,
    /// Held so that the endpoint counts as in use until the response has ended.
    pub pool: Option<EndpointPool>,
}

impl StreamedResponse {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BoxError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
                let stall = self
                    .stall
                    .get_or_insert_with(|| Box::pin(sleep(STREAM_STALL_TIMEOUT)));
                ready!(stall.as_mut().poll(cx));
                return Poll::Ready(Some(Err("the response stalled midway".into())));
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
                return Poll::Ready(Some(Err("response is over the size limit".into())));
            };
            self.left = left;
            // With a stated length, hyper doesn't poll for the end.
            if self.rest.is_end_stream() {
                self.guard.response_complete();
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }
}

impl hyper::body::Body for RelayBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let next = match self.get_mut() {
            RelayBody::Buffered(buffered) => buffered.take().map(Ok),
            RelayBody::Upload(upload) if upload.discarding.load(Relaxed) => {
                Some(Err("the upload was abandoned".into()))
            }
            RelayBody::Upload(upload) => {
                let next = ready!(upload.poll_next(cx));
                upload.partly_sent.fetch_or(next.is_some(), Relaxed);
                next.map(|data| {
                    data.map_err(|error| format!("the client's body: {error:?}").into())
                })
            }
            RelayBody::Streamed(response) => ready!(response.poll_next(cx)),
        };
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Buffered(buffered) => buffered.is_none(),
            _ => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Buffered(buffered) => {
                SizeHint::with_exact(buffered.as_ref().map_or(0, Bytes::len) as u64)
            }
            RelayBody::Upload(upload) => upload.size,
            RelayBody::Streamed(response) => {
                let (first, mut size) = (
                    response.first.as_ref().map_or(0, Bytes::len) as u64,
                    SizeHint::new(),
                );
                if let Some(left) = response.rest.size_hint().exact() {
                    size.set_exact(left + first);
                }
                size
            }
        }
    }
}
