//! A child process is tied to this process, not to the thread that asked for it.

use std::io::{Read, Write};
use std::process::{Command, Stdio};
use testbed::child_process;

#[test]
fn a_child_outlives_the_thread_that_started_it() {
    let start = || {
        let mut command = Command::new("cat");
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        child_process::spawn(command).expect("it starts")
    };
    let mut child = std::thread::spawn(start)
        .join()
        .expect("the thread ends well");
    let mut stdin = child.stdin.take().expect("it is piped");
    stdin.write_all(b"still here").expect("the child takes it");
    drop(stdin);
    let mut text = String::new();
    child
        .stdout
        .take()
        .expect("it is piped")
        .read_to_string(&mut text)
        .expect("it reads");
    assert_eq!(text, "still here");
    assert!(child.wait().expect("it ends").success());
}

#[test]
fn a_program_that_does_not_exist_is_an_error() {
    let error = child_process::spawn(Command::new("/nowhere/at-all")).expect_err("it can't start");
    assert_eq!(error.kind(), std::io::ErrorKind::NotFound);
}
