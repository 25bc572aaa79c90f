//! Judges the recorded evidence of a run by the system's rules.
//!
//! Simulated clients, engines and operators write journals, and the routers and directory
//! nodes write logs. [`check`] sorts them once (`evidence`) and hands them to one module for
//! each kind of rule. The bounds are those of docs/never.md, without slack.
//!
//! Times are microseconds since 1970 on one clock, since all processes run on one machine.

mod changes;
mod deployment;
mod engines;
mod evidence;
mod fields;
mod findings;
mod journals;
mod nodes;
mod quotas;
mod recovery;
mod responses;
mod retries;
mod timeline;

pub use deployment::{Deployment, EngineSlots, Process, Quota, Role};
pub use fields::text;
pub use findings::{Finding, Rule};
pub use journals::{log_messages, Journals};

use evidence::Evidence;
use findings::Findings;

/// Judges a run by all rules. An empty list says that none was broken.
pub fn check(deployment: &Deployment, journals: &Journals) -> Vec<Finding> {
    let evidence = Evidence::new(deployment, journals);
    let mut findings = Findings::default();
    engines::check_events(&evidence, &mut findings);
    responses::check(&evidence, &mut findings);
    engines::check_drained(&evidence, &mut findings);
    changes::check(&evidence, &mut findings);
    nodes::check(&evidence, &mut findings);
    retries::check(&evidence, &mut findings);
    engines::check_load(&evidence, &mut findings);
    quotas::check(&evidence, &mut findings);
    recovery::check(&evidence, &mut findings);
    findings.into_vec()
}
