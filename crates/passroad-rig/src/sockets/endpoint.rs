//! The model of an endpoint behind real sockets: it listens for each sidecar at an address of its own, so that a cut can
//! concern some of them only.

use super::http::{Message, Talk, answer};
use super::scene::{Scene, address, held};
use crate::experiment::{ReportMode, ScheduledChange};
use crate::ledger::{CommandId, Entry, RelayId};
use crate::load::ClientRequest;
use crate::model::{Admission, Endpoint, EndpointEvent, EndpointLoad, Job, JobId, JobResult};
use crate::rng::SeededRng;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, timeout};

const BACKLOG: u32 = 1024;
/// For an address to be free again.
const PATIENCE: Duration = Duration::from_secs(2);

pub struct Stand {
    scene: Arc<Scene>,
    n: usize,
    addresses: Vec<SocketAddr>, // by instance
    model: Mutex<Held>,
    poke: Notify, // the model was touched: look when it next changes
    free: Notify, // a stall or a cut is over
    cuts: Vec<AtomicBool>,
    talks: Mutex<HashMap<u64, AbortHandle>>,
    doors: Mutex<Vec<Option<AbortHandle>>>, // by instance
    serial: AtomicU64,
    tipped: AtomicBool,
}

struct Held {
    endpoint: Endpoint,
    waiting: HashMap<JobId, oneshot::Sender<(JobResult, EndpointLoad)>>,
}

impl Stand {
    pub async fn start(scene: &Arc<Scene>, n: usize, seed: u64) -> io::Result<Arc<Stand>> {
        let plan = &scene.plan;
        let (mut addresses, mut listeners) = (Vec::new(), Vec::new());
        for instance in 0..plan.instances {
            let listener = listen(SocketAddr::new(address(n, instance), 0), BACKLOG)?;
            addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let endpoint = Endpoint::new(
            plan.endpoints[n].spec.clone(),
            SeededRng::stream(seed, "endpoint", n as u64),
        );
        let stand = Arc::new(Stand {
            scene: Arc::clone(scene),
            n,
            addresses,
            model: Mutex::new(Held {
                endpoint,
                waiting: HashMap::new(),
            }),
            poke: Notify::new(),
            free: Notify::new(),
            cuts: (0..plan.instances)
                .map(|_| AtomicBool::new(false))
                .collect(),
            talks: Mutex::default(),
            doors: Mutex::new((0..plan.instances).map(|_| None).collect()),
            serial: AtomicU64::new(0),
            tipped: AtomicBool::new(false),
        });
        for (instance, listener) in listeners.into_iter().enumerate() {
            stand.open(instance, listener);
        }
        tokio::spawn(Arc::clone(&stand).drive());
        Ok(stand)
    }

    pub fn address(&self, instance: usize) -> SocketAddr {
        self.addresses[instance]
    }

    pub fn is_up(&self) -> bool {
        held(&self.model).endpoint.is_up()
    }

    pub fn look(&self) -> (usize, usize) {
        let model = held(&self.model);
        (model.endpoint.outstanding(), model.endpoint.connections())
    }

    /// Lets the model's time pass and hands out what shows; gives when it next changes.
    fn turn(&self) -> Option<Duration> {
        let mut model = held(&self.model);
        model.endpoint.advance(self.scene.now());
        for shown in model.endpoint.take_events() {
            match shown {
                EndpointEvent::Started(job) => self.scene.note(Entry::JobStarted {
                    relay: job as usize,
                }),
                EndpointEvent::Finished(job, verdict) => {
                    let load = model.endpoint.load_report();
                    if let Some(tell) = model.waiting.remove(&job) {
                        let _ = tell.send((verdict, load));
                    }
                }
                EndpointEvent::Crashed => self.tipped.store(true, Relaxed),
            }
        }
        model.endpoint.next_event_at()
    }

    async fn drive(self: Arc<Self>) {
        loop {
            let wake = self.turn();
            if self.tipped.swap(false, Relaxed) {
                self.die();
                let stand = Arc::clone(&self);
                tokio::spawn(async move {
                    sleep_until(
                        stand
                            .scene
                            .instant(stand.scene.now() + stand.scene.plan.restart_after),
                    )
                    .await;
                    if let Err(fault) = stand.restart().await {
                        log::error!("endpoint {} could not start again: {fault}", stand.n);
                    }
                });
            }
            let poked = self.poke.notified();
            match wake {
                Some(at) => tokio::select! {
                    () = poked => {}
                    () = sleep_until(self.scene.instant(at)) => {}
                },
                None => poked.await,
            }
        }
    }

    fn touch(&self, change: impl FnOnce(&mut Endpoint)) {
        self.turn();
        change(&mut held(&self.model).endpoint);
        self.poke.notify_one();
    }

    // ---- what a day does to it ----

    /// Carries out what concerns this endpoint; the list is another's.
    pub async fn change(self: &Arc<Self>, change: &ScheduledChange) -> io::Result<()> {
        match change {
            ScheduledChange::EndpointFault(_, turn) => {
                self.touch(|e| e.apply_fault(turn));
                self.free.notify_waiters();
            }
            ScheduledChange::NetworkCut { instances, on, .. } => {
                for (instance, _) in instances
                    .iter()
                    .enumerate()
                    .filter(|(_, concerned)| **concerned)
                {
                    self.cut(instance, *on).await?;
                }
            }
            ScheduledChange::Crash(_) | ScheduledChange::Leave(_) => self.die(),
            ScheduledChange::Start(_) => self.restart().await?,
            ScheduledChange::Drain(_) => self.touch(Endpoint::drain),
            _ => {}
        }
        Ok(())
    }

    /// The process ends: connections are reset, new ones refused.
    fn die(&self) {
        held(&self.doors)
            .iter_mut()
            .filter_map(Option::take)
            .for_each(|door| door.abort());
        held(&self.talks).drain().for_each(|(_, talk)| talk.abort());
        let mut model = held(&self.model);
        model.endpoint.advance(self.scene.now());
        for job in model.endpoint.crash() {
            self.scene.note(Entry::RelayEnded {
                relay: job as usize,
                never_ran: false,
            });
        }
        model.waiting.clear();
        drop(model);
        self.poke.notify_one();
    }

    async fn restart(self: &Arc<Self>) -> io::Result<()> {
        if self.is_up() {
            return Ok(());
        }
        let now = self.scene.now();
        held(&self.model).endpoint.start(now);
        if !self.scene.plan.endpoints[self.n]
            .spec
            .warm_up_time
            .is_zero()
        {
            self.scene.note(Entry::EndpointStarted { endpoint: self.n });
        }
        for instance in 0..self.addresses.len() {
            if !self.cuts[instance].load(Relaxed) {
                self.open(
                    instance,
                    listen_again(self.addresses[instance], BACKLOG).await?,
                );
            }
        }
        self.poke.notify_one();
        Ok(())
    }

    pub fn started(&self) -> Option<Duration> {
        held(&self.model).endpoint.started_at()
    }

    /// Cut off from one sidecar: what is open stays open and silent, nothing new comes up.
    async fn cut(self: &Arc<Self>, instance: usize, on: bool) -> io::Result<()> {
        self.cuts[instance].store(on, Relaxed);
        let door = held(&self.doors)[instance].take();
        if let Some(door) = door {
            door.abort();
        }
        if on {
            let deaf = deaf(self.addresses[instance]).await?;
            let hold = tokio::spawn(async move {
                std::future::pending::<()>().await;
                drop(deaf);
            });
            held(&self.doors)[instance] = Some(hold.abort_handle());
        } else {
            if self.is_up() {
                self.open(
                    instance,
                    listen_again(self.addresses[instance], BACKLOG).await?,
                );
            }
            self.free.notify_waiters();
        }
        Ok(())
    }

    // ---- its connections ----

    fn open(self: &Arc<Self>, instance: usize, listener: TcpListener) {
        let stand = Arc::clone(self);
        let door = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stand.take_in(instance, stream);
            }
        });
        if let Some(old) = held(&self.doors)[instance].replace(door.abort_handle()) {
            old.abort();
        }
    }

    fn take_in(self: &Arc<Self>, instance: usize, stream: TcpStream) {
        let (stand, serial) = (Arc::clone(self), self.serial.fetch_add(1, Relaxed));
        let room = held(&self.model).endpoint.connect();
        if !room {
            return;
        }
        self.scene.connections.fetch_add(1, Relaxed);
        let task = tokio::spawn(async move {
            let mut talk = Talk::new(stream);
            // Whoever is aborted resets: its process is gone.
            talk.reset_on_close();
            stand.serve(instance, &mut talk).await;
            held(&stand.model).endpoint.disconnect();
            held(&stand.talks).remove(&serial);
        });
        held(&self.talks).insert(serial, task.abort_handle());
    }

    /// Waits while the endpoint stands still or is cut off from this sidecar.
    async fn reachable(&self, instance: usize) {
        loop {
            let freed = self.free.notified();
            let stalled = held(&self.model).endpoint.faults.stalled;
            if !stalled && !self.cuts[instance].load(Relaxed) {
                return;
            }
            let _ = timeout(Duration::from_millis(20), freed).await;
        }
    }

    async fn serve(&self, instance: usize, talk: &mut Talk) {
        let mut first = true;
        while let Ok(Some(message)) = talk.request().await {
            let probe = ["/load", "/healthz"].contains(&message.target.as_str());
            let sent = if probe { None } else { self.sent(&message) };
            // What is written across a cut is out for its sidecar, and does not arrive.
            if self.cuts[instance].load(Relaxed) {
                talk.closed().await;
                sent.iter().for_each(|(relay, ..)| {
                    self.scene.note(Entry::RelayEnded {
                        relay: *relay,
                        never_ran: false,
                    })
                });
                return;
            }
            self.reachable(instance).await;
            let goes_on = match sent {
                _ if probe => self.probed(talk).await,
                Some(sent) => {
                    self.command(instance, talk, sent, std::mem::take(&mut first))
                        .await
                }
                None => talk.write(&answer("400 Unknown", "", "")).await.is_ok(),
            };
            first = false;
            if !goes_on {
                return;
            }
        }
    }

    async fn probed(&self, talk: &mut Talk) -> bool {
        self.scene.note(Entry::ProbeSent { endpoint: self.n });
        self.turn();
        let load = held(&self.model).endpoint.load_report();
        let body = if self.scene.plan.report_mode() == ReportMode::Silent {
            "ok".into()
        } else {
            load_text(load)
        };
        talk.write(&answer("200 OK", "", &body)).await.is_ok()
    }

    /// A relay counts from when its last byte has come, also where the endpoint stands still and reads it later.
    fn sent(&self, message: &Message) -> Option<(RelayId, CommandId, ClientRequest)> {
        let (cmd, ask) = message
            .header("req-id")
            .and_then(|id| self.scene.find(id))?;
        let relay = self.scene.relay();
        self.scene.note(Entry::RelaySent {
            relay,
            command: cmd,
            endpoint: self.n,
        });
        Some((relay, cmd, ask))
    }

    /// One relay and its answer; whether the connection goes on.
    async fn command(
        &self,
        instance: usize,
        talk: &mut Talk,
        (relay, cmd, ask): (RelayId, CommandId, ClientRequest),
        new: bool,
    ) -> bool {
        self.turn();
        let (tell, told) = oneshot::channel();
        let (offer, load) = {
            let mut model = held(&self.model);
            let work = ask.work
                + if new {
                    model.endpoint.spec.connection_work
                } else {
                    0.0
                };
            let offer = model.endpoint.offer(Job {
                id: relay as JobId,
                class: ask.class,
                work,
            });
            if offer == Admission::Accepted {
                model.waiting.insert(relay as JobId, tell);
            }
            (offer, model.endpoint.load_report())
        };
        // Right away, so that what it began counts from here.
        self.turn();
        self.poke.notify_one();
        let ended = |proven| {
            self.scene.note(Entry::RelayEnded {
                relay,
                never_ran: proven,
            })
        };
        if offer != Admission::Accepted {
            ended(offer == Admission::Rejected);
            let headers = format!("Srv-Declined: 1\r\n{}", self.load_header(load));
            return offer == Admission::Rejected
                && talk.write(&answer("503 Full", &headers, "")).await.is_ok();
        }
        let told = tokio::select! {
            told = told => told,
            () = talk.closed() => {
                ended(false);
                self.touch(|e| {
                    e.cancel(relay as JobId);
                });
                held(&self.model).waiting.remove(&(relay as JobId));
                return false;
            }
        };
        let Ok((verdict, load)) = told else {
            return false;
        };
        if self.cuts[instance].load(Relaxed) {
            // The answer is lost on its way; the sidecar gives up by itself.
            talk.closed().await;
            ended(false);
            return false;
        }
        self.reachable(instance).await;
        ended(false);
        let headers = self.load_header(load);
        match verdict {
            JobResult::Completed => {
                let body = format!("{} by {}", super::scene::id(cmd), self.n);
                talk.write(&answer("200 OK", &headers, &body)).await.is_ok()
            }
            JobResult::Error => talk.write(&answer("500 Oh", &headers, "")).await.is_ok(),
            JobResult::Malformed => {
                let _ = talk.write(b"\x01\x02noise\r\n\r\n").await;
                false
            }
            JobResult::Reset => false,
        }
    }

    fn load_header(&self, load: EndpointLoad) -> String {
        match self.scene.plan.report_mode() {
            ReportMode::Piggyback => format!("Srv-Load: {}\r\n", load_text(load)),
            ReportMode::Pull | ReportMode::Silent => String::new(),
        }
    }
}

fn load_text(load: EndpointLoad) -> String {
    format!(
        "TEXT inflight={}, queue={}, util={:.2}",
        load.outstanding, load.queued, load.utilization
    )
}

fn listen(at: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(backlog)
}

/// The same where a listener that was just given up may still hold the address: its task needs a turn to end.
async fn listen_again(at: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let began = std::time::Instant::now();
    loop {
        match listen(at, backlog) {
            Err(fault)
                if fault.kind() == io::ErrorKind::AddrInUse && began.elapsed() < PATIENCE =>
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            other => {
                return other.map_err(|e| io::Error::new(e.kind(), format!("listen on {at}: {e}")));
            }
        }
    }
}

/// A listener to which no connection comes up: its backlog is full and nobody accepts.
async fn deaf(at: SocketAddr) -> io::Result<(TcpListener, Vec<TcpStream>)> {
    let listener = listen_again(at, 0).await?;
    let mut full = Vec::new();
    while let Ok(Ok(stream)) = timeout(Duration::from_millis(20), TcpStream::connect(at)).await {
        full.push(stream);
        if full.len() > 8 {
            break;
        }
    }
    Ok((listener, full))
}
