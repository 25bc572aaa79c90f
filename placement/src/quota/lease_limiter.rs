//! Tenants' quotas over all routers, without a job that ever waits: what a
//! router may admit lies there before the job comes.
//!
//! Two things bind a router. Its part of the margin: what it admits in any window
//! never passes that part, and the parts of all never pass the whole, whoever
//! hears of whom. And its part of the rate: what the leader lent it, or what a
//! bucket of its own brings in meanwhile. A part is moved from one router to
//! another only as far as it is known not to be used in the window.
//!
//! Both sides speak of counts since the admitting process began, never of
//! differences, so that a beat or an answer that is lost, late or said twice
//! changes nothing.

use protocol::{QuotaDemand, QuotaGrant, RouterDemand, RouterGrants, LEASE_MS, RECENT_SPANS_MS};
use std::collections::{BTreeMap, VecDeque};

/// How long a router keeps its part without a word, counted from when it asked
/// last. The leader keeps it for that router for as long, and a window.
pub const QUOTA_LEASE_MS: u64 = 60_000;
/// A tenant that nobody asked for during this time gives back what it was lent.
/// Invariant: longer than `RECENT_SPANS_MS`, so that a tenant that a router does not
/// speak of has admitted nothing there lately.
const RECENT_MS: u64 = 60_000;
/// Over how long a tenant's demand is smoothed.
const SMOOTH_MS: f64 = 10_000.0;
/// A demand younger than this is not taken for more than it is.
const YOUNG_MS: u64 = 1_000;
/// Asked for by each that asks at all, besides what it does: jobs a smoothing.
const EVEN: f64 = 4.0;
/// Parts grow with demand, but less: what it varies by grows with its root.
const GROWTH: f64 = 0.7;
/// Answers that are kept one by one.
const GIVEN: usize = 8;
/// Lives of a router that the leader knows to be over.
const FORMER: usize = 4;

/// How far past its quota a tenant may get: in any window of `window_ms`, what
/// rate and burst allow times `overrun`, and `extra` jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    pub overrun_factor: f64,
    pub extra_requests: f64,
    pub window_ms: u64,
}

/// What is kept for processes that began within the window, of the whole: what
/// they did in a former life nobody may know, where all were lost at once.
pub const STARTUP_RESERVE_RATIO: f64 = 0.25;
/// What a router may use of its part of a window within half a window, so that it
/// is known how much of what was used before a loss can still count.
const HALF: f64 = 0.7;

fn within_half(part: u64) -> u64 {
    (part as f64 * HALF).ceil() as u64
}

/// How what the margin allows in a window is divided. Invariant: all openings, all
/// floors and the pool together are no more than that.
#[derive(Clone, Copy, PartialEq)]
struct Depth {
    /// Each router's own part, in whole jobs.
    floor: u64,
    /// The part of one that began within the window, in place of the floor.
    opening: u64,
    /// What the leader lends.
    pool: u64,
    /// What it lends where all processes began within the window, and the earlier
    /// half of it is over.
    reborn: u64,
    all: u64,
}

impl QuotaTolerance {
    /// Half of it lies at the routers, as far as that is a whole job for each.
    fn depth(&self, rate: u64, burst: u64, routers: usize) -> Depth {
        let refill = (rate * self.window_ms) as f64 / 1_000.0;
        let all =
            ((refill + burst as f64) * self.overrun_factor + self.extra_requests).max(0.0) as u64;
        let routers = routers.max(1) as u64;
        let opening = (all as f64 * STARTUP_RESERVE_RATIO) as u64 / routers;
        let whole = all;
        let all = all - opening * routers;
        let floor = all / 2 / routers;
        // Each router's half is rounded up.
        let reborn = whole.saturating_sub(within_half(all) + routers + opening * routers);
        Depth {
            floor,
            opening,
            pool: all - floor * routers,
            reborn,
            all,
        }
    }
}

impl Depth {
    /// How much of the rate is saved up.
    fn saved(&self) -> f64 {
        self.all as f64
    }
}

/// Jobs by when they were admitted, or heard of, as far back as asked for.
#[derive(Default)]
struct Counts(VecDeque<(u64, u64)>);

impl Counts {
    fn add(&mut self, now: u64, jobs: u64) {
        match self.0.back_mut() {
            _ if jobs == 0 => {}
            Some((at, count)) if now <= *at => *count += jobs,
            _ => self.0.push_back((now, jobs)),
        }
    }

    /// By what was said of the spans before now: each taken to its end.
    fn told(now: u64, lately: &[u64; 4]) -> Counts {
        let mut counts = Counts::default();
        for at in (0..lately.len()).rev() {
            let (inner, ago) = if at > 0 {
                (lately[at - 1], RECENT_SPANS_MS[at - 1])
            } else {
                (0, 0)
            };
            counts.add(now.saturating_sub(ago), lately[at].saturating_sub(inner));
        }
        counts
    }

    fn forget(&mut self, until: u64) {
        while self.0.front().is_some_and(|(at, _)| *at < until) {
            self.0.pop_front();
        }
    }

    fn since(&self, from: u64) -> u64 {
        self.0
            .iter()
            .rev()
            .take_while(|(at, _)| *at >= from)
            .map(|(_, count)| count)
            .sum()
    }
}

fn tokens(elapsed: u64, rate: u64) -> f64 {
    (elapsed * rate) as f64 / 1_000.0
}

/// One tenant at one router. Invariants: `used` is only counted up; what was
/// admitted in any window is no more than the floor and `part`; `limit` and `part`
/// come from the answer to the beat `taken`, and no answer to an earlier one is
/// taken any more.
struct Tap {
    used: u64,
    limit: u64,
    part: u64,
    until: u64,
    taken: u64,
    /// What its own part of the rate brought in.
    bucket: f64,
    filled: u64,
    depth: Depth,
    rate: u64,
    seen: u64,
    /// Jobs asked for, smoothed; since when, and when it was worked out last.
    asked: f64,
    since: u64,
    faded: u64,
    /// The beat that told the leader that nothing is kept here, and whether an
    /// answer to it has come.
    idle: Option<u64>,
    is_told: bool,
    counts: Counts,
}

impl Tap {
    fn refill(&mut self, now: u64, routers: usize) {
        if now >= self.until {
            (self.part, self.limit) = (0, self.limit.min(self.used));
        }
        let gained = tokens(now.saturating_sub(self.filled), self.rate) / routers as f64;
        self.bucket = (self.bucket + gained).min((self.depth.floor + self.part) as f64);
        self.filled = self.filled.max(now);
    }

    /// Keeps a smaller pool to the same part of it.
    fn shrink(&mut self, depth: Depth, number: u64) {
        if depth.pool < self.depth.pool {
            let lent = self.limit.saturating_sub(self.used);
            self.part = self.part * depth.pool / self.depth.pool;
            self.limit = self.used + lent * depth.pool / self.depth.pool;
            self.taken = self.taken.max(number);
        }
        self.depth = depth;
    }

    fn fade(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.faded) as f64;
        self.asked *= (-elapsed / SMOOTH_MS).exp();
        self.faded = self.faded.max(now);
    }

    /// Jobs asked for in such a time: one that was asked for first just now is
    /// taken to go on.
    fn asked(&self, now: u64) -> u64 {
        let age = now.saturating_sub(self.since).max(YOUNG_MS) as f64;
        (self.asked / (1.0 - (-age / SMOOTH_MS).exp())).ceil() as u64
    }
}

/// The tenants' taps at one router. Invariants: `life` is another one for each
/// start of a process; no tap is ever dropped, since its counts go on; for a
/// window after a start there is the opening alone, since a former life may have
/// used the floor.
pub struct LeaseRateLimiter {
    life: u64,
    began: u64,
    margin: QuotaTolerance,
    taps: BTreeMap<String, Tap>,
    /// The last beat's number.
    number: u64,
    /// The most routers known in this span of `QUOTA_LEASE_MS`, and in the one before:
    /// who is cut off hears of fewer, and must not take their parts.
    routers: [(u64, usize); 2],
}

impl LeaseRateLimiter {
    pub fn new(now: u64, life: u64, margin: QuotaTolerance) -> LeaseRateLimiter {
        let routers = [(now / QUOTA_LEASE_MS, 0), (0, 0)];
        LeaseRateLimiter {
            life,
            began: now,
            margin,
            taps: BTreeMap::new(),
            number: 0,
            routers,
        }
    }

    fn routers(&mut self, now: u64, routers: usize) -> usize {
        let span = now / QUOTA_LEASE_MS;
        if span > self.routers[0].0 {
            let last = if span == self.routers[0].0 + 1 {
                self.routers[0].1
            } else {
                0
            };
            self.routers = [(span, routers), (span - 1, last)];
        }
        self.routers[0].1 = self.routers[0].1.max(routers);
        self.routers[0].1.max(self.routers[1].1)
    }

    /// Whether a job may go, at once. `routers` is how many there are as far as is
    /// known, this one too; 0 stands for not known, and then none may. Invariant: a
    /// new router is counted by all within a window, while it has no floor.
    pub fn admit(&mut self, now: u64, tenant: &str, rate: u64, burst: u64, routers: usize) -> bool {
        let routers = self.routers(now, routers);
        if routers == 0 {
            return false;
        }
        let depth = self.margin.depth(rate, burst, routers);
        let (began, window) = (self.began, self.margin.window_ms);
        let tap = self.taps.entry(tenant.to_string()).or_insert_with(|| Tap {
            used: 0,
            limit: 0,
            part: 0,
            until: 0,
            taken: 0,
            bucket: 0.0,
            filled: began,
            depth,
            rate,
            seen: now,
            asked: 0.0,
            since: now,
            faded: now,
            idle: None,
            is_told: true,
            counts: Counts::default(),
        });
        tap.refill(now, routers);
        if tap.rate != rate || tap.depth != depth {
            tap.shrink(depth, self.number);
            tap.rate = rate;
        }
        tap.fade(now);
        tap.asked += 1.0;
        tap.seen = now;
        (tap.idle, tap.is_told) = (None, false);
        let is_young = now < began + window;
        let most = tap.part + if is_young { depth.opening } else { depth.floor };
        let lately = tap.counts.since(now.saturating_sub(window / 2));
        let is_full = tap.counts.since(now.saturating_sub(window)) >= most
            || !is_young && lately >= within_half(most);
        let is_lent = tap.used < tap.limit;
        // A young router's opening is small enough to go at once.
        let is_free = is_lent || is_young || tap.bucket >= 1.0;
        if rate == 0 || is_full || !is_free {
            return false;
        }
        if !is_lent {
            tap.bucket = (tap.bucket - 1.0).max(0.0);
        }
        tap.used += 1;
        tap.counts
            .forget(now.saturating_sub(RECENT_SPANS_MS[3].max(window)));
        tap.counts.add(now, 1);
        true
    }

    /// What to say with the beat of this number: of the tenants that were asked
    /// for of late, and of those of which the leader may not know that they
    /// weren't.
    pub fn demand(&mut self, now: u64, front: &str, number: u64) -> RouterDemand {
        self.number = self.number.max(number);
        let taps = self.taps.iter_mut().filter(|(_, tap)| !tap.is_told);
        let demands = taps.map(|(tenant, tap)| {
            tap.fade(now);
            let is_idle = now >= tap.seen + RECENT_MS;
            if is_idle || now >= tap.until {
                (tap.part, tap.limit) = (0, tap.limit.min(tap.used));
            }
            if is_idle {
                let first = *tap.idle.get_or_insert(number);
                tap.taken = tap.taken.max(first.saturating_sub(1));
            }
            QuotaDemand {
                tenant: tenant.clone(),
                admitted: tap.used,
                limit: tap.limit,
                grant_floor: tap.taken,
                queued: tap.part,
                wanted: if is_idle { 0 } else { tap.asked(now) },
                recently_admitted: RECENT_SPANS_MS
                    .map(|span| tap.counts.since(now.saturating_sub(span))),
            }
        });
        let demands = demands.collect();
        let age_ms = now.saturating_sub(self.began);
        RouterDemand {
            router: front.into(),
            incarnation: self.life,
            heartbeat: number,
            incarnation_age_ms: age_ms,
            demands,
        }
    }

    /// Takes the leader's answer to the beat of this number, which may be taken
    /// until `until`, `LEASE_MS` after the beat was sent. Invariant: it is an
    /// answer to a beat of this life, which a connection that ends with the process
    /// makes sure of.
    pub fn apply_shares(&mut self, now: u64, number: u64, until: u64, shares: &[QuotaGrant]) {
        if now >= until {
            return;
        }
        let window = self.margin.window_ms;
        for share in shares {
            let Some(tap) = self.taps.get_mut(&share.tenant) else {
                continue;
            };
            if number <= tap.taken {
                continue;
            }
            let counted = tap.counts.since(now.saturating_sub(window));
            let is_young = now < self.began + window;
            let floor = if is_young {
                tap.depth.opening
            } else {
                tap.depth.floor
            };
            tap.taken = number;
            tap.limit = share.limit;
            tap.part = (counted + share.limit.saturating_sub(tap.used)).saturating_sub(floor);
            tap.until = until - LEASE_MS.min(until) + QUOTA_LEASE_MS;
            tap.is_told = tap.idle.is_some_and(|idle| idle <= number);
        }
    }
}

/// A router as the leader knows it. Invariant: `former` holds no `life` that may
/// still go on.
struct Router {
    life: u64,
    number: u64,
    heard: u64,
    former: VecDeque<u64>,
}

/// One tenant at one router, as the leader knows it. Invariant: its part there is
/// no more than the highest of `part`, of what is in `given`, and of what it has
/// used in the window.
#[derive(Default)]
struct Account {
    life: u64,
    used: u64,
    part: u64,
    limit: u64,
    /// Answers not known to have been passed over: to which beat, the part and
    /// the limit.
    given: Vec<(u64, u64, u64)>,
    asked: u64,
    counts: Counts,
    /// What a former life may have used, and until when that is in the window.
    former: u64,
    former_until: u64,
}

impl Account {
    /// What it has used in the window beyond its floor.
    fn beyond(&self, now: u64, window: u64, floor: u64) -> u64 {
        self.counts
            .since(now.saturating_sub(window))
            .saturating_sub(floor)
    }

    fn held(&self, now: u64, window: u64, floor: u64) -> u64 {
        let given = self.given.iter().map(|(_, part, _)| *part);
        let part = given
            .fold(self.part, u64::max)
            .max(self.beyond(now, window, floor));
        part + self.former(now)
    }

    /// Where no answer comes through, older ones are kept as one.
    fn give(&mut self, number: u64, part: u64, limit: u64) {
        self.given.push((number, part, limit));
        if self.given.len() > GIVEN {
            let (_, part, limit) = self.given.remove(0);
            self.given[0] = (
                self.given[0].0,
                self.given[0].1.max(part),
                self.given[0].2.max(limit),
            );
        }
    }

    fn former(&self, now: u64) -> u64 {
        if now < self.former_until {
            self.former
        } else {
            0
        }
    }

    fn open(&self) -> u64 {
        let limit = self
            .given
            .iter()
            .map(|(.., limit)| *limit)
            .fold(self.limit, u64::max);
        limit.saturating_sub(self.used)
    }
}

/// One tenant's pool. Invariant: what all routers hold is never more than the
/// pool's depth when a part is raised. `level` keeps the rate over a time longer
/// than a window, and may go below zero.
struct Pool {
    level: f64,
    filled: u64,
    depth: Depth,
    /// What it is to be, and since when.
    wanted: (Depth, u64),
    rate: u64,
    accounts: BTreeMap<String, Account>,
}

/// The tenants' pools at the leader. A new one knows nobody, and raises no part
/// until it has heard from all that may have one.
pub struct QuotaLeaseAllocator {
    margin: QuotaTolerance,
    routers: BTreeMap<String, Router>,
    pools: BTreeMap<String, Pool>,
    since: u64,
    /// Until when former lives that this leader has not known may be in a window.
    ready: u64,
    has_heard_all: bool,
    /// A router was heard that began more than a window ago.
    has_mature: bool,
}

/// What a leader knows of what was used before it led.
#[derive(Clone, Copy, PartialEq)]
enum Readiness {
    None,
    /// All that was used before all processes began is half over.
    Reborn,
    Full,
}

impl QuotaLeaseAllocator {
    /// Of a leader that begins now.
    pub fn new(now: u64, margin: QuotaTolerance) -> QuotaLeaseAllocator {
        let (routers, pools) = (BTreeMap::new(), BTreeMap::new());
        QuotaLeaseAllocator {
            margin,
            routers,
            pools,
            since: now,
            ready: 0,
            has_heard_all: false,
            has_mature: false,
        }
    }

    /// A router said that it admits nothing any more; what it has used stays in
    /// the window.
    pub fn router_left(&mut self, now: u64, front: &str) {
        let window = self.margin.window_ms;
        if let Some(router) = self.routers.get_mut(front) {
            router.heard = router.heard.min(now.saturating_sub(QUOTA_LEASE_MS));
        }
        for pool in self.pools.values_mut() {
            if let Some(account) = pool.accounts.get_mut(front) {
                (account.part, account.limit, account.asked) = (0, account.used, 0);
                account.given.clear();
                account.counts.forget(now.saturating_sub(window));
            }
        }
    }

    /// Answers the demands of one beat; `routers` is how many were known in the
    /// last `QUOTA_LEASE_MS`, also silent ones, but for those that left; `terms` gives a tenant's rate and burst.
    pub fn allocate(
        &mut self,
        now: u64,
        from: &RouterDemand,
        routers: usize,
        terms: impl Fn(&str) -> Option<(u64, u64)>,
    ) -> RouterGrants {
        let mut answer = RouterGrants {
            router: from.router.clone(),
            heartbeat: from.heartbeat,
            grants: Vec::new(),
        };
        let window = self.margin.window_ms;
        self.routers
            .retain(|_, router| now < router.heard + QUOTA_LEASE_MS + window);
        if !self.hear(now, from, routers) {
            return answer;
        }
        // Where all processes were lost, only the later half of what they had used
        // is in the window by the time that half a window has passed.
        let is_reborn = now + window / 2 >= self.ready && !self.has_mature;
        let readiness = match self.has_heard_all {
            true if now >= self.ready => Readiness::Full,
            true if is_reborn => Readiness::Reborn,
            _ => Readiness::None,
        };
        let all = routers.max(1);
        for demand in &from.demands {
            let Some((rate, burst)) = terms(&demand.tenant).filter(|terms| terms.0 > 0) else {
                continue;
            };
            let depth = self.margin.depth(rate, burst, all);
            let pool = self
                .pools
                .entry(demand.tenant.clone())
                .or_insert_with(|| Pool {
                    level: depth.saved(),
                    filled: now,
                    depth,
                    wanted: (depth, now),
                    rate,
                    accounts: BTreeMap::new(),
                });
            pool.adapt(now, rate, depth, window);
            pool.accounts
                .retain(|name, _| self.routers.contains_key(name));
            let limit = pool.answer(now, from, demand, window, readiness);
            let share = limit.map(|limit| (demand.tenant.clone(), limit));
            answer
                .grants
                .extend(share.map(|(tenant, limit)| QuotaGrant {
                    tenant,
                    limit,
                    queue_wait_ms: 0,
                }));
        }
        answer
    }

    /// Whether the beat is news.
    fn hear(&mut self, now: u64, from: &RouterDemand, routers: usize) -> bool {
        let (life, number) = (from.incarnation, from.heartbeat);
        let is_new = !self.routers.contains_key(&from.router);
        let router = self.routers.entry(from.router.clone()).or_insert(Router {
            life,
            number,
            heard: now,
            former: VecDeque::new(),
        });
        let is_late = match router.life == life {
            true => !is_new && number <= router.number,
            false => router.former.contains(&life),
        };
        if is_late {
            return false;
        }
        if router.life != life {
            router.former.push_back(router.life);
            if router.former.len() > FORMER {
                router.former.pop_front();
            }
            let window = self.margin.window_ms;
            for pool in self.pools.values_mut() {
                if let Some(account) = pool.accounts.get_mut(&from.router) {
                    // What the former life had it may have used.
                    let former = account.held(now, window, pool.depth.floor);
                    let former_until = now + window;
                    *account = Account {
                        life,
                        former,
                        former_until,
                        ..Account::default()
                    };
                }
            }
        }
        (router.life, router.number, router.heard) = (life, number, now);
        if !self.has_heard_all {
            if is_new {
                let born = now.saturating_sub(from.incarnation_age_ms);
                self.ready = self.ready.max(born + self.margin.window_ms);
                self.has_mature |= from.incarnation_age_ms >= self.margin.window_ms;
            }
            // Before that they may yet take answers of another leader.
            let settled = self.since + LEASE_MS;
            let heard = self
                .routers
                .values()
                .filter(|router| router.heard >= settled)
                .count();
            let is_long = now >= self.since + QUOTA_LEASE_MS + self.margin.window_ms;
            self.has_heard_all = heard >= routers && now >= settled || is_long;
        }
        true
    }
}

impl Pool {
    /// A deeper pool waits for a window, until routers know of smaller floors.
    fn adapt(&mut self, now: u64, rate: u64, depth: Depth, window: u64) {
        self.rate = rate;
        if self.wanted.0 != depth {
            self.wanted = (depth, now);
        }
        if depth.pool <= self.depth.pool || now >= self.wanted.1 + window {
            self.depth = depth;
        }
    }

    /// How far the router may count. Without a word it keeps the part that it has:
    /// while a leader is new, and where what was used by larger terms, or is only
    /// taken to have been used, is more than there is.
    fn answer(
        &mut self,
        now: u64,
        from: &RouterDemand,
        demand: &QuotaDemand,
        window: u64,
        readiness: Readiness,
    ) -> Option<u64> {
        let Depth {
            floor,
            opening,
            pool,
            reborn,
            ..
        } = self.depth;
        let (floor, pool) = match readiness {
            Readiness::Reborn => (opening, reborn),
            _ => (floor, pool),
        };
        let gained = tokens(now.saturating_sub(self.filled), self.rate);
        self.level = (self.level + gained).min(self.depth.saved());
        self.filled = self.filled.max(now);
        let all_accounts = self.accounts.len() as u64;
        let account = self.accounts.entry(from.router.clone()).or_default();
        let charged = if account.life == from.incarnation {
            demand.admitted.saturating_sub(account.used)
        } else {
            // What it admitted before this leader knew of it is in the window, but
            // was charged by another.
            account.life = from.incarnation;
            account.counts = Counts::told(now, &demand.recently_admitted);
            0
        };
        account.counts.forget(now.saturating_sub(window));
        account.counts.add(now, charged);
        account.used = demand.admitted;
        (account.part, account.limit, account.asked) = (demand.queued, demand.limit, demand.wanted);
        account.given.retain(|(to, ..)| *to > demand.grant_floor);
        self.level -= charged as f64;
        if readiness == Readiness::None {
            return None;
        }
        // A young router has no floor yet: what it used past its opening is of its
        // part.
        let own = if from.incarnation_age_ms < window {
            opening.min(floor)
        } else {
            floor
        };
        let from_at = now.saturating_sub(window);
        let used = account.counts.since(from_at);
        let half_from = now.saturating_sub(window / 2);
        let used_half = account.counts.since(half_from);
        let weigh = |asked: u64| {
            if asked > 0 {
                (asked as f64 + EVEN).powf(GROWTH)
            } else {
                0.0
            }
        };
        // What may go within half a window, of all: parts that move within it would
        // go beyond it otherwise.
        let mut half = within_half(self.depth.all) + all_accounts;
        let (mut sum, mut open) = (weigh(demand.wanted), 0);
        // Parts that others keep, and what is left of the window in all.
        let mut held = account.former(now);
        let mut left = pool as i64 + own as i64 - (used + held) as i64;
        for (_, account) in self
            .accounts
            .iter()
            .filter(|(name, _)| **name != from.router)
        {
            held += account.held(now, window, floor);
            let most = within_half(floor + account.held(now, window, floor));
            half = half.saturating_sub(most.max(account.counts.since(half_from)));
            let own = if account.asked > 0 { floor } else { 0 };
            left += own as i64 - account.counts.since(from_at) as i64 - account.former(now) as i64;
            open += account.open();
            sum += weigh(account.asked);
        }
        if held + used.saturating_sub(own) > pool {
            return None;
        }
        let level = self.level.max(0.0);
        let due = (left.max(0) as f64).min(level) * weigh(demand.wanted) / sum.max(1.0);
        let room_half = (half as f64 / HALF) as u64;
        let room = (pool + own).saturating_sub(held + used);
        let room = room.min(room_half.saturating_sub(used.max(used_half)));
        let lent = (due.round() as u64)
            .min(room)
            .min((level as u64).saturating_sub(open));
        let limit = demand.admitted + lent;
        let account = self.accounts.get_mut(&from.router).expect("entered above");
        account.give(from.heartbeat, (used + lent).saturating_sub(own), limit);
        Some(limit)
    }
}
