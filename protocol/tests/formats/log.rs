//! Segments and snapshots of the log on disk.

use crate::bytes::{config, edited, edits};
use crate::frames::membership;
use consensus::node::{PersistedState, Write};
use consensus::wal::{LogStorage, WriteAheadLog};
use consensus::{Entry, EntryPayload, HardState, Snapshot};
use proptest::prelude::*;
use proptest::sample::Index;
use std::collections::BTreeMap;
use std::io;

#[derive(Clone, Default)]
struct Memory(BTreeMap<String, Vec<u8>>);

impl Memory {
    fn file(&mut self, name: &str) -> io::Result<&mut Vec<u8>> {
        self.0
            .get_mut(name)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl LogStorage for &mut Memory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0
            .get(name)
            .cloned()
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0
            .entry(name.into())
            .or_default()
            .extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.truncate(length as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let file = self.0.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.0.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name);
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn entry(index: u64) -> Entry {
    let payload = match index % 3 {
        0 => EntryPayload::Noop,
        1 => EntryPayload::Command(vec![index as u8; 30]),
        _ => EntryPayload::Membership(membership()),
    };
    Entry {
        index,
        term: 1 + index / 4,
        payload,
    }
}

/// A folder with a snapshot and a segment behind it.
fn folder() -> (Memory, PersistedState) {
    let mut memory = Memory::default();
    let (mut log, _) = WriteAheadLog::open(&mut memory).expect("an empty folder");
    let hard_state = |term| {
        Write::HardState(HardState {
            term,
            vote: 1,
            cluster: 77,
        })
    };
    log.write(&[hard_state(1)]).expect("written");
    log.write(
        &(1..6)
            .map(|index| Write::Entry(entry(index)))
            .collect::<Vec<_>>(),
    )
    .expect("written");
    let snapshot = Snapshot {
        index: 4,
        term: 2,
        cluster: 77,
        members: membership(),
        state: vec![9; 60],
    };
    log.write(&[Write::Snapshot(snapshot)]).expect("written");
    log.write(&[
        hard_state(3),
        Write::Entry(entry(6)),
        Write::Truncate(6),
        Write::Entry(entry(6)),
    ])
    .expect("written");
    drop(log);
    let (_, kept) = WriteAheadLog::open(&mut memory.clone()).expect("it reads back");
    (memory, kept)
}

fn opened(memory: &Memory) -> Result<PersistedState, String> {
    let mut copy = memory.clone();
    let kept = WriteAheadLog::open(&mut copy).map(|(_, kept)| kept);
    let kept = kept.map_err(|error| format!("{error:#}"))?;
    // What was opened once opens again as the same.
    let (_, again) = WriteAheadLog::open(&mut copy).expect("it was made good");
    assert!(again.entries == kept.entries && again.hard_state == kept.hard_state);
    Ok(kept)
}

const HEAD: usize = 6;

/// Changes the body of one record, and gives it a length and a checksum that fit.
fn recast(file: &[u8], which: Index, change: impl Fn(&[u8]) -> Vec<u8>) -> Vec<u8> {
    let (mut starts, mut at) = (Vec::new(), HEAD);
    while at + 8 <= file.len() {
        starts.push(at);
        let length = u32::from_be_bytes(file[at..at + 4].try_into().expect("four bytes"));
        at += 8 + length as usize;
    }
    starts.push(file.len());
    let chosen = which.index(starts.len() - 1);
    let (from, to) = (starts[chosen], starts[chosen + 1]);
    let body = change(&file[from + 8..to]);
    let mut bytes = file[..from].to_vec();
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(crc32fast::hash(&body).to_be_bytes());
    bytes.extend(&body);
    bytes.extend(&file[to..]);
    bytes
}

fn check(memory: &Memory) {
    match opened(memory) {
        Ok(kept) => {
            let base = kept.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            for (entry, index) in kept.entries.iter().zip(base.wrapping_add(1)..) {
                assert_eq!(entry.index, index, "the log has a gap");
            }
        }
        Err(text) => assert!(!text.is_empty()),
    }
}

proptest! {
    #![proptest_config(config(1_500))]

    /// A folder whose files were changed is refused with the file and the place, or
    /// what was torn off its end is cut away.
    #[test]
    fn changed_files_are_read_or_refused(which in any::<Index>(), edits in edits()) {
        let (mut memory, _) = folder();
        let names: Vec<String> = memory.0.keys().cloned().collect();
        let file = memory.file(&names[which.index(names.len())]).expect("it is there");
        *file = edited(file, &edits);
        check(&memory);
    }

    /// The same where the checksum fits: a record of another version, or of a mistake.
    #[test]
    fn records_that_make_no_sense_are_read_or_refused(
        which in any::<Index>(),
        record in any::<Index>(),
        edits in edits(),
    ) {
        let (mut memory, _) = folder();
        let names: Vec<String> = memory.0.keys().cloned().collect();
        let file = memory.file(&names[which.index(names.len())]).expect("it is there");
        *file = recast(file, record, |body| edited(body, &edits));
        check(&memory);
    }
}

#[test]
fn what_is_torn_off_the_end_is_a_whole_beginning() {
    let (memory, whole) = folder();
    let last = memory.0.keys().next_back().expect("a segment").clone();
    let length = memory.0[&last].len();
    for cut in 0..length {
        let mut torn = memory.clone();
        torn.file(&last).expect("it is there").truncate(cut);
        let kept = opened(&torn).expect("a torn end is cut away");
        assert!(
            whole.entries.starts_with(&kept.entries),
            "cut at {cut} of {length}"
        );
    }
}
