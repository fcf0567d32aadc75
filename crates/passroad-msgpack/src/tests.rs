use super::*;
use proptest::prelude::*;
use rmpv::Value;
use rstest::rstest;

const LIMITS: Limits = Limits {
    length: 4096,
    depth: 8,
};

fn bytes_of(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    rmpv::encode::write_value(&mut out, value).expect("into memory");
    out
}

/// All messages of a stream that comes in pieces of a length, and the fault that ends it.
fn all(stream: &[u8], piece: usize, limits: Limits) -> (Vec<Message>, Option<Fault>) {
    let (mut reader, mut messages) = (Reader::new(limits), Vec::new());
    for piece in stream.chunks(piece.max(1)) {
        reader.feed(piece);
        loop {
            match reader.next_message() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(fault) => return (messages, Some(fault)),
            }
        }
        assert!(reader.pending() <= limits.length + piece.len());
    }
    (messages, None)
}

fn sample() -> Vec<u8> {
    let params = bytes_of(&Value::Array(vec![
        Value::from("seat"),
        Value::from(7),
        Value::Nil,
    ]));
    let error = bytes_of(&Value::Map(vec![(Value::from("code"), Value::from(3))]));
    let long = "x".repeat(300);
    [
        request(1, "book-trip", &params),
        request(u32::MAX, &long, &[0x90]),
        response(300, &error, &[0xc0]),
        notification("ping", &params),
    ]
    .concat()
}

#[rstest]
fn messages_come_out_the_same_however_the_stream_is_cut() {
    let stream = sample();
    let (whole, fault) = all(&stream, stream.len(), LIMITS);
    assert_eq!((whole.len(), fault), (4, None));
    assert!(
        matches!(&whole[0], Message::Request { id: 1, method, .. } if method[..] == b"book-trip"[..])
    );
    assert!(
        matches!(&whole[1], Message::Request { id: u32::MAX, params, .. } if params[..] == [0x90])
    );
    assert!(matches!(&whole[2], Message::Response { id: 300, result, .. } if result[..] == [0xc0]));
    for piece in 1..40 {
        assert_eq!(
            all(&stream, piece, LIMITS),
            (whole.clone(), None),
            "pieces of {piece}"
        );
    }
    // Cut off at any byte it is no fault, only not whole.
    for end in 0..stream.len() {
        let (messages, fault) = all(&stream[..end], 7, LIMITS);
        assert!(
            fault.is_none() && messages.len() < 4 && whole.starts_with(&messages),
            "cut at {end}"
        );
    }
}

// Known from the header, long before so many bytes have come.
#[rstest]
#[case::text_of_4_gb(&[0x94, 0x00, 0x01, 0xdb, 0xff, 0xff, 0xff, 0xff], Fault::TooLong)]
#[case::bytes_of_4_gb(&[0x94, 0x00, 0x01, 0xc6, 0xff, 0xff, 0xff, 0xff], Fault::TooLong)]
#[case::array_of_4_g(&[0xdd, 0xff, 0xff, 0xff, 0xff], Fault::TooLong)]
#[case::map_of_4_g(&[0x94, 0x00, 0x01, 0xdf, 0xff, 0xff, 0xff, 0xff], Fault::TooLong)]
#[case::ext_of_4_gb(&[0x94, 0x00, 0x01, 0xc9, 0xff, 0xff, 0xff, 0xff], Fault::TooLong)]
#[case::reserved(&[0x94, 0x00, 0xc1], Fault::Reserved)]
#[case::no_array(b"GET / HTTP/1.1\r\n\r\n", Fault::NoMessage)]
#[case::text(&[0xa3, b'G', b'E', b'T'], Fault::NoMessage)]
#[case::two_values(&[0x92, 0x00, 0x01], Fault::NoMessage)]
#[case::five_values(&[0x95, 0x00, 0x01, 0xa1, b'a', 0x90, 0x00], Fault::NoMessage)]
#[case::unknown_type(&[0x94, 0x03, 0x01, 0xa1, b'a', 0x90], Fault::NoMessage)]
#[case::notification_of_four(&[0x94, 0x02, 0x01, 0xa1, b'a', 0x90], Fault::NoMessage)]
#[case::id_over_32_bits(&[0x94, 0x00, 0xcf, 0, 0, 0, 1, 0, 0, 0, 0, 0xa1, b'a', 0x90], Fault::OddId)]
#[case::negative_id(&[0x94, 0x00, 0xff, 0xa1, b'a', 0x90], Fault::OddId)]
#[case::text_as_id(&[0x94, 0x00, 0xa1, b'1', 0xa1, b'a', 0x90], Fault::OddId)]
#[case::number_as_method(&[0x94, 0x00, 0x01, 0x07, 0x90], Fault::OddMethod)]
#[case::odd_text_as_method(&[0x94, 0x00, 0x01, 0xa1, 0xff, 0x90], Fault::OddMethod)]
#[case::map_as_params(&[0x94, 0x00, 0x01, 0xa1, b'a', 0x80], Fault::OddParams)]
fn what_is_no_message_ends_the_stream(#[case] bytes: &[u8], #[case] fault: Fault) {
    assert_eq!(all(bytes, bytes.len(), LIMITS), (vec![], Some(fault)));
    // Byte by byte, and with whole messages ahead, it is the same.
    let (ahead, found) = all(&[&sample()[..], bytes].concat(), 1, LIMITS);
    assert_eq!((ahead.len(), found), (4, Some(fault)));
}

#[rstest]
#[case(8, None)]
#[case(9, Some(Fault::TooDeep))]
#[case(100_000, Some(Fault::TooDeep))]
fn depth_costs_no_stack_and_is_bounded(#[case] depth: usize, #[case] fault: Option<Fault>) {
    // The message's own array is the first.
    let mut params = vec![0x91; depth - 1];
    params.push(0xc0);
    let limits = Limits {
        length: 1 << 20,
        depth: 8,
    };
    assert_eq!(all(&request(1, "a", &params), 1000, limits).1, fault);
}

#[rstest]
fn after_a_fault_nothing_is_read_or_held() {
    let mut reader = Reader::new(LIMITS);
    reader.feed(&[0xc1]);
    assert_eq!(reader.next_message(), Err(Fault::Reserved));
    reader.feed(&sample());
    assert_eq!(
        (reader.next_message(), reader.pending()),
        (Err(Fault::Reserved), 0)
    );
}

#[rstest]
fn a_message_may_be_as_long_as_allowed_and_no_longer() {
    let message = |n: usize| {
        request(
            1,
            "a",
            &bytes_of(&Value::Array(vec![Value::from("x".repeat(n))])),
        )
    };
    let fits = (0..5000)
        .rev()
        .find(|n| message(*n).len() == LIMITS.length)
        .expect("one that fits");
    assert_eq!(all(&message(fits), 100, LIMITS).0.len(), 1);
    assert_eq!(all(&message(fits + 1), 100, LIMITS).1, Some(Fault::TooLong));
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

    // Whatever a value is, its bytes go through as they are, and the scan ends where the plain library does.
    #[test]
    fn values_go_through_unchanged(id in any::<u32>(), values in prop::collection::vec(any_value(), 0..4), piece in 1usize..64) {
        let params = bytes_of(&Value::Array(values));
        let limits = Limits { length: 1 << 20, depth: 32 };
        let stream = [request(id, "m", &params), response(id, &[0xc0], &params)].concat();
        let (messages, fault) = all(&stream, piece, limits);
        prop_assert_eq!(fault, None);
        let params = Bytes::from(params);
        let method = Bytes::from_static(b"m");
        let error = Bytes::from_static(&[0xc0]);
        prop_assert_eq!(messages, vec![
            Message::Request { id, method, params: params.clone() },
            Message::Response { id, error, result: params },
        ]);
    }

    // Noise never panics, never grows past the limit, and ends alike however it is cut.
    #[test]
    fn noise_is_bounded(noise in prop::collection::vec(any::<u8>(), 0..600), piece in 1usize..64) {
        prop_assert_eq!(all(&noise, piece, LIMITS), all(&noise, noise.len(), LIMITS));
    }

    // A message with a byte changed is read, refused or waited for; nothing else.
    #[test]
    fn a_spoilt_byte_is_bounded(at in 0usize..300, byte in any::<u8>(), piece in 1usize..64) {
        let mut stream = sample();
        let at = at % stream.len();
        stream[at] = byte;
        prop_assert_eq!(all(&stream, piece, LIMITS), all(&stream, stream.len(), LIMITS));
    }
}
