//! Whether a request may be sent over a connection to an engine that carried others before.
//!
//! An idle connection may end just as a request is sent over it, and a surplus response to
//! an earlier request may come in place of the one that is due. An idempotent request is
//! then sent again. One that may run only once never is: it loses its response. So after
//! such a loss the connections to that engine carry only idempotent requests for a while.

use std::collections::HashMap;

/// How long after a loss an engine's used connections carry idempotent requests alone. A
/// router loses at most one response in this time to an engine that spoils its connections,
/// and those that were under way with it.
const LOSS_SUSPENSION_MS: u64 = 10_000;

/// Which requests may use a connection that carried others before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReuseMode {
    /// Those that may be sent again.
    #[default]
    IdempotentRequests,
    /// All, except at engines that lost a response lately.
    AllRequests,
}

/// One attempt of a request, as far as the reuse of connections depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionDemand {
    /// The request may be sent again after it was lost.
    pub is_idempotent: bool,
    /// Another attempt failed. This one may be the last, and takes no chances.
    pub is_retry: bool,
}

/// Decides on the reuse of connections, for each engine by what it did.
#[derive(Debug, Default)]
pub struct ConnectionReuse {
    mode: ReuseMode,
    /// Until when only idempotent requests may reuse connections, by engine.
    suspended_until_ms: HashMap<String, u64>,
}

impl ConnectionReuse {
    /// Without a loss so far.
    pub fn new(mode: ReuseMode) -> ConnectionReuse {
        ConnectionReuse {
            mode,
            suspended_until_ms: HashMap::new(),
        }
    }

    /// Whether a request may be sent to the engine over a used connection.
    pub fn may_reuse(&self, now: u64, engine: &str, demand: ConnectionDemand) -> bool {
        let is_suspended = || {
            let until_ms = self.suspended_until_ms.get(engine);
            until_ms.is_some_and(|until_ms| now < *until_ms)
        };
        let may_run_once = self.mode == ReuseMode::AllRequests && !is_suspended();
        !demand.is_retry && (demand.is_idempotent || may_run_once)
    }

    /// A request that was sent to the engine over a used connection got no response of its
    /// own.
    pub fn record_loss(&mut self, now: u64, engine: &str) {
        self.suspended_until_ms
            .retain(|_, until_ms| now < *until_ms);
        self.suspended_until_ms
            .insert(engine.to_string(), now + LOSS_SUSPENSION_MS);
    }
}
