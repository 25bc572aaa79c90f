//! Runs fault scenarios, each in a fleet of its own whose network can be partitioned, and
//! judges each by the rules: scenarios from a file, or drawn from seeds.

use checker::text;
use settings::{setting, Setting, SettingsReader};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::path::{Path, PathBuf};
use testbed::fleet::{DeploymentSpec, Fleet};
use testbed::renamed_options::{self, DEPLOYMENT, OUTPUT_DIR};
use testbed::workload::{self, Generation};
use testbed::{fault_plan, replay};

const SETTINGS: &[Setting] = &[
    setting(
        "scenarios",
        "FILE",
        "the scenarios; without, they are drawn from seeds",
        Some(""),
    ),
    setting("deployment", "FILE,...", "the deployment files", None),
    setting(
        "output-dir",
        "DIRECTORY",
        "where data, logs and journals go",
        None,
    ),
    setting("only", "NAME,...", "run only these scenarios", Some("")),
    setting("seconds", "COUNT", "how long each is", Some("40")),
    setting(
        "scale",
        "PERCENT",
        "the rates, in hundredths of the deployment file's own",
        Some("100"),
    ),
    setting("seed", "COUNT", "the seed of the workloads", Some("1")),
    setting(
        "seeds",
        "FROM-TO",
        "draw a scenario from each of these seeds, both ends among them",
        Some(""),
    ),
    setting(
        "kinds",
        "KIND,...",
        "draw scenarios of just these faults",
        Some(""),
    ),
    setting(
        "print",
        "WORD",
        "yes: print the drawn scenarios and run none",
        Some("no"),
    ),
];

/// A scenario to run.
struct Run {
    name: String,
    /// The deployment file's text.
    deployment: String,
    scenario: OwnedValue,
    seed: u64,
}

/// Which scenarios to run.
struct Selection<'a> {
    /// The file with scenarios; empty: they are drawn.
    file: &'a str,
    /// Names in the file; empty: all.
    only: Vec<&'a str>,
    /// Kinds of faults to draw; empty: any.
    kinds: Vec<&'a str>,
    seeds: Vec<u64>,
    seconds: u64,
    scale: f64,
}

impl Run {
    fn generation(&self, selection: &Selection) -> Generation {
        Generation {
            seconds: selection.seconds,
            scale: selection.scale,
            seed: self.seed,
        }
    }
}

fn main() {
    renamed_options::refuse("scenarios", &[DEPLOYMENT, OUTPUT_DIR]);
    let mut reader = SettingsReader::read(
        "scenarios",
        "Injects faults and judges the rules.",
        SETTINGS,
    );
    let (scenarios, deployments) = (reader.text("scenarios"), reader.text("deployment"));
    let output_dir = PathBuf::from(reader.text("output-dir"));
    let only = reader.text("only");
    let seconds = reader.count("seconds", 5, 3_600);
    let scale = reader.count("scale", 1, 10_000) as f64 / 100.0;
    let seed = reader.count("seed", 0, u64::MAX);
    let range = reader.text("seeds");
    let kinds = reader.text("kinds");
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
    let selection = Selection {
        file: &scenarios,
        only: items(&only),
        kinds: items(&kinds),
        seeds,
        seconds,
        scale,
    };
    let mut runs = Vec::new();
    for path in items(&deployments) {
        match prepare(path, &selection) {
            Ok(list) => runs.extend(list),
            Err(error) => reader.reject(path, format!("{error:#}")),
        }
    }
    reader.exit_if_invalid();
    if is_printed {
        runs.iter()
            .for_each(|run| println!("{}", run.scenario.encode()));
        return;
    }
    match run_all(&runs, &selection, &output_dir) {
        Ok(0) => {}
        Ok(_) => std::process::exit(1),
        Err(error) => {
            eprintln!("scenarios: {error:#}");
            std::process::exit(1);
        }
    }
}

/// The items of a list with commas.
fn items(text: &str) -> Vec<&str> {
    text.split(',').filter(|item| !item.is_empty()).collect()
}

/// How many findings all runs together have.
fn run_all(runs: &[Run], selection: &Selection, output_dir: &Path) -> anyhow::Result<usize> {
    println!("{TABLE_HEAD}");
    let mut finding_count = 0;
    for run in runs {
        let generation = run.generation(selection);
        let actions = workload::generate(&run.deployment, Some(&run.scenario), &generation)?;
        let spec = DeploymentSpec::parse(&run.deployment)?;
        // A scenario's relays end with its runtime.
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        let name = format!("{}/{}", spec.name, run.name);
        let output_dir = output_dir.join(&spec.name).join(&run.name);
        if let Some(kinds) = run.scenario.get("kinds") {
            eprintln!("{name}: {}", kinds.encode());
        }
        finding_count += runtime.block_on(run_one(&name, spec, actions, &output_dir))?;
    }
    Ok(finding_count)
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

/// The runs of one deployment. Everything that is to be run is read here, so that an error
/// in it is reported before anything runs.
fn prepare(path: &str, selection: &Selection) -> anyhow::Result<Vec<Run>> {
    let deployment = std::fs::read_to_string(path)?;
    DeploymentSpec::parse(&deployment)?;
    let runs = match selection.file.is_empty() {
        true => draw(&deployment, selection)?,
        false => read(&deployment, selection)?,
    };
    for run in &runs {
        let generation = run.generation(selection);
        workload::generate(&deployment, Some(&run.scenario), &generation)
            .map_err(|error| anyhow::Error::from(error).context(run.name.clone()))?;
    }
    Ok(runs)
}

/// One scenario from each seed.
fn draw(deployment: &str, selection: &Selection) -> anyhow::Result<Vec<Run>> {
    let mut runs = Vec::new();
    for seed in &selection.seeds {
        let scenario = fault_plan::draw(deployment, *seed, &selection.kinds)?;
        runs.push(Run {
            name: text(&scenario, "name").to_string(),
            deployment: deployment.to_string(),
            scenario,
            seed: *seed,
        });
    }
    Ok(runs)
}

/// The scenarios of the file.
fn read(deployment: &str, selection: &Selection) -> anyhow::Result<Vec<Run>> {
    let (file, only) = (selection.file, &selection.only);
    let list = workload::read_scenarios(&std::fs::read_to_string(file)?, deployment)?;
    let is_known = |name: &&&str| list.iter().any(|scenario| scenario.name == **name);
    if let Some(name) = only.iter().find(|name| !is_known(name)) {
        anyhow::bail!("{file}: there is no scenario {name}");
    }
    let wanted = list
        .into_iter()
        .filter(|scenario| only.is_empty() || only.contains(&&*scenario.name));
    let runs = wanted.map(|scenario| Run {
        name: scenario.name,
        deployment: deployment.to_string(),
        scenario: scenario.definition,
        seed: selection.seeds[0],
    });
    Ok(runs.collect())
}

const TABLE_HEAD: &str =
    "| scenario | requests | complete | refused, not run | unknown | truncated, lost | \
                    longest time without a complete response | changes | rules broken |\n\
                    |---|---|---|---|---|---|---|---|---|";

async fn run_one(
    name: &str,
    spec: DeploymentSpec,
    actions: Vec<workload::TimedAction>,
    output_dir: &Path,
) -> anyhow::Result<usize> {
    // Journals are appended to; those of an older run would be judged as well.
    if output_dir.exists() {
        std::fs::remove_dir_all(output_dir)?;
    }
    let mut fleet = Fleet::new(spec, output_dir)?;
    fleet.relay().await?;
    fleet.bootstrap().await?;
    let targets = replay::Targets::of_fleet(&fleet);
    replay::play(targets, Some(&mut fleet), actions, output_dir).await?;
    let (journals, findings) = replay::check_rules(&fleet, output_dir)?;
    print_row(name, &journals, &findings);
    for finding in findings.iter().take(20) {
        eprintln!("{name}: {finding}");
    }
    Ok(findings.len())
}

fn print_row(name: &str, journals: &checker::Journals, findings: &[checker::Finding]) {
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
    let longest_gap_ms = done
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
        "| {name} | {} | {} | {} | {} | {} | {longest_gap_ms} ms | {acknowledged} of {} | {} |",
        journals.clients.len(),
        seen(&["whole"]),
        refused("not-run") + seen(&["unreached"]),
        refused("unknown"),
        seen(&["broken", "lost", "wrong"]),
        journals.operators.len(),
        findings.len(),
    );
}
