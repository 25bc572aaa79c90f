//! What the bodies of requests may hold together, and which of them are ended.

use placement::{BodyBudget, UploadId, SMALL_BODY_BYTES};

const BUDGET_BYTES: usize = 1 << 20;
/// Larger than a small body.
const LARGE_BODY_BYTES: usize = 4 * SMALL_BODY_BYTES;
/// A client that is awaited for so long has stood still.
const STALL_MS: u64 = 1_000;

fn awaited(budget: &mut BodyBudget, since_ms: u64) -> UploadId {
    let upload = budget.begin_upload();
    budget.record_waiting(upload, since_ms);
    upload
}

/// As many large bodies as there is room for.
fn fill(budget: &mut BodyBudget) -> usize {
    let mut count = 0;
    while budget.try_grow(0, LARGE_BODY_BYTES) {
        count += 1;
    }
    count
}

#[test]
fn bodies_hold_no_more_than_the_budget_and_give_back_what_they_held() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    let large = fill(&mut budget);
    while budget.try_grow(0, SMALL_BODY_BYTES) {}
    assert!(budget.held_bytes() <= BUDGET_BYTES);
    assert!(!budget.try_grow(0, SMALL_BODY_BYTES));
    budget.release(LARGE_BODY_BYTES);
    assert!(budget.try_grow(0, SMALL_BODY_BYTES));
    assert!(large > 1);
}

/// Guards against large bodies that keep out ordinary requests.
#[test]
fn a_part_of_the_budget_is_kept_for_small_bodies() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    fill(&mut budget);
    let mut small = 0;
    while budget.try_grow(0, SMALL_BODY_BYTES) {
        small += 1;
    }
    assert!(small * SMALL_BODY_BYTES >= BUDGET_BYTES / 4, "{small}");
}

#[test]
fn a_body_that_grows_is_counted_once() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    let mut held = 0;
    for bytes in [1_000, 2_000, 64_000] {
        assert!(budget.try_grow(held, bytes));
        held = bytes;
    }
    assert_eq!(budget.held_bytes(), 64_000);
    assert!(!budget.try_grow(held, 2 * BUDGET_BYTES));
    assert_eq!(budget.held_bytes(), 64_000, "a refusal changes nothing");
}

#[test]
fn the_body_that_has_stood_still_for_the_longest_time_is_ended_first() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    let uploads: Vec<UploadId> = (0..20).map(|at| awaited(&mut budget, 100 - at)).collect();
    let ended = budget.end_stalled(100 + STALL_MS);
    assert!(!ended.is_empty() && ended.len() < uploads.len());
    let oldest: Vec<UploadId> = uploads.into_iter().rev().take(ended.len()).collect();
    assert_eq!(ended, oldest);
}

/// Guards against an honest client on a slow line that is ended beside bodies that stand still.
#[test]
fn a_body_that_goes_on_coming_is_never_ended() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    let slow = budget.begin_upload();
    let unread = budget.begin_upload();
    for now_ms in (0..20_000).step_by(900) {
        budget.record_waiting(slow, now_ms);
        assert_eq!(budget.end_stalled(now_ms + 899), []);
        budget.record_received(slow);
    }
    assert_eq!(
        budget.end_stalled(30_000),
        [],
        "nobody waits for the clients of these"
    );
    budget.finish_upload(unread);
}

#[test]
fn bodies_are_ended_a_few_at_a_time_so_that_their_room_is_free_before_more_are() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    for _ in 0..100 {
        awaited(&mut budget, 0);
    }
    let first = budget.end_stalled(STALL_MS);
    assert!((1..100).contains(&first.len()));
    assert_eq!(budget.end_stalled(STALL_MS + 1), []);
    let second = budget.end_stalled(STALL_MS + 1_000);
    assert!(!second.is_empty() && second.iter().all(|upload| !first.contains(upload)));
}

#[test]
fn a_body_that_has_come_in_is_not_ended() {
    let mut budget = BodyBudget::new(BUDGET_BYTES);
    let finished = awaited(&mut budget, 0);
    budget.finish_upload(finished);
    assert_eq!(budget.end_stalled(10 * STALL_MS), []);
}
