use super::*;
use rstest::rstest;

#[rstest]
fn an_id_that_is_open_beside_is_not_taken_here() {
    let (here, there) = (Arc::<InFlightIds>::default(), Arc::<InFlightIds>::default());
    let id = HeaderValue::from_static("a");
    let open = there.claim(&id).unwrap();
    let mut told = there.subscribe();
    let mut hear = || {
        while let Ok((taken, id)) = told.try_recv() {
            here.set_in_other_process(taken, id);
        }
    };
    hear();
    assert!(here.claim(&id).is_none() && there.claim(&id).is_none());
    drop(open);
    hear();
    assert!(here.claim(&id).is_some());
    let _open = there.claim(&id).unwrap();
    hear();
    assert!(here.claim(&id).is_none());
    here.clear_other_process();
    assert!(here.claim(&id).is_some());
}
