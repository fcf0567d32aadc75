//! The body of a response on its way to a client.

use super::ClientConnection;
use crate::body::STREAM_STALL_TIMEOUT;
use crate::flow_control::WriteWindow;
use axum::body::{Body, HttpBody};
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::time::{Sleep, sleep};

/// A failure of the body that hyper isn't told yet.
struct HeldFailure {
    error: axum::Error,
    flushes: u64, // as counted when the body failed
    timeout: Pin<Box<Sleep>>,
}

/// A response body that keeps its connection from counting as idle, even if the client reads slowly, that hands over no more than
/// its client reads, and that fails only after
/// what came before has been written. hyper drops what it has buffered when a body fails, the response's head included: the client
/// would get no byte of a response, and could not tell that its command had been read.
pub(super) struct ClientResponseBody {
    body: Body,
    connection: Arc<ClientConnection>,
    window: WriteWindow,
    failure: Option<HeldFailure>,
}

impl ClientResponseBody {
    pub(super) fn new(body: Body, connection: Arc<ClientConnection>) -> Self {
        let window = WriteWindow::new(Arc::clone(&connection.flushes));
        ClientResponseBody {
            body,
            connection,
            window,
            failure: None,
        }
    }

    /// Holds a failure back, and releases what the failed body holds.
    fn hold(&mut self, error: axum::Error) {
        self.body = Body::empty();
        self.failure = Some(HeldFailure {
            error,
            flushes: self.connection.flushes.count(),
            timeout: Box::pin(sleep(STREAM_STALL_TIMEOUT)),
        });
    }

    /// Ready once what was buffered before the failure has been written, or the client has read nothing of it for too long.
    fn poll_failure(&mut self, cx: &mut Context<'_>) -> Poll<Option<axum::Error>> {
        let Some(failure) = &mut self.failure else {
            return Poll::Ready(None);
        };
        let written = self.connection.flushes.poll_beyond(failure.flushes, cx);
        let timed_out = failure.timeout.as_mut().poll(cx);
        if written.is_pending() && timed_out.is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(self.failure.take().map(|failure| failure.error))
    }
}

impl HttpBody for ClientResponseBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        if self.failure.is_none() {
            ready!(self.window.poll_open(cx));
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    let length = frame.data_ref().map_or(0, Bytes::len);
                    self.window.record(length);
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Err(error)) => self.hold(error),
                None => return Poll::Ready(None),
            }
            // hyper flushes after a pending body, but not always in the same turn.
            cx.waker().wake_by_ref();
        }
        self.poll_failure(cx).map(|error| error.map(Err))
    }

    fn is_end_stream(&self) -> bool {
        self.failure.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ClientResponseBody {
    fn drop(&mut self) {
        self.connection.response_handed_over();
    }
}

#[cfg(test)]
mod tests;
