//! What the thread tells others of how the node stands.

use super::DriverThread;
use crate::driver::{ClusterStatus, MembershipReport};
use consensus::node::Role;
use consensus::{Member, Membership};
use protocol::PeerResponse;

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

    /// Tells all how this node stands, where that has changed.
    pub(super) fn publish_status(&mut self) {
        let node = &self.node;
        let is_same = {
            let before = self.cluster_status.borrow();
            before.is_leader == (node.role() == Role::Leader)
                && before.leader == node.leader()
                && before.term == node.term()
                && before.cluster == node.cluster()
                && before.commit_index == node.commit_index()
                && before.applied_index == node.applied_index()
                && before.last_index == node.last_index()
                && before.is_disk_stalled == node.is_stalled()
                && before.progress.iter().copied().eq(node.progress())
                && before.members == *node.members()
        };
        if is_same {
            return;
        }
        let cluster_status = ClusterStatus {
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
        };
        if cluster_status.is_leader {
            self.renew_grants();
        }
        let before = self.cluster_status.send_replace(cluster_status);
        let cluster_status = self.cluster_status.borrow();
        if before.leader != cluster_status.leader {
            // What was asked of the former leader is asked again elsewhere.
            for (_, sent) in std::mem::take(&mut self.sent_requests) {
                drop(sent.reply.send(PeerResponse::LeadershipLost));
            }
            log::info!(term = cluster_status.term; "leader is {}",
                cluster_status.leader.and_then(|id| cluster_status.members.get(id)).map_or("not known".into(), |m| m.to_string()));
        }
    }
}
