//! The client's body: what was read of it here, and the rest that is streamed on.

use crate::rejection::RouterRejection;
use dispatch::{BodyStream, RequestBody};
use dropshot::Body;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use policy::BODY_LIMIT_BYTES;
use tokio::time::Instant;
use transport::uploads::{BodyBuffer, Upload};

/// A body that is being read. Invariant: `buffered` is its beginning, and `body`
/// follows without a gap.
pub struct IncomingBody {
    body: Body,
    buffered: BodyBuffer,
    is_ended: bool,
    /// The longest that is accepted.
    max_bytes: usize,
}

impl IncomingBody {
    /// Nothing is read yet. What will be is reserved by the upload, if there is one.
    pub fn new(body: Body, upload: Option<Upload>, max_bytes: usize) -> IncomingBody {
        let stated_bytes = body.size_hint().upper().unwrap_or(u64::MAX);
        let expected_bytes = usize::try_from(stated_bytes).unwrap_or(usize::MAX);
        IncomingBody {
            is_ended: body.is_end_stream(),
            body,
            buffered: BodyBuffer::new(upload, expected_bytes),
            max_bytes,
        }
    }

    /// What was read.
    pub fn buffered(&self) -> &[u8] {
        self.buffered.bytes()
    }

    /// Whether all of it was read.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Whether so much was read that no key is looked for any further.
    pub fn is_past_key_cap(&self) -> bool {
        self.buffered().len() >= BODY_LIMIT_BYTES
    }

    /// Checks the length that the client announced, before it is read.
    ///
    /// # Errors
    /// [`RouterRejection::BodyTooLong`].
    pub fn check_length(&self) -> Result<(), RouterRejection> {
        let announced = self.body.size_hint().lower();
        if self.buffered().len() as u64 + announced > self.max_bytes as u64 {
            return Err(RouterRejection::BodyTooLong {
                max_bytes: self.max_bytes,
            });
        }
        Ok(())
    }

    /// Reads up to `most` bytes, or one more frame's worth, or to the end.
    ///
    /// # Errors
    /// As of [`IncomingBody::read_frame`].
    pub async fn buffer(&mut self, most: usize, until: Instant) -> Result<(), RouterRejection> {
        let most = most.min(self.max_bytes + 1);
        while self.buffered().len() < most && !self.is_ended {
            self.read_frame(until, "the body").await?;
        }
        Ok(())
    }

    /// Reads one more frame. `part` says in a rejection what was waited for.
    ///
    /// # Errors
    /// [`RouterRejection::BodyTooSlow`] at `until`, or when the client has sent nothing for a while
    /// and the room is needed; [`RouterRejection::MemoryFull`],
    /// [`RouterRejection::BodyUnreadable`].
    pub async fn read_frame(
        &mut self,
        until: Instant,
        part: &'static str,
    ) -> Result<(), RouterRejection> {
        match tokio::time::timeout_at(until, self.body.frame()).await {
            Err(_) => Err(RouterRejection::BodyTooSlow { part }),
            Ok(None) => {
                self.is_ended = true;
                Ok(())
            }
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.keep(&data).await?;
                }
                self.is_ended = self.body.is_end_stream();
                Ok(())
            }
            Ok(Some(Err(_))) if self.buffered.is_upload_ended() => {
                Err(RouterRejection::BodyTooSlow { part })
            }
            Ok(Some(Err(error))) => Err(RouterRejection::BodyUnreadable {
                cause: error.to_string(),
            }),
        }
    }

    async fn keep(&mut self, data: &[u8]) -> Result<(), RouterRejection> {
        let kept = self.buffered.extend(data).await;
        kept.map_err(|_| RouterRejection::MemoryFull)
    }

    /// What is sent on: the buffered part, then the rest, whose length is bounded.
    pub fn into_outgoing(mut self) -> RequestBody {
        let left = self.max_bytes.saturating_sub(self.buffered().len());
        match self.is_ended {
            true => self.buffered.finish(),
            false => self.buffered.widen_receive_buffer(),
        }
        let rest = (!self.is_ended).then(|| bounded(self.body, left));
        let (buffered, held) = self.buffered.into_parts();
        RequestBody::new(buffered, rest).holding(held)
    }
}

fn bounded(body: Body, max_bytes: usize) -> BodyStream {
    http_body_util::Limited::new(body, max_bytes)
        .map_err(|error| anyhow::anyhow!("{error}"))
        .boxed_unsync()
}
