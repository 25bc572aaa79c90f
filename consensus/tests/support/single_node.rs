//! One node whose writes are on disk at once; the test plays all other nodes.

use consensus::node::{Effect, Input, Node, PersistedState, Role, Timing};
use consensus::{Entry, HardState, LogIndex, Message, MessageBody, NodeId, Term};

const CLUSTER: u64 = 7;
const IDENTITY: NodeId = 1;
const TICK_MS: u64 = 50;

/// Node 1, what it has applied and what it has sent.
pub struct SingleNode {
    pub node: Node,
    pub applied: Vec<LogIndex>,
    /// What it sent, in order.
    pub sent: Vec<Message>,
    now: u64,
}

impl SingleNode {
    /// Starts it in this term with these entries on its disk.
    pub fn start(term: Term, entries: Vec<Entry>) -> SingleNode {
        let now = 1_000;
        let persisted = PersistedState {
            hard_state: HardState {
                term,
                vote: 0,
                cluster: CLUSTER,
            },
            snapshot: None,
            entries,
        };
        SingleNode {
            node: Node::new(IDENTITY, Timing::default(), 9, now, persisted),
            applied: Vec::new(),
            sent: Vec::new(),
            now,
        }
    }

    fn step(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for effect in self.node.step(self.now, input) {
                match effect {
                    Effect::Write(ticket, _) => inputs.push(Input::Synced(ticket)),
                    Effect::Apply(entry, _) => self.applied.push(entry.index),
                    Effect::Send(message) => self.sent.push(message),
                    _ => {}
                }
            }
        }
    }

    /// The node's time, in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// One tick, at the same time as the step before.
    pub fn tick(&mut self) {
        self.step(Input::Tick);
    }

    /// Lets time pass until its election timer runs out.
    pub fn run_until_pre_candidate(&mut self) {
        while self.node.role() != Role::PreCandidate {
            self.now += TICK_MS;
            self.step(Input::Tick);
        }
    }

    /// A message from another node arrives.
    pub fn receive(&mut self, from: NodeId, term: Term, body: MessageBody) {
        self.step(Input::Received(Message {
            from,
            to: IDENTITY,
            cluster: CLUSTER,
            term,
            body,
        }));
    }
}
