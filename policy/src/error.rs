//! What is wrong with a text of rules, and where.

/// One error of a text of rules.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line}, column {column}: {kind}")]
pub struct CompileError {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub kind: CompileErrorKind,
}

/// What a parser read, or the line's first error.
pub(crate) type Parsed<T> = Result<T, CompileError>;

/// What is wrong with one line of rules.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CompileErrorKind {
    /// A quoted text goes on to the end of the line.
    #[error("this text has no closing quote")]
    UnclosedQuote,
    /// The line is too short.
    #[error("the line ends where {expected} should stand")]
    LineEnds {
        /// What is missing.
        expected: String,
    },
    /// Another word than the language has here.
    #[error("expected {expected}, found {found}")]
    Unexpected {
        /// What belongs here.
        expected: String,
        /// The word that is here.
        found: String,
    },
    /// Words after the end of a statement.
    #[error("nothing more should stand on this line, found {found}")]
    TrailingWords {
        /// The first of them.
        found: String,
    },
    /// A second ingress of a name.
    #[error("there is a door {0} already")]
    DuplicateIngress(String),
    /// A second route of a name.
    #[error("there is a route {0} already")]
    DuplicateRoute(String),
    /// A route of the same host, path and method.
    #[error("route {0} has the same host and path")]
    SameHostAndPath(String),
    /// A second share for a service of a split.
    #[error("{0} has a share already")]
    DuplicateShare(String),
    /// A split whose shares are all 0.
    #[error("the shares of a split add up to nothing")]
    NoShares,
    /// A route on an ingress that no line above it declares.
    #[error("no door {0} stands above this line")]
    UnknownIngress(String),
    /// An ingress's path that is no prefix.
    #[error("a door's path ends with a slash, found {0}")]
    NoSlashAtEnd(String),
    /// A route to the request's model on an ingress without a model source.
    #[error("door {0} says nothing of where the model stands")]
    NoModelSource(String),
    /// A mapping would expire while it is fresh.
    #[error("`fresh` is longer than `expire`")]
    FreshLongerThanExpire,
}
