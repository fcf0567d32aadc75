//! MessagePack-RPC off a stream of bytes: requests `[0, msgid, method, params]`, responses `[1, msgid, error, result]`
//! and notifications `[2, method, params]`, as the public specification of MessagePack-RPC has them. No input or output
//! here: bytes go in as they come, whole messages come out. Params and results stay the bytes that they were.
//!
//! A length that a sender states is believed only as far as bytes have come: what is held never grows past the limit,
//! whatever a header says, and depth costs a counter, no stack.

mod scan;
mod write;

pub use scan::{Limits, Scan};
pub use write::{notification, request, response};

use bytes::{Buf, Bytes, BytesMut};
use rmp::Marker;

/// One message, its values as they came.
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

/// Why a stream can't be read on. What was read before stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Longer than a message may be.
    TooLong,
    /// Nested deeper than a message may be.
    TooDeep,
    /// The marker that MessagePack never uses.
    Reserved,
    /// No array of three or four values, or of another type than there are.
    NoMessage,
    /// An id that is no whole number of 32 bits.
    OddId,
    /// A method that is no text, or not UTF-8.
    OddMethod,
    /// Params that are no array.
    OddParams,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Fault::TooLong => "a message longer than allowed",
            Fault::TooDeep => "a message nested deeper than allowed",
            Fault::Reserved => "the reserved marker 0xc1",
            Fault::NoMessage => "no MessagePack-RPC message",
            Fault::OddId => "an id that is no whole number of 32 bits",
            Fault::OddMethod => "a method that is no text",
            Fault::OddParams => "params that are no array",
        })
    }
}

impl std::error::Error for Fault {}

/// Reads messages off a stream, in whatever pieces it comes.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    held: BytesMut,
    scan: Scan,
    fault: Option<Fault>,
}

impl Reader {
    pub fn new(limits: Limits) -> Self {
        Reader {
            limits,
            held: BytesMut::new(),
            scan: Scan::new(limits),
            fault: None,
        }
    }

    /// Takes bytes as they came. After a fault they are passed over: where the next message begins is not known.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.fault.is_none() {
            self.held.extend_from_slice(bytes);
        }
    }

    /// Bytes of a message that is not whole yet.
    pub fn pending(&self) -> usize {
        self.held.len()
    }

    /// How many more bytes may be fed before a whole message or a fault must come of them.
    pub fn room(&self) -> usize {
        (self.limits.length + 1).saturating_sub(self.held.len())
    }

    /// The next whole message; none until more bytes come.
    pub fn next_message(&mut self) -> Result<Option<Message>, Fault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        let read = match self.scan.run(&self.held) {
            Ok(None) => return Ok(None),
            Ok(Some(length)) => {
                let whole = self.held.split_to(length).freeze();
                self.scan = Scan::new(self.limits);
                read(whole)
            }
            Err(fault) => Err(fault),
        };
        if let Err(fault) = read {
            self.fault = Some(fault);
            self.held = BytesMut::new();
        }
        read.map(Some)
    }
}

/// Takes a value off the front, as its bytes. The message is known to be whole.
fn value(rest: &mut Bytes) -> Result<Bytes, Fault> {
    let anything = Limits {
        length: usize::MAX,
        depth: usize::MAX,
    };
    let length = Scan::new(anything).run(rest)?.ok_or(Fault::NoMessage)?;
    Ok(rest.split_to(length))
}

fn read(mut whole: Bytes) -> Result<Message, Fault> {
    let count = match Marker::from_u8(whole.get_u8()) {
        Marker::FixArray(n) => usize::from(n),
        Marker::Array16 => usize::from(whole.get_u16()),
        Marker::Array32 => whole.get_u32() as usize,
        _ => return Err(Fault::NoMessage),
    };
    if !(3..=4).contains(&count) {
        return Err(Fault::NoMessage);
    }
    let kind = number(&value(&mut whole)?).ok_or(Fault::NoMessage)?;
    match (kind, count) {
        (0, 4) => {
            let id = number(&value(&mut whole)?).ok_or(Fault::OddId)?;
            let (method, params) = (text(value(&mut whole)?)?, array(value(&mut whole)?)?);
            Ok(Message::Request { id, method, params })
        }
        (1, 4) => {
            let id = number(&value(&mut whole)?).ok_or(Fault::OddId)?;
            let (error, result) = (value(&mut whole)?, value(&mut whole)?);
            Ok(Message::Response { id, error, result })
        }
        (2, 3) => {
            let (method, params) = (text(value(&mut whole)?)?, array(value(&mut whole)?)?);
            Ok(Message::Notification { method, params })
        }
        _ => Err(Fault::NoMessage),
    }
}

/// A whole number of 32 bits, however wide it is written.
pub fn number(value: &[u8]) -> Option<u32> {
    let mut rest = value;
    let number = rmp::decode::read_int::<u64, _>(&mut rest).ok()?;
    u32::try_from(number).ok().filter(|_| rest.is_empty())
}

/// The text in a value, without its header.
fn text(value: Bytes) -> Result<Bytes, Fault> {
    let header = match Marker::from_u8(*value.first().ok_or(Fault::OddMethod)?) {
        Marker::FixStr(_) => 1,
        Marker::Str8 => 2,
        Marker::Str16 => 3,
        Marker::Str32 => 5,
        _ => return Err(Fault::OddMethod),
    };
    let text = value.slice(header..);
    std::str::from_utf8(&text).map_err(|_| Fault::OddMethod)?;
    Ok(text)
}

fn array(value: Bytes) -> Result<Bytes, Fault> {
    match value.first().map(|b| Marker::from_u8(*b)) {
        Some(Marker::FixArray(_) | Marker::Array16 | Marker::Array32) => Ok(value),
        _ => Err(Fault::OddParams),
    }
}

#[cfg(test)]
mod tests;
