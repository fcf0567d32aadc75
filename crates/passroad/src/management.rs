//! The operators' door: an address of its own, served by a thread of its own, so that a busy front can't hold it up.

use crate::fleet;
use crate::handover::{Handover, Inherited};
use crate::stop::{Stage, Stages};
use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{Path, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use passroad_choice::interner::stable_hash;
use serde::Deserialize;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Descriptors that are set aside: those of callers, and of the runtime.
pub const SOCKETS: usize = MOST_CALLERS + 8;
const MOST_CALLERS: usize = 48;
const BACKLOG: i32 = 256;
const CALL_WITHIN: Duration = Duration::from_secs(3); // the whole call with its answer
const LONGEST_HEAD: usize = 8 << 10;
const LONGEST_BODY: usize = 4 << 10;
const LONGEST_WORK: u32 = 30 * 24 * 3600; // on a machine, in seconds
const TRIES_APART: Duration = Duration::from_millis(20); // to accept, after a failure

#[derive(Clone)]
struct Door {
    handover: Arc<Handover>,
    fleet: Option<fleet::Door>,
    stages: Stages,
}

#[derive(Deserialize)]
struct Which {
    id: String,
}

/// Takes the address.
pub fn listen(at: SocketAddr) -> Result<std::net::TcpListener, String> {
    let bound = || {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(at),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        Ok::<_, std::io::Error>(socket.into())
    };
    bound().map_err(|e| format!("management: listen on {at}: {e}"))
}

/// Serves calls for as long as the process runs.
pub fn open(
    listener: std::net::TcpListener,
    handover: Arc<Handover>,
    upgrade: Option<(Option<Inherited>, PathBuf)>,
    fleet: Option<fleet::Door>,
    stages: Stages,
) -> Result<(), String> {
    let fault = |e: std::io::Error| format!("management: {e}");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(fault)?;
    let at = listener.local_addr().map_err(fault)?;
    let serve = move || {
        runtime.block_on(async move {
            if let Some((before, place)) = upgrade {
                tokio::spawn(Arc::clone(&handover).serve(before, place));
            }
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    serve(
                        listener,
                        router(Door {
                            handover,
                            fleet,
                            stages,
                        }),
                    )
                    .await
                }
                Err(fault) => log::error!("management: {fault}"),
            }
        });
    };
    std::thread::Builder::new()
        .name("management".into())
        .spawn(serve)
        .map_err(fault)?;
    log::info!(management:% = at; "operators are answered on {at}");
    Ok(())
}

fn router(door: Door) -> Router {
    Router::new()
        .route("/admin/health", get(health))
        .route("/admin/fleet", get(fleet_status))
        .route("/admin/work", get(work_status).post(work_request))
        .route("/admin/work/{word}", post(work_word))
        .route("/admin/cordon", post(|door, body| turn(door, body, true)))
        .route(
            "/admin/uncordon",
            post(|door, body| turn(door, body, false)),
        )
        .method_not_allowed_fallback(async || {
            said(StatusCode::METHOD_NOT_ALLOWED, "not by this method")
        })
        .fallback(async || said(StatusCode::NOT_FOUND, "no such call"))
        .with_state(door)
}

async fn health(State(door): State<Door>) -> Response {
    match *door.stages.borrow() {
        Stage::Serving => said(StatusCode::OK, "clients are taken"),
        _ => said(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

async fn fleet_status(State(door): State<Door>) -> Response {
    let Some(fleet) = door.fleet else {
        return said(
            StatusCode::NOT_FOUND,
            "this sidecar has no fleet's file, or may not talk to others",
        );
    };
    known(fleet.status().await)
}

/// What the fleet's thread knows, as it says it.
fn known(told: Option<serde_json::Value>) -> Response {
    match told {
        Some(told) => {
            let json = (
                header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            );
            let close = (header::CONNECTION, HeaderValue::from_static("close"));
            (StatusCode::OK, [json, close], format!("{told}\n")).into_response()
        }
        None => said(
            StatusCode::SERVICE_UNAVAILABLE,
            "the fleet's part has ended or is too busy",
        ),
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Request {
    #[serde(default)]
    machines: Vec<String>,
    /// In place of ids: all in a zone, of a kind, in a cell.
    #[serde(default)]
    all: Option<fleet::Those>,
    #[serde(default = "ten_minutes")]
    for_s: u32,
    #[serde(default)]
    back: bool,
    #[serde(default)]
    name: Option<String>,
}

fn ten_minutes() -> u32 {
    600
}

#[derive(Deserialize)]
struct OfMachine {
    machine: String,
}

/// The fleet's part, where it settles the order of work.
fn upkeep(door: &Door) -> Option<&fleet::Door> {
    door.fleet.as_ref().filter(|fleet| fleet.upkeep)
}

fn no_upkeep() -> Response {
    said(
        StatusCode::NOT_FOUND,
        "no order of work here: no fleet's file with [upkeep], or no leave to talk",
    )
}

async fn work_status(State(door): State<Door>) -> Response {
    let Some(fleet) = upkeep(&door) else {
        return no_upkeep();
    };
    known(fleet.work().await)
}

async fn work_request(State(door): State<Door>, body: Body) -> Response {
    let Some(fleet) = upkeep(&door) else {
        return no_upkeep();
    };
    let Ok(body) = to_bytes(body, LONGEST_BODY).await else {
        return said(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large or breaks off",
        );
    };
    let mut request: Request = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(fault) => {
            return said(
                StatusCode::BAD_REQUEST,
                &format!("not {{\"machines\":[\"ID\"]}}: {fault}"),
            );
        }
    };
    match request.all.take() {
        Some(_) if !request.machines.is_empty() => {
            return said(
                StatusCode::BAD_REQUEST,
                "machines by their ids, or all of some, not both",
            );
        }
        Some(all) if all.zone.is_none() && all.kind.is_none() && all.cell.is_none() => {
            return said(StatusCode::BAD_REQUEST, "all of which zone, kind or cell");
        }
        Some(all) => request.machines = fleet.those(all).await.unwrap_or_default(),
        None => {}
    }
    if request.machines.is_empty()
        || request.machines.len() > passroad_upkeep::MAX_MACHINES_PER_REQUEST
        || !(1..=LONGEST_WORK).contains(&request.for_s)
    {
        let (count, most) = (
            request.machines.len(),
            passroad_upkeep::MAX_MACHINES_PER_REQUEST,
        );
        let what =
            format!("from 1 to {most} machines, for a second to thirty days; these are {count}");
        return said(StatusCode::BAD_REQUEST, &what);
    }
    // Asked twice by its name, it is one request.
    let name = request
        .name
        .unwrap_or_else(|| format!("{:?}", std::time::SystemTime::now()));
    let word = passroad_upkeep::Message::Schedule {
        request: stable_hash(&name),
        duration_s: request.for_s,
        auto_return: request.back,
        machines: request.machines.iter().map(|id| stable_hash(id)).collect(),
    };
    told(fleet.operator(word).await, "taken into the order")
}

async fn work_word(State(door): State<Door>, Path(word): Path<String>, body: Body) -> Response {
    let Some(fleet) = upkeep(&door) else {
        return no_upkeep();
    };
    let Some(what) = fleet::order(&word) else {
        return said(StatusCode::NOT_FOUND, "no such call");
    };
    let body = to_bytes(body, LONGEST_BODY).await.unwrap_or_default();
    let of: OfMachine = match serde_json::from_slice(&body) {
        Ok(of) => of,
        Err(fault) => {
            return said(
                StatusCode::BAD_REQUEST,
                &format!("not {{\"machine\":\"ID\"}}: {fault}"),
            );
        }
    };
    let request = stable_hash(&format!(
        "{word} {} {:?}",
        of.machine,
        std::time::SystemTime::now()
    ));
    if word == "force" || word == "begin" {
        log::warn!("fleet: work: an operator says {word} {}", of.machine);
    }
    let word = passroad_upkeep::Message::Operate {
        request,
        machine: stable_hash(&of.machine),
        action: what,
    };
    told(fleet.operator(word).await, "done")
}

/// The conductor's answer to an operator.
fn told(answer: Option<Option<passroad_upkeep::Rejection>>, yes: &str) -> Response {
    match answer {
        Some(None) => said(StatusCode::OK, yes),
        Some(Some(refused)) => said(StatusCode::CONFLICT, fleet::refusal(refused)),
        None => said(
            StatusCode::ACCEPTED,
            "no conductor has answered yet; it goes on being asked, see the status",
        ),
    }
}

async fn turn(State(door): State<Door>, body: Body, out: bool) -> Response {
    let Ok(body) = to_bytes(body, LONGEST_BODY).await else {
        return said(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large or breaks off",
        );
    };
    let which: Which = match serde_json::from_slice(&body) {
        Ok(which) => which,
        Err(fault) => {
            return said(
                StatusCode::BAD_REQUEST,
                &format!("not {{\"id\":\"ID\"}}: {fault}"),
            );
        }
    };
    // The yes is said only once the ban is in effect.
    match door.handover.cordon(&which.id, out).await {
        true => said(StatusCode::OK, if out { "out" } else { "back in use" }),
        false => said(StatusCode::NOT_FOUND, "no endpoint of this id was listed"),
    }
}

/// One line of JSON.
fn said(status: StatusCode, what: &str) -> Response {
    let key = if status.is_success() { "ok" } else { "error" };
    let line = format!("{}\n", serde_json::json!({ key: what }));
    let json = (
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let close = (header::CONNECTION, HeaderValue::from_static("close"));
    (status, [json, close], line).into_response()
}

async fn serve(listener: TcpListener, router: Router) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|caller| !caller.is_finished());
                // Guards against callers that hold connections and say nothing: whoever has waited longest goes.
                if callers.len() >= MOST_CALLERS {
                    callers.pop_front().iter().for_each(AbortHandle::abort);
                }
                callers.push_back(tokio::spawn(call(stream, router.clone())).abort_handle());
            }
            Err(fault) => {
                log::warn!("management: accept: {fault}");
                sleep(TRIES_APART).await;
            }
        }
    }
}

/// One call of one caller.
async fn call(stream: TcpStream, router: Router) {
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    let _ = timeout(CALL_WITHIN, connection).await;
}
