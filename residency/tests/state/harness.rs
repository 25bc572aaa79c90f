//! A state with the entries that were applied to it, and short forms of commands.

use residency::{
    Command, DrainTarget, Engine, EngineState, Event, MaintenanceWindow, Outcome, Proposal, State,
    TenantKey, UpdateMode,
};

pub const THREE_REGIONS: &str = r#"{
  "zones": { "n-a": { "region": "north" }, "s-a": { "region": "south" }, "w-a": { "region": "west" } },
  "cells": { "n-1": { "zone": "n-a" }, "n-2": { "zone": "n-a" }, "s-1": { "zone": "s-a" }, "w-1": { "zone": "w-a" } },
  "services": { "writer": {}, "tight": { "homes": ["west"] } },
  "tenants": { "ana": { "homes": ["north", "south"], "fresh": "10s" }, "ben": { "homes": ["south"] }, "any": {} },
  "rules": "door app at \"/app/\" tenant header \"k\" model header \"m\"\nroute w on app POST \"/app/w\" to model once"
}"#;

pub const TWO_REGIONS: &str = r#"{
  "zones": { "n-a": { "region": "north" }, "s-a": { "region": "south" } },
  "cells": { "n-1": { "zone": "n-a" }, "s-1": { "zone": "s-a" } },
  "services": { "writer": {} },
  "tenants": { "ana": {}, "ben": {} }
}"#;

/// Invariant: `epoch` is the index of the entry applied last.
pub struct Harness {
    pub state: State,
    pub epoch: u64,
}

impl Harness {
    pub fn empty() -> Harness {
        Harness {
            state: State::default(),
            epoch: 0,
        }
    }

    /// A cluster that has been founded, by the entry of index 1.
    pub fn founded() -> Harness {
        Harness {
            state: State::default(),
            epoch: 1,
        }
    }

    pub fn with_three_regions() -> Harness {
        let mut harness = Harness::empty();
        harness.must(update(UpdateMode::Replace, THREE_REGIONS));
        for (name, cell) in [
            ("e-n1", "n-1"),
            ("e-n2", "n-2"),
            ("e-s1", "s-1"),
            ("e-w1", "w-1"),
        ] {
            harness.must(Command::AddEngine(engine(name, cell)));
        }
        harness
    }

    pub fn with_two_regions() -> Harness {
        let mut harness = Harness::founded();
        harness.must(update(UpdateMode::Patch, TWO_REGIONS));
        for (name, cell) in [("e-n", "n-1"), ("e-s", "s-1")] {
            harness.must(Command::AddEngine(engine(name, cell)));
        }
        harness
    }

    pub fn submit(&mut self, id: &str, base_epoch: u64, command: Command) -> (Outcome, Vec<Event>) {
        self.epoch += 1;
        let proposal = proposal(id, base_epoch, command);
        self.state.apply(self.epoch, &proposal)
    }

    pub fn outcome(&mut self, id: &str, base_epoch: u64, command: Command) -> Outcome {
        self.submit(id, base_epoch, command).0
    }

    /// Applies a command that is built on what is in force.
    pub fn must(&mut self, command: Command) -> Vec<Event> {
        let (id, base_epoch) = (format!("id-{}", self.epoch), self.epoch);
        match self.submit(&id, base_epoch, command) {
            (Outcome::Applied { .. }, events) => events,
            (other, _) => panic!("{other:?}"),
        }
    }

    /// Submits a command that is rejected, and checks that it changes nothing.
    pub fn rejected(&mut self, command: Command) -> String {
        let before = self.state.snapshot();
        let id = format!("id-{}", self.epoch);
        let (outcome, events) = self.submit(&id, 0, command);
        assert!(events.is_empty());
        let sizes = (before.len(), self.state.snapshot().len());
        assert_eq!(sizes.0, sizes.1, "a rejected command changes nothing");
        match outcome {
            Outcome::Rejected(text) => text,
            other => panic!("{other:?}"),
        }
    }

    /// The state as a node has it that was restored from a snapshot.
    pub fn restart(&mut self) {
        self.state = State::restore(&self.state.snapshot()).expect("its own snapshot");
    }

    pub fn cells(&self, tenant: &str, client_region: &str) -> Vec<String> {
        let mapping = self
            .state
            .resolve(tenant, "writer", client_region)
            .expect("it resolves");
        mapping.cells.iter().map(|cell| cell.0.clone()).collect()
    }
}

pub fn proposal(id: &str, base_epoch: u64, command: Command) -> Proposal {
    Proposal {
        id: id.into(),
        base_epoch,
        command,
    }
}

pub fn update(mode: UpdateMode, text: &str) -> Command {
    Command::UpdateTopology {
        mode,
        text: text.into(),
    }
}

/// A serving engine whose address follows from its name.
pub fn engine(name: &str, cell: &str) -> Engine {
    let number: u32 = name.bytes().map(u32::from).sum();
    Engine {
        name: name.into(),
        address: format!("127.0.0.1:{}", 1000 + number),
        cell: cell.into(),
        services: vec!["writer".into()],
        slots: 4,
        state: EngineState::Serving,
        warm_up_ms: 0,
    }
}

pub fn add_engine(name: &str, cell: &str, state: EngineState) -> Command {
    Command::AddEngine(Engine {
        state,
        ..engine(name, cell)
    })
}

pub fn add_key(digest: &str, tenant: &str) -> Command {
    Command::AddKey(TenantKey {
        digest: digest.into(),
        tenant: tenant.into(),
    })
}

pub fn evacuate(zone: &str) -> Command {
    Command::EvacuateZone(zone.into())
}

pub fn reinstate(zone: &str) -> Command {
    Command::ReinstateZone(zone.into())
}

pub fn window(
    id: &str,
    target: DrainTarget,
    starts_at_s: u64,
    ends_at_s: u64,
) -> MaintenanceWindow {
    MaintenanceWindow {
        id: id.into(),
        target,
        starts_at_s,
        ends_at_s,
    }
}

/// A schedule with one window for the zone `n-a`.
pub fn schedule(id: &str, starts_at_s: u64, ends_at_s: u64) -> Command {
    let target = DrainTarget::Zone("n-a".into());
    Command::ScheduleMaintenance(vec![window(id, target, starts_at_s, ends_at_s)])
}

pub fn move_to(tenant: &str, cell: &str) -> Command {
    Command::MoveKey {
        tenant: tenant.into(),
        service: "writer".into(),
        cell: cell.into(),
    }
}
