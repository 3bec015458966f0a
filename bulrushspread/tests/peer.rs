//! Nodes reach one another over QUIC.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bulrushspread::{
    id::{Incarnation, Vm},
    peer::{
        Message, Settings, Transport,
        message::Envelope,
        transport::{CERTIFICATE_NAME, Handler},
    },
};
use futures_util::future::join_all;

/// Datagrams that are sent at once to a node without a connection.
const DATAGRAMS: usize = 50;
const BOUND: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Counter(AtomicUsize);

#[async_trait]
impl Handler for Counter {
    async fn datagram(&self, _envelope: Envelope, _from: SocketAddr) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    async fn request(&self, _envelope: Envelope, _from: SocketAddr) -> Message {
        Message::Done
    }
}

fn transport(directory: &Path, vm: &str) -> Transport {
    let path = |name: &str| directory.join(name).display().to_string();
    let settings = Settings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        advertise: None,
        certificate: path("node.pem"),
        key: path("node.key"),
        authorities: path("node.pem"),
        timeout_ms: 2_000,
    };
    Transport::bind(&settings, Vm::from(vm), Incarnation(1)).expect("the keys are usable")
}

#[tokio::test]
async fn datagrams_sent_at_once_over_a_new_connection_all_arrive() {
    let directory = tempfile::tempdir().expect("a directory");
    let names = vec![CERTIFICATE_NAME.to_string()];
    let keys = rcgen::generate_simple_self_signed(names).expect("a certificate");
    fs::write(directory.path().join("node.pem"), keys.cert.pem()).expect("written");
    fs::write(directory.path().join("node.key"), keys.signing_key.serialize_pem())
        .expect("written");

    let receiver = Arc::new(transport(directory.path(), "entry-1"));
    let address = receiver.local_address().expect("bound");
    let counter = Arc::new(Counter::default());
    let (serving, handler) = (receiver.clone(), counter.clone());
    tokio::spawn(async move { serving.serve(handler).await });

    let sender = transport(directory.path(), "entry-2");
    for sent in join_all((0..DATAGRAMS).map(|_| sender.send(address, Message::Done))).await {
        sent.expect("sent");
    }
    let arrived = async {
        while counter.0.load(Ordering::Relaxed) < DATAGRAMS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let all = tokio::time::timeout(BOUND, arrived).await;
    assert!(all.is_ok(), "{} of {DATAGRAMS} arrived", counter.0.load(Ordering::Relaxed));
}
