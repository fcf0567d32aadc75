use super::*;
use rstest::rstest;
use serde_json::json;

const TASK: &str = "[[duty]]\nname = \"sweep\"\nevery = \"1s\"\ncall = \"http://127.0.0.1:9/x\"\n";

#[rstest]
#[case::unknown(format!("speed = 1\n{TASK}"), 1, "speed: unknown field")]
#[case::no_unit("lease = \"3\"\n".into(), 1, "has no unit")]
#[case::short("\nlease = \"20ms\"\n".into(), 2, "lease: from 200ms")]
#[case::even("voters = 4\n".into(), 1, "voters: 4 is not 1, 3, 5 or 7")]
#[case::no_file("state = \"\"\n".into(), 1, "state: names no file")]
#[case::twice(format!("{TASK}{TASK}"), 6, "name: 'sweep' is taken")]
#[case::name_of_a_host(TASK.replace("127.0.0.1", "db"), 4, "names are not looked up")]
#[case::long_call(format!("lease = \"1s\"\n{TASK}within = \"900ms\"\n"), 6, "within: more than 0")]
fn an_error_names_its_line(#[case] text: String, #[case] line: usize, #[case] what: &str) {
    let wrong = parse(&text).unwrap_err();
    assert!(
        wrong.line == line && wrong.message.contains(what),
        "{wrong}"
    );
}

#[rstest]
fn the_sample_file_is_valid() {
    let config = parse(include_str!("../../../../../deploy/fleet.toml")).unwrap();
    assert_eq!(config.tasks.len(), 1);
}

#[rstest]
fn missing_values_have_defaults() {
    let config = parse(TASK).unwrap();
    assert_eq!((config.lease, config.voters), (Duration::from_secs(3), 5));
    assert!(config.tasks[0].timeout < config.lease * 2 / 3);
}

#[rstest]
#[case::valid(json!({}), "")]
#[case::no_listen(json!({"peer_listen": null}), "peer_listen is missing")]
#[case::no_peers(json!({"peers": 3}), "peers: no list")]
#[case::no_address(json!({"peers": ["a"]}), "peers: \"a\" is no address")]
#[case::twice(json!({"peers": ["127.0.0.1:1", "127.0.0.1:1"]}), "there twice")]
#[case::index_out_of_range(json!({"settings": {"my_number": 2}}), "2 is no place in peers")]
#[case::not_among_the_peers(json!({"settings": {}}), "/my_number is missing")]
#[case::odd_flag(json!({"settings": {"my_number": 0, "allowed": {"may_tell": 3}}}), "may_tell is not")]
fn the_own_index_among_the_peers_is_checked(#[case] over: serde_json::Value, #[case] what: &str) {
    let mut value = json!({
        "peer_listen": "127.0.0.1:9", "peers": ["127.0.0.1:1", "127.0.0.1:2"],
        "settings": {"my_number": 1, "allowed": {"may_tell": true}},
    });
    for (key, changed) in over.as_object().unwrap() {
        value[key] = changed.clone();
    }
    match PeerConfig::from_value("n", &value) {
        Ok(peers) => assert_eq!((what, peers.me, peers.messages_allowed), ("", 1, true)),
        Err(error) => assert!(!what.is_empty() && error.contains(what), "{error}"),
    }
}
