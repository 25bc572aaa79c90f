//! Simulated clients: where they send a request, and when they send it again.

use super::targets::{Targets, CLIENT_JOURNAL};
use crate::client::{send_request, ClientOutcome, ClientRequest};
use crate::journal::{wall_clock_us, Journal};
use crate::workload::RecordedRequest;
use parking_lot::Mutex;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use transport::http_client;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a client sends a request, at the most.
const MAX_ATTEMPTS: u32 = 4;
/// How long a client goes by the list of routers that it got.
const ROUTER_LIST_LIFETIME: Duration = Duration::from_secs(2);
/// Routers in its own zone that a client asks for the list, before all others.
const NEAR_LOOKUPS: usize = 3;
const MAX_LOOKUPS: usize = 6;
/// Routers that a client tries to connect to for one attempt.
const MAX_CONNECTS: usize = 3;
/// One client in so many comes back at once, whatever it was told.
const IMPATIENT_ONE_IN: u64 = 50;

/// The routers that a tenant's clients in a zone got, and when.
type RouterLists = BTreeMap<(String, String), (Instant, Vec<SocketAddr>)>;

pub(super) struct ClientDriver {
    targets: Arc<Targets>,
    journal: Journal,
    /// By tenant and zone.
    router_lists: Mutex<RouterLists>,
}

impl ClientDriver {
    pub(super) fn new(targets: Arc<Targets>, output_dir: &Path) -> anyhow::Result<ClientDriver> {
        Ok(ClientDriver {
            targets,
            journal: Journal::open(&output_dir.join(CLIENT_JOURNAL))?,
            router_lists: Mutex::default(),
        })
    }

    fn key(&self, tenant: &str) -> String {
        self.targets.keys.get(tenant).cloned().unwrap_or_default()
    }

    /// Sends a request, and again after a rejection that says that it was not run. One
    /// that may run twice is also sent again where the outcome is unknown.
    pub(super) async fn send(&self, id: String, request: RecordedRequest, salt: u64) {
        let is_impatient = salt % IMPATIENT_ONE_IN == 7;
        for attempt in 0..MAX_ATTEMPTS {
            let attempt_id = match attempt {
                0 => id.clone(),
                attempt => format!("{id}-r{attempt}"),
            };
            let outcome = self.attempt(&id, attempt_id, &request, salt).await;
            let Some(seconds) = retry_after_s(&outcome, &request) else {
                return;
            };
            if !is_impatient {
                tokio::time::sleep(transport::jitter(seconds * 1000)).await;
            }
        }
    }

    /// Sends a request once, and writes down what came of it.
    async fn attempt(
        &self,
        root_id: &str,
        id: String,
        request: &RecordedRequest,
        salt: u64,
    ) -> ClientOutcome {
        let key = self.key(&request.tenant);
        let with_key = |text: &str| text.replace("@tenant", &key);
        let headers = request.headers.iter();
        let message = ClientRequest {
            id,
            method: request.method.clone(),
            target: with_key(&request.target),
            headers: headers.map(|(n, v)| (n.clone(), with_key(v))).collect(),
            body: request.body_bytes(&key, salt),
        };
        let at_us = wall_clock_us();
        let routers = self.routers_for(&request.tenant, &request.zone).await;
        let mut outcome = ClientOutcome::ConnectFailed;
        let mut used = None;
        for router in routers.into_iter().take(MAX_CONNECTS) {
            used = Some(router);
            outcome = send_request(router, &message, REQUEST_TIMEOUT).await;
            // Nothing was sent to a router that can't be reached.
            if outcome != ClientOutcome::ConnectFailed {
                break;
            }
        }
        let mut line = json!({
            "at": at_us, "done": wall_clock_us(), "job": message.id, "root": root_id,
            "tenant": request.tenant.clone(), "zone": request.zone.clone(),
            "service": request.service.clone(), "once": request.must_not_repeat,
            "door": used.map(|router| router.to_string()),
        });
        add_outcome(&mut line, &outcome);
        self.journal.append(line);
        outcome
    }

    /// The routers that a client may use, as a router lists them.
    async fn routers_for(&self, tenant: &str, zone: &str) -> Vec<SocketAddr> {
        let place = (tenant.to_string(), zone.to_string());
        let known = self.router_lists.lock().get(&place).cloned();
        if let Some((_, routers)) = known.filter(|(at, _)| at.elapsed() < ROUTER_LIST_LIFETIME) {
            return routers;
        }
        // A body goes where a router says, or to a router of the client's own zone.
        let is_near = |router: &&(SocketAddr, String)| router.1 == zone || router.1.is_empty();
        let all = self.targets.routers.iter();
        let (near, far): (Vec<_>, Vec<_>) = all.partition(is_near);
        let addresses = |list: &[&(SocketAddr, String)]| -> Vec<SocketAddr> {
            list.iter().map(|router| router.0).collect()
        };
        let (near, far) = (addresses(&near), addresses(&far));
        let near_first = near.iter().take(NEAR_LOOKUPS).chain(&far);
        let lookups: Vec<SocketAddr> = near_first.take(MAX_LOOKUPS).copied().collect();
        let key = self.key(tenant);
        for router in lookups {
            let routers = look_up_routers(router, &key, zone).await;
            if !routers.is_empty() {
                self.router_lists
                    .lock()
                    .insert(place, (Instant::now(), routers.clone()));
                return routers;
            }
        }
        near
    }
}

/// The routers that a router lists for a key's clients in a zone; none where it does not
/// respond with any.
async fn look_up_routers(router: SocketAddr, key: &str, zone: &str) -> Vec<SocketAddr> {
    let target = format!("/where?zone={zone}");
    let headers = [("x-tenant-key", key)];
    let response =
        http_client::send_request(router, "GET", &target, &headers, Vec::new(), LOOKUP_TIMEOUT);
    let Ok((200, mut bytes)) = response.await else {
        return Vec::new();
    };
    let value = simd_json::to_owned_value(&mut bytes).unwrap_or_default();
    let list = value.get("routers").and_then(|v| v.as_array());
    let address = |router: &OwnedValue| router.get("door")?.as_str()?.parse().ok();
    list.into_iter().flatten().filter_map(address).collect()
}

/// When a client sends a request again, in seconds; `None`: it does not.
fn retry_after_s(outcome: &ClientOutcome, request: &RecordedRequest) -> Option<u64> {
    let may_repeat = !request.must_not_repeat;
    match outcome {
        ClientOutcome::Rejected {
            outcome,
            retry_after,
            ..
        } if outcome == "not-run" || may_repeat => *retry_after,
        ClientOutcome::ConnectFailed => Some(1),
        ClientOutcome::Truncated | ClientOutcome::NoResponse(_) if may_repeat => Some(1),
        _ => None,
    }
}

/// Adds an outcome to a line of the clients' journal.
fn add_outcome(line: &mut OwnedValue, outcome: &ClientOutcome) {
    let mut put = |name: &str, value: OwnedValue| {
        line.insert(name, value).expect("a line is an object");
    };
    match outcome {
        ClientOutcome::Complete { engine, run, .. } => {
            put("seen", "whole".into());
            put("engine", engine.clone().into());
            put("run", (*run).into());
        }
        ClientOutcome::Rejected {
            status,
            outcome,
            code,
            retry_after,
        } => {
            put("seen", "refused".into());
            put("status", u64::from(*status).into());
            put("outcome", outcome.clone().into());
            put("code", code.clone().into());
            put("retry_after", (*retry_after).into());
        }
        ClientOutcome::Truncated => put("seen", "broken".into()),
        ClientOutcome::ConnectFailed => put("seen", "unreached".into()),
        ClientOutcome::NoResponse(text) => {
            put("seen", "lost".into());
            put("text", text.clone().into());
        }
        ClientOutcome::Corrupt(text) => {
            put("seen", "wrong".into());
            put("text", text.clone().into());
        }
    }
}
