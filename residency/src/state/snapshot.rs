//! The whole state as bytes, and back.

use super::{Pin, Planned, RecentProposal, State};
use crate::command::ConfigDocument;
use crate::fence::LastChanged;
use crate::{topology, Event, Name, Topology, View};
use binrw::binrw;
use consensus::codec::{from_bytes, read_list, to_bytes, write_list};
use simd_json::prelude::*;

#[binrw]
#[brw(big)]
struct StateSnapshot {
    epoch: u64,
    last_changed: LastChanged,
    document: Name,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    view: Vec<Event>,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pins: Vec<Pin>,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    known: Vec<RecentProposal>,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    windows: Vec<Planned>,
    config_document: ConfigDocument,
}

impl State {
    pub fn snapshot(&self) -> Vec<u8> {
        to_bytes(&StateSnapshot {
            epoch: self.epoch(),
            last_changed: self.last_changed.clone(),
            document: Name(self.document.encode()),
            view: self.view.snapshot(),
            pins: self.pins.values().cloned().collect(),
            known: self.recent_proposals.iter().cloned().collect(),
            windows: self.windows.clone(),
            config_document: self.config_document.clone(),
        })
    }

    pub fn restore(bytes: &[u8]) -> Result<State, String> {
        if bytes.is_empty() {
            return Ok(State::default());
        }
        let picture: StateSnapshot = from_bytes(bytes)?;
        let document = topology::parse_json(&picture.document.0)?;
        let topology =
            Topology::from_json(&document).map_err(|complaints| complaints.join("; "))?;
        let mut view = View::default();
        for event in &picture.view {
            view.apply(event);
        }
        view.epoch = picture.epoch;
        Ok(State {
            document,
            topology,
            view,
            pins: picture
                .pins
                .into_iter()
                .map(|pin| (pin.key.0.clone(), pin))
                .collect(),
            recent_proposals: picture.known.into(),
            last_changed: picture.last_changed,
            windows: picture.windows,
            config_document: picture.config_document,
        })
    }
}
