//! What operators, routers and nodes that want to join send.

use super::Simulation;
use consensus::codec::to_bytes;
use consensus::node::Input;
use residency::{Command, Name, Proposal};

impl Simulation {
    /// A blank node, or one that knows no leader, asks whoever leads to be let in.
    pub(super) fn request_admission(&mut self, at: usize) -> Result<(), String> {
        let Some(live) = self.machines[at].live.as_ref() else {
            return Ok(());
        };
        let is_blank = live.node.cluster() == 0;
        let is_alone = is_blank || live.node.leader().is_none();
        self.machines[at].is_blank = is_blank;
        if !is_alone || self.now < self.machines[at].requested_admission_at + 300 {
            return Ok(());
        }
        self.machines[at].requested_admission_at = self.now;
        let Some(leader) = self
            .leader()
            .filter(|leader| *leader != at && self.is_up(*leader))
        else {
            return Ok(());
        };
        if self.cuts.contains(&(at, leader)) || self.cuts.contains(&(leader, at)) {
            return Ok(());
        }
        self.tokens += 1;
        let (token, member) = (self.tokens, self.member(at));
        self.step(leader, Input::AddLearner(token, member))
    }

    /// What an operator and the routers do all the time: submit, sometimes a
    /// repeat, and have the leader confirm.
    pub(super) fn clients(&mut self) -> Result<(), String> {
        let count = self.machines.len() as u64;
        let at = match self.leader() {
            Some(leader) if self.chance(800) => leader,
            _ => self.draw(count) as usize,
        };
        if !self.is_up(at) {
            return Ok(());
        }
        self.tokens += 1;
        let token = self.tokens;
        if self.chance(400) {
            self.open_reads.insert(token, self.acknowledged);
            return self.step(at, Input::ReadIndex(token));
        }
        let id = match self.draw(5) {
            0 => format!("s-{}", self.draw(token)),
            _ => format!("s-{token}"),
        };
        let zone = Name(format!("zone-{}", token % 3));
        let command = match self.ids.is_empty() {
            true => Command::UpdateTopology {
                mode: residency::UpdateMode::Replace,
                text: r#"{"zones":{"zone-0":{"region":"a"},"zone-1":{"region":"b"},"zone-2":{"region":"c"}}}"#.into(),
            },
            false if token.is_multiple_of(2) => Command::EvacuateZone(zone),
            false => Command::ReinstateZone(zone),
        };
        let proposal = Proposal {
            id,
            base_epoch: 0,
            command,
        };
        self.step(at, Input::Propose(token, to_bytes(&proposal)))
    }
}
