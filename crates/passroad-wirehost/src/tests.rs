use super::{host::Instance, serve};
use passroad_choice::Action;
use rstest::rstest;

const HELLO: &str = concat!(
    r#"HELLO i=0 prng=5 config={"verbs":[{"name":"v","effect":"read_like","response_goal":400000000,"#,
    r#""time_limit":1000000000,"utility":1,"brand_new":true}],"dcs":["a"],"az":"a","novel":[1],"#,
    r#""allowed":{"max_relays":3}}"#,
    "\nCENSUS list=0 lines=1\nM endpoint=10.0.0.1:9 hall=a mode=Running rating=1 fresh_key=7\n",
    "PEERS_KNOWN i=0 kind=remembered revision=1 list=0\n"
);

fn run(input: &str) -> (String, Result<(), String>) {
    let mut output = Vec::new();
    let end = serve(input.as_bytes(), &mut output);
    (String::from_utf8(output).unwrap(), end)
}

#[rstest]
fn command_is_relayed_under_its_own_id() {
    let (out, end) = run(&format!(
        "TICK time=5 seq=1\n{HELLO}INGRESS i=0 op_id=ab profile=v budget=500000000 other=1\nEOF_BATCH\n"
    ));
    assert_eq!(end, Ok(()));
    assert!(
        out.contains("PLACE i=0 op_id=ab endpoint=10.0.0.1:9 try_for="),
        "{out}"
    );
    assert!(out.ends_with("ACK seq=1\n"), "{out}");
}

#[rstest]
fn outcome_of_an_unknown_command_is_ignored() {
    let (out, end) = run(&format!(
        "TICK time=5 seq=1\n{HELLO}FINISHED i=0 op_id=ff trial=0 endpoint=x disposition=0 spent=1 no_more=1\nEOF_BATCH\n"
    ));
    assert_eq!((out.lines().last(), end), (Some("ACK seq=1"), Ok(())));
}

#[rstest]
#[case("TICK time=5 seq=1\nNONSENSE\n", "line 2: unknown message NONSENSE")]
#[case(
    "TICK time=5 seq=1\nDUE i=0 cookie=1\n",
    "line 2: DUE: unknown instance 0"
)]
#[case(
    "TICK time=x seq=1\n",
    "line 1: TICK: time=x is not a duration in nanoseconds"
)]
#[case("DUE i=0 cookie=1\n", "line 1: DUE outside a batch")]
#[case(
    "TICK time=5 seq=1\nDUE what\n",
    "line 2: 'what' is not a name=value pair"
)]
#[case(
    "TICK time=5 seq=1\nHELLO i=0 prng=1 config={\n",
    "line 2: settings: EOF while parsing"
)]
#[case(
    "TICK time=5 seq=1\nCENSUS list=0 lines=2\nEOF_BATCH\n",
    "line 3: EOF_BATCH: expected 2 more entries of list 0"
)]
#[case("TICK time=5 seq=1\n", "line 2: input ended inside a batch")]
#[case("TICK time=5 seq=1\nEOF_BATCH", "line 2: input ended inside a batch")]
fn invalid_input_ends_with_its_line_number_and_no_reply(
    #[case] input: &str,
    #[case] expected: &str,
) {
    let (out, end) = run(input);
    assert!(
        end.as_ref().is_err_and(|e| e.starts_with(expected)),
        "{end:?}"
    );
    assert_eq!(out, "");
}

#[rstest]
fn unknown_message_to_a_running_instance_is_an_error() {
    let (_, end) = run(&format!(
        "TICK time=5 seq=1\n{HELLO}WAGGLE i=0\nEOF_BATCH\n"
    ));
    assert_eq!(end, Err("line 6: unknown message WAGGLE".into()));
}

#[rstest]
fn empty_batch_is_acknowledged() {
    assert_eq!(
        run("TICK time=5 seq=9\nEOF_BATCH\n"),
        ("ACK seq=9\n".into(), Ok(()))
    );
}

#[rstest]
#[case("STARTED i=0 op_id=ab spent=5 endpoint=10.0.0.1:9 trial=0")]
#[case("PEER i=0 neighbour=1 bytes=aGkgNw==")]
#[case("PEER i=0 neighbour=1 bytes=-")]
#[case("INGRESS i=0 op_id=cd name_key=user:k hint=12000000 profile=v budget=500000000 write=1")]
#[case("PEERS_KNOWN i=0 kind=refused revision=2")]
fn rare_events_are_accepted(#[case] event: &str) {
    let command = "INGRESS i=0 op_id=ab profile=v budget=500000000\n";
    let (out, end) = run(&format!(
        "TICK time=5 seq=1\n{HELLO}{command}{event}\nEOF_BATCH\n"
    ));
    assert_eq!((out.lines().last(), end), (Some("ACK seq=1"), Ok(())));
    assert!(!out.contains("BUG"), "{out}");
}

#[rstest]
fn started_stream_is_not_cancelled() {
    let started = "STARTED i=0 op_id=ab spent=5 endpoint=10.0.0.1:9 trial=0\nLAPSED i=0 op_id=ab\n";
    let command = "INGRESS i=0 op_id=ab profile=v budget=500000000\n";
    let (out, _) = run(&format!(
        "TICK time=5 seq=1\n{HELLO}{command}{started}EOF_BATCH\n"
    ));
    assert!(out.contains("PLACE") && !out.contains("RECALL"), "{out}");
}

#[rstest]
#[case(Action::SendToPeer { to: None, bytes: b"hi 7".to_vec() }, "TELL i=3 dst=-1 bytes=aGkgNw==")]
#[case(Action::SendToPeer { to: Some(2), bytes: vec![] }, "TELL i=3 dst=2 bytes=-")]
#[case(Action::PollList, "LIST_ALL i=3")]
#[case(Action::Subscribe { active: false }, "LISTEN i=3 active=0")]
#[case(Action::Disconnect { endpoint: 0 }, "DISCONNECT i=3 endpoint=10.0.0.1:9")]
fn rare_actions_are_written(#[case] action: Action, #[case] line: &str) {
    let settings = r#"{"verbs":[{"name":"v","effect":"read_like"}]}"#;
    let mut instance = Instance::new(passroad_orders::config_from_text(1, settings).unwrap());
    instance.endpoints.intern(&"10.0.0.1:9".to_string());
    let mut reply = String::new();
    instance.write_action(3, &action, &mut reply).unwrap();
    assert_eq!(reply.trim_end(), line);
}
