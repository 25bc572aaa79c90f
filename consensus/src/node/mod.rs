//! One Raft node as a state machine without I/O.
//!
//! [`Node::step`] takes an [`Input`] and returns [`Effect`]s; the driver carries them out
//! and reports back. A leader is elected by a majority of the voters after a pre-vote,
//! which does not change terms (Raft thesis §9.6); an entry is committed once a majority
//! has it synced (§3.5, §3.6.2); a read index is valid after a heartbeat round with a
//! majority that began after the read (§6.4).
//!
//! State, each kind in the file that owns it:
//! - `election_state`: role, leader, votes, election timer;
//! - `raft_log`: snapshot, entries, commit and applied index;
//! - `durable_state`: hard state, unsynced writes, the messages that wait for them;
//! - `membership_state`: the membership in force and those before it;
//! - `progress`: what the leader knows of each member;
//! - `proposal_queue`: local proposals that are not committed yet;
//! - `read_index`: reads that wait for a heartbeat round.
//!
//! What happens:
//! - `receive`: a message arrives; terms, votes;
//! - `election`: ticks, campaigns, leadership won, lost and transferred;
//! - `replication`: the leader sends entries and takes the answers;
//! - `append`: a follower appends entries;
//! - `log_report`: what the node says of its log;
//! - `commit`: proposals, the commit index, applying;
//! - `membership`: changes of membership; `snapshot`: taking and installing snapshots.

mod append;
mod commit;
mod durable_state;
mod effect;
mod election;
mod election_state;
mod input;
mod log_report;
mod membership;
mod membership_state;
mod progress;
mod proposal_queue;
mod raft_log;
mod read_index;
mod receive;
mod replication;
mod snapshot;
mod timing;

pub use effect::{Effect, PersistedState, Write};
pub use election_state::Role;
pub use input::{Input, MembershipChangeError, RequestError, Token, WriteTicket};
pub use timing::{SnapshotPolicy, Timing};

use crate::{
    ClusterId, Entry, EntryPayload, HardState, LogIndex, Membership, Message, MessageBody, NodeId,
    Snapshot, Term,
};
use durable_state::DurableState;
use election_state::ElectionState;
use membership_state::MembershipState;
use progress::ReplicationState;
use proposal_queue::ProposalQueue;
use raft_log::RaftLog;
use read_index::ReadIndexQueue;

/// One node. Its invariants are those of the states that it consists of; across them:
/// the membership in force is that of the newest membership entry in the log, and a
/// message is sent only when the hard state that it rests on is synced.
#[derive(Clone, Hash)]
pub struct Node {
    identity: NodeId,
    timing: Timing,
    /// Milliseconds of the driver's monotonic clock, as of the latest step.
    now: u64,
    election: ElectionState,
    log: RaftLog,
    durable: DurableState,
    membership: MembershipState,
    replication: ReplicationState,
    reads: ReadIndexQueue,
    proposals: ProposalQueue,
    /// Collected in this step.
    effects: Vec<Effect>,
}

impl Node {
    /// A follower with the state read back from disk. `now` is in milliseconds of the
    /// caller's monotonic clock; `seed` determines the random election timeouts.
    pub fn new(
        identity: NodeId,
        timing: Timing,
        seed: u64,
        now: u64,
        persisted: PersistedState,
    ) -> Node {
        let snapshot = persisted.snapshot.unwrap_or(Snapshot {
            index: 0,
            term: 0,
            cluster: persisted.hard_state.cluster,
            members: Membership::default(),
            state: Vec::new(),
        });
        let mut node = Node {
            identity,
            timing,
            now,
            election: ElectionState::new(seed),
            durable: DurableState::new(persisted.hard_state, snapshot.index),
            membership: MembershipState::new(snapshot.index, snapshot.members.clone()),
            log: RaftLog::new(snapshot),
            replication: ReplicationState::new(),
            reads: ReadIndexQueue::default(),
            proposals: ProposalQueue::default(),
            effects: Vec::new(),
        };
        for entry in persisted.entries {
            node.append_in_memory(entry);
        }
        node.durable.synced_index = node.last_index();
        node.election
            .reset_first_timer(now, timing.election_timeout_ms);
        node
    }

    /// This node's identity.
    pub fn identity(&self) -> NodeId {
        self.identity
    }
    /// Its role in the current term (Raft thesis §3.3).
    pub fn role(&self) -> Role {
        self.election.role
    }
    /// The leader of the current term, where it is known.
    pub fn leader(&self) -> Option<NodeId> {
        self.election.leader
    }
    /// The current term (Raft thesis §3.3).
    pub fn term(&self) -> Term {
        self.durable.hard_state.term
    }
    /// The cluster it belongs to; 0 for none yet.
    pub fn cluster(&self) -> ClusterId {
        self.durable.hard_state.cluster
    }
    /// The membership in force: the newest in the log, committed or not (Raft thesis
    /// §4.1).
    pub fn members(&self) -> &Membership {
        self.membership.current()
    }
    /// The latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }
    /// Index of the last entry known to be committed (Raft thesis §3.5).
    pub fn commit_index(&self) -> LogIndex {
        self.log.commit_index
    }
    /// Index of the last applied entry (Raft thesis §3.5).
    pub fn applied_index(&self) -> LogIndex {
        self.log.applied_index
    }
    /// Number of log entries after the snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }
    /// Index of the last entry in the log, synced or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }
    /// Whether the disk failed, or the oldest unsynced write has waited too long.
    pub fn is_stalled(&self) -> bool {
        self.durable
            .is_stalled(self.now, self.timing.write_stall_ms)
    }
    /// The match index of each other member, as this leader knows it (Raft thesis,
    /// figure 3.1).
    pub fn progress(&self) -> impl Iterator<Item = (NodeId, LogIndex)> + '_ {
        self.replication
            .iter()
            .map(|(id, progress)| (id, progress.match_index))
    }

    /// When time alone next changes something here, in milliseconds of the driver's
    /// clock: a tick before then has no effect.
    pub fn next_deadline(&self) -> u64 {
        if self.log.has_unapplied() {
            return self.now;
        }
        if self.election.role != Role::Leader {
            return self.election.deadline;
        }
        // The leader steps down once fewer than a majority were heard lately.
        let own = (self.identity, u64::MAX);
        let majority_heard_at = self
            .replication
            .majority_value(self.members(), own, |progress| progress.last_heard_ms);
        self.replication
            .heartbeat_deadline
            .min(self.durable.stall_deadline(self.timing.write_stall_ms))
            .min(majority_heard_at.saturating_add(self.timing.election_timeout_ms))
    }

    /// Takes one input and returns what the driver must do, in order. `now` is in
    /// milliseconds of the driver's monotonic clock and never falls.
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Received(message) => self.receive(message),
            Input::Synced(ticket) => self.on_synced(ticket),
            Input::DiskFailed => {
                self.durable.on_disk_failed();
                self.step_down();
            }
            Input::Bootstrap(member, cluster) => self.bootstrap(member, cluster),
            Input::Propose(token, bytes) => self.propose(token, EntryPayload::Command(bytes)),
            Input::AddLearner(token, member) => self.add_learner(token, member),
            Input::RemoveMember(token, id) => self.remove_member(token, id),
            Input::Leave(token, id) => self.leave(token, id),
            Input::ReadIndex(token) => self.read_index(token),
            Input::TransferLeadership => self.transfer_leadership(),
            Input::SnapshotTaken(index, state) => self.take_snapshot(index, state),
        }
        self.advance_commit();
        self.apply_committed();
        let batch = self.durable.flush(self.last_index(), self.now);
        self.effects.extend(batch);
        std::mem::take(&mut self.effects)
    }

    /// Appends an entry in memory; a membership is in force from here on.
    fn append_in_memory(&mut self, entry: Entry) {
        let index = entry.index;
        let members = match &entry.payload {
            EntryPayload::Membership(members) => Some(members.clone()),
            EntryPayload::Noop | EntryPayload::Command(_) => None,
        };
        self.log.append(entry);
        if let Some(members) = members {
            self.membership.push(index, members);
        }
    }

    /// Appends an entry in memory and to the writes of this step.
    fn append(&mut self, entry: Entry) {
        self.durable.push(Write::Entry(entry.clone()));
        self.append_in_memory(entry);
    }

    /// Appends an entry of the current term; returns its index.
    fn append_new(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.last_index() + 1;
        let term = self.term();
        self.append(Entry {
            index,
            term,
            payload,
        });
        index
    }

    /// Removes all entries from this index on.
    fn truncate(&mut self, from: LogIndex) {
        self.log.truncate(from);
        self.membership.truncate(from);
        self.durable.truncate(from);
    }

    fn persist_hard_state(&mut self, hard_state: HardState) {
        self.durable.persist_hard_state(hard_state);
    }

    /// Sends a message now, or once the hard state that it rests on is synced.
    fn send(&mut self, to: NodeId, body: MessageBody) {
        if to == self.identity {
            return;
        }
        let message = Message {
            from: self.identity,
            to,
            cluster: self.cluster(),
            term: self.term(),
            body,
        };
        let message = self.durable.gate(message);
        self.effects.extend(message.map(Effect::Send));
    }

    fn reject(&mut self, token: Token, error: impl Into<RequestError>) {
        self.effects.push(Effect::Rejected(token, error.into()));
    }

    /// Whether an entry of the current term is committed: before that a leader does not
    /// know the commit index of its predecessors (Raft thesis §6.4).
    fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.log.commit_index) == Some(self.term())
    }
}
