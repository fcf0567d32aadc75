//! The frame of a datagram between sidecars: magic byte, version, length of the rest, channel, incarnation, body.

use crate::Incarnation;

/// The most bytes that a datagram may have.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Bytes before the body.
pub const HEADER_BYTES: usize = 12;
const MAGIC: u8 = 0xb5;
const VERSION: u8 = 1;

/// Why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameError {
    /// The first byte isn't the magic byte: not a datagram of this program.
    UnknownMagic,
    UnsupportedVersion,
    /// Shorter or longer than its length field says.
    LengthMismatch,
}

/// Builds a datagram; none if the body is too long for one.
pub fn encode_frame(channel: u8, incarnation: Incarnation, body: &[u8]) -> Option<Vec<u8>> {
    let whole = HEADER_BYTES + body.len();
    let rest = u8::try_from(whole - 3)
        .ok()
        .filter(|_| whole <= MAX_DATAGRAM_BYTES)?;
    let mut bytes = Vec::with_capacity(whole);
    bytes.extend([MAGIC, VERSION, rest, channel]);
    bytes.extend(incarnation.to_be_bytes());
    bytes.extend(body);
    Some(bytes)
}

/// The channel, the sender's incarnation, and the body.
pub fn decode_frame(bytes: &[u8]) -> Result<(u8, Incarnation, &[u8]), FrameError> {
    let [MAGIC, version, rest @ ..] = bytes else {
        return Err(FrameError::UnknownMagic);
    };
    if *version != VERSION {
        return Err(FrameError::UnsupportedVersion);
    }
    let [length, rest @ ..] = rest else {
        return Err(FrameError::LengthMismatch);
    };
    let (channel, incarnation, body) = match rest {
        [channel, a, b, c, d, e, f, g, h, body @ ..] if rest.len() == usize::from(*length) => (
            *channel,
            Incarnation::from_be_bytes([*a, *b, *c, *d, *e, *f, *g, *h]),
            body,
        ),
        _ => return Err(FrameError::LengthMismatch),
    };
    Ok((channel, incarnation, body))
}
