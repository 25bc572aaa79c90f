//! Data folders that an earlier build left behind (`tests/fixtures`): this build reads
//! the same term, vote, snapshot, log and state from them, and goes on from there.

use consensus::codec::from_bytes;
use consensus::node::{PersistedState, Timing};
use consensus::wal::{DiskStorage, WriteAheadLog};
use consensus::{Entry, EntryPayload, HardState, Member, Membership};
use directory::{Committed, ControlPlane, Extensions, RuntimeFlavor, Settings};
use protocol::{ConnectionKind, Frame, LookupResponse, MAX_FRAME_BYTES};
use residency::{Command, EngineState, Name, Outcome, Proposal, State, UpdateMode};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use transport::link;

const CLUSTER: u64 = 0xe7c0_2db5_1704_7a79;
/// The identities of d1 to d4, as their folders hold them.
const IDENTITIES: [u64; 4] = [
    0x4148_3faf_993f_59af,
    0xb8e2_9035_0967_3557,
    0xe156_b944_6501_1ea5,
    0x5737_4ef7_6acd_60d9,
];
/// A node that joined and was removed by an operator.
const REMOVED: u64 = 0xe006_a5ba_cd08_fe6d;
const REGIONS: [&str; 4] = ["north", "south", "east", "west"];
const SNAPSHOT_INDEX: u64 = 20;
const LAST_INDEX: u64 = 34;
const PATIENCE: Duration = Duration::from_secs(60);

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/data-d856bfd")
}

/// A copy of the data folders; removed when the test ends.
struct Copy(PathBuf);

impl Copy {
    fn new(test: &str) -> Copy {
        let path = format!("rushport-recorded-data-{test}-{}", std::process::id());
        let path = std::env::temp_dir().join(path);
        for node in 1..=4 {
            let (from, to) = (
                fixtures().join(format!("d{node}")),
                path.join(format!("d{node}")),
            );
            std::fs::create_dir_all(to.join("log")).expect("a folder of its own");
            std::fs::copy(from.join("identity"), to.join("identity")).expect("an identity");
            for entry in std::fs::read_dir(from.join("log")).expect("a log") {
                let entry = entry.expect("a file");
                let to = to.join("log").join(entry.file_name());
                std::fs::copy(entry.path(), to).expect("copied");
            }
        }
        Copy(path)
    }

    fn open(&self, node: usize) -> PersistedState {
        let log = DiskStorage::open(&self.0.join(format!("d{node}/log"))).expect("a folder");
        let (_, persisted) = WriteAheadLog::open(log).expect("an earlier build's log");
        persisted
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

fn member(node: usize) -> Member {
    Member {
        identity: IDENTITIES[node - 1],
        name: format!("d{node}"),
        region: REGIONS[node - 1].into(),
        zone: format!("{}-a", REGIONS[node - 1]),
        address: format!("127.84.7.1{node}:7361"),
        operator_address: format!("127.84.7.1{node}:7363"),
    }
}

fn membership(learners: Vec<Member>, retired: Vec<u64>) -> Membership {
    Membership {
        voters: vec![member(1), member(3), member(2)],
        learners,
        retired,
    }
}

fn name(text: &str) -> Name {
    Name::from(text)
}

/// The log after the snapshot.
fn entries() -> Vec<Entry> {
    let command = |id: &str, base_epoch, command| {
        let id = id.into();
        EntryPayload::Command(consensus::codec::to_bytes(&Proposal {
            id,
            base_epoch,
            command,
        }))
    };
    let evacuate = || Command::EvacuateZone(name("north-a"));
    let reinstate = || Command::ReinstateZone(name("north-a"));
    let drain = Command::SetEngineState {
        name: name("i-2"),
        state: EngineState::Draining,
    };
    let digest = "d15e2849f3d7957f7c3c7d3169ced4f6b24309f8a760e6daecdfadba7f0ac7aa";
    let unpin = Command::UndoMove {
        tenant: name("ana"),
        service: name("writer"),
    };
    let removed = Member {
        identity: REMOVED,
        name: "d5".into(),
        region: "west".into(),
        zone: "west-a".into(),
        address: "127.84.7.15:7361".into(),
        operator_address: "127.84.7.15:7363".into(),
    };
    let payloads = [
        (2, command("s-ev-1", 20, evacuate())),
        (2, command("s-gb-1", 21, reinstate())),
        (2, command("s-ev-2", 22, evacuate())),
        (2, command("s-gb-2", 23, reinstate())),
        (3, EntryPayload::Noop),
        (3, command("s-drain", 24, drain)),
        (3, command("s-drop", 26, Command::RemoveKey(name(digest)))),
        (3, command("s-gone", 27, Command::RemoveEngine(name("i-3")))),
        (
            3,
            EntryPayload::Membership(membership(vec![member(4)], vec![])),
        ),
        (
            3,
            EntryPayload::Membership(membership(vec![member(4), removed], vec![])),
        ),
        (
            3,
            EntryPayload::Membership(membership(vec![member(4)], vec![REMOVED])),
        ),
        (3, command("s-unpin", 28, unpin)),
        (3, command("s-evacuate-last", 32, evacuate())),
        (3, command("s-part", 33, revision())),
    ];
    let entry = |((term, payload), index)| Entry {
        index,
        term,
        payload,
    };
    payloads
        .into_iter()
        .zip(SNAPSHOT_INDEX + 1..)
        .map(entry)
        .collect()
}

/// The last command that the earlier build committed.
fn revision() -> Command {
    Command::UpdateTopology {
        mode: UpdateMode::Patch,
        text: r#"{"tenants":{"carl":{"homes":["south"]}}}"#.into(),
    }
}

fn check_state(state: &State) {
    let evacuated: Vec<&str> = state.view.evacuated.iter().map(String::as_str).collect();
    assert_eq!(evacuated, ["north-a", "south-a"]);
    let engines = state.view.engines.values();
    let engines: Vec<(&str, EngineState)> = engines
        .map(|engine| (engine.name.as_str(), engine.state))
        .collect();
    let expected = [
        ("i-1", EngineState::Serving),
        ("i-2", EngineState::Draining),
    ];
    assert_eq!(engines, expected);
    let tenants: Vec<&str> = state.view.tenants.keys().map(String::as_str).collect();
    assert_eq!(tenants, ["ana", "bob", "carl"]);
    let moves: Vec<_> = state.moves().collect();
    let expected = residency::KeyMove {
        routing_key: "bob/writer",
        cell: "south-1",
        is_moving: false,
    };
    assert_eq!(moves, [expected]);
    let windows: Vec<(&str, bool)> = state
        .windows()
        .map(|scheduled| (scheduled.window.id.0.as_str(), scheduled.has_begun))
        .collect();
    assert_eq!(windows, [("w-1", true), ("w-2", false)]);
    let keys: Vec<&str> = state.view.keys.values().map(String::as_str).collect();
    assert_eq!(keys, ["ana"]);
}

#[test]
fn hard_state_snapshot_log_and_state_read_as_they_were_written() {
    let copy = Copy::new("read");
    for node in 1..=4 {
        let persisted = copy.open(node);
        // d1 was restarted in term 3 and had voted for nobody in it, as the learner d4.
        let vote = if matches!(node, 2 | 3) {
            IDENTITIES[1]
        } else {
            0
        };
        let hard_state = HardState {
            term: 3,
            vote,
            cluster: CLUSTER,
        };
        assert_eq!(persisted.hard_state, hard_state, "d{node}");
        let snapshot = persisted.snapshot.expect("a snapshot");
        let (index, term, cluster) = (snapshot.index, snapshot.term, snapshot.cluster);
        assert_eq!(
            (index, term, cluster),
            (SNAPSHOT_INDEX, 2, CLUSTER),
            "d{node}"
        );
        assert_eq!(snapshot.members, membership(vec![], vec![]), "d{node}");
        assert_eq!(persisted.entries, entries(), "d{node}");

        let mut state = State::restore(&snapshot.state).expect("an earlier build's state");
        assert_eq!(state.epoch(), SNAPSHOT_INDEX, "d{node}");
        assert_eq!(state.snapshot(), snapshot.state, "d{node}: written again");
        for entry in &persisted.entries {
            if let EntryPayload::Command(bytes) = &entry.payload {
                let proposal: Proposal = from_bytes(bytes).expect("an earlier build's command");
                let (outcome, _) = state.apply(entry.index, &proposal);
                let applied = Outcome::Applied { epoch: entry.index };
                assert_eq!(outcome, applied, "d{node}: {proposal:?}");
            }
        }
        check_state(&state);
        // What the earlier build itself made of this log.
        let recorded = std::fs::read(fixtures().join("state-at-34.snapshot")).expect("recorded");
        assert_eq!(state.snapshot(), recorded, "d{node}");
    }
}

/// Starts this build on the folder of a node, at the node's recorded addresses.
async fn start(copy: &Copy, node: usize) -> Arc<ControlPlane> {
    let Member {
        name,
        region,
        zone,
        address,
        operator_address,
        ..
    } = member(node);
    let address: SocketAddr = address.parse().expect("an address");
    let settings = Settings {
        data_path: copy.0.join(&name),
        name,
        region,
        zone,
        address,
        listen: address,
        operator_address: operator_address.parse().expect("an address"),
        seeds: Vec::new(),
        timing: Timing {
            voters: 3,
            election_timeout_ms: 2_000,
            ..Timing::default()
        },
        max_forwarded_requests: 0,
        max_forwarded_bytes: 0,
        client_limits: placement::ClientLimits::of_process(1_000_000_000, 16_384),
        snapshot_every: 8,
        is_first_start: false,
        min_voters: 1,
        leave_timeout: Duration::ZERO,
        quota_margin: None,
        runtime: RuntimeFlavor::CurrentThread,
    };
    let (started, has_started) = tokio::sync::oneshot::channel();
    let extensions = Extensions {
        on_start: Some(Box::new(move |control_plane| {
            drop(started.send(control_plane))
        })),
        ..Extensions::default()
    };
    std::thread::spawn(move || directory::run(settings, extensions).expect("it runs"));
    has_started.await.expect("it starts")
}

/// A router's session with a node that no majority has confirmed. The node answers it, but
/// has sent no snapshot by then: its state is older than what the routers know.
async fn unconfirmed_session(node: usize) -> TcpStream {
    let address: SocketAddr = member(node).address.parse().expect("an address");
    let source = SocketAddr::from(([127, 0, 0, 1], 0));
    let kind = ConnectionKind::RouterSession;
    let deadline = std::time::Instant::now() + PATIENCE;
    let mut session = loop {
        match link::dial(source, address, kind, "r1").await {
            Ok(session) => break session,
            Err(error) => assert!(std::time::Instant::now() < deadline, "{error}"),
        }
        tokio::task::yield_now().await;
    };
    let subscribe = Frame::Subscribe {
        cluster: 0,
        epoch: 0,
    };
    link::send(&mut session, &subscribe)
        .await
        .expect("it is open");
    let lookup = Frame::LookupRequest {
        request_id: 1,
        tenant: "ana".into(),
        service: "writer".into(),
        region: "north".into(),
    };
    link::send(&mut session, &lookup).await.expect("it is open");
    loop {
        match link::receive(&mut session, MAX_FRAME_BYTES).await {
            Ok(Some(Frame::LookupResponse { response, .. })) => {
                assert_eq!(response, LookupResponse::Unavailable);
                return session;
            }
            Ok(Some(Frame::RegistryUpdate(_))) => {}
            other => panic!("{other:?}"),
        }
    }
}

/// The epoch of the first snapshot of a session.
async fn first_snapshot(session: &mut TcpStream) -> u64 {
    loop {
        match link::receive(session, MAX_FRAME_BYTES).await {
            Ok(Some(Frame::Snapshot { epoch, .. })) => return epoch,
            Ok(Some(Frame::RegistryUpdate(_) | Frame::Subscribed { .. })) => {}
            other => panic!("{other:?}"),
        }
    }
}

#[tokio::test]
async fn nodes_restarted_on_recorded_data_go_on() {
    let copy = Copy::new("restart");
    let mut nodes = vec![start(&copy, 1).await];
    let mut session = unconfirmed_session(1).await;
    for node in 2..=4 {
        nodes.push(start(&copy, node).await);
    }
    let epoch = tokio::time::timeout(PATIENCE, first_snapshot(&mut session)).await;
    assert_eq!(
        epoch,
        Ok(LAST_INDEX),
        "not what the node's own snapshot holds"
    );
    for node in &nodes {
        assert!(
            node.read_barrier_within(PATIENCE).await,
            "a leader is elected"
        );
        node.with_state(|state| {
            assert_eq!(state.epoch(), LAST_INDEX);
            check_state(state);
        });
    }
    let leader = nodes.iter().find_map(|node| node.leader_term());
    assert!(leader.is_some_and(|term| term > 3), "{leader:?}");

    // A repeat of what the earlier build committed is known as one.
    let repeat = nodes[0]
        .execute("s-part".into(), revision(), PATIENCE, PATIENCE)
        .await;
    let repeated = Committed {
        epoch: LAST_INDEX,
        is_repeated: true,
    };
    assert_eq!(repeat, Ok(repeated));

    // New commands are committed, past the point where this build takes a snapshot.
    for turn in 0..12 {
        let command = match turn % 2 {
            0 => Command::ReinstateZone(name("north-a")),
            _ => Command::EvacuateZone(name("north-a")),
        };
        let node = &nodes[turn % nodes.len()];
        let reply = node
            .execute(format!("new-{turn}"), command, PATIENCE, PATIENCE)
            .await;
        let is_applied =
            matches!(reply, Ok(Committed { epoch, is_repeated: false }) if epoch > LAST_INDEX);
        assert!(is_applied, "command {turn}: {reply:?}");
    }
    for node in &nodes {
        assert!(node.read_barrier_within(PATIENCE).await);
        assert!(node.with_state(|state| state.epoch()) >= LAST_INDEX + 12);
        node.with_state(check_state);
    }
    let has_snapshot = |node: usize| {
        let log = std::fs::read_dir(copy.0.join(format!("d{node}/log"))).expect("a log");
        let names = log.map(|entry| entry.expect("a file").file_name().into_string());
        names
            .flatten()
            .any(|name| name.starts_with("picture-") && !name.ends_with("20"))
    };
    let deadline = std::time::Instant::now() + PATIENCE;
    while !(1..=4).all(has_snapshot) {
        assert!(
            std::time::Instant::now() < deadline,
            "a snapshot of this build's own"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
