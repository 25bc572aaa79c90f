//! The memory of applied proposals, so that a retry is recognised as a duplicate.

use super::error::CommandError;
use crate::{Command, Epoch, Outcome, Proposal};
use binrw::binrw;
use consensus::codec::{read_string, to_bytes, write_string};
use std::collections::VecDeque;

/// How many operators' proposals are remembered: several days of hundreds of changes.
/// Proposals that nodes make by themselves are not among them.
pub const RECENT_PROPOSALS: usize = 4096;

/// One remembered proposal, as it lies in a snapshot.
#[binrw]
#[brw(big)]
#[derive(Clone)]
pub(super) struct RecentProposal {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    id: String,
    /// CRC-32 of the command, by which another command under the same id is noticed.
    command_crc: u32,
    epoch: Epoch,
}

/// The remembered proposals, the oldest first.
#[derive(Default)]
pub(super) struct RecentProposals(VecDeque<RecentProposal>);

impl RecentProposals {
    pub(super) fn contains(&self, id: &str) -> bool {
        self.0.iter().any(|known| known.id == id)
    }

    /// The outcome of a proposal whose id is remembered.
    pub(super) fn outcome_of(&self, proposal: &Proposal) -> Option<Outcome> {
        let known = self.0.iter().find(|known| known.id == proposal.id)?;
        let epoch = known.epoch;
        Some(match known.command_crc == crc(&proposal.command) {
            true => Outcome::Duplicate { epoch },
            false => {
                let id = proposal.id.clone();
                Outcome::Rejected(CommandError::ProposalIdReused { id, epoch }.to_string())
            }
        })
    }

    /// Remembers an applied proposal and forgets the oldest past the limit. Invariant:
    /// the proposal that made the topology in force, at the epoch `in_force`, is never
    /// forgotten, however many others came after it.
    pub(super) fn remember(&mut self, proposal: &Proposal, epoch: Epoch, in_force: Epoch) {
        self.0.push_back(RecentProposal {
            id: proposal.id.clone(),
            command_crc: crc(&proposal.command),
            epoch,
        });
        if self.0.len() <= RECENT_PROPOSALS {
            return;
        }
        if let Some(oldest) = self.0.iter().position(|known| known.epoch != in_force) {
            self.0.remove(oldest);
        }
    }

    pub(super) fn to_list(&self) -> Vec<RecentProposal> {
        self.0.iter().cloned().collect()
    }
}

impl From<Vec<RecentProposal>> for RecentProposals {
    fn from(list: Vec<RecentProposal>) -> RecentProposals {
        RecentProposals(list.into())
    }
}

fn crc(command: &Command) -> u32 {
    crc32fast::hash(&to_bytes(command))
}
