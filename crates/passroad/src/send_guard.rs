//! The last check of a command, right before the first byte of a relay is written. What held when the relay was ordered may have
//! changed meanwhile: the relay waited for a connection permit, for a connection to come up, for a pooled one's hold-off, or for
//! its turn on the runtime.

use crate::listener::ClientConnection;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Whether the peer has closed, reset or half-closed the connection. Works also with unread data in the socket's receive buffer,
/// behind which a peek doesn't show the end of the stream.
pub fn peer_closed(stream: &TcpStream) -> bool {
    let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut fds, Some(&no_wait)).is_ok_and(|_| fds[0].revents().contains(PollFlags::RDHUP))
}

/// Why a relay may not be sent any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendBlocked {
    /// The command has its final response, or gets none.
    CommandFinished,
    /// The endpoint drains, is removed or cordoned, has moved to another address, or has restarted.
    EndpointChanged,
    /// The time by which the relay had to be sent has passed.
    TooLate,
    /// The client has closed its connection. The connection's own task may not know: it reads nothing while bytes of a next
    /// request, or of a streamed body, wait to be consumed.
    ClientGone,
}

/// The conditions under which one relay may be sent.
pub struct SendGuard {
    command_ended: CancellationToken,
    endpoint_changed: CancellationToken,
    send_by: Option<Instant>,
    client: Arc<ClientConnection>,
    started: AtomicBool,
    client_left: AtomicBool,
}

impl SendGuard {
    /// `command_ended` is cancelled when the command ends, `endpoint_changed` when the endpoint's state changes.
    pub fn new(
        command_ended: CancellationToken,
        endpoint_changed: CancellationToken,
        send_by: Option<Instant>,
        client: Arc<ClientConnection>,
    ) -> Self {
        SendGuard {
            command_ended,
            endpoint_changed,
            send_by,
            client,
            started: AtomicBool::new(false),
            client_left: AtomicBool::new(false),
        }
    }

    /// Returns why the first byte may not be written; none if it may be now. Once blocked, a relay stays blocked.
    pub fn check(&self) -> Option<SendBlocked> {
        if self.command_ended.is_cancelled() {
            Some(SendBlocked::CommandFinished)
        } else if self.endpoint_changed.is_cancelled() {
            Some(SendBlocked::EndpointChanged)
        } else if self
            .send_by
            .is_some_and(|send_by| send_by <= Instant::now())
        {
            Some(SendBlocked::TooLate)
        } else {
            let client_left = !self.client.is_waiting();
            self.client_left.fetch_or(client_left, Relaxed);
            client_left.then_some(SendBlocked::ClientGone)
        }
    }

    /// Whether the relay was blocked because the client had left.
    pub fn client_left(&self) -> bool {
        self.client_left.load(Relaxed)
    }

    /// Checks, and records that the relay has started if it may. Called right before the first byte.
    pub fn try_start(&self) -> bool {
        let starts = self.check().is_none();
        self.started.fetch_or(starts, Relaxed);
        starts
    }

    /// Whether the first byte has been written.
    pub fn has_started(&self) -> bool {
        self.started.load(Relaxed)
    }

    /// Completes when the command ends or its endpoint changes before the relay has started. Once it has started, only the
    /// decision module cancels it.
    pub async fn cancelled_before_start(&self) -> SendBlocked {
        let blocked = tokio::select! {
            biased;
            () = self.command_ended.cancelled() => SendBlocked::CommandFinished,
            () = self.endpoint_changed.cancelled() => SendBlocked::EndpointChanged,
        };
        if self.has_started() {
            std::future::pending().await
        } else {
            blocked
        }
    }
}
