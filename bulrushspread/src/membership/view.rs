//! What this node believes of the fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
};

use tokio::sync::watch;

use crate::id::{DataCentre, Incarnation, Upstream, Vm};

use super::state::State;

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
    /// Upstreams that slices of this node have seen leaving, until the membership takes note.
    leaving: Arc<Mutex<BTreeSet<Upstream>>>,
    state: Arc<OnceLock<Mutex<State>>>,
}

impl Default for Handle {
    fn default() -> Handle {
        Handle {
            current: watch::channel(Arc::default()).0,
            leaving: Arc::default(),
            state: Arc::default(),
        }
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

    /// Says that an upstream is leaving, as its own load report tells. All nodes hear of it.
    pub fn mark_leaving(&self, upstream: &Upstream) {
        lock(&self.leaving).insert(upstream.clone());
    }

    pub(super) fn take_leaving(&self) -> BTreeSet<Upstream> {
        std::mem::take(&mut *lock(&self.leaving))
    }

    /// Sets the state once, when the slice starts.
    pub(super) fn begin(&self, state: State) {
        let _ = self.state.set(Mutex::new(state));
    }

    pub(super) fn state(&self) -> Option<MutexGuard<'_, State>> {
        self.state.get().map(lock)
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
