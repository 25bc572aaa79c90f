//! Whether a router is cut off from a majority of the directory nodes.

use placement::PartitionDetector;

const NODES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn cut_off_until(detector: &PartitionDetector, now: u64, nodes: &[&'static str]) -> Option<u64> {
    detector.cut_off_until_ms(now, nodes.iter().copied())
}

#[test]
fn at_most_half_of_the_nodes_can_be_reached() {
    let cases = [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3)];
    for (node_count, needed) in cases {
        let nodes = &NODES[..node_count];
        let mut detector = PartitionDetector::default();
        for (failed, node) in nodes.iter().enumerate() {
            let is_cut_off = cut_off_until(&detector, 1_000, nodes).is_some();
            assert_eq!(is_cut_off, failed >= needed, "{failed} of {node_count}");
            detector.record_unreachable(1_000, node);
        }
        assert!(cut_off_until(&detector, 1_000, nodes).is_some());
    }
    let detector = PartitionDetector::default();
    assert_eq!(
        cut_off_until(&detector, 1_000, &[]),
        None,
        "no node is known"
    );
}

#[test]
fn a_node_that_answers_again_ends_it_at_once() {
    let mut detector = PartitionDetector::default();
    for node in &NODES[..3] {
        detector.record_unreachable(1_000, node);
    }
    assert!(cut_off_until(&detector, 1_001, &NODES).is_some());
    detector.record_reachable("b");
    assert_eq!(cut_off_until(&detector, 1_001, &NODES), None);
}

/// Guards: a process that was suspended knows nothing when it resumes.
#[test]
fn failures_count_for_a_while_only() {
    let mut detector = PartitionDetector::default();
    for (at_ms, node) in [(1_000, "a"), (1_500, "b"), (2_000, "c")] {
        detector.record_unreachable(at_ms, node);
    }
    assert_eq!(
        cut_off_until(&detector, 2_100, &NODES),
        Some(4_000),
        "of the oldest needed"
    );
    assert_eq!(cut_off_until(&detector, 4_000, &NODES), None);
    detector.record_unreachable(4_100, "d");
    assert_eq!(cut_off_until(&detector, 4_200, &NODES), Some(4_500));
}
