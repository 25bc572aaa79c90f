//! The field names of the topology file. They are an external format, kept for files
//! and programs that exist; the code uses the standard terms beside them.

pub(super) const ZONES: &str = "zones";
pub(super) const CELLS: &str = "cells";
pub(super) const SERVICES: &str = "services";
pub(super) const TENANTS: &str = "tenants";
pub(super) const RULES: &str = "rules";
pub(super) const LIMITS: &str = "limits";
/// [`super::Topology::is_near_first`].
pub(super) const NEAR: &str = "near";

/// Of a zone.
pub(super) const REGION: &str = "region";
/// Of a cell.
pub(super) const ZONE: &str = "zone";

/// Of a service or a tenant.
pub(super) const HOMES: &str = "homes";

/// Of a service: [`super::Service::max_connections`].
pub(super) const CONNECTIONS: &str = "connections";
/// Of a service: [`super::Service::warm_up_ms`], as a duration.
pub(super) const WARM: &str = "warm";
/// Of a service: [`super::Service::warm_up_requests_per_s`].
pub(super) const WARM_PACE: &str = "warm_pace";

/// Of a tenant: [`super::Tenant::requests_per_s`].
pub(super) const PACE: &str = "pace";
pub(super) const BURST: &str = "burst";
/// Of a tenant: [`super::Tenant::fresh_ms`], as a duration.
pub(super) const FRESH: &str = "fresh";
/// Of a tenant: [`super::Tenant::expire_ms`], as a duration.
pub(super) const EXPIRE: &str = "expire";
pub(super) const URGENCY: &str = "urgency";
/// Of a tenant: the digests of its keys.
pub(super) const KEYS: &str = "keys";

/// Of the limits: [`crate::RequestLimits::max_head_bytes`].
pub(super) const HEAD: &str = "head";
/// Of the limits: [`crate::RequestLimits::body_limit_bytes`].
pub(super) const BODY: &str = "body";
/// Of the limits: [`crate::RequestLimits::head_timeout_ms`], as a duration.
pub(super) const HEAD_WAIT: &str = "head_wait";
/// Of the limits: [`crate::RequestLimits::idle_timeout_ms`], as a duration.
pub(super) const IDLE: &str = "idle";
