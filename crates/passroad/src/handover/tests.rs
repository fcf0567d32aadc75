use super::protocol::state_in_version;
use super::*;
use crate::exclusions::ExclusionNotice;
use rstest::rstest;
use std::collections::BTreeSet;

fn set(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(ToString::to_string).collect()
}

fn state(listen: SocketAddr) -> HandoverState {
    HandoverState {
        version: VERSION,
        listen,
        revision: Some(7),
        entries: Vec::new(),
        cordoned: set(&["s-1"]),
        under_maintenance: set(&["s-2"]),
        removed: vec![9],
        open_ids: Vec::new(),
        descriptors: 20,
        learned_state: serde_json::Value::Null,
    }
}

#[rstest]
#[case::unchanged(|_: &mut serde_json::Value| {}, "")]
#[case::later_version(|state: &mut serde_json::Value| state["version"] = 3.into(), "version Some(3), not 1..=2")]
#[case::version_zero(|state: &mut serde_json::Value| state["version"] = 0.into(), "version Some(0), not 1..=2")]
#[case::no_version(|state: &mut serde_json::Value| state["version"] = "one".into(), "version None")]
#[case::another_address(|state: &mut serde_json::Value| state["listen"] = "127.0.0.1:2".into(), "it is of 127.0.0.1:2")]
#[case::no_cordons(|state: &mut serde_json::Value| drop(state.as_object_mut().unwrap().remove("bans")), "missing field `bans`")]
#[case::unreadable_learned_state(|state: &mut serde_json::Value| state["learnt"] = "much".into(), "")]
fn a_state_is_read_whole_or_not_at_all(
    #[case] change: fn(&mut serde_json::Value),
    #[case] error: &str,
) {
    let listen: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let mut state = serde_json::to_value(state(listen)).unwrap();
    change(&mut state);
    let bytes = serde_json::to_vec(&state).unwrap();
    let read_state = read(&mut &bytes[..], bytes.len(), listen);
    match error {
        "" => {
            let read_state = read_state.unwrap();
            assert_eq!(read_state.cordoned, set(&["s-1"]));
            assert_eq!(read_state.under_maintenance, set(&["s-2"]));
        }
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

// Version 1 knows one set of endpoints that are out of use: none may be missing there.
#[rstest]
fn version_1_is_told_of_every_endpoint_that_is_out_of_use() {
    let listen: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let written = serde_json::to_value(state_in_version(state(listen), 1)).unwrap();
    assert_eq!(written["version"], 1);
    assert_eq!(written["bans"], serde_json::json!(["s-1", "s-2"]));
    assert_eq!(written.get("work"), None);
    let bytes = serde_json::to_vec(&written).unwrap();
    let read_state = read(&mut &bytes[..], bytes.len(), listen).unwrap();
    assert_eq!(read_state.cordoned, set(&["s-1", "s-2"]));
    assert_eq!(read_state.under_maintenance, set(&[]));
}

#[rstest]
#[case::oldest(1, Some(1))]
#[case::own(2, Some(2))]
#[case::later(7, Some(2))]
#[case::none(0, None)]
fn both_processes_speak_the_newest_version_that_both_know(
    #[case] requested: u32,
    #[case] common: Option<u32>,
) {
    assert_eq!(common_version(requested), common);
}

// In version 1 the end of a cordon ends the maintenance too: it is not sent while that goes on.
#[rstest]
#[case::cordoned(1, ExclusionReason::Operator, true, true, Some(r#"{"out":"s-1"}"#))]
#[case::uncordoned(1, ExclusionReason::Operator, false, false, Some(r#"{"back":"s-1"}"#))]
#[case::uncordoned_under_maintenance(1, ExclusionReason::Operator, false, true, None)]
#[case::maintenance(1, ExclusionReason::Maintenance, true, true, Some(r#"{"out":"s-1"}"#))]
#[case::maintained(
    1,
    ExclusionReason::Maintenance,
    false,
    false,
    Some(r#"{"back":"s-1"}"#)
)]
#[case::maintained_and_cordoned(1, ExclusionReason::Maintenance, false, true, None)]
#[case::cordoned(2, ExclusionReason::Operator, true, true, Some(r#"{"out":"s-1"}"#))]
#[case::uncordoned_under_maintenance(
    2,
    ExclusionReason::Operator,
    false,
    true,
    Some(r#"{"back":"s-1"}"#)
)]
#[case::maintenance(2, ExclusionReason::Maintenance, true, true, Some(r#"{"work":"s-1"}"#))]
#[case::maintained_and_cordoned(
    2,
    ExclusionReason::Maintenance,
    false,
    true,
    Some(r#"{"worked":"s-1"}"#)
)]
fn a_change_is_told_in_the_version_of_the_other_process(
    #[case] version: u32,
    #[case] reason: ExclusionReason,
    #[case] excluded: bool,
    #[case] out_of_use: bool,
    #[case] line: Option<&str>,
) {
    let change = ExclusionChange {
        id: "s-1".into(),
        reason,
        excluded,
    };
    let notice = ExclusionNotice {
        change: change.clone(),
        out_of_use,
        applied: oneshot::channel().0,
    };
    let message = Message::for_notice(&notice, version);
    let written = message
        .as_ref()
        .map(|message| serde_json::to_string(message).unwrap());
    assert_eq!(written.as_deref(), line);
    if version > VERSION_WITHOUT_REASONS {
        assert_eq!(message.unwrap().exclusion_change(), Some(change));
    }
}
