//! Commands that a network partition delays on their way to the leader.

use crate::common::{Nodes, PATIENCE};
use consensus::{Message, MessageBody};
use directory::{CommandError, Committed, ControlPlane};
use protocol::{Frame, PeerRequest, PeerResponse, Validity};
use residency::{Command, Name, Outcome, Proposal, State};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A deadline that no partition is longer than.
const NEVER_MS: u64 = u64::MAX;

fn evacuate() -> Command {
    Command::EvacuateZone(Name::from("n-a"))
}

fn reinstate() -> Command {
    Command::ReinstateZone(Name::from("n-a"))
}

/// Guards: an evacuation that a partition delayed, and whose client has gone, does not
/// evacuate the zone again after the operator reinstated it: the log rejects it by its
/// base, and the leader by its term and by its deadline.
#[tokio::test]
async fn a_delayed_evacuation_changes_nothing() {
    let mut nodes = Nodes::start(1).await;
    let (leader, follower) = nodes.roles().await;
    nodes.delay_proposals(true);
    let pending = tokio::spawn(async move {
        follower
            .execute("delayed".into(), evacuate(), PATIENCE, PATIENCE)
            .await
    });
    let delayed = nodes.next_delayed().await;
    pending.abort();
    nodes.delay_proposals(false);
    nodes.apply(&leader, "by another way", evacuate()).await;
    assert!(nodes.is_evacuated("n-a").await);
    nodes.apply(&leader, "reinstated", reinstate()).await;

    let Validity { term, deadline_ms } = delayed.validity;
    assert_eq!(Some(term), leader.leader_term());
    assert!(deadline_ms > 0, "the leader's clock is known by then");
    delayed
        .release(Validity {
            term,
            deadline_ms: NEVER_MS,
        })
        .await;
    let response = nodes.response_to(delayed.request_id).await;
    assert!(
        matches!(response, PeerResponse::Proposed(Outcome::Conflict { .. })),
        "{response:?}"
    );
    for validity in [
        Validity {
            term: term - 1,
            deadline_ms: NEVER_MS,
        },
        Validity {
            term: term + 1,
            deadline_ms: NEVER_MS,
        },
        Validity {
            term,
            deadline_ms: 0,
        },
        Validity {
            term,
            deadline_ms: transport::now(),
        },
    ] {
        delayed.release(validity).await;
        assert_eq!(
            nodes.response_to(delayed.request_id).await,
            PeerResponse::NotLeader,
            "{validity:?}"
        );
    }
    assert!(!nodes.is_evacuated("n-a").await);
}

/// Guards: a reinstatement that a partition delayed does not undo a newer evacuation,
/// also if that one found the zone evacuated already.
#[tokio::test]
async fn a_delayed_reinstatement_undoes_nothing() {
    let mut nodes = Nodes::start(2).await;
    let (leader, follower) = nodes.roles().await;
    nodes.apply(&leader, "first", evacuate()).await;
    nodes.delay_proposals(true);
    let pending = tokio::spawn(async move {
        follower
            .execute("delayed".into(), reinstate(), PATIENCE, PATIENCE)
            .await
    });
    let delayed = nodes.next_delayed().await;
    pending.abort();
    nodes.delay_proposals(false);
    nodes.apply(&leader, "second", evacuate()).await;
    delayed
        .release(Validity {
            deadline_ms: NEVER_MS,
            ..delayed.validity
        })
        .await;
    let response = nodes.response_to(delayed.request_id).await;
    assert!(
        matches!(response, PeerResponse::Proposed(Outcome::Conflict { .. })),
        "{response:?}"
    );
    assert!(nodes.is_evacuated("n-a").await);
}

/// Guards: a command is never rejected for being late. Its client still waits, so it is
/// rebuilt on what is in force by then.
#[tokio::test]
async fn a_command_whose_client_waits_is_rebuilt() {
    let mut nodes = Nodes::start(3).await;
    let (leader, follower) = nodes.roles().await;
    nodes.delay_proposals(true);
    let pending = tokio::spawn(async move {
        follower
            .execute("delayed".into(), evacuate(), PATIENCE, PATIENCE)
            .await
    });
    let delayed = nodes.next_delayed().await;
    nodes.apply(&leader, "by another way", evacuate()).await;
    nodes.apply(&leader, "reinstated", reinstate()).await;
    nodes.delay_proposals(false);
    delayed
        .release(Validity {
            deadline_ms: NEVER_MS,
            ..delayed.validity
        })
        .await;
    let response = nodes.response_to(delayed.request_id).await;
    assert!(
        matches!(response, PeerResponse::Proposed(Outcome::Conflict { .. })),
        "{response:?}"
    );
    let response = pending.await.expect("nobody panics");
    assert!(
        matches!(
            response,
            Ok(Committed {
                is_repeated: false,
                ..
            })
        ),
        "{response:?}"
    );
    assert!(nodes.is_evacuated("n-a").await);
    // A repeat of it is known, and changes nothing that came after.
    nodes.apply(&leader, "reinstated again", reinstate()).await;
    let again = leader
        .execute("delayed".into(), evacuate(), PATIENCE, PATIENCE)
        .await;
    assert!(
        matches!(
            again,
            Ok(Committed {
                is_repeated: true,
                ..
            })
        ),
        "{again:?}"
    );
    assert!(!nodes.is_evacuated("n-a").await);
}

/// Guards: a client that has waited in vain for longer than the time for the read barrier
/// may have gone to another node, and on to a command to the contrary; its command is not
/// rebuilt.
#[tokio::test]
async fn a_command_that_waited_too_long_is_not_rebuilt() {
    let mut nodes = Nodes::start(7).await;
    let (leader, follower) = nodes.roles().await;
    nodes.delay_proposals(true);
    let contact = Duration::from_millis(500);
    let pending = tokio::spawn(async move {
        follower
            .execute("delayed".into(), evacuate(), contact, PATIENCE)
            .await
    });
    let delayed = nodes.next_delayed().await;
    // By now the time for the barrier has started, and is over so much later.
    let started = transport::now();
    let mut turn = 0;
    while turn == 0 || transport::now() <= started + contact.as_millis() as u64 {
        nodes
            .apply(&leader, &format!("evacuated {turn}"), evacuate())
            .await;
        nodes
            .apply(&leader, &format!("reinstated {turn}"), reinstate())
            .await;
        turn += 1;
    }
    nodes.delay_proposals(false);
    delayed
        .release(Validity {
            deadline_ms: NEVER_MS,
            ..delayed.validity
        })
        .await;
    let response = nodes.response_to(delayed.request_id).await;
    assert!(
        matches!(response, PeerResponse::Proposed(Outcome::Conflict { .. })),
        "{response:?}"
    );
    let response = pending.await.expect("nobody panics");
    assert_eq!(
        response,
        Err(CommandError::NoLeader),
        "it is asked to send the command again"
    );
    assert!(!nodes.is_evacuated("n-a").await);
}

/// Guards: once its client's time-out has ended, nothing more is submitted for a command,
/// and what is still on its way is void by its deadline.
#[tokio::test]
async fn past_its_clients_timeout_a_command_is_void() {
    let mut nodes = Nodes::start(4).await;
    let (leader, follower) = nodes.roles().await;
    nodes.delay_proposals(true);
    let patience = Duration::from_millis(2_000);
    let asked = transport::now();
    let response = follower
        .execute("delayed".into(), evacuate(), PATIENCE, patience)
        .await;
    let ended = transport::now();
    let is_outcome = matches!(
        response,
        Ok(_) | Err(CommandError::Conflict { .. } | CommandError::Rejected { .. })
    );
    assert!(!is_outcome, "{response:?}");
    let mut delayed = vec![nodes.next_delayed().await];
    delayed.extend(nodes.other_delayed());
    nodes.delay_proposals(false);
    let until = asked + patience.as_millis() as u64;
    for delayed in &delayed {
        assert!(
            delayed.validity.deadline_ms <= until,
            "nodes of one process share a clock"
        );
    }
    assert!(ended >= until);
    for delayed in &delayed {
        delayed.release(delayed.validity).await;
        assert_eq!(
            nodes.response_to(delayed.request_id).await,
            PeerResponse::NotLeader
        );
    }
    // What the follower submits next is something else.
    nodes.delay_proposals(true);
    let next = Arc::clone(&follower);
    let pending = tokio::spawn(async move {
        next.execute("next".into(), reinstate(), PATIENCE, PATIENCE)
            .await
    });
    let PeerRequest::Propose(proposal) = nodes.next_delayed().await.request else {
        panic!("proposals alone are delayed")
    };
    assert_eq!(proposal.id, "next");
    pending.abort();
    nodes.delay_proposals(false);
    assert!(!nodes.is_evacuated("n-a").await);
    drop(leader);
}

/// Guards: a leader that has not committed in its own term yet, and so may not know
/// what former leaders committed, rejects nothing by its own state.
#[tokio::test]
async fn a_new_leader_rejects_nothing_by_old_state() {
    propose_at_new_leader(Nodes::start(6).await, Answer::Arrives).await;
}

/// Guards: a command is applied once, and not rejected, when its answer is lost and it is sent
/// again to a new leader.
#[tokio::test]
async fn a_new_leader_answers_a_command_again_whose_answer_was_lost() {
    let sent = propose_at_new_leader(Nodes::start(8).await, Answer::IsLostOnce).await;
    assert!(sent > 1, "its answer was not lost");
}

/// What becomes of the first answer to a command.
#[derive(Clone, Copy, PartialEq)]
enum Answer {
    Arrives,
    IsLostOnce,
}

/// Submits a command at a leader that has just been elected; returns how often it was sent.
async fn propose_at_new_leader(nodes: Nodes, answer: Answer) -> usize {
    let (leader, next) = nodes.roles().await;
    let (leader_id, next_id) = (leader.member.identity, next.member.identity);
    let is_third = |control_plane: &&Arc<ControlPlane>| {
        ![leader_id, next_id].contains(&control_plane.member.identity)
    };
    let third = nodes
        .control_planes
        .iter()
        .find(is_third)
        .expect("there are three");
    // The next leader gets the entry, and does not hear that it is committed.
    let known = next.with_state(|state| state.epoch());
    nodes.set_filter(Box::new(move |mut frame| {
        if let Frame::Consensus(Message {
            to,
            body: MessageBody::AppendEntries { leader_commit, .. },
            ..
        }) = &mut frame
        {
            *leader_commit = if *to == next_id {
                known.min(*leader_commit)
            } else {
                *leader_commit
            };
        }
        vec![frame]
    }));
    let text = r#"{"zones":{"x-a":{"region":"x"}},"cells":{"x-1":{"zone":"x-a"}}}"#;
    let revise = Command::UpdateTopology {
        mode: residency::UpdateMode::Patch,
        text: text.into(),
    };
    nodes.apply(&leader, "a zone more", revise).await;
    assert!(third.read_barrier_within(PATIENCE).await);
    let base = third.with_state(|state| state.epoch());
    assert!(base > known);
    // It takes over, and no response tells it of a majority before the command is there.
    let mut is_asked = false;
    let proposals_sent = Arc::new(AtomicUsize::new(0));
    let sent = Arc::clone(&proposals_sent);
    let mut loses_answer = answer == Answer::IsLostOnce;
    nodes.set_filter(Box::new(move |frame| match frame {
        Frame::Consensus(Message {
            from,
            to,
            cluster,
            term,
            body: MessageBody::AppendEntries { .. },
        }) if from == leader_id && to == next_id => {
            let body = MessageBody::TimeoutNow;
            vec![Frame::Consensus(Message {
                from,
                to,
                cluster,
                term,
                body,
            })]
        }
        Frame::Consensus(Message {
            from,
            to,
            body: MessageBody::AppendEntriesResponse { .. },
            ..
        }) if to == next_id && (from == leader_id || !is_asked) => Vec::new(),
        Frame::PeerRequest {
            validity,
            request: PeerRequest::Propose(_),
            ..
        } => {
            is_asked |= validity.deadline_ms > 0;
            sent.fetch_add(1, Ordering::Relaxed);
            vec![frame]
        }
        Frame::PeerResponse {
            response: PeerResponse::Proposed(_),
            ..
        } if std::mem::take(&mut loses_answer) => Vec::new(),
        frame => vec![frame],
    }));
    let command = Command::EvacuateZone(Name::from("x-a"));
    let proposal = Proposal {
        id: "at once".into(),
        base_epoch: base,
        command,
    };
    let mut cluster_status = next.leader_term();
    while cluster_status.is_none() {
        tokio::task::yield_now().await;
        cluster_status = next.leader_term();
    }
    assert_eq!(
        next.with_state(|state| state.epoch()),
        known,
        "it knows nothing of the zone yet"
    );
    let response = third.submit(proposal, PATIENCE).await;
    let committed = response.expect("nothing is rejected");
    // A proposal whose answer is late is sent again, and answered as a repeat.
    let sent = proposals_sent.load(Ordering::Relaxed);
    assert!(
        !committed.is_repeated || sent > 1,
        "{committed:?}, sent {sent} times"
    );
    assert!(committed.is_repeated || answer == Answer::Arrives);
    assert!(third.read_barrier_within(PATIENCE).await);
    let is_evacuated = |state: &State| state.view.evacuated.contains("x-a");
    assert!(third.with_state(is_evacuated), "it is applied");
    sent
}

/// Guards: what a node found due while it led is not proposed in another term, nor by
/// another leader in its place.
#[tokio::test]
async fn what_a_leader_finds_due_is_proposed_in_its_term_only() {
    let nodes = Nodes::start(5).await;
    let (leader, follower) = nodes.roles().await;
    let term = leader.leader_term().expect("it leads");
    let proposal = |id: &str| Proposal {
        id: id.into(),
        base_epoch: 0,
        command: Command::SetRouterCount(3),
    };
    for (control_plane, term) in [(&leader, term - 1), (&leader, term + 1), (&follower, term)] {
        let response = control_plane
            .submit_as_leader(proposal("late"), term, PATIENCE)
            .await;
        assert_eq!(response, Err(CommandError::NoLeader));
    }
    let response = leader
        .submit_as_leader(proposal("due"), term, PATIENCE)
        .await;
    assert!(
        matches!(
            response,
            Ok(Committed {
                is_repeated: false,
                ..
            })
        ),
        "{response:?}"
    );
}
