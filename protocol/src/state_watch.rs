//! A router and a directory node, beside the router's session: the router asks what the
//! node's log holds. From the answers of a majority it knows whether its view is current
//! while no node leads ([`consensus::quorum_read`]); a node that does not answer on a
//! connection that stands is out of reach, or stands still.

use binrw::binrw;
use consensus::quorum_read::LogReport;

/// What a node says of itself, in answer to [`crate::Frame::StateQuery`].
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateReport {
    /// The query's number.
    pub number: u64,
    /// What the node's log holds.
    pub log: LogReport,
}
