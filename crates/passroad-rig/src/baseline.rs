//! The policies that can decide in a run: passroad's balancer and baselines to compare it with. The baselines are simple
//! on purpose: one relay at a time, another one where the rules allow it, no limits, no probes, no queueing.

use crate::experiment::{ClassPlan, Effect, Plan};
use crate::rng::SeededRng;
use passroad_choice::{
    Action, CommandArrival, CommandIndex, EndpointState, Event, ListUpdateKind, ListedEndpoint,
    Outcome,
};
use passroad_routes::RoutedBalancer;
use std::collections::BTreeMap;
use std::time::Duration;

/// The true state of the endpoints, for policies that may see it.
pub trait FleetView {
    /// Seconds that a command would wait at an endpoint if it were sent now, and seconds until it would be answered; none
    /// if it would not be answered.
    fn estimate_times(
        &self,
        instance: usize,
        endpoint: usize,
        command: CommandIndex,
    ) -> Option<(f64, f64)>;
}

/// What decides at one instance: it receives events and returns actions.
pub trait Policy {
    fn decide(&mut self, now: Duration, event: Event, view: &dyn FleetView) -> Vec<Action>;
}

impl Policy for RoutedBalancer {
    fn decide(&mut self, now: Duration, event: Event, _: &dyn FleetView) -> Vec<Action> {
        RoutedBalancer::decide(self, now, event)
    }
}

/// Creates a policy by its name for one instance. `seed` is the instance's own.
pub fn create_policy(
    name: &str,
    plan: &Plan,
    instance: usize,
    seed: u64,
) -> Result<Box<dyn Policy>, String> {
    let strategy = match name {
        "passroad" | "passroad-routes" => {
            let settings = plan.settings(plan.zone_of(instance));
            let mut config = passroad_orders::config_from_value(seed, &settings)?;
            // As in the sidecar, the balancer counts on connections for as long as the sidecar keeps them.
            config.idle_close = config.idle_close.mul_f64(IDLE_SHARE);
            let routes = match (name, &plan.routes) {
                ("passroad-routes", Some(text)) => Some(
                    passroad_routes::parse_routes(text, &config)
                        .map_err(|error| format!("routes: {error}"))?,
                ),
                ("passroad-routes", None) => {
                    return Err("passroad-routes: the experiment has no routes".into());
                }
                _ => None,
            };
            let mut balancer = RoutedBalancer::new(config, None, routes);
            for (n, endpoint) in plan.endpoints.iter().enumerate() {
                balancer.register_endpoint(n, &format!("e{n}"), &plan.kinds[endpoint.kind]);
            }
            return Ok(Box::new(balancer));
        }
        "random" => Strategy::Random,
        "round-robin" => Strategy::RoundRobin,
        "least-of-two" => Strategy::LeastOfTwo,
        "full-sight" => Strategy::FullSight,
        other => return Err(format!("no policy '{other}'")),
    };
    Ok(Box::new(Baseline {
        strategy,
        instance,
        effects: plan.classes.iter().map(|class| class.effect).collect(),
        max_wait: {
            let best_value = plan
                .classes
                .iter()
                .map(|class| class.utility / class.mean_work)
                .fold(1e-9, f64::max);
            let mean_work = plan
                .classes
                .iter()
                .map(|class| class.mean_work)
                .sum::<f64>()
                / plan.classes.len() as f64;
            let shortest_queue_time = plan.endpoints.iter().map(|endpoint| {
                endpoint.spec.queue_limit as f64 / endpoint.spec.cores as f64 / endpoint.spec.speed
            });
            let shortest_queue_time = shortest_queue_time.fold(f64::INFINITY, f64::min) * mean_work;
            let max_wait = |class: &ClassPlan| match class.utility / class.mean_work / best_value {
                relative_value if relative_value > 0.999 => class.deadline_target.as_secs_f64(),
                relative_value => {
                    shortest_queue_time.min(class.deadline_target.as_secs_f64())
                        * (0.1 + 0.6 * relative_value)
                }
            };
            plan.classes.iter().map(max_wait).collect()
        },
        max_relays: plan.max_relays,
        rng: SeededRng::stream(seed, "baseline", 0),
        is_up: BTreeMap::new(),
        own_outstanding: BTreeMap::new(),
        next_turn: 0,
        commands: BTreeMap::new(),
        subscribed: false,
    }))
}

/// How long the sidecar keeps an idle connection, as a share of the time after which endpoints close it.
pub const IDLE_SHARE: f64 = 0.45;

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Random,
    RoundRobin,
    LeastOfTwo,
    /// Knows the true state of all endpoints and the work of every command: an upper bound.
    FullSight,
}

struct PendingCommand {
    class: usize,
    deadline: Duration,
    relays: Vec<(usize, Option<Outcome>)>,
    finished: bool,
}

struct Baseline {
    strategy: Strategy,
    instance: usize,
    effects: Vec<Effect>,
    max_wait: Vec<f64>, // seconds that a command may wait at an endpoint, by class; for FullSight
    max_relays: usize,
    rng: SeededRng,
    is_up: BTreeMap<usize, bool>, // listed endpoints; false for those that drain or have left
    own_outstanding: BTreeMap<usize, usize>, // open relays of this instance, by endpoint
    next_turn: usize,
    commands: BTreeMap<CommandIndex, PendingCommand>,
    subscribed: bool,
}

impl Baseline {
    fn apply_list_update(
        &mut self,
        kind: ListUpdateKind,
        entries: Vec<ListedEndpoint>,
        actions: &mut Vec<Action>,
    ) {
        match kind {
            ListUpdateKind::Failed => {
                actions.push(Action::SetTimer {
                    after: Duration::from_secs(1),
                    token: 1,
                });
                return;
            }
            ListUpdateKind::Delta => {}
            ListUpdateKind::Full | ListUpdateKind::Cached => self.is_up.clear(),
        }
        for entry in entries {
            self.is_up
                .insert(entry.endpoint, entry.state == EndpointState::Running);
        }
        if !std::mem::replace(&mut self.subscribed, true) {
            actions.push(Action::Subscribe { active: true });
        }
    }

    fn pick_endpoint(&mut self, command: CommandIndex, view: &dyn FleetView) -> Option<usize> {
        let tried: Vec<usize> = self
            .commands
            .get(&command)?
            .relays
            .iter()
            .map(|(endpoint, _)| *endpoint)
            .collect();
        let up = |endpoint: &usize| self.is_up[endpoint];
        let mut candidates: Vec<usize> = self
            .is_up
            .keys()
            .copied()
            .filter(up)
            .filter(|endpoint| !tried.contains(endpoint))
            .collect();
        if candidates.is_empty() {
            candidates = self.is_up.keys().copied().filter(up).collect();
        }
        if candidates.is_empty() {
            return None;
        }
        match self.strategy {
            Strategy::Random => Some(candidates[self.rng.below(candidates.len())]),
            Strategy::RoundRobin => {
                self.next_turn += 1;
                Some(candidates[self.next_turn % candidates.len()])
            }
            Strategy::LeastOfTwo => {
                let pair = [
                    candidates[self.rng.below(candidates.len())],
                    candidates[self.rng.below(candidates.len())],
                ];
                pair.into_iter().min_by_key(|endpoint| {
                    self.own_outstanding
                        .get(endpoint)
                        .copied()
                        .unwrap_or_default()
                })
            }
            Strategy::FullSight => {
                let times = candidates.iter().filter_map(|endpoint| {
                    Some((
                        view.estimate_times(self.instance, *endpoint, command)?,
                        *endpoint,
                    ))
                });
                let fastest = times.min_by(|a, b| a.0.1.total_cmp(&b.0.1));
                // A command that would wait too long is refused; classes of less utility per work may wait for less.
                let max_wait = self.max_wait[self.commands.get(&command)?.class];
                fastest
                    .filter(|((wait, _), _)| *wait < max_wait)
                    .map(|(_, endpoint)| endpoint)
            }
        }
    }

    fn send_relay(
        &mut self,
        now: Duration,
        command: CommandIndex,
        view: &dyn FleetView,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = self.pick_endpoint(command, view);
        let Some(pending) = self.commands.get_mut(&command) else {
            return;
        };
        match endpoint {
            Some(endpoint) if now < pending.deadline => {
                pending.relays.push((endpoint, None));
                *self.own_outstanding.entry(endpoint).or_default() += 1;
                let timeout = pending.deadline - now;
                actions.push(Action::Relay {
                    command,
                    endpoint,
                    timeout,
                    send_by: timeout,
                });
            }
            _ => {
                pending.finished = true;
                let never_ran = pending
                    .relays
                    .iter()
                    .all(|(_, outcome)| outcome.is_some_and(Outcome::never_ran));
                let may_refuse = never_ran || self.effects[pending.class] == Effect::Safe;
                actions.push(match may_refuse {
                    true => Action::Refuse {
                        command,
                        retry_after: None,
                    },
                    false => Action::Fail { command },
                });
            }
        }
        self.release_if_done(command, actions);
    }

    fn release_if_done(&mut self, command: CommandIndex, actions: &mut Vec<Action>) {
        let done = |pending: &PendingCommand| {
            pending.finished && pending.relays.iter().all(|(_, outcome)| outcome.is_some())
        };
        if self.commands.get(&command).is_some_and(done) {
            self.commands.remove(&command);
            actions.push(Action::ReleaseCommand { command });
        }
    }
}

impl Policy for Baseline {
    fn decide(&mut self, now: Duration, event: Event, view: &dyn FleetView) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::ListUpdated { kind, entries } => {
                self.apply_list_update(kind, entries, &mut actions)
            }
            Event::TimerFired { .. } => actions.push(Action::Subscribe { active: true }),
            Event::CommandArrived(CommandArrival {
                command,
                class,
                budget,
                ..
            }) => {
                let pending = PendingCommand {
                    class,
                    deadline: now + budget,
                    relays: Vec::new(),
                    finished: false,
                };
                self.commands.insert(command, pending);
                self.send_relay(now, command, view, &mut actions);
            }
            Event::RelayFinished {
                command,
                relay,
                outcome,
                concluded,
                ..
            } => {
                let Some(pending) = self.commands.get_mut(&command) else {
                    return actions;
                };
                let Some((endpoint, end)) = pending
                    .relays
                    .get_mut(relay)
                    .filter(|(_, outcome)| outcome.is_none())
                else {
                    return actions;
                };
                *end = Some(outcome);
                self.own_outstanding
                    .entry(*endpoint)
                    .and_modify(|n| *n = n.saturating_sub(1));
                pending.finished |= concluded;
                let may_have_run = pending
                    .relays
                    .iter()
                    .any(|(_, outcome)| !outcome.is_some_and(Outcome::never_ran));
                let may_repeat = !pending.finished
                    && (!may_have_run || self.effects[pending.class] == Effect::Safe);
                if may_repeat && pending.relays.len() < self.max_relays {
                    self.send_relay(now, command, view, &mut actions);
                } else if !pending.finished {
                    pending.finished = true;
                    actions.push(if may_repeat {
                        Action::Refuse {
                            command,
                            retry_after: None,
                        }
                    } else {
                        Action::Fail { command }
                    });
                }
                self.release_if_done(command, &mut actions);
            }
            Event::CommandAbandoned { command } => {
                let Some(pending) = self.commands.get_mut(&command) else {
                    return actions;
                };
                pending.finished = true;
                let open_relays = pending
                    .relays
                    .iter()
                    .enumerate()
                    .filter(|(_, (_, outcome))| outcome.is_none());
                actions
                    .extend(open_relays.map(|(relay, _)| Action::CancelRelay { command, relay }));
                self.release_if_done(command, &mut actions);
            }
            _ => {}
        }
        actions
    }
}
