//! Decides which waiting items start and which running ones make room.

use std::collections::BTreeMap;

use crate::{id::Upstream, time::Millis};

use super::{
    ledger::ItemId,
    order::{Urgency, Waiting},
};

/// How many of `waiting`, which is in order, start now: those that stay among the first `room`
/// items over all owners. `ahead` counts the items of other owners that go before an urgency.
pub fn starts(waiting: &[Waiting], room: u32, ahead: impl Fn(Urgency) -> u32) -> usize {
    let fits = |(index, entry): &(usize, &Waiting)| ahead(entry.urgency) + (*index as u32) < room;
    waiting.iter().enumerate().take_while(fits).count()
}

/// An item that runs and may be asked to make room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    pub item: ItemId,
    pub upstream: Upstream,
    pub due: Millis,
}

/// The items that make room where upstreams are overfull by so many: those that are due last. An
/// item that is late already goes on, as it is the nearest to its end.
pub fn pauses(mut running: Vec<Running>, mut overfull: BTreeMap<Upstream, u32>) -> Vec<ItemId> {
    running.sort_by(|a, b| (b.due, &b.item).cmp(&(a.due, &a.item)));
    let mut pauses = Vec::new();
    for Running { item, upstream, .. } in running {
        if let Some(excess) = overfull.get_mut(&upstream).filter(|excess| **excess > 0) {
            *excess -= 1;
            pauses.push(item);
        }
    }
    pauses
}
