use super::*;
use rstest::rstest;

#[rstest]
#[case::as_it_is(|_: &mut serde_json::Value| {}, "")]
#[case::later_version(|state: &mut serde_json::Value| state["version"] = 2.into(), "version Some(2), not 1")]
#[case::no_version(|state: &mut serde_json::Value| state["version"] = "one".into(), "version None")]
#[case::another_address(|state: &mut serde_json::Value| state["listen"] = "127.0.0.1:2".into(), "it is of 127.0.0.1:2")]
#[case::no_bans(|state: &mut serde_json::Value| drop(state.as_object_mut().unwrap().remove("bans")), "missing field `bans`")]
#[case::other_form_learnt(|state: &mut serde_json::Value| state["learnt"] = "much".into(), "")]
fn what_was_known_is_read_whole_or_not_at_all(
    #[case] turn: fn(&mut serde_json::Value),
    #[case] fault: &str,
) {
    let listen: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let learnt = serde_json::Value::Null;
    let known = HandoverState {
        version: VERSION,
        listen,
        revision: Some(7),
        entries: Vec::new(),
        cordoned: vec!["s-1".into()],
        removed: vec![9],
        open_ids: Vec::new(),
        descriptors: 20,
        learned_state: learnt,
    };
    let mut state = serde_json::to_value(known).unwrap();
    turn(&mut state);
    let bytes = serde_json::to_vec(&state).unwrap();
    let whole = read(&mut &bytes[..], bytes.len(), listen);
    match fault {
        "" => assert_eq!(whole.unwrap().cordoned, ["s-1"]),
        fault => assert!(
            whole.as_ref().is_err_and(|said| said.contains(fault)),
            "{whole:?}"
        ),
    }
    assert!(
        read(&mut &bytes[..9], bytes.len(), listen).is_err_and(|said| said.contains("cut short"))
    );
    assert!(
        read(&mut &bytes[..], LONGEST_STATE + 1, listen).is_err_and(|said| said.contains("over"))
    );
}
