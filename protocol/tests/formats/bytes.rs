//! Changes to bytes that were valid, and how often they are tried.

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngSeed};

/// The same cases in every run.
pub fn config(cases: u32) -> Config {
    let rng_seed = RngSeed::Fixed(0x5eed);
    Config {
        cases,
        rng_seed,
        failure_persistence: None,
        ..Config::default()
    }
}

#[derive(Clone, Debug)]
pub enum Edit {
    Set(Index, u8),
    Insert(Index, u8),
    Remove(Index),
    Truncate(Index),
    /// Four bytes that are a length somewhere, or are taken for one.
    Length(Index, u32),
}

pub fn edits() -> impl Strategy<Value = Vec<Edit>> {
    let lengths = prop::sample::select(vec![0, 1, 255, 65_536, 1 << 26, u32::MAX - 1, u32::MAX]);
    let edit = prop_oneof![
        4 => (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| Edit::Set(at, byte)),
        2 => (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| Edit::Insert(at, byte)),
        2 => any::<Index>().prop_map(Edit::Remove),
        1 => any::<Index>().prop_map(Edit::Truncate),
        3 => (any::<Index>(), lengths).prop_map(|(at, length)| Edit::Length(at, length)),
    ];
    prop::collection::vec(edit, 1..5)
}

pub fn edited(bytes: &[u8], edits: &[Edit]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for edit in edits {
        if bytes.is_empty() {
            break;
        }
        let length = bytes.len();
        match edit {
            Edit::Set(at, byte) => bytes[at.index(length)] = *byte,
            Edit::Insert(at, byte) => bytes.insert(at.index(length), *byte),
            Edit::Remove(at) => drop(bytes.remove(at.index(length))),
            Edit::Truncate(at) => bytes.truncate(at.index(length)),
            Edit::Length(at, number) => {
                let at = at.index(length);
                let end = length.min(at + 4);
                bytes[at..end].copy_from_slice(&number.to_be_bytes()[..end - at]);
            }
        }
    }
    bytes
}

/// The most memory that reading so many bytes may take: items lie wider in memory
/// than on the wire, and lists grow by doubling.
pub fn allowance(length: usize) -> usize {
    64 * 1024 + 160 * length
}
