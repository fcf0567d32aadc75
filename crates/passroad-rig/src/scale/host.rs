//! The host process of about a hundred simulated sidecars. It reads commands line by line from its standard input, ends when
//! that is closed, and reports on standard output.

use passroad::Files;
use passroad::fleet::MemberStateChange;
use passroad::hollow::Hollow;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;

use super::{lock, status_summary};

pub fn config_files(folder: &Path, number: usize) -> Files {
    Files {
        config: Some(folder.join(format!("{number}.json"))),
        routes: Some(folder.join(format!("{number}.routes.toml"))),
        fleet: Some(folder.join("fleet.toml")),
    }
}

fn unix_micros() -> u128 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros()
}

/// Writes a line at once. Write errors are ignored: where the rig is gone, standard input ends, too.
fn print_line(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

type RunningSidecars = Arc<Mutex<BTreeMap<usize, Hollow>>>;

/// Carries out commands until standard input ends.
pub fn run(folder: PathBuf) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let (sender, mut lines) = mpsc::unbounded_channel::<String>();
    std::thread::spawn(move || {
        std::io::stdin()
            .lock()
            .lines()
            .map_while(Result::ok)
            .for_each(|line| drop(sender.send(line)));
        // Ends the whole process at once, instead of stopping its many threads one by one.
        std::process::exit(0);
    });
    let running = RunningSidecars::default();
    runtime.block_on(async move {
        while let Some(line) = lines.recv().await {
            let (word, number) = line.split_once(' ').unwrap_or_default();
            let Ok(number) = number.parse::<usize>() else {
                continue;
            };
            let (word, folder, running) = (word.to_string(), folder.clone(), Arc::clone(&running));
            match word.as_str() {
                "start" => drop(tokio::spawn(start(folder, number, running))),
                "status" => drop(tokio::spawn(status(number, running))),
                // Dropping a sidecar waits for its threads.
                "kill" => drop(tokio::task::spawn_blocking(move || {
                    let sidecar = lock(&running).remove(&number);
                    drop(sidecar);
                    print_line(&format!("gone {number}"));
                })),
                "stop" => drop(tokio::task::spawn_blocking(move || {
                    let sidecar = lock(&running).remove(&number);
                    sidecar.into_iter().for_each(Hollow::stop);
                    print_line(&format!("gone {number}"));
                })),
                _ => {}
            }
        }
    });
    Ok(())
}

async fn start(folder: PathBuf, number: usize, running: RunningSidecars) {
    let (sender, mut state_changes) = mpsc::unbounded_channel();
    let started =
        tokio::task::spawn_blocking(move || Hollow::start(config_files(&folder, number), sender))
            .await;
    match started.unwrap_or_else(|e| Err(e.to_string())) {
        Ok(sidecar) => {
            let paths: Vec<String> = sidecar
                .threads
                .iter()
                .map(|path| path.display().to_string())
                .collect();
            lock(&running).insert(number, sidecar);
            print_line(&format!("up {number} {}", paths.join(" ")));
        }
        Err(error) => print_line(&format!("fault {number} {}", error.replace('\n', " "))),
    }
    // A region that is cut off causes many changes at once: one write for each would be a load of its own.
    let mut batch = Vec::new();
    while state_changes.recv_many(&mut batch, 1024).await > 0 {
        let line = |change: MemberStateChange| {
            format!(
                "turned {number} {} {:?} {}",
                change.member,
                change.state,
                unix_micros()
            )
        };
        print_line(&batch.drain(..).map(line).collect::<Vec<_>>().join("\n"));
    }
}

async fn status(number: usize, running: RunningSidecars) {
    let fleet = lock(&running)
        .get(&number)
        .and_then(|sidecar| sidecar.fleet.clone());
    let status = match fleet {
        Some(fleet) => tokio::time::timeout(Duration::from_secs(5), fleet.status())
            .await
            .ok()
            .flatten(),
        None => None,
    };
    print_line(&format!(
        "status {number} {}",
        status.map_or("null".into(), |status| status_summary(&status).to_string())
    ));
}
