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
        order::{Urgency, Waiting},
        run::{self, Finished, Run},
    },
    Owner, UPKEEP,
    writes::Effect,
};

/// An item that is running.
pub(super) struct Running {
    upstream: Upstream,
    pub(super) pause: Option<oneshot::Sender<()>>,
}

impl Owner {
    /// Items that may run now, in order.
    pub(super) fn waiting(&self) -> Vec<Waiting> {
        let clock = &self.tools.context.clock;
        let (now, wall) = (clock.now(), clock.wall().0);
        let entry = |item: &ItemId| {
            let job = self.ledger.job(&item.job)?;
            let due = job.head.accepted + self.route(&job.head)?.results_due.0;
            let left = self.forecast.left(self.ledger.events(item));
            Some(Waiting { urgency: Urgency::new(wall, due, left), left, item: item.clone() })
        };
        let mut waiting: Vec<Waiting> = self.ledger.runnable(now).filter_map(entry).collect();
        waiting.sort();
        waiting
    }

    /// Starts the items that are the most urgent ones over all owners, as far as there is room.
    pub(super) fn schedule(&mut self) {
        if self.releasing.is_some() {
            return;
        }
        let mut full = BTreeSet::new();
        let mut room = BTreeMap::new();
        for (index, Waiting { urgency, item, .. }) in self.waiting().into_iter().enumerate() {
            let Some(job) = self.ledger.job(&item.job) else { continue };
            let Some(route) = self.route(&job.head) else { continue };
            let service = route.service(rand::random()).clone();
            if full.contains(&service) {
                continue;
            }
            let room = *room.entry(service.clone()).or_insert_with(|| self.room(&service));
            let quota = self.tools.coordinator.directory.quota();
            let ahead = quota.ahead(self.partition.number, urgency) + index as u32;
            drop(quota);
            if ahead >= room || !self.start(item, &service) {
                full.insert(service);
            }
        }
        self.report();
    }

    /// Starts an item if an upstream has room.
    fn start(&mut self, item: ItemId, service: &Service) -> bool {
        let Some(job) = self.ledger.job(&item.job) else { return true };
        let entry = &job.head.items[item.index as usize];
        let request = match run::request(&job.head.host, entry) {
            Ok(request) => request,
            Err(why) => {
                log::warn!(job = item.job.0.as_str(), item = entry.id.as_str(), why = why.as_str(); "item can't be sent");
                let progress = self.ledger.start(&item);
                let (events, span) = (0, Millis(0));
                self.ran(Finished { id: item, end: RunEnd::Impossible, progress, events, span });
                return true;
            }
        };
        let context = &self.tools.context;
        let Ok(lease) = context.choose(service, Class::Batch, &BTreeSet::new()) else {
            return false;
        };
        let (pause, paused) = oneshot::channel();
        let upstream = lease.pick.upstream.clone();
        self.running.insert(item.clone(), Running { upstream, pause: Some(pause) });
        let run = Run {
            context: Arc::clone(context),
            progress: self.ledger.start(&item),
            id: item,
            request,
            lease,
            settings: self.tools.settings.clone(),
            pause: paused,
            progressed: self.progress_reports.clone(),
        };
        self.runs.spawn(run.run());
        true
    }

    /// Items that may start now over all owners.
    fn room(&self, service: &Service) -> u32 {
        let context = &self.tools.context;
        context.balance().batch_room(context.clock.now(), service)
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
        let Finished { id, end, progress, events, span } = finished;
        self.forecast.ran(events, span);
        if end == RunEnd::Complete {
            self.forecast.completed(progress.events);
        }
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
        for (id, why) in self.ledger.hopeless(&catalog, wall) {
            let given_up = self.ledger.abandon(&id);
            log::warn!(job = id.0.as_str(), items = given_up.len(), why:? = why, config = catalog.version; "items given up");
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
