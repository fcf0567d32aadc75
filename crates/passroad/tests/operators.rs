//! The operators' door of the program on loopback sockets.

mod stand_ins;

use rstest::rstest;
use stand_ins::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// A sidecar with a door, between some endpoints and a discovery.
fn with_endpoints(endpoints: &[(&str, &StandIn)]) -> (Sidecar, SocketAddr, Discovery) {
    let list: Vec<_> = endpoints
        .iter()
        .map(|(id, e)| member(id, e.address, "up"))
        .collect();
    let (address, door, discovery) = (nowhere(), nowhere(), discovery(&list.join(",")));
    let text = told(
        address,
        discovery.stand_in.address,
        &list.join(","),
        &patient(),
    );
    (
        Sidecar::start(address, &with_door(&text, door)),
        door,
        discovery,
    )
}

#[rstest]
#[case::health("GET", "/admin/health", "", "200")]
#[case::unknown_call("GET", "/admin/stats", "", "404")]
#[case::clients_path("GET", "/healthz", "", "404")]
#[case::wrong_method("POST", "/admin/health", "", "405")]
#[case::cordon_by_get("GET", "/admin/cordon", "", "405")]
#[case::empty("POST", "/admin/cordon", "", "400")]
#[case::no_json("POST", "/admin/cordon", "s-1", "400")]
#[case::no_id("POST", "/admin/uncordon", "{}", "400")]
#[case::odd_id("POST", "/admin/cordon", r#"{"id":7}"#, "400")]
#[case::never_listed("POST", "/admin/cordon", r#"{"id":"s-9"}"#, "404")]
#[case::never_listed_back("POST", "/admin/uncordon", r#"{"id":"s-9"}"#, "404")]
#[case::listed("POST", "/admin/cordon", r#"{"id":"s-1","by":"me"}"#, "200")]
#[case::not_out("POST", "/admin/uncordon", r#"{"id":"s-1"}"#, "200")]
#[case::too_large("POST", "/admin/cordon", &format!(r#"{{"id":"{}"}}"#, "x".repeat(5000)), "413")]
fn each_call_has_its_answer(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: &str,
) {
    let endpoint = willing("ok");
    let (_sidecar, door, _discovery) = with_endpoints(&[("s-1", &endpoint)]);
    assert_eq!(operate(door, method, path, body), status);
}

#[rstest]
fn an_endpoint_out_by_hand_gets_nothing_until_it_is_called_back() {
    let endpoints = [willing("a"), willing("b")];
    let (sidecar, door, discovery) =
        with_endpoints(&[("s-1", &endpoints[0]), ("s-2", &endpoints[1])]);
    assert_eq!(cordon(door, "cordon", "s-1"), "200");
    let before = endpoints[0].count();
    let ask = |n: usize| assert_eq!(sidecar.ask(&patiently(&look(&n.to_string()))).word(), "200");
    (0..20).for_each(ask);
    // It goes, and comes back at once as just started.
    let both = |phase: &str, started: u64| {
        let first = member("s-1", endpoints[0].address, phase)
            .replace("since_ms\":0", &format!("since_ms\":{started}"));
        format!("{first},{}", member("s-2", endpoints[1].address, "up"))
    };
    for (n, phase) in ["removed", "up"].into_iter().enumerate() {
        let calls = discovery.stand_in.count();
        *discovery.list.lock().unwrap() = (2 + n as u64, both(phase, n as u64));
        // The list has come when the watch after it does.
        until(|| discovery.stand_in.count() > calls);
        (20 * (n + 1)..20 * (n + 2)).for_each(ask);
    }
    assert_eq!(endpoints[0].count(), before);
    assert_eq!(cordon(door, "uncordon", "s-1"), "200");
    let mut n = 100;
    until(|| {
        n += 1;
        ask(n);
        endpoints[0].count() > before
    });
}

// Left out of the list and forgotten by the module: its id is still one that was listed, and its ban is kept.
#[rstest]
fn an_id_that_has_left_can_be_taken_out() {
    let endpoints = [willing("a"), willing("b")];
    let (sidecar, door, discovery) =
        with_endpoints(&[("s-1", &endpoints[0]), ("s-2", &endpoints[1])]);
    let list = |revision: u64, ids: &[(&str, &StandIn)]| {
        let calls = discovery.stand_in.count();
        let members: Vec<_> = ids
            .iter()
            .map(|(id, e)| member(id, e.address, "up"))
            .collect();
        *discovery.list.lock().unwrap() = (revision, members.join(","));
        until(|| discovery.stand_in.count() > calls);
    };
    list(2, &[("s-2", &endpoints[1])]);
    assert_eq!(cordon(door, "cordon", "s-1"), "200");
    list(3, &[("s-1", &endpoints[0]), ("s-2", &endpoints[1])]);
    let before = endpoints[0].count();
    (0..30).for_each(|n| assert_eq!(sidecar.ask(&patiently(&look(&n.to_string()))).word(), "200"));
    assert_eq!(endpoints[0].count(), before);
}

#[rstest]
fn with_all_out_a_command_is_declined_at_once() {
    let endpoint = willing("a");
    let (sidecar, door, _discovery) = with_endpoints(&[("s-1", &endpoint)]);
    assert_eq!(cordon(door, "cordon", "s-1"), "200");
    let began = Instant::now();
    assert_eq!(sidecar.ask(&patiently(&book("1"))).word(), "503");
    // By itself it would wait for a quarter of its goal of five seconds.
    assert!(began.elapsed() < 1000 * MS, "{:?}", began.elapsed());
}

// Dozens that connect and say nothing, or half a call: none of them is in the way.
#[rstest]
fn callers_that_hold_connections_are_not_in_the_way_of_others() {
    let endpoint = willing("a");
    let (_sidecar, door, _discovery) = with_endpoints(&[("s-1", &endpoint)]);
    let held: Vec<_> = (0..200)
        .map(|n| {
            let mut stream = TcpStream::connect(door).unwrap();
            let part = [
                "",
                "POST /admin/cor",
                "POST /admin/cordon HTTP/1.1\r\nContent-Length: 12\r\n\r\n{",
            ][n % 3];
            stream.write_all(part.as_bytes()).unwrap();
            stream
        })
        .collect();
    let began = Instant::now();
    assert_eq!(cordon(door, "cordon", "s-1"), "200");
    // Left to their own, they would be let go after three seconds.
    assert!(began.elapsed() < 1500 * MS, "{:?}", began.elapsed());
    assert!(
        held.into_iter()
            .take(100)
            .all(|stream| closes(&mut BufReader::new(stream)))
    );
}

// No place is left for clients, and none of the descriptors for them is the door's.
#[rstest]
fn clients_that_take_all_places_do_not_take_the_doors() {
    let endpoint = willing("a");
    let (sidecar, door, _discovery) = with_endpoints(&[("s-1", &endpoint)]);
    let clients: Vec<_> = (0..300)
        .filter_map(|_| TcpStream::connect(sidecar.address).ok())
        .collect();
    assert_eq!(operate(door, "GET", "/admin/health", ""), "200");
    assert!(
        sidecar.descriptors() <= 64 + 56,
        "{}",
        sidecar.descriptors()
    );
    drop(clients);
}

// ---- other settings on SIGHUP ----

/// Settings with a verb more; `look` has changed its effect.
fn retuned() -> String {
    let look = r#"{"name":"look","effect":"read_like""#;
    let seek = r#"{"name":"seek","effect":"read_like","response_goal":5000000000,"time_limit":8000000000,"utility":1}"#;
    patient().replace(
        look,
        &format!("{seek},{}", look.replace("read_like", "non_idempotent")),
    )
}

fn post(verb: &str, id: &str) -> String {
    patiently(&book(id).replace("/book", &format!("/{verb}")))
}

#[rstest]
fn other_settings_are_taken_while_open_commands_keep_theirs() {
    let gate = Gate::default();
    let held = gate.clone();
    let endpoint = stand_in(move |message, to| {
        if message.header("req-id").as_deref() == Some("open") {
            held.pass();
            return false;
        }
        answer(to, "200 OK", "", b"ok");
        true
    });
    let (address, discovery) = (nowhere(), nowhere());
    let list = member("s-1", endpoint.address, "up");
    let sidecar = Sidecar::start(address, &told(address, discovery, &list, &patient()));
    // Open, and its verb pure: its endpoint breaks the connection each time.
    let mut open = sidecar.client();
    open.get_mut()
        .write_all(patiently(&look("open")).as_bytes())
        .unwrap();
    until(|| endpoint.count() == 1);
    assert_eq!(
        sidecar
            .ask(&patiently(&look("n1").replace("/look", "/seek")))
            .word(),
        "404"
    );
    sidecar.reload(&told(address, discovery, &list, &retuned()));
    let mut n = 0;
    let mut seek = || {
        n += 1;
        sidecar
            .ask(&patiently(
                &look(&format!("s{n}")).replace("/look", "/seek"),
            ))
            .word()
            .to_string()
    };
    until(|| seek() == "200");
    // For a while clients name a verb as before, and as it is now.
    assert_eq!(sidecar.ask(&patiently(&look("n2"))).word(), "200");
    assert_eq!(sidecar.ask(&post("look", "n3")).word(), "200");
    gate.open();
    // Declined, as is allowed of a pure one alone that may have run.
    assert_eq!(Message::read(&mut open).unwrap().word(), "503");
    // Then as it is now alone.
    let mut n = 0;
    until(|| {
        n += 1;
        sidecar.ask(&patiently(&look(&format!("o{n}")))).word() == "400"
    });
    assert_eq!(sidecar.ask(&post("look", "n4")).word(), "200");
}

#[rstest]
#[case::empty(|_: &str| String::new())]
#[case::cut_short(|text: &str| text[..text.len() / 2].to_string())]
#[case::no_discovery(|text: &str| text.replace("\"discovery\":\"127", "\"elsewhere\":\"127"))]
#[case::no_limit(|text: &str| text.replacen("\"time_limit\"", "\"limit\"", 1))]
#[case::no_attempts(|text: &str| text.replace("\"max_relays\":4,", ""))]
#[case::zero_limit(|text: &str| text.replacen("\"time_limit\":8000000000", "\"time_limit\":0", 1))]
#[case::null_limit(|text: &str| text.replacen("\"time_limit\":8000000000", "\"time_limit\":null", 1))]
#[case::negative_limit(|text: &str| text.replacen("\"time_limit\":8000000000", "\"time_limit\":-8", 1))]
#[case::odd_limit(|text: &str| text.replacen("\"time_limit\":8000000000", "\"time_limit\":\"8 s\"", 1))]
#[case::zero_attempts(|text: &str| text.replace("\"max_relays\":4", "\"max_relays\":0"))]
#[case::odd_attempts(|text: &str| text.replace("\"max_relays\":4", "\"max_relays\":\"four\""))]
#[case::odd_effect(|text: &str| text.replace("non_idempotent", "odd"))]
#[case::twice(|text: &str| text.replace("\"seek\"", "\"book\""))]
fn a_faulty_file_changes_nothing(#[case] spoil: fn(&str) -> String) {
    let endpoint = willing("ok");
    let (before, after) = (
        discovery(&member("s-1", endpoint.address, "up")),
        discovery(""),
    );
    let (address, list) = (nowhere(), member("s-1", endpoint.address, "up"));
    let text = |settings: &str, discovery: SocketAddr| told(address, discovery, &list, settings);
    let sidecar = Sidecar::start(address, &text(&patient(), before.stand_in.address));
    let faulty = spoil(&text(&retuned(), after.stand_in.address));
    assert_ne!(faulty, text(&retuned(), after.stand_in.address));
    sidecar.reload(&faulty);
    // What comes behind it is taken, so it has been read by then; only the good one moves discovery.
    let last = discovery(&member("s-1", endpoint.address, "up"));
    sidecar.reload(&text(&patient(), last.stand_in.address));
    until(|| last.stand_in.count() > 0);
    assert_eq!(after.stand_in.count(), 0);
    assert_eq!(
        sidecar
            .ask(&patiently(&look("a").replace("/look", "/seek")))
            .word(),
        "404"
    );
    assert_eq!(sidecar.ask(&patiently(&look("b"))).word(), "200");
}
