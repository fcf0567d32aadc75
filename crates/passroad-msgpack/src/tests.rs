use super::*;
use proptest::prelude::*;
use rmpv::Value;
use rstest::rstest;

const LIMITS: Limits = Limits {
    max_length: 4096,
    max_depth: 8,
};

fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    rmpv::encode::write_value(&mut out, value).expect("writing to memory");
    out
}

/// Decodes a stream fed in chunks of a size: all messages, and the error that ends it.
fn decode_all(
    stream: &[u8],
    chunk_size: usize,
    limits: Limits,
) -> (Vec<Message>, Option<DecodeError>) {
    let (mut decoder, mut messages) = (MessageDecoder::new(limits), Vec::new());
    for chunk in stream.chunks(chunk_size.max(1)) {
        decoder.feed(chunk);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(error) => return (messages, Some(error)),
            }
        }
        assert!(decoder.buffered_bytes() <= limits.max_length + chunk.len());
    }
    (messages, None)
}

fn sample() -> Vec<u8> {
    let params = encode(&Value::Array(vec![
        Value::from("seat"),
        Value::from(7),
        Value::Nil,
    ]));
    let error = encode(&Value::Map(vec![(Value::from("code"), Value::from(3))]));
    let long = "x".repeat(300);
    [
        encode_request(1, "book-trip", &params),
        encode_request(u32::MAX, &long, &[0x90]),
        encode_response(300, &error, &[0xc0]),
        encode_notification("ping", &params),
    ]
    .concat()
}

#[rstest]
fn decoding_does_not_depend_on_chunk_boundaries() {
    let stream = sample();
    let (expected, error) = decode_all(&stream, stream.len(), LIMITS);
    assert_eq!((expected.len(), error), (4, None));
    assert!(
        matches!(&expected[0], Message::Request { id: 1, method, .. } if method[..] == b"book-trip"[..])
    );
    assert!(
        matches!(&expected[1], Message::Request { id: u32::MAX, params, .. } if params[..] == [0x90])
    );
    assert!(
        matches!(&expected[2], Message::Response { id: 300, result, .. } if result[..] == [0xc0])
    );
    for chunk_size in 1..40 {
        assert_eq!(
            decode_all(&stream, chunk_size, LIMITS),
            (expected.clone(), None),
            "chunks of {chunk_size}"
        );
    }
    // A stream truncated at any byte is incomplete, not an error.
    for end in 0..stream.len() {
        let (messages, error) = decode_all(&stream[..end], 7, LIMITS);
        assert!(
            error.is_none() && messages.len() < 4 && expected.starts_with(&messages),
            "truncated at {end}"
        );
    }
}

// Oversized values are rejected from the header alone, long before their bytes arrive.
#[rstest]
#[case::text_of_4_gb(&[0x94, 0x00, 0x01, 0xdb, 0xff, 0xff, 0xff, 0xff], DecodeError::TooLong)]
#[case::bytes_of_4_gb(&[0x94, 0x00, 0x01, 0xc6, 0xff, 0xff, 0xff, 0xff], DecodeError::TooLong)]
#[case::array_of_4_g(&[0xdd, 0xff, 0xff, 0xff, 0xff], DecodeError::TooLong)]
#[case::map_of_4_g(&[0x94, 0x00, 0x01, 0xdf, 0xff, 0xff, 0xff, 0xff], DecodeError::TooLong)]
#[case::ext_of_4_gb(&[0x94, 0x00, 0x01, 0xc9, 0xff, 0xff, 0xff, 0xff], DecodeError::TooLong)]
#[case::reserved(&[0x94, 0x00, 0xc1], DecodeError::ReservedMarker)]
#[case::no_array(b"GET / HTTP/1.1\r\n\r\n", DecodeError::InvalidMessage)]
#[case::text(&[0xa3, b'G', b'E', b'T'], DecodeError::InvalidMessage)]
#[case::two_values(&[0x92, 0x00, 0x01], DecodeError::InvalidMessage)]
#[case::five_values(&[0x95, 0x00, 0x01, 0xa1, b'a', 0x90, 0x00], DecodeError::InvalidMessage)]
#[case::unknown_type(&[0x94, 0x03, 0x01, 0xa1, b'a', 0x90], DecodeError::InvalidMessage)]
#[case::notification_of_four(&[0x94, 0x02, 0x01, 0xa1, b'a', 0x90], DecodeError::InvalidMessage)]
#[case::id_over_32_bits(&[0x94, 0x00, 0xcf, 0, 0, 0, 1, 0, 0, 0, 0, 0xa1, b'a', 0x90], DecodeError::InvalidId)]
#[case::negative_id(&[0x94, 0x00, 0xff, 0xa1, b'a', 0x90], DecodeError::InvalidId)]
#[case::text_as_id(&[0x94, 0x00, 0xa1, b'1', 0xa1, b'a', 0x90], DecodeError::InvalidId)]
#[case::number_as_method(&[0x94, 0x00, 0x01, 0x07, 0x90], DecodeError::InvalidMethod)]
#[case::invalid_utf8_as_method(&[0x94, 0x00, 0x01, 0xa1, 0xff, 0x90], DecodeError::InvalidMethod)]
#[case::map_as_params(&[0x94, 0x00, 0x01, 0xa1, b'a', 0x80], DecodeError::InvalidParams)]
fn invalid_message_ends_the_stream(#[case] bytes: &[u8], #[case] error: DecodeError) {
    assert_eq!(
        decode_all(bytes, bytes.len(), LIMITS),
        (vec![], Some(error))
    );
    // The same byte by byte, and after valid messages.
    let (before, found) = decode_all(&[&sample()[..], bytes].concat(), 1, LIMITS);
    assert_eq!((before.len(), found), (4, Some(error)));
}

#[rstest]
#[case(8, None)]
#[case(9, Some(DecodeError::TooDeep))]
#[case(100_000, Some(DecodeError::TooDeep))]
fn depth_is_limited_without_recursion(#[case] depth: usize, #[case] error: Option<DecodeError>) {
    // The array of the message itself counts as the first level.
    let mut params = vec![0x91; depth - 1];
    params.push(0xc0);
    let limits = Limits {
        max_length: 1 << 20,
        max_depth: 8,
    };
    assert_eq!(
        decode_all(&encode_request(1, "a", &params), 1000, limits).1,
        error
    );
}

#[rstest]
fn after_an_error_nothing_is_decoded_or_buffered() {
    let mut decoder = MessageDecoder::new(LIMITS);
    decoder.feed(&[0xc1]);
    assert_eq!(decoder.next_message(), Err(DecodeError::ReservedMarker));
    decoder.feed(&sample());
    assert_eq!(
        (decoder.next_message(), decoder.buffered_bytes()),
        (Err(DecodeError::ReservedMarker), 0)
    );
}

#[rstest]
fn length_limit_is_inclusive() {
    let message = |n: usize| {
        encode_request(
            1,
            "a",
            &encode(&Value::Array(vec![Value::from("x".repeat(n))])),
        )
    };
    let longest = (0..5000)
        .rev()
        .find(|n| message(*n).len() == LIMITS.max_length)
        .expect("a message of exactly the limit");
    assert_eq!(decode_all(&message(longest), 100, LIMITS).0.len(), 1);
    assert_eq!(
        decode_all(&message(longest + 1), 100, LIMITS).1,
        Some(DecodeError::TooLong)
    );
}

fn any_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Nil),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,40}".prop_map(Value::from),
        prop::collection::vec(any::<u8>(), 0..300).prop_map(Value::from),
        (any::<i8>(), prop::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(kind, bytes)| Value::Ext(kind, bytes)),
    ];
    leaf.prop_recursive(4, 24, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::Array),
            prop::collection::vec((inner.clone(), inner), 0..4).prop_map(Value::Map),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    // Any value passes through byte for byte, and the scanner finds the same end as the reference encoder.
    #[test]
    fn values_pass_through_unchanged(id in any::<u32>(), values in prop::collection::vec(any_value(), 0..4), chunk_size in 1usize..64) {
        let params = encode(&Value::Array(values));
        let limits = Limits { max_length: 1 << 20, max_depth: 32 };
        let stream = [encode_request(id, "m", &params), encode_response(id, &[0xc0], &params)].concat();
        let (messages, error) = decode_all(&stream, chunk_size, limits);
        prop_assert_eq!(error, None);
        let params = Bytes::from(params);
        let method = Bytes::from_static(b"m");
        let error = Bytes::from_static(&[0xc0]);
        prop_assert_eq!(messages, vec![
            Message::Request { id, method, params: params.clone() },
            Message::Response { id, error, result: params },
        ]);
    }

    // Random bytes never panic, never grow the buffer past the limit, and decode alike whatever the chunk size.
    #[test]
    fn random_bytes_are_bounded(noise in prop::collection::vec(any::<u8>(), 0..600), chunk_size in 1usize..64) {
        prop_assert_eq!(decode_all(&noise, chunk_size, LIMITS), decode_all(&noise, noise.len(), LIMITS));
    }

    // A message with one byte changed is decoded, rejected or incomplete, alike whatever the chunk size.
    #[test]
    fn corrupted_byte_is_bounded(offset in 0usize..300, byte in any::<u8>(), chunk_size in 1usize..64) {
        let mut stream = sample();
        let offset = offset % stream.len();
        stream[offset] = byte;
        prop_assert_eq!(decode_all(&stream, chunk_size, LIMITS), decode_all(&stream, stream.len(), LIMITS));
    }
}
