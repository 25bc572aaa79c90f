//! Controllers: each holds a set point and answers one question.

use std::collections::VecDeque;

/// How long what a first round earned may be spent.
pub const RETRY_TOKEN_LIFETIME_MS: u64 = 5_000;

/// The retry budget: each first round earns a share of a token, each further
/// round costs one. Invariant: over any span of time, further rounds are at most
/// `share` of the first ones in it and in the `RETRY_TOKEN_LIFETIME_MS` before it. Nothing
/// is there at the start, so that the same holds over any number of processes.
#[derive(Default)]
pub struct RetryTokenBucket {
    /// When, and what is left of what was earned then; the oldest first.
    earned: VecDeque<(u64, f64)>,
}

/// What was earned within this time is kept as one.
const RETRY_TOKEN_GRAIN_MS: u64 = 100;

impl RetryTokenBucket {
    pub fn deposit(&mut self, now: u64, share: f64) {
        match self.earned.back_mut() {
            Some((since, held)) if now < *since + RETRY_TOKEN_GRAIN_MS => *held += share,
            _ => self.earned.push_back((now, share)),
        }
        self.lapse(now);
    }

    fn lapse(&mut self, now: u64) {
        while self
            .earned
            .front()
            .is_some_and(|(since, _)| since + RETRY_TOKEN_LIFETIME_MS <= now)
        {
            self.earned.pop_front();
        }
    }

    pub fn try_withdraw(&mut self, now: u64) -> bool {
        self.lapse(now);
        // Shares are sums of fractions: a fifth five times is one.
        let mut owed: f64 = 1.0 - 1e-9;
        if self.earned.iter().map(|(_, held)| held).sum::<f64>() < owed {
            return false;
        }
        while let Some((_, held)) = self.earned.front_mut() {
            if *held > owed {
                *held -= owed;
                break;
            }
            owed -= *held;
            self.earned.pop_front();
        }
        true
    }
}

/// The warm-up of an engine: its limit grows with answers completed, from an
/// eighth to the whole, and not by time.
#[derive(Clone, Copy)]
pub struct SlowStart {
    completed: u32,
}

const SLOW_START_RESPONSES: u32 = 24;

impl SlowStart {
    pub fn complete() -> SlowStart {
        SlowStart::after_responses(SLOW_START_RESPONSES)
    }

    /// Of an engine that completed so many answers since it came back cold.
    pub fn after_responses(completed: u32) -> SlowStart {
        SlowStart {
            completed: completed.min(SLOW_START_RESPONSES),
        }
    }

    pub fn is_complete(&self) -> bool {
        self.completed == SLOW_START_RESPONSES
    }

    /// The share of `limit` that the engine may have; one job at the least.
    pub fn limit(&self, limit: u32) -> u32 {
        let share = f64::from(self.completed) / f64::from(SLOW_START_RESPONSES);
        ((f64::from(limit) * (0.125 + 0.875 * share)).round() as u32).clamp(1.min(limit), limit)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The step responses that docs/controllers.md shows are the controllers'.
    #[test]
    fn the_page_shows_these_step_responses() {
        let row = |name: &str, values: Vec<u64>| {
            let values: Vec<String> = values.iter().map(|value| value.to_string()).collect();
            format!("| {name} | {} |", values.join(" | "))
        };
        let mut rows = Vec::new();
        let limits = (0..=24)
            .step_by(4)
            .map(|answers| SlowStart::after_responses(answers).limit(7).into());
        rows.push(row("limit", limits.collect()));
        let mut retries = RetryTokenBucket::default();
        let (mut spent, mut marks) = (0, Vec::new());
        for job in 1..=1000 {
            retries.deposit(job * 100, 0.2);
            spent += u64::from(retries.try_withdraw(job * 100));
            if [1, 5, 10, 50, 100, 500, 1000].contains(&job) {
                marks.push(spent);
            }
        }
        rows.push(row("further rounds", marks));
        let page = include_str!("../../docs/controllers.md");
        for row in rows {
            assert!(page.contains(&row), "the page lacks {row}");
        }
    }

    /// Guards: retries grow no further than a fifth of real traffic, over a fleet
    /// and over any short time. Processes come and go, traffic swings, and every
    /// job wants a further round.
    #[test]
    fn further_rounds_stay_below_a_fifth() {
        let mut draw = crate::draws(1);
        for _ in 0..12 {
            let mut fleet: Vec<RetryTokenBucket> =
                (0..14).map(|_| RetryTokenBucket::default()).collect();
            let (mut first, mut further) = (Vec::new(), Vec::new());
            let mut now = 0;
            while now < 60_000 {
                now += draw(if now % 20_000 < 4_000 { 5 } else { 400 });
                let at = draw(14) as usize;
                if draw(500) == 0 {
                    fleet[at] = RetryTokenBucket::default();
                }
                fleet[at].deposit(now, 0.2);
                first.push(now);
                if fleet[at].try_withdraw(now) {
                    further.push(now);
                }
            }
            assert!(!further.is_empty());
            for (n, from) in further.iter().enumerate() {
                for (more, until) in further[n..].iter().take(120).enumerate() {
                    let earliest = from.saturating_sub(RETRY_TOKEN_LIFETIME_MS);
                    let earned = first.partition_point(|at| at <= until)
                        - first.partition_point(|at| *at < earliest);
                    assert!((more + 1) * 5 <= earned, "{} for {earned}", more + 1);
                }
            }
        }
    }

    /// Guards: an engine coming back cold is not flooded.
    #[test]
    fn a_cold_engine_warms_up_by_answers() {
        let limits: Vec<u32> = (0..=SLOW_START_RESPONSES)
            .map(|n| SlowStart::after_responses(n).limit(8))
            .collect();
        assert_eq!(limits[0], 1);
        assert!(limits.is_sorted());
        assert_eq!(limits.last(), Some(&8));
        assert_eq!(SlowStart::after_responses(0).limit(0), 0);
    }
}
