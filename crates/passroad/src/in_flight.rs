//! Ids of commands in flight, in this process and, during a handover, in the other one. Two open commands with the same id would
//! be one command to an endpoint.

use axum::http::HeaderValue;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A change reported to the other process: whether an id was claimed (or released), and the id.
pub type IdChange = (bool, String);

#[derive(Default)]
struct IdSets {
    own: HashSet<HeaderValue>,
    other_process: HashSet<String>,
    subscribers: Vec<UnboundedSender<IdChange>>,
}

/// The ids in flight.
#[derive(Default)]
pub struct InFlightIds(Mutex<IdSets>);

/// An id that is claimed until this is dropped.
pub struct InFlightId {
    id: HeaderValue,
    ids: Arc<InFlightIds>,
}

impl InFlightId {
    /// Releases the id after a while.
    pub fn release_after(self, time: Duration) {
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            drop(self);
        });
    }
}

impl InFlightIds {
    fn sets(&self) -> MutexGuard<'_, IdSets> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims an id; none if it is in flight already.
    pub fn claim(self: &Arc<Self>, id: &HeaderValue) -> Option<InFlightId> {
        let mut sets = self.sets();
        if !sets.other_process.is_empty()
            && id.to_str().is_ok_and(|id| sets.other_process.contains(id))
        {
            return None;
        }
        let new = sets.own.insert(id.clone());
        new.then(|| {
            sets.notify(true, id);
            InFlightId {
                id: id.clone(),
                ids: Arc::clone(self),
            }
        })
    }

    /// Reports every change from here on, starting with the ids that are in flight now.
    pub fn subscribe(&self) -> UnboundedReceiver<IdChange> {
        let (sender, receiver) = unbounded_channel();
        let mut sets = self.sets();
        sets.subscribers
            .retain(|subscriber| !subscriber.is_closed());
        for id in sets.own.iter().filter_map(|id| id.to_str().ok()) {
            let _ = sender.send((true, id.into()));
        }
        sets.subscribers.push(sender);
        receiver
    }

    /// Reports no more changes, as this process ends: what it drops then may still run at endpoints.
    pub fn stop_reporting(&self) {
        self.sets().subscribers.clear();
    }

    /// The ids in flight in this process.
    pub fn open_ids(&self) -> Vec<String> {
        self.sets()
            .own
            .iter()
            .filter_map(|id| id.to_str().ok())
            .map(String::from)
            .collect()
    }

    /// Takes in a change that the other process reports.
    pub fn set_in_other_process(&self, claimed: bool, id: String) {
        let mut sets = self.sets();
        if claimed {
            sets.other_process.insert(id);
        } else {
            sets.other_process.remove(&id);
        }
    }

    /// The other process has ended. Returns the ids that were in flight there: their commands may still run at endpoints.
    pub fn other_process_ended(&self) -> Vec<String> {
        let mut sets = self.sets();
        sets.subscribers
            .retain(|subscriber| !subscriber.is_closed());
        sets.other_process.iter().cloned().collect()
    }
}

impl IdSets {
    fn notify(&self, claimed: bool, id: &HeaderValue) {
        for subscriber in &self.subscribers {
            if let Ok(id) = id.to_str() {
                let _ = subscriber.send((claimed, id.into()));
            }
        }
    }
}

impl Drop for InFlightId {
    fn drop(&mut self) {
        let mut sets = self.ids.sets();
        sets.own.remove(&self.id);
        sets.notify(false, &self.id);
    }
}

#[cfg(test)]
mod tests;
