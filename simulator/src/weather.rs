//! Which faults a run may bring, and how often.

use super::losses::{Loss, LossPlan};
use super::operators::OperatorPlan;
use consensus::node::Timing;

/// Which failures a run may bring: of a message in thousandths, the others in
/// thousandths of a chance a second.
#[derive(Clone, Copy)]
pub struct Weather {
    pub loss: u64,
    pub duplicates: u64,
    pub delay: u64,
    pub crashes: u64,
    pub cuts: u64,
    pub one_way: u64,
    pub slow_disks: u64,
    pub full_disks: u64,
    pub lost_disks: u64,
    pub freezes: u64,
    pub all_down: u64,
    /// Of an acknowledgement, in thousandths: who gave it crashes at once, and
    /// others with it.
    pub power_loss_after_ack: u64,
    /// Of those moments, in thousandths: a minority loses its disks, too.
    pub disks_lost_after_ack: u64,
    /// The leader is told to hand over.
    pub leadership_transfers: u64,
    /// Entries in one message, at the most.
    pub batch: usize,
    /// A disk that has room again is taken back into use without a restart.
    pub reopens_disks: bool,
    /// Requests of clients, twenty times a second.
    pub clients: usize,
    /// Machines that are lost, within what the site tolerates.
    pub losses: Option<LossPlan>,
    /// Operators whose histories are judged.
    pub operators: Option<OperatorPlan>,
}

impl Weather {
    /// The bounds of a node's decisions, as the control nodes derive them.
    pub(super) fn timing(&self) -> Timing {
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

pub const CALM: Weather = Weather {
    loss: 0,
    duplicates: 0,
    delay: 5,
    crashes: 0,
    cuts: 0,
    one_way: 0,
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

pub const STORM: Weather = Weather {
    loss: 50,
    duplicates: 50,
    delay: 40,
    crashes: 150,
    cuts: 150,
    one_way: 100,
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

/// Disks that fill up again and again, and are taken back into use.
pub const FULL: Weather = Weather {
    full_disks: 400,
    reopens_disks: true,
    ..STORM
};

/// Power that fails just after a word, and disks that are slow to keep it.
pub const POWER: Weather = Weather {
    loss: 100,
    delay: 60,
    slow_disks: 700,
    power_loss_after_ack: 60,
    disks_lost_after_ack: 300,
    all_down: 20,
    ..CALM
};

/// Leaders that come and go while what their predecessors left has not reached
/// everybody, entry by entry.
pub const SUCCESSION: Weather = Weather {
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

/// Machines replaced at other names, one after the other, and nothing else.
pub const REPLACEMENTS: Weather = Weather {
    losses: Some(LossPlan {
        kinds: &[Loss::Replaced],
        ..FIVE_MACHINES
    }),
    ..CALM
};

/// The same, each planned: the new machine first.
pub const PLANNED_REPLACEMENTS: Weather = Weather {
    losses: Some(LossPlan {
        kinds: &[Loss::PlannedReplacement],
        ..FIVE_MACHINES
    }),
    ..CALM
};

/// All that a small site may lose, in a storm of proposals on a bad network.
pub const SMALL_SITE: Weather = Weather {
    loss: 20,
    duplicates: 20,
    delay: 30,
    clients: 6,
    losses: Some(FIVE_MACHINES),
    ..CALM
};

/// All that a large site may lose, in the same storm.
pub const LARGE_SITE: Weather = Weather {
    losses: Some(NINE_MACHINES),
    ..SMALL_SITE
};

/// Operators under leaders that come and go, freezes, short cuts and crashes.
pub const OPERATORS: Weather = Weather {
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

/// Operators while a small site loses machines: cuts of 2 to 22 s each way and
/// both, restarts in their midst, replacements, lost disks.
pub const OPERATORS_UNDER_LOSSES: Weather = Weather {
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
