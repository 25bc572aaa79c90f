//! Compares what callers, engines, operators and rushport's own processes wrote
//! against the rules. Each bound is the brief's; there is no slack on top.

use crate::fleet::Shape;
use placement::{Warmth, RETRY_LIFE_MS};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The rules by the numbers of the architecture page, and the brief's bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    NotTwice,
    NotRunMeansNotRun,
    OneRunWhole,
    /// An engine, or a machine that saw a body, outside the homes.
    Homes,
    Leaving,
    Evacuated,
    KeyTaken,
    Retries,
    /// A cold engine got more than it may have while it warms up.
    Flooded,
    /// An engine went past its set point by more than the age of its vitals
    /// explains.
    Overfull,
    QuotaPassed,
    QuotaRefused,
    /// Something was done by an epoch that others had left 3 s before.
    InForce,
    Epochs,
    /// An acknowledged change is not known any more.
    Lost,
    /// With everything well again, service took longer than 12 s.
    Back,
    /// A refusal that a later try can help says not when.
    RetryAfter,
    /// A process ended by a broken invariant.
    Panicked,
    /// A journal says what no journal can.
    Journal,
}

#[derive(Debug, PartialEq)]
pub struct Finding {
    pub rule: Rule,
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.text)
    }
}

/// Bounds in microseconds, from an acknowledgement on.
const APPLY: u64 = 3_000_000;
const DRAIN: u64 = 4_000_000;
const EVACUATE: u64 = 5_000_000;
const BACK: u64 = 12_000_000;
/// The age of vitals that explains what an engine has past its set point.
const VITALS: u64 = 500_000;
/// Further rounds are judged over windows of this length.
const WINDOW: u64 = 10_000_000;
/// How long a job may wait for its tenant's pace.
const QUEUE: u64 = 1_000_000;
/// How much past its pace, over its burst, a tenant may come.
const PAST_PACE: f64 = 1.1;

#[derive(Default)]
pub struct Journals {
    pub engines: Vec<OwnedValue>,
    pub callers: Vec<OwnedValue>,
    pub operators: Vec<OwnedValue>,
    /// What was done to machines.
    pub machines: Vec<OwnedValue>,
    /// The logs of routers and directory nodes, `at` in microseconds.
    pub nodes: Vec<OwnedValue>,
}

/// Homes as they stood from a change on: asked for, acknowledged, the regions.
type Homes = Vec<(u64, u64, BTreeSet<String>)>;

/// Where things stand, and what tenants may.
#[derive(Default)]
pub struct Ground {
    pub engine_regions: BTreeMap<String, String>,
    pub engine_zones: BTreeMap<String, String>,
    /// Slots, and the set point's part of them.
    pub engine_slots: BTreeMap<String, (u64, u64)>,
    /// Routers and directory nodes.
    pub node_regions: BTreeMap<String, String>,
    pub zone_regions: BTreeMap<String, String>,
    pub homes: BTreeMap<String, BTreeSet<String>>,
    /// Jobs a second, and the burst.
    pub paces: BTreeMap<String, (u64, u64)>,
}

impl Ground {
    /// Of a shape's book and the places of its processes: name, kind, region,
    /// zone, slots.
    pub fn of<'p>(
        shape: &Shape,
        places: impl Iterator<Item = (&'p str, bool, &'p str, &'p str, u64)>,
    ) -> Ground {
        let book = residency::Book::read(&shape.book).expect("a shape's book reads");
        let mut ground = Ground {
            zone_regions: book.zones.clone(),
            homes: book
                .tenants
                .iter()
                .filter(|(_, tenant)| !tenant.homes.is_empty())
                .map(|(name, tenant)| (name.clone(), tenant.homes.iter().cloned().collect()))
                .collect(),
            paces: book
                .tenants
                .iter()
                .filter(|(_, tenant)| tenant.pace > 0)
                .map(|(name, tenant)| (name.clone(), (tenant.pace, tenant.burst)))
                .collect(),
            ..Ground::default()
        };
        for (name, is_engine, region, zone, slots) in places {
            let (name, region) = (name.to_string(), region.to_string());
            if is_engine {
                let point = (slots as f64 * book.points.fill).ceil() as u64;
                ground.engine_zones.insert(name.clone(), zone.to_string());
                ground.engine_slots.insert(name.clone(), (slots, point));
                ground.engine_regions.insert(name, region);
            } else {
                ground.node_regions.insert(name, region);
            }
        }
        ground
    }
}

pub fn text<'v>(value: &'v OwnedValue, name: &str) -> &'v str {
    value.get(name).and_then(|v| v.as_str()).unwrap_or("")
}

fn number(value: &OwnedValue, name: &str) -> u64 {
    value.get(name).and_then(|v| v.as_u64()).unwrap_or(0)
}

fn is(value: &OwnedValue, name: &str, default: bool) -> bool {
    value.get(name).and_then(|v| v.as_bool()).unwrap_or(default)
}

/// What engines wrote of one round of a job.
#[derive(Default)]
struct Ran<'v> {
    received: Vec<&'v OwnedValue>,
    begun: Vec<(&'v str, u64)>,
    ended: Vec<(&'v str, u64)>,
}

/// Times from which, until which, something is to get no work.
fn shut(
    operators: &[OwnedValue],
    begin: &str,
    end: &[&str],
    field: &str,
) -> Vec<(String, u64, u64)> {
    let mut spans: Vec<(String, u64, u64)> = Vec::new();
    let mut lines: Vec<&OwnedValue> =
        operators.iter().filter(|line| number(line, "acknowledged") > 0).collect();
    lines.sort_by_key(|line| number(line, "epoch"));
    for line in lines {
        let (what, name) = (text(line, "do"), text(line, field).to_string());
        let state = text(line, "state");
        if what == begin || format!("{what} {state}") == begin {
            if !spans.iter().any(|span| span.0 == name && span.2 == u64::MAX) {
                spans.push((name, number(line, "acknowledged"), u64::MAX));
            }
        } else if end.contains(&what) || end.contains(&format!("{what} {state}").as_str()) {
            // From the moment it was asked for, it may be in force.
            for span in spans.iter_mut().filter(|s| s.0 == name && s.2 == u64::MAX) {
                span.2 = number(line, "at");
            }
        }
    }
    // One that was asked for and never acknowledged may have come into force.
    for line in operators.iter().filter(|line| number(line, "acknowledged") == 0) {
        let (what, name) = (text(line, "do"), text(line, field));
        if end.contains(&what) || end.contains(&format!("{what} {}", text(line, "state")).as_str())
        {
            for span in spans.iter_mut().filter(|s| s.0 == name) {
                span.2 = span.2.min(number(line, "at").max(span.1));
            }
        }
    }
    spans
}

/// The tenants' homes over time, as the operators changed them.
fn homes_of(ground: &Ground, operators: &[OwnedValue]) -> BTreeMap<String, Homes> {
    let mut homes: BTreeMap<String, Homes> = BTreeMap::new();
    for (tenant, regions) in &ground.homes {
        homes.insert(tenant.clone(), vec![(0, 0, regions.clone())]);
    }
    let mut lines: Vec<&OwnedValue> = operators.iter().collect();
    lines.sort_by_key(|line| (number(line, "epoch"), number(line, "at")));
    for line in lines {
        let tenants = line.get("book").and_then(|book| book.get("tenants"));
        for (tenant, terms) in tenants.and_then(|v| v.as_object()).into_iter().flatten() {
            let Some(list) = terms.get("homes").and_then(|v| v.as_array()) else { continue };
            let regions = list.iter().filter_map(|v| v.as_str().map(String::from)).collect();
            // One whose outcome is not known may or may not hold.
            let acknowledged = match number(line, "acknowledged") {
                0 => u64::MAX,
                at => at,
            };
            let before = homes.entry(tenant.clone()).or_default();
            before.push((number(line, "at"), acknowledged, regions));
        }
    }
    homes
}

/// Whether a tenant's homes allow a region at a time: by the last change that
/// was acknowledged 3 s before, or by any that came after it.
fn allows(homes: &Homes, at: u64, region: &str) -> bool {
    let settled =
        homes.as_slice().iter().rposition(|home| home.1 != u64::MAX && home.1 + APPLY <= at);
    let is_open =
        |home: &(u64, u64, BTreeSet<String>)| home.2.is_empty() || home.2.contains(region);
    match settled {
        Some(last) => homes[last..].iter().any(|home| home.0 <= at && is_open(home)),
        // No homes before the first change: any region.
        None => homes.first().is_none_or(|home| home.0 > 0) || homes.as_slice().iter().any(is_open),
    }
}

pub fn check(ground: &Ground, journals: &Journals) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut find = |rule, text: String| findings.push(Finding { rule, text });
    let mut jobs: BTreeMap<&str, Ran> = BTreeMap::new();
    for line in &journals.engines {
        let ran = jobs.entry(text(line, "job")).or_default();
        let run = (text(line, "engine"), number(line, "run"));
        match text(line, "event") {
            "received" => ran.received.push(line),
            "begun-warm" | "begun-cold" => ran.begun.push(run),
            "ended" => ran.ended.push(run),
            "declined" | "cancelled" | "broken-body" | "started" => {}
            other => find(Rule::Journal, format!("an engine wrote {other:?}")),
        }
    }
    let drained = shut(
        &journals.operators,
        "engine-state draining",
        &["engine-state serving", "engine"],
        "name",
    );
    let evacuated = shut(&journals.operators, "evacuate", &["give-back"], "zone");
    let keys = shut(&journals.operators, "key-gone", &["key"], "tenant");
    let homes = homes_of(ground, &journals.operators);

    // What a process sent in time may reach an engine late, by the network or by
    // an engine that froze: it is judged by when it was sent.
    let mut sent: BTreeMap<(&str, &str), Vec<u64>> = BTreeMap::new();
    for line in journals.nodes.iter().filter(|line| text(line, "what") == "dispatched") {
        sent.entry((text(line, "job"), text(line, "engine"))).or_default().push(number(line, "at"));
    }
    let mut callers: BTreeMap<&str, &OwnedValue> = BTreeMap::new();
    // Runs of a job that must not be repeated, over all its caller's rounds.
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for line in &journals.callers {
        let id = text(line, "job");
        callers.insert(id, line);
        let ran = jobs.get(id);
        let begun = ran.map_or(0, |ran| ran.begun.len());
        if is(line, "once", true) {
            let root = if text(line, "root").is_empty() { id } else { text(line, "root") };
            *runs.entry(root).or_default() += begun;
        }
        match text(line, "seen") {
            "refused" if text(line, "outcome") == "not-run" && begun > 0 => {
                find(Rule::NotRunMeansNotRun, format!("job {id} was refused not-run, and run"));
            }
            "refused" if !matches!(text(line, "outcome"), "not-run" | "unknown") => {
                find(Rule::NotRunMeansNotRun, format!("job {id} was refused without an outcome"));
            }
            "refused"
                if matches!(number(line, "status"), 408 | 429 | 502 | 503 | 504)
                    && number(line, "retry_after") == 0 =>
            {
                let (status, code) = (number(line, "status"), text(line, "code"));
                find(Rule::RetryAfter, format!("job {id}: {status} {code} says not when"));
            }
            "whole" => {
                let run = (text(line, "engine"), number(line, "run"));
                if !ran.is_some_and(|ran| ran.begun.contains(&run) && ran.ended.contains(&run)) {
                    let (engine, run) = run;
                    let text = format!(
                        "job {id} got a whole answer that {engine} did not end as run {run}"
                    );
                    find(Rule::OneRunWhole, text);
                }
                // By when it was sent on; it may have waited at a frozen door.
                let at = sent.get(&(id, text(line, "engine"))).and_then(|at| at.last());
                let at = at.copied().unwrap_or(number(line, "at"));
                let late = keys.iter().any(|(tenant, from, until)| {
                    tenant == text(line, "tenant") && at > from + APPLY && at < *until
                });
                if late {
                    find(
                        Rule::KeyTaken,
                        format!("job {id} was let in by a key that was taken away"),
                    );
                }
            }
            "wrong" => find(Rule::OneRunWhole, format!("job {id}: {}", text(line, "text"))),
            _ => {}
        }
        let allowed = homes.get(text(line, "tenant"));
        for at in ran.map_or(&[][..], |ran| &ran.received[..]) {
            let engine = text(at, "engine");
            let region = ground.engine_regions.get(engine).map_or("", String::as_str);
            if allowed.is_some_and(|homes| !allows(homes, number(at, "at"), region)) {
                find(Rule::Homes, format!("job {id} reached {engine}, outside its homes"));
            }
        }
    }
    for (root, count) in runs.iter().filter(|(_, count)| **count > 1) {
        find(Rule::NotTwice, format!("job {root} was run {count} times"));
    }
    for line in journals.engines.iter().filter(|line| text(line, "event") == "received") {
        let engine = text(line, "engine");
        let arrived = number(line, "at");
        let before = sent.get(&(text(line, "job"), engine)).into_iter().flatten();
        let at = before.filter(|at| **at <= arrived).max().copied().unwrap_or(arrived);
        let is_late = |spans: &[(String, u64, u64)], name: &str, bound: u64| {
            spans.iter().any(|(who, from, until)| who == name && at > from + bound && at < *until)
        };
        if is_late(&drained, engine, DRAIN) {
            find(Rule::Leaving, format!("{engine} got job {} while leaving", text(line, "job")));
        }
        let zone = ground.engine_zones.get(engine).map_or("", |zone| zone.as_str());
        if is_late(&evacuated, zone, EVACUATE) {
            find(Rule::Evacuated, format!("{engine} got job {} in {zone}", text(line, "job")));
        }
    }
    let mut acknowledged: Vec<&OwnedValue> =
        journals.operators.iter().filter(|line| number(line, "epoch") > 0).collect();
    acknowledged.sort_by_key(|line| number(line, "acknowledged"));
    let mut highest = (0, 0);
    for line in &acknowledged {
        // One that was asked after another's acknowledgement is later, unless
        // it is a repeat.
        let (epoch, asked) = (number(line, "epoch"), number(line, "at"));
        if !is(line, "repeated", false) && asked > highest.1 && epoch <= highest.0 {
            find(Rule::Epochs, format!("epoch {epoch} was given after {}", highest.0));
        }
        if epoch > highest.0 {
            highest = (epoch, number(line, "acknowledged"));
        }
        if line.get("remembered").is_some_and(|epoch| epoch.as_u64() != Some(number(line, "epoch")))
        {
            let (what, is_known) = (text(line, "do"), number(line, "remembered"));
            find(Rule::Lost, format!("{what} of epoch {epoch} is now known as {is_known}"));
        }
        if line.get("in_force_ms").is_some_and(|ms| ms.as_u64().is_none_or(|ms| ms > APPLY / 1000))
        {
            let took = line.get("in_force_ms").map_or(String::new(), |ms| ms.to_string());
            find(Rule::InForce, format!("epoch {epoch} was in force after {took} ms"));
        }
    }
    // Where bodies went, and by which epoch.
    let marks: Vec<(u64, u64)> =
        acknowledged.iter().map(|l| (number(l, "acknowledged"), number(l, "epoch"))).collect();
    let mut reached: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut further: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for line in &journals.nodes {
        let (node, what, at) = (text(line, "name"), text(line, "what"), number(line, "at"));
        if what == "panicked" {
            find(Rule::Panicked, format!("{node}: {}", text(line, "text")));
        }
        let id = text(line, "job");
        if what == "a further round" {
            further.entry(id).or_default().push(at);
        }
        if let Some(caller) = callers.get(id).filter(|_| what == "its body is here") {
            let region = ground.node_regions.get(node).map_or("", String::as_str);
            let own = ground.zone_regions.get(text(caller, "zone")).map_or("", String::as_str);
            let homes = homes.get(text(caller, "tenant"));
            if region != own && homes.is_some_and(|homes| !allows(homes, at, region)) {
                find(Rule::Homes, format!("{node} in {region} saw the body of job {id}"));
            }
        }
        if what == "dispatched" {
            let epoch = number(line, "epoch");
            let owed = marks.iter().filter(|mark| mark.0 + APPLY <= at).map(|mark| mark.1).max();
            if owed.is_some_and(|owed| owed > epoch) {
                let owed = owed.unwrap_or(0);
                find(
                    Rule::InForce,
                    format!("{node} sent job {id} by epoch {epoch}, 3 s after {owed} counted"),
                );
            }
            let highest = reached.entry(node).or_insert((0, 0));
            // Two threads may pass each other between the look and the line.
            if epoch < highest.0 && at > highest.1 + 100_000 {
                find(Rule::Epochs, format!("{node} fell back from {} to {epoch}", highest.0));
            }
            if epoch > highest.0 {
                *highest = (epoch, at);
            }
        }
    }
    // Every round beyond a job's first, whoever noticed it.
    let mut rounds: Vec<u64> = Vec::new();
    for (id, ran) in jobs.iter().filter(|(id, _)| callers.contains_key(**id)) {
        let mut at: Vec<u64> = ran.received.iter().map(|line| number(line, "at")).collect();
        at.sort_unstable();
        let said = further.remove(*id).unwrap_or_default();
        let seen = at.get(1..).unwrap_or(&[]);
        rounds.extend(if seen.len() > said.len() { seen } else { &said });
    }
    rounds.extend(further.into_values().flatten());
    rounds.sort_unstable();
    let mut arrivals: Vec<u64> = journals.callers.iter().map(|line| number(line, "at")).collect();
    arrivals.sort_unstable();
    if let Some((from, many, of)) = worst_window(&rounds, &arrivals) {
        find(Rule::Retries, format!("{many} further rounds for {of} jobs in 10 s from {from}"));
    }
    for (engine, text) in cold_starts(ground, &journals.engines) {
        find(Rule::Flooded, format!("{engine} {text}"));
    }
    for (engine, text) in overfull(ground, &journals.engines) {
        find(Rule::Overfull, format!("{engine} {text}"));
    }
    quotas(ground, journals, &jobs, &mut find);
    let mut done: Vec<u64> = journals
        .callers
        .iter()
        .filter(|line| text(line, "seen") == "whole")
        .map(|line| number(line, "done"))
        .collect();
    done.sort_unstable();
    let last = arrivals.last().copied().unwrap_or(0);
    for line in journals.machines.iter().filter(|line| is(line, "all_well", false)) {
        let at = number(line, "at");
        let back = done.iter().find(|done| **done > at).copied().unwrap_or(u64::MAX);
        // Where nobody called for so long, nothing can be said.
        if back > at + BACK && last > at + BACK {
            let took = back.saturating_sub(at) / 1_000_000;
            find(Rule::Back, format!("the first whole answer came {took} s after all was well"));
        }
    }
    findings
}

/// The window in which further rounds went furthest past a fifth of the jobs
/// that arrived in it, or shortly before, as long as what they earn lives.
fn worst_window(rounds: &[u64], arrivals: &[u64]) -> Option<(u64, usize, usize)> {
    let between = |list: &[u64], from: u64, until: u64| {
        list.partition_point(|at| *at <= until) - list.partition_point(|at| *at < from)
    };
    let life = RETRY_LIFE_MS * 1000;
    let past = rounds.iter().map(|from| {
        let (until, earlier) = (from + WINDOW, from.saturating_sub(life));
        (*from, between(rounds, *from, until), between(arrivals, earlier, until))
    });
    past.filter(|(_, many, of)| many * 5 > *of).max_by_key(|(_, many, of)| many * 5 - of)
}

/// The lines of each engine in their order.
fn by_engine(engines: &[OwnedValue]) -> BTreeMap<&str, Vec<&OwnedValue>> {
    let mut lines: BTreeMap<&str, Vec<&OwnedValue>> = BTreeMap::new();
    for line in engines {
        lines.entry(text(line, "engine")).or_default().push(line);
    }
    lines.values_mut().for_each(|lines| lines.sort_by_key(|line| number(line, "at")));
    lines
}

/// Cold starts in which an engine ran more at once than its answers until then
/// allow: the worst moment of each.
fn cold_starts(ground: &Ground, engines: &[OwnedValue]) -> Vec<(String, String)> {
    let mut worst = Vec::new();
    for (name, lines) in by_engine(engines) {
        let point = ground.engine_slots.get(name).map_or(0, |slots| slots.1) as u32;
        // Running and completed; none while warm.
        let mut cold: Option<(u32, u32)> = None;
        let mut most: Option<(u32, u32, u32)> = None;
        for line in lines {
            let event = text(line, "event");
            if event == "started" {
                cold = is(line, "cold", false).then_some((0, 0));
            }
            let Some((running, completed)) = &mut cold else { continue };
            match event {
                "begun-warm" | "begun-cold" => *running += 1,
                "ended" | "cancelled" => {
                    *running = running.saturating_sub(1);
                    *completed += 1;
                }
                _ => {}
            }
            let limit = Warmth::after(*completed).limit(point);
            if limit == point {
                cold = None;
            } else if *running > limit && most.is_none_or(|(past, ..)| *running - limit > past) {
                most = Some((*running - limit, *running, limit));
            }
        }
        worst.extend(most.map(|(_, running, limit)| {
            (name.to_string(), format!("ran {running} at once while cold, {limit} are allowed"))
        }));
    }
    worst
}

/// Engines that held more than their set point, leaving out what came within
/// the age that vitals may have: the worst moment of each.
fn overfull(ground: &Ground, engines: &[OwnedValue]) -> Vec<(String, String)> {
    let mut worst = Vec::new();
    for (name, lines) in by_engine(engines) {
        let Some((slots, point)) = ground.engine_slots.get(name).copied() else { continue };
        let mut held: BTreeMap<&str, u64> = BTreeMap::new();
        let mut most = (0, 0);
        for line in lines {
            let at = number(line, "at");
            match text(line, "event") {
                "started" => held.clear(),
                "received" => drop(held.insert(text(line, "job"), at)),
                "begun-warm" | "begun-cold" => {}
                _ => drop(held.remove(text(line, "job"))),
            }
            let old = held.values().filter(|came| **came + VITALS < at).count() as u64;
            most = most.max((old, held.len() as u64));
        }
        if most.0 > point {
            let text = format!(
                "held {} of {slots} slots for over 500 ms, {point} are its set point",
                most.0
            );
            worst.push((name.to_string(), text));
        }
    }
    worst
}

/// Tenants past their pace, and tenants refused within it, by a bucket that
/// sees every arrival in its order.
fn quotas(
    ground: &Ground,
    journals: &Journals,
    jobs: &BTreeMap<&str, Ran>,
    find: &mut impl FnMut(Rule, String),
) {
    let admitted: BTreeMap<&str, u64> = journals
        .nodes
        .iter()
        .filter(|line| text(line, "what") == "admitted")
        .map(|line| (text(line, "job"), number(line, "at")))
        .collect();
    for (tenant, (pace, burst)) in &ground.paces {
        let (pace, burst) = (*pace as f64, *burst as f64);
        let mut lines: Vec<&OwnedValue> =
            journals.callers.iter().filter(|line| text(line, "tenant") == tenant).collect();
        lines.sort_by_key(|line| number(line, "at"));
        // What the bucket held when each job came.
        let mut held: Vec<(u64, f64)> = Vec::new();
        let mut level = burst;
        let mut before = lines.first().map_or(0, |line| number(line, "at"));
        for line in &lines {
            let at = number(line, "at");
            level = (level + (at - before) as f64 / 1e6 * pace).min(burst);
            before = at;
            held.push((at, level));
            if level >= 1.0 {
                level -= 1.0;
            }
        }
        // A job waits among those that come with it; who is past its quota within
        // that time was not within it.
        let is_wrong = |(n, line): &(usize, &&OwnedValue)| {
            let near = held[*n..].iter().take_while(|(at, _)| *at <= held[*n].0 + QUEUE);
            text(line, "code") == "quota" && near.into_iter().all(|(_, held)| *held >= burst / 2.0)
        };
        let refused = lines.iter().enumerate().filter(is_wrong).count();
        if refused > 0 {
            let text = format!("{tenant} was refused {refused} times while within its quota");
            find(Rule::QuotaRefused, text);
        }
        // When a job was let in, or, where nobody wrote that, when it came to an
        // engine: some wait for room between.
        let let_in = |line: &&OwnedValue| {
            let id = text(line, "job");
            let ran = jobs.get(id)?;
            let came = ran.received.iter().map(|line| number(line, "at")).min()?;
            Some(admitted.get(id).copied().unwrap_or(came))
        };
        let mut times: Vec<u64> = lines.iter().filter_map(let_in).collect();
        times.sort_unstable();
        let mut worst = (0.0, 0, 0.0);
        for (first, from) in times.iter().enumerate() {
            for (count, until) in times[first..].iter().enumerate() {
                let seconds = (until - from) as f64 / 1e6;
                let allowed = (burst + seconds * pace) * PAST_PACE + 1.0;
                let past = (count + 1) as f64 - allowed;
                if past > worst.0 {
                    worst = (past, count + 1, seconds);
                }
            }
        }
        if worst.0 > 0.0 {
            let (_, count, seconds) = worst;
            let text = format!("{tenant} got {count} jobs in {seconds:.1} s at a pace of {pace}");
            find(Rule::QuotaPassed, text);
        }
    }
}
