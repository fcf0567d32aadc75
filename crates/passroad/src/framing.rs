//! A client's connection as its bytes come. The HTTP library tells what it made of a head and hides the rest; where a
//! request ends must not be open to two readings, here and at an endpoint, so it is looked at here as well.

use crate::listener::ClientConnection;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

pub const MAX_HEAD_BYTES: usize = 16 << 10;
const MOST_HEADERS: usize = 100;

/// Where in a request the next byte belongs.
enum Part {
    Head(Vec<u8>),
    Body(u64),
    Chunks, // only the library finds its end
    Over,   // nothing is due before the answer
}

struct Reading {
    part: Part,
    two_lengths: bool,
    head_since: Option<Instant>, // its first byte
    ahead: bool,                 // something came where nothing was due
}

/// How far a connection's present request has come.
pub struct RequestFraming {
    reading: Mutex<Reading>,
    comes: Notify,
}

impl Default for RequestFraming {
    fn default() -> Self {
        let reading = Reading {
            part: Part::Head(Vec::new()),
            two_lengths: false,
            head_since: None,
            ahead: false,
        };
        RequestFraming {
            reading: Mutex::new(reading),
            comes: Notify::new(),
        }
    }
}

impl RequestFraming {
    fn reading(&self) -> MutexGuard<'_, Reading> {
        self.reading.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, bytes: &[u8]) {
        let mut reading = self.reading();
        reading.record(bytes);
        if reading.ahead {
            self.comes.notify_one();
        }
    }

    /// Whether the length is stated more than once, or beside chunks.
    pub fn has_ambiguous_length(&self) -> bool {
        self.reading().two_lengths
    }

    /// Whether part of a head has come, and no more.
    pub fn has_partial_head(&self) -> bool {
        matches!(&self.reading().part, Part::Head(head) if !head.is_empty())
    }

    /// Where a head is awaited: since when a part of it has been there.
    pub fn awaiting_head(&self) -> Option<Option<Instant>> {
        let reading = self.reading();
        matches!(reading.part, Part::Head(_)).then_some(reading.head_since)
    }

    /// Whether the request said that more would come.
    pub fn expects_body(&self) -> bool {
        matches!(&self.reading().part, Part::Body(_) | Part::Chunks)
    }

    /// Whether nothing that comes after the present request may be taken for the next.
    pub fn must_close(&self) -> bool {
        let reading = self.reading();
        reading.ahead || !matches!(reading.part, Part::Over)
    }

    pub fn has_early_bytes(&self) -> bool {
        self.reading().ahead
    }

    /// Ends when something comes where nothing is due.
    pub async fn early_bytes(&self) {
        while !self.reading().ahead {
            self.comes.notified().await;
        }
    }

    /// The answer is there: what comes now is the next head.
    pub fn response_sent(&self) {
        let mut reading = self.reading();
        if matches!(reading.part, Part::Over) && !reading.ahead {
            (reading.part, reading.head_since) = (Part::Head(Vec::new()), None);
        }
    }
}

impl Reading {
    fn record(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.part {
                Part::Head(head) => {
                    self.head_since.get_or_insert_with(Instant::now);
                    let before = head.len();
                    head.extend_from_slice(bytes);
                    let (size, part, two) = match heads_end(head) {
                        Some(read) => read,
                        None if head.len() <= MAX_HEAD_BYTES => return,
                        // The library turns it away.
                        None => (head.len(), Part::Over, false),
                    };
                    (self.part, self.two_lengths) = (part, two);
                    bytes = &bytes[size.saturating_sub(before).min(bytes.len())..];
                }
                Part::Body(left) => {
                    let taken = (bytes.len() as u64).min(*left);
                    *left -= taken;
                    bytes = &bytes[taken as usize..];
                    if *left == 0 {
                        self.part = Part::Over;
                    }
                }
                Part::Chunks => return,
                Part::Over => {
                    self.ahead = true;
                    return;
                }
            }
        }
    }
}

/// Length of a head, what follows it, and whether that is told twice; none where it goes on.
fn heads_end(head: &[u8]) -> Option<(usize, Part, bool)> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let size = match request.parse(head) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => return Some((head.len(), Part::Over, false)),
    };
    let named = |name: &'static str| {
        request
            .headers
            .iter()
            .filter(move |h| h.name.eq_ignore_ascii_case(name))
            .map(|h| h.value)
    };
    let chunks = named("transfer-encoding").next().is_some();
    let two = named("content-length").count() + usize::from(chunks) > 1;
    let length = named("content-length")
        .next()
        .and_then(|v| std::str::from_utf8(v).ok()?.trim().parse().ok());
    let part = match (chunks, length) {
        (true, _) => Part::Chunks,
        (false, None | Some(0)) => Part::Over,
        (false, Some(length)) => Part::Body(length),
    };
    Some((size, part, two))
}

/// A client's stream. The look before a relay asks the system about it; nobody else reads or writes.
pub type SharedStream = Arc<Mutex<TcpStream>>;

/// The stream, each byte shown to its frame.
pub struct FramedStream {
    pub stream: SharedStream,
    pub talk: Arc<ClientConnection>,
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
        let read = Pin::new(&mut *self.stream()).poll_read(cx, buf);
        self.talk.framing.record(&buf.filled()[before..]);
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
        Pin::new(&mut *self.stream()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream()).poll_shutdown(cx)
    }
}
