//! The planned stop: SIGTERM moves the front through its stages.

use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

/// New connections still come for up to 0.4 s after the signal.
const STILL_COMING: Duration = Duration::from_millis(500);
/// What came last has this long to be sent and read: until 0.7 s after the signal a command counts as taken.
const LAST_READ: Duration = Duration::from_millis(250);
/// PROTOCOL, "Figures": SIGKILL may come the longest limit, but 3 s at most, and 0.7 s after the signal. What is open then is
/// lost, so where limits are longer it is answered a little before.
const LAST_ANSWERS: Duration = Duration::from_millis(3600);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub enum Stage {
    Serving,
    /// Each connection ends after its answer; new ones are taken.
    Leaving,
    /// What the backlog holds is taken, then nothing new.
    Closed,
    /// Connections that never sent anything are closed, too.
    Ending,
    /// What is still open is answered as out of time.
    Over,
}

pub type Stages = watch::Receiver<Stage>;

impl Stage {
    pub fn on_sigterm() -> Result<Stages, String> {
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        let (tell, stages) = watch::channel(Stage::Serving);
        tokio::spawn(async move {
            term.recv().await;
            log::info!("stopping: new commands are taken for {STILL_COMING:?} more");
            for (stage, time) in [(Stage::Leaving, STILL_COMING), (Stage::Closed, LAST_READ)] {
                tell.send_replace(stage);
                sleep(time).await;
            }
            tell.send_replace(Stage::Ending);
            sleep(LAST_ANSWERS - STILL_COMING - LAST_READ).await;
            tell.send_replace(Stage::Over);
            tell.closed().await;
        });
        Ok(stages)
    }
}

/// Waits until a stage is reached.
pub async fn reached(stages: &mut Stages, stage: Stage) {
    // The sender lives as long as any receiver does.
    let _ = stages.wait_for(|now| *now >= stage).await;
}
