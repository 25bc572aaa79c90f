//! Waits in queues, as the operators' port shows them.

use simd_json::prelude::*;
use telemetry::queues::{record_dropped, record_wait, to_json, Queue};

/// Guards: an overloaded queue that is shown as another one, or not at all.
#[test]
fn waits_are_counted_for_their_own_queue_alone() {
    record_wait(Queue::LeaderRequestCommands, 40);
    record_wait(Queue::LeaderRequestCommands, 700);
    record_wait(Queue::LeaderRequestCommands, 0);
    record_dropped(Queue::LeaderRequestCommands);
    let shown = to_json();
    for queue in Queue::ALL {
        let waits = shown.get(queue.name()).expect("each queue is shown");
        let values = ["count", "total_ms", "longest_ms", "dropped"].map(|key| waits.get_u64(key));
        let expected = match queue {
            Queue::LeaderRequestCommands => [3, 740, 700, 1],
            _ => [0; 4],
        };
        assert_eq!(values, expected.map(Some), "{}", queue.name());
    }
}
