//! The processes of a scale run: hosts of simulated sidecars, and real sidecars. All of them end with the rig. Their
//! CPU time and memory are read from /proc, their member states and status from the lines that the hosts print.

use super::{lock, status_summary};
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

/// Timeout of starts and of graceful shutdowns.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// A sidecar has changed the state of another in its member list.
#[derive(Debug, Clone, Copy)]
pub struct StateChange {
    pub time: Duration, // since the Unix epoch
    pub observer: usize,
    pub member: usize,
    pub state: MemberState,
}

/// What host processes have reported.
#[derive(Default)]
pub struct HostReports {
    /// Paths under /proc of the discovery thread and of the fleet thread, by sidecar; empty while it is down.
    pub threads: Vec<Vec<PathBuf>>,
    pub state_changes: Vec<StateChange>,
    pub statuses: BTreeMap<usize, Value>,
    pub errors: Vec<String>,
}

/// A host process and the simulated sidecars in it.
struct Host {
    child: Child,
    stdin: ChildStdin,
    sidecars: Vec<usize>,
}

/// All processes of a run.
pub struct Processes {
    program: PathBuf,
    folder: PathBuf,
    hosts: Mutex<Vec<Host>>,
    real_processes: Mutex<BTreeMap<usize, Child>>,
    management_addresses: BTreeMap<usize, std::net::SocketAddr>,
    pub reports: Arc<Mutex<HostReports>>,
}

/// The command of a process, with a clean environment, its log file and a pipe as standard input.
fn base_command(program: &Path, folder: &Path, log: &str) -> io::Result<Command> {
    let mut command = Command::new(program);
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(log))?;
    // The process ends when this pipe is closed, also where the rig itself crashes.
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

/// Parses a line that a host printed, and adds it to the reports.
fn add_report(reports: &mut HostReports, line: &str) {
    let mut words = line.split(' ');
    let kind = words.next().unwrap_or_default();
    let Some(sidecar) = words.next().and_then(|number| number.parse::<usize>().ok()) else {
        return;
    };
    match kind {
        "up" => {
            reports.threads[sidecar] = words.map(|path| Path::new("/proc").join(path)).collect()
        }
        "gone" => reports.threads[sidecar].clear(),
        "turned" => {
            let member = words.next().and_then(|number| number.parse().ok());
            let state = match words.next() {
                Some("Here") => Some(MemberState::Alive),
                Some("Doubt") => Some(MemberState::Suspect),
                Some("Gone") => Some(MemberState::Dead),
                _ => None,
            };
            let time = words
                .next()
                .and_then(|micros| micros.parse().ok())
                .map(Duration::from_micros);
            if let (Some(member), Some(state), Some(time)) = (member, state, time) {
                reports.state_changes.push(StateChange {
                    time,
                    observer: sidecar,
                    member,
                    state,
                });
            }
        }
        "status" => {
            let rest = line.splitn(3, ' ').nth(2).unwrap_or_default();
            reports
                .statuses
                .insert(sidecar, serde_json::from_str(rest).unwrap_or_default());
        }
        "fault" => reports.errors.push(line.to_string()),
        _ => {}
    }
}

impl Processes {
    /// Starts the host processes; `sidecars_by_host` lists the simulated sidecars of each.
    pub fn start(
        program: &Path,
        folder: &Path,
        sidecars: usize,
        sidecars_by_host: Vec<Vec<usize>>,
        management_addresses: BTreeMap<usize, std::net::SocketAddr>,
    ) -> io::Result<Processes> {
        let reports = Arc::new(Mutex::new(HostReports {
            threads: vec![Vec::new(); sidecars],
            ..HostReports::default()
        }));
        let mut hosts = Vec::new();
        for (host, sidecars) in sidecars_by_host.into_iter().enumerate() {
            let mut child = base_command(program, folder, &format!("host-{host}.log"))?
                .arg("hollow")
                .arg(folder)
                .stdout(Stdio::piped())
                .spawn()?;
            let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
            let (Some(stdin), Some(stdout)) = (stdin, stdout) else {
                continue;
            };
            let reports = Arc::clone(&reports);
            std::thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    add_report(&mut lock(&reports), &line);
                }
            });
            hosts.push(Host {
                child,
                stdin,
                sidecars,
            });
        }
        Ok(Processes {
            program: program.into(),
            folder: folder.into(),
            hosts: Mutex::new(hosts),
            real_processes: Mutex::default(),
            management_addresses,
            reports,
        })
    }

    pub fn is_real(&self, sidecar: usize) -> bool {
        self.management_addresses.contains_key(&sidecar)
    }

    fn send_command(&self, command: &str, sidecar: usize) -> io::Result<()> {
        let mut hosts = lock(&self.hosts);
        match hosts
            .iter_mut()
            .find(|host| host.sidecars.contains(&sidecar))
        {
            Some(host) => {
                writeln!(host.stdin, "{command} {sidecar}").and_then(|()| host.stdin.flush())
            }
            None => Err(io::Error::other(format!("sidecar {sidecar} has no host"))),
        }
    }

    pub fn start_sidecar(&self, sidecar: usize) -> io::Result<()> {
        if !self.is_real(sidecar) {
            return self.send_command("start", sidecar);
        }
        let files = super::host::config_files(&self.folder, sidecar);
        let mut command = base_command(&self.program, &self.folder, &format!("{sidecar}.log"))?;
        for (name, file) in [
            ("LB_CONFIG", files.config),
            ("LB_ROUTES", files.routes),
            ("LB_FLEET", files.fleet),
        ] {
            command.envs(file.map(|file| (name, file)));
        }
        let child = command.arg("sidecar").stdout(Stdio::null()).spawn()?;
        lock(&self.real_processes).insert(sidecar, child);
        Ok(())
    }

    pub fn kill(&self, sidecar: usize) -> io::Result<()> {
        if !self.is_real(sidecar) {
            return self.send_command("kill", sidecar);
        }
        lock(&self.reports).threads[sidecar].clear();
        if let Some(mut child) = lock(&self.real_processes).remove(&sidecar) {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    pub async fn stop(&self, sidecar: usize) -> io::Result<()> {
        if !self.is_real(sidecar) {
            self.send_command("stop", sidecar)?;
            return self
                .wait_for_threads("stopped", &[sidecar], |threads| threads.is_empty())
                .await;
        }
        let child = lock(&self.real_processes).remove(&sidecar);
        lock(&self.reports).threads[sidecar].clear();
        let Some(mut child) = child else {
            return Ok(());
        };
        if let Some(pid) = rustix::process::Pid::from_raw(child.id() as i32) {
            rustix::process::kill_process(pid, rustix::process::Signal::TERM)?;
        }
        let started = Instant::now();
        while child.try_wait()?.is_none() {
            if started.elapsed() > PROCESS_TIMEOUT {
                child.kill()?;
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    async fn wait_for_threads(
        &self,
        goal: &str,
        sidecars: &[usize],
        done: impl Fn(&[PathBuf]) -> bool,
    ) -> io::Result<()> {
        let started = Instant::now();
        loop {
            {
                let reports = lock(&self.reports);
                if let Some(error) = reports.errors.first() {
                    return Err(io::Error::other(error.clone()));
                }
                if sidecars
                    .iter()
                    .all(|sidecar| done(&reports.threads[*sidecar]))
                {
                    return Ok(());
                }
            }
            if started.elapsed() > PROCESS_TIMEOUT {
                return Err(io::Error::other(format!(
                    "not all sidecars were {goal} within {PROCESS_TIMEOUT:?}"
                )));
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until all of these sidecars run.
    pub async fn wait_until_running(&self, sidecars: &[usize]) -> io::Result<()> {
        let started = Instant::now();
        for sidecar in sidecars.iter().filter(|sidecar| self.is_real(**sidecar)) {
            let address = self.management_addresses[sidecar];
            while tokio::net::TcpStream::connect(address).await.is_err() {
                if started.elapsed() > PROCESS_TIMEOUT {
                    let log = std::fs::read_to_string(self.folder.join(format!("{sidecar}.log")));
                    let last = log
                        .unwrap_or_default()
                        .lines()
                        .last()
                        .unwrap_or("its log is empty")
                        .to_string();
                    return Err(io::Error::other(format!(
                        "sidecar {sidecar} did not become ready: {last}"
                    )));
                }
                sleep(Duration::from_millis(20)).await;
            }
            if let Some(child) = lock(&self.real_processes).get(sidecar) {
                lock(&self.reports).threads[*sidecar] = thread_paths(child.id());
            }
        }
        self.wait_for_threads("running", sidecars, |threads| !threads.is_empty())
            .await
    }

    /// The status of each sidecar; those that don't answer are left out.
    pub async fn statuses(&self, sidecars: &[usize]) -> BTreeMap<usize, Value> {
        lock(&self.reports).statuses.clear();
        let mut statuses = BTreeMap::new();
        for sidecar in sidecars {
            if let Some(address) = self.management_addresses.get(sidecar) {
                let answer = tokio::task::block_in_place(|| {
                    passroad::fleet::request_json(*address, "GET", "/admin/fleet", "")
                });
                if let Ok(status) = answer {
                    statuses.insert(*sidecar, status_summary(&status));
                }
            } else {
                let _ = self.send_command("status", *sidecar);
            }
        }
        let simulated = sidecars
            .iter()
            .filter(|sidecar| !self.is_real(**sidecar))
            .count();
        let started = Instant::now();
        while lock(&self.reports).statuses.len() < simulated && started.elapsed() < PROCESS_TIMEOUT
        {
            sleep(Duration::from_millis(20)).await;
        }
        statuses.extend(
            lock(&self.reports)
                .statuses
                .iter()
                .map(|(sidecar, status)| (*sidecar, status.clone())),
        );
        statuses
    }

    /// CPU time so far by sidecar: of the discovery thread (in a real process, of all threads but the fleet thread),
    /// and of the fleet thread.
    pub fn cpu(&self) -> Vec<[Duration; 2]> {
        let threads = lock(&self.reports).threads.clone();
        let by_thread = |paths: &Vec<PathBuf>| {
            let mut times = [Duration::ZERO; 2];
            for (index, path) in paths.iter().enumerate() {
                // The threads of a real process are told apart by name, those of a simulated sidecar by order.
                let name = || std::fs::read_to_string(path.join("comm")).unwrap_or_default();
                let fleet = if paths.len() == 2 {
                    index == 1
                } else {
                    name().trim() == "fleet"
                };
                times[usize::from(fleet)] += cpu_time(path);
            }
            times
        };
        threads.iter().map(by_thread).collect()
    }

    /// Anonymous resident memory in bytes: for each host, per running sidecar; and for each real sidecar.
    pub fn memory(&self) -> (Vec<f64>, Vec<f64>) {
        let reports = lock(&self.reports);
        let running = |host: &Host| {
            host.sidecars
                .iter()
                .filter(|sidecar| !reports.threads[**sidecar].is_empty())
                .count()
        };
        let hosts = lock(&self.hosts);
        let simulated = hosts.iter().filter(|host| running(host) > 0);
        let simulated = simulated
            .map(|host| resident_bytes(host.child.id(), "RssAnon:") / running(host) as f64)
            .collect();
        let real = lock(&self.real_processes)
            .values()
            .map(|child| resident_bytes(child.id(), "RssAnon:"))
            .collect();
        (simulated, real)
    }

    /// Total resident memory of each real sidecar, including the pages of the program file.
    pub fn total_memory(&self) -> Vec<f64> {
        lock(&self.real_processes)
            .values()
            .map(|child| resident_bytes(child.id(), "VmRSS:"))
            .collect()
    }

    pub fn count(&self) -> usize {
        lock(&self.hosts).len() + lock(&self.real_processes).len()
    }

    /// Descriptions of the processes that ended on their own.
    pub fn crashes(&self) -> Vec<String> {
        let mut crashes = Vec::new();
        for (host_number, host) in lock(&self.hosts).iter_mut().enumerate() {
            if let Ok(Some(status)) = host.child.try_wait() {
                crashes.push(format!("host {host_number} ended by itself: {status}"));
            }
        }
        for (sidecar, child) in lock(&self.real_processes).iter_mut() {
            if let Ok(Some(status)) = child.try_wait() {
                crashes.push(format!("sidecar {sidecar} ended by itself: {status}"));
            }
        }
        crashes
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        let mut hosts = std::mem::take(&mut *lock(&self.hosts));
        let mut real_processes = std::mem::take(&mut *lock(&self.real_processes));
        for child in hosts
            .iter_mut()
            .map(|host| &mut host.child)
            .chain(real_processes.values_mut())
        {
            let _ = child.kill();
        }
        for child in hosts
            .iter_mut()
            .map(|host| &mut host.child)
            .chain(real_processes.values_mut())
        {
            let _ = child.wait();
        }
    }
}

fn thread_paths(pid: u32) -> Vec<PathBuf> {
    let folder = std::fs::read_dir(format!("/proc/{pid}/task"));
    folder
        .into_iter()
        .flatten()
        .flatten()
        .map(|entry| entry.path())
        .collect()
}

/// CPU time of a thread; zero once it has ended.
fn cpu_time(thread: &Path) -> Duration {
    let text = std::fs::read_to_string(thread.join("schedstat")).unwrap_or_default();
    Duration::from_nanos(
        text.split(' ')
            .next()
            .and_then(|nanoseconds| nanoseconds.parse().ok())
            .unwrap_or_default(),
    )
}

fn resident_bytes(pid: u32, key: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let kb = status.lines().find_map(|line| line.strip_prefix(key));
    kb.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok())
        .unwrap_or_default()
        * 1024.0
}
