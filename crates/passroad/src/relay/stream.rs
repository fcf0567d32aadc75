//! The TCP connections to endpoints: each meters its traffic, and checks before a request is written that the connection may
//! be reused and that the request is still wanted.

use crate::listener::{SocketInput, peek_socket};
use crate::send_guard::SendGuard;
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep};

/// Longest response head; also the size of the read buffer.
pub(super) const MAX_HEAD_BYTES: usize = 32 << 10;
/// Limit on all bytes read until the final response's head is parsed, informational responses included.
pub(super) const MAX_BYTES_BEFORE_BODY: usize = 4 * MAX_HEAD_BYTES;
/// Time between a response and the next request on a connection, so that surplus bytes after the response, such as a
/// duplicate of it, show up before the next command is sent.
const REUSE_HOLD_OFF: Duration = Duration::from_millis(1);
/// The hold-off while malformed responses are recent. A duplicate response may arrive some milliseconds late: up to 4 ms were
/// measured (STANDING, `join+mass`).
const LONG_REUSE_HOLD_OFF: Duration = Duration::from_millis(5);
/// For how long a malformed response counts as recent.
const MALFORMED_MEMORY: Duration = Duration::from_secs(60);
const UNEXPECTED_INPUT: &str = "data or end of stream after a complete response";

/// Time of the last malformed response from any endpoint.
#[derive(Clone, Default)]
pub(super) struct LastMalformed(Arc<Mutex<Option<Instant>>>);

impl LastMalformed {
    pub(super) fn record(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    fn hold_off(&self) -> Duration {
        let last = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if last.is_some_and(|at| at.elapsed() < MALFORMED_MEMORY) {
            LONG_REUSE_HOLD_OFF
        } else {
            REUSE_HOLD_OFF
        }
    }
}

/// Counters and state of a connection's current request and response.
#[derive(Default)]
pub(super) struct ExchangeMeter {
    bytes_written: AtomicUsize, // bytes of the request that the kernel took
    pub(super) bytes_read: AtomicUsize, // bytes of the response
    pub(super) read_limit: AtomicUsize, // limit on those once the head is parsed
    last_read: Mutex<Option<Instant>>, // time of the last read
    pub(super) complete: AtomicBool, // the response is complete
    hold_off: AtomicBool,       // apply the reuse hold-off after it
    pub(super) retired: AtomicBool, // must not write any more
    guard: Mutex<GuardSlot>,
}

/// The send guard of the next request on a connection.
#[derive(Default)]
struct GuardSlot {
    guard: Option<Option<Arc<SendGuard>>>, // outer none: no request assigned; inner none: nothing to check
    waker: Option<Waker>,
}

impl ExchangeMeter {
    /// Resets the counters for the next request.
    pub(super) fn start_request(&self) {
        self.bytes_read.store(0, Relaxed);
        self.read_limit.store(0, Relaxed);
        self.bytes_written.store(0, Relaxed);
        self.complete.store(false, Relaxed);
    }

    /// Sets the guard of the request that the connection was assigned. Prevents reuse of a connection whose streamed response
    /// hyper has read to its end but a slow client has not: the pool assigns the next request, and the state here is still that
    /// of the response before. Such a connection is retired.
    pub(super) fn set_guard(&self, guard: Option<Arc<SendGuard>>) {
        if self.bytes_written.load(Relaxed) > 0 && !self.complete.load(Relaxed) {
            self.retired.store(true, Relaxed);
        }
        let mut slot = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        slot.guard = Some(guard);
        slot.waker.take().into_iter().for_each(Waker::wake);
    }

    /// The response is complete.
    pub(super) fn end_response(&self, hold_off: bool) {
        self.complete.store(true, Relaxed);
        self.hold_off.store(hold_off, Relaxed);
        self.guard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .guard = None;
    }

    /// Whether the first byte of the request may be written; pending until the guard is set.
    fn poll_may_start(&self, cx: &mut Context<'_>) -> Poll<bool> {
        let mut slot = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        match &slot.guard {
            Some(guard) => Poll::Ready(guard.as_ref().is_none_or(|guard| guard.try_start())),
            None => {
                slot.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Returns the number of bytes read of the current response.
    fn record_read(&self, count: usize) -> usize {
        self.last_read
            .lock()
            .iter_mut()
            .for_each(|last| **last = Some(Instant::now()));
        self.bytes_read.fetch_add(count, Relaxed) + count
    }

    /// Time of the last read that belongs to the current response.
    pub(super) fn last_response_read(&self) -> Option<Instant> {
        self.last_read
            .lock()
            .ok()
            .and_then(|last| last.filter(|_| self.bytes_read.load(Relaxed) > 0))
    }

    /// Whether nothing was read and fewer bytes were written than the request has; true if its length is not known.
    pub(super) fn wrote_less_than(&self, length: Option<usize>) -> bool {
        self.bytes_read.load(Relaxed) == 0
            && length.is_none_or(|length| self.bytes_written.load(Relaxed) < length)
    }
}

/// A TCP connection to an endpoint that meters its traffic and checks the send guard before each request.
pub struct MeteredStream {
    pub(super) stream: TcpStream,
    pub(super) meter: Arc<ExchangeMeter>,
    pub(super) size_limited: bool,
    pub(super) last_malformed: LastMalformed,
    pub(super) hold_off: Option<Pin<Box<Sleep>>>, // set while a request waits for the hold-off
    pub(super) _permit: OwnedSemaphorePermit,
}

impl MeteredStream {
    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &written {
            self.meter.bytes_written.fetch_add(*n, Relaxed);
        }
        written
    }

    /// Runs before the first byte of a request. Prevents sending a request that is no longer wanted or whose endpoint changed.
    fn poll_may_write(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_hold_off(cx))?;
        // Only connections of relays and probes get a send guard.
        if self.size_limited
            && self.meter.bytes_written.load(Relaxed) == 0
            && !ready!(self.meter.poll_may_start(cx))
        {
            return Poll::Ready(Err(self.retire("the request may no longer be sent")));
        }
        Poll::Ready(Ok(()))
    }

    /// Runs before the first byte of a request that follows a response. Prevents surplus bytes after that response, such as a
    /// duplicate of it, from being taken for the response to this request.
    fn poll_hold_off(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper may go on to write its buffer after a read error.
        if self.meter.retired.load(Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let Some(last) = self
            .meter
            .last_response_read()
            .filter(|_| self.meter.complete.load(Relaxed))
        else {
            return Poll::Ready(Ok(()));
        };
        if self.meter.hold_off.load(Relaxed) {
            let until = last + self.last_malformed.hold_off();
            let sleep = self
                .hold_off
                .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
            ready!(sleep.as_mut().poll(cx));
        }
        match peek_socket(&self.stream) {
            SocketInput::Empty => {
                self.hold_off = None;
                self.meter.start_request();
                Poll::Ready(Ok(()))
            }
            SocketInput::Bytes => {
                self.last_malformed.record();
                Poll::Ready(Err(self.retire(UNEXPECTED_INPUT)))
            }
            SocketInput::Closed => Poll::Ready(Err(self.retire(UNEXPECTED_INPUT))),
        }
    }

    fn retire(&self, reason: &'static str) -> io::Error {
        self.meter.start_request();
        self.meter.retired.store(true, Relaxed);
        io::Error::new(io::ErrorKind::InvalidData, reason)
    }
}

impl Connection for MeteredStream {
    fn connected(&self) -> Connected {
        Connected::new().extra(Arc::clone(&self.meter))
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        if self.hold_off.is_some() {
            // The next request waits for the hold-off, so no input is due.
            return Poll::Ready(Err(self.retire(UNEXPECTED_INPUT)));
        }
        // Acknowledge at once: what the endpoint's kernel holds back until then has to arrive now, not after the next request.
        let _ = socket2::SockRef::from(&self.stream).set_tcp_quickack(true);
        // Prevents endless responses.
        let max = self
            .meter
            .read_limit
            .load(Relaxed)
            .max(MAX_BYTES_BEFORE_BODY);
        if count > 0 && self.meter.record_read(count) > max && self.size_limited {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "response is over the size limit",
            )));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_may_write(cx))?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_may_write(cx))?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
