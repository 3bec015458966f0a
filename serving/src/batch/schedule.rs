//! Decides which waiting items start and which running items are paused.

use std::collections::BTreeMap;

use crate::{balance::Refusal, id::Upstream, time::Millis};

use super::{
    ledger::ItemId,
    order::{Urgency, WaitingItem},
};

/// Maximum time that an item waits for a slot at the software that began it while other software
/// has free slots.
const RESUME_PATIENCE: Millis = Millis(2_000);

/// Maximum time that an item waits for a healthy upstream of the service that began it while another
/// service of its route has one.
const ABSENCE_PATIENCE: Millis = Millis(500);

/// What a service can take of batch items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Capacity {
    /// It has no healthy upstream.
    None,
    /// Its upstreams have no free slot.
    Full,
    Free,
}

/// Whether an item that has waited for `waited` stays with the service that began it, which has the
/// capacity `own`, instead of starting over at another service of its route. `best` is the greatest
/// capacity of the others.
pub fn stays_with_service(own: Capacity, best: Capacity, waited: Millis) -> bool {
    match (own, best) {
        (_, Capacity::None) | (Capacity::Free, _) => true,
        (Capacity::None, Capacity::Full | Capacity::Free) => waited < ABSENCE_PATIENCE,
        (Capacity::Full, Capacity::Full) => true,
        (Capacity::Full, Capacity::Free) => waited < RESUME_PATIENCE,
    }
}

/// Whether an item that has waited for `waited` goes on waiting for the software that began it,
/// whose upstreams refused it, instead of starting over.
pub fn waits_for_software(refusal: Refusal, waited: Millis) -> bool {
    let may_take_it_later = match refusal {
        Refusal::Full { .. } | Refusal::Limited { .. } | Refusal::NoPath { .. } => true,
        Refusal::NoUpstream { .. } | Refusal::Blocked { .. } => false,
    };
    may_take_it_later && waited < RESUME_PATIENCE
}

/// Returns how many of the `waiting` items of an owner, sorted by urgency, start now: those that
/// are among the first `free_slots` items of all owners. `ahead` counts the items of other owners
/// that run before a given urgency.
pub fn count_starts(
    waiting: &[WaitingItem],
    free_slots: u32,
    ahead: impl Fn(Urgency) -> u32,
) -> usize {
    let fits = |(index, entry): &(usize, &WaitingItem)| {
        ahead(entry.urgency).saturating_add(*index as u32) < free_slots
    };
    waiting.iter().enumerate().take_while(fits).count()
}

/// A running item that may be paused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningItem {
    pub item: ItemId,
    pub upstream: Upstream,
    pub due: Millis,
}

/// Selects the items to pause: at each upstream as many as it is overfull by, those that are due
/// last. Items that are late already keep running, because they are the closest to their end.
pub fn select_pauses(
    mut running: Vec<RunningItem>,
    mut overfull: BTreeMap<Upstream, u32>,
) -> Vec<ItemId> {
    running.sort_by(|a, b| (b.due, &b.item).cmp(&(a.due, &a.item)));
    let mut pauses = Vec::new();
    for RunningItem { item, upstream, .. } in running {
        if let Some(excess) = overfull.get_mut(&upstream).filter(|excess| **excess > 0) {
            *excess -= 1;
            pauses.push(item);
        }
    }
    pauses
}
