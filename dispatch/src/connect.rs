//! Connections to engines: a pooled one or a new one.

use crate::body::OutgoingBody;
use crate::connection_pool::{ConnectionHistory, PooledConnection};
use crate::dispatcher::Dispatcher;
use crate::guard::{GuardSlot, GuardedStream};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use transport::{link, AbortOnDrop};

/// A connection on which nothing of the request was sent yet.
pub(crate) enum EngineConnection {
    /// It carried requests before.
    Pooled(PooledConnection),
    /// It was made for this request.
    New(TcpStream),
}

impl Dispatcher {
    /// Opens a TCP connection to an engine.
    pub(crate) async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let connecting = link::connect(self.source, to);
        match tokio::time::timeout(self.options.connect_timeout, connecting).await {
            Ok(connected) => connected,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Speaks HTTP/1.1 on a new connection; every write passes its guard.
    pub(crate) async fn handshake(&self, stream: TcpStream) -> hyper::Result<PooledConnection> {
        self.metrics.increment("connections");
        let guard_slot = Arc::new(GuardSlot::default());
        let stream = GuardedStream {
            stream: TokioIo::new(stream),
            guard_slot: Arc::clone(&guard_slot),
        };
        let (sender, connection) =
            hyper::client::conn::http1::handshake::<_, OutgoingBody>(stream).await?;
        let driver = AbortOnDrop(tokio::spawn(connection).abort_handle());
        Ok(PooledConnection {
            sender,
            guard_slot,
            driver,
            history: ConnectionHistory::New,
        })
    }
}
