//! The router's own program: flags and a JSON file, callers and engines by the
//! project's own interface.

use router::{Ports, Settings, ROOM_WAIT_MS};
use std::time::Duration;
use transport::boot::{setting, Boot, Setting};

const SETTINGS: &[Setting] = &[
    setting(
        "name",
        "NAME",
        "this router's name, unique in the cluster",
        None,
    ),
    setting("region", "NAME", "the region it stands in", None),
    setting("zone", "NAME", "the zone it stands in", None),
    setting("door", "IP:PORT", "where callers reach it", None),
    setting(
        "address",
        "IP:PORT",
        "where the routers of its region reach it",
        None,
    ),
    setting(
        "listen",
        "IP:PORT",
        "where it listens for them, if not there",
        Some(""),
    ),
    setting("desk", "IP:PORT", "where operators reach it", None),
    setting("seeds", "IP:PORT,...", "addresses of directory nodes", None),
    setting(
        "own-cache",
        "COUNT",
        "mappings in its own cache, at the most",
        Some("512"),
    ),
    setting(
        "share",
        "COUNT",
        "mappings in its share of the region's cache",
        Some("16384"),
    ),
    setting(
        "body",
        "BYTES",
        "the longest body that is taken",
        Some("16777216"),
    ),
    setting(
        "jobs",
        "COUNT",
        "jobs under way at a time, at the most",
        Some("4096"),
    ),
    setting(
        "leave-ms",
        "MS",
        "how long it still takes jobs after it is told to stop",
        Some("1500"),
    ),
    setting(
        "stop-ms",
        "MS",
        "how long streams may finish in when it stops",
        Some("20000"),
    ),
    setting(
        "head-ms",
        "MS",
        "how long the part of a body with the key may take",
        Some("10000"),
    ),
    setting(
        "quota-ms",
        "MS",
        "how long a job waits for the leader's word on its quota",
        Some("2500"),
    ),
    setting(
        "lease-grace-ms",
        "MS",
        "how long it goes on past its lease while it reaches no directory node",
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
    let mut boot = Boot::read(
        "router",
        "A rushport router: takes callers' jobs and streams them to engines.",
        SETTINGS,
    );
    let address = boot.address("address");
    let settings = Settings {
        name: boot.name("name"),
        region: boot.name("region"),
        zone: boot.name("zone"),
        door: boot.address("door"),
        address,
        listen: boot.address_or("listen", address),
        head: Duration::from_millis(boot.count("head-ms", 1, 600_000)),
        quota: Duration::from_millis(boot.count("quota-ms", 0, 60_000)),
        jobs: boot.count("jobs", 1, 1 << 20) as usize,
        seeds: boot.addresses("seeds"),
        body: boot.count("body", 1 << 10, 1 << 30) as usize,
        desk: boot.address("desk"),
        own_cache: boot.count("own-cache", 1, 1 << 20) as usize,
        share: boot.count("share", 1, 1 << 24) as usize,
        leave: Duration::from_millis(boot.count("leave-ms", 0, 600_000)),
        stop: Duration::from_millis(boot.count("stop-ms", 0, 600_000)),
        room_wait: ROOM_WAIT_MS,
        hold: 0,
        asks_by_key: false,
        lease_grace: boot.count("lease-grace-ms", 0, 600_000),
        beat: 350,
    };
    let level = boot.text("level");
    if settings.seeds.is_empty() {
        boot.complain(
            "seeds",
            "a router needs the address of a directory node at least",
        );
    }
    let (door, desk) = (settings.door, settings.desk);
    if door == settings.address || door == desk || settings.address == desk {
        boot.complain("door", "door, address and desk can't be the same");
    }
    boot.finish();
    let run = || -> anyhow::Result<()> {
        transport::logs::start("router", &settings.name, &level)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        runtime.block_on(router::run(settings, Ports::default()))?;
        runtime.shutdown_timeout(Duration::from_millis(200));
        Ok(())
    };
    if let Err(error) = run() {
        eprintln!("router: {error:#}");
        std::process::exit(1);
    }
}
