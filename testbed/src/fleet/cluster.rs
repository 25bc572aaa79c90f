//! A fleet as a cluster: bootstrapping it, changing it, and asking its processes.

use super::{operator_request, wait_until, Fleet, FleetError, Process, ProcessKind};
use anyhow::ensure;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::net::SocketAddr;
use std::time::Duration;

const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(30);
const SHARED_CACHE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_VOTERS: usize = 5;

async fn get(address: SocketAddr, target: &str) -> Result<OwnedValue, FleetError> {
    operator_request(address, "GET", target, &OwnedValue::null()).await
}

fn number(value: &OwnedValue, name: &str) -> u64 {
    value.get(name).and_then(|v| v.as_u64()).unwrap_or(0)
}

fn is_true(value: &OwnedValue, name: &str) -> bool {
    value.get(name).and_then(|v| v.as_bool()) == Some(true)
}

impl Fleet {
    /// The operator APIs of the directory nodes.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let nodes = self.of(ProcessKind::Directory);
        nodes.iter().map(|node| node.operator_address()).collect()
    }

    fn running(&self, kind: ProcessKind) -> Vec<&Process> {
        let mut processes = self.of(kind);
        processes.retain(|process| process.child.is_some());
        processes
    }

    /// Submits a change to whichever directory node accepts it, and gives its epoch.
    ///
    /// # Errors
    ///
    /// That of the last directory node, if none accepts it.
    pub async fn submit(&self, mut change: OwnedValue) -> Result<u64, FleetError> {
        if change.get("id").is_none() {
            let id = format!("{:016x}", rand::random::<u64>());
            change.insert("id", id).expect("a change is an object");
        }
        let mut last = FleetError::NoDirectoryNode;
        for address in self.operator_addresses() {
            match operator_request(address, "POST", "/submit", &change).await {
                Ok(answer) => match answer.get("epoch").and_then(|v| v.as_u64()) {
                    Some(epoch) => return Ok(epoch),
                    None => {
                        return Err(FleetError::Response {
                            address,
                            target: "/submit".into(),
                            status: 200,
                            body: answer.encode(),
                        })
                    }
                },
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Starts everything, bootstraps the cluster, submits topology, keys and engines, and
    /// waits until all of it is in force everywhere.
    ///
    /// # Errors
    ///
    /// Where a process can't be started, or a step does not come about in time.
    pub async fn bootstrap(&mut self) -> Result<(), FleetError> {
        self.start_all(ProcessKind::Engine)?;
        self.start_all(ProcessKind::Directory)?;
        self.start_all(ProcessKind::Router)?;
        let addresses = self.operator_addresses();
        let first = *addresses.first().ok_or(FleetError::NoDirectoryNode)?;
        wait_until(BOOTSTRAP_TIMEOUT, "the first operator API", async || {
            get(first, "/counters").await?;
            Ok(())
        })
        .await?;
        operator_request(first, "POST", "/found", &OwnedValue::null()).await?;
        let voters = addresses.len().min(MAX_VOTERS);
        wait_until(BOOTSTRAP_TIMEOUT, "all voters", async || {
            let found = voter_count(&get(first, "/status").await?);
            ensure!(found == voters, "{found} voters of {}", addresses.len());
            Ok(())
        })
        .await?;
        let epoch = self.submit_configuration().await?;
        for node in self.of(ProcessKind::Directory) {
            wait_until_confirmed(node, epoch).await?;
        }
        self.in_force(epoch, BOOTSTRAP_TIMEOUT).await
    }

    /// The epoch of the last change.
    async fn submit_configuration(&self) -> Result<u64, FleetError> {
        let topology = self.spec.topology.clone();
        let mut epoch = self
            .submit(json!({ "do": "revise", "whole": true, "book": topology }))
            .await?;
        for (tenant, key) in &self.spec.keys {
            let change = json!({ "do": "key", "tenant": tenant.clone(), "key": key.clone() });
            epoch = self.submit(change).await?;
        }
        for engine in self.of(ProcessKind::Engine) {
            epoch = self.submit(engine.engine_proposal("serving")).await?;
        }
        Ok(epoch)
    }

    /// Waits until every running router has an epoch, and sees its engines and its
    /// neighbours.
    ///
    /// # Errors
    ///
    /// What the first router that is not ready lacks, when `timeout` is over.
    pub async fn in_force(&self, epoch: u64, timeout: Duration) -> Result<(), FleetError> {
        for router in self.running(ProcessKind::Router) {
            let what = format!("epoch {epoch} at {}", router.name);
            wait_until(timeout, &what, async || {
                self.check_router(router, epoch).await
            })
            .await?;
        }
        Ok(())
    }

    async fn check_router(&self, router: &Process, epoch: u64) -> anyhow::Result<()> {
        let vitals = get(router.operator_address(), "/vitals").await?;
        let found = number(&vitals, "epoch");
        ensure!(found >= epoch, "it has {found}");
        let engines = vitals.get("engines").and_then(|v| v.as_array());
        let is_silent = |engine: &&OwnedValue| engine.get("running").is_none_or(|v| v.is_null());
        let silent = engines.map_or(0, |list| list.iter().filter(is_silent).count());
        let engines = self.of(ProcessKind::Engine);
        let down = engines.iter().filter(|e| e.child.is_none()).count();
        ensure!(silent <= down, "{silent} engines are not heard");
        let mut near = self.running(ProcessKind::Router);
        near.retain(|other| other.region == router.region);
        let known = number(&vitals, "neighbours");
        ensure!(
            known + 1 >= near.len() as u64,
            "{known} neighbours are known"
        );
        Ok(())
    }

    /// Waits until the running routers' parts of the shared cache hold so many mappings
    /// together.
    ///
    /// # Errors
    ///
    /// How many they hold, when it takes too long.
    pub async fn shared(&self, wanted: u64) -> Result<(), FleetError> {
        wait_until(SHARED_CACHE_TIMEOUT, "the shared cache", async || {
            let mut sum = 0;
            for router in self.running(ProcessKind::Router) {
                let vitals = get(router.operator_address(), "/vitals").await?;
                sum += number(&vitals, "cached_share");
            }
            ensure!(sum >= wanted, "they hold {sum}");
            Ok(())
        })
        .await
    }

    /// The sum of one counter over all running processes of a kind.
    ///
    /// # Errors
    ///
    /// Where one of them can't be asked.
    pub async fn count(&self, kind: ProcessKind, name: &str) -> Result<u64, FleetError> {
        let mut sum = 0;
        for process in self.running(kind) {
            sum += number(&get(process.operator_address(), "/counters").await?, name);
        }
        Ok(sum)
    }

    /// The name of the node that leads, as the running nodes see it.
    ///
    /// # Errors
    ///
    /// Where none does.
    pub async fn leader(&self) -> Result<String, FleetError> {
        for node in self.running(ProcessKind::Directory) {
            let Ok(status) = get(node.operator_address(), "/status").await else {
                continue;
            };
            if is_true(&status, "leads") {
                return Ok(node.name.clone());
            }
        }
        Err(FleetError::NoLeader)
    }
}

fn voter_count(status: &OwnedValue) -> usize {
    let members = status.get("members").and_then(|v| v.as_array());
    let is_voter =
        |member: &&OwnedValue| member.get("kind").and_then(|kind| kind.as_str()) == Some("voter");
    members.map_or(0, |list| list.iter().filter(is_voter).count())
}

/// A node that no majority has confirmed yet accepts no request.
async fn wait_until_confirmed(node: &Process, epoch: u64) -> Result<(), FleetError> {
    let what = format!("{} confirmed", node.name);
    wait_until(BOOTSTRAP_TIMEOUT, &what, async || {
        let status = get(node.operator_address(), "/status").await?;
        let is_recent = is_true(&status, "recent");
        let found = number(&status, "epoch");
        ensure!(
            is_recent && found >= epoch,
            "it has {found}, recent: {is_recent}"
        );
        Ok(())
    })
    .await
}
