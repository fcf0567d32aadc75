//! A sidecar without a front and without calls: list, membership, leases, upkeep and configuration by the same code, and
//! on the same two threads, as in one of its own process. Many share a process, to see what control needs at a size.

use crate::desk::Desk;
use crate::fleet::{self, Door, Turned};
use crate::relay::Dialer;
use crate::start::{self, Kept, Pace, Start};
use crate::stop::Stage;
use crate::{Files, list, members};
use passroad_choice::ListUpdateKind;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// One that lives; dropped, it is killed.
pub struct Hollow {
    /// What its fleet's part is asked by; none where the settings forbid talk.
    pub door: Option<Door>,
    /// The kernel's names of its threads under `/proc`: that of the list, and that of the fleet.
    pub threads: Vec<PathBuf>,
    stages: watch::Sender<Stage>,
    over: CancellationToken,
    lives: Vec<JoinHandle<()>>,
}

fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// The name of the calling thread under `/proc`.
fn thread_path() -> PathBuf {
    std::fs::read_link("/proc/thread-self").unwrap_or_default()
}

impl Hollow {
    /// Begins one by its files, as a process would, and tells on what it thinks of the others.
    ///
    /// # Errors
    /// What is wrong with a file, or that the system gives no thread or runtime.
    pub fn begin(files: Files, turns: mpsc::UnboundedSender<Turned>) -> Result<Hollow, String> {
        let fault = |e: io::Error| format!("hollow: {e}");
        let start = start::read(&files)?;
        let (stages, stage) = watch::channel(Stage::Serving);
        let over = CancellationToken::new();
        let (tell, told) = oneshot::channel();
        let (runtime, ends) = (runtime().map_err(fault)?, over.clone());
        let live = move || {
            runtime.block_on(async {
                let begun = List::begin(start, files, turns, stage, ends.clone());
                let failed = begun.is_err();
                let _ = tell.send(begun.map(|begun| (thread_path(), begun)));
                if !failed {
                    ends.cancelled().await;
                }
            });
        };
        let mut lives = vec![
            std::thread::Builder::new()
                .name("list".into())
                .spawn(live)
                .map_err(fault)?,
        ];
        let (path, begun) = told.blocking_recv().map_err(|e| format!("hollow: {e}"))??;
        let mut threads = vec![path];
        if let Some((path, life)) = begun.fleet {
            threads.push(path);
            lives.push(life);
        }
        Ok(Hollow {
            door: begun.door,
            threads,
            stages,
            over,
            lives,
        })
    }

    /// The planned end: it gives up what it owns first. Returns when nothing of it is left.
    pub fn stop(mut self) {
        self.stages.send_replace(Stage::Leaving);
        // The fleet's thread ends by itself, the other is then ended.
        if self.lives.len() > 1
            && let Some(fleet) = self.lives.pop()
        {
            let _ = fleet.join();
        }
    }
}

impl Drop for Hollow {
    /// As SIGKILL would: nobody is told. Returns when its sockets are closed.
    fn drop(&mut self) {
        self.over.cancel();
        self.lives.drain(..).for_each(|life| drop(life.join()));
    }
}

/// What runs on the thread of the list, and the fleet's thread beside it.
struct List {
    door: Option<Door>,
    fleet: Option<(PathBuf, JoinHandle<()>)>,
}

impl List {
    /// The order is that of the program's own start.
    fn begin(
        mut start: Start,
        files: Files,
        turns: mpsc::UnboundedSender<Turned>,
        stage: watch::Receiver<Stage>,
        over: CancellationToken,
    ) -> Result<List, String> {
        let fault = |e: io::Error| format!("hollow: {e}");
        let hangups = start::sighup()?;
        let (calls, called) = mpsc::unbounded_channel();
        let (pace, paces) = watch::channel(Pace::of(&start.orders));
        if !start.orders.list_on_request {
            let _ = calls.send(members::Call::Watch(true));
        }
        let dialer = Dialer::new(start.connect_within, start.orders.idle_close, start.sockets);
        start.orders.idle_close = dialer.idle_timeout();
        let (moves, at) = watch::channel(start.discovery);
        let kept = Kept::of(&start, moves);
        let within = start.connect_within / 5;
        let desk = Desk::new(start.orders, None, start.routes, dialer, within, calls);
        let revision = start.known.as_ref().map(|list| list.revision);
        desk.listed(ListUpdateKind::Cached, &start.known.unwrap_or_default());
        tokio::spawn(Arc::clone(&desk).beat());
        tokio::spawn(list::follow(Arc::clone(&desk), at, paces, revision, called));
        let own = Arc::clone(&desk);
        let retune = move |start: &Start| {
            own.retune(start.orders.clone(), start.routes.clone())?;
            pace.send_modify(|pace| *pace = pace.then(Pace::of(&start.orders)));
            Ok(())
        };
        tokio::spawn(start::read_again(files, hangups, kept, retune));
        let ready = match start.fleet {
            Some((orders, place)) => fleet::prepare(orders, place, &desk, stage)?,
            None => None,
        };
        let Some((door, ready)) = ready else {
            return Ok(List {
                door: None,
                fleet: None,
            });
        };
        let runtime = runtime().map_err(fault)?;
        let (tell, told) = std::sync::mpsc::channel();
        let serve = move || {
            let _ = tell.send(thread_path());
            runtime.block_on(async {
                tokio::select! {
                    () = ready.telling(turns).serve() => {}
                    () = over.cancelled() => {}
                }
            });
        };
        let life = std::thread::Builder::new()
            .name("fleet".into())
            .spawn(serve)
            .map_err(fault)?;
        let path = told.recv().map_err(|e| format!("hollow: {e}"))?;
        Ok(List {
            door: Some(door),
            fleet: Some((path, life)),
        })
    }
}
