//! Tells one router which other routers and directory nodes there are.

use crate::change_pacing::wait_until_due;
use crate::control_plane::ControlPlane;
use crate::session_queue::WeakSessionSender;
use consensus::Member;
use placement::RouterMembership;
use protocol::{EncodedFrame, Frame};
use std::sync::Arc;

/// Changes of the list are sent as they come, and this often in any case an update, also
/// where nothing changed: a router goes by when it got the last one.
const ROUTER_LIST_INTERVAL_MS: u64 = 900;

/// Sends the list, then its changes. Ends with the session, whose `sender` is then gone.
pub(super) async fn send_updates(control: Arc<ControlPlane>, sender: WeakSessionSender) {
    let mut versions = control.routers.versions();
    let (mut known, mut known_version) = (RouterMembership::default(), None);
    while let Some(sender) = sender.upgrade() {
        // Read before the lists: what changes after that is part of the next update.
        let version = *versions.borrow_and_update();
        let members = directory_members(&control);
        let update = match known_version == Some(version) && members == known.directory_nodes() {
            true => known.empty_update(),
            false => known.update_to(control.routers.shared_list(), members),
        };
        // An update that finds the queue full is part of the next one.
        known_version = None;
        let frame = EncodedFrame::new(&Frame::RegistryUpdate(update.clone()));
        if sender.try_send(frame) {
            known.apply(&update);
            known_version = Some(version);
        }
        drop(sender);
        let interval = transport::jitter(ROUTER_LIST_INTERVAL_MS);
        wait_until_due(&mut versions, interval).await;
    }
}

fn directory_members(control: &ControlPlane) -> Vec<Member> {
    let cluster_status = control.driver.cluster_status.borrow();
    cluster_status.members.all().cloned().collect()
}
