//! Cluster-wide reservations, so that two suspects never run on the same upstream at once.
//!
//! Rendezvous hashing picks one coordinator per upstream, which grants one reservation at a time.
//! A suspect is sent only with a reservation, so that a crash implicates a single suspect.

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

/// Time after which a reservation that was not released expires.
const RESERVATION_TIMEOUT: Millis = Millis(60_000);

/// Identifies one reservation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    pub upstream: Upstream,
    pub holder: Vm,
    pub incarnation: Incarnation,
    /// Sequence number that increases with each ticket of the holder.
    pub number: u64,
}

/// The response to a request for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    Granted,
    /// Another ticket holds the upstream.
    Taken,
}

/// The reservations that this node has granted as a coordinator, with their expiry.
#[derive(Debug, Default)]
pub struct Reservations {
    held: BTreeMap<Upstream, (Ticket, Millis)>,
}

impl Reservations {
    /// Reserves the upstream for the ticket, or extends its reservation, unless another ticket
    /// holds it.
    pub fn reserve(&mut self, now: Millis, ticket: Ticket) -> Decision {
        self.held.retain(|_, (_, until)| *until > now);
        if self.held.get(&ticket.upstream).is_some_and(|(held, _)| *held != ticket) {
            return Decision::Taken;
        }
        self.held.insert(ticket.upstream.clone(), (ticket, now + RESERVATION_TIMEOUT));
        Decision::Granted
    }

    /// Releases the reservation if the ticket still holds it.
    pub fn release(&mut self, ticket: &Ticket) {
        if self.held.get(&ticket.upstream).is_some_and(|(held, _)| held == ticket) {
            self.held.remove(&ticket.upstream);
        }
    }
}

/// Reservations granted by this node and the counter for its own tickets.
#[derive(Default)]
pub(super) struct Registry {
    granted: Mutex<Reservations>,
    next_number: AtomicU64,
}

impl Registry {
    pub(super) fn reserve(&self, now: Millis, ticket: Ticket) -> Decision {
        self.granted.lock().unwrap().reserve(now, ticket)
    }

    pub(super) fn release(&self, ticket: &Ticket) {
        self.granted.lock().unwrap().release(ticket);
    }
}

/// Guard of a reservation. Releases it when dropped.
pub(super) struct Guard {
    context: Shared,
    ticket: Ticket,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let (context, ticket) = (self.context.clone(), self.ticket.clone());
        tokio::spawn(async move { release(&context, ticket).await });
    }
}

/// Reserves an upstream for one suspect. Returns `None` if another suspect holds it or if the
/// coordinator doesn't respond.
pub(super) async fn reserve(context: &Shared, upstream: &Upstream) -> Option<Guard> {
    let number = context.attempt.reservations.next_number.fetch_add(1, Ordering::Relaxed);
    let ticket = Ticket {
        upstream: upstream.clone(),
        holder: context.settings.vm.clone(),
        incarnation: context.incarnation,
        number,
    };
    // The guard also releases the ticket if the response is lost: it may have been granted.
    let guard = Guard { context: context.clone(), ticket: ticket.clone() };
    (request(context, ticket).await == Some(Decision::Granted)).then_some(guard)
}

async fn request(context: &Shared, ticket: Ticket) -> Option<Decision> {
    let coordinator = coordinator(context, &ticket.upstream);
    if coordinator == context.settings.vm {
        return Some(context.attempt.reservations.reserve(context.clock.now(), ticket));
    }
    let address = context.membership.view().nodes.get(&coordinator)?.address;
    let message = PeerMessage::Attempt(Message::Reserve(ticket));
    match context.peer.call(address, message).await {
        Ok(PeerMessage::Attempt(Message::Reservation(decision))) => Some(decision),
        Ok(_) => None,
        Err(error) => {
            log::debug!("attempt: {coordinator} did not respond to a reservation request: {error}");
            None
        }
    }
}

async fn release(context: &Shared, ticket: Ticket) {
    let coordinator = coordinator(context, &ticket.upstream);
    if coordinator == context.settings.vm {
        return context.attempt.reservations.release(&ticket);
    }
    let view = context.membership.view();
    let Some(node) = view.nodes.get(&coordinator) else { return };
    let message = PeerMessage::Attempt(Message::Release(ticket));
    if let Err(error) = context.peer.call(node.address, message).await {
        log::debug!("attempt: reservation was not released at {coordinator}: {error}");
    }
}

/// The node that grants the reservations of an upstream, by rendezvous hashing over the view.
fn coordinator(context: &Shared, upstream: &Upstream) -> Vm {
    let view = context.membership.view();
    let chosen = rendezvous::choose(&upstream.0, view.nodes.keys());
    chosen.unwrap_or(&context.settings.vm).clone()
}
