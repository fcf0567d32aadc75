//! The processes of a scale run, as the rig has them: hosts of hollow sidecars and real ones, each of which ends with the
//! rig, and what the kernel and they themselves tell of what they use.

use super::held;
use passroad_peers::MemberState;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long starts and ends may take.
const PATIENCE: Duration = Duration::from_secs(30);

/// One sidecar thinks otherwise of another from then on.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    pub at: Duration, // since 1970
    pub by: usize,
    pub of: usize,
    pub standing: MemberState,
}

/// What hosts have told.
#[derive(Default)]
pub struct Heard {
    /// Of the thread of the list and that of the fleet, by sidecar; empty while it is down.
    pub threads: Vec<Vec<PathBuf>>,
    pub turns: Vec<Turn>,
    pub statuses: BTreeMap<usize, Value>,
    pub faults: Vec<String>,
}

struct Host {
    child: Child,
    orders: ChildStdin,
    whose: Vec<usize>,
}

pub struct Processes {
    program: PathBuf,
    folder: PathBuf,
    hosts: Mutex<Vec<Host>>,
    reals: Mutex<BTreeMap<usize, Child>>,
    doors: BTreeMap<usize, std::net::SocketAddr>,
    pub heard: Arc<Mutex<Heard>>,
}

fn command(program: &Path, folder: &Path, log: &str) -> io::Result<Command> {
    let mut command = Command::new(program);
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(log))?;
    // The end of its input tells the process that the rig is gone.
    command
        .env("TMPDIR", folder)
        .stdin(Stdio::piped())
        .stderr(log);
    for name in [
        "LB_CONFIG",
        "LB_ROUTES",
        "LB_FLEET",
        "LB_LISTEN",
        "LB_DISCOVERY",
        "LB_MANAGEMENT",
        "LB_NAME",
    ] {
        command.env_remove(name);
    }
    Ok(command)
}

/// A line of a host, into what was heard.
fn note(heard: &mut Heard, line: &str) {
    let mut words = line.split(' ');
    let word = words.next().unwrap_or_default();
    let Some(n) = words.next().and_then(|n| n.parse::<usize>().ok()) else {
        return;
    };
    match word {
        "up" => heard.threads[n] = words.map(|path| Path::new("/proc").join(path)).collect(),
        "gone" => heard.threads[n].clear(),
        "turned" => {
            let of = words.next().and_then(|n| n.parse().ok());
            let standing = match words.next() {
                Some("Here") => Some(MemberState::Alive),
                Some("Doubt") => Some(MemberState::Suspect),
                Some("Gone") => Some(MemberState::Dead),
                _ => None,
            };
            let at = words
                .next()
                .and_then(|us| us.parse().ok())
                .map(Duration::from_micros);
            if let (Some(of), Some(standing), Some(at)) = (of, standing, at) {
                heard.turns.push(Turn {
                    at,
                    by: n,
                    of,
                    standing,
                });
            }
        }
        "status" => {
            let rest = line.splitn(3, ' ').nth(2).unwrap_or_default();
            heard
                .statuses
                .insert(n, serde_json::from_str(rest).unwrap_or_default());
        }
        "fault" => heard.faults.push(line.to_string()),
        _ => {}
    }
}

impl Processes {
    /// `whose` says which hollow sidecars share a process.
    pub fn start(
        program: &Path,
        folder: &Path,
        sidecars: usize,
        whose: Vec<Vec<usize>>,
        doors: BTreeMap<usize, std::net::SocketAddr>,
    ) -> io::Result<Processes> {
        let heard = Arc::new(Mutex::new(Heard {
            threads: vec![Vec::new(); sidecars],
            ..Heard::default()
        }));
        let mut hosts = Vec::new();
        for (host, whose) in whose.into_iter().enumerate() {
            let mut child = command(program, folder, &format!("host-{host}.log"))?
                .arg("hollow")
                .arg(folder)
                .stdout(Stdio::piped())
                .spawn()?;
            let (orders, said) = (child.stdin.take(), child.stdout.take());
            let (Some(orders), Some(said)) = (orders, said) else {
                continue;
            };
            let heard = Arc::clone(&heard);
            std::thread::spawn(move || {
                for line in BufReader::new(said).lines().map_while(Result::ok) {
                    note(&mut held(&heard), &line);
                }
            });
            hosts.push(Host {
                child,
                orders,
                whose,
            });
        }
        Ok(Processes {
            program: program.into(),
            folder: folder.into(),
            hosts: Mutex::new(hosts),
            reals: Mutex::default(),
            doors,
            heard,
        })
    }

    pub fn is_real(&self, n: usize) -> bool {
        self.doors.contains_key(&n)
    }

    fn order(&self, word: &str, n: usize) -> io::Result<()> {
        let mut hosts = held(&self.hosts);
        match hosts.iter_mut().find(|host| host.whose.contains(&n)) {
            Some(host) => writeln!(host.orders, "{word} {n}").and_then(|()| host.orders.flush()),
            None => Err(io::Error::other(format!("sidecar {n} has no host"))),
        }
    }

    pub fn begin(&self, n: usize) -> io::Result<()> {
        if !self.is_real(n) {
            return self.order("start", n);
        }
        let files = super::host::files(&self.folder, n);
        let mut command = command(&self.program, &self.folder, &format!("{n}.log"))?;
        for (name, file) in [
            ("LB_CONFIG", files.config),
            ("LB_ROUTES", files.routes),
            ("LB_FLEET", files.fleet),
        ] {
            command.envs(file.map(|file| (name, file)));
        }
        let child = command.arg("sidecar").stdout(Stdio::null()).spawn()?;
        held(&self.reals).insert(n, child);
        Ok(())
    }

    pub fn kill(&self, n: usize) -> io::Result<()> {
        if !self.is_real(n) {
            return self.order("kill", n);
        }
        held(&self.heard).threads[n].clear();
        if let Some(mut child) = held(&self.reals).remove(&n) {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    pub async fn stop(&self, n: usize) -> io::Result<()> {
        if !self.is_real(n) {
            self.order("stop", n)?;
            return self.wait("gone", &[n], |threads| threads.is_empty()).await;
        }
        let child = held(&self.reals).remove(&n);
        held(&self.heard).threads[n].clear();
        let Some(mut child) = child else {
            return Ok(());
        };
        if let Some(pid) = rustix::process::Pid::from_raw(child.id() as i32) {
            rustix::process::kill_process(pid, rustix::process::Signal::TERM)?;
        }
        let began = Instant::now();
        while child.try_wait()?.is_none() {
            if began.elapsed() > PATIENCE {
                child.kill()?;
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    async fn wait(
        &self,
        what: &str,
        these: &[usize],
        done: impl Fn(&[PathBuf]) -> bool,
    ) -> io::Result<()> {
        let began = Instant::now();
        loop {
            {
                let heard = held(&self.heard);
                if let Some(fault) = heard.faults.first() {
                    return Err(io::Error::other(fault.clone()));
                }
                if these.iter().all(|n| done(&heard.threads[*n])) {
                    return Ok(());
                }
            }
            if began.elapsed() > PATIENCE {
                return Err(io::Error::other(format!(
                    "not all sidecars were {what} in {PATIENCE:?}"
                )));
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Until all of these run.
    pub async fn up(&self, these: &[usize]) -> io::Result<()> {
        let began = Instant::now();
        for n in these.iter().filter(|n| self.is_real(**n)) {
            let door = self.doors[n];
            while tokio::net::TcpStream::connect(door).await.is_err() {
                if began.elapsed() > PATIENCE {
                    let said = std::fs::read_to_string(self.folder.join(format!("{n}.log")));
                    let last = said
                        .unwrap_or_default()
                        .lines()
                        .last()
                        .unwrap_or("it said nothing")
                        .to_string();
                    return Err(io::Error::other(format!(
                        "sidecar {n} did not come up: {last}"
                    )));
                }
                sleep(Duration::from_millis(20)).await;
            }
            if let Some(child) = held(&self.reals).get(n) {
                held(&self.heard).threads[*n] = threads(child.id());
            }
        }
        self.wait("up", these, |threads| !threads.is_empty()).await
    }

    /// What each says of itself; what does not answer is left out.
    pub async fn statuses(&self, these: &[usize]) -> BTreeMap<usize, Value> {
        held(&self.heard).statuses.clear();
        let mut all = BTreeMap::new();
        for n in these {
            if let Some(door) = self.doors.get(n) {
                let asked = tokio::task::block_in_place(|| {
                    passroad::fleet::request_json(*door, "GET", "/admin/fleet", "")
                });
                if let Ok(said) = asked {
                    all.insert(*n, super::brief(&said));
                }
            } else {
                let _ = self.order("status", *n);
            }
        }
        let hollow = these.iter().filter(|n| !self.is_real(**n)).count();
        let began = Instant::now();
        while held(&self.heard).statuses.len() < hollow && began.elapsed() < PATIENCE {
            sleep(Duration::from_millis(20)).await;
        }
        all.extend(
            held(&self.heard)
                .statuses
                .iter()
                .map(|(n, said)| (*n, said.clone())),
        );
        all
    }

    /// Processor time so far of the thread of the list, with what else a real process runs, and of the fleet's.
    pub fn cpu(&self) -> Vec<[Duration; 2]> {
        let threads = held(&self.heard).threads.clone();
        let of = |paths: &Vec<PathBuf>| {
            let mut both = [Duration::ZERO; 2];
            for (n, path) in paths.iter().enumerate() {
                // A real one's threads by their names; a hollow one's by their order.
                let named = || std::fs::read_to_string(path.join("comm")).unwrap_or_default();
                let fleet = if paths.len() == 2 {
                    n == 1
                } else {
                    named().trim() == "fleet"
                };
                both[usize::from(fleet)] += ran(path);
            }
            both
        };
        threads.iter().map(of).collect()
    }

    /// Resident memory in bytes, without what is mapped from files: of each host, by how many share it, and of each real.
    pub fn memory(&self) -> (Vec<f64>, Vec<f64>) {
        let heard = held(&self.heard);
        let up = |host: &Host| {
            host.whose
                .iter()
                .filter(|n| !heard.threads[**n].is_empty())
                .count()
        };
        let hosts = held(&self.hosts);
        let hollow = hosts.iter().filter(|host| up(host) > 0);
        let hollow = hollow
            .map(|host| resident(host.child.id(), "RssAnon:") / up(host) as f64)
            .collect();
        let real = held(&self.reals)
            .values()
            .map(|child| resident(child.id(), "RssAnon:"))
            .collect();
        (hollow, real)
    }

    /// The whole resident memory of each real one, with the program itself.
    pub fn whole_memory(&self) -> Vec<f64> {
        held(&self.reals)
            .values()
            .map(|child| resident(child.id(), "VmRSS:"))
            .collect()
    }

    pub fn count(&self) -> usize {
        held(&self.hosts).len() + held(&self.reals).len()
    }

    /// Which of them ended by itself.
    pub fn crashed(&self) -> Vec<String> {
        let mut all = Vec::new();
        for (n, host) in held(&self.hosts).iter_mut().enumerate() {
            if let Ok(Some(status)) = host.child.try_wait() {
                all.push(format!("host {n} ended by itself: {status}"));
            }
        }
        for (n, child) in held(&self.reals).iter_mut() {
            if let Ok(Some(status)) = child.try_wait() {
                all.push(format!("sidecar {n} ended by itself: {status}"));
            }
        }
        all
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        let mut hosts = std::mem::take(&mut *held(&self.hosts));
        let mut reals = std::mem::take(&mut *held(&self.reals));
        for child in hosts
            .iter_mut()
            .map(|host| &mut host.child)
            .chain(reals.values_mut())
        {
            let _ = child.kill();
        }
        for child in hosts
            .iter_mut()
            .map(|host| &mut host.child)
            .chain(reals.values_mut())
        {
            let _ = child.wait();
        }
    }
}

fn threads(pid: u32) -> Vec<PathBuf> {
    let folder = std::fs::read_dir(format!("/proc/{pid}/task"));
    folder
        .into_iter()
        .flatten()
        .flatten()
        .map(|entry| entry.path())
        .collect()
}

/// What the kernel counts for a thread; nothing once it has ended.
fn ran(thread: &Path) -> Duration {
    let text = std::fs::read_to_string(thread.join("schedstat")).unwrap_or_default();
    Duration::from_nanos(
        text.split(' ')
            .next()
            .and_then(|ns| ns.parse().ok())
            .unwrap_or_default(),
    )
}

fn resident(pid: u32, key: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let kb = status.lines().find_map(|line| line.strip_prefix(key));
    kb.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok())
        .unwrap_or_default()
        * 1024.0
}
