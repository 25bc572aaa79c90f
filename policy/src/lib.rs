//! The language of rushport's routes and policies: its text, its compiler to
//! tables over dense indices, and the reading of a job's routing key by those
//! tables. Router and directory both use this package and nothing else for it.
//!
//! No clock, no socket and no task lives here.

use std::collections::HashMap;

mod body;
mod compile;
mod extract;
mod prompt;

pub use body::{find_field, FieldSearch};
pub use compile::{compile, parse_duration_ms, CompileError};
pub use extract::{sha256_hex, stable_hash, ExtractedKey, KeyField, RequestHead};
pub use prompt::{Prompt, PromptPart};

/// The most of a job's body that is held back while its key is looked for.
pub const BODY_LIMIT_BYTES: usize = 64 * 1024;

/// Compiled rules. Invariants: every `Route::ingress` is an index into `ingresses`,
/// door names and route names are each unique, and `routes` keeps the order
/// of the text, since among those of no host the first match wins; `hosts`
/// lists the routes of each host, the longest path first.
pub struct Program {
    pub ingresses: Vec<Ingress>,
    pub routes: Vec<Route>,
    pub set_points: SetPoints,
    hosts: HashMap<String, Vec<usize>>,
}

/// One front door. Invariant: `path_prefix` begins and ends with a slash.
pub struct Ingress {
    pub name: String,
    pub path_prefix: String,
    pub tenant_source: Source,
    pub model_source: Option<Source>,
}

pub struct Route {
    pub name: String,
    pub ingress: usize,
    /// `None` stands for any host.
    pub host: Option<String>,
    /// `None` stands for any method.
    pub method: Option<String>,
    pub path: String,
    /// The path ended in `*`: it matches whatever begins with `path`.
    pub is_path_prefix: bool,
    pub target: Target,
    pub is_idempotent: bool,
    pub deadline_ms: u64,
    pub prompt_prefix: Option<(Source, usize)>,
    /// Where the parts of the prompt are listed, each with its tokens.
    pub prompt_parts: Option<Source>,
    /// Where the tokens of the prompt and the most tokens out are told.
    pub prompt_size: Option<Source>,
    /// The regions where it may be served; empty stands for any.
    pub home_regions: Vec<String>,
    /// Who is let in first when engines are full; 0 goes first.
    pub urgency: Option<u8>,
    /// Engines that one job may be sent to, at the most.
    pub max_attempts: Option<u32>,
    /// The time inside which its answer is to begin.
    pub latency_target_ms: Option<u64>,
    /// It needs no tenant key.
    pub is_public: bool,
    /// A stream of it may be taken up at another engine.
    pub is_resumable: bool,
    /// Its answers are series of events.
    pub is_streaming: bool,
}

pub enum Target {
    /// The service is named by the job, through the door's `model` source.
    Model,
    Service(String),
    /// Services with their shares. Invariant: the shares' sum is above 0.
    Split(Vec<(String, u32)>),
}

impl Target {
    /// The services that a job may come to, where the rules name them.
    pub fn services(&self) -> Vec<&str> {
        match self {
            Target::Model => Vec::new(),
            Target::Service(name) => vec![name],
            Target::Split(shares) => shares.iter().map(|(name, _)| name.as_str()).collect(),
        }
    }
}

/// Where a value stands in a job, cheap ones first.
#[derive(Clone, PartialEq)]
pub enum Source {
    Header(String),
    Bearer,
    Segment(usize),
    Query(String),
    Body(Vec<String>),
}

/// The values that the controllers steer by.
#[derive(Clone, Copy, PartialEq)]
pub struct SetPoints {
    pub target_utilization: f64,
    pub retry_ratio: f64,
    pub fresh_ms: u64,
    pub expire_ms: u64,
}

impl Default for SetPoints {
    fn default() -> Self {
        SetPoints {
            target_utilization: 0.8,
            retry_ratio: 0.2,
            fresh_ms: 5 * 60_000,
            expire_ms: 24 * 3_600_000,
        }
    }
}

impl Source {
    /// Whether the value is to be had before any byte of the body.
    pub fn is_in_head(&self) -> bool {
        !matches!(self, Source::Body(_))
    }
}

impl Program {
    /// Elects a route for the head of a job: the longest path among those of its
    /// host, else the first that fits of those of no host.
    pub fn match_route(&self, head: &RequestHead) -> Option<usize> {
        let fits = |route: &Route| {
            let method = route.method.as_deref().is_none_or(|m| m == head.method);
            let path = if route.is_path_prefix {
                head.path.starts_with(&route.path)
            } else {
                head.path == route.path
            };
            method && path
        };
        if !self.hosts.is_empty() {
            let host = (head.header)("host").unwrap_or_default();
            let host = host.rsplit_once(':').map_or(&*host, |(name, _)| name);
            let listed = self
                .hosts
                .get(host)
                .or_else(|| self.hosts.get(&host.to_lowercase()));
            let found = listed.and_then(|of| of.iter().find(|at| fits(&self.routes[**at])));
            if found.is_some() {
                return found.copied();
            }
        }
        self.routes
            .iter()
            .position(|route| route.host.is_none() && fits(route))
    }
}
