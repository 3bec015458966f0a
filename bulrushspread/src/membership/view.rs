//! What this node believes of the fleet.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use tokio::sync::watch;

use crate::id::{DataCentre, Incarnation, Upstream, Vm};

/// Nodes and upstreams that are not known to be gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Live nodes, this one included.
    pub nodes: BTreeMap<Vm, Node>,
    pub upstreams: BTreeMap<Upstream, Replica>,
}

/// A node of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Where the node listens for its peers.
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub incarnation: Incarnation,
    /// The node takes no new duties.
    pub leaving: bool,
}

/// One replica of a deployment or of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The deployment or plain service.
    pub serves: String,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    /// The replica gets no new work.
    pub leaving: bool,
}

/// Gives the current view and tells of changes.
#[derive(Clone)]
pub struct Handle {
    current: watch::Sender<Arc<View>>,
}

impl Default for Handle {
    fn default() -> Handle {
        Handle { current: watch::channel(Arc::default()).0 }
    }
}

impl Handle {
    /// The current view.
    pub fn view(&self) -> Arc<View> {
        self.current.borrow().clone()
    }

    /// A receiver that sees each change.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.current.subscribe()
    }

    /// Replaces the view where it differs.
    pub fn put(&self, next: View) {
        self.current.send_if_modified(|current| {
            let changed = **current != next;
            if changed {
                *current = Arc::new(next);
            }
            changed
        });
    }
}
