//! What stands between callers and a tier: a real sidecar with a list of its own, or a plain relay of bytes, which shows
//! what any process on the way costs.

use super::door::{Door, Wire};
use super::endpoint::thread;
use crate::experiment;
use crate::sockets::Program;
use serde_json::{Value, json};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a start may take.
const PATIENCE: Duration = Duration::from_secs(8);
const TRIES: usize = 5;
/// Endpoints have been up since this time of the Unix clock: long enough for none to be cold.
const UP_SINCE_MS: u64 = 1_700_000_000_000;

/// What a process was given by the kernel's scheduler, all its threads together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Used {
    /// On a core, and ready but waiting for one.
    pub running: Duration,
    pub waiting: Duration,
    /// Times that it slept and was woken.
    pub wakes: u64,
}

impl Used {
    pub fn since(self, before: Used) -> Used {
        Used {
            running: self.running.saturating_sub(before.running),
            waiting: self.waiting.saturating_sub(before.waiting),
            wakes: self.wakes.saturating_sub(before.wakes),
        }
    }

    pub fn and(self, other: Used) -> Used {
        Used {
            running: self.running + other.running,
            waiting: self.waiting + other.waiting,
            wakes: self.wakes + other.wakes,
        }
    }
}

/// A sidecar process before one tier; ends with its owner.
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
        let list = list(endpoints);
        let discovery = discovery(list.clone())?;
        for _ in 0..TRIES {
            match Sidecar::once(
                program,
                folder,
                name,
                &list,
                discovery,
                endpoints.len(),
                probes,
                seed,
            ) {
                // A port that was free may have been taken for a connection meanwhile; the next one is another.
                Err(fault) if fault.to_string().contains("Address already in use") => {}
                other => return other,
            }
        }
        Err(io::Error::other(format!(
            "sidecar {name}: no free port in {TRIES} tries"
        )))
    }

    #[expect(clippy::too_many_arguments, reason = "what one process is told")]
    fn once(
        program: &Program,
        folder: &Path,
        name: &str,
        list: &Value,
        discovery: SocketAddr,
        endpoints: usize,
        probes: bool,
        seed: u64,
    ) -> io::Result<Sidecar> {
        let free = || {
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|listener| listener.local_addr())
        };
        let (listen, door) = (free()?, free()?);
        let told = json!({
            "name": name, "listen": listen.to_string(), "management": door.to_string(),
            "discovery": discovery.to_string(), "seed": format!("{seed:x}"), "known": list,
            "limits": { "sockets": 1024, "memory_mb": 64 }, "settings": settings(endpoints, probes)?,
        });
        let (file, log) = (
            folder.join(format!("{name}.json")),
            folder.join(format!("{name}.log")),
        );
        std::fs::write(&file, told.to_string())?;
        let child = Command::new(&program.path)
            .args(&program.arguments)
            .env_remove("LB_LISTEN")
            .env_remove("LB_DISCOVERY")
            .env_remove("LB_ROUTES")
            .env_remove("LB_FLEET")
            .env("TMPDIR", folder)
            .env("LB_CONFIG", file)
            // Its end tells the process that the rig is gone.
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", program.path.display())))?;
        let mut sidecar = Sidecar {
            address: listen,
            child,
        };
        let began = Instant::now();
        while !sidecar.ready() {
            let ended = sidecar.child.try_wait()?;
            if ended.is_some() || began.elapsed() > PATIENCE {
                let said = std::fs::read_to_string(&log).unwrap_or_default();
                let last = said.lines().last().unwrap_or("it said nothing").to_string();
                let word = if ended.is_some() {
                    "ended"
                } else {
                    "did not come up"
                };
                return Err(io::Error::other(format!("sidecar {name} {word}: {last}")));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(sidecar)
    }

    fn ready(&self) -> bool {
        Door::new(&[self.address], true)
            .call(0, "0", 1000)
            .is_ok_and(|status| status == 200)
    }

    /// From the kernel's counters; nothing where it tells none.
    pub fn used(&self) -> Used {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        tasks
            .into_iter()
            .flatten()
            .flatten()
            .map(|task| used(&task.path()))
            .fold(Used::default(), Used::and)
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        // Nothing is out any more; an orderly end would wait for nobody.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn used(task: &Path) -> Used {
    let text = |name: &str| std::fs::read_to_string(task.join(name)).unwrap_or_default();
    let (stat, status) = (text("schedstat"), text("status"));
    let mut times = stat
        .split_whitespace()
        .filter_map(|n| n.parse().ok())
        .map(Duration::from_nanos);
    let wakes = status
        .lines()
        .find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
    Used {
        running: times.next().unwrap_or_default(),
        waiting: times.next().unwrap_or_default(),
        wakes: wakes
            .and_then(|n| n.trim().parse().ok())
            .unwrap_or_default(),
    }
}

/// The settings that an experiment with such endpoints gives its sidecars.
fn settings(endpoints: usize, probes: bool) -> io::Result<Value> {
    let text = format!(
        "about = \"added latency\"\nlength = \"10s\"\ninstances = 1\n[fleet.kind.plain]\ncores = 8\n\
         [[fleet.group]]\nkind = \"plain\"\ncount = {endpoints}\n\
         [[verb]]\nname = \"look\"\neffect = \"pure\"\nwork = \"1ms\"\ngoal = \"400ms\"\nlimit = \"1s\"\n\
         [load]\nper_second = 230\n[allowed]\nprobes = {probes}\n"
    );
    experiment::parse(&text)
        .map(|plan| plan.settings(0))
        .map_err(|wrong| io::Error::other(wrong.to_string()))
}

fn list(endpoints: &[SocketAddr]) -> Value {
    let member = |(n, at): (usize, &SocketAddr)| {
        json!({
            "id": format!("e{n}"), "host_port": at.to_string(), "locality": "a", "flavor": "plain", "cell": 0,
            "phase": "up", "size": 1.0, "up_since_ms": UP_SINCE_MS,
        })
    };
    let members: Vec<Value> = endpoints.iter().enumerate().map(member).collect();
    json!({ "revision": 1, "complete": true, "members": members })
}

/// A list that never changes: whoever watches it is answered when his time is up.
fn discovery(list: Value) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    thread("discovery", move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            let _ = thread("discovery", move || {
                let Ok(mut wire) = Wire::new(stream) else {
                    return;
                };
                while let Ok(Some(message)) = wire.read(true) {
                    let hold = message
                        .target
                        .split_once("&hold_ms=")
                        .and_then(|(_, ms)| ms.parse().ok());
                    let text = match hold {
                        Some(ms) => {
                            std::thread::sleep(Duration::from_millis(ms));
                            json!({ "revision": 1, "complete": false, "members": [] }).to_string()
                        }
                        None => list.to_string(),
                    };
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                    if wire.write((head + &text).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    })?;
    Ok(address)
}

/// Passes bytes on as they come, on one thread as a sidecar does; an address for each endpoint.
pub fn relay(endpoints: &[SocketAddr]) -> io::Result<Vec<SocketAddr>> {
    let mut listeners = Vec::new();
    for _ in endpoints {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        listeners.push(listener);
    }
    let addresses = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<io::Result<_>>()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let pairs: Vec<_> = listeners.into_iter().zip(endpoints.to_vec()).collect();
    thread("relay", move || {
        runtime.block_on(async move {
            for (listener, endpoint) in pairs {
                tokio::spawn(async move {
                    let listener = tokio::net::TcpListener::from_std(listener)?;
                    loop {
                        let (mut near, _) = listener.accept().await?;
                        tokio::spawn(async move {
                            let mut far = tokio::net::TcpStream::connect(endpoint).await?;
                            near.set_nodelay(true)?;
                            far.set_nodelay(true)?;
                            tokio::io::copy_bidirectional(&mut near, &mut far).await
                        });
                    }
                    #[expect(unreachable_code, reason = "its type")]
                    io::Result::Ok(())
                });
            }
            std::future::pending::<()>().await;
        });
    })?;
    Ok(addresses)
}
