//! Case 5: the first of the seeds loses its disk right after the first start of all; the
//! control plane never comes up again.

use platform_testbed::deployment::Deployment;
use platform_testbed::operator::CommandReply;
use review_stand_ins_2::{config, is_control, plan, run, Record, Verdict};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// From the first machine's start to the others', and the loss of the first one's disk
/// between the two. The pages: all start within 0.3 s of each other, in any order.
const OTHERS_START: Duration = Duration::from_millis(300);
const DISK_LOST: Duration = Duration::from_millis(200);
/// How long the machine is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// After its return: the time in which it counts as lost (4 s), the time until the core is
/// settled (4 s), and the bound of an acknowledgement (5 s).
const CATCH_UP: Duration = Duration::from_secs(4);
const SETTLES: Duration = Duration::from_secs(4);
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(5);
/// How much longer the operator goes on than the bound.
const BEYOND: Duration = Duration::from_secs(30);

fn main() -> ExitCode {
    run(case)
}

async fn case(binary: PathBuf, mut record: Record) -> anyhow::Result<Verdict> {
    let mut deployment = Deployment::prepare(plan(&binary, 5, 0))?;
    let began = Instant::now();
    deployment.start_node(0)?;
    record.note("the first seed starts");
    if !is_control() {
        tokio::time::sleep(DISK_LOST).await;
        deployment.kill(0)?;
        deployment.wipe_disk(0)?;
        record.note("the first seed loses power and its disk");
    }
    tokio::time::sleep(OTHERS_START.saturating_sub(began.elapsed())).await;
    for at in 1..5 {
        deployment.start_node(at)?;
    }
    record.note("the four other machines of the core start");
    if !is_control() {
        tokio::time::sleep(DOWN.saturating_sub(began.elapsed() - DISK_LOST)).await;
        deployment.start_node(0)?;
        record.note("the first seed is back at its address, with an empty disk");
    }
    // Nothing happens to any machine from here on.
    let operator = deployment.operator();
    let returned = Instant::now();
    let bound = CATCH_UP + SETTLES + ACKNOWLEDGED_WITHIN;
    let reply = operator.put(&config(3), 0, bound + BEYOND).await;
    let took = returned.elapsed();
    record.note(format!(
        "the first configuration, sent until it is taken: {reply:?} after {:.1} s",
        took.as_secs_f64()
    ));
    let ended = deployment.exited_nodes();
    record.note(format!(
        "processes that ended by themselves: {}",
        ended.len()
    ));
    anyhow::ensure!(ended.is_empty(), "{ended:?}");
    match reply {
        CommandReply::Rejected { .. } => anyhow::bail!("a proper configuration was refused"),
        CommandReply::Acknowledged if took <= bound => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken),
    }
}
