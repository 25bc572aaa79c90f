//! Hashes that all processes compute alike, whatever their version.

use sha2::{Digest, Sha256};

/// SHA-256 of a text in 64 lower-case hexadecimal digits: the form in which tenant keys
/// are stored and compared.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// The first eight bytes of SHA-256 as a number, to rank and compare by.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    u64::from_be_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}
