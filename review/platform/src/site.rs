//! A small deployment of the project's own programs on loopback addresses.

use crate::record::Record;
use crate::sys;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

/// Zone and region of each zone.
pub const ZONES: [(&str, &str); 3] = [
    ("kol-a", "kolkata"),
    ("sil-a", "siliguri"),
    ("dgp-a", "durgapur"),
];

const FRONT: u16 = 0;
const READY: u16 = 1;
const CONTROL: u16 = 2;
const DIRECTORY: u16 = 3;
const FREE_FROM: u16 = 10;
const FREE_TO: u16 = 25;
const PORTS: u16 = 32;

#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    Router,
    Directory,
}

pub struct Machine {
    pub name: String,
    pub role: Role,
    pub zone: usize,
    pub ip: Ipv4Addr,
    pub child: Option<Child>,
}

pub struct Site {
    pub folder: PathBuf,
    pub machines: Vec<Machine>,
    pub record: Record,
    program: PathBuf,
    network: [u8; 2],
    base_port: u16,
    list: SocketAddr,
}

fn random() -> u64 {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let mixed = nanos.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32);
    mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11
}

impl Site {
    /// So many directory nodes and routers, spread over the zones; none is started.
    pub fn new(
        root: &Path,
        directories: usize,
        routers: usize,
        record: Record,
    ) -> io::Result<Site> {
        let program = root.join("target/release/rushport");
        if !program.exists() {
            let text = format!("{} is not built", program.display());
            return Err(io::Error::new(io::ErrorKind::NotFound, text));
        }
        let folder = std::env::temp_dir().join(format!("review-{:x}", random()));
        fs::create_dir_all(&folder)?;
        for _ in 0..100 {
            let drawn = random();
            let network = [1 + (drawn % 250) as u8, 1 + (drawn / 250 % 250) as u8];
            let base_port = 20_000 + (drawn / 62_500 % 250) as u16 * PORTS;
            let mut site = Site {
                folder: folder.clone(),
                machines: Vec::new(),
                record: record.clone(),
                program: program.clone(),
                network,
                base_port,
                list: SocketAddr::from(([127, network[0], network[1], 250], base_port)),
            };
            for number in 0..directories + routers {
                let (role, of_role, name) = match number < directories {
                    true => (Role::Directory, number, "core"),
                    false => (Role::Router, number - directories, "edge"),
                };
                let zone = of_role % ZONES.len();
                site.machines.push(Machine {
                    name: format!("{name}-{}-{}", ZONES[zone].0, of_role / ZONES.len() + 1),
                    role,
                    zone,
                    ip: site.ip(10 + number as u8),
                    child: None,
                });
            }
            if site.has_free_ports() {
                return Ok(site);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], host)
    }

    fn has_free_ports(&self) -> bool {
        let machines = self.machines.iter().map(|machine| machine.ip);
        let mut all = machines.chain([self.ip(250), self.ip(200)]);
        all.all(|ip| {
            let mut ports = self.base_port..self.base_port + PORTS;
            ports.all(|port| TcpListener::bind((ip, port)).is_ok())
        })
    }

    /// A listener for the list of engines.
    pub fn bind_list(&self) -> io::Result<TcpListener> {
        TcpListener::bind(self.list)
    }

    /// A listener for an engine.
    pub fn bind_engine(&self, number: u8) -> io::Result<TcpListener> {
        TcpListener::bind((self.ip(200), self.base_port + u16::from(number)))
    }

    pub fn address(&self, machine: usize, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[machine].ip, self.base_port + port)
    }

    fn of_role(&self, role: Role) -> impl Iterator<Item = usize> + '_ {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(move |(_, m)| m.role == role)
            .map(|(at, _)| at)
    }

    pub fn directories(&self) -> Vec<usize> {
        self.of_role(Role::Directory).collect()
    }

    pub fn routers(&self) -> Vec<usize> {
        self.of_role(Role::Router).collect()
    }

    pub fn front(&self, machine: usize) -> SocketAddrV4 {
        self.address(machine, FRONT)
    }

    pub fn ready(&self, machine: usize) -> SocketAddr {
        self.address(machine, READY).into()
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        self.address(machine, CONTROL).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.of_role(Role::Directory)
            .map(|at| self.control(at))
            .collect()
    }

    fn data_folder(&self, machine: usize) -> PathBuf {
        self.folder
            .join(format!("{}-data", self.machines[machine].name))
    }

    fn settings(&self, machine: usize, first: bool) -> String {
        let Machine {
            name,
            role,
            zone,
            ip,
            ..
        } = &self.machines[machine];
        let (zone, region) = ZONES[*zone];
        let port = |port: u16| self.base_port + port;
        let (class, serves, listen) = match role {
            Role::Router => (
                "edge",
                "  - \"edge\"\n".to_string(),
                format!(
                    "  front: \"{ip}:{}\"\n  ready: \"{ip}:{}\"\n",
                    port(FRONT),
                    port(READY)
                ),
            ),
            Role::Directory => (
                "core",
                "  - \"controller\"\n  - \"registry\"\n".to_string(),
                format!(
                    "  control: \"{ip}:{}\"\n  directory: \"{ip}:{}\"\n",
                    port(CONTROL),
                    port(DIRECTORY)
                ),
            ),
        };
        let zones: String = ZONES
            .iter()
            .map(|(zone, region)| format!("  {zone}: \"{region}\"\n"))
            .collect();
        let seeds: String = self
            .of_role(Role::Directory)
            .take(3)
            .map(|at| format!("  - \"{}\"\n", self.control(at)))
            .collect();
        let data = match role {
            Role::Router => "null".to_string(),
            Role::Directory => format!("\"{}\"", self.data_folder(machine).display()),
        };
        let (share, memory, files) = match role {
            Role::Router => ("0.25", 260, 4_100),
            Role::Directory => ("0.15", 256, 4_096),
        };
        format!(
            "node: \"{name}\"\nrole: \"{class}\"\nmachine_class: \"{class}\"\nserves:\n{serves}\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"{region}\"\nzones:\n{zones}\
             listen:\n{listen}port_range:\n  - {}\n  - {}\nseeds:\n{seeds}\
             first_boot: {first}\ncounted: {}\nlimits:\n  cpu_share: {share}\n  cores: 1\n  \
             memory_mb: {memory}\n  file_handles: {files}\n  link_mbps: 1000.0\n  disk_mb: 128\n\
             data_dir: {data}\ndiscovery: \"platform\"\nentry: \"registry\"\nbeat_ms: 1200\n\
             promises:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  \
             - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"places\"\n  - \"tenants\"\n  \
             - \"quota\"\n\
             tolerate:\n  machines: 1\n  zones: 1\n  regions: 1\n\
             bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  in_touch_ms: 4000\n  ack_ms: 5000\n  \
             catch_up_s: 4\n  drain_ms: 4000\n  grace_s: 8\n  loss_slack_ms: 200\n  \
             apply_ms: 3000\n  rollback_slack_ms: 250\n  stretch_ms: 6000\n  \
             revoke_everywhere: false\n  revoke_ms: 5000\n  retry_ratio: 0.2\n  \
             retry_window_s: 10\n  retry_extra: 58\n  quota_window_s: 5\n  quota_overrun: 0.1\n  \
             quota_margin: 20\n  warmup_overrun: 1.5\n  warmup_margin: 5\n  evacuate_ms: 5000\n  \
             recover_s: 12\n  prompt_pass_ms: 400\n  ttl_max_s: 5\n\
             cloud:\n  address: \"{}\"\n  rate_per_s: 47.0\n  duties: []\n  lag_ms: 800\n",
            port(FREE_FROM),
            port(FREE_TO),
            *role == Role::Directory,
            self.list,
        )
    }

    /// Starts a machine's process, with the command of the deploy file.
    pub fn start(&mut self, machine: usize, first: bool) -> io::Result<()> {
        let name = self.machines[machine].name.clone();
        let boot = self.folder.join(format!("{name}.yaml"));
        fs::write(&boot, self.settings(machine, first))?;
        if self.machines[machine].role == Role::Directory {
            fs::create_dir_all(self.data_folder(machine))?;
        }
        let log = || {
            let path = self.folder.join(format!("{name}.log"));
            fs::OpenOptions::new().create(true).append(true).open(path)
        };
        let word = match self.machines[machine].role {
            Role::Router => "router",
            Role::Directory => "directory",
        };
        let child = Command::new(&self.program)
            .arg(word)
            .env("RUSHPORT_CONFIG", &boot)
            .stdin(Stdio::null())
            .stdout(log()?)
            .stderr(log()?)
            .spawn()?;
        self.record.note(format!("{name} starts"));
        self.machines[machine].child = Some(child);
        Ok(())
    }

    pub fn start_all(&mut self) -> io::Result<()> {
        (0..self.machines.len()).try_for_each(|machine| self.start(machine, true))
    }

    pub fn signal(&self, machine: usize, signal: i32) {
        if let Some(child) = &self.machines[machine].child {
            self.record.note(format!(
                "signal {signal} to {}",
                self.machines[machine].name
            ));
            sys::signal(child.id(), signal);
        }
    }

    /// Whether a machine's process has ended.
    pub fn has_ended(&mut self, machine: usize) -> bool {
        match &mut self.machines[machine].child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, machine: usize) {
        if let Some(mut child) = self.machines[machine].child.take() {
            self.record
                .note(format!("{} is killed", self.machines[machine].name));
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Empties a machine's disk; its process does not run.
    pub fn wipe(&self, machine: usize) {
        self.record
            .note(format!("{} loses its disk", self.machines[machine].name));
        drop(fs::remove_dir_all(self.data_folder(machine)));
    }

    pub fn log(&self, machine: usize) -> String {
        let path = self
            .folder
            .join(format!("{}.log", self.machines[machine].name));
        fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                drop(child.kill());
                drop(child.wait());
            }
        }
        if std::env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}
