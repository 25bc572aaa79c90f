//! Fault scenarios that are drawn from a seed.

use simd_json::prelude::*;
use std::collections::BTreeSet;
use testbed::fault_plan::{draw, FaultKind};
use testbed::workload::{generate, Generation};

const DEPLOYMENTS: [&str; 2] = [
    include_str!("../deployments/haatbari.json"),
    include_str!("../deployments/turnos.json"),
];

#[test]
fn a_drawn_scenario_is_the_same_for_the_same_seed_and_can_be_played() {
    for deployment in DEPLOYMENTS {
        let mut seen = BTreeSet::new();
        for seed in 0..60 {
            let scenario = draw(deployment, seed, &[]).expect("a scenario is drawn");
            assert_eq!(draw(deployment, seed, &[]).expect("and again"), scenario);
            let generation = Generation {
                seconds: 20,
                scale: 0.1,
                seed,
            };
            let actions = generate(deployment, Some(&scenario), &generation).expect("it reads");
            assert!(actions.len() > 20);
            let kinds = scenario
                .get("kinds")
                .and_then(|v| v.as_array())
                .expect("it has its kinds");
            seen.extend(kinds.iter().map(|kind| kind.to_string()));
        }
        assert_eq!(seen.len(), FaultKind::ALL.len(), "every kind is drawn");
    }
}
