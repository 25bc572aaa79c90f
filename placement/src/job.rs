//! A job's way through a process, as a state chart.
//!
//! ```text
//! Arrived -> Keyed -> Mapped -> Elected -> Committed -> Answering -> Done
//!    |         |        ^         |  |         |            |
//!    |         |        +---------+  |         |            +-> Broken
//!    |         |     connect failed  |         +-> Broken (no head came)
//!    |         |                     |         +-> Mapped (nothing left, declined,
//!    |         |                     |             or repeatable and in budget)
//!    +---------+-> Handed -> Answering          (a directory node has it)
//!    any state before Answering -> Refused; any state -> Gone
//! ```

use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// The head is here.
    Arrived,
    /// Tenant and service are known, or known to be unreadable.
    Keyed,
    /// A mapping is here; an engine is to be elected.
    Mapped,
    /// An engine is elected; not a byte has gone to it.
    Elected,
    /// A byte may have reached an engine.
    Committed,
    /// The job is with a directory node, which has not answered yet.
    Handed,
    /// The engine's answer goes out.
    Answering,
    Done,
    /// Refused before any answer; see `outcome`.
    Refused,
    /// The answer ended before its end, visibly.
    Broken,
    /// The caller left.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    KeyRead,
    MappingFound,
    EngineElected,
    /// No connection came about: provably no byte was written.
    ConnectFailed,
    /// Said before the first byte is handed to the connection.
    BytesLeave,
    /// The connection ended, and not a byte was handed to it.
    NothingLeft,
    /// The engine said that it did not run the job.
    Declined,
    /// The connection broke before the head of an answer.
    AnswerLost,
    HandedOn,
    /// The directory node said that nothing ran.
    HandedBack,
    AnswerBegan,
    AnswerEnded,
    StreamBroke,
    Refuse,
    CallerLeft,
}

/// What a refusal or a break says of the job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    NotRun,
    Unknown,
    /// The engine answered; its own words say how.
    Ran,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Ran => "ran",
        })
    }
}

#[derive(Debug, PartialEq)]
pub struct Misstep {
    pub state: State,
    pub event: Event,
}

impl fmt::Display for Misstep {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} can't follow in state {:?}", self.event, self.state)
    }
}

/// Invariants: a job that is not repeatable is in `Committed` once at most,
/// unless the engine itself declined it; `may_have_run` falls back to false
/// only by the word of who had the job; after an answer byte there is no
/// further round.
#[derive(Clone, Copy)]
pub struct Job {
    state: State,
    is_repeatable: bool,
    may_have_run: bool,
    rounds: u32,
    most: u32,
    /// Engines that could not be reached.
    unreached: u32,
}

/// Engines that one job is sent to, at the most, where its route says nothing.
const ROUNDS: u32 = 3;
/// Engines that can't be reached, for one job.
const UNREACHED: u32 = 4;

impl Job {
    pub fn new(is_repeatable: bool) -> Job {
        Job {
            state: State::Arrived,
            is_repeatable,
            may_have_run: false,
            rounds: 0,
            most: ROUNDS,
            unreached: 0,
        }
    }

    /// Bounds the engines that it may be sent to.
    pub fn with_rounds(self, most: u32) -> Job {
        Job { most, ..self }
    }

    pub fn is_repeatable(&self) -> bool {
        self.is_repeatable
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn rounds(&self) -> u32 {
        self.rounds
    }

    pub fn outcome(&self) -> Outcome {
        match self.state {
            State::Answering | State::Done | State::Broken => match self.may_have_run {
                true if self.state == State::Broken => Outcome::Unknown,
                _ => Outcome::Ran,
            },
            _ if self.may_have_run => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Whether one more engine would be allowed by its rounds alone.
    pub fn may_have_another_round(&self) -> bool {
        self.rounds < self.most
    }

    /// Whether, from here, one more engine may be tried. `budget` is asked
    /// only where the round would be a repeat of work.
    pub fn may_go_on(&self, budget: &mut dyn FnMut() -> bool) -> bool {
        let is_past = self.rounds >= self.most || self.unreached >= UNREACHED;
        if self.state != State::Mapped || is_past {
            return false;
        }
        if self.may_have_run && !self.is_repeatable {
            return false;
        }
        self.rounds == 0 || budget()
    }

    pub fn step(&mut self, event: Event) -> Result<State, Misstep> {
        use Event as E;
        use State as S;
        let next = match (self.state, event) {
            (S::Arrived, E::KeyRead) => S::Keyed,
            (S::Keyed, E::MappingFound) => S::Mapped,
            (S::Mapped, E::EngineElected) if self.is_repeatable || !self.may_have_run => {
                self.rounds += 1;
                S::Elected
            }
            // Nothing was sent: it was no round.
            (S::Elected, E::ConnectFailed) => {
                self.rounds -= 1;
                self.unreached += 1;
                S::Mapped
            }
            (S::Elected, E::BytesLeave) => {
                self.may_have_run = true;
                S::Committed
            }
            (S::Committed, E::Declined) => {
                self.may_have_run = self.rounds > 1 && self.is_repeatable;
                S::Mapped
            }
            (S::Committed, E::NothingLeft) => {
                self.rounds -= 1;
                self.unreached += 1;
                self.may_have_run = self.rounds > 0 && self.is_repeatable;
                S::Mapped
            }
            (S::Committed, E::AnswerLost) if self.is_repeatable => S::Mapped,
            (S::Committed, E::AnswerLost) => S::Broken,
            (S::Keyed, E::HandedOn) => {
                self.may_have_run = true;
                S::Handed
            }
            (S::Handed, E::HandedBack) => {
                self.may_have_run = false;
                S::Keyed
            }
            (S::Handed, E::AnswerLost) if self.is_repeatable => S::Keyed,
            (S::Handed, E::AnswerLost) => S::Broken,
            (S::Committed | S::Handed, E::AnswerBegan) => S::Answering,
            (S::Answering, E::AnswerEnded) => S::Done,
            (S::Answering, E::StreamBroke) => S::Broken,
            (S::Answering | S::Done | S::Broken | S::Refused | S::Gone, E::Refuse) => {
                return Err(Misstep {
                    state: self.state,
                    event,
                })
            }
            (_, E::Refuse) => S::Refused,
            (S::Done | S::Broken | S::Refused, E::CallerLeft) => self.state,
            (_, E::CallerLeft) => S::Gone,
            (state, event) => return Err(Misstep { state, event }),
        };
        self.state = next;
        Ok(next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Event::*;

    /// Guards: nothing non-repeatable runs twice; `not-run` is true.
    #[test]
    fn the_chart_case_by_case() {
        let start = [KeyRead, MappingFound, EngineElected];
        let cases: Vec<(bool, &[Event], State, Outcome)> = vec![
            (false, &[], State::Elected, Outcome::NotRun),
            (false, &[ConnectFailed], State::Mapped, Outcome::NotRun),
            (
                false,
                &[ConnectFailed, Refuse],
                State::Refused,
                Outcome::NotRun,
            ),
            (false, &[BytesLeave], State::Committed, Outcome::Unknown),
            (
                false,
                &[BytesLeave, AnswerLost],
                State::Broken,
                Outcome::Unknown,
            ),
            (
                false,
                &[BytesLeave, Declined],
                State::Mapped,
                Outcome::NotRun,
            ),
            (
                false,
                &[BytesLeave, NothingLeft],
                State::Mapped,
                Outcome::NotRun,
            ),
            (
                false,
                &[BytesLeave, Refuse],
                State::Refused,
                Outcome::Unknown,
            ),
            (
                false,
                &[BytesLeave, CallerLeft],
                State::Gone,
                Outcome::Unknown,
            ),
            (
                true,
                &[BytesLeave, AnswerLost],
                State::Mapped,
                Outcome::Unknown,
            ),
            (
                true,
                &[BytesLeave, AnswerLost, Refuse],
                State::Refused,
                Outcome::Unknown,
            ),
            (
                true,
                &[BytesLeave, AnswerLost, EngineElected, BytesLeave, Declined],
                State::Mapped,
                Outcome::Unknown,
            ),
            (
                false,
                &[BytesLeave, AnswerBegan, AnswerEnded],
                State::Done,
                Outcome::Ran,
            ),
            (
                false,
                &[BytesLeave, AnswerBegan, StreamBroke],
                State::Broken,
                Outcome::Unknown,
            ),
        ];
        for (is_repeatable, events, state, outcome) in cases {
            let mut job = Job::new(is_repeatable);
            for event in start.iter().chain(events) {
                job.step(*event)
                    .expect("every case is a way through the chart");
            }
            assert_eq!((job.state(), job.outcome()), (state, outcome), "{events:?}");
        }
    }

    #[test]
    fn what_the_chart_forbids() {
        let cases: Vec<(bool, Vec<Event>, Event)> = vec![
            (false, vec![], BytesLeave),
            (false, vec![KeyRead, MappingFound], BytesLeave),
            (
                false,
                vec![KeyRead, MappingFound, EngineElected, BytesLeave],
                EngineElected,
            ),
            (true, vec![KeyRead, HandedOn, AnswerBegan], EngineElected),
            (true, vec![KeyRead, HandedOn, AnswerBegan], Refuse),
            (true, vec![KeyRead, HandedOn], MappingFound),
            (false, vec![KeyRead, HandedOn, AnswerLost], HandedOn),
            (false, vec![KeyRead, HandedOn, AnswerLost], MappingFound),
        ];
        for (is_repeatable, events, forbidden) in cases {
            let mut job = Job::new(is_repeatable);
            events.iter().for_each(|event| {
                job.step(*event).expect("the way there is allowed");
            });
            assert!(
                job.step(forbidden).is_err(),
                "{events:?} then {forbidden:?}"
            );
        }
    }

    proptest::proptest! {
        /// Whatever happens in whatever order, a job that is not repeatable
        /// never commits again after a commit that was not declined.
        #[test]
        fn once_is_once(picks in proptest::collection::vec(0usize..15, 0..40)) {
            let all = [
                KeyRead, MappingFound, EngineElected, ConnectFailed, BytesLeave, Declined,
                NothingLeft, AnswerLost, HandedOn, HandedBack, AnswerBegan, AnswerEnded, StreamBroke,
                Refuse, CallerLeft,
            ];
            let mut job = Job::new(false);
            let mut at_large = false;
            for pick in picks {
                let Ok(_) = job.step(all[pick]) else { continue };
                match all[pick] {
                    BytesLeave | HandedOn => {
                        assert!(!at_large);
                        at_large = true;
                    }
                    Declined | NothingLeft | HandedBack => at_large = false,
                    _ => {}
                }
                assert!(!at_large || job.outcome() != Outcome::NotRun);
            }
        }
    }
}
