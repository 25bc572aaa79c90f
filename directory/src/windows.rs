//! Maintenance windows: whoever leads begins and ends them in their time. The
//! state makes each turn happen once.

use crate::Desk;
use residency::{Outcome, Submission};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use wire::Reply;

const PATIENCE: Duration = Duration::from_secs(2);

pub async fn run(desk: Arc<Desk>) {
    let mut standing = desk.hub.standing.clone();
    while standing.wait_for(|standing| standing.is_leader).await.is_ok() {
        tokio::time::sleep(yard::jitter(400)).await;
        // The one place where the wall clock decides something.
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_secs());
        let Some(term) = desk.leads_in() else { continue };
        // One at a time: the next is built on what this one makes.
        while let Some((base, command)) = desk.look(|state| {
            let next = state.due(now).into_iter().next();
            next.map(|command| (state.epoch(), command))
        }) {
            log::info!("a maintenance window turns: {command:?}");
            // Late where the windows were changed meanwhile, by operators or by
            // another leader: then it is a conflict.
            let id = format!("{:016x}", rand::random::<u64>());
            let submission = Submission { id, base, command };
            let reply = desk.submit_as_leader(submission, term, PATIENCE).await;
            if !matches!(reply, Reply::Submitted(Outcome::Applied { .. })) {
                break;
            }
        }
    }
}
