//! An upgrade: a process that starts takes the listening socket and what is known from the one beside it, and the two
//! tell each other of bans until the old one ends.

use crate::desk::Desk;
use crate::in_flight::{IdChange, InFlightIds};
use crate::members::Known;
use crate::stop::{Stage, Stages};
use rustix::fd::OwnedFd;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream as Blocking;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

const VERSION: u32 = 1;
const LONGEST_STATE: usize = 8 << 20;
const LONGEST_LINE: usize = 4 << 10;
/// Well within the time that a start may take; whoever does not answer by then is gone or stuck.
const ANSWER_WITHIN: Duration = Duration::from_millis(1500);
/// For the other process to take a ban; operators are owed their answer within a second.
const TOLD_WITHIN: Duration = Duration::from_millis(400);

/// A line between the two.
#[derive(Serialize, Deserialize, Debug, PartialEq)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
enum Line {
    Ask(u32),
    /// The new one takes clients.
    Ready,
    Out(String),
    Back(String),
    /// The last ban or call back is in effect here, too.
    Done,
    /// A command of this id is open here, or no longer.
    Taken(String),
    Given(String),
}

/// What came over from the process before.
pub struct Inherited {
    pub listener: TcpListener,
    pub known: Option<Known>,
    link: Blocking,
}

/// Where processes of the same clients' address meet; none without a folder to share.
pub fn place(listen: SocketAddr, folder: Option<PathBuf>) -> Option<PathBuf> {
    let name = listen.to_string().replace([':', '[', ']'], "-");
    folder
        .filter(|folder| !folder.as_os_str().is_empty())
        .map(|folder| folder.join(format!("passroad-{name}.sock")))
}

/// A path that fits an address of a Unix socket, as long as the folder is held open.
fn short(path: &Path) -> io::Result<(PathBuf, std::fs::File)> {
    use std::os::fd::AsRawFd;
    let (folder, name) = (
        path.parent().unwrap_or(Path::new(".")),
        path.file_name().unwrap_or_default(),
    );
    let folder = std::fs::File::open(folder)?;
    Ok((
        PathBuf::from(format!("/proc/self/fd/{}", folder.as_raw_fd())).join(name),
        folder,
    ))
}

/// Asks the process that serves there. None if there is none; a fault is told in one line, and the start goes on
/// without.
pub fn ask(place: &Path, listen: SocketAddr) -> Option<Inherited> {
    let (path, _folder) = short(place).ok()?;
    // Nobody, or a socket that a killed process left behind.
    let link = Blocking::connect(path).ok()?;
    match take(link, listen) {
        Ok(inherited) => Some(inherited),
        Err(fault) => {
            log::warn!("nothing is taken over from the process before: {fault}");
            None
        }
    }
}

fn take(mut link: Blocking, listen: SocketAddr) -> Result<Inherited, String> {
    let said = |e: io::Error| e.to_string();
    link.set_read_timeout(Some(ANSWER_WITHIN)).map_err(said)?;
    link.set_write_timeout(Some(ANSWER_WITHIN)).map_err(said)?;
    link.write_all(&text(&Line::Ask(VERSION))).map_err(said)?;
    let mut size = [0; 4];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = RecvAncillaryBuffer::new(&mut space);
    let got = rustix::net::recvmsg(
        &link,
        &mut [IoSliceMut::new(&mut size)],
        &mut beside,
        RecvFlags::CMSG_CLOEXEC,
    )
    .map_err(|e| e.to_string())?;
    let sockets = beside.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
        _ => None,
    });
    let socket: Option<OwnedFd> = sockets.flatten().next();
    let listener = TcpListener::from(
        socket
            .filter(|_| got.bytes == size.len())
            .ok_or("no socket came")?,
    );
    let at = listener.local_addr().map_err(said)?;
    if at != listen {
        return Err(format!("its socket listens on {at}, not {listen}"));
    }
    let known = read(&mut link, u32::from_be_bytes(size) as usize, listen);
    // The socket is of use whatever came with it.
    let known = known
        .map_err(|fault| log::warn!("what the process before knows is not taken over: {fault}"))
        .ok();
    Ok(Inherited {
        listener,
        known,
        link,
    })
}

fn read(link: &mut impl Read, size: usize, listen: SocketAddr) -> Result<Known, String> {
    if size > LONGEST_STATE {
        return Err(format!("{size} bytes, over {LONGEST_STATE}"));
    }
    let mut bytes = vec![0; size];
    link.read_exact(&mut bytes)
        .map_err(|e| format!("cut short: {e}"))?;
    // The version first: of another one nothing else may be readable.
    let value: serde_json::Value = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    let version = value.get("version").and_then(serde_json::Value::as_u64);
    if version != Some(VERSION.into()) {
        return Err(format!("version {version:?}, not {VERSION}"));
    }
    let known: Known = serde_json::from_value(value).map_err(|e| e.to_string())?;
    if known.listen != listen {
        return Err(format!("it is of {}, not {listen}", known.listen));
    }
    Ok(known)
}

fn text(line: &Line) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(line).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}

/// What a process does as it gives way, or has its place again.
pub trait Room: Send + Sync + 'static {
    /// Another process takes clients from here on, or no longer does.
    fn give_way(&self, away: bool);
    /// The process before has ended: all descriptors are this one's.
    fn whole(&self);
}

type Told = (Line, oneshot::Sender<()>);

/// The process's part in upgrades, before and after it.
pub struct Handover {
    desk: Arc<Desk>,
    claims: Arc<InFlightIds>,
    stages: Stages,
    listen: SocketAddr,
    socket: OwnedFd, // a copy, to be handed on
    room: Box<dyn Room>,
    links: Mutex<Vec<mpsc::UnboundedSender<Told>>>,
    away: watch::Sender<bool>,
}

impl Handover {
    pub fn new(
        desk: Arc<Desk>,
        claims: Arc<InFlightIds>,
        stages: Stages,
        socket: TcpListener,
        room: Box<dyn Room>,
    ) -> Result<Arc<Self>, String> {
        let listen = socket.local_addr().map_err(|e| e.to_string())?;
        let (links, away) = (Mutex::default(), watch::channel(false).0);
        Ok(Arc::new(Handover {
            desk,
            claims,
            stages,
            listen,
            socket: socket.into(),
            room,
            links,
            away,
        }))
    }

    /// Bans an endpoint or calls it back, here and in the process beside this one. False for an id never listed.
    pub async fn cordon(&self, id: &str, out: bool) -> bool {
        if !self.desk.cordon(id, out) {
            return false;
        }
        let mut waits = Vec::new();
        for link in self
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
        {
            let (done, told) = oneshot::channel();
            let line = if out {
                Line::Out(id.into())
            } else {
                Line::Back(id.into())
            };
            if link.send((line, done)).is_ok() {
                waits.push(told);
            }
        }
        let all = async {
            for told in waits {
                let _ = told.await;
            }
        };
        // One that does not answer must not cost the operator the answer.
        if timeout(TOLD_WITHIN, all).await.is_err() {
            log::warn!(
                "the process beside this one has not taken what was told of {id} in {TOLD_WITHIN:?}"
            );
        }
        true
    }

    /// Takes over from the process before, then waits for the next one, for as long as this one runs.
    pub async fn serve(self: Arc<Self>, before: Option<Inherited>, place: PathBuf) {
        if let Some(before) = before {
            tokio::spawn(Arc::clone(&self).follow(before));
        }
        let mut away = self.away.subscribe();
        loop {
            let listener = match bind(&place) {
                Ok(listener) => listener,
                Err(fault) => {
                    return log::warn!(
                        "no upgrade beside this process: {}: {fault}",
                        place.display()
                    );
                }
            };
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => drop(tokio::spawn(Arc::clone(&self).hand_over(stream))),
                        Err(fault) => {
                            log::warn!("upgrade: accept: {fault}");
                            tokio::time::sleep(TOLD_WITHIN).await;
                        }
                    },
                    // The next process has the place now.
                    () = turned(&mut away, true) => break,
                }
            }
            drop(listener);
            // Unless it ends first.
            turned(&mut away, false).await;
        }
    }

    /// This process is the new one.
    async fn follow(self: Arc<Self>, before: Inherited) {
        let link = before
            .link
            .set_nonblocking(true)
            .and_then(|()| UnixStream::from_std(before.link));
        match link {
            Ok(mut link) => {
                if link.write_all(&text(&Line::Ready)).await.is_ok() {
                    log::info!("took over from the process before");
                }
                self.keep(link, false).await;
                log::info!("the process before has ended");
            }
            Err(fault) => log::warn!("the process before: {fault}"),
        }
        self.room.whole();
    }

    /// This process is the old one.
    async fn hand_over(self: Arc<Self>, mut stream: UnixStream) {
        let handed = timeout(ANSWER_WITHIN, async {
            let mut line = Vec::new();
            // What comes behind it is for the link.
            while line.last() != Some(&b'\n') && line.len() < LONGEST_LINE {
                line.push(stream.read_u8().await?);
            }
            if !matches!(serde_json::from_slice(&line), Ok(Line::Ask(_)))
                || *self.stages.borrow() != Stage::Serving
            {
                return Err(io::ErrorKind::InvalidData.into());
            }
            // From here on bans are told over the link: none falls between.
            let (tell, told) = mpsc::unbounded_channel();
            self.links
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(tell);
            // So are ids that turn; those that are open now go along.
            let ids = self.claims.subscribe();
            self.give(&mut stream).await?;
            Ok::<_, io::Error>((told, ids))
        });
        match handed.await {
            Ok(Ok((told, ids))) => {
                log::info!("the next process was handed the listening socket");
                self.run(stream, told, ids, true).await;
                self.claims.clear_other_process();
                if self.away.send_replace(false) {
                    self.room.give_way(false);
                    log::info!("the next process has ended; clients are taken here again");
                }
            }
            Ok(Err(fault)) => log::warn!("upgrade: nothing handed over: {fault}"),
            Err(_) => log::warn!("upgrade: whoever asked did not take it in {ANSWER_WITHIN:?}"),
        }
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|link| !link.is_closed());
    }

    async fn give(&self, stream: &mut UnixStream) -> io::Result<()> {
        let known = self.desk.known(VERSION, self.listen, descriptors());
        // Guards against an id that is taken there before the first line of the link is read.
        let known = Known {
            open: self.claims.open_ids(),
            ..known
        };
        let state = serde_json::to_vec(&known).map_err(io::Error::other)?;
        let size = (state.len() as u32).to_be_bytes();
        loop {
            stream.writable().await?;
            let sent = stream.try_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut beside = SendAncillaryBuffer::new(&mut space);
                let sockets = [rustix::fd::AsFd::as_fd(&self.socket)];
                beside.push(SendAncillaryMessage::ScmRights(&sockets));
                Ok(rustix::net::sendmsg(
                    &*stream,
                    &[IoSlice::new(&size)],
                    &mut beside,
                    SendFlags::empty(),
                )?)
            });
            match sent {
                Ok(4) => return stream.write_all(&state).await,
                Ok(_) => return Err(io::ErrorKind::WriteZero.into()),
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                Err(fault) => return Err(fault),
            }
        }
    }

    async fn keep(&self, stream: UnixStream, old: bool) {
        let (tell, told) = mpsc::unbounded_channel();
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(tell);
        self.run(stream, told, self.claims.subscribe(), old).await;
        self.claims.clear_other_process();
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|link| !link.is_closed());
    }

    /// Tells and hears over a link until it ends.
    async fn run(
        &self,
        stream: UnixStream,
        mut told: mpsc::UnboundedReceiver<Told>,
        mut ids: mpsc::UnboundedReceiver<IdChange>,
        old: bool,
    ) {
        let (from, mut to) = stream.into_split();
        let mut from = BufReader::new(from).lines();
        let mut open: VecDeque<oneshot::Sender<()>> = VecDeque::new();
        loop {
            tokio::select! {
                line = from.next_line() => {
                    let Ok(Some(line)) = line else { return };
                    match serde_json::from_str(&line) {
                        Ok(Line::Ready) if old => {
                            self.away.send_replace(true);
                            self.room.give_way(true);
                            log::info!("the next process takes clients");
                            continue;
                        }
                        Ok(Line::Out(id)) => self.desk.turn(&id, true),
                        Ok(Line::Back(id)) => self.desk.turn(&id, false),
                        Ok(Line::Taken(id)) => {
                            self.claims.set_in_other_process(true, id);
                            continue;
                        }
                        Ok(Line::Given(id)) => {
                            self.claims.set_in_other_process(false, id);
                            continue;
                        }
                        Ok(Line::Done) => {
                            open.pop_front().map(|done| done.send(()));
                            continue;
                        }
                        _ => return log::warn!("upgrade: the process beside this one says what can't be read"),
                    }
                    if to.write_all(&text(&Line::Done)).await.is_err() {
                        return;
                    }
                }
                Some((taken, id)) = ids.recv() => {
                    let line = if taken { Line::Taken(id) } else { Line::Given(id) };
                    if to.write_all(&text(&line)).await.is_err() {
                        return;
                    }
                }
                Some((line, done)) = told.recv() => {
                    open.push_back(done);
                    if to.write_all(&text(&line)).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Waits until this process has given way, or has its place again.
async fn turned(away: &mut watch::Receiver<bool>, to: bool) {
    // The sender lives as long as the process.
    let _ = away.wait_for(|away| *away == to).await;
}

/// A socket at the place, whoever had it before.
fn bind(place: &Path) -> io::Result<UnixListener> {
    let (path, _folder) = short(place)?;
    let fresh = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&fresh);
    let listener = UnixListener::bind(&fresh)?;
    std::fs::rename(&fresh, &path)?;
    Ok(listener)
}

/// How many descriptors this process holds.
fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, |open| open.count())
}

#[cfg(test)]
mod tests;
