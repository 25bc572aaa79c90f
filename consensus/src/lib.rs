//! Agreement among directory nodes, and the disk beneath it.
//!
//! `node` decides: terms, votes, replication, membership, snapshots. `segments`
//! keeps: checksummed segments with snapshots beside them, over the small
//! `Files` trait. Neither has a clock, a socket or a task; time, input and
//! randomness are arguments, effects are returned values.

pub mod node;
pub mod pack;
pub mod repair;
pub mod wal;

use binrw::binrw;
use pack::{read_bytes, read_list, read_text, write_bytes, write_list, write_text};
use std::fmt;

pub type NodeId = u64;
pub type LogIndex = u64;
pub type Term = u64;

/// One directory node as the others know it. Invariant: an identity belongs
/// to one data folder for good; a node that lost its folder gets another.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Member {
    pub identity: NodeId,
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub name: String,
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub region: String,
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub zone: String,
    /// Where its own kind and the routers reach it.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub address: String,
    /// Where operators reach it.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub desk: String,
}

/// Invariant: no identity stands twice, in one list or over all three.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Default, Hash)]
pub struct Membership {
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub voters: Vec<Member>,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub learners: Vec<Member>,
    /// Identities that are never let in again.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub retired: Vec<NodeId>,
}

impl Membership {
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    pub fn get(&self, identity: NodeId) -> Option<&Member> {
        self.all().find(|member| member.identity == identity)
    }

    pub fn is_voter(&self, identity: NodeId) -> bool {
        self.voters.iter().any(|member| member.identity == identity)
    }

    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Makes one change. Who it names and does not find is left as it is.
    pub fn apply(&mut self, change: repair::Change) {
        use repair::Change;
        match change {
            Change::Promote(identity) => {
                let member = take(&mut self.learners, identity);
                self.voters.extend(member);
            }
            Change::Demote(identity) => {
                let member = take(&mut self.voters, identity);
                self.learners.extend(member);
            }
            Change::Forget(identity) => drop(take(&mut self.learners, identity)),
        }
    }
}

fn take(members: &mut Vec<Member>, identity: NodeId) -> Option<Member> {
    let at = members.iter().position(|member| member.identity == identity)?;
    Some(members.remove(at))
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum EntryPayload {
    /// A new leader's first entry; it says nothing.
    #[brw(magic = 0u8)]
    Blank,
    #[brw(magic = 1u8)]
    Command(
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        Vec<u8>,
    ),
    #[brw(magic = 2u8)]
    Membership(Membership),
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Entry {
    pub index: LogIndex,
    pub term: Term,
    pub payload: EntryPayload,
}

/// The whole state as of one entry. Invariant: `members` is the membership in
/// force at `index`, and `state` holds every entry up to it and none past it.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Snapshot {
    pub index: LogIndex,
    pub term: Term,
    /// The cluster this snapshot belongs to; drawn when it was founded.
    pub cluster: u64,
    pub members: Membership,
    #[br(parse_with = read_bytes)]
    #[bw(write_with = write_bytes)]
    pub state: Vec<u8>,
}

/// What must be on disk before a vote or a new term counts. Invariant: `term`
/// never falls; `vote` changes only along with `term`.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, Debug, PartialEq, Default, Hash)]
pub struct HardState {
    pub term: Term,
    /// 0 stands for no vote.
    pub vote: NodeId,
    /// 0 stands for a node that belongs to no cluster yet.
    pub cluster: u64,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Message {
    pub from: NodeId,
    pub to: NodeId,
    pub cluster: u64,
    pub term: Term,
    pub body: Body,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Body {
    /// Asks whether a vote would be given; changes nothing at the asked.
    #[brw(magic = 0u8)]
    PreVote { last_index: LogIndex, last_term: Term },
    #[brw(magic = 1u8)]
    PreVoteResponse {
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        granted: bool,
    },
    #[brw(magic = 2u8)]
    Vote {
        last_index: LogIndex,
        last_term: Term,
        /// The leader itself asked for this election.
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        is_transfer: bool,
    },
    #[brw(magic = 3u8)]
    VoteResponse {
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        granted: bool,
    },
    #[brw(magic = 4u8)]
    AppendEntries {
        prior_index: LogIndex,
        prior_term: Term,
        commit: LogIndex,
        round: u64,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        entries: Vec<Entry>,
    },
    #[brw(magic = 5u8)]
    AppendEntriesResponse {
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        is_match: bool,
        /// Synced on the sender's disk and the same as the leader's up to
        /// here; where `is_match` is false, where to try next.
        matched: LogIndex,
        round: u64,
    },
    #[brw(magic = 6u8)]
    InstallSnapshot { round: u64, snapshot: Snapshot },
    /// The leader asks the receiver to take over at once.
    #[brw(magic = 7u8)]
    TimeoutNow,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} ({:016x}, {}, {})", self.name, self.identity, self.zone, self.address)
    }
}
