//! Steps of a node, what they cause, and the properties that are checked meanwhile.

use super::super::state::Applied;
use super::super::traffic::size;
use super::{Cluster, Event, ADD_LEARNER};
use consensus::node::{Effect, Input, Role, Token};
use consensus::{Entry, Message, MessageBody};

impl Cluster {
    pub fn step(&mut self, at: usize, input: Input) {
        let now = self.now;
        let Some(running) = self.machines[at].running.as_mut() else {
            return;
        };
        let effects = running.node.step(now, input);
        for effect in effects {
            self.carry_out(at, effect);
        }
        self.take_snapshot(at);
        self.check_leader(at);
    }

    pub(super) fn take_snapshot(&mut self, at: usize) {
        let (policy, state_bytes) = (self.conditions.policy, self.conditions.state_bytes);
        let Some(running) = self.machines[at].running.as_ref() else {
            return;
        };
        if running.node.is_snapshot_due(policy) {
            let state = running.applied.snapshot(state_bytes);
            self.step(at, Input::SnapshotTaken(running.applied.index, state));
        }
    }

    pub(super) fn check_leader(&mut self, at: usize) {
        let Some(node) = self.node(at).filter(|node| node.role() == Role::Leader) else {
            return;
        };
        let (term, identity) = (node.term(), node.identity());
        let known = *self.leaders.entry(term).or_insert(identity);
        assert_eq!(known, identity, "one leader in term {term}");
    }

    pub(super) fn carry_out(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Write(ticket, writes) => {
                let running = self.machines[at].running.as_mut().expect("it just stepped");
                if !running.is_disk_failed {
                    running.queued.push_back((ticket, writes));
                    self.begin_write(at);
                }
            }
            Effect::Send(message) => self.send(at, message),
            Effect::Apply(entry, token) => self.apply(at, &entry, token),
            Effect::Restore(snapshot) => {
                let applied = Applied::restored(&snapshot.state);
                assert_eq!(
                    Some(&applied.sum),
                    self.checksums.get(&applied.index),
                    "restored at {at}"
                );
                let running = self.machines[at].running.as_mut().expect("it just stepped");
                assert!(
                    applied.index > running.applied.index,
                    "a state is never undone"
                );
                running.applied = applied;
            }
            Effect::ReadReady(acknowledged, index) => {
                assert!(
                    index >= acknowledged,
                    "a read at {index} misses {acknowledged}"
                );
                self.reads += 1;
            }
            Effect::Rejected(..) => {}
        }
    }

    pub(super) fn apply(&mut self, at: usize, entry: &Entry, token: Option<Token>) {
        let running = self.machines[at].running.as_mut().expect("it just stepped");
        assert_eq!(
            entry.index,
            running.applied.index + 1,
            "node {at} applies in order"
        );
        running.applied = running.applied.after(entry);
        let sum = running.applied.sum;
        let known = *self.checksums.entry(entry.index).or_insert(sum);
        assert_eq!(
            known, sum,
            "node {at} applies another entry {}",
            entry.index
        );
        if token.is_some_and(|token| token != ADD_LEARNER) {
            self.acknowledged = self.acknowledged.max(entry.index);
        }
    }

    pub(super) fn send(&mut self, from: usize, message: Message) {
        let to = message.to as usize - 1;
        self.traffic[to].count(&message);
        let is_snapshot = matches!(message.body, MessageBody::InstallSnapshot { .. });
        if is_snapshot && self.snapshots_to_lose > 0 {
            self.snapshots_to_lose -= 1;
            return;
        }
        if self.cut_links.contains(&(from, to)) || self.draw(1_000) < self.conditions.lost_permille
        {
            return;
        }
        let copies = if self.draw(1_000) < self.conditions.duplicated_permille {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.conditions.link_ms + self.draw(self.conditions.jitter_ms + 1);
            let delay = delay + self.transmit(from, to, &message);
            self.schedule(delay, Event::Deliver(message.clone()));
        }
    }

    /// How long a message takes to be put on its link, behind all that was sent before it.
    fn transmit(&mut self, from: usize, to: usize, message: &Message) -> u64 {
        let Some(bytes_per_s) = self.conditions.link_bytes_per_s else {
            return 0;
        };
        let free_at_ms = self.link_free_at_ms.entry((from, to)).or_default();
        let begin_ms = self.now.max(*free_at_ms);
        *free_at_ms = begin_ms + size(message) * 1_000 / bytes_per_s;
        *free_at_ms - self.now
    }
}
