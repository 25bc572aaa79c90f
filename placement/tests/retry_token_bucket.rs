//! Retries over a fleet, against the share of the first attempts.

mod common;

use common::draws;
use placement::{RetryTokenBucket, RETRY_TOKEN_LIFETIME_MS};

/// Guards: retries are no more than a fifth of first attempts, over a fleet and over any
/// short time. Processes restart, traffic swings, and every request is to be retried.
#[test]
fn retries_stay_below_a_fifth_of_first_attempts() {
    let mut draw = draws(1);
    for _ in 0..12 {
        let mut fleet: Vec<RetryTokenBucket> =
            (0..14).map(|_| RetryTokenBucket::default()).collect();
        let (mut attempts, mut retries) = (Vec::new(), Vec::new());
        let mut now = 0;
        while now < 60_000 {
            now += draw(if now % 20_000 < 4_000 { 5 } else { 400 });
            let at = draw(14) as usize;
            if draw(500) == 0 {
                fleet[at] = RetryTokenBucket::default();
            }
            fleet[at].deposit(now, 0.2);
            attempts.push(now);
            if fleet[at].try_withdraw(now) {
                retries.push(now);
            }
        }
        assert!(!retries.is_empty());
        for (n, from) in retries.iter().enumerate() {
            for (more, until) in retries[n..].iter().take(120).enumerate() {
                let earliest = from.saturating_sub(RETRY_TOKEN_LIFETIME_MS);
                let earned = attempts.partition_point(|at| at <= until)
                    - attempts.partition_point(|at| *at < earliest);
                assert!((more + 1) * 5 <= earned, "{} for {earned}", more + 1);
            }
        }
    }
}
