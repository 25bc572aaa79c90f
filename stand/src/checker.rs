//! Compares callers', engines' and operators' journals against the rules.

use crate::fleet::Shape;
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
    Homes,
    Leaving,
    Evacuated,
    KeyTaken,
    Retries,
    /// A cold engine got more than a part of its slots.
    Flooded,
    Epochs,
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
const DRAIN: u64 = 5_000_000;
const EVACUATE: u64 = 5_000_000;

#[derive(Default)]
pub struct Journals {
    pub engines: Vec<OwnedValue>,
    pub callers: Vec<OwnedValue>,
    pub operators: Vec<OwnedValue>,
}

/// Where engines stand and where tenants may live. Homes that a revision
/// widened or narrowed meanwhile are given with all that were ever allowed.
#[derive(Default)]
pub struct Ground {
    pub engine_regions: BTreeMap<String, String>,
    pub engine_zones: BTreeMap<String, String>,
    pub homes: BTreeMap<String, BTreeSet<String>>,
}

impl Ground {
    pub fn of(shape: &Shape, engines: &[(String, String, String)]) -> Ground {
        let book = residency::Book::read(&shape.book).expect("a shape's book reads");
        Ground {
            engine_regions: engines.iter().map(|e| (e.0.clone(), e.1.clone())).collect(),
            engine_zones: engines.iter().map(|e| (e.0.clone(), e.2.clone())).collect(),
            homes: book
                .tenants
                .iter()
                .filter(|(_, tenant)| !tenant.homes.is_empty())
                .map(|(name, tenant)| (name.clone(), tenant.homes.iter().cloned().collect()))
                .collect(),
        }
    }
}

fn text<'v>(value: &'v OwnedValue, name: &str) -> &'v str {
    value.get(name).and_then(|v| v.as_str()).unwrap_or("")
}

fn number(value: &OwnedValue, name: &str) -> u64 {
    value.get(name).and_then(|v| v.as_u64()).unwrap_or(0)
}

/// What engines wrote of one job.
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
    for line in operators.iter().filter(|line| number(line, "acknowledged") > 0) {
        let (what, name) = (text(line, "do"), text(line, field).to_string());
        let state = text(line, "state");
        if what == begin || format!("{what} {state}") == begin {
            spans.push((name, number(line, "acknowledged"), u64::MAX));
        } else if end.contains(&what) || end.contains(&format!("{what} {state}").as_str()) {
            // From the moment it was asked for, it may be in force.
            for span in spans.iter_mut().filter(|s| s.0 == name && s.2 == u64::MAX) {
                span.2 = number(line, "at");
            }
        }
    }
    spans
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

    let mut distinct = 0usize;
    let mut received = 0usize;
    for line in &journals.callers {
        let id = text(line, "job");
        let ran = jobs.get(id);
        let begun = ran.map_or(0, |ran| ran.begun.len());
        let is_once = line.get("once").and_then(|v| v.as_bool()).unwrap_or(true);
        received += ran.map_or(0, |ran| ran.received.len());
        distinct += usize::from(ran.is_some());
        if is_once && begun > 1 {
            find(Rule::NotTwice, format!("job {id} was run {begun} times"));
        }
        match text(line, "seen") {
            "refused" if text(line, "outcome") == "not-run" && begun > 0 => {
                find(Rule::NotRunMeansNotRun, format!("job {id} was refused not-run, and run"));
            }
            "refused" if !matches!(text(line, "outcome"), "not-run" | "unknown") => {
                find(Rule::NotRunMeansNotRun, format!("job {id} was refused without an outcome"));
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
                let late = keys.iter().any(|(tenant, from, until)| {
                    tenant == text(line, "tenant")
                        && number(line, "at") > from + APPLY
                        && number(line, "at") < *until
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
        let homes = ground.homes.get(text(line, "tenant"));
        for at in ran.map_or(&[][..], |ran| &ran.received[..]) {
            let engine = text(at, "engine");
            let region = ground.engine_regions.get(engine);
            if homes.is_some_and(|homes| !region.is_some_and(|region| homes.contains(region))) {
                find(Rule::Homes, format!("job {id} reached {engine}, outside its homes"));
            }
        }
    }
    for line in journals.engines.iter().filter(|line| text(line, "event") == "received") {
        let (engine, at) = (text(line, "engine"), number(line, "at"));
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
    // A few to begin with, as the budget has.
    let further = received.saturating_sub(distinct);
    if further as f64 > distinct as f64 * 0.2 + 40.0 {
        find(Rule::Retries, format!("{further} further rounds for {distinct} jobs"));
    }
    let mut acknowledged: Vec<&OwnedValue> =
        journals.operators.iter().filter(|line| number(line, "epoch") > 0).collect();
    acknowledged.sort_by_key(|line| number(line, "acknowledged"));
    let mut highest = (0, 0);
    for line in acknowledged {
        // One that was asked after another's acknowledgement is later, unless
        // it is a repeat.
        let is_repeat = line.get("repeated").and_then(|v| v.as_bool()).unwrap_or(false);
        let (epoch, asked) = (number(line, "epoch"), number(line, "at"));
        if !is_repeat && asked > highest.1 && epoch <= highest.0 {
            find(Rule::Epochs, format!("epoch {epoch} was given after {}", highest.0));
        }
        if epoch > highest.0 {
            highest = (epoch, number(line, "acknowledged"));
        }
    }
    for (engine, most, slots) in cold_starts(&journals.engines) {
        // The set point is four fifths; a cold engine stays well below it.
        if most * 2 > slots + 4 {
            find(Rule::Flooded, format!("{engine} ran {most} at once of {slots} while cold"));
        }
    }
    findings
}

/// For each cold start: the engine, the most that it ran at once before it had
/// completed a score of answers, and its slots.
pub fn cold_starts(engines: &[OwnedValue]) -> Vec<(String, u64, u64)> {
    let mut starts = Vec::new();
    let mut names: Vec<&str> = engines.iter().map(|line| text(line, "engine")).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let mut lines: Vec<&OwnedValue> =
            engines.iter().filter(|line| text(line, "engine") == name).collect();
        lines.sort_by_key(|line| number(line, "at"));
        // Running, most, completed, slots; none while warm.
        let mut cold: Option<(u64, u64, u64, u64)> = None;
        for line in lines {
            let event = text(line, "event");
            let is_cold = line.get("cold").and_then(|v| v.as_bool()) == Some(true);
            if event == "started" {
                starts
                    .extend(cold.take().map(|(_, most, _, slots)| (name.to_string(), most, slots)));
                cold = is_cold.then(|| (0, 0, 0, number(line, "slots")));
            }
            let Some((running, most, completed, slots)) = &mut cold else { continue };
            match event {
                "begun-warm" | "begun-cold" => *running += 1,
                "ended" | "cancelled" => {
                    *running = running.saturating_sub(1);
                    *completed += 1;
                }
                _ => {}
            }
            *most = (*most).max(*running);
            if *completed >= 20 {
                starts.push((name.to_string(), *most, *slots));
                cold = None;
            }
        }
        starts.extend(cold.map(|(_, most, _, slots)| (name.to_string(), most, slots)));
    }
    starts
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    fn lines(text: &str) -> Vec<OwnedValue> {
        let read = |line: &str| residency::parse_text(line).expect("a line of the case reads");
        text.lines().map(str::trim).filter(|line| !line.is_empty()).map(read).collect()
    }

    fn ground() -> Ground {
        let map = |pairs: &[(&str, &str)]| {
            pairs.iter().map(|(a, b)| (a.to_string(), b.to_string())).collect()
        };
        Ground {
            engine_regions: map(&[("e1", "north"), ("e2", "south")]),
            engine_zones: map(&[("e1", "north-a"), ("e2", "south-a")]),
            homes: [("ana".to_string(), ["north".to_string()].into())].into(),
        }
    }

    fn ran(job: &str, engine: &str, run: u64, at: u64) -> String {
        ["received", "begun-cold", "ended"]
            .iter()
            .enumerate()
            .map(|(n, event)| {
                let (run, at) = (if n == 0 { 0 } else { run }, at + n as u64);
                format!(r#"{{"at":{at},"engine":"{engine}","job":"{job}","event":"{event}","run":{run}}}"#) + "\n"
            })
            .collect()
    }

    fn caller(job: &str, at: u64, rest: &str) -> String {
        format!(r#"{{"at":{at},"job":"{job}","tenant":"ana","once":true,{rest}}}"#) + "\n"
    }

    const WHOLE: &str = r#""seen":"whole","engine":"e1","run":1"#;
    const NOT_RUN: &str = r#""seen":"refused","outcome":"not-run""#;

    /// The checker finds each rule broken where it is, and nothing elsewhere.
    #[test]
    fn each_rule_is_seen_broken() {
        let operator = |at: u64, rest: &str| {
            format!(r#"{{"at":{at},"acknowledged":{},{rest}}}"#, at + 10) + "\n"
        };
        let drain = operator(S, r#""do":"engine-state","state":"draining","name":"e1","epoch":5"#);
        let serve =
            operator(9 * S, r#""do":"engine-state","state":"serving","name":"e1","epoch":6"#);
        let empty = operator(S, r#""do":"evacuate","zone":"north-a","epoch":5"#);
        let gone = operator(S, r#""do":"key-gone","tenant":"ana","epoch":5"#);
        let cases: Vec<(&str, String, String, String, Vec<Rule>)> = vec![
            ("well", ran("j", "e1", 1, S), caller("j", S, WHOLE), String::new(), vec![]),
            (
                "twice",
                ran("j", "e1", 1, S) + &ran("j", "e1", 2, S),
                caller("j", S, WHOLE),
                String::new(),
                vec![Rule::NotTwice],
            ),
            (
                "not run, and run",
                ran("j", "e1", 1, S),
                caller("j", S, NOT_RUN),
                String::new(),
                vec![Rule::NotRunMeansNotRun],
            ),
            (
                "no outcome",
                String::new(),
                caller("j", S, r#""seen":"refused""#),
                String::new(),
                vec![Rule::NotRunMeansNotRun],
            ),
            ("not run", String::new(), caller("j", S, NOT_RUN), String::new(), vec![]),
            (
                "made up",
                String::new(),
                caller("j", S, WHOLE),
                String::new(),
                vec![Rule::OneRunWhole],
            ),
            (
                "wrong",
                String::new(),
                caller("j", S, r#""seen":"wrong","text":"a gap""#),
                String::new(),
                vec![Rule::OneRunWhole],
            ),
            (
                "broken is allowed",
                ran("j", "e1", 1, S),
                caller("j", S, r#""seen":"broken""#),
                String::new(),
                vec![],
            ),
            (
                "away",
                ran("j", "e2", 1, S),
                caller("j", S, r#""seen":"broken""#),
                String::new(),
                vec![Rule::Homes],
            ),
            (
                "drained, in time",
                ran("j", "e1", 1, 5 * S),
                caller("j", S, WHOLE),
                drain.clone(),
                vec![],
            ),
            (
                "drained",
                ran("j", "e1", 1, 7 * S),
                caller("j", S, WHOLE),
                drain.clone(),
                vec![Rule::Leaving],
            ),
            (
                "drained and back",
                ran("j", "e1", 1, 10 * S),
                caller("j", S, WHOLE),
                drain + &serve,
                vec![],
            ),
            (
                "emptied",
                ran("j", "e1", 1, 7 * S),
                caller("j", S, WHOLE),
                empty,
                vec![Rule::Evacuated],
            ),
            (
                "key taken",
                ran("j", "e1", 1, 7 * S),
                caller("j", 7 * S, WHOLE),
                gone,
                vec![Rule::KeyTaken],
            ),
            (
                "epochs fall",
                String::new(),
                String::new(),
                operator(S, r#""do":"evacuate","zone":"x","epoch":9"#)
                    + &operator(2 * S, r#""do":"evacuate","zone":"x","epoch":8"#),
                vec![Rule::Epochs],
            ),
        ];
        for (name, engines, callers, operators, wanted) in cases {
            let journals = Journals {
                engines: lines(&engines),
                callers: lines(&callers),
                operators: lines(&operators),
            };
            let found: Vec<Rule> = check(&ground(), &journals).iter().map(|f| f.rule).collect();
            assert_eq!(found, wanted, "{name}");
        }
    }

    #[test]
    fn a_flooded_cold_engine_is_seen() {
        let line = |at: u64, event: &str, rest: &str| {
            format!(r#"{{"at":{at},"engine":"e1","job":"","event":"{event}","run":{at}{rest}}}"#)
                + "\n"
        };
        let run = |is_cold: bool, at_once: u64| {
            let start = line(1, "started", &format!(r#","cold":{is_cold},"slots":8"#));
            let begun: String = (2..2 + at_once).map(|at| line(at, "begun-cold", "")).collect();
            let ended: String = (20..20 + at_once).map(|at| line(at, "ended", "")).collect();
            let journals =
                Journals { engines: lines(&(start + &begun + &ended)), ..Journals::default() };
            check(&ground(), &journals).iter().map(|f| f.rule).collect::<Vec<_>>()
        };
        assert_eq!(run(true, 6), []);
        assert_eq!(run(true, 7), [Rule::Flooded]);
        assert_eq!(run(false, 8), [], "a warm one may be full");
    }

    #[test]
    fn too_many_rounds_are_seen() {
        let job = |n: usize| {
            let id = format!("j{n}");
            let received = |_| ran(&id, "e1", 1, S).lines().next().unwrap_or("").to_string() + "\n";
            ((0..2).map(received).collect::<String>(), caller(&id, S, r#""seen":"broken""#))
        };
        let (engines, callers): (Vec<String>, Vec<String>) = (0..100).map(job).unzip();
        let journals = Journals {
            engines: lines(&engines.concat()),
            callers: lines(&callers.concat()),
            operators: Vec::new(),
        };
        let found: Vec<Rule> = check(&ground(), &journals).iter().map(|f| f.rule).collect();
        assert_eq!(found, [Rule::Retries]);
    }
}
