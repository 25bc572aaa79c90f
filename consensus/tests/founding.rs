//! A first seed founds, the others ask to be let in: in virtual time, over links
//! of 55 ms, with a founder that ends while it is at it.

mod common;

use common::{member, Due, World, DELAY, START};
use consensus::node::{Node, PersistedState, Role, Timing};
use consensus::EntryPayload;

/// Guards: the first configuration is taken well before traffic begins; between
/// two times at which a node is due it has nothing to do.
#[test]
fn five_nodes_found_one_cluster_quickly() {
    for seed in 1..=20 {
        let mut world = World::new(5);
        for at in 0..5 {
            let late = (seed * 37 + at as u64 * 61) % 300;
            world.due(late, Due::Up(at));
        }
        let three = world.run(4_000, |w| {
            w.machines.iter().all(|m| m.node.is_some()) && w.voters() >= 3
        });
        let three = three.expect("three voters, known to all");
        assert!(three < 2_500, "seed {seed}: three voters after {three} ms");
        let five = world.run(6_000, |w| w.voters() == 5).expect("five voters");
        assert!(five < 4_000, "seed {seed}: five voters after {five} ms");
        assert_eq!(world.clusters().len(), 1);
    }
}

/// Guards: a founder that ends while it founds goes on from its disk; nobody
/// else founds, and there is one cluster in the end.
#[test]
fn a_founder_that_crashes_goes_on() {
    for seed in 0..60 {
        let mut world = World::new(5);
        for at in 0..5 {
            world.due(1 + at as u64 * 13, Due::Up(at));
        }
        let crash = 1 + seed * 29;
        world.due(crash, Due::Down(0));
        world.due(crash + 300, Due::Up(0));
        let all = world.run(12_000, |w| w.now > START + crash + 400 && w.voters() == 5);
        assert!(all.is_some(), "seed {seed}: no five voters");
        assert_eq!(world.clusters().len(), 1, "seed {seed}");
    }
}

/// Guards: one cluster is founded between the seeds whatever the weather: nodes
/// begin up to a second and a half apart, any of them end and come back, the founder
/// among them, and messages are lost while it lasts.
#[test]
fn one_cluster_is_founded_in_every_weather() {
    for seed in (1..=400u64).chain([1332]) {
        let mut world = World::new(5);
        world.draws = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        world.loss = world.draw(25);
        for at in 0..5 {
            let late = 1 + world.draw(1_500);
            world.due(late, Due::Up(at));
        }
        for _ in 0..world.draw(4) {
            let at = if world.draw(2) == 0 {
                0
            } else {
                world.draw(5) as usize
            };
            let crash = 1_600 + world.draw(2_000);
            let back = crash + 50 + world.draw(800);
            world.due(crash, Due::Down(at));
            world.due(back, Due::Up(at));
        }
        world.run(5_000, |_| false);
        world.loss = 0;
        let all = world.run(20_000, |w| w.voters() == 5);
        assert!(all.is_some(), "seed {seed}: no five voters");
        assert_eq!(world.clusters().len(), 1, "seed {seed}");
    }
}

/// Guards: a node that lost its disk comes back under a new identity by itself;
/// a late one is let in, too.
#[test]
fn wiped_and_late_nodes_are_let_in() {
    let mut world = World::new(5);
    for at in 0..4 {
        world.due(1, Due::Up(at));
    }
    world.run(6_000, |w| w.voters() == 4).expect("four voters");
    world.due(1, Due::Up(4));
    world
        .run(9_000, |w| w.machines[4].node.is_some() && w.voters() == 5)
        .expect("five voters");
    world.due(1, Due::Down(0));
    world.run(9_500, |_| false);
    world.machines[0].kept = PersistedState::default();
    world.machines[0].member = member(0, 99);
    // It does not found: that was at the first start.
    world.machines[0].life += 1;
    let node = Node::new(
        99,
        Timing::default(),
        3,
        world.now,
        PersistedState::default(),
    );
    world.machines[0].node = Some(node);
    world.due(2 * DELAY, Due::Ask(0));
    let is_back = |w: &World| {
        let leads = w.machines.iter().filter_map(|m| m.node.as_ref());
        let mut leads = leads.filter(|node| node.role() == Role::Leader);
        leads.any(|n| n.members().is_voter(99) && n.members().voters.len() == 5)
    };
    let back = world.run(20_000, is_back).expect("it is a voter again");
    assert!(back < 9_500 + 4_000, "after {back} ms");
    let commands = world.machines[1].kept.entries.iter();
    assert!(
        commands
            .filter(|e| matches!(e.payload, EntryPayload::Command(_)))
            .count()
            == 0
    );
}
