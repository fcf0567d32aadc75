//! The decision module with a router in front of it.

use crate::config::RoutesConfig;
use crate::router::{Router, RoutingDecision};
use passroad_choice::shadow::{ShadowCounts, ShadowedBalancer};
use passroad_choice::{
    Action, BalancerConfig, CommandIndex, EndpointIndex, Event, LearnedState, ListUpdateKind,
};
use std::time::Duration;

/// What is needed to attribute the outcome of a relay.
struct OpenCommand {
    class: usize,
    relays: Vec<EndpointIndex>, // endpoint by relay number
}

/// The decision module, with a router in front of it if routes are configured.
pub struct RoutedBalancer {
    balancer: ShadowedBalancer,
    router: Option<Router>,
    deadline_targets: Vec<Duration>, // by class index of the decision module
    classes: Vec<(String, usize)>,   // name and position in the configuration, by the same index
    max_retry_after: Option<Duration>,
    open_commands: Vec<Option<OpenCommand>>,
}

impl RoutedBalancer {
    /// If a shadow configuration is given, a second decision module evaluates it beside the one that decides.
    pub fn new(
        config: BalancerConfig,
        shadow_config: Option<BalancerConfig>,
        routes: Option<RoutesConfig>,
    ) -> Self {
        RoutedBalancer {
            router: routes.map(|routes| Router::new(routes, &config)),
            deadline_targets: config
                .classes
                .iter()
                .map(|class| class.deadline_target)
                .collect(),
            classes: config
                .classes
                .iter()
                .enumerate()
                .map(|(position, class)| (class.name.clone(), position))
                .collect(),
            max_retry_after: config.max_retry_after,
            open_commands: Vec::new(),
            balancer: ShadowedBalancer::new(config, shadow_config),
        }
    }

    /// Whether a configuration, and routes that were validated against it, can replace the current ones.
    pub fn can_reconfigure(&self, config: &BalancerConfig, routes: Option<&RoutesConfig>) -> bool {
        match (&self.router, routes) {
            (None, None) => true,
            (Some(router), Some(routes)) => router.can_reconfigure(config, routes),
            _ => false,
        }
    }

    /// Replaces the configuration. Returns the resulting actions, and for each configured class the index that commands
    /// must use from now on.
    pub fn reconfigure(
        &mut self,
        now: Duration,
        config: BalancerConfig,
        routes: Option<RoutesConfig>,
    ) -> (Vec<Action>, Vec<usize>) {
        if let (Some(router), Some(routes)) = (&mut self.router, routes) {
            router.reconfigure(&config, routes);
        }
        self.max_retry_after = config.max_retry_after;
        let configured: Vec<_> = config
            .classes
            .iter()
            .map(|class| (class.name.clone(), class.deadline_target))
            .collect();
        let mut actions = self
            .balancer
            .decide(now, Event::Reconfigured(Box::new(config)));
        let assignment = actions
            .iter()
            .position(|action| matches!(action, Action::ClassIndicesAssigned { .. }));
        let Some(Action::ClassIndicesAssigned { classes: indices }) =
            assignment.map(|position| actions.remove(position))
        else {
            return (actions, Vec::new());
        };
        // Open commands of a removed class are routed like those of the first class.
        for (name, position) in &mut self.classes {
            *position = configured
                .iter()
                .position(|(configured, _)| configured == name)
                .unwrap_or_default();
        }
        for (position, index) in indices.iter().enumerate() {
            let len = self.deadline_targets.len().max(index + 1);
            self.deadline_targets.resize(len, Duration::ZERO);
            self.classes.resize(len, (String::new(), 0));
            (self.deadline_targets[*index], self.classes[*index]) = (
                configured[position].1,
                (configured[position].0.clone(), position),
            );
        }
        (actions, indices)
    }

    /// Load of an endpoint as a share of its limit, if reported lately, and whether it is failing or unreachable.
    pub fn endpoint_load(&self, endpoint: EndpointIndex) -> (Option<f64>, bool) {
        self.balancer.endpoint_load(endpoint)
    }

    /// The learned state; `id` maps an endpoint index to the endpoint's id.
    pub fn learned_state(&self, id: impl Fn(EndpointIndex) -> Option<String>) -> LearnedState {
        self.balancer.learned_state(id)
    }

    /// How the shadow configuration's decisions compare so far, if there is one.
    pub fn shadow_counts(&self) -> Option<ShadowCounts> {
        self.balancer.counts()
    }

    /// Records the id and kind of an endpoint index. Must precede the first list with that index.
    pub fn register_endpoint(&mut self, endpoint: EndpointIndex, id: &str, kind: &str) {
        if let Some(router) = &mut self.router {
            router.register_endpoint(endpoint, id, kind);
        }
    }

    /// Handles one event and returns the resulting actions, like the decision module's own entry point.
    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let Some(router) = &mut self.router else {
            return self.balancer.decide(now, event);
        };
        let mut actions = Vec::new();
        let event = match event {
            Event::ListUpdated { kind, entries } => {
                let full = kind != ListUpdateKind::Delta;
                if kind != ListUpdateKind::Failed {
                    router.apply_list(full, &entries);
                }
                // The decision module must know the endpoints before it receives their weights.
                actions = self
                    .balancer
                    .decide(now, Event::ListUpdated { kind, entries });
                None
            }
            Event::CommandArrived(mut arrival) => {
                let weights = router.update_weights(now);
                apply_weights(&mut self.balancer, now, weights, &mut actions);
                let command = arrival.command;
                let class = self
                    .classes
                    .get(arrival.class)
                    .map_or(0, |(_, position)| *position);
                match router.route(now, class, arrival.tenant) {
                    RoutingDecision::Admit { weight_set } => {
                        arrival.weight_set = weight_set;
                        let len = self.open_commands.len().max(command + 1);
                        self.open_commands.resize_with(len, || None);
                        self.open_commands[command] = Some(OpenCommand {
                            class: arrival.class,
                            relays: Vec::new(),
                        });
                        Some(Event::CommandArrived(arrival))
                    }
                    RoutingDecision::Refuse { retry_after } => {
                        // The command was neither relayed nor queued, so the decision module needn't know of it.
                        let retry_after = self.max_retry_after.map(|max| max.min(retry_after));
                        actions.push(Action::Refuse {
                            command,
                            retry_after,
                        });
                        actions.push(Action::ReleaseCommand { command });
                        None
                    }
                }
            }
            Event::CordonChanged { endpoint, cordoned } => {
                router.set_cordoned(endpoint, cordoned);
                Some(event)
            }
            Event::RelayFinished {
                command,
                relay,
                outcome,
                elapsed,
                concluded,
                report,
            } => {
                let open = self.open_commands.get(command).and_then(Option::as_ref);
                if let Some((open, endpoint)) =
                    open.and_then(|open| Some((open, *open.relays.get(relay)?)))
                {
                    let lateness = elapsed.as_secs_f64()
                        / self.deadline_targets[open.class].as_secs_f64().max(1e-6);
                    router.record_outcome(now, endpoint, outcome, Some(lateness), report.as_ref());
                }
                Some(Event::RelayFinished {
                    command,
                    relay,
                    outcome,
                    elapsed,
                    concluded,
                    report,
                })
            }
            Event::ProbeFinished {
                endpoint,
                outcome,
                elapsed,
                report,
            } => {
                router.record_outcome(now, endpoint, outcome, None, report.as_ref());
                Some(Event::ProbeFinished {
                    endpoint,
                    outcome,
                    elapsed,
                    report,
                })
            }
            other => Some(other),
        };
        let weights = router.update_weights(now);
        apply_weights(&mut self.balancer, now, weights, &mut actions);
        if let Some(event) = event {
            actions.extend(self.balancer.decide(now, event));
        }
        for action in &actions {
            match action {
                Action::Relay {
                    command, endpoint, ..
                } => {
                    let open = self
                        .open_commands
                        .get_mut(*command)
                        .and_then(Option::as_mut);
                    open.into_iter()
                        .for_each(|open| open.relays.push(*endpoint));
                }
                Action::ReleaseCommand { command } => {
                    release_command(&mut self.open_commands, *command)
                }
                Action::ReleaseEndpoint { endpoint } => router.release_endpoint(*endpoint),
                _ => {}
            }
        }
        actions.extend(router.take_log_lines().into_iter().map(Action::Log));
        actions
    }
}

fn release_command(open_commands: &mut [Option<OpenCommand>], command: CommandIndex) {
    if let Some(open) = open_commands.get_mut(command) {
        *open = None;
    }
}

fn apply_weights(
    balancer: &mut ShadowedBalancer,
    now: Duration,
    weights: Vec<(usize, EndpointIndex, f64)>,
    actions: &mut Vec<Action>,
) {
    if !weights.is_empty() {
        actions.extend(balancer.decide(now, Event::RouteWeightsChanged { weights }));
    }
}

#[cfg(test)]
mod tests;
