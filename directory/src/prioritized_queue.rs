//! A bounded queue with two priorities, as commands for the consensus thread wait in.

use std::collections::VecDeque;

/// What is taken first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Before everything else.
    High,
    /// When nothing of high priority waits.
    Normal,
}

/// An item, and since when it waits.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued<T> {
    /// What was queued.
    pub item: T,
    /// When it was queued, in milliseconds.
    pub queued_at_ms: u64,
}

/// Items of one priority keep their order. Each priority has room of its own, so that neither
/// keeps the other one out.
pub struct PrioritizedQueue<T> {
    high: VecDeque<Queued<T>>,
    normal: VecDeque<Queued<T>>,
    max_len: usize,
}

impl<T> PrioritizedQueue<T> {
    /// An empty queue for `max_len` items of each priority.
    pub fn new(max_len: usize) -> PrioritizedQueue<T> {
        PrioritizedQueue {
            high: VecDeque::new(),
            normal: VecDeque::new(),
            max_len,
        }
    }

    /// Queues an item.
    ///
    /// # Errors
    /// There is no room for its priority; the item is handed back.
    pub fn push(&mut self, priority: Priority, item: T, now_ms: u64) -> Result<(), T> {
        if self.lane(priority).len() >= self.max_len {
            return Err(item);
        }
        self.push_unbounded(priority, item, now_ms);
        Ok(())
    }

    /// Queues an item, also where there is no room. What may be pushed like this is bounded by
    /// the caller.
    pub fn push_unbounded(&mut self, priority: Priority, item: T, now_ms: u64) {
        self.lane(priority).push_back(Queued {
            item,
            queued_at_ms: now_ms,
        });
    }

    /// Takes the oldest item of the highest priority.
    pub fn pop(&mut self) -> Option<Queued<T>> {
        self.high.pop_front().or_else(|| self.normal.pop_front())
    }

    /// How many items wait.
    pub fn len(&self) -> usize {
        self.high.len() + self.normal.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.high.is_empty() && self.normal.is_empty()
    }

    fn lane(&mut self, priority: Priority) -> &mut VecDeque<Queued<T>> {
        match priority {
            Priority::High => &mut self.high,
            Priority::Normal => &mut self.normal,
        }
    }
}
