//! Responses against the requests that they claim to belong to.

use directory::pending_requests::PendingRequests;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::HashMap;

const RESPONSE_TIMEOUT_MS: u64 = 5_000;

#[test]
fn a_response_is_accepted_once_and_only_from_where_its_request_went() {
    let mut pending = PendingRequests::default();
    pending.record_sent(0, 1, "a");
    pending.record_sent(0, 2, "b");
    assert!(!pending.accept_response(10, 1, "b"), "crosswise");
    assert!(
        !pending.accept_response(10, 3, "a"),
        "never pending, or pending by an earlier process"
    );
    assert!(pending.accept_response(10, 1, "a"));
    assert!(!pending.accept_response(10, 1, "a"), "a second time");
    assert!(
        !pending.accept_response(RESPONSE_TIMEOUT_MS, 2, "b"),
        "too late"
    );
}

proptest! {
    #![proptest_config(Config { cases: 200, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() })]

    /// Against a plain model, over any order of requests and responses; what is kept
    /// stays bounded however few responses come.
    #[test]
    fn it_agrees_with_a_plain_model(
        steps in prop::collection::vec((0u64..40, 0usize..3, any::<bool>(), 0u64..400), 0..400)
    ) {
        let nodes = ["a", "b", "c"];
        let (mut pending, mut model, mut now) = (PendingRequests::default(), HashMap::new(), 0);
        for (request_id, node, is_request, passes) in steps {
            now += passes;
            if is_request {
                pending.record_sent(now, request_id, nodes[node]);
                model.insert(request_id, (nodes[node], now));
                continue;
            }
            let expected = model
                .get(&request_id)
                .is_some_and(|(address, at)| *address == nodes[node] && now < at + RESPONSE_TIMEOUT_MS);
            prop_assert_eq!(pending.accept_response(now, request_id, nodes[node]), expected);
            if expected {
                model.remove(&request_id);
            }
        }
        for request_id in 1_000..3_000 {
            pending.record_sent(now + request_id * 100, request_id, "a");
        }
        prop_assert!(pending.len() <= 300, "{} requests are kept", pending.len());
    }
}
