//! A real sidecar process with an endpoint list of its own.

use super::endpoint::spawn_thread;
use super::http::{Client, Connection};
use crate::experiment;
use crate::sockets::Program;
use serde_json::{Value, json};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(8);
const START_ATTEMPTS: usize = 5;
/// Start time of the endpoints: long ago, so that no endpoint is in slow start.
const ENDPOINT_START_UNIX_MS: u64 = 1_700_000_000_000;

/// Scheduler counters of a process, summed over its threads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CpuUsage {
    /// Time on a core.
    pub running: Duration,
    /// Time runnable but waiting for a core.
    pub waiting: Duration,
    /// Voluntary context switches: each time that a thread slept and was woken.
    pub wakeups: u64,
}

impl CpuUsage {
    pub fn since(self, before: CpuUsage) -> CpuUsage {
        CpuUsage {
            running: self.running.saturating_sub(before.running),
            waiting: self.waiting.saturating_sub(before.waiting),
            wakeups: self.wakeups.saturating_sub(before.wakeups),
        }
    }

    pub fn plus(self, other: CpuUsage) -> CpuUsage {
        CpuUsage {
            running: self.running + other.running,
            waiting: self.waiting + other.waiting,
            wakeups: self.wakeups + other.wakeups,
        }
    }
}

/// A sidecar process in front of one tier; killed on drop.
pub struct Sidecar {
    pub address: SocketAddr,
    child: Child,
}

impl Sidecar {
    pub fn start(
        program: &Program,
        folder: &Path,
        name: &str,
        endpoints: &[SocketAddr],
        probes: bool,
        seed: u64,
    ) -> io::Result<Sidecar> {
        let list = endpoint_list(endpoints);
        let discovery = serve_discovery(list.clone())?;
        for _ in 0..START_ATTEMPTS {
            match Sidecar::try_start(
                program,
                folder,
                name,
                &list,
                discovery,
                endpoints.len(),
                probes,
                seed,
            ) {
                // A connection may have taken the port since it was found free; the next attempt uses another one.
                Err(error) if error.to_string().contains("Address already in use") => {}
                other => return other,
            }
        }
        Err(io::Error::other(format!(
            "sidecar {name}: no free port in {START_ATTEMPTS} attempts"
        )))
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "all inputs of one process's configuration"
    )]
    fn try_start(
        program: &Program,
        folder: &Path,
        name: &str,
        list: &Value,
        discovery: SocketAddr,
        endpoints: usize,
        probes: bool,
        seed: u64,
    ) -> io::Result<Sidecar> {
        let free_address = || {
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|listener| listener.local_addr())
        };
        let (listen, management) = (free_address()?, free_address()?);
        let config = json!({
            "name": name, "listen": listen.to_string(), "management": management.to_string(),
            "discovery": discovery.to_string(), "seed": format!("{seed:x}"), "known": list,
            "limits": { "sockets": 1024, "memory_mb": 64 }, "settings": settings(endpoints, probes)?,
        });
        let (config_file, log_file) = (
            folder.join(format!("{name}.json")),
            folder.join(format!("{name}.log")),
        );
        std::fs::write(&config_file, config.to_string())?;
        let child = Command::new(&program.path)
            .args(&program.arguments)
            .env_remove("LB_LISTEN")
            .env_remove("LB_DISCOVERY")
            .env_remove("LB_ROUTES")
            .env_remove("LB_FLEET")
            .env("TMPDIR", folder)
            .env("LB_CONFIG", config_file)
            // End of file tells the process that the rig has exited.
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(File::create(&log_file)?)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", program.path.display())))?;
        let mut sidecar = Sidecar {
            address: listen,
            child,
        };
        let started_at = Instant::now();
        while !sidecar.ready() {
            let ended = sidecar.child.try_wait()?;
            if ended.is_some() || started_at.elapsed() > START_TIMEOUT {
                let log_text = std::fs::read_to_string(&log_file).unwrap_or_default();
                let last_line = log_text
                    .lines()
                    .last()
                    .unwrap_or("no log output")
                    .to_string();
                let problem = if ended.is_some() {
                    "exited during startup"
                } else {
                    "was not ready in time"
                };
                return Err(io::Error::other(format!(
                    "sidecar {name} {problem}: {last_line}"
                )));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(sidecar)
    }

    fn ready(&self) -> bool {
        Client::new(&[self.address], true)
            .call(0, "0", 1000)
            .is_ok_and(|status| status == 200)
    }

    /// From the kernel's counters in `/proc`; zero where they are not available.
    pub fn cpu_usage(&self) -> CpuUsage {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        tasks
            .into_iter()
            .flatten()
            .flatten()
            .map(|task| task_cpu_usage(&task.path()))
            .fold(CpuUsage::default(), CpuUsage::plus)
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        // No call is in progress any more, so there is nothing for an orderly shutdown to wait for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn task_cpu_usage(task: &Path) -> CpuUsage {
    let text = |name: &str| std::fs::read_to_string(task.join(name)).unwrap_or_default();
    let (stat, status) = (text("schedstat"), text("status"));
    let mut times = stat
        .split_whitespace()
        .filter_map(|n| n.parse().ok())
        .map(Duration::from_nanos);
    let wakeups = status
        .lines()
        .find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
    CpuUsage {
        running: times.next().unwrap_or_default(),
        waiting: times.next().unwrap_or_default(),
        wakeups: wakeups
            .and_then(|n| n.trim().parse().ok())
            .unwrap_or_default(),
    }
}

/// The settings that an experiment with these endpoints gives to its sidecars.
fn settings(endpoints: usize, probes: bool) -> io::Result<Value> {
    let text = format!(
        "about = \"added latency\"\nlength = \"10s\"\ninstances = 1\n[fleet.kind.plain]\ncores = 8\n\
         [[fleet.group]]\nkind = \"plain\"\ncount = {endpoints}\n\
         [[verb]]\nname = \"look\"\neffect = \"pure\"\nwork = \"1ms\"\ngoal = \"400ms\"\nlimit = \"1s\"\n\
         [load]\nper_second = 230\n[allowed]\nprobes = {probes}\n"
    );
    experiment::parse(&text)
        .map(|experiment| experiment.settings(0))
        .map_err(|error| io::Error::other(error.to_string()))
}

fn endpoint_list(endpoints: &[SocketAddr]) -> Value {
    let member = |(index, address): (usize, &SocketAddr)| {
        json!({
            "id": format!("e{index}"), "host_port": address.to_string(), "locality": "a", "flavor": "plain", "cell": 0,
            "phase": "up", "size": 1.0, "up_since_ms": ENDPOINT_START_UNIX_MS,
        })
    };
    let members: Vec<Value> = endpoints.iter().enumerate().map(member).collect();
    json!({ "revision": 1, "complete": true, "members": members })
}

/// Serves a list that never changes: a long poll is answered with no changes when its hold time is over.
fn serve_discovery(list: Value) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    spawn_thread("discovery", move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            let _ = spawn_thread("discovery", move || {
                let Ok(mut connection) = Connection::new(stream) else {
                    return;
                };
                while let Ok(Some(request)) = connection.read_message(true) {
                    let hold_ms = request
                        .target
                        .split_once("&hold_ms=")
                        .and_then(|(_, ms)| ms.parse().ok());
                    let body = match hold_ms {
                        Some(ms) => {
                            std::thread::sleep(Duration::from_millis(ms));
                            json!({ "revision": 1, "complete": false, "members": [] }).to_string()
                        }
                        None => list.to_string(),
                    };
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if connection.write((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    })?;
    Ok(address)
}
