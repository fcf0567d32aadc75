use super::*;
use crate::config::parse_routes;
use crate::config::tests::test_config;
use passroad_choice::{
    CommandArrival, EndpointState, ListedEndpoint, LoadReport, Outcome, RequestClassConfig,
};
use rstest::rstest;

const ROUTES: &str = "[[pool]]\nname = \"all\"\ntiers = [[\"own\"], [\"b\"], [\"*\"]]\nreturn = { over = \"20s\" }\n\
                      [[route]]\npool = \"all\"\n";

fn ms(n: u64) -> Duration {
    Duration::from_millis(100_000 + n)
}

/// Indices 0 to 3 are in zone a, 4 to 7 in b, 8 to 11 in c.
fn listed_endpoint(endpoint: EndpointIndex, state: EndpointState) -> ListedEndpoint {
    ListedEndpoint {
        endpoint,
        id_hash: 0,
        zone: endpoint / 4,
        cell: 0,
        kind: 0,
        weight: 1.0,
        started_at: Duration::ZERO,
        state,
    }
}

struct Fixture {
    balancer: RoutedBalancer,
    next_command: CommandIndex,
    now_ms: u64,
}

/// The immediate result of a command.
#[derive(Debug, PartialEq)]
enum Dispatch {
    Relayed(EndpointIndex),
    Refused(Option<Duration>),
    Queued,
}

impl Fixture {
    fn new(routes: &str) -> Fixture {
        let config = test_config();
        let routes = parse_routes(routes, &config).expect("routes");
        let mut fixture = Fixture {
            balancer: RoutedBalancer::new(config, None, Some(routes)),
            next_command: 0,
            now_ms: 0,
        };
        fixture.update_list(
            ListUpdateKind::Full,
            (0..12)
                .map(|e| listed_endpoint(e, EndpointState::Running))
                .collect(),
        );
        fixture
    }

    fn update_list(&mut self, kind: ListUpdateKind, entries: Vec<ListedEndpoint>) -> Vec<Action> {
        self.balancer
            .decide(ms(self.now_ms), Event::ListUpdated { kind, entries })
    }

    fn set_zone(&mut self, zone: usize, state: EndpointState) -> Vec<Action> {
        self.update_list(
            ListUpdateKind::Delta,
            (4 * zone..4 * zone + 4)
                .map(|e| listed_endpoint(e, state))
                .collect(),
        )
    }

    /// Sends one command. Endpoints report the given utilization, and a relayed command is answered after 50 ms.
    fn send_command(&mut self, utilization: f64) -> Dispatch {
        let command = self.next_command;
        self.next_command += 1;
        self.now_ms += 10;
        let budget = Duration::from_millis(990);
        let arrival = CommandArrival {
            command,
            class: command % 2,
            tenant: None,
            key: None,
            budget,
            work: None,
            is_retry: false,
            is_write: false,
            weight_set: 0,
            body_pending: false,
        };
        let report = LoadReport {
            outstanding: Some(0.0),
            utilization: Some(utilization),
            ..LoadReport::default()
        };
        let mut actions = self
            .balancer
            .decide(ms(self.now_ms), Event::CommandArrived(arrival));
        let mut n = 0;
        while n < actions.len() {
            if let Action::Probe { endpoint } = actions[n] {
                let (outcome, elapsed) = (Outcome::Answered, Duration::from_millis(1));
                let event = Event::ProbeFinished {
                    endpoint,
                    outcome,
                    elapsed,
                    report: Some(report),
                };
                actions.extend(self.balancer.decide(ms(self.now_ms), event));
            }
            n += 1;
        }
        for action in &actions {
            match action {
                Action::Refuse {
                    command: index,
                    retry_after,
                } if *index == command => {
                    return Dispatch::Refused(*retry_after);
                }
                Action::Relay {
                    command: index,
                    endpoint,
                    ..
                } if *index == command => {
                    let (outcome, elapsed) = (Outcome::Answered, Duration::from_millis(50));
                    let event = Event::RelayFinished {
                        command,
                        relay: 0,
                        outcome,
                        elapsed,
                        concluded: true,
                        report: Some(report),
                    };
                    self.balancer.decide(ms(self.now_ms + 5), event);
                    return Dispatch::Relayed(*endpoint);
                }
                _ => {}
            }
        }
        Dispatch::Queued
    }

    /// Sends commands and counts how many were relayed to each zone, and how many were refused.
    fn send_commands(&mut self, count: usize, utilization: f64) -> ([usize; 3], usize) {
        let (mut zones, mut refused) = ([0; 3], 0);
        for _ in 0..count {
            match self.send_command(utilization) {
                Dispatch::Relayed(endpoint) => zones[endpoint / 4] += 1,
                Dispatch::Refused(_) => refused += 1,
                Dispatch::Queued => {}
            }
        }
        (zones, refused)
    }
}

fn log_lines(actions: &[Action]) -> Vec<&str> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Log(line) = a {
                Some(line.as_str())
            } else {
                None
            }
        })
        .collect()
}

#[rstest]
fn healthy_home_keeps_all_traffic() {
    let mut fixture = Fixture::new(ROUTES);
    assert_eq!(fixture.send_commands(200, 0.5), ([200, 0, 0], 0));
}

#[rstest]
#[case::draining(EndpointState::Draining)]
#[case::removed(EndpointState::Removed)]
fn traffic_of_a_down_zone_moves_to_the_next_tier(#[case] state: EndpointState) {
    let mut fixture = Fixture::new(ROUTES);
    fixture.send_commands(200, 0.3);
    let actions = fixture.set_zone(0, state);
    assert!(
        log_lines(&actions)
            .contains(&"pool all: zone a is down: no running, uncordoned endpoint listed"),
        "{actions:?}"
    );
    fixture.send_commands(200, 0.3);
    let (zones, refused) = fixture.send_commands(200, 0.3);
    assert!(
        zones[0] == 0 && zones[1] > 195 && zones[2] == 0 && refused <= 5,
        "{zones:?} {refused}"
    );
    // If the next tier is lost as well, traffic moves to the one after it.
    fixture.set_zone(1, state);
    fixture.send_commands(100, 0.3);
    assert!(fixture.send_commands(100, 0.3).0[2] > 95);
}

#[rstest]
fn excess_commands_are_refused_with_retry_after_when_the_next_tier_is_full() {
    let mut fixture = Fixture::new(ROUTES);
    fixture.send_commands(200, 0.97);
    fixture.set_zone(0, EndpointState::Removed);
    fixture.send_commands(200, 0.97);
    let (zones, refused) = fixture.send_commands(400, 0.97);
    // Only the minimum share spills, and no command is queued.
    assert!(
        zones[1] < 30 && zones[0] + zones[2] == 0 && refused + zones[1] == 400,
        "{zones:?} {refused}"
    );
    let results: Vec<_> = (0..20).map(|_| fixture.send_command(0.97)).collect();
    let answered = |result: &Dispatch| {
        matches!(result, Dispatch::Refused(Some(after)) if !after.is_zero())
            || matches!(result, Dispatch::Relayed(_))
    };
    assert!(results.iter().all(answered), "{results:?}");
}

#[rstest]
fn traffic_to_a_recovering_zone_ramps_up() {
    let mut fixture = Fixture::new(ROUTES);
    fixture.send_commands(200, 0.3);
    fixture.set_zone(0, EndpointState::Removed);
    fixture.send_commands(300, 0.3);
    // The endpoints are warm; only the zone ramps up.
    fixture.set_zone(0, EndpointState::Running);
    let shares: Vec<usize> = (0..6)
        .map(|_| fixture.send_commands(500, 0.3).0[0])
        .collect();
    // Each sample covers 5 s of a 20 s recovery, which jitter may lengthen by a quarter.
    assert!(
        shares[0] < 100 && shares.windows(2).all(|s| s[1] + 25 >= s[0]),
        "{shares:?}"
    );
    assert!(
        shares[2] > 80 && shares[3] > 200 && shares[5] > 480,
        "{shares:?}"
    );
    // A loss during the next recovery moves all traffic away at once.
    fixture.set_zone(0, EndpointState::Removed);
    fixture.send_commands(100, 0.3);
    fixture.set_zone(0, EndpointState::Running);
    fixture.send_commands(500, 0.3);
    fixture.set_zone(0, EndpointState::Removed);
    assert_eq!(fixture.send_commands(100, 0.3).0[0], 0);
}

#[rstest]
fn degraded_zone_keeps_what_it_can_carry() {
    let mut fixture = Fixture::new(ROUTES);
    fixture.send_commands(200, 0.3);
    fixture.update_list(
        ListUpdateKind::Delta,
        (0..2)
            .map(|e| listed_endpoint(e, EndpointState::Removed))
            .collect(),
    );
    fixture.send_commands(100, 0.3);
    let (zones, _) = fixture.send_commands(1000, 0.3);
    // Half of the endpoints are left, with a headroom of 1.4.
    assert!(
        (650..750).contains(&zones[0]) && zones[0] + zones[1] == 1000,
        "{zones:?}"
    );
}

// One of two home zones is lost. The other takes over its traffic up to the headroom.
#[rstest]
fn zones_of_one_tier_take_over_for_each_other() {
    let mut fixture = Fixture::new(&ROUTES.replace("[\"own\"], [\"b\"]", "[\"own\", \"b\"]"));
    fixture.send_commands(200, 0.3);
    fixture.set_zone(0, EndpointState::Removed);
    fixture.send_commands(200, 0.3);
    let (zones, _) = fixture.send_commands(1000, 0.3);
    assert!(
        zones[0] == 0 && (650..750).contains(&zones[1]) && zones[1] + zones[2] == 1000,
        "{zones:?}"
    );
}

// Two pools share the zones. Overloaded receivers of one must not throttle the other.
#[rstest]
fn spill_over_depends_on_endpoints_of_the_same_pool_only() {
    let pool = |n: &str| {
        format!("[[pool]]\nname = \"{n}\"\nlabels = [\"{n}\"]\ntiers = [[\"own\"], [\"b\"]]\n")
    };
    let routes = "[[route]]\nverbs = [\"look\"]\npool = \"x\"\n[[route]]\npool = \"y\"\n";
    let config = test_config();
    let routes =
        parse_routes(&format!("{}{}{routes}", pool("x"), pool("y")), &config).expect("routes");
    let mut fixture = Fixture {
        balancer: RoutedBalancer::new(config, None, Some(routes)),
        next_command: 0,
        now_ms: 0,
    };
    (0..12).for_each(|e| {
        fixture
            .balancer
            .register_endpoint(e, if e % 2 == 0 { "x" } else { "y" }, "")
    });
    fixture.update_list(
        ListUpdateKind::Full,
        (0..12)
            .map(|e| listed_endpoint(e, EndpointState::Running))
            .collect(),
    );
    fixture.send_commands(200, 0.3);
    fixture.set_zone(0, EndpointState::Removed);
    let (mut x, mut y) = (0, 0);
    for n in 0..600 {
        // Receivers of the first pool are idle, those of the second are full.
        let result = fixture.send_command(if fixture.next_command.is_multiple_of(2) {
            0.2
        } else {
            1.0
        });
        match result {
            Dispatch::Relayed(e) if n >= 300 && e % 2 == 0 => x += 1,
            Dispatch::Relayed(_) if n >= 300 => y += 1,
            _ => {}
        }
    }
    assert!(x > 140 && y < 30, "{x} {y}");
}

// The list still has the endpoints running; only probes fail.
#[rstest]
fn unreachable_zone_is_down_for_this_sidecar() {
    let mut fixture = Fixture::new(ROUTES);
    fixture.send_commands(200, 0.3);
    let mut actions = Vec::new();
    for endpoint in (0..4).chain(0..4) {
        fixture.now_ms += 10;
        let (outcome, elapsed) = (Outcome::TimedOut, Duration::from_millis(50));
        actions.extend(fixture.balancer.decide(
            ms(fixture.now_ms),
            Event::ProbeFinished {
                endpoint,
                outcome,
                elapsed,
                report: None,
            },
        ));
    }
    let line =
        "pool all: zone a is down for this sidecar: 4 running endpoints listed, none reachable";
    assert!(log_lines(&actions).contains(&line), "{actions:?}");
    fixture.send_commands(100, 0.3);
    // Trials find out that the zone is back, without a list update.
    let (zones, _) = fixture.send_commands(1000, 0.3);
    assert!(zones[0] > 0 && zones[1] > 500, "{zones:?}");
}

// A non-idempotent command that may have run in a lost zone must not be relayed to another zone.
#[rstest]
fn command_that_may_have_run_in_a_lost_zone_fails() {
    let mut fixture = Fixture::new(ROUTES);
    fixture.send_commands(50, 0.3);
    fixture.now_ms += 10;
    let (command, budget) = (
        fixture.next_command + 1 - fixture.next_command % 2,
        Duration::from_millis(990),
    );
    let arrival = CommandArrival {
        command,
        class: 1,
        tenant: None,
        key: None,
        budget,
        work: None,
        is_retry: false,
        is_write: false,
        weight_set: 0,
        body_pending: false,
    };
    let mut actions = fixture
        .balancer
        .decide(ms(fixture.now_ms), Event::CommandArrived(arrival));
    let probed: Vec<_> = actions
        .iter()
        .filter_map(|a| {
            if let Action::Probe { endpoint } = a {
                Some(*endpoint)
            } else {
                None
            }
        })
        .collect();
    for endpoint in probed {
        let (outcome, elapsed) = (Outcome::Answered, Duration::from_millis(1));
        let report = Some(LoadReport {
            outstanding: Some(0.0),
            ..LoadReport::default()
        });
        actions.extend(fixture.balancer.decide(
            ms(fixture.now_ms),
            Event::ProbeFinished {
                endpoint,
                outcome,
                elapsed,
                report,
            },
        ));
    }
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Relay { command: index, .. } if *index == command)),
        "{actions:?}"
    );
    fixture.now_ms += 20;
    fixture.set_zone(0, EndpointState::Removed);
    let (outcome, elapsed) = (Outcome::ConnectionLost, Duration::from_millis(20));
    let event = Event::RelayFinished {
        command,
        relay: 0,
        outcome,
        elapsed,
        concluded: false,
        report: None,
    };
    let actions = fixture.balancer.decide(ms(fixture.now_ms), event);
    assert!(actions.contains(&Action::Fail { command }), "{actions:?}");
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Relay { .. })),
        "{actions:?}"
    );
}

#[rstest]
fn pool_selects_endpoints_by_label_and_kind() {
    let routes = "[[pool]]\nname = \"e\"\nlabels = [\"e-\"]\nkinds = [\"big\"]\ntiers = [[\"own\"]]\n[[route]]\npool = \"e\"\n";
    let config = test_config();
    let mut fixture = Fixture {
        balancer: RoutedBalancer::new(
            config.clone(),
            None,
            Some(parse_routes(routes, &config).expect("routes")),
        ),
        next_command: 0,
        now_ms: 0,
    };
    for (endpoint, (id, kind)) in [
        ("e-1", "big"),
        ("f-1", "big"),
        ("e-2", "small"),
        ("e-3", "big"),
    ]
    .iter()
    .enumerate()
    {
        fixture.balancer.register_endpoint(endpoint, id, kind);
    }
    fixture.update_list(
        ListUpdateKind::Full,
        (0..4)
            .map(|e| listed_endpoint(e, EndpointState::Running))
            .collect(),
    );
    let results: Vec<_> = (0..100).map(|_| fixture.send_command(0.3)).collect();
    assert!(
        results.contains(&Dispatch::Relayed(0)) && results.contains(&Dispatch::Relayed(3)),
        "{results:?}"
    );
    assert!(
        !results
            .iter()
            .any(|f| [Dispatch::Relayed(1), Dispatch::Relayed(2)].contains(f)),
        "{results:?}"
    );
}

// Each class has a pool. Routes follow the class names, whatever indices the decision module assigns.
#[rstest]
fn routes_follow_class_names_after_reconfiguration() {
    let pool = |name: &str| {
        format!("[[pool]]\nname = \"{name}\"\nlabels = [\"{name}\"]\ntiers = [[\"*\"]]\n")
    };
    let routes = |first: &str| {
        format!(
            "{}{}[[route]]\npool = \"left\"\nverbs = [\"{first}\"]\n[[route]]\npool = \"right\"\n",
            pool("left"),
            pool("right")
        )
    };
    let before = test_config();
    let mut balancer = RoutedBalancer::new(
        before.clone(),
        None,
        Some(parse_routes(&routes("look"), &before).unwrap()),
    );
    (0..2).for_each(|n| balancer.register_endpoint(n, ["left-1", "right-1"][n], ""));
    let entries = (0..2)
        .map(|n| ListedEndpoint {
            zone: 0,
            ..listed_endpoint(n, EndpointState::Running)
        })
        .collect();
    balancer.decide(
        ms(0),
        Event::ListUpdated {
            kind: ListUpdateKind::Full,
            entries,
        },
    );
    // The classes are reversed, the first one changes, and one is added.
    let mut after = before.clone();
    after.classes.reverse();
    after.classes[1].deadline_target *= 2;
    after.classes.push(RequestClassConfig {
        name: "seek".into(),
        ..before.classes[0].clone()
    });
    let new_routes = parse_routes(&routes("book"), &after).unwrap();
    assert!(balancer.can_reconfigure(&after, Some(&new_routes)));
    let (_, indices) = balancer.reconfigure(ms(1), after.clone(), Some(new_routes));
    assert_eq!(indices, [1, 2, 3]);
    let mut relayed_to = |command: usize, class: usize| {
        let (budget, work) = (Duration::from_millis(990), None);
        let (tenant, key, is_retry, is_write, weight_set, body_pending) =
            (None, None, false, false, 0, false);
        let arrival = CommandArrival {
            command,
            class,
            tenant,
            key,
            budget,
            work,
            is_retry,
            is_write,
            weight_set,
            body_pending,
        };
        let start = 1000 * (1 + command as u64);
        let mut actions = balancer.decide(ms(start), Event::CommandArrived(arrival));
        actions.extend(balancer.decide(ms(start + 40), Event::TimerFired { token: 1 }));
        let target = |action: &Action| {
            if let Action::Relay { endpoint, .. } = action {
                Some(*endpoint)
            } else {
                None
            }
        };
        let (target, elapsed) = (actions.iter().find_map(target), Duration::from_millis(9));
        let (outcome, concluded, report) = (Outcome::Answered, true, None);
        balancer.decide(
            ms(start + 50),
            Event::RelayFinished {
                command,
                relay: 0,
                outcome,
                elapsed,
                concluded,
                report,
            },
        );
        target
    };
    assert_eq!(
        indices
            .iter()
            .enumerate()
            .map(|(n, class)| relayed_to(n, *class))
            .collect::<Vec<_>>(),
        [Some(0), Some(1), Some(1)]
    );
    // A command with a class index from the previous configuration.
    assert_eq!(relayed_to(3, 0), Some(1));
    let other_pools = parse_routes(ROUTES, &after).unwrap();
    assert!(
        !balancer.can_reconfigure(&after, Some(&other_pools))
            && !balancer.can_reconfigure(&after, None)
    );
}
