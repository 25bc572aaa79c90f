//! What a router knows of the directory nodes while none renews its lease: whether its
//! view is current all the same, by the nodes' own words, and whether it is cut off from a
//! majority of them.
//!
//! The router keeps a connection to each node and asks what the node's log holds. A node
//! answers from the thread that steps its consensus node, so that one which does not
//! answer does not act either. That is why a silence counts only on a connection that
//! stands: new ones are dropped without a word by a node whose queue of them is full,
//! however well it is.

use consensus::quorum_read::{is_current, LogReport};
use consensus::{ClusterId, Member, NodeId};
use protocol::{StateReport, LEASE_MS};
use residency::Epoch;
use std::collections::{BTreeMap, HashMap};

/// A query that was not answered for so long shows that its node can't be reached or
/// stands still. Invariant: longer than a link whose queue is full holds a frame.
const SILENCE_MS: u64 = 1_500;
/// A refused connection shows for so long that its node's process does not run.
const REFUSAL_MS: u64 = 1_000;
/// For how long it counts that the router is cut off. It looks again well within that.
const CUT_OFF_MS: u64 = 600;

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
}

impl ObservedNode {
    fn is_silent(&self, now: u64) -> bool {
        let oldest_ms = self.unanswered.values().next();
        oldest_ms.is_some_and(|sent_at_ms| now >= sent_at_ms + SILENCE_MS)
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
}

/// The directory nodes as a router observes them, by address.
#[derive(Default)]
pub struct DirectoryObserver {
    nodes: HashMap<String, ObservedNode>,
}

impl DirectoryObserver {
    /// Forgets all nodes but these.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.nodes.retain(|address, _| is_member(address));
    }

    /// A query was sent on the connection to a node.
    pub fn record_query(&mut self, now: u64, address: &str, number: u64) {
        let node = self.nodes.entry(address.to_string()).or_default();
        node.unanswered.insert(number, now);
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
        let log = report.log;
        node.answer = Some(Answer { asked_at_ms, log });
    }

    /// The connection to a node has ended.
    pub fn record_connection_end(&mut self, address: &str) {
        if let Some(node) = self.nodes.get_mut(address) {
            node.unanswered.clear();
        }
    }

    /// A node's machine refused a connection: no process listens there.
    pub fn record_refusal(&mut self, now: u64, address: &str) {
        let node = self.nodes.entry(address.to_string()).or_default();
        node.unanswered.clear();
        node.refused_at_ms = Some(now);
    }

    /// This process was suspended until `now`: answers may wait in its sockets.
    pub fn record_resumption(&mut self, now: u64) {
        for node in self.nodes.values_mut() {
            node.unanswered
                .values_mut()
                .for_each(|sent_at_ms| *sent_at_ms = now);
            node.refused_at_ms = None;
        }
    }

    /// Whether the queries to a node have not been answered for too long.
    pub fn is_silent(&self, now: u64, address: &str) -> bool {
        self.nodes
            .get(address)
            .is_some_and(|node| node.is_silent(now))
    }

    /// Until when a router may act on its view without a lease; `None` where nothing
    /// allows it. The view is of `cluster` at `epoch`; `members` are the directory nodes
    /// that it knows.
    pub fn extends_lease_until_ms(
        &self,
        now: u64,
        cluster: ClusterId,
        epoch: Epoch,
        members: &[Member],
    ) -> Option<u64> {
        let confirmed_at_ms = self.confirmed_at_ms(cluster, epoch);
        let confirmed_until_ms = confirmed_at_ms.map(|at_ms| at_ms + LEASE_MS);
        let cut_off_until_ms = self.is_cut_off(now, members).then_some(now + CUT_OFF_MS);
        confirmed_until_ms
            .max(cut_off_until_ms)
            .filter(|until_ms| now < *until_ms)
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

    /// Whether fewer than a majority of the voters can be acting within reach. The router
    /// can't tell then whether those out of reach agree on changes without it.
    fn is_cut_off(&self, now: u64, members: &[Member]) -> bool {
        let voters = self.voters(members);
        let is_out_of_reach = |voter: &&NodeId| {
            let member = members.iter().find(|member| member.identity == **voter);
            let node = member.and_then(|member| self.nodes.get(&member.address));
            node.is_some_and(|node| {
                node.is_silent(now) || node.is_refusing(now) || node.is_replaced(**voter)
            })
        };
        let out_of_reach = voters.iter().filter(is_out_of_reach).count();
        let within_reach = voters.len() - out_of_reach;
        !voters.is_empty() && within_reach <= voters.len() / 2
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
