//! The listener for clients: accepts connections, limits their number, serves HTTP on them and closes idle ones. Requests are
//! handled in `request_handler`.

use crate::body::NotifyOnDrop;
use crate::config::Timings;
use crate::framing::{FramedStream, MAX_HEAD_BYTES, RequestFraming, SharedStream};
use crate::request_handler::{RequestHandler, handle_command, health};
use crate::send_guard::peer_closed;
use crate::shutdown::{ShutdownStage, ShutdownWatch, stage_reached};
use axum::Router;
use axum::body::Body;
use axum::http::{HeaderValue, header};
use axum::routing::get;
use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::io::Errno;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::yield_now;
use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until, timeout};
use tower_service::Service;

/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1024;
/// From a head's first byte to its last; also how long a connection is kept open without a command.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// From accepting a connection to the end of its first head, with the body if that is short. The protocol grants a complete
/// request no more time before a response is due.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);
/// How long a connection that has carried a command is kept open without one, while few are.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// hyper's own timeout for heads, a fallback behind the ones above.
const HYPER_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Sent when a head is overdue.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Time for the client to read a last response before the rest of its request is refused with a reset.
const LINGER_TIME: Duration = Duration::from_millis(50);
/// For how long binding is retried, since an old process may still be releasing the address.
const BIND_RETRY_TIME: Duration = Duration::from_secs(3);
/// Idle time after which connections are evicted under pressure.
const PRESSURE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// The same for connections that have carried a command, while there are free slots.
const PRESSURE_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest idle time after which a connection is closed; also the age up to which a command counts as read right after its
/// connection was accepted.
const SHORT_IDLE_TIME: Duration = Duration::from_millis(20);
/// On closing, how long a connection that has carried a command may be idle before it is cut off.
const CLOSE_GRACE: Duration = Duration::from_millis(500);
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
    pub fn new(max_open: usize, max_kept: usize, shutdown: ShutdownWatch) -> Arc<Self> {
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
        let (below_limit, accepts) = (count < limit, *accepting.borrow_and_update());
        full = full.or((!below_limit).then(Instant::now));
        tokio::select! {
            biased;
            () = stage_reached(&mut shutdown, ShutdownStage::NotAccepting) => break,
            _ = pressure_ticks.tick(), if count >= limit / 4 * 3 => connections.signal_pressure(),
            accepted = listener.accept(), if below_limit && accepts => match accepted {
                Ok((stream, _)) => serve_connection(stream, &router, &connections, accept_times.record(full)),
                Err(error) => {
                    match Errno::from_io_error(&error) {
                        Some(Errno::MFILE | Errno::NFILE) => connections.record_shortage(&error),
                        _ => log::warn!("accept: {error}"),
                    }
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
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            serve_connection(stream, &router, &connections, accept_times.record(full));
        }
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

/// Counts a connection as open until dropped.
struct OpenSlot(Arc<ClientConnections>);

impl OpenSlot {
    fn take(connections: &Arc<ClientConnections>) -> Self {
        connections.open.fetch_add(1, Relaxed);
        OpenSlot(Arc::clone(connections))
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Relaxed);
        self.0.slot_freed.notify_one();
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

/// State of one client's connection.
pub struct ClientConnection {
    pub framing: RequestFraming,
    stream: Weak<Mutex<TcpStream>>,
    accepted_at: Instant,
    max_backlog_wait: Duration, // longest possible wait in the backlog
    served: AtomicBool,         // a usable request has been answered
    idle_since: Mutex<Option<Instant>>, // none while a command is open
    idle_changed: Notify,       // `idle_since` has changed
}

impl ClientConnection {
    /// `max_backlog_wait` is the longest time that the connection may have waited to be accepted.
    pub fn new(stream: &SharedStream, accepted_at: Instant, max_backlog_wait: Duration) -> Self {
        ClientConnection {
            framing: RequestFraming::default(),
            stream: Arc::downgrade(stream),
            accepted_at,
            max_backlog_wait,
            served: AtomicBool::new(false),
            idle_since: Mutex::new(Some(accepted_at)),
            idle_changed: Notify::new(),
        }
    }

    /// Whether no command has been open for at least this long.
    fn idle_for(&self, span: Duration) -> bool {
        self.idle_since
            .lock()
            .is_ok_and(|since| since.is_some_and(|since| since.elapsed() >= span))
    }

    /// Sets since when no command is open; none while one is.
    pub fn set_idle_since(&self, since: Option<Instant>) {
        self.idle_since
            .lock()
            .iter_mut()
            .for_each(|idle_since| **idle_since = since);
        self.idle_changed.notify_one();
    }

    /// How long a command read now may have waited in the backlog.
    pub fn backlog_wait(&self) -> Duration {
        if self.accepted_at.elapsed() < SHORT_IDLE_TIME {
            self.max_backlog_wait
        } else {
            Duration::ZERO
        }
    }

    /// Whether the client still waits for the response to the open command. The socket is queried, since the end of the stream may
    /// have arrived and not been read yet. A client that sends data where none may come counts as gone, too.
    pub fn is_waiting(&self) -> bool {
        match self.socket_input() {
            Some(SocketInput::Empty) => !self.framing.has_early_bytes(),
            Some(SocketInput::Bytes) => self.framing.expects_body() && !self.peer_closed(),
            Some(SocketInput::Closed) | None => false,
        }
    }

    /// Whether the client has closed the connection, even with unread data before the end.
    fn peer_closed(&self) -> bool {
        let stream = self.stream.upgrade();
        stream.is_none_or(|stream| {
            peer_closed(&stream.lock().unwrap_or_else(PoisonError::into_inner))
        })
    }

    /// Whether the socket has unread data.
    fn has_unread_input(&self) -> bool {
        self.socket_input() == Some(SocketInput::Bytes)
    }

    fn socket_input(&self) -> Option<SocketInput> {
        let stream = self.stream.upgrade()?;
        let stream = stream.lock().unwrap_or_else(PoisonError::into_inner);
        Some(peek_socket(&stream))
    }

    /// Least time that the rest of a request is given.
    pub fn min_read_time(&self) -> Duration {
        FIRST_REQUEST_TIMEOUT.saturating_sub(self.accepted_at.elapsed())
    }

    /// When a complete head is due, or the connection is closed for idleness; none while a request is open.
    fn head_deadline(&self, connections: &ClientConnections) -> Option<Instant> {
        let idle_since = self.idle_since.lock().ok().and_then(|since| *since)?;
        match self.framing.awaiting_head()? {
            // Prevents a first head that starts late and takes long from delaying the 408 response, which is due in time.
            Some(since) if idle_since == self.accepted_at => {
                Some((since + HEAD_TIMEOUT).min(self.accepted_at + FIRST_REQUEST_TIMEOUT))
            }
            Some(since) => Some(since + HEAD_TIMEOUT),
            // Prevents a close that races with the client's next request, which is likely where commands are rare and the
            // process waits for a core. Used connections are therefore kept well past the usual pause between commands.
            None if self.served.load(Relaxed) && connections.few_kept() => {
                Some(idle_since + KEEP_ALIVE_TIMEOUT)
            }
            None => Some(idle_since + HEAD_TIMEOUT),
        }
    }

    /// Completes when a head is overdue or the connection has been idle for too long. Prevents closing a connection on which a
    /// command has arrived and not been read yet: other tasks run once more, and the deadline is checked again.
    async fn head_overdue(&self, connections: &ClientConnections) {
        let mut rechecked = false;
        loop {
            match self.head_deadline(connections) {
                Some(deadline) if deadline <= Instant::now() && rechecked => return,
                Some(deadline) if deadline <= Instant::now() => {
                    rechecked = true;
                    yield_now().await;
                }
                // The deadline may have moved by then: a head has begun, or a command is open.
                Some(deadline) => {
                    rechecked = false;
                    // More connections may be kept by then, which shortens the deadline.
                    sleep_until(deadline.min(Instant::now() + HEAD_TIMEOUT).into()).await;
                }
                None => {
                    rechecked = false;
                    self.idle_changed.notified().await;
                }
            }
        }
    }
}

/// Unread input of a socket, as the kernel has it now; the last read may be older.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketInput {
    Empty,
    Bytes,
    Closed,
}

/// Peeks at a socket without reading from it.
pub fn peek_socket(stream: &TcpStream) -> SocketInput {
    match socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(0) => SocketInput::Closed,
        Ok(_) => SocketInput::Bytes,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            SocketInput::Empty
        }
        Err(_) => SocketInput::Closed,
    }
}

/// Serves HTTP on a connection until it is closed. `waiting_since` is since when it may have waited in the backlog.
fn serve_connection(
    stream: TcpStream,
    router: &Router,
    connections: &Arc<ClientConnections>,
    waiting_since: Option<Instant>,
) {
    let (slot, router) = (OpenSlot::take(connections), router.clone());
    let _ = stream.set_nodelay(true);
    tokio::spawn(async move {
        let (connections, mut shutdown, accepted_at) =
            (&slot.0, slot.0.shutdown.clone(), Instant::now());
        let stream: SharedStream = Arc::new(Mutex::new(stream));
        let max_backlog_wait = waiting_since.map_or(Duration::ZERO, |since| since.elapsed());
        let client = Arc::new(ClientConnection::new(
            &stream,
            accepted_at,
            max_backlog_wait,
        ));
        let kept = Mutex::new(None);
        let service =
            hyper::service::service_fn(|mut request: hyper::Request<hyper::body::Incoming>| {
                request.extensions_mut().insert(Arc::clone(&client));
                kept.lock().iter_mut().for_each(|kept| **kept = None);
                let kept = &kept;
                let (response, client) = (router.clone().call(request), &client);
                async move {
                    let mut response = response.await?;
                    // Prevents request smuggling behind an invalid request, or by sending before the response: the
                    // connection closes after this response, and nothing more is read from it. During shutdown
                    // connections close after their response as well.
                    let usable = !response.status().is_client_error();
                    let accepting = connections.stage() == ShutdownStage::Serving
                        && *connections.accepting.borrow();
                    let reusable = usable && !client.framing.must_close() && accepting;
                    // Prevents clients that send one command and stay connected from using up all slots with idle
                    // connections: past the limit, a connection closes after its response.
                    let mut slot = reusable.then(|| KeptSlot::try_take(connections)).flatten();
                    if slot.is_none() {
                        response
                            .headers_mut()
                            .insert(header::CONNECTION, HeaderValue::from_static("close"));
                    }
                    kept.lock().iter_mut().for_each(|kept| **kept = slot.take());
                    client.served.fetch_or(usable, Relaxed);
                    let client = Arc::clone(client);
                    // Prevents a client that reads its response slowly from counting as idle.
                    let on_drop = move || {
                        client.framing.response_sent();
                        client.set_idle_since(Some(Instant::now()));
                    };
                    let notifying = |body| {
                        Body::new(NotifyOnDrop {
                            body,
                            on_drop: Some(on_drop),
                        })
                    };
                    Ok::<_, std::convert::Infallible>(response.map(notifying))
                }
            });
        let mut http_connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HYPER_HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(
                TokioIo::new(FramedStream {
                    stream,
                    connection: Arc::clone(&client),
                }),
                service,
            );
        let mut next_stage = ShutdownStage::Draining;
        let ended = loop {
            tokio::select! {
                biased;
                ended = &mut http_connection => break Some(ended),
                () = evicted(connections, &client), if next_stage == ShutdownStage::Draining => {
                    // Data that has arrived is read first.
                    if !client.has_unread_input() {
                        break None;
                    }
                }
                () = client.head_overdue(connections) => break None,
                () = stage_reached(&mut shutdown, next_stage) => {
                    if next_stage == ShutdownStage::ClosingIdle {
                        break None;
                    }
                    next_stage = ShutdownStage::ClosingIdle;
                    // A connection that carried no command yet may have its first one on the way, and another may have
                    // its next: then the response closes the connection.
                    let sending = client.framing.has_partial_head() || client.has_unread_input();
                    if client.served.load(Relaxed) && !sending {
                        Pin::new(&mut http_connection).graceful_shutdown();
                    }
                }
            }
        };
        let head_overdue = ended.is_none()
            && client.framing.has_partial_head()
            && client
                .head_deadline(connections)
                .is_some_and(|deadline| deadline <= Instant::now());
        if ended.is_none() && !head_overdue {
            Pin::new(&mut http_connection).graceful_shutdown();
            // Only a client that stops in the middle of a request, or doesn't read its response, is cut off.
            let grace = if client.served.load(Relaxed) {
                CLOSE_GRACE
            } else {
                SHORT_IDLE_TIME
            };
            let active = || !client.idle_for(grace) || client.has_unread_input();
            while timeout(grace, &mut http_connection).await.is_err() && active() {}
        }
        let stream = http_connection.into_parts().io.into_inner().stream;
        match ended {
            None if head_overdue => drop(
                stream
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .try_write(REQUEST_TIMEOUT_RESPONSE),
            ),
            Some(Ok(())) if client.framing.expects_body() => sleep(LINGER_TIME).await,
            _ => {}
        }
    });
}

/// Completes when a connection is to be evicted. Prevents slow or abandoned clients from holding all slots: when slots run short,
/// connections that have been idle for a while are evicted, and sooner when none is left. One that never carried a usable request
/// goes before one that did.
async fn evicted(connections: &ClientConnections, client: &ClientConnection) {
    loop {
        connections.pressure.notified().await;
        let none_left = connections.open.load(Relaxed) >= connections.limit();
        let span = match (none_left, client.served.load(Relaxed)) {
            (true, false) => SHORT_IDLE_TIME,
            (true, true) | (false, false) => PRESSURE_IDLE_TIMEOUT,
            (false, true) => PRESSURE_KEEP_ALIVE_TIMEOUT,
        };
        if client.idle_for(span) && connections.take_eviction() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
