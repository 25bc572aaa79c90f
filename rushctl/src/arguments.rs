//! The command line: a command, its words and its options, checked before anything is
//! sent.

use crate::commands::{self, Command};
use crate::renamed;
use getopts::{Fail, Matches, Options};
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// What the command line asks for.
pub enum Parsed {
    /// A command to run.
    Run(Arguments),
    /// A text to print: help or version.
    Print(String),
}

/// A command line that was checked.
pub struct Arguments {
    /// Addresses of operator APIs, asked in this order.
    pub operator_api: Vec<SocketAddr>,
    /// The command.
    pub command: Command,
}

/// How a command is written.
pub struct CommandSpec {
    /// Its name.
    pub name: &'static str,
    /// Its words, separated by spaces; those in brackets may be left out.
    pub words: &'static str,
    /// What it does, for the help text.
    pub about: &'static str,
    /// The options that it takes.
    pub options: &'static [&'static str],
}

impl CommandSpec {
    /// A command that is written so.
    pub const fn new(
        name: &'static str,
        words: &'static str,
        about: &'static str,
        options: &'static [&'static str],
    ) -> CommandSpec {
        CommandSpec {
            name,
            words,
            about,
            options,
        }
    }

    fn takes(&self, words: usize) -> bool {
        let all = self.words.split_whitespace();
        let required = all.clone().filter(|word| !word.starts_with('['));
        (required.count()..=all.count()).contains(&words)
    }
}

/// Why a command line is refused. Nothing was sent.
#[derive(Debug, Error)]
pub enum UsageError {
    /// There is no command.
    #[error("a command is missing")]
    MissingCommand,
    /// There is no such command.
    #[error("{0}: no such command is known")]
    UnknownCommand(String),
    /// The command has another name now.
    #[error("{former}: this command is called `{name}` now")]
    RenamedCommand {
        /// As it was written.
        former: String,
        /// Today's name.
        name: &'static str,
    },
    /// The option has another name now.
    #[error("--{former}: this option is called `--{name}` now")]
    RenamedOption {
        /// As it was written.
        former: String,
        /// Today's name.
        name: &'static str,
    },
    /// The environment variable has another name now.
    #[error("{former}: this variable is called {name} now")]
    RenamedVariable {
        /// As it is set.
        former: &'static str,
        /// Today's name.
        name: &'static str,
    },
    /// An option is not known, or its value is missing.
    #[error(transparent)]
    Options(Fail),
    /// The command takes other words.
    #[error("usage: rushctl {name} {words}")]
    Words {
        /// The command.
        name: &'static str,
        /// What it takes.
        words: &'static str,
    },
    /// The command does not take this option.
    #[error("{command} knows no --{option}")]
    OptionNotTaken {
        /// The command.
        command: &'static str,
        /// The option.
        option: &'static str,
    },
    /// A word or an option's value is not what belongs there.
    #[error("{name} is {expected}")]
    Value {
        /// The word or option.
        name: String,
        /// What belongs there.
        expected: &'static str,
    },
    /// An address of an operator API is none.
    #[error("{0}: no IP number and port")]
    Address(String),
}

/// The words and options of one command, read into their types.
pub struct Words<'a> {
    words: &'a [String],
    matches: &'a Matches,
}

impl Words<'_> {
    /// A word that the command requires. Invariant: the number of words was checked.
    pub fn required(&self, position: usize) -> String {
        self.words[position].clone()
    }

    /// A word that may be left out.
    pub fn optional(&self, position: usize) -> Option<String> {
        self.words.get(position).cloned()
    }

    /// A word as a number or the like.
    ///
    /// # Errors
    /// [`UsageError::Value`] with `name` and `expected` where it is none.
    pub fn parsed<T: FromStr>(
        &self,
        position: usize,
        name: &str,
        expected: &'static str,
    ) -> Result<T, UsageError> {
        let parsed = self.words[position].parse();
        parsed.map_err(|_| UsageError::Value {
            name: name.into(),
            expected,
        })
    }

    /// Whether a flag was given.
    pub fn has_flag(&self, option: &str) -> bool {
        self.matches.opt_present(option)
    }

    /// The value of an option.
    pub fn option(&self, option: &str) -> Option<String> {
        self.matches.opt_str(option)
    }

    /// The value of an option as a number or the like.
    ///
    /// # Errors
    /// [`UsageError::Value`] with `expected` where it is none.
    pub fn parsed_option<T: FromStr>(
        &self,
        option: &str,
        expected: &'static str,
    ) -> Result<Option<T>, UsageError> {
        let Some(text) = self.option(option) else {
            return Ok(None);
        };
        let parsed = text.parse();
        parsed.map(Some).map_err(|_| UsageError::Value {
            name: format!("--{option}"),
            expected,
        })
    }
}

/// All options but `--help`, `--version` and `--operator-api`, which any command takes.
const COMMAND_OPTIONS: &[&str] = &[
    "id", "base", "wait", "rules", "partial", "json", "days", "ahead", "check",
];

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "say this, or what a command does, and end");
    options.optflag("V", "version", "say the version and end");
    options.optopt(
        "",
        "operator-api",
        "operator APIs of directory nodes, asked in turn (default: RUSHPORT_OPERATOR_API)",
        "IP:PORT,...",
    );
    options.optopt(
        "",
        "id",
        "proposal id; a repeat with the same id is applied once",
        "ID",
    );
    options.optopt("", "base", "the epoch that the change is based on", "EPOCH");
    options.optopt(
        "",
        "wait",
        "wait until it is in force everywhere, this long at most",
        "SECONDS",
    );
    options.optopt(
        "",
        "rules",
        "a file of routing rules, in place of the topology's own",
        "FILE",
    );
    options.optflag("", "partial", "the file holds only what changes");
    options.optopt(
        "",
        "days",
        "how far ahead maintenance windows are read (default 30)",
        "COUNT",
    );
    options.optopt(
        "",
        "ahead",
        "how long before its start a maintenance window drains (default 300)",
        "SECONDS",
    );
    options.optflag("", "check", "only say what would be done");
    options.optflag("", "json", "print the whole response as JSON");
    options
}

fn usage() -> String {
    let mut text = String::from("rushctl: rushport's command line\n\nCommands:\n");
    for command in commands::specs() {
        let words = format!("{} {}", command.name, command.words);
        text.push_str(&format!("  {words:<44} {}\n", command.about));
    }
    text.push_str(
        "\nEnds with 0 where all is done, 1 where it is not, 2 where the command line is wrong.",
    );
    options().usage(&text)
}

fn command_help(spec: &CommandSpec) -> String {
    let mut text = format!("rushctl {} {}\n\n{}", spec.name, spec.words, spec.about);
    for option in spec.options {
        text.push_str(&format!("\n  --{option}"));
    }
    text
}

fn spec(name: &str) -> Option<&'static CommandSpec> {
    commands::specs().find(|spec| spec.name == name)
}

/// Reads the command line, and the environment for the addresses.
///
/// # Errors
/// [`UsageError`] for the first thing that is wrong.
pub fn parse(words: impl Iterator<Item = String>) -> Result<Parsed, UsageError> {
    let matches = options().parse(words).map_err(|fail| match &fail {
        Fail::UnrecognizedOption(former) => match renamed::option(former) {
            Some(name) => UsageError::RenamedOption {
                former: former.clone(),
                name,
            },
            None => UsageError::Options(fail),
        },
        _ => UsageError::Options(fail),
    })?;
    if matches.opt_present("version") {
        let text = format!("rushctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(Parsed::Print(text));
    }
    let name = matches.free.first();
    if matches.opt_present("help") {
        let spec = name.and_then(|name| spec(name));
        return Ok(Parsed::Print(spec.map_or_else(usage, command_help)));
    }
    let name = name.ok_or(UsageError::MissingCommand)?;
    let spec = spec(name).ok_or_else(|| match renamed::command(name) {
        Some(new_name) => UsageError::RenamedCommand {
            former: name.clone(),
            name: new_name,
        },
        None => UsageError::UnknownCommand(name.clone()),
    })?;
    let words = Words {
        words: &matches.free[1..],
        matches: &matches,
    };
    check(spec, &words)?;
    Ok(Parsed::Run(Arguments {
        operator_api: operator_api(matches.opt_str("operator-api"))?,
        command: Command::read(spec.name, &words)?,
    }))
}

fn check(spec: &'static CommandSpec, words: &Words) -> Result<(), UsageError> {
    if !spec.takes(words.words.len()) {
        return Err(UsageError::Words {
            name: spec.name,
            words: spec.words,
        });
    }
    let mut given = COMMAND_OPTIONS
        .iter()
        .filter(|option| words.matches.opt_present(option));
    match given.find(|option| !spec.options.contains(option)) {
        Some(option) => Err(UsageError::OptionNotTaken {
            command: spec.name,
            option,
        }),
        None => Ok(()),
    }
}

/// The addresses of the option, or else of the environment.
fn operator_api(option: Option<String>) -> Result<Vec<SocketAddr>, UsageError> {
    let variable = |name| std::env::var(name).ok();
    let addresses = option.or_else(|| variable(renamed::ADDRESSES_VARIABLE));
    if addresses.is_none() && variable(renamed::FORMER_ADDRESSES_VARIABLE).is_some() {
        return Err(UsageError::RenamedVariable {
            former: renamed::FORMER_ADDRESSES_VARIABLE,
            name: renamed::ADDRESSES_VARIABLE,
        });
    }
    let addresses = addresses.unwrap_or_default();
    let addresses = addresses.split(',').filter(|text| !text.is_empty());
    addresses
        .map(|text| text.parse().map_err(|_| UsageError::Address(text.into())))
        .collect()
}
