//! The members of a cluster and how one change of membership alters them (Raft thesis
//! §4; the thesis calls a membership a cluster configuration).

use crate::codec::{read_list, read_string, write_list, write_string};
use crate::NodeId;
use binrw::binrw;
use std::fmt;

/// One directory node as its peers know it. Invariant: an identity belongs to one data
/// directory for good; a node that lost its data directory gets a new identity.
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

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} ({:016x}, {}, {})",
            self.name, self.identity, self.zone, self.address
        )
    }
}

/// One change of the membership, of a single server at a time (Raft thesis §4.1).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MembershipChange {
    /// A learner becomes a voter.
    PromoteLearner(NodeId),
    /// A voter becomes a learner; it keeps its identity and its disk.
    DemoteVoter(NodeId),
    /// A learner leaves the membership; it may be added again.
    RemoveLearner(NodeId),
}

/// The members of the cluster: a configuration in the words of Raft thesis §4.1.
/// Invariant: no identity occurs twice, in one list or over all three.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Default, Hash)]
pub struct Membership {
    /// Members that vote and whose majority is a quorum (Raft thesis §3.4).
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub voters: Vec<Member>,
    /// Members that receive the log and do not vote: non-voting servers that catch up
    /// before they become voters (Raft thesis §4.2.1).
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub learners: Vec<Member>,
    /// Identities of removed members, which are never admitted again.
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

    /// Size of the smallest quorum: a strict majority of the voters (Raft thesis §3.4).
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Makes one change, which affects a single server (Raft thesis §4.1). A change of a
    /// member that is not found has no effect.
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
