//! HTTP/1.1 as little as stand-ins need: a message is read whole, and written whole or spoilt on purpose.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const LONGEST: usize = 256 << 10;
const MOST_HEADERS: usize = 32;

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Message {
    /// The method of a request; empty for an answer.
    pub method: String,
    pub target: String,
    /// Of an answer; 0 for a request.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
}

/// A connection and what has been read ahead on it.
pub struct Talk {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Talk {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Talk {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Whether something of a next message has come already.
    pub fn came_ahead(&self) -> bool {
        !self.ahead.is_empty()
    }

    pub async fn request(&mut self) -> io::Result<Option<Message>> {
        self.read(true).await
    }

    pub async fn answer(&mut self) -> io::Result<Option<Message>> {
        self.read(false).await
    }

    /// None where the connection ends between two messages.
    async fn read(&mut self, request: bool) -> io::Result<Option<Message>> {
        loop {
            if let Some((mut message, head, length)) = parse(&self.ahead, request)? {
                while self.ahead.len() < head + length {
                    if self.stream.read_buf(&mut self.ahead).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                message.body = self.ahead[head..head + length].to_vec();
                self.ahead.drain(..head + length);
                return Ok(Some(message));
            }
            if self.ahead.len() > LONGEST {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "a head without end",
                ));
            }
            if self.stream.read_buf(&mut self.ahead).await? == 0 {
                let fault = io::ErrorKind::UnexpectedEof;
                return if self.ahead.is_empty() {
                    Ok(None)
                } else {
                    Err(fault.into())
                };
            }
        }
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends once the other side has closed; what it sends meanwhile is kept.
    pub async fn closed(&mut self) {
        while !self.came_ahead() {
            match self.stream.read_buf(&mut self.ahead).await {
                Ok(n) if n > 0 => {}
                _ => return,
            }
        }
        // Something came ahead of its turn: it is no end, and nothing more is looked for.
        std::future::pending().await
    }

    /// So that closing it is a reset.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// A message's head, its length and that of the body behind it; none while it is not whole.
fn parse(bytes: &[u8], request: bool) -> io::Result<Option<(Message, usize, usize)>> {
    let odd = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let mut room = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let (mut message, head, headers) = if request {
        let mut parsed = httparse::Request::new(&mut room);
        let httparse::Status::Complete(head) =
            parsed.parse(bytes).map_err(|e| odd(e.to_string()))?
        else {
            return Ok(None);
        };
        let (method, target) = (
            parsed.method.unwrap_or_default(),
            parsed.path.unwrap_or_default(),
        );
        let message = Message {
            method: method.into(),
            target: target.into(),
            ..Message::default()
        };
        (message, head, parsed.headers)
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
    for header in headers.iter() {
        message.headers.push((
            header.name.into(),
            String::from_utf8_lossy(header.value).trim().into(),
        ));
    }
    let length = match message.header("content-length") {
        None => 0,
        Some(text) => text
            .parse()
            .map_err(|_| odd(format!("a length of '{text}'")))?,
    };
    if length > LONGEST {
        return Err(odd(format!("a body of {length} bytes")));
    }
    Ok(Some((message, head, length)))
}

pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
