//! Watch: beside the module that decides, a second one with other orders hears the same events. What it would have
//! done is counted by kind and dropped; after each event it is brought back to what was done.

use crate::choice::Balancer;
use crate::{Action, BalancerConfig, CommandIndex, EndpointIndex, Event, LearnedState};
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// Decisions of the module that leads, by what the watched orders would have made of them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ShadowCounts {
    pub same: u64,
    /// Sent to another endpoint, by weight or by a draw that fell otherwise.
    pub elsewhere: u64,
    /// Sent, where the other would have declined or terminated.
    pub refused: u64,
    /// Sent, where the other would have waited.
    pub queued: u64,
    /// Second copies that the other would not have sent.
    pub hedges: u64,
    /// Declined or terminated, where the other would have sent or waited.
    pub admitted: u64,
    /// Still waiting, where the other would have sent or turned away.
    pub earlier: u64,
    /// Probes that the other would not have sent.
    pub probes: u64,
}

impl fmt::Display for ShadowCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ShadowCounts {
            same,
            elsewhere,
            refused: turned_away,
            queued: waited,
            hedges: copies,
            admitted: taken,
            earlier: sooner,
            probes,
        } = self;
        write!(
            f,
            "same {same}, elsewhere {elsewhere}, turned away {turned_away}, waited {waited}, no copy {copies}, \
             taken {taken}, sooner {sooner}, no probe {probes}"
        )
    }
}

/// The decision module, with a watched one beside it where there are orders for one.
pub struct ShadowedBalancer {
    lead: Balancer,
    beside: Option<Box<(Balancer, ShadowCounts)>>,
}

impl ShadowedBalancer {
    pub fn new(orders: BalancerConfig, watch: Option<BalancerConfig>) -> Self {
        let beside = watch.map(|orders| Box::new((Balancer::new(orders), ShadowCounts::default())));
        ShadowedBalancer {
            lead: Balancer::new(orders),
            beside,
        }
    }

    pub fn endpoint_load(&self, at: EndpointIndex) -> (Option<f64>, bool) {
        self.lead.endpoint_load(at)
    }

    /// What the module that decides has learnt.
    pub fn learned_state(&self, name: impl Fn(EndpointIndex) -> Option<String>) -> LearnedState {
        self.lead.learned_state(name)
    }

    pub fn counts(&self) -> Option<ShadowCounts> {
        self.beside.as_deref().map(|(_, counts)| *counts)
    }

    /// As the module's own entry: what comes back is the lead's word alone.
    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let Some((other, counts)) = self.beside.as_deref_mut() else {
            return self.lead.decide(now, event);
        };
        other.dice = self.lead.dice; // the same draws as far as they are as many
        // Under other orders the two would no longer speak of the same verbs.
        if matches!(event, Event::Reconfigured(_)) {
            self.beside = None;
            return self.lead.decide(now, event);
        }
        let (lead, heard) = (&mut self.lead, event.clone());
        let done = lead.decide(now, event);
        let beside = catch_unwind(AssertUnwindSafe(|| {
            let would = other.decide(now, heard);
            counts.add(lead, &done, &would);
            other.follow(now, lead, &done, &would);
        }));
        // Guards against a fault in what is only watched that takes a command with it: the watch ends.
        if beside.is_err() {
            self.beside = None;
        }
        done
    }
}

/// What becomes of a command in some actions: an endpoint, or turned away.
fn fate(actions: &[Action], of: CommandIndex) -> Option<Option<EndpointIndex>> {
    actions.iter().find_map(|action| match action {
        Action::Relay {
            command: cmd,
            endpoint,
            ..
        } if *cmd == of => Some(Some(*endpoint)),
        Action::Refuse { command: cmd, .. } | Action::Fail { command: cmd } if *cmd == of => {
            Some(None)
        }
        _ => None,
    })
}

impl ShadowCounts {
    fn add(&mut self, lead: &Balancer, done: &[Action], would: &[Action]) {
        let ended = |cmd: &CommandIndex| {
            let cmd = *cmd;
            matches!(fate(done, cmd), Some(None)) || lead.held(cmd).is_none_or(|c| c.over)
        };
        let mut seen = Vec::new();
        for action in done.iter().chain(would) {
            let (Action::Relay { command: cmd, .. }
            | Action::Refuse { command: cmd, .. }
            | Action::Fail { command: cmd }) = action
            else {
                continue;
            };
            if seen.contains(cmd) {
                continue;
            }
            seen.push(*cmd);
            let copy = lead
                .held(*cmd)
                .is_some_and(|c| c.relays.iter().filter(|r| r.outcome.is_none()).count() > 1);
            let kind = match (fate(done, *cmd), fate(would, *cmd)) {
                (Some(a), Some(b)) if a == b => &mut self.same,
                (Some(Some(_)), Some(Some(_))) => &mut self.elsewhere,
                (Some(Some(_)), None) if copy => &mut self.hedges,
                (Some(Some(_)), Some(None)) => &mut self.refused,
                (Some(Some(_)), None) => &mut self.queued,
                (Some(None), _) => &mut self.admitted,
                // Of what has ended the other may still speak.
                (None, _) if ended(cmd) => continue,
                (None, _) => &mut self.earlier,
            };
            *kind += 1;
        }
        let asked = |actions: &[Action]| {
            actions
                .iter()
                .filter(|a| matches!(a, Action::Probe { .. }))
                .count()
        };
        self.probes += asked(done).saturating_sub(asked(would)) as u64;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::*;
    use rstest::rstest;

    fn orders(probes: bool, second_copies: bool, warm_keys: bool) -> BalancerConfig {
        let ms = Duration::from_millis;
        BalancerConfig {
            seed: 7,
            own_zone: 0,
            zones: vec!["z".into()],
            kinds: vec![],
            classes: vec![RequestClassConfig {
                name: "look".into(),
                effect: Effect::Safe,
                deduplication_scope: DeduplicationScope::All,
                deduplication_window: Duration::ZERO,
                deadline_target: ms(400),
                time_limit: ms(1000),
                target_per_work: 0.0,
                utility: 1.0,
                late_utility: 0.0,
                stream: false,
                allowed_zones: None,
                allowed_kinds: None,
            }],
            tenants: vec![],
            surplus_utility: 1.0,
            objective_total: 1.0,
            objective_worst_class: 0.0,
            tick: ms(1),
            max_relays: 3,
            max_retry_after: None,
            probes_allowed: probes,
            cancellation_allowed: true,
            hedging_allowed: second_copies,
            list_on_request: false,
            report_mode: ReportMode::Piggyback,
            live_weights: false,
            warm_keys,
            probe_price: 0.0,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            idle_close: Duration::from_secs(60),
            streams_per_connection: 100,
            list_poll_interval: Duration::from_secs(10),
            drain_grace: Duration::from_millis(500),
            cold_capacity: 0.2,
            warm_up_time: Duration::from_secs(20),
            overload_multiple: 3.0,
            overload_window: Duration::from_secs(2),
        }
    }

    /// A list of ten, then commands of a few keys that are answered 20 ms later; what the lead did.
    fn run(mut watched: ShadowedBalancer) -> (Vec<Action>, Option<ShadowCounts>) {
        let at = |n: u64| Duration::from_millis(100_000 + 10 * n);
        let listing = |endpoint| {
            let (mark, started) = (
                interner::stable_hash(&format!("e{endpoint}")),
                Duration::ZERO,
            );
            ListedEndpoint {
                endpoint,
                id_hash: mark,
                zone: 0,
                cell: 0,
                kind: 0,
                weight: 1.0,
                started_at: started,
                state: EndpointState::Running,
            }
        };
        let entries = (0..10).map(listing).collect();
        let mut all = watched.decide(
            at(0),
            Event::ListUpdated {
                kind: ListUpdateKind::Full,
                entries,
            },
        );
        for n in 0..200u64 {
            let cmd = n as usize;
            let arrival = CommandArrival {
                command: cmd,
                class: 0,
                tenant: None,
                key: Some(n % 7),
                budget: Duration::from_secs(1),
                work: None,
                is_retry: false,
                is_write: false,
                weight_set: 0,
                body_pending: false,
            };
            let mut actions = watched.decide(at(2 * n + 1), Event::CommandArrived(arrival));
            let asked: Vec<_> = actions
                .iter()
                .filter_map(|a| match a {
                    Action::Probe { endpoint } => Some(*endpoint),
                    _ => None,
                })
                .collect();
            let (spent, outcome) = (Duration::from_millis(20), Outcome::Answered);
            let report = Some(LoadReport {
                outstanding: Some(0.0),
                ..LoadReport::default()
            });
            for endpoint in asked {
                actions.extend(watched.decide(
                    at(2 * n + 1),
                    Event::ProbeFinished {
                        endpoint,
                        outcome,
                        elapsed: spent,
                        report,
                    },
                ));
            }
            if fate(&actions, cmd).is_some() {
                let ended = Event::RelayFinished {
                    command: cmd,
                    relay: 0,
                    outcome,
                    elapsed: spent,
                    concluded: true,
                    report,
                };
                actions.extend(watched.decide(at(2 * n + 3), ended));
            }
            all.extend(actions);
        }
        (all, watched.counts())
    }

    #[rstest]
    #[case::the_same(orders(true, true, false))]
    #[case::another_shape(orders(false, false, true))]
    fn what_is_watched_changes_nothing_that_is_done(#[case] watch: BalancerConfig) {
        let (alone, none) = run(ShadowedBalancer::new(orders(true, true, false), None));
        let (beside, counts) = run(ShadowedBalancer::new(
            orders(true, true, false),
            Some(watch),
        ));
        assert_eq!((alone, none, counts.is_some()), (beside, None, true));
    }

    #[rstest]
    fn the_same_orders_never_decide_otherwise() {
        let (_, counts) = run(ShadowedBalancer::new(
            orders(true, true, false),
            Some(orders(true, true, false)),
        ));
        let counts = counts.unwrap();
        assert_eq!(
            counts,
            ShadowCounts {
                same: 200,
                ..ShadowCounts::default()
            }
        );
    }

    #[rstest]
    fn another_shape_is_counted_by_kind() {
        let (actions, counts) = run(ShadowedBalancer::new(
            orders(true, true, false),
            Some(orders(false, false, true)),
        ));
        let counts = counts.unwrap();
        let probes = actions
            .iter()
            .filter(|a| matches!(a, Action::Probe { .. }))
            .count() as u64;
        assert_eq!(counts.probes, probes);
        assert!(probes > 0 && counts.elsewhere > 50, "{counts}");
    }
}
