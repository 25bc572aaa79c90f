//! The operator.

use crate::http;
use crate::record::Record;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub path: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub give_up_ms: u64,
    pub tries: u64,
    pub pick_up: bool,
}

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-of-the-first-tenant";

impl Route<'_> {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"path_start\":\"{}\",\"kind\":\"{}\",\
             \"give_up_ms\":{},\"target_ms\":1000,\"urgency\":1,\"service\":\"{}\",\"tries\":{},\
             \"public\":false,\"stick\":false,\"pick_up\":{},\"home_regions\":[]}}",
            self.name,
            self.path,
            self.kind,
            self.give_up_ms,
            self.service,
            self.tries,
            self.pick_up
        )
    }
}

/// A whole configuration.
pub fn document(
    revision: u64,
    routes: &[Route],
    services: &[&str],
    max_header_bytes: u64,
) -> String {
    let routes: Vec<String> = routes.iter().map(Route::json).collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"check_path\":\"/health\",\"max_conns\":630,\
                 \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"revision\":{revision},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":{max_header_bytes},\"max_body_bytes\":4194304,\
         \"header_wait_ms\":3000,\"idle_ms\":15000}},\
         \"customers\":[{{\"name\":\"first\",\"api_keys\":[\"{KEY}\"],\"urgency\":1,\
         \"rate_per_s\":0,\"burst\":0,\"home_regions\":[]}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Sends an order until it is acknowledged, to one node after another as the pages say. The
/// status, or `None` where none came in time.
pub fn order(
    nodes: &[SocketAddr],
    method: &str,
    target: &str,
    base: Option<u64>,
    body: &str,
    within: Duration,
    record: &Record,
) -> Option<u16> {
    let until = Instant::now() + within;
    let base = base.map(|base| base.to_string());
    let mut headers = vec![("Host", "control"), ("Content-Type", "application/json")];
    if let Some(base) = &base {
        headers.push(("If-Match", base));
    }
    let mut pause = Duration::from_millis(100);
    loop {
        for node in nodes {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let second = Duration::from_secs(1);
            let answer = http::call(*node, method, target, &headers, body.as_bytes(), second);
            match answer {
                Ok(answer) if !matches!(answer.status, 408 | 429 | 500..=599) => {
                    record.note(format!("operator: {method} at {node}: {}", answer.status));
                    return Some(answer.status);
                }
                _ => {}
            }
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(800));
    }
}
