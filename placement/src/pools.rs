//! Tenants' quotas over all routers, without a job that ever waits: what a
//! router may admit lies there before the job comes.
//!
//! All that the fleet may admit is one token bucket, whose depth is what the
//! margin leaves. One part of it lies at the routers for good: each has a floor,
//! a bucket of its own, which fills with its part of the rate. The other is the
//! leader's pool, which is lent to the routers by demand, ahead of need. What is
//! admitted is charged to the pool, also what came from a floor.
//!
//! Both sides speak of counts since the admitting process began, never of
//! differences, so that a beat or an answer that is lost, late or said twice
//! changes nothing.

use std::collections::{BTreeMap, VecDeque};
use wire::{Demand, FrontDemand, FrontShares, Share, LATELY_MS, LICENCE_MS};

/// How long a router may use what it was lent, counted from when it asked; and
/// how long the leader reckons with a router that is silent.
pub const HOLD_MS: u64 = 60_000;
/// A tenant that nobody asked for during this time gives back what it was lent.
/// Invariant: longer than `LATELY_MS`, so that a tenant that a router does not
/// speak of has admitted nothing there lately.
const RECENT_MS: u64 = 20_000;
/// Jobs admitted within this time are kept as one.
const LATELY_GRAIN_MS: u64 = 100;
/// Over how long a tenant's demand is smoothed.
const SMOOTH_MS: f64 = 10_000.0;
/// Lives of a router that the leader knows to be over.
const FORMER: usize = 4;

/// How far past its quota a tenant may get: in any window of `window_ms`, what
/// rate and burst allow times `overrun`, and `extra` jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Margin {
    pub overrun: f64,
    pub extra: f64,
    pub window_ms: u64,
}

/// How the bucket is divided. Invariant: the pool and all floors together with
/// what comes in during a window are what the margin allows.
#[derive(Clone, Copy, PartialEq)]
struct Depth {
    /// Whole jobs, since a part of one admits nothing.
    floor: f64,
    pool: f64,
}

impl Margin {
    /// Half of the depth lies at the routers, as far as each gets a whole job.
    fn depth(&self, rate: u64, burst: u64, routers: usize) -> Depth {
        let refill = (rate * self.window_ms) as f64 / 1_000.0;
        let depth = ((refill + burst as f64) * self.overrun + self.extra - refill).max(0.0);
        let floor = (depth / 2.0 / routers.max(1) as f64).floor();
        Depth { floor, pool: depth - floor * routers.max(1) as f64 }
    }
}

fn tokens(elapsed: u64, rate: u64) -> f64 {
    (elapsed * rate) as f64 / 1_000.0
}

/// One tenant at one router. Invariants: `used` is only counted up; `limit` is
/// what the answer to the beat `taken` said, may be used only before `until`, and
/// no answer to an earlier beat is taken any more.
struct Tap {
    used: u64,
    limit: u64,
    until: u64,
    taken: u64,
    floor: f64,
    filled: u64,
    depth: Depth,
    rate: u64,
    seen: u64,
    /// Jobs asked for, smoothed; when it was worked out last.
    asked: f64,
    faded: u64,
    /// The beat that told the leader that nothing is kept here, and whether an
    /// answer to it has come.
    idle: Option<u64>,
    is_told: bool,
    /// When jobs were admitted, and how many, for as long as `LATELY_MS` asks.
    lately: VecDeque<(u64, u64)>,
}

impl Tap {
    fn refill(&mut self, now: u64, routers: usize) {
        let gained = tokens(now.saturating_sub(self.filled), self.rate) / routers as f64;
        self.floor = (self.floor + gained).min(self.depth.floor);
        self.filled = self.filled.max(now);
    }

    /// Keeps a smaller bucket to the same part of it.
    fn shrink(&mut self, depth: Depth, number: u64) {
        let part = (depth.pool / self.depth.pool.max(f64::MIN_POSITIVE)).min(1.0);
        let lent = self.limit.saturating_sub(self.used) as f64;
        if part < 1.0 {
            self.limit = self.used + (lent * part) as u64;
            self.taken = self.taken.max(number);
        }
        self.floor = self.floor.min(depth.floor);
        self.depth = depth;
    }

    fn fade(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.faded) as f64;
        self.asked *= (-elapsed / SMOOTH_MS).exp();
        self.faded = self.faded.max(now);
    }

    fn count(&mut self, now: u64) {
        self.used += 1;
        match self.lately.back_mut() {
            Some((at, count)) if now < *at + LATELY_GRAIN_MS => *count += 1,
            _ => self.lately.push_back((now, 1)),
        }
    }

    fn lately(&mut self, now: u64) -> [u64; 4] {
        let last = LATELY_MS[3] + LATELY_GRAIN_MS;
        while self.lately.front().is_some_and(|(at, _)| at + last < now) {
            self.lately.pop_front();
        }
        LATELY_MS.map(|span| {
            let is_inside = |(at, _): &&(u64, u64)| at + span + LATELY_GRAIN_MS >= now;
            self.lately.iter().filter(is_inside).map(|(_, count)| count).sum()
        })
    }
}

/// The tenants' taps at one router. Invariants: `life` is another one for each
/// start of a process; no tap is ever dropped, since its counts go on; floors
/// are empty when a process begins, so that starting often gains nothing.
pub struct Taps {
    life: u64,
    began: u64,
    margin: Margin,
    taps: BTreeMap<String, Tap>,
    /// The last beat's number.
    number: u64,
    /// The most routers known in this span of `HOLD_MS`, and in the one before:
    /// who is cut off hears of fewer, and must not take their parts.
    routers: [(u64, usize); 2],
}

impl Taps {
    pub fn new(now: u64, life: u64, margin: Margin) -> Taps {
        let routers = [(now / HOLD_MS, 1), (0, 1)];
        Taps { life, began: now, margin, taps: BTreeMap::new(), number: 0, routers }
    }

    fn routers(&mut self, now: u64, routers: usize) -> usize {
        let span = now / HOLD_MS;
        if span > self.routers[0].0 {
            let last = if span == self.routers[0].0 + 1 { self.routers[0].1 } else { 1 };
            self.routers = [(span, routers), (span - 1, last)];
        }
        self.routers[0].1 = self.routers[0].1.max(routers);
        self.routers[0].1.max(self.routers[1].1).max(1)
    }

    /// Whether a job may go, at once. `routers` is how many are known, this one
    /// too.
    pub fn admit(&mut self, now: u64, tenant: &str, rate: u64, burst: u64, routers: usize) -> bool {
        let routers = self.routers(now, routers);
        let depth = self.margin.depth(rate, burst, routers);
        let began = self.began;
        let tap = self.taps.entry(tenant.to_string()).or_insert_with(|| Tap {
            used: 0,
            limit: 0,
            until: 0,
            taken: 0,
            floor: 0.0,
            filled: began,
            depth,
            rate,
            seen: now,
            asked: 0.0,
            faded: now,
            idle: None,
            is_told: true,
            lately: VecDeque::new(),
        });
        if tap.rate != rate || tap.depth != depth {
            tap.refill(now, routers);
            tap.shrink(depth, self.number);
            tap.rate = rate;
        }
        tap.refill(now, routers);
        tap.fade(now);
        tap.asked += 1.0;
        tap.seen = now;
        (tap.idle, tap.is_told) = (None, false);
        let is_lent = now < tap.until && tap.used < tap.limit;
        if rate == 0 || !is_lent && tap.floor < 1.0 {
            return false;
        }
        if !is_lent {
            tap.floor -= 1.0;
        }
        tap.count(now);
        true
    }

    /// What to say with the beat of this number: of the tenants that were asked
    /// for of late, and of those of which the leader may not know that they
    /// weren't.
    pub fn demands(&mut self, now: u64, front: &str, number: u64) -> FrontDemand {
        self.number = self.number.max(number);
        let taps = self.taps.iter_mut().filter(|(_, tap)| !tap.is_told);
        let demands = taps.map(|(tenant, tap)| {
            tap.fade(now);
            let is_idle = now >= tap.seen + RECENT_MS;
            if is_idle || now >= tap.until {
                tap.limit = tap.limit.min(tap.used);
            }
            if is_idle {
                tap.idle.get_or_insert(number);
                tap.taken = tap.taken.max(number.saturating_sub(1));
            }
            Demand {
                tenant: tenant.clone(),
                used: tap.used,
                limit: tap.limit,
                floor: tap.taken,
                waiting: 0,
                ahead: if is_idle { 0 } else { tap.asked.ceil() as u64 },
                lately: tap.lately(now),
            }
        });
        let demands = demands.collect();
        let age_ms = now.saturating_sub(self.began);
        FrontDemand { front: front.into(), life: self.life, number, age_ms, demands }
    }

    /// Takes the leader's answer to the beat of this number; what it lends lapses
    /// at `until`, which is `HOLD_MS` after the beat was sent, or earlier.
    pub fn take(&mut self, now: u64, number: u64, until: u64, shares: &[Share]) {
        if now >= until {
            return;
        }
        for share in shares {
            let Some(tap) = self.taps.get_mut(&share.tenant) else { continue };
            if number <= tap.taken {
                continue;
            }
            tap.taken = number;
            (tap.limit, tap.until) = (share.limit, until);
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

/// One tenant at one router, as the leader knows it. Invariant: it can't have
/// been lent more than the highest of `limit` and of what is in `given`.
#[derive(Default)]
struct Account {
    life: u64,
    used: u64,
    limit: u64,
    /// Limits given in answer to beats, not known to have come, and when.
    given: Vec<(u64, u64, u64)>,
    asked: u64,
    /// What its floor may have let through unheard: jobs.
    unheard: f64,
}

impl Account {
    fn open(&self) -> f64 {
        let most = self.given.iter().map(|(_, limit, _)| *limit).fold(self.limit, u64::max);
        most.saturating_sub(self.used) as f64
    }
}

/// One tenant's pool, in jobs. Invariants: `level` never passes the depth; what
/// is open at routers is never more than `level` less all that is unheard, when
/// it is lent.
struct Pool {
    level: f64,
    /// What would be left if the pool had been full so long before this leader
    /// began, by what the routers say of that time; none once that is settled.
    before: Option<[f64; 4]>,
    filled: u64,
    depth: Depth,
    rate: u64,
    accounts: BTreeMap<String, Account>,
    /// What routers that this leader has not heard of may have let through.
    unknown: f64,
}

impl Pool {
    fn new(since: u64, rate: u64, depth: Depth) -> Pool {
        // A span's count is told of four spans only: one between two of them is
        // taken to have begun with the shorter and to hold the count of the
        // longer.
        let spans = [0, LATELY_MS[0], LATELY_MS[1], LATELY_MS[2]];
        let before = Some(spans.map(|span| depth.pool + tokens(span, rate)));
        let accounts = BTreeMap::new();
        Pool { level: 0.0, before, filled: since, depth, rate, accounts, unknown: 0.0 }
    }

    fn charge(&mut self, jobs: f64) {
        self.level -= jobs;
        self.before = self.before.map(|before| before.map(|level| level - jobs));
    }

    /// Fills the pool, and reckons with what silent routers' floors let through.
    fn refill(&mut self, now: u64, known: &BTreeMap<String, Router>, missing: usize, all: usize) {
        let gained = tokens(now.saturating_sub(self.filled), self.rate);
        self.level += gained;
        self.before = self.before.map(|before| before.map(|level| level + gained));
        let rate = self.rate;
        let part = |since: u64| tokens(now.saturating_sub(since), rate) / all as f64;
        let has_floor = self.depth.floor > 0.0;
        for (name, router) in known {
            let account = self.accounts.entry(name.clone()).or_default();
            if router.heard > self.filled {
                account.unheard = 0.0;
            }
            if has_floor {
                account.unheard += part(self.filled.max(router.heard));
            }
        }
        // Who is given up may have used all that it had just before.
        let gone = self.accounts.iter().filter(|(name, _)| !known.contains_key(*name));
        let lost = gone.map(|(_, account)| account.open()).sum();
        self.charge(lost);
        self.accounts.retain(|name, _| known.contains_key(name));
        self.unknown = match missing {
            0 => 0.0,
            missing if has_floor => self.unknown + part(self.filled) * missing as f64,
            _ => 0.0,
        };
        self.filled = self.filled.max(now);
        let spilled = self.level - self.depth.pool;
        if spilled > 0.0 {
            // What was let through unheard so long ago has been made up for.
            self.level = self.depth.pool;
            let kept = (1.0 - spilled / self.unheard().max(f64::MIN_POSITIVE)).max(0.0);
            self.unknown *= kept;
            self.accounts.values_mut().for_each(|account| account.unheard *= kept);
        }
    }

    fn unheard(&self) -> f64 {
        self.unknown + self.accounts.values().map(|account| account.unheard).sum::<f64>()
    }
}

/// The tenants' pools at the leader. A new one knows nobody, begins with empty
/// pools, and settles them once it has heard of the time before from all.
pub struct Pools {
    since: u64,
    margin: Margin,
    routers: BTreeMap<String, Router>,
    pools: BTreeMap<String, Pool>,
    /// Whether all routers that were heard first had lived for as long as
    /// `LATELY_MS` asks: what a former life admitted nobody knows.
    is_past_known: bool,
}

impl Pools {
    /// Of a leader that begins now.
    pub fn new(now: u64, margin: Margin) -> Pools {
        let (routers, pools) = (BTreeMap::new(), BTreeMap::new());
        Pools { since: now, margin, routers, pools, is_past_known: true }
    }

    /// A router said that it admits nothing any more.
    pub fn leave(&mut self, front: &str) {
        self.routers.remove(front);
        self.pools.values_mut().for_each(|pool| {
            pool.accounts.remove(front);
        });
    }

    /// Answers the demands of one beat; `routers` is how many are known, and
    /// `terms` gives a tenant's rate and burst.
    pub fn answer(
        &mut self,
        now: u64,
        from: &FrontDemand,
        routers: usize,
        terms: impl Fn(&str) -> Option<(u64, u64)>,
    ) -> FrontShares {
        let mut answer =
            FrontShares { front: from.front.clone(), number: from.number, shares: Vec::new() };
        self.routers.retain(|_, router| now < router.heard + HOLD_MS);
        let last = self.routers.get(&from.front);
        let is_late = last.is_some_and(|last| match last.life == from.life {
            true => from.number <= last.number,
            false => last.former.contains(&from.life),
        });
        if is_late {
            return answer;
        }
        let is_new = last.is_none();
        self.is_past_known &= !is_new || from.age_ms >= LATELY_MS[3];
        let hearing = now < self.since + HOLD_MS;
        // Counted before this one is entered: so far it was not heard of.
        let missing = |known: usize| if hearing { routers.saturating_sub(known) } else { 0 };
        let was_missing = missing(self.routers.len());
        let all = routers.max(self.routers.len()).max(1);
        let (life, number) = (from.life, from.number);
        let lasting = last.map(|last| last.life);
        for demand in &from.demands {
            let Some((rate, burst)) = terms(&demand.tenant).filter(|terms| terms.0 > 0) else {
                continue;
            };
            let depth = self.margin.depth(rate, burst, all);
            let pool = self
                .pools
                .entry(demand.tenant.clone())
                .or_insert_with(|| Pool::new(self.since, rate, depth));
            pool.refill(now, &self.routers, was_missing, all);
            if pool.rate != rate || pool.depth != depth {
                let part = (depth.pool / pool.depth.pool.max(f64::MIN_POSITIVE)).min(1.0);
                pool.level *= if pool.level > 0.0 { part } else { 1.0 };
                // What was admitted by other terms says nothing of these.
                pool.before = pool.before.filter(|_| pool.rate == rate);
                (pool.rate, pool.depth) = (rate, depth);
            }
            let age = now - self.since;
            let floor = pool.depth.floor;
            let account = pool.accounts.entry(from.front.clone()).or_default();
            let within = |span: u64| {
                let at = LATELY_MS.iter().position(|lately| *lately >= span).unwrap_or(3);
                demand.lately[at] as f64
            };
            let mut charged = 0.0;
            let mut past = [0.0; 4];
            if account.life == life {
                charged += demand.used.saturating_sub(account.used) as f64;
            } else if is_new {
                charged += within(age);
                past = LATELY_MS.map(|span| within(span + age) - charged);
                pool.unknown *= 1.0 - 1.0 / was_missing.max(1) as f64;
            } else {
                charged += demand.lately[3] as f64;
                if lasting != Some(life) || account.life != 0 {
                    // What an earlier life had it may have used.
                    charged += account.open() + account.unheard + floor;
                }
                account.given.clear();
            }
            (account.life, account.used, account.unheard) = (life, demand.used, 0.0);
            account.limit = demand.limit;
            account.given.retain(|(to, _, at)| *to > demand.floor && now < at + HOLD_MS);
            account.asked = demand.ahead;
            pool.charge(charged);
            if let Some(before) = &mut pool.before {
                before.iter_mut().zip(past).for_each(|(level, jobs)| *level -= jobs);
            }
            let is_heard = missing(self.routers.len() + is_new as usize) == 0 && hearing;
            if is_heard && self.is_past_known && now >= self.since + LICENCE_MS {
                if let Some(before) = pool.before.take() {
                    let least = before.into_iter().fold(pool.depth.pool, f64::min);
                    pool.level = pool.level.max(least);
                }
            }
            let has = pool.level - pool.unheard();
            let others = pool.accounts.iter().filter(|(name, _)| **name != from.front);
            let open: f64 = others.map(|(_, account)| account.open()).sum();
            let weigh = |asked: u64| if asked > 0 { asked as f64 + 1.0 } else { 0.0 };
            let sum: f64 = pool.accounts.values().map(|account| weigh(account.asked)).sum();
            let weight = weigh(demand.ahead) / sum.max(1.0);
            let lent = (has * weight).ceil().min((has - open).floor()).max(0.0);
            let limit = demand.used + lent as u64;
            let account = pool.accounts.get_mut(&from.front).expect("entered above");
            account.given.push((number, limit, now));
            answer.shares.push(Share { tenant: demand.tenant.clone(), limit, queue_ms: 0 });
        }
        let router = self.routers.entry(from.front.clone()).or_insert(Router {
            life,
            number,
            heard: now,
            former: VecDeque::new(),
        });
        if router.life != life {
            router.former.push_back(router.life);
            if router.former.len() > FORMER {
                router.former.pop_front();
            }
        }
        (router.life, router.number, router.heard) = (life, number, now);
        answer
    }
}
