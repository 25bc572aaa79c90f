//! What a client gets for each rejection that a router decides on.

use placement::ExecutionOutcome::{self, NotRun, Unknown};
use router::RouterRejection::{self, *};
use transport::rejection::Rejection;

/// A rejection, its status, code and outcome, and when to come back.
type Case = (
    RouterRejection,
    u16,
    &'static str,
    ExecutionOutcome,
    Option<u64>,
);

#[test]
fn each_rejection_has_its_status_code_outcome_and_pause() {
    let listener = || "shop".to_string();
    let cases: [Case; 31] = [
        (Starting, 503, "starting", NotRun, Some(1_000)),
        (
            LeaseEnded { ended_for_ms: 0 },
            503,
            "no-lease",
            NotRun,
            Some(50),
        ),
        (
            LeaseEnded { ended_for_ms: 400 },
            503,
            "no-lease",
            NotRun,
            Some(400),
        ),
        (
            LeaseEnded {
                ended_for_ms: 9_000,
            },
            503,
            "no-lease",
            NotRun,
            Some(1_000),
        ),
        (ShuttingDown, 503, "leaving", NotRun, Some(1_000)),
        (BrokenOffAtExit, 502, "broken-off", Unknown, Some(1_000)),
        (
            RouterFull { max_requests: 7 },
            503,
            "router-full",
            NotRun,
            Some(1_000),
        ),
        (HttpVersion, 400, "http-version", NotRun, None),
        (BodyTooLong { max_bytes: 9 }, 413, "long-body", NotRun, None),
        (
            BodyTooSlow { part: "the body" },
            408,
            "slow-body",
            NotRun,
            Some(1_000),
        ),
        (
            BodyUnreadable {
                cause: "reset".into(),
            },
            400,
            "broken-body",
            NotRun,
            None,
        ),
        (NoRoute, 404, "no-route", NotRun, None),
        (
            TenantKeyMissing {
                listener: listener(),
            },
            401,
            "no-key",
            NotRun,
            None,
        ),
        (
            TenantKeyMissingInBody {
                listener: listener(),
            },
            401,
            "no-key",
            NotRun,
            None,
        ),
        (TenantKeyMissingInLookup, 401, "no-key", NotRun, None),
        (TenantKeyUnknown, 401, "unknown-key", NotRun, None),
        (TenantKeyRevoked, 401, "unknown-key", NotRun, None),
        (DuplicateRequest, 409, "job-under-way", Unknown, None),
        (
            ModelMissing {
                location: "body field model".into(),
            },
            400,
            "no-model",
            NotRun,
            None,
        ),
        (NoHomeRegion, 503, "no-place", NotRun, Some(1_000)),
        (MappingInvalidated, 503, "mapping-void", NotRun, Some(1_000)),
        (MappingUnstable, 503, "mapping-void", NotRun, Some(1_000)),
        (LookupTimedOut, 503, "no-mapping", NotRun, Some(1_000)),
        (
            DirectoryUnavailable { outcome: NotRun },
            503,
            "no-directory",
            NotRun,
            Some(1_000),
        ),
        (
            DirectoryUnavailable { outcome: Unknown },
            503,
            "no-directory",
            Unknown,
            Some(1_000),
        ),
        (NoDirectoryForBody, 503, "no-directory", NotRun, Some(2_000)),
        (DirectoryLost, 502, "directory-lost", Unknown, Some(1_000)),
        (
            DeadlinePassed { outcome: NotRun },
            504,
            "deadline",
            NotRun,
            Some(1_000),
        ),
        (
            DeadlinePassed { outcome: Unknown },
            504,
            "deadline",
            Unknown,
            Some(1_000),
        ),
        (
            ZoneUnknown { zone: "z".into() },
            400,
            "unknown-zone",
            NotRun,
            None,
        ),
        (NoRouter, 503, "no-router", NotRun, Some(2_000)),
    ];
    for (rejection, status, code, outcome, retry_after_ms) in cases {
        let text = rejection.to_string();
        let seen = Rejection::from(rejection);
        assert_eq!(
            (seen.status, seen.code.as_str(), seen.outcome),
            (status, code, outcome),
            "{text}"
        );
        assert_eq!(seen.retry_after_ms, retry_after_ms, "{text}");
        assert_eq!(seen.text, text);
    }
}
