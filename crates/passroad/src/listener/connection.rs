//! One client connection: HTTP/1 served by hyper, its idle timeouts, eviction and close.

use super::response_body::ClientResponseBody;
use super::{ClientConnections, KeptSlot, OpenSlot};
use crate::flow_control::FlushCounter;
use crate::framing::{FramedStream, MAX_HEAD_BYTES, RequestFraming, SharedStream};
use crate::memory_budget::{MemoryBudget, Reservation};
use crate::metrics::{self, Counter};
use crate::send_guard::peer_closed;
use crate::shutdown::{ShutdownStage, stage_reached};
use axum::Router;
use axum::body::Body;
use axum::http::{HeaderValue, header};
use axum::response::Response;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout};
use tower_service::Service;

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
/// Sent when there is no memory for a head.
const UNAVAILABLE_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Time for the client to read a last response before the rest of its request is refused with a reset.
const LINGER_TIME: Duration = Duration::from_millis(50);
/// Idle time after which connections are evicted under pressure.
const PRESSURE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// The same for connections that have carried a command, while there are free slots.
const PRESSURE_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest idle time after which a connection is closed; also the age up to which a command counts as read right after its
/// connection was accepted.
const SHORT_IDLE_TIME: Duration = Duration::from_millis(20);
/// On closing, how long a connection that has carried a command may be idle before it is cut off.
const CLOSE_GRACE: Duration = Duration::from_millis(500);

/// State of one client's connection.
pub struct ClientConnection {
    pub framing: RequestFraming,
    pub flushes: Arc<FlushCounter>,
    stream: Weak<Mutex<TcpStream>>,
    accepted_at: Instant,
    max_backlog_wait: Duration, // longest possible wait in the backlog
    served: AtomicBool,         // a usable request has been answered
    pub(super) idle_since: Mutex<Option<Instant>>, // none while a command is open
    idle_changed: Notify,       // `idle_since` has changed
    command_memory: Mutex<Option<Reservation>>, // of the open command and its response
    awaits_last_flush: AtomicBool, // a response has been handed over and not written
}

impl ClientConnection {
    /// `max_backlog_wait` is the longest time that the connection may have waited to be accepted.
    pub fn new(
        stream: &SharedStream,
        accepted_at: Instant,
        max_backlog_wait: Duration,
        budget: Arc<MemoryBudget>,
    ) -> Self {
        ClientConnection {
            framing: RequestFraming::new(budget),
            flushes: Arc::default(),
            stream: Arc::downgrade(stream),
            accepted_at,
            max_backlog_wait,
            served: AtomicBool::new(false),
            idle_since: Mutex::new(Some(accepted_at)),
            idle_changed: Notify::new(),
            command_memory: Mutex::new(None),
            awaits_last_flush: AtomicBool::new(false),
        }
    }

    /// Holds the memory of a command until its response has been written.
    pub fn hold_command_memory(&self, memory: Reservation) {
        // Of the response before: the next flush is no end of this command.
        self.awaits_last_flush.store(false, Relaxed);
        self.set_command_memory(Some(memory));
    }

    fn set_command_memory(&self, memory: Option<Reservation>) {
        let mut held = self
            .command_memory
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *held = memory;
    }

    /// All of a response has been handed over. hyper may still buffer the end of it: the command is over with the next flush.
    pub(super) fn response_handed_over(&self) {
        self.framing.response_sent();
        self.awaits_last_flush.store(true, Relaxed);
    }

    /// Everything that was handed over has been written.
    pub fn record_flush(&self) {
        self.flushes.record();
        if self.awaits_last_flush.swap(false, Relaxed) {
            self.set_command_memory(None);
            self.set_idle_since(Some(Instant::now()));
        }
    }

    /// Whether no command has been open for at least this long. A command is open while its body comes at the minimum rate.
    fn idle_for(&self, span: Duration) -> bool {
        let now = Instant::now();
        let Some(idle_since) = self.idle_since.lock().ok().and_then(|since| *since) else {
            return false;
        };
        let active_until = self.framing.active_until(now);
        let since = active_until.map_or(idle_since, |until| until.max(idle_since));
        now.saturating_duration_since(since) >= span
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
    pub fn has_unread_input(&self) -> bool {
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

    /// Why the connection is closed: a head that can't be served comes before any other reason.
    fn close_reason(&self, reason: CloseReason, connections: &ClientConnections) -> CloseReason {
        let head_overdue = self.framing.has_partial_head()
            && self
                .head_deadline(connections)
                .is_some_and(|deadline| deadline <= Instant::now());
        match reason {
            _ if self.framing.is_over_budget() => CloseReason::WithoutMemory,
            _ if head_overdue => CloseReason::HeadOverdue,
            reason => reason,
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

/// Why a connection is closed that its client would have kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    Idle,
    Evicted,
    HeadOverdue,
    /// For a head that is still coming.
    WithoutMemory,
    Stopping,
}

impl CloseReason {
    fn record(self) {
        log::debug!("client connection is closed: {self:?}");
        metrics::count(match self {
            CloseReason::Idle => Counter::ConnectionsIdle,
            CloseReason::Evicted => Counter::ConnectionsEvicted,
            CloseReason::HeadOverdue => Counter::ConnectionsHeadOverdue,
            CloseReason::WithoutMemory => Counter::ConnectionsWithoutMemory,
            CloseReason::Stopping => Counter::ConnectionsStopped,
        });
    }

    /// Whether a request that crosses the close is still served.
    fn waits_for_requests(self) -> bool {
        !matches!(self, CloseReason::HeadOverdue | CloseReason::WithoutMemory)
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
pub(super) fn serve_connection(
    stream: TcpStream,
    router: &Router,
    connections: &Arc<ClientConnections>,
    waiting_since: Option<Instant>,
) {
    let (slot, router) = (OpenSlot::take(connections), router.clone());
    let _ = stream.set_nodelay(true);
    tokio::spawn(async move {
        let (connections, mut shutdown, accepted_at) = (
            &slot.connections,
            slot.connections.shutdown.clone(),
            Instant::now(),
        );
        let stream: SharedStream = Arc::new(Mutex::new(stream));
        let max_backlog_wait = waiting_since.map_or(Duration::ZERO, |since| since.elapsed());
        let client = Arc::new(ClientConnection::new(
            &stream,
            accepted_at,
            max_backlog_wait,
            Arc::clone(&connections.memory),
        ));
        let kept = Mutex::new(None);
        let service =
            hyper::service::service_fn(|mut request: hyper::Request<hyper::body::Incoming>| {
                request.extensions_mut().insert(Arc::clone(&client));
                kept.lock().iter_mut().for_each(|kept| **kept = None);
                let kept = &kept;
                let (response, client) = (router.clone().call(request), &client);
                async move {
                    let (response, mut slot) =
                        finish_response(response.await?, connections, client);
                    kept.lock().iter_mut().for_each(|kept| **kept = slot.take());
                    Ok::<_, std::convert::Infallible>(response)
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
                ended = &mut http_connection => break Ok(ended),
                () = evicted(connections, &client), if next_stage == ShutdownStage::Draining => {
                    // Data that has arrived is read first.
                    if !client.has_unread_input() {
                        break Err(CloseReason::Evicted);
                    }
                }
                () = client.head_overdue(connections) => break Err(CloseReason::Idle),
                () = client.framing.over_budget() => break Err(CloseReason::WithoutMemory),
                () = stage_reached(&mut shutdown, next_stage) => {
                    if next_stage == ShutdownStage::ClosingIdle {
                        break Err(CloseReason::Stopping);
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
        let ended = ended.map_err(|reason| client.close_reason(reason, connections));
        match &ended {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::debug!("client connection ended: {error:?}"),
            Err(reason) => reason.record(),
        }
        if ended
            .as_ref()
            .is_err_and(|reason| reason.waits_for_requests())
        {
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
            Err(CloseReason::WithoutMemory) => {
                write_last(&stream, UNAVAILABLE_RESPONSE);
                sleep(LINGER_TIME).await;
            }
            Err(CloseReason::HeadOverdue) => write_last(&stream, REQUEST_TIMEOUT_RESPONSE),
            Ok(Ok(())) if client.framing.expects_body() => sleep(LINGER_TIME).await,
            _ => {}
        }
    });
}

/// Writes a response to a head that isn't read any further, as far as the socket takes it.
fn write_last(stream: &SharedStream, response: &[u8]) {
    let stream = stream.lock().unwrap_or_else(PoisonError::into_inner);
    if let Err(error) = stream.try_write(response) {
        log::debug!("last response to a client: {error}");
    }
}

/// Decides whether the connection stays open after a response, and ties the response's body to the connection. Returns the slot of
/// a connection that stays open.
///
/// Prevents request smuggling behind an invalid request, or by sending before the response: the connection closes after this
/// response, and nothing more is read from it. During shutdown connections close after their response as well.
fn finish_response(
    mut response: Response,
    connections: &Arc<ClientConnections>,
    client: &Arc<ClientConnection>,
) -> (Response, Option<KeptSlot>) {
    let usable = !response.status().is_client_error();
    let keeps_serving =
        connections.stage() == ShutdownStage::Serving && *connections.accepting.borrow();
    let reusable = usable && !client.framing.must_close() && keeps_serving;
    // Prevents clients that send one command and stay connected from using up all slots with idle connections: past the limit, a
    // connection closes after its response.
    let slot = reusable.then(|| KeptSlot::try_take(connections)).flatten();
    if slot.is_none() {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    client.served.fetch_or(usable, Relaxed);
    let client = Arc::clone(client);
    let response = response.map(|body| Body::new(ClientResponseBody::new(body, client)));
    (response, slot)
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
