//! Agreement among directory nodes, and the disk beneath it.
//!
//! `node` decides: terms, votes, replication, membership, snapshots. `wal`
//! persists: checksummed segments with snapshots beside them, over the small
//! `LogStorage` trait. Neither has a clock, a socket or a task; time, input and
//! randomness are arguments, effects are returned values.

#![warn(missing_docs)]

pub mod codec;
pub mod node;
pub mod repair;
pub mod wal;

use binrw::binrw;
use codec::{read_bytes, read_list, read_string, write_bytes, write_list, write_string};
use repair::MembershipChange;
use std::fmt;

/// Identity of a node, unique in its cluster; 0 is no node.
pub type NodeId = u64;
/// Position of an entry in the log; the first entry has index 1.
pub type LogIndex = u64;
/// Election term; each term has at most one leader.
pub type Term = u64;

/// One directory node as the others know it. Invariant: an identity belongs
/// to one data folder for good; a node that lost its folder gets another.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Member {
    /// Unique for the life of the cluster.
    pub identity: NodeId,
    /// Name given by the operator, for people and for finding a replaced node.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Region the node runs in; voters are spread over regions.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub region: String,
    /// Availability zone within the region.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub zone: String,
    /// Address at which other directory nodes and the routers reach it.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub address: String,
    /// Address at which operators reach it.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub operator_address: String,
}

/// The members of the cluster. Invariant: no identity occurs twice, in one list
/// or over all three.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Default, Hash)]
pub struct Membership {
    /// Members that vote and that a quorum is made of.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub voters: Vec<Member>,
    /// Members that receive the log and do not vote.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub learners: Vec<Member>,
    /// Identities that are never let in again.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub retired: Vec<NodeId>,
}

impl Membership {
    /// All voters, then all learners.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// The voter or learner with this identity.
    pub fn get(&self, identity: NodeId) -> Option<&Member> {
        self.all().find(|member| member.identity == identity)
    }

    /// Whether this identity is one of the voters.
    pub fn is_voter(&self, identity: NodeId) -> bool {
        self.voters.iter().any(|member| member.identity == identity)
    }

    /// Size of the smallest quorum of the voters.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Makes one change. A member that it names and that is not found is ignored.
    pub fn apply(&mut self, change: MembershipChange) {
        match change {
            MembershipChange::PromoteLearner(identity) => {
                let member = take(&mut self.learners, identity);
                self.voters.extend(member);
            }
            MembershipChange::DemoteVoter(identity) => {
                let member = take(&mut self.voters, identity);
                self.learners.extend(member);
            }
            MembershipChange::RemoveLearner(identity) => drop(take(&mut self.learners, identity)),
        }
    }
}

fn take(members: &mut Vec<Member>, identity: NodeId) -> Option<Member> {
    let at = members
        .iter()
        .position(|member| member.identity == identity)?;
    Some(members.remove(at))
}

/// What a log entry carries.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum EntryPayload {
    /// A new leader's first entry, without content: once it is committed, so are all
    /// entries of earlier terms before it.
    #[brw(magic = 0u8)]
    Noop,
    /// A command of the state machine, opaque to this package.
    #[brw(magic = 1u8)]
    Command(
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        Vec<u8>,
    ),
    /// A membership, in force from this entry on.
    #[brw(magic = 2u8)]
    Membership(Membership),
}

/// One entry of the replicated log.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Entry {
    /// Its position in the log.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Its content.
    pub payload: EntryPayload,
}

/// The whole state as of one entry. Invariant: `members` is the membership in
/// force at `index`, and `state` holds every entry up to it and none past it.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Snapshot {
    /// Index of the last entry it includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// The cluster this snapshot belongs to; drawn when the cluster was bootstrapped.
    pub cluster: u64,
    /// The membership in force at `index`.
    pub members: Membership,
    /// The encoded state machine.
    #[br(parse_with = read_bytes)]
    #[bw(write_with = write_bytes)]
    pub state: Vec<u8>,
}

/// What must be synced before a vote or a message of a new term is sent. Invariant:
/// `term` never falls; a vote given in a term is not changed within it.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, Debug, PartialEq, Default, Hash)]
pub struct HardState {
    /// The latest term this node has seen.
    pub term: Term,
    /// The candidate voted for in `term`; 0 for no vote.
    pub vote: NodeId,
    /// The cluster this node belongs to; 0 for none yet.
    pub cluster: u64,
}

/// A message from one node to another.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Message {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The sender's cluster; messages of another cluster are dropped.
    pub cluster: u64,
    /// The sender's term.
    pub term: Term,
    /// What is asked or answered.
    pub body: MessageBody,
}

/// Requests and responses of the protocol.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum MessageBody {
    /// Asks whether a vote would be granted; changes no state at the receiver.
    #[brw(magic = 0u8)]
    PreVote {
        /// Index of the last entry in the sender's log.
        last_log_index: LogIndex,
        /// Term of that entry.
        last_log_term: Term,
    },
    /// Answers a pre-vote.
    #[brw(magic = 1u8)]
    PreVoteResponse {
        /// Whether the receiver would vote for the sender of the request.
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    #[brw(magic = 2u8)]
    RequestVote {
        /// Index of the last entry in the candidate's log.
        last_log_index: LogIndex,
        /// Term of that entry.
        last_log_term: Term,
        /// The election needs no wait for the leader's silence: the leader itself asked
        /// for it, or the cluster is being bootstrapped.
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        is_transfer: bool,
    },
    /// Answers a request for a vote.
    #[brw(magic = 3u8)]
    RequestVoteResponse {
        /// Whether the vote was given to the candidate.
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    #[brw(magic = 4u8)]
    AppendEntries {
        /// Index of the entry just before `entries`.
        prev_log_index: LogIndex,
        /// Term of that entry; the follower's log must match it.
        prev_log_term: Term,
        /// The leader's commit index.
        leader_commit: LogIndex,
        /// The leader's heartbeat round, returned in the response.
        round: u64,
        /// Consecutive entries from `prev_log_index + 1` on.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        entries: Vec<Entry>,
    },
    /// Answers `AppendEntries` and `InstallSnapshot`; also reports a later sync.
    #[brw(magic = 5u8)]
    AppendEntriesResponse {
        /// Whether the log matched at `prev_log_index`.
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        is_match: bool,
        /// Synced on the sender's disk and the same as the leader's up to
        /// here; where `is_match` is false, where to try next.
        match_index: LogIndex,
        /// The round of the request; 0 where it answers none of this leader's rounds.
        round: u64,
    },
    /// Brings up a follower that needs entries the leader has compacted.
    #[brw(magic = 6u8)]
    InstallSnapshot {
        /// The leader's heartbeat round, returned in the response.
        round: u64,
        /// The leader's latest snapshot.
        snapshot: Snapshot,
    },
    /// The leader asks the receiver to campaign at once, without a pre-vote.
    #[brw(magic = 7u8)]
    TimeoutNow,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} ({:016x}, {}, {})",
            self.name, self.identity, self.zone, self.address
        )
    }
}
