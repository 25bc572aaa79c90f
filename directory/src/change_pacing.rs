//! How soon after a change others are told of it.

use std::time::Duration;
use tokio::sync::watch;

/// Between two messages that changes cause, at the least. A change after a quiet time is told
/// at once; many that come together, as when all routers start, are told together.
pub const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Called after a message was sent; returns when the next one is due: at a change, but not
/// before `MIN_SEND_INTERVAL`, and after `max_interval` in any case. Versions that the receiver
/// has not marked as seen count as changes.
pub async fn wait_until_due(versions: &mut watch::Receiver<u64>, max_interval: Duration) {
    tokio::time::sleep(MIN_SEND_INTERVAL.min(max_interval)).await;
    let rest = max_interval.saturating_sub(MIN_SEND_INTERVAL);
    drop(tokio::time::timeout(rest, versions.changed()).await);
}
