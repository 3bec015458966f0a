//! Schedules a day with perfect knowledge, as a bound on what any policy earns.
//!
//! All slots are one pool that can be divided and taken away at any millisecond for free. Online
//! requests that can still be in time go first by their end, then batch items by due time; work
//! that can't be in time any more is dropped.

use super::{Scenario, Tally, arrivals::Day, tally::Account};

/// One request or item in the pool.
#[derive(Clone, Debug)]
struct Job {
    is_online: bool,
    arrives: u64,
    /// The last millisecond at which it may end.
    due: u64,
    /// Milliseconds of a slot that it still needs.
    left: f64,
}

pub(super) fn schedule(scenario: &Scenario, day: &Day) -> Tally {
    let mut jobs = jobs(scenario, day);
    jobs.sort_by_key(|job| job.arrives);
    let mut tally = Tally::default();
    let mut open: Vec<Job> = Vec::new();
    let mut next = 0;
    for now in 0..scenario.length_ms + scenario.tail_ms {
        while let Some(job) = jobs.get(next).filter(|job| job.arrives <= now) {
            open.push(job.clone());
            next += 1;
        }
        let is_away = scenario.nodes_away.iter().any(|outage| outage.holds(now));
        let factors = scenario.replicas.iter().filter_map(|replica| replica.factor(now));
        let slots: f64 = factors.map(|factor| scenario.engine.slots as f64 / factor).sum();
        let mut pool = if is_away { 0.0 } else { slots };
        open.retain(|job| now as f64 + job.left <= job.due as f64 + 1.0);
        open.sort_by_key(|job| (!job.is_online, job.due));
        for job in &mut open {
            let share = pool.min(1.0);
            pool -= share;
            job.left -= share;
        }
        for job in open.iter().filter(|job| job.left <= 0.0) {
            let account = if job.is_online { &mut tally.online } else { &mut tally.batch };
            account.in_time += 1;
        }
        open.retain(|job| job.left > 0.0);
    }
    let items: usize = day.jobs.iter().map(|job| job.items.len()).sum();
    settle(&mut tally.online, day.requests.len(), scenario.online.worth);
    settle(&mut tally.batch, items, scenario.batch.worth);
    tally
}

fn settle(account: &mut Account, count: usize, worth: f64) {
    account.count = count as u32;
    account.owed = count as f64 * worth;
    account.earned = f64::from(account.in_time) * worth;
}

fn jobs(scenario: &Scenario, day: &Day) -> Vec<Job> {
    let engine = &scenario.engine;
    let step = engine.step_ms + engine.step_ms_per_request * engine.slots as f64;
    let time = |prompt: u32, events: u32| {
        let prefill = f64::from(prompt) / engine.prefill_tokens_per_ms;
        prefill + step * f64::from(events * engine.stride)
    };
    let mut jobs = Vec::new();
    for request in &day.requests {
        let left = time(scenario.online.prompt_tokens, request.events);
        // In time is an answer whose first event is.
        let due = request.at + scenario.online.objective_ms + left as u64;
        jobs.push(Job { is_online: true, arrives: request.at, due, left });
    }
    for job in &day.jobs {
        for events in &job.items {
            let left = time(scenario.batch.prompt_tokens, *events);
            let due = job.at + scenario.batch.due_ms;
            jobs.push(Job { is_online: false, arrives: job.at, due, left });
        }
    }
    jobs
}
