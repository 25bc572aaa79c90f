//! Answers that break at every place, over real sockets, straight from an engine
//! and through a directory node.

mod common;

use common::*;
use parking_lot::Mutex;
use simd_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const VITALS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const LINE: &str = "{\"running\":0,\"queue\":0,\"slots\":64,\"warm\":true,\"draining\":false}\n";
const BODY: &str = "{\"piece\":0}\n{\"piece\":1}\n";

/// What the engine says to a request: so many bytes of this, then it closes.
type Words = Arc<Mutex<(String, usize)>>;

async fn says(mut stream: TcpStream, words: Words) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    // All of it: what is left unread would turn the closing into a reset.
    while !bytes.ends_with(b"\r\n\r\n") || bytes.starts_with(b"POST") {
        if bytes.ends_with(b"}") || stream.read_buf(&mut bytes).await? == 0 {
            break;
        }
    }
    if bytes.starts_with(b"GET /vitals") {
        stream.write_all(VITALS.as_bytes()).await?;
        let chunk = format!("{:x}\r\n{LINE}\r\n", LINE.len());
        loop {
            stream.write_all(chunk.as_bytes()).await?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let (text, cut) = words.lock().clone();
    stream.write_all(&text.as_bytes()[..cut]).await
}

async fn engine() -> (SocketAddr, Words) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let words: Words = Arc::default();
    let said = Arc::clone(&words);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(says(stream, Arc::clone(&said)));
        }
    });
    (address, words)
}

/// Guards: no client gets an answer that is not whole; a stream never looks
/// finished when it is not. The engine closes after each byte of its answer, with
/// a length and in chunks; only what is whole looks whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_anywhere_looks_broken() {
    let (_folder, fleet) = start_fleet("streams").await;
    let (address, words) = engine().await;
    let mut epoch = 0;
    for change in [
        json!({ "do": "engine-gone", "name": "engine-1" }),
        json!({ "do": "engine-gone", "name": "engine-2" }),
        json!({
            "do": "engine", "name": "raw", "address": address.to_string(), "cell": "north-1",
            "services": ["writer"], "slots": 64, "state": "serving",
        }),
    ] {
        epoch = fleet.submit(change).await.expect("taken");
    }
    fleet.in_force(epoch, PATIENCE).await.expect("in force");
    let chunks: String = BODY
        .split_inclusive('\n')
        .map(|line| format!("{:x}\r\n{line}\r\n", line.len()))
        .collect();
    let answers = [
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{BODY}",
            BODY.len()
        ),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"),
    ];
    let router_address = fleet.get("router-1").client_address();
    let headers = [("x-tenant-key", "ana-key-0001"), ("x-model", "writer")];
    let ask = async || {
        let body = br#"{"prompt":"x"}"#.to_vec();
        transport::http_client::send_request(
            router_address,
            "POST",
            "/app/write",
            &headers,
            body,
            PATIENCE,
        )
        .await
    };
    for way in ["straight", "through a directory node"] {
        if way != "straight" {
            // A key that is being moved is never fresh: each request is handed on.
            let change =
                json!({ "do": "move", "tenant": "ana", "service": "writer", "cell": "north-1" });
            let epoch = fleet.submit(change).await.expect("taken");
            fleet.in_force(epoch, PATIENCE).await.expect("in force");
        }
        let before = fleet
            .count(testbed::fleet::ProcessKind::Router, "forwards")
            .await
            .expect("told");
        for answer in &answers {
            for cut in 0..=answer.len() {
                *words.lock() = (answer.clone(), cut);
                let is_all = cut == answer.len();
                let mut seen = ask().await;
                // A break ahead of the head makes the engine suspect for a moment.
                while matches!(&seen, Ok((503, _))) {
                    seen = ask().await;
                }
                match seen {
                    Ok((200, bytes)) => {
                        assert!(is_all, "{way}: {cut} of {answer:?} looks whole");
                        assert_eq!(bytes, BODY.as_bytes(), "{way}");
                    }
                    Ok((502, bytes)) => {
                        let text = String::from_utf8_lossy(&bytes).into_owned();
                        assert!(!is_all && text.contains("unknown"), "{way}, {cut}: {text}");
                    }
                    Ok((status, bytes)) => {
                        panic!("{way}, {cut}: {status} {}", String::from_utf8_lossy(&bytes))
                    }
                    Err(error) => assert!(!is_all, "{way}, {cut}: {error:#}"),
                }
            }
        }
        // A client that reads a little at a time gets all of a long answer, and
        // its end.
        let long = "0123456789abcde\n".repeat(1 << 17);
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{long}",
            long.len()
        );
        *words.lock() = (answer.clone(), answer.len());
        let mut stream = TcpStream::connect(router_address)
            .await
            .expect("it listens");
        let job = "POST /app/write HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                   x-tenant-key: ana-key-0001\r\nx-model: writer\r\ncontent-length: 14\r\n\r\n\
                   {\"prompt\":\"x\"}";
        stream.write_all(job.as_bytes()).await.expect("it is sent");
        let (mut seen, mut piece) = (Vec::new(), [0; 1000]);
        loop {
            match stream.read(&mut piece).await.expect("it goes on") {
                0 => break,
                length => seen.extend_from_slice(&piece[..length]),
            }
            tokio::task::yield_now().await;
        }
        assert!(
            seen.starts_with(b"HTTP/1.1 200") && seen.ends_with(long.as_bytes()),
            "{way}"
        );

        let after = fleet
            .count(testbed::fleet::ProcessKind::Router, "forwards")
            .await
            .expect("told");
        let jobs: u64 = answers.iter().map(|answer| answer.len() as u64 + 1).sum();
        match way {
            "straight" => assert!(after <= before + 3, "{after}"),
            _ => assert!(after >= before + jobs, "{after}"),
        }
    }
}
