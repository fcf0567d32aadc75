//! Owns the decision module, its clock and the doors where outside names become indices. Each event goes in
//! here, and each action goes from here to its owner: commands, links, discovery, timers.

use crate::members::{Call, Known, List, Member};
use crate::relay::{Dialer, EndpointPool};
use crate::{probe, relay};
use passroad_choice::interner::{Interner, stable_hash};
use passroad_choice::{
    Action, BalancerConfig, CommandArrival, CommandIndex, EndpointIndex, EndpointState, Event,
    LearnedState, ListUpdateKind, ListedEndpoint, ReportMode,
};
use passroad_routes::{RoutedBalancer, RoutesConfig};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_util::sync::CancellationToken;

/// Endpoints that have left and are still known to have been listed, by eight bytes each.
const MOST_LEFT: usize = 16 << 10;

const BEAT: Duration = Duration::from_millis(10);
/// A beat later than this means that the process stood still; what is read so soon after came meanwhile.
const STALL: Duration = Duration::from_millis(30);

/// How often the log says that connections run out.
const USED_UP_AGAIN: Duration = Duration::from_secs(10);

/// What the module decides about one command.
pub enum Order {
    Relay {
        link: Box<EndpointPool>,
        within: Duration,
        begin: Duration,
    },
    Recall {
        relay: usize,
    },
    Decline {
        not_before: Option<Duration>,
    },
    Terminate,
    /// The process is about to end.
    OutOfTime,
}

pub struct Desk {
    /// The loop that serves clients; the operators' door speaks to the desk from another.
    serving: Handle,
    began: Instant,
    /// The module's clock is Unix time as read once at the start, so that lists' times fit it.
    epoch: Duration,
    dialer: Dialer,
    calls: UnboundedSender<Call>,
    probe_within: Duration,
    pulse: Mutex<Pulse>,
    held: Mutex<Held>,
}

/// Beats while the process runs.
struct Pulse {
    last: Instant,
    stood: Duration, // the last stall and its end
    since: Instant,
}

struct Held {
    balancer: RoutedBalancer,
    reports: ReportMode,
    commands: Interner<u64>,
    admitted: u64,
    seats: Vec<Option<(UnboundedSender<Order>, CancellationToken)>>,
    endpoints: Interner<String>,
    revision: Option<u64>,
    members: Vec<Option<Member>>, // as listed last, by slot
    left: Left,
    banned: BTreeSet<String>,
    links: Vec<Option<EndpointPool>>,
    told_used_up: Option<Instant>,
    zones: Interner<String>,
    kinds: Interner<String>,
}

impl Desk {
    pub fn new(
        mut orders: BalancerConfig,
        mut watch: Option<BalancerConfig>,
        routes: Option<RoutesConfig>,
        dialer: Dialer,
        probe_within: Duration,
        calls: UnboundedSender<Call>,
    ) -> Arc<Self> {
        let (mut zones, mut kinds) = (Interner::new(), Interner::new());
        orders.intern_names(&mut zones, &mut kinds);
        watch
            .iter_mut()
            .for_each(|watch| watch.intern_names(&mut zones, &mut kinds));
        Arc::new(Desk {
            serving: Handle::current(),
            began: Instant::now(),
            epoch: SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default(),
            calls,
            probe_within,
            dialer,
            pulse: Mutex::new(Pulse {
                last: Instant::now(),
                stood: Duration::ZERO,
                since: Instant::now(),
            }),
            held: Mutex::new(Held {
                reports: orders.report_mode,
                balancer: RoutedBalancer::new(orders, watch, routes),
                commands: Interner::new(),
                admitted: 0,
                seats: Vec::new(),
                endpoints: Interner::new(),
                revision: None,
                members: Vec::new(),
                left: Left::default(),
                banned: BTreeSet::new(),
                links: Vec::new(),
                told_used_up: None,
                zones,
                kinds,
            }),
        })
    }

    fn now(&self) -> Duration {
        self.epoch + self.began.elapsed()
    }

    /// Beats for as long as the sidecar runs.
    pub async fn beat(self: Arc<Self>) {
        loop {
            tokio::time::sleep(BEAT).await;
            let mut pulse = self.pulse.lock().unwrap_or_else(PoisonError::into_inner);
            let (now, gap) = (Instant::now(), pulse.last.elapsed());
            if gap > STALL {
                (pulse.stood, pulse.since) = (gap, now);
                log::warn!(ms = gap.as_millis() as u64; "stood still for {gap:.1?}");
            }
            pulse.last = now;
        }
    }

    /// How long what is read now may have waited. Guards against relays that go out past their limit after a
    /// machine stood still: the time of a command that came meanwhile has run on.
    pub fn may_have_waited(&self) -> Duration {
        let pulse = self.pulse.lock().unwrap_or_else(PoisonError::into_inner);
        let gap = Some(pulse.last.elapsed()).filter(|gap| *gap > STALL);
        gap.or((pulse.since.elapsed() < STALL).then_some(pulse.stood))
            .unwrap_or_default()
    }

    /// Says each time what the watched settings would have decided otherwise so far, while the sidecar runs.
    pub async fn tell_watch(self: Arc<Self>, every: Duration) {
        loop {
            tokio::time::sleep(every).await;
            if self.held().balancer.shadow_counts().is_none() {
                return log::info!("the watch has ended");
            }
            self.say_watch();
        }
    }

    pub fn say_watch(&self) {
        if let Some(counts) = self.held().balancer.shadow_counts() {
            log::info!(
                same = counts.same, elsewhere = counts.elsewhere, turned_away = counts.refused,
                waited = counts.queued, no_copy = counts.hedges, taken = counts.admitted, sooner = counts.earlier,
                no_probe = counts.probes;
                "watched settings: {counts}"
            );
        }
    }

    /// Has every open command answered, as the process is about to end.
    pub fn out_of_time(&self) {
        let held = self.held();
        let open: Vec<_> = (0..held.seats.len())
            .filter(|cmd| held.seats[*cmd].is_some())
            .collect();
        if !open.is_empty() {
            log::warn!(
                "stopping: {} commands are still open and answered as out of time",
                open.len()
            );
        }
        open.into_iter()
            .for_each(|cmd| held.last_order(cmd, Order::OutOfTime));
    }

    /// A panic elsewhere must not end every later command: what is held stays in use.
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn tell(self: &Arc<Self>, event: Event) {
        self.decide(&mut self.held(), event);
    }

    /// Takes a command in. Orders about it come until the module has forgotten it; then they end.
    pub fn admit(self: &Arc<Self>, arrival: impl FnOnce(CommandIndex) -> CommandArrival) -> Seat {
        let ((tell, orders), over) = (unbounded_channel(), CancellationToken::new());
        let mut held = self.held();
        held.admitted += 1;
        let serial = held.admitted;
        let cmd = held.commands.intern(&serial);
        let len = held.seats.len().max(cmd + 1);
        held.seats.resize_with(len, || None);
        held.seats[cmd] = Some((tell, over.clone()));
        self.decide(&mut held, Event::CommandArrived(arrival(cmd)));
        Seat {
            desk: Arc::clone(self),
            cmd,
            orders,
            over,
            out: Vec::new(),
        }
    }

    pub fn listed(self: &Arc<Self>, kind: ListUpdateKind, list: &List) {
        let mut held = self.held();
        if list.complete {
            held.leave_out(list);
        }
        held.revision = Some(list.revision);
        let mut entries = Vec::with_capacity(list.members.len());
        let strange = |held: &Held, m: &Member| {
            m.mode() == EndpointState::Removed && held.endpoints.get(&m.id).is_none()
        };
        for member in &list.members {
            if strange(&held, member) {
                continue;
            }
            let endpoint = held.endpoints.intern(&member.id);
            held.balancer
                .register_endpoint(endpoint, &member.id, &member.flavor);
            let len = held.members.len().max(endpoint + 1);
            held.members.resize(len, None);
            let anew = held.members[endpoint]
                .as_ref()
                .is_some_and(|m| m.up_since_ms < member.up_since_ms);
            held.members[endpoint] =
                Some(member.clone()).filter(|m| m.mode() != EndpointState::Removed);
            let len = held.links.len().max(endpoint + 1);
            held.links.resize_with(len, || None);
            let link = &mut held.links[endpoint];
            if let Some(link) = link
                .as_mut()
                .filter(|_| anew || member.mode() != EndpointState::Running)
            {
                link.cancel_unsent();
            }
            let address = member
                .host_port
                .filter(|_| member.mode() != EndpointState::Removed);
            if link.as_ref().map(|l| l.address) != address {
                *link = address.map(|address| match link.take() {
                    Some(mut link) => link.replace(address),
                    None => EndpointPool::new(address, &self.dialer),
                });
                match address {
                    Some(address) => log::info!(
                        endpoint = endpoint, id = member.id.as_str(), address:% = address;
                        "endpoint {endpoint} is {} at {address}", member.id
                    ),
                    None => log::info!("endpoint {endpoint} ({}) has left the list", member.id),
                }
            }
            entries.push(ListedEndpoint {
                endpoint,
                id_hash: stable_hash(&member.id),
                zone: held.zones.intern(&member.locality),
                cell: member.cell,
                kind: held.kinds.intern(&member.flavor),
                weight: member.size,
                started_at: Duration::from_millis(member.up_since_ms),
                state: member.mode(),
            });
        }
        self.decide(&mut held, Event::ListUpdated { kind, entries });
    }

    /// What the next process is to know.
    pub fn known(&self, version: u32, listen: SocketAddr, descriptors: usize) -> Known {
        let held = self.held();
        Known {
            version,
            listen,
            revision: held.revision,
            members: held.members.iter().flatten().cloned().collect(),
            bans: held.banned.iter().cloned().collect(),
            left: held.left.order.iter().copied().collect(),
            open: Vec::new(),
            descriptors,
            learnt: serde_json::to_value(
                held.balancer
                    .learned_state(|at| held.endpoints.name(at).cloned()),
            )
            .unwrap_or_default(),
        }
    }

    /// Takes over what the process before knew, ahead of all commands.
    pub fn inherit(self: &Arc<Self>, known: Known) -> Option<u64> {
        let list = List {
            revision: known.revision.unwrap_or_default(),
            complete: true,
            members: known.members,
        };
        self.listed(ListUpdateKind::Cached, &list);
        known
            .left
            .into_iter()
            .for_each(|mark| self.held().left.note(mark));
        for id in &known.bans {
            self.turn(id, true);
        }
        match serde_json::from_value::<LearnedState>(known.learnt) {
            Ok(memory) => {
                let mut held = self.held();
                let slots = memory
                    .endpoint_ids()
                    .map(|id| held.endpoints.get(id))
                    .collect();
                self.decide(
                    &mut held,
                    Event::StateInherited {
                        state: Box::new(memory),
                        slots,
                    },
                );
            }
            Err(fault) => {
                log::warn!("what the process before has learnt is not taken over: {fault}")
            }
        }
        known.revision
    }

    /// Takes an endpoint out of use, or calls it back; in effect on return. False for an id that was never listed.
    pub fn cordon(self: &Arc<Self>, id: &str, out: bool) -> bool {
        let held = self.held();
        let known = held.endpoints.get(id).is_some() || held.left.has(id);
        drop(held);
        if known {
            self.turn(id, out);
        }
        known
    }

    /// What is listed, with the share of what it may hold that it holds, where that is known, and whether it fails.
    pub fn machines(&self) -> Vec<(Member, Option<f64>, bool)> {
        let held = self.held();
        let all = held.members.iter().enumerate();
        let seems = |at: usize| held.balancer.endpoint_load(at);
        all.filter_map(|(at, member)| Some((member.clone()?, seems(at).0, seems(at).1)))
            .collect()
    }

    /// Whether something of this sidecar's is out on an endpoint now.
    pub fn uses(&self, id: &str) -> bool {
        let held = self.held();
        let at = held.endpoints.get(id);
        let link = at
            .and_then(|at| held.links.get(at))
            .and_then(Option::as_ref);
        link.is_some_and(|link| !link.is_unused())
    }

    /// The same for an id that another process knows.
    pub fn turn(self: &Arc<Self>, id: &str, out: bool) {
        let mut held = self.held();
        let turned = if out {
            held.banned.insert(id.to_string())
        } else {
            held.banned.remove(id)
        };
        if turned {
            let endpoint = held.endpoints.intern(&id.to_string());
            log::info!(endpoint = endpoint, id = id; "endpoint {endpoint} ({id}) is {} by hand", if out { "out" } else { "back" });
            self.decide(
                &mut held,
                Event::CordonChanged {
                    endpoint,
                    cordoned: out,
                },
            );
        }
    }

    /// Takes other orders whole, or not at all: the verb of each, as commands are to name it from here on.
    pub fn retune(
        self: &Arc<Self>,
        mut orders: BalancerConfig,
        routes: Option<RoutesConfig>,
    ) -> Result<Vec<usize>, String> {
        let mut held = self.held();
        if !held.balancer.can_reconfigure(&orders, routes.as_ref()) {
            return Err(
                "routes: other pools or zones, or routes where there were none, wait for the next start"
                    .into(),
            );
        }
        // Zones and kinds keep the numbers that they have.
        let Held { zones, kinds, .. } = &mut *held;
        orders.intern_names(zones, kinds);
        // Connections are kept as at the start.
        orders.idle_close = self.dialer.idle_timeout();
        held.reports = orders.report_mode;
        let (actions, verbs) = held.balancer.reconfigure(self.now(), orders, routes);
        self.carry_out(&mut held, actions);
        Ok(verbs)
    }

    fn decide(self: &Arc<Self>, held: &mut Held, event: Event) {
        let actions = held.balancer.decide(self.now(), event);
        self.carry_out(held, actions);
    }

    fn carry_out(self: &Arc<Self>, held: &mut Held, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Relay {
                    command: cmd,
                    endpoint,
                    timeout: within,
                    send_by: begin,
                } => match held.link(endpoint, &self.dialer) {
                    Some(link) => held.order(
                        cmd,
                        Order::Relay {
                            link: Box::new(link),
                            within,
                            begin,
                        },
                    ),
                    None => log::error!("a relay to endpoint {endpoint}, which has no address"),
                },
                // The module recalls only what is concluded.
                Action::CancelRelay {
                    command: cmd,
                    relay,
                } => held.last_order(cmd, Order::Recall { relay }),
                Action::Refuse {
                    command: cmd,
                    retry_after: not_before,
                } => held.last_order(cmd, Order::Decline { not_before }),
                Action::Fail { command: cmd } => held.last_order(cmd, Order::Terminate),
                Action::ReleaseCommand { command: cmd } => {
                    held.commands.release(cmd);
                    held.seats[cmd] = None;
                }
                Action::ReleaseEndpoint { endpoint } => {
                    if let Some(id) = held.endpoints.name(endpoint).cloned() {
                        held.left.note(stable_hash(&id));
                    }
                    held.endpoints.release(endpoint);
                    held.members.get_mut(endpoint).map(Option::take);
                    held.links[endpoint] = None;
                }
                Action::Probe { endpoint } => {
                    let link = held.link(endpoint, &self.dialer);
                    self.serving.spawn(Arc::clone(self).probe(endpoint, link));
                }
                Action::Disconnect { endpoint } => {
                    if let Some(link) = held.links.get_mut(endpoint).and_then(Option::as_mut) {
                        *link = link.replace(link.address);
                    }
                }
                Action::Subscribe { active } => drop(self.calls.send(Call::Watch(active))),
                Action::PollList => drop(self.calls.send(Call::Whole)),
                Action::ClassIndicesAssigned { .. } => log::error!("verbs numbered anew, unasked"),
                Action::SendToPeer { .. } => {
                    log::error!("the module has a message for peers; it can't be sent")
                }
                Action::SetTimer { after, token } => {
                    let desk = Arc::clone(self);
                    self.serving.spawn(async move {
                        tokio::time::sleep(after).await;
                        desk.tell(Event::TimerFired { token });
                    });
                }
                Action::Log(line) => log::info!("{line}"),
            }
        }
    }

    async fn probe(self: Arc<Self>, endpoint: EndpointIndex, link: Option<EndpointPool>) {
        let (began, reports) = (Instant::now(), self.held().reports);
        let ended = match link {
            Some(link) => probe::run(link, reports, self.probe_within).await,
            None => relay::ExchangeResult::from(passroad_choice::Outcome::ConnectFailed),
        };
        let spent = began.elapsed();
        log::debug!(
            "probe of endpoint {endpoint}: {:?} in {spent:.1?}, {:?}",
            ended.outcome,
            ended.report
        );
        self.tell(Event::ProbeFinished {
            endpoint,
            outcome: ended.outcome,
            elapsed: spent,
            report: ended.report,
        });
    }
}

/// Marks of ids that were listed once and have left, the last so many.
#[derive(Default)]
struct Left {
    marks: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Left {
    fn has(&self, id: &str) -> bool {
        self.marks.contains(&stable_hash(id))
    }

    fn note(&mut self, mark: u64) {
        if self.marks.insert(mark) {
            self.order.push_back(mark);
        }
        if self.order.len() > MOST_LEFT {
            self.order.pop_front().map(|old| self.marks.remove(&old));
        }
    }
}

impl Held {
    fn link(&mut self, endpoint: EndpointIndex, dialer: &Dialer) -> Option<EndpointPool> {
        // Guards against connections kept to some endpoints that leave none for others: where the last is
        // taken, those to endpoints with nothing out are given up.
        if dialer.is_exhausted() {
            let idle = self
                .links
                .iter_mut()
                .flatten()
                .filter(|link| link.is_unused());
            let count = idle
                .map(|link| *link = EndpointPool::new(link.address, dialer))
                .count();
            if count > 0
                && self
                    .told_used_up
                    .is_none_or(|at| at.elapsed() > USED_UP_AGAIN)
            {
                self.told_used_up = Some(Instant::now());
                log::warn!(
                    "all connections to endpoints are taken; those to {count} idle ones are closed"
                );
            }
        }
        self.links.get(endpoint).cloned().flatten()
    }

    /// What a whole list leaves out is gone.
    fn leave_out(&mut self, list: &List) {
        let stay: Vec<_> = list
            .members
            .iter()
            .filter_map(|m| self.endpoints.get(&m.id))
            .collect();
        for (at, link) in self
            .links
            .iter_mut()
            .enumerate()
            .filter(|(at, _)| !stay.contains(at))
        {
            self.members.get_mut(at).map(Option::take);
            if let Some(mut link) = link.take() {
                link.cancel_unsent();
                let id = self.endpoints.name(at).map_or("?", String::as_str);
                log::info!("endpoint {at} ({id}) has left the list");
            }
        }
    }

    fn order(&self, cmd: CommandIndex, order: Order) {
        if let Some((seat, _)) = self.seats.get(cmd).and_then(Option::as_ref) {
            let _ = seat.send(order);
        }
    }

    /// An order with which the command is over: no relay of it may begin any more.
    fn last_order(&self, cmd: CommandIndex, order: Order) {
        if let Some((_, over)) = self.seats.get(cmd).and_then(Option::as_ref) {
            over.cancel();
        }
        self.order(cmd, order);
    }
}

/// A command's place at the desk. Dropped early, it lapses and its relays count as recalled.
pub struct Seat {
    desk: Arc<Desk>,
    cmd: CommandIndex,
    orders: UnboundedReceiver<Order>,
    /// Turns with the command's end, at once and for good.
    pub over: CancellationToken,
    out: Vec<bool>, // relays that have not ended
}

impl Seat {
    /// The next order; none once the command is forgotten.
    pub async fn order(&mut self) -> Option<Order> {
        let order = self.orders.recv().await;
        if let Some(Order::Relay { .. }) = order {
            self.out.push(true);
        }
        order
    }

    /// The number of the relay ordered last.
    pub fn newest(&self) -> usize {
        self.out.len() - 1
    }

    pub fn lapsed(&self) {
        self.over.cancel();
        self.desk
            .tell(Event::CommandAbandoned { command: self.cmd });
    }

    pub fn spent(&self) {
        self.desk
            .tell(Event::BodyNotReplayable { command: self.cmd });
    }

    pub fn whole(&self) {
        self.desk.tell(Event::BodyComplete { command: self.cmd });
    }

    pub fn finished(
        &mut self,
        relay: usize,
        ended: &relay::ExchangeResult,
        spent: Duration,
        concluded: bool,
    ) {
        self.out[relay] = false;
        if concluded {
            self.over.cancel();
        }
        let (outcome, report) = (ended.outcome, ended.report);
        self.desk.tell(Event::RelayFinished {
            command: self.cmd,
            relay,
            outcome,
            elapsed: spent,
            concluded,
            report,
        });
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        if self.orders.is_closed() {
            return;
        }
        self.lapsed();
        while let Ok(order) = self.orders.try_recv() {
            self.out
                .extend(matches!(order, Order::Relay { .. }).then_some(true));
        }
        let recalled = relay::ExchangeResult::from(passroad_choice::Outcome::Cancelled);
        for relay in 0..self.out.len() {
            if self.out[relay] {
                self.finished(relay, &recalled, Duration::ZERO, true);
            }
        }
    }
}
