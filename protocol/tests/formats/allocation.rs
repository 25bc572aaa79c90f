//! Counts what a thread allocates, to show that a wrong length reserves no memory.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

struct Counting;

thread_local! {
    static ALLOCATED: Cell<isize> = const { Cell::new(0) };
    static PEAK: Cell<isize> = const { Cell::new(0) };
}

fn count(change: isize) {
    // A thread that is ending has no counters any more.
    let _ = ALLOCATED.try_with(|allocated| {
        allocated.set(allocated.get() + change);
        let _ = PEAK.try_with(|peak| peak.set(peak.get().max(allocated.get())));
    });
}

// SAFETY: every call is passed on to the system's allocator unchanged.
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

/// Runs `work`; returns the most bytes that this thread allocated meanwhile and had
/// not freed.
pub fn peak_bytes<T>(work: impl FnOnce() -> T) -> (T, usize) {
    let before = ALLOCATED.get();
    PEAK.set(before);
    let done = work();
    (done, (PEAK.get() - before).max(0) as usize)
}

#[test]
fn a_reservation_is_counted() {
    let (_, peak) = peak_bytes(|| drop(std::hint::black_box(Vec::<u8>::with_capacity(1 << 20))));
    assert!(peak >= 1 << 20);
}
