//! One command off its connection and its answer back: what can't be used is turned away here.

use crate::body::{
    BodyError, MAX_BODY_BYTES, MAX_BUFFERED_REQUEST_BYTES, MinRateTimer, StreamedUpload,
};
use crate::command::{self, CommandParams, FinalResponse};
use crate::desk::Desk;
use crate::in_flight::InFlightIds;
use crate::listener::ClientConnection;
use crate::relay::{CommandRequest, IDEMPOTENCY_KEY};
use crate::stop::{Stage, Stages};
use axum::body::{Body, HttpBody};
use axum::extract::{Extension, Request, State};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::{Bytes, BytesMut};
use passroad_choice::interner::stable_hash;
use passroad_choice::{BalancerConfig, Effect, RequestClassConfig};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

const MARGIN: Duration = Duration::from_millis(10); // of a time limit, at most a twentieth
const MOST_DIGITS: usize = 9; // of a time limit
const STILL_BEFORE: Duration = Duration::from_millis(1200); // after other orders, verbs are named as before
const SMALL_BODY: usize = 4 << 10; // needs no room of its own
const ROOM_SHARE: usize = 4; // of the memory, for bodies that are not small
const ROOM: usize = 4 << 10; // one step of it

pub struct RequestHandler {
    desk: Arc<Desk>,
    table: Mutex<Arc<Table>>,
    stages: Stages,
    room: Arc<Semaphore>, // for bodies that are held, in steps
    claims: Arc<InFlightIds>,
    half: usize,       // of the room
    left: AtomicUsize, // of it, to another process
}

/// What commands may name, and under which number the module knows it.
struct Table {
    verbs: Vec<(RequestClassConfig, usize)>,
    before: Vec<(RequestClassConfig, usize)>, // of the orders before
    since: Instant,
    companies: Vec<String>,
}

impl Table {
    fn of(
        orders: &BalancerConfig,
        numbers: &[usize],
        before: Vec<(RequestClassConfig, usize)>,
    ) -> Self {
        Table {
            verbs: orders
                .classes
                .iter()
                .cloned()
                .zip(numbers.iter().copied())
                .collect(),
            before,
            since: Instant::now(),
            companies: orders.tenants.iter().map(|c| c.name.clone()).collect(),
        }
    }

    /// The orders that a command goes by. Clients name verbs as before for a while after the orders have changed: for
    /// so long what fits the orders before goes by those, and for a while more what fits none of the new ones.
    fn verb(
        &self,
        name: &str,
        fits: impl Fn(&RequestClassConfig) -> bool,
    ) -> Option<Result<&(RequestClassConfig, usize), ()>> {
        let age = self.since.elapsed();
        let before = self
            .before
            .iter()
            .filter(|_| age < STILL_BEFORE + STILL_BEFORE);
        let (first, then): (Vec<_>, Vec<_>) = match age < STILL_BEFORE {
            true => (before.collect(), self.verbs.iter().collect()),
            false => (self.verbs.iter().collect(), before.collect()),
        };
        let named = || first.iter().chain(&then).filter(|(v, _)| v.name == name);
        named().next()?;
        Some(named().find(|(v, _)| fits(v)).copied().ok_or(()))
    }
}

pub async fn health(State(intake): State<Arc<RequestHandler>>) -> StatusCode {
    if intake.serving() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

pub async fn handle_command(
    State(intake): State<Arc<RequestHandler>>,
    Extension(talk): Extension<Arc<ClientConnection>>,
    request: Request,
) -> Response {
    let (need, cargo) = match intake.read(request, &talk).await {
        Ok(read) => read,
        Err(status) => return status.into_response(),
    };
    // Guards against the id of another client's open command: the two would be one to an endpoint.
    let Some(_claim) = intake.claims.claim(&cargo.id) else {
        return StatusCode::CONFLICT.into_response();
    };
    if need.time_limit.is_zero() {
        return word(FinalResponse::DeadlineExceeded);
    }
    talk.set_idle_since(None);
    let (tell, told) = oneshot::channel();
    let upload = cargo.upload().cloned();
    tokio::spawn(command::run(Arc::clone(&intake.desk), need, cargo, tell));
    let answer = tokio::select! {
        biased;
        // Dropped with its connection, this tells the command that its client is gone.
        answer = told => match answer {
            // Given up, as something lay behind the request.
            Err(_) if talk.framing.has_early_bytes() => StatusCode::BAD_REQUEST.into_response(),
            answer => word(answer.unwrap_or(FinalResponse::Failed)),
        },
        // Guards against a request hidden behind another: clients send one at a time.
        () = talk.framing.early_bytes() => StatusCode::BAD_REQUEST.into_response(),
        ill = ill(&upload) => status(ill).into_response(),
    };
    // Whatever its command came to by then: that was the client's doing.
    if let Some(ill) = upload.as_ref().and_then(|upload| upload.failure()) {
        return status(ill).into_response();
    }
    if let Some(upload) = upload.filter(|upload| !upload.is_finished()) {
        tokio::spawn(async move { upload.drain().await });
    }
    answer
}

/// Ends when a long body turns out to be of no use.
async fn ill(upload: &Option<Arc<StreamedUpload>>) -> BodyError {
    match upload {
        Some(upload) => upload.failed().await,
        None => std::future::pending().await,
    }
}

impl RequestHandler {
    /// `memory` in bytes, of which a share may hold bodies.
    pub fn new(
        desk: Arc<Desk>,
        orders: &BalancerConfig,
        memory: usize,
        claims: Arc<InFlightIds>,
        stages: Stages,
    ) -> Self {
        // At the start the module numbers verbs as the orders do.
        let numbers: Vec<_> = (0..orders.classes.len()).collect();
        let table = Mutex::new(Arc::new(Table::of(orders, &numbers, Vec::new())));
        let steps = memory / ROOM_SHARE / ROOM;
        let (room, half) = (Arc::new(Semaphore::new(steps)), steps / 2);
        RequestHandler {
            desk,
            table,
            stages,
            room,
            claims,
            half,
            left: AtomicUsize::new(0),
        }
    }

    /// Has every open command answered.
    pub fn expire_open_commands(&self) {
        self.desk.out_of_time();
    }

    /// Takes other orders, whose verbs the module has numbered.
    pub fn reconfigure(&self, orders: &BalancerConfig, numbers: &[usize]) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let before = table.verbs.clone();
        *table = Arc::new(Table::of(orders, numbers, before));
    }

    /// Leaves half of the room to another process, or has all of it again. What is taken already stays so.
    pub fn share_body_budget(&self, shared: bool) {
        match shared {
            true => drop(
                self.left
                    .fetch_add(self.room.forget_permits(self.half), Relaxed),
            ),
            false => self.room.add_permits(self.left.swap(0, Relaxed)),
        }
    }

    fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn serving(&self) -> bool {
        *self.stages.borrow() == Stage::Serving
    }

    async fn read(
        &self,
        request: Request,
        talk: &Arc<ClientConnection>,
    ) -> Result<(CommandParams, CommandRequest), StatusCode> {
        let (parts, body) = request.into_parts();
        let name = parts.uri.path().split('/').nth(1).unwrap_or_default();
        let table = self.table();
        let length = body.size_hint();
        if length.lower() > MAX_BODY_BYTES as u64 {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        // Guards against a request that an endpoint may read in another way.
        let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        let told = framing.iter().any(|name| parts.headers.contains_key(name));
        let keyed = parts.headers.contains_key(IDEMPOTENCY_KEY);
        let carries = |verb: &RequestClassConfig| match verb.effect {
            Effect::Safe => {
                parts.method == Method::GET && length.exact().is_none_or(|length| length == 0)
            }
            Effect::NonIdempotent => parts.method == Method::POST && told,
            Effect::Keyed => [Method::POST, Method::PUT].contains(&parts.method) && told && keyed,
        };
        let verb = table.verb(name, carries).ok_or(StatusCode::NOT_FOUND)?;
        let verb = verb.map_err(|()| StatusCode::BAD_REQUEST)?;
        let need = need(verb, &table.companies, &parts.headers, talk)
            .filter(|_| !talk.framing.has_ambiguous_length());
        let mut need = need.ok_or(StatusCode::BAD_REQUEST)?;
        let pure = verb.0.effect == Effect::Safe;
        let mut patience = MinRateTimer::new(talk.min_read_time());
        let (body, room) = match length.exact() {
            Some(0) => (Read::Whole(Bytes::new()), None),
            _ => self.first_of(body, &mut patience).await?,
        };
        if talk.framing.has_early_bytes() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let waited = self.desk.may_have_waited().max(talk.backlog_wait());
        if !waited.is_zero() {
            // Only here: to the module an odd budget tells that a client's earlier tries have spent the rest.
            need.time_limit = need.budget.saturating_sub(waited);
        }
        let (held, rest) = match body {
            Read::Whole(body) if pure && !body.is_empty() => return Err(StatusCode::BAD_REQUEST),
            Read::Part(..) if pure => return Err(StatusCode::BAD_REQUEST),
            Read::Whole(body) => (body, None),
            Read::Part(first, rest) => (
                Bytes::new(),
                Some(StreamedUpload::new(first, rest, patience)),
            ),
        };
        let cargo = CommandRequest::new(parts, held, room).ok_or(StatusCode::BAD_REQUEST)?;
        Ok((
            need,
            rest.into_iter().fold(cargo, CommandRequest::with_upload),
        ))
    }

    /// A body whole, with its room if it is more than small; or as much of it as there is room for. Guards against
    /// long ones that fill the memory: past a share of it they are passed on as they come.
    async fn first_of(
        &self,
        mut body: Body,
        patience: &mut MinRateTimer,
    ) -> Result<(Read, Option<OwnedSemaphorePermit>), StatusCode> {
        let (mut held, mut room) = (BytesMut::new(), None);
        let stated = body.size_hint().exact().map(|length| length as usize);
        if let Some(length) = stated.filter(|length| *length > SMALL_BODY) {
            match self.room_for(length, &mut room) {
                true => held.reserve(length),
                false => return Ok((Read::Part(Bytes::new(), body), None)),
            }
        }
        while let Some(data) = std::future::poll_fn(|cx| patience.poll_next(&mut body, cx)).await {
            held.extend_from_slice(&data.map_err(status)?);
            if stated.is_none() && held.len() > SMALL_BODY && !self.room_for(held.len(), &mut room)
            {
                return Ok((Read::Part(held.freeze(), body), room));
            }
        }
        Ok((Read::Whole(held.freeze()), room))
    }

    /// Takes room for so much, on top of what is taken.
    fn room_for(&self, length: usize, room: &mut Option<OwnedSemaphorePermit>) -> bool {
        let taken = room.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let more = length.div_ceil(ROOM).saturating_sub(taken) as u32;
        if length > MAX_BUFFERED_REQUEST_BYTES {
            return false;
        }
        let Ok(more) = Arc::clone(&self.room).try_acquire_many_owned(more) else {
            return false;
        };
        match room {
            Some(room) => room.merge(more),
            None => *room = Some(more),
        }
        true
    }
}

/// How much of a body was read ahead of its command.
enum Read {
    Whole(Bytes),
    Part(Bytes, Body),
}

fn status(ill: BodyError) -> StatusCode {
    match ill {
        BodyError::Slow => StatusCode::REQUEST_TIMEOUT,
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Broken => StatusCode::BAD_REQUEST,
    }
}

/// The fields that decisions need; none if one is malformed.
fn need(
    (order, verb): &(RequestClassConfig, usize),
    companies: &[String],
    headers: &HeaderMap,
    client: &Arc<ClientConnection>,
) -> Option<CommandParams> {
    let id = single(headers, "req-id")??;
    let limit = single(headers, "req-deadline-ms")??;
    let digits = limit.len() <= MOST_DIGITS && limit.bytes().all(|b| b.is_ascii_digit());
    // A longer one than the settings know holds no place for longer.
    let limit = Duration::from_millis(limit.parse().ok().filter(|_| digits)?).min(order.time_limit);
    let company = single(headers, "req-owner")?;
    // Without a key nobody could drop a repeat, which for a receipted command is counted on.
    let key = single(headers, IDEMPOTENCY_KEY.as_str())?.map(str::len);
    let marked = key.map_or(order.effect != Effect::Keyed, |len| len > 0);
    let again = match single(headers, "req-retry")? {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return None,
    };
    // What it is about, where endpoints remember that: one of the further figures, `name=value,name=value`.
    let figures = single(headers, "req-extra")?.unwrap_or_default();
    let about = figures
        .split(',')
        .find_map(|pair| pair.trim().strip_prefix("name_key="));
    let margin = MARGIN.min(limit / 20);
    (!id.is_empty() && !limit.is_zero() && marked).then(|| CommandParams {
        class: *verb,
        tenant: company.and_then(|c| companies.iter().position(|known| known == c)),
        budget: limit - margin,
        time_limit: limit - margin / 2,
        is_retry: again,
        key: about
            .filter(|about| !about.is_empty() && *about != "-")
            .map(stable_hash),
        client: Arc::clone(client),
    })
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
fn word(answer: FinalResponse) -> Response {
    match answer {
        FinalResponse::FromEndpoint(answer) => answer.map(Body::new),
        FinalResponse::Refused {
            retry_after: not_before,
        } => {
            let mut answer = StatusCode::SERVICE_UNAVAILABLE.into_response();
            let after = not_before.map(|wait| format!("{:.3}", wait.as_secs_f64()));
            if let Some(after) = after.and_then(|text| HeaderValue::from_str(&text).ok()) {
                answer.headers_mut().insert(header::RETRY_AFTER, after);
            }
            answer
        }
        FinalResponse::Failed => StatusCode::BAD_GATEWAY.into_response(),
        FinalResponse::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}
