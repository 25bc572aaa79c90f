//! What the consensus thread publishes and logs about the node and its cluster.

use super::driver_thread::DriverThread;
use crate::driver::status::{ClusterStatus, MembershipReport};
use consensus::node::Role;
use consensus::quorum_read::LogReport;
use consensus::{Member, Membership};

/// The members by name.
pub(super) fn describe(members: &Membership) -> String {
    let names = |members: &[Member]| {
        let names: Vec<&str> = members.iter().map(|member| member.name.as_str()).collect();
        names.join(", ")
    };
    format!(
        "voters: {}; learners: {}",
        names(&members.voters),
        names(&members.learners)
    )
}

impl DriverThread {
    pub(super) fn membership_report(&self) -> MembershipReport {
        if self.node.role() != Role::Leader {
            return MembershipReport::default();
        }
        let members = self.node.members();
        let voters = self.node.health_of(&members.voters);
        let learners = self.node.health_of(&members.learners);
        let health = voters.iter().chain(&learners);
        MembershipReport {
            silent_ms: health
                .map(|known| (known.member.identity, known.silent_ms))
                .collect(),
            is_changing: !self.node.can_change_membership(),
            repair: match self.node.next_change() {
                Ok(change) => format!("{change:?}"),
                Err(standstill) => standstill.to_string(),
            },
        }
    }

    /// What this node's log holds now.
    pub(super) fn log_report(&self) -> LogReport {
        let epoch = self.published.state.read().epoch();
        self.node.log_report(epoch)
    }

    fn current_status(&self) -> ClusterStatus {
        let node = &self.node;
        ClusterStatus {
            is_leader: node.role() == Role::Leader,
            leader: node.leader(),
            term: node.term(),
            cluster: node.cluster(),
            members: node.members().clone(),
            commit_index: node.commit_index(),
            applied_index: node.applied_index(),
            last_index: node.last_index(),
            is_disk_stalled: node.is_stalled(),
            progress: node.progress().collect(),
        }
    }

    /// Whether `status` is the node's own; compared without a copy, since this is checked
    /// after every command.
    fn is_published(&self, status: &ClusterStatus) -> bool {
        let node = &self.node;
        status.is_leader == (node.role() == Role::Leader)
            && status.leader == node.leader()
            && status.term == node.term()
            && status.cluster == node.cluster()
            && status.commit_index == node.commit_index()
            && status.applied_index == node.applied_index()
            && status.last_index == node.last_index()
            && status.is_disk_stalled == node.is_stalled()
            && status.progress.iter().copied().eq(node.progress())
            && status.members == *node.members()
    }

    /// Publishes the node's status, where it has changed.
    pub(in crate::driver) fn publish_status(&mut self) {
        if self.is_published(&self.published.cluster_status.borrow()) {
            return;
        }
        let status = self.current_status();
        if status.is_leader {
            self.grants.enter_term(status.term);
        }
        let before = self.published.cluster_status.send_replace(status);
        let status = self.published.cluster_status.borrow();
        if before.leader != status.leader {
            // Requests that were sent to the former leader are retried at the new one.
            self.requests.lose_sent();
            let leader = status.leader.and_then(|id| status.members.get(id));
            match leader {
                Some(leader) => log::info!(term = status.term; "The leader is {leader}"),
                None => log::info!(term = status.term; "The leader is not known"),
            }
        }
    }
}
