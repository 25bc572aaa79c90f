//! The checker finds what breaks a rule, and nothing else.

use checker::{check, Deployment, EngineSlots, Journals, Quota, Rule};
use simd_json::OwnedValue;

const S: u64 = 1_000_000;

fn lines(text: &str) -> Vec<OwnedValue> {
    let read = |line: &str| residency::parse_json(line).expect("a line of the case reads");
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .map(read)
        .collect()
}

fn deployment() -> Deployment {
    let map = |pairs: &[(&str, &str)]| {
        pairs
            .iter()
            .map(|(a, b)| (a.to_string(), b.to_string()))
            .collect()
    };
    let slots = EngineSlots {
        total: 8,
        set_point: 7,
    };
    Deployment {
        engine_regions: map(&[("e1", "north"), ("e2", "south")]),
        engine_zones: map(&[("e1", "north-a"), ("e2", "south-a")]),
        engine_slots: [("e1".to_string(), slots), ("e2".to_string(), slots)].into(),
        node_regions: map(&[("r1", "north"), ("r2", "south"), ("d1", "south")]),
        zone_regions: map(&[("north-a", "north"), ("south-a", "south")]),
        home_regions: [("ana".to_string(), ["north".to_string()].into())].into(),
        quotas: [(
            "pia".to_string(),
            Quota {
                requests_per_s: 2,
                burst: 4,
            },
        )]
        .into(),
    }
}

fn ran(job: &str, engine: &str, run: u64, at: u64) -> String {
    ["received", "begun-cold", "ended"]
        .iter()
        .enumerate()
        .map(|(n, event)| {
            let (run, at) = (if n == 0 { 0 } else { run }, at + n as u64);
            format!(
                r#"{{"at":{at},"engine":"{engine}","job":"{job}","event":"{event}","run":{run}}}"#
            ) + "\n"
        })
        .collect()
}

fn client(job: &str, at: u64, rest: &str) -> String {
    format!(r#"{{"at":{at},"job":"{job}","tenant":"ana","once":true,{rest}}}"#) + "\n"
}

const WHOLE: &str = r#""seen":"whole","engine":"e1","run":1"#;
const NOT_RUN: &str = r#""seen":"refused","status":503,"retry_after":1,"outcome":"not-run""#;

/// The checker finds each rule broken where it is, and nothing elsewhere.
#[test]
fn each_rule_is_seen_broken() {
    let operator =
        |at: u64, rest: &str| format!(r#"{{"at":{at},"acknowledged":{},{rest}}}"#, at + 10) + "\n";
    let drain = operator(
        S,
        r#""do":"engine-state","state":"draining","name":"e1","epoch":5"#,
    );
    let serve = operator(
        9 * S,
        r#""do":"engine-state","state":"serving","name":"e1","epoch":6"#,
    );
    let empty = operator(S, r#""do":"evacuate","zone":"north-a","epoch":5"#);
    let gone = operator(S, r#""do":"key-gone","tenant":"ana","epoch":5"#);
    let cases: Vec<(&str, String, String, String, Vec<Rule>)> = vec![
        (
            "well",
            ran("j", "e1", 1, S),
            client("j", S, WHOLE),
            String::new(),
            vec![],
        ),
        (
            "twice",
            ran("j", "e1", 1, S) + &ran("j", "e1", 2, S),
            client("j", S, WHOLE),
            String::new(),
            vec![Rule::AtMostOnce, Rule::RetryBudget],
        ),
        (
            "not run, and run",
            ran("j", "e1", 1, S),
            client("j", S, NOT_RUN),
            String::new(),
            vec![Rule::NotRunMeansNotRun],
        ),
        (
            "no outcome",
            String::new(),
            client("j", S, r#""seen":"refused""#),
            String::new(),
            vec![Rule::NotRunMeansNotRun],
        ),
        (
            "not run",
            String::new(),
            client("j", S, NOT_RUN),
            String::new(),
            vec![],
        ),
        (
            "made up",
            String::new(),
            client("j", S, WHOLE),
            String::new(),
            vec![Rule::CompleteResponse],
        ),
        (
            "wrong",
            String::new(),
            client("j", S, r#""seen":"wrong","text":"a gap""#),
            String::new(),
            vec![Rule::CompleteResponse],
        ),
        (
            "broken is allowed",
            ran("j", "e1", 1, S),
            client("j", S, r#""seen":"broken""#),
            String::new(),
            vec![],
        ),
        (
            "away",
            ran("j", "e2", 1, S),
            client("j", S, r#""seen":"broken""#),
            String::new(),
            vec![Rule::HomeRegions],
        ),
        (
            "drained, in time",
            ran("j", "e1", 1, 4 * S),
            client("j", S, WHOLE),
            drain.clone(),
            vec![],
        ),
        (
            "drained",
            ran("j", "e1", 1, 7 * S),
            client("j", S, WHOLE),
            drain.clone(),
            vec![Rule::Drained],
        ),
        (
            "drained and back",
            ran("j", "e1", 1, 10 * S),
            client("j", S, WHOLE),
            drain + &serve,
            vec![],
        ),
        (
            "emptied",
            ran("j", "e1", 1, 7 * S),
            client("j", S, WHOLE),
            empty,
            vec![Rule::Evacuated],
        ),
        (
            "key taken",
            ran("j", "e1", 1, 7 * S),
            client("j", 7 * S, WHOLE),
            gone,
            vec![Rule::RevokedKey],
        ),
        (
            "epochs fall",
            String::new(),
            String::new(),
            operator(S, r#""do":"evacuate","zone":"x","epoch":9"#)
                + &operator(2 * S, r#""do":"evacuate","zone":"x","epoch":8"#),
            vec![Rule::EpochOrder],
        ),
    ];
    for (name, engines, clients, operators, wanted) in cases {
        let journals = Journals {
            engines: lines(&engines),
            clients: lines(&clients),
            operators: lines(&operators),
            ..Journals::default()
        };
        let found: Vec<Rule> = check(&deployment(), &journals)
            .iter()
            .map(|f| f.rule)
            .collect();
        assert_eq!(found, wanted, "{name}");
    }
}

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

#[test]
fn too_many_rounds_are_seen() {
    let job = |n: usize| {
        let id = format!("j{n}");
        let received = |_| {
            ran(&id, "e1", 1, S)
                .lines()
                .next()
                .unwrap_or("")
                .to_string()
                + "\n"
        };
        (
            (0..2).map(received).collect::<String>(),
            client(&id, S, r#""seen":"broken""#),
        )
    };
    let (engines, clients): (Vec<String>, Vec<String>) = (0..100).map(job).unzip();
    let journals = Journals {
        engines: lines(&engines.concat()),
        clients: lines(&clients.concat()),
        ..Journals::default()
    };
    let found: Vec<Rule> = check(&deployment(), &journals)
        .iter()
        .map(|f| f.rule)
        .collect();
    assert_eq!(found, [Rule::RetryBudget]);
}

fn found(journals: &Journals) -> Vec<Rule> {
    check(&deployment(), journals)
        .iter()
        .map(|finding| finding.rule)
        .collect()
}

/// What processes wrote of themselves: bodies, epochs, further rounds, ends.
#[test]
fn what_processes_wrote_is_judged() {
    let node = |at: u64, name: &str, rest: &str| {
        format!(r#"{{"at":{at},"name":"{name}","job":"j","what":{rest}}}"#) + "\n"
    };
    let body = "\"the request is received\"";
    let sent = |epoch: u64| format!(r#""dispatched","epoch":{epoch}"#);
    let acknowledged = |at: u64, epoch: u64| {
        format!(r#"{{"at":{at},"acknowledged":{at},"do":"revise","epoch":{epoch}}}"#) + "\n"
    };
    let narrowed = format!(
        r#"{{"at":{S},"acknowledged":{S},"do":"revise","epoch":5,"book":{{"tenants":{{"ana":{{"homes":["south"]}}}}}}}}"#
    ) + "\n";
    let none = String::new;
    let cases: Vec<(&str, String, String, Vec<Rule>)> = vec![
        (
            "the caller's own region",
            node(S, "r1", body),
            none(),
            vec![],
        ),
        (
            "a machine elsewhere",
            node(S, "d1", body),
            none(),
            vec![Rule::HomeRegions],
        ),
        (
            "a home that is new",
            node(2 * S, "d1", body),
            narrowed.clone(),
            vec![],
        ),
        ("a home that was", node(2 * S, "r1", body), narrowed, vec![]),
        (
            "in time",
            node(3 * S, "r1", &sent(4)),
            acknowledged(S, 5),
            vec![],
        ),
        (
            "late",
            node(5 * S, "r1", &sent(4)),
            acknowledged(S, 5),
            vec![Rule::InForce],
        ),
        (
            "back",
            node(S, "r1", &sent(5)) + &node(2 * S, "r1", &sent(4)),
            none(),
            vec![Rule::EpochOrder],
        ),
        (
            "two nodes",
            node(S, "r1", &sent(5)) + &node(2 * S, "d1", &sent(4)),
            none(),
            vec![],
        ),
        (
            "a round more",
            node(S, "r1", "\"retrying the request\""),
            none(),
            vec![Rule::RetryBudget],
        ),
        (
            "an end",
            node(S, "r1", "\"panicked\""),
            none(),
            vec![Rule::Panicked],
        ),
    ];
    for (name, nodes, operators, wanted) in cases {
        let journals = Journals {
            nodes: lines(&nodes),
            clients: lines(&client("j", S, r#""zone":"north-a","seen":"broken""#)),
            operators: lines(&operators),
            ..Journals::default()
        };
        assert_eq!(found(&journals), wanted, "{name}");
    }
}

/// Operators' word, kept or not; service back or not; refusals that say when.
#[test]
fn words_and_bounds_are_judged() {
    let operator = |rest: &str| {
        format!(r#"{{"at":{S},"acknowledged":{S},"do":"revise","epoch":5,{rest}}}"#) + "\n"
    };
    let well = |at: u64| format!(r#"{{"at":{at},"action":"start","all_well":true}}"#) + "\n";
    let gone = |done: u64| {
        client(
            "j",
            S,
            &format!(r#""done":{done},"seen":"whole","engine":"e1","run":1"#),
        ) + &client("k", 30 * S, r#""seen":"broken""#)
    };
    let refused = |rest: &str| {
        client(
            "j",
            S,
            &format!(r#""seen":"refused","outcome":"not-run",{rest}"#),
        )
    };
    let none = String::new;
    let cases: Vec<(&str, String, String, String, Vec<Rule>)> = vec![
        (
            "kept",
            operator(r#""remembered":5,"in_force_ms":9"#),
            none(),
            none(),
            vec![],
        ),
        (
            "gone",
            operator(r#""remembered":null"#),
            none(),
            none(),
            vec![Rule::LostChange],
        ),
        (
            "another",
            operator(r#""remembered":9"#),
            none(),
            none(),
            vec![Rule::LostChange],
        ),
        (
            "slow",
            operator(r#""in_force_ms":3001"#),
            none(),
            none(),
            vec![Rule::InForce],
        ),
        (
            "never",
            operator(r#""in_force_ms":null"#),
            none(),
            none(),
            vec![Rule::InForce],
        ),
        ("back", none(), gone(14 * S), well(3 * S), vec![]),
        (
            "not back",
            none(),
            gone(16 * S),
            well(3 * S),
            vec![Rule::RecoveryTime],
        ),
        (
            "when",
            none(),
            refused(r#""status":503,"retry_after":1"#),
            none(),
            vec![],
        ),
        (
            "not when",
            none(),
            refused(r#""status":503"#),
            none(),
            vec![Rule::RetryAfter],
        ),
        ("no use", none(), refused(r#""status":401"#), none(), vec![]),
    ];
    for (name, operators, clients, machines, wanted) in cases {
        let journals = Journals {
            operators: lines(&operators),
            clients: lines(&clients),
            machines: lines(&machines),
            engines: lines(&if name.ends_with("back") {
                ran("j", "e1", 1, S)
            } else {
                none()
            }),
            ..Journals::default()
        };
        assert_eq!(found(&journals), wanted, "{name}");
    }
}

/// A caller's further rounds are rounds of one job.
#[test]
fn a_job_that_runs_once_in_each_of_two_rounds_ran_twice() {
    let round = |id: &str, run: u64, seen: &str| {
        (
            ran(id, "e1", run, run * S),
            client(id, run * S, &format!(r#""root":"j",{seen}"#)),
        )
    };
    let (first, second) = (
        round("j", 1, r#""seen":"broken""#),
        round("j-r1", 2, r#""seen":"broken""#),
    );
    let journals = Journals {
        engines: lines(&(first.0 + &second.0)),
        clients: lines(&(first.1 + &second.1)),
        ..Journals::default()
    };
    assert_eq!(found(&journals), [Rule::AtMostOnce]);
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
