//! Runs days of failure, each in a fleet of its own with a network that can be
//! cut, and judges each by the rules: scenarios from a file, or days drawn from
//! seeds.

use checker::text;
use settings::{setting, Setting, SettingsReader};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::path::{Path, PathBuf};
use testbed::fleet::{DeploymentSpec, Fleet};
use testbed::{fault_plan, replay, workload};

const SETTINGS: &[Setting] = &[
    setting(
        "scenarios",
        "FILE",
        "the scenarios; without, days are drawn from seeds",
        Some(""),
    ),
    setting("shape", "FILE,...", "the deployments' shapes", None),
    setting("folder", "FOLDER", "where data, logs and journals go", None),
    setting("only", "NAME,...", "run only these scenarios", Some("")),
    setting("seconds", "COUNT", "how long each is", Some("40")),
    setting(
        "scale",
        "PERCENT",
        "the rates, in hundredths of the shape's own",
        Some("100"),
    ),
    setting("seed", "COUNT", "the seed of the days", Some("1")),
    setting(
        "seeds",
        "FROM-TO",
        "draw a day from each of these seeds, both ends among them",
        Some(""),
    ),
    setting(
        "kinds",
        "KIND,...",
        "draw days of just these faults",
        Some(""),
    ),
    setting(
        "print",
        "WORD",
        "yes: print the drawn days and run none",
        Some("no"),
    ),
];

/// A day to be run: its name, its shape's text, its scenario, its seed.
struct Day {
    name: String,
    shape: String,
    scenario: OwnedValue,
    seed: u64,
}

fn main() {
    let mut reader = SettingsReader::read(
        "scenarios",
        "Brings failures about and judges the rules.",
        SETTINGS,
    );
    let (scenarios, shapes) = (reader.text("scenarios"), reader.text("shape"));
    let folder = PathBuf::from(reader.text("folder"));
    let only = reader.text("only");
    let seconds = reader.count("seconds", 5, 3_600);
    let scale = reader.count("scale", 1, 10_000) as f64 / 100.0;
    let seed = reader.count("seed", 0, u64::MAX);
    let range = reader.text("seeds");
    let kinds = reader.text("kinds");
    let kinds: Vec<&str> = kinds.split(',').filter(|kind| !kind.is_empty()).collect();
    let seeds = range_of(&range).unwrap_or_else(|text| {
        reader.reject("seeds", text);
        Vec::new()
    });
    let seeds = if range.is_empty() { vec![seed] } else { seeds };
    let is_printed = match reader.text("print").as_str() {
        "yes" => true,
        "no" => false,
        other => {
            reader.reject("print", format!("{other:?} is neither yes nor no"));
            false
        }
    };
    if !scenarios.is_empty() && !range.is_empty() {
        reader.reject("seeds", "scenarios from a file take one `seed`");
    }
    if !scenarios.is_empty() && !kinds.is_empty() {
        reader.reject("kinds", "the faults of scenarios from a file stand there");
    }
    if scenarios.is_empty() && !only.is_empty() {
        reader.reject("only", "it names scenarios of a file, and none is given");
    }
    let mut days = Vec::new();
    for path in shapes.split(',').filter(|path| !path.is_empty()) {
        match laid_out(path, &scenarios, &only, &seeds, &kinds, (seconds, scale)) {
            Ok(list) => days.extend(list),
            Err(error) => reader.reject(path, format!("{error:#}")),
        }
    }
    reader.exit_if_invalid();
    if is_printed {
        days.iter()
            .for_each(|day| println!("{}", day.scenario.encode()));
        return;
    }
    let run = || -> anyhow::Result<usize> {
        println!("{HEAD}");
        let mut broken = 0;
        for day in &days {
            let moments =
                workload::make(&day.shape, Some(&day.scenario), seconds, scale, day.seed)?;
            let shape = DeploymentSpec::parse(&day.shape)?;
            // With its runtime a scenario's relays end, too.
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .enable_all()
                .build()?;
            let name = format!("{}/{}", shape.name, day.name);
            let folder = folder.join(&shape.name).join(&day.name);
            if let Some(kinds) = day.scenario.get("kinds") {
                eprintln!("{name}: {}", kinds.encode());
            }
            broken += runtime.block_on(one(&name, shape, moments, &folder))?;
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

/// The seeds of a range, both ends among them.
fn range_of(text: &str) -> Result<Vec<u64>, String> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    let ends = text
        .split_once('-')
        .and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    match ends {
        Some((from, to)) if from <= to && to - from < 100_000 => Ok((from..=to).collect()),
        Some((from, to)) if from <= to => Err(format!("{from}-{to} are over 100000 seeds")),
        Some((from, to)) => Err(format!("{from}-{to} goes backwards")),
        None => Err(format!("{text:?} is no range FROM-TO of whole numbers")),
    }
}

/// The days of one shape. Everything that is to be played is read here, so that
/// what is wrong with it is said before anything runs.
fn laid_out(
    path: &str,
    scenarios: &str,
    only: &str,
    seeds: &[u64],
    kinds: &[&str],
    (seconds, scale): (u64, f64),
) -> anyhow::Result<Vec<Day>> {
    let shape = std::fs::read_to_string(path)?;
    DeploymentSpec::parse(&shape)?;
    let mut days = Vec::new();
    if scenarios.is_empty() {
        for seed in seeds {
            let scenario = fault_plan::draw(&shape, *seed, kinds)?;
            let name = text(&scenario, "name").to_string();
            days.push(Day {
                name,
                shape: shape.clone(),
                scenario,
                seed: *seed,
            });
        }
    } else {
        let list = workload::scenarios(&std::fs::read_to_string(scenarios)?, &shape)?;
        let wanted: Vec<&str> = only.split(',').filter(|name| !name.is_empty()).collect();
        if let Some(name) = wanted
            .iter()
            .find(|name| !list.iter().any(|known| known.0 == **name))
        {
            anyhow::bail!("{scenarios}: there is no scenario {name}");
        }
        let is_wanted = |name: &str| wanted.is_empty() || wanted.contains(&name);
        for (name, scenario) in list.into_iter().filter(|(name, _)| is_wanted(name)) {
            days.push(Day {
                name,
                shape: shape.clone(),
                scenario,
                seed: seeds[0],
            });
        }
    }
    for day in &days {
        workload::make(&shape, Some(&day.scenario), seconds, scale, day.seed)
            .map_err(|error| error.context(day.name.clone()))?;
    }
    Ok(days)
}

const HEAD: &str = "| scenario | jobs | whole | refused, not run | unknown | broken, lost | \
                    longest time without a whole answer | changes | rules broken |\n\
                    |---|---|---|---|---|---|---|---|---|";

async fn one(
    name: &str,
    shape: DeploymentSpec,
    moments: Vec<workload::TimedAction>,
    folder: &Path,
) -> anyhow::Result<usize> {
    // A journal is added to; an older run's would be judged along.
    if folder.exists() {
        std::fs::remove_dir_all(folder)?;
    }
    let mut fleet = Fleet::new(shape, folder)?;
    fleet.relay().await?;
    fleet.bootstrap().await?;
    let ends = replay::Targets::of_fleet(&fleet);
    replay::play(ends, Some(&mut fleet), moments, folder).await?;
    let (journals, findings) = replay::check_rules(&fleet, folder)?;
    row(name, &journals, &findings);
    for finding in findings.iter().take(20) {
        eprintln!("{name}: {finding}");
    }
    Ok(findings.len())
}

fn row(name: &str, journals: &checker::Journals, findings: &[checker::Finding]) {
    let seen = |what: &[&str]| {
        journals
            .clients
            .iter()
            .filter(|line| what.contains(&text(line, "seen")))
            .count()
    };
    let refused = |outcome: &str| {
        let is_one = |line: &&OwnedValue| {
            text(line, "seen") == "refused" && text(line, "outcome") == outcome
        };
        journals.clients.iter().filter(is_one).count()
    };
    let mut done: Vec<u64> = journals
        .clients
        .iter()
        .filter(|line| text(line, "seen") == "whole")
        .filter_map(|line| line.get("done").and_then(|v| v.as_u64()))
        .collect();
    done.sort_unstable();
    let gap = done
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or(0)
        / 1000;
    let acknowledged = journals
        .operators
        .iter()
        .filter(|line| line.get("acknowledged").is_some())
        .count();
    println!(
        "| {name} | {} | {} | {} | {} | {} | {gap} ms | {acknowledged} of {} | {} |",
        journals.clients.len(),
        seen(&["whole"]),
        refused("not-run") + seen(&["unreached"]),
        refused("unknown"),
        seen(&["broken", "lost", "wrong"]),
        journals.operators.len(),
        findings.len(),
    );
}
