//! Segments and snapshots of the log on disk.

use crate::mutations::{config, mutate, mutations};
use crate::samples::membership;
use consensus::node::{PersistedState, Write};
use consensus::wal::{LogStorage, WriteAheadLog};
use consensus::{Entry, EntryPayload, HardState, Snapshot};
use proptest::prelude::*;
use proptest::sample::Index;
use std::collections::BTreeMap;
use std::io;

#[derive(Clone, Default)]
struct MemoryStorage(BTreeMap<String, Vec<u8>>);

impl MemoryStorage {
    fn file(&mut self, name: &str) -> io::Result<&mut Vec<u8>> {
        self.0
            .get_mut(name)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl LogStorage for &mut MemoryStorage {
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
fn written_log() -> (MemoryStorage, PersistedState) {
    let mut memory = MemoryStorage::default();
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
    let (_, persisted) = WriteAheadLog::open(&mut memory.clone()).expect("it reads back");
    (memory, persisted)
}

fn open_twice(memory: &MemoryStorage) -> Result<PersistedState, String> {
    let mut copy = memory.clone();
    let persisted = WriteAheadLog::open(&mut copy).map(|(_, persisted)| persisted);
    let persisted = persisted.map_err(|error| format!("{error:#}"))?;
    // What was opened once opens again as the same.
    let (_, again) = WriteAheadLog::open(&mut copy).expect("it was made good");
    assert!(again.entries == persisted.entries && again.hard_state == persisted.hard_state);
    Ok(persisted)
}

const HEADER_BYTES: usize = 6;

/// Changes the body of one record, and gives it a length and a checksum that fit.
fn mutate_record(file: &[u8], which: Index, change: impl Fn(&[u8]) -> Vec<u8>) -> Vec<u8> {
    let (mut starts, mut at) = (Vec::new(), HEADER_BYTES);
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

fn check(memory: &MemoryStorage) {
    match open_twice(memory) {
        Ok(persisted) => {
            let base = persisted
                .snapshot
                .as_ref()
                .map_or(0, |snapshot| snapshot.index);
            for (entry, index) in persisted.entries.iter().zip(base.wrapping_add(1)..) {
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
    fn mutated_files_open_or_are_rejected(which in any::<Index>(), mutations in mutations()) {
        let (mut memory, _) = written_log();
        let names: Vec<String> = memory.0.keys().cloned().collect();
        let file = memory.file(&names[which.index(names.len())]).expect("it is there");
        *file = mutate(file, &mutations);
        check(&memory);
    }

    /// The same where the checksum fits: a record of another version, or of a mistake.
    #[test]
    fn mutated_records_with_valid_checksums_open_or_are_rejected(
        which in any::<Index>(),
        record in any::<Index>(),
        mutations in mutations(),
    ) {
        let (mut memory, _) = written_log();
        let names: Vec<String> = memory.0.keys().cloned().collect();
        let file = memory.file(&names[which.index(names.len())]).expect("it is there");
        *file = mutate_record(file, record, |body| mutate(body, &mutations));
        check(&memory);
    }
}

#[test]
fn a_log_cut_at_any_byte_reads_as_a_prefix() {
    let (memory, complete) = written_log();
    let last = memory.0.keys().next_back().expect("a segment").clone();
    let length = memory.0[&last].len();
    for cut in 0..length {
        let mut torn = memory.clone();
        torn.file(&last).expect("it is there").truncate(cut);
        let persisted = open_twice(&torn).expect("a torn end is cut away");
        assert!(
            complete.entries.starts_with(&persisted.entries),
            "cut at {cut} of {length}"
        );
    }
}
