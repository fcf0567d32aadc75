//! The management address of the sidecar binary on loopback sockets, and reloads of its settings.

mod harness;

use harness::*;
use rstest::rstest;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// A sidecar with a management address, in front of some endpoints that a fake discovery server
/// lists.
fn start_with_endpoints(endpoints: &[(&str, &FakeServer)]) -> (Sidecar, SocketAddr, FakeDiscovery) {
    let list: Vec<_> = endpoints
        .iter()
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .collect();
    let (address, management, discovery) = (
        unused_address(),
        unused_address(),
        fake_discovery(&list.join(",")),
    );
    let config = config_json(
        address,
        discovery.server.address,
        &list.join(","),
        &long_deadline_settings(),
    );
    (
        Sidecar::start(address, &with_management(&config, management)),
        management,
        discovery,
    )
}

#[rstest]
#[case::health("GET", "/admin/health", "", "200")]
#[case::metrics("GET", "/admin/metrics", "", "200")]
#[case::metrics_by_post("POST", "/admin/metrics", "", "405")]
#[case::unknown_path("GET", "/admin/stats", "", "404")]
#[case::path_of_the_client_address("GET", "/healthz", "", "404")]
#[case::wrong_method("POST", "/admin/health", "", "405")]
#[case::cordon_by_get("GET", "/admin/cordon", "", "405")]
#[case::empty("POST", "/admin/cordon", "", "400")]
#[case::not_json("POST", "/admin/cordon", "s-1", "400")]
#[case::no_id("POST", "/admin/uncordon", "{}", "400")]
#[case::invalid_id("POST", "/admin/cordon", r#"{"id":7}"#, "400")]
#[case::never_listed("POST", "/admin/cordon", r#"{"id":"s-9"}"#, "404")]
#[case::uncordon_never_listed("POST", "/admin/uncordon", r#"{"id":"s-9"}"#, "404")]
#[case::listed("POST", "/admin/cordon", r#"{"id":"s-1","by":"me"}"#, "200")]
#[case::uncordon_not_cordoned("POST", "/admin/uncordon", r#"{"id":"s-1"}"#, "200")]
#[case::too_large("POST", "/admin/cordon", &format!(r#"{{"id":"{}"}}"#, "x".repeat(5000)), "413")]
fn each_request_has_its_status(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: &str,
) {
    let endpoint = ok_endpoint("ok");
    let (_sidecar, management, _discovery) = start_with_endpoints(&[("s-1", &endpoint)]);
    assert_eq!(management_request(management, method, path, body), status);
}

#[rstest]
fn cordoned_endpoint_gets_no_commands_until_it_is_uncordoned() {
    let endpoints = [ok_endpoint("a"), ok_endpoint("b")];
    let (sidecar, management, discovery) =
        start_with_endpoints(&[("s-1", &endpoints[0]), ("s-2", &endpoints[1])]);
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
    // It leaves the list, and comes back at once as just started.
    let members = |phase: &str, started: u64| {
        let first = member("s-1", endpoints[0].address, phase)
            .replace("since_ms\":0", &format!("since_ms\":{started}"));
        format!("{first},{}", member("s-2", endpoints[1].address, "up"))
    };
    for (n, phase) in ["removed", "up"].into_iter().enumerate() {
        let polls = discovery.server.request_count();
        discovery.publish(2 + n as u64, members(phase, n as u64));
        // The next long poll shows that the list has been applied.
        wait_until(|| discovery.server.request_count() > polls);
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

// The endpoint is missing from the list and unknown to the balancer. Its id still counts as listed,
// and its cordon is kept.
#[rstest]
fn id_that_left_the_list_can_be_cordoned() {
    let endpoints = [ok_endpoint("a"), ok_endpoint("b")];
    let (sidecar, management, discovery) =
        start_with_endpoints(&[("s-1", &endpoints[0]), ("s-2", &endpoints[1])]);
    let publish = |revision: u64, ids: &[(&str, &FakeServer)]| {
        let polls = discovery.server.request_count();
        let members: Vec<_> = ids
            .iter()
            .map(|(id, endpoint)| member(id, endpoint.address, "up"))
            .collect();
        discovery.publish(revision, members.join(","));
        wait_until(|| discovery.server.request_count() > polls);
    };
    publish(2, &[("s-2", &endpoints[1])]);
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    publish(3, &[("s-1", &endpoints[0]), ("s-2", &endpoints[1])]);
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

// An endpoint that had left, and whose index another one has taken, was called back: the call ended by a panic, and the
// operator had no answer.
#[rstest]
fn id_that_left_the_list_can_be_called_back_after_another_has_its_index() {
    let endpoints = [ok_endpoint("a"), ok_endpoint("b"), ok_endpoint("c")];
    let (sidecar, management, discovery) =
        start_with_endpoints(&[("s-1", &endpoints[0]), ("s-2", &endpoints[1])]);
    discovery.publish(2, member("s-2", endpoints[1].address, "up"));
    let both = [("s-2", &endpoints[1]), ("s-3", &endpoints[2])];
    let members = both.map(|(id, endpoint)| member(id, endpoint.address, "up"));
    let mut sent = 0;
    let mut look = || {
        sent += 1;
        let command = with_long_deadline(&get_look(&format!("c-{sent}")));
        assert_eq!(sidecar.request(&command).status(), "200");
    };
    let polls = discovery.server.request_count();
    wait_until(|| {
        look();
        discovery.server.request_count() > polls
    });
    discovery.publish(3, members.join(","));
    wait_until(|| {
        look();
        endpoints[2].request_count() > 0
    });
    for _ in 0..2 {
        assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
        look();
        assert_eq!(post_cordon(management, "uncordon", "s-1"), "200");
        look();
    }
    let before = endpoints[2].request_count();
    wait_until(|| {
        look();
        endpoints[2].request_count() > before
    });
}

#[rstest]
fn with_all_endpoints_cordoned_commands_are_refused_at_once() {
    let endpoint = ok_endpoint("a");
    let (sidecar, management, _discovery) = start_with_endpoints(&[("s-1", &endpoint)]);
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    let start = Instant::now();
    assert_eq!(
        sidecar
            .request(&with_long_deadline(&post_book("1")))
            .status(),
        "503"
    );
    // Otherwise it would queue for a quarter of its deadline target of five seconds.
    assert!(start.elapsed() < 1000 * MS, "{:?}", start.elapsed());
}

// Many connections that send nothing or only part of a request do not delay another request.
#[rstest]
fn idle_management_connections_do_not_block_others() {
    let endpoint = ok_endpoint("a");
    let (_sidecar, management, _discovery) = start_with_endpoints(&[("s-1", &endpoint)]);
    let held: Vec<_> = (0..200)
        .map(|n| {
            let mut stream = TcpStream::connect(management).unwrap();
            let partial_request = [
                "",
                "POST /admin/cor",
                "POST /admin/cordon HTTP/1.1\r\nContent-Length: 12\r\n\r\n{",
            ][n % 3];
            stream.write_all(partial_request.as_bytes()).unwrap();
            stream
        })
        .collect();
    let start = Instant::now();
    assert_eq!(post_cordon(management, "cordon", "s-1"), "200");
    // Without eviction they would be closed after three seconds.
    assert!(start.elapsed() < 1500 * MS, "{:?}", start.elapsed());
    assert!(
        held.into_iter()
            .take(100)
            .all(|stream| closes_without_data(&mut BufReader::new(stream)))
    );
}

// Clients take all of their places. The management address has descriptors of its own.
#[rstest]
fn clients_that_take_all_places_leave_the_management_address_its_own() {
    let endpoint = ok_endpoint("a");
    let (sidecar, management, _discovery) = start_with_endpoints(&[("s-1", &endpoint)]);
    let clients: Vec<_> = (0..300)
        .filter_map(|_| TcpStream::connect(sidecar.address).ok())
        .collect();
    assert_eq!(
        management_request(management, "GET", "/admin/health", ""),
        "200"
    );
    // The `sockets` limit, and what is reserved for the management address.
    assert!(
        sidecar.open_descriptors() <= 64 + 56,
        "{}",
        sidecar.open_descriptors()
    );
    drop(clients);
}

// ---- reload on SIGHUP ----

/// Settings with another class, `seek`, and with `look` no longer safe but non-idempotent.
fn changed_settings() -> String {
    let look = r#"{"name":"look","effect":"read_like""#;
    let seek = r#"{"name":"seek","effect":"read_like","response_goal":5000000000,"time_limit":8000000000,"utility":1}"#;
    long_deadline_settings().replace(
        look,
        &format!("{seek},{}", look.replace("read_like", "non_idempotent")),
    )
}

fn post_class(class: &str, id: &str) -> String {
    with_long_deadline(&post_book(id).replace("/book", &format!("/{class}")))
}

#[rstest]
fn reloaded_settings_apply_while_open_commands_keep_theirs() {
    let gate = Gate::default();
    let handler_gate = gate.clone();
    let endpoint = fake_server(move |message, to| {
        if message.header("req-id").as_deref() == Some("open") {
            handler_gate.wait_until_open();
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
    // An open command of the safe class, whose endpoint closes the connection on each attempt.
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
    sidecar.reload(&config_json(address, discovery, &list, &changed_settings()));
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
    // For a while clients may use the old and the new method of a class.
    assert_eq!(
        sidecar
            .request(&with_long_deadline(&get_look("n2")))
            .status(),
        "200"
    );
    assert_eq!(sidecar.request(&post_class("look", "n3")).status(), "200");
    gate.open();
    // Refused with 503, which of the commands that may have run is allowed for safe ones only.
    assert_eq!(Message::read(&mut open).unwrap().status(), "503");
    // After that, only the new method.
    let mut n = 0;
    wait_until(|| {
        n += 1;
        sidecar
            .request(&with_long_deadline(&get_look(&format!("o{n}"))))
            .status()
            == "400"
    });
    assert_eq!(sidecar.request(&post_class("look", "n4")).status(), "200");
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
#[case::limit_not_a_number(|text: &str| text.replacen("\"time_limit\":8000000000", "\"time_limit\":\"8 s\"", 1))]
#[case::zero_attempts(|text: &str| text.replace("\"max_relays\":4", "\"max_relays\":0"))]
#[case::attempts_not_a_number(|text: &str| text.replace("\"max_relays\":4", "\"max_relays\":\"four\""))]
#[case::unknown_effect(|text: &str| text.replace("non_idempotent", "odd"))]
#[case::duplicate_class(|text: &str| text.replace("\"seek\"", "\"book\""))]
fn reload_of_an_invalid_file_changes_nothing(#[case] corrupt: fn(&str) -> String) {
    let endpoint = ok_endpoint("ok");
    let (old_discovery, new_discovery) = (
        fake_discovery(&member("s-1", endpoint.address, "up")),
        fake_discovery(""),
    );
    let (address, list) = (unused_address(), member("s-1", endpoint.address, "up"));
    let config =
        |settings: &str, discovery: SocketAddr| config_json(address, discovery, &list, settings);
    let sidecar = Sidecar::start(
        address,
        &config(&long_deadline_settings(), old_discovery.server.address),
    );
    let invalid = corrupt(&config(&changed_settings(), new_discovery.server.address));
    assert_ne!(
        invalid,
        config(&changed_settings(), new_discovery.server.address)
    );
    sidecar.reload(&invalid);
    // A valid reload follows: once it is applied, the invalid file has been read. Only the valid
    // one may change discovery.
    let last = fake_discovery(&member("s-1", endpoint.address, "up"));
    sidecar.reload(&config(&long_deadline_settings(), last.server.address));
    wait_until(|| last.server.request_count() > 0);
    assert_eq!(new_discovery.server.request_count(), 0);
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

// Guards against incidents of which nothing tells what the process held and why it refused.
#[rstest]
fn metrics_tell_what_is_held_and_what_became_of_commands() {
    let endpoint = ok_endpoint("ok");
    let (sidecar, management, _discovery) = start_with_endpoints(&[("s-1", &endpoint)]);
    let answered = with_long_deadline(&post_book("a"));
    assert_eq!(sidecar.request(&answered).status(), "200");
    let page = management_page(management, "/admin/metrics");
    assert!(
        page["memory"]["resident_bytes"].as_u64() > Some(1_000_000),
        "{page}"
    );
    assert!(
        page["memory"]["limit_bytes"].as_u64() > Some(1_000_000),
        "{page}"
    );
    assert_eq!(page["counts"]["commands_answered"], 1, "{page}");
    assert_eq!(page["counts"]["commands_without_memory"], 0, "{page}");
}
