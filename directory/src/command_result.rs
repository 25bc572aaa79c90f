//! What became of a command that was submitted to the replicated log.

use protocol::PeerResponse;
use residency::Outcome;

/// A command that is applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Committed {
    /// The epoch of the state that it made.
    pub epoch: u64,
    /// It was applied before under the same id; this time nothing changed.
    pub is_repeated: bool,
}

/// Why a command is not known to be applied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// What the command changes changed past its base; nothing was changed.
    #[error("something of this kind changed at epoch {epoch}, past the base; nothing was changed")]
    Conflict {
        /// The epoch of that change.
        epoch: u64,
    },
    /// The state does not allow the command; nothing was changed.
    #[error("{reason}")]
    Rejected {
        /// Why, in the words of the state machine.
        reason: String,
    },
    /// The membership can't be changed in this way; nothing was changed.
    #[error("{reason}")]
    InvalidMembershipChange {
        /// Why, in the words of the consensus node.
        reason: String,
    },
    /// The leader changed before the entry was known to be committed: it may be applied
    /// or not.
    #[error("leadership changed meanwhile")]
    OutcomeUnknown,
    /// No leader could be reached in time; nothing was changed.
    #[error("no leader took it in time")]
    NoLeader,
    /// The leader takes no command for now: it has too few voters, too many open
    /// requests or a stalled disk. Nothing was changed.
    #[error("no leader took it in time")]
    Busy,
}

/// Whether and how a command may be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Retry {
    /// The same command fails again.
    Never,
    /// As a new command, built on the state that is now in force.
    OnNewBase,
    /// Unchanged, with the same id; it is applied once at the most. At once, or at
    /// another node: this one has already repeated it until its time-out. For a change
    /// of membership: after a look at the members.
    SameId,
}

impl CommandError {
    /// Whether the command may be sent again.
    pub fn retry(&self) -> Retry {
        match self {
            CommandError::Conflict { .. } => Retry::OnNewBase,
            CommandError::Rejected { .. } | CommandError::InvalidMembershipChange { .. } => {
                Retry::Never
            }
            CommandError::OutcomeUnknown | CommandError::NoLeader | CommandError::Busy => {
                Retry::SameId
            }
        }
    }
}

/// Reads the leader's response to a command.
///
/// # Errors
/// The command is not known to be applied.
pub fn command_result(response: PeerResponse) -> Result<Committed, CommandError> {
    match response {
        PeerResponse::Proposed(outcome) => outcome_result(outcome),
        PeerResponse::LeadershipLost => Err(CommandError::OutcomeUnknown),
        PeerResponse::NotLeader => Err(CommandError::NoLeader),
        // All but `Busy` respond to requests that are no commands.
        PeerResponse::Busy
        | PeerResponse::ReadIndex { .. }
        | PeerResponse::MembershipChanged
        | PeerResponse::Rejected(_) => Err(CommandError::Busy),
    }
}

/// Reads the leader's response to a change of the membership.
///
/// # Errors
/// The change is not known to be committed.
pub(crate) fn membership_result(response: PeerResponse) -> Result<(), CommandError> {
    match response {
        PeerResponse::MembershipChanged => Ok(()),
        PeerResponse::Rejected(reason) => {
            Err(CommandError::InvalidMembershipChange { reason: reason.0 })
        }
        PeerResponse::LeadershipLost => Err(CommandError::OutcomeUnknown),
        PeerResponse::NotLeader => Err(CommandError::NoLeader),
        // All but `Busy` respond to requests that change no membership.
        PeerResponse::Busy | PeerResponse::ReadIndex { .. } | PeerResponse::Proposed(_) => {
            Err(CommandError::Busy)
        }
    }
}

/// Reads what the state machine made of a command.
///
/// # Errors
/// The state machine refused it.
pub fn outcome_result(outcome: Outcome) -> Result<Committed, CommandError> {
    match outcome {
        Outcome::Applied { epoch } => Ok(Committed {
            epoch,
            is_repeated: false,
        }),
        Outcome::Duplicate { epoch } => Ok(Committed {
            epoch,
            is_repeated: true,
        }),
        Outcome::Conflict { epoch } => Err(CommandError::Conflict { epoch }),
        Outcome::Rejected(reason) => Err(CommandError::Rejected { reason }),
    }
}
