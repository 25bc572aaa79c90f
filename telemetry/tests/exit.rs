//! How a process ends by itself: the test starts itself as that process.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use telemetry::exit::{end, keep_reason_in, run_vital, ExitCause};

/// Tells the child how to end, and its folder.
const CASE: &str = "EXIT_TEST_CASE";
const FOLDER: &str = "EXIT_TEST_FOLDER";

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let name = format!("rushport-exit-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn reason_file(&self) -> PathBuf {
        self.0.join("last-exit")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

/// What the child process does; nothing in the test's own.
#[test]
fn child() {
    let Ok(case) = std::env::var(CASE) else {
        return;
    };
    telemetry::logging::init("child", "c-1", "warn").expect("the first logger");
    let folder = std::env::var(FOLDER).expect("a folder");
    keep_reason_in(Path::new(&folder));
    match case.as_str() {
        "settings" => end("child", ExitCause::WrongSettings, "a setting is wrong"),
        "failed" => end("child", ExitCause::Failed, "listening at 10.0.0.1:80"),
        "thread" => {
            let thread = std::thread::spawn(|| run_vital("child", "disk", || panic!("no disk")));
            drop(thread.join());
        }
        "well" => run_vital("child", "disk", || {}),
        other => panic!("there is no case {other}"),
    }
}

fn run_child(case: &str, folder: &Folder) -> Output {
    let program = std::env::current_exe().expect("the test's own program");
    Command::new(program)
        .args(["--exact", "child", "--nocapture"])
        .env(CASE, case)
        .env(FOLDER, &folder.0)
        .output()
        .expect("it starts")
}

/// Guards: a process that ends by itself says why, on stderr and in its folder.
#[test]
fn each_way_to_end_names_its_reason() {
    let cases = [
        ("settings", 2, "a setting is wrong"),
        ("failed", 1, "listening at 10.0.0.1:80"),
        ("thread", 3, "the disk thread panicked"),
    ];
    for (case, status, reason) in cases {
        let folder = Folder::new(case);
        let output = run_child(case, &folder);
        assert_eq!(output.status.code(), Some(status), "{case}");
        let stderr = String::from_utf8_lossy(&output.stderr);
        let expected = format!("child: {reason}");
        assert_eq!(stderr.lines().last(), Some(expected.as_str()), "{case}");
        let kept = std::fs::read_to_string(folder.reason_file()).expect("it is kept");
        assert!(kept.trim().ends_with(reason), "{case}: {kept}");
    }
}

/// Guards: the next process at the folder tells what ended the one before, once.
#[test]
fn the_next_process_tells_what_ended_the_one_before() {
    let folder = Folder::new("next");
    let is_told = |output: &Output| {
        let logs = [&output.stdout[..], &output.stderr[..]].concat();
        let text = String::from_utf8_lossy(&logs).into_owned();
        text.contains("the process before this one ended by itself") && text.contains("10.0.0.1:80")
    };
    assert!(!is_told(&run_child("failed", &folder)));
    let next = run_child("well", &folder);
    assert_eq!(next.status.code(), Some(0));
    assert!(is_told(&next));
    assert!(!folder.reason_file().exists(), "it is told once");
    assert!(!is_told(&run_child("well", &folder)));
}

/// Guards: a folder that can't be written to changes nothing of the end.
#[test]
fn without_a_folder_stderr_has_the_reason() {
    let folder = Folder::new("gone");
    std::fs::remove_dir_all(&folder.0).expect("it is there");
    let output = run_child("failed", &folder);
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        stderr.ends_with("child: listening at 10.0.0.1:80\n"),
        "{stderr}"
    );
}
