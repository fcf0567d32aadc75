//! Handover in an upgrade: a new process takes the listening socket and the state of the old one. Until the old process
//! ends the two send each other changes of exclusions and the ids of open commands.

mod protocol;

use crate::config::Timings;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::HandoverState;
use crate::exclusions::{ExclusionChange, ExclusionReason, ExclusionSubscription};
use crate::in_flight::{IdChange, InFlightIds};
use crate::shutdown::{ShutdownStage, ShutdownWatch};
pub use protocol::VERSION_WITHOUT_REASONS;
use protocol::{Message, VERSION, common_version, state_in_version};
use rustix::fd::OwnedFd;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream as Blocking;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

const MAX_STATE_BYTES: usize = 8 << 20;
const MAX_LINE_BYTES: usize = 4 << 10;
/// Well within the time that a start may take; a process that doesn't answer by then has ended or hangs.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long the other process has to apply a cordon; operators get their answer within a second.
const CORDON_TIMEOUT: Duration = Duration::from_millis(400);

/// What the old process has handed over.
pub struct Inherited {
    pub listener: TcpListener,
    pub state: Option<HandoverState>,
    /// The version that the old process speaks.
    version: u32,
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
    link.write_all(&Message::Request(VERSION).encode())
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
    let version = state.as_ref().map_or(VERSION, |state| state.version);
    Ok(Inherited {
        listener,
        state,
        version,
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
    let known = u64::from(VERSION_WITHOUT_REASONS)..=u64::from(VERSION);
    if !version.is_some_and(|version| known.contains(&version)) {
        return Err(format!("version {version:?}, not {known:?}"));
    }
    let state: HandoverState = serde_json::from_value(value).map_err(|e| e.to_string())?;
    if state.listen != listen {
        return Err(format!("it is of {}, not {listen}", state.listen));
    }
    Ok(state)
}

/// How a process shares its resources with the other process of a handover.
pub trait SharedResources: Send + Sync + 'static {
    /// The new process accepts clients from now on, or no longer does.
    fn yield_clients(&self, yielded: bool);
    /// The old process has ended: all descriptors are available here.
    fn predecessor_ended(&self);
}

/// What an operator's cordon or uncordon of an endpoint has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CordonOutcome {
    /// No endpoint of this id was ever listed; nothing is changed.
    NeverListed,
    Cordoned,
    InUse,
    /// Uncordoned, and out of use until its maintenance ends.
    UnderMaintenance,
}

/// The link to the other process of a handover.
struct Link {
    stream: UnixStream,
    /// The version that both processes speak.
    version: u32,
    exclusions: ExclusionSubscription,
    ids: mpsc::UnboundedReceiver<IdChange>,
}

/// The handovers of this process: from its predecessor, and to its successor.
pub struct Handover {
    dispatcher: Arc<Dispatcher>,
    in_flight_ids: Arc<InFlightIds>,
    timings: watch::Receiver<Timings>,
    stages: ShutdownWatch,
    listen: SocketAddr,
    socket: OwnedFd, // a duplicate, to be handed over
    resources: Box<dyn SharedResources>,
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
        Ok(Arc::new(Handover {
            dispatcher,
            in_flight_ids,
            timings,
            stages,
            listen,
            socket: socket.into(),
            resources,
            yielded: watch::channel(false).0,
        }))
    }

    /// Cordons an endpoint or lifts its cordon, here and in the other process of a handover.
    pub async fn cordon(&self, id: &str, cordoned: bool) -> CordonOutcome {
        if !self.dispatcher.knows(id) {
            return CordonOutcome::NeverListed;
        }
        let confirmations = self.dispatcher.exclude(&ExclusionChange {
            id: id.into(),
            reason: ExclusionReason::Operator,
            excluded: cordoned,
        });
        let all = async {
            for confirmation in confirmations {
                let _ = confirmation.await;
            }
        };
        // The operator gets an answer even if the other process doesn't reply.
        if timeout(CORDON_TIMEOUT, all).await.is_err() {
            log::warn!(
                "the other process has not applied the change of {id} within {CORDON_TIMEOUT:?}"
            );
        }
        if cordoned {
            CordonOutcome::Cordoned
        } else if self.dispatcher.is_out_of_use(id) {
            CordonOutcome::UnderMaintenance
        } else {
            CordonOutcome::InUse
        }
    }

    /// The ids of the endpoints that are out of use, by reason.
    pub fn excluded_endpoints(&self) -> serde_json::Value {
        serde_json::json!({
            "cordoned": self.dispatcher.excluded_ids(ExclusionReason::Operator),
            "maintenance": self.dispatcher.excluded_ids(ExclusionReason::Maintenance),
        })
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
            Ok(mut stream) => {
                let exclusions = self.dispatcher.subscribe_to_exclusions();
                let ids = self.in_flight_ids.subscribe();
                if stream.write_all(&Message::Ready.encode()).await.is_ok() {
                    log::info!("took over from the old process");
                }
                let link = Link {
                    stream,
                    version: predecessor.version,
                    exclusions,
                    ids,
                };
                self.exchange(link, false).await;
                self.release_ids_of_ended_process();
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
            let requested = match serde_json::from_slice(&line) {
                Ok(Message::Request(version)) => common_version(version),
                _ => None,
            };
            let version = requested
                .filter(|_| *self.stages.borrow() == ShutdownStage::Serving)
                .ok_or(io::ErrorKind::InvalidData)?;
            // From here on changes of exclusions are sent over the link, so that none is missed.
            let exclusions = self.dispatcher.subscribe_to_exclusions();
            // So are changes of open ids; those that are open now are part of the state.
            let ids = self.in_flight_ids.subscribe();
            self.send_state(&mut stream, version).await?;
            Ok::<_, io::Error>(Link {
                stream,
                version,
                exclusions,
                ids,
            })
        });
        match handed.await {
            Ok(Ok(link)) => {
                log::info!("the listening socket was handed over to a new process");
                self.exchange(link, true).await;
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
    }

    async fn send_state(&self, stream: &mut UnixStream, version: u32) -> io::Result<()> {
        let state = self
            .dispatcher
            .handover_state(VERSION, self.listen, open_descriptors());
        // Prevents the new process from admitting an open id before it has read the first line of the link.
        let state = HandoverState {
            open_ids: self.in_flight_ids.open_ids(),
            ..state
        };
        let state = state_in_version(state, version);
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

    /// Exchanges messages over a link until it ends. `old` says whether this is the old process.
    async fn exchange(&self, link: Link, old: bool) {
        let Link {
            stream,
            version,
            mut exclusions,
            mut ids,
        } = link;
        let (reader, mut writer) = stream.into_split();
        let mut lines = BufReader::new(reader).lines();
        let mut unconfirmed: VecDeque<oneshot::Sender<()>> = VecDeque::new();
        loop {
            let answer = tokio::select! {
                line = lines.next_line() => {
                    let Ok(Some(line)) = line else { return };
                    match serde_json::from_str(&line) {
                        Ok(Message::Ready) if old => {
                            self.yielded.send_replace(true);
                            self.resources.yield_clients(true);
                            log::info!("the new process accepts clients");
                            None
                        }
                        Ok(Message::IdOpened(id)) => {
                            self.in_flight_ids.set_in_other_process(true, id);
                            None
                        }
                        Ok(Message::IdClosed(id)) => {
                            self.in_flight_ids.set_in_other_process(false, id);
                            None
                        }
                        Ok(Message::Applied) => {
                            unconfirmed.pop_front().map(|done| done.send(()));
                            None
                        }
                        message => {
                            let change = message.ok().and_then(|message| message.exclusion_change());
                            let Some(change) = change else {
                                return log::warn!("upgrade: malformed message from the other process");
                            };
                            self.dispatcher.exclude_as_reported(&change, exclusions.id);
                            Some(Message::Applied)
                        }
                    }
                }
                Some((opened, id)) = ids.recv() => Some(if opened {
                    Message::IdOpened(id)
                } else {
                    Message::IdClosed(id)
                }),
                Some(notice) = exclusions.notices.recv() => {
                    let message = Message::for_notice(&notice, version);
                    match message {
                        Some(_) => unconfirmed.push_back(notice.applied),
                        // Nothing is to be applied there.
                        None => drop(notice.applied.send(())),
                    }
                    message
                }
            };
            if let Some(message) = answer
                && writer.write_all(&message.encode()).await.is_err()
            {
                return;
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
