//! Tenants' paces over all routers: whole jobs, handed out ahead by the leader
//! and counted up by who admits them.
//!
//! Both sides speak of counts since the admitting process began, never of
//! differences, so that a beat or an answer that is lost, late or said twice
//! changes nothing.

use protocol::{QuotaDemand, QuotaGrant, RouterDemand, RouterGrants, LEASE_MS, RECENT_SPANS_MS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a job waits for its tenant's pace where there is a leader's word:
/// one that can't have room by then is refused at once.
pub const QUEUE_MS: u64 = 1_000;
/// How long a leader's word on the queue is believed.
const WORD_MS: u64 = 700;
/// A tenant that sends nothing for this long is no longer spoken of.
const FORGET_MS: u64 = 5_000;
/// How far ahead jobs are asked for.
const AHEAD_MS: f64 = 500.0;
/// An answer that has not come after this long is taken for lost.
const LOST_MS: u64 = 1_000;

/// One tenant at one admitting process. Invariants: `used <= limit`, both only
/// counted up, but that `limit` is taken back where the leader is told; it may
/// be used only before `until`; answers to beats before `floor` raise nothing.
#[derive(Default)]
struct Meter {
    used: u64,
    limit: u64,
    until: u64,
    floor: u64,
    /// Jobs that wait, by the order in which they came.
    queue: BTreeSet<u64>,
    next: u64,
    /// Jobs a second, smoothed.
    rate: f64,
    arrived: u64,
    seen: u64,
    /// The leader's last word: when, how long its queue is, and since when its
    /// words have come without a gap.
    word: Option<(u64, u64, u64)>,
    /// When jobs were admitted, and how many, for as long as `RECENT_SPANS_MS` asks.
    lately: VecDeque<(u64, u64)>,
}

/// Jobs admitted within this time are kept as one.
const LATELY_GRAIN_MS: u64 = 100;

impl Meter {
    fn count(&mut self, now: u64) {
        self.used += 1;
        match self.lately.back_mut() {
            Some((at, count)) if now < *at + LATELY_GRAIN_MS => *count += 1,
            _ => self.lately.push_back((now, 1)),
        }
    }

    fn lately(&mut self, now: u64) -> [u64; 4] {
        while self
            .lately
            .front()
            .is_some_and(|(at, _)| at + RECENT_SPANS_MS[3] < now)
        {
            self.lately.pop_front();
        }
        RECENT_SPANS_MS.map(|span| {
            let inside = self.lately.iter().filter(|(at, _)| at + span >= now);
            inside.map(|(_, count)| count).sum()
        })
    }
}

/// What came of asking for a job's place.
#[derive(Debug, PartialEq)]
pub enum AdmissionDecision {
    Admitted,
    /// In the queue, by this number; `admit` is asked again with it.
    Queued(u64),
    /// Its tenant is past its pace.
    OverQuota,
    /// No leader has said anything for too long.
    NoLeader,
}

/// The tenants' meters at one admitting process. Invariants: `life` is another
/// one for each start of a process; no meter is ever dropped, since its counts
/// go on.
pub struct QueueingRateLimiter {
    life: u64,
    meters: BTreeMap<String, Meter>,
    /// Beats that were sent lately: number, when.
    beats: VecDeque<(u64, u64)>,
    beaten: u64,
    began: u64,
    /// When the first beat went out that no answer has followed yet.
    asked: Option<u64>,
    /// When it was last asked anything, as it is several times a second.
    awake: u64,
}

impl QueueingRateLimiter {
    pub fn new(now: u64, life: u64) -> QueueingRateLimiter {
        let (meters, beats) = (BTreeMap::new(), VecDeque::new());
        QueueingRateLimiter {
            life,
            meters,
            beats,
            beaten: 0,
            began: now,
            asked: None,
            awake: now,
        }
    }

    /// Asks for a place for a job that came at `came`. Those that wait go first.
    pub fn admit(
        &mut self,
        now: u64,
        tenant: &str,
        came: u64,
        ticket: Option<u64>,
        patience: u64,
    ) -> AdmissionDecision {
        self.wake(now);
        let meter = self.meters.entry(tenant.to_string()).or_default();
        let free = if now < meter.until {
            meter.limit - meter.used
        } else {
            0
        };
        let before = match ticket {
            Some(ticket) => meter.queue.range(..ticket).count() as u64,
            None => {
                meter.seen = now;
                meter.arrived += 1;
                meter.queue.len() as u64
            }
        };
        if before < free {
            meter.count(now);
            ticket.map(|ticket| meter.queue.remove(&ticket));
            return AdmissionDecision::Admitted;
        }
        let word = meter.word.filter(|(at, ..)| now < at + WORD_MS);
        let is_heard = word.is_some();
        let is_over = match (ticket, word) {
            (None, Some((_, queue_ms, _))) => queue_ms >= QUEUE_MS,
            (None, None) => patience == 0,
            // Over a change of leader a job waits longer for its word.
            (Some(_), Some((.., since))) => now >= came.max(since) + QUEUE_MS.min(patience),
            (Some(_), None) => match self.asked {
                Some(asked) => now >= came.max(asked) + patience,
                // It froze, and has asked nobody since.
                None => now >= came + 2 * patience,
            },
        };
        if is_over {
            ticket.map(|ticket| meter.queue.remove(&ticket));
            return if is_heard {
                AdmissionDecision::OverQuota
            } else {
                AdmissionDecision::NoLeader
            };
        }
        AdmissionDecision::Queued(ticket.unwrap_or_else(|| {
            meter.next += 1;
            meter.queue.insert(meter.next);
            meter.next
        }))
    }

    /// After a freeze what was asked before it counts for nothing.
    fn wake(&mut self, now: u64) {
        if now > self.awake + LOST_MS {
            self.asked = None;
        }
        self.awake = now;
    }

    /// A job left the queue by itself.
    pub fn cancel(&mut self, tenant: &str, ticket: u64) {
        if let Some(meter) = self.meters.get_mut(tenant) {
            meter.queue.remove(&ticket);
        }
    }

    pub fn has_queued_requests(&self) -> bool {
        self.meters.values().any(|meter| !meter.queue.is_empty())
    }

    /// What to say of all tenants with the beat of this number.
    pub fn demand(&mut self, now: u64, front: &str, number: u64) -> RouterDemand {
        self.wake(now);
        let elapsed = now.saturating_sub(self.beaten).clamp(20, 1_000) as f64;
        self.beaten = now;
        self.asked.get_or_insert(now);
        self.beats.push_back((number, now));
        while self.beats.front().is_some_and(|(_, at)| at + LOST_MS < now) {
            self.beats.pop_front();
        }
        let lost = self.beats.front().map_or(number, |(number, _)| *number);
        let is_spoken_of = |meter: &Meter| {
            now < meter.seen + FORGET_MS || meter.limit > meter.used || !meter.queue.is_empty()
        };
        let meters = self
            .meters
            .iter_mut()
            .filter(|(_, meter)| is_spoken_of(meter));
        let demands = meters.map(|(tenant, meter)| {
            let rate = meter.arrived as f64 * 1_000.0 / elapsed;
            meter.rate += (rate - meter.rate) * (elapsed / 1_000.0).clamp(0.05, 1.0);
            meter.arrived = 0;
            let ahead = (meter.rate * AHEAD_MS / 1_000.0).round() as u64;
            let most = meter.used + meter.queue.len() as u64 + 2 * ahead;
            let kept = if now < meter.until {
                meter.limit.min(most)
            } else {
                meter.used
            };
            if kept < meter.limit {
                meter.limit = kept;
                meter.floor = number;
            }
            meter.floor = meter.floor.max(lost);
            QuotaDemand {
                tenant: tenant.clone(),
                admitted: meter.used,
                limit: meter.limit,
                grant_floor: meter.floor,
                queued: meter.queue.len() as u64,
                wanted: ahead,
                recently_admitted: meter.lately(now),
            }
        });
        let demands = demands.collect();
        let age_ms = now - self.began;
        RouterDemand {
            router: front.into(),
            incarnation: self.life,
            heartbeat: number,
            incarnation_age_ms: age_ms,
            demands,
        }
    }

    /// Takes the leader's answer to the beat of this number; what it allows
    /// lapses at `until`.
    pub fn apply_shares(&mut self, now: u64, number: u64, until: u64, shares: &[QuotaGrant]) {
        self.asked = None;
        for share in shares {
            let Some(meter) = self.meters.get_mut(&share.tenant) else {
                continue;
            };
            if number < meter.floor {
                continue;
            }
            if now >= meter.until {
                meter.limit = meter.used;
            }
            meter.limit = meter.limit.max(share.limit);
            meter.until = meter.until.max(until);
            let last = meter.word.filter(|(at, ..)| now < at + WORD_MS);
            meter.word = Some((
                now,
                share.queue_wait_ms,
                last.map_or(now, |(.., since)| since),
            ));
        }
    }
}

/// An admitting process as the leader knows it. Invariant: it can't have more
/// than the highest of `limit` and of what is in `given`.
struct Account {
    life: u64,
    number: u64,
    used: u64,
    limit: u64,
    /// Limits given in answer to beats, not known to have come.
    given: Vec<(u64, u64)>,
    waiting: u64,
    heard: u64,
}

impl Account {
    fn open(&self) -> u64 {
        let most = self
            .given
            .iter()
            .map(|(_, limit)| *limit)
            .max()
            .unwrap_or(0);
        self.limit.max(most).saturating_sub(self.used)
    }

    /// Jobs that wait there and have no place on the way.
    fn unmet(&self) -> u64 {
        self.waiting.saturating_sub(self.open())
    }
}

/// One tenant's bucket, in thousandths of a job: jobs a second are thousandths a
/// millisecond. Invariant: it never passes the burst; what is open at the
/// accounts that are heard is never more than it holds when it is given.
struct Pot {
    held: i64,
    /// What would be left if the bucket had been full so long before this leader
    /// began, by what the accounts say of that time; not capped.
    before: [i64; 4],
    since: u64,
    filled: u64,
    accounts: BTreeMap<String, Account>,
}

/// The tenants' paces at the leader. A new one does not know what its
/// predecessor gave, and works out each bucket from what was admitted lately.
pub struct TokenAllocator {
    pots: BTreeMap<String, Pot>,
    since: u64,
}

/// Until a new leader has led for so long, routers that it has not heard may
/// have something open, and it gives only half of what it could.
const HEARING_MS: u64 = LEASE_MS;

impl TokenAllocator {
    /// Of a leader that begins now.
    pub fn new(now: u64) -> TokenAllocator {
        TokenAllocator {
            pots: BTreeMap::new(),
            since: now,
        }
    }

    /// Answers the demands of one beat; `terms` gives a tenant's pace and burst.
    pub fn allocate(
        &mut self,
        now: u64,
        from: &RouterDemand,
        terms: impl Fn(&str) -> Option<(u64, u64)>,
    ) -> RouterGrants {
        let shares = from.demands.iter().filter_map(|demand| {
            let (pace, burst) = terms(&demand.tenant).filter(|terms| terms.0 > 0)?;
            let most = (burst.max(1) * 1_000) as i64;
            let pot = self
                .pots
                .entry(demand.tenant.clone())
                .or_insert_with(|| Pot {
                    held: most,
                    before: RECENT_SPANS_MS.map(|span| most + (span * pace) as i64),
                    since: now,
                    filled: now,
                    accounts: BTreeMap::new(),
                });
            Some(pot.answer(now, from, demand, pace, most, now < self.since + HEARING_MS))
        });
        let shares = shares.collect();
        RouterGrants {
            router: from.router.clone(),
            heartbeat: from.heartbeat,
            grants: shares,
        }
    }
}

impl Pot {
    fn answer(
        &mut self,
        now: u64,
        from: &RouterDemand,
        demand: &QuotaDemand,
        pace: u64,
        most: i64,
        is_hearing: bool,
    ) -> QuotaGrant {
        let gained = (now.saturating_sub(self.filled) * pace) as i64;
        self.held = self.held.saturating_add(gained).min(most);
        self.before = self.before.map(|held| held.saturating_add(gained));
        self.filled = now;
        let account = self.accounts.entry(from.router.clone()).or_insert(Account {
            life: 0,
            number: 0,
            used: 0,
            limit: 0,
            given: Vec::new(),
            waiting: 0,
            heard: 0,
        });
        let mut charged = 0;
        if account.life == 0 {
            let lately = demand
                .recently_admitted
                .iter()
                .map(|count| (count * 1_000) as i64);
            self.before
                .iter_mut()
                .zip(lately)
                .for_each(|(held, count)| *held -= count);
            // Neither knows what was admitted before both began.
            if from.incarnation_age_ms < RECENT_SPANS_MS[3] && now < self.since + LEASE_MS {
                self.held = self.held.min(most / 2);
            }
        }
        if account.life != from.incarnation {
            // What an earlier life had open it may have used.
            charged += account.open();
            let (life, used) = (from.incarnation, demand.admitted);
            *account = Account {
                life,
                used,
                number: 0,
                given: Vec::new(),
                ..*account
            };
        }
        // A beat that came late says nothing new, and gets nothing.
        let is_late = from.heartbeat <= account.number;
        if !is_late {
            // What it used while it was not heard is charged now.
            charged += demand.admitted.saturating_sub(account.used);
            account.number = from.heartbeat;
            account.used = account.used.max(demand.admitted);
            account.limit = demand.limit;
            account
                .given
                .retain(|(number, limit)| *number >= demand.grant_floor && *limit > demand.limit);
            account.waiting = demand.queued;
            account.heard = now;
        }
        let charged = (charged * 1_000) as i64;
        self.held = (self.held - charged).max(-most);
        self.before = self.before.map(|held| held - charged);
        let held = self
            .before
            .iter()
            .fold(self.held, |held, before| held.min(*before));
        let is_heard = |account: &Account| now < account.heard + LEASE_MS;
        let open: u64 = self
            .accounts
            .values()
            .filter(|a| is_heard(a))
            .map(Account::open)
            .sum();
        let unmet = |name: &str| -> u64 {
            let others = self
                .accounts
                .iter()
                .filter(|(other, a)| *other != name && is_heard(a));
            others.map(|(_, account)| account.unmet()).sum()
        };
        let others = unmet(&from.router);
        let free = (held / 1_000 - open as i64).max(0) as u64;
        let free = if is_hearing { free.div_ceil(2) } else { free };
        let account = self.accounts.get_mut(&from.router).expect("entered above");
        let mut queue = others;
        let mut limit = demand.limit;
        if !is_late {
            let wanted = account.unmet();
            let given = wanted.min(free);
            queue += wanted - given;
            // Ahead of need only from what nobody waits for and half of the
            // burst does not cover.
            let spare = (free - given).saturating_sub(others + most as u64 / 2_000);
            let has_ahead = account.open().saturating_sub(account.waiting);
            let ahead = demand.wanted.saturating_sub(has_ahead).min(spare);
            // All that is open is said again: an earlier answer may be lost.
            limit = account.used + account.open() + given + ahead;
            if limit > demand.limit {
                account.given.push((from.heartbeat, limit));
            }
        }
        QuotaGrant {
            tenant: demand.tenant.clone(),
            limit,
            queue_wait_ms: queue * 1_000 / pace,
        }
    }
}
