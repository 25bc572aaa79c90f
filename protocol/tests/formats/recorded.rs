//! Frames and a state snapshot that an earlier build wrote (`tests/fixtures`): this
//! build reads them, and writes the same bytes for the same values.

use crate::samples::frames::{cache_sharing, forwarding, handshake, peers, router_session};
use crate::samples::{engine, key, name};
use crate::state::TOPOLOGY;
use protocol::{decode, encode, Frame};
use residency::{
    Command, ConfigDocument, DrainTarget, MaintenanceWindow, Outcome, Proposal, State, UpdateMode,
};

/// The version of the protocol that wrote the fixtures. Later ones have added frames; the
/// layouts are the same.
const RECORDED_VERSION: u16 = 9;

/// The recorded frames of a conversation, each with its length prefix.
fn split(mut recorded: &[u8]) -> Vec<&[u8]> {
    let mut frames = Vec::new();
    while !recorded.is_empty() {
        let length = u32::from_be_bytes(recorded[..4].try_into().expect("four bytes"));
        let (frame, rest) = recorded.split_at(4 + length as usize);
        frames.push(frame);
        recorded = rest;
    }
    frames
}

#[test]
fn recorded_frames_decode_and_encode_to_the_same_bytes() {
    let cases: [(&str, &[u8], Vec<Frame>); 5] = [
        (
            "handshake",
            include_bytes!("../fixtures/handshake.frames"),
            handshake(RECORDED_VERSION),
        ),
        ("peers", include_bytes!("../fixtures/peers.frames"), peers()),
        (
            "router session",
            include_bytes!("../fixtures/router-session.frames"),
            router_session(),
        ),
        (
            "forwarding",
            include_bytes!("../fixtures/forwarding.frames"),
            forwarding(),
        ),
        (
            "cache sharing",
            include_bytes!("../fixtures/cache-sharing.frames"),
            cache_sharing(),
        ),
    ];
    for (conversation, recorded, values) in cases {
        let recorded = split(recorded);
        assert_eq!(recorded.len(), values.len(), "frames of {conversation}");
        for (bytes, value) in recorded.into_iter().zip(values) {
            let decoded = decode(&bytes[4..]);
            assert_eq!(decoded.as_ref(), Ok(&value), "{conversation}");
            assert_eq!(encode(&value), bytes, "{conversation}: {value:?}");
        }
    }
}

/// The state whose snapshot was recorded: one of each part that a snapshot holds.
fn state() -> State {
    let window = |id, target| MaintenanceWindow {
        id: name(id),
        target,
        starts_at_s: 5,
        ends_at_s: 9,
    };
    let windows = vec![
        window("w-1", DrainTarget::Zone(name("south-a"))),
        window("w-2", DrainTarget::Engine(name("i-1"))),
    ];
    let config_document = ConfigDocument {
        revision: 3,
        base_revision: 0,
        text: "{}".into(),
    };
    let commands = [
        Command::UpdateTopology {
            mode: UpdateMode::Replace,
            text: TOPOLOGY.into(),
        },
        Command::AddKey(key(&"a".repeat(64), "ana")),
        Command::AddEngine(engine()),
        Command::EvacuateZone(name("north-a")),
        Command::MoveKey {
            tenant: name("ana"),
            service: name("writer"),
            cell: name("north-1"),
        },
        Command::ScheduleMaintenance(windows),
        Command::BeginMaintenance(name("w-1")),
        Command::AdoptDocument {
            config_document,
            text: TOPOLOGY.into(),
        },
        Command::UpdateEngines {
            engines: vec![engine()],
            gone: vec![],
        },
        Command::SetRouterCount(9),
    ];
    let mut state = State::default();
    for (command, epoch) in commands.into_iter().zip(1..) {
        let proposal = Proposal {
            id: format!("s-{epoch}"),
            base_epoch: 0,
            command,
        };
        let (outcome, _) = state.apply(epoch, &proposal);
        assert_eq!(outcome, Outcome::Applied { epoch }, "{proposal:?}");
    }
    state
}

#[test]
fn a_recorded_state_snapshot_restores_and_encodes_to_the_same_bytes() {
    let recorded = include_bytes!("../fixtures/state.snapshot");
    let restored = State::restore(recorded).expect("an earlier build's snapshot");
    assert_eq!(restored.snapshot(), recorded, "written again");
    assert_eq!(state().snapshot(), recorded, "the same state, built here");
}
