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

pub use body::{find, Find};
pub use compile::{compile, parse_span, Complaint};
pub use extract::{fingerprint, mark, Extract, Field, Head};
pub use prompt::{Part, Prompt};

/// The most of a job's body that is held back while its key is looked for.
pub const BODY_CAP: usize = 64 * 1024;

/// Compiled rules. Invariants: every `Route::door` is an index into `doors`,
/// door names and route names are each unique, and `routes` keeps the order
/// of the text, since among those of no host the first match wins; `hosts`
/// lists the routes of each host, the longest path first.
pub struct Program {
    pub doors: Vec<Door>,
    pub routes: Vec<Route>,
    pub points: SetPoints,
    hosts: HashMap<String, Vec<usize>>,
}

/// One front door. Invariant: `at` begins and ends with a slash.
pub struct Door {
    pub name: String,
    pub at: String,
    pub tenant: Source,
    pub model: Option<Source>,
}

pub struct Route {
    pub name: String,
    pub door: usize,
    /// `None` stands for any host.
    pub host: Option<String>,
    /// `None` stands for any method.
    pub method: Option<String>,
    pub path: String,
    /// The path ended in `*`: it matches whatever begins with `path`.
    pub open: bool,
    pub target: Target,
    pub repeatable: bool,
    pub deadline_ms: u64,
    pub prefix: Option<(Source, usize)>,
    /// Where the parts of the prompt are listed, each with its tokens.
    pub parts: Option<Source>,
    /// Where the tokens of the prompt and the most tokens out are told.
    pub size: Option<Source>,
    /// The regions where it may be served; empty stands for any.
    pub homes: Vec<String>,
    /// Who is let in first when engines are full; 0 goes first.
    pub urgency: Option<u8>,
    /// Engines that one job may be sent to, at the most.
    pub rounds: Option<u32>,
    /// The time inside which its answer is to begin.
    pub aim_ms: Option<u64>,
    /// It needs no tenant key.
    pub is_public: bool,
    /// A stream of it may be taken up at another engine.
    pub resumes: bool,
    /// Its answers are series of events.
    pub is_stream: bool,
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
    pub fill: f64,
    pub retries: f64,
    pub fresh_ms: u64,
    pub expire_ms: u64,
}

impl Default for SetPoints {
    fn default() -> Self {
        SetPoints {
            fill: 0.8,
            retries: 0.2,
            fresh_ms: 5 * 60_000,
            expire_ms: 24 * 3_600_000,
        }
    }
}

impl Source {
    /// Whether the value is to be had before any byte of the body.
    pub fn is_cheap(&self) -> bool {
        !matches!(self, Source::Body(_))
    }
}

impl Program {
    /// Elects a route for the head of a job: the longest path among those of its
    /// host, else the first that fits of those of no host.
    pub fn route(&self, head: &Head) -> Option<usize> {
        let fits = |route: &Route| {
            let method = route.method.as_deref().is_none_or(|m| m == head.method);
            let path = if route.open {
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
