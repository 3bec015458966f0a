//! Access to the routing state for the other modules of the node.

use std::sync::{Arc, Mutex, MutexGuard};

use crate::{
    id::{DataCentre, Upstream},
    node::Shared,
    time::Millis,
};

use super::{Criteria, Pick, Refusal, Settings, State, state::Outcome};

/// The routing state shared by all tasks of the node. Cheap to clone.
#[derive(Clone)]
pub struct Handle {
    state: Arc<Mutex<State>>,
}

impl Handle {
    /// Creates the state of a node in the data centre `home`; `seed` initializes the random number
    /// generator.
    pub fn new(settings: Settings, home: DataCentre, seed: u64) -> Handle {
        Handle { state: Arc::new(Mutex::new(State::new(settings, home, seed))) }
    }

    /// Chooses a replica and notifies the batch runners that an online request is about to be
    /// sent to it.
    pub fn pick(&self, context: &Shared, criteria: &Criteria) -> Result<Guard, Refusal> {
        let now = context.clock.now();
        let pick = self.state().pick(now, criteria)?;
        context.batch.runner.record_dispatch(context, &pick.upstream, pick.in_flight);
        Ok(Guard {
            context: context.clone(),
            pick,
            started_at: now,
            outcome: Outcome::Neutral,
            awaits_response: true,
        })
    }

    /// Returns the slots of all replicas of a deployment or plain service that are not leaving.
    pub fn slots(&self, serves: &str) -> u32 {
        self.state().slots(serves)
    }

    /// Returns the number of this node's online requests in flight at a replica.
    pub fn in_flight(&self, upstream: &Upstream) -> u32 {
        self.state().in_flight(upstream)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

/// A request in flight at a replica. Dropping the guard counts the request as finished, with
/// [`Outcome::Neutral`] unless [`Guard::finish`] was called.
pub struct Guard {
    context: Shared,
    pub pick: Pick,
    started_at: Millis,
    outcome: Outcome,
    /// Whether no part of a response has arrived yet.
    awaits_response: bool,
}

impl Guard {
    /// Records that a response, or an event of one, has arrived. The first call measures the
    /// latency, later ones have no effect.
    pub fn observe_response(&mut self) {
        if !std::mem::take(&mut self.awaits_response) {
            return;
        }
        let latency = self.context.clock.now() - self.started_at;
        self.context.route.state().observe_latency(&self.pick.upstream, latency);
    }

    /// Allows other requests at the replica of a request that was exclusive until now.
    pub fn end_isolation(&mut self) {
        self.context.route.state().end_isolation(&mut self.pick);
    }

    /// Finishes the request and records its outcome in the replica's health.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let remaining = self.context.route.state().finish(now, &self.pick, self.outcome);
        self.context.batch.runner.record_completion(&self.context, &self.pick.upstream, remaining);
    }
}
