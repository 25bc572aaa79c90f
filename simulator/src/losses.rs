//! The losses of a site's days: machines replaced at another name and address,
//! planned replacements, lost disks, restarts, cuts, freezes. No more than
//! `tolerate` machines count as lost at any time; as long as that holds, changes
//! must go on being acknowledged.

use super::{Due, Simulation};
use consensus::node::Input;

/// A machine that is told to stop waits so long for its leave.
const LEAVE_PATIENCE_MS: u64 = 2_000;
const ASK_TO_LEAVE_EVERY_MS: u64 = 100;

/// A way in which a machine is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loss {
    /// Gone for good; an empty machine comes after a while, with another name,
    /// address and identity.
    Replaced,
    /// The new machine first; then the old one is told to stop, and ends.
    PlannedReplacement,
    /// The disk is lost; the machine comes back under its own name.
    DiskLost,
    /// The process ends and starts again on its disk.
    Restarted,
    /// Nothing reaches the machine.
    CutInbound,
    /// Nothing that the machine sends arrives.
    CutOutbound,
    /// Both.
    Cut,
    /// The machine stands still, and its clock with it.
    Frozen,
}

/// Which losses a run draws.
#[derive(Clone, Copy, Debug)]
pub struct LossPlan {
    /// How many machines may be lost at once.
    pub tolerate: usize,
    /// A loss counts until so long after the machine, or its successor, is back.
    pub catch_up_ms: u64,
    /// The next loss comes at most so long after one stopped counting.
    pub pause_ms: u64,
    /// Whatever is lost, a change is acknowledged at least this often.
    pub acknowledged_within_ms: u64,
    /// What is drawn from.
    pub kinds: &'static [Loss],
}

/// A machine that counts as lost.
pub(super) struct OpenLoss {
    machine: usize,
    kind: Loss,
    ends_at: u64,
}

impl Simulation {
    /// Draws the next losses, as many as the plan allows.
    pub(super) fn lose_machines(&mut self) -> Result<(), String> {
        let Some(plan) = self.weather.losses else {
            return Ok(());
        };
        let now = self.now;
        let open_before = self.losses.len();
        self.losses.retain(|loss| loss.ends_at > now);
        if self.losses.len() < open_before {
            self.next_loss_at = now + self.draw(plan.pause_ms + 1);
        }
        let room = plan.tolerate.saturating_sub(self.losses.len());
        if room == 0 || now < self.next_loss_at {
            return Ok(());
        }
        let count = 1 + self.draw(room as u64);
        for _ in 0..count {
            let kind = plan.kinds[self.draw(plan.kinds.len() as u64) as usize];
            self.lose(kind, plan.catch_up_ms)?;
        }
        Ok(())
    }

    fn lose(&mut self, kind: Loss, catch_up_ms: u64) -> Result<(), String> {
        let Some(at) = self.draw_victim() else {
            return Ok(());
        };
        let back_at = match kind {
            Loss::Replaced => self.replace_machine(at),
            Loss::PlannedReplacement => self.replace_as_planned(at, catch_up_ms)?,
            Loss::DiskLost => self.replace_disk(at),
            Loss::Restarted => self.restart(at),
            Loss::CutInbound => self.cut_off(at, true, false),
            Loss::CutOutbound => self.cut_off(at, false, true),
            Loss::Cut => self.cut_off(at, true, true),
            Loss::Frozen => self.freeze(at),
        };
        self.report.losses += 1;
        self.losses.push(OpenLoss {
            machine: at,
            kind,
            ends_at: back_at + catch_up_ms,
        });
        Ok(())
    }

    /// Every third time the leader; else any machine that is not lost already.
    fn draw_victim(&mut self) -> Option<usize> {
        let is_lost = |at: &usize| self.losses.iter().any(|loss| loss.machine == *at);
        let whole: Vec<usize> = (0..self.machines.len())
            .filter(|at| !self.machines[*at].is_gone && !is_lost(at))
            .collect();
        let leader = self.leader().filter(|leader| whole.contains(leader));
        match leader {
            Some(leader) if self.chance(333) => Some(leader),
            _ if whole.is_empty() => None,
            _ => Some(whole[self.draw(whole.len() as u64) as usize]),
        }
    }

    /// Returns when its successor starts, as all of these return when the loss
    /// is made good.
    fn replace_machine(&mut self, at: usize) -> u64 {
        self.crash(at);
        self.machines[at].is_gone = true;
        self.report.machines_replaced += 1;
        let wait = 300 + self.draw(8_000);
        self.due(wait, Due::Successor(at));
        self.now + wait
    }

    fn replace_as_planned(&mut self, at: usize, catch_up_ms: u64) -> Result<u64, String> {
        self.report.machines_replaced += 1;
        self.start_successor(at)?;
        let notice = self.draw(4_000);
        let until = self.now + notice + LEAVE_PATIENCE_MS;
        self.due(notice, Due::ToldToStop { at, until });
        // It counts until it is gone, and its successor has had its time.
        Ok(self.now + (notice + LEAVE_PATIENCE_MS).saturating_sub(catch_up_ms))
    }

    /// A machine that is told to stop hands leadership over, and asks whoever leads
    /// whether it may go, until it may or patience ends.
    pub(super) fn prepare_to_stop(&mut self, at: usize, until: u64) -> Result<(), String> {
        if self.machines[at].is_gone {
            return Ok(());
        }
        if self.now >= until {
            self.end_for_good(at);
            return Ok(());
        }
        self.due(ASK_TO_LEAVE_EVERY_MS, Due::ToldToStop { at, until });
        self.step(at, Input::TransferLeadership)?;
        let known = self.machines[at]
            .live
            .as_ref()
            .and_then(|live| live.node.leader());
        let leader = known.and_then(|identity| self.place(identity));
        let Some(leader) = leader.filter(|leader| *leader != at && self.is_up(*leader)) else {
            return Ok(());
        };
        if self.transit(at, leader).is_none() {
            return Ok(());
        }
        self.tokens += 1;
        self.leaving.insert(self.tokens, at);
        self.step(
            leader,
            Input::Leave(self.tokens, self.machines[at].identity),
        )
    }

    /// The leader let a machine go.
    pub(super) fn may_leave(&mut self, token: u64) {
        if let Some(at) = self.leaving.remove(&token) {
            self.due(1, Due::Gone(at));
        }
    }

    /// An empty machine in the place of one that is gone.
    pub(super) fn start_successor(&mut self, predecessor: usize) -> Result<(), String> {
        let zone = self.machines[predecessor].zone.clone();
        let at = self.add_machine(zone);
        self.start(at)
    }

    /// A machine in use ends for good.
    pub(super) fn end_for_good(&mut self, at: usize) {
        self.crash(at);
        self.machines[at].is_gone = true;
    }

    fn restart(&mut self, at: usize) -> u64 {
        self.crash(at);
        let wait = 100 + self.draw(12_000);
        self.due(wait, Due::Restart(at));
        self.now + wait
    }

    fn freeze(&mut self, at: usize) -> u64 {
        let wait = 500 + self.draw(12_000);
        self.machines[at].frozen_until = self.now + wait;
        let life = self.machines[at].life;
        self.due(wait, Due::ReadAfterFreeze(at, life));
        self.now + wait
    }

    /// Cuts a machine off from all others for 2 to 22 seconds; now and then it is
    /// restarted in the midst of it.
    fn cut_off(&mut self, at: usize, is_inbound: bool, is_outbound: bool) -> u64 {
        let wait = 2_000 + self.draw(20_000);
        let others: Vec<usize> = (0..self.machines.len())
            .filter(|other| *other != at)
            .collect();
        for other in others {
            if is_inbound {
                self.cuts.insert((other, at));
            }
            if is_outbound {
                self.cuts.insert((at, other));
            }
        }
        if self.chance(200) {
            let down = 100 + self.draw(wait / 2);
            self.crash(at);
            self.due(down, Due::Restart(at));
        }
        self.due(wait, Due::HealMachine(at));
        self.now + wait
    }

    /// What no loss within the plan may bring about: a long time without an
    /// acknowledged change.
    pub(super) fn check_liveness(&mut self, since: u64) -> Result<(), String> {
        let Some(plan) = self.weather.losses else {
            return Ok(());
        };
        let silent_ms = self.now - self.acknowledged_at.max(since);
        self.report.longest_silence_ms = self.report.longest_silence_ms.max(silent_ms);
        if silent_ms <= plan.acknowledged_within_ms {
            return Ok(());
        }
        let open: Vec<String> = self
            .losses
            .iter()
            .map(|loss| format!("{:?} of {}", loss.kind, self.machines[loss.machine].name))
            .collect();
        self.fail(format!(
            "no change was acknowledged for {silent_ms} ms, after {} losses, {} machines replaced; \
             lost now: {open:?}; {:#?}",
            self.report.losses,
            self.report.machines_replaced,
            self.describe_machines(),
        ))
    }
}
