//! The directory daemon with our own interface: settings by flags and a JSON file.

use consensus::node::Timing;
use directory::{Extensions, RuntimeFlavor, Settings};
use placement::ClientLimits;
use settings::{setting, Setting, SettingsReader};
use std::time::Duration;
use telemetry::exit::{self, ExitCause};

const BYTES_PER_MB: u64 = 1_000_000;

const SETTINGS: &[Setting] = &[
    setting(
        "name",
        "NAME",
        "this node's name, unique in the cluster",
        None,
    ),
    setting("region", "NAME", "the region it stands in", None),
    setting("zone", "NAME", "the zone it stands in", None),
    setting(
        "address",
        "IP:PORT",
        "where other directory nodes and the routers reach it",
        None,
    ),
    setting(
        "listen",
        "IP:PORT",
        "where it listens, if others reach it elsewhere",
        Some(""),
    ),
    setting("desk", "IP:PORT", "where operators reach it", None),
    setting("data", "FOLDER", "its data folder, its own alone", None),
    setting(
        "seeds",
        "IP:PORT,...",
        "addresses of other directory nodes",
        None,
    ),
    setting(
        "voters",
        "COUNT",
        "how many voters the repair of the membership aims for",
        Some("5"),
    ),
    setting(
        "jobs",
        "COUNT",
        "forwarded requests at a time, at the most; 0: mappings alone",
        Some("64"),
    ),
    setting(
        "bytes",
        "COUNT",
        "bytes of forwarded bodies in memory at a time, at the most",
        Some("16777216"),
    ),
    setting(
        "memory",
        "MB",
        "the memory that the process may use; operators get a part of it",
        Some("1024"),
    ),
    setting(
        "descriptors",
        "COUNT",
        "the file descriptors that it may open; operators get a part of them",
        Some("16384"),
    ),
    setting(
        "snapshot-every",
        "COUNT",
        "entries between two snapshots",
        Some("1024"),
    ),
    setting(
        "level",
        "LEVEL",
        "log level: error, warn, info, debug",
        Some("info"),
    ),
];

fn main() {
    let mut reader = SettingsReader::read(
        "directory",
        "A rushport directory node: replicates residency with the other nodes,\n\
         resolves what routers miss, and answers operators.",
        SETTINGS,
    );
    let (address, operator_address) = (reader.address("address"), reader.address("desk"));
    let settings = Settings {
        name: reader.name("name"),
        region: reader.name("region"),
        zone: reader.name("zone"),
        address,
        listen: reader.address_or("listen", address),
        operator_address,
        data_path: reader.text("data").into(),
        seeds: reader.addresses("seeds"),
        timing: Timing {
            voters: reader.count("voters", 1, 9) as usize,
            ..Timing::default()
        },
        max_forwarded_requests: reader.count("jobs", 0, 100_000) as usize,
        max_forwarded_bytes: reader.count("bytes", 1 << 20, 1 << 31) as usize,
        client_limits: ClientLimits::of_process(
            reader.count("memory", 64, 1 << 20) * BYTES_PER_MB,
            reader.count("descriptors", 256, 1 << 24),
        ),
        snapshot_every: reader.count("snapshot-every", 16, 1 << 20),
        is_first_start: false,
        min_voters: 1,
        leave_timeout: Duration::from_millis(2_000),
        quota_margin: None,
        runtime: RuntimeFlavor::MultiThread,
    };
    let level = reader.text("level");
    if address == operator_address {
        reader.reject("desk", "it can't be the same as `address`");
    }
    reader.exit_if_invalid();
    let run = || -> anyhow::Result<()> {
        telemetry::logging::init("directory", &settings.name, &level)?;
        exit::keep_reason_in(&settings.data_path);
        Ok(directory::run(settings, Extensions::default())?)
    };
    if let Err(error) = run() {
        exit::end("directory", ExitCause::Failed, &format!("{error:#}"));
    }
}
