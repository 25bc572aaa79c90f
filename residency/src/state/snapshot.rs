//! Snapshots: the whole state as bytes, and back.

use super::error::RestoreError;
use super::recent_proposals::RecentProposal;
use super::scheduled_window::ScheduledWindow;
use super::{Pin, State};
use crate::last_changed::LastChanged;
use crate::{parse_json, ConfigDocument, Epoch, Event, Name, Topology, View};
use binrw::binrw;
use consensus::codec::{from_bytes, read_list, to_bytes, write_list};
use simd_json::prelude::*;

/// The layout of a snapshot.
#[binrw]
#[brw(big)]
struct StateSnapshot {
    epoch: Epoch,
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
    recent_proposals: Vec<RecentProposal>,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    windows: Vec<ScheduledWindow>,
    config_document: ConfigDocument,
}

impl State {
    /// The whole state as bytes. Its size is bounded by the topology file, the engines,
    /// the keys and [`super::RECENT_PROPOSALS`].
    pub fn snapshot(&self) -> Vec<u8> {
        to_bytes(&StateSnapshot {
            epoch: self.epoch(),
            last_changed: self.last_changed.clone(),
            document: Name(self.document.encode()),
            view: self.view.snapshot(),
            pins: self.pins.values().cloned().collect(),
            recent_proposals: self.recent_proposals.to_list(),
            windows: self.windows.clone(),
            config_document: self.config_document.clone(),
        })
    }

    /// The state that a snapshot was taken of. No bytes at all are the empty state.
    pub fn restore(bytes: &[u8]) -> Result<State, RestoreError> {
        if bytes.is_empty() {
            return Ok(State::default());
        }
        let snapshot: StateSnapshot =
            from_bytes(bytes).map_err(|error| RestoreError::Bytes(error.into()))?;
        let document = parse_json(&snapshot.document.0)?;
        let topology = Topology::from_json(&document)?;
        let pins = snapshot.pins.into_iter();
        let mut state = State {
            document,
            topology,
            view: View::default(),
            pins: pins.map(|pin| (pin.key.0.clone(), pin)).collect(),
            recent_proposals: snapshot.recent_proposals.into(),
            last_changed: snapshot.last_changed,
            windows: snapshot.windows,
            config_document: snapshot.config_document,
        };
        for event in &snapshot.view {
            state.apply_to_view(event);
        }
        state.view.epoch = snapshot.epoch;
        Ok(state)
    }
}
