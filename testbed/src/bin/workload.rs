//! Makes a sample day from a deployment's shape, by a seed.

use settings::{setting, Setting, SettingsReader};

const SETTINGS: &[Setting] = &[
    setting(
        "shape",
        "FILE",
        "the deployment's shape, with its mix and events",
        None,
    ),
    setting("seconds", "COUNT", "how long the day is", Some("60")),
    setting(
        "scale",
        "PERCENT",
        "the rates, in hundredths of the shape's own",
        Some("100"),
    ),
    setting(
        "seed",
        "COUNT",
        "the same seed makes the same day",
        Some("1"),
    ),
];

fn main() {
    let mut reader = SettingsReader::read(
        "day",
        "Makes a sample day, as JSON lines on standard output.",
        SETTINGS,
    );
    let shape = reader.text("shape");
    let seconds = reader.count("seconds", 1, 86_400);
    let scale = reader.count("scale", 1, 10_000) as f64 / 100.0;
    let seed = reader.count("seed", 0, u64::MAX);
    reader.exit_if_invalid();
    let run = || -> anyhow::Result<()> {
        let text = std::fs::read_to_string(&shape)?;
        for moment in testbed::workload::make(&text, None, seconds, scale, seed)? {
            println!("{}", moment.line());
        }
        Ok(())
    };
    if let Err(error) = run() {
        eprintln!("day: {shape}: {error:#}");
        std::process::exit(1);
    }
}
