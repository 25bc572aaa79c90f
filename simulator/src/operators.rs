//! Operators with histories: changes on top of a base, evacuations and their
//! ends, reads, each sent to any node and repeated at another one after a silence.

use super::history::{History, Intent, Response};
use super::orders::{LeaderAnswer, PeerRequest, Request};
use super::{Due, Simulation};
use std::collections::BTreeMap;

/// An operator goes to another node after so long without an answer.
const SILENCE_MS: u64 = 1_000;
/// After so many tries an operation is given up; nobody knows what became of it.
const TRIES: u32 = 6;
/// Longer than any node goes on with an order that it has.
const PAUSE_AFTER_GIVING_UP_MS: u64 = 3_000;
const ZONES: u64 = 3;

/// A fault that is planted in how nodes handle operators' orders, to show that
/// the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlantedFault {
    /// Reads are answered from the state at hand, without a read index.
    StaleRead,
    /// A change is acknowledged when it is proposed.
    AcknowledgedBeforeCommit,
    /// An evacuation says nothing of the state that it was built on, and each try
    /// is a new one: a late try is applied after a later order.
    UnfencedEvacuation,
    /// A node that is told that an evacuation came late sends it anew by itself.
    ResubmittedAfterConflict,
    /// Each try of a change has an identifier of its own.
    NewIdentifierPerTry,
}

/// Operators of a run.
#[derive(Clone, Copy, Debug)]
pub struct OperatorPlan {
    pub count: usize,
    pub fault: Option<PlantedFault>,
}

/// What is due in the matter of operators' orders.
pub(super) enum OperatorEvent {
    /// A request reaches its node.
    Arrives(Box<Request>),
    /// A request is looked at again by its node.
    Continues(u64),
    /// A node's question, or its proposal, reaches the leader.
    ReachesLeader {
        question: PeerRequest,
        leader: usize,
    },
    /// The leader's answer is back at the node.
    LeaderAnswers {
        request: u64,
        step: u64,
        answer: LeaderAnswer,
    },
    /// The node's answer is back at the operator.
    Answered {
        operator: usize,
        attempt: u64,
        response: Response,
    },
    /// The operator heard nothing for too long.
    Silence { operator: usize, attempt: u64 },
}

/// One operator. Invariant: one operation at a time.
#[derive(Default)]
pub(super) struct Operator {
    open: Option<Operation>,
    idle_until: u64,
    /// The newest revision that it knows of.
    known_revision: u64,
    operations: u64,
}

struct Operation {
    intent: Intent,
    /// Its place in the history.
    place: usize,
    tries: u32,
    /// The attempt that is waited for.
    attempt: u64,
}

#[derive(Default)]
pub(super) struct Operators {
    pub(super) operators: Vec<Operator>,
    pub(super) history: History,
    /// Orders that nodes are at work on.
    pub(super) requests: BTreeMap<u64, Request>,
    /// What was put to a leader, by token: the request and its step.
    pub(super) put_to_leader: BTreeMap<u64, (u64, u64)>,
    pub(super) attempts: u64,
}

impl Simulation {
    /// Lets every operator without an open operation begin one.
    pub(super) fn drive_operators(&mut self) {
        let Some(plan) = self.weather.operators else {
            return;
        };
        self.operators
            .operators
            .resize_with(plan.count, Operator::default);
        for operator in 0..plan.count {
            let state = &self.operators.operators[operator];
            if state.open.is_some() || state.idle_until > self.now {
                continue;
            }
            let intent = self.draw_intent(operator);
            let place = self.operators.history.invoke(intent.clone());
            let state = &mut self.operators.operators[operator];
            state.operations += 1;
            state.open = Some(Operation {
                intent,
                place,
                tries: 0,
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
        let in_use: Vec<usize> = (0..self.machines.len())
            .filter(|at| !self.machines[*at].is_gone)
            .collect();
        let at = in_use[self.draw(in_use.len() as u64) as usize];
        self.operators.attempts += 1;
        let attempt = self.operators.attempts;
        let state = &mut self.operators.operators[operator];
        let operation = state
            .open
            .as_mut()
            .expect("an attempt is of an open operation");
        operation.tries += 1;
        operation.attempt = attempt;
        let request = Request::new(attempt, operator, operation.intent.clone(), at);
        let delay = 1 + self.draw(20);
        self.due(
            delay,
            Due::Operator(OperatorEvent::Arrives(Box::new(request))),
        );
        self.due(
            SILENCE_MS,
            Due::Operator(OperatorEvent::Silence { operator, attempt }),
        );
    }

    /// The operation that waits for this attempt, if it still does.
    fn awaited(&mut self, operator: usize, attempt: u64) -> Option<&mut Operation> {
        let operation = self.operators.operators.get_mut(operator)?.open.as_mut()?;
        (operation.attempt == attempt).then_some(operation)
    }

    /// The operator turns to another node, or gives up.
    pub(super) fn attempt_failed(&mut self, operator: usize, attempt: u64) {
        let Some(operation) = self.awaited(operator, attempt) else {
            return;
        };
        let (place, tries, intent) = (operation.place, operation.tries, operation.intent.clone());
        let is_order = matches!(intent, Intent::SetZone { .. });
        if tries == TRIES || is_order {
            self.operators.history.abandon(place);
        }
        if tries < TRIES {
            if is_order {
                let place = self.operators.history.invoke(intent);
                let operation = self.awaited(operator, attempt).expect("it was just there");
                operation.place = place;
            }
            return self.send_attempt(operator);
        }
        let state = &mut self.operators.operators[operator];
        state.open = None;
        state.idle_until = self.now + PAUSE_AFTER_GIVING_UP_MS;
    }

    /// An answer reaches the operator, which hears only the attempt that it waits for.
    pub(super) fn operator_answered(&mut self, operator: usize, attempt: u64, response: Response) {
        let Some(operation) = self.awaited(operator, attempt) else {
            return;
        };
        if response == Response::Later {
            return self.attempt_failed(operator, attempt);
        }
        let (place, intent) = (operation.place, operation.intent.clone());
        self.operators.history.respond(place, response.clone());
        let pause = self.draw(400);
        let state = &mut self.operators.operators[operator];
        state.open = None;
        state.idle_until = self.now + pause;
        match (intent, response) {
            (_, Response::Revision(revision)) => state.known_revision = revision,
            (Intent::Change { revision, .. }, Response::Taken) => state.known_revision = revision,
            _ => {}
        }
    }

    /// Judges what the operators were told, and lets them go.
    pub(super) fn judge_operators(&mut self) -> Result<(), String> {
        let operators = std::mem::take(&mut self.operators);
        self.report.operations_answered = operators.history.answered();
        self.report.operations_unanswered = operators.history.unanswered();
        operators
            .history
            .judge()
            .map_err(|text| format!("not linearizable: {text}"))
    }
}
