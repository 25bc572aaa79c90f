//! Routers among themselves: one of them asks the owner of a tenant's quota lease to admit
//! a request.

use binrw::binrw;

/// What a limiter that admits by leases decides on a request.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is admitted, and counted.
    Admitted = 0,
    /// The tenant is past its quota.
    OverQuota = 1,
    /// Nothing is leased to this router; another one may have a lease.
    NoLease = 2,
}
