//! Planned shutdown: SIGTERM moves the process through its stages.

use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

/// New connections still arrive for up to 0.4 s after the signal.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// How long the last requests have to be sent and read: a command counts as taken until 0.7 s after the signal.
const LAST_READ_TIME: Duration = Duration::from_millis(250);
/// PROTOCOL, "Figures": SIGKILL may come the longest time limit, but 3 s at most, and 0.7 s after the signal. What is
/// open then is lost, so with longer limits it is answered a little earlier.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(3600);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub enum ShutdownStage {
    Serving,
    /// Each connection ends after its answer; new ones are still accepted.
    Draining,
    /// The backlog is accepted, then nothing new.
    NotAccepting,
    /// Connections that never sent anything are closed, too.
    ClosingIdle,
    /// Open commands are answered as out of time.
    Expiring,
}

pub type ShutdownWatch = watch::Receiver<ShutdownStage>;

impl ShutdownStage {
    pub fn on_sigterm() -> Result<ShutdownWatch, String> {
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        let (sender, stages) = watch::channel(ShutdownStage::Serving);
        tokio::spawn(async move {
            term.recv().await;
            log::info!("stopping: new commands are taken for {ACCEPT_TIME:?} more");
            for (stage, time) in [
                (ShutdownStage::Draining, ACCEPT_TIME),
                (ShutdownStage::NotAccepting, LAST_READ_TIME),
            ] {
                sender.send_replace(stage);
                sleep(time).await;
            }
            sender.send_replace(ShutdownStage::ClosingIdle);
            sleep(LAST_ANSWER_TIME - ACCEPT_TIME - LAST_READ_TIME).await;
            sender.send_replace(ShutdownStage::Expiring);
            sender.closed().await;
        });
        Ok(stages)
    }
}

/// Waits until a stage is reached.
pub async fn stage_reached(stages: &mut ShutdownWatch, stage: ShutdownStage) {
    // The sender lives as long as any receiver does.
    let _ = stages.wait_for(|now| *now >= stage).await;
}
