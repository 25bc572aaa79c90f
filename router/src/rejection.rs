//! Why a router refuses a request, and what the client gets for it.
//!
//! Every rejection that this package decides on is a variant of [`RouterRejection`];
//! [`RouterRejection::reply`] is the one table of statuses, codes, outcomes and
//! pauses. Rejections of the dispatcher (no engine has room), of the quota, and of a
//! directory node are built there and pass through unchanged.

use placement::ExecutionOutcome;
use transport::rejection::Rejection;

/// Why this router refuses a request. The `Display` text goes to the client and to
/// the log.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum RouterRejection {
    /// No directory node has granted a lease yet.
    #[error("this router has just started and waits for its first lease")]
    Starting,
    /// The lease and its grace ended; see `lease.rs`.
    #[error("this router has no valid lease; use another router")]
    LeaseEnded {
        /// How long ago the lease and its grace ended.
        ended_for_ms: u64,
    },
    /// It has stopped accepting requests.
    #[error("this router is shutting down; use another router")]
    ShuttingDown,
    /// The process ends before an engine has answered.
    #[error("this router ended before the request was answered")]
    BrokenOffAtExit,
    /// As many requests as the settings allow are in flight.
    #[error("{max_requests} requests are in flight here; use another router")]
    RouterFull {
        /// The limit, of the settings.
        max_requests: usize,
    },
    /// The bodies of other requests take all memory that they may.
    #[error("no memory is left for this body here; use another router")]
    MemoryFull,
    /// HTTP/1.0 has no chunked coding: a response that broke off would look
    /// complete.
    #[error("requests are accepted in HTTP/1.1 only")]
    HttpVersion,
    /// The body is longer than the settings or the rules allow.
    #[error("a body may hold at most {max_bytes} bytes")]
    BodyTooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// What has to be read of the body did not arrive in time.
    #[error("{part} arrived too slowly")]
    BodyTooSlow {
        /// Which part was waited for.
        part: &'static str,
    },
    /// The client's connection failed within the body, or its framing is invalid.
    #[error("the body can't be read: {cause}")]
    BodyUnreadable {
        /// The error of the HTTP library.
        cause: String,
    },
    /// No route of the rules matches.
    #[error("no route matches this method and path")]
    NoRoute,
    /// The request's header or query has no tenant key where the rules look for it.
    #[error("listener {listener} finds no tenant key where it should be")]
    TenantKeyMissing {
        /// The listener's name, of the rules.
        listener: String,
    },
    /// The body was read to its end and has no tenant key.
    #[error("listener {listener} finds no tenant key in this body")]
    TenantKeyMissingInBody {
        /// The listener's name, of the rules.
        listener: String,
    },
    /// A lookup of routers without a tenant key.
    #[error("the tenant key belongs in x-tenant-key or in a bearer token")]
    TenantKeyMissingInLookup,
    /// The key belongs to no tenant.
    #[error("this tenant key is not known")]
    TenantKeyUnknown,
    /// The key was withdrawn while the request was in flight.
    #[error("this tenant key was revoked meanwhile")]
    TenantKeyRevoked,
    /// A request of the same key and id is in flight. Whether that one runs is not
    /// known yet, so this one is neither run nor reported as not run.
    #[error("a request with this id is in flight here; its own response tells its outcome")]
    DuplicateRequest,
    /// The route needs a model, and the request names none.
    #[error("the request names no model: {location}")]
    ModelMissing {
        /// Where the rules look for it.
        location: String,
    },
    /// The tenant's mapping and the route's home regions have no cell in common.
    #[error("no engine is in a region where this route and this tenant may be served")]
    NoHomeRegion,
    /// The mapping was invalidated between its lookup and the first byte.
    #[error("the mapping changed meanwhile")]
    MappingInvalidated,
    /// The same, as often as a request may look its mapping up.
    #[error("the mapping of this request keeps changing")]
    MappingUnstable,
    /// Another request looks up the same key, and its mapping did not come in time.
    #[error("the mapping of this key did not arrive in time")]
    LookupTimedOut,
    /// No directory node resolved the key, by the state that the request is in.
    #[error("no directory node can resolve this key now")]
    DirectoryUnavailable {
        /// Whether it may have run at a directory node before.
        outcome: ExecutionOutcome,
    },
    /// The key lies too deep in the body to be read here, and no directory node
    /// that may see the body can be reached.
    #[error("the routing key lies too deep in the body, and no directory node may see it")]
    NoDirectoryForBody,
    /// The connection to the directory node failed after the request was forwarded.
    #[error("the directory node's connection failed")]
    DirectoryLost,
    /// The deadline passed before a response began.
    #[error("the request's deadline passed")]
    DeadlinePassed {
        /// Whether an engine or a directory node may have run it.
        outcome: ExecutionOutcome,
    },
    /// A lookup of routers for a zone that the topology doesn't have.
    #[error("there is no zone {zone}")]
    ZoneUnknown {
        /// As the client named it.
        zone: String,
    },
    /// A lookup of routers found none.
    #[error("no router that this client may use is known")]
    NoRouter,
}

/// Bounds of the time after which a client is told to come back in an outage.
const MIN_OUTAGE_RETRY_AFTER_MS: u64 = 50;
const MAX_OUTAGE_RETRY_AFTER_MS: u64 = 1_000;

/// What a client gets for a rejection.
struct Reply {
    status: u16,
    /// Stable, for programs.
    code: &'static str,
    /// `NotRun` says that a retry is safe whatever the request does.
    outcome: ExecutionOutcome,
    /// When to come back; `None` where the same request would be refused again.
    retry_after_ms: Option<u64>,
}

impl Reply {
    /// The request did not run, and would be refused again as it is.
    const fn permanent(status: u16, code: &'static str) -> Reply {
        Reply {
            status,
            code,
            outcome: ExecutionOutcome::NotRun,
            retry_after_ms: None,
        }
    }

    /// The request did not run, and may be sent again after a pause.
    const fn transient(status: u16, code: &'static str, retry_after_ms: u64) -> Reply {
        Reply {
            retry_after_ms: Some(retry_after_ms),
            ..Reply::permanent(status, code)
        }
    }

    const fn with_outcome(self, outcome: ExecutionOutcome) -> Reply {
        Reply { outcome, ..self }
    }
}

/// When to come back in an outage that has lasted for so long: as little is known of it, it
/// is as likely to last for as long again. At first another router may have a lease.
fn outage_retry_after_ms(lasted_ms: u64) -> u64 {
    lasted_ms.clamp(MIN_OUTAGE_RETRY_AFTER_MS, MAX_OUTAGE_RETRY_AFTER_MS)
}

impl RouterRejection {
    fn reply(&self) -> Reply {
        match self {
            Self::Starting => Reply::transient(503, "starting", 1_000),
            Self::LeaseEnded { ended_for_ms } => {
                Reply::transient(503, "no-lease", outage_retry_after_ms(*ended_for_ms))
            }
            Self::ShuttingDown => Reply::transient(503, "leaving", 1_000),
            Self::BrokenOffAtExit => {
                Reply::transient(502, "broken-off", 1_000).with_outcome(ExecutionOutcome::Unknown)
            }
            Self::RouterFull { .. } => Reply::transient(503, "router-full", 1_000),
            Self::MemoryFull => Reply::transient(503, "memory-full", 1_000),
            Self::HttpVersion => Reply::permanent(400, "http-version"),
            Self::BodyTooLong { .. } => Reply::permanent(413, "long-body"),
            Self::BodyTooSlow { .. } => Reply::transient(408, "slow-body", 1_000),
            Self::BodyUnreadable { .. } => Reply::permanent(400, "broken-body"),
            Self::NoRoute => Reply::permanent(404, "no-route"),
            Self::TenantKeyMissing { .. }
            | Self::TenantKeyMissingInBody { .. }
            | Self::TenantKeyMissingInLookup => Reply::permanent(401, "no-key"),
            Self::TenantKeyUnknown | Self::TenantKeyRevoked => Reply::permanent(401, "unknown-key"),
            Self::DuplicateRequest => {
                Reply::permanent(409, "job-under-way").with_outcome(ExecutionOutcome::Unknown)
            }
            Self::ModelMissing { .. } => Reply::permanent(400, "no-model"),
            Self::NoHomeRegion => Reply::transient(503, "no-place", 1_000),
            Self::MappingInvalidated | Self::MappingUnstable => {
                Reply::transient(503, MAPPING_INVALIDATED, 1_000)
            }
            Self::LookupTimedOut => Reply::transient(503, "no-mapping", 1_000),
            Self::DirectoryUnavailable { outcome } => {
                Reply::transient(503, "no-directory", 1_000).with_outcome(*outcome)
            }
            Self::NoDirectoryForBody => Reply::transient(503, "no-directory", 2_000),
            Self::DirectoryLost => Reply::transient(502, "directory-lost", 1_000)
                .with_outcome(ExecutionOutcome::Unknown),
            Self::DeadlinePassed { outcome } => {
                Reply::transient(504, "deadline", 1_000).with_outcome(*outcome)
            }
            Self::ZoneUnknown { .. } => Reply::permanent(400, "unknown-zone"),
            Self::NoRouter => Reply::transient(503, "no-router", 2_000),
        }
    }
}

/// The code of [`RouterRejection::MappingInvalidated`], by which a dispatch that may
/// look its mapping up again is told from others.
pub const MAPPING_INVALIDATED: &str = "mapping-void";

impl From<RouterRejection> for Rejection {
    fn from(rejection: RouterRejection) -> Rejection {
        let reply = rejection.reply();
        Rejection {
            status: reply.status,
            code: reply.code.into(),
            text: rejection.to_string(),
            outcome: reply.outcome,
            retry_after_ms: reply.retry_after_ms,
        }
    }
}
