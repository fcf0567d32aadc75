//! Flow control of the bodies that pass through: how much is read at a time, and how much is handed to hyper before it has been
//! written. hyper buffers more by itself, for each of hundreds of connections.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes read from a socket at a time. hyper starts with a read buffer of 8 KiB, and doubles it after a read that fills it.
pub const MAX_READ_BYTES: usize = (8 << 10) - 1;
/// With this many bytes handed to hyper and not known to be written, a body has to wait.
const MAX_UNWRITTEN_BYTES: usize = 4 << 10;

/// Reads from a socket, `MAX_READ_BYTES` at most.
pub fn poll_read_limited(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<std::io::Result<()>> {
    let mut limited = stream.take(MAX_READ_BYTES as u64);
    Pin::new(&mut limited).poll_read(cx, buf)
}

/// Counts how often hyper has written everything that it had buffered for a connection.
#[derive(Default)]
pub struct FlushCounter(Mutex<Flushes>);

#[derive(Default)]
struct Flushes {
    count: u64,
    waker: Option<Waker>, // of a body that waits for the next one
}

impl FlushCounter {
    fn flushes(&self) -> MutexGuard<'_, Flushes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Everything that was buffered has been written.
    pub fn record(&self) {
        let mut flushes = self.flushes();
        flushes.count += 1;
        flushes.waker.take().into_iter().for_each(Waker::wake);
    }

    /// The flushes so far.
    pub fn count(&self) -> u64 {
        self.flushes().count
    }

    /// Ready once the count is over this one.
    pub fn poll_beyond(&self, count: u64, cx: &mut Context<'_>) -> Poll<()> {
        let mut flushes = self.flushes();
        if flushes.count > count {
            return Poll::Ready(());
        }
        flushes.waker = Some(cx.waker().clone());
        Poll::Pending
    }
}

/// What a body has handed to hyper since the last flush of its connection.
pub struct WriteWindow {
    flushes: Arc<FlushCounter>,
    count: u64, // flushes when the last chunk was handed over
    unwritten: usize,
}

impl WriteWindow {
    /// The window of a body that has handed over nothing yet.
    pub fn new(flushes: Arc<FlushCounter>) -> Self {
        WriteWindow {
            flushes,
            count: 0,
            unwritten: 0,
        }
    }

    /// Ready when the body may hand over its next chunk.
    pub fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.unwritten >= MAX_UNWRITTEN_BYTES {
            ready!(self.flushes.poll_beyond(self.count, cx));
            self.unwritten = 0;
        }
        Poll::Ready(())
    }

    /// The body hands over a chunk of this length.
    pub fn record(&mut self, bytes: usize) {
        let count = self.flushes.count();
        if count > self.count {
            self.unwritten = 0;
        }
        (self.count, self.unwritten) = (count, self.unwritten + bytes);
    }
}

#[cfg(test)]
mod tests;
