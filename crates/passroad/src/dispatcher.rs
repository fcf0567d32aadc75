//! Owns the decision module, its clock and the interners that turn external names into indices. Events come in here,
//! and each action goes from here to whatever carries it out: commands, connection pools, discovery, timers.

mod command_handle;
mod exclusion;
mod removed_ids;

pub use self::command_handle::CommandHandle;
use self::removed_ids::RemovedIds;
use crate::endpoint_list::{DiscoveryRequest, EndpointList, HandoverState, ListEntry};
use crate::exclusions::{ExclusionReason, Exclusions};
use crate::relay::{Dialer, EndpointPool};
use crate::{probe, relay};
use passroad_choice::interner::{Interner, stable_hash};
use passroad_choice::{
    Action, BalancerConfig, CommandArrival, CommandIndex, EndpointIndex, EndpointState, Event,
    LearnedState, ListUpdateKind, ListedEndpoint, ReportMode,
};
use passroad_routes::{RoutedBalancer, RoutesConfig};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio_util::sync::CancellationToken;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(10);
/// A heartbeat later than this means that the process was paused; what is read directly after that arrived meanwhile.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(30);

/// How often the log reports that connections run out, at most.
const EXHAUSTION_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What to do about one command, as the decision module decided.
pub enum CommandAction {
    Relay {
        pool: Box<EndpointPool>,
        timeout: Duration,
        send_by: Duration,
    },
    CancelRelay {
        relay: usize,
    },
    Refuse {
        retry_after: Option<Duration>,
    },
    Fail,
    /// The process is about to end.
    Expire,
}

pub struct Dispatcher {
    /// The runtime that serves clients; the management endpoint calls the dispatcher from another one.
    runtime: Handle,
    started: Instant,
    /// Unix time at the start. The module's clock continues from it, so that times in lists fit.
    unix_start: Duration,
    dialer: Dialer,
    discovery: UnboundedSender<DiscoveryRequest>,
    probe_timeout: Duration,
    heartbeat: Mutex<Heartbeat>,
    state: Mutex<State>,
}

/// The last heartbeat, and the last pause that was noticed by it.
struct Heartbeat {
    last: Instant,
    pause: Duration,
    pause_end: Instant,
}

struct State {
    balancer: RoutedBalancer,
    report_mode: ReportMode,
    commands: Interner<u64>,
    admitted: u64,
    handles: Vec<Option<(UnboundedSender<CommandAction>, CancellationToken)>>,
    endpoints: Interner<String>,
    revision: Option<u64>,
    entries: Vec<Option<ListEntry>>, // as last listed, by endpoint index
    removed: RemovedIds,
    exclusions: Exclusions,
    pools: Vec<Option<EndpointPool>>,
    exhaustion_logged_at: Option<Instant>,
    zones: Interner<String>,
    kinds: Interner<String>,
}

impl Dispatcher {
    pub fn new(
        mut config: BalancerConfig,
        mut shadow: Option<BalancerConfig>,
        routes: Option<RoutesConfig>,
        dialer: Dialer,
        probe_timeout: Duration,
        discovery: UnboundedSender<DiscoveryRequest>,
    ) -> Arc<Self> {
        let (mut zones, mut kinds) = (Interner::new(), Interner::new());
        config.intern_names(&mut zones, &mut kinds);
        shadow
            .iter_mut()
            .for_each(|shadow| shadow.intern_names(&mut zones, &mut kinds));
        Arc::new(Dispatcher {
            runtime: Handle::current(),
            started: Instant::now(),
            unix_start: SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default(),
            discovery,
            probe_timeout,
            dialer,
            heartbeat: Mutex::new(Heartbeat {
                last: Instant::now(),
                pause: Duration::ZERO,
                pause_end: Instant::now(),
            }),
            state: Mutex::new(State {
                report_mode: config.report_mode,
                balancer: RoutedBalancer::new(config, shadow, routes),
                commands: Interner::new(),
                admitted: 0,
                handles: Vec::new(),
                endpoints: Interner::new(),
                revision: None,
                entries: Vec::new(),
                removed: RemovedIds::default(),
                exclusions: Exclusions::default(),
                pools: Vec::new(),
                exhaustion_logged_at: None,
                zones,
                kinds,
            }),
        })
    }

    fn now(&self) -> Duration {
        self.unix_start + self.started.elapsed()
    }

    /// Notices pauses of the process, for as long as it runs.
    pub async fn run_heartbeat(self: Arc<Self>) {
        loop {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            let mut heartbeat = self
                .heartbeat
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let (now, gap) = (Instant::now(), heartbeat.last.elapsed());
            if gap > PAUSE_THRESHOLD {
                (heartbeat.pause, heartbeat.pause_end) = (gap, now);
                log::warn!(ms = gap.as_millis() as u64; "this process was paused for {gap:.1?}");
            }
            heartbeat.last = now;
        }
    }

    /// How long input that is read now may have waited. Prevents relays past their limit after the machine was paused:
    /// the time of a command that arrived meanwhile has run on.
    pub fn possible_delay(&self) -> Duration {
        let heartbeat = self
            .heartbeat
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let gap = Some(heartbeat.last.elapsed()).filter(|gap| *gap > PAUSE_THRESHOLD);
        gap.or((heartbeat.pause_end.elapsed() < PAUSE_THRESHOLD).then_some(heartbeat.pause))
            .unwrap_or_default()
    }

    /// Logs at each interval what the shadowed settings would have decided differently so far.
    pub async fn log_shadow_counts_periodically(self: Arc<Self>, interval: Duration) {
        loop {
            tokio::time::sleep(interval).await;
            if self.state().balancer.shadow_counts().is_none() {
                return log::info!("shadow evaluation has ended");
            }
            self.log_shadow_counts();
        }
    }

    pub fn log_shadow_counts(&self) {
        if let Some(counts) = self.state().balancer.shadow_counts() {
            log::info!(
                same = counts.same, elsewhere = counts.elsewhere, turned_away = counts.refused,
                waited = counts.queued, no_copy = counts.hedges, taken = counts.admitted, sooner = counts.earlier,
                no_probe = counts.probes;
                "shadow settings: {counts}"
            );
        }
    }

    /// Answers every open command as out of time, as the process is about to end.
    pub fn expire_open_commands(&self) {
        let state = self.state();
        let open: Vec<_> = (0..state.handles.len())
            .filter(|command| state.handles[*command].is_some())
            .collect();
        if !open.is_empty() {
            log::warn!(
                "stopping: {} commands are still open and answered as out of time",
                open.len()
            );
        }
        open.into_iter()
            .for_each(|command| state.send_final_action(command, CommandAction::Expire));
    }

    /// A panic elsewhere must not fail every later command, so a poisoned lock stays in use.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn handle_event(self: &Arc<Self>, event: Event) {
        self.decide(&mut self.state(), event);
    }

    /// Admits a command. Actions for it come until the module releases the command; then they end.
    pub fn admit(
        self: &Arc<Self>,
        arrival: impl FnOnce(CommandIndex) -> CommandArrival,
    ) -> CommandHandle {
        let ((sender, actions), ended) = (unbounded_channel(), CancellationToken::new());
        let mut state = self.state();
        state.admitted += 1;
        let serial = state.admitted;
        let command = state.commands.intern(&serial);
        let len = state.handles.len().max(command + 1);
        state.handles.resize_with(len, || None);
        state.handles[command] = Some((sender, ended.clone()));
        self.decide(&mut state, Event::CommandArrived(arrival(command)));
        CommandHandle {
            dispatcher: Arc::clone(self),
            command,
            actions,
            ended,
            open_relays: Vec::new(),
        }
    }

    pub fn apply_list(self: &Arc<Self>, kind: ListUpdateKind, list: &EndpointList) {
        let mut state = self.state();
        if list.complete {
            state.remove_unlisted(list);
        }
        state.revision = Some(list.revision);
        let mut entries = Vec::with_capacity(list.entries.len());
        let never_listed = |state: &State, m: &ListEntry| {
            m.state() == EndpointState::Removed && state.endpoints.get(&m.id).is_none()
        };
        for entry in &list.entries {
            if never_listed(&state, entry) {
                continue;
            }
            let endpoint = state.endpoints.intern(&entry.id);
            state
                .balancer
                .register_endpoint(endpoint, &entry.id, &entry.kind);
            let len = state.entries.len().max(endpoint + 1);
            state.entries.resize(len, None);
            let restarted = state.entries[endpoint]
                .as_ref()
                .is_some_and(|m| m.up_since_ms < entry.up_since_ms);
            state.entries[endpoint] =
                Some(entry.clone()).filter(|m| m.state() != EndpointState::Removed);
            let len = state.pools.len().max(endpoint + 1);
            state.pools.resize_with(len, || None);
            let pool = &mut state.pools[endpoint];
            if let Some(pool) = pool
                .as_mut()
                .filter(|_| restarted || entry.state() != EndpointState::Running)
            {
                pool.cancel_unsent();
            }
            let address = entry
                .address
                .filter(|_| entry.state() != EndpointState::Removed);
            if pool.as_ref().map(|l| l.address) != address {
                *pool = address.map(|address| match pool.take() {
                    Some(mut pool) => pool.replace(address),
                    None => EndpointPool::new(address, &self.dialer),
                });
                match address {
                    Some(address) => log::info!(
                        endpoint = endpoint, id = entry.id.as_str(), address:% = address;
                        "endpoint {endpoint} is {} at {address}", entry.id
                    ),
                    None => log::info!("endpoint {endpoint} ({}) has left the list", entry.id),
                }
            }
            entries.push(ListedEndpoint {
                endpoint,
                id_hash: stable_hash(&entry.id),
                zone: state.zones.intern(&entry.zone),
                cell: entry.cell,
                kind: state.kinds.intern(&entry.kind),
                weight: entry.size,
                started_at: Duration::from_millis(entry.up_since_ms),
                state: entry.state(),
            });
        }
        self.decide(&mut state, Event::ListUpdated { kind, entries });
    }

    /// The state for the new process.
    pub fn handover_state(
        &self,
        version: u32,
        listen: SocketAddr,
        descriptors: usize,
    ) -> HandoverState {
        let state = self.state();
        HandoverState {
            version,
            listen,
            revision: state.revision,
            entries: state.entries.iter().flatten().cloned().collect(),
            cordoned: state.exclusions.ids(ExclusionReason::Operator).clone(),
            under_maintenance: state.exclusions.ids(ExclusionReason::Maintenance).clone(),
            removed: state.removed_ids(),
            open_ids: Vec::new(),
            descriptors,
            learned_state: serde_json::to_value(
                state
                    .balancer
                    .learned_state(|endpoint| state.endpoints.name(endpoint).cloned()),
            )
            .unwrap_or_default(),
        }
    }

    /// Takes over the old process's state, before any command is admitted. `maintained` says whether this process takes
    /// part in the maintenance of machines.
    pub fn inherit(self: &Arc<Self>, inherited: HandoverState, maintained: bool) -> Option<u64> {
        let list = EndpointList {
            revision: inherited.revision.unwrap_or_default(),
            complete: true,
            entries: inherited.entries,
        };
        self.apply_list(ListUpdateKind::Cached, &list);
        inherited
            .removed
            .into_iter()
            .for_each(|id_hash| self.state().removed.note(id_hash));
        self.inherit_exclusions(
            inherited.version,
            inherited.cordoned,
            inherited.under_maintenance,
            maintained,
        );
        match serde_json::from_value::<LearnedState>(inherited.learned_state) {
            Ok(learned) => {
                let mut state = self.state();
                let slots = learned
                    .endpoint_ids()
                    .map(|id| state.endpoints.get(id))
                    .collect();
                self.decide(
                    &mut state,
                    Event::StateInherited {
                        state: Box::new(learned),
                        slots,
                    },
                );
            }
            Err(error) => {
                log::warn!("the learned state of the old process is not taken over: {error}")
            }
        }
        inherited.revision
    }

    /// The listed endpoints, each with its utilization, where that is known, and whether it is failing.
    pub fn machines(&self) -> Vec<(ListEntry, Option<f64>, bool)> {
        let state = self.state();
        let all = state.entries.iter().enumerate();
        let load = |endpoint: usize| state.balancer.endpoint_load(endpoint);
        all.filter_map(|(endpoint, entry)| {
            Some((entry.clone()?, load(endpoint).0, load(endpoint).1))
        })
        .collect()
    }

    /// Whether this process has an open relay or probe on an endpoint.
    pub fn uses(&self, id: &str) -> bool {
        let state = self.state();
        let endpoint = state.endpoints.get(id);
        let pool = endpoint
            .and_then(|endpoint| state.pools.get(endpoint))
            .and_then(Option::as_ref);
        pool.is_some_and(|pool| !pool.is_unused())
    }

    /// Applies a new configuration whole or not at all. Returns the module's index of each request class.
    pub fn reconfigure(
        self: &Arc<Self>,
        mut config: BalancerConfig,
        routes: Option<RoutesConfig>,
    ) -> Result<Vec<usize>, String> {
        let mut state = self.state();
        if !state.balancer.can_reconfigure(&config, routes.as_ref()) {
            return Err(
                "routes: other pools or zones, or routes where there were none, wait for the next start"
                    .into(),
            );
        }
        // Zones and kinds keep their indices.
        let State { zones, kinds, .. } = &mut *state;
        config.intern_names(zones, kinds);
        // The idle timeout of connections stays as it was at the start.
        config.idle_close = self.dialer.idle_timeout();
        state.report_mode = config.report_mode;
        let (actions, classes) = state.balancer.reconfigure(self.now(), config, routes);
        self.carry_out(&mut state, actions);
        Ok(classes)
    }

    fn decide(self: &Arc<Self>, state: &mut State, event: Event) {
        let actions = state.balancer.decide(self.now(), event);
        self.carry_out(state, actions);
    }

    fn carry_out(self: &Arc<Self>, state: &mut State, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Relay {
                    command,
                    endpoint,
                    timeout,
                    send_by,
                } => match state.pool(endpoint, &self.dialer) {
                    Some(pool) => state.send_action(
                        command,
                        CommandAction::Relay {
                            pool: Box::new(pool),
                            timeout,
                            send_by,
                        },
                    ),
                    None => log::error!("no relay to endpoint {endpoint}, which has no address"),
                },
                // The module cancels only relays of concluded commands.
                Action::CancelRelay { command, relay } => {
                    state.send_final_action(command, CommandAction::CancelRelay { relay })
                }
                Action::Refuse {
                    command,
                    retry_after,
                } => state.send_final_action(command, CommandAction::Refuse { retry_after }),
                Action::Fail { command } => state.send_final_action(command, CommandAction::Fail),
                Action::ReleaseCommand { command } => {
                    state.commands.release(command);
                    state.handles[command] = None;
                }
                Action::ReleaseEndpoint { endpoint } => state.release_endpoint(endpoint),
                Action::Probe { endpoint } => {
                    let pool = state.pool(endpoint, &self.dialer);
                    self.runtime.spawn(Arc::clone(self).probe(endpoint, pool));
                }
                Action::Disconnect { endpoint } => {
                    if let Some(pool) = state.pools.get_mut(endpoint).and_then(Option::as_mut) {
                        *pool = pool.replace(pool.address);
                    }
                }
                Action::Subscribe { active } => {
                    drop(self.discovery.send(DiscoveryRequest::Watch(active)))
                }
                Action::PollList => drop(self.discovery.send(DiscoveryRequest::FullList)),
                Action::ClassIndicesAssigned { .. } => {
                    log::error!(
                        "the decision module assigned class indices without a reconfiguration"
                    )
                }
                Action::SendToPeer { .. } => {
                    log::error!(
                        "the decision module has a message for peers, which is not supported"
                    )
                }
                Action::SetTimer { after, token } => {
                    let dispatcher = Arc::clone(self);
                    self.runtime.spawn(async move {
                        tokio::time::sleep(after).await;
                        dispatcher.handle_event(Event::TimerFired { token });
                    });
                }
                Action::Log(line) => log::info!("{line}"),
            }
        }
    }

    async fn probe(self: Arc<Self>, endpoint: EndpointIndex, pool: Option<EndpointPool>) {
        let (started, report_mode) = (Instant::now(), self.state().report_mode);
        let result = match pool {
            Some(pool) => probe::run(pool, report_mode, self.probe_timeout).await,
            None => relay::ExchangeResult::from(passroad_choice::Outcome::ConnectFailed),
        };
        let elapsed = started.elapsed();
        log::debug!(
            "probe of endpoint {endpoint}: {:?} in {elapsed:.1?}, {:?}",
            result.outcome,
            result.report
        );
        self.handle_event(Event::ProbeFinished {
            endpoint,
            outcome: result.outcome,
            elapsed,
            report: result.report,
        });
    }
}

impl State {
    fn pool(&mut self, endpoint: EndpointIndex, dialer: &Dialer) -> Option<EndpointPool> {
        // Prevents connections kept to some endpoints from leaving none for others: once the last one is taken,
        // connections to unused endpoints are closed.
        if dialer.is_exhausted() {
            let idle = self
                .pools
                .iter_mut()
                .flatten()
                .filter(|pool| pool.is_unused());
            let count = idle
                .map(|pool| *pool = EndpointPool::new(pool.address, dialer))
                .count();
            if count > 0
                && self
                    .exhaustion_logged_at
                    .is_none_or(|at| at.elapsed() > EXHAUSTION_LOG_INTERVAL)
            {
                self.exhaustion_logged_at = Some(Instant::now());
                log::warn!(
                    "all connections to endpoints are in use; those to {count} unused endpoints are closed"
                );
            }
        }
        self.pools.get(endpoint).cloned().flatten()
    }

    /// Hashes of the ids that have left the list, those whose index is not free yet last.
    fn removed_ids(&self) -> Vec<u64> {
        let is_listed = |endpoint: usize| self.entries.get(endpoint).is_some_and(Option::is_some);
        let left = self
            .endpoints
            .iter()
            .filter(|(endpoint, _)| !is_listed(*endpoint))
            .map(|(_, id)| stable_hash(id));
        self.removed.iter().chain(left).collect()
    }

    /// Frees the index of an endpoint. One that was cordoned after it had left the list has neither entry nor pool.
    fn release_endpoint(&mut self, endpoint: EndpointIndex) {
        if let Some(id) = self.endpoints.name(endpoint).cloned() {
            self.removed.note(stable_hash(&id));
        }
        self.endpoints.release(endpoint);
        self.entries.get_mut(endpoint).map(Option::take);
        self.pools.get_mut(endpoint).map(Option::take);
    }

    /// Removes the endpoints that a full list no longer has.
    fn remove_unlisted(&mut self, list: &EndpointList) {
        let stay: Vec<_> = list
            .entries
            .iter()
            .filter_map(|entry| self.endpoints.get(&entry.id))
            .collect();
        for (endpoint, pool) in self
            .pools
            .iter_mut()
            .enumerate()
            .filter(|(endpoint, _)| !stay.contains(endpoint))
        {
            self.entries.get_mut(endpoint).map(Option::take);
            if let Some(mut pool) = pool.take() {
                pool.cancel_unsent();
                let id = self.endpoints.name(endpoint).map_or("?", String::as_str);
                log::info!("endpoint {endpoint} ({id}) has left the list");
            }
        }
    }

    fn send_action(&self, command: CommandIndex, action: CommandAction) {
        if let Some((sender, _)) = self.handles.get(command).and_then(Option::as_ref) {
            let _ = sender.send(action);
        }
    }

    /// Sends the action that concludes the command: none of its relays may begin any more.
    fn send_final_action(&self, command: CommandIndex, action: CommandAction) {
        if let Some((_, ended)) = self.handles.get(command).and_then(Option::as_ref) {
            ended.cancel();
        }
        self.send_action(command, action);
    }
}
