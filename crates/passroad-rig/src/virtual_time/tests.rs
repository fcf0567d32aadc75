use super::*;
use crate::experiment::{parse, tests::SMALL};
use crate::run::{Run, Tally};
use rstest::rstest;

fn plan(extra_toml: &str) -> Plan {
    parse(&format!("{SMALL}{extra_toml}")).expect("a plan")
}

fn run(plan: &Plan, policy: &str, seed: u64) -> Run {
    Run::from_recording(
        plan,
        policy,
        seed,
        simulate(plan, seed, policy).expect("a recording"),
        Duration::ZERO,
    )
}

fn tally(plan: &Plan, run: &Run) -> Tally {
    Tally::of_class(run, plan, &(plan.settle..plan.length), None)
}

/// FNV-1a over the Debug text of a run's recording, so it also changes when a type or field in it is renamed.
fn digest(recording: &Recording) -> u64 {
    let text = format!(
        "{:?}{:?}{:?}",
        recording.ledger, recording.samples, recording.log_lines
    );
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

const CRASH: &str = "[[fault]]\nkind = \"die\"\nat = \"2s\"\nfor = \"1s\"\nendpoints = [1]\n";

#[rstest]
fn the_same_seed_gives_the_same_run_to_the_byte(
    #[values("passroad", "random", "round-robin", "least-of-two", "full-sight")] policy: &str,
) {
    let plan = plan(CRASH);
    let run_digest = |seed| digest(&simulate(&plan, seed, policy).expect("a recording"));
    assert_eq!(run_digest(7), run_digest(7));
    assert_ne!(run_digest(7), run_digest(8));
}

// Computed on another machine. The policy is a baseline: the digest changes with the simulation, not with the balancer.
#[rstest]
fn a_run_is_the_same_on_any_machine() {
    assert_eq!(
        digest(&simulate(&plan(CRASH), 7, "least-of-two").expect("a recording")),
        DIGEST
    );
}
const DIGEST: u64 = 13946674186781201656;

#[rstest]
fn the_load_is_the_same_under_any_policy() {
    let plan = parse(&SMALL.replace("retries = \"50%\"", "")).expect("a plan");
    let arrivals = |policy| {
        let run = run(&plan, policy, 3);
        run.history
            .commands
            .iter()
            .map(|command| (command.arrived_at, command.class, command.instance))
            .collect::<Vec<_>>()
    };
    assert_eq!(arrivals("passroad"), arrivals("random"));
}

// Each fault is visible under a policy that chooses at random, and the rig itself breaks no rule: every command gets an
// answer.
#[rstest]
#[case::stall("kind = \"stall\"\nendpoints = [0, 1]", |tally: &Tally| tally.share(tally.served) < 0.97)]
#[case::slow("kind = \"slow\"\nleft = 0.05\nendpoints = [0, 1]", |tally: &Tally| tally.share(tally.served) < 0.95)]
#[case::errors("kind = \"errors\"\nshare = 0.9", |tally: &Tally| tally.share(tally.failed) > 0.2)]
#[case::spoil("kind = \"spoil\"\nshare = 0.9", |tally: &Tally| tally.share(tally.failed) > 0.2)]
#[case::reset("kind = \"reset\"\nshare = 0.9", |tally: &Tally| tally.share(tally.failed) > 0.2)]
#[case::hang("kind = \"hang\"\nverb = \"book\"", |tally: &Tally| tally.share(tally.failed) > 0.2)]
#[case::silence("kind = \"silence\"\ninstances = [0]", |tally: &Tally| tally.share(tally.served) < 0.9)]
#[case::death("kind = \"die\"\nzone = \"a\"", |tally: &Tally| tally.share(tally.served) < 0.99)]
fn each_fault_degrades_a_random_policy(#[case] fault: &str, #[case] degraded: fn(&Tally) -> bool) {
    let plan = plan(&format!("[[fault]]\n{fault}\nat = \"2s\"\nfor = \"3s\"\n"));
    let run = run(&plan, "random", 5);
    let tally = tally(&plan, &run);
    assert!(degraded(&tally) && tally.unanswered == 0, "{tally:?}");
    let violations: Vec<_> = run
        .violations
        .iter()
        .filter(|b| b.rule != crate::ledger::Rule::ColdNotOverloaded)
        .collect();
    assert!(violations.is_empty(), "{violations:?}");
}

// Several faults at once must not make the balancer break a rule.
#[rstest]
fn passroad_keeps_the_rules_under_many_faults_at_once(#[values(1, 2, 3, 4)] seed: u64) {
    let faults = [
        "kind = \"reset\"\nshare = 0.2\nat = \"1s\"\nfor = \"5s\"",
        "kind = \"stall\"\nat = \"2s\"\nfor = \"1s\"\nendpoints = [0]",
        "kind = \"silence\"\nat = \"2s\"\nfor = \"2s\"\nzone = \"b\"\ninstances = [0, 1]",
        "kind = \"deploy\"\nat = \"1s\"\nfor = \"400ms\"\nevery = \"1s\"",
        "kind = \"discovery-late\"\nat = \"0s\"\nfor = \"6s\"\nby = \"300ms\"",
    ];
    let faults: String = faults.iter().map(|f| format!("[[fault]]\n{f}\n")).collect();
    let plan = plan(&faults);
    let run = run(&plan, "passroad", seed);
    assert!(run.violations.is_empty(), "{:?}", run.violations);
    assert!(tally(&plan, &run).served > 0);
}

// Discovery that answers late or not at all, and a list that can't be parsed.
#[rstest]
#[case::late("kind = \"discovery-late\"\nby = \"800ms\"", Some(800))]
#[case::down("kind = \"discovery-down\"", None)]
#[case::malformed("kind = \"discovery-malformed\"", None)]
fn discovery_faults_delay_list_updates(#[case] fault: &str, #[case] late: Option<u64>) {
    let drain = "[[fault]]\nkind = \"drain\"\nat = \"2s\"\nfor = \"9s\"\nendpoints = [4]\n";
    let plan = plan(&format!(
        "{drain}[[fault]]\n{fault}\nat = \"0s\"\nfor = \"5s\"\n"
    ));
    let recording = simulate(&plan, 3, "random").expect("a recording");
    let listed_away_at = recording
        .ledger
        .first_listed_away(4)
        .expect("listed away in the end");
    match late {
        Some(ms) => assert!(
            (2000 + ms..2200 + ms).contains(&(listed_away_at.as_millis() as u64)),
            "{listed_away_at:?}"
        ),
        None => assert!(
            listed_away_at >= Duration::from_secs(5),
            "{listed_away_at:?}"
        ),
    }
}
