//! Drives a machine's node as the daemon does: starts and crashes it, feeds it inputs and
//! carries out its effects.

use crate::machine::{Live, MachineIndex};
use crate::memory_files::MemoryFiles;
use crate::requests::LeaderResponse;
use crate::simulation::{Event, Simulation};
use crate::violation::{Failure, Violation};
use consensus::codec::{from_bytes, to_bytes};
use consensus::node::{Effect, Input, Node, PersistedState};
use consensus::wal::WriteAheadLog;
use consensus::{Entry, EntryPayload};
use residency::{Outcome, Proposal, State};
use std::collections::VecDeque;

const LARGEST_CLOCK_OFFSET_MS: u64 = 100_000_000;
const FIRST_TICK_MS: u64 = 10;
const SNAPSHOT_EVERY_ENTRIES: u64 = 40;

impl Simulation {
    /// Starts a machine from what its disk has.
    pub(crate) fn start(&mut self, machine: MachineIndex) -> Result<(), Failure> {
        if self.machines[machine].is_gone {
            return Ok(());
        }
        let files = self.machines[machine].files.clone();
        match WriteAheadLog::open(files) {
            Ok((log, persisted)) => self.start_node(machine, log, persisted),
            Err(error) => self.fail(Violation::UnreadableLog {
                machine,
                reason: error.to_string(),
            }),
        }
    }

    /// A node takes a disk that was full back into use.
    pub(crate) fn reopen_disk(&mut self, machine: MachineIndex) -> Result<(), Failure> {
        let Some(live) = self.machines[machine].live.as_mut() else {
            return Ok(());
        };
        if !live.is_disk_dead {
            return Ok(());
        }
        match live.log.reopen() {
            Ok((log, persisted)) => self.start_node(machine, log, persisted),
            Err(error) => self.fail(Violation::UnreadableLog {
                machine,
                reason: error.to_string(),
            }),
        }
    }

    pub(crate) fn start_node(
        &mut self,
        machine: MachineIndex,
        log: WriteAheadLog<MemoryFiles>,
        persisted: PersistedState,
    ) -> Result<(), Failure> {
        let state = match &persisted.snapshot {
            Some(snapshot) => self.restore(machine, &snapshot.state)?,
            None => State::default(),
        };
        let snapshot_index = persisted
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        let seed = self.draw(u64::MAX);
        let timing = self.profile.timing();
        self.machines[machine].incarnation += 1;
        let node = Node::new(
            self.machines[machine].identity,
            timing,
            seed,
            self.clock(machine),
            persisted,
        );
        self.machines[machine].is_blank = node.cluster() == 0;
        self.machines[machine].live = Some(Live {
            node,
            log,
            state,
            writes: VecDeque::new(),
            is_disk_dead: false,
            was_leader: false,
            snapshot_index,
            is_idle: false,
        });
        let incarnation = self.machines[machine].incarnation;
        self.schedule(FIRST_TICK_MS, Event::Tick(machine, incarnation));
        Ok(())
    }

    fn undecodable<T>(
        &self,
        machine: MachineIndex,
        what: &'static str,
        error: impl std::fmt::Display,
    ) -> Result<T, Failure> {
        let reason = error.to_string();
        self.fail(Violation::Undecodable {
            machine,
            what,
            reason,
        })
    }

    fn restore(&self, machine: MachineIndex, snapshot: &[u8]) -> Result<State, Failure> {
        match State::restore(snapshot) {
            Ok(state) => Ok(state),
            Err(error) => self.undecodable(machine, "a snapshot", error),
        }
    }

    /// A machine's monotonic clock in milliseconds: each has another offset, drawn anew
    /// at each start.
    fn clock(&self, machine: MachineIndex) -> u64 {
        let machine = &self.machines[machine];
        self.now_ms
            + machine.identity.rotate_left(machine.incarnation as u32) % LARGEST_CLOCK_OFFSET_MS
    }

    /// The machine loses power; of what was being written, some may be on disk.
    pub(crate) fn crash(&mut self, machine: MachineIndex) {
        let is_within_write = self.chance(500);
        let kept_thousandths = self.draw(1001) as usize;
        let operations = self.draw(8) as u32;
        let machine = &mut self.machines[machine];
        let Some(mut live) = machine.live.take() else {
            return;
        };
        // A disk that failed before accepts no writes.
        let is_within_write = is_within_write && !live.is_disk_dead;
        if let Some((_, batch)) = live.writes.pop_front().filter(|_| is_within_write) {
            machine.files.crash_after(operations);
            // The write runs into the crash; what it returns is lost with it.
            drop(live.log.write(&batch));
        }
        machine.files.crash(kept_thousandths);
        machine.files.set_full(false);
        machine.incarnation += 1;
        self.report.crashes += 1;
    }

    pub(crate) fn step(&mut self, machine: MachineIndex, input: Input) -> Result<(), Failure> {
        let now = self.clock(machine);
        let Some(live) = self.machines[machine].live.as_mut() else {
            return Ok(());
        };
        // What `next_deadline` promises: before it, a tick finds nothing to do.
        let is_tick = matches!(input, Input::Tick);
        let is_early = is_tick && live.is_idle && live.node.next_deadline() > now;
        let before = (live.node.role(), live.node.leader());
        live.is_idle = is_tick;
        let effects = live.node.step(now, input);
        if is_early && (!effects.is_empty() || before != (live.node.role(), live.node.leader())) {
            return self.fail(Violation::WorkBeforeDeadline { machine });
        }
        for effect in effects {
            self.execute(machine, effect)?;
        }
        self.take_snapshot(machine)?;
        self.check_leadership(machine)
    }

    pub(crate) fn execute(&mut self, machine: MachineIndex, effect: Effect) -> Result<(), Failure> {
        match effect {
            Effect::Write(ticket, writes) => {
                let live = self.machines[machine]
                    .live
                    .as_mut()
                    .expect("it just stepped");
                live.writes.push_back((ticket, writes));
                if live.writes.len() == 1 {
                    self.schedule_write(machine);
                }
            }
            Effect::Send(message) => self.send(machine, message),
            Effect::Apply(entry, token) => self.apply(machine, &entry, token)?,
            Effect::Restore(snapshot) => {
                let state = self.restore(machine, &snapshot.state)?;
                let live = self.machines[machine]
                    .live
                    .as_mut()
                    .expect("it just stepped");
                live.state = state;
                live.snapshot_index = snapshot.index;
                self.report.snapshots_installed += 1;
            }
            Effect::ReadReady(token, index) => {
                self.send_leader_response(machine, token, LeaderResponse::ReadIndex(index));
                self.leave_granted(token);
                if let Some(floor) = self.open_reads.remove(&token) {
                    self.report.confirmed += 1;
                    if index < floor {
                        return self.fail(Violation::StaleReadIndex {
                            machine,
                            confirmed: index,
                            acknowledged: floor,
                        });
                    }
                }
            }
            Effect::Rejected(token, _) => {
                self.open_reads.remove(&token);
                self.send_leader_response(machine, token, LeaderResponse::Rejected);
            }
        }
        Ok(())
    }

    pub(crate) fn schedule_write(&mut self, machine: MachineIndex) {
        let is_slow = self.machines[machine].slow_disk_until_ms > self.now_ms;
        let write_ms = if is_slow {
            300 + self.draw(1_500)
        } else {
            1 + self.draw(8)
        };
        let incarnation = self.machines[machine].incarnation;
        self.schedule(write_ms, Event::DiskDone(machine, incarnation));
    }

    pub(crate) fn apply(
        &mut self,
        machine: MachineIndex,
        entry: &Entry,
        token: Option<u64>,
    ) -> Result<(), Failure> {
        let checksum = policy::stable_hash(&to_bytes(entry));
        match self.applied_checksums.get(&entry.index) {
            Some(known) if *known != checksum => {
                let index = entry.index;
                return self.fail(Violation::DivergentEntry { machine, index });
            }
            _ => self.applied_checksums.insert(entry.index, checksum),
        };
        let now_ms = self.now_ms;
        let live = self.machines[machine]
            .live
            .as_mut()
            .expect("it just stepped");
        let mut outcome = None;
        if let EntryPayload::Command(bytes) = &entry.payload {
            let proposal: Proposal = match from_bytes(bytes) {
                Ok(proposal) => proposal,
                Err(error) => return self.undecodable(machine, "a command", error),
            };
            let before = live.state.epoch();
            let (result, _) = live.state.apply(entry.index, &proposal);
            let after = live.state.epoch();
            if after < before {
                return self.fail(Violation::EpochFell {
                    machine,
                    before,
                    after,
                });
            }
            outcome = Some(result.clone());
            if let Outcome::Applied { epoch } = result {
                let known = *self
                    .epoch_of_proposal
                    .entry(proposal.id.clone())
                    .or_insert(epoch);
                if known != epoch {
                    return self.fail(Violation::AppliedTwice {
                        id: proposal.id.clone(),
                        first: known,
                        second: epoch,
                    });
                }
            }
        }
        if let Some(token) = token {
            if let Some(Outcome::Applied { epoch }) = outcome {
                self.quorum_readers.record_acknowledged(now_ms, epoch);
            }
            if let Some(outcome) = outcome {
                self.send_leader_response(machine, token, LeaderResponse::Outcome(outcome));
            }
            self.acknowledged_index = self.acknowledged_index.max(entry.index);
            self.report.acknowledged += 1;
            self.report.gap_ms = self
                .report
                .gap_ms
                .max(now_ms - self.last_acknowledgement_ms);
            self.last_acknowledgement_ms = now_ms;
            if self.chance(self.profile.power_loss_after_ack) {
                self.power_loss_at = Some(machine);
            }
        }
        Ok(())
    }

    /// As the daemon does: between two steps, never within one, whose own writes
    /// would come after the snapshot's.
    pub(crate) fn take_snapshot(&mut self, machine: MachineIndex) -> Result<(), Failure> {
        let now = self.clock(machine);
        let Some(live) = self.machines[machine].live.as_mut() else {
            return Ok(());
        };
        let index = live.node.applied_index();
        if index < live.snapshot_index + SNAPSHOT_EVERY_ENTRIES {
            return Ok(());
        }
        live.snapshot_index = index;
        let state = live.state.snapshot();
        for effect in live.node.step(now, Input::SnapshotTaken(index, state)) {
            self.execute(machine, effect)?;
        }
        Ok(())
    }

    pub(crate) fn disk_done(&mut self, machine: MachineIndex) -> Result<(), Failure> {
        let live = self.machines[machine]
            .live
            .as_mut()
            .expect("the event is of this incarnation");
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
            self.schedule_write(machine);
        }
        self.step(machine, input)
    }
}
