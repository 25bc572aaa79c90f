//! Authorization: the tenant of a key, and the claim on a request's id.

use super::identify::Identified;
use super::Ingress;
use crate::rejection::RouterRejection;
use parking_lot::Mutex;
use policy::{ExtractedKey, KeyField};
use residency::View;
use std::collections::HashSet;
use std::sync::Arc;

/// The tenant that sends a request, and the fingerprint of the key that says so.
/// Both are empty for a public route.
#[derive(Clone)]
pub struct Client {
    pub tenant: String,
    pub key_fingerprint: String,
}

impl Client {
    /// The client of a public route.
    pub fn public() -> Client {
        Client {
            tenant: String::new(),
            key_fingerprint: String::new(),
        }
    }

    /// The owner of the key that was extracted, or `None` where no key was found
    /// yet. A request with an unknown key goes no further.
    ///
    /// # Errors
    /// [`RouterRejection::TenantKeyUnknown`].
    pub fn of_key(view: &View, extract: &ExtractedKey) -> Result<Option<Client>, RouterRejection> {
        let KeyField::Known(key) = &extract.tenant else {
            return Ok(None);
        };
        let key_fingerprint = policy::sha256_hex(key);
        let tenant = view
            .keys
            .get(&key_fingerprint)
            .ok_or(RouterRejection::TenantKeyUnknown)?;
        Ok(Some(Client {
            tenant: tenant.clone(),
            key_fingerprint,
        }))
    }
}

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
    fn new(claims: &Arc<RequestClaims>, key: ClaimKey) -> Result<RequestClaim, RouterRejection> {
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

impl Ingress {
    /// Claims the request's id for its tenant key, so that a second arrival of it
    /// doesn't run beside the first. None for a public route.
    ///
    /// # Errors
    /// [`RouterRejection::DuplicateRequest`].
    pub(super) fn claim_id(
        &self,
        identified: &Identified,
        request_id: &str,
    ) -> Result<Option<RequestClaim>, RouterRejection> {
        let Some(client) = identified.authenticated_client() else {
            return Ok(None);
        };
        let key = ClaimKey {
            key_fingerprint: client.key_fingerprint.clone(),
            request_id: request_id.to_string(),
        };
        RequestClaim::new(&self.claims, key).map(Some)
    }
}
