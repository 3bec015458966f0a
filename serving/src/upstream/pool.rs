//! Connections to upstreams.
//!
//! A connection carries one request at a time and returns to the pool after a complete answer.
//! Dropping a connection closes it, by which the upstream learns that the answer isn't wanted.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, task::AbortHandle, time::Instant};

use crate::id::Upstream;

/// How connections are made and kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Milliseconds that a connection may take to be made.
    pub connect_timeout_ms: u64,
    /// Milliseconds that a connection stays in the pool when the upstream names no time.
    pub idle_ms: u64,
    /// Milliseconds by which a connection is given up before the upstream would close it.
    pub idle_margin_ms: u64,
    /// Milliseconds of idleness after which a request that can't be repeated gets a new connection.
    pub fresh_ms: u64,
    /// Idle connections kept for each upstream.
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

/// A connection that is open.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether it has carried a request before.
    pub(super) reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
    expires: Instant,
}

/// Idle connections by upstream; the last used one is taken first.
pub struct Pool {
    settings: Settings,
    idle: Mutex<BTreeMap<(Upstream, SocketAddr), Vec<Idle>>>,
}

impl Pool {
    pub fn new(settings: Settings) -> Pool {
        Pool { settings, idle: Mutex::new(BTreeMap::new()) }
    }

    /// Closes the idle connections to an upstream.
    pub fn forget(&self, upstream: &Upstream) {
        self.lock().retain(|(known, _), _| known != upstream);
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Whether a new connection to `address` can be made.
    pub async fn is_reachable(&self, address: SocketAddr) -> bool {
        matches!(
            tokio::time::timeout(self.connect_timeout(), TcpStream::connect(address)).await,
            Ok(Ok(_))
        )
    }

    /// An idle connection, else a new one. `repeatable` requests may use one that the upstream
    /// could be about to close.
    pub(super) async fn checkout(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
        repeatable: bool,
    ) -> Result<Connection, String> {
        if let Some(connection) = self.take(upstream, address, repeatable) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    /// Returns a connection whose last answer was complete.
    pub(super) fn checkin(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let margin = Duration::from_millis(self.settings.idle_margin_ms);
        let kept = keep_alive.unwrap_or(Duration::from_millis(self.settings.idle_ms));
        let Some(kept) = kept.checked_sub(margin).filter(|kept| !kept.is_zero()) else { return };
        connection.reused = true;
        let now = Instant::now();
        let mut pool = self.lock();
        let idle = pool.entry((upstream.clone(), address)).or_default();
        if idle.len() < self.settings.idle_per_upstream {
            idle.push(Idle { connection, since: now, expires: now + kept });
        }
    }

    fn take(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
        repeatable: bool,
    ) -> Option<Connection> {
        let now = Instant::now();
        let fresh = Duration::from_millis(self.settings.fresh_ms);
        let mut pool = self.lock();
        let idle = pool.get_mut(&(upstream.clone(), address))?;
        while let Some(last) = idle.pop() {
            let usable = last.expires > now && last.connection.sender.is_ready();
            if usable && (repeatable || now - last.since < fresh) {
                return Some(last.connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, String> {
        let connecting = tokio::time::timeout(self.connect_timeout(), TcpStream::connect(address));
        let stream = connecting
            .await
            .map_err(|_| "connecting timed out".to_string())?
            .map_err(|error| format!("connecting failed: {error}"))?;
        stream.set_nodelay(true).map_err(|error| format!("setting TCP_NODELAY failed: {error}"))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| format!("the connection failed: {error}"))?;
        // Errors of the connection reach the request that it carries.
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, task, reused: false })
    }

    fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.connect_timeout_ms)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(Upstream, SocketAddr), Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
