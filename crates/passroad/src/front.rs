//! A command in, its answer out.

use crate::command::{self, Answer, Need};
use crate::desk::Desk;
use crate::relay::{Cargo, LONGEST_BODY};
use crate::stop::{Stage, Stages, reached};
use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{Extension, Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};
use tower_service::Service;

const BACKLOG: u32 = 1024;
const HEAD_WITHIN: Duration = Duration::from_secs(75); // also how long an idle connection is kept
const BODY_WITHIN: Duration = Duration::from_secs(10);
const MARGIN: Duration = Duration::from_millis(10); // of a time limit, at most a twentieth
const ADDRESS_WITHIN: Duration = Duration::from_secs(3); // a process before this one may be ending
const QUIET_IN_CROWD: Duration = Duration::from_millis(300);
const AT_ONCE: Duration = Duration::from_millis(20);
const LAST_WORDS: Duration = Duration::from_millis(500);
const TRIES_APART: Duration = Duration::from_millis(20); // to accept, after a failure

pub struct Front {
    desk: Arc<Desk>,
    verbs: Vec<String>,
    companies: Vec<String>,
    most: usize, // connections of clients
    open: AtomicUsize,
    crowd: Notify, // others wait to get in
    stages: Stages,
}

/// Listens; waits a little for a process that still has the address.
pub async fn listen(at: SocketAddr) -> Result<TcpListener, String> {
    let began = Instant::now();
    loop {
        let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
        let bound = socket.and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(at)?;
            socket.listen(BACKLOG)
        });
        match bound {
            Err(fault) if fault.kind() == ErrorKind::AddrInUse && began.elapsed() < ADDRESS_WITHIN => {
                sleep(TRIES_APART).await;
            }
            bound => return bound.map_err(|e| format!("listen on {at}: {e}")),
        }
    }
}

impl Front {
    pub fn new(
        desk: Arc<Desk>,
        verbs: Vec<String>,
        companies: Vec<String>,
        most: usize,
        stages: Stages,
    ) -> Arc<Self> {
        Arc::new(Front {
            desk,
            verbs,
            companies,
            most,
            open: AtomicUsize::new(0),
            crowd: Notify::new(),
            stages,
        })
    }

    fn stage(&self) -> Stage {
        *self.stages.borrow()
    }
}

/// Accepts and serves until the stop is through.
pub async fn serve(listener: TcpListener, front: Arc<Front>, longest: Duration) {
    let router = Router::new().route("/healthz", get(ready)).fallback(take).with_state(Arc::clone(&front));
    let mut stages = front.stages.clone();
    let mut full = None; // since when some may wait in the backlog
    loop {
        let count = front.open.load(Relaxed);
        // Guards against running out of descriptors: past the limit new connections wait in the backlog.
        let room = count < front.most;
        full = full.or((!room).then(Instant::now));
        tokio::select! {
            biased;
            () = reached(&mut stages, Stage::Closed) => break,
            accepted = listener.accept(), if room => match accepted {
                Ok((stream, _)) => open(stream, &router, &front, full),
                Err(fault) => {
                    log::warn!("accept: {fault}");
                    sleep(TRIES_APART).await;
                }
            },
            // Whoever waited is in.
            () = std::future::ready(()), if room && full.is_some() => full = None,
            () = sleep(TRIES_APART), if count >= front.most / 4 * 3 => front.crowd.notify_waiters(),
        }
    }
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        open(stream, &router, &front, full);
    }
    drop(listener);
    // Whoever is left has an answer by the longest limit.
    let all_closed = async {
        while front.open.load(Relaxed) > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    match timeout(longest + Duration::from_secs(1), all_closed).await {
        Ok(()) => log::info!("stopped: all that was taken is answered"),
        Err(_) => log::warn!("stopped with {} connections open", front.open.load(Relaxed)),
    }
}

/// Counts a connection for as long as it is open.
struct Place(Arc<Front>);

impl Place {
    fn take(front: &Arc<Front>) -> Self {
        front.open.fetch_add(1, Relaxed);
        Place(Arc::clone(front))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Relaxed);
    }
}

/// What is known of a connection's client.
struct Talk {
    came: Instant,
    waited: Duration,              // outside, at most
    answered: AtomicBool,          // once at least
    quiet: Mutex<Option<Instant>>, // since when there is nothing to answer; none while a command is in hand
}

impl Talk {
    fn quiet_for(&self, span: Duration) -> bool {
        self.quiet.lock().is_ok_and(|since| since.is_some_and(|at| at.elapsed() >= span))
    }

    fn set_quiet(&self, since: Option<Instant>) {
        self.quiet.lock().iter_mut().for_each(|quiet| **quiet = since);
    }

    /// How long a command read now may have waited for its connection to be let in.
    fn may_have_waited(&self) -> Duration {
        if self.came.elapsed() < AT_ONCE { self.waited } else { Duration::ZERO }
    }
}

fn open(stream: TcpStream, router: &Router, front: &Arc<Front>, full: Option<Instant>) {
    let (place, router) = (Place::take(front), router.clone());
    let _ = stream.set_nodelay(true);
    tokio::spawn(async move {
        let (front, mut stages, came) = (&place.0, place.0.stages.clone(), Instant::now());
        let talk = Arc::new(Talk {
            came,
            waited: full.map_or(Duration::ZERO, |since| since.elapsed()),
            answered: AtomicBool::new(false),
            quiet: Mutex::new(Some(came)),
        });
        let service = hyper::service::service_fn(|mut request: hyper::Request<hyper::body::Incoming>| {
            request.extensions_mut().insert(Arc::clone(&talk));
            router.clone().call(request).inspect(|_| {
                talk.answered.store(true, Relaxed);
                talk.set_quiet(Some(Instant::now()));
            })
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WITHIN)
            .max_buf_size(LONGEST_BODY)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            () = crowded_out(front, &talk) => {}
            () = reached(&mut stages, Stage::Leaving) => {
                // One that was never answered may have its first command on the way.
                if talk.answered.load(Relaxed) {
                    connection.as_mut().graceful_shutdown();
                }
                tokio::select! {
                    _ = connection.as_mut() => return,
                    () = reached(&mut stages, Stage::Ending) => {}
                }
            }
        }
        connection.as_mut().graceful_shutdown();
        // Only a client that is quiet in the middle of a request, or does not read its answer, is cut off.
        let patience = if talk.answered.load(Relaxed) { LAST_WORDS } else { AT_ONCE };
        while timeout(patience, connection.as_mut()).await.is_err() && !talk.quiet_for(patience) {}
    });
}

/// Guards against slow or forgotten clients that hold all there is: where places run short a connection that
/// has been quiet for a while is given up, and where there are none even one quiet for a moment.
async fn crowded_out(front: &Front, talk: &Talk) {
    loop {
        front.crowd.notified().await;
        let none_left = front.open.load(Relaxed) >= front.most;
        if talk.quiet_for(if none_left { AT_ONCE } else { QUIET_IN_CROWD }) {
            return;
        }
    }
}

async fn ready(State(front): State<Arc<Front>>) -> Response {
    let status =
        if front.stage() == Stage::Serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    front.last(status.into_response())
}

async fn take(
    State(front): State<Arc<Front>>,
    Extension(talk): Extension<Arc<Talk>>,
    request: Request,
) -> Response {
    let answer = match front.read(request, &talk).await {
        Ok((need, _)) if need.last.is_zero() => word(Answer::OutOfTime),
        Ok((need, cargo)) => {
            talk.set_quiet(None);
            let (tell, told) = oneshot::channel();
            tokio::spawn(command::run(Arc::clone(&front.desk), need, cargo, tell));
            // Dropped with its connection, this tells the command that its client is gone.
            word(told.await.unwrap_or(Answer::Terminated))
        }
        Err(status) => status.into_response(),
    };
    front.last(answer)
}

impl Front {
    /// While the sidecar stops, each connection ends with its answer.
    fn last(&self, mut answer: Response) -> Response {
        if self.stage() != Stage::Serving {
            answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn read(&self, request: Request, talk: &Talk) -> Result<(Need, Cargo), StatusCode> {
        let (parts, body) = request.into_parts();
        let name = parts.uri.path().split('/').nth(1).unwrap_or_default();
        let verb = self.verbs.iter().position(|v| v == name).ok_or(StatusCode::NOT_FOUND)?;
        let mut need = self.need(verb, &parts.headers).ok_or(StatusCode::BAD_REQUEST)?;
        let length = parts.headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok());
        if length.and_then(|n| n.parse().ok()).is_some_and(|n: u64| n > LONGEST_BODY as u64) {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let body = timeout(BODY_WITHIN, to_bytes(body, LONGEST_BODY)).await;
        let body = body.map_err(|_| StatusCode::REQUEST_TIMEOUT)?.map_err(|fault| {
            let long =
                std::error::Error::source(&fault).is_some_and(|s| s.is::<http_body_util::LengthLimitError>());
            if long { StatusCode::PAYLOAD_TOO_LARGE } else { StatusCode::BAD_REQUEST }
        })?;
        let waited = self.desk.may_have_waited().max(talk.may_have_waited());
        if !waited.is_zero() {
            // Only here: to the module an odd budget tells that a client's earlier tries have spent the rest.
            need.last = need.budget.saturating_sub(waited);
        }
        Ok((need, Cargo::of(parts, body)))
    }

    /// The fields that decisions need; none if one is malformed.
    fn need(&self, verb: usize, headers: &HeaderMap) -> Option<Need> {
        let id = single(headers, "req-id")??;
        let limit: u64 = single(headers, "req-deadline-ms")??.parse().ok()?;
        let limit = Duration::from_millis(limit);
        let company = single(headers, "req-owner")?;
        let again = match single(headers, "req-retry")? {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return None,
        };
        let margin = MARGIN.min(limit / 20);
        (!id.is_empty() && !limit.is_zero()).then(|| Need {
            verb,
            company: company.and_then(|c| self.companies.iter().position(|known| known == c)),
            budget: limit - margin,
            last: limit - margin / 2,
            again,
        })
    }
}

/// A header that may come once; the outer none stands for a malformed one.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<Option<&'a str>> {
    let mut all = headers.get_all(name).iter();
    match (all.next(), all.next()) {
        (None, _) => Some(None),
        (Some(value), None) => value.to_str().ok().map(|text| Some(text.trim())),
        _ => None,
    }
}

/// The answer as the client reads it.
fn word(answer: Answer) -> Response {
    match answer {
        Answer::Answered(answer) => answer.map(Body::from),
        Answer::Declined { not_before } => {
            let mut answer = StatusCode::SERVICE_UNAVAILABLE.into_response();
            let after = not_before.map(|wait| format!("{:.3}", wait.as_secs_f64()));
            if let Some(after) = after.and_then(|text| HeaderValue::from_str(&text).ok()) {
                answer.headers_mut().insert(header::RETRY_AFTER, after);
            }
            answer
        }
        Answer::Terminated => StatusCode::BAD_GATEWAY.into_response(),
        Answer::OutOfTime => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}
