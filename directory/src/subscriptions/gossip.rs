//! Tells the other directory nodes which routers have their session here.

use crate::change_pacing::wait_until_due;
use crate::control_plane::ControlPlane;
use protocol::Frame;
use std::sync::Arc;

/// How often the list is sent while it does not change.
const GOSSIP_INTERVAL_MS: u64 = 500;

/// Sends the list where it changes, and every so often while it is not empty; for as long as
/// the node runs. Routers of other nodes are not on it, and their changes cause nothing.
pub(crate) async fn gossip(control: Arc<ControlPlane>) {
    let mut versions = control.routers.local_versions();
    loop {
        // Before the list is read: what changes after that is part of the next one.
        versions.mark_unchanged();
        send_local_routers(&control);
        let interval = transport::jitter(GOSSIP_INTERVAL_MS);
        wait_until_due(&mut versions, interval).await;
    }
}

fn send_local_routers(control: &ControlPlane) {
    let routers = control.routers.list_local();
    if routers.is_empty() {
        return;
    }
    let members = control.driver.cluster_status.borrow().members.clone();
    let from = control.member.identity;
    for member in members.all().filter(|member| member.identity != from) {
        let routers = routers.clone();
        let frame = Frame::Routers { from, routers };
        control.peers.send(&member.address, frame);
    }
}
