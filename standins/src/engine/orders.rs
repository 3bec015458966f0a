//! Orders and the models that they loaded.

use std::collections::BTreeSet;

use bulrushspread::upstream::Order;
use serde::Serialize;

/// An order that the engine accepted.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Accepted {
    pub(crate) fence: u64,
    pub(crate) order: Order,
}

/// Whether an order was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Accepted,
    OldFence,
}

#[derive(Default)]
pub(crate) struct Orders {
    pub(crate) accepted: Vec<Accepted>,
    pub(crate) loaded: BTreeSet<String>,
    pub(crate) role: Option<String>,
    highest_fence: u64,
}

impl Orders {
    pub(crate) fn new(loaded: &[String]) -> Orders {
        Orders { loaded: loaded.iter().cloned().collect(), ..Orders::default() }
    }

    /// Accepts the order unless its fencing number is old and `checks_fence` holds.
    pub(crate) fn accept(&mut self, order: Order, fence: u64, checks_fence: bool) -> Verdict {
        if checks_fence && fence < self.highest_fence {
            return Verdict::OldFence;
        }
        self.highest_fence = self.highest_fence.max(fence);
        self.accepted.push(Accepted { fence, order });
        Verdict::Accepted
    }

    /// Carries out an accepted order.
    pub(crate) fn apply(&mut self, order: Order) {
        match order {
            Order::Load { model } => drop(self.loaded.insert(model)),
            Order::Unload { model } => drop(self.loaded.remove(&model)),
            Order::Role { role } => self.role = Some(role),
        }
    }
}
