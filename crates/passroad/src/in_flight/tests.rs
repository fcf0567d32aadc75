use super::*;
use rstest::rstest;

#[rstest]
fn id_in_flight_in_the_other_process_cannot_be_claimed() {
    let (own, other) = (Arc::<InFlightIds>::default(), Arc::<InFlightIds>::default());
    let id = HeaderValue::from_static("a");
    let claimed = other.claim(&id).unwrap();
    let mut changes = other.subscribe();
    let mut apply_changes = || {
        while let Ok((claimed, id)) = changes.try_recv() {
            own.set_in_other_process(claimed, id);
        }
    };
    apply_changes();
    assert!(own.claim(&id).is_none() && other.claim(&id).is_none());
    drop(claimed);
    apply_changes();
    assert!(own.claim(&id).is_some());
    let _claimed = other.claim(&id).unwrap();
    apply_changes();
    assert!(own.claim(&id).is_none());
    // Its command may still run when the process has ended.
    let ended = own.other_process_ended();
    assert_eq!(ended, ["a"]);
    assert!(own.claim(&id).is_none());
    own.set_in_other_process(false, ended[0].clone());
    assert!(own.claim(&id).is_some());
}

// Guards against ids that are released in the other process because this one ends with their commands open.
#[rstest]
fn ids_released_by_the_end_of_the_process_are_not_reported() {
    let ids = Arc::<InFlightIds>::default();
    let mut changes = ids.subscribe();
    let claimed = ids.claim(&HeaderValue::from_static("a")).unwrap();
    ids.stop_reporting();
    drop(claimed);
    assert_eq!(changes.try_recv(), Ok((true, "a".to_string())));
    assert!(changes.try_recv().is_err());
}
