//! Maintenance windows, out of an iCalendar file.

use crate::arguments::{CommandSpec, UsageError, Words};
use crate::calendar;
use crate::client::OperatorApi;
use crate::proposal::{self, ProposalOptions};
use residency::{DrainTarget, MaintenanceWindow};
use simd_json::{json, OwnedValue};

/// The command's name.
pub const NAME: &str = "maintenance";

/// How the command is written.
pub const SPECS: &[CommandSpec] = &[CommandSpec::new(
    NAME,
    "FILE",
    "read maintenance windows from an iCalendar file, events named `evacuate ZONE` or \
     `drain ENGINE`, and put them in force in place of those that have not begun",
    &["days", "ahead", "check", "id", "base"],
)];

/// How far ahead windows are read, in days, where `--days` is not given.
const DEFAULT_DAYS: u64 = 30;
/// How long before its start a window drains, in seconds, without `--ahead`.
const DEFAULT_AHEAD_S: u64 = 300;

/// The command of this group.
pub struct MaintenanceCommand {
    path: String,
    days: u64,
    ahead_s: u64,
    /// Only prints the windows.
    is_check: bool,
    options: ProposalOptions,
}

impl MaintenanceCommand {
    /// Reads the command's words.
    ///
    /// # Errors
    /// [`UsageError::Value`].
    pub fn read(words: &Words) -> Result<MaintenanceCommand, UsageError> {
        let number = |option, default| {
            let given = words.parsed_option(option, "a number")?;
            Ok(given.unwrap_or(default))
        };
        Ok(MaintenanceCommand {
            path: words.required(0),
            days: number("days", DEFAULT_DAYS)?,
            ahead_s: number("ahead", DEFAULT_AHEAD_S)?,
            is_check: words.has_flag("check"),
            options: ProposalOptions::read(words)?,
        })
    }

    /// Prints the windows and, unless they are only checked, puts them in force.
    pub async fn run(self, api: &OperatorApi) -> anyhow::Result<()> {
        let windows = calendar::read(&self.path, self.days, self.ahead_s)?;
        for window in &windows {
            println!("{}", calendar::describe(window));
        }
        if self.is_check {
            return Ok(());
        }
        let windows: Vec<OwnedValue> = windows.iter().map(to_json).collect();
        let change = json!({ "do": "schedule", "windows": windows });
        proposal::submit(api, change, self.options).await
    }
}

/// A window as the operator API takes it.
fn to_json(window: &MaintenanceWindow) -> OwnedValue {
    let (field, name) = match &window.target {
        DrainTarget::Zone(zone) => ("zone", &zone.0),
        DrainTarget::Engine(engine) => ("engine", &engine.0),
    };
    json!({
        "id": window.id.0.clone(),
        field: name.clone(),
        "from": window.starts_at_s,
        "until": window.ends_at_s,
    })
}
