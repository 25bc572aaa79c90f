//! Routers that keep a copy of the state and, while nobody leads or in any case, ask the
//! machines one by one what their logs hold ([`consensus::quorum_read`]). Each time a
//! reader would act on its copy by a majority's word, the copy is compared with what was
//! acknowledged.
//!
//! Readers draw from a random state of their own, so that the seeds of all profiles stay
//! what they were before there were readers.

use crate::machine::MachineIndex;
use crate::random::draw;
use crate::simulation::{Event, Simulation};
use crate::violation::{Failure, Violation};
use placement::{DirectoryObserver, ReplicaPosition};
use protocol::{StateReport, LEASE_MS};

const READER_COUNT: usize = 3;
/// In thousandths of a round: a reader asks all machines; it gets a newer copy; other
/// machines are out of its reach; it stands still.
const ASKS: u64 = 400;
const FOLLOWS: u64 = 60;
const LOSES_MACHINES: u64 = 30;
const FREEZES: u64 = 10;
const LONGEST_FREEZE_MS: u64 = 5_000;
/// In thousandths of a question or an answer.
const LOST: u64 = 30;
const HELD_BACK: u64 = 50;
const LONGEST_TRANSIT_MS: u64 = 60;
const LONGEST_HELD_BACK_MS: u64 = 4_000;

/// What travels between a reader and a machine.
pub(crate) enum ReaderMessage {
    /// The number of a question.
    Query(u64),
    Report(StateReport),
}

/// A message and its two ends.
pub(crate) struct ReaderEvent {
    reader: usize,
    machine: MachineIndex,
    message: ReaderMessage,
}

struct Reader {
    observer: DirectoryObserver,
    /// Which state its copy is.
    copy: ReplicaPosition,
    last_query: u64,
    frozen_until_ms: u64,
    out_of_reach: Vec<MachineIndex>,
}

/// A change that was acknowledged, and when.
struct AcknowledgedChange {
    at_ms: u64,
    epoch: u64,
}

/// All readers of a run, and what was acknowledged in it.
pub(crate) struct QuorumReaders {
    random_state: u64,
    readers: Vec<Reader>,
    acknowledged: Vec<AcknowledgedChange>,
}

impl QuorumReaders {
    pub(crate) fn new(seed: u64) -> QuorumReaders {
        let reader = |_| Reader {
            observer: DirectoryObserver::default(),
            copy: ReplicaPosition::default(),
            last_query: 0,
            frozen_until_ms: 0,
            out_of_reach: Vec::new(),
        };
        QuorumReaders {
            random_state: seed.wrapping_mul(0xd134_2543_de82_ef95) | 1,
            readers: (0..READER_COUNT).map(reader).collect(),
            acknowledged: Vec::new(),
        }
    }

    fn draw(&mut self, bound: u64) -> u64 {
        draw(&mut self.random_state, bound)
    }

    fn chance(&mut self, thousandths: u64) -> bool {
        self.draw(1000) < thousandths
    }

    /// How long a question or an answer takes; `None` where it is lost.
    fn draw_transit_ms(&mut self) -> Option<u64> {
        if self.chance(LOST) {
            return None;
        }
        let longest_ms = match self.chance(HELD_BACK) {
            true => LONGEST_HELD_BACK_MS,
            false => LONGEST_TRANSIT_MS,
        };
        Some(1 + self.draw(longest_ms))
    }

    /// A change of the state was acknowledged to whoever proposed it.
    pub(crate) fn record_acknowledged(&mut self, at_ms: u64, epoch: u64) {
        self.acknowledged.push(AcknowledgedChange { at_ms, epoch });
    }

    /// The newest change that was acknowledged up to a moment.
    fn acknowledged_at(&self, at_ms: u64) -> u64 {
        let earlier = self.acknowledged.iter();
        let earlier = earlier.filter(|change| change.at_ms <= at_ms);
        earlier.map(|change| change.epoch).max().unwrap_or(0)
    }
}

impl Simulation {
    /// Draws what readers do in this round.
    pub(crate) fn drive_quorum_readers(&mut self) -> Result<(), Failure> {
        for reader in 0..READER_COUNT {
            if self.quorum_readers.readers[reader].frozen_until_ms > self.now_ms {
                continue;
            }
            if self.quorum_readers.chance(FREEZES) {
                let freeze_ms = self.quorum_readers.draw(LONGEST_FREEZE_MS);
                self.quorum_readers.readers[reader].frozen_until_ms = self.now_ms + freeze_ms;
                continue;
            }
            if self.quorum_readers.chance(FOLLOWS) {
                self.follow_a_machine(reader);
            }
            if self.quorum_readers.chance(LOSES_MACHINES) {
                self.draw_reach(reader);
            }
            if self.quorum_readers.chance(ASKS) {
                self.ask_all(reader);
            }
            self.check_quorum_read(reader)?;
        }
        Ok(())
    }

    /// A reader's session brings it what some machine has applied.
    fn follow_a_machine(&mut self, reader: usize) {
        let machine = self.quorum_readers.draw(self.machines.len() as u64) as usize;
        let Some(live) = self.machines[machine].live.as_ref() else {
            return;
        };
        let position = ReplicaPosition {
            cluster: live.node.cluster(),
            epoch: live.state.epoch(),
        };
        let copy = &mut self.quorum_readers.readers[reader].copy;
        if position.epoch > copy.epoch {
            *copy = position;
        }
    }

    /// Draws which machines are out of a reader's reach from now on.
    fn draw_reach(&mut self, reader: usize) {
        let machines = 0..self.machines.len();
        let readers = &mut self.quorum_readers;
        let out_of_reach = machines.filter(|_| readers.chance(200)).collect();
        readers.readers[reader].out_of_reach = out_of_reach;
    }

    fn ask_all(&mut self, reader: usize) {
        let now_ms = self.now_ms;
        let asking = &mut self.quorum_readers.readers[reader];
        asking.last_query += 1;
        let number = asking.last_query;
        for machine in 0..self.machines.len() {
            let address = &self.machines[machine].name;
            let asking = &mut self.quorum_readers.readers[reader];
            asking.observer.record_query(now_ms, address, number);
            self.send_between(reader, machine, ReaderMessage::Query(number));
        }
    }

    fn send_between(&mut self, reader: usize, machine: MachineIndex, message: ReaderMessage) {
        let readers = &mut self.quorum_readers;
        if readers.readers[reader].out_of_reach.contains(&machine) {
            return;
        }
        if let Some(transit_ms) = readers.draw_transit_ms() {
            let event = ReaderEvent {
                reader,
                machine,
                message,
            };
            self.schedule(transit_ms, Event::Reader(event));
        }
    }

    pub(crate) fn reader_event(&mut self, event: ReaderEvent) -> Result<(), Failure> {
        let frozen_until_ms = match event.message {
            ReaderMessage::Query(_) => self.machines[event.machine].frozen_until_ms,
            ReaderMessage::Report(_) => self.quorum_readers.readers[event.reader].frozen_until_ms,
        };
        if frozen_until_ms > self.now_ms {
            // Sockets keep what came in meanwhile.
            self.schedule(frozen_until_ms - self.now_ms, Event::Reader(event));
            return Ok(());
        }
        let ReaderEvent {
            reader,
            machine,
            message,
        } = event;
        match message {
            ReaderMessage::Query(number) => {
                self.answer_query(reader, machine, number);
                Ok(())
            }
            ReaderMessage::Report(report) => {
                let address = &self.machines[machine].name;
                let observer = &mut self.quorum_readers.readers[reader].observer;
                observer.record_report(address, report);
                self.check_quorum_read(reader)
            }
        }
    }

    fn answer_query(&mut self, reader: usize, machine: MachineIndex, number: u64) {
        let Some(live) = self.machines[machine].live.as_ref() else {
            return;
        };
        let log = live.node.log_report(live.state.epoch());
        let report = StateReport { number, log };
        self.send_between(reader, machine, ReaderMessage::Report(report));
    }

    /// What a reader may act on lacks nothing that was acknowledged before the majority's
    /// first word was asked for.
    fn check_quorum_read(&mut self, reader: usize) -> Result<(), Failure> {
        let checked = &self.quorum_readers.readers[reader];
        let ReplicaPosition { cluster, epoch } = checked.copy;
        // Without members it is never taken for cut off: the majority's word alone.
        let extension = checked
            .observer
            .lease_extension(self.now_ms, cluster, epoch, &[]);
        let Some(extension) = extension else {
            return Ok(());
        };
        let asked_at_ms = extension.until_ms - LEASE_MS;
        let acknowledged = self.quorum_readers.acknowledged_at(asked_at_ms);
        if epoch < acknowledged {
            return self.fail(Violation::StaleQuorumRead {
                reader,
                epoch,
                acknowledged,
                asked_at_ms,
            });
        }
        self.report.quorum_reads += 1;
        if self.leader().is_none() {
            self.report.quorum_reads_without_leader += 1;
        }
        Ok(())
    }
}
