//! The operator API of a node that is alone: status codes and bodies, as operators'
//! programs know them.

use consensus::node::Timing;
use directory::{Extensions, RuntimeFlavor, Settings};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use transport::http_client::send_request;

const TIMEOUT: Duration = Duration::from_secs(30);
const TOPOLOGY: &str = r#"{"id":"topology","do":"revise","whole":true,"book":{
  "zones":{"n-a":{"region":"north"}},"cells":{"n-1":{"zone":"n-a"}},"tenants":{"ana":{"homes":["north"]}}}}"#;

/// A node of its own address. Invariant: it goes on until the test's process ends.
struct Node {
    folder: PathBuf,
    address: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

impl Node {
    async fn start(net: u8) -> Node {
        let at = |port| SocketAddr::from(([127, 85, net, 10], port));
        let folder = format!("rushport-operator-api-{}-{net}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let settings = Settings {
            name: "d1".into(),
            region: "north".into(),
            zone: "n-a".into(),
            address: at(7361),
            listen: at(7361),
            operator_address: at(7363),
            data_path: folder.clone(),
            seeds: Vec::new(),
            timing: Timing::default(),
            max_forwarded_requests: 0,
            max_forwarded_bytes: 0,
            client_limits: placement::ClientLimits::of_process(1_000_000_000, 16_384),
            snapshot_every: 256,
            is_first_start: false,
            min_voters: 1,
            leave_timeout: Duration::ZERO,
            quota_margin: None,
            runtime: RuntimeFlavor::CurrentThread,
        };
        std::thread::spawn(move || {
            directory::run(settings, Extensions::default()).expect("it runs")
        });
        let node = Node {
            folder,
            address: at(7363),
        };
        while send_request(node.address, "GET", "/counters", &[], Vec::new(), TIMEOUT)
            .await
            .is_err()
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        node
    }

    async fn request(&self, method: &str, target: &str, body: &str) -> (u16, OwnedValue) {
        let body = body.as_bytes().to_vec();
        let (status, mut body) = send_request(self.address, method, target, &[], body, TIMEOUT)
            .await
            .expect("it responds");
        let value = simd_json::to_owned_value(&mut body).expect("JSON");
        (status, value)
    }

    /// Checks a refusal by its status, code and text.
    async fn refuses(&self, request: [&str; 3], status: u16, code: &str, text: &str) {
        let [method, target, body] = request;
        let (seen_status, value) = self.request(method, target, body).await;
        let seen = (
            seen_status,
            value.get_str("code").unwrap_or_default(),
            value.get_str("text").unwrap_or_default(),
        );
        assert_eq!(seen, (status, code, text), "{request:?}");
    }
}

#[tokio::test]
async fn before_there_is_a_cluster() {
    let node = Node::start(1).await;
    let (status, health) = node.request("GET", "/vitals", "").await;
    assert_eq!(status, 503);
    assert_eq!(health.get_str("name"), Some("d1"));
    for field in ["well", "recent", "disk_stalled", "founded", "leads"] {
        assert_eq!(health.get_bool(field), Some(false), "{field}");
    }
    let text = "no majority confirms what is newest";
    node.refuses(["GET", "/book", ""], 503, "no-majority", text)
        .await;
    let text = "no leader took it in time; submit again with the same id topology";
    node.refuses(["POST", "/submit", TOPOLOGY], 503, "no-leader", text)
        .await;
    let text = "no leader can be reached; nothing was changed";
    let remove = ["POST", "/retire?identity=0000000000000009", ""];
    node.refuses(remove, 503, "no-leader", text).await;
}

#[tokio::test]
async fn a_cluster_is_founded_once_and_changed() {
    let node = Node::start(2).await;
    let (status, founded) = node.request("POST", "/found", "").await;
    assert_eq!(status, 200);
    let cluster = founded
        .get_str("cluster")
        .expect("its identity")
        .to_string();
    assert_eq!(cluster.len(), 16, "{cluster}");
    let text = format!("this node belongs to cluster {cluster} already");
    node.refuses(["POST", "/found", ""], 409, "founded-already", &text)
        .await;

    let (status, applied) = node.request("POST", "/submit", TOPOLOGY).await;
    let epoch = applied.get_u64("epoch").expect("an epoch");
    assert_eq!((status, applied.get_bool("repeated")), (200, Some(false)));
    assert_eq!(applied.get_str("id"), Some("topology"));
    let (status, repeated) = node.request("POST", "/submit", TOPOLOGY).await;
    assert_eq!((status, repeated.get_bool("repeated")), (200, Some(true)));
    assert_eq!(repeated.get_u64("epoch"), Some(epoch));

    let late = TOPOLOGY.replace(r#""id":"topology""#, r#""id":"late","base":1"#);
    let text = format!(
        "something of this kind changed at epoch {epoch}, past the base; nothing was changed"
    );
    node.refuses(["POST", "/submit", &late], 409, "conflict", &text)
        .await;
    let (status, rejected) = node
        .request(
            "POST",
            "/submit",
            r#"{"id":"z","do":"evacuate","zone":"x"}"#,
        )
        .await;
    assert_eq!((status, rejected.get_str("code")), (422, Some("refused")));

    let (status, topology) = node.request("GET", "/book", "").await;
    assert_eq!((status, topology.get_u64("epoch")), (200, Some(epoch)));
    assert!(topology
        .get("book")
        .is_some_and(|book| book.contains_key("zones")));
    let (status, removed) = node
        .request("POST", "/retire?identity=0000000000000009", "")
        .await;
    assert_eq!((status, removed.get_str("code")), (409, Some("unfit")));
    let (status, health) = node.request("GET", "/vitals", "").await;
    assert_eq!((status, health.get_bool("well")), (200, Some(true)));
}

#[tokio::test]
async fn the_status_has_these_fields() {
    let node = Node::start(3).await;
    assert_eq!(node.request("POST", "/found", "").await.0, 200);
    let (status, value) = node.request("GET", "/status", "").await;
    assert_eq!(status, 200);
    let fields = |value: &OwnedValue| {
        let object = value.as_object().expect("an object");
        let mut fields: Vec<String> = object.keys().cloned().collect();
        fields.sort();
        fields.join(" ")
    };
    assert_eq!(
        fields(&value),
        "applied cluster commit disk_stalled engines epoch evacuated keys last leader leads \
         members membership_changing membership_repair moves node recent routers term windows"
    );
    let members = value.get_array("members").expect("a list");
    assert_eq!(members.len(), 1);
    assert_eq!(
        fields(&members[0]),
        "address desk identity kind leads name region silent_ms synced zone"
    );
    for page in ["/counters", "/traffic"] {
        let (status, value) = node.request("GET", page, "").await;
        assert!(status == 200 && value.is_object(), "{page}: {status}");
    }
    let (status, text) = send_request(node.address, "GET", "/metrics", &[], Vec::new(), TIMEOUT)
        .await
        .expect("it responds");
    let text = String::from_utf8(text).expect("UTF-8");
    let has_line = |wanted| text.lines().any(|line| line == wanted);
    assert!(
        status == 200 && has_line("rushport_leads 1"),
        "{status}: {text}"
    );
    assert!(has_line("rushport_voters 1"), "{text}");
}

#[tokio::test]
async fn what_can_not_be_read_is_refused_by_name() {
    let node = Node::start(4).await;
    let page = ["GET", "/nothing", ""];
    let text = "there is no /nothing for this method";
    node.refuses(page, 404, "no-such-page", text).await;
    let text = "there is no /status for this method";
    node.refuses(["POST", "/status", ""], 404, "no-such-page", text)
        .await;
    let text = "tenant and service are needed";
    node.refuses(
        ["GET", "/explain?tenant=ana", ""],
        400,
        "bad-question",
        text,
    )
    .await;
    let text = "identity is 16 hexadecimal digits";
    node.refuses(
        ["POST", "/retire?identity=x", ""],
        400,
        "bad-question",
        text,
    )
    .await;
    let (status, value) = node.request("POST", "/submit", "{").await;
    assert_eq!((status, value.get_str("code")), (400, Some("bad-json")));

    let cases = [
        ("[]", "an object should stand here"),
        (
            r#"{"do":"evacuate","zome":"a"}"#,
            "zome: no such field is known here",
        ),
        ("{}", "do: a text should stand here"),
        (r#"{"do":"dance"}"#, "do: dance is nothing that can be done"),
        (
            r#"{"do":"revise"}"#,
            "whole: true or false should stand here",
        ),
        (r#"{"do":"revise","whole":true}"#, "book: it is missing"),
        (r#"{"do":"evacuate"}"#, "zone: a text should stand here"),
        (
            r#"{"do":"evacuate","zone":"a"}"#,
            "id: a text should stand here",
        ),
        (
            r#"{"id":"a b","do":"evacuate","zone":"a"}"#,
            "id: 1 to 64 visible characters should stand here",
        ),
        (
            r#"{"id":"a","base":-1,"do":"evacuate","zone":"a"}"#,
            "base: an epoch should stand here",
        ),
        (
            r#"{"do":"key","key":"short","tenant":"ana"}"#,
            "key: a tenant key has 8 to 256 characters",
        ),
        (
            r#"{"do":"engine","name":"i","address":"a","cell":"c"}"#,
            "services: a list of texts should stand here",
        ),
        (
            r#"{"do":"engine","name":"i","address":"a","cell":"c","services":["s"]}"#,
            "slots: a number should stand here",
        ),
        (
            r#"{"do":"engine-state","name":"i","state":"odd"}"#,
            "state: odd is none of coming, serving, draining",
        ),
        (r#"{"do":"schedule"}"#, "windows: a list should stand here"),
        (
            r#"{"do":"schedule","windows":[{"id":"w"}]}"#,
            "windows[0]: a zone or an engine should stand here",
        ),
        (
            r#"{"do":"schedule","windows":[{"zone":"a"}]}"#,
            "windows[0].id: a text should stand here",
        ),
        (
            r#"{"do":"schedule","windows":[{"id":"w","zone":"a","from":1}]}"#,
            "windows[0].until: seconds since 1970 should stand here",
        ),
    ];
    for (body, text) in cases {
        node.refuses(["POST", "/submit", body], 400, "bad-proposal", text)
            .await;
    }
}

/// Guards: an overloaded node that does not show where its work waits.
#[tokio::test]
async fn the_waits_in_each_queue_are_shown() {
    let node = Node::start(5).await;
    let (status, shown) = node.request("GET", "/queues", "").await;
    assert_eq!(status, 200);
    for queue in telemetry::queues::Queue::ALL {
        let waits = shown.get(queue.name()).expect("each queue is shown");
        for key in ["count", "total_ms", "longest_ms", "dropped"] {
            assert!(waits.get_u64(key).is_some(), "{}: {key}", queue.name());
        }
    }
}
