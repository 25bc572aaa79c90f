//! A simulated engine as a process of its own.

use settings::{setting, Setting, SettingsReader};
use testbed::renamed_options::{self, RenamedOption};

const SETTINGS: &[Setting] = &[
    setting("name", "NAME", "the engine's name", None),
    setting("address", "IP:PORT", "where it listens", None),
    setting("slots", "COUNT", "requests that it runs at once", Some("8")),
    setting("chunks", "COUNT", "chunks of a response", Some("8")),
    setting("chunk-ms", "MS", "time between two chunks", Some("15")),
    setting(
        "prefill-ms",
        "MS",
        "time for a prompt whose prefix is not cached",
        Some("80"),
    ),
    setting("cold", "0|1", "whether it starts cold", Some("0")),
    setting(
        "journal",
        "FILE",
        "its journal of what it gets and runs",
        None,
    ),
];

const RENAMED: &[RenamedOption] = &[
    RenamedOption {
        old: "pieces",
        new: "chunks",
    },
    RenamedOption {
        old: "piece-ms",
        new: "chunk-ms",
    },
];

fn main() {
    renamed_options::refuse("engine", RENAMED);
    let mut reader = SettingsReader::read(
        "engine",
        "A simulated engine, for tests and trials.",
        SETTINGS,
    );
    let settings = testbed::simulated_engine::Settings {
        name: reader.name("name"),
        address: reader.address("address"),
        slots: reader.count("slots", 1, 10_000) as u32,
        chunks: reader.count("chunks", 1, 10_000) as u32,
        chunk_ms: reader.count("chunk-ms", 0, 60_000),
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
            server.serve_forever().await;
            Ok(())
        })
    };
    if let Err(error) = run() {
        eprintln!("engine: {error:#}");
        std::process::exit(1);
    }
}
