//! Exclusions of endpoints: changes by operators, by the fleet and by the other process of a handover, and what the decision
//! module is told of them.

use super::Dispatcher;
use crate::exclusions::{ExclusionChange, ExclusionReason, ExclusionSubscription, SubscriberId};
use crate::handover::VERSION_WITHOUT_REASONS;
use passroad_choice::Event;
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::oneshot;

impl Dispatcher {
    /// Takes over the exclusions of the old process.
    pub(super) fn inherit_exclusions(
        self: &Arc<Self>,
        version: u32,
        cordoned: BTreeSet<String>,
        under_maintenance: BTreeSet<String>,
        maintained: bool,
    ) {
        if maintained && version == VERSION_WITHOUT_REASONS {
            for id in &cordoned {
                log::warn!(
                    id = id.as_str();
                    "{id} was out of use at the old process, which doesn't say why: it counts as cordoned until /admin/uncordon"
                );
            }
        }
        // Without the operation log nothing else would end them.
        let reason_of_maintained = if maintained {
            ExclusionReason::Maintenance
        } else {
            ExclusionReason::Operator
        };
        let by_operator = cordoned
            .into_iter()
            .map(|id| (id, ExclusionReason::Operator));
        let by_maintenance = under_maintenance
            .into_iter()
            .map(|id| (id, reason_of_maintained));
        for (id, reason) in by_operator.chain(by_maintenance) {
            self.exclude(&ExclusionChange {
                id,
                reason,
                excluded: true,
            });
        }
    }

    /// Whether an endpoint of this id is or was listed.
    pub fn knows(&self, id: &str) -> bool {
        let state = self.state();
        state.endpoints.get(id).is_some() || state.removed.has(id)
    }

    /// Whether an endpoint is out of use, for whichever reason.
    pub fn is_out_of_use(&self, id: &str) -> bool {
        self.state().exclusions.is_out_of_use(id)
    }

    /// The ids of the endpoints that are out of use for a reason.
    pub fn excluded_ids(&self, reason: ExclusionReason) -> Vec<String> {
        self.state()
            .exclusions
            .ids(reason)
            .iter()
            .cloned()
            .collect()
    }

    /// Subscribes to the changes of exclusions, for the other process of a handover.
    pub fn subscribe_to_exclusions(&self) -> ExclusionSubscription {
        self.state().exclusions.subscribe()
    }

    /// Whether the other process of a handover runs, whose open relays are not known here.
    pub fn has_other_process(&self) -> bool {
        self.state().exclusions.has_subscribers()
    }

    /// Applies a change of this process, effective on return, and tells the other process of a handover. Each receiver
    /// returned is ready once a process has applied it.
    pub fn exclude(self: &Arc<Self>, change: &ExclusionChange) -> Vec<oneshot::Receiver<()>> {
        self.apply_exclusion(change, None)
    }

    /// Applies a change that the other process of a handover has reported.
    pub fn exclude_as_reported(
        self: &Arc<Self>,
        change: &ExclusionChange,
        reported_by: SubscriberId,
    ) {
        self.apply_exclusion(change, Some(reported_by));
    }

    fn apply_exclusion(
        self: &Arc<Self>,
        change: &ExclusionChange,
        reported_by: Option<SubscriberId>,
    ) -> Vec<oneshot::Receiver<()>> {
        let mut state = self.state();
        let effect = state.exclusions.apply(change);
        if effect.reason_changed {
            let endpoint = state.endpoints.intern(&change.id);
            log::info!(
                endpoint = endpoint, id = change.id.as_str(), out_of_use = effect.out_of_use;
                "endpoint {endpoint} ({}) is {}{}", change.id, change.description(),
                if effect.out_of_use && !change.excluded { ", and out of use still" } else { "" }
            );
            if effect.use_changed {
                let cordoned = effect.out_of_use;
                self.decide(&mut state, Event::CordonChanged { endpoint, cordoned });
            }
        }
        // An operator who repeats a call is to get it confirmed by the other process again.
        if !effect.reason_changed && change.reason == ExclusionReason::Maintenance {
            return Vec::new();
        }
        // Still under the lock: the other process has to learn of changes in their order.
        state.exclusions.notify(change, reported_by)
    }
}
