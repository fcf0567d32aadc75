use super::Balancer;
use super::endpoint::Endpoint;
use super::scoring::FAILURE_RISK;
use crate::{CommandIndex, DeduplicationScope, Effect, EndpointIndex};

impl Balancer {
    /// The design's draw among the endpoints where this command may go.
    pub(super) fn pick_endpoint(&mut self, cmd: CommandIndex, copy: bool) -> Option<EndpointIndex> {
        let c = self.open_command(cmd)?;
        let v = &self.parameters.classes[c.class];
        // Guards against an effect twice: what may have run goes on only inside the group that drops repeats.
        let home = match (v.effect, c.relays.iter().find(|r| r.may_have_run())) {
            (Effect::Safe, _) | (_, None) => None,
            (Effect::NonIdempotent, Some(_)) => return None,
            (Effect::Keyed, Some(first)) => {
                if v.deduplication_time_left(first, self.now) <= self.parameters.tick {
                    return None;
                }
                Some(&self.endpoints[first.endpoint])
            }
        };
        let group = v.deduplication_scope;
        let drops_repeats = |e: &Endpoint| {
            home.is_none_or(|home| match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => e.zone == home.zone,
                DeduplicationScope::Cell => e.zone == home.zone && e.cell == home.cell,
            })
        };
        let may = |e: &Endpoint| self.admits_relays(e) && drops_repeats(e) && v.allowed_on(e);
        // A second copy is a luxury: it goes only where there is room for the least worth.
        let value = if copy {
            0.0
        } else {
            (c.value / c.best_value).clamp(0.0, 1.0)
        };
        let homes = if home.is_none() {
            self.key_homes(c)
        } else {
            Vec::new()
        };
        let ats = match home {
            None if !homes.is_empty() => homes.iter().map(|(at, _)| *at).collect(),
            None if !v.is_restricted() => self.in_view.clone(),
            _ => (0..self.endpoints.len()).collect(),
        };
        let risk = if v.effect == Effect::NonIdempotent {
            5.0 * FAILURE_RISK
        } else {
            FAILURE_RISK
        };
        let mut weights = self.weights(
            &ats,
            Some((c.class, c.weight_set)),
            Some((value, risk)),
            &may,
        );
        homes
            .iter()
            .zip(&mut weights)
            .for_each(|((_, share), w)| *w *= share);
        let tried = |at: &EndpointIndex| c.relays.iter().any(|r| r.endpoint == *at);
        for (_, w) in ats.iter().zip(&mut weights).filter(|(at, _)| tried(at)) {
            *w *= if copy { 0.0 } else { 0.01 };
        }
        self.draw(&weights).map(|n| ats[n])
    }
}
