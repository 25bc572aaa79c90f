//! Retry tokens: a share of the first attempts may be retried.

use std::collections::VecDeque;

/// How long the tokens that a first attempt earned may be spent. It bounds the retries that a
/// router can save up for a time of failures.
pub const RETRY_TOKEN_LIFETIME_MS: u64 = 5_000;
/// Tokens that were earned within this time are kept as one entry, to bound the memory.
const GRAIN_MS: u64 = 100;
/// Tokens are sums of fractions; five times a fifth counts as one.
const ROUNDING: f64 = 1e-9;

/// Tokens that were earned at about the same time.
struct Deposit {
    at_ms: u64,
    /// What is left of them.
    tokens: f64,
}

/// Each first attempt earns a part of a token, each retry costs one.
///
/// Bound: over any span of time, the retries are at most `share` of the first attempts in it
/// and in the `RETRY_TOKEN_LIFETIME_MS` before it. The bucket starts empty, so that the same
/// holds over any number of processes and their restarts.
#[derive(Default)]
pub struct RetryTokenBucket {
    /// The oldest first.
    deposits: VecDeque<Deposit>,
}

impl RetryTokenBucket {
    /// A first attempt earns `share` of a token.
    pub fn deposit(&mut self, now: u64, share: f64) {
        match self.deposits.back_mut() {
            Some(deposit) if now < deposit.at_ms + GRAIN_MS => deposit.tokens += share,
            _ => self.deposits.push_back(Deposit {
                at_ms: now,
                tokens: share,
            }),
        }
        self.expire(now);
    }

    fn expire(&mut self, now: u64) {
        while self
            .deposits
            .front()
            .is_some_and(|deposit| deposit.at_ms + RETRY_TOKEN_LIFETIME_MS <= now)
        {
            self.deposits.pop_front();
        }
    }

    /// Spends a token on a retry, the oldest deposits first; `false` if there is none.
    pub fn try_withdraw(&mut self, now: u64) -> bool {
        self.expire(now);
        let mut owed: f64 = 1.0 - ROUNDING;
        let tokens = self.deposits.iter().map(|deposit| deposit.tokens);
        if tokens.sum::<f64>() < owed {
            return false;
        }
        while let Some(deposit) = self.deposits.front_mut() {
            if deposit.tokens > owed {
                deposit.tokens -= owed;
                break;
            }
            owed -= deposit.tokens;
            self.deposits.pop_front();
        }
        true
    }
}
