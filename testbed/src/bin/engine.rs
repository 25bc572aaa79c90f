//! A stand-in engine as a process of its own.

use settings::{setting, Setting, SettingsReader};

const SETTINGS: &[Setting] = &[
    setting("name", "NAME", "the engine's name", None),
    setting("address", "IP:PORT", "where it listens", None),
    setting("slots", "COUNT", "jobs that it runs at a time", Some("8")),
    setting("pieces", "COUNT", "pieces in an answer", Some("8")),
    setting("piece-ms", "MS", "time between two pieces", Some("15")),
    setting("prefill-ms", "MS", "what a cold prefix costs", Some("80")),
    setting("cold", "0|1", "whether it starts cold", Some("0")),
    setting(
        "journal",
        "FILE",
        "where it writes down what it gets and runs",
        None,
    ),
];

fn main() {
    let mut reader = SettingsReader::read(
        "engine",
        "A stand-in engine, for tests and trials.",
        SETTINGS,
    );
    let settings = testbed::simulated_engine::Settings {
        name: reader.name("name"),
        address: reader.address("address"),
        slots: reader.count("slots", 1, 10_000) as u32,
        pieces: reader.count("pieces", 1, 10_000) as u32,
        piece_ms: reader.count("piece-ms", 0, 60_000),
        prefill_ms: reader.count("prefill-ms", 0, 60_000),
        is_cold: reader.count("cold", 0, 1) == 1,
        journal: reader.text("journal").into(),
    };
    reader.exit_if_invalid();
    let run = || -> anyhow::Result<()> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        runtime.block_on(async {
            let server = testbed::simulated_engine::serve(settings)?;
            server.await.map_err(|text| anyhow::anyhow!(text))
        })
    };
    if let Err(error) = run() {
        eprintln!("engine: {error:#}");
        std::process::exit(1);
    }
}
