//! Random changes to valid bytes, and how many cases are tried.

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

/// One change.
#[derive(Clone, Debug)]
pub enum Mutation {
    Set(Index, u8),
    Insert(Index, u8),
    Remove(Index),
    Truncate(Index),
    /// Overwrites four bytes, which may be a length or be read as one.
    Length(Index, u32),
}

/// One to four changes.
pub fn mutations() -> impl Strategy<Value = Vec<Mutation>> {
    let lengths = prop::sample::select(vec![0, 1, 255, 65_536, 1 << 26, u32::MAX - 1, u32::MAX]);
    let mutation = prop_oneof![
        4 => (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| Mutation::Set(at, byte)),
        2 => (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| Mutation::Insert(at, byte)),
        2 => any::<Index>().prop_map(Mutation::Remove),
        1 => any::<Index>().prop_map(Mutation::Truncate),
        3 => (any::<Index>(), lengths).prop_map(|(at, length)| Mutation::Length(at, length)),
    ];
    prop::collection::vec(mutation, 1..5)
}

/// The bytes with these changes, in order.
pub fn mutate(bytes: &[u8], mutations: &[Mutation]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for mutation in mutations {
        if bytes.is_empty() {
            break;
        }
        let length = bytes.len();
        match mutation {
            Mutation::Set(at, byte) => bytes[at.index(length)] = *byte,
            Mutation::Insert(at, byte) => bytes.insert(at.index(length), *byte),
            Mutation::Remove(at) => drop(bytes.remove(at.index(length))),
            Mutation::Truncate(at) => bytes.truncate(at.index(length)),
            Mutation::Length(at, number) => {
                let at = at.index(length);
                let end = length.min(at + 4);
                bytes[at..end].copy_from_slice(&number.to_be_bytes()[..end - at]);
            }
        }
    }
    bytes
}

/// The most memory that decoding so many bytes may take: items are larger in memory than
/// encoded, and lists grow by doubling.
pub fn max_memory_bytes(length: usize) -> usize {
    64 * 1024 + 160 * length
}
