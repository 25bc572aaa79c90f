//! Where a tenant's service may run, as a directory node resolves it on a router's
//! session. The request names the routing key alone and never carries a prompt.

use binrw::binrw;
use residency::{Mapping, Name};

/// The response to a lookup.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResponse {
    /// The regions and cells, with how long they may be cached.
    #[brw(magic = 0u8)]
    Found(Mapping),
    /// The key may run nowhere: the code and the text that the client gets.
    #[brw(magic = 1u8)]
    NotFound {
        /// Stable code, such as `no-place`.
        code: Name,
        /// The reason, for people.
        text: Name,
    },
    /// The node is not in touch with a majority. A retry, at another node as well, is
    /// safe.
    #[brw(magic = 2u8)]
    Unavailable,
}
