//! Rendezvous (highest random weight) hashing, the one way in which processes agree on
//! an owner without talking to each other.

/// MurmurHash3's 64-bit finalizer.
fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// The weight of a member for a key; the member with the highest weight owns the key.
/// It depends on the arguments alone, so that all processes compute the same.
pub fn rank(key: u64, member_hash: u64) -> u64 {
    mix(mix(key) ^ member_hash)
}

/// The member that owns a key, of members with the hashes of their names, and its weight.
pub fn highest_ranked<T>(key: u64, members: impl Iterator<Item = (u64, T)>) -> Option<(u64, T)> {
    members
        .map(|(member_hash, member)| (rank(key, member_hash), member))
        .max_by_key(|(rank, _)| *rank)
}
