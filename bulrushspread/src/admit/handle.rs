//! What other slices use of this one.

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
    share::Divider,
    state::{Action, Ask, Decision},
};

/// Shared by all tasks of the node. Cheap to clone.
#[derive(Clone)]
pub struct Handle {
    inner: Arc<Mutex<Inner>>,
    /// A request was refused for want of a share.
    pub(super) pressed: Arc<Notify>,
}

/// The state, and those who wait for its decisions.
pub(super) struct Inner {
    pub(super) state: State,
    pub(super) divider: Divider,
    waiters: BTreeMap<Ticket, oneshot::Sender<Result<()>>>,
}

impl Handle {
    pub fn new(settings: Settings) -> Handle {
        let inner = Inner {
            state: State::new(settings),
            divider: Divider::default(),
            waiters: BTreeMap::new(),
        };
        Handle { inner: Arc::new(Mutex::new(inner)), pressed: Arc::default() }
    }

    /// Waits until the request may be sent, or refuses it.
    pub async fn enter(&self, context: &Shared, ask: Ask, spec: &WorkspaceSpec) -> Result<Permit> {
        let slots = context.route.slots(&ask.serves);
        let (permit, waiter) = {
            let mut inner = self.inner();
            let permit = |ticket| Permit { context: context.clone(), ticket, tokens: 0 };
            match inner.state.enter(context.clock.now(), ask, spec, slots) {
                Decision::Admitted(ticket) => return Ok(permit(ticket)),
                Decision::Refused(error) => {
                    let _ = context.metrics.incr(&format!("admit.refused.{}", error.kind));
                    if error.kind == Kind::RateLimited {
                        self.pressed.notify_one();
                    }
                    return Err(error);
                }
                Decision::Queued(ticket) => {
                    let _ = context.metrics.incr("admit.queued");
                    let (admit, waiter) = oneshot::channel();
                    inner.waiters.insert(ticket, admit);
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
    /// Tells those who wait what was decided.
    pub(super) fn carry_out(&mut self, actions: Vec<Action>) {
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

/// A request that was admitted or waits. Dropping it makes room for the next one.
pub struct Permit {
    context: Shared,
    ticket: Ticket,
    /// Tokens that the request has used.
    pub tokens: u32,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let mut inner = self.context.admit.inner();
        inner.waiters.remove(&self.ticket);
        let actions = inner.state.leave(now, self.ticket, self.tokens);
        inner.carry_out(actions);
    }
}
