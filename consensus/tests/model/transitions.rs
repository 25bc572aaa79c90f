//! How each action changes a cluster.

use consensus::node::{Input, PersistedState, Role};
use consensus::{Member, Message, MessageBody, NodeId};
use std::sync::Arc;

use crate::actions::Action;
use crate::checker::Violation;
use crate::cluster::{is_request, member, Cluster, Grain, CLUSTER, EPOCH_MS};
use crate::server::Server;

impl Cluster {
    fn at(&self, identity: NodeId) -> usize {
        self.position(identity)
            .expect("actions name servers that there are")
    }

    fn token(&mut self) -> u64 {
        let history = Arc::make_mut(&mut self.history);
        history.tokens += 1;
        history.tokens
    }

    pub fn perform(&mut self, action: &Action) -> Result<(), Violation> {
        match action {
            Action::TimePasses => {
                self.left.epochs -= 1;
                self.now += EPOCH_MS;
                Ok(())
            }
            Action::Tick(at) => self.tick(self.at(*at)),
            Action::Deliver {
                message,
                is_kept,
                is_answer_delayed,
            } => {
                if *is_kept {
                    self.left.duplicates -= 1;
                } else {
                    self.network
                        .retain(|(_, other)| !Arc::ptr_eq(other, message) && other != message);
                }
                self.deliver(message, *is_answer_delayed)
            }
            Action::Sync(at) => self.sync_one(self.at(*at)),
            Action::Propose(at) => {
                self.left.proposals -= 1;
                let token = self.token();
                self.step(self.at(*at), Input::Propose(token, vec![token as u8]))
            }
            Action::ReadIndex(at) => {
                self.left.reads -= 1;
                let token = self.token();
                let floor = self.history.committed.len() as u64;
                Arc::make_mut(&mut self.history).reads.insert(token, floor);
                self.step(self.at(*at), Input::ReadIndex(token))
            }
            Action::AddLearner { leader, learner } => {
                self.left.additions -= 1;
                let token = self.token();
                let member = self.servers[self.at(*learner)].member.clone();
                self.step(self.at(*leader), Input::AddLearner(token, member))
            }
            Action::RemoveMember { leader, removed } => {
                self.left.removals -= 1;
                let token = self.token();
                self.step(self.at(*leader), Input::RemoveMember(token, *removed))
            }
            Action::TransferLeadership(at) => {
                self.left.transfers -= 1;
                self.step(self.at(*at), Input::TransferLeadership)
            }
            Action::CrashAndRestart {
                server,
                writes_kept,
            } => {
                self.left.crashes -= 1;
                self.crash(self.at(*server), *writes_kept)
            }
            Action::LoseDisk(at) => {
                self.left.disks_lost -= 1;
                self.lose_disk(self.at(*at));
                Ok(())
            }
            Action::TakeSnapshot(at) => {
                self.left.snapshots -= 1;
                let server = &self.servers[self.at(*at)];
                let taken =
                    Input::SnapshotTaken(server.node.applied_index(), server.machine.clone());
                self.step(self.at(*at), taken)
            }
            Action::Bootstrap(at) => {
                self.left.foundings -= 1;
                let founder = self.at(*at);
                let member = self.servers[founder].member.clone();
                self.step(founder, Input::Bootstrap(member, CLUSTER))
            }
        }
    }

    fn tick(&mut self, at: usize) -> Result<(), Violation> {
        if self.servers[at].node.role() == Role::Leader {
            self.left.heartbeats -= 1;
            return self.step(at, Input::Tick);
        }
        self.left.campaigns -= 1;
        self.step(at, Input::Tick)?;
        if self.grain == Grain::Calls {
            let from = self.servers[at].identity();
            while let Some(message) = self.take(|m| m.from == from && is_pre_vote(&m.body)) {
                self.deliver(&message, false)?;
            }
        }
        Ok(())
    }

    fn take(&mut self, is_wanted: impl Fn(&Message) -> bool) -> Option<Arc<Message>> {
        let at = self
            .network
            .iter()
            .position(|(_, message)| is_wanted(message))?;
        Some(self.network.remove(at).1)
    }

    fn deliver(&mut self, message: &Message, is_answer_delayed: bool) -> Result<(), Violation> {
        let Some(receiver) = self.position(message.to) else {
            return Ok(());
        };
        let is_call = self.grain == Grain::Calls && is_request(&message.body);
        self.step(receiver, Input::Received(message.clone()))?;
        if is_call && !is_answer_delayed {
            // A request of the receiver's own (it may lead by now) stays in the network.
            let (asker, asked) = (message.from, message.to);
            let is_answer = |m: &Message| m.from == asked && m.to == asker && !is_request(&m.body);
            while let Some(answer) = self.take(is_answer) {
                if let Some(asker) = self.position(asker) {
                    self.step(asker, Input::Received(answer.as_ref().clone()))?;
                }
            }
        }
        Ok(())
    }

    fn crash(&mut self, at: usize, writes_kept: usize) -> Result<(), Violation> {
        let mut server = Server::clone(&self.servers[at]);
        for _ in 0..writes_kept {
            let (_, writes) = server.unsynced.pop_front().expect("no more than there are");
            self.write(&mut server, &writes)?;
        }
        let (member, disk) = (server.member, server.disk.as_ref().clone());
        self.replace(at, Server::start(member, self.timing, self.now, disk));
        crate::properties::check_state(self, at)
    }

    /// The machine restarts blank, under its name and a new identity.
    fn lose_disk(&mut self, at: usize) {
        let old = &self.servers[at];
        let (identity, name) = (old.identity(), old.member.name.clone());
        let lost = old.disk.as_ref().clone();
        Arc::make_mut(&mut self.history)
            .lost_disks
            .insert(identity, lost);
        let fresh = self.servers.iter().map(|s| s.identity()).max().unwrap_or(0) + 1;
        let member = Member {
            name,
            ..member(fresh, fresh)
        };
        let blank = PersistedState::default();
        self.replace(at, Server::start(member, self.timing, self.now, blank));
    }
}

fn is_pre_vote(body: &MessageBody) -> bool {
    matches!(body, MessageBody::PreVote { .. })
}
