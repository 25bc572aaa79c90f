//! Which routers a client that looks a host up is sent to.

use placement::{
    LookupClient, ObservedRouter, SelectionScope, MAX_NAMED_DRAINING_MS, MAX_NAMED_ROUTERS,
};
use protocol::{RouterAvailability, RouterStatus};
use std::collections::{BTreeMap, BTreeSet};

fn select(routers: &[ObservedRouter], client: &LookupClient) -> Vec<String> {
    let selection = placement::select_routers(routers, client, 0);
    let addresses = selection.routers.iter();
    addresses
        .map(|router| router.client_address.clone())
        .collect()
}

fn select_routers(routers: &[ObservedRouter], zone: &str, region: &str) -> Vec<String> {
    let client = LookupClient {
        zone,
        region,
        homes: None,
    };
    select(routers, &client)
}

/// For a client in the zone w-1 of this region, of a host with these homes.
fn select_with_homes(routers: &[ObservedRouter], region: &str, homes: &[&str]) -> Vec<String> {
    let homes: BTreeSet<String> = homes.iter().map(|home| home.to_string()).collect();
    let client = LookupClient {
        zone: "w-1",
        region,
        homes: Some(&homes),
    };
    select(routers, &client)
}

fn front(name: &str, zone: &str, region: &str) -> ObservedRouter {
    let status = RouterStatus {
        name: name.into(),
        region: region.into(),
        zone: zone.into(),
        client_address: format!("{name}:80"),
        peer_address: format!("{name}:81"),
        epoch: 3,
        age_ms: 200,
        availability: RouterAvailability::Ready,
    };
    ObservedRouter {
        status,
        draining_for_ms: None,
    }
}

fn drain(router: &mut ObservedRouter, for_ms: u64) {
    router.status.availability = RouterAvailability::Draining;
    router.draining_for_ms = Some(for_ms);
}

fn one_in_each_of_three_regions() -> [ObservedRouter; 3] {
    [
        front("a", "n-1", "north"),
        front("b", "s-1", "south"),
        front("c", "e-1", "east"),
    ]
}

#[test]
fn the_near_ones_that_are_ready() {
    let all = || {
        vec![
            front("a", "n-1", "north"),
            front("b", "n-2", "north"),
            front("c", "s-1", "south"),
        ]
    };
    let spoilt = |spoil: fn(&mut ObservedRouter)| {
        let mut list = all();
        spoil(&mut list[0]);
        select_routers(&list, "n-1", "north")
    };
    assert_eq!(
        select_routers(&all(), "n-1", "north"),
        ["a:80"],
        "of the zone"
    );
    assert_eq!(
        select_routers(&all(), "n-9", "north"),
        ["a:80", "b:80"],
        "else of the region"
    );
    assert_eq!(
        select_routers(&all(), "w-1", "west"),
        ["a:80", "b:80", "c:80"],
        "else all"
    );
    assert_eq!(spoilt(|front| drain(front, 0)), ["b:80"]);
    assert_eq!(
        spoilt(|front| front.status.epoch = 0),
        ["b:80"],
        "it has no configuration yet"
    );
    assert_eq!(
        spoilt(|front| front.status.age_ms = 2_000),
        ["b:80"],
        "it is not heard"
    );
    assert!(select_routers(&[], "n-1", "north").is_empty());
    let many: Vec<ObservedRouter> = (0..100)
        .map(|at| front(&format!("f{at}"), "n-1", "north"))
        .collect();
    assert_eq!(select_routers(&many, "n-1", "north").len(), 64);
    assert_eq!(MAX_NAMED_ROUTERS, 64);
}

/// Guards: the clients of a region without routers are all sent to the routers whose names come
/// first, so that one region of a large fleet gets all of their requests.
#[test]
fn look_ups_of_many_routers_name_all_of_them_alike() {
    let mut routers: Vec<ObservedRouter> = Vec::new();
    for (region, zone) in [("north", "n-1"), ("south", "s-1")] {
        routers.extend((0..97).map(|at| front(&format!("{zone}-{at:02}"), zone, region)));
    }
    let client = LookupClient {
        zone: "w-1",
        region: "west",
        homes: None,
    };
    let mut namings: BTreeMap<&str, usize> = BTreeMap::new();
    for draw in 0..routers.len() as u64 {
        let selection = placement::select_routers(&routers, &client, draw);
        assert_eq!(selection.routers.len(), MAX_NAMED_ROUTERS);
        let in_north = selection
            .routers
            .iter()
            .filter(|router| router.region == "north");
        assert!((31..=33).contains(&in_north.count()), "draw {draw}");
        for router in selection.routers {
            *namings.entry(router.name.as_str()).or_default() += 1;
        }
    }
    assert_eq!(namings.len(), routers.len(), "each is named");
    assert!(namings.values().all(|count| *count == MAX_NAMED_ROUTERS));
}

/// Guards: a client whose region has no ready router, as while its only one restarts, is
/// sent to a home region of the host's routes rather than to any region.
#[test]
fn a_client_without_a_router_of_its_region_gets_those_of_the_homes() {
    let routers = one_in_each_of_three_regions();
    let select = |region: &str, homes: &[&str]| select_with_homes(&routers, region, homes);
    assert_eq!(select("west", &["west", "south"]), ["b:80"]);
    assert_eq!(select("west", &["north", "south"]), ["a:80", "b:80"]);
    assert_eq!(select("east", &["south"]), ["c:80"], "the own region first");
}

/// Guards: home regions never widen. Where neither the client's region nor a home region has
/// a ready router, none is named, however many are ready elsewhere.
#[test]
fn a_host_with_homes_is_never_led_elsewhere() {
    let routers = one_in_each_of_three_regions();
    let select = |region: &str, homes: &[&str]| select_with_homes(&routers, region, homes);
    let none: [&str; 0] = [];
    assert_eq!(select("west", &["west"]), none, "no home has a router");
    assert_eq!(
        select("west", &[]),
        none,
        "its routes have no home in common"
    );
    assert_eq!(select("east", &[]), ["c:80"], "the own region is allowed");
}

/// Guards: while every router that a client may use is draining, those that have just begun
/// are named, and only within the home regions; a ready one anywhere there goes first.
#[test]
fn routers_that_have_just_begun_to_drain_are_the_last_resort() {
    let mut routers = one_in_each_of_three_regions();
    drain(&mut routers[0], MAX_NAMED_DRAINING_MS - 1);
    let select = |routers: &[ObservedRouter], region: &str, homes: &[&str]| {
        select_with_homes(routers, region, homes)
    };
    assert_eq!(select(&routers, "north", &["north"]), ["a:80"]);
    assert_eq!(select(&routers, "north", &["north", "south"]), ["b:80"]);
    assert_eq!(select(&routers, "west", &["north"]), ["a:80"]);
    assert_eq!(select_routers(&routers, "n-1", "north"), ["b:80", "c:80"]);
    drain(&mut routers[0], MAX_NAMED_DRAINING_MS);
    let none: [&str; 0] = [];
    assert_eq!(select(&routers, "north", &["north"]), none, "it soon ends");
    drain(&mut routers[1], 0);
    drain(&mut routers[2], 0);
    assert_eq!(select_routers(&routers, "n-1", "north"), ["b:80", "c:80"]);
}

/// Guards: a client is not sent to a router that refuses it while another one would serve
/// it; where none would, those are named that may get a lease at any moment.
#[test]
fn routers_without_a_lease_are_named_after_those_that_serve() {
    let mut routers = one_in_each_of_three_regions();
    routers[0].status.availability = RouterAvailability::WithoutLease;
    let select =
        |routers: &[ObservedRouter], homes: &[&str]| select_with_homes(routers, "north", homes);
    assert_eq!(select(&routers, &["north", "south"]), ["b:80"]);
    drain(&mut routers[1], 0);
    assert_eq!(select(&routers, &["north", "south"]), ["b:80"]);
    drain(&mut routers[1], MAX_NAMED_DRAINING_MS);
    assert_eq!(select(&routers, &["north", "south"]), ["a:80"]);
    assert_eq!(select(&routers, &["north"]), ["a:80"]);
    assert_eq!(select_routers(&routers, "n-1", "north"), ["c:80"]);
}

/// Guards: the homes hold for a router of the client's zone, too, where a zone's name stands
/// in two regions or the client names no region.
#[test]
fn a_zone_does_not_lift_the_homes() {
    let routers = one_in_each_of_three_regions();
    let homes = BTreeSet::from(["south".to_string()]);
    let client = LookupClient {
        zone: "n-1",
        region: "",
        homes: Some(&homes),
    };
    assert_eq!(select(&routers, &client), ["b:80"]);
}

/// A selection states where its routers were found.
#[test]
fn the_scope_of_a_selection_is_stated() {
    let mut routers = one_in_each_of_three_regions();
    let homes = BTreeSet::from(["north".to_string()]);
    let scope = |routers: &[ObservedRouter], zone: &str, region: &str, has_homes: bool| {
        let client = LookupClient {
            zone,
            region,
            homes: has_homes.then_some(&homes),
        };
        let selection = placement::select_routers(routers, &client, 0);
        (selection.scope, selection.availability)
    };
    let ready = |scope: SelectionScope| (Some(scope), RouterAvailability::Ready);
    assert_eq!(
        scope(&routers, "n-1", "north", true),
        ready(SelectionScope::Zone)
    );
    assert_eq!(
        scope(&routers, "n-2", "north", true),
        ready(SelectionScope::Region)
    );
    assert_eq!(
        scope(&routers, "w-1", "west", true),
        ready(SelectionScope::HomeRegions)
    );
    assert_eq!(
        scope(&routers, "w-1", "west", false),
        ready(SelectionScope::AnyRegion)
    );
    drain(&mut routers[0], 0);
    assert_eq!(
        scope(&routers, "w-1", "west", true),
        (
            Some(SelectionScope::HomeRegions),
            RouterAvailability::Draining
        )
    );
    assert_eq!(scope(&[], "w-1", "west", true).0, None);
}
