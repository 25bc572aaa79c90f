//! Runs scenarios of failure, each in a fleet of its own with a network that
//! can be cut, and judges each by the rules.

use simd_json::prelude::*;
use simd_json::OwnedValue;
use stand::fleet::{Fleet, Shape};
use stand::{checker, day, replay};
use std::path::PathBuf;
use yard::boot::{setting, Boot, Setting};

const SETTINGS: &[Setting] = &[
    setting("scenarios", "FILE", "the scenarios", None),
    setting("shape", "FILE", "the deployment's shape", None),
    setting("folder", "FOLDER", "where data, logs and journals go", None),
    setting("only", "NAME,...", "run only these", Some("")),
    setting("seconds", "COUNT", "how long each is", Some("40")),
    setting("scale", "PERCENT", "the rates, in hundredths of the shape's own", Some("100")),
    setting("seed", "COUNT", "the seed of the days", Some("1")),
];

fn main() {
    let mut boot = Boot::read("scenarios", "Brings failures about and judges the rules.", SETTINGS);
    let (scenarios, shape) = (boot.text("scenarios"), boot.text("shape"));
    let folder = PathBuf::from(boot.text("folder"));
    let only = boot.text("only");
    let seconds = boot.count("seconds", 5, 3_600);
    let scale = boot.count("scale", 1, 10_000) as f64 / 100.0;
    let seed = boot.count("seed", 0, u64::MAX);
    boot.finish();
    let run = || -> anyhow::Result<usize> {
        let text = std::fs::read_to_string(&shape)?;
        let list = day::scenarios(&std::fs::read_to_string(&scenarios)?, &text)?;
        let wanted: Vec<&str> = only.split(',').filter(|name| !name.is_empty()).collect();
        if let Some(name) = wanted.iter().find(|name| !list.iter().any(|known| known.0 == **name)) {
            anyhow::bail!("{scenarios}: there is no scenario {name}");
        }
        println!("{}", HEAD);
        let mut broken = 0;
        for (name, scenario) in
            list.iter().filter(|(name, _)| wanted.is_empty() || wanted.contains(&name.as_str()))
        {
            let moments = day::make(&text, Some(scenario), seconds, scale, seed)?;
            let shape = Shape::parse(&text)?;
            // With its runtime a scenario's relays end, too.
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
            broken += runtime.block_on(one(name, shape, moments, &folder.join(name)))?;
        }
        Ok(broken)
    };
    match run() {
        Ok(0) => {}
        Ok(_) => std::process::exit(1),
        Err(error) => {
            eprintln!("scenarios: {error:#}");
            std::process::exit(1);
        }
    }
}

const HEAD: &str = "| scenario | jobs | whole | refused, not run | unknown | broken, lost | \
                    longest time without a whole answer | changes | rules broken |\n\
                    |---|---|---|---|---|---|---|---|---|";

async fn one(
    name: &str,
    shape: Shape,
    moments: Vec<day::Moment>,
    folder: &std::path::Path,
) -> anyhow::Result<usize> {
    // A journal is added to; an older run's would be judged along.
    if folder.exists() {
        std::fs::remove_dir_all(folder)?;
    }
    let mut fleet = Fleet::lay(shape, folder)?;
    fleet.relay().await?;
    fleet.up().await?;
    let ends = replay::Ends::of(&fleet);
    replay::play(ends, Some(&mut fleet), moments, folder).await?;
    let (journals, findings) = replay::judge(&fleet, folder)?;
    row(name, &journals, &findings);
    for finding in findings.iter().take(10) {
        eprintln!("{name}: {finding}");
    }
    Ok(findings.len())
}

fn row(name: &str, journals: &checker::Journals, findings: &[checker::Finding]) {
    let text = |line: &OwnedValue, name: &str| {
        line.get(name).and_then(|v| v.as_str()).unwrap_or("").to_string()
    };
    let seen = |what: &[&str]| {
        journals.callers.iter().filter(|line| what.contains(&text(line, "seen").as_str())).count()
    };
    let refused = |outcome: &str| {
        let is_one = |line: &&OwnedValue| {
            text(line, "seen") == "refused" && text(line, "outcome") == outcome
        };
        journals.callers.iter().filter(is_one).count()
    };
    let mut done: Vec<u64> = journals
        .callers
        .iter()
        .filter(|line| text(line, "seen") == "whole")
        .filter_map(|line| line.get("done").and_then(|v| v.as_u64()))
        .collect();
    done.sort_unstable();
    let gap = done.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0) / 1000;
    let acknowledged =
        journals.operators.iter().filter(|line| line.get("acknowledged").is_some()).count();
    println!(
        "| {name} | {} | {} | {} | {} | {} | {gap} ms | {acknowledged} of {} | {} |",
        journals.callers.len(),
        seen(&["whole"]),
        refused("not-run") + seen(&["unreached"]),
        refused("unknown"),
        seen(&["broken", "lost", "wrong"]),
        journals.operators.len(),
        findings.len(),
    );
}
