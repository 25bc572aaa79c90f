//! Counts what a thread allocates, so that a length that lies can be seen to reserve
//! nothing.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

struct Counting;

thread_local! {
    static HELD: Cell<isize> = const { Cell::new(0) };
    static MOST: Cell<isize> = const { Cell::new(0) };
}

fn count(change: isize) {
    // A thread that ends has nothing to count in any more.
    let _ = HELD.try_with(|held| {
        held.set(held.get() + change);
        let _ = MOST.try_with(|most| most.set(most.get().max(held.get())));
    });
}

// SAFETY: every call is handed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        count(-(layout.size() as isize));
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Runs `work`; gives the most bytes that this thread held beyond what it had.
pub fn peak<T>(work: impl FnOnce() -> T) -> (T, usize) {
    let before = HELD.get();
    MOST.set(before);
    let done = work();
    (done, (MOST.get() - before).max(0) as usize)
}

#[test]
fn what_is_reserved_is_seen() {
    let (_, most) = peak(|| drop(std::hint::black_box(Vec::<u8>::with_capacity(1 << 20))));
    assert!(most >= 1 << 20);
}
