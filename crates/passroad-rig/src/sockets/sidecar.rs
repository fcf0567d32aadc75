//! The program under test, a process for each instance: started, killed, stopped, told to read its file again, and
//! never left behind.

use super::discovery::Discovery;
use super::http::Talk;
use super::scene::{Scene, address};
use serde_json::{Value, json};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The file of routes, where a day has one.
pub const ROUTES: &str = "routes.toml";
/// Starts, where an address was taken meanwhile.
const TRIES: usize = 5;
/// How long an operator's call may take.
const CALL_WITHIN: Duration = Duration::from_secs(1);
/// How long a start, or an orderly end, may take.
const PATIENCE: Duration = Duration::from_secs(8);

/// Which program is started.
#[derive(Debug, Clone)]
pub struct Program {
    pub path: PathBuf,
    pub arguments: Vec<String>,
}

pub struct Sidecar {
    pub address: SocketAddr,
    program: Program,
    folder: PathBuf,
    n: usize,
    told: Value, // its configuration
    child: Option<Child>,
    starts: usize,
    /// Of each start that came up, from its process's start until it took requests: the first, and then those again.
    pub ready_after: Vec<Duration>,
}

/// What a process has used up.
#[derive(Debug, Clone, Copy, Default)]
pub struct Used {
    pub cpu: Duration,
    pub memory_kb: u64,
}

impl Sidecar {
    pub fn new(
        scene: &Scene,
        program: &Program,
        folder: &Path,
        n: usize,
        seed: u64,
        discovery: &Discovery,
    ) -> io::Result<Sidecar> {
        // A port that is free at this address now; nobody else comes to an address of this rig.
        let listen =
            std::net::TcpListener::bind(SocketAddr::new(address(248, n), 0))?.local_addr()?;
        let plan = &scene.plan;
        let told = json!({
            "name": format!("rig-{n}"), "listen": listen.to_string(),
            "discovery": discovery.address(n).to_string(), "seed": format!("{seed:x}"),
            "limits": { "sockets": 1024, "memory_mb": 64 }, "known": discovery.known(n),
            "settings": plan.settings(plan.zone_of(n)),
        });
        let (program, folder) = (program.clone(), folder.to_path_buf());
        Ok(Sidecar {
            address: listen,
            program,
            folder,
            n,
            told,
            child: None,
            starts: 0,
            ready_after: Vec::new(),
        })
    }

    pub fn log(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.n))
    }

    /// Its configuration.
    pub fn told(&mut self) -> &mut Value {
        &mut self.told
    }

    pub fn fleet_file(&self) -> PathBuf {
        self.folder.join(format!("{}.fleet.toml", self.n))
    }

    fn write(&self) -> io::Result<()> {
        std::fs::write(
            self.folder.join(format!("{}.json", self.n)),
            self.told.to_string(),
        )
    }

    /// Starts the process and waits until it takes commands.
    pub async fn start(&mut self) -> io::Result<()> {
        for _ in 0..TRIES {
            self.child = Some(self.spawn()?);
            match self.come_up("/healthz").await {
                // A port that was free may have been taken for a connection meanwhile; the next one is another.
                Err(fault) if fault.to_string().contains("Address already in use") => self.kill(),
                other => return other,
            }
        }
        Err(io::Error::other(format!(
            "sidecar {}: no free port in {TRIES} tries",
            self.n
        )))
    }

    /// The next process takes over beside this one, which is then stopped; what that ended with.
    pub async fn upgrade(&mut self) -> io::Result<Option<i32>> {
        let next = self.spawn()?;
        let mut old = self.child.replace(next);
        if let Err(fault) = self.come_up("/admin/health").await {
            self.kill();
            self.child = old;
            return Err(fault);
        }
        let new = std::mem::replace(&mut self.child, old.take());
        let ended = self.stop().await;
        self.child = new;
        ended
    }

    /// Other settings while it runs.
    pub fn retune(&mut self, relays: usize) -> io::Result<()> {
        self.told["settings"]["allowed"]["max_relays"] = relays.into();
        self.write()?;
        self.signal(rustix::process::Signal::HUP)
    }

    /// An operator's call; whether it was a yes.
    pub async fn call(&self, path: &str, body: &str) -> bool {
        let Some(door) = self.told["management"].as_str() else {
            return false;
        };
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: rig\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        matches!(ask(door, text).await, Some(200))
    }

    /// Where its operators' door is.
    pub fn door(&self) -> Option<String> {
        self.told["management"].as_str().map(str::to_string)
    }

    fn spawn(&mut self) -> io::Result<Child> {
        // Each process has a door of its own.
        let door =
            std::net::TcpListener::bind(SocketAddr::new(self.address.ip(), 0))?.local_addr()?;
        self.told["management"] = door.to_string().into();
        self.write()?;
        let log = File::options().create(true).append(true).open(self.log())?;
        let mut command = Command::new(&self.program.path);
        let routes = self.folder.join(ROUTES);
        if routes.exists() {
            command.env("LB_ROUTES", routes);
        } else {
            command.env_remove("LB_ROUTES");
        }
        if self.fleet_file().exists() {
            command.env("LB_FLEET", self.fleet_file());
        } else {
            command.env_remove("LB_FLEET");
        }
        let child = command
            .args(&self.program.arguments)
            .env_remove("LB_LISTEN")
            .env_remove("LB_DISCOVERY")
            .env("TMPDIR", &self.folder)
            .env("LB_CONFIG", self.folder.join(format!("{}.json", self.n)))
            // Its end tells the process that the rig is gone.
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

    async fn come_up(&mut self, path: &str) -> io::Result<()> {
        let began = Instant::now();
        while !self.ready(path).await {
            let ended = self
                .child
                .as_mut()
                .map(Child::try_wait)
                .transpose()?
                .flatten();
            if ended.is_some() || began.elapsed() > PATIENCE {
                let said = std::fs::read_to_string(self.log()).unwrap_or_default();
                let last = said.lines().last().unwrap_or("it said nothing").to_string();
                let word = if ended.is_some() {
                    "ended"
                } else {
                    "did not come up"
                };
                return Err(io::Error::other(format!(
                    "sidecar {} {word}: {last}",
                    self.n
                )));
            }
            sleep(Duration::from_millis(10)).await;
        }
        self.ready_after.push(began.elapsed());
        Ok(())
    }

    /// At its operators' door: another process may have the clients' address, too.
    async fn ready(&self, path: &str) -> bool {
        let text = format!("GET {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n");
        let door = self.told["management"]
            .as_str()
            .filter(|_| path.starts_with("/admin"));
        ask(door.unwrap_or(&self.address.to_string()), text).await == Some(200)
    }

    pub fn signal(&self, signal: rustix::process::Signal) -> io::Result<()> {
        let pid = self
            .child
            .as_ref()
            .and_then(|c| rustix::process::Pid::from_raw(c.id() as i32));
        let pid = pid.ok_or_else(|| io::Error::other("no process"))?;
        Ok(rustix::process::kill_process(pid, signal)?)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM, and what it ended with; killed if it does not end.
    pub async fn stop(&mut self) -> io::Result<Option<i32>> {
        self.signal(rustix::process::Signal::TERM)?;
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
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

    /// Ended by itself, which no sidecar may: what it ended with.
    pub fn crashed(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    /// What the present process has used so far, where the system tells it.
    pub fn used(&self) -> Option<Used> {
        let pid = self.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // Behind the name, which may hold anything but ends with the last bracket.
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let memory_kb = memory.trim().trim_end_matches(" kB").parse().ok()?;
        let second = rustix::param::clock_ticks_per_second();
        Some(Used {
            cpu: Duration::from_secs_f64(ticks as f64 / second as f64),
            memory_kb,
        })
    }
}

/// Times to ready by share: half, nine in ten, and all were ready within; none where there are no starts.
pub fn by_share(mut times: Vec<Duration>) -> Option<String> {
    times.sort();
    let last = times.len().checked_sub(1)?;
    let within =
        |share: f64| times[((times.len() as f64 * share).ceil() as usize).clamp(1, last + 1) - 1];
    let ms = |share| format!("{:.0} ms", within(share).as_secs_f64() * 1e3);
    Some(format!(
        "{} ready, p50 {}, p90 {}, max {}",
        times.len(),
        ms(0.5),
        ms(0.9),
        ms(1.0)
    ))
}

/// An operator's call at a door: the status and what was said.
pub async fn operate(door: &str, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
    let call = async {
        let mut talk = Talk::new(TcpStream::connect(door).await?);
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: rig\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        talk.write(head.as_bytes()).await?;
        talk.answer().await
    };
    let said = timeout(CALL_WITHIN, call).await.ok()?.ok()??;
    Some((
        said.status,
        serde_json::from_slice(&said.body).unwrap_or_default(),
    ))
}

/// One call: the status, where one came.
async fn ask(at: &str, text: String) -> Option<u16> {
    let call = async {
        let mut talk = Talk::new(TcpStream::connect(at).await?);
        talk.write(text.as_bytes()).await?;
        talk.answer().await
    };
    timeout(CALL_WITHIN, call)
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

/// Whether a program given by its path can be one.
pub fn usable(path: &Path) -> Result<(), String> {
    match path.metadata() {
        Ok(meta) if meta.is_file() => Ok(()),
        Ok(_) => Err(format!("--sidecar {}: not a file", path.display())),
        Err(e) => Err(format!("--sidecar {}: {e}", path.display())),
    }
}

#[cfg(test)]
mod tests;
