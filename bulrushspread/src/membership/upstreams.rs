//! The upstreams: listed by the platform, marked as leaving by the list, engines or peers.

use std::collections::BTreeMap;

use crate::{
    id::Upstream,
    time::Millis,
    vms::{Listed, Phase, Role},
};

use super::{
    message::{Mark, Update},
    view::Replica,
};

/// Time for which a mark holds unless it is renewed.
const MARK: Millis = Millis(60_000);
/// Age from which a mark is renewed and told again.
const RENEWAL: Millis = Millis(20_000);
/// Time for which an upstream stays that the list no longer shows.
const ABSENCE: Millis = Millis(10_000);

/// What is known of upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct Upstreams {
    listed: BTreeMap<Upstream, Seen>,
    /// When each mark ends.
    marks: BTreeMap<Upstream, Millis>,
}

#[derive(Clone, Debug)]
struct Seen {
    replica: Replica,
    at: Millis,
}

impl Upstreams {
    /// Takes in what the VM list shows and returns the upstreams that it calls leaving.
    pub(super) fn list(&mut self, now: Millis, listed: &[Listed]) -> Vec<Upstream> {
        let mut leaving = Vec::new();
        for entry in listed {
            let Role::Upstream { serves } = &entry.role else { continue };
            let upstream = Upstream(entry.vm.0.clone());
            let replica = Replica {
                serves: serves.clone(),
                address: entry.address,
                data_centre: entry.data_centre.clone(),
                leaving: entry.phase == Phase::Leaving,
            };
            if replica.leaving {
                leaving.push(upstream.clone());
            }
            self.listed.insert(upstream, Seen { replica, at: now });
        }
        self.listed.retain(|_, seen| now - seen.at < ABSENCE);
        leaving
    }

    /// Takes in a mark. Returns its end where others should hear of it.
    pub(super) fn mark(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        span: Millis,
    ) -> Option<Millis> {
        let end = now + span.min(MARK);
        let known = self.marks.get(upstream).copied().unwrap_or_default();
        if end <= known.max(now) || (known > now && end <= known + RENEWAL) {
            return None;
        }
        self.marks.insert(upstream.clone(), end);
        Some(end)
    }

    /// A mark by somebody who sees that the upstream is leaving.
    pub(super) fn mark_now(&mut self, now: Millis, upstream: &Upstream) -> Option<Millis> {
        self.mark(now, upstream, MARK)
    }

    /// Drops the marks that have ended and tells whether there were any.
    pub(super) fn expire(&mut self, now: Millis) -> bool {
        let before = self.marks.len();
        self.marks.retain(|_, end| now < *end);
        self.marks.len() < before
    }

    pub(super) fn updates(&self, now: Millis) -> impl Iterator<Item = Update> {
        let running = self.marks.iter().filter(move |(_, end)| now < **end);
        running.map(move |(upstream, end)| {
            Update::Upstream(Mark { upstream: upstream.clone(), remaining: *end - now })
        })
    }

    pub(super) fn view(&self) -> BTreeMap<Upstream, Replica> {
        let replica = |(upstream, seen): (&Upstream, &Seen)| {
            let leaving = seen.replica.leaving || self.marks.contains_key(upstream);
            (upstream.clone(), Replica { leaving, ..seen.replica.clone() })
        };
        self.listed.iter().map(replica).collect()
    }
}
