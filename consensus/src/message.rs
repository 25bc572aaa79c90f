//! Messages between nodes: the thesis' RPCs, each request and response a message of its
//! own (Raft thesis, figure 3.1; pre-vote §9.6, leadership transfer §3.10).

use crate::codec::{read_bool, read_list, write_bool, write_list};
use crate::{ClusterId, Entry, LogIndex, NodeId, Snapshot, Term};
use binrw::binrw;

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
    pub cluster: ClusterId,
    /// The sender's term.
    pub term: Term,
    /// The request or response.
    pub body: MessageBody,
}

/// Requests and responses of the protocol (Raft thesis, figure 3.1). The magic number of
/// each kind and the order of its fields are the layout on the wire.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum MessageBody {
    /// Asks whether a vote would be granted; changes no state at the receiver (Raft
    /// thesis §9.6).
    #[brw(magic = 0u8)]
    PreVote {
        /// Index of the last entry in the sender's log.
        last_log_index: LogIndex,
        /// Term of that entry.
        last_log_term: Term,
    },
    /// Answers `PreVote`.
    #[brw(magic = 1u8)]
    PreVoteResponse {
        /// Whether the receiver would vote for the sender of the request.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        granted: bool,
    },
    /// Asks for a vote in the sender's term (Raft thesis §3.4, figure 3.1).
    #[brw(magic = 2u8)]
    RequestVote {
        /// Index of the last entry in the candidate's log.
        last_log_index: LogIndex,
        /// Term of that entry.
        last_log_term: Term,
        /// Disregards a live leader (Raft thesis §4.2.3): the leader itself asked for the
        /// election (§3.10), or the cluster is being bootstrapped.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        is_transfer: bool,
    },
    /// Answers `RequestVote`.
    #[brw(magic = 3u8)]
    RequestVoteResponse {
        /// Whether the vote was granted to the candidate.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat (Raft thesis §3.5, figure
    /// 3.1).
    #[brw(magic = 4u8)]
    AppendEntries {
        /// Index of the entry that immediately precedes `entries`.
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
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        is_match: bool,
        /// Where `is_match`: the last index up to which the sender's log is synced and
        /// known to equal the leader's. Otherwise: the index after which the leader tries
        /// next (Raft thesis §3.5, conflict hint).
        match_index: LogIndex,
        /// The round of the request; 0 where it answers none of this leader's rounds.
        round: u64,
    },
    /// Replaces the log of a follower that needs entries which the leader has discarded
    /// (Raft thesis §5.1, figure 5.3).
    #[brw(magic = 6u8)]
    InstallSnapshot {
        /// The leader's heartbeat round, returned in the response.
        round: u64,
        /// The leader's latest snapshot.
        snapshot: Snapshot,
    },
    /// The leader asks the receiver to campaign at once, without a pre-vote (Raft thesis
    /// §3.10).
    #[brw(magic = 7u8)]
    TimeoutNow,
}
