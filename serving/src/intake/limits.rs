//! How the memory and the descriptors of a machine are divided.

/// Bytes that a connection costs beside its read buffer: its task, its timers and the state of HTTP.
const CONNECTION_BYTES: usize = 6 << 10;
/// Smallest read buffer that the HTTP implementation accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Room in the read buffer beyond the longest head.
const BUFFER_SLACK_BYTES: usize = 1 << 10;
/// Descriptors that don't belong to sockets.
const FILE_DESCRIPTORS: usize = 200;
/// Connections to the listeners for probes and metrics: a few of each are open at a time.
const STATUS_CONNECTIONS: usize = 48;
/// Part of the memory, as a divisor, for the connections of callers, and again for their bodies.
const CALLERS_PART: usize = 6;
/// The same for other nodes.
const NODES_PART: usize = 8;
/// The same for jobs that were accepted.
const JOBS_PART: usize = 6;

/// What a machine gives a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    pub memory_bytes: usize,
    pub descriptors: usize,
}

impl Default for Machine {
    fn default() -> Machine {
        Machine { memory_bytes: 512 << 20, descriptors: 4_096 }
    }
}

/// What the connections to one kind of listener may take up together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    pub connections: usize,
    /// Bytes of the bodies of requests.
    pub body_bytes: usize,
    /// Bytes of a connection's read buffer, which holds the head of a request, whatever precedes it and
    /// the requests that are queued behind it.
    pub buffer_bytes: usize,
}

/// The limits of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub callers: Share,
    /// For the listeners for other nodes.
    pub nodes: Share,
    /// For the listeners for probes and metrics.
    pub status: Share,
    /// Bytes of the items and results of all jobs that this node holds.
    pub job_bytes: usize,
}

impl Limits {
    /// The limits on `machine`, whose callers may send heads of up to `head_bytes`, and other nodes heads
    /// of up to `peer_head_bytes`.
    pub fn new(machine: Machine, head_bytes: usize, peer_head_bytes: usize) -> Limits {
        let Machine { memory_bytes, descriptors } = machine;
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let buffer = |head: usize| (head + BUFFER_SLACK_BYTES).max(MIN_BUFFER_BYTES);
        let share = |part: usize, head: usize, sockets: usize| {
            let buffer_bytes = buffer(head);
            let fitting = memory_bytes / part / (buffer_bytes + CONNECTION_BYTES);
            let connections = fitting.min(sockets).max(1);
            Share { connections, body_bytes: memory_bytes / part, buffer_bytes }
        };
        let status = Share {
            connections: STATUS_CONNECTIONS.min(sockets / 16).max(1),
            body_bytes: 0,
            buffer_bytes: MIN_BUFFER_BYTES,
        };
        Limits {
            callers: share(CALLERS_PART, head_bytes, sockets / 2),
            nodes: share(NODES_PART, peer_head_bytes, sockets / 4),
            status,
            job_bytes: memory_bytes / JOBS_PART,
        }
    }
}
