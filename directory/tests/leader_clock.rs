//! Deadlines by another machine's clock.

use directory::leader_clock::{is_valid, LeaderClock};
use protocol::{PeerRequest, Validity};
use residency::{Command, Proposal};

const LEADER: u64 = 7;
const TERM: u64 = 3;

fn submit() -> PeerRequest {
    let command = Command::EvacuateZone("n-a".into());
    PeerRequest::Propose(Proposal {
        id: "one".into(),
        base_epoch: 1,
        command,
    })
}

/// Guards: however far the clocks are apart and however long replies travel, a
/// request is never acted on past its asker's patience, and it is in time if it
/// travels no longer than the patience less the way of the quickest reply.
#[test]
fn a_deadline_holds_across_clocks() {
    for ahead in [-5_000_000i64, -40, 0, 40, 5_000_000] {
        let leader_clock = |here: u64| here.strict_add_signed(ahead);
        for ways in [vec![0], vec![30], vec![900, 30, 400]] {
            let mut clock = LeaderClock::default();
            let mut now = 9_000_000;
            for way in &ways {
                clock.learn(LEADER, TERM, leader_clock(now), now + way);
                now += way;
            }
            let until = now + 1_500;
            let quickest = ways.iter().min().expect("one at least");
            let validity = clock.validity(LEADER, TERM, until);
            for (at, wanted) in [
                (now, true),
                (until - quickest - 1, true),
                (until, false),
                (until + 20_000, false),
            ] {
                let found = is_valid(&submit(), validity, TERM, leader_clock(at));
                assert_eq!(found, wanted, "ahead {ahead}, ways {ways:?}, at {at}");
            }
        }
    }
}

#[test]
fn a_clock_is_of_one_leader_in_one_term() {
    let mut clock = LeaderClock::default();
    assert_eq!(clock.validity(LEADER, TERM, 500).deadline_ms, 0);
    clock.learn(LEADER, TERM, 1_000, 100);
    assert_eq!(clock.validity(LEADER, TERM, 500).deadline_ms, 1_400);
    assert_eq!(clock.validity(LEADER, TERM + 1, 500).deadline_ms, 0);
    assert_eq!(clock.validity(LEADER + 1, TERM, 500).deadline_ms, 0);
    // The process that leads in a later term may have started again meanwhile.
    clock.learn(LEADER, TERM + 1, 50, 200);
    assert_eq!(clock.validity(LEADER, TERM + 1, 500).deadline_ms, 350);
}

#[test]
fn a_request_is_valid_in_the_term_it_was_made_in() {
    let confirm = PeerRequest::ReadIndex {
        demands: Vec::new(),
    };
    let cases = [
        (submit(), TERM, 101, true),
        (submit(), TERM, 100, false),
        (submit(), TERM, 0, false),
        (submit(), TERM - 1, 101, false),
        (submit(), TERM + 1, 101, false),
        (PeerRequest::RemoveMember { identity: 9 }, TERM, 100, false),
        // It only reads: a late one finds nobody waiting.
        (confirm.clone(), TERM, 0, true),
        (confirm, TERM - 1, 0, false),
    ];
    for (request, term, deadline_ms, wanted) in cases {
        let validity = Validity { term, deadline_ms };
        assert_eq!(
            is_valid(&request, validity, TERM, 100),
            wanted,
            "{request:?} {validity:?}"
        );
    }
}
