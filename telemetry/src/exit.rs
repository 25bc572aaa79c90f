//! How a process ends by itself: with its reason as its last line on stderr, and in a file
//! where it has a folder that outlives it. The next process at that folder logs the reason
//! of the one before.

use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// Why a process ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// An argument or a setting is wrong; a restart does not help.
    WrongSettings,
    /// It could not start, or failed.
    Failed,
    /// A thread that it can't go on without has ended.
    ThreadEnded,
}

impl ExitCause {
    /// The process's exit status.
    pub fn status(self) -> i32 {
        match self {
            ExitCause::Failed => 1,
            ExitCause::WrongSettings => 2,
            ExitCause::ThreadEnded => 3,
        }
    }
}

/// The file in the folder.
const FILE_NAME: &str = "last-exit";

static REASON_FILE: OnceLock<PathBuf> = OnceLock::new();

/// From now on a reason is kept in this folder, if it exists by then. Logs the reason that
/// an earlier process left there, and removes it.
pub fn keep_reason_in(folder: &Path) {
    let file = folder.join(FILE_NAME);
    if let Ok(reason) = std::fs::read_to_string(&file) {
        log::warn!(
            "the process before this one ended by itself: {}",
            reason.trim()
        );
        drop(std::fs::remove_file(&file));
    }
    // A second folder changes nothing: a process has one.
    drop(REASON_FILE.set(file));
}

/// Ends the process, with the reason on stderr and in the folder's file. A reason may have
/// several lines.
pub fn end(program: &str, cause: ExitCause, reason: &str) -> ! {
    if let Some(file) = REASON_FILE.get() {
        // Without the file stderr has it all the same.
        drop(write_reason(file, cause, reason));
    }
    for line in reason.lines() {
        eprintln!("{program}: {line}");
    }
    std::process::exit(cause.status())
}

fn write_reason(file: &Path, cause: ExitCause, reason: &str) -> std::io::Result<()> {
    let mut file = std::fs::File::create(file)?;
    writeln!(file, "{cause:?}: {reason}")?;
    file.sync_all()
}

/// Runs the work of a thread that its process can't go on without: if it panics, the
/// process ends. The panic's own message is on stderr before that.
pub fn run_vital(program: &str, thread: &str, work: impl FnOnce()) {
    if catch_unwind(AssertUnwindSafe(work)).is_err() {
        let reason = format!("the {thread} thread panicked");
        end(program, ExitCause::ThreadEnded, &reason);
    }
}
