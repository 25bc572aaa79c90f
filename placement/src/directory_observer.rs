//! What a router knows of the directory nodes while none renews its lease: whether its
//! view is current all the same, by the nodes' own words, and whether it is cut off from a
//! majority of them.
//!
//! The router keeps a connection to each node and asks what the node's log holds. That a
//! node does not answer says nothing of the network: its process may be overloaded or stand
//! still, while it, or the rest of the majority, goes on to acknowledge changes. What the
//! node's machine does says more, since its kernel acts without the process:
//!
//! - It acknowledges what is sent on a connection that stands. One on which it did not for
//!   too long shows that the machine is cut off, or has no power.
//! - It refuses a connection where no process listens.
//! - It drops new connections without a word while the process has too many waiting: an
//!   attempt that times out shows nothing by itself. It only says that a machine which was
//!   found out of reach has not come back yet.

use consensus::quorum_read::{is_current, LogReport};
use consensus::{ClusterId, Member, NodeId};
use protocol::{StateReport, LEASE_MS};
use residency::Epoch;
use std::collections::{BTreeMap, HashMap};

/// What a machine does not acknowledge for so long shows that it is out of reach. The kernel
/// counts from its first retransmission, so that a connection ends about 0.4 s later. With
/// that, it is longer than a link whose queue is full holds a packet.
pub const ACKNOWLEDGEMENT_TIMEOUT_MS: u64 = 1_200;
/// That a machine was found out of reach counts for so long. Invariant: longer than the next
/// attempts to connect take with the pause before them; they confirm it or end it.
const OUT_OF_REACH_MS: u64 = 3_000;
/// A refused connection shows for so long that its node's process does not run.
const REFUSAL_MS: u64 = 1_000;
/// For how long it counts that the router is cut off. It looks again well within that.
const CUT_OFF_MS: u64 = 600;

/// Why a router may act on its view without a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtensionReason {
    /// A majority of the voters has no newer change.
    ConfirmedByMajority,
    /// No majority of the voters can be acting within reach.
    CutOff(VotersOutOfReach),
}

/// How many voters are out of reach, by the evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VotersOutOfReach {
    /// Their machines did not acknowledge what was sent.
    pub unacknowledged: usize,
    /// Their machines refuse connections.
    pub refusing: usize,
    /// Another node runs at their address.
    pub replaced: usize,
}

impl VotersOutOfReach {
    fn count(&self) -> usize {
        self.unacknowledged + self.refusing + self.replaced
    }
}

/// How long a router may act on its view without a lease, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseExtension {
    /// Until when, in milliseconds of the router's clock.
    pub until_ms: u64,
    /// What allows it.
    pub reason: ExtensionReason,
}

/// The latest answer of a node.
struct Answer {
    asked_at_ms: u64,
    log: LogReport,
}

/// What is known of one node.
#[derive(Default)]
struct ObservedNode {
    /// When the queries were sent that the connection to it has not answered, by number.
    unanswered: BTreeMap<u64, u64>,
    answer: Option<Answer>,
    refused_at_ms: Option<u64>,
    /// The machine did not acknowledge what was sent, and nothing came from it since.
    is_unacknowledged: bool,
    /// When that was last seen; `None` where it is to be seen anew.
    unacknowledged_at_ms: Option<u64>,
}

impl ObservedNode {
    fn is_unacknowledged(&self, now: u64) -> bool {
        self.unacknowledged_at_ms
            .is_some_and(|seen_at_ms| now < seen_at_ms + OUT_OF_REACH_MS)
    }

    fn is_refusing(&self, now: u64) -> bool {
        self.refused_at_ms
            .is_some_and(|refused_at_ms| now < refused_at_ms + REFUSAL_MS)
    }

    /// Whether another node than this one runs at the address: one that lost its disk comes
    /// back with a new identity.
    fn is_replaced(&self, voter: NodeId) -> bool {
        self.answer
            .as_ref()
            .is_some_and(|answer| answer.log.identity != voter)
    }

    /// Something came from its machine.
    fn record_sign_of_machine(&mut self) {
        self.is_unacknowledged = false;
        self.unacknowledged_at_ms = None;
    }
}

/// The directory nodes as a router observes them, by address.
#[derive(Default)]
pub struct DirectoryObserver {
    nodes: HashMap<String, ObservedNode>,
    /// When this process resumed from its latest suspension.
    resumed_at_ms: Option<u64>,
}

impl DirectoryObserver {
    /// Forgets all nodes but these.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.nodes.retain(|address, _| is_member(address));
    }

    /// A query was sent on the connection to a node.
    pub fn record_query(&mut self, now: u64, address: &str, number: u64) {
        self.node(address).unanswered.insert(number, now);
    }

    /// A node answered a query. What it was not asked counts for nothing.
    pub fn record_report(&mut self, address: &str, report: StateReport) {
        let Some(node) = self.nodes.get_mut(address) else {
            return;
        };
        let Some(asked_at_ms) = node.unanswered.remove(&report.number) else {
            return;
        };
        // Answers keep their order: earlier ones will not come any more.
        node.unanswered = node.unanswered.split_off(&report.number);
        node.record_sign_of_machine();
        let log = report.log;
        node.answer = Some(Answer { asked_at_ms, log });
    }

    /// A connection to a node's machine came up, or the machine closed or refused one.
    pub fn record_sign_of_machine(&mut self, address: &str) {
        self.node(address).record_sign_of_machine();
    }

    /// The standing connection to a node was closed.
    pub fn record_connection_end(&mut self, address: &str) {
        if let Some(node) = self.nodes.get_mut(address) {
            node.unanswered.clear();
        }
    }

    /// The standing connection to a node ended since its machine acknowledged nothing for
    /// [`ACKNOWLEDGEMENT_TIMEOUT_MS`].
    pub fn record_unacknowledged(&mut self, now: u64, address: &str) {
        // The clock of a connection goes on while this process, or its machine, stands still.
        let covers_suspension = self
            .resumed_at_ms
            .is_some_and(|resumed_at_ms| now < resumed_at_ms + ACKNOWLEDGEMENT_TIMEOUT_MS);
        let node = self.node(address);
        node.unanswered.clear();
        node.is_unacknowledged = true;
        // An attempt to connect has to confirm it.
        node.unacknowledged_at_ms = (!covers_suspension).then_some(now);
    }

    /// An attempt to connect to a node's machine that began at `began_at_ms` timed out.
    pub fn record_attempt_timeout(&mut self, now: u64, address: &str, began_at_ms: u64) {
        let is_after_suspension = self.resumed_at_ms.is_none_or(|at_ms| began_at_ms >= at_ms);
        let node = self.node(address);
        if node.is_unacknowledged && is_after_suspension {
            node.unacknowledged_at_ms = Some(now);
        }
    }

    /// A node's machine refused a connection: no process listens there.
    pub fn record_refusal(&mut self, now: u64, address: &str) {
        let node = self.node(address);
        node.unanswered.clear();
        node.record_sign_of_machine();
        node.refused_at_ms = Some(now);
    }

    /// This process was suspended until `now`: what it knows of the network is old.
    pub fn record_resumption(&mut self, now: u64) {
        self.resumed_at_ms = Some(now);
        for node in self.nodes.values_mut() {
            node.refused_at_ms = None;
            node.unacknowledged_at_ms = None;
        }
    }

    fn node(&mut self, address: &str) -> &mut ObservedNode {
        self.nodes.entry(address.to_string()).or_default()
    }

    /// Whether a node's machine was found out of reach, and nothing came from it since.
    pub fn is_unacknowledged(&self, address: &str) -> bool {
        self.nodes
            .get(address)
            .is_some_and(|node| node.is_unacknowledged)
    }

    /// How long a router may act on its view without a lease; `None` where nothing
    /// allows it. The view is of `cluster` at `epoch`; `members` are the directory nodes
    /// that it knows.
    pub fn lease_extension(
        &self,
        now: u64,
        cluster: ClusterId,
        epoch: Epoch,
        members: &[Member],
    ) -> Option<LeaseExtension> {
        let confirmed_at_ms = self.confirmed_at_ms(cluster, epoch);
        let confirmed = confirmed_at_ms.map(|at_ms| LeaseExtension {
            until_ms: at_ms + LEASE_MS,
            reason: ExtensionReason::ConfirmedByMajority,
        });
        let cut_off = self.cut_off(now, members).map(|voters| LeaseExtension {
            until_ms: now + CUT_OFF_MS,
            reason: ExtensionReason::CutOff(voters),
        });
        confirmed
            .into_iter()
            .chain(cut_off)
            .max_by_key(|extension| extension.until_ms)
            .filter(|extension| now < extension.until_ms)
    }

    /// The latest time at which the view was current by the words of a majority: when the
    /// first of them was asked.
    fn confirmed_at_ms(&self, cluster: ClusterId, epoch: Epoch) -> Option<u64> {
        let mut answers: Vec<&Answer> = self.answers().collect();
        answers.sort_unstable_by_key(|answer| std::cmp::Reverse(answer.asked_at_ms));
        let is_confirmed_by = |count: &usize| {
            let reports = answers[..*count].iter().map(|answer| &answer.log);
            is_current(reports, cluster, epoch)
        };
        let needed = (1..=answers.len()).find(is_confirmed_by)?;
        Some(answers[needed - 1].asked_at_ms)
    }

    /// The voters out of reach, if fewer than a majority can be acting within reach. The
    /// router can't tell then whether those out of reach agree on changes without it.
    fn cut_off(&self, now: u64, members: &[Member]) -> Option<VotersOutOfReach> {
        let voters = self.voters(members);
        let out_of_reach = self.out_of_reach(now, &voters, members);
        let within_reach = voters.len() - out_of_reach.count();
        let is_cut_off = !voters.is_empty() && within_reach <= voters.len() / 2;
        is_cut_off.then_some(out_of_reach)
    }

    fn out_of_reach(&self, now: u64, voters: &[NodeId], members: &[Member]) -> VotersOutOfReach {
        let mut out_of_reach = VotersOutOfReach::default();
        for voter in voters {
            let member = members.iter().find(|member| member.identity == *voter);
            match member.and_then(|member| self.nodes.get(&member.address)) {
                Some(node) if node.is_unacknowledged(now) => out_of_reach.unacknowledged += 1,
                Some(node) if node.is_refusing(now) => out_of_reach.refusing += 1,
                Some(node) if node.is_replaced(*voter) => out_of_reach.replaced += 1,
                _ => {}
            }
        }
        out_of_reach
    }

    /// The voters by the latest answer; before the first, all members.
    fn voters(&self, members: &[Member]) -> Vec<NodeId> {
        let of_members = self
            .answers()
            .filter(|answer| !answer.log.voters.is_empty());
        match of_members.max_by_key(|answer| answer.asked_at_ms) {
            Some(answer) => answer.log.voters.clone(),
            None => members.iter().map(|member| member.identity).collect(),
        }
    }

    fn answers(&self) -> impl Iterator<Item = &Answer> {
        self.nodes.values().filter_map(|node| node.answer.as_ref())
    }
}
