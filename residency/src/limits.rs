//! Limits that operators set: on requests at the ingress, on the engines of a
//! service, and on a tenant.

use crate::Name;
use binrw::binrw;
use consensus::codec::{read_list, read_string, write_list, write_string};

/// What a client may send and how long it may take, at the ingress.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// The most bytes of a request's head.
    pub max_head_bytes: u64,
    /// The most bytes of a request's body.
    pub body_limit_bytes: u64,
    /// How long a client may take to send a request's head.
    pub head_timeout_ms: u64,
    /// How long a connection may lie idle between two requests.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_head_bytes: 64 << 10,
            body_limit_bytes: 1 << 30,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// What holds for each engine of a service.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLimits {
    /// The service's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub service: String,
    /// Connections that one engine accepts from all routers together; 0 stands for no
    /// limit.
    pub max_connections: u64,
    /// Requests a second that an engine takes while it warms up; 0 stands for no limit.
    pub warm_up_requests_per_s: u64,
    /// How long an engine warms up after it came.
    pub warm_up_ms: u64,
}

/// What holds for the requests of a tenant.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct TenantLimits {
    /// The tenant's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub tenant: String,
    /// Requests a second; 0 stands for no quota.
    pub requests_per_s: u64,
    /// The most requests that may come at once.
    pub burst: u64,
    /// The tenant's home regions; empty stands for any region.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub homes: Vec<Name>,
    /// Goes before the route's urgency; 255 stands for none.
    pub urgency: u8,
}
