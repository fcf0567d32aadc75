//! A sidecar under a limit on descriptors, and a crowd of idle clients that come again as soon as they are closed. The
//! crowd is held by processes of its own, so that the tests need no more descriptors than any process has.

use super::stand_ins::{MS, program, ready, until};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The variable by which a process of the crowd is told what to do.
const TASK: &str = "CROWD";
/// The test that such a process runs: it calls `play`.
const PLAYER: &str = "a_process_of_the_crowd";

/// A sidecar that may hold so many descriptors; what it says goes into a file.
pub struct Limited {
    pub child: Child,
    folder: PathBuf,
}

impl Limited {
    pub fn start(address: SocketAddr, text: &str, descriptors: usize) -> Limited {
        let (own, folder) = program(text);
        let said = std::fs::File::create(folder.join("log")).unwrap();
        let limited = format!("ulimit -n {descriptors} && exec \"$0\"");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(limited)
            .arg(own.get_program())
            .env_clear()
            .env("LB_CONFIG", folder.join("config.json"))
            .stdin(Stdio::null())
            .stderr(said)
            .spawn()
            .unwrap();
        let limited = Limited { child, folder };
        until(|| ready(address));
        limited
    }

    /// Lets it hold only so many from now on.
    pub fn limit(&self, descriptors: usize) {
        let pid = self.child.id().to_string();
        let told = Command::new("prlimit")
            .args(["--pid", &pid, &format!("--nofile={descriptors}:")])
            .status();
        assert!(told.unwrap().success());
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// The lines that it has written and that hold these words.
    pub fn said(&self, words: &str) -> usize {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap();
        log.lines().filter(|line| line.contains(words)).count()
    }

    /// Of a processor, in hundredths of a second: the process's time in user and system mode.
    pub fn processor(&self) -> u64 {
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

impl Drop for Limited {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Idle clients, held by other processes.
pub struct Crowd(Vec<Child>);

impl Crowd {
    /// So many clients of a sidecar.
    pub fn come(to: SocketAddr, count: usize) -> Crowd {
        const EACH: usize = 400;
        let process = |n: usize| {
            let count = EACH.min(count - n * EACH);
            Command::new(std::env::current_exe().unwrap())
                .args(["--exact", PLAYER, "--nocapture"])
                .env(TASK, format!("{to} {count}"))
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .unwrap()
        };
        Crowd((0..count.div_ceil(EACH)).map(process).collect())
    }

    /// Sends all away; how often one had come again.
    pub fn go(mut self) -> usize {
        self.0
            .drain(..)
            .map(|mut child| {
                drop(child.stdin.take());
                let mut said = String::new();
                child
                    .stdout
                    .take()
                    .unwrap()
                    .read_to_string(&mut said)
                    .unwrap();
                child.wait().unwrap();
                let again = said
                    .lines()
                    .find_map(|line| line.split("came again ").nth(1));
                again.expect("a count").parse::<usize>().unwrap()
            })
            .sum()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// What a process of the crowd does, if this is one: until its standard input ends it keeps so many connections open that say
/// nothing, and opens each again as soon as it is closed.
pub fn play() {
    let Ok(task) = std::env::var(TASK) else {
        return;
    };
    let (to, count) = task.split_once(' ').unwrap();
    let (to, count): (SocketAddr, usize) = (to.parse().unwrap(), count.parse().unwrap());
    let over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let own = std::sync::Arc::clone(&over);
    spawn(move || {
        let _ = std::io::stdin().read(&mut [0]);
        own.store(true, std::sync::atomic::Ordering::SeqCst);
    });
    let connect = || {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    let (mut open, mut again) = ((0..count).map(|_| connect()).collect::<Vec<_>>(), 0);
    while !over.load(std::sync::atomic::Ordering::SeqCst) {
        for stream in &mut open {
            let stays = stream.as_mut().is_some_and(
                |stream| matches!(stream.read(&mut [0; 64]), Err(fault) if fault.kind() == ErrorKind::WouldBlock),
            );
            if !stays {
                *stream = None;
                *stream = connect();
                again += 1;
            }
        }
        sleep(MS);
    }
    println!("came again {again}");
    let _ = std::io::stdout().flush();
}
