//! The write-ahead log through losses of power: whatever the disk kept of the changes to
//! its directory, what was acknowledged as synced is read back.

mod support;

use consensus::node::{PersistedState, Write};
use consensus::wal::{LogStorage, WriteAheadLog};
use consensus::{Entry, EntryPayload, HardState, LogIndex, Membership, Snapshot, Term};
use support::disk::MemoryDisk;
use support::random::Random;

/// What a log directory contains, in short: the hard state's term, the snapshot's index and
/// term, and the entries after it.
#[derive(Clone, Debug, PartialEq, Default)]
struct Holding {
    hard_state_term: Term,
    snapshot: (LogIndex, Term),
    entries: Vec<(LogIndex, Term)>,
}

impl Holding {
    fn of(kept: &PersistedState) -> Holding {
        Holding {
            hard_state_term: kept.hard_state.term,
            snapshot: kept
                .snapshot
                .as_ref()
                .map_or((0, 0), |taken| (taken.index, taken.term)),
            entries: kept
                .entries
                .iter()
                .map(|entry| (entry.index, entry.term))
                .collect(),
        }
    }

    fn last(&self) -> LogIndex {
        self.entries
            .last()
            .map_or(self.snapshot.0, |(index, _)| *index)
    }

    fn term_at(&self, index: LogIndex) -> Term {
        let entry = self.entries.iter().find(|(at, _)| *at == index);
        entry.map_or(self.snapshot.1, |(_, term)| *term)
    }

    fn after(mut self, write: &Write) -> Holding {
        match write {
            Write::HardState(hard_state) => self.hard_state_term = hard_state.term,
            Write::Entry(entry) => self.entries.push((entry.index, entry.term)),
            Write::Truncate(from) => self.entries.retain(|(index, _)| index < from),
            Write::Snapshot(taken) => {
                self.entries.retain(|(index, _)| *index > taken.index);
                self.snapshot = (taken.index, taken.term);
            }
            Write::InstallSnapshot(taken) => {
                self.entries.clear();
                self.snapshot = (taken.index, taken.term);
            }
        }
        self
    }
}

fn entry(index: LogIndex, term: Term) -> Write {
    Write::Entry(Entry {
        index,
        term,
        payload: EntryPayload::Command(vec![b'x'; 30]),
    })
}

fn snapshot(index: LogIndex, term: Term) -> Snapshot {
    Snapshot {
        index,
        term,
        cluster: 7,
        members: Membership::default(),
        state: vec![9; 50],
    }
}

/// One operation on a log.
#[derive(Clone, Debug)]
enum Step {
    Write(Write),
    /// The process restarts; each start begins a segment.
    Restart,
}

/// Performs the steps on a disk that fails after this many operations. Returns what is
/// acknowledged at the end, and the same with the write that was in progress.
fn carry_out(disk: &MemoryDisk, steps: &[Step], operations: Option<u32>) -> (Holding, Holding) {
    disk.fail_after(operations);
    let mut held = Holding::default();
    let Ok((mut log, _)) = WriteAheadLog::open(disk.clone()) else {
        return (held.clone(), held);
    };
    for step in steps {
        match step {
            Step::Write(write) => {
                let next = held.clone().after(write);
                if log.write(std::slice::from_ref(write)).is_err() {
                    return (held, next);
                }
                held = next;
            }
            Step::Restart => match WriteAheadLog::open(disk.clone()) {
                Ok((reopened, kept)) => {
                    assert_eq!(Holding::of(&kept), held);
                    log = reopened;
                }
                Err(_) => return (held.clone(), held),
            },
        }
    }
    (held.clone(), held)
}

/// Reads a disk back after a loss of power, twice, with a write in between.
fn check_after_loss(disk: &MemoryDisk, held: &Holding, next: &Holding, case: &str) {
    let (mut log, kept) = match WriteAheadLog::open(disk.clone()) {
        Ok(opened) => opened,
        Err(error) => panic!("{case}: it can't be read back: {error}"),
    };
    let found = Holding::of(&kept);
    assert!(
        found == *held || found == *next,
        "{case}: {found:?}, not {held:?} or {next:?}"
    );
    let write = entry(found.last() + 1, 99);
    let wanted = found.after(&write);
    log.write(&[write]).expect("the disk takes writes again");
    disk.lose_power(0, 0);
    let (_, kept) = WriteAheadLog::open(disk.clone()).expect("it is read back");
    assert_eq!(Holding::of(&kept), wanted, "{case}: once more");
}

/// Loses power after every single operation of the steps, and tries every subset
/// of the directory's unsynced changes, with none, half and all of the unsynced tail.
fn check_every_loss(steps: &[Step]) -> usize {
    let mut cases = 0;
    for operations in 0.. {
        let disk = MemoryDisk::default();
        let (held, next) = carry_out(&disk, steps, Some(operations));
        for kept in 0..1 << disk.unsynced_changes() {
            for share in [0, 500, 1000] {
                let lost = disk.copied();
                lost.lose_power(kept, share);
                let case = format!("after {operations} operations, changes {kept:b} kept, {share}");
                check_after_loss(&lost, &held, &next, &case);
                cases += 1;
            }
        }
        let whole = MemoryDisk::default();
        let (all, _) = carry_out(&whole, steps, None);
        if all == held {
            return cases;
        }
    }
    unreachable!("the steps end")
}

fn written(writes: impl IntoIterator<Item = Write>) -> Vec<Step> {
    writes.into_iter().map(Step::Write).collect()
}

/// Guards: a removed segment that reappears while a later one does not leaves no gap that
/// stops the node.
#[test]
fn every_subset_of_removals_can_be_read_back() {
    let hard_state = HardState {
        term: 1,
        vote: 2,
        cluster: 7,
    };
    let mut steps = written([Write::HardState(hard_state)]);
    for index in 1..=6 {
        steps.extend(written([entry(index, 1)]));
        steps.push(Step::Restart);
    }
    steps.extend(written([
        entry(7, 1),
        Write::Snapshot(snapshot(6, 1)),
        entry(8, 1),
    ]));
    let cases = check_every_loss(&steps);
    assert!(cases > 150, "{cases} cases");
}

/// Guards: an acknowledged entry is never lost. A removed segment that holds
/// entries of a void branch must not reappear without the one that voids them:
/// the log after the snapshot would be taken for a part of that branch.
#[test]
fn a_void_branch_does_not_reappear() {
    let mut steps = written((1..=4).map(|index| entry(index, 1)));
    steps.push(Step::Restart);
    steps.extend(written([Write::Truncate(3), entry(3, 2), entry(4, 2)]));
    steps.push(Step::Restart);
    steps.extend(written([
        entry(5, 2),
        Write::Snapshot(snapshot(4, 2)),
        entry(6, 2),
    ]));
    check_every_loss(&steps);
}

/// Guards: a loss of power between the writing of a snapshot from the leader and the reset
/// of the log before it, with a longer log of another branch there.
#[test]
fn an_installed_snapshot_is_there_or_not() {
    let mut steps = written((1..=4).map(|index| entry(index, 1)));
    steps.push(Step::Restart);
    steps.extend(written([entry(5, 1), entry(6, 1)]));
    steps.extend(written([
        Write::InstallSnapshot(snapshot(5, 3)),
        entry(6, 3),
    ]));
    steps.push(Step::Restart);
    steps.extend(written([
        entry(7, 3),
        Write::InstallSnapshot(snapshot(20, 4)),
        entry(21, 4),
    ]));
    steps.extend(written([Write::Snapshot(snapshot(21, 4))]));
    check_every_loss(&steps);
}

/// Steps as a node may give them: nothing before the snapshot is cut, and what is
/// installed is not in the log already.
fn drawn_steps(random: &mut Random) -> Vec<Step> {
    let mut held = Holding::default();
    let mut term = 1;
    let mut steps = Vec::new();
    for _ in 0..24 {
        let (floor, last) = (held.snapshot.0, held.last());
        let write = match random.below(12) {
            0..=4 => entry(last + 1, term),
            5 | 6 => {
                steps.push(Step::Restart);
                continue;
            }
            7 if last > floor => {
                term += 1;
                Write::Truncate(floor + 1 + random.below(last - floor))
            }
            8 => {
                term += 1;
                Write::HardState(HardState {
                    term,
                    vote: 0,
                    cluster: 7,
                })
            }
            9 | 10 if last > floor => {
                let index = floor + 1 + random.below(last - floor);
                Write::Snapshot(snapshot(index, held.term_at(index)))
            }
            11 => {
                term += 1;
                Write::InstallSnapshot(snapshot(floor + 1 + random.below(last - floor + 3), term))
            }
            _ => entry(last + 1, term),
        };
        held = held.after(&write);
        steps.push(Step::Write(write));
    }
    steps
}

/// The same over drawn steps.
#[test]
fn drawn_steps_survive_every_loss() {
    let mut cases = 0;
    for number in 1..=60u64 {
        let mut random = Random::new(number);
        let steps = drawn_steps(&mut random);
        cases += check_every_loss(&steps);
    }
    assert!(cases > 8_000, "{cases} cases");
}

/// Guards: a start on a disk that keeps a new file's length and loses its bytes.
#[test]
fn a_new_segment_of_zeros_is_taken_for_one_that_was_not_begun() {
    let disk = MemoryDisk::default();
    let (held, _) = carry_out(&disk, &written([entry(1, 1)]), None);
    let mut files = disk.clone();
    files
        .append("segment-000000000002", &[0; 40])
        .expect("there is room");
    check_after_loss(&disk, &held, &held, "zeros");
    let mut damaged = disk.copied();
    damaged
        .append("segment-000000000099", &[7; 40])
        .expect("there is room");
    assert!(
        WriteAheadLog::open(damaged).is_err(),
        "anything else is damage"
    );
}

/// Guards: bounded disk. A loss of power after each snapshot, before older segments are
/// removed, leaves files; the next start removes them.
#[test]
fn what_a_crash_left_is_removed_at_the_next_start() {
    let disk = MemoryDisk::default();
    let mut last = 0;
    let mut most = 0;
    for turn in 1..=40 {
        let (mut log, _) = WriteAheadLog::open(disk.clone()).expect("it is read back");
        for _ in 0..10 {
            last += 1;
            log.write(&[entry(last, turn)]).expect("there is room");
        }
        let before = disk.copied();
        // Written, renamed and synced; the new segment is not begun.
        disk.fail_after(Some(4));
        log.write(&[Write::Snapshot(snapshot(last, turn))])
            .expect_err("power goes");
        disk.lose_power(0, 0);
        assert!(
            disk.bytes() > before.bytes(),
            "the snapshot is there, and so is the log"
        );
        most = most.max(disk.bytes());
    }
    assert!(most < 4_000, "{most} bytes");
}
