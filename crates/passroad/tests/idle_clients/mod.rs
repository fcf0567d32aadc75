//! A sidecar under a descriptor limit, and many idle clients that reconnect as soon as they are
//! closed. Child processes hold the client connections, so that the test process stays within its
//! own descriptor limit.

use super::harness::{MS, is_ready, sidecar_command, wait_until};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The environment variable that tells a child process where to connect and how often.
const CHILD_VARIABLE: &str = "IDLE_CLIENTS";
/// The test that a child process runs; it calls `run_child`.
const CHILD_TEST: &str = "idle_client_process";

/// A sidecar under a descriptor limit; its log goes to a file.
pub struct LimitedSidecar {
    pub child: Child,
    directory: PathBuf,
}

impl LimitedSidecar {
    pub fn start(address: SocketAddr, config: &str, descriptor_limit: usize) -> LimitedSidecar {
        let (unlimited, directory) = sidecar_command(config);
        let log = std::fs::File::create(directory.join("log")).unwrap();
        let script = format!("ulimit -n {descriptor_limit} && exec \"$0\"");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(script)
            .arg(unlimited.get_program())
            .env_clear()
            .env("LB_CONFIG", directory.join("config.json"))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let sidecar = LimitedSidecar { child, directory };
        wait_until(|| is_ready(address));
        sidecar
    }

    /// Lowers the soft descriptor limit of the running process.
    pub fn set_descriptor_limit(&self, descriptor_limit: usize) {
        let pid = self.child.id().to_string();
        let status = Command::new("prlimit")
            .args(["--pid", &pid, &format!("--nofile={descriptor_limit}:")])
            .status();
        assert!(status.unwrap().success());
    }

    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// How many log lines contain this text.
    pub fn log_lines_with(&self, text: &str) -> usize {
        let log = std::fs::read_to_string(self.directory.join("log")).unwrap();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// CPU time of the process in user and system mode, in hundredths of a second.
    pub fn cpu_centiseconds(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<_> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }
}

impl Drop for LimitedSidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Idle client connections, held by child processes.
pub struct IdleClients(Vec<Child>);

impl IdleClients {
    /// Opens `count` connections to an address.
    pub fn connect(address: SocketAddr, count: usize) -> IdleClients {
        const CLIENTS_PER_PROCESS: usize = 400;
        let process = |index: usize| {
            let count = CLIENTS_PER_PROCESS.min(count - index * CLIENTS_PER_PROCESS);
            Command::new(std::env::current_exe().unwrap())
                .args(["--exact", CHILD_TEST, "--nocapture"])
                .env(CHILD_VARIABLE, format!("{address} {count}"))
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .unwrap()
        };
        IdleClients(
            (0..count.div_ceil(CLIENTS_PER_PROCESS))
                .map(process)
                .collect(),
        )
    }

    /// Closes all connections; returns how often one was opened again.
    pub fn disconnect(mut self) -> usize {
        self.0
            .drain(..)
            .map(|mut child| {
                drop(child.stdin.take());
                let mut output = String::new();
                child
                    .stdout
                    .take()
                    .unwrap()
                    .read_to_string(&mut output)
                    .unwrap();
                child.wait().unwrap();
                let reconnects = output
                    .lines()
                    .find_map(|line| line.split("reconnects: ").nth(1));
                reconnects.expect("a count").parse::<usize>().unwrap()
            })
            .sum()
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Does nothing unless this is a child process of `IdleClients::connect`. A child keeps its
/// connections open without sending anything, and opens each again as soon as it is closed, until
/// its standard input ends.
pub fn run_child() {
    let Ok(task) = std::env::var(CHILD_VARIABLE) else {
        return;
    };
    let (address, count) = task.split_once(' ').unwrap();
    let (address, count): (SocketAddr, usize) = (address.parse().unwrap(), count.parse().unwrap());
    let finished = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stdin_ended = std::sync::Arc::clone(&finished);
    spawn(move || {
        let _ = std::io::stdin().read(&mut [0]);
        stdin_ended.store(true, std::sync::atomic::Ordering::SeqCst);
    });
    let connect = || {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    let (mut open, mut reconnects) = ((0..count).map(|_| connect()).collect::<Vec<_>>(), 0);
    while !finished.load(std::sync::atomic::Ordering::SeqCst) {
        for stream in &mut open {
            let is_open = stream.as_mut().is_some_and(
                |stream| matches!(stream.read(&mut [0; 64]), Err(error) if error.kind() == ErrorKind::WouldBlock),
            );
            if !is_open {
                *stream = None;
                *stream = connect();
                reconnects += 1;
            }
        }
        sleep(MS);
    }
    println!("reconnects: {reconnects}");
    let _ = std::io::stdout().flush();
}
