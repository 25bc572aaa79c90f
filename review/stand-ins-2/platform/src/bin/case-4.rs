//! Case 4: a request that is read by GET, with a long body in chunks, reaches its engine
//! without its body.

use platform_testbed::deployment::{Deployment, Role};
use platform_testbed::operator::CommandReply;
use review_stand_ins_2::{add_engines, config, is_control, plan, request, run, Record, Verdict};
use review_stand_ins_2::{HOST, PATIENCE, TENANT};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Bytes of each body; the configuration allows 4,194,304.
const BODY_BYTES: usize = 400_000;
/// Requests of the case.
const REQUESTS: usize = 12;
/// How long the engines may take to be known.
const SERVED_WITHIN: Duration = Duration::from_secs(15);

fn main() -> ExitCode {
    run(case)
}

async fn case(binary: PathBuf, mut record: Record) -> anyhow::Result<Verdict> {
    let mut deployment = Deployment::start(plan(&binary, 3, 3))?;
    let _engines = add_engines(&mut deployment)?;
    let reply = deployment.operator().put(&config(3), 0, PATIENCE).await;
    anyhow::ensure!(reply == CommandReply::Acknowledged, "{reply:?}");
    deployment.wait_ready(PATIENCE).await?;
    let router = deployment.nodes_with_role(Role::Router)[0];
    let client = deployment.pinned_client(router);
    // The usual small requests are served, and the place of the tenant's service is known.
    let until = Instant::now() + SERVED_WITHIN;
    let mut number = 0;
    loop {
        number += 1;
        let outcome = client.send(&request("POST", number, 600, false)).await;
        record.note(format!(
            "POST of 600 bytes with a length: {:?}",
            outcome.status
        ));
        if outcome.is_served {
            break;
        }
        anyhow::ensure!(Instant::now() < until, "nothing is served");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let is_chunked = !is_control();
    let framing = if is_chunked {
        "in chunks"
    } else {
        "with a length"
    };
    record.note(format!(
        "host {HOST}, tenant {}: {REQUESTS} GETs, each with {BODY_BYTES} bytes {framing}",
        TENANT.0
    ));
    let first = number + 1;
    for number in first..first + REQUESTS {
        let outcome = client
            .send(&request("GET", number, BODY_BYTES, is_chunked))
            .await;
        record.note(format!(
            "GET /small/{number}: answered {:?}",
            outcome.status
        ));
    }
    let violations = deployment
        .evidence_log
        .read(|evidence| deployment.judge().judge(evidence));
    deployment.evidence_log.read(|evidence| {
        for attempt in &evidence.attempts {
            for run in &evidence.engine_requests {
                if run.request_id == attempt.request_id {
                    record.note(format!(
                        "{} {} sent with body digest {:016x}; at {} it had {:016x}, run: {}",
                        attempt.method,
                        attempt.path,
                        attempt.body_digest,
                        run.engine,
                        run.body_digest,
                        run.started_at.is_some()
                    ));
                }
            }
        }
    });
    for violation in &violations {
        record.note(format!("broken: {violation}"));
    }
    let is_broken = violations
        .iter()
        .any(|violation| violation.rule == "UNASKED");
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
