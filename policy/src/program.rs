//! Compiled rules: the tables by which requests are routed.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// Compiled rules. Invariants: every [`Route::ingress`] is an index into `ingresses`; the
/// names of ingresses and of routes are each unique; `routes` keeps the order of the text,
/// since among those of no host the first match wins.
#[derive(Default)]
pub struct Program {
    /// The ingresses, in the order of the text.
    pub ingresses: Vec<Ingress>,
    /// The routes, in the order of the text.
    pub routes: Vec<Route>,
    /// The set points.
    pub set_points: SetPoints,
    /// The routes of each host by index, the longest path first.
    routes_by_host: HashMap<String, Vec<usize>>,
}

/// Where the requests for a host may be sent, over all of its routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostHomes {
    /// None of its routes has home regions.
    AnyRegion,
    /// The regions that are home to all of its routes that have homes; there may be none.
    Regions(BTreeSet<String>),
}

/// How the requests of one path prefix carry tenant key and model; a `door` of the
/// language. Invariant: `path_prefix` begins and ends with a slash.
pub struct Ingress {
    /// Its name in the rules.
    pub name: String,
    /// What the paths of its routes begin with.
    pub path_prefix: String,
    /// Where a request carries the tenant key.
    pub tenant_source: Source,
    /// Where a request carries the model, if it may choose one.
    pub model_source: Option<Source>,
}

/// Where the requests of a host, method and path go, and by which terms.
pub struct Route {
    /// Its name in the rules.
    pub name: String,
    /// Its ingress, an index into [`Program::ingresses`].
    pub ingress: usize,
    /// `None` stands for any host.
    pub host: Option<String>,
    /// `None` stands for any method.
    pub method: Option<String>,
    /// The path, without the `*` at its end.
    pub path: String,
    /// The path ended in `*`: the route matches whatever begins with `path`.
    pub is_path_prefix: bool,
    /// Which service the requests go to.
    pub target: Target,
    /// A request may run more than once.
    pub is_idempotent: bool,
    /// The time to the head of the response.
    pub deadline_ms: u64,
    /// The text by whose beginning requests share an engine's prefix cache.
    pub prompt_prefix: Option<PromptPrefix>,
    /// Where a request lists the parts of its prompt, each with its tokens.
    pub prompt_parts: Option<Source>,
    /// Where a request states the tokens of its prompt and the most output tokens.
    pub prompt_size: Option<Source>,
    /// The regions where it may be served; empty stands for any.
    pub homes: Vec<String>,
    /// Which requests are admitted first when engines are full; 0 goes first.
    pub urgency: Option<u8>,
    /// The most engines that one request may be sent to.
    pub max_attempts: Option<u32>,
    /// The time in which the response is to begin.
    pub latency_slo_ms: Option<u64>,
    /// It needs no tenant key.
    pub is_public: bool,
    /// Its streams may be resumed at another engine.
    pub is_resumable: bool,
    /// Its responses are streams of events.
    pub is_streaming: bool,
}

/// The beginning of a text that requests of one conversation share.
pub struct PromptPrefix {
    /// Where the text stands.
    pub source: Source,
    /// How many of its bytes count.
    pub max_bytes: usize,
}

/// Which service a route's requests go to.
pub enum Target {
    /// The service that the request names, through the ingress's model source.
    Model,
    /// One service.
    Service(String),
    /// Several services by weight. Invariant: the weights' sum is above 0.
    Split(Vec<WeightedService>),
}

/// A service of a split and its share of the requests.
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its share, in proportion to the others'.
    pub weight: u32,
}

impl Target {
    /// The services that a request may go to, where the rules name them.
    pub fn services(&self) -> Vec<&str> {
        match self {
            Target::Model => Vec::new(),
            Target::Service(name) => vec![name],
            Target::Split(services) => services.iter().map(|s| s.service.as_str()).collect(),
        }
    }
}

/// Where a value stands in a request.
#[derive(Clone, PartialEq)]
pub enum Source {
    /// A header, by its lower-case name.
    Header(String),
    /// The bearer token of the `authorization` header.
    Bearer,
    /// A segment of the path, counted from 1.
    Segment(usize),
    /// A field of the query.
    Query(String),
    /// A field of a JSON body, by the names that lead to it.
    Body(Vec<String>),
}

impl Source {
    /// Whether the value is known before any byte of the body.
    pub fn is_in_head(&self) -> bool {
        !matches!(self, Source::Body(_))
    }
}

/// The values that the controllers steer by.
#[derive(Clone, Copy, PartialEq)]
pub struct SetPoints {
    /// How full engines are kept, as a part of their slots.
    pub target_utilization: f64,
    /// Further attempts, as a part of the first ones.
    pub retry_ratio: f64,
    /// For how long a cached mapping is used without asking again.
    pub fresh_ms: u64,
    /// For how long a cached mapping is used while no directory node answers.
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

/// The head of a request, as the ingress received it.
pub struct RequestHead<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, as it was sent.
    pub path: &'a str,
    /// The query without the question mark; empty where there is none.
    pub query: &'a str,
    /// Looks a header up by its lower-case name.
    pub header: &'a dyn Fn(&str) -> Option<String>,
    /// A hash of the request's id, by which a split chooses: a retry under the same id gets
    /// the same service.
    pub split_seed: u64,
}

impl Route {
    fn matches(&self, head: &RequestHead) -> bool {
        let is_path = match self.is_path_prefix {
            true => head.path.starts_with(&self.path),
            false => head.path == self.path,
        };
        is_path
            && self
                .method
                .as_deref()
                .is_none_or(|method| method == head.method)
    }
}

/// The host of an authority.
fn without_port(authority: &str) -> &str {
    authority
        .rsplit_once(':')
        .map_or(authority, |(host, _)| host)
}

/// A host as routes name it: in lower case, without a port and without the root's dot.
pub fn normalized_host(authority: &str) -> String {
    let host = without_port(authority);
    host.strip_suffix('.').unwrap_or(host).to_lowercase()
}

/// Where requests may be sent that may be for any of these routes.
fn common_homes<'a>(routes: impl Iterator<Item = &'a Route>) -> HostHomes {
    let common = routes
        .filter(|route| !route.homes.is_empty())
        .map(|route| route.homes.iter().cloned().collect::<BTreeSet<String>>())
        .reduce(|one, other| &one & &other);
    common.map_or(HostHomes::AnyRegion, HostHomes::Regions)
}

impl Program {
    pub(crate) fn new(
        ingresses: Vec<Ingress>,
        routes: Vec<Route>,
        set_points: SetPoints,
    ) -> Program {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            if let Some(host) = &route.host {
                routes_by_host.entry(host.clone()).or_default().push(index);
            }
        }
        for indexes in routes_by_host.values_mut() {
            indexes.sort_by_key(|index| Reverse(routes[*index].path.len()));
        }
        Program {
            ingresses,
            routes,
            set_points,
            routes_by_host,
        }
    }

    /// The route of a request, an index into `routes`: the longest path among those of its
    /// host, else the first match among those of no host.
    pub fn match_route(&self, head: &RequestHead) -> Option<usize> {
        self.match_host_route(head).or_else(|| {
            let mut routes = self.routes.iter();
            routes.position(|route| route.host.is_none() && route.matches(head))
        })
    }

    /// Whether the program has routes of this [normalized](normalized_host) host.
    pub fn knows_host(&self, host: &str) -> bool {
        self.routes_by_host.contains_key(host)
    }

    /// Where the requests for this [normalized](normalized_host) host may be sent. What is
    /// sent to a host without routes is held to the homes of all routes: it may be a name for
    /// one of their hosts.
    pub fn host_homes(&self, host: &str) -> HostHomes {
        match self.routes_by_host.get(host) {
            Some(indexes) => common_homes(indexes.iter().map(|index| &self.routes[*index])),
            None => common_homes(self.routes.iter()),
        }
    }

    fn match_host_route(&self, head: &RequestHead) -> Option<usize> {
        if self.routes_by_host.is_empty() {
            return None;
        }
        let authority = (head.header)("host").unwrap_or_default();
        let host = without_port(&authority);
        let indexes = self
            .routes_by_host
            .get(host)
            .or_else(|| self.routes_by_host.get(&host.to_lowercase()))?;
        let is_match = |index: &&usize| self.routes[**index].matches(head);
        indexes.iter().find(is_match).copied()
    }
}
