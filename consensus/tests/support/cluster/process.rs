//! Processes of a cluster: start, crash, and writes that reach their disk.

use super::super::disk::MemoryDisk;
use super::super::state::Applied;
use super::{Cluster, Event, Running, DISK_RETRY_MS};
use consensus::node::{Input, Node, PersistedState};
use consensus::wal::WriteAheadLog;
use std::collections::VecDeque;

impl Cluster {
    pub fn start_after(&mut self, after: u64, at: usize) {
        self.schedule(after, Event::Start(at));
    }

    pub fn start(&mut self, at: usize) {
        if self.machines[at].running.is_some() {
            return;
        }
        match WriteAheadLog::open(self.machines[at].disk.clone()) {
            Ok((log, persisted)) => self.begin(at, log, persisted),
            Err(_) if self.machines[at].disk.is_full() => self.start_after(DISK_RETRY_MS, at),
            Err(error) => panic!("node {at} can't start: {error}"),
        }
    }

    pub(super) fn begin(
        &mut self,
        at: usize,
        log: WriteAheadLog<MemoryDisk>,
        persisted: PersistedState,
    ) {
        let state = persisted
            .snapshot
            .as_ref()
            .map_or(Vec::new(), |taken| taken.state.clone());
        let seed = self.draw(u64::MAX);
        let identity = self.machines[at].member.identity;
        let machine = &mut self.machines[at];
        machine.incarnation += 1;
        machine.running = Some(Running {
            node: Node::new(identity, self.timing, seed, self.now, persisted),
            log,
            queued: VecDeque::new(),
            writing: None,
            is_disk_failed: false,
            applied: Applied::restored(&state),
        });
    }

    /// The process or the power ends; a part of the current write may be on disk.
    pub fn crash(&mut self, at: usize) {
        let operations = self.draw(8) as u32;
        let (persisted, kept_permille) = (self.draw(u64::MAX), self.draw(1_001) as usize);
        let machine = &mut self.machines[at];
        let Some(mut running) = machine.running.take() else {
            return;
        };
        if let Some((_, batch)) = running.writing.take() {
            machine.disk.fail_after(Some(operations));
            drop(running.log.write(&batch));
        }
        machine.disk.lose_power(persisted, kept_permille);
    }

    pub(super) fn finish_write(&mut self, at: usize) {
        let Some(running) = self.machines[at].running.as_mut() else {
            return;
        };
        let Some((ticket, batch)) = running.writing.take() else {
            return;
        };
        if running.log.write(&batch).is_ok() {
            self.begin_write(at);
            return self.step(at, Input::Synced(ticket));
        }
        running.is_disk_failed = true;
        running.queued.clear();
        let start = self.machines[at].incarnation;
        self.schedule(DISK_RETRY_MS, Event::ReopenLog(at, start));
        self.step(at, Input::DiskFailed);
    }

    pub(super) fn reopen_log(&mut self, at: usize) {
        let Some(running) = self.machines[at].running.as_mut() else {
            return;
        };
        match running.log.reopen() {
            Ok((log, persisted)) => self.begin(at, log, persisted),
            Err(_) => {
                let start = self.machines[at].incarnation;
                self.schedule(DISK_RETRY_MS, Event::ReopenLog(at, start));
            }
        }
    }

    /// Writes everything that is queued as one batch.
    pub(super) fn begin_write(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        let (start, sync_ms) = (machine.incarnation, machine.sync_ms);
        let Some(running) = machine.running.as_mut() else {
            return;
        };
        if running.writing.is_some() || running.queued.is_empty() {
            return;
        }
        let ticket = running.queued.back().map_or(0, |(ticket, _)| *ticket);
        let batch = running
            .queued
            .drain(..)
            .flat_map(|(_, writes)| writes)
            .collect();
        running.writing = Some((ticket, batch));
        self.schedule(sync_ms, Event::WriteFinished(at, start));
    }
}
