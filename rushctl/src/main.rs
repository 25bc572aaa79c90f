//! The operators' command line.

mod status;
mod windows;

use anyhow::{anyhow, bail, Context};
use getopts::{Matches, Options};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::net::SocketAddr;
use std::time::Duration;
use transport::http_client;

/// One command: its words, what it wants, what it does.
struct Command {
    name: &'static str,
    words: &'static str,
    about: &'static str,
    options: &'static [&'static str],
}

const fn command(
    name: &'static str,
    words: &'static str,
    about: &'static str,
    options: &'static [&'static str],
) -> Command {
    Command {
        name,
        words,
        about,
        options,
    }
}

const CHANGE: &[&str] = &["id", "base", "wait"];

const COMMANDS: &[Command] = &[
    command(
        "found",
        "",
        "found a cluster at a blank node; once, for good",
        &[],
    ),
    command(
        "status",
        "",
        "who leads, who lags, what is not yet in force and where",
        &["json"],
    ),
    command("members", "", "the directory nodes", &["json"]),
    command(
        "retire",
        "IDENTITY",
        "take a directory node out for good",
        &[],
    ),
    command("book", "", "print the home book in force", &[]),
    command(
        "check",
        "FILE",
        "check a whole home book here, sending nothing",
        &["rules"],
    ),
    command(
        "revise",
        "FILE",
        "put a revision of the home book in force: a whole one, or with --partial the part \
         that changes (null takes a name away)",
        &["partial", "rules", "id", "base", "wait"],
    ),
    command(
        "submit",
        "",
        "submit any change, read as JSON from standard input",
        CHANGE,
    ),
    command(
        "key-add",
        "TENANT",
        "give a tenant a key, read from standard input",
        CHANGE,
    ),
    command(
        "key-drop",
        "",
        "take a key away, read from standard input",
        CHANGE,
    ),
    command(
        "engine-list",
        "NAME ADDRESS CELL SERVICE,... SLOTS [coming|serving]",
        "list an engine, or change its listing",
        CHANGE,
    ),
    command("engine-serve", "NAME", "let an engine get work", CHANGE),
    command(
        "engine-drain",
        "NAME",
        "give an engine no more work; it finishes what it has",
        CHANGE,
    ),
    command("engine-gone", "NAME", "take an engine off the list", CHANGE),
    command(
        "evacuate",
        "ZONE",
        "give a zone's engines no more work",
        CHANGE,
    ),
    command("give-back", "ZONE", "end a zone's evacuation", CHANGE),
    command(
        "windows",
        "FILE",
        "read maintenance windows from an iCalendar file, events named `evacuate ZONE` or \
         `drain ENGINE`, and put them in force in place of those that have not begun",
        &["days", "ahead", "check", "id", "base"],
    ),
    command(
        "move",
        "TENANT SERVICE CELL",
        "begin to move a key's jobs to another cell",
        CHANGE,
    ),
    command(
        "settle",
        "TENANT SERVICE",
        "end a move: the key may be cached again",
        CHANGE,
    ),
    command("unpin", "TENANT SERVICE", "undo a move", CHANGE),
    command(
        "explain",
        "TENANT SERVICE [REGION]",
        "which engine a key gets just now, and why",
        &[],
    ),
];

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "say this, or what a command does, and end");
    options.optflag("V", "version", "say the version and end");
    options.optopt(
        "",
        "desk",
        "desks of directory nodes, tried in turn",
        "IP:PORT,...",
    );
    options.optopt(
        "",
        "id",
        "proposal id; a repeat with the same id is applied once",
        "ID",
    );
    options.optopt("", "base", "the epoch that the change is based on", "EPOCH");
    options.optopt(
        "",
        "wait",
        "wait until it is in force everywhere, this long at most",
        "SECONDS",
    );
    options.optopt(
        "",
        "rules",
        "a file of rules, in place of the book's own",
        "FILE",
    );
    options.optflag("", "partial", "the file holds only what changes");
    options.optopt(
        "",
        "days",
        "how far ahead windows are taken in (default 30)",
        "COUNT",
    );
    options.optopt(
        "",
        "ahead",
        "how long before its start a window empties (default 300)",
        "SECONDS",
    );
    options.optflag("", "check", "only say what would be done");
    options.optflag("", "json", "print the whole answer as JSON");
    options
}

fn usage() -> String {
    let mut text = String::from("operator: rushport's command line\n\nCommands:\n");
    for command in COMMANDS {
        let words = format!("{} {}", command.name, command.words);
        text.push_str(&format!("  {words:<44} {}\n", command.about));
    }
    text.push_str(
        "\nEnds with 0 where all is done, 1 where it is not, 2 where the words are wrong.",
    );
    options().usage(&text)
}

fn wrong(text: impl std::fmt::Display) -> ! {
    eprintln!("operator: {text}\noperator: try --help");
    std::process::exit(2)
}

/// Where to ask, and how to put a question.
struct Way {
    desks: Vec<SocketAddr>,
}

impl Way {
    /// Asks desk after desk until one can be reached and knows the answer. A
    /// 503 is another desk's turn, since a proposal's id makes that safe.
    async fn ask(&self, method: &str, target: &str, body: &str) -> anyhow::Result<OwnedValue> {
        let mut last = anyhow!("no desk is named; use --desk");
        for desk in &self.desks {
            let headers = [("content-type", "application/json")];
            let patience = Duration::from_secs(5);
            match http_client::send_request(*desk, method, target, &headers, body.into(), patience)
                .await
            {
                Ok((status, bytes)) => {
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    let value = residency::parse_json(&text).map_err(|error| {
                        anyhow!("{desk} answered {status} and no JSON: {error}")
                    })?;
                    if status == 200 {
                        return Ok(value);
                    }
                    let field = |name: &str| value.get(name).and_then(|v| v.as_str()).unwrap_or("");
                    last = anyhow!("{} ({status}): {}", field("code"), field("text"));
                    if status != 503 {
                        return Err(last);
                    }
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    async fn get(&self, target: &str) -> anyhow::Result<OwnedValue> {
        self.ask("GET", target, "").await
    }
}

/// A book from a file, with its rules from another where there is one.
fn book(path: &str, rules: Option<String>) -> anyhow::Result<OwnedValue> {
    let text = std::fs::read_to_string(path).with_context(|| path.to_string())?;
    let mut book = residency::parse_json(&text).map_err(|error| anyhow!("{path}: {error}"))?;
    if let Some(rules) = rules {
        let text = std::fs::read_to_string(&rules).with_context(|| rules.clone())?;
        if let Err(complaints) = policy::compile(&text) {
            let lines: Vec<String> = complaints
                .iter()
                .map(|complaint| format!("{rules}: {complaint}"))
                .collect();
            bail!("{}", lines.join("\n"));
        }
        if book.as_object().is_none() {
            bail!("{path}: an object should stand here");
        }
        book.insert("rules", text)?;
    }
    Ok(book)
}

fn input() -> anyhow::Result<String> {
    Ok(std::io::read_to_string(std::io::stdin())?
        .trim()
        .to_string())
}

/// The body of a proposal, without id and base. `None`: no such change.
fn change(name: &str, words: &[String], matches: &Matches) -> anyhow::Result<Option<OwnedValue>> {
    let word = |at: usize| words.get(at).cloned().unwrap_or_default();
    let state = |state: &str| json!({ "do": "engine-state", "name": word(0), "state": state });
    Ok(Some(match name {
        "revise" => json!({
            "do": "revise",
            "whole": !matches.opt_present("partial"),
            "book": book(&word(0), matches.opt_str("rules"))?,
        }),
        "key-add" => json!({ "do": "key", "tenant": word(0), "key": input()? }),
        "key-drop" => json!({ "do": "key-gone", "key": input()? }),
        "submit" => {
            let value = residency::parse_json(&input()?)
                .map_err(|text| anyhow!("standard input: {text}"))?;
            anyhow::ensure!(
                value.as_object().is_some(),
                "standard input: an object should stand here"
            );
            value
        }
        "engine-list" => {
            let services: Vec<String> = word(3).split(',').map(String::from).collect();
            let Ok(slots) = word(4).parse::<u32>() else {
                wrong("SLOTS is a number")
            };
            let state = if words.len() > 5 {
                word(5)
            } else {
                "serving".into()
            };
            json!({
                "do": "engine", "name": word(0), "address": word(1), "cell": word(2),
                "services": services, "slots": slots, "state": state,
            })
        }
        "engine-serve" => state("serving"),
        "engine-drain" => state("draining"),
        "engine-gone" => json!({ "do": "engine-gone", "name": word(0) }),
        "evacuate" => json!({ "do": "evacuate", "zone": word(0) }),
        "give-back" => json!({ "do": "give-back", "zone": word(0) }),
        "move" => json!({ "do": "move", "tenant": word(0), "service": word(1), "cell": word(2) }),
        "settle" => json!({ "do": "settle", "tenant": word(0), "service": word(1) }),
        "unpin" => json!({ "do": "unpin", "tenant": word(0), "service": word(1) }),
        _ => return Ok(None),
    }))
}

async fn submit(way: &Way, mut body: OwnedValue, matches: &Matches) -> anyhow::Result<()> {
    let id = matches
        .opt_str("id")
        .unwrap_or(format!("{:016x}", rand::random::<u64>()));
    let base = matches
        .opt_str("base")
        .map(|text| match text.parse::<u64>() {
            Ok(base) => base,
            Err(_) => wrong("--base is an epoch"),
        });
    body.insert("id", id.clone())?;
    if let Some(base) = base {
        body.insert("base", base)?;
    }
    let wait = matches
        .opt_str("wait")
        .map(|text| match text.parse::<u64>() {
            Ok(seconds) => Duration::from_secs(seconds),
            Err(_) => wrong("--wait is a number of seconds"),
        });
    let answer = way
        .ask("POST", "/submit", &body.encode())
        .await
        .with_context(|| format!("proposal {id}"))?;
    let epoch = answer.get("epoch").and_then(|v| v.as_u64()).unwrap_or(0);
    let is_repeat = answer
        .get("repeated")
        .and_then(|v| v.as_bool())
        .unwrap_or(false);
    println!(
        "acknowledged: epoch {epoch}{}",
        if is_repeat { ", a repeat" } else { "" }
    );
    match wait {
        Some(wait) => status::wait_in_force(way, epoch, wait).await,
        None => Ok(()),
    }
}

async fn run(name: &str, words: &[String], matches: &Matches, way: &Way) -> anyhow::Result<()> {
    if name == "windows" {
        let count = |name: &str, default: u64| match matches.opt_str(name) {
            None => default,
            Some(text) => text
                .parse()
                .unwrap_or_else(|_| wrong(format!("--{name} is a number"))),
        };
        let list = windows::read(&words[0], count("days", 30), count("ahead", 300))?;
        list.iter()
            .for_each(|window| println!("{}", windows::describe(window)));
        if matches.opt_present("check") {
            return Ok(());
        }
        return submit(way, json!({ "do": "schedule", "windows": list }), matches).await;
    }
    if let Some(body) = change(name, words, matches)? {
        return submit(way, body, matches).await;
    }
    match name {
        "found" => {
            let answer = way.ask("POST", "/found", "").await?;
            let cluster = answer.get("cluster").and_then(|v| v.as_str()).unwrap_or("");
            println!("founded: cluster {cluster}");
        }
        "status" | "members" => {
            let value = way.get("/status").await?;
            match matches.opt_present("json") {
                true => println!("{}", value.encode_pp()),
                false if name == "members" => status::print_members(&value),
                false => status::print(&value),
            }
        }
        "retire" => {
            way.ask("POST", &format!("/retire?identity={}", words[0]), "")
                .await?;
            println!("retired: {}", words[0]);
        }
        "book" => println!("{}", way.get("/book").await?.encode_pp()),
        "check" => {
            let book = book(&words[0], matches.opt_str("rules"))?;
            if let Err(errors) = residency::Topology::from_json(&book) {
                bail!("{}:\n{}", words[0], errors);
            }
            println!("{}: nothing is wrong with it", words[0]);
        }
        "explain" => {
            let region = words
                .get(2)
                .map_or(String::new(), |region| format!("&region={region}"));
            let target = format!("/explain?tenant={}&service={}{region}", words[0], words[1]);
            println!("{}", way.get(&target).await?.encode_pp());
        }
        _ => wrong(format!("{name}: no such command is known")),
    }
    Ok(())
}

fn main() {
    let matches = match options().parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => wrong(error),
    };
    let known = |name: &String| COMMANDS.iter().find(|command| command.name == name);
    if matches.opt_present("version") {
        return println!("operator {}", env!("CARGO_PKG_VERSION"));
    }
    if matches.opt_present("help") {
        match matches.free.first().and_then(known) {
            Some(command) => {
                println!(
                    "operator {} {}\n\n{}",
                    command.name, command.words, command.about
                );
                for option in command.options {
                    println!("  --{option}");
                }
            }
            None => println!("{}", usage()),
        }
        return;
    }
    let Some(name) = matches.free.first() else {
        wrong("a command is missing")
    };
    let Some(command) = known(name) else {
        wrong(format!("{name}: no such command is known"))
    };
    let words = &matches.free[1..];
    let least = command
        .words
        .split_whitespace()
        .filter(|word| !word.starts_with('['))
        .count();
    let most = command.words.split_whitespace().count();
    if words.len() < least || words.len() > most {
        wrong(format!(
            "usage: operator {} {}",
            command.name, command.words
        ));
    }
    for option in [
        "id", "base", "wait", "rules", "partial", "json", "days", "ahead", "check",
    ] {
        if matches.opt_present(option) && !command.options.contains(&option) {
            wrong(format!("{name} knows no --{option}"));
        }
    }
    let desks = matches
        .opt_str("desk")
        .or(std::env::var("RUSHPORT_DESK").ok())
        .unwrap_or_default();
    let desks: Vec<SocketAddr> = desks
        .split(',')
        .filter(|text| !text.is_empty())
        .map(|text| match text.parse() {
            Ok(desk) => desk,
            Err(_) => wrong(format!("{text}: no IP number and port")),
        })
        .collect();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("operator: {error}");
            std::process::exit(1);
        }
    };
    if let Err(error) = runtime.block_on(run(name, words, &matches, &Way { desks })) {
        eprintln!("operator: {error:#}");
        std::process::exit(1);
    }
}
