//! A simulated sidecar process without traffic ("hollow"): discovery, membership, leases, maintenance and configuration
//! run the same code on the same two threads as in a real process. Many of them share one process, to measure what the
//! control plane needs at a given fleet size.

use crate::config::{self, ActiveConfig, SidecarConfig, Timings};
use crate::dispatcher::Dispatcher;
use crate::fleet::{self, FleetHandle, MemberStateChange};
use crate::relay::Dialer;
use crate::shutdown::ShutdownStage;
use crate::{Files, discovery, endpoint_list};
use passroad_choice::ListUpdateKind;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// A running simulated sidecar. Dropping it kills it.
pub struct Hollow {
    /// Handle of its fleet member; none if the settings forbid messages between sidecars.
    pub fleet: Option<FleetHandle>,
    /// Paths of its threads under `/proc`: the one of discovery, and the one of the fleet.
    pub threads: Vec<PathBuf>,
    stages: watch::Sender<ShutdownStage>,
    killed: CancellationToken,
    handles: Vec<JoinHandle<()>>,
}

fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Path of the calling thread under `/proc`.
fn thread_path() -> PathBuf {
    std::fs::read_link("/proc/thread-self").unwrap_or_default()
}

impl Hollow {
    /// Starts one from its files, as a process would. Changes of member states that it sees are sent to the channel.
    ///
    /// # Errors
    /// An invalid file, or no thread or runtime from the system.
    pub fn start(
        files: Files,
        state_changes: mpsc::UnboundedSender<MemberStateChange>,
    ) -> Result<Hollow, String> {
        let describe = |e: io::Error| format!("hollow: {e}");
        let config = config::load(&files)?;
        let (stages, stage) = watch::channel(ShutdownStage::Serving);
        let killed = CancellationToken::new();
        let (sender, result) = oneshot::channel();
        let (runtime, killed_here) = (runtime().map_err(describe)?, killed.clone());
        let run = move || {
            runtime.block_on(async {
                let started =
                    ControlPlane::start(config, files, state_changes, stage, killed_here.clone());
                let failed = started.is_err();
                let _ = sender.send(started.map(|started| (thread_path(), started)));
                if !failed {
                    killed_here.cancelled().await;
                }
            });
        };
        let mut handles = vec![
            std::thread::Builder::new()
                .name("list".into())
                .spawn(run)
                .map_err(describe)?,
        ];
        let (path, started) = result
            .blocking_recv()
            .map_err(|e| format!("hollow: {e}"))??;
        let mut threads = vec![path];
        if let Some((path, handle)) = started.fleet {
            threads.push(path);
            handles.push(handle);
        }
        Ok(Hollow {
            fleet: started.handle,
            threads,
            stages,
            killed,
            handles,
        })
    }

    /// Shuts down as planned: releases its leases first. Returns once nothing of it is left.
    pub fn stop(mut self) {
        self.stages.send_replace(ShutdownStage::Draining);
        // The fleet's thread ends by itself; dropping ends the other one.
        if self.handles.len() > 1
            && let Some(fleet) = self.handles.pop()
        {
            let _ = fleet.join();
        }
    }
}

impl Drop for Hollow {
    /// Ends it as SIGKILL would, without notifying others. Returns once its sockets are closed.
    fn drop(&mut self) {
        self.killed.cancel();
        self.handles
            .drain(..)
            .for_each(|handle| drop(handle.join()));
    }
}

/// What runs on the thread of discovery, and the fleet's thread next to it.
struct ControlPlane {
    handle: Option<FleetHandle>,
    fleet: Option<(PathBuf, JoinHandle<()>)>,
}

impl ControlPlane {
    /// Starts in the same order as the program itself.
    fn start(
        mut config: SidecarConfig,
        files: Files,
        state_changes: mpsc::UnboundedSender<MemberStateChange>,
        stage: watch::Receiver<ShutdownStage>,
        killed: CancellationToken,
    ) -> Result<ControlPlane, String> {
        let describe = |e: io::Error| format!("hollow: {e}");
        let sighups = config::sighup()?;
        let (discovery_sender, discovery_requests) = mpsc::unbounded_channel();
        let (timings_sender, timings) = watch::channel(Timings::of(&config.balancer));
        if !config.balancer.list_on_request {
            let _ = discovery_sender.send(endpoint_list::DiscoveryRequest::Watch(true));
        }
        let dialer = Dialer::new(
            config.connect_timeout,
            config.balancer.idle_close,
            config.max_sockets,
        );
        config.balancer.idle_close = dialer.idle_timeout();
        let (discovery_address_sender, discovery_address) = watch::channel(config.discovery);
        let active = ActiveConfig::of(&config, discovery_address_sender);
        let probe_timeout = config.connect_timeout / 5;
        let dispatcher = Dispatcher::new(
            config.balancer,
            None,
            config.routes,
            dialer,
            probe_timeout,
            discovery_sender,
        );
        let revision = config.initial_list.as_ref().map(|list| list.revision);
        dispatcher.apply_list(
            ListUpdateKind::Cached,
            &config.initial_list.unwrap_or_default(),
        );
        tokio::spawn(Arc::clone(&dispatcher).run_heartbeat());
        tokio::spawn(discovery::follow(
            Arc::clone(&dispatcher),
            discovery_address,
            timings,
            revision,
            discovery_requests,
        ));
        let own_dispatcher = Arc::clone(&dispatcher);
        let reconfigure = move |config: &SidecarConfig| {
            own_dispatcher.reconfigure(config.balancer.clone(), config.routes.clone())?;
            timings_sender
                .send_modify(|timings| *timings = timings.then(Timings::of(&config.balancer)));
            Ok(())
        };
        tokio::spawn(config::reload_on_sighup(
            files,
            sighups,
            active,
            reconfigure,
        ));
        let prepared = match config.fleet {
            Some((fleet, peers)) => fleet::prepare(fleet, peers, &dispatcher, stage)?,
            None => None,
        };
        let Some((fleet_handle, prepared)) = prepared else {
            return Ok(ControlPlane {
                handle: None,
                fleet: None,
            });
        };
        let runtime = runtime().map_err(describe)?;
        let (sender, thread) = std::sync::mpsc::channel();
        let serve = move || {
            let _ = sender.send(thread_path());
            runtime.block_on(async {
                tokio::select! {
                    () = prepared.reporting_to(state_changes).serve() => {}
                    () = killed.cancelled() => {}
                }
            });
        };
        let handle = std::thread::Builder::new()
            .name("fleet".into())
            .spawn(serve)
            .map_err(describe)?;
        let path = thread.recv().map_err(|e| format!("hollow: {e}"))?;
        Ok(ControlPlane {
            handle: Some(fleet_handle),
            fleet: Some((path, handle)),
        })
    }
}
