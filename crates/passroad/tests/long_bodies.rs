//! Long and slow bodies through the program on loopback sockets.

mod harness;

use harness::*;
use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A body in which no two places look alike.
fn body(length: usize) -> Vec<u8> {
    (0..length as u32)
        .map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8)
        .collect()
}

fn head(id: &str, framing: &str) -> String {
    format!(
        "POST /book HTTP/1.1\r\nHost: b\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 900\r\n{framing}\r\n\r\n"
    )
}

fn stated(length: usize) -> String {
    format!("Content-Length: {length}")
}

/// A sidecar of little memory before some endpoints.
fn small(endpoints: &[SocketAddr]) -> Sidecar {
    small_with(endpoints, SETTINGS)
}

fn small_with(endpoints: &[SocketAddr], settings: &str) -> Sidecar {
    let list: Vec<_> = endpoints
        .iter()
        .enumerate()
        .map(|(n, at)| member(&format!("s-{n}"), *at, "up"))
        .collect();
    let (address, list) = (unused_address(), list.join(","));
    let text = config_json(address, unused_address(), &list, settings)
        .replace("\"sockets\":64", "\"sockets\":400,\"memory_mb\":8");
    Sidecar::start(address, &text)
}

/// Answers with the length of what came.
fn counts() -> FakeServer {
    fake_server(|message, to| {
        respond(to, "200 OK", "", message.body.len().to_string().as_bytes());
        true
    })
}

#[rstest]
#[case::stated(false)]
#[case::in_chunks(true)]
fn a_long_body_arrives_as_it_was(#[case] chunked: bool) {
    let endpoint = counts();
    let sidecar = small(&[endpoint.address]);
    let (mut client, sent) = (sidecar.connect(), body(5_000_000));
    let text = match chunked {
        false => [head("a", &stated(sent.len())).as_bytes(), &sent].concat(),
        true => {
            let mut text = head("a", "Transfer-Encoding: chunked").into_bytes();
            for (n, piece) in sent.chunks(70_001).enumerate() {
                text.extend(format!("{:x};mark={n}\r\n", piece.len()).as_bytes());
                text.extend(piece);
                text.extend(b"\r\n");
            }
            text.extend(b"0\r\nSum: 1\r\n\r\n");
            text
        }
    };
    client.get_mut().write_all(&text).unwrap();
    let answer = Message::read(&mut client).unwrap();
    assert_eq!(
        (answer.status(), &answer.body[..]),
        ("200", &b"5000000"[..])
    );
    assert!(endpoint.requests.lock().unwrap()[0].body == sent);
    // The connection is as good as ever, or ends where only the library knows how far the body went.
    match chunked {
        false => assert_eq!(
            round_trip(&mut client, &get_look("b")).unwrap().status(),
            "200"
        ),
        true => assert!(closes_without_data(&mut client)),
    }
}

#[rstest]
#[case::stated(false)]
#[case::in_chunks(true)]
fn a_long_answer_arrives_as_it_was(#[case] chunked: bool) {
    let sent = body(5_000_000);
    let given = sent.clone();
    let endpoint = fake_server(move |_, to| {
        if chunked {
            let _ = to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for piece in given.chunks(70_001) {
                let _ = to.write_all(
                    &[format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat(),
                );
            }
            let _ = to.write_all(b"0\r\n\r\n");
        } else {
            respond(to, "200 OK", "", &given);
        }
        true
    });
    let sidecar = small(&[endpoint.address]);
    let mut client = sidecar.connect();
    for id in ["a", "b"] {
        let got = round_trip(&mut client, &get_look(id)).unwrap();
        assert!(
            got.status() == "200" && got.body == sent,
            "{}",
            got.body.len()
        );
    }
}

/// Waits until those who write get no further, as all that lies between is full, or have written all; two seconds at
/// most, as the sidecar hears for six seconds of no endpoint that takes nothing.
fn until_full(written: &AtomicUsize, all: usize) {
    let (mut before, began, mut still) = (0, Instant::now(), 0);
    while still < 20 && began.elapsed() < 2000 * MS && written.load(SeqCst) < all {
        let now = written.load(SeqCst);
        still = if now == before { still + 1 } else { 0 };
        before = now;
        sleep(10 * MS);
    }
}

/// Writes in pieces and counts what was taken.
fn pour(to: &mut TcpStream, bytes: &[u8], written: &AtomicUsize) {
    for piece in bytes.chunks(100_000) {
        if to.write_all(piece).is_err() {
            return;
        }
        written.fetch_add(piece.len(), SeqCst);
    }
}

/// Reads so many bytes, the first pieces only when those who write get no further; how many came.
fn sip(from: &mut impl Read, bytes: usize, written: &AtomicUsize, all: usize) -> usize {
    let (mut got, mut piece) = (0, vec![0; 200_000]);
    for n in 0.. {
        if n < 6 {
            until_full(written, all);
        }
        match from.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(count) => got += count,
        }
        if got >= bytes {
            break;
        }
    }
    got
}

// Ten clients, each with twelve megabytes, at a sidecar that may hold eight in all; whoever is to read waits until the
// others can write no more. A sidecar that takes whatever comes lets them write all, and holds it.
#[rstest]
#[case::of_writers(true)]
#[case::of_readers(false)]
fn memory_does_not_follow_the_length_of_bodies(#[case] writers: bool) {
    const EACH: usize = 12_000_000;
    const ALL: usize = 10 * EACH;
    let (written, sent) = (Arc::new(AtomicUsize::new(0)), Arc::new(body(EACH)));
    let endpoint = || {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (written, sent) = (Arc::clone(&written), Arc::clone(&sent));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (written, sent) = (Arc::clone(&written), Arc::clone(&sent));
                spawn(move || {
                    let (mut from, mut to) = (BufReader::new(stream.try_clone().unwrap()), stream);
                    loop {
                        let mut head = String::new();
                        while !head.ends_with("\r\n\r\n") {
                            if from.read_line(&mut head).unwrap_or(0) == 0 {
                                return;
                            }
                        }
                        if head.contains("/load ") {
                            respond(&mut to, "200 OK", "", b"TEXT inflight=0, queue=0, util=0.1");
                        } else if writers {
                            let got = sip(&mut from, EACH, &written, ALL);
                            respond(&mut to, "200 OK", "", got.to_string().as_bytes());
                        } else {
                            let _ = write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {EACH}\r\n\r\n");
                            pour(&mut to, &sent, &written);
                        }
                    }
                });
            }
        });
        at
    };
    let endpoints: Vec<_> = (0..10).map(|_| endpoint()).collect();
    let sidecar = small_with(&endpoints, &long_deadline_settings());
    let clients: Vec<_> = (0..10)
        .map(|n| {
            let mut client = sidecar.connect();
            client.get_ref().set_read_timeout(None).unwrap();
            let (written, sent) = (Arc::clone(&written), Arc::clone(&sent));
            spawn(move || {
                let id = n.to_string();
                if writers {
                    let head = with_long_deadline(&head(&id, &stated(EACH)));
                    client.get_mut().write_all(head.as_bytes()).unwrap();
                    pour(client.get_mut(), &sent, &written);
                    return Message::read(&mut client)
                        .map(|m| String::from_utf8_lossy(&m.body).into_owned());
                }
                client
                    .get_mut()
                    .write_all(with_long_deadline(&get_look(&id)).as_bytes())
                    .unwrap();
                let mut line = String::new();
                while line != "\r\n" {
                    line.clear();
                    if client.read_line(&mut line).ok()? == 0 {
                        return None;
                    }
                }
                Some(sip(&mut client, EACH, &written, ALL).to_string())
            })
        })
        .collect();
    let got: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    assert_eq!(got, vec![Some(EACH.to_string()); 10]);
    assert!(
        sidecar.peak_memory_mb() < 40,
        "{} MB",
        sidecar.peak_memory_mb()
    );
}

// A client that takes longer than its time limit to write is not late: its time runs from its last byte.
#[rstest]
#[case::held(300_000)]
#[case::passed_on(1_200_000)]
fn the_time_of_a_command_runs_from_its_last_byte(#[case] length: usize) {
    let endpoint = counts();
    let sidecar = small(&[endpoint.address]);
    let (mut client, sent) = (sidecar.connect(), body(length));
    client
        .get_mut()
        .write_all(head("a", &stated(length)).as_bytes())
        .unwrap();
    for piece in sent.chunks(length / 12) {
        client.get_mut().write_all(piece).unwrap();
        sleep(100 * MS);
    }
    assert_eq!(Message::read(&mut client).unwrap().status(), "200");
}

// The first bytes of a long answer are in time, the rest comes when it comes.
#[rstest]
fn a_long_answer_is_not_cut_at_the_time_limit() {
    let endpoint = fake_server(|_, to| {
        let _ = to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 150000\r\n\r\n");
        for _ in 0..15 {
            let _ = to.write_all(&[b'x'; 10_000]);
            sleep(100 * MS);
        }
        true
    });
    let sidecar = small(&[endpoint.address]);
    assert_eq!(sidecar.request(&get_look("a")).body.len(), 150_000);
}

#[rstest]
#[case::stated("Content-Length: 150000\r\n\r\n")]
#[case::in_chunks("Transfer-Encoding: chunked\r\n\r\n249f0\r\n")]
fn of_a_long_answer_that_breaks_off_the_client_can_tell(#[case] framing: &'static str) {
    let endpoint = fake_server(move |_, to| {
        let _ = to.write_all(format!("HTTP/1.1 200 OK\r\n{framing}").as_bytes());
        let _ = to.write_all(&[b'x'; 100_000]);
        let _ = to.shutdown(std::net::Shutdown::Both);
        false
    });
    let sidecar = small(&[endpoint.address]);
    let mut client = sidecar.connect();
    client
        .get_mut()
        .write_all(get_look("a").as_bytes())
        .unwrap();
    let mut all = Vec::new();
    let _ = client.read_to_end(&mut all);
    let text = String::from_utf8_lossy(&all);
    assert!(
        text.starts_with("HTTP/1.1 200 OK") && !text.ends_with("0\r\n\r\n"),
        "{}",
        all.len()
    );
    assert!(all.len() > 100_000 && all.len() < 150_000, "{}", all.len());
}

// What was taken from the client is gone: the command can't go elsewhere, but it never ran.
#[rstest]
fn a_long_body_that_its_endpoint_broke_off_is_declined_and_not_sent_again() {
    let breaks = || {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                spawn(move || {
                    let mut piece = [0; 50_000];
                    let count = stream.read(&mut piece).unwrap_or(0);
                    match piece[..count].starts_with(b"GET /load") {
                        true => respond(
                            &mut stream,
                            "200 OK",
                            "",
                            b"TEXT inflight=0, queue=0, util=0.1",
                        ),
                        false => drop(stream.read(&mut piece)),
                    }
                });
            }
        });
        at
    };
    let sidecar = small(&[breaks(), breaks()]);
    let mut client = sidecar.connect();
    let (length, sent) = (4_000_000, body(4_000_000));
    client
        .get_mut()
        .write_all(head("a", &stated(length)).as_bytes())
        .unwrap();
    // Its client may read only when all is written.
    client.get_mut().write_all(&sent).unwrap();
    assert_eq!(Message::read(&mut client).unwrap().status(), "503");
}

#[rstest]
fn a_long_body_that_found_no_connection_goes_elsewhere() {
    let endpoint = counts();
    let list = [unused_address(), endpoint.address];
    let sidecar = small(&list);
    for n in 0..6 {
        let (mut client, sent) = (sidecar.connect(), body(2_000_000));
        client
            .get_mut()
            .write_all(head(&n.to_string(), &stated(sent.len())).as_bytes())
            .unwrap();
        client.get_mut().write_all(&sent).unwrap();
        assert_eq!(Message::read(&mut client).unwrap().status(), "200");
    }
}

// Two seconds for a head, also behind a quiet time on a kept connection; 64 kB a second for a body.
#[rstest]
fn slow_clients_have_their_time() {
    let endpoint = counts();
    let sidecar = small(&[endpoint.address]);
    let mut client = sidecar.connect();
    assert_eq!(
        round_trip(&mut client, &get_look("a")).unwrap().status(),
        "200"
    );
    sleep(1200 * MS);
    let text = head("b", &stated(64_000));
    for piece in text.as_bytes().chunks(text.len() / 9) {
        client.get_mut().write_all(piece).unwrap();
        sleep(180 * MS);
    }
    for piece in body(64_000).chunks(6_400) {
        client.get_mut().write_all(piece).unwrap();
        sleep(100 * MS);
    }
    assert_eq!(Message::read(&mut client).unwrap().status(), "200");
}

#[rstest]
#[case::held(60_000)]
#[case::passed_on(3_000_000)]
fn a_body_that_trickles_is_given_up(#[case] length: usize) {
    let endpoint = counts();
    let sidecar = small(&[endpoint.address]);
    let (began, mut client) = (Instant::now(), sidecar.connect());
    client
        .get_mut()
        .write_all(head("a", &stated(length)).as_bytes())
        .unwrap();
    let mut writer = client.get_ref().try_clone().unwrap();
    spawn(move || {
        while writer.write_all(b"x").is_ok() {
            sleep(50 * MS);
        }
    });
    assert_eq!(Message::read(&mut client).unwrap().status(), "408");
    assert!(
        (2000 * MS..4000 * MS).contains(&began.elapsed()),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(endpoint.request_count(), 0);
}

#[rstest]
#[case::stated(&stated(0))]
#[case::in_chunks("Transfer-Encoding: chunked\r\n\r\n0")]
fn a_get_may_say_that_it_has_no_body(#[case] framing: &str) {
    let endpoint = counts();
    let sidecar = small(&[endpoint.address]);
    let text = head("a", framing).replace("POST /book", "GET /look");
    assert_eq!(sidecar.request(&text).status(), "200");
    let more = head("b", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0")
        .replace("POST /book", "GET /look");
    assert_eq!(sidecar.request(&more).status(), "400");
}

// Whatever a system does to the bytes on their way.
#[rstest]
#[case::stated(&format!("{}fourteen bytes", head("a", &stated(14))))]
#[case::in_chunks(&format!("{}5;a=\"b\"\r\nfourt\r\n9\r\neen bytes\r\n0\r\nSum: 1\r\n\r\n", head("a", "Transfer-Encoding: chunked")))]
fn a_command_may_be_cut_at_every_byte(#[case] text: &str) {
    let endpoint = counts();
    let sidecar = small(&[endpoint.address]);
    let mut client = sidecar.connect();
    client.get_mut().set_nodelay(true).unwrap();
    for byte in text.as_bytes() {
        client.get_mut().write_all(&[*byte]).unwrap();
        sleep(MS);
    }
    assert_eq!(Message::read(&mut client).unwrap().body, b"14");
    assert_eq!(endpoint.requests.lock().unwrap()[0].body, b"fourteen bytes");
}

// Answers likewise, also such as end with their connection or come behind 1xx.
#[rstest]
#[case::stated("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nfourteen bytes")]
#[case::in_chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nfourt\r\n9\r\neen bytes\r\n0\r\nSum: 1\r\n\r\n"
)]
#[case::to_the_end("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfourteen bytes")]
#[case::behind_another(
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nfourteen bytes"
)]
fn an_answer_may_be_cut_at_every_byte(#[case] text: &'static str) {
    let endpoint = fake_server(move |_, to| {
        let _ = to.set_nodelay(true);
        for byte in text.as_bytes() {
            let _ = to.write_all(&[*byte]);
            sleep(MS);
        }
        !text.contains("close")
    });
    let sidecar = small(&[endpoint.address]);
    let mut client = sidecar.connect();
    let answer = round_trip(&mut client, &get_look("a")).unwrap();
    match answer.header("content-length") {
        Some(_) => assert_eq!(answer.body, b"fourteen bytes"),
        // Passed on as it came: no length was stated.
        None => assert_eq!(
            answer.header("transfer-encoding").as_deref(),
            Some("chunked")
        ),
    }
    assert_eq!(answer.body, b"fourteen bytes");
}

#[rstest]
fn who_expects_to_be_told_to_go_on_is_told() {
    let endpoint = counts();
    let sidecar = small(&[endpoint.address]);
    let mut client = sidecar.connect();
    let head = head(
        "a",
        &format!("Expect: 100-continue\r\n{}", stated(2_000_000)),
    );
    assert_eq!(round_trip(&mut client, &head).unwrap().status(), "100");
    client.get_mut().write_all(&body(2_000_000)).unwrap();
    assert_eq!(Message::read(&mut client).unwrap().status(), "200");
}

// Whoever still reads an answer is no quiet client.
#[rstest]
fn a_slow_reader_is_not_given_up_while_others_wait() {
    let given = body(20_000_000);
    let long = fake_server(move |_, to| {
        respond(to, "200 OK", "", &given);
        true
    });
    let sidecar = small(&[long.address]);
    let mut reader = sidecar.connect();
    reader
        .get_mut()
        .write_all(get_look("a").as_bytes())
        .unwrap();
    let mut first = [0; 1000];
    reader.read_exact(&mut first).unwrap();
    let crowd: Vec<_> = (0..400)
        .filter_map(|_| TcpStream::connect(sidecar.address).ok())
        .collect();
    sleep(Duration::from_millis(2500));
    let mut rest = Vec::new();
    BufReader::new(&mut reader)
        .read_to_end(&mut rest)
        .unwrap_or_default();
    assert!(rest.len() > 19_999_000, "{}", rest.len());
    drop(crowd);
}
