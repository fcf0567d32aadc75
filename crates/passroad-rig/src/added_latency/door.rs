//! How a caller reaches a tier: blocking sockets, connections kept or closed, one request at a time on each.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longer than any limit of a call.
const PATIENCE: Duration = Duration::from_secs(3);
const LONGEST: usize = 64 << 10;
const MOST_HEADERS: usize = 32;

pub fn held<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A connection and what has been read ahead on it.
pub struct Wire {
    stream: TcpStream,
    ahead: Vec<u8>,
}

/// What is needed of a message; its body is read and dropped.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Message {
    /// Of a request.
    pub target: String,
    /// Of an answer; 0 for a request.
    pub status: u16,
    /// `Req-Id` and `Req-Deadline-Ms` as they came.
    pub id: String,
    pub left_ms: u64,
    /// Whoever sent it closes the connection behind it, or asks for that.
    pub closes: bool,
}

impl Wire {
    pub fn new(stream: TcpStream) -> io::Result<Wire> {
        stream.set_nodelay(true)?;
        Ok(Wire {
            stream,
            ahead: Vec::new(),
        })
    }

    fn to(address: SocketAddr) -> io::Result<Wire> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Wire::new(stream)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits until something of the next message has come; false where the connection has ended.
    pub fn comes(&mut self) -> io::Result<bool> {
        Ok(!self.ahead.is_empty() || self.more()?)
    }

    fn more(&mut self) -> io::Result<bool> {
        let mut room = [0; 4096];
        let count = self.stream.read(&mut room)?;
        self.ahead.extend_from_slice(&room[..count]);
        Ok(count > 0)
    }

    /// None where the connection ends between two messages.
    pub fn read(&mut self, request: bool) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = parse(&self.ahead, request)? {
                while self.ahead.len() < length {
                    if !self.more()? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                self.ahead.drain(..length);
                return Ok(Some(message));
            }
            if !self.more()? {
                return if self.ahead.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }
}

/// A message and its length with its body; none while its head is not whole.
fn parse(bytes: &[u8], request: bool) -> io::Result<Option<(Message, usize)>> {
    let odd = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let mut room = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let (mut message, head, headers) = if request {
        let mut parsed = httparse::Request::new(&mut room);
        let httparse::Status::Complete(head) =
            parsed.parse(bytes).map_err(|e| odd(e.to_string()))?
        else {
            return Ok(None);
        };
        let target = parsed.path.unwrap_or_default().to_string();
        (
            Message {
                target,
                ..Message::default()
            },
            head,
            parsed.headers,
        )
    } else {
        let mut parsed = httparse::Response::new(&mut room);
        let httparse::Status::Complete(head) =
            parsed.parse(bytes).map_err(|e| odd(e.to_string()))?
        else {
            return Ok(None);
        };
        (
            Message {
                status: parsed.code.unwrap_or_default(),
                ..Message::default()
            },
            head,
            parsed.headers,
        )
    };
    let mut body = 0;
    for header in headers.iter() {
        let value = String::from_utf8_lossy(header.value);
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                body = value
                    .trim()
                    .parse()
                    .map_err(|_| odd(format!("a length of '{value}'")))?;
            }
            "connection" => message.closes = value.trim().eq_ignore_ascii_case("close"),
            "req-id" => message.id = value.trim().to_string(),
            "req-deadline-ms" => message.left_ms = value.trim().parse().unwrap_or_default(),
            _ => {}
        }
    }
    if body > LONGEST {
        return Err(odd(format!("a body of {body} bytes")));
    }
    Ok(Some((message, head + body)))
}

/// Where callers reach a tier: all its endpoints, or the one sidecar before them.
pub struct Door {
    sides: Vec<(SocketAddr, Mutex<Vec<Wire>>)>,
    closes: bool,
    /// Kept connections that turned out to be closed.
    pub stale: AtomicU64,
}

impl Door {
    /// With `closes` each call opens a connection of its own, and asks that it be closed behind the answer.
    pub fn new(addresses: &[SocketAddr], closes: bool) -> Door {
        let sides = addresses
            .iter()
            .map(|address| (*address, Mutex::default()))
            .collect();
        Door {
            sides,
            closes,
            stale: AtomicU64::new(0),
        }
    }

    /// One call, and the status that it was answered with. `pick` says to which address, where there are several.
    pub fn call(&self, pick: usize, id: &str, left_ms: u64) -> io::Result<u16> {
        let (address, kept) = &self.sides[pick % self.sides.len()];
        let close = if self.closes {
            "Connection: close\r\n"
        } else {
            ""
        };
        let request = format!(
            "GET /look HTTP/1.1\r\nHost: rig\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {left_ms}\r\n{close}\r\n"
        );
        loop {
            let wire = held(kept).pop();
            let new = wire.is_none();
            let mut wire = match wire {
                Some(wire) => wire,
                None => Wire::to(*address)?,
            };
            let answer = wire
                .write(request.as_bytes())
                .and_then(|()| wire.read(false));
            match answer {
                Ok(Some(answer)) => {
                    if !answer.closes && !self.closes {
                        held(kept).push(wire);
                    }
                    return Ok(answer.status);
                }
                // A kept connection that was closed meanwhile has taken nothing, and these calls may be repeated.
                Ok(None) | Err(_) if !new => drop(self.stale.fetch_add(1, Relaxed)),
                Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(fault) => return Err(fault),
            }
        }
    }
}
