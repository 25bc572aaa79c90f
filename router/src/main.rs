//! The project's own router program: settings by flags and a JSON file; clients and
//! engines by the project's own HTTP interface.

use placement::{ClientLimits, DrainPlan, LeaseGrace};
use router::{Extensions, Settings, ENGINE_SLOT_WAIT_MS};
use settings::{setting, Setting, SettingsReader};
use std::time::Duration;
use telemetry::exit::{self, ExitCause};

/// How often it sends a heartbeat to its directory node.
const HEARTBEAT_INTERVAL_MS: u64 = 350;
/// How long tasks may take to end after the router has stopped.
const RUNTIME_SHUTDOWN: Duration = Duration::from_millis(200);

const BYTES_PER_MB: u64 = 1_000_000;

const SETTINGS: &[Setting] = &[
    setting(
        "name",
        "NAME",
        "this router's name, unique in the cluster",
        None,
    ),
    setting("region", "NAME", "the region it is in", None),
    setting("zone", "NAME", "the zone it is in", None),
    setting("door", "IP:PORT", "where clients reach it", None),
    setting("address", "IP:PORT", "where other routers reach it", None),
    setting(
        "listen",
        "IP:PORT",
        "where it listens for other routers, if they reach it elsewhere",
        Some(""),
    ),
    setting("desk", "IP:PORT", "where operators reach it", None),
    setting("seeds", "IP:PORT,...", "addresses of directory nodes", None),
    setting(
        "own-cache",
        "COUNT",
        "mappings in its local cache, at the most",
        Some("512"),
    ),
    setting(
        "share",
        "COUNT",
        "mappings in its part of the region's cache, at the most",
        Some("16384"),
    ),
    setting(
        "body",
        "BYTES",
        "the longest request body",
        Some("16777216"),
    ),
    setting(
        "jobs",
        "COUNT",
        "requests in flight, at the most",
        Some("4096"),
    ),
    setting(
        "memory",
        "MB",
        "the memory that the process may use; clients get a part of it",
        Some("1024"),
    ),
    setting(
        "descriptors",
        "COUNT",
        "the file descriptors that it may open; clients get a part of them",
        Some("16384"),
    ),
    setting(
        "leave-ms",
        "MS",
        "how long it still accepts requests after the signal to stop",
        Some("1500"),
    ),
    setting(
        "stop-ms",
        "MS",
        "how long streams may take to finish after that",
        Some("20000"),
    ),
    setting(
        "head-ms",
        "MS",
        "how long the part of a body with the routing key may take",
        Some("10000"),
    ),
    setting(
        "quota-ms",
        "MS",
        "how long a request waits for its tenant's quota",
        Some("2500"),
    ),
    setting(
        "lease-grace-ms",
        "MS",
        "how long it goes on past its lease's end while no directory node renews it",
        Some("0"),
    ),
    setting(
        "partition-grace-ms",
        "MS",
        "the same while it is known to be cut off from a majority of the directory nodes",
        Some("0"),
    ),
    setting(
        "level",
        "LEVEL",
        "log level: error, warn, info, debug",
        Some("info"),
    ),
];

fn main() {
    let (settings, log_level) = read_settings();
    if let Err(error) = run(settings, &log_level) {
        exit::end("router", ExitCause::Failed, &format!("{error:#}"));
    }
}

fn run(settings: Settings, log_level: &str) -> anyhow::Result<()> {
    telemetry::logging::init("router", &settings.name, log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(router::run(settings, Extensions::default()))?;
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN);
    Ok(())
}

/// The settings and the log level; ends the process with all complaints where any is
/// wrong.
fn read_settings() -> (Settings, String) {
    let mut reader = SettingsReader::read(
        "router",
        "A rushport router: accepts clients' requests and streams them to engines.",
        SETTINGS,
    );
    let address = reader.address("address");
    let (leave_ms, stop_ms) = (
        reader.count("leave-ms", 0, 600_000),
        reader.count("stop-ms", 0, 600_000),
    );
    let settings = Settings {
        name: reader.name("name"),
        region: reader.name("region"),
        zone: reader.name("zone"),
        ingress_address: reader.address("door"),
        peer_address: address,
        peer_listen_address: reader.address_or("listen", address),
        body_head_timeout: Duration::from_millis(reader.count("head-ms", 1, 600_000)),
        quota_wait: Duration::from_millis(reader.count("quota-ms", 0, 60_000)),
        max_requests: reader.count("jobs", 1, 1 << 20) as usize,
        client_limits: ClientLimits::of_process(
            reader.count("memory", 64, 1 << 20) * BYTES_PER_MB,
            reader.count("descriptors", 256, 1 << 24),
        ),
        seeds: reader.addresses("seeds"),
        body_limit_bytes: reader.count("body", 1 << 10, 1 << 30) as usize,
        operator_address: reader.address("desk"),
        local_cache_entries: reader.count("own-cache", 1, 1 << 20) as usize,
        regional_cache_entries: reader.count("share", 1, 1 << 24) as usize,
        drain_plan: DrainPlan {
            accept_all_ms: leave_ms,
            end_by_ms: leave_ms + stop_ms,
        },
        drain_period: Duration::from_millis(leave_ms),
        shutdown_grace: Duration::from_millis(stop_ms),
        slot_wait_ms: ENGINE_SLOT_WAIT_MS,
        buffered_body_bytes: 0,
        resolves_by_key_only: false,
        lease_grace: LeaseGrace {
            unconditional_ms: reader.count("lease-grace-ms", 0, 600_000),
            partition_ms: reader.count("partition-grace-ms", 0, 600_000),
        },
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
    };
    let log_level = reader.text("level");
    if settings.seeds.is_empty() {
        reader.reject(
            "seeds",
            "a router needs the address of at least one directory node",
        );
    }
    let (door, desk) = (settings.ingress_address, settings.operator_address);
    if door == settings.peer_address || door == desk || settings.peer_address == desk {
        reader.reject("door", "door, address and desk must differ");
    }
    reader.exit_if_invalid();
    (settings, log_level)
}
