//! Items of an owner's jobs: started while there is room, paused to make room, given up in time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tokio::{sync::oneshot, time::Instant};

use crate::{
    balance::Class,
    id::{Service, Upstream},
    time::Millis,
};

use super::{
    super::{
        ledger::{ItemId, RunEnd},
        run::{self, Finished, Run},
    },
    Owner, UPKEEP,
    writes::Effect,
};

/// Added to the time after which an item may be abandoned, for clocks that differ.
const ABANDON_MARGIN: Millis = Millis(5_000);

/// An item that is running.
pub(super) struct Running {
    upstream: Upstream,
    pub(super) pause: Option<oneshot::Sender<()>>,
}

impl Owner {
    /// Starts items while their services have room.
    pub(super) fn schedule(&mut self) {
        if self.releasing.is_some() {
            return;
        }
        let now = self.tools.context.clock.now();
        let items: Vec<ItemId> = self.ledger.runnable(now).cloned().collect();
        let mut full = BTreeSet::new();
        let mut room = BTreeMap::new();
        for item in items {
            let Some(job) = self.ledger.job(&item.job) else { continue };
            let Some(route) = self.route(&job.head) else { continue };
            let service = route.service(rand::random()).clone();
            if full.contains(&service) {
                continue;
            }
            let left = room.entry(service.clone()).or_insert_with(|| self.room(&service));
            if *left == 0 {
                full.insert(service);
                continue;
            }
            *left -= 1;
            let entry = &job.head.items[item.index as usize];
            let request = match run::request(&job.head.host, entry) {
                Ok(request) => request,
                Err(why) => {
                    log::warn!(job = item.job.0.as_str(), item = entry.id.as_str(), why = why.as_str(); "item can't be sent");
                    let progress = self.ledger.start(&item);
                    let finished = Finished { id: item, end: RunEnd::Impossible, progress };
                    self.ran(finished);
                    continue;
                }
            };
            let lease = match self.tools.context.choose(&service, Class::Batch, &BTreeSet::new()) {
                Ok(lease) => lease,
                Err(_) => {
                    full.insert(service);
                    continue;
                }
            };
            let (pause, paused) = oneshot::channel();
            let upstream = lease.pick.upstream.clone();
            self.running.insert(item.clone(), Running { upstream, pause: Some(pause) });
            let run = Run {
                context: Arc::clone(&self.tools.context),
                progress: self.ledger.start(&item),
                id: item,
                request,
                lease,
                settings: self.tools.settings.clone(),
                pause: paused,
                progressed: self.progress_reports.clone(),
            };
            self.runs.spawn(run.run());
        }
    }

    /// Items that may start now: this owner's share of the room that all owners see.
    fn room(&self, service: &Service) -> u32 {
        let context = &self.tools.context;
        let room = context.balance().batch_room(context.clock.now(), service);
        let owners = self.tools.keeper.directory.quota().busy_partitions().max(1) as u32;
        room.div_ceil(owners)
    }

    /// Pauses items at upstreams that hold more requests than they have slots; those that are
    /// due last make room first.
    pub(super) fn make_room(&mut self) {
        let mut overfull = self.tools.context.balance().overfull();
        if overfull.is_empty() {
            return;
        }
        let mut items: Vec<&ItemId> = self.running.keys().collect();
        items.sort_by_key(|item| std::cmp::Reverse((self.ledger.due(item), item.index)));
        let items: Vec<ItemId> = items.into_iter().cloned().collect();
        for item in items {
            let Some(running) = self.running.get_mut(&item) else { continue };
            let Some(excess) = overfull.get_mut(&running.upstream) else { continue };
            if *excess == 0 {
                continue;
            }
            if let Some(pause) = running.pause.take() {
                *excess -= 1;
                let _ = pause.send(());
            }
        }
    }

    pub(super) fn ran(&mut self, finished: Finished) {
        let Finished { id, end, progress } = finished;
        self.running.remove(&id);
        let Some(job) = self.ledger.job(&id.job) else { return };
        let attempts = self.route(&job.head).map_or(1, |route| route.max_attempts);
        let now = self.tools.context.clock.now();
        let retry = Millis(self.tools.settings.retry_ms);
        let metrics = &self.tools.context.metrics;
        metrics.count(&metrics.batch, "run", &format!("{end:?}").to_lowercase());
        let records = self.ledger.ran(now, &id, &end, progress, attempts, retry);
        if !records.is_empty() {
            self.write(records, Effect::Listed(id.job));
            self.report();
        }
    }

    /// Gives up items whose time or route has ended, and forgets old jobs.
    pub(super) fn upkeep(&mut self, now: Instant) {
        if now < self.next_upkeep {
            return;
        }
        self.next_upkeep = now + UPKEEP.duration();
        let Some(catalog) = self.tools.catalog.current() else { return };
        let wall = self.tools.context.clock.wall().0;
        let mut over = Vec::new();
        for (id, job) in self.ledger.jobs() {
            if !job.durable || job.ended || job.is_complete() {
                continue;
            }
            let route = catalog.find(&job.head.host, &job.head.path);
            let expired = route.is_some_and(|route| {
                route.abandon_after.0 > 0
                    && wall > job.head.accepted + route.abandon_after.0 + ABANDON_MARGIN.0
            });
            if route.is_none() || expired {
                over.push((id.clone(), if expired { "time is up" } else { "route is gone" }));
            }
        }
        for (id, why) in over {
            let given_up = self.ledger.abandon(&id);
            log::warn!(job = id.0.as_str(), items = given_up.len(), why = why, config = catalog.version; "items given up");
            for records in given_up {
                self.write(records, Effect::Listed(id.clone()));
            }
        }
        let old = self.ledger.forget(wall.saturating_sub(self.tools.settings.keep_ms));
        if !old.is_empty() {
            self.write(old, Effect::Saved);
        }
    }
}
