//! Which routers aggregate load reports, and which of them a router reports to.

use crate::rendezvous::rank;
use policy::stable_hash;
use protocol::RouterStatus;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

/// With more routers than this, load reports are aggregated: each router would receive more
/// frames, and older reports, from all of its region directly.
const MAX_DIRECT_ROUTERS: usize = 120;
/// A router whose aggregator was not heard for so long reports to another one.
const SILENCE_MS: u64 = 900;
/// An aggregator that fell silent is passed over for this long.
const SUSPECT_MS: u64 = 5_000;

/// A router that aggregates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aggregator {
    /// Its name.
    pub name: String,
    /// Where other routers reach it.
    pub peer_address: String,
}

/// The aggregators of each region, as one router knows the fleet.
#[derive(Default)]
pub struct LoadAggregators {
    by_region: BTreeMap<String, Vec<Aggregator>>,
}

impl LoadAggregators {
    /// The aggregators among these routers; none where the fleet is small. Of a region's
    /// routers, as many as the square root of their number, by rendezvous hashing: then an
    /// aggregator has about as many reporters as there are aggregators.
    pub fn new<'a>(routers: impl Iterator<Item = &'a RouterStatus>) -> LoadAggregators {
        let mut by_region: BTreeMap<&str, Vec<&RouterStatus>> = BTreeMap::new();
        let mut count = 0;
        for router in routers {
            count += 1;
            if !router.is_draining() {
                by_region.entry(&router.region).or_default().push(router);
            }
        }
        if count <= MAX_DIRECT_ROUTERS {
            return LoadAggregators::default();
        }
        let by_region = by_region
            .into_iter()
            .map(|(region, routers)| (region.to_string(), select(region, routers)));
        LoadAggregators {
            by_region: by_region.collect(),
        }
    }

    /// Whether load reports are aggregated in this fleet.
    pub fn are_used(&self) -> bool {
        !self.by_region.is_empty()
    }

    /// The aggregators of a region.
    pub fn of_region(&self, region: &str) -> &[Aggregator] {
        self.by_region.get(region).map_or(&[], Vec::as_slice)
    }

    /// One aggregator of each other region, another one at each turn: so one that has died
    /// and is still listed loses little.
    pub fn remote(&self, own_region: &str, own_name: &str, turn: u64) -> Vec<&Aggregator> {
        let position = stable_hash(own_name.as_bytes()).wrapping_add(turn) as usize;
        let others = self
            .by_region
            .iter()
            .filter(|(region, _)| *region != own_region);
        others
            .filter_map(|(_, aggregators)| aggregators.get(position % aggregators.len().max(1)))
            .collect()
    }
}

fn hash_of(aggregator: &Aggregator) -> u64 {
    stable_hash(aggregator.name.as_bytes())
}

fn select(region: &str, mut routers: Vec<&RouterStatus>) -> Vec<Aggregator> {
    let key = stable_hash(region.as_bytes());
    let count = (routers.len() as f64).sqrt().ceil() as usize;
    routers.sort_by_cached_key(|router| Reverse(rank(key, stable_hash(router.name.as_bytes()))));
    routers.truncate(count);
    let aggregator = |router: &RouterStatus| Aggregator {
        name: router.name.clone(),
        peer_address: router.peer_address.clone(),
    };
    routers.into_iter().map(aggregator).collect()
}

/// The aggregator that a router reports to now.
struct Chosen {
    name: String,
    /// When it was chosen, or last heard since.
    heard_at_ms: u64,
}

/// Chooses the aggregator that a router reports to: itself if it is one, else one by
/// rendezvous hashing among those that have not fallen silent.
pub struct AggregatorChoice {
    own_name: String,
    chosen: Option<Chosen>,
    /// Until when each aggregator is passed over.
    suspects: HashMap<String, u64>,
}

impl AggregatorChoice {
    /// The choice of the router of that name.
    pub fn new(own_name: &str) -> AggregatorChoice {
        AggregatorChoice {
            own_name: own_name.to_string(),
            chosen: None,
            suspects: HashMap::new(),
        }
    }

    /// The aggregator to report to now; none where there are none.
    pub fn choose<'a>(
        &mut self,
        now: u64,
        aggregators: &'a [Aggregator],
    ) -> Option<&'a Aggregator> {
        self.suspect_silent(now);
        let own = aggregators.iter().find(|one| one.name == self.own_name);
        let chosen = own.or_else(|| {
            let key = stable_hash(self.own_name.as_bytes());
            let is_suspect = |one: &Aggregator| self.suspects.contains_key(&one.name);
            aggregators
                .iter()
                .max_by_key(|one| (!is_suspect(one), rank(key, hash_of(one))))
        })?;
        if self
            .chosen
            .as_ref()
            .is_none_or(|known| known.name != chosen.name)
        {
            self.chosen = Some(Chosen {
                name: chosen.name.clone(),
                heard_at_ms: now,
            });
        }
        Some(chosen)
    }

    /// An aggregator sent an update. Whether it is the one that this router reports to: the
    /// update of another one counts this router's load, too.
    pub fn accepts(&mut self, now: u64, from: &str) -> bool {
        match &mut self.chosen {
            Some(chosen) if chosen.name == from => {
                chosen.heard_at_ms = now;
                true
            }
            _ => false,
        }
    }

    fn suspect_silent(&mut self, now: u64) {
        self.suspects.retain(|_, until_ms| now < *until_ms);
        let is_silent = |chosen: &mut Chosen| {
            chosen.name != self.own_name && now >= chosen.heard_at_ms + SILENCE_MS
        };
        if let Some(silent) = self.chosen.take_if(is_silent) {
            self.suspects.insert(silent.name, now + SUSPECT_MS);
        }
    }
}
