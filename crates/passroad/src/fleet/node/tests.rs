use super::*;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const LEASE: Duration = Duration::from_secs(1);

fn clocks_at(ms: u32) -> Clocks {
    Clocks {
        monotonic: MS * ms,
        wall: MS * (1_000_000 + ms),
    }
}

/// The only voter, which owns its task as soon as its recovery period is over.
fn single_node() -> FleetNode {
    let task = LeasedTask {
        name: "sweep".into(),
        key: 7,
        interval: 100 * MS,
        call: Some(hyper::Uri::from_static("http://127.0.0.1:1/")),
        timeout: 300 * MS,
    };
    let identity = NodeIdentity {
        me: 0,
        members: 1,
        incarnation: 5,
        seed: 9,
    };
    FleetNode::new(&identity, 1, LEASE, LEASE, vec![task], clocks_at(0), None)
}

/// Ticks each millisecond; returns the actions about calls, with their time.
fn run(node: &mut FleetNode, span: std::ops::Range<u32>) -> Vec<(u32, NodeAction)> {
    let is_call = |action: &NodeAction| {
        matches!(
            action,
            NodeAction::BeginCall { .. } | NodeAction::AbortCall { .. }
        )
    };
    span.flat_map(|ms| {
        node.tick(clocks_at(ms))
            .into_iter()
            .filter(is_call)
            .map(move |action| (ms, action))
    })
    .collect()
}

/// A node that has just begun its first call, with the time and the epoch.
fn owning() -> (FleetNode, u32, Epoch) {
    let mut node = single_node();
    let (ms, begun) = (0..3000)
        .find_map(|ms| run(&mut node, ms..ms + 1).pop())
        .unwrap();
    let NodeAction::BeginCall { epoch, .. } = begun else {
        panic!("{begun:?}")
    };
    (node, ms, epoch)
}

#[rstest]
fn one_call_at_a_time_and_none_during_recovery() {
    let (mut node, ms, epoch) = owning();
    assert!(ms >= 1050, "{ms}");
    assert_eq!(run(&mut node, ms + 1..ms + 900), []);
    node.call_ended(clocks_at(ms + 900), 0, epoch, CallOutcome::Succeeded);
    assert_eq!(run(&mut node, ms + 900..ms + 950).len(), 1);
}

// A node paused past its lease aborts its open call, and begins none before it owns the lease again by a higher epoch.
#[rstest]
#[case::both_clocks(8000, 8000)]
#[case::wall_clock_alone(1, 8000)]
fn a_node_paused_past_its_lease_aborts_its_open_call(#[case] monotonic: u32, #[case] wall: u32) {
    let (mut node, ms, epoch) = owning();
    let woken = Clocks {
        monotonic: clocks_at(ms + monotonic).monotonic,
        wall: clocks_at(ms + wall).wall,
    };
    assert_eq!(node.owned_epoch(woken, 0), None);
    let actions = node.tick(woken);
    assert!(
        actions.contains(&NodeAction::AbortCall { task: 0 }),
        "{actions:?}"
    );
    let stale = |action: &NodeAction| matches!(action, NodeAction::BeginCall { epoch: new, .. } if *new <= epoch);
    assert!(!actions.iter().any(stale), "{actions:?}");
}

#[rstest]
fn a_call_refused_as_stale_releases_and_raises_the_epoch() {
    let (mut node, ms, epoch) = owning();
    node.call_ended(
        clocks_at(ms + 10),
        0,
        epoch,
        CallOutcome::StaleEpoch(5_000_000),
    );
    assert_eq!(node.owned_epoch(clocks_at(ms + 10), 0), None);
    let begun = run(&mut node, ms + 10..ms + 3000);
    assert!(
        matches!(
            begun[0].1,
            NodeAction::BeginCall {
                epoch: 5_000_001,
                ..
            }
        ),
        "{begun:?}"
    );
}

#[rstest]
fn after_releasing_all_no_call_begins_and_nothing_is_owned() {
    let (mut node, ms, _) = owning();
    let actions = node.release_all(clocks_at(ms + 10));
    assert!(
        actions.contains(&NodeAction::AbortCall { task: 0 }),
        "{actions:?}"
    );
    assert_eq!(run(&mut node, ms + 10..ms + 3000), []);
    assert_eq!(node.owned_epoch(clocks_at(ms + 20), 0), None);
}
