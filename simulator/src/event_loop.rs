//! Virtual time: events are carried out in the order of their times.

use crate::machine::MachineIndex;
use crate::simulation::{Event, Simulation};
use crate::violation::Failure;
use consensus::node::Input;
use consensus::Message;

const TICK_MS: u64 = 10;

impl Simulation {
    /// Carries out everything that is due up to a moment, which is then now.
    pub(crate) fn run_until(&mut self, end_ms: u64) -> Result<(), Failure> {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end_ms {
                break;
            }
            let ((due_ms, _), event) = entry.remove_entry();
            self.now_ms = due_ms;
            self.handle(event)?;
            if let Some(machine) = self.power_loss_at.take() {
                self.crash_after_acknowledgement(machine);
            }
        }
        self.now_ms = end_ms;
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Result<(), Failure> {
        match event {
            Event::Deliver(message) => self.deliver(message),
            Event::Tick(machine, incarnation) if self.is_current(machine, incarnation) => {
                self.tick(machine)
            }
            Event::DiskDone(machine, incarnation) if self.is_current(machine, incarnation) => {
                self.disk_done(machine)
            }
            Event::Restart(machine) if self.machines[machine].live.is_none() => self.start(machine),
            Event::DiskFreed(machine, incarnation) if self.is_current(machine, incarnation) => {
                self.disk_freed(machine)
            }
            Event::ReadAfterFreeze(machine, incarnation)
                if self.is_current(machine, incarnation) =>
            {
                self.read_after_freeze(machine)
            }
            // Meant for an earlier start of the machine.
            Event::Tick(..)
            | Event::DiskDone(..)
            | Event::Restart(_)
            | Event::DiskFreed(..)
            | Event::ReadAfterFreeze(..) => Ok(()),
            Event::Heal => {
                self.cut_links.clear();
                Ok(())
            }
            Event::HealMachine(machine) => {
                self.cut_links
                    .retain(|(from, to)| *from != machine && *to != machine);
                Ok(())
            }
            Event::Successor(predecessor) => self.start_successor(predecessor),
            Event::DrainMachine { machine, until_ms } => self.drain_machine(machine, until_ms),
            Event::Operator(event) => self.operator_event(event),
            Event::Reader(event) => self.reader_event(event),
            Event::MachineRemoved(machine) => {
                self.remove_machine(machine);
                Ok(())
            }
        }
    }

    fn is_current(&self, machine: MachineIndex, incarnation: u64) -> bool {
        self.machines[machine].incarnation == incarnation
    }

    fn deliver(&mut self, message: Message) -> Result<(), Failure> {
        let Some(to) = self.machine_of(message.to) else {
            return Ok(());
        };
        let frozen_until_ms = self.machines[to].frozen_until_ms;
        if frozen_until_ms > self.now_ms {
            // Sockets keep what came in meanwhile.
            self.schedule(frozen_until_ms - self.now_ms, Event::Deliver(message));
            return Ok(());
        }
        self.step(to, Input::Received(message))
    }

    fn tick(&mut self, machine: MachineIndex) -> Result<(), Failure> {
        let incarnation = self.machines[machine].incarnation;
        let frozen_until_ms = self.machines[machine].frozen_until_ms;
        if frozen_until_ms > self.now_ms {
            let wait_ms = frozen_until_ms - self.now_ms;
            self.schedule(wait_ms, Event::Tick(machine, incarnation));
            return Ok(());
        }
        self.step(machine, Input::Tick)?;
        self.request_admission(machine)?;
        self.schedule(TICK_MS, Event::Tick(machine, incarnation));
        Ok(())
    }

    fn disk_freed(&mut self, machine: MachineIndex) -> Result<(), Failure> {
        if self.profile.reopens_disks {
            self.machines[machine].files.set_full(false);
            return self.reopen_disk(machine);
        }
        self.crash(machine);
        self.start(machine)
    }

    fn read_after_freeze(&mut self, machine: MachineIndex) -> Result<(), Failure> {
        self.last_token += 1;
        let token = self.last_token;
        self.open_reads.insert(token, self.acknowledged_index);
        self.step(machine, Input::ReadIndex(token))
    }
}
