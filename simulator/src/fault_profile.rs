//! Which faults a run draws, and how often.

use consensus::node::Timing;

/// A way in which a machine is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loss {
    /// Gone for good; an empty machine comes after a while, with another name,
    /// address and identity.
    Replaced,
    /// The new machine starts first; then the old one is asked to stop, and leaves.
    PlannedReplacement,
    /// The disk is lost; the machine comes back under its own name.
    DiskLost,
    /// The process ends and starts again on its disk.
    Restarted,
    /// Nothing reaches the machine.
    CutInbound,
    /// Nothing that the machine sends arrives.
    CutOutbound,
    /// Both.
    Cut,
    /// The process and its clock stand still.
    Frozen,
}

/// Which losses a run draws.
#[derive(Clone, Copy, Debug)]
pub struct LossPlan {
    /// How many machines may be lost at once.
    pub tolerate: usize,
    /// A loss counts until so long after the machine, or its successor, is back.
    pub catch_up_ms: u64,
    /// The next loss comes at most so long after one stopped counting.
    pub pause_ms: u64,
    /// Whatever is lost, a change is acknowledged at least this often.
    pub acknowledged_within_ms: u64,
    /// What is drawn from.
    pub kinds: &'static [Loss],
}

/// A fault that is planted in how nodes handle operators' orders, to show that
/// the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlantedFault {
    /// Reads are answered from the state at hand, without a read index.
    StaleRead,
    /// A change is acknowledged when it is proposed.
    AcknowledgedBeforeCommit,
    /// An evacuation does not carry the epoch that it was built on, and each attempt
    /// is a new proposal: a late attempt is applied after a later order.
    UnfencedEvacuation,
    /// A node whose evacuation was rejected as a conflict proposes it anew by itself.
    ResubmittedAfterConflict,
    /// Each attempt of a change has an identifier of its own.
    NewIdentifierPerAttempt,
}

/// The operators of a run.
#[derive(Clone, Copy, Debug)]
pub struct OperatorPlan {
    /// How many there are.
    pub count: usize,
    /// The fault in how nodes handle their orders, if any.
    pub fault: Option<PlantedFault>,
}

/// The faults of a run. Those of a message are probabilities in thousandths; the others
/// are expected events in thousandths of one a second.
#[derive(Clone, Copy)]
pub struct FaultProfile {
    /// Messages lost, in thousandths.
    pub loss: u64,
    /// Messages delivered twice, in thousandths.
    pub duplicates: u64,
    /// The longest delay of a message in milliseconds.
    pub delay: u64,
    /// Machines that lose power.
    pub crashes: u64,
    /// Partitions of a machine or a zone, in both directions.
    pub cuts: u64,
    /// Links that let nothing through in one direction.
    pub one_way: u64,
    /// Cuts of all machines into two halves.
    pub halves: u64,
    /// Disks that are slow for a while.
    pub slow_disks: u64,
    /// Disks that are full for a while.
    pub full_disks: u64,
    /// Disks that are lost, while every voter has its own.
    pub lost_disks: u64,
    /// Machines that stand still, and their clocks with them.
    pub freezes: u64,
    /// Power failures of all machines.
    pub all_down: u64,
    /// Of an acknowledgement, in thousandths: who gave it crashes at once, and
    /// others with it.
    pub power_loss_after_ack: u64,
    /// Of those moments, in thousandths: a minority loses its disks, too.
    pub disks_lost_after_ack: u64,
    /// Transfers of leadership.
    pub leadership_transfers: u64,
    /// Entries in one message, at the most.
    pub batch: usize,
    /// A disk that has room again is taken back into use without a restart.
    pub reopens_disks: bool,
    /// Requests of clients, twenty times a second.
    pub clients: usize,
    /// Machines that are lost, within what the site tolerates.
    pub losses: Option<LossPlan>,
    /// Operators whose histories are checked.
    pub operators: Option<OperatorPlan>,
}

impl FaultProfile {
    /// The bounds of a node's decisions, as the control nodes derive them.
    pub(crate) fn timing(&self) -> Timing {
        let timing = Timing {
            max_batch: self.batch,
            ..Timing::default()
        };
        match self.losses {
            Some(plan) => Timing {
                replace_voter_after_ms: plan.catch_up_ms / 4,
                ..timing
            },
            None => timing,
        }
    }
}

/// No faults.
pub const CALM: FaultProfile = FaultProfile {
    loss: 0,
    duplicates: 0,
    delay: 5,
    crashes: 0,
    cuts: 0,
    one_way: 0,
    halves: 0,
    slow_disks: 0,
    full_disks: 0,
    lost_disks: 0,
    freezes: 0,
    all_down: 0,
    power_loss_after_ack: 0,
    disks_lost_after_ack: 0,
    leadership_transfers: 0,
    batch: 256,
    reopens_disks: false,
    clients: 1,
    losses: None,
    operators: None,
};

/// Every kind of fault.
pub const STORM: FaultProfile = FaultProfile {
    loss: 50,
    duplicates: 50,
    delay: 40,
    crashes: 150,
    cuts: 150,
    one_way: 100,
    halves: 0,
    slow_disks: 100,
    full_disks: 30,
    lost_disks: 40,
    freezes: 100,
    all_down: 60,
    power_loss_after_ack: 10,
    disks_lost_after_ack: 200,
    leadership_transfers: 60,
    batch: 256,
    reopens_disks: false,
    clients: 1,
    losses: None,
    operators: None,
};

/// Disks that fill up again and again, and are taken back into use without a restart.
pub const FULL_DISKS: FaultProfile = FaultProfile {
    full_disks: 400,
    reopens_disks: true,
    ..STORM
};

/// Power that fails just after an acknowledgement, and slow disks.
pub const POWER_LOSS: FaultProfile = FaultProfile {
    loss: 100,
    delay: 60,
    slow_disks: 700,
    power_loss_after_ack: 60,
    disks_lost_after_ack: 300,
    all_down: 20,
    ..CALM
};

/// Frequent elections, while the entries of earlier leaders are replicated one by one.
pub const LEADER_SUCCESSION: FaultProfile = FaultProfile {
    loss: 150,
    duplicates: 50,
    delay: 60,
    crashes: 900,
    cuts: 400,
    one_way: 200,
    slow_disks: 300,
    leadership_transfers: 700,
    power_loss_after_ack: 40,
    batch: 1,
    ..CALM
};

/// Five machines, one of which may be lost at a time.
pub const FIVE_MACHINES: LossPlan = LossPlan {
    tolerate: 1,
    catch_up_ms: 4_000,
    pause_ms: 0,
    acknowledged_within_ms: 5_000,
    kinds: &[
        Loss::Replaced,
        Loss::PlannedReplacement,
        Loss::DiskLost,
        Loss::Restarted,
        Loss::CutInbound,
        Loss::CutOutbound,
        Loss::Cut,
        Loss::Frozen,
    ],
};

/// Nine machines, two of which may be lost at once.
pub const NINE_MACHINES: LossPlan = LossPlan {
    tolerate: 2,
    catch_up_ms: 6_000,
    acknowledged_within_ms: 6_000,
    ..FIVE_MACHINES
};

/// Machines replaced by others with new names, one after the other, and nothing else.
pub const REPLACEMENTS: FaultProfile = FaultProfile {
    losses: Some(LossPlan {
        kinds: &[Loss::Replaced],
        ..FIVE_MACHINES
    }),
    ..CALM
};

/// The same, each planned: the new machine first.
pub const PLANNED_REPLACEMENTS: FaultProfile = FaultProfile {
    losses: Some(LossPlan {
        kinds: &[Loss::PlannedReplacement],
        ..FIVE_MACHINES
    }),
    ..CALM
};

/// Every loss that a small site tolerates, under many proposals on a bad network.
pub const SMALL_SITE: FaultProfile = FaultProfile {
    loss: 20,
    duplicates: 20,
    delay: 30,
    clients: 6,
    losses: Some(FIVE_MACHINES),
    ..CALM
};

/// Every loss that a large site tolerates, under the same load.
pub const LARGE_SITE: FaultProfile = FaultProfile {
    losses: Some(NINE_MACHINES),
    ..SMALL_SITE
};

/// Operators under frequent elections, freezes, short partitions and crashes.
pub const OPERATORS: FaultProfile = FaultProfile {
    loss: 30,
    duplicates: 20,
    delay: 40,
    crashes: 150,
    cuts: 200,
    one_way: 150,
    slow_disks: 100,
    freezes: 150,
    all_down: 20,
    leadership_transfers: 150,
    clients: 0,
    operators: Some(OperatorPlan {
        count: 4,
        fault: None,
    }),
    ..CALM
};

/// Operators while the machines are cut into two halves again and again, and power fails
/// and disks are lost meanwhile, so that voters are replaced.
pub const HALVES: FaultProfile = FaultProfile {
    crashes: 100,
    cuts: 0,
    one_way: 0,
    halves: 150,
    lost_disks: 300,
    freezes: 50,
    all_down: 60,
    power_loss_after_ack: 10,
    disks_lost_after_ack: 500,
    leadership_transfers: 60,
    ..OPERATORS
};

/// Operators while a small site loses machines: partitions of 2 to 22 s in one direction or
/// both, some with a restart, replacements, lost disks.
pub const OPERATORS_UNDER_LOSSES: FaultProfile = FaultProfile {
    clients: 0,
    operators: Some(OperatorPlan {
        count: 4,
        fault: None,
    }),
    losses: Some(LossPlan {
        acknowledged_within_ms: u64::MAX,
        ..FIVE_MACHINES
    }),
    ..SMALL_SITE
};
