//! The bytes that are kept of one body.

use super::budget::{BudgetExhausted, HeldBytes};
use super::upload_body::Upload;
use super::WIDE_RECEIVE_BUFFER_BYTES;
use bytes::Bytes;
use placement::SMALL_BODY_BYTES;

/// What is made room for at first, of a body whose length is not known. It is doubled up to
/// [`GROWTH_BYTES`].
const FIRST_CAPACITY_BYTES: usize = 4 << 10;
/// By this much the room grows at the most, so that little of it is of no use.
const GROWTH_BYTES: usize = 64 << 10;

/// The beginning of a body, in one piece. Its room is reserved before it is taken.
pub struct BodyBuffer {
    bytes: Vec<u8>,
    /// `None` where the body was not received by a listener.
    upload: Option<(Upload, HeldBytes)>,
    /// What is kept of the body if all of it comes, as far as that is known.
    expected_bytes: usize,
}

impl BodyBuffer {
    /// Nothing is kept yet, and not more than `expected_bytes` are expected to be.
    pub fn new(upload: Option<Upload>, expected_bytes: usize) -> BodyBuffer {
        let with_held = |upload: Upload| {
            let held = upload.hold_nothing();
            (upload, held)
        };
        BodyBuffer {
            bytes: Vec::new(),
            upload: upload.map(with_held),
            expected_bytes,
        }
    }

    /// What is kept.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether the body was ended since its room was needed.
    pub fn is_upload_ended(&self) -> bool {
        self.upload
            .as_ref()
            .is_some_and(|(upload, _)| upload.is_ended())
    }

    /// Keeps some more, once there is room for it.
    ///
    /// # Errors
    /// There is no room; nothing of `data` is kept.
    pub async fn extend(&mut self, data: &[u8]) -> Result<(), BudgetExhausted> {
        let needed_bytes = self.bytes.len() + data.len();
        if needed_bytes > self.bytes.capacity() {
            self.grow(needed_bytes).await?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// The body has come in whole: nothing more of it waits in the kernel.
    pub fn finish(&mut self) {
        if let Some((_, held)) = &mut self.upload {
            held.shrink_to(self.bytes.capacity());
        }
    }

    /// The rest of the body is sent on as it comes: more of it may wait in the kernel meanwhile,
    /// if there is room for that.
    pub fn widen_receive_buffer(&mut self) {
        if let Some((upload, held)) = &mut self.upload {
            let footprint = self.bytes.capacity() + WIDE_RECEIVE_BUFFER_BYTES;
            if held.try_grow_to(footprint) {
                upload.widen_receive_buffer();
            }
        }
    }

    /// The kept bytes, and what they hold of the budget.
    pub fn into_parts(self) -> (Bytes, Option<HeldBytes>) {
        (self.bytes.into(), self.upload.map(|(_, held)| held))
    }

    /// The kept bytes as they are, and what they hold of the budget.
    pub(super) fn into_vec(self) -> (Vec<u8>, Option<HeldBytes>) {
        (self.bytes, self.upload.map(|(_, held)| held))
    }

    async fn grow(&mut self, needed_bytes: usize) -> Result<(), BudgetExhausted> {
        let growth_bytes = self
            .bytes
            .capacity()
            .clamp(FIRST_CAPACITY_BYTES, GROWTH_BYTES);
        let grown_bytes = self.bytes.capacity() + growth_bytes;
        let capacity = grown_bytes.min(self.expected_bytes).max(needed_bytes);
        if let Some((upload, held)) = &mut self.upload {
            held.grow_to(Upload::footprint_bytes(capacity)).await?;
            if capacity > SMALL_BODY_BYTES {
                upload.widen_receive_buffer();
            }
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}
