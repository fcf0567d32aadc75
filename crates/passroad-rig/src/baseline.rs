//! Whoever decides in a day: the module, and what it is held against. The baselines are plain on purpose: one relay
//! at a time, another where the rules allow it, no limits, no probes, no waiting.

use crate::experiment::{ClassPlan, Effect, Plan};
use crate::rng::SeededRng;
use passroad_choice::{
    Action, CommandArrival, CommandIndex, EndpointState, Event, ListUpdateKind, ListedEndpoint,
    Outcome,
};
use passroad_routes::RoutedBalancer;
use std::collections::BTreeMap;
use std::time::Duration;

/// The true state of a day, for whoever is allowed to see it.
pub trait FleetView {
    /// Seconds that a command would wait at an endpoint if it were sent now, and until it would be answered; none if it
    /// would not.
    fn estimate_times(
        &self,
        instance: usize,
        endpoint: usize,
        cmd: CommandIndex,
    ) -> Option<(f64, f64)>;
}

pub trait Policy {
    fn decide(&mut self, now: Duration, event: Event, sight: &dyn FleetView) -> Vec<Action>;
}

impl Policy for RoutedBalancer {
    fn decide(&mut self, now: Duration, event: Event, _: &dyn FleetView) -> Vec<Action> {
        RoutedBalancer::decide(self, now, event)
    }
}

/// A policy by its name, for one instance. `seed` is the instance's own.
pub fn policy(
    name: &str,
    plan: &Plan,
    instance: usize,
    seed: u64,
) -> Result<Box<dyn Policy>, String> {
    let how = match name {
        "passroad" | "passroad-routes" => {
            let settings = plan.settings(plan.zone_of(instance));
            let mut orders = passroad_orders::config_from_value(seed, &settings)?;
            // As the sidecar does it: what it counts on is what it keeps.
            orders.idle_close = orders.idle_close.mul_f64(IDLE_SHARE);
            let routes = match (name, &plan.routes) {
                ("passroad-routes", Some(text)) => Some(
                    passroad_routes::parse_routes(text, &orders)
                        .map_err(|wrong| format!("routes: {wrong}"))?,
                ),
                ("passroad-routes", None) => {
                    return Err("passroad-routes: the experiment has no routes".into());
                }
                _ => None,
            };
            let mut balancer = RoutedBalancer::new(orders, None, routes);
            for (n, endpoint) in plan.endpoints.iter().enumerate() {
                balancer.register_endpoint(n, &format!("e{n}"), &plan.kinds[endpoint.kind]);
            }
            return Ok(Box::new(balancer));
        }
        "random" => How::Random,
        "round-robin" => How::Turns,
        "least-of-two" => How::LeastOfTwo,
        "full-sight" => How::FullSight,
        other => return Err(format!("no policy '{other}'")),
    };
    Ok(Box::new(Plain {
        how,
        instance,
        effects: plan.classes.iter().map(|v| v.effect).collect(),
        patience: {
            let best = plan
                .classes
                .iter()
                .map(|v| v.utility / v.mean_work)
                .fold(1e-9, f64::max);
            let mean =
                plan.classes.iter().map(|v| v.mean_work).sum::<f64>() / plan.classes.len() as f64;
            let room = plan
                .endpoints
                .iter()
                .map(|e| e.spec.queue_limit as f64 / e.spec.cores as f64 / e.spec.speed);
            let room = room.fold(f64::INFINITY, f64::min) * mean;
            let patience = |v: &ClassPlan| match v.utility / v.mean_work / best {
                worth if worth > 0.999 => v.deadline_target.as_secs_f64(),
                worth => room.min(v.deadline_target.as_secs_f64()) * (0.1 + 0.6 * worth),
            };
            plan.classes.iter().map(patience).collect()
        },
        most: plan.max_relays,
        chance: SeededRng::stream(seed, "baseline", 0),
        listed: BTreeMap::new(),
        out: BTreeMap::new(),
        turn: 0,
        commands: BTreeMap::new(),
        asked: false,
    }))
}

/// Of an endpoint's own time, how long the sidecar keeps an idle connection.
pub const IDLE_SHARE: f64 = 0.45;

#[derive(Clone, Copy, PartialEq)]
enum How {
    Random,
    Turns,
    LeastOfTwo,
    /// Sees the true state of all endpoints and what every command costs: the upper mark.
    FullSight,
}

struct Held {
    verb: usize,
    leave: Duration,
    relays: Vec<(usize, Option<Outcome>)>,
    over: bool,
}

struct Plain {
    how: How,
    instance: usize,
    effects: Vec<Effect>,
    patience: Vec<f64>, // seconds, by verb; for full sight
    most: usize,
    chance: SeededRng,
    listed: BTreeMap<usize, bool>, // those that are up
    out: BTreeMap<usize, usize>,   // own relays out
    turn: usize,
    commands: BTreeMap<CommandIndex, Held>,
    asked: bool,
}

impl Plain {
    fn read_list(
        &mut self,
        kind: ListUpdateKind,
        entries: Vec<ListedEndpoint>,
        out: &mut Vec<Action>,
    ) {
        match kind {
            ListUpdateKind::Failed => {
                out.push(Action::SetTimer {
                    after: Duration::from_secs(1),
                    token: 1,
                });
                return;
            }
            ListUpdateKind::Delta => {}
            ListUpdateKind::Full | ListUpdateKind::Cached => self.listed.clear(),
        }
        for entry in entries {
            self.listed
                .insert(entry.endpoint, entry.state == EndpointState::Running);
        }
        if !std::mem::replace(&mut self.asked, true) {
            out.push(Action::Subscribe { active: true });
        }
    }

    fn pick(&mut self, cmd: CommandIndex, sight: &dyn FleetView) -> Option<usize> {
        let tried: Vec<usize> = self
            .commands
            .get(&cmd)?
            .relays
            .iter()
            .map(|(e, _)| *e)
            .collect();
        let up = |e: &usize| self.listed[e];
        let mut may: Vec<usize> = self
            .listed
            .keys()
            .copied()
            .filter(up)
            .filter(|e| !tried.contains(e))
            .collect();
        if may.is_empty() {
            may = self.listed.keys().copied().filter(up).collect();
        }
        if may.is_empty() {
            return None;
        }
        match self.how {
            How::Random => Some(may[self.chance.below(may.len())]),
            How::Turns => {
                self.turn += 1;
                Some(may[self.turn % may.len()])
            }
            How::LeastOfTwo => {
                let pair = [
                    may[self.chance.below(may.len())],
                    may[self.chance.below(may.len())],
                ];
                pair.into_iter()
                    .min_by_key(|e| self.out.get(e).copied().unwrap_or_default())
            }
            How::FullSight => {
                let times = may
                    .iter()
                    .filter_map(|e| Some((sight.estimate_times(self.instance, *e, cmd)?, *e)));
                let best = times.min_by(|a, b| a.0.1.total_cmp(&b.0.1));
                // What would wait too long is not sent, and the less a verb is worth the sooner that is too long.
                let patience = self.patience[self.commands.get(&cmd)?.verb];
                best.filter(|((wait, _), _)| *wait < patience)
                    .map(|(_, e)| e)
            }
        }
    }

    fn send(
        &mut self,
        now: Duration,
        cmd: CommandIndex,
        sight: &dyn FleetView,
        out: &mut Vec<Action>,
    ) {
        let endpoint = self.pick(cmd, sight);
        let Some(held) = self.commands.get_mut(&cmd) else {
            return;
        };
        match endpoint {
            Some(endpoint) if now < held.leave => {
                held.relays.push((endpoint, None));
                *self.out.entry(endpoint).or_default() += 1;
                let within = held.leave - now;
                out.push(Action::Relay {
                    command: cmd,
                    endpoint,
                    timeout: within,
                    send_by: within,
                });
            }
            _ => {
                held.over = true;
                let never = held
                    .relays
                    .iter()
                    .all(|(_, o)| o.is_some_and(Outcome::never_ran));
                let harmless = never || self.effects[held.verb] == Effect::Safe;
                out.push(match harmless {
                    true => Action::Refuse {
                        command: cmd,
                        retry_after: None,
                    },
                    false => Action::Fail { command: cmd },
                });
            }
        }
        self.tidy(cmd, out);
    }

    fn tidy(&mut self, cmd: CommandIndex, out: &mut Vec<Action>) {
        let done = |held: &Held| held.over && held.relays.iter().all(|(_, o)| o.is_some());
        if self.commands.get(&cmd).is_some_and(done) {
            self.commands.remove(&cmd);
            out.push(Action::ReleaseCommand { command: cmd });
        }
    }
}

impl Policy for Plain {
    fn decide(&mut self, now: Duration, event: Event, sight: &dyn FleetView) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::ListUpdated { kind, entries } => self.read_list(kind, entries, &mut out),
            Event::TimerFired { .. } => out.push(Action::Subscribe { active: true }),
            Event::CommandArrived(CommandArrival {
                command: cmd,
                class: verb,
                budget,
                ..
            }) => {
                let held = Held {
                    verb,
                    leave: now + budget,
                    relays: Vec::new(),
                    over: false,
                };
                self.commands.insert(cmd, held);
                self.send(now, cmd, sight, &mut out);
            }
            Event::RelayFinished {
                command: cmd,
                relay,
                outcome,
                concluded,
                ..
            } => {
                let Some(held) = self.commands.get_mut(&cmd) else {
                    return out;
                };
                let Some((endpoint, end)) = held.relays.get_mut(relay).filter(|(_, o)| o.is_none())
                else {
                    return out;
                };
                *end = Some(outcome);
                self.out
                    .entry(*endpoint)
                    .and_modify(|n| *n = n.saturating_sub(1));
                held.over |= concluded;
                let ran = held
                    .relays
                    .iter()
                    .any(|(_, o)| !o.is_some_and(Outcome::never_ran));
                let again = !held.over && (!ran || self.effects[held.verb] == Effect::Safe);
                if again && held.relays.len() < self.most {
                    self.send(now, cmd, sight, &mut out);
                } else if !held.over {
                    held.over = true;
                    out.push(if again {
                        Action::Refuse {
                            command: cmd,
                            retry_after: None,
                        }
                    } else {
                        Action::Fail { command: cmd }
                    });
                }
                self.tidy(cmd, &mut out);
            }
            Event::CommandAbandoned { command: cmd } => {
                let Some(held) = self.commands.get_mut(&cmd) else {
                    return out;
                };
                held.over = true;
                let open = held
                    .relays
                    .iter()
                    .enumerate()
                    .filter(|(_, (_, o))| o.is_none());
                out.extend(open.map(|(relay, _)| Action::CancelRelay {
                    command: cmd,
                    relay,
                }));
                self.tidy(cmd, &mut out);
            }
            _ => {}
        }
        out
    }
}
