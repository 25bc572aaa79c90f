//! Child processes that never outlive this process, however it ends: the kernel kills them
//! (`PR_SET_PDEATHSIG`). The programs that are started need nothing for it.

use nix::errno::Errno;
use nix::sys::prctl::set_pdeathsig;
use nix::sys::signal::Signal;
use nix::unistd::{getpid, getppid, Pid};
use std::io;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command};
use std::sync::{mpsc, OnceLock};

/// A command to start, and where the result goes.
struct Request {
    command: Command,
    reply: mpsc::Sender<io::Result<Child>>,
}

/// Starts a process that is killed when this one ends.
///
/// # Errors
///
/// Where it can't be started.
pub fn spawn(command: Command) -> io::Result<Child> {
    let (reply, result) = mpsc::channel();
    let gone = |_| io::Error::other("the thread that starts processes has ended");
    spawner()
        .send(Request { command, reply })
        .map_err(|_| gone(mpsc::RecvError))?;
    result.recv().map_err(gone)?
}

/// The thread that starts all processes. The kernel ties the signal to the thread
/// that forked, so this one lives as long as the process does.
fn spawner() -> &'static mpsc::Sender<Request> {
    static SPAWNER: OnceLock<mpsc::Sender<Request>> = OnceLock::new();
    SPAWNER.get_or_init(|| {
        let (sender, requests) = mpsc::channel::<Request>();
        std::thread::spawn(move || {
            for Request { command, reply } in requests {
                // Whoever asked may be gone; the child then ends with this process.
                drop(reply.send(spawn_here(command)));
            }
        });
        sender
    })
}

fn spawn_here(mut command: Command) -> io::Result<Child> {
    let parent = getpid();
    // Safety: between fork and exec two system calls are made and nothing is allocated.
    unsafe {
        command.pre_exec(move || die_with(parent));
    }
    command.spawn()
}

/// Called in the child: asks for the signal, and fails if the parent has ended before.
fn die_with(parent: Pid) -> io::Result<()> {
    set_pdeathsig(Signal::SIGKILL)?;
    match getppid() == parent {
        true => Ok(()),
        false => Err(Errno::ESRCH.into()),
    }
}
