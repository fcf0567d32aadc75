//! Encodes messages. Params, errors and results are written as given, so that received values are forwarded unchanged.

use bytes::{BufMut, Bytes, BytesMut};

/// Upper bound in bytes for the array header, the message type and an id.
const MAX_HEADER_BYTES: usize = 16;

fn start_message(element_count: u8, message_type: u8, body_bytes: usize) -> BytesMut {
    let mut out = BytesMut::with_capacity(MAX_HEADER_BYTES + body_bytes);
    out.put_u8(0x90 | element_count);
    out.put_u8(message_type);
    out
}

fn put_uint(out: &mut BytesMut, number: u32) {
    // Writing to memory can't fail.
    let _ = rmp::encode::write_uint(&mut out.writer(), u64::from(number));
}

fn put_str(out: &mut BytesMut, text: &str) {
    let _ = rmp::encode::write_str(&mut out.writer(), text);
}

pub fn encode_request(id: u32, method: &str, params: &[u8]) -> Bytes {
    let mut out = start_message(4, 0, method.len() + 5 + params.len());
    put_uint(&mut out, id);
    put_str(&mut out, method);
    out.put_slice(params);
    out.freeze()
}

pub fn encode_response(id: u32, error: &[u8], result: &[u8]) -> Bytes {
    let mut out = start_message(4, 1, error.len() + result.len());
    put_uint(&mut out, id);
    out.put_slice(error);
    out.put_slice(result);
    out.freeze()
}

pub fn encode_notification(method: &str, params: &[u8]) -> Bytes {
    let mut out = start_message(3, 2, method.len() + 5 + params.len());
    put_str(&mut out, method);
    out.put_slice(params);
    out.freeze()
}
