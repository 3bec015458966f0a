//! What other slices use of this one.

use std::sync::{Arc, Mutex, MutexGuard};

use crate::{
    id::{DataCentre, Upstream},
    node::Shared,
    time::Millis,
};

use super::{Pick, Refusal, Settings, State, Want, state::End};

/// Shared by all tasks of the node. Cheap to clone.
#[derive(Clone)]
pub struct Handle {
    state: Arc<Mutex<State>>,
}

impl Handle {
    pub fn new(settings: Settings, home: DataCentre, seed: u64) -> Handle {
        Handle { state: Arc::new(Mutex::new(State::new(settings, home, seed))) }
    }

    /// Chooses a replica and tells its batch runner that online work is about to be sent there.
    pub fn pick(&self, context: &Shared, want: &Want) -> Result<Lease, Refusal> {
        let now = context.clock.now();
        let pick = self.state().pick(now, want)?;
        context.batch.runner.record_dispatch(context, &pick.upstream, pick.in_flight);
        Ok(Lease { context: context.clone(), pick, started: now, end: End::Neutral, first: true })
    }

    /// Slots of all replicas of a name that take requests.
    pub fn slots(&self, serves: &str) -> u32 {
        self.state().slots(serves)
    }

    /// Online requests of this node in flight at a replica.
    pub fn in_flight(&self, upstream: &Upstream) -> u32 {
        self.state().in_flight(upstream)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

/// A request in flight at a replica. Dropping it ends the request there.
pub struct Lease {
    context: Shared,
    pub pick: Pick,
    started: Millis,
    end: End,
    /// No answer has come yet.
    first: bool,
}

impl Lease {
    /// An answer, or an event of one, has come.
    pub fn answered(&mut self) {
        if !std::mem::take(&mut self.first) {
            return;
        }
        let latency = self.context.clock.now() - self.started;
        self.context.route.state().answered(&self.pick.upstream, latency);
    }

    /// Lets other requests join one that was picked to run alone.
    pub fn share(&mut self) {
        self.context.route.state().share(&mut self.pick);
    }

    /// Ends the request with what it shows of the replica's health.
    pub fn finish(mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let left = self.context.route.state().end(now, &self.pick, self.end);
        self.context.batch.runner.record_completion(&self.context, &self.pick.upstream, left);
    }
}
