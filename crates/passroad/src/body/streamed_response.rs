//! A long response body that is passed on as it comes.

use super::{BoxError, BufferedBody, STREAM_STALL_TIMEOUT};
use crate::relay::{EndpointPool, ExchangeGuard};
use bytes::Bytes;
use hyper::body::{Body as _, Incoming, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::time::{Sleep, sleep};

/// A streamed response body. The client can tell when it is cut off: bytes or the last chunk are missing.
pub struct StreamedResponse {
    pub first: BufferedBody,
    pub rest: Incoming,
    pub guard: ExchangeGuard,
    pub left: usize, // bytes that may still be read, by the size limit
    pub stall: Option<Pin<Box<Sleep>>>,
    /// Held so that the endpoint counts as in use until the response has ended.
    pub pool: Option<EndpointPool>,
}

impl StreamedResponse {
    /// Reads the next chunk.
    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BoxError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
                let stall = self
                    .stall
                    .get_or_insert_with(|| Box::pin(sleep(STREAM_STALL_TIMEOUT)));
                ready!(stall.as_mut().poll(cx));
                return Poll::Ready(Some(Err("the response stalled midway".into())));
            };
            self.stall = None;
            let Some(frame) = frame else {
                self.guard.response_complete();
                return Poll::Ready(None);
            };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let Some(left) = self.left.checked_sub(data.len()) else {
                return Poll::Ready(Some(Err("response is over the size limit".into())));
            };
            self.left = left;
            // With a stated length, hyper doesn't poll for the end.
            if self.rest.is_end_stream() {
                self.guard.response_complete();
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }

    /// The length of the whole response, as far as it is known.
    pub(super) fn size(&self) -> SizeHint {
        let first = self.first.len() as u64;
        let mut size = SizeHint::new();
        if let Some(left) = self.rest.size_hint().exact() {
            size.set_exact(left + first);
        }
        size
    }
}
