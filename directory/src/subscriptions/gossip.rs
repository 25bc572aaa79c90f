//! Tells the other directory nodes which routers have their session here.

use crate::control_plane::ControlPlane;
use protocol::Frame;
use std::sync::Arc;

/// How often the list is sent while it does not change.
const GOSSIP_INTERVAL_MS: u64 = 500;

/// Sends the list at once where it changes, and every so often while it is not empty;
/// for as long as the node runs.
pub(crate) async fn gossip(control: Arc<ControlPlane>) {
    let mut versions = control.routers.versions();
    loop {
        send_local_routers(&control);
        let interval = transport::jitter(GOSSIP_INTERVAL_MS);
        drop(tokio::time::timeout(interval, versions.changed()).await);
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
