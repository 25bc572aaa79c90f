//! Orders that a cut holds back on their way to the leader.

mod common;

use common::{Nodes, PATIENCE};
use consensus::{Message, MessageBody};
use directory::{CommandError, Committed, ControlPlane};
use protocol::{Frame, PeerRequest, PeerResponse, Validity};
use residency::{Command, Name, Outcome, Proposal};
use std::sync::Arc;
use std::time::Duration;

/// A deadline that no cut is longer than.
const NEVER_MS: u64 = u64::MAX;

fn evacuate() -> Command {
    Command::EvacuateZone(Name::from("n-a"))
}

fn reinstate() -> Command {
    Command::ReinstateZone(Name::from("n-a"))
}

/// Guards: an evacuation that a cut held back, and whose caller has gone, does not
/// empty the zone again after the operator took it back: the log refuses it by what
/// it was built on, and the leader by its term and by its deadline.
#[tokio::test]
async fn a_late_evacuation_empties_nothing() {
    let mut nodes = Nodes::start(1).await;
    let (leader, follower) = nodes.roles().await;
    nodes.hold(true);
    let order = tokio::spawn(async move {
        follower
            .execute("held".into(), evacuate(), PATIENCE, PATIENCE)
            .await
    });
    let held = nodes.next_held().await;
    order.abort();
    nodes.hold(false);
    nodes.must(&leader, "by another way", evacuate()).await;
    assert!(nodes.is_evacuated("n-a").await);
    nodes.must(&leader, "taken back", reinstate()).await;

    let Validity { term, deadline_ms } = held.validity;
    assert_eq!(Some(term), leader.leader_term());
    assert!(deadline_ms > 0, "the leader's clock is known by then");
    held.release(Validity {
        term,
        deadline_ms: NEVER_MS,
    })
    .await;
    let reply = nodes.reply_to(held.number).await;
    assert!(
        matches!(reply, PeerResponse::Proposed(Outcome::Conflict { .. })),
        "{reply:?}"
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
        held.release(validity).await;
        assert_eq!(
            nodes.reply_to(held.number).await,
            PeerResponse::NotLeader,
            "{validity:?}"
        );
    }
    assert!(!nodes.is_evacuated("n-a").await);
}

/// Guards: the end of an evacuation that a cut held back does not undo a newer
/// evacuation, also if that one found the zone evacuated already.
#[tokio::test]
async fn a_late_end_undoes_nothing() {
    let mut nodes = Nodes::start(2).await;
    let (leader, follower) = nodes.roles().await;
    nodes.must(&leader, "first", evacuate()).await;
    nodes.hold(true);
    let order = tokio::spawn(async move {
        follower
            .execute("held".into(), reinstate(), PATIENCE, PATIENCE)
            .await
    });
    let held = nodes.next_held().await;
    order.abort();
    nodes.hold(false);
    nodes.must(&leader, "second", evacuate()).await;
    held.release(Validity {
        deadline_ms: NEVER_MS,
        ..held.validity
    })
    .await;
    let reply = nodes.reply_to(held.number).await;
    assert!(
        matches!(reply, PeerResponse::Proposed(Outcome::Conflict { .. })),
        "{reply:?}"
    );
    assert!(nodes.is_evacuated("n-a").await);
}

/// Guards: an order is never refused for being late. Its caller still waits, so it is
/// built anew on what is in force by then.
#[tokio::test]
async fn an_order_whose_caller_waits_is_decided_anew() {
    let mut nodes = Nodes::start(3).await;
    let (leader, follower) = nodes.roles().await;
    nodes.hold(true);
    let order = tokio::spawn(async move {
        follower
            .execute("held".into(), evacuate(), PATIENCE, PATIENCE)
            .await
    });
    let held = nodes.next_held().await;
    nodes.must(&leader, "by another way", evacuate()).await;
    nodes.must(&leader, "taken back", reinstate()).await;
    nodes.hold(false);
    held.release(Validity {
        deadline_ms: NEVER_MS,
        ..held.validity
    })
    .await;
    let reply = nodes.reply_to(held.number).await;
    assert!(
        matches!(reply, PeerResponse::Proposed(Outcome::Conflict { .. })),
        "{reply:?}"
    );
    let reply = order.await.expect("nobody panics");
    assert!(
        matches!(
            reply,
            Ok(Committed {
                is_repeated: false,
                ..
            })
        ),
        "{reply:?}"
    );
    assert!(nodes.is_evacuated("n-a").await);
    // A repeat of it is known, and changes nothing that came after.
    nodes.must(&leader, "taken back again", reinstate()).await;
    let again = leader
        .execute("held".into(), evacuate(), PATIENCE, PATIENCE)
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

/// Guards: who has waited in vain for longer than the time for contact may have gone to
/// another node, and on to an order to the contrary; its order is not decided anew.
#[tokio::test]
async fn an_order_that_waited_too_long_is_not_decided_anew() {
    let mut nodes = Nodes::start(7).await;
    let (leader, follower) = nodes.roles().await;
    nodes.hold(true);
    let contact = Duration::from_millis(500);
    let order = tokio::spawn(async move {
        follower
            .execute("held".into(), evacuate(), contact, PATIENCE)
            .await
    });
    let held = nodes.next_held().await;
    // By now the time for contact has begun, and is over so much later.
    let begun = transport::now();
    let mut turn = 0;
    while turn == 0 || transport::now() <= begun + contact.as_millis() as u64 {
        nodes
            .must(&leader, &format!("evacuated {turn}"), evacuate())
            .await;
        nodes
            .must(&leader, &format!("taken back {turn}"), reinstate())
            .await;
        turn += 1;
    }
    nodes.hold(false);
    held.release(Validity {
        deadline_ms: NEVER_MS,
        ..held.validity
    })
    .await;
    let reply = nodes.reply_to(held.number).await;
    assert!(
        matches!(reply, PeerResponse::Proposed(Outcome::Conflict { .. })),
        "{reply:?}"
    );
    let reply = order.await.expect("nobody panics");
    assert_eq!(
        reply,
        Err(CommandError::NoLeader),
        "it is asked to send the order again"
    );
    assert!(!nodes.is_evacuated("n-a").await);
}

/// Guards: once its caller's patience has ended, nothing more is submitted for an
/// order, and what is still on its way is void by its deadline.
#[tokio::test]
async fn past_its_callers_patience_an_order_is_void() {
    let mut nodes = Nodes::start(4).await;
    let (leader, follower) = nodes.roles().await;
    nodes.hold(true);
    let patience = Duration::from_millis(2_000);
    let asked = transport::now();
    let reply = follower
        .execute("held".into(), evacuate(), PATIENCE, patience)
        .await;
    let ended = transport::now();
    let is_outcome = matches!(
        reply,
        Ok(_) | Err(CommandError::Conflict { .. } | CommandError::Rejected { .. })
    );
    assert!(!is_outcome, "{reply:?}");
    let mut held = vec![nodes.next_held().await];
    held.extend(nodes.others_held());
    nodes.hold(false);
    let until = asked + patience.as_millis() as u64;
    for held in &held {
        assert!(
            held.validity.deadline_ms <= until,
            "nodes of one process share a clock"
        );
    }
    assert!(ended >= until);
    for held in &held {
        held.release(held.validity).await;
        assert_eq!(nodes.reply_to(held.number).await, PeerResponse::NotLeader);
    }
    // What the follower submits next is something else.
    nodes.hold(true);
    let next = Arc::clone(&follower);
    let order = tokio::spawn(async move {
        next.execute("next".into(), reinstate(), PATIENCE, PATIENCE)
            .await
    });
    let PeerRequest::Propose(proposal) = nodes.next_held().await.question else {
        panic!("proposals alone are held")
    };
    assert_eq!(proposal.id, "next");
    order.abort();
    nodes.hold(false);
    assert!(!nodes.is_evacuated("n-a").await);
    drop(leader);
}

/// Guards: a leader that has not committed in its own term yet, and so may not know
/// what former leaders committed, refuses nothing by its own state.
#[tokio::test]
async fn a_new_leader_refuses_nothing_by_an_old_state() {
    let nodes = Nodes::start(6).await;
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
    nodes.must(&leader, "a zone more", revise).await;
    assert!(third.read_barrier_within(PATIENCE).await);
    let base = third.with_state(|state| state.epoch());
    assert!(base > known);
    // It takes over, and no response tells it of a majority before the order is there.
    let mut is_asked = false;
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
            vec![frame]
        }
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
    let reply = third.submit(proposal, PATIENCE).await;
    assert!(
        matches!(
            reply,
            Ok(Committed {
                is_repeated: false,
                ..
            })
        ),
        "{reply:?}"
    );
}

/// Guards: what a node found due while it led is not proposed in another term, nor by
/// another leader in its place.
#[tokio::test]
async fn what_a_leader_finds_due_counts_in_its_term() {
    let nodes = Nodes::start(5).await;
    let (leader, follower) = nodes.roles().await;
    let term = leader.leader_term().expect("it leads");
    let proposal = |id: &str| Proposal {
        id: id.into(),
        base_epoch: 0,
        command: Command::SetRouterCount(3),
    };
    for (control_plane, term) in [(&leader, term - 1), (&leader, term + 1), (&follower, term)] {
        let reply = control_plane
            .submit_as_leader(proposal("late"), term, PATIENCE)
            .await;
        assert_eq!(reply, Err(CommandError::NoLeader));
    }
    let reply = leader
        .submit_as_leader(proposal("due"), term, PATIENCE)
        .await;
    assert!(
        matches!(
            reply,
            Ok(Committed {
                is_repeated: false,
                ..
            })
        ),
        "{reply:?}"
    );
}
