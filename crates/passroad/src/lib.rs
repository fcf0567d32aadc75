//! The sidecar. Client connections come in at `listener` and are read by `request_handler`; each command runs in
//! `command` and goes out by `relay`. `probe` and `discovery` report the state of the endpoints. `dispatcher` holds the
//! decision module and passes on what it decides.

mod body;
mod command;
mod config;
mod descriptors;
mod discovery;
mod dispatcher;
mod endpoint_list;
mod exclusions;
pub mod fleet;
mod flow_control;
mod framing;
mod handover;
pub mod hollow;
mod in_flight;
mod listener;
mod logging;
mod management;
mod memory_budget;
mod metrics;
mod probe;
mod relay;
mod request_handler;
mod resident_memory;
mod send_guard;
mod shutdown;

use clap::{Parser, Subcommand};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a start waits to learn which machines are out, if the fleet takes machines out for maintenance.
const INFORMED_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an old process may hold an address: it is killed 3.7 s after SIGTERM, and later if the machine is busy.
/// PROTOCOL: a start may take half a minute.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(25);
const ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// passroad: a load balancer that runs as a sidecar of each client process.
///
/// Without a command it runs the sidecar, like `run` without options. SIGHUP reloads the configuration. SIGTERM ends
/// it once every command is answered. Invalid input ends it with one line on standard error and exit code 2.
#[derive(Parser)]
#[command(name = "passroad", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run the sidecar.
    Run {
        #[command(flatten)]
        files: Files,
        /// Format of the log lines on standard error; RUST_LOG sets their level.
        #[arg(long, value_enum, default_value_t)]
        log_format: LogFormat,
    },
    /// Ask a running sidecar about the fleet.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Take machines out for maintenance on all sidecars, one after the other; any sidecar takes the request.
    Work {
        #[command(subcommand)]
        command: WorkCommand,
        /// The sidecar's management address; else LB_MANAGEMENT.
        #[arg(long = "door", global = true, value_name = "ADDRESS")]
        management: Option<SocketAddr>,
    },
    /// Validate the configuration and the routes: exit code 0 if they are valid, 2 if not.
    Check {
        #[command(flatten)]
        files: Files,
    },
}

/// Paths of the sidecar's files.
#[derive(clap::Args, Debug, Clone, Default)]
pub struct Files {
    /// The configuration file; else the one that LB_CONFIG names.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The routes file; else the one that LB_ROUTES names, if any.
    #[arg(long, value_name = "FILE")]
    pub routes: Option<PathBuf>,
    /// The fleet file; else the one that LB_FLEET names, if any.
    #[arg(long, value_name = "FILE")]
    pub fleet: Option<PathBuf>,
}

#[derive(Subcommand)]
enum WorkCommand {
    /// Take machines out in this order, each once the previous one is back and warm.
    Request {
        /// Ids of endpoints, as in discovery.
        #[arg(required_unless_present_any = ["zone", "kind", "cell"], conflicts_with_all = ["zone", "kind", "cell"])]
        machines: Vec<String>,
        /// All machines in this zone.
        #[arg(long)]
        zone: Option<String>,
        /// All machines of this kind.
        #[arg(long)]
        kind: Option<String>,
        /// All machines in this cell.
        #[arg(long)]
        cell: Option<usize>,
        /// How long the maintenance of a machine may take: 30s, 10m. After that it is logged, or with --back the
        /// machine returns.
        #[arg(long = "for", default_value = "10m", value_name = "TIME")]
        duration: String,
        /// Return each machine by itself when that time is over.
        #[arg(long)]
        back: bool,
        /// A name for the request: sent again by the same name, it counts once.
        #[arg(long)]
        name: Option<String>,
    },
    /// Show which machines are out or waiting, and in which order.
    Status {
        #[arg(long)]
        json: bool,
    },
    /// End the maintenance of a machine and return it to use.
    Done { machine: String },
    /// Cancel the request for a machine, if its maintenance has not begun.
    Withdraw { machine: String },
    /// Treat a machine as idle although some sidecars have not replied: they may still send to it.
    Force { machine: String },
    /// Continue with the known entries, if a majority of the voters has lost the operation log.
    Begin,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Show which sidecars are alive, suspect or dead, and the owner and epoch of each lease.
    Status {
        /// The sidecar's management address; else LB_MANAGEMENT.
        #[arg(long = "door", value_name = "ADDRESS")]
        management: Option<SocketAddr>,
        /// The whole status, as JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(clap::ValueEnum, Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LogFormat {
    /// Text lines.
    #[default]
    Text,
    /// One JSON object per line, with the line's values as fields.
    Json,
}

/// Runs the program by its arguments; returns its exit code.
pub fn from_arguments() -> ExitCode {
    match Arguments::parse().command {
        None => main(),
        Some(Command::Run { files, log_format }) => sidecar(files, log_format),
        Some(Command::Fleet {
            command: FleetCommand::Status { management, json },
        }) => exit_code(fleet_status(management, json)),
        Some(Command::Work {
            command,
            management,
        }) => exit_code(work(command, management)),
        Some(Command::Check { files }) => {
            exit_code(config::check(&files).map(|summary| println!("{summary}")))
        }
    }
}

/// Runs the sidecar as its environment variables say; returns its exit code. For programs that link the library.
pub fn main() -> ExitCode {
    sidecar(Files::default(), LogFormat::Text)
}

fn sidecar(files: Files, format: LogFormat) -> ExitCode {
    logging::init(format == LogFormat::Json);
    exit_code(config::load(&files).and_then(|config| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime
            .map_err(|e| format!("runtime: {e}"))?
            .block_on(run(config, files))
    }))
}

fn management_address(option: Option<SocketAddr>) -> Result<SocketAddr, String> {
    let variable = || {
        std::env::var("LB_MANAGEMENT")
            .ok()
            .filter(|text| !text.is_empty())
    };
    match (option, variable()) {
        (Some(address), _) => Ok(address),
        (None, Some(text)) => text.parse().map_err(|e| format!("LB_MANAGEMENT: {e}")),
        (None, None) => Err("no management address: --door and LB_MANAGEMENT are not set".into()),
    }
}

fn work(command: WorkCommand, management: Option<SocketAddr>) -> Result<(), String> {
    let address = management_address(management)?;
    let operate = |action: &str, machine: &str| {
        fleet::request_json(
            address,
            "POST",
            &format!("/admin/work/{action}"),
            &serde_json::json!({ "machine": machine }).to_string(),
        )
    };
    let answer = match command {
        WorkCommand::Status { json } => {
            let status = fleet::request_json(address, "GET", "/admin/work", "")?;
            print!(
                "{}",
                if json {
                    format!("{status}\n")
                } else {
                    fleet::format_log(&status)
                }
            );
            return Ok(());
        }
        WorkCommand::Request {
            machines,
            zone,
            kind,
            cell,
            duration,
            back,
            name,
        } => {
            let duration = passroad_units::parse_duration(&duration)
                .map_err(|error| format!("--for: {error}"))?;
            let all = machines
                .is_empty()
                .then(|| serde_json::json!({ "zone": zone, "kind": kind, "cell": cell }));
            let body = serde_json::json!({
                "machines": machines, "all": all, "for_s": duration.as_secs().max(1), "back": back, "name": name,
            });
            fleet::request_json(address, "POST", "/admin/work", &body.to_string())?
        }
        WorkCommand::Done { machine } => operate("done", &machine)?,
        WorkCommand::Withdraw { machine } => operate("withdraw", &machine)?,
        WorkCommand::Force { machine } => operate("force", &machine)?,
        WorkCommand::Begin => operate("begin", "")?,
    };
    println!("{}", answer["ok"].as_str().unwrap_or("yes"));
    Ok(())
}

fn fleet_status(management: Option<SocketAddr>, json: bool) -> Result<(), String> {
    let address = management_address(management)?;
    let status = fleet::request_json(address, "GET", "/admin/fleet", "")?;
    print!(
        "{}",
        if json {
            format!("{status}\n")
        } else {
            fleet::format_status(&status)
        }
    );
    Ok(())
}

fn exit_code(result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("passroad: {}", error.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

/// Whether an error means that another process listens on the address.
fn is_address_in_use(error: &str) -> bool {
    error.ends_with(&std::io::Error::from(rustix::io::Errno::ADDRINUSE).to_string())
}

/// Binds an address as soon as the process that holds it releases it.
async fn bind_when_free<T, F: Future<Output = Result<T, String>>>(
    bind: impl Fn() -> F,
) -> Result<T, String> {
    let started = std::time::Instant::now();
    loop {
        match bind().await {
            Err(error) if is_address_in_use(&error) && started.elapsed() < ADDRESS_TIMEOUT => {
                tokio::time::sleep(ADDRESS_RETRY_INTERVAL).await
            }
            result => return result,
        }
    }
}

async fn run(mut config: config::SidecarConfig, files: Files) -> Result<(), String> {
    let sighups = config::sighup()?;
    let socket_path = config
        .management
        .and_then(|_| handover::socket_path(config.listen, config.handover_dir.clone()));
    let mut predecessor = socket_path
        .as_ref()
        .and_then(|path| handover::request(path, config.listen));
    let limits = descriptors::Limits::of(&config, predecessor.as_ref());
    let (most_in, most_out) = (limits.now.clients, limits.now.endpoints);
    let listener = match predecessor
        .as_mut()
        .map(|predecessor| predecessor.listener.try_clone())
    {
        Some(Ok(listener)) => listener::adopt_socket(listener)?,
        _ => bind_when_free(|| listener::bind(config.listen, config.management.is_some())).await?,
    };
    // Clients don't wait for the management endpoint: it opens once the old process has released its address. In an
    // upgrade each process has a management address of its own.
    let management = match config
        .management
        .map(|address| (address, management::listen(address)))
    {
        Some((address, Err(error))) if predecessor.is_none() && is_address_in_use(&error) => {
            log::warn!("{error}; it opens once that is free");
            Some((address, None))
        }
        Some((address, listener)) => Some((address, Some(listener?))),
        None => None,
    };
    let stages = shutdown::ShutdownStage::on_sigterm()?;
    log::info!(
        name = config.name.as_str(), listen:% = config.listen, most_in = most_in, most_out = most_out;
        "{} listens on {}, at most {most_in} connections in, {most_out} out", config.name, config.listen
    );
    let (discovery_sender, discovery_requests) = tokio::sync::mpsc::unbounded_channel();
    let (timings_sender, timings) =
        tokio::sync::watch::channel(config::Timings::of(&config.balancer));
    if !config.balancer.list_on_request {
        // The module expects changes to be pushed.
        let _ = discovery_sender.send(endpoint_list::DiscoveryRequest::Watch(true));
    }
    let memory = memory_budget::MemoryBudget::new(limits.memory);
    let dialer = relay::Dialer::new(config.connect_timeout, config.balancer.idle_close, most_out)
        .with_memory(Arc::clone(&memory));
    // The module must count on a connection only as long as it is kept here.
    config.balancer.idle_close = dialer.idle_timeout();
    let (discovery_address_sender, discovery_address) =
        tokio::sync::watch::channel(config.discovery);
    let active = config::ActiveConfig::of(&config, discovery_address_sender);
    let balancer_config = config.balancer.clone();
    let shadow = config.shadow.map(|mut shadow| {
        shadow.balancer.idle_close = dialer.idle_timeout();
        shadow
    });
    let (interval, shadow) = shadow
        .map(|shadow| (shadow.log_interval, shadow.balancer))
        .unzip();
    let dispatcher = dispatcher::Dispatcher::new(
        config.balancer,
        shadow,
        config.routes,
        dialer.clone(),
        config.connect_timeout / 5,
        discovery_sender,
    );
    if let Some(interval) = interval {
        tokio::spawn(Arc::clone(&dispatcher).log_shadow_counts_periodically(interval));
    }
    let revision = config.initial_list.as_ref().map(|list| list.revision);
    let mut state = predecessor
        .as_mut()
        .and_then(|predecessor| predecessor.state.take());
    let in_flight_ids = Arc::<in_flight::InFlightIds>::default();
    let open_ids = state
        .as_mut()
        .map(|state| std::mem::take(&mut state.open_ids))
        .unwrap_or_default();
    open_ids
        .into_iter()
        .for_each(|id| in_flight_ids.set_in_other_process(true, id));
    let maintained = config
        .fleet
        .as_ref()
        .is_some_and(|(fleet, peers)| fleet.maintenance.is_some() && peers.messages_allowed);
    let revision = match state {
        Some(state) => dispatcher.inherit(state, maintained),
        // An empty list, too: the module polls discovery from then on.
        None => {
            dispatcher.apply_list(
                passroad_choice::ListUpdateKind::Cached,
                &config.initial_list.unwrap_or_default(),
            );
            revision
        }
    };
    tokio::spawn(Arc::clone(&dispatcher).run_heartbeat());
    tokio::spawn(discovery::follow(
        Arc::clone(&dispatcher),
        discovery_address,
        timings.clone(),
        revision,
        discovery_requests,
    ));
    let ids = Arc::clone(&in_flight_ids);
    let request_handler = Arc::new(request_handler::RequestHandler::new(
        Arc::clone(&dispatcher),
        &balancer_config,
        Arc::clone(&memory),
        ids,
        stages.clone(),
    ));
    let reconfigure = {
        let (dispatcher, request_handler) = (Arc::clone(&dispatcher), Arc::clone(&request_handler));
        move |config: &config::SidecarConfig| {
            let class_indices =
                dispatcher.reconfigure(config.balancer.clone(), config.routes.clone())?;
            request_handler.reconfigure(&config.balancer, &class_indices);
            timings_sender.send_modify(|timings| {
                *timings = timings.then(config::Timings::of(&config.balancer))
            });
            Ok(())
        }
    };
    tokio::spawn(config::reload_on_sighup(
        files,
        sighups,
        active,
        reconfigure,
    ));
    let fleet = match config.fleet {
        Some((fleet, peers)) => fleet::start(fleet, peers, &dispatcher, stages.clone())?,
        None => None,
    };
    // Prevents commands to machines under maintenance, which the list may show as up.
    if let Some(fleet) = fleet.as_ref().filter(|fleet| fleet.maintenance)
        && !fleet.wait_informed(INFORMED_TIMEOUT).await
    {
        log::warn!(
            "fleet: work: no sidecar has reported within {INFORMED_TIMEOUT:?} which machines are out; until one does, the list alone decides"
        );
    }
    let connections = listener::ClientConnections::new(
        most_in,
        config.max_sockets / 6,
        Arc::clone(&memory),
        stages.clone(),
    );
    if let Some((address, management)) = management {
        if predecessor.is_some() {
            memory.share(true);
        }
        let (withheld, socket) = (Mutex::default(), listener::duplicate_socket(&listener)?);
        let (connections, metered_memory) = (Arc::clone(&connections), Arc::clone(&memory));
        let budget = Box::new(descriptors::DescriptorBudget {
            limits,
            connections,
            dialer,
            memory,
            withheld,
        });
        let handover = handover::Handover::new(
            Arc::clone(&dispatcher),
            Arc::clone(&in_flight_ids),
            timings.clone(),
            stages.clone(),
            socket,
            budget,
        )?;
        let open = move |listener| {
            management::open(
                listener,
                handover,
                socket_path.map(|path| (predecessor, path)),
                fleet,
                metered_memory,
                stages,
            )
        };
        match management {
            Some(listener) => open(listener)?,
            None => drop(tokio::spawn(async move {
                let opened = bind_when_free(|| std::future::ready(management::listen(address)))
                    .await
                    .and_then(open);
                opened.unwrap_or_else(|error| {
                    log::error!("the management endpoint is not available: {error}")
                });
            })),
        }
    }
    listener::serve(listener, connections, request_handler, timings).await;
    in_flight_ids.stop_reporting();
    dispatcher.log_shadow_counts();
    Ok(())
}
