//! The body of a request: short ones are kept, with memory reserved for them, others are streamed.

use crate::body::{BodyError, MAX_BUFFERED_REQUEST_BYTES, MinRateTimer, StreamedUpload};
use crate::memory_budget::{MemoryBudget, ReservedBuffer};
use axum::body::{Body, HttpBody};
use bytes::Bytes;
use std::sync::Arc;

/// Bodies up to this size are buffered with the memory of their command.
const SMALL_BODY_BYTES: usize = 4 << 10;

/// Reads the body of a refused request to its end, since a client may not read the response before it has written the whole body.
pub fn discard(body: Body, rate: MinRateTimer) {
    tokio::spawn(StreamedUpload::new(Bytes::new(), None, body, rate, None).drain());
}

/// A body as far as it was read before the command runs.
pub enum RequestBody {
    Complete(Bytes),
    /// Its first part, and the rest that is still coming.
    Partial(Bytes, Body),
}

/// Reads the bodies of requests within a budget.
pub struct BodyReader(Arc<MemoryBudget>);

impl BodyReader {
    /// Bodies that are kept count against this budget.
    pub fn new(memory: Arc<MemoryBudget>) -> Self {
        BodyReader(memory)
    }

    /// Buffers a body, with memory reserved for it if it isn't small. A body that is too long, or for which there is too little
    /// memory, is returned with its first part, to be streamed.
    pub async fn read(
        &self,
        mut body: Body,
        rate: &mut MinRateTimer,
    ) -> Result<RequestBody, BodyError> {
        let mut buffer = ReservedBuffer::new(Some(Arc::clone(&self.0)), SMALL_BODY_BYTES);
        let stated = body.size_hint().exact().map(|length| length as usize);
        if let Some(length) = stated
            && (length > MAX_BUFFERED_REQUEST_BYTES || !buffer.reserve_capacity(length))
        {
            return Ok(RequestBody::Partial(Bytes::new(), body));
        }
        while let Some(data) = std::future::poll_fn(|cx| rate.poll_next(&mut body, cx)).await {
            if !buffer.append(&data?) || buffer.len() > MAX_BUFFERED_REQUEST_BYTES {
                return Ok(RequestBody::Partial(buffer.into_bytes(), body));
            }
        }
        Ok(RequestBody::Complete(buffer.into_bytes()))
    }
}
