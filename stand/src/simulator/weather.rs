//! Which faults a run may bring, and how often.

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
};

/// Disks that fill up again and again, and are taken back into use.
pub const FULL: Weather = Weather { full_disks: 400, reopens_disks: true, ..STORM };

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
