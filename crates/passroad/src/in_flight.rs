//! Ids of commands in hand, here and in the process beside this one during an upgrade: two commands of one id would be
//! one to an endpoint.

use axum::http::HeaderValue;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// What the process beside this one is told of an id: taken, or given back.
pub type IdChange = (bool, String);

#[derive(Default)]
struct Ids {
    here: HashSet<HeaderValue>,
    beside: HashSet<String>,
    tell: Vec<UnboundedSender<IdChange>>,
}

#[derive(Default)]
pub struct InFlightIds(Mutex<Ids>);

/// An id for as long as its command is open.
pub struct InFlightId(HeaderValue, Arc<InFlightIds>);

impl InFlightIds {
    fn ids(&self) -> MutexGuard<'_, Ids> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// None where it is taken.
    pub fn claim(self: &Arc<Self>, id: &HeaderValue) -> Option<InFlightId> {
        let mut ids = self.ids();
        if !ids.beside.is_empty() && id.to_str().is_ok_and(|id| ids.beside.contains(id)) {
            return None;
        }
        let new = ids.here.insert(id.clone());
        new.then(|| {
            ids.say(true, id);
            InFlightId(id.clone(), Arc::clone(self))
        })
    }

    /// From here on all that turns is told; what is open first.
    pub fn subscribe(&self) -> UnboundedReceiver<IdChange> {
        let (tell, told) = unbounded_channel();
        let mut ids = self.ids();
        ids.tell.retain(|tell| !tell.is_closed());
        for id in ids.here.iter().filter_map(|id| id.to_str().ok()) {
            let _ = tell.send((true, id.into()));
        }
        ids.tell.push(tell);
        told
    }

    /// What is open here.
    pub fn open_ids(&self) -> Vec<String> {
        self.ids()
            .here
            .iter()
            .filter_map(|id| id.to_str().ok())
            .map(String::from)
            .collect()
    }

    pub fn set_in_other_process(&self, taken: bool, id: String) {
        let mut ids = self.ids();
        if taken {
            ids.beside.insert(id);
        } else {
            ids.beside.remove(&id);
        }
    }

    /// The process beside this one has ended.
    pub fn clear_other_process(&self) {
        let mut ids = self.ids();
        ids.beside.clear();
        ids.tell.retain(|tell| !tell.is_closed());
    }
}

impl Ids {
    fn say(&self, taken: bool, id: &HeaderValue) {
        for tell in &self.tell {
            if let Ok(id) = id.to_str() {
                let _ = tell.send((taken, id.into()));
            }
        }
    }
}

impl Drop for InFlightId {
    fn drop(&mut self) {
        let mut ids = self.1.ids();
        ids.here.remove(&self.0);
        ids.say(false, &self.0);
    }
}

#[cfg(test)]
mod tests;
