//! Updates on their way to other nodes: pushed once, then riding on probes for a while.

use std::collections::BTreeMap;

use crate::{
    id::{Upstream, Vm},
    time::Millis,
};

use super::message::{Claim, Mark, Update};

/// Updates that one message carries at most.
const UPDATES_PER_MESSAGE: usize = 6;
/// Updates that one push carries at most.
const UPDATES_PER_PUSH: usize = 16;

/// What is still to be told, the latest of each subject.
#[derive(Clone, Debug, Default)]
pub(super) struct News {
    items: BTreeMap<Subject, Item>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Node(Vm),
    Upstream(Upstream),
}

#[derive(Clone, Debug)]
struct Item {
    told: Told,
    /// Messages that the update has ridden on.
    rides: u32,
    pushed: bool,
}

#[derive(Clone, Debug)]
enum Told {
    Node(Claim),
    /// A mark and when it ends.
    Upstream(Upstream, Millis),
}

impl News {
    pub(super) fn node(&mut self, claim: Claim) {
        let item = Item { told: Told::Node(claim.clone()), rides: 0, pushed: false };
        self.items.insert(Subject::Node(claim.vm), item);
    }

    pub(super) fn upstream(&mut self, upstream: Upstream, end: Millis) {
        let item = Item { told: Told::Upstream(upstream.clone(), end), rides: 0, pushed: false };
        self.items.insert(Subject::Upstream(upstream), item);
    }

    /// Updates that were not pushed yet, in messages of bounded size.
    pub(super) fn push(&mut self, now: Millis) -> Vec<Vec<Update>> {
        let fresh = self.items.values_mut().filter(|item| !item.pushed);
        let updates: Vec<Update> = fresh
            .filter_map(|item| {
                item.pushed = true;
                item.told.update(now)
            })
            .collect();
        updates.chunks(UPDATES_PER_PUSH).map(<[Update]>::to_vec).collect()
    }

    /// The updates that ride on the next message: those that were told least.
    pub(super) fn ride(&mut self, now: Millis, nodes: usize) -> Vec<Update> {
        let limit = 2 * nodes.max(2).ilog2() + 2;
        let mut least: Vec<&mut Item> = self.items.values_mut().collect();
        least.sort_by_key(|item| item.rides);
        let riding = least.into_iter().take(UPDATES_PER_MESSAGE);
        let updates = riding
            .filter_map(|item| {
                item.rides += 1;
                item.told.update(now)
            })
            .collect();
        self.items.retain(|_, item| item.rides < limit);
        updates
    }
}

impl Told {
    fn update(&self, now: Millis) -> Option<Update> {
        match self {
            Told::Node(claim) => Some(Update::Node(claim.clone())),
            Told::Upstream(upstream, end) => {
                let remaining = *end - now;
                let mark = Mark { upstream: upstream.clone(), remaining };
                (remaining > Millis(0)).then_some(Update::Upstream(mark))
            }
        }
    }
}
