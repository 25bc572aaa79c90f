//! Sample values: one of each variant of what frames and the log carry. The recorded
//! frames of `tests/fixtures` hold the same values in the same order.

pub mod frames;

use consensus::{Member, Membership};
use residency::{
    Cell, Command, ConfigDocument, DrainTarget, Engine, EngineState, Event, InvalidationScope,
    MaintenanceWindow, Mapping, Name, RequestLimits, ServiceLimits, TenantKey, TenantLimits, Zone,
};

pub fn name(text: &str) -> Name {
    Name(text.into())
}

pub fn key(digest: &str, tenant: &str) -> TenantKey {
    TenantKey {
        digest: digest.into(),
        tenant: tenant.into(),
    }
}

fn member(identity: u64) -> Member {
    Member {
        identity,
        name: format!("core-{identity}"),
        region: "north".into(),
        zone: "north-a".into(),
        address: "10.0.0.1:7360".into(),
        operator_address: "10.0.0.1:7361".into(),
    }
}

pub fn membership() -> Membership {
    Membership {
        voters: vec![member(1), member(2), member(3)],
        learners: vec![member(4)],
        retired: vec![5, 6],
    }
}

pub fn engine() -> Engine {
    Engine {
        name: "i-1".into(),
        address: "10.0.0.9:8080".into(),
        cell: "north-1".into(),
        services: vec![name("writer"), name("pictures")],
        slots: 8,
        state: EngineState::Serving,
        warm_up_ms: 12,
    }
}

fn mapping() -> Mapping {
    Mapping {
        tenant: "ana".into(),
        service: "writer".into(),
        regions: vec![name("north")],
        cells: vec![name("north-1"), name("north-2")],
        fresh_ms: 100,
        expire_ms: 1_000,
        epoch: 9,
    }
}

pub fn commands() -> Vec<Command> {
    let pair = || (name("ana"), name("writer"));
    let window = MaintenanceWindow {
        id: name("w-1"),
        target: DrainTarget::Zone(name("north-a")),
        starts_at_s: 5,
        ends_at_s: 9,
    };
    let other = MaintenanceWindow {
        id: name("w-2"),
        target: DrainTarget::Engine(name("i-1")),
        ..window.clone()
    };
    let config_document = ConfigDocument {
        revision: 3,
        base_revision: 2,
        text: "{}".into(),
    };
    vec![
        Command::UpdateTopology {
            mode: residency::UpdateMode::Patch,
            text: "{\"services\":{\"writer\":{}}}".into(),
        },
        Command::AddKey(key(&"a".repeat(64), "ana")),
        Command::RemoveKey(name("digest")),
        Command::AddEngine(engine()),
        Command::RemoveEngine(name("i-1")),
        Command::SetEngineState {
            name: name("i-1"),
            state: EngineState::Announced,
        },
        Command::SetEngineState {
            name: name("i-1"),
            state: EngineState::Serving,
        },
        Command::SetEngineState {
            name: name("i-1"),
            state: EngineState::Draining,
        },
        Command::EvacuateZone(name("north-a")),
        Command::ReinstateZone(name("north-a")),
        Command::MoveKey {
            tenant: pair().0,
            service: pair().1,
            cell: name("north-1"),
        },
        Command::CompleteMove {
            tenant: pair().0,
            service: pair().1,
        },
        Command::UndoMove {
            tenant: pair().0,
            service: pair().1,
        },
        Command::ScheduleMaintenance(vec![window, other]),
        Command::BeginMaintenance(name("w-1")),
        Command::EndMaintenance(name("w-1")),
        Command::AdoptDocument {
            config_document,
            text: "{}".into(),
        },
        Command::UpdateEngines {
            engines: vec![engine(), engine()],
            gone: vec![name("i-0")],
        },
        Command::SetRouterCount(9),
    ]
}

pub fn events() -> Vec<Event> {
    let limits = TenantLimits {
        tenant: "ana".into(),
        requests_per_s: 5,
        burst: 9,
        homes: vec![name("north")],
        urgency: 1,
    };
    let service = ServiceLimits {
        service: "writer".into(),
        max_connections: 9,
        warm_up_requests_per_s: 3,
        warm_up_ms: 50,
    };
    let rules = "door app at \"/app/\" tenant header \"x-tenant-key\" model header \"x-model\"\n\
                 route write on app POST \"/app/write\" to model once deadline 30s";
    vec![
        Event::Rules(name(rules)),
        Event::Topology {
            zones: vec![Zone {
                name: "z".into(),
                region: "r".into(),
            }],
            cells: vec![Cell {
                name: "c".into(),
                zone: "z".into(),
            }],
        },
        Event::KeyAdded(key("digest", "ana")),
        Event::KeyRemoved(name("digest")),
        Event::EngineUpdated(engine()),
        Event::EngineRemoved(name("i-1")),
        Event::ZoneEvacuated(name("z")),
        Event::ZoneReinstated(name("z")),
        Event::Invalidated(InvalidationScope::All),
        Event::Invalidated(InvalidationScope::Tenant(name("ana"))),
        Event::Invalidated(InvalidationScope::Key(name("ana/writer"))),
        Event::Invalidated(InvalidationScope::Region(name("north"))),
        Event::Tenants(vec![limits]),
        Event::Services(vec![service]),
        Event::Limits(RequestLimits::default()),
        Event::RouterCount(4),
    ]
}
