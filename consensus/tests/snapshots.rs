//! Snapshots: how much log lies between two of them, how much disk that takes, and what a
//! follower reports and keeps when snapshots and entries reach it late, twice, out of
//! order or before its disk has synced.

mod support;

use consensus::node::{Effect, Input, Node, PersistedState, SnapshotPolicy, Timing, Write};
use consensus::wal::WriteAheadLog;
use consensus::{
    Entry, EntryPayload, HardState, LogIndex, Membership, Message, MessageBody, Snapshot, Term,
};
use support::cluster::{Cluster, Conditions};
use support::disk::MemoryDisk;
use support::members::{member, membership};
use support::random::Random;

const CLUSTER: u64 = 7;
const LEADER: u64 = 2;
const MIB: usize = 1 << 20;

/// Guards: the log between two snapshots is bounded in bytes, not only in entries.
/// 256 documents of 1 MiB would be 256 MiB.
#[test]
fn large_documents_bring_a_snapshot_before_the_entries_do() {
    let conditions = Conditions {
        change_bytes: MIB,
        state_bytes: MIB,
        ..Conditions::default()
    };
    let mut cluster = Cluster::led(1, conditions);
    cluster.schedule_proposals(200, 10);
    cluster.run(4_000);
    assert!(cluster.acknowledged > 200, "all are taken");
    let most = cluster.machines[0].disk.most_bytes();
    println!("200 changes of 1 MiB: at most {most} bytes on the disk");
    assert!(most < 32 * MIB, "{most} bytes");
}

/// Guards: 10,000 changes with documents of 60 KB, on a disk of 128 MB, with repeated
/// losses of power.
#[test]
fn ten_thousand_changes_fit_a_small_disk() {
    for crashes in [0, 40] {
        let conditions = Conditions {
            change_bytes: 60_000,
            state_bytes: 400_000,
            ..Conditions::default()
        };
        let mut cluster = Cluster::led(1, conditions);
        cluster.schedule_proposals(10_000, 10);
        for _ in 0..crashes {
            let pause = 1_000 + cluster.draw(2_500);
            cluster.run(pause);
            cluster.crash(0);
            cluster.start(0);
        }
        let is_done = |cluster: &Cluster| cluster.proposed >= 10_000;
        cluster
            .run_until(300_000, is_done)
            .expect("all are proposed");
        cluster.run(2_000);
        let disk = &cluster.machines[0].disk;
        let (most, now) = (disk.most_bytes(), disk.bytes());
        println!("{crashes} crashes: at most {most} bytes, {now} at the end");
        assert!(cluster.acknowledged > 9_000, "{}", cluster.acknowledged);
        assert!(most < 32_000_000, "{most} bytes");
    }
}

/// Guards: no snapshot is taken again and again while large changes are uncommitted.
#[test]
fn only_what_is_applied_counts_towards_a_snapshot() {
    let policy = SnapshotPolicy {
        entries: 1_000,
        bytes: 100,
    };
    let mut follower = Follower::new();
    follower.receive(append(
        1,
        1,
        1,
        (2..=9).map(|index| command(index, 1)).collect(),
    ));
    assert!(
        !follower.node.is_snapshot_due(policy),
        "nothing of it is committed"
    );
    follower.receive(append(9, 1, 4, Vec::new()));
    assert!(follower.node.is_snapshot_due(policy));
    follower.step(Input::SnapshotTaken(2, vec![1]));
    assert!(
        follower.node.is_snapshot_due(policy),
        "two of fifty bytes each are left"
    );
    follower.step(Input::SnapshotTaken(4, vec![1]));
    assert!(
        !follower.node.is_snapshot_due(policy),
        "what is committed is in it"
    );
    follower.receive(append(9, 1, 9, Vec::new()));
    assert!(follower.node.is_snapshot_due(policy));
    follower.receive(install(50, 1));
    assert!(
        !follower.node.is_snapshot_due(policy),
        "the leader's one holds it all"
    );
}

fn members() -> Membership {
    membership((1..=3).map(member))
}

fn command(index: LogIndex, term: Term) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Command(vec![7; 50]),
    }
}

fn append(
    prev_log_index: LogIndex,
    prev_log_term: Term,
    leader_commit: LogIndex,
    entries: Vec<Entry>,
) -> MessageBody {
    MessageBody::AppendEntries {
        prev_log_index,
        prev_log_term,
        leader_commit,
        round: 1,
        entries,
    }
}

fn snapshot(index: LogIndex, term: Term) -> Snapshot {
    Snapshot {
        index,
        term,
        cluster: CLUSTER,
        members: members(),
        state: vec![3; 10],
    }
}

fn install(index: LogIndex, term: Term) -> MessageBody {
    MessageBody::InstallSnapshot {
        round: 1,
        snapshot: snapshot(index, term),
    }
}

/// One follower of a leader that the test plays, and its disk.
struct Follower {
    node: Node,
    log: WriteAheadLog<MemoryDisk>,
    disk: MemoryDisk,
    unwritten: Vec<(u64, Vec<Write>)>,
    /// The highest match index that it ever reported.
    reported: LogIndex,
    applied: LogIndex,
}

impl Follower {
    fn new() -> Follower {
        let disk = MemoryDisk::default();
        let (mut log, _) = WriteAheadLog::open(disk.clone()).expect("a blank disk opens");
        let payload = EntryPayload::Membership(members());
        log.write(&[
            Write::HardState(HardState {
                term: 1,
                vote: 0,
                cluster: CLUSTER,
            }),
            Write::Entry(Entry {
                index: 1,
                term: 1,
                payload,
            }),
        ])
        .expect("there is room");
        let (log, persisted) = WriteAheadLog::open(disk.clone()).expect("it is read back");
        Follower {
            node: Node::new(1, Timing::default(), 5, 1_000, persisted),
            log,
            disk,
            unwritten: Vec::new(),
            reported: 0,
            applied: 0,
        }
    }

    fn step(&mut self, input: Input) {
        for effect in self.node.step(1_000, input) {
            match effect {
                Effect::Write(ticket, writes) => self.unwritten.push((ticket, writes)),
                Effect::Send(Message {
                    body:
                        MessageBody::AppendEntriesResponse {
                            is_match: true,
                            match_index,
                            ..
                        },
                    ..
                }) => {
                    self.reported = self.reported.max(match_index);
                }
                Effect::Apply(entry, _) => {
                    assert_eq!(entry.index, self.applied + 1, "in order");
                    self.applied = entry.index;
                }
                Effect::Restore(snapshot) => {
                    assert!(snapshot.index > self.applied, "a state is never undone");
                    self.applied = snapshot.index;
                }
                _ => {}
            }
        }
    }

    fn receive(&mut self, body: MessageBody) {
        let term = self.node.term();
        self.step(Input::Received(Message {
            from: LEADER,
            to: 1,
            cluster: CLUSTER,
            term,
            body,
        }));
    }

    fn write_one(&mut self) {
        if self.unwritten.is_empty() {
            return;
        }
        let (ticket, writes) = self.unwritten.remove(0);
        self.log.write(&writes).expect("there is room");
        self.step(Input::Synced(ticket));
    }

    /// What a restart would read back from the disk now.
    fn on_disk(&self) -> PersistedState {
        WriteAheadLog::open(self.disk.copied())
            .expect("it is read back")
            .1
    }

    /// The last index on the disk.
    fn last_on_disk(&self) -> LogIndex {
        let kept = self.on_disk();
        let base = kept.snapshot.map_or(0, |snapshot| snapshot.index);
        kept.entries.last().map_or(base, |entry| entry.index)
    }
}

/// Guards: what is reported as synced is on disk. That includes a snapshot that the node
/// took of committed entries before its own disk had them.
#[test]
fn a_snapshot_that_is_not_written_yet_is_not_reported() {
    let mut follower = Follower::new();
    follower.receive(append(
        1,
        1,
        9,
        (2..=9).map(|index| command(index, 1)).collect(),
    ));
    assert_eq!(follower.applied, 9, "a majority of others has them");
    follower.step(Input::SnapshotTaken(9, vec![1]));
    assert_eq!(follower.reported, 1);
    follower.receive(install(50, 1));
    assert_eq!(follower.reported, 1, "the disk holds no more");
    while !follower.unwritten.is_empty() {
        follower.write_one();
        assert!(follower.reported <= follower.last_on_disk());
    }
    assert_eq!(follower.reported, 50);
}

/// Guards: a heartbeat commits entries up to the one that it matches, and no more: later
/// ones may be of a branch that the leader does not have.
#[test]
fn a_heartbeat_commits_no_branch() {
    let mut follower = Follower::new();
    follower.receive(append(
        1,
        1,
        1,
        (2..=5).map(|index| command(index, 1)).collect(),
    ));
    let message = |body| Message {
        from: 3,
        to: 1,
        cluster: CLUSTER,
        term: 2,
        body,
    };
    follower.step(Input::Received(message(append(1, 1, 4, Vec::new()))));
    assert_eq!(
        (follower.node.commit_index(), follower.node.last_index()),
        (1, 5)
    );
    let entries = vec![command(2, 2), command(3, 2)];
    follower.step(Input::Received(message(append(1, 1, 4, entries))));
    assert_eq!(
        (follower.node.commit_index(), follower.node.last_index()),
        (3, 3)
    );
}

/// Guards: a node whose disk failed one write and accepted the next would report a log with
/// a gap. After a failure nothing more is written, and no message that rests on it is sent.
#[test]
fn nothing_is_written_after_a_failed_write() {
    let mut follower = Follower::new();
    follower.receive(append(1, 1, 1, vec![command(2, 1)]));
    follower.write_one();
    assert_eq!(follower.reported, 2);
    follower.receive(append(2, 1, 2, vec![command(3, 1)]));
    follower.unwritten.clear();
    follower.step(Input::DiskFailed);
    follower.receive(append(3, 1, 3, vec![command(4, 1)]));
    follower.receive(install(50, 1));
    assert!(follower.unwritten.is_empty(), "there would be a gap");
    assert_eq!((follower.reported, follower.last_on_disk()), (2, 2));
}

/// Guards: duplicated, reordered and late snapshots and entries of one leader undo
/// nothing: what was reported stays on the disk, the commit index never falls,
/// and a state is never replaced by an older one.
#[test]
fn reordered_snapshots_and_entries_undo_nothing() {
    const LAST: LogIndex = 60;
    for number in 1..=300u64 {
        let mut random = Random::new(number);
        let mut follower = Follower::new();
        let mut commit = 0;
        // The leader's log grows; its messages arrive in any order.
        for turn in 0..80 {
            let grown = 2 + turn * LAST / 80;
            let index = 1 + random.below(grown);
            let far = index + random.below(grown + 1 - index + 1).min(12);
            let committed = random.below(far.min(grown) + 1);
            match random.below(10) {
                0 | 1 => follower.receive(install(index, 1)),
                2 => follower.receive(append(grown, 1, 0, Vec::new())),
                3 | 4 => follower.write_one(),
                5 => {
                    let applied = follower.applied;
                    follower.step(Input::SnapshotTaken(applied, vec![2]));
                }
                _ => {
                    let entries = (index + 1..=far).map(|index| command(index, 1)).collect();
                    follower.receive(append(index, 1, committed, entries));
                }
            }
            assert!(
                follower.node.commit_index() >= commit,
                "seed {number}: the commit index fell"
            );
            commit = follower.node.commit_index();
            assert!(
                follower.reported <= follower.last_on_disk(),
                "seed {number}, turn {turn}"
            );
        }
        // Power is lost: everything that was reported is there.
        let reported = follower.reported;
        follower
            .disk
            .lose_power(random.below(u64::MAX), random.below(1_001) as usize);
        assert!(follower.last_on_disk() >= reported, "seed {number}");
    }
}
