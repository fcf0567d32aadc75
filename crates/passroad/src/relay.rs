//! Relays a command to an endpoint. The submodules hold the HTTP exchange and the connection pools, which probes use as well.

mod exchange;
mod exchange_state;
mod pause_limit;
mod pool;
mod progress;
mod stream;

pub use self::exchange::{
    ExchangeContext, ExchangeGuard, ExchangeResult, exchange, parse_load_report,
};
pub use self::pause_limit::PauseLimit;
pub use self::pool::{Dialer, EndpointPool, PooledClient};
pub use self::progress::{Progress, ProgressReport};
use crate::body::{RelayBody, StreamedUpload};
use crate::send_guard::SendGuard;
use bytes::Bytes;
use futures_util::FutureExt;
use hyper::Request;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::{Uri, request};
use passroad_choice::Outcome;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

const REQUEST_ID: HeaderName = HeaderName::from_static("req-id");
/// Header by which endpoints recognize a repeated command.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");

/// The parts of a command that are relayed, unchanged. Other headers are not forwarded: a malformed one could corrupt a pooled
/// connection that other commands use.
pub struct CommandRequest {
    method: hyper::Method,
    target: String,
    pub id: HeaderValue,
    key: Option<HeaderValue>, // endpoints deduplicate by it
    body: Bytes,
    upload: Option<Arc<StreamedUpload>>, // replaces `body` if that is too long to buffer
}

impl CommandRequest {
    /// A command without a body yet. None without a request id.
    pub fn new(parts: &request::Parts) -> Option<Self> {
        let target = parts
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_string();
        let id = copy_value(parts.headers.get(REQUEST_ID)?)?;
        let key = parts.headers.get(IDEMPOTENCY_KEY).and_then(copy_value);
        Some(CommandRequest {
            method: parts.method.clone(),
            target,
            id,
            key,
            body: Bytes::new(),
            upload: None,
        })
    }

    /// Attaches the whole body.
    pub fn with_body(self, body: Bytes) -> Self {
        CommandRequest { body, ..self }
    }

    /// Attaches a body that is still being received.
    pub fn with_upload(self, upload: Arc<StreamedUpload>) -> Self {
        CommandRequest {
            upload: Some(upload),
            ..self
        }
    }

    /// The body that is streamed, if it is.
    pub fn upload(&self) -> Option<&Arc<StreamedUpload>> {
        self.upload.as_ref()
    }

    /// Lower bound of the request's length on the wire; none while its body is incomplete.
    fn min_wire_len(&self) -> Option<usize> {
        let body_len = self
            .upload
            .as_ref()
            .map_or(Some(self.body.len()), |upload| upload.complete_len());
        body_len.map(|body_len| self.target.len() + body_len)
    }

    /// Builds the request to an endpoint. None if the URI is invalid or part of a streamed body has been sent before.
    fn build(&self, to: SocketAddr, timeout: Duration) -> Option<Request<RelayBody>> {
        let uri: Uri = format!("http://{to}{}", self.target).parse().ok()?;
        let body = match &self.upload {
            None => self.body.clone().into(),
            Some(upload) => RelayBody::Upload(Box::new(upload.reader()?)),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        let timeout_ms = (timeout.as_millis() as u64).max(1);
        request.headers_mut().insert(REQUEST_ID, self.id.clone());
        // Prevents a retried keyed command from being taken for a new one by the endpoint.
        self.key
            .iter()
            .for_each(|key| drop(request.headers_mut().insert(IDEMPOTENCY_KEY, key.clone())));
        request.headers_mut().insert(DEADLINE, timeout_ms.into());
        Some(request)
    }
}

/// Copies a header's value, which would otherwise keep the buffer of the whole head.
fn copy_value(value: &HeaderValue) -> Option<HeaderValue> {
    HeaderValue::from_bytes(value.as_bytes()).ok()
}

/// Relays a command to an endpoint and waits for the response. Cancellation drops the exchange, which closes its
/// connection.
pub async fn run(
    pool: EndpointPool,
    command: Arc<CommandRequest>,
    guard: Arc<SendGuard>,
    timeout: Duration,
    progress: Progress,
    cancel: oneshot::Receiver<()>,
) -> ExchangeResult {
    // A streamed body gets a new connection: a stale pooled one would have consumed a part of it.
    let client = command.upload().map_or_else(
        || pool.client.clone(),
        |_| pool.dialer.client_without_pool(),
    );
    let mut exchange_loop = std::pin::pin!(async {
        // A pooled connection that turns out to be stale has sent nothing: try the next one, or a new one.
        loop {
            if let Some(blocked) = guard.check() {
                return blocked.into();
            }
            let Some(request) = command.build(pool.address, timeout) else {
                return Outcome::NotSent.into();
            };
            let context = ExchangeContext {
                min_wire_len: &|| command.min_wire_len(),
                guard: Some(&guard),
                memory: pool.memory(),
                pause_limit: PauseLimit::for_command(timeout),
                progress: &progress,
            };
            let mut result = exchange(&client, request, context).await;
            // A malformed response, as opposed to one with an error status.
            if result.outcome == Outcome::Error && result.response.is_none() {
                pool.dialer.last_malformed.record();
            }
            if let Some(RelayBody::Streamed(streamed)) =
                result.response.as_mut().map(hyper::Response::body_mut)
            {
                streamed.pool = Some(pool.clone());
            }
            if command
                .upload()
                .is_some_and(|upload| upload.failure().is_some())
            {
                return Outcome::NotSent.into();
            }
            if !result.stale_connection {
                return result;
            }
        }
    });
    tokio::select! {
        // Prevents a request from going out after its timeout when the connection came up while the process was suspended.
        biased;
        _ = cancel => Outcome::Cancelled.into(),
        // Prevents waiting for a connection that is no longer needed where the configuration forbids cancellation.
        blocked = guard.cancelled_before_start() => blocked.into(),
        () = timed_out(&command, timeout) => {
            progress.end_time();
            match (exchange_loop.now_or_never(), guard.has_started()) {
                (Some(result), true) if result.outcome == Outcome::Answered => result,
                (_, true) => Outcome::TimedOut.into(),
                (_, false) => Outcome::ConnectFailed.into(),
            }
        }
        // The endpoint didn't take the whole body, so the command never ran.
        () = upload_stalled(&command) => Outcome::ConnectFailed.into(),
        result = &mut exchange_loop => result,
    }
}

/// Completes when the relay has timed out. With a streamed body the timeout starts once the body is complete.
async fn timed_out(command: &CommandRequest, timeout: Duration) {
    if let Some(upload) = command.upload() {
        upload.completed().await;
    }
    tokio::time::sleep(timeout).await;
}

/// Completes when the endpoint has stopped reading a streamed body.
async fn upload_stalled(command: &CommandRequest) {
    match command.upload() {
        Some(upload) => upload.stalled().await,
        None => std::future::pending().await,
    }
}
