//! The command line as an operator's script sees it: exit codes, what is refused and
//! with which words, and which request a command sends.

use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output, Stdio};

fn run(args: &[&str], variables: &[(&str, &str)], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_rushctl"))
        .args(args)
        .env_remove("RUSHPORT_DESK")
        .env_remove("RUSHPORT_OPERATOR_API")
        .envs(variables.iter().copied())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut stdin = child.stdin.take().expect("piped");
    // A command that reads no input may have ended.
    drop(stdin.write_all(input.as_bytes()));
    drop(stdin);
    child.wait_with_output().expect("it ends")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn a_former_name_is_refused_with_the_new_one() {
    let commands = [
        (vec!["book"], "topology"),
        (vec!["engine-gone", "e1"], "engine-remove"),
        (vec!["engine-list", "e1", "a", "c", "s", "8"], "engine-add"),
        (vec!["found"], "bootstrap"),
        (vec!["give-back", "north-a"], "reinstate"),
        (vec!["key-drop"], "key-remove"),
        (vec!["retire", "00"], "remove-member"),
        (vec!["revise", "book.json"], "apply"),
        (vec!["settle", "ana", "writer"], "complete-move"),
        (vec!["unpin", "ana", "writer"], "undo-move"),
        (vec!["windows", "a.ics"], "maintenance"),
    ];
    for (args, name) in commands {
        let output = run(&args, &[], "");
        let expected = format!(
            "rushctl: {}: this command is called `{name}` now\nrushctl: try --help\n",
            args[0]
        );
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert_eq!(stderr(&output), expected, "{args:?}");
    }

    let output = run(&["--desk", "127.0.0.1:1", "status"], &[], "");
    assert_eq!(output.status.code(), Some(2));
    let expected = "rushctl: --desk: this option is called `--operator-api` now\n";
    assert!(stderr(&output).starts_with(expected), "{output:?}");

    let former = ("RUSHPORT_DESK", "127.0.0.1:1");
    let output = run(&["status"], &[former], "");
    assert_eq!(output.status.code(), Some(2));
    let expected = "rushctl: RUSHPORT_DESK: this variable is called RUSHPORT_OPERATOR_API now\n";
    assert!(stderr(&output).starts_with(expected), "{output:?}");

    // With the new variable beside it the former one means nothing.
    let output = run(&["status"], &[former, ("RUSHPORT_OPERATOR_API", "x")], "");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("x: no IP number and port"),
        "{output:?}"
    );
}

#[test]
fn a_wrong_command_line_ends_with_2_and_says_why() {
    let cases = [
        (vec![], "a command is missing"),
        (vec!["frobnicate"], "frobnicate: no such command is known"),
        (vec!["evacuate"], "usage: rushctl evacuate ZONE"),
        (vec!["evacuate", "a", "b"], "usage: rushctl evacuate ZONE"),
        (
            vec!["explain", "ana"],
            "usage: rushctl explain TENANT SERVICE [REGION]",
        ),
        (vec!["status", "--wait", "3"], "status knows no --wait"),
        (
            vec!["maintenance", "a.ics", "--wait", "3"],
            "maintenance knows no --wait",
        ),
        (
            vec!["evacuate", "a", "--wait", "soon"],
            "--wait is a number of seconds",
        ),
        (vec!["evacuate", "a", "--base", "x"], "--base is an epoch"),
        (
            vec!["maintenance", "a.ics", "--days", "x"],
            "--days is a number",
        ),
        (
            vec!["maintenance", "a.ics", "--ahead", "x"],
            "--ahead is a number",
        ),
        (
            vec!["engine-add", "e", "a", "c", "s", "many"],
            "SLOTS is a number",
        ),
        (vec!["status", "--nonsense"], "nonsense"),
        (
            vec!["--operator-api", "here", "status"],
            "here: no IP number and port",
        ),
    ];
    for (args, expected) in cases {
        let output = run(&args, &[], "");
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(stderr(&output).contains(expected), "{args:?}: {output:?}");
    }
}

#[test]
fn what_is_not_done_ends_with_1_and_says_why() {
    let nobody = ("RUSHPORT_OPERATOR_API", "127.0.0.1:1");
    let cases = [
        (vec![], vec!["status"], "no operator API is named"),
        (vec![nobody], vec!["status"], "asking 127.0.0.1:1"),
        (
            vec![nobody],
            vec!["evacuate", "a", "--id", "p-1"],
            "proposal p-1: asking",
        ),
        (
            vec![nobody],
            vec!["check", "/nowhere.json"],
            "/nowhere.json: No such file",
        ),
        (
            vec![nobody],
            vec!["maintenance", "/nowhere.ics"],
            "/nowhere.ics: No such file",
        ),
    ];
    for (variables, args, expected) in cases {
        let output = run(&args, &variables, "");
        assert_eq!(output.status.code(), Some(1), "{args:?}");
        assert!(stderr(&output).contains(expected), "{args:?}: {output:?}");
    }
}

#[test]
fn help_names_every_command_and_its_options() {
    let output = run(&["--help"], &[], "");
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    for expected in [
        "evacuate ZONE",
        "reinstate ZONE",
        "--wait SECONDS",
        "--operator-api",
    ] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
    let output = run(&["--help", "apply"], &[], "");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.starts_with("rushctl apply FILE\n"), "{text}");
    assert!(text.contains("\n  --partial\n"), "{text}");
    let output = run(&["--version"], &[], "");
    assert_eq!(output.stdout, b"rushctl 0.1.0\n");
}

/// Takes one request: its method and target, and its body.
fn receive(listener: &TcpListener, response: &str) -> (String, String) {
    let (stream, _) = listener.accept().expect("a request");
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).expect("a request line");
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).expect("a header");
        if header.trim().is_empty() {
            break;
        }
        if let Some(value) = header.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    let text = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{response}",
        response.len()
    );
    reader
        .get_mut()
        .write_all(text.as_bytes())
        .expect("answered");
    let first = first.trim_end_matches(" HTTP/1.1\r\n").to_string();
    (first, String::from_utf8(body).expect("text"))
}

fn parse(text: &str) -> OwnedValue {
    let mut bytes = text.as_bytes().to_vec();
    simd_json::to_owned_value(&mut bytes).expect("JSON")
}

/// Guards: the operator API keeps its field names, whatever the commands are called.
#[test]
fn each_command_sends_the_request_that_the_operator_api_takes() {
    let folder = std::env::temp_dir().join(format!("rushctl-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let topology = folder.join("topology.json").display().to_string();
    std::fs::write(&topology, r#"{"tenants":{"ana":{}}}"#).expect("written");
    let calendar = folder.join("windows.ics").display().to_string();
    let event = |uid: &str, summary: &str| {
        format!(
            "BEGIN:VEVENT\r\nUID:{uid}\r\nDTSTAMP:20260101T000000Z\r\nSUMMARY:{summary}\r\n\
             DTSTART:20360105T020000Z\r\nDTEND:20360105T040000Z\r\nEND:VEVENT\r\n"
        )
    };
    let events = [event("w1", "evacuate north-a"), event("w2", "drain e1")].concat();
    let text =
        format!("BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:test\r\n{events}END:VCALENDAR\r\n");
    std::fs::write(&calendar, text).expect("written");

    let engine = |state: &str| {
        json!({
            "do": "engine", "name": "e1", "address": "10.0.0.1:8000", "cell": "c",
            "services": ["a", "b"], "slots": 8, "state": state,
        })
    };
    let state = |state: &str| json!({ "do": "engine-state", "name": "e1", "state": state });
    let book = json!({ "tenants": { "ana": {} } });
    let pair = |what: &str| json!({ "do": what, "tenant": "ana", "service": "writer" });
    // 2036-01-05T02:00:00Z.
    let start = 2_083_111_200_u64;
    let window = |id: &str, field: &str, name: &str, ahead_s: u64| {
        json!({
            "id": format!("{id}@{start}"), field: name,
            "from": start - ahead_s, "until": start + 7_200,
        })
    };
    let windows = |ahead_s| {
        json!({
            "do": "schedule",
            "windows": [
                window("w1", "zone", "north-a", ahead_s),
                window("w2", "engine", "e1", ahead_s),
            ],
        })
    };
    let changes: Vec<(Vec<&str>, &str, OwnedValue)> = vec![
        (
            vec!["apply", &topology],
            "",
            json!({ "do": "revise", "whole": true, "book": book.clone() }),
        ),
        (
            vec!["apply", "--partial", &topology],
            "",
            json!({ "do": "revise", "whole": false, "book": book }),
        ),
        (
            vec!["key-add", "ana"],
            " key-0001\n",
            json!({ "do": "key", "tenant": "ana", "key": "key-0001" }),
        ),
        (
            vec!["key-remove"],
            "key-0001\n",
            json!({ "do": "key-gone", "key": "key-0001" }),
        ),
        (
            vec!["engine-add", "e1", "10.0.0.1:8000", "c", "a,b", "8"],
            "",
            engine("serving"),
        ),
        (
            vec![
                "engine-add",
                "e1",
                "10.0.0.1:8000",
                "c",
                "a,b",
                "8",
                "coming",
            ],
            "",
            engine("coming"),
        ),
        (vec!["engine-serve", "e1"], "", state("serving")),
        (vec!["engine-drain", "e1"], "", state("draining")),
        (
            vec!["engine-remove", "e1"],
            "",
            json!({ "do": "engine-gone", "name": "e1" }),
        ),
        (
            vec!["evacuate", "north-a"],
            "",
            json!({ "do": "evacuate", "zone": "north-a" }),
        ),
        (
            vec!["reinstate", "north-a"],
            "",
            json!({ "do": "give-back", "zone": "north-a" }),
        ),
        (
            vec!["move", "ana", "writer", "north-1"],
            "",
            json!({ "do": "move", "tenant": "ana", "service": "writer", "cell": "north-1" }),
        ),
        (vec!["complete-move", "ana", "writer"], "", pair("settle")),
        (vec!["undo-move", "ana", "writer"], "", pair("unpin")),
        (
            vec!["maintenance", "--days", "3650", &calendar],
            "",
            windows(300),
        ),
        (
            vec!["maintenance", "--days", "3650", "--ahead", "60", &calendar],
            "",
            windows(60),
        ),
        (
            vec!["submit"],
            r#"{"do":"evacuate","zone":"north-a"}"#,
            json!({ "do": "evacuate", "zone": "north-a" }),
        ),
    ];
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let variable = ("RUSHPORT_OPERATOR_API", address.as_str());
    let exchange = |args: &[&str], input: &str, response: &str| {
        std::thread::scope(|scope| {
            let request = scope.spawn(|| receive(&listener, response));
            let output = run(args, &[variable], input);
            assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
            let text = String::from_utf8(output.stdout).expect("text");
            (request.join().expect("one request"), text)
        })
    };
    for (mut args, input, mut expected) in changes {
        args.extend(["--id", "p-1", "--base", "41"]);
        expected.insert("id", "p-1").expect("an object");
        expected.insert("base", 41u64).expect("an object");
        let ((request, body), text) =
            exchange(&args, input, r#"{"id":"p-1","epoch":42,"repeated":true}"#);
        assert_eq!(request, "POST /submit", "{args:?}");
        assert_eq!(parse(&body), expected, "{args:?}");
        assert!(
            text.ends_with("acknowledged: epoch 42, a repeat\n"),
            "{text}"
        );
    }
    let requests: [(&[&str], &str, &str); 8] = [
        (&["bootstrap"], "POST /found", "bootstrapped: cluster 0a"),
        (
            &["remove-member", "0b"],
            "POST /retire?identity=0b",
            "removed: 0b",
        ),
        (&["topology"], "GET /book", "\"cluster\""),
        (&["status"], "GET /status", "asked d1: term 7"),
        (&["status", "--json"], "GET /status", "\"term\": 7"),
        (&["members"], "GET /status", "directory "),
        (
            &["explain", "ana", "writer"],
            "GET /explain?tenant=ana&service=writer",
            "\"cluster\"",
        ),
        (
            &["explain", "ana", "writer", "north"],
            "GET /explain?tenant=ana&service=writer&region=north",
            "\"cluster\"",
        ),
    ];
    for (args, expected, expected_text) in requests {
        let response =
            r#"{"cluster":"0a","node":"d1","term":7,"epoch":3,"commit":3,"recent":true}"#;
        let ((request, body), text) = exchange(args, "", response);
        assert_eq!(
            (request.as_str(), body.as_str()),
            (expected, ""),
            "{args:?}"
        );
        assert!(text.contains(expected_text), "{args:?}: {text}");
    }
    drop(std::fs::remove_dir_all(&folder));
}
