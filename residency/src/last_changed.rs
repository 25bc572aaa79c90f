//! Fencing of late commands: which epoch last changed each subject. A command that was
//! built on an older epoch of its subject is a conflict.

use crate::{Command, Epoch, Event, Name};
use binrw::binrw;
use consensus::codec::{read_list, write_list};

/// What a command is about. Commands on different subjects never conflict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Subject {
    /// The topology and, with it, the configuration document.
    Topology = 0,
    Keys = 1,
    Engines = 2,
    /// Any zone; a command about one zone is compared with that zone alone.
    Zones = 3,
    Moves = 4,
    Maintenance = 5,
    RouterCount = 6,
}

const SUBJECT_COUNT: usize = 7;

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
struct ZoneChange {
    zone: Name,
    epoch: Epoch,
}

/// The epoch that last changed each subject. Invariant: no epoch here ever falls, so
/// that a late command stays late.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Default)]
pub(crate) struct LastChanged {
    subjects: [Epoch; SUBJECT_COUNT],
    /// Zones that were evacuated or reinstated at any time. A zone that leaves the
    /// topology stays in this list, since it may come back.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    zones: Vec<ZoneChange>,
}

impl LastChanged {
    pub(crate) fn of(&self, subject: Subject) -> Epoch {
        self.subjects[subject as usize]
    }

    /// The epoch that last changed what a command is about.
    pub(crate) fn of_command(&self, command: &Command) -> Epoch {
        match command {
            Command::EvacuateZone(zone) | Command::ReinstateZone(zone) => self.zone(zone),
            command => self.of(subject_of(command)),
        }
    }

    fn zone(&self, zone: &Name) -> Epoch {
        self.zones
            .iter()
            .find(|change| change.zone == *zone)
            .map_or(0, |change| change.epoch)
    }

    /// Records what an applied command changed. A command that finds its zone already in
    /// the wanted state counts as a change of it: what was sent before it is late.
    pub(crate) fn record(&mut self, command: &Command, events: &[Event], epoch: Epoch) {
        self.record_subject(subject_of(command), epoch);
        if let Command::EvacuateZone(zone) | Command::ReinstateZone(zone) = command {
            self.record_zone(zone, epoch);
        }
        // Topology updates change keys, and maintenance windows zones and engines.
        for event in events {
            match event {
                Event::KeyAdded(_) | Event::KeyRemoved(_) => {
                    self.record_subject(Subject::Keys, epoch)
                }
                Event::EngineUpdated(_) | Event::EngineRemoved(_) => {
                    self.record_subject(Subject::Engines, epoch)
                }
                Event::ZoneEvacuated(zone) | Event::ZoneReinstated(zone) => {
                    self.record_zone(zone, epoch)
                }
                _ => {}
            }
        }
    }

    pub(crate) fn record_subject(&mut self, subject: Subject, epoch: Epoch) {
        self.subjects[subject as usize] = epoch;
    }

    fn record_zone(&mut self, zone: &Name, epoch: Epoch) {
        self.record_subject(Subject::Zones, epoch);
        match self.zones.iter_mut().find(|change| change.zone == *zone) {
            Some(change) => change.epoch = epoch,
            None => self.zones.push(ZoneChange {
                zone: zone.clone(),
                epoch,
            }),
        }
    }
}

fn subject_of(command: &Command) -> Subject {
    match command {
        Command::UpdateTopology { .. } | Command::AdoptDocument { .. } => Subject::Topology,
        Command::AddKey(_) | Command::RemoveKey(_) => Subject::Keys,
        Command::AddEngine(_)
        | Command::RemoveEngine(_)
        | Command::SetEngineState { .. }
        | Command::UpdateEngines { .. } => Subject::Engines,
        Command::EvacuateZone(_) | Command::ReinstateZone(_) => Subject::Zones,
        Command::MoveKey { .. } | Command::CompleteMove { .. } | Command::UndoMove { .. } => {
            Subject::Moves
        }
        Command::ScheduleMaintenance(_)
        | Command::BeginMaintenance(_)
        | Command::EndMaintenance(_) => Subject::Maintenance,
        Command::SetRouterCount(_) => Subject::RouterCount,
    }
}
