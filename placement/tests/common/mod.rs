//! Helpers of several test files.

/// Pseudo-random numbers from a seed, each below the bound that is asked for (xorshift64).
pub fn draws(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |below| {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        (seed >> 11) % below.max(1)
    }
}
