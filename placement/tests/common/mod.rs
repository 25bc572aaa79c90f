//! Helpers of several test files; each of them uses a part.
#![allow(dead_code)]

use residency::{Cell, Event, View, Zone};

/// Pseudo-random numbers from a seed, each below the bound that is asked for (xorshift64).
pub fn draws(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |below| {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        (seed >> 11) % below.max(1)
    }
}

/// A view of these zones, each with its region, and cells, each with its zone.
pub fn topology(zones: &[(&str, &str)], cells: &[(&str, &str)]) -> View {
    let zone = |(name, region): &(&str, &str)| Zone {
        name: (*name).into(),
        region: (*region).into(),
    };
    let cell = |(name, zone): &(&str, &str)| Cell {
        name: (*name).into(),
        zone: (*zone).into(),
    };
    let mut view = View::default();
    view.apply(&Event::Topology {
        zones: zones.iter().map(zone).collect(),
        cells: cells.iter().map(cell).collect(),
    });
    view
}

/// A message between a router and the leader, under way in virtual time.
pub struct InFlight<T> {
    pub arrives_at_ms: u64,
    /// The router that sent it, or that it is for.
    pub router: usize,
    /// When the router sent the heartbeat that the message is, or answers.
    pub asked_at_ms: u64,
    pub message: T,
}

/// Takes those out of a list that a condition holds for; both keep their order.
pub fn take_where<T>(list: &mut Vec<T>, is_taken: impl FnMut(&T) -> bool) -> Vec<T> {
    let (taken, kept) = std::mem::take(list).into_iter().partition(is_taken);
    *list = kept;
    taken
}
