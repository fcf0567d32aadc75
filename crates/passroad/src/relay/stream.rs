//! The TCP connections to endpoints: each meters its traffic, and checks before a request is written that the connection may
//! be reused and that the request is still wanted.

use super::exchange_state::{ConnectionExchanges, ExchangeState, NextWrite, Retired};
use crate::flow_control::poll_read_limited;
use crate::listener::{SocketInput, peek_socket};
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
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

/// A TCP connection to an endpoint that meters its traffic and checks the send guard before each request.
pub struct MeteredStream {
    pub(super) stream: TcpStream,
    pub(super) exchanges: Arc<ConnectionExchanges>,
    pub(super) size_limited: bool,
    pub(super) last_malformed: LastMalformed,
    pub(super) hold_off: Option<Pin<Box<Sleep>>>, // set while a request waits for the hold-off
    pub(super) _permit: OwnedSemaphorePermit,
}

impl MeteredStream {
    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &written {
            self.exchanges.record_written(*count);
            self.hold_off = None;
        }
        written
    }

    /// Runs before each write. Prevents sending a request that is no longer wanted or whose endpoint changed.
    fn poll_may_write(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Only connections of relays and probes are assigned to exchanges.
        if !self.size_limited {
            return Poll::Ready(Ok(()));
        }
        let next = match ready!(self.exchanges.poll_next_write(cx)) {
            Ok(next) => next,
            Err(Retired) => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        };
        let NextWrite::Start { exchange, previous } = next else {
            return Poll::Ready(Ok(()));
        };
        if let Some(previous) = previous {
            ready!(self.poll_hold_off(&previous, cx))?;
        }
        if !exchange.try_start() {
            return Poll::Ready(Err(self.retire("the request may no longer be sent")));
        }
        Poll::Ready(Ok(()))
    }

    /// Runs before the first byte of a request that follows a response. Prevents surplus bytes after that response, such as a
    /// duplicate of it, from being taken for the response to this request.
    fn poll_hold_off(
        &mut self,
        previous: &ExchangeState,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(last) = previous.last_read().filter(|_| previous.needs_hold_off()) {
            let until = last + self.last_malformed.hold_off();
            let sleep = self
                .hold_off
                .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
            ready!(sleep.as_mut().poll(cx));
        }
        match peek_socket(&self.stream) {
            SocketInput::Empty => Poll::Ready(Ok(())),
            SocketInput::Bytes => {
                self.last_malformed.record();
                Poll::Ready(Err(self.retire(UNEXPECTED_INPUT)))
            }
            SocketInput::Closed => Poll::Ready(Err(self.retire(UNEXPECTED_INPUT))),
        }
    }

    fn retire(&self, reason: &'static str) -> io::Error {
        self.exchanges.retire(reason);
        io::Error::new(io::ErrorKind::InvalidData, reason)
    }

    /// Prevents endless responses.
    fn is_over_limit(&self, exchange: Option<Arc<ExchangeState>>) -> bool {
        let over_limit = |exchange: Arc<ExchangeState>| {
            exchange.bytes_read() > exchange.read_limit().max(MAX_BYTES_BEFORE_BODY)
        };
        self.size_limited && exchange.is_some_and(over_limit)
    }
}

impl Connection for MeteredStream {
    fn connected(&self) -> Connected {
        Connected::new().extra(Arc::clone(&self.exchanges))
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(poll_read_limited(&mut self.stream, cx, buf))?;
        let count = buf.filled().len() - before;
        if self.exchanges.is_between_exchanges() {
            return Poll::Ready(Err(self.retire(UNEXPECTED_INPUT)));
        }
        // Acknowledge at once: what the endpoint's kernel holds back until then has to arrive now, not after the next request.
        let _ = socket2::SockRef::from(&self.stream).set_tcp_quickack(true);
        let exchange = self.exchanges.record_read(count);
        if count > 0 && self.is_over_limit(exchange) {
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
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        // hyper calls this only once it has written everything that it had buffered.
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.exchanges.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
