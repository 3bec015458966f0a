//! Counts the bytes that this node exchanges with other nodes.

use std::{
    collections::BTreeMap,
    ops::AddAssign,
    sync::{Arc, Mutex},
};

use quinn::Connection;
use serde::{Deserialize, Serialize};

/// Bytes of UDP payload since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bytes {
    pub sent: u64,
    pub received: u64,
}

impl AddAssign for Bytes {
    fn add_assign(&mut self, more: Bytes) {
        self.sent += more.sent;
        self.received += more.received;
    }
}

/// The connections of an endpoint, for as long as they are open.
#[derive(Clone, Default)]
pub(crate) struct Traffic {
    connections: Arc<Mutex<Connections>>,
}

#[derive(Default)]
struct Connections {
    open: BTreeMap<usize, Connection>,
    /// Bytes of connections that have closed.
    closed: Bytes,
}

impl Traffic {
    /// Counts a new connection until it closes.
    pub(crate) fn watch(&self, connection: &Connection) {
        let id = connection.stable_id();
        self.connections.lock().unwrap().open.insert(id, connection.clone());
        let traffic = self.clone();
        let connection = connection.clone();
        tokio::spawn(async move {
            connection.closed().await;
            let mut connections = traffic.connections.lock().unwrap();
            connections.open.remove(&id);
            connections.closed += bytes(&connection);
        });
    }

    /// Bytes of all connections, open and closed.
    pub(crate) fn total(&self) -> Bytes {
        let connections = self.connections.lock().unwrap();
        let mut total = connections.closed;
        connections.open.values().for_each(|connection| total += bytes(connection));
        total
    }
}

fn bytes(connection: &Connection) -> Bytes {
    let stats = connection.stats();
    Bytes { sent: stats.udp_tx.bytes, received: stats.udp_rx.bytes }
}
