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
