//! Admission: whether this router takes a request now. Whether its tenant is within its
//! quota: `quota_admission.rs`.

use super::body::IncomingBody;
use super::Ingress;
use crate::in_flight::{LateRequest, LateRequestGuard};
use crate::rejection::RouterRejection;
use residency::View;
use std::sync::atomic::Ordering;
use tokio::time::Instant;
use transport::now;

impl Ingress {
    /// The longest body that is accepted, by the settings and the rules in force.
    pub(super) fn body_limit_bytes(&self, view: &View) -> usize {
        self.router
            .settings
            .body_limit_bytes
            .min(usize::try_from(view.limits.body_limit_bytes).unwrap_or(usize::MAX))
    }

    /// Takes the request if this router has a lease, accepts requests, and has
    /// room for one more.
    ///
    /// # Errors
    /// [`RouterRejection`]: `HttpVersion`, `BodyTooLong`, `Starting`, `LeaseEnded`,
    /// `ShuttingDown`, `RouterFull`, `MemoryFull`, or of the body's reading.
    pub(super) async fn admit_by_capacity(
        &self,
        head: &http::request::Parts,
        body: &mut IncomingBody,
    ) -> Result<(), RouterRejection> {
        let router = &self.router;
        if head.version < http::Version::HTTP_11 {
            return Err(RouterRejection::HttpVersion);
        }
        if let Err(too_long) = body.check_length() {
            // No byte of the body has to arrive for that.
            router.lease.check()?;
            return Err(too_long);
        }
        if self.is_full() && !router.bodies.end_stalled() {
            // Cheap: nothing of the body is read for it.
            return Err(self.full());
        }
        if router.settings.buffered_body_bytes > 0 {
            // A client that reads only after it has sent its request gets a rejection when
            // the body is buffered, not while it still sends.
            let until = Instant::now() + router.settings.body_head_timeout;
            body.buffer(router.settings.buffered_body_bytes, until)
                .await?;
        }
        router.lease.check()?;
        if router.is_stopped.load(Ordering::Relaxed) {
            return Err(RouterRejection::ShuttingDown);
        }
        Ok(())
    }

    /// Whether more requests are in flight than may be; the one that asks is among them.
    fn is_full(&self) -> bool {
        self.router.in_flight.count() > self.router.settings.max_requests
    }

    fn full(&self) -> RouterRejection {
        RouterRejection::RouterFull {
            max_requests: self.router.settings.max_requests,
        }
    }

    /// Takes the request if this router doesn't drain, or the request is certain to end
    /// before the process does. What is accepted after the first part of the draining is
    /// noted for as long as the guard lives.
    ///
    /// # Errors
    /// [`RouterRejection::ShuttingDown`].
    pub(super) fn admit_by_drain(
        &self,
        id: &str,
        deadline_ms: u64,
    ) -> Result<Option<LateRequestGuard>, RouterRejection> {
        let now = now();
        let Some(drain) = self.router.drain.get() else {
            return Ok(None);
        };
        if !drain.admits(now, deadline_ms) {
            return Err(RouterRejection::ShuttingDown);
        }
        let is_late = !drain.accepts_all(now);
        Ok(is_late.then(|| {
            self.router.in_flight.note_late(LateRequest {
                id: id.into(),
                accepted_after_ms: drain.elapsed_ms(now),
                remaining_ms: deadline_ms.saturating_sub(now),
            })
        }))
    }
}
