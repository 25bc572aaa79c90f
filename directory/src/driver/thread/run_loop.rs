//! The loop of the consensus thread: one command, or one tick, after another.

use super::driver_thread::DriverThread;
use super::request_table::{ConfirmedRead, Waiter};
use crate::driver::command::{BootstrapError, DriverCommand, Subscription, WriteBatch};
use crate::driver::command_queue::CommandQueue;
use crate::prioritized_queue::Queued;
use consensus::node::{Input, Node, PersistedState, SnapshotPolicy};
use protocol::{EncodedFrame, Frame, PeerResponse};
use residency::State;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::time::Duration;
use transport::now;

/// Commands that are handled before the node ticks again, at the most.
const MAX_COMMANDS_PER_TICK: usize = 256;
/// Nor are commands handled for longer than this before the node ticks again.
const MAX_TICK_DELAY_MS: u64 = 20;

/// The thread ticks at least this often.
const MAX_WAIT_MS: u64 = 500;

/// A snapshot is taken once the log holds so many bytes past the last one. Invariant:
/// three times this, with two snapshots, is well within a small disk.
const MAX_LOG_BYTES_PAST_SNAPSHOT: usize = 8 << 20;

impl DriverThread {
    /// Runs until the process ends.
    pub(in crate::driver) fn run(&mut self, commands: &CommandQueue) {
        loop {
            let next = commands.receive(self.time_to_next_event());
            self.published.pause_detector.tick();
            if let Some(command) = next {
                self.handle_batch(command, commands);
            }
            self.step(Input::Tick);
            let now_ms = now();
            self.requests.expire_sent(now_ms);
            self.take_due_snapshot();
            self.publish_status();
            self.lease_log.update(&self.published.lease, now_ms);
        }
    }

    /// Commands that wait together are written and synced together.
    fn handle_batch(&mut self, first: Queued<DriverCommand>, commands: &CommandQueue) {
        let began_at_ms = now();
        self.handle_queued(first);
        for _ in 1..MAX_COMMANDS_PER_TICK {
            if now() >= began_at_ms + MAX_TICK_DELAY_MS {
                break;
            }
            match commands.receive(Duration::ZERO) {
                Some(next) => self.handle_queued(next),
                None => break,
            }
        }
        self.queue_watch.warn_if_overloaded(now(), commands.len());
    }

    fn handle_queued(&mut self, queued: Queued<DriverCommand>) {
        let Queued { item, queued_at_ms } = queued;
        let waited_ms = now().saturating_sub(queued_at_ms);
        self.queue_watch.record(item.queue(), waited_ms);
        self.handle(item, queued_at_ms);
    }

    /// How long the thread may sleep where no command comes.
    fn time_to_next_event(&self) -> Duration {
        let deadline_ms = self.requests.next_deadline_ms().unwrap_or(u64::MAX);
        let due_ms = self.node.next_deadline().min(deadline_ms);
        Duration::from_millis(due_ms.saturating_sub(now()).min(MAX_WAIT_MS))
    }

    fn handle(&mut self, command: DriverCommand, queued_at_ms: u64) {
        match command {
            DriverCommand::Received(message) => self.step(Input::Received(message)),
            DriverCommand::WritesSynced(ticket) => self.step(Input::Synced(ticket)),
            DriverCommand::DiskFailed => self.step(Input::DiskFailed),
            DriverCommand::DiskRecovered(persisted, disk) => {
                self.restart_from_disk(persisted, disk);
            }
            DriverCommand::Request(request, sender) => {
                self.handle_local_request(request, sender, queued_at_ms);
            }
            DriverCommand::PeerRequest(request) => {
                self.handle_forwarded_request(request, queued_at_ms);
            }
            DriverCommand::PeerResponse {
                request_id,
                clock_ms,
                response,
            } => self.handle_response(request_id, clock_ms, response),
            DriverCommand::Bootstrap(sender) => drop(sender.send(self.bootstrap())),
            DriverCommand::Subscribe(subscription) => self.subscribe(subscription),
            DriverCommand::LogReport(sender) => drop(sender.send(self.log_report())),
            DriverCommand::TransferLeadership => self.step(Input::TransferLeadership),
            DriverCommand::MembershipReport(sender) => drop(sender.send(self.membership_report())),
        }
    }

    fn handle_response(&mut self, request_id: u64, clock_ms: u64, response: PeerResponse) {
        let Some(sent) = self.requests.sent.remove(&request_id) else {
            return;
        };
        self.leader_clock
            .learn(sent.leader, sent.term, clock_ms, now());
        let waiter = Waiter::Local(sent.sender);
        match response {
            PeerResponse::ReadIndex { index, grants } => {
                self.requests.confirmed_reads.push(ConfirmedRead {
                    token: request_id,
                    index,
                    waiter,
                    grants,
                });
                self.complete_reads();
            }
            response => self.respond(waiter, response),
        }
    }

    fn bootstrap(&mut self) -> Result<(), BootstrapError> {
        match self.node.cluster() {
            0 => {
                let cluster = rand::random::<u64>() | 1;
                self.step(Input::Bootstrap(
                    self.settings.local_member.clone(),
                    cluster,
                ));
                Ok(())
            }
            cluster => Err(BootstrapError::AlreadyInCluster { cluster }),
        }
    }

    /// Sends a router what its view lacks; each change follows.
    fn subscribe(&mut self, subscription: Subscription) {
        let Subscription {
            sender,
            cluster,
            epoch,
        } = subscription;
        let own_cluster = self.node.cluster();
        let subscribed = EncodedFrame::new(&Frame::Subscribed {
            cluster: own_cluster,
        });
        let current_epoch = self.published.state.read().epoch();
        let missing = match cluster == own_cluster {
            true => self.history.since(epoch, current_epoch),
            false => None,
        };
        let missing = missing.unwrap_or_else(|| vec![self.snapshot_frame()]);
        let mut frames = std::iter::once(subscribed).chain(missing);
        if frames.all(|frame| sender.try_send(frame)) {
            self.subscribers.push(sender);
        }
    }

    /// The view as a snapshot, encoded once for all routers that need it at this epoch.
    fn snapshot_frame(&mut self) -> EncodedFrame {
        let state = self.published.state.read();
        let epoch = state.epoch();
        if let Some((_, frame)) = self
            .encoded_snapshot
            .as_ref()
            .filter(|(of, _)| *of == epoch)
        {
            return frame.clone();
        }
        let frame = EncodedFrame::new(&Frame::Snapshot {
            epoch,
            events: state.view.snapshot(),
        });
        drop(state);
        self.encoded_snapshot = Some((epoch, frame.clone()));
        frame
    }

    /// Goes on from what a disk that had failed holds, as after a restart: what was
    /// acknowledged is on it, and nothing else was acknowledged.
    fn restart_from_disk(&mut self, persisted: PersistedState, disk: SyncSender<WriteBatch>) {
        self.disk = disk;
        let identity = self.settings.local_member.identity;
        let timing = self.settings.timing;
        let node = Node::new(identity, timing, rand::random(), now(), persisted);
        let state = match State::restore(&node.snapshot().state) {
            Ok(state) => state,
            Err(text) => {
                return log::error!("The snapshot on the disk can't be read: {text}");
            }
        };
        log::warn!("The disk takes writes again; this node goes on from what the disk holds");
        // The lease ends before the state is replaced.
        self.published.lease.end();
        self.lose_all_requests();
        self.node = node;
        self.replace_state(state);
    }

    fn lose_all_requests(&mut self) {
        for (_, waiter) in std::mem::take(&mut self.requests.waiters) {
            self.respond(waiter, PeerResponse::LeadershipLost);
        }
        for read in std::mem::take(&mut self.requests.confirmed_reads) {
            self.respond(read.waiter, PeerResponse::LeadershipLost);
        }
        self.requests.lose_sent();
        self.requests.pending_grants.clear();
    }

    /// Puts another state in place. Routers connect again and get a snapshot of it.
    pub(super) fn replace_state(&mut self, state: State) {
        let view = Arc::new(state.view.clone());
        self.published.view.send_replace(view);
        *self.published.state.write() = state;
        self.subscribers.clear();
        self.history.clear();
        self.encoded_snapshot = None;
    }

    fn take_due_snapshot(&mut self) {
        let policy = SnapshotPolicy {
            entries: self.settings.snapshot_every,
            bytes: MAX_LOG_BYTES_PAST_SNAPSHOT,
        };
        if self.node.is_snapshot_due(policy) {
            let state = self.published.state.read().snapshot();
            let index = self.node.applied_index();
            self.step(Input::SnapshotTaken(index, state));
        }
    }
}
