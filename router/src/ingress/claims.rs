//! Which request ids are in flight, so that no request runs twice at a time.

use crate::rejection::RouterRejection;
use parking_lot::Mutex;
use std::collections::HashSet;
use std::sync::Arc;

/// A request's id within its tenant key.
#[derive(Clone, PartialEq, Eq, Hash)]
struct ClaimKey {
    key_fingerprint: String,
    request_id: String,
}

/// The ids of requests in flight.
#[derive(Default)]
pub struct RequestClaims(Mutex<HashSet<ClaimKey>>);

/// An id that is in flight here, for one tenant key; released when dropped.
pub struct RequestClaim {
    claims: Arc<RequestClaims>,
    key: ClaimKey,
}

impl RequestClaim {
    /// Claims an id.
    ///
    /// # Errors
    /// [`RouterRejection::DuplicateRequest`] while another request holds it.
    pub fn new(
        claims: &Arc<RequestClaims>,
        key_fingerprint: &str,
        request_id: &str,
    ) -> Result<RequestClaim, RouterRejection> {
        let key = ClaimKey {
            key_fingerprint: key_fingerprint.into(),
            request_id: request_id.into(),
        };
        if !claims.0.lock().insert(key.clone()) {
            return Err(RouterRejection::DuplicateRequest);
        }
        Ok(RequestClaim {
            claims: Arc::clone(claims),
            key,
        })
    }
}

impl Drop for RequestClaim {
    fn drop(&mut self) {
        self.claims.0.lock().remove(&self.key);
    }
}
