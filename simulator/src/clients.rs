//! What operators, routers and nodes that want to join send.

use crate::machine::MachineIndex;
use crate::simulation::Simulation;
use crate::violation::Failure;
use consensus::codec::to_bytes;
use consensus::node::Input;
use residency::{Command, Name, Proposal};

impl Simulation {
    /// A blank node, or one that knows no leader, asks whoever leads to be let in.
    pub(crate) fn request_admission(&mut self, machine: MachineIndex) -> Result<(), Failure> {
        let Some(live) = self.machines[machine].live.as_ref() else {
            return Ok(());
        };
        let is_blank = live.node.cluster() == 0;
        let is_alone = is_blank || live.node.leader().is_none();
        self.machines[machine].is_blank = is_blank;
        if !is_alone || self.now_ms < self.machines[machine].requested_admission_at_ms + 300 {
            return Ok(());
        }
        self.machines[machine].requested_admission_at_ms = self.now_ms;
        let Some(leader) = self
            .leader()
            .filter(|leader| *leader != machine && self.is_up(*leader))
        else {
            return Ok(());
        };
        if self.cut_links.contains(&(machine, leader))
            || self.cut_links.contains(&(leader, machine))
        {
            return Ok(());
        }
        self.last_token += 1;
        let (token, member) = (self.last_token, self.member(machine));
        self.step(leader, Input::AddLearner(token, member))
    }

    /// What an operator and the routers do all the time: submit, sometimes a
    /// repeat, and have the leader confirm.
    pub(crate) fn drive_clients(&mut self) -> Result<(), Failure> {
        let count = self.machines.len() as u64;
        let machine = match self.leader() {
            Some(leader) if self.chance(800) => leader,
            _ => self.draw(count) as usize,
        };
        if !self.is_up(machine) {
            return Ok(());
        }
        self.last_token += 1;
        let token = self.last_token;
        if self.chance(400) {
            self.open_reads.insert(token, self.acknowledged_index);
            return self.step(machine, Input::ReadIndex(token));
        }
        let id = match self.draw(5) {
            0 => format!("s-{}", self.draw(token)),
            _ => format!("s-{token}"),
        };
        let zone = Name(format!("zone-{}", token % 3));
        let command = match self.epoch_of_proposal.is_empty() {
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
        self.step(machine, Input::Propose(token, to_bytes(&proposal)))
    }
}
