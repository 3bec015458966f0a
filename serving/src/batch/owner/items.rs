//! Starts, pauses and abandons the items of an owner's jobs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tokio::{sync::oneshot, task, time::Instant};

use crate::{
    balance::{Class, Refusal},
    catalog::Route,
    exchange::Permit,
    fleet::Software,
    id::{Service, Upstream, Version},
    time::Millis,
    upstream::Request,
};

use super::{
    super::{
        ledger::{ItemId, Progress, RunEnd, RunRecords},
        order::{Urgency, WaitingItem},
        record::Head,
        run::{self, FinishedRun, Run},
        schedule,
    },
    CLEANUP_INTERVAL, Owner,
    writes::Effect,
};

/// Minimum time between the runs of an item whose prompt holds a blocked part. Items are still owed
/// then, and may run where an online request would be refused.
const BLOCKED_ITEM_PAUSE: Millis = Millis(5_000);

/// The capacity of services in one round of scheduling.
type Capacities = BTreeMap<Service, schedule::Capacity>;

/// Whether an item was started.
enum Start {
    Started,
    /// No upstream has a free slot.
    NoSlot,
    /// The item's prompt holds a blocked part, and the item has not waited long enough.
    Blocked,
    /// No upstream of the software that began the item has a free slot.
    NoSlotAtVersion,
}

/// A running item.
pub(super) struct Running {
    upstream: Upstream,
    task: task::Id,
    /// Sender that pauses the run; `None` after the pause was sent.
    pub(super) pause: Option<oneshot::Sender<()>>,
}

impl Owner {
    /// Items that may start now, the most urgent first.
    fn sorted_waiting(&self) -> Vec<WaitingItem> {
        let clock = &self.dependencies.context.clock;
        let (now, wall) = (clock.now(), clock.wall_time().0);
        let entry = |item: &ItemId| {
            let job = self.ledger.job(&item.job)?;
            let due = job.head.accepted + self.find_route(&job.head)?.results_due.0;
            let remaining = self.forecast.remaining(self.ledger.received_events(item));
            Some(WaitingItem {
                urgency: Urgency::new(wall, due, remaining),
                remaining,
                item: item.clone(),
            })
        };
        let mut waiting: Vec<WaitingItem> = self.ledger.runnable(now).filter_map(entry).collect();
        waiting.sort();
        waiting
    }

    /// Starts those items that are among the most urgent ones of all owners, as far as upstreams
    /// have free slots, and reports the items that still wait.
    pub(super) fn schedule(&mut self) {
        self.memory.set(self.ledger.memory_bytes());
        let mut services: BTreeMap<Service, Vec<WaitingItem>> = BTreeMap::new();
        let mut capacities = Capacities::default();
        for entry in self.sorted_waiting() {
            let job = self.ledger.job(&entry.item.job);
            let Some(route) = job.and_then(|job| self.find_route(&job.head)) else { continue };
            let service = self.select_service(&entry.item, &route, &mut capacities);
            services.entry(service).or_default().push(entry);
        }
        if self.may_start_items() {
            for (service, waiting) in &mut services {
                *waiting = self.start_items(service, std::mem::take(waiting));
            }
        }
        self.report_waiting(&services);
    }

    /// Whether items may start: the owner isn't being released, and no other node can have held the
    /// partition for long.
    fn may_start_items(&mut self) -> bool {
        let is_lapsed = self.tenure.remaining().is_none();
        if std::mem::replace(&mut self.is_lapsed, is_lapsed) != is_lapsed {
            let (partition, epoch) = (self.partition.number, self.producer.epoch);
            let confirmed = self.tenure.age();
            match is_lapsed {
                true => {
                    log::warn!(partition = partition, epoch = epoch, confirmed_ms = confirmed.0, is_replaced = self.tenure.is_replaced(); "no more items start: the partition may have another owner")
                }
                false => {
                    log::info!(partition = partition, epoch = epoch; "items start again: the log has confirmed the ownership")
                }
            }
        }
        !is_lapsed && self.releasing.is_none()
    }

    /// Pauses all items once the partition has a later owner, which runs them too.
    pub(super) fn pause_if_replaced(&mut self) {
        if !self.tenure.is_replaced() {
            return;
        }
        for running in self.running.values_mut() {
            if let Some(pause) = running.pause.take() {
                // Sending fails if the run has just ended.
                let _ = pause.send(());
            }
        }
    }

    /// Starts items of a service. Returns the rest of `waiting`, which is sorted by urgency.
    fn start_items(&mut self, service: &Service, waiting: Vec<WaitingItem>) -> Vec<WaitingItem> {
        let free_slots = self.free_batch_slots(service);
        let quota = self.dependencies.coordinator.directory.quota();
        let ahead = |urgency| quota.count_ahead(self.partition.number, service, urgency);
        let count = schedule::count_starts(&waiting, free_slots, ahead);
        drop(quota);
        let mut not_started = Vec::new();
        let mut waiting = waiting.into_iter();
        for entry in waiting.by_ref().take(count) {
            match self.start_item(entry.item.clone(), service) {
                Start::Started => {}
                Start::NoSlotAtVersion | Start::Blocked => not_started.push(entry),
                Start::NoSlot => {
                    not_started.push(entry);
                    break;
                }
            }
        }
        not_started.extend(waiting);
        not_started
    }

    /// Selects the service for an item: the one that began it as long as that may go on with it, else
    /// one of its route by weight.
    fn select_service(&self, item: &ItemId, route: &Route, capacities: &mut Capacities) -> Service {
        let context = &self.dependencies.context;
        let now = context.clock.now();
        let waiting = self.ledger.waiting_progress(now, item);
        let begun = waiting
            .filter(|(progress, _)| !progress.is_empty())
            .and_then(|(progress, waited)| Some((&progress.software.as_ref()?.service, waited)));
        if let Some((service, waited)) = begun
            && route.services().any(|of_route| of_route == service)
        {
            let mut capacity = |service: &Service| {
                *capacities.entry(service.clone()).or_insert_with(|| self.capacity(service))
            };
            let own = capacity(service);
            let others = route.services().filter(|other| *other != service);
            let best = others.map(capacity).max().unwrap_or(schedule::Capacity::None);
            if schedule::stays_with_service(own, best, waited) {
                return service.clone();
            }
        }
        context.select_service(route)
    }

    /// What a service can take of batch items now.
    fn capacity(&self, service: &Service) -> schedule::Capacity {
        let now = self.dependencies.context.clock.now();
        let mut balance = self.dependencies.context.balance();
        match (balance.free_batch_slots(now, service), balance.has_upstream(now, service, false)) {
            (1.., _) => schedule::Capacity::Free,
            (0, true) => schedule::Capacity::Full,
            (0, false) => schedule::Capacity::None,
        }
    }

    /// Starts an item if an upstream has a free slot for it.
    fn start_item(&mut self, item: ItemId, service: &Service) -> Start {
        let Some(job) = self.ledger.job(&item.job) else { return Start::Started };
        let entry = &job.head.items[item.index as usize];
        let request = match run::request(&job.head, entry) {
            Ok(mut request) => {
                if request.workspace.is_some() || self.has_workspaces() {
                    self.dependencies.context.codec.remove_identity(&mut request.headers);
                }
                request
            }
            Err(reason) => {
                log::warn!(job = item.job.0.as_str(), item = entry.id.as_str(), why = reason.as_str(); "dead-lettered an item that is no valid HTTP request");
                let progress = self.ledger.start(&item);
                let (events, span) = (0, Millis(0));
                self.finish_run(FinishedRun {
                    id: item,
                    end: RunEnd::Impossible,
                    progress,
                    events,
                    span,
                });
                return Start::Started;
            }
        };
        if self.is_held_back(&item, &request) {
            return Start::Blocked;
        }
        let (permit, continues) = match self.choose(&item, service) {
            Ok(chosen) => chosen,
            Err(reason) => return reason,
        };
        let mut progress = self.ledger.start(&item);
        if !continues {
            let version = permit.pick.version.clone();
            let software = Some(Software { service: service.clone(), version });
            progress = Progress { software, ..Progress::default() };
        }
        let (pause, paused) = oneshot::channel();
        let upstream = permit.pick.upstream.clone();
        log::info!(
            job = item.job.0.as_str(), item = request.id.as_str(), upstream = upstream.0.as_str(),
            partition = self.partition.number, epoch = self.producer.epoch,
            confirmed_ms = self.tenure.age().0, resume_after:? = progress.last_event;
            "run of an item begins"
        );
        let run = Run {
            context: Arc::clone(&self.dependencies.context),
            progress,
            id: item.clone(),
            request,
            permit,
            tenure: self.tenure.clone(),
            settings: self.dependencies.settings.clone(),
            pause: paused,
            progress_tx: self.progress_tx.clone(),
        };
        let task = self.runs.spawn(run.run()).id();
        self.running.insert(item, Running { upstream, task, pause: Some(pause) });
        Start::Started
    }

    fn has_workspaces(&self) -> bool {
        let catalog = self.dependencies.catalog.current();
        catalog.is_some_and(|catalog| catalog.workspaces.is_some())
    }

    /// Whether an item has to wait because its prompt holds a blocked part.
    fn is_held_back(&self, item: &ItemId, request: &Request) -> bool {
        let context = &self.dependencies.context;
        let now = context.clock.now();
        let prompt = context.codec.read_prompt(&request.headers);
        let prompt = prompt.scoped(request.workspace.as_ref());
        let waited = self.ledger.waiting_progress(now, item).map(|(_, waited)| waited);
        waited.is_some_and(|waited| waited < BLOCKED_ITEM_PAUSE)
            && context.parts().remaining_block(now, &prompt).is_some()
    }

    /// Chooses the upstream for an item. Returns whether the run continues the item's progress; the
    /// item starts over if no upstream of the software that began it is left, or has had a free
    /// slot for too long.
    fn choose(&self, item: &ItemId, service: &Service) -> Result<(Permit, bool), Start> {
        let context = &self.dependencies.context;
        let unstorable = self.ledger.unstorable_at(item);
        let choose = |version: Option<&Version>| {
            let choose =
                |excluded| context.choose(service, Class::Batch, excluded, version, Millis(0));
            match choose(&unstorable) {
                Err(Refusal::NoUpstream { .. }) if !unstorable.is_empty() => {
                    choose(&BTreeSet::new())
                }
                choice => choice,
            }
        };
        let waiting = self.ledger.waiting_progress(context.clock.now(), item);
        let begun = waiting.filter(|(progress, _)| !progress.is_empty());
        let Some((progress, waited)) = begun else {
            return choose(None).map(|permit| (permit, false)).map_err(|_| Start::NoSlot);
        };
        let software = progress.software.as_ref().filter(|begun| begun.service == *service);
        if let Some(software) = software {
            match choose(Some(&software.version)) {
                Ok(permit) => return Ok((permit, true)),
                Err(refusal) if schedule::waits_for_software(refusal, waited) => {
                    return Err(Start::NoSlotAtVersion);
                }
                Err(_) => {}
            }
        }
        let permit = choose(None).map_err(|_| Start::NoSlot)?;
        log::info!(
            job = item.job.0.as_str(), item = item.index, events = progress.events,
            begun:? = progress.software, version = permit.pick.version.0.as_str(), waited = waited.0;
            "item starts over: its software has no free slot"
        );
        Ok((permit, false))
    }

    /// Number of items that all owners together may start now.
    fn free_batch_slots(&self, service: &Service) -> u32 {
        let context = &self.dependencies.context;
        context.balance().free_batch_slots(context.clock.now(), service)
    }

    /// Pauses items at upstreams that have more requests than slots.
    pub(super) fn pause_excess_items(&mut self) {
        let overfull = self.dependencies.context.balance().excess_batch();
        if overfull.is_empty() {
            return;
        }
        let candidate = |(item, running): (&ItemId, &Running)| schedule::RunningItem {
            item: item.clone(),
            upstream: running.upstream.clone(),
            due: self.ledger.due(item),
        };
        let running = self.running.iter().filter(|(_, running)| running.pause.is_some());
        for item in schedule::select_pauses(running.map(candidate).collect(), overfull) {
            let pause = self.running.get_mut(&item).and_then(|running| running.pause.take());
            if let Some(pause) = pause {
                // Sending fails if the run has just ended.
                let _ = pause.send(());
            }
        }
    }

    /// Lets an item run again from its beginning after the task that ran it has panicked.
    pub(super) fn handle_panic(&mut self, error: &task::JoinError) {
        let running = self.running.iter().find(|(_, running)| running.task == error.id());
        let Some((id, running)) = running else { return };
        log::error!(job = id.job.0.as_str(), upstream = running.upstream.0.as_str(), error:% = error; "task that runs an item failed");
        self.finish_run(FinishedRun {
            id: id.clone(),
            end: RunEnd::Interrupted,
            progress: Progress::default(),
            events: 0,
            span: Millis(0),
        });
    }

    /// Applies the end of a run, and writes the item's result if the run decided it.
    pub(super) fn finish_run(&mut self, finished: FinishedRun) {
        let FinishedRun { id, end, progress, events, span } = finished;
        self.forecast.observe_run(events, span);
        if end == RunEnd::Complete {
            self.forecast.observe_completion(progress.events);
        }
        self.running.remove(&id);
        let Some(job) = self.ledger.job(&id.job) else { return };
        let max_attempts = self.find_route(&job.head).map_or(1, |route| route.max_attempts);
        let now = self.dependencies.context.clock.now();
        let retry_delay = Millis(self.dependencies.settings.retry_ms);
        let metrics = &self.dependencies.context.metrics;
        metrics.count(&metrics.batch_events, "run", end.name());
        let RunRecords { result, failure } =
            self.ledger.finish_run(now, &id, &end, progress, max_attempts, retry_delay);
        if matches!(end, RunEnd::Unstorable(_)) {
            if !result.is_empty() {
                log::warn!(job = id.job.0.as_str(), item = id.index, runs = max_attempts, why = "its output can't be stored"; "dead-lettered an item");
            } else if let Some(record) = self.ledger.delete_progress(&id) {
                self.queue_write(vec![record], Effect::Saved);
            }
        }
        match (result.is_empty(), failure) {
            (false, failure) => self.queue_write_of_run(result, Effect::Listed(id.job), failure),
            (true, Some(record)) => {
                self.queue_write_of_run(vec![record.clone()], Effect::Failed(id), Some(record));
            }
            (true, None) => {}
        }
    }

    /// Dead-letters the items that have failed often enough at earlier owners, and deletes the
    /// records of failed runs that are no longer needed.
    pub(super) fn apply_restored_failures(&mut self) {
        let catalog = self.dependencies.catalog.current();
        let max_attempts = |head: &Head| Some(head.find_route(catalog.as_ref()?)?.max_attempts);
        for (job, records) in self.ledger.give_up_failed(max_attempts) {
            log::info!(job = job.0.as_str(), partition = self.partition.number; "dead-lettered an item that has failed at earlier owners");
            self.queue_write(records, Effect::Listed(job));
        }
        for record in self.ledger.take_obsolete() {
            self.queue_write(vec![record], Effect::Saved);
        }
    }

    /// Once per `CLEANUP_INTERVAL`: abandons items of jobs that are too old or without a route, removes
    /// jobs past their retention, and deletes what was written of withdrawn ones.
    pub(super) fn clean_up(&mut self, now: Instant) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL.duration();
        self.delete_withdrawn();
        let Some(catalog) = self.dependencies.catalog.current() else { return };
        let wall = self.dependencies.context.clock.wall_time().0;
        for (id, reason) in self.ledger.find_abandoned(&catalog, wall) {
            let abandoned = self.ledger.abandon(&id);
            log::warn!(job = id.0.as_str(), items = abandoned.len(), why:? = reason, config = catalog.version; "abandoned the waiting items of a job");
            for records in abandoned {
                self.queue_write(records, Effect::Listed(id.clone()));
            }
        }
        let before = wall.saturating_sub(self.dependencies.settings.keep_ms);
        for deleted in self.ledger.remove_expired(before) {
            self.queue_write(deleted, Effect::Saved);
        }
    }
}
