//! The membership view that other modules of the node read.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
};

use tokio::sync::watch;

use crate::id::{DataCentre, Incarnation, Upstream, Vm};

use super::state::State;

/// The live nodes and the listed upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Live nodes, including this one.
    pub nodes: BTreeMap<Vm, Node>,
    pub upstreams: BTreeMap<Upstream, Replica>,
}

/// A live node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Address on which the node listens for its peers.
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub incarnation: Incarnation,
    /// The node accepts no new work.
    pub leaving: bool,
}

/// A replica of a deployment or of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The deployment or plain service that the replica belongs to.
    pub serves: String,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    /// The replica gets no new work.
    pub leaving: bool,
}

/// Gives access to the current view and to its changes.
#[derive(Clone)]
pub struct Handle {
    current: watch::Sender<Arc<View>>,
    /// Upstreams that other modules of this node observed to be leaving and that the membership
    /// task has not processed yet.
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

    /// Subscribes to changes of the view.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.current.subscribe()
    }

    /// Marks an upstream as leaving on all nodes, as its own load report shows.
    pub fn mark_leaving(&self, upstream: &Upstream) {
        lock(&self.leaving).insert(upstream.clone());
    }

    pub(super) fn take_leaving(&self) -> BTreeSet<Upstream> {
        std::mem::take(&mut *lock(&self.leaving))
    }

    /// Sets the state when the membership starts; later calls have no effect.
    pub(super) fn init(&self, state: State) {
        let _ = self.state.set(Mutex::new(state));
    }

    pub(super) fn state(&self) -> Option<MutexGuard<'_, State>> {
        self.state.get().map(lock)
    }

    /// Replaces the view if it differs, and notifies the subscribers.
    pub fn publish(&self, next: View) {
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
