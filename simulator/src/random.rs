//! Pseudo-random numbers from a seed: the same seed draws the same run.

/// The next number below `bound` by Marsaglia's 64-bit xorshift; 0 where `bound` is 0.
/// `state` must not be zero, and moves on.
pub(crate) fn draw(state: &mut u64, bound: u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    (*state >> 11) % bound.max(1)
}
