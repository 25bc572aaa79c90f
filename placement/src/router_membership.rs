//! Which routers and directory nodes there are, as a session between a directory node and a
//! router tells it: the whole list first, then what changes.

use consensus::Member;
use protocol::{RegistryUpdate, RouterStatus};
use residency::Name;
use std::collections::{BTreeMap, BTreeSet};

/// The membership at one end of a session. Invariant: a directory node applies each update
/// that it sends, and the router applies them in the same order, so that both ends hold the
/// same.
#[derive(Default)]
pub struct RouterMembership {
    routers: BTreeMap<String, RouterStatus>,
    directory_nodes: Vec<Member>,
    /// Whether an update was applied in this session.
    has_begun: bool,
}

/// Whether two reports of a router say the same to the other routers. They depend neither on
/// the report's age nor on its lease, nor on the router's epoch, only on whether it has one.
pub fn is_same_to_peers(one: &RouterStatus, other: &RouterStatus) -> bool {
    let availability = |status: &RouterStatus| (status.is_draining(), status.epoch > 0);
    availability(one) == availability(other)
        && one.peer_address == other.peer_address
        && one.client_address == other.client_address
        && one.zone == other.zone
        && one.region == other.region
}

impl RouterMembership {
    /// The routers, by name.
    pub fn routers(&self) -> impl Iterator<Item = &RouterStatus> {
        self.routers.values()
    }

    /// The router of that name.
    pub fn router(&self, name: &str) -> Option<&RouterStatus> {
        self.routers.get(name)
    }

    /// The directory nodes.
    pub fn directory_nodes(&self) -> &[Member] {
        &self.directory_nodes
    }

    /// The update after which the other end holds these lists; it may change nothing.
    pub fn update_to(
        &self,
        routers: impl AsRef<[RouterStatus]>,
        directory_nodes: Vec<Member>,
    ) -> RegistryUpdate {
        let routers = routers.as_ref();
        let names: BTreeSet<&str> = routers.iter().map(|router| router.name.as_str()).collect();
        let gone = self
            .routers
            .keys()
            .filter(|name| !names.contains(name.as_str()));
        let gone = gone.map(|name| Name(name.clone())).collect();
        let is_changed = |router: &RouterStatus| {
            self.routers
                .get(&router.name)
                .is_none_or(|known| !is_same_to_peers(known, router))
        };
        let is_known = self.has_begun && directory_nodes == self.directory_nodes;
        RegistryUpdate {
            removed_routers: gone,
            routers: routers
                .iter()
                .filter(|router| is_changed(router))
                .cloned()
                .collect(),
            directory_nodes: if is_known {
                Vec::new()
            } else {
                directory_nodes
            },
            ..self.empty_update()
        }
    }

    /// The update that changes nothing.
    pub fn empty_update(&self) -> RegistryUpdate {
        RegistryUpdate {
            is_full: !self.has_begun,
            routers: Vec::new(),
            removed_routers: Vec::new(),
            directory_nodes: Vec::new(),
        }
    }

    /// Applies an update.
    pub fn apply(&mut self, update: &RegistryUpdate) {
        if update.is_full {
            *self = RouterMembership::default();
        }
        self.has_begun = true;
        for router in &update.routers {
            self.routers.insert(router.name.clone(), router.clone());
        }
        for name in &update.removed_routers {
            self.routers.remove(&name.0);
        }
        if !update.directory_nodes.is_empty() {
            self.directory_nodes = update.directory_nodes.clone();
        }
    }
}
