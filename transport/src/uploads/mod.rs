//! The bodies of clients' requests: what they hold of a process's memory, and what becomes of
//! those that stand still.
//!
//! - `budget`: the bytes that all of them hold, reserved before they are kept;
//! - `upload_body`: a body on its way in, which may be ended when its room is needed;
//! - `buffer`: the bytes that are kept of one body;
//! - `receive`: a body that is received whole.

mod budget;
mod buffer;
mod receive;
mod upload_body;

pub use budget::{BodyBudget, BudgetExhausted, HeldBytes};
pub use buffer::BodyBuffer;
pub use receive::{receive_body, ReceiveError, ReceivedBody};
pub use upload_body::{Upload, UploadBody, UploadError};

/// What may wait in the kernel of a connection whose client sends no large body. It is what the
/// window of the connection begins with.
pub const NARROW_RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// The same while a large body comes in: enough for some 2 MB a second over 55 ms.
const WIDE_RECEIVE_BUFFER_BYTES: usize = 128 << 10;
