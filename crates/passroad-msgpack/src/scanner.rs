//! Finds the end of a MessagePack value. The scan resumes where it stopped, however the stream is split into chunks.
//! Open arrays and maps are a stack of counters bounded by the depth limit, so nesting costs no recursion.

use crate::DecodeError;
use rmp::Marker;

/// Limits on one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// In bytes.
    pub max_length: usize,
    /// Nested arrays and maps, including the array of the message itself.
    pub max_depth: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_length: 128 << 10,
            max_depth: 64,
        }
    }
}

/// Incremental scan of one value.
#[derive(Debug)]
pub struct ValueScanner {
    limits: Limits,
    next_header: usize,  // offset in bytes
    remaining: Vec<u64>, // values still missing in each open array or map, outermost first
    started: bool,
}

/// The header of a value.
struct Header {
    length: usize, // of the header itself, in bytes
    payload: u64,  // bytes that follow the header
    values: u64,   // values in an array or map
}

impl ValueScanner {
    pub fn new(limits: Limits) -> Self {
        ValueScanner {
            limits,
            next_header: 0,
            remaining: Vec::new(),
            started: false,
        }
    }

    /// The length of the value at the start of `buffer`, or none while the value is incomplete. The next call must pass
    /// the same bytes, with any new ones appended; the scan resumes where it stopped.
    pub fn scan(&mut self, buffer: &[u8]) -> Result<Option<usize>, DecodeError> {
        loop {
            if self.started && self.remaining.is_empty() {
                // The payload of the last value may still be incomplete.
                return Ok((self.next_header <= buffer.len()).then_some(self.next_header));
            }
            if self.next_header >= buffer.len() {
                return Ok(None);
            }
            let Some(header) = read_header(&buffer[self.next_header..])? else {
                return Ok(None);
            };
            self.started = true;
            let end = (self.next_header + header.length) as u64 + header.payload;
            // Each value takes at least one byte, so a count that can't fit the limit is rejected before its values
            // arrive.
            let min_length = self.remaining.iter().fold(end + header.values, |sum, n| {
                sum.saturating_add(n.saturating_sub(1))
            });
            if min_length > self.limits.max_length as u64 {
                return Err(DecodeError::TooLong);
            }
            self.next_header = end as usize;
            if let Some(count) = self.remaining.last_mut() {
                *count -= 1;
            }
            if header.values > 0 {
                if self.remaining.len() >= self.limits.max_depth {
                    return Err(DecodeError::TooDeep);
                }
                self.remaining.push(header.values);
            }
            while self.remaining.last() == Some(&0) {
                self.remaining.pop();
            }
        }
    }
}

/// Reads the header at the start of `bytes`, or none if it is incomplete.
fn read_header(bytes: &[u8]) -> Result<Option<Header>, DecodeError> {
    let (marker, rest) = match bytes.split_first() {
        Some((first, rest)) => (Marker::from_u8(*first), rest),
        None => return Ok(None),
    };
    // The big-endian size field of `width` bytes after the marker.
    let size = |width: usize| -> Option<u64> {
        rest.get(..width)
            .map(|b| b.iter().fold(0u64, |n, byte| n << 8 | u64::from(*byte)))
    };
    let fixed = |payload: u64| {
        Some(Header {
            length: 1,
            payload,
            values: 0,
        })
    };
    let with_size = |width: usize, extra: u64| {
        size(width).map(|n| Header {
            length: 1 + width,
            payload: n + extra,
            values: 0,
        })
    };
    let container = |width: usize, values_per_item: u64| {
        size(width).map(|n| Header {
            length: 1 + width,
            payload: 0,
            values: n * values_per_item,
        })
    };
    Ok(match marker {
        Marker::Reserved => return Err(DecodeError::ReservedMarker),
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            fixed(0)
        }
        Marker::U8 | Marker::I8 => fixed(1),
        Marker::U16 | Marker::I16 => fixed(2),
        Marker::U32 | Marker::I32 | Marker::F32 => fixed(4),
        Marker::U64 | Marker::I64 | Marker::F64 => fixed(8),
        Marker::FixExt1 => fixed(2),
        Marker::FixExt2 => fixed(3),
        Marker::FixExt4 => fixed(5),
        Marker::FixExt8 => fixed(9),
        Marker::FixExt16 => fixed(17),
        Marker::FixStr(n) => fixed(u64::from(n)),
        Marker::Str8 | Marker::Bin8 => with_size(1, 0),
        Marker::Str16 | Marker::Bin16 => with_size(2, 0),
        Marker::Str32 | Marker::Bin32 => with_size(4, 0),
        Marker::Ext8 => with_size(1, 1),
        Marker::Ext16 => with_size(2, 1),
        Marker::Ext32 => with_size(4, 1),
        Marker::FixArray(n) => Some(Header {
            length: 1,
            payload: 0,
            values: u64::from(n),
        }),
        Marker::Array16 => container(2, 1),
        Marker::Array32 => container(4, 1),
        Marker::FixMap(n) => Some(Header {
            length: 1,
            payload: 0,
            values: 2 * u64::from(n),
        }),
        Marker::Map16 => container(2, 2),
        Marker::Map32 => container(4, 2),
    })
}
