//! Answers against the questions that they are said to belong to.

use directory::pending_requests::PendingRequests;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::HashMap;

const OPEN_MS: u64 = 5_000;

#[test]
fn an_answer_counts_once_and_only_from_where_its_question_went() {
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
    assert!(!pending.accept_response(OPEN_MS, 2, "b"), "too late");
}

proptest! {
    #![proptest_config(Config { cases: 200, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() })]

    /// Against a plain model, over any order of questions and answers; what is kept
    /// stays bounded however few answers come.
    #[test]
    fn it_agrees_with_a_plain_model(
        steps in prop::collection::vec((0u64..40, 0usize..3, any::<bool>(), 0u64..400), 0..400)
    ) {
        let nodes = ["a", "b", "c"];
        let (mut pending, mut model, mut now) = (PendingRequests::default(), HashMap::new(), 0);
        for (number, node, is_question, passes) in steps {
            now += passes;
            if is_question {
                pending.record_sent(now, number, nodes[node]);
                model.insert(number, (nodes[node], now));
                continue;
            }
            let expected = model
                .get(&number)
                .is_some_and(|(address, at)| *address == nodes[node] && now < at + OPEN_MS);
            prop_assert_eq!(pending.accept_response(now, number, nodes[node]), expected);
            if expected {
                model.remove(&number);
            }
        }
        for number in 1_000..3_000 {
            pending.record_sent(now + number * 100, number, "a");
        }
        prop_assert!(pending.len() <= 300, "{} questions are kept", pending.len());
    }
}
