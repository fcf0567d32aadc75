//! A process of the sidecar program under test: started, killed, stopped, signalled to reload its configuration, and
//! never left running when the rig ends.

use super::discovery::Discovery;
use super::http::HttpConnection;
use super::run_state::{RunState, loopback_address};
use serde_json::{Value, json};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Name of the file of routes, where a run has one.
pub const ROUTES_FILE: &str = "routes.toml";
/// Attempts to start a process whose address was taken meanwhile.
const START_ATTEMPTS: usize = 5;
/// Timeout of a call to the management endpoint.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a start and of a graceful shutdown.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(8);

/// The sidecar program to start, and its arguments.
#[derive(Debug, Clone)]
pub struct Program {
    pub path: PathBuf,
    pub arguments: Vec<String>,
}

/// A sidecar process, its configuration and its files.
pub struct Sidecar {
    pub address: SocketAddr,
    program: Program,
    folder: PathBuf,
    instance: usize,
    configuration: Value,
    child: Option<Child>,
    starts: usize,
    /// For each successful start, the time from the start of the process until it accepted requests; the first start
    /// first.
    pub ready_times: Vec<Duration>,
}

/// CPU time and peak memory of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResourceUsage {
    pub cpu: Duration,
    pub memory_kb: u64,
}

impl Sidecar {
    pub fn new(
        run_state: &RunState,
        program: &Program,
        folder: &Path,
        instance: usize,
        seed: u64,
        discovery: &Discovery,
    ) -> io::Result<Sidecar> {
        // A port that is free at this address now; no other process uses the addresses of this rig.
        let listen =
            std::net::TcpListener::bind(SocketAddr::new(loopback_address(248, instance), 0))?
                .local_addr()?;
        let plan = &run_state.plan;
        let configuration = json!({
            "name": format!("rig-{instance}"), "listen": listen.to_string(),
            "discovery": discovery.address(instance).to_string(), "seed": format!("{seed:x}"),
            "limits": { "sockets": 1024, "memory_mb": 64 }, "known": discovery.cached_list(instance),
            "settings": plan.settings(plan.zone_of(instance)),
        });
        let (program, folder) = (program.clone(), folder.to_path_buf());
        Ok(Sidecar {
            address: listen,
            program,
            folder,
            instance,
            configuration,
            child: None,
            starts: 0,
            ready_times: Vec::new(),
        })
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.instance))
    }

    pub fn configuration_mut(&mut self) -> &mut Value {
        &mut self.configuration
    }

    pub fn fleet_file_path(&self) -> PathBuf {
        self.folder.join(format!("{}.fleet.toml", self.instance))
    }

    fn write_configuration(&self) -> io::Result<()> {
        std::fs::write(
            self.folder.join(format!("{}.json", self.instance)),
            self.configuration.to_string(),
        )
    }

    /// Starts the process and waits until it accepts commands.
    pub async fn start(&mut self) -> io::Result<()> {
        for _ in 0..START_ATTEMPTS {
            self.child = Some(self.spawn()?);
            match self.wait_until_ready("/healthz").await {
                // The free port may have been taken by an outgoing connection meanwhile; the next attempt uses another
                // one.
                Err(error) if error.to_string().contains("Address already in use") => self.kill(),
                other => return other,
            }
        }
        Err(io::Error::other(format!(
            "sidecar {}: no free port in {START_ATTEMPTS} tries",
            self.instance
        )))
    }

    /// Starts a new process that takes over from the old one, and stops the old one; returns the exit code of the old
    /// one.
    pub async fn upgrade(&mut self) -> io::Result<Option<i32>> {
        let next = self.spawn()?;
        let mut old = self.child.replace(next);
        if let Err(error) = self.wait_until_ready("/admin/health").await {
            self.kill();
            self.child = old;
            return Err(error);
        }
        let new = std::mem::replace(&mut self.child, old.take());
        let ended = self.stop().await;
        self.child = new;
        ended
    }

    /// Changes the maximum number of relays while the process runs.
    pub fn reconfigure(&mut self, relays: usize) -> io::Result<()> {
        self.configuration["settings"]["allowed"]["max_relays"] = relays.into();
        self.write_configuration()?;
        self.signal(rustix::process::Signal::HUP)
    }

    /// Sends a POST to the management endpoint; returns whether the status was 200.
    pub async fn call(&self, path: &str, body: &str) -> bool {
        let Some(address) = self.configuration["management"].as_str() else {
            return false;
        };
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: rig\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        matches!(request_status(address, text).await, Some(200))
    }

    pub fn management_address(&self) -> Option<String> {
        self.configuration["management"]
            .as_str()
            .map(str::to_string)
    }

    /// Starts a process with a new management address; does not wait for it.
    fn spawn(&mut self) -> io::Result<Child> {
        // Each process has a management address of its own.
        let address =
            std::net::TcpListener::bind(SocketAddr::new(self.address.ip(), 0))?.local_addr()?;
        self.configuration["management"] = address.to_string().into();
        self.write_configuration()?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())?;
        let mut command = Command::new(&self.program.path);
        let routes = self.folder.join(ROUTES_FILE);
        if routes.exists() {
            command.env("LB_ROUTES", routes);
        } else {
            command.env_remove("LB_ROUTES");
        }
        if self.fleet_file_path().exists() {
            command.env("LB_FLEET", self.fleet_file_path());
        } else {
            command.env_remove("LB_FLEET");
        }
        let child = command
            .args(&self.program.arguments)
            .env_remove("LB_LISTEN")
            .env_remove("LB_DISCOVERY")
            .env("TMPDIR", &self.folder)
            .env(
                "LB_CONFIG",
                self.folder.join(format!("{}.json", self.instance)),
            )
            // The process ends when this pipe is closed, also where the rig itself crashes.
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| {
                io::Error::new(e.kind(), format!("{}: {e}", self.program.path.display()))
            })?;
        self.starts += 1;
        Ok(child)
    }

    /// Waits until the process answers at a path; an error if it ends or takes too long.
    async fn wait_until_ready(&mut self, path: &str) -> io::Result<()> {
        let started = Instant::now();
        while !self.is_ready(path).await {
            let ended = self
                .child
                .as_mut()
                .map(Child::try_wait)
                .transpose()?
                .flatten();
            if ended.is_some() || started.elapsed() > PROCESS_TIMEOUT {
                let log = std::fs::read_to_string(self.log_path()).unwrap_or_default();
                let last = log.lines().last().unwrap_or("its log is empty").to_string();
                let problem = if ended.is_some() {
                    "ended"
                } else {
                    "did not become ready"
                };
                return Err(io::Error::other(format!(
                    "sidecar {} {problem}: {last}",
                    self.instance
                )));
            }
            sleep(Duration::from_millis(10)).await;
        }
        self.ready_times.push(started.elapsed());
        Ok(())
    }

    /// Paths under /admin are asked at the management address: during an upgrade both processes share the clients'
    /// address.
    async fn is_ready(&self, path: &str) -> bool {
        let text = format!("GET {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n");
        let management = self.configuration["management"]
            .as_str()
            .filter(|_| path.starts_with("/admin"));
        request_status(management.unwrap_or(&self.address.to_string()), text).await == Some(200)
    }

    pub fn signal(&self, signal: rustix::process::Signal) -> io::Result<()> {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| rustix::process::Pid::from_raw(child.id() as i32));
        let pid = pid.ok_or_else(|| io::Error::other("the sidecar process is not running"))?;
        Ok(rustix::process::kill_process(pid, signal)?)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and returns the exit code; kills the process if it does not end in time.
    pub async fn stop(&mut self) -> io::Result<Option<i32>> {
        self.signal(rustix::process::Signal::TERM)?;
        let started = Instant::now();
        while started.elapsed() < PROCESS_TIMEOUT {
            if let Some(status) = self
                .child
                .as_mut()
                .map(Child::try_wait)
                .transpose()?
                .flatten()
            {
                self.child = None;
                return Ok(status.code());
            }
            sleep(Duration::from_millis(10)).await;
        }
        self.kill();
        Ok(None)
    }

    /// The exit status of a process that ended on its own, which no sidecar may.
    pub fn take_crash(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    /// CPU time and peak memory of the current process, where /proc shows them.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let pid = self.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The fields follow the process name, which may contain any character and ends at the last bracket.
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let memory_kb = memory.trim().trim_end_matches(" kB").parse().ok()?;
        let ticks_per_second = rustix::param::clock_ticks_per_second();
        Some(ResourceUsage {
            cpu: Duration::from_secs_f64(ticks as f64 / ticks_per_second as f64),
            memory_kb,
        })
    }
}

/// Percentiles of the times until processes were ready; None where there are no starts.
pub fn summarize_ready_times(mut times: Vec<Duration>) -> Option<String> {
    times.sort();
    let last = times.len().checked_sub(1)?;
    let percentile =
        |share: f64| times[((times.len() as f64 * share).ceil() as usize).clamp(1, last + 1) - 1];
    let ms = |share| format!("{:.0} ms", percentile(share).as_secs_f64() * 1e3);
    Some(format!(
        "{} ready, p50 {}, p90 {}, max {}",
        times.len(),
        ms(0.5),
        ms(0.9),
        ms(1.0)
    ))
}

/// Calls a management endpoint; returns the status and the JSON body of the answer.
pub async fn call_management(
    address: &str,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, Value)> {
    let call = async {
        let mut connection = HttpConnection::new(TcpStream::connect(address).await?);
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: rig\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        connection.write(head.as_bytes()).await?;
        connection.read_response().await
    };
    let answer = timeout(CALL_TIMEOUT, call).await.ok()?.ok()??;
    Some((
        answer.status,
        serde_json::from_slice(&answer.body).unwrap_or_default(),
    ))
}

/// Sends one request; returns the status of the answer, if there is one.
async fn request_status(address: &str, text: String) -> Option<u16> {
    let call = async {
        let mut connection = HttpConnection::new(TcpStream::connect(address).await?);
        connection.write(text.as_bytes()).await?;
        connection.read_response().await
    };
    timeout(CALL_TIMEOUT, call)
        .await
        .ok()?
        .ok()?
        .map(|message| message.status)
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Checks that the path given as sidecar program is a file.
pub fn check_program(path: &Path) -> Result<(), String> {
    match path.metadata() {
        Ok(meta) if meta.is_file() => Ok(()),
        Ok(_) => Err(format!("--sidecar {}: not a file", path.display())),
        Err(e) => Err(format!("--sidecar {}: {e}", path.display())),
    }
}

#[cfg(test)]
mod tests;
