//! Logs and counts when this router goes on past its lease and the unconditional grace, and
//! why.

use crate::router::Router;
use placement::ExtensionReason;
use std::mem::Discriminant;

/// Which extension was logged last: each reason is logged once for a lease.
#[derive(Default)]
pub(crate) struct ExtensionLog {
    logged: Option<LoggedExtension>,
}

#[derive(PartialEq, Eq)]
struct LoggedExtension {
    lease_until_ms: u64,
    reason: Discriminant<ExtensionReason>,
}

impl ExtensionLog {
    /// The lease is extended now for this reason. It is logged once the router would refuse
    /// without it.
    pub(crate) fn record(&mut self, router: &Router, now_ms: u64, reason: ExtensionReason) {
        let lease_until_ms = router.lease.until_ms();
        let grace_ms = router.settings.lease_grace.unconditional_ms;
        if lease_until_ms == 0 || now_ms < lease_until_ms + grace_ms {
            return;
        }
        let logged = Some(LoggedExtension {
            lease_until_ms,
            reason: std::mem::discriminant(&reason),
        });
        if self.logged == logged {
            return;
        }
        self.logged = logged;
        let counter = match reason {
            ExtensionReason::ConfirmedByMajority => "lease_extensions_confirmed",
            ExtensionReason::CutOff(_) => "lease_extensions_cut_off",
        };
        router.metrics.increment(counter);
        log::warn!(past_end_ms = now_ms - lease_until_ms, reason:? = reason;
            "going on past the lease");
    }
}
