//! The consensus thread of a leader that gets more work for quotas than it can do, in virtual
//! time: the queue of its commands and the limit on its work, as the thread puts them together.

use directory::prioritized_queue::{PrioritizedQueue, Priority, Queued};
use placement::quota_work_limit::{DemandTiming, QuotaWorkLimit};
use protocol::{QuotaDemand, RouterDemand, LEASE_MS};

const QUEUE_LEN: usize = 4096;
const SPAN_MS: u64 = 30_000;
/// Other directory nodes, each with one renewal under way.
const NODES: usize = 8;
const ROUTERS_OF_A_NODE: usize = 36;
/// What weighing one router's demands takes: all routers' demands take 2.3 s, and each router
/// has new ones every 350 ms.
const WEIGHING_MS: u64 = 8;
/// Between a node and the leader, in one direction.
const NETWORK_DELAY_MS: u64 = 55;
const REQUEST_TIMEOUT_MS: u64 = 1_500;
const RETRY_DELAY_MS: u64 = 40;
const READ_INTERVAL_MS: u64 = 250;

enum Command {
    Renewal { node: usize, sent_at_ms: u64 },
    Read,
}

/// What a renewal's node waits for.
#[derive(Clone, Copy)]
enum NodeState {
    Idle { until_ms: u64 },
    Waiting { sent_at_ms: u64 },
}

fn demand(router: usize, heartbeat: u64) -> RouterDemand {
    RouterDemand {
        router: format!("r{router}"),
        incarnation: 1,
        heartbeat,
        incarnation_age_ms: 90_000,
        demands: vec![QuotaDemand {
            tenant: "ana".into(),
            admitted: 0,
            limit: 0,
            grant_floor: 0,
            queued: 0,
            wanted: 1,
            recently_admitted: Default::default(),
        }],
    }
}

/// The longest waits of what was answered, and how much was.
#[derive(Debug, Default)]
struct Outcome {
    longest_renewal_ms: u64,
    longest_read_ms: u64,
    renewals: u64,
    reads: u64,
    timed_out: u64,
    weighed: u64,
}

struct Leader {
    now_ms: u64,
    queue: PrioritizedQueue<Command>,
    limit: QuotaWorkLimit,
    nodes: [NodeState; NODES],
    next_read_ms: u64,
    outcome: Outcome,
}

impl Leader {
    fn new() -> Leader {
        Leader {
            now_ms: LEASE_MS,
            queue: PrioritizedQueue::new(QUEUE_LEN),
            limit: QuotaWorkLimit::default(),
            nodes: [NodeState::Idle { until_ms: 0 }; NODES],
            next_read_ms: 0,
            outcome: Outcome::default(),
        }
    }

    /// A millisecond goes by: what arrives in it is queued.
    fn advance(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        for node in 0..NODES {
            match self.nodes[node] {
                NodeState::Idle { until_ms } if now_ms >= until_ms + NETWORK_DELAY_MS => {
                    let sent_at_ms = now_ms - NETWORK_DELAY_MS;
                    self.nodes[node] = NodeState::Waiting { sent_at_ms };
                    self.push(Command::Renewal { node, sent_at_ms });
                }
                NodeState::Waiting { sent_at_ms } if now_ms >= sent_at_ms + REQUEST_TIMEOUT_MS => {
                    self.outcome.timed_out += 1;
                    let until_ms = now_ms + RETRY_DELAY_MS;
                    self.nodes[node] = NodeState::Idle { until_ms };
                }
                _ => {}
            }
        }
        if now_ms >= self.next_read_ms {
            self.next_read_ms = now_ms + READ_INTERVAL_MS;
            self.push(Command::Read);
        }
    }

    fn push(&mut self, command: Command) {
        let pushed = self.queue.push(Priority::Normal, command, self.now_ms);
        assert!(pushed.is_ok(), "the queue is full");
    }

    fn handle(&mut self, Queued { item, queued_at_ms }: Queued<Command>) {
        match item {
            Command::Read => {
                let waited_ms = self.now_ms - queued_at_ms;
                self.outcome.longest_read_ms = self.outcome.longest_read_ms.max(waited_ms);
                self.outcome.reads += 1;
            }
            Command::Renewal { node, sent_at_ms } => {
                let timing = DemandTiming {
                    asked_at_ms: Some(sent_at_ms),
                    queued_at_ms,
                };
                self.weigh(node, timing);
                self.answer(node, sent_at_ms);
            }
        }
    }

    fn weigh(&mut self, node: usize, timing: DemandTiming) {
        for router in 0..ROUTERS_OF_A_NODE {
            let demand = demand(node * ROUTERS_OF_A_NODE + router, self.now_ms);
            let began_at_ms = self.now_ms;
            if self.limit.is_weighed(began_at_ms, timing, &demand) {
                (0..WEIGHING_MS).for_each(|_| self.advance());
                self.limit.record_work(began_at_ms, self.now_ms);
                self.outcome.weighed += 1;
            }
        }
    }

    /// Nobody waits for the answer to a renewal that timed out.
    fn answer(&mut self, node: usize, renewal_sent_at_ms: u64) {
        if let NodeState::Waiting { sent_at_ms } = self.nodes[node] {
            if sent_at_ms == renewal_sent_at_ms {
                let took_ms = self.now_ms + NETWORK_DELAY_MS - sent_at_ms;
                self.outcome.longest_renewal_ms = self.outcome.longest_renewal_ms.max(took_ms);
                self.outcome.renewals += 1;
                let until_ms = self.now_ms + NETWORK_DELAY_MS;
                self.nodes[node] = NodeState::Idle { until_ms };
            }
        }
    }

    fn run(mut self) -> Outcome {
        let end_ms = self.now_ms + SPAN_MS;
        while self.now_ms < end_ms {
            self.advance();
            while let Some(queued) = self.queue.pop() {
                self.handle(queued);
            }
        }
        self.outcome
    }
}

/// Guards: leases that lapse and confirmed reads that never come while the leader weighs
/// demands for quota, most of them of askers that gave up waiting.
#[test]
fn renewals_and_reads_come_in_time_while_quotas_are_more_than_the_leader_can_do() {
    let outcome = Leader::new().run();
    assert_eq!(outcome.timed_out, 0, "{outcome:?}");
    assert!(outcome.longest_renewal_ms <= LEASE_MS / 2, "{outcome:?}");
    assert!(outcome.longest_read_ms <= LEASE_MS / 2, "{outcome:?}");
    assert!(
        outcome.reads + 2 >= SPAN_MS / READ_INTERVAL_MS,
        "{outcome:?}"
    );
    assert!(
        outcome.renewals >= NODES as u64 * SPAN_MS / LEASE_MS,
        "{outcome:?}"
    );
    // Quotas keep their share of the time.
    assert!(outcome.weighed * WEIGHING_MS >= SPAN_MS / 3, "{outcome:?}");
}
