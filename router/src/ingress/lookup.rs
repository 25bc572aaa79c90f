//! Lookup: the mapping of a routing key, from the cache tiers or a directory node.

use super::identify::RoutingKey;
use super::Ingress;
use crate::cache_tiers::{Lookup, LookupPermit};
use crate::forwarding::{self, ForwardOutcome};
use crate::regional_cache;
use crate::rejection::RouterRejection;
use crate::router::Router;
use dispatch::{RequestBody, RequestParts};
use placement::{CacheLookup, ExecutionOutcome, RequestState, RequestStateMachine};
use protocol::LookupResponse;
use residency::Mapping;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use transport::http_server::Response;
use transport::now;
use transport::rejection::{self, Rejection};

/// How long a request waits for the mapping that another one looks up.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a directory node may take to resolve a key.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Refreshes behind stale hits are spread over about this time.
const REFRESH_DELAY_MS: u64 = 20;

/// What a lookup gave.
pub enum Found {
    /// The mapping; this router dispatches by it.
    Mapping(Mapping),
    /// A directory node took the whole request, and this is its response.
    Response(Response),
}

impl Ingress {
    /// The mapping of a key: from the local cache, the region's, or a directory
    /// node.
    ///
    /// # Errors
    /// The key resolves to nothing, or no directory node responds in time.
    pub(super) async fn look_up(
        &self,
        state: &mut RequestStateMachine,
        parts: &RequestParts,
        body: &mut RequestBody,
        routing_key: &RoutingKey,
    ) -> Result<Found, Rejection> {
        let key = residency::routing_key(&routing_key.tenant, &routing_key.service);
        let looking_up = self.look_up_cached(&key, routing_key);
        match self.read_ahead_during(body, looking_up).await? {
            Some(mapping) => Ok(Found::Mapping(mapping)),
            None => {
                self.look_up_missing(state, parts, body, &key, routing_key)
                    .await
            }
        }
    }

    /// What the cache tiers hold. A stale hit is used at once and refreshed behind.
    async fn look_up_cached(&self, key: &str, routing_key: &RoutingKey) -> Option<Mapping> {
        let router = &self.router;
        match router.cache_tiers.get_local(key) {
            CacheLookup::Fresh(mapping) => {
                router.metrics.increment("own-fresh");
                return Some(mapping);
            }
            CacheLookup::Stale(mapping) => {
                router.metrics.increment("own-stale");
                self.refresh(key, routing_key);
                return Some(mapping);
            }
            CacheLookup::Miss => {}
        }
        match regional_cache::look_up(router, key).await {
            CacheLookup::Fresh(mapping) => {
                router.metrics.increment("shared-fresh");
                router.cache_tiers.insert_local(&mapping);
                Some(mapping)
            }
            CacheLookup::Stale(mapping) => {
                router.metrics.increment("shared-stale");
                self.refresh(key, routing_key);
                Some(mapping)
            }
            CacheLookup::Miss => {
                router.metrics.increment("misses");
                None
            }
        }
    }

    /// Resolves a key behind the request that used its stale mapping, unless that is
    /// under way.
    fn refresh(&self, key: &str, routing_key: &RoutingKey) {
        let Lookup::Lead(permit) = self.router.cache_tiers.join_or_lead(key) else {
            return;
        };
        let router = Arc::clone(&self.router);
        let (tenant, service) = (routing_key.tenant.clone(), routing_key.service.clone());
        tokio::spawn(async move {
            tokio::time::sleep(transport::jitter(REFRESH_DELAY_MS)).await;
            router.metrics.increment("refreshes");
            resolve(&router, &permit, &tenant, &service).await;
        });
    }

    /// A miss: one request per key goes to a directory node, the others wait for the
    /// mapping that it publishes.
    async fn look_up_missing(
        &self,
        state: &mut RequestStateMachine,
        parts: &RequestParts,
        body: &mut RequestBody,
        key: &str,
        routing_key: &RoutingKey,
    ) -> Result<Found, Rejection> {
        let router = &self.router;
        let joining = self.join_or_lead(key, parts.deadline_ms);
        let permit = match self.read_ahead_during(body, joining).await?? {
            Joined::Mapping(mapping) => return Ok(Found::Mapping(mapping)),
            Joined::Lead(permit) => permit,
        };
        if router.settings.resolves_by_key_only {
            let resolving = self.look_up_by_key(state, &permit, routing_key);
            return self.read_ahead_during(body, resolving).await?;
        }
        let tenant = Some(routing_key.tenant.as_str());
        match forwarding::forward(router, state, parts, body, tenant, Some(&permit)).await {
            ForwardOutcome::Response(response) => return Ok(Found::Response(response)),
            ForwardOutcome::Mapping(mapping) => return Ok(Found::Mapping(mapping)),
            // The node was lost, but the request is idempotent, still whole here, and
            // in the retry budget: by the key alone, so that no second node has to be
            // found that may see the body.
            ForwardOutcome::Refused(_)
                if state.state() == RequestState::Identified
                    && body.is_intact()
                    && (router.dispatcher.retry_budget)(&routing_key.service) =>
            {
                router.metrics.increment("retries");
                log::info!(job = parts.id.as_str(); "retrying the request");
            }
            ForwardOutcome::Refused(rejection) => return Err(rejection),
            ForwardOutcome::Unreachable => {}
        }
        let resolving = self.look_up_by_key(state, &permit, routing_key);
        self.read_ahead_during(body, resolving).await?
    }

    /// Does a part of a lookup while the client's body is read, so that a client that
    /// leaves meanwhile is noticed.
    async fn read_ahead_during<T>(
        &self,
        body: &mut RequestBody,
        work: impl Future<Output = T>,
    ) -> Result<T, RouterRejection> {
        let done = body.read_ahead_during(&self.router.read_ahead, work).await;
        done.map_err(|error| RouterRejection::BodyUnreadable {
            cause: error.to_string(),
        })
    }

    /// Leads the lookup of a key, or waits for the one that leads it.
    async fn join_or_lead(&self, key: &str, deadline_ms: u64) -> Result<Joined, RouterRejection> {
        let router = &self.router;
        loop {
            match router.cache_tiers.join_or_lead(key) {
                Lookup::Lead(permit) => return Ok(Joined::Lead(permit)),
                Lookup::Join(mut published) => {
                    router.metrics.increment("joined");
                    let wait = published.wait_for(|mapping| mapping.is_some());
                    match tokio::time::timeout(JOIN_TIMEOUT, wait).await {
                        Ok(Ok(mapping)) => {
                            let mapping = mapping.clone().expect("waited for until it is there");
                            if !router.cache_tiers.is_invalidated(&mapping) {
                                return Ok(Joined::Mapping(mapping));
                            }
                        }
                        // The leader went without a mapping; lead in its place.
                        Ok(Err(_)) => {}
                        Err(_) => return Err(RouterRejection::LookupTimedOut),
                    }
                }
            }
            if now() >= deadline_ms {
                let outcome = ExecutionOutcome::NotRun;
                return Err(RouterRejection::DeadlinePassed { outcome });
            }
        }
    }

    /// Resolves by the key alone, at the session's directory node: the request's
    /// body stays here.
    async fn look_up_by_key(
        &self,
        state: &RequestStateMachine,
        permit: &LookupPermit,
        routing_key: &RoutingKey,
    ) -> Result<Found, Rejection> {
        let router = &self.router;
        router.metrics.increment("key-only");
        match resolve(router, permit, &routing_key.tenant, &routing_key.service).await {
            LookupResponse::Found(mapping) => Ok(Found::Mapping(mapping)),
            LookupResponse::NotFound { code, text } => Err(Rejection {
                outcome: state.outcome(),
                ..rejection::lookup_rejection(&code.0, text.0)
            }),
            LookupResponse::Unavailable => Err(RouterRejection::DirectoryUnavailable {
                outcome: state.outcome(),
            }
            .into()),
        }
    }

    /// Forwards a request whose routing key lies past the cap of what is read here to
    /// a directory node that may see its body.
    ///
    /// # Errors
    /// [`RouterRejection::NoDirectoryForBody`], or the directory node's rejection.
    pub(super) async fn forward_without_key(
        &self,
        mut state: RequestStateMachine,
        parts: &RequestParts,
        body: &mut RequestBody,
        tenant: Option<&str>,
    ) -> Result<Response, Rejection> {
        self.router.metrics.increment("unkeyed");
        match forwarding::forward(&self.router, &mut state, parts, body, tenant, None).await {
            ForwardOutcome::Response(response) => Ok(response),
            ForwardOutcome::Refused(rejection) => Err(rejection),
            ForwardOutcome::Mapping(_) | ForwardOutcome::Unreachable => {
                Err(RouterRejection::NoDirectoryForBody.into())
            }
        }
    }
}

/// What came of joining a lookup.
enum Joined {
    /// The mapping that another request looked up.
    Mapping(Mapping),
    /// This request looks it up.
    Lead(LookupPermit),
}

/// Asks the session's directory node; a mapping goes to the caches and to those who
/// wait.
async fn resolve(
    router: &Router,
    permit: &LookupPermit,
    tenant: &str,
    service: &str,
) -> LookupResponse {
    let region = &router.settings.region;
    let response = router
        .pending_lookups
        .resolve(tenant, service, region, RESOLVE_TIMEOUT)
        .await;
    if let LookupResponse::Found(mapping) = &response {
        regional_cache::insert(router, mapping);
        permit.publish(mapping);
    }
    response
}
