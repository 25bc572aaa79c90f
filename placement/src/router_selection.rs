//! Which routers a client that looks a host up is sent to.
//!
//! Home regions bind a look-up as they bind a request: outside of the client's own region
//! only regions are named that are home to all of the host's routes that have homes. Where
//! none of these has a router to name, no router is named, and the client keeps what it has
//! or asks again.

use protocol::{RouterAvailability, RouterStatus};
use std::collections::BTreeSet;

/// A router whose last heartbeat is older than this is not named.
pub const MAX_HEARTBEAT_AGE_MS: u64 = 1_300;
/// A draining router may be named for this long, where no other router is left: it still
/// accepts requests, and the look-up's result has a short time to live.
pub const MAX_NAMED_DRAINING_MS: u64 = 1_500;

/// Most routers that one look-up names.
pub const MAX_NAMED_ROUTERS: usize = 64;

/// A router as a directory node knows it.
#[derive(Clone, Debug)]
pub struct ObservedRouter {
    /// Its last report.
    pub status: RouterStatus,
    /// How long ago it first reported that it is draining; `None` while it is not.
    pub draining_for_ms: Option<u64>,
}

/// Who looks a host up.
#[derive(Clone, Copy, Debug)]
pub struct LookupClient<'a> {
    /// The client's zone.
    pub zone: &'a str,
    /// The client's region.
    pub region: &'a str,
    /// The regions that are home to all of the host's routes that have homes; `None` if none
    /// of its routes has.
    pub homes: Option<&'a BTreeSet<String>>,
}

/// Where the routers were found that a look-up names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionScope {
    /// In the client's zone.
    Zone,
    /// In another zone of the client's region.
    Region,
    /// In a home region of the host, other than the client's.
    HomeRegions,
    /// In any region, since the host has no homes.
    AnyRegion,
}

/// The routers that a look-up names.
#[derive(Debug)]
pub struct RouterSelection<'a> {
    /// Where they were found; `None` if there are none.
    pub scope: Option<SelectionScope>,
    /// All of them are this available: the client may use none that is more so.
    pub availability: RouterAvailability,
    /// The routers, in the order of the argument.
    pub routers: Vec<&'a RouterStatus>,
}

/// The routers for a client: those that are ready, else those that have just begun to drain,
/// else those that had no lease; of these the ones of its zone, else of its region, else of the host's home regions, or of
/// any region if the host has no homes. Of more than [`MAX_NAMED_ROUTERS`] those are named that
/// `draw` decides, a random number: look-ups together name all of them alike.
pub fn select_routers<'a>(
    routers: &'a [ObservedRouter],
    client: &LookupClient,
    draw: u64,
) -> RouterSelection<'a> {
    let scopes = [
        SelectionScope::Zone,
        SelectionScope::Region,
        client.widest_scope(),
    ];
    for availability in [
        RouterAvailability::Ready,
        RouterAvailability::Draining,
        RouterAvailability::WithoutLease,
    ] {
        for scope in scopes {
            let selected: Vec<&RouterStatus> = routers
                .iter()
                .filter(|router| router.named_availability() == Some(availability))
                .map(|router| &router.status)
                .filter(|status| client.may_use_region(&status.region))
                .filter(|status| client.is_in_scope(status, scope))
                .collect();
            if !selected.is_empty() {
                return RouterSelection {
                    scope: Some(scope),
                    availability,
                    routers: spread(selected, draw),
                };
            }
        }
    }
    RouterSelection {
        scope: None,
        availability: RouterAvailability::Ready,
        routers: Vec::new(),
    }
}

/// At most [`MAX_NAMED_ROUTERS`] of these, at even distances from one that `draw` decides, in
/// the order of the argument.
fn spread(routers: Vec<&RouterStatus>, draw: u64) -> Vec<&RouterStatus> {
    let count = routers.len();
    if count <= MAX_NAMED_ROUTERS {
        return routers;
    }
    let first = (draw % count as u64) as usize;
    let mut places: Vec<usize> = (0..MAX_NAMED_ROUTERS)
        .map(|at| (first + at * count / MAX_NAMED_ROUTERS) % count)
        .collect();
    places.sort_unstable();
    places.into_iter().map(|place| routers[place]).collect()
}

impl ObservedRouter {
    /// What it does with new requests; `None` where no look-up may name it.
    fn named_availability(&self) -> Option<RouterAvailability> {
        let is_heard = self.status.epoch > 0 && self.status.age_ms < MAX_HEARTBEAT_AGE_MS;
        let has_drained = self
            .draining_for_ms
            .is_some_and(|draining_for_ms| draining_for_ms >= MAX_NAMED_DRAINING_MS);
        (is_heard && !has_drained).then_some(self.status.availability)
    }
}

impl LookupClient<'_> {
    /// Whether a router in this region may get the client's requests: it is the client's
    /// own, a home region, or the host has no homes.
    pub fn may_use_region(&self, region: &str) -> bool {
        let is_home = |homes: &BTreeSet<String>| homes.contains(region);
        region == self.region || self.homes.is_none_or(is_home)
    }

    fn widest_scope(&self) -> SelectionScope {
        match self.homes {
            Some(_) => SelectionScope::HomeRegions,
            None => SelectionScope::AnyRegion,
        }
    }

    /// Of the routers in regions that it may use.
    fn is_in_scope(&self, router: &RouterStatus, scope: SelectionScope) -> bool {
        match scope {
            SelectionScope::Zone => router.zone == self.zone,
            SelectionScope::Region => router.region == self.region,
            SelectionScope::HomeRegions | SelectionScope::AnyRegion => true,
        }
    }
}
