//! A maintenance window as the state holds it.

use crate::MaintenanceWindow;
use binrw::binrw;

/// A maintenance window that has not ended.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledWindow {
    /// The window.
    pub window: MaintenanceWindow,
    /// Whether its target is being drained.
    #[br(map = |n: u8| n != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    pub has_begun: bool,
    /// Whether the target was drained without the window; it stays so after the end.
    #[br(map = |n: u8| n != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    pub(super) was_drained: bool,
}
