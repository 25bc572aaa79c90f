//! Long frames are compressed on the wire; what is no compressed frame is refused.

use consensus::{Entry, EntryPayload, Message, MessageBody};
use protocol::codec::{decode_within, LENGTH_BYTES};
use protocol::{decode, encode, Frame, FrameError, MAX_FRAME_BYTES};
use residency::{Event, Name};

const COMPRESSED_KIND: u8 = 3;

fn rules(routes: usize) -> String {
    let route = |number: usize| {
        let path = number * 7_919 % 10_007;
        format!("route r-{number} on app any \"/p{path}/*\" to service writer once deadline 3s\n")
    };
    (0..routes).map(route).collect()
}

fn snapshot(routes: usize) -> Frame {
    Frame::Snapshot {
        epoch: 7,
        events: vec![Event::Rules(Name(rules(routes)))],
    }
}

fn content(frame: &Frame) -> Vec<u8> {
    encode(frame)[LENGTH_BYTES..].to_vec()
}

#[test]
fn long_frames_of_the_control_plane_are_compressed() {
    let entry = Entry {
        index: 1,
        term: 1,
        payload: EntryPayload::Command(rules(300).into_bytes()),
    };
    let append = Frame::Consensus(Message {
        from: 1,
        to: 2,
        cluster: 7,
        term: 1,
        body: MessageBody::AppendEntries {
            prev_log_index: 0,
            prev_log_term: 0,
            leader_commit: 0,
            round: 1,
            entries: vec![entry],
        },
    });
    for (frame, plain_bytes) in [
        (snapshot(300), rules(300).len()),
        (append, rules(300).len()),
    ] {
        let content = content(&frame);
        assert_eq!(content[0], COMPRESSED_KIND);
        assert!(content.len() * 4 < plain_bytes, "{} bytes", content.len());
        assert_eq!(decode(&content), Ok(frame));
    }
}

#[test]
fn short_frames_and_clients_bytes_are_sent_as_they_are() {
    for frame in [snapshot(3), Frame::ResponseBody(vec![7; 100_000])] {
        let content = content(&frame);
        assert_ne!(content[0], COMPRESSED_KIND);
        assert_eq!(decode(&content), Ok(frame));
    }
}

/// Guards: what few bytes claim to hold takes no memory beyond a multiple of them.
#[test]
fn a_content_that_shrinks_too_far_is_sent_as_it_is() {
    let frame = Frame::Snapshot {
        epoch: 7,
        events: vec![Event::Rules(Name(" ".repeat(1 << 20)))],
    };
    let content = content(&frame);
    assert_ne!(content[0], COMPRESSED_KIND);
    assert_eq!(decode(&content), Ok(frame));
}

#[test]
fn what_is_no_compressed_frame_is_refused_with_the_reason() {
    let good = content(&snapshot(300));
    let with_length = |length: u32| {
        let mut bytes = good.clone();
        bytes[1..5].copy_from_slice(&length.to_be_bytes());
        bytes
    };
    let stated = u32::from_be_bytes(good[1..5].try_into().expect("four bytes"));
    let mut longer = good.clone();
    longer.push(0);
    let mut noise = good[..5].to_vec();
    noise.extend([0xff; 400]);
    let cases = [
        ("without a length", vec![COMPRESSED_KIND, 0, 0]),
        ("without a content", good[..5].to_vec()),
        ("cut", good[..good.len() - 9].to_vec()),
        ("bytes behind it", longer),
        ("noise", noise),
        ("less than it holds", with_length(stated - 1)),
        ("more than it holds", with_length(stated + 1)),
        ("more than it can hold", with_length(u32::MAX >> 8)),
        ("more than a frame may hold", with_length(u32::MAX)),
    ];
    for (case, bytes) in cases {
        let error = decode(&bytes).expect_err(case);
        assert!(!error.to_string().is_empty(), "{case}");
    }
    let limit_bytes = stated as usize - 1;
    let too_long = FrameError::TooLong {
        length_bytes: stated as usize,
        limit_bytes,
    };
    assert_eq!(decode_within(&good, limit_bytes), Err(too_long));
    assert!(decode_within(&good, MAX_FRAME_BYTES).is_ok());
}
