//! Where the requests for a host may be sent, over all of its routes.

use policy::{compile, normalized_host, HostHomes};
use std::collections::BTreeSet;

const RULES: &str = r#"
door front at "/" tenant bearer
route one   on front any "/one/*"   to service web once host "a.example" homes "north,south"
route two   on front any "/two/*"   to service web once host "a.example" homes "south,east"
route three on front any "/three/*" to service web once host "a.example"
route four  on front any "/four/*"  to service web once host "b.example"
route five  on front any "/five/*"  to service web once host "c.example" homes "north"
route six   on front any "/six/*"   to service web once host "c.example" homes "east"
"#;

#[test]
fn a_hosts_homes_are_those_of_all_its_routes_that_have_homes() {
    let program = compile(RULES).expect("the rules compile");
    let regions =
        |names: &[&str]| HostHomes::Regions(names.iter().map(|name| name.to_string()).collect());
    assert_eq!(program.host_homes("a.example"), regions(&["south"]));
    assert_eq!(program.host_homes("b.example"), HostHomes::AnyRegion);
    assert_eq!(
        program.host_homes("c.example"),
        HostHomes::Regions(BTreeSet::new())
    );
}

#[test]
fn a_host_is_found_by_each_of_its_spellings() {
    let program = compile(RULES).expect("the rules compile");
    for spelling in ["a.example", "A.Example", "a.example:8080", "a.example."] {
        let host = normalized_host(spelling);
        assert!(program.knows_host(&host), "{spelling}");
        let south = BTreeSet::from(["south".to_string()]);
        assert_eq!(program.host_homes(&host), HostHomes::Regions(south));
    }
}

/// Guards: a name that no route has does not lift the homes.
#[test]
fn a_host_without_routes_is_held_to_the_homes_of_all() {
    let program = compile(RULES).expect("the rules compile");
    assert!(!program.knows_host("d.example"));
    assert_eq!(
        program.host_homes("d.example"),
        HostHomes::Regions(BTreeSet::new())
    );
    let without_homes = compile("").expect("an empty text compiles");
    assert_eq!(without_homes.host_homes("d.example"), HostHomes::AnyRegion);
}
