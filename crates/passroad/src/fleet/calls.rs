//! The calls of duties: at most one out for each, by the epoch that is owned, ended before the lease is.

use super::orders::DutyOrder;
use crate::body::Load;
use crate::relay::{Client, Dialer};
use hyper::{Request, StatusCode};
use passroad_lease::Epoch;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

const CONNECT: Duration = Duration::from_secs(2);
const IDLE: Duration = Duration::from_secs(10);
const SOCKETS: usize = 8;

/// What became of a call.
#[derive(Debug, PartialEq, Eq)]
pub enum Came {
    Done,
    /// A higher epoch is known there.
    Stale(Epoch),
    /// It may have been done, or may yet.
    Open(String),
}

pub struct Calls {
    client: Client,
    out: Vec<Option<AbortHandle>>,
    next: Vec<Instant>,
    done: mpsc::UnboundedSender<(usize, Epoch, Came)>,
}

impl Calls {
    pub fn new(duties: usize) -> (Calls, mpsc::UnboundedReceiver<(usize, Epoch, Came)>) {
        let (done, came) = mpsc::unbounded_channel();
        let client = Dialer::new(CONNECT, IDLE, SOCKETS).unbounded().client();
        let (out, next) = ((0..duties).map(|_| None).collect(), vec![Instant::now(); duties]);
        (Calls { client, out, next, done }, came)
    }

    /// When the next call of a duty may begin; none while one is out.
    pub fn due(&self, duty: usize) -> Option<Instant> {
        self.out[duty].is_none().then_some(self.next[duty])
    }

    pub fn begin(&mut self, n: usize, duty: &DutyOrder, epoch: Epoch, me: u16, within: Duration) {
        let request = Request::post(duty.call.clone())
            .header("Duty", duty.name.as_str())
            .header("Epoch", epoch)
            .header("Owner", me)
            .header("Content-Length", 0)
            .body(Load::default());
        let (client, done) = (self.client.clone(), self.done.clone());
        let call = async move {
            let came = match request {
                Ok(request) => timeout(within, exchange(&client, request)).await,
                Err(fault) => Ok(Came::Open(fault.to_string())),
            };
            let _ = done.send((n, epoch, came.unwrap_or_else(|_| Came::Open("no answer in time".into()))));
        };
        self.next[n] = Instant::now() + duty.every;
        self.out[n] = Some(tokio::spawn(call).abort_handle());
    }

    pub fn ended(&mut self, n: usize) {
        self.out[n] = None;
    }

    /// Drops what is out: its connection closes. It may have been done, or may yet, which the fence is for.
    pub fn drop(&mut self, n: usize) {
        if let Some(out) = self.out[n].take() {
            out.abort();
        }
    }

    pub fn any_out(&self) -> bool {
        self.out.iter().any(Option::is_some)
    }
}

async fn exchange(client: &Client, request: Request<Load>) -> Came {
    match client.request(request).await {
        Err(fault) => Came::Open(fault.to_string()),
        Ok(answer) if answer.status().is_success() => Came::Done,
        Ok(answer) => {
            let highest = answer.headers().get("epoch").and_then(|v| v.to_str().ok()?.parse().ok());
            match (answer.status(), highest) {
                (StatusCode::CONFLICT, Some(epoch)) => Came::Stale(epoch),
                (status, _) => Came::Open(format!("answered {status}")),
            }
        }
    }
}
