//! Generates a sample workload from a deployment file's mix, by a seed.

use settings::{setting, Setting, SettingsReader};
use testbed::renamed_options::{self, DEPLOYMENT};
use testbed::workload::{generate, Generation};

const SETTINGS: &[Setting] = &[
    setting(
        "deployment",
        "FILE",
        "the deployment file, with its mix and events",
        None,
    ),
    setting("seconds", "COUNT", "how long the workload is", Some("60")),
    setting(
        "scale",
        "PERCENT",
        "the rates, in hundredths of the deployment file's own",
        Some("100"),
    ),
    setting(
        "seed",
        "COUNT",
        "the same seed generates the same workload",
        Some("1"),
    ),
];

fn main() {
    renamed_options::refuse("workload", &[DEPLOYMENT]);
    let mut reader = SettingsReader::read(
        "workload",
        "Generates a sample workload, as JSON lines on standard output.",
        SETTINGS,
    );
    let path = reader.text("deployment");
    let generation = Generation {
        seconds: reader.count("seconds", 1, 86_400),
        scale: reader.count("scale", 1, 10_000) as f64 / 100.0,
        seed: reader.count("seed", 0, u64::MAX),
    };
    reader.exit_if_invalid();
    let run = || -> anyhow::Result<()> {
        let text = std::fs::read_to_string(&path)?;
        for action in generate(&text, None, &generation)? {
            println!("{}", action.to_line());
        }
        Ok(())
    };
    if let Err(error) = run() {
        eprintln!("workload: {path}: {error:#}");
        std::process::exit(1);
    }
}
