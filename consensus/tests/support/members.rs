//! Members and memberships of test clusters.

use consensus::{Member, Membership};

/// A member in a zone of its own, all in one region.
pub fn member(identity: u64) -> Member {
    Member {
        identity,
        name: format!("node-{identity}"),
        region: "north".into(),
        zone: format!("zone-{identity}"),
        address: String::new(),
        operator_address: String::new(),
    }
}

/// The member on machine number `at`; machines are spread over three regions.
pub fn member_on_machine(at: usize, identity: u64) -> Member {
    Member {
        name: format!("node-{at}"),
        region: format!("region-{}", at % 3),
        zone: format!("zone-{}", at % 3),
        address: format!("10.0.0.{at}:1"),
        ..member(identity)
    }
}

/// A membership of these voters.
pub fn membership(voters: impl IntoIterator<Item = Member>) -> Membership {
    Membership {
        voters: voters.into_iter().collect(),
        ..Membership::default()
    }
}
