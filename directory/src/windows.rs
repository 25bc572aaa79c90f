//! Maintenance windows: whoever leads begins and ends them in their time. The
//! state makes each turn happen once.

use crate::Desk;
use residency::Submission;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub async fn run(desk: Arc<Desk>) {
    let mut standing = desk.hub.standing.clone();
    while standing.wait_for(|standing| standing.is_leader).await.is_ok() {
        tokio::time::sleep(yard::jitter(400)).await;
        // The one place where the wall clock decides something.
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_secs());
        let due = desk.hub.state.read().due(now);
        for command in due {
            log::info!("a maintenance window turns: {command:?}");
            // A turn that a former leader has made meanwhile is refused.
            let id = format!("{:016x}", rand::random::<u64>());
            let submission = Submission { id, base: 0, command };
            desk.hub.submit(submission, Duration::from_secs(2)).await;
        }
    }
}
