//! The calls of leased tasks: at most one open per task, with the owned epoch, ended before the lease expires.

use super::config::LeasedTask;
use super::node::CallOutcome;
use crate::body::RelayBody;
use crate::relay::{Dialer, PooledClient};
use hyper::{Request, StatusCode};
use passroad_lease::Epoch;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_CONNECTIONS: usize = 8;

pub struct Calls {
    client: PooledClient,
    open: Vec<Option<AbortHandle>>,
    ended: mpsc::UnboundedSender<(usize, Epoch, CallOutcome)>,
}

impl Calls {
    pub fn new(tasks: usize) -> (Calls, mpsc::UnboundedReceiver<(usize, Epoch, CallOutcome)>) {
        let (ended, outcomes) = mpsc::unbounded_channel();
        let client = Dialer::new(CONNECT_TIMEOUT, IDLE_TIMEOUT, MAX_CONNECTIONS)
            .without_size_limit()
            .new_client();
        let open = (0..tasks).map(|_| None).collect();
        (
            Calls {
                client,
                open,
                ended,
            },
            outcomes,
        )
    }

    pub fn begin(
        &mut self,
        index: usize,
        task: &LeasedTask,
        epoch: Epoch,
        me: u16,
        limit: Duration,
    ) {
        let request = Request::post(task.call.clone().unwrap_or_default())
            .header("Duty", task.name.as_str())
            .header("Epoch", epoch)
            .header("Owner", me)
            .header("Content-Length", 0)
            .body(RelayBody::default());
        let (client, ended) = (self.client.clone(), self.ended.clone());
        let call = async move {
            let outcome = match request {
                Ok(request) => timeout(limit, exchange(&client, request)).await,
                Err(error) => Ok(CallOutcome::Unknown(error.to_string())),
            };
            let _ = ended.send((
                index,
                epoch,
                outcome.unwrap_or_else(|_| CallOutcome::Unknown("no answer in time".into())),
            ));
        };
        self.open[index] = Some(tokio::spawn(call).abort_handle());
    }

    pub fn ended(&mut self, index: usize) {
        self.open[index] = None;
    }

    /// Aborts an open call by closing its connection. It may still have an effect, which the fence has to reject.
    pub fn abort(&mut self, index: usize) {
        if let Some(call) = self.open[index].take() {
            call.abort();
        }
    }
}

async fn exchange(client: &PooledClient, request: Request<RelayBody>) -> CallOutcome {
    match client.request(request).await {
        Err(error) => CallOutcome::Unknown(error.to_string()),
        Ok(response) if response.status().is_success() => CallOutcome::Succeeded,
        Ok(response) => {
            let highest = response
                .headers()
                .get("epoch")
                .and_then(|v| v.to_str().ok()?.parse().ok());
            match (response.status(), highest) {
                (StatusCode::CONFLICT, Some(epoch)) => CallOutcome::StaleEpoch(epoch),
                (status, _) => CallOutcome::Unknown(format!("answered {status}")),
            }
        }
    }
}
