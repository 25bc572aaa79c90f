//! Options by their former names are refused, and the new name is said.

mod common;

use common::Folder;
use std::process::Command;
use testbed::fleet::program;

/// Guards: an old command line neither runs with defaults nor fails without a hint.
#[test]
fn a_former_name_ends_with_2_and_the_new_name() {
    let folder = Folder::new("renamed");
    let output_dir = folder.0.display().to_string();
    let cases: [(&str, &[&str], &[&str]); 8] = [
        (
            "fleet",
            &["--shape", "x", "--folder", &output_dir],
            &[
                "--shape is called --deployment now",
                "--folder is called --output-dir now",
            ],
        ),
        (
            "fleet",
            &["--deployment", "x", "--folder=y"],
            &["--folder is called --output-dir now"],
        ),
        (
            "workload",
            &["--shape", "x"],
            &["--shape is called --deployment now"],
        ),
        (
            "replay",
            &["--day", "x", "--shape", "x", "--folder", &output_dir],
            &[
                "--day is called --workload now",
                "--shape is called --deployment now",
                "--folder is called --output-dir now",
            ],
        ),
        (
            "replay",
            &["--doors", "127.0.0.1:1", "--desks", "127.0.0.1:1"],
            &[
                "--doors is called --router-addresses now",
                "--desks is called --operator-api-addresses now",
            ],
        ),
        (
            "scenarios",
            &["--shape", "x", "--folder", &output_dir, "--seeds", "1-2"],
            &[
                "--shape is called --deployment now",
                "--folder is called --output-dir now",
            ],
        ),
        (
            "scale",
            &["--hollow", "5", "--spoken", "5", "--folder", &output_dir],
            &[
                "--hollow is called --simulated-routers now",
                "--spoken is called --tenants-per-router now",
                "--folder is called --output-dir now",
            ],
        ),
        (
            "engine",
            &["--pieces", "5", "--piece-ms", "1"],
            &[
                "--pieces is called --chunks now",
                "--piece-ms is called --chunk-ms now",
            ],
        ),
    ];
    for (name, args, wanted) in cases {
        let output = Command::new(program(name).expect("it is built"))
            .args(args)
            .output()
            .expect("it starts");
        let found = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{name} {args:?}: {found}");
        for wanted in wanted {
            assert!(found.contains(wanted), "{name} {args:?}: {found}");
        }
    }
    assert!(!folder.0.exists(), "nothing was started");
}
