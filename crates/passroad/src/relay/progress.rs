//! What an exchange tells while it goes on, and is told.

use tokio::sync::Notify;

/// Something that has happened within an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgressReport {
    /// The head of a successful response is here, and its body may be long.
    Begun,
    /// The response has paused for long. It may go on.
    Paused,
}

type Reporter = Box<dyn Fn(ProgressReport) + Send + Sync>;

/// Connects an exchange to whoever waits for it.
#[derive(Default)]
pub struct Progress {
    reporter: Option<Reporter>,
    time_is_up: Notify,
}

impl Progress {
    /// Reports go to this function.
    pub fn new(reporter: impl Fn(ProgressReport) + Send + Sync + 'static) -> Self {
        Progress {
            reporter: Some(Box::new(reporter)),
            time_is_up: Notify::new(),
        }
    }

    pub(super) fn report(&self, report: ProgressReport) {
        if let Some(reporter) = &self.reporter {
            reporter(report);
        }
    }

    /// The exchange's time is up: what has come of its response is passed on, if its rest may come later.
    pub(super) fn end_time(&self) {
        self.time_is_up.notify_one();
    }

    /// Completes when the exchange's time is up.
    pub(super) async fn time_is_up(&self) {
        self.time_is_up.notified().await;
    }
}
