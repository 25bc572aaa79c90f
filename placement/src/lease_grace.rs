//! How long a router goes on past the end of its lease.

/// The bounds of the grace, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseGrace {
    /// For whatever reason no lease comes.
    pub unconditional_ms: u64,
    /// At most so long while the router is known to be cut off from a majority of the
    /// directory nodes.
    pub partition_ms: u64,
}

impl LeaseGrace {
    /// Until when a router goes on whose lease ends at `lease_until_ms`, 0 if it never had
    /// one. It is known to be cut off until `cut_off_until_ms`, 0 if it is not.
    pub fn until_ms(&self, lease_until_ms: u64, cut_off_until_ms: u64) -> u64 {
        // A router that never had a lease knows no state that was in force.
        if lease_until_ms == 0 {
            return 0;
        }
        let partition_until_ms = cut_off_until_ms.min(lease_until_ms + self.partition_ms);
        partition_until_ms.max(lease_until_ms + self.unconditional_ms)
    }
}
