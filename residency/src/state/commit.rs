//! Changing what a command's events do not carry.

use super::plan::PlannedTopology;
use super::{Pin, State};
use crate::{routing_key, Command, Name};

impl State {
    /// Makes the changes of a command that `plan` has allowed, apart from its events.
    pub(super) fn commit(&mut self, command: &Command, topology: Option<PlannedTopology>) {
        if let Some(topology) = topology {
            self.replace_topology(topology);
        }
        match command {
            Command::AdoptDocument {
                config_document, ..
            } => self.config_document = config_document.clone(),
            Command::EvacuateZone(zone) => self.keep_evacuated(zone),
            Command::MoveKey {
                tenant,
                service,
                cell,
            } => self.pin(routing_key(&tenant.0, &service.0), cell),
            Command::CompleteMove { tenant, service } => {
                if let Some(pin) = self.pins.get_mut(&routing_key(&tenant.0, &service.0)) {
                    pin.is_moving = false;
                }
            }
            Command::UndoMove { tenant, service } => {
                self.pins.remove(&routing_key(&tenant.0, &service.0));
            }
            Command::ScheduleMaintenance(windows) => self.schedule(windows),
            Command::BeginMaintenance(id) => self.begin_window(id),
            Command::EndMaintenance(id) => self.end_window(id),
            // The planned topology and the events carry everything.
            Command::UpdateTopology { .. }
            | Command::AddKey(_)
            | Command::RemoveKey(_)
            | Command::AddEngine(_)
            | Command::RemoveEngine(_)
            | Command::SetEngineState { .. }
            | Command::UpdateEngines { .. }
            | Command::ReinstateZone(_)
            | Command::SetRouterCount(_) => {}
        }
    }

    fn replace_topology(&mut self, update: PlannedTopology) {
        self.document = update.document;
        self.topology = update.topology;
        let topology = &self.topology;
        self.pins.retain(|key, _| {
            let (tenant, service) = key.split_once('/').expect("a routing key has two parts");
            topology.tenants.contains_key(tenant) && topology.services.contains_key(service)
        });
    }

    fn pin(&mut self, routing_key: String, cell: &Name) {
        let pin = Pin {
            key: Name(routing_key.clone()),
            cell: cell.clone(),
            is_moving: true,
        };
        self.pins.insert(routing_key, pin);
    }
}
