//! Drives the operators: changes on top of a base, evacuations and their ends, reads. Each is
//! sent to any node, and repeated at another one after a time-out.

use crate::machine::MachineIndex;
use crate::operator_history::{Intent, Response};
use crate::operators::{Operation, Operator};
use crate::requests::{OperatorEvent, Request};
use crate::simulation::{Event, Simulation};
use crate::violation::{Failure, Violation};

/// An operator goes to another node after so long without a response.
const ATTEMPT_TIMEOUT_MS: u64 = 1_000;
/// After so many attempts an operation is given up; its outcome is unknown.
const MAX_ATTEMPTS: u32 = 6;
/// Longer than any node goes on with a request.
const PAUSE_AFTER_GIVING_UP_MS: u64 = 3_000;
const ZONES: u64 = 3;

impl Simulation {
    /// Lets every operator without an open operation begin one.
    pub(crate) fn drive_operators(&mut self) {
        let Some(plan) = self.profile.operators else {
            return;
        };
        self.operators
            .operators
            .resize_with(plan.count, Operator::default);
        for operator in 0..plan.count {
            let state = &self.operators.operators[operator];
            if state.open.is_some() || state.idle_until_ms > self.now_ms {
                continue;
            }
            let intent = self.draw_intent(operator);
            let place = self.operators.history.invoke(intent.clone());
            let state = &mut self.operators.operators[operator];
            state.operations += 1;
            state.open = Some(Operation {
                intent,
                place,
                attempts_made: 0,
                attempt: 0,
            });
            self.send_attempt(operator);
        }
    }

    fn draw_intent(&mut self, operator: usize) -> Intent {
        let zone = self.draw(ZONES);
        let known = self.operators.operators[operator].known_revision;
        let number = self.operators.operators[operator].operations;
        match self.draw(100) {
            0..30 => Intent::ReadConfiguration,
            30..55 => {
                // Two operators may have the same number for their documents, and
                // now and then the very same document.
                let is_shared = self.chance(150);
                let id = match is_shared {
                    true => format!("change-on-{known}"),
                    false => format!("change-{operator}-{number}"),
                };
                let rise = if is_shared { 1 } else { self.draw(3) };
                Intent::Change {
                    id,
                    based: known,
                    revision: known + rise,
                }
            }
            _ if known == 0 => Intent::ReadConfiguration,
            55..85 => Intent::SetZone {
                zone,
                is_evacuated: self.chance(500),
            },
            _ => Intent::ReadZone { zone },
        }
    }

    fn send_attempt(&mut self, operator: usize) {
        let in_use: Vec<MachineIndex> = (0..self.machines.len())
            .filter(|machine| !self.machines[*machine].is_gone)
            .collect();
        let machine = in_use[self.draw(in_use.len() as u64) as usize];
        self.operators.attempts += 1;
        let attempt = self.operators.attempts;
        let state = &mut self.operators.operators[operator];
        let operation = state
            .open
            .as_mut()
            .expect("an attempt is of an open operation");
        operation.attempts_made += 1;
        operation.attempt = attempt;
        let request = Request::new(attempt, operator, operation.intent.clone(), machine);
        let delay = 1 + self.draw(20);
        self.schedule(
            delay,
            Event::Operator(OperatorEvent::RequestArrives(Box::new(request))),
        );
        self.schedule(
            ATTEMPT_TIMEOUT_MS,
            Event::Operator(OperatorEvent::AttemptTimedOut { operator, attempt }),
        );
    }

    /// The operation that waits for this attempt, if it still does.
    fn awaited(&mut self, operator: usize, attempt: u64) -> Option<&mut Operation> {
        let operation = self.operators.operators.get_mut(operator)?.open.as_mut()?;
        (operation.attempt == attempt).then_some(operation)
    }

    /// The operator turns to another node, or gives up.
    pub(crate) fn attempt_failed(&mut self, operator: usize, attempt: u64) {
        let Some(operation) = self.awaited(operator, attempt) else {
            return;
        };
        let (place, attempts_made, intent) = (
            operation.place,
            operation.attempts_made,
            operation.intent.clone(),
        );
        let is_order = matches!(intent, Intent::SetZone { .. });
        if attempts_made == MAX_ATTEMPTS || is_order {
            self.operators.history.abandon(place);
        }
        if attempts_made < MAX_ATTEMPTS {
            if is_order {
                let place = self.operators.history.invoke(intent);
                let operation = self.awaited(operator, attempt).expect("it was just there");
                operation.place = place;
            }
            return self.send_attempt(operator);
        }
        let state = &mut self.operators.operators[operator];
        state.open = None;
        state.idle_until_ms = self.now_ms + PAUSE_AFTER_GIVING_UP_MS;
    }

    /// A response reaches the operator, which ignores all but the attempt it waits for.
    pub(crate) fn operator_responded(&mut self, operator: usize, attempt: u64, response: Response) {
        let Some(operation) = self.awaited(operator, attempt) else {
            return;
        };
        if response == Response::RetryLater {
            return self.attempt_failed(operator, attempt);
        }
        let (place, intent) = (operation.place, operation.intent.clone());
        self.operators.history.respond(place, response.clone());
        let pause = self.draw(400);
        let state = &mut self.operators.operators[operator];
        state.open = None;
        state.idle_until_ms = self.now_ms + pause;
        match (intent, response) {
            (_, Response::Revision(revision)) => state.known_revision = revision,
            (Intent::Change { revision, .. }, Response::Applied) => state.known_revision = revision,
            _ => {}
        }
    }

    /// Checks that what the operators were answered is linearizable, and ends them.
    pub(crate) fn check_operator_history(&mut self) -> Result<(), Failure> {
        let operators = std::mem::take(&mut self.operators);
        self.report.operations_answered = operators.history.answered();
        self.report.operations_unanswered = operators.history.unanswered();
        match operators.history.check() {
            Ok(()) => Ok(()),
            Err(history) => self.fail(Violation::NotLinearizable { history }),
        }
    }
}
