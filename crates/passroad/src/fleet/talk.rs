//! The one task that owns the socket: hears, keeps time, begins calls, answers operators. What is said and done is
//! decided in `part`.

use super::calls::Calls;
use super::drops::Drops;
use super::kept::Kept;
use super::orders::{DutyOrder, FleetOrders, Place};
use super::part::{Came, Do, Part, Who};
use super::status::Asked;
use crate::stop::{Stage, Stages, reached};
use passroad_lease::{Epoch, Times};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, sleep_until};

/// Datagrams that are read in a row before timers have their turn.
const IN_A_ROW: usize = 64;
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
}

fn wall() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

impl Talk {
    pub fn new(orders: FleetOrders, place: Place, kept: Option<Kept>, socket: UdpSocket) -> Talk {
        // The time of the start: later processes of this name have a higher one.
        let incarnation = wall().as_millis() as u64;
        let seed = incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (u64::from(place.me) << 32);
        let who = Who { me: place.me, members: place.peers.len(), incarnation, seed };
        let times = Times { steady: Duration::ZERO, wall: wall() };
        let votes = kept.as_ref().filter(|kept| kept.found).map(|kept| kept.votes.clone());
        let (calls, came) = Calls::new(orders.duties.len());
        let duties = orders.duties.clone();
        Talk {
            numbers: place.peers.iter().enumerate().map(|(n, at)| (*at, n as u16)).collect(),
            part: Part::new(&who, orders.voters, orders.lease, orders.period, duties, times, votes),
            duties: orders.duties,
            place,
            socket,
            began: Instant::now(),
            kept,
            calls,
            came: Some(came),
            drops: Drops::default(),
        }
    }

    fn times(&self) -> Times {
        Times { steady: self.began.elapsed(), wall: wall() }
    }

    pub async fn run(mut self, mut asked: Asked, mut stages: Stages) {
        let Some(mut came) = self.came.take() else { return };
        // One more than a datagram may hold, so that a longer one is seen to be.
        let mut bytes = [0; passroad_peers::LONGEST + 1];
        let mut leaves: Option<Instant> = None;
        loop {
            let todo = self.part.turn(self.times());
            self.carry_out(todo);
            let due = Instant::now() + self.part.wait(self.times());
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
                    let todo = self.part.ended(self.times(), n, epoch, what);
                    self.carry_out(todo);
                }
                Some(tell) = asked.recv() => {
                    let mut said = self.part.status(self.times());
                    said["datagrams"]["not_heard"] = self.drops.counts();
                    drop(tell.send(said));
                }
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

    async fn leave(mut self) {
        let end = Instant::now() + LAST_WORDS;
        let todo = self.part.leave(self.times());
        self.carry_out(todo);
        while Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
            let todo = self.part.turn(self.times());
            self.carry_out(todo);
        }
    }

    fn hear(&mut self, from: SocketAddr, bytes: &[u8]) {
        match self.numbers.get(&from).copied() {
            Some(member) => {
                let todo = self.part.hear(self.times(), member, bytes);
                self.carry_out(todo);
            }
            None => self.drops.note(self.began.elapsed(), "of an address that is not in peers"),
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
                        return log::error!("fleet: the state can't be kept, a vote is not given: {fault}");
                    }
                }
                Do::Begin { n, epoch, within } => {
                    self.calls.begin(n, &self.duties[n], epoch, self.place.me, within);
                }
                Do::Drop { n } => self.calls.drop(n),
                Do::Say { level, line } => log::log!(level, "fleet: {line}"),
                Do::Unheard(cause) => self.drops.note(self.began.elapsed(), cause),
            }
        }
    }
}
