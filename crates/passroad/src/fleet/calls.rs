//! The calls of duties: at most one out for each, by the epoch that is owned, ended before the lease is.

use super::orders::DutyOrder;
use super::part::Came;
use crate::body::RelayBody;
use crate::relay::{Dialer, PooledClient};
use hyper::{Request, StatusCode};
use passroad_lease::Epoch;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;

const CONNECT: Duration = Duration::from_secs(2);
const IDLE: Duration = Duration::from_secs(10);
const SOCKETS: usize = 8;

pub struct Calls {
    client: PooledClient,
    out: Vec<Option<AbortHandle>>,
    done: mpsc::UnboundedSender<(usize, Epoch, Came)>,
}

impl Calls {
    pub fn new(duties: usize) -> (Calls, mpsc::UnboundedReceiver<(usize, Epoch, Came)>) {
        let (done, came) = mpsc::unbounded_channel();
        let client = Dialer::new(CONNECT, IDLE, SOCKETS)
            .without_size_limit()
            .new_client();
        let out = (0..duties).map(|_| None).collect();
        (Calls { client, out, done }, came)
    }

    pub fn begin(&mut self, n: usize, duty: &DutyOrder, epoch: Epoch, me: u16, within: Duration) {
        let request = Request::post(duty.call.clone().unwrap_or_default())
            .header("Duty", duty.name.as_str())
            .header("Epoch", epoch)
            .header("Owner", me)
            .header("Content-Length", 0)
            .body(RelayBody::default());
        let (client, done) = (self.client.clone(), self.done.clone());
        let call = async move {
            let came = match request {
                Ok(request) => timeout(within, exchange(&client, request)).await,
                Err(fault) => Ok(Came::Open(fault.to_string())),
            };
            let _ = done.send((
                n,
                epoch,
                came.unwrap_or_else(|_| Came::Open("no answer in time".into())),
            ));
        };
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
}

async fn exchange(client: &PooledClient, request: Request<RelayBody>) -> Came {
    match client.request(request).await {
        Err(fault) => Came::Open(fault.to_string()),
        Ok(answer) if answer.status().is_success() => Came::Done,
        Ok(answer) => {
            let highest = answer
                .headers()
                .get("epoch")
                .and_then(|v| v.to_str().ok()?.parse().ok());
            match (answer.status(), highest) {
                (StatusCode::CONFLICT, Some(epoch)) => Came::Stale(epoch),
                (status, _) => Came::Open(format!("answered {status}")),
            }
        }
    }
}
