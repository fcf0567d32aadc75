//! The last look at a command, right before the first byte of a relay. What was true when the relay was ordered may be so no
//! longer: it waited for a place among the connections, for one to come up, for a kept one to rest, or for its turn.

use crate::front::Talk;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Whether a connection's other side has closed, reset, or shut it, though bytes may lie there that nobody has read: the end
/// behind them can't be peeked at.
pub fn hung_up(stream: &TcpStream) -> bool {
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut asked, Some(&now)).is_ok_and(|_| asked[0].revents().contains(PollFlags::RDHUP))
}

/// Why nothing may go out any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Barred {
    /// The command has its final answer, or is to have none.
    Over,
    /// The endpoint drains, is gone, out by hand, elsewhere, or has started anew.
    Out,
    /// The time is up in which it may begin.
    Late,
    /// The client has left. Its connection's task need not know: it reads nothing while bytes of a next request, or of a
    /// long body, wait to be taken.
    Left,
}

/// What is looked at for one relay.
pub struct Look {
    over: CancellationToken,
    out: CancellationToken,
    until: Option<Instant>,
    client: Arc<Talk>,
    begun: AtomicBool,
    left: AtomicBool,
}

impl Look {
    /// `over` turns with the command's end, `out` when its endpoint is no longer as it was.
    pub fn new(
        over: CancellationToken,
        out: CancellationToken,
        until: Option<Instant>,
        client: Arc<Talk>,
    ) -> Self {
        Look {
            over,
            out,
            until,
            client,
            begun: AtomicBool::new(false),
            left: AtomicBool::new(false),
        }
    }

    /// None if the first byte may go out now. What bars once does so for good.
    pub fn barred(&self) -> Option<Barred> {
        if self.over.is_cancelled() {
            Some(Barred::Over)
        } else if self.out.is_cancelled() {
            Some(Barred::Out)
        } else if self.until.is_some_and(|until| until <= Instant::now()) {
            Some(Barred::Late)
        } else {
            let left = !self.client.waits();
            self.left.fetch_or(left, Relaxed);
            left.then_some(Barred::Left)
        }
    }

    /// Whether it was the client's leaving that barred it.
    pub fn left(&self) -> bool {
        self.left.load(Relaxed)
    }

    /// Whether the first byte goes out now.
    pub fn begins(&self) -> bool {
        let begins = self.barred().is_none();
        self.begun.fetch_or(begins, Relaxed);
        begins
    }

    pub fn begun(&self) -> bool {
        self.begun.load(Relaxed)
    }

    /// Ends when the command is over, or its endpoint out.
    /// Not once something has been sent: whether that is recalled is the module's to say.
    pub async fn called_off(&self) -> Barred {
        let barred = tokio::select! {
            biased;
            () = self.over.cancelled() => Barred::Over,
            () = self.out.cancelled() => Barred::Out,
        };
        if self.begun() {
            std::future::pending().await
        } else {
            barred
        }
    }
}
