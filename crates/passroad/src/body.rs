//! Request and response bodies: short ones are buffered, long ones streamed, each with its own timeouts.

mod min_rate;
mod streamed_response;
mod upload;
mod upload_lag;

pub use self::min_rate::{BODY_GRACE, MinRateTimer, time_at_min_rate};
pub use self::streamed_response::StreamedResponse;
pub use self::upload::{StreamedUpload, UploadReader};
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Longest response body that is buffered.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
/// Longest request body that is buffered, while the memory limit allows it. With a buffered body the endpoint is chosen once the
/// body is complete, and the command can be retried.
pub const MAX_BUFFERED_REQUEST_BYTES: usize = 1 << 20;
/// Longest body of a request or response, streamed or not.
pub const MAX_BODY_BYTES: usize = 32 << 20;
/// An endpoint that sends, or reads, nothing of a streamed body for this long is given up. So is a client that reads nothing of a
/// response that has failed.
pub const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(6);

type BoxError = Box<dyn Error + Send + Sync>;

/// Why a client's body can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The client sends more slowly than the minimum rate.
    Slow,
    /// It is longer than `MAX_BODY_BYTES`.
    TooLong,
    /// It is malformed, or the connection ended before its end.
    Broken,
}

/// The body of a request to an endpoint or of a response to a client.
pub enum RelayBody {
    Buffered(BufferedBody),
    Upload(Box<UploadReader>),
    Streamed(Box<StreamedResponse>),
}

/// A body that is kept as a whole.
#[derive(Default)]
pub struct BufferedBody(Option<Bytes>); // none if empty or sent already

impl BufferedBody {
    /// Whether there is nothing left to send.
    fn is_sent(&self) -> bool {
        self.0.is_none()
    }

    /// Bytes left to send.
    pub fn len(&self) -> usize {
        self.0.as_ref().map_or(0, Bytes::len)
    }

    /// Takes the bytes to send them.
    pub fn take(&mut self) -> Option<Bytes> {
        self.0.take()
    }
}

impl From<Bytes> for BufferedBody {
    fn from(bytes: Bytes) -> Self {
        BufferedBody(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl From<Bytes> for RelayBody {
    fn from(bytes: Bytes) -> Self {
        RelayBody::Buffered(bytes.into())
    }
}

impl Default for RelayBody {
    fn default() -> Self {
        RelayBody::Buffered(BufferedBody::default())
    }
}

impl RelayBody {
    /// The buffered body; empty for a streamed one.
    pub fn into_buffered(self) -> BufferedBody {
        match self {
            RelayBody::Buffered(buffered) => buffered,
            _ => BufferedBody::default(),
        }
    }
}

impl hyper::body::Body for RelayBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let next = match self.get_mut() {
            RelayBody::Buffered(buffered) => buffered.take().map(Ok),
            RelayBody::Upload(reader) => {
                ready!(reader.poll_next(cx)).map(|data| data.map_err(BoxError::from))
            }
            RelayBody::Streamed(response) => ready!(response.poll_next(cx)),
        };
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Buffered(buffered) => buffered.is_sent(),
            _ => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Buffered(buffered) => SizeHint::with_exact(buffered.len() as u64),
            RelayBody::Upload(reader) => reader.size(),
            RelayBody::Streamed(response) => response.size(),
        }
    }
}
