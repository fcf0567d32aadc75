//! The connections of clients: let in, watched, given back. What comes over them is read in `intake`.

use crate::body::NotifyOnDrop;
use crate::framing::{FramedStream, MAX_HEAD_BYTES, RequestFraming, SharedStream};
use crate::request_handler::{RequestHandler, handle_command, health};
use crate::send_guard::peer_closed;
use crate::start::Pace;
use crate::stop::{Stage, Stages, reached};
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

const BACKLOG: u32 = 1024;
/// From a head's first byte to its last: also how long a connection with nothing open is kept.
const HEAD_WITHIN: Duration = Duration::from_millis(2200);
/// The same for the first of a connection, with its body if that is short; a whole call is owed no more before.
const FIRST_WITHIN: Duration = Duration::from_millis(2800);
/// How long a connection that was of use is kept with nothing open, as long as few are.
const KEPT_WITHIN: Duration = Duration::from_secs(10);
const LIBRARY_WITHIN: Duration = Duration::from_secs(30); // the library's own clock for heads, behind these
const TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const LINGER: Duration = Duration::from_millis(50); // for a last answer to be read before what still comes is refused
const ADDRESS_WITHIN: Duration = Duration::from_secs(3); // a process before this one may be ending
const QUIET_IN_CROWD: Duration = Duration::from_millis(100);
const KEPT_IN_CROWD: Duration = Duration::from_millis(500);
const AT_ONCE: Duration = Duration::from_millis(20);
const LAST_WORDS: Duration = Duration::from_millis(500);
const CROWD_EVERY: Duration = Duration::from_millis(10);
/// Of a crowd, connections given up each time, once as many have gone as can wait outside: whoever waits there is reached
/// within 0.4 s. Guards against a core used up by clients that come again as soon as they are closed.
const CROWD_STEP: usize = BACKLOG as usize / 40;
const TRIES_APART: Duration = Duration::from_millis(20); // to accept, after a failure
/// Descriptors that are left to the rest of the process once they have run out, and for how long clients hold no more.
const RESERVE: usize = 16;
const SHORT_FOR: Duration = Duration::from_secs(10);

pub struct ClientConnections {
    most: AtomicUsize,           // connections of clients
    short: Mutex<Option<Short>>, // descriptors have run out lately
    taking: watch::Sender<bool>, // no longer once another process does
    open: AtomicUsize,
    most_kept: usize, // of those, kept for a next command
    kept: AtomicUsize,
    crowd: Notify,       // others wait to get in
    may_go: AtomicUsize, // of a crowd
    left: Notify,        // a place is free again
    stages: Stages,
}

#[derive(Clone, Copy)]
struct Short {
    most: usize,
    until: Instant,
}

/// When connections were accepted, as many as the backlog can hold and one more. Guards against requests taken to have waited
/// for as long as there was no room, where that is always so as idle clients come again and again.
#[derive(Default)]
struct Accepted(VecDeque<Instant>);

impl Accepted {
    /// One more, while some have waited in the backlog since `full`: since when it may have itself. It came after those that
    /// the backlog can hold before it; the system lets one more wait than it was told.
    fn waits_since(&mut self, full: Option<Instant>) -> Option<Instant> {
        let many = self.0.len() > BACKLOG as usize + 1;
        let before = many.then(|| self.0.pop_front()).flatten();
        self.0.push_back(Instant::now());
        full.max(full.and(before))
    }
}

/// Listens; waits a little for a process that still has the address.
/// With `beside`, another process may have the address, too.
pub async fn bind(at: SocketAddr, beside: bool) -> Result<TcpListener, String> {
    let began = Instant::now();
    loop {
        let socket = if at.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        };
        let bound = socket.and_then(|socket| {
            socket.set_reuseaddr(true)?;
            if beside {
                socket.set_reuseport(true)?;
            }
            socket.bind(at)?;
            socket.listen(BACKLOG)
        });
        match bound {
            Err(fault)
                if fault.kind() == ErrorKind::AddrInUse && began.elapsed() < ADDRESS_WITHIN =>
            {
                sleep(TRIES_APART).await;
            }
            bound => return bound.map_err(|e| format!("listen on {at}: {e}")),
        }
    }
}

/// The socket that another process listens on, too.
pub fn adopt_socket(socket: std::net::TcpListener) -> Result<TcpListener, String> {
    let adopted = socket
        .set_nonblocking(true)
        .and_then(|()| TcpListener::from_std(socket));
    adopted.map_err(|e| format!("listen: {e}"))
}

/// The same socket once more.
pub fn duplicate_socket(listener: &TcpListener) -> Result<std::net::TcpListener, String> {
    let copy = socket2::SockRef::from(listener)
        .try_clone()
        .map_err(|e| format!("listen: {e}"))?;
    Ok(copy.into())
}

impl ClientConnections {
    pub fn new(most: usize, most_kept: usize, stages: Stages) -> Arc<Self> {
        Arc::new(ClientConnections {
            most: AtomicUsize::new(most),
            short: Mutex::new(None),
            taking: watch::channel(true).0,
            open: AtomicUsize::new(0),
            most_kept,
            kept: AtomicUsize::new(0),
            crowd: Notify::new(),
            may_go: AtomicUsize::new(BACKLOG as usize),
            left: Notify::new(),
            stages,
        })
    }

    /// Takes connections, or leaves them to another process: those that there are end with their next answer.
    pub fn set_accepting(&self, taking: bool) {
        self.taking.send_replace(taking);
    }

    pub fn raise_limit(&self, most: usize) {
        self.most.store(most, Relaxed);
        self.left.notify_one();
    }

    fn most(&self) -> usize {
        let most = self.most.load(Relaxed);
        let mut short = self.short.lock().unwrap_or_else(PoisonError::into_inner);
        *short = short.filter(|short| Instant::now() < short.until);
        short.map_or(most, |short| most.min(short.most))
    }

    /// Descriptors have run out, whoever holds them. Guards against clients that hold them all while discovery, probes and
    /// attempts have none: for a while there are fewer of them than came in.
    fn runs_short(&self, fault: &std::io::Error) {
        let most = self.open.load(Relaxed).saturating_sub(RESERVE).max(RESERVE);
        let short = Short {
            most,
            until: Instant::now() + SHORT_FOR,
        };
        let before = self
            .short
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .replace(short);
        if before.is_none_or(|before| before.until < Instant::now()) {
            log::warn!("accept: {fault}; at most {most} connections of clients for {SHORT_FOR:?}");
        }
    }

    /// Others wait to get in.
    fn crowds(&self) {
        let more = |may: usize| (may + CROWD_STEP).min(BACKLOG as usize);
        self.may_go.store(more(self.may_go.load(Relaxed)), Relaxed);
        self.crowd.notify_waiters();
    }

    /// Whether one more of a crowd may be given up now.
    fn one_goes(&self) -> bool {
        self.may_go
            .fetch_update(Relaxed, Relaxed, |may| may.checked_sub(1))
            .is_ok()
    }

    fn few_kept(&self) -> bool {
        self.kept.load(Relaxed) <= self.most_kept / 2
    }

    fn stage(&self) -> Stage {
        *self.stages.borrow()
    }
}

/// Accepts and serves until the stop is through.
pub async fn serve(
    listener: TcpListener,
    front: Arc<ClientConnections>,
    intake: Arc<RequestHandler>,
    paces: watch::Receiver<Pace>,
) {
    let router = Router::new()
        .route("/healthz", get(health))
        .fallback(handle_command)
        .with_state(Arc::clone(&intake));
    let (mut stages, mut taking) = (front.stages.clone(), front.taking.subscribe());
    let mut full = None; // since when some may wait in the backlog
    let (mut accepted, mut crowds) = (Accepted::default(), interval(CROWD_EVERY));
    crowds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let count = front.open.load(Relaxed);
        // Guards against running out of descriptors: past the limit new connections wait in the backlog.
        let most = front.most();
        let (room, takes) = (count < most, *taking.borrow_and_update());
        full = full.or((!room).then(Instant::now));
        tokio::select! {
            biased;
            () = reached(&mut stages, Stage::Closed) => break,
            _ = crowds.tick(), if count >= most / 4 * 3 => front.crowds(),
            came = listener.accept(), if room && takes => match came {
                Ok((stream, _)) => open(stream, &router, &front, accepted.waits_since(full)),
                Err(fault) => {
                    match Errno::from_io_error(&fault) {
                        Some(Errno::MFILE | Errno::NFILE) => front.runs_short(&fault),
                        _ => log::warn!("accept: {fault}"),
                    }
                    sleep(TRIES_APART).await;
                }
            },
            // Whoever waited is in.
            () = std::future::ready(()), if room && full.is_some() => full = None,
            () = front.left.notified(), if !room => {}
            _ = taking.changed() => {}
        }
    }
    // What waits is the other process's where there is one.
    if *taking.borrow() {
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            open(stream, &router, &front, accepted.waits_since(full));
        }
    }
    drop(listener);
    // Whoever is left has an answer by the longest limit.
    let all_closed = async {
        while front.open.load(Relaxed) > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let mut over = stages.clone();
    tokio::spawn(async move {
        reached(&mut over, Stage::Over).await;
        intake.expire_open_commands();
    });
    let longest = paces.borrow().longest;
    match timeout(longest + Duration::from_secs(1), all_closed).await {
        Ok(()) => log::info!("stopped: all that was taken is answered"),
        Err(_) => log::warn!("stopped with {} connections open", front.open.load(Relaxed)),
    }
}

/// Counts a connection for as long as it is open.
struct Place(Arc<ClientConnections>);

impl Place {
    fn take(front: &Arc<ClientConnections>) -> Self {
        front.open.fetch_add(1, Relaxed);
        Place(Arc::clone(front))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Relaxed);
        self.0.left.notify_one();
    }
}

/// Counts a connection for as long as it is kept for a next command.
struct Kept(Arc<ClientConnections>);

impl Kept {
    /// None where enough are kept.
    fn one_more(front: &Arc<ClientConnections>) -> Option<Self> {
        let few = front.kept.load(Relaxed) < front.most_kept;
        few.then(|| {
            front.kept.fetch_add(1, Relaxed);
            Kept(Arc::clone(front))
        })
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.0.kept.fetch_sub(1, Relaxed);
    }
}

/// What is known of a connection's client.
pub struct ClientConnection {
    pub framing: RequestFraming,
    stream: Weak<Mutex<TcpStream>>,
    came: Instant,
    waited: Duration,              // outside, at most
    answered: AtomicBool,          // once at least, and not for something that can't be used
    quiet: Mutex<Option<Instant>>, // since when there is nothing to answer; none while a command is in hand
    turned: Notify,                // that has changed
}

impl ClientConnection {
    pub fn new(stream: &SharedStream, came: Instant, waited: Duration) -> Self {
        ClientConnection {
            framing: RequestFraming::default(),
            stream: Arc::downgrade(stream),
            came,
            waited,
            answered: AtomicBool::new(false),
            quiet: Mutex::new(Some(came)),
            turned: Notify::new(),
        }
    }

    fn quiet_for(&self, span: Duration) -> bool {
        self.quiet
            .lock()
            .is_ok_and(|since| since.is_some_and(|at| at.elapsed() >= span))
    }

    pub fn set_idle_since(&self, since: Option<Instant>) {
        self.quiet
            .lock()
            .iter_mut()
            .for_each(|quiet| **quiet = since);
        self.turned.notify_one();
    }

    /// How long a command read now may have waited for its connection to be let in.
    pub fn backlog_wait(&self) -> Duration {
        if self.came.elapsed() < AT_ONCE {
            self.waited
        } else {
            Duration::ZERO
        }
    }

    /// Whether the client of the command in hand still waits for its answer. The system is asked: the end of a connection
    /// may have come that nobody has read yet. What comes where nothing is due is the end of it, too.
    pub fn is_waiting(&self) -> bool {
        match self.socket_input() {
            Some(SocketInput::Empty) => !self.framing.has_early_bytes(),
            Some(SocketInput::Bytes) => self.framing.expects_body() && !self.peer_closed(),
            Some(SocketInput::Closed) | None => false,
        }
    }

    /// Whether the client has gone, behind bytes that nobody has read.
    fn peer_closed(&self) -> bool {
        let stream = self.stream.upgrade();
        stream.is_none_or(|stream| {
            peer_closed(&stream.lock().unwrap_or_else(PoisonError::into_inner))
        })
    }

    /// Whether something lies there that nobody has read.
    fn unread(&self) -> bool {
        self.socket_input() == Some(SocketInput::Bytes)
    }

    fn socket_input(&self) -> Option<SocketInput> {
        let stream = self.stream.upgrade()?;
        let stream = stream.lock().unwrap_or_else(PoisonError::into_inner);
        Some(peek_socket(&stream))
    }

    /// How long the rest of a request may take at least.
    pub fn min_read_time(&self) -> Duration {
        FIRST_WITHIN.saturating_sub(self.came.elapsed())
    }

    /// When there is to be a whole head; none while there is one.
    fn due(&self, front: &ClientConnections) -> Option<Instant> {
        let quiet = self.quiet.lock().ok().and_then(|since| *since)?;
        match self.framing.awaiting_head()? {
            // Guards against one that begins late and goes on for long: its client is owed a word in time.
            Some(since) if quiet == self.came => {
                Some((since + HEAD_WITHIN).min(self.came + FIRST_WITHIN))
            }
            Some(since) => Some(since + HEAD_WITHIN),
            // Guards against an end that crosses what a client writes: where few come and the process waits for its core
            // there is time for that. So those that were of use are kept well past the usual pause between commands.
            None if self.answered.load(Relaxed) && front.few_kept() => Some(quiet + KEPT_WITHIN),
            None => Some(quiet + HEAD_WITHIN),
        }
    }

    /// Ends when a head has not come in time, or nothing has come for long. Guards against a connection that is ended
    /// though a command has come over it that is not read yet: what the system holds is looked at once more before.
    async fn late(&self, front: &ClientConnections) {
        let mut looked = false;
        loop {
            match self.due(front) {
                Some(at) if at <= Instant::now() && looked => return,
                Some(at) if at <= Instant::now() => {
                    looked = true;
                    yield_now().await;
                }
                // It may be later by then: a head has begun, or a command is in hand.
                Some(at) => {
                    looked = false;
                    // More may be kept by then.
                    sleep_until(at.min(Instant::now() + HEAD_WITHIN).into()).await;
                }
                None => {
                    looked = false;
                    self.turned.notified().await;
                }
            }
        }
    }
}

/// What the system holds of a connection that nobody has read, as it is now: what was last heard of it may be older.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketInput {
    Empty,
    Bytes,
    Closed,
}

pub fn peek_socket(stream: &TcpStream) -> SocketInput {
    match socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(0) => SocketInput::Closed,
        Ok(_) => SocketInput::Bytes,
        Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            SocketInput::Empty
        }
        Err(_) => SocketInput::Closed,
    }
}

fn open(stream: TcpStream, router: &Router, front: &Arc<ClientConnections>, full: Option<Instant>) {
    let (place, router) = (Place::take(front), router.clone());
    let _ = stream.set_nodelay(true);
    tokio::spawn(async move {
        let (front, mut stages, came) = (&place.0, place.0.stages.clone(), Instant::now());
        let stream: SharedStream = Arc::new(Mutex::new(stream));
        let waited = full.map_or(Duration::ZERO, |since| since.elapsed());
        let talk = Arc::new(ClientConnection::new(&stream, came, waited));
        let kept = Mutex::new(None);
        let service =
            hyper::service::service_fn(|mut request: hyper::Request<hyper::body::Incoming>| {
                request.extensions_mut().insert(Arc::clone(&talk));
                kept.lock().iter_mut().for_each(|kept| **kept = None);
                let kept = &kept;
                let (answer, talk) = (router.clone().call(request), &talk);
                async move {
                    let mut answer = answer.await?;
                    // Guards against what is hidden behind a request that can't be used, or comes before its turn: the
                    // connection ends with this answer, and nothing more is read from it. So it does while the
                    // sidecar stops.
                    let usable = !answer.status().is_client_error();
                    let stays = front.stage() == Stage::Serving && *front.taking.borrow();
                    let on = usable && !talk.framing.must_close() && stays;
                    // Guards against clients that ask once and stay: what they may hold is soon taken up by connections
                    // that nobody uses. Past half of it each goes with its answer.
                    let mut keep = on.then(|| Kept::one_more(front)).flatten();
                    if keep.is_none() {
                        answer
                            .headers_mut()
                            .insert(header::CONNECTION, HeaderValue::from_static("close"));
                    }
                    kept.lock().iter_mut().for_each(|kept| **kept = keep.take());
                    talk.answered.fetch_or(usable, Relaxed);
                    let talk = Arc::clone(talk);
                    // Guards against a client that reads slowly taken for one that says nothing.
                    let then = move || {
                        talk.framing.response_sent();
                        talk.set_idle_since(Some(Instant::now()));
                    };
                    let passing = |body| {
                        Body::new(NotifyOnDrop {
                            body,
                            then: Some(then),
                        })
                    };
                    Ok::<_, std::convert::Infallible>(answer.map(passing))
                }
            });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(LIBRARY_WITHIN)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(
                TokioIo::new(FramedStream {
                    stream,
                    talk: Arc::clone(&talk),
                }),
                service,
            );
        let mut next = Stage::Leaving;
        let ended = loop {
            tokio::select! {
                biased;
                ended = &mut connection => break Some(ended),
                () = crowded_out(front, &talk), if next == Stage::Leaving => {
                    // What has come is read first.
                    if !talk.unread() {
                        break None;
                    }
                }
                () = talk.late(front) => break None,
                () = reached(&mut stages, next) => {
                    if next == Stage::Ending {
                        break None;
                    }
                    next = Stage::Ending;
                    // One that was never answered may have its first command on the way, another its next: its answer ends
                    // the connection.
                    let sends = talk.framing.has_partial_head() || talk.unread();
                    if talk.answered.load(Relaxed) && !sends {
                        Pin::new(&mut connection).graceful_shutdown();
                    }
                }
            }
        };
        let late = ended.is_none()
            && talk.framing.has_partial_head()
            && talk.due(front).is_some_and(|at| at <= Instant::now());
        if ended.is_none() && !late {
            Pin::new(&mut connection).graceful_shutdown();
            // Only a client that is quiet in the middle of a request, or does not read its answer, is cut off.
            let patience = if talk.answered.load(Relaxed) {
                LAST_WORDS
            } else {
                AT_ONCE
            };
            let stays = || !talk.quiet_for(patience) || talk.unread();
            while timeout(patience, &mut connection).await.is_err() && stays() {}
        }
        let stream = connection.into_parts().io.into_inner().stream;
        match ended {
            None if late => drop(
                stream
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .try_write(TOO_SLOW),
            ),
            Some(Ok(())) if talk.framing.expects_body() => sleep(LINGER).await,
            _ => {}
        }
    });
}

/// Guards against slow or forgotten clients that hold all there is: where places run short a connection that has
/// been quiet for a while is given up, where there are none after a moment; one on which nothing useful ever came
/// goes sooner than one that has had an answer.
async fn crowded_out(front: &ClientConnections, talk: &ClientConnection) {
    loop {
        front.crowd.notified().await;
        let none_left = front.open.load(Relaxed) >= front.most();
        let span = match (none_left, talk.answered.load(Relaxed)) {
            (true, false) => AT_ONCE,
            (true, true) | (false, false) => QUIET_IN_CROWD,
            (false, true) => KEPT_IN_CROWD,
        };
        if talk.quiet_for(span) && front.one_goes() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
