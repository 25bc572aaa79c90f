//! What is wrong with a topology file.

use std::fmt;

/// One error of a topology file.
#[derive(Clone, Debug, PartialEq)]
pub struct TopologyError {
    /// The path of the field, such as `tenants.ana.homes[0]`; empty for the file itself.
    pub path: String,
    /// What is wrong with it.
    pub kind: TopologyErrorKind,
}

impl fmt::Display for TopologyError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.path.is_empty() {
            true => write!(f, "topology file: {}", self.kind),
            false => write!(f, "{}: {}", self.path, self.kind),
        }
    }
}

impl std::error::Error for TopologyError {}

/// Everything that is wrong with a topology file, one error a line.
#[derive(Clone, Debug, PartialEq)]
pub struct TopologyErrors(
    /// Never empty.
    pub Vec<TopologyError>,
);

impl fmt::Display for TopologyErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (number, error) in self.0.iter().enumerate() {
            if number > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for TopologyErrors {}

/// What a field must hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Expected {
    /// An object.
    #[error("an object")]
    Object,
    /// A text.
    #[error("a text")]
    Text,
    /// A list of texts.
    #[error("a list of texts")]
    TextList,
    /// A whole number within bounds, both included.
    #[error("a whole number from {min} to {max}")]
    Count {
        /// The least.
        min: u64,
        /// The most.
        max: u64,
    },
    /// A duration with its unit.
    #[error("a time such as 30s, 5m or 24h")]
    Duration,
}

/// What is wrong with one field of a topology file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TopologyErrorKind {
    /// The field is missing, or holds something of another type or range.
    #[error("expected {expected}, found {found}")]
    WrongValue {
        /// What belongs here.
        expected: Expected,
        /// What is here.
        found: String,
    },
    /// The object has no such field.
    #[error("no such field; the fields are {}", known.join(", "))]
    UnknownField {
        /// The fields that it may have.
        known: &'static [&'static str],
    },
    /// A name with other characters, empty or too long.
    #[error("a name is 1 to 64 letters, digits, dots, dashes, underscores")]
    InvalidName,
    /// A key that is not a digest. It isn't repeated here, since it may be the key itself.
    #[error("a key is stored as a digest of 64 hexadecimal digits")]
    InvalidDigest,
    /// A cell's zone is not in the file.
    #[error("there is no zone {0}")]
    UnknownZone(String),
    /// A service that a tenant may use is not in the file.
    #[error("there is no service {0}")]
    UnknownService(String),
    /// A home region that no zone lies in.
    #[error("no zone lies in a region {0}")]
    UnknownRegion(String),
    /// A list of homes that allows no region.
    #[error("an empty list allows no region; leave it out to allow any")]
    EmptyHomes,
    /// A key that two tenants list.
    #[error("a key belongs to tenant {0}, too")]
    KeyOfOtherTenant(String),
    /// A mapping would expire while it is fresh.
    #[error("it is longer than `expire`")]
    FreshLongerThanExpire,
    /// The rules do not compile.
    #[error(transparent)]
    Rules(#[from] policy::CompileError),
    /// A route's target is not in the file.
    #[error("route {route} names no known service")]
    RouteWithUnknownService {
        /// The route.
        route: String,
    },
    /// A route's home region that no zone lies in.
    #[error("route {route}: no zone lies in a region {region}")]
    RouteWithUnknownRegion {
        /// The route.
        route: String,
        /// The region.
        region: String,
    },
}
