//! Controllers: each holds a set point and answers one question.

/// A bucket of tokens in thousandths. Invariant: `held <= most`.
pub struct Bucket {
    held: u64,
    most: u64,
    /// Tokens a second.
    pace: u64,
    filled: u64,
    rest: u64,
}

impl Bucket {
    pub fn new(pace: u64, burst: u64, now: u64) -> Bucket {
        Bucket { held: burst * 1000, most: burst * 1000, pace, filled: now, rest: 0 }
    }

    pub fn set(&mut self, pace: u64, burst: u64) {
        self.pace = pace;
        self.most = burst * 1000;
        self.held = self.held.min(self.most);
    }

    fn fill(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.filled);
        self.filled = now;
        self.rest = 0;
        self.held = (self.held + elapsed * self.pace).min(self.most);
    }

    /// Takes one token, or says after how many milliseconds there is one.
    pub fn take(&mut self, now: u64) -> Result<(), u64> {
        self.fill(now);
        if self.held >= 1000 {
            self.held -= 1000;
            return Ok(());
        }
        match self.pace {
            0 => Err(60_000),
            pace => Err((1000 - self.held).div_ceil(pace).max(1)),
        }
    }
}

/// The retry budget: each first round earns a share of a token, each further
/// round costs one. Invariant: over any run, further rounds are at most
/// `share` of first ones, and a small float at the start.
pub struct Retries {
    held: f64,
    most: f64,
}

impl Default for Retries {
    fn default() -> Retries {
        Retries { held: 2.0, most: 20.0 }
    }
}

impl Retries {
    pub fn earn(&mut self, share: f64) {
        self.held = (self.held + share).min(self.most);
    }

    pub fn spend(&mut self) -> bool {
        let is_there = self.held >= 1.0;
        if is_there {
            self.held -= 1.0;
        }
        is_there
    }
}

/// The warm-up of an engine: its limit grows with answers completed, from an
/// eighth to the whole, and not by time.
#[derive(Default, Clone, Copy)]
pub struct Warmth {
    completed: u32,
}

const WARM_AFTER: u32 = 24;

impl Warmth {
    pub fn warm() -> Warmth {
        Warmth { completed: WARM_AFTER }
    }

    pub fn complete(&mut self) {
        self.completed = (self.completed + 1).min(WARM_AFTER);
    }

    /// The share of `limit` that the engine may have; one job at the least.
    pub fn limit(&self, limit: u32) -> u32 {
        let share = f64::from(self.completed) / f64::from(WARM_AFTER);
        ((f64::from(limit) * (0.125 + 0.875 * share)).round() as u32).clamp(1.min(limit), limit)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_lets_through_its_burst_and_then_its_pace() {
        let mut bucket = Bucket::new(10, 5, 0);
        let count = (0..20).filter(|_| bucket.take(0).is_ok()).count();
        assert_eq!(count, 5);
        assert_eq!(bucket.take(0), Err(100));
        let through = (1..=10_000).filter(|now| bucket.take(*now).is_ok()).count();
        assert_eq!(through, 100);
    }

    /// Guards: retries grow no further than a fifth of real traffic.
    #[test]
    fn further_rounds_stay_below_a_fifth() {
        let mut retries = Retries::default();
        let mut spent = 0;
        for _ in 0..1000 {
            retries.earn(0.2);
            spent += usize::from(retries.spend());
        }
        assert!(spent <= 202, "{spent}");
    }

    /// Guards: an engine coming back cold is not flooded.
    #[test]
    fn a_cold_engine_warms_up_by_answers() {
        let mut warmth = Warmth::default();
        assert_eq!(warmth.limit(8), 1);
        let mut limits = vec![warmth.limit(8)];
        for _ in 0..WARM_AFTER {
            warmth.complete();
            limits.push(warmth.limit(8));
        }
        assert!(limits.is_sorted());
        assert_eq!(limits.last(), Some(&8));
        assert_eq!(Warmth::default().limit(0), 0);
    }
}
