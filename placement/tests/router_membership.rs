//! Membership updates: both ends hold the same, and little is sent.

use consensus::Member;
use placement::RouterMembership;
use protocol::{RegistryUpdate, RouterAvailability, RouterStatus};

fn status(number: u64, epoch: u64, is_leaving: bool, age_ms: u64) -> RouterStatus {
    RouterStatus {
        name: format!("router-{number}"),
        region: "north".into(),
        zone: "north-a".into(),
        client_address: format!("127.0.0.{number}:1"),
        peer_address: format!("127.0.0.{number}:2"),
        epoch,
        age_ms,
        availability: match is_leaving {
            true => RouterAvailability::Draining,
            false => RouterAvailability::Ready,
        },
    }
}

fn members(count: u64) -> Vec<Member> {
    let member = |identity| Member {
        identity,
        name: format!("node-{identity}"),
        region: "north".into(),
        zone: "north-a".into(),
        address: format!("127.0.1.{identity}:1"),
        operator_address: format!("127.0.1.{identity}:2"),
    };
    (1..=count).map(member).collect()
}

fn announced(membership: &RouterMembership) -> Vec<(String, String, bool, bool)> {
    let announced = |router: &RouterStatus| {
        (
            router.name.clone(),
            router.peer_address.clone(),
            router.epoch > 0,
            router.is_draining(),
        )
    };
    membership.routers().map(announced).collect()
}

/// Guards: a router knows what a full list would tell it, whatever routers start, leave and
/// restart, and whichever updates are not sent because the queue is full.
#[test]
fn both_ends_hold_the_full_list() {
    for seed in 0..200 {
        let mut state: u64 = seed * 7_919 + 1;
        let mut draw = |below: u64| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888);
            (state >> 33) % below
        };
        let (mut node, mut router) = (RouterMembership::default(), RouterMembership::default());
        let mut there: Vec<RouterStatus> = Vec::new();
        let mut nodes = 1;
        for step in 0..200 {
            match draw(6) {
                0 => there.push(status(step + 1, 0, false, 0)),
                1 if !there.is_empty() => drop(there.remove(draw(there.len() as u64) as usize)),
                2 if !there.is_empty() => {
                    let at = draw(there.len() as u64) as usize;
                    there[at].availability = match there[at].is_draining() {
                        true => RouterAvailability::WithoutLease,
                        false => RouterAvailability::Draining,
                    };
                }
                3 if !there.is_empty() => {
                    let at = draw(there.len() as u64) as usize;
                    there[at].epoch += draw(2);
                }
                4 => nodes = 1 + draw(5),
                _ => {}
            }
            if draw(40) == 0 {
                // Another session: its node has sent this router nothing yet.
                node = RouterMembership::default();
            }
            let update = node.update_to(there.clone(), members(nodes));
            if draw(5) == 0 {
                continue;
            }
            node.apply(&update);
            router.apply(&update);
            let mut wanted = RouterMembership::default();
            wanted.apply(&RouterMembership::default().update_to(there.clone(), members(nodes)));
            assert_eq!(
                announced(&router),
                announced(&wanted),
                "seed {seed}, step {step}"
            );
            assert_eq!(
                router.directory_nodes(),
                members(nodes),
                "seed {seed}, step {step}"
            );
        }
    }
}

#[test]
fn ages_and_epochs_are_not_sent_again() {
    let list = |epoch, age| {
        (1..=350)
            .map(|n| status(n, epoch, false, age))
            .collect::<Vec<_>>()
    };
    let mut node = RouterMembership::default();
    let first = node.update_to(list(1, 0), members(8));
    assert_eq!(
        (
            first.is_full,
            first.routers.len(),
            first.directory_nodes.len()
        ),
        (true, 350, 8)
    );
    node.apply(&first);
    let nothing = RegistryUpdate {
        is_full: false,
        routers: Vec::new(),
        removed_routers: Vec::new(),
        directory_nodes: Vec::new(),
    };
    assert_eq!(node.update_to(list(2, 700), members(8)), nothing);
    assert_eq!(node.empty_update(), nothing);
    let length = protocol::encode(&protocol::Frame::RegistryUpdate(nothing)).len();
    assert!(
        length <= 32,
        "an update without changes takes {length} bytes"
    );
}
