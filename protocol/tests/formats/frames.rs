//! The frames between rushport's own processes, with all that they carry.

use crate::allocation::peak_bytes;
use crate::mutations::{config, max_memory_bytes, mutate, mutations};
use crate::samples::frames::frames;
use proptest::prelude::*;
use proptest::sample::Index;
use protocol::{decode, encode};

/// Decodes bytes. A frame that decodes round-trips, an error has a text, and neither
/// takes more memory than the length allows.
fn check(bytes: &[u8]) {
    let (frame, peak) = peak_bytes(|| decode(bytes));
    assert!(
        peak <= max_memory_bytes(bytes.len()),
        "{peak} bytes of memory for {} read",
        bytes.len()
    );
    match frame {
        Ok(frame) => assert_eq!(decode(&encode(&frame)[4..]).as_ref(), Ok(&frame)),
        Err(error) => assert!(!error.to_string().is_empty()),
    }
}

#[test]
fn every_frame_round_trips_and_no_prefix_of_it_decodes() {
    for frame in frames() {
        let bytes = encode(&frame);
        let length = u32::from_be_bytes(bytes[..4].try_into().expect("four bytes"));
        assert_eq!(length as usize, bytes.len() - 4, "{frame:?}");
        assert_eq!(decode(&bytes[4..]).as_ref(), Ok(&frame));
        for cut in 4..bytes.len() {
            assert!(decode(&bytes[4..cut]).is_err(), "{cut} bytes of {frame:?}");
        }
        let longer = [&bytes[4..], &[0]].concat();
        assert!(decode(&longer).is_err(), "{frame:?} and one byte more");
    }
}

proptest! {
    #![proptest_config(config(4_000))]

    #[test]
    fn mutated_frames_decode_or_are_rejected(which in any::<Index>(), mutations in mutations()) {
        let all = frames();
        check(&mutate(&encode(&all[which.index(all.len())])[4..], &mutations));
    }

    #[test]
    fn arbitrary_bytes_decode_or_are_rejected(
        first in 0u8..60,
        rest in prop::collection::vec(any::<u8>(), 0..2_000),
    ) {
        check(&[&[first], &rest[..]].concat());
    }
}
