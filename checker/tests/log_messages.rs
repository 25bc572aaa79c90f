//! The log messages that rules are judged by are those that the daemons log.

use checker::log_messages;
use std::path::Path;

/// All Rust sources below a folder, one after the other.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(folder).expect("a source folder can be read") {
        let path = entry.expect("an entry can be read").path();
        if path.is_dir() {
            text += &sources(&path);
        } else if path.extension().is_some_and(|end| end == "rs") {
            text += &std::fs::read_to_string(&path).expect("a source file can be read");
        }
    }
    text
}

/// Guards: a log message that is renamed in a daemon alone would leave its rules without
/// evidence, and they would find nothing.
#[test]
fn every_message_is_logged_by_its_daemons() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let cases: [(&str, &[&str]); 4] = [
        (log_messages::ADMITTED, &["router", "directory"]),
        (log_messages::BODY_RECEIVED, &["router", "directory"]),
        (log_messages::RETRIED, &["router", "dispatch"]),
        (log_messages::DISPATCHED, &["dispatch"]),
    ];
    for (message, packages) in cases {
        for package in packages {
            let sources = sources(&root.join(package).join("src"));
            assert!(
                sources.contains(&format!("{message:?}")),
                "{package} does not log {message:?}"
            );
        }
    }
}
