//! What a node says of its log to whoever reads without a leader.

use super::Node;
use crate::quorum_read::LogReport;
use crate::LogIndex;

impl Node {
    /// What the log holds now. `epoch` is the index of the last applied command that
    /// changed the state.
    pub fn log_report(&self, epoch: LogIndex) -> LogReport {
        let voters = self.members().voters.iter();
        LogReport {
            identity: self.identity,
            cluster: self.cluster(),
            newest_change: self.log.newest_unapplied_command().unwrap_or(epoch),
            voters: voters.map(|voter| voter.identity).collect(),
        }
    }
}
