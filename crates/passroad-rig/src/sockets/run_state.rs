//! State shared by all tasks of a run on sockets: the plan, the clock, the ledger and the requests sent so far.

use crate::experiment::Plan;
use crate::ledger::{CommandId, Entry, Ledger, RelayId};
use crate::load::ClientRequest;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// The shared state of a run.
pub struct RunState {
    pub plan: Plan,
    started_at: Instant,
    unix_start: Duration, // the start of the run since the Unix epoch
    ledger: Mutex<Ledger>,
    requests: Mutex<Vec<ClientRequest>>,
    next_relay: AtomicUsize,
    /// Connections opened to endpoints so far.
    pub connections: AtomicUsize,
}

/// Locks a mutex even when it is poisoned, so that a panic in one task does not end the others.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RunState {
    /// The run starts after `start_delay`, by which time all processes are to be ready.
    pub fn new(plan: Plan, start_delay: Duration) -> Self {
        RunState {
            plan,
            started_at: Instant::now() + start_delay,
            unix_start: SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default()
                + start_delay,
            ledger: Mutex::default(),
            requests: Mutex::default(),
            next_relay: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
        }
    }

    /// The time since the start of the run; zero before it.
    pub fn now(&self) -> Duration {
        Instant::now().saturating_duration_since(self.started_at)
    }

    /// The instant at a time since the start of the run.
    pub fn instant(&self, time: Duration) -> tokio::time::Instant {
        (self.started_at + time).into()
    }

    /// Milliseconds since the Unix epoch at a time since the start of the run.
    pub fn unix_ms(&self, time: Duration) -> u64 {
        (self.unix_start + time).as_millis() as u64
    }

    /// Adds an entry to the ledger at the present time.
    pub fn record(&self, entry: Entry) {
        lock(&self.ledger).record(self.now(), entry);
    }

    /// Records a request as sent and numbers its command. Its time counts from when it was planned, not from when it
    /// was sent: a load generator that runs late must not make answers look quicker.
    pub fn record_request(
        &self,
        mut request: ClientRequest,
        planned: Duration,
    ) -> (CommandId, ClientRequest) {
        let command = {
            let mut requests = lock(&self.requests);
            request.chain = Some(request.chain.unwrap_or(requests.len()));
            requests.push(request.clone());
            requests.len() - 1
        };
        let time_limit = self.plan.classes[request.class].time_limit;
        let (chain, class, instance) = (
            request.chain.unwrap_or(command),
            request.class,
            request.instance,
        );
        lock(&self.ledger).record(
            planned,
            Entry::CommandArrived {
                command,
                chain,
                class,
                instance,
                time_limit,
            },
        );
        (command, request)
    }

    /// The request that belongs to the request id that an endpoint received.
    pub fn find_request(&self, id: &str) -> Option<(CommandId, ClientRequest)> {
        let command = usize::from_str_radix(id, 16).ok()?;
        lock(&self.requests)
            .get(command)
            .cloned()
            .map(|request| (command, request))
    }

    /// Commands sent, answered, refused and failed so far.
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        lock(&self.ledger).counts()
    }

    /// Number of commands sent to each instance.
    pub fn commands_per_instance(&self) -> Vec<usize> {
        let mut counts = vec![0; self.plan.instances];
        lock(&self.requests)
            .iter()
            .for_each(|request| counts[request.instance] += 1);
        counts
    }

    pub fn next_relay_id(&self) -> RelayId {
        self.next_relay.fetch_add(1, Relaxed)
    }

    pub fn take_ledger(&self) -> Ledger {
        std::mem::take(&mut lock(&self.ledger))
    }
}

/// The id of a command, as sent in its request header.
pub fn request_id(command: CommandId) -> String {
    format!("{command:016x}")
}

/// A loopback address of its own for each pair, so that a stand-in knows which sidecar calls it. The process id keeps
/// the addresses of rigs that run side by side apart.
pub fn loopback_address(row: usize, column: usize) -> IpAddr {
    let block = 64 + (std::process::id() % 128) as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        block,
        (row % 250) as u8 + 1,
        (column % 250) as u8 + 1,
    ))
}
