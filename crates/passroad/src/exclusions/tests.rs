use super::*;
use proptest::prelude::*;
use rstest::rstest;

fn change(reason: ExclusionReason, excluded: bool) -> ExclusionChange {
    ExclusionChange {
        id: "s-1".into(),
        reason,
        excluded,
    }
}

// A cordon that ended with the maintenance, or maintenance that an operator's uncordon ended.
#[rstest]
#[case(ExclusionReason::Operator, ExclusionReason::Maintenance)]
#[case(ExclusionReason::Maintenance, ExclusionReason::Operator)]
fn the_end_of_one_reason_leaves_the_other(
    #[case] first: ExclusionReason,
    #[case] second: ExclusionReason,
) {
    let mut exclusions = Exclusions::default();
    assert!(exclusions.apply(&change(first, true)).use_changed);
    assert!(!exclusions.apply(&change(second, true)).use_changed);
    let effect = exclusions.apply(&change(second, false));
    assert_eq!(
        effect,
        ExclusionEffect {
            reason_changed: true,
            use_changed: false,
            out_of_use: true,
        }
    );
    assert!(exclusions.apply(&change(first, false)).use_changed);
    assert!(!exclusions.is_out_of_use("s-1"));
}

// A subscriber that was told of its own report would send it back, after a later change perhaps.
#[rstest]
fn the_subscriber_that_reports_a_change_is_not_told_of_it() {
    let mut exclusions = Exclusions::default();
    let (mut reporter, mut other) = (exclusions.subscribe(), exclusions.subscribe());
    let change = change(ExclusionReason::Maintenance, true);
    exclusions.apply(&change);
    assert_eq!(exclusions.notify(&change, Some(reporter.id)).len(), 1);
    assert!(reporter.notices.try_recv().is_err());
    let notice = other.notices.try_recv().unwrap();
    assert_eq!((notice.change, notice.out_of_use), (change.clone(), true));
    drop((reporter, other));
    assert!(exclusions.notify(&change, None).is_empty());
}

proptest! {
    // Whatever the order of calls: an endpoint is in use exactly while the last call of each reason ended it.
    #[test]
    fn an_endpoint_is_in_use_while_neither_reason_holds(
        calls in proptest::collection::vec((any::<bool>(), any::<bool>()), 1..40)
    ) {
        let mut exclusions = Exclusions::default();
        let (mut by_operator, mut by_maintenance) = (false, false);
        for (operator, excluded) in calls {
            let out_before = by_operator || by_maintenance;
            let reason = if operator {
                by_operator = excluded;
                ExclusionReason::Operator
            } else {
                by_maintenance = excluded;
                ExclusionReason::Maintenance
            };
            let effect = exclusions.apply(&change(reason, excluded));
            let out_of_use = by_operator || by_maintenance;
            prop_assert_eq!(effect.out_of_use, out_of_use);
            prop_assert_eq!(effect.use_changed, out_of_use != out_before);
        }
    }
}
