//! The operators' door of the program on loopback sockets.

mod harness;

use harness::*;
use rstest::rstest;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// A sidecar with a management, between some endpoints and a discovery.
fn with_endpoints(endpoints: &[(&str, &FakeServer)]) -> (Sidecar, SocketAddr, FakeDiscovery) {
    let list: Vec<_> = endpoints
        .iter()
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .collect();
    let (address, management, discovery) = (
        unused_address(),
        unused_address(),
        fake_discovery(&list.join(",")),
    );
    let text = config_json(
        address,
        discovery.server.address,
        &list.join(","),
        &long_deadline_settings(),
    );
    (
        Sidecar::start(address, &with_management(&text, management)),
        management,
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
    let endpoint = ok_endpoint("ok");
    let (_sidecar, management, _discovery) = with_endpoints(&[("s-1", &endpoint)]);
    assert_eq!(management_request(management, method, path, body), status);
}

#[rstest]
fn an_endpoint_out_by_hand_gets_nothing_until_it_is_called_back() {
    let endpoints = [ok_endpoint("a"), ok_endpoint("b")];
    let (sidecar, management, discovery) =
        with_endpoints(&[("s-1", &endpoints[0]), ("s-2", &endpoints[1])]);
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    let before = endpoints[0].request_count();
    let look = |n: usize| {
        assert_eq!(
            sidecar
                .request(&with_long_deadline(&get_look(&n.to_string())))
                .status(),
            "200"
        )
    };
    (0..20).for_each(look);
    // It goes, and comes back at once as just started.
    let both = |phase: &str, started: u64| {
        let first = member("s-1", endpoints[0].address, phase)
            .replace("since_ms\":0", &format!("since_ms\":{started}"));
        format!("{first},{}", member("s-2", endpoints[1].address, "up"))
    };
    for (n, phase) in ["removed", "up"].into_iter().enumerate() {
        let calls = discovery.server.request_count();
        discovery.publish(2 + n as u64, both(phase, n as u64));
        // The list has come when the watch after it does.
        wait_until(|| discovery.server.request_count() > calls);
        (20 * (n + 1)..20 * (n + 2)).for_each(look);
    }
    assert_eq!(endpoints[0].request_count(), before);
    assert_eq!(post_cordon(management, "uncordon", "s-1"), "200");
    let mut n = 100;
    wait_until(|| {
        n += 1;
        look(n);
        endpoints[0].request_count() > before
    });
}

// Left out of the list and forgotten by the module: its id is still one that was listed, and its ban is kept.
#[rstest]
fn an_id_that_has_left_can_be_taken_out() {
    let endpoints = [ok_endpoint("a"), ok_endpoint("b")];
    let (sidecar, management, discovery) =
        with_endpoints(&[("s-1", &endpoints[0]), ("s-2", &endpoints[1])]);
    let list = |revision: u64, ids: &[(&str, &FakeServer)]| {
        let calls = discovery.server.request_count();
        let members: Vec<_> = ids
            .iter()
            .map(|(id, endpoint)| member(id, endpoint.address, "up"))
            .collect();
        discovery.publish(revision, members.join(","));
        wait_until(|| discovery.server.request_count() > calls);
    };
    list(2, &[("s-2", &endpoints[1])]);
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    list(3, &[("s-1", &endpoints[0]), ("s-2", &endpoints[1])]);
    let before = endpoints[0].request_count();
    (0..30).for_each(|n| {
        assert_eq!(
            sidecar
                .request(&with_long_deadline(&get_look(&n.to_string())))
                .status(),
            "200"
        )
    });
    assert_eq!(endpoints[0].request_count(), before);
}

#[rstest]
fn with_all_out_a_command_is_declined_at_once() {
    let endpoint = ok_endpoint("a");
    let (sidecar, management, _discovery) = with_endpoints(&[("s-1", &endpoint)]);
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    let began = Instant::now();
    assert_eq!(
        sidecar
            .request(&with_long_deadline(&post_book("1")))
            .status(),
        "503"
    );
    // By itself it would wait for a quarter of its goal of five seconds.
    assert!(began.elapsed() < 1000 * MS, "{:?}", began.elapsed());
}

// Dozens that connect and say nothing, or half a call: none of them is in the way.
#[rstest]
fn callers_that_hold_connections_are_not_in_the_way_of_others() {
    let endpoint = ok_endpoint("a");
    let (_sidecar, management, _discovery) = with_endpoints(&[("s-1", &endpoint)]);
    let held: Vec<_> = (0..200)
        .map(|n| {
            let mut stream = TcpStream::connect(management).unwrap();
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
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    // Left to their own, they would be let go after three seconds.
    assert!(began.elapsed() < 1500 * MS, "{:?}", began.elapsed());
    assert!(
        held.into_iter()
            .take(100)
            .all(|stream| closes_without_data(&mut BufReader::new(stream)))
    );
}

// No place is left for clients, and none of the descriptors for them is the management's.
#[rstest]
fn clients_that_take_all_places_do_not_take_the_doors() {
    let endpoint = ok_endpoint("a");
    let (sidecar, management, _discovery) = with_endpoints(&[("s-1", &endpoint)]);
    let clients: Vec<_> = (0..300)
        .filter_map(|_| TcpStream::connect(sidecar.address).ok())
        .collect();
    assert_eq!(
        management_request(management, "GET", "/admin/health", ""),
        "200"
    );
    assert!(
        sidecar.open_descriptors() <= 64 + 56,
        "{}",
        sidecar.open_descriptors()
    );
    drop(clients);
}

// ---- other settings on SIGHUP ----

/// Settings with a verb more; `look` has changed its effect.
fn retuned() -> String {
    let look = r#"{"name":"look","effect":"read_like""#;
    let seek = r#"{"name":"seek","effect":"read_like","response_goal":5000000000,"time_limit":8000000000,"utility":1}"#;
    long_deadline_settings().replace(
        look,
        &format!("{seek},{}", look.replace("read_like", "non_idempotent")),
    )
}

fn post(verb: &str, id: &str) -> String {
    with_long_deadline(&post_book(id).replace("/book", &format!("/{verb}")))
}

#[rstest]
fn other_settings_are_taken_while_open_commands_keep_theirs() {
    let gate = Gate::default();
    let held = gate.clone();
    let endpoint = fake_server(move |message, to| {
        if message.header("req-id").as_deref() == Some("open") {
            held.wait_until_open();
            return false;
        }
        respond(to, "200 OK", "", b"ok");
        true
    });
    let (address, discovery) = (unused_address(), unused_address());
    let list = member("s-1", endpoint.address, "up");
    let sidecar = Sidecar::start(
        address,
        &config_json(address, discovery, &list, &long_deadline_settings()),
    );
    // Open, and its verb pure: its endpoint breaks the connection each time.
    let mut open = sidecar.connect();
    open.get_mut()
        .write_all(with_long_deadline(&get_look("open")).as_bytes())
        .unwrap();
    wait_until(|| endpoint.request_count() == 1);
    assert_eq!(
        sidecar
            .request(&with_long_deadline(
                &get_look("n1").replace("/look", "/seek")
            ))
            .status(),
        "404"
    );
    sidecar.reload(&config_json(address, discovery, &list, &retuned()));
    let mut n = 0;
    let mut seek = || {
        n += 1;
        sidecar
            .request(&with_long_deadline(
                &get_look(&format!("s{n}")).replace("/look", "/seek"),
            ))
            .status()
            .to_string()
    };
    wait_until(|| seek() == "200");
    // For a while clients name a verb as before, and as it is now.
    assert_eq!(
        sidecar
            .request(&with_long_deadline(&get_look("n2")))
            .status(),
        "200"
    );
    assert_eq!(sidecar.request(&post("look", "n3")).status(), "200");
    gate.open();
    // Declined, as is allowed of a pure one alone that may have run.
    assert_eq!(Message::read(&mut open).unwrap().status(), "503");
    // Then as it is now alone.
    let mut n = 0;
    wait_until(|| {
        n += 1;
        sidecar
            .request(&with_long_deadline(&get_look(&format!("o{n}"))))
            .status()
            == "400"
    });
    assert_eq!(sidecar.request(&post("look", "n4")).status(), "200");
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
    let endpoint = ok_endpoint("ok");
    let (before, after) = (
        fake_discovery(&member("s-1", endpoint.address, "up")),
        fake_discovery(""),
    );
    let (address, list) = (unused_address(), member("s-1", endpoint.address, "up"));
    let text =
        |settings: &str, discovery: SocketAddr| config_json(address, discovery, &list, settings);
    let sidecar = Sidecar::start(
        address,
        &text(&long_deadline_settings(), before.server.address),
    );
    let faulty = spoil(&text(&retuned(), after.server.address));
    assert_ne!(faulty, text(&retuned(), after.server.address));
    sidecar.reload(&faulty);
    // What comes behind it is taken, so it has been read by then; only the good one moves discovery.
    let last = fake_discovery(&member("s-1", endpoint.address, "up"));
    sidecar.reload(&text(&long_deadline_settings(), last.server.address));
    wait_until(|| last.server.request_count() > 0);
    assert_eq!(after.server.request_count(), 0);
    assert_eq!(
        sidecar
            .request(&with_long_deadline(
                &get_look("a").replace("/look", "/seek")
            ))
            .status(),
        "404"
    );
    assert_eq!(
        sidecar
            .request(&with_long_deadline(&get_look("b")))
            .status(),
        "200"
    );
}
