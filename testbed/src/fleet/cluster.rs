//! A fleet as a cluster: founding it, changing it, and what its processes say.

use super::operator_request::{operator_request, wait_until};
use super::process::ProcessKind;
use super::Fleet;
use anyhow::{anyhow, bail};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::net::SocketAddr;
use std::time::Duration;

impl Fleet {
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.of(ProcessKind::Directory)
            .iter()
            .map(|process| process.operator_address())
            .collect()
    }

    /// Submits a change by whichever desk takes it; gives its epoch.
    pub async fn submit(&self, mut body: OwnedValue) -> anyhow::Result<u64> {
        if body.get("id").is_none() {
            body.insert("id", format!("{:016x}", rand::random::<u64>()))?;
        }
        let mut last = anyhow!("there is no desk");
        for desk in self.operator_addresses() {
            match operator_request(desk, "POST", "/submit", &body).await {
                Ok(answer) => {
                    return answer
                        .get("epoch")
                        .and_then(|v| v.as_u64())
                        .ok_or(anyhow!("no epoch"))
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Starts everything, founds the cluster, puts book, keys and engines in
    /// force, and waits until all of it is, everywhere.
    pub async fn bootstrap(&mut self) -> anyhow::Result<()> {
        self.start_all(ProcessKind::Engine)?;
        self.start_all(ProcessKind::Directory)?;
        self.start_all(ProcessKind::Router)?;
        let first = self.operator_addresses()[0];
        wait_until(Duration::from_secs(30), "the first desk", async || {
            operator_request(first, "GET", "/counters", &OwnedValue::null())
                .await
                .map(|_| ())
        })
        .await?;
        operator_request(first, "POST", "/found", &OwnedValue::null()).await?;
        let members = self.of(ProcessKind::Directory).len();
        wait_until(Duration::from_secs(30), "all voters", async || {
            let status = operator_request(first, "GET", "/status", &OwnedValue::null()).await?;
            let voters = status
                .get("members")
                .and_then(|v| v.as_array())
                .map_or(0, |list| {
                    list.iter()
                        .filter(|m| m.get("kind").and_then(|k| k.as_str()) == Some("voter"))
                        .count()
                });
            anyhow::ensure!(voters == members.min(5), "{voters} voters of {members}");
            Ok(())
        })
        .await?;
        self.submit(json!({ "do": "revise", "whole": true, "book": self.spec.topology.clone() }))
            .await?;
        for (tenant, key) in &self.spec.keys {
            self.submit(json!({ "do": "key", "tenant": tenant.clone(), "key": key.clone() }))
                .await?;
        }
        let mut epoch = 0;
        for engine in self.of(ProcessKind::Engine) {
            epoch = self.submit(engine.engine_proposal("serving")).await?;
        }
        // A node that no majority has confirmed yet takes no job.
        for node in self.of(ProcessKind::Directory) {
            wait_until(
                Duration::from_secs(30),
                &format!("{} confirmed", node.name),
                async || {
                    let status = operator_request(
                        node.operator_address(),
                        "GET",
                        "/status",
                        &OwnedValue::null(),
                    )
                    .await?;
                    let is_recent = status
                        .get("recent")
                        .and_then(|v| v.as_bool())
                        .unwrap_or(false);
                    let at = status.get("epoch").and_then(|v| v.as_u64()).unwrap_or(0);
                    anyhow::ensure!(is_recent && at >= epoch, "it has {at}, recent: {is_recent}");
                    Ok(())
                },
            )
            .await?;
        }
        self.in_force(epoch, Duration::from_secs(30)).await
    }

    /// Waits until every running router has an epoch, and sees its engines and
    /// its neighbours.
    pub async fn in_force(&self, epoch: u64, patience: Duration) -> anyhow::Result<()> {
        for router in self
            .of(ProcessKind::Router)
            .iter()
            .filter(|router| router.child.is_some())
        {
            wait_until(
                patience,
                &format!("epoch {epoch} at {}", router.name),
                async || {
                    let vitals = operator_request(
                        router.operator_address(),
                        "GET",
                        "/vitals",
                        &OwnedValue::null(),
                    )
                    .await?;
                    let at = vitals.get("epoch").and_then(|v| v.as_u64()).unwrap_or(0);
                    anyhow::ensure!(at >= epoch, "it has {at}");
                    let engines = vitals.get("engines").and_then(|v| v.as_array());
                    let silent = engines.map_or(0, |list| {
                        list.iter()
                            .filter(|e| e.get("running").is_none_or(|v| v.is_null()))
                            .count()
                    });
                    let down = self
                        .of(ProcessKind::Engine)
                        .iter()
                        .filter(|e| e.child.is_none())
                        .count();
                    anyhow::ensure!(silent <= down, "{silent} engines are not heard");
                    let near = self.of(ProcessKind::Router);
                    let near = near
                        .iter()
                        .filter(|r| r.child.is_some() && r.region == router.region);
                    let known = vitals
                        .get("neighbours")
                        .and_then(|v| v.as_u64())
                        .unwrap_or(0);
                    anyhow::ensure!(
                        known + 1 >= near.count() as u64,
                        "{known} neighbours are known"
                    );
                    Ok(())
                },
            )
            .await?;
        }
        Ok(())
    }

    /// Waits until the running routers' shares hold so many mappings together.
    pub async fn shared(&self, wanted: u64) -> anyhow::Result<()> {
        wait_until(Duration::from_secs(20), "the shared layer", async || {
            let mut sum = 0;
            for router in self
                .of(ProcessKind::Router)
                .iter()
                .filter(|router| router.child.is_some())
            {
                let vitals = operator_request(
                    router.operator_address(),
                    "GET",
                    "/vitals",
                    &OwnedValue::null(),
                )
                .await?;
                sum += vitals
                    .get("cached_share")
                    .and_then(|v| v.as_u64())
                    .unwrap_or(0);
            }
            anyhow::ensure!(sum >= wanted, "they hold {sum}");
            Ok(())
        })
        .await
    }

    /// The sum of one counter over all running processes of a kind.
    pub async fn count(&self, kind: ProcessKind, name: &str) -> anyhow::Result<u64> {
        let mut sum = 0;
        for process in self
            .of(kind)
            .iter()
            .filter(|process| process.child.is_some())
        {
            let counters = operator_request(
                process.operator_address(),
                "GET",
                "/counters",
                &OwnedValue::null(),
            )
            .await?;
            sum += counters.get(name).and_then(|v| v.as_u64()).unwrap_or(0);
        }
        Ok(sum)
    }

    /// The name of the node that leads, as the running nodes see it.
    pub async fn leader(&self) -> anyhow::Result<String> {
        for node in self
            .of(ProcessKind::Directory)
            .iter()
            .filter(|node| node.child.is_some())
        {
            let Ok(status) = operator_request(
                node.operator_address(),
                "GET",
                "/status",
                &OwnedValue::null(),
            )
            .await
            else {
                continue;
            };
            if status.get("leads").and_then(|v| v.as_bool()) == Some(true) {
                return Ok(node.name.clone());
            }
        }
        bail!("nobody leads")
    }
}
