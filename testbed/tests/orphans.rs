//! What `fleet`, `scenarios` and `replay` start ends with them, however they end.
//!
//! Each program inherits the write end of a pipe and hands it on to all that it
//! starts, so the pipe's end is the event that the last of them is gone. One test
//! alone stands here: a process started meanwhile would hold the pipe, too.

mod common;

use common::{Folder, DEPLOYMENT, PATIENCE};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use testbed::fleet::{program, wait_until};

const TURNOS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/deployments/turnos.json");

/// When the program is ended.
#[derive(Clone, Copy, Debug)]
enum TimedAction {
    /// Once this many processes run.
    Started(usize),
    /// Once it says so.
    Up,
}

/// The children of a process.
fn children_of(parent: u32) -> Vec<Pid> {
    let mut children = Vec::new();
    for entry in std::fs::read_dir("/proc").expect("there is /proc") {
        let entry = entry.expect("an entry reads");
        let Ok(number) = entry.file_name().to_string_lossy().parse::<i32>() else {
            continue;
        };
        // One that has ended meanwhile is no child.
        let Ok(stat) = std::fs::read_to_string(entry.path().join("stat")) else {
            continue;
        };
        let after_name = stat
            .rsplit(')')
            .next()
            .expect("rsplit gives one part at least");
        let ppid = after_name
            .split_whitespace()
            .nth(1)
            .expect("the parent is the fourth field");
        if ppid == parent.to_string() {
            children.push(Pid::from_raw(number));
        }
    }
    children
}

/// Starts a program that holds a pipe; its read end comes to an end with the last
/// process that holds it.
fn start(name: &str, args: &[&str], folder: &Path) -> (Child, File) {
    let (read_end, write_end) = nix::unistd::pipe().expect("a pipe");
    let mut command = Command::new(program(name).expect("it is built"));
    command
        .args(["--output-dir", &folder.display().to_string()])
        .args(args);
    let child = command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn();
    drop(write_end);
    (child.expect("it starts"), File::from(read_end))
}

async fn wait_for(moment: TimedAction, child: &mut Child) {
    match moment {
        TimedAction::Up => {
            let mut lines = BufReader::new(child.stdout.as_mut().expect("it is piped")).lines();
            let is_up = |line: std::io::Result<String>| line.expect("it reads").starts_with("up;");
            assert!(lines.any(is_up), "it ended before it was up");
        }
        TimedAction::Started(wanted) => {
            wait_until(PATIENCE, "the start of its processes", async || {
                let found = children_of(child.id()).len();
                anyhow::ensure!(found >= wanted, "{found} of {wanted}");
                Ok(())
            })
            .await
            .expect("it starts them");
        }
    }
}

/// Whether all holders of a pipe are gone, before patience runs out.
fn is_closed(mut read_end: File) -> bool {
    let (sender, closed) = mpsc::channel();
    std::thread::spawn(move || {
        let mut nothing = [0];
        let length = read_end.read(&mut nothing).expect("a pipe reads");
        // Nobody listens any more where patience ran out.
        let _ = sender.send(length);
    });
    closed.recv_timeout(PATIENCE) == Ok(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_left_behind() {
    let folder = Folder::new("orphans");
    std::fs::create_dir_all(&folder.0).expect("a folder");
    let small = folder.0.join("small.json");
    std::fs::write(&small, DEPLOYMENT).expect("written");
    let small = small.display().to_string();
    let day = folder.0.join("day");
    let made = Command::new(program("workload").expect("it is built"))
        .args(["--deployment", TURNOS, "--seconds", "30"])
        .stdout(File::create(&day).expect("a file"))
        .status();
    assert!(made.expect("it runs").success());
    let day = day.display().to_string();

    let fleet = ["--deployment", &small];
    let scenarios = ["--deployment", TURNOS, "--seeds", "1-1"];
    let replay = ["--deployment", TURNOS, "--workload", &day];
    let cases: [(&str, &[&str], TimedAction, Signal); 8] = [
        ("fleet", &fleet, TimedAction::Up, Signal::SIGTERM),
        ("fleet", &fleet, TimedAction::Up, Signal::SIGINT),
        ("fleet", &fleet, TimedAction::Up, Signal::SIGKILL),
        ("fleet", &fleet, TimedAction::Started(1), Signal::SIGTERM),
        (
            "scenarios",
            &scenarios,
            TimedAction::Started(6),
            Signal::SIGTERM,
        ),
        (
            "scenarios",
            &scenarios,
            TimedAction::Started(6),
            Signal::SIGKILL,
        ),
        ("replay", &replay, TimedAction::Started(6), Signal::SIGTERM),
        ("replay", &replay, TimedAction::Started(6), Signal::SIGKILL),
    ];
    for (at, (name, args, moment, signal)) in cases.into_iter().enumerate() {
        let case = format!("{name}, {moment:?}, {signal}");
        let (mut child, read_end) = start(name, args, &folder.0.join(at.to_string()));
        wait_for(moment, &mut child).await;
        let started = children_of(child.id());
        assert!(!started.is_empty(), "{case}: it has started nothing");
        kill(Pid::from_raw(child.id() as i32), signal).expect("it runs");
        let ended = child.wait().expect("it ends");
        let is_closed = is_closed(read_end);
        if !is_closed {
            // What this test started is ended by it.
            for left in &started {
                // It may have ended by itself.
                let _ = kill(*left, Signal::SIGKILL);
            }
        }
        assert!(is_closed, "{case}: what it started runs on");
        if name == "fleet" && signal != Signal::SIGKILL {
            assert!(ended.success(), "{case}: it ends in order: {ended}");
        }
    }
}
