//! Pseudo-random numbers from a seed: the same seed draws the same workload and the
//! same faults on every machine.

/// Marsaglia's xorshift generator with 64 bits of state, which must not be zero.
#[derive(Clone, Debug)]
pub struct XorShift64(u64);

impl XorShift64 {
    /// A generator whose state is never zero, whatever the seed.
    pub fn from_seed(seed: u64) -> XorShift64 {
        XorShift64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// The upper 53 bits of the next state.
    fn next_53_bits(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 11
    }

    /// A whole number below `bound`; 0 where that is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_53_bits() % bound.max(1)
    }

    /// A number from 0 up to, but without, 1.
    pub fn fraction(&mut self) -> f64 {
        self.next_53_bits() as f64 / (1u64 << 53) as f64
    }

    /// A number from `from` up to, but without, `to`, in a million steps.
    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.below(1_000_000) as f64 / 1e6
    }

    /// One of some items.
    ///
    /// # Panics
    ///
    /// Where there are none.
    pub fn pick<'l, T>(&mut self, of: &'l [T]) -> &'l T {
        &of[self.below(of.len() as u64) as usize]
    }
}
