//! Where the exploration starts, and what may happen from there.

use consensus::node::Role;
use consensus::{Entry, EntryPayload, HardState, Membership, Message, MessageBody, NodeId, Term};

use crate::actions::{Action, Scenario};
use crate::cluster::{is_request, member, timing, Budget, Cluster, Grain, CLUSTER};

/// How much may happen: for CI, or for a deep run.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Size {
    Small,
    Large,
}

pub const NAMES: [&str; 10] = [
    "elections, by messages",
    "replication, by messages",
    "three nodes, by calls",
    "reads, by calls",
    "five nodes, entries of older terms",
    "membership, by calls",
    "replacement of a lost disk",
    "snapshots, by calls",
    "founding, by messages",
    "a silent voter, by calls",
];

fn members(voters: std::ops::RangeInclusive<NodeId>) -> Membership {
    let voters = voters.map(|id| member(id, id)).collect();
    Membership {
        voters,
        ..Membership::default()
    }
}

type Log = (HardState, Vec<Entry>);

fn founded(voters: u64) -> Entry {
    Entry {
        index: 1,
        term: 1,
        payload: EntryPayload::Membership(members(1..=voters)),
    }
}

fn log(term: Term, entries: Vec<Entry>) -> Log {
    (
        HardState {
            term,
            vote: 0,
            cluster: CLUSTER,
        },
        entries,
    )
}

/// Voters that know of each other and no leader; then blank nodes.
fn fresh(grain: Grain, voters: u64, blank: u64, wanted: usize) -> Cluster {
    let mut logs: Vec<Log> = (0..voters).map(|_| log(1, vec![founded(voters)])).collect();
    logs.extend((0..blank).map(|_| Log::default()));
    Cluster::new(grain, timing(wanted), logs)
}

/// Node 1 leads, and everybody holds its first entry; it alone knows that it is
/// committed.
fn elected(grain: Grain, voters: u64, blank: u64, wanted: usize) -> Cluster {
    let mut cluster = fresh(grain, voters, blank, wanted);
    cluster.left = Budget {
        campaigns: 1,
        ..Budget::default()
    };
    cluster.perform(&Action::Tick(1)).expect("an election");
    quiesce(&mut cluster);
    assert_eq!(cluster.servers[0].node.role(), Role::Leader);
    cluster.left = Budget::default();
    cluster
}

/// Node 1 leads, and everybody knows that its first entry is committed.
fn led(grain: Grain, voters: u64, blank: u64, wanted: usize) -> Cluster {
    let mut cluster = elected(grain, voters, blank, wanted);
    cluster.left = Budget {
        heartbeats: 1,
        ..Budget::default()
    };
    cluster.perform(&Action::Tick(1)).expect("a heartbeat");
    quiesce(&mut cluster);
    cluster.left = Budget::default();
    cluster
}

/// Syncs and delivers until nothing is on its way.
fn quiesce(cluster: &mut Cluster) {
    loop {
        let unsynced = cluster
            .servers
            .iter()
            .find(|server| !server.unsynced.is_empty());
        if let Some(at) = unsynced.map(|server| server.identity()) {
            cluster.perform(&Action::Sync(at)).expect("a sync");
            continue;
        }
        let Some((_, message)) = cluster.network.first() else {
            return;
        };
        let message = message.clone();
        debug_assert!(cluster.grain == Grain::Messages || is_request(&message.body));
        let deliver = Action::Deliver {
            message,
            is_kept: false,
            is_answer_delayed: false,
        };
        cluster.perform(&deliver).expect("a delivery");
    }
}

/// Figure 8 of the Raft paper, where node 1 has come back: its entry of term 2 is
/// on 1 and 2, node 5 holds two of term 3. Node 1 has just been
/// elected by 2 and 3 and has sent them nothing yet.
fn older_terms() -> Cluster {
    let entry = |index, term, payload| Entry {
        index,
        term,
        payload,
    };
    let command = |index, term, byte| entry(index, term, EntryPayload::Command(vec![byte]));
    let first = || founded(5);
    let logs = vec![
        log(3, vec![first(), command(2, 2, 1)]),
        log(3, vec![first(), command(2, 2, 1)]),
        log(3, vec![first()]),
        log(3, vec![first()]),
        log(3, vec![first(), command(2, 3, 2), command(3, 3, 3)]),
    ];
    let mut cluster = Cluster::new(Grain::Calls, timing(5), logs);
    cluster.left = Budget {
        campaigns: 1,
        ..Budget::default()
    };
    cluster.perform(&Action::Tick(1)).expect("pre-votes");
    for voter in [2, 3] {
        let is_vote =
            |m: &Message| m.to == voter && matches!(m.body, MessageBody::RequestVote { .. });
        let vote = cluster.network.iter().find(|(_, message)| is_vote(message));
        let message = vote.expect("a vote is asked for").1.clone();
        let deliver = Action::Deliver {
            message,
            is_kept: false,
            is_answer_delayed: false,
        };
        cluster.perform(&deliver).expect("a vote");
    }
    assert_eq!(cluster.servers[0].node.role(), Role::Leader);
    cluster
}

/// Three voters are the target, and learner 4 has caught up: it can replace one of them
/// that falls silent.
fn with_ready_learner() -> Cluster {
    let mut cluster = led(Grain::Calls, 3, 1, 3);
    cluster.left = Budget {
        additions: 1,
        heartbeats: 4,
        ..Budget::default()
    };
    cluster
        .perform(&Action::AddLearner {
            leader: 1,
            learner: 4,
        })
        .expect("a learner");
    while cluster.left.heartbeats > 0 {
        cluster.perform(&Action::Tick(1)).expect("a heartbeat");
        quiesce(&mut cluster);
    }
    let newcomer = &cluster.servers[3].node;
    assert!(
        newcomer.members().get(4).is_some(),
        "the learner has caught up"
    );
    cluster.left = Budget::default();
    cluster
}

/// No cluster was bootstrapped.
fn blank() -> Cluster {
    let logs = (0..3).map(|_| Log::default()).collect();
    Cluster::new(Grain::Messages, timing(3), logs)
}

pub fn named(name: &str, size: Size) -> Scenario {
    let at = NAMES
        .iter()
        .position(|known| *known == name)
        .expect("a scenario of the list");
    let mut start = match at {
        0 => fresh(Grain::Messages, 3, 0, 3),
        1 => led(Grain::Messages, 3, 0, 3),
        2 => fresh(Grain::Calls, 3, 0, 3),
        3 => elected(Grain::Calls, 3, 0, 3),
        4 => older_terms(),
        5 => led(Grain::Calls, 3, 2, 5),
        6 => led(Grain::Calls, 3, 1, 3),
        7 => led(Grain::Calls, 3, 0, 3),
        8 => blank(),
        _ => with_ready_learner(),
    };
    start.left = budget(at, size);
    Scenario {
        name: NAMES[at],
        start,
    }
}

fn budget(scenario: usize, size: Size) -> Budget {
    let extra = u8::from(size == Size::Large);
    let none = Budget::default();
    match scenario {
        0 => Budget {
            campaigns: 2 + extra,
            crashes: 1 + extra,
            duplicates: extra,
            ..none
        },
        1 => Budget {
            epochs: 1,
            campaigns: 1 + extra,
            heartbeats: 1 + extra,
            proposals: 1 + extra,
            reads: extra,
            crashes: 1,
            duplicates: 1,
            transfers: extra,
            ..none
        },
        2 => Budget {
            epochs: 1 + extra,
            campaigns: 3 + extra,
            heartbeats: 2 + extra,
            proposals: 1 + extra,
            crashes: 1,
            duplicates: extra,
            ..none
        },
        3 => Budget {
            epochs: 1 + extra,
            campaigns: 1 + extra,
            heartbeats: 1 + extra,
            proposals: extra,
            reads: 1 + extra,
            transfers: extra,
            crashes: extra,
            duplicates: extra,
            ..none
        },
        4 => Budget {
            campaigns: 1 + extra,
            heartbeats: extra,
            crashes: extra,
            duplicates: 1,
            ..none
        },
        5 => Budget {
            epochs: 1,
            campaigns: 1 + extra,
            heartbeats: 3 + extra,
            proposals: extra,
            additions: 2,
            removals: 1 + extra,
            transfers: 1,
            crashes: extra,
            ..none
        },
        6 => Budget {
            epochs: 1 + extra,
            campaigns: 1,
            heartbeats: 4 + extra,
            proposals: 1,
            disks_lost: 1,
            additions: 3,
            crashes: extra,
            ..none
        },
        7 => Budget {
            epochs: 1,
            campaigns: 1,
            heartbeats: 2 + extra,
            proposals: 2 + extra,
            crashes: 1,
            snapshots: 1 + extra,
            duplicates: extra,
            ..none
        },
        8 => Budget {
            epochs: 1,
            campaigns: 1 + extra,
            heartbeats: 3 + extra,
            proposals: extra,
            additions: 2,
            crashes: 1 + extra,
            foundings: 1 + extra,
            ..none
        },
        _ => Budget {
            epochs: 1 + extra,
            campaigns: extra,
            heartbeats: 3 + 2 * extra,
            proposals: extra,
            crashes: extra,
            disks_lost: extra,
            additions: extra,
            ..none
        },
    }
}
