//! A machine: its node, its disk and its state, started, crashed and stepped.

use super::disk::MemoryFiles;
use super::orders::LeaderAnswer;
use super::{Due, Simulation, SNAPSHOT_EVERY_ENTRIES};
use consensus::codec::{from_bytes, to_bytes};
use consensus::node::{Effect, Input, Node, PersistedState, Write};
use consensus::wal::WriteAheadLog;
use consensus::{Entry, EntryPayload, LogIndex, NodeId};
use residency::{Outcome, Proposal, State};
use std::collections::VecDeque;

const LARGEST_CLOCK_OFFSET_MS: u64 = 100_000_000;

pub(super) struct Machine {
    pub(super) identity: NodeId,
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) files: MemoryFiles,
    /// `None`: it is down.
    pub(super) live: Option<Live>,
    /// Counts its starts, so that what was due for an earlier one is void.
    pub(super) life: u64,
    pub(super) frozen_until: u64,
    pub(super) slow_until: u64,
    pub(super) is_blank: bool,
    /// It is gone for good, and never starts again.
    pub(super) is_gone: bool,
    pub(super) requested_admission_at: u64,
}

pub(super) struct Live {
    pub(super) node: Node,
    pub(super) log: WriteAheadLog<MemoryFiles>,
    pub(super) state: State,
    pub(super) writes: VecDeque<(u64, Vec<Write>)>,
    pub(super) is_disk_dead: bool,
    pub(super) was_leader: bool,
    pub(super) snapshot_at: LogIndex,
    /// Nothing but beats came since its last beat.
    pub(super) is_idle: bool,
}

impl Simulation {
    /// Starts a machine from what its disk has.
    pub(super) fn start(&mut self, at: usize) -> Result<(), String> {
        if self.machines[at].is_gone {
            return Ok(());
        }
        let files = self.machines[at].files.clone();
        match WriteAheadLog::open(files) {
            Ok((log, persisted)) => self.begin(at, log, persisted),
            Err(error) => self.fail(format!("node-{at} can't read its disk: {error}")),
        }
    }

    /// A disk that was full is taken back into use.
    pub(super) fn reopen_disk(&mut self, at: usize) -> Result<(), String> {
        let Some(live) = self.machines[at].live.as_mut() else {
            return Ok(());
        };
        if !live.is_disk_dead {
            return Ok(());
        }
        match live.log.reopen() {
            Ok((log, persisted)) => self.begin(at, log, persisted),
            Err(error) => self.fail(format!("node-{at} can't take its disk back: {error}")),
        }
    }

    pub(super) fn begin(
        &mut self,
        at: usize,
        log: WriteAheadLog<MemoryFiles>,
        persisted: PersistedState,
    ) -> Result<(), String> {
        let state = match &persisted.snapshot {
            Some(snapshot) => State::restore(&snapshot.state)?,
            None => State::default(),
        };
        let snapshot_at = persisted
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        let seed = self.draw(u64::MAX);
        let timing = self.weather.timing();
        self.machines[at].life += 1;
        let node = Node::new(
            self.machines[at].identity,
            timing,
            seed,
            self.clock(at),
            persisted,
        );
        self.machines[at].is_blank = node.cluster() == 0;
        self.machines[at].live = Some(Live {
            node,
            log,
            state,
            writes: VecDeque::new(),
            is_disk_dead: false,
            was_leader: false,
            snapshot_at,
            is_idle: false,
        });
        let life = self.machines[at].life;
        self.due(10, Due::Tick(at, life));
        Ok(())
    }

    /// What a machine's clock shows: each runs since another moment, and begins anew
    /// with each start.
    fn clock(&self, at: usize) -> u64 {
        let machine = &self.machines[at];
        self.now + machine.identity.rotate_left(machine.life as u32) % LARGEST_CLOCK_OFFSET_MS
    }

    /// Power goes; of what was being written, some may be on disk.
    pub(super) fn crash(&mut self, at: usize) {
        let is_within_write = self.chance(500);
        let share = self.draw(1001) as usize;
        let operations = self.draw(8) as u32;
        let machine = &mut self.machines[at];
        let Some(mut live) = machine.live.take() else {
            return;
        };
        // A disk that failed before takes no more.
        let is_within_write = is_within_write && !live.is_disk_dead;
        if let Some((_, batch)) = live.writes.pop_front().filter(|_| is_within_write) {
            machine.files.crash_after(operations);
            // The write runs into the crash; what it returns is lost with it.
            drop(live.log.write(&batch));
        }
        machine.files.crash(share);
        machine.files.set_full(false);
        machine.life += 1;
        self.report.crashes += 1;
    }

    pub(super) fn step(&mut self, at: usize, input: Input) -> Result<(), String> {
        let now = self.clock(at);
        let Some(live) = self.machines[at].live.as_mut() else {
            return Ok(());
        };
        // What `due` promises: before it, a beat finds nothing to do.
        let is_tick = matches!(input, Input::Tick);
        let is_early = is_tick && live.is_idle && live.node.next_deadline() > now;
        let before = (live.node.role(), live.node.leader());
        live.is_idle = is_tick;
        let effects = live.node.step(now, input);
        if is_early && (!effects.is_empty() || before != (live.node.role(), live.node.leader())) {
            return self.fail(format!("node-{at} had something to do before it was due"));
        }
        for effect in effects {
            self.carry(at, effect)?;
        }
        self.take_snapshot(at)?;
        self.check(at)
    }

    pub(super) fn carry(&mut self, at: usize, effect: Effect) -> Result<(), String> {
        match effect {
            Effect::Write(ticket, writes) => {
                let live = self.machines[at].live.as_mut().expect("it just stepped");
                live.writes.push_back((ticket, writes));
                if live.writes.len() == 1 {
                    self.begin_write(at);
                }
            }
            Effect::Send(message) => self.send(at, message),
            Effect::Apply(entry, token) => self.apply(at, &entry, token)?,
            Effect::Restore(snapshot) => {
                let live = self.machines[at].live.as_mut().expect("it just stepped");
                live.state = State::restore(&snapshot.state)?;
                live.snapshot_at = snapshot.index;
                self.report.snapshots_installed += 1;
            }
            Effect::ReadReady(token, index) => {
                self.answer_from_leader(at, token, LeaderAnswer::ReadIndex(index));
                self.may_leave(token);
                if let Some(floor) = self.open_reads.remove(&token) {
                    self.report.confirmed += 1;
                    if index < floor {
                        return self.fail(format!(
                            "node-{at} confirmed index {index}, and {floor} was acknowledged \
                             before it was asked"
                        ));
                    }
                }
            }
            Effect::Rejected(token, _) => {
                self.open_reads.remove(&token);
                self.answer_from_leader(at, token, LeaderAnswer::Refused);
            }
        }
        Ok(())
    }

    pub(super) fn begin_write(&mut self, at: usize) {
        let is_slow = self.machines[at].slow_until > self.now;
        let time = if is_slow {
            300 + self.draw(1_500)
        } else {
            1 + self.draw(8)
        };
        let life = self.machines[at].life;
        self.due(time, Due::DiskDone(at, life));
    }

    pub(super) fn apply(
        &mut self,
        at: usize,
        entry: &Entry,
        token: Option<u64>,
    ) -> Result<(), String> {
        let sum = policy::stable_hash(&to_bytes(entry));
        match self.applied.get(&entry.index) {
            Some(known) if *known != sum => {
                return self.fail(format!("node-{at} applied another entry {}", entry.index))
            }
            _ => self.applied.insert(entry.index, sum),
        };
        let now = self.now;
        let live = self.machines[at].live.as_mut().expect("it just stepped");
        let mut given = None;
        if let EntryPayload::Command(bytes) = &entry.payload {
            let proposal: Proposal = from_bytes(bytes)?;
            let before = live.state.epoch();
            let (outcome, _) = live.state.apply(entry.index, &proposal);
            if live.state.epoch() < before {
                return self.fail(format!("node-{at}'s epoch fell"));
            }
            given = Some(outcome.clone());
            if let Outcome::Applied { epoch } = outcome {
                let known = *self.ids.entry(proposal.id.clone()).or_insert(epoch);
                if known != epoch {
                    return self.fail(format!(
                        "proposal {} was applied at {known} and at {epoch}",
                        proposal.id
                    ));
                }
            }
        }
        if let Some(token) = token {
            if let Some(outcome) = given {
                self.answer_from_leader(at, token, LeaderAnswer::Outcome(outcome));
            }
            self.acknowledged = self.acknowledged.max(entry.index);
            self.report.acknowledged += 1;
            self.report.gap_ms = self.report.gap_ms.max(now - self.acknowledged_at);
            self.acknowledged_at = now;
            if self.chance(self.weather.power_loss_after_ack) {
                self.doomed = Some(at);
            }
        }
        Ok(())
    }

    /// As the daemon does: between two steps, never within one, whose own writes
    /// would come after the snapshot's.
    pub(super) fn take_snapshot(&mut self, at: usize) -> Result<(), String> {
        let now = self.clock(at);
        let Some(live) = self.machines[at].live.as_mut() else {
            return Ok(());
        };
        let index = live.node.applied_index();
        if index < live.snapshot_at + SNAPSHOT_EVERY_ENTRIES {
            return Ok(());
        }
        live.snapshot_at = index;
        let state = live.state.snapshot();
        for effect in live.node.step(now, Input::SnapshotTaken(index, state)) {
            self.carry(at, effect)?;
        }
        Ok(())
    }

    pub(super) fn disk_done(&mut self, at: usize) -> Result<(), String> {
        let live = self.machines[at]
            .live
            .as_mut()
            .expect("checked by its life");
        let Some((ticket, batch)) = live.writes.pop_front() else {
            return Ok(());
        };
        if live.is_disk_dead {
            return Ok(());
        }
        let input = match live.log.write(&batch) {
            Ok(()) => Input::Synced(ticket),
            Err(_) => {
                live.is_disk_dead = true;
                Input::DiskFailed
            }
        };
        let has_more = !live.writes.is_empty() && !live.is_disk_dead;
        if has_more {
            self.begin_write(at);
        }
        self.step(at, input)
    }
}
