//! How long a router goes on past the end of its lease.

/// The bounds of the grace, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseGrace {
    /// For whatever reason no lease comes.
    pub unconditional_ms: u64,
    /// At most so long while the directory nodes' own words, or that they are out of reach,
    /// allow it ([`crate::DirectoryObserver`]).
    pub partition_ms: u64,
}

impl LeaseGrace {
    /// Until when a router goes on whose lease ends at `lease_until_ms`, 0 if it never had
    /// one. What it observes allows it until `extended_until_ms`, 0 if nothing does.
    pub fn until_ms(&self, lease_until_ms: u64, extended_until_ms: u64) -> u64 {
        // A router that never had a lease knows no state that was in force.
        if lease_until_ms == 0 {
            return 0;
        }
        let extended_until_ms = extended_until_ms.min(lease_until_ms + self.partition_ms);
        extended_until_ms.max(lease_until_ms + self.unconditional_ms)
    }
}
