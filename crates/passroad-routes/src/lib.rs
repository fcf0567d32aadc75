//! Routes: which pool serves a command, which endpoints are in play for it, how much spills to further zones, and how
//! a zone comes back. [`RoutedBalancer`] puts a router before the decision module behind the same entry; score, draw, limits,
//! retries and passes stay the module's.

mod router;
mod spill;
mod text;
mod zone;

pub use router::{Router, RoutingDecision};
pub use text::{PoolConfig, RouteConfig, RoutesConfig, ZoneSelector, parse_routes};
pub use zone::ZoneHealth;

use passroad_choice::shadow::{ShadowCounts, ShadowedBalancer};
use passroad_choice::{
    Action, BalancerConfig, CommandIndex, EndpointIndex, Event, LearnedState, ListUpdateKind,
};
use std::time::Duration;

/// What a relay's end says of its command.
struct Out {
    verb: usize,
    relays: Vec<EndpointIndex>,
}

/// The decision module, with routes before it where there are any.
pub struct RoutedBalancer {
    balancer: ShadowedBalancer,
    router: Option<Router>,
    goals: Vec<Duration>,        // by verb, as the module numbers them
    verbs: Vec<(String, usize)>, // their names and places in the orders, likewise
    return_after: Option<Duration>,
    out: Vec<Option<Out>>,
}

impl RoutedBalancer {
    /// With `watch`, a second module with those orders is asked beside the one that decides.
    pub fn new(
        orders: BalancerConfig,
        watch: Option<BalancerConfig>,
        routes: Option<RoutesConfig>,
    ) -> Self {
        RoutedBalancer {
            router: routes.map(|routes| Router::new(routes, &orders)),
            goals: orders.classes.iter().map(|v| v.deadline_target).collect(),
            verbs: orders
                .classes
                .iter()
                .enumerate()
                .map(|(at, v)| (v.name.clone(), at))
                .collect(),
            return_after: orders.max_retry_after,
            out: Vec::new(),
            balancer: ShadowedBalancer::new(orders, watch),
        }
    }

    /// Other orders, and routes that were read against them; true if these can take the place of those in force.
    pub fn can_reconfigure(&self, orders: &BalancerConfig, routes: Option<&RoutesConfig>) -> bool {
        match (&self.router, routes) {
            (None, None) => true,
            (Some(router), Some(routes)) => router.can_reconfigure(orders, routes),
            _ => false,
        }
    }

    /// Takes other orders; what is to be done about it, and the verb of each as commands are to name it.
    pub fn reconfigure(
        &mut self,
        now: Duration,
        orders: BalancerConfig,
        routes: Option<RoutesConfig>,
    ) -> (Vec<Action>, Vec<usize>) {
        if let (Some(router), Some(routes)) = (&mut self.router, routes) {
            router.reconfigure(&orders, routes);
        }
        self.return_after = orders.max_retry_after;
        let told: Vec<_> = orders
            .classes
            .iter()
            .map(|v| (v.name.clone(), v.deadline_target))
            .collect();
        let mut actions = self
            .balancer
            .decide(now, Event::Reconfigured(Box::new(orders)));
        let at = actions
            .iter()
            .position(|action| matches!(action, Action::ClassIndicesAssigned { .. }));
        let Some(Action::ClassIndicesAssigned { classes: verbs }) = at.map(|at| actions.remove(at))
        else {
            return (actions, Vec::new());
        };
        // A verb that has gone is routed as the first one, for what is open of it.
        for (name, place) in &mut self.verbs {
            *place = told
                .iter()
                .position(|(told, _)| told == name)
                .unwrap_or_default();
        }
        for (place, slot) in verbs.iter().enumerate() {
            let len = self.goals.len().max(slot + 1);
            self.goals.resize(len, Duration::ZERO);
            self.verbs.resize(len, (String::new(), 0));
            (self.goals[*slot], self.verbs[*slot]) =
                (told[place].1, (told[place].0.clone(), place));
        }
        (actions, verbs)
    }

    /// What the module has learnt; `name` tells what an endpoint is called outside.
    pub fn endpoint_load(&self, at: EndpointIndex) -> (Option<f64>, bool) {
        self.balancer.endpoint_load(at)
    }

    pub fn learned_state(&self, name: impl Fn(EndpointIndex) -> Option<String>) -> LearnedState {
        self.balancer.learned_state(name)
    }

    /// What the watched orders would have made of the decisions so far, where there are any.
    pub fn shadow_counts(&self) -> Option<ShadowCounts> {
        self.balancer.counts()
    }

    /// What the slot of an endpoint is called outside; told before a list speaks of it.
    pub fn register_endpoint(&mut self, endpoint: EndpointIndex, id: &str, kind: &str) {
        if let Some(router) = &mut self.router {
            router.register_endpoint(endpoint, id, kind);
        }
    }

    /// Takes one event and returns what is to be done about it, as the module's own entry does.
    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let Some(router) = &mut self.router else {
            return self.balancer.decide(now, event);
        };
        let mut actions = Vec::new();
        let event = match event {
            Event::ListUpdated { kind, entries } => {
                let whole = kind != ListUpdateKind::Delta;
                if kind != ListUpdateKind::Failed {
                    router.apply_list(whole, &entries);
                }
                // The module knows the endpoints before it is told of their weights.
                actions = self
                    .balancer
                    .decide(now, Event::ListUpdated { kind, entries });
                None
            }
            Event::CommandArrived(mut arrival) => {
                let weights = router.update_weights(now);
                steer(&mut self.balancer, now, weights, &mut actions);
                let cmd = arrival.command;
                let place = self.verbs.get(arrival.class).map_or(0, |(_, place)| *place);
                match router.route(now, place, arrival.tenant) {
                    RoutingDecision::Admit { weight_set } => {
                        arrival.weight_set = weight_set;
                        let len = self.out.len().max(cmd + 1);
                        self.out.resize_with(len, || None);
                        self.out[cmd] = Some(Out {
                            verb: arrival.class,
                            relays: Vec::new(),
                        });
                        Some(Event::CommandArrived(arrival))
                    }
                    RoutingDecision::Refuse { retry_after: after } => {
                        // Nothing of it was out, and nothing is held: the module need not hear of it.
                        let not_before = self.return_after.map(|most| most.min(after));
                        actions.push(Action::Refuse {
                            command: cmd,
                            retry_after: not_before,
                        });
                        actions.push(Action::ReleaseCommand { command: cmd });
                        None
                    }
                }
            }
            Event::CordonChanged {
                endpoint,
                cordoned: out,
            } => {
                router.set_cordoned(endpoint, out);
                Some(event)
            }
            Event::RelayFinished {
                command: cmd,
                relay,
                outcome,
                elapsed: spent,
                concluded,
                report,
            } => {
                let held = self.out.get(cmd).and_then(Option::as_ref);
                if let Some((held, endpoint)) = held.and_then(|h| Some((h, *h.relays.get(relay)?)))
                {
                    let late = spent.as_secs_f64() / self.goals[held.verb].as_secs_f64().max(1e-6);
                    router.record_outcome(now, endpoint, outcome, Some(late), report.as_ref());
                }
                Some(Event::RelayFinished {
                    command: cmd,
                    relay,
                    outcome,
                    elapsed: spent,
                    concluded,
                    report,
                })
            }
            Event::ProbeFinished {
                endpoint,
                outcome,
                elapsed: spent,
                report,
            } => {
                router.record_outcome(now, endpoint, outcome, None, report.as_ref());
                Some(Event::ProbeFinished {
                    endpoint,
                    outcome,
                    elapsed: spent,
                    report,
                })
            }
            other => Some(other),
        };
        let weights = router.update_weights(now);
        steer(&mut self.balancer, now, weights, &mut actions);
        if let Some(event) = event {
            actions.extend(self.balancer.decide(now, event));
        }
        for action in &actions {
            match action {
                Action::Relay {
                    command: cmd,
                    endpoint,
                    ..
                } => {
                    let held = self.out.get_mut(*cmd).and_then(Option::as_mut);
                    held.into_iter().for_each(|h| h.relays.push(*endpoint));
                }
                Action::ReleaseCommand { command: cmd } => forget(&mut self.out, *cmd),
                Action::ReleaseEndpoint { endpoint } => router.release_endpoint(*endpoint),
                _ => {}
            }
        }
        actions.extend(router.take_log_lines().into_iter().map(Action::Log));
        actions
    }
}

fn forget(out: &mut [Option<Out>], cmd: CommandIndex) {
    if let Some(held) = out.get_mut(cmd) {
        *held = None;
    }
}

fn steer(
    balancer: &mut ShadowedBalancer,
    now: Duration,
    weights: Vec<(usize, EndpointIndex, f64)>,
    out: &mut Vec<Action>,
) {
    if !weights.is_empty() {
        out.extend(balancer.decide(now, Event::RouteWeightsChanged { weights }));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use passroad_choice::{
        CommandArrival, EndpointState, ListedEndpoint, LoadReport, Outcome, RequestClassConfig,
    };
    use rstest::rstest;

    const ROUTES: &str = "[[pool]]\nname = \"all\"\ntiers = [[\"own\"], [\"b\"], [\"*\"]]\nreturn = { over = \"20s\" }\n\
                          [[route]]\npool = \"all\"\n";

    fn ms(n: u64) -> Duration {
        Duration::from_millis(100_000 + n)
    }

    /// Four endpoints in each of the zones a, b and c, in turn.
    fn listing(endpoint: EndpointIndex, mode: EndpointState) -> ListedEndpoint {
        let started = Duration::ZERO;
        ListedEndpoint {
            endpoint,
            id_hash: 0,
            zone: endpoint / 4,
            cell: 0,
            kind: 0,
            weight: 1.0,
            started_at: started,
            state: mode,
        }
    }

    struct Rig {
        steered: RoutedBalancer,
        next: CommandIndex,
        now: u64,
    }

    /// What became of a command at once: sent to an endpoint, declined, or kept waiting.
    #[derive(Debug, PartialEq)]
    enum Fate {
        Sent(EndpointIndex),
        Declined(Option<Duration>),
        Waits,
    }

    impl Rig {
        fn new(routes: &str) -> Rig {
            let orders = text::tests::orders();
            let routes = parse_routes(routes, &orders).expect("routes");
            let mut rig = Rig {
                steered: RoutedBalancer::new(orders, None, Some(routes)),
                next: 0,
                now: 0,
            };
            rig.list(
                ListUpdateKind::Full,
                (0..12)
                    .map(|e| listing(e, EndpointState::Running))
                    .collect(),
            );
            rig
        }

        fn list(&mut self, kind: ListUpdateKind, entries: Vec<ListedEndpoint>) -> Vec<Action> {
            self.steered
                .decide(ms(self.now), Event::ListUpdated { kind, entries })
        }

        fn all_of(&mut self, zone: usize, mode: EndpointState) -> Vec<Action> {
            self.list(
                ListUpdateKind::Delta,
                (4 * zone..4 * zone + 4).map(|e| listing(e, mode)).collect(),
            )
        }

        /// One command; probes are answered as so busy, what is sent is answered in 50 ms.
        fn ask(&mut self, busy: f64) -> Fate {
            let cmd = self.next;
            self.next += 1;
            self.now += 10;
            let budget = Duration::from_millis(990);
            let arrival = CommandArrival {
                command: cmd,
                class: cmd % 2,
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
                utilization: Some(busy),
                ..LoadReport::default()
            };
            let mut actions = self
                .steered
                .decide(ms(self.now), Event::CommandArrived(arrival));
            let mut n = 0;
            while n < actions.len() {
                if let Action::Probe { endpoint } = actions[n] {
                    let (outcome, spent) = (Outcome::Answered, Duration::from_millis(1));
                    let event = Event::ProbeFinished {
                        endpoint,
                        outcome,
                        elapsed: spent,
                        report: Some(report),
                    };
                    actions.extend(self.steered.decide(ms(self.now), event));
                }
                n += 1;
            }
            for action in &actions {
                match action {
                    Action::Refuse {
                        command: c,
                        retry_after: not_before,
                    } if *c == cmd => {
                        return Fate::Declined(*not_before);
                    }
                    Action::Relay {
                        command: c,
                        endpoint,
                        ..
                    } if *c == cmd => {
                        let (outcome, spent) = (Outcome::Answered, Duration::from_millis(50));
                        let event = Event::RelayFinished {
                            command: cmd,
                            relay: 0,
                            outcome,
                            elapsed: spent,
                            concluded: true,
                            report: Some(report),
                        };
                        self.steered.decide(ms(self.now + 5), event);
                        return Fate::Sent(*endpoint);
                    }
                    _ => {}
                }
            }
            Fate::Waits
        }

        /// How many of so many commands went to each zone, and how many were declined.
        fn spread(&mut self, count: usize, busy: f64) -> ([usize; 3], usize) {
            let (mut zones, mut declined) = ([0; 3], 0);
            for _ in 0..count {
                match self.ask(busy) {
                    Fate::Sent(endpoint) => zones[endpoint / 4] += 1,
                    Fate::Declined(_) => declined += 1,
                    Fate::Waits => {}
                }
            }
            (zones, declined)
        }
    }

    fn lines(actions: &[Action]) -> Vec<&str> {
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
    fn while_home_is_whole_nothing_leaves_it() {
        let mut rig = Rig::new(ROUTES);
        assert_eq!(rig.spread(200, 0.5), ([200, 0, 0], 0));
    }

    #[rstest]
    #[case::drains(EndpointState::Draining)]
    #[case::gone(EndpointState::Removed)]
    fn a_dark_zones_traffic_goes_to_the_next_tier_at_once(#[case] mode: EndpointState) {
        let mut rig = Rig::new(ROUTES);
        rig.spread(200, 0.3);
        let said = rig.all_of(0, mode);
        assert!(
            lines(&said).contains(&"pool all: zone a is dark: the list has none up"),
            "{said:?}"
        );
        rig.spread(200, 0.3);
        let (zones, declined) = rig.spread(200, 0.3);
        assert!(
            zones[0] == 0 && zones[1] > 195 && zones[2] == 0 && declined <= 5,
            "{zones:?} {declined}"
        );
        // The next tier goes as well: the one behind it.
        rig.all_of(1, mode);
        rig.spread(100, 0.3);
        assert!(rig.spread(100, 0.3).0[2] > 95);
    }

    #[rstest]
    fn where_the_next_tier_is_full_what_may_not_spill_is_declined_with_a_time() {
        let mut rig = Rig::new(ROUTES);
        rig.spread(200, 0.97);
        rig.all_of(0, EndpointState::Removed);
        rig.spread(200, 0.97);
        let (zones, declined) = rig.spread(400, 0.97);
        // A trickle, no more, and no command is kept waiting.
        assert!(
            zones[1] < 30 && zones[0] + zones[2] == 0 && declined + zones[1] == 400,
            "{zones:?} {declined}"
        );
        let times: Vec<_> = (0..20).map(|_| rig.ask(0.97)).collect();
        let told = |f: &Fate| {
            matches!(f, Fate::Declined(Some(after)) if !after.is_zero())
                || matches!(f, Fate::Sent(_))
        };
        assert!(times.iter().all(told), "{times:?}");
    }

    #[rstest]
    fn a_returning_zone_gets_its_share_little_by_little() {
        let mut rig = Rig::new(ROUTES);
        rig.spread(200, 0.3);
        rig.all_of(0, EndpointState::Removed);
        rig.spread(300, 0.3);
        // Warm ones: what ramps here is the zone.
        rig.all_of(0, EndpointState::Running);
        let shares: Vec<usize> = (0..6).map(|_| rig.spread(500, 0.3).0[0]).collect();
        // Five seconds each, over twenty and a quarter.
        assert!(
            shares[0] < 100 && shares.windows(2).all(|s| s[1] + 25 >= s[0]),
            "{shares:?}"
        );
        assert!(
            shares[2] > 80 && shares[3] > 200 && shares[5] > 480,
            "{shares:?}"
        );
        // It goes again in the middle of the next return: all is away at once.
        rig.all_of(0, EndpointState::Removed);
        rig.spread(100, 0.3);
        rig.all_of(0, EndpointState::Running);
        rig.spread(500, 0.3);
        rig.all_of(0, EndpointState::Removed);
        assert_eq!(rig.spread(100, 0.3).0[0], 0);
    }

    #[rstest]
    fn a_thinned_zone_keeps_what_it_can_carry() {
        let mut rig = Rig::new(ROUTES);
        rig.spread(200, 0.3);
        rig.list(
            ListUpdateKind::Delta,
            (0..2).map(|e| listing(e, EndpointState::Removed)).collect(),
        );
        rig.spread(100, 0.3);
        let (zones, _) = rig.spread(1000, 0.3);
        // Half of it, with headroom for 1.4 times that.
        assert!(
            (650..750).contains(&zones[0]) && zones[0] + zones[1] == 1000,
            "{zones:?}"
        );
    }

    // One of two home zones goes: the other makes up for it as far as its headroom goes.
    #[rstest]
    fn zones_of_one_tier_make_up_for_each_other() {
        let mut rig = Rig::new(&ROUTES.replace("[\"own\"], [\"b\"]", "[\"own\", \"b\"]"));
        rig.spread(200, 0.3);
        rig.all_of(0, EndpointState::Removed);
        rig.spread(200, 0.3);
        let (zones, _) = rig.spread(1000, 0.3);
        assert!(
            zones[0] == 0 && (650..750).contains(&zones[1]) && zones[1] + zones[2] == 1000,
            "{zones:?}"
        );
    }

    // Two pools in the same zones: that the one's receivers are full says nothing of the other's.
    #[rstest]
    fn a_pool_spills_by_its_own_endpoints_only() {
        let pool = |n: &str| {
            format!("[[pool]]\nname = \"{n}\"\nlabels = [\"{n}\"]\ntiers = [[\"own\"], [\"b\"]]\n")
        };
        let routes = "[[route]]\nverbs = [\"look\"]\npool = \"x\"\n[[route]]\npool = \"y\"\n";
        let orders = text::tests::orders();
        let read =
            parse_routes(&format!("{}{}{routes}", pool("x"), pool("y")), &orders).expect("routes");
        let mut rig = Rig {
            steered: RoutedBalancer::new(orders, None, Some(read)),
            next: 0,
            now: 0,
        };
        (0..12).for_each(|e| {
            rig.steered
                .register_endpoint(e, if e % 2 == 0 { "x" } else { "y" }, "")
        });
        rig.list(
            ListUpdateKind::Full,
            (0..12)
                .map(|e| listing(e, EndpointState::Running))
                .collect(),
        );
        rig.spread(200, 0.3);
        rig.all_of(0, EndpointState::Removed);
        let (mut x, mut y) = (0, 0);
        for n in 0..600 {
            // The first pool's receivers are idle, the second's are full.
            let fate = rig.ask(if rig.next.is_multiple_of(2) { 0.2 } else { 1.0 });
            match fate {
                Fate::Sent(e) if n >= 300 && e % 2 == 0 => x += 1,
                Fate::Sent(_) if n >= 300 => y += 1,
                _ => {}
            }
        }
        assert!(x > 140 && y < 30, "{x} {y}");
    }

    // No list says so: the connections do.
    #[rstest]
    fn a_zone_that_cant_be_reached_is_dark_from_here() {
        let mut rig = Rig::new(ROUTES);
        rig.spread(200, 0.3);
        let mut said = Vec::new();
        for endpoint in (0..4).chain(0..4) {
            rig.now += 10;
            let (outcome, spent) = (Outcome::TimedOut, Duration::from_millis(50));
            said.extend(rig.steered.decide(
                ms(rig.now),
                Event::ProbeFinished {
                    endpoint,
                    outcome,
                    elapsed: spent,
                    report: None,
                },
            ));
        }
        let line = "pool all: zone a is dark from here: the list has 4 up, none can be reached";
        assert!(lines(&said).contains(&line), "{said:?}");
        rig.spread(100, 0.3);
        // A trial now and then finds it back, without a word of the list.
        let (zones, _) = rig.spread(1000, 0.3);
        assert!(zones[0] > 0 && zones[1] > 500, "{zones:?}");
    }

    // Rule 2 through a steered module: what may have run at home is not sent away.
    #[rstest]
    fn what_may_have_run_in_a_zone_that_dies_is_terminated() {
        let mut rig = Rig::new(ROUTES);
        rig.spread(50, 0.3);
        rig.now += 10;
        let (cmd, budget) = (rig.next + 1 - rig.next % 2, Duration::from_millis(990));
        let arrival = CommandArrival {
            command: cmd,
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
        let mut actions = rig
            .steered
            .decide(ms(rig.now), Event::CommandArrived(arrival));
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
            let (outcome, spent) = (Outcome::Answered, Duration::from_millis(1));
            let report = Some(LoadReport {
                outstanding: Some(0.0),
                ..LoadReport::default()
            });
            actions.extend(rig.steered.decide(
                ms(rig.now),
                Event::ProbeFinished {
                    endpoint,
                    outcome,
                    elapsed: spent,
                    report,
                },
            ));
        }
        assert!(
            actions
                .iter()
                .any(|a| matches!(a, Action::Relay { command: c, .. } if *c == cmd)),
            "{actions:?}"
        );
        rig.now += 20;
        rig.all_of(0, EndpointState::Removed);
        let (outcome, spent) = (Outcome::ConnectionLost, Duration::from_millis(20));
        let event = Event::RelayFinished {
            command: cmd,
            relay: 0,
            outcome,
            elapsed: spent,
            concluded: false,
            report: None,
        };
        let actions = rig.steered.decide(ms(rig.now), event);
        assert!(
            actions.contains(&Action::Fail { command: cmd }),
            "{actions:?}"
        );
        assert!(
            !actions.iter().any(|a| matches!(a, Action::Relay { .. })),
            "{actions:?}"
        );
    }

    #[rstest]
    fn a_pool_holds_endpoints_by_label_and_kind() {
        let routes = "[[pool]]\nname = \"e\"\nlabels = [\"e-\"]\nkinds = [\"big\"]\ntiers = [[\"own\"]]\n[[route]]\npool = \"e\"\n";
        let orders = text::tests::orders();
        let mut rig = Rig {
            steered: RoutedBalancer::new(
                orders.clone(),
                None,
                Some(parse_routes(routes, &orders).expect("routes")),
            ),
            next: 0,
            now: 0,
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
            rig.steered.register_endpoint(endpoint, id, kind);
        }
        rig.list(
            ListUpdateKind::Full,
            (0..4).map(|e| listing(e, EndpointState::Running)).collect(),
        );
        let fates: Vec<_> = (0..100).map(|_| rig.ask(0.3)).collect();
        assert!(
            fates.contains(&Fate::Sent(0)) && fates.contains(&Fate::Sent(3)),
            "{fates:?}"
        );
        assert!(
            !fates
                .iter()
                .any(|f| [Fate::Sent(1), Fate::Sent(2)].contains(f)),
            "{fates:?}"
        );
    }

    // Each verb has a pool; names go by the orders, whatever number the module gives a verb.
    #[rstest]
    fn under_other_orders_each_verb_goes_where_its_route_says() {
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
        let before = text::tests::orders();
        let mut steered = RoutedBalancer::new(
            before.clone(),
            None,
            Some(parse_routes(&routes("look"), &before).unwrap()),
        );
        (0..2).for_each(|at| steered.register_endpoint(at, ["left-1", "right-1"][at], ""));
        let entries = (0..2)
            .map(|at| ListedEndpoint {
                zone: 0,
                ..listing(at, EndpointState::Running)
            })
            .collect();
        steered.decide(
            ms(0),
            Event::ListUpdated {
                kind: ListUpdateKind::Full,
                entries,
            },
        );
        // The other way round, with a verb more, and the first one changed.
        let mut after = before.clone();
        after.classes.reverse();
        after.classes[1].deadline_target *= 2;
        after.classes.push(RequestClassConfig {
            name: "seek".into(),
            ..before.classes[0].clone()
        });
        let other = parse_routes(&routes("book"), &after).unwrap();
        assert!(steered.can_reconfigure(&after, Some(&other)));
        let (_, numbers) = steered.reconfigure(ms(1), after.clone(), Some(other));
        assert_eq!(numbers, [1, 2, 3]);
        let mut to = |cmd: usize, verb: usize| {
            let (budget, work) = (Duration::from_millis(990), None);
            let (company, key, again, write, play, uploads) = (None, None, false, false, 0, false);
            let a = CommandArrival {
                command: cmd,
                class: verb,
                tenant: company,
                key,
                budget,
                work,
                is_retry: again,
                is_write: write,
                weight_set: play,
                body_pending: uploads,
            };
            let at = 1000 * (1 + cmd as u64);
            let mut out = steered.decide(ms(at), Event::CommandArrived(a));
            out.extend(steered.decide(ms(at + 40), Event::TimerFired { token: 1 }));
            let to = |a: &Action| {
                if let Action::Relay { endpoint, .. } = a {
                    Some(*endpoint)
                } else {
                    None
                }
            };
            let (to, spent) = (out.iter().find_map(to), Duration::from_millis(9));
            let (outcome, concluded, report) = (Outcome::Answered, true, None);
            steered.decide(
                ms(at + 50),
                Event::RelayFinished {
                    command: cmd,
                    relay: 0,
                    outcome,
                    elapsed: spent,
                    concluded,
                    report,
                },
            );
            to
        };
        assert_eq!(
            numbers
                .iter()
                .enumerate()
                .map(|(n, verb)| to(n, *verb))
                .collect::<Vec<_>>(),
            [Some(0), Some(1), Some(1)]
        );
        // By the orders before, a moment late.
        assert_eq!(to(3, 0), Some(1));
        let more = parse_routes(ROUTES, &after).unwrap();
        assert!(
            !steered.can_reconfigure(&after, Some(&more)) && !steered.can_reconfigure(&after, None)
        );
    }
}
