//! What the clients of a process may take of its memory and its file descriptors, so that the
//! rest is enough for the process itself: its program and state, connections to engines and peers,
//! responses on their way.

/// The share of the memory that connections may take by their fixed cost, as a divisor.
const CONNECTIONS_DIVISOR: u64 = 4;
/// The same for bodies that are held.
const BODIES_DIVISOR: u64 = 4;
/// The same for bodies that are read while their requests wait for something else.
const READ_AHEAD_DIVISOR: u64 = 16;
/// The same for one document of an operator: read into a tree it takes some 16 times its length.
const DOCUMENT_DIVISOR: u64 = 64;
/// What a connection takes: read buffer, tasks, and what waits for it in the kernel.
const CONNECTION_BYTES: u64 = 32 << 10;
/// Descriptors for files, logs and the process's own links.
const RESERVED_DESCRIPTORS: u64 = 300;
/// The share of the other descriptors that clients may take, as a divisor.
const DESCRIPTORS_DIVISOR: u64 = 2;
const MIN_CONNECTIONS: u64 = 16;
/// The share of the connections that a port beside the main one may have, as a divisor.
const SIDE_PORT_DIVISOR: usize = 8;

/// What the clients of a process may take of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Open connections.
    pub connections: usize,
    /// Bytes of bodies, of all requests together.
    pub body_bytes: usize,
    /// Bytes of bodies that are read ahead, of all requests together.
    pub read_ahead_bytes: usize,
    /// The longest document of an operator, in bytes.
    pub document_bytes: usize,
}

impl ClientLimits {
    /// Open connections of a port that isn't the main one, for instance for readiness checks.
    pub fn side_connections(&self) -> usize {
        (self.connections / SIDE_PORT_DIVISOR).max(MIN_CONNECTIONS as usize)
    }

    /// For a process that may use so much memory and so many descriptors.
    pub fn of_process(memory_bytes: u64, descriptors: u64) -> ClientLimits {
        let by_memory = memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_DIVISOR;
        let connections = by_memory.min(by_descriptors).max(MIN_CONNECTIONS);
        ClientLimits {
            connections: connections as usize,
            body_bytes: (memory_bytes / BODIES_DIVISOR) as usize,
            read_ahead_bytes: (memory_bytes / READ_AHEAD_DIVISOR) as usize,
            document_bytes: (memory_bytes / DOCUMENT_DIVISOR) as usize,
        }
    }
}
