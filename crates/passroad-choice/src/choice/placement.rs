//! Placement: the endpoint that a command's next relay is sent to.

use super::Balancer;
use super::endpoint::Endpoint;
use super::scoring::FAILURE_RISK;
use crate::{CommandIndex, DeduplicationScope, Effect, EndpointIndex};

impl Balancer {
    /// Draws an endpoint for a command among those where it may go, for a hedge or for any other
    /// relay.
    pub(super) fn pick_endpoint(
        &mut self,
        command_index: CommandIndex,
        is_hedge: bool,
    ) -> Option<EndpointIndex> {
        let command = self.open_command(command_index)?;
        let class = &self.parameters.classes[command.class];
        // Prevents running a command twice: one that may have run is sent again only within the
        // scope that drops repeats.
        let first_endpoint = match (
            class.effect,
            command.relays.iter().find(|r| r.may_have_run()),
        ) {
            (Effect::Safe, _) | (_, None) => None,
            (Effect::NonIdempotent, Some(_)) => return None,
            (Effect::Keyed, Some(first)) => {
                if class.deduplication_time_left(first, self.now) <= self.parameters.tick {
                    return None;
                }
                Some(&self.endpoints[first.endpoint])
            }
        };
        let scope = class.deduplication_scope;
        let drops_repeats = |endpoint: &Endpoint| {
            first_endpoint.is_none_or(|first| match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => endpoint.zone == first.zone,
                DeduplicationScope::Cell => {
                    endpoint.zone == first.zone && endpoint.cell == first.cell
                }
            })
        };
        let may_use = |endpoint: &Endpoint| {
            self.admits_relays(endpoint) && drops_repeats(endpoint) && class.allowed_on(endpoint)
        };
        // A hedge is sent only where even the least valuable command would be.
        let value = if is_hedge {
            0.0
        } else {
            (command.value / command.best_value).clamp(0.0, 1.0)
        };
        let homes = if first_endpoint.is_none() {
            self.key_homes(command)
        } else {
            Vec::new()
        };
        let indices = match first_endpoint {
            None if !homes.is_empty() => homes.iter().map(|(index, _)| *index).collect(),
            None if !class.is_restricted() => self.in_view.clone(),
            _ => (0..self.endpoints.len()).collect(),
        };
        let risk = if class.effect == Effect::NonIdempotent {
            5.0 * FAILURE_RISK
        } else {
            FAILURE_RISK
        };
        let mut weights = self.weights(
            &indices,
            Some((command.class, command.weight_set)),
            Some((value, risk)),
            &may_use,
        );
        homes
            .iter()
            .zip(&mut weights)
            .for_each(|((_, share), weight)| *weight *= share);
        let was_tried = |index: &EndpointIndex| command.relays.iter().any(|r| r.endpoint == *index);
        for (_, weight) in indices
            .iter()
            .zip(&mut weights)
            .filter(|(index, _)| was_tried(index))
        {
            *weight *= if is_hedge { 0.0 } else { 0.01 };
        }
        self.draw(&weights).map(|n| indices[n])
    }
}
