//! The sidecar's part in the fleet: one thread that owns the socket to the others, the timers of membership and leases,
//! and the calls of duties that are owned here. The desk knows nothing of it; without a file nothing of it is there.

mod calls;
mod drops;
mod kept;
mod orders;
pub mod part;
mod status;
mod talk;
mod work;

pub use orders::{DutyOrder, FleetOrders, Place, read};
pub use status::{Door, ask, table};
pub use work::{Those, order, refusal, table as work_table};

use crate::desk::Desk;
use crate::stop::Stages;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// For the address to come free: the process before this one gives it up when it stops.
const ADDRESS_WITHIN: Duration = Duration::from_secs(60);
const ADDRESS_EVERY: Duration = Duration::from_millis(20);

/// A member that this sidecar thinks otherwise of from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turned {
    pub member: u16,
    pub standing: passroad_peers::MemberState,
}

/// A sidecar's part that can begin; its socket is not open yet.
pub struct Ready {
    orders: FleetOrders,
    place: Place,
    kept: Option<kept::Kept>,
    machines: Option<work::Machines>,
    asked: status::Asked,
    stages: Stages,
    turns: Option<UnboundedSender<Turned>>,
}

/// None where the settings forbid talk between sidecars.
pub fn prepare(
    orders: FleetOrders,
    place: Place,
    desk: &Arc<Desk>,
    stages: Stages,
) -> Result<Option<(Door, Ready)>, String> {
    if !place.may_talk {
        log::info!("fleet: off, as the settings forbid talk between sidecars (allowed.may_tell)");
        return Ok(None);
    }
    let kept = orders
        .state
        .as_deref()
        .map(|path| kept::Kept::open(path, &place.name))
        .transpose()?;
    let (door, asked) = status::door(orders.upkeep.is_some());
    let machines = orders
        .upkeep
        .as_ref()
        .map(|upkeep| work::Machines::new(Arc::clone(desk), upkeep));
    Ok(Some((
        door,
        Ready {
            orders,
            place,
            kept,
            machines,
            asked,
            stages,
            turns: None,
        },
    )))
}

impl Ready {
    /// Has each change of what is thought of a member told there, too.
    pub fn telling(self, turns: UnboundedSender<Turned>) -> Ready {
        Ready {
            turns: Some(turns),
            ..self
        }
    }

    /// Talks until it is to stop.
    pub async fn serve(self) {
        let Ready {
            orders,
            place,
            kept,
            machines,
            asked,
            stages,
            turns,
        } = self;
        let began = tokio::time::Instant::now();
        let socket = loop {
            match tokio::net::UdpSocket::bind(place.listen).await {
                Ok(socket) => break socket,
                Err(fault) if began.elapsed() > ADDRESS_WITHIN => {
                    return log::error!("fleet: off: {}: {fault}", place.listen);
                }
                Err(_) => tokio::time::sleep(ADDRESS_EVERY).await,
            }
        };
        talk::Talk::new(orders, place, kept, socket, machines)
            .telling(turns)
            .run(asked, stages)
            .await;
    }
}

/// Begins the sidecar's part, on a thread of its own, so that load on the front can't make it late. None where the
/// settings forbid talk between sidecars.
pub fn begin(
    orders: FleetOrders,
    place: Place,
    desk: &Arc<Desk>,
    stages: Stages,
) -> Result<Option<Door>, String> {
    let Some((door, ready)) = prepare(orders, place, desk, stages)? else {
        return Ok(None);
    };
    let fault = |e: std::io::Error| format!("fleet: {e}");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(fault)?;
    let (listen, members) = (ready.place.listen, ready.place.peers.len());
    let (voters, lease) = (ready.orders.voters, ready.orders.lease);
    let memory = if ready.kept.is_some() {
        "a state file"
    } else {
        "no state file"
    };
    let serve = move || runtime.block_on(ready.serve());
    std::thread::Builder::new()
        .name("fleet".into())
        .spawn(serve)
        .map_err(fault)?;
    log::info!(
        "fleet: one of {members} sidecars, at {listen}; {voters} voters a duty, leases of {lease:?}, {memory}"
    );
    Ok(Some(door))
}
