//! Refuses command-line options by the names that they had before.

/// An option that has another name now, both without dashes.
pub struct RenamedOption {
    /// The name that is refused.
    pub old: &'static str,
    /// The name to use.
    pub new: &'static str,
}

/// The old names of the options that the testbed's programs share.
pub const DEPLOYMENT: RenamedOption = RenamedOption {
    old: "shape",
    new: "deployment",
};
/// As [`DEPLOYMENT`].
pub const OUTPUT_DIR: RenamedOption = RenamedOption {
    old: "folder",
    new: "output-dir",
};

/// What to say of each argument that is an option's old name.
pub fn complaints(
    arguments: impl Iterator<Item = String>,
    renamed: &[RenamedOption],
) -> Vec<String> {
    let complaint = |argument: String| {
        let option = argument.strip_prefix("--")?;
        let name = option.split('=').next().unwrap_or(option);
        let renamed = renamed.iter().find(|renamed| renamed.old == name)?;
        Some(format!("--{} is called --{} now", renamed.old, renamed.new))
    };
    arguments.filter_map(complaint).collect()
}

/// Ends the process with exit code 2 if its command line has an option's old name, and
/// says the new one.
pub fn refuse(program: &str, renamed: &[RenamedOption]) {
    let complaints = complaints(std::env::args().skip(1), renamed);
    if complaints.is_empty() {
        return;
    }
    for complaint in complaints {
        eprintln!("{program}: {complaint}");
    }
    std::process::exit(2);
}
