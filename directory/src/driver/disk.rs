//! The thread that owns the disk.

use super::thread::COMMAND_QUEUE_LEN;
use super::DriverCommand;
use consensus::node::Write;
use consensus::wal::{DiskStorage, WriteAheadLog};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::Duration;

/// How often a disk that failed is tried again.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The disk's thread: what has piled up is written and synced as one. After a
/// failure what is on disk is not known; nothing is built on it until all that
/// was not synced before is cut off, and the rest read back.
pub(super) fn run_disk_thread(
    mut segments: WriteAheadLog<DiskStorage>,
    mut writes: Receiver<(u64, Vec<Write>)>,
    commands: &SyncSender<DriverCommand>,
) {
    while let Ok((mut ticket, mut batch)) = writes.recv() {
        while let Ok((later, more)) = writes.try_recv() {
            ticket = later;
            batch.extend(more);
        }
        let command = match segments.write(&batch) {
            Ok(()) => DriverCommand::WritesSynced(ticket),
            Err(error) => {
                log::error!("the disk failed, nothing more is written: {error}");
                if commands.send(DriverCommand::DiskFailed).is_err() {
                    return;
                }
                let (kept, disk);
                (segments, kept) = loop {
                    std::thread::sleep(DISK_RETRY_INTERVAL);
                    // What the node has said since its disk failed is void.
                    while writes.try_recv().is_ok() {}
                    match segments.reopen() {
                        Ok(reopened) => break reopened,
                        Err(error) => log::debug!("the disk is not back yet: {error:#}"),
                    }
                };
                (disk, writes) = sync_channel(COMMAND_QUEUE_LEN);
                DriverCommand::DiskRecovered(kept, disk)
            }
        };
        if commands.send(command).is_err() {
            return;
        }
    }
}
