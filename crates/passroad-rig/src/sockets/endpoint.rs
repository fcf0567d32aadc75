//! The endpoint model behind real sockets. It listens at a separate address for each sidecar, so that a network cut can
//! affect some of them only.

use super::http::{HttpConnection, Message, response};
use super::run_state::{RunState, lock, loopback_address, request_id};
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
/// How long to wait until an address is free again.
const ADDRESS_REUSE_TIMEOUT: Duration = Duration::from_secs(2);

/// One endpoint: its model, its listeners and its connections.
pub struct EndpointServer {
    run_state: Arc<RunState>,
    index: usize,
    addresses: Vec<SocketAddr>, // by instance
    model: Mutex<ModelState>,
    model_changed: Notify, // the time of the model's next event may have changed
    unblocked: Notify,     // a stall or a cut may be over
    cut_off: Vec<AtomicBool>, // by instance
    connection_tasks: Mutex<HashMap<u64, AbortHandle>>,
    listener_tasks: Mutex<Vec<Option<AbortHandle>>>, // by instance
    next_connection: AtomicU64,
    crashed: AtomicBool, // by the model itself; the server has yet to follow
}

struct ModelState {
    endpoint: Endpoint,
    /// Where the results of running jobs are sent.
    waiting: HashMap<JobId, oneshot::Sender<(JobResult, EndpointLoad)>>,
}

impl EndpointServer {
    pub async fn start(
        run_state: &Arc<RunState>,
        index: usize,
        seed: u64,
    ) -> io::Result<Arc<EndpointServer>> {
        let plan = &run_state.plan;
        let (mut addresses, mut listeners) = (Vec::new(), Vec::new());
        for instance in 0..plan.instances {
            let listener = bind_listener(
                SocketAddr::new(loopback_address(index, instance), 0),
                BACKLOG,
            )?;
            addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let endpoint = Endpoint::new(
            plan.endpoints[index].spec.clone(),
            SeededRng::stream(seed, "endpoint", index as u64),
        );
        let server = Arc::new(EndpointServer {
            run_state: Arc::clone(run_state),
            index,
            addresses,
            model: Mutex::new(ModelState {
                endpoint,
                waiting: HashMap::new(),
            }),
            model_changed: Notify::new(),
            unblocked: Notify::new(),
            cut_off: (0..plan.instances)
                .map(|_| AtomicBool::new(false))
                .collect(),
            connection_tasks: Mutex::default(),
            listener_tasks: Mutex::new((0..plan.instances).map(|_| None).collect()),
            next_connection: AtomicU64::new(0),
            crashed: AtomicBool::new(false),
        });
        for (instance, listener) in listeners.into_iter().enumerate() {
            server.listen(instance, listener);
        }
        tokio::spawn(Arc::clone(&server).run_model());
        Ok(server)
    }

    pub fn address(&self, instance: usize) -> SocketAddr {
        self.addresses[instance]
    }

    pub fn is_up(&self) -> bool {
        lock(&self.model).endpoint.is_up()
    }

    /// Commands held and connections open.
    pub fn sample(&self) -> (usize, usize) {
        let model = lock(&self.model);
        (model.endpoint.outstanding(), model.endpoint.connections())
    }

    /// Advances the model to the present and handles its events; returns the time of its next one.
    fn advance_model(&self) -> Option<Duration> {
        let mut model = lock(&self.model);
        model.endpoint.advance(self.run_state.now());
        for event in model.endpoint.take_events() {
            match event {
                EndpointEvent::Started(job) => self.run_state.record(Entry::JobStarted {
                    relay: job as usize,
                }),
                EndpointEvent::Finished(job, result) => {
                    let load = model.endpoint.load_report();
                    if let Some(sender) = model.waiting.remove(&job) {
                        let _ = sender.send((result, load));
                    }
                }
                EndpointEvent::Crashed => self.crashed.store(true, Relaxed),
            }
        }
        model.endpoint.next_event_at()
    }

    /// Advances the model at each of its events, and restarts the endpoint after the model has crashed.
    async fn run_model(self: Arc<Self>) {
        loop {
            let wake = self.advance_model();
            if self.crashed.swap(false, Relaxed) {
                self.crash();
                let server = Arc::clone(&self);
                tokio::spawn(async move {
                    sleep_until(
                        server
                            .run_state
                            .instant(server.run_state.now() + server.run_state.plan.restart_after),
                    )
                    .await;
                    if let Err(error) = server.restart().await {
                        log::error!("endpoint {} could not restart: {error}", server.index);
                    }
                });
            }
            let changed = self.model_changed.notified();
            match wake {
                Some(time) => tokio::select! {
                    () = changed => {}
                    () = sleep_until(self.run_state.instant(time)) => {}
                },
                None => changed.await,
            }
        }
    }

    fn change_model(&self, change: impl FnOnce(&mut Endpoint)) {
        self.advance_model();
        change(&mut lock(&self.model).endpoint);
        self.model_changed.notify_one();
    }

    // ---- scheduled changes ----

    /// Applies the part of a change that concerns this endpoint; the discovery stand-in applies what concerns the list.
    pub async fn apply(self: &Arc<Self>, change: &ScheduledChange) -> io::Result<()> {
        match change {
            ScheduledChange::EndpointFault(_, fault) => {
                self.change_model(|endpoint| endpoint.apply_fault(fault));
                self.unblocked.notify_waiters();
            }
            ScheduledChange::NetworkCut { instances, on, .. } => {
                for (instance, _) in instances
                    .iter()
                    .enumerate()
                    .filter(|(_, affected)| **affected)
                {
                    self.set_cut(instance, *on).await?;
                }
            }
            ScheduledChange::Crash(_) | ScheduledChange::Leave(_) => self.crash(),
            ScheduledChange::Start(_) => self.restart().await?,
            ScheduledChange::Drain(_) => self.change_model(Endpoint::drain),
            _ => {}
        }
        Ok(())
    }

    /// Ends as a crashed process does: connections are reset, new ones refused.
    fn crash(&self) {
        lock(&self.listener_tasks)
            .iter_mut()
            .filter_map(Option::take)
            .for_each(|task| task.abort());
        lock(&self.connection_tasks)
            .drain()
            .for_each(|(_, task)| task.abort());
        let mut model = lock(&self.model);
        model.endpoint.advance(self.run_state.now());
        for job in model.endpoint.crash() {
            self.run_state.record(Entry::RelayEnded {
                relay: job as usize,
                never_ran: false,
            });
        }
        model.waiting.clear();
        drop(model);
        self.model_changed.notify_one();
    }

    async fn restart(self: &Arc<Self>) -> io::Result<()> {
        if self.is_up() {
            return Ok(());
        }
        let now = self.run_state.now();
        lock(&self.model).endpoint.start(now);
        if !self.run_state.plan.endpoints[self.index]
            .spec
            .warm_up_time
            .is_zero()
        {
            self.run_state.record(Entry::EndpointStarted {
                endpoint: self.index,
            });
        }
        for instance in 0..self.addresses.len() {
            if !self.cut_off[instance].load(Relaxed) {
                self.listen(
                    instance,
                    bind_listener_with_retry(self.addresses[instance], BACKLOG).await?,
                );
            }
        }
        self.model_changed.notify_one();
        Ok(())
    }

    pub fn started_at(&self) -> Option<Duration> {
        lock(&self.model).endpoint.started_at()
    }

    /// Begins or ends a network cut from one sidecar: open connections stay open without traffic, and no new one can be
    /// established.
    async fn set_cut(self: &Arc<Self>, instance: usize, on: bool) -> io::Result<()> {
        self.cut_off[instance].store(on, Relaxed);
        let task = lock(&self.listener_tasks)[instance].take();
        if let Some(task) = task {
            task.abort();
        }
        if on {
            let unresponsive = listen_without_accepting(self.addresses[instance]).await?;
            let hold = tokio::spawn(async move {
                std::future::pending::<()>().await;
                drop(unresponsive);
            });
            lock(&self.listener_tasks)[instance] = Some(hold.abort_handle());
        } else {
            if self.is_up() {
                self.listen(
                    instance,
                    bind_listener_with_retry(self.addresses[instance], BACKLOG).await?,
                );
            }
            self.unblocked.notify_waiters();
        }
        Ok(())
    }

    // ---- connections ----

    fn listen(self: &Arc<Self>, instance: usize, listener: TcpListener) {
        let server = Arc::clone(self);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                server.accept(instance, stream);
            }
        });
        if let Some(previous) = lock(&self.listener_tasks)[instance].replace(task.abort_handle()) {
            previous.abort();
        }
    }

    fn accept(self: &Arc<Self>, instance: usize, stream: TcpStream) {
        let (server, id) = (Arc::clone(self), self.next_connection.fetch_add(1, Relaxed));
        let accepted = lock(&self.model).endpoint.connect();
        if !accepted {
            return;
        }
        self.run_state.connections.fetch_add(1, Relaxed);
        let task = tokio::spawn(async move {
            let mut connection = HttpConnection::new(stream);
            // An aborted task resets its connection, as the end of a process does.
            connection.reset_on_close();
            server.serve(instance, &mut connection).await;
            lock(&server.model).endpoint.disconnect();
            lock(&server.connection_tasks).remove(&id);
        });
        lock(&self.connection_tasks).insert(id, task.abort_handle());
    }

    /// Waits while the endpoint is stalled or cut off from this sidecar.
    async fn wait_until_reachable(&self, instance: usize) {
        loop {
            let unblocked = self.unblocked.notified();
            let stalled = lock(&self.model).endpoint.faults.stalled;
            if !stalled && !self.cut_off[instance].load(Relaxed) {
                return;
            }
            let _ = timeout(Duration::from_millis(20), unblocked).await;
        }
    }

    async fn serve(&self, instance: usize, connection: &mut HttpConnection) {
        let mut first = true;
        while let Ok(Some(message)) = connection.read_request().await {
            let probe = ["/load", "/healthz"].contains(&message.target.as_str());
            let relay = if probe {
                None
            } else {
                self.record_relay(&message)
            };
            // A relay sent across a cut counts as sent by its sidecar, and never arrives.
            if self.cut_off[instance].load(Relaxed) {
                connection.wait_closed().await;
                relay.iter().for_each(|(relay, ..)| {
                    self.run_state.record(Entry::RelayEnded {
                        relay: *relay,
                        never_ran: false,
                    })
                });
                return;
            }
            self.wait_until_reachable(instance).await;
            let keep_open = match relay {
                _ if probe => self.answer_probe(connection).await,
                Some(relay) => {
                    self.answer_relay(instance, connection, relay, std::mem::take(&mut first))
                        .await
                }
                None => connection
                    .write(&response("400 Unknown", "", ""))
                    .await
                    .is_ok(),
            };
            first = false;
            if !keep_open {
                return;
            }
        }
    }

    async fn answer_probe(&self, connection: &mut HttpConnection) -> bool {
        self.run_state.record(Entry::ProbeSent {
            endpoint: self.index,
        });
        self.advance_model();
        let load = lock(&self.model).endpoint.load_report();
        let body = if self.run_state.plan.report_mode() == ReportMode::Silent {
            "ok".into()
        } else {
            load_text(load)
        };
        connection
            .write(&response("200 OK", "", &body))
            .await
            .is_ok()
    }

    /// Records a relay as sent once its last byte has arrived, even where the endpoint is stalled and handles it later.
    fn record_relay(&self, message: &Message) -> Option<(RelayId, CommandId, ClientRequest)> {
        let (command, request) = message
            .header("req-id")
            .and_then(|id| self.run_state.find_request(id))?;
        let relay = self.run_state.next_relay_id();
        self.run_state.record(Entry::RelaySent {
            relay,
            command,
            endpoint: self.index,
        });
        Some((relay, command, request))
    }

    /// Handles one relay and sends its answer; returns whether the connection stays open.
    async fn answer_relay(
        &self,
        instance: usize,
        connection: &mut HttpConnection,
        (relay, command, request): (RelayId, CommandId, ClientRequest),
        new_connection: bool,
    ) -> bool {
        self.advance_model();
        let (sender, receiver) = oneshot::channel();
        let (admission, load) = {
            let mut model = lock(&self.model);
            let work = request.work
                + if new_connection {
                    model.endpoint.spec.connection_work
                } else {
                    0.0
                };
            let admission = model.endpoint.offer(Job {
                id: relay as JobId,
                class: request.class,
                work,
            });
            if admission == Admission::Accepted {
                model.waiting.insert(relay as JobId, sender);
            }
            (admission, model.endpoint.load_report())
        };
        // At once, so that a job that was started counts as started now.
        self.advance_model();
        self.model_changed.notify_one();
        let record_end = |never_ran| {
            self.run_state
                .record(Entry::RelayEnded { relay, never_ran })
        };
        if admission != Admission::Accepted {
            record_end(admission == Admission::Rejected);
            let headers = format!("Srv-Declined: 1\r\n{}", self.load_header(load));
            return admission == Admission::Rejected
                && connection
                    .write(&response("503 Full", &headers, ""))
                    .await
                    .is_ok();
        }
        let outcome = tokio::select! {
            outcome = receiver => outcome,
            () = connection.wait_closed() => {
                record_end(false);
                self.change_model(|endpoint| {
                    endpoint.cancel(relay as JobId);
                });
                lock(&self.model).waiting.remove(&(relay as JobId));
                return false;
            }
        };
        let Ok((result, load)) = outcome else {
            return false;
        };
        if self.cut_off[instance].load(Relaxed) {
            // The answer is lost on its way; the sidecar runs into its own timeout.
            connection.wait_closed().await;
            record_end(false);
            return false;
        }
        self.wait_until_reachable(instance).await;
        record_end(false);
        let headers = self.load_header(load);
        match result {
            JobResult::Completed => {
                let body = format!("{} by {}", request_id(command), self.index);
                connection
                    .write(&response("200 OK", &headers, &body))
                    .await
                    .is_ok()
            }
            JobResult::Error => connection
                .write(&response("500 Oh", &headers, ""))
                .await
                .is_ok(),
            JobResult::Malformed => {
                let _ = connection.write(b"\x01\x02noise\r\n\r\n").await;
                false
            }
            JobResult::Reset => false,
        }
    }

    /// The header of a load report, if endpoints attach reports to their answers.
    fn load_header(&self, load: EndpointLoad) -> String {
        match self.run_state.plan.report_mode() {
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

fn bind_listener(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Binds a listener to an address that a listener just closed may still hold: its task has to be polled once more to
/// end.
async fn bind_listener_with_retry(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let started = std::time::Instant::now();
    loop {
        match bind_listener(address, backlog) {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse
                    && started.elapsed() < ADDRESS_REUSE_TIMEOUT =>
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            other => {
                return other
                    .map_err(|e| io::Error::new(e.kind(), format!("listen on {address}: {e}")));
            }
        }
    }
}

/// A listener to which no connection can be established: its backlog is full and nothing accepts.
async fn listen_without_accepting(
    address: SocketAddr,
) -> io::Result<(TcpListener, Vec<TcpStream>)> {
    let listener = bind_listener_with_retry(address, 0).await?;
    let mut backlog = Vec::new();
    while let Ok(Ok(stream)) = timeout(Duration::from_millis(20), TcpStream::connect(address)).await
    {
        backlog.push(stream);
        if backlog.len() > 8 {
            break;
        }
    }
    Ok((listener, backlog))
}
