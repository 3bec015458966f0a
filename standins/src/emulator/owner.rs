//! The batch items of one partition, as their owner runs them.

use std::collections::BTreeMap;

use serving::{
    balance::Pick,
    batch::{
        ledger::ItemId,
        order::{self, Forecast, Urgency, WaitingItem},
        quota::Report,
        schedule,
    },
    id::{Service, Upstream},
    time::Millis,
};

use super::{arrivals::Job, engine::Work};

/// Groups of waiting items that an owner tells of.
const REPORTED_GROUPS: usize = 8;

/// An item; its events are counted in whole ones, as an interrupted run leaves them.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) accepted: u64,
    pub(super) due: u64,
    pub(super) events: u32,
    pub(super) made: u32,
    pub(super) ended: Option<u64>,
    run: Option<Run>,
}

#[derive(Clone, Debug)]
struct Run {
    pick: Pick,
    since: u64,
    paused: bool,
}

pub(super) struct Owner {
    pub(super) partition: u16,
    pub(super) node: usize,
    pub(super) items: Vec<Item>,
    forecast: Forecast,
}

impl Owner {
    pub(super) fn new(partition: u16, node: usize) -> Owner {
        Owner { partition, node, items: Vec::new(), forecast: Forecast::default() }
    }

    pub(super) fn submit(&mut self, job: &Job, due_ms: u64) {
        let item = |events: &u32| Item {
            accepted: job.at,
            due: job.at + due_ms,
            events: *events,
            made: 0,
            ended: None,
            run: None,
        };
        self.items.extend(job.items.iter().map(item));
    }

    /// Items that wait, in order.
    pub(super) fn waiting(&self, now: u64) -> Vec<WaitingItem> {
        let mut waiting = Vec::new();
        for (index, item) in self.items.iter().enumerate() {
            if item.ended.is_some() || item.run.is_some() || item.accepted > now {
                continue;
            }
            let remaining = self.forecast.remaining(u64::from(item.made));
            let urgency = Urgency::new(now, item.due, remaining);
            waiting.push(WaitingItem { urgency, remaining, item: id(index) });
        }
        waiting.sort();
        waiting
    }

    pub(super) fn report(&self, service: &Service, waiting: &[WaitingItem]) -> Report {
        let buckets = order::bucket_by_urgency(waiting, REPORTED_GROUPS);
        let ready_by_service = BTreeMap::from([(service.clone(), buckets)]);
        Report { epoch: 1, ready_by_service, ..Report::default() }
    }

    pub(super) fn started(&mut self, index: usize, now: u64, pick: Pick) {
        self.items[index].run = Some(Run { pick, since: now, paused: false });
    }

    /// Items that are to make room.
    pub(super) fn pause_excess(&mut self, overfull: BTreeMap<Upstream, u32>) -> Vec<usize> {
        let mut running = Vec::new();
        for (index, item) in self.items.iter().enumerate() {
            let Some(run) = item.run.as_ref().filter(|run| !run.paused) else { continue };
            let upstream = run.pick.upstream.clone();
            running.push(schedule::RunningItem {
                item: id(index),
                upstream,
                due: Millis(item.due),
            });
        }
        let paused = schedule::select_pauses(running, overfull);
        let paused: Vec<usize> = paused.into_iter().map(|item| item.index as usize).collect();
        for index in &paused {
            if let Some(run) = &mut self.items[*index].run {
                run.paused = true;
            }
        }
        paused
    }

    /// A run has ended after so many events; at its end, or interrupted.
    pub(super) fn end_run(&mut self, index: usize, now: u64, events: u32) -> Option<Pick> {
        let item = &mut self.items[index];
        let run = item.run.take()?;
        self.forecast.observe_run(u64::from(events), Millis(now - run.since));
        item.made = (item.made + events).min(item.events);
        if item.made == item.events {
            item.ended = Some(now);
            self.forecast.observe_completion(u64::from(item.events));
        }
        Some(run.pick)
    }

    pub(super) fn pick(&self, index: usize) -> Option<&Pick> {
        self.items[index].run.as_ref().map(|run| &run.pick)
    }

    pub(super) fn upstream(&self, work: Work) -> Option<&Upstream> {
        let Work::Item(_, index) = work else { return None };
        self.items[index].run.as_ref().map(|run| &run.pick.upstream)
    }
}

fn id(index: usize) -> ItemId {
    ItemId { job: "job".into(), index: index as u32 }
}
