//! Numbers from a fixed seed.

/// A xorshift generator; its state is never zero.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// One that begins in this state.
    pub fn in_state(state: u64) -> Random {
        Random(state)
    }

    /// The next number below another; 0 below 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit.max(1)
    }
}
