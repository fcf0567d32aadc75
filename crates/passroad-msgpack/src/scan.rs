//! Where a value ends. Every byte is looked at once, however a stream is cut into pieces, and what is open is a stack of
//! counters that the depth limit bounds.

use crate::Fault;
use rmp::Marker;

/// Of one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes.
    pub length: usize,
    /// Arrays and maps within one another, the message's own array among them.
    pub depth: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            length: 128 << 10,
            depth: 64,
        }
    }
}

/// How far a value has been followed.
#[derive(Debug)]
pub struct Scan {
    limits: Limits,
    at: usize,      // of the next header
    open: Vec<u64>, // values still to come in each array or map that is open
    begun: bool,
}

/// A header: its own length, bytes that follow it, values that it holds.
struct Header {
    length: usize,
    bytes: u64,
    values: u64,
}

impl Scan {
    pub fn new(limits: Limits) -> Self {
        Scan {
            limits,
            at: 0,
            open: Vec::new(),
            begun: false,
        }
    }

    /// The length of the value at the front of what is held; none until it is whole. Called again with more bytes behind
    /// the same ones it goes on where it was.
    pub fn run(&mut self, held: &[u8]) -> Result<Option<usize>, Fault> {
        loop {
            if self.begun && self.open.is_empty() {
                // The last value's own bytes may still be on their way.
                return Ok((self.at <= held.len()).then_some(self.at));
            }
            if self.at >= held.len() {
                return Ok(None);
            }
            let Some(header) = header(&held[self.at..])? else {
                return Ok(None);
            };
            self.begun = true;
            let end = (self.at + header.length) as u64 + header.bytes;
            // Each value takes a byte at least: more of them than the limit leaves is a lie, found before they come.
            let least = self.open.iter().fold(end + header.values, |sum, n| {
                sum.saturating_add(n.saturating_sub(1))
            });
            if least > self.limits.length as u64 {
                return Err(Fault::TooLong);
            }
            self.at = end as usize;
            if let Some(left) = self.open.last_mut() {
                *left -= 1;
            }
            if header.values > 0 {
                if self.open.len() >= self.limits.depth {
                    return Err(Fault::TooDeep);
                }
                self.open.push(header.values);
            }
            while self.open.last() == Some(&0) {
                self.open.pop();
            }
        }
    }
}

/// The header at the front; none where it is not whole.
fn header(bytes: &[u8]) -> Result<Option<Header>, Fault> {
    let (first, rest) = match bytes.split_first() {
        Some((first, rest)) => (Marker::from_u8(*first), rest),
        None => return Ok(None),
    };
    // A size of so many bytes that follows the marker.
    let size = |width: usize| -> Option<u64> {
        rest.get(..width)
            .map(|b| b.iter().fold(0u64, |n, byte| n << 8 | u64::from(*byte)))
    };
    let plain = |bytes: u64| {
        Some(Header {
            length: 1,
            bytes,
            values: 0,
        })
    };
    let sized = |width: usize, more: u64| {
        size(width).map(|n| Header {
            length: 1 + width,
            bytes: n + more,
            values: 0,
        })
    };
    let holds = |width: usize, each: u64| {
        size(width).map(|n| Header {
            length: 1 + width,
            bytes: 0,
            values: n * each,
        })
    };
    Ok(match first {
        Marker::Reserved => return Err(Fault::Reserved),
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            plain(0)
        }
        Marker::U8 | Marker::I8 => plain(1),
        Marker::U16 | Marker::I16 => plain(2),
        Marker::U32 | Marker::I32 | Marker::F32 => plain(4),
        Marker::U64 | Marker::I64 | Marker::F64 => plain(8),
        Marker::FixExt1 => plain(2),
        Marker::FixExt2 => plain(3),
        Marker::FixExt4 => plain(5),
        Marker::FixExt8 => plain(9),
        Marker::FixExt16 => plain(17),
        Marker::FixStr(n) => plain(u64::from(n)),
        Marker::Str8 | Marker::Bin8 => sized(1, 0),
        Marker::Str16 | Marker::Bin16 => sized(2, 0),
        Marker::Str32 | Marker::Bin32 => sized(4, 0),
        Marker::Ext8 => sized(1, 1),
        Marker::Ext16 => sized(2, 1),
        Marker::Ext32 => sized(4, 1),
        Marker::FixArray(n) => Some(Header {
            length: 1,
            bytes: 0,
            values: u64::from(n),
        }),
        Marker::Array16 => holds(2, 1),
        Marker::Array32 => holds(4, 1),
        Marker::FixMap(n) => Some(Header {
            length: 1,
            bytes: 0,
            values: 2 * u64::from(n),
        }),
        Marker::Map16 => holds(2, 2),
        Marker::Map32 => holds(4, 2),
    })
}
