//! What the clients of a process may take of its machine.

use placement::{ClientLimits, SMALL_BODY_BYTES};

/// What a connection takes: read buffer, tasks, and what waits for it in the kernel.
const CONNECTION_BYTES: u64 = 32 << 10;
const MB: u64 = 1_000_000;

/// Guards against limits that together are more than the machine has: the rest is for the program
/// and its state, and for responses.
#[test]
fn clients_take_less_than_two_thirds_of_the_memory() {
    for memory_mb in [96, 128, 160, 256, 260, 1_024, 16_384] {
        for descriptors in [512, 1_024, 4_096, 4_100, 1 << 20] {
            let memory_bytes = memory_mb * MB;
            let limits = ClientLimits::of_process(memory_bytes, descriptors);
            let taken = limits.connections as u64 * CONNECTION_BYTES
                + (limits.body_bytes + limits.read_ahead_bytes) as u64;
            assert!(3 * taken <= 2 * memory_bytes, "{memory_mb} MB: {limits:?}");
        }
    }
}

/// Guards against connections that leave none for engines and peers.
#[test]
fn clients_leave_descriptors_for_the_process() {
    for descriptors in [512, 1_024, 4_096, 4_100] {
        let limits = ClientLimits::of_process(100_000 * MB, descriptors);
        let with_side_ports = limits.connections + 2 * limits.side_connections();
        assert!(
            3 * with_side_ports as u64 <= 2 * descriptors,
            "{descriptors}: {limits:?}"
        );
    }
}

/// The machines of the platform's deployments.
#[test]
fn an_ordinary_machine_has_room_for_the_requests_that_it_may_serve() {
    let router = ClientLimits::of_process(160 * MB, 4_100);
    assert!(router.connections > 1_000, "{router:?}");
    assert!(router.body_bytes > 500 * SMALL_BODY_BYTES, "{router:?}");
    let directory = ClientLimits::of_process(256 * MB, 4_096);
    assert!(directory.side_connections() > 100, "{directory:?}");
    assert!(directory.document_bytes >= 4_000_000, "{directory:?}");
}

#[test]
fn a_process_without_memory_or_descriptors_still_has_some_connections() {
    assert_eq!(ClientLimits::of_process(0, 0).connections, 16);
}
