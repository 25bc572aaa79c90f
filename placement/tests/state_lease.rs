//! The lease of a directory node, in virtual time.

mod common;

use common::draws;
use placement::StateLease;
use protocol::LEASE_MS;

/// Guards: a change in force everywhere in time. The response is on its way when the
/// process is suspended, and is read when it goes on.
#[test]
fn a_lease_counts_from_the_request_and_not_from_the_response() {
    let mut lease = StateLease::default();
    lease.request(1, 1_000);
    // The response is read at 2,900; the lease knows nothing of that time.
    lease.confirm(1);
    assert_eq!(lease.expires_at(), 1_000 + LEASE_MS);
    lease.request(2, 2_950);
    lease.confirm(2);
    assert_eq!(lease.expires_at(), 2_950 + LEASE_MS);
}

/// Guards: a late response to an earlier request neither shortens the lease nor renews it
/// twice.
#[test]
fn responses_out_of_order_leave_the_later_expiry() {
    let mut lease = StateLease::default();
    lease.request(1, 1_000);
    lease.request(2, 1_400);
    lease.confirm(2);
    lease.confirm(1);
    assert_eq!(lease.expires_at(), 1_400 + LEASE_MS);
    lease.confirm(1);
    lease.confirm(7);
    assert_eq!(lease.expires_at(), 1_400 + LEASE_MS);
}

/// Guards: after the disk was read back, nothing that was confirmed for the state before
/// renews the lease.
#[test]
fn requests_from_before_the_end_renew_nothing() {
    let mut lease = StateLease::default();
    lease.request(1, 1_000);
    lease.request(2, 1_100);
    lease.confirm(1);
    lease.end();
    assert_eq!(lease.expires_at(), 0);
    lease.confirm(2);
    assert_eq!(lease.expires_at(), 0);
}

/// Guards: at no moment is the lease valid by a request that is `LEASE_MS` old, with
/// suspensions of the process and responses that are lost, late or out of order.
#[test]
fn no_lease_outlasts_its_request() {
    for seed in 0..200 {
        let mut draw = draws(seed);
        let mut lease = StateLease::default();
        let mut under_way: Vec<(u64, u64)> = Vec::new();
        let (mut newest_confirmed_ms, mut now_ms) = (None, 10_000);
        for token in 1..2_000 {
            now_ms += if draw(60) == 0 { draw(4_000) } else { draw(50) };
            lease.request(token, now_ms);
            under_way.push((token, now_ms));
            while !under_way.is_empty() && draw(2) == 0 {
                let (token, requested_at_ms) =
                    under_way.swap_remove(draw(under_way.len() as u64) as usize);
                if draw(5) == 0 {
                    continue;
                }
                lease.confirm(token);
                newest_confirmed_ms = newest_confirmed_ms.max(Some(requested_at_ms));
            }
            let bound_ms = newest_confirmed_ms.map_or(0, |requested_ms| requested_ms + LEASE_MS);
            assert!(
                lease.expires_at() <= bound_ms,
                "seed {seed}: until {}, and the newest request that was confirmed allows {bound_ms}",
                lease.expires_at()
            );
        }
    }
}
