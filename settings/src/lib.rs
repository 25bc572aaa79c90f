//! A program's settings: a JSON file, flags over it, everything checked at once.

use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;

/// One setting. `hint` names its value in the help text.
pub struct Setting {
    pub name: &'static str,
    pub hint: &'static str,
    pub help: &'static str,
    pub default: Option<&'static str>,
}

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

/// Settings as given. Invariant: a value that did not check out has left a
/// complaint, and `finish` lets nobody past one.
pub struct SettingsReader {
    program: &'static str,
    values: BTreeMap<String, String>,
    complaints: Vec<String>,
}

impl SettingsReader {
    /// Reads the command line, and the file that it may name. Prints the help
    /// text and ends the process where it was asked for.
    pub fn read(program: &'static str, about: &str, settings: &[Setting]) -> SettingsReader {
        let mut options = getopts::Options::new();
        options.optflag("h", "help", "say this and end");
        options.optflag("V", "version", "say the version and end");
        options.optopt(
            "",
            "boot",
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
        let mut reader = SettingsReader {
            program,
            values: BTreeMap::new(),
            complaints: Vec::new(),
        };
        let matches = match options.parse(std::env::args().skip(1)) {
            Ok(matches) => matches,
            Err(error) => {
                reader.complaints.push(error.to_string());
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
            reader
                .complaints
                .push(format!("{word}: nothing is known of this word"));
        }
        for setting in settings {
            if let Some(default) = setting.default {
                reader.values.insert(setting.name.into(), default.into());
            }
        }
        if let Some(path) = matches.opt_str("boot") {
            reader.read_file(&path, settings);
        }
        for setting in settings {
            if let Some(value) = matches.opt_str(setting.name) {
                reader.values.insert(setting.name.into(), value);
            }
        }
        reader
    }

    fn read_file(&mut self, path: &str, settings: &[Setting]) {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => return self.complaints.push(format!("{path}: {error}")),
        };
        let value = match residency::parse_json(&text) {
            Ok(value) => value,
            Err(error) => return self.complaints.push(format!("{path}: {error}")),
        };
        let Some(object) = value.as_object() else {
            return self
                .complaints
                .push(format!("{path}: an object should stand here"));
        };
        for (name, value) in object.iter() {
            if !settings.iter().any(|setting| setting.name == name) {
                self.complaints
                    .push(format!("{path}: {name}: no such setting is known"));
                continue;
            }
            let text = match value {
                _ if value.as_str().is_some() => value.as_str().map(String::from),
                _ if value.as_u64().is_some() => value.as_u64().map(|count| count.to_string()),
                _ => value.as_array().and_then(|list| {
                    let items: Option<Vec<&str>> = list.iter().map(|item| item.as_str()).collect();
                    items.map(|items| items.join(","))
                }),
            };
            match text {
                Some(text) => {
                    self.values.insert(name.clone(), text);
                }
                None => self.complaints.push(format!(
                    "{path}: {name}: a text, a whole number or a list of texts should stand here"
                )),
            }
        }
    }

    pub fn reject(&mut self, name: &str, text: impl Display) {
        self.complaints.push(format!("{name}: {text}"));
    }

    pub fn text(&mut self, name: &str) -> String {
        match self.values.get(name) {
            Some(text) => text.clone(),
            None => {
                self.reject(name, "this setting is missing");
                String::new()
            }
        }
    }

    /// A name: short, and safe in logs and paths.
    pub fn name(&mut self, name: &str) -> String {
        let text = self.text(name);
        let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if self.values.contains_key(name)
            && (text.is_empty() || text.len() > 64 || !text.chars().all(fits))
        {
            self.reject(
                name,
                "a name is 1 to 64 letters, digits, dots, dashes, underscores",
            );
        }
        text
    }

    fn parsed(&mut self, name: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.reject(name, format!("{text:?} is no IP number and port"));
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    pub fn address(&mut self, name: &str) -> SocketAddr {
        let text = self.text(name);
        match self.values.contains_key(name) {
            true => self.parsed(name, &text),
            false => SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }

    /// An address that may be left out, for another to stand in.
    pub fn address_or(&mut self, name: &str, other: SocketAddr) -> SocketAddr {
        let text = self.text(name);
        match text.is_empty() {
            true => other,
            false => self.parsed(name, &text),
        }
    }

    pub fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let text = self.text(name);
        let items: Vec<String> = text
            .split(',')
            .map(|item| item.trim().to_string())
            .collect();
        items
            .iter()
            .filter(|item| !item.is_empty())
            .map(|item| self.parsed(name, item))
            .collect()
    }

    pub fn count(&mut self, name: &str, least: u64, most: u64) -> u64 {
        let text = self.text(name);
        match text.parse() {
            Ok(count) if (least..=most).contains(&count) => count,
            _ => {
                self.reject(
                    name,
                    format!("{text:?} is no whole number from {least} to {most}"),
                );
                least
            }
        }
    }

    /// Ends the process with 2 where anything was wrong, saying all of it.
    pub fn exit_if_invalid(&self) {
        if self.complaints.is_empty() {
            return;
        }
        for complaint in &self.complaints {
            eprintln!("{}: {complaint}", self.program);
        }
        eprintln!("{}: try --help", self.program);
        std::process::exit(2);
    }
}
