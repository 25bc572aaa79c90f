//! Who else is there, as a router knows it by its session: told whole at first,
//! and from then on by what is new.

use consensus::Member;
use protocol::{RegistryUpdate, RouterStatus};
use residency::Name;
use std::collections::{BTreeMap, BTreeSet};

/// The same at both ends of a session. Invariant: a directory node takes in what
/// it has put on its way to the router, and the router takes it in in this order,
/// so that both have the same.
#[derive(Default)]
pub struct RouterMembership {
    fronts: BTreeMap<String, RouterStatus>,
    directories: Vec<Member>,
    has_begun: bool,
}

/// Whether a router's report says the same to the other routers. Its age and the
/// epoch that it has are nothing to them, but for whether it has one.
pub fn is_same_to_peers(one: &RouterStatus, other: &RouterStatus) -> bool {
    let said = |front: &RouterStatus| (front.is_draining, front.epoch > 0);
    said(one) == said(other)
        && one.peer_address == other.peer_address
        && one.client_address == other.client_address
        && one.zone == other.zone
        && one.region == other.region
}

impl RouterMembership {
    pub fn routers(&self) -> impl Iterator<Item = &RouterStatus> {
        self.fronts.values()
    }

    pub fn directory_nodes(&self) -> &[Member] {
        &self.directories
    }

    /// What is to be said for the other end to have these; it may be nothing.
    pub fn update_to(&self, fronts: Vec<RouterStatus>, directories: Vec<Member>) -> RegistryUpdate {
        let names: BTreeSet<&str> = fronts.iter().map(|front| front.name.as_str()).collect();
        let gone = self
            .fronts
            .keys()
            .filter(|name| !names.contains(name.as_str()));
        let gone = gone.map(|name| Name(name.clone())).collect();
        let is_news = |front: &RouterStatus| {
            self.fronts
                .get(&front.name)
                .is_none_or(|known| !is_same_to_peers(known, front))
        };
        let is_known = self.has_begun && directories == self.directories;
        RegistryUpdate {
            is_full: u8::from(!self.has_begun),
            removed_routers: gone,
            routers: fronts.into_iter().filter(|front| is_news(front)).collect(),
            directory_nodes: if is_known { Vec::new() } else { directories },
        }
    }

    /// What is said where nothing came, left or changed.
    pub fn empty_update(&self) -> RegistryUpdate {
        RegistryUpdate {
            is_full: u8::from(!self.has_begun),
            routers: Vec::new(),
            removed_routers: Vec::new(),
            directory_nodes: Vec::new(),
        }
    }

    pub fn apply(&mut self, news: &RegistryUpdate) {
        if news.is_full != 0 {
            *self = RouterMembership::default();
        }
        self.has_begun = true;
        for front in &news.routers {
            self.fronts.insert(front.name.clone(), front.clone());
        }
        for name in &news.removed_routers {
            self.fronts.remove(&name.0);
        }
        if !news.directory_nodes.is_empty() {
            self.directories = news.directory_nodes.clone();
        }
    }
}
