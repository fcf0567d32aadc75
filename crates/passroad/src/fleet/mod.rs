//! This sidecar as a member of the fleet: one thread owns the socket to the others, the timers of membership and
//! leases, and the calls of the tasks that it holds leases for. The dispatcher doesn't depend on it; without a fleet
//! file none of it runs.

mod calls;
mod config;
mod drops;
mod event_loop;
mod machines;
pub mod node;
mod status;
mod vote_store;

pub use config::{FleetConfig, LeasedTask, PeerConfig, parse};
pub use machines::{MachineFilter, format_log, parse_action, rejection_text};
pub use status::{FleetHandle, format_status, request_json};

use crate::dispatcher::Dispatcher;
use crate::shutdown::ShutdownWatch;
use passroad_peers::MemberState;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// How long to try to bind the peer address: the old process releases it when it stops.
const BIND_TIMEOUT: Duration = Duration::from_secs(60);
const BIND_INTERVAL: Duration = Duration::from_millis(20);

/// A member state's name in lines that another program reads, which may be older or newer than this one.
pub fn outer_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "Here",
        MemberState::Suspect => "Doubt",
        MemberState::Dead => "Gone",
    }
}

/// A change of a member's state, as this sidecar sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStateChange {
    pub member: u16,
    pub state: MemberState,
}

/// A fleet member that is ready to start; its socket is not open yet.
pub struct PreparedFleet {
    config: FleetConfig,
    peers: PeerConfig,
    vote_store: Option<vote_store::VoteStore>,
    machines: Option<machines::Machines>,
    requests: status::FleetRequests,
    stages: ShutdownWatch,
    state_changes: Option<UnboundedSender<MemberStateChange>>,
}

/// None if the settings forbid messages between sidecars.
pub fn prepare(
    config: FleetConfig,
    peers: PeerConfig,
    dispatcher: &Arc<Dispatcher>,
    stages: ShutdownWatch,
) -> Result<Option<(FleetHandle, PreparedFleet)>, String> {
    if !peers.messages_allowed {
        log::info!(
            "fleet: off, as the settings forbid messages between sidecars (allowed.may_tell)"
        );
        return Ok(None);
    }
    let vote_store = config
        .state
        .as_deref()
        .map(|path| vote_store::VoteStore::open(path, &peers.name))
        .transpose()?;
    let (handle, requests) = status::fleet_handle(config.maintenance.is_some());
    let machines = config
        .maintenance
        .as_ref()
        .map(|settings| machines::Machines::new(Arc::clone(dispatcher), settings));
    Ok(Some((
        handle,
        PreparedFleet {
            config,
            peers,
            vote_store,
            machines,
            requests,
            stages,
            state_changes: None,
        },
    )))
}

impl PreparedFleet {
    /// Also sends each change of a member's state to this channel.
    pub fn reporting_to(self, state_changes: UnboundedSender<MemberStateChange>) -> PreparedFleet {
        PreparedFleet {
            state_changes: Some(state_changes),
            ..self
        }
    }

    /// Runs until shutdown.
    pub async fn serve(self) {
        let PreparedFleet {
            config,
            peers,
            vote_store,
            machines,
            requests,
            stages,
            state_changes,
        } = self;
        let started = tokio::time::Instant::now();
        let socket = loop {
            match tokio::net::UdpSocket::bind(peers.listen).await {
                Ok(socket) => break socket,
                Err(error) if started.elapsed() > BIND_TIMEOUT => {
                    return log::error!("fleet: off: {}: {error}", peers.listen);
                }
                Err(_) => tokio::time::sleep(BIND_INTERVAL).await,
            }
        };
        event_loop::EventLoop::new(config, peers, vote_store, socket, machines)
            .reporting_to(state_changes)
            .run(requests, stages)
            .await;
    }
}

/// Starts the fleet member on a thread of its own, so that client load can't delay it. None if the settings forbid
/// messages between sidecars.
pub fn start(
    config: FleetConfig,
    peers: PeerConfig,
    dispatcher: &Arc<Dispatcher>,
    stages: ShutdownWatch,
) -> Result<Option<FleetHandle>, String> {
    let Some((handle, prepared)) = prepare(config, peers, dispatcher, stages)? else {
        return Ok(None);
    };
    let describe = |e: std::io::Error| format!("fleet: {e}");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(describe)?;
    let (listen, members) = (prepared.peers.listen, prepared.peers.addresses.len());
    let (voters, lease) = (prepared.config.voters, prepared.config.lease);
    let state_file = if prepared.vote_store.is_some() {
        "a state file"
    } else {
        "no state file"
    };
    let serve = move || runtime.block_on(prepared.serve());
    std::thread::Builder::new()
        .name("fleet".into())
        .spawn(serve)
        .map_err(describe)?;
    log::info!(
        "fleet: one of {members} sidecars, at {listen}; {voters} voters per duty, leases of {lease:?}, {state_file}"
    );
    Ok(Some(handle))
}
