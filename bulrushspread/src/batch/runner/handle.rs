//! Interface of the batch runners to the rest of the node.

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

use super::{fleet::Fleet, message::Execution, state::State, task};

/// The runners of this node. Shared by all tasks; cheap to clone.
#[derive(Clone, Default)]
pub struct Handle {
    pub(crate) inner: Arc<Inner>,
}

/// State shared by the tasks of the runners.
#[derive(Default)]
pub(crate) struct Inner {
    pub(crate) state: Mutex<State>,
    pub(crate) fleet: Mutex<Arc<Fleet>>,
    /// The task of each running execution, and when it started.
    pub(crate) executions: Mutex<BTreeMap<Execution, (AbortHandle, Millis)>>,
    /// Online requests of this node in flight at each replica that has any.
    pub(crate) online_counts: Mutex<BTreeMap<Upstream, LocalCount>>,
    /// The sequence number of the next count that this node sends.
    pub(crate) sequence: AtomicU64,
    /// Partition owners that granted items recently, and when they last did.
    pub(crate) granting: Mutex<BTreeMap<Vm, Millis>>,
    /// Number of pulls so far. Each begins at another owner.
    pub(crate) pulls: AtomicU64,
    /// Notified when an execution has ended or been cancelled, or an outcome was acknowledged.
    pub(crate) changed: Notify,
}

/// Online requests of this node in flight at one replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalCount {
    pub(crate) in_flight: u32,
    /// When the count was last sent to the runner.
    pub(crate) last_sent: Millis,
}

impl Handle {
    /// Records that this node is about to send an online request to `upstream`, where it then has
    /// `in_flight` requests. Must be called before the request is sent.
    pub fn record_dispatch(&self, context: &Shared, upstream: &Upstream, in_flight: u32) {
        task::record_online(context, upstream, in_flight);
    }

    /// Records that an online request of this node has ended at `upstream`, where it has
    /// `in_flight` requests left.
    pub fn record_completion(&self, context: &Shared, upstream: &Upstream, in_flight: u32) {
        task::record_online(context, upstream, in_flight);
    }

    /// Batch streams of this node that a recent load report of `upstream` may include. They yield
    /// to online work, so they don't count as load for it.
    pub fn reported_streams(&self, context: &Shared, upstream: &Upstream) -> u32 {
        let now = context.clock.now();
        self.inner.state.lock().unwrap().reported_streams(now, upstream)
    }
}
