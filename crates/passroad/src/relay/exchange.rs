//! One HTTP request to an endpoint and its response: what is buffered, what is streamed, and what a failure proves.

use super::exchange_state::{ConnectionExchanges, ExchangeState};
use super::pause_limit::{PauseLimit, given_up_for_pause};
use super::pool::{NoFreeConnection, PooledClient};
use super::progress::{Progress, ProgressReport};
use super::stream::MAX_BYTES_BEFORE_BODY;
use crate::body::{
    BufferedBody, MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES, RelayBody, StreamedResponse,
};
use crate::flow_control::MAX_READ_BYTES;
use crate::memory_budget::{MemoryBudget, ReservedBuffer};
use crate::metrics::{self, Counter};
use crate::send_guard::{SendBlocked, SendGuard};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::{CaptureConnection, capture_connection};
use passroad_choice::{LoadReport, Outcome};
use std::error::Error;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// A response without a stated length that takes longer than this is streamed: only its end would tell how long it is.
const UNSIZED_BUFFERING_TIME: Duration = Duration::from_millis(10);
/// A streamed response is returned once this much of it has arrived, or all that the endpoint has sent so far: as long as nothing is
/// passed on, a command whose response breaks off can be sent elsewhere, or answered as failed.
const MIN_STREAMED_PREFIX_BYTES: usize = 16 << 10;
const LOAD_REPORT: &str = "srv-load";
const DECLINED: &str = "srv-declined";

/// Returns a lower bound of a request's length on the wire, once that is known.
pub type MinWireLen<'a> = &'a (dyn Fn() -> Option<usize> + Sync);

/// What an exchange depends on beside its request.
pub struct ExchangeContext<'a> {
    pub min_wire_len: MinWireLen<'a>,
    /// Checked right before the first byte is written; a probe has none.
    pub guard: Option<&'a Arc<SendGuard>>,
    /// What is kept of the response counts against this budget, if there is one.
    pub memory: Option<&'a Arc<MemoryBudget>>,
    pub pause_limit: PauseLimit,
    pub progress: &'a Progress,
}

/// Result of one HTTP exchange with an endpoint, for a relay or a probe.
pub struct ExchangeResult {
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    /// None where there is none to pass on: the exchange failed, or the response was malformed or an unsuccessful long one.
    pub response: Option<Response<RelayBody>>,
    /// The pooled connection was stale, and no byte was sent: another one may be tried at once.
    pub stale_connection: bool,
}

impl From<SendBlocked> for ExchangeResult {
    fn from(blocked: SendBlocked) -> Self {
        ExchangeResult::from(match blocked {
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
            stale_connection: false,
        }
    }
}

/// Sends one request and reads its response; a long response is returned as a stream.
pub async fn exchange(
    client: &PooledClient,
    mut request: Request<RelayBody>,
    context: ExchangeContext<'_>,
) -> ExchangeResult {
    let connection = capture_connection(&mut request);
    let state = Arc::new(ExchangeState::new(context.guard.cloned()));
    if let RelayBody::Upload(reader) = request.body_mut() {
        reader.limit_to_written(Arc::clone(state.flushes()));
    }
    let last_informational = Arc::new(Mutex::new(None));
    let informational = Arc::clone(&last_informational);
    // An informational (1xx) response is not the beginning of the final one.
    hyper::ext::on_informational(&mut request, move |_| {
        informational
            .lock()
            .iter_mut()
            .for_each(|last| **last = Some(Instant::now()));
    });
    let exchange_guard = ExchangeGuard(Arc::clone(&state));
    let request_and_response = send_and_read(client, request, &state, &context);
    let (mut result, rest) = tokio::select! {
        biased;
        result = run_assigned(request_and_response, &connection, &state) => result,
        () = given_up_for_pause(&state, &last_informational, context.pause_limit, || {
            metrics::count(Counter::ResponsesPaused);
            context.progress.report(ProgressReport::Paused);
        }) => (malformed("it paused for too long"), None),
    };
    if let Some(rest) = rest {
        result.response = result.response.map(|response| {
            response.map(|first| {
                let first = first.into_buffered();
                let left = MAX_BODY_BYTES.saturating_sub(first.len());
                RelayBody::Streamed(Box::new(StreamedResponse {
                    first,
                    rest,
                    guard: exchange_guard,
                    left,
                    stall: None,
                    pool: None,
                }))
            })
        });
    }
    result
}

/// An exchange until its response is complete. Dropped earlier, it abandons the exchange: the connection then writes nothing more,
/// since bytes still buffered there must not be sent after the command has its final response.
pub struct ExchangeGuard(Arc<ExchangeState>);

impl ExchangeGuard {
    /// Marks the response as read completely, so that the connection may be reused.
    pub fn response_complete(&self) {
        self.0.complete();
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.abandon();
    }
}

/// Runs an exchange, and assigns its connection to it in the same turn in which the pool has chosen one, before the connection's
/// own task can write.
async fn run_assigned<F: Future>(
    exchange: F,
    connection: &CaptureConnection,
    state: &Arc<ExchangeState>,
) -> F::Output {
    let (mut exchange, mut assigned) = (std::pin::pin!(exchange), false);
    std::future::poll_fn(|cx| {
        let result = exchange.as_mut().poll(cx);
        if !assigned && let Some(exchanges) = exchanges_of(connection) {
            exchanges.assign(Arc::clone(state));
            assigned = true;
        }
        result
    })
    .await
}

/// The exchanges of a request's connection, once the pool has chosen one.
fn exchanges_of(connection: &CaptureConnection) -> Option<Arc<ConnectionExchanges>> {
    let mut extras = hyper::http::Extensions::new();
    connection
        .connection_metadata()
        .as_ref()?
        .get_extras(&mut extras);
    extras.get::<Arc<ConnectionExchanges>>().cloned()
}

/// Sends the request and reads the response, or its first part and the stream with the rest.
async fn send_and_read(
    client: &PooledClient,
    request: Request<RelayBody>,
    state: &ExchangeState,
    context: &ExchangeContext<'_>,
) -> (ExchangeResult, Option<Incoming>) {
    match client.request(request).await {
        Ok(response) => read_response(response, state, context).await,
        Err(error) => (
            failure_outcome(&error, state, (context.min_wire_len)()),
            None,
        ),
    }
}

/// Reads a response whose head has arrived, or its first part and the stream with the rest.
async fn read_response(
    response: Response<Incoming>,
    state: &ExchangeState,
    context: &ExchangeContext<'_>,
) -> (ExchangeResult, Option<Incoming>) {
    let (parts, body) = response.into_parts();
    let report = parts
        .headers
        .get(LOAD_REPORT)
        .and_then(|value| value.to_str().ok())
        .and_then(parse_load_report);
    let without_response = |result: ExchangeResult| (ExchangeResult { report, ..result }, None);
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return without_response(malformed("its stated length is over the limit"));
    }
    state.set_read_limit(MAX_BODY_BYTES + MAX_BYTES_BEFORE_BODY);
    let outcome = response_outcome(&parts);
    if outcome == Outcome::Answered && may_be_long(&body) {
        context.progress.report(ProgressReport::Begun);
    }
    let (buffered, rest) = match read_prefix(body, context).await {
        Ok(read) => read,
        Err(error) if error.is_parse() => return without_response(malformed(&error)),
        Err(_) => return without_response(Outcome::ConnectionLost.into()),
    };
    // In time: the pool can't assign the next request before the connection's own task has run again.
    if rest.is_none() {
        state.complete();
    }
    // Only successful responses are streamed.
    if rest.is_some() && outcome != Outcome::Answered {
        return without_response(outcome.into());
    }
    let mut response = Response::new(RelayBody::Buffered(buffered));
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(parts.headers);
    let result = ExchangeResult {
        outcome,
        report,
        response: Some(response),
        stale_connection: false,
    };
    (result, rest)
}

/// What the head of a response says about the command.
fn response_outcome(parts: &Parts) -> Outcome {
    let declined = parts
        .headers
        .get(DECLINED)
        .is_some_and(|value| value.as_bytes() == b"1");
    match parts.status {
        StatusCode::OK => Outcome::Answered,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            Outcome::Overloaded
        }
        status if status.is_client_error() => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// Whether a body may be longer than what is buffered.
fn may_be_long(body: &Incoming) -> bool {
    let stated = body.size_hint().exact();
    stated.is_none_or(|length| length > MAX_BUFFERED_RESPONSE_BYTES as u64)
}

/// Reads a response, or its beginning and the stream with the rest. A response with a long stated length is streamed; one without
/// a length is if it is long or hasn't ended after `UNSIZED_BUFFERING_TIME`. So is one that there is no memory for. What may be long
/// and of which only the head has come when the time is up is streamed, too: its first bytes are in time.
async fn read_prefix(
    mut body: Incoming,
    context: &ExchangeContext<'_>,
) -> Result<(BufferedBody, Option<Incoming>), hyper::Error> {
    let mut buffer = ReservedBuffer::new(context.memory.cloned(), MAX_READ_BYTES);
    let (stated, may_be_long) = (body.size_hint().exact(), may_be_long(&body));
    let mut streamed = stated.is_some_and(|length| {
        length > MAX_BUFFERED_RESPONSE_BYTES as u64 || !buffer.reserve_capacity(length as usize)
    });
    let mut timeout = std::pin::pin!(tokio::time::sleep(UNSIZED_BUFFERING_TIME));
    loop {
        let has_begun = !buffer.is_empty();
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut timeout, if has_begun && stated.is_none() && !streamed => {
                streamed = true;
                continue;
            }
            () = context.progress.time_is_up(), if may_be_long => break,
            // The connection's task has read by then what its socket has, the end of the connection included.
            () = yield_now(), if has_begun && streamed => break,
        };
        let Some(frame) = frame else {
            return Ok((buffer.into_bytes().into(), None));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let has_memory = buffer.append(&data);
        streamed |= buffer.len() > MAX_BUFFERED_RESPONSE_BYTES || !has_memory;
        if streamed && (buffer.len() > MIN_STREAMED_PREFIX_BYTES || !has_memory) {
            break;
        }
    }
    Ok((buffer.into_bytes().into(), Some(body)))
}

/// Removes hop-by-hop headers.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .flat_map(|value| value.to_str().unwrap_or_default().split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let hop_by_hop = [
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
    for name in listed.iter().chain(&hop_by_hop) {
        headers.remove(name);
    }
    headers
}

/// The result for a malformed response: the endpoint was reached and the command may have run.
fn malformed(reason: impl std::fmt::Display) -> ExchangeResult {
    log::debug!("malformed response: {reason}");
    Outcome::Error.into()
}

/// Whether an error of this type is among the causes.
fn is_caused_by<E: Error + 'static>(error: &legacy::Error) -> bool {
    let mut cause = error.source();
    while let Some(error) = cause {
        if error.is::<E>() {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Derives the outcome from a failed request: what the failure proves about whether the command ran.
fn failure_outcome(
    error: &legacy::Error,
    state: &ExchangeState,
    min_wire_len: Option<usize>,
) -> ExchangeResult {
    let cause = error
        .source()
        .and_then(|s| s.downcast_ref::<hyper::Error>());
    let unsent = cause.is_some_and(hyper::Error::is_canceled);
    if state.is_refused() {
        return ExchangeResult {
            stale_connection: true,
            ..Outcome::NotSent.into()
        };
    }
    if is_caused_by::<NoFreeConnection>(error) {
        return Outcome::NotSent.into();
    }
    // No connection came up, hyper returned the request unsent, or the kernel took fewer bytes than the request has.
    if error.is_connect() || unsent || state.wrote_less_than(min_wire_len) {
        return Outcome::ConnectFailed.into();
    }
    let over_limit = state.bytes_read() > MAX_BYTES_BEFORE_BODY;
    if over_limit || cause.is_some_and(hyper::Error::is_parse) {
        return malformed(error);
    }
    log::debug!("relay failed: {error:?}");
    Outcome::ConnectionLost.into()
}

/// Parses a load report, `TEXT name=value, name=value`; none if any part of it is malformed. Unknown names are ignored.
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

#[cfg(test)]
mod tests;
