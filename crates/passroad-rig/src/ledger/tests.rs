use super::*;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn context() -> RuleContext {
    let class = |effect, group| ClassRules {
        effect,
        deduplication_scope: group,
        deduplication_window: 1000 * MS,
        mean_work: 0.01,
    };
    let classes = vec![
        class(Effect::Safe, DeduplicationScope::All),
        class(Effect::NonIdempotent, DeduplicationScope::All),
        class(Effect::Keyed, DeduplicationScope::Zone),
    ];
    let make = EndpointSpec {
        cores: 2,
        warm_up_time: 8000 * MS,
        ..crate::model::tests::spec()
    };
    let endpoints = vec![(make.clone(), 0, 0), (make.clone(), 0, 0), (make, 1, 0)];
    RuleContext {
        classes,
        mean_work: 0.01,
        endpoints,
        drain_grace: 500 * MS,
        slack: Duration::ZERO,
    }
}

fn arrived(command: CommandId, class: usize) -> Entry {
    Entry::CommandArrived {
        command,
        chain: command,
        class,
        instance: 0,
        time_limit: 1000 * MS,
    }
}

fn relay_sent(relay: RelayId, endpoint: usize) -> Entry {
    Entry::RelaySent {
        relay,
        command: 0,
        endpoint,
    }
}

fn answered(answer: Answer) -> Entry {
    Entry::Answered { command: 0, answer }
}

const RELAY_ENDED: Entry = Entry::RelayEnded {
    relay: 0,
    never_ran: false,
};
const RELAY_NEVER_RAN: Entry = Entry::RelayEnded {
    relay: 0,
    never_ran: true,
};
const RELAY_RAN: Entry = Entry::JobStarted { relay: 0 };
const SECOND_RELAY_RAN: Entry = Entry::JobStarted { relay: 1 };
const CORDONED: Entry = Entry::Cordoned {
    instance: 0,
    endpoint: 0,
    cordoned: true,
};
const UNCORDONED: Entry = Entry::Cordoned {
    instance: 0,
    endpoint: 0,
    cordoned: false,
};
const LISTED_AWAY: Entry = Entry::ListedAway {
    instance: 0,
    endpoint: 0,
};
const LISTED_UP: Entry = Entry::ListedUp {
    instance: 0,
    endpoint: 0,
};
const CLIENT_LEFT: Entry = Entry::ClientLeft { command: 0 };
const SIDECAR_KILLED: Entry = Entry::SidecarKilled { instance: 0 };

fn violated_rules(history: Vec<(u32, Entry)>) -> Vec<Rule> {
    let mut ledger = Ledger::default();
    history
        .into_iter()
        .for_each(|(ms, entry)| ledger.record(ms * MS, entry));
    ledger
        .history()
        .check_rules(&context())
        .into_iter()
        .map(|b| b.rule)
        .collect()
}

use Answer::{Answered, Failed, Refused};

// Each history violates one rule once.
#[rstest]
#[case::no_answer(vec![(0, arrived(0, 0))], Rule::OneAnswer)]
#[case::late(vec![(0, arrived(0, 0)), (1001, answered(Answered))], Rule::OneAnswer)]
#[case::an_answer_to_another(
    vec![(0, arrived(0, 0)), (5, Entry::AnswerMixedUp { command: 0 }), (5, answered(Answered))],
    Rule::OneAnswer
)]
#[case::a_crash(vec![(0, arrived(0, 0)), (5, answered(Answered)), (7, Entry::SidecarCrashed { instance: 0 })], Rule::OneAnswer)]
#[case::two_answers(vec![(0, arrived(0, 0)), (5, answered(Answered)), (9, answered(Failed))], Rule::OneAnswer)]
#[case::sent_after_its_answer(vec![(0, arrived(0, 0)), (5, answered(Refused)), (9, relay_sent(0, 0))], Rule::OneAnswer)]
#[case::sent_after_its_client_left(vec![(0, arrived(0, 0)), (5, CLIENT_LEFT), (9, relay_sent(0, 0))], Rule::OneAnswer)]
#[case::non_idempotent_sent_twice(
    vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (2, RELAY_ENDED), (3, relay_sent(1, 1)), (9, answered(Answered))],
    Rule::NoDuplicateEffect
)]
#[case::non_idempotent_sent_while_out(
    vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (3, relay_sent(1, 1)), (5, RELAY_NEVER_RAN), (9, answered(Answered))],
    Rule::NoDuplicateEffect
)]
#[case::refused_and_ran(
    vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (2, RELAY_RAN), (9, answered(Refused))],
    Rule::NoDuplicateEffect
)]
#[case::refused_and_runs_later(
    vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (9, answered(Refused)), (20, RELAY_RAN)],
    Rule::NoDuplicateEffect
)]
#[case::keyed_in_another_zone(
    vec![(0, arrived(0, 2)), (1, relay_sent(0, 0)), (2, RELAY_ENDED), (3, relay_sent(1, 2)), (9, answered(Answered))],
    Rule::NoDuplicateEffect
)]
#[case::drained(
    vec![(0, LISTED_AWAY), (400, arrived(0, 0)), (501, relay_sent(0, 0)), (510, answered(Answered))],
    Rule::NothingToDrained
)]
#[case::cordoned(
    vec![(0, CORDONED), (400, arrived(0, 0)), (401, relay_sent(0, 0)), (410, answered(Answered))],
    Rule::NothingToDrained
)]
#[case::held_back(vec![(0, arrived(0, 0)), (900, answered(Refused))], Rule::AnsweredAtOnce)]
#[case::held_back_after_a_relay(
    vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (100, RELAY_ENDED), (900, answered(Failed))],
    Rule::AnsweredAtOnce
)]
fn a_violation_is_reported_once(#[case] history: Vec<(u32, Entry)>, #[case] rule: Rule) {
    assert_eq!(violated_rules(history), [rule]);
}

#[rstest]
#[case::two_effects(
    vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (2, RELAY_RAN), (3, relay_sent(1, 1)), (4, SECOND_RELAY_RAN), (9, answered(Answered))]
)]
#[case::keyed_past_its_window(
    vec![(0, Entry::CommandArrived { command: 0, chain: 0, class: 2, instance: 0, time_limit: 9000 * MS }), (1, relay_sent(0, 0)),
         (2, RELAY_RAN), (1002, relay_sent(1, 1)), (1003, SECOND_RELAY_RAN), (1010, answered(Answered))]
)]
fn an_effect_that_took_place_twice_is_reported(#[case] history: Vec<(u32, Entry)>) {
    let rules = violated_rules(history);
    assert!(
        !rules.is_empty() && rules.iter().all(|r| *r == Rule::NoDuplicateEffect),
        "{rules:?}"
    );
}

#[rstest]
#[case::answered(vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (2, RELAY_RAN), (9, answered(Answered))])]
#[case::answered_at_its_limit(vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (2, RELAY_RAN), (1000, answered(Answered))])]
#[case::client_left(vec![(0, arrived(0, 1)), (9, CLIENT_LEFT)])]
#[case::killed(vec![(0, arrived(0, 1)), (9, SIDECAR_KILLED)])]
#[case::uncordoned(vec![(0, CORDONED), (1, UNCORDONED), (2, arrived(0, 0)), (3, relay_sent(0, 0)), (9, answered(Answered))])]
#[case::sent_again_after_it_never_ran(
    vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (2, RELAY_NEVER_RAN), (3, relay_sent(1, 1)), (4, SECOND_RELAY_RAN), (9, answered(Answered))]
)]
// A relay whose sidecar was killed before its last byte arrived doesn't count as sent: another one is no duplicate.
#[case::killed_mid_write(
    vec![(0, arrived(0, 1)), (3, relay_sent(0, 1)), (4, RELAY_RAN), (9, answered(Answered))]
)]
#[case::refused_and_never_ran(vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (2, RELAY_NEVER_RAN), (9, answered(Refused))])]
#[case::safe_twice(
    vec![(0, arrived(0, 0)), (1, relay_sent(0, 0)), (2, RELAY_RAN), (3, relay_sent(1, 2)), (4, SECOND_RELAY_RAN), (9, answered(Refused))]
)]
#[case::keyed_in_its_zone(
    vec![(0, arrived(0, 2)), (1, relay_sent(0, 0)), (2, RELAY_RAN), (3, relay_sent(1, 1)), (4, SECOND_RELAY_RAN), (9, answered(Answered))]
)]
#[case::failed_and_ran(vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (2, RELAY_RAN), (9, answered(Failed))])]
#[case::within_the_grace(
    vec![(0, LISTED_AWAY), (400, arrived(0, 0)), (500, relay_sent(0, 0)), (510, answered(Answered))]
)]
#[case::up_again(
    vec![(0, LISTED_AWAY), (300, LISTED_UP), (800, arrived(0, 0)), (801, relay_sent(0, 0)), (810, answered(Answered))]
)]
#[case::given_up_soon(vec![(0, arrived(0, 0)), (400, answered(Refused))])]
#[case::given_up_when_its_relay_ended(
    vec![(0, arrived(0, 1)), (1, relay_sent(0, 0)), (800, RELAY_ENDED), (801, answered(Failed))]
)]
fn a_correct_history_has_no_violation(#[case] history: Vec<(u32, Entry)>) {
    assert_eq!(violated_rules(history), []);
}

// It starts with a quarter of two cores and is overloaded at twice that: 1 s of work a second, more as it warms up.
#[rstest]
#[case::within_the_bound(11, true)]
#[case::too_much(6, false)]
fn load_on_a_cold_endpoint_is_measured_over_a_window(#[case] gap: u32, #[case] clean: bool) {
    let mut ledger = Ledger::default();
    ledger.record(Duration::ZERO, Entry::EndpointStarted { endpoint: 0 });
    for n in 0..500u32 {
        let command = n as usize;
        ledger.record(n * gap * MS, arrived(command, 0));
        ledger.record(
            n * gap * MS,
            Entry::RelaySent {
                relay: command,
                command,
                endpoint: 0,
            },
        );
        ledger.record(
            n * gap * MS + MS,
            Entry::Answered {
                command,
                answer: Answered,
            },
        );
    }
    let rules: Vec<_> = ledger
        .history()
        .check_rules(&context())
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
    // An endpoint that never started cold has no figure.
    assert_eq!(ledger.history().cold_overload(1, &context()).0, 0.0);
}
