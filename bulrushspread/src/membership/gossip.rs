//! Dissemination of updates: each is pushed once to the neighbours, then piggybacked on a bounded
//! number of probes and acknowledgements.

use std::collections::BTreeMap;

use crate::{
    id::{Upstream, Vm},
    time::Millis,
};

use super::message::{Mark, Member, Update};

/// Maximum number of updates that are piggybacked on one probe or acknowledgement.
const UPDATES_PER_MESSAGE: usize = 6;
/// Maximum number of updates in one pushed message.
const UPDATES_PER_PUSH: usize = 16;

/// Updates to disseminate, only the latest for each subject.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    items: BTreeMap<Subject, Item>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Node(Vm),
    Upstream(Upstream),
}

#[derive(Clone, Debug)]
struct Item {
    content: Content,
    /// Number of messages on which the update was piggybacked.
    transmissions: u32,
    pushed: bool,
}

#[derive(Clone, Debug)]
enum Content {
    Node(Member),
    /// A leaving mark and when it expires.
    Upstream(Upstream, Millis),
}

impl Queue {
    pub(super) fn enqueue_node(&mut self, member: Member) {
        let item = Item { content: Content::Node(member.clone()), transmissions: 0, pushed: false };
        self.items.insert(Subject::Node(member.vm), item);
    }

    pub(super) fn enqueue_upstream(&mut self, upstream: Upstream, expiry: Millis) {
        let item = Item {
            content: Content::Upstream(upstream.clone(), expiry),
            transmissions: 0,
            pushed: false,
        };
        self.items.insert(Subject::Upstream(upstream), item);
    }

    /// Takes the updates that were not pushed yet, in messages of bounded size.
    pub(super) fn take_unpushed(&mut self, now: Millis) -> Vec<Vec<Update>> {
        let unpushed = self.items.values_mut().filter(|item| !item.pushed);
        let updates: Vec<Update> = unpushed
            .filter_map(|item| {
                item.pushed = true;
                item.content.to_update(now)
            })
            .collect();
        updates.chunks(UPDATES_PER_PUSH).map(<[Update]>::to_vec).collect()
    }

    /// Selects updates for the next message, those with the fewest transmissions first. Updates
    /// that reached their limit, which grows with the logarithm of `nodes`, are dropped.
    pub(super) fn piggyback(&mut self, now: Millis, nodes: usize) -> Vec<Update> {
        let limit = 2 * nodes.max(2).ilog2() + 2;
        let mut by_transmissions: Vec<&mut Item> = self.items.values_mut().collect();
        by_transmissions.sort_by_key(|item| item.transmissions);
        let selected = by_transmissions.into_iter().take(UPDATES_PER_MESSAGE);
        let updates = selected
            .filter_map(|item| {
                item.transmissions += 1;
                item.content.to_update(now)
            })
            .collect();
        self.items.retain(|_, item| item.transmissions < limit);
        updates
    }
}

impl Content {
    fn to_update(&self, now: Millis) -> Option<Update> {
        match self {
            Content::Node(member) => Some(Update::Node(member.clone())),
            Content::Upstream(upstream, expiry) => {
                let remaining = *expiry - now;
                let mark = Mark { upstream: upstream.clone(), remaining };
                (remaining > Millis(0)).then_some(Update::Upstream(mark))
            }
        }
    }
}
