//! Reading a program's settings: flags on the command line over a JSON file over
//! defaults. All errors are collected and reported at once.

mod error;
mod reader;

pub use error::SettingsError;
pub use reader::SettingsReader;

/// One setting: a flag on the command line, and a field of the settings file.
pub struct Setting {
    /// Its name, without dashes before it.
    pub name: &'static str,
    /// What stands for its value in the help text.
    pub hint: &'static str,
    /// Its line in the help text.
    pub help: &'static str,
    /// Its value where none is given. A setting without a default is required.
    pub default: Option<&'static str>,
}

/// A setting, in one line.
pub const fn setting(
    name: &'static str,
    hint: &'static str,
    help: &'static str,
    default: Option<&'static str>,
) -> Setting {
    Setting {
        name,
        hint,
        help,
        default,
    }
}
