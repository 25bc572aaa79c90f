//! Reads without a leader: whether a copy of the state is the newest, by what a majority
//! of the voters say of their logs when they are asked one by one.
//!
//! A leader's read index (Raft thesis §6.4) needs a leader that reaches a majority. Where
//! the voters are cut off from each other and not from the reader, or have restarted and
//! not elected a leader yet, the reader asks each of them itself. An entry is acknowledged
//! only once a majority has it on disk, and two majorities meet: if nobody in a majority
//! has a command that the copy lacks, none was acknowledged before the first of them was
//! asked.
//!
//! Which majority: each node reports the membership in force in its log, and the quorum has
//! to be a majority of every membership that it reports. Why that is enough:
//!
//! Memberships change one server at a time, so majorities of neighbours meet, and a leader
//! changes it only when the one before, and an entry of its own term, are committed (§4.1).
//! Let C be the newest committed membership that a log in the quorum Q holds. Its node
//! reports C, or an uncommitted successor X; either way Q meets each majority of C.
//!
//! 1. No successor D of C was committed before Q was asked. Its leader had committed an entry
//!    of its own term by a majority of C. A node of Q has that entry, hence C and not X, and
//!    not D, since C is the newest committed in Q: it reports C. So Q is a majority of C and
//!    meets those who have D on disk, whose node would report D or a later one.
//! 2. A command that was committed under C, or under an older membership, is on a majority
//!    of C, or in every log that holds C: Q has it. One that was committed under an
//!    uncommitted successor Y of C is on a majority of Y. As above, a node of Q reports C or
//!    Y, so Q is a majority of one of them and meets that majority.

use crate::codec::{read_list, write_list};
use crate::{ClusterId, LogIndex, NodeId};
use binrw::binrw;

/// What a node says of its log. It has to be made after it was asked for, from everything
/// that the node has in its log, synced or not.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogReport {
    /// The node.
    pub identity: NodeId,
    /// The cluster that it belongs to; 0 for none.
    pub cluster: ClusterId,
    /// No command in its log that may have changed the state has a higher index.
    pub newest_change: LogIndex,
    /// The voters of the membership in force in its log.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub voters: Vec<NodeId>,
}

impl LogReport {
    /// Whether this node has no change that a copy of the state lacks.
    fn is_covered_by(&self, cluster: ClusterId, epoch: LogIndex) -> bool {
        self.cluster == cluster && self.newest_change <= epoch
    }
}

/// Whether these reports show that a copy of the state lacks no change that was
/// acknowledged before the first of them was asked for. `epoch` is the index of the last
/// change that the copy holds, of the log of `cluster`.
pub fn is_current<'a>(
    reports: impl IntoIterator<Item = &'a LogReport>,
    cluster: ClusterId,
    epoch: LogIndex,
) -> bool {
    let reports = reports.into_iter();
    let quorum: Vec<&LogReport> = reports
        .filter(|report| report.is_covered_by(cluster, epoch))
        .collect();
    let is_present = |voter: &&NodeId| quorum.iter().any(|report| report.identity == **voter);
    let is_majority = |report: &&LogReport| {
        let present = report.voters.iter().filter(is_present).count();
        present > report.voters.len() / 2
    };
    !quorum.is_empty() && quorum.iter().all(is_majority)
}
