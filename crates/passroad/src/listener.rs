//! The listener for clients: accepts connections, limits their number and has the submodule serve them. Requests are handled in
//! `request_handler`.

mod connection;
mod response_body;

use self::connection::serve_connection;
pub use self::connection::{ClientConnection, SocketInput, peek_socket};
use crate::config::Timings;
use crate::memory_budget::{MemoryBudget, Reservation};
use crate::metrics::{self, Counter};
use crate::request_handler::{RequestHandler, handle_command, health};
use crate::shutdown::{ShutdownStage, ShutdownWatch, stage_reached};
use axum::Router;
use axum::routing::get;
use futures_util::FutureExt;
use rustix::io::Errno;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::unconstrained;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1024;
/// For how long binding is retried, since an old process may still be releasing the address.
const BIND_RETRY_TIME: Duration = Duration::from_secs(3);
/// Under pressure, that is with three quarters of the slots taken, connections are evicted at this interval.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(10);
/// Connections evicted per interval under pressure, after a first burst of as many as the backlog holds: a client at the end of
/// the backlog is accepted within 0.4 s. Prevents clients that reconnect as soon as they are closed from using up a core.
const EVICTIONS_PER_INTERVAL: usize = BACKLOG as usize / 40;
/// Delay before binding or accepting again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Descriptors left to the rest of the process once they have run out.
const DESCRIPTOR_RESERVE: usize = 16;
/// For how long the lower limit on client connections holds after descriptors have run out.
const SHORTAGE_TIME: Duration = Duration::from_secs(10);

/// Counts and limits of the client connections, shared by the accept loop and all connections.
pub struct ClientConnections {
    max_open: AtomicUsize,                       // limit on open connections
    shortage: Mutex<Option<DescriptorShortage>>, // set after descriptors have run out
    accepting: watch::Sender<bool>,              // false while another process accepts instead
    open: AtomicUsize,
    max_kept: usize, // limit on connections kept alive for a next command
    kept: AtomicUsize,
    pressure: Notify,            // slots run short
    evictions_left: AtomicUsize, // connections that may be evicted now
    slot_freed: Notify,          // a slot is free again
    memory: Arc<MemoryBudget>,
    shutdown: ShutdownWatch,
}

/// A lower limit on connections for a while, after descriptors have run out.
#[derive(Clone, Copy)]
struct DescriptorShortage {
    limit: usize,
    until: Instant,
}

/// Times of the last accepts, one more than the backlog holds. Prevents requests from being taken to have waited in the backlog
/// ever since the limit was reached, when it is reached all the time because idle clients keep reconnecting.
#[derive(Default)]
struct AcceptTimes(VecDeque<Instant>);

impl AcceptTimes {
    /// Records an accept and returns since when this connection may have waited, given that some have since `full`. It arrived
    /// after the connections that the backlog holds were accepted; the kernel queues one more than the backlog says.
    fn record(&mut self, full: Option<Instant>) -> Option<Instant> {
        let many = self.0.len() > BACKLOG as usize + 1;
        let before = many.then(|| self.0.pop_front()).flatten();
        self.0.push_back(Instant::now());
        full.max(full.and(before))
    }
}

/// Binds and listens, retrying for a while if a process still holds the address. With `share_address`, another process may
/// listen on it at the same time.
pub async fn bind(address: SocketAddr, share_address: bool) -> Result<TcpListener, String> {
    let started = Instant::now();
    loop {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        };
        let bound = socket.and_then(|socket| {
            socket.set_reuseaddr(true)?;
            if share_address {
                socket.set_reuseport(true)?;
            }
            socket.bind(address)?;
            socket.listen(BACKLOG)
        });
        match bound {
            Err(error)
                if error.kind() == ErrorKind::AddrInUse && started.elapsed() < BIND_RETRY_TIME =>
            {
                sleep(RETRY_DELAY).await;
            }
            bound => return bound.map_err(|e| format!("listen on {address}: {e}")),
        }
    }
}

/// Adopts a listening socket handed over by another process.
pub fn adopt_socket(socket: std::net::TcpListener) -> Result<TcpListener, String> {
    let adopted = socket
        .set_nonblocking(true)
        .and_then(|()| TcpListener::from_std(socket));
    adopted.map_err(|e| format!("listen: {e}"))
}

/// Duplicates the listening socket's descriptor.
pub fn duplicate_socket(listener: &TcpListener) -> Result<std::net::TcpListener, String> {
    let copy = socket2::SockRef::from(listener)
        .try_clone()
        .map_err(|e| format!("listen: {e}"))?;
    Ok(copy.into())
}

impl ClientConnections {
    /// `max_open` limits open connections, `max_kept` those kept alive between commands.
    pub fn new(
        max_open: usize,
        max_kept: usize,
        memory: Arc<MemoryBudget>,
        shutdown: ShutdownWatch,
    ) -> Arc<Self> {
        Arc::new(ClientConnections {
            max_open: AtomicUsize::new(max_open),
            shortage: Mutex::new(None),
            accepting: watch::channel(true).0,
            open: AtomicUsize::new(0),
            max_kept,
            kept: AtomicUsize::new(0),
            pressure: Notify::new(),
            evictions_left: AtomicUsize::new(BACKLOG as usize),
            slot_freed: Notify::new(),
            memory,
            shutdown,
        })
    }

    /// Accepts connections, or leaves them to another process: then the open ones are closed after their next response.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.send_replace(accepting);
    }

    /// Raises the limit on open connections.
    pub fn raise_limit(&self, max_open: usize) {
        self.max_open.store(max_open, Relaxed);
        self.slot_freed.notify_one();
    }

    /// The limit on open connections as of now.
    fn limit(&self) -> usize {
        let max_open = self.max_open.load(Relaxed);
        let mut shortage = self.shortage.lock().unwrap_or_else(PoisonError::into_inner);
        *shortage = shortage.filter(|shortage| Instant::now() < shortage.until);
        shortage.map_or(max_open, |shortage| max_open.min(shortage.limit))
    }

    fn record_accept_error(&self, error: &std::io::Error) {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE | Errno::NFILE) => self.record_shortage(error),
            _ => log::warn!("accept: {error}"),
        }
    }

    /// Lowers the limit for a while after descriptors have run out. Prevents clients from holding them all while discovery,
    /// probes and relays get none.
    fn record_shortage(&self, error: &std::io::Error) {
        let limit = self
            .open
            .load(Relaxed)
            .saturating_sub(DESCRIPTOR_RESERVE)
            .max(DESCRIPTOR_RESERVE);
        let shortage = DescriptorShortage {
            limit,
            until: Instant::now() + SHORTAGE_TIME,
        };
        let previous = self
            .shortage
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .replace(shortage);
        if previous.is_none_or(|previous| previous.until < Instant::now()) {
            log::warn!(
                "accept: {error}; at most {limit} connections of clients for {SHORTAGE_TIME:?}"
            );
        }
    }

    /// Signals that slots run short, and allows some more evictions.
    fn signal_pressure(&self) {
        let more = |left: usize| (left + EVICTIONS_PER_INTERVAL).min(BACKLOG as usize);
        self.evictions_left
            .store(more(self.evictions_left.load(Relaxed)), Relaxed);
        self.pressure.notify_waiters();
    }

    /// Whether one more connection may be evicted now.
    fn take_eviction(&self) -> bool {
        self.evictions_left
            .fetch_update(Relaxed, Relaxed, |left| left.checked_sub(1))
            .is_ok()
    }

    /// Whether at most half of the connections that may be kept alive are.
    fn few_kept(&self) -> bool {
        self.kept.load(Relaxed) <= self.max_kept / 2
    }

    fn stage(&self) -> ShutdownStage {
        *self.shutdown.borrow()
    }
}

/// Accepts and serves connections until shutdown is complete.
pub async fn serve(
    listener: TcpListener,
    connections: Arc<ClientConnections>,
    handler: Arc<RequestHandler>,
    timings: watch::Receiver<Timings>,
) {
    let router = Router::new()
        .route("/healthz", get(health))
        .fallback(handle_command)
        .with_state(Arc::clone(&handler));
    let (mut shutdown, mut accepting) = (
        connections.shutdown.clone(),
        connections.accepting.subscribe(),
    );
    let mut full = None; // since when connections may wait in the backlog
    let (mut accept_times, mut pressure_ticks) =
        (AcceptTimes::default(), interval(PRESSURE_INTERVAL));
    pressure_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let count = connections.open.load(Relaxed);
        // Prevents running out of descriptors: past the limit, new connections wait in the backlog.
        let limit = connections.limit();
        let has_memory = connections.memory.may_accept();
        let below_limit = count < limit && has_memory;
        if !has_memory && full.is_none() {
            metrics::count(Counter::AcceptsWithoutMemory);
        }
        let accepts = *accepting.borrow_and_update();
        let pressed = count >= limit / 4 * 3 || !below_limit || connections.memory.is_short();
        full = full.or((!below_limit).then(Instant::now));
        tokio::select! {
            biased;
            () = stage_reached(&mut shutdown, ShutdownStage::NotAccepting) => break,
            _ = pressure_ticks.tick(), if pressed => connections.signal_pressure(),
            accepted = listener.accept(), if below_limit && accepts => match accepted {
                Ok((stream, _)) => serve_connection(stream, &router, &connections, accept_times.record(full)),
                Err(error) => {
                    connections.record_accept_error(&error);
                    sleep(RETRY_DELAY).await;
                }
            },
            // `accept` was not ready, so the backlog is empty.
            () = std::future::ready(()), if below_limit && full.is_some() => full = None,
            () = connections.slot_freed.notified(), if !below_limit => {}
            _ = accepting.changed() => {}
        }
    }
    // After a handover, the backlog belongs to the other process.
    if *accepting.borrow() {
        let serve = |stream| {
            serve_connection(stream, &router, &connections, accept_times.record(full));
        };
        accept_backlog(&listener, &connections, &mut shutdown, serve).await;
    }
    drop(listener);
    // Every open command has its response by the longest time limit.
    let all_closed = async {
        while connections.open.load(Relaxed) > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let mut expiring = shutdown.clone();
    tokio::spawn(async move {
        stage_reached(&mut expiring, ShutdownStage::Expiring).await;
        handler.expire_open_commands();
    });
    let longest = timings.borrow().max_time_limit;
    match timeout(longest + Duration::from_secs(1), all_closed).await {
        Ok(()) => log::info!("stopped: all accepted commands are answered"),
        Err(_) => log::warn!(
            "stopped with {} connections open",
            connections.open.load(Relaxed)
        ),
    }
}

/// Accepts what waits in the backlog, as far and as soon as there are slots for it. Prevents commands that clients have sent
/// from being reset unread while other commands hold all slots of a process that stops.
async fn accept_backlog(
    listener: &TcpListener,
    connections: &Arc<ClientConnections>,
    shutdown: &mut ShutdownWatch,
    mut serve: impl FnMut(TcpStream),
) {
    while *shutdown.borrow() < ShutdownStage::Expiring {
        let below_limit = connections.open.load(Relaxed) < connections.limit();
        if !below_limit || !connections.memory.may_accept() {
            tokio::select! {
                () = connections.slot_freed.notified() => {}
                () = sleep(PRESSURE_INTERVAL) => {}
                () = stage_reached(shutdown, ShutdownStage::Expiring) => {}
            }
            continue;
        }
        // Outside the runtime's budget for a task, past which `accept` is never ready.
        match unconstrained(listener.accept()).now_or_never() {
            Some(Ok((stream, _))) => serve(stream),
            Some(Err(error)) => {
                connections.record_accept_error(&error);
                sleep(RETRY_DELAY).await;
            }
            None => return,
        }
    }
}

/// Counts a connection as open, and holds its memory, until dropped.
struct OpenSlot {
    connections: Arc<ClientConnections>,
    _memory: Reservation,
}

impl OpenSlot {
    fn take(connections: &Arc<ClientConnections>) -> Self {
        connections.open.fetch_add(1, Relaxed);
        OpenSlot {
            connections: Arc::clone(connections),
            _memory: connections.memory.hold_connection(),
        }
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.connections.open.fetch_sub(1, Relaxed);
        self.connections.slot_freed.notify_one();
    }
}

/// Counts a connection as kept alive for a next command until dropped.
struct KeptSlot(Arc<ClientConnections>);

impl KeptSlot {
    /// None if enough connections are kept.
    fn try_take(connections: &Arc<ClientConnections>) -> Option<Self> {
        let available = connections.kept.load(Relaxed) < connections.max_kept;
        available.then(|| {
            connections.kept.fetch_add(1, Relaxed);
            KeptSlot(Arc::clone(connections))
        })
    }
}

impl Drop for KeptSlot {
    fn drop(&mut self) {
        self.0.kept.fetch_sub(1, Relaxed);
    }
}
