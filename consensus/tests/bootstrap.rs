//! The first seed bootstraps a cluster and the others join it: in virtual time, over links
//! of 55 ms, with a first seed that crashes meanwhile.

mod support;

use consensus::node::{Node, PersistedState, Role, Timing};
use consensus::EntryPayload;
use support::deployment::{Deployment, Event, LINK_DELAY_MS, START_MS};
use support::members::member_on_machine;
use support::random::Random;

/// Guards: the first configuration can be committed well before traffic begins; before a
/// node's next deadline a tick has no effect.
#[test]
fn five_nodes_bootstrap_one_cluster_quickly() {
    for seed in 1..=20 {
        let mut deployment = Deployment::new(5);
        for at in 0..5 {
            let late = (seed * 37 + at as u64 * 61) % 300;
            deployment.schedule(late, Event::Start(at));
        }
        let three = deployment.run(4_000, |deployment| {
            deployment.machines.iter().all(|m| m.node.is_some()) && deployment.fewest_voters() >= 3
        });
        let three = three.expect("three voters, known to all");
        assert!(three < 2_500, "seed {seed}: three voters after {three} ms");
        let five = deployment
            .run(6_000, |deployment| deployment.fewest_voters() == 5)
            .expect("five voters");
        assert!(five < 4_000, "seed {seed}: five voters after {five} ms");
        assert_eq!(deployment.cluster_ids().len(), 1);
    }
}

/// Guards: a first seed that crashes while it bootstraps continues from its disk; no other
/// node bootstraps, and there is one cluster in the end.
#[test]
fn a_first_seed_that_crashes_continues() {
    for seed in 0..60 {
        let mut deployment = Deployment::new(5);
        for at in 0..5 {
            deployment.schedule(1 + at as u64 * 13, Event::Start(at));
        }
        let crash = 1 + seed * 29;
        deployment.schedule(crash, Event::Stop(0));
        deployment.schedule(crash + 300, Event::Start(0));
        let all = deployment.run(12_000, |deployment| {
            deployment.now > START_MS + crash + 400 && deployment.fewest_voters() == 5
        });
        assert!(all.is_some(), "seed {seed}: no five voters");
        assert_eq!(deployment.cluster_ids().len(), 1, "seed {seed}");
    }
}

/// Guards: the seeds form one cluster under any faults: nodes start up to a second and a
/// half apart, any of them crash and restart, the first seed included, and messages are
/// lost meanwhile.
#[test]
fn one_cluster_is_bootstrapped_under_any_faults() {
    for seed in (1..=400u64).chain([1332]) {
        let mut deployment = Deployment::new(5);
        deployment.random = Random::new(seed);
        deployment.loss_percent = deployment.draw(25);
        for at in 0..5 {
            let late = 1 + deployment.draw(1_500);
            deployment.schedule(late, Event::Start(at));
        }
        for _ in 0..deployment.draw(4) {
            let at = if deployment.draw(2) == 0 {
                0
            } else {
                deployment.draw(5) as usize
            };
            let crash = 1_600 + deployment.draw(2_000);
            let back = crash + 50 + deployment.draw(800);
            deployment.schedule(crash, Event::Stop(at));
            deployment.schedule(back, Event::Start(at));
        }
        deployment.run(5_000, |_| false);
        deployment.loss_percent = 0;
        let all = deployment.run(20_000, |deployment| deployment.fewest_voters() == 5);
        assert!(all.is_some(), "seed {seed}: no five voters");
        assert_eq!(deployment.cluster_ids().len(), 1, "seed {seed}");
    }
}

/// Guards: a node that lost its disk rejoins under a new identity by itself; a late one
/// joins, too.
#[test]
fn wiped_and_late_nodes_join() {
    let mut deployment = Deployment::new(5);
    for at in 0..4 {
        deployment.schedule(1, Event::Start(at));
    }
    deployment
        .run(6_000, |deployment| deployment.fewest_voters() == 4)
        .expect("four voters");
    deployment.schedule(1, Event::Start(4));
    deployment
        .run(9_000, |deployment| {
            deployment.machines[4].node.is_some() && deployment.fewest_voters() == 5
        })
        .expect("five voters");
    deployment.schedule(1, Event::Stop(0));
    deployment.run(9_500, |_| false);
    deployment.machines[0].persisted = PersistedState::default();
    deployment.machines[0].member = member_on_machine(0, 99);
    // It does not bootstrap: that happens at the first start only.
    deployment.machines[0].incarnation += 1;
    let node = Node::new(
        99,
        Timing::default(),
        3,
        deployment.now,
        PersistedState::default(),
    );
    deployment.machines[0].node = Some(node);
    deployment.schedule(2 * LINK_DELAY_MS, Event::RequestToJoin(0));
    let is_back = |deployment: &Deployment| {
        let leads = deployment.machines.iter().filter_map(|m| m.node.as_ref());
        let mut leads = leads.filter(|node| node.role() == Role::Leader);
        leads.any(|n| n.members().is_voter(99) && n.members().voters.len() == 5)
    };
    let back = deployment
        .run(20_000, is_back)
        .expect("it is a voter again");
    assert!(back < 9_500 + 4_000, "after {back} ms");
    let commands = deployment.machines[1].persisted.entries.iter();
    assert!(
        commands
            .filter(|e| matches!(e.payload, EntryPayload::Command(_)))
            .count()
            == 0
    );
}
