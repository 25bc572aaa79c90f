//! Whether this process is cut off from a majority of the directory nodes, by what its
//! probes of them showed.
//!
//! A router without a lease can't tell by its silence alone whether it is cut off or
//! whether its sessions are slow. Cut off from a majority, no node that it reaches can
//! commit a change, and every node that can is out of its reach. A connection that comes
//! up late, or is refused, shows that its node can be reached.

use std::collections::HashMap;

/// How long the failure of a probe counts. The next one has ended by then.
const EVIDENCE_MS: u64 = 3_000;

/// Which directory nodes could not be reached lately.
#[derive(Debug, Default)]
pub struct PartitionDetector {
    /// When the last probe of a node failed; a node that was reached has no entry.
    failed_at_ms: HashMap<String, u64>,
}

impl PartitionDetector {
    /// A node was reached, or refused a connection.
    pub fn record_reachable(&mut self, node: &str) {
        self.failed_at_ms.remove(node);
    }

    /// For the whole time of a probe nothing came from a node.
    pub fn record_unreachable(&mut self, now: u64, node: &str) {
        self.failed_at_ms
            .retain(|_, failed_at_ms| now < *failed_at_ms + EVIDENCE_MS);
        self.failed_at_ms.insert(node.to_string(), now);
    }

    /// Until when it is known that at most half of these nodes can be reached; `None` where
    /// it is not known. A node without a recent probe counts as one that can be reached.
    pub fn cut_off_until_ms<'a>(
        &self,
        now: u64,
        nodes: impl Iterator<Item = &'a str>,
    ) -> Option<u64> {
        let mut node_count = 0;
        let mut expiries: Vec<u64> = Vec::new();
        for node in nodes {
            node_count += 1;
            let expiry = self.failed_at_ms.get(node).map(|at_ms| at_ms + EVIDENCE_MS);
            expiries.extend(expiry.filter(|expiry| now < *expiry));
        }
        let needed = usize::div_ceil(node_count, 2);
        expiries.sort_unstable_by(|one, other| other.cmp(one));
        needed
            .checked_sub(1)
            .and_then(|last| expiries.get(last).copied())
    }
}
