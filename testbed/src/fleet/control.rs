//! Starting, stopping and signalling the processes of a fleet.

use super::process::{is_stopped, program, Process, ProcessKind, OPERATOR_PORT, PEER_PORT};
use super::Fleet;
use crate::child_process;
use anyhow::{anyhow, bail};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

impl Fleet {
    fn command(&self, process: &Process) -> anyhow::Result<Command> {
        let address = process.address().to_string();
        let real = SocketAddr::new(process.ip, PEER_PORT).to_string();
        let desk = SocketAddr::new(process.ip, OPERATOR_PORT).to_string();
        let seeds: Vec<String> = self
            .of(ProcessKind::Directory)
            .iter()
            .take(3)
            .map(|seed| seed.address().to_string())
            .collect();
        let seeds = seeds.join(",");
        let node = [
            ["--name", &process.name],
            ["--region", &process.region],
            ["--zone", &process.zone],
            ["--address", &address],
            ["--desk", &desk],
            ["--seeds", &seeds],
        ];
        let mut command;
        match process.kind {
            ProcessKind::Directory => {
                command = Command::new(program("directory")?);
                let data = self.folder.join("data").join(&process.name);
                command.args(node.as_flattened());
                command.arg("--data").arg(data).args(&process.args);
            }
            ProcessKind::Router => {
                command = Command::new(program("router")?);
                command.args(&process.args);
                let door = process.client_address().to_string();
                command.args(node.as_flattened());
                command.args(["--door", &door]);
            }
            ProcessKind::Engine => {
                command = Command::new(program("engine")?);
                let [_, _, slots, pieces, piece_ms, prefill_ms] = &process.args[..] else {
                    bail!("an engine has six settings")
                };
                command.args([
                    "--name",
                    &process.name,
                    "--address",
                    &real,
                    "--slots",
                    slots,
                ]);
                command.args([
                    "--pieces",
                    pieces,
                    "--piece-ms",
                    piece_ms,
                    "--prefill-ms",
                    prefill_ms,
                ]);
                command.args(["--cold", if process.has_run { "1" } else { "0" }]);
                command
                    .arg("--journal")
                    .arg(self.journals().join(format!("{}.jsonl", process.name)));
            }
        }
        if process.kind != ProcessKind::Engine && real != address {
            command.args(["--listen", &real]);
        }
        let log = std::fs::File::options().create(true).append(true).open(
            self.folder
                .join("logs")
                .join(format!("{}.log", process.name)),
        )?;
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        Ok(command)
    }

    pub fn start(&mut self, name: &str) -> anyhow::Result<()> {
        let process = self
            .processes
            .get_mut(name)
            .ok_or(anyhow!("the fleet has no {name}"))?;
        if let Some(child) = &mut process.child {
            anyhow::ensure!(process.is_stopping, "{name} runs already");
            child.wait()?;
        }
        process.is_stopping = false;
        let child = child_process::spawn(self.command(self.get(name))?)?;
        let process = self.processes.get_mut(name).expect("looked up above");
        process.child = Some(child);
        process.has_run = true;
        Ok(())
    }

    pub fn start_all(&mut self, kind: ProcessKind) -> anyhow::Result<()> {
        let names: Vec<String> = self.of(kind).iter().map(|p| p.name.clone()).collect();
        for name in &names {
            self.start(name)?;
        }
        Ok(())
    }

    /// Ends a process at once, as a lost machine would.
    pub fn kill(&mut self, name: &str) {
        let process = self
            .processes
            .get_mut(name)
            .expect("a process of the fleet");
        if let Some(mut child) = process.child.take() {
            // It may have ended by itself.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends a signal. A process that is to freeze has done so when this returns:
    /// on a busy machine its threads may run on for a while.
    pub fn signal(&self, name: &str, signal: nix::sys::signal::Signal) -> anyhow::Result<()> {
        let child = self
            .get(name)
            .child
            .as_ref()
            .ok_or(anyhow!("{name} does not run"))?;
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(child.id() as i32), signal)?;
        if signal == nix::sys::signal::Signal::SIGSTOP {
            let begun = Instant::now();
            while !is_stopped(child.id())? {
                anyhow::ensure!(begun.elapsed() < Duration::from_secs(10), "{name} runs on");
                std::thread::yield_now();
            }
        }
        Ok(())
    }

    /// Asks a process to stop.
    pub fn request_stop(&mut self, name: &str) -> anyhow::Result<()> {
        self.signal(name, nix::sys::signal::Signal::SIGTERM)?;
        self.processes
            .get_mut(name)
            .expect("it was signalled")
            .is_stopping = true;
        Ok(())
    }

    /// Asks a process to stop, and waits for it.
    pub fn stop(&mut self, name: &str) -> anyhow::Result<std::process::ExitStatus> {
        self.request_stop(name)?;
        let process = self
            .processes
            .get_mut(name)
            .expect("a process of the fleet");
        Ok(process.child.take().expect("it was signalled").wait()?)
    }

    /// Loses a directory node's disk.
    pub fn delete_data(&self, name: &str) -> anyhow::Result<()> {
        Ok(std::fs::remove_dir_all(
            self.folder.join("data").join(name),
        )?)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            if let Some(mut child) = process.child.take() {
                drop(child.kill());
                drop(child.wait());
            }
        }
    }
}
