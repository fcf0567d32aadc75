//! Watch: beside the module that decides, a second one with other orders hears the same events. What it would have
//! done is counted by kind and dropped; after each event it is brought back to what was done.

use crate::choice::Balancer;
use crate::{Action, CmdIx, EndpointIx, Event, Memory, StandingOrders};
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// Decisions of the module that leads, by what the watched orders would have made of them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    pub same: u64,
    /// Sent to another endpoint, by weight or by a draw that fell otherwise.
    pub elsewhere: u64,
    /// Sent, where the other would have declined or terminated.
    pub turned_away: u64,
    /// Sent, where the other would have waited.
    pub waited: u64,
    /// Second copies that the other would not have sent.
    pub copies: u64,
    /// Declined or terminated, where the other would have sent or waited.
    pub taken: u64,
    /// Still waiting, where the other would have sent or turned away.
    pub sooner: u64,
    /// Probes that the other would not have sent.
    pub probes: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts {
            same,
            elsewhere,
            turned_away,
            waited,
            copies,
            taken,
            sooner,
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
pub struct Watched {
    lead: Balancer,
    beside: Option<Box<(Balancer, Counts)>>,
}

impl Watched {
    pub fn new(orders: StandingOrders, watch: Option<StandingOrders>) -> Self {
        let beside = watch.map(|orders| Box::new((Balancer::new(orders), Counts::default())));
        Watched {
            lead: Balancer::new(orders),
            beside,
        }
    }

    pub fn seems(&self, at: EndpointIx) -> (Option<f64>, bool) {
        self.lead.seems(at)
    }

    /// What the module that decides has learnt.
    pub fn memory(&self, name: impl Fn(EndpointIx) -> Option<String>) -> Memory {
        self.lead.memory(name)
    }

    pub fn counts(&self) -> Option<Counts> {
        self.beside.as_deref().map(|(_, counts)| *counts)
    }

    /// As the module's own entry: what comes back is the lead's word alone.
    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let Some((other, counts)) = self.beside.as_deref_mut() else {
            return self.lead.decide(now, event);
        };
        other.dice = self.lead.dice; // the same draws as far as they are as many
        // Under other orders the two would no longer speak of the same verbs.
        if matches!(event, Event::Retuned(_)) {
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
fn fate(actions: &[Action], of: CmdIx) -> Option<Option<EndpointIx>> {
    actions.iter().find_map(|action| match action {
        Action::Relay { cmd, endpoint, .. } if *cmd == of => Some(Some(*endpoint)),
        Action::Decline { cmd, .. } | Action::Terminate { cmd } if *cmd == of => Some(None),
        _ => None,
    })
}

impl Counts {
    fn add(&mut self, lead: &Balancer, done: &[Action], would: &[Action]) {
        let ended = |cmd: &CmdIx| {
            let cmd = *cmd;
            matches!(fate(done, cmd), Some(None)) || lead.held(cmd).is_none_or(|c| c.over)
        };
        let mut seen = Vec::new();
        for action in done.iter().chain(would) {
            let (Action::Relay { cmd, .. }
            | Action::Decline { cmd, .. }
            | Action::Terminate { cmd }) = action
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
                (Some(Some(_)), None) if copy => &mut self.copies,
                (Some(Some(_)), Some(None)) => &mut self.turned_away,
                (Some(Some(_)), None) => &mut self.waited,
                (Some(None), _) => &mut self.taken,
                // Of what has ended the other may still speak.
                (None, _) if ended(cmd) => continue,
                (None, _) => &mut self.sooner,
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

    fn orders(probes: bool, second_copies: bool, warm_keys: bool) -> StandingOrders {
        let ms = Duration::from_millis;
        StandingOrders {
            seed: 7,
            zone: 0,
            zones: vec!["z".into()],
            kinds: vec![],
            verbs: vec![VerbOrder {
                name: "look".into(),
                effect: Effect::Pure,
                group: Group::All,
                window: Duration::ZERO,
                goal: ms(400),
                limit: ms(1000),
                goal_stretch: 0.0,
                utility: 1.0,
                late_utility: 0.0,
                stream: false,
                only_zones: None,
                only_kinds: None,
            }],
            companies: vec![],
            surplus_utility: 1.0,
            goal_whole: 1.0,
            goal_worst_verb: 0.0,
            tick: ms(1),
            max_relays: 3,
            max_retry_after: None,
            probes,
            may_cancel: true,
            second_copies,
            list_on_request: false,
            reports: ReportsHow::Piggyback,
            weights_live: false,
            warm_keys,
            probe_price: 0.0,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            idle_close: Duration::from_secs(60),
            streams: 100,
            ask_every: Duration::from_secs(10),
            drain_grace: Duration::from_millis(500),
            cold_from: 0.2,
            warm_within: Duration::from_secs(20),
            tip_multiple: 3.0,
            tip_after: Duration::from_secs(2),
        }
    }

    /// A list of ten, then commands of a few keys that are answered 20 ms later; what the lead did.
    fn run(mut watched: Watched) -> (Vec<Action>, Option<Counts>) {
        let at = |n: u64| Duration::from_millis(100_000 + 10 * n);
        let listing = |endpoint| {
            let (mark, started) = (door::mark(&format!("e{endpoint}")), Duration::ZERO);
            Listing {
                endpoint,
                mark,
                zone: 0,
                cell: 0,
                kind: 0,
                rating: 1.0,
                started,
                mode: Mode::Running,
            }
        };
        let entries = (0..10).map(listing).collect();
        let mut all = watched.decide(
            at(0),
            Event::Listed {
                kind: ListKind::All,
                entries,
            },
        );
        for n in 0..200u64 {
            let cmd = n as usize;
            let arrival = Arrival {
                cmd,
                verb: 0,
                company: None,
                key: Some(n % 7),
                budget: Duration::from_secs(1),
                work: None,
                again: false,
                write: false,
                play: 0,
                uploads: false,
            };
            let mut actions = watched.decide(at(2 * n + 1), Event::Arrived(arrival));
            let asked: Vec<_> = actions
                .iter()
                .filter_map(|a| match a {
                    Action::Probe { endpoint } => Some(*endpoint),
                    _ => None,
                })
                .collect();
            let (spent, outcome) = (Duration::from_millis(20), Outcome::Answered);
            let report = Some(Report {
                outstanding: Some(0.0),
                ..Report::default()
            });
            for endpoint in asked {
                actions.extend(watched.decide(
                    at(2 * n + 1),
                    Event::Checked {
                        endpoint,
                        outcome,
                        spent,
                        report,
                    },
                ));
            }
            if fate(&actions, cmd).is_some() {
                let ended = Event::Finished {
                    cmd,
                    relay: 0,
                    outcome,
                    spent,
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
    fn what_is_watched_changes_nothing_that_is_done(#[case] watch: StandingOrders) {
        let (alone, none) = run(Watched::new(orders(true, true, false), None));
        let (beside, counts) = run(Watched::new(orders(true, true, false), Some(watch)));
        assert_eq!((alone, none, counts.is_some()), (beside, None, true));
    }

    #[rstest]
    fn the_same_orders_never_decide_otherwise() {
        let (_, counts) = run(Watched::new(
            orders(true, true, false),
            Some(orders(true, true, false)),
        ));
        let counts = counts.unwrap();
        assert_eq!(
            counts,
            Counts {
                same: 200,
                ..Counts::default()
            }
        );
    }

    #[rstest]
    fn another_shape_is_counted_by_kind() {
        let (actions, counts) = run(Watched::new(
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
