//! Operators' requests on their way: at a node, at the leader, and back.

use crate::machine::MachineIndex;
use crate::operator_history::{Intent, Response};
use consensus::LogIndex;
use residency::{Outcome, Proposal};

/// An operator's request at the node that it was sent to.
pub(crate) struct Request {
    pub(crate) id: u64,
    pub(crate) operator: usize,
    pub(crate) intent: Intent,
    pub(crate) machine: MachineIndex,
    /// The incarnation of the machine that received it; a later one does not know it.
    pub(crate) incarnation: u64,
    pub(crate) phase: Phase,
    /// Counts requests to the leader; responses to earlier ones are ignored.
    pub(crate) step: u64,
    pub(crate) until_ms: u64,
}

/// How far a node is with a request.
pub(crate) enum Phase {
    /// A read index is requested.
    ConfirmLeadership,
    /// The state is applied up to this index first.
    CatchUp(LogIndex),
    Submit(Proposal),
}

/// A node's request to the leader. It may arrive when nobody waits for its response.
pub(crate) struct PeerRequest {
    pub(crate) request: u64,
    pub(crate) step: u64,
    /// `None`: a read index is requested.
    pub(crate) proposal: Option<Proposal>,
}

/// A leader's response to a node.
pub(crate) enum LeaderResponse {
    ReadIndex(LogIndex),
    Outcome(Outcome),
    Rejected,
}

impl Request {
    pub(crate) fn new(id: u64, operator: usize, intent: Intent, machine: MachineIndex) -> Request {
        let phase = Phase::ConfirmLeadership;
        Request {
            id,
            operator,
            intent,
            machine,
            incarnation: 0,
            phase,
            step: 0,
            until_ms: 0,
        }
    }
}

/// What is due for operators and their requests.
pub(super) enum OperatorEvent {
    /// A request reaches its node.
    RequestArrives(Box<Request>),
    /// A node goes on with a request.
    RequestResumes(u64),
    /// A node's request to the leader is there.
    LeaderReached {
        request: PeerRequest,
        leader: MachineIndex,
    },
    /// The leader's response is back at the node.
    LeaderResponded {
        request: u64,
        step: u64,
        response: LeaderResponse,
    },
    /// The node's response is back at the operator.
    OperatorResponded {
        operator: usize,
        attempt: u64,
        response: Response,
    },
    /// The operator got no response in time.
    AttemptTimedOut { operator: usize, attempt: u64 },
}
