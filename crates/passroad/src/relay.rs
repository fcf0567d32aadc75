//! One relay to one endpoint, and the connections that relays and probes go over.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::http::{Uri, request};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::connect::{CaptureConnection, Connected, Connection, HttpConnector};
use hyper_util::client::legacy::{self, connect::capture_connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use passroad_choice::{Outcome, Report};
use std::error::Error;
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

pub const LONGEST_BODY: usize = 64 << 10;
const MOST_IDLE: usize = 16; // connections kept to one endpoint
/// Of the time after which endpoints close: the pool looks once in so long, so none stays for twice that.
const IDLE_SHARE: f64 = 0.45;
const MARK: &str = "req-deadline-ms";
const LOAD: &str = "srv-load";
const NEVER_RAN: &str = "srv-declined";

pub type Client = legacy::Client<Dialer, Full<Bytes>>;
type Fault = Box<dyn Error + Send + Sync>;

/// Where an endpoint listens and the connections kept to it; they close with the last clone.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    pub client: Client,
    users: Arc<()>,
}

impl Link {
    pub fn new(address: SocketAddr, dialer: &Dialer) -> Self {
        Link { address, client: dialer.client(), users: Arc::default() }
    }

    /// Whether nobody else has a clone.
    pub fn nothing_out(&self) -> bool {
        Arc::strong_count(&self.users) == 1
    }
}

/// What a relay or a probe came to.
pub struct Ended {
    pub outcome: Outcome,
    pub report: Option<Report>,
    pub answer: Option<Response<Bytes>>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, report: None, answer: None }
    }
}

/// The parts of a command that go on to an endpoint, as they came.
pub struct Cargo {
    pub method: hyper::Method,
    pub target: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Cargo {
    pub fn of(parts: request::Parts, body: Bytes) -> Self {
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_string();
        Cargo { method: parts.method, target, headers: end_to_end(parts.headers), body }
    }

    fn request(&self, to: SocketAddr, within: Duration) -> Option<Request<Full<Bytes>>> {
        let uri: Uri = format!("http://{to}{}", self.target).parse().ok()?;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        let left = (within.as_millis() as u64).max(1);
        request.headers_mut().insert(HeaderName::from_static(MARK), left.into());
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
pub async fn run(link: Link, cargo: Arc<Cargo>, within: Duration, recall: oneshot::Receiver<()>) -> Ended {
    let Some(mut request) = cargo.request(link.address, within) else { return Outcome::Moot.into() };
    let way = capture_connection(&mut request);
    tokio::select! {
        // Guards against a connection that comes up while the process stands still: past the time nothing goes out.
        biased;
        _ = recall => Outcome::Recalled.into(),
        () = tokio::time::sleep(within) => Outcome::TimedOut.into(),
        ended = exchange(&link.client, request, &way, cargo.target.len() + cargo.body.len()) => ended,
    }
}

/// One request and its whole answer. `least` is a length that the request surely has on the wire.
pub async fn exchange(
    client: &Client,
    request: Request<Full<Bytes>>,
    way: &CaptureConnection,
    least: usize,
) -> Ended {
    let (parts, body) = match client.request(request).await {
        Ok(answer) => answer.into_parts(),
        Err(fault) if never_written(&fault, way, least) => return Outcome::NoConnection.into(),
        Err(fault) => {
            log::debug!("relay broke: {fault:?}");
            return Outcome::Broken.into();
        }
    };
    let report = parts.headers.get(LOAD).and_then(|v| v.to_str().ok()).and_then(read_load);
    let Ok(body) = Limited::new(body, LONGEST_BODY).collect().await else {
        return Ended { outcome: Outcome::Broken, report, answer: None };
    };
    let declined = parts.headers.get(NEVER_RAN).is_some_and(|v| v.as_bytes() == b"1");
    let outcome = match parts.status {
        StatusCode::OK => Outcome::Answered,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Full,
        _ => Outcome::Error,
    };
    let mut answer = Response::new(body.to_bytes());
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = end_to_end(parts.headers);
    Ended { outcome, report, answer: Some(answer) }
}

/// Whether the endpoint surely has not got the whole request: no connection came up, the library gave the
/// request back unstarted, or the system took fewer bytes than it has.
fn never_written(fault: &legacy::Error, way: &CaptureConnection, least: usize) -> bool {
    let unstarted =
        fault.source().and_then(|s| s.downcast_ref::<hyper::Error>()).is_some_and(hyper::Error::is_canceled);
    if fault.is_connect() || unstarted {
        return true;
    }
    let mut extras = hyper::http::Extensions::new();
    way.connection_metadata().iter().for_each(|info| info.get_extras(&mut extras));
    extras.get::<Arc<Meter>>().is_some_and(|meter| meter.fewer_than(least))
}

/// A load report, `TEXT name=value, name=value`; none if any of it is malformed.
pub fn read_load(text: &str) -> Option<Report> {
    let mut report = Report::default();
    for pair in text.trim().strip_prefix("TEXT ")?.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let value = Some(value.trim().parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)?);
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
    permits: Arc<Semaphore>,
}

impl Dialer {
    /// A connection that is to come up does so in a fraction of the time it may take; one that does not leaves
    /// time for another endpoint. `idle_close` is when endpoints close an idle connection; here it goes well before.
    pub fn new(allowed: Duration, idle_close: Duration, most: usize) -> Self {
        let within = allowed / 4;
        let mut http = HttpConnector::new();
        http.set_nodelay(true);
        http.set_connect_timeout(Some(within));
        Dialer { http, within, idle: idle_close.mul_f64(IDLE_SHARE), permits: Arc::new(Semaphore::new(most)) }
    }

    /// How long an idle connection is kept at least.
    pub fn idle(&self) -> Duration {
        self.idle
    }

    pub fn used_up(&self) -> bool {
        self.permits.available_permits() == 0
    }

    /// A pool of its own.
    pub fn client(&self) -> Client {
        legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(self.idle)
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(MOST_IDLE)
            .http1_max_buf_size(2 * LONGEST_BODY)
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
        let (mut http, within, permits) = (self.http.clone(), self.within, Arc::clone(&self.permits));
        Box::pin(async move {
            let permit = tokio::time::timeout(within, permits.acquire_owned()).await??;
            let stream = http.call(to).await?.into_inner();
            Ok(TokioIo::new(Wire { stream, meter: Arc::default(), _permit: permit }))
        })
    }
}

/// How much of the present request the system has taken.
#[derive(Default)]
struct Meter {
    written: AtomicUsize,
    heard: AtomicBool, // something came back since the last write
}

impl Meter {
    fn writes(&self) {
        if self.heard.swap(false, Relaxed) {
            self.written.store(0, Relaxed);
        }
    }

    fn fewer_than(&self, least: usize) -> bool {
        !self.heard.load(Relaxed) && self.written.load(Relaxed) < least
    }
}

/// A connection to an endpoint that counts what is written to it.
pub struct Wire {
    stream: TcpStream,
    meter: Arc<Meter>,
    _permit: OwnedSemaphorePermit,
}

impl Wire {
    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &written {
            self.meter.written.fetch_add(*n, Relaxed);
        }
        written
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
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.meter.heard.store(true, Relaxed);
        }
        read
    }
}

impl AsyncWrite for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.meter.writes();
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
        self.meter.writes();
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
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case::nothing_taken(&[], false, true)]
    #[case::too_little_taken(&[10, 89], false, true)]
    #[case::all_may_be_taken(&[10, 90], false, false)]
    #[case::something_came_back(&[10], true, false)]
    fn a_request_of_which_too_little_was_taken_never_ran(
        #[case] taken: &[usize],
        #[case] heard: bool,
        #[case] never: bool,
    ) {
        // One request went over this connection before and was answered.
        let meter = Meter { written: AtomicUsize::new(500), heard: AtomicBool::new(true) };
        meter.writes();
        taken.iter().for_each(|n| {
            meter.written.fetch_add(*n, Relaxed);
        });
        meter.heard.store(heard, Relaxed);
        assert_eq!(meter.fewer_than(100), never);
    }

    #[rstest]
    #[case("TEXT inflight=7, queue=2, util=0.61", Some((7.0, 2.0, 0.61)))]
    #[case("TEXT util=0.61,queue=2, novel=3,inflight=7", Some((7.0, 2.0, 0.61)))]
    #[case("TEXT inflight=7, queue=two, util=0.61", None)]
    #[case("TEXT inflight=7, queue=NaN, util=0.61", None)]
    #[case("inflight=7, queue=2, util=0.61", None)]
    #[case("TEXT", None)]
    fn a_load_report_is_read_whole_or_not_at_all(#[case] text: &str, #[case] read: Option<(f64, f64, f64)>) {
        let read = read.map(|(outstanding, backlog, utilization)| Report {
            outstanding: Some(outstanding),
            backlog: Some(backlog),
            utilization: Some(utilization),
            ..Report::default()
        });
        assert_eq!(read_load(text), read);
    }
}
