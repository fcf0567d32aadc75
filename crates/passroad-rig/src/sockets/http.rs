//! The part of HTTP/1.1 that the stand-ins need: messages are read whole, and written whole or deliberately malformed.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_MESSAGE_BYTES: usize = 256 << 10;
const MAX_HEADERS: usize = 32;

/// A request or a response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Message {
    /// The method of a request; empty for a response.
    pub method: String,
    pub target: String,
    /// The status of a response; 0 for a request.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// A connection and the bytes that were read from it beyond the last message.
pub struct HttpConnection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpConnection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        HttpConnection {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Whether bytes of a next message were read already.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        self.read(true).await
    }

    pub async fn read_response(&mut self) -> io::Result<Option<Message>> {
        self.read(false).await
    }

    /// None where the peer closes the connection between two messages.
    async fn read(&mut self, request: bool) -> io::Result<Option<Message>> {
        loop {
            if let Some((mut message, head, length)) = parse(&self.buffer, request)? {
                while self.buffer.len() < head + length {
                    if self.stream.read_buf(&mut self.buffer).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                message.body = self.buffer[head..head + length].to_vec();
                self.buffer.drain(..head + length);
                return Ok(Some(message));
            }
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "head of a message is too long",
                ));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                let error = io::ErrorKind::UnexpectedEof;
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(error.into())
                };
            }
        }
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns once the peer has closed the connection; bytes that it sends meanwhile are buffered.
    pub async fn wait_closed(&mut self) {
        while !self.has_buffered_bytes() {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
        // The peer sent a further message early: the connection is open, and nothing more is read.
        std::future::pending().await
    }

    /// Makes closing the connection a TCP reset.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// The parsed head of a message, its length and the length of the body; None while the head is incomplete.
fn parse(bytes: &[u8], request: bool) -> io::Result<Option<(Message, usize, usize)>> {
    let invalid = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (mut message, head, headers) = if request {
        let mut parsed = httparse::Request::new(&mut header_buffer);
        let httparse::Status::Complete(head) =
            parsed.parse(bytes).map_err(|e| invalid(e.to_string()))?
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
        let mut parsed = httparse::Response::new(&mut header_buffer);
        let httparse::Status::Complete(head) =
            parsed.parse(bytes).map_err(|e| invalid(e.to_string()))?
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
            .map_err(|_| invalid(format!("invalid content-length '{text}'")))?,
    };
    if length > MAX_MESSAGE_BYTES {
        return Err(invalid(format!("body of {length} bytes is too long")));
    }
    Ok(Some((message, head, length)))
}

/// The bytes of a response; each line of `headers` ends with a line break.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
