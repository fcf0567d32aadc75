//! Handover in an upgrade: a new process takes the listening socket and the state of the old one. Until the old process
//! ends the two send each other cordons and the ids of open commands.

use crate::config::Timings;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::HandoverState;
use crate::in_flight::{IdChange, InFlightIds};
use crate::shutdown::{ShutdownStage, ShutdownWatch};
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
const MAX_STATE_BYTES: usize = 8 << 20;
const MAX_LINE_BYTES: usize = 4 << 10;
/// Well within the time that a start may take; a process that doesn't answer by then has ended or hangs.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long the other process has to apply a cordon; operators get their answer within a second.
const CORDON_TIMEOUT: Duration = Duration::from_millis(400);

/// A line between the two processes.
#[derive(Serialize, Deserialize, Debug, PartialEq)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
enum Message {
    /// The new process requests a handover, in this version.
    #[serde(rename = "ask")]
    Request(u32),
    /// The new process accepts clients.
    Ready,
    #[serde(rename = "out")]
    Cordoned(String),
    #[serde(rename = "back")]
    Uncordoned(String),
    /// The last cordon, or the end of one, is in effect here, too.
    #[serde(rename = "done")]
    Applied,
    /// A command of this id is open here, or no longer.
    #[serde(rename = "taken")]
    IdOpened(String),
    #[serde(rename = "given")]
    IdClosed(String),
}

/// What the old process has handed over.
pub struct Inherited {
    pub listener: TcpListener,
    pub state: Option<HandoverState>,
    link: Blocking,
}

/// Path of the handover socket of processes with the same client address; none without a shared directory.
pub fn socket_path(listen: SocketAddr, folder: Option<PathBuf>) -> Option<PathBuf> {
    let name = listen.to_string().replace([':', '[', ']'], "-");
    folder
        .filter(|folder| !folder.as_os_str().is_empty())
        .map(|folder| folder.join(format!("passroad-{name}.sock")))
}

/// A path that is short enough for a Unix socket address, valid as long as the returned folder is held open.
fn short_path(path: &Path) -> io::Result<(PathBuf, std::fs::File)> {
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

/// Requests a handover from the process that serves there. None if there is none; an error is logged, and the start
/// goes on without a handover.
pub fn request(path: &Path, listen: SocketAddr) -> Option<Inherited> {
    let (path, _folder) = short_path(path).ok()?;
    // Nobody listens, or a killed process left its socket behind.
    let link = Blocking::connect(path).ok()?;
    match receive(link, listen) {
        Ok(inherited) => Some(inherited),
        Err(error) => {
            log::warn!("nothing is taken over from the old process: {error}");
            None
        }
    }
}

fn receive(mut link: Blocking, listen: SocketAddr) -> Result<Inherited, String> {
    let describe = |e: io::Error| e.to_string();
    link.set_read_timeout(Some(ANSWER_TIMEOUT))
        .map_err(describe)?;
    link.set_write_timeout(Some(ANSWER_TIMEOUT))
        .map_err(describe)?;
    link.write_all(&encode(&Message::Request(VERSION)))
        .map_err(describe)?;
    let mut size = [0; 4];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let received = rustix::net::recvmsg(
        &link,
        &mut [IoSliceMut::new(&mut size)],
        &mut ancillary,
        RecvFlags::CMSG_CLOEXEC,
    )
    .map_err(|e| e.to_string())?;
    let sockets = ancillary.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
        _ => None,
    });
    let socket: Option<OwnedFd> = sockets.flatten().next();
    let listener = TcpListener::from(
        socket
            .filter(|_| received.bytes == size.len())
            .ok_or("no socket received")?,
    );
    let address = listener.local_addr().map_err(describe)?;
    if address != listen {
        return Err(format!("its socket listens on {address}, not {listen}"));
    }
    let state = read(&mut link, u32::from_be_bytes(size) as usize, listen);
    // The socket is of use whatever came with it.
    let state = state
        .map_err(|error| log::warn!("the state of the old process is not taken over: {error}"))
        .ok();
    Ok(Inherited {
        listener,
        state,
        link,
    })
}

fn read(link: &mut impl Read, size: usize, listen: SocketAddr) -> Result<HandoverState, String> {
    if size > MAX_STATE_BYTES {
        return Err(format!("{size} bytes, over {MAX_STATE_BYTES}"));
    }
    let mut bytes = vec![0; size];
    link.read_exact(&mut bytes)
        .map_err(|e| format!("truncated: {e}"))?;
    // Checks the version first: nothing else may be readable in another one.
    let value: serde_json::Value = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    let version = value.get("version").and_then(serde_json::Value::as_u64);
    if version != Some(VERSION.into()) {
        return Err(format!("version {version:?}, not {VERSION}"));
    }
    let state: HandoverState = serde_json::from_value(value).map_err(|e| e.to_string())?;
    if state.listen != listen {
        return Err(format!("it is of {}, not {listen}", state.listen));
    }
    Ok(state)
}

fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(message).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}

/// How a process shares its resources with the other process of a handover.
pub trait SharedResources: Send + Sync + 'static {
    /// The new process accepts clients from now on, or no longer does.
    fn yield_clients(&self, yielded: bool);
    /// The old process has ended: all descriptors are available here.
    fn predecessor_ended(&self);
}

type Notification = (Message, oneshot::Sender<()>);

/// The handovers of this process: from its predecessor, and to its successor.
pub struct Handover {
    dispatcher: Arc<Dispatcher>,
    in_flight_ids: Arc<InFlightIds>,
    timings: watch::Receiver<Timings>,
    stages: ShutdownWatch,
    listen: SocketAddr,
    socket: OwnedFd, // a duplicate, to be handed over
    resources: Box<dyn SharedResources>,
    links: Mutex<Vec<mpsc::UnboundedSender<Notification>>>,
    yielded: watch::Sender<bool>,
}

impl Handover {
    pub fn new(
        dispatcher: Arc<Dispatcher>,
        in_flight_ids: Arc<InFlightIds>,
        timings: watch::Receiver<Timings>,
        stages: ShutdownWatch,
        socket: TcpListener,
        resources: Box<dyn SharedResources>,
    ) -> Result<Arc<Self>, String> {
        let listen = socket.local_addr().map_err(|e| e.to_string())?;
        let (links, yielded) = (Mutex::default(), watch::channel(false).0);
        Ok(Arc::new(Handover {
            dispatcher,
            in_flight_ids,
            timings,
            stages,
            listen,
            socket: socket.into(),
            resources,
            links,
            yielded,
        }))
    }

    /// Cordons an endpoint or lifts its cordon, here and in the other process of a handover. False for an id that was
    /// never listed.
    pub async fn cordon(&self, id: &str, cordoned: bool) -> bool {
        if !self.dispatcher.cordon(id, cordoned) {
            return false;
        }
        let mut pending = Vec::new();
        for link in self
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
        {
            let (done, applied) = oneshot::channel();
            let message = if cordoned {
                Message::Cordoned(id.into())
            } else {
                Message::Uncordoned(id.into())
            };
            if link.send((message, done)).is_ok() {
                pending.push(applied);
            }
        }
        let all = async {
            for applied in pending {
                let _ = applied.await;
            }
        };
        // The operator gets an answer even if the other process doesn't reply.
        if timeout(CORDON_TIMEOUT, all).await.is_err() {
            log::warn!(
                "the other process has not applied the change of {id} within {CORDON_TIMEOUT:?}"
            );
        }
        true
    }

    /// Takes over from the old process, then waits for a new one, for as long as this process runs.
    pub async fn serve(self: Arc<Self>, predecessor: Option<Inherited>, path: PathBuf) {
        if let Some(predecessor) = predecessor {
            tokio::spawn(Arc::clone(&self).take_over(predecessor));
        }
        let mut yielded = self.yielded.subscribe();
        loop {
            let listener = match bind(&path) {
                Ok(listener) => listener,
                Err(error) => {
                    return log::warn!(
                        "no handover from this process: {}: {error}",
                        path.display()
                    );
                }
            };
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => drop(tokio::spawn(Arc::clone(&self).hand_over(stream))),
                        Err(error) => {
                            log::warn!("upgrade: accept: {error}");
                            tokio::time::sleep(CORDON_TIMEOUT).await;
                        }
                    },
                    // The new process has bound the socket now.
                    () = yielded_is(&mut yielded, true) => break,
                }
            }
            drop(listener);
            // Serves again if the new process ends first.
            yielded_is(&mut yielded, false).await;
        }
    }

    /// Takes over as the new process.
    async fn take_over(self: Arc<Self>, predecessor: Inherited) {
        let link = predecessor
            .link
            .set_nonblocking(true)
            .and_then(|()| UnixStream::from_std(predecessor.link));
        match link {
            Ok(mut link) => {
                if link.write_all(&encode(&Message::Ready)).await.is_ok() {
                    log::info!("took over from the old process");
                }
                self.serve_link(link, false).await;
                log::info!("the old process has ended");
            }
            Err(error) => log::warn!("the old process: {error}"),
        }
        self.resources.predecessor_ended();
    }

    /// Hands over as the old process.
    async fn hand_over(self: Arc<Self>, mut stream: UnixStream) {
        let handed = timeout(ANSWER_TIMEOUT, async {
            let mut line = Vec::new();
            // Reads no further: what follows belongs to the link.
            while line.last() != Some(&b'\n') && line.len() < MAX_LINE_BYTES {
                line.push(stream.read_u8().await?);
            }
            if !matches!(serde_json::from_slice(&line), Ok(Message::Request(_)))
                || *self.stages.borrow() != ShutdownStage::Serving
            {
                return Err(io::ErrorKind::InvalidData.into());
            }
            // From here on cordons are sent over the link, so that none is missed.
            let (sender, notifications) = mpsc::unbounded_channel();
            self.links
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(sender);
            // So are changes of open ids; those that are open now are part of the state.
            let ids = self.in_flight_ids.subscribe();
            self.send_state(&mut stream).await?;
            Ok::<_, io::Error>((notifications, ids))
        });
        match handed.await {
            Ok(Ok((notifications, ids))) => {
                log::info!("the listening socket was handed over to a new process");
                self.exchange(stream, notifications, ids, true).await;
                self.release_ids_of_ended_process();
                if self.yielded.send_replace(false) {
                    self.resources.yield_clients(false);
                    log::info!("the new process has ended; clients are accepted here again");
                }
            }
            Ok(Err(error)) => log::warn!("upgrade: nothing handed over: {error}"),
            Err(_) => log::warn!(
                "upgrade: the new process did not receive the state within {ANSWER_TIMEOUT:?}"
            ),
        }
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|link| !link.is_closed());
    }

    async fn send_state(&self, stream: &mut UnixStream) -> io::Result<()> {
        let state = self
            .dispatcher
            .handover_state(VERSION, self.listen, open_descriptors());
        // Prevents the new process from admitting an open id before it has read the first line of the link.
        let state = HandoverState {
            open_ids: self.in_flight_ids.open_ids(),
            ..state
        };
        let bytes = serde_json::to_vec(&state).map_err(io::Error::other)?;
        let size = (bytes.len() as u32).to_be_bytes();
        loop {
            stream.writable().await?;
            let sent = stream.try_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut ancillary = SendAncillaryBuffer::new(&mut space);
                let sockets = [rustix::fd::AsFd::as_fd(&self.socket)];
                ancillary.push(SendAncillaryMessage::ScmRights(&sockets));
                Ok(rustix::net::sendmsg(
                    &*stream,
                    &[IoSlice::new(&size)],
                    &mut ancillary,
                    SendFlags::empty(),
                )?)
            });
            match sent {
                Ok(4) => return stream.write_all(&bytes).await,
                Ok(_) => return Err(io::ErrorKind::WriteZero.into()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Releases the ids that the other process has left, once their commands run no more.
    fn release_ids_of_ended_process(&self) {
        let ids = Arc::clone(&self.in_flight_ids);
        let longest = self.timings.borrow().max_time_limit;
        tokio::spawn(async move {
            let ended = ids.other_process_ended();
            tokio::time::sleep(longest).await;
            ended
                .into_iter()
                .for_each(|id| ids.set_in_other_process(false, id));
        });
    }

    async fn serve_link(&self, stream: UnixStream, old: bool) {
        let (sender, notifications) = mpsc::unbounded_channel();
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
        self.exchange(stream, notifications, self.in_flight_ids.subscribe(), old)
            .await;
        self.release_ids_of_ended_process();
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|link| !link.is_closed());
    }

    /// Exchanges messages over a link until it ends. `old` says whether this is the old process.
    async fn exchange(
        &self,
        stream: UnixStream,
        mut notifications: mpsc::UnboundedReceiver<Notification>,
        mut ids: mpsc::UnboundedReceiver<IdChange>,
        old: bool,
    ) {
        let (reader, mut writer) = stream.into_split();
        let mut lines = BufReader::new(reader).lines();
        let mut unconfirmed: VecDeque<oneshot::Sender<()>> = VecDeque::new();
        loop {
            tokio::select! {
                line = lines.next_line() => {
                    let Ok(Some(line)) = line else { return };
                    match serde_json::from_str(&line) {
                        Ok(Message::Ready) if old => {
                            self.yielded.send_replace(true);
                            self.resources.yield_clients(true);
                            log::info!("the new process accepts clients");
                            continue;
                        }
                        Ok(Message::Cordoned(id)) => self.dispatcher.set_cordoned(&id, true),
                        Ok(Message::Uncordoned(id)) => self.dispatcher.set_cordoned(&id, false),
                        Ok(Message::IdOpened(id)) => {
                            self.in_flight_ids.set_in_other_process(true, id);
                            continue;
                        }
                        Ok(Message::IdClosed(id)) => {
                            self.in_flight_ids.set_in_other_process(false, id);
                            continue;
                        }
                        Ok(Message::Applied) => {
                            unconfirmed.pop_front().map(|done| done.send(()));
                            continue;
                        }
                        _ => return log::warn!("upgrade: malformed message from the other process"),
                    }
                    if writer.write_all(&encode(&Message::Applied)).await.is_err() {
                        return;
                    }
                }
                Some((opened, id)) = ids.recv() => {
                    let message = if opened { Message::IdOpened(id) } else { Message::IdClosed(id) };
                    if writer.write_all(&encode(&message)).await.is_err() {
                        return;
                    }
                }
                Some((message, done)) = notifications.recv() => {
                    unconfirmed.push_back(done);
                    if writer.write_all(&encode(&message)).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Waits until this process has yielded its clients, or accepts them again.
async fn yielded_is(yielded: &mut watch::Receiver<bool>, expected: bool) {
    // The sender lives as long as the process.
    let _ = yielded.wait_for(|now| *now == expected).await;
}

/// Binds the handover socket, replacing one that another process has bound there.
fn bind(path: &Path) -> io::Result<UnixListener> {
    let (path, _folder) = short_path(path)?;
    let fresh = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&fresh);
    let listener = UnixListener::bind(&fresh)?;
    std::fs::rename(&fresh, &path)?;
    Ok(listener)
}

/// How many descriptors this process holds.
fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, |open| open.count())
}

#[cfg(test)]
mod tests;
