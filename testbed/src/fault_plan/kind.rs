//! The kinds of faults.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A process is killed, and started again.
    Killed,
    /// An engine is killed, and started again.
    EngineKilled,
    /// A process is frozen for a while.
    Frozen,
    /// Nodes are frozen again and again, for short times.
    FrozenOften,
    /// The leader is killed just after it acknowledged a change.
    KilledAfterAcknowledgement,
    /// The same, and its disk is lost.
    DiskLost,
    /// All processes of a zone are killed.
    ZoneLost,
    /// All directory nodes are killed.
    DirectoryKilled,
    /// All directory nodes and routers are killed.
    NodesKilled,
    /// All routers are killed.
    RoutersKilled,
    /// A process or a zone is partitioned from all others.
    Partitioned,
    /// A zone is evacuated for a while.
    Evacuated,
    /// An engine is drained for a while.
    Drained,
    /// A key is revoked for a while.
    KeyRevoked,
    /// Many changes in a short time.
    ChangeStorm,
    /// Many requests, of a zone or a tenant or from everywhere.
    Crowd,
    /// A drained engine is killed and comes back cold.
    EngineReplaced,
    /// All processes are killed.
    AllKilled,
}

impl FaultKind {
    /// All kinds. Seeds draw by this order, so it stays.
    pub const ALL: [FaultKind; 18] = [
        FaultKind::Killed,
        FaultKind::EngineKilled,
        FaultKind::Frozen,
        FaultKind::FrozenOften,
        FaultKind::KilledAfterAcknowledgement,
        FaultKind::DiskLost,
        FaultKind::ZoneLost,
        FaultKind::DirectoryKilled,
        FaultKind::NodesKilled,
        FaultKind::RoutersKilled,
        FaultKind::Partitioned,
        FaultKind::Evacuated,
        FaultKind::Drained,
        FaultKind::KeyRevoked,
        FaultKind::ChangeStorm,
        FaultKind::Crowd,
        FaultKind::EngineReplaced,
        FaultKind::AllKilled,
    ];

    /// Its word on the command line and in scenarios.
    pub fn as_str(self) -> &'static str {
        match self {
            FaultKind::Killed => "killed",
            FaultKind::EngineKilled => "engine-killed",
            FaultKind::Frozen => "frozen",
            FaultKind::FrozenOften => "frozen-often",
            FaultKind::KilledAfterAcknowledgement => "killed-after-word",
            FaultKind::DiskLost => "disk-lost",
            FaultKind::ZoneLost => "zone-lost",
            FaultKind::DirectoryKilled => "core-killed",
            FaultKind::NodesKilled => "nodes-killed",
            FaultKind::RoutersKilled => "fronts-killed",
            FaultKind::Partitioned => "cut",
            FaultKind::Evacuated => "evacuated",
            FaultKind::Drained => "drained",
            FaultKind::KeyRevoked => "key-taken",
            FaultKind::ChangeStorm => "storm",
            FaultKind::Crowd => "crowd",
            FaultKind::EngineReplaced => "engine-replaced",
            FaultKind::AllKilled => "all-killed",
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A word that is no kind of fault.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{word} is no kind of fault; there are {}", all_words())]
pub struct UnknownFaultKind {
    /// The word.
    pub word: String,
}

fn all_words() -> String {
    let words: Vec<&str> = FaultKind::ALL.iter().map(|kind| kind.as_str()).collect();
    words.join(", ")
}

impl FromStr for FaultKind {
    type Err = UnknownFaultKind;

    fn from_str(text: &str) -> Result<FaultKind, UnknownFaultKind> {
        let mut all = FaultKind::ALL.iter();
        let known = all.find(|kind| kind.as_str() == text);
        known.copied().ok_or_else(|| UnknownFaultKind {
            word: text.to_string(),
        })
    }
}
