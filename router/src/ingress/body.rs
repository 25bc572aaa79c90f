//! The client's body: what was read of it here, and the rest that is streamed on.

use crate::rejection::RouterRejection;
use bytes::BytesMut;
use dispatch::{BodyStream, RequestBody};
use dropshot::Body;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use policy::BODY_LIMIT_BYTES;
use tokio::time::Instant;

/// A body that is being read. Invariant: `buffered` is its beginning, and `body`
/// follows without a gap.
pub struct IncomingBody {
    body: Body,
    buffered: BytesMut,
    is_ended: bool,
    /// The longest that is accepted.
    max_bytes: usize,
}

impl IncomingBody {
    /// Nothing is read yet.
    pub fn new(body: Body, max_bytes: usize) -> IncomingBody {
        IncomingBody {
            is_ended: body.is_end_stream(),
            body,
            buffered: BytesMut::new(),
            max_bytes,
        }
    }

    /// What was read.
    pub fn buffered(&self) -> &[u8] {
        &self.buffered
    }

    /// Whether all of it was read.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Whether so much was read that no key is looked for any further.
    pub fn is_past_key_cap(&self) -> bool {
        self.buffered.len() >= BODY_LIMIT_BYTES
    }

    /// Checks the length that the client announced, before it is read.
    ///
    /// # Errors
    /// [`RouterRejection::BodyTooLong`].
    pub fn check_length(&self) -> Result<(), RouterRejection> {
        let announced = self.body.size_hint().lower();
        if self.buffered.len() as u64 + announced > self.max_bytes as u64 {
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
        while self.buffered.len() < most && !self.is_ended {
            self.read_frame(until, "the body").await?;
        }
        Ok(())
    }

    /// Reads one more frame. `part` says in a rejection what was waited for.
    ///
    /// # Errors
    /// [`RouterRejection::BodyTooSlow`] at `until`, [`RouterRejection::BodyUnreadable`].
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
                    self.buffered.extend_from_slice(&data);
                }
                self.is_ended = self.body.is_end_stream();
                Ok(())
            }
            Ok(Some(Err(error))) => Err(RouterRejection::BodyUnreadable {
                cause: error.to_string(),
            }),
        }
    }

    /// What is sent on: the buffered part, then the rest, whose length is bounded.
    pub fn into_outgoing(self) -> RequestBody {
        let left = self.max_bytes.saturating_sub(self.buffered.len());
        let rest = (!self.is_ended).then(|| bounded(self.body, left));
        RequestBody::new(self.buffered.freeze(), rest)
    }
}

fn bounded(body: Body, max_bytes: usize) -> BodyStream {
    http_body_util::Limited::new(body, max_bytes)
        .map_err(|error| anyhow::anyhow!("{error}"))
        .boxed_unsync()
}
