//! Datagrams that are not heard, by cause: counted, and told in one line a cause a minute.

use std::collections::BTreeMap;
use std::time::Duration;

const TOLD_EVERY: Duration = Duration::from_secs(60);

#[derive(Default)]
pub struct Drops {
    causes: BTreeMap<&'static str, (u64, u64, Option<Duration>)>, // in all, since last told, when that was
}

impl Drops {
    pub fn note(&mut self, now: Duration, cause: &'static str) {
        let (all, since, told) = self.causes.entry(cause).or_default();
        (*all, *since) = (*all + 1, *since + 1);
        if told.is_none_or(|at| now.saturating_sub(at) >= TOLD_EVERY) {
            log::warn!("fleet: datagrams not heard: {since} {cause}, {all} since the start");
            (*since, *told) = (0, Some(now));
        }
    }

    pub fn counts(&self) -> serde_json::Value {
        self.causes
            .iter()
            .map(|(cause, (all, ..))| ((*cause).to_string(), serde_json::json!(all)))
            .collect()
    }
}
