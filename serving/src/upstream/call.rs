//! Sending one request to one upstream and reading the response.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use prometheus_client::metrics::counter::Counter;
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use super::{
    Codec, Head, Options, Request, Result,
    pool::{Connection, Pool},
};

/// Largest body that is collected in memory. Larger ones fail with [`FailureKind::Broken`].
const MAX_COLLECTED_BYTES: usize = 8 << 20;
/// Size up to which a body is collected even if other bodies take up all memory for them.
const UNRESERVED_BYTES: usize = 64 << 10;
/// Largest body of a refusal that is read, to reuse its connection.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// How long to wait for the end of the body of a refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// How far a failed send got, which decides whether the request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No byte of the request was sent.
    NotSent,
    /// Bytes were sent; the upstream may have run the request.
    Sent,
    /// The upstream responded that it did not run the request.
    Refused,
}

/// Why a send failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be established.
    Connect,
    /// This node has no path to the upstream at the moment, which says nothing of the upstream.
    NoPath,
    /// The request may not move to the version of this upstream, because other nodes may still hold
    /// the version that it was announced with.
    Announced,
    /// The stream that the request goes on with was not begun by the version that the registry named.
    UnknownOrigin,
    /// The upstream is leaving, so that the request was not sent there.
    Leaving,
    /// The sender's tenure, under which it sends the request, has ended.
    Lapsed,
    /// The upstream rejected the request for lack of capacity.
    Overloaded,
    /// The address now belongs to another upstream.
    Misdirected,
    /// No bytes arrived within the timeout.
    TimedOut,
    /// The connection closed early, or the response is invalid or belongs to another request.
    Broken,
}

impl fmt::Display for FailureKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FailureKind::Connect => "connect",
            FailureKind::NoPath => "no_path",
            FailureKind::Announced => "announced",
            FailureKind::UnknownOrigin => "unknown_origin",
            FailureKind::Leaving => "leaving",
            FailureKind::Lapsed => "lapsed",
            FailureKind::Overloaded => "overloaded",
            FailureKind::Misdirected => "misdirected",
            FailureKind::TimedOut => "timed_out",
            FailureKind::Broken => "broken",
        })
    }
}

/// A send that failed before a complete response was read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    pub kind: FailureKind,
    pub delivery: Delivery,
    pub message: String,
}

impl Failure {
    /// No connection could be established.
    pub(crate) fn connect(message: String) -> Failure {
        Failure { kind: FailureKind::Connect, delivery: Delivery::NotSent, message }
    }

    /// Neither this node nor another one could send the request.
    pub(crate) fn no_path() -> Failure {
        let message = "no node with a path to the upstream took the request".to_string();
        Failure { kind: FailureKind::NoPath, delivery: Delivery::NotSent, message }
    }

    /// Not all nodes confirmed that the request may move to another version.
    pub(crate) fn announced() -> Failure {
        let message = "not all nodes dropped the announced version".to_string();
        Failure { kind: FailureKind::Announced, delivery: Delivery::NotSent, message }
    }

    /// Another process than the one in the registry began the stream, so that its version isn't known.
    pub(crate) fn unknown_origin(expected: u64, found: u64) -> Failure {
        let message =
            format!("the stream was begun by the process of {found}, not by that of {expected}");
        Failure { kind: FailureKind::UnknownOrigin, delivery: Delivery::Sent, message }
    }

    /// The upstream is leaving, and the request was not sent there.
    pub(crate) fn leaving(message: String) -> Failure {
        Failure { kind: FailureKind::Leaving, delivery: Delivery::NotSent, message }
    }

    /// The sender may no longer act for what the request belongs to.
    pub(crate) fn lapsed() -> Failure {
        let message = "the tenure of the request's owner has ended".to_string();
        Failure { kind: FailureKind::Lapsed, delivery: Delivery::NotSent, message }
    }

    /// The upstream responded that it did not run the request.
    fn refused(kind: FailureKind, message: &str) -> Failure {
        Failure { kind, delivery: Delivery::Refused, message: message.to_string() }
    }

    /// The response comes from another process than the one in the registry.
    pub(crate) fn restarted(expected: u64, found: u64) -> Failure {
        let message = format!("the upstream's process started at {found}, not at {expected}");
        Failure { kind: FailureKind::Misdirected, delivery: Delivery::Sent, message }
    }

    /// The connection closed early, or the response is invalid or belongs to another request.
    pub(crate) fn broken(message: impl Into<String>) -> Failure {
        Failure { kind: FailureKind::Broken, delivery: Delivery::Sent, message: message.into() }
    }

    /// The response didn't end before the deadline of the request.
    fn too_late() -> Failure {
        let message = "the answer didn't end in time".to_string();
        Failure { kind: FailureKind::TimedOut, delivery: Delivery::Sent, message }
    }

    /// No bytes arrived within the timeout after the request was sent.
    pub(crate) fn timed_out() -> Failure {
        let message = "the upstream has been silent for too long".to_string();
        Failure { kind: FailureKind::TimedOut, delivery: Delivery::Sent, message }
    }
}

/// The head of a response, with a body that is still to be read.
pub struct Answer {
    pub parts: http::response::Parts,
    pub head: Head,
    pub body: Body,
    /// Time that it took to establish the connection; `None` if it has carried a request before.
    pub setup: Option<Duration>,
}

/// The body of a response. Dropping it before its end closes the connection, which cancels the
/// request at the upstream.
pub struct Body {
    incoming: Incoming,
    pool: Arc<Pool>,
    upstream: crate::id::Upstream,
    address: SocketAddr,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    closes_connection: bool,
    /// The body has neither a length nor chunks: it ends with the connection, as it also does if the
    /// upstream crashes.
    pub(crate) is_unframed: bool,
    deadline: Option<Instant>,
    /// Counts the bytes of the body.
    pub(crate) counter: Option<Counter>,
}

impl Pool {
    /// Sends a request and waits for the head of the response.
    ///
    /// `is_retryable` says whether the caller may send a request again that may have run. Requests
    /// that are not retryable use only recently used or new connections. `on_head` sees the head of
    /// each response, also of one that this function turns into a failure.
    ///
    /// # Errors
    ///
    /// Fails if the upstream can't be reached, refuses the request or sends an invalid response.
    pub async fn send(
        self: &Arc<Pool>,
        codec: &dyn Codec,
        request: &Request,
        options: Options<'_>,
        address: SocketAddr,
        is_retryable: bool,
        on_head: &(dyn Fn(&Head) + Sync),
    ) -> Result<Answer> {
        let deadline = options.deadline.map(|timeout| Instant::now() + timeout);
        let mut connection = self
            .check_out(options.upstream, address, is_retryable)
            .await
            .map_err(Failure::connect)?;
        let response = match send_request(&mut connection, codec, request, options).await {
            // The upstream closed the idle connection before any byte of the request was sent, so
            // sending the request again on another connection can't run it twice.
            Err(failure)
                if failure.delivery == Delivery::NotSent
                    && failure.kind != FailureKind::Lapsed
                    && connection.is_reused =>
            {
                connection = self
                    .check_out(options.upstream, address, false)
                    .await
                    .map_err(Failure::connect)?;
                send_request(&mut connection, codec, request, options).await?
            }
            result => result?,
        };
        connection.meter.reset();
        let setup = (!connection.is_reused).then_some(connection.setup);
        let (parts, incoming) = response.into_parts();
        if parts.status.is_informational() {
            return Err(Failure::broken("the upstream switched protocols"));
        }
        let head = codec.decode(&parts);
        on_head(&head);
        if head.request.as_ref().is_some_and(|id| *id != request.id) {
            return Err(Failure::broken("the answer belongs to another request"));
        }
        // An upstream may write an earlier refusal once more.
        if head.is_promise && head.request.is_none() && connection.is_reused {
            return Err(Failure::broken("a refusal on a reused connection names no request"));
        }
        if head.misdirected {
            return Err(Failure::refused(
                FailureKind::Misdirected,
                "another upstream has the address",
            ));
        }
        let body = Body {
            incoming,
            pool: Arc::clone(self),
            upstream: options.upstream.clone(),
            address,
            connection: Some(connection),
            keep_alive: head.keep_alive.map(|span| span.duration()),
            closes_connection: head.closes_connection,
            is_unframed: is_unframed(&parts),
            deadline,
            counter: None,
        };
        if head.not_run {
            // Reading the whole body returns the connection to the pool, so that an overloaded
            // upstream does not have to accept a new connection after each refusal.
            let _ = tokio::time::timeout(DISCARD_TIMEOUT, body.discard()).await;
            return Err(Failure::refused(FailureKind::Overloaded, "the upstream has no room"));
        }
        if parts.status.is_success() && !head.is_authentic {
            return Err(Failure::broken("the answer isn't sealed"));
        }
        Ok(Answer { parts, head, body, setup })
    }
}

impl Body {
    /// Returns the next chunk of bytes, or `None` at the end of a complete body. Fails if bytes still
    /// arrive after the deadline of the request.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        loop {
            // A timer of the caller may never fire while there is always a next chunk.
            if self.deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                return Err(Failure::too_late());
            }
            match self.incoming.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => {
                        if let Some(connection) = &self.connection {
                            connection.meter.reset();
                        }
                        if let Some(counter) = &self.counter {
                            counter.inc_by(data.len() as u64);
                        }
                        return Ok(Some(data));
                    }
                    // Trailers are not passed on to callers.
                    Err(_) => {}
                },
                Some(Err(error)) => {
                    return Err(Failure::broken(format!("the answer broke off: {error}")));
                }
                None => {
                    self.return_connection();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the body to its end. Fails if it is longer than 8 MiB, or if it is longer than 64 KiB
    /// and the collected bodies of the pool take up too much memory.
    pub async fn collect(self) -> Result<Bytes> {
        self.collect_at_most(MAX_COLLECTED_BYTES).await
    }

    /// Reads the body to its end, as [`Body::collect`] does. Fails if it is longer than `max_bytes`,
    /// which is at most 8 MiB.
    pub(crate) async fn collect_at_most(mut self, max_bytes: usize) -> Result<Bytes> {
        let mut collected = CollectedBody::default();
        if self.incoming.size_hint().lower() > max_bytes as u64 {
            return Err(Failure::broken("the answer is too long"));
        }
        while let Some(bytes) = self.next_chunk().await? {
            let length = collected.bytes.len() + bytes.len();
            if length > max_bytes {
                return Err(Failure::broken("the answer is too long"));
            }
            if !collected.reserve(&self.pool, length) {
                return Err(Failure::broken("too many long answers at once"));
            }
            collected.bytes.extend_from_slice(&bytes);
        }
        Ok(match collected.reservation {
            Some(_) => Bytes::from_owner(collected),
            None => Bytes::from(collected.bytes),
        })
    }

    /// Reads a short body to its end and discards it.
    async fn discard(mut self) -> Result<()> {
        let mut discarded = 0;
        while let Some(bytes) = self.next_chunk().await? {
            discarded += bytes.len();
            if discarded > MAX_DISCARDED_BYTES {
                return Err(Failure::broken("the refusal is too long"));
            }
        }
        Ok(())
    }

    /// Returns the connection to the pool unless the upstream closes it.
    fn return_connection(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if !self.closes_connection {
            self.pool.check_in(&self.upstream, self.address, connection, self.keep_alive);
        }
    }
}

/// Whether a response has neither a length nor chunks and ends with its connection.
pub(crate) fn is_unframed(parts: &http::response::Parts) -> bool {
    match parts.extensions.get::<Forwarded>() {
        Some(forwarded) => forwarded.is_unframed,
        None => {
            !parts.headers.contains_key(CONTENT_LENGTH)
                && !parts.headers.contains_key(TRANSFER_ENCODING)
        }
    }
}

/// Extension of the head of a response that came through another node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forwarded {
    pub(crate) by: SocketAddr,
    /// The upstream's response has neither a length nor chunks.
    pub(crate) is_unframed: bool,
}

/// The node through which a response came, if not directly.
pub(crate) fn forwarder(parts: &http::response::Parts) -> Option<SocketAddr> {
    parts.extensions.get::<Forwarded>().map(|forwarded| forwarded.by)
}

/// A body with its share of the memory for collected bodies.
#[derive(Default)]
struct CollectedBody {
    bytes: Vec<u8>,
    reservation: Option<OwnedSemaphorePermit>,
}

impl CollectedBody {
    /// Makes room for `length` bytes in all, at least twice as much as before. Returns false if the
    /// pool has not enough memory left.
    fn reserve(&mut self, pool: &Pool, length: usize) -> bool {
        let capacity = self.bytes.capacity();
        if length <= capacity {
            return true;
        }
        let capacity = length.max(2 * capacity).min(MAX_COLLECTED_BYTES);
        let needed = capacity.saturating_sub(UNRESERVED_BYTES).div_ceil(1 << 10);
        let reserved = self.reservation.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if needed > reserved {
            let memory = Arc::clone(&pool.collected_kib);
            let Ok(added) = memory.try_acquire_many_owned((needed - reserved) as u32) else {
                return false;
            };
            match &mut self.reservation {
                Some(reservation) => reservation.merge(added),
                None => self.reservation = Some(added),
            }
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }
}

impl AsRef<[u8]> for CollectedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Sends a request on an idle connection and waits for the head of the response.
async fn send_request(
    connection: &mut Connection,
    codec: &dyn Codec,
    request: &Request,
    options: Options<'_>,
) -> Result<http::Response<Incoming>> {
    let mut message = http::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    *message.headers_mut() = codec.encode(request, options);
    // Checked last, because the process may have been suspended since the request was chosen.
    if options.tenure.is_some_and(|tenure| tenure.remaining().is_none()) {
        return Err(Failure::lapsed());
    }
    let response = connection.sender.try_send_request(message);
    response.await.map_err(|mut error| {
        // hyper hands the request back if it did not start to send it.
        let delivery = match error.take_message() {
            Some(_) => Delivery::NotSent,
            None => Delivery::Sent,
        };
        let message = format!("the exchange failed: {}", error.into_error());
        Failure { kind: FailureKind::Broken, delivery, message }
    })
}
