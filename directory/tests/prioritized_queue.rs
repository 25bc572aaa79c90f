//! The order and the bounds of commands that wait for the consensus thread.

use directory::prioritized_queue::{PrioritizedQueue, Priority, Queued};

const MAX_LEN: usize = 3;

/// Guards: a leader that is deposed because its followers' acknowledgements wait behind
/// requests.
#[test]
fn what_has_high_priority_overtakes_requests_and_keeps_its_order() {
    let mut queue = PrioritizedQueue::new(MAX_LEN);
    for (priority, item, now_ms) in [
        (Priority::Normal, "request 1", 10),
        (Priority::Normal, "request 2", 11),
        (Priority::High, "message 1", 12),
        (Priority::High, "message 2", 13),
    ] {
        assert_eq!(queue.push(priority, item, now_ms), Ok(()));
    }
    assert_eq!(queue.len(), 4);
    let popped: Vec<Queued<&str>> = std::iter::from_fn(|| queue.pop()).collect();
    let expected = [
        ("message 1", 12),
        ("message 2", 13),
        ("request 1", 10),
        ("request 2", 11),
    ];
    let expected = expected.map(|(item, queued_at_ms)| Queued { item, queued_at_ms });
    assert_eq!(popped, expected);
    assert!(queue.is_empty());
}

/// Guards: requests that fill the queue and keep consensus messages out of it, and a queue
/// that grows without bound.
#[test]
fn a_full_priority_keeps_nothing_out_of_the_other() {
    let mut queue = PrioritizedQueue::new(MAX_LEN);
    for item in 0..MAX_LEN {
        assert_eq!(queue.push(Priority::Normal, item, 0), Ok(()));
    }
    assert_eq!(queue.push(Priority::Normal, 100, 0), Err(100));
    assert_eq!(queue.push(Priority::High, 101, 0), Ok(()));
    queue.push_unbounded(Priority::Normal, 102, 0);
    assert_eq!(queue.len(), MAX_LEN + 2);
    assert_eq!(queue.pop().map(|queued| queued.item), Some(101));
}
