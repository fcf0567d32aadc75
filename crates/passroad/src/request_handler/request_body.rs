//! The body of a request: short ones are kept, with memory reserved for them, others are streamed.

use crate::body::{BodyError, MAX_BUFFERED_REQUEST_BYTES, MinRateTimer, StreamedUpload};
use crate::memory_budget::{MemoryBudget, MemoryUse, Reservation};
use axum::body::{Body, HttpBody};
use bytes::{Bytes, BytesMut};
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
    ) -> Result<(RequestBody, Option<Reservation>), BodyError> {
        let (mut buffered, mut memory) = (BytesMut::new(), None);
        let stated = body.size_hint().exact().map(|length| length as usize);
        if let Some(length) = stated.filter(|length| *length > SMALL_BODY_BYTES) {
            match self.reserve_body(length, &mut memory) {
                true => buffered.reserve(length),
                false => return Ok((RequestBody::Partial(Bytes::new(), body), None)),
            }
        }
        while let Some(data) = std::future::poll_fn(|cx| rate.poll_next(&mut body, cx)).await {
            buffered.extend_from_slice(&data?);
            if stated.is_none()
                && buffered.len() > SMALL_BODY_BYTES
                && !self.reserve_body(buffered.len(), &mut memory)
            {
                return Ok((RequestBody::Partial(buffered.freeze(), body), memory));
            }
        }
        Ok((RequestBody::Complete(buffered.freeze()), memory))
    }

    /// Reserves memory for a body of this length, beyond what is reserved. False if it is too long or too little is left.
    fn reserve_body(&self, length: usize, memory: &mut Option<Reservation>) -> bool {
        if length > MAX_BUFFERED_REQUEST_BYTES {
            return false;
        }
        self.0.reserve_up_to(MemoryUse::Bodies, length, memory)
    }
}
