//! Maintenance windows: which are scheduled, which have begun, and what is due.

use super::scheduled_window::ScheduledWindow;
use super::State;
use crate::{Command, DrainTarget, EngineState, MaintenanceWindow, Name};

impl State {
    /// The windows to come and under way.
    pub fn windows(&self) -> impl Iterator<Item = &ScheduledWindow> {
        self.windows.iter()
    }

    /// The commands that are due at a time, in seconds since 1970. Applying one makes it
    /// due no more, so that each window begins and ends once, whoever leads.
    pub fn due(&self, now_s: u64) -> Vec<Command> {
        let due = |scheduled: &ScheduledWindow| {
            let window = &scheduled.window;
            match scheduled.has_begun {
                true if now_s >= window.ends_at_s => {
                    Some(Command::EndMaintenance(window.id.clone()))
                }
                false if now_s >= window.starts_at_s => {
                    Some(Command::BeginMaintenance(window.id.clone()))
                }
                _ => None,
            }
        };
        self.windows.iter().filter_map(due).collect()
    }

    pub(super) fn window(&self, id: &Name) -> Option<&ScheduledWindow> {
        self.windows
            .iter()
            .find(|scheduled| scheduled.window.id == *id)
    }

    /// Whether a target gets no requests now.
    fn is_drained(&self, target: &DrainTarget) -> bool {
        match target {
            DrainTarget::Zone(zone) => self.view.evacuated.contains(&zone.0),
            DrainTarget::Engine(name) => {
                let engine = self.view.engines.get(&name.0);
                engine.is_some_and(|engine| engine.state != EngineState::Serving)
            }
        }
    }

    /// Replaces the windows that have not begun.
    pub(super) fn schedule(&mut self, windows: &[MaintenanceWindow]) {
        self.windows.retain(|scheduled| scheduled.has_begun);
        for window in windows {
            if self.window(&window.id).is_none() {
                self.windows.push(ScheduledWindow {
                    window: window.clone(),
                    has_begun: false,
                    was_drained: false,
                });
            }
        }
    }

    /// Notes that a window has begun; called before the events of its draining apply.
    pub(super) fn begin_window(&mut self, id: &Name) {
        let is_drained = self
            .window(id)
            .is_some_and(|scheduled| self.is_drained(&scheduled.window.target));
        let mut windows = self.windows.iter_mut();
        if let Some(scheduled) = windows.find(|scheduled| scheduled.window.id == *id) {
            scheduled.has_begun = true;
            scheduled.was_drained = is_drained;
        }
    }

    pub(super) fn end_window(&mut self, id: &Name) {
        self.windows.retain(|scheduled| scheduled.window.id != *id);
    }

    /// Notes that operators evacuated a zone while windows have it drained: it stays
    /// evacuated when they end.
    pub(super) fn keep_evacuated(&mut self, zone: &Name) {
        let target = DrainTarget::Zone(zone.clone());
        for scheduled in &mut self.windows {
            if scheduled.has_begun && scheduled.window.target == target {
                scheduled.was_drained = true;
            }
        }
    }
}
