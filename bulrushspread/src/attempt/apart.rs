//! Runs suspects apart from one another, over all nodes.
//!
//! For each upstream one node, the same in the view of all, grants one reservation at a time. A
//! suspect runs only with a reservation, so that the death of an upstream blames one suspect.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use serde::{Deserialize, Serialize};

use crate::{
    id::{Incarnation, Upstream, Vm},
    node::Shared,
    peer::message::Message as PeerMessage,
    rendezvous,
    time::Millis,
};

use super::message::Message;

/// Time after which a reservation ends though nobody gave it back.
const RESERVATION_TIMEOUT: Millis = Millis(60_000);

/// Names one reservation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    pub upstream: Upstream,
    pub holder: Vm,
    pub incarnation: Incarnation,
    /// Grows with each ticket of the holder.
    pub number: u64,
}

/// The answer to a request for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Granted,
    Taken,
}

/// The reservations that this node has granted.
#[derive(Debug, Default)]
pub struct Reservations {
    held: BTreeMap<Upstream, (Ticket, Millis)>,
}

impl Reservations {
    /// Grants the upstream to the ticket unless another one holds it.
    pub fn reserve(&mut self, now: Millis, ticket: Ticket) -> Verdict {
        self.held.retain(|_, (_, until)| *until > now);
        if self.held.get(&ticket.upstream).is_some_and(|(held, _)| *held != ticket) {
            return Verdict::Taken;
        }
        self.held.insert(ticket.upstream.clone(), (ticket, now + RESERVATION_TIMEOUT));
        Verdict::Granted
    }

    /// Gives a reservation back.
    pub fn release(&mut self, ticket: &Ticket) {
        if self.held.get(&ticket.upstream).is_some_and(|(held, _)| held == ticket) {
            self.held.remove(&ticket.upstream);
        }
    }
}

/// The reservations of the node and the numbers of its tickets.
#[derive(Default)]
pub(super) struct Apart {
    reservations: Mutex<Reservations>,
    tickets: AtomicU64,
}

impl Apart {
    pub(super) fn reserve(&self, now: Millis, ticket: Ticket) -> Verdict {
        self.reservations.lock().unwrap().reserve(now, ticket)
    }

    pub(super) fn release(&self, ticket: &Ticket) {
        self.reservations.lock().unwrap().release(ticket);
    }
}

/// A granted reservation. Dropping it gives it back.
pub(super) struct Reserved {
    context: Shared,
    ticket: Ticket,
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let (context, ticket) = (self.context.clone(), self.ticket.clone());
        tokio::spawn(async move { release(&context, ticket).await });
    }
}

/// Reserves an upstream for one suspect. Nothing where another one holds it, or where the node
/// that grants it gives no answer.
pub(super) async fn reserve(context: &Shared, upstream: &Upstream) -> Option<Reserved> {
    let number = context.attempt.apart.tickets.fetch_add(1, Ordering::Relaxed);
    let ticket = Ticket {
        upstream: upstream.clone(),
        holder: context.settings.vm.clone(),
        incarnation: context.incarnation,
        number,
    };
    // Given back also where the answer is lost: the ticket may have been granted all the same.
    let reserved = Reserved { context: context.clone(), ticket: ticket.clone() };
    (ask(context, ticket).await == Some(Verdict::Granted)).then_some(reserved)
}

async fn ask(context: &Shared, ticket: Ticket) -> Option<Verdict> {
    let granter = granter(context, &ticket.upstream);
    if granter == context.settings.vm {
        return Some(context.attempt.apart.reserve(context.clock.now(), ticket));
    }
    let address = context.membership.view().nodes.get(&granter)?.address;
    let message = PeerMessage::Attempt(Message::Reserve(ticket));
    match context.peer.call(address, message).await {
        Ok(PeerMessage::Attempt(Message::Reservation(verdict))) => Some(verdict),
        Ok(_) => None,
        Err(error) => {
            log::debug!("attempt: {granter} gave no reservation: {error}");
            None
        }
    }
}

async fn release(context: &Shared, ticket: Ticket) {
    let granter = granter(context, &ticket.upstream);
    if granter == context.settings.vm {
        return context.attempt.apart.release(&ticket);
    }
    let view = context.membership.view();
    let Some(node) = view.nodes.get(&granter) else { return };
    let message = PeerMessage::Attempt(Message::Release(ticket));
    if let Err(error) = context.peer.call(node.address, message).await {
        log::debug!("attempt: {granter} did not take a reservation back: {error}");
    }
}

/// The node that grants reservations of an upstream.
fn granter(context: &Shared, upstream: &Upstream) -> Vm {
    let view = context.membership.view();
    let chosen = rendezvous::choose(&upstream.0, view.nodes.keys());
    chosen.unwrap_or(&context.settings.vm).clone()
}
