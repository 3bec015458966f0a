//! What other slices use of the batch runners.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::AtomicU64},
};

use tokio::{sync::Notify, task::AbortHandle};

use crate::{
    id::{Upstream, Vm},
    node::Shared,
    time::Millis,
};

use super::{fleet::Fleet, message::Start, state::State, task};

/// Shared by all tasks of the node. Cheap to clone.
#[derive(Clone, Default)]
pub struct Handle {
    pub(crate) edge: Arc<Edge>,
}

/// The state of the runners and what their tasks share.
#[derive(Default)]
pub(crate) struct Edge {
    pub(crate) state: Mutex<State>,
    pub(crate) fleet: Mutex<Arc<Fleet>>,
    /// The tasks that run items.
    pub(crate) starts: Mutex<BTreeMap<Start, (AbortHandle, Millis)>>,
    /// This node's online requests per replica, where there are any.
    pub(crate) online: Mutex<BTreeMap<Upstream, Online>>,
    /// The last sequence number that a count of this node carried.
    pub(crate) sequence: AtomicU64,
    /// Partition owners that granted items lately.
    pub(crate) granting: Mutex<BTreeMap<Vm, Millis>>,
    /// Counts the pulls, to begin each at another owner.
    pub(crate) pulls: AtomicU64,
    /// Told when a run has ended or a stream has been vacated.
    pub(crate) changed: Notify,
}

/// Online requests of this node at one replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Online {
    pub(crate) in_flight: u32,
    /// When the runner was last told.
    pub(crate) told: Millis,
}

impl Handle {
    /// This node is about to dispatch an online request to `upstream` and then has `in_flight`
    /// there. Must be called before the request is sent.
    pub fn dispatched(&self, context: &Shared, upstream: &Upstream, in_flight: u32) {
        task::count_online(context, upstream, in_flight);
    }

    /// An online request at `upstream` has ended and `in_flight` of this node are left there.
    pub fn finished(&self, context: &Shared, upstream: &Upstream, in_flight: u32) {
        task::count_online(context, upstream, in_flight);
    }

    /// Batch streams of this node that a recent load report of `upstream` may count. They give way
    /// to online work, so they are no load to it.
    pub fn reported_streams(&self, context: &Shared, upstream: &Upstream) -> u32 {
        let now = context.clock.now();
        self.edge.state.lock().unwrap().reported_streams(now, upstream)
    }
}
