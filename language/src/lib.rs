//! The language of rushport's routes and policies: its text, its compiler to
//! tables over dense indices, and the reading of a job's routing key by those
//! tables. Router and directory both use this package and nothing else for it.
//!
//! No clock, no socket and no task lives here.

mod body;
mod compile;
mod extract;

pub use body::{find, Find};
pub use compile::{compile, parse_span, Complaint};
pub use extract::{fingerprint, mark, Extract, Field, Head};

/// The most of a job's body that is held back while its key is looked for.
pub const BODY_CAP: usize = 64 * 1024;

/// Compiled rules. Invariant: every `Route::door` is an index into `doors`,
/// door names and route names are each unique, and `routes` keeps the order
/// of the text, since the first match wins.
pub struct Program {
    pub doors: Vec<Door>,
    pub routes: Vec<Route>,
    pub points: SetPoints,
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
    /// `None` stands for any method.
    pub method: Option<String>,
    pub path: String,
    /// The path ended in `*`: it matches whatever begins with `path`.
    pub open: bool,
    pub target: Target,
    pub repeatable: bool,
    pub deadline_ms: u64,
    pub prefix: Option<(Source, usize)>,
}

pub enum Target {
    /// The service is named by the job, through the door's `model` source.
    Model,
    Service(String),
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
        SetPoints { fill: 0.8, retries: 0.2, fresh_ms: 5 * 60_000, expire_ms: 24 * 3_600_000 }
    }
}

impl Source {
    /// Whether the value is to be had before any byte of the body.
    pub fn is_cheap(&self) -> bool {
        !matches!(self, Source::Body(_))
    }
}

impl Program {
    /// Elects the first route that fits the head of a job.
    pub fn route(&self, head: &Head) -> Option<usize> {
        self.routes.iter().position(|route| {
            let method = route.method.as_deref().is_none_or(|m| m == head.method);
            let path = if route.open {
                head.path.starts_with(&route.path)
            } else {
                head.path == route.path
            };
            method && path
        })
    }
}
