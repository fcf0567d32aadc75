//! HTTP handlers of the client listener: a command is parsed and validated, run, and its response returned.

mod class_table;
mod request_body;

use self::class_table::ClassTable;
use self::request_body::{BodyReader, RequestBody, discard};
use crate::body::{BodyError, MAX_BODY_BYTES, MinRateTimer, StreamedUpload};
use crate::command::{self, CommandParams, FinalResponse};
use crate::dispatcher::Dispatcher;
use crate::in_flight::InFlightIds;
use crate::listener::ClientConnection;
use crate::memory_budget::{COMMAND_BYTES, MemoryBudget, MemoryUse, UPLOAD_BYTES};
use crate::relay::{CommandRequest, IDEMPOTENCY_KEY};
use crate::shutdown::{ShutdownStage, ShutdownWatch};
use axum::body::{Body, HttpBody};
use axum::extract::{Extension, Request, State};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use passroad_choice::interner::stable_hash;
use passroad_choice::{BalancerConfig, Effect, RequestClassConfig};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Subtracted from a command's time limit, so that the response is there in time; at most a twentieth of the limit.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
const MAX_DEADLINE_DIGITS: usize = 9;

/// State of the HTTP handlers.
pub struct RequestHandler {
    dispatcher: Arc<Dispatcher>,
    class_table: Mutex<Arc<ClassTable>>,
    shutdown: ShutdownWatch,
    memory: Arc<MemoryBudget>,
    bodies: BodyReader,
    in_flight: Arc<InFlightIds>,
}

/// Health check: 200 while the process serves, 503 once it shuts down.
pub async fn health(State(handler): State<Arc<RequestHandler>>) -> StatusCode {
    if handler.is_serving() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Handles a command: reads it, runs it and returns its response.
pub async fn handle_command(
    State(handler): State<Arc<RequestHandler>>,
    Extension(connection): Extension<Arc<ClientConnection>>,
    request: Request,
) -> Response {
    let (params, command_request) = match handler.read(request, &connection).await {
        Ok(read) => read,
        Err(status) => return status.into_response(),
    };
    // Prevents two open commands with the same id: an endpoint would take them for one.
    let Some(claim) = handler.in_flight.claim(&command_request.id) else {
        return StatusCode::CONFLICT.into_response();
    };
    if params.time_limit.is_zero() {
        return into_http(FinalResponse::DeadlineExceeded);
    }
    connection.set_idle_since(None);
    let (responder, response) = oneshot::channel();
    let upload = command_request.upload().cloned();
    tokio::spawn(command::run(
        Arc::clone(&handler.dispatcher),
        params,
        command_request,
        claim,
        responder,
    ));
    let response = tokio::select! {
        biased;
        // When the connection closes, this receiver is dropped, which tells the command that its client has left.
        response = response => match response {
            // Abandoned because data followed the request.
            Err(_) if connection.framing.has_early_bytes() => StatusCode::BAD_REQUEST.into_response(),
            response => into_http(response.unwrap_or(FinalResponse::Failed)),
        },
        // Prevents request smuggling: clients send one request at a time, so nothing may follow before the response.
        () = connection.framing.early_bytes() => StatusCode::BAD_REQUEST.into_response(),
        error = upload_failed(&upload) => error_status(error).into_response(),
    };
    // Takes precedence over the command's outcome, which the client's faulty body caused.
    if let Some(error) = upload.as_ref().and_then(|upload| upload.failure()) {
        return error_status(error).into_response();
    }
    if let Some(upload) = upload.filter(|upload| !upload.is_finished()) {
        tokio::spawn(upload.drain());
    }
    response
}

/// Completes when a streamed body turns out to be unusable.
async fn upload_failed(upload: &Option<Arc<StreamedUpload>>) -> BodyError {
    match upload {
        Some(upload) => upload.failed().await,
        None => std::future::pending().await,
    }
}

impl RequestHandler {
    /// Commands and the bodies that are kept count against the budget.
    pub fn new(
        dispatcher: Arc<Dispatcher>,
        config: &BalancerConfig,
        memory: Arc<MemoryBudget>,
        in_flight: Arc<InFlightIds>,
        shutdown: ShutdownWatch,
    ) -> Self {
        // At the start, the module's class indices are the positions in the configuration.
        let indices: Vec<_> = (0..config.classes.len()).collect();
        let class_table = Mutex::new(Arc::new(ClassTable::new(config, &indices, Vec::new())));
        RequestHandler {
            dispatcher,
            class_table,
            shutdown,
            bodies: BodyReader::new(Arc::clone(&memory)),
            memory,
            in_flight,
        }
    }

    /// Answers every open command as out of time.
    pub fn expire_open_commands(&self) {
        self.dispatcher.expire_open_commands();
    }

    /// Replaces the configuration. `indices` are those that the module has assigned to its classes.
    pub fn reconfigure(&self, config: &BalancerConfig, indices: &[usize]) {
        let mut class_table = self
            .class_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let previous_classes = class_table.classes.clone();
        *class_table = Arc::new(ClassTable::new(config, indices, previous_classes));
    }

    fn class_table(&self) -> Arc<ClassTable> {
        Arc::clone(
            &self
                .class_table
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    fn is_serving(&self) -> bool {
        *self.shutdown.borrow() == ShutdownStage::Serving
    }

    /// Parses and validates a request. The error is the status of the response.
    async fn read(
        &self,
        request: Request,
        connection: &Arc<ClientConnection>,
    ) -> Result<(CommandParams, CommandRequest), StatusCode> {
        let (parts, body) = request.into_parts();
        let name = parts.uri.path().split('/').nth(1).unwrap_or_default();
        let class_table = self.class_table();
        let length = body.size_hint();
        if length.lower() > MAX_BODY_BYTES as u64 {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        // Prevents request smuggling: the endpoint must not frame the body in another way.
        let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        let has_length = framing.iter().any(|name| parts.headers.contains_key(name));
        let has_key = parts.headers.contains_key(IDEMPOTENCY_KEY);
        let matches = |class: &RequestClassConfig| match class.effect {
            Effect::Safe => {
                parts.method == Method::GET && length.exact().is_none_or(|length| length == 0)
            }
            Effect::NonIdempotent => parts.method == Method::POST && has_length,
            Effect::Keyed => {
                [Method::POST, Method::PUT].contains(&parts.method) && has_length && has_key
            }
        };
        let class = class_table
            .find(name, matches)
            .ok_or(StatusCode::NOT_FOUND)?;
        let class = class.map_err(|()| StatusCode::BAD_REQUEST)?;
        let params = parse_params(class, &class_table.tenants, &parts.headers, connection)
            .filter(|_| !connection.framing.has_ambiguous_length());
        let mut params = params.ok_or(StatusCode::BAD_REQUEST)?;
        let command_request = CommandRequest::new(&parts).ok_or(StatusCode::BAD_REQUEST)?;
        // The head isn't kept while the body arrives.
        drop(parts);
        let is_safe = class.0.effect == Effect::Safe;
        let mut rate = MinRateTimer::new(connection.min_read_time());
        let Some(memory) = self.memory.reserve(MemoryUse::Commands, COMMAND_BYTES) else {
            discard(body, rate);
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        };
        connection.hold_command_memory(memory);
        let body = match length.exact() {
            Some(0) => RequestBody::Complete(Bytes::new()),
            _ => self
                .bodies
                .read(body, &mut rate)
                .await
                .map_err(error_status)?,
        };
        if connection.framing.has_early_bytes() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let delay = self
            .dispatcher
            .possible_delay()
            .max(connection.backlog_wait());
        if !delay.is_zero() {
            // The budget stays: to the module, a reduced one means that the client's earlier tries have used up the rest.
            params.time_limit = params.budget.saturating_sub(delay);
        }
        let command_request = match body {
            RequestBody::Complete(body) if is_safe && !body.is_empty() => {
                return Err(StatusCode::BAD_REQUEST);
            }
            RequestBody::Partial(..) if is_safe => return Err(StatusCode::BAD_REQUEST),
            RequestBody::Complete(body) => command_request.with_body(body),
            RequestBody::Partial(first, rest) => {
                let memory = self.memory.reserve(MemoryUse::Uploads, UPLOAD_BYTES);
                if memory.is_none() {
                    discard(rest, rate);
                    return Err(StatusCode::SERVICE_UNAVAILABLE);
                }
                let client = Some(Arc::clone(connection));
                command_request.with_upload(StreamedUpload::new(first, memory, rest, rate, client))
            }
        };
        Ok((params, command_request))
    }
}

fn error_status(error: BodyError) -> StatusCode {
    match error {
        BodyError::Slow => StatusCode::REQUEST_TIMEOUT,
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Broken => StatusCode::BAD_REQUEST,
    }
}

/// Parses the headers that the decision module needs; none if one is malformed.
fn parse_params(
    (class, index): &(RequestClassConfig, usize),
    tenants: &[String],
    headers: &HeaderMap,
    client: &Arc<ClientConnection>,
) -> Option<CommandParams> {
    let id = single(headers, "req-id")??;
    let limit = single(headers, "req-deadline-ms")??;
    let is_number = limit.len() <= MAX_DEADLINE_DIGITS && limit.bytes().all(|b| b.is_ascii_digit());
    // A longer limit than the configured one doesn't hold resources for longer.
    let limit =
        Duration::from_millis(limit.parse().ok().filter(|_| is_number)?).min(class.time_limit);
    let tenant = single(headers, "req-owner")?;
    // A keyed command needs its key: without one, endpoints couldn't deduplicate repeats, which relays rely on.
    let key = single(headers, IDEMPOTENCY_KEY.as_str())?.map(str::len);
    let key_ok = key.map_or(class.effect != Effect::Keyed, |len| len > 0);
    let is_retry = match single(headers, "req-retry")? {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return None,
    };
    // The command's subject, where endpoints keep state for it: one of the extra pairs, `name=value,name=value`.
    let extra = single(headers, "req-extra")?.unwrap_or_default();
    let subject = extra
        .split(',')
        .find_map(|pair| pair.trim().strip_prefix("name_key="));
    let margin = DEADLINE_MARGIN.min(limit / 20);
    (!id.is_empty() && !limit.is_zero() && key_ok).then(|| CommandParams {
        class: *index,
        tenant: tenant.and_then(|tenant| tenants.iter().position(|name| name == tenant)),
        budget: limit - margin,
        time_limit: limit - margin / 2,
        is_retry,
        may_run_twice: class.effect == Effect::Safe,
        key: subject
            .filter(|subject| !subject.is_empty() && *subject != "-")
            .map(stable_hash),
        client: Arc::clone(client),
    })
}

/// Reads a header that may occur once. The outer none stands for a malformed or repeated one.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<Option<&'a str>> {
    let mut all = headers.get_all(name).iter();
    match (all.next(), all.next()) {
        (None, _) => Some(None),
        (Some(value), None) => value.to_str().ok().map(|text| Some(text.trim())),
        _ => None,
    }
}

/// Converts a final response to HTTP.
fn into_http(response: FinalResponse) -> Response {
    match response {
        FinalResponse::FromEndpoint(response) => response.map(Body::new),
        FinalResponse::Refused { retry_after } => {
            let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
            let seconds = retry_after.map(|wait| format!("{:.3}", wait.as_secs_f64()));
            if let Some(seconds) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
            response
        }
        FinalResponse::Failed => StatusCode::BAD_GATEWAY.into_response(),
        FinalResponse::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}
