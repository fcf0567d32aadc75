use super::*;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn facts() -> RuleContext {
    let verb = |effect, group| ClassRules {
        effect,
        deduplication_scope: group,
        deduplication_window: 1000 * MS,
        mean_work: 0.01,
    };
    let verbs = vec![
        verb(Effect::Safe, DeduplicationScope::All),
        verb(Effect::NonIdempotent, DeduplicationScope::All),
        verb(Effect::Keyed, DeduplicationScope::Zone),
    ];
    let make = EndpointSpec {
        cores: 2,
        warm_up_time: 8000 * MS,
        ..crate::model::tests::spec()
    };
    let endpoints = vec![(make.clone(), 0, 0), (make.clone(), 0, 0), (make, 1, 0)];
    RuleContext {
        classes: verbs,
        mean_work: 0.01,
        endpoints,
        drain_grace: 500 * MS,
        slack: Duration::ZERO,
    }
}

fn asked(cmd: CommandId, verb: usize) -> Entry {
    Entry::CommandArrived {
        command: cmd,
        chain: cmd,
        class: verb,
        instance: 0,
        time_limit: 1000 * MS,
    }
}

fn sent(relay: RelayId, endpoint: usize) -> Entry {
    Entry::RelaySent {
        relay,
        command: 0,
        endpoint,
    }
}

fn answered(answer: Answer) -> Entry {
    Entry::Answered { command: 0, answer }
}

const ENDED: Entry = Entry::RelayEnded {
    relay: 0,
    never_ran: false,
};
const PROVEN: Entry = Entry::RelayEnded {
    relay: 0,
    never_ran: true,
};
const RAN: Entry = Entry::JobStarted { relay: 0 };
const AGAIN: Entry = Entry::JobStarted { relay: 1 };
const OUT: Entry = Entry::Cordoned {
    instance: 0,
    endpoint: 0,
    cordoned: true,
};
const BACK: Entry = Entry::Cordoned {
    instance: 0,
    endpoint: 0,
    cordoned: false,
};
const AWAY: Entry = Entry::ListedAway {
    instance: 0,
    endpoint: 0,
};
const UP: Entry = Entry::ListedUp {
    instance: 0,
    endpoint: 0,
};
const LEFT: Entry = Entry::ClientLeft { command: 0 };
const KILLED: Entry = Entry::SidecarKilled { instance: 0 };

fn judged(history: Vec<(u32, Entry)>) -> Vec<Rule> {
    let mut ledger = Ledger::default();
    history
        .into_iter()
        .for_each(|(ms, entry)| ledger.record(ms * MS, entry));
    ledger
        .history()
        .check_rules(&facts())
        .into_iter()
        .map(|b| b.rule)
        .collect()
}

use Answer::{Answered, Failed, Refused};

// Each history breaks one rule once.
#[rstest]
#[case::no_answer(vec![(0, asked(0, 0))], Rule::OneAnswer)]
#[case::late(vec![(0, asked(0, 0)), (1001, answered(Answered))], Rule::OneAnswer)]
#[case::an_answer_to_another(
    vec![(0, asked(0, 0)), (5, Entry::AnswerMixedUp { command: 0 }), (5, answered(Answered))],
    Rule::OneAnswer
)]
#[case::a_crash(vec![(0, asked(0, 0)), (5, answered(Answered)), (7, Entry::SidecarCrashed { instance: 0 })], Rule::OneAnswer)]
#[case::two_answers(vec![(0, asked(0, 0)), (5, answered(Answered)), (9, answered(Failed))], Rule::OneAnswer)]
#[case::sent_after_its_answer(vec![(0, asked(0, 0)), (5, answered(Refused)), (9, sent(0, 0))], Rule::OneAnswer)]
#[case::sent_after_its_client_left(vec![(0, asked(0, 0)), (5, LEFT), (9, sent(0, 0))], Rule::OneAnswer)]
#[case::effectful_sent_twice(
    vec![(0, asked(0, 1)), (1, sent(0, 0)), (2, ENDED), (3, sent(1, 1)), (9, answered(Answered))],
    Rule::NoDuplicateEffect
)]
#[case::effectful_sent_while_out(
    vec![(0, asked(0, 1)), (1, sent(0, 0)), (3, sent(1, 1)), (5, PROVEN), (9, answered(Answered))],
    Rule::NoDuplicateEffect
)]
#[case::declined_and_ran(
    vec![(0, asked(0, 1)), (1, sent(0, 0)), (2, RAN), (9, answered(Refused))],
    Rule::NoDuplicateEffect
)]
#[case::declined_and_runs_later(
    vec![(0, asked(0, 1)), (1, sent(0, 0)), (9, answered(Refused)), (20, RAN)],
    Rule::NoDuplicateEffect
)]
#[case::receipted_in_another_zone(
    vec![(0, asked(0, 2)), (1, sent(0, 0)), (2, ENDED), (3, sent(1, 2)), (9, answered(Answered))],
    Rule::NoDuplicateEffect
)]
#[case::drained(
    vec![(0, AWAY), (400, asked(0, 0)), (501, sent(0, 0)), (510, answered(Answered))],
    Rule::NothingToDrained
)]
#[case::out_by_hand(
    vec![(0, OUT), (400, asked(0, 0)), (401, sent(0, 0)), (410, answered(Answered))],
    Rule::NothingToDrained
)]
#[case::held_back(vec![(0, asked(0, 0)), (900, answered(Refused))], Rule::AnsweredAtOnce)]
#[case::held_back_after_a_relay(
    vec![(0, asked(0, 1)), (1, sent(0, 0)), (100, ENDED), (900, answered(Failed))],
    Rule::AnsweredAtOnce
)]
fn a_planted_offender_is_caught_once(#[case] history: Vec<(u32, Entry)>, #[case] rule: Rule) {
    assert_eq!(judged(history), [rule]);
}

#[rstest]
#[case::two_effects(
    vec![(0, asked(0, 1)), (1, sent(0, 0)), (2, RAN), (3, sent(1, 1)), (4, AGAIN), (9, answered(Answered))]
)]
#[case::receipted_past_its_window(
    vec![(0, Entry::CommandArrived { command: 0, chain: 0, class: 2, instance: 0, time_limit: 9000 * MS }), (1, sent(0, 0)),
         (2, RAN), (1002, sent(1, 1)), (1003, AGAIN), (1010, answered(Answered))]
)]
fn an_effect_that_took_place_twice_is_caught(#[case] history: Vec<(u32, Entry)>) {
    let rules = judged(history);
    assert!(
        !rules.is_empty() && rules.iter().all(|r| *r == Rule::NoDuplicateEffect),
        "{rules:?}"
    );
}

#[rstest]
#[case::answered(vec![(0, asked(0, 1)), (1, sent(0, 0)), (2, RAN), (9, answered(Answered))])]
#[case::answered_at_its_limit(vec![(0, asked(0, 1)), (1, sent(0, 0)), (2, RAN), (1000, answered(Answered))])]
#[case::left(vec![(0, asked(0, 1)), (9, LEFT)])]
#[case::killed(vec![(0, asked(0, 1)), (9, KILLED)])]
#[case::called_back(vec![(0, OUT), (1, BACK), (2, asked(0, 0)), (3, sent(0, 0)), (9, answered(Answered))])]
#[case::after_a_proof(
    vec![(0, asked(0, 1)), (1, sent(0, 0)), (2, PROVEN), (3, sent(1, 1)), (4, AGAIN), (9, answered(Answered))]
)]
// Killed before its last byte came, it never counted as sent: another relay is no repeat.
#[case::killed_mid_write(
    vec![(0, asked(0, 1)), (3, sent(0, 1)), (4, RAN), (9, answered(Answered))]
)]
#[case::declined_after_a_proof(vec![(0, asked(0, 1)), (1, sent(0, 0)), (2, PROVEN), (9, answered(Refused))])]
#[case::pure_twice(
    vec![(0, asked(0, 0)), (1, sent(0, 0)), (2, RAN), (3, sent(1, 2)), (4, AGAIN), (9, answered(Refused))]
)]
#[case::receipted_in_its_zone(
    vec![(0, asked(0, 2)), (1, sent(0, 0)), (2, RAN), (3, sent(1, 1)), (4, AGAIN), (9, answered(Answered))]
)]
#[case::terminated_and_ran(vec![(0, asked(0, 1)), (1, sent(0, 0)), (2, RAN), (9, answered(Failed))])]
#[case::within_the_grace(
    vec![(0, AWAY), (400, asked(0, 0)), (500, sent(0, 0)), (510, answered(Answered))]
)]
#[case::up_again(
    vec![(0, AWAY), (300, UP), (800, asked(0, 0)), (801, sent(0, 0)), (810, answered(Answered))]
)]
#[case::given_up_soon(vec![(0, asked(0, 0)), (400, answered(Refused))])]
#[case::given_up_when_its_relay_ended(
    vec![(0, asked(0, 1)), (1, sent(0, 0)), (800, ENDED), (801, answered(Failed))]
)]
fn a_clean_history_breaks_nothing(#[case] history: Vec<(u32, Entry)>) {
    assert_eq!(judged(history), []);
}

// It starts at a quarter of two cores and tips at twice that: 1 s of a core a second, and more as it warms.
#[rstest]
#[case::gently(11, true)]
#[case::too_much(6, false)]
fn a_push_on_a_cold_endpoint_is_measured_over_time(#[case] gap: u32, #[case] clean: bool) {
    let mut ledger = Ledger::default();
    ledger.record(Duration::ZERO, Entry::EndpointStarted { endpoint: 0 });
    for n in 0..500u32 {
        let cmd = n as usize;
        ledger.record(n * gap * MS, asked(cmd, 0));
        ledger.record(
            n * gap * MS,
            Entry::RelaySent {
                relay: cmd,
                command: cmd,
                endpoint: 0,
            },
        );
        ledger.record(
            n * gap * MS + MS,
            Entry::Answered {
                command: cmd,
                answer: Answered,
            },
        );
    }
    let rules: Vec<_> = ledger
        .history()
        .check_rules(&facts())
        .into_iter()
        .map(|b| b.rule)
        .collect();
    assert_eq!(
        rules,
        if clean {
            vec![]
        } else {
            vec![Rule::ColdNotOverloaded]
        }
    );
    // Of one that was warm all the time there is nothing to say.
    assert_eq!(ledger.history().cold_overload(1, &facts()).0, 0.0);
}
