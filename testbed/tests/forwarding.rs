//! Jobs that a router hands to a directory node whose connection breaks, falls silent
//! or says what it may not, at every place of the conversation.

mod common;

use parking_lot::Mutex;
use protocol::{ConnectionKind, Frame, LookupResponse, RegistryUpdate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use residency::{Command, Proposal, State, TenantKey, UpdateMode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use transport::http_client::HttpClientErrorCause;
use transport::link;

const PATIENCE: Duration = Duration::from_secs(40);
/// The deadline of most requests here.
const DEADLINE_MS: u64 = 9_000;
/// A little more than that, on a clock that a test moves on, and the patience of a client there.
const PAST_DEADLINE: Duration = Duration::from_secs(10);
const MOVED_PATIENCE: Duration = Duration::from_secs(15);
const KEY: &str = "ana-key-0001";
const OWN: &[u8] = b"the one right answer";

const TOPOLOGY: &str = r#"{
    "zones": { "north-a": { "region": "north" } },
    "cells": { "north-1": { "zone": "north-a" } },
    "services": { "writer": {}, "painter": {} },
    "tenants": { "ana": {} },
    "rules": [
        "door app at \"/app/\" tenant header \"x-tenant-key\" model header \"x-model\"",
        "route once on app POST \"/app/once\" to model once deadline 9s",
        "route many on app POST \"/app/many\" to model repeatable deadline 9s"
    ]
}"#;

/// How far a conversation goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Connected,
    Welcomed,
    HeadRead,
    Mapped,
    BodyRead,
    AnswerBegun,
    HalfAnswered,
    AllButTheEnd,
}

const PLACES: [Stage; 8] = [
    Stage::Connected,
    Stage::Welcomed,
    Stage::HeadRead,
    Stage::Mapped,
    Stage::BodyRead,
    Stage::AnswerBegun,
    Stage::HalfAnswered,
    Stage::AllButTheEnd,
];

/// What happens there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Reset,
    Close,
    Silence,
    /// Silence past the request's deadline, on a clock that the test moves on.
    SilencePastDeadline,
    /// A piece of the body each second, past the request's deadline, on the same clock.
    TricklePastDeadline,
    /// Half of a frame, then the end.
    HalfFrame,
    /// A frame that has no place there.
    Unexpected,
    /// The mapping of another key.
    Foreign,
    /// The node says that nothing ran, or that it doesn't know.
    Declined {
        not_run: bool,
    },
}

type Script = Arc<Mutex<Option<(Stage, Trouble)>>>;

struct Node {
    state: State,
    script: Script,
    /// Jobs of which a byte came in.
    handed: Mutex<Vec<String>>,
}

impl Node {
    fn mapping(&self, service: &str) -> residency::Mapping {
        residency::Mapping {
            tenant: "ana".into(),
            service: service.into(),
            regions: vec!["north".into()],
            cells: vec!["north-1".into()],
            // Hardly kept, so that each request is a miss.
            fresh_ms: 0,
            expire_ms: 0,
            epoch: self.state.epoch(),
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        match link::accept_handshake(&mut stream).await?.0 {
            ConnectionKind::RouterSession => self.session(stream).await,
            ConnectionKind::Forwarding => self.job(stream).await,
            kind => anyhow::bail!("{kind:?} has no place here"),
        }
    }

    async fn session(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        let first = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await?;
        anyhow::ensure!(matches!(first, Some(Frame::Subscribe { .. })), "{first:?}");
        let epoch = self.state.epoch();
        let events = self.state.view.snapshot();
        link::send(&mut stream, &Frame::Snapshot { epoch, events }).await?;
        let address = stream.local_addr()?.to_string();
        let member = consensus::Member {
            identity: 1,
            name: "core-1".into(),
            region: "north".into(),
            zone: "north-a".into(),
            address: address.clone(),
            operator_address: address,
        };
        let news = RegistryUpdate {
            is_full: true,
            routers: Vec::new(),
            removed_routers: Vec::new(),
            directory_nodes: vec![member],
        };
        link::send(&mut stream, &Frame::RegistryUpdate(news)).await?;
        while let Some(frame) = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await? {
            let answer = match frame {
                Frame::Heartbeat { demand, .. } => Frame::Lease {
                    heartbeat: demand.heartbeat,
                    epoch,
                    grants: Vec::new(),
                },
                Frame::LookupRequest {
                    request_id: number,
                    service,
                    ..
                } => Frame::LookupResponse {
                    request_id: number,
                    response: LookupResponse::Found(self.mapping(&service)),
                },
                other => anyhow::bail!("an unexpected frame: {other:?}"),
            };
            link::send(&mut stream, &answer).await?;
        }
        Ok(())
    }

    /// True where the conversation ends here.
    async fn is_troubled(
        &self,
        stream: &mut TcpStream,
        script: Option<(Stage, Trouble)>,
        place: Stage,
    ) -> anyhow::Result<bool> {
        let Some((_, trouble)) = script.filter(|(at, _)| *at == place) else {
            return Ok(false);
        };
        match trouble {
            Trouble::Reset => stream.set_zero_linger()?,
            Trouble::Close => {}
            Trouble::Silence => std::future::pending().await,
            Trouble::SilencePastDeadline => {
                pass_time(PAST_DEADLINE).await;
                std::future::pending().await
            }
            Trouble::TricklePastDeadline => {
                for _ in 0..PAST_DEADLINE.as_secs() {
                    link::send(stream, &Frame::ResponseBody(vec![b'x'])).await?;
                    pass_time(Duration::from_secs(1)).await;
                }
                std::future::pending().await
            }
            Trouble::HalfFrame => {
                let bytes = protocol::encode(&Frame::ResponseBody(vec![0; 100]));
                stream.write_all(&bytes[..50]).await?;
            }
            Trouble::Unexpected => link::send(stream, &Frame::RequestEnd).await?,
            Trouble::Foreign => {
                // And it goes on as if that were right.
                link::send(stream, &Frame::Mapping(self.mapping("painter"))).await?;
                return Ok(false);
            }
            Trouble::Declined { not_run } => {
                let declined = Frame::Rejected {
                    status: 503,
                    code: "busy".into(),
                    text: "not now".into(),
                    not_run,
                    retry_after_ms: 5,
                };
                link::send(stream, &declined).await?;
            }
        }
        Ok(true)
    }

    async fn job(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        let script = self.script.lock().take();
        if self
            .is_troubled(&mut stream, script, Stage::Connected)
            .await?
        {
            return Ok(());
        }
        link::send(&mut stream, &Frame::Ready).await?;
        let mut first = [0];
        if matches!(stream.peek(&mut first).await, Ok(1..)) {
            self.handed.lock().push(String::new());
        }
        if self
            .is_troubled(&mut stream, script, Stage::Welcomed)
            .await?
        {
            return Ok(());
        }
        let Some(Frame::RequestHead(head)) = link::receive(&mut stream, 1 << 20).await? else {
            anyhow::bail!("it begins without a job");
        };
        *self.handed.lock().last_mut().expect("noted") = head.id;
        if self
            .is_troubled(&mut stream, script, Stage::HeadRead)
            .await?
        {
            return Ok(());
        }
        link::send(&mut stream, &Frame::Mapping(self.mapping("writer"))).await?;
        if self.is_troubled(&mut stream, script, Stage::Mapped).await? {
            return Ok(());
        }
        link::send(&mut stream, &Frame::Continue).await?;
        while !matches!(
            link::receive(&mut stream, 1 << 20).await?,
            Some(Frame::RequestEnd) | None
        ) {}
        if self
            .is_troubled(&mut stream, script, Stage::BodyRead)
            .await?
        {
            return Ok(());
        }
        link::send(
            &mut stream,
            &Frame::ResponseHead {
                status: 200,
                headers: Vec::new(),
            },
        )
        .await?;
        if self
            .is_troubled(&mut stream, script, Stage::AnswerBegun)
            .await?
        {
            return Ok(());
        }
        let (half, rest) = OWN.split_at(OWN.len() / 2);
        link::send(&mut stream, &Frame::ResponseBody(half.to_vec())).await?;
        if self
            .is_troubled(&mut stream, script, Stage::HalfAnswered)
            .await?
        {
            return Ok(());
        }
        link::send(&mut stream, &Frame::ResponseBody(rest.to_vec())).await?;
        if self
            .is_troubled(&mut stream, script, Stage::AllButTheEnd)
            .await?
        {
            return Ok(());
        }
        Ok(link::send(&mut stream, &Frame::ResponseEnd).await?)
    }
}

struct Site {
    node: Arc<Node>,
    router_address: SocketAddr,
}

fn state() -> State {
    let mut state = State::default();
    let key = TenantKey {
        digest: policy::sha256_hex(KEY),
        tenant: "ana".into(),
    };
    let commands = [
        Command::UpdateTopology {
            mode: UpdateMode::Replace,
            text: TOPOLOGY.into(),
        },
        Command::AddKey(key),
    ]
    .into_iter();
    for (command, epoch) in commands.zip(1..) {
        let proposal = Proposal {
            id: format!("s-{epoch}"),
            base_epoch: 0,
            command,
        };
        let (outcome, _) = state.apply(epoch, &proposal);
        assert_eq!(outcome, residency::Outcome::Applied { epoch });
    }
    state
}

impl Site {
    /// A router at an address of its own for each test.
    async fn start(test: u8) -> Site {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let seed = listener.local_addr().expect("bound");
        let node = Arc::new(Node {
            state: state(),
            script: Script::default(),
            handed: Mutex::default(),
        });
        let serving = Arc::clone(&node);
        tokio::spawn(link::accept(listener, move |stream| {
            let node = Arc::clone(&serving);
            async move { node.serve(stream).await }
        }));
        let process = std::process::id();
        let ip = [
            127,
            190 + test,
            (process / 250 % 250) as u8,
            (process % 250) as u8 + 1,
        ];
        let at = |port: u16| SocketAddr::from((ip, port));
        let settings = router::Settings {
            name: "edge-1".into(),
            region: "north".into(),
            zone: "north-a".into(),
            ingress_address: at(7_000),
            peer_address: at(7_001),
            peer_listen_address: at(7_001),
            operator_address: at(7_002),
            body_head_timeout: Duration::from_secs(5),
            quota_wait: Duration::from_secs(1),
            max_requests: 100,
            seeds: vec![seed],
            body_limit_bytes: 1 << 20,
            local_cache_entries: 16,
            regional_cache_entries: 16,
            drain_plan: placement::DrainPlan {
                accept_all_ms: 0,
                end_by_ms: 0,
            },
            drain_period: Duration::ZERO,
            shutdown_grace: Duration::ZERO,
            slot_wait_ms: 0,
            buffered_body_bytes: 0,
            resolves_by_key_only: false,
            lease_grace: Default::default(),
            heartbeat_interval_ms: 100,
        };
        let router_address = settings.ingress_address;
        tokio::spawn(async move {
            // No engine stands here, so that none is waited for.
            let options = dispatch::DispatchOptions {
                discovery_wait_ms: 0,
                ..Default::default()
            };
            let extensions = router::Extensions {
                dispatch: options,
                ..Default::default()
            };
            router::run(settings, extensions).await.expect("it runs");
        });
        let site = Site {
            node,
            router_address,
        };
        let until = Instant::now() + PATIENCE;
        while !matches!(site.send("once", "first").await, Told::Own) {
            assert!(Instant::now() < until, "it never serves");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        site
    }

    async fn send(&self, route: &str, id: &str) -> Told {
        self.send_within(route, id, PATIENCE).await
    }

    async fn send_within(&self, route: &str, id: &str, patience: Duration) -> Told {
        let left_ms = match id.contains("Silence") && !id.starts_with("next") {
            true => 400,
            false => DEADLINE_MS,
        };
        let headers = [
            ("x-tenant-key", KEY),
            ("x-model", "writer"),
            ("x-rushport-job", id),
            ("x-deadline-ms", &left_ms.to_string()),
        ];
        let target = format!("/app/{route}");
        // Cut visibly, or broken off.
        let asked = transport::http_client::send_request(
            self.router_address,
            "POST",
            &target,
            &headers,
            vec![b'x'; 5_000],
            patience,
        );
        match asked.await {
            Ok((200, body)) if body == OWN => Told::Own,
            Ok((200, body)) => panic!("{id}: {} bytes look whole", body.len()),
            Ok((_, body)) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                match (text.contains("\"not-run\""), text.contains("\"unknown\"")) {
                    (true, false) => Told::NotRun,
                    (false, true) => Told::Unknown,
                    _ => panic!("{id}: {text}"),
                }
            }
            Err(error) => {
                let is_late = matches!(error.cause, HttpClientErrorCause::Timeout);
                assert!(!is_late, "{id}: nothing ends it");
                Told::Broken
            }
        }
    }

    fn handed(&self, id: &str) -> usize {
        self.node
            .handed
            .lock()
            .iter()
            .filter(|handed| *handed == id)
            .count()
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Told {
    Own,
    NotRun,
    Unknown,
    Broken,
}

/// Guards: a request that was handed on in part is never said not to have run unless the
/// node says so; one that may run once is handed on once; an answer without its end is
/// broken off; and the next request gets its own answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_conversation_that_breaks_anywhere() {
    let site = Site::start(0).await;
    let troubles = [
        Trouble::Reset,
        Trouble::Close,
        Trouble::HalfFrame,
        Trouble::Unexpected,
        Trouble::Foreign,
        Trouble::Declined { not_run: true },
        Trouble::Declined { not_run: false },
        Trouble::Silence,
    ];
    let mut wrong = Vec::new();
    for trouble in troubles {
        for place in PLACES {
            // `a_relayed_answer_without_an_end_is_broken_off_at_the_deadline` has these.
            if trouble == Trouble::Silence && place >= Stage::AnswerBegun {
                continue;
            }
            for route in ["once", "many"] {
                let id = format!("{route}-{place:?}-{trouble:?}")
                    .replace(|c: char| !c.is_ascii_alphanumeric() && c != '-', "");
                *site.node.script.lock() = Some((place, trouble));
                let before = site.node.handed.lock().len();
                let told = site.send(route, &id).await;
                let begun = site.node.handed.lock().len() - before;
                let is_declined = trouble == Trouble::Declined { not_run: true };
                let is_right = match place {
                    // Nothing was sent, and no engine stands here to go on with.
                    Stage::Connected => told == Told::NotRun && begun == 0,
                    _ if place >= Stage::AnswerBegun => told == Told::Broken && begun == 1,
                    _ if is_declined => told == Told::NotRun && begun == 1,
                    _ => told == Told::Unknown && begun == 1,
                };
                if !is_right || site.handed(&id) > 1 {
                    wrong.push(format!(
                        "{route}, {trouble:?} at {place:?}: {told:?}, {begun}"
                    ));
                }
                let next = site.send("once", &format!("next-{id}")).await;
                if next != Told::Own {
                    wrong.push(format!("after {route}, {trouble:?} at {place:?}: {next:?}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Moves the runtime's clock on, bit by bit, so that whoever waits begins to wait first.
async fn pass_time(time: Duration) {
    const STEP: Duration = Duration::from_secs(1);
    tokio::time::pause();
    for _ in 0..time.as_secs() {
        tokio::time::advance(STEP).await;
        tokio::task::yield_now().await;
    }
    tokio::time::resume();
}

/// Guards: an answer that a control node relays, and that falls silent within or goes on
/// without an end, is broken off at the client by the request's deadline, and does not look
/// whole. The clock is the runtime's own, moved on by the node that the test plays.
#[tokio::test]
async fn a_relayed_answer_without_an_end_is_broken_off_at_the_deadline() {
    let site = Site::start(1).await;
    for trouble in [Trouble::SilencePastDeadline, Trouble::TricklePastDeadline] {
        for place in [Stage::AnswerBegun, Stage::HalfAnswered, Stage::AllButTheEnd] {
            *site.node.script.lock() = Some((place, trouble));
            let id = format!("late-{place:?}-{trouble:?}").replace("Silence", "Quiet");
            let told = site.send_within("once", &id, MOVED_PATIENCE).await;
            assert_eq!(told, Told::Broken, "{id}");
            assert_eq!(site.handed(&id), 1, "{id}");
            let next = site.send("once", &format!("next-{id}")).await;
            assert_eq!(next, Told::Own, "after {id}");
        }
    }
}

/// The frames of a whole request, as a router sends them after the node's welcome.
fn conversation(id: &str, left_ms: u64) -> Vec<u8> {
    let header = |name: &str, value: &str| protocol::Header {
        name: name.into(),
        value: value.as_bytes().to_vec(),
    };
    let head = protocol::ForwardedRequest {
        id: id.into(),
        method: "POST".into(),
        target: "/app/write".into(),
        headers: vec![header("x-tenant-key", KEY), header("x-model", "writer")],
        client_region: "north".into(),
        epoch: 0,
        remaining_ms: left_ms,
        is_quota_charged: true,
    };
    let mut frames = vec![Frame::RequestHead(head)];
    frames.extend((0..5).map(|_| Frame::RequestBody(vec![b'x'; 700])));
    frames.push(Frame::RequestEnd);
    frames.iter().flat_map(protocol::encode).collect()
}

async fn welcomed(node: SocketAddr) -> TcpStream {
    let source = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut stream = link::dial(source, node, ConnectionKind::Forwarding, "edge-9")
        .await
        .expect("dialled");
    let frame = link::receive(&mut stream, protocol::MAX_HELLO_BYTES)
        .await
        .expect("a welcome");
    assert_eq!(frame, Some(Frame::Ready));
    stream
}

/// Guards: a request that a router left half said, by a reset, a close or a silence, never
/// runs; a whole one runs once, however far off its deadline is said to be.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_its_router_left_half_said_never_runs() {
    let (_folder, fleet) = common::start_fleet("half-said").await;
    common::wait_for_service(fleet.get("router-1").client_address(), KEY, "before").await;
    let node = fleet.get("directory-1").address();
    let mut draw = StdRng::seed_from_u64(9);
    let (mut silent, mut cut) = (Vec::new(), Vec::new());
    for number in 0..40 {
        let id = format!("cut-{number}");
        let bytes = conversation(&id, 30_000);
        let mut stream = welcomed(node).await;
        let at = draw.random_range(0..bytes.len());
        stream.write_all(&bytes[..at]).await.expect("sent");
        match draw.random_range(0..4) {
            0 => stream.set_zero_linger().expect("it is open"),
            1 => {}
            // A frame that has no place there.
            2 => drop(stream.write_all(&protocol::encode(&Frame::Ready)).await),
            _ => {
                silent.push(stream);
                cut.push(id);
                continue;
            }
        }
        drop(stream);
        cut.push(id);
    }
    // What was left silent holds places at the engines until it is let go.
    drop(silent);
    for left_ms in [30_000, u64::MAX] {
        let until = Instant::now() + PATIENCE;
        let id = loop {
            let id = format!("whole-{:x}", rand::random::<u64>());
            let mut stream = welcomed(node).await;
            stream
                .write_all(&conversation(&id, left_ms))
                .await
                .expect("sent");
            let mut last = None;
            while let Ok(Ok(Some(frame))) = tokio::time::timeout(
                PATIENCE,
                link::receive(&mut stream, protocol::MAX_FRAME_BYTES),
            )
            .await
            {
                last = Some(frame);
            }
            match last {
                Some(Frame::Rejected { not_run: true, .. }) if Instant::now() < until => {
                    let events = common::engine_events(&fleet, &id);
                    let has_run = events.iter().any(|event| event.starts_with("begun"));
                    assert!(!has_run, "{id} was said not to have run: {events:?}");
                }
                last => {
                    assert_eq!(last, Some(Frame::ResponseEnd), "{id}, {left_ms} ms left");
                    break id;
                }
            }
        };
        common::wait_for_engine_event(&fleet, &id, "ended").await;
        let events = common::engine_events(&fleet, &id);
        let runs = events
            .iter()
            .filter(|event| event.starts_with("begun"))
            .count();
        assert_eq!(runs, 1, "{id}: {events:?}");
    }
    for id in cut {
        let events = common::engine_events(&fleet, &id);
        assert!(
            !events.iter().any(|event| event.starts_with("begun")),
            "{id}: {events:?}"
        );
    }
}

/// The frames of a conversation up to its end.
async fn frames_to_end(stream: &mut TcpStream) -> Vec<Frame> {
    let mut frames = Vec::new();
    let reading = async {
        while let Ok(Some(frame)) = link::receive(stream, protocol::MAX_FRAME_BYTES).await {
            frames.push(frame);
        }
    };
    let ended = tokio::time::timeout(PATIENCE, reading).await;
    assert!(ended.is_ok(), "no end after {} frames", frames.len());
    frames
}

/// Guards: a directory node ends the answer of a forwarded request when the time is over that
/// the router stated, also towards a router that stays: without the end frame, and with the
/// engine's work.
#[tokio::test(flavor = "multi_thread")]
async fn a_directory_node_ends_a_relayed_answer_at_its_deadline() {
    let endless = common::DEPLOYMENT.replace(
        r#""pieces": 3, "piece_ms": 5"#,
        r#""pieces": 10000, "piece_ms": 50"#,
    );
    let (_folder, fleet) = common::start_fleet_of("late-answer", &endless).await;
    let node = fleet.get("directory-1").address();
    let until = Instant::now() + PATIENCE;
    let (id, frames) = loop {
        let id = format!("late-{:x}", rand::random::<u64>());
        let mut stream = welcomed(node).await;
        let request = conversation(&id, 2_000);
        stream.write_all(&request).await.expect("sent");
        let frames = frames_to_end(&mut stream).await;
        if frames
            .iter()
            .any(|frame| matches!(frame, Frame::ResponseBody(_)))
        {
            break (id, frames);
        }
        assert!(Instant::now() < until, "never answered: {frames:?}");
    };
    let last = frames.last().expect("an answer began");
    assert!(matches!(last, Frame::ResponseBody(_)), "{id}: {last:?}");
    common::wait_for_engine_event(&fleet, &id, "cancelled").await;
}
