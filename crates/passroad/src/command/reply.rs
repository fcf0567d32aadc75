//! The one final response to a command.

use super::FinalResponse;
use super::trace::CommandTrace;
use tokio::sync::oneshot;

/// The final response that the client still waits for. It is sent once.
pub struct Reply {
    responder: Option<oneshot::Sender<FinalResponse>>,
    client_left: bool,
}

impl Reply {
    /// A dropped receiver means that the client has closed its connection.
    pub fn new(responder: oneshot::Sender<FinalResponse>) -> Self {
        Reply {
            responder: Some(responder),
            client_left: false,
        }
    }

    /// Whether the client still waits.
    pub fn is_pending(&self) -> bool {
        self.responder.is_some()
    }

    /// Whether the client left without a final response.
    pub fn client_left(&self) -> bool {
        self.client_left
    }

    /// Sends the final response, unless one has been sent or the client has left.
    pub fn send(&mut self, response: FinalResponse, trace: &CommandTrace) {
        let Some(responder) = self.responder.take() else {
            return;
        };
        trace.concluded(&response);
        if responder.send(response).is_err() {
            self.record_client_left(trace);
        }
    }

    /// The client has left: nobody waits for the response.
    pub fn give_up(&mut self, trace: &CommandTrace) {
        if self.responder.take().is_some() {
            self.record_client_left(trace);
        }
    }

    fn record_client_left(&mut self, trace: &CommandTrace) {
        self.client_left = true;
        trace.abandoned();
    }

    /// Completes when the client has closed its connection.
    pub async fn client_closed(&mut self) {
        match &mut self.responder {
            Some(responder) => responder.closed().await,
            None => std::future::pending().await,
        }
    }
}
