//! Bytes that are no frame are refused with an error that says what was expected.

use proptest::prelude::*;
use protocol::{check_version, codec, decode, encode, ConnectionKind, Frame, FrameError, VERSION};

#[test]
fn garbage_is_rejected_without_a_panic() {
    let cases: Vec<Vec<u8>> = vec![
        vec![],
        vec![0],
        vec![255; 40],
        vec![1, 0, 1, 9],
        vec![31, 255, 255, 255, 255, 1],
        vec![13, 0, 0, 0, 0, 0, 0, 0, 1, 255, 255, 255, 255],
    ];
    for bytes in cases {
        assert!(decode(&bytes).is_err(), "{bytes:?}");
    }
    let mut long = encode(&Frame::RequestEnd)[4..].to_vec();
    long.push(0);
    assert!(decode(&long).is_err(), "bytes past the end are refused");
}

#[test]
fn an_error_says_what_was_expected_and_what_was_seen() {
    let hello = encode(&Frame::Hello {
        version: VERSION,
        kind: ConnectionKind::Peer,
        name: "d1".into(),
    });
    let content = &hello[codec::LENGTH_BYTES..];
    let cut = &content[..content.len() - 1];
    let mut long = content.to_vec();
    long.extend([0, 0]);
    let mut unknown_conversation = content.to_vec();
    unknown_conversation[3] = 9;
    let mut no_text = content.to_vec();
    no_text[8] = 0xff;
    let malformed = |reason: &str| FrameError::Malformed {
        kind: 1,
        reason: reason.into(),
    };
    let cases: Vec<(&str, &[u8], FrameError)> = vec![
        ("nothing", &[], FrameError::Empty),
        ("0", &[0], FrameError::UnknownKind { seen: 0 }),
        ("255", &[255, 1], FrameError::UnknownKind { seen: 255 }),
        ("17", &[17, 0, 0], FrameError::UnknownKind { seen: 17 }),
        (
            "a hello without its name",
            &content[..4],
            FrameError::Incomplete {
                kind: 1,
                seen_bytes: 4,
            },
        ),
        (
            "a name that is cut",
            cut,
            malformed("2 bytes are announced and 1 are there at 0x4"),
        ),
        (
            "a name that is no text",
            &no_text,
            malformed("this text is not UTF-8 at 0x4"),
        ),
        (
            "two bytes more",
            &long,
            FrameError::TrailingBytes {
                kind: 1,
                expected_bytes: 10,
                seen_bytes: 12,
            },
        ),
    ];
    for (case, bytes, expected) in cases {
        assert_eq!(decode(bytes), Err(expected), "{case}");
    }
    let error = decode(&unknown_conversation).expect_err("no such conversation");
    assert!(
        matches!(error, FrameError::Malformed { kind: 1, .. }),
        "{error:?}"
    );
}

#[test]
fn lengths_and_versions_are_checked_against_a_limit() {
    assert_eq!(codec::decode_length([0, 0, 16, 0], 4_096), Ok(4_096));
    let error = codec::decode_length([0, 0, 16, 1], 4_096).expect_err("too long");
    assert_eq!(
        error.to_string(),
        "a frame of 4097 bytes is over the cap of 4096"
    );
    assert_eq!(check_version("d1", VERSION), Ok(()));
    let error = check_version("d1", VERSION + 1).expect_err("another version");
    let expected = FrameError::OtherVersion {
        peer: "d1".into(),
        expected: VERSION,
        seen: VERSION + 1,
    };
    assert_eq!(error, expected);
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_without_a_panic(bytes in proptest::collection::vec(0u8..=255, 0..200)) {
        if let Ok(frame) = decode(&bytes) {
            let again = encode(&frame);
            assert_eq!(decode(&again[4..]), Ok(frame));
        }
    }
}
