//! What can be wrong with settings.

use std::path::PathBuf;

/// One thing that is wrong with a program's settings.
///
/// The program doesn't start: a retry helps only after the settings were changed.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The command line can't be parsed.
    #[error("{0}")]
    CommandLine(#[from] getopts::Fail),
    /// An argument that belongs to no option.
    #[error("{0}: nothing is known of this word")]
    UnknownArgument(String),
    /// An option that has another name now.
    #[error("--{old}: this option is called --{new}")]
    RenamedOption {
        /// The name that was given.
        old: &'static str,
        /// The name to use.
        new: &'static str,
    },
    /// The settings file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The settings file is no JSON.
    #[error("{}: {reason}", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and column.
        reason: String,
    },
    /// The settings file holds something else than an object.
    #[error("{}: an object should stand here", path.display())]
    NoObject {
        /// The file.
        path: PathBuf,
    },
    /// The settings file has a field that is no setting.
    #[error("{}: {field}: no such setting is known", path.display())]
    UnknownField {
        /// The file.
        path: PathBuf,
        /// The field.
        field: String,
    },
    /// A field of the settings file has a value of a wrong type.
    #[error(
        "{}: {field}: a text, a whole number or a list of texts should stand here, not {seen}",
        path.display()
    )]
    FieldType {
        /// The file.
        path: PathBuf,
        /// The field.
        field: String,
        /// The value that was found, as JSON.
        seen: String,
    },
    /// A setting has no value, and no default.
    #[error("{setting}: this setting is missing")]
    Missing {
        /// The setting.
        setting: String,
    },
    /// A setting has a value that it can't have.
    #[error("{setting}: {reason}")]
    Invalid {
        /// The setting.
        setting: String,
        /// What was expected and seen.
        reason: String,
    },
}
