//! Kills, stops, restarts, upgrades and cordons of sidecar processes during a run.

use super::Sidecars;
use super::clients::Clients;
use super::run_state::RunState;
use super::sidecar::Sidecar;
use crate::ledger::Entry;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::time::sleep;

/// Clients still send new commands for this long after a sidecar received SIGTERM.
const STOPPING_LOAD: Duration = Duration::from_millis(300);

/// Kills a sidecar with SIGKILL: its commands are lost. It is restarted, as a supervisor would do.
pub async fn kill(clients: Arc<Clients>, sidecars: Sidecars, instance: usize, down: Duration) {
    let mut sidecar = sidecars[instance].lock().await;
    clients.targets[instance].away.store(true, Relaxed);
    sidecar.kill();
    clients.run_state.record(Entry::SidecarKilled { instance });
    sleep(down).await;
    restart(&clients, &mut sidecar, instance).await;
}

/// Stops a sidecar with SIGTERM under load, waits for its graceful shutdown, and restarts it.
pub async fn stop(clients: Arc<Clients>, sidecars: Sidecars, instance: usize) {
    let mut sidecar = sidecars[instance].lock().await;
    let client = Arc::clone(&clients.targets[instance]);
    tokio::spawn(async move {
        sleep(STOPPING_LOAD).await;
        client.away.store(true, Relaxed);
    });
    match sidecar.stop().await {
        Ok(Some(0)) => {}
        other => {
            log::error!("sidecar {instance}: graceful shutdown failed: {other:?}");
            clients.run_state.record(Entry::SidecarCrashed { instance });
        }
    }
    sleep(STOPPING_LOAD).await;
    restart(&clients, &mut sidecar, instance).await;
}

/// Starts a new process that takes over from the running one; clients continue to send meanwhile.
pub async fn upgrade(clients: Arc<Clients>, sidecars: Sidecars, instance: usize) {
    let ended = sidecars[instance].lock().await.upgrade().await;
    if !matches!(ended, Ok(Some(0))) {
        log::error!("sidecar {instance}: upgrade failed: {ended:?}");
        clients.run_state.record(Entry::SidecarCrashed { instance });
    }
}

/// Cordons or uncordons an endpoint at all sidecars, one after the other.
pub async fn cordon(run_state: &RunState, sidecars: &Sidecars, endpoint: usize, cordoned: bool) {
    let (path, body) = (
        if cordoned {
            "/admin/cordon"
        } else {
            "/admin/uncordon"
        },
        format!(r#"{{"id":"e{endpoint}"}}"#),
    );
    for (instance, sidecar) in sidecars.iter().enumerate() {
        let entry = Entry::Cordoned {
            instance,
            endpoint,
            cordoned,
        };
        // An endpoint counts as uncordoned from the call on, and as cordoned from the confirmation on.
        if !cordoned {
            run_state.record(entry.clone());
        }
        match sidecar.lock().await.call(path, &body).await {
            true if cordoned => run_state.record(entry),
            true => {}
            false => log::error!("sidecar {instance} rejected {path} of endpoint {endpoint}"),
        }
    }
}

async fn restart(clients: &Clients, sidecar: &mut Sidecar, instance: usize) {
    match sidecar.start().await {
        Ok(()) => clients.targets[instance].away.store(false, Relaxed),
        Err(error) => {
            log::error!("sidecar {instance} could not restart: {error}");
            clients.run_state.record(Entry::SidecarCrashed { instance });
        }
    }
}
