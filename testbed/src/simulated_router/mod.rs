//! Simulated routers: many share a process, each with an address, a session and a state of
//! its own, by the frames and the state machines of a real one. They have no clients and
//! forward nothing; the requests whose quota they ask for are made up.

mod figures;
mod router;
mod session;

pub use router::{address, clock, Settings, MAX_ADDRESSES};

use parking_lot::Mutex;
use router::SimulatedRouter;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use transport::http_server;

/// Runs the routers until the process is asked to stop, or the one that started it ends.
///
/// # Errors
///
/// Where the figures can't be served.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let settings = Arc::new(settings);
    let (reconnect, told) = watch::channel(0u64);
    let range = settings.first..settings.first + settings.count;
    let all: Vec<Arc<Mutex<SimulatedRouter>>> = range
        .map(|number| Arc::new(Mutex::new(SimulatedRouter::new(&settings, number))))
        .collect();
    for router in &all {
        tokio::spawn(session::run_router(
            Arc::clone(router),
            Arc::clone(&settings),
            told.clone(),
        ));
    }
    let known = all.clone();
    let handler: http_server::Handler = Arc::new(move |request| {
        let response = figures::respond(&known, &reconnect, &request);
        Box::pin(async move { response })
    });
    let _desk = http_server::serve_by_default(settings.operator_address, handler)?;
    let parent = std::thread::spawn(|| {
        // Nothing is ever written there: it closes when the process that started this ends.
        drop(std::io::copy(&mut std::io::stdin(), &mut std::io::sink()));
    });
    let gone = async {
        while !parent.is_finished() {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    tokio::select! {
        ended = transport::shutdown_signal() => Ok(ended?),
        () = gone => Ok(()),
    }
}
