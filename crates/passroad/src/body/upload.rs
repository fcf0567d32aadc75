//! A long request body that is passed on as it comes, and the one reader that it has.

use super::upload_lag::UploadLag;
use super::{BodyError, MAX_BODY_BYTES, MinRateTimer, STREAM_STALL_TIMEOUT};
use crate::flow_control::{FlushCounter, WriteWindow};
use crate::listener::ClientConnection;
use crate::memory_budget::Reservation;
use axum::body::{Body, HttpBody};
use bytes::Bytes;
use hyper::body::SizeHint;
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Receiving,
    /// Since when the client may have been waiting for the response.
    Complete(Instant),
    Failed(BodyError),
}

/// A client's long request body, streamed to a single relay. What no relay reads is read and discarded.
///
/// No part of it is kept, so it has one reader at a time: the latest [`UploadReader`].
pub struct StreamedUpload {
    source: Mutex<UploadSource>,
    size: SizeHint,
    received: AtomicUsize,
    state: watch::Sender<State>,
    _memory: Option<Reservation>, // for what is under way
}

/// What is left to read of an upload, and who may read it.
struct UploadSource {
    first: Option<Bytes>,
    body: Body,
    rate: MinRateTimer,
    lag: UploadLag,
    client: Option<Arc<ClientConnection>>,
    latest_reader: u64,
    partly_sent: bool, // a relay has read some of it
    discarding: bool,
}

impl UploadSource {
    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        self.rate.poll_next(&mut self.body, cx)
    }

    /// Whether the client's socket has input that hyper has not read yet.
    fn has_unread_input(&self) -> bool {
        self.client
            .as_ref()
            .is_some_and(|client| client.has_unread_input())
    }
}

/// Why an upload can't be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadError {
    /// The client's body is unusable.
    Client(BodyError),
    /// A later reader has taken over.
    Superseded,
}

impl fmt::Display for UploadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UploadError::Client(error) => write!(formatter, "the client's body: {error:?}"),
            UploadError::Superseded => write!(formatter, "the upload has another reader"),
        }
    }
}

impl std::error::Error for UploadError {}

/// The right to read an upload. It ends when a later reader is made.
pub struct UploadReader {
    upload: Arc<StreamedUpload>,
    number: u64,
    sends: bool, // for a relay, not to discard the rest
    window: Option<WriteWindow>,
}

impl UploadReader {
    /// The length of the whole upload, as far as it is known.
    pub fn size(&self) -> SizeHint {
        self.upload.size
    }

    /// Makes the next chunk wait until the connection that counts these flushes has written the one before.
    pub fn limit_to_written(&mut self, flushes: Arc<FlushCounter>) {
        self.window = Some(WriteWindow::new(flushes));
    }

    /// Reads the next chunk.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        if let Some(window) = &mut self.window {
            ready!(window.poll_open(cx));
        }
        let mut source = self.upload.source();
        if source.latest_reader != self.number {
            return Poll::Ready(Some(Err(UploadError::Superseded)));
        }
        let next = ready!(self.upload.poll_source(&mut source, cx));
        source.partly_sent |= self.sends && next.is_some();
        if let (Some(window), Some(Ok(data))) = (&mut self.window, &next) {
            window.record(data.len());
        }
        Poll::Ready(next.map(|data| data.map_err(UploadError::Client)))
    }
}

impl StreamedUpload {
    /// `first` is the part that has been read already. `memory` is held for what is under way.
    pub fn new(
        first: Bytes,
        memory: Option<Reservation>,
        body: Body,
        rate: MinRateTimer,
        client: Option<Arc<ClientConnection>>,
    ) -> Arc<Self> {
        let mut size = SizeHint::new();
        if let Some(left) = body.size_hint().exact() {
            size.set_exact(left + first.len() as u64);
        }
        let first = Some(first).filter(|first| !first.is_empty());
        Arc::new(StreamedUpload {
            source: Mutex::new(UploadSource {
                first,
                body,
                rate,
                lag: UploadLag::new(Instant::now()),
                client,
                latest_reader: 0,
                partly_sent: false,
                discarding: false,
            }),
            size,
            received: AtomicUsize::new(0),
            state: watch::channel(State::Receiving).0,
            _memory: memory,
        })
    }

    fn source(&self) -> MutexGuard<'_, UploadSource> {
        self.source.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The reader for a relay, which takes the place of one that has not read anything yet. None once a part has been sent or the
    /// rest is being discarded: the relay would take the rest for the whole.
    pub fn reader(self: &Arc<Self>) -> Option<UploadReader> {
        let mut source = self.source();
        if source.partly_sent || source.discarding {
            return None;
        }
        Some(self.next_reader(&mut source, true))
    }

    fn next_reader(self: &Arc<Self>, source: &mut UploadSource, sends: bool) -> UploadReader {
        source.latest_reader += 1;
        UploadReader {
            upload: Arc::clone(self),
            number: source.latest_reader,
            sends,
            window: None,
        }
    }

    /// Reads the next chunk from the client, and notes the end of the body.
    fn poll_source(
        &self,
        source: &mut UploadSource,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        let next = match source.first.take() {
            Some(first) => Some(Ok(first)),
            None => {
                let next = source.poll_body(cx);
                let now = Instant::now();
                if next.is_pending() {
                    source.lag.record_nothing(now, source.has_unread_input());
                }
                let next = ready!(next);
                source.lag.record_received(now, self.received.load(Relaxed));
                next
            }
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
                self.state
                    .send_replace(State::Complete(source.lag.behind_since(Instant::now())));
            }
            Some(Ok(_)) => {}
            Some(Err(error)) => drop(self.state.send_replace(State::Failed(*error))),
            None => {
                self.state.send_if_modified(|state| {
                    let completes = *state == State::Receiving;
                    *state = if completes {
                        State::Complete(source.lag.behind_since(Instant::now()))
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
        self.source().partly_sent
    }

    /// The body's length once it is complete.
    pub fn complete_len(&self) -> Option<usize> {
        self.completed_at().map(|_| self.received.load(Relaxed))
    }

    /// Since when the client may have been waiting for the response, once the body is complete.
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

    /// Completes when the client may have been waiting for the response for this long, and the body is still incomplete.
    pub async fn overdue(&self, limit: Duration) {
        while !self.is_finished() {
            let now = Instant::now();
            let deadline = self.source().lag.behind_since(now) + limit;
            if deadline <= now {
                return;
            }
            sleep_until(deadline).await;
        }
        std::future::pending().await
    }

    /// Keeps relays from reading any more. True if the body was incomplete, so that no endpoint has been given the whole.
    pub fn stop_sending(&self) -> bool {
        let mut source = self.source();
        source.discarding = true;
        source.latest_reader += 1;
        !self.is_finished()
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
    pub async fn drain(self: Arc<Self>) {
        let mut reader = {
            let mut source = self.source();
            source.discarding = true;
            self.next_reader(&mut source, false)
        };
        while let Some(Ok(_)) = std::future::poll_fn(|cx| reader.poll_next(cx)).await {}
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

#[cfg(test)]
mod tests;
