use super::*;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const LEASE: Duration = Duration::from_secs(1);

fn at(ms: u32) -> Clocks {
    Clocks {
        monotonic: MS * ms,
        wall: MS * (1_000_000 + ms),
    }
}

/// The only voter, so that it owns its duty as soon as it is no longer mute.
fn alone() -> Part {
    let duty = DutyOrder {
        name: "sweep".into(),
        mark: 7,
        every: 100 * MS,
        call: Some(hyper::Uri::from_static("http://127.0.0.1:1/")),
        within: 300 * MS,
    };
    let who = Who {
        me: 0,
        members: 1,
        incarnation: 5,
        seed: 9,
    };
    Part::new(&who, 1, LEASE, LEASE, vec![duty], at(0), None)
}

/// Turns each millisecond; what was to be done of calls, with when.
fn run(part: &mut Part, span: std::ops::Range<u32>) -> Vec<(u32, Do)> {
    let call = |todo: &Do| matches!(todo, Do::Begin { .. } | Do::Drop { .. });
    span.flat_map(|ms| {
        part.turn(at(ms))
            .into_iter()
            .filter(call)
            .map(move |todo| (ms, todo))
    })
    .collect()
}

/// One that has just begun its first call: when, and by which epoch.
fn owning() -> (Part, u32, Epoch) {
    let mut part = alone();
    let (ms, begun) = (0..3000)
        .find_map(|ms| run(&mut part, ms..ms + 1).pop())
        .unwrap();
    let Do::Begin { epoch, .. } = begun else {
        panic!("{begun:?}")
    };
    (part, ms, epoch)
}

#[rstest]
fn one_call_at_a_time_and_none_before_the_voter_may_speak() {
    let (mut part, ms, epoch) = owning();
    assert!(ms >= 1050, "{ms}");
    assert_eq!(run(&mut part, ms + 1..ms + 900), []);
    part.ended(at(ms + 900), 0, epoch, Came::Done);
    assert_eq!(run(&mut part, ms + 900..ms + 950).len(), 1);
}

// What slept past its lease drops what was out, and begins nothing before it owns it anew, by a higher epoch.
#[rstest]
#[case::both_clocks(8000, 8000)]
#[case::wall_clock_alone(1, 8000)]
fn what_slept_past_its_lease_drops_what_was_out(#[case] monotonic: u32, #[case] wall: u32) {
    let (mut part, ms, epoch) = owning();
    let woken = Clocks {
        monotonic: at(ms + monotonic).monotonic,
        wall: at(ms + wall).wall,
    };
    assert_eq!(part.owned(woken, 0), None);
    let todo = part.turn(woken);
    assert!(todo.contains(&Do::Drop { n: 0 }), "{todo:?}");
    let later = |todo: &Do| matches!(todo, Do::Begin { epoch: new, .. } if *new <= epoch);
    assert!(!todo.iter().any(later), "{todo:?}");
}

#[rstest]
fn a_refused_call_gives_up_and_goes_above() {
    let (mut part, ms, epoch) = owning();
    part.ended(at(ms + 10), 0, epoch, Came::Stale(5_000_000));
    assert_eq!(part.owned(at(ms + 10), 0), None);
    let begun = run(&mut part, ms + 10..ms + 3000);
    assert!(
        matches!(
            begun[0].1,
            Do::Begin {
                epoch: 5_000_001,
                ..
            }
        ),
        "{begun:?}"
    );
}

#[rstest]
fn who_leaves_begins_nothing_and_owns_nothing() {
    let (mut part, ms, _) = owning();
    let todo = part.leave(at(ms + 10));
    assert!(todo.contains(&Do::Drop { n: 0 }), "{todo:?}");
    assert_eq!(run(&mut part, ms + 10..ms + 3000), []);
    assert_eq!(part.owned(at(ms + 20), 0), None);
}
