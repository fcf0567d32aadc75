//! Endpoints that are out of use on this sidecar, and why. An operator's cordon and maintenance are two reasons: each is
//! set and ended by its own call alone, and an endpoint is in use only while neither holds.

use std::collections::BTreeSet;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

/// Why an endpoint is out of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusionReason {
    /// An operator has cordoned it at this sidecar.
    Operator,
    /// The fleet's operation log has it out for maintenance.
    Maintenance,
}

/// One reason begins or ends to hold for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExclusionChange {
    pub id: String,
    pub reason: ExclusionReason,
    pub excluded: bool,
}

impl ExclusionChange {
    /// What the endpoint is from then on, for the log.
    pub fn description(&self) -> &'static str {
        match (self.reason, self.excluded) {
            (ExclusionReason::Operator, true) => "cordoned",
            (ExclusionReason::Operator, false) => "no longer cordoned",
            (ExclusionReason::Maintenance, true) => "out for maintenance",
            (ExclusionReason::Maintenance, false) => "no longer out for maintenance",
        }
    }
}

/// What a change did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExclusionEffect {
    /// Whether the reason did not hold before, or no longer holds.
    pub reason_changed: bool,
    /// Whether the endpoint was in use before and is not any more, or the other way round.
    pub use_changed: bool,
    /// Whether the endpoint is out of use now, for either reason.
    pub out_of_use: bool,
}

/// A change that the other process of a handover is told of.
#[derive(Debug)]
pub struct ExclusionNotice {
    pub change: ExclusionChange,
    /// Whether the endpoint is out of use after the change, for either reason.
    pub out_of_use: bool,
    /// Told once the other process has applied the change.
    pub applied: oneshot::Sender<()>,
}

/// Identifies a subscriber: it is not told of the changes that it reports itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubscriberId(u64);

/// The changes for one subscriber, until it is dropped.
pub struct ExclusionSubscription {
    pub id: SubscriberId,
    pub notices: UnboundedReceiver<ExclusionNotice>,
}

/// The exclusions of all endpoints, by endpoint id, and who is told of their changes.
#[derive(Debug, Default)]
pub struct Exclusions {
    by_operator: BTreeSet<String>,
    by_maintenance: BTreeSet<String>,
    subscribers: Vec<(SubscriberId, UnboundedSender<ExclusionNotice>)>,
    subscriptions: u64,
}

impl Exclusions {
    /// The ids of the endpoints for which a reason holds.
    pub fn ids(&self, reason: ExclusionReason) -> &BTreeSet<String> {
        match reason {
            ExclusionReason::Operator => &self.by_operator,
            ExclusionReason::Maintenance => &self.by_maintenance,
        }
    }

    /// Whether an endpoint is out of use, for either reason.
    pub fn is_out_of_use(&self, id: &str) -> bool {
        self.by_operator.contains(id) || self.by_maintenance.contains(id)
    }

    /// Applies a change to its own reason; the other reason stays as it is.
    pub fn apply(&mut self, change: &ExclusionChange) -> ExclusionEffect {
        let out_before = self.is_out_of_use(&change.id);
        let ids = match change.reason {
            ExclusionReason::Operator => &mut self.by_operator,
            ExclusionReason::Maintenance => &mut self.by_maintenance,
        };
        let reason_changed = if change.excluded {
            ids.insert(change.id.clone())
        } else {
            ids.remove(&change.id)
        };
        let out_of_use = self.is_out_of_use(&change.id);
        ExclusionEffect {
            reason_changed,
            use_changed: out_of_use != out_before,
            out_of_use,
        }
    }

    /// Subscribes to all changes from here on.
    pub fn subscribe(&mut self) -> ExclusionSubscription {
        self.subscribers.retain(|(_, sender)| !sender.is_closed());
        self.subscriptions += 1;
        let (id, (sender, notices)) = (SubscriberId(self.subscriptions), unbounded_channel());
        self.subscribers.push((id, sender));
        ExclusionSubscription { id, notices }
    }

    /// Whether another process is told of changes.
    pub fn has_subscribers(&self) -> bool {
        self.subscribers
            .iter()
            .any(|(_, sender)| !sender.is_closed())
    }

    /// Tells all subscribers of a change, but the one that reported it. Each receiver returned is ready once a subscriber's
    /// process has applied the change.
    pub fn notify(
        &self,
        change: &ExclusionChange,
        reported_by: Option<SubscriberId>,
    ) -> Vec<oneshot::Receiver<()>> {
        let others = self
            .subscribers
            .iter()
            .filter(|(id, _)| Some(*id) != reported_by);
        let notify_one = |sender: &UnboundedSender<ExclusionNotice>| {
            let (applied, confirmation) = oneshot::channel();
            let notice = ExclusionNotice {
                change: change.clone(),
                out_of_use: self.is_out_of_use(&change.id),
                applied,
            };
            sender.send(notice).ok().map(|()| confirmation)
        };
        others
            .filter_map(|(_, sender)| notify_one(sender))
            .collect()
    }
}

#[cfg(test)]
mod tests;
