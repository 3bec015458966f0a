//! What a node does with requests while it starts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serving::{
    catalog::{Catalog, Limits},
    fleet::Entry,
    id::Upstream,
    metrics::Metrics,
    node::{Identity, Node, Settings},
    time::Clock,
    upstream::Passthrough,
};
use tokio::time::timeout;

fn node() -> Arc<Node> {
    let identity = Identity { vm: "vm-1".into(), data_centre: "here".into(), seed: 1 };
    let (codec, metrics) = (Arc::new(Passthrough), Arc::new(Metrics::default()));
    Arc::new(Node::new(identity, Settings::default(), Clock::default(), codec, metrics))
}

fn fleet() -> BTreeMap<Upstream, Entry> {
    let entry = Entry {
        service: "model".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "here".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        started: 1,
    };
    BTreeMap::from([("upstream-1".into(), entry)])
}

/// Guards against refusals in the moments between the start of a node and its first reads of the
/// log, when the callers of a fleet that was lost return.
#[tokio::test]
async fn node_that_starts_keeps_requests_until_it_can_serve_them() {
    let node = node();
    let waiting = tokio::spawn({
        let node = Arc::clone(&node);
        async move { node.wait_for_startup().await }
    });
    node.update_catalog(Catalog::new(1, Limits::default(), Vec::new()), "test");
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished(), "a node without upstreams can't serve requests");
    node.replace_fleet(fleet());
    // Well below the time after which the node stops waiting.
    timeout(Duration::from_millis(150), waiting).await.unwrap().unwrap();
}

/// Guards against requests that wait while the log is unavailable: callers are refused, and may try
/// another node.
#[tokio::test]
async fn node_that_can_not_read_the_log_keeps_requests_for_its_startup_time_only() {
    let node = node();
    timeout(Duration::from_secs(2), node.wait_for_startup()).await.unwrap();
    assert!(node.exchange.clock.now().0 >= 300);
    timeout(Duration::from_millis(50), node.wait_for_startup()).await.unwrap();
}
