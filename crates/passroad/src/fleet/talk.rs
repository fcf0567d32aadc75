//! The one task that owns the socket: hears, keeps time, begins calls, answers operators. What is said and done is
//! decided in `part`.

use super::Turned;
use super::calls::Calls;
use super::drops::Drops;
use super::kept::Kept;
use super::orders::{DutyOrder, FleetOrders, Place};
use super::part::{Came, Do, Part, View, Who};
use super::status::{Ask, Asked};
use super::work::{self, Machines};
use crate::stop::{Stage, Stages, reached};
use passroad_lease::{Clocks, Epoch};
use passroad_upkeep::{MachineId, MaintenanceManager, Message, Rejection};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

/// Datagrams that are read in a row before timers have their turn.
const IN_A_ROW: usize = 64;
/// How often the list is looked at while there is no work.
const LOOK: Duration = Duration::from_secs(1);
/// For a call that is out when this process is to stop, and for its leaves.
const LAST_CALL: Duration = Duration::from_millis(40);
const LAST_WORDS: Duration = Duration::from_millis(120);

pub struct Talk {
    place: Place,
    duties: Vec<DutyOrder>,
    numbers: HashMap<SocketAddr, u16>,
    socket: UdpSocket,
    began: Instant,
    part: Part,
    kept: Option<Kept>,
    calls: Calls,
    came: Option<UnboundedReceiver<(usize, Epoch, Came)>>,
    drops: Drops,
    machines: Option<Machines>,
    looked: Instant,
    /// Operators who wait for the conductor's answer.
    operators: HashMap<u64, oneshot::Sender<Option<Rejection>>>,
    informed: Vec<oneshot::Sender<()>>,
    /// Bans on what was never listed here.
    unlisted: BTreeSet<MachineId>,
    /// Who else is told what is thought of members.
    turns: Option<UnboundedSender<Turned>>,
}

fn wall() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

impl Talk {
    pub fn new(
        orders: FleetOrders,
        place: Place,
        kept: Option<Kept>,
        socket: UdpSocket,
        machines: Option<Machines>,
    ) -> Talk {
        // The time of the start: later processes of this name have a higher one.
        let incarnation = passroad_peers::incarnation_at(wall());
        let seed = incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (u64::from(place.me) << 32);
        let who = Who {
            me: place.me,
            members: place.peers.len(),
            incarnation,
            seed,
        };
        let clocks = Clocks {
            monotonic: Duration::ZERO,
            wall: wall(),
        };
        let votes = kept
            .as_ref()
            .filter(|kept| kept.found)
            .map(|kept| kept.votes.clone());
        let (calls, came) = Calls::new(orders.duties.len());
        let duties = orders.duties.clone();
        let part = Part::new(
            &who,
            orders.voters,
            orders.lease,
            orders.period,
            duties,
            clocks,
            votes,
        );
        let part = match &orders.upkeep {
            Some(upkeep) => part.with_upkeep(upkeep),
            None => part,
        };
        Talk {
            numbers: place
                .peers
                .iter()
                .enumerate()
                .map(|(n, at)| (*at, n as u16))
                .collect(),
            part,
            machines,
            looked: Instant::now(),
            operators: HashMap::new(),
            informed: Vec::new(),
            unlisted: BTreeSet::new(),
            duties: orders.duties,
            place,
            socket,
            began: Instant::now(),
            kept,
            calls,
            came: Some(came),
            drops: Drops::default(),
            turns: None,
        }
    }

    pub fn telling(self, turns: Option<UnboundedSender<Turned>>) -> Talk {
        Talk { turns, ..self }
    }

    fn clocks(&self) -> Clocks {
        Clocks {
            monotonic: self.began.elapsed(),
            wall: wall(),
        }
    }

    pub async fn run(mut self, mut asked: Asked, mut stages: Stages) {
        let Some(mut came) = self.came.take() else {
            return;
        };
        // One more than a datagram may hold, so that a longer one is seen to be.
        let mut bytes = [0; passroad_peers::MAX_DATAGRAM_BYTES + 1];
        let mut leaves: Option<Instant> = None;
        loop {
            let todo = self.part.turn(self.clocks());
            self.carry_out(todo);
            self.work();
            let due = Instant::now() + self.part.wait(self.clocks());
            tokio::select! {
                got = self.socket.recv_from(&mut bytes) => {
                    let mut got = got;
                    for _ in 0..IN_A_ROW {
                        match got {
                            Ok((count, from)) => self.hear(from, &bytes[..count]),
                            // Of a datagram that nobody took at the other end, or none left.
                            Err(_) => break,
                        }
                        got = self.socket.try_recv_from(&mut bytes);
                    }
                }
                () = sleep_until(leaves.unwrap_or(due).min(due)) => {}
                Some((n, epoch, what)) = came.recv() => {
                    self.calls.ended(n);
                    let todo = self.part.ended(self.clocks(), n, epoch, what);
                    self.carry_out(todo);
                }
                Some(ask) = asked.recv() => self.asked(ask),
                () = reached(&mut stages, Stage::Leaving), if leaves.is_none() => {
                    self.part.stop();
                    leaves = Some(Instant::now() + LAST_CALL);
                }
            }
            if leaves.is_some_and(|at| Instant::now() >= at || !self.part.any_out()) {
                return self.leave().await;
            }
        }
    }

    fn asked(&mut self, ask: Ask) {
        match ask {
            Ask::Status(tell) => {
                let mut said = self.part.status(self.clocks());
                said["datagrams"]["not_heard"] = self.drops.counts();
                drop(tell.send(said));
            }
            Ask::Work(tell) => {
                if let Some((machines, upkeep)) = self.machines.as_ref().zip(self.part.upkeep()) {
                    drop(tell.send(machines.status(upkeep)));
                }
            }
            Ask::Those(of, tell) => {
                let those = self.machines.as_ref().map(|machines| machines.those(&of));
                drop(tell.send(those.unwrap_or_default()));
            }
            Ask::Operator { word, answer } => {
                if let Message::Schedule { request, .. } | Message::Operate { request, .. } = word {
                    self.operators.retain(|_, waits| !waits.is_closed());
                    self.operators.insert(request, answer);
                    self.part.operator(word);
                }
            }
            Ask::Informed(tell) => self.informed.push(tell),
        }
    }

    /// The order of work, some twenty times a second while there is one.
    fn work(&mut self) {
        let clocks = self.clocks();
        let Some(machines) = &mut self.machines else {
            return;
        };
        // Guards against a fleet that starts together and has each sidecar go through the whole list twenty times a
        // second: one that is not informed yet has nothing to do with machines.
        let busy = |upkeep: &MaintenanceManager| {
            upkeep.is_active() && (upkeep.is_informed() || upkeep.is_coordinator())
        };
        let every = if self.part.upkeep().is_some_and(busy) {
            passroad_upkeep::TICK_INTERVAL
        } else {
            LOOK
        };
        if self.looked.elapsed() >= every {
            self.looked = Instant::now();
            machines.look(clocks.wall);
            // What was banned before it was listed here.
            let machines = &*machines;
            self.unlisted
                .retain(|machine| !machines.turn(*machine, true));
        }
        let Some(machines) = &self.machines else {
            return;
        };
        let view = View {
            seen: &machines.seen,
            free: &|machine| machines.free(machine),
        };
        let todo = self.part.work(clocks, &view, None);
        self.carry_out(todo);
        if self
            .part
            .upkeep()
            .is_some_and(MaintenanceManager::is_informed)
        {
            for tell in self.informed.drain(..) {
                let _ = tell.send(());
            }
        }
    }

    async fn leave(mut self) {
        let end = Instant::now() + LAST_WORDS;
        let todo = self.part.leave(self.clocks());
        self.carry_out(todo);
        while Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
            let todo = self.part.turn(self.clocks());
            self.carry_out(todo);
        }
    }

    fn hear(&mut self, from: SocketAddr, bytes: &[u8]) {
        match self.numbers.get(&from).copied() {
            Some(member) => {
                let clocks = self.clocks();
                let todo = match &self.machines {
                    Some(machines) => {
                        let view = View {
                            seen: &machines.seen,
                            free: &|machine| machines.free(machine),
                        };
                        self.part.hear(clocks, member, bytes, &view)
                    }
                    None => self.part.hear(
                        clocks,
                        member,
                        bytes,
                        &View {
                            seen: &[],
                            free: &|_| false,
                        },
                    ),
                };
                self.carry_out(todo);
            }
            None => self
                .drops
                .note(self.began.elapsed(), "of an address that is not in peers"),
        }
    }

    fn carry_out(&mut self, todo: Vec<Do>) {
        for what in todo {
            match what {
                Do::Send { to, bytes } => {
                    // A datagram that the system does not take is one that was lost.
                    if let Some(to) = self.place.peers.get(usize::from(to)) {
                        let _ = self.socket.try_send_to(&bytes, *to);
                    }
                }
                Do::Keep { duty, vote } => {
                    // Guards against saying what would be forgotten: without its file the voter says nothing more.
                    if let Some(Err(fault)) = self.kept.as_mut().map(|kept| kept.keep(duty, vote)) {
                        // What is not on the disk would else be said when it is asked for once more.
                        self.part.vote_no_more();
                        return log::error!(
                            "fleet: the state can't be kept, this voter votes no more: {fault}"
                        );
                    }
                }
                Do::Begin { n, epoch, within } => {
                    self.calls
                        .begin(n, &self.duties[n], epoch, self.place.me, within);
                }
                Do::Drop { n } => self.calls.drop(n),
                Do::Say { level, line } => log::log!(level, "fleet: {line}"),
                Do::Turned { member, standing } => {
                    log::debug!("fleet: member {member}: {standing:?}");
                    if let Some(turns) = &self.turns {
                        let _ = turns.send(Turned { member, standing });
                    }
                }
                Do::Ban { machine, out } => {
                    // Guards against a ban on what was listed since the last look, which would wait for the next one.
                    let listed = self.machines.as_mut().is_some_and(|machines| {
                        machines.turn(machine, out) || {
                            machines.look(wall());
                            machines.turn(machine, out)
                        }
                    });
                    if !listed && out {
                        self.unlisted.insert(machine);
                    } else {
                        self.unlisted.remove(&machine);
                    }
                }
                Do::Answer { request, refused } => {
                    if let Some(waits) = self.operators.remove(&request) {
                        let _ = waits.send(refused);
                    }
                }
                Do::Machine { machine, what } => {
                    let id = self
                        .machines
                        .as_ref()
                        .map(|machines| machines.name(machine))
                        .unwrap_or_default();
                    let (level, line) = work::line(&id, what);
                    log::log!(level, "fleet: {line}");
                }
                Do::Unheard(cause) => self.drops.note(self.began.elapsed(), cause),
            }
        }
    }
}
