//! The list of engines that a view gives, against the engines that are tracked.

use residency::{Engine, View};
use std::collections::BTreeMap;

/// Removes the engines that a view does not list any more, or lists at another address, and
/// returns their names in order.
pub(crate) fn remove_unlisted<T>(
    tracked: &mut BTreeMap<String, T>,
    view: &View,
    engine_of: impl Fn(&T) -> &Engine,
) -> Vec<String> {
    let mut removed = Vec::new();
    tracked.retain(|name, entry| {
        let is_listed = view
            .engines
            .get(name)
            .is_some_and(|engine| engine.address == engine_of(entry).address);
        if !is_listed {
            removed.push(name.clone());
        }
        is_listed
    });
    removed
}
