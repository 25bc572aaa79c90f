//! What nodes logged, and operators' changes.

use crate::evidence::*;
use checker::{Journals, Rule};

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
