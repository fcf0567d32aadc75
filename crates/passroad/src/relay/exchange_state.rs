//! What is known of the exchanges on a connection to an endpoint. Each exchange has a state of its own: a late event of one, such
//! as the end of a response that a slow client still reads, can't be taken for an event of the next one on the same connection.

use crate::flow_control::FlushCounter;
use crate::send_guard::SendGuard;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// How far an exchange has come. It ends once: whatever is reported after that is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Not sent yet, or under way.
    Open,
    /// The response has been read completely.
    Complete,
    /// Nobody waits for the response any more.
    Abandoned,
    /// The connection has not written, and will not write, a byte of the request.
    Refused,
}

/// One request and its response.
pub(super) struct ExchangeState {
    guard: Option<Arc<SendGuard>>, // checked right before the first byte; a probe has none
    phase: Mutex<Phase>,
    bytes_written: AtomicUsize, // bytes of the request that the kernel took
    bytes_read: AtomicUsize,    // bytes of the response
    read_limit: AtomicUsize,    // limit on those, once the response's head is parsed
    last_read: Mutex<Option<Instant>>,
    flushes: Arc<FlushCounter>, // of the request
}

impl ExchangeState {
    pub(super) fn new(guard: Option<Arc<SendGuard>>) -> Self {
        ExchangeState {
            guard,
            phase: Mutex::new(Phase::Open),
            bytes_written: AtomicUsize::new(0),
            bytes_read: AtomicUsize::new(0),
            read_limit: AtomicUsize::new(0),
            last_read: Mutex::new(None),
            flushes: Arc::default(),
        }
    }

    fn phase(&self) -> Phase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end(&self, phase: Phase) {
        let mut current = self.phase.lock().unwrap_or_else(PoisonError::into_inner);
        if *current == Phase::Open {
            *current = phase;
        }
    }

    /// The response has been read completely, so that its connection may be reused.
    pub(super) fn complete(&self) {
        self.end(Phase::Complete);
    }

    /// Nobody waits for the response any more. Unless it is complete, the connection writes nothing more.
    pub(super) fn abandon(&self) {
        self.end(Phase::Abandoned);
    }

    /// Whether its connection refused the request before the first byte, which proves that the request never ran.
    pub(super) fn is_refused(&self) -> bool {
        self.phase() == Phase::Refused
    }

    /// Whether the first byte may be written.
    pub(super) fn try_start(&self) -> bool {
        self.phase() == Phase::Open && self.guard.as_ref().is_none_or(|guard| guard.try_start())
    }

    /// Whether the connection rests after the response, before the next request. After a probe it doesn't, since the command that
    /// the probe was made for is sent next, and most commands go to an endpoint that has just been probed.
    pub(super) fn needs_hold_off(&self) -> bool {
        self.guard.is_some()
    }

    /// Sets the limit on the response's bytes.
    pub(super) fn set_read_limit(&self, bytes: usize) {
        self.read_limit.store(bytes, Relaxed);
    }

    /// Limit on the response's bytes; zero while its head is incomplete.
    pub(super) fn read_limit(&self) -> usize {
        self.read_limit.load(Relaxed)
    }

    fn record_written(&self, count: usize) {
        self.bytes_written.fetch_add(count, Relaxed);
    }

    fn record_read(&self, count: usize) {
        self.bytes_read.fetch_add(count, Relaxed);
        *self
            .last_read
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// How often all of the request that was buffered has been written.
    pub(super) fn flushes(&self) -> &Arc<FlushCounter> {
        &self.flushes
    }

    /// Bytes of the response that have been read.
    pub(super) fn bytes_read(&self) -> usize {
        self.bytes_read.load(Relaxed)
    }

    /// Time of the last read of the response; none before its first byte.
    pub(super) fn last_read(&self) -> Option<Instant> {
        *self
            .last_read
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether nothing was read and fewer bytes were written than the request has; true if its length is not known.
    pub(super) fn wrote_less_than(&self, length: Option<usize>) -> bool {
        self.bytes_read() == 0
            && length.is_none_or(|length| self.bytes_written.load(Relaxed) < length)
    }
}

/// What a connection may write.
pub(super) enum NextWrite {
    /// The rest of the request that has been started.
    Rest,
    /// The first byte of a request, after the response of the previous exchange, if there was one.
    Start {
        exchange: Arc<ExchangeState>,
        previous: Option<Arc<ExchangeState>>,
    },
}

/// The connection must not write any more.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Retired;

/// The exchanges of one connection.
#[derive(Default)]
pub(super) struct ConnectionExchanges(Mutex<Slots>);

#[derive(Default)]
struct Slots {
    started: Option<Arc<ExchangeState>>, // the latest of which a byte was written
    assigned: Option<Arc<ExchangeState>>, // the next one
    retired: bool,
    waker: Option<Waker>, // of the connection's task, while it waits for an assignment
}

impl Slots {
    /// Retires the connection. The assigned exchange gets to know that no byte of it was written.
    fn retire(&mut self, reason: &str) {
        log::debug!("connection to an endpoint retired: {reason}");
        self.retired = true;
        if let Some(assigned) = &self.assigned {
            assigned.end(Phase::Refused);
        }
    }
}

impl ConnectionExchanges {
    fn slots(&self) -> MutexGuard<'_, Slots> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The pool has assigned the connection to an exchange. A connection whose streamed response hyper has read to its end, but a
    /// slow client has not, is retired instead of reused: it can't be told whose response the next bytes would belong to.
    pub(super) fn assign(&self, exchange: Arc<ExchangeState>) {
        let mut slots = self.slots();
        slots.assigned = Some(exchange);
        let in_use = slots
            .started
            .as_ref()
            .is_some_and(|started| started.phase() != Phase::Complete);
        if in_use || slots.retired {
            slots.retire("it failed, or its previous response is incomplete");
        }
        slots.waker.take().into_iter().for_each(Waker::wake);
    }

    /// What may be written next; pending until the connection is assigned to an exchange.
    pub(super) fn poll_next_write(&self, cx: &mut Context<'_>) -> Poll<Result<NextWrite, Retired>> {
        let mut slots = self.slots();
        // hyper may go on to write its buffer after a read error.
        if slots.retired {
            return Poll::Ready(Err(Retired));
        }
        if let Some(exchange) = &slots.assigned {
            return Poll::Ready(Ok(NextWrite::Start {
                exchange: Arc::clone(exchange),
                previous: slots.started.clone(),
            }));
        }
        match slots.started.as_ref().map(|started| started.phase()) {
            Some(Phase::Open) => Poll::Ready(Ok(NextWrite::Rest)),
            // Bytes that are still buffered must not be sent after the command has its final response.
            Some(Phase::Abandoned | Phase::Refused) => Poll::Ready(Err(Retired)),
            Some(Phase::Complete) | None => {
                slots.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Bytes were written: from the first one on, the assigned exchange is the started one.
    pub(super) fn record_written(&self, count: usize) {
        if count == 0 {
            return;
        }
        let mut slots = self.slots();
        if let Some(assigned) = slots.assigned.take() {
            slots.started = Some(assigned);
        }
        if let Some(started) = &slots.started {
            started.record_written(count);
        }
    }

    /// Everything that was buffered has been written.
    pub(super) fn record_flush(&self) {
        if let Some(started) = &self.slots().started {
            started.flushes.record();
        }
    }

    /// Bytes were read. Returns the exchange that they are counted for.
    pub(super) fn record_read(&self, count: usize) -> Option<Arc<ExchangeState>> {
        let slots = self.slots();
        let exchange = slots.started.as_ref().or(slots.assigned.as_ref())?;
        if count > 0 {
            exchange.record_read(count);
        }
        Some(Arc::clone(exchange))
    }

    /// Whether the response of the previous exchange is over and the next request has not been started, so that no input is due.
    pub(super) fn is_between_exchanges(&self) -> bool {
        let slots = self.slots();
        slots.started.is_some() && slots.assigned.is_some()
    }

    /// Retires the connection; it writes nothing more.
    pub(super) fn retire(&self, reason: &str) {
        self.slots().retire(reason);
    }
}

#[cfg(test)]
mod tests;
