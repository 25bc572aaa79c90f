//! What processes speak over: the HTTP listener and client, the bodies of clients' requests,
//! framed links between own processes, and the clock that deadlines and leases are counted by.

mod clock;
pub mod http_client;
pub mod http_listener;
pub mod http_server;
pub mod link;
pub mod rejection;
mod shutdown;
mod task;
pub mod uploads;

pub use clock::{jitter, now, sleep_until};
pub use shutdown::shutdown_signal;
pub use task::AbortOnDrop;
