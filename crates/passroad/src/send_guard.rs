//! The last look at a command, right before the first byte of a relay. What was true when the relay was ordered may be so no
//! longer: it waited for a place among the connections, for one to come up, for a kept one to rest, or for its turn.

use crate::listener::ClientConnection;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Whether a connection's other side has closed, reset, or shut it, though bytes may lie there that nobody has read: the end
/// behind them can't be peeked at.
pub fn peer_closed(stream: &TcpStream) -> bool {
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut asked, Some(&now)).is_ok_and(|_| asked[0].revents().contains(PollFlags::RDHUP))
}

/// Why nothing may go out any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendBlocked {
    /// The command has its final answer, or is to have none.
    CommandFinished,
    /// The endpoint drains, is gone, out by hand, elsewhere, or has started anew.
    EndpointChanged,
    /// The time is up in which it may begin.
    TooLate,
    /// The client has left. Its connection's task need not know: it reads nothing while bytes of a next request, or of a
    /// long body, wait to be taken.
    ClientGone,
}

/// What is looked at for one relay.
pub struct SendGuard {
    over: CancellationToken,
    out: CancellationToken,
    until: Option<Instant>,
    client: Arc<ClientConnection>,
    begun: AtomicBool,
    left: AtomicBool,
}

impl SendGuard {
    /// `over` turns with the command's end, `out` when its endpoint is no longer as it was.
    pub fn new(
        over: CancellationToken,
        out: CancellationToken,
        until: Option<Instant>,
        client: Arc<ClientConnection>,
    ) -> Self {
        SendGuard {
            over,
            out,
            until,
            client,
            begun: AtomicBool::new(false),
            left: AtomicBool::new(false),
        }
    }

    /// None if the first byte may go out now. What bars once does so for good.
    pub fn check(&self) -> Option<SendBlocked> {
        if self.over.is_cancelled() {
            Some(SendBlocked::CommandFinished)
        } else if self.out.is_cancelled() {
            Some(SendBlocked::EndpointChanged)
        } else if self.until.is_some_and(|until| until <= Instant::now()) {
            Some(SendBlocked::TooLate)
        } else {
            let left = !self.client.is_waiting();
            self.left.fetch_or(left, Relaxed);
            left.then_some(SendBlocked::ClientGone)
        }
    }

    /// Whether it was the client's leaving that barred it.
    pub fn client_left(&self) -> bool {
        self.left.load(Relaxed)
    }

    /// Whether the first byte goes out now.
    pub fn try_start(&self) -> bool {
        let begins = self.check().is_none();
        self.begun.fetch_or(begins, Relaxed);
        begins
    }

    pub fn has_started(&self) -> bool {
        self.begun.load(Relaxed)
    }

    /// Ends when the command is over, or its endpoint out.
    /// Not once something has been sent: whether that is recalled is the module's to say.
    pub async fn cancelled_before_start(&self) -> SendBlocked {
        let barred = tokio::select! {
            biased;
            () = self.over.cancelled() => SendBlocked::CommandFinished,
            () = self.out.cancelled() => SendBlocked::EndpointChanged,
        };
        if self.has_started() {
            std::future::pending().await
        } else {
            barred
        }
    }
}
