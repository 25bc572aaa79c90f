//! The cache of one tier.

use placement::{Cache, CacheLookup};

#[test]
fn times_decide_between_fresh_stale_and_miss() {
    let cases = [
        (0, CacheLookup::Fresh(1)),
        (99, CacheLookup::Fresh(1)),
        (100, CacheLookup::Stale(1)),
        (999, CacheLookup::Stale(1)),
        (1000, CacheLookup::Miss),
    ];
    for (now, wanted) in cases {
        let mut cache = Cache::new(4);
        cache.insert("k", 1, 100, 1000, 0);
        assert_eq!(cache.get("k", now).lookup, wanted, "at {now}");
    }
    let mut cache = Cache::new(4);
    cache.insert("k", 1, 100, 1000, 0);
    cache.insert("k", 2, 0, 1000, 1);
    assert_eq!(
        cache.get("k", 1).lookup,
        CacheLookup::Miss,
        "never fresh is never kept"
    );
}

proptest::proptest! {
    #[test]
    fn the_least_recently_used_is_evicted_first(
        steps in proptest::collection::vec((0u8..12, proptest::bool::ANY), 1..200)
    ) {
        let mut cache = Cache::new(4);
        let mut model: Vec<u8> = Vec::new();
        for (key, is_put) in steps {
            let name = key.to_string();
            let known = model.contains(&key);
            if is_put || known {
                model.retain(|other| *other != key);
                model.push(key);
                if model.len() > 4 {
                    model.remove(0);
                }
            }
            if is_put {
                cache.insert(&name, key, 10, 10, 0);
            } else {
                let hit = cache.get(&name, 0).lookup;
                assert_eq!(hit, if known { CacheLookup::Fresh(key) } else { CacheLookup::Miss });
            }
            assert_eq!(cache.len(), model.len());
        }
    }
}
