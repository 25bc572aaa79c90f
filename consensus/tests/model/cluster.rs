//! A state of the model: servers, the network between them, and the history.

use consensus::node::{Effect, Input, PersistedState, Role, Timing};
use consensus::{Entry, EntryPayload, HardState, Member, Message, MessageBody, NodeId};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::mem::discriminant;
use std::sync::Arc;

use crate::checker::Violation;
use crate::history::{broken, History};
use crate::server::{holds, Server};
use crate::support::members;
use crate::support::persisted::apply_write;

pub const CLUSTER: u64 = 7;

/// Time in the model: a member last heard before it passes counts as silent.
pub const EPOCH_MS: u64 = 1_000_000;

/// One millisecond is the shortest election timeout that there is: within an
/// epoch no time passes, so states repeat; between two all timers run out.
pub fn timing(voters: usize) -> Timing {
    Timing {
        heartbeat_ms: 0,
        election_timeout_ms: 1,
        write_stall_ms: 1 << 40,
        voters,
        max_batch: 1,
        ..Timing::default()
    }
}

pub fn member(identity: NodeId, name: u64) -> Member {
    Member {
        name: format!("n{name}"),
        region: String::new(),
        zone: format!("z{}", name % 3),
        ..members::member(identity)
    }
}

/// How fine the steps are.
#[derive(Clone, Copy, PartialEq, Debug, Hash)]
pub enum Grain {
    /// Each message and each sync by itself.
    Messages,
    /// A request with its answer is one step (or the answer is delayed), a write
    /// is synced at once, and an election's pre-votes are one step.
    Calls,
}

/// What may still happen.
#[derive(Clone, Copy, Hash, Default, Debug)]
pub struct Budget {
    pub epochs: u8,
    pub campaigns: u8,
    pub heartbeats: u8,
    pub proposals: u8,
    pub reads: u8,
    pub crashes: u8,
    pub disks_lost: u8,
    pub duplicates: u8,
    pub additions: u8,
    pub removals: u8,
    pub transfers: u8,
    pub snapshots: u8,
    pub foundings: u8,
}

#[derive(Clone)]
pub struct Cluster {
    pub grain: Grain,
    pub timing: Timing,
    pub now: u64,
    pub servers: Vec<Arc<Server>>,
    digests: Vec<u64>,
    /// In order of their digests. A message that stays here is a lost one.
    pub network: Vec<(u64, Arc<Message>)>,
    pub history: Arc<History>,
    pub left: Budget,
}

fn digest(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

pub fn is_request(body: &MessageBody) -> bool {
    matches!(
        body,
        MessageBody::PreVote { .. }
            | MessageBody::RequestVote { .. }
            | MessageBody::AppendEntries { .. }
            | MessageBody::InstallSnapshot { .. }
    )
}

impl Cluster {
    /// Servers 1 to `logs.len()`, each with its log; blank where it is empty.
    pub fn new(grain: Grain, timing: Timing, logs: Vec<(HardState, Vec<Entry>)>) -> Cluster {
        let now = EPOCH_MS;
        let start = |(at, (hard_state, entries))| {
            let identity = at as u64 + 1;
            let disk = PersistedState {
                hard_state,
                snapshot: None,
                entries,
            };
            Arc::new(Server::start(member(identity, identity), timing, now, disk))
        };
        let servers: Vec<Arc<Server>> = logs.into_iter().enumerate().map(start).collect();
        let digests = servers.iter().map(|server| server.digest()).collect();
        let (network, history, left) = (Vec::new(), Arc::default(), Budget::default());
        Cluster {
            grain,
            timing,
            now,
            servers,
            digests,
            network,
            history,
            left,
        }
    }

    pub fn fingerprint(&self) -> u64 {
        let messages: Vec<u64> = self.network.iter().map(|(digest, _)| *digest).collect();
        digest(&(
            self.now,
            &self.digests,
            messages,
            self.history.as_ref(),
            self.left,
        ))
    }

    pub fn server(&self, identity: NodeId) -> Option<&Server> {
        self.servers
            .iter()
            .find(|s| s.identity() == identity)
            .map(Arc::as_ref)
    }

    pub fn position(&self, identity: NodeId) -> Option<usize> {
        self.servers.iter().position(|s| s.identity() == identity)
    }

    pub fn replace(&mut self, at: usize, server: Server) {
        self.digests[at] = server.digest();
        self.servers[at] = Arc::new(server);
    }

    /// Gives a node an input and carries out what it asks for.
    pub fn step(&mut self, at: usize, input: Input) -> Result<(), Violation> {
        let mut server = Server::clone(&self.servers[at]);
        let was_leader = server.node.role() == Role::Leader;
        let mut effects = server.node.step(self.now, input);
        loop {
            for effect in std::mem::take(&mut effects) {
                self.carry_out(&mut server, effect)?;
            }
            if self.grain == Grain::Messages || server.unsynced.is_empty() {
                break;
            }
            effects = self.sync(&mut server)?;
        }
        if !was_leader && server.node.role() == Role::Leader {
            self.check_elected(&server)?;
        }
        self.replace(at, server);
        crate::properties::check_state(self, at)
    }

    /// The oldest write reaches the disk.
    fn sync(&mut self, server: &mut Server) -> Result<Vec<Effect>, Violation> {
        let (ticket, writes) = server
            .unsynced
            .pop_front()
            .expect("asked for where there is one");
        self.write(server, &writes)?;
        Ok(server.node.step(self.now, Input::Synced(ticket)))
    }

    /// The oldest write of a server reaches its disk, by itself.
    pub fn sync_one(&mut self, at: usize) -> Result<(), Violation> {
        let mut server = Server::clone(&self.servers[at]);
        let was_leader = server.node.role() == Role::Leader;
        for effect in self.sync(&mut server)? {
            self.carry_out(&mut server, effect)?;
        }
        if !was_leader && server.node.role() == Role::Leader {
            self.check_elected(&server)?;
        }
        self.replace(at, server);
        crate::properties::check_state(self, at)
    }

    /// Terms never fall; a vote is for one candidate of its term.
    pub fn write(
        &mut self,
        server: &mut Server,
        writes: &[consensus::node::Write],
    ) -> Result<(), Violation> {
        for write in writes {
            let before = server.disk.hard_state;
            apply_write(Arc::make_mut(&mut server.disk), write);
            let after = server.disk.hard_state;
            if after.term < before.term {
                return broken("terms never go back", format!("{before:?}, then {after:?}"));
            }
            if after.vote != 0 {
                let history = Arc::make_mut(&mut self.history);
                history.voted(server.identity(), after.term, after.vote)?;
            }
        }
        Ok(())
    }

    fn carry_out(&mut self, server: &mut Server, effect: Effect) -> Result<(), Violation> {
        let identity = server.identity();
        match effect {
            Effect::Write(ticket, writes) => {
                for write in &writes {
                    apply_write(Arc::make_mut(&mut server.memory), write);
                }
                server.unsynced.push_back((ticket, writes));
            }
            Effect::Send(message) => self.send(server, message)?,
            Effect::Apply(entry, token) => {
                Arc::make_mut(&mut self.history).applied(identity, server.node.term(), &entry)?;
                if token.is_some() {
                    self.check_acknowledged(server, &entry)?;
                }
                if let EntryPayload::Command(bytes) = &entry.payload {
                    server.machine.extend(bytes);
                }
            }
            Effect::Restore(snapshot) => {
                self.history.restored(identity, &snapshot)?;
                server.machine = snapshot.state;
            }
            Effect::ReadReady(token, index) => {
                if self.history.reads.contains_key(&token) {
                    Arc::make_mut(&mut self.history).answered(token, index)?;
                }
            }
            Effect::Rejected(token, _) => {
                if self.history.reads.contains_key(&token) {
                    Arc::make_mut(&mut self.history).reads.remove(&token);
                }
            }
        }
        Ok(())
    }

    /// A granted vote is on disk before it is sent, and so is the term of any message.
    fn send(&mut self, server: &Server, message: Message) -> Result<(), Violation> {
        let on_disk = server.disk.hard_state;
        let is_pledged = match message.body {
            MessageBody::RequestVoteResponse { granted: true } => {
                (on_disk.term, on_disk.vote) == (message.term, message.to)
            }
            _ => on_disk.term >= message.term,
        };
        if !is_pledged {
            return broken(
                "a message rests on synced hard state",
                format!("{message:?} with {on_disk:?} on disk"),
            );
        }
        if self.grain == Grain::Calls {
            // The newest of a kind stands for those before it, which are lost.
            self.network.retain(|(_, old)| {
                (old.from, old.to, discriminant(&old.body))
                    != (message.from, message.to, discriminant(&message.body))
            });
        }
        let key = digest(&message);
        if let Err(at) = self
            .network
            .binary_search_by_key(&key, |(digest, _)| *digest)
        {
            self.network.insert(at, (key, Arc::new(message)));
        }
        Ok(())
    }

    /// An acknowledged entry is on the disks of a majority of the voters in force.
    fn check_acknowledged(&self, leader: &Server, entry: &Entry) -> Result<(), Violation> {
        let members = leader.node.members();
        let synced = members.voters.iter().filter(|voter| {
            if voter.identity == leader.identity() {
                return holds(&leader.disk, entry);
            }
            let lost = self.history.lost_disks.get(&voter.identity);
            let disk = self
                .server(voter.identity)
                .map(|other| other.disk.as_ref())
                .or(lost);
            disk.is_some_and(|disk| holds(disk, entry))
        });
        let synced = synced.count();
        if synced < members.majority() {
            return broken(
                "acknowledged is synced on a majority",
                format!("{entry:?} on {synced} of {}", members.voters.len()),
            );
        }
        Ok(())
    }

    /// A leader has the synced votes of a majority of its voters, none of them
    /// retired, and holds all that is committed.
    fn check_elected(&mut self, server: &Server) -> Result<(), Violation> {
        let (identity, term) = (server.identity(), server.node.term());
        Arc::make_mut(&mut self.history).leads(identity, term)?;
        let members = server.node.members();
        let votes = members
            .voters
            .iter()
            .filter(|voter| self.history.votes.get(&(voter.identity, term)) == Some(&identity));
        if votes.count() < members.majority() {
            return broken(
                "a leader has a majority of synced votes",
                format!("{identity} in term {term}"),
            );
        }
        let missing = self
            .history
            .committed_before(term)
            .find(|e| !holds(&server.memory, e));
        if let Some(entry) = missing {
            return broken("leader completeness", format!("{identity} lacks {entry:?}"));
        }
        let is_retired = self
            .history
            .committed_before(term)
            .any(|entry| match &entry.payload {
                EntryPayload::Membership(members) => members.retired.contains(&identity),
                EntryPayload::Noop | EntryPayload::Command(_) => false,
            });
        if is_retired {
            return broken("a retired identity stays out", format!("{identity} leads"));
        }
        Ok(())
    }
}
