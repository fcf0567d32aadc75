//! Sans-I/O decoder and encoder for MessagePack-RPC, as in its public specification: requests
//! `[0, msgid, method, params]`, responses `[1, msgid, error, result]` and notifications `[2, method, params]`. Params
//! and results are kept as encoded bytes.
//!
//! Memory is bounded against untrusted input: no buffer is allocated from a length stated in a header, messages over
//! the limit are rejected, and nesting costs a counter instead of stack depth.

mod encode;
mod scanner;

pub use encode::{encode_notification, encode_request, encode_response};
pub use scanner::{Limits, ValueScanner};

use bytes::{Buf, Bytes, BytesMut};
use rmp::Marker;

/// One message. Params, errors and results are the encoded values as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    Request {
        id: u32,
        method: Bytes,
        params: Bytes,
    },
    Response {
        id: u32,
        error: Bytes,
        result: Bytes,
    },
    Notification {
        method: Bytes,
        params: Bytes,
    },
}

/// Why a stream can't be decoded any further. Messages decoded before the error remain valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// Longer than [`Limits::max_length`].
    TooLong,
    /// Nested deeper than [`Limits::max_depth`].
    TooDeep,
    /// The marker `0xc1`, which MessagePack never uses.
    ReservedMarker,
    /// Not an array of three or four values, or an unknown message type.
    InvalidMessage,
    /// The id is not an unsigned 32-bit integer.
    InvalidId,
    /// The method is not a string, or not UTF-8.
    InvalidMethod,
    /// The params are not an array.
    InvalidParams,
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            DecodeError::TooLong => "message exceeds the length limit",
            DecodeError::TooDeep => "message exceeds the nesting limit",
            DecodeError::ReservedMarker => "reserved marker 0xc1 in the stream",
            DecodeError::InvalidMessage => "not a MessagePack-RPC message",
            DecodeError::InvalidId => "message id is not an unsigned 32-bit integer",
            DecodeError::InvalidMethod => "method is not a UTF-8 string",
            DecodeError::InvalidParams => "params are not an array",
        })
    }
}

impl std::error::Error for DecodeError {}

/// Decodes messages from a byte stream that arrives in chunks of any size.
#[derive(Debug)]
pub struct MessageDecoder {
    limits: Limits,
    buffer: BytesMut,
    scanner: ValueScanner,
    error: Option<DecodeError>,
}

impl MessageDecoder {
    pub fn new(limits: Limits) -> Self {
        MessageDecoder {
            limits,
            buffer: BytesMut::new(),
            scanner: ValueScanner::new(limits),
            error: None,
        }
    }

    /// Appends received bytes. After an error they are discarded, as the start of the next message is unknown.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Bytes received but not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// How many more bytes may be fed before they must yield a complete message or an error.
    pub fn remaining_capacity(&self) -> usize {
        (self.limits.max_length + 1).saturating_sub(self.buffer.len())
    }

    /// The next complete message, or none until more bytes arrive.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let decoded = match self.scanner.scan(&self.buffer) {
            Ok(None) => return Ok(None),
            Ok(Some(length)) => {
                let message = self.buffer.split_to(length).freeze();
                self.scanner = ValueScanner::new(self.limits);
                decode(message)
            }
            Err(error) => Err(error),
        };
        if let Err(error) = decoded {
            self.error = Some(error);
            self.buffer = BytesMut::new();
        }
        decoded.map(Some)
    }
}

/// Splits the first value off a complete message, still encoded.
fn take_value(rest: &mut Bytes) -> Result<Bytes, DecodeError> {
    let unlimited = Limits {
        max_length: usize::MAX,
        max_depth: usize::MAX,
    };
    let length = ValueScanner::new(unlimited)
        .scan(rest)?
        .ok_or(DecodeError::InvalidMessage)?;
    Ok(rest.split_to(length))
}

fn decode(mut message: Bytes) -> Result<Message, DecodeError> {
    let element_count = match Marker::from_u8(message.get_u8()) {
        Marker::FixArray(n) => usize::from(n),
        Marker::Array16 => usize::from(message.get_u16()),
        Marker::Array32 => message.get_u32() as usize,
        _ => return Err(DecodeError::InvalidMessage),
    };
    if !(3..=4).contains(&element_count) {
        return Err(DecodeError::InvalidMessage);
    }
    let message_type = decode_u32(&take_value(&mut message)?).ok_or(DecodeError::InvalidMessage)?;
    match (message_type, element_count) {
        (0, 4) => {
            let id = decode_u32(&take_value(&mut message)?).ok_or(DecodeError::InvalidId)?;
            let (method, params) = (
                str_contents(take_value(&mut message)?)?,
                require_array(take_value(&mut message)?)?,
            );
            Ok(Message::Request { id, method, params })
        }
        (1, 4) => {
            let id = decode_u32(&take_value(&mut message)?).ok_or(DecodeError::InvalidId)?;
            let (error, result) = (take_value(&mut message)?, take_value(&mut message)?);
            Ok(Message::Response { id, error, result })
        }
        (2, 3) => {
            let (method, params) = (
                str_contents(take_value(&mut message)?)?,
                require_array(take_value(&mut message)?)?,
            );
            Ok(Message::Notification { method, params })
        }
        _ => Err(DecodeError::InvalidMessage),
    }
}

/// Decodes an unsigned 32-bit integer, whatever width it is encoded with.
pub fn decode_u32(value: &[u8]) -> Option<u32> {
    let mut rest = value;
    let number = rmp::decode::read_int::<u64, _>(&mut rest).ok()?;
    u32::try_from(number).ok().filter(|_| rest.is_empty())
}

/// The contents of a string value, without its header.
fn str_contents(value: Bytes) -> Result<Bytes, DecodeError> {
    let header_length = match Marker::from_u8(*value.first().ok_or(DecodeError::InvalidMethod)?) {
        Marker::FixStr(_) => 1,
        Marker::Str8 => 2,
        Marker::Str16 => 3,
        Marker::Str32 => 5,
        _ => return Err(DecodeError::InvalidMethod),
    };
    let text = value.slice(header_length..);
    std::str::from_utf8(&text).map_err(|_| DecodeError::InvalidMethod)?;
    Ok(text)
}

fn require_array(value: Bytes) -> Result<Bytes, DecodeError> {
    match value.first().map(|byte| Marker::from_u8(*byte)) {
        Some(Marker::FixArray(_) | Marker::Array16 | Marker::Array32) => Ok(value),
        _ => Err(DecodeError::InvalidParams),
    }
}

#[cfg(test)]
mod tests;
