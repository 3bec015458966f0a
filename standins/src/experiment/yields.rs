//! Receives the nodes' metrics and keeps the times in which batch work made room.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{net::UdpSocket, task::JoinHandle};

use super::{Result, figures::Times};

/// The metric of the nodes, as statsd writes it.
const METRIC: &str = "bulrushspread.batch.yield:";
/// Bytes that one datagram of metrics may have.
const DATAGRAM_BYTES: usize = 65_536;

/// A statsd listener for one metric.
pub(super) struct Yields {
    pub(super) address: SocketAddr,
    times: Arc<Mutex<Times>>,
    reader: JoinHandle<()>,
}

impl Yields {
    pub(super) async fn listen() -> Result<Yields> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?;
        let times = Arc::<Mutex<Times>>::default();
        let reader = tokio::spawn(read(socket, times.clone()));
        Ok(Yields { address, times, reader })
    }

    /// Forgets what came so far.
    pub(super) fn clear(&self) {
        *self.times.lock().unwrap() = Times::default();
    }

    pub(super) fn times(&self) -> Times {
        self.times.lock().unwrap().clone()
    }
}

impl Drop for Yields {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

async fn read(socket: UdpSocket, times: Arc<Mutex<Times>>) {
    let mut datagram = vec![0; DATAGRAM_BYTES];
    while let Ok(length) = socket.recv(&mut datagram).await {
        let text = String::from_utf8_lossy(&datagram[..length]);
        for millis in text.lines().filter_map(millis) {
            times.lock().unwrap().record(Duration::from_millis(millis));
        }
    }
}

fn millis(line: &str) -> Option<u64> {
    line.strip_prefix(METRIC)?.split('|').next()?.parse().ok()
}
