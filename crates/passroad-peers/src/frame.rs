//! The frame of a datagram between sidecars: mark, version, length of what follows, channel, incarnation, body.

use crate::Incarnation;

/// A datagram holds so much at most.
pub const LONGEST: usize = 256;
/// Bytes ahead of the body.
pub const HEAD: usize = 12;
const MARK: u8 = 0xb5;
const VERSION: u8 = 1;

/// Why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ill {
    /// Not of this program.
    Foreign,
    /// Of a version that this one does not read.
    Version,
    /// Shorter or longer than it says.
    Length,
}

/// A datagram; none where the body is too long for one.
pub fn seal(channel: u8, incarnation: Incarnation, body: &[u8]) -> Option<Vec<u8>> {
    let whole = HEAD + body.len();
    let rest = u8::try_from(whole - 3).ok().filter(|_| whole <= LONGEST)?;
    let mut bytes = Vec::with_capacity(whole);
    bytes.extend([MARK, VERSION, rest, channel]);
    bytes.extend(incarnation.to_be_bytes());
    bytes.extend(body);
    Some(bytes)
}

/// Channel, incarnation of the sender, and body.
pub fn open(bytes: &[u8]) -> Result<(u8, Incarnation, &[u8]), Ill> {
    let [MARK, version, rest @ ..] = bytes else {
        return Err(Ill::Foreign);
    };
    if *version != VERSION {
        return Err(Ill::Version);
    }
    let [length, rest @ ..] = rest else {
        return Err(Ill::Length);
    };
    let (channel, incarnation, body) = match rest {
        [channel, a, b, c, d, e, f, g, h, body @ ..] if rest.len() == usize::from(*length) => (
            *channel,
            Incarnation::from_be_bytes([*a, *b, *c, *d, *e, *f, *g, *h]),
            body,
        ),
        _ => return Err(Ill::Length),
    };
    Ok((channel, incarnation, body))
}
