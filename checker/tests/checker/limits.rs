//! Slow start, quotas and set points.

use crate::evidence::*;
use checker::{check, Journals, Rule};

#[test]
fn a_flooded_cold_engine_is_seen() {
    let line = |at: u64, event: &str, rest: &str| {
        format!(r#"{{"at":{at},"engine":"e1","job":"","event":"{event}","run":{at}{rest}}}"#) + "\n"
    };
    let run = |is_cold: bool, at_once: u64| {
        let start = line(1, "started", &format!(r#","cold":{is_cold},"slots":8"#));
        let begun: String = (2..2 + at_once)
            .map(|at| line(at, "begun-cold", ""))
            .collect();
        let ended: String = (20..20 + at_once).map(|at| line(at, "ended", "")).collect();
        let journals = Journals {
            engines: lines(&(start + &begun + &ended)),
            ..Journals::default()
        };
        check(&deployment(), &journals)
            .iter()
            .map(|f| f.rule)
            .collect::<Vec<_>>()
    };
    assert_eq!(run(true, 1), []);
    assert_eq!(run(true, 2), [Rule::SlowStart]);
    assert_eq!(run(false, 8), [], "a warm one may be full");
}

/// Quotas of two a second and a burst of four; set points of seven.
#[test]
fn quotas_and_set_points_are_judged() {
    let job = |n: u64, at: u64, seen: &str| {
        let line = format!(r#"{{"at":{at},"job":"p{n}","tenant":"pia","once":true,{seen}}}"#);
        let ended = if seen.contains("broken") {
            ran(&format!("p{n}"), "e2", n, at)
        } else {
            String::new()
        };
        (ended, line + "\n")
    };
    let broken = r#""seen":"broken""#;
    let refused =
        r#""seen":"refused","status":429,"retry_after":1,"outcome":"not-run","code":"quota""#;
    let day = |each: u64, count: u64, seen: &dyn Fn(u64) -> &'static str| {
        let all: Vec<(String, String)> =
            (0..count).map(|n| job(n, S + n * each, seen(n))).collect();
        let (engines, clients): (Vec<String>, Vec<String>) = all.into_iter().unzip();
        found(&Journals {
            engines: lines(&engines.concat()),
            clients: lines(&clients.concat()),
            ..Journals::default()
        })
    };
    assert_eq!(day(S / 2, 40, &|_| broken), []);
    assert_eq!(day(S / 4, 40, &|_| broken), [Rule::QuotaExceeded]);
    assert_eq!(
        day(S / 2, 40, &|n| if n == 30 { refused } else { broken }),
        [Rule::RefusedWithinQuota]
    );
    assert_eq!(
        day(S / 4, 40, &|n| if n > 7 && n % 2 == 1 {
            refused
        } else {
            broken
        })[..],
        []
    );

    let held = |count: u64, apart: u64| {
        let line = |n: u64| {
            format!(
                r#"{{"at":{},"engine":"e1","job":"h{n}","event":"received"}}"#,
                S + n * apart
            ) + "\n"
        };
        found(&Journals {
            engines: lines(&(0..count).map(line).collect::<String>()),
            ..Journals::default()
        })
    };
    assert_eq!(held(12, 1000), [], "vitals could not say so yet");
    assert_eq!(held(7, S), []);
    assert_eq!(held(9, S), [Rule::EngineOverload]);
}
