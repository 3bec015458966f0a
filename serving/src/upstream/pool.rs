//! Pool of connections to upstreams.
//!
//! A connection carries one request at a time and returns to the pool after a complete response.
//! Dropping a connection closes it, which cancels its request at the upstream.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, sync::Semaphore, task::AbortHandle, time::Instant};

use crate::id::Upstream;

use super::meter::{Meter, MeteredStream};

/// Maximum size of the read buffer of a connection, and so of the head of a response.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;
/// Maximum memory for the collected bodies of all responses, in KiB.
const MAX_COLLECTED_KIB: usize = 16 << 10;

/// Timeouts and limits of the connection pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Timeout for establishing a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Milliseconds for which an upstream is assumed to keep an idle connection open if its response
    /// does not specify it.
    pub idle_ms: u64,
    /// Safety margin: milliseconds before the upstream would close an idle connection at which the
    /// pool closes it.
    pub idle_margin_ms: u64,
    /// Milliseconds after which an idle connection is no longer used for requests that can't be
    /// retried, since the upstream may close it just as they are sent.
    pub fresh_ms: u64,
    /// Limit of idle connections for each upstream address.
    pub idle_per_upstream: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            connect_timeout_ms: 300,
            idle_ms: 4_000,
            idle_margin_ms: 1_000,
            fresh_ms: 500,
            idle_per_upstream: 8,
        }
    }
}

/// An open connection.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    pub(super) meter: Arc<Meter>,
    /// Time that it took to establish the connection.
    pub(super) setup: Duration,
    /// Whether the connection has carried a request before.
    pub(super) is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An unused connection of the pool.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// Idle connections by upstream and address; the most recently used one is reused first.
pub struct Pool {
    settings: Settings,
    /// Whether connections are reset when they are closed, so that the system discards what it has
    /// not delivered yet. Otherwise it goes on trying, and a request may arrive long after it was given
    /// up.
    is_resetting: bool,
    idle: Mutex<BTreeMap<(Upstream, SocketAddr), Vec<IdleConnection>>>,
    /// KiB of memory that are left for collected bodies.
    pub(super) collected_kib: Arc<Semaphore>,
}

impl Pool {
    pub fn new(settings: Settings) -> Pool {
        Pool {
            settings,
            is_resetting: false,
            idle: Mutex::new(BTreeMap::new()),
            collected_kib: Arc::new(Semaphore::new(MAX_COLLECTED_KIB)),
        }
    }

    /// Shares the memory for collected bodies with `other`, so that the limit holds for both together.
    pub fn sharing_memory(self, other: &Pool) -> Pool {
        Pool { collected_kib: Arc::clone(&other.collected_kib), ..self }
    }

    /// A pool that resets connections instead of closing them, for requests that must not arrive after
    /// they were given up.
    pub fn resetting(settings: Settings) -> Pool {
        Pool { is_resetting: true, ..Pool::new(settings) }
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: &Upstream) {
        self.lock().retain(|(other, _), _| other != upstream);
    }

    /// Closes the idle connections that have expired or were closed by the upstream.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Whether a new connection to `address` can be established within the connect timeout.
    pub async fn is_reachable(&self, address: SocketAddr) -> bool {
        matches!(
            tokio::time::timeout(self.connect_timeout(), TcpStream::connect(address)).await,
            Ok(Ok(_))
        )
    }

    /// Returns an idle connection, else a new one. Requests that are not retryable get no
    /// connection that has been idle for `fresh_ms`, as the upstream could be about to close it.
    pub(super) async fn check_out(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
        is_retryable: bool,
    ) -> Result<Connection, String> {
        if let Some(connection) = self.take_idle(upstream, address, is_retryable) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    /// Puts a connection whose last response was complete into the pool. `keep_alive` is the time
    /// for which the upstream keeps it open.
    pub(super) fn check_in(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let margin = Duration::from_millis(self.settings.idle_margin_ms);
        let keep_alive = keep_alive.unwrap_or(Duration::from_millis(self.settings.idle_ms));
        let Some(timeout) = keep_alive.checked_sub(margin).filter(|t| !t.is_zero()) else { return };
        connection.is_reused = true;
        let now = Instant::now();
        let mut pool = self.lock();
        let idle = pool.entry((upstream.clone(), address)).or_default();
        if idle.len() < self.settings.idle_per_upstream {
            idle.push(IdleConnection { connection, idle_since: now, expires_at: now + timeout });
        }
    }

    fn take_idle(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
        is_retryable: bool,
    ) -> Option<Connection> {
        let now = Instant::now();
        let max_idle = Duration::from_millis(self.settings.fresh_ms);
        let mut pool = self.lock();
        let idle = pool.get_mut(&(upstream.clone(), address))?;
        while let Some(last) = idle.pop() {
            let is_usable = last.expires_at > now && last.connection.sender.is_ready();
            if is_usable && (is_retryable || now - last.idle_since < max_idle) {
                return Some(last.connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, String> {
        let started = Instant::now();
        let connecting = tokio::time::timeout(self.connect_timeout(), TcpStream::connect(address));
        let stream = connecting
            .await
            .map_err(|_| "connecting timed out".to_string())?
            .map_err(|error| format!("connecting failed: {error}"))?;
        let setup = started.elapsed();
        stream.set_nodelay(true).map_err(|error| format!("setting TCP_NODELAY failed: {error}"))?;
        if self.is_resetting {
            stream
                .set_zero_linger()
                .map_err(|error| format!("setting SO_LINGER failed: {error}"))?;
        }
        let meter = Arc::new(Meter::default());
        let stream = MeteredStream { stream, meter: Arc::clone(&meter) };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| format!("the connection failed: {error}"))?;
        // An error of the connection is reported to the request in flight on it.
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, task, meter, setup, is_reused: false })
    }

    fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.connect_timeout_ms)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(Upstream, SocketAddr), Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
