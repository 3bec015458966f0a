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
        schedule,
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
    fn waiting(&self) -> Vec<Waiting> {
        let clock = &self.tools.context.clock;
        let (now, wall) = (clock.now(), clock.wall_time().0);
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

    /// Starts the items that are the most urgent ones over all owners, as far as there is room,
    /// and tells the node which ones still wait.
    pub(super) fn schedule(&mut self) {
        let mut services: BTreeMap<Service, Vec<Waiting>> = BTreeMap::new();
        let mut left = Vec::new();
        for entry in self.waiting() {
            let job = self.ledger.job(&entry.item.job);
            match job.and_then(|job| self.route(&job.head)) {
                Some(route) if self.releasing.is_none() => {
                    let service = route.service(rand::random()).clone();
                    services.entry(service).or_default().push(entry);
                }
                Some(_) | None => left.push(entry),
            }
        }
        for (service, mut waiting) in services {
            let room = self.room(&service);
            let quota = self.tools.coordinator.directory.quota();
            let ahead = |urgency| quota.ahead(self.partition.number, urgency);
            let mut count = schedule::starts(&waiting, room, ahead);
            drop(quota);
            if let Some(refused) =
                waiting[..count].iter().position(|entry| !self.start(entry.item.clone(), &service))
            {
                count = refused;
            }
            left.extend(waiting.drain(count..));
        }
        left.sort();
        self.report(&left);
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
        let Ok(lease) = context.choose(service, Class::Batch, &BTreeSet::new(), Millis(0)) else {
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

    /// Pauses items at upstreams that hold more requests than they have slots.
    pub(super) fn make_room(&mut self) {
        let overfull = self.tools.context.balance().overfull();
        if overfull.is_empty() {
            return;
        }
        let candidate = |(item, running): (&ItemId, &Running)| schedule::Running {
            item: item.clone(),
            upstream: running.upstream.clone(),
            due: self.ledger.due(item),
        };
        let running = self.running.iter().filter(|(_, running)| running.pause.is_some());
        for item in schedule::pauses(running.map(candidate).collect(), overfull) {
            let pause = self.running.get_mut(&item).and_then(|running| running.pause.take());
            if let Some(pause) = pause {
                // A run that has just ended needs no pause.
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
        metrics.count(&metrics.batch_events, "run", &format!("{end:?}").to_lowercase());
        let records = self.ledger.ran(now, &id, &end, progress, attempts, retry);
        if !records.is_empty() {
            self.write(records, Effect::Listed(id.job));
        }
    }

    /// Gives up items whose time or route has ended, and forgets old jobs.
    pub(super) fn upkeep(&mut self, now: Instant) {
        if now < self.next_upkeep {
            return;
        }
        self.next_upkeep = now + UPKEEP.duration();
        let Some(catalog) = self.tools.catalog.current() else { return };
        let wall = self.tools.context.clock.wall_time().0;
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
