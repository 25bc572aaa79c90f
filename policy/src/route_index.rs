//! The routes that a text has declared so far, by what has to be unique in it.

use crate::Route;
use std::collections::{HashMap, HashSet};

/// What a route of a host matches, apart from its method.
#[derive(PartialEq, Eq, Hash)]
struct PathMatch {
    host: String,
    path: String,
    is_path_prefix: bool,
}

/// A route of a [`PathMatch`].
struct MethodMatch {
    /// `None` stands for any.
    method: Option<String>,
    route: String,
}

/// Invariant: a lookup takes the same time however many routes there are, so that a text
/// is compiled in time linear to its length.
#[derive(Default)]
pub(crate) struct RouteIndex {
    names: HashSet<String>,
    by_path: HashMap<PathMatch, Vec<MethodMatch>>,
}

impl RouteIndex {
    /// Whether a route has this name.
    pub(crate) fn has_name(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// The name of the first route of a host that matches the same requests as `route`.
    pub(crate) fn same_match(&self, route: &Route) -> Option<&str> {
        let same_path = self.by_path.get(&path_match(route)?)?;
        let is_same = |known: &&MethodMatch| {
            known.method == route.method || known.method.is_none() || route.method.is_none()
        };
        same_path
            .iter()
            .find(is_same)
            .map(|known| known.route.as_str())
    }

    /// Adds a route that `has_name` and `same_match` have not found.
    pub(crate) fn add(&mut self, route: &Route) {
        self.names.insert(route.name.clone());
        if let Some(path_match) = path_match(route) {
            self.by_path
                .entry(path_match)
                .or_default()
                .push(MethodMatch {
                    method: route.method.clone(),
                    route: route.name.clone(),
                });
        }
    }
}

/// `None` for a route of any host, of which the first match wins.
fn path_match(route: &Route) -> Option<PathMatch> {
    Some(PathMatch {
        host: route.host.clone()?,
        path: route.path.clone(),
        is_path_prefix: route.is_path_prefix,
    })
}
