//! What clients got, what engines ran, and retries.

use crate::evidence::*;
use checker::{check, Journals, Rule};

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
