//! Which routers a client may use, the nearest first: the page `/where`.

use crate::rejection::RouterRejection;
use crate::router::Router;
use protocol::RouterStatus;
use residency::View;
use transport::http_server::{self, Request, Response};

/// A router that the client may use, with what it is sorted by.
struct Candidate<'a> {
    /// 0 in the client's zone, 1 in its region, 2 elsewhere.
    distance: u8,
    /// The place of its region in the tenant's list.
    home: usize,
    /// Spreads clients over routers that are equally near.
    draw: u32,
    router: &'a RouterStatus,
}

/// Answers with the routers that the client may use, in the order to try them.
///
/// # Errors
/// No valid lease, a missing or unknown tenant key, an unknown zone, no router.
pub fn lookup_routers(router: &Router, request: &Request) -> Result<Response, RouterRejection> {
    router.lease.check()?;
    let view = router.view.borrow().clone();
    let key = tenant_key(request).ok_or(RouterRejection::TenantKeyMissingInLookup)?;
    let tenant = view
        .keys
        .get(&policy::sha256_hex(key))
        .ok_or(RouterRejection::TenantKeyUnknown)?;
    let zone =
        http_server::query_parameter(request.uri(), "zone").unwrap_or(router.settings.zone.clone());
    let Some(region) = view.zones.get(&zone) else {
        return Err(RouterRejection::ZoneUnknown { zone });
    };
    let membership = router.membership.read();
    let candidates = candidates(membership.routers(), &view, tenant, &zone, region);
    if candidates.is_empty() {
        return Err(RouterRejection::NoRouter);
    }
    let routers: Vec<simd_json::OwnedValue> = candidates
        .iter()
        .map(|candidate| {
            simd_json::json!({
                "name": candidate.router.name.clone(),
                "zone": candidate.router.zone.clone(),
                "region": candidate.router.region.clone(),
                "door": candidate.router.client_address.clone(),
            })
        })
        .collect();
    Ok(http_server::json(
        200,
        &simd_json::json!({ "zone": zone, "routers": routers }),
    ))
}

fn tenant_key(request: &Request) -> Option<&str> {
    let text = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let bearer = || text("authorization").and_then(|value| value.strip_prefix("Bearer "));
    text("x-tenant-key").or_else(bearer)
}

/// The routers that a tenant's client in this zone may use, the nearest first. A
/// body may be seen in the client's own region and in the tenant's home regions.
fn candidates<'a>(
    routers: impl Iterator<Item = &'a RouterStatus>,
    view: &View,
    tenant: &str,
    zone: &str,
    region: &str,
) -> Vec<Candidate<'a>> {
    let homes: Vec<&str> = view.tenants.get(tenant).map_or(Vec::new(), |terms| {
        terms.homes.iter().map(|home| home.0.as_str()).collect()
    });
    let mut candidates: Vec<Candidate> = routers
        .filter(|router| !router.is_draining() && !view.evacuated.contains(&router.zone))
        .filter_map(|router| {
            let home = homes.iter().position(|home| *home == router.region);
            let is_allowed = homes.is_empty() || home.is_some() || router.region == region;
            let distance = match () {
                _ if router.zone == zone => 0,
                _ if router.region == region => 1,
                _ => 2,
            };
            let draw = rand::random();
            is_allowed.then(|| Candidate {
                distance,
                home: home.unwrap_or(0),
                draw,
                router,
            })
        })
        .collect();
    candidates.sort_by_key(|candidate| (candidate.distance, candidate.home, candidate.draw));
    candidates
}
