//! Draws fault scenarios from a seed: several faults that overlap, at drawn moments, and
//! everything healed for the last quarter, so that the recovery is judged as well.

mod builder;
mod kind;
mod targets;

pub use kind::{FaultKind, UnknownFaultKind};

use crate::random::XorShift64;
use crate::workload::WorkloadError;
use builder::Builder;
use simd_json::OwnedValue;
use targets::Targets;
use thiserror::Error;

/// Why no scenario can be drawn.
#[derive(Debug, Error)]
pub enum FaultPlanError {
    /// A kind of fault that does not exist.
    #[error(transparent)]
    UnknownKind(#[from] UnknownFaultKind),
    /// The deployment file can't be used.
    #[error(transparent)]
    Deployment(#[from] WorkloadError),
}

/// Draws a scenario in the form of [`crate::workload::read_scenarios`]. Its `kinds` says
/// which faults it has: those in `wanted`, as often as each is there, or drawn ones where
/// that is empty. The same seed draws the same scenario.
///
/// # Errors
///
/// Where `wanted` has an unknown kind, or the deployment file lacks a part.
pub fn draw(deployment: &str, seed: u64, wanted: &[&str]) -> Result<OwnedValue, FaultPlanError> {
    let wanted: Vec<FaultKind> = wanted
        .iter()
        .map(|kind| kind.parse())
        .collect::<Result<_, UnknownFaultKind>>()?;
    let targets = Targets::read(deployment)?;
    let mut random = XorShift64::from_seed(seed.wrapping_add(1));
    // The first numbers of near seeds are near each other.
    for _ in 0..8 {
        random.below(2);
    }
    let mut builder = Builder::new(targets, random);
    match wanted.is_empty() {
        true => builder.add_drawn_faults(),
        false => wanted.iter().for_each(|kind| builder.add_wanted(*kind)),
    }
    Ok(builder.into_scenario(seed))
}
