//! What a program can add to a node, so that it speaks another interface than our own.

use crate::control_plane::ControlPlane;
use crate::engine_discovery::EngineDiscovery;
use std::net::SocketAddr;
use std::sync::Arc;

/// One more HTTP server, beside the operator API.
pub struct HttpServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Open connections, at the most.
    pub max_connections: usize,
    /// Makes the handler of its requests.
    pub handler: Box<dyn FnOnce(Arc<ControlPlane>) -> transport::http_server::Handler + Send>,
}

/// Called with a node that has started.
pub type OnStart = Box<dyn FnOnce(Arc<ControlPlane>) + Send>;

/// What is added to a node. By default nothing: operators register engines, and the
/// operator API is the only HTTP server.
#[derive(Default)]
pub struct Extensions {
    /// A list of engines that is kept elsewhere.
    pub engine_discovery: Option<EngineDiscovery>,
    /// More HTTP servers.
    pub http_servers: Vec<HttpServer>,
    /// Called once, within the runtime, as soon as the node is there.
    pub on_start: Option<OnStart>,
}
