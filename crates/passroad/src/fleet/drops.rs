//! Dropped datagrams: counted by cause, and logged once a minute per cause at most.

use std::collections::BTreeMap;
use std::time::Duration;

const LOG_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Default)]
pub struct DroppedDatagrams {
    /// By cause: in all, since last logged, and when that was.
    causes: BTreeMap<&'static str, (u64, u64, Option<Duration>)>,
}

impl DroppedDatagrams {
    pub fn count(&mut self, now: Duration, cause: &'static str) {
        let (total, unlogged, logged_at) = self.causes.entry(cause).or_default();
        (*total, *unlogged) = (*total + 1, *unlogged + 1);
        if logged_at.is_none_or(|at| now.saturating_sub(at) >= LOG_INTERVAL) {
            log::warn!("fleet: datagrams dropped: {unlogged} {cause}, {total} since the start");
            (*unlogged, *logged_at) = (0, Some(now));
        }
    }

    pub fn counts(&self) -> serde_json::Value {
        self.causes
            .iter()
            .map(|(cause, (total, ..))| ((*cause).to_string(), serde_json::json!(total)))
            .collect()
    }
}
