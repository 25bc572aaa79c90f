//! The log on disk: what a crash may take, what it may not, and what stops a
//! node.

use consensus::node::Write;
use consensus::wal::{LogStorage, WriteAheadLog, FORMAT_VERSION};
use consensus::{Entry, EntryPayload, HardState, Membership, Snapshot};
use simulator::MemoryFiles;

fn entry(index: u64, term: u64) -> Write {
    let payload = EntryPayload::Command(format!("entry {index} of {term}").into_bytes());
    Write::Entry(Entry {
        index,
        term,
        payload,
    })
}

fn picture(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        cluster: 7,
        members: Membership::default(),
        state: vec![9; 20],
    }
}

fn written(batches: &[&[Write]]) -> MemoryFiles {
    let files = MemoryFiles::default();
    let (mut segments, _) = WriteAheadLog::open(files.clone()).expect("a blank folder opens");
    for batch in batches {
        segments.write(batch).expect("it is written");
    }
    files
}

fn indices(files: &MemoryFiles) -> Vec<(u64, u64)> {
    let (_, kept) = WriteAheadLog::open(files.clone()).expect("it opens");
    kept.entries
        .iter()
        .map(|entry| (entry.index, entry.term))
        .collect()
}

#[test]
fn what_was_synced_comes_back() {
    let pledge = HardState {
        term: 3,
        vote: 5,
        cluster: 7,
    };
    type Case = (Vec<Write>, Vec<(u64, u64)>, Option<u64>);
    let cases: Vec<Case> = vec![
        (vec![], vec![], None),
        (vec![entry(1, 1), entry(2, 1)], vec![(1, 1), (2, 1)], None),
        (
            vec![entry(1, 1), entry(2, 1), Write::Truncate(2), entry(2, 3)],
            vec![(1, 1), (2, 3)],
            None,
        ),
        (
            vec![
                entry(1, 1),
                entry(2, 1),
                Write::Snapshot(picture(1, 1)),
                entry(3, 3),
            ],
            vec![(2, 1), (3, 3)],
            Some(1),
        ),
        (
            vec![
                entry(1, 1),
                entry(2, 1),
                Write::InstallSnapshot(picture(9, 2)),
                entry(10, 3),
            ],
            vec![(10, 3)],
            Some(9),
        ),
        (
            vec![entry(1, 1), Write::InstallSnapshot(picture(9, 2))],
            vec![],
            Some(9),
        ),
    ];
    for (number, (batch, wanted, index)) in cases.into_iter().enumerate() {
        let files = written(&[&[Write::HardState(pledge)], &batch]);
        files.crash(0);
        let (_, kept) = WriteAheadLog::open(files.clone()).expect("it opens");
        assert_eq!(kept.hard_state, pledge, "case {number}");
        assert_eq!(
            kept.snapshot.map(|picture| picture.index),
            index,
            "case {number}"
        );
        assert_eq!(indices(&files), wanted, "case {number}, opened once more");
    }
}

/// Wherever a crash cuts the last write, a beginning of it is left, and the
/// rest is cut away for good.
#[test]
fn a_torn_tail_is_cut_at_every_byte() {
    for share in 0..=1000 {
        let files = written(&[&[entry(1, 1), entry(2, 1)]]);
        let (mut segments, _) = WriteAheadLog::open(files.clone()).expect("it opens");
        files.crash_after(1);
        drop(segments.write(&[entry(3, 1), entry(4, 1)]));
        files.crash(share);
        let found = indices(&files);
        assert!(
            found.starts_with(&[(1, 1), (2, 1)]) && found.len() <= 4,
            "{share}: {found:?}"
        );
        let (mut segments, _) = WriteAheadLog::open(files.clone()).expect("it opens");
        let next = found.len() as u64 + 1;
        segments.write(&[entry(next, 2)]).expect("it goes on");
        assert_eq!(indices(&files).last(), Some(&(next, 2)));
    }
}

/// Guards: nothing synced goes missing without a word.
#[test]
fn damage_before_the_tail_stops_the_node_and_says_where() {
    let mut found = 0;
    let names = written(&[&[entry(1, 1), entry(2, 1)], &[entry(3, 1)]])
        .list()
        .expect("a list");
    let name = names
        .iter()
        .find(|name| name.starts_with("segment"))
        .expect("there is one")
        .clone();
    for at in 0..140 {
        let files = written(&[&[entry(1, 1), entry(2, 1)], &[entry(3, 1)]]);
        if files.read(&name).expect("it is there").len() <= at + 60 {
            break;
        }
        files.damage(&name, at);
        let error = WriteAheadLog::open(files)
            .err()
            .expect("damage is seen")
            .to_string();
        assert!(error.starts_with(&format!("{name} at byte ")), "{error}");
        found += 1;
    }
    assert!(found > 60);
}

#[test]
fn another_format_and_a_damaged_picture_are_refused_in_words() {
    let files = written(&[&[entry(1, 1), Write::Snapshot(picture(1, 1))]]);
    files.damage("picture-0000000000000001", 30);
    let error = WriteAheadLog::open(files)
        .err()
        .expect("damage is seen")
        .to_string();
    assert!(
        error.contains("picture-0000000000000001 at byte 6"),
        "{error}"
    );

    let files = written(&[&[entry(1, 1)]]);
    // The lower byte of the format stands there, and damage turns one bit of it.
    files.damage("segment-000000000001", 5);
    let error = WriteAheadLog::open(files)
        .err()
        .expect("another format is seen")
        .to_string();
    let wanted = format!("format is epoch {}, ", FORMAT_VERSION ^ 0x10);
    assert!(error.contains(&wanted), "{error}");
}

/// Guards: a disk that was full is taken back into use; what was not synced when
/// it failed is not built on, and what was synced is all there.
#[test]
fn a_full_disk_is_taken_back_into_use() {
    let files = MemoryFiles::default();
    let (mut segments, _) = WriteAheadLog::open(files.clone()).expect("an empty disk opens");
    segments
        .write(&[entry(1, 1), entry(2, 1)])
        .expect("there is room");
    for turn in 0..3 {
        files.set_full(true);
        segments
            .write(&[entry(3 + turn, 1)])
            .expect_err("it is full");
        assert!(segments.reopen().is_err(), "it is full still");
        files.set_full(false);
        let (again, kept) = segments.reopen().expect("there is room again");
        segments = again;
        assert_eq!(kept.entries.len() as u64, 2 + turn);
        segments
            .write(&[entry(3 + turn, 1)])
            .expect("there is room");
    }
    assert_eq!(indices(&files).len(), 5);
    // A sync that failed: the bytes may stand there, and don't count.
    files.crash_after(1);
    segments.write(&[entry(6, 1)]).expect_err("the sync fails");
    files.set_full(false);
    files.clone().crash_after(u32::MAX);
    let (_, kept) = segments.reopen().expect("it is read back");
    assert_eq!(kept.entries.len(), 5, "what was not synced is cut off");
}

const OPERATIONS: std::ops::Range<u32> = 0..12;

fn shares() -> impl Iterator<Item = usize> {
    (0..=1000).step_by(20)
}

/// Guards: a snapshot that takes the log's place is there for good before the log
/// before it is void, wherever the power fails and whatever of the folder is kept.
#[test]
fn power_that_fails_while_a_snapshot_is_installed_takes_nothing_along() {
    for (operations, share) in OPERATIONS.flat_map(|o| shares().map(move |share| (o, share))) {
        let files = written(&[&[entry(1, 1), entry(2, 1)]]);
        let (mut log, _) = WriteAheadLog::open(files.clone()).expect("it opens");
        files.crash_after(operations);
        drop(log.write(&[Write::InstallSnapshot(picture(9, 2))]));
        files.crash(share);
        let (_, kept) = WriteAheadLog::open(files.clone()).expect("it opens");
        let is_whole = match kept.snapshot {
            Some(snapshot) => snapshot.index == 9,
            None => kept.entries.len() == 2,
        };
        assert!(is_whole, "after {operations} operations, {share} kept");
    }
}

/// Guards: a segment that was not even begun does not come back beside its
/// successor, wherever the power fails in two starts, one after the other.
#[test]
fn power_that_fails_again_and_again_at_the_start_leaves_a_readable_log() {
    let crash_at_start = |files: &MemoryFiles, operations: u32, share: usize| {
        files.crash_after(operations);
        drop(WriteAheadLog::open(files.clone()));
        files.crash(share);
    };
    for (first, share) in OPERATIONS
        .take(5)
        .flat_map(|o| shares().map(move |share| (o, share)))
    {
        for (second, other) in OPERATIONS
            .take(5)
            .flat_map(|o| shares().map(move |s| (o, s)))
        {
            let files = written(&[&[entry(1, 1), entry(2, 1)]]);
            crash_at_start(&files, first, share);
            crash_at_start(&files, second, other);
            let opened = WriteAheadLog::open(files.clone());
            let (_, kept) = opened.unwrap_or_else(|error| {
                panic!("after {first}, {share} kept, and {second}, {other} kept: {error}")
            });
            assert_eq!(kept.entries.len(), 2);
        }
    }
}
