//! `rushctl`, the operators' command line. It sends requests to the operator API of any
//! directory node and prints the response.
//!
//! | module | its job |
//! |---|---|
//! | `arguments` | the command line: which command with which options |
//! | `renamed` | old names of commands, options and variables, which are refused |
//! | `client` | HTTP to the operator API, one address after the other |
//! | `commands` | a module for each group of commands: what it takes, what it sends |
//! | `proposal` | sending a change, and waiting until it is in force |
//! | `status` | the cluster's status as text |
//! | `calendar` | maintenance windows out of an iCalendar file |
//!
//! Ends with 0 where all is done, 1 where it is not, 2 where the command line is wrong.

mod arguments;
mod calendar;
mod client;
mod commands;
mod proposal;
mod renamed;
mod status;

use arguments::{Arguments, Parsed};
use client::OperatorApi;

/// All is not done.
const EXIT_FAILED: i32 = 1;
/// The command line is wrong; nothing was sent.
const EXIT_USAGE: i32 = 2;

fn run(arguments: Arguments) -> anyhow::Result<()> {
    let api = OperatorApi::new(arguments.operator_api);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(arguments.command.run(&api))
}

fn main() {
    let arguments = match arguments::parse(std::env::args().skip(1)) {
        Ok(Parsed::Run(arguments)) => arguments,
        Ok(Parsed::Print(text)) => return println!("{text}"),
        Err(error) => {
            eprintln!("rushctl: {error}\nrushctl: try --help");
            std::process::exit(EXIT_USAGE);
        }
    };
    if let Err(error) = run(arguments) {
        eprintln!("rushctl: {error:#}");
        std::process::exit(EXIT_FAILED);
    }
}
