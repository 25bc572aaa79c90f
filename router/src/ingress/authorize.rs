//! Authorization: the tenant of a key, and the claim on the request's id.

use super::claims::RequestClaim;
use super::Ingress;
use crate::rejection::RouterRejection;
use policy::{ExtractedKey, KeyField};
use residency::View;

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

impl Ingress {
    /// Claims the request's id for its tenant key, so that a second arrival of it
    /// doesn't run beside the first. `client` is `None` for a public route, where
    /// nothing is claimed.
    ///
    /// # Errors
    /// [`RouterRejection::DuplicateRequest`].
    pub(super) fn authorize(
        &self,
        client: Option<&Client>,
        request_id: &str,
    ) -> Result<Option<RequestClaim>, RouterRejection> {
        client
            .map(|client| RequestClaim::new(&self.claims, &client.key_fingerprint, request_id))
            .transpose()
    }
}
