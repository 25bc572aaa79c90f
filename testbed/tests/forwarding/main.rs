//! Jobs that a router hands to a directory node whose connection breaks, falls silent
//! or says what it may not, at every place of the conversation.
//!
//! - `node`: a stand-in for the directory node, before a real router;
//! - `site`: that router and its clients;
//! - `directory`: a real directory node, before a stand-in for the router.

#[path = "../common/mod.rs"]
mod common;
mod directory;
mod node;
mod site;

use node::{Stage, Trouble};
use site::{Site, Told};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(40);
/// The deadline of most requests here.
const DEADLINE_MS: u64 = 9_000;
/// A little more than that, on a clock that a test moves on, and the patience of a client there.
const PAST_DEADLINE: Duration = Duration::from_secs(10);
const MOVED_PATIENCE: Duration = Duration::from_secs(15);
const KEY: &str = "ana-key-0001";
const OWN: &[u8] = b"the one right answer";

const PLACES: [Stage; 8] = [
    Stage::Connected,
    Stage::Welcomed,
    Stage::HeadRead,
    Stage::Mapped,
    Stage::BodyRead,
    Stage::AnswerBegun,
    Stage::HalfAnswered,
    Stage::AllButTheEnd,
];

/// Guards: a request that was handed on in part is never said not to have run unless the
/// node says so; one that may run once is handed on once; an answer without its end is
/// broken off; and the next request gets its own answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_conversation_that_breaks_anywhere() {
    let site = Site::start(0).await;
    let troubles = [
        Trouble::Reset,
        Trouble::Close,
        Trouble::HalfFrame,
        Trouble::Unexpected,
        Trouble::Foreign,
        Trouble::Declined { not_run: true },
        Trouble::Declined { not_run: false },
        Trouble::Silence,
    ];
    let mut wrong = Vec::new();
    for trouble in troubles {
        for place in PLACES {
            // `a_relayed_answer_without_an_end_is_broken_off_at_the_deadline` has these.
            if trouble == Trouble::Silence && place >= Stage::AnswerBegun {
                continue;
            }
            for route in ["once", "many"] {
                let id = format!("{route}-{place:?}-{trouble:?}")
                    .replace(|c: char| !c.is_ascii_alphanumeric() && c != '-', "");
                *site.node.script.lock() = Some((place, trouble));
                let before = site.node.handed.lock().len();
                let told = site.send(route, &id).await;
                let begun = site.node.handed.lock().len() - before;
                let is_declined = trouble == Trouble::Declined { not_run: true };
                let is_right = match place {
                    // Nothing was sent, and no engine stands here to go on with.
                    Stage::Connected => told == Told::NotRun && begun == 0,
                    _ if place >= Stage::AnswerBegun => told == Told::Broken && begun == 1,
                    _ if is_declined => told == Told::NotRun && begun == 1,
                    _ => told == Told::Unknown && begun == 1,
                };
                if !is_right || site.handed(&id) > 1 {
                    wrong.push(format!(
                        "{route}, {trouble:?} at {place:?}: {told:?}, {begun}"
                    ));
                }
                let next = site.send("once", &format!("next-{id}")).await;
                if next != Told::Own {
                    wrong.push(format!("after {route}, {trouble:?} at {place:?}: {next:?}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Moves the runtime's clock on, bit by bit, so that whoever waits begins to wait first.
async fn pass_time(time: Duration) {
    const STEP: Duration = Duration::from_secs(1);
    tokio::time::pause();
    for _ in 0..time.as_secs() {
        tokio::time::advance(STEP).await;
        tokio::task::yield_now().await;
    }
    tokio::time::resume();
}

/// Guards: an answer that a control node relays, and that falls silent within or goes on
/// without an end, is broken off at the client by the request's deadline, and does not look
/// whole. The clock is the runtime's own, moved on by the node that the test plays.
#[tokio::test]
async fn a_relayed_answer_without_an_end_is_broken_off_at_the_deadline() {
    let site = Site::start(1).await;
    for trouble in [Trouble::SilencePastDeadline, Trouble::TricklePastDeadline] {
        for place in [Stage::AnswerBegun, Stage::HalfAnswered, Stage::AllButTheEnd] {
            *site.node.script.lock() = Some((place, trouble));
            let id = format!("late-{place:?}-{trouble:?}").replace("Silence", "Quiet");
            let told = site.send_within("once", &id, MOVED_PATIENCE).await;
            assert_eq!(told, Told::Broken, "{id}");
            assert_eq!(site.handed(&id), 1, "{id}");
            let next = site.send("once", &format!("next-{id}")).await;
            assert_eq!(next, Told::Own, "after {id}");
        }
    }
}
