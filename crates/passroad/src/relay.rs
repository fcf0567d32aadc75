//! One relay to one endpoint, and the connections that relays and probes go over.

use crate::body::{
    MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES, RelayBody, StreamedResponse, StreamedUpload,
};
use crate::listener::{SocketInput, peek_socket};
use crate::send_guard::{SendBlocked, SendGuard};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::{Uri, request};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::connect::{
    CaptureConnection, Connected, Connection, HttpConnector,
};
use hyper_util::client::legacy::{self, connect::capture_connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use passroad_choice::{LoadReport, Outcome};
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::{Instant, Sleep};
use tokio_util::sync::CancellationToken;

const HELD_BACK: usize = 8; // connections that a process which gives way may open
const MOST_IDLE: usize = 16; // connections kept to one endpoint
/// Of the time after which endpoints close: the pool looks once in so long, so none stays for twice that.
const IDLE_SHARE: f64 = 0.45;
const MAX_HEAD_BYTES: usize = 32 << 10; // of an answer, and what is buffered at once
const LONGEST_AHEAD: usize = 4 * MAX_HEAD_BYTES; // of all that comes until its head is read
/// An endpoint writes an answer at once: one that stops halfway for so long is spoilt.
const STALL: Duration = Duration::from_millis(100);
/// A connection rests behind an answer, so that what does not belong there shows before the next command is sent.
const REST: Duration = Duration::from_millis(1);
/// The same where an answer was spoilt lately. STANDING, `join+mass`: a second answer may come some milliseconds late; up to 4 ms
/// were seen.
const LONG_REST: Duration = Duration::from_millis(5);
const LATELY: Duration = Duration::from_secs(60);
/// An answer of no stated length that is this old is passed on as it comes: only its end would tell how long it is.
const MOMENT: Duration = Duration::from_millis(10);
const ID: HeaderName = HeaderName::from_static("req-id");
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const MARK: HeaderName = HeaderName::from_static("req-deadline-ms");
const LOAD: &str = "srv-load";
const BEHIND: &str = "something came behind an answer";
const NEVER_RAN: &str = "srv-declined";

pub type PooledClient = legacy::Client<Dialer, RelayBody>;
type Fault = Box<dyn Error + Send + Sync>;

/// Where an endpoint listens and the connections kept to it; they close with the last clone.
#[derive(Clone)]
pub struct EndpointPool {
    pub address: SocketAddr,
    pub client: PooledClient,
    dialer: Dialer,
    users: Arc<()>,
    /// Turns when the endpoint is no longer as it was when this was handed out.
    pub invalidated: CancellationToken,
}

impl EndpointPool {
    pub fn new(address: SocketAddr, dialer: &Dialer) -> Self {
        let (client, dialer) = (dialer.new_client(), dialer.clone());
        EndpointPool {
            address,
            client,
            dialer,
            users: Arc::default(),
            invalidated: CancellationToken::new(),
        }
    }

    /// In place of this one, with connections of its own; what is out counts on.
    pub fn replace(&mut self, address: SocketAddr) -> Self {
        self.cancel_unsent();
        let users = Arc::clone(&self.users);
        EndpointPool {
            users,
            ..EndpointPool::new(address, &self.dialer)
        }
    }

    /// What has not sent its first byte yet does not send it.
    pub fn cancel_unsent(&mut self) {
        std::mem::take(&mut self.invalidated).cancel();
    }

    /// Whether nobody else has a clone.
    pub fn is_unused(&self) -> bool {
        Arc::strong_count(&self.users) == 1
    }
}

/// What a relay or a probe came to.
pub struct ExchangeResult {
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    pub response: Option<Response<RelayBody>>,
}

impl From<SendBlocked> for ExchangeResult {
    fn from(barred: SendBlocked) -> Self {
        ExchangeResult::from(match barred {
            SendBlocked::CommandFinished | SendBlocked::ClientGone => Outcome::Cancelled,
            SendBlocked::EndpointChanged | SendBlocked::TooLate => Outcome::NotSent,
        })
    }
}

impl From<Outcome> for ExchangeResult {
    fn from(outcome: Outcome) -> Self {
        ExchangeResult {
            outcome,
            report: None,
            response: None,
        }
    }
}

/// The parts of a command that go on to an endpoint, as they came. No other header does: an odd one could spoil a
/// connection that others use.
pub struct CommandRequest {
    method: hyper::Method,
    target: String,
    pub id: HeaderValue,
    key: Option<HeaderValue>, // by which endpoints drop a repeat
    body: Bytes,
    upload: Option<Arc<StreamedUpload>>, // in place of it, if it is long
    _room: Option<OwnedSemaphorePermit>, // of a long body
}

impl CommandRequest {
    pub fn new(
        parts: request::Parts,
        body: Bytes,
        room: Option<OwnedSemaphorePermit>,
    ) -> Option<Self> {
        let target = parts
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_string();
        let (id, key) = (
            parts.headers.get(ID)?.clone(),
            parts.headers.get(IDEMPOTENCY_KEY).cloned(),
        );
        Some(CommandRequest {
            method: parts.method,
            target,
            id,
            key,
            body,
            upload: None,
            _room: room,
        })
    }

    /// The same with a body that still comes.
    pub fn with_upload(self, upload: Arc<StreamedUpload>) -> Self {
        CommandRequest {
            upload: Some(upload),
            ..self
        }
    }

    pub fn upload(&self) -> Option<&Arc<StreamedUpload>> {
        self.upload.as_ref()
    }

    /// A length that it surely has on the wire; none as long as that is not known.
    fn least(&self) -> Option<usize> {
        let body = self
            .upload
            .as_ref()
            .map_or(Some(self.body.len()), |upload| upload.complete_len());
        body.map(|body| self.target.len() + body)
    }

    /// None if it can't be sent, or not once more.
    fn request(&self, to: SocketAddr, within: Duration) -> Option<Request<RelayBody>> {
        let uri: Uri = format!("http://{to}{}", self.target).parse().ok()?;
        let load = match &self.upload {
            None => self.body.clone().into(),
            Some(upload) if !upload.is_partly_sent() => RelayBody::Upload(Arc::clone(upload)),
            Some(_) => return None,
        };
        let mut request = Request::new(load);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        let left = (within.as_millis() as u64).max(1);
        request.headers_mut().insert(ID, self.id.clone());
        // Guards against a receipted command that its endpoint can't tell from a new one.
        self.key
            .iter()
            .for_each(|key| drop(request.headers_mut().insert(IDEMPOTENCY_KEY, key.clone())));
        request.headers_mut().insert(MARK, left.into());
        Some(request)
    }
}

/// Headers that speak of one connection only stay behind.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .flat_map(|v| v.to_str().unwrap_or_default().split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let always = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in named.iter().chain(&always) {
        headers.remove(name);
    }
    headers
}

/// Sends a command to an endpoint and waits for its whole answer. Ends early on recall: what it holds is
/// dropped, and that closes its connection.
pub async fn run(
    link: EndpointPool,
    cargo: Arc<CommandRequest>,
    look: Arc<SendGuard>,
    within: Duration,
    recall: oneshot::Receiver<()>,
) -> ExchangeResult {
    // A connection of its own for a long body: a kept one that is of no use would have taken a part of it.
    let client = cargo
        .upload()
        .map_or_else(|| link.client.clone(), |_| link.dialer.new_client());
    let exchanged = async {
        // A kept connection that turns out to be of no use has taken nothing: the next one, or a new one, does.
        loop {
            if let Some(barred) = look.check() {
                return barred.into();
            }
            let Some(request) = cargo.request(link.address, within) else {
                return Outcome::NotSent.into();
            };
            let mut ended = exchange(&client, request, &|| cargo.least(), Some(&look)).await;
            // An answer that can't be read, as against one that says it is an error.
            if ended.outcome == Outcome::Error && ended.response.is_none() {
                link.dialer.spoilt.note();
            }
            if let Some(RelayBody::Streamed(long)) =
                ended.response.as_mut().map(hyper::Response::body_mut)
            {
                long.link = Some(link.clone());
            }
            if cargo
                .upload()
                .is_some_and(|upload| upload.failure().is_some())
            {
                return Outcome::NotSent.into();
            }
            if ended.outcome != Outcome::NotSent {
                return ended;
            }
        }
    };
    tokio::select! {
        // Guards against a connection that comes up while the process stands still: past the time nothing goes out.
        biased;
        _ = recall => Outcome::Cancelled.into(),
        // Guards against a wait for a connection that nobody needs any more, where relays must not be recalled.
        barred = look.cancelled_before_start() => barred.into(),
        () = over(&cargo, within) => match look.has_started() {
            true => Outcome::TimedOut.into(),
            false => Outcome::ConnectFailed.into(),
        },
        // Not all of it was taken: it never ran.
        () = stuck(&cargo) => Outcome::ConnectFailed.into(),
        ended = exchanged => ended,
    }
}

/// Its time runs from when all of it has come.
async fn over(cargo: &CommandRequest, within: Duration) {
    if let Some(upload) = cargo.upload() {
        upload.completed().await;
    }
    tokio::time::sleep(within).await;
}

async fn stuck(cargo: &CommandRequest) {
    match cargo.upload() {
        Some(upload) => upload.stalled().await,
        None => std::future::pending().await,
    }
}

/// One request and its answer, whole or, if that is long, as it comes. `least` tells a length that the request surely
/// has on the wire, once that is known.
/// `look` is taken right before its first byte; a probe has none. Behind a probe's answer the connection does not rest,
/// since the command that the probe was for goes out next, and most go where a probe has just been.
pub async fn exchange(
    client: &PooledClient,
    mut request: Request<RelayBody>,
    least: Least<'_>,
    look: Option<&Arc<SendGuard>>,
) -> ExchangeResult {
    let way = capture_connection(&mut request);
    let ahead = Arc::new(Mutex::new(None));
    let told = Arc::clone(&ahead);
    // What is said ahead of an answer is not its beginning.
    hyper::ext::on_informational(&mut request, move |_| {
        told.lock()
            .iter_mut()
            .for_each(|at| **at = Some(Instant::now()));
    });
    let (chosen, rests) = (way.clone(), look.is_some());
    let way = ExchangeGuard(way);
    let (mut ended, rest) = tokio::select! {
        biased;
        ended = whole(client, request, &way, least, rests) => ended,
        never = shown(chosen, look) => match never {},
        () = stalled(&way, &ahead) => (spoilt("it stops halfway"), None),
    };
    if let Some(rest) = rest {
        ended.response = ended.response.map(|answer| {
            answer.map(|first| {
                let first = first.into_buffered();
                let left = MAX_BODY_BYTES.saturating_sub(first.len());
                RelayBody::Streamed(Box::new(StreamedResponse {
                    first: Some(first),
                    rest,
                    guard: way,
                    left,
                    stall: None,
                    link: None,
                }))
            })
        });
    }
    ended
}

type Least<'a> = &'a (dyn Fn() -> Option<usize> + Sync);

/// The connection of a request for as long as its outcome is awaited. Given up earlier, the connection writes nothing
/// more: what still rests in it must not go out after the command has its final answer.
pub struct ExchangeGuard(CaptureConnection);

impl ExchangeGuard {
    /// The answer is read whole.
    pub fn response_complete(&self) {
        if let Some(meter) = meter(self) {
            meter.ends(true);
        }
    }
}

impl std::ops::Deref for ExchangeGuard {
    type Target = CaptureConnection;

    fn deref(&self) -> &CaptureConnection {
        &self.0
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        meter(self)
            .iter()
            .filter(|meter| !meter.done.load(Relaxed))
            .for_each(|m| m.worn.store(true, Relaxed));
    }
}

async fn whole(
    client: &PooledClient,
    request: Request<RelayBody>,
    way: &CaptureConnection,
    least: Least<'_>,
    rests: bool,
) -> (ExchangeResult, Option<Incoming>) {
    let (parts, body) = match client.request(request).await {
        Ok(answer) => answer.into_parts(),
        Err(fault) => return (broke(&fault, way, least()), None),
    };
    let report = parts
        .headers
        .get(LOAD)
        .and_then(|v| v.to_str().ok())
        .and_then(parse_load_report);
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return (
            ExchangeResult {
                report,
                ..spoilt("it says that it is too long")
            },
            None,
        );
    }
    if let Some(meter) = meter(way) {
        meter
            .may_hear
            .store(MAX_BODY_BYTES + LONGEST_AHEAD, Relaxed);
    }
    let (held, rest) = match first_of(body).await {
        Ok(read) => read,
        Err(fault) if !fault.is_parse() => {
            return (
                ExchangeResult {
                    report,
                    ..Outcome::ConnectionLost.into()
                },
                None,
            );
        }
        Err(fault) => {
            return (
                ExchangeResult {
                    report,
                    ..spoilt(&fault)
                },
                None,
            );
        }
    };
    // Before the connection can be given the next request: that needs a turn of its own task.
    if let Some(meter) = meter(way).filter(|_| rest.is_none()) {
        meter.ends(rests);
    }
    let declined = parts
        .headers
        .get(NEVER_RAN)
        .is_some_and(|v| v.as_bytes() == b"1");
    let outcome = match parts.status {
        StatusCode::OK => Outcome::Answered,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            Outcome::Overloaded
        }
        status if status.is_client_error() => Outcome::Rejected,
        _ => Outcome::Error,
    };
    // Only what serves a command is passed on as it comes.
    if rest.is_some() && outcome != Outcome::Answered {
        return (
            ExchangeResult {
                report,
                ..outcome.into()
            },
            None,
        );
    }
    let mut answer = Response::new(held.into());
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = end_to_end(parts.headers);
    (
        ExchangeResult {
            outcome,
            report,
            response: Some(answer),
        },
        rest,
    )
}

/// As much of an answer as is held at once, and the rest if there is more. One that says it is long is passed on from
/// its first bytes; one that says nothing is, if it has not ended after a moment.
async fn first_of(mut body: Incoming) -> Result<(Bytes, Option<Incoming>), hyper::Error> {
    let mut held = BytesMut::new();
    let stated = body.size_hint().exact();
    let most = if stated.is_some_and(|length| length > MAX_BUFFERED_RESPONSE_BYTES as u64) {
        0
    } else {
        MAX_BUFFERED_RESPONSE_BYTES
    };
    let mut moment = std::pin::pin!(tokio::time::sleep(MOMENT));
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut moment, if stated.is_none() && !held.is_empty() => return Ok((held.freeze(), Some(body))),
        };
        let Some(frame) = frame else {
            return Ok((held.freeze(), None));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        held.extend_from_slice(&data);
        if held.len() > most {
            return Ok((held.freeze(), Some(body)));
        }
    }
}

/// What came back is no answer, but the endpoint was reached and the command may have run.
fn spoilt(why: impl std::fmt::Display) -> ExchangeResult {
    log::debug!("spoilt answer: {why}");
    Outcome::Error.into()
}

/// What a request that failed proves.
fn broke(fault: &legacy::Error, way: &CaptureConnection, least: Option<usize>) -> ExchangeResult {
    let below = fault
        .source()
        .and_then(|s| s.downcast_ref::<hyper::Error>());
    let (meter, unstarted) = (meter(way), below.is_some_and(hyper::Error::is_canceled));
    if meter.as_ref().is_some_and(|meter| meter.worn.load(Relaxed)) {
        return Outcome::NotSent.into();
    }
    // No connection came up, the library gave the request back unstarted, or the system took fewer bytes than it has.
    if fault.is_connect()
        || unstarted
        || meter.as_ref().is_some_and(|meter| meter.fewer_than(least))
    {
        return Outcome::ConnectFailed.into();
    }
    let endless = meter.is_some_and(|meter| meter.heard.load(Relaxed) > LONGEST_AHEAD);
    if endless || below.is_some_and(hyper::Error::is_parse) {
        return spoilt(fault);
    }
    log::debug!("relay broke: {fault:?}");
    Outcome::ConnectionLost.into()
}

/// Shows a connection what to look at before the request, as soon as the request has it. Until then it writes nothing.
async fn shown(mut chosen: CaptureConnection, look: Option<&Arc<SendGuard>>) -> Infallible {
    drop(chosen.wait_for_connection_metadata().await);
    if let Some(meter) = meter(&chosen) {
        meter.show(look.cloned());
    }
    std::future::pending().await
}

/// Ends when an answer has begun and does not go on.
async fn stalled(way: &CaptureConnection, ahead: &Mutex<Option<Instant>>) {
    loop {
        tokio::time::sleep(STALL / 4).await;
        let last = meter(way).and_then(|meter| meter.last_heard());
        let said = ahead.lock().ok().and_then(|at| *at);
        if last.is_some_and(|last| last.elapsed() > STALL && said.is_none_or(|at| at < last)) {
            return;
        }
    }
}

fn meter(way: &CaptureConnection) -> Option<Arc<Meter>> {
    let mut extras = hyper::http::Extensions::new();
    way.connection_metadata()
        .iter()
        .for_each(|info| info.get_extras(&mut extras));
    extras.get::<Arc<Meter>>().cloned()
}

/// A load report, `TEXT name=value, name=value`; none if any of it is malformed.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.trim().strip_prefix("TEXT ")?.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let value = Some(
            value
                .trim()
                .parse()
                .ok()
                .filter(|n: &f64| n.is_finite() && *n >= 0.0)?,
        );
        match name.trim() {
            "inflight" | "outstanding" => report.outstanding = value,
            "queue" | "backlog" => report.backlog = value,
            "util" | "utilization" => report.utilization = value,
            "latency_ms" | "recent_ms" => report.recent_ms = value,
            "qps" | "throughput" => report.throughput = value,
            "eps" | "errors_per_s" => report.errors_per_s = value,
            _ => {}
        }
    }
    Some(report)
}

// ---- connections ----

/// Opens connections to endpoints, so many at most; each holds its permit until it closes.
#[derive(Clone)]
pub struct Dialer {
    http: HttpConnector,
    within: Duration,
    idle: Duration,
    bounded: bool, // what is heard ahead of an answer
    permits: Arc<Semaphore>,
    spoilt: Spoilt,
}

/// When an answer of any endpoint was spoilt last.
#[derive(Clone, Default)]
struct Spoilt(Arc<Mutex<Option<Instant>>>);

impl Spoilt {
    fn note(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    fn rest(&self) -> Duration {
        let last = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if last.is_some_and(|at| at.elapsed() < LATELY) {
            LONG_REST
        } else {
            REST
        }
    }
}

impl Dialer {
    /// A connection that is to come up does so in a fraction of the time it may take; one that does not leaves
    /// time for another endpoint. `idle_close` is when endpoints close an idle connection; here it goes well before.
    pub fn new(allowed: Duration, idle_close: Duration, most: usize) -> Self {
        let within = allowed / 4;
        let mut http = HttpConnector::new();
        http.set_nodelay(true);
        http.set_connect_timeout(Some(within));
        let (idle, permits) = (
            idle_close.mul_f64(IDLE_SHARE),
            Arc::new(Semaphore::new(most)),
        );
        Dialer {
            http,
            within,
            idle,
            bounded: true,
            permits,
            spoilt: Spoilt::default(),
        }
    }

    /// For whoever bounds by itself what it reads.
    pub fn without_size_limit(self) -> Self {
        Dialer {
            bounded: false,
            ..self
        }
    }

    /// How long an idle connection is kept at least.
    pub fn idle_timeout(&self) -> Duration {
        self.idle
    }

    /// Keeps to the connections that are open and a few more, as another process needs the rest; how many fewer.
    pub fn release_unused(&self) -> usize {
        let spare = self.permits.available_permits().saturating_sub(HELD_BACK);
        self.permits.forget_permits(spare)
    }

    /// May open so many more.
    pub fn add_permits(&self, by: usize) {
        self.permits.add_permits(by);
    }

    pub fn is_exhausted(&self) -> bool {
        self.permits.available_permits() == 0
    }

    /// A pool of its own.
    pub fn new_client(&self) -> PooledClient {
        legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(self.idle)
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(MOST_IDLE)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(self.clone())
    }
}

impl tower_service::Service<Uri> for Dialer {
    type Response = TokioIo<Wire>;
    type Error = Fault;
    type Future = Pin<Box<dyn Future<Output = Result<TokioIo<Wire>, Fault>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Fault>> {
        self.http.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let (mut http, within, bounded) = (self.http.clone(), self.within, self.bounded);
        let (permits, spoilt) = (Arc::clone(&self.permits), self.spoilt.clone());
        Box::pin(async move {
            let permit = tokio::time::timeout(within, permits.acquire_owned()).await??;
            let stream = http.call(to).await?.into_inner();
            let meter = Arc::default();
            Ok(TokioIo::new(Wire {
                stream,
                meter,
                bounded,
                spoilt,
                rest: None,
                _permit: permit,
            }))
        })
    }
}

/// What passed of the present request and its answer.
#[derive(Default)]
struct Meter {
    written: AtomicUsize,         // of the request, taken by the system
    heard: AtomicUsize,           // since
    may_hear: AtomicUsize,        // of that answer, once its head is read
    last: Mutex<Option<Instant>>, // when something was heard
    done: AtomicBool,             // the answer is read whole
    rests: AtomicBool,            // and the connection is to rest behind it
    worn: AtomicBool,             // given up with nothing of the request written
    shown: Mutex<Shown>,          // what to look at before the request
}

#[derive(Default)]
struct Shown {
    look: Option<Option<Arc<SendGuard>>>, // none before the request has its connection
    waits: Option<Waker>,
}

impl Meter {
    /// Nothing of the next request is written, and nothing heard of its answer.
    fn begins(&self) {
        self.heard.store(0, Relaxed);
        self.may_hear.store(0, Relaxed);
        self.written.store(0, Relaxed);
        self.done.store(false, Relaxed);
    }

    /// Guards against a long answer whose end has been read here but not by its client, who is slow: its connection is given
    /// the next request, which nothing on it is ready for. It carries none.
    fn show(&self, look: Option<Arc<SendGuard>>) {
        if self.written.load(Relaxed) > 0 && !self.done.load(Relaxed) {
            self.worn.store(true, Relaxed);
        }
        let mut shown = self.shown.lock().unwrap_or_else(PoisonError::into_inner);
        shown.look = Some(look);
        shown.waits.take().into_iter().for_each(Waker::wake);
    }

    /// The answer is read whole.
    fn ends(&self, rests: bool) {
        self.done.store(true, Relaxed);
        self.rests.store(rests, Relaxed);
        self.shown
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .look = None;
    }

    /// Whether the request may begin.
    fn looked(&self, cx: &mut Context<'_>) -> Poll<bool> {
        let mut shown = self.shown.lock().unwrap_or_else(PoisonError::into_inner);
        match &shown.look {
            Some(look) => Poll::Ready(look.as_ref().is_none_or(|look| look.try_start())),
            None => {
                shown.waits = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn hears(&self, count: usize) -> usize {
        self.last
            .lock()
            .iter_mut()
            .for_each(|last| **last = Some(Instant::now()));
        self.heard.fetch_add(count, Relaxed) + count
    }

    /// When the present answer was last heard of.
    fn last_heard(&self) -> Option<Instant> {
        self.last
            .lock()
            .ok()
            .and_then(|last| last.filter(|_| self.heard.load(Relaxed) > 0))
    }

    fn fewer_than(&self, least: Option<usize>) -> bool {
        self.heard.load(Relaxed) == 0
            && least.is_none_or(|least| self.written.load(Relaxed) < least)
    }
}

/// A connection to an endpoint that counts what passes.
pub struct Wire {
    stream: TcpStream,
    meter: Arc<Meter>,
    bounded: bool,
    spoilt: Spoilt,
    rest: Option<Pin<Box<Sleep>>>, // between an answer and the next request
    _permit: OwnedSemaphorePermit,
}

impl Wire {
    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &written {
            self.meter.written.fetch_add(*n, Relaxed);
        }
        written
    }

    /// Before the first byte of a request. Guards against one that is wanted no longer, or not there.
    fn may_begin(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.rested(cx))?;
        // Only what relays and probes use is shown what to look at.
        if self.bounded && self.meter.written.load(Relaxed) == 0 && !ready!(self.meter.looked(cx)) {
            return Poll::Ready(Err(self.wear_out("what was to be sent is barred")));
        }
        Poll::Ready(Ok(()))
    }

    /// Before the first byte of a request that follows an answer. Guards against bytes behind that answer, a second
    /// copy of it perhaps, which would be taken for the answer to this request.
    fn rested(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library may go on to write what it holds after a failure to read.
        if self.meter.worn.load(Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let Some(last) = self
            .meter
            .last_heard()
            .filter(|_| self.meter.done.load(Relaxed))
        else {
            return Poll::Ready(Ok(()));
        };
        if self.meter.rests.load(Relaxed) {
            let until = last + self.spoilt.rest();
            let rest = self
                .rest
                .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
            ready!(rest.as_mut().poll(cx));
        }
        match peek_socket(&self.stream) {
            SocketInput::Empty => {
                self.rest = None;
                self.meter.begins();
                Poll::Ready(Ok(()))
            }
            SocketInput::Bytes => {
                self.spoilt.note();
                Poll::Ready(Err(self.wear_out(BEHIND)))
            }
            SocketInput::Closed => Poll::Ready(Err(self.wear_out(BEHIND))),
        }
    }

    fn wear_out(&self, why: &'static str) -> io::Error {
        self.meter.begins();
        self.meter.worn.store(true, Relaxed);
        io::Error::new(io::ErrorKind::InvalidData, why)
    }
}

impl Connection for Wire {
    fn connected(&self) -> Connected {
        Connected::new().extra(Arc::clone(&self.meter))
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        if self.rest.is_some() {
            // The next request waits to be written.
            return Poll::Ready(Err(self.wear_out(BEHIND)));
        }
        // What an endpoint's system holds back until its last bytes are acknowledged is to show now, not behind the
        // next request.
        let _ = socket2::SockRef::from(&self.stream).set_tcp_quickack(true);
        // Guards against an answer without end.
        let most = self.meter.may_hear.load(Relaxed).max(LONGEST_AHEAD);
        if count > 0 && self.meter.hears(count) > most && self.bounded {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "an answer without end",
            )));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.may_begin(cx))?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.may_begin(cx))?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
