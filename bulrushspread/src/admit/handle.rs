//! Interface of this module to the rest of the daemon.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use cadence::CountedExt;
use tokio::sync::{Notify, oneshot};

use crate::{
    config::document::WorkspaceSpec,
    error::{Error, Kind, Result},
    node::Shared,
};

use super::{
    Settings, State,
    queue::Ticket,
    share::Allocator,
    state::{Action, Decision, Request},
};

/// State shared by all tasks of the node. Cheap to clone.
#[derive(Clone)]
pub struct Handle {
    inner: Arc<Mutex<Inner>>,
    /// Notified when a request was refused because the node's share is used up.
    pub(super) share_exhausted: Arc<Notify>,
}

/// The state and the requests that wait for its decisions.
pub(super) struct Inner {
    pub(super) state: State,
    pub(super) allocator: Allocator,
    waiters: BTreeMap<Ticket, oneshot::Sender<Result<()>>>,
}

impl Handle {
    pub fn new(settings: Settings) -> Handle {
        let inner = Inner {
            state: State::new(settings),
            allocator: Allocator::default(),
            waiters: BTreeMap::new(),
        };
        Handle { inner: Arc::new(Mutex::new(inner)), share_exhausted: Arc::default() }
    }

    /// Waits until the request is admitted and returns its permit.
    ///
    /// # Errors
    /// `RateLimited` if the workspace's limits are used up, `DeadlineUnreachable` if the request
    /// would wait past its deadline.
    pub async fn acquire(
        &self,
        context: &Shared,
        request: Request,
        spec: &WorkspaceSpec,
    ) -> Result<Permit> {
        let slots = context.route.slots(&request.target);
        let (permit, waiter) = {
            let mut inner = self.inner();
            let permit = |ticket| Permit { context: context.clone(), ticket, tokens: 0 };
            match inner.state.admit(context.clock.now(), request, spec, slots) {
                Decision::Admitted(ticket) => return Ok(permit(ticket)),
                Decision::Refused(error) => {
                    let _ = context.metrics.incr(&format!("admit.refused.{}", error.kind));
                    if error.kind == Kind::RateLimited {
                        self.share_exhausted.notify_one();
                    }
                    return Err(error);
                }
                Decision::Queued(ticket) => {
                    let _ = context.metrics.incr("admit.queued");
                    let (decision_tx, waiter) = oneshot::channel();
                    inner.waiters.insert(ticket, decision_tx);
                    (permit(ticket), waiter)
                }
            }
        };
        match waiter.await {
            Ok(decision) => decision.map(|()| permit),
            Err(_) => Err(Error::new(Kind::Internal, "the queue lost the request")),
        }
    }

    pub(super) fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }
}

impl Inner {
    /// Sends decisions to the waiting requests.
    pub(super) fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, decision) = match action {
                Action::Admit(ticket) => (ticket, Ok(())),
                Action::Refuse(ticket, error) => (ticket, Err(error)),
            };
            if let Some(waiter) = self.waiters.remove(&ticket) {
                let _ = waiter.send(decision);
            }
        }
    }
}

/// Guard of an admitted or waiting request. Dropping it frees its slot or its place in the queue.
pub struct Permit {
    context: Shared,
    ticket: Ticket,
    /// Tokens that the request has used. The rest of its charge is refunded.
    pub tokens: u32,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let mut inner = self.context.admit.inner();
        inner.waiters.remove(&self.ticket);
        let actions = inner.state.release(now, self.ticket, self.tokens);
        inner.execute(actions);
    }
}
