//! The disk thread: the only one that writes the log, the hard state and snapshots.

use super::command::{DriverCommand, WriteBatch, COMMAND_QUEUE_LEN};
use super::command_queue::CommandQueue;
use consensus::node::PersistedState;
use consensus::wal::{DiskStorage, WriteAheadLog};
use std::sync::mpsc::{sync_channel, Receiver};
use std::time::Duration;

/// How often a disk that failed is tried again.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Runs until the driver's thread has ended. All batches that wait are written and
/// synced as one. After a failure it is not known what is on disk: nothing is built on
/// it until what was not synced before is cut off and the rest is read back.
pub(super) fn run(
    mut wal: WriteAheadLog<DiskStorage>,
    mut batches: Receiver<WriteBatch>,
    commands: &CommandQueue,
) {
    while let Ok(WriteBatch {
        mut ticket,
        mut writes,
    }) = batches.recv()
    {
        while let Ok(later) = batches.try_recv() {
            ticket = later.ticket;
            writes.extend(later.writes);
        }
        let command = match wal.write(&writes) {
            Ok(()) => DriverCommand::WritesSynced(ticket),
            Err(error) => {
                log::error!("The disk failed; nothing more is written until it recovers: {error}");
                commands.send_from_disk(DriverCommand::DiskFailed);
                let persisted;
                (wal, persisted) = reopen(&mut wal, &batches);
                let sender;
                (sender, batches) = sync_channel(COMMAND_QUEUE_LEN);
                DriverCommand::DiskRecovered(persisted, sender)
            }
        };
        commands.send_from_disk(command);
    }
}

/// Waits until the log can be read back. Batches that were queued since the disk failed
/// are void and are dropped.
fn reopen(
    wal: &mut WriteAheadLog<DiskStorage>,
    batches: &Receiver<WriteBatch>,
) -> (WriteAheadLog<DiskStorage>, PersistedState) {
    loop {
        std::thread::sleep(DISK_RETRY_INTERVAL);
        while batches.try_recv().is_ok() {}
        match wal.reopen() {
            Ok(reopened) => return reopened,
            Err(error) => log::debug!("The disk has not recovered yet: {error:#}"),
        }
    }
}
