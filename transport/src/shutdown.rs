//! The request to stop a process.

use tokio::signal::unix::{signal, SignalKind};

/// Waits until the process is asked to stop, by SIGTERM or SIGINT.
///
/// # Errors
/// The signals can't be listened to.
pub async fn shutdown_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
