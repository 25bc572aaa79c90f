//! What may happen next in a state.

use consensus::node::Role;
use consensus::{Message, MessageBody, NodeId};
use std::fmt::{self, Debug};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

use crate::checker::{Model, Violation};
use crate::cluster::{is_request, Cluster, Grain};
use crate::history::broken;
use crate::server::Server;

/// The node that bootstraps the cluster.
const FIRST_SEED: NodeId = 1;

#[derive(Clone)]
pub enum Action {
    /// All timers run out, everybody counts as silent.
    TimePasses,
    Tick(NodeId),
    Deliver {
        message: Arc<Message>,
        /// A duplicate stays on its way.
        is_kept: bool,
        /// The answer stays on its way, or is lost (where a call is one step).
        is_answer_delayed: bool,
    },
    Sync(NodeId),
    Propose(NodeId),
    ReadIndex(NodeId),
    AddLearner {
        leader: NodeId,
        learner: NodeId,
    },
    RemoveMember {
        leader: NodeId,
        removed: NodeId,
    },
    TransferLeadership(NodeId),
    /// The oldest writes may have reached the disk unreported.
    CrashAndRestart {
        server: NodeId,
        writes_kept: usize,
    },
    LoseDisk(NodeId),
    TakeSnapshot(NodeId),
    /// The first seed bootstraps the cluster, while it is blank.
    Bootstrap(NodeId),
}

impl Debug for Action {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Action::TimePasses => write!(f, "time passes"),
            Action::Tick(at) => write!(f, "tick {at}"),
            Action::Deliver {
                message,
                is_kept,
                is_answer_delayed,
            } => {
                let Message {
                    from,
                    to,
                    term,
                    body,
                    ..
                } = message.as_ref();
                write!(f, "deliver {from} -> {to}, term {term}: {body:?}")?;
                write!(f, "{}", if *is_kept { " (and again)" } else { "" })?;
                write!(
                    f,
                    "{}",
                    if *is_answer_delayed {
                        " (answer delayed)"
                    } else {
                        ""
                    }
                )
            }
            Action::Sync(at) => write!(f, "sync {at}"),
            Action::Propose(at) => write!(f, "propose at {at}"),
            Action::ReadIndex(at) => write!(f, "read at {at}"),
            Action::AddLearner { leader, learner } => write!(f, "add {learner} at {leader}"),
            Action::RemoveMember { leader, removed } => write!(f, "remove {removed} at {leader}"),
            Action::TransferLeadership(at) => write!(f, "transfer leadership from {at}"),
            Action::CrashAndRestart {
                server,
                writes_kept,
            } => {
                write!(f, "crash {server}, {writes_kept} unsynced writes kept")
            }
            Action::LoseDisk(at) => write!(f, "lose disk of {at}"),
            Action::TakeSnapshot(at) => write!(f, "snapshot at {at}"),
            Action::Bootstrap(at) => write!(f, "bootstrap at {at}"),
        }
    }
}

/// A cluster in some state, from which everything is explored.
pub struct Scenario {
    pub name: &'static str,
    pub start: Cluster,
}

impl Model for Scenario {
    type State = Cluster;
    type Action = Action;

    fn initial(&self) -> Cluster {
        self.start.clone()
    }

    fn actions(&self, state: &Cluster) -> Vec<Action> {
        let mut actions = Vec::new();
        for (_, message) in &state.network {
            deliveries(state, message, &mut actions);
        }
        for server in &state.servers {
            server_actions(state, server, &mut actions);
        }
        if state.left.epochs > 0 {
            actions.push(Action::TimePasses);
        }
        actions
    }

    /// The product's own assertions count as properties.
    fn next(&self, state: &Cluster, action: &Action) -> Result<Cluster, Violation> {
        let run = || {
            let mut next = state.clone();
            next.perform(action).map(|()| next)
        };
        catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|panic| {
            let text = panic.downcast_ref::<&str>().map(ToString::to_string);
            let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
            broken("assertions of the node", text.unwrap_or_default())
        })
    }

    fn fingerprint(&self, state: &Cluster) -> u64 {
        state.fingerprint()
    }
}

fn deliveries(state: &Cluster, message: &Arc<Message>, actions: &mut Vec<Action>) {
    let Some(receiver) = state.server(message.to) else {
        return;
    };
    let is_call = state.grain == Grain::Calls;
    let is_vote = matches!(message.body, MessageBody::RequestVoteResponse { .. });
    if is_call && message.term < receiver.node.term() && !is_vote {
        return;
    }
    let deliver = |is_kept, is_answer_delayed| Action::Deliver {
        message: message.clone(),
        is_kept,
        is_answer_delayed,
    };
    actions.push(deliver(false, false));
    if is_call && is_request(&message.body) {
        actions.push(deliver(false, true));
    }
    if state.left.duplicates > 0 {
        actions.push(deliver(true, false));
        if is_call && is_request(&message.body) {
            actions.push(deliver(true, true));
        }
    }
}

fn server_actions(state: &Cluster, server: &Server, actions: &mut Vec<Action>) {
    let (at, left) = (server.identity(), &state.left);
    if !server.unsynced.is_empty() {
        actions.push(Action::Sync(at));
    }
    if left.crashes > 0 {
        actions.push(Action::CrashAndRestart {
            server: at,
            writes_kept: 0,
        });
        let unsynced = server.unsynced.len();
        if unsynced > 0 {
            actions.push(Action::CrashAndRestart {
                server: at,
                writes_kept: unsynced,
            });
        }
    }
    if left.disks_lost > 0 && server.disk.hard_state.cluster != 0 {
        actions.push(Action::LoseDisk(at));
    }
    if left.snapshots > 0 && server.node.applied_index() > server.node.snapshot().index {
        actions.push(Action::TakeSnapshot(at));
    }
    if left.foundings > 0 && at == FIRST_SEED && server.node.cluster() == 0 {
        actions.push(Action::Bootstrap(at));
    }
    if server.node.role() == Role::Leader {
        leader_actions(state, server, actions);
    } else if left.campaigns > 0
        && server.node.members().is_voter(at)
        && server.node.next_deadline() <= state.now
    {
        actions.push(Action::Tick(at));
    }
}

fn leader_actions(state: &Cluster, server: &Server, actions: &mut Vec<Action>) {
    let (at, left) = (server.identity(), &state.left);
    if left.heartbeats > 0 {
        actions.push(Action::Tick(at));
    }
    if left.proposals > 0 {
        actions.push(Action::Propose(at));
    }
    if left.reads > 0 {
        actions.push(Action::ReadIndex(at));
    }
    if left.transfers > 0 {
        actions.push(Action::TransferLeadership(at));
    }
    for other in state.servers.iter().map(|other| other.identity()) {
        let is_member = server.node.members().get(other).is_some();
        if left.additions > 0 && !is_member {
            actions.push(Action::AddLearner {
                leader: at,
                learner: other,
            });
        }
        if left.removals > 0 && is_member && other != at {
            actions.push(Action::RemoveMember {
                leader: at,
                removed: other,
            });
        }
    }
}
