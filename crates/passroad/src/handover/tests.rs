use super::*;
use rstest::rstest;

#[rstest]
#[case::unchanged(|_: &mut serde_json::Value| {}, "")]
#[case::later_version(|state: &mut serde_json::Value| state["version"] = 2.into(), "version Some(2), not 1")]
#[case::no_version(|state: &mut serde_json::Value| state["version"] = "one".into(), "version None")]
#[case::another_address(|state: &mut serde_json::Value| state["listen"] = "127.0.0.1:2".into(), "it is of 127.0.0.1:2")]
#[case::no_cordons(|state: &mut serde_json::Value| drop(state.as_object_mut().unwrap().remove("bans")), "missing field `bans`")]
#[case::unreadable_learned_state(|state: &mut serde_json::Value| state["learnt"] = "much".into(), "")]
fn a_state_is_read_whole_or_not_at_all(
    #[case] change: fn(&mut serde_json::Value),
    #[case] error: &str,
) {
    let listen: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let learned_state = serde_json::Value::Null;
    let state = HandoverState {
        version: VERSION,
        listen,
        revision: Some(7),
        entries: Vec::new(),
        cordoned: vec!["s-1".into()],
        removed: vec![9],
        open_ids: Vec::new(),
        descriptors: 20,
        learned_state,
    };
    let mut state = serde_json::to_value(state).unwrap();
    change(&mut state);
    let bytes = serde_json::to_vec(&state).unwrap();
    let read_state = read(&mut &bytes[..], bytes.len(), listen);
    match error {
        "" => assert_eq!(read_state.unwrap().cordoned, ["s-1"]),
        error => assert!(
            read_state
                .as_ref()
                .is_err_and(|message| message.contains(error)),
            "{read_state:?}"
        ),
    }
    assert!(
        read(&mut &bytes[..9], bytes.len(), listen)
            .is_err_and(|message| message.contains("truncated"))
    );
    assert!(
        read(&mut &bytes[..], MAX_STATE_BYTES + 1, listen)
            .is_err_and(|message| message.contains("over"))
    );
}
