//! Which index changed each part of the state last. A command that was built on
//! an older state of its part is late, and is told apart by it.

use crate::{Command, Event, Name};
use binrw::binrw;
use consensus::codec::{read_list, write_list};

/// A part of the state whose changes are told apart from the others'.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Part {
    /// The topology and, with it, the configuration document.
    Topology = 0,
    Keys = 1,
    Engines = 2,
    /// All zones together; commands are held against their own zone alone.
    Zones = 3,
    Moves = 4,
    Windows = 5,
    Fleet = 6,
}

const PARTS: usize = 7;

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
struct ZoneChange {
    zone: Name,
    index: u64,
}

/// Invariant: nothing here ever falls, so that a late command stays late.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Default)]
pub(crate) struct LastChanged {
    parts: [u64; PARTS],
    /// Zones that were evacuated or reinstated at any time. A zone that leaves
    /// the topology keeps its place, since it may come back.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    zones: Vec<ZoneChange>,
}

impl LastChanged {
    pub(crate) fn part(&self, part: Part) -> u64 {
        self.parts[part as usize]
    }

    /// The index that last changed what a command is about.
    pub(crate) fn subject_of(&self, command: &Command) -> u64 {
        match command {
            Command::EvacuateZone(zone) | Command::ReinstateZone(zone) => self.zone(zone),
            command => self.part(part_of(command)),
        }
    }

    fn zone(&self, zone: &Name) -> u64 {
        self.zones
            .iter()
            .find(|change| change.zone == *zone)
            .map_or(0, |change| change.index)
    }

    /// Takes down what an applied command changed. An order that finds its zone
    /// already so counts as a change of it: what was sent before it is late.
    pub(crate) fn note(&mut self, command: &Command, events: &[Event], index: u64) {
        self.note_part(part_of(command), index);
        if let Command::EvacuateZone(zone) | Command::ReinstateZone(zone) = command {
            self.note_zone(zone, index);
        }
        // Revisions change keys, and maintenance windows zones and engines.
        for event in events {
            match event {
                Event::KeyAdded(_) | Event::KeyRemoved(_) => self.note_part(Part::Keys, index),
                Event::EngineUpdated(_) | Event::EngineRemoved(_) => {
                    self.note_part(Part::Engines, index)
                }
                Event::ZoneEvacuated(zone) | Event::ZoneReinstated(zone) => {
                    self.note_zone(zone, index)
                }
                _ => {}
            }
        }
    }

    pub(crate) fn note_part(&mut self, part: Part, index: u64) {
        self.parts[part as usize] = index;
    }

    fn note_zone(&mut self, zone: &Name, index: u64) {
        self.note_part(Part::Zones, index);
        match self.zones.iter_mut().find(|change| change.zone == *zone) {
            Some(change) => change.index = index,
            None => self.zones.push(ZoneChange {
                zone: zone.clone(),
                index,
            }),
        }
    }
}

fn part_of(command: &Command) -> Part {
    match command {
        Command::UpdateTopology { .. } | Command::AdoptDocument { .. } => Part::Topology,
        Command::AddKey(_) | Command::RemoveKey(_) => Part::Keys,
        Command::AddEngine(_)
        | Command::RemoveEngine(_)
        | Command::SetEngineState { .. }
        | Command::UpdateEngines { .. } => Part::Engines,
        Command::EvacuateZone(_) | Command::ReinstateZone(_) => Part::Zones,
        Command::MoveKey { .. } | Command::CompleteMove { .. } | Command::UndoMove { .. } => {
            Part::Moves
        }
        Command::ScheduleMaintenance(_)
        | Command::BeginMaintenance(_)
        | Command::EndMaintenance(_) => Part::Windows,
        Command::SetRouterCount(_) => Part::Fleet,
    }
}
