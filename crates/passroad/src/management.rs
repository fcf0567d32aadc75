//! The management endpoint: an address of its own, served by a thread of its own, so that client load can't delay it.

use crate::fleet;
use crate::handover::{CordonOutcome, Handover, Inherited};
use crate::memory_budget::MemoryBudget;
use crate::metrics;
use crate::shutdown::{ShutdownStage, ShutdownWatch};
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

/// Descriptors that are reserved for callers and the runtime.
pub const SOCKETS: usize = MAX_CALLERS + 8;
const MAX_CALLERS: usize = 48;
const BACKLOG: i32 = 256;
const CALL_TIMEOUT: Duration = Duration::from_secs(3); // for request and response
const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_BODY_BYTES: usize = 4 << 10;
const MAX_MAINTENANCE_S: u32 = 30 * 24 * 3600; // on one machine
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

#[derive(Clone)]
struct AppState {
    handover: Arc<Handover>,
    fleet: Option<fleet::FleetHandle>,
    memory: Arc<MemoryBudget>,
    stages: ShutdownWatch,
}

// Error texts in responses name the type of a body: by `expecting`, the same one whatever its name here.
#[derive(Deserialize)]
#[serde(expecting = "struct Which")]
struct EndpointBody {
    id: String,
}

/// Binds the address.
pub fn listen(address: SocketAddr) -> Result<std::net::TcpListener, String> {
    let bound = || {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok::<_, std::io::Error>(socket.into())
    };
    bound().map_err(|e| format!("management: listen on {address}: {e}"))
}

/// Serves requests for as long as the process runs.
pub fn open(
    listener: std::net::TcpListener,
    handover: Arc<Handover>,
    upgrade: Option<(Option<Inherited>, PathBuf)>,
    fleet: Option<fleet::FleetHandle>,
    memory: Arc<MemoryBudget>,
    stages: ShutdownWatch,
) -> Result<(), String> {
    let describe = |e: std::io::Error| format!("management: {e}");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(describe)?;
    let address = listener.local_addr().map_err(describe)?;
    let serve = move || {
        runtime.block_on(async move {
            if let Some((predecessor, path)) = upgrade {
                tokio::spawn(Arc::clone(&handover).serve(predecessor, path));
            }
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    serve(
                        listener,
                        router(AppState {
                            handover,
                            fleet,
                            memory,
                            stages,
                        }),
                    )
                    .await
                }
                Err(error) => log::error!("management: {error}"),
            }
        });
    };
    std::thread::Builder::new()
        .name("management".into())
        .spawn(serve)
        .map_err(describe)?;
    log::info!(management:% = address; "management endpoint listens on {address}");
    Ok(())
}

fn router(app: AppState) -> Router {
    Router::new()
        .route("/admin/health", get(health))
        .route("/admin/metrics", get(metrics_page))
        .route("/admin/fleet", get(fleet_status))
        .route("/admin/work", get(work_status).post(work_request))
        .route("/admin/work/{action}", post(work_action))
        .route(
            "/admin/cordon",
            post(|app, body| set_cordoned(app, body, true)),
        )
        .route(
            "/admin/uncordon",
            post(|app, body| set_cordoned(app, body, false)),
        )
        .method_not_allowed_fallback(async || {
            respond(StatusCode::METHOD_NOT_ALLOWED, "not by this method")
        })
        .fallback(async || respond(StatusCode::NOT_FOUND, "no such call"))
        .with_state(app)
}

async fn health(State(app): State<AppState>) -> Response {
    match *app.stages.borrow() {
        ShutdownStage::Serving => respond(StatusCode::OK, "clients are taken"),
        _ => respond(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// What the process holds, and what it did and why since its start.
async fn metrics_page(State(app): State<AppState>) -> Response {
    let page = serde_json::json!({
        "memory": app.memory.status(), "counts": metrics::counts(), "excluded": app.handover.excluded_endpoints(),
    });
    status_page(Some(page))
}

async fn fleet_status(State(app): State<AppState>) -> Response {
    let Some(fleet) = app.fleet else {
        return respond(
            StatusCode::NOT_FOUND,
            "this sidecar has no fleet's file, or may not talk to others",
        );
    };
    status_page(fleet.status().await)
}

/// A status as a response; there is none if the fleet's thread doesn't answer.
fn status_page(status: Option<serde_json::Value>) -> Response {
    match status {
        Some(status) => {
            let json = (
                header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            );
            let close = (header::CONNECTION, HeaderValue::from_static("close"));
            (StatusCode::OK, [json, close], format!("{status}\n")).into_response()
        }
        None => respond(
            StatusCode::SERVICE_UNAVAILABLE,
            "the fleet's part has ended or is too busy",
        ),
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Request")]
struct MaintenanceRequest {
    #[serde(default)]
    machines: Vec<String>,
    /// Instead of ids: all machines in a zone, of a kind, in a cell.
    #[serde(default)]
    all: Option<fleet::MachineFilter>,
    #[serde(default = "default_duration_s", rename = "for_s")]
    duration_s: u32,
    #[serde(default, rename = "back")]
    auto_return: bool,
    #[serde(default)]
    name: Option<String>,
}

fn default_duration_s() -> u32 {
    600
}

#[derive(Deserialize)]
#[serde(expecting = "struct OfMachine")]
struct MachineBody {
    machine: String,
}

/// The fleet handle, if the fleet takes machines out for maintenance.
fn maintenance(app: &AppState) -> Option<&fleet::FleetHandle> {
    app.fleet.as_ref().filter(|fleet| fleet.maintenance)
}

fn no_maintenance() -> Response {
    respond(
        StatusCode::NOT_FOUND,
        "no order of work here: no fleet's file with [upkeep], or no leave to talk",
    )
}

async fn work_status(State(app): State<AppState>) -> Response {
    let Some(fleet) = maintenance(&app) else {
        return no_maintenance();
    };
    status_page(fleet.operation_log().await)
}

async fn work_request(State(app): State<AppState>, body: Body) -> Response {
    let Some(fleet) = maintenance(&app) else {
        return no_maintenance();
    };
    let Ok(body) = to_bytes(body, MAX_BODY_BYTES).await else {
        return respond(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large or breaks off",
        );
    };
    let mut request: MaintenanceRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(error) => {
            return respond(
                StatusCode::BAD_REQUEST,
                &format!("not {{\"machines\":[\"ID\"]}}: {error}"),
            );
        }
    };
    match request.all.take() {
        Some(_) if !request.machines.is_empty() => {
            return respond(
                StatusCode::BAD_REQUEST,
                "machines by their ids, or all of some, not both",
            );
        }
        Some(all) if all.zone.is_none() && all.kind.is_none() && all.cell.is_none() => {
            return respond(StatusCode::BAD_REQUEST, "all of which zone, kind or cell");
        }
        Some(all) => request.machines = fleet.find_machines(all).await.unwrap_or_default(),
        None => {}
    }
    if request.machines.is_empty()
        || request.machines.len() > passroad_upkeep::MAX_MACHINES_PER_REQUEST
        || !(1..=MAX_MAINTENANCE_S).contains(&request.duration_s)
    {
        let (count, max) = (
            request.machines.len(),
            passroad_upkeep::MAX_MACHINES_PER_REQUEST,
        );
        let message =
            format!("from 1 to {max} machines, for a second to thirty days; these are {count}");
        return respond(StatusCode::BAD_REQUEST, &message);
    }
    // Requests of the same name are one request.
    let name = request
        .name
        .unwrap_or_else(|| format!("{:?}", std::time::SystemTime::now()));
    let message = passroad_upkeep::Message::Schedule {
        request: stable_hash(&name),
        duration_s: request.duration_s,
        auto_return: request.auto_return,
        machines: request.machines.iter().map(|id| stable_hash(id)).collect(),
    };
    operator_response(fleet.submit(message).await, "taken into the order")
}

async fn work_action(
    State(app): State<AppState>,
    Path(name): Path<String>,
    body: Body,
) -> Response {
    let Some(fleet) = maintenance(&app) else {
        return no_maintenance();
    };
    let Some(action) = fleet::parse_action(&name) else {
        return respond(StatusCode::NOT_FOUND, "no such call");
    };
    let body = to_bytes(body, MAX_BODY_BYTES).await.unwrap_or_default();
    let target: MachineBody = match serde_json::from_slice(&body) {
        Ok(target) => target,
        Err(error) => {
            return respond(
                StatusCode::BAD_REQUEST,
                &format!("not {{\"machine\":\"ID\"}}: {error}"),
            );
        }
    };
    let request = stable_hash(&format!(
        "{name} {} {:?}",
        target.machine,
        std::time::SystemTime::now()
    ));
    if name == "force" || name == "begin" {
        log::warn!("fleet: work: operator action {name} {}", target.machine);
    }
    let message = passroad_upkeep::Message::Operate {
        request,
        machine: stable_hash(&target.machine),
        action,
    };
    operator_response(fleet.submit(message).await, "done")
}

/// The coordinator's answer as a response.
fn operator_response(
    answer: Option<Option<passroad_upkeep::Rejection>>,
    success: &str,
) -> Response {
    match answer {
        Some(None) => respond(StatusCode::OK, success),
        Some(Some(rejected)) => respond(StatusCode::CONFLICT, fleet::rejection_text(rejected)),
        None => respond(
            StatusCode::ACCEPTED,
            "no conductor has answered yet; it goes on being asked, see the status",
        ),
    }
}

async fn set_cordoned(State(app): State<AppState>, body: Body, cordoned: bool) -> Response {
    let Ok(body) = to_bytes(body, MAX_BODY_BYTES).await else {
        return respond(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large or breaks off",
        );
    };
    let endpoint: EndpointBody = match serde_json::from_slice(&body) {
        Ok(endpoint) => endpoint,
        Err(error) => {
            return respond(
                StatusCode::BAD_REQUEST,
                &format!("not {{\"id\":\"ID\"}}: {error}"),
            );
        }
    };
    // Answers only once the change is in effect.
    match app.handover.cordon(&endpoint.id, cordoned).await {
        CordonOutcome::Cordoned => respond(StatusCode::OK, "out"),
        CordonOutcome::InUse => respond(StatusCode::OK, "back in use"),
        CordonOutcome::UnderMaintenance => respond(
            StatusCode::OK,
            "no longer cordoned, and out until its work is done",
        ),
        CordonOutcome::NeverListed => {
            respond(StatusCode::NOT_FOUND, "no endpoint of this id was listed")
        }
    }
}

/// A response with one line of JSON.
fn respond(status: StatusCode, message: &str) -> Response {
    let key = if status.is_success() { "ok" } else { "error" };
    let line = format!("{}\n", serde_json::json!({ key: message }));
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
                // Closes the oldest connection, so that idle callers can't hold all of them.
                if callers.len() >= MAX_CALLERS {
                    callers.pop_front().iter().for_each(AbortHandle::abort);
                }
                callers
                    .push_back(tokio::spawn(serve_caller(stream, router.clone())).abort_handle());
            }
            Err(error) => {
                log::warn!("management: accept: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one request of one caller.
async fn serve_caller(stream: TcpStream, router: Router) {
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    let _ = timeout(CALL_TIMEOUT, connection).await;
}
