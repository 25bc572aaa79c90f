//! Which requests may be sent over connections that carried others before.

use placement::{ConnectionDemand, ConnectionReuse, ReuseMode};

/// A first attempt of a request that may be sent again.
const IDEMPOTENT: ConnectionDemand = ConnectionDemand {
    is_idempotent: true,
    is_retry: false,
};
/// A first attempt of a request that may run only once.
const ONCE: ConnectionDemand = ConnectionDemand {
    is_idempotent: false,
    is_retry: false,
};

#[test]
fn requests_that_may_run_once_reuse_connections_only_where_the_mode_allows_it() {
    let cases = [
        (ReuseMode::IdempotentRequests, IDEMPOTENT, true),
        (ReuseMode::IdempotentRequests, ONCE, false),
        (ReuseMode::AllRequests, IDEMPOTENT, true),
        (ReuseMode::AllRequests, ONCE, true),
    ];
    for (mode, demand, wanted) in cases {
        let reuse = ConnectionReuse::new(mode);
        assert_eq!(
            reuse.may_reuse(0, "a", demand),
            wanted,
            "{mode:?}, {demand:?}"
        );
        let retry = ConnectionDemand {
            is_retry: true,
            ..demand
        };
        assert!(!reuse.may_reuse(0, "a", retry), "{mode:?}, {retry:?}");
    }
}

#[test]
fn after_a_loss_requests_that_may_run_once_get_new_connections_to_that_engine() {
    let mut reuse = ConnectionReuse::new(ReuseMode::AllRequests);
    reuse.record_loss(1_000, "a");
    assert!(!reuse.may_reuse(1_000, "a", ONCE));
    assert!(reuse.may_reuse(1_000, "a", IDEMPOTENT), "it is sent again");
    assert!(reuse.may_reuse(1_000, "b", ONCE), "another engine");
    assert!(!reuse.may_reuse(10_999, "a", ONCE));
    assert!(reuse.may_reuse(11_000, "a", ONCE), "it is tried again");
}

/// Guards: an engine that spoils every used connection costs one response in each period.
#[test]
fn an_engine_that_spoils_its_connections_costs_little() {
    let mut reuse = ConnectionReuse::new(ReuseMode::AllRequests);
    let mut lost = 0;
    for now in (0..60_000).step_by(100) {
        if reuse.may_reuse(now, "a", ONCE) {
            reuse.record_loss(now, "a");
            lost += 1;
        }
    }
    assert_eq!(lost, 6);
}
