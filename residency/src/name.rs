//! Names of tenants, services, regions, zones, cells and engines, and the epochs of states.

use binrw::binrw;
use consensus::codec::{read_string, write_string};
use consensus::LogIndex;

/// The index of the log entry that made a state. States and changes are compared by it.
pub type Epoch = LogIndex;

/// A name as it lies in log entries, snapshots and frames: a counted UTF-8 string.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name(
    /// The text of the name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub String,
);

impl From<&str> for Name {
    fn from(text: &str) -> Name {
        Name(text.into())
    }
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
