//! Reads settings, and converts them one by one into the types that a program needs.

use crate::{Setting, SettingsError};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The option that names the settings file.
const FILE_OPTION: &str = "config";
/// What it was called before.
const OLD_FILE_OPTION: &str = "boot";
const MAX_NAME_BYTES: usize = 64;
/// Stands for an address that is not valid, until the program ends for it.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// The settings of a program as they were given, and the errors found so far.
///
/// Each method that reads a setting returns some value in any case; a wrong setting leaves
/// an error behind, and [`SettingsReader::exit_if_invalid`] ends the program for it.
pub struct SettingsReader {
    program: &'static str,
    values: BTreeMap<String, String>,
    errors: Vec<SettingsError>,
}

impl SettingsReader {
    /// Reads the command line, and the file that it may name. Prints the help text or the
    /// version and ends the process where that was asked for.
    pub fn read(program: &'static str, about: &str, settings: &[Setting]) -> SettingsReader {
        let mut reader = SettingsReader {
            program,
            values: BTreeMap::new(),
            errors: Vec::new(),
        };
        let options = options(settings);
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let matches = match parse(&options, &arguments) {
            Ok(matches) => matches,
            Err(error) => {
                reader.errors.push(error);
                reader.exit_if_invalid();
                return reader;
            }
        };
        if matches.opt_present("help") {
            let usage = options.usage(&format!("{about}\n\nUsage: {program} [options]"));
            println!("{usage}\nEnds with 2 where a setting is wrong.");
            std::process::exit(0);
        }
        if matches.opt_present("version") {
            println!("{program} {}", env!("CARGO_PKG_VERSION"));
            std::process::exit(0);
        }
        for word in &matches.free {
            let error = SettingsError::UnknownArgument(word.clone());
            reader.errors.push(error);
        }
        reader.take_defaults(settings);
        if let Some(path) = matches.opt_str(FILE_OPTION) {
            if let Err(error) = reader.read_file(Path::new(&path), settings) {
                reader.errors.push(error);
            }
        }
        for setting in settings {
            if let Some(value) = matches.opt_str(setting.name) {
                reader.values.insert(setting.name.into(), value);
            }
        }
        reader
    }

    fn take_defaults(&mut self, settings: &[Setting]) {
        for setting in settings {
            if let Some(default) = setting.default {
                self.values.insert(setting.name.into(), default.into());
            }
        }
    }

    fn read_file(&mut self, path: &Path, settings: &[Setting]) -> Result<(), SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: path.into(),
            source,
        })?;
        let value = residency::parse_json(&text).map_err(|reason| SettingsError::Syntax {
            path: path.into(),
            reason: reason.to_string(),
        })?;
        let object = value
            .as_object()
            .ok_or_else(|| SettingsError::NoObject { path: path.into() })?;
        for (field, value) in object.iter() {
            match read_field(path, field, value, settings) {
                Ok(text) => drop(self.values.insert(field.clone(), text)),
                Err(error) => self.errors.push(error),
            }
        }
        Ok(())
    }

    /// Records that a setting has a value that it can't have.
    pub fn reject(&mut self, setting: &str, reason: impl Display) {
        self.errors.push(SettingsError::Invalid {
            setting: setting.into(),
            reason: reason.to_string(),
        });
    }

    /// A setting as it was given; empty if it is missing.
    pub fn text(&mut self, name: &str) -> String {
        match self.values.get(name) {
            Some(text) => text.clone(),
            None => {
                self.errors.push(SettingsError::Missing {
                    setting: name.into(),
                });
                String::new()
            }
        }
    }

    /// A name: short, and safe in logs and paths.
    pub fn name(&mut self, name: &str) -> String {
        let text = self.text(name);
        if self.values.contains_key(name) && !is_name(&text) {
            let reason = "a name is 1 to 64 letters, digits, dots, dashes, underscores";
            self.reject(name, reason);
        }
        text
    }

    /// An IP address and port.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        let text = self.text(name);
        match self.values.contains_key(name) {
            true => self.parse_address(name, &text),
            false => NO_ADDRESS,
        }
    }

    /// An IP address and port; `default` where the setting is empty.
    pub fn address_or(&mut self, name: &str, default: SocketAddr) -> SocketAddr {
        let text = self.text(name);
        match text.is_empty() {
            true => default,
            false => self.parse_address(name, &text),
        }
    }

    /// IP addresses and ports with commas between them.
    pub fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let text = self.text(name);
        text.split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .map(|item| self.parse_address(name, item))
            .collect()
    }

    fn parse_address(&mut self, name: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.reject(name, format!("{text:?} is no IP number and port"));
            NO_ADDRESS
        })
    }

    /// A whole number within these bounds.
    pub fn count(&mut self, name: &str, least: u64, most: u64) -> u64 {
        let text = self.text(name);
        match text.parse() {
            Ok(count) if (least..=most).contains(&count) => count,
            _ => {
                let reason = format!("{text:?} is no whole number from {least} to {most}");
                self.reject(name, reason);
                least
            }
        }
    }

    /// Ends the process with status 2 if there are errors, and prints all of them.
    pub fn exit_if_invalid(&self) {
        if self.errors.is_empty() {
            return;
        }
        for error in &self.errors {
            eprintln!("{}: {error}", self.program);
        }
        eprintln!("{}: try --help", self.program);
        std::process::exit(2);
    }
}

fn options(settings: &[Setting]) -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this help and end");
    options.optflag("V", "version", "print the version and end");
    options.optopt(
        "",
        FILE_OPTION,
        "a JSON file with these settings; flags go first",
        "FILE",
    );
    for setting in settings {
        let help = match setting.default {
            Some(default) if !default.is_empty() => {
                format!("{} (default {default})", setting.help)
            }
            _ => setting.help.to_string(),
        };
        options.optopt("", setting.name, &help, setting.hint);
    }
    options
}

fn parse(
    options: &getopts::Options,
    arguments: &[String],
) -> Result<getopts::Matches, SettingsError> {
    options.parse(arguments).map_err(|error| match error {
        getopts::Fail::UnrecognizedOption(name) if name == OLD_FILE_OPTION => {
            SettingsError::RenamedOption {
                old: OLD_FILE_OPTION,
                new: FILE_OPTION,
            }
        }
        error => error.into(),
    })
}

/// The value of a field of the settings file, as a flag would give it.
fn read_field(
    path: &Path,
    field: &str,
    value: &OwnedValue,
    settings: &[Setting],
) -> Result<String, SettingsError> {
    let path = || PathBuf::from(path);
    if !settings.iter().any(|setting| setting.name == field) {
        return Err(SettingsError::UnknownField {
            path: path(),
            field: field.into(),
        });
    }
    let text = value.as_str().map(String::from);
    let number = || value.as_u64().map(|number| number.to_string());
    text.or_else(number)
        .or_else(|| comma_separated(value))
        .ok_or_else(|| SettingsError::FieldType {
            path: path(),
            field: field.into(),
            seen: value.encode(),
        })
}

/// A list of texts as a flag gives it; `None` for anything else.
fn comma_separated(value: &OwnedValue) -> Option<String> {
    let items: Option<Vec<&str>> = value.as_array()?.iter().map(|item| item.as_str()).collect();
    items.map(|items| items.join(","))
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}
