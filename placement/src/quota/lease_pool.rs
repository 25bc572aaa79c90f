//! One tenant's pool at the leader: what it lends to which router.

use super::lease_account::LeaseAccount;
use super::tolerance::{refill, window_limit_of_half, QuotaSplit};
use protocol::{QuotaDemand, RouterDemand};
use std::collections::BTreeMap;

/// Added to the demand of each router that has any, in requests, so that a router with little
/// demand gets more than its proportion: little demand varies by more of itself.
const EVEN_SHARE_REQUESTS: f64 = 4.0;
/// Parts grow with this power of demand, less than proportionally, for the same reason: the
/// deviation of demand grows with its square root.
const DEMAND_EXPONENT: f64 = 0.7;

/// What a leader knows of what was admitted before its term.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Readiness {
    /// Routers may use parts that it does not know of.
    Unknown,
    /// All processes started within the window, and the earlier half of what was admitted
    /// before has left it.
    Restarted,
    /// Everything in the window.
    Known,
}

/// A router's weight in the division of the pool.
fn weight(wanted: u64) -> f64 {
    if wanted > 0 {
        (wanted as f64 + EVEN_SHARE_REQUESTS).powf(DEMAND_EXPONENT)
    } else {
        0.0
    }
}

/// The parts that a readiness allows to use.
#[derive(Clone, Copy)]
struct Parts {
    floor: u64,
    pool: u64,
    /// The floor of the router that is answered.
    own_floor: u64,
}

/// The bounds on an answer, from the accounts of all routers.
struct Claims {
    /// Requests of the window that other routers keep, floors apart.
    reserved: u64,
    /// Requests of the window that nobody has used; negative if there are too many.
    unused: i64,
    /// Requests of half a window that others leave.
    half_window_left: u64,
    /// Requests that are lent to others and not used.
    outstanding: u64,
    /// The weights of all routers.
    weights: f64,
}

/// One tenant's pool. Invariant: when a part is raised, what all routers have reserved is no
/// more than the pool. `level` keeps the rate over a time longer than a window, and may be
/// negative.
pub(super) struct TenantPool {
    /// The rate that was saved up, in requests.
    level: f64,
    refilled_at_ms: u64,
    split: QuotaSplit,
    /// The split that is to be in force, and since when.
    next_split: QuotaSplit,
    next_since_ms: u64,
    requests_per_s: u64,
    accounts: BTreeMap<String, LeaseAccount>,
}

impl TenantPool {
    /// A pool with all of its rate saved up.
    pub(super) fn new(now: u64, split: QuotaSplit, requests_per_s: u64) -> TenantPool {
        TenantPool {
            level: split.capacity(),
            refilled_at_ms: now,
            split,
            next_split: split,
            next_since_ms: now,
            requests_per_s,
            accounts: BTreeMap::new(),
        }
    }

    /// A smaller pool is in force at once. A larger one waits for a window, until routers know
    /// of smaller floors.
    pub(super) fn update_split(
        &mut self,
        now: u64,
        split: QuotaSplit,
        requests_per_s: u64,
        window_ms: u64,
    ) {
        self.requests_per_s = requests_per_s;
        if self.next_split != split {
            (self.next_split, self.next_since_ms) = (split, now);
        }
        if split.pool <= self.split.pool || now >= self.next_since_ms + window_ms {
            self.split = split;
        }
    }

    /// Drops the accounts of routers that are not known any more.
    pub(super) fn retain_routers(&mut self, is_known: impl Fn(&str) -> bool) {
        self.accounts.retain(|name, _| is_known(name));
    }

    /// A router restarted.
    pub(super) fn restart_router(
        &mut self,
        now: u64,
        router: &str,
        incarnation: u64,
        window_ms: u64,
    ) {
        if let Some(account) = self.accounts.get_mut(router) {
            let former = account.reserved(now, window_ms, self.split.floor);
            *account = LeaseAccount::after_restart(incarnation, former, now + window_ms);
        }
    }

    /// A router admits nothing any more.
    pub(super) fn close_router(&mut self, now: u64, router: &str, window_ms: u64) {
        if let Some(account) = self.accounts.get_mut(router) {
            account.close(now, window_ms);
        }
    }

    /// The count up to which the router may admit. `None`: it keeps the part that it has,
    /// while the leader does not know what is used, and where more is used, or has to be taken
    /// for used, than there is (after a quota was lowered).
    pub(super) fn allocate(
        &mut self,
        now: u64,
        from: &RouterDemand,
        demand: &QuotaDemand,
        window_ms: u64,
        readiness: Readiness,
    ) -> Option<u64> {
        let known_accounts = self.accounts.len() as u64;
        self.refill(now);
        let account = self.accounts.entry(from.router.clone()).or_default();
        self.level -= account.record_demand(now, from, demand, window_ms) as f64;
        if account.is_returned() {
            return None;
        }
        if readiness == Readiness::Unknown {
            return self.kept_limit(now, from, demand, window_ms);
        }
        let parts = self.parts(readiness, from.incarnation_age_ms < window_ms);
        let (window_from_ms, half_from_ms) = (
            now.saturating_sub(window_ms),
            now.saturating_sub(window_ms / 2),
        );
        let account = self.accounts.get(&from.router).expect("inserted above");
        let used = account.used_since(window_from_ms);
        let used_in_half = account.used_since(half_from_ms);
        let claims = self.claims(now, &from.router, window_ms, parts, known_accounts);
        if claims.reserved + used.saturating_sub(parts.own_floor) > parts.pool {
            return None;
        }
        let level = self.level.max(0.0);
        let share = (claims.unused.max(0) as f64).min(level) * weight(demand.wanted)
            / claims.weights.max(1.0);
        let room = (parts.pool + parts.own_floor).saturating_sub(claims.reserved + used);
        let half_room = window_limit_of_half(claims.half_window_left);
        let lent = (share.round() as u64)
            .min(room)
            .min(half_room.saturating_sub(used.max(used_in_half)))
            .min((level as u64).saturating_sub(claims.outstanding));
        let limit = demand.admitted + lent;
        let window_part = (used + lent).saturating_sub(parts.own_floor);
        let account = self.accounts.get_mut(&from.router).expect("inserted above");
        account.record_grant(from.heartbeat, window_part, limit);
        Some(limit)
    }

    /// The count up to which an owner may admit while the leader does not know what others
    /// have: the part that it has, for longer. Where routers have floors they go on by these.
    fn kept_limit(
        &mut self,
        now: u64,
        from: &RouterDemand,
        demand: &QuotaDemand,
        window_ms: u64,
    ) -> Option<u64> {
        let window_part = demand.queued;
        if !self.split.is_pooled || window_part == 0 {
            return None;
        }
        let account = self.accounts.get_mut(&from.router)?;
        let used = account.used_since(now.saturating_sub(window_ms));
        let lent = window_part.saturating_sub(used);
        let limit = demand.admitted + lent;
        account.record_grant(from.heartbeat, used + lent, limit);
        Some(limit)
    }

    fn refill(&mut self, now: u64) {
        let elapsed_ms = now.saturating_sub(self.refilled_at_ms);
        let gained = refill(elapsed_ms, self.requests_per_s);
        self.level = (self.level + gained).min(self.split.capacity());
        self.refilled_at_ms = self.refilled_at_ms.max(now);
    }

    fn parts(&self, readiness: Readiness, is_starting: bool) -> Parts {
        let split = &self.split;
        let (floor, pool) = match readiness {
            Readiness::Restarted => (split.startup_floor, split.restart_pool),
            _ => (split.floor, split.pool),
        };
        // A router that started within the window has no floor yet: what it used past its
        // startup floor counts as lent.
        let own_floor = if is_starting {
            split.startup_floor.min(floor)
        } else {
            floor
        };
        Parts {
            floor,
            pool,
            own_floor,
        }
    }

    /// What all accounts leave for the answer to one router.
    fn claims(
        &self,
        now: u64,
        router: &str,
        window_ms: u64,
        parts: Parts,
        known_accounts: u64,
    ) -> Claims {
        let (window_from_ms, half_from_ms) = (
            now.saturating_sub(window_ms),
            now.saturating_sub(window_ms / 2),
        );
        let own = &self.accounts[router];
        let own_reserved = own.former(now);
        let own_unused = parts.pool as i64 + parts.own_floor as i64
            - (own.used_since(window_from_ms) + own_reserved) as i64;
        let mut claims = Claims {
            reserved: own_reserved,
            unused: own_unused,
            // Parts that move within half a window would exceed its limit otherwise.
            half_window_left: self.split.half_window_total(known_accounts),
            outstanding: 0,
            weights: weight(own.wanted()),
        };
        for (_, other) in self.accounts.iter().filter(|(name, _)| *name != router) {
            let reserved = other.reserved(now, window_ms, parts.floor);
            let in_half = if other.is_returned() {
                0
            } else {
                self.split.half_window_limit(parts.floor + reserved)
            };
            let floor = if other.wanted() > 0 { parts.floor } else { 0 };
            claims.reserved += reserved;
            claims.half_window_left = claims
                .half_window_left
                .saturating_sub(in_half.max(other.used_since(half_from_ms)));
            claims.unused +=
                floor as i64 - other.used_since(window_from_ms) as i64 - other.former(now) as i64;
            claims.outstanding += other.outstanding();
            claims.weights += weight(other.wanted());
        }
        claims
    }
}
