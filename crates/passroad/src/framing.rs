//! Request framing on a client's connection. hyper exposes the parsed head only; where a request ends must not be ambiguous
//! between this proxy and an endpoint (request smuggling), so the bytes are inspected here as well.

mod body_progress;

use self::body_progress::BodyProgress;
use crate::flow_control::poll_read_limited;
use crate::listener::ClientConnection;
use crate::memory_budget::{MemoryBudget, MemoryUse, Reservation, partial_head_bytes};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Longest request head.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// More headers than this make a head invalid, as in hyper.
const MAX_HEADERS: usize = 100;

/// The part of a request that the next byte belongs to.
enum Part {
    Head(Vec<u8>),
    Body(u64),
    Chunked,  // hyper alone finds the end
    Finished, // nothing may follow before the response
}

struct State {
    part: Part,
    ambiguous_length: bool,
    head_since: Option<Instant>, // when the head's first byte arrived
    body: Option<BodyProgress>,  // of the body that is coming
    early: bool,                 // bytes arrived where none may
    memory: Option<Reservation>, // for a head that is still coming
    over_budget: bool,           // there was no memory for it
}

/// Framing state of a connection's current request.
pub struct RequestFraming {
    state: Mutex<State>,
    early_notify: Notify,
    budget: Arc<MemoryBudget>,
    over_budget_notify: Notify,
}

impl RequestFraming {
    /// The heads that are still coming are counted against the budget.
    pub fn new(budget: Arc<MemoryBudget>) -> Self {
        let state = State {
            part: Part::Head(Vec::new()),
            ambiguous_length: false,
            head_since: None,
            body: None,
            early: false,
            memory: None,
            over_budget: false,
        };
        RequestFraming {
            state: Mutex::new(state),
            early_notify: Notify::new(),
            budget,
            over_budget_notify: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, bytes: &[u8]) {
        let mut state = self.state();
        state.record(bytes);
        if state.early {
            self.early_notify.notify_one();
        }
        if !state.reserve_head(&self.budget) {
            self.over_budget_notify.notify_one();
        }
    }

    /// Whether there is no memory for the head that is coming.
    pub fn is_over_budget(&self) -> bool {
        self.state().over_budget
    }

    /// Completes when there is no memory for the head that is coming.
    pub async fn over_budget(&self) {
        while !self.is_over_budget() {
            self.over_budget_notify.notified().await;
        }
    }

    /// Whether the body's length is stated more than once, or together with chunked encoding.
    pub fn has_ambiguous_length(&self) -> bool {
        self.state().ambiguous_length
    }

    /// Whether a part of a head has arrived, and no more.
    pub fn has_partial_head(&self) -> bool {
        matches!(&self.state().part, Part::Head(head) if !head.is_empty())
    }

    /// If a head is awaited: when its first byte arrived, if one has.
    pub fn awaiting_head(&self) -> Option<Option<Instant>> {
        let state = self.state();
        matches!(state.part, Part::Head(_)).then_some(state.head_since)
    }

    /// Whether the head announced a body that has not arrived completely, as far as that is known here.
    pub fn expects_body(&self) -> bool {
        matches!(&self.state().part, Part::Body(_) | Part::Chunked)
    }

    /// Until when the current request keeps the connection in use if nothing more of it comes. None between requests, while a head
    /// is coming, and once bytes have come early.
    pub fn active_until(&self, now: Instant) -> Option<Instant> {
        let state = self.state();
        match (&state.part, state.early) {
            (Part::Head(_), _) | (_, true) => None,
            (Part::Finished, false) => Some(now),
            (Part::Body(_) | Part::Chunked, false) => state.body.map(|body| body.due()),
        }
    }

    /// Whether the connection must be closed after the response: bytes arrived early, or the request's end hasn't been seen.
    pub fn must_close(&self) -> bool {
        let state = self.state();
        state.early || !matches!(state.part, Part::Finished)
    }

    /// Whether bytes have arrived where none may.
    pub fn has_early_bytes(&self) -> bool {
        self.state().early
    }

    /// Completes when bytes arrive where none may.
    pub async fn early_bytes(&self) {
        while !self.state().early {
            self.early_notify.notified().await;
        }
    }

    /// The response has been passed to hyper: the next byte belongs to a new head.
    pub fn response_sent(&self) {
        let mut state = self.state();
        if matches!(state.part, Part::Finished) && !state.early {
            (state.part, state.head_since) = (Part::Head(Vec::new()), None);
        }
    }
}

impl State {
    /// Reserves memory for the part of a head that has come, and releases it with the last one. False if there is none.
    fn reserve_head(&mut self, budget: &Arc<MemoryBudget>) -> bool {
        let bytes = match &self.part {
            Part::Head(head) if !head.is_empty() => partial_head_bytes(head.len()),
            _ => {
                self.memory = None;
                return true;
            }
        };
        let reserved = budget.reserve_up_to(MemoryUse::Heads, bytes, &mut self.memory);
        self.over_budget |= !reserved;
        reserved
    }

    fn record_body(&mut self, bytes: usize) {
        if let Some(body) = &mut self.body {
            body.record(Instant::now(), bytes);
        }
    }

    fn record(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.part {
                Part::Head(head) => {
                    self.head_since.get_or_insert_with(Instant::now);
                    let before = head.len();
                    head.extend_from_slice(bytes);
                    let (size, part, ambiguous) = match parse_head(head) {
                        Some(read) => read,
                        None if head.len() <= MAX_HEAD_BYTES => return,
                        // hyper rejects it.
                        None => (head.len(), Part::Finished, false),
                    };
                    self.body = part.begin_body();
                    (self.part, self.ambiguous_length) = (part, ambiguous);
                    bytes = &bytes[size.saturating_sub(before).min(bytes.len())..];
                }
                Part::Body(left) => {
                    let taken = (bytes.len() as u64).min(*left);
                    *left -= taken;
                    if *left == 0 {
                        self.part = Part::Finished;
                    }
                    self.record_body(taken as usize);
                    bytes = &bytes[taken as usize..];
                }
                Part::Chunked => return self.record_body(bytes.len()),
                Part::Finished => {
                    self.early = true;
                    return;
                }
            }
        }
    }
}

impl Part {
    /// The progress of the body that begins now, if one does.
    fn begin_body(&self) -> Option<BodyProgress> {
        match self {
            Part::Body(length) => Some(BodyProgress::new(Instant::now(), Some(*length))),
            Part::Chunked => Some(BodyProgress::new(Instant::now(), None)),
            Part::Head(_) | Part::Finished => None,
        }
    }
}

/// Parses a head: its length, what follows it, and whether the body's length is ambiguous. None while it is incomplete.
fn parse_head(head: &[u8]) -> Option<(usize, Part, bool)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let size = match request.parse(head) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => return Some((head.len(), Part::Finished, false)),
    };
    let named = |name: &'static str| {
        request
            .headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value)
    };
    let chunked = named("transfer-encoding").next().is_some();
    let ambiguous = named("content-length").count() + usize::from(chunked) > 1;
    let length = named("content-length")
        .next()
        .and_then(|value| std::str::from_utf8(value).ok()?.trim().parse().ok());
    let part = match (chunked, length) {
        (true, _) => Part::Chunked,
        (false, None | Some(0)) => Part::Finished,
        (false, Some(length)) => Part::Body(length),
    };
    Some((size, part, ambiguous))
}

/// A client's stream. Only its `FramedStream` reads and writes; the send guard queries the socket's state.
pub type SharedStream = Arc<Mutex<TcpStream>>;

/// A client's stream that records each byte read in the connection's framing state.
pub struct FramedStream {
    pub stream: SharedStream,
    pub connection: Arc<ClientConnection>,
}

impl FramedStream {
    fn stream(&self) -> MutexGuard<'_, TcpStream> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for FramedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = poll_read_limited(&mut self.stream(), cx, buf);
        self.connection.framing.record(&buf.filled()[before..]);
        read
    }
}

impl AsyncWrite for FramedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.stream()).poll_write(cx, buf)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream().is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.stream()).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut *self.stream()).poll_flush(cx);
        // hyper calls this only once it has written everything that it had buffered.
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.connection.record_flush();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream()).poll_shutdown(cx)
    }
}
