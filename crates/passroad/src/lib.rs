//! The sidecar. A command comes in at `front`, lives in `command`, goes out by `relay`; `probe` and `list` tell
//! how the endpoints are; `desk` holds the decision module and hands what it decides to its owners.

mod body;
mod command;
mod desk;
pub mod fleet;
mod framing;
mod handover;
pub mod hollow;
mod in_flight;
mod list;
mod listener;
mod logging;
mod management;
mod members;
mod probe;
mod relay;
mod request_handler;
mod room;
mod send_guard;
mod start;
mod stop;

use clap::{Parser, Subcommand};
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A sidecar that starts waits so long to hear what is out for work, where that is settled among the sidecars.
const INFORMED_WITHIN: Duration = Duration::from_secs(1);

/// A process before this one may hold an address for so long: it is killed 3.7 s after SIGTERM, and later where the machine is
/// busy. PROTOCOL: a start may take half a minute.
const HELD_WITHIN: Duration = Duration::from_secs(25);
const TRIES_APART: Duration = Duration::from_millis(20);

/// passroad: a load balancer of which every client process runs its own copy.
///
/// Without a command it is the sidecar, as `run` without options. SIGHUP has the configuration read again, SIGTERM ends it
/// once all that was taken is answered. Faulty input ends it with one line on standard error and exit code 2.
#[derive(Parser)]
#[command(name = "passroad", version)]
struct Told {
    #[command(subcommand)]
    what: Option<What>,
}

#[derive(Subcommand)]
enum What {
    /// Be the sidecar.
    Run {
        #[command(flatten)]
        files: Files,
        /// How log lines are written to standard error; RUST_LOG sets their level.
        #[arg(long, value_enum, default_value_t)]
        log_format: LogFormat,
    },
    /// Ask a running sidecar what it knows of the fleet.
    Fleet {
        #[command(subcommand)]
        what: FleetWhat,
    },
    /// Have machines taken out for work, one after the other, by all sidecars; ask any one of them.
    Work {
        #[command(subcommand)]
        what: WorkWhat,
        /// The sidecar's operators' door; else LB_MANAGEMENT.
        #[arg(long, global = true, value_name = "ADDRESS")]
        door: Option<std::net::SocketAddr>,
    },
    /// Read configuration and routes, and say what is wrong with them: 0 if nothing is, 2 if something is.
    Check {
        #[command(flatten)]
        files: Files,
    },
}

/// Where the sidecar's files are.
#[derive(clap::Args, Debug, Clone, Default)]
pub struct Files {
    /// The configuration; else the file that LB_CONFIG names.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The routes; else the file that LB_ROUTES names, if any.
    #[arg(long, value_name = "FILE")]
    pub routes: Option<PathBuf>,
    /// The fleet's file; else the file that LB_FLEET names, if any.
    #[arg(long, value_name = "FILE")]
    pub fleet: Option<PathBuf>,
}

#[derive(Subcommand)]
enum WorkWhat {
    /// Take these out, in this order, each when the one before is back and warm.
    Request {
        /// Ids of endpoints, as discovery has them.
        #[arg(required_unless_present_any = ["zone", "kind", "cell"], conflicts_with_all = ["zone", "kind", "cell"])]
        machines: Vec<String>,
        /// All in this zone.
        #[arg(long)]
        zone: Option<String>,
        /// All of this kind.
        #[arg(long)]
        kind: Option<String>,
        /// All in this cell.
        #[arg(long)]
        cell: Option<usize>,
        /// How long the work on one may take: 30s, 10m. After that it is told, or with --back the machine comes back.
        #[arg(long = "for", default_value = "10m", value_name = "TIME")]
        lasts: String,
        /// Bring each back by itself when that time is over.
        #[arg(long)]
        back: bool,
        /// A name for the request: asked twice by it, it is one.
        #[arg(long)]
        name: Option<String>,
    },
    /// What is out, what waits, and in which order.
    Status {
        #[arg(long)]
        json: bool,
    },
    /// The work on a machine is done: back into use.
    Done { machine: String },
    /// Not any more, if its work has not begun.
    Withdraw { machine: String },
    /// Take a machine for empty though some sidecars say nothing: they may still send to it.
    Force { machine: String },
    /// Go on with what is known, where a majority of the sidecars that keep the order has forgotten it.
    Begin,
}

#[derive(Subcommand)]
enum FleetWhat {
    /// Who is here, in doubt or gone, and who owns what by which epoch.
    Status {
        /// The sidecar's operators' door; else LB_MANAGEMENT.
        #[arg(long, value_name = "ADDRESS")]
        door: Option<std::net::SocketAddr>,
        /// All that is known, as JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(clap::ValueEnum, Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line, with the line's values apart.
    Json,
}

/// The program as its arguments ask for it, to its exit code.
pub fn from_arguments() -> ExitCode {
    match Told::parse().what {
        None => main(),
        Some(What::Run { files, log_format }) => sidecar(files, log_format),
        Some(What::Fleet {
            what: FleetWhat::Status { door, json },
        }) => ended(fleet_status(door, json)),
        Some(What::Work { what, door }) => ended(work(what, door)),
        Some(What::Check { files }) => ended(start::check(&files).map(|said| println!("{said}"))),
    }
}

/// The sidecar, from its variables to its exit code; whoever links it can start it from an executable of its own.
pub fn main() -> ExitCode {
    sidecar(Files::default(), LogFormat::Text)
}

fn sidecar(files: Files, format: LogFormat) -> ExitCode {
    logging::begin(format == LogFormat::Json);
    ended(start::read(&files).and_then(|start| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime
            .map_err(|e| format!("runtime: {e}"))?
            .block_on(run(start, files))
    }))
}

fn operators_door(door: Option<std::net::SocketAddr>) -> Result<std::net::SocketAddr, String> {
    let named = || {
        std::env::var("LB_MANAGEMENT")
            .ok()
            .filter(|text| !text.is_empty())
    };
    match (door, named()) {
        (Some(door), _) => Ok(door),
        (None, Some(text)) => text.parse().map_err(|e| format!("LB_MANAGEMENT: {e}")),
        (None, None) => Err("no door: --door and LB_MANAGEMENT are not set".into()),
    }
}

fn work(what: WorkWhat, door: Option<std::net::SocketAddr>) -> Result<(), String> {
    let door = operators_door(door)?;
    let word = |path: &str, machine: &str| {
        fleet::ask(
            door,
            "POST",
            &format!("/admin/work/{path}"),
            &serde_json::json!({ "machine": machine }).to_string(),
        )
    };
    let said = match what {
        WorkWhat::Status { json } => {
            let said = fleet::ask(door, "GET", "/admin/work", "")?;
            print!(
                "{}",
                if json {
                    format!("{said}\n")
                } else {
                    fleet::work_table(&said)
                }
            );
            return Ok(());
        }
        WorkWhat::Request {
            machines,
            zone,
            kind,
            cell,
            lasts,
            back,
            name,
        } => {
            let lasts = passroad_units::parse_duration(&lasts)
                .map_err(|fault| format!("--for: {fault}"))?;
            let all = machines
                .is_empty()
                .then(|| serde_json::json!({ "zone": zone, "kind": kind, "cell": cell }));
            let body = serde_json::json!({
                "machines": machines, "all": all, "for_s": lasts.as_secs().max(1), "back": back, "name": name,
            });
            fleet::ask(door, "POST", "/admin/work", &body.to_string())?
        }
        WorkWhat::Done { machine } => word("done", &machine)?,
        WorkWhat::Withdraw { machine } => word("withdraw", &machine)?,
        WorkWhat::Force { machine } => word("force", &machine)?,
        WorkWhat::Begin => word("begin", "")?,
    };
    println!("{}", said["ok"].as_str().unwrap_or("yes"));
    Ok(())
}

fn fleet_status(door: Option<std::net::SocketAddr>, json: bool) -> Result<(), String> {
    let door = operators_door(door)?;
    let said = fleet::ask(door, "GET", "/admin/fleet", "")?;
    print!(
        "{}",
        if json {
            format!("{said}\n")
        } else {
            fleet::table(&said)
        }
    );
    Ok(())
}

fn ended(how: Result<(), String>) -> ExitCode {
    match how {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("passroad: {}", fault.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

/// Whether an address could not be taken as somebody else listens there.
fn is_held(fault: &str) -> bool {
    fault.ends_with(&std::io::Error::from(rustix::io::Errno::ADDRINUSE).to_string())
}

/// Takes an address, as soon as whoever holds it lets go of it.
async fn once_free<T, F: Future<Output = Result<T, String>>>(
    take: impl Fn() -> F,
) -> Result<T, String> {
    let began = std::time::Instant::now();
    loop {
        match take().await {
            Err(fault) if is_held(&fault) && began.elapsed() < HELD_WITHIN => {
                tokio::time::sleep(TRIES_APART).await
            }
            taken => return taken,
        }
    }
}

async fn run(mut start: start::Start, files: Files) -> Result<(), String> {
    let hangups = start::sighup()?;
    let place = start
        .management
        .and_then(|_| handover::place(start.listen, start.folder.clone()));
    let mut before = place
        .as_ref()
        .and_then(|place| handover::ask(place, start.listen));
    let limits = room::Limits::of(&start, before.as_ref());
    let (most_in, most_out) = (limits.now.clients, limits.now.endpoints);
    let listener = match before.as_mut().map(|before| before.listener.try_clone()) {
        Some(Ok(listener)) => listener::adopt_socket(listener)?,
        _ => once_free(|| listener::bind(start.listen, start.management.is_some())).await?,
    };
    // Clients don't wait for the operators' door: it opens once the process before has given it up. In an upgrade each process
    // has a door of its own.
    let door = match start.management.map(|at| (at, management::listen(at))) {
        Some((at, Err(fault))) if before.is_none() && is_held(&fault) => {
            log::warn!("{fault}; it opens once that is free");
            Some((at, None))
        }
        Some((at, listener)) => Some((at, Some(listener?))),
        None => None,
    };
    let stages = stop::Stage::on_sigterm()?;
    log::info!(
        name = start.name.as_str(), listen:% = start.listen, most_in = most_in, most_out = most_out;
        "{} listens on {}, at most {most_in} connections in, {most_out} out", start.name, start.listen
    );
    let (calls, called) = tokio::sync::mpsc::unbounded_channel();
    let (pace, paces) = tokio::sync::watch::channel(start::Pace::of(&start.orders));
    if !start.orders.list_on_request {
        // The module takes it that changes come by themselves.
        let _ = calls.send(members::Call::Watch(true));
    }
    let dialer = relay::Dialer::new(start.connect_within, start.orders.idle_close, most_out);
    // The module is to count on a connection only as long as it is kept here.
    start.orders.idle_close = dialer.idle_timeout();
    let (moves, at) = tokio::sync::watch::channel(start.discovery);
    let kept = start::Kept::of(&start, moves);
    let orders = start.orders.clone();
    let watch = start.watch.map(|mut watch| {
        watch.orders.idle_close = dialer.idle_timeout();
        watch
    });
    let (every, watch) = watch.map(|watch| (watch.every, watch.orders)).unzip();
    let desk = desk::Desk::new(
        start.orders,
        watch,
        start.routes,
        dialer.clone(),
        start.connect_within / 5,
        calls,
    );
    if let Some(every) = every {
        tokio::spawn(Arc::clone(&desk).tell_watch(every));
    }
    let revision = start.known.as_ref().map(|list| list.revision);
    let mut known = before.as_mut().and_then(|before| before.known.take());
    let claims = Arc::<in_flight::InFlightIds>::default();
    let open = known
        .as_mut()
        .map(|known| std::mem::take(&mut known.open))
        .unwrap_or_default();
    open.into_iter()
        .for_each(|id| claims.set_in_other_process(true, id));
    let revision = match known {
        Some(known) => desk.inherit(known),
        // An empty one, too: the module calls discovery from there on.
        None => {
            desk.listed(
                passroad_choice::ListUpdateKind::Cached,
                &start.known.unwrap_or_default(),
            );
            revision
        }
    };
    tokio::spawn(Arc::clone(&desk).beat());
    tokio::spawn(list::follow(
        Arc::clone(&desk),
        at,
        paces.clone(),
        revision,
        called,
    ));
    let taken = Arc::clone(&claims);
    let intake = Arc::new(request_handler::RequestHandler::new(
        Arc::clone(&desk),
        &orders,
        start.memory,
        taken,
        stages.clone(),
    ));
    let retune = {
        let (desk, intake) = (Arc::clone(&desk), Arc::clone(&intake));
        move |start: &start::Start| {
            let numbers = desk.retune(start.orders.clone(), start.routes.clone())?;
            intake.reconfigure(&start.orders, &numbers);
            pace.send_modify(|pace| *pace = pace.then(start::Pace::of(&start.orders)));
            Ok(())
        }
    };
    tokio::spawn(start::read_again(files, hangups, kept, retune));
    let fleet = match start.fleet {
        Some((orders, place)) => fleet::begin(orders, place, &desk, stages.clone())?,
        None => None,
    };
    // Guards against commands to what is out for work, which a list may show as up.
    if let Some(fleet) = fleet.as_ref().filter(|fleet| fleet.upkeep)
        && !fleet.informed(INFORMED_WITHIN).await
    {
        log::warn!(
            "fleet: work: nobody has said within {INFORMED_WITHIN:?} what is out; the list alone is gone by until then"
        );
    }
    let front = listener::ClientConnections::new(most_in, start.sockets / 6, stages.clone());
    if let Some((at, door)) = door {
        if before.is_some() {
            intake.share_body_budget(true);
        }
        let (held_back, socket) = (Mutex::default(), listener::duplicate_socket(&listener)?);
        let (front, intake) = (Arc::clone(&front), Arc::clone(&intake));
        let room = Box::new(room::Room {
            limits,
            front,
            dialer,
            intake,
            held_back,
        });
        let handover =
            handover::Handover::new(Arc::clone(&desk), claims, stages.clone(), socket, room)?;
        let open = move |door| {
            management::open(
                door,
                handover,
                place.map(|place| (before, place)),
                fleet,
                stages,
            )
        };
        match door {
            Some(door) => open(door)?,
            None => drop(tokio::spawn(async move {
                let opened = once_free(|| std::future::ready(management::listen(at)))
                    .await
                    .and_then(open);
                opened.unwrap_or_else(|fault| log::error!("operators are not answered: {fault}"));
            })),
        }
    }
    listener::serve(listener, front, intake, paces).await;
    desk.say_watch();
    Ok(())
}
