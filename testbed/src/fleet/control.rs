//! Starting, stopping and signalling the processes of a fleet.

use super::process::{is_frozen, OPERATOR_PORT, PEER_PORT};
use super::{program, EngineSpec, Fleet, FleetError, Process, ProcessKind};
use crate::child_process;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::net::SocketAddr;
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// How long the threads of a process that gets `SIGSTOP` may run on.
const FREEZE_TIMEOUT: Duration = Duration::from_secs(10);
/// Directory nodes that the others are told of.
const SEED_COUNT: usize = 3;

impl Fleet {
    fn command(&self, process: &Process) -> Result<Command, FleetError> {
        let mut command = match &process.engine {
            Some(engine) => self.engine_command(process, engine)?,
            None => self.node_command(process)?,
        };
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_path(&process.name))?;
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        Ok(command)
    }

    fn engine_command(
        &self,
        process: &Process,
        engine: &EngineSpec,
    ) -> Result<Command, FleetError> {
        let mut command = Command::new(program("engine")?);
        let listen = SocketAddr::new(process.ip, PEER_PORT);
        let journal = self.journals().join(format!("{}.jsonl", process.name));
        command
            .args(["--name", &process.name])
            .args(["--address", &listen.to_string()])
            .args(["--slots", &engine.slots.to_string()])
            .args(["--chunks", &engine.chunks.to_string()])
            .args(["--chunk-ms", &engine.chunk_ms.to_string()])
            .args(["--prefill-ms", &engine.prefill_ms.to_string()])
            .args(["--cold", if process.has_run { "1" } else { "0" }])
            .arg("--journal")
            .arg(journal);
        Ok(command)
    }

    fn node_command(&self, process: &Process) -> Result<Command, FleetError> {
        let advertised = process.address().to_string();
        let listen = SocketAddr::new(process.ip, PEER_PORT).to_string();
        let operator_address = SocketAddr::new(process.ip, OPERATOR_PORT).to_string();
        let seeds: Vec<String> = self
            .of(ProcessKind::Directory)
            .iter()
            .take(SEED_COUNT)
            .map(|seed| seed.address().to_string())
            .collect();
        let mut command = match process.kind {
            ProcessKind::Directory => Command::new(program("directory")?),
            _ => Command::new(program("router")?),
        };
        command
            .args(["--name", &process.name])
            .args(["--region", &process.region])
            .args(["--zone", &process.zone])
            .args(["--address", &advertised])
            .args(["--desk", &operator_address])
            .args(["--seeds", &seeds.join(",")])
            .args(&process.args);
        match process.kind {
            ProcessKind::Directory => {
                let data = self.output_dir.join("data").join(&process.name);
                command.arg("--data").arg(data);
            }
            _ => {
                let client_address = process.client_address().to_string();
                command.args(["--door", &client_address]);
            }
        }
        if listen != advertised {
            command.args(["--listen", &listen]);
        }
        Ok(command)
    }

    /// Starts a process. One that was asked to stop is waited for first.
    ///
    /// # Errors
    ///
    /// Where the fleet has no such process, it runs already, or it can't be started.
    pub fn start(&mut self, name: &str) -> Result<(), FleetError> {
        let process = self.process_mut(name)?;
        if let Some(child) = &mut process.child {
            if !process.is_stopping {
                return Err(FleetError::AlreadyRunning {
                    name: name.to_string(),
                });
            }
            child.wait()?;
        }
        process.is_stopping = false;
        let child = child_process::spawn(self.command(self.get(name))?)?;
        let process = self.process_mut(name)?;
        process.child = Some(child);
        process.has_run = true;
        Ok(())
    }

    /// Starts all processes of a kind.
    ///
    /// # Errors
    ///
    /// As [`Fleet::start`].
    pub fn start_all(&mut self, kind: ProcessKind) -> Result<(), FleetError> {
        let names: Vec<String> = self.of(kind).iter().map(|p| p.name.clone()).collect();
        names.iter().try_for_each(|name| self.start(name))
    }

    /// Ends a process at once, as a lost machine would.
    ///
    /// # Panics
    ///
    /// Where the fleet has no such process.
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

    /// Sends a signal. A process that is to freeze has done so when this returns: on a busy
    /// machine its threads may run on for a while.
    ///
    /// # Errors
    ///
    /// Where the process does not run, or does not freeze in time.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<(), FleetError> {
        let child = self.get(name).child.as_ref();
        let child = child.ok_or_else(|| FleetError::NotRunning {
            name: name.to_string(),
        })?;
        kill(Pid::from_raw(child.id() as i32), signal)?;
        if signal == Signal::SIGSTOP {
            let begun = Instant::now();
            while !is_frozen(child.id())? {
                if begun.elapsed() >= FREEZE_TIMEOUT {
                    return Err(FleetError::NotFrozen {
                        name: name.to_string(),
                    });
                }
                std::thread::yield_now();
            }
        }
        Ok(())
    }

    /// Asks a process to stop, and returns at once.
    ///
    /// # Errors
    ///
    /// Where it does not run.
    pub fn request_stop(&mut self, name: &str) -> Result<(), FleetError> {
        self.signal(name, Signal::SIGTERM)?;
        self.process_mut(name)?.is_stopping = true;
        Ok(())
    }

    /// Asks a process to stop, and waits for its end.
    ///
    /// # Errors
    ///
    /// Where it does not run.
    pub fn stop(&mut self, name: &str) -> Result<ExitStatus, FleetError> {
        self.request_stop(name)?;
        let child = self.process_mut(name)?.child.take();
        Ok(child.expect("it was signalled").wait()?)
    }

    /// Deletes a directory node's data, as if its disk were lost.
    ///
    /// # Errors
    ///
    /// Where there is none.
    pub fn delete_data(&self, name: &str) -> Result<(), FleetError> {
        let data = self.output_dir.join("data").join(name);
        Ok(std::fs::remove_dir_all(data)?)
    }

    fn process_mut(&mut self, name: &str) -> Result<&mut Process, FleetError> {
        let process = self.processes.get_mut(name);
        process.ok_or_else(|| FleetError::UnknownName {
            name: name.to_string(),
        })
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
