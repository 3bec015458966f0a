//! What the log still holds of the registry's past, from which a node that starts learns the recent
//! versions.

use std::collections::{BTreeMap, BTreeSet};

use crate::{id::Upstream, time::Millis};

use super::{Entry, Software};

/// Part of the calculated time that counts, in percent, because upstreams may renew their entries
/// somewhat faster than they should.
const MARGIN_PERCENT: u64 = 80;

/// Records of the registry, without gaps up to the first read of this node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    pub software: BTreeSet<Software>,
    /// Lower bound of the time that the records cover.
    pub reach: Millis,
}

impl History {
    /// Evaluates records in the order in which they were written; `None` is the removal of an entry.
    /// Upstreams renew an unchanged entry every `heartbeat`, if that is known.
    pub fn new(
        records: impl IntoIterator<Item = (Upstream, Option<Entry>)>,
        heartbeat: Option<Millis>,
    ) -> History {
        let mut history = History::default();
        let mut latest: BTreeMap<Upstream, (Entry, u64)> = BTreeMap::new();
        let mut renewals: BTreeMap<Upstream, u64> = BTreeMap::new();
        for (upstream, entry) in records {
            let Some(entry) = entry else {
                latest.remove(&upstream);
                continue;
            };
            history.software.insert(entry.software());
            let count = match latest.get(&upstream) {
                Some((previous, count)) if *previous == entry => count + 1,
                _ => 0,
            };
            let most = renewals.entry(upstream.clone()).or_default();
            *most = count.max(*most);
            latest.insert(upstream, (entry, count));
        }
        let mut counts: Vec<u64> = renewals.into_values().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        // The second highest count, so that a single upstream that renews too often changes nothing.
        let count = counts.get(1).or(counts.first()).copied().unwrap_or(0);
        let heartbeat = heartbeat.unwrap_or_default();
        history.reach = Millis(count.saturating_mul(heartbeat.0) / 100 * MARGIN_PERCENT);
        history
    }
}
