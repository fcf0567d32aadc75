//! The host process of about a hundred simulated sidecars. It reads commands line by line from its standard input, ends
//! when that is closed, and reports on standard output.

use passroad::Files;
use passroad::fleet::{MemberStateChange, outer_name};
use passroad::hollow::Hollow;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;

use super::{lock, status_summary};

/// The configuration files of a sidecar in the folder of a run.
pub fn config_files(folder: &Path, sidecar: usize) -> Files {
    Files {
        config: Some(folder.join(format!("{sidecar}.json"))),
        routes: Some(folder.join(format!("{sidecar}.routes.toml"))),
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
            let (command, sidecar) = line.split_once(' ').unwrap_or_default();
            let Ok(sidecar) = sidecar.parse::<usize>() else {
                continue;
            };
            let (command, folder, running) =
                (command.to_string(), folder.clone(), Arc::clone(&running));
            match command.as_str() {
                "start" => drop(tokio::spawn(start(folder, sidecar, running))),
                "status" => drop(tokio::spawn(status(sidecar, running))),
                // Dropping a sidecar waits for its threads.
                "kill" => drop(tokio::task::spawn_blocking(move || {
                    let removed = lock(&running).remove(&sidecar);
                    drop(removed);
                    print_line(&format!("gone {sidecar}"));
                })),
                "stop" => drop(tokio::task::spawn_blocking(move || {
                    let removed = lock(&running).remove(&sidecar);
                    removed.into_iter().for_each(Hollow::stop);
                    print_line(&format!("gone {sidecar}"));
                })),
                _ => {}
            }
        }
    });
    Ok(())
}

/// Starts a sidecar, reports that it is up, and then reports its changes of member states until it ends.
async fn start(folder: PathBuf, sidecar: usize, running: RunningSidecars) {
    let (sender, mut state_changes) = mpsc::unbounded_channel();
    let started =
        tokio::task::spawn_blocking(move || Hollow::start(config_files(&folder, sidecar), sender))
            .await;
    match started.unwrap_or_else(|e| Err(e.to_string())) {
        Ok(running_sidecar) => {
            let paths: Vec<String> = running_sidecar
                .threads
                .iter()
                .map(|path| path.display().to_string())
                .collect();
            lock(&running).insert(sidecar, running_sidecar);
            print_line(&format!("up {sidecar} {}", paths.join(" ")));
        }
        Err(error) => print_line(&format!("fault {sidecar} {}", error.replace('\n', " "))),
    }
    // A region that is cut off causes many changes at once: one write for each would be a load of its own.
    let mut batch = Vec::new();
    while state_changes.recv_many(&mut batch, 1024).await > 0 {
        let line = |change: MemberStateChange| {
            format!(
                "turned {sidecar} {} {} {}",
                change.member,
                outer_name(change.state),
                unix_micros()
            )
        };
        print_line(&batch.drain(..).map(line).collect::<Vec<_>>().join("\n"));
    }
}

/// Reports the status of a sidecar, or null if there is none.
async fn status(sidecar: usize, running: RunningSidecars) {
    let fleet = lock(&running)
        .get(&sidecar)
        .and_then(|running_sidecar| running_sidecar.fleet.clone());
    let status = match fleet {
        Some(fleet) => tokio::time::timeout(Duration::from_secs(5), fleet.status())
            .await
            .ok()
            .flatten(),
        None => None,
    };
    print_line(&format!(
        "status {sidecar} {}",
        status.map_or("null".into(), |status| status_summary(&status).to_string())
    ));
}
