//! Identities as operators read and write them.

/// 16 hexadecimal digits.
pub(super) fn hex(identity: u64) -> String {
    format!("{identity:016x}")
}
