//! The process of some hundred hollow sidecars: told what to do line by line on its standard input, with whose end it ends,
//! and telling on standard output.

use passroad::Files;
use passroad::fleet::{MemberStateChange, outer_name};
use passroad::hollow::Hollow;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;

use super::held;

pub fn files(folder: &Path, n: usize) -> Files {
    Files {
        config: Some(folder.join(format!("{n}.json"))),
        routes: Some(folder.join(format!("{n}.routes.toml"))),
        fleet: Some(folder.join("fleet.toml")),
    }
}

fn unix_us() -> u128 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros()
}

/// A line at once; where nobody listens any more the input ends, too.
fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

type Lives = Arc<Mutex<BTreeMap<usize, Hollow>>>;

/// Serves until the input ends.
pub fn run(folder: PathBuf) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let (tell, mut told) = mpsc::unbounded_channel::<String>();
    std::thread::spawn(move || {
        std::io::stdin()
            .lock()
            .lines()
            .map_while(Result::ok)
            .for_each(|line| drop(tell.send(line)));
        // All of it at once, as its threads are many.
        std::process::exit(0);
    });
    let lives = Lives::default();
    runtime.block_on(async move {
        while let Some(line) = told.recv().await {
            let (word, n) = line.split_once(' ').unwrap_or_default();
            let Ok(n) = n.parse::<usize>() else { continue };
            let (word, folder, lives) = (word.to_string(), folder.clone(), Arc::clone(&lives));
            match word.as_str() {
                "start" => drop(tokio::spawn(start(folder, n, lives))),
                "status" => drop(tokio::spawn(status(n, lives))),
                // Its threads are waited for.
                "kill" => drop(tokio::task::spawn_blocking(move || {
                    let life = held(&lives).remove(&n);
                    drop(life);
                    say(&format!("gone {n}"));
                })),
                "stop" => drop(tokio::task::spawn_blocking(move || {
                    let life = held(&lives).remove(&n);
                    life.into_iter().for_each(Hollow::stop);
                    say(&format!("gone {n}"));
                })),
                _ => {}
            }
        }
    });
    Ok(())
}

async fn start(folder: PathBuf, n: usize, lives: Lives) {
    let (turns, mut turned) = mpsc::unbounded_channel();
    let begun = tokio::task::spawn_blocking(move || Hollow::start(files(&folder, n), turns)).await;
    match begun.unwrap_or_else(|e| Err(e.to_string())) {
        Ok(life) => {
            let paths: Vec<String> = life
                .threads
                .iter()
                .map(|path| path.display().to_string())
                .collect();
            held(&lives).insert(n, life);
            say(&format!("up {n} {}", paths.join(" ")));
        }
        Err(fault) => say(&format!("fault {n} {}", fault.replace('\n', " "))),
    }
    // Many at once where a region is cut off: a line and a write each would be load of its own.
    let mut some = Vec::new();
    while turned.recv_many(&mut some, 1024).await > 0 {
        let line = |turn: MemberStateChange| {
            format!(
                "turned {n} {} {} {}",
                turn.member,
                outer_name(turn.state),
                unix_us()
            )
        };
        say(&some.drain(..).map(line).collect::<Vec<_>>().join("\n"));
    }
}

async fn status(n: usize, lives: Lives) {
    let door = held(&lives).get(&n).and_then(|life| life.fleet.clone());
    let said = match door {
        Some(door) => tokio::time::timeout(Duration::from_secs(5), door.status())
            .await
            .ok()
            .flatten(),
        None => None,
    };
    say(&format!(
        "status {n} {}",
        said.map_or("null".into(), |said| super::brief(&said).to_string())
    ));
}
