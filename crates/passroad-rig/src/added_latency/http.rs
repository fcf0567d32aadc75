//! Blocking HTTP/1.1 client and connection: one request at a time per connection, connections reused or closed.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longer than the deadline of any call.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_BODY_BYTES: usize = 64 << 10;
const MAX_HEADERS: usize = 32;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stream and the bytes read from it but not yet parsed.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// The fields of a request or response that the measurement needs; the body is read and dropped.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Message {
    /// Request target; empty for a response.
    pub target: String,
    /// Response status; 0 for a request.
    pub status: u16,
    /// Value of `Req-Id`.
    pub id: String,
    /// Value of `Req-Deadline-Ms`; 0 where it is missing or not a number.
    pub remaining_ms: u64,
    /// The message carries `Connection: close`.
    pub close: bool,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            buffer: Vec::new(),
        })
    }

    fn connect(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Connection::new(stream)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for the first bytes of the next message; false where the peer has closed the connection.
    pub fn wait_readable(&mut self) -> io::Result<bool> {
        Ok(!self.buffer.is_empty() || self.fill()?)
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 4096];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads the next message; `None` where the connection ends between two messages.
    pub fn read_message(&mut self, is_request: bool) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = parse(&self.buffer, is_request)? {
                while self.buffer.len() < length {
                    if !self.fill()? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                self.buffer.drain(..length);
                return Ok(Some(message));
            }
            if !self.fill()? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }
}

/// A message and its length including the body; `None` while its head is incomplete.
fn parse(bytes: &[u8], is_request: bool) -> io::Result<Option<(Message, usize)>> {
    let invalid = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (mut message, head_length, headers) = if is_request {
        let mut parsed = httparse::Request::new(&mut header_slots);
        let httparse::Status::Complete(head_length) =
            parsed.parse(bytes).map_err(|e| invalid(e.to_string()))?
        else {
            return Ok(None);
        };
        let target = parsed.path.unwrap_or_default().to_string();
        (
            Message {
                target,
                ..Message::default()
            },
            head_length,
            parsed.headers,
        )
    } else {
        let mut parsed = httparse::Response::new(&mut header_slots);
        let httparse::Status::Complete(head_length) =
            parsed.parse(bytes).map_err(|e| invalid(e.to_string()))?
        else {
            return Ok(None);
        };
        (
            Message {
                status: parsed.code.unwrap_or_default(),
                ..Message::default()
            },
            head_length,
            parsed.headers,
        )
    };
    let mut body_length = 0;
    for header in headers.iter() {
        let value = String::from_utf8_lossy(header.value);
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                body_length = value
                    .trim()
                    .parse()
                    .map_err(|_| invalid(format!("invalid Content-Length '{value}'")))?;
            }
            "connection" => message.close = value.trim().eq_ignore_ascii_case("close"),
            "req-id" => message.id = value.trim().to_string(),
            "req-deadline-ms" => message.remaining_ms = value.trim().parse().unwrap_or_default(),
            _ => {}
        }
    }
    if body_length > MAX_BODY_BYTES {
        return Err(invalid(format!(
            "body of {body_length} bytes is longer than {MAX_BODY_BYTES}"
        )));
    }
    Ok(Some((message, head_length + body_length)))
}

/// Client of one tier: connects to all of its endpoints, or to the one sidecar in front of them.
pub struct Client {
    targets: Vec<(SocketAddr, Mutex<Vec<Connection>>)>,
    close: bool,
    /// Reused connections that turned out to be closed.
    pub stale_connections: AtomicU64,
}

impl Client {
    /// With `close` each call opens its own connection and asks the server to close it after the response.
    pub fn new(addresses: &[SocketAddr], close: bool) -> Client {
        let targets = addresses
            .iter()
            .map(|address| (*address, Mutex::default()))
            .collect();
        Client {
            targets,
            close,
            stale_connections: AtomicU64::new(0),
        }
    }

    /// Makes one call and returns the status of its response. `pick` selects among several addresses.
    pub fn call(&self, pick: usize, id: &str, remaining_ms: u64) -> io::Result<u16> {
        let (address, idle) = &self.targets[pick % self.targets.len()];
        let close_header = if self.close {
            "Connection: close\r\n"
        } else {
            ""
        };
        let request = format!(
            "GET /look HTTP/1.1\r\nHost: rig\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {remaining_ms}\r\n{close_header}\r\n"
        );
        loop {
            let connection = lock(idle).pop();
            let is_new = connection.is_none();
            let mut connection = match connection {
                Some(connection) => connection,
                None => Connection::connect(*address)?,
            };
            let response = connection
                .write(request.as_bytes())
                .and_then(|()| connection.read_message(false));
            match response {
                Ok(Some(response)) => {
                    if !response.close && !self.close {
                        lock(idle).push(connection);
                    }
                    return Ok(response.status);
                }
                // The server closed the idle connection and processed nothing; these calls are safe to repeat.
                Ok(None) | Err(_) if !is_new => drop(self.stale_connections.fetch_add(1, Relaxed)),
                Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(error) => return Err(error),
            }
        }
    }
}
