//! The command lines: what is refused, with which words and which exit code,
//! and what an operator gets done.

mod common;

use common::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use testbed::fleet::{program, ProcessKind};

fn run(name: &str, args: &[&str], input: &str) -> Output {
    let mut child = Command::new(program(name).expect("it is built"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut stdin = child.stdin.take().expect("piped");
    // A program that refuses its words does not read its input.
    drop(stdin.write_all(input.as_bytes()));
    drop(stdin);
    child.wait_with_output().expect("it ends")
}

fn words(output: &Output) -> String {
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&both).into_owned()
}

#[test]
fn wrong_words_end_with_2_and_say_everything_at_once() {
    let folder = Folder::new("words");
    std::fs::create_dir_all(&folder.0).expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.0.join(name);
        std::fs::write(&path, text).expect("it is written");
        path.display().to_string()
    };
    let broken = file("broken.json", "{\n  \"name\": nope\n}");
    let odd = file(
        "odd.json",
        r#"{"nmae":"x","seeds":["127.0.0.1:1","nowhere"],"voters":{}}"#,
    );
    let book = file(
        "book.json",
        r#"{"cells":{"c":{"zone":"z"}},"rules":["door"]}"#,
    );
    let rules = file("rules", "door a at \"/a/\" tenant bearer\nset fill much");
    let day = file("day", "{\"at\":1}\nnot json");
    let event = |uid: &str, lines: &str| {
        format!(
            "BEGIN:VEVENT\r\nUID:{uid}\r\nDTSTAMP:20260101T000000Z\r\n{lines}\r\nEND:VEVENT\r\n"
        )
    };
    let calendar = |events: &[String]| {
        let events = events.concat();
        format!("BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:test\r\n{events}END:VCALENDAR\r\n")
    };
    let zoned = |start: &str, rest: &str| {
        format!(
            "SUMMARY:evacuate south-a\r\nDTSTART;TZID=America/Bogota:{start}\r\n\
             DTEND;TZID=America/Bogota:20360105T040000{rest}"
        )
    };
    let good = file(
        "good.ics",
        &calendar(&[event(
            "w1",
            &zoned("20360105T020000", "\r\nRRULE:FREQ=WEEKLY;COUNT=3"),
        )]),
    );
    let bad = file(
        "bad.ics",
        &calendar(&[
            event("w1", &zoned("20360105T050000", "")),
            event("w2", "SUMMARY:paint the door\r\nDTSTART:20360105T020000Z\r\nDTEND:20360105T040000Z"),
            event("w3", "SUMMARY:drain engine-1\r\nDTSTART:20360105T020000\r\nDTEND:20360105T040000"),
            event("w4", &zoned("20360105T020000", "\r\nRRULE:FREQ=SOMETIMES")),
            event("w5", "SUMMARY:drain engine-1\r\nDTSTART;VALUE=DATE:20360105\r\nDTEND;VALUE=DATE:20360106"),
        ]),
    );
    let deployment = concat!(env!("CARGO_MANIFEST_DIR"), "/deployments/haatbari.json");
    let melting = r#"[{"name":"x","events":[{"share":0.1,"machine":"melt","name":"router-1"}]}]"#;
    let melting = file("melting.json", melting);
    let drawn = |seeds: &'static str| {
        vec![
            "--deployment",
            deployment,
            "--output-dir",
            "y",
            "--print",
            "yes",
            "--seeds",
            seeds,
        ]
    };
    let cases: Vec<(&str, Vec<&str>, i32, Vec<&str>)> = vec![
        (
            "scenarios",
            drawn("7-8"),
            0,
            vec!["\"drawn-7\"", "\"drawn-8\""],
        ),
        (
            "scenarios",
            drawn("8-7"),
            2,
            vec!["seeds: 8-7 goes backwards"],
        ),
        (
            "scenarios",
            drawn("8"),
            2,
            vec!["seeds: \"8\" is no range FROM-TO"],
        ),
        (
            "scenarios",
            drawn("1-x"),
            2,
            vec!["seeds: \"1-x\" is no range"],
        ),
        (
            "scenarios",
            drawn("0-1000000"),
            2,
            vec!["over 100000 seeds"],
        ),
        (
            "scenarios",
            vec![
                "--deployment",
                deployment,
                "--output-dir",
                "y",
                "--kinds",
                "storm,melted",
            ],
            2,
            vec!["melted is no kind of fault; there are killed, engine-killed"],
        ),
        (
            "scenarios",
            vec![
                "--deployment",
                deployment,
                "--output-dir",
                "y",
                "--scenarios",
                &melting,
            ],
            2,
            vec!["x: events: machine: melt is none of kill, start"],
        ),
        (
            "scenarios",
            vec![
                "--deployment",
                deployment,
                "--output-dir",
                "y",
                "--scenarios",
                &melting,
                "--only",
                "none",
            ],
            2,
            vec!["there is no scenario none"],
        ),
        (
            "scenarios",
            vec!["--deployment", &broken, "--output-dir", "y"],
            2,
            vec!["line 2, column"],
        ),
        (
            "rushctl",
            vec!["maintenance", "--check", "--days", "3650", &good],
            0,
            vec![
                "evacuate south-a from 2036-01-05T06:55:00+00:00 until 2036-01-05T09:00:00+00:00",
                "2036-01-12T06:55:00",
                "2036-01-19T06:55:00",
            ],
        ),
        (
            "rushctl",
            vec!["maintenance", "--check", "--days", "3650", &bad],
            1,
            vec![
                "event 1 (w1): it ends before it begins",
                "event 2 (w2): SUMMARY is \"paint the door\"",
                "event 3 (w3): DTSTART is in no known time zone",
                "event 4 (w4): RRULE",
                "event 5 (w5): DTSTART is a day",
            ],
        ),
        (
            "rushctl",
            vec!["maintenance", "--check", &day],
            1,
            vec!["day"],
        ),
        (
            "router",
            vec!["--help"],
            0,
            vec!["--door IP:PORT", "Ends with 2"],
        ),
        ("directory", vec!["--version"], 0, vec!["directory 0.1.0"]),
        (
            "router",
            vec!["--name", "a b", "--door", "here", "stray"],
            2,
            vec![
                "stray: nothing is known",
                "name: a name is",
                "door: \"here\" is no IP",
                "region: this setting is missing",
                "seeds: ",
            ],
        ),
        ("router", vec!["--dor", "x"], 2, vec!["dor"]),
        (
            "directory",
            vec!["--boot", &odd],
            2,
            vec!["--boot: this option is called --config"],
        ),
        (
            "directory",
            vec!["--config", &broken],
            2,
            vec!["line 2, column"],
        ),
        (
            "directory",
            vec!["--config", &odd],
            2,
            vec![
                "nmae: no such setting",
                "voters: a text",
                "seeds: \"nowhere\"",
                "data: this setting is missing",
            ],
        ),
        (
            "directory",
            vec!["--voters", "0"],
            2,
            vec!["no whole number from 1 to 9"],
        ),
        ("rushctl", vec![], 2, vec!["a command is missing"]),
        (
            "rushctl",
            vec!["--help"],
            0,
            vec!["evacuate ZONE", "--wait SECONDS"],
        ),
        (
            "rushctl",
            vec!["--help", "apply"],
            0,
            vec!["rushctl apply FILE", "--partial"],
        ),
        ("rushctl", vec!["frobnicate"], 2, vec!["no such command"]),
        (
            "rushctl",
            vec!["evacuate"],
            2,
            vec!["usage: rushctl evacuate ZONE"],
        ),
        (
            "rushctl",
            vec!["status", "--wait", "3"],
            2,
            vec!["status knows no --wait"],
        ),
        (
            "rushctl",
            vec!["--operator-api", "x", "status"],
            2,
            vec!["x: no IP number and port"],
        ),
        (
            "rushctl",
            vec!["--operator-api", "127.0.0.1:1", "status"],
            1,
            vec!["asking 127.0.0.1:1"],
        ),
        (
            "rushctl",
            vec!["check", &book],
            1,
            vec![
                "cells.c.zone: there is no zone z",
                "rules: line 1, column 5",
            ],
        ),
        (
            "rushctl",
            vec!["check", &book, "--rules", &rules],
            1,
            vec!["line 2, column 10: expected a percentage"],
        ),
        (
            "replay",
            vec!["--workload", &day, "--deployment", "x", "--output-dir", "y"],
            2,
            vec!["line 1: zone: a text", "line 2: column"],
        ),
        (
            "workload",
            vec!["--deployment", &broken],
            1,
            vec!["line 2, column"],
        ),
    ];
    for (name, args, code, wanted) in cases {
        let output = run(name, &args, "");
        let found = words(&output);
        assert_eq!(output.status.code(), Some(code), "{name} {args:?}: {found}");
        for wanted in wanted {
            assert!(
                found.contains(wanted),
                "{name} {args:?} lacks {wanted:?}: {found}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_changes_things_and_sees_them_in_force() {
    let (folder, fleet) = start_fleet("operator").await;
    let operator_addresses: Vec<String> = fleet
        .operator_addresses()
        .iter()
        .map(|operator_address| operator_address.to_string())
        .collect();
    let operator_addresses = operator_addresses.join(",");
    let operator = |args: &[&str], input: &str| {
        let mut all = vec!["--operator-api", &operator_addresses];
        all.extend(args);
        let output = run("rushctl", &all, input);
        (output.status.code(), words(&output))
    };
    let part = folder.0.join("part.json");
    std::fs::write(&part, r#"{"tenants":{"cleo":{"homes":["north"]}}}"#).expect("written");
    let part = part.display().to_string();
    let router_address = fleet.get("router-2").client_address();

    let cases: Vec<(Vec<&str>, &str, i32, Vec<&str>)> = vec![
        (vec!["bootstrap"], "", 1, vec!["founded-already (409)"]),
        (
            vec!["key-add", "cleo", "--wait", "20"],
            "cleo-key-0003\n",
            1,
            vec!["no tenant cleo"],
        ),
        (
            vec!["apply", "--partial", &part, "--wait", "20", "--id", "r-1"],
            "",
            0,
            vec!["in force everywhere"],
        ),
        (
            vec!["apply", "--partial", &part, "--id", "r-1"],
            "",
            0,
            vec!["a repeat"],
        ),
        (
            vec!["apply", "--partial", &part, "--base", "1"],
            "",
            1,
            vec!["conflict (409)"],
        ),
        (
            vec!["key-add", "cleo", "--wait", "20"],
            "short\n",
            1,
            vec!["8 to 256 characters"],
        ),
        (
            vec!["key-add", "cleo", "--wait", "20"],
            "cleo-key-0003\n",
            0,
            vec!["in force everywhere"],
        ),
        (
            vec!["explain", "cleo", "writer", "south"],
            "",
            0,
            vec!["\"engine\": \"engine-", "ranks first"],
        ),
        (vec!["explain", "cleo", "pictures"], "", 1, vec!["no-place"]),
        (vec!["members"], "", 0, vec!["directory-3", "leads"]),
        (vec!["topology"], "", 0, vec!["cleo"]),
        (
            vec!["engine-drain", "engine-1", "--wait", "20"],
            "",
            0,
            vec!["acknowledged"],
        ),
        (
            vec!["move", "ben", "writer", "north-1", "--wait", "20"],
            "",
            0,
            vec!["acknowledged"],
        ),
        (
            vec!["evacuate", "south-a", "--wait", "20"],
            "",
            0,
            vec!["acknowledged"],
        ),
        (
            vec!["status"],
            "",
            0,
            vec![
                "draining",
                "evacuated: south-a",
                "moving: ben/writer to north-1",
                "router-3",
            ],
        ),
        (
            vec!["submit"],
            "{\"do\":",
            1,
            vec!["standard input: line 1, column"],
        ),
        (
            vec!["submit"],
            r#"{"do":"dance"}"#,
            1,
            vec!["do: dance is nothing"],
        ),
        (
            vec!["submit"],
            r#"{"do":"evacuate","zone":"south-a"}"#,
            0,
            vec!["acknowledged"],
        ),
        (
            vec!["remove-member", "zz"],
            "",
            1,
            vec!["16 hexadecimal digits"],
        ),
    ];
    for (args, input, code, wanted) in cases {
        let (found_code, found) = operator(&args, input);
        assert_eq!(found_code, Some(code), "{args:?}: {found}");
        for wanted in wanted {
            assert!(found.contains(wanted), "{args:?} lacks {wanted:?}: {found}");
        }
    }
    // A maintenance window of a few seconds begins and ends by itself.
    let stamp = |seconds: i64| {
        let time = chrono::Utc::now() + chrono::Duration::seconds(seconds);
        time.format("%Y%m%dT%H%M%SZ").to_string()
    };
    let calendar = folder.0.join("soon.ics");
    let text = format!(
        "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:test\r\nBEGIN:VEVENT\r\nUID:soon\r\n\
         DTSTAMP:20260101T000000Z\r\nSUMMARY:evacuate west-a\r\nDTSTART:{}\r\nDTEND:{}\r\n\
         END:VEVENT\r\nEND:VCALENDAR\r\n",
        stamp(1),
        stamp(6)
    );
    std::fs::write(&calendar, text).expect("written");
    let (code, found) = operator(&["maintenance", &calendar.display().to_string()], "");
    assert_eq!(code, Some(0), "{found}");
    for is_shut in [true, false] {
        let patience = std::time::Duration::from_secs(30);
        testbed::fleet::wait_until(patience, "the window's turn", async || {
            let (_, found) = operator(&["status"], "");
            anyhow::ensure!(found.contains("evacuated: west-a") == is_shut, "{found}");
            anyhow::ensure!(found.contains("window") == is_shut, "{found}");
            Ok(())
        })
        .await
        .expect("it turns");
    }
    let (engine, _) =
        complete_response(router_address, &prompt("j-1", "cleo-key-0003", "hello")).await;
    assert_eq!(
        engine, "engine-2",
        "the other engine of the cell is drained"
    );
    let (code, found) = operator(&["key-remove", "--wait", "20"], "cleo-key-0003\n");
    assert_eq!(code, Some(0), "{found}");
    assert_eq!(
        rejection(router_address, &prompt("j-2", "cleo-key-0003", "x")).await,
        not_run(401, "unknown-key")
    );
    // A key that is moving is never fresh: each of its requests reaches a
    // directory node, until the move is settled.
    let forwards = async || {
        fleet
            .count(ProcessKind::Router, "forwards")
            .await
            .expect("told")
    };
    let before = forwards().await;
    for n in 0..3 {
        let (engine, _) = complete_response(
            router_address,
            &prompt(&format!("m-{n}"), "ben-key-0002", "x"),
        )
        .await;
        assert_eq!(engine, "engine-2");
    }
    assert_eq!(forwards().await, before + 3);
    // Nor while a zone of its first home is evacuated.
    let (code, found) = operator(&["reinstate", "south-a", "--wait", "20"], "");
    assert_eq!(code, Some(0), "{found}");
    let (code, found) = operator(&["complete-move", "ben", "writer", "--wait", "20"], "");
    assert_eq!(code, Some(0), "{found}");
    for n in 3..6 {
        complete_response(
            router_address,
            &prompt(&format!("m-{n}"), "ben-key-0002", "x"),
        )
        .await;
    }
    assert_eq!(forwards().await, before + 4, "settled, it is cached again");
}
