//! The queue to the consensus thread: bounded, and what keeps the cluster together comes
//! before requests.

use super::command::{DriverCommand, COMMAND_QUEUE_LEN};
use crate::prioritized_queue::{PrioritizedQueue, Priority, Queued};
use parking_lot::{Condvar, Mutex};
use std::sync::Arc;
use std::time::Duration;
use telemetry::queues::{self, Queue};
use transport::now;

/// Both ends of the queue. Commands that are queued when its owner ends are lost.
#[derive(Clone)]
pub(super) struct CommandQueue {
    shared: Arc<Shared>,
}

struct Shared {
    queue: Mutex<PrioritizedQueue<DriverCommand>>,
    command_arrived: Condvar,
}

impl CommandQueue {
    /// An empty queue.
    pub(super) fn new() -> CommandQueue {
        CommandQueue {
            shared: Arc::new(Shared {
                queue: Mutex::new(PrioritizedQueue::new(COMMAND_QUEUE_LEN)),
                command_arrived: Condvar::new(),
            }),
        }
    }

    /// Queues a command; false where there are too many of its priority already.
    pub(super) fn try_send(&self, command: DriverCommand) -> bool {
        let kind = command.queue();
        let priority = command.priority();
        let pushed = self.shared.queue.lock().push(priority, command, now());
        match pushed {
            Ok(()) => drop(self.shared.command_arrived.notify_one()),
            Err(_) => queues::record_dropped(kind),
        }
        pushed.is_ok()
    }

    /// Queues a command of the disk thread, however many wait. At most one of them waits for
    /// each write batch, and those are bounded.
    pub(super) fn send_from_disk(&self, command: DriverCommand) {
        let mut queue = self.shared.queue.lock();
        queue.push_unbounded(command.priority(), command, now());
        drop(queue);
        self.shared.command_arrived.notify_one();
    }

    /// The next command; waits for one until the time-out.
    pub(super) fn receive(&self, timeout: Duration) -> Option<Queued<DriverCommand>> {
        let mut queue = self.shared.queue.lock();
        if queue.is_empty() {
            let arrived = &self.shared.command_arrived;
            arrived.wait_while_for(&mut queue, |queue| queue.is_empty(), timeout);
        }
        queue.pop()
    }

    /// How many commands wait.
    pub(super) fn len(&self) -> usize {
        self.shared.queue.lock().len()
    }
}

impl DriverCommand {
    /// By which queue its wait is measured.
    pub(super) fn queue(&self) -> Queue {
        match self {
            DriverCommand::Received(_)
            | DriverCommand::WritesSynced(_)
            | DriverCommand::DiskFailed
            | DriverCommand::DiskRecovered(..) => Queue::ConsensusCommands,
            DriverCommand::PeerRequest(_) => Queue::LeaderRequestCommands,
            DriverCommand::Request(..) => Queue::LocalRequestCommands,
            DriverCommand::PeerResponse { .. }
            | DriverCommand::Bootstrap(_)
            | DriverCommand::Subscribe(_)
            | DriverCommand::TransferLeadership
            | DriverCommand::LogReport(_)
            | DriverCommand::MembershipReport(_) => Queue::OtherCommands,
        }
    }

    /// Responses keep their order to the consensus messages that came before them.
    fn priority(&self) -> Priority {
        match self {
            DriverCommand::PeerResponse { .. } => Priority::High,
            command if command.queue() == Queue::ConsensusCommands => Priority::High,
            _ => Priority::Normal,
        }
    }
}
